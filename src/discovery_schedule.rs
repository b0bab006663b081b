//! When this proxy calls discovery in the situations in which all proxies may call at the same time: after discovery
//! has moved to another address, and to start the watch that follows a full list. It does no I/O and reads no clock:
//! `src/net/discovery.rs` asks it and makes the calls. The policy module (`src/policy`) decides when a first call or
//! a call after a failure is due.
//!
//! Discovery processes calls one after another, so that serving N proxies takes N times as long as serving one. Every
//! queued call delays all calls behind it; if each proxy started its watch right after its list, the queue would
//! double for those that still wait for a list. A proxy sees only how long its own call took. When discovery is
//! congested that includes time in the queue, so the watch waits longer than necessary; when discovery answers within
//! a few ms, the delay is negligible.

use crate::interface::{Settings, Time};
use crate::policy::list_calls::{QUEUE_WAIT_MAX, UNSPREAD_CALLERS, WINDOW_PER_CALLER};
use crate::policy::state::hash_fraction;

/// Longest window over which the proxies' calls after a move are spread, in us. A proxy must learn of a
/// change within 6 s after discovery had it, and the last of these seconds must leave room to retry a failed
/// call.
const MOVE_WINDOW_MAX: Time = 2_000_000;
/// Upper bound for the estimate of how long discovery takes to serve one call of each proxy, in us. A watch starts at
/// most 1.5 times this long after the list, which still reports changes made after the list within the 6 s.
const ROUND_MAX: Time = 2_000_000;

/// How long discovery may hold a watch open before it answers, if lists are queried, in us.
const WATCH_WAIT: Time = 1_500_000;
/// Allowance for the answer's transit on top of that, in us. The proxy counts as informed of a change 6 s after
/// discovery had it, even if its call timed out: within that time the call must have timed out and its immediate
/// retry must have passed discovery's queue and been answered.
const ANSWER_TRANSIT: Time = 100_000;
/// The same allowance for a renewal, in us. A renewal does not queue at discovery, but its answer may be sent behind
/// others.
const RENEWAL_TRANSIT: Time = 700_000;

/// Shortest wait of a watch if lists are pushed, in us: shorter ones would only cost processor time.
const PUSHED_WAIT_MIN: Time = 50_000;

/// How changes of the member list reach this proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// One service answers all proxies, one call after another.
    Queried,
    /// An agent on the proxy's own machine holds the list that discovery has pushed, and answers at once. The proxy
    /// counts as informed of a change as soon as the agent holds it, whether or not this process has called.
    Pushed {
        /// How long after that moment a draining or removed member may still be sent requests, in us.
        drain_grace: Time,
    },
}

impl Delivery {
    /// The delivery that the settings select.
    pub fn of(settings: &Settings) -> Self {
        if settings.subscribe {
            Delivery::Queried
        } else {
            Delivery::Pushed { drain_grace: settings.rules.drain_grace }
        }
    }

    /// How many of `proxies` call the same service as this one.
    pub fn callers(self, proxies: u32) -> u32 {
        match self {
            Delivery::Queried => proxies,
            Delivery::Pushed { .. } => 1,
        }
    }

    /// How long a watch may wait for a change, in us. A renewal does not queue at discovery, so a short wait costs
    /// little and an unresponsive service is noticed sooner. The proxy counts as informed of what an agent receives
    /// at once, so an unresponsive agent must be noticed within the drain grace.
    fn watch_wait(self) -> Time {
        match self {
            Delivery::Queried => WATCH_WAIT,
            Delivery::Pushed { drain_grace } => (drain_grace / 2).clamp(PUSHED_WAIT_MIN, WATCH_WAIT),
        }
    }

    /// How long discovery may wait for a change before it answers this call, in us.
    pub fn wait(self, call: ListCall) -> Time {
        match call {
            ListCall::FullList | ListCall::Confirm => 0,
            ListCall::Watch | ListCall::Renewal => self.watch_wait(),
        }
    }

