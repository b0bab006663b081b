//! Measures how long the runtime's thread works between two waits for events, and which part of the work took
//! longest. All requests share this thread: whatever runs for long holds up their answers.

use super::counters::{count, raise, Count};
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Log target of long work.
const LOG_TARGET: &str = "work";
/// A longer time without a wait for events is counted.
const LONG_STRETCH: Duration = Duration::from_millis(20);
/// Work that took this long is logged if none of its kind has taken longer before.
const LOGGED_MIN: Duration = Duration::from_millis(20);

/// Kinds of work that may take long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// One step of the core: its inputs, the router's decisions, and carrying them out.
    CoreStep,
    /// A part of reading a list that discovery has sent.
    ListRead,
    /// Reading a configuration again.
    Reload,
}

impl Work {
    fn longest_counter(self) -> Count {
        match self {
            Work::CoreStep => Count::core_step_longest_us,
            Work::ListRead => Count::list_read_longest_us,
            Work::Reload => Count::reload_longest_us,
        }
    }
}

/// Records that `work` took from `began` until now. `size` says what it worked on, for the log.
pub fn record(work: Work, began: Instant, size: impl FnOnce() -> String) {
    let took = began.elapsed();
    let is_longest = raise(work.longest_counter(), took.as_micros() as u64);
    if is_longest && took >= LOGGED_MIN {
        log::info!(target: LOG_TARGET, work:? = work, us = took.as_micros() as u64; "long work: {}", size());
    }
}

thread_local! {
    static WORKING_SINCE: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Records that the thread begins to work.
pub fn thread_unparked() {
    WORKING_SINCE.set(Some(Instant::now()));
}

/// Records that the thread is about to wait for events.
pub fn thread_parks() {
    let Some(since) = WORKING_SINCE.take() else { return };
    let worked = since.elapsed();
    raise(Count::work_longest_us, worked.as_micros() as u64);
    if worked >= LONG_STRETCH {
        count(Count::work_long);
    }
}
