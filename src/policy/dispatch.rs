//! What to send now of the held requests, in what order, and what to give up.

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;
use rustc_hash::FxHashMap;

/// The order in which held requests are dispatched; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DispatchRank {
    may_be_late: bool,
    send_by: Time,
    seq: u64,
}

/// What one dispatch has found out about the groups of the held requests: whether they have capacity for reads.
#[derive(Default)]
pub(super) struct DispatchGroups(FxHashMap<GroupId, Option<bool>>);

impl DispatchGroups {
    /// Returns whether this is the first request of the group.
    fn begin(&mut self, group: GroupId) -> bool {
        let known_before = self.0.len();
        self.0.entry(group).or_default();
        self.0.len() > known_before
    }

    /// Whether the group has capacity for reads; `find` is called if that is not known.
    fn has_read_capacity(&mut self, group: GroupId, find: impl FnOnce() -> bool) -> bool {
        *self.0.entry(group).or_default().get_or_insert_with(find)
    }

    /// A request was sent to the group.
    fn capacity_used(&mut self, group: GroupId) {
        self.0.insert(group, None);
    }
}

impl Router {
    /// Probes the suspected members of a group when a request could use them, at growing intervals. Hundreds
    /// of drivers that probed on a timer would do so mostly in vain.
    pub(super) fn probe_suspected(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let now = self.now;
        let due =
            |m: &MemberState| m.suspicion.as_ref().is_some_and(|d| !d.trial_allowed && now >= d.next_probe);
        let mut due = self.matching_members(group, due);
        if due.is_empty() {
            return;
        }
        if let Some(max) = self.groups.get_mut(&group).and_then(|g| g.suspect_probes_left(now)) {
            due.sort_by_key(|id| self.members[id].suspicion.as_ref().map(|d| d.next_probe));
            due.truncate(max);
            self.groups.entry(group).and_modify(|g| g.suspect_probes += due.len());
        }
        for id in due {
            self.probe(id, PROBE_INTERVAL, out);
            let Some(d) = self.members.get_mut(&id).and_then(|m| m.suspicion.as_mut()) else { continue };
            d.probe_interval = (d.probe_interval * 2).min(SUSPECT_PROBE_INTERVAL_MAX);
            d.next_probe =
                now + jittered(d.probe_interval, hash_fraction(self.settings.seed, now, u64::from(id.0)));
            d.trial_allowed = !self.settings.probing;
        }
    }

    /// Sends what can be sent of the held requests, and gives up those that can no longer be answered in time.
    pub(super) fn dispatch(&mut self, out: &mut Vec<Action>) {
        let mut order = std::mem::take(&mut self.dispatch_order);
        order.extend(
            self.held
                .iter()
                .filter_map(|(seq, id)| Some((self.dispatch_rank(*seq, self.open.get(id)?), *id))),
        );
        order.sort_unstable();
        let blocked = self.list_calls.blocks_sending(self.now);
        let mut groups = std::mem::take(&mut self.dispatch_groups);
        for (_, id) in order.drain(..) {
            let member_left = self.has_member_left(id);
            let Some(open) = self.open.get(&id) else { continue };
            if let Some(reason) = self.give_up_reason(open, member_left) {
                self.give_up(id, reason, out);
                continue;
            }
            let in_vain = self.too_late_to_serve(open);
            // On a list that may be out of date nothing is sent: the request waits for discovery to confirm it, as it
            // would for capacity.
            if !blocked && (!in_vain || self.trial_is_due(open)) {
                self.try_to_send(id, &mut groups, out);
            }
            let still_held =
                self.open.get(&id).is_some_and(|open| self.held.binary_search(&(open.seq, id)).is_ok());
            if in_vain && still_held {
                let reason = if blocked { GiveUpReason::ListUnconfirmed } else { self.lack_of(id) };
                self.give_up(id, reason, out);
            }
        }
        groups.0.clear();
        self.dispatch_groups = groups;
        self.dispatch_order = order;
    }

    /// The position of a held request in the order of dispatch. The request that has to be sent soonest to be answered in
    /// time goes first, and the oldest of those with the same time. Requests that may already be too late go after those
    /// that are not: where capacity is short, it serves clients that still wait when the answer comes.
    fn dispatch_rank(&self, seq: u64, open: &OpenRequest) -> DispatchRank {
        let longest = self.service_times[open.class].longest_expected().max(ANSWER_LEAD);
        let send_by = open.deadline.saturating_sub(longest);
        DispatchRank { may_be_late: self.now > send_by, send_by, seq }
    }

    /// Sends a held request if a member that suits it has capacity.
    fn try_to_send(&mut self, id: RequestId, groups: &mut DispatchGroups, out: &mut Vec<Action>) {
        let open = &self.open[&id];
        let (consistency, group) = (self.settings.classes[open.class].consistency, open.group);
        if groups.begin(group) {
            self.probe_suspected(group, out);
            self.update_slow_start_tokens(group);
        }
        match consistency {
            Consistency::Write | Consistency::Fresh => self.dispatch_to_primary(id, consistency, out),
            _ => {
                // Found once for all reads of the group, as there may be very many.
                if !groups.has_read_capacity(group, || self.has_read_capacity(group)) {
                    return;
                }
                if let Some(member) = self.pick_read_member(id, out) {
                    self.send(id, member, out);
                    groups.capacity_used(group);
                }
            }
        }
    }

