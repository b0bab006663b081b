//! The translator's core: requests, attempts and outcomes, in no wire's terms.
//!
//! [`actor`] alone owns the [`crate::Router`]; fronts reach it through a [`Handle`] and get one [`Answer`] for each
//! request. Members stand behind the [`Members`] trait.

pub mod actor;
pub mod bookings;
pub mod counters;
pub mod flow;
pub mod lease;
mod live;
mod member_times;
mod orders;
pub mod repeat_ids;
pub mod repeat_ledger;
pub mod session_ledger;

use crate::class_table::ClassTable;
pub use crate::effective_list::ListedMember;
use crate::effective_list::{SuspensionError, Suspensions};
use crate::interface::*;
use crate::knowledge::{Knowledge, LearnedFacts};
use crate::phases::Progress;
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

/// The log's target for all that becomes of single requests; `RUST_LOG=info,request=debug` shows it.
pub const REQUEST_LOG_TARGET: &str = "request";

/// A decision would have broken a rule, and is not carried out.
pub fn report_violation(id: RequestId, member: Option<MemberId>, violation: Violation) {
    counters::count(counters::Count::violations);
    let member = member.map(|member| member.0);
    log::error!(
        target: REQUEST_LOG_TARGET, id = id.0, member:? = member, violation:? = violation;
        "a decision breaks a rule"
    );
}

/// What a member is to do; the core never looks inside, and the members' side puts it into words.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// In its client's words, which members accept with no change but that of the waiting time.
    Verbatim {
        /// The whole text.
        text: Bytes,
        /// Where in it the waiting time stands, in ms.
        wait: Range<usize>,
    },
    /// An operation of a client that speaks otherwise.
    Operation(Arc<Operation>),
}

/// An operation on one record.
#[derive(Debug, Clone, PartialEq)]
pub struct Operation {
    /// The terms that it was read under.
    pub class_table: Arc<ClassTable>,
    /// The request's id, as members are to know it.
    pub id: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Group that it is for.
    pub group: GroupId,
    /// The position that it must see, in us.
    pub after: Option<Position>,
    /// The client has tried before.
    pub repeat: bool,
    /// The record's key, a [`is_valid_key`].
    pub key: String,
    /// The value of a record to create; none to read it.
    pub value: Option<Bytes>,
}

/// A key as members know it: 1 to 128 visible ASCII characters, no quote and no backslash.
pub fn is_valid_key(key: &str) -> bool {
    (1..=128).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic() && b != b'\'' && b != b'\\')
}

/// A request that a front has taken.
#[derive(Debug, Clone)]
pub struct Request {
    /// The terms that it was read under, and keeps.
    pub class_table: Arc<ClassTable>,
    /// The name that its client gave it, where it did: no two open requests may share one.
    pub name: Option<Bytes>,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Group that it is for.
    pub group: GroupId,
    /// The session, for writes and session reads.
    pub session: Option<Arc<str>>,
    /// The key, where that is not the session's name: by the platform's protocol it names one too.
    pub key_session: Option<Arc<str>>,
    /// The position that it carries as the least it must see, by the members' clock.
    pub after: Option<Position>,
    /// When its client gives up.
    pub deadline: Time,
    /// The client has tried before.
    pub repeat: bool,
    /// What to do.
    pub work: Work,
    /// Whether its client is still there; none where it runs on without one.
    pub client: Option<Weak<dyn ClientConnection>>,
}

/// The other side of a client's connection.
pub trait ClientConnection: Send + Sync + Debug {
    /// Whether it has closed the connection, by a look that costs a call to the kernel.
    fn is_closed(&self) -> bool;
}

/// The one column that a member answers with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Whether the bytes are the value itself rather than its text form.
    pub binary: bool,
    /// Type of the column, as the member names it.
    pub type_id: u32,
    /// The bytes; none stands for no value, or for one that flows.
    pub bytes: Option<Bytes>,
    /// A large value, whose bytes are still to come.
    pub stream: Option<flow::ValueStream>,
    /// Rows: 0 where the key is unknown.
    pub rows: u32,
}

