//! Load of one class: at a fixed rate (open loop) or from clients that each wait for their answer (closed loop).

use crate::drive::{self, Front, StopFlag, Tally};
use crate::world::{find_program, World, WorldOptions};
use crate::Failure;
use clap::{Args, ValueEnum};
use hdrhistogram::Histogram;
use linentrail_standins::client::ClientRequest;
use linentrail_standins::member::Capacity;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The request classes of the users.
pub const CLASSES: [&str; 4] = ["yard-board", "my-booking", "monthly-report", "place-order"];

/// Options of `load`.
#[derive(Args)]
pub struct Options {
    /// Address of a running proxy; by default a proxy is started with stand-in members
    #[arg(long)]
    to: Option<SocketAddr>,
    /// Executable of the proxy to start; default: linentrail in the folder of this program
    #[arg(long, conflicts_with = "to")]
    program: Option<PathBuf>,
    /// Protocol of the clients
    #[arg(long, value_enum, default_value_t = FrontName::Pg)]
    front: FrontName,
    /// Class of the requests
    #[arg(long, default_value = "yard-board", value_parser = CLASSES)]
    class: String,
    /// Size of a value in bytes
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=65_536))]
    size: u32,
    /// Number of clients, each with its own connection
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    clients: u32,
    /// Requests per second, independent of answers (open loop); by default closed loop
    #[arg(long, value_parser = parse_rate)]
    rate: Option<f64>,
    /// Duration in seconds
    #[arg(long, default_value_t = 10.0, value_parser = parse_seconds)]
    seconds: f64,
    /// Minimum and maximum service time of the stand-in members, in ms
    #[arg(long, num_args = 2, value_names = ["LEAST", "MOST"], default_values_t = [0.0, 0.0])]
    service_ms: Vec<f64>,
    /// File to write the results to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Values of the option `--front`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum FrontName {
    /// PostgreSQL's protocol
    Pg,
    /// OData
    Odata,
}

impl From<FrontName> for Front {
    fn from(name: FrontName) -> Self {
        match name {
            FrontName::Pg => Front::Pg,
            FrontName::Odata => Front::Odata,
        }
    }
}

fn parse_positive(text: &str, max: f64) -> Result<f64, String> {
    let number: f64 = text.parse().map_err(|_| format!("'{text}' is not a number"))?;
    match number > 0.0 && number <= max {
        true => Ok(number),
        false => Err(format!("must be above 0 and at most {max}")),
    }
}

fn parse_rate(text: &str) -> Result<f64, String> {
    parse_positive(text, 1e6)
}

/// Parses a duration in seconds.
pub fn parse_seconds(text: &str) -> Result<f64, String> {
    parse_positive(text, 86_400.0)
}

/// Quantiles, in microseconds, of a histogram in nanoseconds.
pub fn quantiles(times: &Histogram<u64>) -> Value {
    let at = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    json!({"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p999": at(0.999), "max": times.max() as f64 / 1e3,
        "mean": times.mean() / 1e3, "count": times.len()})
}

/// Corrects the latencies of a closed loop for coordinated omission: adds the requests that an open loop at the
/// same mean rate would have sent while a slow answer kept a client from sending.
fn corrected(tally: &Tally, clients: u32, elapsed: Duration) -> Histogram<u64> {
    let each = elapsed.as_nanos() as f64 * f64::from(clients) / (tally.all().max(1)) as f64;
    tally.times.clone_correct(each.max(1.0) as u64)
}

/// Runs the command `load`.
pub async fn run(options: &Options, stop: &StopFlag) -> Result<(), Failure> {
    let [min, max] = options.service_ms[..] else {
        return Err(Failure::InvalidInput("two service times are required".into()));
    };
    if !(0.0..=60_000.0).contains(&min) || !(min..=60_000.0).contains(&max) {
        return Err(Failure::InvalidInput(format!("invalid service times: {min} to {max} ms")));
    }
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
    let front = Front::from(options.front);
    let world = match options.to {
        Some(_) => None,
        None => {
            let program = find_program(options.program.as_ref())?;
            let capacity = Capacity { service_time: (ms(min), ms(max)), ..Capacity::default() };
            let plan = WorldOptions {
                program: &program,
                capacity,
                lag_ms: 0,
                odata: front == Front::Odata,
                timeout_factor: 1,
            };
            Some(World::start(&plan).await?)
        }
    };
    let started = world.as_ref().map(|w| w.address(front));
    let Some(to) = options.to.or(started) else {
        return Err(Failure::InvalidInput("no address to send to".into()));
    };
    if let Some(world) = &world {
        world.group.preset("k0", vec![0x5a; options.size as usize].into());
    }
    let class = CLASSES.into_iter().find(|c| *c == options.class).unwrap_or(CLASSES[0]);
    let value = (class == "place-order").then(|| vec![0x5a; options.size as usize]);
    let request = ClientRequest { class, key: "k0".to_string(), value, wait_ms: 3_000, after: None };
    let new_request: drive::RequestFactory = Arc::new(move |_| request.clone());
    let (clients, duration) = (options.clients as usize, Duration::from_secs_f64(options.seconds));
    let started_at = Instant::now();
    let tally = drive::run_load(front, to, clients, options.rate, duration, &new_request, stop).await;
    let elapsed = started_at.elapsed();
    if tally.all() == 0 {
        return Err(Failure::CheckFailed(format!("nothing was answered at {to}")));
    }
    let mut result = json!({
        "class": class, "clients": clients, "rate_asked": options.rate, "seconds": elapsed.as_secs_f64(),
        "rate": tally.all() as f64 / elapsed.as_secs_f64(), "served": tally.served, "refused": tally.refused,
        "failed": tally.failed, "unanswered": tally.unanswered, "interrupted": stop.is_set(),
        "us": quantiles(&tally.times),
    });
    if options.rate.is_none() {
        result["us_corrected"] = quantiles(&corrected(&tally, options.clients, elapsed));
    }
    let text = serde_json::to_string_pretty(&result).unwrap_or_default();
    println!("{text}");
    if let Some(path) = &options.json {
        std::fs::write(path, text).map_err(|e| Failure::InvalidInput(format!("{}: {e}", path.display())))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_rates_and_durations_are_rejected() {
        for bad in ["0", "-3", "nan", "inf", "many", "1e9"] {
            assert!(parse_rate(bad).is_err() && parse_seconds(bad).is_err(), "{bad}");
        }
        assert_eq!(parse_rate("250.5"), Ok(250.5));
    }

    #[test]
    fn a_stall_counts_for_the_requests_that_it_kept_from_being_sent() {
        let mut tally = Tally::new();
        // 99 answers of 1 ms and one of 1 s from one client: the stall took most of the time.
        tally.times.record_n(1_000_000, 99).expect("within bounds");
        tally.times.record(1_000_000_000).expect("within bounds");
        tally.served = 100;
        assert!(tally.times.value_at_quantile(0.95) < 1_100_000);
        let corrected = corrected(&tally, 1, Duration::from_millis(1_099));
        assert!(corrected.value_at_quantile(0.95) > 400_000_000);
    }
}
