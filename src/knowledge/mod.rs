//! Facts that a proxy has learned at run time, each with the time at which it was learned. Another process of the
//! same proxy and later starts of the proxy import them. This module does no I/O and holds no clock.
//!
//! Merging is associative, commutative and idempotent: facts that arrive twice, late or out of order give the same
//! result. [`evidence`] decides what a fact may be used for; [`mod@format`] defines how facts are serialized.

pub mod evidence;
pub mod format;

use crate::effective_list::{Suspension, Suspensions};
use crate::interface::{Position, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of members, and of sessions, in one file.
pub const MAX_ENTRIES: usize = 16_384;

/// What is known about a member, which its id in the member list identifies.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberFacts {
    /// When the member started, according to the member list at that time; none if the list did not say.
    pub start: Option<Time>,
    /// Highest position that the member has reported since that start; 0 if none.
    pub position: Position,
    /// When the member last reported.
    pub last_heard: Time,
    /// Whether the member is the primary; none if its role is unknown.
    pub primary: Option<bool>,
    /// When the role was observed.
    pub role_at: Time,
    /// When the member's slow start began, while that lasts.
    pub warm_up_start: Option<Time>,
}

impl MemberFacts {
    /// Whether the member has shown nothing yet, so that nobody learns anything from these facts.
    pub fn is_empty(&self) -> bool {
        self.position == 0 && self.primary.is_none() && self.warm_up_start.is_none()
    }

    /// Merges other facts about the same member. Facts from before its latest start no longer apply and are dropped.
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
        // The later begin of the slow start wins, so that the member is never taken to be further along than it is.
        self.warm_up_start = self.warm_up_start.max(other.warm_up_start);
    }
}

/// What a proxy has learned about members and sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LearnedFacts {
    /// The members, by id.
    pub members: BTreeMap<Arc<str>, MemberFacts>,
    /// Last commit of each session that wrote recently.
    pub sessions: BTreeMap<Arc<str>, Position>,
    /// Latest commit of all other sessions.
    pub floor: Position,
}

impl LearnedFacts {
    /// Merges other facts into these.
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

/// Merges other suspensions into these. For each member the later suspension wins; of the same suspension, the latest
/// restore.
pub fn merge_suspensions(suspensions: &mut Suspensions, other: &Suspensions) {
    let order = |suspension: &Suspension| (suspension.suspended_at, suspension.restored_at);
    for (name, suspension) in other {
        match suspensions.get_mut(name) {
            Some(known) if order(known) >= order(suspension) => {}
            Some(known) => *known = *suspension,
            None => drop(suspensions.insert(name.clone(), *suspension)),
        }
    }
}

/// A text, with the last time at which it was in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimestampedText {
    /// When the text was last in force.
    pub at: Time,
    /// The text itself.
    pub text: Arc<str>,
}

/// All that a proxy knows and passes on to its later starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// Facts about members and sessions.
    pub learned: LearnedFacts,
    /// Members that the operators have suspended or restored.
    pub suspensions: Suspensions,
    /// The configuration that was last in force.
    pub settings: Option<TimestampedText>,
    /// The last member list, in discovery's JSON format.
    pub list: Option<TimestampedText>,
}

impl Knowledge {
    /// Merges other knowledge into this.
    pub fn merge(&mut self, other: &Knowledge) {
        self.learned.merge(&other.learned);
        merge_suspensions(&mut self.suspensions, &other.suspensions);
        for (mine, other) in [(&mut self.settings, &other.settings), (&mut self.list, &other.list)] {
            if *other > *mine {
                *mine = other.clone();
            }
        }
    }
}

#[cfg(test)]
mod tests;
