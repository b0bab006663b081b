//! A proposer (Paxos): it runs ballots until its proposal is decided. In phase 1 a majority of the voters
//! promises to accept nothing below the ballot, and reports what it has accepted. In phase 2 the proposer
//! asks the voters to accept a value: the last accepted one with the proposal applied or, for a repair,
//! unchanged. Concurrent proposers can make each other's ballots fail; a random backoff lets one of them
//! succeed.

use super::message::Message;
use super::{
    majority, AcceptedValue, ActiveVersions, Ballot, Hash, Kind, ProxyNumber, RegisterValue, Timing, Version,
};
use crate::interface::Time;
use crate::policy::state::hash_fraction;
use std::collections::{BTreeMap, BTreeSet};

/// An operation on the agreed value, for which a proposer runs ballots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Proposal {
    /// Begin a change to this version. The first version comes into force at once and needs no parent.
    Change {
        /// The new version.
        to: Version,
        /// The hash of the version that it replaces.
        parent: Hash,
    },
    /// Complete the change of this revision: all leases on what was in force before it have expired.
    Finish(u64),
    /// Revert the change of this revision.
    Abort(u64),
    /// Complete a ballot that was abandoned halfway, with whatever value it finds.
    Repair,
}

/// Why a proposal failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalError {
    /// Another change is under way.
    ChangePending(RegisterValue),
    /// The proposed version does not follow the one in force.
    StaleParent(RegisterValue),
    /// The change to be finished or aborted is no longer the current one.
    StaleRevision(RegisterValue),
    /// No majority of the voters could be reached in time.
    NoMajority,
}

impl Proposal {
    /// The value that this proposal puts in place of the current one.
    ///
    /// # Errors
    /// When the proposal cannot be applied to the current value.
    pub fn apply(&self, current: &RegisterValue) -> Result<RegisterValue, ProposalError> {
        match (*self, current.active) {
            (Proposal::Repair, _) => Ok(*current),
            // The change was made by an earlier attempt, whose answer was lost.
            (Proposal::Change { to, .. }, ActiveVersions::Single(version)) if version == to => Ok(*current),
            (Proposal::Change { to, .. }, ActiveVersions::Transition { to: other, .. }) if other == to => {
                Ok(*current)
            }
            (Proposal::Change { .. }, ActiveVersions::Transition { .. }) => {
                Err(ProposalError::ChangePending(*current))
            }
            (Proposal::Change { to, .. }, ActiveVersions::Nothing) if to.number == 1 => {
                Ok(current.next(ActiveVersions::Single(to)))
            }
            (Proposal::Change { to, parent }, ActiveVersions::Single(from))
                if parent == from.hash && to.number == from.number + 1 =>
            {
                Ok(current.next(ActiveVersions::Transition { from, to }))
            }
            (Proposal::Change { .. }, _) => Err(ProposalError::StaleParent(*current)),
            (Proposal::Finish(revision), ActiveVersions::Transition { to, .. })
                if revision == current.revision =>
            {
                Ok(current.next(ActiveVersions::Single(to)))
            }
            (Proposal::Abort(revision), ActiveVersions::Transition { from, .. })
                if revision == current.revision =>
            {
                Ok(current.next(ActiveVersions::Single(from)))
            }
            (Proposal::Finish(_) | Proposal::Abort(_), _) => Err(ProposalError::StaleRevision(*current)),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// The next ballot begins at this time.
    Backoff(Time),
    Prepare(BTreeMap<ProxyNumber, AcceptedValue>),
    Accept(RegisterValue, BTreeSet<ProxyNumber>),
}

/// How a proposal ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposalEnd {
    /// This value was chosen, in this ballot.
    Chosen(AcceptedValue),
    /// The proposal failed.
    Failed(ProposalError),
}

/// Messages to be sent, with their receivers.
pub type Outgoing = Vec<(ProxyNumber, Message)>;

/// Runs ballots for one proposal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer {
    kind: Kind,
    me: ProxyNumber,
    incarnation: u64,
    voters: Vec<ProxyNumber>,
    proposal: Proposal,
    ballot: Ballot,
    phase: Phase,
    /// When the ballot began.
    began: Time,
    /// When the ballot's messages were last sent.
    last_sent: Time,
    /// When the proposal is given up.
    until: Time,
    /// The highest ballot that this proposer has used or heard of.
    highest_ballot: Ballot,
    failed_ballots: u64,
}

