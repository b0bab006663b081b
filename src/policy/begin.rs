//! Whether an attempt may begin, checked in one place right before its first byte is written to a member.
//!
//! Between the decision to send and the first byte, an attempt waits for space in a queue, for a file
//! descriptor and for a connection, and the process may be suspended. Changes in the meantime take effect
//! here at once, whether or not the task that runs the attempt was notified.
//!
//! | state | ends by | then |
//! | --- | --- | --- |
//! | waiting | [`BeginGate::begin`] | begun, or withheld and forgotten |
//! | waiting | [`BeginGate::withdraw`], [`BeginGate::withdraw_all`] | forgotten: it can no longer begin |
//! | begun | [`BeginGate::end`] | forgotten |

use crate::interface::{RequestId, Time};
use rustc_hash::FxHashSet;

/// The request of an attempt and the attempt's number.
pub type AttemptKey = (RequestId, u32);

/// How long a check that the client is still connected stays valid, in us; after that, the check is repeated
/// before an attempt begins. No attempt may begin more than 0.1 s after its client closed the connection.
pub const CLIENT_CHECK_INTERVAL: Time = 50_000;

/// The conditions at the time at which an attempt would begin.
#[derive(Debug, Clone, Copy)]
pub struct BeginContext {
    /// The current time.
    pub now: Time,
    /// The rules that the decision was based on are valid before this time.
    pub rules_until: Time,
    /// From this time on, members may no longer recognize the attempt as a repeat.
    pub dedup_until: Time,
    /// From this time on, the member's data may be too old for the attempt.
    pub fresh_until: Time,
    /// From this time on, nobody waits for the answer.
    pub stop_at: Time,
    /// The client has closed its connection.
    pub client_gone: bool,
}

impl BeginContext {
    /// How long the member is told that its answer is waited for, in ms. Rounded up, as 0 would mean that the time
    /// is over.
    fn time_limit(&self) -> Time {
        self.stop_at.saturating_sub(self.now).div_ceil(1_000).max(1)
    }
}

/// Why an attempt does not begin. Nothing of it was written, so its request may go to another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithholdReason {
    /// The request is over, or the member is leaving or has moved.
    Withdrawn,
    /// The rules that the decision was based on are no longer valid.
    RulesLapsed,
    /// The attempt repeats one that may have run, and the member may no longer recognize the repeat.
    Forgotten,
    /// The member's data may be older than the request allows.
    TooOld,
    /// Its time is over.
    Late,
    /// Its client has gone.
    ClientGone,
}

/// The attempts at one member, from the decision to send them to their end. Bounded by the number of attempts
/// in flight.
#[derive(Debug, Default)]
pub struct BeginGate {
    waiting: FxHashSet<AttemptKey>,
    begun: FxHashSet<AttemptKey>,
}

impl BeginGate {
    /// Registers an attempt that was decided on and now waits to begin.
    pub fn register(&mut self, key: AttemptKey) {
        self.waiting.insert(key);
    }

    /// Withdraws a waiting attempt, so that it can no longer begin. Returns whether it was waiting.
    pub fn withdraw(&mut self, key: AttemptKey) -> bool {
        self.waiting.remove(&key)
    }

    /// Withdraws all waiting attempts.
    pub fn withdraw_all(&mut self) {
        self.waiting.clear();
    }

    /// Whether an attempt is still waiting, so that [`BeginGate::begin`] may succeed.
    pub fn is_waiting(&self, key: AttemptKey) -> bool {
        self.waiting.contains(&key)
    }

    /// Begins a waiting attempt, which is possible once. Returns the time limit for the member, in ms.
    ///
    /// # Errors
    /// The reason why it must not begin.
    pub fn begin(&mut self, key: AttemptKey, context: BeginContext) -> Result<Time, WithholdReason> {
        if !self.waiting.remove(&key) {
            return Err(WithholdReason::Withdrawn);
        }
        if context.now >= context.rules_until {
            return Err(WithholdReason::RulesLapsed);
        }
        if context.now >= context.dedup_until {
            return Err(WithholdReason::Forgotten);
        }
        if context.now >= context.fresh_until {
            return Err(WithholdReason::TooOld);
        }
        if context.now >= context.stop_at {
            return Err(WithholdReason::Late);
        }
        if context.client_gone {
            return Err(WithholdReason::ClientGone);
        }
        self.begun.insert(key);
        Ok(context.time_limit())
    }

    /// Whether an attempt has begun and not ended.
    pub fn has_begun(&self, key: AttemptKey) -> bool {
        self.begun.contains(&key)
    }

    /// Removes an attempt that has ended. Returns whether it had begun.
    pub fn end(&mut self, key: AttemptKey) -> bool {
        self.waiting.remove(&key);
        self.begun.remove(&key)
    }
}

/// Whether a client that was last seen at `seen` has to be checked again before an attempt begins for it.
pub fn client_check_due(now: Time, seen: Time) -> bool {
    now >= seen.saturating_add(CLIENT_CHECK_INTERVAL)
}

#[cfg(test)]
#[path = "begin_tests.rs"]
mod tests;
