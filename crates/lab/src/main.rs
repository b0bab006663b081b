//! Demonstrations, load tests and cost measurements of linentrail with stand-in members and discovery on loopback.

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
    /// Measures the cost of a request: allocations, socket calls, wake-ups, copies, CPU time and added latency.
    Cost(cost::Options),
    /// Runs a mixed load of all classes through both fronts while members fail, and checks the rules.
    Demo(demo::Options),
    /// Runs many real proxies in a fault scenario, checks the rules and measures the time to full service.
    Fleet(fleet::Options),
    /// Generates random fault scenarios until one shows a breach, and shortens that scenario.
    Hunt(fleet::hunt::Options),
    /// Checks the recorded events of a `fleet` run again.
    Judge(fleet::JudgeOptions),
    /// Generates load of one class, open loop or closed loop; prints the results as JSON.
    Load(load::Options),
    /// Runs 10 to 40 real processes under overlapping faults, including failing system calls, for many seeds
    Soak(fleet::hunt::SoakOptions),
}

/// Why a command failed; decides the exit status.
enum Failure {
    /// Invalid arguments or files; exit status 2.
    InvalidInput(String),
    /// A measurement or check failed; exit status 1.
    CheckFailed(String),
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
        let stop = drive::StopFlag::on_interrupt();
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
        Err(Failure::CheckFailed(message)) => {
            eprintln!("linentrail-lab: {message}");
            ExitCode::FAILURE
        }
        Err(Failure::InvalidInput(message)) => {
            eprintln!("linentrail-lab: {message}");
            ExitCode::from(2)
        }
    }
}
