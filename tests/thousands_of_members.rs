//! Runs the program between thousands of members, with a small share of a processor, as on a machine that other
//! programs use, too. Judged by the platform's limits on time: what the program does must not grow so far with the
//! members that requests wait for it.
#![allow(missing_docs)]

use linentrail_standins::rig::events::{Event, EventKind, RequestEnd};
use linentrail_standins::rig::run::{run, Outcome};
use linentrail_standins::rig::script::Script;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};

/// Lets one scenario run at a time, because each needs the whole machine.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// Interval between two whole lists, in ms.
const WHOLE_LIST_INTERVAL_MS: usize = 400;

/// The share of the requests without trouble that has to be served, by the platform's limits on growth.
const MIN_SERVED_SHARE: f64 = 0.85;

/// Checks that enough of the requests whose clients stayed were served.
fn assert_serves(outcome: &Outcome) {
    let ends =
        |how: RequestEnd| move |e: &&Event| matches!(e.what, EventKind::Ended { how: h, .. } if h == how);
    let ended = outcome.events.iter().filter(|e| matches!(e.what, EventKind::Ended { .. })).count();
    let served = outcome.events.iter().filter(ends(RequestEnd::Served)).count();
    assert!(served as f64 >= ended as f64 * MIN_SERVED_SHARE, "{served} of {ended}: {:?}", outcome.counters);
}

/// Runs a scenario to its end; it has to keep all rules.
fn play_scenario(text: &str) -> Outcome {
    let _lock = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::read(text).expect("a valid scenario");
    let program = Path::new(env!("CARGO_BIN_EXE_linentrail"));
    let outcome =
        run(&script, program, |_, _, _| {}, |_| {}, &AtomicBool::new(false)).expect("the run completes");
    assert!(outcome.verdict.passed(), "{:#?} {:?}", outcome.verdict.breaches, outcome.counters);
    outcome
}

/// Runs one proxy between 3,200 members in this many groups, with 3% of a processor.
fn play(groups: u32, steps: &str) -> Outcome {
    let world = "seed 3
        proxies 1
        load 25 clients 10
        clients leave 20
        share 0.03
        end 10000";
    let members = format!("members 3200 spare 1100 groups {groups} slots 16 work 4 12 lag 5");
    let outcome = play_scenario(&format!("{world}\n{members}\n{steps}"));
    assert!(outcome.verdict.asked > 100, "{} requests", outcome.verdict.asked);
    outcome
}

#[test]
fn requests_are_lost_while_whole_lists_of_3200_members_come() {
    let steps: Vec<String> =
        (1_200..9_000).step_by(WHOLE_LIST_INTERVAL_MS).map(|at| format!("at {at} list does whole")).collect();
    assert_serves(&play(800, &steps.join("\n")));
}

#[test]
fn requests_are_lost_while_a_third_of_3200_members_is_replaced_in_one_list() {
    play(800, "at 3000 list does replace 33%");
}

#[test]
fn requests_are_lost_where_a_group_has_800_members() {
    assert_serves(&play(4, ""));
}

#[test]
fn requests_are_lost_while_a_third_of_a_group_of_800_members_is_replaced() {
    play(4, "at 3000 list does replace 33%");
}

#[test]
fn requests_are_lost_while_a_third_of_a_group_of_800_members_is_down() {
    play(4, "at 3000 33% does down");
}

/// Runs a scenario of four proxies, each with 3% of a processor.
fn play_four(scenario: &str) {
    play_scenario(&format!("proxies 4\nload 32 clients 16\nshare 0.03\nend 8000\n{scenario}"));
}

#[test]
fn members_are_told_too_much_time_for_requests_that_waited_in_the_backlog_of_a_crowd() {
    play_four(
        "seed 5
        members 12 groups 3 slots 16 work 4 12 handshake 9 lag 13
        sockets 128
        clients surge 200",
    );
}

#[test]
fn members_are_told_too_much_time_for_requests_that_waited_while_a_first_list_was_read() {
    play_four(
        "seed 7023
        members 3200 spare 897 groups 800 slots 16 work 4 12 handshake 7 lag 9
        store every 359
        list rate 60 queue 200
        at 3000 list does replace 28%",
    );
}
