//! What a router remembers. It decides nothing: the modules beside it read and write it.

use super::slow_start::Surge;
use crate::interface::*;
use smallvec::SmallVec;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What became of an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    /// No outcome yet.
    Out,
    /// Its outcome proves that nothing ran.
    NeverRan,
    /// It ended, and may have had its effect.
    MayHaveRun,
}

/// The connection that an attempt went out on, as far as this router can tell.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Link {
    /// In use a short while before.
    Used,
    /// Without use for long.
    Idle,
    /// Idle ones were closed first.
    Fresh,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub member: MemberId,
    pub sent: Time,
    pub link: Link,
    pub fate: Fate,
    /// As far as can be known it has come to the member, whatever that did with it.
    pub arrived: bool,
}

/// A request that is owed an answer, or whose attempts are still out.
#[derive(Default)]
pub(crate) struct Open {
    pub class: usize,
    pub group: GroupId,
    pub session: Option<Arc<str>>,
    /// What its session has written, as far as it must see it.
    pub token: Position,
    /// Members cannot check that position themselves.
    pub proven: bool,
    /// Order of arrival.
    pub seq: u64,
    pub arrived: Time,
    /// When its client leaves.
    pub deadline: Time,
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Attempts that members answered with an error.
    pub errors: u32,
    /// A member was too far behind for it, or not the primary.
    pub missed: bool,
    /// One of its attempts was written to a member, whatever came of it.
    pub written: bool,
    /// A client's repeat.
    pub repeat: bool,
    /// What was seen of all requests when it came.
    pub surge: Surge,
    /// Its answer has begun.
    pub streaming: bool,
    /// Most attempts, as the settings had it when it came.
    pub most: u32,
    /// Answered; only attempts are left.
    pub done: bool,
}

impl Open {
    /// Whether it has been sent to this member.
    pub fn tried(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member)
    }

    /// Whether an attempt of it has come to this member.
    pub fn has_reached(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member && a.arrived)
    }
}

/// A member that left work unanswered or could not be reached. It gets nothing until a probe is answered,
/// then one request at a time until one of those is.
pub(crate) struct Doubt {
    pub since: Time,
    /// When it is asked again, and the pause after that.
    pub next: Time,
    pub pause: Time,
    /// It could not be reached at some time since.
    pub refused: bool,
    /// Single requests may try it.
    pub open: bool,
    /// It is in doubt for its zone's sake alone: one answer from there lets it be tried.
    pub inferred: bool,
}

/// A recent share of results: each moves it by its weight.
#[derive(Clone, Copy, Default)]
pub(crate) struct Share(pub f64);

impl Share {
    /// Takes in one result.
    pub fn see(&mut self, hit: bool, weight: f64) {
        self.0 += weight * (f64::from(u8::from(hit)) - self.0);
    }
}

/// How long a class's work takes, by what was seen lately.
#[derive(Clone, Copy)]
pub(crate) struct Service {
    /// The mean, in us; a guess at first.
    pub mean: f64,
    /// Answers that it was learned from.
    answers: u32,
}

impl Service {
    /// Before anything was seen.
    pub fn guess(class: &Class) -> Self {
        Service { mean: class.aim as f64 / 4.0, answers: 0 }
    }

    /// An attempt has ended. One that was cut off counts with its time, of which no more than `most` means: by answers
    /// alone the mean would sink with each cut, and cut off ever more.
    pub fn see(&mut self, outcome: Outcome, spent: Time, weight: f64, most: f64) {
        self.answers = self.answers.saturating_add(u32::from(outcome == Outcome::Completed));
        self.mean += match outcome {
            Outcome::Completed => weight * (spent as f64 - self.mean),
            Outcome::Overdue => weight * (spent as f64).min(self.mean * most),
            _ => 0.0,
        };
    }

    /// The mean, once the guess no longer weighs much in it.
    pub fn learned(&self, weight: f64) -> Option<f64> {
        (f64::from(self.answers) * weight >= 1.0).then_some(self.mean)
    }
}

/// A share in (0, 1] that is lowered by bad results and comes back with good ones and with time.
#[derive(Clone, Copy)]
pub(crate) struct Ease {
    pub share: f64,
    at: Time,
}

impl Default for Ease {
    fn default() -> Self {
        Ease { share: 1.0, at: 0 }
    }
}

impl Ease {
    /// Its value now, where two thirds of what is missing come back within `span`.
    pub fn now(&self, now: Time, span: Time) -> f64 {
        // Asked for at every choice, and nearly always whole.
        if self.share >= 1.0 {
            return 1.0;
        }
        1.0 - (1.0 - self.share) * (-(now.saturating_sub(self.at) as f64) / span as f64).exp()
    }

    /// A bad result, down to `least`.
    pub fn down(&mut self, now: Time, span: Time, factor: f64, least: f64) {
        *self = Ease { share: (self.now(now, span) * factor).max(least), at: now };
    }

