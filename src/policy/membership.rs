//! Applies the member list.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;
use std::collections::BTreeSet;

impl Router {
    pub(super) fn apply_list(&mut self, kind: ListKind, entries: &[Member]) {
        self.completed_load.members_changed();
        match kind {
            ListKind::Failed => return self.list_calls.failed(self.now, &self.settings),
            ListKind::Disk if self.settings.subscribe => self.list_calls.started(self.now, &self.settings),
            ListKind::Disk | ListKind::Operator => {}
            ListKind::Full | ListKind::Changes => self.list_calls.answered(),
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) && !self.settings.rules.removal_not_binding {
            let listed: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (id, m) in self.members.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                (m.in_service, m.removed) = (false, true);
                self.departing.insert(*id);
                self.groups.entry(m.group).and_modify(|g| g.primary = g.primary.filter(|p| p != id));
            }
        }
        for e in entries {
            self.apply_entry(e, kind == ListKind::Disk);
        }
        self.forget_departed();
    }

    /// Forgets the removed members without attempts in flight: nothing more comes from them. Members are replaced
    /// all the time, under new ids. Should one return, the list tells its start, and it proves its position again.
    fn forget_departed(&mut self) {
        let Router { members, departing, groups, .. } = self;
        let mut changed = BTreeSet::new();
        departing.retain(|id| {
            let Some(m) = members.get(id).filter(|m| m.removed && !m.in_service) else { return false };
            let stays = m.in_flight > 0;
            if !stays {
                changed.insert(m.group);
                members.remove(id);
            }
            stays
        });
        for group in changed {
            let Some(g) = groups.get_mut(&group) else { continue };
            g.members.retain(|id| members.contains_key(id));
        }
    }

    pub(super) fn apply_entry(&mut self, e: &Member, disk: bool) {
        let now = self.now;
        if e.service_state == ServiceState::Removed && !self.members.contains_key(&e.id) {
            return;
        }
        let former_group = self.members.get(&e.id).map(|m| m.group);
        let m = self
            .members
            .entry(e.id)
            .or_insert_with(|| MemberState { last_progress: now, ..MemberState::default() });
        (m.zone, m.group, m.removed) = (e.zone, e.group, e.service_state == ServiceState::Removed);
        // Where removal is not binding, only draining closes a member: a list that marks all members as
        // removed while they serve then changes nothing, and a member that is really gone shows that itself.
        if e.service_state != ServiceState::Removed || !self.settings.rules.removal_not_binding {
            m.in_service = e.service_state == ServiceState::Active;
        }
        if e.up_since != m.up_since {
            m.up_since = e.up_since;
            // A start that seems to lie in the future has only just happened.
            m.started = e.up_since.map(|t| t.min(now));
            (m.errors, m.suspicion) = (MovingAverage::default(), None);
        }
        let new_primary = e.primary && !m.listed_primary && e.service_state == ServiceState::Active;
        m.listed_primary = e.primary;
        let (in_service, removed) = (m.in_service, m.removed);
        if removed {
            self.departing.insert(e.id);
        }
        if let Some(former) = former_group.filter(|former| *former != e.group) {
            self.groups.entry(former).and_modify(|g| g.members.retain(|id| *id != e.id));
        }
        let g = self.groups.entry(e.group).or_default();
        // A known member is in its group's list already.
        if former_group != Some(e.group) {
            g.members.push(e.id);
        }
        if !in_service {
            g.primary = g.primary.filter(|id| *id != e.id);
        }
        let usable = disk || self.settings.list_role == ListedRole::Delayed;
        if new_primary && usable && (g.primary.is_none() || now > g.as_of + LISTED_ROLE_LEAD) {
            g.primary = Some(e.id);
            g.last_primary = Some(e.id);
        }
    }
}
