//! The ids of bookings that their clients may repeat, and what became of each.

use crate::interface::Time;
use std::collections::HashMap;

/// Expired entries that one call removes at most: a full ledger is emptied over several requests.
const EXPIRED_PER_CALL_MAX: usize = 64;

/// What the ledger says to one more use of an id.
#[derive(Debug, PartialEq)]
pub enum Claim<T> {
    /// New: it was entered and may be sent.
    New,
    /// The same request, known, with what was entered for it.
    Known(T),
    /// The same request, entered by another process, which alone knows its answer.
    Elsewhere,
    /// Another request used this id.
    Differs,
    /// Too old or from before all that is known: it cannot be proved that it has not run.
    Unprovable,
    /// No room; nothing within its span may be forgotten.
    Full,
}

/// How much a ledger may hold, and how much it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerSize {
    /// Ids.
    pub ids: usize,
    /// Bytes of all remembered answers together, and those that are spoken for.
    pub bytes: usize,
}

impl LedgerSize {
    /// What is left of this beside what is held.
    pub fn minus(self, held: LedgerSize) -> LedgerSize {
        LedgerSize { ids: self.ids.saturating_sub(held.ids), bytes: self.bytes.saturating_sub(held.bytes) }
    }

    /// Both together.
    pub fn plus(self, more: LedgerSize) -> LedgerSize {
        LedgerSize { ids: self.ids + more.ids, bytes: self.bytes + more.bytes }
    }

    /// One of two equal shares.
    pub fn half(self) -> LedgerSize {
        LedgerSize { ids: self.ids / 2, bytes: self.bytes / 2 }
    }
}

/// A request that names a repeat id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Fingerprint of what it asks for.
    pub fingerprint: u64,
    /// Bytes that its answer may take.
    pub answer_bytes: usize,
    /// When its client first sent it, by the client's clock.
    pub first_sent: Time,
}

/// An entry as other processes need to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedEntry {
    /// Fingerprint of what it asks for; none where it could not be read.
    pub fingerprint: Option<u64>,
    /// When its client first sent it.
    pub first_sent: Time,
    /// How much longer it has to be remembered, in us.
    pub remaining: Time,
}

struct Kept<T> {
    fingerprint: Option<u64>,
    first_sent: Time,
    answer_bytes: usize,
    until: Time,
    running: bool,
    /// None for one that another process entered.
    ticket: Option<T>,
}

/// Ids of charging bookings and what became of them. An id is entered before the first send and kept for `span`
/// after it was entered; what is still within its span is never evicted.
pub struct RepeatLedger<T> {
    capacity: LedgerSize,
    held: LedgerSize,
    span: Time,
    /// All ids that were first sent since then, by the clock of this ledger, are known.
    complete_since: Time,
    kept: HashMap<String, Kept<T>>,
}

impl<T: Clone> RepeatLedger<T> {
    /// A ledger that began at `began` and keeps each id for `span`.
    pub fn new(capacity: LedgerSize, span: Time, began: Time) -> Self {
        RepeatLedger {
            capacity,
            held: LedgerSize::default(),
            span,
            complete_since: began,
            kept: HashMap::new(),
        }
    }

    /// Claims an id for a request. A new one is entered as running, with `ticket`.
    pub fn claim(&mut self, id: &str, request: ClaimRequest, now: Time, ticket: T) -> Claim<T> {
        let ClaimRequest { fingerprint, answer_bytes, first_sent } = request;
        if let Some(kept) = self.kept.get(id) {
            return match (&kept.ticket, kept.fingerprint) {
                (_, Some(other)) if other != fingerprint => Claim::Differs,
                (Some(ticket), _) => Claim::Known(ticket.clone()),
                (None, _) => Claim::Elsewhere,
            };
        }
        // An id is kept for `span` from its arrival, or from its first send should that lie ahead by the client's
        // clock: one that is unknown, and was first sent within the span and since all is known, is provably new.
        if first_sent < self.complete_since || now > first_sent.saturating_add(self.span) {
            return Claim::Unprovable;
        }
        if self.is_full(answer_bytes) {
            return Claim::Full;
        }
        let until = now.max(first_sent).saturating_add(self.span);
        let fingerprint = Some(fingerprint);
        let kept = Kept { fingerprint, first_sent, answer_bytes, until, running: true, ticket: Some(ticket) };
        self.enter(id.to_string(), kept);
        Claim::New
    }

    fn enter(&mut self, id: String, kept: Kept<T>) {
        self.held = self.held.plus(LedgerSize { ids: 1, bytes: kept.answer_bytes });
        self.kept.insert(id, kept);
    }

    /// Whether there is no room for one more answer of `answer_bytes` bytes.
    pub fn is_full(&self, answer_bytes: usize) -> bool {
        self.held.ids >= self.capacity.ids
            || self.held.bytes.saturating_add(answer_bytes) > self.capacity.bytes
    }

    /// Removes some of the entries whose span is over, and returns their ids.
    pub fn remove_expired(&mut self, now: Time) -> Vec<String> {
        let expired = self.kept.iter().filter(|(_, kept)| !kept.running && now > kept.until);
        let expired: Vec<String> = expired.take(EXPIRED_PER_CALL_MAX).map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.forget(id));
        expired
    }

    /// The request of an id has ended; its answer is kept.
    pub fn ended(&mut self, id: &str) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.running = false;
        }
    }

    /// Takes an id back whose request provably never ran, so that a retry may run it.
    pub fn forget(&mut self, id: &str) {
        if let Some(kept) = self.kept.remove(id) {
            self.held = self.held.minus(LedgerSize { ids: 1, bytes: kept.answer_bytes });
        }
    }

    /// Enters an id that another process has entered; one that is known stays as it is.
    pub fn insert_foreign(&mut self, id: String, entry: SharedEntry, now: Time) {
        if self.kept.contains_key(&id) {
            return;
        }
        let SharedEntry { fingerprint, first_sent, remaining } = entry;
        let until = now.saturating_add(remaining).max(first_sent.saturating_add(self.span));
        let kept = Kept { fingerprint, first_sent, answer_bytes: 0, until, running: false, ticket: None };
        self.enter(id, kept);
    }

    /// All ids.
    pub fn ids(&self) -> Vec<String> {
        self.kept.keys().cloned().collect()
    }

    /// An entry as other processes need to know it.
    pub fn shared(&self, id: &str, now: Time) -> Option<SharedEntry> {
        let kept = self.kept.get(id)?;
        let remaining = kept.until.saturating_sub(now);
        Some(SharedEntry { fingerprint: kept.fingerprint, first_sent: kept.first_sent, remaining })
    }

    /// How much it holds.
    pub fn held(&self) -> LedgerSize {
        self.held
    }

    /// How much it may hold.
    pub fn capacity(&self) -> LedgerSize {
        self.capacity
    }

    /// How much it may hold from now on; what it holds beyond that stays until its span is over.
    pub fn set_capacity(&mut self, capacity: LedgerSize) {
        self.capacity = capacity;
    }

    /// How long ids count as remembered from now on.
    pub fn set_span(&mut self, span: Time) {
        self.span = span;
    }

    /// All ids that were first sent since then are known.
    pub fn complete_since(&self) -> Time {
        self.complete_since
    }

    /// Ids that were first sent before that may be missing.
    pub fn set_complete_since(&mut self, since: Time) {
        self.complete_since = since;
    }
}

#[cfg(test)]
#[path = "repeat_ledger_tests.rs"]
mod tests;
