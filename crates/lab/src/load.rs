//! Load of one class: at a rate (open loop) or from clients that each wait for their answer (closed loop).

use crate::drive::{self, Front, Stop, Tally};
use crate::world::{program, Plan, World};
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

/// The users' classes.
pub const CLASSES: [&str; 4] = ["yard-board", "my-booking", "monthly-report", "place-order"];

/// Options of `load`.
#[derive(Args)]
pub struct Options {
    /// A proxy that runs already; else one is started between stand-ins
    #[arg(long)]
    to: Option<SocketAddr>,
    /// The proxy to start; else the one beside this program
    #[arg(long, conflicts_with = "to")]
    program: Option<PathBuf>,
    /// By which front
    #[arg(long, value_enum, default_value_t = FrontName::Pg)]
    front: FrontName,
    /// Class of the requests
    #[arg(long, default_value = "yard-board", value_parser = CLASSES)]
    class: String,
    /// Bytes of a value
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=65_536))]
    size: u32,
    /// Clients, each with a connection of its own
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    clients: u32,
    /// Requests a second, whatever the answers take (open loop); without it each client waits (closed loop)
    #[arg(long, value_parser = rate)]
    rate: Option<f64>,
    /// How long, in seconds
    #[arg(long, default_value_t = 10.0, value_parser = seconds)]
    seconds: f64,
    /// Shortest and longest service time of the stand-in members, in ms
    #[arg(long, num_args = 2, value_names = ["LEAST", "MOST"], default_values_t = [0.0, 0.0])]
    service_ms: Vec<f64>,
    /// Writes the results here as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Fronts by name.
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

fn above_zero(text: &str, most: f64) -> Result<f64, String> {
    let number: f64 = text.parse().map_err(|_| format!("'{text}' is no number"))?;
    match number > 0.0 && number <= most {
        true => Ok(number),
        false => Err(format!("must be above 0 and at most {most}")),
    }
}

fn rate(text: &str) -> Result<f64, String> {
    above_zero(text, 1e6)
}

/// A span of time on the command line.
pub fn seconds(text: &str) -> Result<f64, String> {
    above_zero(text, 86_400.0)
}

/// Quantiles of a histogram of ns, in us.
pub fn quantiles(times: &Histogram<u64>) -> Value {
    let at = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    json!({"p50": at(0.5), "p90": at(0.9), "p99": at(0.99), "p999": at(0.999), "max": times.max() as f64 / 1e3,
        "mean": times.mean() / 1e3, "count": times.len()})
}

/// The closed loop's times as an open loop at the same mean rate would have seen them: a standstill that kept a client
/// from asking is filled with the requests that it would have asked.
fn corrected(tally: &Tally, clients: u32, spent: Duration) -> Histogram<u64> {
    let each = spent.as_nanos() as f64 * f64::from(clients) / (tally.all().max(1)) as f64;
    tally.times.clone_correct(each.max(1.0) as u64)
}

/// Runs the command.
pub async fn run(options: &Options, stop: &Stop) -> Result<(), Failure> {
    let [least, most] = options.service_ms[..] else {
        return Err(Failure::Unusable("two service times".into()));
    };
    if !(0.0..=60_000.0).contains(&least) || !(least..=60_000.0).contains(&most) {
        return Err(Failure::Unusable(format!("service times from {least} to {most} ms cannot be")));
    }
    let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
    let front = Front::from(options.front);
    let world = match options.to {
        Some(_) => None,
        None => {
            let program = program(options.program.as_ref())?;
            let capacity = Capacity { service_time: (ms(least), ms(most)), ..Capacity::default() };
            let plan =
                Plan { program: &program, capacity, lag_ms: 0, odata: front == Front::Odata, patience: 1 };
            Some(World::start(&plan).await?)
        }
    };
    let started = world.as_ref().map(|w| w.address(front));
    let Some(to) = options.to.or(started) else { return Err(Failure::Unusable("nowhere to send to".into())) };
    if let Some(world) = &world {
        world.group.preset("k0", vec![0x5a; options.size as usize].into());
    }
    let class = CLASSES.into_iter().find(|c| *c == options.class).unwrap_or(CLASSES[0]);
    let value = (class == "place-order").then(|| vec![0x5a; options.size as usize]);
    let ask = ClientRequest { class, key: "k0".to_string(), value, wait_ms: 3_000, after: None };
    let asks: drive::Asks = Arc::new(move |_| ask.clone());
    let (clients, span) = (options.clients as usize, Duration::from_secs_f64(options.seconds));
    let began = Instant::now();
    let tally = drive::load(front, to, clients, options.rate, span, &asks, stop).await;
    let spent = began.elapsed();
    if tally.all() == 0 {
        return Err(Failure::Broken(format!("nothing was answered at {to}")));
    }
    let mut result = json!({
        "class": class, "clients": clients, "rate_asked": options.rate, "seconds": spent.as_secs_f64(),
        "rate": tally.all() as f64 / spent.as_secs_f64(), "served": tally.served, "refused": tally.refused,
        "failed": tally.failed, "unanswered": tally.broken, "interrupted": stop.is_set(),
        "us": quantiles(&tally.times),
    });
    if options.rate.is_none() {
        result["us_corrected"] = quantiles(&corrected(&tally, options.clients, spent));
    }
    let text = serde_json::to_string_pretty(&result).unwrap_or_default();
    println!("{text}");
    if let Some(path) = &options.json {
        std::fs::write(path, text).map_err(|e| Failure::Unusable(format!("{}: {e}", path.display())))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rates_and_spans_that_cannot_be_are_named() {
        for bad in ["0", "-3", "nan", "inf", "many", "1e9"] {
            assert!(rate(bad).is_err() && seconds(bad).is_err(), "{bad}");
        }
        assert_eq!(rate("250.5"), Ok(250.5));
    }

    #[test]
    fn a_standstill_weighs_as_many_requests_as_it_kept_from_being_asked() {
        let mut tally = Tally::new();
        // 99 answers of 1 ms and one of 1 s, from one client: nearly all of the time was the standstill.
        tally.times.record_n(1_000_000, 99).expect("within bounds");
        tally.times.record(1_000_000_000).expect("within bounds");
        tally.served = 100;
        assert!(tally.times.value_at_quantile(0.95) < 1_100_000);
        let corrected = corrected(&tally, 1, Duration::from_millis(1_099));
        assert!(corrected.value_at_quantile(0.95) > 400_000_000);
    }
}
