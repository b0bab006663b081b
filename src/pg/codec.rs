//! Messages of the wire protocol, each decoded once into a small typed value and encoded once.

use crate::meter::{self, Cost};
use crate::net::budget::{Ration, Share};
use crate::net::frames::Holds;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// The longest message taken in: a value of 64 KiB in hex with its statement fits well.
pub const LONGEST: usize = 144 * 1024;
/// The longest startup message taken in, as PostgreSQL itself has it.
const LONGEST_STARTUP: usize = 10_000;

/// What can be wrong with what was read.
#[derive(Debug)]
pub enum WireError {
    /// The connection broke.
    Io(io::Error),
    /// A message is longer than is taken in.
    TooLong(usize),
    /// A message is malformed.
    Malformed(&'static str),
    /// All connections together hold as many bytes as memory allows.
    NoRoom,
    /// A message was begun and not ended in time.
    Unfinished,
}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError::Io(e)
    }
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Io(e) => write!(f, "{e}"),
            WireError::TooLong(n) => write!(f, "a message of {n} bytes is too long"),
            WireError::Malformed(what) => write!(f, "{what}"),
            WireError::NoRoom => write!(f, "no room for one more message; trying again is harmless"),
            WireError::Unfinished => write!(f, "a message was begun and not ended in time"),
        }
    }
}

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
    /// Synchronisation point of the extended protocol.
    Sync,
    /// Goodbye.
    Terminate,
    /// Anything else, by its tag.
    Other(u8),
}

/// The description of the one column that answers have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    /// Type.
    pub type_id: u32,
    /// Binary rather than text form.
    pub binary: bool,
}

/// What a server says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Backend {
    /// One byte outside any message: no encryption here.
    NoEncryption,
    /// Welcome.
    AuthenticationOk,
    /// Some other word on authentication.
    AuthenticationOther,
    /// A run-time parameter.
    ParameterStatus(Bytes, Bytes),
    /// The key for cancels.
    KeyData,
    /// The server waits for a command.
    Ready,
    /// Description of the rows to come.
    RowDescription(Column),
    /// A row of one column.
    DataRow(Option<Bytes>),
    /// The end of a command.
    CommandComplete(Bytes),
    /// The answer to an empty query.
    EmptyQuery,
    /// An error: severity, SQLSTATE, message, detail.
    Error {
        /// Ends the connection.
        fatal: bool,
        /// SQLSTATE.
        code: Bytes,
        /// For people.
        message: Bytes,
        /// Field D.
        detail: Option<Bytes>,
    },
    /// Anything that may be passed over.
    Other(u8),
}

/// Cuts messages off what was read. The length that a message claims is no reason to make room for it: its share of
/// the ration is taken first, and the buffer grows with what comes.
struct Frames {
    ration: Ration,
    share: Option<Share>,
}

impl Frames {
    /// The next message's tag (0 where it has none) and body. `longest` tells the longest length of a tag's messages,
    /// or that there is no such tag: noise is known by its first byte, however long it says that it is.
    fn next(
        &mut self,
        src: &mut BytesMut,
        tagged: bool,
        longest: impl Fn(u8) -> Option<usize>,
    ) -> Result<Option<(u8, Bytes)>, WireError> {
        let at = usize::from(tagged);
        let tag = if tagged { src.first().copied() } else { Some(0) };
        let Some(tag) = tag else { return Ok(None) };
        let longest = longest(tag).ok_or(WireError::Malformed("there is no such message"))?;
        if src.len() < at + 4 {
            return Ok(None);
        }
        let length = (&src[at..]).get_u32() as usize;
        if length < 4 {
            return Err(WireError::Malformed("a message is shorter than its own length field"));
        }
        if length > longest {
            return Err(WireError::TooLong(length));
        }
        let share = match self.share.take() {
            Some(share) => share,
            None => self.ration.take(length).ok_or(WireError::NoRoom)?,
        };
        if src.len() < at + length {
            self.share = Some(share);
            return Ok(None);
        }
        let body = share.hold(&src[at + 4..at + length]);
        src.advance(at + length);
        Ok(Some((tag, body)))
    }
}

fn ended(bytes: &Bytes) -> Result<(), WireError> {
    bytes.is_empty().then_some(()).ok_or(WireError::Malformed("a message holds more than belongs to it"))
}

fn zero_ended(bytes: &mut Bytes) -> Result<Bytes, WireError> {
    let end = bytes.iter().position(|b| *b == 0).ok_or(WireError::Malformed("a string does not end"))?;
    let text = bytes.split_to(end);
    bytes.advance(1);
    Ok(text)
}

