//! The last commit of each session, which its later reads must see.

use crate::interface::Position;
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
    pub fn record_commit(&mut self, session: &Arc<str>, commit: Position) {
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
        sessions.for_each(|(name, at)| self.record_commit(name, *at));
    }

    /// What a read of this session must see, by all that this process knows; 0: nothing.
    pub fn written(&self, session: &str) -> Position {
        self.commits.get(session).copied().unwrap_or(0).max(self.floor)
    }
}
