//! The last commit of each session, which later reads of the session must reflect.

use crate::interface::Position;
use std::collections::HashMap;
use std::sync::Arc;

/// The last commit of each session, whichever front the write came through. The number of sessions is bounded: when
/// the ledger is full, the older half is dropped and its latest commit becomes a floor that reads of all unknown
/// sessions must reflect, so that dropping entries never allows a stale read.
pub struct SessionLedger {
    max_sessions: usize,
    commits: HashMap<Arc<str>, Position>,
    floor: Position,
}

impl SessionLedger {
    /// Creates a ledger for up to this many sessions.
    pub fn new(max_sessions: usize) -> Self {
        SessionLedger { max_sessions: max_sessions.max(2), commits: HashMap::new(), floor: 0 }
    }

    /// Records a committed write.
    pub fn record_commit(&mut self, session: &Arc<str>, commit: Position) {
        if self.commits.len() >= self.max_sessions && !self.commits.contains_key(session) {
            let mut all: Vec<Position> = self.commits.values().copied().collect();
            let middle = all.len() / 2;
            let (_, median, _) = all.select_nth_unstable(middle);
            self.floor = self.floor.max(*median);
            let floor = self.floor;
            self.commits.retain(|_, at| *at > floor);
        }
        let at = self.commits.entry(session.clone()).or_default();
        *at = commit.max(*at);
    }

    /// The commits since then by session, and the latest of all others: what another process needs to prevent stale
    /// reads.
    pub fn since(&self, then: Position) -> (Vec<(Arc<str>, Position)>, Position) {
        let (recent, older): (Vec<_>, Vec<_>) = self.commits.iter().partition(|(_, at)| **at >= then);
        let floor = older.into_iter().map(|(_, at)| *at).max().unwrap_or(0).max(self.floor);
        (recent.into_iter().map(|(name, at)| (name.clone(), *at)).collect(), floor)
    }

    /// Takes in the commits known to another process.
    pub fn merge<'a>(
        &mut self,
        sessions: impl Iterator<Item = (&'a Arc<str>, &'a Position)>,
        floor: Position,
    ) {
        self.floor = self.floor.max(floor);
        sessions.for_each(|(name, at)| self.record_commit(name, *at));
    }

    /// The position that a read of this session must reflect, as far as this process knows; 0 if none.
    pub fn written(&self, session: &str) -> Position {
        self.commits.get(session).copied().unwrap_or(0).max(self.floor)
    }
}
