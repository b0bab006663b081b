//! The actor of one member: its connection pool, attempts, probes and their timeouts.
//!
//! Each running attempt has a task and a connection of its own. A timeout or cancellation ends the task and closes
//! the connection, which tells the member that the attempt was given up. Only these tasks wait for room in the
//! core's mailbox, never the actor's own loop, so that the actor always accepts commands.

use super::budget::Budget;
use super::connection_pool::{Pool, SocketCheck};
use super::list_reader::is_reading_list;
use super::member_protocol::{Confirmation, Exchange, MemberConnection, MemberProtocol, StaleInput};
use super::member_state::SharedMemberState;
use super::timeout::ReusableTimer;
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::flow::ChunkSender;
use crate::core::{Attempt, AttemptEnd, Input, REQUEST_LOG_TARGET};
use crate::interface::*;
use crate::meter::{self, Cost};
use crate::policy::begin::AttemptKey;
use crate::policy::invariants::is_written_in_time;
use crate::settings::SocketTimes;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Timeout of a probe. Reports are refreshed several times a second and cost the member next to nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// A connection that has been idle for this fraction of the members' idle limit is closed instead of used: a
/// statement written at or after the limit ends in a reset, and a write lost that way may not be sent again.
const MAX_IDLE_FRACTION: f64 = 0.6;

/// An attempt that has waited for this long, in us, first lets other tasks process the input that has arrived, as
/// the process may have been stalled meanwhile.
const LONG_WAIT: Time = 100_000;
/// Scheduler rounds needed to read a new member list, pass it to the core and carry it out.
const YIELDS: usize = 4;

/// Most rounds for which an attempt waits for a long list to be read.
const MAX_LIST_YIELDS: usize = 256;

/// Lets the runtime poll its sockets, and other tasks process the input, lists that are read in parts to their end.
async fn process_pending_input() {
    let mut rounds = 0;
    for _ in 0..MAX_LIST_YIELDS {
        tokio::task::yield_now().await;
        rounds = if is_reading_list() { 0 } else { rounds + 1 };
        if rounds == YIELDS {
            return;
        }
    }
}

/// A command of [`super::member_actors`] to a member's actor.
#[derive(Debug)]
pub enum MemberCommand {
    /// Starts an attempt.
    Attempt(Attempt),
    /// Cancels an attempt.
    Cancel(RequestId, u32),
    /// The shared state has withdrawn attempts that have not begun.
    Withdrawn,
    /// Asks the member for a report.
    Probe,
    /// The shared state has changed.
    Changed,
}

/// A running attempt.
struct Running {
    task: AbortHandle,
    since: Time,
}

/// The state of the actor.
pub struct MemberActor<W: MemberProtocol> {
    id: MemberId,
    state: SharedMemberState,
    core: mpsc::Sender<Input>,
    budget: Budget,
    clock: Clock,
    protocol: W,
    pool: Pool<(W::Connection, ReusableTimer)>,
    running: FxHashMap<AttemptKey, Running>,
    probing: usize,
    /// The versions of the shared state that the actor has applied.
    moves: u32,
    idle_closes: u32,
    /// Where tasks report that they ended. Each task reports once, so the channel holds no more entries than there
    /// are tasks.
    task_ended: mpsc::UnboundedSender<TaskEnd<W::Connection>>,
    ends: Option<mpsc::UnboundedReceiver<TaskEnd<W::Connection>>>,
}

/// A task started by the actor.
enum Task {
    /// Runs an attempt, until its end has been reported to the core.
    Attempt(AttemptKey),
    /// Forwards the rest of a value whose attempt has ended.
    Value,
    /// Asks for a report.
    Probe,
}

/// The end of a task.
struct TaskEnd<L> {
    task: Task,
    connection: Option<(L, ReusableTimer)>,
    /// The member's number of moves when the task was started.
    moves: u32,
}

impl<W: MemberProtocol> MemberActor<W> {
    /// Creates an actor without connections.
    pub fn new(
        id: MemberId,
        state: SharedMemberState,
        core: mpsc::Sender<Input>,
        budget: Budget,
        clock: Clock,
        protocol: W,
    ) -> Self {
        let (pool, (moves, idle_closes)) = {
            let state = state.lock();
            (Pool::new(max_idle(state.times)), (state.moves, state.idle_closes))
        };
        let (task_ended, ends) = mpsc::unbounded_channel();
        let running = FxHashMap::default();
        MemberActor {
            id,
            state,
            core,
            budget,
            clock,
            protocol,
            pool,
            running,
            probing: 0,
            moves,
            idle_closes,
            task_ended,
            ends: Some(ends),
        }
    }

