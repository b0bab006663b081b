//! Pending replies of a connection. They are written in the order of their queries, as many as are ready at a time.
//! While a large value is streamed, further queries are read, and their replies wait behind it.

use super::codec::{write_row_prefix, write_row_suffix, Reply, WireError};
use super::front::reply;
use super::row_stream::{AnswersBehind, RowPart, RowStream};
use super::session::Conn;
use crate::clock::Clock;
use crate::core::counters::{add, Count};
use crate::core::flow::ANSWER_MARGIN;
use crate::core::{Pending, Value};
use crate::interface::Time;
use crate::net::answer_limit::AnswerLimit;
use crate::net::client_close::CONNECTION_LOG;
use crate::net::client_write::{self, WRITE_TIMEOUT};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::time::Sleep;

/// A reply that has not been written yet.
pub(super) enum PendingReply {
    /// Known already.
    Ready(Reply),
    /// Known already, to be sent after a delay.
    Paced(Pin<Box<Sleep>>, Reply),
    /// Waits for the core's answer.
    Waiting(WaitingReply),
    /// A row whose head has been written.
    Streaming(Box<RowStream>),
}

/// A reply that waits for the core's answer.
pub(super) struct WaitingReply {
    /// The request.
    pub pending: Pending,
    /// The request is a write.
    pub write: bool,
    /// The request's deadline.
    pub deadline: Time,
}

/// What is to be written next.
pub(super) enum ReplyPart {
    /// A reply. If its value is streamed, only the head of its row.
    Reply(Reply),
    /// Bytes of the value that is streamed.
    Bytes(Bytes),
    /// The end of the answer whose value was streamed.
    RowEnd(Box<RowStream>),
    /// The value that was streamed is cut off; this many of its bytes were not sent.
    CutOff(usize),
}

impl PendingReply {
    fn poll(&mut self, cx: &mut Context<'_>, behind: Option<AnswersBehind>) -> Poll<PolledReply> {
        let whole = PolledReply::Whole;
        match self {
            PendingReply::Ready(reply) => Poll::Ready(whole(reply.clone())),
            PendingReply::Paced(wait, reply) => wait.as_mut().poll(cx).map(|()| whole(reply.clone())),
            PendingReply::Waiting(WaitingReply { pending, write, .. }) => {
                let write = *write;
                Pin::new(pending).poll(cx).map(|answer| whole(reply(answer, write)))
            }
            PendingReply::Streaming(row) => row.poll_part(cx, behind).map(PolledReply::Part),
        }
    }
}

/// The result of polling a pending reply.
enum PolledReply {
    Whole(Reply),
    Part(RowPart),
}

/// The pending replies of a connection, in the order of their queries. Requests that still wait for their answer when
/// this is dropped stay unanswered and are counted.
pub(super) struct PendingReplies {
    queue: VecDeque<PendingReply>,
    clock: Clock,
    answer_limit: AnswerLimit,
}

impl Drop for PendingReplies {
    fn drop(&mut self) {
        let waiting = self.queue.iter().filter(|reply| matches!(reply, PendingReply::Waiting(_))).count();
        if waiting > 0 {
            add(Count::pg_unanswered, waiting as u64);
            log::debug!(target: CONNECTION_LOG, requests = waiting; "ended before their answers");
        }
    }
}

impl PendingReplies {
    /// Creates an empty queue. All answers are due by `answer_limit`.
    pub fn new(clock: Clock, answer_limit: AnswerLimit) -> Self {
        PendingReplies { queue: VecDeque::new(), clock, answer_limit }
    }

    /// Whether no reply is pending.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether the value of the oldest reply is being streamed.
    pub fn is_streaming(&self) -> bool {
        matches!(self.queue.front(), Some(PendingReply::Streaming(_)))
    }

    /// The number of pending replies.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds the reply to the latest query.
    pub fn push(&mut self, reply: PendingReply) {
        self.queue.push_back(reply);
    }

