//! Positions and roles of members, and requests that only the primary can serve.

use super::group_context::GroupContext;
use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    /// The primary; if none is known, a reachable member that the list names as the primary.
    pub(crate) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let listed = || {
            self.group_members(group)
                .find(|(_, m)| m.is_listed_primary() && self.reachable(m))
                .map(|(id, _)| id)
        };
        self.groups.get(&group).and_then(|g| g.primary).or_else(listed)
    }

    /// Records what a member says about itself. Positions are times, so of all evidence on a role the one
    /// with the highest position is the newest: a former primary that returns, or a delayed list, cannot
    /// override it. `exact` means that the note comes with an answer and not from a report.
    pub(super) fn apply_note(&mut self, id: MemberId, note: Note, exact: bool, out: &mut Vec<Action>) {
        let Note { position, role } = note;
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = position {
            m.position = m.position.max(p);
            if exact {
                m.answered_position = Some(p);
                m.position_at = self.now;
            }
        }
        let g = self.groups.entry(m.group).or_default();
        let as_of = position.unwrap_or(if exact { self.now } else { 0 });
        match role {
            Some(Role::Primary) => {
                let newest = as_of >= g.as_of.max(m.replica_position);
                if newest || g.primary.is_none() && exact {
                    g.as_of = as_of;
                    m.replica_at = 0;
                    let old = g.last_primary.replace(id).filter(|o| *o != id);
                    g.primary = Some(id);
                    if let Some(old) = old {
                        out.push(Action::Log(format!("group {}: member {} is now primary", m.group, id.0)));
                        self.cancel_attempts_at(old, out);
                    }
                }
            }
            Some(Role::Replica) if exact || position.is_some_and(|p| p > g.as_of) => {
                m.replica_at = self.now;
                m.replica_position = m.replica_position.max(as_of);
                g.primary = g.primary.filter(|p| *p != id);
            }
            _ => {}
        }
    }

    /// The clock by which positions are told has turned out to differ from what was assumed: the lag of each member is
    /// unknown again, and it may be probed at once. Known positions stay, as lower bounds.
    pub(crate) fn member_clock_changed(&mut self) {
        for member in self.members.values_mut() {
            (member.answered_position, member.last_probe) = (None, None);
        }
    }

    /// Whether a member can be sent a request that only the primary can serve.
    pub(super) fn accepts_primary_request(
        &self,
        id: MemberId,
        open: &OpenRequest,
        group: &GroupContext,
    ) -> bool {
        let m = &self.members[&id];
        self.reachable(m) && self.has_capacity((id, m), (open, group), (m.in_flight, MEMBER_WRITE_LIMIT))
    }

    /// Sends a write or fresh read to the primary. While no primary is known, one held write at a time is
    /// tried at members of unknown role, and goes on to the next one after each miss.
    pub(super) fn dispatch_to_primary(
        &mut self,
        id: RequestId,
        consistency: Consistency,
        out: &mut Vec<Action>,
    ) {
        let open = &self.open[&id];
        let group = open.group;
        let context = self.group_context(group);
        if let Some(m) = context.primary {
            if self.accepts_primary_request(m, open, &context) && self.permissions(open, Some(m)).0 {
                self.send(id, m, out);
            } else if !self.reachable(&self.members[&m]) {
                self.probe_for_primary(group, out);
            }
            return;
        }
        // A request may name any group; one for an unknown group must not leave state behind.
        if self.group_members(group).next().is_none() {
            return;
        }
        let mut ids = self.matching_members(group, |m| {
            m.replica_at == 0 || self.now >= m.replica_at + PRIMARY_TRIAL_INTERVAL
        });
        ids.retain(|m| {
            self.accepts_primary_request(*m, open, &context) && self.permissions(open, Some(*m)).0
        });
        let attempts_left = consistency == Consistency::Write
            && open.attempts.len() + 2 <= self.settings.max_attempts as usize;
        let next = ids.into_iter().min_by_key(|m| self.members[m].replica_at);
        self.probe_for_primary(group, out);
        let g = self.groups.entry(group).or_default();
        if let Some(m) = next.filter(|_| attempts_left && self.now >= g.next_primary_trial) {
            g.next_primary_trial = self.now + PRIMARY_TRIAL_INTERVAL;
            self.send(id, m, out);
        }
    }

    /// Probes the members of a group for their role while requests wait for a primary. If no primary was ever
    /// known, only a few probes are in flight at once: all routers may have started at the same time, and
    /// each probe opens a connection.
    pub(super) fn probe_for_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let known = self.groups.get(&group).is_none_or(|g| g.last_primary.is_some());
        let pending = self.matching_members(group, |m| m.probe_pending).len();
        let max = if known { KNOWN_GROUP_ROLE_PROBES_MAX } else { ROLE_PROBES_MAX };
        let max_probes = max.saturating_sub(pending);
        let mut ids = self.matching_members(group, |m| !m.probe_pending);
        ids.sort_by_key(|id| {
            (hash_fraction(self.settings.seed, u64::from(id.0), ROLE_PROBE_INTERVAL) * 1e9) as u64
        });
        ids.into_iter()
            .filter(|id| self.probe(*id, ROLE_PROBE_INTERVAL, out))
            .take(max_probes)
            .for_each(drop);
    }

    pub(super) fn group_members(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &MemberState)> {
        let ids = self.groups.get(&group).map_or(&[][..], |g| &g.members);
        let known = ids.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)));
        known.filter(move |(_, m)| m.group == group)
    }

    pub(super) fn matching_members(
        &self,
        group: GroupId,
        fits: impl Fn(&MemberState) -> bool,
    ) -> Vec<MemberId> {
        self.group_members(group).filter(|(_, m)| fits(m)).map(|(id, _)| id).collect()
    }

    pub(super) fn probe(&mut self, id: MemberId, interval: Time, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return false };
        let lost = m.last_probe.is_none_or(|t| now >= t + PROBE_TIMEOUT);
        let due = m.last_probe.is_none_or(|t| now >= t + interval);
        let send = self.settings.probing && m.in_service && due && (lost || !m.probe_pending);
        if send {
            (m.last_probe, m.probe_pending) = (Some(now), true);
            out.push(Action::Probe { member: id });
        }
        send
    }
}
