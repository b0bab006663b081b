//! Connections from the proxy to members.
//!
//! An answer is accepted only if it is complete: its messages in the order of the protocol, each of the length that it
//! announces, up to ReadyForQuery. Any other answer is treated as corrupted in transit: the statement may have run,
//! whatever the rest of the answer says, and nothing that came with it is used.

use super::frames::WireError;
use super::member_codec::{encode_statement, Backend, ClientCodec, Column, Frontend, Parameter};
use super::statement::{is_write, render};
use crate::core::counters::{count, Count};
use crate::core::flow::{Chunk, ChunkSender, ValueStream};
use crate::core::{Value, Work};
use crate::interface::*;
use crate::meter::{self, Cost};
use crate::net::budget::ByteBudget;
use crate::net::frames::{read_next, release_large_buffers, ReadEvent, INITIAL_BUFFER_SIZE};
use crate::net::member_protocol::{Confirmation, Exchange, MemberConnection, MemberProtocol, StaleInput};
use crate::net::socket::Socket;
use crate::net::transient;
use bytes::Bytes;
use futures_util::SinkExt;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Maximum time without new bytes once an answer has begun to arrive; after that the rest is taken for lost.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a large value that is streamed to the client.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of messages that are skipped before the fence's answer.
const MAX_STRAY_MESSAGES: usize = 16;

/// Whether an error with this code means that the member rejected the statement without running it.
fn is_rejection(code: &[u8; 5]) -> bool {
    matches!(code, b"53300" | b"25006" | b"72000")
}

/// Opens PostgreSQL connections to members.
#[derive(Clone)]
pub struct PgConnector {
    bytes: ByteBudget,
}

impl PgConnector {
    /// Creates a connector whose connections count the messages they hold in memory against `bytes`.
    pub fn new(bytes: ByteBudget) -> Self {
        PgConnector { bytes }
    }
}

/// A connection to a member whose startup is complete.
pub struct Connection {
    framed: Framed<Socket, ClientCodec>,
    /// The answer whose value is being streamed.
    partial_reply: Option<Box<Reply>>,
    _permit: OwnedSemaphorePermit,
}

/// How the messages of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyEnd {
    /// With ReadyForQuery, or with an orderly close of the connection after a fatal error.
    Complete { ready: bool },
    /// The connection failed or was closed before that.
    Disconnected,
    /// Not yet: this many bytes of its value follow.
    Streaming(usize),
    /// With something that is not a valid answer, for this reason.
    Corrupt(&'static str),
}

/// Contents of an answer.
#[derive(Default)]
struct Reply {
    column: Option<Column>,
    row: Option<Option<Bytes>>,
    complete: bool,
    code: Option<[u8; 5]>,
    fatal: bool,
    note: Option<Note>,
    report: Option<Report>,
}

impl MemberProtocol for PgConnector {
    type Connection = Connection;

