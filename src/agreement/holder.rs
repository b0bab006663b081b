//! The lease of one proxy: which values it may act on, and until when. The proxy queries the voters at
//! intervals. When a majority reports the same value of the same ballot in answer to one query, that value
//! was chosen, and no later value had been chosen when the first of them answered, hence none before the
//! query was sent.

use super::{majority, AcceptedValue, Kind, ProxyNumber, RegisterValue, Timing, KINDS};
use crate::interface::Time;
use std::collections::VecDeque;

/// Only answers to this many of the latest queries count.
const MAX_OPEN_QUERIES: usize = 8;

#[derive(Debug, Clone)]
struct Query {
    nonce: u64,
    sent_at: Time,
    answers: Vec<(ProxyNumber, [AcceptedValue; 2])>,
}

/// A lease on a value that this proxy has seen to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The value, with the ballot in which it was chosen.
    pub accepted: AcceptedValue,
    /// When this proxy first saw the value chosen.
    pub since: Time,
    /// When the lease expires.
    pub until: Time,
}

/// What the answers to one query show for one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryResult {
    /// Too few voters have answered.
    Pending,
    /// A majority reports the same accepted value: it is chosen.
    Chosen(AcceptedValue),
    /// A majority has answered without such a value: a ballot is under way, or was abandoned halfway.
    Split,
}

/// The leases of one proxy, one for each kind.
#[derive(Debug, Clone)]
pub struct LeaseHolder {
    voters: Vec<ProxyNumber>,
    timing: Timing,
    nonce: u64,
    queries: VecDeque<Query>,
    leases: [Option<Lease>; 2],
    /// Since when the voters' answers have been split, by kind.
    split_since: [Option<Time>; 2],
}

impl LeaseHolder {
    /// Creates a holder without leases. Nonces count up from `first_nonce`; no later incarnation may repeat
    /// them.
    pub fn new(voters: Vec<ProxyNumber>, timing: Timing, first_nonce: u64) -> Self {
        LeaseHolder {
            voters,
            timing,
            nonce: first_nonce,
            queries: VecDeque::new(),
            leases: [None; 2],
            split_since: [None; 2],
        }
    }

    /// Begins a query to all voters and returns its nonce.
    pub fn start_query(&mut self, now: Time) -> u64 {
        self.nonce += 1;
        self.queries.push_back(Query { nonce: self.nonce, sent_at: now, answers: Vec::new() });
        if self.queries.len() > MAX_OPEN_QUERIES {
            self.queries.pop_front();
        }
        self.nonce
    }

    /// When the query with this nonce was sent, if its answers still count.
    pub fn query_sent_at(&self, nonce: u64) -> Option<Time> {
        self.queries.iter().find(|q| q.nonce == nonce).map(|q| q.sent_at)
    }

    /// Handles a voter's answer and returns what the query shows so far, by kind. Returns `None` for an
    /// answer that does not count: no open query has its nonce, the sender is no voter, or the voter has
    /// answered this query already.
    pub fn handle_answer(
        &mut self,
        from: ProxyNumber,
        nonce: u64,
        accepted: [AcceptedValue; 2],
        now: Time,
    ) -> Option<[QueryResult; 2]> {
        let quorum = majority(self.voters.len());
        let query = self.queries.iter_mut().find(|q| q.nonce == nonce)?;
        if !self.voters.contains(&from) || query.answers.iter().any(|(other, _)| *other == from) {
            return None;
        }
        query.answers.push((from, accepted));
        let (sent_at, answers) = (query.sent_at, query.answers.clone());
        let results = KINDS.map(|kind| {
            let accepted_by = |a: &(ProxyNumber, [AcceptedValue; 2])| a.1[kind.index()];
            let count_same =
                |a: &AcceptedValue| answers.iter().filter(|other| accepted_by(other) == *a).count();
            match answers.iter().map(accepted_by).find(|a| count_same(a) >= quorum) {
                Some(accepted) => QueryResult::Chosen(accepted),
                None if answers.len() >= quorum => QueryResult::Split,
                None => QueryResult::Pending,
            }
        });
        for (kind, result) in KINDS.into_iter().zip(results) {
            match result {
                QueryResult::Chosen(accepted) => {
                    self.split_since[kind.index()] = None;
                    self.extend_lease(kind, accepted, sent_at, now);
                }
                QueryResult::Split => drop(self.split_since[kind.index()].get_or_insert(now)),
                QueryResult::Pending => {}
            }
        }
        Some(results)
    }

