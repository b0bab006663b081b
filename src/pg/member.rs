//! The proxy's end of a connection to a member.
//!
//! An answer counts only as a whole: its messages in their order, each as long as it says, up to ReadyForQuery. What
//! is not so has been spoilt on the way. The statement then may have run, whatever the rest of the answer says, and
//! nothing that came with it is believed.

use super::frames::WireError;
use super::member_codec::{statement, Backend, ClientCodec, Column, Frontend, Parameter};
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

/// Once an answer's first bytes are there, more must come within this, time after time: what is missing then will not
/// come.
const STALL: Duration = Duration::from_millis(300);
/// The same for a large value that is passed on as it comes.
const FLOW_STALL: Duration = Duration::from_secs(3);
/// Most messages that are passed over before the fence's answer.
const STRAYS: usize = 16;

/// Whether a member that answers with this code has turned the statement away untouched.
fn turns_away(code: &[u8; 5]) -> bool {
    matches!(code, b"53300" | b"25006" | b"72000")
}

/// The members' side of the platform's protocol.
#[derive(Clone)]
pub struct PgConnector {
    bytes: ByteBudget,
}

impl PgConnector {
    /// Connections count the bytes of what they hold in `bytes`.
    pub fn new(bytes: ByteBudget) -> Self {
        PgConnector { bytes }
    }
}

/// A connection that has been welcomed.
pub struct Connection {
    framed: Framed<Socket, ClientCodec>,
    /// An answer of which the value has begun to come.
    begun: Option<Box<Reply>>,
    _permit: OwnedSemaphorePermit,
}

/// How the messages of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// With ReadyForQuery, or with the connection's orderly end after a fatal error.
    Whole { ready: bool },
    /// The connection broke or ended before that.
    Broken,
    /// Not yet: so many bytes of its value follow.
    Begun(usize),
    /// With something that does not belong there.
    Spoilt(&'static str),
}

/// What an answer holds.
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
        let mut link = Connection { framed, begun: None, _permit: permit };
        link.framed.send(Frontend::Startup).await.map_err(|_| Outcome::Refused)?;
        // No statement has been written, so that nothing here can have run.
        let mut known = false;
        loop {
            let ReadEvent::Message(Some(Ok(message))) = read_next(&mut link.framed, true).await else {
                return Err(Outcome::Refused);
            };
            match message {
                Backend::AuthenticationOk if !known => known = true,
                // What stands behind it already would pass for the first statement's answer.
                Backend::Ready if known && !link.left_over() => {
                    link.framed.get_ref().assume_drained();
                    return Ok(link);
                }
                Backend::ParameterStatus(..) | Backend::KeyData if known => {}
                Backend::Other(b'N') => {}
                Backend::Error { code, .. } if &code == b"53300" => return Err(Outcome::Saturated),
                _ => return Err(Outcome::Refused),
            }
        }
    }
}

impl Connection {
    /// Reads up to the end of the fence's answer; how many messages stood before it, which an earlier answer has left.
    async fn past_fence(&mut self) -> Result<usize, End> {
        let mut strays = 0;
        loop {
            match read_next(&mut self.framed, true).await {
                ReadEvent::Message(Some(Ok(Backend::EmptyQuery))) => break,
                // As many as an answer may have: whoever sends more, sends without end.
                ReadEvent::Message(Some(Ok(_))) if strays < STRAYS => strays += 1,
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => return Err(End::Broken),
                _ => return Err(End::Spoilt("what stands before an answer cannot be read")),
            }
        }
        match read_next(&mut self.framed, true).await {
            ReadEvent::Message(Some(Ok(Backend::Ready))) => Ok(strays),
            ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => Err(End::Broken),
            _ => Err(End::Spoilt("the fence's answer does not end")),
        }
    }

