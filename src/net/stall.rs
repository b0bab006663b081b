//! Notices that the process was held up: by the machine, or by a step of its own that took long. What stood in its sockets meanwhile
//! has waited, and its time ran on.
//!
//! The runtime's thread looks at the clock at each call that may take long. Two looks far apart with no rest between them are a
//! hold-up; one soon behind another is the same one, as what came in the first may not have been read before the second. While
//! the thread rests nothing can be told: it is woken by what comes.

use crate::interface::Time;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Two looks so far apart are a hold-up: no step of the process takes so long.
const HOLD_UP_MIN: Duration = Duration::from_millis(40);
/// What stood in the sockets in a hold-up, and in the listener's queue, has been read so long after its end.
const READ_AFTER: Duration = Duration::from_millis(60);

/// What one thread has seen.
#[derive(Debug, Clone, Copy)]
struct Looks {
    /// The last look, or the end of the last rest.
    last: Instant,
    hold_up: Option<HoldUp>,
}

/// A hold-up, or several in a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HoldUp {
    /// When the first began.
    began: Instant,
    /// When the last ended.
    ended: Instant,
}

impl Looks {
    fn new(now: Instant) -> Self {
        Looks { last: now, hold_up: None }
    }

    fn rested(mut self, now: Instant) -> Self {
        self.last = now;
        self
    }

    fn look(mut self, now: Instant) -> Self {
        // One that begins soon behind another's end is in a row with that.
        let last = self.last;
        self.hold_up = self.hold_up.filter(|hold_up| last < hold_up.ended + READ_AFTER);
        if now.saturating_duration_since(last) >= HOLD_UP_MIN {
            let began = self.hold_up.map_or(last, |hold_up| hold_up.began);
            self.hold_up = Some(HoldUp { began, ended: now });
        }
        self.hold_up = self.hold_up.filter(|hold_up| now < hold_up.ended + READ_AFTER);
        self.last = now;
        self
    }
}

thread_local! {
    static LOOKS: Cell<Option<Looks>> = const { Cell::new(None) };
}

/// The thread has rested up to now.
pub fn thread_unparked() {
    let now = Instant::now();
    LOOKS.set(Some(LOOKS.get().unwrap_or(Looks::new(now)).rested(now)));
}

/// Looks at the clock: since when what is read now may have stood in its socket, where the process was held up meanwhile.
pub fn check() -> Option<Instant> {
    let now = Instant::now();
    let looks = LOOKS.get().unwrap_or(Looks::new(now)).look(now);
    LOOKS.set(Some(looks));
    looks.hold_up.map(|hold_up| hold_up.began)
}

/// How long, in us, a request that is read now may have waited for that: since a hold-up began, and since `waits_since`, where its
/// connection was not read from then on.
pub fn queued_time(waits_since: Option<Instant>) -> Time {
    let since = waits_since.into_iter().chain(check()).min();
    since.map_or(0, |since| since.elapsed().as_micros() as Time)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn began(looks: Looks, start: Instant) -> Option<Duration> {
        looks.hold_up.map(|hold_up| hold_up.began - start)
    }

    #[test]
    fn a_long_time_between_two_looks_is_a_hold_up_and_one_with_a_rest_is_none() {
        let start = Instant::now();
        let looks = Looks::new(start).look(start + 10 * MS);
        assert_eq!(began(looks, start), None);
        assert_eq!(began(looks.look(start + 160 * MS), start), Some(10 * MS));
        assert_eq!(began(looks.rested(start + 160 * MS).look(start + 161 * MS), start), None);
    }

    #[test]
    fn a_hold_up_is_over_once_all_that_came_in_it_has_been_read() {
        let start = Instant::now();
        let held = Looks::new(start).look(start + 150 * MS);
        let looked = |until: u32| (151..=until).fold(held, |looks, at| looks.look(start + at * MS));
        assert_eq!(began(looked(200), start), Some(Duration::ZERO));
        assert_eq!(began(looked(211), start), None);
        assert_eq!(began(held.rested(start + 900 * MS).look(start + 901 * MS), start), None);
    }

    #[test]
    fn hold_ups_in_a_row_count_from_the_first() {
        let start = Instant::now();
        let held = Looks::new(start).look(start + 150 * MS).rested(start + 170 * MS).look(start + 320 * MS);
        assert_eq!(began(held, start), Some(Duration::ZERO));
    }
}
