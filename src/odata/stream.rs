//! The response to a read of a large value, which is written while the value arrives.
//!
//! The response begins with the first bytes of the value: the client is owed them by its deadline, and a whole value may take
//! much longer. What has begun cannot be taken back. The head tells the length of the whole body, so that a client
//! can tell that a value is cut off: the connection is then closed before that length. If further requests are to be
//! answered on it, the body is filled up instead with what is no JSON.

use super::request::BINARY_RESPONSE;
use super::session::Conn;
use crate::core::counters::{count, Count};
use crate::core::flow::{CutOff, ValueReader, ValueStream};
use crate::core::Value;
use crate::http::{HttpError, ResponseHead};
use crate::net::client_write;
use base64::Engine;
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Encoder;

/// Type id of `bytea`, the only type whose text format is encoded.
pub(super) const BYTEA: u32 = 17;
/// What stands before the hex digits of a `bytea` in text format.
const HEX_PREFIX: &[u8] = b"\\x";
/// Maximum number of a value's bytes that are encoded at a time, which bounds the memory for their digits.
const MAX_PIECE_LEN: usize = 12 * 1024;
/// What fills up a body that breaks off: no character that a string of JSON may hold.
static PADDING: [u8; MAX_PIECE_LEN] = [b'\n'; MAX_PIECE_LEN];
/// Number of bytes that one group of base64 digits stands for.
const BASE64_GROUP_BYTES: usize = 3;

/// How a member encodes a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ValueFormat {
    /// As it is.
    Raw,
    /// In hex digits, after a prefix.
    Hex,
}

impl ValueFormat {
    fn of(value: &Value) -> Self {
        match value.binary || value.type_id != BYTEA {
            true => ValueFormat::Raw,
            false => ValueFormat::Hex,
        }
    }

    /// Length of the value of which a member sends this many bytes; `None` if there is no such value.
    fn decoded_len(self, sent: usize) -> Option<usize> {
        match self {
            ValueFormat::Raw => Some(sent),
            ValueFormat::Hex => {
                let digits = sent.checked_sub(HEX_PREFIX.len())?;
                digits.is_multiple_of(2).then_some(digits / 2)
            }
        }
    }
}

/// Decodes hex digits, with their prefix; `None` if they are no such digits.
pub(super) fn decode_hex(text: &[u8]) -> Option<Bytes> {
    decode_digits(text.strip_prefix(HEX_PREFIX)?)
}

fn decode_digits(digits: &[u8]) -> Option<Bytes> {
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let pairs = digits.chunks(2).map(|pair| match pair {
        [high, low] => Some(digit(*high)? << 4 | digit(*low)?),
        _ => None,
    });
    pairs.collect::<Option<Vec<u8>>>().map(Bytes::from)
}

/// Turns the bytes of a value, as they arrive from a member, into base64url digits.
struct Transcoder {
    format: ValueFormat,
    prefix_read: bool,
    /// A first hex digit whose second one has not arrived.
    undecoded: BytesMut,
    /// Bytes that do not fill a group of digits yet.
    unencoded: BytesMut,
}

impl Transcoder {
    fn new(format: ValueFormat) -> Self {
        let (undecoded, unencoded) = (BytesMut::new(), BytesMut::new());
        Transcoder { format, prefix_read: false, undecoded, unencoded }
    }

    /// Returns the digits of all groups that are complete; `None` if the bytes are not in their format.
    fn push(&mut self, sent: Bytes) -> Option<String> {
        let bytes = match self.format {
            ValueFormat::Raw => sent,
            ValueFormat::Hex => self.decode(&sent)?,
        };
        self.unencoded.extend_from_slice(&bytes);
        let complete = self.unencoded.len() / BASE64_GROUP_BYTES * BASE64_GROUP_BYTES;
        Some(BINARY_RESPONSE.encode(self.unencoded.split_to(complete)))
    }

    /// Returns the digits of the last group.
    fn finish(&mut self) -> String {
        BINARY_RESPONSE.encode(self.unencoded.split())
    }

