//! A client connection of the OData front. Each request gets one response, in the order of the requests.
//!
//! | state | what ends it |
//! | --- | --- |
//! | no request received | the client; `IDLE_TIMEOUT`; eviction or shutdown, both after `MIN_QUIET_TIME` |
//! | idle between requests | the client; `IDLE_TIMEOUT`; eviction; shutdown |
//! | request partially received | the rest of the request; `UNFINISHED_REQUEST_TIMEOUT` |
//! | response pending | only the client |
//!
//! Eviction closes a connection when its permit is needed elsewhere, or when too many connections are idle.
//!
//! Except where the client itself closes, the connection is closed through [`client_close`], which never
//! closes a connection that has unanswered input.

use super::front::{error_response, Front, MAX_BODY_LEN};
use super::reply::{ODataError, Response};
use super::request::ResponseFormat;
use super::stream::StreamedResponse;
use crate::core::counters::{count, Count};
use crate::core::flow::{give_up_at, CutOff, MIN_SILENCE};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer, Incoming};
use crate::net::budget::MIN_QUIET_TIME;
use crate::net::client_close::{self, CloseReason, ConnectionClosed, CONNECTION_LOG};
use crate::net::client_write;
use crate::net::frames::{
    read_next, read_next_or_close, release_large_buffers, ReadEvent, INITIAL_BUFFER_SIZE,
};
use crate::net::listen::{wait_for_closing, PhaseReceiver, ProcessPhase, Refusal};
use crate::net::socket::Socket;
use crate::net::stall;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::{Encoder, Framed};

/// Maximum number of requests read ahead on a connection while one is executed.
const MAX_READ_AHEAD: usize = 8;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that the rest of a partially received request may take.
const UNFINISHED_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) type Conn = Framed<Socket, HttpServer>;

/// Input that was read while another request was executed.
struct ReadAhead {
    input: Incoming,
    arrived: Instant,
}

/// The result of waiting for a request.
enum WaitResult {
    /// A request, or the head of one whose client waits for `100 Continue`.
    Input(Incoming),
    /// The first bytes of a request.
    Partial,
    /// Input that cannot be read.
    Error(HttpError),
    /// The client closed the connection.
    Closed,
    /// The connection is to be closed for this reason.
    End(CloseReason),
}

/// A client connection that is being served.
pub(super) struct Session {
    front: Arc<Front>,
    conn: Conn,
    /// Requests that were read while another one was executed.
    read_ahead: VecDeque<ReadAhead>,
    /// Why the input after those requests cannot be read. They are answered first.
    read_error: Option<HttpError>,
    /// Whether a request was received.
    request_seen: bool,
    /// Whether a request is partially received.
    partial: bool,
    /// When the last response was sent, or the connection was opened.
    idle_since: Instant,
    /// Time by which more input has to arrive.
    read_deadline: Instant,
    /// Earliest time at which the first request may have been sent, if known; taken when that request is
    /// executed.
    waiting_since: Option<std::time::Instant>,
}

