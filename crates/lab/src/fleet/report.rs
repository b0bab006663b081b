//! What runs of a scenario have shown, as a table and as JSON.

use comfy_table::{presets, CellAlignment, Table};
use linentrail_standins::rig::checker::Breach;
use linentrail_standins::rig::run::Outcome;
use serde_json::{json, Value};

/// All runs so far.
#[derive(Default)]
pub struct Report {
    rows: Vec<Value>,
    breaches: Vec<(String, u64, String)>,
}

/// A breach in a line.
pub fn line(breach: &Breach) -> String {
    format!("{:8.3} s  {:?}: {}", breach.at as f64 / 1e6, breach.rule, breach.what)
}

const HEADS: [&str; 14] = [
    "proxies",
    "seed",
    "program",
    "asked",
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
    /// Takes in a run.
    pub fn add(&mut self, program: &str, (proxies, seed): (u32, u64), outcome: &Outcome) {
        let Outcome { verdict, recovery, counters, .. } = outcome;
        let recovery = recovery.clone().unwrap_or_default();
        let [before, after] = verdict.peaks;
        let counts: Value = verdict.counts.iter().map(|(rule, n)| (format!("{rule:?}"), json!(n))).collect();
        // The slowest process by its own word, and the most that its word and its clients' view are apart.
        let told = outcome.full_service_times.values().map(|(_, told)| *told).max();
        let apart = outcome.full_service_times.values().map(|(seen, told)| seen.abs_diff(*told)).max();
        let each: Vec<Value> = outcome
            .full_service_times
            .iter()
            .map(|(p, (seen, told))| json!([p, seen / 1000, told / 1000]))
            .collect();
        self.rows.push(json!({
            "proxies": proxies, "seed": seed, "program": program, "asked": verdict.asked, "good_before": recovery.share_before,
            "first_half_second": recovery.share_first_half_second, "full_ms": recovery.time_to_full.map(|t| t as f64 / 1e3),
            "told_ms": told.map(|t| t / 1000), "apart_ms": apart.map(|t| t / 1000), "each_ms": each,
            "opened": [before.opened, after.opened], "probed": [before.probed, after.probed],
            "called": [before.called, after.called], "unanswered": verdict.unanswered,
            "breaches": counts, "counters": counters,
        }));
        let told = verdict.breaches.iter().map(|b| (program.to_string(), seed, line(b)));
        self.breaches.extend(told);
    }

    /// The figures, a run each.
    pub fn runs(&self) -> &[Value] {
        &self.rows
    }

    /// How many breaches a program has shown that were told.
    pub fn broken(&self, program: &str) -> usize {
        self.breaches.iter().filter(|b| b.0 == program).count()
    }

    /// All of it.
    pub fn json(&self) -> Value {
        let breaches: Vec<Value> =
            self.breaches.iter().map(|(p, s, b)| json!({"program": p, "seed": s, "breach": b})).collect();
        json!({"runs": self.rows, "breaches": breaches})
    }

    /// Prints it.
    pub fn print(&self) {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN).set_header(HEADS);
        table.column_iter_mut().skip(3).for_each(|c| c.set_cell_alignment(CellAlignment::Right));
        for row in &self.rows {
            let share = |name: &str| format!("{:.3}", row[name].as_f64().unwrap_or(0.0));
            let pair = |name: &str, n: usize| row[name][n].to_string();
            table.add_row([
                row["proxies"].to_string(),
                row["seed"].to_string(),
                row["program"].as_str().unwrap_or_default().to_string(),
                row["asked"].to_string(),
                share("good_before"),
                share("first_half_second"),
                row["full_ms"].as_f64().map_or("never".into(), |ms| format!("{ms:.0}")),
                match (&row["told_ms"], &row["apart_ms"]) {
                    (Value::Null, _) => "-".to_string(),
                    (told, apart) => format!("{told} ({apart})"),
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
        for (program, seed, breach) in &self.breaches {
            println!("{program}, seed {seed}: {breach}");
        }
    }
}
