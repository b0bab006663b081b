//! The state that the router keeps. Nothing is decided here: the other modules of `policy` read and update
//! it.

use super::slow_start::SlowStartTokens;
use super::tuning::{
    DEVIATIONS, LATENCY_WEIGHT, LOST_FACTOR, MIN_ANSWERS, RECENT_ANSWERS, SLOW_FACTOR, SLOW_MIN,
    SUSPECT_PROBES_MAX, SUSPECT_PROBE_INTERVAL_MAX, UNLOADED_MEMORY,
};
use crate::interface::*;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What is known about the effect of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptStatus {
    /// No outcome yet.
    Pending,
    /// Ended with an outcome that proves that nothing ran.
    NeverRan,
    /// Ended, and may have taken effect.
    MayHaveRun,
}

/// Whether a read may be sent again to the member that an attempt was sent to.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum RepeatThere {
    /// The attempt is in flight, or the member answered and would answer the same again.
    No,
    /// The attempt got no answer, which may be the member's fault, so that others are tried first.
    AfterOthers,
    /// The member could not be reached, which may pass while the client waits.
    Yes,
}

impl RepeatThere {
    /// After an attempt with this outcome.
    pub fn after(outcome: Outcome) -> Self {
        use Outcome::*;
        match outcome {
            Refused => RepeatThere::Yes,
            Overdue | Reset | Cancelled | Superseded => RepeatThere::AfterOthers,
            Completed | Errored | Saturated | Miss | Stale => RepeatThere::No,
        }
    }
}

/// The kind of connection that an attempt was sent on, as far as the router can tell.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum ConnectionState {
    /// In use shortly before.
    Active,
    /// Unused for at least `IDLE_AFTER`.
    Idle,
    /// New, because the idle connections were closed first.
    New,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub member: MemberId,
    pub sent: Time,
    pub connection: ConnectionState,
    pub status: AttemptStatus,
    /// True unless the outcome shows that the member never received it.
    pub delivered: bool,
    pub repeat_there: RepeatThere,
}

/// A request that is not answered yet, or that still has attempts in flight.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub class: usize,
    pub group: GroupId,
    pub session: Option<Arc<str>>,
    /// The position that a member must have reached to serve this session read; 0 where there is none.
    pub min_position: Position,
    /// Members cannot check `min_position` themselves, so only a member that is known to have reached it may
    /// serve.
    pub needs_proof: bool,
    /// Sequence number in order of arrival.
    pub seq: u64,
    pub arrived: Time,
    /// When the client stops waiting.
    pub deadline: Time,
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Number of attempts that members answered with an error.
    pub errors: u32,
    /// A member refused it for its role or position, or served it from data that was too old.
    pub missed: bool,
    /// It carries a key by which members discard duplicates.
    pub has_idempotency_key: bool,
    /// A streamed answer has started.
    pub streaming: bool,
    /// The attempt limit of the settings in force when it arrived.
    pub max_attempts: u32,
    /// The client is answered or gone; only attempts in flight are left.
    pub answered: bool,
}

impl OpenRequest {
    /// Whether an attempt was sent to this member, and none may follow as yet.
    pub fn tried(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member && a.repeat_there != RepeatThere::Yes)
    }

    /// Allows another attempt at the members that left one unanswered.
    pub fn repeat_unanswered(&mut self) {
        let unanswered = self.attempts.iter_mut().filter(|a| a.repeat_there == RepeatThere::AfterOthers);
        unanswered.for_each(|a| a.repeat_there = RepeatThere::Yes);
    }

    /// Whether an attempt was delivered to this member.
    pub fn has_reached(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member && a.delivered)
    }
}

/// The state of a member that could not be reached or left work unanswered. It gets no requests until it
/// answers a probe, and then one request at a time until it answers one.
pub(crate) struct Suspicion {
    pub since: Time,
    /// When it is probed next, and the interval before the probe after that.
    pub next_probe: Time,
    pub probe_interval: Time,
    /// A connection to it was refused at some time since.
    pub unreachable: bool,
    /// Single requests may be sent to it.
    pub trial_allowed: bool,
    /// Suspected only because its zone seems lost; an answer from any member of the zone allows trials.
    pub inferred: bool,
}

/// Exponential moving average of yes/no results.
#[derive(Clone, Copy, Default)]
pub(crate) struct MovingAverage(pub f64);

