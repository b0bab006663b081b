//! The ids of bookings that their clients may repeat, and what became of each.

use crate::interface::Time;
use std::collections::HashMap;

/// What the ledger says to one more use of an id.
#[derive(Debug, PartialEq)]
pub enum Claim<T> {
    /// New: it was entered and may be sent.
    New,
    /// The same request, known, with what was entered for it.
    Known(T),
    /// Another request used this id.
    Differs,
    /// Too old or from before this process: it cannot be proved that it has not run.
    Unprovable,
    /// No room; nothing within its span may be forgotten.
    Full,
}

struct Kept<T> {
    print: u64,
    weight: usize,
    until: Time,
    running: bool,
    ticket: T,
}

/// Ids of charging bookings and what became of them. An id is entered before the first send and kept for `span`
/// after it was entered; what is still within its span is never evicted.
pub struct RepeatLedger<T> {
    most: usize,
    /// Bytes that all kept answers may take together, and those that are spoken for.
    room: usize,
    taken: usize,
    span: Time,
    began: Time,
    kept: HashMap<String, Kept<T>>,
}

impl<T: Clone> RepeatLedger<T> {
    /// A ledger that began at `began`, holds `most` ids and answers of `room` bytes, and keeps each for `span`.
    pub fn new(most: usize, room: usize, span: Time, began: Time) -> Self {
        RepeatLedger { most, room, taken: 0, span, began, kept: HashMap::new() }
    }

    /// Claims an id for the request with fingerprint `print`, first sent by its client at `first_sent`, whose
    /// answer may take `weight` bytes. A new one is entered as running, with `ticket`.
    pub fn claim(
        &mut self,
        id: &str,
        (print, weight): (u64, usize),
        first_sent: Time,
        now: Time,
        ticket: T,
    ) -> Claim<T> {
        if let Some(kept) = self.kept.get(id) {
            return if kept.print == print { Claim::Known(kept.ticket.clone()) } else { Claim::Differs };
        }
        // An id is kept for `span` from its arrival, or from its first send should that lie ahead by the client's
        // clock: one that is unknown, and was first sent within the span and since the start, is provably new.
        if first_sent < self.began || now > first_sent.saturating_add(self.span) {
            return Claim::Unprovable;
        }
        if self.full(weight) {
            let mut freed = 0;
            self.kept.retain(|_, k| {
                let keep = k.running || now <= k.until;
                freed += if keep { 0 } else { k.weight };
                keep
            });
            self.taken -= freed;
        }
        if self.full(weight) {
            return Claim::Full;
        }
        self.taken += weight;
        let until = now.max(first_sent).saturating_add(self.span);
        self.kept.insert(id.to_string(), Kept { print, weight, until, running: true, ticket });
        Claim::New
    }

    fn full(&self, weight: usize) -> bool {
        self.kept.len() >= self.most || self.taken.saturating_add(weight) > self.room
    }

    /// The request of an id has ended; its answer is kept.
    pub fn ended(&mut self, id: &str) {
        if let Some(kept) = self.kept.get_mut(id) {
            kept.running = false;
        }
    }

    /// Takes an id back whose request provably never ran, so that a retry may run it.
    pub fn forget(&mut self, id: &str) {
        self.taken -= self.kept.remove(id).map_or(0, |k| k.weight);
    }
}
