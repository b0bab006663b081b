//! A voter: what it has promised and accepted, and what it says when asked. Whatever it says rests on what is on the disk:
//! a promise that a crash could take back would be none.
//!
//! A voter whose disk may have lost promises does not vote until it can no longer break one. What it may have accepted it
//! learns from the others: of any standing that was chosen with its vote all but its own vote are left, so that among as
//! many others as a majority there is one that has it. What it may have promised it waits out: a ballot ends at its
//! proposer by a time limit, and is not taken up again.

use super::message::Message;
use super::{majority, Accepted, Ballot, Kind, ProxyNumber, Standing, Timing};
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What is promised and accepted of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Vote {
    /// Nothing below it is accepted any more.
    pub promised: Ballot,
    /// The last accepted.
    pub accepted: Accepted,
}

/// All that must outlast the process, by kind.
pub type Votes = [Vote; 2];

/// The votes as bytes for the store.
pub fn write(votes: &Votes) -> Vec<u8> {
    postcard::to_extend(votes, Vec::new()).unwrap_or_default()
}

/// Reads them; none where the bytes are no votes.
pub fn read(bytes: &[u8]) -> Option<Votes> {
    postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(votes, _)| votes)
}

/// Answers that wait for the disk.
const WAITING_MOST: usize = 256;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    number: u64,
    votes: Votes,
    to: ProxyNumber,
    say: Message,
}

/// What a voter without its memory has heard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Forgot {
    since: Time,
    others: BTreeMap<ProxyNumber, [Accepted; 2]>,
    /// Enough have told, and what follows is being written.
    writing: bool,
}

/// The voter of one proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Voter {
    /// With what is not on the disk yet.
    votes: Votes,
    /// What surely is.
    durable: Votes,
    written: u64,
    waiting: VecDeque<Waiting>,
    forgot: Option<Forgot>,
}

/// What comes of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// This is said at once.
    Now(Box<Message>),
    /// These votes are to be written, and said so by their number; the answer goes out then.
    Write(u64, Box<Votes>),
    /// Nothing.
    Nothing,
}

impl Voter {
    /// One that has these votes on its disk.
    pub fn new(votes: Votes) -> Self {
        Voter { votes, durable: votes, written: 0, waiting: VecDeque::new(), forgot: None }
    }

    /// One that may have promised and accepted what it no longer knows; it has what is left.
    pub fn forgetful(votes: Votes, now: Time) -> Self {
        let forgot = Some(Forgot { since: now, others: BTreeMap::new(), writing: false });
        Voter { forgot, ..Voter::new(votes) }
    }

    /// Whether it may vote.
    pub fn remembers(&self) -> bool {
        self.forgot.is_none()
    }

    /// What is on its disk.
    pub fn durable(&self) -> &Votes {
        &self.durable
    }

    /// The highest ballot that it knows of.
    pub fn highest(&self, kind: Kind) -> Ballot {
        self.votes[kind.at()].promised
    }

    fn later(&mut self, to: ProxyNumber, say: Message) -> Said {
        if self.waiting.len() >= WAITING_MOST {
            // The disk does not answer. Who asked asks again.
            return Said::Nothing;
        }
        self.written += 1;
        self.waiting.push_back(Waiting { number: self.written, votes: self.votes, to, say });
        Said::Write(self.written, Box::new(self.votes))
    }

    /// The votes of this number, and of all before it, are on the disk: what may be said now, and to whom.
    pub fn written(&mut self, number: u64) -> Vec<(ProxyNumber, Message)> {
        let mut say = Vec::new();
        while self.waiting.front().is_some_and(|w| w.number <= number) {
            let Some(waiting) = self.waiting.pop_front() else { break };
            self.durable = waiting.votes;
            say.push((waiting.to, waiting.say));
        }
        say
    }

