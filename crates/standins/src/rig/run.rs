//! Runs a scenario from its start to its verdict.

use super::checker::{judge, Rule, Verdict};
use super::clients;
use super::events::{Event, EventKind, EventLog, Micros};
use super::measure::{recovery, times_to_full_service, Recovery};
use super::script::{Script, Step};
use super::world::World;
use super::{processor_share, run_delay};
use crate::proxy::Setup;
use std::collections::BTreeMap;
use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Initial part of a run that is left out when the share of good answers before the fault is measured.
pub const SETTLING_TIME: Micros = 1_000_000;

/// How much longer the load goes on if steps that change what the proxies agree on are still in progress at
/// the end of the scenario.
const LOAD_AFTER_CHANGES: Duration = Duration::from_secs(2);

/// The results of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The checker's verdict.
    pub verdict: Verdict,
    /// How the service recovered, if there was a fault.
    pub recovery: Option<Recovery>,
    /// Sums of the counters of the proxies that ran at the end.
    pub counters: BTreeMap<String, u64>,
    /// Each proxy's time to full service after its last start, as its clients saw it and as the proxy reports
    /// it, where both are available.
    pub full_service_times: BTreeMap<u32, (Micros, Micros)>,
    /// All events of the run.
    pub events: Vec<Event>,
}

/// Runs the steps that change the same process in the order of the script, however long each takes on a busy
/// machine. Holds, for each proxy, a receiver that is disconnected when the last step on it ends.
#[derive(Default)]
struct StepOrder(BTreeMap<u32, Receiver<()>>);

/// The place of one step in the order. Dropping it lets the next steps run.
struct StepGuard {
    earlier_steps: Vec<Receiver<()>>,
    _done: Vec<Sender<()>>,
}

impl StepOrder {
    fn next(&mut self, proxies: &[u32]) -> StepGuard {
        let mut guard = StepGuard { earlier_steps: Vec::new(), _done: Vec::new() };
        for proxy in proxies {
            let (done, ended) = channel();
            guard.earlier_steps.extend(self.0.insert(*proxy, ended));
            guard._done.push(done);
        }
        guard
    }
}

impl StepGuard {
    /// Blocks until the earlier steps on the same processes have ended.
    fn wait(&self) {
        for earlier_step in &self.earlier_steps {
            // Nothing is ever sent: `recv` returns when the sender is dropped with its step.
            let _ = earlier_step.recv();
        }
    }
}

/// Runs a scenario with this program. `progress` is called with a line about each step, and `adjust_setup`
/// may change the setup of each proxy. Setting `stop` ends the run early.
///
/// # Errors
/// If the world cannot be set up or a step fails.
pub fn run(
    script: &Script,
    program: &Path,
    adjust_setup: impl Fn(&mut Setup, u32, &Path),
    progress: impl Fn(&str),
    stop: &AtomicBool,
) -> Result<Outcome> {
    let log = EventLog::default();
    let _watch = log.watch_stalls();
    let world = World::start(script, program, log.clone(), adjust_setup)?;
    let _delays = run_delay::watch(&world);
    let _share = script.processor_share.map(|share| processor_share::limit(&world, share));
    let began = Instant::now();
    progress(&format!("{} proxies serve after {} ms", script.proxies, log.now() / 1000));
    let load_ended = Arc::new(AtomicBool::new(false));
    let mut clients = clients::start(&world, &load_ended);
    clients.extend(clients::start_bad(&world, &load_ended));
    clients.extend(clients::start_idle(&world, &load_ended));
    clients.extend(clients::start_surges(&world, &load_ended));
    let wait = |until: Instant| {
        while Instant::now() < until && !stop.load(Ordering::Relaxed) {
            std::thread::sleep((until - Instant::now()).min(Duration::from_millis(20)));
        }
    };
    // A step that takes long must not delay later steps, except those on the same process and its folder.
    let damages_stores = script.steps.iter().any(|(_, step)| matches!(step, Step::Harm(..)));
    let result = std::thread::scope(|scope| {
        let (mut steps, mut order) = (Vec::new(), StepOrder::default());
        for (at, step) in &script.steps {
            wait(began + *at);
            if stop.load(Ordering::Relaxed) {
                break;
            }
            progress(&format!("{:6} ms  {step:?}", at.as_millis()));
            // The order matters only in scenarios that damage folders, as a proxy's folder may be damaged
            // only after its process has ended.
            let processes = if damages_stores { world.processes_changed_by(step) } else { Vec::new() };
            let (world, guard) = (&world, order.next(&processes));
            let handle = scope.spawn(move || {
                guard.wait();
                world.step(step)
            });
            steps.push((step.changes_rules(), handle));
        }
        wait(began + script.end);
        // On a busy machine a change may only now come into force; some load must run after that.
        while steps.iter().any(|(changes_rules, handle)| *changes_rules && !handle.is_finished()) {
            wait(Instant::now() + LOAD_AFTER_CHANGES);
        }
        load_ended.store(true, Ordering::Relaxed);
        steps.into_iter().try_for_each(|(_, handle)| {
            handle.join().unwrap_or_else(|_| Err(std::io::Error::other("a step of the scenario panicked")))
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
        verdict.add_breach(Rule::Crash, log.now(), format!("proxy {proxy} ended without being told to"));
    }
    for (proxy, count) in by_proxy.iter().filter_map(|(p, c)| Some((p, *c.get("violations")?))) {
        if count > 0 {
            verdict.add_breach(
                Rule::Invariant,
                log.now(),
                format!("proxy {proxy} counted {count} violations"),
            );
        }
    }
    // The load starts when the proxies serve, so the first request marks the start of service.
    let service_began = events.iter().find(|e| matches!(e.what, EventKind::Asked { .. })).map_or(0, |e| e.at);
    let recovery = recovery(&events, service_began + SETTLING_TIME);
    if let (Some(limit), Some(recovery)) = (script.full_service_max, &recovery) {
        let too_late = recovery.time_to_full.is_none_or(|full| full > limit.as_micros() as Micros);
        if too_late {
            let message = format!(
                "full service after {:?} ms, {} allowed",
                recovery.time_to_full.map(|t| t / 1000),
                limit.as_millis()
            );
            verdict.add_breach(Rule::Full, recovery.began, message);
        }
    }
    let reported = |p: &u32| {
        let counters = by_proxy.get(p).filter(|c| c.contains_key("full_service"))?;
        Some(counters.get("full_service_ms").copied().unwrap_or(0) * 1000)
    };
    let full_service_times = times_to_full_service(&events)
        .into_iter()
        .filter_map(|(p, seen)| Some((p, (seen, reported(&p)?))))
        .collect();
    Ok(Outcome { verdict, recovery, counters, full_service_times, events })
}