    /// The reason to give up a held request even if a member had capacity for it, if there is one.
    fn give_up_reason(&self, open: &OpenRequest, member_left: bool) -> Option<GiveUpReason> {
        if self.now + ANSWER_LEAD >= open.deadline {
            Some(GiveUpReason::NoTime)
        } else if !self.permissions(open, None).0 || !member_left {
            Some(GiveUpReason::NotRepeatable)
        } else {
            None
        }
    }

    /// Whether a read was sent to all members that it could wait for.
    fn all_members_tried(&self, open: &OpenRequest) -> bool {
        let mut in_service = self.group_members(open.group).filter(|(_, m)| m.in_service).peekable();
        !open.attempts.is_empty()
            && !self.needs_primary(open.class)
            && in_service.peek().is_some()
            && in_service.all(|(id, _)| open.tried(id))
    }

    /// Whether a member is left for a request to wait for. A read that was sent to all members may go again to those that
    /// left it unanswered.
    fn has_member_left(&mut self, id: RequestId) -> bool {
        let all_tried =
            |router: &Self| router.open.get(&id).is_some_and(|open| router.all_members_tried(open));
        if !all_tried(self) {
            return true;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.repeat_unanswered();
        }
        !all_tried(self)
    }

    /// What a request that is given up for lack of time has lacked before: time, if it came with too little.
    fn lack_of(&self, id: RequestId) -> GiveUpReason {
        let came_too_late =
            self.open.get(&id).is_some_and(|open| open.arrived >= self.latest_send_time(open));
        if came_too_late {
            GiveUpReason::InVain
        } else {
            GiveUpReason::NoCapacity
        }
    }

    /// Whether too little time is left for a request to be answered. A member would do the work for nothing, and others
    /// would wait for it.
    fn too_late_to_serve(&self, open: &OpenRequest) -> bool {
        self.now >= self.latest_send_time(open)
    }

    /// Whether a request is sent although too little time seems to be left for it: nothing of its class was sent of
    /// late, so that nothing else can show that members have become quicker.
    fn trial_is_due(&self, open: &OpenRequest) -> bool {
        self.now >= self.service_times[open.class].last_sent + TRIAL_INTERVAL
    }

    /// Latest time to send a request for an answer before its client gives up.
    pub(super) fn latest_send_time(&self, open: &OpenRequest) -> Time {
        open.deadline.saturating_sub(self.service_times[open.class].shortest_expected().max(ANSWER_LEAD))
    }

    pub(super) fn send(&mut self, id: RequestId, member: MemberId, out: &mut Vec<Action>) {
        let idle_faulty = self.idle_connections_fail();
        let (Some(open), Some(m)) = (self.open.get_mut(&id), self.members.get_mut(&member)) else { return };
        remove_held(&mut self.held, (open.seq, id));
        // Idle connections have been losing what is sent on them, so those to this member are closed first
        // and the request opens a new one. This costs a handshake, which hurts where handshakes are slow.
        let connection = match (m.connections_idle(self.now, IDLE_AFTER), idle_faulty) {
            (true, true) => ConnectionState::New,
            (true, false) => ConnectionState::Idle,
            _ => ConnectionState::Active,
        };
        if connection == ConnectionState::New {
            out.push(Action::CloseIdle { member });
        }
        // Only an answer proves that a connection works. Sending on a dead one must not make it count as
        // recently used.
        if connection == ConnectionState::New || m.last_used.is_none() {
            m.last_used = Some(self.now);
        }
        open.attempts.push(Attempt {
            member,
            sent: self.now,
            connection,
            status: AttemptStatus::Pending,
            delivered: true,
            repeat_there: RepeatThere::No,
        });
        m.last_progress = if m.in_flight == 0 { self.now } else { m.last_progress };
        m.in_flight += 1;
        self.busy.insert(member);
        if m.in_slow_start(self.now, self.settings.rules.warm_after) {
            m.slow_start_tokens.take();
        }
        let first_use = self.groups.get_mut(&open.group).filter(|_| m.last_sent == 0);
        first_use.into_iter().for_each(|g| g.last_first_use = self.now);
        let class = &self.settings.classes[open.class];
        self.service_times[open.class].last_sent = self.now;
        m.reads_in_flight += u32::from(class.consistency != Consistency::Write);
        m.last_sent = self.now;
        out.push(Action::Send { id, member, stop_at: self.lost_after(id, member) });
    }

    /// When the answer to an attempt that is sent now counts as lost. An answer overdue from a member that
    /// answers others in time was probably lost on the way. It is not waited for any longer if another attempt
    /// is allowed, has a member to go to, and can still be answered before the client gives up. Known cost: needless
    /// repeats if the work is uneven.
    fn lost_after(&self, id: RequestId, member: MemberId) -> Option<Time> {
        let (open, m) = (self.open.get(&id)?, self.members.get(&member)?);
        let mean = self.service_times[open.class].known_mean()?;
        let lost_after = mean * LOST_FACTOR;
        let time_for_repeat = self.now + (mean + lost_after) as Time <= open.deadline;
        // The primary is the only member for its requests, and gets the repeat on another connection.
        let needs_primary = self.needs_primary(open.class);
        let stop_early = time_for_repeat
            && self.effect(open) != Effect::Unsafe
            && m.admission.value >= LOST_MIN_ADMISSION
            && !m.in_slow_start(self.now, self.settings.rules.warm_after)
            && (needs_primary || self.other_member_allowed(open, member));
        stop_early.then_some(self.now + lost_after as Time)
    }
}
