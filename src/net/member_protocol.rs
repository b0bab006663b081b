//! What the peers need of a member's wire, without naming one: open a connection, run a statement, ask for a report.

use crate::core::flow::ChunkSender;
use crate::core::{Value, Work};
use crate::interface::*;
use std::future::Future;
use std::net::SocketAddr;
use tokio::sync::OwnedSemaphorePermit;

/// What came of one statement.
#[derive(Debug)]
pub struct Exchange {
    /// How it ended.
    pub outcome: Outcome,
    /// Value, where served.
    pub value: Option<Value>,
    /// What the answer says of the member.
    pub note: Option<Note>,
    /// The member's report on itself.
    pub report: Option<Report>,
    /// The connection may carry another.
    pub reusable: bool,
    /// Of the value only the start has come; the rest is to be passed on here, by [`MemberConnection::forward_rest`].
    pub value_rest: Option<ChunkSender>,
}

/// One that never got as far as being written.
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

/// What is known of the bytes that a connection will bring next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleInput {
    /// None can be left of an earlier answer: the connection is new, or a fence was answered on it just now.
    Excluded,
    /// Some might be: the wire itself has to tell them from the answer.
    Possible,
}

/// What stands behind an answer by which a statement never ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Nothing, and the connection may carry another statement.
    Reusable,
    /// Nothing but copies of it, and the connection may carry no other statement, or has ended.
    NotReusable,
    /// Something: the statement may have run.
    Contradicted,
}

/// A connection to a member on which statements can be run, one at a time.
pub trait MemberConnection: Send + 'static {
    /// Nothing has come on it since its last answer, not even an end. The socket itself is asked: what the runtime
    /// remembers of it is as old as its last look.
    fn is_quiet(&self) -> bool;

    /// Proves that nothing of an earlier answer is left on it, at the price of one way there and back; false where
    /// something is, or the connection is of no use any more. Runs nothing.
    fn fence(&mut self) -> impl Future<Output = bool> + Send;

    /// Runs one statement, for whose answer the proxy waits so many ms. `written` is set once its last byte may have
    /// reached the member's machine.
    fn run(
        &mut self,
        work: &Work,
        wait: Time,
        guard: StaleInput,
        written: &mut bool,
    ) -> impl Future<Output = Exchange> + Send;

    /// Proves that a whole answer is the last word on its statement, at the price of one way there and back. Runs nothing.
    fn confirm(&mut self) -> impl Future<Output = Confirmation> + Send;

    /// Passes on the rest of a value that has begun, no faster than it is taken; whether the connection may carry
    /// another statement.
    fn forward_rest(&mut self, to: ChunkSender) -> impl Future<Output = bool> + Send;

    /// Asks for the member's report, and tells whether the connection may carry another query; none if the member
    /// does not answer. An answer that cannot be read shows no more than that the member is there.
    fn probe(&mut self, guard: StaleInput) -> impl Future<Output = Option<(Report, bool)>> + Send;
}

/// How connections to members come about.
pub trait MemberProtocol: Clone + Send + Sync + 'static {
    /// What they are.
    type Connection: MemberConnection;

    /// Opens one and waits for its welcome.
    ///
    /// # Errors
    /// When there is none: `Refused`, or `Saturated` where the member says that it holds too many.
    fn open(
        &self,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> impl Future<Output = Result<Self::Connection, Outcome>> + Send;
}
