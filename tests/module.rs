//! Tests of the router alone: the ordinary path, the rules, and regressions.
#![allow(missing_docs)]

mod common;

use common::*;
use linentrail::*;

#[test]
fn reads_go_to_the_least_loaded_replica_then_to_the_primary_and_then_wait() {
    let mut d = RouterDriver::new(settings());
    let mut per = [0usize; 4];
    let mut ids = Vec::new();
    for _ in 0..40 {
        let (id, actions) = d.request(ANY, None);
        for (_, m) in sent(&actions) {
            per[m as usize] += 1;
            ids.push((id, m));
            assert!(per[2].abs_diff(per[3]) <= 1, "uneven: {per:?}");
            assert!(
                m != 1 || per[2] == per[3],
                "sent to the primary before the replicas reached their limit"
            );
        }
    }
    assert!(per[2] == per[3] && per[2] > 1 && per[1] > 0 && per[1] < per[2], "{per:?}");
    assert!(ids.len() < 40, "there is no limit");
    // A freed slot goes to the oldest held read.
    let (done, freed) = ids[0];
    let actions = d.ended(done, 0, Outcome::Completed, None);
    assert_eq!(sent(&actions), vec![(RequestId(ids.len() as u64 + 1), freed)]);
}

#[test]
fn a_read_that_waits_for_capacity_is_refused_only_when_no_answer_can_reach_its_client() {
    let mut d = RouterDriver::new(settings());
    let mut out = Vec::new();
    let waiting = loop {
        let (id, actions) = d.request(ANY, None);
        if sent(&actions).is_empty() {
            break id;
        }
        out.push(id);
    };
    let (last, _) = d.request(ANY, None);
    let deadline = d.now + settings().classes[ANY].deadline;
    while d.now < deadline - 100 * MS {
        let actions = d.advance(10 * MS);
        assert!(!refused(&actions, waiting) && !refused(&actions, last), "its client still waits");
    }
    let freed = d.ended(out[0], 0, Outcome::Completed, None);
    assert_eq!(sent(&freed).into_iter().map(|(id, _)| id).collect::<Vec<_>>(), vec![waiting]);
    let mut actions = Vec::new();
    while !refused(&actions, last) {
        assert!(d.now < deadline, "no final answer");
        actions = d.advance(10 * MS);
    }
    assert!(d.now < deadline && d.now >= deadline - 30 * MS, "in time, and not before");
}

#[test]
fn a_read_that_waits_for_a_position_is_sent_when_a_probe_proves_one() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, vec![member(2, false), member(3, false)]);
    let (id, actions) = d.request(BOUNDED, None);
    assert!(sent(&actions).is_empty());
    let probed = probes(&actions)[0];
    assert!(!refused(&d.advance(100 * MS), id));
    let report = Report { position: Some(d.now), primary: Some(false), busy: None };
    let actions = d.step(&[Event::Probed { member: MemberId(probed), ok: true, report: Some(report) }]);
    assert_eq!(sent(&actions), vec![(id, probed)]);
}

#[test]
fn the_freshness_check_is_exact_for_bounded_reads() {
    for (age, qualifies) in [(500 * MS, true), (500 * MS + 1, false)] {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, vec![member(2, false)]);
        d.probe_answer(2, d.now - age, Role::Replica);
        let (_, actions) = d.request(BOUNDED, None);
        assert_eq!(!sent(&actions).is_empty(), qualifies, "age {age}");
    }
}

#[test]
fn the_freshness_check_is_exact_for_session_reads() {
    for (lead, qualifies) in [(0, true), (1, false)] {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, vec![member(2, false)]);
        d.probe_answer(2, d.now - 50 * MS - lead, Role::Replica);
        let (_, actions) = d.request(SESSION, Some(50 * MS));
        assert_eq!(!sent(&actions).is_empty(), qualifies, "lead {lead}");
    }
}

#[test]
fn a_remembered_write_binds_its_session_even_if_the_read_carries_an_age_of_zero() {
    let mut d = RouterDriver::new(Settings { session_marks: SessionTokenSource::Remembered, ..settings() });
    let (write, actions) = d.request(KEYED, None);
    assert_eq!(sent(&actions), vec![(write, 1)]);
    d.probe_answer(2, d.now - 100 * MS, Role::Replica);
    d.probe_answer(3, d.now - 100 * MS, Role::Replica);
    d.ended(write, 0, Outcome::Completed, note(d.now, Role::Primary));
    let (read, actions) = d.request(SESSION, Some(0));
    assert!(sent(&actions).is_empty(), "no replica is known to have the write");
    assert_eq!(probes(&actions).len(), 1, "a replica is probed first");
    assert_eq!(sent(&d.advance(50 * MS)), vec![(read, 1)]);
    d.probe_answer(3, d.now, Role::Replica);
    let (read, actions) = d.request(SESSION, Some(0));
    assert_eq!(sent(&actions), vec![(read, 3)]);
}

#[test]
fn members_that_check_positions_are_tried_on_an_estimate_but_not_after_a_miss() {
    let mut d = RouterDriver::new(Settings { when_behind: WhenBehind::Refuses, ..settings() });
    d.list(ListKind::Full, vec![member(2, false), member(3, false)]);
    for _ in 0..2 {
        let (id, actions) = d.request(ANY, None);
        assert_eq!(sent(&actions).len(), 1);
        d.ended(id, 0, Outcome::Completed, note(d.now - 20 * MS, Role::Replica));
    }
    d.now += 60 * MS;
    let (read, actions) = d.request(SESSION, Some(50 * MS));
    assert_eq!(sent(&actions).len(), 1, "expected to have caught up by now");
    let actions = d.ended(read, 0, Outcome::Miss, note(d.now - 70 * MS, Role::Replica));
    assert!(sent(&actions).is_empty(), "after a miss a proven position is required");
}

#[test]
fn only_members_that_check_positions_are_tried_on_old_or_missing_positions() {
    for (when_behind, tried) in [(WhenBehind::Refuses, true), (WhenBehind::Answers, false)] {
        let mut d = RouterDriver::new(Settings { when_behind, instances: 100, ..settings() });
        d.list(ListKind::Full, vec![member(2, false)]);
        // No position is known: a healthy replica has the session's write after 100 ms, but not at once.
        let (id, actions) = d.request(SESSION, Some(100 * MS));
        assert_eq!((!sent(&actions).is_empty(), probes(&actions).is_empty()), (tried, tried));
        if tried {
            d.ended(id, 0, Outcome::Completed, note(d.now - 20 * MS, Role::Replica));
            d.now += 8_000 * MS;
            let (_, actions) = d.request(SESSION, Some(30 * MS));
            assert_eq!(sent(&actions).len(), 1, "position known from 8 s ago, 20 ms behind");
        }
        let mut d = RouterDriver::new(Settings { when_behind, ..settings() });
        d.list(ListKind::Full, vec![member(2, false)]);
        assert!(
            sent(&d.request(SESSION, Some(20 * MS)).1).is_empty(),
            "the replica may not have the write yet"
        );
    }
}

