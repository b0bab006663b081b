//! Hunts for breaches: draws scenarios from a seed on, runs several at a time, and shortens each that shows a breach to a
//! file that can be kept as a test.

use super::{play, report};
use crate::drive::Stop;
use crate::world::program;
use crate::Failure;
use clap::Args;
use linentrail_standins::rig::checker::Rule;
use linentrail_standins::rig::draw::{draw, draw_agreeing, draw_soak, shrink, RandomScenario};
use linentrail_standins::rig::script::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::task::JoinSet;

/// What is drawn, by whichever command.
#[derive(Args)]
struct Seeds {
    /// The proxy to start; else the one beside this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds; without it until it is stopped
    #[arg(long)]
    count: Option<u64>,
    /// Each breach is written here, as a scenario that shows it
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
    /// Scenarios at a time
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=64))]
    jobs: u64,
    /// Draws proxies that agree on their rules
    #[arg(long)]
    agree: bool,
}

/// Options of `soak`.
#[derive(Args)]
pub struct SoakOptions {
    #[command(flatten)]
    seeds: Seeds,
    /// Runs at a time
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    jobs: u64,
    /// Only orders and counts are judged, and no time: for machines of any speed
    #[arg(long)]
    patient: bool,
    /// A breach is told and not made short
    #[arg(long)]
    whole: bool,
}

/// What a hunt draws and what it does with a breach.
struct Hunt {
    program: PathBuf,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    draw: fn(u64) -> RandomScenario,
    patient: bool,
    shortens: bool,
    keep: Option<PathBuf>,
}

/// Longer than any run: only orders and counts are judged then, in ms. A slow machine sends in bursts, too.
const PATIENCE_MS: u64 = 20_000;
const PATIENT_COLD: u64 = 100;

/// Runs many processes whose system calls fail, under faults that overlap, seed after seed.
pub async fn soak(options: &SoakOptions, stop: &Stop) -> Result<(), Failure> {
    let hunt = Hunt {
        program: program(options.seeds.program.as_ref())?,
        seeds: options.seeds.range(),
        jobs: options.jobs as usize,
        draw: draw_soak,
        patient: options.patient,
        shortens: !options.whole,
        keep: options.seeds.keep.clone(),
    };
    hunt.run(stop).await
}

/// How often a shorter scenario is run before it counts as one that shows nothing: what many processes do is not the
/// same each time.
const TRIES: usize = 2;

/// The rules that a run of a drawn scenario has broken, and what was seen.
async fn broken(
    drawn: &RandomScenario,
    program: &Path,
    stop: &Stop,
) -> Result<(BTreeSet<Rule>, Vec<String>), Failure> {
    let wrong = |w: Vec<_>| Failure::Broken(format!("a drawn scenario is wrong: {w:?}"));
    let script = Script::read(&drawn.text()).map_err(wrong)?;
    let verdict = play(&script, program, stop, false).await?.verdict;
    Ok((verdict.counts.keys().copied().collect(), verdict.breaches.iter().map(report::line).collect()))
}

/// Shortens on a thread that may block.
async fn shortest(
    drawn: RandomScenario,
    rules: BTreeSet<Rule>,
    program: PathBuf,
    stop: Stop,
) -> RandomScenario {
    let handle = tokio::runtime::Handle::current();
    let first = drawn.clone();
    let work = move || {
        let shows = |d: &RandomScenario| {
            (0..TRIES).any(|_| {
                let found = handle.block_on(broken(d, &program, &stop));
                found.is_ok_and(|(seen, _)| !seen.is_disjoint(&rules))
            })
        };
        shrink(drawn, shows)
    };
    tokio::task::spawn_blocking(work).await.unwrap_or(first)
}

/// Runs the command.
pub async fn run(options: &Options, stop: &Stop) -> Result<(), Failure> {
    let hunt = Hunt {
        program: program(options.seeds.program.as_ref())?,
        seeds: options.seeds.range(),
        jobs: options.jobs as usize,
        draw: if options.agree { draw_agreeing } else { draw },
        patient: false,
        shortens: true,
        keep: options.seeds.keep.clone(),
    };
    hunt.run(stop).await
}

impl Hunt {
    fn drawn(&self, seed: u64) -> RandomScenario {
        let mut drawn = (self.draw)(seed);
        if self.patient {
            for bound in ["late", "drain", "patience"] {
                drawn.world.push(format!("bound {bound} {PATIENCE_MS}"));
            }
            drawn.world.push(format!("bound cold {PATIENT_COLD}"));
        }
        drawn
    }

    async fn run(&self, stop: &Stop) -> Result<(), Failure> {
        let program = Arc::new(self.program.clone());
        let (mut next, mut done, mut found) = (self.seeds.start, 0u64, 0u64);
        let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
        let mut tasks = JoinSet::new();
        loop {
            while tasks.len() < self.jobs && next < self.seeds.end && !stop.is_set() {
                let (seed, program, stop) = (next, program.clone(), stop.clone());
                next += 1;
                let drawn = self.drawn(seed);
                tasks.spawn(async move { (seed, broken(&drawn, &program, &stop).await, drawn) });
            }
            let Some(ended) = tasks.join_next().await else { break };
            let Ok((seed, seen, drawn)) = ended else { continue };
            if stop.is_set() {
                continue;
            }
            let (rules, lines) = seen?;
            done += 1;
            drawn.kinds().into_iter().for_each(|(kind, n)| *kinds.entry(kind).or_default() += n);
            if done % 20 == 0 {
                eprintln!("{done} scenarios, {found} with a breach");
            }
            if rules.is_empty() {
                continue;
            }
            found += 1;
            println!("seed {seed}:");
            lines.iter().for_each(|l| println!("  {l}"));
            let short = match self.shortens {
                true => shortest(drawn, rules, program.to_path_buf(), stop.clone()).await,
                false => drawn,
            };
            println!("{}", short.text());
            if let Some(folder) = &self.keep {
                let path = folder.join(format!("hunted-{seed}.rig"));
                let text = format!("# Drawn: {}\n{}", lines[0].trim(), short.text());
                std::fs::write(&path, text)
                    .map_err(|e| Failure::Unusable(format!("{}: {e}", path.display())))?;
            }
        }
        let drawn: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
        println!("{done} scenarios, faults drawn: {}; {found} with a breach", drawn.join(", "));
        match found {
            0 => Ok(()),
            n => Err(Failure::Broken(format!("{n} scenarios show a breach"))),
        }
    }
}
