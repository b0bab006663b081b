//! A codec for the subset of HTTP/1.1 that discovery and OData need. Message heads are parsed by `httparse`.

use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::BuffersPartial;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a message head.
const MAX_HEAD_LEN: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// An error while reading a message.
#[derive(Debug)]
pub enum HttpError {
    /// The connection broke.
    Io(io::Error),
    /// The head or body exceeds the maximum length.
    TooLong,
    /// The message is malformed.
    Malformed(String),
    /// The byte budget shared by all connections is exhausted.
    BudgetExhausted,
    /// The rest of a partially received message did not arrive in time.
    Unfinished,
}

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> Self {
        HttpError::Io(e)
    }
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            HttpError::Io(e) => write!(f, "{e}"),
            HttpError::TooLong => write!(f, "the message is too long"),
            HttpError::BudgetExhausted => write!(f, "no room for one more request; trying again is harmless"),
            HttpError::Unfinished => write!(f, "the request was begun and not ended in time"),
            HttpError::Malformed(what) => write!(f, "the message is malformed: {what}"),
        }
    }
}

/// Header fields in their original order; names are case-insensitive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Returns the first value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Returns all values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Appends a field.
    pub fn add(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_string(), value.into()));
    }

    fn from_parsed(fields: &[httparse::Header]) -> Self {
        let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_string();
        Headers(fields.iter().map(|h| (h.name.to_string(), text(h.value))).collect())
    }

    fn connection_close(&self) -> bool {
        self.get("Connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Request method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The client sends no further request on this connection.
    pub connection_close: bool,
}

/// Input read by a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming {
    /// The client waits for `100 Continue` before it sends the body; reply with [`HttpResponse::continue_response`].
    ExpectContinue,
    /// A complete request.
    Request(HttpRequest),
}

/// A server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Header fields, without `Content-Length`, which the codec adds.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The connection is closed after this response.
    pub connection_close: bool,
}

impl HttpResponse {
    /// `100 Continue`, which makes the client send the body that it holds back.
    pub fn continue_response() -> Self {
        HttpResponse { status: 100, headers: Headers::default(), body: Bytes::new(), connection_close: false }
    }
}

/// The head of a server's response, whose body is written separately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields, without `Content-Length`, which the codec adds.
    pub headers: Headers,
    /// Length of the body in bytes.
    pub content_length: usize,
    /// The connection is closed after this response.
    pub connection_close: bool,
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The first line of a message.
#[derive(Debug)]
enum Head {
    Request { method: String, target: String, minor: u8 },
    Response { status: u16, minor: u8 },
}

/// A message whose head has been read, and its body not completely.
struct PartialMessage {
    head: Head,
    headers: Headers,
    framing: BodyFraming,
    chunks: BytesMut,
    /// The client waits for `100 Continue`.
    expects_continue: bool,
    /// Reserves the body's maximum length in the byte budget.
    reservation: Option<ByteReservation>,
}

fn body_framing(headers: &Headers, response: Option<u16>) -> Result<BodyFraming, HttpError> {
    let malformed = |what: &str| Err(HttpError::Malformed(what.to_string()));
    if matches!(response, Some(100..=199 | 204 | 304)) {
        return Ok(BodyFraming::Length(0));
    }
    if let Some(coding) = headers.get("Transfer-Encoding") {
        if headers.get("Content-Length").is_some() {
            return malformed("it has both a length and a transfer coding");
        }
        return match coding.eq_ignore_ascii_case("chunked") {
            true => Ok(BodyFraming::Chunked),
            false => malformed("its transfer coding is unknown"),
        };
    }
    let mut lengths = headers.all("Content-Length");
    match (lengths.next(), lengths.next()) {
        (Some(n), None) if n.bytes().all(|b| b.is_ascii_digit()) => {
            n.parse().map(BodyFraming::Length).map_err(|_| HttpError::TooLong)
        }
        (Some(_), _) => malformed("its length is unclear"),
        (None, _) if response.is_some() => Ok(BodyFraming::UntilClose),
        (None, _) => Ok(BodyFraming::Length(0)),
    }
}

/// Reads messages for both the client and the server: a head, then its body.
struct MessageReader {
    partial: Option<PartialMessage>,
    max_body_len: usize,
    budget: Option<ByteBudget>,
}

