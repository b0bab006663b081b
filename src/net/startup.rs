//! Clients that come while the process starts: the kernel takes them from the first act of a start on, and each gets a final
//! answer in time, from the front itself or, where the rest of the start takes long, a refusal.

use super::listen;
use super::momentary;
use std::io::Result;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a client is held for a front that is not there yet. An answer may come half a second after its request's time,
/// however short that is, and a refusal sooner than that lets the client go elsewhere.
const STARTING_GRACE: Duration = Duration::from_millis(200);

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

impl<F> StartGate<F> {
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
    pub async fn bind(inherited: Option<&str>, address: &str) -> Result<Self> {
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
