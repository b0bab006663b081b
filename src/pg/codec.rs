//! Codec for client connections, where the proxy acts as the server: decodes client messages, encodes
//! replies.

use super::frames::{BodyReader, FrameReader, MAX_MESSAGE_LEN};
use crate::core::Value;
use crate::meter::{self, Cost};
use crate::net::budget::ByteBudget;
use crate::net::frames::BuffersPartial;
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

pub use super::frames::WireError;

/// Maximum length of a startup message; PostgreSQL has the same limit.
const MAX_STARTUP_LEN: usize = 10_000;
/// Number of bytes of a long message that must have arrived before the buffer is grown to the length that the
/// message declares.
const GROW_THRESHOLD: usize = 16 * 1024;

/// A message from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frontend {
    /// Opens a session of protocol version 3.
    Startup {
        /// User name.
        user: String,
    },
    /// Asks for TLS or GSS encryption.
    EncryptionRequest,
    /// Asks to cancel another connection's query.
    CancelRequest,
    /// A simple query.
    Query(Bytes),
    /// A message that does not fit into the memory budget; the codec skips it.
    BudgetExhausted,
    /// Synchronisation point of the extended protocol.
    Sync,
    /// Ends the session.
    Terminate,
    /// Any other message, by its tag.
    Other(u8),
}

/// A reply to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The single byte, outside any message, that declines encryption.
    EncryptionDeclined,
    /// The whole response to a startup message, up to the first ReadyForQuery.
    StartupComplete,
    /// ReadyForQuery.
    ReadyForQuery,
    /// EmptyQueryResponse and ReadyForQuery.
    EmptyQuery,
    /// A member's value and ReadyForQuery; the flag is true for a write.
    Row(Value, bool),
    /// ErrorResponse.
    Error {
        /// What follows the error.
        after: AfterError,
        /// SQLSTATE.
        code: &'static str,
        /// Human-readable message.
        message: Bytes,
        /// Detail: field D of the ErrorResponse.
        detail: Option<u64>,
    },
}

/// What follows an ErrorResponse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterError {
    /// The connection is closed.
    Close,
    /// ReadyForQuery.
    ReadyForQuery,
    /// Nothing until the client sends Sync.
    AwaitSync,
}

/// Codec of the server side of the protocol.
pub struct ServerCodec {
    started: bool,
    frames: FrameReader,
}

impl BuffersPartial for ServerCodec {
    fn holds_partial(&self) -> bool {
        self.frames.is_skipping()
    }
}

