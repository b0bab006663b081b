//! The types that go in and out of the decision module: settings, events and actions.
//!
//! Nothing here decides anything. All times are microseconds on the embedding driver's clock.

use std::sync::Arc;

/// A moment or a span, in microseconds.
pub type Time = u64;

/// A log position: the moment up to which a member has applied every commit.
pub type Position = Time;

/// The driver's name for one client request. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The member list's name for one database server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// One group: a primary and the replicas that hold the same data.
pub type GroupId = u64;

/// What the data behind an answer of a class must show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// A read that must show every commit made before it arrived.
    Fresh,
    /// A read that must show what its session has written.
    Session,
    /// A read of data no older than this when it is sent.
    Bounded(Time),
    /// Any member may answer.
    Any,
}

/// Where the duplicates of a keyed request are discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// At every member.
    All,
    /// At the members of the zone that the first attempt went to.
    Zone,
    /// At the members of the request's own group.
    Group,
}

/// What a repeated attempt of a class may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Safe to run any number of times.
    Safe,
    /// Carries a key, by which duplicates are discarded.
    Keyed {
        /// The members that discard them.
        group: DedupScope,
        /// For how long, counted from the send of the first attempt that may have run.
        window: Time,
    },
    /// Must never run twice.
    Unsafe,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// What its data must show.
    pub consistency: Consistency,
    /// What a repeat may do.
    pub effect: Effect,
    /// An answer within this time has its full worth.
    pub aim: Time,
    /// How long a client waits over all of its tries.
    pub deadline: Time,
    /// What an answer within the aim is worth, against other classes.
    pub importance: f64,
    /// Share of the worth that an answer after the aim still has.
    pub late_value: f64,
}

/// What a member does with a read for which it lags too far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WhenBehind {
    /// It answers from the data it has.
    #[default]
    Answers,
    /// It turns the read away untouched.
    Refuses,
    /// It waits for its log up to this long, then turns the read away untouched.
    Waits(Time),
}

/// How well the member list knows the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ListedRole {
    /// It follows, some seconds late.
    Delayed,
    /// It says what was true when the day began.
    AtStart,
    /// It does not say.
    #[default]
    Absent,
}

/// What tells the driver of a session's writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SessionTokenSource {
    /// Each session read carries the position of its session's last write.
    #[default]
    Carried,
    /// The router must remember the writes that it has seen through.
    Remembered,
}

/// The figures of the rules that bind a driver; the settings of the operators fill them in.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Rules {
    /// A cold member starts with at least this share of its capacity.
    pub cold_share: f64,
    /// And is warm no later than this after its start.
    pub warm_after: Time,
    /// A cold member that is sent more than so many times what it can do, for `fall_span`, falls over.
    pub fall_multiple: f64,
    /// A cold member's work counts against its budget for this long, by all drivers together.
    pub fall_span: Time,
    /// A member that drains or is gone may still get requests for this long after the driver counts as told. One that
    /// has heard of it sends nothing more; the grace is for hearing of it.
    pub drain_grace: Time,
    /// Where true, only a member listed as draining is closed; one called gone, or left out, is not.
    pub removal_not_binding: bool,
}

/// What a router is told at its start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Seed of all randomness.
    pub seed: u64,
    /// Drivers in service, this one included.
    pub instances: u32,
    /// This driver's zone.
    pub zone: u32,
    /// The classes, in the order that requests refer to.
    pub classes: Vec<Class>,
    /// Shortest time between two calls of the router.
    pub period: Time,
    /// True where the list must be asked for.
    pub subscribe: bool,
    /// What the list knows of roles.
    pub list_role: ListedRole,
    /// What members do with a read that they are too far behind for.
    pub when_behind: WhenBehind,
    /// How session tokens reach the router.
    pub session_marks: SessionTokenSource,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Members may be probed.
    pub probing: bool,
    /// Clients get retry-after advice.
    pub retry_after: bool,
    /// Longest advice that a client honours.
    pub max_retry_after: Time,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// The figures of the rules.
    pub rules: Rules,
}

impl Settings {
    /// Whether a router can act on them.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let share = self.rules.cold_share;
        let fits = |c: &Class| c.aim > 0 && c.deadline >= c.aim && c.importance > 0.0;
        for (fine, what) in [
            (!self.classes.is_empty(), "there must be at least one class"),
            (self.classes.iter().all(fits), "an aim must be above 0 and within its deadline"),
            (self.max_attempts > 0 && self.instances > 0, "attempts and instances must be at least 1"),
            (share > 0.0 && share <= 1.0, "the cold share must lie in (0, 1]"),
        ] {
            if !fine {
                return Err(SettingsError(what.to_string()));
            }
        }
        Ok(())
    }
}

