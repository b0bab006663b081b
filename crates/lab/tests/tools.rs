//! The lab's commands as people call them: what is wrong is said in one line, and an interrupted run still tells what
//! it measured.
#![allow(missing_docs)]

use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_linentrail-lab")).args(arguments).output().expect("it runs")
}

#[test]
fn what_cannot_be_used_is_said_in_one_line_with_status_2() {
    let dir = std::env::temp_dir().join(format!("linentrail-lab-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let bad = dir.join("bad.toml");
    std::fs::write(&bad, "[case.pg-no-such-case]\nallocations = 1\n").expect("a file");
    let unread = dir.join("unread.toml");
    std::fs::write(&unread, "[case.pg-yard-board-8b-1]\nallocations = \"few\"\n").expect("a file");
    let (bad, unread) = (bad.to_str().expect("a path"), unread.to_str().expect("a path"));
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
        (&["cost", "--budgets", unread], "allocations"),
        (&["cost", "--only", "no-such-case"], "no-such-case"),
        (&["sing"], "sing"),
    ] {
        let out = lab(arguments);
        let said = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}: {said}");
        assert_eq!(said.lines().count(), 1, "{arguments:?}: {said}");
        assert!(said.contains(word), "{arguments:?}: {said}");
    }
    std::fs::remove_dir_all(dir).expect("it was there");
}

#[test]
fn help_is_no_fault() {
    let out = lab(&["load", "--help"]);
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("--rate"));
}

fn interrupt(child: &Child) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().expect("kill is there").success());
}

#[test]
fn an_interrupted_load_prints_what_it_measured() {
    // A member takes the same statements as a proxy, so that none is needed here.
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let to = member.address().to_string();
    let child = Command::new(env!("CARGO_BIN_EXE_linentrail-lab"))
        .args(["load", "--to", &to, "--clients", "2", "--rate", "400", "--seconds", "3600"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    let began = Instant::now();
    while member.totals().0 < 50 {
        assert!(began.elapsed() < Duration::from_secs(20), "nothing is sent");
        std::thread::sleep(Duration::from_millis(5));
    }
    interrupt(&child);
    let out = child.wait_with_output().expect("it ends");
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let told: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    assert_eq!(told["interrupted"], true);
    assert!(told["served"].as_u64().expect("a number") >= 49, "{told}");
    assert!(told["us"]["p50"].as_f64().expect("a number") > 0.0, "{told}");
}

#[test]
fn a_closed_loop_tells_its_times_as_they_are_and_corrected() {
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    let out =
        lab(&["load", "--to", &member.address().to_string(), "--seconds", "0.3", "--class", "place-order"]);
    let told: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    let count = |name: &str| told[name]["count"].as_u64().expect("a count");
    assert_eq!(count("us"), told["served"].as_u64().expect("a count"));
    assert!(count("us_corrected") >= count("us"), "{told}");
}
