//! Clients of both fronts, without blocking: one connection each, one request at a time, or several in a row.

use crate::wire;
use base64::Engine;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// What a client asks for.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The class, by name.
    pub class: &'static str,
    /// The key.
    pub key: String,
    /// The value of a booking; none for a read.
    pub value: Option<Vec<u8>>,
    /// How long it waits, in ms.
    pub wait_ms: u64,
    /// The position that a read must see, in Unix ms.
    pub after: Option<u64>,
}

/// What a client was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The value, empty where the key is unknown.
    Served(Vec<u8>),
    /// Refused, and when to come back in ms.
    Refused(Option<u64>),
    /// Failed, with the SQLSTATE or the status.
    Failed(String),
}

/// A new request id, unlike all others of this process.
pub fn request_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), LAST.fetch_add(1, Ordering::Relaxed))
}

impl ClientRequest {
    /// The statement under an id.
    pub fn sql(&self, id: &str) -> String {
        self.sql_for_group(id, 1, false)
    }

    /// The same for a group, and for a client that has tried before.
    pub fn sql_for_group(&self, id: &str, group: u32, again: bool) -> String {
        let ClientRequest { class, key, value, wait_ms, after } = self;
        let head = match value {
            None => format!("SELECT v FROM records WHERE k = '{key}'"),
            Some(value) => {
                format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x{}') RETURNING v", wire::hex(value))
            }
        };
        let after = after.map_or(String::new(), |a| format!(",after={a}"));
        let again = if again { ",r=1" } else { "" };
        format!("{head} /* id={id},c={class},t=acme,d={wait_ms},cluster={group}{after}{again} */")
    }
}

/// How the fields of an error begin behind which the connection ends.
const FATAL: &[u8] = b"SFATAL\0";

/// What the fields of an error tell.
fn told_by_error(fields: &[u8]) -> ClientAnswer {
    let text = String::from_utf8_lossy(fields);
    let field = |name: char| text.split('\0').find_map(|t| t.strip_prefix(name));
    match field('C') {
        Some("53300" | "57P03") => ClientAnswer::Refused(field('D').and_then(|d| d.parse().ok())),
        code => ClientAnswer::Failed(code.unwrap_or_default().to_string()),
    }
}

/// A client by PostgreSQL's protocol.
pub struct PgClient {
    stream: BufReader<TcpStream>,
    body: Vec<u8>,
}

impl PgClient {
    /// Connects, and waits for the welcome.
    ///
    /// # Errors
    /// When there is none.
    pub async fn connect(to: SocketAddr) -> Result<Self> {
        let mut this = PgClient::connect_without_startup(to).await?;
        this.stream.write_all(&wire::startup()).await?;
        while wire::read_async(&mut this.stream, true, &mut this.body).await? != b'Z' {}
        Ok(this)
    }

    /// Connects, and says nothing yet.
    ///
    /// # Errors
    /// When no connection comes up.
    pub async fn connect_without_startup(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(PgClient { stream: BufReader::with_capacity(16 * 1024, stream), body: Vec::new() })
    }

    /// Sends the startup and these queries in one go, as the protocol allows, and gives the answer to the first of them: what
    /// comes behind the welcome, or a fatal error in its place.
    ///
    /// # Errors
    /// As [`PgClient::answer`].
    pub async fn request_with_startup(&mut self, queries: &[u8]) -> Result<ClientAnswer> {
        // Where the other side has ended the connection already, its last word may still be read.
        let _ = self.stream.write_all(&[&wire::startup(), queries].concat()).await;
        self.first_answer().await
    }

    async fn first_answer(&mut self) -> Result<ClientAnswer> {
        loop {
            match wire::read_async(&mut self.stream, true, &mut self.body).await? {
                b'Z' => return self.answer().await,
                b'E' => return Ok(told_by_error(&self.body)),
                _ => {}
            }
        }
    }

    /// Sends queries in one go.
    ///
    /// # Errors
    /// When the connection breaks.
    pub async fn send(&mut self, queries: &[u8]) -> Result<()> {
        self.stream.write_all(queries).await
    }

    /// The next answer.
    ///
    /// # Errors
    /// When the connection ends first, or the answer is not one row or one error.
    pub async fn answer(&mut self) -> Result<ClientAnswer> {
        let mut told = None;
        loop {
            let tag = wire::read_async(&mut self.stream, true, &mut self.body).await?;
            let body = &self.body;
            let next = match tag {
                b'Z' => {
                    return told.ok_or_else(|| Error::new(ErrorKind::InvalidData, "an answer of nothing"))
                }
                b'D' => ClientAnswer::Served(body.get(6..).unwrap_or_default().to_vec()),
                b'C' if told.is_none() => ClientAnswer::Served(Vec::new()),
                b'I' => ClientAnswer::Served(Vec::new()),
                // Nothing comes behind a fatal error.
                b'E' if body.starts_with(FATAL) => return Ok(told_by_error(body)),
                b'E' => told_by_error(body),
                _ => continue,
            };
            if told.is_some() && tag != b'E' {
                return Err(Error::new(ErrorKind::InvalidData, "more than one answer"));
            }
            told = Some(next);
        }
    }

