//! Routers of a fleet that start at the same time without communicating: the sum of the connections and probes that
//! they open has to stay small at each member.
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

/// Gives each router a read every 40 ms, answered 30 ms later, for `duration`. Returns the time and member of each
/// router's first connection to a member, by time.
fn first_connections(routers: u32, duration: Time) -> Vec<(Time, u32)> {
    let mut first = Vec::new();
    for (n, driver) in fleet(routers).iter_mut().enumerate() {
        let mut seen = BTreeMap::new();
        // Spreads the first reads of the routers over 40 ms.
        driver.now += n as Time % 40 * MS;
        let started_at = driver.now;
        while driver.now < started_at + duration {
            let (id, actions) = driver.request(ANY, None);
            let to = sent(&actions);
            assert_eq!(to.len(), 1, "a read is sent at once");
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

/// The largest number of first connections to one member within 250 ms.
fn peak(first: &[(Time, u32)]) -> usize {
    let within = |(at, member): &(Time, u32)| {
        first.iter().filter(|(t, m)| m == member && t >= at && *t < at + 250 * MS).count()
    };
    first.iter().map(within).max().unwrap_or(0)
}

#[test]
fn first_connections_of_a_fleet_that_starts_at_once_are_spread_over_time() {
    for routers in [24, 48, 96] {
        let first = first_connections(routers, 4_000 * MS);
        // Each router connects to nearly all of the 7 replicas in the end; none keeps to the few it started with.
        assert!(first.len() as u32 > routers * 6, "{} of {}", first.len(), routers * 7);
        // If each router opened all connections at once, a member would get one from each router within 250 ms. At
        // most half of that is allowed: 12 of 24.
        assert!(peak(&first) <= routers as usize / 2, "{routers} routers: {}", peak(&first));
    }
}

#[test]
fn waiting_reads_open_one_member_after_another() {
    // With 96 routers, each router may have one read open at a member. No read is answered here.
    let mut driver = fleet(96).remove(0);
    let started_at = driver.now;
    let ids: Vec<RequestId> = (0..4).map(|_| driver.request(ANY, None).0).collect();
    let mut opened = vec![started_at];
    while driver.now < started_at + 700 * MS {
        let actions = driver.advance(10 * MS);
        opened.extend(sent(&actions).iter().filter(|(_, m)| *m != 1).map(|_| driver.now));
        assert!(ids.iter().all(|id| !refused(&actions, *id)), "its client still waits");
    }
    // The first connection opens at once, the next one when a read has waited for 40 ms and the one before is 80 ms old.
    assert_eq!(opened.len(), 4, "all are sent: {opened:?}");
    let gaps: Vec<Time> = opened.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| (80 * MS..=100 * MS).contains(gap)), "{gaps:?}");
    // A single router opens the connections that it needs within a short time.
    let mut single = fleet(1).remove(0);
    single.advance(61 * MS);
    for n in 1..MEMBERS {
        let (_, actions) = single.request(ANY, None);
        assert_eq!(sent(&actions).len(), 1, "read {n}");
    }
}

/// For each router, the times after its start at which its writes are sent to the primary. Each router has `waiting`
/// writes waiting when it starts; the primary answers each after 20 ms.
fn first_writes(routers: u32, waiting: usize) -> Vec<Vec<Time>> {
    let write = |driver: &mut RouterDriver| {
        let started_at = driver.now;
        let (mut sent_after, mut out) = (Vec::new(), Vec::<(RequestId, Time)>::new());
        let mut actions: Vec<Action> = (0..waiting).flat_map(|_| driver.request(UNSAFE, None).1).collect();
        while driver.now < started_at + 400 * MS {
            for (id, member) in sent(&actions) {
                assert_eq!(member, 1, "the primary is known");
                out.push((id, driver.now));
                sent_after.push(driver.now - started_at);
            }
            actions = driver.advance(10 * MS);
            while out.first().is_some_and(|(_, at)| driver.now >= at + 20 * MS) {
                let (id, _) = out.remove(0);
                let position = driver.now - MS;
                actions.extend(driver.ended(id, 0, Outcome::Completed, note(position, Role::Primary)));
            }
        }
        sent_after
    };
    fleet(routers).iter_mut().map(write).collect()
}

#[test]
fn first_writes_of_a_fleet_that_starts_at_once_go_at_once_up_to_each_routers_share() {
    // Each write in flight opens a connection: the primary gets 72 of 24 routers.
    for sent_after in &first_writes(24, 5) {
        assert_eq!(sent_after, &[0, 0, 0, 20 * MS, 20 * MS]);
    }
}

#[test]
fn an_unknown_primary_is_searched_for_with_few_probes_at_a_time() {
    let set = Settings { instances: 24, list_role: ListedRole::Absent, ..settings() };
    let mut unknown = RouterDriver::without_members(set);
    unknown.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    unknown.advance(4_000 * MS);
    let (_, actions) = unknown.request(UNSAFE, None);
    let mut asked = probes(&actions);
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!(probes(&unknown.advance(10 * MS)).is_empty(), "no probe has been answered yet");
    // Each answer lets the next probe go out, until all members have been probed.
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
fn a_member_that_the_operators_name_as_primary_is_tried_before_others_are_probed() {
    let set = Settings { instances: 24, list_role: ListedRole::Absent, ..settings() };
    let mut driver = RouterDriver::without_members(set);
    driver.list(ListKind::Full, (1..=MEMBERS).map(|id| member(id, false)).collect());
    driver.list(ListKind::Operator, vec![member(5, true)]);
    driver.advance(4_000 * MS);
    let (id, actions) = driver.request(UNSAFE, None);
    assert_eq!((sent(&actions), probes(&actions)), (vec![(id, 5)], vec![]));
    // The member answers that it is no primary: nothing ran, the others are probed, and another member is tried.
    let actions = driver.ended(id, 0, Outcome::Miss, note(driver.now - MS, Role::Replica));
    assert!(!probes(&actions).is_empty());
    let mut tried = sent(&actions);
    for _ in 0..20 {
        tried.extend(sent(&driver.advance(20 * MS)));
    }
    assert!(tried.iter().all(|(r, m)| *r == id && *m != 5) && !tried.is_empty(), "{tried:?}");
}
