//! The client's end of a connection to a member: what members say, decoded once, and statements, encoded once.

use super::frames::{Body, Frames, WireError, LONGEST};
use crate::core::flow;
use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::BuffersPartial;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use smallvec::SmallVec;
use tokio_util::codec::{Decoder, Encoder};

/// Messages up to this length are counted by no share.
const FREE: usize = 512;

/// A value longer than this comes in pieces; shorter ones are passed on only once they are whole.
pub const MAX_BUFFERED_VALUE_LEN: usize = 64 * 1024;
/// The longest value: 4 MiB, in text form too.
pub const LONGEST_VALUE: usize = 2 * 4 * 1024 * 1024 + 2;
/// Room for one piece, and what of a flowing value may be in memory.
const PIECE: usize = 16 * 1024;
const IN_MEMORY: usize = PIECE * (flow::MAX_QUEUED_CHUNKS + 2);

/// The description of the one column that answers have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Type.
    pub type_id: u32,
    /// Binary rather than text form.
    pub binary: bool,
}

/// A run-time parameter by its name, as far as it tells anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parameter {
    /// Whether the member takes writes.
    Mode,
    /// Its position.
    Position,
    /// Its report on itself.
    Stats,
    /// Any other.
    Other,
}

/// What a member says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Backend {
    /// Welcome.
    AuthenticationOk,
    /// Some other word on authentication.
    AuthenticationOther,
    /// A run-time parameter and its value.
    ParameterStatus(Parameter, SmallVec<[u8; 64]>),
    /// The key for cancels.
    KeyData,
    /// The server waits for a command.
    Ready,
    /// Description of the rows to come.
    RowDescription(Column),
    /// A row of one column.
    DataRow(Option<Bytes>),
    /// The start of a row whose value has so many bytes; they follow in pieces.
    RowBegins(usize),
    /// The next of them.
    Chunk(Bytes),
    /// The end of a command.
    CommandComplete,
    /// The answer to an empty query.
    EmptyQuery,
    /// An error.
    Error {
        /// Ends the connection.
        fatal: bool,
        /// SQLSTATE.
        code: [u8; 5],
        /// For people.
        message: Bytes,
    },
    /// Anything that may be passed over.
    Other(u8),
}

/// What is said to a member, but for statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frontend {
    /// Opens a session.
    Startup,
    /// Asks for a report.
    Stats,
    /// The fence: an empty query.
    Empty,
}

/// The client's end.
pub struct ClientCodec {
    frames: Frames,
    budget: ByteBudget,
    /// Bytes of a value that are still to come, and the share for what of them is in memory.
    left: usize,
    share: Option<ByteReservation>,
}

impl ClientCodec {
    /// One for a new connection.
    pub fn new(budget: ByteBudget) -> Self {
        // A member's word for a length is taken as soon as there is a share for it: members send what they announce, or
        // else the connection ends within the time that an answer may take.
        ClientCodec { frames: Frames::new(budget.clone(), FREE, 0), budget, left: 0, share: None }
    }
}

impl ClientCodec {
    /// What has come of a value's bytes.
    fn piece(&mut self, src: &mut BytesMut) -> Option<Backend> {
        let some = src.len().min(self.left).min(PIECE);
        if some == 0 {
            // Cut off before, the buffer has no room left, and little would be read at a time.
            src.reserve(PIECE);
            return None;
        }
        self.left -= some;
        if self.left == 0 {
            self.share = None;
        }
        Some(Backend::Chunk(src.split_to(some).freeze()))
    }
}

impl BuffersPartial for ClientCodec {}

