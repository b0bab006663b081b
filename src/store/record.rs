//! Records of the append log: what the operators said, one record each, framed and checksummed. It does no I/O.
//!
//! A record is its length and its checksum, four bytes each, little-endian, then JSON. Reading stops at the first that is
//! not whole: a tail cut off is what a crash in the middle of a write leaves; damage with more behind it is not, and is
//! told as such.

use crate::effective_list::{Suspension, Suspensions};
use serde_json::{json, Value};

const HEAD: usize = 8;
/// A record is never longer: ids of members are a list's.
pub const LONGEST: usize = 64 * 1024;

/// What reading a log has found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Replay {
    /// All that its whole records say, later ones over earlier ones.
    pub hands: Suspensions,
    /// Bytes of whole records, from the start.
    pub whole: usize,
    /// How it ends.
    pub end: End,
}

/// How a log ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum End {
    /// With a whole record, or empty.
    #[default]
    Whole,
    /// With a record that is cut off.
    Torn,
    /// With bytes that no crash leaves, or that were changed.
    Damaged,
}

/// A record of the operators' word on a member.
pub fn write(name: &str, hand: &Suspension) -> Vec<u8> {
    let body = json!([name, hand.suspended_at, hand.restored_at]).to_string();
    let mut record = Vec::with_capacity(HEAD + body.len());
    record.extend((body.len() as u32).to_le_bytes());
    record.extend(crc32fast::hash(body.as_bytes()).to_le_bytes());
    record.extend(body.as_bytes());
    record
}

fn body(bytes: &[u8]) -> Option<(String, Suspension)> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let [Value::String(name), out, restored_at] = value.as_array().map(Vec::as_slice)? else { return None };
    let restored_at = if restored_at.is_null() { None } else { Some(restored_at.as_u64()?) };
    Some((name.clone(), Suspension { suspended_at: out.as_u64()?, restored_at }))
}

/// Reads a log.
pub fn replay(bytes: &[u8]) -> Replay {
    let mut replay = Replay::default();
    loop {
        let rest = &bytes[replay.whole..];
        if rest.is_empty() {
            return replay;
        }
        let number =
            |at: usize| rest.get(at..at + 4).and_then(|b| b.first_chunk()).map(|b| u32::from_le_bytes(*b));
        let (Some(length), Some(sum)) = (number(0), number(4)) else {
            replay.end = End::Torn;
            return replay;
        };
        let length = length as usize;
        let Some(record) = rest.get(HEAD..HEAD + length).filter(|_| length <= LONGEST) else {
            // A length that cannot be is damage; one that reaches past the end may be a cut.
            replay.end = if length > LONGEST { End::Damaged } else { End::Torn };
            return replay;
        };
        let sound = crc32fast::hash(record) == sum;
        let told = if sound { body(record) } else { None };
        let Some((name, hand)) = told else {
            replay.end = End::Damaged;
            return replay;
        };
        replay.hands.insert(name.into(), hand);
        replay.whole += HEAD + length;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn log() -> (Vec<u8>, Vec<usize>) {
        let (mut bytes, mut ends) = (Vec::new(), vec![0]);
        for (name, hand) in [
            ("a", Suspension { suspended_at: 1, restored_at: None }),
            ("b \"x\"", Suspension { suspended_at: 2, restored_at: Some(3) }),
            ("a", Suspension { suspended_at: 1, restored_at: Some(9) }),
        ] {
            bytes.extend(write(name, &hand));
            ends.push(bytes.len());
        }
        (bytes, ends)
    }

    #[test]
    fn what_was_written_is_read_and_later_words_win() {
        let (bytes, _) = log();
        let replay = replay(&bytes);
        assert_eq!((replay.whole, replay.end), (bytes.len(), End::Whole));
        assert_eq!(replay.hands["a"], Suspension { suspended_at: 1, restored_at: Some(9) });
        assert_eq!(replay.hands["b \"x\""], Suspension { suspended_at: 2, restored_at: Some(3) });
    }

    #[test]
    fn a_log_cut_off_anywhere_gives_its_whole_records() {
        let (bytes, ends) = log();
        for end in 0..bytes.len() {
            let replay = replay(&bytes[..end]);
            let whole = ends.iter().rfind(|e| **e <= end).copied().expect("0 is one");
            assert_eq!(replay.whole, whole, "{end}");
            assert_eq!(replay.end, if end == whole { End::Whole } else { End::Torn }, "{end}");
        }
    }

    #[test]
    fn a_changed_bit_is_never_taken_for_a_word() {
        let (bytes, ends) = log();
        for bit in 0..bytes.len() * 8 {
            let mut bad = bytes.clone();
            bad[bit / 8] ^= 1 << (bit % 8);
            let replay = replay(&bad);
            let before = ends.iter().rfind(|e| **e <= bit / 8).copied().expect("0 is one");
            assert_eq!(replay.whole, before, "bit {bit}");
            assert_ne!(replay.end, End::Whole, "bit {bit}");
        }
    }
}
