//! Tests of how long input may have waited before it was read.

use super::*;

const MS: Duration = Duration::from_millis(1);

/// A thread that resumed at `start` from a wait that began long before.
fn resumed(start: Instant) -> PollTimes {
    PollTimes::new(start).parked(start).unparked(start)
}

fn since(times: PollTimes, start: Instant) -> Duration {
    times.input_since - start
}

#[test]
fn input_read_after_long_work_may_have_waited_since_the_thread_resumed() {
    let start = Instant::now();
    // In the same stretch of work, however often the clock is read meanwhile.
    assert_eq!(since(resumed(start), start), Duration::ZERO);
    // The driver reports it only when the thread comes to wait.
    let times = resumed(start).parked(start + 300 * MS).unparked(start + 301 * MS);
    assert_eq!(since(times, start), Duration::ZERO);
    // It has been reported by then, so that later input has not waited.
    let later = times.parked(start + 302 * MS).unparked(start + 303 * MS);
    assert_eq!(since(later, start), 303 * MS);
}

#[test]
fn input_read_after_a_wait_has_not_waited_if_the_work_before_was_short() {
    let start = Instant::now();
    let times = resumed(start).parked(start + 9 * MS).unparked(start + 50 * MS);
    assert_eq!(since(times, start), 50 * MS);
}

#[test]
fn input_that_the_thread_had_to_wait_for_has_not_waited() {
    let start = Instant::now();
    let times = resumed(start).parked(start + 300 * MS);
    assert_eq!(since(times.unparked(start + 301 * MS), start), Duration::ZERO);
    assert_eq!(since(times.unparked(start + 302 * MS), start), 302 * MS);
}

#[test]
fn while_polls_are_tracked_input_has_waited_since_the_last_but_one_run_at_most() {
    let start = Instant::now();
    let times = resumed(start).polled(start + 20 * MS).polled(start + 50 * MS);
    assert_eq!(since(times, start), 20 * MS);
    assert_eq!(since(times.polled(start + 90 * MS), start), 50 * MS);
    // The last run shows only that the driver was polled after the one before.
    let waited = times.parked(start + 100 * MS).unparked(start + 101 * MS);
    assert_eq!(since(waited, start), 20 * MS);
}

#[tokio::test]
async fn polls_are_tracked_while_there_is_work_and_not_on_an_idle_thread() {
    let tracker = tokio::spawn(track_polls());
    thread_unparked();
    let resumed_at = POLL_TIMES.get().expect("set").input_since;
    let is_tracked = || POLL_TIMES.get().is_some_and(|times| times.input_since > resumed_at);
    while !is_tracked() {
        assert!(
            resumed_at.elapsed() < Duration::from_secs(20),
            "input counts as waiting for as long as the thread works"
        );
        std::thread::sleep(MS);
        check();
        tokio::task::yield_now().await;
    }
    // Nothing is read or written any more.
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
    assert!(!POLL_TIMES.get().expect("set").tracking);
    tracker.abort();
}
