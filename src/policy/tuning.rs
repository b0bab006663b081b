//! Constants of the router, each with its rationale. Values that the settings provide are not repeated here.

use super::state::AdmissionSteps;
use crate::interface::Time;

/// Reads that all routers together may have in flight at one replica; each router uses an even share of it as
/// its fixed limit. Enough to keep several cores busy between two steps of a router. What exceeds it waits at the
/// router, where it can still go to whichever member has capacity first.
pub(super) const MEMBER_READ_LIMIT: u32 = 18;
/// Reads are no longer sent to a primary once the requests of all routers in flight there reach this number.
pub(super) const PRIMARY_READ_LIMIT: u32 = 9;
/// Requests of any kind that all routers together may have in flight at a primary; the most that a hung
/// primary can hold up.
pub(super) const MEMBER_WRITE_LIMIT: u32 = 48;
/// The limits are divided by no more routers than this: with more of them, most are idle at any moment.
pub(super) const MAX_SHARERS: u32 = 18;
/// Wake-up interval in us while requests are held that only the passing of time can release.
pub(super) const HELD_POLL_INTERVAL: Time = 10_000;
/// Final answers are sent this long before the client's deadline, in us, so that one late step does not lose
/// them.
pub(super) const ANSWER_LEAD: Time = 12_000;
/// Positions in reports and those of commits may be rounded up by less than this, in us; positions that come
/// with answers to reads are rounded down already.
pub(crate) const REPORT_ROUNDING: Time = 1_000;
/// A member that checks positions itself may be chosen by an estimated position if the position behind the
/// estimate is no older than this, in us. Lag changes within seconds, but each of hundreds of
/// routers gets an answer of a member only every few seconds, and a miss is cheaper than a probe.
pub(super) const ESTIMATE_MAX_AGE: Time = 10_000_000;
/// Assumed lag in us of a member that checks positions itself and has not reported a position yet; more
/// than a healthy member has.
pub(super) const DEFAULT_LAG: Time = 50_000;
/// Least time in us between two probes of a member for a session read or to find a primary: reports are
/// refreshed a few times a second, so that faster probes learn nothing new.
pub(super) const PROBE_INTERVAL: Time = 150_000;
/// How long a read waits for the position of a probed replica before the primary may take it, in us.
pub(super) const POSITION_WAIT: Time = 40_000;
/// Least time in us between two probes of a member for its role: elections take seconds.
pub(super) const ROLE_PROBE_INTERVAL: Time = 400_000;
/// Probes in flight at once in a group of which no primary was ever known.
pub(super) const ROLE_PROBES_MAX: usize = 2;
/// Probes in flight at once in any other group without a primary: each may open a connection.
pub(super) const KNOWN_GROUP_ROLE_PROBES_MAX: usize = 32;
/// A probe without a result after this long counts as lost, in us.
pub(super) const PROBE_TIMEOUT: Time = 1_000_000;
/// Time in us between two attempts of held writes at members of unknown role.
pub(super) const PRIMARY_TRIAL_INTERVAL: Time = 100_000;
/// A member with work in flight is silent after this many mean service times without an answer ...
pub(super) const SILENCE_FACTOR: f64 = 5.0;
/// ... but not before this time, in us, ...
pub(super) const SILENCE_MIN: Time = 300_000;
/// ... and no later than the longer of this time, in us, ...
pub(super) const SILENCE_MAX: Time = 500_000;
/// ... and this many mean service times, because the work itself may take long.
pub(super) const SILENCE_MAX_FACTOR: f64 = 2.5;
/// If the silent member answers probes, its work is moved only after this multiple of the silence limit,
/// because it may just be slow.
pub(super) const SILENCE_PROBED_FACTOR: u64 = 2;
/// Weight of the newest result in a member's error share: about eight results determine it.
pub(super) const ERROR_WEIGHT: f64 = 0.12;
/// Above this error share a member gets only single trial reads; well above the share of a healthy member.
pub(super) const ERROR_LIMIT: f64 = 0.22;
/// That limit is raised by this factor times the error share over all members ...
pub(super) const ERROR_LIMIT_FLEET_FACTOR: f64 = 1.5;
/// ... in which the newest result has this weight: about thirty results determine it.
pub(super) const FLEET_ERROR_WEIGHT: f64 = 0.03;
/// A read is not sent again after this many errors: more of them point to the request, not to the members.
pub(super) const MAX_READ_ERRORS: u32 = 2;
/// Time in us between two trials that show whether a judgement still holds: reads of a member above the error limit, and
/// requests of a class for which answers have taken longer than its clients wait.
pub(super) const TRIAL_INTERVAL: Time = 400_000;
/// First interval between probes of a suspected member, in us; it doubles up to the next constant.
pub(super) const SUSPECT_PROBE_INTERVAL: Time = 200_000;
/// Longest interval between probes of a suspected member, in us.
pub(super) const SUSPECT_PROBE_INTERVAL_MAX: Time = 1_600_000;
/// Suspected members of a group that are probed in one such interval, where the group has more members: each probe
/// may open a connection.
pub(super) const SUSPECT_PROBES_MAX: usize = 16;
/// A zone counts as lost when this many of its members went silent ...
pub(super) const ZONE_LOSS_MEMBERS: usize = 3;
/// ... within this time, in us, and none of its members was heard since.
pub(super) const ZONE_LOSS_WINDOW: Time = 2_000_000;
/// An answer that takes this many times as long as the unloaded members take has waited at its member for longer than it
/// was worked on, which indicates congestion there, whoever caused it.
pub(super) const SLOW_FACTOR: f64 = 2.0;
/// A shorter wait than this, in us, indicates nothing: scheduling alone may take as long.
pub(super) const SLOW_MIN: Time = 10_000;
/// The unloaded service time rises e-fold within this time, in us, unless answers show that it is lower: answers that
/// stay slow for longer than most overloads are slow because the work itself takes longer.
pub(super) const UNLOADED_MEMORY: Time = 120_000_000;
/// What attempts take is known roughly after this many answers.
pub(super) const MIN_ANSWERS: u32 = 5;
/// An answer that comes this long after the one before it, in us, has most of the weight in what answers take now.
pub(super) const RECENT_ANSWERS: Time = 1_000_000;
/// Nearly all answers take no longer than the mean and this many mean deviations.
pub(super) const DEVIATIONS: f64 = 4.0;
/// Recovery time of a member's admission factor, in us. The factor scales the member's limits. A slow answer
/// lowers it once for all attempts that were in flight at the time; each quick answer raises it by a fixed
/// step, and it recovers with time.
pub(super) const ADMISSION_RECOVERY: Time = 15_000_000;
/// Each completed answer raises the fleet's admission factor by this. Attempts that were in vain and saturated members
/// lower it; it stays level when a fifth of the attempts end so.
pub(super) const FLEET_ADMISSION_STEP: f64 = 0.025;
/// Recovery time of the fleet's admission factor, in us.
pub(super) const FLEET_ADMISSION_RECOVERY: Time = 30_000_000;
/// Steps of the admission factors unless the share of a router is a single read.
pub(super) const ADMISSION_STEPS: AdmissionSteps =
    AdmissionSteps { fleet_factor: 0.9, slow_factor: 0.75, unanswered_factor: 0.75, quick_step: 0.03 };
