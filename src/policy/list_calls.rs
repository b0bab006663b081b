//! When the router calls discovery, if it has to request the member list, and how long it may use a list that
//! discovery has not confirmed since the process started.
//!
//! A process does not control the age of the list that it starts with. By the platform's rules, a change
//! counts as known to every router a fixed time after discovery learned of it, whether or not the process was
//! running by then. A new process therefore only has what its restart has left of that time. Three limits
//! determine its first call:
//!
//! - Discovery processes calls one after another. One call from each router takes `routers x (call + entries
//!   told)`; a call that waited for [`QUEUE_WAIT_MAX`] fails and still costs its time. Calls spread over a
//!   window succeed if one call of each router takes no longer than that window plus [`QUEUE_WAIT_MAX`]; a
//!   window shorter than the total time of the calls delays none of them.
//! - A window of [`FIRST_WINDOW_MAX`] therefore serves all routers if their calls take up to 4 s in total,
//!   and the last router has its list by then.
//! - If even these calls do not fit into the time left after the restart, the rule has priority: once
//!   [`ListCalls::blocks_sending`] is true, nothing is sent until discovery has answered. A request
//!   waits for that for as long as its client does.
//!
//! A failed call ends the block. Calls fail in the same way, after the same wait, whether discovery is down
//! or has too many callers, and a process that kept blocking would serve nobody while discovery is down. The
//! known cost: if the calls of all routers take more than those 4 s, the few routers whose calls fail go on
//! with an unconfirmed list.

use super::state::hash_fraction;
use crate::interface::{Settings, Time};

/// Number of routers that may call without spreading their calls; each router beyond that extends the window
/// for the calls of all routers by `WINDOW_PER_CALLER`.
pub(crate) const UNSPREAD_CALLERS: u32 = 18;
pub(crate) const WINDOW_PER_CALLER: Time = 60_000;
/// Longest window of the first calls of routers that may all have started at once, in us.
const FIRST_WINDOW_MAX: Time = 2_000_000;
/// Minimum delay after a failed call, in us, and the window over which the next calls of up to
/// `UNSPREAD_CALLERS` routers are spread.
const FAILED_CALL_DELAY: Time = 300_000;
const FAILED_CALL_WINDOW: Time = 1_000_000;
/// Longest window of the calls after a failure, in us: together with the delay before the window and the wait
/// of up to [`QUEUE_WAIT_MAX`] at discovery, it is shorter than [`KNOWN_AFTER`].
const FAILED_CALL_WINDOW_MAX: Time = 3_700_000;
/// A call without a result is repeated after this time, in us; a discovery that does not answer at all counts
/// as out of reach.
const CALL_TIMEOUT: Time = 6_000_000;
/// Longest wait for a call's turn at discovery, in us; discovery itself fails calls that waited longer.
pub(crate) const QUEUE_WAIT_MAX: Time = 2_000_000;
/// A change counts as known to every router this long after discovery learned of it, in us.
const KNOWN_AFTER: Time = 6_000_000;
/// Greatest age in us of the oldest change that the list of a new process may lack. Discovery learns no
/// sooner than half a second later of an event that takes down a process together with members, and a process
/// is back within 5 s.
const RESTART_LIST_AGE_MAX: Time = 4_500_000;

/// The calls of one router to discovery.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ListCalls {
    /// When the next call is due.
    due: Option<Time>,
    /// A call is pending.
    pending: bool,
    /// From when on nothing may be sent on the list that the process started with; none once discovery has
    /// confirmed the list or was found to be out of reach.
    blocked_from: Option<Time>,
}

impl ListCalls {
    /// The process has started with a list from an earlier run.
    pub(crate) fn started(&mut self, now: Time, set: &Settings) {
        self.blocked_from = Some(now + KNOWN_AFTER - RESTART_LIST_AGE_MAX + set.rules.drain_grace);
        self.due_in_turn(now, 0, FIRST_WINDOW_MAX, set);
    }

    /// Discovery has answered.
    pub(crate) fn answered(&mut self) {
        *self = ListCalls::default();
    }

    /// The call has failed: discovery is down or has too many callers.
    pub(crate) fn failed(&mut self, now: Time, set: &Settings) {
        *self = ListCalls::default();
        self.due_in_turn(now + FAILED_CALL_DELAY, FAILED_CALL_WINDOW, FAILED_CALL_WINDOW_MAX, set);
    }

    /// Returns whether a call is to be made now, and records it as made.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        let due = self.due.is_some_and(|due| now >= due);
        if due {
            // The previous call has had no result for so long that discovery is out of reach.
            self.blocked_from = self.blocked_from.filter(|_| !self.pending);
            (self.pending, self.due) = (true, Some(now + CALL_TIMEOUT));
        }
        due
    }

    /// When the next call is due.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Whether nothing may be sent, because the list may be out of date by the platform's rules.
    pub(crate) fn blocks_sending(&self, now: Time) -> bool {
        self.blocked_from.is_some_and(|from| now >= from)
    }

    /// Schedules the next call in this router's slot within a window. All routers may have started, or lost
    /// the list, at the same time, and calls that wait too long fail and still cost discovery their time.
    /// Each router therefore has a slot of its own, the same in every window, so that the calls stay apart
    /// however often they fail.
    fn due_in_turn(&mut self, from: Time, min_window: Time, max_window: Time, set: &Settings) {
        let more = Time::from(set.instances.saturating_sub(UNSPREAD_CALLERS)) * WINDOW_PER_CALLER;
        let window = (min_window + more).clamp(1, max_window);
        let slot = (window as f64 * hash_fraction(!set.seed, WINDOW_PER_CALLER, 0)) as Time;
        self.due = Some(from + (slot + window - from % window) % window);
    }
}

#[cfg(test)]
#[path = "list_calls_tests.rs"]
mod tests;
