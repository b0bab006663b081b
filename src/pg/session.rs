//! A client connection of the PostgreSQL front, from the startup to the close. Replies are sent in the order
//! of their queries.
//!
//! | state | what ends it |
//! | --- | --- |
//! | no command received | the client; `FIRST_MESSAGE_TIMEOUT`; other clients that need a permit, or the shutdown, both after `MIN_QUIET_TIME` |
//! | message partially received | the rest of the message; `UNFINISHED_MESSAGE_TIMEOUT` |
//! | replies pending | only the client; `WRITE_TIMEOUT` if it takes nothing of them |
//! | idle | the client; `IDLE_TIMEOUT`; other clients that need a permit; the shutdown |
//!
//! Except where the client itself closes, the connection is closed through [`client_close`], which never
//! closes a connection that has unanswered input.

use super::codec::{AfterError, Frontend, Reply, ServerCodec, WireError};
use super::front::{error, last_refusal, Front};
use super::replies::{write_replies, PendingReplies, PendingReply, ReplyPart, Unwritten, WaitingReply};
use super::row_stream::pad_and_fail;
use super::statement::{self, StatementError};
use crate::core::counters::{count, Count};
use crate::core::RequestClient;
use crate::interface::*;
use crate::net::budget::MIN_QUIET_TIME;
use crate::net::client_close::{self, CloseReason, ConnectionClosed, CONNECTION_LOG};
use crate::net::client_write::{self, WRITE_TIMEOUT};
use crate::net::frames::{release_large_buffers, write_or_read, ReadEvent, WriteOrRead, INITIAL_BUFFER_SIZE};
use crate::net::listen::{wait_for_phase, PhaseReceiver, ProcessPhase, Refusal};
use crate::net::socket::Socket;
use crate::net::stall;
use bytes::Bytes;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Maximum number of unanswered queries read from a connection, normally and while memory is short.
const MAX_PIPELINED: usize = 16;
const MAX_PIPELINED_LOW_MEMORY: usize = 1;
/// Time from accepting a connection to the end of its first message after the startup. A client that sends
/// nothing, or only part of a message, must see the connection closed within 3 s.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that the rest of a partially received message may take.
const UNFINISHED_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Time after which an idle connection is closed: its permit costs memory and a descriptor, and some clients
/// never send anything again.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Subtracted from a client's deadline, in us, to allow for the network round trip.
const DEADLINE_MARGIN: Time = 4_000;

/// What has been received from a client so far.
#[derive(Default)]
struct SessionState {
    /// Any message after the startup was received.
    command_seen: bool,
    /// A valid query was received.
    valid_query_seen: bool,
    /// The client may have sent its input as early as this; applies to input received before the first reply.
    waiting_since: Option<std::time::Instant>,
    /// A message of the extended protocol was rejected; messages up to the next Sync are ignored.
    skipping_until_sync: bool,
}

pub(super) type Conn = Framed<Socket, ServerCodec>;

/// A client connection that is being served.
pub(super) struct Session {
    front: Arc<Front>,
    conn: Conn,
    pending: PendingReplies,
    state: SessionState,
    opened: Instant,
    /// Bytes of a streamed value that the client has not taken yet, and when it must have taken some.
    unsent_value: Bytes,
    write_deadline: Instant,
    /// When the last message was received or the last reply was sent.
    idle_since: Instant,
    /// When the first bytes of the current, incomplete message were received.
    partial_since: Option<Instant>,
    phase: ProcessPhase,
    /// The connection is closed as soon as it is idle.
    closing_when_idle: bool,
    /// The client has ended the session (Terminate or CancelRequest).
    terminated: bool,
}

