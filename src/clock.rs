//! The clock of the process: the Unix time at startup plus the monotonic time since then, in microseconds.

use crate::interface::Time;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that never goes backwards. All copies show the same time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Time,
    start: Instant,
}

impl Clock {
    /// Creates a clock that is set once from the system clock.
    pub fn start() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Time;
        Clock { base, start: Instant::now() }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.base + self.start.elapsed().as_micros() as Time
    }

    /// Converts a time for use in timers. Times before the start become the start, and times more than a day ahead are
    /// limited to a day from now.
    pub fn instant(&self, at: Time) -> Instant {
        let one_day = 24 * 3_600_000_000;
        self.start + Duration::from_micros(at.saturating_sub(self.base).min(self.now() - self.base + one_day))
    }
}