/// The one final answer of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A member's answer, and the position told with it, by the members' clock.
    Served(Value, Option<Position>),
    /// Not done; trying again is harmless.
    Refused(Option<Time>),
    /// Its name belongs to another request that is still open; nothing was sent.
    Taken,
    /// Failed with no promise about its effect.
    Failed,
    /// Failed, as the client's time is up.
    Late,
}

/// Order for one attempt.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// Its number.
    pub number: u32,
    /// What to do.
    pub work: Work,
    /// When to stop waiting.
    pub stop_at: Time,
    /// What may have run may be sent again.
    pub safe: bool,
    /// Whoever asks again gets the same answer, so that it must be had whole before it is passed on.
    pub buffer_answer: bool,
    /// Nothing may be written to a member from then on: the rules that it was decided by no longer hold here.
    pub rules_until: Time,
    /// Nothing may be written to a member from then on: it may not know the request for a repeat.
    pub dedup_until: Time,
    /// Nothing may be written to a member from then on: what is known of its data is too old for a bounded read.
    pub fresh_until: Time,
    /// The request's client, where it has one that may leave.
    pub client: Option<Weak<dyn ClientConnection>>,
    /// When that was surely there.
    pub client_seen: Time,
}

impl Attempt {
    /// What it is known by.
    pub fn key(&self) -> AttemptKey {
        (self.id, self.number)
    }

    /// Whether its client has closed its connection, or this process has.
    pub fn client_gone(&self) -> bool {
        self.client.as_ref().is_some_and(|client| client.upgrade().is_none_or(|client| client.is_closed()))
    }
}

/// How an attempt ended, with all that the member told.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How.
    pub outcome: Outcome,
    /// Value, where served.
    pub value: Option<Value>,
    /// What the answer says of the member.
    pub note: Option<Note>,
    /// The member's report on itself.
    pub report: Option<Report>,
    /// Time since the order.
    pub spent: Time,
}

/// What reaches the core's mailbox. The large ones are the ordinary ones, and a box for each would cost more than the
/// room that the others waste.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Input {
    /// A request and where its answer goes.
    Submit(RequestId, Request, oneshot::Sender<Answer>),
    /// The client of a request has left.
    Disconnected(RequestId),
    /// Nobody waits for a request any more that is to run on all the same once it may have begun.
    Abandoned(RequestId),
    /// An attempt has ended.
    Ended(RequestId, u32, AttemptEnd),
    /// A probe has ended, so long after it was asked for; none: it was not answered.
    Probed(MemberId, Option<Report>, Time),
    /// Word from the member list.
    List(ListKind, Vec<ListedMember>),
}

/// What came of the operators' word on a member.
pub type SuspensionResult = Result<(), SuspensionError>;

/// Another process of this proxy, as far as a session's commits must reach it before the client that wrote is answered.
/// Neither call may take longer than a look at memory.
pub trait CommitExchange: Send {
    /// A session's write went through here.
    fn record_commit(&mut self, session: &str, at: Position);
    /// Those that went through there since the last call.
    fn take_received(&mut self) -> PeerCommits;
}

/// What another process of this proxy has committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerCommits {
    /// Sessions and positions by the members' clock; an empty name stands for all sessions.
    pub commits: Vec<(Arc<str>, Position)>,
    /// That is all of it; else any session may have been written to up to now.
    pub complete: bool,
}

/// Whether a process is ready to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It is.
    Ready,
    /// No member is listed that requests could go to.
    NoUsableMember,
    /// The operators' word may have been lost, and they have not said so.
    SuspensionsUnconfirmed,
}

