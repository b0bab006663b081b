//! The clients' listeners, from process start to process end.

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

/// Refuses clients that connect too late, until the process ends.
type LateRefusals = Pin<Box<dyn Future<Output = ()> + Send>>;

/// The listeners on which clients are accepted.
pub struct ClientListeners {
    /// When the process started, and so the earliest time at which a client can have connected.
    started: Instant,
    phase_rx: PhaseReceiver,
    /// One task per listener that accepts clients. Its result refuses late clients; there is none where another
    /// process accepts them.
    accepting: JoinSet<Option<LateRefusals>>,
    refusing: JoinSet<()>,
}

impl ClientListeners {
    /// Starts without listeners. `phase_rx` reports the phase of the process.
    pub fn new(started: Instant, phase_rx: PhaseReceiver) -> Self {
        ClientListeners { started, phase_rx, accepting: JoinSet::new(), refusing: JoinSet::new() }
    }

    /// Accepts clients of a listener; they wait at the gate until the front is ready and are counted by `counter`.
    /// Returns the listener's address.
    pub fn add<F: ClientFront>(
        &mut self,
        listener: TcpListener,
        counter: Count,
        budget: &Budget,
        gate: StartGate<F>,
    ) -> Option<SocketAddr> {
        let address = listener.local_addr().ok();
        let acceptor = gate.acceptor(listener, self.started, counter, budget);
        let phase_rx = self.phase_rx.clone();
        self.accepting.spawn(async move {
            let acceptor = acceptor.accept_all(phase_rx.clone()).await?;
            let refusals: LateRefusals = Box::pin(acceptor.refuse_all(phase_rx));
            Some(refusals)
        });
        address
    }

    /// Waits, once connections are being closed ([`ProcessPhase::Closing`]), until every client in the listeners'
    /// backlogs has been accepted. Clients that connect later are refused. Cancel safe.
    pub async fn serve_backlogs(&mut self) {
        while let Some(listener) = self.accepting.join_next().await {
            let refusals = listener.ok().flatten();
            refusals.into_iter().for_each(|refusals| drop(self.refusing.spawn(refusals)));
        }
    }

    /// Waits, at the very end ([`ProcessPhase::Ended`]), until a refusal has been started for every client in the
    /// backlogs.
    pub async fn refuse_backlogs(&mut self) {
        debug_assert_eq!(*self.phase_rx.borrow(), ProcessPhase::Ended);
        while self.refusing.join_next().await.is_some() {}
    }
}
