//! The queue of a listening socket: its clients are taken one by one, and a failure of accept(2) passes over none of them.

use super::listen::{wait_for_phase, PhaseReceiver, ProcessPhase};
use crate::core::counters::{count, counter_value, Count};
use socket2::SockRef;
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// After a failure of accept, such as one for want of descriptors. All who stand in the queue wait for it.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// Failures in a row before those that stand in the queue are left there: some 3 s, as long as a bad client is owed.
const MAX_ACCEPT_FAILURES: u32 = 1_500;
/// Of all failures the log tells one in so many.
const ACCEPT_FAILURES_PER_LOG_LINE: u64 = 100;

/// A listening socket.
pub trait Listener: Send + Sync + 'static {
    /// The next client, once there is one. Cancel safe.
    ///
    /// # Errors
    /// When the kernel accepts none for the moment; accept(2) lists the causes.
    fn accept(&self) -> impl Future<Output = Result<(TcpStream, SocketAddr)>> + Send;

    /// A client that stands in the queue, if there is one. The kernel is asked, not the runtime, which may not have heard of
    /// the last ones yet.
    ///
    /// # Errors
    /// As [`Listener::accept`].
    fn try_accept(&self) -> Result<Option<(TcpStream, SocketAddr)>>;
}

impl Listener for TcpListener {
    fn accept(&self) -> impl Future<Output = Result<(TcpStream, SocketAddr)>> + Send {
        TcpListener::accept(self)
    }

    fn try_accept(&self) -> Result<Option<(TcpStream, SocketAddr)>> {
        let (stream, peer) = match SockRef::from(self).accept() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            accepted => accepted?,
        };
        stream.set_nonblocking(true)?;
        let peer = peer.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(Some((TcpStream::from_std(stream.into())?, peer)))
    }
}

/// Clients of a listener, in the order in which the kernel has them.
pub struct ClientQueue<L> {
    listener: L,
}

impl<L: Listener> ClientQueue<L> {
    /// The queue of this listener, which is closed with it.
    pub fn new(listener: L) -> Self {
        ClientQueue { listener }
    }

    /// The next client, once there is one; none once the process has reached `phase`. Cancel safe.
    pub async fn next_until(
        &self,
        closing: &mut PhaseReceiver,
        phase: ProcessPhase,
    ) -> Option<(TcpStream, SocketAddr)> {
        tokio::select! {
            biased;
            () = wait_for_phase(closing, phase) => None,
            client = self.next() => Some(client),
        }
    }

    async fn next(&self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(client) => return client,
                Err(error) => accept_failed(&error).await,
            }
        }
    }

    /// The next client that stands in the queue; none if there is none, or if accept has failed too often in a row. Cancel
    /// safe.
    pub async fn next_queued(&self) -> Option<(TcpStream, SocketAddr)> {
        for _ in 0..MAX_ACCEPT_FAILURES {
            match self.listener.try_accept() {
                Ok(client) => return client,
                Err(error) => accept_failed(&error).await,
            }
        }
        log::error!("clients that have come are left in the queue, as accept fails again and again");
        None
    }
}

async fn accept_failed(error: &Error) {
    if counter_value(Count::accept_failures).is_multiple_of(ACCEPT_FAILURES_PER_LOG_LINE) {
        log::warn!("a client could not be accepted: {error}");
    }
    count(Count::accept_failures);
    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
}
