//! How knowledge is written down, for another process of the proxy and for later starts. It does no I/O.
//!
//! A file is one line that names the format, its version, the length and the checksum of what follows, then JSON. What
//! does not agree with that line is not used, not even in part: a torn file, another program's, or a newer version's.

use super::{Knowledge, LearnedFacts, MemberFacts, TimestampedText, MAX_ENTRIES};
use crate::effective_list::{Suspension, Suspensions, MAX_SUSPENDED};
use crate::interface::Time;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The version written, and the only one read.
pub const VERSION: u32 = 1;
const MAGIC: &str = "linentrail-handover";

/// Why a file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// Its first line is not this format's.
    Foreign,
    /// It is of another version.
    Version(u32),
    /// Its bytes are not all there, or not those that were written.
    Torn,
    /// It says what cannot be.
    Malformed(&'static str),
}

impl std::fmt::Display for Unusable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unusable::Foreign => write!(f, "it is no file of this kind"),
            Unusable::Version(v) => write!(f, "it is of version {v}, and this process reads {VERSION}"),
            Unusable::Torn => write!(f, "it is torn"),
            Unusable::Malformed(what) => write!(f, "it has no sound {what}"),
        }
    }
}

pub(crate) fn seal(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let sum = crc32fast::hash(body.as_bytes());
    format!("{MAGIC} {VERSION} {} {sum:08x}\n{body}", body.len()).into_bytes()
}

pub(crate) fn open(bytes: &[u8]) -> Result<Value, Unusable> {
    let end = memchr::memchr(b'\n', bytes.get(..bytes.len().min(128)).unwrap_or_default());
    let (head, body) = bytes.split_at(end.ok_or(Unusable::Foreign)?);
    let body = &body[1..];
    let head = std::str::from_utf8(head).map_err(|_| Unusable::Foreign)?;
    let words: Vec<&str> = head.split(' ').collect();
    let [MAGIC, version, length, sum] = words[..] else { return Err(Unusable::Foreign) };
    let version: u32 = version.parse().map_err(|_| Unusable::Foreign)?;
    if version != VERSION {
        return Err(Unusable::Version(version));
    }
    let sound = length.parse() == Ok(body.len()) && u32::from_str_radix(sum, 16) == Ok(crc32fast::hash(body));
    if !sound {
        return Err(Unusable::Torn);
    }
    serde_json::from_slice(body).map_err(|_| Unusable::Malformed("JSON"))
}

/// Writes down what the operators said.
pub fn write_hands(hands: &Suspensions) -> Vec<u8> {
    seal(&json!({ "hands": hands_body(hands) }))
}

fn hands_body(hands: &Suspensions) -> Value {
    let all: Map<String, Value> =
        hands.iter().map(|(name, h)| (name.to_string(), json!([h.suspended_at, h.restored_at]))).collect();
    all.into()
}

/// Reads it.
///
/// # Errors
/// Why it cannot be used.
pub fn read_hands(bytes: &[u8]) -> Result<Suspensions, Unusable> {
    hands_of(&open(bytes)?)
}

fn hands_of(body: &Value) -> Result<Suspensions, Unusable> {
    let bad = Unusable::Malformed("word on a member");
    let all = body.get("hands").and_then(Value::as_object).ok_or(Unusable::Malformed("list of members"))?;
    if all.len() > MAX_ENTRIES {
        return Err(Unusable::Malformed("number of members"));
    }
    let mut hands = BTreeMap::new();
    for (name, value) in all {
        let hand = match value.as_array().map(Vec::as_slice) {
            Some([out, Value::Null]) => {
                Suspension { suspended_at: out.as_u64().ok_or(bad.clone())?, restored_at: None }
            }
            Some([out, back]) => Suspension {
                suspended_at: out.as_u64().ok_or(bad.clone())?,
                restored_at: Some(back.as_u64().ok_or(bad.clone())?),
            },
            _ => return Err(bad),
        };
        hands.insert(name.as_str().into(), hand);
    }
    match hands.values().filter(|h: &&Suspension| h.restored_at.is_none()).count() <= MAX_SUSPENDED {
        true => Ok(hands),
        false => Err(Unusable::Malformed("number of members that are out")),
    }
}

/// Writes down what was learned, at this moment.
pub fn write_known(known: &LearnedFacts, at: Time) -> Vec<u8> {
    let mut body = known_body(known);
    body.insert("at".into(), at.into());
    seal(&body.into())
}

fn known_body(known: &LearnedFacts) -> Map<String, Value> {
    let members: Vec<Value> = known
        .members
        .iter()
        .map(|(name, m)| json!([&**name, m.position, m.primary, m.warm_up_start]))
        .collect();
    // In a table of its own: processes of the version before pass over what they do not know, but not over entries of
    // another length.
    let lives: Map<String, Value> = known
        .members
        .iter()
        .map(|(name, m)| (name.to_string(), json!([m.start, m.last_heard, m.role_at])))
        .collect();
    let sessions: Map<String, Value> =
        known.sessions.iter().map(|(name, at)| (name.to_string(), json!(at))).collect();
    let body = [
        ("members", members.into()),
        ("lives", lives.into()),
        ("sessions", sessions.into()),
        ("floor", known.floor.into()),
    ];
    body.map(|(name, value): (&str, Value)| (name.to_string(), value)).into_iter().collect()
}

/// Reads it, and when it was written.
///
/// # Errors
/// Why it cannot be used.
pub fn read_known(bytes: &[u8]) -> Result<(LearnedFacts, Time), Unusable> {
    let body = open(bytes)?;
    Ok((known_of(&body)?, number(&body, "at")?))
}

