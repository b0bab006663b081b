//! Until when the process may answer what it still takes.

use crate::interface::Time;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The platform may kill a process that was told to end: a request that is taken after that must have its answer before, however
/// long its client would wait. All fronts share one limit; there is none until the end begins.
#[derive(Debug, Clone)]
pub struct AnswerLimit(Arc<AtomicU64>);

impl Default for AnswerLimit {
    fn default() -> Self {
        AnswerLimit(Arc::new(AtomicU64::new(Time::MAX)))
    }
}

impl AnswerLimit {
    /// From now on nothing is answered later than at `end`, by the process's clock.
    pub fn set(&self, end: Time) {
        self.0.store(end, Ordering::Relaxed);
    }

    /// The deadline of a request that is taken now.
    pub fn cap(&self, deadline: Time) -> Time {
        deadline.min(self.0.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_deadline_stands_until_the_end_has_begun_and_is_no_later_than_the_end_then() {
        let limit = AnswerLimit::default();
        let shared = limit.clone();
        assert_eq!(limit.cap(9), 9);
        shared.set(5);
        assert_eq!((limit.cap(9), limit.cap(4)), (5, 4));
    }
}
