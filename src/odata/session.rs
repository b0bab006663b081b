//! A client connection of the OData front. Each request gets one response, in the order of the requests.
//!
//! | state | what ends it |
//! | --- | --- |
//! | no request received | the client; `IDLE_TIMEOUT`; others in need of a permit, or the shutdown, both after `QUIET_MIN` |
//! | idle between requests | the client; `IDLE_TIMEOUT`; others in need of a permit; the shutdown |
//! | request partially received | the rest of the request; `UNFINISHED_REQUEST_TIMEOUT` |
//! | response pending | only the client |
//!
//! Except where the client itself closes, the connection is closed through [`client_end`], which never closes a
//! connection that has unanswered input.

use super::front::{error_response, Front, MAX_BODY_LEN};
use super::reply::ODataError;
use super::request::ResponseFormat;
use crate::core::counters::{count, Count};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer, Incoming};
use crate::net::budget::QUIET_MIN;
use crate::net::client_end::{self, EndReason, Ended};
use crate::net::frames::{next, next_or_end, shrink, Next, ROOM};
use crate::net::held_up;
use crate::net::listen::{closed, Closing, Phase, Refusal};
use crate::net::socket::Socket;
use futures_util::SinkExt;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Maximum number of requests read ahead on a connection while one is executed.
const MAX_READ_AHEAD: usize = 8;
/// Time after which an idle connection is closed, and time that the rest of a partially received request may take.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const UNFINISHED_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for writing a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) type Conn = Framed<Socket, HttpServer>;

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
    End(EndReason),
}

/// The response to a request, with the state of the input read meanwhile.
struct ResponseReady {
    response: HttpResponse,
    /// The input after the request cannot be read.
    read_error: Option<HttpError>,
}

/// A client connection that is being served.
pub(super) struct Session {
    front: Arc<Front>,
    conn: Conn,
    /// Requests that were read while another one was executed.
    read_ahead: VecDeque<Incoming>,
    /// A request was received.
    request_seen: bool,
    /// A request is partially received.
    partial: bool,
    /// When the last response was sent, or the connection was opened.
    idle_since: Instant,
    /// Time by which more input has to arrive.
    read_deadline: Instant,
    /// Input received before the first request is answered may have been sent as early as this.
    waiting_since: Option<std::time::Instant>,
}

