//! Authentication with the fleet's keys. All datagrams and connections between proxies, and all documents, carry a
//! MAC by a key that every proxy of the fleet has. Keys have ids, so that a new key can be added before the old one
//! is removed: all known keys are accepted, and the first one signs.
//!
//! A datagram carries its sender, the sender's incarnation and a sequence number. A receiver drops datagrams that it
//! has received before, and those of a former incarnation. A receiver that has just started knows of no former
//! incarnations. The old datagrams that it may accept are harmless: a repeated request does no harm at any time, and an
//! answer to a message that this receiver has not sent is ignored.

use super::ProxyNumber;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashMap;

/// The minimum length of a key, in bytes.
pub const KEY_BYTES_MIN: usize = 16;
/// The length of a MAC, in bytes.
const MAC_BYTES: usize = 32;
/// How far a sequence number may be behind the highest one received, as many as the bits of the window.
const REPLAY_WINDOW: u64 = 64;
/// The length of a datagram's header: sender, incarnation, sequence number, key id.
const HEADER_BYTES: usize = 2 + 8 + 8 + 1;

/// Keys by id; the first one signs.
#[derive(Clone)]
pub struct Keys(Vec<(u8, Vec<u8>)>);

impl std::fmt::Debug for Keys {
    /// Shows the ids alone, to keep keys out of logs.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

/// Why a datagram or a document was rejected. The log shows these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It is shorter than its header and its MAC.
    Short,
    /// The key id or the sender is unknown.
    Key,
    /// The MAC is wrong.
    Code,
    /// It was received before, or is from a former incarnation of its sender.
    Replayed,
    /// It cannot be decoded.
    Unreadable,
}

impl Keys {
    /// Takes keys by id, the signing one first.
    ///
    /// # Errors
    /// When there is no key, a key is too short, or two keys have the same id.
    pub fn new(keys: Vec<(u8, Vec<u8>)>) -> Result<Self, String> {
        if keys.is_empty() {
            return Err("there must be a key".to_string());
        }
        for (n, (id, key)) in keys.iter().enumerate() {
            if key.len() < KEY_BYTES_MIN {
                return Err(format!("key {id} has {} bytes, {KEY_BYTES_MIN} are the least", key.len()));
            }
            if keys[..n].iter().any(|(other, _)| other == id) {
                return Err(format!("two keys have the id {id}"));
            }
        }
        Ok(Keys(keys))
    }

    fn mac(&self, id: u8, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
        let (_, key) = self.0.iter().find(|(key_id, _)| *key_id == id)?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        Some(mac)
    }

    /// The id of the signing key and its MAC of these bytes. The MAC covers `purpose` too, so that it is valid for
    /// nothing else.
    pub fn sign(&self, purpose: &str, bytes: &[u8]) -> (u8, [u8; MAC_BYTES]) {
        let id = self.0[0].0;
        let code = self.mac(id, &[purpose.as_bytes(), bytes]).map(|mac| mac.finalize().into_bytes().into());
        (id, code.unwrap_or_default())
    }

    /// Verifies a MAC of these bytes for `purpose`.
    ///
    /// # Errors
    /// When the key id is unknown or the MAC is wrong.
    pub fn check(&self, purpose: &str, bytes: &[u8], (id, code): (u8, &[u8])) -> Result<(), RejectReason> {
        let mac = self.mac(id, &[purpose.as_bytes(), bytes]).ok_or(RejectReason::Key)?;
        mac.verify_slice(code).map_err(|_| RejectReason::Code)
    }
}

const DATAGRAM_PURPOSE: &str = "linentrail datagram 1";

/// Seals the datagrams that one process sends.
#[derive(Debug)]
pub struct Sender {
    keys: Keys,
    me: ProxyNumber,
    incarnation: u64,
    sequence: u64,
}

impl Sender {
    /// Creates the sender of a proxy; `incarnation` must be higher than that of any earlier start.
    pub fn new(keys: Keys, me: ProxyNumber, incarnation: u64) -> Self {
        Sender { keys, me, incarnation, sequence: 0 }
    }

    /// The datagram that carries this payload to `to`.
    pub fn seal(&mut self, to: ProxyNumber, payload: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + payload.len() + MAC_BYTES);
        datagram.extend(self.me.to_le_bytes());
        datagram.extend(self.incarnation.to_le_bytes());
        datagram.extend(self.sequence.to_le_bytes());
        datagram.push(self.keys.0[0].0);
        datagram.extend(payload);
        // The receiver is covered by the MAC but not sent: a datagram for another proxy fails verification.
        let signed = [&datagram[..], &to.to_le_bytes()].concat();
        datagram.extend(self.keys.sign(DATAGRAM_PURPOSE, &signed).1);
        datagram
    }
}

/// The sequence numbers received from one sender.
#[derive(Debug, Default)]
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit n is set when the number `highest - n` has been received.
    window: u64,
}

impl ReplayWindow {
    fn accept(&mut self, incarnation: u64, sequence: u64) -> Result<(), RejectReason> {
        if incarnation < self.incarnation || sequence == 0 {
            return Err(RejectReason::Replayed);
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, ..ReplayWindow::default() };
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.window = if ahead >= REPLAY_WINDOW { 0 } else { self.window << ahead };
            self.highest = sequence;
        }
        let behind = self.highest - sequence;
        if behind >= REPLAY_WINDOW || self.window & (1 << behind) != 0 {
            return Err(RejectReason::Replayed);
        }
        self.window |= 1 << behind;
        Ok(())
    }
}

