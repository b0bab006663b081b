//! Who may speak: everything between proxies, and every document, is authenticated with a key that all of a fleet have.
//! Keys have ids, so that a new one is taken up before an old one goes: all are accepted, the first one signs.
//!
//! A datagram carries its sender, the sender's start and a number that grows; what comes a second time is dropped, and so
//! is what comes from a former start. A receiver that has itself just started knows of no former starts: what it is then
//! told of the past can only be a question, which harms nobody, or an answer to a question that it has not asked.

use super::ProxyNumber;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::HashMap;

/// Shortest key, in bytes.
pub const KEY_BYTES_MIN: usize = 16;
/// Length of the code that authenticates, in bytes.
const CODE: usize = 32;
/// Numbers behind the highest that may still come once.
const WINDOW: u64 = 64;
/// Sender, start, number, key id.
const HEAD: usize = 2 + 8 + 8 + 1;

/// Keys by id; the first signs.
#[derive(Clone)]
pub struct Keys(Vec<(u8, Vec<u8>)>);

impl std::fmt::Debug for Keys {
    /// Ids alone: keys are in no log.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_list().entries(self.0.iter().map(|(id, _)| id)).finish()
    }
}

/// Why something is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bad {
    /// It is too short to be anything.
    Short,
    /// No key of this id is known.
    Key,
    /// The code is wrong.
    Code,
    /// It came before, or is from a former start.
    Replayed,
    /// It cannot be read.
    Unreadable,
}

impl Keys {
    /// Keys by id, the signing one first.
    ///
    /// # Errors
    /// What is wrong with them.
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
        let (_, key) = self.0.iter().find(|(known, _)| *known == id)?;
        let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        Some(mac)
    }

    /// The signing key's id and its code for these bytes, which say what they are for.
    pub fn sign(&self, purpose: &str, bytes: &[u8]) -> (u8, [u8; CODE]) {
        let id = self.0[0].0;
        let code = self.mac(id, &[purpose.as_bytes(), bytes]).map(|mac| mac.finalize().into_bytes().into());
        (id, code.unwrap_or_default())
    }

    /// Whether the code is one of these bytes for that purpose, by a key that is known.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self, purpose: &str, bytes: &[u8], (id, code): (u8, &[u8])) -> Result<(), Bad> {
        let mac = self.mac(id, &[purpose.as_bytes(), bytes]).ok_or(Bad::Key)?;
        mac.verify_slice(code).map_err(|_| Bad::Code)
    }
}

const DATAGRAM: &str = "linentrail datagram 1";

/// Seals what one process sends.
#[derive(Debug)]
pub struct Sender {
    keys: Keys,
    me: ProxyNumber,
    start: u64,
    sent: u64,
}

impl Sender {
    /// For a proxy, and the number of its start: higher than that of any before it.
    pub fn new(keys: Keys, me: ProxyNumber, start: u64) -> Self {
        Sender { keys, me, start, sent: 0 }
    }

    /// The datagram that carries this to `to`.
    pub fn seal(&mut self, to: ProxyNumber, payload: &[u8]) -> Vec<u8> {
        self.sent += 1;
        let mut datagram = Vec::with_capacity(HEAD + payload.len() + CODE);
        datagram.extend(self.me.to_le_bytes());
        datagram.extend(self.start.to_le_bytes());
        datagram.extend(self.sent.to_le_bytes());
        datagram.push(self.keys.0[0].0);
        datagram.extend(payload);
        // Whom it is for is signed and not sent: what is meant for another is as good as forged.
        let signed = [&datagram[..], &to.to_le_bytes()].concat();
        datagram.extend(self.keys.sign(DATAGRAM, &signed).1);
        datagram
    }
}

/// What has come of one sender.
#[derive(Debug, Default)]
struct Seen {
    start: u64,
    highest: u64,
    /// Bit n: the number `highest - n` has come.
    window: u64,
}

impl Seen {
    fn take(&mut self, start: u64, number: u64) -> Result<(), Bad> {
        if start < self.start || number == 0 {
            return Err(Bad::Replayed);
        }
        if start > self.start {
            *self = Seen { start, ..Seen::default() };
        }
        if number > self.highest {
            let ahead = number - self.highest;
            self.window = if ahead >= WINDOW { 0 } else { self.window << ahead };
            self.highest = number;
        }
        let behind = self.highest - number;
        if behind >= WINDOW || self.window & (1 << behind) != 0 {
            return Err(Bad::Replayed);
        }
        self.window |= 1 << behind;
        Ok(())
    }
}

/// Opens what has come, once.
#[derive(Debug)]
pub struct Receiver {
    keys: Keys,
    me: ProxyNumber,
    seen: HashMap<ProxyNumber, Seen>,
}

impl Receiver {
    /// For a proxy.
    pub fn new(keys: Keys, me: ProxyNumber) -> Self {
        Receiver { keys, me, seen: HashMap::new() }
    }

