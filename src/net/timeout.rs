//! A timer that is reused for one wait after another on the same connection.
//!
//! Nearly every wait ends long before its timeout. Registering and removing a timer for each of them would cost
//! more than the wait itself; a timer that is the earliest of all even makes the runtime wake itself by a system
//! call. This timer stays registered at its first deadline. If it expires too early for the current wait, it is
//! moved to the deadline of that wait.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;
use tokio::time::{Instant, Sleep};

/// A timer shared by consecutive waits.
pub struct ReusableTimer(Pin<Box<Sleep>>);

impl ReusableTimer {
    /// Creates a timer whose first wait ends at `end`.
    pub fn until(end: Instant) -> Self {
        ReusableTimer(Box::pin(tokio::time::sleep_until(end)))
    }

    /// Returns the future's output, or `None` if it is not ready by `end`. The caller pins the future: taken by
    /// value, it would be stored twice in the memory of the calling future.
    pub async fn run_until<F: Future>(&mut self, end: Instant, mut future: Pin<&mut F>) -> Option<F::Output> {
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
