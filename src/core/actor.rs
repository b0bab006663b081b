//! The core's actor, the only owner of the [`Router`]. In each iteration it drains its mailbox, passes the
//! events to the router in one step and carries out the resulting actions. It waits only for its mailboxes
//! and its timer, so any other task may wait for it without a deadlock.

use super::counters::{count, counter_value, Count};
use super::lease::Lease;
use super::list_queue::{ListPart, ListQueue};
use super::live::LiveRequest;
use super::session_ledger::SessionLedger;
use super::work_time::{self, Work as LongWork};
use super::{
    report_violation, Answer, Attempt, AttemptEnd, CommitExchange, CoreCommand, Input, ListedMember, Members,
    Request, SuspensionResult, Value, Work, REQUEST_LOG_TARGET,
};
use crate::clock::Clock;
use crate::effective_list::EffectiveList;
use crate::interface::*;
use crate::knowledge::evidence::StoredFacts;
use crate::phases::StartupTracker;
use crate::policy::member_clock::MemberClock;
use crate::Router;
use bytes::Bytes;
use rustc_hash::FxHashMap;
use std::collections::{HashSet, VecDeque};
use std::pin::pin;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Maximum number of messages per step.
const MAX_BATCH: usize = 256;
/// One of this many discarded answers is logged as a warning.
const STALE_ANSWERS_PER_WARNING: u64 = 1_000;
/// A failure this close to the deadline or later, in us, is reported as late.
const LATE_MARGIN: Time = 20_000;
/// Number of sessions whose last commit is remembered.
const MAX_SESSIONS: usize = 16_384;

fn given_up_counter(why: GiveUpReason) -> Count {
    match why {
        GiveUpReason::NoTime => Count::given_up_no_time,
        GiveUpReason::InVain => Count::given_up_in_vain,
        GiveUpReason::NotRepeatable => Count::given_up_not_repeatable,
        GiveUpReason::ListUnconfirmed => Count::given_up_list_unconfirmed,
        GiveUpReason::NoCapacity => Count::given_up_no_room,
    }
}

fn outcome_counter(outcome: Outcome) -> Count {
    match outcome {
        Outcome::Completed => Count::completed,
        Outcome::Errored => Count::errored,
        Outcome::Saturated => Count::saturated,
        Outcome::Overdue => Count::overdue,
        Outcome::Refused => Count::connect_failed,
        Outcome::Reset => Count::severed,
        Outcome::Cancelled => Count::recalled,
        Outcome::Superseded => Count::superseded,
        Outcome::Miss => Count::missed,
        Outcome::Stale => Count::stale_caught,
    }
}

/// The core's actor.
pub struct Actor<M> {
    pub(super) router: Router,
    pub(super) max_attempts: usize,
    pub(super) members: M,
    pub(super) clock: Clock,
    mailbox: mpsc::Receiver<Input>,
    /// Control commands, read before the mailbox: a full mailbox must not delay them.
    pub(super) commands: mpsc::Receiver<CoreCommand>,
    /// Replies to commands, sent once the router has taken in their effect.
    pub(super) suspension_replies: Vec<(oneshot::Sender<SuspensionResult>, SuspensionResult)>,
    pub(super) effective_list: EffectiveList,
    /// Changes of lists that are still to be applied.
    list_queue: ListQueue,
    /// The exchange of commits with another process of this proxy, while there is one.
    pub(super) peer_commits: Option<Box<dyn CommitExchange>>,
    live: FxHashMap<RequestId, LiveRequest>,
    /// The ids that clients gave to the requests in `live`.
    open_client_ids: HashSet<Bytes>,
    pub(super) sessions: SessionLedger,
    /// Stored facts about members, kept until a member list shows which of them may be used.
    pub(super) stored_facts: StoredFacts,
    /// Up to this time, when this process started, sessions whose reads carry no position may have written
    /// without this process knowing of it.
    pub(super) unmarked_writes_until: Position,
    /// Until this time, suspensions made by the operators may be missing.
    pub(super) unconfirmed_until: Time,
    /// Tracks the startup until full service is reached.
    pub(super) startup: StartupTracker,
    /// The lease on the rules, if they are valid by a lease.
    pub(super) lease: Option<Lease>,
    /// The members' clock.
    pub(super) member_clock: MemberClock,
    /// The offset of the members' clock when the start times in the member lists were last converted.
    pub(super) listed_offset: i64,
    /// Events that followed immediately from actions, for the next step.
    pub(super) next_events: VecDeque<Event>,
    wake: Option<Time>,
    /// Reused between steps to keep its allocation.
    actions: Vec<Action>,
}

