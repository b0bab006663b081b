//! Pending replies of a connection. They are written in the order of their queries, as many as are ready at a time.

use super::codec::{write_row_prefix, write_row_suffix, Reply, WireError};
use super::front::reply;
use super::session::Conn;
use crate::core::counters::{add, Count};
use crate::core::flow::ValueReader;
use crate::core::{Pending, Value};
use crate::net::client_close::CONNECTION_LOG;
use bytes::{Buf, BytesMut};
use futures_util::{FutureExt, SinkExt};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Sleep;

/// Time limit for a single write to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A reply that has not been written yet.
pub(super) enum PendingReply {
    /// Known already.
    Ready(Reply),
    /// Known already, to be sent after a delay.
    Paced(Pin<Box<Sleep>>, Reply),
    /// Waits for the core's answer; the flag is true for a write.
    Waiting(Pending, bool),
}

impl PendingReply {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Reply> {
        match self {
            PendingReply::Ready(reply) => Poll::Ready(reply.clone()),
            PendingReply::Paced(wait, reply) => wait.as_mut().poll(cx).map(|()| reply.clone()),
            PendingReply::Waiting(pending, write) => {
                let write = *write;
                Pin::new(pending).poll(cx).map(|answer| reply(answer, write))
            }
        }
    }
}

/// The pending replies of a connection, in the order of their queries. Requests that still wait for their answer when
/// this is dropped stay unanswered and are counted.
#[derive(Default)]
pub(super) struct PendingReplies(pub VecDeque<PendingReply>);

impl Drop for PendingReplies {
    fn drop(&mut self) {
        let waiting = self.0.iter().filter(|reply| matches!(reply, PendingReply::Waiting(..))).count();
        if waiting > 0 {
            add(Count::pg_unanswered, waiting as u64);
            log::debug!(target: CONNECTION_LOG, requests = waiting; "ended before their answers");
        }
    }
}

/// Waits for the reply to the oldest query. Replies go out in the order of their queries, so only the first is polled.
/// Cancel safe.
pub(super) async fn next_reply(pending: &mut VecDeque<PendingReply>) -> Reply {
    let reply = poll_fn(|cx| pending.front_mut().map_or(Poll::Pending, |first| first.poll(cx))).await;
    pending.pop_front();
    reply
}

/// A value of at least this size is written directly instead of being copied into the connection's write buffer.
const MIN_UNBUFFERED_LEN: usize = 16 * 1024;

/// Writes a reply and those after it that are ready, then flushes.
pub(super) async fn write_replies(
    conn: &mut Conn,
    reply: Reply,
    pending: &mut VecDeque<PendingReply>,
) -> Result<(), WireError> {
    let mut next = Some(reply);
    while let Some(reply) = next {
        match reply {
            Reply::Row(value, write)
                if value.bytes.as_ref().is_some_and(|b| b.len() >= MIN_UNBUFFERED_LEN) =>
            {
                let (mut head, mut tail) = (std::mem::take(conn.write_buffer_mut()), BytesMut::new());
                write_row_prefix(&value, &mut head);
                write_row_suffix(&value, write, &mut tail);
                let bytes = value.bytes.unwrap_or_default();
                let mut all = (&head[..]).chain(bytes).chain(tail);
                with_timeout(conn.get_mut().write_all_buf(&mut all)).await?;
                head.clear();
                *conn.write_buffer_mut() = head;
            }
            Reply::Row(value, write) if value.stream.is_some() => stream_row(conn, value, write).await?,
            reply => with_timeout(conn.feed(reply)).await?,
        }
        next = if pending.is_empty() { None } else { next_reply(pending).now_or_never() };
    }
    with_timeout(SinkExt::<Reply>::flush(conn)).await
}

/// Limits the time of a write: a client that reads nothing must not hold its permit forever.
async fn with_timeout<E: Into<WireError>>(
    write: impl Future<Output = Result<(), E>>,
) -> Result<(), WireError> {
    match tokio::time::timeout(WRITE_TIMEOUT, write).await {
        Ok(written) => written.map_err(Into::into),
        Err(_) => Err(WireError::Io(ErrorKind::TimedOut.into())),
    }
}

/// Streams a large value to the client as it arrives. The length precedes the value, so a client can tell that a value
/// is truncated. If the stream breaks off, the connection can only be closed.
async fn stream_row(conn: &mut Conn, value: Value, write: bool) -> Result<(), WireError> {
    let Some(stream) = value.stream.clone() else { return Ok(()) };
    let mut head = std::mem::take(conn.write_buffer_mut());
    write_row_prefix(&value, &mut head);
    with_timeout(conn.get_mut().write_all(&head)).await?;
    head.clear();
    *conn.write_buffer_mut() = head;
    let mut reader = ValueReader::new(stream);
    while let Some(mut bytes) = reader.next().await.map_err(std::io::Error::from)? {
        with_timeout(conn.get_mut().write_all_buf(&mut bytes)).await?;
    }
    write_row_suffix(&value, write, conn.write_buffer_mut());
    Ok(())
}
