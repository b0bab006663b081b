//! Which replica a read goes to: the freshness gate, room, rank and turns.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    /// The position that a member must have reached for this read to be sent to it now.
    pub(super) fn required(&self, open: &Open) -> Position {
        match self.set.classes[open.class].consistency {
            Consistency::Any => 0,
            Consistency::Bounded(age) => self.now.saturating_sub(age),
            Consistency::Session => open.token,
            Consistency::Fresh | Consistency::Write => Position::MAX,
        }
    }

    /// From then on a read of this need must not begin at this member by what is known of it now: what waits for a
    /// connection meanwhile would be served from data older than its bound. Members that check turn it away themselves.
    pub fn fresh_until(&self, group: GroupId, member: MemberId, need: Consistency) -> Time {
        let checked = self.set.when_behind != WhenBehind::Answers;
        match need {
            Consistency::Bounded(age) if !checked && self.primary(group) != Some(member) => {
                self.position(member).saturating_add(age)
            }
            _ => Time::MAX,
        }
    }

    /// The freshness gate. A position heard is a proven lower bound; where members check for themselves, one
    /// whose last known lag says that it should have got there is good for a try until it has missed. One
    /// never heard of is tried on a usual lag: a miss costs it nothing and tells its position, as a probe
    /// would for a price. A token that members do not know they cannot check: then only proof counts.
    pub(super) fn qualifies(&self, m: &Seen, open: &Open) -> bool {
        let required = self.required(open);
        if m.position >= required {
            return true;
        }
        let checked = self.set.when_behind != WhenBehind::Answers && !open.missed && !open.proven;
        let since = self.now.saturating_sub(m.position_at);
        let estimate = match m.told {
            Some(told) if since <= ESTIMATE_TRUST => told.saturating_add(since),
            Some(_) => return false,
            None => self.now.saturating_sub(UNHEARD_LAG),
        };
        checked && estimate >= required
    }

    /// Replicas with room for this read that it has not tried, each with its rank: the fewest own reads out
    /// first; of equals those connected to before others, which have their turn by lot, those with fewer slow
    /// answers, with a working connection, and near. What is left is decided by each one's own lot.
    pub(super) fn replicas<'a>(&'a self, open: &'a Open) -> impl Iterator<Item = (Rank, MemberId, &'a Seen)> {
        let (primary, faulty) = (self.primary(open.group), self.idle_fault());
        let fits = move |id, m: &Seen| self.usable(m) && self.room((id, m), open, (m.reads, MEMBER_READS));
        let sound = move |id, m| {
            let untried = Some(id) != primary && !open.tried(id);
            untried && fits(id, m) && self.may_open((id, m), open, primary) && self.allows(open, Some(id)).0
        };
        self.of_group(open.group).filter(move |(id, m)| sound(*id, m)).map(move |(id, m)| {
            let dead = faulty && m.idle(self.now, IDLE_LEAST);
            let lot = hash_fraction(self.set.seed, open.seq, u64::from(id.0));
            (((m.reads, self.early(id, m), self.slow(m), dead, m.zone != self.set.zone), lot), id, m)
        })
    }

    /// The span over which all routers spread what they might do at one moment.
    pub(super) fn turns(&self, most: Time) -> Time {
        (Time::from(self.set.instances) * TURN_EACH).min(most)
    }

    /// Never connected to, and before its turn: all routers may come to know it at one moment, which adds up.
    pub(super) fn early(&self, id: MemberId, m: &Seen) -> bool {
        let turn = || self.turns(TURN_MOST) as f64 * hash_fraction(self.set.seed, u64::from(id.0), TURN_EACH);
        m.last_sent == 0 && self.now < m.quiet_since + turn() as Time
    }

    /// Before a member's turn it is connected to where no other replica that could serve has been, and one by
    /// one for reads that find no room elsewhere for a while, which costs them a part of their aim.
    pub(super) fn may_open(
        &self,
        (id, m): (MemberId, &Seen),
        open: &Open,
        primary: Option<MemberId>,
    ) -> bool {
        let waited = self.now >= open.arrived + ASK_PATIENCE;
        let serves = |(other, m): (_, &Seen)| Some(other) != primary && m.last_sent > 0 && self.usable(m);
        let gap = || self.groups.get(&open.group).is_some_and(|g| self.now >= g.opened + TURN_GAP);
        !self.early(id, m) || !self.of_group(open.group).any(serves) || waited && gap()
    }

    /// Rank by slow answers lately. A cold member, new to it, ranks no better than all do together, or it
    /// would be everyone's first choice when the others are slow.
    pub(super) fn slow(&self, m: &Seen) -> u8 {
        let common = if self.in_slow_start(m) { self.signs.pool.now(self.now, POOL_TIME) } else { 1.0 };
        ((1.0 - m.ease.now(self.now, EASE_TIME).min(common)) * SLOW_STEPS) as u8
    }

    /// Where a read goes now: the first replica that qualifies. With none, one whose position is unknown
    /// is asked at a time, and the read waits for its word; then the primary, if it has room to spare.
    pub(super) fn pick_read(&mut self, id: RequestId, out: &mut Vec<Action>) -> Option<MemberId> {
        let open = &self.open[&id];
        let (group, since) = (open.group, open.arrived);
        // Nearly always one qualifies, and none of the others is put in order.
        let mut any = false;
        let fits = self.replicas(open).inspect(|_| any = true).filter(|(_, _, m)| self.qualifies(m, open));
        if let Some((_, id, _)) = fits.min_by(|a, b| by_rank(&a.0, &b.0)) {
            return Some(id);
        }
        let ranked = any.then(|| self.replicas(open).map(|(rank, id, _)| (rank, id)));
        let mut replicas: Vec<(Rank, MemberId)> = ranked.into_iter().flatten().collect();
        replicas.sort_by(|a, b| by_rank(&a.0, &b.0));
        let gap = match self.set.classes[open.class].consistency {
            Consistency::Bounded(age) => age.max(PROBE_GAP),
            _ => PROBE_GAP,
        };
        let late = self.now >= since + (self.set.classes[open.class].aim as f64 * TURN_SHARE) as Time;
        let id = self.primary(group).filter(|id| {
            let m = &self.members[id];
            let turn = m.last_sent > 0 || self.now >= m.quiet_since + self.turns(TURN_MOST);
            let fits = (late || turn) && self.usable(m) && !open.tried(*id) && self.allows(open, Some(*id)).0;
            fits && self.room((*id, m), open, (m.out, PRIMARY_READS))
        });
        let asked = |m: &Seen| m.probe_out && m.probed.is_some_and(|t| self.now < t + ASK_PATIENCE);
        let mut waits = replicas.iter().any(|(_, id)| asked(&self.members[id]));
        for (_, id) in replicas {
            waits = waits || self.probe(id, gap, out);
        }
        id.filter(|_| !waits || self.now > since + ASK_PATIENCE)
    }
}