/// What the list says of a member's service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// In service.
    Active,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of the member list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The member.
    pub id: MemberId,
    /// Its zone.
    pub zone: u32,
    /// Its group.
    pub group: GroupId,
    /// Its service.
    pub service_state: ServiceState,
    /// Whether the list holds it to be the primary.
    pub primary: bool,
    /// Its latest start, if that was not long ago.
    pub up_since: Option<Time>,
}

/// What kind of word from the member list this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The list as last held before a restart, perhaps stale.
    Disk,
    /// The complete list.
    Full,
    /// Changed entries.
    Changes,
    /// Entries that the operators' word has changed; discovery has said nothing.
    Operator,
    /// A call failed or the subscription broke; no entries.
    Failed,
}

/// A member's role in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes the writes.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// What an answer says of the member that gave it, as of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Note {
    /// Its position, or the commit of a write that went through.
    pub position: Option<Position>,
    /// Its role.
    pub role: Option<Role>,
}

/// A member's report on itself, as old as its last refresh.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Its position then.
    pub position: Option<Position>,
    /// Whether it was the primary then.
    pub primary: Option<bool>,
    /// Share of its processor in use then.
    pub busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The member answered with an error; it may have run.
    Errored,
    /// Turned away unseen, the member being full or draining; it never ran.
    Saturated,
    /// No answer in time; it may have run or may still run.
    Overdue,
    /// No connection; it never ran.
    Refused,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Superseded,
    /// Turned away untouched for the member's role or position; it never ran.
    Miss,
    /// Served, but perhaps from older data than the request must see: it ran, and its answer is not used.
    Stale,
}

impl Outcome {
    /// The member has answered, whatever it said.
    pub fn answered(self) -> bool {
        use Outcome::*;
        matches!(self, Completed | Errored | Saturated | Miss | Stale)
    }

    /// It proves that the attempt has not run, and will not.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Saturated | Outcome::Refused | Outcome::Superseded | Outcome::Miss)
    }
}

/// What happened, in the order in which it happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Word from the member list.
    List {
        /// What kind of word.
        kind: ListKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A client's request, to be answered exactly once.
    Request {
        /// Its name.
        id: RequestId,
        /// Index of its class.
        class: usize,
        /// The group that it is for.
        group: GroupId,
        /// When the client gives up this try.
        deadline: Time,
        /// The session, for writes and session reads.
        session: Option<Arc<str>>,
        /// The commit of the session's last write, where reads carry that; members see it, and can check it.
        session_position: Option<Position>,
        /// What this session read must see beyond what members can check: only a member that has surely reached it will do.
        proven_position: Option<Position>,
        /// The client has tried before.
        repeat: bool,
    },
    /// New settings, with classes by the numbers that requests refer to. What is open keeps its own.
    Settings(
        /// The settings.
        Box<Settings>,
    ),
    /// The client has left; nothing more is owed.
    Disconnected {
        /// The request.
        id: RequestId,
    },
    /// A wake-up asked for has come due.
    Wake {
        /// The value that the router chose.
        tag: u64,
    },
    /// The result of a probe.
    Probed {
        /// The member.
        member: MemberId,
        /// Whether it answered.
        ok: bool,
        /// Its report, if any.
        report: Option<Report>,
    },
    /// A streamed answer has started; the request now lives as long as its stream.
    Started {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        id: RequestId,
        /// Number of the attempt, counted from 0 in order of sending.
        attempt: u32,
        /// How.
        outcome: Outcome,
        /// The request is over, through this outcome or before it.
        complete: bool,
        /// Time since the send.
        spent: Time,
        /// What the answer says of the member.
        note: Option<Note>,
        /// The member's report on itself.
        report: Option<Report>,
    },
}

/// What the driver is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        member: MemberId,
        /// When to abandon the attempt; none means when the client gives up.
        stop_at: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not done, trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Option<Time>,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Why a request is refused or failed now; told before that answer, for the log and the counters alone.
    Explain {
        /// The request.
        id: RequestId,
        /// Why.
        reason: GiveUpReason,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Close the driver's idle connections to a member; the next request there opens a new one.
    CloseIdle {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to the member list.
    Subscribe,
    /// Deliver [`Event::Wake`] with this tag after this time.
    Wake {
        /// How long from now.
        after: Time,
        /// Returned with the event.
        tag: u64,
    },
    /// Tell on-call staff something that happens rarely.
    Log(
        /// The text.
        String,
    ),
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Its client leaves before another answer could come.
    NoTime,
    /// A write of which nothing has reached a member, while its client can still come back.
    HalfTimeOver,
    /// Too little time is left for the work that it is.
    InVain,
    /// It may not be sent again, or has been as often as it may.
    NotRepeatable,
    /// Discovery has not confirmed the list, and the list may count as overruled.
    ListUnconfirmed,
    /// Members that would do have had no room, or none would do.
    NoRoom,
}

/// Why a router could not be built.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError(
    /// What is wrong with the settings.
    pub String,
);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings cannot be acted on: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
