//! Merging gives the same result in any order and any number of times; files round-trip.

use super::*;
use proptest::prelude::*;

/// Few names and times, so that most generated values collide.
fn name() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![Just("a"), Just("b"), Just("c")].prop_map(Arc::from)
}

fn facts() -> impl Strategy<Value = MemberFacts> {
    (
        prop::option::of(0..3u64),
        0..4u64,
        0..4u64,
        prop::option::of(any::<bool>()),
        0..3u64,
        prop::option::of(0..3u64),
    )
        .prop_map(|(start, position, last_heard, primary, role_at, warm_up_start)| MemberFacts {
            start,
            position,
            last_heard,
            primary,
            role_at,
            warm_up_start,
        })
}

fn timestamped_text() -> impl Strategy<Value = Option<TimestampedText>> {
    prop::option::of((0..3u64, name()).prop_map(|(at, text)| TimestampedText { at, text }))
}

fn knowledge() -> impl Strategy<Value = Knowledge> {
    let suspension = (0..3u64, prop::option::of(0..3u64))
        .prop_map(|(suspended_at, restored_at)| Suspension { suspended_at, restored_at });
    (
        prop::collection::btree_map(name(), facts(), 0..3),
        prop::collection::btree_map(name(), 0..4u64, 0..3),
        0..4u64,
        prop::collection::btree_map(name(), suspension, 0..3),
        timestamped_text(),
        timestamped_text(),
    )
        .prop_map(|(members, sessions, floor, suspensions, settings, list)| Knowledge {
            learned: LearnedFacts { members, sessions, floor },
            suspensions,
            settings,
            list,
        })
}

fn merged(a: &Knowledge, b: &Knowledge) -> Knowledge {
    let mut all = a.clone();
    all.merge(b);
    all
}

proptest! {
    #[test]
    fn merging_is_associative_commutative_and_idempotent(
        a in knowledge(), b in knowledge(), c in knowledge(),
    ) {
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&a, &a), a.clone());
        prop_assert_eq!(merged(&merged(&a, &b), &b), merged(&a, &b));
    }

    #[test]
    fn merging_never_lowers_a_bound(a in knowledge(), b in knowledge()) {
        let all = merged(&a, &b);
        for (name, at) in a.learned.sessions.iter().chain(&b.learned.sessions) {
            prop_assert!(all.learned.sessions[name] >= *at);
        }
        prop_assert!(all.learned.floor >= a.learned.floor.max(b.learned.floor));
        for (name, suspension) in a.suspensions.iter().chain(&b.suspensions) {
            prop_assert!(all.suspensions[name].suspended_at >= suspension.suspended_at);
        }
        for (name, facts) in a.learned.members.iter().chain(&b.learned.members) {
            let known = &all.learned.members[name];
            prop_assert!(known.start >= facts.start);
            // No fact from before the latest start remains, and none from after it is lost.
            if known.start == facts.start {
                prop_assert!(known.position >= facts.position && known.warm_up_start >= facts.warm_up_start);
            }
        }
    }

    #[test]
    fn a_snapshot_round_trips(a in knowledge(), at in 0..9u64, start_number in 0..9u64) {
        let bytes = format::write_snapshot(&a, at, start_number);
        prop_assert_eq!(format::read_snapshot(&bytes), Ok((a, at, start_number)));
    }
}

#[test]
fn facts_from_before_a_members_latest_start_are_dropped() {
    let old = MemberFacts { start: Some(5), position: 90, last_heard: 91, ..MemberFacts::default() };
    let new = MemberFacts { start: Some(50), position: 60, last_heard: 61, ..MemberFacts::default() };
    for (mut a, b) in [(old.clone(), new.clone()), (new.clone(), old.clone())] {
        a.merge(&b);
        assert_eq!(a, new);
    }
}

#[test]
fn the_operators_latest_order_wins_in_either_direction() {
    let suspended = |suspended_at, restored_at| -> Suspensions {
        [("m".into(), Suspension { suspended_at, restored_at })].into()
    };
    for (a, b, last) in [
        (suspended(5, None), suspended(5, Some(8)), suspended(5, Some(8))),
        (suspended(5, Some(8)), suspended(9, None), suspended(9, None)),
        (suspended(5, Some(8)), suspended(5, Some(7)), suspended(5, Some(8))),
    ] {
        for (mut one, other) in [(a.clone(), b.clone()), (b, a)] {
            merge_suspensions(&mut one, &other);
            assert_eq!(one, last);
        }
    }
}
