//! Model checking of the agreement protocol with the program's own voters and proposers. Messages to voters
//! may arrive in any order, late, repeatedly or never; answers may be lost; voters may crash, with and
//! without losing their disks. Time is reduced to two things: ticks, by which leases expire, and the timeout
//! of ballots.
//!
//! `AGREEMENT_DEPTH` sets a greater search depth than CI uses; docs/agreement.md has the figures.
#![allow(missing_docs)]

use linentrail::agreement::message::Message;
use linentrail::agreement::proposer::{Proposal, ProposalEnd, Proposer};
use linentrail::agreement::voter::{Response, Voter, Votes};
use linentrail::agreement::{
    majority, AcceptedValue, ActiveVersions, Ballot, Hash, Kind, ProxyNumber, RegisterValue, Timing, Version,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const KIND: Kind = Kind::Settings;
const VOTERS: [ProxyNumber; 3] = [1, 2, 3];
/// Messages are never repeated after a timeout: all steps of a ballot take place at time 0.
const TIMING: Timing = Timing { lease: 1_000_000, drift_ppm: 0, round: 100_000 };
/// A lease from a query sent in one tick lasts through the next tick; waiting for all leases takes 2 ticks.
const LEASE_TICKS: u8 = 2;

fn version(number: u8) -> Version {
    Version { number: u64::from(number), hash: Hash([number; 32]) }
}

fn first_accepted() -> AcceptedValue {
    let ballot = Ballot { epoch: 0, round: 1, proposer: 1, incarnation: 0 };
    AcceptedValue { ballot, value: RegisterValue { revision: 1, active: ActiveVersions::Single(version(1)) } }
}

/// One query of a proxy, with the answers that it has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Query {
    sent_in: u8,
    answers: BTreeMap<ProxyNumber, AcceptedValue>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: BTreeMap<ProxyNumber, Voter>,
    proposers: BTreeMap<ProxyNumber, Proposer>,
    /// Messages sent to voters: sender, receiver, message. They are never removed, so that each may arrive
    /// repeatedly; one that never arrives is lost.
    messages: BTreeSet<(ProxyNumber, ProxyNumber, Message)>,
    /// The value that each proxy has leased, and the tick in which its query was sent.
    leases: BTreeMap<ProxyNumber, (RegisterValue, u8)>,
    queries: BTreeMap<ProxyNumber, Query>,
    tick: u8,
    /// Revisions of changes that were seen chosen, and the tick in which that was first seen.
    seen_transitions: BTreeMap<u64, u8>,
    next_incarnation: u64,
    crashes: u8,
    disk_losses: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    Propose(ProxyNumber, Proposal),
    /// Sender, receiver, message, and whether the voter's answer arrives.
    Deliver(ProxyNumber, ProxyNumber, Message, bool),
    SendQuery(ProxyNumber),
    ReadAnswer(ProxyNumber, ProxyNumber),
    Tick,
    Crash(ProxyNumber),
    LoseDisk(ProxyNumber),
    Recover(ProxyNumber, ProxyNumber),
}

struct AgreementModel {
    proxies: [ProxyNumber; 2],
    crashes: u8,
    disk_losses: u8,
    ticks: u8,
    max_proposals: u64,
    /// The number of ticks to wait before a change is finished.
    lease_wait_ticks: u8,
    /// The number of proxies that send queries after the initial state.
    querying_proxies: usize,
    answers_may_be_lost: bool,
    /// The proxies that propose.
    proposers: &'static [ProxyNumber],
}

impl AgreementModel {
    fn proposer_advanced(
        &self,
        state: &mut State,
        from: ProxyNumber,
        progress: Result<Vec<(ProxyNumber, Message)>, ProposalEnd>,
    ) {
        match progress {
            Ok(outgoing) => outgoing.into_iter().for_each(|(to, message)| {
                state.messages.insert((from, to, message));
            }),
            Err(end) => {
                state.proposers.remove(&from);
                if let ProposalEnd::Chosen(AcceptedValue {
                    value: RegisterValue { revision, active: ActiveVersions::Transition { .. } },
                    ..
                }) = end
                {
                    state.seen_transitions.entry(revision).or_insert(state.tick);
                }
            }
        }
    }

    fn deliver(
        &self,
        state: &mut State,
        (from, to): (ProxyNumber, ProxyNumber),
        message: &Message,
        answer_arrives: bool,
    ) {
        let Some(voter) = state.voters.get_mut(&to) else { return };
        let response = match message {
            Message::Prepare { kind, ballot } => voter.prepare(from, *kind, *ballot),
            Message::Accept { kind, ballot, value } => voter.accept(from, *kind, *ballot, *value),
            _ => Response::Ignore,
        };
        // The answer is sent once the votes are on disk.
        let answer = match response {
            Response::Send(message) => Some(*message),
            Response::Write(number, _) => voter.votes_written(number).pop().map(|(_, message)| message),
            Response::Ignore => None,
        };
        let (Some(answer), true) = (answer, answer_arrives) else { return };
        let Some(proposer) = state.proposers.get_mut(&from) else { return };
        let progress = proposer.receive(to, &answer, 0, &TIMING);
        self.proposer_advanced(state, from, progress);
    }
}