#[test]
fn an_unsafe_write_that_may_have_run_is_never_sent_again_nor_refused() {
    for outcome in [Outcome::Errored, Outcome::Overdue, Outcome::Reset, Outcome::Cancelled] {
        let mut d = RouterDriver::new(settings());
        let (id, _) = d.request(UNSAFE, None);
        let actions = d.ended(id, 0, outcome, None);
        assert!(sent(&actions).is_empty() && !refused(&actions, id) && failed(&actions, id), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_write_that_cannot_have_run_looks_for_the_new_primary() {
    let mut d = RouterDriver::new(settings());
    let (id, actions) = d.request(UNSAFE, None);
    assert_eq!(sent(&actions), vec![(id, 1)]);
    let actions = d.ended(id, 0, Outcome::Miss, note(d.now, Role::Replica));
    let tried = sent(&actions);
    assert!(tried.len() == 1 && tried[0].1 != 1, "{tried:?}");
    d.now += 150 * MS;
    let actions = d.ended(id, 1, Outcome::Miss, note(d.now, Role::Replica));
    assert_eq!(sent(&actions).len(), 1);
    let actions = d.ended(id, 2, Outcome::Completed, note(d.now, Role::Primary));
    assert!(sent(&actions).is_empty());
    let (next, actions) = d.request(UNSAFE, None);
    assert!(sent(&actions).len() == 1 && sent(&actions)[0].0 == next);
}

#[test]
fn a_keyed_write_is_repeated_within_its_window_and_fails_at_once_after_it() {
    let mut d = RouterDriver::new(settings());
    let (id, _) = d.request(KEYED, None);
    d.now += 1_999 * MS;
    let actions = d.ended(id, 0, Outcome::Errored, None);
    assert_eq!(sent(&actions), vec![(id, 1)]);
    d.now += 2 * MS;
    let actions = d.ended(id, 1, Outcome::Errored, None);
    assert!(sent(&actions).is_empty() && failed(&actions, id));
}

/// Settings with a keyed class whose duplicates only members of the zone of the first attempt discard.
fn zone_deduplicated(consistency: Consistency) -> Settings {
    let mut settings = settings();
    let keyed = Effect::Keyed { group: DedupScope::Zone, window: 2_000 * MS };
    settings.classes[KEYED] = Class { consistency, effect: keyed, ..settings.classes[KEYED].clone() };
    settings
}

/// A member in another zone than those of `member`.
fn in_other_zone(id: u32, primary: bool) -> Member {
    Member { zone: 1, ..member(id, primary) }
}

/// The members that get the request's next attempt from these actions on; none if the request fails first.
fn next_attempts(d: &mut RouterDriver, id: RequestId, mut actions: Vec<Action>) -> Vec<u32> {
    let mut members = Vec::new();
    let deadline = d.now + settings().classes[KEYED].deadline;
    loop {
        members.extend(sent(&actions).into_iter().map(|(_, member)| member));
        assert!(!refused(&actions, id), "it may have run");
        if failed(&actions, id) || !members.is_empty() {
            return members;
        }
        assert!(d.now < deadline, "the request was not answered");
        actions = d.advance(10 * MS);
    }
}

#[test]
fn a_keyed_read_is_not_repeated_in_a_zone_that_does_not_deduplicate_it() {
    for consistency in
        [Consistency::Any, Consistency::Bounded(500 * MS), Consistency::Session, Consistency::Fresh]
    {
        let mut d = RouterDriver::new(zone_deduplicated(consistency));
        let primary_is_near = consistency == Consistency::Fresh;
        d.list(
            ListKind::Full,
            vec![
                Member { zone: u32::from(!primary_is_near), ..member(1, true) },
                member(2, false),
                in_other_zone(3, false),
            ],
        );
        d.probe_answer(2, d.now, Role::Replica);
        d.probe_answer(3, d.now, Role::Replica);
        let (id, actions) = d.request(KEYED, None);
        let first = if primary_is_near { 1 } else { 2 };
        assert_eq!(sent(&actions), vec![(id, first)], "{consistency:?}");
        if primary_is_near {
            // The role moves to another zone before the first attempt ends.
            d.probe_answer(3, d.now + MS, Role::Primary);
        }
        let actions = d.ended(id, 0, Outcome::Reset, None);
        assert!(next_attempts(&mut d, id, actions).is_empty(), "{consistency:?}");
    }
}

#[test]
fn a_keyed_write_is_not_cancelled_for_a_new_primary_that_does_not_deduplicate_it() {
    let mut d = RouterDriver::new(zone_deduplicated(Consistency::Write));
    d.list(ListKind::Full, vec![member(1, true), member(2, false), in_other_zone(3, false)]);
    let (id, actions) = d.request(KEYED, None);
    assert_eq!(sent(&actions), vec![(id, 1)]);
    d.now += 500 * MS;
    let actions = d.probe_answer(3, d.now, Role::Primary);
    assert!(!actions.contains(&Action::Cancel { id, attempt: 0 }), "no other member may take it");
    // The role returns to a member of its zone.
    let actions = d.probe_answer(2, d.now + 10 * MS, Role::Primary);
    assert!(!actions.contains(&Action::Cancel { id, attempt: 0 }), "member 3 lost the role, not member 1");
    assert!(d.ended(id, 0, Outcome::Completed, None).iter().all(|a| !matches!(a, Action::Fail { .. })));
}

#[test]
fn a_keyed_read_at_a_silent_member_is_cancelled_only_if_another_member_deduplicates_it() {
    for (zone, cancelled) in [(0, true), (1, false)] {
        let mut d = RouterDriver::new(zone_deduplicated(Consistency::Any));
        let other = Member { zone, ..member(3, false) };
        d.list(ListKind::Full, vec![in_other_zone(1, true), member(2, false), other]);
        let (id, actions) = d.request(KEYED, None);
        assert_eq!(sent(&actions).len(), 1);
        let actions: Vec<Action> = (0..150).flat_map(|_| d.advance(10 * MS)).collect();
        assert_eq!(actions.contains(&Action::Cancel { id, attempt: 0 }), cancelled, "zone {zone}");
    }
}

#[test]
fn a_keyed_write_is_not_tried_in_a_zone_that_does_not_deduplicate_it() {
    let mut d = RouterDriver::new(zone_deduplicated(Consistency::Write));
    d.list(ListKind::Full, vec![member(1, true), in_other_zone(2, false), in_other_zone(3, false)]);
    let (id, actions) = d.request(KEYED, None);
    assert_eq!(sent(&actions), vec![(id, 1)]);
    d.probe_answer(1, d.now + MS, Role::Replica);
    let actions = d.ended(id, 0, Outcome::Reset, None);
    let again = next_attempts(&mut d, id, actions);
    assert!(again.iter().all(|member| *member == 1), "{again:?}");
}

#[test]
fn a_keyed_write_at_a_replaced_primary_is_cancelled_and_sent_to_the_new_one() {
    let mut d = RouterDriver::new(settings());
    let (id, _) = d.request(KEYED, None);
    d.now += 500 * MS;
    let report = Report { position: Some(d.now), primary: Some(true), busy: None };
    let actions = d.step(&[Event::Probed { member: MemberId(3), ok: true, report: Some(report) }]);
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
    let actions = d.ended(id, 0, Outcome::Cancelled, None);
    assert_eq!(sent(&actions), vec![(id, 3)]);
}

#[test]
fn an_old_primary_that_returns_does_not_take_the_role_back() {
    let mut d = RouterDriver::new(settings());
    d.probe_answer(1, d.now, Role::Primary);
    d.now += 5_000 * MS;
    d.probe_answer(3, d.now, Role::Primary);
    d.probe_answer(1, d.now - 4_000 * MS, Role::Primary);
    let (id, actions) = d.request(UNSAFE, None);
    assert_eq!(sent(&actions), vec![(id, 3)]);
}

#[test]
fn every_held_request_is_answered_before_its_deadline_even_without_members() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, Vec::new());
    for class in [ANY, BOUNDED, SESSION, KEYED, UNSAFE] {
        let (id, mut actions) = d.request(class, Some(MS));
        let deadline = d.now + settings().classes[class].deadline;
        while d.now < deadline && !refused(&actions, id) {
            actions = d.advance(10 * MS);
        }
        assert!(refused(&actions, id) && d.now < deadline, "class {class}");
    }
}

#[test]
fn a_draining_or_missing_member_gets_nothing_new() {
    let mut d = RouterDriver::new(settings());
    let draining = Member { service_state: ServiceState::Draining, ..member(2, false) };
    d.list(ListKind::Changes, vec![draining]);
    for _ in 0..20 {
        assert!(sent(&d.request(ANY, None).1).iter().all(|(_, m)| *m != 2));
    }
    d.list(ListKind::Full, vec![member(1, true)]);
    for _ in 0..20 {
        assert!(sent(&d.request(ANY, None).1).iter().all(|(_, m)| *m == 1));
    }
}

#[test]
fn a_removed_member_stays_in_use_where_removal_is_not_binding_unless_it_drained_before() {
    for (not_binding, drained) in [(true, false), (true, true), (false, false)] {
        let rules = Rules { removal_not_binding: not_binding, ..settings().rules };
        let mut d = RouterDriver::new(Settings { rules, ..settings() });
        let as_listed = |service_state| Member { service_state, ..member(2, false) };
        if drained {
            d.list(ListKind::Changes, vec![as_listed(ServiceState::Draining)]);
        }
        d.list(ListKind::Changes, vec![as_listed(ServiceState::Removed)]);
        d.list(ListKind::Full, vec![member(1, true), member(3, false)]);
        let used = (0..20).any(|_| sent(&d.request(ANY, None).1).iter().any(|(_, m)| *m == 2));
        assert_eq!(used, not_binding && !drained, "setting {not_binding}, drained {drained}");
    }
}

#[test]
fn a_cold_member_gets_few_requests_and_failed_ones_count() {
    let mut d = RouterDriver::new(settings());
    let cold = Member { up_since: Some(d.now - MS), ..member(2, false) };
    d.list(ListKind::Full, vec![cold]);
    let mut count = 0;
    for _ in 0..100 {
        let (id, actions) = d.request(ANY, None);
        if !sent(&actions).is_empty() {
            count += 1;
            d.ended(id, 0, Outcome::Errored, None);
        }
    }
    assert!((1..=4).contains(&count), "{count} sends within one time window");
}

#[test]
fn a_saturated_primary_is_not_tried_again_in_every_step() {
    let mut d = RouterDriver::new(settings());
    let (id, _) = d.request(KEYED, None);
    assert!(sent(&d.ended(id, 0, Outcome::Saturated, note(d.now, Role::Primary))).is_empty());
    assert!(sent(&d.advance(5 * MS)).is_empty());
    assert_eq!(sent(&d.advance(50 * MS)), vec![(id, 1)]);
}

#[test]
fn a_read_that_could_not_reach_its_member_is_sent_again_once_the_member_answers_a_probe() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, vec![member(2, false)]);
    let (id, _) = d.request(ANY, None);
    let actions = d.ended(id, 0, Outcome::Refused, None);
    assert!(sent(&actions).is_empty() && !refused(&actions, id), "it waits");
    assert!(sent(&d.advance(100 * MS)).is_empty(), "nothing shows that the member is back");
    let actions = d.probe_answer(2, d.now, Role::Replica);
    assert_eq!(sent(&actions), vec![(id, 2)]);
}