    /// Waits for the next part of the oldest reply. Replies go out in the order of their queries, so only the first is
    /// polled. Cancel safe.
    pub async fn next(&mut self) -> ReplyPart {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<ReplyPart> {
        let behind = self.answers_behind_row();
        let Some(first) = self.queue.front_mut() else { return Poll::Pending };
        let polled = ready!(first.poll(cx, behind));
        if let PolledReply::Part(RowPart::Bytes(bytes)) = polled {
            return Poll::Ready(ReplyPart::Bytes(bytes));
        }
        let first = self.queue.pop_front();
        Poll::Ready(match (polled, first) {
            (PolledReply::Whole(reply), _) => ReplyPart::Reply(reply),
            (PolledReply::Part(RowPart::End), Some(PendingReply::Streaming(row))) => ReplyPart::RowEnd(row),
            (PolledReply::Part(RowPart::CutOff(missing)), _) => ReplyPart::CutOff(missing),
            (PolledReply::Part(_), _) => return Poll::Pending,
        })
    }

    /// When the answers behind a row that is streamed are due; `None` if none is owed.
    fn answers_behind_row(&self) -> Option<AnswersBehind> {
        if !self.is_streaming() || self.queue.len() == 1 {
            return None;
        }
        let deadlines = self.queue.iter().filter_map(|reply| match reply {
            PendingReply::Waiting(waiting) => Some(waiting.deadline),
            _ => None,
        });
        let limit = self.answer_limit.cap(Time::MAX);
        let due = deadlines.min().unwrap_or(Time::MAX).min(limit);
        let limit = (limit < Time::MAX).then(|| self.clock.instant(limit) - ANSWER_MARGIN);
        Some(AnswersBehind { due: self.clock.instant(due), limit })
    }
}

/// A value of at least this size is written directly instead of being copied into the connection's write buffer.
const MIN_UNBUFFERED_LEN: usize = 16 * 1024;

/// What [`write_replies`] leaves to be done.
pub(super) enum Unwritten {
    /// Nothing.
    Nothing,
    /// Bytes of a value that is streamed.
    Value(Bytes),
    /// The rest of a row whose value is cut off; this many bytes are missing.
    CutOff(usize),
}

/// Writes a part of a reply and those after it that are ready, then flushes. Stops at the bytes of a value that is
/// streamed, and where it is cut off.
///
/// # Errors
/// If the client cannot be written to.
pub(super) async fn write_replies(
    conn: &mut Conn,
    part: ReplyPart,
    pending: &mut PendingReplies,
) -> Result<Unwritten, WireError> {
    let mut next = Some(part);
    while let Some(part) = next {
        match part {
            ReplyPart::Reply(Reply::Row(value, write)) if is_long(&value) => {
                write_row_prefix(&value, conn.write_buffer_mut());
                let mut tail = BytesMut::new();
                write_row_suffix(&value, write, &mut tail);
                client_write::write_after_buffer(conn, value.bytes.unwrap_or_default().chain(tail)).await?;
            }
            ReplyPart::Reply(Reply::Row(value, write)) if value.stream.is_some() => {
                write_row_prefix(&value, conn.write_buffer_mut());
                client_write::flush(conn).await?;
                if let Some(stream) = value.stream.clone() {
                    let row = RowStream::new(value, write, stream);
                    pending.queue.push_front(PendingReply::Streaming(Box::new(row)));
                }
            }
            ReplyPart::Reply(reply) => with_timeout(conn.feed(reply)).await?,
            ReplyPart::Bytes(bytes) => {
                client_write::flush(conn).await?;
                return Ok(Unwritten::Value(bytes));
            }
            ReplyPart::RowEnd(row) => write_row_suffix(&row.value, row.write, conn.write_buffer_mut()),
            ReplyPart::CutOff(missing) => return Ok(Unwritten::CutOff(missing)),
        }
        next = if pending.is_empty() { None } else { pending.next().now_or_never() };
    }
    client_write::flush(conn).await?;
    Ok(Unwritten::Nothing)
}

/// Whether a value is written directly instead of being copied into the connection's write buffer.
fn is_long(value: &Value) -> bool {
    value.bytes.as_ref().is_some_and(|bytes| bytes.len() >= MIN_UNBUFFERED_LEN)
}

/// Limits the time of a write: a client that reads nothing must not hold its permit forever.
pub(super) async fn with_timeout<E: Into<WireError>>(
    write: impl Future<Output = Result<(), E>>,
) -> Result<(), WireError> {
    match tokio::time::timeout(WRITE_TIMEOUT, write).await {
        Ok(written) => written.map_err(Into::into),
        Err(_) => Err(WireError::Io(ErrorKind::TimedOut.into())),
    }
}
