//! HTTP/1.1, as far as discovery and OData need it; `httparse` reads the heads.

use crate::net::budget::{ByteBudget, ByteReservation};
use crate::net::frames::BuffersPartial;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::io;
use tokio_util::codec::{Decoder, Encoder};

/// The longest head taken in.
const LONGEST_HEAD: usize = 16 * 1024;
const HEADERS: usize = 64;

/// What can be wrong with what was read.
#[derive(Debug)]
pub enum HttpError {
    /// The connection broke.
    Io(io::Error),
    /// A head or body is longer than is taken in.
    TooLong,
    /// A message is malformed.
    Malformed(String),
    /// All connections together hold as many bytes as memory allows.
    NoRoom,
    /// A message was begun and not ended in time.
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
            HttpError::NoRoom => write!(f, "no room for one more request; trying again is harmless"),
            HttpError::Unfinished => write!(f, "the request was begun and not ended in time"),
            HttpError::Malformed(what) => write!(f, "the message is malformed: {what}"),
        }
    }
}

/// Header fields in their order; names compare without regard to case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// All values of a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Adds a field.
    pub fn add(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_string(), value.into()));
    }

    fn parsed(found: &[httparse::Header]) -> Self {
        let text = |v: &[u8]| String::from_utf8_lossy(v).trim().to_string();
        Headers(found.iter().map(|h| (h.name.to_string(), text(h.value))).collect())
    }

    fn connection_close(&self) -> bool {
        self.get("Connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// A client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The client wants no further request on this connection.
    pub connection_close: bool,
}

/// What a server reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming {
    /// The client holds a body back until it is told to go on: answer with [`HttpResponse::go_on`].
    Expects,
    /// A whole request.
    Request(HttpRequest),
}

/// A server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status.
    pub status: u16,
    /// Header fields; the length is added by the codec.
    pub headers: Headers,
    /// Body.
    pub body: Bytes,
    /// The connection ends with it.
    pub connection_close: bool,
}

impl HttpResponse {
    /// Tells a client to send the body that it holds back.
    pub fn go_on() -> Self {
        HttpResponse { status: 100, headers: Headers::default(), body: Bytes::new(), connection_close: false }
    }
}

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// A head that waits for its body.
#[derive(Debug)]
enum Head {
    Request { method: String, target: String, minor: u8 },
    Response { status: u16, minor: u8 },
}

struct Reading {
    head: Head,
    headers: Headers,
    body: Body,
    chunks: BytesMut,
    /// The client waits to be told to go on.
    expects: bool,
    /// The body's share of the budget, from the moment that its length is known.
    share: Option<ByteReservation>,
}

fn body_of(headers: &Headers, response: Option<u16>) -> Result<Body, HttpError> {
    let malformed = |what: &str| Err(HttpError::Malformed(what.to_string()));
    if matches!(response, Some(100..=199 | 204 | 304)) {
        return Ok(Body::Length(0));
    }
    if let Some(coding) = headers.get("Transfer-Encoding") {
        if headers.get("Content-Length").is_some() {
            return malformed("it has both a length and a transfer coding");
        }
        return match coding.eq_ignore_ascii_case("chunked") {
            true => Ok(Body::Chunked),
            false => malformed("its transfer coding is unknown"),
        };
    }
    let mut lengths = headers.all("Content-Length");
    match (lengths.next(), lengths.next()) {
        (Some(n), None) if n.bytes().all(|b| b.is_ascii_digit()) => {
            n.parse().map(Body::Length).map_err(|_| HttpError::TooLong)
        }
        (Some(_), _) => malformed("its length is unclear"),
        (None, _) if response.is_some() => Ok(Body::UntilEnd),
        (None, _) => Ok(Body::Length(0)),
    }
}

/// What both ends share: a head, then its body.
struct Reader {
    reading: Option<Reading>,
    longest: usize,
    budget: Option<ByteBudget>,
}

impl Reader {
    fn head(&mut self, src: &mut BytesMut, server: bool) -> Result<bool, HttpError> {
        let malformed = |e: httparse::Error| HttpError::Malformed(e.to_string());
        let mut found = [httparse::EMPTY_HEADER; HEADERS];
        let (end, head, headers, status) = if server {
            let mut parsed = httparse::Request::new(&mut found);
            match parsed.parse(src).map_err(malformed)? {
                httparse::Status::Complete(end) => {
                    let method = parsed.method.unwrap_or_default().to_string();
                    let target = parsed.path.unwrap_or_default().to_string();
                    let minor = parsed.version.unwrap_or(0);
                    (end, Head::Request { method, target, minor }, Headers::parsed(parsed.headers), None)
                }
                httparse::Status::Partial => return self.partial(src),
            }
        } else {
            let mut parsed = httparse::Response::new(&mut found);
            match parsed.parse(src).map_err(malformed)? {
                httparse::Status::Complete(end) => {
                    let (status, minor) = (parsed.code.unwrap_or(0), parsed.version.unwrap_or(0));
                    (end, Head::Response { status, minor }, Headers::parsed(parsed.headers), Some(status))
                }
                httparse::Status::Partial => return self.partial(src),
            }
        };
        src.advance(end);
        let body = body_of(&headers, status)?;
        let expects = headers.get("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        let most = match body {
            Body::Length(n) if n > self.longest => return Err(HttpError::TooLong),
            Body::Length(n) => n,
            Body::Chunked | Body::UntilEnd => self.longest,
        };
        let share = self.budget.as_ref().map(|r| r.try_reserve(most).ok_or(HttpError::NoRoom)).transpose()?;
        self.reading = Some(Reading { head, headers, body, chunks: BytesMut::new(), expects, share });
        Ok(true)
    }

