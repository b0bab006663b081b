//! Parsing and rendering of the two statements that clients send, including the fields in their trailing comment.

use crate::class_table::ClassTable;
use crate::core::{is_valid_key, IdempotencyKey, Operation, Request, Work};
use crate::interface::*;
use bytes::Bytes;
use std::ops::Range;
use std::sync::Arc;

/// The reason for which a statement is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
}

fn err<T>(code: &'static str, message: impl Into<String>) -> Result<T, StatementError> {
    Err(StatementError { code, message: message.into() })
}

/// Splits `text` at the first byte `at`, which neither part contains.
fn split_at_byte(text: &str, at: u8) -> Option<(&str, &str)> {
    let n = memchr::memchr(at, text.as_bytes())?;
    Some((text.get(..n)?, text.get(n + 1..)?))
}

/// Maximum length of an id, and of a value in hex digits.
const MAX_ID_LEN: usize = 64;
const MAX_HEX_LEN: usize = 2 * 64 * 1024;

const READ: &str = "SELECT v FROM records WHERE k = '";
const CREATE: &str = "INSERT INTO records (k, v) VALUES ('";

/// Parses a client's statement, received at `now`, into a request.
///
/// # Errors
/// Returns the SQLSTATE and message for the client if the statement is invalid.
pub fn parse(text: Bytes, class_table: &Arc<ClassTable>, now: Time) -> Result<Request, StatementError> {
    let Ok(sql) = std::str::from_utf8(&text) else { return err("22021", "the statement is not UTF-8") };
    let (write, rest) = match (sql.strip_prefix(READ), sql.strip_prefix(CREATE)) {
        (Some(rest), _) => (false, rest),
        (_, Some(rest)) => (true, rest),
        _ => return err("42601", "only reads and creates on records are taken here"),
    };
    let Some((key, rest)) = split_at_byte(rest, b'\'') else { return err("42601", "the key does not end") };
    if !is_valid_key(key) {
        return err("22023", "a key has 1 to 128 visible ASCII characters, no quote and no backslash");
    }
    let comment = if write {
        let value = rest.strip_prefix(", '\\x").and_then(|r| split_at_byte(r, b'\''));
        let Some((hex, tail)) = value else {
            return err("42601", "the value must be given as bytea in hex");
        };
        // Has no early exit, so that many bytes are checked at a time: a value can have 128 Ki hex digits.
        let not_hex = hex.bytes().fold(false, |not_hex, b| not_hex | !b.is_ascii_hexdigit());
        if hex.len() % 2 != 0 || not_hex {
            return err("22P02", "the value is not hex");
        }
        if hex.len() > MAX_HEX_LEN {
            return err("54000", "a value has at most 65536 bytes");
        }
        tail.strip_prefix(") RETURNING v")
    } else {
        Some(rest)
    };
    let comment = comment.and_then(|c| c.trim_end_matches([';', ' ']).strip_suffix("*/"));
    let Some(comment) = comment.and_then(|c| c.trim_ascii_start().strip_prefix("/*")) else {
        return err("42601", "the statement must end with a comment of names and values");
    };
    // A comment that ends early would let a second statement through to the members.
    let mut last = 0;
    let allowed = comment.bytes().all(|b| {
        let delimiter = matches!((last, b), (b'*', b'/') | (b'/', b'*'));
        last = b;
        !delimiter && (b' '..=b'~').contains(&b)
    });
    if !allowed {
        return err("42601", "the comment holds more than names and values");
    }
    const NAMES: [&str; 8] = ["id", "c", "t", "d", "cluster", "after", "r", "k"];
    let mut values = [None; NAMES.len()];
    let mut remaining = Some(comment.trim_ascii());
    while let Some(text) = remaining {
        let (pair, rest) = split_at_byte(text, b',').map_or((text, None), |(pair, rest)| (pair, Some(rest)));
        remaining = rest;
        let Some((name, value)) = split_at_byte(pair, b'=') else {
            return err("42601", format!("'{pair}' is not name=value"));
        };
        let Some(known) = NAMES.iter().position(|n| *n == name.trim_ascii()) else { continue };
        if values[known].replace(value).is_some() {
            return err("42601", format!("the field {} is given twice", NAMES[known]));
        }
    }
    let [id, class, tenant, wait, group, after, repeat, idempotency_key] = values;
    let missing =
        |name: &str| StatementError { code: "22023", message: format!("the field {name} is missing") };
    let number = |name: &str, value: &str| -> Result<u64, StatementError> {
        let bad = || StatementError { code: "22023", message: format!("the field {name} is not a number") };
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        value.parse().ok().filter(|_| digits).ok_or_else(bad)
    };
    let id = id.ok_or_else(|| missing("id"))?;
    if !(1..=MAX_ID_LEN).contains(&id.len()) || !id.bytes().all(|b| b.is_ascii_alphanumeric()) {
        return err("22023", "an id has 1 to 64 letters and digits");
    }
    let (class, wait) = (class.ok_or_else(|| missing("c"))?, wait.ok_or_else(|| missing("d"))?);
    let (names, classes) = (&class_table.names, &class_table.classes);
    let Some(class) = class_table.class(class) else {
        return err("22023", format!("no class is named {class}"));
    };
    let consistency = classes[class].consistency;
    if write != (consistency == Consistency::Write) {
        return err("22023", "the statement does not fit its class");
    }
    let tenant = match tenant {
        None if names.tenants.is_empty() => 0,
        None => return Err(missing("t")),
        Some(name) => match class_table.tenant(name) {
            Some(tenant) => tenant,
            None => return err("22023", format!("no tenant is named {name}")),
        },
    };
    // The deadline of the class limits how long a client waits over all of its tries.
    let wait_us = number("d", wait)?.saturating_mul(1000).min(classes[class].deadline);
    if wait_us == 0 {
        return err("22023", "the field d leaves no time");
    }
    let group = number("cluster", group.ok_or_else(|| missing("cluster"))?)?;
    let after = after.map(|v| number("after", v)).transpose()?.map(|ms| ms.saturating_mul(1000));
    let repeat = match repeat {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return err("22023", "the field r is neither 0 nor 1"),
    };
    let range_of = |part: &str| {
        let at = part.as_ptr() as usize - sql.as_ptr() as usize;
        at..at + part.len()
    };
    let has_idempotency_key = idempotency_key.is_some_and(|key| !key.trim_ascii().is_empty());
    let session = matches!(consistency, Consistency::Write | Consistency::Session).then(|| Arc::from(key));
    let (name, wait) = (text.slice(range_of(id)), range_of(wait));
    Ok(Request {
        class_table: class_table.clone(),
        name: Some(name),
        class,
        tenant,
        group,
        session,
        key_session: None,
        after,
        deadline: now.saturating_add(wait_us),
        repeat,
        work: Work::Verbatim { wait, text, has_idempotency_key },
        client: None,
    })
}

