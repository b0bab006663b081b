//! The interface between member actors and a protocol to members: opening a connection, running a statement,
//! asking for a report.

use crate::core::flow::ChunkSender;
use crate::core::{Value, Work};
use crate::interface::*;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::sync::OwnedSemaphorePermit;

/// The result of one statement.
#[derive(Debug)]
pub struct Exchange {
    /// How the statement ended.
    pub outcome: Outcome,
    /// The value, if one was served.
    pub value: Option<Value>,
    /// What the answer says about the member.
    pub note: Option<Note>,
    /// The member's report on itself.
    pub report: Option<Report>,
    /// Whether the connection can carry another statement.
    pub reusable: bool,
    /// Set if only the start of the value has arrived so far: the channel to pass to
    /// [`MemberConnection::forward_rest`], which sends the rest of the value through it.
    pub value_rest: Option<ChunkSender>,
}

/// The result of a statement that was never written.
impl Default for Exchange {
    fn default() -> Self {
        Exchange {
            outcome: Outcome::Refused,
            value: None,
            note: None,
            report: None,
            reusable: false,
            value_rest: None,
        }
    }
}

/// Whether data of an earlier answer may still arrive on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleInput {
    /// No: the connection is new, or its [fence](MemberConnection::fence) has just been answered.
    Excluded,
    /// Yes: the protocol must distinguish such data from the answer.
    Possible,
}

/// What follows an answer that says that a statement never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Nothing, and the connection can carry another statement.
    Reusable,
    /// Nothing except copies of the answer, but the connection has closed or cannot carry another statement.
    NotReusable,
    /// Something else, so that the statement may have run.
    Contradicted,
}

/// A connection to a member that runs statements, one at a time.
pub trait MemberConnection: Send + 'static {
    /// Whether nothing has arrived since the last answer, neither data nor the end of the connection. This
    /// asks the kernel, because the runtime's view of the socket is only as recent as its last poll.
    fn is_quiet(&self) -> bool;

    /// Proves, in one round trip, that no data of an earlier answer is left. Returns `false` if some is, or
    /// if the connection cannot be used any more. Runs no statement.
    fn fence(&mut self) -> impl Future<Output = bool> + Send;

    /// Runs one statement; the proxy waits `wait` ms for its answer. `written` is set to the current time as soon
    /// as the statement's last byte may have reached the member's machine.
    fn run(
        &mut self,
        work: &Work,
        wait: Time,
        stale: StaleInput,
        written: &mut Option<Instant>,
    ) -> impl Future<Output = Exchange> + Send;

    /// Proves, in one round trip, that a complete answer is the only one to its statement. Runs no statement.
    fn confirm(&mut self) -> impl Future<Output = Confirmation> + Send;

    /// Forwards the rest of a value, no faster than the receiver takes it. Returns whether the connection can
    /// carry another statement.
    fn forward_rest(&mut self, to: ChunkSender) -> impl Future<Output = bool> + Send;

    /// Asks for the member's report; also returns whether the connection can carry another query. Returns
    /// `None` if the member does not answer. An unreadable answer shows only that the member is alive.
    fn probe(&mut self, stale: StaleInput) -> impl Future<Output = Option<(Report, bool)>> + Send;
}

/// Opens connections to members.
pub trait MemberProtocol: Clone + Send + Sync + 'static {
    /// The type of connections.
    type Connection: MemberConnection;

    /// Opens a connection and waits until the member is ready for statements.
    ///
    /// # Errors
    /// Returns `Refused` if the connection cannot be opened, or `Saturated` if the member reports that it has
    /// too many connections.
    fn open(
        &self,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> impl Future<Output = Result<Self::Connection, Outcome>> + Send;
}