fn number(body: &Value, name: &'static str) -> Result<u64, Unusable> {
    body.get(name).and_then(Value::as_u64).ok_or(Unusable::Malformed(name))
}

fn known_of(body: &Value) -> Result<LearnedFacts, Unusable> {
    let floor = number(body, "floor")?;
    let listed = body.get("members").and_then(Value::as_array).ok_or(Unusable::Malformed("members"))?;
    let said = body.get("sessions").and_then(Value::as_object).ok_or(Unusable::Malformed("sessions"))?;
    if listed.len() > MAX_ENTRIES || said.len() > MAX_ENTRIES {
        return Err(Unusable::Malformed("number of entries"));
    }
    let mut known = LearnedFacts { floor, ..LearnedFacts::default() };
    for entry in listed {
        let Some([Value::String(name), position, primary, cold]) = entry.as_array().map(Vec::as_slice) else {
            return Err(Unusable::Malformed("member"));
        };
        // A process of the version before has written none.
        let life = body.get("lives").and_then(|lives| lives.get(name)).and_then(Value::as_array);
        let of = |n: usize| life.and_then(|l| l.get(n)).and_then(Value::as_u64);
        let facts = MemberFacts {
            start: of(0),
            position: position.as_u64().ok_or(Unusable::Malformed("position"))?,
            last_heard: of(1).unwrap_or(0),
            primary: primary.as_bool(),
            role_at: of(2).unwrap_or(0),
            warm_up_start: cold.as_u64(),
        };
        known.members.insert(name.as_str().into(), facts);
    }
    for (name, commit) in said {
        let commit = commit.as_u64().ok_or(Unusable::Malformed("commit"))?;
        known.sessions.insert(name.as_str().into(), commit);
    }
    Ok(known)
}

/// Writes down all that is known, at this moment of this start of the proxy.
pub fn write_snapshot(all: &Knowledge, at: Time, boot: u64) -> Vec<u8> {
    let held = |held: &Option<TimestampedText>| held.as_ref().map(|h| json!([h.at, &*h.text]));
    let mut body = known_body(&all.learned);
    body.insert("hands".into(), hands_body(&all.suspensions));
    for (name, value) in [
        ("settings", json!(held(&all.settings))),
        ("list", json!(held(&all.list))),
        ("at", at.into()),
        ("boot", boot.into()),
    ] {
        body.insert(name.into(), value);
    }
    seal(&body.into())
}

/// Reads it, when it was written and by which start.
///
/// # Errors
/// Why it cannot be used.
pub fn read_snapshot(bytes: &[u8]) -> Result<(Knowledge, Time, u64), Unusable> {
    let body = open(bytes)?;
    let held = |name: &'static str| match body.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_array().map(Vec::as_slice) {
            Some([at, Value::String(text)]) => {
                let at = at.as_u64().ok_or(Unusable::Malformed(name))?;
                Ok(Some(TimestampedText { at, text: text.as_str().into() }))
            }
            _ => Err(Unusable::Malformed(name)),
        },
    };
    let (settings, list) = (held("settings")?, held("list")?);
    let all = Knowledge { learned: known_of(&body)?, suspensions: hands_of(&body)?, settings, list };
    Ok((all, number(&body, "at")?, number(&body, "boot")?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hands() -> Suspensions {
        let out = |suspended_at, restored_at| Suspension { suspended_at, restored_at };
        [("s-1", out(5, None)), ("s \"2\"", out(5, Some(9)))].map(|(n, h)| (n.into(), h)).into()
    }

    fn known() -> LearnedFacts {
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
    fn what_a_process_of_the_version_before_wrote_is_read_without_what_it_did_not_know() {
        let body = json!({"at": 5, "members": [["a", 77, true, null]], "sessions": {"k": 3}, "floor": 2});
        let (known, at) = read_known(&seal(&body)).expect("it is sound");
        let facts = MemberFacts { position: 77, primary: Some(true), ..MemberFacts::default() };
        assert_eq!((known.members.get("a"), at), (Some(&facts), 5));
    }

    #[test]
    fn what_was_written_is_read() {
        assert_eq!(read_hands(&write_hands(&hands())), Ok(hands()));
        assert_eq!(read_hands(&write_hands(&Suspensions::new())), Ok(Suspensions::new()));
        assert_eq!(read_known(&write_known(&known(), 80)), Ok((known(), 80)));
    }

    #[test]
    fn no_part_of_a_torn_file_is_used() {
        for whole in [write_hands(&hands()), write_known(&known(), 80)] {
            for end in 0..whole.len() {
                assert!(read_hands(&whole[..end]).is_err() && read_known(&whole[..end]).is_err(), "{end}");
            }
            // Nor of one in which a single bit has changed, wherever that is.
            for bit in 0..whole.len() * 8 {
                let mut bad = whole.clone();
                bad[bit / 8] ^= 1 << (bit % 8);
                // The case of a checksum's digit does not count.
                let same = bad.eq_ignore_ascii_case(&whole);
                assert!(same || read_hands(&bad).is_err() && read_known(&bad).is_err(), "bit {bit}");
            }
        }
    }

    #[test]
    fn foreign_and_newer_files_are_told_apart() {
        assert_eq!(read_hands(b"[odata]\nenabled = false\n"), Err(Unusable::Foreign));
        assert_eq!(read_hands(b""), Err(Unusable::Foreign));
        let newer = String::from_utf8(write_hands(&hands())).expect("text").replacen(" 1 ", " 2 ", 1);
        assert_eq!(read_hands(newer.as_bytes()), Err(Unusable::Version(2)));
        assert_eq!(read_hands(&write_known(&known(), 1)), Err(Unusable::Malformed("list of members")));
    }
}
