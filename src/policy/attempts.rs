//! What becomes of attempts and requests: the one judge of further attempts and of refusals, ends and final answers.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    pub(super) fn ended(
        &mut self,
        (id, n): Which,
        outcome: Outcome,
        (note, report): Word,
        spent: Time,
        out: Out,
    ) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(a) = open.attempts.get_mut(n).filter(|a| a.fate == Fate::Out) else { return };
        let (member, sent, link) = (a.member, a.sent, a.link);
        use Outcome::*;
        a.arrived = !matches!(outcome, Refused | Superseded);
        a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let (class, session) = (open.class, open.session.clone());
        open.errors += u32::from(outcome == Errored);
        let write = self.set.classes[class].consistency == Consistency::Write;
        open.missed |= matches!(outcome, Miss | Stale);
        open.written |= !matches!(outcome, Refused | Superseded);
        if open.attempts.iter().all(|a| a.fate != Fate::Out) {
            if open.done {
                self.open.remove(&id);
            } else if let Err(at) = self.held.binary_search(&(open.seq, id)) {
                self.held.insert(at, (open.seq, id));
            }
        }
        let slow = (self.set.classes[class].aim as f64 * SLOW_SHARE) as Time;
        // An attempt is lost when it was broken off or none of its kind takes so long.
        let long = (now - sent) as f64 >= self.service[class].mean * LOST_FACTOR;
        let lost = outcome == Reset || long && matches!(outcome, Overdue | Cancelled);
        self.signs.judge_links(link, lost, outcome);
        let bad = matches!(outcome, Errored | Saturated | Reset);
        if bad || outcome == Completed {
            self.signs.errors.see(bad, ERROR_COMMON_WEIGHT);
        }
        let late = matches!(outcome, Completed | Overdue | Cancelled) && now >= sent + slow;
        let one = self.set.instances.min(SHARERS_MOST) >= MEMBER_READS;
        let Easing { limit, down, worse, none, better } = if one { EASING_ONE } else { EASING };
        if late && (now - sent) as f64 >= self.set.classes[class].aim as f64 * limit || outcome == Saturated {
            self.signs.pool.down(now, POOL_TIME, down, EASE_LEAST);
        } else if outcome == Completed {
            self.signs.pool.up(now, POOL_TIME, POOL_UP);
        }
        if let Some(m) = self.members.get_mut(&member) {
            if outcome == Saturated {
                m.rest_until = now + FULL_REST;
            }
            if (late || outcome == Saturated) && sent >= m.eased {
                let worse = if matches!(outcome, Overdue | Cancelled) { none } else { worse };
                m.ease.down(now, EASE_TIME, worse, EASE_LEAST);
                m.eased = now;
            } else if !late && outcome == Completed {
                m.ease.up(now, EASE_TIME, better);
            }
            m.ended(outcome, write, now, self.set.rules.warm_after);
            if bad || outcome == Completed {
                m.errors.see(bad, ERROR_WEIGHT);
            }
        }
        match outcome {
            _ if outcome.answered() => self.alive(member, out),
            Refused => self.suspect(member, (true, false), out),
            // One broken attempt among others that are answered was lost on the way; with none left out
            // there, the member may have died: one request at a time will tell.
            Reset if self.members.get(&member).is_some_and(|m| m.out == 0) => {
                self.suspect(member, (false, true), out);
            }
            _ => {}
        }
        self.service[class].see(outcome, spent, LATENCY_WEIGHT, LOST_FACTOR);
        let word = (outcome, write, session, note.and_then(|n| n.position));
        if let (Completed, true, Some(s), Some(p)) = word {
            self.sessions.remember(s, p, self.now, SESSION_SPAN);
        }
        if let Some(note) = note {
            // The commit of a write is rounded up and may lie a little ahead of the member's proven position.
            let position = note.position.map(|p| if write { p.saturating_sub(REPORT_ROUNDING) } else { p });
            self.learn(member, Note { position, ..note }, true, out);
        }
        self.learn_report(member, report, out);
    }

    pub(super) fn idle_fault(&self) -> bool {
        self.signs.idle_lost.0 - self.signs.used_lost.0 > LINK_LIMIT
    }

    /// The one judge of further attempts and of refusals: whether this request may be sent (again) to a
    /// member, and whether it may be refused, by what its earlier attempts may have done.
    pub(super) fn allows(&self, open: &Open, to: Option<MemberId>) -> (bool, bool) {
        let write = self.set.classes[open.class].consistency == Consistency::Write;
        let first = open.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let (send, refuse) = match (self.set.classes[open.class].effect, first) {
            (Effect::Safe, _) | (_, None) => (true, true),
            (Effect::Unsafe, Some(_)) => (false, false),
            (Effect::Keyed { group, window }, Some(first)) => {
                let zone = |id: MemberId| self.members.get(&id).map(|m| m.zone);
                let forgets = |id: MemberId| group == DedupScope::Zone && zone(id) != zone(first.member);
                let remembered = self.now < first.sent + window;
                (remembered && !to.is_some_and(forgets), group == DedupScope::All)
            }
        };
        // A read that two members answered with an error is at fault itself.
        let send = send && (write || open.errors < ERRORS_MOST);
        (send && open.attempts.len() < self.set.max_attempts.min(open.most) as usize, refuse)
    }

    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason, out: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        out.push(Action::Explain { id, reason });
        let write = self.set.classes[open.class].consistency == Consistency::Write;
        if self.allows(open, None).1 {
            let away = if write { WRITE_RETRY_AFTER } else { self.set.max_retry_after };
            let retry_after = self.set.retry_after.then(|| away.min(self.set.max_retry_after));
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(id, out);
    }

    /// The request is over: stop what is still out for it, where stopping can save work.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        unhold(&mut self.held, (open.seq, id));
        open.done = true;
        let write = self.set.classes[open.class].consistency == Consistency::Write;
        let left = open.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out);
        if self.set.cancelling && !write && !open.streaming {
            out.extend(left.clone().map(|(n, _)| Action::Cancel { id, attempt: n as u32 }));
        }
        if left.count() == 0 {
            self.open.remove(&id);
        }
    }

    /// Whether a request that may have run at this member may go to another that could answer it.
    fn another_may_take(&self, open: &Open, member: MemberId) -> bool {
        let allowed = |id| id != member && self.allows(open, Some(id)).0;
        match self.set.classes[open.class].consistency {
            Consistency::Write | Consistency::Fresh => self.primary(open.group).is_some_and(allowed),
            _ => self.of_group(open.group).any(|(id, m)| !open.tried(id) && self.usable(m) && allowed(id)),
        }
    }

    /// A member has gone silent or lost its role: what waits there goes elsewhere where that is of use.
    pub(super) fn rescue(&mut self, member: MemberId, out: &mut Vec<Action>) {
        let fits = |(_, o): &(&RequestId, &Open)| !o.done && !o.streaming && self.set.cancelling;
        let mut open: Vec<_> = self.open.iter().filter(fits).collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        for (id, open) in open {
            let class = &self.set.classes[open.class];
            let useful = match class.effect {
                Effect::Safe => self.now < open.arrived + class.aim || class.late_value > 0.0,
                _ => self.another_may_take(open, member),
            };
            for (n, a) in open.attempts.iter().enumerate() {
                if useful && a.member == member && a.fate == Fate::Out {
                    out.push(Action::Cancel { id: *id, attempt: n as u32 });
                }
            }
        }
    }
}
