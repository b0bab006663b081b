//! The proxy's end of a connection to a member.

use super::codec::{shrink, Backend, ClientCodec, Frontend, WireError, ROOM};
use super::statement;
use crate::core::{Value, Work};
use crate::interface::*;
use crate::net::budget::Ration;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::codec::Framed;

/// What came of one query.
pub struct Exchange {
    /// How it ended.
    pub outcome: Outcome,
    /// Value, where served.
    pub value: Option<Value>,
    /// What the answer says of the member.
    pub note: Option<Note>,
    /// The member's report on itself.
    pub report: Option<Report>,
    /// The connection may carry another.
    pub reusable: bool,
}

/// One that never got as far as being written.
impl Default for Exchange {
    fn default() -> Self {
        Exchange { outcome: Outcome::Refused, value: None, note: None, report: None, reusable: false }
    }
}

/// A connection that has been welcomed.
pub struct Link {
    framed: Framed<TcpStream, ClientCodec>,
    _permit: OwnedSemaphorePermit,
}

/// All that comes before ReadyForQuery or the end.
#[derive(Default)]
struct Reply {
    column: Option<(u32, bool)>,
    row: Option<Option<Bytes>>,
    rows: u32,
    complete: bool,
    code: Option<Bytes>,
    note: Option<Note>,
    report: Option<Report>,
    ready: bool,
    fatal: bool,
}

impl Link {
    /// Opens one and waits for its welcome.
    ///
    /// # Errors
    /// When there is none: `Refused`, or `Saturated` where the member says that it holds too many.
    pub async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
        bytes: Ration,
    ) -> Result<Self, Outcome> {
        let stream = TcpStream::connect(address).await.map_err(|_| Outcome::Refused)?;
        let _ = stream.set_nodelay(true);
        let mut link =
            Link { framed: Framed::with_capacity(stream, ClientCodec::new(bytes), ROOM), _permit: permit };
        let startup = Frontend::Startup { user: "svc".to_string() };
        link.framed.send(startup).await.map_err(|_| Outcome::Refused)?;
        let reply = link.reply().await;
        match reply.code.as_deref() {
            Some(b"53300") => Err(Outcome::Saturated),
            None if reply.ready => Ok(link),
            _ => Err(Outcome::Refused),
        }
    }

    /// Nothing has come on it since its last answer, not even an end.
    pub fn stands(&self) -> bool {
        let nothing = self.framed.get_ref().try_read(&mut [0; 1]);
        self.framed.read_buffer().is_empty() && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    async fn reply(&mut self) -> Reply {
        let mut reply = Reply::default();
        loop {
            let message = match self.framed.next().await {
                Some(Ok(message)) => message,
                Some(Err(WireError::Io(_))) | None => return reply,
                Some(Err(e)) => {
                    log::warn!("a member's message cannot be read: {e}");
                    return reply;
                }
            };
            match message {
                Backend::RowDescription(c) => reply.column = Some((c.type_id, c.binary)),
                Backend::DataRow(value) => {
                    reply.row = Some(value);
                    reply.rows += 1;
                }
                Backend::CommandComplete(_) => reply.complete = true,
                Backend::Error { fatal, code, message, .. } => {
                    if &code[..] == b"08P01" {
                        log::error!(
                            "a member takes a statement for malformed: {}",
                            String::from_utf8_lossy(&message)
                        );
                    }
                    reply.fatal |= fatal;
                    reply.code = Some(code);
                }
                Backend::ParameterStatus(name, value) => reply.parameter(&name, &value),
                Backend::Ready => {
                    reply.ready = true;
                    return reply;
                }
                _ => {}
            }
        }
    }

    /// Runs one statement. `written` is set once its last byte may have reached the member's machine.
    pub async fn run(&mut self, work: &Work, wait: Time, written: &mut bool) -> Exchange {
        let text = statement::render(work, wait);
        // Encoded first, then flushed: a failure to encode has sent nothing.
        let fed = self.framed.feed(Frontend::Query(text)).await;
        let sent = match fed {
            Ok(()) => self.framed.flush().await,
            Err(e) => Err(e),
        };
        if sent.is_err() {
            // The break came before the last byte was written: it never ran.
            return Exchange::default();
        }
        *written = true;
        let reply = self.reply().await;
        let outcome = match reply.code.as_deref() {
            None if reply.complete && reply.rows < 2 && reply.ready => Outcome::Completed,
            // Half an answer and then a break or an end: no value to pass on, and it may have run.
            None => Outcome::Severed,
            Some(b"25006" | b"72000") => Outcome::Miss,
            Some(b"53300") => Outcome::Saturated,
            Some(_) => Outcome::Errored,
        };
        let (type_id, binary) = reply.column.unwrap_or((17, true));
        let bytes = reply.row.flatten();
        let value =
            (outcome == Outcome::Completed).then_some(Value { binary, type_id, bytes, rows: reply.rows });
        shrink(&mut self.framed);
        let reusable = reply.ready && !reply.fatal;
        Exchange { outcome, value, note: reply.note, report: reply.report, reusable }
    }

    /// Asks for the member's report; none if it does not answer with one.
    pub async fn probe(&mut self) -> Option<Report> {
        self.framed.send(Frontend::Query(Bytes::from_static(b"SHOW stats"))).await.ok()?;
        let reply = self.reply().await;
        if reply.code.is_some() || !reply.ready {
            return None;
        }
        Some(reply.row.flatten().map(|row| report(&row)).unwrap_or_default())
    }
}

impl Reply {
    fn parameter(&mut self, name: &[u8], value: &[u8]) {
        let note = self.note.unwrap_or(Note { position: None, role: None });
        let text = std::str::from_utf8(value).unwrap_or_default();
        match name {
            b"mode" => {
                let role = match text {
                    "read-write" => Some(Role::Primary),
                    "read-only" => Some(Role::Replica),
                    _ => None,
                };
                self.note = Some(Note { role, ..note });
            }
            b"wal_time" => {
                let position = text.parse().ok().filter(|ms| *ms > 0).map(|ms: u64| ms.saturating_mul(1000));
                self.note = Some(Note { position, ..note });
            }
            b"stats" => self.report = Some(report(value)),
            _ => {}
        }
    }
}

/// Reads `x0=1767225600.25,x1=1,q=3`; what is unknown or malformed is left out.
fn report(text: &[u8]) -> Report {
    let mut report = Report::default();
    for (name, value) in String::from_utf8_lossy(text).split(',').filter_map(|part| part.split_once('=')) {
        let Some(v) = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0) else {
            continue;
        };
        match name.trim() {
            "x0" => report.position = Some((v * 1e6) as Position),
            "x1" => report.primary = Some(v >= 1.0),
            "busy" => report.busy = Some(v),
            _ => {}
        }
    }
    report
}
