//! Asynchronous clients of both fronts. Each has one connection and sends one request at a time, or several in a row.

use crate::wire;
use base64::Engine;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A request as a client sends it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The class, by name.
    pub class: &'static str,
    /// The key.
    pub key: String,
    /// The value that a booking writes; none for a read.
    pub value: Option<Vec<u8>>,
    /// Deadline of the request, in ms.
    pub wait_ms: u64,
    /// The position that a read must include, in Unix ms.
    pub after: Option<u64>,
}

/// Fields of a statement that not every client sends.
#[derive(Debug, Clone, Default)]
pub struct StatementFields {
    /// The group.
    pub group: u32,
    /// Whether the statement is marked as a retry.
    pub retry: bool,
    /// The idempotency key, in a keyed class.
    pub idempotency_key: Option<String>,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The value; empty if the key is unknown.
    Served(Vec<u8>),
    /// Refused, and after how many ms to retry.
    Refused(Option<u64>),
    /// Failed, with the SQLSTATE or the HTTP status.
    Failed(String),
}

/// A request id that is unique in this process.
pub fn request_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), LAST.fetch_add(1, Ordering::Relaxed))
}

impl ClientRequest {
    /// The SQL statement of this request under a request id.
    pub fn sql(&self, id: &str) -> String {
        self.sql_with(id, &StatementFields { group: 1, ..StatementFields::default() })
    }

    /// As [`ClientRequest::sql`], with these fields.
    pub fn sql_with(&self, id: &str, fields: &StatementFields) -> String {
        let ClientRequest { class, key, value, wait_ms, after } = self;
        let statement = match value {
            None => format!("SELECT v FROM records WHERE k = '{key}'"),
            Some(value) => {
                format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x{}') RETURNING v", wire::hex(value))
            }
        };
        let after = after.map_or(String::new(), |a| format!(",after={a}"));
        let retry = if fields.retry { ",r=1" } else { "" };
        let key = fields.idempotency_key.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let group = fields.group;
        format!("{statement} /* id={id},c={class},t=acme,d={wait_ms}{key},cluster={group}{after}{retry} */")
    }
}

/// Start of the fields of an error after which the connection is closed.
const FATAL: &[u8] = b"SFATAL\0";

/// Converts the fields of an ErrorResponse.
fn answer_from_error(fields: &[u8]) -> ClientAnswer {
    let text = String::from_utf8_lossy(fields);
    let field = |name: char| text.split('\0').find_map(|t| t.strip_prefix(name));
    match field('C') {
        Some("53300" | "57P03") => ClientAnswer::Refused(field('D').and_then(|d| d.parse().ok())),
        code => ClientAnswer::Failed(code.unwrap_or_default().to_string()),
    }
}

/// A client that speaks PostgreSQL's protocol.
pub struct PgClient {
    stream: BufReader<TcpStream>,
    body: Vec<u8>,
}

impl PgClient {
    /// Connects, sends the startup message and waits for ReadyForQuery.
    ///
    /// # Errors
    /// When the connection fails or ends first.
    pub async fn connect(to: SocketAddr) -> Result<Self> {
        let mut this = PgClient::connect_without_startup(to).await?;
        this.stream.write_all(&wire::startup()).await?;
        while wire::read_async(&mut this.stream, true, &mut this.body).await? != b'Z' {}
        Ok(this)
    }