    /// Asks, and waits for the answer.
    ///
    /// # Errors
    /// As [`PgClient::answer`].
    pub async fn request(&mut self, ask: &ClientRequest) -> Result<ClientAnswer> {
        self.send(&wire::query(&ask.sql(&request_id()))).await?;
        self.answer().await
    }

    /// Waits until something has come, and takes nothing.
    ///
    /// # Errors
    /// When the connection breaks first.
    pub async fn wait_for_data(&mut self) -> Result<usize> {
        Ok(self.stream.fill_buf().await?.len())
    }

    /// Whether the other side has ended the connection, as far as can be seen now.
    pub async fn ended(&mut self) -> bool {
        let look = tokio::time::timeout(std::time::Duration::ZERO, self.stream.fill_buf()).await;
        look.is_ok_and(|seen| seen.map_or(true, <[u8]>::is_empty))
    }

    /// Bytes that came without being asked for.
    pub fn unread_bytes(&self) -> usize {
        self.stream.buffer().len()
    }
}

/// A client by OData.
pub struct ODataClient {
    stream: BufReader<TcpStream>,
    body: Vec<u8>,
}

impl ODataClient {
    /// Connects.
    ///
    /// # Errors
    /// When that fails.
    pub async fn connect(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(ODataClient { stream: BufReader::with_capacity(16 * 1024, stream), body: Vec::new() })
    }

    /// Asks, and waits for the answer; a booking under a repeat id of its own.
    ///
    /// # Errors
    /// As [`ODataClient::answer`].
    pub async fn request(&mut self, ask: &ClientRequest) -> Result<ClientAnswer> {
        self.send(ask).await;
        self.answer().await
    }

    /// Sends a request.
    pub async fn send(&mut self, ask: &ClientRequest) {
        let ClientRequest { class, key, value, wait_ms, after } = ask;
        let after = after.map_or(String::new(), |a| format!("Skip-After: {a}\r\n"));
        let fields = format!(
            "Host: t\r\nSkip-Class: {class}\r\nSkip-Tenant: acme\r\nSkip-Group: 1\r\nSkip-Wait: {wait_ms}\r\n{after}"
        );
        let text = match value {
            None => format!("GET /records('{key}') HTTP/1.1\r\n{fields}\r\n"),
            Some(value) => {
                let value = base64::engine::general_purpose::URL_SAFE.encode(value);
                let body = format!("{{\"k\":\"{key}\",\"v\":\"{value}\"}}");
                let sent = httpdate::fmt_http_date(std::time::SystemTime::now());
                format!(
                    "POST /records HTTP/1.1\r\n{fields}Repeatability-Request-ID: {}\r\n\
                     Repeatability-First-Sent: {sent}\r\nContent-Length: {}\r\n\r\n{body}",
                    request_id(),
                    body.len()
                )
            }
        };
        // Where the other side has ended the connection already, its last word may still be read.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// The next answer.
    ///
    /// # Errors
    /// When the connection ends first, or the answer cannot be read.
    pub async fn answer(&mut self) -> Result<ClientAnswer> {
        let bad = |what| Error::new(ErrorKind::InvalidData, what);
        let (mut line, mut status, mut length, mut come_back) = (String::new(), String::new(), 0, None);
        loop {
            line.clear();
            if self.stream.read_line(&mut line).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let text = line.trim_end();
            if text.is_empty() {
                break;
            }
            match text.split_once(": ") {
                Some((name, v)) if name.eq_ignore_ascii_case("content-length") => {
                    length = v.parse().map_err(|_| bad("a length that is none"))?;
                }
                Some((name, v)) if name.eq_ignore_ascii_case("retry-after") => come_back = v.parse().ok(),
                None if status.is_empty() => status = text.split(' ').nth(1).unwrap_or_default().to_string(),
                _ => {}
            }
        }
        self.body.clear();
        self.body.resize(length, 0);
        self.stream.read_exact(&mut self.body).await?;
        Ok(match &status[..] {
            "200" | "201" => {
                let body: serde_json::Value = serde_json::from_slice(&self.body)?;
                let value = body.get("v").and_then(|v| v.as_str()).ok_or_else(|| bad("no value"))?;
                let value =
                    base64::engine::general_purpose::URL_SAFE_NO_PAD.decode(value.trim_end_matches('='));
                ClientAnswer::Served(value.map_err(|_| bad("a value that is no base64"))?)
            }
            "404" => ClientAnswer::Served(Vec::new()),
            "503" => ClientAnswer::Refused(come_back.map(|s: u64| s * 1000)),
            _ => ClientAnswer::Failed(status),
        })
    }
}
