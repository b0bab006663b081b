//! One client's connection by OData: requests in, one response each, in their order.
//!
//! | state | ends by |
//! | --- | --- |
//! | never asked, or at rest | the client; `IDLE_TIMEOUT`; others who lack a permit; the end of the process; the first two of these once it was quiet |
//! | a request is begun | its rest; `UNFINISHED_REQUEST_TIMEOUT` |
//! | a response is owed | nothing but the client |
//!
//! All but the client's own end go through [`client_close`], which ends nothing that has no answer.

use super::front::{refused, Front, MAX_BODY_LEN};
use super::reply::Fault;
use super::request::Form;
use crate::core::counters::{count, Count};
use crate::http::{HttpError, HttpRequest, HttpResponse, HttpServer, Incoming};
use crate::net::budget::MIN_QUIET_TIME;
use crate::net::client_close::{self, CloseReason, ConnectionClosed};
use crate::net::frames::{
    read_next, read_next_or_close, release_large_buffers, ReadEvent, INITIAL_BUFFER_SIZE,
};
use crate::net::listen::{wait_for_closing, PhaseReceiver, ProcessPhase, Refusal};
use crate::net::socket::Socket;
use crate::net::stall;
use futures_util::SinkExt;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Requests read ahead on one connection while one is carried out.
const MAX_READ_AHEAD: usize = 8;
/// How long a client may hold its connection between requests, and how long a request that was begun may take to end.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
const UNFINISHED_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may take to take in a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) type Conn = Framed<Socket, HttpServer>;

/// What comes of waiting for a request.
enum Waited {
    /// One, or a head whose body is held back.
    Came(Incoming),
    /// The first bytes of one.
    Part,
    /// What cannot be read.
    Fault(HttpError),
    /// The client has ended its connection.
    Left,
    /// A reason to end the connection.
    Ends(CloseReason),
}

/// What has come of a request, and of what was read behind it.
struct Answered {
    response: HttpResponse,
    /// What stands behind it cannot be read.
    broken: Option<HttpError>,
}

/// A connection while it is served.
pub(super) struct Session {
    front: Arc<Front>,
    conn: Conn,
    /// Requests that were read while another was carried out.
    ahead: VecDeque<Incoming>,
    /// Something was asked on it.
    asked: bool,
    /// A request is begun.
    part: bool,
    /// Since when nothing was asked and nothing answered.
    rests: Instant,
    /// Until when something more has to come.
    until: Instant,
    /// What has come until the first answer may have been sent since then.
    waits_since: Option<std::time::Instant>,
}

impl Session {
    /// One on a new connection. What its client has sent already may have been sent at any time since `waits_since`.
    pub(super) fn new(front: Arc<Front>, waits_since: Option<std::time::Instant>, stream: Socket) -> Self {
        let codec = HttpServer::new(MAX_BODY_LEN, front.budget.bytes.clone());
        let conn = Framed::with_capacity(stream, codec, INITIAL_BUFFER_SIZE);
        let rests = Instant::now();
        let until = rests + IDLE_TIMEOUT;
        let ahead = VecDeque::new();
        Session { front, conn, ahead, asked: false, part: false, rests, until, waits_since }
    }

    /// Serves it to its end.
    pub(super) async fn run(mut self, mut closing: PhaseReceiver) -> Result<ConnectionClosed, HttpError> {
        loop {
            let request = match self.wait(&mut closing).await {
                Waited::Came(Incoming::Request(request)) => request,
                Waited::Came(Incoming::Expects) => {
                    self.conn.send(HttpResponse::go_on()).await?;
                    self.begun();
                    continue;
                }
                Waited::Part => {
                    self.begun();
                    continue;
                }
                Waited::Fault(fault) => return Box::pin(self.end_with(fault)).await,
                Waited::Left => return Ok(client_close::closed_by_client(self.conn)),
                Waited::Ends(reason) => match end_at_rest(&mut self.conn, reason, self.asked).await {
                    Some(ended) => return Ok(ended),
                    None => {
                        if reason == CloseReason::MadeRoom {
                            self.front.budget.clients.request_eviction();
                        }
                        continue;
                    }
                },
            };
            (self.part, self.asked) = (false, true);
            let Some(Answered { mut response, broken }) = self.answer(&request).await? else {
                return Ok(client_close::closed_by_client(self.conn));
            };
            let ends = *closing.borrow() >= ProcessPhase::HandingOver
                && self.ahead.is_empty()
                && broken.is_none()
                && !client_close::has_unanswered_input(&mut self.conn);
            response.connection_close = request.connection_close || ends;
            let closes = response.connection_close;
            match tokio::time::timeout(RESPONSE_TIMEOUT, self.conn.send(response)).await {
                Ok(sent) => sent?,
                Err(_) => return Err(HttpError::Io(ErrorKind::TimedOut.into())),
            }
            if closes {
                let reason = if ends { CloseReason::Shutdown } else { CloseReason::ClientLeft };
                return Ok(Box::pin(client_close::close_as_announced(self.conn, reason)).await);
            }
            if let Some(fault) = broken {
                return Box::pin(self.end_with(fault)).await;
            }
            release_large_buffers(&mut self.conn);
            self.rests = Instant::now();
            self.until = self.rests + IDLE_TIMEOUT;
        }
    }