    /// Whether it will accept nothing below this ballot.
    pub fn prepare(&mut self, from: ProxyNumber, kind: Kind, ballot: Ballot) -> Said {
        if !self.remembers() {
            return Said::Nothing;
        }
        let vote = &mut self.votes[kind.at()];
        // A ballot is prepared once: its number is its proposer's own.
        if ballot < vote.promised {
            return Said::Now(Box::new(Message::Denied { kind, ballot, promised: vote.promised }));
        }
        vote.promised = ballot;
        let say = Message::Promised { kind, ballot, accepted: vote.accepted };
        self.later(from, say)
    }

    /// Whether it accepts this.
    pub fn accept(&mut self, from: ProxyNumber, kind: Kind, ballot: Ballot, standing: Standing) -> Said {
        if !self.remembers() {
            return Said::Nothing;
        }
        let vote = &mut self.votes[kind.at()];
        if ballot < vote.promised {
            return Said::Now(Box::new(Message::Denied { kind, ballot, promised: vote.promised }));
        }
        *vote = Vote { promised: ballot, accepted: Accepted { ballot, standing } };
        self.later(from, Message::Accepts { kind, ballot })
    }

    /// What it has accepted last; none while it may have forgotten something.
    pub fn accepted(&self) -> Option<[Accepted; 2]> {
        self.remembers().then(|| self.durable.map(|vote| vote.accepted))
    }

    /// Another voter, that remembers, has told what it has accepted. Once enough have, and the time of any ballot of
    /// before is over, this one votes again, of `voters` in all: whether that is now, and what must be written first.
    pub fn learn(
        &mut self,
        from: ProxyNumber,
        accepted: [Accepted; 2],
        (voters, times, now): (usize, &Timing, Time),
    ) -> Option<Votes> {
        let forgot = self.forgot.as_mut().filter(|f| !f.writing)?;
        forgot.others.insert(from, accepted);
        let over = now >= forgot.since + times.ballot() + times.drift(times.ballot());
        if forgot.others.len() < majority(voters) || !over {
            return None;
        }
        for told in forgot.others.values() {
            for (vote, accepted) in self.votes.iter_mut().zip(told) {
                if accepted.ballot > vote.accepted.ballot {
                    vote.accepted = *accepted;
                }
                vote.promised = vote.promised.max(accepted.ballot);
            }
        }
        // Until it is written nothing is answered: what is on the disk is older than what others may rest on.
        forgot.writing = true;
        Some(self.votes)
    }

    /// What was learned, or a new epoch, is on the disk: it votes from now on.
    pub fn learned(&mut self) {
        if self.forgot.take_if(|f| f.writing).is_some() {
            self.durable = self.votes;
        }
    }

