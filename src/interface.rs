//! The interface of the decision modules: settings, events and actions.
//!
//! Nothing is decided here. All times are in microseconds on the clock of the embedding driver.

use std::sync::Arc;

/// A point in time or a duration, in microseconds.
pub type Time = u64;

/// A position in the log: the time up to which a member has applied every commit.
pub type Position = Time;

/// The driver's id of one client request. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The member list's id of one database server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// The id of a group: a primary and the replicas that hold the same data.
pub type GroupId = u64;

/// The consistency that a request of a class requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// A write, which only the primary can serve.
    Write,
    /// A read that must see every commit made before it arrived.
    Fresh,
    /// A read that must see what its session has written.
    Session,
    /// A read of data no older than this when it is sent.
    Bounded(Time),
    /// A read that any member may serve.
    Any,
}

/// The members that recognize and discard duplicates of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All members.
    All,
    /// The members of the zone that the first attempt went to.
    Zone,
    /// The members of the request's group.
    Group,
}

/// The effect of running a request of a class more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// None: it may run any number of times.
    Safe,
    /// Members discard duplicates by the key that the request carries.
    Keyed {
        /// The members that discard them.
        group: DedupScope,
        /// How long they do, counted from the sending of the first attempt that may have run.
        window: Time,
    },
    /// Not allowed: it must never run twice.
    Unsafe,
}

impl Effect {
    /// The effect of running a request of such a class more than once. Members recognize duplicates by the key alone:
    /// a request without one may run as often as it is sent.
    pub fn of_request(self, has_idempotency_key: bool) -> Effect {
        match self {
            Effect::Keyed { .. } if !has_idempotency_key => Effect::Unsafe,
            effect => effect,
        }
    }
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The consistency that its requests require.
    pub consistency: Consistency,
    /// The effect of repeating its requests.
    pub effect: Effect,
    /// The operators' target latency. Reported on, and no decision goes by it.
    pub aim: Time,
    /// How long a client waits for an answer.
    pub deadline: Time,
    /// The operators' rating of the class. No decision goes by it.
    pub importance: f64,
    /// The operators' rating of answers after the aim. No decision goes by it.
    pub late_value: f64,
}

/// What a member does with a read that requires a position it has not reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WhenBehind {
    /// Serves it from the data it has.
    #[default]
    Answers,
    /// Refuses it without running it.
    Refuses,
    /// Waits up to this long for its log to catch up, then refuses the read without running it.
    Waits(Time),
}

/// What the member list tells about the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ListedRole {
    /// The current primary, a few seconds late.
    Delayed,
    /// The primary at the start of the day.
    AtStart,
    /// Nothing.
    #[default]
    Absent,
}

/// How the router learns of a session's writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SessionTokenSource {
    /// Each session read carries the position of its session's last write.
    #[default]
    Carried,
    /// The router must remember the writes that it has completed.
    Remembered,
}

/// Limits of the platform's rules that bind every driver, as set by the operators.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Rules {
    /// A cold member, one that started recently, has at least this share of its full capacity.
    pub cold_share: f64,
    /// A member has its full capacity no later than this after its start.
    pub warm_after: Time,
    /// A cold member that gets more than this multiple of its present capacity during `fall_window` becomes
    /// overloaded and fails.
    pub fall_multiple: f64,
    /// How long work at a cold member counts against its budget, over all drivers together.
    pub fall_window: Time,
    /// How long a member that drains or is removed may still get requests after the change counts as known to
    /// the driver. A driver that has learned of the change sends nothing more; the grace only covers the time
    /// to learn of it.
    pub drain_grace: Time,
    /// If true, only draining closes a member; one that is listed as removed, or not listed any more, stays
    /// in use.
    pub removal_not_binding: bool,
}

/// The settings of a router.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Number of drivers in service, including this one.
    pub instances: u32,
    /// The zone of this driver.
    pub zone: u32,
    /// Whether clients mark their retries.
    pub marks_retries: bool,
    /// The classes, in the order of the indices that requests use.
    pub classes: Vec<Class>,
    /// Shortest time between two calls of the router.
    pub period: Time,
    /// Whether the router must subscribe to the member list.
    pub subscribe: bool,
    /// What the member list tells about the primary.
    pub list_role: ListedRole,
    /// What members do with a read that requires a position they have not reached.
    pub when_behind: WhenBehind,
    /// How the router learns of a session's writes.
    pub session_marks: SessionTokenSource,
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// Whether members may be probed.
    pub probing: bool,
    /// Whether refused clients get retry-after advice.
    pub retry_after: bool,
    /// Longest retry-after advice that clients honour.
    pub max_retry_after: Time,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Limits of the platform's rules.
    pub rules: Rules,
}

impl Settings {
    /// Checks that a router can work with these settings.
    ///
    /// # Errors
    /// What is wrong with the settings.
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

/// The service state of a member by the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceState {
    /// In service.
    Active,
    /// Finishing its work; nothing new may be sent.
    Draining,
    /// Removed from service.
    Removed,
}

