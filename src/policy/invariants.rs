//! Rules that hold whatever the router decides, checked at run time where its decisions are carried out. A violation is a
//! fault of this program: it is counted and told, and what would have broken the rule is not done.

use crate::interface::{DedupScope, Effect, GroupId, Time};

/// What has become of a request so far.
#[derive(Debug, Clone, Copy)]
pub struct RequestProgress {
    /// How it may be repeated.
    pub effect: Effect,
    /// The group that it is for, to whose members alone it goes.
    pub group: GroupId,
    /// When the first attempt was sent that may have run, or of which the end is not known.
    pub first_possible_run: Option<Time>,
    /// When its client gives up.
    pub deadline: Time,
}

/// Where a member stands, by which it may know a request for a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberLocation {
    /// Its zone.
    pub zone: u32,
    /// Its group.
    pub group: GroupId,
}

/// A rule that a decision would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// What may have run, and may not run twice, would be sent again.
    UnsafeResent,
    /// What may have run would be refused, which promises that it has not.
    UnsafeRefused,
    /// What may have run would be sent again when members no longer know it for a repeat.
    KeyedResentLate,
    /// What may have run would be sent to a member that does not know it for a repeat.
    KeyedResentElsewhere,
    /// What may have run would be refused, while a repeat by its client may go where it is not known.
    KeyedRefused,
    /// Something would be sent after its client has given up.
    SentTooLate,
    /// Something new would be sent to a member that is announced as leaving.
    SentToLeaving,
}

impl RequestProgress {
    /// Whether one more attempt may be made.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_send(&self, now: Time) -> Result<(), Violation> {
        match (self.effect, self.first_possible_run) {
            (Effect::Unsafe, Some(_)) => Err(Violation::UnsafeResent),
            _ if now >= self.dedup_until() => Err(Violation::KeyedResentLate),
            _ if now >= self.deadline => Err(Violation::SentTooLate),
            _ => Ok(()),
        }
    }

    /// Whether a member that stands there may get one more attempt, where the first that may have run went to one of
    /// `first_zone`. A member of which nothing is known any more shares its zone with no other.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_go_to(&self, to: Option<MemberLocation>, first_zone: Option<u32>) -> Result<(), Violation> {
        let (Effect::Keyed { group, .. }, Some(_)) = (self.effect, self.first_possible_run) else {
            return Ok(());
        };
        let known = match group {
            DedupScope::All => true,
            DedupScope::Zone => to.is_some_and(|to| Some(to.zone) == first_zone),
            DedupScope::Group => to.is_some_and(|to| to.group == self.group),
        };
        if known {
            Ok(())
        } else {
            Err(Violation::KeyedResentElsewhere)
        }
    }

    /// From then on members may not know one more attempt for a repeat: it must not even begin.
    pub fn dedup_until(&self) -> Time {
        match (self.effect, self.first_possible_run) {
            (Effect::Keyed { window, .. }, Some(first)) => first.saturating_add(window),
            _ => Time::MAX,
        }
    }

    /// Whether it may be refused with the promise that trying again is harmless.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_refuse(&self) -> Result<(), Violation> {
        match (self.effect, self.first_possible_run) {
            (Effect::Unsafe, Some(_)) => Err(Violation::UnsafeRefused),
            (Effect::Keyed { group, .. }, Some(_)) if group != DedupScope::All => {
                Err(Violation::KeyedRefused)
            }
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
#[path = "invariants_tests.rs"]
mod tests;
