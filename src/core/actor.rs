//! The core's actor, the only owner of the [`Router`]. Each turn it drains its mailbox, passes the events to the
//! router in one step and carries out the resulting actions. It waits only for its mailboxes and its timer, so any
//! other task may wait for it without a deadlock.

use super::counters::{count, counter_value, Count};
use super::lease::Lease;
use super::live::LiveRequest;
use super::session_ledger::SessionLedger;
use super::{
    report_violation, Answer, Attempt, AttemptEnd, CommitExchange, CoreCommand, Input, ListedMember, Members,
    Request, SuspensionResult, Value, Work, REQUEST_LOG_TARGET,
};
use crate::clock::Clock;
use crate::effective_list::EffectiveList;
use crate::interface::*;
use crate::knowledge::evidence::Recalled;
use crate::phases::Returning;
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
const BATCH: usize = 256;
/// One of this many discarded answers is logged as a warning.
const STALE_ANSWERS_TOLD: u64 = 1_000;
/// A failure this close to the deadline or later, in us, is reported as late.
const LATE_LEAD: Time = 20_000;
/// Number of sessions whose last commit is remembered.
const SESSIONS: usize = 16_384;

fn given_up(why: GiveUpReason) -> Count {
    match why {
        GiveUpReason::NoTime => Count::given_up_no_time,
        GiveUpReason::HalfTimeOver => Count::given_up_half_time_over,
        GiveUpReason::InVain => Count::given_up_in_vain,
        GiveUpReason::NotRepeatable => Count::given_up_not_repeatable,
        GiveUpReason::ListUnconfirmed => Count::given_up_list_unconfirmed,
        GiveUpReason::NoRoom => Count::given_up_no_room,
    }
}

