//! The member list as the router gets it: the list from discovery with the operators' suspensions applied. It does no
//! I/O, and the caller supplies the time.
//!
//! A suspended member is reported as draining until it is restored, whatever discovery lists of it in the meantime; a
//! member that discovery reports as gone is gone. Suspensions are kept by member id, so they survive new lists and
//! the member's leaving and returning. A restored member counts as started at the time of the restore, because it was
//! probably restarted while it was suspended; a start after the suspension that discovery reports takes precedence.

use crate::interface::{ListKind, Member, ServiceState, Time};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of members that may be suspended at a time.
pub const MAX_SUSPENDED: usize = 1_024;
/// Maximum number of ids remembered of members that have left, and how long, in us: calls about them are accepted.
const MAX_LEFT: usize = 4_096;
const LEFT_RETENTION: Time = 600_000_000;
/// How long a restore is remembered, in us: much longer than any member takes to warm up.
const RESTORE_RETENTION: Time = 600_000_000;

/// An entry of the member list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedMember {
    /// Its id in the list.
    pub name: Arc<str>,
    /// The entry as the router needs it.
    pub member: Member,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl ListedMember {
    fn with_state(mut self, service_state: ServiceState) -> Self {
        self.member.service_state = service_state;
        self
    }
}

/// Why a member cannot be suspended or restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspensionError {
    /// No list has named a member of this id.
    UnknownMember,
    /// The maximum number of members is suspended already.
    TooManySuspended,
}

/// The latest suspension of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspension {
    /// When the operators suspended it.
    pub suspended_at: Time,
    /// When they restored it; `None` while it is suspended.
    pub restored_at: Option<Time>,
}

impl Suspension {
    fn is_active(&self) -> bool {
        self.restored_at.is_none()
    }
}

/// All suspensions, by the members' ids.
pub type Suspensions = BTreeMap<Arc<str>, Suspension>;

/// How the changes that a list of this kind makes are applied. Those of a whole list name the members that have left
/// as removed, so that they are changes like others; the list of a start is applied whole.
pub fn applied_as(kind: ListKind) -> ListKind {
    match kind {
        ListKind::Full => ListKind::Changes,
        other => other,
    }
}

/// The member list from discovery together with the operators' suspensions.
#[derive(Debug, Default)]
pub struct EffectiveList {
    /// The listed members, as last reported by discovery.
    listed: FxHashMap<Arc<str>, ListedMember>,
    /// Members of which the router was told something else than the list; the next list tells it again.
    overridden: FxHashSet<Arc<str>>,
    suspensions: Suspensions,
    /// Members that discovery no longer lists, and since when.
    left: BTreeMap<Arc<str>, Time>,
    /// Starts of warm-ups that discovery may not know of.
    warm_ups: BTreeMap<Arc<str>, Time>,
    /// Members that are suspended in the whole fleet.
    fleet_suspended: BTreeSet<Arc<str>>,
    /// Incremented whenever `listed` changes.
    revision: u64,
}

impl EffectiveList {
    /// Takes in a list from discovery and returns what it changes, as the router has to get it under the kind
    /// [`applied_as`]: the members that take no new requests come first.
    pub fn list(&mut self, kind: ListKind, entries: Vec<ListedMember>, now: Time) -> Vec<ListedMember> {
        let mut changes = match kind {
            ListKind::Disk | ListKind::Full => self.unlisted_as_removed(&entries),
            _ => Vec::new(),
        };
        let known = |list: &Self, entry: &ListedMember| {
            kind != ListKind::Disk
                && list.listed.get(&entry.name) == Some(entry)
                && !list.overridden.contains(&entry.name)
        };
        changes.extend(entries.into_iter().filter(|entry| !known(self, entry)));
        for entry in &changes {
            self.overridden.remove(&entry.name);
            if entry.member.service_state == ServiceState::Removed {
                self.mark_left(entry.name.clone(), now);
            } else {
                self.left.remove(&entry.name);
                self.listed.insert(entry.name.clone(), entry.clone());
            }
        }
        self.revision += u64::from(!changes.is_empty());
        self.prune(now);
        let mut changes: Vec<ListedMember> =
            changes.into_iter().map(|entry| self.effective_entry(entry)).collect();
        changes.sort_by_key(|entry| entry.member.service_state == ServiceState::Active);
        changes
    }

