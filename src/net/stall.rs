//! Tells how long input may have waited in the kernel before it was read: while the thread worked on something else,
//! or while the machine held the process up. The time until the input's deadline has passed meanwhile.
//!
//! Input that a task reads was reported by one poll of the runtime's driver, and had not arrived at the poll before.
//! So what is known of the polls bounds the wait:
//!
//! | event | input that is read after it has arrived since |
//! | --- | --- |
//! | the thread resumes from a wait | this moment; or the last poll before, if the thread had worked for long and did not have to wait |
//! | a task resumes that had yielded ([`track_polls`]) | its run before that |
//!
//! A hold-up that lies wholly within a wait for events can't be seen.

use crate::core::counters::{raise, Count};
use crate::interface::Time;
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Work between two polls that takes less leaves no input waiting for long.
const MIN_LONG_WORK: Duration = Duration::from_millis(10);
/// A wait for events that lasted at least this long shows that nothing had arrived when it began: the driver reports
/// at once what has.
const MIN_WAIT: Duration = Duration::from_millis(2);
/// Polls are tracked once the thread has worked for this long without a wait.
const TRACKING_DELAY: Duration = Duration::from_millis(5);

/// What one thread knows of the polls of its driver.
#[derive(Debug, Clone, Copy)]
struct PollTimes {
    /// Input that is read now has arrived since.
    input_since: Instant,
    /// The last known poll began no earlier.
    polled_since: Instant,
    /// When polls were last tracked, or the thread last resumed from a wait.
    tracked_at: Instant,
    /// When the thread last began to wait.
    parked_at: Instant,
    /// [`track_polls`] runs whenever the driver has been polled.
    tracking: bool,
    /// Something was read or written since polls were last tracked.
    active: bool,
}

impl PollTimes {
    fn new(now: Instant) -> Self {
        PollTimes {
            input_since: now,
            polled_since: now,
            tracked_at: now,
            parked_at: now,
            tracking: false,
            active: false,
        }
    }

    fn parked(self, now: Instant) -> Self {
        PollTimes { parked_at: now, ..self }
    }

    fn unparked(self, now: Instant) -> Self {
        let worked = self.parked_at.saturating_duration_since(self.polled_since);
        let waited = now.saturating_duration_since(self.parked_at);
        let had_arrived = worked >= MIN_LONG_WORK && waited < MIN_WAIT;
        let input_since = if had_arrived { self.polled_since } else { now };
        PollTimes { input_since, polled_since: now, tracked_at: now, ..self }
    }

    /// A task that had yielded resumes: the driver has been polled since its last run.
    fn polled(self, now: Instant) -> Self {
        let before = self.tracked_at;
        PollTimes { input_since: before, polled_since: before, tracked_at: now, active: false, ..self }
    }
}

thread_local! {
    static POLL_TIMES: Cell<Option<PollTimes>> = const { Cell::new(None) };
}

/// Requests that polls are tracked until the thread is about to wait.
static TRACKING_REQUESTED: Notify = Notify::const_new();

fn update(change: impl FnOnce(PollTimes, Instant) -> PollTimes) -> PollTimes {
    let now = Instant::now();
    let times = change(POLL_TIMES.get().unwrap_or(PollTimes::new(now)), now);
    POLL_TIMES.set(Some(times));
    times
}

/// Records that the thread is about to wait for events.
pub fn thread_parks() {
    update(PollTimes::parked);
}

/// Records that the thread has resumed from a wait for events.
pub fn thread_unparked() {
    update(PollTimes::unparked);
}

/// Tracks the polls of the driver while the thread works for long without a wait. Runs for as long as the process;
/// without it, input is taken to have waited since the thread last resumed from a wait.
pub async fn track_polls() {
    loop {
        TRACKING_REQUESTED.notified().await;
        // A thread on which nothing was read or written since the last run is about to wait.
        while update(|times, _| PollTimes { tracking: times.active, ..times }).tracking {
            update(PollTimes::polled);
            // Resumes only after the driver has been polled.
            tokio::task::yield_now().await;
        }
    }
}

/// Called for each read and write. Returns since when input that is read now may have waited, unless that is so
/// short that it does not matter.
pub fn check() -> Option<Instant> {
    let now = Instant::now();
    let times = POLL_TIMES.get().unwrap_or(PollTimes::new(now));
    let worked_long = now.saturating_duration_since(times.tracked_at) >= TRACKING_DELAY;
    if worked_long && !times.tracking {
        TRACKING_REQUESTED.notify_one();
    }
    POLL_TIMES.set(Some(PollTimes { active: true, tracking: times.tracking || worked_long, ..times }));
    let waited = now.saturating_duration_since(times.input_since);
    (waited >= MIN_LONG_WORK).then_some(times.input_since)
}

/// How long, in us, a request that is read now may have waited in its socket: since the last poll before it arrived,
/// or since `waits_since`, if its connection has not been read since then.
pub fn queued_time(waits_since: Option<Instant>) -> Time {
    let since = waits_since.into_iter().chain(check()).min();
    let waited = since.map_or(0, |since| since.elapsed().as_micros() as Time);
    raise(Count::input_waited_longest_us, waited);
    waited
}

#[cfg(test)]
#[path = "stall_tests.rs"]
mod tests;
