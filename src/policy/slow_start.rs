//! The load budget of members in slow start.
//!
//! A member that has just started does not have its full capacity yet. The settings allow all routers
//! together `fall_multiple` times its present capacity in any `fall_window`; beyond that, the member
//! becomes overloaded and fails. Routers cannot communicate, and none of them knows a member's capacity, but
//! each one sees what members complete for it. A warm member never completes more than it has capacity for, and
//! what all routers see of that adds up. So each router sends to a member in slow start in proportion to what
//! members of the same role complete for this router, whatever arrives:
//!
//! | rule | reason |
//! | --- | --- |
//! | each attempt takes a token of the member, whichever request it belongs to | retries and further attempts are load, too |
//! | tokens come at random times, at a rate that follows the completed requests | a router may send less than one request in a window |
//! | reads and requests to the primary are counted apart, each against members of that role | a write may be many times the work of a read |
//! | completions at members in slow start count as what these would complete when warm | there may be no others |
//! | unused tokens lapse within a part of the window | requests that wait for a new primary would take them all at once |
//! | a request reaches a member in slow start only once | a refused request was work for the member, too |
//! | a write does not look for the primary at a member in slow start if probes can | it would most likely be refused there |
//! | a start that is only inferred costs a member a part of its requests | it may be a wrong guess, under overload above all |
//! | where no member is warm, the router is new or requests are rare, tokens come with arriving requests | nothing shows what members can bear |

use super::group_context::GroupContext;
use super::state::*;
use super::tuning::*;
use super::Router;
use crate::interface::*;
use smallvec::SmallVec;
use std::collections::VecDeque;

/// Distinguishes the random numbers of tokens from those of other decisions.
const TOKEN_SALT: u64 = 1;
/// The same for the shares of arriving requests.
const ARRIVAL_SALT: u64 = 2;

/// A count of events that decays exponentially.
#[derive(Debug, Default)]
struct DecayingCount {
    updated: Time,
    count: f64,
}

impl DecayingCount {
    /// The count now.
    fn decayed(&self, now: Time, window: Time) -> f64 {
        self.count * (-(now.saturating_sub(self.updated) as f64) / window.max(1) as f64).exp()
    }

    /// Adds events, which may be a fraction of one.
    fn add(&mut self, now: Time, window: Time, events: f64) {
        *self = DecayingCount { updated: now, count: self.decayed(now, window) + events };
    }
}

/// The members that serve, by role.
#[derive(Debug, Clone, Copy, Default)]
struct ServingMembers {
    primaries: usize,
    replicas: usize,
    /// The members of both roles that are not in slow start.
    warm: usize,
}

/// What one warm member of each role completes for this router.
#[derive(Debug, Default)]
pub(crate) struct CompletedLoad {
    /// When the first request came; nothing is known from before.
    since: Option<Time>,
    reads: DecayingCount,
    primary_requests: DecayingCount,
    serving: ServingMembers,
    /// When the serving members were counted; `None`: they have changed since.
    counted_at: Option<Time>,
}

impl CompletedLoad {
    /// The list has changed, and with it perhaps which members serve.
    pub fn members_changed(&mut self) {
        self.counted_at = None;
    }

    /// The rate per us at which one warm member of a role completes requests of this router; `None` where the completed
    /// requests do not show it: no member is warm, the router has only just begun, or it has requests too rarely.
    fn rate(&self, needs_primary: bool, now: Time) -> Option<f64> {
        let window = COMPLETED_LOAD_WINDOW;
        let (count, serving) = match needs_primary {
            true => (&self.primary_requests, self.serving.primaries),
            false => (&self.reads, self.serving.replicas),
        };
        let observed_for = self.since.map_or(0, |since| now.saturating_sub(since));
        let completed = count.decayed(now, window) * serving.max(1) as f64;
        let are_rare = observed_for >= window && completed < COMPLETED_MIN;
        if self.serving.warm == 0 || observed_for < OBSERVED_MIN || are_rare {
            return None;
        }
        let observed = 1.0 - (-(observed_for as f64) / window as f64).exp();
        Some(count.decayed(now, window) / (window as f64 * observed))
    }
}

/// The tokens of a member in slow start. Each allows this router one attempt there.
#[derive(Debug, Default)]
pub(crate) struct SlowStartTokens {
    granted: VecDeque<Time>,
    updated: Option<Time>,
    /// The expected number of tokens since the last one, and the one at which the next comes.
    accrued: f64,
    next_at: f64,
    /// How many random numbers were drawn.
    drawn: u64,
    /// They are for requests to the primary.
    for_primary: bool,
}

