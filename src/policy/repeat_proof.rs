//! Whether a booking may run whose repeat id this proxy does not know. Other proxies of the fleet may have got an
//! earlier try of it, and proxies share nothing: only what the client says can prove that this try is the first.
//!
//! | class of the booking | first try | not proved to be the first |
//! | --- | --- | --- |
//! | may run any number of times | runs | runs |
//! | members recognize repeats by a key | runs | runs until members may have forgotten an earlier try; after that not |
//! | must never run twice | runs | does not run |

use crate::interface::{DedupScope, Effect, Settings, Time};

/// Unit of first sends, in us.
const FIRST_SENT_UNIT: Time = 1_000_000;
/// How much a first try may seem older or younger, in us: time on its way, and clocks that differ.
const FIRST_TRY_TOLERANCE: Time = 200_000;
/// How long before members may have forgotten an earlier try the last attempt may begin, in us.
const DEDUP_MARGIN: Time = 200_000;

/// What a client says of its earlier tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMark {
    /// There was none.
    FirstTry,
    /// There was one. It may have run.
    Retry,
    /// Nothing.
    Unmarked,
}

/// What the settings say of the clients and of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryHabits {
    /// Clients mark their retries, so that an unmarked try is a first one.
    pub marked: bool,
    /// There are other proxies, which may have got an earlier try.
    pub other_proxies: bool,
}

impl RetryHabits {
    /// What these settings say.
    pub fn of(settings: &Settings) -> Self {
        RetryHabits { marked: settings.marks_retries, other_proxies: settings.instances > 1 }
    }
}

/// A booking whose repeat id is not known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownBooking {
    /// The effect of running it more than once.
    pub effect: Effect,
    /// What its client says.
    pub mark: RetryMark,
    /// When it was first sent, by the client's clock.
    pub first_sent: Time,
    /// When this try arrived.
    pub arrived: Time,
}

/// Until when an unknown booking may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPermission {
    /// Without a limit.
    Unlimited,
    /// Its attempts must begin before this time.
    Until(Time),
    /// Not at all: an earlier try may have run.
    Denied,
}

impl UnknownBooking {
    /// Until when the booking may be sent.
    pub fn permission(&self, habits: RetryHabits) -> RunPermission {
        if self.effect == Effect::Safe || self.is_called_first_try(habits) {
            return RunPermission::Unlimited;
        }
        if let Some(until) = self.recognized_until().filter(|until| self.arrived < *until) {
            return RunPermission::Until(until);
        }
        match self.mark == RetryMark::Unmarked && self.is_sent_just_now() {
            true => RunPermission::Unlimited,
            false => RunPermission::Denied,
        }
    }

    /// Whether this is the first try by the client's word.
    fn is_called_first_try(&self, habits: RetryHabits) -> bool {
        match self.mark {
            RetryMark::FirstTry => true,
            RetryMark::Retry => false,
            RetryMark::Unmarked => habits.marked || !habits.other_proxies,
        }
    }

    /// Until when members recognize another attempt as a repeat of an earlier try, wherever that was sent; `None` if they
    /// may not. An earlier try was sent to a member after its first send, and to a zone that is not known here.
    fn recognized_until(&self) -> Option<Time> {
        match self.effect {
            Effect::Keyed { group: DedupScope::All | DedupScope::Group, window } => {
                Some(self.first_sent.saturating_add(window).saturating_sub(DEDUP_MARGIN))
            }
            Effect::Keyed { group: DedupScope::Zone, .. } | Effect::Safe | Effect::Unsafe => None,
        }
    }

    /// Whether the first send is so recent that its client cannot have waited and tried again.
    fn is_sent_just_now(&self) -> bool {
        let earliest = self.first_sent.saturating_sub(FIRST_TRY_TOLERANCE);
        let latest = self.first_sent.saturating_add(FIRST_SENT_UNIT + FIRST_TRY_TOLERANCE);
        (earliest..=latest).contains(&self.arrived)
    }
}

#[cfg(test)]
#[path = "repeat_proof_tests.rs"]
mod tests;
