//! Parses HTTP requests into typed calls.

use super::reply::ODataError;
use crate::class_table::ClassTable;
use crate::core::is_valid_key;
use crate::http::{Headers, HttpRequest};
use crate::interface::*;
use crate::policy::repeat_proof::RetryMark;
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig, URL_SAFE_NO_PAD};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use bytes::Bytes;
use std::time::UNIX_EPOCH;

/// Maximum length of a value that members accept.
pub const MAX_VALUE_LEN: usize = 64 * 1024;
/// Maximum length of a booking's id.
const MAX_ID_LEN: usize = 128;

/// The encoding of `Edm.Binary` in requests: base64url, with or without padding.
const BINARY: GeneralPurpose = GeneralPurpose::new(
    &alphabet::URL_SAFE,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// The encoding of `Edm.Binary` in responses.
pub(super) const BINARY_RESPONSE: GeneralPurpose = URL_SAFE_NO_PAD;

/// How much control information a response carries (`odata.metadata`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetadataLevel {
    /// Only what paging needs.
    None,
    /// The default amount.
    Minimal,
    /// All control information.
    Full,
}

/// The format of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseFormat {
    /// Control information.
    pub metadata: MetadataLevel,
    /// The OData version that the response declares.
    pub version: &'static str,
    /// The metadata document is sent as XML rather than JSON.
    pub xml: bool,
}

impl Default for ResponseFormat {
    fn default() -> Self {
        ResponseFormat { metadata: MetadataLevel::Minimal, version: "4.01", xml: true }
    }
}

/// Parameters of a call that come in header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallParams {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// The group.
    pub group: GroupId,
    /// The session, for the classes that have sessions.
    pub session: Option<String>,
    /// Minimum position that a read must see.
    pub after: Option<Position>,
    /// How long the client waits, in us.
    pub wait: Time,
    /// What the client says of its earlier tries.
    pub mark: RetryMark,
}

/// The Repeatable Requests header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Repeatable {
    /// The request's id, prefixed with the client's id if one is given.
    pub id: String,
    /// When the client first sent the request.
    pub first_sent: Time,
}

/// A parsed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// The service document.
    Service,
    /// The metadata document.
    Metadata,
    /// A read of the record with this key.
    Read(CallParams, String),
    /// The creation of a record.
    Create(CreateCall),
}

/// The creation of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreateCall {
    /// Parameters from header fields.
    pub params: CallParams,
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Repeatable Requests headers, if given.
    pub repeatable: Option<Repeatable>,
    /// The client does not want the record in the response (`return=minimal`).
    pub minimal: bool,
}

/// System query options of the standard that are rejected: none of them applies to a single record read by its key.
const UNSUPPORTED_OPTIONS: &[&str] = &[
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

/// Determines the format of the response. Done before anything else, since errors are sent in this format too.
pub fn response_format(request: &HttpRequest) -> Result<ResponseFormat, ODataError> {
    let mut response_format = ResponseFormat::default();
    let headers = &request.headers;
    if let Some(version) = headers.get("OData-Version").filter(|v| !matches!(*v, "4.0" | "4.01")) {
        return Err(ODataError::new(
            400,
            "UnsupportedVersion",
            format!("OData-Version {version} is not spoken here"),
        ));
    }
    match headers.get("OData-MaxVersion") {
        None | Some("4.01") => {}
        Some("4.0") => response_format.version = "4.0",
        Some(other) if other.parse().is_ok_and(|v: f64| v > 4.01) => {}
        Some(other) => {
            let text = format!("no version up to OData-MaxVersion {other} is spoken here");
            return Err(ODataError::new(400, "UnsupportedVersion", text));
        }
    }
    let format = parse_options(query(&request.target))?.into_iter().find(|(name, _)| name == "format");
    let accept = format.map(|(_, value)| value).or_else(|| headers.get("Accept").map(str::to_string));
    let Some(accept) = accept else { return Ok(response_format) };
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
        response_format.xml = !json;
        for part in parts {
            response_format.metadata = match &part[..] {
                "odata.metadata=none" | "metadata=none" => MetadataLevel::None,
                "odata.metadata=full" | "metadata=full" => MetadataLevel::Full,
                _ => response_format.metadata,
            };
        }
    }
    match fits {
        true => Ok(response_format),
        false => Err(ODataError::new(
            406,
            "NotAcceptable",
            format!("{accept} cannot be given; application/json can"),
        )),
    }
}

fn query(target: &str) -> &str {
    target.split_once('?').map_or("", |(_, query)| query)
}

