//! Waits that share a timer, in virtual time.

use super::*;
use std::future::pending;
use std::pin::pin;
use std::time::Duration;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn each_wait_ends_at_its_own_moment_earlier_or_later_than_the_one_before() {
    run(async {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let mut timeout = Timeout::until(start + ms(100));
        for end in [100, 150, 160, 1_000, 1_001] {
            assert!(timeout.within(start + ms(end), pin!(pending::<()>())).await.is_none());
            let passed = start.elapsed();
            assert!(passed >= ms(end) && passed < ms(end + 2), "{passed:?} for {end}");
        }
        // Set for late, then needed early.
        let mut timeout = Timeout::until(start + ms(60_000));
        assert!(timeout.within(start + ms(1_100), pin!(pending::<()>())).await.is_none());
        assert!(start.elapsed() < ms(1_110));
    });
}

#[test]
fn what_comes_in_time_is_passed_on_and_does_not_move_the_timer() {
    run(async {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let mut timeout = Timeout::until(start + ms(100));
        for n in 1..=50 {
            let done = tokio::time::sleep(ms(10));
            assert!(timeout.within(start + ms(10 * n + 200), pin!(done)).await.is_some());
        }
        // A wait whose moment has passed still takes what is there already.
        assert_eq!(timeout.within(start, pin!(async { 7 })).await, Some(7));
        assert_eq!(timeout.within(start, pin!(pending::<()>())).await, None);
    });
}
