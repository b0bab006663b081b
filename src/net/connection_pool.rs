//! Chooses which of a member's idle connections carries the next statement, and what must be checked before. The
//! pool has no clock and no socket; callers pass the time.
//!
//! Data that follows an answer but does not belong to it, such as a duplicate, must never be taken for the answer
//! to the next statement. No waiting time rules that out, as data can be delayed for longer. So every statement on
//! a used connection is preceded by a fence: a query that runs nothing and that the member answers in order.
//! Everything that arrives before the fence's answer is left over from earlier. The socket of a connection that has
//! been idle for a while is checked first, as the connection may have closed meanwhile, or show leftover data
//! before anything is written to it.

use crate::interface::Time;
use std::collections::VecDeque;

/// Minimum idle time, in us, after which checking a connection's socket is worthwhile: what a member sends right
/// after an answer has usually arrived by then.
pub const MIN_IDLE_FOR_CHECK: Time = 3_000;

/// What to do with a connection before a statement is written to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketCheck {
    /// Idle for long enough: check the socket, and use another connection if it is closed or has data.
    Needed,
    /// In use a moment ago: a check would not show anything yet.
    Skip,
}

struct Idle<L> {
    connection: L,
    since: Time,
}

/// Idle connections, in the order in which they became idle. The descriptor budget limits their number.
pub struct Pool<L> {
    idle: VecDeque<Idle<L>>,
    /// A connection that has been idle for this long, in us, is closed and not used any more.
    max_idle: Time,
}

impl<L> Pool<L> {
    /// Creates an empty pool whose connections may be idle for up to `max_idle` us.
    pub fn new(max_idle: Time) -> Self {
        Pool { idle: VecDeque::new(), max_idle }
    }

    /// Changes how long a connection may be idle, in us.
    pub fn set_max_idle(&mut self, max_idle: Time) {
        self.max_idle = max_idle;
    }

    /// Adds a connection whose answer was completed at `now`.
    pub fn put(&mut self, connection: L, now: Time) {
        self.idle.push_back(Idle { connection, since: now });
    }

    /// Takes the connection for the next statement, with the check that it needs. Of the connections that have been
    /// idle for [`MIN_IDLE_FOR_CHECK`], the one used last is taken, so that the others can expire; if there is
    /// none, the one that has been idle longest.
    pub fn take(&mut self, now: Time) -> Option<(L, SocketCheck)> {
        let checkable = self.idle.iter().rposition(|i| now >= i.since + MIN_IDLE_FOR_CHECK);
        let check = if checkable.is_some() { SocketCheck::Needed } else { SocketCheck::Skip };
        let Idle { connection, .. } = self.idle.remove(checkable.unwrap_or(0))?;
        Some((connection, check))
    }

    /// Removes the connections that have been idle for too long and returns their number.
    pub fn remove_expired(&mut self, now: Time) -> usize {
        let expired = self.idle.iter().take_while(|i| now >= i.since + self.max_idle).count();
        self.idle.drain(..expired);
        expired
    }

    /// When the next connection will have been idle for too long.
    pub fn next_expiry(&self) -> Option<Time> {
        self.idle.front().map(|i| i.since + self.max_idle)
    }

    /// Removes the connection that has been idle longest.
    pub fn drop_oldest(&mut self) -> bool {
        self.idle.pop_front().is_some()
    }

    /// Removes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_idle_connection_used_last_is_taken_first_and_checked() {
        let mut pool = Pool::new(100 * MIN_IDLE_FOR_CHECK);
        pool.put('a', 0);
        pool.put('b', 10);
        pool.put('c', MIN_IDLE_FOR_CHECK + 5);
        assert_eq!(pool.take(MIN_IDLE_FOR_CHECK + 10), Some(('b', SocketCheck::Needed)));
        assert_eq!(pool.take(MIN_IDLE_FOR_CHECK + 10), Some(('a', SocketCheck::Needed)));
        // The only one left was used a moment ago. It is taken without waiting.
        assert_eq!(pool.take(MIN_IDLE_FOR_CHECK + 10), Some(('c', SocketCheck::Skip)));
        assert_eq!(pool.take(MIN_IDLE_FOR_CHECK + 10), None);
    }

    #[test]
    fn a_connection_is_checked_only_after_the_minimum_idle_time() {
        let mut pool = Pool::new(100 * MIN_IDLE_FOR_CHECK);
        pool.put('a', 50);
        assert_eq!(pool.take(50 + MIN_IDLE_FOR_CHECK - 1), Some(('a', SocketCheck::Skip)));
        pool.put('a', 50);
        assert_eq!(pool.take(50 + MIN_IDLE_FOR_CHECK), Some(('a', SocketCheck::Needed)));
    }

    #[test]
    fn of_connections_used_a_moment_ago_the_longest_idle_is_taken() {
        let mut pool = Pool::new(100 * MIN_IDLE_FOR_CHECK);
        pool.put('a', 100);
        pool.put('b', 200);
        assert_eq!(pool.take(300), Some(('a', SocketCheck::Skip)));
        assert_eq!(pool.take(300), Some(('b', SocketCheck::Skip)));
    }

    #[test]
    fn expired_connections_are_removed_and_the_others_stay() {
        let mut pool = Pool::new(1_000);
        pool.put('a', 0);
        pool.put('b', 400);
        assert_eq!(pool.next_expiry(), Some(1_000));
        assert_eq!((pool.remove_expired(999), pool.remove_expired(1_000)), (0, 1));
        assert_eq!(pool.next_expiry(), Some(1_400));
        assert!(pool.drop_oldest() && !pool.drop_oldest() && pool.is_empty());
        assert_eq!(pool.next_expiry(), None);
    }
}