    /// Who sent it, in which start, and what; `known` says who may.
    ///
    /// # Errors
    /// Why it is dropped.
    pub fn open<'d>(
        &mut self,
        datagram: &'d [u8],
        known: impl Fn(ProxyNumber) -> bool,
    ) -> Result<(ProxyNumber, u64, &'d [u8]), Bad> {
        let end = datagram.len().checked_sub(CODE).filter(|end| *end >= HEAD).ok_or(Bad::Short)?;
        let (told, code) = datagram.split_at(end);
        let word = |at: usize| told[at..at + 8].try_into().map(u64::from_le_bytes).map_err(|_| Bad::Short);
        let (from, start, number) = (ProxyNumber::from_le_bytes([told[0], told[1]]), word(2)?, word(10)?);
        let signed = [told, &self.me.to_le_bytes()].concat();
        self.keys.check(DATAGRAM, &signed, (told[HEAD - 1], code))?;
        if !known(from) {
            return Err(Bad::Key);
        }
        // Only what is authentic may move the window. Bounded by those who may send at all.
        self.seen.entry(from).or_default().take(start, number)?;
        Ok((from, start, &told[HEAD..]))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(ids: &[u8]) -> Keys {
        Keys::new(ids.iter().map(|id| (*id, vec![*id; KEY_BYTES_MIN])).collect()).expect("sound keys")
    }

    #[test]
    fn what_was_sealed_opens_once_at_the_one_it_is_for() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let mut receiver = Receiver::new(keys(&[1]), 3);
        let datagram = sender.seal(3, b"word");
        assert_eq!(receiver.open(&datagram, |_| true), Ok((7, 100, &b"word"[..])));
        assert_eq!(receiver.open(&datagram, |_| true), Err(Bad::Replayed));
        let other = sender.seal(4, b"word");
        assert_eq!(receiver.open(&other, |_| true), Err(Bad::Code), "it is another's");
        let stranger = sender.seal(3, b"word");
        assert_eq!(receiver.open(&stranger, |n| n != 7), Err(Bad::Key));
    }

    #[test]
    fn each_bit_that_is_another_is_found_and_so_is_what_is_cut_off() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let datagram = sender.seal(3, b"some words");
        for bit in 0..datagram.len() * 8 {
            let mut spoilt = datagram.clone();
            spoilt[bit / 8] ^= 1 << (bit % 8);
            assert!(Receiver::new(keys(&[1]), 3).open(&spoilt, |_| true).is_err(), "bit {bit}");
        }
        for length in 0..datagram.len() {
            assert!(Receiver::new(keys(&[1]), 3).open(&datagram[..length], |_| true).is_err());
        }
    }

    #[test]
    fn datagrams_may_come_in_any_order_within_a_window_and_none_of_a_former_start() {
        let mut sender = Sender::new(keys(&[1]), 7, 100);
        let all: Vec<Vec<u8>> = (0..200).map(|_| sender.seal(3, b"")).collect();
        let mut receiver = Receiver::new(keys(&[1]), 3);
        for n in [9, 3, 8, 70, 30, 100] {
            assert!(receiver.open(&all[n], |_| true).is_ok(), "{n}");
        }
        for n in [9, 3, 30, 100, 20, 36] {
            assert_eq!(receiver.open(&all[n], |_| true), Err(Bad::Replayed), "{n}");
        }
        assert!(receiver.open(&all[37], |_| true).is_ok(), "63 behind");
        let next = Sender::new(keys(&[1]), 7, 101).seal(3, b"");
        assert!(receiver.open(&next, |_| true).is_ok());
        assert_eq!(receiver.open(&all[199], |_| true), Err(Bad::Replayed), "of the former start");
    }

    #[test]
    fn a_key_is_changed_without_a_moment_in_which_two_do_not_understand_each_other() {
        // Each step at one of them before the other: [1], [1 2], [2 1], [2].
        let steps: [&[u8]; 4] = [&[1], &[1, 2], &[2, 1], &[2]];
        for pair in steps.windows(2) {
            for (from, to) in [(pair[0], pair[1]), (pair[1], pair[0])] {
                let datagram = Sender::new(keys(from), 7, 1).seal(3, b"x");
                assert!(Receiver::new(keys(to), 3).open(&datagram, |_| true).is_ok(), "{from:?} to {to:?}");
            }
        }
        let datagram = Sender::new(keys(&[1]), 7, 1).seal(3, b"x");
        assert_eq!(Receiver::new(keys(&[2]), 3).open(&datagram, |_| true), Err(Bad::Key));
    }

    #[test]
    fn keys_that_are_short_or_named_twice_are_refused_and_never_shown() {
        assert!(Keys::new(vec![]).is_err());
        assert!(Keys::new(vec![(1, vec![0; KEY_BYTES_MIN - 1])]).is_err());
        assert!(Keys::new(vec![(1, vec![0; 32]), (1, vec![1; 32])]).is_err());
        assert_eq!(format!("{:?}", keys(&[4, 200])), "[4, 200]");
    }
}
