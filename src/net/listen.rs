//! Accepting clients, for whichever front, and how far the process is with its start and its end.

use super::accept_queue::{ClientQueue, Listener};
use super::budget::DescriptorBudget;
use super::client_close::{CloseReason, CloseReport, ConnectionClosed, CONNECTION_LOG};
use super::socket::Socket;
use super::stall;
use crate::core::counters::{count, Count};
use futures_util::future::FusedFuture;
use futures_util::FutureExt;
use listenfd::ListenFd;
use socket2::SockRef;
use std::fmt::Display;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit};

/// How long a client may wait for a permit before it is refused; sooner, where others want to be refused too.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// How far the process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessPhase {
    /// Clients are not taken yet.
    Starting,
    /// Clients are taken.
    Serving,
    /// Another process takes the clients; each connection here ends with its next answer.
    HandingOver,
    /// Connections end between requests.
    Closing,
    /// Nobody is taken any more, not even to be refused.
    Ended,
}

/// Tells how far the process is.
pub type PhaseReceiver = watch::Receiver<ProcessPhase>;

/// Waits until the process is so far.
pub async fn wait_for_phase(closing: &mut PhaseReceiver, phase: ProcessPhase) {
    let _ = closing.wait_for(|c| *c >= phase).await;
}

/// Waits until connections are to end.
pub async fn wait_for_closing(closing: &mut PhaseReceiver) {
    wait_for_phase(closing, ProcessPhase::Closing).await;
}

