//! The budget of members in slow start.
//!
//! A member that has started cannot do what it will be able to do. The settings allow all routers together `fall_multiple`
//! times its present capacity in each span of `fall_span`; beyond that it falls over. Routers cannot talk, and none of them
//! knows a member's capacity. What each knows is its own requests, so that the budget is kept as a share of those:
//!
//! | rule | because |
//! | --- | --- |
//! | a first try has one hash fraction, and is open to the members in whose share that lies | shares of all routers add up, however many there are |
//! | shares shrink as requests and repeats come faster than requests usually do | the capacity does not grow with a burst |
//! | a request is admitted by what held when it came | those that are held would go all at once when the weight has grown |
//! | clients' repeats are read from half the capacity on, and written with what first tries leave | they come on top of those |
//! | one request arrives at a member in slow start once | what it turned away was work, too |
//! | what has waited for a primary does not go to one in slow start | it would arrive at one moment |

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

/// Which hash fraction of a request its reads go by; that of what must be current goes by the member.
const READS: u64 = 1;

/// How fast requests come, in the span of the budget and usually.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    lately: DecayingRate,
    usually: DecayingRate,
}

impl ArrivalRates {
    /// Takes in an arrival. How many times faster than usual they came before it, and at least 1: its own arrival would make
    /// any that comes alone a burst. Clients' repeats come on top of what is usual.
    pub fn arrival(&mut self, now: Time, span: Time, repeat: bool) -> f64 {
        let span = span / SURGE_PART;
        let (lately, usually) = (self.lately.now(now, span), self.usually.now(now, USUAL_SPAN));
        self.lately.add(now, span);
        if !repeat {
            self.usually.add(now, USUAL_SPAN);
        }
        // Few tell little: what chance adds to a count is no burst.
        let count = lately * span as f64;
        let certain = count - count.sqrt() / 2.0;
        if usually > 0.0 {
            (certain / (usually * span as f64)).max(1.0)
        } else {
            1.0
        }
    }
}

/// Events a second, where each fades with time.
#[derive(Debug, Default)]
struct DecayingRate {
    /// When the first came; before that nothing is known.
    since: Option<Time>,
    at: Time,
    weight: f64,
}

impl DecayingRate {
    fn faded(&self, now: Time, span: Time) -> f64 {
        self.weight * (-(now.saturating_sub(self.at) as f64) / span.max(1) as f64).exp()
    }

    /// The rate, for as much of the span as has been seen.
    fn now(&self, now: Time, span: Time) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let seen = 1.0 - (-(now.saturating_sub(since) as f64) / span.max(1) as f64).exp();
        if seen > 0.0 {
            self.faded(now, span) / (span.max(1) as f64 * seen)
        } else {
            0.0
        }
    }

    fn add(&mut self, now: Time, span: Time) {
        let weight = self.faded(now, span) + 1.0;
        *self = DecayingRate { since: self.since.or(Some(now)), at: now, weight };
    }
}

impl Router {
    /// Whether this request may go to a member in slow start.
    pub(super) fn slow_start_admits(&self, (id, m): (MemberId, &Seen), open: &Open) -> bool {
        let weight = m.slow_start_weight(open.arrived, &self.set.rules);
        if open.has_reached(id) {
            return false;
        }
        let multiple = self.set.rules.fall_multiple / open.surge;
        match self.set.classes[open.class].need {
            Need::Write | Need::Fresh => {
                let waited = self.groups.get(&open.group).is_some_and(|g| open.arrived < g.primary_since);
                // Repeats get what first tries leave.
                let share = multiple * weight - if open.repeat { 1.0 } else { 0.0 };
                !waited && lot(!self.set.seed, open.seq, u64::from(id.0)) < share
            }
            _ if open.repeat && weight < SLOW_START_REPEATS => false,
            _ => self.slow_start_share_has((id, m), open, multiple),
        }
    }

    /// Whether a read lies in the share of a replica in slow start: so many times the even share of its group's reads. The
    /// shares of a group adjoin on the circle of one hash fraction, so that where all are cold hardly a request finds
    /// none. What must be current can go nowhere else than to the primary, and leaves one in slow start no reads.
    fn slow_start_share_has(&self, (id, m): (MemberId, &Seen), open: &Open, multiple: f64) -> bool {
        let primary = self.primary(m.group);
        if primary == Some(id) {
            return false;
        }
        let listed = self.of_group(m.group).filter(|(_, m)| m.listed).count().max(1) as f64;
        let share = |m: &Seen| multiple * m.slow_start_weight(open.arrived, &self.set.rules) / listed;
        let others = self.of_group(m.group).take_while(|(other, _)| *other != id);
        let cold = others.filter(|(id, m)| m.listed && m.cold_from.is_some() && Some(*id) != primary);
        let before: f64 = cold.map(|(_, m)| share(m)).sum();
        (lot(!self.set.seed, open.seq, READS) - before).rem_euclid(1.0) < share(m)
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
