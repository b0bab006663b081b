//! Messages of PostgreSQL's protocol, version 3, encoded by hand. The stand-ins do not share the proxy's codec,
//! because a fault in a shared codec would cancel itself out in tests.

use std::io::{Error, ErrorKind, Read, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest message body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Encodes one message: its tag, its length, its body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut message = Vec::with_capacity(body.len() + 5);
    put(&mut message, tag, body);
    message
}

/// Appends one message.
pub fn put(to: &mut Vec<u8>, tag: u8, body: &[u8]) {
    to.push(tag);
    to.extend((body.len() as u32 + 4).to_be_bytes());
    to.extend(body);
}

/// The startup message that clients send.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat()
}

/// A simple query.
pub fn query(sql: &str) -> Vec<u8> {
    let mut message = Vec::with_capacity(sql.len() + 6);
    message.push(b'Q');
    message.extend((sql.len() as u32 + 5).to_be_bytes());
    message.extend(sql.as_bytes());
    message.push(0);
    message
}

/// A non-fatal error followed by ReadyForQuery.
pub fn error(code: &str) -> Vec<u8> {
    [message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()), message(b'Z', b"I")].concat()
}

fn body_length(header: &[u8]) -> Result<usize> {
    let length = header.last_chunk().map_or(0, |l| u32::from_be_bytes(*l) as usize);
    let body = length.checked_sub(4).filter(|l| *l <= MAX_BODY_BYTES);
    body.ok_or_else(|| Error::new(ErrorKind::InvalidData, "invalid message length"))
}

/// Reads the next message: its tag (0 if not `tagged`) and its body.
///
/// # Errors
/// When the connection ends or breaks first, or the length is invalid.
pub fn read(from: &mut impl Read, tagged: bool) -> Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    let header = if tagged { &mut header[..] } else { &mut header[..4] };
    from.read_exact(header)?;
    let mut body = vec![0; body_length(header)?];
    from.read_exact(&mut body)?;
    Ok((if tagged { header[0] } else { 0 }, body))
}

/// As [`read`], asynchronously; `body` is overwritten.
///
/// # Errors
/// As [`read`].
pub async fn read_async(from: &mut (impl AsyncRead + Unpin), tagged: bool, body: &mut Vec<u8>) -> Result<u8> {
    let mut header = [0; 5];
    let header = if tagged { &mut header[..] } else { &mut header[..4] };
    from.read_exact(header).await?;
    body.clear();
    body.resize(body_length(header)?, 0);
    from.read_exact(body).await?;
    Ok(if tagged { header[0] } else { 0 })
}

/// Decodes hex digits; any other character counts as 0.
pub fn unhex(hex: &str) -> Vec<u8> {
    let digit = |d: u8| char::from(d).to_digit(16).unwrap_or(0) as u8;
    hex.as_bytes().chunks_exact(2).map(|p| digit(p[0]) << 4 | digit(p[1])).collect()
}

/// Encodes each byte as two hex digits.
pub fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = |b: &u8| [DIGITS[usize::from(b >> 4)], DIGITS[usize::from(b & 15)]].map(char::from);
    bytes.iter().flat_map(digits).collect()
}
