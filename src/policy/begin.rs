//! Whether an attempt may begin now: the one place that is asked right before its first byte is written to a member.
//!
//! Between the decision to send and the first byte an attempt waits for room in a mailbox, for a descriptor and for a
//! connection, and the process may be held up. What has happened meanwhile ends in here at once, whether or not the task
//! that runs the attempt has heard of it.
//!
//! | state | ends by | then |
//! | --- | --- | --- |
//! | waiting | [`BeginGate::begin`] | begun, or withheld and forgotten |
//! | waiting | [`BeginGate::withdraw`], [`BeginGate::withdraw_all`] | forgotten: it can no longer begin |
//! | begun | [`BeginGate::end`] | forgotten |

use crate::interface::{RequestId, Time};
use rustc_hash::FxHashSet;

/// An attempt: its request and its number.
pub type AttemptKey = (RequestId, u32);

/// A client that was there so long ago, in us, is looked at again before anything begins for it. One that has closed must
/// get no attempt that begins more than 0.1 s later.
pub const CLIENT_CHECK_INTERVAL: Time = 50_000;

/// What is known in the moment in which an attempt would begin.
#[derive(Debug, Clone, Copy)]
pub struct BeginContext {
    /// The time.
    pub now: Time,
    /// The rules by which it was decided hold until then.
    pub rules_until: Time,
    /// Members may not know it for a repeat from then on.
    pub dedup_until: Time,
    /// What is known of its member's data is too old for it from then on.
    pub fresh_until: Time,
    /// Nobody waits for its answer from then on.
    pub stop_at: Time,
    /// Its client has closed its connection.
    pub client_gone: bool,
}

/// Why an attempt does not begin. Nothing of it has been written, and its request may go elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithholdReason {
    /// Its request is over, or its member leaves or has moved.
    Withdrawn,
    /// The rules that it was decided by no longer hold.
    RulesLapsed,
    /// It repeats what may have run, and its member may no longer know it for a repeat.
    Forgotten,
    /// Its member's data may be older than it allows.
    TooOld,
    /// Its time is over.
    Late,
    /// Its client has gone.
    ClientGone,
}

/// The attempts at one member, from the decision to send them to their end. Bounded by those that are out.
#[derive(Debug, Default)]
pub struct BeginGate {
    waiting: FxHashSet<AttemptKey>,
    begun: FxHashSet<AttemptKey>,
}

impl BeginGate {
    /// An attempt was decided on and waits.
    pub fn register(&mut self, key: AttemptKey) {
        self.waiting.insert(key);
    }

    /// An attempt that waits may not begin any more; whether it did wait.
    pub fn withdraw(&mut self, key: AttemptKey) -> bool {
        self.waiting.remove(&key)
    }

    /// The same for all that wait.
    pub fn withdraw_all(&mut self) {
        self.waiting.clear();
    }

    /// Whether an attempt may still begin, as far as others have said so.
    pub fn is_waiting(&self, key: AttemptKey) -> bool {
        self.waiting.contains(&key)
    }

    /// An attempt begins now, once.
    ///
    /// # Errors
    /// Why it must not.
    pub fn begin(&mut self, key: AttemptKey, moment: BeginContext) -> Result<(), WithholdReason> {
        if !self.waiting.remove(&key) {
            return Err(WithholdReason::Withdrawn);
        }
        if moment.now >= moment.rules_until {
            return Err(WithholdReason::RulesLapsed);
        }
        if moment.now >= moment.dedup_until {
            return Err(WithholdReason::Forgotten);
        }
        if moment.now >= moment.fresh_until {
            return Err(WithholdReason::TooOld);
        }
        if moment.now >= moment.stop_at {
            return Err(WithholdReason::Late);
        }
        if moment.client_gone {
            return Err(WithholdReason::ClientGone);
        }
        self.begun.insert(key);
        Ok(())
    }

    /// Whether an attempt has begun and not ended.
    pub fn has_begun(&self, key: AttemptKey) -> bool {
        self.begun.contains(&key)
    }

    /// An attempt has ended; whether it had begun.
    pub fn end(&mut self, key: AttemptKey) -> bool {
        self.waiting.remove(&key);
        self.begun.remove(&key)
    }
}

/// Whether a client that was there at `seen` has to be looked at before anything begins for it.
pub fn client_check_due(now: Time, seen: Time) -> bool {
    now >= seen.saturating_add(CLIENT_CHECK_INTERVAL)
}

#[cfg(test)]
#[path = "begin_tests.rs"]
mod tests;
