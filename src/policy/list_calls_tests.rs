//! Calls for the member list and what may be sent before one is answered, in virtual time.

use super::*;
use crate::interface::Rules;

const MS: Time = 1_000;
/// Tolerance added to each limit.
const TOLERANCE: Time = 50 * MS;

/// How long a start is observed: if there are more routers than discovery can serve, calls keep failing.
const OBSERVED_TIME: Time = 30_000 * MS;

fn settings(instances: u32, seed: u64) -> Settings {
    let rules = Rules { drain_grace: 500 * MS, ..Rules::default() };
    Settings { instances, seed, rules, ..Settings::default() }
}

/// One router of a fleet that started at once.
struct Caller {
    set: Settings,
    calls: ListCalls,
    /// When discovery confirmed its list.
    confirmed: Option<Time>,
}

/// The result of a start of all routers at once.
struct Start {
    /// When each router had its list.
    confirmed: Vec<Time>,
    /// Number of calls that waited too long.
    failed: usize,
    /// The longest time after the start at which a router still sent on an unconfirmed list.
    unconfirmed: Time,
}

/// Starts all `routers` at time 0. Discovery processes their calls one after another, `each` per call, and
/// fails those that wait longer than it allows; these cost their time all the same.
fn start(routers: u32, each: Time) -> Start {
    let mut callers: Vec<Caller> = (0..routers)
        .map(|n| {
            let set = settings(routers, u64::from(n) * 7_919 + 5);
            let mut calls = ListCalls::default();
            calls.started(0, &set);
            Caller { set, calls, confirmed: None }
        })
        .collect();
    let (mut busy_until, mut failed, mut unconfirmed) = (0, 0, 0);
    let due = |caller: &Caller| caller.calls.due().expect("a call is due until one is answered");
    while let Some(next) =
        (0..callers.len()).filter(|n| callers[*n].confirmed.is_none()).min_by_key(|n| due(&callers[*n]))
    {
        let now = due(&callers[next]);
        if now > OBSERVED_TIME {
            break;
        }
        let Caller { set, calls, confirmed } = &mut callers[next];
        assert!(calls.take_due(now));
        busy_until = busy_until.max(now) + each;
        let (answered, until) = (busy_until <= now + QUEUE_WAIT_MAX, busy_until.min(now + QUEUE_WAIT_MAX));
        let last_send = (0..=until).step_by(10 * MS as usize).filter(|at| !calls.blocks_sending(*at)).last();
        unconfirmed = unconfirmed.max(last_send.unwrap_or(0));
        if answered {
            calls.answered();
            *confirmed = Some(until);
        } else {
            failed += 1;
            calls.failed(until, set);
        }
    }
    let confirmed = callers.iter().filter_map(|caller| caller.confirmed).collect();
    Start { confirmed, failed, unconfirmed }
}

#[test]
fn nothing_is_sent_on_an_unconfirmed_list_once_a_change_from_before_the_start_counts_as_known() {
    for routers in [1, 24, 192, 300, 350, 1_024] {
        for each in [1, 2, 3, 5, 12, 20, 60].map(|ms| ms * MS) {
            let Start { unconfirmed, failed, .. } = start(routers, each);
            let work = Time::from(routers) * each;
            // Calls that take longer than this in total cannot all succeed, and routers do not wait for
            // failed ones.
            assert!(
                work > FIRST_WINDOW_MAX + QUEUE_WAIT_MAX - 100 * MS || failed == 0,
                "{routers} {each}: {failed}"
            );
            if failed > 0 {
                continue;
            }
            // A change made when the list was last stored counts as known this long after the start.
            let known = KNOWN_AFTER - RESTART_LIST_AGE_MAX;
            let allowed = known + 500 * MS + TOLERANCE;
            assert!(unconfirmed <= allowed, "{routers} routers, {each} us a call: {unconfirmed}");
        }
    }
}

#[test]
fn first_calls_that_take_four_seconds_in_all_are_answered_without_a_failure() {
    // A call costs discovery 12 ms if it returns 70 members; 350 such calls take 4.2 s, and one in eight
    // waits too long.
    for (routers, each, failures) in
        [(24, 12, 0), (192, 12, 0), (192, 20, 0), (300, 12, 0), (350, 12, 350 / 7)]
    {
        let Start { confirmed, failed, .. } = start(routers, each * MS);
        let work = Time::from(routers) * each * MS;
        let last = confirmed.iter().copied().max().unwrap_or(0);
        assert!(failed <= failures, "{routers} routers, {each} ms: {failed} failed");
        if failed == 0 {
            // No router waits longer than the window, or than the calls of all routers take.
            assert!(last <= work.max(FIRST_WINDOW_MAX) + 500 * MS, "{routers} routers, {each} ms: {last}");
        }
        assert!(last <= 10_000 * MS, "{routers} routers, {each} ms: {last}");
    }
}

#[test]
fn few_routers_call_at_once_and_block_nothing() {
    for routers in [1, 4, UNSPREAD_CALLERS] {
        let Start { confirmed, unconfirmed, failed } = start(routers, 5 * MS);
        assert!(confirmed.iter().all(|at| *at < 100 * MS), "{confirmed:?}");
        assert!(unconfirmed < 100 * MS);
        assert_eq!(failed, 0);
    }
}

#[test]
fn a_discovery_that_is_down_or_out_of_reach_keeps_no_router_from_serving() {
    let set = settings(300, 9);
    let mut calls = ListCalls::default();
    calls.started(0, &set);
    let made = calls.due().expect("the first call");
    assert!(!calls.blocks_sending(1_900 * MS) && calls.blocks_sending(2_000 * MS));
    assert!(calls.take_due(made));
    // After a failed call, at once or after a wait, nothing is blocked: whether discovery is down cannot be
    // told, and if it is, no router was told of a change.
    let mut failed = calls;
    failed.failed(made + QUEUE_WAIT_MAX, &set);
    assert!(!failed.blocks_sending(60_000 * MS));
    let again = failed.due().expect("the next call");
    assert!(again <= made + QUEUE_WAIT_MAX + FAILED_CALL_DELAY + FAILED_CALL_WINDOW_MAX, "{again}");
    let mut answered = calls;
    answered.answered();
    assert!(!answered.blocks_sending(60_000 * MS) && answered.due().is_none());
    // A call without any result: discovery is out of reach.
    assert!(calls.blocks_sending(made + CALL_TIMEOUT - MS));
    assert!(calls.take_due(made + CALL_TIMEOUT));
    assert!(!calls.blocks_sending(made + CALL_TIMEOUT));
}

#[test]
fn a_failed_call_is_repeated_before_a_change_that_it_missed_counts_as_known() {
    for routers in [1, 24, 300, 350, 1_024] {
        for seed in 0..200 {
            let set = settings(routers, seed);
            let mut calls = ListCalls::default();
            calls.failed(seed * 37 * MS, &set);
            let pause = calls.due().expect("the next call") - seed * 37 * MS;
            assert!(
                pause >= FAILED_CALL_DELAY && pause + QUEUE_WAIT_MAX <= KNOWN_AFTER,
                "{routers} {seed}: {pause}"
            );
        }
    }
}
