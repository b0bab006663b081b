//! Reading helpers that all framed connections share.

use super::socket::Socket;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite};
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
    poll_fn(|cx| poll_read_next(conn, cx, partial_seen)).await
}

fn poll_read_next<S: AsyncRead + Unpin, C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<S, C>,
    cx: &mut Context<'_>,
    partial_seen: bool,
) -> Poll<ReadEvent<<Framed<S, C> as Stream>::Item>> {
    match conn.poll_next_unpin(cx) {
        Poll::Ready(message) => Poll::Ready(ReadEvent::Message(message)),
        Poll::Pending
            if !partial_seen && (!conn.read_buffer().is_empty() || conn.codec().holds_partial()) =>
        {
            Poll::Ready(ReadEvent::Partial)
        }
        Poll::Pending => Poll::Pending,
    }
}

/// What comes first of writing and reading.
#[derive(Debug)]
pub enum WriteOrRead<T> {
    /// Bytes were written.
    Written,
    /// Writing failed.
    WriteFailed(std::io::Error),
    /// As [`read_next_or_close`].
    Read(ReadEvent<T>),
}

/// Writes some of these bytes, or reads while the peer takes none of them. If there are no bytes, only reads; when
/// `reading` is false, only writes, or waits for the end of the connection. Cancel safe.
pub async fn write_or_read<C: Decoder + BuffersPartial + Unpin>(
    conn: &mut Framed<Socket, C>,
    bytes: &mut Bytes,
    reading: bool,
    partial_seen: bool,
) -> WriteOrRead<<Framed<Socket, C> as Stream>::Item> {
    if bytes.is_empty() {
        return WriteOrRead::Read(read_next_or_close(conn, reading, partial_seen).await);
    }
    poll_fn(|cx| match Pin::new(conn.get_mut()).poll_write(cx, bytes) {
        Poll::Ready(Ok(0)) => Poll::Ready(WriteOrRead::WriteFailed(ErrorKind::WriteZero.into())),
        Poll::Ready(Ok(written)) => {
            bytes.advance(written);
            Poll::Ready(WriteOrRead::Written)
        }
        Poll::Ready(Err(e)) => Poll::Ready(WriteOrRead::WriteFailed(e)),
        Poll::Pending if reading => poll_read_next(conn, cx, partial_seen).map(WriteOrRead::Read),
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
