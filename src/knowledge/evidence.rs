//! What a fact may be used for, by where it comes from and what a list of this process's own says meanwhile.
//!
//! The levels are ordered: whoever may use a fact as a proof may use it as a bound, and so on. A decision asks for the
//! least level that it needs and gets a yes or a no.

use super::{LearnedFacts, MemberFacts};
use crate::interface::{Position, Time};
use std::sync::Arc;

/// What a fact may be used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    /// Nothing: it may be of another member's life, or cannot be checked yet.
    Nothing,
    /// Whom to try first, where trying costs no more than a try.
    Hint,
    /// It held once and cannot have become less.
    Bound,
    /// It holds.
    Proof,
}

/// Where a fact comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The member told it to this process.
    Own,
    /// The member told it to another living process of this proxy.
    PeerProcess,
    /// It was written down before this process began.
    Stored,
}

/// What a list that this process has heard says of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedStart {
    /// No list has been heard yet.
    Unheard,
    /// It does not name the member.
    Absent,
    /// It names it, with this start.
    Named(Option<Time>),
}

/// Whether the member lives the same life as when the fact was learned. Only a start that both name proves it: one that
/// has been replaced under its address may be listed without.
fn same_life(facts: &MemberFacts, listed: ListedStart) -> bool {
    matches!(listed, ListedStart::Named(Some(start)) if facts.start == Some(start))
}

/// Whether it surely lives another life.
fn other_life(facts: &MemberFacts, listed: ListedStart) -> bool {
    matches!(listed, ListedStart::Named(start) if start != facts.start) || listed == ListedStart::Absent
}

/// A position: a lower bound for as long as the member's life is the same.
pub fn position(facts: &MemberFacts, source: Source, listed: ListedStart) -> Use {
    match source {
        Source::Own => Use::Proof,
        Source::PeerProcess => Use::Bound,
        Source::Stored if facts.position > 0 && same_life(facts, listed) => Use::Bound,
        Source::Stored => Use::Nothing,
    }
}

/// A role: after a start only whom a write tries first, as roles change without a new start.
pub fn role(facts: &MemberFacts, source: Source, listed: ListedStart) -> Use {
    match (source, facts.primary) {
        (_, None) => Use::Nothing,
        (Source::Own, _) => Use::Proof,
        (Source::PeerProcess, _) => Use::Bound,
        (Source::Stored, _) if other_life(facts, listed) => Use::Nothing,
        (Source::Stored, _) => Use::Hint,
    }
}

/// When a member began to warm up: it cannot be warmer than that allows, whoever tells it.
pub fn cold(facts: &MemberFacts, now: Time, warm_after: Time) -> Use {
    match facts.warm_up_start {
        Some(from) if now < from.saturating_add(warm_after) => Use::Bound,
        _ => Use::Nothing,
    }
}

/// What was stored of members, until a list of this process's own tells what it may be used for.
#[derive(Debug, Default)]
pub struct StoredFacts(LearnedFacts);

/// What of the stored may be acted on, once a list was heard.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UsableFacts {
    /// Positions that are lower bounds.
    pub bounds: Vec<(Arc<str>, Position)>,
    /// Members that a write may try first.
    pub primaries: Vec<Arc<str>>,
}

impl StoredFacts {
    /// Holds what was stored.
    pub fn new(known: LearnedFacts) -> Self {
        StoredFacts(known)
    }

    /// Whether there is anything to tell yet.
    pub fn is_empty(&self) -> bool {
        self.0.members.is_empty()
    }

    /// A list that may be as old as what was stored names members: whom of them a write may try first.
    pub fn hints(&self, listed: impl Fn(&str) -> ListedStart) -> Vec<Arc<str>> {
        let hint = |facts: &MemberFacts, life| {
            facts.primary == Some(true) && role(facts, Source::Stored, life) >= Use::Hint
        };
        let members = self.0.members.iter().filter(|(name, facts)| hint(facts, listed(name)));
        members.map(|(name, _)| name.clone()).collect()
    }

    /// A list was heard: what may be acted on. All else is forgotten, as no later list can make it truer.
    pub fn confirm(&mut self, listed: impl Fn(&str) -> ListedStart) -> UsableFacts {
        let mut usable = UsableFacts { primaries: self.hints(&listed), ..UsableFacts::default() };
        for (name, facts) in std::mem::take(&mut self.0.members) {
            let life = listed(&name);
            if position(&facts, Source::Stored, life) >= Use::Bound {
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
    fn a_stored_position_is_a_bound_only_while_the_start_is_proved_the_same() {
        let of = |start, listed| position(&facts(start), Source::Stored, listed);
        assert_eq!(of(Some(5), ListedStart::Named(Some(5))), Use::Bound);
        for (start, listed) in [
            (Some(5), ListedStart::Unheard),
            (Some(5), ListedStart::Absent),
            (Some(5), ListedStart::Named(Some(6))),
            (Some(5), ListedStart::Named(None)),
            (None, ListedStart::Named(None)),
            (None, ListedStart::Named(Some(5))),
        ] {
            assert_eq!(of(start, listed), Use::Nothing, "{start:?} {listed:?}");
        }
        assert_eq!(position(&facts(None), Source::Own, ListedStart::Unheard), Use::Proof);
        assert_eq!(position(&facts(None), Source::PeerProcess, ListedStart::Unheard), Use::Bound);
    }

    #[test]
    fn a_stored_role_is_never_more_than_a_hint() {
        for start in [None, Some(5)] {
            for listed in [
                ListedStart::Unheard,
                ListedStart::Absent,
                ListedStart::Named(None),
                ListedStart::Named(Some(5)),
                ListedStart::Named(Some(6)),
            ] {
                assert!(role(&facts(start), Source::Stored, listed) <= Use::Hint);
            }
        }
        assert_eq!(role(&facts(Some(5)), Source::Stored, ListedStart::Named(Some(5))), Use::Hint);
        assert_eq!(role(&facts(Some(5)), Source::Stored, ListedStart::Named(Some(6))), Use::Nothing);
        assert_eq!(role(&MemberFacts::default(), Source::Own, ListedStart::Unheard), Use::Nothing);
    }

    #[test]
    fn a_warm_up_binds_until_it_is_over() {
        let facts = MemberFacts { warm_up_start: Some(100), ..MemberFacts::default() };
        assert_eq!(cold(&facts, 149, 50), Use::Bound);
        assert_eq!(cold(&facts, 150, 50), Use::Nothing);
        assert_eq!(cold(&MemberFacts::default(), 0, 50), Use::Nothing);
    }

    #[test]
    fn what_was_stored_is_told_once_and_only_of_members_that_a_list_names() {
        let known = LearnedFacts {
            members: [("a".into(), facts(Some(5))), ("b".into(), facts(Some(5))), ("c".into(), facts(None))]
                .into(),
            ..LearnedFacts::default()
        };
        let mut recalled = StoredFacts::new(known);
        assert!(!recalled.is_empty());
        let usable = recalled.confirm(|name| match name {
            "a" => ListedStart::Named(Some(5)),
            "c" => ListedStart::Named(None),
            _ => ListedStart::Absent,
        });
        assert_eq!(usable.bounds, [("a".into(), 70)]);
        assert_eq!(usable.primaries, ["a".into(), "c".into()]);
        assert!(recalled.is_empty());
        assert_eq!(recalled.confirm(|_| ListedStart::Named(Some(5))), UsableFacts::default());
    }
}
