//! The results of runs of a scenario, as a table and as JSON.

use comfy_table::{presets, CellAlignment, Table};
use linentrail_standins::rig::checker::Breach;
use linentrail_standins::rig::events::{Event, EventKind, RequestEnd};
use linentrail_standins::rig::run::Outcome;
use linentrail_standins::rig::slow_start::SlowStartPeak;
use serde_json::{json, Value};

/// The results of all runs so far.
#[derive(Default)]
pub struct Report {
    rows: Vec<Value>,
    breaches: Vec<(String, u64, String)>,
    slow_start: Vec<(String, u64, SlowStartPeak)>,
}

/// Formats a breach as one line.
pub fn format_breach(breach: &Breach) -> String {
    format!("{:8.3} s  {:?}: {}", breach.at as f64 / 1e6, breach.rule, breach.what)
}

const COLUMNS: [&str; 15] = [
    "proxies",
    "seed",
    "program",
    "asked",
    "served",
    "good before",
    "first 0.5 s",
    "full ms",
    "told ms (apart)",
    "opened before",
    "opened after",
    "probes before",
    "probes after",
    "calls a s",
    "unanswered",
];

impl Report {
    /// Adds the results of a run.
    pub fn add(&mut self, program: &str, (proxies, seed): (u32, u64), outcome: &Outcome) {
        let Outcome { verdict, recovery, counters, .. } = outcome;
        let recovery = recovery.clone().unwrap_or_default();
        let [before, after] = verdict.peaks;
        let counts: Value = verdict.counts.iter().map(|(rule, n)| (format!("{rule:?}"), json!(n))).collect();
        // The longest time to full service that a process reported, and the largest difference between the time
        // that a process reported and the time that its clients observed.
        let reported = outcome.full_service_times.values().map(|(_, reported)| *reported).max();
        let difference = outcome
            .full_service_times
            .values()
            .map(|(observed, reported)| observed.abs_diff(*reported))
            .max();
        let each: Vec<Value> = outcome
            .full_service_times
            .iter()
            .map(|(p, (observed, reported))| json!([p, observed / 1000, reported / 1000]))
            .collect();
        let is_served = |e: &&Event| matches!(e.what, EventKind::Ended { how: RequestEnd::Served, .. });
        let served = outcome.events.iter().filter(is_served).count();
        self.rows.push(json!({
            "proxies": proxies, "seed": seed, "program": program, "asked": verdict.asked, "served": served,
            "good_before": recovery.share_before,
            "first_half_second": recovery.share_first_half_second,
            "full_ms": recovery.time_to_full.map(|t| t as f64 / 1e3),
            "told_ms": reported.map(|t| t / 1000), "apart_ms": difference.map(|t| t / 1000),
            "each_ms": each,
            "opened": [before.opened, after.opened], "probed": [before.probed, after.probed],
            "called": [before.called, after.called], "unanswered": verdict.unanswered,
            "breaches": counts, "counters": counters,
        }));
        let peaks = verdict.slow_start.iter().map(|peak| (program.to_string(), seed, *peak));
        self.slow_start.extend(peaks);
        let lines = verdict.breaches.iter().map(|b| (program.to_string(), seed, format_breach(b)));
        self.breaches.extend(lines);
    }

    /// The figures, one entry for each run.
    pub fn runs(&self) -> &[Value] {
        &self.rows
    }

    /// The number of breaches recorded for a program.
    pub fn breach_count(&self, program: &str) -> usize {
        self.breaches.iter().filter(|b| b.0 == program).count()
    }

    /// All figures and breaches as JSON.
    pub fn json(&self) -> Value {
        let breaches: Vec<Value> =
            self.breaches.iter().map(|(p, s, b)| json!({"program": p, "seed": s, "breach": b})).collect();
        json!({"runs": self.rows, "breaches": breaches})
    }

    /// Prints the table and the breaches.
    pub fn print(&self) {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN).set_header(COLUMNS);
        table.column_iter_mut().skip(3).for_each(|c| c.set_cell_alignment(CellAlignment::Right));
        for row in &self.rows {
            let share = |name: &str| format!("{:.3}", row[name].as_f64().unwrap_or(0.0));
            let pair = |name: &str, n: usize| row[name][n].to_string();
            table.add_row([
                row["proxies"].to_string(),
                row["seed"].to_string(),
                row["program"].as_str().unwrap_or_default().to_string(),
                row["asked"].to_string(),
                row["served"].to_string(),
                share("good_before"),
                share("first_half_second"),
                row["full_ms"].as_f64().map_or("never".into(), |ms| format!("{ms:.0}")),
                match (&row["told_ms"], &row["apart_ms"]) {
                    (Value::Null, _) => "-".to_string(),
                    (reported, difference) => format!("{reported} ({difference})"),
                },
                pair("opened", 0),
                pair("opened", 1),
                pair("probed", 0),
                pair("probed", 1),
                pair("called", 1),
                row["unanswered"].to_string(),
            ]);
        }
        println!("{table}");
        for (program, seed, peak) in &self.slow_start {
            println!(
                "{program}, seed {seed}: {:8.3} s  member {}: {:+.1} requests over budget and tolerance, {:.1} times \
                 what it can do, {} statements, {} of them writes",
                peak.at as f64 / 1e6,
                peak.member,
                peak.excess,
                peak.times,
                peak.statements,
                peak.writes
            );
        }
        for (program, seed, breach) in &self.breaches {
            println!("{program}, seed {seed}: {breach}");
        }
    }
}
