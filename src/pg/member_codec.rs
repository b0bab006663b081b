//! Codec for member connections, where the proxy acts as the client: decodes member messages, encodes queries.

use super::frames::{BodyReader, FrameReader, WireError};
use crate::core::flow;
use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::BuffersPartial;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use smallvec::SmallVec;
use tokio_util::codec::{Decoder, Encoder};

/// Messages up to this length are not counted against the byte budget.
const UNCOUNTED_LEN: usize = 512;

/// A longer value is streamed in chunks; a shorter one is passed on only once it is complete.
pub const MAX_BUFFERED_VALUE_LEN: usize = 64 * 1024;
/// Maximum length of a value: 4 MiB, or its text form, which is `\x` and two hex digits a byte.
pub const MAX_VALUE_LEN: usize = 2 * 4 * 1024 * 1024 + 2;
/// Length of the part of a row before its value: tag, message length, number of columns, length of the value.
const ROW_HEAD_LEN: usize = 11;
/// Maximum length of a chunk of a streamed value.
const CHUNK_LEN: usize = 16 * 1024;
/// Bytes of a streamed value that can be in memory at a time: the queued chunks, the one being read and the one being
/// written.
const STREAM_RESERVATION_LEN: usize = CHUNK_LEN * (flow::MAX_QUEUED_CHUNKS + 2);

/// Description of the single column of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Type OID.
    pub type_id: u32,
    /// Binary rather than text format.
    pub binary: bool,
}

/// Name of a run-time parameter, as far as the proxy uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parameter {
    /// Whether the member accepts writes.
    Mode,
    /// The member's position.
    Position,
    /// The member's report on its own state.
    Stats,
    /// Any other parameter.
    Other,
}

/// A message from a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Backend {
    /// Authentication succeeded.
    AuthenticationOk,
    /// Any other authentication message.
    AuthenticationOther,
    /// A run-time parameter and its value.
    ParameterStatus(Parameter, SmallVec<[u8; 64]>),
    /// The key for cancel requests.
    BackendKeyData,
    /// The member waits for a command.
    ReadyForQuery,
    /// Description of the rows that follow.
    RowDescription(Column),
    /// A row of one column.
    DataRow(Option<Bytes>),
    /// The start of a row whose value has this many bytes; they follow as [`Backend::Chunk`]s.
    LargeRowStart(usize),
    /// The next bytes of a large value.
    Chunk(Bytes),
    /// The end of a command.
    CommandComplete,
    /// The response to an empty query.
    EmptyQuery,
    /// An error.
    Error {
        /// Whether the error ends the connection.
        fatal: bool,
        /// SQLSTATE.
        code: [u8; 5],
        /// Human-readable message.
        message: Bytes,
    },
    /// Any message that may be ignored, by its tag.
    Other(u8),
}

/// A message to a member other than a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frontend {
    /// Opens a session.
    Startup,
    /// Queries the member's report.
    Stats,
    /// An empty query, used as a fence between answers.
    EmptyQuery,
}

/// The client side of the protocol.
pub struct ClientCodec {
    frames: FrameReader,
    budget: ByteBudget,
    /// Bytes of a streamed value that have not arrived yet, and the reservation for those in memory.
    remaining: usize,
    reservation: Option<ByteReservation>,
}

impl ClientCodec {
    /// Creates the codec of a new connection.
    pub fn new(budget: ByteBudget) -> Self {
        // The buffer is grown as soon as the announced length is reserved: members send what they announce, or the
        // connection is closed within the time limit of an answer.
        ClientCodec {
            frames: FrameReader::new(budget.clone(), UNCOUNTED_LEN, 0),
            budget,
            remaining: 0,
            reservation: None,
        }
    }
}

impl ClientCodec {
    /// Removes the head of a row whose value is streamed, and reserves memory for the stream.
    fn begin_stream(&mut self, src: &mut BytesMut, length: usize) -> Result<Backend, WireError> {
        let reservation = self.budget.try_reserve(STREAM_RESERVATION_LEN);
        self.reservation = Some(reservation.ok_or(WireError::BudgetExhausted)?);
        self.remaining = length;
        src.advance(ROW_HEAD_LEN);
        Ok(Backend::LargeRowStart(length))
    }

    /// Returns the received bytes of a streamed value, up to one chunk.
    fn next_chunk(&mut self, src: &mut BytesMut) -> Option<Backend> {
        let len = src.len().min(self.remaining).min(CHUNK_LEN);
        if len == 0 {
            // Splitting off chunks uses up the buffer's capacity; without more, each read would return few bytes.
            src.reserve(CHUNK_LEN);
            return None;
        }
        self.remaining -= len;
        if self.remaining == 0 {
            self.reservation = None;
        }
        Some(Backend::Chunk(src.split_to(len).freeze()))
    }
}

