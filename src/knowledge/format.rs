//! Serialization of [`Knowledge`] for the peer process of the proxy and for later starts. This module does no
//! I/O.
//!
//! A file is a header line with the format's name, its version, and the length and checksum of the body,
//! followed by the body in JSON. A file that does not match its header is rejected whole: it is truncated or
//! corrupted, or another program or a newer version wrote it.

use super::{Knowledge, LearnedFacts, MemberFacts, TimestampedText, MAX_ENTRIES};
use crate::effective_list::{Suspension, Suspensions, MAX_SUSPENDED};
use crate::interface::Time;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The version that is written, and the only one that is read.
pub const VERSION: u32 = 1;
const MAGIC: &str = "linentrail-handover";

/// Why a file is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// The header is not one of this format.
    Foreign,
    /// The file has another version.
    Version(u32),
    /// The body is truncated or corrupted.
    Corrupted,
    /// The body lacks this item, or its value is not valid.
    Malformed(&'static str),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unusable::Foreign => write!(f, "the file is not in this format"),
            Unusable::Version(v) => {
                write!(f, "the file has version {v}, and only version {VERSION} is supported")
            }
            Unusable::Corrupted => write!(f, "the file is truncated or corrupted"),
            Unusable::Malformed(what) => write!(f, "invalid or missing in the file: {what}"),
        }
    }
}

/// Adds the header to a body.
pub(crate) fn encode(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let checksum = crc32fast::hash(body.as_bytes());
    format!("{MAGIC} {VERSION} {} {checksum:08x}\n{body}", body.len()).into_bytes()
}

/// Checks the header and parses the body.
pub(crate) fn decode(bytes: &[u8]) -> Result<Value, Unusable> {
    let end = memchr::memchr(b'\n', bytes.get(..bytes.len().min(128)).unwrap_or_default());
    let (header, body) = bytes.split_at(end.ok_or(Unusable::Foreign)?);
    let body = &body[1..];
    let header = std::str::from_utf8(header).map_err(|_| Unusable::Foreign)?;
    let fields: Vec<&str> = header.split(' ').collect();
    let [MAGIC, version, length, checksum] = fields[..] else { return Err(Unusable::Foreign) };
    let version: u32 = version.parse().map_err(|_| Unusable::Foreign)?;
    if version != VERSION {
        return Err(Unusable::Version(version));
    }
    let intact =
        length.parse() == Ok(body.len()) && u32::from_str_radix(checksum, 16) == Ok(crc32fast::hash(body));
    if !intact {
        return Err(Unusable::Corrupted);
    }
    serde_json::from_slice(body).map_err(|_| Unusable::Malformed("JSON"))
}

/// Serializes the operators' suspensions.
pub fn write_suspensions(suspensions: &Suspensions) -> Vec<u8> {
    encode(&json!({ "hands": suspensions_body(suspensions) }))
}

fn suspensions_body(suspensions: &Suspensions) -> Value {
    let all: Map<String, Value> = suspensions
        .iter()
        .map(|(name, s)| (name.to_string(), json!([s.suspended_at, s.restored_at])))
        .collect();
    all.into()
}

/// Parses a file that [`write_suspensions`] made.
///
/// # Errors
/// When the file is rejected.
pub fn read_suspensions(bytes: &[u8]) -> Result<Suspensions, Unusable> {
    parse_suspensions(&decode(bytes)?)
}

fn parse_suspensions(body: &Value) -> Result<Suspensions, Unusable> {
    let invalid = Unusable::Malformed("word on a member");
    let all = body.get("hands").and_then(Value::as_object).ok_or(Unusable::Malformed("list of members"))?;
    if all.len() > MAX_ENTRIES {
        return Err(Unusable::Malformed("number of members"));
    }
    let mut suspensions = BTreeMap::new();
    for (name, value) in all {
        let suspension = match value.as_array().map(Vec::as_slice) {
            Some([suspended_at, Value::Null]) => {
                Suspension { suspended_at: suspended_at.as_u64().ok_or(invalid.clone())?, restored_at: None }
            }
            Some([suspended_at, restored_at]) => Suspension {
                suspended_at: suspended_at.as_u64().ok_or(invalid.clone())?,
                restored_at: Some(restored_at.as_u64().ok_or(invalid.clone())?),
            },
            _ => return Err(invalid),
        };
        suspensions.insert(name.as_str().into(), suspension);
    }
    match suspensions.values().filter(|s: &&Suspension| s.restored_at.is_none()).count() <= MAX_SUSPENDED {
        true => Ok(suspensions),
        false => Err(Unusable::Malformed("number of suspended members")),
    }
}

