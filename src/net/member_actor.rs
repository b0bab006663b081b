//! The actor of one member: its pool of connections, attempts, probes and their time-outs.
//!
//! An attempt has a task and a connection of its own while it runs. Time-outs and cancels end the task and with it
//! the connection, which is how a member learns that an attempt was given up. The actor waits for the core's mailbox
//! only in those tasks, never in its own loop, so that it always takes orders.

use super::budget::Budget;
use super::connection_pool::{Before, Pool};
use super::member_protocol::{Confirmation, Exchange, MemberConnection, MemberProtocol, StaleInput};
use super::member_state::SharedMemberState;
use super::timeout::Timeout;
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::flow::ChunkSender;
use crate::core::{Attempt, AttemptEnd, Input};
use crate::interface::*;
use crate::policy::begin::AttemptKey;
use crate::settings::SocketTimes;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout with a probe: reports are refreshed several times a second and cost the member next to nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// A connection that has stood idle for this share of the members' limit is closed rather than used: what is
/// written at the limit or past it ends as a reset, and a write lost so may not be sent again.
const IDLE_SHARE: f64 = 0.6;

/// An attempt that has waited for so long, in us, first lets the others take in what stands in the process's sockets: it may
/// have stood still meanwhile.
const LONG_WAIT: Time = 100_000;
/// Turns of the runtime in which a list that has come is read, handed to the core, and carried out.
const TURNS: usize = 4;

/// Lets the runtime look at its sockets, and all others do what follows from that.
async fn hear_what_has_come() {
    for _ in 0..TURNS {
        tokio::task::yield_now().await;
    }
}

/// What the fleet tells a peer.
#[derive(Debug)]
pub enum MemberCommand {
    /// Start an attempt.
    Attempt(Attempt),
    /// Stop waiting for one.
    Cancel(RequestId, u32),
    /// Attempts that have not begun may not begin any more, by the shared state.
    Withdrawn,
    /// Ask for a report.
    Probe,
    /// Something in the shared state has changed.
    Changed,
}

/// An attempt under way.
struct Running {
    task: AbortHandle,
    since: Time,
}

/// The actor's state.
pub struct MemberActor<W: MemberProtocol> {
    id: MemberId,
    state: SharedMemberState,
    core: mpsc::Sender<Input>,
    budget: Budget,
    clock: Clock,
    wire: W,
    pool: Pool<(W::Connection, Timeout)>,
    running: FxHashMap<AttemptKey, Running>,
    probing: usize,
    /// As far as the shared state has been followed.
    moves: u32,
    idle_closes: u32,
    /// Where tasks tell their ends; each tells one, so that there are never more than tasks.
    done: mpsc::UnboundedSender<Done<W::Connection>>,
    ends: Option<mpsc::UnboundedReceiver<Done<W::Connection>>>,
}

/// A task of a peer.
enum Task {
    /// Runs an attempt, up to where its end is told.
    Attempt(AttemptKey),
    /// Passes on the rest of a value whose attempt has ended.
    Value,
    /// Asks for a report.
    Probe,
}

/// A task's end.
struct Done<L> {
    task: Task,
    link: Option<(L, Timeout)>,
    /// The member's moves when it began.
    moves: u32,
}

impl<W: MemberProtocol> MemberActor<W> {
    /// A peer without connections.
    pub fn new(
        id: MemberId,
        state: SharedMemberState,
        core: mpsc::Sender<Input>,
        budget: Budget,
        clock: Clock,
        wire: W,
    ) -> Self {
        let (pool, (moves, idle_closes)) = {
            let state = state.lock();
            (Pool::new(idle_most(state.times)), (state.moves, state.idle_closes))
        };
        let (done, ends) = mpsc::unbounded_channel();
        let running = FxHashMap::default();
        MemberActor {
            id,
            state,
            core,
            budget,
            clock,
            wire,
            pool,
            running,
            probing: 0,
            moves,
            idle_closes,
            done,
            ends: Some(ends),
        }
    }

