//! Which of a member's connections carries the next statement, and what must be done before it does. It holds no
//! clock and no socket: whoever asks says what time it is.
//!
//! What comes right behind an answer and does not belong to it, such as a second copy, must never pass for the answer
//! to the next statement. No wait rules that out: what was sent may be held up for longer. So every statement on a used
//! connection stands behind a fence, something that the member answers in its turn and that runs nothing, and all that
//! comes before the fence's answer is known to be left over. A connection that has rested for a while is looked at
//! first: it may have ended meanwhile, or show what is left over before anything is written to it.

use crate::interface::Time;
use std::collections::VecDeque;

/// So long after its last answer a connection has rested, in us: what a member sends right behind an answer has come
/// by then, as a rule.
pub const REST: Time = 3_000;

/// What is to be done with a connection before a statement is written to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Before {
    /// It has rested: look at it, and take another if it does not stand.
    Look,
    /// It was in use a moment ago: a look would show nothing yet.
    Nothing,
}

struct Idle<L> {
    link: L,
    since: Time,
}

/// Connections at rest, in the order in which they came to rest. As many as there are permits for.
pub struct Pool<L> {
    idle: VecDeque<Idle<L>>,
    /// Idle for so long, in us, a connection is closed rather than used.
    most: Time,
}

impl<L> Pool<L> {
    /// An empty one; `most` is how long a connection may rest, in us.
    pub fn new(most: Time) -> Self {
        Pool { idle: VecDeque::new(), most }
    }

    /// From now on a connection may rest for so long, in us.
    pub fn keep(&mut self, most: Time) {
        self.most = most;
    }

    /// Takes in a connection whose answer has come to its end now.
    pub fn rest(&mut self, link: L, now: Time) {
        self.idle.push_back(Idle { link, since: now });
    }

    /// The connection for the next statement, with what has to be done before it: of those that have rested the one
    /// used last, so that the others can go; else the one that has rested for longest.
    pub fn take(&mut self, now: Time) -> Option<(L, Before)> {
        let rested = self.idle.iter().rposition(|i| now >= i.since + REST);
        let before = if rested.is_some() { Before::Look } else { Before::Nothing };
        let Idle { link, .. } = self.idle.remove(rested.unwrap_or(0))?;
        Some((link, before))
    }

    /// Removes what has rested for too long, and says how many that were.
    pub fn reap(&mut self, now: Time) -> usize {
        let old = self.idle.iter().take_while(|i| now >= i.since + self.most).count();
        self.idle.drain(..old);
        old
    }

    /// When the next will have rested for too long.
    pub fn due(&self) -> Option<Time> {
        self.idle.front().map(|i| i.since + self.most)
    }

    /// Removes the one that has rested for longest.
    pub fn drop_oldest(&mut self) -> bool {
        self.idle.pop_front().is_some()
    }

    /// Removes all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Whether none rests.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_rested_connection_is_looked_at_and_the_one_used_last_goes_first() {
        let mut pool = Pool::new(100 * REST);
        pool.rest('a', 0);
        pool.rest('b', 10);
        pool.rest('c', REST + 5);
        assert_eq!(pool.take(REST + 10), Some(('b', Before::Look)));
        assert_eq!(pool.take(REST + 10), Some(('a', Before::Look)));
        // Only one is left, and it has not rested: it is not waited for.
        assert_eq!(pool.take(REST + 10), Some(('c', Before::Nothing)));
        assert_eq!(pool.take(REST + 10), None);
    }

    #[test]
    fn the_moment_before_it_has_rested_a_look_would_be_in_vain() {
        let mut pool = Pool::new(100 * REST);
        pool.rest('a', 50);
        assert_eq!(pool.take(50 + REST - 1), Some(('a', Before::Nothing)));
        pool.rest('a', 50);
        assert_eq!(pool.take(50 + REST), Some(('a', Before::Look)));
    }

    #[test]
    fn of_those_that_have_not_rested_the_longest_at_rest_is_taken() {
        let mut pool = Pool::new(100 * REST);
        pool.rest('a', 100);
        pool.rest('b', 200);
        assert_eq!(pool.take(300), Some(('a', Before::Nothing)));
        assert_eq!(pool.take(300), Some(('b', Before::Nothing)));
    }

    #[test]
    fn what_has_rested_for_too_long_goes_and_the_rest_stays() {
        let mut pool = Pool::new(1_000);
        pool.rest('a', 0);
        pool.rest('b', 400);
        assert_eq!(pool.due(), Some(1_000));
        assert_eq!((pool.reap(999), pool.reap(1_000)), (0, 1));
        assert_eq!(pool.due(), Some(1_400));
        assert!(pool.drop_oldest() && !pool.drop_oldest() && pool.is_empty());
        assert_eq!(pool.due(), None);
    }
}
