//! Builds the HTTP response to a call.

use super::request::{encode_binary, MetadataLevel, ResponseFormat};
use super::stream::{decode_hex, ResponseFrame, StreamedResponse, BYTEA};
use crate::core::{Answer, Value};
use crate::http::{Headers, HttpResponse, ResponseHead};
use crate::interface::*;
use bytes::Bytes;
use serde_json::{json, Value as Json};

/// Name of the service's schema.
const SCHEMA: &str = "SkipHire";
/// Retry delay, in us, if the answer gives none.
const DEFAULT_RETRY_AFTER: Time = 1_000_000;

/// An error response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ODataError {
    status: u16,
    code: &'static str,
    message: String,
    target: Option<String>,
    header: Option<(&'static str, String)>,
    rejected: bool,
}

impl ODataError {
    /// Creates an error with an HTTP status, a machine-readable code and a human-readable message.
    pub fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        ODataError { status, code, message: message.into(), target: None, header: None, rejected: false }
    }

    /// Sets the target: the part of the request that the error is about.
    pub fn with_target(mut self, target: &str) -> Self {
        self.target = Some(target.to_string());
        self
    }

    /// Sets an additional header field.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.header = Some((name, value.into()));
        self
    }

    /// Marks the Repeatable Requests headers as rejected.
    pub fn rejected(mut self) -> Self {
        self.rejected = true;
        self
    }

    /// Creates the error of a refused call that may safely be retried after `after`, in us.
    pub fn retry_later(after: Option<Time>, message: &str) -> Self {
        let seconds = after.unwrap_or(DEFAULT_RETRY_AFTER).div_ceil(1_000_000).max(1);
        ODataError::new(503, "Refused", message).with_header("Retry-After", seconds.to_string())
    }

    /// Builds the error response.
    pub fn response(self, format: ResponseFormat) -> HttpResponse {
        let mut error = json!({"code": self.code, "message": self.message});
        if let Some(target) = self.target {
            error["target"] = target.into();
        }
        let mut response = json_response(self.status, format, &json!({ "error": error }));
        if let Some((name, value)) = self.header {
            response.headers.add(name, value);
        }
        if self.rejected {
            response.headers.add("Repeatability-Result", "rejected");
        }
        response
    }
}

fn response(status: u16, format: ResponseFormat, kind: &str, body: String) -> HttpResponse {
    let mut headers = Headers::default();
    headers.add("OData-Version", format.version);
    if status != 204 {
        headers.add("Content-Type", kind);
    }
    HttpResponse { status, headers, body: Bytes::from(body), connection_close: false }
}

fn json_response(status: u16, format: ResponseFormat, json: &Json) -> HttpResponse {
    let metadata = match format.metadata {
        MetadataLevel::None => "none",
        MetadataLevel::Minimal => "minimal",
        MetadataLevel::Full => "full",
    };
    response(status, format, &format!("application/json;odata.metadata={metadata}"), json.to_string())
}

/// Builds the service document.
pub fn service(format: ResponseFormat) -> HttpResponse {
    let sets = json!([{"name": "records", "kind": "EntitySet", "url": "records"}]);
    let json = match format.metadata {
        MetadataLevel::None => json!({ "value": sets }),
        _ => json!({"@odata.context": "$metadata", "value": sets}),
    };
    json_response(200, format, &json)
}

/// Builds the metadata document, CSDL in XML or JSON.
pub fn metadata(format: ResponseFormat) -> HttpResponse {
    if format.xml {
        let text = format!(
            r#"<?xml version="1.0" encoding="UTF-8"?>
<edmx:Edmx Version="{version}" xmlns:edmx="http://docs.oasis-open.org/odata/ns/edmx">
  <edmx:DataServices>
    <Schema Namespace="{SCHEMA}" xmlns="http://docs.oasis-open.org/odata/ns/edm">
      <EntityType Name="Record">
        <Key><PropertyRef Name="k"/></Key>
        <Property Name="k" Type="Edm.String" Nullable="false" MaxLength="128"/>
        <Property Name="v" Type="Edm.Binary" Nullable="false" MaxLength="65536"/>
      </EntityType>
      <EntityContainer Name="Container">
        <EntitySet Name="records" EntityType="{SCHEMA}.Record"/>
      </EntityContainer>
    </Schema>
  </edmx:DataServices>
</edmx:Edmx>
"#,
            version = format.version
        );
        return response(200, format, "application/xml", text);
    }
    let record = json!({
        "$Kind": "EntityType", "$Key": ["k"], "k": {"$MaxLength": 128},
        "v": {"$Type": "Edm.Binary", "$MaxLength": 65536}
    });
    let container = json!({
        "$Kind": "EntityContainer", "records": {"$Collection": true, "$Type": format!("{SCHEMA}.Record")}
    });
    let mut schema = json!({"$Version": format.version, "$EntityContainer": format!("{SCHEMA}.Container")});
    schema[SCHEMA] = json!({"Record": record, "Container": container});
    json_response(200, format, &schema)
}

/// Returns the bytes of a value, decoding the text format if the member sent that.
fn decode_value(value: &Value) -> Option<Bytes> {
    let bytes = value.bytes.clone()?;
    // Only bytea is encoded in its text format; for other types the text is the value.
    if value.binary || value.type_id != BYTEA {
        return Some(bytes);
    }
    decode_hex(&bytes)
}

