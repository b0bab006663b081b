//! Records of the append-only log: one framed and checksummed record for each suspension or restore. This module
//! does no I/O.
//!
//! A record is the length and the checksum of its body, four bytes each, little-endian, and the body in JSON. Reading
//! stops at the first incomplete record. A truncated last record is what a crash during a write leaves; any other
//! fault is reported as damage.

use crate::effective_list::{Suspension, Suspensions};
use serde_json::{json, Value};

const HEADER_LEN: usize = 8;
/// Maximum length of a record. The ids of members come from a member list, which bounds their length.
pub const MAX_RECORD_LEN: usize = 64 * 1024;

/// The result of reading a log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replay {
    /// The suspensions of all complete records; later records override earlier ones.
    pub suspensions: Suspensions,
    /// Length in bytes of the complete records.
    pub complete_len: usize,
    /// How the log ends.
    pub end: End,
}

/// How a log ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum End {
    /// With a complete record, or empty.
    #[default]
    Complete,
    /// With a truncated record.
    Truncated,
    /// With bytes that no crash leaves: corrupted or foreign.
    Damaged,
}

/// Serializes the suspension or restore of a member as a record.
pub fn encode(name: &str, suspension: &Suspension) -> Vec<u8> {
    let body = json!([name, suspension.suspended_at, suspension.restored_at]).to_string();
    let mut record = Vec::with_capacity(HEADER_LEN + body.len());
    record.extend((body.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(body.as_bytes()).to_le_bytes());
    record.extend(body.as_bytes());
    record
}

fn parse_body(bytes: &[u8]) -> Option<(String, Suspension)> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let [Value::String(name), suspended_at, restored_at] = value.as_array().map(Vec::as_slice)? else {
        return None;
    };
    let restored_at = if restored_at.is_null() { None } else { Some(restored_at.as_u64()?) };
    Some((name.clone(), Suspension { suspended_at: suspended_at.as_u64()?, restored_at }))
}

/// Reads a log.
pub fn replay(bytes: &[u8]) -> Replay {
    let mut replay = Replay::default();
    loop {
        let rest = &bytes[replay.complete_len..];
        if rest.is_empty() {
            return replay;
        }
        let number =
            |at: usize| rest.get(at..at + 4).and_then(|b| b.first_chunk()).map(|b| u32::from_le_bytes(*b));
        let (Some(length), Some(sum)) = (number(0), number(4)) else {
            replay.end = End::Truncated;
            return replay;
        };
        let length = length as usize;
        let Some(record) = rest.get(HEADER_LEN..HEADER_LEN + length).filter(|_| length <= MAX_RECORD_LEN)
        else {
            // An impossible length is damage; one that reaches past the end may be a truncated record.
            replay.end = if length > MAX_RECORD_LEN { End::Damaged } else { End::Truncated };
            return replay;
        };
        let intact = crc32fast::hash(record) == sum;
        let parsed = if intact { parse_body(record) } else { None };
        let Some((name, suspension)) = parsed else {
            replay.end = End::Damaged;
            return replay;
        };
        replay.suspensions.insert(name.into(), suspension);
        replay.complete_len += HEADER_LEN + length;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn log() -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for (name, suspension) in [
            ("a", Suspension { suspended_at: 1, restored_at: None }),
            ("b \"x\"", Suspension { suspended_at: 2, restored_at: Some(3) }),
            ("a", Suspension { suspended_at: 1, restored_at: Some(9) }),
        ] {
            bytes.extend(encode(name, &suspension));
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    #[test]
    fn a_log_is_read_back_and_later_records_override_earlier_ones() {
        let (bytes, _) = log();
        let replay = replay(&bytes);
        assert_eq!((replay.complete_len, replay.end), (bytes.len(), End::Complete));
        assert_eq!(replay.suspensions["a"], Suspension { suspended_at: 1, restored_at: Some(9) });
        assert_eq!(replay.suspensions["b \"x\""], Suspension { suspended_at: 2, restored_at: Some(3) });
    }

    #[test]
    fn a_log_truncated_at_any_byte_yields_its_complete_records() {
        let (bytes, ends) = log();
        for end in 0..bytes.len() {
            let replay = replay(&bytes[..end]);
            let complete_len = ends.iter().rfind(|e| **e <= end).copied().expect("0 is one");
            assert_eq!(replay.complete_len, complete_len, "{end}");
            assert_eq!(replay.end, if end == complete_len { End::Complete } else { End::Truncated }, "{end}");
        }
    }

    #[test]
    fn a_record_with_a_changed_bit_is_never_accepted() {
        let (bytes, ends) = log();
        for bit in 0..bytes.len() * 8 {
            let mut bad = bytes.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            let replay = replay(&bad);
            let before = ends.iter().rfind(|e| **e <= bit / 8).copied().expect("0 is one");
            assert_eq!(replay.complete_len, before, "bit {bit}");
            assert_ne!(replay.end, End::Complete, "bit {bit}");
        }
    }
}