    async fn open(&self, address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Connection, Outcome> {
        let stream = transient::connect(address).await.map_err(|_| Outcome::Refused)?;
        let framed = Framed::with_capacity(
            Socket::new(stream),
            ClientCodec::new(self.bytes.clone()),
            INITIAL_BUFFER_SIZE,
        );
        let mut connection = Connection { framed, partial_reply: None, _permit: permit };
        connection.framed.send(Frontend::Startup).await.map_err(|_| Outcome::Refused)?;
        // No statement has been written yet, so nothing can have run and every failure counts as a refusal.
        let mut authenticated = false;
        loop {
            let ReadEvent::Message(Some(Ok(message))) = read_next(&mut connection.framed, true).await else {
                return Err(Outcome::Refused);
            };
            match message {
                Backend::AuthenticationOk if !authenticated => authenticated = true,
                // Bytes that follow it already would be taken for the first statement's answer.
                Backend::ReadyForQuery if authenticated && !connection.has_unexpected_bytes() => {
                    connection.framed.get_ref().assume_drained();
                    return Ok(connection);
                }
                Backend::ParameterStatus(..) | Backend::BackendKeyData if authenticated => {}
                Backend::Other(b'N') => {}
                Backend::Error { code, .. } if &code == b"53300" => return Err(Outcome::Saturated),
                _ => return Err(Outcome::Refused),
            }
        }
    }
}

impl Connection {
    /// Reads up to the end of the fence's answer. Returns the number of messages before it, which are left over from an
    /// earlier answer.
    async fn read_fence_answer(&mut self) -> Result<usize, ReplyEnd> {
        let mut stray_messages = 0;
        loop {
            match read_next(&mut self.framed, true).await {
                ReadEvent::Message(Some(Ok(Backend::EmptyQuery))) => break,
                // An answer has no more messages than this; a member that sends more may never stop.
                ReadEvent::Message(Some(Ok(_))) if stray_messages < MAX_STRAY_MESSAGES => stray_messages += 1,
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => return Err(ReplyEnd::Disconnected),
                _ => return Err(ReplyEnd::Corrupt("what stands before an answer cannot be read")),
            }
        }
        match read_next(&mut self.framed, true).await {
            ReadEvent::Message(Some(Ok(Backend::ReadyForQuery))) => Ok(stray_messages),
            ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => Err(ReplyEnd::Disconnected),
            _ => Err(ReplyEnd::Corrupt("the fence's answer does not end")),
        }
    }

    /// Reads one answer.
    async fn read_reply(&mut self) -> (Reply, ReplyEnd) {
        let mut reply = Reply::default();
        let mut stall_deadline: Option<Instant> = None;
        loop {
            let len_before = self.framed.read_buffer().len();
            let read = read_next(&mut self.framed, stall_deadline.is_some());
            let read = match stall_deadline {
                Some(at) => match tokio::time::timeout_at(at, read).await {
                    Ok(read) => read,
                    // The answer of a slow member arrives in small pieces: waits on as long as any bytes arrive.
                    Err(_) if self.framed.read_buffer().len() > len_before => {
                        stall_deadline = Some(Instant::now() + STALL_TIMEOUT);
                        continue;
                    }
                    Err(_) => return (reply, ReplyEnd::Corrupt("the rest of an answer did not come")),
                },
                None => read.await,
            };
            let message = match read {
                ReadEvent::Partial => {
                    stall_deadline = Some(Instant::now() + STALL_TIMEOUT);
                    continue;
                }
                ReadEvent::Message(Some(Ok(message))) => message,
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None)
                    if reply.fatal && self.framed.read_buffer().is_empty() =>
                {
                    return (reply, ReplyEnd::Complete { ready: false })
                }
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => {
                    return (reply, ReplyEnd::Disconnected)
                }
                ReadEvent::Message(Some(Err(e))) => {
                    count(Count::member_unreadable);
                    let received = self.framed.read_buffer().len();
                    log::debug!(received; "a member's message cannot be read: {e}");
                    return (reply, ReplyEnd::Corrupt("a message of an answer cannot be read"));
                }
            };
            if let Backend::LargeRowStart(length) = message {
                return match reply.expects_row() {
                    true => (reply, ReplyEnd::Streaming(length)),
                    false => (reply, ReplyEnd::Corrupt("a message stands where it does not belong")),
                };
            }
            // A notice or a parameter may arrive long before the rest of the answer.
            let unrelated = matches!(message, Backend::ParameterStatus(..) | Backend::Other(_));
            stall_deadline = if unrelated {
                None
            } else {
                stall_deadline.or_else(|| Some(Instant::now() + STALL_TIMEOUT))
            };
            match reply.add(message) {
                Ok(false) => {}
                Ok(true) => return (reply, ReplyEnd::Complete { ready: true }),
                Err(what) => return (reply, ReplyEnd::Corrupt(what)),
            }
        }
    }

