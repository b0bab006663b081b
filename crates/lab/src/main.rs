//! The lab: linentrail between stand-ins on loopback, to be shown, loaded and measured.

mod cost;
mod demo;
mod drive;
mod fleet;
mod load;
mod rules;
mod world;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Measures linentrail between stand-ins on loopback.
#[derive(Parser)]
#[command(name = "linentrail-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What a request costs: allocations, socket calls, wake-ups, copies, processor time, time added.
    Cost(cost::Options),
    /// A mixed load of all classes by both fronts between stand-ins with faults, and whether the rules were kept.
    Demo(demo::Options),
    /// Many real proxies in a scenario of faults: run, judged by rules and sums, time to full service measured.
    Fleet(fleet::Options),
    /// Draws scenarios of faults until one shows a breach, and makes that one short.
    Hunt(fleet::hunt::Options),
    /// Judges the events of a run of `fleet` again.
    Judge(fleet::JudgeOptions),
    /// Load of one class, at a rate or from clients that wait; results as JSON.
    Load(load::Options),
    /// Runs 10 to 40 real processes under overlapping faults, their system calls' among them, seed after seed
    Soak(fleet::hunt::SoakOptions),
}

/// Why a command ends without success.
enum Failure {
    /// The arguments or files cannot be used; exit status 2.
    Unusable(String),
    /// What was measured or checked is not as it should be; exit status 1.
    Broken(String),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(fault) if fault.use_stderr() => {
            eprintln!("linentrail-lab: {}", linentrail::cli::one_line(&fault));
            return ExitCode::from(2);
        }
        Err(help) => help.exit(),
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("linentrail-lab: runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    let end = runtime.block_on(async {
        let stop = drive::Stop::on_interrupt();
        match arguments.command {
            Command::Cost(options) => cost::run(&options, &stop).await,
            Command::Demo(options) => demo::run(&options, &stop).await,
            Command::Fleet(options) => fleet::run(&options, &stop).await,
            Command::Hunt(options) => fleet::hunt::run(&options, &stop).await,
            Command::Judge(options) => fleet::judge(&options),
            Command::Load(options) => load::run(&options, &stop).await,
            Command::Soak(options) => fleet::hunt::soak(&options, &stop).await,
        }
    });
    match end {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Broken(message)) => {
            eprintln!("linentrail-lab: {message}");
            ExitCode::FAILURE
        }
        Err(Failure::Unusable(message)) => {
            eprintln!("linentrail-lab: {message}");
            ExitCode::from(2)
        }
    }
}