/// Renders an operation as a statement. Also returns the range of the waiting time in the text.
pub fn render(operation: &Operation) -> (String, Range<usize>) {
    let Operation { class_table, id, class, tenant, group, after, repeat, idempotency_key, key, value } =
        operation;
    let tenants = &class_table.names.tenants;
    let mut text = match value {
        None => format!("{READ}{key}' /* "),
        Some(value) => format!("{CREATE}{key}', '\\x{}') RETURNING v /* ", hex(value)),
    };
    text.push_str(&format!("id={id:016x},c={}", class_table.class_name(*class)));
    if !tenants.is_empty() {
        text.push_str(&format!(",t={}", tenants.get(*tenant).map_or("", |name| name)));
    }
    text.push_str(",d=");
    let at = text.len();
    text.push('0');
    if let Some(IdempotencyKey(number)) = idempotency_key {
        text.push_str(&format!(",k={number:016x}"));
    }
    text.push_str(&format!(",cluster={group}"));
    if let Some(after) = after {
        text.push_str(&format!(",after={}", after.div_ceil(1000)));
    }
    text.push_str(if *repeat { ",r=1 */" } else { " */" });
    (text, at..at + 1)
}

/// Whether a statement creates a record rather than reading one.
pub fn is_write(work: &Work) -> bool {
    match work {
        Work::Verbatim { text, .. } => text.starts_with(CREATE.as_bytes()),
        Work::Operation(operation) => operation.value.is_some(),
    }
}

/// Encodes bytes as lowercase hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, b| {
        for digit in [b >> 4, b & 15] {
            text.extend(char::from_digit(u32::from(digit), 16));
        }
        text
    })
}
