//! The member list with the operators' suspensions applied: all short histories of a member, checked against a simple
//! model.
#![allow(missing_docs)]

use linentrail::effective_list::{applied_as, EffectiveList, ListedMember, SuspensionError};
use linentrail::{GroupId, ListKind, Member, MemberId, ServiceState, Time};
use std::collections::BTreeMap;
use std::sync::Arc;

const GROUP: GroupId = 1;

fn entry(name: &str, service_state: ServiceState, up_since: Option<Time>) -> ListedMember {
    let id = MemberId(name.bytes().map(u32::from).sum());
    ListedMember {
        name: name.into(),
        member: Member { id, zone: 0, group: GROUP, service_state, primary: false, up_since },
        address: ([127, 0, 0, 1], 5).into(),
    }
}

/// An event in a member's history.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Suspend,
    Restore,
    Active,
    Leaving,
    Left,
    /// A full list without the member.
    Without,
    /// A full list with the member, which has just started.
    Restarted,
    /// Another process takes over from this one.
    HandedOver,
}

const STEPS: [Step; 8] = [
    Step::Suspend,
    Step::Restore,
    Step::Active,
    Step::Leaving,
    Step::Left,
    Step::Without,
    Step::Restarted,
    Step::HandedOver,
];

/// The expected state.
#[derive(Debug, Clone, Default)]
struct Model {
    known: bool,
    /// Condition and start according to discovery, while it lists the member.
    listed: Option<(ServiceState, Option<Time>)>,
    suspended_at: Option<Time>,
    /// Times of the latest suspension that has ended: suspended at, restored at.
    restored: Option<(Time, Time)>,
}

impl Model {
    fn expected(&self) -> Option<(ServiceState, Option<Time>)> {
        let (service_state, start) = self.listed?;
        if self.suspended_at.is_some() {
            return Some((ServiceState::Draining, start));
        }
        Some(match self.restored {
            Some((from, until)) => (service_state, if start > Some(from) { start } else { Some(until) }),
            None => (service_state, start),
        })
    }
}

/// The list under test, and the members as the router would know them.
struct Run {
    list: EffectiveList,
    seen: BTreeMap<Arc<str>, Member>,
    model: Model,
    now: Time,
}

impl Run {
    fn apply(&mut self, kind: ListKind, changed: Vec<ListedMember>) {
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            self.seen.clear();
        }
        for ListedMember { name, member, .. } in changed {
            match member.service_state {
                ServiceState::Removed => drop(self.seen.remove(&name)),
                _ => drop(self.seen.insert(name, member)),
            }
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ListedMember>) {
        let changed = self.list.list(kind, entries, self.now);
        self.apply(applied_as(kind), changed);
    }

    fn step(&mut self, step: Step) {
        self.now += 10;
        let (now, start) = (self.now, self.model.listed.and_then(|(_, start)| start));
        let model = &mut self.model;
        match step {
            Step::Suspend | Step::Restore => {
                let changed = match step {
                    Step::Suspend => self.list.suspend("m", now),
                    _ => self.list.restore("m", now),
                };
                assert_eq!(changed.is_ok(), model.known, "only an unknown id is an error");
                match (step, model.suspended_at) {
                    _ if !model.known => assert_eq!(changed, Err(SuspensionError::UnknownMember)),
                    (Step::Suspend, None) => (model.suspended_at, model.restored) = (Some(now), None),
                    (Step::Restore, Some(out)) => {
                        (model.suspended_at, model.restored) = (None, Some((out, now)));
                    }
                    _ => assert_eq!(changed, Ok(None), "a repeated call changes nothing"),
                }
                self.apply(ListKind::Operator, changed.ok().flatten().into_iter().collect());
            }
            Step::Active | Step::Leaving => {
                let service_state =
                    if step == Step::Active { ServiceState::Active } else { ServiceState::Draining };
                (model.known, model.listed) = (true, Some((service_state, start)));
                self.list(ListKind::Changes, vec![entry("m", service_state, start)]);
            }
            Step::Left => {
                model.listed = None;
                self.list(ListKind::Changes, vec![entry("m", ServiceState::Removed, start)]);
            }
            Step::Without => {
                model.listed = None;
                self.list(ListKind::Full, vec![entry("other", ServiceState::Active, None)]);
            }
            Step::Restarted => {
                (model.known, model.listed) = (true, Some((ServiceState::Active, Some(now))));
                self.list(ListKind::Full, vec![entry("m", ServiceState::Active, Some(now))]);
            }
            Step::HandedOver => {
                let suspensions = self.list.suspensions().clone();
                let listed: Vec<ListedMember> = model
                    .listed
                    .map(|(service_state, start)| entry("m", service_state, start))
                    .into_iter()
                    .collect();
                // The other process knows of a member that has left only if it was suspended or restored.
                model.known = model.listed.is_some() || suspensions.contains_key("m");
                self.list = EffectiveList::default();
                self.seen.clear();
                self.list.replace_suspensions(suspensions);
                self.list(ListKind::Disk, listed);
            }
        }
    }

