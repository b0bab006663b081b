//! When discovery is called where all proxies may call at one moment: after a move, and for the watch that follows a whole
//! list. It does no I/O and holds no clock; `src/net/discovery.rs` asks it and makes the calls. When a first or a failed
//! call is due, the module decides.
//!
//! Discovery works through calls in turn, so that one call of each proxy takes it N times what one takes. A call in that
//! queue takes part of the time of all behind it, and a watch right behind each list doubles the queue for those that have
//! no list yet. What a proxy sees is how long its own call took: in a jam that is more than a call costs, and the watch
//! then waits longer than it need; where discovery answers in a few ms it waits for nothing that could be noticed.

use crate::decide::{LIST_EACH, LIST_FEW};
use crate::interface::Time;
use crate::state::lot;

/// Longest span of the calls after a move, in us: a proxy must know by itself within 6 s what discovery had to tell, and a
/// call that fails is made again in the last of them.
const MOVE_MOST: Time = 2_000_000;
/// Longest time in which one call of each proxy is thought to be done, in us. A watch that begins by half as much again
/// after the list still tells within those 6 s of what has changed behind the list.
const ROUND_MOST: Time = 3_000_000;

/// How long a watch may wait at discovery, in us: short enough to notice a dead service soon, long enough to cost it
/// little.
pub const WATCH_WAIT: Time = 8_000_000;
/// An answer is waited for by so much longer than it may wait there, in us. What a watch has missed that fell silent counts
/// as told 2 s after its wait is over: by then the next watch must have been answered.
const WATCH_LEAD: Time = 1_000_000;
/// The same for a whole list, which waits for nothing but its turn.
const LIST_PATIENCE: Time = 4_000_000;

/// How long a call is waited for, in us, from when it is made.
pub fn patience(watch: bool) -> Time {
    if watch {
        WATCH_WAIT + WATCH_LEAD
    } else {
        LIST_PATIENCE
    }
}

/// What becomes of a call that has brought no list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It is made again at once: a silent watch is broken, discovery need not be, and the pauses of a failed call would
    /// outlast what is left before all counts as told. All that fell silent together waited since different moments.
    Again,
    /// The module hears that it failed, and says when the next is due.
    Told,
}

/// A call failed: a watch or not, without a word or with a refusal, a reset or what is no list.
pub fn failed(watch: bool, silent: bool) -> Next {
    if watch && silent {
        Next::Again
    } else {
        Next::Told
    }
}

/// When this proxy calls.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    seed: u64,
    /// Lots drawn so far.
    drawn: u64,
}

impl Listing {
    /// For the proxy with this seed.
    pub fn new(seed: u64) -> Self {
        Listing { seed, drawn: 0 }
    }

    fn lot(&mut self) -> f64 {
        self.drawn += 1;
        lot(!self.seed, self.drawn, LIST_EACH)
    }

    /// Discovery has moved, for so many proxies alike: how long until this one calls there, in us.
    pub fn moved(&mut self, proxies: u32) -> Time {
        let span = (Time::from(proxies.saturating_sub(LIST_FEW)) * LIST_EACH).min(MOVE_MOST);
        (span as f64 * self.lot()) as Time
    }