#[test]
fn a_read_that_lagging_replicas_turn_away_is_not_sent_to_them_again_but_to_the_primary() {
    let mut d = RouterDriver::new(Settings { when_behind: WhenBehind::Refuses, ..settings() });
    let (id, mut actions) = d.request(SESSION, Some(60 * MS));
    let mut went = Vec::new();
    while went.last() != Some(&1) {
        assert!(!refused(&actions, id), "the primary could serve it; went to {went:?}");
        // Probes report the position that the read needs, whatever the replicas say to reads.
        for probed in probes(&actions) {
            actions.extend(d.probe_answer(probed, d.now, Role::Replica));
        }
        if let Some((_, member)) = sent(&actions).first().copied() {
            went.push(member);
            actions = match member {
                1 => Vec::new(),
                _ => d.ended(id, went.len() as u32 - 1, Outcome::Miss, note(d.now - 500 * MS, Role::Replica)),
            };
        } else {
            actions = d.advance(10 * MS);
        }
    }
    for replica in [2, 3] {
        assert!(went.iter().filter(|member| **member == replica).count() <= 1, "{went:?}");
    }
}

#[test]
fn a_read_that_members_left_unanswered_is_sent_to_them_again_when_no_other_member_is_left() {
    for unanswered in [Outcome::Overdue, Outcome::Reset, Outcome::Cancelled, Outcome::Superseded] {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, vec![member(2, false), member(3, false)]);
        let (id, actions) = d.request(ANY, None);
        let first = sent(&actions)[0].1;
        let actions = d.ended(id, 0, unanswered, None);
        assert_eq!(sent(&actions), [(id, 5 - first)], "{unanswered:?}: the other member comes first");
        let mut actions = d.ended(id, 1, Outcome::Errored, None);
        // A member whose connection broke has to answer a probe first.
        for probed in probes(&actions) {
            actions.extend(d.probe_answer(probed, d.now, Role::Replica));
        }
        assert!(!refused(&actions, id), "{unanswered:?}: the first member may answer yet");
        assert_eq!(sent(&actions), [(id, first)], "{unanswered:?}");
        assert!(refused(&d.ended(id, 2, Outcome::Saturated, None), id), "{unanswered:?}: no member is left");
    }
}

#[test]
fn a_read_that_every_member_has_failed_is_refused_at_once() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, vec![member(2, false)]);
    let (id, _) = d.request(ANY, None);
    assert!(refused(&d.ended(id, 0, Outcome::Errored, None), id), "no member is left to wait for");
    let (id, _) = d.request(ANY, None);
    assert!(refused(&d.ended(id, 0, Outcome::Saturated, None), id), "the only member is full");
}

#[test]
fn a_read_at_a_silent_member_is_cancelled_only_if_another_member_could_serve_it() {
    for (members, cancelled) in
        [(vec![member(2, false)], false), (vec![member(2, false), member(3, false)], true)]
    {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, members);
        let (id, actions) = d.request(ANY, None);
        assert_eq!(sent(&actions).len(), 1);
        let mut actions = Vec::new();
        for _ in 0..78 {
            let step = d.advance(10 * MS);
            for probed in probes(&step) {
                let event = Event::Probed { member: MemberId(probed), ok: false, report: None };
                actions.extend(d.step(&[event]));
            }
            actions.extend(step);
        }
        let cancels = actions.iter().any(|a| matches!(a, Action::Cancel { id: of, .. } if *of == id));
        assert_eq!(cancels, cancelled);
    }
}

#[test]
fn slow_answers_lower_a_members_limit_and_quick_ones_restore_it() {
    let sent_until_full = |slow: usize, quick: usize| {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, vec![member(2, false)]);
        assert_eq!(admitted(&mut d, 10 * MS, 20), 20);
        assert_eq!(admitted(&mut d, 150 * MS, slow), slow);
        assert_eq!(admitted(&mut d, 10 * MS, quick), quick);
        (0..40).filter(|_| !sent(&d.request(ANY, None).1).is_empty()).count()
    };
    let full = sent_until_full(0, 0);
    assert!(sent_until_full(6, 0) < full);
    assert_eq!(sent_until_full(6, 60), full);
}

#[test]
fn in_a_large_fleet_one_unanswered_attempt_weighs_much_and_few_answers_restore_a_member() {
    // Answers take 10 ms, and are slow from 20 ms on.
    let admitted_after = |bad: Outcome, spent: Time, quick: usize| {
        let one = |seed| {
            let mut d = RouterDriver::new(Settings { seed, instances: 100, ..settings() });
            d.list(ListKind::Full, vec![member(2, false)]);
            admitted(&mut d, 10 * MS, 20);
            let (id, _) = d.request(ANY, None);
            d.now += spent;
            d.step(&[Event::Disconnected { id }]);
            d.ended(id, 0, bad, None);
            admitted(&mut d, 10 * MS, quick);
            admitted(&mut d, 10 * MS, 1)
        };
        (0..300).map(one).sum::<usize>()
    };
    let slow = admitted_after(Outcome::Completed, 25 * MS, 0);
    assert!((200..250).contains(&slow), "{slow} of 300 after a slow answer");
    let very_slow = admitted_after(Outcome::Completed, 40 * MS, 0);
    assert!((130..170).contains(&very_slow), "{very_slow} of 300 after one that took twice the limit");
    let none = admitted_after(Outcome::Overdue, 150 * MS, 0);
    assert!((65..115).contains(&none), "{none} of 300 after none");
    let back = admitted_after(Outcome::Completed, 25 * MS, 3);
    assert!(back > 285, "{back} of 300 after three quick ones");
}

#[test]
fn a_silent_member_gets_nothing_new_despite_an_answered_probe_and_a_failed_probe_moves_its_reads() {
    for ok in [true, false] {
        let classes = vec![Class { aim: 700 * MS, deadline: 2_000 * MS, ..settings().classes[ANY].clone() }];
        let mut d = RouterDriver::new(Settings { classes, ..settings() });
        let (read, actions) = d.request(ANY, None);
        let at = sent(&actions)[0].1;
        let mut probed = Vec::new();
        while probed.is_empty() {
            let actions = d.advance(10 * MS);
            assert!(!actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "before any probe");
            probed = probes(&actions);
        }
        assert_eq!(probed, vec![at]);
        let actions = d.step(&[Event::Probed { member: MemberId(at), ok, report: None }]);
        assert_eq!(actions.contains(&Action::Cancel { id: read, attempt: 0 }), !ok);
        for _ in 0..4 {
            assert_ne!(sent(&d.request(ANY, None).1)[0].1, at);
        }
        // An answer to work ends the suspicion at once.
        d.ended(read, 0, Outcome::Completed, None);
        assert_eq!(sent(&d.request(ANY, None).1)[0].1, at);
    }
}

#[test]
fn a_member_once_silent_is_tried_with_one_request_at_a_time() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, vec![member(1, true)]);
    let (id, _) = d.request(UNSAFE, None);
    for _ in 0..150 {
        d.advance(10 * MS);
        d.step(&[Event::Probed { member: MemberId(1), ok: true, report: None }]);
    }
    d.ended(id, 0, Outcome::Overdue, None);
    d.step(&[Event::Probed { member: MemberId(1), ok: true, report: None }]);
    let tried = |d: &mut RouterDriver| (0..5).map(|_| sent(&d.request(UNSAFE, None).1).len()).sum::<usize>();
    assert_eq!(tried(&mut d), 1, "a hung primary must not hold up its full limit of writes again");
}

#[test]
fn a_zone_whose_members_go_silent_together_is_suspected_before_each_member_costs_a_request() {
    let lose_zone = |heard_between: bool| {
        let mut d = RouterDriver::new(Settings { instances: 100, ..settings() });
        let far = |id| Member { zone: 1, ..member(id, false) };
        d.list(ListKind::Full, (2..10).map(far).collect());
        let mut failures = 0;
        for _ in 0..40 {
            d.now += 20 * MS;
            let (id, mut actions) = d.request(ANY, None);
            let mut attempt = 0;
            while !sent(&actions).is_empty() {
                let alive = heard_between && attempt % 2 == 1;
                failures += usize::from(!alive);
                let outcome = if alive { Outcome::Completed } else { Outcome::Refused };
                let answer_note = note(d.now - MS, Role::Replica).filter(|_| alive);
                actions = d.ended(id, attempt, outcome, answer_note);
                attempt += 1;
            }
            d.step(&[Event::Disconnected { id }]);
        }
        (d, failures)
    };
    let (mut d, failures) = lose_zone(false);
    assert_eq!(failures, 3, "three of eight members show that the zone is lost");
    let (id, actions) = d.request(ANY, None);
    assert!(sent(&actions).is_empty());
    d.step(&[Event::Disconnected { id }]);
    // A member that answers a probe shows that the zone is back: members that were suspected only because of
    // the zone may be tried.
    d.now += 1_000 * MS;
    let probed = probes(&d.request(ANY, None).1)[0];
    let mut actions = d.probe_answer(probed, d.now, Role::Replica);
    (0..8).for_each(|_| actions.extend(d.request(ANY, None).1));
    let tried: std::collections::BTreeSet<u32> = sent(&actions).into_iter().map(|(_, to)| to).collect();
    assert!((5..=6).contains(&tried.len()), "the five inferred ones, and the one that answered: {tried:?}");
    let (_, failures) = lose_zone(true);
    assert!(failures > 3, "a zone with an answering member is not lost: {failures}");
}