impl SlowStartTokens {
    /// Whether an attempt may be made.
    pub fn available(&self) -> bool {
        !self.granted.is_empty()
    }

    /// Takes the token that lapses first.
    pub fn take(&mut self) {
        self.granted.pop_front();
    }

    fn grant(&mut self, now: Time) {
        if self.granted.len() < MAX_SLOW_START_TOKENS {
            self.granted.push_back(now);
        }
    }

    /// Tokens for one role are not used for the other.
    fn set_role(&mut self, for_primary: bool) {
        if self.for_primary != for_primary {
            self.granted.clear();
        }
        self.for_primary = for_primary;
    }

    /// Drops the lapsed tokens and grants those that have come since the last call, at random times with this mean
    /// rate per us. `draw` returns uniform random numbers in [0, 1).
    fn update(&mut self, now: Time, validity: Time, rate: f64, draw: impl Fn(u64) -> f64) {
        while self.granted.front().is_some_and(|granted| granted + validity <= now) {
            self.granted.pop_front();
        }
        let mut exponential = || {
            self.drawn += 1;
            -(1.0 - draw(self.drawn)).ln()
        };
        if self.updated.is_none() {
            self.next_at = exponential();
        }
        let elapsed = self.updated.map_or(0, |updated| now.saturating_sub(updated)).min(validity);
        self.updated = Some(now);
        self.accrued += rate * elapsed as f64;
        while self.accrued >= self.next_at && self.granted.len() < MAX_SLOW_START_TOKENS {
            self.accrued -= self.next_at;
            self.next_at = exponential();
            self.granted.push_back(now);
        }
        self.accrued = self.accrued.min(self.next_at);
    }
}

impl Router {
    /// The share of its full capacity that a member in slow start has at least; `None` if it is not in slow start.
    pub fn weight_in_slow_start(&self, id: MemberId) -> Option<f64> {
        let member = self.members.get(&id).filter(|m| self.in_slow_start(m))?;
        Some(member.slow_start_weight(self.now, &self.settings.rules))
    }

    /// Whether this request may go to a member in slow start.
    pub(super) fn slow_start_admits(
        &self,
        (id, m): (MemberId, &MemberState),
        open: &OpenRequest,
        group: &GroupContext,
    ) -> bool {
        let is_primary = group.primary == Some(id);
        let may_serve = match self.needs_primary(open.class) {
            true => is_primary || !self.settings.probing,
            // Requests that only the primary can serve have nowhere else to go.
            false => !is_primary,
        };
        may_serve && !open.has_reached(id) && self.slow_start_budget_left((id, m), open)
    }

    /// Whether the budget of a member in slow start has room for this request. A start that is only inferred may be a
    /// wrong guess about a warm member, and is known to this router alone: it gets a part of its requests.
    fn slow_start_budget_left(&self, (id, m): (MemberId, &MemberState), open: &OpenRequest) -> bool {
        if m.is_listed_as_started(self.now, self.settings.rules.warm_after) {
            return m.slow_start_tokens.available();
        }
        let sharers = match self.needs_primary(open.class) {
            true => 1,
            false => self.group_members(open.group).filter(|(_, m)| m.in_service).count().max(1),
        };
        let weight = m.slow_start_weight(open.arrived, &self.settings.rules);
        let share = self.settings.rules.fall_multiple * weight / sharers as f64;
        hash_fraction(!self.settings.seed, open.seq, u64::from(id.0)) < share
    }

    /// Whether only the primary can serve the requests of a class.
    pub(super) fn needs_primary(&self, class: usize) -> bool {
        matches!(self.settings.classes[class].consistency, Consistency::Write | Consistency::Fresh)
    }

    /// Records that a member has completed a request.
    pub(super) fn record_completed(&mut self, id: MemberId, class: usize) {
        self.count_serving_members();
        let Some(m) = self.members.get(&id) else { return };
        // A start that is only inferred may be a wrong guess about a warm member.
        let weight =
            if m.start_is_listed() { m.slow_start_weight(self.now, &self.settings.rules) } else { 1.0 };
        let needs_primary = self.needs_primary(class);
        let is_primary = self.primary(m.group) == Some(id);
        let load = &mut self.completed_load;
        let (count, serving) = match needs_primary {
            true => (&mut load.primary_requests, load.serving.primaries),
            // Reads at a primary do not show what a replica can do.
            false if is_primary => return,
            false => (&mut load.reads, load.serving.replicas),
        };
        count.add(self.now, COMPLETED_LOAD_WINDOW, 1.0 / (weight * serving.max(1) as f64));
    }

