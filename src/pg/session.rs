//! One client's connection by the platform's protocol, from its first byte to its end: queries in, answers out in their order.
//!
//! | state | ends by |
//! | --- | --- |
//! | never asked | the client; `FIRST_MESSAGE_TIMEOUT`; others who lack a permit, once it was quiet; the end of the process, once it was quiet |
//! | a message is begun | its rest; `UNFINISHED_MESSAGE_TIMEOUT` |
//! | answers are owed | nothing but the client |
//! | at rest | the client; `IDLE_TIMEOUT`; others who lack a permit; the end of the process |
//!
//! All but the client's own end go through [`client_close`], which ends nothing that has no answer.

use super::codec::{After, Frontend, Reply, ServerCodec, WireError};
use super::front::{error, last_refusal, Front};
use super::replies::{due, put, OwedReplies, PendingReply};
use super::statement::{self, Fault};
use crate::core::counters::{count, Count};
use crate::interface::*;
use crate::net::budget::MIN_QUIET_TIME;
use crate::net::client_close::{self, CloseReason, ConnectionClosed, CONNECTION_LOG};
use crate::net::frames::{read_next_or_close, release_large_buffers, ReadEvent, INITIAL_BUFFER_SIZE};
use crate::net::listen::{wait_for_phase, PhaseReceiver, ProcessPhase, Refusal};
use crate::net::socket::Socket;
use crate::net::stall;
use bytes::Bytes;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Queries taken from one connection before their answers have gone out, and while memory is short.
const MAX_PIPELINED: usize = 16;
const MAX_PIPELINED_TIGHT: usize = 1;
/// From a connection's start to the end of its first message after the startup: a client that says nothing, or
/// begins and does not end, is owed a close within 3 s.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a message that was begun may take to end.
const UNFINISHED_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// How long a client may hold its connection without asking anything more: its permit costs memory and a descriptor,
/// and some never come back.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Kept off a client's deadline, in us: the way there and back takes time.
const DEADLINE_MARGIN: Time = 4_000;

/// What a client has said so far.
#[derive(Default)]
struct SessionState {
    /// Anything at all after its startup.
    asked: bool,
    /// Something that could be understood.
    sound: bool,
    /// What has come until the first answer may have been sent since then.
    waits_since: Option<std::time::Instant>,
    /// A round of the extended protocol was turned away; the rest of it is passed over.
    skipping: bool,
}

pub(super) type Conn = Framed<Socket, ServerCodec>;

/// A connection while it is served.
pub(super) struct Session {
    front: Arc<Front>,
    conn: Conn,
    owed: OwedReplies,
    state: SessionState,
    opened: Instant,
    /// Since when nothing was asked and nothing answered.
    rests: Instant,
    /// Since when a message is begun that has not ended.
    part: Option<Instant>,
    phase: ProcessPhase,
    /// The connection ends as soon as it is at rest.
    leaving: bool,
    /// The client has said goodbye.
    goodbye: bool,
}

impl Session {
    /// One on a new connection. What its client has sent already may have been sent at any time since `waits_since`.
    pub(super) fn new(front: Arc<Front>, waits_since: Option<std::time::Instant>, stream: Socket) -> Self {
        let conn = Framed::with_capacity(stream, ServerCodec::new(front.bytes.clone()), INITIAL_BUFFER_SIZE);
        let (state, opened) = (SessionState { waits_since, ..SessionState::default() }, Instant::now());
        Session {
            front,
            conn,
            owed: OwedReplies::default(),
            state,
            opened,
            rests: opened,
            part: None,
            phase: ProcessPhase::Starting,
            leaving: false,
            goodbye: false,
        }
    }

