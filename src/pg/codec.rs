//! The server's end of a client's connection: what clients say, decoded once, and the answers, encoded once.

use super::frames::{Body, Frames, LONGEST};
use crate::core::Value;
use crate::meter::{self, Cost};
use crate::net::budget::ByteBudget;
use crate::net::frames::BuffersPartial;
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

pub use super::frames::WireError;

/// The longest startup message taken in, as PostgreSQL itself has it.
const LONGEST_STARTUP: usize = 10_000;
/// Of a longer message so much must have come before room is made for the rest of what it claims.
const EARNEST: usize = 16 * 1024;

/// What a client says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frontend {
    /// Opens a session of protocol version 3.
    Startup {
        /// Who.
        user: String,
    },
    /// Asks for TLS or GSS encryption.
    Encrypt,
    /// Asks to cancel another connection's query.
    Cancel,
    /// A simple query.
    Query(Bytes),
    /// A message for which there is no memory; it is passed over.
    NoRoom,
    /// Synchronisation point of the extended protocol.
    Sync,
    /// Goodbye.
    Terminate,
    /// Anything else, by its tag.
    Other(u8),
}

/// What is said to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// One byte outside any message: no encryption here.
    NoEncryption,
    /// All that stands between a startup and the first query.
    Welcome,
    /// The server waits for a command.
    Ready,
    /// The answer to an empty query, and ReadyForQuery.
    Empty,
    /// A member's value, and ReadyForQuery; whether it came of a write.
    Row(Value, bool),
    /// An error.
    Error {
        /// What becomes of the connection.
        after: After,
        /// SQLSTATE.
        code: &'static str,
        /// For people.
        message: Bytes,
        /// Field D.
        detail: Option<u64>,
    },
}

/// What follows an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// The connection's end.
    End,
    /// ReadyForQuery.
    Ready,
    /// Nothing until the client's Sync.
    Sync,
}

/// The server's end.
pub struct ServerCodec {
    started: bool,
    frames: Frames,
}

impl BuffersPartial for ServerCodec {
    fn holds_partial(&self) -> bool {
        self.frames.passes_over()
    }
}

impl Decoder for ServerCodec {
    type Item = Frontend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, WireError> {
        if !self.started {
            let Some(found) = self.frames.next(src, false, |_| Some(LONGEST_STARTUP))? else {
                return Ok(None);
            };
            let message = startup(Body(found.body(src)))?;
            found.skip(src);
            self.started = matches!(message, Frontend::Startup { .. });
            return Ok(Some(message));
        }
        let longest = |tag| match tag {
            b'Q' | b'P' | b'B' | b'F' | b'd' => Some(LONGEST),
            b'S' | b'X' | b'H' | b'c' => Some(4),
            b'D' | b'E' | b'C' | b'f' => Some(LONGEST_STARTUP),
            _ => None,
        };
        let found = match self.frames.next(src, true, longest) {
            // A sound message that is refused; what stands behind it can still be found.
            Err(WireError::NoRoom) => return Ok(Some(Frontend::NoRoom)),
            found => found?,
        };
        let Some(found) = found else { return Ok(None) };
        Ok(Some(match found.tag {
            b'Q' => {
                let mut body = Body(found.body(src));
                body.text()?;
                body.ended()?;
                Frontend::Query(found.keep(src, 0, 1))
            }
            tag => {
                found.skip(src);
                match tag {
                    b'S' => Frontend::Sync,
                    b'X' => Frontend::Terminate,
                    other => Frontend::Other(other),
                }
            }
        }))
    }
}

impl ServerCodec {
    /// One for a new connection.
    pub fn new(budget: ByteBudget) -> Self {
        ServerCodec { started: false, frames: Frames::new(budget, 0, EARNEST) }
    }
}