    /// Runs until all senders of commands are gone and the last attempt has ended.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<MemberCommand>) {
        let Some(mut ends) = self.ends.take() else { return };
        // Reset only when it expires, as connections are used and returned much faster than they expire.
        let mut expiry_timer = pin!(tokio::time::sleep_until(Instant::now()));
        let (mut open, mut armed) = (true, false);
        while open || !self.running.is_empty() || self.probing > 0 {
            if let (false, Some(due)) = (armed, self.pool.next_expiry()) {
                expiry_timer.as_mut().reset(self.clock.instant(due));
                armed = true;
            }
            tokio::select! {
                biased;
                Some(TaskEnd { task, connection, moves }) = ends.recv() => {
                    match task {
                        Task::Attempt(key) => drop((self.running.remove(&key), self.state.lock().gate.end(key))),
                        Task::Value => {}
                        Task::Probe => self.probing -= 1,
                    }
                    self.apply_shared_state();
                    if let Some(connection) = connection.filter(|_| moves == self.moves) {
                        self.pool.put(connection, self.clock.now());
                    }
                }
                command = mailbox.recv(), if open => match command {
                    Some(command) => self.handle(command),
                    None => open = false,
                },
                () = expiry_timer.as_mut(), if armed => {
                    armed = false;
                    self.close_expired();
                }
                // Another member's actor needs a descriptor: close the connection here that has been idle longest.
                () = self.budget.members.eviction_requested(), if !self.pool.is_empty() => {
                    self.pool.drop_oldest();
                    count(Count::member_idle_closed);
                }
            }
        }
    }

    fn close_expired(&mut self) {
        (0..self.pool.remove_expired(self.clock.now())).for_each(|_| count(Count::member_idle_closed));
    }

    fn handle(&mut self, command: MemberCommand) {
        self.apply_shared_state();
        match command {
            MemberCommand::Attempt(attempt) => self.start_attempt(attempt),
            MemberCommand::Cancel(id, number) => self.end_attempt((id, number)),
            MemberCommand::Withdrawn => self.end_withdrawn(),
            MemberCommand::Probe => self.start_probe(),
            MemberCommand::Changed => {}
        }
    }

    /// Applies changes of the shared state.
    fn apply_shared_state(&mut self) {
        let state = self.state.lock();
        if (state.moves, state.idle_closes) != (self.moves, self.idle_closes) {
            self.pool.clear();
            (self.moves, self.idle_closes) = (state.moves, state.idle_closes);
        }
        self.pool.set_max_idle(max_idle(state.times));
    }

    /// Ends all attempts that are waiting and may not begin any more.
    fn end_withdrawn(&mut self) {
        let withdrawn: Vec<AttemptKey> = {
            let gate = &self.state.lock().gate;
            let ended = |key: &AttemptKey| !gate.is_waiting(*key) && !gate.has_begun(*key);
            self.running.keys().copied().filter(ended).collect()
        };
        withdrawn.into_iter().for_each(|key| self.end_attempt(key));
    }

    /// Ends an attempt. If nothing of it has been written, it counts as never sent.
    fn end_attempt(&mut self, key: AttemptKey) {
        // An attempt whose task has finished has reported its end already, and must not report it twice. It is
        // removed when the end of its task is handled.
        let Some(running) = self.running.get(&key).filter(|r| !r.task.is_finished()) else { return };
        running.task.abort();
        let spent = self.clock.now().saturating_sub(running.since);
        self.running.remove(&key);
        let begun = self.state.lock().gate.end(key);
        let outcome = if begun { Outcome::Cancelled } else { Outcome::Superseded };
        self.report_end(key, outcome, spent);
    }

    /// Reports an attempt's end to the core without waiting for room in the core's mailbox.
    fn report_end(&self, key: AttemptKey, outcome: Outcome, spent: Time) {
        if outcome == Outcome::Superseded {
            count(Count::withdrawn);
        }
        let ending = AttemptEnd { outcome, value: None, note: None, report: None, spent };
        let core = self.core.clone();
        tokio::spawn(async move { core.send(Input::Ended(key.0, key.1, ending)).await });
    }

    /// Takes a connection from the pool, with what is needed to open a new one if the pool has none that is usable.
    fn connection_source(&mut self, safe: bool) -> (ConnectionSource<W>, Option<ReusableTimer>) {
        self.close_expired();
        let now = self.clock.now();
        let mut ready = None;
        while ready.is_none() {
            let Some((connection, check)) = self.pool.take(now) else { break };
            let usable = match check {
                SocketCheck::Skip => true,
                SocketCheck::Needed => {
                    meter::add(Cost::IdleChecks, 1);
                    connection.0.is_quiet()
                }
            };
            ready = usable.then_some(connection);
        }
        let (ready, timer) = ready.unzip();
        let (address, connect) = {
            let state = self.state.lock();
            (state.address, state.times.connect_timeout)
        };
        let timeout = Duration::from_micros(connect);
        let (protocol, budget) = (self.protocol.clone(), self.budget.clone());
        (ConnectionSource { ready, safe, address, timeout, budget, protocol }, timer)
    }

    fn start_attempt(&mut self, attempt: Attempt) {
        // Withdrawn while it was in the mailbox.
        if !self.state.is_pending(attempt.key()) {
            return self.report_end(attempt.key(), Outcome::Superseded, 0);
        }
        let ((source, timer), core, clock) =
            (self.connection_source(attempt.safe), self.core.clone(), self.clock);
        let (key, task_ended, moves) = (attempt.key(), self.task_ended.clone(), self.moves);
        let since = clock.now();
        let state = self.state.clone();
        // Boxed, as the future is large and the runtime moves it several times.
        let task = tokio::spawn(Box::pin(async move {
            let stop = clock.instant(attempt.stop_at);
            let mut timer = timer.unwrap_or_else(|| ReusableTimer::until(stop));
            let (mut checked_at, mut written) = (None, None);
            let end = {
                let run = pin!(async {
                    let (mut connection, stale) = match source.connection().await {
                        Ok(connection) => connection,
                        Err(outcome) => return (None, Exchange { outcome, ..Exchange::default() }),
                    };
                    if clock.now() >= since + LONG_WAIT {
                        process_pending_input().await;
                    }
                    // From here on, nothing may wait before the first byte is written.
                    checked_at = Some(std::time::Instant::now());
                    let Ok(wait) = state.begin(&attempt, &clock) else {
                        let outcome = Outcome::Superseded;
                        return (Some(connection), Exchange { outcome, ..Exchange::default() });
                    };
                    let mut exchange = connection.run(&attempt.work, wait, stale, &mut written).await;
                    // Statements that may be sent again need no proof that they never ran.
                    if !attempt.safe && exchange.reusable && exchange.outcome.never_ran() {
                        exchange = Box::pin(confirm_never_ran(&mut connection, exchange)).await;
                    }
                    let kept = exchange.reusable || exchange.value_rest.is_some();
                    (kept.then_some(connection), exchange)
                });
                timer.run_until(stop, run).await
            };
            if let (Some(checked_at), Some(written)) = (checked_at, written) {
                report_if_written_late(&attempt, written.saturating_duration_since(checked_at));
            }
            let (mut connection, exchange) = match end {
                Some(end) => end,
                // Until the last byte has been written, the statement cannot have run.
                None => {
                    let outcome = if written.is_some() { Outcome::Overdue } else { Outcome::Refused };
                    (None, Exchange { outcome, ..Exchange::default() })
                }
            };
            let Exchange { mut outcome, mut value, note, report, mut value_rest, .. } = exchange;
            // The rest of the value is still to arrive on this connection.
            if value_rest.is_some() && attempt.buffer_answer {
                (outcome, value, value_rest, connection) = (Outcome::Errored, None, None, None);
            }
            let spent = clock.now().saturating_sub(since);
            let note = note.filter(|_| outcome.answered());
            let ending = AttemptEnd { outcome, value, note, report, spent };
            let _ = core.send(Input::Ended(key.0, key.1, ending)).await;
            let connection = match value_rest {
                // The value belongs to the client now: neither the deadlines of the attempt and the request nor a
                // cancellation end it.
                Some(source) => {
                    let task_ended = task_ended.clone();
                    tokio::spawn(async move {
                        let connection =
                            forward_rest(connection, source).await.map(|connection| (connection, timer));
                        let _ = task_ended.send(TaskEnd { task: Task::Value, connection, moves });
                    });
                    None
                }
                None => connection.map(|connection| (connection, timer)),
            };
            let _ = task_ended.send(TaskEnd { task: Task::Attempt(key), connection, moves });
        }));
        self.running.insert(key, Running { task: task.abort_handle(), since });
    }

    fn start_probe(&mut self) {
        let ((source, timer), core, id) = (self.connection_source(true), self.core.clone(), self.id);
        let (task_ended, moves) = (self.task_ended.clone(), self.moves);
        self.probing += 1;
        let (clock, since) = (self.clock, self.clock.now());
        tokio::spawn(async move {
            let run = async {
                let (mut connection, stale) = source.connection().await.ok()?;
                let (report, reusable) = connection.probe(stale).await?;
                Some((reusable.then_some(connection), report))
            };
            let end = Instant::now() + PROBE_TIMEOUT;
            let mut timer = timer.unwrap_or_else(|| ReusableTimer::until(end));
            let (connection, report) = match timer.run_until(end, pin!(run)).await {
                Some(Some((connection, report))) => (connection, Some(report)),
                _ => (None, None),
            };
            let _ = core.send(Input::Probed(id, report, clock.now().saturating_sub(since))).await;
            let connection = connection.map(|connection| (connection, timer));
            let _ = task_ended.send(TaskEnd { task: Task::Probe, connection, moves });
        });
    }
}