fn path(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

fn percent_decode(text: &str) -> Result<String, ODataError> {
    // Every '%' must be followed by two hex digits.
    let digits = |rest: &str| rest.len() >= 2 && rest.bytes().take(2).all(|b| b.is_ascii_hexdigit());
    let valid = text.split('%').skip(1).all(digits);
    let bytes = percent_encoding::percent_decode_str(text).decode_utf8();
    let text = bytes.ok().filter(|_| valid).map(|t| t.into_owned());
    text.ok_or_else(|| ODataError::new(400, "BadUri", "the percent-encoding is broken"))
}

/// Checks the query options. Returns the supported system query options, with names without `$`.
fn parse_options(query: &str) -> Result<Vec<(String, String)>, ODataError> {
    let mut found: Vec<(String, String)> = Vec::new();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (percent_decode(name)?, percent_decode(value)?);
        let bare = name.strip_prefix('$').unwrap_or(&name).to_ascii_lowercase();
        if UNSUPPORTED_OPTIONS.contains(&&bare[..]) {
            return Err(ODataError::new(
                501,
                "NotImplemented",
                format!("the query option {name} is not supported"),
            ));
        }
        if bare != "format" {
            if name.starts_with('$') {
                return Err(ODataError::new(
                    400,
                    "BadQueryOption",
                    format!("there is no query option {name}"),
                ));
            }
            // Custom query options and unused parameter aliases are ignored.
            continue;
        }
        if found.iter().any(|(n, _)| *n == bare) {
            return Err(ODataError::new(
                400,
                "BadQueryOption",
                format!("the query option {name} is given twice"),
            ));
        }
        found.push((bare, value));
    }
    Ok(found)
}

/// Parses the key in `records('...')` or `records(k='...')`; `None` for any other path segment.
fn parse_key_segment(segment: &str) -> Result<Option<String>, ODataError> {
    let Some(inner) = segment.strip_prefix("records(").and_then(|s| s.strip_suffix(')')) else {
        return Ok(None);
    };
    let bad = || ODataError::new(400, "BadKey", "a key is given as records('key')").with_target("k");
    let quoted = inner.strip_prefix("k=").unwrap_or(inner);
    let key = quoted.strip_prefix('\'').and_then(|q| q.strip_suffix('\'')).ok_or_else(bad)?;
    check_key(&key.replace("''", "'")).map(Some)
}

fn check_key(key: &str) -> Result<String, ODataError> {
    let valid = is_valid_key(key).then(|| key.to_string());
    valid.ok_or_else(|| {
        ODataError::new(
            400,
            "BadKey",
            "a key has 1 to 128 visible ASCII characters, no quote and no backslash",
        )
        .with_target("k")
    })
}

/// Parses a request into a call.
pub fn parse(request: &HttpRequest, class_table: &ClassTable) -> Result<Call, ODataError> {
    let classes = &class_table.classes;
    parse_options(query(&request.target))?;
    let path = percent_decode(path(&request.target))?;
    let path = path.trim_matches('/');
    let (get, post) = (request.method == "GET", request.method == "POST");
    let method_not_allowed = |allow: &'static str| {
        let text = format!("{} is not possible here", request.method);
        Err(ODataError::new(405, "MethodNotAllowed", text).with_header("Allow", allow))
    };
    let read_class = |params: &CallParams| classes[params.class].consistency != Consistency::Write;
    let class_mismatch =
        || ODataError::new(400, "BadClass", "the class does not fit the call").with_target("Skip-Class");
    match path {
        "" if get => Ok(Call::Service),
        "$metadata" if get => Ok(Call::Metadata),
        "" | "$metadata" => method_not_allowed("GET"),
        "records" if post => {
            let params = parse_params(&request.headers, class_table)?;
            if read_class(&params) {
                return Err(class_mismatch());
            }
            parse_create(request, params, classes)
        }
        "records" if get => {
            Err(ODataError::new(501, "NotImplemented", "records are read one by one, by key"))
        }
        "records" => method_not_allowed("POST"),
        "$batch" | "$all" | "$entity" => {
            Err(ODataError::new(501, "NotImplemented", format!("{path} is not supported")))
        }
        _ if path.starts_with("$crossjoin") => {
            Err(ODataError::new(501, "NotImplemented", "$crossjoin is not supported"))
        }
        _ => match parse_key_segment(path)? {
            Some(key) if get => {
                let mut params = parse_params(&request.headers, class_table)?;
                if !read_class(&params) {
                    return Err(class_mismatch());
                }
                set_session(&mut params, &key, classes);
                Ok(Call::Read(params, key))
            }
            Some(_) => method_not_allowed("GET"),
            None if path.starts_with("records(") && path.contains(")/") => {
                Err(ODataError::new(501, "NotImplemented", "only whole records are served"))
            }
            None => Err(ODataError::new(404, "NotFound", format!("there is no resource {path}"))),
        },
    }
}

/// Uses the key as the session if none is given, as the PostgreSQL front does. Drops the session for classes without
/// sessions.
fn set_session(params: &mut CallParams, key: &str, classes: &[Class]) {
    let named = matches!(classes[params.class].consistency, Consistency::Session | Consistency::Write);
    params.session = if named { params.session.take().or_else(|| Some(key.to_string())) } else { None };
}