impl Proposer {
    /// Creates a proposer that begins its first ballot at the next tick and gives up after `until`.
    /// `highest_ballot` is the highest ballot that this incarnation of the proxy has used or heard of.
    pub fn new(
        (kind, me, incarnation): (Kind, ProxyNumber, u64),
        voters: Vec<ProxyNumber>,
        proposal: Proposal,
        highest_ballot: Ballot,
        (now, until): (Time, Time),
    ) -> Self {
        Proposer {
            kind,
            me,
            incarnation,
            voters,
            proposal,
            ballot: Ballot::default(),
            phase: Phase::Backoff(now),
            began: now,
            last_sent: now,
            until,
            highest_ballot,
            failed_ballots: 0,
        }
    }

    /// The highest ballot that this proposer has used or heard of.
    pub fn highest_ballot(&self) -> Ballot {
        self.highest_ballot
    }

    /// The proposal that the ballots are for.
    pub fn proposal(&self) -> Proposal {
        self.proposal
    }

    /// The voters that have not answered in the current phase.
    pub fn awaited_voters(&self) -> Vec<ProxyNumber> {
        let has_answered = |voter: &ProxyNumber| match &self.phase {
            Phase::Backoff(_) => false,
            Phase::Prepare(promised) => promised.contains_key(voter),
            Phase::Accept(_, accepted) => accepted.contains(voter),
        };
        self.voters.iter().copied().filter(|voter| !has_answered(voter)).collect()
    }

    fn phase_message(&self) -> Option<Message> {
        let (kind, ballot) = (self.kind, self.ballot);
        match &self.phase {
            Phase::Backoff(_) => None,
            Phase::Prepare(_) => Some(Message::Prepare { kind, ballot }),
            Phase::Accept(value, _) => Some(Message::Accept { kind, ballot, value: *value }),
        }
    }

    fn send_to_awaited(&mut self, now: Time) -> Outgoing {
        self.last_sent = now;
        let Some(message) = self.phase_message() else { return Vec::new() };
        self.awaited_voters().into_iter().map(|voter| (voter, message.clone())).collect()
    }

    /// Abandons the ballot. The next one begins after a random delay, whose maximum grows with the number of
    /// failed ballots up to 8 round trips.
    fn back_off(&mut self, now: Time, timing: &Timing) {
        self.failed_ballots += 1;
        let max_delay = timing.round * self.failed_ballots.min(8);
        let delay = (max_delay as f64 * hash_fraction(u64::from(self.me), now, self.failed_ballots)) as Time;
        self.phase = Phase::Backoff(now + delay);
    }

    /// Begins ballots, resends messages and detects timeouts, as due at `now`. Returns messages to be sent,
    /// or how the proposal ended.
    pub fn tick(&mut self, now: Time, timing: &Timing) -> Result<Outgoing, ProposalEnd> {
        if now >= self.until {
            return Err(ProposalEnd::Failed(ProposalError::NoMajority));
        }
        match self.phase {
            Phase::Backoff(at) if now >= at => {
                let round = self.highest_ballot.round + 1;
                self.ballot = Ballot {
                    epoch: self.highest_ballot.epoch,
                    round,
                    proposer: self.me,
                    incarnation: self.incarnation,
                };
                (self.highest_ballot, self.phase, self.began) =
                    (self.ballot, Phase::Prepare(BTreeMap::new()), now);
                Ok(self.send_to_awaited(now))
            }
            Phase::Backoff(_) => Ok(Vec::new()),
            // The limit is part of the protocol: a voter that has lost its promise votes again after this
            // time.
            _ if now >= self.began + timing.ballot_timeout() => {
                self.back_off(now, timing);
                Ok(Vec::new())
            }
            _ if now >= self.last_sent + timing.round => Ok(self.send_to_awaited(now)),
            _ => Ok(Vec::new()),
        }
    }

    /// When [`Proposer::tick`] has to be called next.
    pub fn next_wakeup(&self, timing: &Timing) -> Time {
        match self.phase {
            Phase::Backoff(at) => at.min(self.until),
            _ => (self.last_sent + timing.round).min(self.began + timing.ballot_timeout()).min(self.until),
        }
    }

