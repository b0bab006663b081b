//! The member list as the module gets it: what discovery says, and what the operators say by hand, joined in this one
//! place. It does no I/O and holds no clock.
//!
//! A member that was taken out by hand is told as draining for as long as it is out, whatever discovery lists of it in
//! the meantime; where discovery says that it is gone, it is gone. Being out goes by the member's id, so that it lasts
//! over whole lists, over the member's leaving and over its return. Put back, a member counts as started at that
//! moment, since whoever took it out is likely to have restarted it; a start since it went out that discovery knows of
//! is better knowledge and wins.

use crate::interface::{ListKind, Member, ServiceState, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Most members that may be out at a time.
pub const MAX_SUSPENDED: usize = 1_024;
/// Most ids remembered of members that have left, and how long, in us: a call about one of them is no mistake.
const LEFT_MOST: usize = 4_096;
const LEFT_KEPT: Time = 600_000_000;
/// How long it is remembered that a member was put back, in us: much longer than any takes to warm up.
const BACK_KEPT: Time = 600_000_000;

/// An entry of the member list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedMember {
    /// Its id, as the list names it.
    pub name: Arc<str>,
    /// What the module needs to know.
    pub member: Member,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why a call about a member is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspensionError {
    /// No list has named it.
    UnknownMember,
    /// As many are out as may be.
    TooManySuspended,
}

/// What the operators said of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspension {
    /// When they took it out.
    pub suspended_at: Time,
    /// When they put it back; none: it is out.
    pub restored_at: Option<Time>,
}

impl Suspension {
    fn is_out(&self) -> bool {
        self.restored_at.is_none()
    }
}

/// All that the operators said, by the members' ids.
pub type Suspensions = BTreeMap<Arc<str>, Suspension>;

/// Both words on every member.
#[derive(Debug, Default)]
pub struct EffectiveList {
    /// What discovery last said of the members that it lists.
    listed: BTreeMap<Arc<str>, ListedMember>,
    hands: Suspensions,
    /// Those that discovery no longer lists, and since when.
    left: BTreeMap<Arc<str>, Time>,
    /// Starts that others have seen and discovery may not know of.
    begun: BTreeMap<Arc<str>, Time>,
    /// Those that are out by hand for the whole fleet.
    fleet: BTreeSet<Arc<str>>,
}

