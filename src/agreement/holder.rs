//! The lease of one proxy: what it may act on, and until when. It asks the voters again and again; where a majority of
//! them tells the same standing of the same ballot in answer to one question, that standing was chosen, and had not been
//! followed by another when the first of them answered: not before the question was asked.

use super::{majority, Accepted, Kind, ProxyNumber, Standing, Timing, KINDS};
use crate::interface::Time;
use std::collections::VecDeque;

/// Questions whose answers still count.
const QUESTIONS: usize = 8;

#[derive(Debug, Clone)]
struct Question {
    nonce: u64,
    at: Time,
    told: Vec<(ProxyNumber, [Accepted; 2])>,
}

/// A standing that was seen chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The ballot in which it was.
    pub accepted: Accepted,
    /// When it was first seen chosen here.
    pub since: Time,
    /// It may be acted on until then.
    pub until: Time,
}

/// What the voters' answers to one question say of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// Not enough have answered.
    Few,
    /// So many tell the same that it is chosen.
    Chosen(Accepted),
    /// A majority has answered, and they differ: a ballot is under way, or was left in its middle.
    Split,
}

/// The leases of one proxy.
#[derive(Debug, Clone)]
pub struct Holder {
    voters: Vec<ProxyNumber>,
    times: Timing,
    nonce: u64,
    questions: VecDeque<Question>,
    leases: [Option<Lease>; 2],
    /// Since when answers have differed, by kind.
    split: [Option<Time>; 2],
}

impl Holder {
    /// One that holds nothing; `first` begins its nonces, which a later start must not repeat.
    pub fn new(voters: Vec<ProxyNumber>, times: Timing, first: u64) -> Self {
        Holder {
            voters,
            times,
            nonce: first,
            questions: VecDeque::new(),
            leases: [None; 2],
            split: [None; 2],
        }
    }

    /// Asks all voters now: the question's nonce.
    pub fn ask(&mut self, now: Time) -> u64 {
        self.nonce += 1;
        self.questions.push_back(Question { nonce: self.nonce, at: now, told: Vec::new() });
        if self.questions.len() > QUESTIONS {
            self.questions.pop_front();
        }
        self.nonce
    }

    /// When a question was asked, while its answers still count.
    pub fn asked(&self, nonce: u64) -> Option<Time> {
        self.questions.iter().find(|q| q.nonce == nonce).map(|q| q.at)
    }

    /// A voter answers. What that shows of each kind, where it is an answer to a question of this proxy.
    pub fn told(
        &mut self,
        from: ProxyNumber,
        nonce: u64,
        accepted: [Accepted; 2],
        now: Time,
    ) -> Option<[Seen; 2]> {
        let needed = majority(self.voters.len());
        let question = self.questions.iter_mut().find(|q| q.nonce == nonce)?;
        if !self.voters.contains(&from) || question.told.iter().any(|(other, _)| *other == from) {
            return None;
        }
        question.told.push((from, accepted));
        let (at, told) = (question.at, question.told.clone());
        let seen = KINDS.map(|kind| {
            let of = |a: &(ProxyNumber, [Accepted; 2])| a.1[kind.at()];
            let same = |a: &Accepted| told.iter().filter(|other| of(other) == *a).count();
            match told.iter().map(of).find(|a| same(a) >= needed) {
                Some(accepted) => Seen::Chosen(accepted),
                None if told.len() >= needed => Seen::Split,
                None => Seen::Few,
            }
        });
        for (kind, seen) in KINDS.into_iter().zip(seen) {
            match seen {
                Seen::Chosen(accepted) => {
                    self.split[kind.at()] = None;
                    self.hold(kind, accepted, at, now);
                }
                Seen::Split => drop(self.split[kind.at()].get_or_insert(now)),
                Seen::Few => {}
            }
        }
        Some(seen)
    }

    fn hold(&mut self, kind: Kind, accepted: Accepted, asked: Time, now: Time) {
        let until = asked + self.times.lease;
        let order = |a: &Accepted| (a.ballot.epoch, a.standing.turn);
        let lease = &mut self.leases[kind.at()];
        match lease {
            Some(held) if order(&held.accepted) > order(&accepted) => {}
            Some(held) if held.accepted.standing == accepted.standing => {
                held.accepted = accepted;
                held.until = held.until.max(until);
            }
            _ => *lease = Some(Lease { accepted, since: now, until }),
        }
    }

