//! The platform's protocol: messages of both sides, and a client.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One message: its tag, its length and its body.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut all = vec![tag];
    all.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    all.extend_from_slice(body);
    all
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// RowDescription of one binary column.
pub fn description() -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend_from_slice(b"v\0");
    body.extend_from_slice(&[0; 6]);
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&1u16.to_be_bytes());
    message(b'T', &body)
}

/// DataRow of one column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    message(b'D', &body)
}

pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', format!("{tag}\0").as_bytes())
}

/// Reads one message with a tag.
pub fn read_message(stream: &mut TcpStream) -> Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4).ok_or(ErrorKind::InvalidData)?];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads the startup message.
pub fn read_startup(stream: &mut TcpStream) -> Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body =
        vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4).ok_or(ErrorKind::InvalidData)?];
    stream.read_exact(&mut body)
}

/// An answer to one query.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// With its SQLSTATE.
    Error(String),
    Empty,
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Answer::Served(value) if value.len() > 40 => write!(f, "served, {} bytes", value.len()),
            Answer::Served(value) => write!(f, "served '{}'", String::from_utf8_lossy(value)),
            Answer::Error(code) => write!(f, "error {code}"),
            Answer::Empty => write!(f, "empty"),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and starts up.
    pub fn connect(address: SocketAddr) -> Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut startup = 196_608u32.to_be_bytes().to_vec();
        startup.extend_from_slice(b"user\0svc\0database\0main\0\0");
        let mut all = (startup.len() as u32 + 4).to_be_bytes().to_vec();
        all.extend_from_slice(&startup);
        stream.write_all(&all)?;
        loop {
            match read_message(&mut stream)? {
                (b'Z', _) => return Ok(Client { stream }),
                (b'E', body) => return Err(Error::other(format!("refused: {}", code(&body)))),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> Result<()> {
        self.stream.write_all(&query(statement))
    }

    /// Reads one whole answer, up to ReadyForQuery.
    pub fn answer(&mut self) -> Result<Answer> {
        let mut answer = None;
        loop {
            match read_message(&mut self.stream)? {
                (b'D', body) => answer = Some(Answer::Served(body.get(6..).unwrap_or_default().to_vec())),
                (b'E', body) => answer = Some(Answer::Error(code(&body))),
                (b'I', _) => answer = Some(Answer::Empty),
                (b'Z', _) => {
                    return answer.ok_or_else(|| Error::other("an answer without a row or an error"))
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Result<Answer> {
        self.send(statement)?;
        self.answer()
    }
}

pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', format!("{statement}\0").as_bytes())
}

fn code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let found = fields.filter_map(|field| field.strip_prefix(b"C")).next();
    String::from_utf8_lossy(found.unwrap_or(b"?????")).into_owned()
}

/// A read, as clients write it.
pub fn read_of(
    key: &str,
    id: &str,
    class: &str,
    tenant: &str,
    wait_ms: u64,
    group: u64,
    more: &str,
) -> String {
    format!("SELECT v FROM records WHERE k = '{key}' /* id={id},c={class},t={tenant},d={wait_ms},cluster={group}{more} */")
}

/// A write, as clients write it.
pub fn write_of(key: &str, value: &str, comment: &str) -> String {
    let hex: String = value.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x{hex}') RETURNING v /* {comment} */")
}
