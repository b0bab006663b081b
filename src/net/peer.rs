//! The actor of one member: its pool of connections, attempts, probes and their time-outs.
//!
//! An attempt has a task and a connection of its own while it runs. Time-outs and cancels end the task and with it
//! the connection, which is how a member learns that an attempt was given up. The actor waits for the core's mailbox
//! only in those tasks, never in its own loop, so that it always takes orders.

use super::budget::Budget;
use super::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{Attempt, Ending, Input};
use crate::interface::*;
use crate::pg::member::{Exchange, Link};
use crate::settings::SocketTimes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Patience with a probe: reports are refreshed several times a second and cost the member next to nothing.
const PROBE_PATIENCE: Duration = Duration::from_millis(900);
/// A connection that has stood idle for this share of the members' limit is closed rather than used: what is
/// written at the limit or past it ends as a reset, and a write lost so may not be sent again.
const IDLE_SHARE: f64 = 0.6;
/// A connection rests so long after an answer before the next statement is written to it: what comes right behind an
/// answer and does not belong to it must be seen before it can pass for the answer to the next.
const REST: Duration = Duration::from_millis(3);

/// What the fleet tells a peer.
#[derive(Debug)]
pub enum Order {
    /// Start an attempt.
    Attempt(Attempt),
    /// Stop waiting for one.
    Cancel(RequestId, u32),
    /// Ask for a report.
    Probe,
    /// Close idle connections.
    CloseIdle,
    /// Where the member listens now.
    Address(SocketAddr),
}

/// A connection at rest, since when.
struct Idle {
    link: Link,
    since: Instant,
}

/// The actor's state.
pub struct Peer {
    id: MemberId,
    address: SocketAddr,
    core: mpsc::Sender<Input>,
    budget: Budget,
    clock: Clock,
    times: SocketTimes,
    idle: Vec<Idle>,
    running: HashMap<(RequestId, u32), (AbortHandle, Time)>,
    tasks: JoinSet<Done>,
}

/// A task's end.
struct Done {
    attempt: Option<(RequestId, u32)>,
    link: Option<Link>,
}

impl Peer {
    /// A peer without connections.
    pub fn new(
        id: MemberId,
        address: SocketAddr,
        core: mpsc::Sender<Input>,
        budget: Budget,
        clock: Clock,
        times: SocketTimes,
    ) -> Self {
        let (idle, running, tasks) = (Vec::new(), HashMap::new(), JoinSet::new());
        Peer { id, address, core, budget, clock, times, idle, running, tasks }
    }

