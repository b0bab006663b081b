//! A limit on waiting that is set for wait after wait on the same connection.
//!
//! Nearly every wait ends long before its limit, and a timer that is entered and removed for each of them costs more
//! than the wait itself: entered as the earliest of all, it makes the runtime wake itself by a system call. This one
//! stays where it was entered first. When it rings too early for the wait of the moment, it is moved to where that one
//! ends.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;
use tokio::time::{Instant, Sleep};

/// A timer that waits share, one after the other.
pub struct Timeout(Pin<Box<Sleep>>);

impl Timeout {
    /// One whose first wait ends at this moment.
    pub fn until(end: Instant) -> Self {
        Timeout(Box::pin(tokio::time::sleep_until(end)))
    }

    /// What the future brings, or none if it has brought nothing by then. Pinned by the caller: taken by value it would
    /// stand twice in the memory of whoever waits.
    pub async fn within<F: Future>(&mut self, end: Instant, mut future: Pin<&mut F>) -> Option<F::Output> {
        poll_fn(|cx| {
            if let Poll::Ready(done) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(done));
            }
            let timer = &mut self.0;
            if end < timer.deadline() {
                timer.as_mut().reset(end);
            }
            while timer.as_mut().poll(cx).is_ready() {
                if timer.deadline() >= end {
                    return Poll::Ready(None);
                }
                timer.as_mut().reset(end);
            }
            Poll::Pending
        })
        .await
    }
}

#[cfg(test)]
#[path = "timeout_tests.rs"]
mod tests;