#[test]
fn the_trials_of_a_large_fleet_do_not_overload_a_zone_that_comes_back() {
    // Each of 100 routers has found six members unreachable; 3 s later one member answers a probe of each
    // router.
    let (mut trials, mut requests) = (0, 0);
    for seed in 0..100 {
        let mut d = RouterDriver::new(Settings { seed, instances: 100, ..settings() });
        d.list(ListKind::Full, (2..8).map(|id| Member { zone: 1, ..member(id, false) }).collect());
        let (id, mut actions) = d.request(ANY, None);
        for attempt in 0..3 {
            assert_eq!(sent(&actions).len(), 1);
            actions = d.ended(id, attempt, Outcome::Refused, None);
        }
        d.step(&[Event::Disconnected { id }]);
        d.now += 3_000 * MS;
        let probed = probes(&d.request(ANY, None).1)[0];
        trials += sent(&d.probe_answer(probed, d.now, Role::Replica)).len();
        for _ in 0..5 {
            requests += 1;
            trials += sent(&d.request(ANY, None).1).len();
        }
    }
    // In total no more than the members' initial capacity share of 0.2 times the rule's multiple of 2,
    // however many routers there are.
    let most = f64::from(requests + 100) * 0.2 * 2.0;
    assert!((60..most as usize + 30).contains(&trials), "{trials} trials, at most {most}");
}

#[test]
fn a_member_that_fails_quickly_loses_its_reads_to_the_others() {
    let mut d = RouterDriver::new(settings());
    let mut late = 0;
    for n in 0..60 {
        let (id, mut actions) = d.request(ANY, None);
        let mut attempt = 0;
        while let Some((_, m)) = sent(&actions).first().copied() {
            late += usize::from(n >= 30 && m == 2);
            let outcome = if m == 2 { Outcome::Errored } else { Outcome::Completed };
            actions = d.ended(id, attempt, outcome, None);
            attempt += 1;
        }
    }
    assert!(late <= 1, "{late} of the last reads went to the failing member");
}

#[test]
fn quick_errors_at_all_members_alike_exclude_none_of_them() {
    let mut d = RouterDriver::new(settings());
    let mut sends = [0usize; 4];
    for n in 0..200 {
        let (id, mut actions) = d.request(ANY, None);
        let mut attempt = 0;
        while let Some((_, m)) = sent(&actions).first().copied() {
            sends[m as usize] += usize::from(n >= 100);
            let outcome = if n % 5 < 2 { Outcome::Errored } else { Outcome::Completed };
            actions = d.ended(id, attempt, outcome, None);
            attempt += 1;
        }
        assert!(attempt <= 2, "no third attempt after two errors");
        d.now += MS;
    }
    assert!(sends[2] > 40 && sends[3] > 40, "{sends:?}");
}

#[test]
fn a_reset_while_others_are_in_flight_does_not_exclude_the_member() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Full, vec![member(2, false)]);
    let (first, _) = d.request(ANY, None);
    let (second, _) = d.request(ANY, None);
    // The clients leave first, so that nothing is sent again.
    let lose = |d: &mut RouterDriver, id| {
        d.step(&[Event::Disconnected { id }]);
        d.ended(id, 0, Outcome::Reset, None);
    };
    lose(&mut d, first);
    assert_eq!(sent(&d.request(ANY, None).1).len(), 1, "others are still in flight");
    lose(&mut d, second);
    lose(&mut d, RequestId(3));
    let tried = (0..4).map(|_| sent(&d.request(ANY, None).1).len()).sum::<usize>();
    assert_eq!(tried, 1, "all attempts are lost: one at a time");
}

#[test]
fn equal_counts_are_broken_by_the_seed_and_a_cold_members_share_adds_up_over_many_drivers() {
    let first = |seed, cold: bool| {
        let mut d = RouterDriver::new(Settings { seed, instances: 300, ..settings() });
        let up_since = cold.then_some(d.now - MS);
        d.list(ListKind::Full, vec![Member { up_since, ..member(2, false) }, member(3, false)]);
        let (_, actions) = d.request(ANY, None);
        sent(&actions)[0].1
    };
    let at_two = |cold| (0..300).filter(|seed| first(*seed, cold) == 2).count();
    assert_eq!(first(7, false), first(7, false));
    let (even, cold) = (at_two(false), at_two(true));
    assert!((100..200).contains(&even), "{even} of 300");
    assert!((1..60).contains(&cold), "{cold} of 300 at a member with a fifth of its capacity");
}

#[test]
fn cold_members_get_their_share_of_a_groups_reads_from_any_number_of_routers_together() {
    // The group: a primary, two warm replicas, and one cold replica or a whole zone of them that came back at
    // once.
    for (routers, cold) in [(100, 1), (300, 1), (100, 3)] {
        let (per_router, listed) = (20, 3 + cold);
        let mut got = vec![0; cold as usize];
        for seed in 0..routers {
            let mut d = RouterDriver::new(Settings { seed, instances: routers as u32, ..settings() });
            let mut list = vec![member(1, true), member(2, false), member(3, false)];
            let back = |id| Member { up_since: Some(d.now - MS), ..member(id, false) };
            list.extend((4..4 + cold).map(back));
            d.list(ListKind::Full, list);
            for _ in 0..per_router {
                let (id, actions) = d.request(ANY, None);
                for (_, to) in sent(&actions) {
                    // The warm replicas are slow, so that the cold ones are every router's first choice.
                    d.now += if to < 4 { 150 * MS } else { 10 * MS };
                    d.ended(id, 0, Outcome::Completed, None);
                    if to >= 4 {
                        got[to as usize - 4] += 1;
                    }
                }
                d.step(&[Event::Disconnected { id }]);
            }
        }
        // An even share of the reads, times the capacity share of 0.2 to 0.5 that the members reach, times
        // the rule's multiple of 2.
        let even = f64::from(routers as u32 * per_router) / f64::from(listed);
        for got in got.into_iter().map(f64::from) {
            assert!(
                got <= even * 0.45 * 2.0,
                "{got} reads, more than the budget from an even share of {even}, with {routers} routers"
            );
            assert!(
                got >= even * 0.15,
                "{got} reads, too few to warm up, of an even share of {even}, with {routers} routers"
            );
        }
    }
}

#[test]
fn the_load_of_all_routers_on_a_cold_member_stays_within_its_budget_and_random_variation() {
    // Twenty and thirty processes; a primary and four replicas with 60 reads a second each, the full load of
    // the warm group. One replica has just started. In the third case half of the processes have, too, and
    // know the members' starts from the list only.
    const WINDOW: Time = 1_500 * MS;
    for (routers, fresh) in [(20u64, 0), (30, 0), (24, 12)] {
        let fleet = |seed| Settings { seed, instances: routers as u32, ..settings() };
        let mut all: Vec<RouterDriver> = (0..routers).map(|seed| RouterDriver::new(fleet(seed))).collect();
        let start = all[0].now;
        for (n, d) in all.iter_mut().enumerate() {
            if (n as u64) < fresh {
                *d = RouterDriver::without_members(fleet(n as u64));
                d.now = start;
            }
            let warm = (1..5).map(|id| Member { up_since: Some(1), ..member(id, id == 1) });
            let cold = Member { up_since: Some(start), ..member(5, false) };
            d.list(ListKind::Full, warm.chain([cold]).collect());
        }
        let (mut given, mut worst) = (Vec::new(), f64::MIN);
        let (mut seed, mut busy) = (routers, Vec::new());
        for step in 0..1_600u64 {
            let now = start + step * 5 * MS;
            busy.retain(|(until, router, id): &(Time, usize, RequestId)| {
                if *until <= now {
                    all[*router].now = now;
                    all[*router].ended(*id, 0, Outcome::Completed, None);
                }
                *until > now
            });
            // 300 requests a second: one and a half per step.
            for _ in 0..1 + step % 2 {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let router = (seed >> 33) as usize % all.len();
                all[router].now = now;
                let (id, actions) = all[router].request(ANY, None);
                match sent(&actions)[..] {
                    [(_, to)] => {
                        // The warm replicas are slow, so that the cold one is every router's first choice.
                        busy.push((now + if to == 5 { 15 } else { 150 } * MS, router, id));
                        given.extend((to == 5).then_some(now));
                    }
                    _ => drop(all[router].step(&[Event::Disconnected { id }])),
                }
            }
            let capacity = 0.2 + 0.8 * (now - start) as f64 / settings().rules.warm_after as f64;
            let budget = 2.0 * 60.0 * capacity * WINDOW as f64 / 1e6;
            let got = given.iter().rev().take_while(|t| **t + WINDOW > now).count() as f64;
            worst = worst.max(got - budget - 2.0 * budget.sqrt() - 2.0);
        }
        assert!(worst <= 0.0, "{routers} routers: {worst:.1} more than random variation may add");
        assert!(given.len() > 150, "{routers} routers: {} reads are too few to warm up", given.len());
    }
}

