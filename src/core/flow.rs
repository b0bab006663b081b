//! A large value on its way from a member to a client: a few pieces at a time, never the whole.
//!
//! The member's side puts pieces in and waits while the client has not taken them; the front takes them out. Only the
//! last word, `Whole`, makes the value one: a flow that ends without it broke off, and whoever passes it on must see
//! to it that the client can tell.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{mpsc, Mutex};

/// Pieces that may wait; with the one read and the one written, what a flow holds in memory.
pub const MAX_QUEUED_CHUNKS: usize = 2;

/// What comes of a value.
#[derive(Debug)]
pub enum Chunk {
    /// The next bytes.
    Bytes(Bytes),
    /// That was all of them, and the member has said so.
    End,
}

/// Where pieces are put in.
pub type ChunkSender = mpsc::Sender<Chunk>;

/// Where they are taken out. Copies are the same one: whoever takes a piece has it alone.
#[derive(Debug, Clone)]
pub struct ValueStream(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    length: usize,
    pieces: Mutex<mpsc::Receiver<Chunk>>,
}

impl PartialEq for ValueStream {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for ValueStream {}

impl ValueStream {
    /// Both ends of a flow of so many bytes.
    pub fn new(length: usize) -> (ChunkSender, ValueStream) {
        let (source, pieces) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (source, ValueStream(Arc::new(Inner { length, pieces: Mutex::new(pieces) })))
    }

    /// Bytes in all.
    pub fn length(&self) -> usize {
        self.0.length
    }

    /// The next piece; none where it broke off.
    pub async fn next(&self) -> Option<Chunk> {
        self.0.pieces.lock().await.recv().await
    }

    /// All of it; none where it broke off, or was not as long as was said.
    pub async fn collect(&self) -> Option<Bytes> {
        let mut all = Vec::with_capacity(self.length());
        loop {
            match self.next().await? {
                Chunk::Bytes(bytes) if all.len() + bytes.len() <= self.length() => {
                    all.extend_from_slice(&bytes)
                }
                Chunk::End if all.len() == self.length() => return Some(all.into()),
                _ => return None,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_flow_that_says_so_is_whole() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        runtime.block_on(async {
            let bytes = |text: &'static str| Chunk::Bytes(Bytes::from_static(text.as_bytes()));
            for (pieces, whole) in [
                (vec![bytes("ab"), bytes("c"), Chunk::End], true),
                (vec![bytes("ab"), bytes("c")], false),
                (vec![bytes("ab"), Chunk::End], false),
                (vec![bytes("ab"), bytes("cd"), Chunk::End], false),
            ] {
                let (source, flow) = ValueStream::new(3);
                let put = async move {
                    for piece in pieces {
                        let _ = source.send(piece).await;
                    }
                };
                let (_, all) = tokio::join!(put, flow.collect());
                assert_eq!(all, whole.then(|| Bytes::from_static(b"abc")));
            }
        });
    }
}