/// What the first bytes of a row tell about it.
enum RowHead {
    /// Too few of them have arrived.
    Incomplete,
    /// The row is passed on as a whole.
    Buffered,
    /// Its value, of this many bytes, is streamed.
    Large(usize),
}

/// Reads the head of a row. The message's length is checked against the value's length before the whole message is
/// waited for: with a message length that is too large, the rest of the answer would be read as part of the value.
/// Only both lengths together tell whether a long message is a sound one, so neither is judged without the other.
fn parse_row_head(src: &[u8]) -> Result<RowHead, WireError> {
    let Some(message_length) = src.get(1..).and_then(|rest| rest.first_chunk()) else {
        return Ok(RowHead::Incomplete);
    };
    let message_length = u32::from_be_bytes(*message_length) as usize;
    let Some(value_length) = message_length.checked_sub(ROW_HEAD_LEN - 1) else {
        return Err(WireError::Malformed("a row does not have one column"));
    };
    if value_length > MAX_VALUE_LEN {
        return Err(WireError::TooLong(message_length));
    }
    let Some(head) = src.first_chunk::<ROW_HEAD_LEN>() else { return Ok(RowHead::Incomplete) };
    // A null value has the length -1 and no bytes.
    let row_length = (&head[7..]).get_i32();
    if usize::try_from(row_length.max(0)) != Ok(value_length) {
        return Err(WireError::Malformed("a row's length is off"));
    }
    if head[5..7] != [0, 1] {
        return Err(WireError::Malformed("a row does not have one column"));
    }
    match value_length > MAX_BUFFERED_VALUE_LEN {
        true => Ok(RowHead::Large(value_length)),
        false => Ok(RowHead::Buffered),
    }
}

impl BuffersPartial for ClientCodec {}

impl Decoder for ClientCodec {
    type Item = Backend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, WireError> {
        if self.remaining > 0 {
            return Ok(self.next_chunk(src));
        }
        let max_len = |tag| match tag {
            b'D' => Some(ROW_HEAD_LEN - 1 + MAX_BUFFERED_VALUE_LEN),
            b'E' | b'N' | b'S' | b'R' => Some(8 * 1024),
            b'T' | b'C' => Some(512),
            b'K' => Some(264),
            b'Z' => Some(5),
            b'I' => Some(4),
            _ => None,
        };
        if src.first() == Some(&b'D') {
            match parse_row_head(src)? {
                RowHead::Incomplete => return Ok(None),
                RowHead::Large(length) => return self.begin_stream(src, length).map(Some),
                RowHead::Buffered => {}
            }
        }
        let Some(frame) = self.frames.next(src, true, max_len)? else { return Ok(None) };
        let mut body = BodyReader(frame.body(src));
        let message = match frame.tag {
            b'R' => match u32::from_be_bytes(body.read_bytes()?) {
                0 => Backend::AuthenticationOk,
                _ => return without_body(frame, src, Backend::AuthenticationOther),
            },
            b'S' => {
                let name = match body.read_string()? {
                    b"mode" => Parameter::Mode,
                    b"wal_time" => Parameter::Position,
                    b"stats" => Parameter::Stats,
                    _ => Parameter::Other,
                };
                Backend::ParameterStatus(name, SmallVec::from_slice(body.read_string()?))
            }
            b'K' => return without_body(frame, src, Backend::BackendKeyData),
            b'Z' => match body.read_bytes()? {
                [b'I' | b'T' | b'E'] => Backend::ReadyForQuery,
                _ => return Err(WireError::Malformed("a server is ready in no known state")),
            },
            b'T' => Backend::RowDescription(parse_column(&mut body)?),
            b'D' => {
                body.read_bytes::<2>()?;
                match i32::from_be_bytes(body.read_bytes()?) {
                    -1 => Backend::DataRow(None),
                    n if usize::try_from(n) == Ok(body.0.len()) => {
                        return Ok(Some(Backend::DataRow(Some(frame.into_body(src, 6, 0)))))
                    }
                    _ => return Err(WireError::Malformed("a row's length is off")),
                }
            }
            b'C' => {
                let tag = body.read_string()?;
                if tag.is_empty() || !tag.iter().all(|b| (b' '..=b'~').contains(b)) {
                    return Err(WireError::Malformed("a command's tag cannot be read"));
                }
                Backend::CommandComplete
            }
            b'I' => Backend::EmptyQuery,
            b'E' => parse_error(&mut body)?,
            tag => return without_body(frame, src, Backend::Other(tag)),
        };
        body.expect_end()?;
        frame.discard(src);
        Ok(Some(message))
    }
}