/// Serializes what the proxy has learned, with the time of writing, `at`.
pub fn write_learned(learned: &LearnedFacts, at: Time) -> Vec<u8> {
    let mut body = learned_body(learned);
    body.insert("at".into(), at.into());
    encode(&body.into())
}

fn learned_body(learned: &LearnedFacts) -> Map<String, Value> {
    let members: Vec<Value> = learned
        .members
        .iter()
        .map(|(name, m)| json!([&**name, m.position, m.primary, m.warm_up_start]))
        .collect();
    // These fields have their own table: the previous release ignores a table that it does not know, but
    // rejects entries of another length in the members' table.
    let extra_fields: Map<String, Value> = learned
        .members
        .iter()
        .map(|(name, m)| (name.to_string(), json!([m.start, m.last_heard, m.role_at])))
        .collect();
    let sessions: Map<String, Value> =
        learned.sessions.iter().map(|(name, at)| (name.to_string(), json!(at))).collect();
    let body = [
        ("members", members.into()),
        ("lives", extra_fields.into()),
        ("sessions", sessions.into()),
        ("floor", learned.floor.into()),
    ];
    body.map(|(name, value): (&str, Value)| (name.to_string(), value)).into_iter().collect()
}

/// Parses a file that [`write_learned`] made. Returns the facts and the time at which they were written.
///
/// # Errors
/// When the file is rejected.
pub fn read_learned(bytes: &[u8]) -> Result<(LearnedFacts, Time), Unusable> {
    let body = decode(bytes)?;
    Ok((parse_learned(&body)?, number(&body, "at")?))
}

fn number(body: &Value, name: &'static str) -> Result<u64, Unusable> {
    body.get(name).and_then(Value::as_u64).ok_or(Unusable::Malformed(name))
}

fn parse_learned(body: &Value) -> Result<LearnedFacts, Unusable> {
    let floor = number(body, "floor")?;
    let members = body.get("members").and_then(Value::as_array).ok_or(Unusable::Malformed("members"))?;
    let sessions = body.get("sessions").and_then(Value::as_object).ok_or(Unusable::Malformed("sessions"))?;
    if members.len() > MAX_ENTRIES || sessions.len() > MAX_ENTRIES {
        return Err(Unusable::Malformed("number of entries"));
    }
    let mut learned = LearnedFacts { floor, ..LearnedFacts::default() };
    for entry in members {
        let Some([Value::String(name), position, primary, warm_up_start]) =
            entry.as_array().map(Vec::as_slice)
        else {
            return Err(Unusable::Malformed("member"));
        };
        // The previous release does not write this table.
        let extra_fields = body.get("lives").and_then(|all| all.get(name)).and_then(Value::as_array);
        let field = |n: usize| extra_fields.and_then(|l| l.get(n)).and_then(Value::as_u64);
        let facts = MemberFacts {
            start: field(0),
            position: position.as_u64().ok_or(Unusable::Malformed("position"))?,
            last_heard: field(1).unwrap_or(0),
            primary: primary.as_bool(),
            role_at: field(2).unwrap_or(0),
            warm_up_start: warm_up_start.as_u64(),
        };
        learned.members.insert(name.as_str().into(), facts);
    }
    for (name, commit) in sessions {
        let commit = commit.as_u64().ok_or(Unusable::Malformed("commit"))?;
        learned.sessions.insert(name.as_str().into(), commit);
    }
    Ok(learned)
}

/// Serializes a snapshot, with the time at which it is written and the number of the proxy's start that
/// writes it.
pub fn write_snapshot(knowledge: &Knowledge, at: Time, start_number: u64) -> Vec<u8> {
    let text = |text: &Option<TimestampedText>| text.as_ref().map(|t| json!([t.at, &*t.text]));
    let mut body = learned_body(&knowledge.learned);
    body.insert("hands".into(), suspensions_body(&knowledge.suspensions));
    for (name, value) in [
        ("settings", json!(text(&knowledge.settings))),
        ("list", json!(text(&knowledge.list))),
        ("at", at.into()),
        ("boot", start_number.into()),
    ] {
        body.insert(name.into(), value);
    }
    encode(&body.into())
}