#[test]
fn in_a_half_warm_group_nearly_all_reads_and_retries_find_a_member() {
    let found = |age: Time, repeat: bool| {
        let one = |seed| {
            let mut d = RouterDriver::new(Settings { seed, instances: 100, ..settings() });
            let new = |id| Member { up_since: Some(d.now - age), ..member(id, id == 1) };
            d.list(ListKind::Full, (1..8).map(new).collect());
            let (group, class, deadline) = (9, ANY, d.now + 800 * MS);
            let (session, session_position, proven_position) = (None, None, None);
            let id = RequestId(1);
            let request = Event::Request {
                id,
                class,
                group,
                deadline,
                session,
                session_position,
                proven_position,
                repeat,
                has_idempotency_key: true,
            };
            sent(&d.step(&[request])).len()
        };
        (0..300).map(one).sum::<usize>()
    };
    // 6 replicas of 7 members, each with a share of 2 x 0.6 / 7: together they cover nearly all reads.
    assert!(found(5_000 * MS, false) > 290, "{} of 300", found(5_000 * MS, false));
    assert_eq!(found(5_000 * MS, true), found(5_000 * MS, false));
    // A fifth of the capacity: together 2 x 0.2 x 6 / 7, for retries as for first tries.
    assert!((75..130).contains(&found(0, false)), "{} of 300", found(0, false));
    assert_eq!(found(0, true), found(0, false));
}

#[test]
fn a_cold_primary_gets_writes_up_to_twice_its_capacity_and_no_reads() {
    let count = |class| {
        let one = |seed| {
            let mut d = RouterDriver::new(Settings { seed, instances: 100, ..settings() });
            d.list(ListKind::Full, vec![Member { up_since: Some(d.now), ..member(1, true) }]);
            sent(&d.request(class, None).1).len()
        };
        (0..300).map(one).sum::<usize>()
    };
    let (writes, reads) = (count(UNSAFE), count(ANY));
    assert!((90..150).contains(&writes), "{writes} of 300 at a fifth of its capacity");
    assert_eq!(reads, 0);
}

#[test]
fn idle_connections_are_closed_only_where_they_lose_requests() {
    let closes = |a: &[Action]| a.iter().any(|a| matches!(a, Action::CloseIdle { .. }));
    for (idle_lost, used_lost, expected) in [(2, 0, true), (2, 4, false), (1, 0, false)] {
        let mut d = RouterDriver::new(settings());
        d.list(ListKind::Full, vec![member(2, false)]);
        let attempt = |d: &mut RouterDriver, pause: Time, outcome| {
            d.now += pause;
            let (id, actions) = d.request(ANY, None);
            assert_eq!(sent(&actions).len(), 1);
            d.step(&[Event::Disconnected { id }]);
            d.ended(id, 0, outcome, None);
            closes(&actions)
        };
        attempt(&mut d, 0, Outcome::Completed);
        for _ in 0..used_lost {
            attempt(&mut d, 5 * MS, Outcome::Reset);
        }
        for _ in 0..idle_lost {
            assert!(!attempt(&mut d, 2_000 * MS, Outcome::Reset) || expected);
        }
        let closed = attempt(&mut d, 2_000 * MS, Outcome::Completed);
        assert_eq!(closed, expected, "{idle_lost} lost on idle ones, {used_lost} on used ones");
    }
}

#[test]
fn a_replica_of_unknown_position_is_probed_before_the_primary_takes_a_read() {
    let mut d = RouterDriver::new(settings());
    let (id, actions) = d.request(BOUNDED, None);
    assert!(sent(&actions).is_empty());
    assert_eq!(probes(&actions).len(), 1, "one probe, as hundreds of drivers must not probe all replicas");
    let probed = probes(&actions)[0];
    let report = Report { position: Some(d.now), primary: Some(false), busy: None };
    let actions = d.step(&[Event::Probed { member: MemberId(probed), ok: true, report: Some(report) }]);
    assert_eq!(sent(&actions), vec![(id, probed)]);
}

/// How many of `count` consecutive reads are sent at once, each answered after `spent`.
fn admitted(d: &mut RouterDriver, spent: Time, count: usize) -> usize {
    let mut sent_now = 0;
    for _ in 0..count {
        let (id, actions) = d.request(ANY, None);
        sent_now += sent(&actions).len();
        d.now += spent;
        d.ended(id, 0, Outcome::Completed, None);
        d.step(&[Event::Disconnected { id }]);
    }
    sent_now
}

#[test]
fn slow_answers_of_many_members_reduce_the_requests_to_all_of_them() {
    let mut d = RouterDriver::new(Settings { instances: 300, ..settings() });
    d.list(ListKind::Full, (2..40).map(|id| member(id, false)).collect());
    assert_eq!(admitted(&mut d, 10 * MS, 40), 40);
    admitted(&mut d, 250 * MS, 40);
    let reduced = admitted(&mut d, 250 * MS, 40);
    assert!((1..30).contains(&reduced), "{reduced} of 40");
    for _ in 0..6 {
        admitted(&mut d, 10 * MS, 40);
    }
    assert_eq!(admitted(&mut d, 10 * MS, 40), 40, "quick answers admit all requests again");
}

#[test]
fn in_a_large_fleet_slow_answers_in_time_hold_up_no_read_while_other_members_are_idle() {
    let mut d = RouterDriver::new(Settings { instances: 100, ..settings() });
    d.list(ListKind::Full, (2..40).map(|id| member(id, false)).collect());
    assert_eq!(admitted(&mut d, 10 * MS, 40), 40);
    // Half of the members answer slowly; the other half has nothing in flight and was never slow.
    assert_eq!(admitted(&mut d, 150 * MS, 19), 19);
    assert_eq!(admitted(&mut d, 10 * MS, 40), 40);
}

#[test]
fn repeated_empty_and_foreign_list_entries_change_nothing() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Changes, vec![member(2, false), member(2, false)]);
    d.list(ListKind::Changes, Vec::new());
    d.list(ListKind::Changes, vec![Member { group: 77, zone: 9, ..member(50, false) }]);
    for _ in 0..10 {
        let at = sent(&d.request(ANY, None).1);
        assert!(at.iter().all(|(_, m)| [1, 2, 3].contains(m)), "{at:?}");
    }
}

#[test]
fn a_member_listed_under_another_group_gets_nothing_for_its_old_one() {
    let mut d = RouterDriver::new(settings());
    d.list(ListKind::Changes, vec![Member { group: 77, ..member(2, false) }]);
    for _ in 0..20 {
        assert!(sent(&d.request(ANY, None).1).iter().all(|(_, m)| *m != 2));
    }
}

#[test]
fn a_failed_list_call_is_repeated_after_a_pause() {
    let mut d = RouterDriver::new(Settings { subscribe: true, ..settings() });
    let subscribes = |a: &[Action]| a.contains(&Action::Subscribe);
    assert!(!subscribes(&d.list(ListKind::Failed, Vec::new())), "the call is not repeated at once");
    let mut called = false;
    for _ in 0..15 {
        called |= subscribes(&d.advance(100 * MS));
    }
    assert!(called);
}