impl Session {
    /// Creates the session of a new connection, whose input may have been sent as early as `waiting_since`.
    pub(super) fn new(front: Arc<Front>, waiting_since: Option<std::time::Instant>, stream: Socket) -> Self {
        let conn = Framed::with_capacity(stream, ServerCodec::new(front.bytes.clone()), INITIAL_BUFFER_SIZE);
        let (state, opened) = (SessionState { waiting_since, ..SessionState::default() }, Instant::now());
        let pending = PendingReplies::new(front.clock, front.answer_limit.clone());
        Session {
            front,
            conn,
            pending,
            state,
            opened,
            unsent_value: Bytes::new(),
            write_deadline: opened,
            idle_since: opened,
            partial_since: None,
            phase: ProcessPhase::Starting,
            closing_when_idle: false,
            terminated: false,
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(mut self, mut closing: PhaseReceiver) -> Result<ConnectionClosed, WireError> {
        self.phase = *closing.borrow();
        self.closing_when_idle = self.phase >= ProcessPhase::Closing;
        // The steps of the shutdown: in `HandingOver` connections close after their next
        // reply, in `Closing` as soon as they are idle.
        let mut handover_reached = closing.clone();
        let mut handover_reached = pin!(wait_for_phase(&mut handover_reached, ProcessPhase::HandingOver));
        let mut closing_reached = pin!(wait_for_phase(&mut closing, ProcessPhase::Closing));
        // Reset only if it fires too early or the deadline moves closer: nearly every wait ends long before
        // its limit.
        let mut timer = pin!(tokio::time::sleep_until(self.opened + FIRST_MESSAGE_TIMEOUT));
        loop {
            if let Some(reason) = self.close_reason() {
                if self.terminated {
                    return Ok(Box::pin(client_close::close_after_last_message(self.conn, reason)).await);
                }
                if let Some(ended) = self.end_if_idle(reason).await {
                    return Ok(ended);
                }
            }
            let may_read = self.may_read();
            // The timeout for partial messages applies only while the connection is read.
            self.partial_since = self.partial_since.filter(|_| may_read);
            let until = self.read_deadline();
            if until.is_some_and(|until| until < timer.deadline()) {
                timer.as_mut().reset(until.unwrap_or(self.opened + FIRST_MESSAGE_TIMEOUT));
            }
            let is_idle = self.is_idle();
            tokio::select! {
                biased;
                part = self.pending.next(), if !self.pending.is_empty() && self.unsent_value.is_empty() => {
                    if let Some(ended) = self.send_reply(part).await? {
                        return Ok(ended);
                    }
                }
                event = write_or_read(&mut self.conn, &mut self.unsent_value, may_read, self.partial_since.is_some()),
                    if may_read || !self.pending.is_empty() =>
                {
                    match event {
                        WriteOrRead::Written => self.write_deadline = Instant::now() + WRITE_TIMEOUT,
                        WriteOrRead::WriteFailed(e) => return Err(e.into()),
                        WriteOrRead::Read(ReadEvent::Partial) => self.partial_since = Some(Instant::now()),
                        WriteOrRead::Read(ReadEvent::Message(None)) => {
                            return Ok(client_close::closed_by_client(self.conn))
                        }
                        WriteOrRead::Read(ReadEvent::Message(Some(Ok(message)))) => {
                            self.handle_message(message).await;
                        }
                        WriteOrRead::Read(ReadEvent::Message(Some(Err(fault)))) => {
                            return Box::pin(self.end_with_error(fault)).await
                        }
                    }
                }
                () = handover_reached.as_mut(), if self.phase < ProcessPhase::HandingOver =>
                    self.phase = ProcessPhase::HandingOver,
                () = closing_reached.as_mut(), if self.phase == ProcessPhase::HandingOver => {
                    (self.phase, self.closing_when_idle) = (ProcessPhase::Closing, true);
                }
                // Other clients need a permit, or too many connections are idle, and this one has been idle
                // for longest.
                () = self.front.clients.client_eviction_requested(!self.state.valid_query_seen, self.idle_since),
                    if is_idle =>
                {
                    if let Some(ended) = self.end_if_idle(CloseReason::MadeRoom).await {
                        return Ok(ended);
                    }
                    self.front.clients.request_eviction();
                }
                () = timer.as_mut() => match self.partial_since {
                    _ if until.is_none_or(|until| Instant::now() < until) => {
                        timer.as_mut().reset(until.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT));
                    }
                    // A client that takes nothing must not hold its permit forever.
                    _ if !self.unsent_value.is_empty() => {
                        return Err(WireError::Io(std::io::ErrorKind::TimedOut.into()))
                    }
                    Some(_) => return Box::pin(self.end_with_error(WireError::Unfinished)).await,
                    None if self.close_reason().is_some() => {}
                    None => {
                        let reason = if self.state.command_seen { CloseReason::Idle } else { CloseReason::Silent };
                        if let Some(ended) = self.end_if_idle(reason).await {
                            return Ok(ended);
                        }
                    }
                },
            }
        }
    }

    /// Whether no reply is pending and no message is partially received.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.partial_since.is_none()
    }

