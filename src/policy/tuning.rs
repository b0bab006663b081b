//! Tuned values of the router, each with what it rests on. What a setting tells is no constant here.

use super::state::Easing;
use crate::interface::Time;

/// Reads that all routers together may have out at one replica; each takes its even share as its fixed bound.
/// Enough to keep several cores busy between two rounds, few enough that the last in line is still in time.
pub(super) const MEMBER_READS: u32 = 18;
/// Of all work out at the primary, by all routers, how much may be there before reads stay away from it.
pub(super) const PRIMARY_READS: u32 = 9;
/// Writes (and whatever else) out at the primary at once, by all routers; the most a hung one can swallow.
pub(super) const MEMBER_WRITES: u32 = 48;
/// Shares shrink no further with more routers than this: most of so many will be idle at any moment.
pub(super) const SHARERS_MOST: u32 = 18;
/// Quick wake-up while something is held that only time can release, in us: a fraction of any aim.
pub(super) const HELD_TICK: Time = 10_000;
/// A read that waits only for room is given up after this share of the tightest aim of any read class: a
/// longer common queue serves no more reads, it only makes the tightest class miss its aim altogether.
pub(super) const HOLD_SHARE: f64 = 0.4;
/// A read is not sent with less time left than so many mean service times, but for this share of such reads.
pub(super) const LEFT_FACTOR: f64 = 1.5;
pub(super) const LEFT_TRIED: f64 = 0.1;
/// Final answers go out this long before the client leaves, in us: one late round must not lose them.
pub(super) const ANSWER_LEAD: Time = 12_000;
/// A write of which no attempt reached a member is given up this long before half of its time is over, in
/// us: its client can still come back then, and a later refusal costs more than the chance is worth.
pub(super) const HALF_LEAD: Time = 18_000;
/// Reports may round a position up by less than this, in us; notes are rounded down already.
pub(crate) const REPORT_ROUNDING: Time = 1_000;
/// A checking member is tried on an estimated position no older than this, in us: lag changes in seconds, yet
/// one of hundreds of drivers hears of a member but every few, and a miss is cheaper than a probe.
pub(super) const ESTIMATE_TRUST: Time = 10_000_000;
/// What a checking member that was never heard of is thought to lag, in us: more than a sound one does.
pub(super) const UNHEARD_LAG: Time = 50_000;
/// Least time between two probes of a member for a session read, or for finding a primary, in us:
/// reports are refreshed a few times a second, so asking faster tells nothing new.
pub(super) const PROBE_GAP: Time = 150_000;
/// How long a read waits for a replica's word on its position before the primary may take it, in us.
pub(super) const ASK_PATIENCE: Time = 40_000;
/// Least time between two probes of a member for its role, in us: elections take seconds.
pub(super) const SEEK_GAP: Time = 400_000;
/// Probes out at once for a primary that was never known.
pub(super) const SEEK_FEW: usize = 2;
/// A probe without a result after this long is taken as lost, in us.
pub(super) const PROBE_PATIENCE: Time = 1_000_000;
/// Time between two tries of a held write at members whose role is unknown, in us.
pub(super) const SCOUT_GAP: Time = 100_000;
/// A member with work out is silent after this many times the mean service time ...
pub(super) const SILENCE_FACTOR: f64 = 5.0;
/// ... but neither before the first of these, in us, nor past the longer of the others: work may take long.
pub(super) const SILENCE_LEAST: Time = 300_000;
pub(super) const SILENCE_MOST: Time = 500_000;
pub(super) const SILENCE_MEANS: f64 = 2.5;
/// Where a probe is answered, work is taken back only after this multiple of the limit: it may be slow.
pub(super) const SILENCE_EXCUSE: u64 = 2;
/// Weight of the newest result in a member's error share: some eight results make the picture.
pub(super) const ERROR_WEIGHT: f64 = 0.12;
/// Above this error share a member gets only single trial reads; well above what a sound one shows.
pub(super) const ERROR_LIMIT: f64 = 0.22;
/// The router's own share of bad results, over some thirty of them, raises that limit this many times.
pub(super) const ERROR_COMMON: f64 = 1.5;
pub(super) const ERROR_COMMON_WEIGHT: f64 = 0.03;
/// A read is not sent again after this many errors: more tells of the request, not of the members.
pub(super) const ERRORS_MOST: u32 = 2;
/// Time between two trial reads of a failing member, in us.
pub(super) const TRIAL_GAP: Time = 400_000;
/// First and longest pause before a member in doubt is asked again, in us.
pub(super) const DOUBT_PAUSE: Time = 200_000;
pub(super) const DOUBT_PAUSE_MOST: Time = 1_600_000;
/// So many members of a zone that go silent within this span, in us, and none heard since: it is lost.
pub(super) const ZONE_MEMBERS: usize = 3;
pub(super) const ZONE_SPAN: Time = 2_000_000;
/// An answer slower than this share of its class's aim tells of a jam at the member, whoever caused it;
/// sound members give few, as work varies.
pub(super) const SLOW_SHARE: f64 = 0.45;
/// A slow answer lowers the member's bounds once for all that was out at the time, each quick one raises them
/// by a share of the full bound, and so does this time, in us. The common ease of all members falls with
/// answers past `limit` of the aim: at a fifth of them slow it stands still. It comes back with time, too.
pub(super) const EASE_TIME: Time = 15_000_000;
pub(super) const POOL_UP: f64 = 0.025;
pub(super) const POOL_TIME: Time = 30_000_000;
pub(super) const EASING: Easing = Easing { limit: 0.65, down: 0.9, worse: 0.75, none: 0.75, better: 0.03 };
/// Where a member's even share is a single read, answers from it are few: each tells more, and one that did
/// not come at all tells most. The common ease shortens no queue there but turns reads away, on the word of
/// the few answers seen here: only those past the aim lower it then, and half of them must be.
pub(super) const EASING_ONE: Easing = Easing { limit: 1.0, down: 0.97, worse: 0.75, none: 0.3, better: 0.15 };
/// The part of its capacity from which on a member in slow start takes clients' repeats.
pub(super) const SLOW_START_REPEATS: f64 = 0.5;
/// A surge is seen in this part of the budget's span: before the span is over it has to count.
pub(super) const SURGE_PART: Time = 2;
/// So many times as many requests as usual are a burst; fewer come by chance, and what the settings allow has room for them.
pub(super) const BURST_MIN: f64 = 1.3;
/// Repeats are counted over so many of these spans: a flood of them lasts, and writes are few.
pub(super) const REPEAT_SPANS: Time = 3;
/// All repeats of what must be current get at most so much of what its first tries do: those take three quarters or so of a warm
/// primary at the group's full load, and the rest of the budget is for chance.
pub(super) const REPEATED_CURRENT: f64 = 0.5;
/// Of what has waited for a primary so much goes to one in slow start: it comes within one span, beside what comes then.
pub(super) const WAITED_PART: f64 = 0.5;
/// Over so long, in us, the usual rate of requests is learned: longer than any burst, and not as long as a day's course.
pub(super) const USUAL_SPAN: Time = 60_000_000;
/// Neither goes lower, so that it can come back soon.
pub(super) const EASE_LEAST: f64 = 0.08;
/// Members of equal counts are told apart by ease in so many steps.
pub(super) const SLOW_STEPS: f64 = 5.0;
/// An attempt is taken as lost after this many mean service times; few sound ones take that long ...
pub(super) const LOST_FACTOR: f64 = 4.0;
/// ... at a member whose ease is at least this: elsewhere answers are late for want of room.
pub(super) const LOST_EASE: f64 = 0.5;
/// A connection without use for this long counts as idle, in us.
pub(super) const IDLE_LEAST: Time = 250_000;
/// Idle connections are closed before use once the share of attempts lost on them exceeds others' by this.
pub(super) const LINK_LIMIT: f64 = 0.45;
/// A member that was never connected to has its turn within so much a router, in us ...
pub(super) const TURN_EACH: Time = 60_000;
/// ... but no later than this; and a group's primary before so much of a write's aim is over.
pub(super) const TURN_MOST: Time = 3_000_000;
pub(super) const TURN_SHARE: f64 = 0.7;
/// Before its turn a member is connected to this long after another of its group, in us, and for reads that
/// have waited for room; for as much of the tightest aim they may wait while turns are to come.
pub(super) const TURN_GAP: Time = 80_000;
pub(super) const TURN_HOLD: f64 = 0.8;
/// A member that turned something away as full gets nothing for this long, in us.
pub(super) const FULL_REST: Time = 30_000;
/// Unreachable for at least this long and back: taken as restarted, in us.
pub(super) const RESTART_AFTER: Time = 2_000_000;
/// Weight of the newest answer in mean service times.
pub(super) const LATENCY_WEIGHT: f64 = 0.05;
/// A list that is not newer than the last answer about a role by this much, in us, does not change it.
pub(super) const LIST_ROLE_AGE: Time = 6_000_000;
/// Remembered session writes are folded into one floor after this long, in us.
pub(super) const SESSION_SPAN: Time = 30_000_000;
/// Advice to a client whose write cannot go out now, in us: an election takes seconds.
pub(super) const WRITE_RETRY_AFTER: Time = 500_000;
