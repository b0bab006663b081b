//! The orderly shutdown of the process: new clients are accepted for a while, then connections are closed
//! between requests, and every accepted request is answered.

use crate::clock::Clock;
use crate::interface::Time;
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::DescriptorBudget;
use crate::net::client_listeners::ClientListeners;
use crate::net::listen::ProcessPhase;
use std::future::Future;
use std::time::Duration;
use tokio::sync::watch;

/// Time that open requests get in addition to the longest deadline once new clients are no longer accepted.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// The platform may kill a process once the longest deadline plus this margin has passed since SIGTERM, in
/// us.
const KILL_MARGIN: Time = 700_000;
/// The platform counts the longest deadline as three seconds at most, in us.
const DEADLINE_BEFORE_KILL_MAX: Time = 3_000_000;
/// Answers must have arrived this long before the platform may kill the process, in us.
const ANSWER_LEAD: Time = 60_000;
/// Time limit for refusing, at the very end, the clients that are still in the listeners' backlogs.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the last snapshot: an unresponsive disk must not delay the shutdown.
const FINAL_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks whether all connections are closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What the shutdown needs.
pub struct Shutdown {
    /// The clock.
    pub clock: Clock,
    /// Announces the phase of the process.
    pub phase: watch::Sender<ProcessPhase>,
    /// The clients' listeners.
    pub listeners: ClientListeners,
    /// The budget of permits for client connections.
    pub clients: DescriptorBudget,
    /// The time until which requests may be answered.
    pub answer_limit: AnswerLimit,
}

impl Shutdown {
    /// Shuts the process down. `peer_alive`: another process accepts clients from the same listener. New
    /// clients are accepted for `accept_after_sigterm`; then `longest_deadline` returns the longest deadline
    /// of requests; `final_snapshot` runs once all requests are answered.
    pub async fn run(
        mut self,
        peer_alive: bool,
        accept_after_sigterm: Duration,
        longest_deadline: impl FnOnce() -> Time,
        final_snapshot: impl Future<Output = ()>,
    ) {
        if peer_alive {
            // Clients that connect from now on are accepted by the other process, which has the same
            // listener.
            log::info!("shutting down: connections close with their next answer, idle ones after a while");
            let _ = self.phase.send(ProcessPhase::HandingOver);
        } else {
            log::info!(
                "shutting down: clients are still accepted for a while, then connections close between requests"
            );
        }
        let sigterm_at = self.clock.now();
        tokio::time::sleep(accept_after_sigterm).await;
        // Every accepted request must be answered. The settings in force now determine how long the last one
        // may take.
        let deadline = longest_deadline();
        let kill_at = sigterm_at + deadline.min(DEADLINE_BEFORE_KILL_MAX) + KILL_MARGIN;
        self.answer_limit.set(kill_at - ANSWER_LEAD);
        let _ = self.phase.send(ProcessPhase::Closing);
        let answers_until = self.clock.now() + deadline + ANSWER_MARGIN.as_micros() as Time;
        let answer_all = async {
            // Connections that the kernel has already accepted are served before the open connections are
            // counted.
            self.listeners.serve_backlogs().await;
            all_connections_closed(&self.clients).await;
        };
        let _ = tokio::time::timeout_at(self.clock.instant(answers_until), answer_all).await;
        let _ = tokio::time::timeout(FINAL_SNAPSHOT_TIMEOUT, final_snapshot).await;
        let _ = self.phase.send(ProcessPhase::Ended);
        let refuse_remaining = async {
            self.listeners.refuse_backlogs().await;
            all_connections_closed(&self.clients).await;
        };
        let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refuse_remaining).await;
    }
}

async fn all_connections_closed(clients: &DescriptorBudget) {
    while !clients.all_permits_free() {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}
