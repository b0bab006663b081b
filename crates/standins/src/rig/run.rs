//! A run of a scenario from its start to its verdict.

use super::checker::{judge, Rule, Verdict};
use super::clients;
use super::events::{Event, Log, Us, What};
use super::measure::{came_back, each, Return};
use super::run_delay;
use super::script::Script;
use super::world::World;
use crate::proxy::Setup;
use std::collections::BTreeMap;
use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The first part of a run is left out of what held before the fault.
pub const SETTLES: Us = 1_000_000;

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The checker's verdict.
    pub verdict: Verdict,
    /// How service came back, where there was a fault.
    pub back: Option<Return>,
    /// Counters of the proxies that ran at the end, summed up.
    pub counters: BTreeMap<String, u64>,
    /// Each proxy's time to full service after its last start, as its clients saw it and as it tells itself, where both
    /// are known.
    pub each: BTreeMap<u32, (Us, Us)>,
    /// The whole log.
    pub events: Vec<Event>,
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
    let log = Log::default();
    let _watch = log.watch();
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
    // Steps that take their time must not hold up those after them.
    let result = std::thread::scope(|scope| {
        let mut steps = Vec::new();
        for (at, step) in &script.steps {
            wait(began + *at);
            if stop.load(Ordering::Relaxed) {
                break;
            }
            said(&format!("{:6} ms  {step:?}", at.as_millis()));
            let world = &world;
            steps.push(scope.spawn(move || world.step(step)));
        }
        wait(began + script.end);
        ends.store(true, Ordering::Relaxed);
        steps
            .into_iter()
            .try_for_each(|s| s.join().unwrap_or_else(|_| Err(std::io::Error::other("a step has panicked"))))
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
    let (events, lost) = log.take();
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
    let served = events.iter().find(|e| matches!(e.what, What::Asked { .. })).map_or(0, |e| e.at);
    let back = came_back(&events, served + SETTLES);
    if let (Some(most), Some(back)) = (script.full, &back) {
        let late = back.full.is_none_or(|full| full > most.as_micros() as Us);
        if late {
            let what = format!(
                "full service after {:?} ms, {} allowed",
                back.full.map(|t| t / 1000),
                most.as_millis()
            );
            verdict.breach(Rule::Full, back.began, what);
        }
    }
    let told = |p: &u32| {
        let counters = by_proxy.get(p).filter(|c| c.contains_key("full_service"))?;
        Some(counters.get("full_service_ms").copied().unwrap_or(0) * 1000)
    };
    let each = each(&events).into_iter().filter_map(|(p, seen)| Some((p, (seen, told(&p)?)))).collect();
    Ok(Outcome { verdict, back, counters, each, events })
}