/// Checks an answer that says that the statement never ran: nothing that follows the answer may contradict it.
async fn confirm_never_ran<L: MemberConnection>(connection: &mut L, exchange: Exchange) -> Exchange {
    match connection.confirm().await {
        Confirmation::Reusable => exchange,
        Confirmation::NotReusable => Exchange { reusable: false, ..exchange },
        Confirmation::Contradicted => Exchange { outcome: Outcome::Errored, ..Exchange::default() },
    }
}

/// Counts and logs a statement that was written so long after its check that it may break a rule.
fn report_if_written_late(attempt: &Attempt, delay: Duration) {
    let delay = delay.as_micros() as Time;
    if is_written_in_time(delay) {
        return;
    }
    count(Count::written_late);
    log::warn!(
        target: REQUEST_LOG_TARGET, id = attempt.id.0, attempt = attempt.number, delay_us = delay;
        "the statement was written long after its check: its time limit is too long, and its client may have left"
    );
}

/// Forwards the rest of a value and returns the connection if it can carry another statement.
async fn forward_rest<L: MemberConnection>(connection: Option<L>, to: ChunkSender) -> Option<L> {
    let mut connection = connection?;
    connection.forward_rest(to).await.then_some(connection)
}

/// How long a connection may be idle, in us.
fn max_idle(times: SocketTimes) -> Time {
    Duration::from_micros(times.keepalive).mul_f64(MAX_IDLE_FRACTION).as_micros() as Time
}

