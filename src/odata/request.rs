//! From an HTTP request to a typed call.

use super::reply::Fault;
use crate::class_table::ClassTable;
use crate::core::is_valid_key;
use crate::http::{Headers, HttpRequest};
use crate::interface::*;
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig, URL_SAFE_NO_PAD};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use bytes::Bytes;
use std::time::UNIX_EPOCH;

/// The longest value that members hold.
pub const LONGEST_VALUE: usize = 64 * 1024;
/// The longest id of a booking.
const LONGEST_ID: usize = 128;

/// `Edm.Binary` comes as base64url, with or without padding.
const BINARY: GeneralPurpose = GeneralPurpose::new(
    &alphabet::URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// How much control information an answer carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Metadata {
    /// None but what is needed to page.
    None,
    /// The usual amount.
    Minimal,
    /// All.
    Full,
}

/// How an answer is worded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Form {
    /// Control information.
    pub metadata: Metadata,
    /// The version that the answer says it keeps to.
    pub version: &'static str,
    /// Metadata as XML rather than JSON.
    pub xml: bool,
}

impl Default for Form {
    fn default() -> Self {
        Form { metadata: Metadata::Minimal, version: "4.01", xml: true }
    }
}

/// The facts about a call that come in header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Facts {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// The group.
    pub group: GroupId,
    /// The session, for the classes that have them.
    pub session: Option<String>,
    /// Least position that a read must see.
    pub after: Option<Position>,
    /// How long the client waits, in us.
    pub wait: Time,
    /// The client has tried before.
    pub repeat: bool,
}

/// The Repeatable Requests header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Repeatable {
    /// The id, with the client's where it gives one.
    pub id: String,
    /// When the client first sent it.
    pub first_sent: Time,
}

/// What a client wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// The service document.
    Service,
    /// The metadata document.
    Metadata,
    /// One record.
    Read(Facts, String),
    /// A new record; `minimal`: the client does not want it back.
    Create {
        /// Facts.
        facts: Facts,
        /// Key.
        key: String,
        /// Value.
        value: Bytes,
        /// Repeatable Requests.
        repeatable: Option<Repeatable>,
        /// Whether the record itself need not come back.
        minimal: bool,
    },
}

/// System query options of the standard; none of them means anything for one record by its key.
const OPTIONS: &[&str] = &[
    "apply",
    "compute",
    "count",
    "deltatoken",
    "expand",
    "filter",
    "id",
    "index",
    "levels",
    "orderby",
    "search",
    "select",
    "skip",
    "skiptoken",
    "top",
    "schemaversion",
];

/// The form that an answer must have, worked out first: errors have it too.
pub fn form(request: &HttpRequest) -> Result<Form, Fault> {
    let mut form = Form::default();
    let headers = &request.headers;
    if let Some(version) = headers.get("OData-Version").filter(|v| !matches!(*v, "4.0" | "4.01")) {
        return Err(Fault::new(
            400,
            "UnsupportedVersion",
            format!("OData-Version {version} is not spoken here"),
        ));
    }
    match headers.get("OData-MaxVersion") {
        None | Some("4.01") => {}
        Some("4.0") => form.version = "4.0",
        Some(other) if other.parse().is_ok_and(|v: f64| v > 4.01) => {}
        Some(other) => {
            let text = format!("no version up to OData-MaxVersion {other} is spoken here");
            return Err(Fault::new(400, "UnsupportedVersion", text));
        }
    }
    let format = options(query(&request.target))?.into_iter().find(|(name, _)| name == "format");
    let accept = format.map(|(_, value)| value).or_else(|| headers.get("Accept").map(str::to_string));
    let Some(accept) = accept else { return Ok(form) };
    let metadata = path(&request.target).trim_matches('/') == "$metadata";
    let mut fits = false;
    for range in accept.split(',') {
        let mut parts = range.split(';').map(|p| p.trim().to_ascii_lowercase());
        let kind = parts.next().unwrap_or_default();
        let json = matches!(&kind[..], "json" | "application/json");
        let xml = matches!(&kind[..], "xml" | "application/xml");
        if !(json || matches!(&kind[..], "*/*" | "application/*") || xml && metadata) || fits {
            continue;
        }
        fits = true;
        form.xml = !json;
        for part in parts {
            form.metadata = match &part[..] {
                "odata.metadata=none" | "metadata=none" => Metadata::None,
                "odata.metadata=full" | "metadata=full" => Metadata::Full,
                _ => form.metadata,
            };
        }
    }
    match fits {
        true => Ok(form),
        false => {
            Err(Fault::new(406, "NotAcceptable", format!("{accept} cannot be given; application/json can")))
        }
    }
}

fn query(target: &str) -> &str {
    target.split_once('?').map_or("", |(_, query)| query)
}

