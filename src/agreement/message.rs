//! The messages between proxies, one in each datagram. An answer repeats the nonce or the ballot of the message
//! that it answers, so that a late answer is not taken for an answer to something else.

use super::seal::RejectReason;
use super::{AcceptedValue, Ballot, Hash, Kind, ProxyNumber, RegisterValue};
use crate::interface::Time;
use serde::{Deserialize, Serialize};

/// The maximum size of an encoded message, in bytes: with its header and MAC a datagram has at most 1,200.
pub const MAX_BYTES: usize = 1_100;
/// The version of the encoding. Messages with another one are rejected as unreadable.
const FORMAT_VERSION: u8 = 1;

/// A message of the protocol. The encoding depends on the order of variants and fields.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter what it has accepted. Any proxy sends this.
    Query {
        /// Repeated in the answer.
        nonce: u64,
        /// The version of the member list that the sender holds; 0: none.
        list_version: u64,
        /// The revision that the sender acts on, by kind, so that operators can see which proxies a change waits for.
        revisions: [u64; 2],
    },
    /// A voter's answer to a query.
    Report {
        /// The nonce of the query.
        nonce: u64,
        /// What the voter has accepted last, by kind.
        accepted: [AcceptedValue; 2],
        /// The highest version of the member list that the voter has heard of, and the proxy that holds it.
        newest_list: (u64, ProxyNumber),
        /// The voter's clock, in us, by which the sender of the query detects excessive clock drift.
        clock: Time,
    },
    /// The answer of a voter that cannot vote yet, as promises from before its start may be lost.
    Recovering {
        /// The nonce of the query.
        nonce: u64,
    },
    /// Paxos phase 1a: asks a voter to promise to accept nothing below this ballot.
    Prepare {
        /// The kind.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
    },
    /// Paxos phase 1b: the voter promises, and reports what it has accepted last.
    Promise {
        /// The kind.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// What the voter has accepted last.
        accepted: AcceptedValue,
    },
    /// Paxos phase 2a: asks a voter to accept a value.
    Accept {
        /// The kind.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// The value.
        value: RegisterValue,
    },
    /// Paxos phase 2b: the voter has accepted the value.
    Accepted {
        /// The kind.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
    },
    /// The voter refuses a ballot, as it has promised a higher one.
    Rejected {
        /// The kind.
        kind: Kind,
        /// The refused ballot.
        ballot: Ballot,
        /// The promised ballot.
        promised: Ballot,
    },
    /// The voter cannot accept a value until it has this document.
    MissingDocument {
        /// The kind.
        kind: Kind,
        /// The ballot.
        ballot: Ballot,
        /// The hash of the document.
        hash: Hash,
    },
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail for any of these fields.
        postcard::to_extend(self, vec![FORMAT_VERSION]).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// When the bytes are no message, or have another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, RejectReason> {
        let (format, rest) = bytes.split_first().ok_or(RejectReason::Short)?;
        if *format != FORMAT_VERSION || bytes.len() > MAX_BYTES {
            return Err(RejectReason::Unreadable);
        }
        match postcard::take_from_bytes(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(RejectReason::Unreadable),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{ActiveVersions, Version};

    #[test]
    fn longest_message_fits_a_datagram_and_round_trips() {
        let version = Version { number: u64::MAX, hash: Hash([255; 32]) };
        let value = RegisterValue {
            revision: u64::MAX,
            active: ActiveVersions::Transition { from: version, to: version },
        };
        let ballot =
            Ballot { epoch: u32::MAX, round: u32::MAX, proposer: ProxyNumber::MAX, incarnation: u64::MAX };
        let accepted = AcceptedValue { ballot, value };
        let long = Message::Report {
            nonce: u64::MAX,
            accepted: [accepted; 2],
            newest_list: (u64::MAX, ProxyNumber::MAX),
            clock: Time::MAX,
        };
        let bytes = long.encode();
        assert!(bytes.len() < 300, "{}", bytes.len());
        assert_eq!(Message::decode(&bytes), Ok(long));
    }

    #[test]
    fn truncated_extended_and_other_format_messages_are_rejected() {
        let bytes = Message::Query { nonce: 300, list_version: 5, revisions: [1, 2] }.encode();
        for length in 0..bytes.len() {
            assert!(Message::decode(&bytes[..length]).is_err());
        }
        assert_eq!(Message::decode(&[&bytes[..], &[0]].concat()), Err(RejectReason::Unreadable));
        let mut newer = bytes.clone();
        newer[0] = FORMAT_VERSION + 1;
        assert_eq!(Message::decode(&newer), Err(RejectReason::Unreadable));
        assert_eq!(Message::decode(&[FORMAT_VERSION, 200, 1]), Err(RejectReason::Unreadable));
    }
}
