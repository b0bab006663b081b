//! A TCP stream as all framed connections use it.
//!
//! The kernel tells of a socket that becomes readable or writable once (edge-triggered). The runtime's own stream takes
//! a call that did less than it was asked to for the last one before the next edge, and waits. Linux promises no such
//! thing: `recv(2)` and `send(2)` may do less for other reasons, what stands in the socket then brings no edge, and the
//! connection hangs. So a [`Socket`] forgets that its stream is ready only where the kernel says so (`EAGAIN`), or where
//! its user knows that nothing is due ([`Socket::assume_drained`]).

use super::stall;
use super::transient::{no_memory, MemoryRetry};
use crate::core::ClientConnection;
use crate::meter::{self, Cost};
use futures_util::FutureExt;
use socket2::SockRef;
use std::io::{Error, ErrorKind, IoSlice, Read, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// What stands unread in a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing, as of now.
    Nothing,
    /// Bytes; or the kernel had no memory for a look.
    Bytes,
    /// The end of the connection, or a fault that ended it.
    End,
}

/// A stream whose calls to the kernel are counted, and which believes only the kernel.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<TcpStream>,
    /// What the runtime knows of unread bytes was given up, to hear of an end behind them.
    unread: bool,
    read_retry: MemoryRetry,
    write_retry: MemoryRetry,
}

impl Socket {
    /// Takes a connected stream. Small writes go out at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Socket {
            stream: Arc::new(stream),
            unread: false,
            read_retry: MemoryRetry::default(),
            write_retry: MemoryRetry::default(),
        }
    }

    /// The stream itself.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// The other side's port, by which the log tells connections apart.
    pub fn port(&self) -> u16 {
        self.stream.peer_addr().map_or(0, |peer| peer.port())
    }

    /// Tells whether the other side is still there, for as long as this connection lives.
    pub fn presence(&self) -> Weak<dyn ClientConnection> {
        let stream: Arc<dyn ClientConnection> = self.stream.clone();
        Arc::downgrade(&stream)
    }

    /// The other side has said all that it was asked for: the next read waits for news without a look at the socket. What
    /// stands there all the same shows with the next bytes that come.
    pub fn assume_drained(&self) {
        self.forget_readable();
    }

    /// Without a call to the kernel.
    fn forget_readable(&self) {
        let forgotten: Result<()> =
            self.stream.try_io(Interest::READABLE, || Err(ErrorKind::WouldBlock.into()));
        drop(forgotten);
    }

    /// Waits until the other side has ended the connection, while nothing is read from it: what it sent before may still
    /// stand unread. Cancel safe.
    pub async fn wait_closed(&mut self) {
        loop {
            let ready = self.stream.ready(Interest::READABLE).await;
            if ready.is_err() || self.stream.is_closed() {
                return;
            }
            // The next edge, of more bytes or of the end, wakes this again.
            self.unread = true;
            self.forget_readable();
        }
    }

    /// Asks the kernel what stands unread, whatever the runtime has heard of it; the next read finds bytes at once.
    pub fn unread(&mut self) -> Unread {
        let unread = unread_by(|| peek(&self.stream));
        self.unread |= unread == Unread::Bytes;
        unread
    }

    /// A read where the runtime may take the socket for empty though it is not.
    fn read_unheard(&mut self, buf: &mut ReadBuf<'_>) -> Option<Result<()>> {
        if !std::mem::take(&mut self.unread) {
            return None;
        }
        loop {
            meter::add(Cost::Reads, 1);
            match (&*SockRef::from(&*self.stream)).read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Some(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Some(Err(e)),
            }
        }
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.write_retry.poll_pause(cx));
            ready!(self.stream.poll_write_ready(cx))?;
            meter::add(Cost::Writes, 1);
            let written = write(&self.stream);
            stall::check();
            match written {
                Err(e) if calls_again(&e) => {}
                written if self.write_retry.again(&written) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// A call that did nothing: there is nothing to do it with, of which the runtime then knows, or a signal came. Neither says
/// anything of the connection.
fn calls_again(e: &Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Looks at the first byte that stands unread, which stays there.
fn peek(stream: &TcpStream) -> Result<usize> {
    meter::add(Cost::Peeks, 1);
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1])
}

/// What stands unread, by as many looks as it takes until one shows it.
fn unread_by(mut peek: impl FnMut() -> Result<usize>) -> Unread {
    loop {
        match peek() {
            Ok(0) => return Unread::End,
            Ok(_) => return Unread::Bytes,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Unread::Nothing,
            Err(e) if no_memory(&e) => return Unread::Bytes,
            Err(_) => return Unread::End,
        }
    }
}

impl ClientConnection for TcpStream {
    fn is_closed(&self) -> bool {
        // The end behind unread bytes shows in what the kernel told last; with none there it is what a look brings.
        let told = self.ready(Interest::READABLE).now_or_never().and_then(Result::ok);
        let unread = unread_by(|| peek(self));
        told.is_some_and(|ready| ready.is_read_closed()) || unread == Unread::End
    }
}

impl AsyncRead for Socket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        loop {
            ready!(self.read_retry.poll_pause(cx));
            let read = match self.read_unheard(buf) {
                Some(read) => read,
                None => {
                    ready!(self.stream.poll_read_ready(cx))?;
                    meter::add(Cost::Reads, 1);
                    self.stream.try_read_buf(buf).map(drop)
                }
            };
            match read {
                Err(e) if calls_again(&e) => meter::add(Cost::EmptyReads, 1),
                read if self.read_retry.again(&read) => self.unread = true,
                read => return Poll::Ready(read),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        // Nothing is held back here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(match SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write) {
            // The other side has ended it already.
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
