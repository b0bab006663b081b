//! Tests of the delays before calls to discovery, in virtual time.

use super::*;

const MS: Time = 1_000;

/// Simulates proxies that request the list at these times and then start a watch. Discovery takes `each` for a call and
/// serves calls in order. `assumed` is the number of proxies that each of them assumes. Returns when the last proxy has
/// its list, and the longest time for which a proxy heard nothing.
fn simulate(assumed: u32, arrivals: &[Time], each: Time, spread: bool) -> (Time, Time) {
    let mut schedules: Vec<CallSchedule> =
        (0..arrivals.len()).map(|n| CallSchedule::new(n as u64 * 77 + 5)).collect();
    let mut calls: Vec<(Time, usize, bool)> =
        arrivals.iter().enumerate().map(|(n, at)| (*at, n, true)).collect();
    let (mut free_at, mut last_list, mut longest_silence) = (0, 0, 0);
    let mut heard = vec![0; arrivals.len()];
    while let Some(next) = (0..calls.len()).min_by_key(|n| calls[*n]) {
        let (at, n, full_list) = calls.remove(next);
        free_at = free_at.max(at) + each;
        if full_list {
            (last_list, heard[n]) = (last_list.max(free_at), free_at);
            let pause = schedules[n].delay_after_list(assumed, free_at - at);
            calls.push((free_at + if spread { pause } else { 0 }, n, false));
        } else {
            longest_silence = longest_silence.max(free_at - heard[n]);
        }
    }
    (last_list, longest_silence)
}

#[test]
fn watches_do_not_delay_the_lists_of_other_proxies() {
    // 48 proxies call within 1.8 s, as the policy spreads them; discovery needs 2.4 s for one call of each.
    let arrivals: Vec<Time> = (0..48).map(|n| (hash_fraction(9, n, 1) * 1_800_000.0) as Time).collect();
    let (together, _) = simulate(48, &arrivals, 50 * MS, false);
    let (spread, silence) = simulate(48, &arrivals, 50 * MS, true);
    assert!(together > 3_500 * MS, "{together}");
    assert!(spread <= 2_650 * MS, "{spread}");
    assert!(silence < 6_000 * MS, "each proxy learns in time what has changed since: {silence}");
}

#[test]
fn a_wrong_number_of_proxies_still_informs_each_in_time() {
    let arrivals: Vec<Time> = (0..48).map(|n| (hash_fraction(9, n, 1) * 1_800_000.0) as Time).collect();
    for assumed in [12, 192] {
        let (last, silence) = simulate(assumed, &arrivals, 50 * MS, true);
        assert!(last <= 3_700 * MS, "assumed {assumed}: {last}");
        assert!(silence < 6_000 * MS, "assumed {assumed}: {silence}");
    }
}

#[test]
fn a_fast_discovery_is_watched_almost_at_once() {
    // Discovery keeps a watch open if the next call arrives within 200 ms.
    for seed in 0..100 {
        assert!(CallSchedule::new(seed).delay_after_list(100, MS) < 150 * MS);
        assert_eq!(
            CallSchedule::new(seed).delay_after_list(1, 5_000 * MS),
            0,
            "a single proxy has no others to wait for"
        );
    }
}

/// After a failed, refused or timed-out call the proxy counts as informed of a change this long after discovery had it.
const INFORMED_AFTER: Time = 6_000 * MS;
// The other limit, 2 s after the end of a watch's wait, never ends later.
const _: () = assert!(WATCH_WAIT + 2_000 * MS <= INFORMED_AFTER);
/// This long after that moment no new request may be sent to a draining member; 50 ms of tolerance are not counted here.
const GRACE: Time = 500 * MS;

#[test]
fn the_retry_of_a_silent_call_is_answered_before_the_proxy_counts_as_informed() {
    for call in [ListCall::FullList, ListCall::Confirm, ListCall::Watch, ListCall::Renewal] {
        // The call gets no answer from its start on, and its retry has to wait in the queue.
        assert!(
            Delivery::Queried.timeout(call) + QUEUE_WAIT_MAX + 300 * MS < INFORMED_AFTER,
            "{call:?}: there is no time for an answer"
        );
    }
    let failed = |failure| Delivery::Queried.after_failure(failure);
    assert_eq!(failed(FailedCall::Silent), FailedCallAction::RetryNow);
    assert_eq!(failed(FailedCall::Refused), FailedCallAction::ReportFailure);
}

