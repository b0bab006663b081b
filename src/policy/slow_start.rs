//! The budget of members in slow start.
//!
//! A member that has started cannot do what it will be able to do. The settings allow all routers together `fall_multiple`
//! times its present capacity in each span of `fall_span`; beyond that it falls over. Routers cannot talk, and none of them
//! knows a member's capacity. What each knows is its own requests, so that the budget is kept as a share of those:
//!
//! | rule | because |
//! | --- | --- |
//! | a first try has one hash fraction, and is open to the members in whose share that lies | shares of all routers add up, however many there are |
//! | a request is admitted by what held when it came | those that are held would go all at once when the weight has grown |
//! | shares shrink as first tries come faster than usual | the capacity does not grow with a burst |
//! | clients' repeats are read from half the capacity on, and not in a burst | they come on top of first tries |
//! | all that is written again gets a part of what first tries do | the same |
//! | one request arrives at a member in slow start once | what it turned away was work, too |
//! | of what has waited for a primary, half as much goes to one in slow start | it arrives at one moment |

use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;

/// Which hash fraction of a request its reads go by; that of what must be current goes by the member.
const READS: u64 = 1;

/// How fast requests come, in the span of the budget and usually, and how much of what must be current is repeated.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    lately: DecayingRate,
    usually: DecayingRate,
    current: RepeatRates,
}

/// First tries and repeats of what must be current.
#[derive(Debug, Default)]
struct RepeatRates {
    first: DecayingRate,
    repeats: DecayingRate,
}

/// What was seen of all requests when one came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Surge {
    /// How many times faster than usual first tries came; at least 1.
    pub burst: f64,
    /// How many requests for what must be current there were for each first try; at least 1.
    pub tries: f64,
}

impl Default for Surge {
    fn default() -> Self {
        Surge { burst: 1.0, tries: 1.0 }
    }
}

impl RepeatRates {
    fn arrival(&mut self, now: Time, span: Time, repeat: bool) -> f64 {
        let (first, repeats) = (self.first.faded(now, span), self.repeats.faded(now, span));
        if repeat { &mut self.repeats } else { &mut self.first }.add(now, span);
        // One try more than was seen, so that a few repeats in a row do not pass for a flood.
        (first + repeats + 1.0) / (first + 1.0)
    }
}

impl ArrivalRates {
    /// Takes in an arrival, and tells what was seen before it: its own arrival would make any that comes alone a burst.
    pub fn arrival(&mut self, now: Time, span: Time, (current, repeat): (bool, bool)) -> Surge {
        let tries = if current { self.current.arrival(now, span * REPEAT_SPANS, repeat) } else { 1.0 };
        let part = span / SURGE_PART;
        let burst = self.burst(now, part);
        if !repeat {
            self.lately.add(now, part);
            self.usually.add(now, USUAL_SPAN);
        }
        Surge { burst, tries }
    }

    fn burst(&self, now: Time, span: Time) -> f64 {
        let usual = self.usually.now(now, USUAL_SPAN) * span as f64;
        let count = self.lately.now(now, span) * span as f64;
        // Few tell little: what chance adds to a count is no burst.
        let certain = count - count.sqrt() / 3.0;
        if usual > 0.0 && certain >= usual * BURST_MIN {
            certain / usual
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
        let Surge { burst, tries } = open.surge;
        let multiple = self.set.rules.fall_multiple / burst;
        match self.set.classes[open.class].consistency {
            Consistency::Write | Consistency::Fresh => {
                let waited = self.groups.get(&open.group).is_some_and(|g| open.arrived < g.primary_since);
                let waited = if waited { WAITED_PART } else { 1.0 };
                let repeats = if open.repeat { (REPEATED_CURRENT / tries).min(1.0) } else { 1.0 };
                hash_fraction(!self.set.seed, open.seq, u64::from(id.0))
                    < multiple * weight * waited * repeats
            }
            _ if open.repeat && (weight < SLOW_START_REPEATS || burst > 1.0) => false,
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
        let cold = others.filter(|(id, m)| m.listed && self.in_slow_start(m) && Some(*id) != primary);
        let before: f64 = cold.map(|(_, m)| share(m)).sum();
        (hash_fraction(!self.set.seed, open.seq, READS) - before).rem_euclid(1.0) < share(m)
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
