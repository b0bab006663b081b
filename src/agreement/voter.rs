//! A voter (a Paxos acceptor): what it has promised and accepted, and how it answers. It answers only after its
//! votes are on disk, as a promise that a crash could undo would be worthless.
//!
//! A voter whose disk may have lost promises does not vote until it can no longer break any of them. It learns from
//! the other voters what it may have accepted: a value chosen with its vote was accepted by a majority, of which
//! only its own vote is lost, so that among as many other voters as form a majority at least one has the value. It
//! waits until what it may have promised no longer matters: a proposer abandons a ballot after a timeout and does
//! not resume it.

use super::message::Message;
use super::{majority, AcceptedValue, Ballot, Kind, ProxyNumber, RegisterValue, Timing};
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A voter's state for one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Vote {
    /// The voter accepts nothing below this ballot.
    pub promised: Ballot,
    /// What it has accepted last.
    pub accepted: AcceptedValue,
}

/// All state that must survive the process, by kind.
pub type Votes = [Vote; 2];

/// Encodes votes for the store.
pub fn encode(votes: &Votes) -> Vec<u8> {
    postcard::to_extend(votes, Vec::new()).unwrap_or_default()
}

/// Decodes votes; `None` when the bytes are not valid.
pub fn decode(bytes: &[u8]) -> Option<Votes> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(votes, _)| votes)
}

/// The maximum number of answers that wait for the disk.
const MAX_PENDING_REPLIES: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingReply {
    write: u64,
    votes: Votes,
    to: ProxyNumber,
    reply: Message,
}

/// The progress of a voter that may have lost votes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Recovery {
    since: Time,
    reports: BTreeMap<ProxyNumber, [AcceptedValue; 2]>,
    /// Enough voters have reported, and the recovered votes are being written.
    writing: bool,
}

/// The voter of one proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    /// The latest votes, including those that are not on disk yet.
    votes: Votes,
    /// The votes that are known to be on disk.
    durable: Votes,
    last_write: u64,
    pending: VecDeque<PendingReply>,
    recovery: Option<Recovery>,
}

/// How a voter responds to a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// Send this answer now.
    Send(Box<Message>),
    /// Write these votes, then call [`Voter::votes_written`] with the number of the write, which returns the answer.
    Write(u64, Box<Votes>),
    /// Do nothing.
    Ignore,
}

impl Voter {
    /// Creates a voter with the votes that are on its disk.
    pub fn new(votes: Votes) -> Self {
        Voter { votes, durable: votes, last_write: 0, pending: VecDeque::new(), recovery: None }
    }

    /// Creates a voter that may have lost votes; `votes` is what is left of them.
    pub fn recovering(votes: Votes, now: Time) -> Self {
        let recovery = Some(Recovery { since: now, reports: BTreeMap::new(), writing: false });
        Voter { recovery, ..Voter::new(votes) }
    }

    /// Whether it may vote: false while it recovers lost votes.
    pub fn can_vote(&self) -> bool {
        self.recovery.is_none()
    }

    /// The votes that are on its disk.
    pub fn durable(&self) -> &Votes {
        &self.durable
    }

    /// The highest ballot that it has promised.
    pub fn highest_ballot(&self, kind: Kind) -> Ballot {
        self.votes[kind.index()].promised
    }

    fn reply_after_write(&mut self, to: ProxyNumber, reply: Message) -> Response {
        if self.pending.len() >= MAX_PENDING_REPLIES {
            // The disk does not respond. The proposer will repeat its message.
            return Response::Ignore;
        }
        self.last_write += 1;
        self.pending.push_back(PendingReply { write: self.last_write, votes: self.votes, to, reply });
        Response::Write(self.last_write, Box::new(self.votes))
    }

    /// The write with this number, and all before it, are on disk. Returns the answers that may be sent now.
    pub fn votes_written(&mut self, write: u64) -> Vec<(ProxyNumber, Message)> {
        let mut replies = Vec::new();
        while self.pending.front().is_some_and(|p| p.write <= write) {
            let Some(pending) = self.pending.pop_front() else { break };
            self.durable = pending.votes;
            replies.push((pending.to, pending.reply));
        }
        replies
    }

