//! The module's actor. It alone owns the [`Router`]: it drains its mailbox, makes one step of what came, and carries
//! out the actions. It never waits for anyone but its mailbox and its wake-up, so that all may wait for it.

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
use crate::knowledge::evidence::StoredFacts;
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

/// Most messages that go into one step.
const BATCH: usize = 256;
/// Of answers that are not used the log tells one in so many.
const STALE_ANSWERS_TOLD: u64 = 1_000;
/// What fails no earlier than this before its deadline, in us, is told as late.
const LATE_LEAD: Time = 20_000;
/// Sessions remembered.
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

/// The actor's state.
pub struct Actor<M> {
    pub(super) router: Router,
    pub(super) max_attempts: usize,
    pub(super) members: M,
    pub(super) clock: Clock,
    mailbox: mpsc::Receiver<Input>,
    /// What the operators ask, read first: a full mailbox must not hold it up.
    pub(super) orders: mpsc::Receiver<CoreCommand>,
    /// Answers to that, which wait until the module has taken it in.
    pub(super) taken: Vec<(oneshot::Sender<SuspensionResult>, SuspensionResult)>,
    pub(super) overlay: EffectiveList,
    /// Another process of this proxy, while one lives.
    pub(super) peer_commits: Option<Box<dyn CommitExchange>>,
    live: FxHashMap<RequestId, LiveRequest>,
    /// The names of those.
    names: HashSet<Bytes>,
    pub(super) sessions: SessionLedger,
    /// What was stored of members, until a list tells what it may be used for.
    pub(super) recalled: StoredFacts,
    /// Sessions of clients that carry no mark may have written up to then, unknown to this process.
    pub(super) blind: Position,
    /// Until then the operators' word may be lacking.
    pub(super) unconfirmed: Time,
    /// The way back to full service, while that is not reached.
    pub(super) returning: Returning,
    /// Until when the rules hold, where they hold by a lease.
    pub(super) lease: Option<Lease>,
    /// The members' clock, and its offset when the lists' starts were last taken in.
    pub(super) member_clock: MemberClock,
    pub(super) listed_at_offset: i64,
    /// What followed from actions at once, for the next step.
    pub(super) local: VecDeque<Event>,
    wake: Option<Time>,
    /// Kept for its room.
    actions: Vec<Action>,
}

impl<M: Members> Actor<M> {
    /// An actor that has seen nothing yet.
    ///
    /// # Errors
    /// When the settings cannot be acted on.
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
            recalled: StoredFacts::default(),
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

    /// Runs until all handles are gone.
    pub async fn run(mut self) {
        let mut inputs = Vec::with_capacity(BATCH);
        let mut events = Vec::with_capacity(BATCH + 1);
        // Set anew only when the wake-up has moved: most steps leave it where it is.
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
                // One pending wake-up is enough: the router arms again whenever it is woken.
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

    /// Members and module are told of the list alike.
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
                // One that cannot be true shows no more than that the member is there.
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

    /// What waits for a connection would begin after its client has gone; what has begun is the module's to stop.
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
        // Members know a request by its name: one that is sent under another's would end, or pass for, the other.
        if request.name.as_ref().is_some_and(|name| !self.names.insert(name.clone())) {
            count(Count::taken_ids);
            let _ = reply.send(Answer::Taken);
            return None;
        }
        // The later of what a session read carries and what any front has seen its session commit. Members check
        // only what it carries, so that for a later one the module must go by proven positions.
        if need == Consistency::Session {
            self.catch_up();
        }
        let carried = request.after.map_or(0, |told| self.member_clock.to_local(told));
        let written = sessions(&request).map(|s| self.sessions.written(s)).max().unwrap_or(0);
        // Where the protocol has no mark for 'never wrote', none carried may mean one that only the last process knew.
        let unmarked = request.after.is_none() && matches!(request.work, Work::Operation(_));
        let written = if unmarked { written.max(self.blind) } else { written };
        let unseen = if need == Consistency::Session && written > carried { written } else { 0 };
        let event = Event::Request {
            id,
            class: request.class,
            group: request.group,
            deadline: request.deadline,
            session: request.session.clone(),
            // A position, as an age would be cut off at 0 where this clock is behind the members'.
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

    /// What the module is told of an attempt: a member that was taken for the primary, or for further on than it is, may serve a
    /// session read from before the session's last write. Such an answer is not passed on; that it ran stands.
    fn usable(&self, id: RequestId, attempt: u32, outcome: Outcome, note: Option<Note>) -> Outcome {
        let Some(live) = self.live.get(&id).filter(|_| outcome == Outcome::Completed) else { return outcome };
        if live.shows_session(attempt, note.as_ref()) {
            return outcome;
        }
        let member = live.member(attempt).map_or(0, |member| member.0);
        if counter_value(Count::stale_caught).is_multiple_of(STALE_ANSWERS_TOLD) {
            log::warn!(target: REQUEST_LOG_TARGET, id = id.0, member; "an answer is not used: it may be older than its session");
        }
        count(Count::stale_caught);
        log::debug!(
            target: REQUEST_LOG_TARGET, id = id.0, attempt, member, note:?, unseen = live.unseen;
            "answer not used, as it does not prove to be recent enough"
        );
        Outcome::Stale
    }

    /// An attempt has brought an answer that can be used: its commit is remembered, and the client gets the first value.
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
        // A write whose commit cannot be read was committed by now at the latest.
        let told = note.and_then(|note| note.position);
        let position = told.or_else(|| write.then(|| self.clock.now()));
        // Remembered before the answer leaves: whoever has the answer may read at once.
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

    /// Forgets a request that is over and has nothing out.
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
        // Looked at before each step: a process that has stood still decides nothing by rules that ran out meanwhile.
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

/// The sessions that a request belongs to: the one it names, and the one that its key names.
fn sessions(request: &Request) -> impl Iterator<Item = &Arc<str>> {
    request.session.iter().chain(&request.key_session)
}

#[cfg(test)]
#[path = "actor_tests.rs"]
mod tests;
