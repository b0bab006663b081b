//! Accepts clients from a listening socket one by one; a failed accept(2) does not skip any of them.

use super::listen::{wait_for_phase, PhaseReceiver, ProcessPhase};
use super::stall;
use crate::core::counters::{count, counter_value, Count};
use futures_util::FutureExt;
use socket2::SockRef;
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::unconstrained;

/// Delay after the second and each further accept(2) in a row that failed, for example for lack of descriptors. All
/// clients in the backlog wait for it.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// After this many failures in a row the remaining backlog is left unserved: about 3 s, the time within which even
/// a misbehaving client has to be answered.
const MAX_ACCEPT_FAILURES: u32 = 1_500;
/// One in this many failures is logged.
const ACCEPT_FAILURES_PER_LOG_LINE: u64 = 100;

/// A listening socket.
pub trait Listener: Send + Sync + 'static {
    /// Waits for the next client. Cancel safe.
    ///
    /// # Errors
    /// When accept(2) fails for the moment; its manual page lists the causes.
    fn accept(&self) -> impl Future<Output = Result<(TcpStream, SocketAddr)>> + Send;

    /// Takes a client from the backlog, if there is one. This asks the kernel, as the runtime may not have been
    /// notified of the most recent clients yet.
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

/// A client that was taken from the backlog.
pub struct QueuedClient {
    /// Its connection.
    pub stream: TcpStream,
    /// Its address.
    pub peer: SocketAddr,
    /// The earliest time at which it can have connected.
    pub connected_since: Instant,
}

/// The backlog of a listener, in the kernel's order.
pub struct AcceptQueue<L> {
    listener: L,
    /// Clients that are in the backlog now may have connected as early as this; `None` if it was empty when last looked
    /// at. Nobody tells how long each of them has waited there.
    backlog_since: Option<Instant>,
    /// The last accept(2) failed.
    has_failed: bool,
}

impl<L: Listener> AcceptQueue<L> {
    /// Takes over the listener, which is closed when this is dropped. It has been open since `bound` at the earliest.
    pub fn new(listener: L, bound: Instant) -> Self {
        AcceptQueue { listener, backlog_since: Some(bound), has_failed: false }
    }

    /// Waits for the next client; returns `None` once the process has reached `phase`. Cancel safe.
    pub async fn next_until(
        &mut self,
        phase_rx: &mut PhaseReceiver,
        phase: ProcessPhase,
    ) -> Option<QueuedClient> {
        tokio::select! {
            biased;
            () = wait_for_phase(phase_rx, phase) => None,
            client = self.next() => Some(client),
        }
    }

    async fn next(&mut self) -> QueuedClient {
        loop {
            let accepted = {
                let mut accept = pin!(self.listener.accept());
                // Only the kernel says that the backlog is empty, not the runtime's budget for a task.
                match unconstrained(accept.as_mut()).now_or_never() {
                    Some(accepted) => accepted,
                    None => {
                        self.backlog_since = None;
                        accept.await
                    }
                }
            };
            match accepted {
                Ok((stream, peer)) => return self.queued_client(stream, peer),
                Err(error) => self.accept_failed(&error).await,
            }
        }
    }

    /// Takes the next client from the backlog. Returns `None` if there is none, or if accept has failed too often
    /// in a row. Cancel safe.
    pub async fn next_queued(&mut self) -> Option<QueuedClient> {
        for _ in 0..MAX_ACCEPT_FAILURES {
            match self.listener.try_accept() {
                Ok(Some((stream, peer))) => return Some(self.queued_client(stream, peer)),
                Ok(None) => {
                    self.backlog_since = None;
                    return None;
                }
                Err(error) => self.accept_failed(&error).await,
            }
        }
        log::error!(
            "accept failed {MAX_ACCEPT_FAILURES} times in a row; clients are left in the listen backlog"
        );
        None
    }

    fn queued_client(&mut self, stream: TcpStream, peer: SocketAddr) -> QueuedClient {
        self.has_failed = false;
        QueuedClient { stream, peer, connected_since: self.backlog_since() }
    }

    fn backlog_since(&mut self) -> Instant {
        *self.backlog_since.get_or_insert_with(|| stall::check().unwrap_or_else(Instant::now))
    }

    /// Counts a failed accept(2), and waits unless it is the first in a row: most failures concern one call only.
    async fn accept_failed(&mut self, error: &Error) {
        self.backlog_since();
        if counter_value(Count::accept_failures).is_multiple_of(ACCEPT_FAILURES_PER_LOG_LINE) {
            log::warn!("accepting a client failed: {error}");
        }
        count(Count::accept_failures);
        if std::mem::replace(&mut self.has_failed, true) {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
        }
    }
}
