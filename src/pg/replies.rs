//! The replies that are owed on a connection, and how they are written: in the order of their queries, all that are due in one go.

use super::codec::{row_head, row_tail, Reply, WireError};
use super::front::reply;
use super::session::Conn;
use crate::core::counters::{add, Count};
use crate::core::flow::Chunk;
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

/// How long a client may take to take in an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A reply that is owed on a connection.
pub(super) enum PendingReply {
    Ready(Reply),
    Paced(Pin<Box<Sleep>>, Reply),
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

/// The replies that are owed on a connection, in the order of their queries. A request whose answer has not come when this
/// ends goes without one, and is counted.
#[derive(Default)]
pub(super) struct OwedReplies(pub VecDeque<PendingReply>);

impl Drop for OwedReplies {
    fn drop(&mut self) {
        let waiting = self.0.iter().filter(|reply| matches!(reply, PendingReply::Waiting(..))).count();
        if waiting > 0 {
            add(Count::pg_unanswered, waiting as u64);
            log::debug!(target: CONNECTION_LOG, requests = waiting; "ended before their answers");
        }
    }
}

/// The reply that is due first, once there is one. Replies go out in the order of their queries, so that only the
/// first is asked for; nothing is lost where this is dropped.
pub(super) async fn due(owed: &mut VecDeque<PendingReply>) -> Reply {
    let reply = poll_fn(|cx| owed.front_mut().map_or(Poll::Pending, |first| first.poll(cx))).await;
    owed.pop_front();
    reply
}

/// A value from this size on is written from where it lies, not copied into the connection's buffer first.
const MIN_UNBUFFERED_LEN: usize = 16 * 1024;

/// Writes a reply and those behind it that are due already, in one go.
pub(super) async fn put(
    conn: &mut Conn,
    reply: Reply,
    owed: &mut VecDeque<PendingReply>,
) -> Result<(), WireError> {
    let mut next = Some(reply);
    while let Some(reply) = next {
        match reply {
            Reply::Row(value, write)
                if value.bytes.as_ref().is_some_and(|b| b.len() >= MIN_UNBUFFERED_LEN) =>
            {
                let (mut head, mut tail) = (std::mem::take(conn.write_buffer_mut()), BytesMut::new());
                row_head(&value, &mut head);
                row_tail(&value, write, &mut tail);
                let bytes = value.bytes.unwrap_or_default();
                let mut all = (&head[..]).chain(bytes).chain(tail);
                in_time(conn.get_mut().write_all_buf(&mut all)).await?;
                head.clear();
                *conn.write_buffer_mut() = head;
            }
            Reply::Row(value, write) if value.stream.is_some() => flow(conn, value, write).await?,
            reply => in_time(conn.feed(reply)).await?,
        }
        next = if owed.is_empty() { None } else { due(owed).now_or_never() };
    }
    in_time(SinkExt::<Reply>::flush(conn)).await
}

/// A client that takes in nothing for so long must not hold its permit for ever.
async fn in_time<E: Into<WireError>>(write: impl Future<Output = Result<(), E>>) -> Result<(), WireError> {
    match tokio::time::timeout(ANSWER_TIMEOUT, write).await {
        Ok(written) => written.map_err(Into::into),
        Err(_) => Err(WireError::Io(ErrorKind::TimedOut.into())),
    }
}

/// Passes on a large value as it comes. Its length stands before it, so that a client can tell when it breaks off:
/// all that is left then is to end the connection.
async fn flow(conn: &mut Conn, value: Value, write: bool) -> Result<(), WireError> {
    let Some(flow) = &value.stream else { return Ok(()) };
    let (mut head, mut left) = (std::mem::take(conn.write_buffer_mut()), flow.length());
    row_head(&value, &mut head);
    in_time(conn.get_mut().write_all(&head)).await?;
    head.clear();
    *conn.write_buffer_mut() = head;
    loop {
        match flow.next().await {
            Some(Chunk::Bytes(mut bytes)) if bytes.len() <= left => {
                left -= bytes.len();
                in_time(conn.get_mut().write_all_buf(&mut bytes)).await?;
            }
            Some(Chunk::End) if left == 0 => break,
            _ => return Err(WireError::Io(ErrorKind::UnexpectedEof.into())),
        }
    }
    row_tail(&value, write, conn.write_buffer_mut());
    Ok(())
}
