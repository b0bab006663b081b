//! Merging in any order, any number of times, ends in the same.

use super::*;
use proptest::prelude::*;

/// Few names and moments, so that most of what is drawn meets.
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

fn held() -> impl Strategy<Value = Option<TimestampedText>> {
    prop::option::of((0..3u64, name()).prop_map(|(at, text)| TimestampedText { at, text }))
}

fn knowledge() -> impl Strategy<Value = Knowledge> {
    let hand = (0..3u64, prop::option::of(0..3u64))
        .prop_map(|(suspended_at, restored_at)| Suspension { suspended_at, restored_at });
    (
        prop::collection::btree_map(name(), facts(), 0..3),
        prop::collection::btree_map(name(), 0..4u64, 0..3),
        0..4u64,
        prop::collection::btree_map(name(), hand, 0..3),
        held(),
        held(),
    )
        .prop_map(|(members, sessions, floor, hands, settings, list)| Knowledge {
            learned: LearnedFacts { members, sessions, floor },
            suspensions: hands,
            settings,
            list,
        })
}

fn join(a: &Knowledge, b: &Knowledge) -> Knowledge {
    let mut all = a.clone();
    all.merge(b);
    all
}

proptest! {
    #[test]
    fn merging_is_associative_commutative_and_idempotent(
        a in knowledge(), b in knowledge(), c in knowledge(),
    ) {
        prop_assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)));
        prop_assert_eq!(join(&a, &b), join(&b, &a));
        prop_assert_eq!(join(&a, &a), a.clone());
        prop_assert_eq!(join(&join(&a, &b), &b), join(&a, &b));
    }

    #[test]
    fn nothing_that_binds_is_lost_by_merging(a in knowledge(), b in knowledge()) {
        let all = join(&a, &b);
        for (name, at) in a.learned.sessions.iter().chain(&b.learned.sessions) {
            prop_assert!(all.learned.sessions[name] >= *at);
        }
        prop_assert!(all.learned.floor >= a.learned.floor.max(b.learned.floor));
        for (name, hand) in a.suspensions.iter().chain(&b.suspensions) {
            prop_assert!(all.suspensions[name].suspended_at >= hand.suspended_at);
        }
        for (name, facts) in a.learned.members.iter().chain(&b.learned.members) {
            let known = &all.learned.members[name];
            prop_assert!(known.start >= facts.start);
            // Nothing of an earlier life remains, and nothing of this one is forgotten.
            if known.start == facts.start {
                prop_assert!(known.position >= facts.position && known.warm_up_start >= facts.warm_up_start);
            }
        }
    }

    #[test]
    fn what_is_written_is_read_again(a in knowledge(), at in 0..9u64, boot in 0..9u64) {
        let bytes = format::write_snapshot(&a, at, boot);
        prop_assert_eq!(format::read_snapshot(&bytes), Ok((a, at, boot)));
    }
}

#[test]
fn a_later_life_of_a_member_leaves_nothing_of_the_former_one() {
    let old = MemberFacts { start: Some(5), position: 90, last_heard: 91, ..MemberFacts::default() };
    let new = MemberFacts { start: Some(50), position: 60, last_heard: 61, ..MemberFacts::default() };
    for (mut a, b) in [(old.clone(), new.clone()), (new.clone(), old.clone())] {
        a.merge(&b);
        assert_eq!(a, new);
    }
}

#[test]
fn the_operators_last_word_wins_whoever_heard_it() {
    let hands = |suspended_at, restored_at| -> Suspensions {
        [("m".into(), Suspension { suspended_at, restored_at })].into()
    };
    for (a, b, last) in [
        (hands(5, None), hands(5, Some(8)), hands(5, Some(8))),
        (hands(5, Some(8)), hands(9, None), hands(9, None)),
        (hands(5, Some(8)), hands(5, Some(7)), hands(5, Some(8))),
    ] {
        for (mut one, other) in [(a.clone(), b.clone()), (b, a)] {
            merge_suspensions(&mut one, &other);
            assert_eq!(one, last);
        }
    }
}
