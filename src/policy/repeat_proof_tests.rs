//! Tests of what proves that a booking with an unknown repeat id has not run.

use super::*;

const FIRST_SENT: Time = 1_000_000_000;
const WINDOW: Time = 5_000_000;
const LATEST_FIRST_TRY: Time = FIRST_SENT_UNIT + FIRST_TRY_TOLERANCE;
const MARKED: RetryHabits = RetryHabits { marked: true, other_proxies: true };
const UNMARKED: RetryHabits = RetryHabits { marked: false, other_proxies: true };
const ALONE: RetryHabits = RetryHabits { marked: false, other_proxies: false };

fn permission(effect: Effect, mark: RetryMark, age: Time, habits: RetryHabits) -> RunPermission {
    UnknownBooking { effect, mark, first_sent: FIRST_SENT, arrived: FIRST_SENT + age }.permission(habits)
}

fn keyed(group: DedupScope) -> Effect {
    Effect::Keyed { group, window: WINDOW }
}

#[test]
fn a_first_try_is_denied() {
    for effect in [Effect::Safe, Effect::Unsafe, keyed(DedupScope::Zone)] {
        for age in [0, 1_000_000, 3_600_000_000] {
            for habits in [MARKED, UNMARKED, ALONE] {
                let told = permission(effect, RetryMark::FirstTry, age, habits);
                assert_eq!(told, RunPermission::Unlimited, "{effect:?} {age} {habits:?}");
            }
            for habits in [MARKED, ALONE] {
                let unmarked = permission(effect, RetryMark::Unmarked, age, habits);
                assert_eq!(unmarked, RunPermission::Unlimited, "{effect:?} {age} {habits:?}");
            }
        }
        // Told in whole seconds, a first send is up to a second old when it arrives.
        for age in [0, 999_999, LATEST_FIRST_TRY] {
            let unmarked = permission(effect, RetryMark::Unmarked, age, UNMARKED);
            assert_eq!(unmarked, RunPermission::Unlimited, "{effect:?} {age}");
        }
        let arrived = FIRST_SENT - FIRST_TRY_TOLERANCE;
        let ahead = UnknownBooking { effect, mark: RetryMark::Unmarked, first_sent: FIRST_SENT, arrived };
        assert_eq!(ahead.permission(UNMARKED), RunPermission::Unlimited);
    }
}

#[test]
fn a_retry_that_may_have_run_elsewhere_runs() {
    let retries = [
        (RetryMark::Retry, 0, MARKED),
        (RetryMark::Retry, 0, ALONE),
        (RetryMark::Retry, 60_000_000, UNMARKED),
        (RetryMark::Unmarked, LATEST_FIRST_TRY + 1, UNMARKED),
    ];
    for (mark, age, habits) in retries {
        assert_eq!(permission(Effect::Unsafe, mark, age, habits), RunPermission::Denied, "{mark:?} {age}");
        assert_eq!(permission(keyed(DedupScope::Zone), mark, age, habits), RunPermission::Denied);
        assert_eq!(permission(Effect::Safe, mark, age, habits), RunPermission::Unlimited);
    }
}

#[test]
fn a_first_send_of_a_clock_that_is_ahead_proves_that_nothing_has_run() {
    let (mark, arrived) = (RetryMark::Unmarked, FIRST_SENT - FIRST_TRY_TOLERANCE - 1);
    let booking = UnknownBooking { effect: Effect::Unsafe, mark, first_sent: FIRST_SENT, arrived };
    assert_eq!(booking.permission(UNMARKED), RunPermission::Denied);
}

#[test]
fn a_keyed_retry_runs_where_members_have_forgotten_its_key() {
    let end = FIRST_SENT + WINDOW - DEDUP_MARGIN;
    for group in [DedupScope::All, DedupScope::Group] {
        for (age, expected) in [
            (0, RunPermission::Until(end)),
            (WINDOW - DEDUP_MARGIN - 1, RunPermission::Until(end)),
            (WINDOW - DEDUP_MARGIN, RunPermission::Denied),
            (WINDOW + 1, RunPermission::Denied),
        ] {
            assert_eq!(permission(keyed(group), RetryMark::Retry, age, MARKED), expected, "{age}");
            // What nothing calls a first try is treated as a retry as long as that costs nothing.
            assert_eq!(permission(keyed(group), RetryMark::Unmarked, age, UNMARKED), expected, "{age}");
        }
    }
}