#[test]
fn a_fleet_without_discovery_spreads_its_calls_and_each_router_calls_in_time() {
    // All routers start at the same time and every call fails for 30 s: limits the calls of all routers in
    // any second and the longest gap between the calls of one router. `took` is the duration of a failed
    // call: a discovery that is down refuses at once, an overloaded one after 2 s.
    let spread = |instances: u32, took: Time| {
        let (mut firsts, mut calls) = (Vec::new(), Vec::new());
        for seed in 0..u64::from(instances) {
            let mut d = RouterDriver::new(Settings { seed, instances, subscribe: true, ..settings() });
            let (start, mut own) = (d.now, Vec::new());
            let mut asks = d.list(ListKind::Disk, vec![member(1, true)]).contains(&Action::Subscribe);
            while d.now < start + 30_000 * MS {
                if asks {
                    own.push(d.now - start);
                    d.now += took;
                    d.list(ListKind::Failed, vec![]);
                }
                asks = d.advance(10 * MS).contains(&Action::Subscribe);
            }
            // A change from before the start counts as known soon after the start, and the answer may take 2
            // s.
            assert!(own[0] <= 2_010 * MS, "{}", own[0]);
            // A change counts as known 6 s after discovery is reachable again, and its answer may take 2 s.
            let gap = own.windows(2).map(|w| w[1] - w[0] - took).max();
            assert!(gap.is_some_and(|gap| gap <= 4_050 * MS), "{gap:?}");
            let most = if instances > 18 { 9 } else { 31 };
            assert!((3..=most).contains(&own.len()), "{} calls of one in 30 s", own.len());
            firsts.push(own[0]);
            calls.extend(&own[1..]);
        }
        let busiest = |calls: &[Time]| {
            let within = |t: &Time| calls.iter().filter(|u| (*t..*t + 1_000 * MS).contains(u)).count();
            calls.iter().map(within).max().unwrap_or(0)
        };
        (busiest(&firsts), busiest(&calls))
    };
    for took in [0, 2_000 * MS] {
        for (routers, first_most, most) in [(100, 64, 40), (300, 180, 120)] {
            let (first, later) = spread(routers, took);
            // First calls are spread over 2 s so that none fails by their number; failed calls are spread
            // over longer.
            assert!(first <= first_most, "{first} first calls of {routers} routers within one second");
            assert!(later <= most, "{later} calls of {routers} routers within one second");
        }
        spread(6, took);
    }
    let mut d = RouterDriver::new(Settings { subscribe: true, ..settings() });
    assert!(
        d.list(ListKind::Disk, vec![member(1, true)]).contains(&Action::Subscribe),
        "a small fleet calls at once"
    );
}

#[test]
fn events_for_unknown_or_finished_requests_and_members_are_ignored() {
    let mut d = RouterDriver::new(settings());
    let (id, _) = d.request(ANY, None);
    d.ended(id, 0, Outcome::Completed, None);
    let unknown = RequestId(77);
    for id in [id, unknown] {
        assert!(sent(&d.ended(id, 0, Outcome::Errored, None)).is_empty());
        assert!(sent(&d.step(&[Event::Disconnected { id }, Event::Started { id, attempt: 3 }])).is_empty());
    }
    d.step(&[Event::Probed { member: MemberId(99), ok: false, report: None }]);
    assert!(sent(&d.advance(0)).is_empty());
}