/// An entry of the member list.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The id.
    pub id: MemberId,
    /// The zone.
    pub zone: u32,
    /// The group.
    pub group: GroupId,
    /// The service state.
    pub service_state: ServiceState,
    /// Whether the list names it as the primary.
    pub primary: bool,
    /// Its last start, if it is recent.
    pub up_since: Option<Time>,
}

/// The kind of an update from the member list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The list as stored before a restart, possibly stale.
    Disk,
    /// The complete list.
    Full,
    /// The entries that have changed.
    Changes,
    /// Entries changed by the operators' orders, without an answer from discovery.
    Operator,
    /// A call failed or the subscription broke; no entries.
    Failed,
}

/// A member's role in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows the primary's log.
    Replica,
}

/// What an answer tells about its member, exact at the time of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Note {
    /// The member's position, or the commit of a completed write.
    pub position: Option<Position>,
    /// The member's role.
    pub role: Option<Role>,
}

/// A member's report on itself, as of the report's last refresh.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    /// Its position.
    pub position: Option<Position>,
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// Share of its processor time in use.
    pub busy: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The member answered with an error; the attempt may have run.
    Errored,
    /// Refused because the member was full or draining; it never ran.
    Saturated,
    /// No answer in time; it may have run or may still run.
    Overdue,
    /// The connection failed; it never ran.
    Refused,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Superseded,
    /// Refused for the member's role or position; it never ran.
    Miss,
    /// Served, but possibly from older data than the request must see: it ran, and its answer is not used.
    Stale,
}

impl Outcome {
    /// Whether the member gave any answer.
    pub fn answered(self) -> bool {
        use Outcome::*;
        matches!(self, Completed | Errored | Saturated | Miss | Stale)
    }

    /// Whether the outcome proves that the attempt has not run and will not.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Saturated | Outcome::Refused | Outcome::Superseded | Outcome::Miss)
    }
}

/// An event. Events are passed in the order in which they happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update from the member list.
    List {
        /// The kind of update.
        kind: ListKind,
        /// The entries.
        members: Vec<Member>,
    },
    /// A client's request, to be answered exactly once.
    Request {
        /// The id of the request.
        id: RequestId,
        /// Index of its class.
        class: usize,
        /// The group that it is for.
        group: GroupId,
        /// When the client stops waiting for this try.
        deadline: Time,
        /// The session, for writes and session reads.
        session: Option<Arc<str>>,
        /// The commit of the session's last write, if the read carries it; members see and check it.
        session_position: Option<Position>,
        /// A position that this session read must see and that members cannot check: only a member that has
        /// provably reached it may serve the read.
        proven_position: Option<Position>,
        /// The client has sent this request before. No decision of the router goes by it.
        repeat: bool,
        /// It carries a key by which members discard duplicates.
        has_idempotency_key: bool,
    },
    /// New settings; requests refer to their classes by index. Open requests keep the class that they arrived
    /// with, under its own index.
    Settings(
        /// The settings.
        Box<Settings>,
    ),
    /// The client has disconnected; no answer is owed any more.
    Disconnected {
        /// The request.
        id: RequestId,
    },
    /// A scheduled wake-up is due.
    Wake {
        /// The tag that the router chose.
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
    /// A streamed answer has started; the request now lasts as long as its stream.
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
        /// The outcome.
        outcome: Outcome,
        /// The request is complete, by this outcome or before it.
        complete: bool,
        /// Time since the attempt was sent.
        spent: Time,
        /// What the answer tells about the member.
        note: Option<Note>,
        /// The member's report on itself.
        report: Option<Report>,
    },
}

/// An action for the driver. Actions are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// The member to send it to.
        member: MemberId,
        /// When to abandon the attempt; none: at the client's deadline.
        stop_at: Option<Time>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not done; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Option<Time>,
    },
    /// Final answer: failed; the request may have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Why a request is refused or failed; precedes that answer and is meant for the log and counters only.
    Explain {
        /// The request.
        id: RequestId,
        /// The reason.
        reason: GiveUpReason,
    },
    /// Probe a member.
    Probe {
        /// The member.
        member: MemberId,
    },
    /// Close the driver's idle connections to a member, so that the next request there opens a new one.
    CloseIdle {
        /// The member.
        member: MemberId,
    },
    /// Subscribe to the member list.
    Subscribe,
    /// Deliver [`Event::Wake`] with this tag after this time.
    Wake {
        /// The time from now.
        after: Time,
        /// Returned with the event.
        tag: u64,
    },
    /// Log a rare event for the on-call staff.
    Log(
        /// The text.
        String,
    ),
}

/// Why a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No answer could reach the client before its deadline.
    NoTime,
    /// The time left is too short to do the work.
    InVain,
    /// It may not be sent again, or has used up its attempts.
    NotRepeatable,
    /// Discovery has not confirmed the member list, which may be out of date by the platform's rules.
    ListUnconfirmed,
    /// For as long as an answer could still come in time, no suitable member had capacity, or no member was suitable.
    NoCapacity,
}

/// Why a router could not be created.
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