    /// Whether further queries may be read now.
    fn may_read(&self) -> bool {
        let depth = if self.front.bytes.is_scarce() { MAX_PIPELINED_LOW_MEMORY } else { MAX_PIPELINED };
        self.pending.len() < depth && !self.terminated
    }

    /// The reason for closing the connection now, if there is one.
    fn close_reason(&self) -> Option<CloseReason> {
        match () {
            () if !self.is_idle() => None,
            () if self.terminated => Some(CloseReason::ClientLeft),
            // The first request of a new client may be in transit.
            () if self.closing_when_idle
                && (self.state.command_seen || Instant::now() >= self.idle_since + MIN_QUIET_TIME) =>
            {
                Some(CloseReason::Shutdown)
            }
            () => None,
        }
    }

    /// Time by which the client has to send more; `None` while the client waits for a reply.
    fn read_deadline(&self) -> Option<Instant> {
        let first = self.opened + FIRST_MESSAGE_TIMEOUT;
        match self.partial_since {
            _ if !self.unsent_value.is_empty() => Some(self.write_deadline),
            _ if self.pending.is_streaming() => None,
            // A partial first message gets no more time than a client that sends nothing.
            Some(since) if self.state.command_seen => Some(since + UNFINISHED_MESSAGE_TIMEOUT),
            Some(_) => Some(first),
            None if !self.pending.is_empty() => None,
            None if self.state.command_seen => Some(self.idle_since + IDLE_TIMEOUT),
            None if self.closing_when_idle => Some(first.min(self.idle_since + MIN_QUIET_TIME)),
            None => Some(first),
        }
    }

    /// Closes the connection unless there is unanswered input. A client that has sent no command gets a
    /// refusal, which answers a command that may be in transit.
    async fn end_if_idle(&mut self, reason: CloseReason) -> Option<ConnectionClosed> {
        let final_reply = (!self.state.command_seen).then(|| last_refusal(Refusal::for_close(reason)));
        client_close::close_if_idle(&mut self.conn, reason, final_reply).await
    }

    /// Sends a part of a reply, and those after it that are ready. Closes the connection if a value was cut off and
    /// nothing else is to be answered.
    async fn send_reply(&mut self, part: ReplyPart) -> Result<Option<ConnectionClosed>, WireError> {
        let (write_began, is_streamed) = (Instant::now(), !matches!(part, ReplyPart::Reply(_)));
        // The write has a timeout: a client that reads nothing must not hold its permit forever.
        match write_replies(&mut self.conn, part, &mut self.pending).await? {
            Unwritten::Nothing => {}
            Unwritten::Value(bytes) => {
                (self.unsent_value, self.write_deadline) = (bytes, Instant::now() + WRITE_TIMEOUT);
            }
            Unwritten::CutOff(missing) => {
                if let Some(ended) = Box::pin(self.end_cut_off_row(missing)).await? {
                    return Ok(Some(ended));
                }
            }
        }
        // Nothing was read during the write; the rest of a message has no time limit while a value is streamed.
        let partial_since = |since: Instant| match is_streamed {
            true => Instant::now(),
            false => since + write_began.elapsed(),
        };
        self.partial_since = self.partial_since.map(partial_since);
        release_large_buffers(&mut self.conn);
        self.idle_since = Instant::now();
        self.clear_waiting_since();
        if self.state.command_seen {
            self.closing_when_idle |= self.phase >= ProcessPhase::HandingOver;
        }
        Ok(None)
    }