    /// Timeout of a call, in us, counted from when the call is made.
    pub fn timeout(self, call: ListCall) -> Time {
        match (self, call) {
            (Delivery::Pushed { .. }, _) => self.watch_wait() + self.watch_wait() / 2,
            (Delivery::Queried, ListCall::FullList | ListCall::Confirm) => QUEUE_WAIT_MAX + ANSWER_TRANSIT,
            (Delivery::Queried, ListCall::Watch) => QUEUE_WAIT_MAX + WATCH_WAIT + ANSWER_TRANSIT,
            (Delivery::Queried, ListCall::Renewal) => WATCH_WAIT + RENEWAL_TRANSIT,
        }
    }

    /// What to do after a call that failed in this way.
    pub fn after_failure(self, failure: FailedCall) -> FailedCallAction {
        match (self, failure) {
            (_, FailedCall::Silent | FailedCall::BrokenOff) => FailedCallAction::RetryNow,
            (Delivery::Pushed { .. }, FailedCall::Refused) => FailedCallAction::RetryAfterPause,
            (Delivery::Queried, FailedCall::Refused) => FailedCallAction::ReportFailure,
        }
    }
}

/// One call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListCall {
    /// Requests the full list.
    FullList,
    /// Requests the changes since the version that the process started with, and is answered at once even if there are
    /// none: until then that list is unconfirmed.
    Confirm,
    /// Starts a watch (a long poll for changes).
    Watch,
    /// Continues a watch right after its last answer.
    Renewal,
}

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedCall {
    /// It timed out without a whole answer.
    Silent,
    /// The connection broke in the middle of the answer, or the path to discovery did: it may have written the answer,
    /// and the proxy counts as informed of what was written.
    BrokenOff,
    /// It was refused, reset before an answer, or answered with something other than a list.
    Refused,
}

/// What to do after a call that returned no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedCallAction {
    /// Retry at once. A call without an answer may be broken while discovery itself works, and the pauses after a
    /// failed call would exceed the time left until the proxy counts as informed. The retries of all proxies do not
    /// coincide, as calls that lost their answers at the same moment had waited since different moments.
    RetryNow,
    /// Retry after a short pause: the agent serves this proxy alone, so no other proxy's call queues behind.
    RetryAfterPause,
    /// Report the failure to the policy module, which says when the next call is due.
    ReportFailure,
}

/// Draws this proxy's delays before calls to discovery.
#[derive(Debug, Clone, Copy)]
pub struct CallSchedule {
    seed: u64,
    /// How many random fractions have been drawn.
    draws: u64,
}

impl CallSchedule {
    /// Creates the schedule of the proxy with this seed.
    pub fn new(seed: u64) -> Self {
        CallSchedule { seed, draws: 0 }
    }

    fn draw_fraction(&mut self) -> f64 {
        self.draws += 1;
        hash_fraction(!self.seed, self.draws, WINDOW_PER_CALLER)
    }

    /// Delay of this proxy's first call after discovery has moved, in us, if `proxies` proxies call the same service.
    /// `waited` is the time since the first move after which no list has arrived yet, so that repeated moves do not
    /// postpone the call further.
    pub fn delay_after_move(&mut self, proxies: u32, waited: Time) -> Time {
        let window =
            (Time::from(proxies.saturating_sub(UNSPREAD_CALLERS)) * WINDOW_PER_CALLER).min(MOVE_WINDOW_MAX);
        let delay = (window as f64 * self.draw_fraction()) as Time;
        delay.min(MOVE_WINDOW_MAX.saturating_sub(waited))
    }

    /// Delay between a full list and the start of the watch that follows it, in us. `took` is the duration of the call
    /// that returned the list; after the delay the other `proxies` should have their lists.
    pub fn delay_after_list(&mut self, proxies: u32, took: Time) -> Time {
        let round_time = took.saturating_mul(Time::from(proxies.saturating_sub(1))).min(ROUND_MAX);
        (round_time as f64 * (1.0 + self.draw_fraction() / 2.0)) as Time
    }
}

#[cfg(test)]
#[path = "discovery_schedule_tests.rs"]
mod tests;