/// Parses a file that [`write_snapshot`] made. Returns the knowledge, the time at which it was written, and
/// the number of the start that wrote it.
///
/// # Errors
/// When the file is rejected.
pub fn read_snapshot(bytes: &[u8]) -> Result<(Knowledge, Time, u64), Unusable> {
    let body = decode(bytes)?;
    let text = |name: &'static str| match body.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_array().map(Vec::as_slice) {
            Some([at, Value::String(text)]) => {
                let at = at.as_u64().ok_or(Unusable::Malformed(name))?;
                Ok(Some(TimestampedText { at, text: text.as_str().into() }))
            }
            _ => Err(Unusable::Malformed(name)),
        },
    };
    let (settings, list) = (text("settings")?, text("list")?);
    let knowledge =
        Knowledge { learned: parse_learned(&body)?, suspensions: parse_suspensions(&body)?, settings, list };
    Ok((knowledge, number(&body, "at")?, number(&body, "boot")?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn suspensions() -> Suspensions {
        let suspension = |suspended_at, restored_at| Suspension { suspended_at, restored_at };
        [("s-1", suspension(5, None)), ("s \"2\"", suspension(5, Some(9)))].map(|(n, s)| (n.into(), s)).into()
    }

    fn learned() -> LearnedFacts {
        let member = |primary, warm_up_start| MemberFacts {
            start: warm_up_start,
            position: 77,
            last_heard: 78,
            primary,
            role_at: 76,
            warm_up_start,
        };
        let members =
            [("a", member(Some(true), None)), ("b", member(Some(false), Some(4))), ("c", member(None, None))];
        LearnedFacts {
            members: members.map(|(name, facts)| (name.into(), facts)).into(),
            sessions: [("k1".into(), 70)].into(),
            floor: 60,
        }
    }

    #[test]
    fn a_file_of_the_previous_release_is_read_without_the_fields_that_it_lacks() {
        let body = json!({"at": 5, "members": [["a", 77, true, null]], "sessions": {"k": 3}, "floor": 2});
        let (learned, at) = read_learned(&encode(&body)).expect("valid");
        let facts = MemberFacts { position: 77, primary: Some(true), ..MemberFacts::default() };
        assert_eq!((learned.members.get("a"), at), (Some(&facts), 5));
    }

    #[test]
    fn written_files_are_read_back() {
        assert_eq!(read_suspensions(&write_suspensions(&suspensions())), Ok(suspensions()));
        assert_eq!(read_suspensions(&write_suspensions(&Suspensions::new())), Ok(Suspensions::new()));
        assert_eq!(read_learned(&write_learned(&learned(), 80)), Ok((learned(), 80)));
    }

    #[test]
    fn a_truncated_or_corrupted_file_is_rejected_whole() {
        for file in [write_suspensions(&suspensions()), write_learned(&learned(), 80)] {
            for end in 0..file.len() {
                assert!(
                    read_suspensions(&file[..end]).is_err() && read_learned(&file[..end]).is_err(),
                    "{end}"
                );
            }
            // A single changed bit anywhere is detected.
            for bit in 0..file.len() * 8 {
                let mut bad = file.clone();
                bad[bit / 8] ^= 1 << (bit % 8);
                // A changed bit may only switch the case of a hexadecimal digit of the checksum.
                let same = bad.eq_ignore_ascii_case(&file);
                assert!(same || read_suspensions(&bad).is_err() && read_learned(&bad).is_err(), "bit {bit}");
            }
        }
    }

    #[test]
    fn foreign_and_newer_files_are_distinguished() {
        assert_eq!(read_suspensions(b"[odata]\nenabled = false\n"), Err(Unusable::Foreign));
        assert_eq!(read_suspensions(b""), Err(Unusable::Foreign));
        let newer =
            String::from_utf8(write_suspensions(&suspensions())).expect("text").replacen(" 1 ", " 2 ", 1);
        assert_eq!(read_suspensions(newer.as_bytes()), Err(Unusable::Version(2)));
        assert_eq!(
            read_suspensions(&write_learned(&learned(), 1)),
            Err(Unusable::Malformed("list of members"))
        );
    }
}