/// The listener that the platform holds open for this proxy and every process of it inherits. It is never shut down
/// here, which would end it for the others too: letting go of it closes this process's copy alone.
///
/// # Errors
/// When the descriptor is no listening TCP socket.
pub fn inherited_listener(descriptor: &str) -> Result<TcpListener, Error> {
    let wrong = |what: &str| Error::new(ErrorKind::InvalidInput, format!("descriptor '{descriptor}' {what}"));
    let number: u32 = descriptor.parse().map_err(|_| wrong("is no number"))?;
    if number < 3 {
        return Err(wrong("is a standard stream"));
    }
    // The library's way in for a descriptor by its number; nothing else reads these variables.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor);
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?.ok_or_else(|| wrong("is taken"))?;
    if !SockRef::from(&listener).is_listener()? {
        // Not ours to close.
        std::mem::forget(listener);
        return Err(wrong("is a socket that does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Why a client is refused of which no request has reached a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The front is not there yet.
    Starting,
    /// No permit came free, or others lacked this client's.
    NoPermit,
    /// The client has asked nothing in time.
    Silent,
    /// The process ends.
    Ending,
}

impl Refusal {
    /// What a client is told that was never answered when its connection ends for this reason.
    pub fn for_close(reason: CloseReason) -> Self {
        match reason {
            CloseReason::MadeRoom => Refusal::NoPermit,
            CloseReason::Shutdown => Refusal::Ending,
            _ => Refusal::Silent,
        }
    }

    /// Counts one more that no front has served.
    pub fn count(self) {
        count(match self {
            Refusal::Starting => Count::refused_starting,
            Refusal::NoPermit => Count::refused_no_permit,
            Refusal::Ending => Count::refused_ending,
            // A front had it, and the end of its connection counts.
            Refusal::Silent => return,
        });
    }

    /// What a client is told.
    pub fn text(self) -> &'static str {
        match self {
            Refusal::Starting => "the proxy is starting",
            Refusal::NoPermit => "no connection is free; trying again is harmless",
            Refusal::Silent => "nothing was asked in time",
            Refusal::Ending => "the proxy is shutting down",
        }
    }
}

/// What becomes of the connections that are accepted.
pub trait Serves: Clone + Send + 'static {
    /// How a connection breaks.
    type Error: Display + Send;

    /// Serves one client to its end, who came at this moment, at the earliest.
    fn serve(
        &self,
        came: Instant,
        stream: Socket,
        closing: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send + 'static;

    /// Refuses one: the last word on its connection. Once `hurried` it waits for nothing any more.
    fn refuse(
        &self,
        stream: Socket,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send + 'static;
}

/// A listener and what its clients need. Nobody who comes waits behind another: without a permit he has a task of his own, on a
/// permit for refusing.
pub struct Acceptor<S, L = TcpListener> {
    queue: ClientQueue<L>,
    /// When the listener was bound, at the earliest.
    bound: Instant,
    counter: Count,
    clients: DescriptorBudget,
    serves: S,
}

impl<S: Serves, L: Listener> Acceptor<S, L> {
    /// An acceptor that counts its clients by `counter`.
    pub fn new(listener: L, bound: Instant, counter: Count, clients: DescriptorBudget, serves: S) -> Self {
        Acceptor { queue: ClientQueue::new(listener), bound, counter, clients, serves }
    }

    /// Accepts clients until the end begins. Those that the machine has accepted by then and nobody has taken yet are taken as
    /// well: a listener let go of resets them. What comes back is for [`Acceptor::refuse_all`], where no other process takes the
    /// clients.
    pub async fn accept_all(self, mut closing: PhaseReceiver) -> Option<Self> {
        // Those that stand in the queue already may have come as soon as the listener was bound.
        loop {
            let queued = tokio::select! {
                biased;
                () = wait_for_phase(&mut closing, ProcessPhase::HandingOver) => None,
                queued = self.queue.next_queued() => queued,
            };
            let Some((stream, peer)) = queued else { break };
            self.admit(self.bound, stream, peer, &closing).await;
        }
        while let Some((stream, peer)) = self.queue.next_until(&mut closing, ProcessPhase::HandingOver).await
        {
            self.admit(came(), stream, peer, &closing).await;
        }
        // While the next process takes clients from the same listener, they are that one's.
        if *closing.borrow() < ProcessPhase::Closing {
            return None;
        }
        while let Some((stream, peer)) = self.queue.next_queued().await {
            self.admit(came(), stream, peer, &closing).await;
        }
        Some(self)
    }

    /// Refuses whoever comes still, up to the end of the process.
    pub async fn refuse_all(self, mut closing: PhaseReceiver) {
        while let Some((stream, peer)) = self.queue.next_until(&mut closing, ProcessPhase::Ended).await {
            self.turn_away(stream, peer).await;
        }
        while let Some((stream, peer)) = self.queue.next_queued().await {
            self.turn_away(stream, peer).await;
        }
    }

    /// Has a client served who may have come at this moment: at once, or once there is a permit; else refused.
    async fn admit(&self, came: Instant, stream: TcpStream, peer: SocketAddr, closing: &PhaseReceiver) {
        let client = peer.port();
        let stream = Socket::new(stream);
        if let Some(permit) = self.clients.try_permit() {
            count(self.counter);
            log::debug!(target: CONNECTION_LOG, client; "accepted");
            tokio::spawn(reported(client, permit, self.serves.serve(came, stream, closing.clone())));
            return;
        }
        let Some(refusal_permit) = self.clients.refusal_permit().await else { return };
        let (clients, counter, serves) = (self.clients.clone(), self.counter, self.serves.clone());
        let closing = closing.clone();
        tokio::spawn(async move {
            let budget = clients.clone();
            let mut hurried = Box::pin(async move { budget.refusal_eviction_requested().await }.fuse());
            let permit = tokio::select! {
                biased;
                permit = tokio::time::timeout(PERMIT_TIMEOUT, clients.permit()) => permit.ok().flatten(),
                () = &mut hurried => None,
            };
            let Some(permit) = permit else {
                log::debug!(target: CONNECTION_LOG, client; "refused, as no permit came free");
                let hurry = async move {
                    if !hurried.is_terminated() {
                        hurried.await;
                    }
                };
                let refused = serves.refuse(stream, Refusal::NoPermit, hurry);
                return reported(client, refusal_permit, refused).await;
            };
            drop(refusal_permit);
            count(counter);
            log::debug!(target: CONNECTION_LOG, client; "accepted, with a permit that came free");
            reported(client, permit, serves.serve(came, stream, closing)).await;
        });
    }

    /// Has a client refused that comes too late.
    async fn turn_away(&self, stream: TcpStream, peer: SocketAddr) {
        // Those of clients come free at the end, and a crowd is refused sooner by many at once.
        let permit = match self.clients.try_permit() {
            Some(permit) => Some(permit),
            None => self.clients.refusal_permit().await,
        };
        let Some(permit) = permit else { return };
        let client = peer.port();
        log::debug!(target: CONNECTION_LOG, client; "refused, as the process ends");
        let budget = self.clients.clone();
        let hurried = async move { budget.refusal_eviction_requested().await };
        let refused = self.serves.refuse(Socket::new(stream), Refusal::Ending, hurried);
        tokio::spawn(reported(client, permit, refused));
    }
}

/// When a client may have come that is accepted now: whoever came while the process was held up has stood in the queue.
fn came() -> Instant {
    stall::check().unwrap_or_else(Instant::now)
}

/// Carries out what becomes of a connection, and tells its end.
async fn reported<E: Display>(
    client: u16,
    permit: OwnedSemaphorePermit,
    served: impl Future<Output = Result<ConnectionClosed, E>>,
) {
    let report = CloseReport::new(client);
    report.tell(&served.await);
    drop(permit);
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod tests;
