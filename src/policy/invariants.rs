//! Rules that hold whatever the router decides, checked at run time where its decisions are carried out. A
//! violation is a bug in this program: it is counted and logged, and the action that would break the rule is
//! not carried out.

use crate::interface::{DedupScope, Effect, GroupId, Time};

/// The state of a request, as far as the rules depend on it.
#[derive(Debug, Clone, Copy)]
pub struct RequestProgress {
    /// The effect of repeating it.
    pub effect: Effect,
    /// The group that it is for. It is sent to members of this group only.
    pub group: GroupId,
    /// When the first attempt was sent that may have run or whose end is not known.
    pub first_possible_run: Option<Time>,
    /// When its client stops waiting.
    pub deadline: Time,
    /// Its client has its final answer, or has gone.
    pub ended: bool,
}

/// The zone and group of a member, which determine whether it recognizes a request as a repeat.
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
    /// An unsafe request that may have run would be sent again.
    UnsafeResent,
    /// An unsafe request that may have run would be refused, which promises that it has not.
    UnsafeRefused,
    /// A keyed request that may have run would be sent again when members may no longer recognize the repeat.
    KeyedResentLate,
    /// A keyed request that may have run would be sent to a member that does not recognize the repeat.
    KeyedResentElsewhere,
    /// A keyed request that may have run would be refused, while a retry by its client may reach a member
    /// that does not recognize it.
    KeyedRefused,
    /// A request would be sent after its client stopped waiting.
    SentTooLate,
    /// A new request would be sent to a member that is listed as leaving.
    SentToLeaving,
    /// A request would be sent after its end: its client has its answer, or has gone.
    SentAfterEnd,
}

/// How long after its deadline a request's final answer counts as lost, in us.
pub const MAX_ANSWER_DELAY: Time = 500_000;

/// How long after its check a statement's last byte may be written, in us: its time limit and its client's presence
/// were right at the check, and the rules allow a process to be held up for this long.
pub const MAX_WRITE_DELAY: Time = 150_000;

/// Whether a statement keeps the rules that were checked `delay` us before its last byte was written. Nothing can be
/// done about one that does not: the member has it.
pub fn is_written_in_time(delay: Time) -> bool {
    delay <= MAX_WRITE_DELAY
}

impl RequestProgress {
    /// Whether another attempt may be sent.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_send(&self, now: Time) -> Result<(), Violation> {
        match (self.effect, self.first_possible_run) {
            _ if self.ended => Err(Violation::SentAfterEnd),
            (Effect::Unsafe, Some(_)) => Err(Violation::UnsafeResent),
            _ if now >= self.dedup_until() => Err(Violation::KeyedResentLate),
            _ if now >= self.deadline => Err(Violation::SentTooLate),
            _ => Ok(()),
        }
    }

    /// Whether a member at this location may get another attempt, where the first attempt that may have run
    /// went to a member in `first_zone`. A member that is no longer known shares its zone with no other.
    ///
    /// # Errors
    /// The rule that the attempt would break.
    pub fn may_go_to(&self, to: Option<MemberLocation>, first_zone: Option<u32>) -> Result<(), Violation> {
        let (Effect::Keyed { group, .. }, Some(_)) = (self.effect, self.first_possible_run) else {
            return Ok(());
        };
        let recognized = match group {
            DedupScope::All => true,
            DedupScope::Zone => to.is_some_and(|to| Some(to.zone) == first_zone),
            DedupScope::Group => to.is_some_and(|to| to.group == self.group),
        };
        if recognized {
            Ok(())
        } else {
            Err(Violation::KeyedResentElsewhere)
        }
    }

    /// The time from which members may no longer recognize another attempt as a repeat, so that it must not
    /// begin.
    pub fn dedup_until(&self) -> Time {
        match (self.effect, self.first_possible_run) {
            (Effect::Keyed { window, .. }, Some(first)) => first.saturating_add(window),
            _ => Time::MAX,
        }
    }

    /// Whether a final answer that is given now comes so late that the request is lost. The answer is given all the
    /// same; what made it late was not this decision.
    pub fn is_lost(&self, now: Time) -> bool {
        now > self.deadline.saturating_add(MAX_ANSWER_DELAY)
    }

    /// Whether it may be refused with the promise that trying again is harmless.
    ///
    /// # Errors
    /// The rule that the refusal would break.
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
