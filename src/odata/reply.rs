//! From what came of a call to an HTTP response.

use super::request::{binary, Form, Metadata};
use crate::core::{Answer, Value};
use crate::http::{Headers, HttpResponse};
use crate::interface::*;
use bytes::Bytes;
use serde_json::{json, Value as Json};

/// Name of the service's schema.
const SCHEMA: &str = "SkipHire";
/// When to come back where no one said, in us.
const COME_BACK: Time = 1_000_000;

/// A call that cannot be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    status: u16,
    code: &'static str,
    message: String,
    target: Option<String>,
    header: Option<(&'static str, String)>,
    rejected: bool,
}

impl Fault {
    /// One with a status, a code for programs and a message for people.
    pub fn new(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Fault { status, code, message: message.into(), target: None, header: None, rejected: false }
    }

    /// What it is about.
    pub fn at(mut self, target: &str) -> Self {
        self.target = Some(target.to_string());
        self
    }

    /// One more header field.
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.header = Some((name, value.into()));
        self
    }

    /// The Repeatable Requests headers were not taken.
    pub fn rejected(mut self) -> Self {
        self.rejected = true;
        self
    }

    /// Trying again after so long is harmless.
    pub fn come_back(after: Option<Time>, message: &str) -> Self {
        let seconds = after.unwrap_or(COME_BACK).div_ceil(1_000_000).max(1);
        Fault::new(503, "Refused", message).with("Retry-After", seconds.to_string())
    }

    /// The response that tells it.
    pub fn response(self, form: Form) -> HttpResponse {
        let mut error = json!({"code": self.code, "message": self.message});
        if let Some(target) = self.target {
            error["target"] = target.into();
        }
        let mut response = json_response(self.status, form, &json!({ "error": error }));
        if let Some((name, value)) = self.header {
            response.headers.add(name, value);
        }
        if self.rejected {
            response.headers.add("Repeatability-Result", "rejected");
        }
        response
    }
}

fn response(status: u16, form: Form, kind: &str, body: String) -> HttpResponse {
    let mut headers = Headers::default();
    headers.add("OData-Version", form.version);
    if status != 204 {
        headers.add("Content-Type", kind);
    }
    HttpResponse { status, headers, body: Bytes::from(body), connection_close: false }
}

fn json_response(status: u16, form: Form, json: &Json) -> HttpResponse {
    let metadata = match form.metadata {
        Metadata::None => "none",
        Metadata::Minimal => "minimal",
        Metadata::Full => "full",
    };
    response(status, form, &format!("application/json;odata.metadata={metadata}"), json.to_string())
}

/// The service document.
pub fn service(form: Form) -> HttpResponse {
    let sets = json!([{"name": "records", "kind": "EntitySet", "url": "records"}]);
    let json = match form.metadata {
        Metadata::None => json!({ "value": sets }),
        _ => json!({"@odata.context": "$metadata", "value": sets}),
    };
    json_response(200, form, &json)
}

/// The metadata document, CSDL in XML or JSON.
pub fn metadata(form: Form) -> HttpResponse {
    if form.xml {
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
            version = form.version
        );
        return response(200, form, "application/xml", text);
    }
    let record = json!({
        "$Kind": "EntityType", "$Key": ["k"], "k": {"$MaxLength": 128},
        "v": {"$Type": "Edm.Binary", "$MaxLength": 65536}
    });
    let container = json!({
        "$Kind": "EntityContainer", "records": {"$Collection": true, "$Type": format!("{SCHEMA}.Record")}
    });
    let mut schema = json!({"$Version": form.version, "$EntityContainer": format!("{SCHEMA}.Container")});
    schema[SCHEMA] = json!({"Record": record, "Container": container});
    json_response(200, form, &schema)
}

/// The bytes of a value, in whichever form the member gave them.
fn bytes_of(value: &Value) -> Option<Bytes> {
    let bytes = value.bytes.clone()?;
    // Only bytea has a text form of its own; of other types the text is the value.
    if value.binary || value.type_id != 17 {
        return Some(bytes);
    }
    let hex = bytes.strip_prefix(b"\\x")?;
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let pairs = hex.chunks(2).map(|pair| match pair {
        [high, low] => Some(digit(*high)? << 4 | digit(*low)?),
        _ => None,
    });
    pairs.collect::<Option<Vec<u8>>>().map(Bytes::from)
}

/// One record.
fn record(form: Form, key: &str, value: &Value) -> Option<Json> {
    let mut record = json!({"k": key, "v": binary(&bytes_of(value)?)});
    if form.metadata != Metadata::None {
        record["@odata.context"] = "$metadata#records/$entity".into();
    }
    if form.metadata == Metadata::Full {
        record["@odata.type"] = format!("#{SCHEMA}.Record").into();
        record["@odata.id"] = url(key).into();
        record["v@odata.type"] = "#Binary".into();
    }
    Some(record)
}

fn url(key: &str) -> String {
    let key = percent_encoding::utf8_percent_encode(key, percent_encoding::NON_ALPHANUMERIC);
    format!("records('{key}')")
}

/// What becomes of a call that reached the core: exactly one response.
pub enum Asked<'a> {
    /// A read by key.
    Read(&'a str),
    /// A create.
    Create {
        /// Key.
        key: &'a str,
        /// The record itself need not come back.
        minimal: bool,
        /// It came with Repeatable Requests headers.
        repeatable: bool,
    },
}

/// Words the final answer; `late`: the client's time is up.
pub fn answer(form: Form, asked: Asked, answer: Answer, late: bool) -> HttpResponse {
    let key = match asked {
        Asked::Read(key) | Asked::Create { key, .. } => key,
    };
    let fault = |fault: Fault| fault.response(form);
    let mut response = match answer {
        Answer::Served(value, position) => {
            let body = record(form, key, &value);
            let mut response = match (&asked, body) {
                (Asked::Read(_), _) if value.rows == 0 => {
                    fault(Fault::new(404, "NotFound", "there is no record of this key"))
                }
                (Asked::Create { minimal: true, .. }, _) => {
                    let mut response = response(204, form, "", String::new());
                    response.headers.add("Preference-Applied", "return=minimal");
                    response
                }
                (_, None) => fault(Fault::new(502, "BadValue", "the member's value cannot be read")),
                (Asked::Read(_), Some(record)) => json_response(200, form, &record),
                (Asked::Create { .. }, Some(record)) => json_response(201, form, &record),
            };
            if matches!(asked, Asked::Create { .. }) {
                response.headers.add("Location", format!("/{}", url(key)));
                response.headers.add("OData-EntityId", format!("/{}", url(key)));
                // For the client to carry in Skip-After, by whichever proxy it reads.
                if let Some(commit) = position {
                    response.headers.add("Skip-Commit", commit.div_ceil(1000).to_string());
                }
            }
            response
        }
        // Given up for want of time: a deadline, though trying again is harmless here too.
        Answer::Refused(after) if late => {
            fault(Fault { status: 504, code: "Late", ..Fault::come_back(after, "no answer in time") })
        }
        Answer::Refused(after) => fault(Fault::come_back(after, "refused; trying again is harmless")),
        Answer::Taken => fault(Fault::new(409, "Taken", "the id belongs to a request that is still open")),
        Answer::Failed => fault(Fault::new(502, "Failed", "failed; it may have had its effect")),
        Answer::Late => fault(Fault::new(504, "Late", "no answer in time; it may have had its effect")),
    };
    if matches!(asked, Asked::Create { repeatable: true, .. }) {
        response.headers.add("Repeatability-Result", "accepted");
    }
    response
}