    /// The operators say that all that was promised is lost with most of the voters' disks, and that a new epoch begins:
    /// whether it is a later one, and what must be written before anything is said.
    pub fn start_over(&mut self, epoch: u32) -> Option<Votes> {
        if self.votes.iter().any(|vote| vote.promised.epoch >= epoch) {
            return None;
        }
        let promised = Ballot { epoch, ..Ballot::default() };
        self.votes = [Vote { promised, accepted: Accepted { ballot: promised, ..Accepted::default() } }; 2];
        self.forgot = Some(Forgot { since: 0, others: BTreeMap::new(), writing: true });
        self.waiting.clear();
        Some(self.votes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{Hash, Holds, Version};

    const KIND: Kind = Kind::Settings;
    const TIMES: Timing = Timing { lease: 800_000, drift_ppm: 10_000, round: 50_000 };

    fn ballot(round: u32) -> Ballot {
        Ballot { epoch: 0, round, by: 1, start: 1 }
    }

    fn standing(turn: u64) -> Standing {
        Standing { turn, holds: Holds::One(Version { number: turn, hash: Hash::default() }) }
    }

    #[test]
    fn nothing_is_said_that_is_not_on_the_disk() {
        let mut voter = Voter::new(Votes::default());
        let Said::Write(first, _) = voter.prepare(2, KIND, ballot(1)) else { panic!("it writes") };
        let Said::Write(second, votes) = voter.accept(2, KIND, ballot(1), standing(1)) else {
            panic!("it writes")
        };
        assert_eq!(votes[0].accepted.standing, standing(1));
        assert_eq!(voter.accepted().map(|a| a[0].standing.turn), Some(0), "it may still be lost");
        assert_eq!(voter.written(first).len(), 1);
        assert_eq!(voter.accepted().map(|a| a[0].standing.turn), Some(0));
        assert_eq!(voter.written(second), [(2, Message::Accepts { kind: KIND, ballot: ballot(1) })]);
        assert_eq!(voter.accepted().map(|a| a[0].standing.turn), Some(1));
        assert_eq!(read(&write(voter.durable())), Some(*voter.durable()));
        assert_eq!(read(&[1, 2, 3]), None);
    }

    #[test]
    fn a_promise_binds_and_kinds_do_not_touch_each_other() {
        let mut voter = Voter::new(Votes::default());
        voter.prepare(2, KIND, ballot(5));
        for said in [voter.prepare(3, KIND, ballot(4)), voter.accept(3, KIND, ballot(4), standing(1))] {
            let denied = Message::Denied { kind: KIND, ballot: ballot(4), promised: ballot(5) };
            assert_eq!(said, Said::Now(Box::new(denied)));
        }
        assert!(matches!(voter.accept(3, Kind::Hands, ballot(4), standing(1)), Said::Write(..)));
        assert!(matches!(voter.accept(2, KIND, ballot(5), standing(1)), Said::Write(..)));
    }

    #[test]
    fn one_that_may_have_forgotten_votes_once_it_can_break_no_promise() {
        let mut voter = Voter::forgetful(Votes::default(), 1_000);
        assert_eq!(voter.prepare(2, KIND, ballot(9)), Said::Nothing);
        assert_eq!(voter.accept(2, KIND, ballot(9), standing(1)), Said::Nothing);
        assert_eq!(voter.accepted(), None);
        let told =
            |round, turn| [Accepted { ballot: ballot(round), standing: standing(turn) }, Accepted::default()];
        let over = 1_000 + TIMES.ballot() * 102 / 100;
        assert_eq!(voter.learn(2, told(3, 1), (5, &TIMES, over)), None);
        assert_eq!(voter.learn(2, told(3, 1), (5, &TIMES, over)), None, "one is heard once");
        assert_eq!(voter.learn(3, told(7, 2), (5, &TIMES, over)), None);
        // A third of five, but a ballot of before may still be open.
        assert_eq!(voter.learn(4, told(1, 0), (5, &TIMES, over - 10_000)), None);
        let votes = voter.learn(4, told(1, 0), (5, &TIMES, over)).expect("it votes");
        assert_eq!((votes[0].accepted.standing, votes[0].promised), (standing(2), ballot(7)));
        assert_eq!(
            (voter.accepted(), voter.prepare(2, KIND, ballot(9))),
            (None, Said::Nothing),
            "it is not written"
        );
        assert_eq!(voter.learn(5, told(9, 9), (5, &TIMES, over)), None);
        voter.learned();
        assert_eq!(voter.accepted().map(|a| a[0].standing), Some(standing(2)));
        assert!(matches!(voter.prepare(2, KIND, ballot(6)), Said::Now(_)));
    }

    #[test]
    fn a_disk_that_does_not_answer_leaves_a_bounded_rest() {
        let mut voter = Voter::new(Votes::default());
        for round in 1..2_000 {
            voter.prepare(2, KIND, ballot(round));
        }
        assert_eq!(voter.waiting.len(), WAITING_MOST);
        assert_eq!(voter.written(u64::MAX).len(), WAITING_MOST);
    }

    #[test]
    fn a_new_epoch_begins_once_and_by_a_higher_number_alone() {
        let mut voter = Voter::forgetful(Votes::default(), 0);
        assert!(voter.start_over(0).is_none());
        assert!(voter.start_over(2).is_some() && !voter.remembers());
        voter.learned();
        assert!(voter.remembers());
        assert!(voter.start_over(2).is_none() && voter.start_over(1).is_none());
        // What is left of the former epoch comes to nothing here.
        assert!(matches!(voter.accept(2, KIND, ballot(1_000), standing(9)), Said::Now(_)));
    }
}