impl MovingAverage {
    /// Adds one result with this weight.
    pub fn record(&mut self, hit: bool, weight: f64) {
        self.0 += weight * (f64::from(u8::from(hit)) - self.0);
    }
}

/// Time from sending an attempt to its answer, for one class, learned from recent attempts. All values are in us.
#[derive(Clone, Copy, Default)]
pub(crate) struct ServiceTime {
    /// The mean. Before the first answer, the longest time that an attempt went without one.
    mean: f64,
    /// The mean of the newest answers, and the mean deviation from it.
    recent: f64,
    deviation: f64,
    /// The newest answer's.
    newest: f64,
    /// The lowest mean of late, as of `answered_at`: the time that an answer takes while little else waits at members.
    unloaded: Option<f64>,
    answered_at: Time,
    /// Number of answers seen.
    answers: u32,
    /// When an attempt was last sent.
    pub last_sent: Time,
}

impl ServiceTime {
    /// Records the end of an attempt. One that ended without an answer counts with its duration, limited to [`LOST_FACTOR`]
    /// times the mean: if only answers counted, each attempt that is cut off would lower the mean, so that ever more
    /// would be cut off.
    pub fn record(&mut self, outcome: Outcome, spent: Time, now: Time) {
        let spent = spent as f64;
        match outcome {
            Outcome::Completed => self.record_answer(spent, now),
            Outcome::Overdue if self.answers > 0 => {
                self.mean += LATENCY_WEIGHT * (spent.clamp(self.mean, self.mean * LOST_FACTOR) - self.mean);
                self.recent += self.recent_weight(now) * (spent.max(self.recent) - self.recent);
            }
            Outcome::Overdue | Outcome::Cancelled if self.answers == 0 => self.mean = self.mean.max(spent),
            _ => {}
        }
    }

    fn record_answer(&mut self, spent: f64, now: Time) {
        self.answers = self.answers.saturating_add(1);
        self.newest = spent;
        // The first answers count alike.
        let weight = LATENCY_WEIGHT.max(1.0 / f64::from(self.answers));
        self.mean += weight * (spent - self.mean);
        let weight = weight.max(self.recent_weight(now));
        let error = if self.answers == 1 { 0.0 } else { (spent - self.recent).abs() };
        self.deviation += weight * (error - self.deviation);
        self.recent += weight * (spent - self.recent);
        if self.is_known() {
            let age = now.saturating_sub(self.answered_at) as f64 / UNLOADED_MEMORY as f64;
            self.unloaded =
                Some(self.unloaded.map_or(self.mean, |lowest| self.mean.min(lowest * (1.0 + age))));
        }
        self.answered_at = now;
    }

    /// The weight of a result in what answers take now: the rarer answers are, the more each of them tells.
    fn recent_weight(&self, now: Time) -> f64 {
        let since_last = now.saturating_sub(self.answered_at) as f64 / RECENT_ANSWERS as f64;
        LATENCY_WEIGHT.max(1.0 - (-since_last).exp())
    }

    /// What attempts take now; `None` before the end of any attempt.
    pub fn present(&self) -> Option<f64> {
        self.estimate().map(|mean| if self.answers > 0 { self.recent } else { mean })
    }

    /// The best estimate of the mean; `None` before the end of any attempt.
    pub fn estimate(&self) -> Option<f64> {
        (self.mean > 0.0).then_some(self.mean)
    }

    /// The mean, once enough answers were seen to tell an unusual time from a usual one.
    pub fn known_mean(&self) -> Option<f64> {
        (f64::from(self.answers) * LATENCY_WEIGHT >= 1.0).then_some(self.mean)
    }

    /// Whether enough answers were seen to tell what an attempt takes.
    fn is_known(&self) -> bool {
        self.answers >= MIN_ANSWERS
    }

    /// An attempt with less time than this cannot be expected to be answered in time. The newest answer counts as well as
    /// the mean: it is the first to show that members have become quick again.
    pub fn shortest_expected(&self) -> Time {
        if self.is_known() {
            self.recent.min(self.newest) as Time
        } else {
            0
        }
    }

    /// An attempt with this much time is almost certain to be answered in time.
    pub fn longest_expected(&self) -> Time {
        if self.is_known() {
            (self.recent + DEVIATIONS * self.deviation) as Time
        } else {
            0
        }
    }

