//! Clients that connect while the process starts. The listener is opened first, so the kernel accepts connections
//! from then on, and each client gets a final answer in time: from the front itself or, where startup takes long, a
//! refusal.

use super::budget::{Budget, ByteBudget};
use super::client_close::ConnectionClosed;
use super::listen::{self, Acceptor, ConnectionHandler, PhaseReceiver, Refusal};
use super::socket::Socket;
use super::transient;
use crate::core::counters::Count;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a client waits for a front that is not ready yet. An answer is due half a second after the request's
/// deadline at the latest, however short the deadline is, and an earlier refusal lets the client go elsewhere.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(200);

/// A front that serves clients' connections.
pub trait ClientFront: Send + Sync + 'static {
    /// An error that breaks a connection.
    type Error: Display + Send;

    /// Serves one client until its connection closes. Data that has arrived already may have been sent at any time
    /// since `waits_since`.
    fn serve(
        self: Arc<Self>,
        waits_since: Option<Instant>,
        stream: Socket,
        phase_rx: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send;

    /// Refuses a client with a final message. Once `finish_now` completes, nothing is waited for any more.
    fn refuse(
        stream: Socket,
        bytes: ByteBudget,
        why: Refusal,
        finish_now: impl Future<Output = ()> + Send,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send;
}

/// A client that has been connected for longer than this was not read immediately.
const IMMEDIATE: Duration = Duration::from_millis(5);

/// Opens a [`StartGate`] once the front is ready.
pub struct GateOpener<F>(watch::Sender<Option<Arc<F>>>);

/// Where a front's clients wait until the front is ready.
pub struct StartGate<F>(watch::Receiver<Option<Arc<F>>>);

impl<F> Clone for StartGate<F> {
    fn clone(&self) -> Self {
        StartGate(self.0.clone())
    }
}

/// Creates a closed gate and its opener.
pub fn gate<F>() -> (GateOpener<F>, StartGate<F>) {
    let (opener, gate) = watch::channel(None);
    (GateOpener(opener), StartGate(gate))
}

impl<F> GateOpener<F> {
    /// Lets clients through to `front`, those that are waiting first.
    pub fn open(&self, front: Arc<F>) {
        self.0.send_replace(Some(front));
    }
}

/// Passes clients to a front once it is ready.
pub struct Gated<F> {
    gate: StartGate<F>,
    bytes: ByteBudget,
}

impl<F> Clone for Gated<F> {
    fn clone(&self) -> Self {
        Gated { gate: self.gate.clone(), bytes: self.bytes.clone() }
    }
}

impl<F: ClientFront> ConnectionHandler for Gated<F> {
    type Error = F::Error;

    fn serve(
        &self,
        connected_since: Instant,
        stream: Socket,
        phase_rx: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, F::Error>> + Send + 'static {
        let (gate, bytes) = (self.gate.clone(), self.bytes.clone());
        // Data read immediately has not waited; data read later may have arrived right after the connection.
        let waited = !gate.is_open() || connected_since.elapsed() >= IMMEDIATE;
        let waits_since = waited.then_some(connected_since);
        async move {
            match gate.wait_open().await {
                Some(front) => front.serve(waits_since, stream, phase_rx).await,
                None => F::refuse(stream, bytes, Refusal::Starting, std::future::pending()).await,
            }
        }
    }

    fn refuse(
        &self,
        stream: Socket,
        why: Refusal,
        finish_now: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = Result<ConnectionClosed, F::Error>> + Send + 'static {
        F::refuse(stream, self.bytes.clone(), why, finish_now)
    }
}

impl<F: ClientFront> StartGate<F> {
    /// Creates an acceptor whose clients wait at this gate until the front is ready. The listener has been open
    /// since `bound` at the earliest. `counter` counts the clients.
    pub fn acceptor(
        self,
        listener: TcpListener,
        bound: Instant,
        counter: Count,
        budget: &Budget,
    ) -> Acceptor<Gated<F>> {
        let gated = Gated { gate: self, bytes: budget.bytes.clone() };
        Acceptor::new(listener, bound, counter, budget.clients.clone(), gated)
    }
}

impl<F> StartGate<F> {
    /// Whether the front is ready, so that clients do not wait.
    pub fn is_open(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns the front, immediately if it is ready. Returns `None` if it is not ready within `MAX_STARTUP_WAIT`.
    /// Cancel safe.
    pub async fn wait_open(mut self) -> Option<Arc<F>> {
        let opened = tokio::time::timeout(MAX_STARTUP_WAIT, self.0.wait_for(Option::is_some)).await;
        opened.ok()?.ok()?.clone()
    }
}

/// The clients' listener, which is opened first during startup.
pub enum ClientListener {
    /// Opened by this process at the given address.
    Own(TcpListener, String),
    /// Kept open by the platform; another process of this proxy may be serving from it.
    Inherited(TcpListener),
}

impl ClientListener {
    /// Takes over the listener with the descriptor `inherited`, or else listens at `address`.
    ///
    /// # Errors
    /// When the descriptor or the address cannot be used.
    pub async fn bind(inherited: Option<&str>, address: &str) -> io::Result<Self> {
        match inherited {
            Some(descriptor) => listen::inherited_listener(descriptor).map(ClientListener::Inherited),
            None => Ok(ClientListener::Own(transient::listen(address).await?, address.to_string())),
        }
    }

    /// Whether clients that connect to `address` reach this listener.
    pub fn has_address(&self, address: &str) -> bool {
        match self {
            ClientListener::Own(_, bound) => bound == address,
            ClientListener::Inherited(_) => true,
        }
    }

    /// Returns the listening socket.
    pub fn into_inner(self) -> TcpListener {
        match self {
            ClientListener::Own(listener, _) | ClientListener::Inherited(listener) => listener,
        }
    }
}

#[cfg(test)]
#[path = "startup_tests.rs"]
mod tests;