fn path(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

fn decoded(text: &str) -> Result<String, Fault> {
    // A '%' must stand before two hex digits.
    let digits = |rest: &str| rest.len() >= 2 && rest.bytes().take(2).all(|b| b.is_ascii_hexdigit());
    let whole = text.split('%').skip(1).all(digits);
    let bytes = percent_encoding::percent_decode_str(text).decode_utf8();
    let text = bytes.ok().filter(|_| whole).map(|t| t.into_owned());
    text.ok_or_else(|| Fault::new(400, "BadUri", "the percent-encoding is broken"))
}

/// The system query options, their names without `$`, checked.
fn options(query: &str) -> Result<Vec<(String, String)>, Fault> {
    let mut found: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (decoded(name)?, decoded(value)?);
        let bare = name.strip_prefix('$').unwrap_or(&name).to_ascii_lowercase();
        if OPTIONS.contains(&&bare[..]) {
            return Err(Fault::new(
                501,
                "NotImplemented",
                format!("the query option {name} is not supported"),
            ));
        }
        if bare != "format" {
            if name.starts_with('$') {
                return Err(Fault::new(400, "BadQueryOption", format!("there is no query option {name}")));
            }
            // Custom options and parameter aliases that nothing refers to.
            continue;
        }
        if found.iter().any(|(n, _)| *n == bare) {
            return Err(Fault::new(400, "BadQueryOption", format!("the query option {name} is given twice")));
        }
        found.push((bare, value));
    }
    Ok(found)
}

/// The key in `records('...')` or `records(k='...')`.
fn key_of(segment: &str) -> Result<Option<String>, Fault> {
    let Some(inner) = segment.strip_prefix("records(").and_then(|s| s.strip_suffix(')')) else {
        return Ok(None);
    };
    let bad = || Fault::new(400, "BadKey", "a key is given as records('key')").at("k");
    let quoted = inner.strip_prefix("k=").unwrap_or(inner);
    let key = quoted.strip_prefix('\'').and_then(|q| q.strip_suffix('\'')).ok_or_else(bad)?;
    checked_key(&key.replace("''", "'")).map(Some)
}

fn checked_key(key: &str) -> Result<String, Fault> {
    let fine = is_valid_key(key).then(|| key.to_string());
    fine.ok_or_else(|| {
        Fault::new(400, "BadKey", "a key has 1 to 128 visible ASCII characters, no quote and no backslash")
            .at("k")
    })
}

/// Reads a request as a call.
pub fn read(request: &HttpRequest, class_table: &ClassTable) -> Result<Call, Fault> {
    let classes = &class_table.classes;
    options(query(&request.target))?;
    let path = decoded(path(&request.target))?;
    let path = path.trim_matches('/');
    let (get, post) = (request.method == "GET", request.method == "POST");
    let only = |allow: &'static str| {
        let text = format!("{} is not possible here", request.method);
        Err(Fault::new(405, "MethodNotAllowed", text).with("Allow", allow))
    };
    let read_class = |facts: &Facts| classes[facts.class].consistency != Consistency::Write;
    let misfit = || Fault::new(400, "BadClass", "the class does not fit the call").at("Skip-Class");
    match path {
        "" if get => Ok(Call::Service),
        "$metadata" if get => Ok(Call::Metadata),
        "" | "$metadata" => only("GET"),
        "records" if post => {
            let facts = facts(&request.headers, class_table)?;
            if read_class(&facts) {
                return Err(misfit());
            }
            create(request, facts, classes)
        }
        "records" if get => Err(Fault::new(501, "NotImplemented", "records are read one by one, by key")),
        "records" => only("POST"),
        "$batch" | "$all" | "$entity" => {
            Err(Fault::new(501, "NotImplemented", format!("{path} is not supported")))
        }
        _ if path.starts_with("$crossjoin") => {
            Err(Fault::new(501, "NotImplemented", "$crossjoin is not supported"))
        }
        _ => match key_of(path)? {
            Some(key) if get => {
                let mut facts = facts(&request.headers, class_table)?;
                if !read_class(&facts) {
                    return Err(misfit());
                }
                with_session(&mut facts, &key, classes);
                Ok(Call::Read(facts, key))
            }
            Some(_) => only("GET"),
            None if path.starts_with("records(") && path.contains(")/") => {
                Err(Fault::new(501, "NotImplemented", "only whole records are served"))
            }
            None => Err(Fault::new(404, "NotFound", format!("there is no resource {path}"))),
        },
    }
}

/// Where no session is named the key names it, as it does on the platform's protocol.
fn with_session(facts: &mut Facts, key: &str, classes: &[Class]) {
    let named = matches!(classes[facts.class].consistency, Consistency::Session | Consistency::Write);
    facts.session = if named { facts.session.take().or_else(|| Some(key.to_string())) } else { None };
}