/// Opens received datagrams, each once.
#[derive(Debug)]
pub struct Receiver {
    keys: Keys,
    me: ProxyNumber,
    windows: HashMap<ProxyNumber, ReplayWindow>,
}

impl Receiver {
    /// Creates the receiver of a proxy.
    pub fn new(keys: Keys, me: ProxyNumber) -> Self {
        Receiver { keys, me, windows: HashMap::new() }
    }

    /// Verifies a datagram and returns its sender, the sender's incarnation and the payload. `is_known` says which
    /// proxies may send.
    ///
    /// # Errors
    /// When it is to be dropped.
    pub fn open<'d>(
        &mut self,
        datagram: &'d [u8],
        is_known: impl Fn(ProxyNumber) -> bool,
    ) -> Result<(ProxyNumber, u64, &'d [u8]), RejectReason> {
        let end = datagram
            .len()
            .checked_sub(MAC_BYTES)
            .filter(|end| *end >= HEADER_BYTES)
            .ok_or(RejectReason::Short)?;
        let (content, code) = datagram.split_at(end);
        let read_u64 = |at: usize| {
            content[at..at + 8].try_into().map(u64::from_le_bytes).map_err(|_| RejectReason::Short)
        };
        let (from, incarnation, sequence) =
            (ProxyNumber::from_le_bytes([content[0], content[1]]), read_u64(2)?, read_u64(10)?);
        let signed = [content, &self.me.to_le_bytes()].concat();
        self.keys.check(DATAGRAM_PURPOSE, &signed, (content[HEADER_BYTES - 1], code))?;
        if !is_known(from) {
            return Err(RejectReason::Key);
        }
        // Only authentic datagrams may move the window. The map is bounded by the number of known senders.
        self.windows.entry(from).or_default().accept(incarnation, sequence)?;
        Ok((from, incarnation, &content[HEADER_BYTES..]))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(ids: &[u8]) -> Keys {
        Keys::new(ids.iter().map(|id| (*id, vec![*id; KEY_BYTES_MIN])).collect()).expect("valid keys")
    }

    #[test]
    fn datagram_opens_once_and_only_at_its_receiver() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let mut receiver = Receiver::new(keys(&[1]), 3);
        let datagram = sender.seal(3, b"word");
        assert_eq!(receiver.open(&datagram, |_| true), Ok((7, 100, &b"word"[..])));
        assert_eq!(receiver.open(&datagram, |_| true), Err(RejectReason::Replayed));
        let misdirected = sender.seal(4, b"word");
        assert_eq!(receiver.open(&misdirected, |_| true), Err(RejectReason::Code), "it is for another proxy");
        let stranger = sender.seal(3, b"word");
        assert_eq!(receiver.open(&stranger, |n| n != 7), Err(RejectReason::Key));
    }

    #[test]
    fn any_changed_bit_and_any_truncation_is_detected() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let datagram = sender.seal(3, b"some words");
        for bit in 0..datagram.len() * 8 {
            let mut corrupted = datagram.clone();
            corrupted[bit / 8] ^= 1 << (bit % 8);
            assert!(Receiver::new(keys(&[1]), 3).open(&corrupted, |_| true).is_err(), "bit {bit}");
        }
        for length in 0..datagram.len() {
            assert!(Receiver::new(keys(&[1]), 3).open(&datagram[..length], |_| true).is_err());
        }
    }

    #[test]
    fn datagrams_may_be_reordered_within_the_window_and_former_incarnations_are_rejected() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let all: Vec<Vec<u8>> = (0..200).map(|_| sender.seal(3, b"")).collect();
        let mut receiver = Receiver::new(keys(&[1]), 3);
        for n in [9, 3, 8, 70, 30, 100] {
            assert!(receiver.open(&all[n], |_| true).is_ok(), "{n}");
        }
        for n in [9, 3, 30, 100, 20, 36] {
            assert_eq!(receiver.open(&all[n], |_| true), Err(RejectReason::Replayed), "{n}");
        }
        assert!(receiver.open(&all[37], |_| true).is_ok(), "63 behind");
        let next = Sender::new(keys(&[1]), 7, 101).seal(3, b"");
        assert!(receiver.open(&next, |_| true).is_ok());
        assert_eq!(
            receiver.open(&all[199], |_| true),
            Err(RejectReason::Replayed),
            "of the former incarnation"
        );
    }

    #[test]
    fn proxies_understand_each_other_at_every_step_of_a_key_rotation() {
        // Each step is made at one of the two proxies first: [1], [1 2], [2 1], [2].
        let steps: [&[u8]; 4] = [&[1], &[1, 2], &[2, 1], &[2]];
        for pair in steps.windows(2) {
            for (from, to) in [(pair[0], pair[1]), (pair[1], pair[0])] {
                let datagram = Sender::new(keys(from), 7, 1).seal(3, b"x");
                assert!(Receiver::new(keys(to), 3).open(&datagram, |_| true).is_ok(), "{from:?} to {to:?}");
            }
        }
        let datagram = Sender::new(keys(&[1]), 7, 1).seal(3, b"x");
        assert_eq!(Receiver::new(keys(&[2]), 3).open(&datagram, |_| true), Err(RejectReason::Key));
    }

    #[test]
    fn short_keys_and_duplicate_ids_are_refused_and_keys_are_not_shown() {
        assert!(Keys::new(vec![]).is_err());
        assert!(Keys::new(vec![(1, vec![0; KEY_BYTES_MIN - 1])]).is_err());
        assert!(Keys::new(vec![(1, vec![0; 32]), (1, vec![1; 32])]).is_err());
        assert_eq!(format!("{:?}", keys(&[4, 200])), "[4, 200]");
    }
}
