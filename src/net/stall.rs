//! Detects stalls of the process, caused by the machine or by a long step of its own. Input that arrived in the
//! sockets during a stall has waited, and the time until its deadline has passed meanwhile.
//!
//! The runtime's thread reads the clock at each call that may take long. Two readings far apart without an idle
//! period between them are a stall. A stall soon after another one continues it, as input that arrived during the
//! first may not have been read before the second. While the thread is idle no stall can be detected; arriving
//! input wakes the thread.

use crate::interface::Time;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Two clock readings at least this far apart are a stall, as no normal step of the process takes that long.
const MIN_STALL: Duration = Duration::from_millis(40);
/// Input that arrived during a stall, in the sockets or in the listen backlog, has been read by this long after its
/// end.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// Clock readings of one thread.
#[derive(Debug, Clone, Copy)]
struct ClockReadings {
    /// The last reading, or the end of the last idle period.
    last: Instant,
    stall: Option<Stall>,
}

/// One stall, or several in quick succession.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stall {
    /// When the first stall began.
    began: Instant,
    /// When the last stall ended.
    ended: Instant,
}

impl ClockReadings {
    fn new(now: Instant) -> Self {
        ClockReadings { last: now, stall: None }
    }

    fn idle_until(mut self, now: Instant) -> Self {
        self.last = now;
        self
    }

    fn read(mut self, now: Instant) -> Self {
        // A stall that begins soon after the end of another one continues it.
        let last = self.last;
        self.stall = self.stall.filter(|stall| last < stall.ended + CATCH_UP_TIME);
        if now.saturating_duration_since(last) >= MIN_STALL {
            let began = self.stall.map_or(last, |stall| stall.began);
            self.stall = Some(Stall { began, ended: now });
        }
        self.stall = self.stall.filter(|stall| now < stall.ended + CATCH_UP_TIME);
        self.last = now;
        self
    }
}

thread_local! {
    static READINGS: Cell<Option<ClockReadings>> = const { Cell::new(None) };
}

/// Records that the thread has been idle until now.
pub fn thread_unparked() {
    let now = Instant::now();
    READINGS.set(Some(READINGS.get().unwrap_or(ClockReadings::new(now)).idle_until(now)));
}

/// Reads the clock. After a stall, returns since when input that is read now may have been in its socket.
pub fn check() -> Option<Instant> {
    let now = Instant::now();
    let readings = READINGS.get().unwrap_or(ClockReadings::new(now)).read(now);
    READINGS.set(Some(readings));
    readings.stall.map(|stall| stall.began)
}

/// How long, in us, a request that is read now may have waited in its socket: since a stall began, or since
/// `waits_since`, if its connection has not been read since then.
pub fn queued_time(waits_since: Option<Instant>) -> Time {
    let since = waits_since.into_iter().chain(check()).min();
    since.map_or(0, |since| since.elapsed().as_micros() as Time)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn began(readings: ClockReadings, start: Instant) -> Option<Duration> {
        readings.stall.map(|stall| stall.began - start)
    }

    #[test]
    fn a_long_time_between_two_readings_is_a_stall_unless_the_thread_was_idle() {
        let start = Instant::now();
        let readings = ClockReadings::new(start).read(start + 10 * MS);
        assert_eq!(began(readings, start), None);
        assert_eq!(began(readings.read(start + 160 * MS), start), Some(10 * MS));
        assert_eq!(began(readings.idle_until(start + 160 * MS).read(start + 161 * MS), start), None);
    }

    #[test]
    fn a_stall_is_over_once_its_input_has_been_read() {
        let start = Instant::now();
        let stalled = ClockReadings::new(start).read(start + 150 * MS);
        let reread_until =
            |until: u32| (151..=until).fold(stalled, |readings, at| readings.read(start + at * MS));
        assert_eq!(began(reread_until(200), start), Some(Duration::ZERO));
        assert_eq!(began(reread_until(211), start), None);
        assert_eq!(began(stalled.idle_until(start + 900 * MS).read(start + 901 * MS), start), None);
    }

    #[test]
    fn stalls_in_quick_succession_count_from_the_first() {
        let start = Instant::now();
        let stalled = ClockReadings::new(start)
            .read(start + 150 * MS)
            .idle_until(start + 170 * MS)
            .read(start + 320 * MS);
        assert_eq!(began(stalled, start), Some(Duration::ZERO));
    }
}