fn facts(headers: &Headers, class_table: &ClassTable) -> Result<Facts, Fault> {
    let bad = |name: &'static str, text: String| Fault::new(400, "BadHeader", text).at(name);
    let must = |name: &'static str| {
        headers
            .get(name)
            .ok_or_else(|| Fault::new(400, "MissingHeader", format!("{name} is missing")).at(name))
    };
    let number = |name: &'static str, text: &str| -> Result<u64, Fault> {
        text.parse().map_err(|_| bad(name, format!("{name} is not a whole number")))
    };
    let listed = |name: &'static str, find: &dyn Fn(&str) -> Option<usize>| -> Result<usize, Fault> {
        let given = must(name)?;
        find(given).ok_or_else(|| bad(name, format!("{name} names none that is known: {given}")))
    };
    let class = listed("Skip-Class", &|given| class_table.class(given))?;
    let tenant = if class_table.names.tenants.is_empty() {
        0
    } else {
        listed("Skip-Tenant", &|given| class_table.tenant(given))?
    };
    let wait = match headers.get("Skip-Wait") {
        Some(text) => number("Skip-Wait", text)?.min(3_600_000) * 1000,
        None => class_table.classes[class].deadline,
    };
    if wait == 0 {
        return Err(bad("Skip-Wait", "Skip-Wait must be above 0".to_string()));
    }
    let session =
        headers.get("Skip-Session").map(checked_key).transpose().map_err(|f| f.at("Skip-Session"))?;
    let after = headers.get("Skip-After").map(|t| number("Skip-After", t)).transpose()?;
    let repeat = headers.get("Skip-Retry").is_some_and(|v| v == "1");
    let group = number("Skip-Group", must("Skip-Group")?)?;
    Ok(Facts { class, tenant, group, session, after: after.map(|ms| ms.saturating_mul(1000)), wait, repeat })
}

fn create(request: &HttpRequest, mut facts: Facts, classes: &[Class]) -> Result<Call, Fault> {
    let headers = &request.headers;
    let kind = headers.get("Content-Type").unwrap_or("application/json");
    if !kind.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case("application/json") {
        return Err(Fault::new(415, "UnsupportedMediaType", "a record comes as application/json"));
    }
    let bad = |text: &str| Fault::new(400, "BadBody", text);
    let json: serde_json::Value =
        serde_json::from_slice(&request.body).map_err(|e| bad(&format!("the body is not JSON: {e}")))?;
    let fields = json.as_object().ok_or_else(|| bad("the body is not an object"))?;
    if let Some(name) = fields.keys().find(|n| !n.contains('@') && *n != "k" && *n != "v") {
        return Err(bad(&format!("a record has no property {name}")).at(name));
    }
    let text = |name: &'static str| {
        let value = fields.get(name).and_then(|v| v.as_str());
        value.ok_or_else(|| bad(&format!("the property {name} must be given as a string")).at(name))
    };
    let key = checked_key(text("k")?)?;
    let value = BINARY.decode(text("v")?).map_err(|_| bad("the property v must be base64url").at("v"))?;
    if value.len() > LONGEST_VALUE {
        return Err(Fault::new(413, "TooLarge", "a value has at most 65536 bytes").at("v"));
    }
    let charge = classes[facts.class].effect == Effect::Unsafe;
    let repeatable = match (headers.get("Repeatability-Request-ID"), headers.get("Repeatability-First-Sent"))
    {
        (None, None) if !charge => None,
        (Some(id), Some(sent)) => Some(repeatable(headers, id, sent)?),
        _ => {
            let text =
                "a booking that carries a charge needs Repeatability-Request-ID and Repeatability-First-Sent";
            return Err(Fault::new(400, "RepeatabilityRequired", text).rejected());
        }
    };
    let prefers = |want: &str| {
        headers.all("Prefer").flat_map(|v| v.split(',')).any(|p| p.trim().eq_ignore_ascii_case(want))
    };
    with_session(&mut facts, &key, classes);
    let minimal = prefers("return=minimal");
    Ok(Call::Create { facts, key, value: value.into(), repeatable, minimal })
}

fn repeatable(headers: &Headers, id: &str, sent: &str) -> Result<Repeatable, Fault> {
    let bad = |name, text: &str| Fault::new(400, "BadRepeatability", text).at(name).rejected();
    let client = headers.get("Repeatability-Client-ID").unwrap_or_default();
    let fine = |s: &str| s.len() <= LONGEST_ID && s.bytes().all(|b| b.is_ascii_graphic());
    if id.is_empty() || !fine(id) || !fine(client) {
        let text = "an id has up to 128 visible ASCII characters";
        return Err(bad("Repeatability-Request-ID", text));
    }
    let at = httpdate::parse_http_date(sent);
    let since = at.ok().and_then(|t| t.duration_since(UNIX_EPOCH).ok());
    let since =
        since.ok_or_else(|| bad("Repeatability-First-Sent", "the time of the first send is no HTTP date"))?;
    Ok(Repeatable { id: format!("{client} {id}"), first_sent: since.as_micros() as Time })
}

/// A value as answers carry it.
pub fn binary(value: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(value)
}