    /// The entries of the members that a whole list does not name, as removed.
    fn unlisted_as_removed(&self, entries: &[ListedMember]) -> Vec<ListedMember> {
        let named: FxHashSet<&Arc<str>> = entries.iter().map(|e| &e.name).collect();
        let unlisted = self.listed.values().filter(|entry| !named.contains(&entry.name));
        unlisted.cloned().map(|entry| entry.with_state(ServiceState::Removed)).collect()
    }

    /// The router was told of a member something that the list does not say: the next list that names it counts as a
    /// change.
    pub fn mark_overridden(&mut self, name: Arc<str>) {
        self.overridden.insert(name);
    }

    fn mark_left(&mut self, name: Arc<str>, now: Time) {
        if self.listed.remove(&name).is_some() {
            self.left.insert(name, now);
        }
    }

    fn prune(&mut self, now: Time) {
        self.left.retain(|_, since| now < *since + LEFT_RETENTION);
        if let Some(surplus) = self.left.len().checked_sub(MAX_LEFT).filter(|surplus| *surplus > 0) {
            let mut oldest: Vec<(Time, Arc<str>)> = self.left.iter().map(|(n, t)| (*t, n.clone())).collect();
            oldest.sort_unstable();
            for (_, name) in oldest.iter().take(surplus) {
                self.left.remove(name);
            }
        }
        self.suspensions.retain(|_, s| s.restored_at.is_none_or(|at| now < at + RESTORE_RETENTION));
        let listed = &self.listed;
        self.warm_ups.retain(|name, at| now < *at + RESTORE_RETENTION && listed.contains_key(name));
    }

    /// A listed entry with the suspensions applied, as the router gets it.
    fn effective_entry(&self, mut entry: ListedMember) -> ListedMember {
        let member = &mut entry.member;
        if member.service_state == ServiceState::Active && self.fleet_suspended.contains(&entry.name) {
            member.service_state = ServiceState::Draining;
        }
        match self.suspensions.get(&entry.name) {
            Some(Suspension { restored_at: None, .. }) if member.service_state == ServiceState::Active => {
                member.service_state = ServiceState::Draining;
            }
            Some(Suspension { suspended_at, restored_at: Some(restored_at) }) => {
                let proven = member.up_since.filter(|start| start > suspended_at);
                member.up_since = proven.or(Some(*restored_at));
            }
            _ => {}
        }
        member.up_since = member.up_since.max(self.warm_ups.get(&entry.name).copied());
        entry
    }

    /// Takes in the start of a member's warm-up. Returns the entry for the router if the start is later than the
    /// known one. The start is kept until a list no longer names the member: the warm-up counts from the latest known
    /// start.
    pub fn add_warm_up(&mut self, name: &Arc<str>, at: Time) -> Option<ListedMember> {
        let known = self.entry(name).map(|e| e.member.up_since);
        if known.is_some_and(|start| start >= Some(at)) {
            return None;
        }
        self.warm_ups.insert(name.clone(), at);
        self.entry(name)
    }

    /// The revision of the listed members: equal revisions have equal entries. 0 before the first list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The listed members, as reported by discovery.
    pub fn listed(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed.values()
    }

    /// The entry of a listed member, as the router gets it.
    pub fn entry(&self, name: &str) -> Option<ListedMember> {
        self.listed.get(name).map(|entry| self.effective_entry(entry.clone()))
    }