impl Session {
    /// Creates the session of a new connection, whose input may have been sent as early as `waiting_since`.
    pub(super) fn new(front: Arc<Front>, waiting_since: Option<std::time::Instant>, stream: Socket) -> Self {
        let codec = HttpServer::new(MAX_BODY_LEN, front.budget.bytes.clone());
        let conn = Framed::with_capacity(stream, codec, ROOM);
        let idle_since = Instant::now();
        let read_deadline = idle_since + IDLE_TIMEOUT;
        let read_ahead = VecDeque::new();
        Session {
            front,
            conn,
            read_ahead,
            request_seen: false,
            partial: false,
            idle_since,
            read_deadline,
            waiting_since,
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(mut self, mut closing: Closing) -> Result<Ended, HttpError> {
        loop {
            let request = match self.wait(&mut closing).await {
                WaitResult::Input(Incoming::Request(request)) => request,
                WaitResult::Input(Incoming::ExpectContinue) => {
                    self.conn.send(HttpResponse::continue_response()).await?;
                    self.start_request_timeout();
                    continue;
                }
                WaitResult::Partial => {
                    self.start_request_timeout();
                    continue;
                }
                WaitResult::Error(error) => return Box::pin(self.end_with_error(error)).await,
                WaitResult::Closed => return Ok(client_end::by_client(self.conn)),
                WaitResult::End(reason) => match end_if_idle(&mut self.conn, reason, self.request_seen).await
                {
                    Some(ended) => return Ok(ended),
                    None => {
                        if reason == EndReason::MadeRoom {
                            self.front.budget.clients.ask_for_room();
                        }
                        continue;
                    }
                },
            };
            (self.partial, self.request_seen) = (false, true);
            let Some(ResponseReady { mut response, read_error }) = self.answer(&request).await? else {
                return Ok(client_end::by_client(self.conn));
            };
            let shutting_down = *closing.borrow() >= Phase::Leaving
                && self.read_ahead.is_empty()
                && read_error.is_none()
                && !client_end::holds_unanswered(&mut self.conn);
            response.connection_close = request.connection_close || shutting_down;
            let close = response.connection_close;
            match tokio::time::timeout(RESPONSE_TIMEOUT, self.conn.send(response)).await {
                Ok(sent) => sent?,
                Err(_) => return Err(HttpError::Io(ErrorKind::TimedOut.into())),
            }
            if close {
                let reason = if shutting_down { EndReason::Shutdown } else { EndReason::ClientLeft };
                return Ok(Box::pin(client_end::announced(self.conn, reason)).await);
            }
            if let Some(error) = read_error {
                return Box::pin(self.end_with_error(error)).await;
            }
            shrink(&mut self.conn);
            self.idle_since = Instant::now();
            self.read_deadline = self.idle_since + IDLE_TIMEOUT;
        }
    }

    /// Starts the timeout for the rest of a partially received request.
    fn start_request_timeout(&mut self) {
        (self.partial, self.read_deadline) = (true, Instant::now() + UNFINISHED_REQUEST_TIMEOUT);
    }

    /// Waits for the next request, or for a reason to close the connection. Once part of a request has been read, the
    /// connection is not closed before that request has a response.
    async fn wait(&mut self, closing: &mut Closing) -> WaitResult {
        if let Some(request) = self.read_ahead.pop_front() {
            return WaitResult::Input(request);
        }
        let (partial, request_seen, idle_since) = (self.partial, self.request_seen, self.idle_since);
        tokio::select! {
            biased;
            read = next(&mut self.conn, partial) => match read {
                Next::Message(Some(Ok(request))) => WaitResult::Input(request),
                Next::Message(Some(Err(error))) => WaitResult::Error(error),
                Next::Message(None) => WaitResult::Closed,
                Next::Part => WaitResult::Partial,
            },
            () = closing_and_quiet(closing, request_seen, idle_since),
                if !partial => WaitResult::End(EndReason::Shutdown),
            () = self.front.budget.clients.client_wanted(!request_seen, idle_since),
                if !partial => WaitResult::End(EndReason::MadeRoom),
            () = tokio::time::sleep_until(self.read_deadline) => match partial {
                true => WaitResult::Error(HttpError::Unfinished),
                false => WaitResult::End(if request_seen { EndReason::Idle } else { EndReason::Silent }),
            },
        }
    }

    /// Executes a request and reads ahead meanwhile, which also shows whether the client has left; when enough is read
    /// ahead, only a close is watched for. Returns `None` if the client has left.
    async fn answer(&mut self, request: &HttpRequest) -> Result<Option<ResponseReady>, HttpError> {
        count(Count::odata_requests);
        // Input sent before the front started to serve has been waiting since then.
        let waited = held_up::waited(self.waiting_since.take());
        let mut answer = pin!(self.front.answer(request, self.conn.get_ref().presence(), waited));
        let mut read_error = None;
        loop {
            let may_read = self.read_ahead.len() < MAX_READ_AHEAD && read_error.is_none();
            tokio::select! {
                biased;
                response = &mut answer => return Ok(Some(ResponseReady { response, read_error })),
                read = next_or_end(&mut self.conn, may_read, true) => match read {
                    Next::Message(Some(Ok(next))) => self.read_ahead.push_back(next),
                    Next::Message(Some(Err(e @ HttpError::Io(_)))) => return Err(e),
                    Next::Message(Some(Err(e))) => read_error = Some(e),
                    Next::Message(None) => return Ok(None),
                    Next::Part => {}
                },
            }
        }
    }

    /// Answers input that cannot be read, after a delay, and closes the connection, because the start of the next
    /// request is unknown.
    async fn end_with_error(self, error: HttpError) -> Result<Ended, HttpError> {
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
        let delay = (!over_budget).then(|| pace.turn(clock.now()));
        Ok(client_end::after_fault(self.conn, response, delay, &budget.clients).await)
    }
}

/// Waits until connections are to be closed. One that has received no request must also have been quiet for
/// `QUIET_MIN`, as its first request may be in transit.
async fn closing_and_quiet(closing: &mut Closing, request_seen: bool, idle_since: Instant) {
    closed(closing).await;
    if !request_seen {
        tokio::time::sleep_until(idle_since + QUIET_MIN).await;
    }
}

/// Closes the connection unless there is unanswered input. A client that has sent no request gets a refusal, which
/// answers a request that may be in transit.
async fn end_if_idle(conn: &mut Conn, reason: EndReason, request_seen: bool) -> Option<Ended> {
    let final_response = (!request_seen).then(|| last_refusal(Refusal::at_end(reason)));
    client_end::at_rest(conn, reason, final_response).await
}

/// The refusal that a client gets before its connection is closed.
pub(super) fn last_refusal(why: Refusal) -> HttpResponse {
    let mut response = ODataError::retry_later(None, why.text()).response(ResponseFormat::default());
    response.connection_close = true;
    response
}
