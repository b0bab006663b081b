//! The one place that ends a client's connection, and says why.
//!
//! A front can only finish with an [`ConnectionClosed`], and only this module makes one. A connection between requests is ended when
//! nothing stands on it that has no answer: neither in its buffer nor in the socket, which the kernel is asked about last.
//!
//! | end | what may cross it | what the client has of that |
//! | --- | --- | --- |
//! | [`close_if_idle`], answered before | a request that comes behind the look | left unread: its client sends it again elsewhere |
//! | [`close_if_idle`], never answered | its first request | the last word, a refusal, stands for the answer |
//! | [`close_after_last_message`], [`close_with_error`], [`refuse`] | what comes behind an error that ends all | that error |
//! | [`close_as_announced`] | a request behind a response that said so | left unread |
//! | [`closed_by_client`] | nothing: the client has gone | |

use super::budget::DescriptorBudget;
use super::frames::BuffersPartial;
use super::socket::{Socket, Unread};
use crate::core::counters::{count, Count};
use futures_util::{FutureExt, SinkExt};
use std::fmt::{Debug, Display};
use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// The log's target for what becomes of clients' connections; `client` is the client's port.
pub const CONNECTION_LOG: &str = "connection";

/// How long a client may take to take in a last word.
const LAST_WORD_TIMEOUT: Duration = Duration::from_millis(500);
/// What is still read after a last word, and for how long. A close with bytes unread resets the connection, and what
/// was said last may be lost with it; a client that sends without end gets the reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
const DRAIN_MAX: usize = 512 * 1024;
/// How long a connection that was ended at rest is kept for its client to end it too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(60);
/// The same where something stands unread on it: closed, it would be reset, and an answer that is still on its way to a slow
/// client would go with it.
const UNREAD_LINGER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a client's connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has ended it, or has said that it wants nothing more.
    ClientLeft,
    /// Reading or writing failed, its client takes in nothing, or a value that has begun to flow cannot be finished.
    Broken,
    /// What came cannot be understood, is too long or did not end in time; an error was the last word.
    Fault,
    /// Nothing was ever asked on it.
    Silent,
    /// Nothing was asked on it for long.
    Idle,
    /// Others lack a permit.
    MadeRoom,
    /// The process ends, or another one takes over.
    Shutdown,
    /// There was no permit, or no front yet or any more; a refusal was the last word.
    Refused,
    /// Its task ended without saying why: a panic, or the end of the process.
    Dropped,
}

impl CloseReason {
    fn counter(self) -> Count {
        match self {
            CloseReason::ClientLeft => Count::closed_by_client,
            CloseReason::Broken => Count::closed_broken,
            CloseReason::Fault => Count::closed_after_fault,
            CloseReason::Silent => Count::closed_silent,
            CloseReason::Idle => Count::closed_idle,
            CloseReason::MadeRoom => Count::closed_to_make_room,
            CloseReason::Shutdown => Count::closed_at_shutdown,
            CloseReason::Refused => Count::closed_refused,
            CloseReason::Dropped => Count::closed_dropped,
        }
    }
}

/// Proof that a connection was ended here.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct ConnectionClosed(CloseReason);

/// Ends a connection between requests, unless something stands on it: then it has to be served on, nothing is done, and there
/// is no [`ConnectionClosed`]. `last_word` is for a client that has had no answer yet. Not cancel safe: dropped half-way, the connection
/// is to be dropped too.
pub async fn close_if_idle<C, M>(
    conn: &mut Framed<Socket, C>,
    reason: CloseReason,
    last_word: Option<M>,
) -> Option<ConnectionClosed>
where
    C: Decoder + Encoder<M> + BuffersPartial,
{
    if holds_part(conn) {
        return None;
    }
    match conn.get_mut().unread() {
        Unread::Bytes => return None,
        Unread::End => return Some(ConnectionClosed(CloseReason::ClientLeft)),
        Unread::Nothing => {}
    }
    if let Some(last_word) = last_word {
        say_last(conn, last_word).await;
    }
    linger(conn.get_mut()).await;
    Some(ConnectionClosed(reason))
}

/// Whether something stands on a connection that has no answer: bytes read, or bytes in the socket.
pub fn has_unanswered_input<C: Decoder + BuffersPartial>(conn: &mut Framed<Socket, C>) -> bool {
    holds_part(conn) || conn.get_mut().unread() == Unread::Bytes
}

fn holds_part<C: Decoder + BuffersPartial>(conn: &Framed<Socket, C>) -> bool {
    !conn.read_buffer().is_empty() || conn.codec().holds_partial()
}

/// Ends a connection on which an error was said that answers all that may still come, so that the client gets to read it.
pub async fn close_after_last_message<C>(conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    let _ = shutdown_and_drain(conn.into_inner()).await;
    ConnectionClosed(reason)
}

