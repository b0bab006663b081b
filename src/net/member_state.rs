//! What a member's actor must know at once and must not miss: set by the fleet, read by the actor and by the tasks that run
//! its attempts. Orders in the actor's mailbox only hasten what stands here; one that finds no room loses nothing.

use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::Attempt;
use crate::policy::begin::{client_check_due, AttemptKey, BeginContext, BeginGate, WithholdReason};
use crate::settings::SocketTimes;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state itself.
#[derive(Debug)]
pub struct MemberState {
    /// Which attempts may begin.
    pub gate: BeginGate,
    /// Where the member listens.
    pub address: SocketAddr,
    /// How often it has moved: a connection from before leads to whoever has its address now.
    pub moves: u32,
    /// How often its idle connections were to be closed.
    pub idle_closes: u32,
    /// Times for its connections.
    pub times: SocketTimes,
}

/// The same for all that share it. No lock is held while anything is waited for.
#[derive(Debug, Clone)]
pub struct SharedMemberState(Arc<Mutex<MemberState>>);

impl SharedMemberState {
    /// A member that listens there, and has no attempts.
    pub fn new(address: SocketAddr, times: SocketTimes) -> Self {
        let state = MemberState { gate: BeginGate::default(), address, moves: 0, idle_closes: 0, times };
        SharedMemberState(Arc::new(Mutex::new(state)))
    }

    /// Looks at it, or changes it.
    pub fn lock(&self) -> MutexGuard<'_, MemberState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The member is to be found there from now on. Nothing that waits may begin at another.
    pub fn moves_to(&self, address: SocketAddr) -> bool {
        let mut state = self.lock();
        let moved = state.address != address;
        if moved {
            (state.address, state.moves) = (address, state.moves + 1);
            state.gate.withdraw_all();
        }
        moved
    }

    /// Whether an attempt begins now; it is told right before its first byte. However long it took to come by the
    /// connection, and whatever stood still meanwhile.
    ///
    /// # Errors
    /// Why it must not.
    pub fn begin(&self, attempt: &Attempt, clock: &Clock) -> Result<(), WithholdReason> {
        let now = clock.now();
        let moment = BeginContext {
            now,
            rules_until: attempt.rules_until,
            dedup_until: attempt.dedup_until,
            fresh_until: attempt.fresh_until,
            stop_at: attempt.stop_at,
            client_gone: client_check_due(now, attempt.client_seen) && attempt.client_gone(),
        };
        let begun = self.lock().gate.begin(attempt.key(), moment);
        if let Err(why) = begun {
            count(withheld(why));
            log::debug!(
                target: crate::core::REQUEST_LOG_TARGET, id = attempt.id.0, attempt = attempt.number, why:? = why;
                "withheld"
            );
        }
        begun
    }

    /// Whether the attempt is to be made at all any more.
    pub fn waits(&self, key: AttemptKey) -> bool {
        self.lock().gate.is_waiting(key)
    }
}

fn withheld(why: WithholdReason) -> Count {
    match why {
        WithholdReason::Withdrawn => Count::withheld_withdrawn,
        WithholdReason::RulesLapsed => Count::withheld_rules_lapsed,
        WithholdReason::Forgotten => Count::withheld_forgotten,
        WithholdReason::TooOld => Count::withheld_too_old,
        WithholdReason::Late => Count::withheld_late,
        WithholdReason::ClientGone => Count::withheld_client_gone,
    }
}
