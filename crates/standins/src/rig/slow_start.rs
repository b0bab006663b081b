//! The load on members in slow start, judged as the platform does: by the work that reaches them in a sliding window,
//! whether or not they do it.

use super::events::Micros;
use std::collections::{HashMap, VecDeque};

/// Statements that arrive within this time after a start do not count: not all proxies have been told of it.
const TOLD_WITHIN: Micros = 500_000;
/// Budgets below this many requests have a wider tolerance.
const SMALL_BUDGET: f64 = 30.0;

/// What the platform's rule allows a member in slow start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartLimit {
    /// The multiple of its present capacity that it may get.
    pub multiple: f64,
    /// The window over which its load is measured.
    pub window: Micros,
    /// The work of a write, as a multiple of the mean work of a read.
    pub write_work: f64,
    /// The mean work of a request of the load, as a multiple of the mean work of a read.
    pub mean_work: f64,
}

/// The largest load of a window on a member in slow start.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SlowStartPeak {
    /// The member.
    pub member: u32,
    /// When the window ended.
    pub at: Micros,
    /// Requests of mean work above the budget and the tolerance for chance; negative where it stayed below.
    pub excess: f64,
    /// The work received, as a multiple of what the member could do in the window.
    pub times: f64,
    /// The statements received in the window.
    pub statements: usize,
    /// The writes among them.
    pub writes: usize,
}

/// A member in slow start.
struct ColdMember {
    since: Micros,
    /// Share of its capacity at the start.
    share: f64,
    /// How long until it is warm.
    warm: Micros,
    /// Reads per second when warm.
    rate: f64,
    received: VecDeque<(Micros, bool)>,
    is_over: bool,
}

impl ColdMember {
    /// The share of its capacity that it has now.
    fn weight(&self, at: Micros) -> f64 {
        self.share + (1.0 - self.share) * (at - self.since) as f64 / self.warm as f64
    }

    /// The load of the window that ends now.
    fn peak(&self, member: u32, at: Micros, limit: &SlowStartLimit) -> SlowStartPeak {
        let writes = self.received.iter().filter(|(_, write)| *write).count();
        let reads = (self.received.len() - writes) as f64;
        let work = (reads + writes as f64 * limit.write_work) / limit.mean_work;
        let can_do = self.rate / limit.mean_work * self.weight(at) * limit.window as f64 / 1e6;
        let budget = limit.multiple * can_do;
        let tolerance = match budget < SMALL_BUDGET {
            true => 3.0 * budget.sqrt() + 3.0,
            false => 2.0 * budget.sqrt() + 2.0,
        };
        let (excess, times) = (work - budget - tolerance, work / can_do);
        SlowStartPeak { member, at, excess, times, statements: self.received.len(), writes }
    }
}

/// The loads on all members in slow start.
#[derive(Default)]
pub struct SlowStartLoads {
    members: HashMap<u32, ColdMember>,
    peaks: HashMap<u32, SlowStartPeak>,
}

impl SlowStartLoads {
    /// Records that a member has started with this share of its capacity.
    pub fn started(&mut self, member: u32, since: Micros, share: f64, warm: Micros, rate: f64) {
        let cold = ColdMember { since, share, warm, rate, received: VecDeque::new(), is_over: false };
        self.members.insert(member, cold);
    }

    /// Records a statement that has reached a member. Returns the load of the window if it has just exceeded what is
    /// allowed.
    pub fn received(
        &mut self,
        member: u32,
        at: Micros,
        write: bool,
        limit: &SlowStartLimit,
    ) -> Option<SlowStartPeak> {
        let cold = self.members.get_mut(&member)?;
        if at >= cold.since + cold.warm {
            self.members.remove(&member);
            return None;
        }
        if at < cold.since + TOLD_WITHIN {
            return None;
        }
        cold.received.push_back((at, write));
        while cold.received.front().is_some_and(|(first, _)| first + limit.window <= at) {
            cold.received.pop_front();
        }
        let now = cold.peak(member, at, limit);
        let peak = self.peaks.entry(member).or_insert(now);
        if now.excess > peak.excess {
            *peak = now;
        }
        let exceeds = now.excess > 0.0 && !cold.is_over;
        cold.is_over = now.excess > 0.0;
        exceeds.then_some(now)
    }

    /// The largest load on each member that was in slow start, by member.
    pub fn into_peaks(self) -> Vec<SlowStartPeak> {
        let mut peaks: Vec<_> = self.peaks.into_values().collect();
        peaks.sort_by_key(|peak| peak.member);
        peaks
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: SlowStartLimit =
        SlowStartLimit { multiple: 2.0, window: 1_000_000, write_work: 2.5, mean_work: 1.0 };

    /// The breaches of so many statements in 0.5 s at a member that can do 20 reads a second, long after its start.
    fn breaches(statements: u64, write: bool) -> Vec<SlowStartPeak> {
        let mut loads = SlowStartLoads::default();
        loads.started(3, 0, 0.2, 1_000_000_000, 100.0);
        let at = |n: u64| 2_000_000 + n * 500_000 / statements;
        (0..statements).filter_map(|n| loads.received(3, at(n), write, &LIMIT)).collect()
    }

    #[test]
    fn the_budget_is_a_multiple_of_the_present_capacity_and_a_tolerance_for_chance() {
        // 40.1 requests, and 2 * 6.33 + 2.
        assert_eq!(breaches(54, false), []);
        assert_eq!(breaches(56, false).len(), 1);
    }

    #[test]
    fn a_write_counts_by_its_work() {
        assert_eq!(breaches(21, true), []);
        assert_eq!(breaches(23, true).len(), 1);
    }

    #[test]
    fn statements_right_after_the_start_and_those_of_a_warm_member_do_not_count() {
        let mut loads = SlowStartLoads::default();
        loads.started(3, 0, 0.2, 2_000_000, 100.0);
        assert!((0..200).all(|n| loads.received(3, n, false, &LIMIT).is_none()));
        assert!((0..200).all(|n| loads.received(3, 2_000_000 + n, false, &LIMIT).is_none()));
        assert_eq!(loads.into_peaks(), []);
    }
}
