//! The `fleet` commands, which call the console of any proxy of a fleet whose proxies agree on settings and
//! suspensions.

use crate::cli::{self, FleetCommand};
use crate::console_client::{call, configured_address};
use serde_json::Value;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Interval between queries of a change's state, and the timeout of a change in multiples of its bound.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
const TIMEOUT_BOUNDS: u32 = 8;

/// Sends a line to the console and returns the text of a successful answer.
fn request(console: &str, line: &str) -> Result<String, String> {
    let answer = call(console, line)?;
    match answer.split_once(' ') {
        Some(("200", text)) => Ok(text.to_string()),
        Some((_, why)) => Err(why.to_string()),
        None => Err(answer),
    }
}

fn request_json(console: &str, line: &str) -> Result<Value, String> {
    serde_json::from_str(&request(console, line)?).map_err(|e| format!("console {console}: {e}"))
}

fn number(value: &Value) -> String {
    value.as_u64().map_or_else(|| "-".to_string(), |n| n.to_string())
}

/// The state of one kind of document, `settings` or `hands` (suspensions), on one line.
fn summary(status: &Value, kind: &str) -> String {
    let document = &status[kind];
    let versions: Vec<String> =
        document["versions"].as_array().into_iter().flatten().map(version_text).collect();
    let waits: Vec<String> = document["waits_for"].as_array().into_iter().flatten().map(number).collect();
    let waits =
        if waits.is_empty() { String::new() } else { format!("; waits for proxies {}", waits.join(", ")) };
    let (state, since) = (document["state"].as_str().unwrap_or("?"), number(&document["since_ms"]));
    format!(
        "{kind}: {state} {} (turn {}, for {since} ms{waits})",
        versions.join(" and "),
        number(&document["turn"])
    )
}

fn version_text(version: &Value) -> String {
    format!("version {} {}", number(&version["number"]), version["hash"].as_str().unwrap_or("?"))
}

/// Formats a status as lines of text.
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
        summary(status, "settings"),
        summary(status, "hands"),
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

/// Waits until a version of this kind later than `before` is the only one in force, or until the change has failed.
fn wait_in_force(console: &str, kind: &str, before: u64) -> Result<Vec<String>, String> {
    let began = Instant::now();
    let mut last = String::new();
    loop {
        let status = request_json(console, "FLEET")?;
        let document = &status[kind];
        let state_line = summary(&status, kind);
        let last_change = status["last"].as_str().unwrap_or_default();
        if document["state"] == "in force" && document["versions"][0]["number"].as_u64() > Some(before) {
            return Ok(vec![state_line]);
        }
        if last_change.contains("nothing was changed") {
            return Err(last_change.to_string());
        }
        let bound = Duration::from_millis(status["bound_ms"].as_u64().unwrap_or(2_000));
        if began.elapsed() > bound * TIMEOUT_BOUNDS {
            return Err(format!("it stands still: {state_line}; ask for the status, or abort"));
        }
        let state = format!("{} {}", document["state"], document["waits_for"]);
        if state != last {
            cli::print_error_line(format_args!("{state_line}"));
            last = state;
        }
        std::thread::sleep(STATUS_INTERVAL);
    }
}

/// Sends a line that begins a change and waits until the change is in force.
fn change(console: &str, kind: &str, line: &str) -> Result<Vec<String>, String> {
    let before = request_json(console, "FLEET")?[kind]["versions"][0]["number"].as_u64().unwrap_or(0);
    let answer = request(console, line)?;
    if answer.contains("is so already") {
        return Ok(vec![answer]);
    }
    cli::print_error_line(format_args!("{answer}"));
    wait_in_force(console, kind, before)
}

/// Executes a command. Returns the lines to print and whether the command succeeded.
fn execute(command: &FleetCommand, console: &str, json: bool) -> Result<(Vec<String>, bool), String> {
    let succeeded = |lines| Ok((lines, true));
    match command {
        FleetCommand::Status => {
            let status = request_json(console, "FLEET")?;
            let lines = if json { vec![status.to_string()] } else { table(&status) };
            Ok((lines, status["lease_ms"].is_u64()))
        }
        FleetCommand::History => {
            let all = request_json(console, "FLEET HISTORY")?;
            let one = |p: &Value| {
                let word = |name: &str| p[name].as_str().unwrap_or("?").to_string();
                format!(
                    "{} {} by {}, in force since {} us",
                    word("kind"),
                    version_text(p),
                    word("author"),
                    number(&p["since_us"])
                )
            };
            succeeded(if json {
                vec![all.to_string()]
            } else {
                all.as_array().into_iter().flatten().map(one).collect()
            })
        }
        FleetCommand::Propose { file, author } => {
            let file = file.canonicalize().map_err(|e| format!("{}: {e}", file.display()))?;
            succeeded(change(console, "settings", &format!("FLEET PROPOSE {} {author}", file.display()))?)
        }
        FleetCommand::Abort => succeeded(vec![request(console, "FLEET ABORT")?]),
        FleetCommand::Suspend { member } => {
            succeeded(change(console, "hands", &format!("FLEET SUSPEND {member}"))?)
        }
        FleetCommand::Restore { member } => {
            succeeded(change(console, "hands", &format!("FLEET RESTORE {member}"))?)
        }
        FleetCommand::Epoch { number } => {
            succeeded(vec![request(console, &format!("FLEET EPOCH {number}"))?])
        }
    }
}

/// Runs a command. The exit code is 0 on success, 1 on failure and 2 if no console answers.
pub fn run(command: &FleetCommand, console: Option<&str>, json: bool) -> ExitCode {
    let result = console
        .map_or_else(configured_address, |c| Ok(c.to_string()))
        .map(|console| execute(command, &console, json));
    match result {
        Ok(Ok((lines, success))) => {
            lines.iter().for_each(|line| cli::print_line(format_args!("{line}")));
            if success {
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
