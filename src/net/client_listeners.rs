//! All listeners of clients, from the start of the process to its end.

use super::budget::Budget;
use super::listen::{PhaseReceiver, ProcessPhase};
use super::startup::{ClientFront, StartGate};
use crate::core::counters::Count;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Refuses clients that come too late, up to the end of the process.
type RefusesLate = Pin<Box<dyn Future<Output = ()> + Send>>;

/// What takes clients.
pub struct ClientListeners {
    /// When the process began: nobody has waited longer for it.
    began: Instant,
    closing: PhaseReceiver,
    /// Each has something left for those that come too late, where no other process takes them.
    taking: JoinSet<Option<RefusesLate>>,
    refusing: JoinSet<()>,
}

impl ClientListeners {
    /// None yet. `closing` tells them how far the process is.
    pub fn new(began: Instant, closing: PhaseReceiver) -> Self {
        ClientListeners { began, closing, taking: JoinSet::new(), refusing: JoinSet::new() }
    }

    /// Takes clients, who wait at the gate until the front is there and are counted by `counter`; where they come.
    pub fn add<F: ClientFront>(
        &mut self,
        listener: TcpListener,
        counter: Count,
        budget: &Budget,
        gate: StartGate<F>,
    ) -> Option<SocketAddr> {
        let address = listener.local_addr().ok();
        let acceptor = gate.acceptor(listener, self.began, counter, budget);
        let closing = self.closing.clone();
        self.taking.spawn(async move {
            let acceptor = acceptor.accept_all(closing.clone()).await?;
            let refuses: RefusesLate = Box::pin(acceptor.refuse_all(closing));
            Some(refuses)
        });
        address
    }

    /// Waits, once connections are to end ([`ProcessPhase::Closing`]), until whoever the machine has accepted by then is taken; who comes
    /// later is refused. Cancel safe.
    pub async fn serve_backlogs(&mut self) {
        while let Some(listener) = self.taking.join_next().await {
            let refuses = listener.ok().flatten();
            refuses.into_iter().for_each(|refuses| drop(self.refusing.spawn(refuses)));
        }
    }

    /// Waits, once nobody is to be taken any more ([`ProcessPhase::Ended`]), until whoever the machine has accepted is being refused.
    pub async fn refuse_backlogs(&mut self) {
        debug_assert_eq!(*self.closing.borrow(), ProcessPhase::Ended);
        while self.refusing.join_next().await.is_some() {}
    }
}