/// How an attempt gets its connection.
struct ConnectionSource<W: MemberProtocol> {
    /// A connection from the pool.
    ready: Option<W::Connection>,
    /// The statement may be sent again.
    safe: bool,
    address: SocketAddr,
    timeout: Duration,
    budget: Budget,
    protocol: W,
}

impl<W: MemberProtocol> ConnectionSource<W> {
    /// Returns the connection for a statement. The less common steps are boxed futures, so that the tasks of nearly
    /// all attempts need no memory for them.
    async fn connection(mut self) -> Result<(W::Connection, StaleInput), Outcome> {
        match self.ready.take() {
            Some(connection) if self.safe => return Ok((connection, StaleInput::Possible)),
            // Data left over from earlier could corrupt the answer, and this statement could not be sent again. So
            // the fence is sent alone, and the statement follows only if nothing was left over.
            Some(mut connection) => {
                let clean = Box::pin(tokio::time::timeout(self.timeout, connection.fence())).await;
                if clean.unwrap_or(false) {
                    return Ok((connection, StaleInput::Excluded));
                }
            }
            None => {}
        }
        Box::pin(self.open()).await.map(|connection| (connection, StaleInput::Excluded))
    }

    async fn open(self) -> Result<W::Connection, Outcome> {
        let ConnectionSource { address, timeout, budget, protocol, .. } = self;
        // A lack of descriptors is this proxy's fault: the attempt counts as never sent, and not against the
        // member.
        let permit = match tokio::time::timeout(timeout, budget.members.permit()).await {
            Ok(Some(permit)) => permit,
            Ok(None) | Err(_) => {
                count(Count::member_no_seat);
                return Err(Outcome::Superseded);
            }
        };
        count(Count::member_connections);
        match tokio::time::timeout(timeout, protocol.open(address, permit)).await {
            Ok(connection) => connection,
            Err(_) => Err(Outcome::Refused),
        }
    }
}

#[cfg(test)]
#[path = "member_actor_tests.rs"]
mod tests;
