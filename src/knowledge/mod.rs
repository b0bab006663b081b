//! What a proxy knows beyond what its module is told anew: facts, each with when it was learned, that other processes
//! of the proxy and later starts of it take in. It does no I/O and holds no clock.
//!
//! Merging is associative, commutative and idempotent: whatever comes twice, late or in another order leaves the same.
//! What a fact may be used for is [`evidence`]'s to say; how facts are written down, [`mod@format`]'s.

pub mod evidence;
pub mod format;

use crate::effective_list::{Suspension, Suspensions};
use crate::interface::{Position, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most members and sessions that are written down or taken from one writing.
pub const MAX_ENTRIES: usize = 16_384;

/// What is known of a member, by its id in the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberFacts {
    /// Its start, as the list had it when this was learned; none: the list did not say.
    pub start: Option<Time>,
    /// Highest position heard since that start; 0: none.
    pub position: Position,
    /// When it was last heard.
    pub last_heard: Time,
    /// Whether it is the primary, where it has shown its role ...
    pub primary: Option<bool>,
    /// ... and as of when.
    pub role_at: Time,
    /// Start of its warm-up, while that lasts.
    pub warm_up_start: Option<Time>,
}

impl MemberFacts {
    /// Takes in what else is known of the member. What was learned before its latest start is of another life.
    pub fn merge(&mut self, other: &MemberFacts) {
        if self.start != other.start {
            if other.start > self.start {
                *self = other.clone();
            }
            return;
        }
        self.position = self.position.max(other.position);
        self.last_heard = self.last_heard.max(other.last_heard);
        if (other.role_at, other.primary) > (self.role_at, self.primary) {
            (self.role_at, self.primary) = (other.role_at, other.primary);
        }
        // Warmth never counts as more than it was.
        self.warm_up_start = self.warm_up_start.max(other.warm_up_start);
    }
}

/// What was learned of members and sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LearnedFacts {
    /// The members, by id.
    pub members: BTreeMap<Arc<str>, MemberFacts>,
    /// The last commits of sessions that wrote lately ...
    pub sessions: BTreeMap<Arc<str>, Position>,
    /// ... and the latest of all others.
    pub floor: Position,
}

impl LearnedFacts {
    /// Takes in what else is known.
    pub fn merge(&mut self, other: &LearnedFacts) {
        for (name, facts) in &other.members {
            match self.members.get_mut(name) {
                Some(known) => known.merge(facts),
                None => drop(self.members.insert(name.clone(), facts.clone())),
            }
        }
        for (name, at) in &other.sessions {
            let known = self.sessions.entry(name.clone()).or_default();
            *known = (*at).max(*known);
        }
        self.floor = self.floor.max(other.floor);
    }
}

/// Takes in what else the operators said: the later taking out wins, and of one taking out the latest putting back.
pub fn merge_suspensions(hands: &mut Suspensions, other: &Suspensions) {
    let order = |hand: &Suspension| (hand.suspended_at, hand.restored_at);
    for (name, hand) in other {
        match hands.get_mut(name) {
            Some(known) if order(known) >= order(hand) => {}
            Some(known) => *known = *hand,
            None => drop(hands.insert(name.clone(), *hand)),
        }
    }
}

/// A text and when it held last.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimestampedText {
    /// When it last held.
    pub at: Time,
    /// The text.
    pub text: Arc<str>,
}

/// All that a proxy knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Of members and sessions.
    pub learned: LearnedFacts,
    /// What the operators said.
    pub suspensions: Suspensions,
    /// The configuration that last held.
    pub settings: Option<TimestampedText>,
    /// The member list that was last held, as discovery words it.
    pub list: Option<TimestampedText>,
}

impl Knowledge {
    /// Takes in what else is known.
    pub fn merge(&mut self, other: &Knowledge) {
        self.learned.merge(&other.learned);
        merge_suspensions(&mut self.suspensions, &other.suspensions);
        for (held, other) in [(&mut self.settings, &other.settings), (&mut self.list, &other.list)] {
            if *other > *held {
                *held = other.clone();
            }
        }
    }
}

#[cfg(test)]
mod tests;
