//! Agreement between the proxies of a fleet on versions of the shared settings and of the list of members that
//! operators have suspended, so that no two proxies act on versions that contradict each other. This module is sans
//! I/O and holds no clock; `src/agreement_io` provides sockets, storage and time.
//!
//! A few proxies are voters. For each kind of document a voter keeps the [`RegisterValue`] that it accepted last.
//! Voters run Paxos on one register for each kind, without a log and without a leader: a value is chosen when a
//! majority of the voters has accepted it in one ballot. Every proxy acts under a lease: a proxy that
//! has seen a value chosen, from the answers of a majority to one query, may act on it for the length of a lease,
//! counted from when it sent the query.
//!
//! A change takes two values: [`ActiveVersions::Transition`] between two versions, during which all proxies act by
//! the strictest rules that contradict neither ([`rules`]), and then [`ActiveVersions::Single`], the new version
//! alone. The second value is proposed only when every lease on the previous version has certainly expired. A proxy
//! therefore acts on the new version alone only when no proxy acts on the old one alone any more, no matter which
//! proxies are slow, stopped or cut off. This relies only on clocks that run at about the same rate.
//! `docs/agreement.md` has the proof.

pub mod document;
pub mod holder;
pub mod instance;
pub mod message;
pub mod proposer;
pub mod rules;
pub mod seal;
pub mod voter;

use crate::interface::Time;
use serde::{Deserialize, Serialize};

/// The number of a proxy within its fleet, as in the operators' file.
pub type ProxyNumber = u16;

/// The maximum number of proxies in a fleet.
pub const FLEET_MAX: usize = 4_096;
/// The maximum number of voters in a fleet.
pub const VOTERS_MAX: usize = 9;

/// The kinds of documents. Each kind has a register of its own and is agreed on independently of the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The settings that all proxies share.
    Settings,
    /// The members that operators have suspended for the whole fleet.
    Suspensions,
}

/// All kinds, in the order used by arrays that are indexed by kind.
pub const KINDS: [Kind; 2] = [Kind::Settings, Kind::Suspensions];

impl Kind {
    /// The index of this kind in arrays such as [`KINDS`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The name of this kind in logs, on the console and in status output.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Suspensions => "hands",
        }
    }
}

/// The SHA-256 hash of a document's bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Hash(pub [u8; 32]);

impl std::fmt::Debug for Hash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(self, f)
    }
}

impl std::fmt::Display for Hash {
    /// Writes the first 6 bytes in hex, which is enough to distinguish two documents.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies one version of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Version {
    /// The version number within its kind, from 1.
    pub number: u64,
    /// The hash of the document.
    pub hash: Hash,
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.number, self.hash)
    }
}

/// A Paxos ballot number. Ballots are ordered by epoch first; only operators begin a new epoch, after the voters have
/// lost their promises of the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// The epoch.
    pub epoch: u32,
    /// The round within the epoch.
    pub round: u32,
    /// The proxy that proposes in this ballot.
    pub proposer: ProxyNumber,
    /// The proposer's incarnation. It keeps ballots unique, as a restarted proxy does not know which rounds it has
    /// used.
    pub incarnation: u64,
}

/// The versions that are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub enum ActiveVersions {
    /// No version has been agreed on yet.
    #[default]
    Nothing,
    /// One version alone.
    Single(Version),
    /// A change is under way: proxies do only what both versions permit.
    Transition {
        /// The version that is being replaced.
        from: Version,
        /// The version that replaces it.
        to: Version,
    },
}

impl ActiveVersions {
    /// All versions that are in force: none, one or two.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        let (first, second) = match *self {
            ActiveVersions::Nothing => (None, None),
            ActiveVersions::Single(version) => (Some(version), None),
            ActiveVersions::Transition { from, to } => (Some(from), Some(to)),
        };
        first.into_iter().chain(second)
    }

    /// Whether both have a version in common. Two proxies may then act on them at the same time, since each does
    /// only what the common version permits.
    pub fn shares_version_with(&self, other: &ActiveVersions) -> bool {
        self.versions().any(|v| other.versions().any(|w| v == w))
    }
}

/// The value of a register: what is in force, with a revision that distinguishes two changes to the same versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct RegisterValue {
    /// The number of changes so far.
    pub revision: u64,
    /// The versions that are in force.
    pub active: ActiveVersions,
}

impl RegisterValue {
    /// The value that follows this one when `active` comes into force.
    pub fn next(&self, active: ActiveVersions) -> Self {
        RegisterValue { revision: self.revision + 1, active }
    }
}

/// The value that a voter accepted last, and the ballot in which it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AcceptedValue {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: RegisterValue,
}

/// Protocol timing. All proxies of a fleet must be configured with the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// The length of a lease, in us.
    pub lease: Time,
    /// The largest difference between the rates of two clocks, in parts per million.
    pub drift_ppm: u64,
    /// The duration of a message round trip without faults, in us. A ballot is abandoned after four of them.
    pub round: Time,
}

impl Timing {
    /// The longest time for which a lease lasts by any clock of the fleet. A proxy that has seen a value chosen
    /// waits this long to be sure that no lease on an earlier value is left anywhere.
    pub fn max_lease(&self) -> Time {
        self.lease + self.max_drift(self.lease)
    }

    /// The largest difference between two clocks after `duration`.
    pub fn max_drift(&self, duration: Time) -> Time {
        (duration * 2 * self.drift_ppm).div_ceil(1_000_000)
    }

    /// The interval between two queries to the voters.
    pub fn query_interval(&self) -> Time {
        self.lease / 4
    }

    /// How long a ballot may take at its proposer, in us.
    pub fn ballot_timeout(&self) -> Time {
        4 * self.round
    }

    /// The longest time, in us, from an operator's command until the new version is in force on every proxy that
    /// can reach the voters, without faults (T in `docs/agreement.md`): two ballots of two round trips each, the
    /// expiry of all leases between them, and the query by which the last proxy learns of the result. After a fault
    /// it counts from the end of the fault, plus one lease.
    pub fn change_bound(&self) -> Time {
        4 * self.round + self.max_lease() + self.query_interval() + self.round
    }
}

/// The number of voters that form a majority of `count`.
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