    /// Runs until the fleet lets go of it and the last attempt has ended.
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<Order>) {
        let mut open = true;
        while open || !self.tasks.is_empty() {
            let stale = self.idle.first().map(|i| i.since + self.idle_most());
            let reap = async {
                match stale {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                order = mailbox.recv(), if open => match order {
                    Some(order) => self.take(order),
                    None => open = false,
                },
                Some(done) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    // A cancelled task tells nothing more; its end was told when it was cancelled.
                    if let Ok(Done { attempt, link }) = done {
                        attempt.and_then(|key| self.running.remove(&key));
                        self.idle.extend(link.map(|link| Idle { link, since: Instant::now() }));
                    }
                }
                () = reap => self.reap(),
                // Another peer lacks a descriptor: the one that has been idle for longest here goes.
                () = self.budget.members.wanted(false), if !self.idle.is_empty() => {
                    self.idle.remove(0);
                    count(Count::member_idle_closed);
                }
            }
        }
    }

    fn idle_most(&self) -> Duration {
        Duration::from_micros(self.times.keepalive).mul_f64(IDLE_SHARE)
    }

    /// The idle ones lie in the order in which they came to rest.
    fn reap(&mut self) {
        let (most, now) = (self.idle_most(), Instant::now());
        let old = self.idle.iter().take_while(|i| i.since + most <= now).count();
        self.idle.drain(..old).for_each(|_| count(Count::member_idle_closed));
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Attempt(attempt) => self.attempt(attempt),
            Order::Cancel(id, number) => {
                let Some((task, since)) = self.running.remove(&(id, number)) else { return };
                // One that has just ended has told its end; a second end would be one too many.
                if task.is_finished() {
                    return;
                }
                task.abort();
                let spent = self.clock.now().saturating_sub(since);
                let ending =
                    Ending { outcome: Outcome::Recalled, value: None, note: None, report: None, spent };
                let core = self.core.clone();
                tokio::spawn(async move { core.send(Input::Ended(id, number, Box::new(ending))).await });
            }
            Order::Probe => self.probe(),
            Order::CloseIdle => self.idle.clear(),
            Order::Address(address) => {
                if address != self.address {
                    self.idle.clear();
                    self.address = address;
                }
            }
        }
    }

    /// The connection used last that has rested and is not near the limit, or else the one that will have rested
    /// first, with the means for a new one should it not stand.
    fn dial(&mut self) -> Dial {
        self.reap();
        let now = Instant::now();
        let mut ready = None;
        while ready.is_none() && !self.idle.is_empty() {
            let rested = self.idle.iter().rposition(|i| i.since + REST <= now).unwrap_or(0);
            let Idle { link, since } = self.idle.remove(rested);
            ready = link.stands().then_some((link, since + REST));
        }
        let patience = Duration::from_micros(self.times.connect);
        Dial { ready, address: self.address, patience, budget: self.budget.clone(), clock: self.clock }
    }

    fn attempt(&mut self, attempt: Attempt) {
        let (dial, core, clock) = (self.dial(), self.core.clone(), self.clock);
        let key = (attempt.id, attempt.number);
        let since = clock.now();
        let task = self.tasks.spawn(async move {
            let stop = clock.instant(attempt.stop_at);
            let mut written = false;
            let run = async {
                let mut link = match dial.link().await {
                    Ok(link) => link,
                    Err(outcome) => return (outcome, None, Exchange::default()),
                };
                // Members are told how long this proxy waits; rounded up, as 0 would say that it is over.
                let wait = attempt.stop_at.saturating_sub(clock.now()).div_ceil(1000).max(1);
                let exchange = link.run(&attempt.work, wait, &mut written).await;
                let link = exchange.reusable.then_some(link);
                (exchange.outcome, link, exchange)
            };
            let (outcome, link, exchange) = match tokio::time::timeout_at(stop, run).await {
                Ok(end) => end,
                // Before the last byte was written, nothing can have run.
                Err(_) => {
                    let outcome = if written { Outcome::Overdue } else { Outcome::Refused };
                    (outcome, None, Exchange::default())
                }
            };
            let spent = clock.now().saturating_sub(since);
            let told =
                matches!(outcome, Outcome::Completed | Outcome::Errored | Outcome::Saturated | Outcome::Miss);
            let note = exchange.note.filter(|_| told);
            let ending = Ending { outcome, value: exchange.value, note, report: exchange.report, spent };
            let (id, number) = key;
            let _ = core.send(Input::Ended(id, number, Box::new(ending))).await;
            Done { attempt: Some(key), link }
        });
        self.running.insert(key, (task, since));
    }

    fn probe(&mut self) {
        let (dial, core, id) = (self.dial(), self.core.clone(), self.id);
        self.tasks.spawn(async move {
            let run = async {
                let mut link = dial.link().await.ok()?;
                let (report, reusable) = link.probe().await?;
                Some((reusable.then_some(link), report))
            };
            let (link, report) = match tokio::time::timeout(PROBE_PATIENCE, run).await {
                Ok(Some((link, report))) => (link, Some(report)),
                _ => (None, None),
            };
            let _ = core.send(Input::Probed(id, report)).await;
            Done { attempt: None, link }
        });
    }
}

/// How an attempt comes by its connection.
struct Dial {
    /// One that stands, and when it will have rested.
    ready: Option<(Link, Instant)>,
    address: SocketAddr,
    patience: Duration,
    budget: Budget,
    clock: Clock,
}

impl Dial {
    async fn link(self) -> Result<Link, Outcome> {
        let Dial { ready, address, patience, budget, clock } = self;
        if let Some((link, rested)) = ready {
            tokio::time::sleep_until(rested).await;
            // Looked at once more, right before it is written to.
            if link.stands() {
                return Ok(link);
            }
            count(Count::member_extras);
        }
        // Out of descriptors is our fault, not the member's: the attempt was never sent, and the member is not in doubt.
        let permit = match tokio::time::timeout(patience, budget.members.seat()).await {
            Ok(Some(permit)) => permit,
            Ok(None) | Err(_) => {
                count(Count::member_no_seat);
                return Err(Outcome::Superseded);
            }
        };
        count(Count::member_connections);
        let open = Link::open(address, permit, budget.bytes.clone(), clock);
        match tokio::time::timeout(patience, open).await {
            Ok(link) => link,
            Err(_) => Err(Outcome::Refused),
        }
    }
}