    /// How much slower than allowed an attempt was that has waited at its member for longer than it was worked on, as a
    /// factor below 1; `None` if it was not, or while the work is not known.
    pub fn slowdown(&self, spent: Time) -> Option<f64> {
        let unloaded = self.unloaded?;
        let limit = (unloaded * SLOW_FACTOR).max(unloaded + SLOW_MIN as f64);
        (spent as f64 > limit).then(|| limit / spent as f64)
    }
}

/// A factor in (0, 1] on admitted load. Bad results lower it; good results and time raise it again.
#[derive(Clone, Copy)]
pub(crate) struct AdmissionFactor {
    pub value: f64,
    updated: Time,
}

impl Default for AdmissionFactor {
    fn default() -> Self {
        AdmissionFactor { value: 1.0, updated: 0 }
    }
}

impl AdmissionFactor {
    /// The current value. Two thirds of what is missing to 1 are regained within `recovery`.
    pub fn now(&self, now: Time, recovery: Time) -> f64 {
        // Called at every choice of a member, and nearly always 1.
        if self.value >= 1.0 {
            return 1.0;
        }
        1.0 - (1.0 - self.value) * (-(now.saturating_sub(self.updated) as f64) / recovery as f64).exp()
    }

    /// Records a bad result: multiplies by `factor`, with `min` as the lower bound.
    pub fn lower(&mut self, now: Time, recovery: Time, factor: f64, min: f64) {
        *self = AdmissionFactor { value: (self.now(now, recovery) * factor).max(min), updated: now };
    }

    /// Records a good result: adds `step`.
    pub fn raise(&mut self, now: Time, recovery: Time, step: f64) {
        *self = AdmissionFactor { value: (self.now(now, recovery) + step).min(1.0), updated: now };
    }
}

/// How answers change the admission factor of a member and that of the whole fleet.
pub(crate) struct AdmissionSteps {
    /// An attempt that was in vain and a saturated member multiply the fleet's factor by this.
    pub fleet_factor: f64,
    /// A slow answer and a missing one multiply a member's factor by these, and a very slow answer by a factor in
    /// between; a quick answer adds `quick_step`.
    pub slow_factor: f64,
    pub unanswered_factor: f64,
    pub quick_step: f64,
}

/// What an answer says about its member, and the member's report on itself.
pub(crate) type MemberInfo = (Option<Note>, Option<Report>);

/// An attempt: its request and its number.
pub(crate) type AttemptRef = (RequestId, usize);

/// Where the actions go.
pub(crate) type Actions<'a> = &'a mut Vec<Action>;

/// Statistics over all members of this router.
#[derive(Default)]
pub(crate) struct FleetStats {
    /// Recent share of bad results.
    pub errors: MovingAverage,
    /// Recent shares of attempts lost, on connections that had been idle and on all others.
    pub idle_loss: MovingAverage,
    pub active_loss: MovingAverage,
    /// Share of requests admitted, which falls with attempts in vain at any member.
    pub admission: AdmissionFactor,
}

/// Weight of the newest result of a connection: two losses in a row reach `IDLE_LOSS_LIMIT`.
const CONNECTION_LOSS_WEIGHT: f64 = 0.3;
/// Weight with which each answer on a new connection lowers the loss of idle ones.
const CONNECTION_LOSS_DECAY: f64 = 0.01;

impl FleetStats {
    /// Records whether an attempt was lost. Idle connections are at fault only if they lose more than others
    /// do: a hung member or a congested network loses attempts on both.
    pub fn record_connection_result(&mut self, connection: ConnectionState, lost: bool, outcome: Outcome) {
        if lost || outcome == Outcome::Completed {
            let loss =
                if connection == ConnectionState::Idle { &mut self.idle_loss } else { &mut self.active_loss };
            loss.record(lost, CONNECTION_LOSS_WEIGHT);
        }
        if connection == ConnectionState::New && outcome == Outcome::Completed {
            self.idle_loss.record(false, CONNECTION_LOSS_DECAY);
        }
    }
}