    /// Handles [`Message::Prepare`].
    pub fn prepare(&mut self, from: ProxyNumber, kind: Kind, ballot: Ballot) -> Response {
        if !self.can_vote() {
            return Response::Ignore;
        }
        let vote = &mut self.votes[kind.index()];
        // An equal ballot is a repeated message: each ballot belongs to one proposer, which prepares it once.
        if ballot < vote.promised {
            return Response::Send(Box::new(Message::Rejected { kind, ballot, promised: vote.promised }));
        }
        vote.promised = ballot;
        let reply = Message::Promise { kind, ballot, accepted: vote.accepted };
        self.reply_after_write(from, reply)
    }

    /// Handles [`Message::Accept`].
    pub fn accept(
        &mut self,
        from: ProxyNumber,
        kind: Kind,
        ballot: Ballot,
        value: RegisterValue,
    ) -> Response {
        if !self.can_vote() {
            return Response::Ignore;
        }
        let vote = &mut self.votes[kind.index()];
        if ballot < vote.promised {
            return Response::Send(Box::new(Message::Rejected { kind, ballot, promised: vote.promised }));
        }
        *vote = Vote { promised: ballot, accepted: AcceptedValue { ballot, value } };
        self.reply_after_write(from, Message::Accepted { kind, ballot })
    }

    /// What it has accepted last, as far as it is on disk; `None` while it recovers lost votes.
    pub fn accepted(&self) -> Option<[AcceptedValue; 2]> {
        self.can_vote().then(|| self.durable.map(|vote| vote.accepted))
    }

    /// During recovery: handles a report of what another voter, which has lost nothing, has accepted. `voters` is
    /// the number of voters in all. Recovery is complete when a majority has reported and every ballot from before
    /// the loss has timed out. Returns the votes to be written then; [`Voter::recovery_written`] must follow.
    pub fn learn_from(
        &mut self,
        from: ProxyNumber,
        accepted: [AcceptedValue; 2],
        (voters, timing, now): (usize, &Timing, Time),
    ) -> Option<Votes> {
        let recovery = self.recovery.as_mut().filter(|r| !r.writing)?;
        recovery.reports.insert(from, accepted);
        let ballots_over =
            now >= recovery.since + timing.ballot_timeout() + timing.max_drift(timing.ballot_timeout());
        if recovery.reports.len() < majority(voters) || !ballots_over {
            return None;
        }
        for report in recovery.reports.values() {
            for (vote, accepted) in self.votes.iter_mut().zip(report) {
                if accepted.ballot > vote.accepted.ballot {
                    vote.accepted = *accepted;
                }
                vote.promised = vote.promised.max(accepted.ballot);
            }
        }
        // Nothing is answered before the write is done, as the votes on disk are older than what others may rely on.
        recovery.writing = true;
        Some(self.votes)
    }

    /// The recovered votes, or those of a new epoch, are on disk: it votes from now on.
    pub fn recovery_written(&mut self) {
        if self.recovery.take_if(|r| r.writing).is_some() {
            self.durable = self.votes;
        }
    }

