//! A run of a scenario from its start to its verdict.

use super::checker::{judge, Rule, Verdict};
use super::clients;
use super::events::{Event, EventKind, EventLog, Micros};
use super::measure::{recovery, times_to_full_service, Recovery};
use super::run_delay;
use super::script::{Script, Step};
use super::world::World;
use crate::proxy::Setup;
use std::collections::BTreeMap;
use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The first part of a run is left out of what held before the fault.
pub const SETTLES: Micros = 1_000_000;

/// The load goes on for so long where changes of the rules were under way at its end.
const AFTER_CHANGES: Duration = Duration::from_secs(2);

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The checker's verdict.
    pub verdict: Verdict,
    /// How service came back, where there was a fault.
    pub recovery: Option<Recovery>,
    /// Counters of the proxies that ran at the end, summed up.
    pub counters: BTreeMap<String, u64>,
    /// Each proxy's time to full service after its last start, as its clients saw it and as it tells itself, where both
    /// are known.
    pub full_service_times: BTreeMap<u32, (Micros, Micros)>,
    /// The whole log.
    pub events: Vec<Event>,
}

/// Steps on one process's life, in their order, however long each takes on a busy machine.
#[derive(Default)]
struct Turns(BTreeMap<u32, Receiver<()>>);

/// One step's turn: over when it is dropped.
struct Turn {
    before: Vec<Receiver<()>>,
    _over: Vec<Sender<()>>,
}

impl Turns {
    fn next(&mut self, proxies: &[u32]) -> Turn {
        let mut turn = Turn { before: Vec::new(), _over: Vec::new() };
        for proxy in proxies {
            let (over, after) = channel();
            turn.before.extend(self.0.insert(*proxy, after));
            turn._over.push(over);
        }
        turn
    }
}

impl Turn {
    /// Returns when the steps before it are over.
    fn wait(&self) {
        for before in &self.before {
            // Nothing is ever sent: the other end goes with its turn.
            let _ = before.recv();
        }
    }
}

/// Runs a scenario with this program; `said` hears of each step, and a set `stop` ends it early.
///
/// # Errors
/// When the world cannot be set up or a step cannot be carried out.
pub fn run(
    script: &Script,
    program: &Path,
    more: impl Fn(&mut Setup, u32, &Path),
    said: impl Fn(&str),
    stop: &AtomicBool,
) -> Result<Outcome> {
    let log = EventLog::default();
    let _watch = log.watch_stalls();
    let world = World::start(script, program, log.clone(), more)?;
    let _delays = run_delay::watch(&world);
    let began = Instant::now();
    said(&format!("{} proxies serve after {} ms", script.proxies, log.now() / 1000));
    let ends = Arc::new(AtomicBool::new(false));
    let mut clients = clients::start(&world, &ends);
    clients.extend(clients::start_bad(&world, &ends));
    clients.extend(clients::start_idle(&world, &ends));
    clients.extend(clients::start_surges(&world, &ends));
    let wait = |until: Instant| {
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            std::thread::sleep((until - Instant::now()).min(Duration::from_millis(20)));
        }
    };
    // Steps that take their time must not hold up those after them, but for those on the same process and its folder.
    let harms = script.steps.iter().any(|(_, step)| matches!(step, Step::Harm(..)));
    let result = std::thread::scope(|scope| {
        let (mut steps, mut turns) = (Vec::new(), Turns::default());
        for (at, step) in &script.steps {
            wait(began + *at);
            if stop.load(Ordering::Relaxed) {
                break;
            }
            said(&format!("{:6} ms  {step:?}", at.as_millis()));
            // Only what comes to a folder depends on whether its process has ended.
            let touched = if harms { world.processes_changed_by(step) } else { Vec::new() };
            let (world, turn) = (&world, turns.next(&touched));
            let handle = scope.spawn(move || {
                turn.wait();
                world.step(step)
            });
            steps.push((step.changes_rules(), handle));
        }
        wait(began + script.end);
        // On a busy machine a change may be in force only now, and some load has to meet it.
        while steps.iter().any(|(changes_rules, handle)| *changes_rules && !handle.is_finished()) {
            wait(Instant::now() + AFTER_CHANGES);
        }
        ends.store(true, Ordering::Relaxed);
        steps.into_iter().try_for_each(|(_, handle)| {
            handle.join().unwrap_or_else(|_| Err(std::io::Error::other("a step has panicked")))
        })
    });
    crate::runtime().block_on(async {
        for client in clients {
            let _ = client.await;
        }
    });
    result?;
    let crashed = world.crashed();
    let by_proxy = world.counters();
    let mut counters = BTreeMap::new();
    for (name, count) in by_proxy.values().flatten() {
        *counters.entry(name.clone()).or_default() += count;
    }
    let (events, lost) = log.events();
    let mut verdict = judge(&events, lost, &script.bounds);
    for proxy in crashed {
        verdict.breach(Rule::Crash, log.now(), format!("proxy {proxy} has ended by itself"));
    }
    for (proxy, count) in by_proxy.iter().filter_map(|(p, c)| Some((p, *c.get("violations")?))) {
        if count > 0 {
            verdict.breach(Rule::Invariant, log.now(), format!("proxy {proxy} counts {count} violations"));
        }
    }
    // From when the proxies serve: the load begins then.
    let served = events.iter().find(|e| matches!(e.what, EventKind::Asked { .. })).map_or(0, |e| e.at);
    let back = recovery(&events, served + SETTLES);
    if let (Some(most), Some(back)) = (script.full_service_max, &back) {
        let late = back.time_to_full.is_none_or(|full| full > most.as_micros() as Micros);
        if late {
            let what = format!(
                "full service after {:?} ms, {} allowed",
                back.time_to_full.map(|t| t / 1000),
                most.as_millis()
            );
            verdict.breach(Rule::Full, back.began, what);
        }
    }
    let told = |p: &u32| {
        let counters = by_proxy.get(p).filter(|c| c.contains_key("full_service"))?;
        Some(counters.get("full_service_ms").copied().unwrap_or(0) * 1000)
    };
    let each = times_to_full_service(&events)
        .into_iter()
        .filter_map(|(p, seen)| Some((p, (seen, told(&p)?))))
        .collect();
    Ok(Outcome { verdict, recovery: back, counters, full_service_times: each, events })
}
