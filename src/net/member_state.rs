//! State that the core must pass to a member's actor without loss or delay: set by `net::member_actors`, read
//! by the actor and by the tasks that run its attempts. Commands in the actor's mailbox only make the actor
//! look at it sooner, so a command that is dropped because the mailbox is full loses nothing.

use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{Attempt, REQUEST_LOG_TARGET};
use crate::interface::Time;
use crate::policy::begin::{client_check_due, AttemptKey, BeginContext, BeginGate, WithholdReason};
use crate::settings::SocketTimes;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state of a member.
#[derive(Debug)]
pub struct MemberState {
    /// Decides which attempts may begin.
    pub gate: BeginGate,
    /// The address at which the member listens.
    pub address: SocketAddr,
    /// How often the address has changed. A connection from before a change leads to the old address, which
    /// another process may use now.
    pub moves: u32,
    /// How often the actor has been requested to close the idle connections.
    pub idle_closes: u32,
    /// Timeouts of the member's connections.
    pub times: SocketTimes,
}

/// The state as shared between its users. The lock is never held while waiting.
#[derive(Debug, Clone)]
pub struct SharedMemberState(Arc<Mutex<MemberState>>);

impl SharedMemberState {
    /// The state of a member that listens at `address` and has no attempts.
    pub fn new(address: SocketAddr, times: SocketTimes) -> Self {
        let state = MemberState { gate: BeginGate::default(), address, moves: 0, idle_closes: 0, times };
        SharedMemberState(Arc::new(Mutex::new(state)))
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the member's address and returns whether it changed. If so, all pending attempts are withdrawn.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let mut state = self.lock();
        let moved = state.address != address;
        if moved {
            (state.address, state.moves) = (address, state.moves + 1);
            state.gate.withdraw_all();
        }
        moved
    }

    /// Marks an attempt as begun if it still may begin. Called right before its first byte is written, so
    /// that an attempt is not sent if it became invalid during the wait for a connection or a stall of the
    /// process. Returns the time limit for the member, in ms.
    ///
    /// # Errors
    /// The reason why the attempt must not begin.
    pub fn begin(&self, attempt: &Attempt, clock: &Clock) -> Result<Time, WithholdReason> {
        let now = clock.now();
        let context = BeginContext {
            now,
            rules_until: attempt.rules_until,
            dedup_until: attempt.dedup_until,
            fresh_until: attempt.fresh_until,
            stop_at: attempt.stop_at,
            client_gone: client_check_due(now, attempt.client_seen) && attempt.client_gone(),
        };
        let begun = self.lock().gate.begin(attempt.key(), context);
        match begun {
            Ok(time_limit) => log::debug!(
                target: REQUEST_LOG_TARGET,
                id = attempt.id.0, attempt = attempt.number, time_limit_ms = time_limit,
                since_arrival_us = now.saturating_sub(attempt.client_seen);
                "begun"
            ),
            Err(why) => {
                count(withheld_counter(why));
                log::debug!(
                    target: REQUEST_LOG_TARGET,
                    id = attempt.id.0, attempt = attempt.number, why:? = why;
                    "withheld"
                );
            }
        }
        begun
    }

    /// Whether the attempt has neither begun nor been withdrawn.
    pub fn is_pending(&self, key: AttemptKey) -> bool {
        self.lock().gate.is_waiting(key)
    }
}

fn withheld_counter(why: WithholdReason) -> Count {
    match why {
        WithholdReason::Withdrawn => Count::withheld_withdrawn,
        WithholdReason::RulesLapsed => Count::withheld_rules_lapsed,
        WithholdReason::Forgotten => Count::withheld_forgotten,
        WithholdReason::TooOld => Count::withheld_too_old,
        WithholdReason::Late => Count::withheld_late,
        WithholdReason::ClientGone => Count::withheld_client_gone,
    }
}
