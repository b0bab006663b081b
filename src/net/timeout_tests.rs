//! Consecutive waits on one timer, in virtual time.

use super::*;
use std::future::pending;
use std::pin::pin;
use std::time::Duration;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn each_wait_ends_at_its_own_deadline_earlier_or_later_than_the_previous_one() {
    run(async {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let mut timer = ReusableTimer::until(start + ms(100));
        for end in [100, 150, 160, 1_000, 1_001] {
            assert!(timer.run_until(start + ms(end), pin!(pending::<()>())).await.is_none());
            let elapsed = start.elapsed();
            assert!(elapsed >= ms(end) && elapsed < ms(end + 2), "{elapsed:?} for {end}");
        }
        // A timer that is registered for a late deadline and then used for an earlier one.
        let mut timer = ReusableTimer::until(start + ms(60_000));
        assert!(timer.run_until(start + ms(1_100), pin!(pending::<()>())).await.is_none());
        assert!(start.elapsed() < ms(1_110));
    });
}

#[test]
fn output_in_time_is_returned_and_does_not_move_the_timer() {
    run(async {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let mut timer = ReusableTimer::until(start + ms(100));
        for n in 1..=50 {
            let sleep = tokio::time::sleep(ms(10));
            assert!(timer.run_until(start + ms(10 * n + 200), pin!(sleep)).await.is_some());
        }
        // A wait whose deadline has passed still returns the output of a future that is ready.
        assert_eq!(timer.run_until(start, pin!(async { 7 })).await, Some(7));
        assert_eq!(timer.run_until(start, pin!(pending::<()>())).await, None);
    });
}