    /// The rest of a request has so long to come.
    fn begun(&mut self) {
        (self.part, self.until) = (true, Instant::now() + UNFINISHED_REQUEST_TIMEOUT);
    }

    /// Waits for the next request, or for a reason to end. One of which a part has been read is the proxy's to answer.
    async fn wait(&mut self, closing: &mut PhaseReceiver) -> Waited {
        if let Some(request) = self.ahead.pop_front() {
            return Waited::Came(request);
        }
        let (part, asked, rests) = (self.part, self.asked, self.rests);
        tokio::select! {
            biased;
            read = read_next(&mut self.conn, part) => match read {
                ReadEvent::Message(Some(Ok(request))) => Waited::Came(request),
                ReadEvent::Message(Some(Err(fault))) => Waited::Fault(fault),
                ReadEvent::Message(None) => Waited::Left,
                ReadEvent::Partial => Waited::Part,
            },
            () = closed_and_quiet(closing, asked, rests), if !part => Waited::Ends(CloseReason::Shutdown),
            () = self.front.budget.clients.client_eviction_requested(!asked, rests), if !part => Waited::Ends(CloseReason::MadeRoom),
            () = tokio::time::sleep_until(self.until) => match part {
                true => Waited::Fault(HttpError::Unfinished),
                false => Waited::Ends(if asked { CloseReason::Idle } else { CloseReason::Silent }),
            },
        }
    }

    /// Has a request answered, and reads on meanwhile: this is how a client that leaves is noticed, and by a look where no more is
    /// read. None if it has left.
    async fn answer(&mut self, request: &HttpRequest) -> Result<Option<Answered>, HttpError> {
        count(Count::odata_requests);
        // What was sent before the front was there has waited since then.
        let waited = stall::queued_time(self.waits_since.take());
        let mut answer = pin!(self.front.answer(request, self.conn.get_ref().presence(), waited));
        let mut broken = None;
        loop {
            let reads = self.ahead.len() < MAX_READ_AHEAD && broken.is_none();
            tokio::select! {
                biased;
                response = &mut answer => return Ok(Some(Answered { response, broken })),
                read = read_next_or_close(&mut self.conn, reads, true) => match read {
                    ReadEvent::Message(Some(Ok(next))) => self.ahead.push_back(next),
                    ReadEvent::Message(Some(Err(e @ HttpError::Io(_)))) => return Err(e),
                    ReadEvent::Message(Some(Err(e))) => broken = Some(e),
                    ReadEvent::Message(None) => return Ok(None),
                    ReadEvent::Partial => {}
                },
            }
        }
    }

    /// Answers what could not be read, in its turn, and ends the connection: where the next request starts is not
    /// known.
    async fn end_with(self, error: HttpError) -> Result<ConnectionClosed, HttpError> {
        let no_room = matches!(error, HttpError::NoRoom);
        let fault = match error {
            HttpError::Io(_) => return Err(error),
            HttpError::TooLong => Fault::new(413, "TooLarge", "the request is too long"),
            HttpError::Malformed(_) => Fault::new(400, "BadRequest", error.to_string()),
            HttpError::Unfinished => Fault::new(408, "Unfinished", error.to_string()),
            HttpError::NoRoom => Fault::come_back(None, &error.to_string()),
        };
        let mut response = refused(fault, Form::default());
        response.connection_close = true;
        let Front { budget, pace, clock, .. } = &*self.front;
        // A sound request that finds no room is refused at once.
        let turn = (!no_room).then(|| pace.next_delay(clock.now()));
        Ok(client_close::close_with_error(self.conn, response, turn, &budget.clients).await)
    }
}

/// Waits until connections are to end, and one on which nothing was asked has been quiet: its first request may be on its way.
async fn closed_and_quiet(closing: &mut PhaseReceiver, asked: bool, rests: Instant) {
    wait_for_closing(closing).await;
    if !asked {
        tokio::time::sleep_until(rests + MIN_QUIET_TIME).await;
    }
}

/// Ends a connection if nothing stands on it. A client that was never answered gets a refusal, for what may cross it.
async fn end_at_rest(conn: &mut Conn, reason: CloseReason, asked: bool) -> Option<ConnectionClosed> {
    let last_word = (!asked).then(|| last_refusal(Refusal::for_close(reason)));
    client_close::close_if_idle(conn, reason, last_word).await
}

/// A refusal behind which the connection ends.
pub(super) fn last_refusal(why: Refusal) -> HttpResponse {
    let mut response = Fault::come_back(None, why.text()).response(Form::default());
    response.connection_close = true;
    response
}