    /// Ends the answer of a row that was cut off `missing` bytes before its end: with the connection, if nothing else is
    /// to be answered on it.
    async fn end_cut_off_row(&mut self, missing: usize) -> Result<Option<ConnectionClosed>, WireError> {
        if self.pending.is_empty() {
            let ended = client_close::close_if_idle(&mut self.conn, CloseReason::Broken, None::<Reply>).await;
            if ended.is_some() {
                return Ok(ended);
            }
        }
        pad_and_fail(&mut self.conn, missing).await?;
        Ok(None)
    }

    /// Input that is still to come has not waited since the connection was made. After the startup's reply the kernel
    /// is asked, as the first query may have come with the startup message.
    fn clear_waiting_since(&mut self) {
        let answered_input =
            |conn: &mut Conn| self.state.command_seen || !client_close::has_unanswered_input(conn);
        if self.state.waiting_since.is_some() && answered_input(&mut self.conn) {
            self.state.waiting_since = None;
        }
    }

    /// Handles a message and queues its reply, if it has one.
    async fn handle_message(&mut self, message: Frontend) {
        (self.partial_since, self.idle_since) = (None, Instant::now());
        let reply = match message {
            Frontend::EncryptionRequest => Some(PendingReply::Ready(Reply::EncryptionDeclined)),
            Frontend::Startup { user } => {
                log::trace!("client {user}");
                Some(PendingReply::Ready(Reply::StartupComplete))
            }
            // Queries received before this are still answered.
            Frontend::Terminate | Frontend::CancelRequest => {
                (self.closing_when_idle, self.terminated) = (true, true);
                None
            }
            message => {
                self.state.command_seen = true;
                self.command(message).await
            }
        };
        if let Some(reply) = reply {
            self.pending.push(reply);
        }
    }

    /// Returns the reply to a message after the startup, if it has one.
    async fn command(&mut self, message: Frontend) -> Option<PendingReply> {
        let unsupported = |after| error("0A000", "only simple queries are spoken here", after);
        let text = match message {
            Frontend::Query(text) if !self.state.skipping_until_sync => text,
            Frontend::BudgetExhausted if !self.state.skipping_until_sync => {
                count(Count::pg_no_room);
                return Some(PendingReply::Ready(error(
                    "53300",
                    NO_MEMORY_MESSAGE,
                    AfterError::ReadyForQuery,
                )));
            }
            Frontend::Sync => {
                self.state.skipping_until_sync = false;
                return Some(PendingReply::Ready(Reply::ReadyForQuery));
            }
            Frontend::Other(b'F') if !self.state.skipping_until_sync => {
                return Some(self.paced(unsupported(AfterError::ReadyForQuery)))
            }
            // Rejects a sequence of extended-protocol messages once; the rest, up to the Sync, gets no
            // replies.
            Frontend::Other(b'P' | b'B' | b'D' | b'E' | b'C') if !self.state.skipping_until_sync => {
                self.state.skipping_until_sync = true;
                return Some(self.paced(unsupported(AfterError::AwaitSync)));
            }
            _ => return None,
        };
        if text.trim_ascii().is_empty() {
            log::debug!(target: CONNECTION_LOG, client = self.conn.get_ref().port(); "empty query");
            self.state.valid_query_seen = true;
            return Some(PendingReply::Ready(Reply::EmptyQuery));
        }
        Some(self.query(text).await)
    }

