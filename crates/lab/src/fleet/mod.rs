//! Runs scenarios with many real proxies, stand-ins and faults between any two parties; checks the rules and measures
//! the results, for one build or two builds alternately, with several seeds.

pub mod hunt;
mod plot;
mod report;

use crate::drive::StopFlag;
use crate::world::find_program;
use crate::Failure;
use clap::Args;
use linentrail_standins::proxy::Setup;
use linentrail_standins::rig::checker;
use linentrail_standins::rig::events;
use linentrail_standins::rig::run::{run as run_once, Outcome};
use linentrail_standins::rig::script::Script;
use std::path::{Path, PathBuf};

/// Options of `fleet`.
#[derive(Args)]
pub struct Options {
    /// File of the scenario (docs/rig.md describes the language)
    scenario: PathBuf,
    /// Executable of the proxy to start; default: linentrail in the folder of this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// Another build to compare with, run alternately with the first
    #[arg(long)]
    against: Option<PathBuf>,
    /// Number of seeds to run, beginning with the scenario's seed
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    seeds: u64,
    /// Number of proxies instead of the scenario's; a list such as 8,16,32 runs each number in turn
    #[arg(long, value_delimiter = ',', value_parser = clap::value_parser!(u32).range(1..=200))]
    proxies: Vec<u32>,
    /// Number of proxies that each proxy is told there are, whatever the real number: tests a wrong setting
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    told: Option<u32>,
    /// File for the events of the last run, one JSON object per line
    #[arg(long)]
    log: Option<PathBuf>,
    /// Log filter of the proxies, whose log is then printed on standard error
    #[arg(long)]
    proxy_log: Option<String>,
    /// File for a plot of the figures over the number of proxies (SVG)
    #[arg(long)]
    plot: Option<PathBuf>,
    /// File to write all figures to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Options of `judge`.
#[derive(Args)]
pub struct JudgeOptions {
    /// File of events written by `fleet --log`
    log: PathBuf,
    /// File of the scenario, which sets the bounds
    scenario: PathBuf,
}

fn read(path: &Path) -> Result<Script, Failure> {
    let bad = |what: String| Failure::InvalidInput(format!("{}: {what}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
    Script::read(&text).map_err(|wrong| {
        let all: Vec<String> = wrong.iter().map(ToString::to_string).collect();
        bad(all.join("; "))
    })
}

/// Runs a scenario on a blocking thread; prints its progress if `verbose`, and the proxies' log if `proxy_log`, their
/// log filter, is set.
async fn play(
    script: &Script,
    program: &Path,
    stop: &StopFlag,
    verbose: bool,
    proxy_log: Option<String>,
) -> Result<Outcome, Failure> {
    let (script, program, flag) = (script.clone(), program.to_path_buf(), stop.flag());
    let echo_log = move |setup: &mut Setup, _: u32, _: &Path| {
        if let Some(filter) = &proxy_log {
            (setup.echo_log, setup.log) = (true, Some(filter.clone()));
        }
    };
    let print = move |what: &str| {
        if verbose {
            eprintln!("{what}");
        }
    };
    let play = move || run_once(&script, &program, echo_log, print, &flag);
    let done = tokio::task::spawn_blocking(play).await;
    let failed = |what: String| Failure::CheckFailed(format!("the run failed: {what}"));
    done.map_err(|e| failed(e.to_string()))?.map_err(|e| failed(e.to_string()))
}

/// Runs the command `fleet`.
pub async fn run(options: &Options, stop: &StopFlag) -> Result<(), Failure> {
    let mut script = read(&options.scenario)?;
    let sizes = if options.proxies.is_empty() { vec![script.proxies] } else { options.proxies.clone() };
    let as_many = script.announced_proxies == script.proxies;
    let mut programs = vec![("new", find_program(options.program.as_ref())?)];
    if let Some(old) = &options.against {
        programs.insert(0, ("old", find_program(Some(old))?));
    }
    let first = script.seed;
    let mut table = report::Report::default();
    let runs = sizes.iter().flat_map(|size| (first..first + options.seeds).map(move |seed| (*size, seed)));
    for (proxies, seed) in runs {
        for (name, program) in &programs {
            if stop.is_set() {
                break;
            }
            (script.seed, script.proxies) = (seed, proxies);
            script.announced_proxies =
                options.told.unwrap_or(if as_many { proxies } else { script.announced_proxies });
            eprintln!("{proxies} proxies, seed {seed}, {name}");
            let outcome = play(
                &script,
                program,
                stop,
                options.seeds == 1 && sizes.len() == 1,
                options.proxy_log.clone(),
            )
            .await?;
            if let Some(path) = &options.log {
                let bad = |e: std::io::Error| Failure::InvalidInput(format!("{}: {e}", path.display()));
                let file = std::fs::File::create(path).map_err(bad)?;
                events::write_events(&outcome.events, std::io::BufWriter::new(file)).map_err(bad)?;
            }
            for took in linentrail_standins::rig::measure::change_durations(&outcome.events) {
                match took {
                    Some(took) => println!(
                        "{proxies} proxies, seed {seed}: a change in force at all after {} ms",
                        took / 1000
                    ),
                    None => println!("{proxies} proxies, seed {seed}: a change that is not in force at all"),
                }
            }
            let count = |name: &str| outcome.counters.get(name).copied().unwrap_or(0);
            if count("agreement_datagrams") > 0 {
                let each =
                    count("agreement_datagrams") as f64 / f64::from(proxies) / script.end.as_secs_f64();
                println!(
                    "{proxies} proxies: {each:.0} datagrams a second sent by each, {} documents got",
                    count("agreement_fetches")
                );
            }
            table.add(name, (proxies, seed), &outcome);
        }
    }
    table.print();
    if let Some(path) = &options.json {
        let text = table.json().to_string();
        std::fs::write(path, text).map_err(|e| Failure::InvalidInput(format!("{}: {e}", path.display())))?;
    }
    if let Some(path) = &options.plot {
        let bad = |e: Box<dyn std::error::Error>| Failure::InvalidInput(format!("{}: {e}", path.display()));
        plot::write(table.runs(), path).map_err(bad)?;
    }
    match (table.breach_count("new"), stop.is_set()) {
        (0, false) => Ok(()),
        (0, true) => Err(Failure::CheckFailed("interrupted".to_string())),
        (n, _) => Err(Failure::CheckFailed(format!("{n} breaches"))),
    }
}

/// Runs the command `judge`: checks recorded events.
pub fn judge(options: &JudgeOptions) -> Result<(), Failure> {
    let script = read(&options.scenario)?;
    let bad = |what: String| Failure::InvalidInput(format!("{}: {what}", options.log.display()));
    let file = std::fs::File::open(&options.log).map_err(|e| bad(e.to_string()))?;
    let events = events::read_events(std::io::BufReader::new(file)).map_err(bad)?;
    let verdict = checker::judge(&events, 0, &script.bounds);
    verdict.breaches.iter().for_each(|b| println!("{}", report::format_breach(b)));
    if !verdict.passed() {
        return Err(Failure::CheckFailed("a rule was broken".to_string()));
    }
    println!("{} requests, all rules kept", verdict.asked);
    Ok(())
}
