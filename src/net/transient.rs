//! Retries calls that failed because this machine had no socket or no memory for one at the moment. Linux documents
//! these errors for `socket(2)`, `bind(2)`, `connect(2)`, `recv(2)` and `send(2)`. They say nothing about the other
//! side and are transient.

use crate::core::counters::{count, Count};
use std::future::Future;
use std::io::{Error, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, ToSocketAddrs, UdpSocket};
use tokio::time::Sleep;

/// Interval and number of attempts to listen, 5 s in total: startup has to be complete within 10 s.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const MAX_LISTEN_ATTEMPTS: u32 = 100;
/// Delay before each further attempt to connect; after the last one the connection counts as refused.
const CONNECT_RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(2), Duration::from_millis(5), Duration::from_millis(15)];
/// Delay before repeating a call on a connection that found no memory, and how often in a row the call is repeated.
/// In total this is less than the margin that deadlines have for the way to a server.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(2);
const MAX_MEMORY_RETRIES: u32 = 40;

/// Whether the kernel had no memory for a call on a connection. The call did nothing and says nothing about the
/// connection.
pub fn is_out_of_memory(e: &Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}

/// Repeats one kind of call on one connection while the kernel has no memory for it.
#[derive(Debug, Default)]
pub struct MemoryRetry {
    delay: Option<Pin<Box<Sleep>>>,
    failures: u32,
}

impl MemoryRetry {
    /// Waits until the next call may be made. Cancel safe.
    pub fn poll_delay(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(delay) = &mut self.delay {
            ready!(delay.as_mut().poll(cx));
            self.delay = None;
        }
        Poll::Ready(())
    }

    /// Whether the call with this result has to be repeated, after the delay.
    pub fn needs_repeat<T>(&mut self, done: &Result<T>) -> bool {
        let repeat = done.as_ref().is_err_and(is_out_of_memory) && self.failures < MAX_MEMORY_RETRIES;
        self.failures = if repeat { self.failures + 1 } else { 0 };
        if repeat {
            count(Count::local_failures);
            self.delay = Some(Box::pin(tokio::time::sleep(MEMORY_RETRY_INTERVAL)));
        }
        repeat
    }
}

/// Whether there was no descriptor or memory for a socket.
fn lacks_socket(e: &Error) -> bool {
    matches!(e.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}

/// Whether there was no socket, port or route, or a signal interrupted the call.
fn is_transient_connect_error(e: &Error) -> bool {
    let transient = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EAGAIN, libc::EINTR];
    lacks_socket(e) || e.raw_os_error().is_some_and(|code| transient.contains(&code))
}

/// Whether there was no socket, or another process uses the address: the process that this one replaces may be
/// about to end.
fn is_transient_listen_error(e: &Error) -> bool {
    lacks_socket(e) || e.raw_os_error() == Some(libc::EADDRINUSE)
}

/// Listens at `address`, waiting until a socket is available and the address is free.
///
/// # Errors
/// When listening at the address is impossible, or still fails after some seconds.
pub async fn listen(address: impl ToSocketAddrs + Copy) -> Result<TcpListener> {
    retry_bind(|| TcpListener::bind(address)).await
}

/// Like [`listen`], for datagrams.
///
/// # Errors
/// As [`listen`].
pub async fn listen_datagrams(address: impl ToSocketAddrs + Copy) -> Result<UdpSocket> {
    retry_bind(|| UdpSocket::bind(address)).await
}

async fn retry_bind<T, F: Future<Output = Result<T>>>(bind: impl Fn() -> F) -> Result<T> {
    let mut attempts = 1;
    loop {
        match bind().await {
            Err(e) if is_transient_listen_error(&e) && attempts < MAX_LISTEN_ATTEMPTS => {
                count(Count::local_failures);
                log::warn!("cannot listen yet, will retry: {e}");
            }
            done => return done,
        }
        attempts += 1;
        tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
    }
}

/// Connects to `address`, and retries where this machine has no socket, port or route at the moment. Cancel safe:
/// nothing is left behind when the future is dropped.
///
/// # Errors
/// When the other side cannot be reached, or the shortage on this machine lasts longer.
pub async fn connect(address: impl ToSocketAddrs + Copy) -> Result<TcpStream> {
    for delay in CONNECT_RETRY_DELAYS {
        match TcpStream::connect(address).await {
            Err(e) if is_transient_connect_error(&e) => count(Count::local_failures),
            done => return done,
        }
        tokio::time::sleep(delay).await;
    }
    TcpStream::connect(address).await
}