    /// A good result.
    pub fn up(&mut self, now: Time, span: Time, step: f64) {
        *self = Ease { share: (self.now(now, span) + step).min(1.0), at: now };
    }
}

/// How answers move the ease of a member and of all together.
pub(crate) struct Easing {
    /// Later than this share of the aim, an answer lowers the common ease, by `down`.
    pub limit: f64,
    pub down: f64,
    /// What a slow answer and one that did not come lower a member's ease by, and what a quick one raises it by.
    pub worse: f64,
    pub none: f64,
    pub better: f64,
}

/// What an answer says of its member, and what that reports of itself.
pub(crate) type Word = (Option<Note>, Option<Report>);

/// An attempt: its request and its number.
pub(crate) type Which = (RequestId, usize);

/// Where the actions go.
pub(crate) type Out<'a> = &'a mut Vec<Action>;

/// What a router sees at all its members together.
#[derive(Default)]
pub(crate) struct Signs {
    /// Bad results of all.
    pub errors: Share,
    /// Attempts lost of those on connections that had been idle, and of the others.
    pub idle_lost: Share,
    pub used_lost: Share,
    /// Share of requests let in, by how slow answers are everywhere.
    pub pool: Ease,
}

/// Weight of the newest result on a connection: two in a row tell. Each answer on a new one makes it forget a little.
const LINK_WEIGHT: f64 = 0.3;
const LINK_FADE: f64 = 0.01;

impl Signs {
    /// Whether what is sent on connections that were idle gets lost, beyond what is lost on others: a hung member or
    /// a jam loses both.
    pub fn judge_links(&mut self, link: Link, lost: bool, outcome: Outcome) {
        if lost || outcome == Outcome::Completed {
            let share = if link == Link::Idle { &mut self.idle_lost } else { &mut self.used_lost };
            share.see(lost, LINK_WEIGHT);
        }
        if link == Link::Fresh && outcome == Outcome::Completed {
            self.idle_lost.see(false, LINK_FADE);
        }
    }
}

/// What is known of a member.
#[derive(Default)]
pub(crate) struct Seen {
    pub zone: u32,
    pub group: GroupId,
    /// The list allows new work.
    pub listed: bool,
    /// The list no longer names it, or calls it gone.
    pub gone: bool,
    /// The list's last word on its role.
    pub head: bool,
    pub up_since: Option<Time>,
    /// Highest position heard.
    pub position: Position,
    /// The position that an answer last told, and when that was.
    pub told: Option<Position>,
    pub position_at: Time,
    /// When it last showed itself to be a replica; 0: never.
    pub replica_at: Time,
    /// Position that came with the newest evidence of that.
    pub replica_as_of: Position,
    /// Own reads out.
    pub reads: u32,
    /// All own attempts out.
    pub out: u32,
    /// No work has been answered since, while some was out.
    pub quiet_since: Time,
    pub doubt: Option<Doubt>,
    /// Share of its bounds left to it, and when a slow answer last lowered it.
    pub ease: Ease,
    pub eased: Time,
    /// Turned something away as full: nothing new until then.
    pub rest_until: Time,
    /// Recent share of bad results.
    pub errors: Share,
    /// When something was last sent to it.
    pub last_sent: Time,
    /// When a connection to it was last in use.
    pub last_used: Option<Time>,
    pub probe_out: bool,
    pub probed: Option<Time>,
    /// When it last started, as far as is known; whether it is cold follows from that and the settings in force.
    pub started: Option<Time>,
    /// While cold: when attempts ended without an answer.
    pub spent: VecDeque<Time>,
}

impl Seen {
    /// It may be tried again, if it was in doubt. Out of reach for so long it counts as restarted from now on, the
    /// trial included: every other router has one for it, too.
    pub fn reopen(&mut self, now: Time, restarted_after: Time, warm_after: Time) {
        let Some(d) = &mut self.doubt else { return };
        d.open = true;
        let (refused, since) = (d.refused, d.since);
        let known = self.cold(now, warm_after) && self.started >= Some(since);
        if refused && now >= since + restarted_after && !known {
            self.started = Some(now);
        }
    }

    /// One of the attempts out has ended.
    pub fn ended(&mut self, outcome: Outcome, write: bool, now: Time, warm_after: Time) {
        self.out = self.out.saturating_sub(1);
        self.reads = self.reads.saturating_sub(u32::from(!write));
        if outcome == Outcome::Completed {
            self.last_used = Some(now);
        }
        if self.cold(now, warm_after) && !matches!(outcome, Outcome::Completed | Outcome::Superseded) {
            self.spent.push_back(now);
        }
    }

    /// Work is out and none was answered for the limit. An answered probe does not count: hung members
    /// answer probes.
    pub fn quiet(&self, now: Time, limit: Time) -> bool {
        self.out > 0 && now >= self.quiet_since + limit
    }

