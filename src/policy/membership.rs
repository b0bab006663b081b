//! The member list, as far as the router acts on it.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;
use std::collections::BTreeSet;

impl Router {
    pub(super) fn list(&mut self, kind: ListKind, entries: &[Member]) {
        match kind {
            ListKind::Failed => return self.lists.failed(self.now, &self.set),
            ListKind::Disk if self.set.subscribe => self.lists.started(self.now, &self.set),
            ListKind::Disk | ListKind::Operator => {}
            ListKind::Full | ListKind::Changes => self.lists.answered(),
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) && !self.set.rules.removal_not_binding {
            let named: BTreeSet<MemberId> = entries.iter().map(|e| e.id).collect();
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                (m.listed, m.gone) = (false, true);
            }
        }
        for e in entries {
            self.entry(e, kind == ListKind::Disk);
        }
        // Members are replaced all the time, under new ids. Of one that is gone and has nothing out nothing
        // comes; should it return, the list tells of its start, and it proves its position anew.
        self.members.retain(|_, m| m.listed || !m.gone || m.out > 0);
        for g in self.groups.values_mut() {
            g.members.retain(|id| self.members.contains_key(id));
            g.primary = g.primary.filter(|id| self.members.get(id).is_some_and(|m| m.listed));
        }
    }

    pub(super) fn entry(&mut self, e: &Member, disk: bool) {
        let now = self.now;
        if e.service_state == ServiceState::Removed && !self.members.contains_key(&e.id) {
            return;
        }
        let m = self.members.entry(e.id).or_insert_with(|| Seen { quiet_since: now, ..Seen::default() });
        (m.zone, m.group, m.gone) = (e.zone, e.group, e.service_state == ServiceState::Removed);
        // Where being called gone does not bind, only draining closes a member: a list that calls all members
        // gone while they serve then changes nothing, and one that is really gone shows by its own answers.
        if e.service_state != ServiceState::Removed || !self.set.rules.removal_not_binding {
            m.listed = e.service_state == ServiceState::Active;
        }
        if e.up_since != m.up_since {
            m.up_since = e.up_since;
            // A start that seems to lie ahead has only just happened.
            m.started = e.up_since.map(|t| t.min(now));
            (m.errors, m.doubt) = (Share::default(), None);
        }
        let g = self.groups.entry(e.group).or_insert_with(|| Group { since: now, ..Group::default() });
        if !g.members.contains(&e.id) {
            g.members.push(e.id);
        }
        let newly = e.primary && !m.head && e.service_state == ServiceState::Active;
        m.head = e.primary;
        let told = disk || self.set.list_role == ListedRole::Delayed;
        if newly && told && (g.primary.is_none() || now > g.as_of + LIST_ROLE_AGE) {
            g.set_primary(e.id, now);
            g.last = Some(e.id);
        }
    }
}
