//! Decides how far a fact about a member may be relied on, from the source of the fact and from what the
//! member lists that this process has received say about the member.
//!
//! The levels of [`Reliance`] are ordered: a fact that may serve as a proof may also serve as a bound, and so
//! on. A decision compares the level of a fact with the minimum level that the decision needs.

use super::{LearnedFacts, MemberFacts};
use crate::interface::{Position, Time};
use std::sync::Arc;

/// How far a fact may be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reliance {
    /// Not at all: the fact may date from before the member's latest start, or cannot be checked yet.
    Nothing,
    /// To choose which member is tried first, where a wrong choice costs one attempt and no more.
    Hint,
    /// As a lower bound: the value was true once and cannot have decreased.
    Bound,
    /// Fully: the fact is true.
    Proof,
}

/// Where a fact comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The member reported it to this process.
    Own,
    /// The member reported it to the peer process of this proxy, which is running.
    PeerProcess,
    /// It was stored before this process started.
    Stored,
}

/// What the member lists that this process has received say about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedStart {
    /// No list has been received yet.
    NoList,
    /// The list does not name the member.
    Absent,
    /// The list names the member, with this start time if it has one.
    Named(Option<Time>),
}

/// Whether it is proved that the member has not restarted since the fact was learned. The proof is a start
/// time that the fact and the list have in common; without one, the member may have been replaced at the same
/// address.
fn same_start(facts: &MemberFacts, listed: ListedStart) -> bool {
    matches!(listed, ListedStart::Named(Some(start)) if facts.start == Some(start))
}

/// Whether the fact cannot apply any more: the member has another start time, or is not listed.
fn different_start(facts: &MemberFacts, listed: ListedStart) -> bool {
    matches!(listed, ListedStart::Named(start) if start != facts.start) || listed == ListedStart::Absent
}

/// How far a position may be relied on: it is a lower bound until the member restarts.
pub fn position(facts: &MemberFacts, source: Source, listed: ListedStart) -> Reliance {
    match source {
        Source::Own => Reliance::Proof,
        Source::PeerProcess => Reliance::Bound,
        Source::Stored if facts.position > 0 && same_start(facts, listed) => Reliance::Bound,
        Source::Stored => Reliance::Nothing,
    }
}

/// How far a role may be relied on. A stored role is only a hint as to which member a write should try
/// first, because a member's role can change without a restart.
pub fn role(facts: &MemberFacts, source: Source, listed: ListedStart) -> Reliance {
    match (source, facts.primary) {
        (_, None) => Reliance::Nothing,
        (Source::Own, _) => Reliance::Proof,
        (Source::PeerProcess, _) => Reliance::Bound,
        (Source::Stored, _) if different_start(facts, listed) => Reliance::Nothing,
        (Source::Stored, _) => Reliance::Hint,
    }
}

/// How far the time at which a slow start began may be relied on: until the slow start is over, that time is
/// a bound, whatever its source.
pub fn slow_start(facts: &MemberFacts, now: Time, warm_after: Time) -> Reliance {
    match facts.warm_up_start {
        Some(from) if now < from.saturating_add(warm_after) => Reliance::Bound,
        _ => Reliance::Nothing,
    }
}

/// Stored facts about members, kept until a member list shows how far they may be relied on.
#[derive(Debug, Default)]
pub struct StoredFacts(LearnedFacts);

/// The stored facts that may be used after a member list was received.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UsableFacts {
    /// Lower bounds of members' positions.
    pub bounds: Vec<(Arc<str>, Position)>,
    /// Members that a write may try first, as they were primary.
    pub primaries: Vec<Arc<str>>,
}

impl StoredFacts {
    /// Keeps these facts until a list confirms them.
    pub fn new(learned: LearnedFacts) -> Self {
        StoredFacts(learned)
    }

    /// Whether no fact is left to be confirmed.
    pub fn is_empty(&self) -> bool {
        self.0.members.is_empty()
    }

