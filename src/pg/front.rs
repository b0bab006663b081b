//! The PostgreSQL front: state shared by its connections, refusals, and the mapping from answers to replies.

use super::codec::{AfterError, Frontend, Reply, ServerCodec, WireError};
use super::session::{Conn, Session};
use crate::class_table::ClassTable;
use crate::clock::Clock;
use crate::core::{Answer, Handle};
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::{ByteBudget, DescriptorBudget, ErrorPacer};
use crate::net::client_close::{self, ConnectionClosed};
use crate::net::frames::INITIAL_BUFFER_SIZE;
use crate::net::listen::{PhaseReceiver, Refusal};
use crate::net::socket::Socket;
use crate::net::startup::ClientFront;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::codec::Framed;

/// SQLSTATEs of refused connections.
const TOO_MANY_CONNECTIONS: &str = "53300";
const CANNOT_CONNECT_NOW: &str = "57P03";
/// How long a client that is to be refused may take to send its startup message.
const REFUSED_STARTUP_TIMEOUT: Duration = Duration::from_millis(200);

/// State shared by all connections of the PostgreSQL front.
pub struct Front {
    /// Handle for submitting requests to the core.
    pub core: Handle,
    /// The current class table, by which requests are parsed.
    pub class_table: watch::Receiver<Arc<ClassTable>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Permits for client connections.
    pub clients: DescriptorBudget,
    /// Budget for the bytes of messages.
    pub bytes: ByteBudget,
    /// Spaces out the replies to malformed messages.
    pub pace: ErrorPacer,
    /// Latest time at which requests may be answered.
    pub answer_limit: AnswerLimit,
}

impl ClientFront for Front {
    type Error = WireError;

    async fn serve(
        self: Arc<Self>,
        waits_since: Option<std::time::Instant>,
        stream: Socket,
        closing: PhaseReceiver,
    ) -> Result<ConnectionClosed, WireError> {
        Session::new(self, waits_since, stream).run(closing).await
    }

    async fn refuse(
        stream: Socket,
        bytes: ByteBudget,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send,
    ) -> Result<ConnectionClosed, WireError> {
        why.count();
        let conn = Framed::with_capacity(stream, ServerCodec::new(bytes), INITIAL_BUFFER_SIZE);
        Ok(client_close::refuse(conn, read_startup, REFUSED_STARTUP_TIMEOUT, last_refusal(why), hurried)
            .await)
    }
}

/// Reads up to the startup message, to which a refusal is the reply. Declines encryption requests.
async fn read_startup(conn: &mut Conn) {
    while let Some(Ok(Frontend::EncryptionRequest)) = conn.next().await {
        if conn.send(Reply::EncryptionDeclined).await.is_err() {
            return;
        }
    }
}

/// The refusal that a client gets before its connection is closed.
pub(super) fn last_refusal(why: Refusal) -> Reply {
    let code = match why {
        Refusal::NoPermit => TOO_MANY_CONNECTIONS,
        Refusal::Starting | Refusal::Silent | Refusal::Ending => CANNOT_CONNECT_NOW,
    };
    error(code, why.text(), AfterError::Close)
}

/// Creates an error reply with a fixed message.
pub(super) fn error(code: &'static str, message: &'static str, after: AfterError) -> Reply {
    Reply::Error { after, code, message: Bytes::from_static(message.as_bytes()), detail: None }
}

/// Maps an answer of the core to a reply; `write` tells whether the request was a write.
pub(super) fn reply(answer: Answer, write: bool) -> Reply {
    let ready = AfterError::ReadyForQuery;
    match answer {
        Answer::Served(value, _) => Reply::Row(value, write),
        // The detail is the number of milliseconds after which the client may retry.
        Answer::Refused(retry_after) => Reply::Error {
            after: ready,
            code: "53300",
            message: Bytes::from_static(b"refused; trying again is harmless"),
            detail: retry_after.map(|t| t.div_ceil(1000)),
        },
        Answer::Taken => error("42710", "the id belongs to a request that is still open", ready),
        Answer::Failed => error("XX000", "failed; it may have had its effect", ready),
        Answer::Late => error("57014", "no answer in time; it may have had its effect", ready),
    }
}