    fn partial(&self, src: &BytesMut) -> Result<bool, HttpError> {
        if src.len() > LONGEST_HEAD {
            return Err(HttpError::TooLong);
        }
        Ok(false)
    }

    /// The next whole message; `ended` when nothing more will come.
    fn message(
        &mut self,
        src: &mut BytesMut,
        server: bool,
        ended: bool,
    ) -> Result<Option<(Head, Headers, Bytes, bool)>, HttpError> {
        if self.reading.is_none() && (src.is_empty() || !self.head(src, server)?) {
            return Ok(None);
        }
        let Some(reading) = &mut self.reading else { return Ok(None) };
        let body = match reading.body {
            Body::Length(n) if src.len() >= n => src.split_to(n).freeze(),
            Body::Length(_) => return Ok(None),
            Body::UntilEnd if src.len() > self.longest => return Err(HttpError::TooLong),
            Body::UntilEnd if ended => src.split().freeze(),
            Body::UntilEnd => return Ok(None),
            Body::Chunked => match chunked(src, &mut reading.chunks, self.longest)? {
                true => reading.chunks.split().freeze(),
                false => return Ok(None),
            },
        };
        let Some(Reading { head, headers, body: kind, share, .. }) = self.reading.take() else {
            return Ok(None);
        };
        let body = share.map_or(body.clone(), |share| share.attach_to_copy(&body));
        let minor = match &head {
            Head::Request { minor, .. } | Head::Response { minor, .. } => *minor,
        };
        let connection_close = headers.connection_close() || minor == 0 || kind == Body::UntilEnd;
        Ok(Some((head, headers, body, connection_close)))
    }
}

/// Takes whole chunks off `src`; true once the last one and its trailer have come.
fn chunked(src: &mut BytesMut, body: &mut BytesMut, longest: usize) -> Result<bool, HttpError> {
    loop {
        let size = httparse::parse_chunk_size(src);
        let size = size.map_err(|_| HttpError::Malformed("a chunk's size cannot be read".to_string()))?;
        let httparse::Status::Complete((at, size)) = size else {
            return if src.len() > LONGEST_HEAD { Err(HttpError::TooLong) } else { Ok(false) };
        };
        let Some(size) = usize::try_from(size).ok().filter(|n| body.len().saturating_add(*n) <= longest)
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
                return if src.len() > LONGEST_HEAD { Err(HttpError::TooLong) } else { Ok(false) };
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

/// The server's end.
pub struct HttpServer(Reader);

impl HttpServer {
    /// One that takes bodies of up to `longest` bytes, as far as the budget goes.
    pub fn new(longest: usize, budget: ByteBudget) -> Self {
        HttpServer(Reader { reading: None, longest, budget: Some(budget) })
    }
}

impl BuffersPartial for HttpServer {
    fn holds_partial(&self) -> bool {
        self.0.reading.is_some()
    }
}

impl Decoder for HttpServer {
    type Item = Incoming;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Incoming>, HttpError> {
        if let Some((head, headers, body, connection_close)) = self.0.message(src, true, false)? {
            return Ok(match head {
                Head::Request { method, target, .. } => {
                    Some(Incoming::Request(HttpRequest { method, target, headers, body, connection_close }))
                }
                Head::Response { .. } => None,
            });
        }
        let expects = self.0.reading.as_mut().is_some_and(|r| std::mem::take(&mut r.expects));
        Ok(expects.then_some(Incoming::Expects))
    }
}

impl Encoder<HttpResponse> for HttpServer {
    type Error = HttpError;

    fn encode(&mut self, response: HttpResponse, dst: &mut BytesMut) -> Result<(), HttpError> {
        dst.put_slice(format!("HTTP/1.1 {} {}\r\n", response.status, reason(response.status)).as_bytes());
        put_fields(&response.headers, dst);
        if response.connection_close {
            dst.put_slice(b"Connection: close\r\n");
        }
        // A length on an answer that has no body by its status is not allowed.
        if !matches!(response.status, 100 | 204) {
            dst.put_slice(format!("Content-Length: {}\r\n", response.body.len()).as_bytes());
        }
        dst.put_slice(b"\r\n");
        dst.put_slice(&response.body);
        Ok(())
    }
}

fn put_fields(headers: &Headers, dst: &mut BytesMut) {
    for (name, value) in &headers.0 {
        // A line break in a value would start a field of its own.
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

/// The client's end.
pub struct HttpClient(Reader);

impl HttpClient {
    /// One that takes bodies of up to `longest` bytes.
    pub fn new(longest: usize) -> Self {
        HttpClient(Reader { reading: None, longest, budget: None })
    }

    fn response(&mut self, src: &mut BytesMut, ended: bool) -> Result<Option<HttpResponse>, HttpError> {
        Ok(self.0.message(src, false, ended)?.and_then(
            |(head, headers, body, connection_close)| match head {
                Head::Response { status, .. } => {
                    Some(HttpResponse { status, headers, body, connection_close })
                }
                Head::Request { .. } => None,
            },
        ))
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
        put_fields(&request.headers, dst);
        if !request.body.is_empty() {
            dst.put_slice(format!("Content-Length: {}\r\n", request.body.len()).as_bytes());
        }
        dst.put_slice(b"\r\n");
        dst.put_slice(&request.body);
        Ok(())
    }
}
