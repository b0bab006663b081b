//! The two statements that clients send, with the names in their comment.

use crate::class_table::ClassTable;
use crate::core::{is_valid_key, Operation, Request, Work};
use crate::interface::*;
use bytes::Bytes;
use std::ops::Range;
use std::sync::Arc;

/// What is wrong with a statement, with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// SQLSTATE.
    pub code: &'static str,
    /// For people.
    pub message: String,
}

fn fault<T>(code: &'static str, message: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { code, message: message.into() })
}

/// What stands before the first such byte, and behind it.
fn cut(text: &str, at: u8) -> Option<(&str, &str)> {
    let n = memchr::memchr(at, text.as_bytes())?;
    Some((text.get(..n)?, text.get(n + 1..)?))
}

/// The longest id, and the longest value, in hex digits.
const LONGEST_ID: usize = 64;
const LONGEST_HEX: usize = 2 * 64 * 1024;

const READ: &str = "SELECT v FROM records WHERE k = '";
const CREATE: &str = "INSERT INTO records (k, v) VALUES ('";

/// Reads a client's statement, taken at `now`, as a request; `margin` is kept off its deadline.
///
/// # Errors
/// With the SQLSTATE that the client gets.
pub fn read(text: Bytes, class_table: &Arc<ClassTable>, now: Time) -> Result<Request, Fault> {
    let Ok(sql) = std::str::from_utf8(&text) else { return fault("22021", "the statement is not UTF-8") };
    let (write, rest) = match (sql.strip_prefix(READ), sql.strip_prefix(CREATE)) {
        (Some(rest), _) => (false, rest),
        (_, Some(rest)) => (true, rest),
        _ => return fault("42601", "only reads and creates on records are taken here"),
    };
    let Some((key, rest)) = cut(rest, b'\'') else { return fault("42601", "the key does not end") };
    if !is_valid_key(key) {
        return fault("22023", "a key has 1 to 128 visible ASCII characters, no quote and no backslash");
    }
    let comment = if write {
        let value = rest.strip_prefix(", '\\x").and_then(|r| cut(r, b'\''));
        let Some((hex, tail)) = value else {
            return fault("42601", "the value must be given as bytea in hex");
        };
        // No way out in the middle: so it is done for many bytes at a time, and a value may have 128 Ki of them.
        let odd = hex.bytes().fold(false, |odd, b| odd | !b.is_ascii_hexdigit());
        if hex.len() % 2 != 0 || odd {
            return fault("22P02", "the value is not hex");
        }
        if hex.len() > LONGEST_HEX {
            return fault("54000", "a value has at most 65536 bytes");
        }
        tail.strip_prefix(") RETURNING v")
    } else {
        Some(rest)
    };
    let comment = comment.and_then(|c| c.trim_end_matches([';', ' ']).strip_suffix("*/"));
    let Some(comment) = comment.and_then(|c| c.trim_ascii_start().strip_prefix("/*")) else {
        return fault("42601", "the statement must end with a comment of names and values");
    };
    // A comment that ends early would let a second statement through to the members.
    let mut last = 0;
    let clean = comment.bytes().all(|b| {
        let mark = matches!((last, b), (b'*', b'/') | (b'/', b'*'));
        last = b;
        !mark && (b' '..=b'~').contains(&b)
    });
    if !clean {
        return fault("42601", "the comment holds more than names and values");
    }
    const NAMES: [&str; 7] = ["id", "c", "t", "d", "cluster", "after", "r"];
    let mut given = [None; NAMES.len()];
    let mut left = Some(comment.trim_ascii());
    while let Some(text) = left {
        let (pair, behind) = cut(text, b',').map_or((text, None), |(pair, behind)| (pair, Some(behind)));
        left = behind;
        let Some((name, value)) = cut(pair, b'=') else {
            return fault("42601", format!("'{pair}' is not name=value"));
        };
        let Some(known) = NAMES.iter().position(|n| *n == name.trim_ascii()) else { continue };
        if given[known].replace(value).is_some() {
            return fault("42601", format!("the field {} is given twice", NAMES[known]));
        }
    }
    let [id, class, tenant, wait, group, after, repeat] = given;
    let missing = |name: &str| Fault { code: "22023", message: format!("the field {name} is missing") };
    let number = |name: &str, value: &str| -> Result<u64, Fault> {
        let bad = || Fault { code: "22023", message: format!("the field {name} is not a number") };
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        value.parse().ok().filter(|_| digits).ok_or_else(bad)
    };
    let id = id.ok_or_else(|| missing("id"))?;
    if !(1..=LONGEST_ID).contains(&id.len()) || !id.bytes().all(|b| b.is_ascii_alphanumeric()) {
        return fault("22023", "an id has 1 to 64 letters and digits");
    }
    let (class, wait) = (class.ok_or_else(|| missing("c"))?, wait.ok_or_else(|| missing("d"))?);
    let (names, classes) = (&class_table.names, &class_table.classes);
    let Some(class) = class_table.class(class) else {
        return fault("22023", format!("no class is named {class}"));
    };
    let need = classes[class].consistency;
    if write != (need == Consistency::Write) {
        return fault("22023", "the statement does not fit its class");
    }
    let tenant = match tenant {
        None if names.tenants.is_empty() => 0,
        None => return Err(missing("t")),
        Some(name) => match class_table.tenant(name) {
            Some(tenant) => tenant,
            None => return fault("22023", format!("no tenant is named {name}")),
        },
    };
    // No client waits longer than its class's deadline over all of its tries.
    let wait_us = number("d", wait)?.saturating_mul(1000).min(classes[class].deadline);
    if wait_us == 0 {
        return fault("22023", "the field d leaves no time");
    }
    let group = number("cluster", group.ok_or_else(|| missing("cluster"))?)?;
    let after = after.map(|v| number("after", v)).transpose()?.map(|ms| ms.saturating_mul(1000));
    let repeat = match repeat {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return fault("22023", "the field r is neither 0 nor 1"),
    };
    let part = |part: &str| {
        let at = part.as_ptr() as usize - sql.as_ptr() as usize;
        at..at + part.len()
    };
    let session = matches!(need, Consistency::Write | Consistency::Session).then(|| Arc::from(key));
    let (name, wait) = (text.slice(part(id)), part(wait));
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
        work: Work::Verbatim { wait, text },
        client: None,
    })
}

/// The statement of an operation, and where in it the waiting time stands.
pub fn render(operation: &Operation) -> (String, Range<usize>) {
    let Operation { class_table, id, class, tenant, group, after, repeat, key, value } = operation;
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
    text.push_str(&format!("0,cluster={group}"));
    if let Some(after) = after {
        text.push_str(&format!(",after={}", after.div_ceil(1000)));
    }
    text.push_str(if *repeat { ",r=1 */" } else { " */" });
    (text, at..at + 1)
}

/// Whether a statement creates a record rather than reads one.
pub fn is_write(work: &Work) -> bool {
    match work {
        Work::Verbatim { text, .. } => text.starts_with(CREATE.as_bytes()),
        Work::Operation(operation) => operation.value.is_some(),
    }
}

/// Two hex digits a byte.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, b| {
        for digit in [b >> 4, b & 15] {
            text.extend(char::from_digit(u32::from(digit), 16));
        }
        text
    })
}
