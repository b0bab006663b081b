//! Whether a member can be used: silence, suspicion, capacity, and the budget of members in slow start.

use super::group_context::GroupContext;
use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    pub(super) fn reachable(&self, m: &MemberState) -> bool {
        let suspected = m.suspicion.as_ref().is_some_and(|d| !d.trial_allowed || m.in_flight > 0);
        self.now >= m.saturated_until
            && m.in_service
            && !suspected
            && !m.is_silent(self.now, self.silence_limit)
    }

    /// Whether a read may go to this member. A member that fails quickly always has the shortest queue, so
    /// one with clearly more errors than this router sees everywhere (faulty requests, lossy networks) gets
    /// single trial reads only. The rule can do harm where most requests fail.
    pub(super) fn usable(&self, m: &MemberState) -> bool {
        let healthy = m.errors.0 < ERROR_LIMIT + ERROR_LIMIT_FLEET_FACTOR * self.stats.errors.0;
        self.reachable(m) && (healthy || m.reads_in_flight == 0 && self.now >= m.last_sent + TRIAL_INTERVAL)
    }

    /// Whether a member with `count` requests in flight is below this router's share of the limit `all`. The
    /// share is fixed, but reduced while the member is in slow start or answers late. Late answers stand in
    /// for the load from other routers, which this router cannot see: congestion of any cause (a lost
    /// member's load, a slow machine, too many routers) shows as slow answers. Known cost: capacity is lost
    /// where work is so uneven that healthy members answer late.
    ///
    /// A share below one request is granted at random: rounded up, it would add up over many routers. See
    /// [`Router::share_fraction`].
    pub(super) fn has_capacity(
        &self,
        (id, m): (MemberId, &MemberState),
        (open, group): (&OpenRequest, &GroupContext),
        (count, all): (u32, u32),
    ) -> bool {
        let weight = m.slow_start_weight(self.now, &self.settings.rules);
        let admission = self.admission(m);
        let whole_reads = self.has_whole_reads(weight, admission);
        let share = self.admitted_share((weight, admission), all);
        // The same random fraction for all members; with one for each, some member would always admit the
        // request.
        if count >= share.max(1.0) as u32 || share < 1.0 && self.share_fraction(open) >= share {
            return false;
        }
        // The budget in slow start. Requests in flight complete at the member's own pace, so a limit on them
        // also limits their rate; work that ended without an answer counts as sent, too. If the share is
        // below one read, requests are admitted by hash fraction.
        let sent = m.unanswered.len() as u32 + m.in_flight;
        !self.in_slow_start(m)
            || (whole_reads || self.slow_start_admits((id, m), open, group))
                && sent < ((self.even_share(MEMBER_WRITE_LIMIT) * weight * admission) as u32).max(2)
    }

    /// This router's share of a limit on what all routers together have in flight at a member.
    fn even_share(&self, all: u32) -> f64 {
        f64::from(all.div_ceil(self.settings.instances.min(MAX_SHARERS)))
    }

    /// The factor on the limits of a member.
    fn admission(&self, m: &MemberState) -> f64 {
        m.admission.now(self.now, ADMISSION_RECOVERY)
            * self.stats.admission.now(self.now, FLEET_ADMISSION_RECOVERY)
    }

    /// Whether this router's share of a member's reads is at least one.
    fn has_whole_reads(&self, weight: f64, admission: f64) -> bool {
        self.even_share(MEMBER_READ_LIMIT) * weight * admission >= 1.0
    }

    /// This router's share of the limit `all` at a member with this slow-start weight and admission factor.
    fn admitted_share(&self, (weight, admission): (f64, f64), all: u32) -> f64 {
        let warm = if self.has_whole_reads(weight, admission) { weight } else { 1.0 };
        self.even_share(all) * admission * warm
    }

    /// The random fraction below which a share of one request is granted: another one after each service time, so that a
    /// share of a third has one request in flight for a third of the time, and whatever waits has its chance. All
    /// requests of a group have the same one at a time: with one for each, some request that waits would always be
    /// admitted.
    fn share_fraction(&self, open: &OpenRequest) -> f64 {
        let seed = !self.settings.seed;
        let period = self.service_times[open.class].present().unwrap_or(SILENCE_MIN as f64).max(1.0);
        // Routers do not change their fractions at the same moment.
        let phase = hash_fraction(seed, open.group, 0);
        hash_fraction(seed, open.group, (self.now as f64 / period + phase) as u64)
    }

    /// Whether some member of a group has capacity for reads, whichever read it is for.
    pub(super) fn has_read_capacity(&self, group: GroupId) -> bool {
        let primary = self.primary(group);
        self.group_members(group).any(|(id, m)| {
            let (in_flight, all) = match primary == Some(id) {
                true => (m.in_flight, PRIMARY_READ_LIMIT),
                false => (m.reads_in_flight, MEMBER_READ_LIMIT),
            };
            let weight = m.slow_start_weight(self.now, &self.settings.rules);
            self.usable(m)
                && in_flight < self.admitted_share((weight, self.admission(m)), all).max(1.0) as u32
        })
    }

    /// Whether a member is in slow start.
    pub(crate) fn in_slow_start(&self, m: &MemberState) -> bool {
        m.in_slow_start(self.now, self.settings.rules.warm_after)
    }

    pub(super) fn silence_limit(&self) -> Time {
        let longest = self.service_times.iter().filter_map(ServiceTime::estimate).fold(0.0f64, f64::max);
        let max = SILENCE_MAX.max((longest * SILENCE_MAX_FACTOR) as Time);
        let all_known = self.service_times.iter().all(|s| s.estimate().is_some());
        let min = if all_known { SILENCE_MIN } else { SILENCE_MAX };
        ((longest * SILENCE_FACTOR) as Time).clamp(min, max)
    }

    pub(super) fn check_members(&mut self, out: &mut Vec<Action>) {
        if self.list_calls.take_due(self.now) {
            out.push(Action::Subscribe);
        }
        let (now, limit, window) = (self.now, self.silence_limit, self.settings.rules.fall_window);
        let mut silent = Vec::new();
        let Router { members, busy, settings, .. } = self;
        busy.retain(|id| {
            let Some(m) = members.get_mut(id) else { return false };
            m.unanswered.retain(|t| now < t + window);
            if m.is_silent(now, limit) {
                let lost = !settings.probing || now >= m.last_progress + limit * SILENCE_PROBED_FACTOR;
                silent.push((*id, lost));
            }
            m.in_flight > 0 || !m.unanswered.is_empty()
        });
        for (id, lost) in silent {
            self.probe(id, limit, out);
            if lost {
                self.suspect(id, (false, false), out);
            }
        }
    }

    /// The member answered work: it is no longer suspected, and may have been restarted.
    pub(super) fn mark_alive(&mut self, id: MemberId, out: &mut Vec<Action>) {
        let (now, warm) = (self.now, self.settings.rules.warm_after);
        let Some(m) = self.members.get_mut(&id) else { return };
        m.last_progress = now;
        m.allow_trial(now, RESTART_AFTER, warm);
        let (zone, Some(d)) = (m.zone, m.suspicion.take()) else { return };
        if d.unreachable && now >= d.since + RESTART_AFTER {
            out.push(Action::Log(format!("member {} is back after {} ms", id.0, (now - d.since) / 1_000)));
        }
        self.reopen_zone(zone);
    }

    /// The member could not be reached or left work unanswered for long, so its reads go to others. This
    /// detects crashes, hangs, broken networks and lost zones. Known cost: a short stall is taken for one of
    /// them, and work is repeated.
    pub(super) fn suspect(
        &mut self,
        id: MemberId,
        (unreachable, trial_allowed): (bool, bool),
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        let (probe_interval, fraction) =
            (SUSPECT_PROBE_INTERVAL, hash_fraction(self.settings.seed, now, u64::from(id.0)));
        let next_probe = now + jittered(probe_interval, fraction);
        let d = m.suspicion.get_or_insert(Suspicion {
            since: now,
            next_probe,
            probe_interval,
            unreachable,
            trial_allowed: true,
            inferred: false,
        });
        d.unreachable |= unreachable;
        let trials_end = d.trial_allowed && !trial_allowed;
        d.trial_allowed &= trial_allowed;
        let zone = m.zone;
        if trials_end {
            self.cancel_attempts_at(id, out);
            self.suspect_zone(zone, out);
        }
    }

    /// If several members of a zone went silent and none was heard since, the zone counts as lost, and its
    /// other members are suspected before each of them costs a request. Known cost: this many independent
    /// failures in a zone look the same.
    pub(super) fn suspect_zone(&mut self, zone: u32, out: &mut Vec<Action>) {
        let (since, probe_interval, next_probe) =
            (self.now, SUSPECT_PROBE_INTERVAL_MAX, self.now + SUSPECT_PROBE_INTERVAL_MAX);
        let after = since.saturating_sub(ZONE_LOSS_WINDOW);
        let Some(unreachable) = silent_zone(&self.members, zone, after, ZONE_LOSS_MEMBERS) else { return };
        let mut rest = Vec::new();
        let trusted = |m: &MemberState| m.in_service && m.zone == zone && m.suspicion.is_none();
        for (id, m) in self.members.iter_mut().filter(|(_, m)| trusted(m)) {
            m.suspicion = Some(Suspicion {
                since,
                next_probe,
                probe_interval,
                unreachable,
                trial_allowed: false,
                inferred: true,
            });
            if m.in_flight > 0 {
                rest.push(*id);
            }
        }
        rest.sort_unstable();
        rest.into_iter().for_each(|id| self.cancel_attempts_at(id, out));
    }

    /// A member of the zone was heard: the members that were suspected only because of the zone may be tried.
    pub(super) fn reopen_zone(&mut self, zone: u32) {
        let (now, warm) = (self.now, self.settings.rules.warm_after);
        let inferred = |m: &MemberState| m.zone == zone && m.suspicion.as_ref().is_some_and(|d| d.inferred);
        self.members
            .values_mut()
            .filter(|m| inferred(m))
            .for_each(|m| m.allow_trial(now, RESTART_AFTER, warm));
    }

    pub(super) fn probe_ended(
        &mut self,
        id: MemberId,
        ok: bool,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let limit = self.silence_limit();
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probe_pending = false;
        if ok {
            m.allow_trial(self.now, RESTART_AFTER, self.settings.rules.warm_after);
            if m.suspicion.is_some() {
                let zone = m.zone;
                self.reopen_zone(zone);
            }
            self.apply_report(id, report, out);
        } else if m.in_flight == 0 || m.is_silent(self.now, limit) {
            let trial_allowed = m.in_flight == 0;
            self.suspect(id, (false, trial_allowed), out);
        }
    }

    pub(super) fn apply_report(&mut self, id: MemberId, report: Option<Report>, out: &mut Vec<Action>) {
        let Some(r) = report else { return };
        let role = r.primary.map(|p| if p { Role::Primary } else { Role::Replica });
        let position = r.position.map(|p| p.saturating_sub(REPORT_ROUNDING));
        self.apply_note(id, Note { position, role }, false, out);
    }
}