#[test]
fn unusable_settings_are_an_error() {
    let bad = [
        Settings { classes: Vec::new(), ..settings() },
        Settings { max_attempts: 0, ..settings() },
        Settings { rules: Rules { cold_share: f64::NAN, ..settings().rules }, ..settings() },
    ];
    for settings in bad {
        assert!(Router::new(settings).is_err());
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut d = RouterDriver::new(settings());
        let mut all = Vec::new();
        for n in 0..200 {
            d.now += 3 * MS;
            let (id, actions) = d.request(n % 5, Some(MS));
            all.extend(actions);
            if n % 3 == 0 {
                all.extend(d.ended(id, 0, Outcome::Completed, note(d.now, Role::Replica)));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn each_router_takes_its_even_share_of_a_members_limit() {
    let sent_until_full = |instances, class| {
        let mut d = RouterDriver::new(Settings { instances, ..settings() });
        d.list(ListKind::Full, vec![if class == UNSAFE { member(1, true) } else { member(2, false) }]);
        (0..60).filter(|_| !sent(&d.request(class, None).1).is_empty()).count()
    };
    for class in [ANY, UNSAFE] {
        let (two, eight) = (sent_until_full(2, class), sent_until_full(8, class));
        assert!(eight > 0 && eight * 3 <= two, "{eight} of {two}");
    }
}

#[test]
fn an_attempt_is_stopped_early_only_if_a_repeat_is_allowed_and_still_in_time() {
    let stop = |class, after: Time| {
        let mut d = RouterDriver::new(settings());
        for _ in 0..200 {
            let (id, _) = d.request(class, None);
            d.now += 20 * MS;
            d.ended(id, 0, Outcome::Completed, note(d.now, Role::Primary));
        }
        d.list(ListKind::Full, vec![]);
        let (id, _) = d.request(class, None);
        d.now += after;
        let actions = d.list(ListKind::Full, vec![member(1, true)]);
        let pick = |a: &Action| match a {
            Action::Send { id: i, stop_at, .. } if *i == id => Some(*stop_at),
            _ => None,
        };
        actions.iter().find_map(pick).expect("sent")
    };
    assert!(stop(KEYED, 0).is_some());
    // It would be stopped after 80 ms, and another attempt takes 20 ms.
    let deadline = settings().classes[KEYED].deadline;
    assert!(stop(KEYED, deadline - 110 * MS).is_some());
    assert!(stop(KEYED, deadline - 90 * MS).is_none(), "too late for another attempt");
    assert!(stop(UNSAFE, 0).is_none());
}

#[test]
fn a_read_is_not_cut_off_as_lost_where_no_other_member_could_answer_it() {
    for (members, cut_off) in
        [(vec![member(2, false)], false), (vec![member(2, false), member(3, false)], true)]
    {
        let mut d = RouterDriver::without_members(settings());
        d.list(ListKind::Disk, members);
        d.now += 4_000 * MS;
        for _ in 0..200 {
            let (id, _) = d.request(ANY, None);
            d.ended(id, 0, Outcome::Completed, note(d.now, Role::Replica));
        }
        let (_, actions) = d.request(ANY, None);
        let stops = |a: &Action| matches!(a, Action::Send { stop_at: Some(_), .. });
        assert_eq!(sent(&actions).len(), 1);
        assert_eq!(actions.iter().any(stops), cut_off);
    }
}

#[test]
fn attempts_cut_off_as_lost_do_not_shorten_the_next_ones() {
    // Requests take 20 ms until the members become congested; then those that find a member busy take 150 ms,
    // which clients still wait for. If the mean followed answers alone, it would be that of the few quick requests,
    // and all others would be cut off within 16 ms although they run to their end.
    let mut d = RouterDriver::new(settings());
    let mut early = 0;
    for n in 0..600u64 {
        let takes = match n {
            0..200 => 20 * MS,
            _ if n % 5 == 0 => 4 * MS,
            _ => 150 * MS,
        };
        let (id, actions) = d.request(ANY, None);
        let stop = actions.iter().find_map(|a| match a {
            Action::Send { id: i, stop_at, .. } if *i == id => Some(*stop_at),
            _ => None,
        });
        let Some(stop) = stop else { continue };
        let lost = stop.map(|at| at - d.now).filter(|within| takes > *within);
        if let Some(within) = lost {
            early += 1;
            assert!(within >= 60 * MS, "cut off after {within} us at {n}");
        }
        let spent = lost.unwrap_or(takes);
        d.now += spent;
        let outcome = if lost.is_some() { Outcome::Overdue } else { Outcome::Completed };
        let (note, report) = (note(d.now, Role::Replica), None);
        d.step(&[Event::Ended { id, attempt: 0, outcome, complete: true, spent, note, report }]);
        d.now += 50 * MS;
    }
    assert!(
        (1..=40).contains(&early),
        "{early} cut off: the longer service time is learned from the first few"
    );
}

#[test]
fn a_read_with_too_little_time_for_an_answer_is_refused_at_once_except_for_a_few() {
    // Requests take 40 ms: members would work in vain for clients that wait 30 ms, but not for those that
    // wait 400 ms.
    let mut d = RouterDriver::new(settings());
    let mut ask = |left: Time| {
        let id = RequestId(1_000_000 + d.now);
        let event = Event::Request {
            id,
            class: ANY,
            group: 9,
            deadline: d.now + left,
            session: None,
            session_position: None,
            proven_position: None,
            repeat: false,
            has_idempotency_key: true,
        };
        let actions = d.step(&[event]);
        let (sent, refused) = (!sent(&actions).is_empty(), refused(&actions, id));
        if sent {
            d.now += 40 * MS;
            let (note, report) = (note(d.now, Role::Replica), None);
            let (outcome, spent) = (Outcome::Completed, 40 * MS);
            d.step(&[Event::Ended { id, attempt: 0, outcome, complete: true, spent, note, report }]);
        }
        d.now += 50 * MS;
        (sent, refused)
    };
    let mut count_sent = |left: Time, count: usize| {
        let results: Vec<(bool, bool)> = (0..count).map(|_| ask(left)).collect();
        assert!(
            results.iter().all(|(sent, refused)| sent != refused),
            "each read is sent or refused at once"
        );
        results.iter().filter(|(sent, _)| *sent).count()
    };
    assert_eq!(count_sent(30 * MS, 5), 5, "while nothing is known nothing is refused");
    assert_eq!(count_sent(400 * MS, 100), 100);
    let few = count_sent(30 * MS, 300);
    assert!((10..=60).contains(&few), "{few} of 300: a few show the current service time");
    assert_eq!(count_sent(400 * MS, 100), 100);
}

#[test]
fn a_write_waits_for_a_primary_for_as_long_as_its_client_waits() {
    let wait_until = |found_after: Option<Time>, missed: bool| {
        let mut d = RouterDriver::new(settings());
        let began = d.now;
        d.list(ListKind::Full, if missed { vec![member(1, true)] } else { vec![] });
        let (id, _) = d.request(UNSAFE, None);
        if missed {
            d.ended(id, 0, Outcome::Miss, note(d.now, Role::Replica));
            d.list(ListKind::Full, vec![]);
        }
        loop {
            assert!(d.now < began + 4_000 * MS, "no final answer");
            let mut actions = d.advance(10 * MS);
            if found_after.is_some_and(|after| d.now == began + after) {
                actions = d.list(ListKind::Full, vec![member(2, true)]);
            }
            if !sent(&actions).is_empty() || refused(&actions, id) {
                return (d.now - began, actions, id);
            }
        }
    };
    // Whether or not a member has turned it away before.
    for missed in [false, true] {
        let (at, actions, id) = wait_until(Some(3_500 * MS), missed);
        assert_eq!((at, sent(&actions)), (3_500 * MS, vec![(id, 2)]));
        let (at, actions, id) = wait_until(None, missed);
        assert!((3_970 * MS..4_000 * MS).contains(&at), "{at}");
        // Members are asked for the role every 400 ms.
        let advice = Some(400 * MS);
        assert!(actions.contains(&Action::Refuse { id, retry_after: advice }), "{actions:?}");
    }
}

#[test]
fn a_refused_read_is_told_to_come_back_when_members_have_done_what_is_ahead_of_it() {
    let advice = |waiting: usize| {
        let mut d = RouterDriver::new(Settings { max_retry_after: 60_000 * MS, ..settings() });
        d.list(ListKind::Full, vec![member(2, false)]);
        assert_eq!(admitted(&mut d, 100 * MS, 40), 40);
        let in_flight = std::iter::from_fn(|| {
            let (_, actions) = d.request(ANY, None);
            (!sent(&actions).is_empty()).then_some(())
        });
        let in_flight = in_flight.count();
        (1..waiting).for_each(|_| drop(d.request(ANY, None)));
        let asked_at = d.now;
        loop {
            assert!(d.now < asked_at + 800 * MS, "no read was refused");
            let actions = d.advance(10 * MS);
            let advice = actions.iter().find_map(|a| match a {
                Action::Refuse { retry_after, .. } => Some(*retry_after),
                _ => None,
            });
            if let Some(advice) = advice {
                // What is in flight, and all that is held.
                let ahead = (in_flight + waiting) as Time * 100 * MS / in_flight as Time;
                return (advice.expect("an advice"), ahead);
            }
        }
    };
    for waiting in [1, 9, 18] {
        let (told, ahead) = advice(waiting);
        assert!(told.abs_diff(ahead) <= 5 * MS, "told {told}, {ahead} of work ahead of {waiting}");
    }
}

#[test]
fn removed_members_are_forgotten_and_prove_their_position_again_when_they_return() {
    let mut d = RouterDriver::new(settings());
    d.probe_answer(2, d.now, Role::Replica);
    let (read, actions) = d.request(SESSION, Some(50 * MS));
    assert_eq!(sent(&actions), vec![(read, 2)]);
    let gone = |id| Member { service_state: ServiceState::Removed, ..member(id, false) };
    // While an attempt is in flight at the removed member, its end must still be processed.
    d.list(ListKind::Changes, vec![gone(2)]);
    d.ended(read, 0, Outcome::Completed, note(d.now, Role::Replica));
    d.list(ListKind::Changes, vec![gone(2), gone(7)]);
    d.list(ListKind::Full, vec![member(1, true), member(2, false)]);
    let (read, actions) = d.request(SESSION, Some(50 * MS));
    assert!(sent(&actions).is_empty(), "its proven position is forgotten");
    assert_eq!(probes(&actions), vec![2]);
    assert_eq!(sent(&d.probe_answer(2, d.now, Role::Replica)), vec![(read, 2)]);
}

#[test]
fn replacing_most_members_within_seconds_leaves_no_state_behind() {
    let mut d = RouterDriver::new(Settings { instances: 100, ..settings() });
    let of = |id: u32| Member { group: u64::from(id % 10), ..member(id, id < 10) };
    d.list(ListKind::Full, (0..60).map(of).collect());
    let before = d.router.entry_count();
    let mut open = Vec::new();
    for id in 0..36 {
        d.list(ListKind::Changes, vec![Member { up_since: Some(d.now), ..of(100 + id) }]);
        open.push(d.request(ANY, None).0);
        d.list(ListKind::Changes, vec![Member { service_state: ServiceState::Draining, ..of(id) }]);
        d.now += 190 * MS;
        d.list(ListKind::Changes, vec![Member { service_state: ServiceState::Removed, ..of(id) }]);
    }
    for id in open {
        d.ended(id, 0, Outcome::Overdue, None);
        d.step(&[Event::Disconnected { id }]);
    }
    d.list(ListKind::Changes, vec![]);
    assert_eq!(d.router.entry_count(), before, "60 members, 10 groups, no request");
}

#[test]
fn a_member_that_refuses_connections_is_not_probed_by_a_whole_fleet_at_once() {
    // 100 routers find the member unreachable at the same time and each has a read for its group every 10 ms.
    let mut probed = Vec::new();
    for seed in 0..100 {
        let mut d = RouterDriver::new(Settings { seed, instances: 100, ..settings() });
        d.list(ListKind::Full, vec![member(2, false)]);
        let (start, (id, _)) = (d.now, d.request(ANY, None));
        d.ended(id, 0, Outcome::Refused, None);
        let mut own = 0;
        while d.now < start + 6_000 * MS {
            d.now += 10 * MS;
            let (id, actions) = d.request(ANY, None);
            assert!(sent(&actions).is_empty());
            if !probes(&actions).is_empty() {
                own += 1;
                probed.push(d.now - start);
                d.step(&[Event::Probed { member: MemberId(2), ok: false, report: None }]);
            }
            d.step(&[Event::Disconnected { id }]);
        }
        assert!((3..=9).contains(&own), "{own} probes of one router in 6 s");
    }
    let within = |t: &Time| probed.iter().filter(|u| (*t..*t + 50 * MS).contains(u)).count();
    let most = probed.iter().map(within).max().unwrap();
    assert!(most <= 45, "{most} probes of 100 routers within 50 ms");
}

#[test]
fn short_lived_members_and_unknown_groups_leave_no_state_behind() {
    let mut d = RouterDriver::new(settings());
    let before = d.router.entry_count();
    for i in 100..200 {
        d.list(ListKind::Changes, vec![member(i, false)]);
        let gone = Member { service_state: ServiceState::Removed, ..member(i, false) };
        d.list(ListKind::Changes, vec![gone]);
        // A group without members.
        let id = RequestId(u64::from(i));
        let deadline = d.now + 100 * MS;
        d.step(&[Event::Request {
            id,
            class: UNSAFE,
            group: u64::from(i),
            deadline,
            session: None,
            session_position: None,
            proven_position: None,
            repeat: false,
            has_idempotency_key: true,
        }]);
        assert!(refused(&d.advance(100 * MS), id));
    }
    assert_eq!(d.router.entry_count(), before);
}

#[test]
fn new_settings_keep_the_router_state_and_the_rules_of_open_requests() {
    let mut d = RouterDriver::new(settings());
    d.probe_answer(1, d.now, Role::Primary);
    let (id, actions) = d.request(UNSAFE, None);
    assert_eq!(sent(&actions), [(id, 1)]);
    // Fewer attempts than before, and one more class index, under which the former class is safe.
    let mut new = settings();
    new.max_attempts = 2;
    new.classes.push(Class { effect: Effect::Safe, ..new.classes[UNSAFE].clone() });
    d.step(&[Event::Settings(Box::new(new.clone()))]);
    let actions = d.ended(id, 0, Outcome::Reset, None);
    assert!(
        failed(&actions, id) && sent(&actions).is_empty(),
        "it arrived as an unsafe request: {actions:?}"
    );
    // For a new request the primary is still known, and two attempts are allowed from now on.
    d.probe_answer(1, d.now, Role::Primary);
    let (id, actions) = d.request(KEYED, None);
    assert_eq!(sent(&actions), [(id, 1)]);
    let again = d.ended(id, 0, Outcome::Saturated, None);
    let again = [again, d.advance(100 * MS), d.advance(100 * MS)].concat();
    assert_eq!(sent(&again), [(id, 1)]);
    let last = d.ended(id, 1, Outcome::Saturated, None);
    let last = [last, d.advance(100 * MS), d.advance(100 * MS)].concat();
    assert!(sent(&last).is_empty() && refused(&last, id), "{last:?}");
}

#[test]
fn a_request_keeps_the_attempt_limit_that_it_arrived_with() {
    let mut few = settings();
    few.max_attempts = 1;
    let mut d = RouterDriver::new(few);
    d.probe_answer(1, d.now, Role::Primary);
    let (id, actions) = d.request(KEYED, None);
    assert_eq!(sent(&actions), [(id, 1)]);
    d.step(&[Event::Settings(Box::new(settings()))]);
    let actions = d.ended(id, 0, Outcome::Saturated, None);
    assert!(sent(&actions).is_empty() && refused(&actions, id), "{actions:?}");
}

#[test]
fn an_operators_change_of_a_member_leaves_a_call_to_discovery_due() {
    let mut d = RouterDriver::new(Settings { subscribe: true, ..settings() });
    let out = Member { service_state: ServiceState::Draining, ..member(2, false) };
    let first = d.list(ListKind::Operator, vec![out]);
    let later = [first, d.advance(10 * MS), d.advance(10_000 * MS)].concat();
    assert!(later.contains(&Action::Subscribe), "{later:?}");
}

#[test]
fn a_long_request_causes_few_probes_of_a_silent_member_and_none_where_work_takes_long() {
    // Nothing is answered while it runs, as at a member that hangs.
    let probe_count = |d: &mut RouterDriver, duration: Time| {
        let mut probe_count = 0;
        for _ in 0..duration / (50 * MS) {
            probe_count += probes(&d.advance(50 * MS)).len();
        }
        probe_count
    };
    let mut d = RouterDriver::new(settings());
    d.probe_answer(1, d.now, Role::Primary);
    d.request(UNSAFE, None);
    assert!(probe_count(&mut d, 450 * MS) <= 1);
    let more = probe_count(&mut d, 1_000 * MS);
    assert!((1..=3).contains(&more), "{more} probes in a second");
    // The same where writes take 700 ms.
    let mut d = RouterDriver::new(settings());
    d.probe_answer(1, d.now, Role::Primary);
    for _ in 0..5 {
        let (id, _) = d.request(UNSAFE, None);
        d.now += 700 * MS;
        d.ended(id, 0, Outcome::Completed, note(d.now, Role::Primary));
    }
    d.request(UNSAFE, None);
    assert_eq!(probe_count(&mut d, 1_500 * MS), 0);
}

#[test]
fn the_read_that_has_to_be_sent_soonest_goes_first_and_of_equals_the_oldest() {
    // One router of 96 has at most one read in flight at a member.
    let order = |importance: f64, later: [Time; 2]| {
        let mut set = Settings { instances: 96, ..settings() };
        set.classes[BOUNDED] = Class { importance, ..set.classes[ANY].clone() };
        let mut driver = RouterDriver::new(set);
        // Until no member has capacity.
        let first = loop {
            let (id, actions) = driver.request(ANY, None);
            if sent(&actions).is_empty() {
                break id;
            }
        };
        let deadline = driver.now + settings().classes[ANY].deadline;
        let ask = |driver: &mut RouterDriver, n: u64, deadline| {
            let event = Event::Request {
                id: RequestId(900 + n),
                class: BOUNDED,
                group: 9,
                deadline,
                session: None,
                session_position: None,
                proven_position: None,
                repeat: n == 0,
                has_idempotency_key: true,
            };
            assert!(sent(&driver.step(&[event])).is_empty(), "it waits");
        };
        (0..2).for_each(|n| ask(&mut driver, n, deadline - later[n as usize]));
        let mut went = Vec::new();
        let mut in_flight = vec![RequestId(1)];
        while went.len() < 3 {
            let position = driver.now - MS;
            let done = in_flight.remove(0);
            let actions = driver.ended(done, 0, Outcome::Completed, note(position, Role::Replica));
            let next: Vec<RequestId> = sent(&actions).into_iter().map(|(id, _)| id).collect();
            assert_eq!(next.len(), 1, "there is capacity for one");
            in_flight.extend(&next);
            went.extend(next);
        }
        went.into_iter().map(|id| if id == first { 0 } else { id.0 }).collect::<Vec<_>>()
    };
    for importance in [1.0, 5.0] {
        assert_eq!(order(importance, [0, 0]), [0, 900, 901], "the oldest first");
        assert_eq!(order(importance, [0, 300 * MS]), [901, 0, 900], "the one with the least time first");
        assert_eq!(order(importance, [200 * MS, 300 * MS]), [901, 900, 0]);
    }
}

#[test]
fn a_started_router_sends_nothing_on_a_list_that_discovery_has_not_confirmed_in_time() {
    let set = Settings { subscribe: true, instances: 300, ..settings() };
    // A router whose first call is late: its slot comes after the list may be out of date.
    let late = |seed: &u64| {
        let mut d = RouterDriver::without_members(Settings { seed: *seed, ..set.clone() });
        let began = d.now;
        d.list(ListKind::Disk, vec![member(1, true), member(2, false)]);
        while !d.advance(10 * MS).contains(&Action::Subscribe) {}
        d.now >= began + 1_800 * MS
    };
    let seed = (0..100).find(late).expect("calls are spread over 2 s");
    let start = || {
        let mut d = RouterDriver::without_members(Settings { seed, ..set.clone() });
        d.list(ListKind::Disk, vec![member(1, true), member(2, false)]);
        d
    };

    let mut d = start();
    d.now += 1_900 * MS;
    assert_eq!(
        sent(&d.request(ANY, None).1).len(),
        1,
        "the list from before the start may be used until then"
    );
    d.now += 200 * MS;
    let (read, actions) = d.request(ANY, None);
    let (write, written) = d.request(UNSAFE, None);
    assert!(sent(&actions).is_empty() && sent(&written).is_empty(), "{actions:?} {written:?}");
    assert!(
        !actions.iter().chain(&written).any(|a| matches!(a, Action::Probe { .. })),
        "nothing is probed either"
    );
    // Discovery reports member 2 as removed: what was held goes to the other one.
    let gone = Member { service_state: ServiceState::Removed, ..member(2, false) };
    let actions = d.list(ListKind::Changes, vec![gone]);
    let mut to = sent(&actions);
    to.extend(sent(&d.advance(600 * MS)));
    assert!(to.contains(&(write, 1)) && !to.iter().any(|(_, member)| *member == 2), "{read:?} {to:?}");

    // A request waits for the list for as long as its client waits, and is refused then.
    let mut d = start();
    d.now += 2_100 * MS;
    let (read, _) = d.request(ANY, None);
    let waited: Vec<Action> = (0..76).flat_map(|_| d.advance(10 * MS)).collect();
    assert!(!refused(&waited, read) && sent(&waited).is_empty(), "{waited:?}");
    let over: Vec<Action> = (0..3).flat_map(|_| d.advance(10 * MS)).collect();
    assert!(refused(&over, read) && sent(&over).is_empty(), "{over:?}");

    // If discovery is down, no other router has learned of a change either.
    let mut d = start();
    d.now += 2_100 * MS;
    d.list(ListKind::Failed, Vec::new());
    assert_eq!(sent(&d.request(ANY, None).1).len(), 1);
}

#[test]
fn a_remembered_session_read_requires_a_proven_position_for_a_write_that_it_carries() {
    let mut d = RouterDriver::new(Settings { session_marks: SessionTokenSource::Remembered, ..settings() });
    d.list(ListKind::Full, vec![member(2, false)]);
    d.probe_answer(2, d.now - 100 * MS, Role::Replica);
    let read = Event::Request {
        id: RequestId(900),
        class: SESSION,
        group: 9,
        deadline: d.now + 800 * MS,
        session: Some("s".into()),
        session_position: Some(d.now - 50 * MS),
        proven_position: Some(d.now - 50 * MS),
        repeat: false,
        has_idempotency_key: true,
    };
    assert_eq!(sent(&d.step(&[read])), [], "the replica's position is 50 ms behind the required one");
}

#[test]
fn a_report_from_before_a_member_lost_its_role_does_not_give_the_role_back() {
    let mut d = RouterDriver::new(settings());
    d.probe_answer(1, d.now, Role::Primary);
    d.now += 1_000 * MS;
    let (write, actions) = d.request(UNSAFE, None);
    assert_eq!(sent(&actions), [(write, 1)]);
    d.ended(write, 0, Outcome::Miss, note(d.now, Role::Replica));
    // Reports are refreshed a few times a second; this one is from before the election.
    d.now += 100 * MS;
    d.probe_answer(1, d.now - 300 * MS, Role::Primary);
    let (read, actions) = d.request(SESSION, Some(10 * MS));
    let actions = [actions, d.advance(100 * MS)].concat();
    assert!(!sent(&actions).contains(&(read, 1)), "it has shown that it is a replica, and is behind");
}

#[test]
fn a_member_that_new_settings_let_warm_up_for_longer_is_in_slow_start_again() {
    let started = |before: Time, after: Time| {
        let with = |warm_after| {
            let rules = Rules { warm_after, ..settings().rules };
            Settings { rules, ..settings() }
        };
        let mut d = RouterDriver::new(with(before));
        let fresh = Member { up_since: Some(d.now - 2_000 * MS), ..member(2, false) };
        d.list(ListKind::Full, vec![fresh]);
        d.step(&[Event::Settings(Box::new(with(after)))]);
        (0..40).filter(|_| !sent(&d.request(ANY, None).1).is_empty()).count()
    };
    let long = 20_000 * MS;
    assert_eq!(started(1_000 * MS, long), started(long, long));
}