    /// Runs until the fleet lets go of it and the last attempt has ended.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<MemberCommand>) {
        let Some(mut ends) = self.ends.take() else { return };
        // Set anew only when it rings: connections come and go much faster than they grow old.
        let mut reaper = pin!(tokio::time::sleep_until(Instant::now()));
        let (mut open, mut armed) = (true, false);
        while open || !self.running.is_empty() || self.probing > 0 {
            if let (false, Some(due)) = (armed, self.pool.due()) {
                reaper.as_mut().reset(self.clock.instant(due));
                armed = true;
            }
            tokio::select! {
                biased;
                Some(Done { task, link, moves }) = ends.recv() => {
                    match task {
                        Task::Attempt(key) => drop((self.running.remove(&key), self.state.lock().gate.end(key))),
                        Task::Value => {}
                        Task::Probe => self.probing -= 1,
                    }
                    self.follow();
                    if let Some(link) = link.filter(|_| moves == self.moves) {
                        self.pool.rest(link, self.clock.now());
                    }
                }
                order = mailbox.recv(), if open => match order {
                    Some(order) => self.take(order),
                    None => open = false,
                },
                () = reaper.as_mut(), if armed => {
                    armed = false;
                    self.reap();
                }
                // Another peer lacks a descriptor: the one that has been idle for longest here goes.
                () = self.budget.members.eviction_requested(), if !self.pool.is_empty() => {
                    self.pool.drop_oldest();
                    count(Count::member_idle_closed);
                }
            }
        }
    }

    fn reap(&mut self) {
        (0..self.pool.reap(self.clock.now())).for_each(|_| count(Count::member_idle_closed));
    }

    fn take(&mut self, order: MemberCommand) {
        self.follow();
        match order {
            MemberCommand::Attempt(attempt) => self.attempt(attempt),
            MemberCommand::Cancel(id, number) => self.stop((id, number)),
            MemberCommand::Withdrawn => self.stop_withdrawn(),
            MemberCommand::Probe => self.probe(),
            MemberCommand::Changed => {}
        }
    }

    /// Does what the shared state asks for.
    fn follow(&mut self) {
        let state = self.state.lock();
        if (state.moves, state.idle_closes) != (self.moves, self.idle_closes) {
            self.pool.clear();
            (self.moves, self.idle_closes) = (state.moves, state.idle_closes);
        }
        self.pool.keep(idle_most(state.times));
    }

    /// Ends all attempts that wait and may not begin any more.
    fn stop_withdrawn(&mut self) {
        let withdrawn: Vec<AttemptKey> = {
            let gate = &self.state.lock().gate;
            let ended = |key: &AttemptKey| !gate.is_waiting(*key) && !gate.has_begun(*key);
            self.running.keys().copied().filter(ended).collect()
        };
        withdrawn.into_iter().for_each(|key| self.stop(key));
    }

    /// Ends an attempt. One of which nothing has been written was never sent.
    fn stop(&mut self, key: AttemptKey) {
        // One that has just ended has told its end; a second end would be one too many. It stays until it is taken in.
        let Some(running) = self.running.get(&key).filter(|r| !r.task.is_finished()) else { return };
        running.task.abort();
        let spent = self.clock.now().saturating_sub(running.since);
        self.running.remove(&key);
        let begun = self.state.lock().gate.end(key);
        let outcome = if begun { Outcome::Cancelled } else { Outcome::Superseded };
        self.tell_end(key, outcome, spent);
    }

    /// Tells the core of an attempt's end without waiting for room in its mailbox.
    fn tell_end(&self, key: AttemptKey, outcome: Outcome, spent: Time) {
        if outcome == Outcome::Superseded {
            count(Count::withdrawn);
        }
        let ending = AttemptEnd { outcome, value: None, note: None, report: None, spent };
        let core = self.core.clone();
        tokio::spawn(async move { core.send(Input::Ended(key.0, key.1, ending)).await });
    }

    /// A connection of the pool, with the means for a new one should it not stand.
    fn dial(&mut self, safe: bool) -> (Dial<W>, Option<Timeout>) {
        self.reap();
        let now = self.clock.now();
        let mut ready = None;
        while ready.is_none() {
            let Some((link, before)) = self.pool.take(now) else { break };
            ready = (before == Before::Nothing || link.0.is_quiet()).then_some(link);
        }
        let (ready, waits) = ready.unzip();
        let (address, connect) = {
            let state = self.state.lock();
            (state.address, state.times.connect_timeout)
        };
        let timeout = Duration::from_micros(connect);
        let (wire, budget) = (self.wire.clone(), self.budget.clone());
        (Dial { ready, safe, address, timeout, budget, wire }, waits)
    }

    fn attempt(&mut self, attempt: Attempt) {
        // Withdrawn while it stood in the mailbox.
        if !self.state.waits(attempt.key()) {
            return self.tell_end(attempt.key(), Outcome::Superseded, 0);
        }
        let ((dial, waits), core, clock) = (self.dial(attempt.safe), self.core.clone(), self.clock);
        let (key, done, moves) = (attempt.key(), self.done.clone(), self.moves);
        let since = clock.now();
        let state = self.state.clone();
        // In a box of its own: the runtime moves what it is given several times, and this is large.
        let task = tokio::spawn(Box::pin(async move {
            let stop = clock.instant(attempt.stop_at);
            let mut timeout = waits.unwrap_or_else(|| Timeout::until(stop));
            let mut written = false;
            let end = {
                let run = pin!(async {
                    let (mut link, guard) = match dial.link().await {
                        Ok(link) => link,
                        Err(outcome) => return (None, Exchange { outcome, ..Exchange::default() }),
                    };
                    if clock.now() >= since + LONG_WAIT {
                        hear_what_has_come().await;
                    }
                    // From here on nothing waits before the first byte.
                    if state.begin(&attempt, &clock).is_err() {
                        let outcome = Outcome::Superseded;
                        return (Some(link), Exchange { outcome, ..Exchange::default() });
                    }
                    // Members are told how long this proxy waits; rounded up, as 0 would say that it is over.
                    let wait = attempt.stop_at.saturating_sub(clock.now()).div_ceil(1000).max(1);
                    let mut exchange = link.run(&attempt.work, wait, guard, &mut written).await;
                    // What may be sent again needs no proof that it never ran.
                    if !attempt.safe && exchange.reusable && exchange.outcome.never_ran() {
                        exchange = Box::pin(confirmed(&mut link, exchange)).await;
                    }
                    let kept = exchange.reusable || exchange.value_rest.is_some();
                    (kept.then_some(link), exchange)
                });
                timeout.within(stop, run).await
            };
            let (mut link, exchange) = match end {
                Some(end) => end,
                // Before the last byte was written, nothing can have run.
                None => {
                    let outcome = if written { Outcome::Overdue } else { Outcome::Refused };
                    (None, Exchange { outcome, ..Exchange::default() })
                }
            };
            let Exchange { mut outcome, mut value, note, report, mut value_rest, .. } = exchange;
            // The rest still comes on the connection.
            if value_rest.is_some() && attempt.buffer_answer {
                (outcome, value, value_rest, link) = (Outcome::Errored, None, None, None);
            }
            let spent = clock.now().saturating_sub(since);
            let note = note.filter(|_| outcome.answered());
            let ending = AttemptEnd { outcome, value, note, report, spent };
            let _ = core.send(Input::Ended(key.0, key.1, ending)).await;
            let link = match value_rest {
                // The value is the client's now: neither the attempt's time nor the request's ends it, nor a cancel.
                Some(source) => {
                    let done = done.clone();
                    tokio::spawn(async move {
                        let link = pass_on(link, source).await.map(|link| (link, timeout));
                        let _ = done.send(Done { task: Task::Value, link, moves });
                    });
                    None
                }
                None => link.map(|link| (link, timeout)),
            };
            let _ = done.send(Done { task: Task::Attempt(key), link, moves });
        }));
        self.running.insert(key, Running { task: task.abort_handle(), since });
    }

    fn probe(&mut self) {
        let ((dial, waits), core, id) = (self.dial(true), self.core.clone(), self.id);
        let (done, moves) = (self.done.clone(), self.moves);
        self.probing += 1;
        let (clock, since) = (self.clock, self.clock.now());
        tokio::spawn(async move {
            let run = async {
                let (mut link, guard) = dial.link().await.ok()?;
                let (report, reusable) = link.probe(guard).await?;
                Some((reusable.then_some(link), report))
            };
            let end = Instant::now() + PROBE_TIMEOUT;
            let mut timeout = waits.unwrap_or_else(|| Timeout::until(end));
            let (link, report) = match timeout.within(end, pin!(run)).await {
                Some(Some((link, report))) => (link, Some(report)),
                _ => (None, None),
            };
            let _ = core.send(Input::Probed(id, report, clock.now().saturating_sub(since))).await;
            let link = link.map(|link| (link, timeout));
            let _ = done.send(Done { task: Task::Probe, link, moves });
        });
    }
}