    fn decode(&mut self, sent: &[u8]) -> Option<Bytes> {
        self.undecoded.extend_from_slice(sent);
        if !self.prefix_read {
            if self.undecoded.len() < HEX_PREFIX.len() {
                return Some(Bytes::new());
            }
            self.prefix_read = self.undecoded.split_to(HEX_PREFIX.len()) == HEX_PREFIX;
            self.prefix_read.then_some(())?;
        }
        let complete = self.undecoded.len() / 2 * 2;
        decode_digits(&self.undecoded.split_to(complete))
    }
}

/// Length of bytes in base64url without padding.
fn encoded_len(bytes: usize) -> usize {
    (bytes * 4).div_ceil(BASE64_GROUP_BYTES)
}

/// The parts of a response around the digits of its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ResponseFrame {
    /// The head; the length of the body is that of the parts alone.
    pub head: ResponseHead,
    /// The body up to the first digit.
    pub prefix: Bytes,
    /// The body behind the last digit.
    pub suffix: Bytes,
}

/// A response whose value is still arriving.
pub(super) struct StreamedResponse {
    frame: ResponseFrame,
    transcoder: Transcoder,
    reader: ValueReader,
    /// Bytes that have arrived and are not encoded yet.
    received: Bytes,
    /// Number of bytes of the body that are not written yet.
    missing: usize,
    ended: bool,
}

impl StreamedResponse {
    /// Creates the response of a value that is streamed; `None` if its length is not that of a value.
    pub fn new(mut frame: ResponseFrame, value: &Value, stream: ValueStream) -> Option<Self> {
        let format = ValueFormat::of(value);
        let digits = encoded_len(format.decoded_len(stream.length())?);
        let missing = digits + frame.suffix.len();
        frame.head.content_length = frame.prefix.len() + missing;
        Some(StreamedResponse {
            frame,
            transcoder: Transcoder::new(format),
            reader: ValueReader::new(stream),
            received: Bytes::new(),
            missing,
            ended: false,
        })
    }

    /// Announces whether the connection is closed after this response.
    pub fn set_connection_close(&mut self, connection_close: bool) {
        self.frame.head.connection_close = connection_close;
    }

    /// Writes the response up to the first digit of its value.
    ///
    /// # Errors
    /// If the client takes nothing for too long.
    pub async fn write_start(&mut self, conn: &mut Conn) -> Result<(), HttpError> {
        let mut start = std::mem::take(conn.write_buffer_mut());
        conn.codec_mut().encode(self.frame.head.clone(), &mut start)?;
        start.extend_from_slice(&self.frame.prefix);
        *conn.write_buffer_mut() = start;
        client_write::flush(conn).await?;
        Ok(())
    }

    /// Waits for the next part of the body; `None` after its end. Cancel safe.
    ///
    /// # Errors
    /// If the value is cut off or not in its format.
    pub async fn next_part(&mut self) -> Result<Option<String>, CutOff> {
        while self.received.is_empty() && !self.ended {
            match self.reader.next().await? {
                Some(bytes) => self.received = bytes,
                None => {
                    self.ended = true;
                    self.missing = 0;
                    let suffix = String::from_utf8_lossy(&self.frame.suffix);
                    return Ok(Some(self.transcoder.finish() + &suffix));
                }
            }
        }
        if self.ended {
            return Ok(None);
        }
        let piece = self.received.split_to(self.received.len().min(MAX_PIECE_LEN));
        let digits = self.transcoder.push(piece).ok_or(CutOff)?;
        self.missing = self.missing.saturating_sub(digits.len());
        Ok(Some(digits))
    }

    /// Fills up the body of a response whose value was cut off, so that further responses can follow it. Its JSON
    /// breaks off within a string, which is how the standard lets clients tell an error after the head ('In-Stream
    /// Errors').
    ///
    /// # Errors
    /// If the client takes nothing for too long.
    pub async fn write_padding(mut self, conn: &mut Conn) -> Result<(), HttpError> {
        count(Count::flows_padded);
        while self.missing > 0 {
            let part = &PADDING[..self.missing.min(PADDING.len())];
            client_write::write_all(conn.get_mut(), part).await?;
            self.missing -= part.len();
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
