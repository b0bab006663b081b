//! How far the members' clock is from this process's, found out from what primaries tell.
//!
//! Positions, commits and starts are times of the members' machines. This process takes its machine's wall clock once, at
//! its start, and goes on by the monotonic clock; where the wall clock was off by then, every comparison of the two would be
//! off for as long as the process lives: a cold member would count as warm, a replica as an hour behind, or an old position
//! as recent. A primary stands at the present, so that the position in its answer is a time between the moments at which the
//! request was sent and the answer heard. Three such answers in a row that agree settle the offset once and for all: neither
//! clock is stepped under a running process, and what is spoilt on the way does not agree with itself.

use crate::interface::Time;

/// Clocks count as the same within this, in us. Load reports are refreshed a few times a second, and a step of clocks within
/// it changes no decision that rests on seconds.
const SAME_WITHIN: Time = 1_000_000;
/// Answers in a row that must agree.
const CONFIRMATIONS: u32 = 3;
/// No clock is off by more than this, in us: a day and its time zone's hours.
const OFFSET_MAX: i64 = 26 * 3_600 * 1_000_000;

/// The members' clock, as far as it is known.
#[derive(Debug, Default)]
pub struct MemberClock {
    /// The members' time less this process's, in us.
    offset: i64,
    /// What the last answers in a row showed it to be, and how many they were.
    seen: i64,
    confirmations: u32,
    settled: bool,
}

impl MemberClock {
    /// The members' time less this process's, in us.
    pub fn offset(&self) -> i64 {
        self.offset
    }

    /// A time of theirs by this process's clock.
    pub fn to_local(&self, told: Time) -> Time {
        told.saturating_add_signed(-self.offset)
    }

    /// A time of this process by theirs.
    pub fn to_member(&self, local: Time) -> Time {
        local.saturating_add_signed(self.offset)
    }

    /// A position in an answer that came now to what was sent at `sent`, by this process's clock; none where that cannot be
    /// said: it lies ahead, or is a primary's and not the present.
    pub fn observe_position(&mut self, told: Time, sent: Time, now: Time, primary: bool) -> Option<Time> {
        if primary && !self.settled {
            self.observe(told, sent, now);
        }
        let local = self.to_local(told);
        let past = local > 0 && local <= now.saturating_add(SAME_WITHIN);
        let present = self.settled || !primary || self.is_present(told, sent, now);
        (past && present).then_some(local)
    }

    fn is_present(&self, told: Time, sent: Time, now: Time) -> bool {
        let local = self.to_local(told);
        local.saturating_add(SAME_WITHIN) >= sent && local <= now.saturating_add(SAME_WITHIN)
    }

    /// A primary has told this position.
    fn observe(&mut self, told: Time, sent: Time, now: Time) {
        // What would make positions look newer than they are is never taken: the earliest moment that it may stand for.
        let shown = if self.is_present(told, sent, now) { self.offset } else { difference(told, sent) };
        if shown.abs() > OFFSET_MAX {
            self.confirmations = 0;
            return;
        }
        let agrees = self.confirmations > 0 && shown.abs_diff(self.seen) <= SAME_WITHIN;
        self.confirmations = if agrees { self.confirmations + 1 } else { 1 };
        self.seen = shown;
        if self.confirmations >= CONFIRMATIONS {
            (self.offset, self.settled) = (shown, true);
        }
    }
}

fn difference(a: Time, b: Time) -> i64 {
    let magnitude = i64::try_from(a.abs_diff(b)).unwrap_or(i64::MAX);
    if a >= b {
        magnitude
    } else {
        -magnitude
    }
}

#[cfg(test)]
#[path = "member_clock_tests.rs"]
mod tests;