impl MessageReader {
    fn read_head(&mut self, src: &mut BytesMut, server: bool) -> Result<bool, HttpError> {
        let malformed = |e: httparse::Error| HttpError::Malformed(e.to_string());
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let (end, head, headers, status) = if server {
            let mut parsed = httparse::Request::new(&mut fields);
            match parsed.parse(src).map_err(malformed)? {
                httparse::Status::Complete(end) => {
                    let method = parsed.method.unwrap_or_default().to_string();
                    let target = parsed.path.unwrap_or_default().to_string();
                    let minor = parsed.version.unwrap_or(0);
                    (end, Head::Request { method, target, minor }, Headers::from_parsed(parsed.headers), None)
                }
                httparse::Status::Partial => return self.check_head_len(src),
            }
        } else {
            let mut parsed = httparse::Response::new(&mut fields);
            match parsed.parse(src).map_err(malformed)? {
                httparse::Status::Complete(end) => {
                    let (status, minor) = (parsed.code.unwrap_or(0), parsed.version.unwrap_or(0));
                    (
                        end,
                        Head::Response { status, minor },
                        Headers::from_parsed(parsed.headers),
                        Some(status),
                    )
                }
                httparse::Status::Partial => return self.check_head_len(src),
            }
        };
        src.advance(end);
        let framing = body_framing(&headers, status)?;
        let expects_continue = headers.get("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        let body_len_limit = match framing {
            BodyFraming::Length(n) if n > self.max_body_len => return Err(HttpError::TooLong),
            BodyFraming::Length(n) => n,
            BodyFraming::Chunked | BodyFraming::UntilClose => self.max_body_len,
        };
        let reservation = self
            .budget
            .as_ref()
            .map(|r| r.try_reserve(body_len_limit).ok_or(HttpError::BudgetExhausted))
            .transpose()?;
        self.partial = Some(PartialMessage {
            head,
            headers,
            framing,
            chunks: BytesMut::new(),
            expects_continue,
            reservation,
        });
        Ok(true)
    }

    fn check_head_len(&self, src: &BytesMut) -> Result<bool, HttpError> {
        if src.len() > MAX_HEAD_LEN {
            return Err(HttpError::TooLong);
        }
        Ok(false)
    }

    /// Returns the next complete message. `at_eof`: no more input will arrive.
    fn next_message(
        &mut self,
        src: &mut BytesMut,
        server: bool,
        at_eof: bool,
    ) -> Result<Option<(Head, Headers, Bytes, bool)>, HttpError> {
        if self.partial.is_none() && (src.is_empty() || !self.read_head(src, server)?) {
            return Ok(None);
        }
        let Some(partial) = &mut self.partial else { return Ok(None) };
        let body = match partial.framing {
            BodyFraming::Length(n) if src.len() >= n => src.split_to(n).freeze(),
            BodyFraming::Length(_) => return Ok(None),
            BodyFraming::UntilClose if src.len() > self.max_body_len => return Err(HttpError::TooLong),
            BodyFraming::UntilClose if at_eof => src.split().freeze(),
            BodyFraming::UntilClose => return Ok(None),
            BodyFraming::Chunked => match chunked(src, &mut partial.chunks, self.max_body_len)? {
                true => partial.chunks.split().freeze(),
                false => return Ok(None),
            },
        };
        let Some(PartialMessage { head, headers, framing: kind, reservation, .. }) = self.partial.take()
        else {
            return Ok(None);
        };
        let body = reservation.map_or(body.clone(), |reservation| reservation.attach_to_copy(&body));
        let minor = match &head {
            Head::Request { minor, .. } | Head::Response { minor, .. } => *minor,
        };
        let connection_close = headers.connection_close() || minor == 0 || kind == BodyFraming::UntilClose;
        Ok(Some((head, headers, body, connection_close)))
    }
}

/// Moves complete chunks from `src` to `body`; returns true once the last chunk and its trailer have been read.
fn chunked(src: &mut BytesMut, body: &mut BytesMut, max_body_len: usize) -> Result<bool, HttpError> {
    loop {
        let size = httparse::parse_chunk_size(src);
        let size = size.map_err(|_| HttpError::Malformed("a chunk's size cannot be read".to_string()))?;
        let httparse::Status::Complete((at, size)) = size else {
            return if src.len() > MAX_HEAD_LEN { Err(HttpError::TooLong) } else { Ok(false) };
        };
        let Some(size) = usize::try_from(size).ok().filter(|n| body.len().saturating_add(*n) <= max_body_len)
        else {
            return Err(HttpError::TooLong);
        };
        if size == 0 {
            // The trailer ends with an empty line.
            let end = src[at..]
                .starts_with(b"\r\n")
                .then_some(at + 2)
                .or_else(|| src[at..].windows(4).position(|w| w == b"\r\n\r\n").map(|n| at + n + 4));
            let Some(end) = end else {
                return if src.len() > MAX_HEAD_LEN { Err(HttpError::TooLong) } else { Ok(false) };
            };
            src.advance(end);
            return Ok(true);
        }
        if src.len() < at + size + 2 {
            return Ok(false);
        }
        src.advance(at);
        body.put_slice(&src[..size]);
        src.advance(size);
        if !src.starts_with(b"\r\n") {
            return Err(HttpError::Malformed("a chunk does not end".to_string()));
        }
        src.advance(2);
    }
}