/// What the router knows about a member.
#[derive(Default)]
pub(crate) struct MemberState {
    pub zone: u32,
    pub group: GroupId,
    /// The member list allows new requests.
    pub in_service: bool,
    /// The list no longer contains it, or marks it as removed.
    pub removed: bool,
    /// The list names it as the primary.
    pub listed_primary: bool,
    pub up_since: Option<Time>,
    /// Highest position known to be reached.
    pub position: Position,
    /// Position in the last answer that carried one, and when that answer came.
    pub answered_position: Option<Position>,
    pub position_at: Time,
    /// When it last showed that it is a replica; 0: never.
    pub replica_at: Time,
    /// The highest position that came with such evidence.
    pub replica_position: Position,
    /// Reads of this router in flight.
    pub reads_in_flight: u32,
    /// All attempts of this router in flight.
    pub in_flight: u32,
    /// When it last answered work, got work while it had none in flight, or was first listed.
    pub last_progress: Time,
    pub suspicion: Option<Suspicion>,
    /// Factor on its concurrency limits, and when a slow answer last lowered it.
    pub admission: AdmissionFactor,
    pub admission_lowered_at: Time,
    /// It refused a request as saturated and gets nothing new before this time.
    pub saturated_until: Time,
    /// Recent share of bad results.
    pub errors: MovingAverage,
    /// When an attempt was last sent to it; 0: never.
    pub last_sent: Time,
    /// When a connection to it was last in use.
    pub last_used: Option<Time>,
    pub probe_pending: bool,
    pub last_probe: Option<Time>,
    /// Its last known start. Whether it is in slow start follows from this and the settings in force.
    pub started: Option<Time>,
    /// During slow start: the attempts that may be made there.
    pub slow_start_tokens: SlowStartTokens,
    /// During slow start: when attempts ended without an answer.
    pub unanswered: VecDeque<Time>,
}

impl MemberState {
    /// Allows trial requests if the member is suspected. If it was unreachable for `restarted_after` or
    /// longer, it counts as restarted now, before the first trial, because every other router sends it a
    /// trial as well.
    pub fn allow_trial(&mut self, now: Time, restarted_after: Time, warm_after: Time) {
        let Some(d) = &mut self.suspicion else { return };
        d.trial_allowed = true;
        let (unreachable, since) = (d.unreachable, d.since);
        let known = self.in_slow_start(now, warm_after) && self.started >= Some(since);
        if unreachable && now >= since + restarted_after && !known {
            self.started = Some(now);
        }
    }

    /// Records the end of an attempt that was in flight.
    pub fn record_end(&mut self, outcome: Outcome, write: bool, now: Time, warm_after: Time) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reads_in_flight = self.reads_in_flight.saturating_sub(u32::from(!write));
        if outcome == Outcome::Completed {
            self.last_used = Some(now);
        }
        if self.in_slow_start(now, warm_after) && !matches!(outcome, Outcome::Completed | Outcome::Superseded)
        {
            self.unanswered.push_back(now);
        }
    }

    /// Work is in flight and none was answered for `limit`. Answered probes do not count, because hung
    /// members still answer probes.
    pub fn is_silent(&self, now: Time, limit: Time) -> bool {
        self.in_flight > 0 && now >= self.last_progress + limit
    }

    /// The list names it as the primary, and nothing since has shown that it is a replica.
    pub fn is_listed_primary(&self) -> bool {
        self.listed_primary && self.replica_at == 0
    }

    /// Connections to it have been unused for at least `idle_after`.
    pub fn connections_idle(&self, now: Time, idle_after: Time) -> bool {
        self.last_used.is_some_and(|t| now >= t + idle_after)
    }

    /// It started less than `warm_after` ago and may not have its full capacity yet.
    pub fn in_slow_start(&self, now: Time, warm_after: Time) -> bool {
        self.started.is_some_and(|t| now < t + warm_after)
    }

    /// The list told of its last start, which was not inferred from a time in which it could not be reached.
    pub fn start_is_listed(&self) -> bool {
        self.started.is_some_and(|started| self.up_since.is_some_and(|listed| started <= listed))
    }

    /// The list tells of a start less than `warm_after` ago.
    pub fn is_listed_as_started(&self, now: Time, warm_after: Time) -> bool {
        self.up_since.is_some_and(|listed| now < listed + warm_after)
    }

    /// The share of its full capacity that it has at least.
    pub fn slow_start_weight(&self, now: Time, rules: &Rules) -> f64 {
        let Some(start) = self.started.filter(|_| self.in_slow_start(now, rules.warm_after)) else {
            return 1.0;
        };
        let age = now.saturating_sub(start) as f64 / rules.warm_after.max(1) as f64;
        (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
    }
}

