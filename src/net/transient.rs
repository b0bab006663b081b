//! Sockets, and memory for them, that are not to be had for the moment: errors of this machine, not of the other side, which
//! Linux documents for `socket(2)`, `bind(2)`, `connect(2)`, `recv(2)` and `send(2)` and which pass by themselves.

use crate::core::counters::{count, Count};
use std::future::Future;
use std::io::{Error, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, ToSocketAddrs, UdpSocket};
use tokio::time::Sleep;

/// Between two tries to listen, and for so many of them (5 s): a start is owed within 10 s.
const LISTEN_PAUSE: Duration = Duration::from_millis(50);
const LISTEN_TRIES: u32 = 100;
/// Before each further try to connect; after the last the connection counts as refused.
const CONNECT_PAUSES: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(5), Duration::from_millis(15)];
/// Before a call on a connection that found no memory is made again, and how often in a row it is: in all less than the slack
/// that a deadline has on its way to a server.
const MEMORY_PAUSE: Duration = Duration::from_millis(2);
const MEMORY_RETRIES_MAX: u32 = 40;

/// The kernel has no memory for a call on a connection. It did nothing, and says nothing of the connection.
pub fn no_memory(e: &Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Calls of one sort on one connection, which are made again where they found no memory.
#[derive(Debug, Default)]
pub struct MemoryRetry {
    pause: Option<Pin<Box<Sleep>>>,
    failures: u32,
}

impl MemoryRetry {
    /// Waits until the next call may be made. Cancel safe.
    pub fn poll_pause(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Whether the call that brought this is to be made again, after the pause.
    pub fn again<T>(&mut self, done: &Result<T>) -> bool {
        let again = done.as_ref().is_err_and(no_memory) && self.failures < MEMORY_RETRIES_MAX;
        self.failures = if again { self.failures + 1 } else { 0 };
        if again {
            count(Count::local_failures);
            self.pause = Some(Box::pin(tokio::time::sleep(MEMORY_PAUSE)));
        }
        again
    }
}

/// No descriptor or memory for a socket.
fn no_socket(e: &Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}

/// No port or route either, or a signal that came meanwhile.
fn no_connection(e: &Error) -> bool {
    let momentary = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::EINTR];
    no_socket(e) || e.raw_os_error().is_some_and(|code| momentary.contains(&code))
}

/// No socket, or another process still holds the address: the one that this takes over from may be about to end.
fn no_listener(e: &Error) -> bool {
    no_socket(e) || e.raw_os_error() == Some(libc::EADDRINUSE)
}

/// Listens there, once there is a socket to be had and the address is free.
///
/// # Errors
/// When the address cannot be listened on, or not for seconds.
pub async fn listen(address: impl ToSocketAddrs + Copy) -> Result<TcpListener> {
    once_free(|| TcpListener::bind(address)).await
}

/// The same for datagrams.
///
/// # Errors
/// As [`listen`].
pub async fn listen_datagrams(address: impl ToSocketAddrs + Copy) -> Result<UdpSocket> {
    once_free(|| UdpSocket::bind(address)).await
}

async fn once_free<T, F: Future<Output = Result<T>>>(bind: impl Fn() -> F) -> Result<T> {
    let mut tries = 1;
    loop {
        match bind().await {
            Err(e) if no_listener(&e) && tries < LISTEN_TRIES => {
                count(Count::local_failures);
                log::warn!("cannot listen yet: {e}");
            }
            done => return done,
        }
        tries += 1;
        tokio::time::sleep(LISTEN_PAUSE).await;
    }
}

/// Connects, and tries again where this machine had no socket, port or route for the moment. Cancel safe: dropped, nothing
/// is left of it.
///
/// # Errors
/// When the other side cannot be reached, or this machine lacks something for longer.
pub async fn connect(address: impl ToSocketAddrs + Copy) -> Result<TcpStream> {
    for pause in CONNECT_PAUSES {
        match TcpStream::connect(address).await {
            Err(e) if no_connection(&e) => count(Count::local_failures),
            done => return done,
        }
        tokio::time::sleep(pause).await;
    }
    TcpStream::connect(address).await
}
