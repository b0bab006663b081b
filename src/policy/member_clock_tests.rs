//! Which answers determine the offset to the members' clock.

use super::*;

const HOUR: Time = 3_600_000_000;
/// The current time of this process.
const NOW: Time = 100 * HOUR;
/// Duration of a request.
const DURATION: Time = 20_000;

/// A primary whose clock is `off` us ahead answers at `now`, by the clock of this process.
fn primary(clock: &mut MemberClock, now: Time, off: i64) -> Option<Time> {
    clock.observe_position((now - DURATION / 2).saturating_add_signed(off), now - DURATION, now, true)
}

#[test]
fn where_the_clocks_agree_positions_are_taken_unchanged_for_good() {
    let mut clock = MemberClock::default();
    for n in 0..3 {
        assert_eq!(primary(&mut clock, NOW + n, 0), Some(NOW + n - DURATION / 2));
    }
    // Later answers that say otherwise are rejected, and positions in the future are dropped.
    for n in 0..9 {
        assert_eq!(primary(&mut clock, NOW + n, HOUR as i64), None);
    }
    assert_eq!(clock.offset(), 0);
}

#[test]
fn three_consecutive_answers_fix_an_offset_in_either_direction() {
    for off in [HOUR as i64, -(HOUR as i64), 7_000_000, -7_000_000] {
        let mut clock = MemberClock::default();
        assert_eq!(primary(&mut clock, NOW, off), None, "one answer is not enough");
        assert_eq!(primary(&mut clock, NOW + 500, off), None, "nor are two");
        let local = primary(&mut clock, NOW + HOUR / 60, off).expect("three answers are");
        assert!(local.abs_diff(NOW + HOUR / 60) <= DURATION, "{off}: {local}");
        assert_eq!(clock.to_local(clock.to_member(NOW)), NOW);
        // The offset applies to replicas, too: one that is 5 s behind is exactly that far behind.
        let behind = clock.observe_position(clock.to_member(NOW - 5_000_000), NOW, NOW, false);
        assert_eq!(behind, Some(NOW - 5_000_000));
    }
}

#[test]
fn alternating_and_impossible_answers_fix_no_offset() {
    let mut clock = MemberClock::default();
    for n in 0..10 {
        primary(&mut clock, NOW + n, HOUR as i64);
        primary(&mut clock, NOW + n, 0);
    }
    assert_eq!(clock.offset(), 0);
    let mut clock = MemberClock::default();
    for n in 0..10 {
        assert_eq!(clock.observe_position(Time::MAX, NOW, NOW + n, true), None);
        // Random offsets do not agree with each other.
        primary(&mut clock, NOW + n, (n as i64 + 2) * 5_000_000);
    }
    assert_eq!(clock.offset(), 0);
}

#[test]
fn an_answer_that_was_read_late_does_not_change_the_offset() {
    let mut clock = MemberClock::default();
    for n in 0..5 {
        let (sent, received) = (NOW + n, NOW + n + 30_000_000);
        assert_eq!(clock.observe_position(sent + 1_000, sent, received, true), Some(sent + 1_000));
    }
    assert_eq!(clock.offset(), 0);
}