    async fn reply(&mut self) -> (Reply, End) {
        let mut reply = Reply::default();
        let mut stall: Option<Instant> = None;
        loop {
            let held = self.framed.read_buffer().len();
            let read = read_next(&mut self.framed, stall.is_some());
            let read = match stall {
                Some(at) => match tokio::time::timeout_at(at, read).await {
                    Ok(read) => read,
                    // A slow member's answer comes in small pieces; so long as any come, more may.
                    Err(_) if self.framed.read_buffer().len() > held => {
                        stall = Some(Instant::now() + STALL);
                        continue;
                    }
                    Err(_) => return (reply, End::Spoilt("the rest of an answer did not come")),
                },
                None => read.await,
            };
            let message = match read {
                ReadEvent::Partial => {
                    stall = Some(Instant::now() + STALL);
                    continue;
                }
                ReadEvent::Message(Some(Ok(message))) => message,
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None)
                    if reply.fatal && self.framed.read_buffer().is_empty() =>
                {
                    return (reply, End::Whole { ready: false })
                }
                ReadEvent::Message(Some(Err(WireError::Io(_))) | None) => return (reply, End::Broken),
                ReadEvent::Message(Some(Err(e))) => {
                    log::debug!("a member's message cannot be read: {e}");
                    return (reply, End::Spoilt("a message of an answer cannot be read"));
                }
            };
            if let Backend::RowBegins(length) = message {
                return match reply.expects_row() {
                    true => (reply, End::Begun(length)),
                    false => (reply, End::Spoilt("a message stands where it does not belong")),
                };
            }
            // A notice or a parameter may come long before the answer proper.
            let aside = matches!(message, Backend::ParameterStatus(..) | Backend::Other(_));
            stall = if aside { None } else { stall.or_else(|| Some(Instant::now() + STALL)) };
            match reply.take(message) {
                Ok(false) => {}
                Ok(true) => return (reply, End::Whole { ready: true }),
                Err(what) => return (reply, End::Spoilt(what)),
            }
        }
    }

    /// The answer to what was written under this guard. Whether anything stood before it that does not belong to it.
    async fn answer(&mut self, guard: StaleInput) -> (Reply, End, bool) {
        let strays = match guard {
            StaleInput::Excluded => 0,
            StaleInput::Possible => match self.past_fence().await {
                Ok(strays) => strays,
                Err(end) => return (Reply::default(), end, true),
            },
        };
        if strays > 0 {
            count(Count::member_extras);
        }
        let (reply, end) = self.reply().await;
        // Of a value that has begun the rest may stand in the socket already.
        if matches!(end, End::Whole { .. }) {
            self.framed.get_ref().assume_drained();
        }
        (reply, end, strays > 0)
    }

    /// Bytes have been read that belong to no answer.
    fn left_over(&self) -> bool {
        let any = !self.framed.read_buffer().is_empty();
        if any {
            count(Count::member_extras);
        }
        any
    }

    async fn write(&mut self, work: &Work, wait: Time, fence: bool) -> io::Result<()> {
        let rendered;
        let (text, at) = match work {
            Work::Verbatim { text, wait } => (&text[..], wait),
            Work::Operation(operation) => {
                rendered = render(operation);
                (rendered.0.as_bytes(), &rendered.1)
            }
        };
        let parts = (text.get(..at.start).unwrap_or_default(), text.get(at.end..).unwrap_or_default());
        let mut message = statement(parts, wait, fence);
        self.framed.get_mut().write_all_buf(&mut message).await
    }
}