    /// Serves it to its end.
    pub(super) async fn run(mut self, mut closing: PhaseReceiver) -> Result<ConnectionClosed, WireError> {
        self.phase = *closing.borrow();
        self.leaving = self.phase >= ProcessPhase::Closing;
        // Set anew with each step of the end: first connections end with their next answer, then between requests.
        let mut begun = closing.clone();
        let mut begun = pin!(wait_for_phase(&mut begun, ProcessPhase::HandingOver));
        let mut closed = pin!(wait_for_phase(&mut closing, ProcessPhase::Closing));
        // Set anew only when it rings too early: nearly every wait ends long before its limit.
        let mut timer = pin!(tokio::time::sleep_until(self.opened + FIRST_MESSAGE_TIMEOUT));
        loop {
            if let Some(reason) = self.ends_now() {
                if self.goodbye {
                    return Ok(Box::pin(client_close::close_after_last_message(self.conn, reason)).await);
                }
                if let Some(ended) = self.end_at_rest(reason).await {
                    return Ok(ended);
                }
            }
            let reads = self.reads();
            // Only what is being read can be late.
            self.part = self.part.filter(|_| reads);
            let until = self.limit();
            if until.is_some_and(|until| until < timer.deadline()) {
                timer.as_mut().reset(until.unwrap_or(self.opened + FIRST_MESSAGE_TIMEOUT));
            }
            let at_rest = self.at_rest();
            tokio::select! {
                biased;
                reply = due(&mut self.owed.0), if !self.owed.0.is_empty() => self.answer(reply).await?,
                read = read_next_or_close(&mut self.conn, reads, self.part.is_some()), if reads || !self.owed.0.is_empty() => {
                    match read {
                        ReadEvent::Partial => self.part = Some(Instant::now()),
                        ReadEvent::Message(None) => return Ok(client_close::closed_by_client(self.conn)),
                        ReadEvent::Message(Some(Ok(message))) => self.dispatch(message).await,
                        ReadEvent::Message(Some(Err(fault))) => return Box::pin(self.end_with(fault)).await,
                    }
                }
                () = begun.as_mut(), if self.phase < ProcessPhase::HandingOver => self.phase = ProcessPhase::HandingOver,
                () = closed.as_mut(), if self.phase == ProcessPhase::HandingOver => {
                    (self.phase, self.leaving) = (ProcessPhase::Closing, true);
                }
                // Others lack a permit, or too many rest: this one is between requests and has been for longest.
                () = self.front.clients.client_eviction_requested(!self.state.sound, self.rests), if at_rest => {
                    if let Some(ended) = self.end_at_rest(CloseReason::MadeRoom).await {
                        return Ok(ended);
                    }
                    self.front.clients.request_eviction();
                }
                () = timer.as_mut() => match self.part {
                    _ if until.is_none_or(|until| Instant::now() < until) => {
                        timer.as_mut().reset(until.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT));
                    }
                    Some(_) => return Box::pin(self.end_with(WireError::Unfinished)).await,
                    None if self.ends_now().is_some() => {}
                    None => {
                        let reason = if self.state.asked { CloseReason::Idle } else { CloseReason::Silent };
                        if let Some(ended) = self.end_at_rest(reason).await {
                            return Ok(ended);
                        }
                    }
                },
            }
        }
    }

    /// Nothing is owed, and no message is begun.
    fn at_rest(&self) -> bool {
        self.owed.0.is_empty() && self.part.is_none()
    }

    /// Whether more is read now.
    fn reads(&self) -> bool {
        let depth = if self.front.bytes.is_scarce() { MAX_PIPELINED_TIGHT } else { MAX_PIPELINED };
        self.owed.0.len() < depth && !self.goodbye
    }

    /// Why the connection is to end, if it is to end now.
    fn ends_now(&self) -> Option<CloseReason> {
        match () {
            () if !self.at_rest() => None,
            () if self.goodbye => Some(CloseReason::ClientLeft),
            // The first request of a new client may be on its way.
            () if self.leaving && (self.state.asked || Instant::now() >= self.rests + MIN_QUIET_TIME) => {
                Some(CloseReason::Shutdown)
            }
            () => None,
        }
    }

    /// Until when the client has to say something more; none while it waits itself.
    fn limit(&self) -> Option<Instant> {
        let first = self.opened + FIRST_MESSAGE_TIMEOUT;
        match self.part {
            // The first message has no longer than a client that says nothing.
            Some(since) if self.state.asked => Some(since + UNFINISHED_MESSAGE_TIMEOUT),
            Some(_) => Some(first),
            None if !self.owed.0.is_empty() => None,
            None if self.state.asked => Some(self.rests + IDLE_TIMEOUT),
            None if self.leaving => Some(first.min(self.rests + MIN_QUIET_TIME)),
            None => Some(first),
        }
    }

    /// Ends the connection if nothing stands on it. A client that was never answered gets a refusal, for what may cross it.
    async fn end_at_rest(&mut self, reason: CloseReason) -> Option<ConnectionClosed> {
        let last_word = (!self.state.asked).then(|| last_refusal(Refusal::for_close(reason)));
        client_close::close_if_idle(&mut self.conn, reason, last_word).await
    }

    /// Sends an answer, and those behind it that are due already.
    async fn answer(&mut self, reply: Reply) -> Result<(), WireError> {
        // A client that takes in nothing must not hold its permit for ever.
        put(&mut self.conn, reply, &mut self.owed.0).await?;
        release_large_buffers(&mut self.conn);
        self.rests = Instant::now();
        if self.state.asked {
            self.state.waits_since = None;
            self.leaving |= self.phase >= ProcessPhase::HandingOver;
        }
        Ok(())
    }

    /// Takes in a message; what it is owed is owed from now on.
    async fn dispatch(&mut self, message: Frontend) {
        (self.part, self.rests) = (None, Instant::now());
        let reply = match message {
            Frontend::Encrypt => Some(PendingReply::Ready(Reply::NoEncryption)),
            Frontend::Startup { user } => {
                log::trace!("client {user}");
                Some(PendingReply::Ready(Reply::Welcome))
            }
            // What was asked before the goodbye is still answered.
            Frontend::Terminate | Frontend::Cancel => {
                (self.leaving, self.goodbye) = (true, true);
                None
            }
            message => {
                self.state.asked = true;
                self.command(message).await
            }
        };
        self.owed.0.extend(reply);
    }

    /// The answer to a command of a session that has begun, if it has one.
    async fn command(&mut self, message: Frontend) -> Option<PendingReply> {
        let no = |after| error("0A000", "only simple queries are spoken here", after);
        let text = match message {
            Frontend::Query(text) if !self.state.skipping => text,
            Frontend::NoRoom if !self.state.skipping => {
                count(Count::pg_no_room);
                return Some(PendingReply::Ready(error("53300", NO_ROOM, After::Ready)));
            }
            Frontend::Sync => {
                self.state.skipping = false;
                return Some(PendingReply::Ready(Reply::Ready));
            }
            Frontend::Other(b'F') if !self.state.skipping => return Some(self.paced(no(After::Ready))),
            // Once for a round of the extended protocol; the rest of it, up to its Sync, gets no answer of its own.
            Frontend::Other(b'P' | b'B' | b'D' | b'E' | b'C') if !self.state.skipping => {
                self.state.skipping = true;
                return Some(self.paced(no(After::Sync)));
            }
            _ => return None,
        };
        if text.trim_ascii().is_empty() {
            log::debug!(target: CONNECTION_LOG, client = self.conn.get_ref().port(); "empty query");
            self.state.sound = true;
            return Some(PendingReply::Ready(Reply::Empty));
        }
        Some(self.query(text).await)
    }

    /// The answer to a query.
    async fn query(&mut self, text: Bytes) -> PendingReply {
        count(Count::pg_requests);
        let front = &self.front;
        let class_table = front.class_table.borrow().clone();
        let waited = stall::queued_time(self.state.waits_since);
        match statement::read(text, &class_table, front.clock.now().saturating_sub(waited)) {
            Ok(mut request) => {
                self.state.sound = true;
                let client = self.conn.get_ref();
                request.deadline = front.answer_limit.cap(request.deadline.saturating_sub(DEADLINE_MARGIN));
                request.client = Some(client.presence());
                log::debug!(target: CONNECTION_LOG, client = client.port(), name:? = request.name; "request read");
                let write = request.class_table.classes[request.class].consistency == Consistency::Write;
                PendingReply::Waiting(front.core.submit(request).await, write)
            }
            Err(Fault { code, message }) => {
                let (after, message) = (After::Ready, Bytes::from(message));
                self.paced(Reply::Error { after, code, message, detail: None })
            }
        }
    }

    /// The answer to what cannot be understood, in its turn.
    fn paced(&self, reply: Reply) -> PendingReply {
        count(Count::pg_malformed);
        PendingReply::Paced(Box::pin(tokio::time::sleep(self.turn())), reply)
    }

    fn turn(&self) -> Duration {
        self.front.pace.next_delay(self.front.clock.now())
    }

    /// The next message cannot be found any more: what was asked before is answered, to a client that is still there, then comes
    /// an error, and the end.
    async fn end_with(mut self, fault: WireError) -> Result<ConnectionClosed, WireError> {
        while !self.owed.0.is_empty() {
            let reply = tokio::select! {
                biased;
                reply = due(&mut self.owed.0) => reply,
                () = self.conn.get_mut().wait_closed() => return Ok(client_close::closed_by_client(self.conn)),
            };
            put(&mut self.conn, reply, &mut self.owed.0).await?;
        }
        let (code, counter) = match fault {
            WireError::Io(_) => return Err(fault),
            WireError::TooLong(_) => ("54000", Count::pg_oversized),
            WireError::Malformed(_) => ("08P01", Count::pg_malformed),
            WireError::Unfinished => ("08P01", Count::pg_unfinished),
            WireError::NoRoom => ("53300", Count::pg_no_room),
        };
        count(counter);
        log::debug!(target: CONNECTION_LOG, "closed with an error: {fault}");
        let message = Bytes::from(fault.to_string());
        let last_word = Reply::Error { after: After::End, code, message, detail: None };
        // A sound request that finds no room is refused at once.
        let turn = (!matches!(fault, WireError::NoRoom)).then(|| self.turn());
        Ok(client_close::close_with_error(self.conn, last_word, turn, &self.front.clients).await)
    }
}

/// What a client is told whose message finds no memory.
const NO_ROOM: &str = "no room for one more message; trying again is harmless";
