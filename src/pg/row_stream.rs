//! A row whose value is streamed to the client as it arrives.
//!
//! | state | ends with |
//! | --- | --- |
//! | the value is arriving | its last byte: complete; the member, or the answers behind it: cut off |
//! | cut off, answers are owed behind it | padding up to the length that the row has announced, and an ErrorResponse |
//! | cut off, nothing is owed behind it | the end of the connection within the row |
//!
//! Either end tells the client that the value is not whole. The padding keeps the connection in step with the protocol,
//! so that the answers behind it can be sent: their requests may have run, and must not run again.

use super::codec::{AfterError, Reply, WireError};
use super::front::error;
use super::replies::with_timeout;
use super::session::Conn;
use crate::core::counters::{count, Count};
use crate::core::flow::{give_up_at, ValueReader, ValueStream};
use crate::core::Value;
use crate::net::client_write;
use bytes::Bytes;
use futures_util::SinkExt;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// What fills up a row: a digit, so that it is a character of every text format.
static PADDING: [u8; 16 * 1024] = [b'0'; 16 * 1024];

/// The next part of a row whose head has been written.
pub(super) enum RowPart {
    /// The next bytes of the value.
    Bytes(Bytes),
    /// The value is complete.
    End,
    /// The value was cut off; this many bytes of it were not sent.
    CutOff(usize),
}

/// When the answers behind a row are due.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswersBehind {
    /// The earliest deadline, at which a value that is silent is given up.
    pub due: Instant,
    /// The time at which any value is given up, as the process ends soon after.
    pub limit: Option<Instant>,
}

/// A row whose value is arriving.
pub(super) struct RowStream {
    /// The value, for the messages after the row.
    pub value: Value,
    /// The request was a write.
    pub write: bool,
    reader: ValueReader,
    silent_since: Instant,
    /// Fires when a silent value is given up; set only while answers are owed behind it.
    timer: Option<Pin<Box<Sleep>>>,
}

impl RowStream {
    /// Creates the stream of a row of which only the head has been written.
    pub fn new(value: Value, write: bool, stream: ValueStream) -> Self {
        let (reader, silent_since) = (ValueReader::new(stream), Instant::now());
        RowStream { value, write, reader, silent_since, timer: None }
    }

    /// Returns the next part. `behind` tells when the answers behind this row are due, if any are owed.
    pub fn poll_part(&mut self, cx: &mut Context<'_>, behind: Option<AnswersBehind>) -> Poll<RowPart> {
        let now = Instant::now();
        let cut_off = RowPart::CutOff(self.reader.remaining());
        if behind.and_then(|behind| behind.limit).is_some_and(|limit| now >= limit) {
            return Poll::Ready(cut_off);
        }
        if let Poll::Ready(next) = self.reader.poll_next(cx) {
            self.silent_since = now;
            return Poll::Ready(match next {
                Ok(Some(bytes)) => RowPart::Bytes(bytes),
                Ok(None) => RowPart::End,
                Err(_) => cut_off,
            });
        }
        let Some(AnswersBehind { due, limit }) = behind else { return Poll::Pending };
        let silence_ends = give_up_at(self.silent_since, due);
        let give_up = limit.map_or(silence_ends, |limit| silence_ends.min(limit));
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(give_up)));
        if timer.deadline() != give_up {
            timer.as_mut().reset(give_up);
        }
        timer.as_mut().poll(cx).map(|()| {
            count(Count::flows_given_up);
            cut_off
        })
    }
}

/// Fills up a row that was cut off, of whose value `missing` bytes were not sent, and ends its answer with an error.
///
/// # Errors
/// If the client cannot be written to.
pub(super) async fn pad_and_fail(conn: &mut Conn, missing: usize) -> Result<(), WireError> {
    count(Count::flows_padded);
    let mut left = missing;
    while left > 0 {
        let part = &PADDING[..left.min(PADDING.len())];
        client_write::write_all(conn.get_mut(), part).await?;
        left -= part.len();
    }
    let message = "the value was cut off; its last bytes are padding";
    let failure: Reply = error("XX000", message, AfterError::ReadyForQuery);
    with_timeout(conn.feed(failure)).await?;
    client_write::flush(conn).await?;
    Ok(())
}