    /// The members' clock is ahead by `us` more than was assumed: adjusts the listed starts, and returns the changed
    /// entries for the router.
    pub fn shift_starts(&mut self, us: i64) -> Vec<ListedMember> {
        let started = self.listed.values_mut().filter(|entry| entry.member.up_since.is_some());
        let names: Vec<Arc<str>> = started
            .map(|entry| {
                entry.member.up_since = entry.member.up_since.map(|at| at.saturating_add_signed(-us));
                entry.name.clone()
            })
            .collect();
        self.revision += u64::from(!names.is_empty());
        names.iter().filter_map(|name| self.entry(name)).collect()
    }

    /// Whether a member of this id may be suspended or restored: a list has named it, or another process of this
    /// proxy knew it.
    pub fn is_known(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.left.contains_key(name) || self.suspensions.contains_key(name)
    }

    /// Whether any listed member can be sent requests.
    pub fn has_usable_member(&self) -> bool {
        let usable = |e: &ListedMember| e.member.service_state == ServiceState::Active;
        self.listed.values().any(|entry| usable(&self.effective_entry(entry.clone())))
    }

    /// Suspends a member; suspending it again has no effect. Returns the changed entry for the router, if any.
    ///
    /// # Errors
    /// Why the member cannot be suspended.
    pub fn suspend(&mut self, name: &str, now: Time) -> Result<Option<ListedMember>, SuspensionError> {
        if !self.is_known(name) {
            return Err(SuspensionError::UnknownMember);
        }
        if self.suspensions.get(name).is_some_and(Suspension::is_active) {
            return Ok(None);
        }
        if self.suspensions.values().filter(|s| s.is_active()).count() >= MAX_SUSPENDED {
            return Err(SuspensionError::TooManySuspended);
        }
        // Later than the previous suspension and restore, even if those were made by a process whose clock was ahead.
        let earliest = self
            .suspensions
            .get(name)
            .map_or(0, |s| s.restored_at.unwrap_or(s.suspended_at).max(s.suspended_at) + 1);
        self.suspensions
            .insert(name.into(), Suspension { suspended_at: now.max(earliest), restored_at: None });
        Ok(self.entry(name))
    }

    /// Restores a member, however often it was suspended. Returns the changed entry for the router, if any.
    ///
    /// # Errors
    /// Why the member cannot be restored.
    pub fn restore(&mut self, name: &str, now: Time) -> Result<Option<ListedMember>, SuspensionError> {
        if !self.is_known(name) {
            return Err(SuspensionError::UnknownMember);
        }
        match self.suspensions.get_mut(name) {
            Some(s) if s.is_active() => s.restored_at = Some(now.max(s.suspended_at + 1)),
            _ => return Ok(None),
        }
        Ok(self.entry(name))
    }

    /// Replaces the set of members that are suspended in the whole fleet, and returns the changed entries for the
    /// router. A member that is restored by this counts as started now, as after [`EffectiveList::restore`].
    pub fn set_fleet_suspended(&mut self, suspended: BTreeSet<Arc<str>>, now: Time) -> Vec<ListedMember> {
        let former = std::mem::replace(&mut self.fleet_suspended, suspended);
        let restored: Vec<Arc<str>> = former.difference(&self.fleet_suspended).cloned().collect();
        restored.into_iter().filter(|name| self.listed.contains_key(name)).for_each(|name| {
            self.warm_ups.insert(name, now);
        });
        former.symmetric_difference(&self.fleet_suspended).filter_map(|name| self.entry(name)).collect()
    }

    /// All suspensions made by the operators.
    pub fn suspensions(&self) -> &Suspensions {
        &self.suspensions
    }

    /// Replaces the suspensions by a set that includes those made at any process of this proxy, and returns the
    /// changed entries for the router.
    pub fn replace_suspensions(&mut self, suspensions: Suspensions) -> Vec<ListedMember> {
        let former = std::mem::replace(&mut self.suspensions, suspensions);
        let changed = |name: &&Arc<str>| former.get(*name) != self.suspensions.get(*name);
        let names: BTreeSet<&Arc<str>> =
            former.keys().chain(self.suspensions.keys()).filter(changed).collect();
        names.into_iter().filter_map(|name| self.entry(name)).collect()
    }
}