    /// The members that a write may try first, according to a list that may be as old as the stored facts.
    pub fn hints(&self, listed: impl Fn(&str) -> ListedStart) -> Vec<Arc<str>> {
        let hint = |facts: &MemberFacts, listed| {
            facts.primary == Some(true) && role(facts, Source::Stored, listed) >= Reliance::Hint
        };
        let members = self.0.members.iter().filter(|(name, facts)| hint(facts, listed(name)));
        members.map(|(name, _)| name.clone()).collect()
    }

    /// Removes all facts and returns those that a list from discovery confirms. The others are dropped, as no
    /// later list could confirm them.
    pub fn confirm(&mut self, listed: impl Fn(&str) -> ListedStart) -> UsableFacts {
        let mut usable = UsableFacts { primaries: self.hints(&listed), ..UsableFacts::default() };
        for (name, facts) in std::mem::take(&mut self.0.members) {
            let listed = listed(&name);
            if position(&facts, Source::Stored, listed) >= Reliance::Bound {
                usable.bounds.push((name, facts.position));
            }
        }
        usable
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn facts(start: Option<Time>) -> MemberFacts {
        MemberFacts { start, position: 70, primary: Some(true), role_at: 60, ..MemberFacts::default() }
    }

    #[test]
    fn a_stored_position_is_a_bound_only_if_the_start_time_is_proved_equal() {
        let of = |start, listed| position(&facts(start), Source::Stored, listed);
        assert_eq!(of(Some(5), ListedStart::Named(Some(5))), Reliance::Bound);
        for (start, listed) in [
            (Some(5), ListedStart::NoList),
            (Some(5), ListedStart::Absent),
            (Some(5), ListedStart::Named(Some(6))),
            (Some(5), ListedStart::Named(None)),
            (None, ListedStart::Named(None)),
            (None, ListedStart::Named(Some(5))),
        ] {
            assert_eq!(of(start, listed), Reliance::Nothing, "{start:?} {listed:?}");
        }
        assert_eq!(position(&facts(None), Source::Own, ListedStart::NoList), Reliance::Proof);
        assert_eq!(position(&facts(None), Source::PeerProcess, ListedStart::NoList), Reliance::Bound);
    }

    #[test]
    fn a_stored_role_is_never_more_than_a_hint() {
        for start in [None, Some(5)] {
            for listed in [
                ListedStart::NoList,
                ListedStart::Absent,
                ListedStart::Named(None),
                ListedStart::Named(Some(5)),
                ListedStart::Named(Some(6)),
            ] {
                assert!(role(&facts(start), Source::Stored, listed) <= Reliance::Hint);
            }
        }
        assert_eq!(role(&facts(Some(5)), Source::Stored, ListedStart::Named(Some(5))), Reliance::Hint);
        assert_eq!(role(&facts(Some(5)), Source::Stored, ListedStart::Named(Some(6))), Reliance::Nothing);
        assert_eq!(role(&MemberFacts::default(), Source::Own, ListedStart::NoList), Reliance::Nothing);
    }

    #[test]
    fn a_slow_start_is_a_bound_until_it_is_over() {
        let facts = MemberFacts { warm_up_start: Some(100), ..MemberFacts::default() };
        assert_eq!(slow_start(&facts, 149, 50), Reliance::Bound);
        assert_eq!(slow_start(&facts, 150, 50), Reliance::Nothing);
        assert_eq!(slow_start(&MemberFacts::default(), 0, 50), Reliance::Nothing);
    }

    #[test]
    fn stored_facts_are_returned_once_and_only_for_listed_members() {
        let learned = LearnedFacts {
            members: [("a".into(), facts(Some(5))), ("b".into(), facts(Some(5))), ("c".into(), facts(None))]
                .into(),
            ..LearnedFacts::default()
        };
        let mut stored = StoredFacts::new(learned);
        assert!(!stored.is_empty());
        let usable = stored.confirm(|name| match name {
            "a" => ListedStart::Named(Some(5)),
            "c" => ListedStart::Named(None),
            _ => ListedStart::Absent,
        });
        assert_eq!(usable.bounds, [("a".into(), 70)]);
        assert_eq!(usable.primaries, ["a".into(), "c".into()]);
        assert!(stored.is_empty());
        assert_eq!(stored.confirm(|_| ListedStart::Named(Some(5))), UsableFacts::default());
    }
}
