//! What discovery and the operators say of a member, joined: all short histories, against a plain model of what must
//! show.
#![allow(missing_docs)]

use linentrail::effective_list::{EffectiveList, ListedMember, SuspensionError};
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

/// One thing that may happen.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Suspend,
    Restore,
    Active,
    Leaving,
    Left,
    /// A whole list without the member.
    Without,
    /// A whole list with it, started just now.
    Restarted,
    /// Another process goes on from what this one hands it.
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

/// What must show, kept as plainly as can be.
#[derive(Debug, Clone, Default)]
struct Model {
    known: bool,
    /// Condition and start by discovery's word, while it lists the member.
    listed: Option<(ServiceState, Option<Time>)>,
    out_since: Option<Time>,
    /// Out and back, of the last time that it was put back.
    put_back: Option<(Time, Time)>,
}

impl Model {
    fn must_show(&self) -> Option<(ServiceState, Option<Time>)> {
        let (service_state, start) = self.listed?;
        if self.out_since.is_some() {
            return Some((ServiceState::Draining, start));
        }
        Some(match self.put_back {
            Some((out, back)) => (service_state, if start > Some(out) { start } else { Some(back) }),
            None => (service_state, start),
        })
    }
}

/// The overlay and what a module would hold of its word.
struct Run {
    overlay: EffectiveList,
    seen: BTreeMap<Arc<str>, Member>,
    model: Model,
    now: Time,
}

impl Run {
    fn see(&mut self, kind: ListKind, told: Vec<ListedMember>) {
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            self.seen.clear();
        }
        for ListedMember { name, member, .. } in told {
            match member.service_state {
                ServiceState::Removed => drop(self.seen.remove(&name)),
                _ => drop(self.seen.insert(name, member)),
            }
        }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ListedMember>) {
        let told = self.overlay.list(kind, entries, self.now);
        self.see(kind, told);
    }

    fn step(&mut self, step: Step) {
        self.now += 10;
        let (now, start) = (self.now, self.model.listed.and_then(|(_, start)| start));
        let model = &mut self.model;
        match step {
            Step::Suspend | Step::Restore => {
                let told = match step {
                    Step::Suspend => self.overlay.suspend("m", now),
                    _ => self.overlay.restore("m", now),
                };
                assert_eq!(told.is_ok(), model.known, "a no is owed to an unknown id, and to no other");
                match (step, model.out_since) {
                    _ if !model.known => assert_eq!(told, Err(SuspensionError::UnknownMember)),
                    (Step::Suspend, None) => (model.out_since, model.put_back) = (Some(now), None),
                    (Step::Restore, Some(out)) => {
                        (model.out_since, model.put_back) = (None, Some((out, now)));
                    }
                    _ => assert_eq!(told, Ok(None), "said twice, it is no news"),
                }
                self.see(ListKind::Operator, told.ok().flatten().into_iter().collect());
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
                let hands = self.overlay.hands().clone();
                let listed: Vec<ListedMember> = model
                    .listed
                    .map(|(service_state, start)| entry("m", service_state, start))
                    .into_iter()
                    .collect();
                // What left before the other process began is known to it by the operators' word alone.
                model.known = model.listed.is_some() || hands.contains_key("m");
                self.overlay = EffectiveList::default();
                self.seen.clear();
                self.overlay.adopt(hands);
                self.list(ListKind::Disk, listed);
            }
        }
    }

    fn check(&self, history: &[Step]) {
        let seen = self.seen.get("m").map(|m| (m.service_state, m.up_since));
        assert_eq!(seen, self.model.must_show(), "{history:?}: {:?}", self.model);
        let usable = seen.is_some_and(|(service_state, _)| service_state == ServiceState::Active);
        let other = self.seen.contains_key("other");
        assert_eq!(self.overlay.serves(), usable || other, "{history:?}");
    }
}

#[test]
fn every_short_history_ends_in_what_both_words_say() {
    const LENGTH: u32 = 6;
    let mut history = Vec::new();
    for mut number in 0..STEPS.len().pow(LENGTH) {
        let mut run = Run {
            overlay: EffectiveList::default(),
            seen: BTreeMap::new(),
            model: Model::default(),
            now: 100,
        };
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
fn one_that_another_process_took_out_or_put_back_is_told_at_once_and_no_other() {
    let (mut here, mut there) = (EffectiveList::default(), EffectiveList::default());
    for side in [&mut here, &mut there] {
        let entries = vec![entry("a", ServiceState::Active, None), entry("b", ServiceState::Active, None)];
        side.list(ListKind::Full, entries, 5);
    }
    there.suspend("a", 10).expect("it is known");
    let told = here.adopt(there.hands().clone());
    assert_eq!(told, [entry("a", ServiceState::Draining, None)]);
    assert!(here.adopt(there.hands().clone()).is_empty());
    there.restore("a", 20).expect("it is known");
    assert_eq!(here.adopt(there.hands().clone()), [entry("a", ServiceState::Active, Some(20))]);
}

#[test]
fn what_is_remembered_has_a_bound() {
    let mut overlay = EffectiveList::default();
    let most = linentrail::effective_list::MAX_SUSPENDED;
    let names: Vec<String> = (0..=most).map(|n| format!("m{n}")).collect();
    let entries = names.iter().map(|n| entry(n, ServiceState::Active, None)).collect();
    overlay.list(ListKind::Full, entries, 0);
    for name in &names[..most] {
        assert!(overlay.suspend(name, 1).is_ok());
    }
    assert_eq!(overlay.suspend(&names[most], 1), Err(SuspensionError::TooManySuspended));
    assert!(overlay.restore(&names[0], 2).is_ok() && overlay.suspend(&names[most], 3).is_ok());
    // A day later all have left, and only those that are out are remembered.
    overlay.list(ListKind::Full, Vec::new(), 4);
    overlay.list(ListKind::Full, Vec::new(), 86_400_000_000);
    assert!(!overlay.knows(&names[0]) && overlay.knows(&names[1]));
    assert_eq!(overlay.hands().len(), most);
}

/// Two processes of one proxy, one after the other, on a machine whose clock was set back in between: what was said later
/// wins where the two are joined, as it must be once the store is read again.
#[test]
fn what_the_operators_said_last_wins_over_a_clock_that_was_set_back() {
    use linentrail::knowledge::merge_suspensions;
    let mut first = EffectiveList::default();
    first.list(ListKind::Full, vec![entry("m", ServiceState::Active, None)], 5_000);
    first.suspend("m", 5_000).expect("it is listed");
    first.restore("m", 6_000).expect("it is out");
    let stored = first.hands().clone();
    let mut second = EffectiveList::default();
    second.list(ListKind::Full, vec![entry("m", ServiceState::Active, None)], 1_000);
    second.adopt(stored.clone());
    let told = second.suspend("m", 1_500).expect("it is listed").expect("that is news");
    assert_eq!(told.member.service_state, ServiceState::Draining);
    let mut joined = stored.clone();
    merge_suspensions(&mut joined, second.hands());
    assert_eq!(joined["m"].restored_at, None, "it is out: {joined:?}");
    second.restore("m", 1_600).expect("it is out");
    let mut back = joined.clone();
    merge_suspensions(&mut back, second.hands());
    assert!(back["m"].restored_at.is_some(), "it is back: {back:?}");
}