#[test]
fn an_answer_that_broke_off_is_asked_for_again_at_once() {
    for delivery in [Delivery::Queried, Delivery::Pushed { drain_grace: GRACE }] {
        assert_eq!(delivery.after_failure(FailedCall::BrokenOff), FailedCallAction::RetryNow);
    }
}

#[test]
fn no_call_times_out_in_the_queue_or_at_the_end_of_its_wait() {
    let timeout = |call| Delivery::Queried.timeout(call);
    assert!(timeout(ListCall::FullList) > QUEUE_WAIT_MAX);
    // A call that confirms the list is answered at once, without the wait of a watch.
    assert_eq!(timeout(ListCall::Confirm), timeout(ListCall::FullList));
    assert_eq!(Delivery::Queried.wait(ListCall::Confirm), 0);
    assert!(timeout(ListCall::Watch) > QUEUE_WAIT_MAX + WATCH_WAIT);
    assert!(timeout(ListCall::Renewal) > WATCH_WAIT + 500 * MS);
}

#[test]
fn a_change_right_after_a_full_list_arrives_before_the_proxy_counts_as_informed() {
    // The list arrived after the longest wait in the queue, and so may the answer of the watch that follows it.
    for seed in 0..100 {
        let pause = CallSchedule::new(seed).delay_after_list(300, QUEUE_WAIT_MAX);
        assert!(pause + QUEUE_WAIT_MAX < INFORMED_AFTER + GRACE - 300 * MS, "{pause}");
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
    // Each move draws a new delay.
    let mut one = CallSchedule::new(3);
    assert_ne!(one.delay_after_move(100, 0), one.delay_after_move(100, 0));
    assert_eq!(one.delay_after_move(2, 0), 0);
}

#[test]
fn with_pushed_lists_silence_is_noticed_and_the_retry_answered_within_the_grace() {
    for drain_grace in [100, 250, 500, 1_000, 2_000, 10_000].map(|ms| ms * MS) {
        let pushed = Delivery::Pushed { drain_grace };
        for call in [ListCall::FullList, ListCall::Confirm, ListCall::Watch, ListCall::Renewal] {
            // The agent answers a call at once; a watch that was open when it became unresponsive is never answered.
            assert!(pushed.timeout(call) < drain_grace, "{drain_grace} {call:?}");
            assert!(pushed.timeout(call) > pushed.wait(call));
        }
        // The wait is sent in whole ms.
        assert!(pushed.wait(ListCall::Renewal) >= MS);
    }
}

#[test]
fn with_pushed_lists_no_call_is_delayed_for_other_proxies() {
    let pushed = Delivery::Pushed { drain_grace: 500 * MS };
    assert_eq!(
        (pushed.after_failure(FailedCall::Silent), pushed.after_failure(FailedCall::Refused)),
        (FailedCallAction::RetryNow, FailedCallAction::RetryAfterPause)
    );
    for seed in 0..100 {
        let mut schedule = CallSchedule::new(seed);
        assert_eq!(schedule.delay_after_move(pushed.callers(350), 0), 0);
        assert_eq!(schedule.delay_after_list(pushed.callers(350), QUEUE_WAIT_MAX), 0);
    }
    assert_eq!(Delivery::Queried.callers(350), 350);
}

#[test]
fn repeated_moves_do_not_postpone_the_call_further() {
    for seed in 0..50 {
        let mut schedule = CallSchedule::new(seed);
        for waited in (0..4_000).step_by(50).map(|ms| ms * MS) {
            let pause = schedule.delay_after_move(300, waited);
            assert!(waited.min(2_000 * MS) + pause <= 2_000 * MS, "seed {seed}: {pause} after {waited}");
        }
    }
}