impl Decoder for ClientCodec {
    type Item = Backend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, WireError> {
        if self.left > 0 {
            return Ok(self.piece(src));
        }
        let longest = |tag| match tag {
            b'D' => Some(LONGEST),
            b'E' | b'N' | b'S' | b'R' => Some(8 * 1024),
            b'T' | b'C' => Some(512),
            b'K' => Some(264),
            b'Z' => Some(5),
            b'I' => Some(4),
            _ => None,
        };
        // The row's own length shows at once whether the message's can be true; waited for, one that is too long
        // would take the rest of the answer for part of the value.
        if src.len() >= 11 && src[0] == b'D' {
            let (message, row) = ((&src[1..]).get_u32(), (&src[7..]).get_i32());
            if i64::from(message) != 10 + i64::from(row.max(0)) {
                return Err(WireError::Malformed("a row's length is off"));
            }
            let row = row.max(0) as usize;
            if row > LONGEST_VALUE {
                return Err(WireError::TooLong(row));
            }
            if row > MAX_BUFFERED_VALUE_LEN {
                if src[5..7] != [0, 1] {
                    return Err(WireError::Malformed("a row does not have one column"));
                }
                self.share = Some(self.budget.try_reserve(IN_MEMORY).ok_or(WireError::NoRoom)?);
                self.left = row;
                src.advance(11);
                return Ok(Some(Backend::RowBegins(row)));
            }
        }
        let Some(found) = self.frames.next(src, true, longest)? else { return Ok(None) };
        let mut body = Body(found.body(src));
        let message = match found.tag {
            b'R' => match u32::from_be_bytes(body.take()?) {
                0 => Backend::AuthenticationOk,
                _ => return other(found, src, Backend::AuthenticationOther),
            },
            b'S' => {
                let name = match body.text()? {
                    b"mode" => Parameter::Mode,
                    b"wal_time" => Parameter::Position,
                    b"stats" => Parameter::Stats,
                    _ => Parameter::Other,
                };
                Backend::ParameterStatus(name, SmallVec::from_slice(body.text()?))
            }
            b'K' => return other(found, src, Backend::KeyData),
            b'Z' => match body.take()? {
                [b'I' | b'T' | b'E'] => Backend::Ready,
                _ => return Err(WireError::Malformed("a server is ready in no known state")),
            },
            b'T' => Backend::RowDescription(column(&mut body)?),
            b'D' => {
                if u16::from_be_bytes(body.take()?) != 1 {
                    return Err(WireError::Malformed("a row does not have one column"));
                }
                match i32::from_be_bytes(body.take()?) {
                    -1 => Backend::DataRow(None),
                    n if usize::try_from(n) == Ok(body.0.len()) => {
                        return Ok(Some(Backend::DataRow(Some(found.keep(src, 6, 0)))))
                    }
                    _ => return Err(WireError::Malformed("a row's length is off")),
                }
            }
            b'C' => {
                let tag = body.text()?;
                if tag.is_empty() || !tag.iter().all(|b| (b' '..=b'~').contains(b)) {
                    return Err(WireError::Malformed("a command's tag cannot be read"));
                }
                Backend::CommandComplete
            }
            b'I' => Backend::EmptyQuery,
            b'E' => error(&mut body)?,
            tag => return other(found, src, Backend::Other(tag)),
        };
        body.ended()?;
        found.skip(src);
        Ok(Some(message))
    }
}

/// A message whose body tells nothing.
fn other(
    found: super::frames::Found,
    src: &mut BytesMut,
    message: Backend,
) -> Result<Option<Backend>, WireError> {
    found.skip(src);
    Ok(Some(message))
}

fn column(body: &mut Body) -> Result<Column, WireError> {
    if u16::from_be_bytes(body.take()?) != 1 {
        return Err(WireError::Malformed("an answer does not have one column"));
    }
    body.text()?;
    body.take::<6>()?;
    let type_id = u32::from_be_bytes(body.take()?);
    body.take::<6>()?;
    match u16::from_be_bytes(body.take()?) {
        form @ (0 | 1) => Ok(Column { type_id, binary: form == 1 }),
        _ => Err(WireError::Malformed("a column has no known form")),
    }
}

/// The severities of messages that end nothing; only notices have them.
const NOTICE_SEVERITIES: [&[u8]; 5] = [b"WARNING", b"NOTICE", b"DEBUG", b"INFO", b"LOG"];

fn error(body: &mut Body) -> Result<Backend, WireError> {
    let (mut severity, mut plain_severity, mut code, mut message) = (None, None, None, None);
    loop {
        let [field] = body.take()?;
        if field == 0 {
            break;
        }
        let value = body.text()?;
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
    // Five digits or capital letters, or what it means cannot be known.
    let code = code.filter(|code| code.iter().all(|b| b.is_ascii_digit() || b.is_ascii_uppercase()));
    let Some(code) = code.and_then(|code| code.try_into().ok()) else {
        return Err(WireError::Malformed("an error has no code"));
    };
    let fatal = matches!(severity, Some(b"FATAL" | b"PANIC"));
    Ok(Backend::Error { fatal, code, message: Bytes::copy_from_slice(message.unwrap_or_default()) })
}

/// A simple query, whole.
fn query(dst: &mut BytesMut, text: &[u8]) {
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
            Frontend::Stats => query(dst, b"SHOW stats"),
            Frontend::Empty => query(dst, b""),
        }
        Ok(())
    }
}

/// A statement as a member gets it, told to wait so many ms, in the parts that it is made of: nothing of it is copied.
/// `fence` puts an empty query before it, whose answer comes first and ends what may be left of an earlier one.
pub fn statement<'a>((head, tail): (&'a [u8], &'a [u8]), wait: u64, fence: bool) -> impl Buf + use<'a> {
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
