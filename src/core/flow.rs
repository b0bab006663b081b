//! A large value, streamed from a member to a client a few chunks at a time, so that the whole value is never
//! held in memory.
//!
//! The member's side sends chunks and waits while the client has not taken them; the front receives them. The
//! value is complete only if the stream ends with [`Chunk::End`]. A stream that ends without it was cut off,
//! and the front must make that visible to the client.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{mpsc, Mutex};

/// Maximum number of queued chunks. With the one being read and the one being written, this bounds the memory
/// per stream.
pub const MAX_QUEUED_CHUNKS: usize = 2;

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
    async fn next(&self) -> Option<Chunk> {
        self.0.chunks.lock().await.recv().await
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

    /// The next bytes of the value; `None` once it is complete. Cancel safe.
    ///
    /// # Errors
    /// When the value was cut off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CutOff> {
        match self.stream.next().await {
            Some(Chunk::Bytes(bytes)) if bytes.len() <= self.remaining => {
                self.remaining -= bytes.len();
                Ok(Some(bytes))
            }
            Some(Chunk::End) if self.remaining == 0 => Ok(None),
            _ => Err(CutOff),
        }
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
