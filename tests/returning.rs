//! Routers that begin all at once, and cannot talk: what each opens and asks adds up at the members.
#![allow(missing_docs)]

mod common;
use common::*;
use linentrail::*;
use std::collections::BTreeMap;

const MEMBERS: u32 = 8;

fn fleet(routers: u32) -> Vec<Driver> {
    let router = |n: u32| {
        let settings = Settings { instances: routers, seed: u64::from(n) * 7_919 + 1, ..settings() };
        let mut driver = Driver::blank(settings);
        driver.list(ListKind::Disk, (1..=MEMBERS).map(|id| member(id, id == 1)).collect());
        driver
    };
    (0..routers).map(router).collect()
}

/// Each router gets a read every 40 ms, answered 30 ms later, for so long; members that a router connects to for the
/// first time, by the moment.
fn first_connections(routers: u32, span: Time) -> Vec<(Time, u32)> {
    let mut first = Vec::new();
    for (n, driver) in fleet(routers).iter_mut().enumerate() {
        let mut seen = BTreeMap::new();
        // Not all in the same millisecond.
        driver.now += n as Time % 40 * MS;
        let began = driver.now;
        while driver.now < began + span {
            let (id, actions) = driver.request(ANY, None);
            let to = sent(&actions);
            assert_eq!(to.len(), 1, "a read goes out at once");
            seen.entry(to[0].1).or_insert(driver.now);
            driver.now += 30 * MS;
            let position = driver.now - MS;
            driver.ended(id, 0, Outcome::Completed, note(position, Role::Replica));
            driver.now += 10 * MS;
        }
        first.extend(seen.into_iter().map(|(member, at)| (at, member)));
    }
    first.sort_unstable();
    first
}

/// The most first connections that any member gets in 250 ms.
fn peak(first: &[(Time, u32)]) -> usize {
    let within = |(at, member): &(Time, u32)| {
        first.iter().filter(|(t, m)| m == member && t >= at && *t < at + 250 * MS).count()
    };
    first.iter().map(within).max().unwrap_or(0)
}

#[test]
fn first_connections_of_a_fleet_that_begins_at_once_are_spread_and_all_come() {
    for routers in [24, 48, 96] {
        let first = first_connections(routers, 4_000 * MS);
        // Each of its 7 replicas is some router's sooner or later: nobody stays with the few it began with.
        assert!(first.len() as u32 > routers * 6, "{} of {}", first.len(), routers * 7);
        // Were each to open all it can, a member would get one from each router within 250 ms; 12 of 24 are allowed.
        assert!(peak(&first) <= routers as usize / 2, "{routers} routers: {}", peak(&first));
    }
}

#[test]
fn a_first_connection_waits_for_no_turn_where_no_other_member_has_room() {
    let mut driver = fleet(24).remove(0);
    // With so many routers each has one read out at a member.
    for n in 1..MEMBERS as usize {
        let (_, actions) = driver.request(ANY, None);
        assert_eq!(sent(&actions).len(), 1, "read {n}");
    }
}

#[test]
fn a_primary_that_was_never_known_is_sought_at_few_members_at_a_time() {
    let set = Settings { instances: 24, list_role: ListRole::Never, ..settings() };
    let mut unknown = Driver::blank(set);
    unknown.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    let (_, actions) = unknown.request(UNSAFE, None);
    let mut asked = probes(&actions);
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(probes(&unknown.after(10 * MS)).is_empty(), "none has answered yet");
    // As one answers the next is asked, until all have been.
    for _ in 0..MEMBERS {
        let Some(member) = asked.first().copied() else { break };
        asked.remove(0);
        let position = unknown.now - 60 * MS;
        let more = probes(&unknown.hear(member, position, Role::Replica));
        assert!(more.len() <= 1, "{more:?}");
        asked.extend(more);
    }
    assert!(asked.is_empty());
}

#[test]
fn a_member_named_for_primary_is_tried_before_others_are_asked() {
    let set = Settings { instances: 24, list_role: ListRole::Never, ..settings() };
    let mut driver = Driver::blank(set);
    driver.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    driver.list(ListKind::Operator, vec![member(5, true)]);
    let (id, actions) = driver.request(UNSAFE, None);
    assert_eq!((sent(&actions), probes(&actions)), (vec![(id, 5)], vec![]));
    // It denies: nothing ran, the others are asked, and another is tried in its turn.
    let actions = driver.ended(id, 0, Outcome::Miss, note(driver.now - MS, Role::Replica));
    assert!(!probes(&actions).is_empty());
    let mut tried = sent(&actions);
    for _ in 0..20 {
        tried.extend(sent(&driver.after(20 * MS)));
    }
    assert!(tried.iter().all(|(r, m)| *r == id && *m != 5) && !tried.is_empty(), "{tried:?}");
}