    fn check(&self, history: &[Step]) {
        let seen = self.seen.get("m").map(|m| (m.service_state, m.up_since));
        assert_eq!(seen, self.model.expected(), "{history:?}: {:?}", self.model);
        let usable = seen.is_some_and(|(service_state, _)| service_state == ServiceState::Active);
        let other = self.seen.contains_key("other");
        assert_eq!(self.list.has_usable_member(), usable || other, "{history:?}");
    }
}

#[test]
fn every_short_history_matches_the_model() {
    const LENGTH: u32 = 6;
    let mut history = Vec::new();
    for mut number in 0..STEPS.len().pow(LENGTH) {
        let mut run =
            Run { list: EffectiveList::default(), seen: BTreeMap::new(), model: Model::default(), now: 100 };
        history.clear();
        for _ in 0..LENGTH {
            history.push(STEPS[number % STEPS.len()]);
            number /= STEPS.len();
            run.step(history[history.len() - 1]);
            run.check(&history);
        }
    }
}

#[test]
fn only_members_suspended_or_restored_at_another_process_are_reported_as_changed() {
    let (mut here, mut there) = (EffectiveList::default(), EffectiveList::default());
    for side in [&mut here, &mut there] {
        let entries = vec![entry("a", ServiceState::Active, None), entry("b", ServiceState::Active, None)];
        side.list(ListKind::Full, entries, 5);
    }
    there.suspend("a", 10).expect("a known member");
    let changed = here.replace_suspensions(there.suspensions().clone());
    assert_eq!(changed, [entry("a", ServiceState::Draining, None)]);
    assert!(here.replace_suspensions(there.suspensions().clone()).is_empty());
    there.restore("a", 20).expect("a known member");
    assert_eq!(
        here.replace_suspensions(there.suspensions().clone()),
        [entry("a", ServiceState::Active, Some(20))]
    );
}

#[test]
fn the_remembered_members_are_bounded() {
    let mut list = EffectiveList::default();
    let limit = linentrail::effective_list::MAX_SUSPENDED;
    let names: Vec<String> = (0..=limit).map(|n| format!("m{n}")).collect();
    let entries = names.iter().map(|n| entry(n, ServiceState::Active, None)).collect();
    list.list(ListKind::Full, entries, 0);
    for name in &names[..limit] {
        assert!(list.suspend(name, 1).is_ok());
    }
    assert_eq!(list.suspend(&names[limit], 1), Err(SuspensionError::TooManySuspended));
    assert!(list.restore(&names[0], 2).is_ok() && list.suspend(&names[limit], 3).is_ok());
    // A day later all members have left, and only suspended ones are remembered.
    list.list(ListKind::Full, Vec::new(), 4);
    list.list(ListKind::Full, Vec::new(), 86_400_000_000);
    assert!(!list.is_known(&names[0]) && list.is_known(&names[1]));
    assert_eq!(list.suspensions().len(), limit);
}

/// Guards against a lost suspension when two processes of one proxy run one after the other and the machine's clock
/// was set back in between: the later suspension must win when both states are merged, as when the store is read
/// again.
#[test]
fn the_latest_suspension_wins_although_the_clock_was_set_back() {
    use linentrail::knowledge::merge_suspensions;
    let mut first = EffectiveList::default();
    first.list(ListKind::Full, vec![entry("m", ServiceState::Active, None)], 5_000);
    first.suspend("m", 5_000).expect("a listed member");
    first.restore("m", 6_000).expect("a known member");
    let stored = first.suspensions().clone();
    let mut second = EffectiveList::default();
    second.list(ListKind::Full, vec![entry("m", ServiceState::Active, None)], 1_000);
    second.replace_suspensions(stored.clone());
    let changed = second.suspend("m", 1_500).expect("a listed member").expect("a changed entry");
    assert_eq!(changed.member.service_state, ServiceState::Draining);
    let mut joined = stored.clone();
    merge_suspensions(&mut joined, second.suspensions());
    assert_eq!(joined["m"].restored_at, None, "still suspended: {joined:?}");
    second.restore("m", 1_600).expect("a known member");
    let mut back = joined.clone();
    merge_suspensions(&mut back, second.suspensions());
    assert!(back["m"].restored_at.is_some(), "restored: {back:?}");
}
