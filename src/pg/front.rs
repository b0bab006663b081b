//! The platform's front, kept thin: what every connection needs, how a client is refused, and answers in the wire's words.

use super::codec::{After, Frontend, Reply, ServerCodec, WireError};
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

/// SQLSTATEs of refusals.
const TOO_MANY_CONNECTIONS: &str = "53300";
const CANNOT_CONNECT_NOW: &str = "57P03";
/// How long the startup of a client that is refused is waited for.
const REFUSED_STARTUP_TIMEOUT: Duration = Duration::from_millis(200);

/// What every connection needs.
pub struct Front {
    /// Way into the core.
    pub core: Handle,
    /// The terms under which requests are read.
    pub class_table: watch::Receiver<Arc<ClassTable>>,
    /// The clock.
    pub clock: Clock,
    /// Permits for clients' connections.
    pub clients: DescriptorBudget,
    /// Bytes of messages.
    pub bytes: ByteBudget,
    /// When bad messages are answered.
    pub pace: ErrorPacer,
    /// Until when requests may be answered.
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
        Ok(client_close::refuse(conn, startup, REFUSED_STARTUP_TIMEOUT, last_refusal(why), hurried).await)
    }
}

/// Reads up to the startup, which a refusal answers; a request for encryption is turned down.
async fn startup(conn: &mut Conn) {
    while let Some(Ok(Frontend::Encrypt)) = conn.next().await {
        if conn.send(Reply::NoEncryption).await.is_err() {
            return;
        }
    }
}

/// A refusal behind which the connection ends.
pub(super) fn last_refusal(why: Refusal) -> Reply {
    let code = match why {
        Refusal::NoPermit => TOO_MANY_CONNECTIONS,
        Refusal::Starting | Refusal::Silent | Refusal::Ending => CANNOT_CONNECT_NOW,
    };
    error(code, why.text(), After::End)
}

/// An error with a text of ours.
pub(super) fn error(code: &'static str, message: &'static str, after: After) -> Reply {
    Reply::Error { after, code, message: Bytes::from_static(message.as_bytes()), detail: None }
}

/// An answer in the wire's words; whether it came of a write.
pub(super) fn reply(answer: Answer, write: bool) -> Reply {
    let ready = After::Ready;
    match answer {
        Answer::Served(value, _) => Reply::Row(value, write),
        // The number in the detail says when to come back, in milliseconds.
        Answer::Refused(come_back) => Reply::Error {
            after: ready,
            code: "53300",
            message: Bytes::from_static(b"refused; trying again is harmless"),
            detail: come_back.map(|t| t.div_ceil(1000)),
        },
        Answer::Taken => error("42710", "the id belongs to a request that is still open", ready),
        Answer::Failed => error("XX000", "failed; it may have had its effect", ready),
        Answer::Late => error("57014", "no answer in time; it may have had its effect", ready),
    }
}
