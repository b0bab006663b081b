//! A large value, streamed from a member to a client a few chunks at a time, so that the whole value is never
//! held in memory.
//!
//! The member's side sends chunks and waits while the client has not taken them; the front receives them. The
//! value is complete only if the stream ends with [`Chunk::End`]. A stream that ends without it was cut off,
//! and the front must make that visible to the client.
//!
//! Answers to later requests of the same connection follow the value. While some are owed, a value that has stopped
//! arriving is given up in time for the earliest of them: [`give_up_at`].

use bytes::Bytes;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of queued chunks. With the one being read and the one being written, this bounds the memory
/// per stream.
pub const MAX_QUEUED_CHUNKS: usize = 2;

/// A value that has been silent for less than this is never given up for the sake of the answers behind it.
pub const MIN_SILENCE: Duration = Duration::from_secs(1);
/// How long before an answer is due the value before it is given up: the rest of the response has to be written, too.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// When a value of which nothing has arrived since `silent_since` is given up, if an answer behind it is due at `due`.
pub fn give_up_at(silent_since: Instant, due: Instant) -> Instant {
    (silent_since + MIN_SILENCE).max(due.checked_sub(ANSWER_MARGIN).unwrap_or(due))
}

/// An item of a value's stream.
#[derive(Debug)]
pub enum Chunk {
    /// The next bytes of the value.
    Bytes(Bytes),
    /// The value is complete, as confirmed by the member.
    End,
}

/// The sending end of a stream.
pub type ChunkSender = mpsc::Sender<Chunk>;

/// The receiving end of a stream. Clones share one queue: each chunk goes to only one of them.
#[derive(Debug, Clone)]
pub struct ValueStream(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    length: usize,
    chunks: Mutex<mpsc::Receiver<Chunk>>,
}

impl PartialEq for ValueStream {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for ValueStream {}

impl ValueStream {
    /// Creates a stream of this many bytes and returns both ends.
    pub fn new(length: usize) -> (ChunkSender, ValueStream) {
        let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (sender, ValueStream(Arc::new(Inner { length, chunks: Mutex::new(chunks) })))
    }

    /// Length of the whole value in bytes.
    pub fn length(&self) -> usize {
        self.0.length
    }

    /// The next chunk; `None` if the stream was cut off.
    fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        self.0.chunks.lock().unwrap_or_else(PoisonError::into_inner).poll_recv(cx)
    }
}

/// A stream ended before its end was confirmed, or its length is not the announced one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the value was cut off")
    }
}

impl std::error::Error for CutOff {}

impl From<CutOff> for std::io::Error {
    fn from(cut_off: CutOff) -> Self {
        std::io::Error::new(std::io::ErrorKind::UnexpectedEof, cut_off)
    }
}

/// Reads a stream and checks that it is complete.
#[derive(Debug)]
pub struct ValueReader {
    stream: ValueStream,
    remaining: usize,
}

impl ValueReader {
    /// Creates the reader of a stream of which nothing has been read.
    pub fn new(stream: ValueStream) -> Self {
        let remaining = stream.length();
        ValueReader { stream, remaining }
    }

    /// Number of bytes of the value that have not been read.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// The next bytes of the value; `None` once it is complete. Cancel safe.
    ///
    /// # Errors
    /// When the value was cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CutOff> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// As [`ValueReader::next`].
    ///
    /// # Errors
    /// When the value was cut off.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, CutOff>> {
        self.stream.poll_next(cx).map(|chunk| match chunk {
            Some(Chunk::Bytes(bytes)) if bytes.len() <= self.remaining => {
                self.remaining -= bytes.len();
                Ok(Some(bytes))
            }
            Some(Chunk::End) if self.remaining == 0 => Ok(None),
            _ => Err(CutOff),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_stream_with_its_length_and_end_marker_is_complete() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let bytes = |text: &'static str| Chunk::Bytes(Bytes::from_static(text.as_bytes()));
            for (chunks, is_complete) in [
                (vec![bytes("ab"), bytes("c"), Chunk::End], true),
                (vec![bytes("ab"), bytes("c")], false),
                (vec![bytes("ab"), Chunk::End], false),
                (vec![bytes("ab"), bytes("cd"), Chunk::End], false),
            ] {
                let (sender, stream) = ValueStream::new(3);
                let send_all = async move {
                    for chunk in chunks {
                        let _ = sender.send(chunk).await;
                    }
                };
                let read_all = async {
                    let (mut reader, mut value) = (ValueReader::new(stream), Vec::new());
                    while let Some(bytes) = reader.next().await? {
                        value.extend_from_slice(&bytes);
                    }
                    Ok(value)
                };
                let (_, value) = tokio::join!(send_all, read_all);
                assert_eq!(value, if is_complete { Ok(b"abc".to_vec()) } else { Err(CutOff) });
            }
        });
    }
}
