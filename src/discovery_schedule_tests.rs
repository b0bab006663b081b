//! When discovery is called, in virtual time.

use super::*;

const MS: Time = 1_000;

/// Proxies that all call at these moments for the list and then watch, at a discovery that takes `each` a call and goes
/// by their order: when the last has its list, and the longest time in which a proxy heard nothing.
fn play(told: u32, arrivals: &[Time], each: Time, spread: bool) -> (Time, Time) {
    let mut listings: Vec<CallSchedule> =
        (0..arrivals.len()).map(|n| CallSchedule::new(n as u64 * 77 + 5)).collect();
    let mut calls: Vec<(Time, usize, bool)> =
        arrivals.iter().enumerate().map(|(n, at)| (*at, n, true)).collect();
    let (mut free, mut last, mut deaf) = (0, 0, 0);
    let mut heard = vec![0; arrivals.len()];
    while let Some(next) = (0..calls.len()).min_by_key(|n| calls[*n]) {
        let (at, n, whole) = calls.remove(next);
        free = free.max(at) + each;
        if whole {
            (last, heard[n]) = (last.max(free), free);
            let pause = listings[n].delay_after_list(told, free - at);
            calls.push((free + if spread { pause } else { 0 }, n, false));
        } else {
            deaf = deaf.max(free - heard[n]);
        }
    }
    (last, deaf)
}

#[test]
fn watches_do_not_hold_up_the_lists_of_others() {
    // 48 call within 1.8 s, as the module spreads them; discovery needs 2.4 s for one call of each.
    let arrivals: Vec<Time> = (0..48).map(|n| (hash_fraction(9, n, 1) * 1_800_000.0) as Time).collect();
    let (together, _) = play(48, &arrivals, 50 * MS, false);
    let (spread, deaf) = play(48, &arrivals, 50 * MS, true);
    assert!(together > 3_500 * MS, "{together}");
    assert!(spread <= 2_650 * MS, "{spread}");
    assert!(deaf < 6_000 * MS, "each knows in time what has changed since: {deaf}");
}

#[test]
fn a_wrong_guess_of_how_many_there_are_keeps_each_in_time() {
    let arrivals: Vec<Time> = (0..48).map(|n| (hash_fraction(9, n, 1) * 1_800_000.0) as Time).collect();
    for told in [12, 192] {
        let (last, deaf) = play(told, &arrivals, 50 * MS, true);
        assert!(last <= 3_700 * MS, "told {told}: {last}");
        assert!(deaf < 6_000 * MS, "told {told}: {deaf}");
    }
}

#[test]
fn a_discovery_that_answers_at_once_is_watched_at_once() {
    // A watch goes on as long as the next call comes within 200 ms.
    for seed in 0..100 {
        assert!(CallSchedule::new(seed).delay_after_list(100, MS) < 150 * MS);
        assert_eq!(
            CallSchedule::new(seed).delay_after_list(1, 5_000 * MS),
            0,
            "one alone has nobody to wait for"
        );
    }
}

/// After a failed, refused or given-up call a change counts as told so long after discovery had it.
const TOLD: Time = 6_000 * MS;
// The other clock, 2 s after the wait of a call that may wait is over, is never the later one.
const _: () = assert!(WATCH_WAIT + 2_000 * MS <= TOLD);
/// Beyond that nothing new may go to a member that drains, 50 ms of slack left aside.
const GRACE: Time = 500 * MS;

#[test]
fn whatever_call_falls_silent_its_next_one_is_answered_before_what_it_missed_counts_as_told() {
    for call in [ListCall::FullList, ListCall::Confirm, ListCall::Watch, ListCall::Renewal] {
        // Silent from its first moment on, and the next has to wait for its turn.
        assert!(
            Delivery::Queried.timeout(call) + QUEUE_WAIT_MAX + 300 * MS < TOLD,
            "{call:?}: there is no time for an answer"
        );
    }
    let failed = |silent| Delivery::Queried.after_failure(silent);
    assert_eq!((failed(true), failed(false)), (FailedCallAction::RetryNow, FailedCallAction::ReportFailure));
}