/// Discards the body of a message that carries nothing the proxy uses.
fn without_body(
    frame: super::frames::Frame,
    src: &mut BytesMut,
    message: Backend,
) -> Result<Option<Backend>, WireError> {
    frame.discard(src);
    Ok(Some(message))
}

fn parse_column(body: &mut BodyReader) -> Result<Column, WireError> {
    if u16::from_be_bytes(body.read_bytes()?) != 1 {
        return Err(WireError::Malformed("an answer does not have one column"));
    }
    body.read_string()?;
    body.read_bytes::<6>()?;
    let type_id = u32::from_be_bytes(body.read_bytes()?);
    body.read_bytes::<6>()?;
    match u16::from_be_bytes(body.read_bytes()?) {
        form @ (0 | 1) => Ok(Column { type_id, binary: form == 1 }),
        _ => Err(WireError::Malformed("a column has no known form")),
    }
}

/// Severities of messages that do not end a command; only notices have them.
const NOTICE_SEVERITIES: [&[u8]; 5] = [b"WARNING", b"NOTICE", b"DEBUG", b"INFO", b"LOG"];

fn parse_error(body: &mut BodyReader) -> Result<Backend, WireError> {
    let (mut severity, mut plain_severity, mut code, mut message) = (None, None, None, None);
    loop {
        let [field] = body.read_bytes()?;
        if field == 0 {
            break;
        }
        let value = body.read_string()?;
        let known = match field {
            b'S' => &mut severity,
            b'V' => &mut plain_severity,
            b'C' => &mut code,
            b'M' => &mut message,
            _ => continue,
        };
        if known.replace(value).is_some() {
            return Err(WireError::Malformed("a field of an error is given twice"));
        }
    }
    if [severity, plain_severity].iter().flatten().any(|severity| NOTICE_SEVERITIES.contains(severity)) {
        return Err(WireError::Malformed("an error has the severity of a notice"));
    }
    // Five digits or capital letters; the meaning of any other code is unknown.
    let code = code.filter(|code| code.iter().all(|b| b.is_ascii_digit() || b.is_ascii_uppercase()));
    let Some(code) = code.and_then(|code| code.try_into().ok()) else {
        return Err(WireError::Malformed("an error has no code"));
    };
    let fatal = matches!(severity, Some(b"FATAL" | b"PANIC"));
    Ok(Backend::Error { fatal, code, message: Bytes::copy_from_slice(message.unwrap_or_default()) })
}

/// Encodes a simple query.
fn encode_query(dst: &mut BytesMut, text: &[u8]) {
    dst.put_u8(b'Q');
    dst.put_u32(text.len() as u32 + 5);
    dst.put_slice(text);
    dst.put_u8(0);
}

impl Encoder<Frontend> for ClientCodec {
    type Error = WireError;

    fn encode(&mut self, message: Frontend, dst: &mut BytesMut) -> Result<(), WireError> {
        match message {
            Frontend::Startup => {
                const BODY: &[u8] = b"\0\x03\0\0user\0svc\0database\0main\0\0";
                dst.put_u32(BODY.len() as u32 + 4);
                dst.put_slice(BODY);
            }
            Frontend::Stats => encode_query(dst, b"SHOW stats"),
            Frontend::EmptyQuery => encode_query(dst, b""),
        }
        Ok(())
    }
}

/// Encodes a statement with the waiting time `wait`, in ms, inserted between its two parts, which are not copied.
/// `fence` puts an empty query before the statement: its answer comes first and marks the end of anything left over
/// from an earlier answer.
pub fn encode_statement<'a>(
    (head, tail): (&'a [u8], &'a [u8]),
    wait: u64,
    fence: bool,
) -> impl Buf + use<'a> {
    let mut digits = itoa::Buffer::new();
    let wait: SmallVec<[u8; 20]> = SmallVec::from_slice(digits.format(wait).as_bytes());
    let length = (head.len() + wait.len() + tail.len()) as u32 + 5;
    let mut first: SmallVec<[u8; 16]> = SmallVec::new();
    if fence {
        first.extend_from_slice(b"Q\0\0\0\x05\0");
    }
    first.push(b'Q');
    first.extend_from_slice(&length.to_be_bytes());
    let (first, wait) = (std::io::Cursor::new(first), std::io::Cursor::new(wait));
    first.chain(head).chain(wait).chain(tail).chain(&[0][..])
}

#[cfg(test)]
#[path = "member_codec_tests.rs"]
mod tests;
