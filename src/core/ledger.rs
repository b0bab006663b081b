//! What the core remembers beyond a request's life.

use crate::interface::{Position, Time};
use std::collections::HashMap;
use std::sync::Arc;

/// Last commit of each session, from whichever front the write came. Bounded: when full, the older half is folded
/// into a floor that every unknown session must then meet, so that forgetting never lets a stale read through.
pub struct SessionLedger {
    most: usize,
    commits: HashMap<Arc<str>, Position>,
    floor: Position,
}

impl SessionLedger {
    /// Room for `most` sessions.
    pub fn new(most: usize) -> Self {
        SessionLedger { most: most.max(2), commits: HashMap::new(), floor: 0 }
    }

    /// Takes in a write that went through.
    pub fn wrote(&mut self, session: &Arc<str>, commit: Position) {
        if self.commits.len() >= self.most && !self.commits.contains_key(session) {
            let mut all: Vec<Position> = self.commits.values().copied().collect();
            let middle = all.len() / 2;
            let (_, cut, _) = all.select_nth_unstable(middle);
            self.floor = self.floor.max(*cut);
            let floor = self.floor;
            self.commits.retain(|_, at| *at > floor);
        }
        let at = self.commits.entry(session.clone()).or_default();
        *at = commit.max(*at);
    }

    /// The commits since then, and the latest of all others: what another process must know to let no stale read
    /// through.
    pub fn since(&self, then: Position) -> (Vec<(Arc<str>, Position)>, Position) {
        let (late, early): (Vec<_>, Vec<_>) = self.commits.iter().partition(|(_, at)| **at >= then);
        let floor = early.into_iter().map(|(_, at)| *at).max().unwrap_or(0).max(self.floor);
        (late.into_iter().map(|(name, at)| (name.clone(), *at)).collect(), floor)
    }

    /// Takes in what another process knows.
    pub fn merge<'a>(
        &mut self,
        sessions: impl Iterator<Item = (&'a Arc<str>, &'a Position)>,
        floor: Position,
    ) {
        self.floor = self.floor.max(floor);
        sessions.for_each(|(name, at)| self.wrote(name, *at));
    }

    /// What a read of this session must see, by all that this process knows; 0: nothing.
    pub fn written(&self, session: &str) -> Position {
        self.commits.get(session).copied().unwrap_or(0).max(self.floor)
    }
}

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
