//! The offset between the members' clock and that of this process, determined from answers of primaries.
//!
//! Positions, commits and starts are times of the members' machines. This process reads its machine's wall
//! clock once, at its start, and continues with the monotonic clock. If the wall clock was wrong at that
//! time, every comparison of the two clocks would be wrong for the lifetime of the process: a cold member
//! would count as warm, a replica as an hour behind, or an old position as recent. The position of a primary
//! is its current time, so that the position in its answer lies between the times at which the request was
//! sent and the answer was received. Three consecutive answers that agree fix the offset for good: neither
//! clock is stepped while a process runs, and corrupted answers do not agree with each other.

use crate::interface::Time;

/// Clocks within this difference count as the same, in us. Load reports are refreshed a few times a second,
/// and a clock step within this changes no decision, as those are based on seconds.
const CLOCK_TOLERANCE: Time = 1_000_000;
/// Number of consecutive answers that must agree.
const CONFIRMATIONS: u32 = 3;
/// Largest accepted offset, in us: 26 h, which covers a wrong date or time zone.
const OFFSET_MAX: i64 = 26 * 3_600 * 1_000_000;

/// The members' clock, as far as it is known.
#[derive(Debug, Default)]
pub struct MemberClock {
    /// The members' time minus the time of this process, in us.
    offset: i64,
    /// The offset by the last consecutive answers that agree, and their number.
    candidate: i64,
    confirmations: u32,
    confirmed: bool,
}

impl MemberClock {
    /// The members' time minus the time of this process, in us.
    pub fn offset(&self) -> i64 {
        self.offset
    }

    /// Converts a member time to the clock of this process.
    pub fn to_local(&self, member_time: Time) -> Time {
        member_time.saturating_add_signed(-self.offset)
    }

    /// Converts a time of this process to the members' clock.
    pub fn to_member(&self, local: Time) -> Time {
        local.saturating_add_signed(self.offset)
    }

    /// Converts a position from an answer received at `now` to a request sent at `sent` to the clock of this
    /// process. Returns none if the position cannot be true: it lies in the future, or comes from a primary
    /// and is not its current time.
    pub fn observe_position(
        &mut self,
        member_time: Time,
        sent: Time,
        now: Time,
        primary: bool,
    ) -> Option<Time> {
        if primary && !self.confirmed {
            self.observe(member_time, sent, now);
        }
        let local = self.to_local(member_time);
        let not_future = local > 0 && local <= now.saturating_add(CLOCK_TOLERANCE);
        let present = self.confirmed || !primary || self.is_present(member_time, sent, now);
        (not_future && present).then_some(local)
    }

    fn is_present(&self, member_time: Time, sent: Time, now: Time) -> bool {
        let local = self.to_local(member_time);
        local.saturating_add(CLOCK_TOLERANCE) >= sent && local <= now.saturating_add(CLOCK_TOLERANCE)
    }

    /// Records the position in an answer of a primary.
    fn observe(&mut self, member_time: Time, sent: Time, now: Time) {
        // The earliest time that the position may stand for, so that the offset never makes positions look
        // newer than they are.
        let offset =
            if self.is_present(member_time, sent, now) { self.offset } else { difference(member_time, sent) };
        if offset.abs() > OFFSET_MAX {
            self.confirmations = 0;
            return;
        }
        let agrees = self.confirmations > 0 && offset.abs_diff(self.candidate) <= CLOCK_TOLERANCE;
        self.confirmations = if agrees { self.confirmations + 1 } else { 1 };
        self.candidate = offset;
        if self.confirmations >= CONFIRMATIONS {
            (self.offset, self.confirmed) = (offset, true);
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
