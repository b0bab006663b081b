//! Searches for breaches: generates random scenarios from consecutive seeds, runs several at a time, and shortens
//! each scenario that shows a breach to a file that can be kept as a test.

use super::{play, report};
use crate::drive::StopFlag;
use crate::world::find_program;
use crate::Failure;
use clap::Args;
use linentrail_standins::rig::checker::Rule;
use linentrail_standins::rig::draw::{draw, draw_agreeing, draw_soak, shrink, RandomScenario};
use linentrail_standins::rig::script::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::task::JoinSet;

/// Options that `hunt` and `soak` share.
#[derive(Args)]
struct Seeds {
    /// Executable of the proxy to start; default: linentrail in the folder of this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds; by default runs until it is interrupted
    #[arg(long)]
    count: Option<u64>,
    /// Folder for the scenarios that showed a breach
    #[arg(long)]
    keep: Option<PathBuf>,
}

impl Seeds {
    fn range(&self) -> std::ops::Range<u64> {
        self.seed..self.count.map_or(u64::MAX, |n| self.seed.saturating_add(n))
    }
}

/// Options of `hunt`.
#[derive(Args)]
pub struct Options {
    #[command(flatten)]
    seeds: Seeds,
    /// How many scenarios to run at a time
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=64))]
    jobs: u64,
    /// Generates scenarios in which the proxies agree on their rules
    #[arg(long)]
    agree: bool,
}

/// Options of `soak`.
#[derive(Args)]
pub struct SoakOptions {
    #[command(flatten)]
    seeds: Seeds,
    /// How many scenarios to run at a time
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    jobs: u64,
    /// Checks only orders and counts, no times: for machines of any speed
    #[arg(long)]
    patient: bool,
    /// Reports a breach without shortening its scenario
    #[arg(long)]
    whole: bool,
}

/// A search for breaches: the scenarios to generate, and how to handle a breach.
struct Hunt {
    program: PathBuf,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    draw: fn(u64) -> RandomScenario,
    patient: bool,
    shorten_breaches: bool,
    keep: Option<PathBuf>,
}

/// A time bound in ms that is longer than any run, so that only orders and counts are checked.
const RELAXED_BOUND_MS: u64 = 20_000;
/// The bound `cold` with `--patient`; it is this high because a slow machine sends in bursts.
const RELAXED_COLD_BOUND: u64 = 100;

/// Runs the command `soak`: many processes with failing system calls and overlapping faults, for many seeds.
pub async fn soak(options: &SoakOptions, stop: &StopFlag) -> Result<(), Failure> {
    let hunt = Hunt {
        program: find_program(options.seeds.program.as_ref())?,
        seeds: options.seeds.range(),
        jobs: options.jobs as usize,
        draw: draw_soak,
        patient: options.patient,
        shorten_breaches: !options.whole,
        keep: options.seeds.keep.clone(),
    };
    hunt.run(stop).await
}

/// How often a shortened scenario is run before it counts as free of breaches: runs with many processes are not
/// deterministic.
const RUNS_PER_SCENARIO: usize = 2;

/// Runs a generated scenario; returns the rules it broke and a line for each breach.
async fn run_scenario(
    scenario: &RandomScenario,
    program: &Path,
    stop: &StopFlag,
) -> Result<(BTreeSet<Rule>, Vec<String>), Failure> {
    let wrong = |w: Vec<_>| Failure::CheckFailed(format!("a generated scenario is invalid: {w:?}"));
    let script = Script::read(&scenario.text()).map_err(wrong)?;
    let verdict = play(&script, program, stop, false, None).await?.verdict;
    Ok((
        verdict.counts.keys().copied().collect(),
        verdict.breaches.iter().map(report::format_breach).collect(),
    ))
}

/// Shortens a scenario that broke `rules`, on a thread that may block.
async fn shorten(
    scenario: RandomScenario,
    rules: BTreeSet<Rule>,
    program: PathBuf,
    stop: StopFlag,
) -> RandomScenario {
    let handle = tokio::runtime::Handle::current();
    let original = scenario.clone();
    let work = move || {
        let shows = |d: &RandomScenario| {
            (0..RUNS_PER_SCENARIO).any(|_| {
                let found = handle.block_on(run_scenario(d, &program, &stop));
                found.is_ok_and(|(seen, _)| !seen.is_disjoint(&rules))
            })
        };
        shrink(scenario, shows)
    };
    tokio::task::spawn_blocking(work).await.unwrap_or(original)
}

/// Runs the command `hunt`.
pub async fn run(options: &Options, stop: &StopFlag) -> Result<(), Failure> {
    let hunt = Hunt {
        program: find_program(options.seeds.program.as_ref())?,
        seeds: options.seeds.range(),
        jobs: options.jobs as usize,
        draw: if options.agree { draw_agreeing } else { draw },
        patient: false,
        shorten_breaches: true,
        keep: options.seeds.keep.clone(),
    };
    hunt.run(stop).await
}

impl Hunt {
    fn scenario(&self, seed: u64) -> RandomScenario {
        let mut scenario = (self.draw)(seed);
        if self.patient {
            for bound in ["late", "drain", "patience"] {
                scenario.world.push(format!("bound {bound} {RELAXED_BOUND_MS}"));
            }
            scenario.world.push(format!("bound cold {RELAXED_COLD_BOUND}"));
        }
        scenario
    }

    async fn run(&self, stop: &StopFlag) -> Result<(), Failure> {
        let program = Arc::new(self.program.clone());
        let (mut next, mut done, mut found) = (self.seeds.start, 0u64, 0u64);
        let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
        let mut tasks = JoinSet::new();
        loop {
            while tasks.len() < self.jobs && next < self.seeds.end && !stop.is_set() {
                let (seed, program, stop) = (next, program.clone(), stop.clone());
                next += 1;
                let scenario = self.scenario(seed);
                tasks.spawn(async move { (seed, run_scenario(&scenario, &program, &stop).await, scenario) });
            }
            let Some(ended) = tasks.join_next().await else { break };
            let Ok((seed, seen, scenario)) = ended else { continue };
            if stop.is_set() {
                continue;
            }
            let (rules, lines) = seen?;
            done += 1;
            scenario.kinds().into_iter().for_each(|(kind, n)| *kinds.entry(kind).or_default() += n);
            if done % 20 == 0 {
                eprintln!("{done} scenarios, {found} with a breach");
            }
            if rules.is_empty() {
                continue;
            }
            found += 1;
            println!("seed {seed}:");
            lines.iter().for_each(|l| println!("  {l}"));
            let short = match self.shorten_breaches {
                true => shorten(scenario, rules, program.to_path_buf(), stop.clone()).await,
                false => scenario,
            };
            println!("{}", short.text());
            if let Some(folder) = &self.keep {
                let path = folder.join(format!("hunted-{seed}.rig"));
                let text = format!("# Drawn: {}\n{}", lines[0].trim(), short.text());
                std::fs::write(&path, text)
                    .map_err(|e| Failure::InvalidInput(format!("{}: {e}", path.display())))?;
            }
        }
        let fault_counts: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
        println!("{done} scenarios, faults drawn: {}; {found} with a breach", fault_counts.join(", "));
        match found {
            0 => Ok(()),
            n => Err(Failure::CheckFailed(format!("{n} scenarios show a breach"))),
        }
    }
}