    /// Operators begin a new epoch, as most voters have lost their disks and with them all promises. Returns the
    /// votes to be written before anything is answered, or `None` when this epoch is not later than the current
    /// one.
    pub fn begin_epoch(&mut self, epoch: u32) -> Option<Votes> {
        if self.votes.iter().any(|vote| vote.promised.epoch >= epoch) {
            return None;
        }
        let promised = Ballot { epoch, ..Ballot::default() };
        self.votes =
            [Vote { promised, accepted: AcceptedValue { ballot: promised, ..AcceptedValue::default() } }; 2];
        self.recovery = Some(Recovery { since: 0, reports: BTreeMap::new(), writing: true });
        self.pending.clear();
        Some(self.votes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{ActiveVersions, Hash, Version};

    const KIND: Kind = Kind::Settings;
    const TIMING: Timing = Timing { lease: 800_000, drift_ppm: 10_000, round: 50_000 };

    fn ballot(round: u32) -> Ballot {
        Ballot { epoch: 0, round, proposer: 1, incarnation: 1 }
    }

    fn value(revision: u64) -> RegisterValue {
        RegisterValue {
            revision,
            active: ActiveVersions::Single(Version { number: revision, hash: Hash::default() }),
        }
    }

    #[test]
    fn nothing_is_answered_before_it_is_on_disk() {
        let mut voter = Voter::new(Votes::default());
        let Response::Write(first, _) = voter.prepare(2, KIND, ballot(1)) else { panic!("a write") };
        let Response::Write(second, votes) = voter.accept(2, KIND, ballot(1), value(1)) else {
            panic!("a write")
        };
        assert_eq!(votes[0].accepted.value, value(1));
        assert_eq!(voter.accepted().map(|a| a[0].value.revision), Some(0), "it may still be lost");
        assert_eq!(voter.votes_written(first).len(), 1);
        assert_eq!(voter.accepted().map(|a| a[0].value.revision), Some(0));
        assert_eq!(voter.votes_written(second), [(2, Message::Accepted { kind: KIND, ballot: ballot(1) })]);
        assert_eq!(voter.accepted().map(|a| a[0].value.revision), Some(1));
        assert_eq!(decode(&encode(voter.durable())), Some(*voter.durable()));
        assert_eq!(decode(&[1, 2, 3]), None);
    }

    #[test]
    fn lower_ballots_are_rejected_after_a_promise_and_kinds_are_independent() {
        let mut voter = Voter::new(Votes::default());
        voter.prepare(2, KIND, ballot(5));
        for response in [voter.prepare(3, KIND, ballot(4)), voter.accept(3, KIND, ballot(4), value(1))] {
            let rejected = Message::Rejected { kind: KIND, ballot: ballot(4), promised: ballot(5) };
            assert_eq!(response, Response::Send(Box::new(rejected)));
        }
        assert!(matches!(voter.accept(3, Kind::Suspensions, ballot(4), value(1)), Response::Write(..)));
        assert!(matches!(voter.accept(2, KIND, ballot(5), value(1)), Response::Write(..)));
    }

    #[test]
    fn recovering_voter_votes_once_it_can_break_no_promise() {
        let mut voter = Voter::recovering(Votes::default(), 1_000);
        assert_eq!(voter.prepare(2, KIND, ballot(9)), Response::Ignore);
        assert_eq!(voter.accept(2, KIND, ballot(9), value(1)), Response::Ignore);
        assert_eq!(voter.accepted(), None);
        let report = |round, revision| {
            [AcceptedValue { ballot: ballot(round), value: value(revision) }, AcceptedValue::default()]
        };
        let over = 1_000 + TIMING.ballot_timeout() * 102 / 100;
        assert_eq!(voter.learn_from(2, report(3, 1), (5, &TIMING, over)), None);
        assert_eq!(voter.learn_from(2, report(3, 1), (5, &TIMING, over)), None, "a voter counts once");
        assert_eq!(voter.learn_from(3, report(7, 2), (5, &TIMING, over)), None);
        // The third report is a majority of five, but a ballot from before the loss may still be open.
        assert_eq!(voter.learn_from(4, report(1, 0), (5, &TIMING, over - 10_000)), None);
        let votes = voter.learn_from(4, report(1, 0), (5, &TIMING, over)).expect("recovered votes");
        assert_eq!((votes[0].accepted.value, votes[0].promised), (value(2), ballot(7)));
        assert_eq!(
            (voter.accepted(), voter.prepare(2, KIND, ballot(9))),
            (None, Response::Ignore),
            "the votes are not written yet"
        );
        assert_eq!(voter.learn_from(5, report(9, 9), (5, &TIMING, over)), None);
        voter.recovery_written();
        assert_eq!(voter.accepted().map(|a| a[0].value), Some(value(2)));
        assert!(matches!(voter.prepare(2, KIND, ballot(6)), Response::Send(_)));
    }

    #[test]
    fn pending_replies_are_bounded_when_the_disk_does_not_respond() {
        let mut voter = Voter::new(Votes::default());
        for round in 1..2_000 {
            voter.prepare(2, KIND, ballot(round));
        }
        assert_eq!(voter.pending.len(), MAX_PENDING_REPLIES);
        assert_eq!(voter.votes_written(u64::MAX).len(), MAX_PENDING_REPLIES);
    }

    #[test]
    fn new_epoch_needs_a_higher_number() {
        let mut voter = Voter::recovering(Votes::default(), 0);
        assert!(voter.begin_epoch(0).is_none());
        assert!(voter.begin_epoch(2).is_some() && !voter.can_vote());
        voter.recovery_written();
        assert!(voter.can_vote());
        assert!(voter.begin_epoch(2).is_none() && voter.begin_epoch(1).is_none());
        // Ballots of a former epoch are rejected.
        assert!(matches!(voter.accept(2, KIND, ballot(1_000), value(9)), Response::Send(_)));
    }
}
