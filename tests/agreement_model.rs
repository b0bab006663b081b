//! The protocol of agreement, explored: the very voters and ballots of the program in all orders in which what is said to a
//! voter may come, be lost, come twice or late, with answers that arrive or do not, and with voters that crash with and
//! without their disks. Time is two things here: what a lease may outlast, and what a ballot may.
//!
//! `AGREEMENT_DEPTH` goes deeper than CI does; docs/agreement.md has the figures.
#![allow(missing_docs)]

use linentrail::agreement::message::Message;
use linentrail::agreement::proposer::{End, Goal, Proposer};
use linentrail::agreement::voter::{Said, Voter, Votes};
use linentrail::agreement::{
    majority, Accepted, Ballot, Hash, Holds, Kind, ProxyNumber, Standing, Timing, Version,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const KIND: Kind = Kind::Settings;
const VOTERS: [ProxyNumber; 3] = [1, 2, 3];
/// Rounds are long: what is not answered is lost, and said again by nobody.
const TIMES: Timing = Timing { lease: 1_000_000, drift_ppm: 0, round: 100_000 };
/// A lease that was asked for in one tick lasts through the next; who waits for all leases waits two.
const LASTS: u8 = 2;

fn version(number: u8) -> Version {
    Version { number: u64::from(number), hash: Hash([number; 32]) }
}

fn holds_first() -> Accepted {
    let ballot = Ballot { epoch: 0, round: 1, by: 1, start: 0 };
    Accepted { ballot, standing: Standing { turn: 1, holds: Holds::One(version(1)) } }
}

/// What one proxy has read of voters in answer to one question.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    asked: u8,
    told: BTreeMap<ProxyNumber, Accepted>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: BTreeMap<ProxyNumber, Voter>,
    proposing: BTreeMap<ProxyNumber, Proposer>,
    /// What was said to voters. Never taken away: any of it may come again. That it does not come is its loss.
    letters: BTreeSet<(ProxyNumber, ProxyNumber, Message)>,
    /// What the proxies hold, by whom: the standing, and the tick in which its question was asked.
    leases: BTreeMap<ProxyNumber, (Standing, u8)>,
    questions: BTreeMap<ProxyNumber, Question>,
    tick: u8,
    /// Turns that were seen chosen as changes, and when first by the one who would finish them.
    seen: BTreeMap<u64, u8>,
    starts: u64,
    crashes: u8,
    lost: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Begin(ProxyNumber, Goal),
    /// From, to, what; whether the voter's answer arrives.
    Deliver(ProxyNumber, ProxyNumber, Message, bool),
    Ask(ProxyNumber),
    Read(ProxyNumber, ProxyNumber),
    Tick,
    Crash(ProxyNumber),
    Lose(ProxyNumber),
    Relearn(ProxyNumber, ProxyNumber),
}

struct World {
    proxies: [ProxyNumber; 2],
    crashes: u8,
    lost: u8,
    ticks: u8,
    ballots: u64,
    /// Ticks that are waited before a change takes effect.
    waits: u8,
    /// Those of the proxies that ask anew, and whether answers can be lost.
    asks: usize,
    loses: bool,
    /// Those who propose.
    proposers: &'static [ProxyNumber],
}

impl World {
    fn carry(&self, state: &mut State, from: ProxyNumber, said: Result<Vec<(ProxyNumber, Message)>, End>) {
        match said {
            Ok(say) => say.into_iter().for_each(|(to, message)| {
                state.letters.insert((from, to, message));
            }),
            Err(end) => {
                state.proposing.remove(&from);
                if let End::Chosen(Accepted {
                    standing: Standing { turn, holds: Holds::Between { .. } },
                    ..
                }) = end
                {
                    state.seen.entry(turn).or_insert(state.tick);
                }
            }
        }
    }

