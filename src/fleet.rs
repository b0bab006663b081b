//! The commands that ask a fleet that agrees, through the console of any of its proxies.

use crate::cli::{self, FleetCommand};
use crate::console_client::{call, configured_address};
use serde_json::Value;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Between two looks at a change, and how many times the stated bound one is waited for.
const LOOK: Duration = Duration::from_millis(100);
const BOUNDS: u32 = 8;

fn said(console: &str, line: &str) -> Result<String, String> {
    let answer = call(console, line)?;
    match answer.split_once(' ') {
        Some(("200", told)) => Ok(told.to_string()),
        Some((_, why)) => Err(why.to_string()),
        None => Err(answer),
    }
}

fn asked(console: &str, line: &str) -> Result<Value, String> {
    serde_json::from_str(&said(console, line)?).map_err(|e| format!("console {console}: {e}"))
}

fn number(value: &Value) -> String {
    value.as_u64().map_or_else(|| "-".to_string(), |n| n.to_string())
}

/// One kind's standing on a line.
fn standing(status: &Value, kind: &str) -> String {
    let of = &status[kind];
    let versions: Vec<String> = of["versions"].as_array().into_iter().flatten().map(shown).collect();
    let waits: Vec<String> = of["waits_for"].as_array().into_iter().flatten().map(number).collect();
    let waits =
        if waits.is_empty() { String::new() } else { format!("; waits for proxies {}", waits.join(", ")) };
    let (state, since) = (of["state"].as_str().unwrap_or("?"), number(&of["since_ms"]));
    format!(
        "{kind}: {state} {} (turn {}, for {since} ms{waits})",
        versions.join(" and "),
        number(&of["turn"])
    )
}

fn shown(version: &Value) -> String {
    format!("version {} {}", number(&version["number"]), version["hash"].as_str().unwrap_or("?"))
}

/// The table of a status.
fn table(status: &Value) -> Vec<String> {
    let lease = match status["lease_ms"].as_u64() {
        Some(ms) => format!("holds for {ms} ms more"),
        None => "NONE: no majority of the voters is heard".to_string(),
    };
    let mut lines = vec![
        format!(
            "proxy {}; lease: {lease}; a change takes at most {} ms",
            number(&status["me"]),
            number(&status["bound_ms"])
        ),
        standing(status, "settings"),
        standing(status, "hands"),
        format!("last change proposed here: {}", status["last"].as_str().unwrap_or("?")),
        "proxy  votes  heard ms ago  turns      list     remarks".to_string(),
    ];
    for proxy in status["proxies"].as_array().into_iter().flatten() {
        let on = |name: &str| proxy[name].as_bool() == Some(true);
        let mut remarks = Vec::new();
        for (name, word) in [
            ("this", "asked"),
            ("forgot", "may have forgotten its promises"),
            ("drifts", "its clock runs apart"),
        ] {
            if on(name) {
                remarks.push(word);
            }
        }
        let turns = &proxy["turns"];
        lines.push(format!(
            "{:>5}  {:<5}  {:>12}  {:>4} {:<4}  {:<7}  {}",
            number(&proxy["number"]),
            if on("votes") { "yes" } else { "" },
            number(&proxy["heard_ms"]),
            number(&turns[0]),
            number(&turns[1]),
            number(&proxy["list"]),
            remarks.join(", ")
        ));
    }
    lines
}

/// Waits until the version of this kind that was proposed is alone in force, or surely is not.
fn wait(console: &str, kind: &str, before: u64) -> Result<Vec<String>, String> {
    let began = Instant::now();
    let mut last = String::new();
    loop {
        let status = asked(console, "FLEET")?;
        let of = &status[kind];
        let told = standing(&status, kind);
        let words = status["last"].as_str().unwrap_or_default();
        if of["state"] == "in force" && of["versions"][0]["number"].as_u64() > Some(before) {
            return Ok(vec![told]);
        }
        if words.contains("nothing was changed") {
            return Err(words.to_string());
        }
        let bound = Duration::from_millis(status["bound_ms"].as_u64().unwrap_or(2_000));
        if began.elapsed() > bound * BOUNDS {
            return Err(format!("it stands still: {told}; ask for the status, or abort"));
        }
        let state = format!("{} {}", of["state"], of["waits_for"]);
        if state != last {
            cli::print_error_line(format_args!("{told}"));
            last = state;
        }
        std::thread::sleep(LOOK);
    }
}

fn change(console: &str, kind: &str, line: &str) -> Result<Vec<String>, String> {
    let before = asked(console, "FLEET")?[kind]["versions"][0]["number"].as_u64().unwrap_or(0);
    let told = said(console, line)?;
    if told.contains("is so already") {
        return Ok(vec![told]);
    }
    cli::print_error_line(format_args!("{told}"));
    wait(console, kind, before)
}

fn done(asks: &FleetCommand, console: &str, json: bool) -> Result<(Vec<String>, bool), String> {
    let well = |lines| Ok((lines, true));
    match asks {
        FleetCommand::Status => {
            let status = asked(console, "FLEET")?;
            let lines = if json { vec![status.to_string()] } else { table(&status) };
            Ok((lines, status["lease_ms"].is_u64()))
        }
        FleetCommand::History => {
            let all = asked(console, "FLEET HISTORY")?;
            let one = |p: &Value| {
                let word = |name: &str| p[name].as_str().unwrap_or("?").to_string();
                format!(
                    "{} {} by {}, in force since {} us",
                    word("kind"),
                    shown(p),
                    word("author"),
                    number(&p["since_us"])
                )
            };
            well(if json {
                vec![all.to_string()]
            } else {
                all.as_array().into_iter().flatten().map(one).collect()
            })
        }
        FleetCommand::Propose { file, author } => {
            let file = file.canonicalize().map_err(|e| format!("{}: {e}", file.display()))?;
            well(change(console, "settings", &format!("FLEET PROPOSE {} {author}", file.display()))?)
        }
        FleetCommand::Abort => well(vec![said(console, "FLEET ABORT")?]),
        FleetCommand::Suspend { member } => {
            well(change(console, "hands", &format!("FLEET SUSPEND {member}"))?)
        }
        FleetCommand::Restore { member } => {
            well(change(console, "hands", &format!("FLEET RESTORE {member}"))?)
        }
        FleetCommand::Epoch { number } => well(vec![said(console, &format!("FLEET EPOCH {number}"))?]),
    }
}

/// Runs one of the commands: 0 where it is so or done, 1 where not, 2 where nobody answers.
pub fn run(asks: &FleetCommand, console: Option<&str>, json: bool) -> ExitCode {
    let told = console
        .map_or_else(configured_address, |c| Ok(c.to_string()))
        .map(|console| done(asks, &console, json));
    match told {
        Ok(Ok((lines, well))) => {
            lines.iter().for_each(|line| cli::print_line(format_args!("{line}")));
            if well {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Ok(Err(why)) => {
            cli::print_error_line(format_args!("linentrail: {why}"));
            ExitCode::FAILURE
        }
        Err(message) => {
            cli::print_error_line(format_args!("linentrail: {message}"));
            ExitCode::from(2)
        }
    }
}
