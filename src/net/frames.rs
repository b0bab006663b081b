//! Reading helpers that all framed connections share.

use super::socket::Socket;
use bytes::BytesMut;
use futures_util::{Stream, StreamExt};
use std::future::poll_fn;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio_util::codec::{Decoder, Framed};

/// Initial capacity of a connection's read and write buffers. It is small, as hundreds of connections are idle at a
/// time.
pub const INITIAL_BUFFER_SIZE: usize = 4 * 1024;
/// The next event when reading a connection.
#[derive(Debug)]
pub enum ReadEvent<T> {
    /// A complete message, an error, or the end of the connection.
    Message(Option<T>),
    /// The first bytes of a message have arrived, but not all of it. Not reported again if `partial_seen` is set.
    Partial,
}

/// A codec that may buffer the first part of a message itself.
pub trait BuffersPartial {
    /// Whether the codec holds part of a message.
    fn holds_partial(&self) -> bool {
        false
    }
}

/// Waits for the next message, or for its first bytes: a timeout for the rest of a message can start only with
/// these.
pub async fn read_next<S: AsyncRead + Unpin, C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<S, C>,
    partial_seen: bool,
) -> ReadEvent<<Framed<S, C> as Stream>::Item> {
    poll_fn(|cx| match conn.poll_next_unpin(cx) {
        Poll::Ready(message) => Poll::Ready(ReadEvent::Message(message)),
        Poll::Pending
            if !partial_seen && (!conn.read_buffer().is_empty() || conn.codec().holds_partial()) =>
        {
            Poll::Ready(ReadEvent::Partial)
        }
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// Reads the next event, or only waits for the end of the connection when `reading` is false. Reading is paused
/// while answers are due, but the end must still be noticed so that nothing more is sent on behalf of a client that
/// has gone.
pub async fn read_next_or_close<C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<Socket, C>,
    reading: bool,
    partial_seen: bool,
) -> ReadEvent<<Framed<Socket, C> as Stream>::Item> {
    if reading {
        return read_next(conn, partial_seen).await;
    }
    conn.get_mut().wait_closed().await;
    ReadEvent::Message(None)
}

/// Releases buffers that a large message has left on a connection. They are replaced by buffers with some capacity,
/// as a buffer without any would be filled by reads of a few bytes at a time.
pub fn release_large_buffers<S, C>(conn: &mut Framed<S, C>) {
    const MAX_KEPT: usize = 4 * INITIAL_BUFFER_SIZE;
    if conn.write_buffer().is_empty() && conn.write_buffer().capacity() > MAX_KEPT {
        *conn.write_buffer_mut() = BytesMut::with_capacity(INITIAL_BUFFER_SIZE);
    }
    if conn.read_buffer().is_empty() && conn.read_buffer().capacity() > MAX_KEPT {
        *conn.read_buffer_mut() = BytesMut::with_capacity(INITIAL_BUFFER_SIZE);
    }
}