/// Builds the JSON of a record with this value, in base64url.
fn record(format: ResponseFormat, key: &str, value: &str) -> Json {
    let mut record = json!({"k": key, "v": value});
    if format.metadata != MetadataLevel::None {
        record["@odata.context"] = "$metadata#records/$entity".into();
    }
    if format.metadata == MetadataLevel::Full {
        record["@odata.type"] = format!("#{SCHEMA}.Record").into();
        record["@odata.id"] = url(key).into();
        record["v@odata.type"] = "#Binary".into();
    }
    record
}

/// Builds the response to a read around the digits of its value.
pub(super) fn record_frame(format: ResponseFormat, key: &str) -> ResponseFrame {
    /// The value's property while it is empty. It occurs once: in a string of JSON no quote stands alone.
    const EMPTY_VALUE: &[u8] = b"\"v\":\"\"";
    let HttpResponse { status, headers, body, connection_close } =
        json_response(200, format, &record(format, key, ""));
    let value_at = memchr::memmem::find(&body, EMPTY_VALUE).map_or(0, |at| at + EMPTY_VALUE.len() - 1);
    let (prefix, suffix) = (body.slice(..value_at), body.slice(value_at..));
    let head = ResponseHead { status, headers, content_length: body.len(), connection_close };
    ResponseFrame { head, prefix, suffix }
}

/// The error of a value that is not in the format that the member announced.
fn bad_value() -> ODataError {
    ODataError::new(502, "BadValue", "the member's value cannot be read")
}

/// A response of either kind.
pub(super) enum Response {
    /// One that is complete.
    Whole(HttpResponse),
    /// One whose value is still arriving.
    Streamed(Box<StreamedResponse>),
}

impl Response {
    /// Announces whether the connection is closed after this response.
    pub fn set_connection_close(&mut self, connection_close: bool) {
        match self {
            Response::Whole(response) => response.connection_close = connection_close,
            Response::Streamed(response) => response.set_connection_close(connection_close),
        }
    }
}

impl From<HttpResponse> for Response {
    fn from(response: HttpResponse) -> Self {
        Response::Whole(response)
    }
}

/// Builds the response to a read, which may still be arriving. `late`: the client's deadline is reached or about to be.
pub(super) fn read_answer(format: ResponseFormat, key: &str, answer: Answer, late: bool) -> Response {
    match answer {
        Answer::Served(value, _) if value.stream.is_some() => {
            let streamed = value.stream.clone();
            let streamed = streamed.and_then(|s| StreamedResponse::new(record_frame(format, key), &value, s));
            match streamed {
                Some(streamed) => Response::Streamed(Box::new(streamed)),
                None => bad_value().response(format).into(),
            }
        }
        answer => self::answer(format, CallKind::Read(key), answer, late).into(),
    }
}

fn url(key: &str) -> String {
    let key = percent_encoding::utf8_percent_encode(key, percent_encoding::NON_ALPHANUMERIC);
    format!("records('{key}')")
}

/// The kind of call that an answer of the core belongs to.
pub enum CallKind<'a> {
    /// A read by key.
    Read(&'a str),
    /// A create.
    Create {
        /// Key.
        key: &'a str,
        /// The client does not want the record in the response.
        minimal: bool,
        /// The request had Repeatable Requests headers.
        repeatable: bool,
    },
}

/// Builds the response from the core's answer. `late`: the client's deadline is reached or about to be.
pub fn answer(format: ResponseFormat, call: CallKind, answer: Answer, late: bool) -> HttpResponse {
    let key = match call {
        CallKind::Read(key) | CallKind::Create { key, .. } => key,
    };
    let error = |error: ODataError| error.response(format);
    let mut response = match answer {
        Answer::Served(value, position) => {
            let body = decode_value(&value).map(|value| record(format, key, &encode_binary(&value)));
            let mut response = match (&call, body) {
                (CallKind::Read(_), _) if value.rows == 0 => {
                    error(ODataError::new(404, "NotFound", "there is no record of this key"))
                }
                (CallKind::Create { minimal: true, .. }, _) => {
                    let mut response = response(204, format, "", String::new());
                    response.headers.add("Preference-Applied", "return=minimal");
                    response
                }
                (_, None) => error(bad_value()),
                (CallKind::Read(_), Some(record)) => json_response(200, format, &record),
                (CallKind::Create { .. }, Some(record)) => json_response(201, format, &record),
            };
            if matches!(call, CallKind::Create { .. }) {
                response.headers.add("Location", format!("/{}", url(key)));
                response.headers.add("OData-EntityId", format!("/{}", url(key)));
                // The client sends this back in Skip-After when it reads, through any proxy.
                if let Some(commit) = position {
                    response.headers.add("Skip-Commit", commit.div_ceil(1000).to_string());
                }
            }
            response
        }
        // A read refused because its deadline was near is reported as a timeout, although a retry is safe here too. A
        // booking is not: its client has to learn that it did not run.
        Answer::Refused(after) if late && matches!(call, CallKind::Read(_)) => error(ODataError {
            status: 504,
            code: "Late",
            ..ODataError::retry_later(after, "no answer in time")
        }),
        Answer::Refused(after) => error(ODataError::retry_later(after, "refused; trying again is harmless")),
        Answer::Taken => {
            error(ODataError::new(409, "Taken", "the id belongs to a request that is still open"))
        }
        Answer::Failed => error(ODataError::new(502, "Failed", "failed; it may have had its effect")),
        Answer::Late => error(ODataError::new(504, "Late", "no answer in time; it may have had its effect")),
    };
    if matches!(call, CallKind::Create { repeatable: true, .. }) {
        response.headers.add("Repeatability-Result", "accepted");
    }
    response
}