impl<M: Members> Actor<M> {
    /// Creates an actor without members or requests.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(
        settings: Settings,
        members: M,
        clock: Clock,
        (mailbox, commands): (mpsc::Receiver<Input>, mpsc::Receiver<CoreCommand>),
    ) -> Result<Self, SettingsError> {
        let max_attempts = settings.max_attempts as usize;
        Ok(Actor {
            router: Router::new(settings)?,
            max_attempts,
            members,
            clock,
            mailbox,
            commands,
            suspension_replies: Vec::new(),
            effective_list: EffectiveList::default(),
            list_queue: ListQueue::default(),
            peer_commits: None,
            live: FxHashMap::default(),
            open_client_ids: HashSet::new(),
            sessions: SessionLedger::new(MAX_SESSIONS),
            stored_facts: StoredFacts::default(),
            unmarked_writes_until: clock.now(),
            unconfirmed_until: 0,
            startup: StartupTracker::new(clock.now()),
            lease: None,
            member_clock: MemberClock::default(),
            listed_offset: 0,
            next_events: VecDeque::new(),
            wake: None,
            actions: Vec::new(),
        })
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut inputs = Vec::with_capacity(MAX_BATCH);
        let mut events = Vec::with_capacity(MAX_BATCH + 1);
        // Reset only if the wake-up time has changed, which is rare.
        let (mut timer, mut armed_for) = (pin!(tokio::time::sleep_until(Instant::now())), None);
        let mut commands_open = true;
        loop {
            if self.wake != armed_for {
                armed_for = self.wake;
                if let Some(at) = armed_for {
                    timer.as_mut().reset(self.clock.instant(at));
                }
            }
            let woken = tokio::select! {
                biased;
                command = self.commands.recv(), if commands_open => {
                    match command {
                        Some(command) => events.extend(self.handle_command(command)),
                        None => commands_open = false,
                    }
                    false
                }
                n = self.mailbox.recv_many(&mut inputs, MAX_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    false
                }
                () = timer.as_mut(), if armed_for.is_some() => true,
                () = tokio::task::yield_now(), if !self.list_queue.is_empty() => false,
            };
            let began = std::time::Instant::now();
            let (now, input_count) = (self.clock.now(), inputs.len());
            if woken || self.wake.is_some_and(|t| now >= t) {
                // One pending wake-up is enough: the router requests the next one whenever it is woken.
                events.extend(self.wake.take().map(|tag| Event::Wake { tag }));
            }
            for input in inputs.drain(..) {
                events.extend(self.handle_input(input, now));
            }
            events.extend(self.next_list_part());
            self.apply_clock_offset();
            self.step(now, &events);
            events.clear();
            while !self.next_events.is_empty() {
                events.extend(self.next_events.drain(..));
                self.step(now, &events);
                events.clear();
            }
            for (reply, answer) in self.suspension_replies.drain(..) {
                let _ = reply.send(answer);
            }
            self.advance_startup(now);
            work_time::record(LongWork::CoreStep, began, || {
                format!("{input_count} inputs, {} entries in the router's tables", self.router.entry_count())
            });
        }
    }

    /// Passes a list to the members' side and returns the event that passes it to the router.
    pub(super) fn list_event(&mut self, kind: ListKind, entries: Vec<ListedMember>) -> Event {
        self.members.update_list(kind, &entries);
        Event::List { kind, members: entries.into_iter().map(|e| e.member).collect() }
    }

    fn handle_input(&mut self, input: Input, now: Time) -> Option<Event> {
        match input {
            Input::Submit(id, request, reply) => self.submit(id, request, reply, now),
            Input::Disconnected(id) => {
                let live = self.live.get_mut(&id)?;
                live.reply.take()?;
                self.startup.request_ended(live.arrived_at, false);
                count(Count::left);
                self.withdraw(id);
                self.remove_if_done(id);
                Some(Event::Disconnected { id })
            }
            Input::Abandoned(id) => {
                let live = self.live.get_mut(&id).filter(|live| live.reply.is_some())?;
                live.abandoned = true;
                self.withdraw(id);
                self.end_if_abandoned(id, now);
                // Nothing may begin for a client that has left. An attempt in flight goes on: its answer is kept for a
                // client that retries.
                Some(Event::Disconnected { id })
            }
            Input::Ended(id, attempt, end) => self.attempt_ended(id, attempt, end, now),
            Input::Probed(member, report, spent) => {
                let ok = report.is_some();
                count(if ok { Count::probes } else { Count::probes_failed });
                if ok {
                    self.startup.member_answered(now);
                }
                // An implausible report only shows that the member answers.
                let localize = |report| self.localize_report(report, spent, now).unwrap_or_default();
                Some(Event::Probed { member, ok, report: report.map(localize) })
            }
            Input::List(kind, mut entries) => {
                self.localize_starts(&mut entries);
                let changes = self.effective_list.list(kind, entries, now);
                let first = self.list_queue.is_empty();
                self.list_queue.push(kind, changes);
                first.then(|| self.next_list_part()).flatten()
            }
        }
    }

    /// Applies the next part of the lists that have come.
    fn next_list_part(&mut self) -> Option<Event> {
        let ListPart { kind, changes, completes } = self.list_queue.next_part()?;
        // The operators may have changed a member's state since, and a later list may have removed the member.
        let current = |entry: ListedMember| match entry.member.service_state {
            ServiceState::Removed => Some(entry),
            _ => self.effective_list.entry(&entry.name),
        };
        let changes = changes.into_iter().filter_map(current).collect();
        let event = self.list_event(kind, changes);
        if let Some(kind) =
            completes.filter(|kind| *kind != ListKind::Failed && !self.stored_facts.is_empty())
        {
            self.apply_stored_facts(kind != ListKind::Disk);
        }
        Some(event)
    }

    /// Withdraws the request's attempts that still wait for a connection, so that they do not begin after the
    /// client has gone. Attempts that have begun are stopped by the router.
    fn withdraw(&mut self, id: RequestId) {
        for (number, member) in self.live.get(&id).iter().flat_map(|live| live.numbered_attempts()) {
            self.members.withdraw(member, id, number);
        }
    }

    fn submit(
        &mut self,
        id: RequestId,
        request: Request,
        reply: oneshot::Sender<Answer>,
        now: Time,
    ) -> Option<Event> {
        let Some(consistency) = request.class_table.classes.get(request.class).map(|c| c.consistency) else {
            let _ = reply.send(Answer::Failed);
            return None;
        };
        // Members identify a request by its id: a second one under the same id could end the first or be
        // mistaken for it.
        if request.name.as_ref().is_some_and(|name| !self.open_client_ids.insert(name.clone())) {
            count(Count::taken_ids);
            let _ = reply.send(Answer::Taken);
            return None;
        }
        // The session's last write is the later of what the read carries and what any front has seen the
        // session commit. Members check only what the read carries; for a later commit the router must choose
        // by proven positions.
        if consistency == Consistency::Session {
            self.sync_peer_commits();
        }
        let carried = request.after.map_or(0, |at| self.member_clock.to_local(at));
        let written = sessions(&request).map(|s| self.sessions.written(s)).max().unwrap_or(0);
        // Where the protocol has no mark for "never wrote", a read without a position may be of a session
        // that wrote through an earlier process.
        let unmarked = request.after.is_none() && matches!(request.work, Work::Operation(_));
        let written = if unmarked { written.max(self.unmarked_writes_until) } else { written };
        let unchecked_position =
            if consistency == Consistency::Session && written > carried { written } else { 0 };
        let has_idempotency_key = request.work.has_idempotency_key();
        let event = Event::Request {
            id,
            class: request.class,
            group: request.group,
            deadline: request.deadline,
            session: request.session.clone(),
            // A position rather than an age, because an age would be cut off at 0 if this clock is behind the
            // members'.
            session_position: (carried > 0).then_some(carried),
            proven_position: (unchecked_position > 0).then_some(unchecked_position),
            repeat: request.repeat,
            has_idempotency_key,
        };
        let keyed = matches!(request.class_table.classes[request.class].effect, Effect::Keyed { .. });
        if keyed && !has_idempotency_key {
            count(Count::without_key);
        }
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, name:? = request.name,
            class = request.class_table.class_name(request.class), group = request.group,
            wait_us = request.deadline.saturating_sub(now), repeat = request.repeat,
            unseen = unchecked_position, has_idempotency_key;
            "taken"
        );
        self.live.insert(id, LiveRequest::new(request, now, reply, unchecked_position));
        self.startup.request_arrived(now);
        Some(event)
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: u32, end: AttemptEnd, now: Time) -> Option<Event> {
        count(outcome_counter(end.outcome));
        let member = self.live.get(&id).and_then(|live| live.member(attempt)).map_or(0, |member| member.0);
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member, outcome:? = end.outcome, us = end.spent;
            "attempt ended"
        );
        let live = self.live.get_mut(&id)?;
        live.end_attempt(attempt, end.outcome);
        let AttemptEnd { outcome, value, note, report, spent } = end;
        let note = note.map(|note| self.localize_note(note, spent, now));
        let report = report.and_then(|report| self.localize_report(report, spent, now));
        let outcome = self.checked_outcome(id, attempt, outcome, note);
        if outcome == Outcome::Completed {
            self.attempt_completed(id, attempt, value, note, now);
        }
        if outcome.answered() {
            self.startup.member_answered(now);
        }
        self.end_if_abandoned(id, now);
        let complete = self.live.get(&id).is_none_or(|live| live.reply.is_none());
        self.remove_if_done(id);
        Some(Event::Ended { id, attempt, outcome, complete, spent, note, report })
    }

    /// Answers a request for which nobody waits any more, once no attempt of it is in flight: there will be no other.
    fn end_if_abandoned(&mut self, id: RequestId, now: Time) {
        let Some(live) = self.live.get(&id).filter(|live| live.abandoned && live.in_flight() == 0) else {
            return;
        };
        match live.had_no_effect() {
            true => self.answer(id, Answer::Refused(None)),
            false => self.fail(id, now),
        }
    }

    /// The outcome to report to the router. A member that was wrongly taken for the primary, or whose data
    /// was believed to be more recent than it is, may have served a session read without the session's last
    /// write. Such an answer is not passed on, but the attempt still counts as run.
    fn checked_outcome(&self, id: RequestId, attempt: u32, outcome: Outcome, note: Option<Note>) -> Outcome {
        let Some(live) = self.live.get(&id).filter(|_| outcome == Outcome::Completed) else { return outcome };
        if live.reflects_session(attempt, note.as_ref()) {
            return outcome;
        }
        let member = live.member(attempt).map_or(0, |member| member.0);
        if counter_value(Count::stale_caught).is_multiple_of(STALE_ANSWERS_PER_WARNING) {
            log::warn!(
                target: REQUEST_LOG_TARGET, id = id.0, member;
                "answer discarded: it may lack the last write of its session"
            );
        }
        count(Count::stale_caught);
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member, note:?, unseen = live.unchecked_position;
            "answer discarded: it is not proven to be recent enough"
        );
        Outcome::Stale
    }

    /// Handles a usable answer: remembers the commit of a write, and sends the first value to the client.
    fn attempt_completed(
        &mut self,
        id: RequestId,
        attempt: u32,
        value: Option<Value>,
        note: Option<Note>,
        now: Time,
    ) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let write = live.class().consistency == Consistency::Write;
        // If the commit's position cannot be read, the current time is a safe upper bound.
        let reported = note.and_then(|note| note.position);
        let position = reported.or_else(|| write.then(|| self.clock.now()));
        // Remembered before the answer is sent, because the client may read as soon as it has the answer.
        if let (true, Some(commit)) = (write, position) {
            for session in sessions(&live.request) {
                self.sessions.record_commit(session, commit);
                let member_time = self.member_clock.to_member(commit);
                self.peer_commits.iter_mut().for_each(|peer| peer.record_commit(session, member_time));
            }
        }
        let in_time = now <= live.arrived_at + live.class().aim;
        if let (Some(value), Some(reply)) = (value, live.reply.take()) {
            report_if_lost(live, id, now);
            count(Count::served);
            let member = live.member(attempt).map_or(0, |member| member.0);
            log::debug!(target: REQUEST_LOG_TARGET, id = id.0, attempt, member; "served");
            let commit = position.map(|local| self.member_clock.to_member(local));
            let _ = reply.send(Answer::Served(value, commit));
            self.startup.request_ended(live.arrived_at, in_time);
        }
    }

    /// Removes a request that has been answered and has no attempt in flight.
    fn remove_if_done(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.reply.is_none() && l.in_flight() == 0) {
            let name = self.live.remove(&id).and_then(|l| l.request.name);
            name.map(|name| self.open_client_ids.remove(&name));
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(reply) = live.reply.take() else { return };
        report_if_lost(live, id, self.clock.now());
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, answer:? = answer, attempts = live.attempt_count(),
            out = live.in_flight(), may_have_run = live.may_have_run();
            "answered without a value"
        );
        count(match answer {
            Answer::Refused(_) => Count::refused,
            Answer::Late => Count::late,
            _ => Count::failed,
        });
        let _ = reply.send(answer);
        self.startup.request_ended(live.arrived_at, false);
        self.remove_if_done(id);
    }

    fn fail(&mut self, id: RequestId, now: Time) {
        let late = self.live.get(&id).is_some_and(|live| now + LATE_MARGIN >= live.request.deadline);
        self.answer(id, if late { Answer::Late } else { Answer::Failed });
    }

    fn step(&mut self, now: Time, events: &[Event]) {
        let mut actions = std::mem::take(&mut self.actions);
        // Checked before each step: after a stall, the process must not decide by rules whose lease has
        // expired.
        if let Some(settings) = self.lease.as_mut().and_then(|lease| lease.take_change(now)) {
            self.router.step(now, &[Event::Settings(settings)], &mut actions);
        }
        self.router.step(now, events, &mut actions);
        actions.drain(..).for_each(|action| self.carry_out(now, action));
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, member, stop_at } => self.send(now, id, member, stop_at),
            Action::Cancel { id, attempt } => {
                if let Some(member) = self.live.get(&id).and_then(|live| live.member(attempt)) {
                    self.members.cancel(member, id, attempt);
                }
            }
            Action::Refuse { id, .. }
                if self.live.get(&id).is_some_and(LiveRequest::retry_would_run_again) =>
            {
                self.fail(id, now);
            }
            Action::Refuse { id, retry_after } => {
                let allowed = self.live.get(&id).map_or(Ok(()), |live| live.progress().may_refuse());
                if let Err(violation) = allowed {
                    report_violation(id, None, violation);
                    return self.answer(id, Answer::Failed);
                }
                self.answer(id, Answer::Refused(retry_after));
            }
            Action::Explain { id, reason } => {
                count(given_up_counter(reason));
                log::debug!(target: REQUEST_LOG_TARGET, id = id.0, why:? = reason; "given up");
            }
            Action::Fail { id } => self.fail(id, now),
            Action::Probe { member } => {
                if !self.members.probe(member) {
                    self.next_events.push_back(Event::Probed { member, ok: false, report: None });
                }
            }
            Action::CloseIdle { member } => self.members.close_idle(member),
            Action::Subscribe => {
                if !self.members.subscribe() {
                    self.next_events.push_back(Event::List { kind: ListKind::Failed, members: Vec::new() });
                }
            }
            Action::Wake { after, .. } => {
                let at = now + after;
                self.wake = Some(self.wake.map_or(at, |t| t.min(at)));
            }
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn send(&mut self, now: Time, id: RequestId, member: MemberId, stop_at: Option<Time>) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let progress = live.progress();
        let first = live.first_possible_run_member().and_then(|first| self.router.place(first));
        let to = self.router.place(member);
        let allowed =
            progress.may_send(now).and_then(|()| progress.may_go_to(to, first.map(|first| first.zone)));
        let number = live.begin_attempt(member, now, self.router.position(member));
        let stop_at = stop_at.unwrap_or(Time::MAX).min(live.request.deadline);
        let safe = live.effect() == Effect::Safe;
        let buffer_answer = !safe && live.class().consistency == Consistency::Write;
        let rules_until = self.lease.as_ref().map_or(Time::MAX, Lease::until);
        let client = live.request.client.as_ref().filter(|_| !live.abandoned);
        let attempt = Attempt {
            id,
            number,
            work: live.request.work.clone(),
            stop_at,
            safe,
            buffer_answer,
            rules_until,
            dedup_until: progress.dedup_until(),
            fresh_until: self.router.fresh_until(live.request.group, member, live.class().consistency),
            client: client.map(|client| client.connection.clone()),
            client_seen: client.map_or(live.arrived_at, |client| client.seen_at),
        };
        let can_send = live.reply.is_some() && now < stop_at && live.attempt_count() <= self.max_attempts;
        if let Err(violation) = allowed {
            report_violation(id, Some(member), violation);
        }
        if can_send && allowed.is_ok() && self.members.start_attempt(member, attempt) {
            self.record_attempt(id, number, member);
            return;
        }
        live.end_attempt(number, Outcome::Superseded);
        count(Count::superseded);
        self.next_events.push_back(Event::Ended {
            id,
            attempt: number,
            outcome: Outcome::Superseded,
            complete: live.reply.is_none(),
            spent: 0,
            note: None,
            report: None,
        });
    }

    /// Counts and logs an attempt that a member's actor has taken, and what is known of the member.
    fn record_attempt(&self, id: RequestId, attempt: u32, member: MemberId) {
        let Some(live) = self.live.get(&id) else { return };
        let slow_start_weight = self.router.weight_in_slow_start(member);
        let is_write = live.class().consistency == Consistency::Write;
        let is_role_trial = is_write && self.router.primary(live.request.group) != Some(member);
        count(Count::attempts);
        if slow_start_weight.is_some() {
            count(Count::slow_start_attempts);
        }
        if slow_start_weight.is_some() && live.request.repeat {
            count(Count::slow_start_repeats);
        }
        if is_role_trial {
            count(Count::role_trials);
        }
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member = member.0, slow_start_weight:?, is_role_trial;
            "sent"
        );
    }
}

/// Counts and logs a final answer that comes so late that its request is lost.
fn report_if_lost(live: &LiveRequest, id: RequestId, now: Time) {
    if !live.progress().is_lost(now) {
        return;
    }
    count(Count::answers_lost);
    log::warn!(
        target: REQUEST_LOG_TARGET, id = id.0, attempts = live.attempt_count(),
        late_us = now.saturating_sub(live.request.deadline), since_arrival_us = now.saturating_sub(live.arrived_at);
        "the final answer comes too late"
    );
}

/// The sessions that a request belongs to: its own, and the one named by its key.
fn sessions(request: &Request) -> impl Iterator<Item = &Arc<str>> {
    request.session.iter().chain(&request.key_session)
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