    /// Grants a token for a request that has just arrived where nothing shows what members can bear: no member is
    /// warm, or this router has only just begun. The shares of a group's replicas are adjacent intervals of one hash
    /// fraction, so that almost every read finds a member even if all are in slow start.
    pub(super) fn grant_token_on_arrival(&mut self, group: GroupId, class: usize) {
        self.count_serving_members();
        let (now, primary, needs_primary) = (self.now, self.primary(group), self.needs_primary(class));
        self.completed_load.since.get_or_insert(now);
        if self.completed_load.rate(needs_primary, now).is_some() {
            return;
        }
        let rules = &self.settings.rules;
        let serves = |id: &MemberId| needs_primary == (Some(*id) == primary);
        let ids: SmallVec<[MemberId; 8]> = self.slow_start_members(group).filter(serves).collect();
        let listed = self.group_members(group).filter(|(_, m)| m.in_service).count().max(1);
        let sharers = if needs_primary { 1.0 } else { listed as f64 };
        let fraction = hash_fraction(!self.settings.seed, self.seq, ARRIVAL_SALT);
        let mut before = 0.0;
        for id in ids {
            let Some(m) = self.members.get_mut(&id) else { continue };
            let weight = m.slow_start_weight(now, rules);
            let share = rules.fall_multiple * weight / sharers;
            let in_share = (fraction - before).rem_euclid(1.0) < share;
            before += share;
            if in_share {
                m.slow_start_tokens.set_role(needs_primary);
                m.slow_start_tokens.grant(now);
            }
        }
    }

    /// Grants the tokens that the members of a group have got since the last call.
    pub(super) fn update_slow_start_tokens(&mut self, group: GroupId) {
        let ids: SmallVec<[MemberId; 8]> = self.slow_start_members(group).collect();
        if ids.is_empty() {
            return;
        }
        let (primary, now, rules) = (self.primary(group), self.now, &self.settings.rules);
        let validity = rules.fall_window / TOKEN_VALIDITY_DIVISOR;
        // What has come within one validity may go at once, in addition to what comes in the window.
        let limit = rules.fall_multiple / (1.0 + 1.0 / TOKEN_VALIDITY_DIVISOR as f64);
        let load = limit.min(1.0);
        let completed = &self.completed_load;
        let reads = completed.rate(false, now).unwrap_or(0.0);
        let primary_requests = completed.rate(true, now).unwrap_or(0.0);
        for id in ids {
            let Some(m) = self.members.get_mut(&id) else { continue };
            let is_primary = primary == Some(id);
            let rate = if is_primary { primary_requests } else { reads };
            let weight = m.slow_start_weight(now, rules);
            let seed = !self.settings.seed ^ u64::from(id.0);
            m.slow_start_tokens.set_role(is_primary);
            m.slow_start_tokens
                .update(now, validity, load * weight * rate, |n| hash_fraction(seed, n, TOKEN_SALT));
        }
    }

    /// The members of a group that are in service and in slow start.
    fn slow_start_members(&self, group: GroupId) -> impl Iterator<Item = MemberId> + '_ {
        let cold = self.group_members(group).filter(|(_, m)| m.in_service && self.in_slow_start(m));
        cold.map(|(id, _)| id)
    }

    /// Counts the members in service, unless that was done a moment ago. Whether this router can reach them does not
    /// matter: under overload each router takes many members for lost that serve others.
    fn count_serving_members(&mut self) {
        let now = self.now;
        let load = &self.completed_load;
        if load.counted_at.is_some_and(|counted| now < counted + SERVING_COUNT_INTERVAL) {
            return;
        }
        let (mut all, mut warm) = (0, 0);
        for m in self.members.values().filter(|m| m.in_service) {
            all += 1;
            warm += usize::from(!m.is_listed_as_started(now, self.settings.rules.warm_after));
        }
        let primaries = self.groups.values().filter(|g| !g.members.is_empty()).count();
        let replicas = usize::saturating_sub(all, primaries);
        self.completed_load.serving = ServingMembers { primaries, replicas, warm };
        self.completed_load.counted_at = Some(now);
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