    /// Handles a voter's answer. Returns messages to be sent, or how the proposal ended.
    pub fn receive(
        &mut self,
        from: ProxyNumber,
        message: &Message,
        now: Time,
        timing: &Timing,
    ) -> Result<Outgoing, ProposalEnd> {
        if !self.voters.contains(&from) || now >= self.began + timing.ballot_timeout() {
            return Ok(Vec::new());
        }
        let quorum = majority(self.voters.len());
        match (message, &mut self.phase) {
            (Message::Rejected { kind, ballot, promised }, _) if *kind == self.kind => {
                self.highest_ballot = self.highest_ballot.max(*promised);
                if *ballot == self.ballot && !matches!(self.phase, Phase::Backoff(_)) {
                    self.back_off(now, timing);
                }
                Ok(Vec::new())
            }
            (Message::Promise { kind, ballot, accepted }, Phase::Prepare(promised))
                if *kind == self.kind && *ballot == self.ballot =>
            {
                promised.insert(from, *accepted);
                if promised.len() < quorum {
                    return Ok(Vec::new());
                }
                let last = promised.values().max_by_key(|a| a.ballot).copied().unwrap_or_default();
                let value = self.proposal.apply(&last.value).map_err(ProposalEnd::Failed)?;
                self.phase = Phase::Accept(value, BTreeSet::new());
                Ok(self.send_to_awaited(now))
            }
            (Message::Accepted { kind, ballot }, Phase::Accept(value, accepted))
                if *kind == self.kind && *ballot == self.ballot =>
            {
                accepted.insert(from);
                if accepted.len() < quorum {
                    return Ok(Vec::new());
                }
                Err(ProposalEnd::Chosen(AcceptedValue { ballot: *ballot, value: *value }))
            }
            _ => Ok(Vec::new()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::voter::{Response, Voter, Votes};

    const KIND: Kind = Kind::Settings;
    const TIMING: Timing = Timing { lease: 800_000, drift_ppm: 10_000, round: 50_000 };

    fn version(number: u64) -> Version {
        Version { number, hash: Hash([number as u8; 32]) }
    }

    fn change(number: u64) -> Proposal {
        Proposal::Change { to: version(number), parent: Hash([number as u8 - 1; 32]) }
    }

    fn proposer(me: ProxyNumber, proposal: Proposal, now: Time) -> Proposer {
        use std::sync::atomic::{AtomicU64, Ordering};
        // Each proposer gets an incarnation of its own, so that all ballots are different.
        static INCARNATION: AtomicU64 = AtomicU64::new(1);
        let incarnation = INCARNATION.fetch_add(1, Ordering::Relaxed);
        Proposer::new(
            (KIND, me, incarnation),
            vec![1, 2, 3],
            proposal,
            Ballot::default(),
            (now, now + 10_000_000),
        )
    }

    /// Three voters that answer at once.
    struct ThreeVoters(Vec<Voter>);

    impl ThreeVoters {
        fn new() -> Self {
            ThreeVoters((0..3).map(|_| Voter::new(Votes::default())).collect())
        }

        fn answer(&mut self, me: ProxyNumber, to: ProxyNumber, message: &Message) -> Option<Message> {
            let voter = &mut self.0[to as usize - 1];
            let response = match message {
                Message::Prepare { kind, ballot } => voter.prepare(me, *kind, *ballot),
                Message::Accept { kind, ballot, value } => voter.accept(me, *kind, *ballot, *value),
                _ => Response::Ignore,
            };
            match response {
                Response::Send(message) => Some(*message),
                Response::Write(number, _) => voter.votes_written(number).pop().map(|(_, message)| message),
                Response::Ignore => None,
            }
        }

        /// Runs a proposer until its proposal ends; the voters in `unreachable` receive nothing.
        fn run(
            &mut self,
            proposer: &mut Proposer,
            unreachable: &[ProxyNumber],
            mut now: Time,
        ) -> (ProposalEnd, Time) {
            loop {
                let mut outgoing = match proposer.tick(now, &TIMING) {
                    Ok(outgoing) => outgoing,
                    Err(end) => return (end, now),
                };
                while let Some((to, message)) = outgoing.pop() {
                    if unreachable.contains(&to) {
                        continue;
                    }
                    let Some(answer) = self.answer(proposer.me, to, &message) else { continue };
                    match proposer.receive(to, &answer, now, &TIMING) {
                        Ok(more) => outgoing.extend(more),
                        Err(end) => return (end, now),
                    }
                }
                now = proposer.next_wakeup(&TIMING).max(now + 1);
            }
        }
    }

    fn chosen(end: ProposalEnd) -> RegisterValue {
        let ProposalEnd::Chosen(accepted) = end else { panic!("{end:?}") };
        accepted.value
    }

    #[test]
    fn change_goes_through_a_transition_with_one_voter_unreachable() {
        let mut voters = ThreeVoters::new();
        let first = chosen(voters.run(&mut proposer(1, change(1), 0), &[2], 0).0);
        assert_eq!(first, RegisterValue { revision: 1, active: ActiveVersions::Single(version(1)) });
        let transition = chosen(voters.run(&mut proposer(2, change(2), 0), &[1], 0).0);
        assert_eq!(transition, first.next(ActiveVersions::Transition { from: version(1), to: version(2) }));
        // Another change is refused meanwhile; proposing the same one again succeeds without a further
        // change.
        let other =
            Proposal::Change { to: Version { number: 2, hash: Hash([9; 32]) }, parent: version(1).hash };
        assert_eq!(
            voters.run(&mut proposer(3, other, 0), &[], 0).0,
            ProposalEnd::Failed(ProposalError::ChangePending(transition))
        );
        assert_eq!(chosen(voters.run(&mut proposer(3, change(2), 0), &[], 0).0), transition);
        let last = chosen(voters.run(&mut proposer(3, Proposal::Finish(2), 0), &[3], 0).0);
        assert_eq!(last, transition.next(ActiveVersions::Single(version(2))));
        assert_eq!(
            voters.run(&mut proposer(1, Proposal::Finish(2), 0), &[], 0).0,
            ProposalEnd::Failed(ProposalError::StaleRevision(last))
        );
        assert_eq!(
            voters.run(&mut proposer(1, other, 0), &[], 0).0,
            ProposalEnd::Failed(ProposalError::StaleParent(last))
        );
    }

    #[test]
    fn repeated_change_after_an_abort_has_another_revision() {
        let mut voters = ThreeVoters::new();
        chosen(voters.run(&mut proposer(1, change(1), 0), &[], 0).0);
        let transition = chosen(voters.run(&mut proposer(1, change(2), 0), &[], 0).0);
        let aborted = chosen(voters.run(&mut proposer(1, Proposal::Abort(transition.revision), 0), &[], 0).0);
        assert_eq!(aborted.active, ActiveVersions::Single(version(1)));
        let repeated = chosen(voters.run(&mut proposer(1, change(2), 0), &[], 0).0);
        assert_eq!((repeated.active, repeated.revision), (transition.active, transition.revision + 2));
        // A proposer that waited for the leases before the first change must not finish the second.
        let late = voters.run(&mut proposer(2, Proposal::Finish(transition.revision), 0), &[], 0).0;
        assert_eq!(late, ProposalEnd::Failed(ProposalError::StaleRevision(repeated)));
    }

    #[test]
    fn value_accepted_by_a_single_voter_is_found_and_chosen() {
        let mut voters = ThreeVoters::new();
        chosen(voters.run(&mut proposer(1, change(1), 0), &[], 0).0);
        // The proposer crashes after its accept message has reached a single voter.
        let mut crashed = proposer(2, change(2), 0);
        let outgoing = crashed.tick(0, &TIMING).expect("the ballot begins");
        let mut accepts = Vec::new();
        for (to, message) in outgoing {
            let promise = voters.answer(2, to, &message).expect("a promise");
            accepts.extend(crashed.receive(to, &promise, 0, &TIMING).expect("the ballot continues"));
        }
        let (to, accept) = accepts.first().expect("an accept message").clone();
        voters.answer(2, to, &accept);
        let others: Vec<ProxyNumber> = (1..=3).filter(|n| *n != to).collect();
        let repaired = chosen(voters.run(&mut proposer(3, Proposal::Repair, 0), &others[..1], 0).0);
        assert_eq!(repaired.active, ActiveVersions::Transition { from: version(1), to: version(2) });
    }

    #[test]
    fn proposal_without_a_majority_fails_in_time_and_late_answers_to_a_ballot_are_ignored() {
        let mut voters = ThreeVoters::new();
        let mut isolated = proposer(1, change(1), 0);
        let (end, at) = voters.run(&mut isolated, &[2, 3], 0);
        assert_eq!((end, at), (ProposalEnd::Failed(ProposalError::NoMajority), 10_000_000));
        assert!(isolated.failed_ballots > 10, "{}", isolated.failed_ballots);
        let mut slow = proposer(2, change(1), 0);
        slow.tick(0, &TIMING).expect("the ballot begins");
        let promise =
            Message::Promise { kind: KIND, ballot: slow.ballot, accepted: AcceptedValue::default() };
        for voter in 1..=3 {
            let late = slow.receive(voter, &promise, TIMING.ballot_timeout(), &TIMING);
            assert_eq!(late, Ok(Vec::new()), "the ballot has timed out");
        }
    }
}