impl Decoder for ServerCodec {
    type Item = Frontend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, WireError> {
        if !self.started {
            let Some(frame) = self.frames.next(src, false, |_| Some(MAX_STARTUP_LEN))? else {
                return Ok(None);
            };
            let message = parse_startup(BodyReader(frame.body(src)))?;
            frame.discard(src);
            self.started = matches!(message, Frontend::Startup { .. });
            return Ok(Some(message));
        }
        let max_len = |tag| match tag {
            b'Q' | b'P' | b'B' | b'F' | b'd' => Some(MAX_MESSAGE_LEN),
            b'S' | b'X' | b'H' | b'c' => Some(4),
            b'D' | b'E' | b'C' | b'f' => Some(MAX_STARTUP_LEN),
            _ => None,
        };
        let frame = match self.frames.next(src, true, max_len) {
            // The message is refused, but well-formed: its length tells where the next one starts.
            Err(WireError::BudgetExhausted) => return Ok(Some(Frontend::BudgetExhausted)),
            frame => frame?,
        };
        let Some(frame) = frame else { return Ok(None) };
        Ok(Some(match frame.tag {
            b'Q' => {
                let mut body = BodyReader(frame.body(src));
                body.read_string()?;
                body.expect_end()?;
                Frontend::Query(frame.into_body(src, 0, 1))
            }
            tag => {
                frame.discard(src);
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
    /// Creates the codec of a new connection.
    pub fn new(budget: ByteBudget) -> Self {
        ServerCodec { started: false, frames: FrameReader::new(budget, 0, GROW_THRESHOLD) }
    }
}

fn parse_startup(mut body: BodyReader) -> Result<Frontend, WireError> {
    match u32::from_be_bytes(body.read_bytes()?) {
        // SSLRequest and GSSENCRequest.
        80_877_103 | 80_877_104 => Ok(Frontend::EncryptionRequest),
        80_877_102 => Ok(Frontend::CancelRequest),
        version if version >> 16 == 3 => {
            let mut user = None;
            loop {
                let name = body.read_string()?;
                if name.is_empty() {
                    break;
                }
                let value = body.read_string()?;
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

fn write_message(dst: &mut BytesMut, tag: u8, body: impl FnOnce(&mut BytesMut)) {
    dst.put_u8(tag);
    let length_at = dst.len();
    dst.put_u32(0);
    body(dst);
    let length = (dst.len() - length_at) as u32;
    dst[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

fn write_string(dst: &mut BytesMut, text: &[u8]) {
    dst.put_slice(text);
    dst.put_u8(0);
}

fn write_ready_for_query(dst: &mut BytesMut) {
    write_message(dst, b'Z', |d| d.put_u8(b'I'));
}

/// Writes the part of an answer before its value: RowDescription, and DataRow up to the value's first byte.
pub fn write_row_prefix(value: &Value, dst: &mut BytesMut) {
    write_message(dst, b'T', |d| {
        d.put_u16(1);
        write_string(d, b"v");
        d.put_u32(0);
        d.put_u16(0);
        d.put_u32(value.type_id);
        d.put_i16(-1);
        d.put_i32(-1);
        d.put_u16(u16::from(value.binary));
    });
    if value.rows > 0 {
        let streamed = value.stream.as_ref().map(|stream| stream.length());
        let length = streamed.or(value.bytes.as_ref().map(Bytes::len));
        dst.put_u8(b'D');
        dst.put_u32(length.unwrap_or(0) as u32 + 10);
        dst.put_u16(1);
        match length {
            Some(length) => dst.put_u32(length as u32),
            None => dst.put_i32(-1),
        }
    }
}

/// Writes the part of an answer after its value: CommandComplete and ReadyForQuery.
pub fn write_row_suffix(value: &Value, write: bool, dst: &mut BytesMut) {
    write_message(dst, b'C', |d| {
        d.put_slice(if write { b"INSERT 0 " } else { b"SELECT " });
        write_string(d, itoa::Buffer::new().format(value.rows).as_bytes());
    });
    write_ready_for_query(dst);
}

impl Encoder<Reply> for ServerCodec {
    type Error = WireError;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> Result<(), WireError> {
        match reply {
            Reply::EncryptionDeclined => dst.put_u8(b'N'),
            Reply::StartupComplete => {
                write_message(dst, b'R', |d| d.put_u32(0));
                for (name, value) in [
                    ("server_version", "15.0"),
                    ("server_encoding", "UTF8"),
                    ("client_encoding", "UTF8"),
                    ("standard_conforming_strings", "on"),
                ] {
                    write_message(dst, b'S', |d| {
                        write_string(d, name.as_bytes());
                        write_string(d, value.as_bytes());
                    });
                }
                write_message(dst, b'K', |d| d.put_u64(0));
                write_ready_for_query(dst);
            }
            Reply::ReadyForQuery => write_ready_for_query(dst),
            Reply::EmptyQuery => {
                write_message(dst, b'I', |_| {});
                write_ready_for_query(dst);
            }
            Reply::Row(value, write) => {
                write_row_prefix(&value, dst);
                if let Some(bytes) = value.bytes.as_ref().filter(|_| value.rows > 0) {
                    meter::add(Cost::Copied, bytes.len());
                    dst.put_slice(bytes);
                }
                write_row_suffix(&value, write, dst);
            }
            Reply::Error { after, code, message, detail } => {
                write_message(dst, b'E', |d| {
                    let severity: &[u8] = if after == AfterError::Close { b"FATAL" } else { b"ERROR" };
                    for (name, value) in
                        [(b'S', severity), (b'V', severity), (b'C', code.as_bytes()), (b'M', &message)]
                    {
                        d.put_u8(name);
                        write_string(d, value);
                    }
                    if let Some(detail) = detail {
                        d.put_u8(b'D');
                        write_string(d, itoa::Buffer::new().format(detail).as_bytes());
                    }
                    d.put_u8(0);
                });
                if after == AfterError::ReadyForQuery {
                    write_ready_for_query(dst);
                }
            }
        }
        Ok(())
    }
}
