//! Accepts clients for any front, and defines the phases of the process from startup to exit.

use super::accept_queue::{AcceptQueue, Listener, QueuedClient};
use super::budget::DescriptorBudget;
use super::client_close::{CloseReason, CloseReport, ConnectionClosed, CONNECTION_LOG};
use super::socket::Socket;
use crate::core::counters::{count, Count};
use futures_util::future::FusedFuture;
use futures_util::FutureExt;
use listenfd::ListenFd;
use socket2::SockRef;
use std::fmt::Display;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{watch, OwnedSemaphorePermit};

/// How long a client may wait for a permit before it is refused. It is refused sooner where others wait to be
/// refused.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(200);

/// The phases of the process, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessPhase {
    /// Clients can connect, but are not served yet.
    Starting,
    /// Clients are served.
    Serving,
    /// Another process accepts new clients; each connection here closes with its next answer.
    HandingOver,
    /// Connections close between requests.
    Closing,
    /// No client is accepted any more, not even to be refused.
    Ended,
}

/// Reports the phase of the process.
pub type PhaseReceiver = watch::Receiver<ProcessPhase>;

/// Waits until the process has reached `phase` or a later one.
pub async fn wait_for_phase(phase_rx: &mut PhaseReceiver, phase: ProcessPhase) {
    let _ = phase_rx.wait_for(|c| *c >= phase).await;
}

/// Waits until connections are to be closed.
pub async fn wait_for_closing(phase_rx: &mut PhaseReceiver) {
    wait_for_phase(phase_rx, ProcessPhase::Closing).await;
}

