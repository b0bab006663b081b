//! When discovery is called where all proxies may call at one moment: after a move, and for the watch that follows a whole
//! list. It does no I/O and holds no clock; `src/net/discovery.rs` asks it and makes the calls. When a first or a failed
//! call is due, the module decides.
//!
//! Discovery works through calls in turn, so that one call of each proxy takes it N times what one takes. A call in that
//! queue takes part of the time of all behind it, and a watch right behind each list doubles the queue for those that have
//! no list yet. What a proxy sees is how long its own call took: in a jam that is more than a call costs, and the watch
//! then waits longer than it need; where discovery answers in a few ms it waits for nothing that could be noticed.

use crate::interface::{Settings, Time};
use crate::policy::list_calls::{QUEUE_WAIT_MAX, SPAN_PER_CALLER, UNSPREAD_CALLERS};
use crate::policy::state::hash_fraction;

/// Longest span of the calls after a move, in us: a proxy must know by itself within 6 s what discovery had to tell, and a
/// call that fails is made again in the last of them.
const MOVE_SPAN_MAX: Time = 2_000_000;
/// Longest time in which one call of each proxy is thought to be done, in us. A watch that begins by half as much again
/// after the list still tells within those 6 s of what has changed behind the list.
const ROUND_MAX: Time = 2_000_000;

/// How long a watch may wait at discovery where it is asked, in us.
const WATCH_WAIT: Time = 1_500_000;
/// An answer's time beyond that on its way, in us. What a call that is given up has missed counts as told 6 s after
/// discovery had it: by then the call, given up and made again at once, must have been answered in its turn.
const LEAD: Time = 100_000;
/// A renewal needs no turn, but an answer on its way may stand behind others, in us.
const RENEWAL_LEAD: Time = 700_000;

/// Least wait of a watch where lists are pushed, in us: shorter ones would only cost processor time.
const PUSHED_WAIT_MIN: Time = 50_000;

/// How changes of the member list reach this proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// One service answers all proxies, one call after another.
    Queried,
    /// An agent on the proxy's own machine holds what discovery has sent, and answers at once. What it holds counts as
    /// told whether or not this process has called, from its first moment on.
    Pushed {
        /// How long after that a member that drains or is gone may still get requests, in us.
        drain_grace: Time,
    },
}

impl Delivery {
    /// What the settings say of it.
    pub fn of(settings: &Settings) -> Self {
        if settings.subscribe {
            Delivery::Queried
        } else {
            Delivery::Pushed { drain_grace: settings.rules.drain_grace }
        }
    }

    /// How many of `proxies` call where this one does.
    pub fn callers(self, proxies: u32) -> u32 {
        match self {
            Delivery::Queried => proxies,
            Delivery::Pushed { .. } => 1,
        }
    }

    /// How long a watch may wait for a change, in us. A renewal costs discovery no turn, so that a short wait costs it
    /// little; a silent watch is noticed by so much sooner. What an agent got while it was silent counts at once, so
    /// that silence must be noticed within the grace.
    fn watch_wait(self) -> Time {
        match self {
            Delivery::Queried => WATCH_WAIT,
            Delivery::Pushed { drain_grace } => (drain_grace / 2).clamp(PUSHED_WAIT_MIN, WATCH_WAIT),
        }
    }

    /// How long discovery is to wait for a change before it answers this call, in us.
    pub fn wait(self, call: ListCall) -> Time {
        match call {
            ListCall::FullList | ListCall::Confirm => 0,
            ListCall::Watch | ListCall::Renewal => self.watch_wait(),
        }
    }

    /// How long a call is waited for, in us, from when it is made.
    pub fn timeout(self, call: ListCall) -> Time {
        match (self, call) {
            (Delivery::Pushed { .. }, _) => self.watch_wait() + self.watch_wait() / 2,
            (Delivery::Queried, ListCall::FullList | ListCall::Confirm) => QUEUE_WAIT_MAX + LEAD,
            (Delivery::Queried, ListCall::Watch) => QUEUE_WAIT_MAX + WATCH_WAIT + LEAD,
            (Delivery::Queried, ListCall::Renewal) => WATCH_WAIT + RENEWAL_LEAD,
        }
    }

    /// What becomes of a call that failed: without a word (`silent`), or with a refusal, a reset or what is no list.
    pub fn after_failure(self, silent: bool) -> FailedCallAction {
        match self {
            _ if silent => FailedCallAction::RetryNow,
            Delivery::Pushed { .. } => FailedCallAction::RetryAfterPause,
            Delivery::Queried => FailedCallAction::ReportFailure,
        }
    }
}

/// One call to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListCall {
    /// For the whole list.
    FullList,
    /// For what has changed since the version that the process started with, answered at once also where nothing has: until
    /// then nobody has confirmed that list.
    Confirm,
    /// A watch that begins.
    Watch,
    /// A watch that goes on right behind its last answer.
    Renewal,
}

/// What becomes of a call that has brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedCallAction {
    /// It is made again at once: a silent call is broken, discovery need not be, and the pauses of a failed call would
    /// outlast what is left before all counts as told. All that fell silent together waited since different moments.
    RetryNow,
    /// It is made again after a short pause: an agent is this proxy's own, and no call of others waits behind.
    RetryAfterPause,
    /// The module hears that it failed, and says when the next is due.
    ReportFailure,
}

/// When this proxy calls.
#[derive(Debug, Clone, Copy)]
pub struct CallSchedule {
    seed: u64,
    /// Lots drawn so far.
    drawn: u64,
}

impl CallSchedule {
    /// For the proxy with this seed.
    pub fn new(seed: u64) -> Self {
        CallSchedule { seed, drawn: 0 }
    }

    fn drawn_fraction(&mut self) -> f64 {
        self.drawn += 1;
        hash_fraction(!self.seed, self.drawn, SPAN_PER_CALLER)
    }

    /// Discovery has moved, for so many proxies alike: how long until this one calls there, in us. `waited` is how long ago
    /// the first move was since which no list has come: one move after another puts the call off no further.
    pub fn delay_after_move(&mut self, proxies: u32, waited: Time) -> Time {
        let span =
            (Time::from(proxies.saturating_sub(UNSPREAD_CALLERS)) * SPAN_PER_CALLER).min(MOVE_SPAN_MAX);
        let drawn = (span as f64 * self.drawn_fraction()) as Time;
        drawn.min(MOVE_SPAN_MAX.saturating_sub(waited))
    }

    /// A whole list has come, by a call that took so long, in us: how long until the watch behind it begins. By then all
    /// others of so many proxies should have their lists.
    pub fn delay_after_list(&mut self, proxies: u32, took: Time) -> Time {
        let round = took.saturating_mul(Time::from(proxies.saturating_sub(1))).min(ROUND_MAX);
        (round as f64 * (1.0 + self.drawn_fraction() / 2.0)) as Time
    }
}

#[cfg(test)]
#[path = "discovery_schedule_tests.rs"]
mod tests;
