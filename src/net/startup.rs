//! Clients that come while the process starts: the kernel takes them from the first act of a start on, and each gets a final
//! answer in time, from the front itself or, where the rest of the start takes long, a refusal.

use super::budget::{Budget, ByteBudget};
use super::listen::{self, Closing};
use super::momentary;
use super::socket::Socket;
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
        closing: Closing,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;

    /// Refuses a client that the start keeps waiting: the last word on its connection.
    fn refuse_starting(
        stream: Socket,
        bytes: ByteBudget,
    ) -> impl Future<Output = Result<(), Self::Error>> + Send;
}

/// So long after a listener's first accept whoever it accepts may have come before that.
const QUEUE_EMPTY_AFTER: Duration = Duration::from_millis(50);

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

impl<F: ClientFront> StartGate<F> {
    /// Takes clients from a listener up to the end of the process; they wait here until the front is there. The listener has
    /// been open since `bound` at the earliest. `counter` counts clients.
    pub async fn take_clients(
        self,
        listener: TcpListener,
        bound: Instant,
        counter: Count,
        budget: Budget,
        closing: Closing,
    ) {
        let bytes = budget.bytes.clone();
        let began = Instant::now();
        let serve = move |stream: Socket, closing: Closing| {
            let (gate, bytes) = (self.clone(), bytes.clone());
            let accepted = Instant::now();
            // Those that come at once may have stood in the listener's queue.
            let queued = accepted < began + QUEUE_EMPTY_AFTER;
            let waits_since = (queued || !gate.is_open()).then_some(if queued { bound } else { accepted });
            async move {
                match gate.passed().await {
                    Some(front) => front.serve(waits_since, stream, closing).await,
                    None => F::refuse_starting(stream, bytes).await,
                }
            }
        };
        listen::listen(listener, counter, budget.clients.clone(), closing, serve).await;
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
            Some(descriptor) => listen::inherited(descriptor).map(ClientListener::Inherited),
            None => Ok(ClientListener::Own(momentary::listen(address).await?, address.to_string())),
        }
    }

    /// Whether it is where clients are told to come.
    pub fn fits(&self, address: &str) -> bool {
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
