//! Whether a member can be used: silence, doubt, room, and the budget of cold members.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    pub(super) fn reachable(&self, m: &Seen) -> bool {
        let doubted = m.doubt.as_ref().is_some_and(|d| !d.open || m.out > 0);
        self.now >= m.rest_until && m.listed && !doubted && !m.quiet(self.now, self.limit)
    }

    /// Whether a read may go there: a member that errs quickly always has the shortest queue, so one with
    /// more errors than this router sees everywhere (worthless requests, lossy links) gets single trials.
    /// Can hurt where most fail.
    pub(super) fn usable(&self, m: &Seen) -> bool {
        let sound = m.errors.0 < ERROR_LIMIT + ERROR_COMMON * self.signs.errors.0;
        self.reachable(m) && (sound || m.reads == 0 && self.now >= m.last_sent + TRIAL_GAP)
    }

    /// Whether a member that has `count` out is under this router's share of the bound `all`: the fixed one,
    /// less while the member is cold or answers late. The last makes up for the work of other routers, which
    /// our own count cannot show: a jam of any cause (a lost member's load, a slow machine, too many routers)
    /// ends in slow answers. It can hurt where work is so uneven that sound members answer late.
    /// A share below one is kept by lot, request by request: rounded up it would add up over many routers.
    pub(super) fn room(&self, (id, m): (MemberId, &Seen), open: &Open, (count, all): (u32, u32)) -> bool {
        let even = |all: u32| f64::from(all.div_ceil(self.set.instances.min(SHARERS_MOST)));
        let weight = m.slow_start_weight(self.now, &self.set.rules);
        let ease = m.ease.now(self.now, EASE_TIME) * self.signs.pool.now(self.now, POOL_TIME);
        let few = even(MEMBER_READS) * weight * ease >= 1.0;
        let bound = even(all) * ease * if few { weight } else { 1.0 };
        // One lot for all members, or some member would always do.
        if count >= bound.max(1.0) as u32 || hash_fraction(!self.set.seed, open.seq, 0) >= bound {
            return false;
        }
        // A cold member's budget. What is out finishes at the member's pace, so that a bound on it bounds the
        // rate; work that ended without an answer was sent, too. Where a share is below one read, lots do.
        let sent = m.spent.len() as u32 + m.out;
        !self.in_slow_start(m)
            || (few || self.slow_start_admits((id, m), open))
                && sent < ((even(MEMBER_WRITES) * weight * ease) as u32).max(2)
    }

    /// Whether a member is in slow start.
    pub(crate) fn in_slow_start(&self, m: &Seen) -> bool {
        m.cold(self.now, self.set.rules.warm_after)
    }

    pub(super) fn silence_limit(&self) -> Time {
        let mean = self.service.iter().fold(0.0f64, |a, b| a.max(b.mean));
        ((mean * SILENCE_FACTOR) as Time)
            .clamp(SILENCE_LEAST, SILENCE_MOST.max((mean * SILENCE_MEANS) as Time))
    }

    pub(super) fn watch(&mut self, out: &mut Vec<Action>) {
        if self.lists.calls(self.now) {
            out.push(Action::Subscribe);
        }
        let (now, limit, span) = (self.now, self.limit, self.set.rules.fall_span);
        let mut quiet = Vec::new();
        for (id, m) in &mut self.members {
            m.spent.retain(|t| now < t + span);
            if m.quiet(now, limit) {
                quiet.push((*id, !self.set.probing || now >= m.quiet_since + limit * SILENCE_EXCUSE));
            }
        }
        for (id, lost) in quiet {
            self.probe(id, limit, out);
            if lost {
                self.suspect(id, (false, false), out);
            }
        }
    }

    /// A member answered work: it is sound again, and perhaps new.
    pub(super) fn alive(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let (now, warm) = (self.now, self.set.rules.warm_after);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.quiet_since = now;
        m.reopen(now, RESTART_AFTER, warm);
        let (zone, Some(d)) = (m.zone, m.doubt.take()) else { return };
        if d.refused && now >= d.since + RESTART_AFTER {
            out.push(Action::Log(format!("member {} is back after {} ms", id.0, (now - d.since) / 1_000)));
        }
        self.trust_zone(zone);
    }

    /// A member could not be reached, or has answered no work for long: its reads go elsewhere. Catches
    /// crashes, hangs, cut links and lost zones, and takes a standstill for one, which costs work done.
    pub(super) fn suspect(&mut self, id: MemberId, (refused, open): (bool, bool), out: &mut Vec<Action>) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        let (pause, lot) = (DOUBT_PAUSE, hash_fraction(self.set.seed, now, u64::from(id.0)));
        let next = now + spread(pause, lot);
        let d =
            m.doubt.get_or_insert(Doubt { since: now, next, pause, refused, open: true, inferred: false });
        d.refused |= refused;
        let closes = d.open && !open;
        d.open &= open;
        let zone = m.zone;
        if closes {
            self.rescue(id, out);
            self.doubt_zone(zone, out);
        }
    }

    /// Several members of a zone went silent and none was heard since: it is lost, and its others are left
    /// alone before each has cost a request. Can hurt where chance strikes so many alone.
    pub(super) fn doubt_zone(&mut self, zone: u32, out: &mut Vec<Action>) {
        let (since, pause, next) = (self.now, DOUBT_PAUSE_MOST, self.now + DOUBT_PAUSE_MOST);
        let after = since.saturating_sub(ZONE_SPAN);
        let Some(refused) = silent(&self.members, zone, after, ZONE_MEMBERS) else { return };
        let mut rest = Vec::new();
        let trusted = |m: &Seen| m.listed && m.zone == zone && m.doubt.is_none();
        for (id, m) in self.members.iter_mut().filter(|(_, m)| trusted(m)) {
            m.doubt = Some(Doubt { since, next, pause, refused, open: false, inferred: true });
            rest.push(*id);
        }
        rest.into_iter().for_each(|id| self.rescue(id, out));
    }

    /// A zone has been heard: its members that were left alone for its sake may be tried.
    pub(super) fn trust_zone(&mut self, zone: u32) {
        let (now, warm) = (self.now, self.set.rules.warm_after);
        let inferred = |m: &Seen| m.zone == zone && m.doubt.as_ref().is_some_and(|d| d.inferred);
        self.members.values_mut().filter(|m| inferred(m)).for_each(|m| m.reopen(now, RESTART_AFTER, warm));
    }

    pub(super) fn probed(&mut self, id: MemberId, ok: bool, report: Option<Report>, out: &mut Vec<Action>) {
        let limit = self.silence_limit();
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probe_out = false;
        if ok {
            m.reopen(self.now, RESTART_AFTER, self.set.rules.warm_after);
            if m.doubt.is_some() {
                let zone = m.zone;
                self.trust_zone(zone);
            }
            self.learn_report(id, report, out);
        } else if m.out == 0 || m.quiet(self.now, limit) {
            let open = m.out == 0;
            self.suspect(id, (false, open), out);
        }
    }

    pub(super) fn learn_report(&mut self, id: MemberId, report: Option<Report>, out: &mut Vec<Action>) {
        let Some(r) = report else { return };
        let role = r.primary.map(|p| if p { Role::Primary } else { Role::Replica });
        let position = r.position.map(|p| p.saturating_sub(REPORT_ROUNDING));
        self.learn(id, Note { position, role }, false, out);
    }
}
