//! The planned end of the process: clients are taken for a while, then connections end between requests, and what was taken is
//! answered.

use crate::clock::Clock;
use crate::interface::Time;
use crate::net::answer_limit::AnswerLimit;
use crate::net::budget::DescriptorBudget;
use crate::net::client_listeners::ClientListeners;
use crate::net::listen::ProcessPhase;
use std::future::Future;
use std::time::Duration;
use tokio::sync::watch;

/// Time beyond the longest deadline that open requests get after new clients are no longer taken.
const LAST_ANSWERS: Duration = Duration::from_millis(200);
/// The platform's protocol: a process may be killed so long after SIGTERM, in us, beyond the longest deadline, which counts as
/// three seconds at most.
const KILL_MARGIN: Time = 700_000;
const LONGEST_BEFORE_KILL: Time = 3_000_000;
/// Answers are to be there so long before that, in us.
const ANSWER_LEAD: Time = 60_000;
/// How long those may take that are refused at the very end.
const LAST_REFUSALS: Duration = Duration::from_millis(500);
/// How long the last writing of what was learned may take: a disk that does not answer holds no end up.
const LAST_WRITING: Duration = Duration::from_secs(2);
/// Between two looks whether all connections have ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What the end of the process needs.
pub struct Shutdown {
    /// The clock.
    pub clock: Clock,
    /// Tells all how far the process is.
    pub phase: watch::Sender<ProcessPhase>,
    /// What takes clients.
    pub accepting: ClientListeners,
    /// Permits of clients' connections.
    pub clients: DescriptorBudget,
    /// Until when requests may be answered.
    pub answer_limit: AnswerLimit,
}

impl Shutdown {
    /// Ends the process in order. `peer_alive`: another process takes clients from the same listener. New clients are taken
    /// for `accept_after_sigterm`; the longest deadline of requests is asked for after that; `last_writing` comes when all have their answers.
    pub async fn run(
        mut self,
        peer_alive: bool,
        accept_after_sigterm: Duration,
        longest_deadline: impl FnOnce() -> Time,
        last_writing: impl Future<Output = ()>,
    ) {
        if peer_alive {
            // Whoever comes from now on is the next process's, which has the same listener.
            log::info!("told to end: connections close with their next answer, the others in a while");
            let _ = self.phase.send(ProcessPhase::HandingOver);
        } else {
            log::info!(
                "told to end: clients are still taken for a while, then connections close between requests"
            );
        }
        let told_at = self.clock.now();
        tokio::time::sleep(accept_after_sigterm).await;
        // What was taken is owed its answer: the settings say how long the last of it may take, and days differ in that.
        let longest = longest_deadline();
        let killed_at = told_at + longest.min(LONGEST_BEFORE_KILL) + KILL_MARGIN;
        self.answer_limit.set(killed_at - ANSWER_LEAD);
        let _ = self.phase.send(ProcessPhase::Closing);
        let ends = self.clock.now() + longest + LAST_ANSWERS.as_micros() as Time;
        let answered = async {
            // Whoever the machine has accepted is taken before it counts that no connection is open.
            self.accepting.serve_backlogs().await;
            all_ended(&self.clients).await;
        };
        let _ = tokio::time::timeout_at(self.clock.instant(ends), answered).await;
        let _ = tokio::time::timeout(LAST_WRITING, last_writing).await;
        let _ = self.phase.send(ProcessPhase::Ended);
        let refused = async {
            self.accepting.refuse_backlogs().await;
            all_ended(&self.clients).await;
        };
        let _ = tokio::time::timeout(LAST_REFUSALS, refused).await;
    }
}

async fn all_ended(clients: &DescriptorBudget) {
    while !clients.all_permits_free() {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