    /// Reads the next answer, after the fence's answer if stale input is possible. The flag tells whether messages of
    /// an earlier answer came before it.
    async fn read_answer(&mut self, stale_input: StaleInput) -> (Reply, ReplyEnd, bool) {
        let stray_messages = match stale_input {
            StaleInput::Excluded => 0,
            StaleInput::Possible => match self.read_fence_answer().await {
                Ok(stray_messages) => stray_messages,
                Err(end) => return (Reply::default(), end, true),
            },
        };
        if stray_messages > 0 {
            count(Count::member_extras);
        }
        let (reply, end) = self.read_reply().await;
        // The rest of a streamed value may be in the socket already.
        if matches!(end, ReplyEnd::Complete { .. }) {
            self.framed.get_ref().assume_drained();
        }
        (reply, end, stray_messages > 0)
    }

    /// Whether bytes were received that belong to no answer. Counts them if so.
    fn has_unexpected_bytes(&self) -> bool {
        let any = !self.framed.read_buffer().is_empty();
        if any {
            count(Count::member_extras);
        }
        any
    }

    async fn write(&mut self, work: &Work, wait: Time, fence: bool) -> io::Result<()> {
        let rendered;
        let (text, at) = match work {
            Work::Verbatim { text, wait, .. } => (&text[..], wait),
            Work::Operation(operation) => {
                rendered = render(operation);
                (rendered.0.as_bytes(), &rendered.1)
            }
        };
        let parts = (text.get(..at.start).unwrap_or_default(), text.get(at.end..).unwrap_or_default());
        let mut message = encode_statement(parts, wait, fence);
        self.framed.get_mut().write_all_buf(&mut message).await
    }
}