    /// The last lease of a kind, whether it has run out or not.
    pub fn last(&self, kind: Kind) -> Option<Lease> {
        self.leases[kind.at()]
    }

    /// What may be acted on now, of each kind, and until when; none once any of the leases has run out, as what is agreed
    /// on is agreed on together.
    pub fn holds(&self, now: Time) -> Option<([Standing; 2], Time)> {
        let [Some(one), Some(other)] = self.leases else { return None };
        let until = one.until.min(other.until);
        (now < until).then_some(([one.accepted.standing, other.accepted.standing], until))
    }

    /// Since when the answers on a kind have differed.
    pub fn split(&self, kind: Kind) -> Option<Time> {
        self.split[kind.at()]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{Ballot, Hash, Holds, Version};

    const TIMES: Timing = Timing { lease: 800, drift_ppm: 10_000, round: 50 };

    fn accepted(round: u32, turn: u64) -> [Accepted; 2] {
        let version = Version { number: turn, hash: Hash::default() };
        let ballot = Ballot { epoch: 0, round, by: 1, start: 1 };
        [Accepted { ballot, standing: Standing { turn, holds: Holds::One(version) } }; 2]
    }

    fn holder() -> Holder {
        Holder::new(vec![1, 2, 3], TIMES, 0)
    }

    #[test]
    fn a_lease_counts_from_the_question_and_needs_a_majority_of_one_ballot() {
        let mut holder = holder();
        let first = holder.ask(100);
        assert_eq!(holder.told(1, first, accepted(1, 1), 300), Some([Seen::Few; 2]));
        assert_eq!(holder.told(1, first, accepted(1, 1), 300), None, "one voter counts once");
        assert_eq!(holder.told(9, first, accepted(1, 1), 300), None, "it is no voter");
        assert_eq!(holder.holds(300), None);
        // The same standing of another ballot may be one that was never chosen.
        assert_eq!(holder.told(2, first, accepted(2, 1), 310), Some([Seen::Split; 2]));
        assert_eq!((holder.holds(310), holder.split(Kind::Hands)), (None, Some(310)));
        holder.told(3, first, accepted(2, 1), 320);
        let (standings, until) = holder.holds(320).expect("two of three");
        assert_eq!((standings[0].turn, until), (1, 900));
        assert_eq!((holder.holds(899).is_some(), holder.holds(900)), (true, None));
    }

    #[test]
    fn an_answer_to_an_old_question_prolongs_nothing_and_an_older_turn_changes_nothing() {
        let mut holder = holder();
        let first = holder.ask(100);
        let second = holder.ask(400);
        (1..3).for_each(|voter| assert!(holder.told(voter, second, accepted(2, 2), 450).is_some()));
        assert_eq!(holder.holds(500).map(|h| h.1), Some(1_200));
        (1..3).for_each(|voter| assert!(holder.told(voter, first, accepted(2, 2), 460).is_some()));
        assert_eq!(holder.holds(500).map(|h| h.1), Some(1_200));
        let third = holder.ask(500);
        (1..3).for_each(|voter| assert!(holder.told(voter, third, accepted(1, 1), 550).is_some()));
        assert_eq!(holder.holds(600).map(|h| (h.0[0].turn, h.1)), Some((2, 1_200)));
        for n in 0..100 {
            holder.ask(600 + n);
        }
        assert!(holder.questions.len() <= QUESTIONS);
        assert_eq!(holder.told(1, third, accepted(2, 2), 700), None, "that question is forgotten");
    }

    #[test]
    fn both_kinds_must_hold_for_anything_to_be_acted_on() {
        let mut holder = holder();
        let nonce = holder.ask(0);
        let [one, other] = [accepted(1, 1)[0], accepted(2, 2)[0]];
        holder.told(1, nonce, [one, one], 10);
        holder.told(2, nonce, [one, other], 10);
        assert_eq!(holder.last(Kind::Settings).map(|l| l.accepted), Some(one));
        assert_eq!((holder.last(Kind::Hands), holder.holds(20)), (None, None));
    }
}
