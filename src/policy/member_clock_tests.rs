//! What is believed of the members' clock.

use super::*;

const HOUR: Time = 3_600_000_000;
/// This process's clock.
const NOW: Time = 100 * HOUR;
/// A request takes so long.
const TOOK: Time = 20_000;

/// A primary answers at `now` by this process's clock, and its own is `off` us ahead of that.
fn primary(clock: &mut MemberClock, now: Time, off: i64) -> Option<Time> {
    clock.observe_position((now - TOOK / 2).saturating_add_signed(off), now - TOOK, now, true)
}

#[test]
fn where_the_clocks_agree_positions_are_taken_as_they_are_for_good() {
    let mut clock = MemberClock::default();
    for n in 0..3 {
        assert_eq!(primary(&mut clock, NOW + n, 0), Some(NOW + n - TOOK / 2));
    }
    // Whoever tells otherwise after that is not believed, and what lies ahead is dropped.
    for n in 0..9 {
        assert_eq!(primary(&mut clock, NOW + n, HOUR as i64), None);
    }
    assert_eq!(clock.offset(), 0);
}

#[test]
fn three_answers_in_a_row_settle_an_offset_either_way() {
    for off in [HOUR as i64, -(HOUR as i64), 7_000_000, -7_000_000] {
        let mut clock = MemberClock::default();
        assert_eq!(primary(&mut clock, NOW, off), None, "one proves nothing");
        assert_eq!(primary(&mut clock, NOW + 500, off), None, "nor do two");
        let local = primary(&mut clock, NOW + HOUR / 60, off).expect("three do");
        assert!(local.abs_diff(NOW + HOUR / 60) <= TOOK, "{off}: {local}");
        assert_eq!(clock.to_local(clock.to_member(NOW)), NOW);
        // Replicas are read by it, too: one that is 5 s behind is no more than that.
        let behind = clock.observe_position(clock.to_member(NOW - 5_000_000), NOW, NOW, false);
        assert_eq!(behind, Some(NOW - 5_000_000));
    }
}

#[test]
fn a_spoilt_answer_between_sound_ones_and_a_boast_settle_nothing() {
    let mut clock = MemberClock::default();
    for n in 0..10 {
        primary(&mut clock, NOW + n, HOUR as i64);
        primary(&mut clock, NOW + n, 0);
    }
    assert_eq!(clock.offset(), 0);
    let mut clock = MemberClock::default();
    for n in 0..10 {
        assert_eq!(clock.observe_position(Time::MAX, NOW, NOW + n, true), None);
        // Noise does not agree with itself.
        primary(&mut clock, NOW + n, (n as i64 + 2) * 5_000_000);
    }
    assert_eq!(clock.offset(), 0);
}

#[test]
fn an_answer_that_the_process_was_too_busy_to_read_is_no_sign_of_a_clock_that_is_off() {
    let mut clock = MemberClock::default();
    for n in 0..5 {
        let (sent, heard) = (NOW + n, NOW + n + 30_000_000);
        assert_eq!(clock.observe_position(sent + 1_000, sent, heard, true), Some(sent + 1_000));
    }
    assert_eq!(clock.offset(), 0);
}