impl EffectiveList {
    /// Discovery's word, turned into what the module is to be told.
    pub fn list(&mut self, kind: ListKind, entries: Vec<ListedMember>, now: Time) -> Vec<ListedMember> {
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            let named: BTreeSet<&Arc<str>> = entries.iter().map(|e| &e.name).collect();
            let gone: Vec<Arc<str>> = self.listed.keys().filter(|n| !named.contains(n)).cloned().collect();
            gone.into_iter().for_each(|name| self.leave(name, now));
        }
        for entry in &entries {
            if entry.member.service_state == ServiceState::Removed {
                self.leave(entry.name.clone(), now);
            } else {
                self.left.remove(&entry.name);
                self.listed.insert(entry.name.clone(), entry.clone());
            }
        }
        self.forget(now);
        entries.into_iter().map(|entry| self.told(entry)).collect()
    }

    fn leave(&mut self, name: Arc<str>, now: Time) {
        if self.listed.remove(&name).is_some() {
            self.left.insert(name, now);
        }
    }

    fn forget(&mut self, now: Time) {
        self.left.retain(|_, since| now < *since + LEFT_KEPT);
        while self.left.len() > LEFT_MOST {
            let oldest = self.left.iter().min_by_key(|(_, since)| **since).map(|(name, _)| name.clone());
            oldest.map(|name| self.left.remove(&name));
        }
        self.hands.retain(|_, hand| hand.restored_at.is_none_or(|back| now < back + BACK_KEPT));
        let listed = &self.listed;
        self.begun.retain(|name, at| now < *at + BACK_KEPT && listed.contains_key(name));
    }

    /// An entry of discovery's as the module is to see it.
    fn told(&self, mut entry: ListedMember) -> ListedMember {
        let member = &mut entry.member;
        if member.service_state == ServiceState::Active && self.fleet.contains(&entry.name) {
            member.service_state = ServiceState::Draining;
        }
        match self.hands.get(&entry.name) {
            Some(Suspension { restored_at: None, .. }) if member.service_state == ServiceState::Active => {
                member.service_state = ServiceState::Draining;
            }
            Some(Suspension { suspended_at, restored_at: Some(restored_at) }) => {
                let proven = member.up_since.filter(|start| start > suspended_at);
                member.up_since = proven.or(Some(*restored_at));
            }
            _ => {}
        }
        member.up_since = member.up_since.max(self.begun.get(&entry.name).copied());
        entry
    }

    /// A member was seen to begin its warm-up then; what the module is to be told, if that is later than it knows. It
    /// lasts over later lists, until one no longer names the member: none is warmer than its latest start allows.
    pub fn warms(&mut self, name: &Arc<str>, at: Time) -> Option<ListedMember> {
        let known = self.again(name).map(|e| e.member.up_since);
        if known.is_some_and(|start| start >= Some(at)) {
            return None;
        }
        self.begun.insert(name.clone(), at);
        self.again(name)
    }

    /// Discovery's word on the members that it lists.
    pub fn listed(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed.values()
    }

    /// What the module is to be told of a listed member.
    pub fn again(&self, name: &str) -> Option<ListedMember> {
        self.listed.get(name).map(|entry| self.told(entry.clone()))
    }

    /// The clock that lists tell starts by is by so many us further ahead than was thought; what the module is to be told.
    pub fn shift_starts(&mut self, us: i64) -> Vec<ListedMember> {
        let started = self.listed.values_mut().filter(|entry| entry.member.up_since.is_some());
        let names: Vec<Arc<str>> = started
            .map(|entry| {
                entry.member.up_since = entry.member.up_since.map(|at| at.saturating_add_signed(-us));
                entry.name.clone()
            })
            .collect();
        names.iter().filter_map(|name| self.again(name)).collect()
    }

    /// Whether a member of this id may be called about: a list has named it, or another process of this proxy knew it.
    pub fn knows(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.left.contains_key(name) || self.hands.contains_key(name)
    }

    /// Whether any member is listed that may be sent to.
    pub fn serves(&self) -> bool {
        let usable = |e: &ListedMember| e.member.service_state == ServiceState::Active;
        self.listed.values().any(|entry| usable(&self.told(entry.clone())))
    }

    /// Takes a member out, which may be said more than once; what the module is to be told, if anything.
    ///
    /// # Errors
    /// Why that cannot be done.
    pub fn suspend(&mut self, name: &str, now: Time) -> Result<Option<ListedMember>, SuspensionError> {
        if !self.knows(name) {
            return Err(SuspensionError::UnknownMember);
        }
        if self.hands.get(name).is_some_and(Suspension::is_out) {
            return Ok(None);
        }
        if self.hands.values().filter(|h| h.is_out()).count() >= MAX_SUSPENDED {
            return Err(SuspensionError::TooManySuspended);
        }
        // Later than all that was said before, also by a process whose clock was ahead of this one's.
        let before = self
            .hands
            .get(name)
            .map_or(0, |hand| hand.restored_at.unwrap_or(hand.suspended_at).max(hand.suspended_at) + 1);
        self.hands.insert(name.into(), Suspension { suspended_at: now.max(before), restored_at: None });
        Ok(self.again(name))
    }

    /// Puts a member back, however often it was taken out; what the module is to be told, if anything.
    ///
    /// # Errors
    /// Why that cannot be done.
    pub fn restore(&mut self, name: &str, now: Time) -> Result<Option<ListedMember>, SuspensionError> {
        if !self.knows(name) {
            return Err(SuspensionError::UnknownMember);
        }
        match self.hands.get_mut(name) {
            Some(hand) if hand.is_out() => hand.restored_at = Some(now.max(hand.suspended_at + 1)),
            _ => return Ok(None),
        }
        Ok(self.again(name))
    }

    /// These are out for the whole fleet, in place of all that were; what the module is to be told. One that comes back
    /// counts as started now, like one that is put back here.
    pub fn fleet(&mut self, out: BTreeSet<Arc<str>>, now: Time) -> Vec<ListedMember> {
        let former = std::mem::replace(&mut self.fleet, out);
        let back: Vec<Arc<str>> = former.difference(&self.fleet).cloned().collect();
        back.into_iter().filter(|name| self.listed.contains_key(name)).for_each(|name| {
            self.begun.insert(name, now);
        });
        former.symmetric_difference(&self.fleet).filter_map(|name| self.again(name)).collect()
    }

    /// All that the operators said.
    pub fn hands(&self) -> &Suspensions {
        &self.hands
    }

    /// What the operators said to any process of this proxy, in place of what is known of it here; what the module is
    /// to be told.
    pub fn adopt(&mut self, hands: Suspensions) -> Vec<ListedMember> {
        let former = std::mem::replace(&mut self.hands, hands);
        let changed = |name: &&Arc<str>| former.get(*name) != self.hands.get(*name);
        let names: BTreeSet<&Arc<str>> = former.keys().chain(self.hands.keys()).filter(changed).collect();
        names.into_iter().filter_map(|name| self.again(name)).collect()
    }
}
