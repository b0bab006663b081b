//! Routers that begin all at once, and cannot talk: what each opens and asks adds up at the members.
#![allow(missing_docs)]

mod common;
use common::*;
use linentrail::*;
use std::collections::BTreeMap;

const MEMBERS: u32 = 8;

fn fleet(routers: u32) -> Vec<RouterDriver> {
    let router = |n: u32| {
        let settings = Settings { instances: routers, seed: u64::from(n) * 7_919 + 1, ..settings() };
        let mut driver = RouterDriver::without_members(settings);
        driver.list(ListKind::Disk, (1..=MEMBERS).map(|id| member(id, id == 1)).collect());
        driver
    };
    (0..routers).map(router).collect()
}

/// Each router gets a read every 40 ms, answered 30 ms later, for so long; members that a router connects to for the
/// first time, by the moment.
fn first_connections(routers: u32, duration: Time) -> Vec<(Time, u32)> {
    let mut first = Vec::new();
    for (n, driver) in fleet(routers).iter_mut().enumerate() {
        let mut seen = BTreeMap::new();
        // Not all in the same millisecond.
        driver.now += n as Time % 40 * MS;
        let began = driver.now;
        while driver.now < began + duration {
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
fn reads_that_find_no_room_open_one_member_after_the_other_before_their_turn() {
    // With so many routers each has one read out at a member; none of these is answered.
    let mut driver = fleet(96).remove(0);
    let began = driver.now;
    let ids: Vec<RequestId> = (0..4).map(|_| driver.request(ANY, None).0).collect();
    let (mut opened, mut given_up) = (vec![began], Vec::new());
    while driver.now < began + 190 * MS {
        let actions = driver.advance(10 * MS);
        opened.extend(sent(&actions).iter().filter(|(_, m)| *m != 1).map(|_| driver.now));
        given_up.extend(ids.iter().filter(|id| refused(&actions, **id)).map(|_| driver.now));
    }
    // The first at once, the next when a read has waited 40 ms and 80 ms lie between the two.
    assert_eq!(opened.len(), 2, "{opened:?}");
    assert!(opened[1] >= began + 80 * MS && opened[1] <= began + 100 * MS, "{opened:?}");
    // Room is still to come, so that they wait for more of their aim of 200 ms than the 80 that they do elsewhere.
    assert!(given_up.iter().all(|at| *at >= began + 150 * MS) && !given_up.is_empty(), "{given_up:?}");
    // One router alone opens what it needs soon.
    let mut alone = fleet(1).remove(0);
    alone.advance(61 * MS);
    for n in 1..MEMBERS {
        let (_, actions) = alone.request(ANY, None);
        assert_eq!(sent(&actions).len(), 1, "read {n}");
    }
}

/// Moments at which writes first go out to the primary, router by router, where each has so many waiting at its start,
/// answered 20 ms later.
fn first_writes(routers: u32, waiting: usize) -> Vec<Vec<Time>> {
    let write = |driver: &mut RouterDriver| {
        let began = driver.now;
        (0..waiting).for_each(|_| drop(driver.request(UNSAFE, None)));
        let (mut went, mut out) = (Vec::new(), Vec::<(RequestId, Time)>::new());
        while driver.now < began + 400 * MS {
            let mut actions = driver.advance(10 * MS);
            while out.first().is_some_and(|(_, at)| driver.now >= at + 20 * MS) {
                let (id, _) = out.remove(0);
                let position = driver.now - MS;
                actions.extend(driver.ended(id, 0, Outcome::Completed, note(position, Role::Primary)));
            }
            for (id, member) in sent(&actions) {
                assert_eq!(member, 1, "the primary is known");
                out.push((id, driver.now));
                went.push(driver.now - began);
            }
        }
        went
    };
    fleet(routers).iter_mut().map(write).collect()
}

#[test]
fn first_writes_of_a_fleet_that_begins_at_once_are_spread_over_a_part_of_their_aim() {
    let all = first_writes(24, 3);
    let firsts: Vec<Time> = all.iter().map(|went| went[0]).collect();
    // 70% of the aim of 200 ms, and a step.
    assert!(firsts.iter().all(|at| *at <= 150 * MS), "{firsts:?}");
    let within = |at: &Time| firsts.iter().filter(|t| *t >= at && **t < at + 50 * MS).count();
    assert!(firsts.iter().map(within).max() <= Some(15), "{firsts:?}");
    for went in &all {
        assert_eq!(went.len(), 3, "all go out: {went:?}");
        // Until all routers have had their turn one is out at a time: each more would open a connection.
        let together = went.windows(2).filter(|w| w[1] < 140 * MS && w[1] < w[0] + 20 * MS).count();
        assert_eq!(together, 0, "{went:?}");
    }
}

#[test]
fn a_primary_that_was_never_known_is_sought_at_few_members_at_a_time() {
    let set = Settings { instances: 24, list_role: ListedRole::Absent, ..settings() };
    let mut unknown = RouterDriver::without_members(set);
    unknown.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    unknown.advance(4_000 * MS);
    let (_, actions) = unknown.request(UNSAFE, None);
    let mut asked = probes(&actions);
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(probes(&unknown.advance(10 * MS)).is_empty(), "none has answered yet");
    // As one answers the next is asked, until all have been.
    for _ in 0..MEMBERS {
        let Some(member) = asked.first().copied() else { break };
        asked.remove(0);
        let position = unknown.now - 60 * MS;
        let more = probes(&unknown.probe_answer(member, position, Role::Replica));
        assert!(more.len() <= 1, "{more:?}");
        asked.extend(more);
    }
    assert!(asked.is_empty());
}

#[test]
fn a_member_named_for_primary_is_tried_before_others_are_asked() {
    let set = Settings { instances: 24, list_role: ListedRole::Absent, ..settings() };
    let mut driver = RouterDriver::without_members(set);
    driver.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    driver.list(ListKind::Operator, vec![member(5, true)]);
    driver.advance(4_000 * MS);
    let (id, actions) = driver.request(UNSAFE, None);
    assert_eq!((sent(&actions), probes(&actions)), (vec![(id, 5)], vec![]));
    // It denies: nothing ran, the others are asked, and another is tried in its turn.
    let actions = driver.ended(id, 0, Outcome::Miss, note(driver.now - MS, Role::Replica));
    assert!(!probes(&actions).is_empty());
    let mut tried = sent(&actions);
    for _ in 0..20 {
        tried.extend(sent(&driver.advance(20 * MS)));
    }
    assert!(tried.iter().all(|(r, m)| *r == id && *m != 5) && !tried.is_empty(), "{tried:?}");
}
