//! Positions of members, who is primary, and what needs the primary.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    /// The primary; while none is known, one that is named so and can be reached.
    pub(super) fn primary(&self, group: GroupId) -> Option<MemberId> {
        let named = || self.of_group(group).find(|(_, m)| m.named() && self.reachable(m)).map(|(id, _)| id);
        self.groups.get(&group).and_then(|g| g.primary).or_else(named)
    }

    /// Takes in what a member says of itself. Positions are times, so the newest evidence of a role is the
    /// one with the highest: a returning old primary or a late list cannot overrule it.
    pub(super) fn learn(&mut self, id: MemberId, word: Note, exact: bool, out: &mut Vec<Action>) {
        let Note { position, role } = word;
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = position {
            m.position = m.position.max(p);
            if exact {
                m.told = Some(p);
                m.position_at = self.now;
            }
        }
        let g = self.groups.entry(m.group).or_default();
        let as_of = position.unwrap_or(if exact { self.now } else { 0 });
        match role {
            Some(Role::Primary) => {
                let newest = as_of >= g.as_of.max(m.replica_as_of);
                if newest || g.primary.is_none() && exact {
                    g.as_of = as_of;
                    m.replica_at = 0;
                    let old = g.last.replace(id).filter(|o| *o != id);
                    g.set_primary(id, self.now);
                    if let Some(old) = old {
                        out.push(Action::Log(format!("group {}: member {} is now primary", m.group, id.0)));
                        self.rescue(old, out);
                    }
                }
            }
            Some(Role::Replica) if exact || position.is_some_and(|p| p > g.as_of) => {
                m.replica_at = self.now;
                m.replica_as_of = m.replica_as_of.max(as_of);
                g.primary = g.primary.filter(|p| *p != id);
            }
            _ => {}
        }
    }

    /// What needs the primary waits for this router's turn, and goes one by one until all have had theirs.
    pub(super) fn before_turn(&self, open: &Open) -> bool {
        let span = self.turns((self.set.classes[open.class].aim as f64 * TURN_SHARE) as Time);
        let turn = (span as f64 * hash_fraction(self.set.seed, open.group, TURN_EACH)) as Time;
        let out = self.primary(open.group).is_some_and(|id| self.members[&id].out > 0);
        self.groups.get(&open.group).is_some_and(|g| self.now < g.since + if out { span } else { turn })
    }

    pub(super) fn takes_writes(&self, id: MemberId, open: &Open) -> bool {
        let m = &self.members[&id];
        self.reachable(m) && self.room((id, m), open, (m.out, MEMBER_WRITES))
    }

    /// A write or fresh read goes to the primary. While none is known, one held write at a time tries the
    /// members whose role is unknown, past each 'miss'.
    pub(super) fn dispatch_current(&mut self, id: RequestId, need: Consistency, out: &mut Vec<Action>) {
        let open = &self.open[&id];
        let group = open.group;
        if self.before_turn(open) {
            return;
        }
        if let Some(m) = self.primary(group) {
            if self.takes_writes(m, open) && self.allows(open, Some(m)).0 {
                self.send(id, m, out);
            } else if !self.reachable(&self.members[&m]) {
                self.seek_primary(group, out);
            }
            return;
        }
        // Any number may stand in a request: one that is no group's must leave nothing behind.
        if self.of_group(group).next().is_none() {
            return;
        }
        let mut ids = self.chosen(group, |m| m.replica_at == 0 || self.now >= m.replica_at + SCOUT_GAP);
        ids.retain(|m| self.takes_writes(*m, open) && self.allows(open, Some(*m)).0);
        let spare = need == Consistency::Write && open.attempts.len() + 2 <= self.set.max_attempts as usize;
        let next = ids.into_iter().min_by_key(|m| self.members[m].replica_at);
        self.seek_primary(group, out);
        let g = self.groups.entry(group).or_default();
        if let Some(m) = next.filter(|_| spare && self.now >= g.next_scout) {
            g.next_scout = self.now + SCOUT_GAP;
            self.send(id, m, out);
        }
    }

    /// Asks a group's members for their role while writes wait for a primary; few at a time where none was
    /// ever known here, as all routers may have started at once, and a probe is a connection, too.
    pub(super) fn seek_primary(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let known = self.groups.get(&group).is_none_or(|g| g.last.is_some());
        let asked = self.chosen(group, |m| m.probe_out).len();
        let few = if known { usize::MAX } else { SEEK_FEW.saturating_sub(asked) };
        let mut ids = self.chosen(group, |m| !m.probe_out);
        ids.sort_by_key(|id| (hash_fraction(self.set.seed, u64::from(id.0), SEEK_GAP) * 1e9) as u64);
        ids.into_iter().filter(|id| self.probe(*id, SEEK_GAP, out)).take(few).for_each(drop);
    }

    pub(super) fn of_group(&self, group: GroupId) -> impl Iterator<Item = (MemberId, &Seen)> {
        let ids = self.groups.get(&group).map_or(&[][..], |g| &g.members);
        let known = ids.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)));
        known.filter(move |(_, m)| m.group == group)
    }

    pub(super) fn chosen(&self, group: GroupId, fits: impl Fn(&Seen) -> bool) -> Vec<MemberId> {
        self.of_group(group).filter(|(_, m)| fits(m)).map(|(id, _)| id).collect()
    }

    pub(super) fn probe(&mut self, id: MemberId, gap: Time, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return false };
        let lost = m.probed.is_none_or(|t| now >= t + PROBE_PATIENCE);
        let due = m.probed.is_none_or(|t| now >= t + gap);
        let ask = self.set.probing && m.listed && due && (lost || !m.probe_out);
        if ask {
            (m.probed, m.probe_out) = (Some(now), true);
            out.push(Action::Probe { member: id });
        }
        ask
    }
}