/// An exchange by which the statement never ran, as far as nothing behind the answer contradicts it.
async fn confirmed<L: MemberConnection>(link: &mut L, exchange: Exchange) -> Exchange {
    match link.confirm().await {
        Confirmation::Reusable => exchange,
        Confirmation::NotReusable => Exchange { reusable: false, ..exchange },
        Confirmation::Contradicted => Exchange { outcome: Outcome::Errored, ..Exchange::default() },
    }
}

/// Passes a value's rest on.
async fn pass_on<L: MemberConnection>(link: Option<L>, to: ChunkSender) -> Option<L> {
    let mut link = link?;
    link.forward_rest(to).await.then_some(link)
}

/// How long a connection may rest.
fn idle_most(times: SocketTimes) -> Time {
    Duration::from_micros(times.keepalive).mul_f64(IDLE_SHARE).as_micros() as Time
}

/// How an attempt comes by its connection.
struct Dial<W: MemberProtocol> {
    /// One of the pool.
    ready: Option<W::Connection>,
    /// What is sent may be sent again.
    safe: bool,
    address: SocketAddr,
    timeout: Duration,
    budget: Budget,
    wire: W,
}

impl<W: MemberProtocol> Dial<W> {
    /// The connection for a statement. What is not at hand is seen to in futures of their own, so that the tasks of
    /// nearly all attempts need no room for it.
    async fn link(mut self) -> Result<(W::Connection, StaleInput), Outcome> {
        match self.ready.take() {
            Some(link) if self.safe => return Ok((link, StaleInput::Possible)),
            // What is left over may spoil the statement's answer, and this one could not be sent again: the fence goes
            // alone, and the statement follows only where it has found nothing.
            Some(mut link) => {
                let alone = Box::pin(tokio::time::timeout(self.timeout, link.fence())).await;
                if alone.unwrap_or(false) {
                    return Ok((link, StaleInput::Excluded));
                }
            }
            None => {}
        }
        Box::pin(self.open()).await.map(|link| (link, StaleInput::Excluded))
    }

    async fn open(self) -> Result<W::Connection, Outcome> {
        let Dial { address, timeout, budget, wire, .. } = self;
        // Out of descriptors is our fault, not the member's: the attempt was never sent, and the member is not in doubt.
        let permit = match tokio::time::timeout(timeout, budget.members.permit()).await {
            Ok(Some(permit)) => permit,
            Ok(None) | Err(_) => {
                count(Count::member_no_seat);
                return Err(Outcome::Superseded);
            }
        };
        count(Count::member_connections);
        match tokio::time::timeout(timeout, wire.open(address, permit)).await {
            Ok(link) => link,
            Err(_) => Err(Outcome::Refused),
        }
    }
}

#[cfg(test)]
#[path = "member_actor_tests.rs"]
mod tests;
