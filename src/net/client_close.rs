//! Closes clients' connections and records why. No other module closes one.
//!
//! A front can finish only with a [`ConnectionClosed`], which only this module creates. A connection between
//! requests is closed only if it holds no unanswered input, neither in its read buffer nor in the socket; the
//! kernel is asked right before. Even so a request can arrive while the connection is being closed:
//!
//! | close | input that can still arrive | what happens to it |
//! | --- | --- | --- |
//! | [`close_if_idle`], answered before | a request after the check | left unread; the client sends it again |
//! | [`close_if_idle`], never answered | its first request | the final message, a refusal, is its answer |
//! | [`close_after_last_message`], [`close_with_error`], [`refuse`] | input after an error | the error is its answer |
//! | [`close_as_announced`] | a request after the response that announced the close | left unread |
//! | [`closed_by_client`] | none, as the client has gone | |

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

/// Log target for the life of clients' connections; the field `client` is the client's port.
pub const CONNECTION_LOG: &str = "connection";

/// How long a client may take to accept the final message.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// For how long and how many bytes input is still read after the final message. Closing a socket with unread bytes
/// resets the connection and may discard that message; a client that sends endlessly gets the reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_DRAINED_BYTES: usize = 512 * 1024;
/// How long a connection that was closed while idle is kept, so that its client can close it too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(60);
/// The same if unread bytes are in the socket: dropping it would reset the connection and discard an answer that is
/// still on its way to a slow client.
const UNREAD_LINGER_TIMEOUT: Duration = Duration::from_millis(600);

/// Why a client's connection closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or announced that it sends no more requests.
    ClientLeft,
    /// Reading or writing failed, the client accepts no data, or a value whose transfer has begun cannot be
    /// completed.
    Broken,
    /// The input is invalid, too long or was not completed in time; an error was the final message.
    Fault,
    /// No request ever arrived.
    Silent,
    /// No request arrived for a long time.
    Idle,
    /// Its permit was needed for another connection.
    MadeRoom,
    /// The process is shutting down, or another process takes over.
    Shutdown,
    /// There was no permit, or the front was not ready or has stopped; a refusal was the final message.
    Refused,
    /// The task ended without a reason: by a panic, or with the process.
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

/// Proof that a connection was closed by this module.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct ConnectionClosed(CloseReason);

/// Closes a connection between requests. If it holds unanswered input, does nothing and returns `None`: the input
/// has to be served. `last_message` is sent to a client that has had no answer yet. Not cancel safe: when the
/// future is dropped, the connection has to be dropped too.
pub async fn close_if_idle<C, M>(
    conn: &mut Framed<Socket, C>,
    reason: CloseReason,
    last_message: Option<M>,
) -> Option<ConnectionClosed>
where
    C: Decoder + Encoder<M> + BuffersPartial,
{
    if has_buffered_input(conn) {
        return None;
    }
    match conn.get_mut().unread() {
        Unread::Bytes => return None,
        Unread::End => return Some(ConnectionClosed(CloseReason::ClientLeft)),
        Unread::Nothing => {}
    }
    if let Some(last_message) = last_message {
        send_last(conn, last_message).await;
    }
    linger(conn.get_mut()).await;
    Some(ConnectionClosed(reason))
}

/// Whether the connection holds unanswered input, in its read buffer or in the socket.
pub fn has_unanswered_input<C: Decoder + BuffersPartial>(conn: &mut Framed<Socket, C>) -> bool {
    has_buffered_input(conn) || conn.get_mut().unread() == Unread::Bytes
}

fn has_buffered_input<C: Decoder + BuffersPartial>(conn: &Framed<Socket, C>) -> bool {
    !conn.read_buffer().is_empty() || conn.codec().holds_partial()
}

/// Closes a connection after a fatal error message, which answers all further input. That input is read for a
/// while, so that the error reaches the client.
pub async fn close_after_last_message<C>(conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    let _ = shutdown_and_drain(conn.into_inner()).await;
    ConnectionClosed(reason)
}

/// Like [`close_after_last_message`], but reads only what has arrived already and waits for nothing.
fn close_at_once_after_last_message<C>(conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    let mut socket = conn.into_inner();
    let _ = socket.shutdown().now_or_never();
    let (mut rest, mut read) = ([0; 4 * 1024], 0);
    while read < MAX_DRAINED_BYTES && socket.unread() == Unread::Bytes {
        match socket.read(&mut rest).now_or_never() {
            Some(Ok(n)) if n > 0 => read += n,
            _ => break,
        }
    }
    ConnectionClosed(reason)
}

/// Closes a connection whose last response announced it; further input is not read.
pub async fn close_as_announced<C>(mut conn: Framed<Socket, C>, reason: CloseReason) -> ConnectionClosed {
    linger(conn.get_mut()).await;
    ConnectionClosed(reason)
}