#[test]
fn no_call_is_given_up_that_waits_for_its_turn_or_comes_at_the_end_of_its_wait() {
    let timeout = |call| Delivery::Queried.timeout(call);
    assert!(timeout(ListCall::FullList) > QUEUE_WAIT_MAX);
    // One that confirms the list is answered at once, and not after the wait of a watch.
    assert_eq!(timeout(ListCall::Confirm), timeout(ListCall::FullList));
    assert_eq!(Delivery::Queried.wait(ListCall::Confirm), 0);
    assert!(timeout(ListCall::Watch) > QUEUE_WAIT_MAX + WATCH_WAIT);
    assert!(timeout(ListCall::Renewal) > WATCH_WAIT + 500 * MS);
}

#[test]
fn a_change_right_behind_a_whole_list_is_heard_of_before_it_counts_as_told() {
    // The list came after the longest wait for a turn, and so may the answer of the watch behind it.
    for seed in 0..100 {
        let pause = CallSchedule::new(seed).delay_after_list(300, QUEUE_WAIT_MAX);
        assert!(pause + QUEUE_WAIT_MAX < TOLD + GRACE - 300 * MS, "{pause}");
    }
}

#[test]
fn calls_after_a_move_are_spread_in_a_large_fleet_only() {
    let pauses: Vec<Time> = (0..100).map(|seed| CallSchedule::new(seed).delay_after_move(100, 0)).collect();
    assert!(pauses.iter().all(|p| *p < 2_000 * MS));
    for from in [0, 500, 1_000, 1_500] {
        let within = pauses.iter().filter(|p| (from * MS..(from + 500) * MS).contains(*p)).count();
        assert!((12..=40).contains(&within), "{within} from {from} ms");
    }
    assert_eq!(CallSchedule::new(3).delay_after_move(18, 0), 0);
    // Two moves are two lots.
    let mut one = CallSchedule::new(3);
    assert_ne!(one.delay_after_move(100, 0), one.delay_after_move(100, 0));
    assert_eq!(one.delay_after_move(2, 0), 0);
}

#[test]
fn where_lists_are_pushed_silence_is_noticed_and_the_next_call_answered_within_the_grace() {
    for drain_grace in [100, 250, 500, 1_000, 2_000, 10_000].map(|ms| ms * MS) {
        let pushed = Delivery::Pushed { drain_grace };
        for call in [ListCall::FullList, ListCall::Confirm, ListCall::Watch, ListCall::Renewal] {
            // The agent answers a call at once; a watch that was open when it fell silent is never answered.
            assert!(pushed.timeout(call) < drain_grace, "{drain_grace} {call:?}");
            assert!(pushed.timeout(call) > pushed.wait(call));
        }
        // The wait is told in whole ms.
        assert!(pushed.wait(ListCall::Renewal) >= MS);
    }
}

#[test]
fn where_lists_are_pushed_no_call_is_put_off_for_the_sake_of_other_proxies() {
    let pushed = Delivery::Pushed { drain_grace: 500 * MS };
    assert_eq!(
        (pushed.after_failure(true), pushed.after_failure(false)),
        (FailedCallAction::RetryNow, FailedCallAction::RetryAfterPause)
    );
    for seed in 0..100 {
        let mut listing = CallSchedule::new(seed);
        assert_eq!(listing.delay_after_move(pushed.callers(350), 0), 0);
        assert_eq!(listing.delay_after_list(pushed.callers(350), QUEUE_WAIT_MAX), 0);
    }
    assert_eq!(Delivery::Queried.callers(350), 350);
}

#[test]
fn one_move_after_another_puts_the_call_off_no_further() {
    for seed in 0..50 {
        let mut listing = CallSchedule::new(seed);
        for waited in (0..4_000).step_by(50).map(|ms| ms * MS) {
            let pause = listing.delay_after_move(300, waited);
            assert!(waited.min(2_000 * MS) + pause <= 2_000 * MS, "seed {seed}: {pause} after {waited}");
        }
    }
}