impl MemberConnection for Connection {
    fn is_quiet(&self) -> bool {
        if self.has_unexpected_bytes() {
            return false;
        }
        meter::add(Cost::Peeks, 1);
        let peeked = SockRef::from(self.framed.get_ref().get_ref()).peek(&mut [MaybeUninit::uninit(); 1]);
        // A close delivers no byte, so it is not counted, but it makes the connection unusable too.
        if peeked.as_ref().is_ok_and(|n| *n > 0) {
            count(Count::member_extras);
        }
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    async fn fence(&mut self) -> bool {
        if self.framed.send(Frontend::EmptyQuery).await.is_err() {
            return false;
        }
        let stray_messages = self.read_fence_answer().await;
        self.framed.get_ref().assume_drained();
        if matches!(stray_messages, Ok(n) if n > 0) {
            count(Count::member_extras);
        }
        matches!(stray_messages, Ok(0)) && self.framed.read_buffer().is_empty()
    }

    async fn run(
        &mut self,
        work: &Work,
        wait: Time,
        stale_input: StaleInput,
        written: &mut Option<std::time::Instant>,
    ) -> Exchange {
        if self.write(work, wait, stale_input == StaleInput::Possible).await.is_err() {
            // The connection failed before the last byte was written: the statement never ran.
            return Exchange::default();
        }
        *written = Some(std::time::Instant::now());
        let (mut reply, end, had_stray_messages) = self.read_answer(stale_input).await;
        release_large_buffers(&mut self.framed);
        let outcome = match end {
            ReplyEnd::Complete { .. } => reply.outcome(is_write(work)),
            ReplyEnd::Streaming(_) => Outcome::Completed,
            // The member's answer cannot be passed on, and the statement may have run.
            ReplyEnd::Corrupt(_) => Outcome::Errored,
            ReplyEnd::Disconnected => Outcome::Reset,
        };
        // An outcome that proves that nothing ran must be certain, so the socket itself is checked for further bytes.
        // For a value the read buffer is enough: later bytes are detected when the connection is used again.
        let proves_not_run = matches!(outcome, Outcome::Miss | Outcome::Saturated);
        let complete = end == ReplyEnd::Complete { ready: true };
        let has_extra_bytes = had_stray_messages
            || complete && if proves_not_run { !self.is_quiet() } else { self.has_unexpected_bytes() };
        let outcome = if has_extra_bytes && proves_not_run { Outcome::Errored } else { outcome };
        if let ReplyEnd::Corrupt(what) = end {
            count(Count::member_spoilt);
            log::debug!("an answer is spoilt: {what}");
            return Exchange { outcome, ..Exchange::default() };
        }
        if let ReplyEnd::Streaming(length) = end {
            count(Count::flows);
            let (sender, stream) = ValueStream::new(length);
            let value = reply.column.as_ref().map(|c| Value {
                binary: c.binary,
                type_id: c.type_id,
                rows: 1,
                bytes: None,
                stream: Some(stream),
            });
            let (note, report) = (reply.note, reply.report);
            reply.row = Some(None);
            self.partial_reply = Some(Box::new(reply));
            return Exchange { outcome, value, note, report, reusable: false, value_rest: Some(sender) };
        }
        let Reply { column, row, note, report, .. } = reply;
        let value = column.filter(|_| outcome == Outcome::Completed).map(|c| Value {
            binary: c.binary,
            type_id: c.type_id,
            rows: u32::from(row.is_some()),
            bytes: row.flatten(),
            stream: None,
        });
        Exchange { outcome, value, note, report, reusable: complete && !has_extra_bytes, value_rest: None }
    }

    async fn confirm(&mut self) -> Confirmation {
        // If the write fails the connection is closed, which the reads below report after all input received before.
        let _ = self.framed.send(Frontend::EmptyQuery).await;
        let mut copies = 0;
        let mut answered = false;
        let confirmation = loop {
            match read_next(&mut self.framed, true).await {
                ReadEvent::Message(Some(Ok(Backend::EmptyQuery))) if !answered => answered = true,
                ReadEvent::Message(Some(Ok(Backend::ReadyForQuery))) if answered && copies == 0 => {
                    break Confirmation::Reusable
                }
                ReadEvent::Message(Some(Ok(Backend::ReadyForQuery))) if answered => {
                    break Confirmation::NotReusable
                }
                // A duplicate of the refusal does not contradict it.
                ReadEvent::Message(Some(Ok(Backend::Error { code, .. })))
                    if copies < MAX_STRAY_MESSAGES && is_rejection(&code) =>
                {
                    copies += 1;
                }
                ReadEvent::Message(Some(Ok(Backend::ReadyForQuery))) if copies > 0 => {}
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => break Confirmation::NotReusable,
                _ => break Confirmation::Contradicted,
            }
        };
        self.framed.get_ref().assume_drained();
        if copies > 0 || confirmation == Confirmation::Contradicted {
            count(Count::member_extras);
        }
        match self.framed.read_buffer().is_empty() {
            true => confirmation,
            false => Confirmation::Contradicted,
        }
    }

    async fn forward_rest(&mut self, to: ChunkSender) -> bool {
        let Some(mut reply) = self.partial_reply.take() else { return false };
        let whole = loop {
            let read = tokio::time::timeout(STREAM_STALL_TIMEOUT, read_next(&mut self.framed, true)).await;
            let Ok(ReadEvent::Message(Some(Ok(message)))) = read else { break false };
            match message {
                // Waits until the client takes the chunk; fails if the client has left.
                Backend::Chunk(bytes) => match to.send(Chunk::Bytes(bytes)).await {
                    Ok(()) => {}
                    Err(_) => break false,
                },
                message => match reply.add(message) {
                    Ok(false) => {}
                    Ok(true) => break reply.code.is_none(),
                    Err(_) => break false,
                },
            }
        };
        release_large_buffers(&mut self.framed);
        self.framed.get_ref().assume_drained();
        if whole {
            let _ = to.send(Chunk::End).await;
        } else {
            count(Count::flows_broken);
        }
        whole && !self.has_unexpected_bytes()
    }

    async fn probe(&mut self, stale_input: StaleInput) -> Option<(Report, bool)> {
        if stale_input == StaleInput::Possible {
            self.framed.feed(Frontend::EmptyQuery).await.ok()?;
        }
        self.framed.send(Frontend::Stats).await.ok()?;
        let (reply, end, had_stray_messages) = self.read_answer(stale_input).await;
        match end {
            ReplyEnd::Complete { ready: true } if reply.code.is_none() => {
                let report = reply.row.flatten().and_then(|row| parse_report(&row));
                Some((report.unwrap_or_default(), !had_stray_messages && !self.has_unexpected_bytes()))
            }
            ReplyEnd::Corrupt(_) => {
                count(Count::member_spoilt);
                Some((Report::default(), false))
            }
            _ => None,
        }
    }
}

impl Reply {
    /// Whether neither CommandComplete nor an error has been received.
    fn is_open(&self) -> bool {
        !self.complete && self.code.is_none()
    }

