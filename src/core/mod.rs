//! The core of the proxy: requests, attempts and outcomes, independent of any wire protocol.
//!
//! [`actor`] is the only owner of the [`crate::Router`]. Fronts reach it through a [`Handle`] and get one
//! [`Answer`] for each request. The connections to the members are behind the [`Members`] trait.

pub mod actor;
pub mod bookings;
pub mod counters;
pub mod flow;
pub mod lease;
mod list_queue;
mod live;
mod member_times;
mod orders;
mod refused_ids;
pub mod repeat_ids;
pub mod repeat_ledger;
pub mod session_ledger;
pub mod work_time;

use crate::class_table::ClassTable;
pub use crate::effective_list::ListedMember;
use crate::effective_list::{SuspensionError, Suspensions};
use crate::interface::*;
use crate::knowledge::{Knowledge, LearnedFacts};
use crate::phases::StartupProgress;
use crate::policy::begin::AttemptKey;
use crate::policy::invariants::Violation;
use crate::settings::SocketTimes;
use bytes::Bytes;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::future::Future;
use std::ops::Range;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// Log target for everything that happens to single requests; `RUST_LOG=info,request=debug` enables it.
pub const REQUEST_LOG_TARGET: &str = "request";

/// Logs and counts a decision that would have broken a rule. The caller does not carry it out.
pub fn report_violation(id: RequestId, member: Option<MemberId>, violation: Violation) {
    counters::count(counters::Count::violations);
    let member = member.map(|member| member.0);
    log::error!(
        target: REQUEST_LOG_TARGET, id = id.0, member:? = member, violation:? = violation;
        "a decision violates a rule and is not carried out"
    );
}

/// What a member has to do. The core passes it on unchanged; the code on the members' side turns it into
/// statements.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// The client's own statement, which members accept unchanged except for the waiting time.
    Verbatim {
        /// The whole statement.
        text: Bytes,
        /// Byte range of the waiting time in it, in ms.
        wait: Range<usize>,
        /// It carries a key by which members discard duplicates.
        has_idempotency_key: bool,
    },
    /// An operation from a client that uses another protocol than the members.
    Operation(Arc<Operation>),
}

impl Work {
    /// Whether it carries a key by which members discard duplicates.
    pub fn has_idempotency_key(&self) -> bool {
        match self {
            Work::Verbatim { has_idempotency_key, .. } => *has_idempotency_key,
            Work::Operation(operation) => operation.idempotency_key.is_some(),
        }
    }
}

/// A key that all attempts of one request carry, and no other request's. Members run only the first of those that they
/// get within the window of the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencyKey(pub u64);

/// An operation on one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Operation {
    /// The class table that the request was resolved against.
    pub class_table: Arc<ClassTable>,
    /// The request's id as sent to members.
    pub id: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Target group.
    pub group: GroupId,
    /// The position that the answer must reflect, in us.
    pub after: Option<Position>,
    /// The client marked this as a retry.
    pub repeat: bool,
    /// By which members discard duplicates; given for the classes that need it.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The record's key; see [`is_valid_key`].
    pub key: String,
    /// The value of a record to create; `None` for a read.
    pub value: Option<Bytes>,
}

/// Whether members accept this key: 1 to 128 visible ASCII characters, no quote and no backslash.
pub fn is_valid_key(key: &str) -> bool {
    (1..=128).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic() && b != b'\'' && b != b'\\')
}

/// A request that a front has accepted.
#[derive(Debug, Clone)]
pub struct Request {
    /// The class table that the request was resolved against. It stays the same while the request is open.
    pub class_table: Arc<ClassTable>,
    /// The id that its client gave it, if any. No two open requests may share one.
    pub name: Option<Bytes>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Target group.
    pub group: GroupId,
    /// The session, for writes and session reads.
    pub session: Option<Arc<str>>,
    /// The session named by the record's key, if it differs from `session`: in the platform's protocol a key
    /// names one.
    pub key_session: Option<Arc<str>>,
    /// The lowest position that the answer must reflect, as sent by the client, by the members' clock.
    pub after: Option<Position>,
    /// When the client gives up.
    pub deadline: Time,
    /// The client marked this as a retry.
    pub repeat: bool,
    /// What the member has to do.
    pub work: Work,
    /// The client; `None` if the request continues without one.
    pub client: Option<RequestClient>,
}

/// The client of a request.
#[derive(Debug, Clone)]
pub struct RequestClient {
    /// Used to check whether the client is still connected.
    pub connection: Weak<dyn ClientConnection>,
    /// The last time at which it was known to be connected: the earliest at which its request can have arrived.
    pub seen_at: Time,
}

/// A client's connection.
pub trait ClientConnection: Send + Sync + Debug {
    /// Whether the client has closed the connection. Each call makes a system call.
    fn is_closed(&self) -> bool;
}

