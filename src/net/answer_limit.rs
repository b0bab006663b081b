//! The latest time at which the process may answer requests during shutdown.

use crate::interface::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The platform may kill a process some time after asking it to stop, so requests accepted after that must be
/// answered earlier, however long their clients would wait. All fronts share one limit; until shutdown begins there
/// is none.
#[derive(Debug, Clone)]
pub struct AnswerLimit(Arc<AtomicU64>);

impl Default for AnswerLimit {
    fn default() -> Self {
        AnswerLimit(Arc::new(AtomicU64::new(Time::MAX)))
    }
}

impl AnswerLimit {
    /// Sets the latest time for answers, by the process's clock.
    pub fn set(&self, end: Time) {
        self.0.store(end, Ordering::Relaxed);
    }

    /// The deadline of a request that is accepted now: its own or the limit, whichever is earlier.
    pub fn cap(&self, deadline: Time) -> Time {
        deadline.min(self.0.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_are_unchanged_until_shutdown_and_capped_after() {
        let limit = AnswerLimit::default();
        let shared = limit.clone();
        assert_eq!(limit.cap(9), 9);
        shared.set(5);
        assert_eq!((limit.cap(9), limit.cap(4)), (5, 4));
    }
}