fn parse_params(headers: &Headers, class_table: &ClassTable) -> Result<CallParams, ODataError> {
    let bad = |name: &'static str, text: String| ODataError::new(400, "BadHeader", text).with_target(name);
    let required = |name: &'static str| {
        headers.get(name).ok_or_else(|| {
            ODataError::new(400, "MissingHeader", format!("{name} is missing")).with_target(name)
        })
    };
    let number = |name: &'static str, text: &str| -> Result<u64, ODataError> {
        text.parse().map_err(|_| bad(name, format!("{name} is not a whole number")))
    };
    let lookup = |name: &'static str, find: &dyn Fn(&str) -> Option<usize>| -> Result<usize, ODataError> {
        let given = required(name)?;
        find(given).ok_or_else(|| bad(name, format!("{name} names none that is known: {given}")))
    };
    let class = lookup("Skip-Class", &|given| class_table.class(given))?;
    let tenant = if class_table.names.tenants.is_empty() {
        0
    } else {
        lookup("Skip-Tenant", &|given| class_table.tenant(given))?
    };
    let wait = match headers.get("Skip-Wait") {
        Some(text) => number("Skip-Wait", text)?.min(3_600_000) * 1000,
        None => class_table.classes[class].deadline,
    };
    if wait == 0 {
        return Err(bad("Skip-Wait", "Skip-Wait must be above 0".to_string()));
    }
    let session =
        headers.get("Skip-Session").map(check_key).transpose().map_err(|f| f.with_target("Skip-Session"))?;
    let after = headers.get("Skip-After").map(|t| number("Skip-After", t)).transpose()?;
    let mark = match headers.get("Skip-Retry") {
        None => RetryMark::Unmarked,
        Some("0") => RetryMark::FirstTry,
        Some(_) => RetryMark::Retry,
    };
    let group = number("Skip-Group", required("Skip-Group")?)?;
    Ok(CallParams {
        class,
        tenant,
        group,
        session,
        after: after.map(|ms| ms.saturating_mul(1000)),
        wait,
        mark,
    })
}

fn parse_create(
    request: &HttpRequest,
    mut params: CallParams,
    classes: &[Class],
) -> Result<Call, ODataError> {
    let headers = &request.headers;
    let kind = headers.get("Content-Type").unwrap_or("application/json");
    if !kind.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case("application/json") {
        return Err(ODataError::new(415, "UnsupportedMediaType", "a record comes as application/json"));
    }
    let bad = |text: &str| ODataError::new(400, "BadBody", text);
    let json: serde_json::Value =
        serde_json::from_slice(&request.body).map_err(|e| bad(&format!("the body is not JSON: {e}")))?;
    let fields = json.as_object().ok_or_else(|| bad("the body is not an object"))?;
    if let Some(name) = fields.keys().find(|n| !n.contains('@') && *n != "k" && *n != "v") {
        return Err(bad(&format!("a record has no property {name}")).with_target(name));
    }
    let text = |name: &'static str| {
        let value = fields.get(name).and_then(|v| v.as_str());
        value.ok_or_else(|| bad(&format!("the property {name} must be given as a string")).with_target(name))
    };
    let key = check_key(text("k")?)?;
    let value =
        BINARY.decode(text("v")?).map_err(|_| bad("the property v must be base64url").with_target("v"))?;
    if value.len() > MAX_VALUE_LEN {
        return Err(ODataError::new(413, "TooLarge", "a value has at most 65536 bytes").with_target("v"));
    }
    let charged = classes[params.class].effect == Effect::Unsafe;
    let repeatable = match (headers.get("Repeatability-Request-ID"), headers.get("Repeatability-First-Sent"))
    {
        (None, None) if !charged => None,
        (Some(id), Some(sent)) => Some(repeatable(headers, id, sent)?),
        _ => {
            let text =
                "a booking that carries a charge needs Repeatability-Request-ID and Repeatability-First-Sent";
            return Err(ODataError::new(400, "RepeatabilityRequired", text).rejected());
        }
    };
    let prefers = |want: &str| {
        headers.all("Prefer").flat_map(|v| v.split(',')).any(|p| p.trim().eq_ignore_ascii_case(want))
    };
    set_session(&mut params, &key, classes);
    let minimal = prefers("return=minimal");
    Ok(Call::Create(CreateCall { params, key, value: value.into(), repeatable, minimal }))
}

fn repeatable(headers: &Headers, id: &str, sent: &str) -> Result<Repeatable, ODataError> {
    let bad = |name, text: &str| ODataError::new(400, "BadRepeatability", text).with_target(name).rejected();
    let client = headers.get("Repeatability-Client-ID").unwrap_or_default();
    let valid = |s: &str| s.len() <= MAX_ID_LEN && s.bytes().all(|b| b.is_ascii_graphic());
    if id.is_empty() || !valid(id) || !valid(client) {
        let text = "an id has up to 128 visible ASCII characters";
        return Err(bad("Repeatability-Request-ID", text));
    }
    let at = httpdate::parse_http_date(sent);
    let since = at.ok().and_then(|t| t.duration_since(UNIX_EPOCH).ok());
    let since =
        since.ok_or_else(|| bad("Repeatability-First-Sent", "the time of the first send is no HTTP date"))?;
    Ok(Repeatable { id: format!("{client} {id}"), first_sent: since.as_micros() as Time })
}

/// Encodes a value for a response.
pub fn encode_binary(value: &[u8]) -> String {
    BINARY_RESPONSE.encode(value)
}
