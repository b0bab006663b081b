//! Ledger of the repeat ids of charging bookings, and the state of each booking.

use super::refused_ids::RefusedIds;
use crate::interface::Time;
use std::collections::HashMap;

/// Maximum number of expired entries removed per call, so that a full ledger is emptied over several
/// requests.
const EXPIRED_PER_CALL_MAX: usize = 64;

/// Result of claiming an id.
#[derive(Debug, PartialEq)]
pub enum Claim<T> {
    /// The id is new: it was entered, and the request may be sent.
    New,
    /// The id is known for the same request. Contains the ticket that was entered for it.
    Existing(T),
    /// The id is known for the same request, but another process entered it and has the answer.
    ClaimedByPeer,
    /// The id is known for a different request.
    IdConflict,
    /// The id is too old, or older than the ledger: it cannot be proved that the request has not run.
    Unprovable,
    /// The id is not known here, and an earlier try of the request may have run elsewhere.
    UnknownRetry,
    /// No room: no entry may be removed before its retention time is over.
    NoRoom,
}

/// Size or capacity of a ledger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LedgerSize {
    /// Number of ids.
    pub ids: usize,
    /// Total size of the answers in bytes, including the space reserved for answers that are not complete
    /// yet.
    pub bytes: usize,
}

impl LedgerSize {
    /// This size less another one, at least zero.
    pub fn minus(self, other: LedgerSize) -> LedgerSize {
        LedgerSize { ids: self.ids.saturating_sub(other.ids), bytes: self.bytes.saturating_sub(other.bytes) }
    }

    /// The sum of both sizes.
    pub fn plus(self, other: LedgerSize) -> LedgerSize {
        LedgerSize { ids: self.ids + other.ids, bytes: self.bytes + other.bytes }
    }

    /// Half of this size.
    pub fn half(self) -> LedgerSize {
        LedgerSize { ids: self.ids / 2, bytes: self.bytes / 2 }
    }
}

/// A request to claim a repeat id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Fingerprint of the request's content.
    pub fingerprint: u64,
    /// Maximum size of its answer in bytes.
    pub answer_bytes: usize,
    /// When the client first sent the request, by the client's clock.
    pub first_sent: Time,
    /// The request may run although its id is not known here.
    pub may_run_unknown: bool,
}

/// A ledger entry as shared with other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedEntry {
    /// Fingerprint of the request's content; `None` if it could not be read.
    pub fingerprint: Option<u64>,
    /// When the client first sent the request.
    pub first_sent: Time,
    /// How much longer the entry has to be kept, in us.
    pub remaining: Time,
}

struct Entry<T> {
    fingerprint: Option<u64>,
    first_sent: Time,
    answer_bytes: usize,
    expires_at: Time,
    running: bool,
    /// `None` if another process entered the id.
    ticket: Option<T>,
}

/// Ledger of repeat ids and their bookings. An id is entered before its request is first sent and kept for
/// `retention` after that; an entry is never evicted before its retention time is over.
pub struct RepeatLedger<T> {
    capacity: LedgerSize,
    size: LedgerSize,
    retention: Time,
    /// Every id that was first sent at or after this time is known, by the ledger's clock.
    complete_since: Time,
    entries: HashMap<String, Entry<T>>,
    refused: RefusedIds,
}

impl<T: Clone> RepeatLedger<T> {
    /// Creates a ledger that is complete from `began` on and keeps each id for `retention`.
    pub fn new(capacity: LedgerSize, retention: Time, began: Time) -> Self {
        RepeatLedger {
            capacity,
            size: LedgerSize::default(),
            retention,
            complete_since: began,
            entries: HashMap::new(),
            refused: RefusedIds::default(),
        }
    }

