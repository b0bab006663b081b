//! Runs the commands of linentrail-lab: errors are printed in one line, and an interrupted run prints its results.
#![allow(missing_docs)]

use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_linentrail-lab")).args(arguments).output().expect("the program starts")
}

#[test]
fn invalid_input_is_reported_in_one_line_with_status_2() {
    let dir = std::env::temp_dir().join(format!("linentrail-lab-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let bad = dir.join("bad.toml");
    std::fs::write(&bad, "[case.pg-no-such-case]\nallocations = 1\n").expect("a file");
    let unreadable = dir.join("unreadable.toml");
    std::fs::write(&unreadable, "[case.pg-yard-board-8b-8]\nallocations = \"few\"\n").expect("a file");
    let (bad, unreadable) = (bad.to_str().expect("a path"), unreadable.to_str().expect("a path"));
    for (arguments, word) in [
        (&["load", "--rate", "0"][..], "above 0"),
        (&["load", "--rate", "fast"], "fast"),
        (&["load", "--class", "nobody"], "nobody"),
        (&["load", "--seconds", "-1"], "-1"),
        (&["load", "--to", "nowhere"], "nowhere"),
        (&["load", "--program", "/no/such/program"], "/no/such/program"),
        (&["load", "--to", "127.0.0.1:9", "--service-ms", "9", "3"], "service times"),
        (&["demo", "--clients", "1"], "1"),
        (&["demo", "--program", "/no/such/program"], "/no/such/program"),
        (&["cost", "--budgets", "/no/such/file"], "/no/such/file"),
        (&["cost", "--budgets", bad], "pg-no-such-case"),
        (&["cost", "--budgets", unreadable], "allocations"),
        (&["cost", "--only", "no-such-case"], "no-such-case"),
        (&["sing"], "sing"),
    ] {
        let out = lab(arguments);
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{arguments:?}: {stderr}");
        assert!(stderr.contains(word), "{arguments:?}: {stderr}");
    }
    std::fs::remove_dir_all(dir).expect("the folder is removed");
}

#[test]
fn help_exits_with_success() {
    let out = lab(&["load", "--help"]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("--rate"));
}

fn interrupt(child: &Child) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().expect("kill runs").success());
}

#[test]
fn an_interrupted_load_prints_its_results() {
    // Uses a member in place of a proxy, because it accepts the same statements.
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let to = member.address().to_string();
    let child = Command::new(env!("CARGO_BIN_EXE_linentrail-lab"))
        .args(["load", "--to", &to, "--clients", "2", "--rate", "400", "--seconds", "3600"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let started_at = Instant::now();
    while member.totals().0 < 50 {
        assert!(started_at.elapsed() < Duration::from_secs(20), "no requests arrive");
        std::thread::sleep(Duration::from_millis(5));
    }
    interrupt(&child);
    let out = child.wait_with_output().expect("the program ends");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let results: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    assert_eq!(results["interrupted"], true);
    assert!(results["served"].as_u64().expect("a number") >= 49, "{results}");
    assert!(results["us"]["p50"].as_f64().expect("a number") > 0.0, "{results}");
}

#[test]
fn a_closed_loop_reports_measured_and_corrected_latencies() {
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let out =
        lab(&["load", "--to", &member.address().to_string(), "--seconds", "0.3", "--class", "place-order"]);
    let results: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    let count = |name: &str| results[name]["count"].as_u64().expect("a count");
    assert_eq!(count("us"), results["served"].as_u64().expect("a count"));
    assert!(count("us_corrected") >= count("us"), "{results}");
}