    /// A whole list has come, by a call that took so long, in us: how long until the watch behind it begins. By then all
    /// others of so many proxies should have their lists.
    pub fn listed(&mut self, proxies: u32, took: Time) -> Time {
        let round = took.saturating_mul(Time::from(proxies.saturating_sub(1))).min(ROUND_MOST);
        (round as f64 * (1.0 + self.lot() / 2.0)) as Time
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Time = 1_000;

    /// Proxies that all call at these moments for the list and then watch, at a discovery that takes `each` a call and goes
    /// by their order: when the last has its list, and the longest time in which a proxy heard nothing.
    fn play(told: u32, arrivals: &[Time], each: Time, spread: bool) -> (Time, Time) {
        let mut listings: Vec<Listing> =
            (0..arrivals.len()).map(|n| Listing::new(n as u64 * 77 + 5)).collect();
        let mut calls: Vec<(Time, usize, bool)> =
            arrivals.iter().enumerate().map(|(n, at)| (*at, n, true)).collect();
        let (mut free, mut last, mut deaf) = (0, 0, 0);
        let mut heard = vec![0; arrivals.len()];
        while let Some(next) = (0..calls.len()).min_by_key(|n| calls[*n]) {
            let (at, n, whole) = calls.remove(next);
            free = free.max(at) + each;
            if whole {
                (last, heard[n]) = (last.max(free), free);
                let pause = listings[n].listed(told, free - at);
                calls.push((free + if spread { pause } else { 0 }, n, false));
            } else {
                deaf = deaf.max(free - heard[n]);
            }
        }
        (last, deaf)
    }

    #[test]
    fn watches_do_not_hold_up_the_lists_of_others() {
        // 48 call within 1.8 s, as the module spreads them; discovery needs 2.4 s for one call of each.
        let arrivals: Vec<Time> = (0..48).map(|n| (lot(9, n, 1) * 1_800_000.0) as Time).collect();
        let (together, _) = play(48, &arrivals, 50 * MS, false);
        let (spread, deaf) = play(48, &arrivals, 50 * MS, true);
        assert!(together > 3_500 * MS, "{together}");
        assert!(spread <= 2_650 * MS, "{spread}");
        assert!(deaf < 6_000 * MS, "each knows in time what has changed since: {deaf}");
    }

    #[test]
    fn a_wrong_guess_of_how_many_there_are_keeps_each_in_time() {
        let arrivals: Vec<Time> = (0..48).map(|n| (lot(9, n, 1) * 1_800_000.0) as Time).collect();
        for told in [12, 192] {
            let (last, deaf) = play(told, &arrivals, 50 * MS, true);
            assert!(last <= 3_700 * MS, "told {told}: {last}");
            assert!(deaf < 6_000 * MS, "told {told}: {deaf}");
        }
    }

    #[test]
    fn a_discovery_that_answers_at_once_is_watched_at_once() {
        // A watch goes on as long as the next call comes within 200 ms.
        for seed in 0..100 {
            assert!(Listing::new(seed).listed(100, MS) < 150 * MS);
            assert_eq!(Listing::new(seed).listed(1, 5_000 * MS), 0, "one alone has nobody to wait for");
        }
    }

    #[test]
    fn a_silent_watch_is_open_anew_before_what_it_missed_counts_as_told() {
        // Told: 2 s after the wait is over, and half a second more until nothing new may go out.
        let told = WATCH_WAIT + 2_000 * MS;
        assert!(patience(true) + 500 * MS < told, "there is time for an answer");
        assert!(patience(true) > WATCH_WAIT + 500 * MS, "an answer at the end of the wait is no silence");
        assert_eq!(failed(true, true), Next::Again);
        for (watch, silent) in [(true, false), (false, true), (false, false)] {
            assert_eq!(failed(watch, silent), Next::Told);
        }
    }

    #[test]
    fn calls_after_a_move_are_spread_in_a_large_fleet_only() {
        let pauses: Vec<Time> = (0..100).map(|seed| Listing::new(seed).moved(100)).collect();
        assert!(pauses.iter().all(|p| *p < 2_000 * MS));
        for from in [0, 500, 1_000, 1_500] {
            let within = pauses.iter().filter(|p| (from * MS..(from + 500) * MS).contains(*p)).count();
            assert!((12..=40).contains(&within), "{within} from {from} ms");
        }
        assert_eq!(Listing::new(3).moved(18), 0);
        // Two moves are two lots.
        let mut one = Listing::new(3);
        assert_ne!(one.moved(100), one.moved(100));
        assert_eq!(one.moved(2), 0);
    }
}