impl MemberConnection for Connection {
    fn is_quiet(&self) -> bool {
        if self.left_over() {
            return false;
        }
        meter::add(Cost::Peeks, 1);
        let peeked = SockRef::from(self.framed.get_ref().get_ref()).peek(&mut [MaybeUninit::uninit(); 1]);
        // An end is no byte; it makes the connection useless all the same.
        if peeked.as_ref().is_ok_and(|n| *n > 0) {
            count(Count::member_extras);
        }
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    async fn fence(&mut self) -> bool {
        if self.framed.send(Frontend::Empty).await.is_err() {
            return false;
        }
        let strays = self.past_fence().await;
        self.framed.get_ref().assume_drained();
        if matches!(strays, Ok(n) if n > 0) {
            count(Count::member_extras);
        }
        matches!(strays, Ok(0)) && self.framed.read_buffer().is_empty()
    }

    async fn run(&mut self, work: &Work, wait: Time, guard: StaleInput, written: &mut bool) -> Exchange {
        if self.write(work, wait, guard == StaleInput::Possible).await.is_err() {
            // The break came before the last byte was written: it never ran.
            return Exchange::default();
        }
        *written = true;
        let (mut reply, end, strays) = self.answer(guard).await;
        release_large_buffers(&mut self.framed);
        let outcome = match end {
            End::Whole { .. } => reply.outcome(is_write(work)),
            End::Begun(_) => Outcome::Completed,
            // The member answered, but not with what can be passed on, and it may have run.
            End::Spoilt(_) => Outcome::Errored,
            End::Broken => Outcome::Reset,
        };
        // What proves that nothing ran must be beyond doubt, and the socket is asked whether anything came with it. A
        // value stands for itself; what comes behind it shows when the connection is used again.
        let proof = matches!(outcome, Outcome::Miss | Outcome::Saturated);
        let whole = end == End::Whole { ready: true };
        let more = strays || whole && if proof { !self.is_quiet() } else { self.left_over() };
        let outcome = if more && proof { Outcome::Errored } else { outcome };
        if let End::Spoilt(what) = end {
            count(Count::member_spoilt);
            log::debug!("an answer is spoilt: {what}");
            return Exchange { outcome, ..Exchange::default() };
        }
        if let End::Begun(length) = end {
            count(Count::flows);
            let (source, flow) = ValueStream::new(length);
            let value = reply.column.as_ref().map(|c| Value {
                binary: c.binary,
                type_id: c.type_id,
                rows: 1,
                bytes: None,
                stream: Some(flow),
            });
            let (note, report) = (reply.note, reply.report);
            reply.row = Some(None);
            self.begun = Some(Box::new(reply));
            return Exchange { outcome, value, note, report, reusable: false, value_rest: Some(source) };
        }
        let Reply { column, row, note, report, .. } = reply;
        let value = column.filter(|_| outcome == Outcome::Completed).map(|c| Value {
            binary: c.binary,
            type_id: c.type_id,
            rows: u32::from(row.is_some()),
            bytes: row.flatten(),
            stream: None,
        });
        Exchange { outcome, value, note, report, reusable: whole && !more, value_rest: None }
    }

    async fn confirm(&mut self) -> Confirmation {
        // Where this cannot be written the connection has ended, which reading shows, behind all that came before.
        let _ = self.framed.send(Frontend::Empty).await;
        let mut copies = 0;
        let mut answered = false;
        let confirmation = loop {
            match read_next(&mut self.framed, true).await {
                ReadEvent::Message(Some(Ok(Backend::EmptyQuery))) if !answered => answered = true,
                ReadEvent::Message(Some(Ok(Backend::Ready))) if answered && copies == 0 => {
                    break Confirmation::Reusable
                }
                ReadEvent::Message(Some(Ok(Backend::Ready))) if answered => break Confirmation::NotReusable,
                // A copy of the refusal says nothing else.
                ReadEvent::Message(Some(Ok(Backend::Error { code, .. })))
                    if copies < STRAYS && turns_away(&code) =>
                {
                    copies += 1;
                }
                ReadEvent::Message(Some(Ok(Backend::Ready))) if copies > 0 => {}
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
        let Some(mut reply) = self.begun.take() else { return false };
        let whole = loop {
            let read = tokio::time::timeout(FLOW_STALL, read_next(&mut self.framed, true)).await;
            let Ok(ReadEvent::Message(Some(Ok(message)))) = read else { break false };
            match message {
                // As fast as it is taken; whoever wanted it may have left.
                Backend::Chunk(bytes) => match to.send(Chunk::Bytes(bytes)).await {
                    Ok(()) => {}
                    Err(_) => break false,
                },
                message => match reply.take(message) {
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
        whole && !self.left_over()
    }

    async fn probe(&mut self, guard: StaleInput) -> Option<(Report, bool)> {
        if guard == StaleInput::Possible {
            self.framed.feed(Frontend::Empty).await.ok()?;
        }
        self.framed.send(Frontend::Stats).await.ok()?;
        let (reply, end, strays) = self.answer(guard).await;
        match end {
            End::Whole { ready: true } if reply.code.is_none() => {
                let report = reply.row.flatten().and_then(|row| report(&row));
                Some((report.unwrap_or_default(), !strays && !self.left_over()))
            }
            End::Spoilt(_) => {
                count(Count::member_spoilt);
                Some((Report::default(), false))
            }
            _ => None,
        }
    }
}

impl Reply {
    /// Neither the command's end nor an error has come.
    fn is_open(&self) -> bool {
        !self.complete && self.code.is_none()
    }

    /// Whether a row may come next.
    fn expects_row(&self) -> bool {
        self.is_open() && self.column.is_some() && self.row.is_none()
    }

    /// Takes in the next message; true at the end.
    fn take(&mut self, message: Backend) -> Result<bool, &'static str> {
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
            Backend::ParameterStatus(name, value) => self.parameter(name, &value),
            Backend::Other(b'N') => {}
            Backend::Ready if !open => return Ok(true),
            _ => return Err("a message stands where it does not belong"),
        }
        Ok(false)
    }

    /// What came of a statement, a write or a read, whose whole answer this is.
    fn outcome(&self, write: bool) -> Outcome {
        let Some(code) = &self.code else { return Outcome::Completed };
        // Rows come of a statement that has begun to run.
        if self.column.is_some() {
            return Outcome::Errored;
        }
        match (code, write) {
            (b"53300", _) => Outcome::Saturated,
            // Only writes need a primary, and only reads a position.
            (b"25006", true) | (b"72000", false) => Outcome::Miss,
            _ => Outcome::Errored,
        }
    }

    fn parameter(&mut self, name: Parameter, value: &[u8]) {
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
            Parameter::Stats => self.report = report(value),
            Parameter::Other => {}
        }
    }
}

/// Reads `x0=1767225600.25,x1=1,q=3`. A report of which any part cannot be read, or cannot be true, tells nothing.
fn report(text: &[u8]) -> Option<Report> {
    let read = || {
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
    let report = read();
    if report.is_none() {
        count(Count::member_bad_reports);
    }
    report
}

#[cfg(test)]
#[path = "member_tests.rs"]
mod tests;