impl Model for AgreementModel {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        let votes: Votes = [linentrail::agreement::voter::Vote {
            promised: first_accepted().ballot,
            accepted: first_accepted(),
        }; 2];
        vec![State {
            voters: VOTERS.iter().map(|n| (*n, Voter::new(votes))).collect(),
            proposers: BTreeMap::new(),
            messages: BTreeSet::new(),
            // Both proxies begin with a lease on the first version, from queries of this tick.
            leases: self.proxies.iter().map(|n| (*n, (first_accepted().value, 0))).collect(),
            queries: BTreeMap::new(),
            tick: 0,
            seen_transitions: BTreeMap::new(),
            next_incarnation: 1,
            crashes: 0,
            disk_losses: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<ModelAction>) {
        if state.next_incarnation <= self.max_proposals {
            let change = |to: u8| Proposal::Change { to: version(to), parent: version(1).hash };
            let second = Proposal::Change { to: version(3), parent: version(2).hash };
            for proposer in self.proposers.iter().copied().filter(|p| !state.proposers.contains_key(p)) {
                let mut proposals = vec![if proposer == 1 { change(2) } else { second }];
                for (revision, since) in &state.seen_transitions {
                    // Only when every lease on the previous version has expired.
                    if state.tick >= since + self.lease_wait_ticks {
                        proposals.push(Proposal::Finish(*revision));
                    }
                    proposals.push(Proposal::Abort(*revision));
                }
                actions
                    .extend(proposals.into_iter().map(|proposal| ModelAction::Propose(proposer, proposal)));
            }
        }
        for (from, to, message) in &state.messages {
            for answer_arrives in
                [true, false].into_iter().filter(|arrives| *arrives || self.answers_may_be_lost)
            {
                actions.push(ModelAction::Deliver(*from, *to, message.clone(), answer_arrives));
            }
        }
        for proxy in self.proxies.into_iter().take(self.querying_proxies) {
            match state.queries.get(&proxy) {
                None => actions.push(ModelAction::SendQuery(proxy)),
                Some(query) => {
                    let unread = VOTERS.iter().filter(|v| !query.answers.contains_key(v));
                    actions.extend(unread.map(|v| ModelAction::ReadAnswer(proxy, *v)));
                }
            }
        }
        if state.tick < self.ticks {
            actions.push(ModelAction::Tick);
        }
        for (n, voter) in &state.voters {
            if voter.can_vote() && state.crashes < self.crashes {
                actions.push(ModelAction::Crash(*n));
            }
            // One disk at a time: of three voters two must have their votes.
            if state.disk_losses < self.disk_losses && state.voters.values().all(Voter::can_vote) {
                actions.push(ModelAction::LoseDisk(*n));
            }
            if !voter.can_vote() {
                actions.extend(VOTERS.iter().filter(|m| *m != n).map(|m| ModelAction::Recover(*n, *m)));
            }
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut state = last.clone();
        match action {
            ModelAction::Propose(n, proposal) => {
                let mut proposer = Proposer::new(
                    (KIND, n, state.next_incarnation),
                    VOTERS.to_vec(),
                    proposal,
                    // The proposer is assumed to have heard of all ballots. One that has not is only
                    // rejected, which leads to no new states.
                    Ballot { round: state.next_incarnation as u32, ..first_accepted().ballot },
                    (0, 1),
                );
                state.next_incarnation += 1;
                let progress = proposer.tick(0, &TIMING);
                state.proposers.insert(n, proposer);
                self.proposer_advanced(&mut state, n, progress);
            }
            ModelAction::Deliver(from, to, message, answer_arrives) => {
                self.deliver(&mut state, (from, to), &message, answer_arrives);
            }
            ModelAction::SendQuery(proxy) => {
                state.queries.insert(proxy, Query { sent_in: state.tick, answers: BTreeMap::new() });
            }
            ModelAction::ReadAnswer(proxy, voter) => {
                let accepted = state.voters.get(&voter)?.accepted()?[KIND.index()];
                let query = state.queries.get_mut(&proxy)?;
                query.answers.insert(voter, accepted);
                let same = query.answers.values().filter(|a| **a == accepted).count();
                let (sent_in, all_answered) = (query.sent_in, query.answers.len() == VOTERS.len());
                if same >= majority(VOTERS.len()) {
                    let held = state.leases.get(&proxy).map_or(0, |(value, _)| value.revision);
                    if accepted.value.revision >= held {
                        state.leases.insert(proxy, (accepted.value, sent_in));
                    }
                    if let RegisterValue { revision, active: ActiveVersions::Transition { .. } } =
                        accepted.value
                    {
                        state.seen_transitions.entry(revision).or_insert(state.tick);
                    }
                    state.queries.remove(&proxy);
                } else if all_answered {
                    state.queries.remove(&proxy);
                }
            }
            ModelAction::Tick => {
                state.tick += 1;
                let now = state.tick;
                // Queries and leases expire.
                state.queries.retain(|_, q| now < q.sent_in + LEASE_TICKS);
                state.leases.retain(|_, (_, sent_in)| now < *sent_in + LEASE_TICKS);
            }
            ModelAction::Crash(n) => {
                state.crashes += 1;
                let durable = *state.voters.get(&n)?.durable();
                state.voters.insert(n, Voter::new(durable));
                state.proposers.remove(&n);
            }
            ModelAction::LoseDisk(n) => {
                state.disk_losses += 1;
                state.voters.insert(n, Voter::recovering(Votes::default(), 0));
                state.proposers.remove(&n);
                // The voter waits until all ballots from before the loss have timed out, so that their
                // proposers are gone.
                state.proposers.clear();
            }
            ModelAction::Recover(n, from) => {
                let report = state.voters.get(&from)?.accepted()?;
                let voter = state.voters.get_mut(&n)?;
                if voter.learn_from(from, report, (VOTERS.len(), &TIMING, TIMING.ballot_timeout())).is_some()
                {
                    voter.recovery_written();
                }
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("no two proxies act on conflicting versions", |_, state| {
                let all: Vec<&RegisterValue> = state.leases.values().map(|(value, _)| value).collect();
                all.iter().all(|one| all.iter().all(|other| one.active.shares_version_with(&other.active)))
            }),
            Property::<Self>::sometimes("a change is in force", |_, state| {
                state.leases.values().any(|(value, _)| value.active == ActiveVersions::Single(version(2)))
            }),
            Property::<Self>::sometimes("a change is aborted", |_, state| {
                let aborted =
                    |v: &RegisterValue| v.revision > 2 && v.active == ActiveVersions::Single(version(1));
                state.leases.values().any(|(value, _)| aborted(value))
            }),
        ]
    }
}

fn depth(default: usize) -> usize {
    std::env::var("AGREEMENT_DEPTH").ok().and_then(|d| d.parse().ok()).unwrap_or(default)
}

/// Explores the model up to a depth and prints the number of states. Returns the actions that lead to
/// conflicting leases, if any were found.
fn explore(name: &str, model: AgreementModel, depth: usize) -> Option<Vec<ModelAction>> {
    let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let (all, unique) = (checker.state_count(), checker.unique_state_count());
    println!("{name}: {all} states, {unique} of them unique, depth {}", checker.max_depth());
    assert!(unique > 1_000);
    let found = checker.discovery("no two proxies act on conflicting versions");
    found.map(|path| path.into_actions())
}

/// Two proposers, two querying proxies, lost answers, and no other fault.
fn two_proposers() -> AgreementModel {
    AgreementModel {
        proxies: [4, 5],
        crashes: 0,
        disk_losses: 0,
        ticks: 2,
        max_proposals: 2,
        lease_wait_ticks: LEASE_TICKS,
        querying_proxies: 2,
        answers_may_be_lost: true,
        proposers: &[1, 2],
    }
}

/// One change by one proposer, observed by one querying proxy.
fn one_change() -> AgreementModel {
    AgreementModel { querying_proxies: 1, answers_may_be_lost: false, proposers: &[1], ..two_proposers() }
}

#[test]
fn no_conflicting_leases_in_any_order_of_messages() {
    assert_eq!(explore("no faults", two_proposers(), depth(9)), None);
}

#[test]
fn no_conflicting_leases_when_voters_crash_or_lose_their_disks() {
    assert_eq!(
        explore("crashes", AgreementModel { crashes: 1, disk_losses: 1, ..two_proposers() }, depth(8)),
        None
    );
}

#[test]
fn no_conflicting_leases_during_one_whole_change() {
    assert_eq!(explore("one change", one_change(), depth(12)), None);
}

#[test]
fn finishing_a_change_without_waiting_for_leases_is_detected() {
    let model = AgreementModel { ticks: 0, lease_wait_ticks: 0, ..one_change() };
    assert!(
        explore("planted fault", model, 15).is_some(),
        "one proxy acts on the new version while the other acts on the old one"
    );
}