    /// Submits a query, and returns its pending reply.
    async fn query(&mut self, text: Bytes) -> PendingReply {
        count(Count::pg_requests);
        let front = &self.front;
        let class_table = front.class_table.borrow().clone();
        let waited = stall::queued_time(self.state.waiting_since);
        let arrived_since = front.clock.now().saturating_sub(waited);
        match statement::parse(text, &class_table, arrived_since) {
            Ok(mut request) => {
                self.state.valid_query_seen = true;
                let client = self.conn.get_ref();
                request.deadline = front.answer_limit.cap(request.deadline.saturating_sub(DEADLINE_MARGIN));
                let connection = client.client_connection();
                request.client = Some(RequestClient { connection, seen_at: arrived_since });
                log::debug!(
                    target: CONNECTION_LOG, client = client.port(), name:? = request.name, waited_us = waited;
                    "request read"
                );
                let write = request.class_table.classes[request.class].consistency == Consistency::Write;
                let deadline = request.deadline;
                let pending = front.core.submit(request).await;
                PendingReply::Waiting(WaitingReply { pending, write, deadline })
            }
            Err(StatementError { code, message }) => {
                let (after, message) = (AfterError::ReadyForQuery, Bytes::from(message));
                self.paced(Reply::Error { after, code, message, detail: None })
            }
        }
    }

    /// Delays the reply to a malformed message, so that such clients do not take up the processor.
    fn paced(&self, reply: Reply) -> PendingReply {
        count(Count::pg_malformed);
        PendingReply::Paced(Box::pin(tokio::time::sleep(self.reply_delay())), reply)
    }

    fn reply_delay(&self) -> Duration {
        self.front.pace.next_delay(self.front.clock.now())
    }

    /// Handles a framing error, after which the next message cannot be found: answers the queries received
    /// before it, unless the client has left, then sends an error and closes the connection.
    async fn end_with_error(mut self, fault: WireError) -> Result<ConnectionClosed, WireError> {
        client_write::write_all(self.conn.get_mut(), std::mem::take(&mut self.unsent_value)).await?;
        while !self.pending.is_empty() {
            let part = tokio::select! {
                biased;
                part = self.pending.next() => part,
                () = self.conn.get_mut().wait_closed() => return Ok(client_close::closed_by_client(self.conn)),
            };
            match write_replies(&mut self.conn, part, &mut self.pending).await? {
                Unwritten::Nothing => {}
                Unwritten::Value(bytes) => client_write::write_all(self.conn.get_mut(), bytes).await?,
                // The input that could not be read is still to be answered.
                Unwritten::CutOff(missing) => pad_and_fail(&mut self.conn, missing).await?,
            }
        }
        let (code, counter) = match fault {
            WireError::Io(_) => return Err(fault),
            WireError::TooLong(_) => ("54000", Count::pg_oversized),
            WireError::Malformed(_) => ("08P01", Count::pg_malformed),
            WireError::Unfinished => ("08P01", Count::pg_unfinished),
            WireError::BudgetExhausted => ("53300", Count::pg_no_room),
        };
        count(counter);
        log::debug!(target: CONNECTION_LOG, "closed with an error: {fault}");
        let message = Bytes::from(fault.to_string());
        let final_reply = Reply::Error { after: AfterError::Close, code, message, detail: None };
        // A well-formed message for which there is no memory is refused without delay.
        let reply_delay = (!matches!(fault, WireError::BudgetExhausted)).then(|| self.reply_delay());
        Ok(client_close::close_with_error(self.conn, final_reply, reply_delay, &self.front.clients).await)
    }
}

/// Error message for a client whose message exceeds the byte budget.
const NO_MEMORY_MESSAGE: &str = "no room for one more message; trying again is harmless";
