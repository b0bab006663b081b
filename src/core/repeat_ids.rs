//! The ids of charging bookings, as all processes of one proxy know them.
//!
//! | state | an id that is not entered here | ends by |
//! | --- | --- | --- |
//! | alone | is new: no other process can enter one | another process that asks for the ids: shared |
//! | unheard | may have been entered by another process that has not told its ids yet | its word: shared; its end: alone |
//! | shared | is new to whoever claims it in the store that both see | the other process's end: alone |

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

/// How long a booking waits for another process to tell its ids.
const UNHEARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an id could not be claimed.
#[derive(Debug)]
pub enum ClaimError {
    /// It is claimed already, for a request with this fingerprint; none where that cannot be read.
    Taken(Option<u64>),
    /// It is not claimed, and there is no room to claim it.
    NoSpace,
    /// Whether it is claimed cannot be told.
    Unknown(io::Error),
}

/// Where two processes of a proxy claim ids, each for itself alone. A claim outlives the process that made it.
pub trait ClaimStore: Send {
    /// Claims an id; of two processes that try at once one succeeds.
    ///
    /// # Errors
    /// When it is claimed already, or the store cannot be used.
    fn claim(&self, id: &str, entry: SharedEntry) -> Result<(), ClaimError>;

    /// The fingerprint of a claimed id, none within where it cannot be read; none where it is not claimed.
    ///
    /// # Errors
    /// When the store cannot be read.
    fn find(&self, id: &str) -> io::Result<Option<Option<u64>>>;

    /// Gives a claim back.
    ///
    /// # Errors
    /// When the store cannot be written; the id then stays claimed.
    fn release(&self, id: &str) -> io::Result<()>;
}

/// What one process tells of its ledger, beside the ids themselves; times in us by its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSummary {
    /// Ids that it holds.
    pub ids: usize,
    /// Bytes of their answers.
    pub bytes: usize,
    /// When this was written.
    pub now: Time,
    /// All ids that were first sent since then are known.
    pub complete_since: Time,
    /// How long it remembers ids, in us.
    pub span: Time,
}

enum State {
    Alone,
    Unheard,
    Shared(Box<dyn ClaimStore>),
}

struct Inner {
    ledger: RepeatLedger<Ticket>,
    state: State,
    clock: Clock,
    /// How far the clock of the process that this one took over from was ahead: ids are judged by the later one, so that
    /// a step of the wall clock between two starts makes no old id new.
    clock_ahead: Time,
    limits: LedgerSize,
    span: Time,
    /// How long ids are remembered while the other process may forget them sooner.
    shared_span: Time,
}

impl Inner {
    fn now(&self) -> Time {
        self.clock.now() + self.clock_ahead
    }

    /// Half of what is left beside `held` is the other process's.
    fn halve_capacity(&mut self, held: LedgerSize) {
        self.ledger.set_capacity(self.ledger.held().plus(self.limits.minus(held).half()));
    }

    fn claim(&mut self, id: &str, request: ClaimRequest, ticket: Ticket) -> Claim<Ticket> {
        let now = self.now();
        let mut claim = self.ledger.claim(id, request, now, ticket.clone());
        if matches!(claim, Claim::Full) {
            self.remove_expired(now);
            claim = self.ledger.claim(id, request, now, ticket);
        }
        let State::Shared(store) = &self.state else { return claim };
        match claim {
            Claim::New => {
                let Some(entry) = self.ledger.shared(id, now) else { return Claim::New };
                let Err(error) = store.claim(id, entry) else { return Claim::New };
                self.ledger.forget(id);
                match error {
                    ClaimError::Taken(by) => taken(by, request.fingerprint),
                    ClaimError::NoSpace => Claim::Full,
                    ClaimError::Unknown(e) => unknown(&e),
                }
            }
            // The other process may have it: then it may have run, and is not refused.
            Claim::Full => match store.find(id) {
                Ok(None) => Claim::Full,
                Ok(Some(by)) => taken(by, request.fingerprint),
                Err(e) => unknown(&e),
            },
            known => known,
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
                log::warn!("an id stays claimed: {e}");
            }
        }
    }
}

fn taken<T>(by: Option<u64>, fingerprint: u64) -> Claim<T> {
    match by {
        Some(other) if other != fingerprint => Claim::Differs,
        _ => Claim::Elsewhere,
    }
}

fn unknown<T>(error: &io::Error) -> Claim<T> {
    count(Count::repeat_ids_unshared);
    log::warn!("whether an id is claimed cannot be told: {error}");
    Claim::Unprovable
}

/// The ids of one proxy's bookings. Clones share them.
#[derive(Clone)]
pub struct RepeatIds {
    inner: Arc<Mutex<Inner>>,
    heard: Arc<watch::Sender<bool>>,
}