/// The single column of a member's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Whether the bytes are in binary form rather than in text form.
    pub binary: bool,
    /// Type id of the column, as the member sends it.
    pub type_id: u32,
    /// The bytes; `None` if there is no value or if it is streamed.
    pub bytes: Option<Bytes>,
    /// A large value whose bytes are still arriving.
    pub stream: Option<flow::ValueStream>,
    /// Number of rows: 0 if the key does not exist.
    pub rows: u32,
}

/// The final answer to a request; each request gets exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A member's answer, and the position that came with it, by the members' clock.
    Served(Value, Option<Position>),
    /// Not done; retrying is harmless. With the time after which the client should retry, if known.
    Refused(Option<Time>),
    /// The client's id for the request belongs to another request that is still open; nothing was sent.
    Taken,
    /// Failed; whether it had an effect is unknown.
    Failed,
    /// Failed because the client's deadline has passed; whether it had an effect is unknown.
    Late,
}

/// A command to run one attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt within the request.
    pub number: u32,
    /// What the member has to do.
    pub work: Work,
    /// When to stop waiting for the answer.
    pub stop_at: Time,
    /// The request may be sent again even if it may have run.
    pub safe: bool,
    /// The value must be read to its end before any of it is passed on, because a client that retries must
    /// get the same answer.
    pub buffer_answer: bool,
    /// Nothing may be written to a member after this time, because the rules behind the decision then no
    /// longer apply in this process.
    pub rules_until: Time,
    /// Nothing may be written to a member after this time, because the member may then no longer detect a
    /// repeat.
    pub dedup_until: Time,
    /// Nothing may be written to a member after this time, because the data known to be on the member is then
    /// too old for a bounded read.
    pub fresh_until: Time,
    /// The request's client, if it has one that may disconnect.
    pub client: Option<Weak<dyn ClientConnection>>,
    /// The last time at which the client was known to be connected.
    pub client_seen: Time,
}

impl Attempt {
    /// Identifies the attempt.
    pub fn key(&self) -> AttemptKey {
        (self.id, self.number)
    }

    /// Whether the client, or this process, has closed the client's connection.
    pub fn client_gone(&self) -> bool {
        self.client.as_ref().is_some_and(|client| client.upgrade().is_none_or(|client| client.is_closed()))
    }
}

/// How an attempt ended, with everything that the member reported.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The value, if the attempt was served.
    pub value: Option<Value>,
    /// The member's state as reported with the answer.
    pub note: Option<Note>,
    /// The member's report on itself.
    pub report: Option<Report>,
    /// Time since the attempt was started.
    pub spent: Time,
}

/// Messages in the core's mailbox. The large variants are the most frequent ones: boxing them would cost more
/// than the space that the small ones waste.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Input {
    /// A new request, and the channel for its answer.
    Submit(RequestId, Request, oneshot::Sender<Answer>),
    /// The client of a request has disconnected.
    Disconnected(RequestId),
    /// Nobody waits for the answer any more. Unlike after a disconnect, the answer of an attempt in flight is
    /// still wanted.
    Abandoned(RequestId),
    /// An attempt has ended.
    Ended(RequestId, u32, AttemptEnd),
    /// A probe has ended: the report, or `None` if the member did not answer, and the time since the probe
    /// was requested.
    Probed(MemberId, Option<Report>, Time),
    /// A member list, or a part of one; no entries if a call to discovery has failed.
    List(ListKind, Vec<ListedMember>),
}

/// Result of suspending or restoring a member.
pub type SuspensionResult = Result<(), SuspensionError>;

/// The exchange of commits with another process of this proxy. A session's commit must reach that process
/// before the client that wrote is answered, so neither method may do more than access memory.
pub trait CommitExchange: Send {
    /// Records a write of a session that was committed through this process.
    fn record_commit(&mut self, session: &str, at: Position);
    /// Returns what was committed through the other process since the last call.
    fn take_received(&mut self) -> PeerCommits;
}

/// Commits through another process of this proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCommits {
    /// Sessions and positions by the members' clock; an empty name stands for all sessions.
    pub commits: Vec<(Arc<str>, Position)>,
    /// Whether these are all commits; if not, any session may have written at any time up to now.
    pub complete: bool,
}

/// Whether a process is ready to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Ready.
    Ready,
    /// No listed member can be sent requests.
    NoUsableMember,
    /// Suspensions made by the operators may have been lost, and the operators have not confirmed them yet.
    SuspensionsUnconfirmed,
}

/// The members as listed by discovery, sorted by name, with their starts by the members' clock.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedMembers {
    /// Revision of the list, which changes with its entries; 0 before the first list.
    pub revision: u64,
    /// The entries.
    pub members: Vec<ListedMember>,
}

