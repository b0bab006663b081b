//! The ids of charging bookings, shared by all processes of one proxy.
//!
//! | state | an id that is not in this ledger | ends when |
//! | --- | --- | --- |
//! | alone | is new, since no other process can claim ids | another process asks for the ids: shared |
//! | awaiting peer | may be claimed by a process whose ids are unknown | it tells its ids: shared; it ends: alone |
//! | shared | is new for the process that claims it in the common store | the other process ends: alone |

use super::bookings::Ticket;
use super::counters::{count, Count};
use super::repeat_ledger::{Claim, ClaimRequest, LedgerSize, RepeatLedger, SharedEntry};
use crate::clock::Clock;
use crate::interface::Time;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a booking waits for another process's ids.
const PEER_IDS_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an id could not be claimed.
#[derive(Debug)]
pub enum ClaimError {
    /// It is claimed already, for a request with this fingerprint; `None` if the fingerprint cannot be read.
    Taken(Option<u64>),
    /// It is not claimed, and there is no room to claim it.
    NoSpace,
    /// It is unknown whether it is claimed.
    Unknown(io::Error),
}

/// Store in which two processes of a proxy claim ids exclusively. A claim outlives the process that made it.
pub trait ClaimStore: Send {
    /// Claims an id. If two processes try at the same time, exactly one succeeds.
    ///
    /// # Errors
    /// If the id is claimed already, or the store cannot be used.
    fn claim(&self, id: &str, entry: SharedEntry) -> Result<(), ClaimError>;

    /// The fingerprint of a claimed id, with `None` inside if it cannot be read; `None` if the id is not claimed.
    ///
    /// # Errors
    /// If the store cannot be read.
    fn find(&self, id: &str) -> io::Result<Option<Option<u64>>>;

    /// Releases a claim.
    ///
    /// # Errors
    /// If the store cannot be written; the id then stays claimed.
    fn release(&self, id: &str) -> io::Result<()>;
}

/// What one process tells another about its ledger besides the ids; times in us by the teller's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSummary {
    /// Number of ids in the ledger.
    pub ids: usize,
    /// Total size of their answers, in bytes.
    pub bytes: usize,
    /// When this summary was written.
    pub now: Time,
    /// Every id that was first sent at or after this time is known.
    pub complete_since: Time,
    /// How long the ledger remembers ids, in us.
    pub span: Time,
}

enum State {
    Alone,
    AwaitingPeer,
    Shared(Box<dyn ClaimStore>),
}

struct Inner {
    ledger: RepeatLedger<Ticket>,
    state: State,
    clock: Clock,
    /// How far the clock of the process that this one took over from was ahead. Ids are judged by the later of the
    /// two clocks, so that a step of the wall clock between two starts does not make an old id look new.
    clock_ahead: Time,
    limits: LedgerSize,
    retention: Time,
    /// How long ids are remembered while the other process may forget them earlier than this one.
    shared_retention: Time,
}

impl Inner {
    fn now(&self) -> Time {
        self.clock.now() + self.clock_ahead
    }

    /// Leaves half of the capacity that `held` does not use to the other process.
    fn halve_capacity(&mut self, held: LedgerSize) {
        self.ledger.set_capacity(self.ledger.size().plus(self.limits.minus(held).half()));
    }

    fn claim(&mut self, id: &str, request: ClaimRequest, ticket: Ticket) -> Claim<Ticket> {
        let now = self.now();
        let mut claim = self.ledger.claim(id, request, now, ticket.clone());
        if matches!(claim, Claim::NoRoom) {
            self.remove_expired(now);
            claim = self.ledger.claim(id, request, now, ticket);
        }
        let State::Shared(store) = &self.state else { return claim };
        match claim {
            Claim::New => {
                let Some(entry) = self.ledger.shared_entry(id, now) else { return Claim::New };
                let Err(error) = store.claim(id, entry) else { return Claim::New };
                self.ledger.remove(id);
                match error {
                    ClaimError::Taken(claimed_for) => claimed_by_peer(claimed_for, request.fingerprint),
                    ClaimError::NoSpace => Claim::NoRoom,
                    ClaimError::Unknown(e) => unprovable(&e),
                }
            }
            // The other process may have claimed the id; then the booking may have run and must not be refused.
            Claim::NoRoom | Claim::UnknownRetry => match store.find(id) {
                Ok(None) => claim,
                Ok(Some(claimed_for)) => claimed_by_peer(claimed_for, request.fingerprint),
                Err(e) => unprovable(&e),
            },
            other => other,
        }
    }