/// What the operators ask of the core.
pub enum CoreCommand {
    /// Whether this process is ready to serve.
    QueryReadiness(oneshot::Sender<Readiness>),
    /// What was written down before this process began; until then, without a word of the operators', it is not ready.
    RestoreKnowledge(Box<Knowledge>, Time, oneshot::Sender<()>),
    /// The operators have said all that there is to say again; whether that was waited for.
    ConfirmSuspensions(oneshot::Sender<bool>),
    /// Clients are taken from now on, by a process that began at this time.
    StartServing(Time, oneshot::Sender<()>),
    /// How far the way back to full service is.
    QueryStartup(oneshot::Sender<Progress>),
    /// The members as discovery has them.
    QueryMembers(oneshot::Sender<Vec<ListedMember>>),
    /// Take a member out, by its id.
    Suspend(Arc<str>, oneshot::Sender<SuspensionResult>),
    /// Put it back.
    Restore(Arc<str>, oneshot::Sender<SuspensionResult>),
    /// New settings, with the classes by slot, and times for connections.
    ApplySettings(Box<Settings>, SocketTimes, oneshot::Sender<()>),
    /// All that the operators said so far.
    QuerySuspensions(oneshot::Sender<Suspensions>),
    /// That, as it was said to any process of this proxy.
    ReplaceSuspensions(Suspensions, oneshot::Sender<()>),
    /// What was learned so far.
    ExportLearned(oneshot::Sender<LearnedFacts>),
    /// Another process of this proxy lives beside this one, or no longer does.
    SetPeer(Option<Box<dyn CommitExchange>>, oneshot::Sender<()>),
    /// What another process of this proxy has learned.
    ImportLearned(LearnedFacts, oneshot::Sender<()>),
    /// The rules in force hold until then; nothing is sent after that unless told so again.
    ExtendLease(Time),
    /// These members are out for the whole fleet.
    SetFleetSuspensions(BTreeSet<Arc<str>>, oneshot::Sender<()>),
}

/// The members, as the core sees them. No call may wait: the core must always get back to its mailbox, which the
/// other side does wait for.
pub trait Members {
    /// Starts an attempt; false if it cannot even be queued.
    fn start_attempt(&mut self, member: MemberId, attempt: Attempt) -> bool;
    /// Stops waiting for an attempt.
    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32);
    /// Drops an attempt of which nothing has been written yet.
    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32);
    /// Asks a member for its report; false if that cannot even be queued.
    fn probe(&mut self, member: MemberId) -> bool;
    /// Closes idle connections.
    fn close_idle(&mut self, member: MemberId);
    /// Takes in addresses.
    fn update_list(&mut self, kind: ListKind, entries: &[ListedMember]);
    /// Takes new times for connections.
    fn set_socket_times(&mut self, times: SocketTimes);
    /// Asks for the list and its changes; false if that cannot even be queued.
    fn subscribe(&mut self) -> bool;
}

/// The fronts' way into the core.
#[derive(Clone)]
pub struct Handle {
    mailbox: mpsc::Sender<Input>,
    next: Arc<AtomicU64>,
}

impl Handle {
    /// A handle on a mailbox.
    pub fn new(mailbox: mpsc::Sender<Input>) -> Self {
        Handle { mailbox, next: Arc::new(AtomicU64::new(1)) }
    }

    /// Hands in a request. Dropping what comes back tells the core that the client has left.
    pub async fn submit(&self, request: Request) -> Pending {
        let id = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        // Made first: whoever drops this call half-way still hangs up, which the core ignores for unknown ids.
        let pending = Pending { id, answer, mailbox: self.mailbox.clone(), over: false };
        let _ = self.mailbox.send(Input::Submit(id, request, reply)).await;
        pending
    }
}

/// An answer on its way.
pub struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    mailbox: mpsc::Sender<Input>,
    over: bool,
}

impl Pending {
    /// Nobody waits for this any more: it is refused if nothing of it can have run, and runs on otherwise.
    pub fn abandon(&self) {
        self.tell(Input::Abandoned(self.id));
    }

    /// Without waiting for room in the mailbox, which a task can.
    fn tell(&self, input: Input) {
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
            self.over = true;
            answer.unwrap_or(Answer::Failed)
        })
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.over {
            self.tell(Input::Disconnected(self.id));
        }
    }
}