    fn extend_lease(&mut self, kind: Kind, accepted: AcceptedValue, sent_at: Time, now: Time) {
        let until = sent_at + self.timing.lease;
        let order = |a: &AcceptedValue| (a.ballot.epoch, a.value.revision);
        let lease = &mut self.leases[kind.index()];
        match lease {
            Some(held) if order(&held.accepted) > order(&accepted) => {}
            Some(held) if held.accepted.value == accepted.value => {
                held.accepted = accepted;
                held.until = held.until.max(until);
            }
            _ => *lease = Some(Lease { accepted, since: now, until }),
        }
    }

    /// The latest lease on a kind, even if it has expired.
    pub fn last_lease(&self, kind: Kind) -> Option<Lease> {
        self.leases[kind.index()]
    }

    /// The values of both kinds that may be acted on now, and until when. Returns `None` once either lease
    /// has expired, as both values are acted on together.
    pub fn leased_values(&self, now: Time) -> Option<([RegisterValue; 2], Time)> {
        let [Some(first), Some(second)] = self.leases else { return None };
        let until = first.until.min(second.until);
        (now < until).then_some(([first.accepted.value, second.accepted.value], until))
    }

    /// Since when the voters' answers on a kind have been split.
    pub fn split_since(&self, kind: Kind) -> Option<Time> {
        self.split_since[kind.index()]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::{ActiveVersions, Ballot, Hash, Version};

    const TIMING: Timing = Timing { lease: 800, drift_ppm: 10_000, round: 50 };

    fn accepted(round: u32, revision: u64) -> [AcceptedValue; 2] {
        let version = Version { number: revision, hash: Hash::default() };
        let ballot = Ballot { epoch: 0, round, proposer: 1, incarnation: 1 };
        [AcceptedValue { ballot, value: RegisterValue { revision, active: ActiveVersions::Single(version) } };
            2]
    }

    fn holder() -> LeaseHolder {
        LeaseHolder::new(vec![1, 2, 3], TIMING, 0)
    }

    #[test]
    fn lease_counts_from_the_query_and_needs_a_majority_of_one_ballot() {
        let mut holder = holder();
        let first = holder.start_query(100);
        assert_eq!(holder.handle_answer(1, first, accepted(1, 1), 300), Some([QueryResult::Pending; 2]));
        assert_eq!(holder.handle_answer(1, first, accepted(1, 1), 300), None, "a voter counts once");
        assert_eq!(holder.handle_answer(9, first, accepted(1, 1), 300), None, "proxy 9 is no voter");
        assert_eq!(holder.leased_values(300), None);
        // The same value reported for different ballots may never have been chosen.
        assert_eq!(holder.handle_answer(2, first, accepted(2, 1), 310), Some([QueryResult::Split; 2]));
        assert_eq!((holder.leased_values(310), holder.split_since(Kind::Suspensions)), (None, Some(310)));
        holder.handle_answer(3, first, accepted(2, 1), 320);
        let (values, until) = holder.leased_values(320).expect("two of three");
        assert_eq!((values[0].revision, until), (1, 900));
        assert_eq!((holder.leased_values(899).is_some(), holder.leased_values(900)), (true, None));
    }

    #[test]
    fn answers_to_old_queries_and_older_revisions_change_nothing() {
        let mut holder = holder();
        let first = holder.start_query(100);
        let second = holder.start_query(400);
        (1..3).for_each(|voter| assert!(holder.handle_answer(voter, second, accepted(2, 2), 450).is_some()));
        assert_eq!(holder.leased_values(500).map(|h| h.1), Some(1_200));
        (1..3).for_each(|voter| assert!(holder.handle_answer(voter, first, accepted(2, 2), 460).is_some()));
        assert_eq!(holder.leased_values(500).map(|h| h.1), Some(1_200));
        let third = holder.start_query(500);
        (1..3).for_each(|voter| assert!(holder.handle_answer(voter, third, accepted(1, 1), 550).is_some()));
        assert_eq!(holder.leased_values(600).map(|h| (h.0[0].revision, h.1)), Some((2, 1_200)));
        for n in 0..100 {
            holder.start_query(600 + n);
        }
        assert!(holder.queries.len() <= MAX_OPEN_QUERIES);
        assert_eq!(
            holder.handle_answer(1, third, accepted(2, 2), 700),
            None,
            "answers to that query no longer count"
        );
    }

    #[test]
    fn nothing_is_leased_until_both_kinds_are() {
        let mut holder = holder();
        let nonce = holder.start_query(0);
        let [first, second] = [accepted(1, 1)[0], accepted(2, 2)[0]];
        holder.handle_answer(1, nonce, [first, first], 10);
        holder.handle_answer(2, nonce, [first, second], 10);
        assert_eq!(holder.last_lease(Kind::Settings).map(|l| l.accepted), Some(first));
        assert_eq!((holder.last_lease(Kind::Suspensions), holder.leased_values(20)), (None, None));
    }
}
