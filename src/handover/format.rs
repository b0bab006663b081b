//! What two processes of one proxy tell each other, and how it is written down. It does no I/O.
//!
//! A file is one line that names the format, its version, the length and the checksum of what follows, then JSON. What
//! does not agree with that line is not used, not even in part: a torn file, another program's, or a newer version's.

use crate::interface::Time;
use crate::known::{Known, KnownMember};
use crate::overlay::{Hand, Hands, OUT_MOST};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The version written, and the only one read.
pub const VERSION: u32 = 1;
const MAGIC: &str = "linentrail-handover";
/// Most entries taken from one file.
const MOST: usize = 16_384;

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

fn seal(body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let sum = crc32fast::hash(body.as_bytes());
    format!("{MAGIC} {VERSION} {} {sum:08x}\n{body}", body.len()).into_bytes()
}

fn open(bytes: &[u8]) -> Result<Value, Unusable> {
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
pub fn write_hands(hands: &Hands) -> Vec<u8> {
    let all: Map<String, Value> =
        hands.iter().map(|(name, h)| (name.to_string(), json!([h.out, h.back]))).collect();
    seal(&json!({ "hands": all }))
}

/// Reads it.
///
/// # Errors
/// Why it cannot be used.
pub fn read_hands(bytes: &[u8]) -> Result<Hands, Unusable> {
    let bad = Unusable::Malformed("word on a member");
    let body = open(bytes)?;
    let all = body.get("hands").and_then(Value::as_object).ok_or(Unusable::Malformed("list of members"))?;
    if all.len() > MOST {
        return Err(Unusable::Malformed("number of members"));
    }
    let mut hands = BTreeMap::new();
    for (name, value) in all {
        let hand = match value.as_array().map(Vec::as_slice) {
            Some([out, Value::Null]) => Hand { out: out.as_u64().ok_or(bad.clone())?, back: None },
            Some([out, back]) => {
                Hand { out: out.as_u64().ok_or(bad.clone())?, back: Some(back.as_u64().ok_or(bad.clone())?) }
            }
            _ => return Err(bad),
        };
        hands.insert(name.as_str().into(), hand);
    }
    match hands.values().filter(|h: &&Hand| h.back.is_none()).count() <= OUT_MOST {
        true => Ok(hands),
        false => Err(Unusable::Malformed("number of members that are out")),
    }
}

/// Writes down what was learned, at this moment.
pub fn write_known(known: &Known, at: Time) -> Vec<u8> {
    let members: Vec<Value> =
        known.members.iter().map(|m| json!([&*m.name, m.position, m.primary, m.cold_from])).collect();
    let sessions: Map<String, Value> =
        known.sessions.iter().map(|(name, at)| (name.to_string(), json!(at))).collect();
    seal(&json!({ "at": at, "members": members, "sessions": sessions, "floor": known.floor }))
}

/// Reads it, and when it was written.
///
/// # Errors
/// Why it cannot be used.
pub fn read_known(bytes: &[u8]) -> Result<(Known, Time), Unusable> {
    let body = open(bytes)?;
    let number = |name: &'static str| body.get(name).and_then(Value::as_u64).ok_or(Unusable::Malformed(name));
    let (at, floor) = (number("at")?, number("floor")?);
    let listed = body.get("members").and_then(Value::as_array).ok_or(Unusable::Malformed("members"))?;
    let said = body.get("sessions").and_then(Value::as_object).ok_or(Unusable::Malformed("sessions"))?;
    if listed.len() > MOST || said.len() > MOST {
        return Err(Unusable::Malformed("number of entries"));
    }
    let mut known = Known { floor, ..Known::default() };
    for entry in listed {
        let member = match entry.as_array().map(Vec::as_slice) {
            Some([Value::String(name), position, primary, cold]) => Some(KnownMember {
                name: name.as_str().into(),
                position: position.as_u64().ok_or(Unusable::Malformed("position"))?,
                primary: primary.as_bool(),
                cold_from: cold.as_u64(),
            }),
            _ => None,
        };
        known.members.push(member.ok_or(Unusable::Malformed("member"))?);
    }
    for (name, commit) in said {
        let commit = commit.as_u64().ok_or(Unusable::Malformed("commit"))?;
        known.sessions.push((name.as_str().into(), commit));
    }
    Ok((known, at))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hands() -> Hands {
        let out = |out, back| Hand { out, back };
        [("s-1", out(5, None)), ("s \"2\"", out(5, Some(9)))].map(|(n, h)| (n.into(), h)).into()
    }

    fn known() -> Known {
        let member = |name: &str, primary, cold_from| KnownMember {
            name: name.into(),
            position: 77,
            primary,
            cold_from,
        };
        Known {
            members: vec![
                member("a", Some(true), None),
                member("b", Some(false), Some(4)),
                member("c", None, None),
            ],
            sessions: vec![("k1".into(), 70)],
            floor: 60,
        }
    }

    #[test]
    fn what_was_written_is_read() {
        assert_eq!(read_hands(&write_hands(&hands())), Ok(hands()));
        assert_eq!(read_hands(&write_hands(&Hands::new())), Ok(Hands::new()));
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