/// Control commands to the core, which do not go through the mailbox of requests.
pub enum CoreCommand {
    /// Returns whether this process is ready to serve.
    QueryReadiness(oneshot::Sender<Readiness>),
    /// Loads what was stored before this process started. Until the given time, or a confirmation by the
    /// operators, the process does not count as ready.
    RestoreKnowledge(Box<Knowledge>, Time, oneshot::Sender<()>),
    /// The operators have repeated every suspension that may have been lost. Returns whether a confirmation
    /// was pending.
    ConfirmSuspensions(oneshot::Sender<bool>),
    /// Clients are accepted from now on. With the time at which the process started.
    StartServing(Time, oneshot::Sender<()>),
    /// Returns how far the startup has come.
    QueryStartup(oneshot::Sender<StartupProgress>),
    /// Returns the members as listed by discovery, unless the list is still at this revision.
    QueryMembers(u64, oneshot::Sender<Option<ListedMembers>>),
    /// Suspends a member, by its id.
    Suspend(Arc<str>, oneshot::Sender<SuspensionResult>),
    /// Restores a suspended member.
    Restore(Arc<str>, oneshot::Sender<SuspensionResult>),
    /// Applies new settings, with the classes in the order of their slots, and new times for connections.
    ApplySettings(Box<Settings>, SocketTimes, oneshot::Sender<()>),
    /// Returns all suspensions made by the operators.
    QuerySuspensions(oneshot::Sender<Suspensions>),
    /// Replaces all suspensions, including those made at another process of this proxy.
    ReplaceSuspensions(Suspensions, oneshot::Sender<()>),
    /// Returns what this process has learned.
    ExportLearned(oneshot::Sender<LearnedFacts>),
    /// Connects to another process of this proxy, or disconnects from it.
    SetPeer(Option<Box<dyn CommitExchange>>, oneshot::Sender<()>),
    /// Takes in what another process of this proxy has learned.
    ImportLearned(LearnedFacts, oneshot::Sender<()>),
    /// The rules in force are valid until this time; nothing is sent after it unless the lease is extended.
    ExtendLease(Time),
    /// Replaces the set of members that are suspended in the whole fleet.
    SetFleetSuspensions(BTreeSet<Arc<str>>, oneshot::Sender<()>),
}

/// The members' side, as the core sees it. No method may block: other tasks wait for room in the core's
/// mailbox, so the core must always get back to reading it.
pub trait Members {
    /// Starts an attempt; false if it cannot be queued.
    fn start_attempt(&mut self, member: MemberId, attempt: Attempt) -> bool;
    /// Stops waiting for an attempt's answer.
    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32);
    /// Drops an attempt if nothing of it has been written yet.
    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32);
    /// Requests a member's report; false if the probe cannot be queued.
    fn probe(&mut self, member: MemberId) -> bool;
    /// Closes idle connections to a member.
    fn close_idle(&mut self, member: MemberId);
    /// Takes in the members' addresses.
    fn update_list(&mut self, kind: ListKind, entries: &[ListedMember]);
    /// Sets new times for connections.
    fn set_socket_times(&mut self, times: SocketTimes);
    /// Requests the member list and its changes; false if that cannot be queued.
    fn subscribe(&mut self) -> bool;
}

/// The fronts' handle to the core.
#[derive(Clone)]
pub struct Handle {
    mailbox: mpsc::Sender<Input>,
    next_id: Arc<AtomicU64>,
}

impl Handle {
    /// Returns a handle that sends to this mailbox.
    pub fn new(mailbox: mpsc::Sender<Input>) -> Self {
        Handle { mailbox, next_id: Arc::new(AtomicU64::new(1)) }
    }

    /// Submits a request. Dropping the returned future tells the core that the client has disconnected.
    pub async fn submit(&self, request: Request) -> Pending {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        // Created before the send: if this call is cancelled half-way, dropping `pending` still reports a
        // disconnect, which the core ignores for unknown ids.
        let pending = Pending { id, answer, mailbox: self.mailbox.clone(), finished: false };
        let _ = self.mailbox.send(Input::Submit(id, request, reply)).await;
        pending
    }
}

/// An answer that has not arrived yet.
pub struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    mailbox: mpsc::Sender<Input>,
    finished: bool,
}

impl Pending {
    /// Gives up waiting: no other attempt begins. The request is refused if nothing of it can have run; otherwise its
    /// answer is that of the attempt in flight, if there is one.
    pub fn abandon(&self) {
        self.notify_core(Input::Abandoned(self.id));
    }

    /// Sends without waiting; if the mailbox is full, a spawned task waits for room.
    fn notify_core(&self, input: Input) {
        let mailbox = self.mailbox.clone();
        if let (Err(mpsc::error::TrySendError::Full(input)), Ok(runtime)) =
            (mailbox.try_send(input), tokio::runtime::Handle::try_current())
        {
            runtime.spawn(async move { mailbox.send(input).await });
        }
    }
}

impl Future for Pending {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        Pin::new(&mut self.answer).poll(cx).map(|answer| {
            self.finished = true;
            answer.unwrap_or(Answer::Failed)
        })
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.finished {
            self.notify_core(Input::Disconnected(self.id));
        }
    }
}