fn ended_count(outcome: Outcome) -> Count {
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
    pub(super) orders: mpsc::Receiver<CoreCommand>,
    /// Replies to commands, sent once the router has taken in their effect.
    pub(super) taken: Vec<(oneshot::Sender<SuspensionResult>, SuspensionResult)>,
    pub(super) overlay: EffectiveList,
    /// The exchange of commits with another process of this proxy, while there is one.
    pub(super) peer_commits: Option<Box<dyn CommitExchange>>,
    live: FxHashMap<RequestId, LiveRequest>,
    /// The ids that clients gave to the requests in `live`.
    names: HashSet<Bytes>,
    pub(super) sessions: SessionLedger,
    /// Stored facts about members, kept until a list tells what they may be used for.
    pub(super) recalled: Recalled,
    /// Up to this time, sessions whose reads carry no position may have written without this process knowing it.
    pub(super) blind: Position,
    /// Until this time, suspensions made by the operators may be missing.
    pub(super) unconfirmed: Time,
    /// Tracks the startup until full service is reached.
    pub(super) returning: Returning,
    /// The lease on the rules, if they are valid by a lease.
    pub(super) lease: Option<Lease>,
    /// The members' clock, and its offset when the starts in the member lists were last converted.
    pub(super) member_clock: MemberClock,
    pub(super) listed_at_offset: i64,
    /// Events that followed immediately from actions, for the next step.
    pub(super) local: VecDeque<Event>,
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
        (mailbox, orders): (mpsc::Receiver<Input>, mpsc::Receiver<CoreCommand>),
    ) -> Result<Self, SettingsError> {
        let max_attempts = settings.max_attempts as usize;
        Ok(Actor {
            router: Router::new(settings)?,
            max_attempts,
            members,
            clock,
            mailbox,
            orders,
            taken: Vec::new(),
            overlay: EffectiveList::default(),
            peer_commits: None,
            live: FxHashMap::default(),
            names: HashSet::new(),
            sessions: SessionLedger::new(SESSIONS),
            recalled: Recalled::default(),
            blind: 0,
            unconfirmed: 0,
            returning: Returning::new(clock.now()),
            lease: None,
            member_clock: MemberClock::default(),
            listed_at_offset: 0,
            local: VecDeque::new(),
            wake: None,
            actions: Vec::new(),
        })
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut inputs = Vec::with_capacity(BATCH);
        let mut events = Vec::with_capacity(BATCH + 1);
        // Reset only if the wake-up time has changed, which is rare.
        let (mut timer, mut set) = (pin!(tokio::time::sleep_until(Instant::now())), None);
        let mut asked = true;
        loop {
            if self.wake != set {
                set = self.wake;
                if let Some(at) = set {
                    timer.as_mut().reset(self.clock.instant(at));
                }
            }
            let woken = tokio::select! {
                biased;
                order = self.orders.recv(), if asked => {
                    match order {
                        Some(order) => events.extend(self.order(order)),
                        None => asked = false,
                    }
                    false
                }
                n = self.mailbox.recv_many(&mut inputs, BATCH) => {
                    if n == 0 {
                        return;
                    }
                    false
                }
                () = timer.as_mut(), if set.is_some() => true,
            };
            let now = self.clock.now();
            if woken || self.wake.is_some_and(|t| now >= t) {
                // One pending wake-up is enough: the router requests the next one whenever it is woken.
                events.extend(self.wake.take().map(|tag| Event::Wake { tag }));
            }
            for input in inputs.drain(..) {
                events.extend(self.take(input, now));
            }
            self.follow_member_clock();
            self.step(now, &events);
            events.clear();
            while !self.local.is_empty() {
                events.extend(self.local.drain(..));
                self.step(now, &events);
                events.clear();
            }
            for (reply, answer) in self.taken.drain(..) {
                let _ = reply.send(answer);
            }
            self.look_back(now);
        }
    }

    /// Passes a list to the members' side and returns the event that passes it to the router.
    pub(super) fn told(&mut self, kind: ListKind, entries: Vec<ListedMember>) -> Event {
        self.members.update_list(kind, &entries);
        Event::List { kind, members: entries.into_iter().map(|e| e.member).collect() }
    }

    fn take(&mut self, input: Input, now: Time) -> Option<Event> {
        match input {
            Input::Submit(id, request, reply) => self.submit(id, request, reply, now),
            Input::Disconnected(id) => {
                let live = self.live.get_mut(&id)?;
                live.reply.take()?;
                self.returning.ended(live.came, false);
                count(Count::left);
                self.withdraw(id);
                self.settle(id);
                Some(Event::Disconnected { id })
            }
            Input::Abandoned(id) => {
                let live = self.live.get_mut(&id).filter(|live| live.reply.is_some())?;
                live.abandoned = true;
                let untouched = live.untouched();
                self.withdraw(id);
                untouched.then(|| {
                    self.answer(id, Answer::Refused(None));
                    Event::Disconnected { id }
                })
            }
            Input::Ended(id, attempt, ending) => self.ended(id, attempt, ending, now),
            Input::Probed(member, report, spent) => {
                let ok = report.is_some();
                count(if ok { Count::probes } else { Count::probes_failed });
                if ok {
                    self.returning.heard(now);
                }
                // A report that cannot be true only shows that the member answers.
                let heard = |report| self.heard_report(report, spent, now).unwrap_or_default();
                Some(Event::Probed { member, ok, report: report.map(heard) })
            }
            Input::List(kind, mut entries) => {
                self.listed_locally(&mut entries);
                let entries = self.overlay.list(kind, entries, now);
                let told = self.told(kind, entries);
                if kind != ListKind::Failed && !self.recalled.is_empty() {
                    self.confirm(kind != ListKind::Disk);
                }
                Some(told)
            }
        }
    }

    /// Withdraws the request's attempts that still wait for a connection, so that they do not begin after the client
    /// has gone. Attempts that have begun are stopped by the router.
    fn withdraw(&mut self, id: RequestId) {
        for (number, member) in self.live.get(&id).iter().flat_map(|live| live.numbered()) {
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
        let Some(need) = request.class_table.classes.get(request.class).map(|c| c.consistency) else {
            let _ = reply.send(Answer::Failed);
            return None;
        };
        // Members identify a request by its id: a second one under the same id could end the first or be taken for
        // it.
        if request.name.as_ref().is_some_and(|name| !self.names.insert(name.clone())) {
            count(Count::taken_ids);
            let _ = reply.send(Answer::Taken);
            return None;
        }
        // The session's last write is the later of what the read carries and what any front has seen the session
        // commit. Members check only what the read carries; for a later commit the router must choose by proven
        // positions.
        if need == Consistency::Session {
            self.catch_up();
        }
        let carried = request.after.map_or(0, |told| self.member_clock.to_local(told));
        let written = sessions(&request).map(|s| self.sessions.written(s)).max().unwrap_or(0);
        // Where the protocol has no mark for "never wrote", a read without a position may be of a session that wrote
        // through an earlier process.
        let unmarked = request.after.is_none() && matches!(request.work, Work::Operation(_));
        let written = if unmarked { written.max(self.blind) } else { written };
        let unseen = if need == Consistency::Session && written > carried { written } else { 0 };
        let event = Event::Request {
            id,
            class: request.class,
            group: request.group,
            deadline: request.deadline,
            session: request.session.clone(),
            // A position rather than an age, because an age would be cut off at 0 if this clock is behind the
            // members'.
            session_position: (carried > 0).then_some(carried),
            proven_position: (unseen > 0).then_some(unseen),
            repeat: request.repeat,
        };
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, name:? = request.name, class = request.class_table.class_name(request.class),
            group = request.group, wait_us = request.deadline.saturating_sub(now), repeat = request.repeat, unseen;
            "taken"
        );
        self.live.insert(id, LiveRequest::new(request, now, reply, unseen));
        self.returning.asked(now);
        Some(event)
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ending: AttemptEnd, now: Time) -> Option<Event> {
        count(ended_count(ending.outcome));
        let member = self.live.get(&id).and_then(|live| live.member(attempt)).map_or(0, |member| member.0);
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member, outcome:? = ending.outcome, us = ending.spent;
            "attempt ended"
        );
        let live = self.live.get_mut(&id)?;
        live.end_attempt(attempt, ending.outcome);
        let AttemptEnd { outcome, value, note, report, spent } = ending;
        let note = note.map(|note| self.heard_note(note, spent, now));
        let report = report.and_then(|report| self.heard_report(report, spent, now));
        let outcome = self.usable(id, attempt, outcome, note);
        if outcome == Outcome::Completed {
            self.completed(id, attempt, value, note, now);
        }
        if outcome.answered() {
            self.returning.heard(now);
        }
        let live = self.live.get_mut(&id)?;
        let abandoned = live.abandoned && live.untouched();
        let complete = live.reply.is_none() || abandoned;
        if abandoned {
            self.answer(id, Answer::Refused(None));
        }
        self.settle(id);
        Some(Event::Ended { id, attempt, outcome, complete, spent, note, report })
    }

    /// The outcome to report to the router. A member that was wrongly taken for the primary, or for more recent than
    /// it is, may have served a session read without the session's last write. Such an answer is not passed on, but
    /// the attempt still counts as run.
    fn usable(&self, id: RequestId, attempt: u32, outcome: Outcome, note: Option<Note>) -> Outcome {
        let Some(live) = self.live.get(&id).filter(|_| outcome == Outcome::Completed) else { return outcome };
        if live.shows_session(attempt, note.as_ref()) {
            return outcome;
        }
        let member = live.member(attempt).map_or(0, |member| member.0);
        if counter_value(Count::stale_caught).is_multiple_of(STALE_ANSWERS_TOLD) {
            log::warn!(target: REQUEST_LOG_TARGET, id = id.0, member; "answer discarded: it may lack the last write of its session");
        }
        count(Count::stale_caught);
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member, note:?, unseen = live.unseen;
            "answer discarded: it is not proven to be recent enough"
        );
        Outcome::Stale
    }

    /// Handles a usable answer: remembers the commit of a write, and sends the first value to the client.
    fn completed(
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
        let told = note.and_then(|note| note.position);
        let position = told.or_else(|| write.then(|| self.clock.now()));
        // Remembered before the answer is sent, because the client may read as soon as it has the answer.
        if let (true, Some(commit)) = (write, position) {
            for session in sessions(&live.request) {
                self.sessions.record_commit(session, commit);
                let told = self.member_clock.to_member(commit);
                self.peer_commits.iter_mut().for_each(|other| other.record_commit(session, told));
            }
        }
        let in_time = now <= live.came + live.class().aim;
        if let (Some(value), Some(reply)) = (value, live.reply.take()) {
            count(Count::served);
            let member = live.member(attempt).map_or(0, |member| member.0);
            log::debug!(target: REQUEST_LOG_TARGET, id = id.0, attempt, member; "served");
            let commit = position.map(|local| self.member_clock.to_member(local));
            let _ = reply.send(Answer::Served(value, commit));
            self.returning.ended(live.came, in_time);
        }
    }

    /// Removes a request that has been answered and has no attempt in flight.
    fn settle(&mut self, id: RequestId) {
        if self.live.get(&id).is_some_and(|l| l.reply.is_none() && l.out() == 0) {
            let name = self.live.remove(&id).and_then(|l| l.request.name);
            name.map(|name| self.names.remove(&name));
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(live) = self.live.get_mut(&id) else { return };
        let Some(reply) = live.reply.take() else { return };
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, answer:? = answer, attempts = live.attempts(), out = live.out(),
            may_have_run = live.may_have_run();
            "answered without a value"
        );
        count(match answer {
            Answer::Refused(_) => Count::refused,
            Answer::Late => Count::late,
            _ => Count::failed,
        });
        let _ = reply.send(answer);
        self.returning.ended(live.came, false);
        self.settle(id);
    }

    fn fail(&mut self, id: RequestId, now: Time) {
        let late = self.live.get(&id).is_some_and(|live| now + LATE_LEAD >= live.request.deadline);
        self.answer(id, if late { Answer::Late } else { Answer::Failed });
    }

    fn step(&mut self, now: Time, events: &[Event]) {
        let mut actions = std::mem::take(&mut self.actions);
        // Checked before each step: after a pause, the process must not decide by rules whose lease has expired.
        if let Some(settings) = self.lease.as_mut().and_then(|lease| lease.turns(now)) {
            self.router.step(now, &[Event::Settings(settings)], &mut actions);
        }
        self.router.step(now, events, &mut actions);
        actions.drain(..).for_each(|action| self.act(now, action));
        self.actions = actions;
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { id, member, stop_at } => self.send(now, id, member, stop_at),
            Action::Cancel { id, attempt } => {
                if let Some(member) = self.live.get(&id).and_then(|live| live.member(attempt)) {
                    self.members.cancel(member, id, attempt);
                }
            }
            Action::Refuse { id, .. } if self.live.get(&id).is_some_and(LiveRequest::repeat_would_be_new) => {
                self.fail(id, now);
            }
            Action::Refuse { id, retry_after } => {
                let kept = self.live.get(&id).map_or(Ok(()), |live| live.progress().may_refuse());
                if let Err(violation) = kept {
                    report_violation(id, None, violation);
                    return self.answer(id, Answer::Failed);
                }
                self.answer(id, Answer::Refused(retry_after));
            }
            Action::Explain { id, reason } => {
                count(given_up(reason));
                log::debug!(target: REQUEST_LOG_TARGET, id = id.0, why:? = reason; "given up");
            }
            Action::Fail { id } => self.fail(id, now),
            Action::Probe { member } => {
                if !self.members.probe(member) {
                    self.local.push_back(Event::Probed { member, ok: false, report: None });
                }
            }
            Action::CloseIdle { member } => self.members.close_idle(member),
            Action::Subscribe => {
                if !self.members.subscribe() {
                    self.local.push_back(Event::List { kind: ListKind::Failed, members: Vec::new() });
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
        let first = live.first_possible_member().and_then(|first| self.router.place(first));
        let to = self.router.place(member);
        let kept =
            progress.may_send(now).and_then(|()| progress.may_go_to(to, first.map(|first| first.zone)));
        let number = live.begin_attempt(member, now, self.router.position(member));
        let stop_at = stop_at.unwrap_or(Time::MAX).min(live.request.deadline);
        let safe = live.class().effect == Effect::Safe;
        let buffer_answer = !safe && live.class().consistency == Consistency::Write;
        let rules_until = self.lease.as_ref().map_or(Time::MAX, Lease::until);
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
            client: live.request.client.clone().filter(|_| !live.abandoned),
            client_seen: live.came,
        };
        let may = live.reply.is_some() && now < stop_at && live.attempts() <= self.max_attempts;
        if let Err(violation) = kept {
            report_violation(id, Some(member), violation);
        }
        if may && kept.is_ok() && self.members.start_attempt(member, attempt) {
            count(Count::attempts);
            log::debug!(target: REQUEST_LOG_TARGET, id = id.0, attempt = number, member = member.0; "sent");
            return;
        }
        live.end_attempt(number, Outcome::Superseded);
        count(Count::superseded);
        self.local.push_back(Event::Ended {
            id,
            attempt: number,
            outcome: Outcome::Superseded,
            complete: live.reply.is_none(),
            spent: 0,
            note: None,
            report: None,
        });
    }
}

/// The sessions that a request belongs to: its own, and the one named by its key.
fn sessions(request: &Request) -> impl Iterator<Item = &Arc<str>> {
    request.session.iter().chain(&request.key_session)
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