    /// Claims an id for a request. A new id is entered as running, with this ticket.
    pub fn claim(&mut self, id: &str, request: ClaimRequest, now: Time, ticket: T) -> Claim<T> {
        let ClaimRequest { fingerprint, answer_bytes, first_sent, may_run_unknown } = request;
        if let Some(entry) = self.entries.get(id) {
            return match (&entry.ticket, entry.fingerprint) {
                (_, Some(other)) if other != fingerprint => Claim::IdConflict,
                (Some(ticket), _) => Claim::Existing(ticket.clone()),
                (None, _) => Claim::ClaimedByPeer,
            };
        }
        // An id is kept for `retention` from its arrival, or from its first send if that is later by the
        // client's clock. An unknown id that was first sent within the retention time, and since the ledger
        // is complete, is therefore provably new.
        if first_sent < self.complete_since || now > first_sent.saturating_add(self.retention) {
            return Claim::Unprovable;
        }
        if !may_run_unknown && !self.refused.contains(id) {
            return Claim::UnknownRetry;
        }
        if self.is_full(answer_bytes) {
            self.refused.insert(id);
            return Claim::NoRoom;
        }
        self.refused.remove(id);
        let expires_at = now.max(first_sent).saturating_add(self.retention);
        let fingerprint = Some(fingerprint);
        let entry =
            Entry { fingerprint, first_sent, answer_bytes, expires_at, running: true, ticket: Some(ticket) };
        self.insert(id.to_string(), entry);
        Claim::New
    }

    fn insert(&mut self, id: String, entry: Entry<T>) {
        self.size = self.size.plus(LedgerSize { ids: 1, bytes: entry.answer_bytes });
        self.entries.insert(id, entry);
    }

    /// Whether there is no room for another answer of this size.
    pub fn is_full(&self, answer_bytes: usize) -> bool {
        self.size.ids >= self.capacity.ids
            || self.size.bytes.saturating_add(answer_bytes) > self.capacity.bytes
    }

    /// Removes up to `EXPIRED_PER_CALL_MAX` entries whose retention time is over, and returns their ids.
    pub fn remove_expired(&mut self, now: Time) -> Vec<String> {
        let expired = self.entries.iter().filter(|(_, entry)| !entry.running && now > entry.expires_at);
        let expired: Vec<String> = expired.take(EXPIRED_PER_CALL_MAX).map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
        expired
    }

    /// Marks the request of an id as ended; its answer stays.
    pub fn mark_ended(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running = false;
        }
    }

    /// Removes an id whose request was refused and provably never ran, so that a retry may run it.
    pub fn release(&mut self, id: &str) {
        self.remove(id);
        self.refused.insert(id);
    }

    /// Removes an id.
    pub fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.size = self.size.minus(LedgerSize { ids: 1, bytes: entry.answer_bytes });
        }
    }

    /// Enters an id from another process; an id that is known already is left unchanged.
    pub fn insert_foreign(&mut self, id: String, entry: SharedEntry, now: Time) {
        if self.entries.contains_key(&id) {
            return;
        }
        let SharedEntry { fingerprint, first_sent, remaining } = entry;
        let expires_at = now.saturating_add(remaining).max(first_sent.saturating_add(self.retention));
        let entry =
            Entry { fingerprint, first_sent, answer_bytes: 0, expires_at, running: false, ticket: None };
        self.insert(id, entry);
    }

    /// All ids.
    pub fn ids(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// The entry of an id as shared with other processes.
    pub fn shared_entry(&self, id: &str, now: Time) -> Option<SharedEntry> {
        let entry = self.entries.get(id)?;
        let remaining = entry.expires_at.saturating_sub(now);
        Some(SharedEntry { fingerprint: entry.fingerprint, first_sent: entry.first_sent, remaining })
    }

    /// The size of what the ledger holds.
    pub fn size(&self) -> LedgerSize {
        self.size
    }

    /// The ledger's capacity.
    pub fn capacity(&self) -> LedgerSize {
        self.capacity
    }

    /// Changes the capacity. Entries beyond a smaller capacity stay until their retention time is over.
    pub fn set_capacity(&mut self, capacity: LedgerSize) {
        self.capacity = capacity;
    }

    /// Changes how long ids are kept.
    pub fn set_retention(&mut self, retention: Time) {
        self.retention = retention;
    }

    /// Every id that was first sent at or after this time is known.
    pub fn complete_since(&self) -> Time {
        self.complete_since
    }

    /// Sets the time before which ids may be missing.
    pub fn set_complete_since(&mut self, since: Time) {
        self.complete_since = since;
    }
}

#[cfg(test)]
#[path = "repeat_ledger_tests.rs"]
mod tests;