fn take<const N: usize>(bytes: &mut Bytes) -> Result<[u8; N], WireError> {
    let short = || WireError::Malformed("a message ends too early");
    let head: [u8; N] = bytes.get(..N).and_then(|b| b.try_into().ok()).ok_or_else(short)?;
    bytes.advance(N);
    Ok(head)
}

/// The server's end of a client's connection.
pub struct ServerCodec {
    started: bool,
    frames: Frames,
}

impl Holds for ServerCodec {}

impl Decoder for ServerCodec {
    type Item = Frontend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frontend>, WireError> {
        if !self.started {
            let Some((_, body)) = self.frames.next(src, false, |_| Some(LONGEST_STARTUP))? else {
                return Ok(None);
            };
            return self.startup(body).map(Some);
        }
        let longest = |tag| match tag {
            b'Q' | b'P' | b'B' | b'F' | b'd' => Some(LONGEST),
            b'S' | b'X' | b'H' | b'c' => Some(4),
            b'D' | b'E' | b'C' | b'f' => Some(LONGEST_STARTUP),
            _ => None,
        };
        let Some((tag, mut body)) = self.frames.next(src, true, longest)? else { return Ok(None) };
        Ok(Some(match tag {
            b'Q' => {
                let text = zero_ended(&mut body)?;
                ended(&body)?;
                Frontend::Query(text)
            }
            b'S' => Frontend::Sync,
            b'X' => Frontend::Terminate,
            other => Frontend::Other(other),
        }))
    }
}

impl ServerCodec {
    /// One for a new connection.
    pub fn new(ration: Ration) -> Self {
        ServerCodec { started: false, frames: Frames { ration, share: None } }
    }

