//! The TCP stream of all framed connections.
//!
//! The kernel notifies once when a socket becomes readable or writable (edge-triggered). The runtime's own stream
//! takes a read or write that did less than requested for the last one before the next notification, and waits.
//! Linux does not promise that: `recv(2)` and `send(2)` may do less for other reasons, in which case no
//! notification follows and the connection hangs. So a [`Socket`] clears its stream's readiness only when the
//! kernel says so (`EAGAIN`), or when its user knows that nothing is due ([`Socket::assume_drained`]).

use super::stall;
use super::transient::{is_out_of_memory, MemoryRetry};
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
use tokio::task::coop;

/// The unread input of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// Nothing at the moment.
    Nothing,
    /// Bytes, or the kernel had no memory for the check.
    Bytes,
    /// The end of the connection, or an error that ended it.
    End,
}

/// Bytes that the kernel takes of a client's answers beyond those that it sends.
const MAX_UNSENT_LEN: u32 = 64 * 1024;

/// A TCP stream that counts its system calls and clears its readiness only as described in the module's
/// documentation.
#[derive(Debug)]
pub struct Socket {
    stream: Arc<TcpStream>,
    /// Bytes may be unread although the runtime's read readiness was cleared. Holds until the kernel says that
    /// nothing is unread: a read may take only some of the bytes, and no notification follows for the rest.
    unread: bool,
    read_retry: MemoryRetry,
    write_retry: MemoryRetry,
}

impl Socket {
    /// Takes a connected stream and disables Nagle's algorithm, so that small writes are sent at once.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Socket {
            stream: Arc::new(stream),
            unread: false,
            read_retry: MemoryRetry::default(),
            write_retry: MemoryRetry::default(),
        }
    }

    /// Bounds what the kernel holds of a client's answers before it sends them, so that its room for more tells what the
    /// client has taken: a full send buffer has room only when a third of it, of megabytes, is free.
    pub fn limit_unsent(&self) {
        let _ = SockRef::from(&*self.stream).set_tcp_notsent_lowat(MAX_UNSENT_LEN);
    }

    /// Returns the stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// The peer's port, which identifies the connection in the log.
    pub fn port(&self) -> u16 {
        self.stream.peer_addr().map_or(0, |peer| peer.port())
    }

    /// Returns a weak handle that reports whether the peer is still connected. The handle does not keep the
    /// socket open.
    pub fn client_connection(&self) -> Weak<dyn ClientConnection> {
        let stream: Arc<dyn ClientConnection> = self.stream.clone();
        Arc::downgrade(&stream)
    }

    /// Declares that the peer has sent all that was requested: the next read waits for a notification without
    /// trying the socket first. If bytes have arrived after all, they are read with the next ones that arrive.
    pub fn assume_drained(&self) {
        self.clear_readable();
    }

    /// Clears the read readiness without a system call.
    fn clear_readable(&self) {
        let cleared: Result<()> =
            self.stream.try_io(Interest::READABLE, || Err(ErrorKind::WouldBlock.into()));
        drop(cleared);
    }

    /// Waits until the peer has closed the connection, without reading; earlier input may still be unread. Cancel
    /// safe.
    pub async fn wait_closed(&mut self) {
        loop {
            let ready = self.stream.ready(Interest::READABLE).await;
            if ready.is_err() || self.stream.is_closed() {
                return;
            }
            // The next notification, of more bytes or of the end, wakes this task again.
            self.unread = true;
            self.clear_readable();
        }
    }

    /// Asks the kernel what is unread, regardless of the runtime's readiness. If there are bytes, the next read
    /// returns them at once.
    pub fn unread(&mut self) -> Unread {
        let unread = unread_input(|| peek(&self.stream));
        self.unread |= unread == Unread::Bytes;
        unread
    }

    /// Reads if the runtime may regard the socket as empty although it is not. Ready with `None` if it is empty, so
    /// that the next notification has to be waited for. Takes part in the runtime's budget for a task, as its own reads
    /// do: a client that sends without end must not keep the thread.
    fn poll_read_ignoring_readiness(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Option<Result<()>>> {
        while self.unread {
            let task_budget = ready!(coop::poll_proceed(cx));
            meter::add(Cost::Reads, 1);
            let read = (&*SockRef::from(&*self.stream)).read(buf.initialize_unfilled());
            task_budget.made_progress();
            match read {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Some(Ok(())));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.unread = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Poll::Ready(Some(Err(e))),
            }
        }
        Poll::Ready(None)
    }

    fn poll_write_with(
        &mut self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> Result<usize>,
    ) -> Poll<Result<usize>> {
        loop {
            ready!(self.write_retry.poll_delay(cx));
            ready!(self.stream.poll_write_ready(cx))?;
            meter::add(Cost::Writes, 1);
            let written = write(&self.stream);
            stall::check();
            match written {
                Err(e) if did_nothing(&e) => {}
                written if self.write_retry.needs_repeat(&written) => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

/// Whether a call did nothing, for lack of data or space (the runtime has then cleared the readiness) or because of
/// a signal. Neither says anything about the connection.
fn did_nothing(e: &Error) -> bool {
    matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Peeks at the first unread byte.
fn peek(stream: &TcpStream) -> Result<usize> {
    meter::add(Cost::Peeks, 1);
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1])
}

/// Determines what is unread, repeating interrupted calls of `peek`.
fn unread_input(mut peek: impl FnMut() -> Result<usize>) -> Unread {
    loop {
        match peek() {
            Ok(0) => return Unread::End,
            Ok(_) => return Unread::Bytes,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Unread::Nothing,
            Err(e) if is_out_of_memory(&e) => return Unread::Bytes,
            Err(_) => return Unread::End,
        }
    }
}

impl ClientConnection for TcpStream {
    fn is_closed(&self) -> bool {
        // An end after unread bytes is part of the kernel's last notification; without unread bytes, peeking
        // reports it.
        let readiness = self.ready(Interest::READABLE).now_or_never().and_then(Result::ok);
        let unread = unread_input(|| peek(self));
        readiness.is_some_and(|ready| ready.is_read_closed()) || unread == Unread::End
    }
}

impl AsyncRead for Socket {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        loop {
            ready!(self.read_retry.poll_delay(cx));
            let read = match ready!(self.poll_read_ignoring_readiness(cx, buf)) {
                Some(read) => read,
                None => {
                    ready!(self.stream.poll_read_ready(cx))?;
                    meter::add(Cost::Reads, 1);
                    self.stream.try_read_buf(buf).map(drop)
                }
            };
            match read {
                Err(e) if did_nothing(&e) => meter::add(Cost::EmptyReads, 1),
                read if self.read_retry.needs_repeat(&read) => {}
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
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(match SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write) {
            // The peer has closed the connection already.
            Err(e) if e.kind() == ErrorKind::NotConnected => Ok(()),
            done => done,
        })
    }
}

#[cfg(test)]
#[path = "socket_tests.rs"]
mod tests;