fn startup(mut body: Body) -> Result<Frontend, WireError> {
    match u32::from_be_bytes(body.take()?) {
        80_877_103 | 80_877_104 => Ok(Frontend::Encrypt),
        80_877_102 => Ok(Frontend::Cancel),
        version if version >> 16 == 3 => {
            let mut user = None;
            loop {
                let name = body.text()?;
                if name.is_empty() {
                    break;
                }
                let value = body.text()?;
                if name == b"user" {
                    user = Some(String::from_utf8_lossy(value).into_owned());
                }
            }
            let user = user.ok_or(WireError::Malformed("the startup message names no user"))?;
            Ok(Frontend::Startup { user })
        }
        _ => Err(WireError::Malformed("only version 3 of the protocol is spoken here")),
    }
}

fn put(dst: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    dst.put_u8(tag);
    let at = dst.len();
    dst.put_u32(0);
    body(dst);
    let length = (dst.len() - at) as u32;
    dst[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(dst: &mut BytesMut, text: &[u8]) {
    dst.put_slice(text);
    dst.put_u8(0);
}

fn ready(dst: &mut BytesMut) {
    put(dst, b'Z', |d| d.put_u8(b'I'));
}

/// The part of an answer that stands before its value: the description, and the row up to the value's first byte.
pub fn row_head(value: &Value, dst: &mut BytesMut) {
    put(dst, b'T', |d| {
        d.put_u16(1);
        put_text(d, b"v");
        d.put_u32(0);
        d.put_u16(0);
        d.put_u32(value.type_id);
        d.put_i16(-1);
        d.put_i32(-1);
        d.put_u16(u16::from(value.binary));
    });
    if value.rows > 0 {
        let flows = value.stream.as_ref().map(|flow| flow.length());
        let length = flows.or(value.bytes.as_ref().map(Bytes::len));
        dst.put_u8(b'D');
        dst.put_u32(length.unwrap_or(0) as u32 + 10);
        dst.put_u16(1);
        match length {
            Some(length) => dst.put_u32(length as u32),
            None => dst.put_i32(-1),
        }
    }
}

/// The part behind it.
pub fn row_tail(value: &Value, write: bool, dst: &mut BytesMut) {
    put(dst, b'C', |d| {
        d.put_slice(if write { b"INSERT 0 " } else { b"SELECT " });
        put_text(d, itoa::Buffer::new().format(value.rows).as_bytes());
    });
    ready(dst);
}

impl Encoder<Reply> for ServerCodec {
    type Error = WireError;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> Result<(), WireError> {
        match reply {
            Reply::NoEncryption => dst.put_u8(b'N'),
            Reply::Welcome => {
                put(dst, b'R', |d| d.put_u32(0));
                for (name, value) in [
                    ("server_version", "15.0"),
                    ("server_encoding", "UTF8"),
                    ("client_encoding", "UTF8"),
                    ("standard_conforming_strings", "on"),
                ] {
                    put(dst, b'S', |d| {
                        put_text(d, name.as_bytes());
                        put_text(d, value.as_bytes());
                    });
                }
                put(dst, b'K', |d| d.put_u64(0));
                ready(dst);
            }
            Reply::Ready => ready(dst),
            Reply::Empty => {
                put(dst, b'I', |_| {});
                ready(dst);
            }
            Reply::Row(value, write) => {
                row_head(&value, dst);
                if let Some(bytes) = value.bytes.as_ref().filter(|_| value.rows > 0) {
                    meter::add(Cost::Copied, bytes.len());
                    dst.put_slice(bytes);
                }
                row_tail(&value, write, dst);
            }
            Reply::Error { after, code, message, detail } => {
                put(dst, b'E', |d| {
                    let severity: &[u8] = if after == After::End { b"FATAL" } else { b"ERROR" };
                    for (name, value) in
                        [(b'S', severity), (b'V', severity), (b'C', code.as_bytes()), (b'M', &message)]
                    {
                        d.put_u8(name);
                        put_text(d, value);
                    }
                    if let Some(detail) = detail {
                        d.put_u8(b'D');
                        put_text(d, itoa::Buffer::new().format(detail).as_bytes());
                    }
                    d.put_u8(0);
                });
                if after == After::Ready {
                    ready(dst);
                }
            }
        }
        Ok(())
    }
}