/// What the router knows about a group.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<MemberId>,
    pub primary: Option<MemberId>,
    /// The last known primary, kept after it lost the role.
    pub last_primary: Option<MemberId>,
    /// Position that came with the newest evidence of the primary.
    pub as_of: Position,
    /// When a held write may next be tried at a member of unknown role.
    pub next_primary_trial: Time,
    /// When the current window for probes of suspected members began, and the probes in it.
    pub suspect_probe_window: Time,
    pub suspect_probes: usize,
    /// When an attempt last went to a member that had never been sent one; 0: never.
    pub last_first_use: Time,
}

impl Group {
    /// How many suspected members may be probed now; `None` where the group is so small that all may.
    pub fn suspect_probes_left(&mut self, now: Time) -> Option<usize> {
        if self.members.len() <= SUSPECT_PROBES_MAX {
            return None;
        }
        if now >= self.suspect_probe_window + SUSPECT_PROBE_INTERVAL_MAX {
            (self.suspect_probe_window, self.suspect_probes) = (now, 0);
        }
        Some(SUSPECT_PROBES_MAX.saturating_sub(self.suspect_probes))
    }
}

/// The last write of each session, as far as this router has completed it. Old entries are folded into one
/// floor that every session read must meet, so that dropping them never allows a stale read.
#[derive(Default)]
pub(crate) struct Sessions {
    newer: BTreeMap<Arc<str>, Position>,
    older: BTreeMap<Arc<str>, Position>,
    floor: Position,
    rotated: Time,
}

impl Sessions {
    /// The position that a read of this session must see.
    pub fn required_position(&self, session: &str) -> Position {
        let known = self.newer.get(session).max(self.older.get(session));
        known.copied().unwrap_or(0).max(self.floor)
    }

    /// Records a write. Entries older than `retention` may be folded into the floor.
    pub fn remember(&mut self, session: Arc<str>, commit: Position, now: Time, retention: Time) {
        if now > self.rotated + retention {
            self.rotated = now;
            let newer = std::mem::take(&mut self.newer);
            let dropped = std::mem::replace(&mut self.older, newer);
            self.floor = dropped.into_values().max().unwrap_or(0).max(self.floor);
        }
        let at = self.newer.entry(session).or_default();
        *at = commit.max(*at);
    }
}

/// Sort key of a replica as the target of a read; the lowest is chosen.
pub(crate) type Rank = ((u32, bool, u8, bool, bool), f64);

pub(crate) fn compare_ranks(a: &Rank, b: &Rank) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// Removes a request from the queue of held requests, if it is there.
pub(crate) fn remove_held(held: &mut Vec<(u64, RequestId)>, entry: (u64, RequestId)) {
    if let Ok(at) = held.binary_search(&entry) {
        held.remove(at);
    }
}

/// Whether a zone has gone silent: at least `min_count` of its members became suspected after `after`, and no
/// member of the zone was heard since the first of them did. If so, returns whether one of them was
/// unreachable.
pub(crate) fn silent_zone(
    members: &FxHashMap<MemberId, MemberState>,
    zone: u32,
    after: Time,
    min_count: usize,
) -> Option<bool> {
    let of_zone = || members.values().filter(|m| m.in_service && m.zone == zone);
    let suspected =
        of_zone().filter_map(|m| m.suspicion.as_ref()).filter(|d| !d.trial_allowed && d.since >= after);
    let (count, first, unreachable) =
        suspected.fold((0, Time::MAX, false), |(n, t, u), d| (n + 1, t.min(d.since), u || d.unreachable));
    (count >= min_count && of_zone().all(|m| m.position_at < first)).then_some(unreachable)
}

/// An interval of 0.5 to 1.5 times this length, for `fraction` in [0, 1), so that routers that start
/// something at the same time do not repeat it at the same time.
pub(crate) fn jittered(interval: Time, fraction: f64) -> Time {
    (interval as f64 * (0.5 + fraction)) as Time
}

/// A number in [0, 1), uniform over the inputs and always the same for the same ones.
pub(crate) fn hash_fraction(seed: u64, a: u64, b: u64) -> f64 {
    let mut x = seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
    for factor in [0xbf58_476d_1ce4_e5b9u64, 0x94d0_49bb_1331_11eb, 0xff51_afd7_ed55_8ccd] {
        x = (x ^ x >> 29).wrapping_mul(factor);
    }
    (x >> 11) as f64 / (1u64 << 53) as f64
}
