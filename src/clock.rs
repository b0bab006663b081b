//! The one clock: Unix time at the start, carried on by the monotonic clock, in microseconds.

use crate::interface::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that never goes back. Copies agree.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// Set by the system's clock, once.
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Time;
        Clock { base, start: Instant::now() }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }

    /// When that is, for timers; what has passed is now.
    pub fn instant(&self, at: Time) -> Instant {
        let far = 24 * 3_600_000_000;
        self.start + Duration::from_micros(at.saturating_sub(self.base).min(self.now() - self.base + far))
    }
}
