//! Clients that come while the process starts: the kernel takes them from the first act of a start on, and each gets a final
//! answer in time, from the front itself or, where the rest of the start takes long, a refusal.

use super::budget::{Budget, ByteBudget};
use super::client_close::ConnectionClosed;
use super::listen::{self, Acceptor, PhaseReceiver, Refusal, Serves};
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

/// How long a client is held for a front that is not there yet. An answer may come half a second after its request's time,
/// however short that is, and a refusal sooner than that lets the client go elsewhere.
const STARTING_GRACE: Duration = Duration::from_millis(200);

/// A front that takes clients' connections.
pub trait ClientFront: Send + Sync + 'static {
    /// How a connection breaks.
    type Error: Display + Send;

    /// Serves one client to its end. What it has sent already may have been sent at any time since `waits_since`.
    fn serve(
        self: Arc<Self>,
        waits_since: Option<Instant>,
        stream: Socket,
        closing: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send;

    /// Refuses a client: the last word on its connection. Once `hurried` it waits for nothing any more.
    fn refuse(
        stream: Socket,
        bytes: ByteBudget,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send,
    ) -> impl Future<Output = Result<ConnectionClosed, Self::Error>> + Send;
}

/// A client that came so long ago has not been read at once.
const AT_ONCE: Duration = Duration::from_millis(5);

/// Lets clients through to a front, once there is one.
pub struct GateOpener<F>(watch::Sender<Option<Arc<F>>>);

/// Where the clients of a front wait for it.
pub struct StartGate<F>(watch::Receiver<Option<Arc<F>>>);

impl<F> Clone for StartGate<F> {
    fn clone(&self) -> Self {
        StartGate(self.0.clone())
    }
}

/// A gate that is shut, and what opens it.
pub fn gate<F>() -> (GateOpener<F>, StartGate<F>) {
    let (opener, gate) = watch::channel(None);
    (GateOpener(opener), StartGate(gate))
}

impl<F> GateOpener<F> {
    /// The front serves from now on, those that wait first.
    pub fn open(&self, front: Arc<F>) {
        self.0.send_replace(Some(front));
    }
}

/// Has clients served by a front, once it is there.
pub struct Gated<F> {
    gate: StartGate<F>,
    bytes: ByteBudget,
}

impl<F> Clone for Gated<F> {
    fn clone(&self) -> Self {
        Gated { gate: self.gate.clone(), bytes: self.bytes.clone() }
    }
}

impl<F: ClientFront> Serves for Gated<F> {
    type Error = F::Error;

    fn serve(
        &self,
        came: Instant,
        stream: Socket,
        closing: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, F::Error>> + Send + 'static {
        let (gate, bytes) = (self.gate.clone(), self.bytes.clone());
        // What is read at once has not waited; what is read later may have come right behind the connection.
        let waited = !gate.is_open() || came.elapsed() >= AT_ONCE;
        let waits_since = waited.then_some(came);
        async move {
            match gate.passed().await {
                Some(front) => front.serve(waits_since, stream, closing).await,
                None => F::refuse(stream, bytes, Refusal::Starting, std::future::pending()).await,
            }
        }
    }

    fn refuse(
        &self,
        stream: Socket,
        why: Refusal,
        hurried: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = Result<ConnectionClosed, F::Error>> + Send + 'static {
        F::refuse(stream, self.bytes.clone(), why, hurried)
    }
}

impl<F: ClientFront> StartGate<F> {
    /// What takes clients from a listener; they wait here until the front is there. The listener has been open since
    /// `bound` at the earliest. `counter` counts clients.
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
    /// Whether nobody has to wait.
    pub fn is_open(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// The front, at once where it serves already; none where it does not within the time that a client is held. Cancel
    /// safe.
    pub async fn passed(mut self) -> Option<Arc<F>> {
        let opened = tokio::time::timeout(STARTING_GRACE, self.0.wait_for(Option::is_some)).await;
        opened.ok()?.ok()?.clone()
    }
}

/// The clients' listener, from the first act of a start on.
pub enum ClientListener {
    /// This process's own, at the address that it was told.
    Own(TcpListener, String),
    /// The platform holds it, and another process of this proxy may be serving from it.
    Inherited(TcpListener),
}

impl ClientListener {
    /// Listens at `address`, or takes the listener that has this descriptor.
    ///
    /// # Errors
    /// When neither can be done.
    pub async fn bind(inherited: Option<&str>, address: &str) -> io::Result<Self> {
        match inherited {
            Some(descriptor) => listen::inherited_listener(descriptor).map(ClientListener::Inherited),
            None => Ok(ClientListener::Own(transient::listen(address).await?, address.to_string())),
        }
    }

    /// Whether it is where clients are told to come.
    pub fn has_address(&self, address: &str) -> bool {
        match self {
            ClientListener::Own(_, bound) => bound == address,
            ClientListener::Inherited(_) => true,
        }
    }

    /// The socket itself.
    pub fn into_inner(self) -> TcpListener {
        match self {
            ClientListener::Own(listener, _) | ClientListener::Inherited(listener) => listener,
        }
    }
}

#[cfg(test)]
#[path = "startup_tests.rs"]
mod tests;