/// Takes over the listener that the platform keeps open for this proxy and that each of its processes inherits. The
/// socket is never shut down here, as that would stop it for the other processes too; dropping it closes only this
/// process's copy.
///
/// # Errors
/// When the descriptor is not a listening TCP socket.
pub fn inherited_listener(descriptor: &str) -> Result<TcpListener, Error> {
    let invalid =
        |what: &str| Error::new(ErrorKind::InvalidInput, format!("descriptor '{descriptor}' {what}"));
    let number: u32 = descriptor.parse().map_err(|_| invalid("is no number"))?;
    if number < 3 {
        return Err(invalid("is a standard stream"));
    }
    // `listenfd` takes a descriptor by number only from these variables; nothing else reads them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor);
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?.ok_or_else(|| invalid("is taken"))?;
    if !SockRef::from(&listener).is_listener()? {
        // The descriptor belongs to somebody else, so it must stay open.
        std::mem::forget(listener);
        return Err(invalid("is a socket that does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Why a client is refused before any of its requests has reached a front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The front is not ready yet.
    Starting,
    /// No permit became free, or this client's permit was needed for others.
    NoPermit,
    /// The client did not send a request in time.
    Silent,
    /// The process is shutting down.
    Ending,
}

impl Refusal {
    /// The refusal sent to a client that has had no answer yet, when its connection closes for `reason`.
    pub fn for_close(reason: CloseReason) -> Self {
        match reason {
            CloseReason::MadeRoom => Refusal::NoPermit,
            CloseReason::Shutdown => Refusal::Ending,
            _ => Refusal::Silent,
        }
    }

    /// Counts a client that no front has served.
    pub fn count(self) {
        count(match self {
            Refusal::Starting => Count::refused_starting,
            Refusal::NoPermit => Count::refused_no_permit,
            Refusal::Ending => Count::refused_ending,
            // A front had accepted the client, and the closed connection is counted already.
            Refusal::Silent => return,
        });
    }

    /// The text sent to the client.
    pub fn text(self) -> &'static str {
        match self {
            Refusal::Starting => "the proxy is starting",
            Refusal::NoPermit => "no connection is free; trying again is harmless",
            Refusal::Silent => "nothing was asked in time",
            Refusal::Ending => "the proxy is shutting down",
        }
    }
}

/// Handles accepted connections.
pub trait ConnectionHandler: Clone + Send + 'static {
    /// An error that breaks a connection.
    type Error: Display + Send;

    /// Serves one client until its connection closes. `connected_since` is the earliest time at which it can have
    /// connected.
    fn serve(
        &self,
        connected_since: Instant,
        stream: Socket,
        phase_rx: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send + 'static;

    /// Refuses one client with a final message. Once `finish_now` completes, nothing is waited for any more.
    fn refuse(
        &self,
        stream: Socket,
        why: Refusal,
        finish_now: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send + 'static;
}

/// A listener and what its clients need. A client without a permit does not block those behind it: it waits in a
/// task of its own, under a permit for refusals.
pub struct Acceptor<S, L = TcpListener> {
    queue: AcceptQueue<L>,
    counter: Count,
    clients: DescriptorBudget,
    handler: S,
}

impl<S: ConnectionHandler, L: Listener> Acceptor<S, L> {
    /// Creates an acceptor that counts its clients by `counter`. The listener has been open since `bound` at the
    /// earliest.
    pub fn new(listener: L, bound: Instant, counter: Count, clients: DescriptorBudget, handler: S) -> Self {
        Acceptor { queue: AcceptQueue::new(listener, bound), counter, clients, handler }
    }

    /// Accepts clients until shutdown begins. Clients that are in the listener's backlog by then are accepted as
    /// well, as they would be reset when the listener is closed. Returns the acceptor for [`Acceptor::refuse_all`],
    /// except where another process accepts the clients.
    pub async fn accept_all(mut self, mut phase_rx: PhaseReceiver) -> Option<Self> {
        // The kernel is asked first: the runtime has not heard yet of clients that came before it knew the listener.
        loop {
            let queued = tokio::select! {
                biased;
                () = wait_for_phase(&mut phase_rx, ProcessPhase::HandingOver) => None,
                queued = self.queue.next_queued() => queued,
            };
            let Some(client) = queued else { break };
            self.admit(client, &phase_rx).await;
        }
        while let Some(client) = self.queue.next_until(&mut phase_rx, ProcessPhase::HandingOver).await {
            self.admit(client, &phase_rx).await;
        }
        // During a handover the remaining clients in the backlog belong to the next process, which shares the
        // listener.
        if *phase_rx.borrow() < ProcessPhase::Closing {
            return None;
        }
        while let Some(client) = self.queue.next_queued().await {
            self.admit(client, &phase_rx).await;
        }
        Some(self)
    }

    /// Refuses all further clients until the process ends.
    pub async fn refuse_all(mut self, mut phase_rx: PhaseReceiver) {
        while let Some(client) = self.queue.next_until(&mut phase_rx, ProcessPhase::Ended).await {
            self.refuse_late(client).await;
        }
        while let Some(client) = self.queue.next_queued().await {
            self.refuse_late(client).await;
        }
    }

    /// Serves a client: at once, or when a permit becomes free within the timeout. Refuses it otherwise.
    async fn admit(&self, client: QueuedClient, phase_rx: &PhaseReceiver) {
        let QueuedClient { stream, peer, connected_since } = client;
        let client = peer.port();
        let stream = Socket::new(stream);
        stream.limit_unsent();
        if let Some(permit) = self.clients.try_permit() {
            count(self.counter);
            log::debug!(target: CONNECTION_LOG, client; "accepted");
            tokio::spawn(run_and_report(
                client,
                permit,
                self.handler.serve(connected_since, stream, phase_rx.clone()),
            ));
            return;
        }
        let Some(refusal_permit) = self.clients.refusal_permit().await else { return };
        let (clients, counter, handler) = (self.clients.clone(), self.counter, self.handler.clone());
        let phase_rx = phase_rx.clone();
        tokio::spawn(async move {
            let budget = clients.clone();
            let mut finish_now = Box::pin(async move { budget.refusal_eviction_requested().await }.fuse());
            let permit = tokio::select! {
                biased;
                permit = tokio::time::timeout(PERMIT_TIMEOUT, clients.permit()) => permit.ok().flatten(),
                () = &mut finish_now => None,
            };
            let Some(permit) = permit else {
                log::debug!(target: CONNECTION_LOG, client; "refused, as no permit came free");
                let finish_now_if_pending = async move {
                    if !finish_now.is_terminated() {
                        finish_now.await;
                    }
                };
                let refused = handler.refuse(stream, Refusal::NoPermit, finish_now_if_pending);
                return run_and_report(client, refusal_permit, refused).await;
            };
            drop(refusal_permit);
            count(counter);
            log::debug!(target: CONNECTION_LOG, client; "accepted, with a permit that came free");
            run_and_report(client, permit, handler.serve(connected_since, stream, phase_rx)).await;
        });
    }

    /// Refuses a client that connected too late.
    async fn refuse_late(&self, client: QueuedClient) {
        let QueuedClient { stream, peer, .. } = client;
        // Clients' permits become free during shutdown, and many clients are refused faster in parallel.
        let permit = match self.clients.try_permit() {
            Some(permit) => Some(permit),
            None => self.clients.refusal_permit().await,
        };
        let Some(permit) = permit else { return };
        let client = peer.port();
        log::debug!(target: CONNECTION_LOG, client; "refused, as the process ends");
        let budget = self.clients.clone();
        let finish_now = async move { budget.refusal_eviction_requested().await };
        let refused = self.handler.refuse(Socket::new(stream), Refusal::Ending, finish_now);
        tokio::spawn(run_and_report(client, permit, refused));
    }
}

/// Runs a connection's handler and reports why the connection closed.
async fn run_and_report<E: Display>(
    client: u16,
    permit: OwnedSemaphorePermit,
    served: impl Future<Output = Result<ConnectionClosed, E>>,
) {
    let close_report = CloseReport::new(client);
    close_report.report(&served.await);
    drop(permit);
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod tests;
