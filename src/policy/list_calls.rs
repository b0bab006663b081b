//! When the router calls discovery, where it has to ask for the member list, and how long it may go by a list that
//! discovery has not confirmed since the process started.
//!
//! The list that a process starts with is as old as the platform makes it. What has changed since counts as told a fixed
//! time after discovery had it, whether the process had started by then or not, so that a new process has only what its
//! restart has left of that time. Three figures bound its first call:
//!
//! - Discovery works through calls in turn, one of each router takes `routers x (call + entries told)`, and a call that has
//!   waited for [`QUEUE_WAIT_MAX`] fails and costs its time all the same. Calls spread over a span succeed as long as one of each
//!   router takes no longer than that span and [`QUEUE_WAIT_MAX`] together; a span shorter than that time delays none of them.
//! - A span of [`FIRST_SPAN_MAX`] therefore serves all routers whose calls take up to 4 s in all, and the last of them has
//!   its list by then.
//! - Where even those do not fit into what the restart has left, the rule goes first: from [`ListCalls::holds`] on nothing is
//!   sent until discovery has answered. Calls cost what they cost either way; a request held back is answered as refused.
//!
//! A call that fails ends the hold. A discovery that is down fails calls as one does that has too many callers, after the
//! same wait, and a process that held on would serve nobody for as long as discovery is down. The price: where the calls of
//! all take more than those 4 s, the few that fail for it go on by a list that nobody has confirmed.

use super::state::hash_fraction;
use crate::interface::{Settings, Time};

/// Routers that may call at once; each more adds so much to the span over which all spread their calls.
pub(crate) const UNSPREAD_CALLERS: u32 = 18;
pub(crate) const SPAN_PER_CALLER: Time = 60_000;
/// Longest span of the first calls of routers that may all have started at once, in us.
const FIRST_SPAN_MAX: Time = 2_000_000;
/// Least pause behind a failed call, in us, and the span over which few routers spread their next ones.
const FAILED_PAUSE: Time = 300_000;
const FAILED_SPAN: Time = 1_000_000;
/// Longest span of the calls after a failure: with the pause before it and up to [`QUEUE_WAIT_MAX`] in which a call waits for
/// its turn it is over before [`TOLD_AFTER`].
const FAILED_SPAN_MAX: Time = 3_700_000;
/// A call that has brought no word after this long is made again, in us; whoever answers no call cannot be reached.
const CALL_TIMEOUT: Time = 6_000_000;
/// Longest wait for a call's turn, in us: what has waited for longer discovery itself fails.
pub(crate) const QUEUE_WAIT_MAX: Time = 2_000_000;
/// Whatever discovery has to tell counts as told this long after it had it, in us.
const TOLD_AFTER: Time = 6_000_000;
/// How old the oldest change may be that the list of a start lacks, in us. Discovery hears of what takes a process down with
/// its members half a second later at the soonest, and a process is back within 5 s.
const RESTART_MAX: Time = 4_500_000;

/// The calls of one router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ListCalls {
    /// When the next call is due.
    due: Option<Time>,
    /// A call is out.
    out: bool,
    /// From when on nothing may be sent by the list that the process started with; none once discovery has confirmed it,
    /// or was found to be out of reach.
    hold_from: Option<Time>,
}

impl ListCalls {
    /// The process has started with a list from before.
    pub(crate) fn started(&mut self, now: Time, set: &Settings) {
        self.hold_from = Some(now + TOLD_AFTER - RESTART_MAX + set.rules.drain_grace);
        self.due_in_turn(now, 0, FIRST_SPAN_MAX, set);
    }

    /// Discovery has answered.
    pub(crate) fn answered(&mut self) {
        *self = ListCalls::default();
    }

    /// The call has failed: discovery is down, or has too many callers.
    pub(crate) fn failed(&mut self, now: Time, set: &Settings) {
        *self = ListCalls::default();
        self.due_in_turn(now + FAILED_PAUSE, FAILED_SPAN, FAILED_SPAN_MAX, set);
    }

    /// Whether a call is to be made now.
    pub(crate) fn calls(&mut self, now: Time) -> bool {
        let due = self.due.is_some_and(|due| now >= due);
        if due {
            // One without a word for so long: nobody is there.
            self.hold_from = self.hold_from.filter(|_| !self.out);
            (self.out, self.due) = (true, Some(now + CALL_TIMEOUT));
        }
        due
    }

    /// When the next call is due.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Nothing may be sent: what the process knows of the members may count as overruled.
    pub(crate) fn holds(&self, now: Time) -> bool {
        self.hold_from.is_some_and(|from| now >= from)
    }

    /// The router's own turn within a span. All may have started, or lost the list, at once, and calls that wait too long
    /// fail and still cost discovery their time: each has a moment of its own, the same in every span, so that the calls
    /// stay apart however often they fail.
    fn due_in_turn(&mut self, from: Time, few: Time, longest: Time, set: &Settings) {
        let more = Time::from(set.instances.saturating_sub(UNSPREAD_CALLERS)) * SPAN_PER_CALLER;
        let span = (few + more).clamp(1, longest);
        let own = (span as f64 * hash_fraction(!set.seed, SPAN_PER_CALLER, 0)) as Time;
        self.due = Some(from + (own + span - from % span) % span);
    }
}

#[cfg(test)]
#[path = "list_calls_tests.rs"]
mod tests;