    /// The list calls it the primary, and it has not denied that.
    pub fn named(&self) -> bool {
        self.head && self.replica_at == 0
    }

    /// Connections to it have been without use for `least`.
    pub fn idle(&self, now: Time, least: Time) -> bool {
        self.last_used.is_some_and(|t| now >= t + least)
    }

    /// It has started too recently to do all that it will be able to do.
    pub fn cold(&self, now: Time, warm_after: Time) -> bool {
        self.started.is_some_and(|t| now < t + warm_after)
    }

    /// Share of its capacity that it surely has.
    pub fn slow_start_weight(&self, now: Time, rules: &Rules) -> f64 {
        let Some(start) = self.started.filter(|_| self.cold(now, rules.warm_after)) else { return 1.0 };
        let age = now.saturating_sub(start) as f64 / rules.warm_after.max(1) as f64;
        (rules.cold_share + (1.0 - rules.cold_share) * age).min(1.0)
    }
}

/// What is known of a group.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<MemberId>,
    pub primary: Option<MemberId>,
    /// Since when that one is known to be.
    pub primary_since: Time,
    /// The primary last known, also after it lost the role.
    pub last: Option<MemberId>,
    /// Position that came with the newest evidence of the primary.
    pub as_of: Position,
    /// When a held write may next try a member of unknown role.
    pub next_scout: Time,
    /// When its first member was listed.
    pub since: Time,
    /// When last a member was sent something that never had been; 0: never.
    pub opened: Time,
}

impl Group {
    /// This member is known to be the primary.
    pub fn set_primary(&mut self, id: MemberId, now: Time) {
        if self.primary.replace(id) != Some(id) {
            self.primary_since = now;
        }
    }
}

/// Writes of sessions seen through by this router. Old ones are folded into a floor that every session must
/// then meet, so that forgetting can never let a stale read through.
#[derive(Default)]
pub(crate) struct Sessions {
    newer: BTreeMap<Arc<str>, Position>,
    older: BTreeMap<Arc<str>, Position>,
    floor: Position,
    turned: Time,
}

impl Sessions {
    /// The position that a read of this session must see.
    pub fn written(&self, session: &str) -> Position {
        let known = self.newer.get(session).max(self.older.get(session));
        known.copied().unwrap_or(0).max(self.floor)
    }

    /// Takes in a write; those older than `span` may be folded into the floor.
    pub fn remember(&mut self, session: Arc<str>, commit: Position, now: Time, span: Time) {
        if now > self.turned + span {
            self.turned = now;
            let newer = std::mem::take(&mut self.newer);
            let gone = std::mem::replace(&mut self.older, newer);
            self.floor = gone.into_values().max().unwrap_or(0).max(self.floor);
        }
        let at = self.newer.entry(session).or_default();
        *at = commit.max(*at);
    }
}

/// How a replica compares with the others for a read: the least is chosen.
pub(crate) type Rank = ((u32, bool, u8, bool, bool), f64);

pub(crate) fn by_rank(a: &Rank, b: &Rank) -> Ordering {
    a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
}

/// Takes a request out of the hold queue, if it is there.
pub(crate) fn unhold(held: &mut Vec<(u64, RequestId)>, one: (u64, RequestId)) {
    if let Ok(at) = held.binary_search(&one) {
        held.remove(at);
    }
}

/// Where at least so many members of a zone came into doubt after a moment and none of the zone has been heard since
/// the first of them did: whether one of those could not be reached.
pub(crate) fn silent(
    members: &BTreeMap<MemberId, Seen>,
    zone: u32,
    after: Time,
    least: usize,
) -> Option<bool> {
    let of_zone = || members.values().filter(|m| m.listed && m.zone == zone);
    let dark = of_zone().filter_map(|m| m.doubt.as_ref()).filter(|d| !d.open && d.since >= after);
    let (count, first, refused) =
        dark.fold((0, Time::MAX, false), |(n, t, r), d| (n + 1, t.min(d.since), r || d.refused));
    (count >= least && of_zone().all(|m| m.position_at < first)).then_some(refused)
}

/// A pause of half to one and a half times this length, by lot: what all routers begin at once, they repeat apart.
pub(crate) fn spread(pause: Time, lot: f64) -> Time {
    (pause as f64 * (0.5 + lot)) as Time
}

/// A number in [0, 1), even over all inputs and always the same for the same ones.
pub(crate) fn hash_fraction(seed: u64, a: u64, b: u64) -> f64 {
    let mut x = seed ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
    for factor in [0xbf58_476d_1ce4_e5b9u64, 0x94d0_49bb_1331_11eb, 0xff51_afd7_ed55_8ccd] {
        x = (x ^ x >> 29).wrapping_mul(factor);
    }
    (x >> 11) as f64 / (1u64 << 53) as f64
}