    /// Whether a row may follow.
    fn expects_row(&self) -> bool {
        self.is_open() && self.column.is_some() && self.row.is_none()
    }

    /// Adds the next message; returns true at the end of the answer.
    fn add(&mut self, message: Backend) -> Result<bool, &'static str> {
        let open = self.is_open();
        match message {
            Backend::RowDescription(c) if open && self.column.is_none() => self.column = Some(c),
            Backend::DataRow(value) if self.expects_row() => self.row = Some(value),
            Backend::CommandComplete if open && self.column.is_some() => self.complete = true,
            Backend::Error { fatal, code, message } if open => {
                if &code == b"08P01" {
                    let message = String::from_utf8_lossy(&message);
                    log::error!("a member takes a statement for malformed: {message}");
                }
                (self.fatal, self.code) = (fatal, Some(code));
            }
            Backend::ParameterStatus(name, value) => self.apply_parameter(name, &value),
            Backend::Other(b'N') => {}
            Backend::ReadyForQuery if !open => return Ok(true),
            _ => return Err("a message stands where it does not belong"),
        }
        Ok(false)
    }

    /// Returns the outcome of a statement whose complete answer this is; `write` tells whether it was a write.
    fn outcome(&self, write: bool) -> Outcome {
        let Some(code) = &self.code else { return Outcome::Completed };
        // A row description shows that the statement began to run.
        if self.column.is_some() {
            return Outcome::Errored;
        }
        match (code, write) {
            (b"53300", _) => Outcome::Saturated,
            // 25006 (read-only) can only be the answer to a write, and 72000 (position not reached) only to a read.
            (b"25006", true) | (b"72000", false) => Outcome::Miss,
            _ => Outcome::Errored,
        }
    }

    fn apply_parameter(&mut self, name: Parameter, value: &[u8]) {
        let note = self.note.unwrap_or(Note { position: None, role: None });
        let text = std::str::from_utf8(value).unwrap_or_default();
        match name {
            Parameter::Mode => {
                let role = match text {
                    "read-write" => Some(Role::Primary),
                    "read-only" => Some(Role::Replica),
                    _ => None,
                };
                self.note = Some(Note { role, ..note });
            }
            Parameter::Position => {
                let position = text.parse().ok().map(|ms: u64| ms.saturating_mul(1000));
                let position = position.filter(|p| *p > 0);
                self.note = Some(Note { position, ..note });
            }
            Parameter::Stats => self.report = parse_report(value),
            Parameter::Other => {}
        }
    }
}

/// Parses a report such as `x0=1767225600.25,x1=1,q=3`. A single invalid or impossible value discards the whole report.
fn parse_report(text: &[u8]) -> Option<Report> {
    let parse = || {
        let mut report = Report::default();
        for part in std::str::from_utf8(text).ok()?.split(',') {
            let (name, value) = part.split_once('=')?;
            let v: f64 = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)?;
            match name.trim() {
                "x0" => report.position = Some((v * 1e6) as Position),
                "x1" if v == 0.0 || v == 1.0 => report.primary = Some(v == 1.0),
                "busy" => report.busy = Some(v),
                "x1" => return None,
                _ => {}
            }
        }
        Some(report)
    };
    let report = parse();
    if report.is_none() {
        count(Count::member_bad_reports);
    }
    report
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
