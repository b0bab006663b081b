//! One set of rules: versions of settings and of the operators' word that all proxies of a fleet agree on, so that no two
//! act on versions that contradict each other. None of this does I/O or holds a clock; `src/agreement_io` carries it.
//!
//! A few proxies are voters. Each keeps, for each kind of document, the [`Standing`] that it last accepted, in ballots of
//! the classic kind (Paxos, one register, no log and no leader): a standing is chosen when a majority of the voters has
//! accepted it in one ballot. All proxies act by a lease: whoever has seen a standing chosen, by answers of a majority to
//! one question, may act on it for a lease's length from when it asked.
//!
//! A change goes through two standings: [`Holds::Between`] two versions, on which all act by the strictest rules that
//! contradict neither ([`rules`]), and then [`Holds::One`], the new version alone. The second is proposed only when
//! every lease on the version before has surely run out. So whoever acts on the new version alone does so when nobody
//! acts on the old one alone any more, however slow, stopped or cut off anyone is: the bound rests on clocks that run at
//! about the same rate, and on nothing else. `docs/agreement.md` has the argument.

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

/// The number of a proxy in its fleet, as the operators' file names it.
pub type ProxyNumber = u16;

/// Most proxies of a fleet, and most voters among them.
pub const FLEET_MAX: usize = 4_096;
/// See [`FLEET_MAX`].
pub const VOTERS_MAX: usize = 9;

/// What is agreed on, each by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The settings that all share.
    Settings,
    /// Members that are out by hand for the whole fleet.
    Hands,
}

/// Both, in the order in which arrays of them are kept.
pub const KINDS: [Kind; 2] = [Kind::Settings, Kind::Hands];

impl Kind {
    /// Its place in such an array.
    pub fn at(self) -> usize {
        self as usize
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Settings => "settings",
            Kind::Hands => "hands",
        }
    }
}

/// A hash of a document's bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Hash(pub [u8; 32]);

impl std::fmt::Debug for Hash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::fmt::Display::fmt(self, f)
    }
}

impl std::fmt::Display for Hash {
    /// Its first bytes, enough to tell two documents apart.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0[..6].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One version of a document: its number among all of its kind, and what it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Version {
    /// The number, from 1.
    pub number: u64,
    /// The hash of the document.
    pub hash: Hash,
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.number, self.hash)
    }
}

/// A ballot. An epoch begins only by the operators' word, after all that was promised before it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Ballot {
    /// The epoch.
    pub epoch: u32,
    /// Its round.
    pub round: u32,
    /// Whose it is ...
    pub by: ProxyNumber,
    /// ... in which of its starts: whoever begins anew does not know which rounds it has had.
    pub start: u64,
}

/// What is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub enum Holds {
    /// No version yet.
    #[default]
    Nothing,
    /// One version.
    One(Version),
    /// A change has been prepared: whatever contradicts either version is left alone.
    Between {
        /// The version that holds.
        from: Version,
        /// The one that is to hold.
        to: Version,
    },
}

impl Holds {
    /// The versions that it names.
    pub fn versions(&self) -> impl Iterator<Item = Version> {
        let (one, other) = match *self {
            Holds::Nothing => (None, None),
            Holds::One(version) => (Some(version), None),
            Holds::Between { from, to } => (Some(from), Some(to)),
        };
        one.into_iter().chain(other)
    }

    /// Whether nobody can act on one of them alone while another acts on the other alone: they name a version in common,
    /// by which whatever either permits is permitted.
    pub fn agrees(&self, other: &Holds) -> bool {
        self.versions().any(|v| other.versions().any(|w| v == w))
    }
}

/// What is in force, and how often that has changed: two changes to the same are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Standing {
    /// Changes so far.
    pub turn: u64,
    /// What holds.
    pub holds: Holds,
}

impl Standing {
    /// What comes after it.
    pub fn next(&self, holds: Holds) -> Self {
        Standing { turn: self.turn + 1, holds }
    }
}

/// What a voter has accepted last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Accepted {
    /// In which ballot.
    pub ballot: Ballot,
    /// What.
    pub standing: Standing,
}

/// The times that all of a fleet must have alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// How long a lease lasts, in us.
    pub lease: Time,
    /// By how much two clocks may run apart, in parts of a million.
    pub drift_ppm: u64,
    /// How long a round of messages may take where nothing fails, in us; a ballot is given up after four of them.
    pub round: Time,
}

impl Timing {
    /// How long whoever has seen a standing chosen waits until no lease on one before it lasts anywhere.
    pub fn max_lease(&self) -> Time {
        self.lease + self.drift(self.lease)
    }

    /// What a span may be apart on two clocks.
    pub fn drift(&self, span: Time) -> Time {
        (span * 2 * self.drift_ppm).div_ceil(1_000_000)
    }

    /// Between two questions to the voters.
    pub fn asks(&self) -> Time {
        self.lease / 4
    }

    /// How long a ballot may last at its proposer, in us.
    pub fn ballot(&self) -> Time {
        4 * self.round
    }

    /// T: the longest time from the operators' word until the new version is in force wherever the voters can be reached,
    /// in us, where nothing fails: two ballots of two rounds each, the lapse of all leases between them, and the question
    /// by which the last one hears of it. After a fault it counts from the end of the fault, and a lease more.
    pub fn change_bound(&self) -> Time {
        4 * self.round + self.max_lease() + self.asks() + self.round
    }
}

/// How many of so many are a majority.
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}