impl Session {
    /// Creates the session of a new connection, whose input may have been sent as early as `waiting_since`.
    pub(super) fn new(front: Arc<Front>, waiting_since: Option<std::time::Instant>, stream: Socket) -> Self {
        let codec = HttpServer::new(MAX_BODY_LEN, front.budget.bytes.clone());
        let conn = Framed::with_capacity(stream, codec, INITIAL_BUFFER_SIZE);
        let idle_since = Instant::now();
        let read_deadline = idle_since + IDLE_TIMEOUT;
        let read_ahead = VecDeque::new();
        Session {
            front,
            conn,
            read_ahead,
            read_error: None,
            request_seen: false,
            partial: false,
            idle_since,
            read_deadline,
            waiting_since,
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(mut self, mut closing: PhaseReceiver) -> Result<ConnectionClosed, HttpError> {
        loop {
            let request = match self.wait(&mut closing).await {
                WaitResult::Input(Incoming::Request(request)) => request,
                WaitResult::Input(Incoming::ExpectContinue) => {
                    self.send(HttpResponse::continue_response()).await?;
                    self.start_request_timeout();
                    continue;
                }
                WaitResult::Partial => {
                    self.start_request_timeout();
                    continue;
                }
                WaitResult::Error(error) => return Box::pin(self.end_with_error(error)).await,
                WaitResult::Closed => return Ok(client_close::closed_by_client(self.conn)),
                WaitResult::End(reason) => match end_if_idle(&mut self.conn, reason, self.request_seen).await
                {
                    Some(ended) => return Ok(ended),
                    None => {
                        if reason == CloseReason::MadeRoom {
                            self.front.budget.clients.request_eviction();
                        }
                        continue;
                    }
                },
            };
            (self.partial, self.request_seen) = (false, true);
            let Some(mut response) = self.answer(&request).await? else {
                return Ok(client_close::closed_by_client(self.conn));
            };
            let shutting_down = *closing.borrow() >= ProcessPhase::HandingOver
                && self.read_ahead.is_empty()
                && self.read_error.is_none()
                && !client_close::has_unanswered_input(&mut self.conn);
            let close = request.connection_close || shutting_down;
            response.set_connection_close(close);
            match response {
                Response::Whole(response) => self.send(response).await?,
                Response::Streamed(response) => {
                    if let Some(ended) = Box::pin(self.send_streamed(*response, close)).await? {
                        return Ok(ended);
                    }
                }
            }
            if close {
                let reason = if shutting_down { CloseReason::Shutdown } else { CloseReason::ClientLeft };
                return Ok(Box::pin(client_close::close_as_announced(self.conn, reason)).await);
            }
            release_large_buffers(&mut self.conn);
            self.idle_since = Instant::now();
            self.read_deadline = self.idle_since + IDLE_TIMEOUT;
        }
    }

    /// Sends a response. A client that reads nothing must not hold its permit forever.
    async fn send(&mut self, response: HttpResponse) -> Result<(), HttpError> {
        let mut buffer = std::mem::take(self.conn.write_buffer_mut());
        self.conn.codec_mut().encode(response, &mut buffer)?;
        *self.conn.write_buffer_mut() = buffer;
        Ok(client_write::flush(&mut self.conn).await?)
    }

    /// Starts the timeout for the rest of a partially received request.
    fn start_request_timeout(&mut self) {
        (self.partial, self.read_deadline) = (true, Instant::now() + UNFINISHED_REQUEST_TIMEOUT);
    }

    /// Waits for the next request, or for a reason to close the connection. Once part of a request has been
    /// read, the connection is not closed before that request has a response.
    async fn wait(&mut self, closing: &mut PhaseReceiver) -> WaitResult {
        if let Some(ReadAhead { input, .. }) = self.read_ahead.pop_front() {
            return WaitResult::Input(input);
        }
        if let Some(error) = self.read_error.take() {
            return WaitResult::Error(error);
        }
        let (partial, request_seen, idle_since) = (self.partial, self.request_seen, self.idle_since);
        tokio::select! {
            biased;
            read = read_next(&mut self.conn, partial) => match read {
                ReadEvent::Message(Some(Ok(request))) => WaitResult::Input(request),
                ReadEvent::Message(Some(Err(error))) => WaitResult::Error(error),
                ReadEvent::Message(None) => WaitResult::Closed,
                ReadEvent::Partial => WaitResult::Partial,
            },
            () = closing_and_quiet(closing, request_seen, idle_since),
                if !partial => WaitResult::End(CloseReason::Shutdown),
            () = self.front.budget.clients.client_eviction_requested(!request_seen, idle_since),
                if !partial => WaitResult::End(CloseReason::MadeRoom),
            () = tokio::time::sleep_until(self.read_deadline) => match partial {
                true => WaitResult::Error(HttpError::Unfinished),
                false => WaitResult::End(if request_seen { CloseReason::Idle } else { CloseReason::Silent }),
            },
        }
    }

    /// Executes a request and reads ahead meanwhile, which also detects that the client has left. Once enough
    /// has been read ahead, waits only for the client to close the connection. Returns `None` if the client
    /// has left.
    async fn answer(&mut self, request: &HttpRequest) -> Result<Option<Response>, HttpError> {
        count(Count::odata_requests);
        // Only the first request may have been sent before this session first read the connection.
        let waited = stall::queued_time(self.waiting_since.take());
        log::debug!(
            target: CONNECTION_LOG, client = self.conn.get_ref().port(), waited_us = waited;
            "request read"
        );
        let mut answer = pin!(self.front.answer(request, self.conn.get_ref().client_connection(), waited));
        loop {
            let may_read = self.read_ahead.len() < MAX_READ_AHEAD && self.read_error.is_none();
            tokio::select! {
                biased;
                response = &mut answer => return Ok(Some(response)),
                read = read_next_or_close(&mut self.conn, may_read, true) => {
                    if !keep_read_ahead(read, &mut self.read_ahead, &mut self.read_error)? {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Sends a response while its value arrives, and reads ahead meanwhile unless the response announces the `close`.
    /// If the value is cut off, fills the response up for the sake of the requests behind it, or closes the connection
    /// if there are none.
    async fn send_streamed(
        &mut self,
        mut response: StreamedResponse,
        close: bool,
    ) -> Result<Option<ConnectionClosed>, HttpError> {
        response.write_start(&mut self.conn).await?;
        let mut silent_since = Instant::now();
        let mut next_check = silent_since + MIN_SILENCE;
        loop {
            let may_read = self.read_ahead.len() < MAX_READ_AHEAD && self.read_error.is_none();
            tokio::select! {
                biased;
                part = response.next_part() => match part {
                    Ok(Some(part)) => {
                        client_write::write_all(self.conn.get_mut(), part.as_bytes()).await?;
                        silent_since = Instant::now();
                        next_check = silent_since + MIN_SILENCE;
                        if self.is_answer_owed() && self.front.is_ending_soon() {
                            break;
                        }
                    }
                    Ok(None) => return Ok(None),
                    Err(CutOff) => break,
                },
                read = read_next_or_close(&mut self.conn, may_read, true), if !close => {
                    let (read_ahead, read_error) = (&mut self.read_ahead, &mut self.read_error);
                    // The client has left within the value, so nothing can be answered any more.
                    if !keep_read_ahead(read, read_ahead, read_error)? {
                        return Err(HttpError::Io(ErrorKind::UnexpectedEof.into()));
                    }
                    next_check = silent_since + MIN_SILENCE;
                }
                () = tokio::time::sleep_until(next_check), if self.is_answer_owed() => {
                    let (now, give_up) = (Instant::now(), give_up_at(silent_since, self.next_due()));
                    if now >= give_up {
                        count(Count::flows_given_up);
                        break;
                    }
                    // The shutdown can make answers due earlier.
                    next_check = give_up.min(now + MIN_SILENCE);
                }
            }
        }
        if close {
            return Err(HttpError::Io(CutOff.into()));
        }
        if !self.is_answer_owed() {
            let no_message = None::<HttpResponse>;
            let ended = client_close::close_if_idle(&mut self.conn, CloseReason::Broken, no_message).await;
            if ended.is_some() {
                return Ok(ended);
            }
        }
        response.write_padding(&mut self.conn).await?;
        Ok(None)
    }

    /// Whether input was read that is still to be answered.
    fn is_answer_owed(&self) -> bool {
        !self.read_ahead.is_empty() || self.read_error.is_some()
    }

    /// The earliest time at which a request that was read ahead must be answered.
    fn next_due(&self) -> Instant {
        let due = |ahead: &ReadAhead| match &ahead.input {
            Incoming::Request(request) => Some(ahead.arrived + self.front.wait_of(request)?),
            Incoming::ExpectContinue => None,
        };
        let due = self.read_ahead.iter().filter_map(due).min();
        self.front.cap_due(due)
    }

    /// Answers input that cannot be read, after a delay, and closes the connection, because the start of the
    /// next request is unknown.
    async fn end_with_error(self, error: HttpError) -> Result<ConnectionClosed, HttpError> {
        let over_budget = matches!(error, HttpError::BudgetExhausted);
        let response_error = match error {
            HttpError::Io(_) => return Err(error),
            HttpError::TooLong => ODataError::new(413, "TooLarge", "the request is too long"),
            HttpError::Malformed(_) => ODataError::new(400, "BadRequest", error.to_string()),
            HttpError::Unfinished => ODataError::new(408, "Unfinished", error.to_string()),
            HttpError::BudgetExhausted => ODataError::retry_later(None, &error.to_string()),
        };
        let mut response = error_response(response_error, ResponseFormat::default());
        response.connection_close = true;
        let Front { budget, pace, clock, .. } = &*self.front;
        // A well-formed request for which there is no memory is refused without delay.
        let delay = (!over_budget).then(|| pace.next_delay(clock.now()));
        Ok(client_close::close_with_error(self.conn, response, delay, &budget.clients).await)
    }
}

/// Keeps input that was read while another request was executed. Returns false if the client has left.
///
/// # Errors
/// If the connection is broken.
fn keep_read_ahead(
    read: ReadEvent<Result<Incoming, HttpError>>,
    read_ahead: &mut VecDeque<ReadAhead>,
    read_error: &mut Option<HttpError>,
) -> Result<bool, HttpError> {
    match read {
        ReadEvent::Message(Some(Ok(input))) => {
            read_ahead.push_back(ReadAhead { input, arrived: Instant::now() })
        }
        ReadEvent::Message(Some(Err(e @ HttpError::Io(_)))) => return Err(e),
        ReadEvent::Message(Some(Err(e))) => *read_error = Some(e),
        ReadEvent::Message(None) => return Ok(false),
        ReadEvent::Partial => {}
    }
    Ok(true)
}

/// Waits until connections are to be closed. One that has received no request must also have been quiet for
/// `MIN_QUIET_TIME`, as its first request may be in transit.
async fn closing_and_quiet(closing: &mut PhaseReceiver, request_seen: bool, idle_since: Instant) {
    wait_for_closing(closing).await;
    if !request_seen {
        tokio::time::sleep_until(idle_since + MIN_QUIET_TIME).await;
    }
}

/// Closes the connection unless there is unanswered input. A client that has sent no request gets a refusal,
/// which answers a request that may be in transit.
async fn end_if_idle(conn: &mut Conn, reason: CloseReason, request_seen: bool) -> Option<ConnectionClosed> {
    let final_response = (!request_seen).then(|| last_refusal(Refusal::for_close(reason)));
    client_close::close_if_idle(conn, reason, final_response).await
}

/// The refusal that a client gets before its connection is closed.
pub(super) fn last_refusal(why: Refusal) -> HttpResponse {
    let mut response = ODataError::retry_later(None, why.text()).response(ResponseFormat::default());
    response.connection_close = true;
    response
}