/// The same at once: what has come is still read, and nothing is waited for.
fn close_at_once_after_last_message<C>(conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    let mut socket = conn.into_inner();
    let _ = socket.shutdown().now_or_never();
    let (mut rest, mut read) = ([0; 4 * 1024], 0);
    while read < DRAIN_MAX && socket.unread() == Unread::Bytes {
        match socket.read(&mut rest).now_or_never() {
            Some(Ok(n)) if n > 0 => read += n,
            _ => break,
        }
    }
    ConnectionClosed(reason)
}

/// Ends a connection whose last response has said so: what comes behind it is not read.
pub async fn close_as_announced<C>(mut conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    linger(conn.get_mut()).await;
    ConnectionClosed(reason)
}

/// The client has ended its connection.
pub fn closed_by_client<C>(conn: Framed<Socket, C>) -> ConnectionClosed {
    drop(conn);
    ConnectionClosed(CloseReason::ClientLeft)
}

/// Says a last word to a client that may take in nothing.
async fn say_last<C, M>(conn: &mut Framed<Socket, C>, last_word: M)
where
    C: Encoder<M>,
{
    let _ = tokio::time::timeout(LAST_WORD_TIMEOUT, conn.send(last_word)).await;
}

/// Refuses a client: its first message is waited for, for `first_timeout` at most, and the last word answers that. Once `hurried`
/// nothing is waited for any more.
pub async fn refuse<C, M>(
    mut conn: Framed<Socket, C>,
    first_message: impl AsyncFnOnce(&mut Framed<Socket, C>),
    first_timeout: Duration,
    last_word: M,
    hurried: impl Future<Output = ()>,
) -> ConnectionClosed
where
    C: Encoder<M>,
{
    let mut hurried = pin!(hurried);
    let first = tokio::time::timeout(first_timeout, first_message(&mut conn));
    let hurry = tokio::select! {
        biased;
        _ = first => false,
        () = &mut hurried => true,
    };
    say_last(&mut conn, last_word).await;
    if hurry {
        return close_at_once_after_last_message(conn, CloseReason::Refused);
    }
    tokio::select! {
        ended = close_after_last_message(conn, CloseReason::Refused) => ended,
        () = hurried => ConnectionClosed(CloseReason::Refused),
    }
}

/// Ends a connection on which something came that is no request, or finds no memory, with an error as the last word. That waits
/// for its turn, if it has one, and the client is left alone sooner where others lack its permit.
pub async fn close_with_error<C, M>(
    mut conn: Framed<Socket, C>,
    last_word: M,
    turn: Option<Duration>,
    clients: &DescriptorBudget,
) -> ConnectionClosed
where
    C: Encoder<M>,
{
    let now = Instant::now();
    if let Some(turn) = turn {
        tokio::select! {
            () = tokio::time::sleep(turn) => {}
            () = clients.client_eviction_requested(true, now) => {}
        }
    }
    say_last(&mut conn, last_word).await;
    tokio::select! {
        ended = close_after_last_message(conn, CloseReason::Fault) => ended,
        () = clients.client_eviction_requested(true, now) => ConnectionClosed(CloseReason::Fault),
    }
}

/// Nothing is said any more, and nothing read: what comes is the client's to send again.
async fn linger(socket: &mut Socket) {
    let _ = socket.shutdown().await;
    let ended = tokio::time::timeout(LINGER_TIMEOUT, socket.wait_closed()).await;
    if ended.is_err() && socket.unread() == Unread::Bytes {
        let _ = tokio::time::timeout(UNREAD_LINGER_TIMEOUT, socket.wait_closed()).await;
    }
}

/// Ends a stream on which the last word has been said, and reads for a while what still comes.
///
/// # Errors
/// When it cannot be ended.
pub async fn shutdown_and_drain<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S) -> std::io::Result<()> {
    stream.shutdown().await?;
    let (mut rest, mut read) = (vec![0; 16 * 1024], 0);
    let all = async {
        while read < DRAIN_MAX {
            match stream.read(&mut rest).await {
                Ok(n) if n > 0 => read += n,
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    Ok(())
}

/// Tells in the log and in the counters why a connection has ended, also where its task ends without a word.
pub struct CloseReport {
    client: u16,
    told: bool,
}

impl CloseReport {
    /// For the connection of the client with this port.
    pub fn new(client: u16) -> Self {
        CloseReport { client, told: false }
    }

    /// The connection has ended.
    pub fn tell<E: Display>(mut self, ended: &Result<ConnectionClosed, E>) {
        let client = self.client;
        let reason = match ended {
            Ok(ConnectionClosed(reason)) => *reason,
            Err(e) => {
                log::debug!(target: CONNECTION_LOG, client; "broken: {e}");
                CloseReason::Broken
            }
        };
        self.say(reason);
    }

    fn say(&mut self, reason: CloseReason) {
        self.told = true;
        count(Count::connections_closed);
        count(reason.counter());
        log::debug!(target: CONNECTION_LOG, client = self.client, reason:? = reason; "closed");
    }
}

impl Drop for CloseReport {
    fn drop(&mut self) {
        if !self.told {
            self.say(CloseReason::Dropped);
        }
    }
}

#[cfg(test)]
#[path = "client_close_tests.rs"]
mod tests;