    fn deliver(
        &self,
        state: &mut State,
        (from, to): (ProxyNumber, ProxyNumber),
        message: &Message,
        heard: bool,
    ) {
        let Some(voter) = state.voters.get_mut(&to) else { return };
        let said = match message {
            Message::Prepare { kind, ballot } => voter.prepare(from, *kind, *ballot),
            Message::Accept { kind, ballot, standing } => voter.accept(from, *kind, *ballot, *standing),
            _ => Said::Nothing,
        };
        // Once it is on the disk.
        let answer = match said {
            Said::Now(message) => Some(*message),
            Said::Write(number, _) => voter.written(number).pop().map(|(_, message)| message),
            Said::Nothing => None,
        };
        let (Some(answer), true) = (answer, heard) else { return };
        let Some(proposer) = state.proposing.get_mut(&from) else { return };
        let said = proposer.hear(to, &answer, 0, &TIMES);
        self.carry(state, from, said);
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let votes: Votes =
            [linentrail::agreement::voter::Vote { promised: holds_first().ballot, accepted: holds_first() };
                2];
        vec![State {
            voters: VOTERS.iter().map(|n| (*n, Voter::new(votes))).collect(),
            proposing: BTreeMap::new(),
            letters: BTreeSet::new(),
            // Both act on the first version, by questions of this tick.
            leases: self.proxies.iter().map(|n| (*n, (holds_first().standing, 0))).collect(),
            questions: BTreeMap::new(),
            tick: 0,
            seen: BTreeMap::new(),
            starts: 1,
            crashes: 0,
            lost: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.starts <= self.ballots {
            let change = |to: u8| Goal::Change { to: version(to), parent: version(1).hash };
            let second = Goal::Change { to: version(3), parent: version(2).hash };
            for proposer in self.proposers.iter().copied().filter(|p| !state.proposing.contains_key(p)) {
                let mut goals = vec![if proposer == 1 { change(2) } else { second }];
                for (turn, since) in &state.seen {
                    // Only when every lease on what was before has surely run out.
                    if state.tick >= since + self.waits {
                        goals.push(Goal::Finish(*turn));
                    }
                    goals.push(Goal::Abort(*turn));
                }
                actions.extend(goals.into_iter().map(|goal| Step::Begin(proposer, goal)));
            }
        }
        for (from, to, message) in &state.letters {
            for heard in [true, false].into_iter().filter(|heard| *heard || self.loses) {
                actions.push(Step::Deliver(*from, *to, message.clone(), heard));
            }
        }
        for proxy in self.proxies.into_iter().take(self.asks) {
            match state.questions.get(&proxy) {
                None => actions.push(Step::Ask(proxy)),
                Some(question) => {
                    let unread = VOTERS.iter().filter(|v| !question.told.contains_key(v));
                    actions.extend(unread.map(|v| Step::Read(proxy, *v)));
                }
            }
        }
        if state.tick < self.ticks {
            actions.push(Step::Tick);
        }
        for (n, voter) in &state.voters {
            if voter.remembers() && state.crashes < self.crashes {
                actions.push(Step::Crash(*n));
            }
            // One at a time: of three, two must remember.
            if state.lost < self.lost && state.voters.values().all(Voter::remembers) {
                actions.push(Step::Lose(*n));
            }
            if !voter.remembers() {
                actions.extend(VOTERS.iter().filter(|m| *m != n).map(|m| Step::Relearn(*n, *m)));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Begin(who, goal) => {
                let mut proposer = Proposer::new(
                    (KIND, who, state.starts),
                    VOTERS.to_vec(),
                    goal,
                    // It has heard of all ballots: those who have not are denied, which brings nothing new.
                    Ballot { round: state.starts as u32, ..holds_first().ballot },
                    (0, 1),
                );
                state.starts += 1;
                let said = proposer.tick(0, &TIMES);
                state.proposing.insert(who, proposer);
                self.carry(&mut state, who, said);
            }
            Step::Deliver(from, to, message, heard) => {
                self.deliver(&mut state, (from, to), &message, heard);
            }
            Step::Ask(proxy) => {
                state.questions.insert(proxy, Question { asked: state.tick, told: BTreeMap::new() });
            }
            Step::Read(proxy, voter) => {
                let accepted = state.voters.get(&voter)?.accepted()?[KIND.at()];
                let question = state.questions.get_mut(&proxy)?;
                question.told.insert(voter, accepted);
                let same = question.told.values().filter(|a| **a == accepted).count();
                let (asked, all) = (question.asked, question.told.len() == VOTERS.len());
                if same >= majority(VOTERS.len()) {
                    let held = state.leases.get(&proxy).map_or(0, |(standing, _)| standing.turn);
                    if accepted.standing.turn >= held {
                        state.leases.insert(proxy, (accepted.standing, asked));
                    }
                    if let Standing { turn, holds: Holds::Between { .. } } = accepted.standing {
                        state.seen.entry(turn).or_insert(state.tick);
                    }
                    state.questions.remove(&proxy);
                } else if all {
                    state.questions.remove(&proxy);
                }
            }
            Step::Tick => {
                state.tick += 1;
                let now = state.tick;
                // Questions and leases that are too old count for nothing.
                state.questions.retain(|_, q| now < q.asked + LASTS);
                state.leases.retain(|_, (_, asked)| now < *asked + LASTS);
            }
            Step::Crash(n) => {
                state.crashes += 1;
                let durable = *state.voters.get(&n)?.durable();
                state.voters.insert(n, Voter::new(durable));
                state.proposing.remove(&n);
            }
            Step::Lose(n) => {
                state.lost += 1;
                state.voters.insert(n, Voter::forgetful(Votes::default(), 0));
                state.proposing.remove(&n);
                // It waits until no ballot of before is still open: they end by time.
                state.proposing.clear();
            }
            Step::Relearn(n, from) => {
                let told = state.voters.get(&from)?.accepted()?;
                let voter = state.voters.get_mut(&n)?;
                if voter.learn(from, told, (VOTERS.len(), &TIMES, TIMES.ballot())).is_some() {
                    voter.learned();
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no two act by versions that contradict each other", |_, state| {
                let all: Vec<&Standing> = state.leases.values().map(|(standing, _)| standing).collect();
                all.iter().all(|one| all.iter().all(|other| one.holds.agrees(&other.holds)))
            }),
            Property::<Self>::sometimes("a change is in force", |_, state| {
                state.leases.values().any(|(standing, _)| standing.holds == Holds::One(version(2)))
            }),
            Property::<Self>::sometimes("a change is taken back", |_, state| {
                let back = |s: &Standing| s.turn > 2 && s.holds == Holds::One(version(1));
                state.leases.values().any(|(standing, _)| back(standing))
            }),
        ]
    }
}

fn depth(or: usize) -> usize {
    std::env::var("AGREEMENT_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(or)
}

/// Checks to a depth; what was found against the rule, if anything. Prints what was explored.
fn explore(name: &str, world: World, depth: usize) -> Option<Vec<Step>> {
    let checker = world.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let (all, unlike) = (checker.state_count(), checker.unique_state_count());
    println!("{name}: {all} states, {unlike} of them unlike, depth {}", checker.max_depth());
    assert!(unlike > 1_000);
    let found = checker.discovery("no two act by versions that contradict each other");
    found.map(|path| path.into_actions())
}

/// Two who propose, two who ask, answers that are lost, and no other fault.
fn world() -> World {
    World {
        proxies: [4, 5],
        crashes: 0,
        lost: 0,
        ticks: 2,
        ballots: 2,
        waits: LASTS,
        asks: 2,
        loses: true,
        proposers: &[1, 2],
    }
}

/// One change by one proposer, as one proxy sees it.
fn one_change() -> World {
    World { asks: 1, loses: false, proposers: &[1], ..world() }
}

#[test]
fn in_all_orders_of_messages_no_two_contradict_each_other() {
    assert_eq!(explore("no faults", world(), depth(9)), None);
}

#[test]
fn voters_that_crash_with_and_without_their_disks_break_nothing() {
    assert_eq!(explore("crashes", World { crashes: 1, lost: 1, ..world() }, depth(8)), None);
}

#[test]
fn one_change_from_its_beginning_on_is_explored_whole() {
    assert_eq!(explore("one change", one_change(), depth(12)), None);
}

#[test]
fn one_that_does_not_wait_for_the_leases_is_found_out() {
    let world = World { ticks: 0, waits: 0, ..one_change() };
    assert!(
        explore("planted", world, 15).is_some(),
        "it acts on a new version beside one that acts on the old"
    );
}