/// Drops a connection that its client has closed.
pub fn closed_by_client<C>(conn: Framed<Socket, C>) -> ConnectionClosed {
    drop(conn);
    ConnectionClosed(CloseReason::ClientLeft)
}

/// Sends the final message to a client, which may not be reading.
async fn send_last<C, M>(conn: &mut Framed<Socket, C>, last_message: M)
where
    C: Encoder<M>,
{
    let _ = tokio::time::timeout(LAST_MESSAGE_TIMEOUT, conn.send(last_message)).await;
}

/// Refuses a client: waits for its first message for up to `first_timeout` and answers it with the final message.
/// Once `finish_now` completes, nothing is waited for any more.
pub async fn refuse<C, M>(
    mut conn: Framed<Socket, C>,
    first_message: impl AsyncFnOnce(&mut Framed<Socket, C>),
    first_timeout: Duration,
    last_message: M,
    finish_now: impl Future<Output = ()>,
) -> ConnectionClosed
where
    C: Encoder<M>,
{
    let mut finish_now = pin!(finish_now);
    let first = tokio::time::timeout(first_timeout, first_message(&mut conn));
    let immediate = tokio::select! {
        biased;
        _ = first => false,
        () = &mut finish_now => true,
    };
    send_last(&mut conn, last_message).await;
    if immediate {
        return close_at_once_after_last_message(conn, CloseReason::Refused);
    }
    tokio::select! {
        ended = close_after_last_message(conn, CloseReason::Refused) => ended,
        () = finish_now => ConnectionClosed(CloseReason::Refused),
    }
}

/// Closes a connection with an error as the final message: after invalid input, or when there is no memory for a
/// message. The error is sent after `delay`, if there is one. Both the delay and the reading of further input end
/// early when the permit is needed for another connection.
pub async fn close_with_error<C, M>(
    mut conn: Framed<Socket, C>,
    last_message: M,
    delay: Option<Duration>,
    clients: &DescriptorBudget,
) -> ConnectionClosed
where
    C: Encoder<M>,
{
    let now = Instant::now();
    if let Some(delay) = delay {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = clients.client_eviction_requested(true, now) => {}
        }
    }
    send_last(&mut conn, last_message).await;
    tokio::select! {
        ended = close_after_last_message(conn, CloseReason::Fault) => ended,
        () = clients.client_eviction_requested(true, now) => ConnectionClosed(CloseReason::Fault),
    }
}

/// Stops writing and waits for the client to close. Input is left unread, so that the client sends it again
/// elsewhere.
async fn linger(socket: &mut Socket) {
    let _ = socket.shutdown().await;
    let ended = tokio::time::timeout(LINGER_TIMEOUT, socket.wait_closed()).await;
    if ended.is_err() && socket.unread() == Unread::Bytes {
        let _ = tokio::time::timeout(UNREAD_LINGER_TIMEOUT, socket.wait_closed()).await;
    }
}

/// Shuts down a stream after the final message and reads further input for a while.
///
/// # Errors
/// When the stream cannot be shut down.
pub async fn shutdown_and_drain<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S) -> std::io::Result<()> {
    stream.shutdown().await?;
    let (mut rest, mut read) = (vec![0; 16 * 1024], 0);
    let all = async {
        while read < MAX_DRAINED_BYTES {
            match stream.read(&mut rest).await {
                Ok(n) if n > 0 => read += n,
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    Ok(())
}

/// Records in the log and the counters why a connection closed, also when its task ends without a reason.
pub struct CloseReport {
    client: u16,
    reported: bool,
}

impl CloseReport {
    /// For the connection of the client with this port.
    pub fn new(client: u16) -> Self {
        CloseReport { client, reported: false }
    }

    /// Records the outcome of the connection.
    pub fn report<E: Display>(mut self, ended: &Result<ConnectionClosed, E>) {
        let client = self.client;
        let reason = match ended {
            Ok(ConnectionClosed(reason)) => *reason,
            Err(e) => {
                log::debug!(target: CONNECTION_LOG, client; "broken: {e}");
                CloseReason::Broken
            }
        };
        self.record(reason);
    }

    fn record(&mut self, reason: CloseReason) {
        self.reported = true;
        count(Count::connections_closed);
        count(reason.counter());
        log::debug!(target: CONNECTION_LOG, client = self.client, reason:? = reason; "closed");
    }
}

impl Drop for CloseReport {
    fn drop(&mut self) {
        if !self.reported {
            self.record(CloseReason::Dropped);
        }
    }
}

#[cfg(test)]
#[path = "client_close_tests.rs"]
mod tests;