/// The server side of the protocol.
pub struct HttpServer(MessageReader);

impl HttpServer {
    /// Creates a codec that accepts bodies of up to `max_body_len` bytes and counts them against the budget.
    pub fn new(max_body_len: usize, budget: ByteBudget) -> Self {
        HttpServer(MessageReader { partial: None, max_body_len, budget: Some(budget) })
    }
}

impl BuffersPartial for HttpServer {
    fn holds_partial(&self) -> bool {
        self.0.partial.is_some()
    }
}

impl Decoder for HttpServer {
    type Item = Incoming;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Incoming>, HttpError> {
        if let Some((head, headers, body, connection_close)) = self.0.next_message(src, true, false)? {
            return Ok(match head {
                Head::Request { method, target, .. } => {
                    Some(Incoming::Request(HttpRequest { method, target, headers, body, connection_close }))
                }
                Head::Response { .. } => None,
            });
        }
        let expects_continue =
            self.0.partial.as_mut().is_some_and(|r| std::mem::take(&mut r.expects_continue));
        Ok(expects_continue.then_some(Incoming::ExpectContinue))
    }
}

impl Encoder<HttpResponse> for HttpServer {
    type Error = HttpError;

    fn encode(&mut self, response: HttpResponse, dst: &mut BytesMut) -> Result<(), HttpError> {
        let HttpResponse { status, headers, body, connection_close } = response;
        self.encode(ResponseHead { status, headers, content_length: body.len(), connection_close }, dst)?;
        dst.put_slice(&body);
        Ok(())
    }
}

impl Encoder<ResponseHead> for HttpServer {
    type Error = HttpError;

    fn encode(&mut self, head: ResponseHead, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.put_slice(format!("HTTP/1.1 {} {}\r\n", head.status, reason(head.status)).as_bytes());
        write_headers(&head.headers, dst);
        if head.connection_close {
            dst.put_slice(b"Connection: close\r\n");
        }
        // Content-Length is not allowed for a status that never has a body.
        if !matches!(head.status, 100 | 204) {
            dst.put_slice(format!("Content-Length: {}\r\n", head.content_length).as_bytes());
        }
        dst.put_slice(b"\r\n");
        Ok(())
    }
}

fn write_headers(headers: &Headers, dst: &mut BytesMut) {
    for (name, value) in &headers.0 {
        // A line break in a value would start another header field.
        let value = value.replace(['\r', '\n'], " ");
        dst.put_slice(format!("{name}: {value}\r\n").as_bytes());
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        406 => "Not Acceptable",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// The client side of the protocol.
pub struct HttpClient(MessageReader);

impl HttpClient {
    /// Creates a codec that accepts bodies of up to `max_body_len` bytes.
    pub fn new(max_body_len: usize) -> Self {
        HttpClient(MessageReader { partial: None, max_body_len, budget: None })
    }

    fn response(&mut self, src: &mut BytesMut, at_eof: bool) -> Result<Option<HttpResponse>, HttpError> {
        Ok(self.0.next_message(src, false, at_eof)?.and_then(|(head, headers, body, connection_close)| {
            match head {
                Head::Response { status, .. } => {
                    Some(HttpResponse { status, headers, body, connection_close })
                }
                Head::Request { .. } => None,
            }
        }))
    }
}

impl BuffersPartial for HttpClient {
    fn holds_partial(&self) -> bool {
        self.0.partial.is_some()
    }
}

impl Decoder for HttpClient {
    type Item = HttpResponse;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<HttpResponse>, HttpError> {
        self.response(src, false)
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<HttpResponse>, HttpError> {
        self.response(src, true)
    }
}

impl Encoder<HttpRequest> for HttpClient {
    type Error = HttpError;

    fn encode(&mut self, request: HttpRequest, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.put_slice(format!("{} {} HTTP/1.1\r\n", request.method, request.target).as_bytes());
        write_headers(&request.headers, dst);
        if !request.body.is_empty() {
            dst.put_slice(format!("Content-Length: {}\r\n", request.body.len()).as_bytes());
        }
        dst.put_slice(b"\r\n");
        dst.put_slice(&request.body);
        Ok(())
    }
}