    fn remove_expired(&mut self, now: Time) {
        let expired = self.ledger.remove_expired(now);
        expired.iter().for_each(|id| self.release(id));
    }

    fn release(&self, id: &str) {
        if let State::Shared(store) = &self.state {
            if let Err(e) = store.release(id) {
                count(Count::repeat_ids_unshared);
                log::warn!("the claim of a repeat id could not be released: {e}");
            }
        }
    }
}

fn claimed_by_peer<T>(claimed_for: Option<u64>, fingerprint: u64) -> Claim<T> {
    match claimed_for {
        Some(claimed_for) if claimed_for != fingerprint => Claim::IdConflict,
        _ => Claim::ClaimedByPeer,
    }
}

fn unprovable<T>(error: &io::Error) -> Claim<T> {
    count(Count::repeat_ids_unshared);
    log::warn!("cannot find out whether a repeat id is claimed: {error}");
    Claim::Unprovable
}

/// The repeat ids of one proxy's bookings. Clones share the same ids.
#[derive(Clone)]
pub struct RepeatIds {
    inner: Arc<Mutex<Inner>>,
    peer_ids_known: Arc<watch::Sender<bool>>,
}

impl RepeatIds {
    /// Creates an empty ledger of up to this size, which remembers each id for `retention` us.
    pub fn new(limits: LedgerSize, retention: Time, clock: Clock) -> Self {
        let ledger = RepeatLedger::new(limits, retention, clock.now());
        let inner = Inner {
            ledger,
            state: State::Alone,
            clock,
            clock_ahead: 0,
            limits,
            retention,
            shared_retention: retention,
        };
        RepeatIds { inner: Arc::new(Mutex::new(inner)), peer_ids_known: Arc::new(watch::Sender::new(true)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The digest under which an id, which may have any length and content, is stored and claimed.
    pub fn digest(id: &str) -> String {
        let digest = Sha256::digest(id);
        let mut name = String::with_capacity(2 * digest.len());
        for byte in digest {
            let _ = write!(name, "{byte:02x}");
        }
        name
    }

    /// How long ids are remembered, in us.
    pub fn retention(&self) -> Time {
        self.inner().retention
    }

    /// Waits until the ids of the other process are known; false if that takes too long or until the deadline.
    /// Cancel safe.
    pub async fn wait_for_peer_ids(&self, deadline: Instant) -> bool {
        let mut peer_ids_known = self.peer_ids_known.subscribe();
        let timeout_at = deadline.min(Instant::now() + PEER_IDS_TIMEOUT);
        let result = tokio::time::timeout_at(timeout_at, peer_ids_known.wait_for(|known| *known)).await;
        result.is_ok()
    }

    /// Claims an id for a request. A new id is entered as running, both here and in the common store.
    pub(super) fn claim(&self, id: &str, request: ClaimRequest, ticket: Ticket) -> Claim<Ticket> {
        self.inner().claim(id, request, ticket)
    }

    /// Marks the request of an id as ended; its answer stays.
    pub fn mark_ended(&self, id: &str) {
        self.inner().ledger.mark_ended(id);
    }

    /// Releases an id whose request was refused and provably never ran, so that it may be tried again.
    pub fn release(&self, id: &str) {
        let mut inner = self.inner();
        inner.ledger.release(id);
        inner.release(id);
    }

    /// Whether no other process can claim ids.
    pub fn is_alone(&self) -> bool {
        matches!(self.inner().state, State::Alone)
    }

    /// Whether the ids of another process are still unknown.
    pub fn is_awaiting_peer(&self) -> bool {
        matches!(self.inner().state, State::AwaitingPeer)
    }

    /// Another process may have claimed ids: until it has told them, no id counts as new.
    pub fn expect_peer(&self) {
        self.inner().state = State::AwaitingPeer;
        self.peer_ids_known.send_replace(false);
    }

    /// From now on ids are claimed in the store, unless another process's ids are still unknown.
    pub fn share(&self, store: impl ClaimStore + 'static) {
        let mut inner = self.inner();
        if matches!(inner.state, State::Alone) {
            inner.state = State::Shared(Box::new(store));
        }
    }

    /// The summary for another process, which remembers ids for `peer_retention` us. From now on each process
    /// may use half of the remaining capacity, and the shorter of the two retention times applies to both.
    pub fn summarize_for_peer(&self, peer_retention: Time) -> LedgerSummary {
        let mut inner = self.inner();
        let now = inner.now();
        if matches!(inner.state, State::AwaitingPeer) {
            // The awaited process has ended, and ids that it entered until now may be lost.
            inner.ledger.set_complete_since(now);
        }
        inner.shared_retention = inner.retention.min(peer_retention);
        let (held, span) = (inner.ledger.size(), inner.retention);
        let shared_retention = inner.shared_retention;
        inner.ledger.set_retention(shared_retention);
        inner.halve_capacity(held);
        let LedgerSize { ids, bytes } = held;
        LedgerSummary { ids, bytes, now, complete_since: inner.ledger.complete_since(), span }
    }

    /// Takes in the other process's summary; every id in its ledger has been claimed in the store.
    pub fn accept_summary(&self, peer: LedgerSummary, store: impl ClaimStore + 'static) {
        let mut inner = self.inner();
        inner.clock_ahead = peer.now.saturating_sub(inner.clock.now());
        let now = inner.now();
        inner.shared_retention = inner.retention.min(peer.span);
        let known_for = peer.now.saturating_sub(peer.complete_since).min(inner.shared_retention);
        let shared_retention = inner.shared_retention;
        inner.ledger.set_complete_since(now.saturating_sub(known_for));
        inner.ledger.set_retention(shared_retention);
        inner.halve_capacity(LedgerSize { ids: peer.ids, bytes: peer.bytes });
        inner.state = State::Shared(Box::new(store));
        self.peer_ids_known.send_replace(true);
    }

    /// The other process has ended and every id in the store has been entered here, so ids need not be claimed there
    /// any more.
    pub fn stop_sharing(&self) {
        let mut inner = self.inner();
        let now = inner.now();
        // Ids that it had not told may be lost, and ids that it had told may have been forgotten after the shorter
        // retention time.
        let complete_since = match inner.state {
            State::Alone => inner.ledger.complete_since(),
            State::AwaitingPeer => now,
            State::Shared(_) => inner.ledger.complete_since().max(now.saturating_sub(inner.shared_retention)),
        };
        inner.ledger.set_complete_since(complete_since);
        let (retention, limits) = (inner.retention, inner.limits);
        inner.ledger.set_retention(retention);
        inner.ledger.set_capacity(limits);
        inner.state = State::Alone;
        self.peer_ids_known.send_replace(true);
    }

    /// Enters an id that was claimed by another process. One whose claim cannot be read is kept for the whole
    /// retention time.
    pub fn insert_foreign(&self, id: String, entry: Option<SharedEntry>) {
        let mut inner = self.inner();
        let (now, retention) = (inner.now(), inner.retention);
        let unreadable = SharedEntry { fingerprint: None, first_sent: 0, remaining: retention };
        inner.ledger.insert_foreign(id, entry.unwrap_or(unreadable), now);
    }

    /// The remaining capacity.
    pub fn free_capacity(&self) -> LedgerSize {
        let inner = self.inner();
        inner.ledger.capacity().minus(inner.ledger.size())
    }

    /// The digests of all ids.
    pub fn digests(&self) -> Vec<String> {
        self.inner().ledger.ids()
    }

    /// What another process needs to know about an id.
    pub fn entry(&self, id: &str) -> Option<SharedEntry> {
        let inner = self.inner();
        inner.ledger.shared_entry(id, inner.now())
    }
}