/// Steps of the admission factors where a router's share of a member is a single read. A router then sees few
/// answers of a member, so each of them changes the factor more, and a missing answer changes it most. The
/// fleet's factor cannot shorten a queue in this case, so it falls only when half of the attempts are in vain.
pub(super) const SINGLE_READ_ADMISSION_STEPS: AdmissionSteps =
    AdmissionSteps { fleet_factor: 0.97, slow_factor: 0.75, unanswered_factor: 0.3, quick_step: 0.15 };
/// What members complete is measured over this time, in us: longer than an overload in which they complete little, and
/// shorter than the daily cycle.
pub(super) const COMPLETED_LOAD_WINDOW: Time = 60_000_000;
/// A router knows what members bear once it has had requests for this time, in us.
pub(super) const OBSERVED_MIN: Time = 5_000_000;
/// A router that completes fewer requests of a role than this within the window above does not know it.
pub(super) const COMPLETED_MIN: f64 = 1.0;
/// Least time in us between two counts of the serving members.
pub(super) const SERVING_COUNT_INTERVAL: Time = 500_000;
/// Tokens of members in slow start are valid for the budget's window divided by this.
pub(super) const TOKEN_VALIDITY_DIVISOR: Time = 2;
/// Most tokens that a router holds of one member; only a router that is alone gets that many within their validity.
pub(super) const MAX_SLOW_START_TOKENS: usize = 256;
/// Lower bound of the admission factors, so that they can recover soon.
pub(super) const ADMISSION_MIN: f64 = 0.08;
/// Members with the same number of reads in flight are ranked by their admission factor in this many steps.
pub(super) const SLOW_STEPS: f64 = 5.0;
/// An attempt counts as lost after this many mean service times, which few successful attempts
/// exceed ...
pub(super) const LOST_FACTOR: f64 = 4.0;
/// ... at a member whose admission factor is at least this: at others, answers are late for lack of capacity.
pub(super) const LOST_MIN_ADMISSION: f64 = 0.5;
/// A connection counts as idle after this time without use, in us.
pub(super) const IDLE_AFTER: Time = 250_000;
/// Idle connections are closed before use once the share of attempts lost on them exceeds that on others by
/// this.
pub(super) const IDLE_LOSS_LIMIT: f64 = 0.45;
/// Routers spread their first use of a member over this time per router, in us, each at its own slot ...
pub(super) const FIRST_USE_WINDOW_PER_ROUTER: Time = 60_000;
/// ... but over no more than this in all.
pub(super) const FIRST_USE_WINDOW_MAX: Time = 3_000_000;
/// Before its slot, a router uses a member for the first time only this long after the first use of another
/// member of the group, in us, and only for reads that have waited for capacity.
pub(super) const FIRST_USE_INTERVAL: Time = 80_000;
/// A member that refused a request as saturated gets nothing for this long, in us.
pub(super) const SATURATED_DELAY: Time = 30_000;
/// A member that was unreachable for at least this long, in us, counts as restarted when it is back.
pub(super) const RESTART_AFTER: Time = 2_000_000;
/// Weight of the newest answer in the mean service times.
pub(super) const LATENCY_WEIGHT: f64 = 0.05;
/// A list changes a role only if it is newer than the last answer about that role by this much, in us.
pub(super) const LISTED_ROLE_LEAD: Time = 6_000_000;
/// After this time, in us, the last writes of single sessions are merged into one bound for all sessions.
pub(super) const SESSION_RETENTION: Time = 30_000_000;