    fn startup(&mut self, mut body: Bytes) -> Result<Frontend, WireError> {
        match u32::from_be_bytes(take(&mut body)?) {
            80_877_103 | 80_877_104 => Ok(Frontend::Encrypt),
            80_877_102 => Ok(Frontend::Cancel),
            version if version >> 16 == 3 => {
                let mut user = None;
                loop {
                    let name = zero_ended(&mut body)?;
                    if name.is_empty() {
                        break;
                    }
                    let value = zero_ended(&mut body)?;
                    if &name[..] == b"user" {
                        user = Some(String::from_utf8_lossy(&value).into_owned());
                    }
                }
                self.started = true;
                let user = user.ok_or(WireError::Malformed("the startup message names no user"))?;
                Ok(Frontend::Startup { user })
            }
            _ => Err(WireError::Malformed("only version 3 of the protocol is spoken here")),
        }
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

impl Encoder<Backend> for ServerCodec {
    type Error = WireError;

    fn encode(&mut self, message: Backend, dst: &mut BytesMut) -> Result<(), WireError> {
        match message {
            Backend::NoEncryption => dst.put_u8(b'N'),
            Backend::AuthenticationOk => put(dst, b'R', |d| d.put_u32(0)),
            Backend::ParameterStatus(name, value) => put(dst, b'S', |d| {
                put_text(d, &name);
                put_text(d, &value);
            }),
            Backend::KeyData => put(dst, b'K', |d| d.put_u64(0)),
            Backend::Ready => put(dst, b'Z', |d| d.put_u8(b'I')),
            Backend::RowDescription(column) => put(dst, b'T', |d| {
                d.put_u16(1);
                put_text(d, b"v");
                d.put_u32(0);
                d.put_u16(0);
                d.put_u32(column.type_id);
                d.put_i16(-1);
                d.put_i32(-1);
                d.put_u16(u16::from(column.binary));
            }),
            Backend::DataRow(value) => put(dst, b'D', |d| {
                d.put_u16(1);
                match value {
                    Some(value) => {
                        d.put_u32(value.len() as u32);
                        meter::add(Cost::Copied, value.len());
                        d.put_slice(&value);
                    }
                    None => d.put_i32(-1),
                }
            }),
            Backend::CommandComplete(tag) => put(dst, b'C', |d| put_text(d, &tag)),
            Backend::EmptyQuery => put(dst, b'I', |_| {}),
            Backend::Error { fatal, code, message, detail } => put(dst, b'E', |d| {
                let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
                let fields = [(b'S', severity), (b'V', severity), (b'C', &code), (b'M', &message)];
                for (name, value) in fields.into_iter().chain(detail.as_deref().map(|v| (b'D', v))) {
                    d.put_u8(name);
                    put_text(d, value);
                }
                d.put_u8(0);
            }),
            Backend::AuthenticationOther | Backend::Other(_) => {
                return Err(WireError::Malformed("a message that this end never sends"))
            }
        }
        Ok(())
    }
}

/// The client's end of a connection to a member.
pub struct ClientCodec {
    frames: Frames,
}

impl ClientCodec {
    /// One for a new connection.
    pub fn new(ration: Ration) -> Self {
        ClientCodec { frames: Frames { ration, share: None } }
    }
}

impl Holds for ClientCodec {}

impl Decoder for ClientCodec {
    type Item = Backend;
    type Error = WireError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Backend>, WireError> {
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
        }
        let Some((tag, mut body)) = self.frames.next(src, true, longest)? else { return Ok(None) };
        let message = match tag {
            b'R' => match u32::from_be_bytes(take(&mut body)?) {
                0 => Backend::AuthenticationOk,
                _ => return Ok(Some(Backend::AuthenticationOther)),
            },
            b'S' => Backend::ParameterStatus(zero_ended(&mut body)?, zero_ended(&mut body)?),
            b'K' => return Ok(Some(Backend::KeyData)),
            b'Z' => match take(&mut body)? {
                [b'I' | b'T' | b'E'] => Backend::Ready,
                _ => return Err(WireError::Malformed("a server is ready in no known state")),
            },
            b'T' => Backend::RowDescription(column(&mut body)?),
            b'D' => {
                if u16::from_be_bytes(take(&mut body)?) != 1 {
                    return Err(WireError::Malformed("a row does not have one column"));
                }
                match i32::from_be_bytes(take(&mut body)?) {
                    -1 => Backend::DataRow(None),
                    n if usize::try_from(n) == Ok(body.len()) => {
                        return Ok(Some(Backend::DataRow(Some(body))))
                    }
                    _ => return Err(WireError::Malformed("a row's length is off")),
                }
            }
            b'C' => {
                let tag = zero_ended(&mut body)?;
                if tag.is_empty() || !tag.iter().all(|b| (b' '..=b'~').contains(b)) {
                    return Err(WireError::Malformed("a command's tag cannot be read"));
                }
                Backend::CommandComplete(tag)
            }
            b'I' => Backend::EmptyQuery,
            b'E' => error(&mut body)?,
            other => return Ok(Some(Backend::Other(other))),
        };
        ended(&body)?;
        Ok(Some(message))
    }
}

fn column(body: &mut Bytes) -> Result<Column, WireError> {
    if u16::from_be_bytes(take(body)?) != 1 {
        return Err(WireError::Malformed("an answer does not have one column"));
    }
    zero_ended(body)?;
    take::<6>(body)?;
    let type_id = u32::from_be_bytes(take(body)?);
    take::<6>(body)?;
    match u16::from_be_bytes(take(body)?) {
        form @ (0 | 1) => Ok(Column { type_id, binary: form == 1 }),
        _ => Err(WireError::Malformed("a column has no known form")),
    }
}

fn error(body: &mut Bytes) -> Result<Backend, WireError> {
    let (mut fatal, mut code, mut message, mut detail) = (false, Bytes::new(), Bytes::new(), None);
    loop {
        let [field] = take(body)?;
        if field == 0 {
            // Five digits or capital letters, or what it means cannot be known.
            let known = code.len() == 5 && code.iter().all(|b| b.is_ascii_digit() || b.is_ascii_uppercase());
            return match known {
                true => Ok(Backend::Error { fatal, code, message, detail }),
                false => Err(WireError::Malformed("an error has no code")),
            };
        }
        let value = zero_ended(body)?;
        match field {
            b'S' => fatal = matches!(&value[..], b"FATAL" | b"PANIC"),
            b'C' => code = value,
            b'M' => message = value,
            b'D' => detail = Some(value),
            _ => {}
        }
    }
}

impl Encoder<Frontend> for ClientCodec {
    type Error = WireError;

    fn encode(&mut self, message: Frontend, dst: &mut BytesMut) -> Result<(), WireError> {
        match message {
            Frontend::Startup { user } => {
                let at = dst.len();
                dst.put_u32(0);
                dst.put_u32(3 << 16);
                for text in ["user", &user, "database", "main", ""] {
                    put_text(dst, text.as_bytes());
                }
                let length = (dst.len() - at) as u32;
                dst[at..at + 4].copy_from_slice(&length.to_be_bytes());
            }
            Frontend::Query(text) => {
                meter::add(Cost::Copied, text.len());
                put(dst, b'Q', |d| put_text(d, &text));
            }
            Frontend::Terminate => put(dst, b'X', |_| {}),
            _ => return Err(WireError::Malformed("a message that this end never sends")),
        }
        Ok(())
    }
}
