//! What proxies say to each other, a datagram each. Whoever answers repeats the nonce of what it answers, so that an old
//! answer answers nothing.

use super::seal::Bad;
use super::{Accepted, Ballot, Hash, Kind, ProxyNumber, Standing};
use crate::interface::Time;
use serde::{Deserialize, Serialize};

/// Longest payload, in bytes: with its head and code a datagram of no more than 1,200.
pub const LONGEST: usize = 1_100;
/// The version of the format. Another one is not understood, and said so.
const FORMAT: u8 = 1;

/// One message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// What holds? Anyone to a voter.
    Ask {
        /// Repeated in the answer.
        nonce: u64,
        /// Version of the member list that the one who asks holds; 0: none.
        list: u64,
        /// The turn that it acts on, by kind: whom a change waits for is to be seen.
        turns: [u64; 2],
    },
    /// A voter's answer: what it has accepted last of each kind.
    Told {
        /// That of the question.
        nonce: u64,
        /// By kind.
        accepted: [Accepted; 2],
        /// The highest version of the member list that it has heard of, and who holds that.
        list: (u64, ProxyNumber),
        /// The voter's clock, in us: two clocks that run apart by more than is allowed must be found.
        clock: Time,
    },
    /// A voter cannot answer: what it has promised before its start may be lost.
    Forgot {
        /// That of the question.
        nonce: u64,
    },
    /// Will you accept nothing below this ballot?
    Prepare {
        /// What it is about.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
    },
    /// I will not; this is what I have accepted last.
    Promised {
        /// What it is about.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// The last accepted.
        accepted: Accepted,
    },
    /// Accept this.
    Accept {
        /// What it is about.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// The standing.
        standing: Standing,
    },
    /// It is accepted.
    Accepts {
        /// What it is about.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
    },
    /// A later ballot was promised: this one comes to nothing here.
    Denied {
        /// What it is about.
        kind: Kind,
        /// The ballot that is denied.
        ballot: Ballot,
        /// The later one.
        promised: Ballot,
    },
    /// It cannot be accepted before this document is here.
    Lacks {
        /// What it is about.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// The document's hash.
        hash: Hash,
    },
}

impl Message {
    /// Its bytes.
    pub fn write(&self) -> Vec<u8> {
        // Nothing in it can fail to be written.
        postcard::to_extend(self, vec![FORMAT]).unwrap_or_default()
    }

    /// Reads one.
    ///
    /// # Errors
    /// When it is none, or of another version of the format.
    pub fn read(bytes: &[u8]) -> Result<Self, Bad> {
        let (format, rest) = bytes.split_first().ok_or(Bad::Short)?;
        if *format != FORMAT || bytes.len() > LONGEST {
            return Err(Bad::Unreadable);
        }
        match postcard::take_from_bytes(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(Bad::Unreadable),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{Holds, Version};

    #[test]
    fn the_longest_message_fits_a_datagram_and_comes_back_as_it_was() {
        let version = Version { number: u64::MAX, hash: Hash([255; 32]) };
        let standing = Standing { turn: u64::MAX, holds: Holds::Between { from: version, to: version } };
        let ballot = Ballot { epoch: u32::MAX, round: u32::MAX, by: ProxyNumber::MAX, start: u64::MAX };
        let accepted = Accepted { ballot, standing };
        let long = Message::Told {
            nonce: u64::MAX,
            accepted: [accepted; 2],
            list: (u64::MAX, ProxyNumber::MAX),
            clock: Time::MAX,
        };
        let bytes = long.write();
        assert!(bytes.len() < 300, "{}", bytes.len());
        assert_eq!(Message::read(&bytes), Ok(long));
    }

    #[test]
    fn what_is_cut_off_longer_or_of_another_format_is_no_message() {
        let bytes = Message::Ask { nonce: 300, list: 5, turns: [1, 2] }.write();
        for length in 0..bytes.len() {
            assert!(Message::read(&bytes[..length]).is_err());
        }
        assert_eq!(Message::read(&[&bytes[..], &[0]].concat()), Err(Bad::Unreadable));
        let mut newer = bytes.clone();
        newer[0] = FORMAT + 1;
        assert_eq!(Message::read(&newer), Err(Bad::Unreadable));
        assert_eq!(Message::read(&[FORMAT, 200, 1]), Err(Bad::Unreadable));
    }
}