    /// Connects without sending anything.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn connect_without_startup(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(PgClient { stream: BufReader::with_capacity(16 * 1024, stream), body: Vec::new() })
    }

    /// Sends the startup message and these queries in one write, as the protocol allows. Returns the answer to the
    /// first query, or the fatal error that the proxy sends instead of ReadyForQuery.
    ///
    /// # Errors
    /// As [`PgClient::answer`].
    pub async fn request_with_startup(&mut self, queries: &[u8]) -> Result<ClientAnswer> {
        // If the proxy has already closed the connection, its last message can still be read.
        let _ = self.stream.write_all(&[&wire::startup(), queries].concat()).await;
        self.first_answer().await
    }

    async fn first_answer(&mut self) -> Result<ClientAnswer> {
        loop {
            match wire::read_async(&mut self.stream, true, &mut self.body).await? {
                b'Z' => return self.answer().await,
                b'E' => return Ok(answer_from_error(&self.body)),
                _ => {}
            }
        }
    }

    /// Sends queries in one write.
    ///
    /// # Errors
    /// When the connection breaks.
    pub async fn send(&mut self, queries: &[u8]) -> Result<()> {
        self.stream.write_all(queries).await
    }

    /// Reads the next answer.
    ///
    /// # Errors
    /// When the connection ends first, or the answer is not one row or one error.
    pub async fn answer(&mut self) -> Result<ClientAnswer> {
        let mut answer = None;
        loop {
            let tag = wire::read_async(&mut self.stream, true, &mut self.body).await?;
            let body = &self.body;
            let next = match tag {
                b'Z' => {
                    return answer.ok_or_else(|| {
                        Error::new(ErrorKind::InvalidData, "an answer without a row or an error")
                    })
                }
                b'D' => ClientAnswer::Served(body.get(6..).unwrap_or_default().to_vec()),
                b'C' if answer.is_none() => ClientAnswer::Served(Vec::new()),
                b'I' => ClientAnswer::Served(Vec::new()),
                // No message follows a fatal error.
                b'E' if body.starts_with(FATAL) => return Ok(answer_from_error(body)),
                b'E' => answer_from_error(body),
                _ => continue,
            };
            if answer.is_some() && tag != b'E' {
                return Err(Error::new(ErrorKind::InvalidData, "more than one row or error in an answer"));
            }
            answer = Some(next);
        }
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    /// As [`PgClient::answer`].
    pub async fn request(&mut self, request: &ClientRequest) -> Result<ClientAnswer> {
        self.send(&wire::query(&request.sql(&request_id()))).await?;
        self.answer().await
    }

    /// Waits until data has arrived, without consuming it; returns the number of buffered bytes.
    ///
    /// # Errors
    /// When the connection breaks first.
    pub async fn wait_for_data(&mut self) -> Result<usize> {
        Ok(self.stream.fill_buf().await?.len())
    }

    /// Whether the proxy has closed the connection, as far as this side has seen; does not wait.
    pub async fn ended(&mut self) -> bool {
        let peeked = tokio::time::timeout(std::time::Duration::ZERO, self.stream.fill_buf()).await;
        peeked.is_ok_and(|buffered| buffered.map_or(true, <[u8]>::is_empty))
    }

    /// The number of bytes received beyond the last answer.
    pub fn unread_bytes(&self) -> usize {
        self.stream.buffer().len()
    }
}

/// A client that speaks OData.
pub struct ODataClient {
    stream: BufReader<TcpStream>,
    body: Vec<u8>,
}

impl ODataClient {
    /// Connects.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn connect(to: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(ODataClient { stream: BufReader::with_capacity(16 * 1024, stream), body: Vec::new() })
    }

    /// Sends a request and waits for the answer. A booking gets a new repeat id.
    ///
    /// # Errors
    /// As [`ODataClient::answer`].
    pub async fn request(&mut self, request: &ClientRequest) -> Result<ClientAnswer> {
        self.send(request).await;
        self.answer().await
    }

    /// Sends a request.
    pub async fn send(&mut self, request: &ClientRequest) {
        // If the proxy has already closed the connection, its last message can still be read.
        let text = Self::encode(request);
        let _ = self.write(text.as_bytes()).await;
    }

    /// Sends these bytes, such as several requests in one write.
    ///
    /// # Errors
    /// When the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await
    }

    /// The HTTP request of a request. A booking gets a new repeat id.
    pub fn encode(request: &ClientRequest) -> String {
        let ClientRequest { class, key, value, wait_ms, after } = request;
        let after = after.map_or(String::new(), |a| format!("Skip-After: {a}\r\n"));
        let fields = format!(
            "Host: t\r\nSkip-Class: {class}\r\nSkip-Tenant: acme\r\nSkip-Group: 1\r\nSkip-Wait: {wait_ms}\r\n{after}"
        );
        match value {
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
        }
    }

    /// Reads the next answer.
    ///
    /// # Errors
    /// When the connection ends first, or the answer cannot be parsed.
    pub async fn answer(&mut self) -> Result<ClientAnswer> {
        let invalid = |what| Error::new(ErrorKind::InvalidData, what);
        let (mut line, mut status, mut length, mut retry_after) = (String::new(), String::new(), 0, None);
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
                    length = v.parse().map_err(|_| invalid("invalid Content-Length"))?;
                }
                Some((name, v)) if name.eq_ignore_ascii_case("retry-after") => retry_after = v.parse().ok(),
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
                let value =
                    body.get("v").and_then(|v| v.as_str()).ok_or_else(|| invalid("the body has no value"))?;
                let value =
                    base64::engine::general_purpose::URL_SAFE_NO_PAD.decode(value.trim_end_matches('='));
                ClientAnswer::Served(value.map_err(|_| invalid("the value is not base64"))?)
            }
            "404" => ClientAnswer::Served(Vec::new()),
            "503" => ClientAnswer::Refused(retry_after.map(|s: u64| s * 1000)),
            _ => ClientAnswer::Failed(status),
        })
    }
}