impl RepeatIds {
    /// None so far. Holds up to `limits`, each id for `span` us.
    pub fn new(limits: LedgerSize, span: Time, clock: Clock) -> Self {
        let ledger = RepeatLedger::new(limits, span, clock.now());
        let inner =
            Inner { ledger, state: State::Alone, clock, clock_ahead: 0, limits, span, shared_span: span };
        RepeatIds { inner: Arc::new(Mutex::new(inner)), heard: Arc::new(watch::Sender::new(true)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The name under which an id, of any length and bytes, is entered and claimed.
    pub fn digest(id: &str) -> String {
        let digest = Sha256::digest(id);
        let mut name = String::with_capacity(2 * digest.len());
        for byte in digest {
            let _ = write!(name, "{byte:02x}");
        }
        name
    }

    /// How long ids are remembered, in us.
    pub fn span(&self) -> Time {
        self.inner().span
    }

    /// Waits until the ids of another process have been heard; false if they were not, by this deadline or for too long.
    /// Cancel safe.
    pub async fn heard(&self, deadline: Instant) -> bool {
        let mut heard = self.heard.subscribe();
        let timeout_at = deadline.min(Instant::now() + UNHEARD_TIMEOUT);
        let told = tokio::time::timeout_at(timeout_at, heard.wait_for(|heard| *heard)).await;
        told.is_ok()
    }

    /// Claims an id for a request. A new one is entered as running, here and where the other process sees it.
    pub(super) fn claim(&self, id: &str, request: ClaimRequest, ticket: Ticket) -> Claim<Ticket> {
        self.inner().claim(id, request, ticket)
    }

    /// The request of an id has ended; its answer is kept.
    pub fn ended(&self, id: &str) {
        self.inner().ledger.ended(id);
    }

    /// Takes an id back whose request provably never ran, so that a retry may run it, by either process.
    pub fn forget(&self, id: &str) {
        let mut inner = self.inner();
        inner.ledger.forget(id);
        inner.release(id);
    }

    /// Whether no other process can enter ids.
    pub fn is_alone(&self) -> bool {
        matches!(self.inner().state, State::Alone)
    }

    /// Whether another process's ids have still to be heard.
    pub fn is_awaiting_peer(&self) -> bool {
        matches!(self.inner().state, State::Unheard)
    }

    /// Another process may have entered ids: until it has told them, none counts as new.
    pub fn expect_peer(&self) {
        self.inner().state = State::Unheard;
        self.heard.send_replace(false);
    }

    /// From now on ids are claimed in the store, unless another process's are still unheard.
    pub fn share(&self, store: impl ClaimStore + 'static) {
        let mut inner = self.inner();
        if matches!(inner.state, State::Alone) {
            inner.state = State::Shared(Box::new(store));
        }
    }

    /// What the other process, which remembers ids for `peer_span` us, has to know beside the ids. From then on each may take
    /// half of what is left, and the shorter span holds for both.
    pub fn summarize_for_peer(&self, peer_span: Time) -> LedgerSummary {
        let mut inner = self.inner();
        let now = inner.now();
        if matches!(inner.state, State::Unheard) {
            // The one that was waited for is gone, and what it entered until now may be lost.
            inner.ledger.set_complete_since(now);
        }
        inner.shared_span = inner.span.min(peer_span);
        let (held, span) = (inner.ledger.held(), inner.span);
        let shared_span = inner.shared_span;
        inner.ledger.set_span(shared_span);
        inner.halve_capacity(held);
        let LedgerSize { ids, bytes } = held;
        LedgerSummary { ids, bytes, now, complete_since: inner.ledger.complete_since(), span }
    }

    /// The other process has told its ledger, and every id in it is claimed in the store.
    pub fn accept_summary(&self, told: LedgerSummary, store: impl ClaimStore + 'static) {
        let mut inner = self.inner();
        inner.clock_ahead = told.now.saturating_sub(inner.clock.now());
        let now = inner.now();
        inner.shared_span = inner.span.min(told.span);
        let known_for = told.now.saturating_sub(told.complete_since).min(inner.shared_span);
        let shared_span = inner.shared_span;
        inner.ledger.set_complete_since(now.saturating_sub(known_for));
        inner.ledger.set_span(shared_span);
        inner.halve_capacity(LedgerSize { ids: told.ids, bytes: told.bytes });
        inner.state = State::Shared(Box::new(store));
        self.heard.send_replace(true);
    }

    /// The other process has ended, and all that the store holds has been admitted: no id need be claimed there.
    pub fn stop_sharing(&self) {
        let mut inner = self.inner();
        let now = inner.now();
        // What it had not told by then may be lost; what it had told it may have forgotten after the shorter span.
        let complete_since = match inner.state {
            State::Alone => inner.ledger.complete_since(),
            State::Unheard => now,
            State::Shared(_) => inner.ledger.complete_since().max(now.saturating_sub(inner.shared_span)),
        };
        inner.ledger.set_complete_since(complete_since);
        let (span, limits) = (inner.span, inner.limits);
        inner.ledger.set_span(span);
        inner.ledger.set_capacity(limits);
        inner.state = State::Alone;
        self.heard.send_replace(true);
    }

    /// Enters an id that was claimed by another process; one whose claim cannot be read stays for a whole span.
    pub fn insert_foreign(&self, id: String, entry: Option<SharedEntry>) {
        let mut inner = self.inner();
        let (now, span) = (inner.now(), inner.span);
        let unreadable = SharedEntry { fingerprint: None, first_sent: 0, remaining: span };
        inner.ledger.insert_foreign(id, entry.unwrap_or(unreadable), now);
    }

    /// How much more it may hold.
    pub fn free_capacity(&self) -> LedgerSize {
        let inner = self.inner();
        inner.ledger.capacity().minus(inner.ledger.held())
    }

    /// All ids, by their names.
    pub fn digests(&self) -> Vec<String> {
        self.inner().ledger.ids()
    }

    /// What other processes have to know of an id.
    pub fn entry(&self, id: &str) -> Option<SharedEntry> {
        let inner = self.inner();
        inner.ledger.shared(id, inner.now())
    }
}
