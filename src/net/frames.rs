//! What the ends of all framed connections share.

use super::socket::Socket;
use bytes::BytesMut;
use futures_util::{Stream, StreamExt};
use std::future::poll_fn;
use std::task::Poll;
use tokio::io::AsyncRead;
use tokio_util::codec::{Decoder, Framed};

/// Room for reading and for writing that a connection starts with: hundreds rest at a time.
pub const INITIAL_BUFFER_SIZE: usize = 4 * 1024;
/// What comes next on a connection.
#[derive(Debug)]
pub enum ReadEvent<T> {
    /// A whole message, an error, or the end.
    Message(Option<T>),
    /// The first bytes of one that has not all come. Told unless `part` says that this is known.
    Partial,
}

/// A codec that may hold the first part of a message itself.
pub trait BuffersPartial {
    /// Whether it does.
    fn holds_partial(&self) -> bool {
        false
    }
}

/// Waits for the next message, or for its first bytes: only what has begun can be asked to end in time.
pub async fn read_next<S: AsyncRead + Unpin, C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<S, C>,
    part: bool,
) -> ReadEvent<<Framed<S, C> as Stream>::Item> {
    poll_fn(|cx| match conn.poll_next_unpin(cx) {
        Poll::Ready(message) => Poll::Ready(ReadEvent::Message(message)),
        Poll::Pending if !part && (!conn.read_buffer().is_empty() || conn.codec().holds_partial()) => {
            Poll::Ready(ReadEvent::Partial)
        }
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// What comes next on a connection, or its end alone where nothing is to be read now: nothing more may be sent on for a
/// client that has gone.
pub async fn read_next_or_close<C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<Socket, C>,
    reads: bool,
    part: bool,
) -> ReadEvent<<Framed<Socket, C> as Stream>::Item> {
    if reads {
        return read_next(conn, part).await;
    }
    conn.get_mut().wait_closed().await;
    ReadEvent::Message(None)
}

/// Lets go of buffers that a large message has left on a connection. Those that take their place have room at once: one
/// that starts with none is read into a few bytes at a time.
pub fn release_large_buffers<S, C>(conn: &mut Framed<S, C>) {
    const SMALL: usize = 4 * INITIAL_BUFFER_SIZE;
    if conn.write_buffer().is_empty() && conn.write_buffer().capacity() > SMALL {
        *conn.write_buffer_mut() = BytesMut::with_capacity(INITIAL_BUFFER_SIZE);
    }
    if conn.read_buffer().is_empty() && conn.read_buffer().capacity() > SMALL {
        *conn.read_buffer_mut() = BytesMut::with_capacity(INITIAL_BUFFER_SIZE);
    }
}
