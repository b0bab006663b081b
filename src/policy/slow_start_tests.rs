use super::*;

const SECOND: Time = 1_000_000;

fn bursts(gaps: impl Iterator<Item = Time>) -> Vec<f64> {
    let (mut rates, mut now) = (ArrivalRates::default(), 7 * SECOND);
    let arrival = |gap| {
        now += gap;
        rates.arrival(now, 2 * SECOND, (false, false)).burst
    };
    gaps.map(arrival).collect()
}

#[test]
fn requests_at_the_usual_rate_are_no_burst_and_a_higher_rate_is_one_by_its_factor() {
    let steady = bursts(std::iter::repeat_n(SECOND / 20, 600));
    assert!(steady.iter().all(|burst| *burst < 1.06), "{steady:?}");
    let burst = bursts(std::iter::repeat_n(SECOND / 20, 600).chain(std::iter::repeat_n(SECOND / 60, 240)));
    let last = burst.last().copied().expect("requests were recorded");
    assert!((1.8..3.0).contains(&last), "three times the usual rate for 4 s: {last}");
}

#[test]
fn a_single_request_after_a_long_pause_is_no_burst() {
    let after_pause = bursts((0..200).map(|n| if n == 199 { 30 * SECOND } else { SECOND / 20 }));
    assert_eq!(after_pause.last(), Some(&1.0));
}

#[test]
fn retries_of_primary_requests_are_counted_and_a_single_one_is_no_flood() {
    let mut rates = ArrivalRates::default();
    let mut tries = |at: Time, needs_primary, retry| {
        rates.arrival(at * SECOND / 10, SECOND, (needs_primary, retry)).tries_per_request
    };
    assert!((0..40).all(|at| tries(at, true, false) == 1.0));
    assert!(tries(40, true, true) < 1.1);
    for at in 40..80 {
        (0..3).for_each(|_| assert!(tries(at, true, true) >= 1.0));
        tries(at, true, false);
    }
    let flood = tries(80, true, false);
    assert!((3.0..4.0).contains(&flood), "three retries for each first try: {flood}");
    assert_eq!(tries(80, false, false), 1.0, "reads are not counted");
}
