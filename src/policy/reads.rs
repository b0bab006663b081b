//! Which replica a read goes to: the freshness check, capacity, rank and first-use slots.

use super::group_context::GroupContext;
use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    /// The position that a member must have reached for this read to be sent to it now.
    pub(super) fn required_position(&self, open: &OpenRequest) -> Position {
        match self.settings.classes[open.class].consistency {
            Consistency::Any => 0,
            Consistency::Bounded(age) => self.now.saturating_sub(age),
            Consistency::Session => open.min_position,
            Consistency::Fresh | Consistency::Write => Position::MAX,
        }
    }

    /// The time from which a read of this consistency must not begin at this member, by what is known of the
    /// member now: a read that waits for a connection until then would be served from data older than its
    /// bound. Members that check positions refuse such reads themselves.
    pub fn fresh_until(&self, group: GroupId, member: MemberId, consistency: Consistency) -> Time {
        let checked = self.settings.when_behind != WhenBehind::Answers;
        match consistency {
            Consistency::Bounded(age) if !checked && self.primary(group) != Some(member) => {
                self.position(member).saturating_add(age)
            }
            _ => Time::MAX,
        }
    }

    /// The freshness check. A known position is a proven lower bound. Where members check positions
    /// themselves, a member may also be tried if it should have reached the position by its last known lag,
    /// unless the read has missed before; a member without a known position is tried on the default lag. A
    /// miss costs it nothing and tells its position. If members cannot
    /// check the required position, only proof counts.
    pub(super) fn is_recent_enough(&self, m: &MemberState, open: &OpenRequest) -> bool {
        let required = self.required_position(open);
        if m.position >= required {
            return true;
        }
        let checked = self.settings.when_behind != WhenBehind::Answers && !open.missed && !open.needs_proof;
        let since = self.now.saturating_sub(m.position_at);
        let estimate = match m.answered_position {
            Some(position) if since <= ESTIMATE_MAX_AGE => position.saturating_add(since),
            Some(_) => return false,
            None => self.now.saturating_sub(DEFAULT_LAG),
        };
        checked && estimate >= required
    }

    /// The untried replicas with capacity for this read, each with its rank: first by this router's reads in
    /// flight, then by whether the member was used before (new members wait for their slot), by slow answers,
    /// by a working connection, and by the same zone. Remaining ties are broken by a random fraction per
    /// member.
    pub(super) fn candidate_replicas<'a>(
        &'a self,
        open: &'a OpenRequest,
        group: &'a GroupContext,
    ) -> impl Iterator<Item = (Rank, MemberId, &'a MemberState)> {
        let idle_faulty = self.idle_connections_fail();
        let fits = move |id, m: &MemberState| {
            self.usable(m)
                && self.has_capacity((id, m), (open, group), (m.reads_in_flight, MEMBER_READ_LIMIT))
        };
        let eligible = move |id, m| {
            let untried = Some(id) != group.primary && !open.tried(id);
            untried
                && fits(id, m)
                && self.may_use_before_slot((id, m), open, group)
                && self.permissions(open, Some(id)).0
        };
        self.group_members(open.group).filter(move |(id, m)| eligible(*id, m)).map(move |(id, m)| {
            let likely_dead = idle_faulty && m.connections_idle(self.now, IDLE_AFTER);
            let fraction = hash_fraction(self.settings.seed, open.seq, u64::from(id.0));
            (
                (
                    (
                        m.reads_in_flight,
                        self.before_member_slot(id, m),
                        self.slowness(m),
                        likely_dead,
                        m.zone != self.settings.zone,
                    ),
                    fraction,
                ),
                id,
                m,
            )
        })
    }

    /// The window over which all routers spread their first use of a member.
    fn first_use_window(&self) -> Time {
        (Time::from(self.settings.instances) * FIRST_USE_WINDOW_PER_ROUTER).min(FIRST_USE_WINDOW_MAX)
    }

    /// The member was never used, and this router's slot for its first use is still to come. All routers may
    /// learn of a member at the same moment, and their first requests would add up.
    pub(super) fn before_member_slot(&self, id: MemberId, m: &MemberState) -> bool {
        let slot = || {
            self.first_use_window() as f64
                * hash_fraction(self.settings.seed, u64::from(id.0), FIRST_USE_WINDOW_PER_ROUTER)
        };
        m.last_sent == 0 && self.now < m.last_progress + slot() as Time
    }

    /// Before its slot, a member may be used for the first time if no other replica that could serve the
    /// group was used before. Otherwise only one at a time, for reads that have found no capacity elsewhere
    /// for [`POSITION_WAIT`].
    pub(super) fn may_use_before_slot(
        &self,
        (id, m): (MemberId, &MemberState),
        open: &OpenRequest,
        group: &GroupContext,
    ) -> bool {
        let waited = self.now >= open.arrived + POSITION_WAIT;
        let serves =
            |(other, m): (_, &MemberState)| Some(other) != group.primary && m.last_sent > 0 && self.usable(m);
        let another_serves = || group.used_replica_serves(|| self.group_members(open.group).any(serves));
        let interval_over = || {
            self.groups.get(&open.group).is_some_and(|g| self.now >= g.last_first_use + FIRST_USE_INTERVAL)
        };
        !self.before_member_slot(id, m) || !another_serves() || waited && interval_over()
    }

    /// Rank by recent slow answers. A member in slow start ranks no better than the fleet as a whole;
    /// otherwise it would be every router's first choice when the others are slow.
    pub(super) fn slowness(&self, m: &MemberState) -> u8 {
        let fleet = if self.in_slow_start(m) {
            self.stats.admission.now(self.now, FLEET_ADMISSION_RECOVERY)
        } else {
            1.0
        };
        ((1.0 - m.admission.now(self.now, ADMISSION_RECOVERY).min(fleet)) * SLOW_STEPS) as u8
    }

    /// Chooses the member for a read now: the best replica that is recent enough. If there is none, one
    /// replica at a time is probed for its position and the read waits for the result; then the primary takes
    /// the read, if it has spare capacity.
    pub(super) fn pick_read_member(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<MemberId> {
        let open = &self.open[&id];
        let (group, since) = (self.group_context(open.group), open.arrived);
        // Nearly always one is recent enough, so that the others need not be sorted.
        let mut any = false;
        let fits = self
            .candidate_replicas(open, &group)
            .inspect(|_| any = true)
            .filter(|(_, _, m)| self.is_recent_enough(m, open));
        if let Some((_, id, _)) = fits.min_by(|a, b| compare_ranks(&a.0, &b.0)) {
            return Some(id);
        }
        let ranked = any.then(|| self.candidate_replicas(open, &group).map(|(rank, id, _)| (rank, id)));
        let mut replicas: Vec<(Rank, MemberId)> = ranked.into_iter().flatten().collect();
        replicas.sort_by(|a, b| compare_ranks(&a.0, &b.0));
        let interval = match self.settings.classes[open.class].consistency {
            Consistency::Bounded(age) => age.max(PROBE_INTERVAL),
            _ => PROBE_INTERVAL,
        };
        let id = group.primary.filter(|id| {
            let m = &self.members[id];
            let fits = self.may_use_before_slot((*id, m), open, &group)
                && self.usable(m)
                && !open.tried(*id)
                && self.permissions(open, Some(*id)).0;
            fits && self.has_capacity((*id, m), (open, &group), (m.in_flight, PRIMARY_READ_LIMIT))
        });
        let probing =
            |m: &MemberState| m.probe_pending && m.last_probe.is_some_and(|t| self.now < t + POSITION_WAIT);
        let mut waiting = replicas.iter().any(|(_, id)| probing(&self.members[id]));
        for (_, id) in replicas {
            waiting = waiting || self.probe(id, interval, out);
        }
        id.filter(|_| !waiting || self.now > since + POSITION_WAIT)
    }
}
