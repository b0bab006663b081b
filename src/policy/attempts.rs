//! The ends of attempts and final answers, and the rules for further attempts and refusals.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    pub(super) fn attempt_ended(
        &mut self,
        (id, n): AttemptRef,
        outcome: Outcome,
        (note, report): MemberInfo,
        spent: Time,
        out: Actions,
    ) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(n).filter(|a| a.status == AttemptStatus::Pending) else { return };
        let (member, sent, connection) = (a.member, a.sent, a.connection);
        use Outcome::*;
        a.delivered = !matches!(outcome, Refused | Superseded);
        a.repeat_there = RepeatThere::after(outcome);
        a.status = if outcome.never_ran() { AttemptStatus::NeverRan } else { AttemptStatus::MayHaveRun };
        let (class, deadline, session) = (open.class, open.deadline, open.session.clone());
        open.errors += u32::from(outcome == Errored);
        let write = self.settings.classes[class].consistency == Consistency::Write;
        open.missed |= matches!(outcome, Miss | Stale);
        if open.attempts.iter().all(|a| a.status != AttemptStatus::Pending) {
            if open.answered {
                self.open.remove(&id);
            } else if let Err(at) = self.held.binary_search(&(open.seq, id)) {
                self.held.insert(at, (open.seq, id));
            }
        }
        // An attempt counts as lost if its connection broke, or if it took longer than attempts of its class
        // normally take.
        let overlong = self.service_times[class]
            .known_mean()
            .is_some_and(|mean| (now - sent) as f64 >= mean * LOST_FACTOR);
        let lost = outcome == Reset || overlong && matches!(outcome, Overdue | Cancelled);
        self.stats.record_connection_result(connection, lost, outcome);
        let bad = matches!(outcome, Errored | Saturated | Reset);
        if bad || outcome == Completed {
            self.stats.errors.record(bad, FLEET_ERROR_WEIGHT);
        }
        let in_vain = outcome == Overdue && now + ANSWER_LEAD >= deadline;
        let slowdown = match outcome {
            Completed | Overdue | Cancelled => self.service_times[class].slowdown(now - sent),
            _ => None,
        };
        let late = in_vain || slowdown.is_some();
        let single_read = self.settings.instances.min(MAX_SHARERS) >= MEMBER_READ_LIMIT;
        let AdmissionSteps { fleet_factor, slow_factor, unanswered_factor, quick_step } =
            if single_read { SINGLE_READ_ADMISSION_STEPS } else { ADMISSION_STEPS };
        if in_vain || outcome == Saturated {
            self.stats.admission.lower(now, FLEET_ADMISSION_RECOVERY, fleet_factor, ADMISSION_MIN);
        } else if outcome == Completed {
            self.stats.admission.raise(now, FLEET_ADMISSION_RECOVERY, FLEET_ADMISSION_STEP);
        }
        if let Some(m) = self.members.get_mut(&member) {
            if outcome == Saturated {
                m.saturated_until = now + SATURATED_DELAY;
            }
            if (late || outcome == Saturated) && sent >= m.admission_lowered_at {
                let factor = match outcome {
                    Overdue | Cancelled => unanswered_factor,
                    _ => slowdown.map_or(slow_factor, |s| s.clamp(unanswered_factor, slow_factor)),
                };
                m.admission.lower(now, ADMISSION_RECOVERY, factor, ADMISSION_MIN);
                m.admission_lowered_at = now;
            } else if !late && outcome == Completed {
                m.admission.raise(now, ADMISSION_RECOVERY, quick_step);
            }
            m.record_end(outcome, write, now, self.settings.rules.warm_after);
            if bad || outcome == Completed {
                m.errors.record(bad, ERROR_WEIGHT);
            }
        }
        if outcome == Completed {
            self.record_completed(member, class);
        }
        match outcome {
            _ if outcome.answered() => self.mark_alive(member, out),
            Refused => self.suspect(member, (true, false), out),
            // A single broken attempt was lost on the way if others are still answered. If nothing else is in
            // flight there, the member may be down, which one request at a time will show.
            Reset if self.members.get(&member).is_some_and(|m| m.in_flight == 0) => {
                self.suspect(member, (false, true), out);
            }
            _ => {}
        }
        self.service_times[class].record(outcome, spent, now);
        let session_write = (outcome, write, session, note.and_then(|n| n.position));
        if let (Completed, true, Some(s), Some(p)) = session_write {
            self.sessions.remember(s, p, self.now, SESSION_RETENTION);
        }
        if let Some(note) = note {
            // The commit of a write is rounded up and may be slightly ahead of the position that the member
            // has proven.
            let position = note.position.map(|p| if write { p.saturating_sub(REPORT_ROUNDING) } else { p });
            self.apply_note(member, Note { position, ..note }, true, out);
        }
        self.apply_report(member, report, out);
    }

    pub(super) fn idle_connections_fail(&self) -> bool {
        self.stats.idle_loss.0 - self.stats.active_loss.0 > IDLE_LOSS_LIMIT
    }

    /// The effect of running a request more than once.
    pub(super) fn effect(&self, open: &OpenRequest) -> Effect {
        self.settings.classes[open.class].effect.of_request(open.has_idempotency_key)
    }

    /// Whether a request may be sent (again) to this member, and whether it may be refused, given what its
    /// earlier attempts may have done. The only place that decides this.
    pub(super) fn permissions(&self, open: &OpenRequest, to: Option<MemberId>) -> (bool, bool) {
        let write = self.settings.classes[open.class].consistency == Consistency::Write;
        let first = open.attempts.iter().find(|a| a.status != AttemptStatus::NeverRan);
        let (send, refuse) = match (self.effect(open), first) {
            (Effect::Safe, _) | (_, None) => (true, true),
            (Effect::Unsafe, Some(_)) => (false, false),
            (Effect::Keyed { group, window }, Some(first)) => {
                let zone = |id: MemberId| self.members.get(&id).map(|m| m.zone);
                let no_dedup = |id: MemberId| group == DedupScope::Zone && zone(id) != zone(first.member);
                let within_window = self.now < first.sent + window;
                (within_window && !to.is_some_and(no_dedup), group == DedupScope::All)
            }
        };
        // If two members answered a read with an error, the read itself is at fault.
        let send = send && (write || open.errors < MAX_READ_ERRORS);
        (send && open.attempts.len() < self.settings.max_attempts.min(open.max_attempts) as usize, refuse)
    }

    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        out.push(Action::Explain { id, reason });
        if self.permissions(open, None).1 {
            // A request that has used up its own attempts waits for nothing.
            let advises = self.settings.retry_after && reason != GiveUpReason::NotRepeatable;
            let advice = advises.then(|| self.time_until_capacity(open)).flatten();
            let retry_after = advice.map(|advice| advice.min(self.settings.max_retry_after));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.finish(id, out);
    }

    /// When a request that is given up now could be served, as far as this router can tell. Where only a primary can serve
    /// it and none can be reached, that is when members are probed for the role again. Otherwise members have to complete
    /// what they have and what is held here, and complete as much in a mean service time as they have in flight.
    fn time_until_capacity(&self, open: &OpenRequest) -> Option<Time> {
        let primary = self.primary(open.group).filter(|id| self.reachable(&self.members[id]));
        if self.needs_primary(open.class) && primary.is_none() {
            return Some(ROLE_PROBE_INTERVAL);
        }
        let in_flight: u32 = self.group_members(open.group).map(|(_, m)| m.in_flight).sum();
        let held = self.held.iter().filter_map(|(_, id)| self.open.get(id)).filter(|o| o.group == open.group);
        let ahead = f64::from(in_flight) + held.count() as f64;
        let mean = self.service_times[open.class].known_mean().filter(|_| in_flight > 0)?;
        Some((mean * ahead / f64::from(in_flight)) as Time)
    }

    /// Ends a request and cancels its attempts in flight where that can save work.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        remove_held(&mut self.held, (open.seq, id));
        open.answered = true;
        let write = self.settings.classes[open.class].consistency == Consistency::Write;
        let left = open.attempts.iter().enumerate().filter(|(_, a)| a.status == AttemptStatus::Pending);
        if self.settings.cancelling && !write && !open.streaming {
            out.extend(left.clone().map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
        }
        if left.count() == 0 {
            self.open.remove(&id);
        }
    }

    /// Whether a request that may have run at this member may be sent to another member that could answer it.
    pub(super) fn other_member_allowed(&self, open: &OpenRequest, member: MemberId) -> bool {
        let allowed = |id| id != member && self.permissions(open, Some(id)).0;
        match self.settings.classes[open.class].consistency {
            Consistency::Write | Consistency::Fresh => self.primary(open.group).is_some_and(allowed),
            _ => {
                self.group_members(open.group).any(|(id, m)| !open.tried(id) && self.usable(m) && allowed(id))
            }
        }
    }

    /// Whether a read that may be repeated freely could be served by a member that has no capacity now.
    fn may_wait_for_another(&self, open: &OpenRequest, member: MemberId) -> bool {
        let healthy = |m: &MemberState| m.in_service && m.suspicion.is_none();
        let mut members = self.group_members(open.group);
        self.effect(open) == Effect::Safe
            && !self.needs_primary(open.class)
            && members.any(|(id, m)| id != member && healthy(m) && !open.tried(id))
    }

    /// Called for a member that went silent or lost its role: cancels its attempts where another member may
    /// be of use.
    pub(super) fn cancel_attempts_at(&mut self, member: MemberId, out: &mut Vec<Action>) {
        let fits =
            |(_, o): &(&RequestId, &OpenRequest)| !o.answered && !o.streaming && self.settings.cancelling;
        let mut open: Vec<_> = self.open.iter().filter(fits).collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        for (id, open) in open {
            let useful = self.now < self.latest_send_time(open)
                && (self.other_member_allowed(open, member) || self.may_wait_for_another(open, member));
            for (n, a) in open.attempts.iter().enumerate() {
                if useful && a.member == member && a.status == AttemptStatus::Pending {
                    out.push(Action::Cancel { id: *id, attempt: n as u32 });
                }
            }
        }
    }
}
