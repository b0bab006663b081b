//! What the ends of all framed connections share.

use super::socket::Socket;
use bytes::BytesMut;
use futures_util::{Stream, StreamExt};
use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio_util::codec::{Decoder, Framed};

/// Room for reading and for writing that a connection starts with: hundreds rest at a time.
pub const ROOM: usize = 4 * 1024;
/// What is still read after a last word, and for how long. A close with bytes unread resets the connection, and what
/// was said last may be lost with it; a client that sends without end gets the reset.
const DRAIN: Duration = Duration::from_millis(300);
const DRAIN_RESTING: Duration = Duration::from_millis(60);
const DRAIN_MOST: usize = 512 * 1024;

/// What comes next on a connection.
#[derive(Debug)]
pub enum Next<T> {
    /// A whole message, an error, or the end.
    Message(Option<T>),
    /// The first bytes of one that has not all come. Told unless `part` says that this is known.
    Part,
}

/// A codec that may hold the first part of a message itself.
pub trait Holds {
    /// Whether it does.
    fn holds(&self) -> bool {
        false
    }
}

/// Waits for the next message, or for its first bytes: only what has begun can be asked to end in time.
pub async fn next<S: AsyncRead + Unpin, C: Decoder + Holds + Unpin>(
    conn: &mut Framed<S, C>,
    part: bool,
) -> Next<<Framed<S, C> as Stream>::Item> {
    poll_fn(|cx| match conn.poll_next_unpin(cx) {
        Poll::Ready(message) => Poll::Ready(Next::Message(message)),
        Poll::Pending if !part && (!conn.read_buffer().is_empty() || conn.codec().holds()) => {
            Poll::Ready(Next::Part)
        }
        Poll::Pending => Poll::Pending,
    })
    .await
}

/// What comes next on a connection, or its end alone where nothing is to be read now: nothing more may be sent on for a
/// client that has gone.
pub async fn next_or_end<C: Decoder + Holds + Unpin>(
    conn: &mut Framed<Socket, C>,
    reads: bool,
    part: bool,
) -> Next<<Framed<Socket, C> as Stream>::Item> {
    if reads {
        return next(conn, part).await;
    }
    conn.get_mut().ended().await;
    Next::Message(None)
}

/// Lets go of buffers that a large message has left on a connection. Those that take their place have room at once: one
/// that starts with none is read into a few bytes at a time.
pub fn shrink<S, C>(conn: &mut Framed<S, C>) {
    const SMALL: usize = 4 * ROOM;
    if conn.write_buffer().is_empty() && conn.write_buffer().capacity() > SMALL {
        *conn.write_buffer_mut() = BytesMut::with_capacity(ROOM);
    }
    if conn.read_buffer().is_empty() && conn.read_buffer().capacity() > SMALL {
        *conn.read_buffer_mut() = BytesMut::with_capacity(ROOM);
    }
}

/// Ends a connection on which the last word has been said, so that the client gets to read it.
pub async fn finish<C>(conn: Framed<Socket, C>) -> std::io::Result<()> {
    finish_stream(conn.into_inner()).await
}

/// Ends a connection at rest, on which a request may be on its way: unread it is the client's to send again, so long as the
/// close does not turn into a reset that takes the last answer along. Somebody may be waiting for its place.
pub async fn finish_resting<C>(conn: Framed<Socket, C>) -> std::io::Result<()> {
    finish_within(conn.into_inner(), DRAIN_RESTING).await
}

/// The same for a stream that nothing more is read from.
pub async fn finish_stream<S: AsyncRead + AsyncWrite + Unpin>(stream: S) -> std::io::Result<()> {
    finish_within(stream, DRAIN).await
}

async fn finish_within<S>(mut stream: S, within: Duration) -> std::io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.shutdown().await?;
    let (mut rest, mut read) = (vec![0; 16 * 1024], 0);
    let drain = async {
        while read < DRAIN_MOST {
            match stream.read(&mut rest).await {
                Ok(n) if n > 0 => read += n,
                _ => return,
            }
        }
    };
    let _ = tokio::time::timeout(within, drain).await;
    Ok(())
}

#[cfg(test)]
#[path = "frames_tests.rs"]
mod tests;
