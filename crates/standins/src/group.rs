//! State shared by the members of a group: the log of writes, and how often each write ran, which must be
//! once at most.

use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of versions kept of each key. Lagging replicas read old versions; no scenario needs more of
/// them.
const MAX_VERSIONS: usize = 64;

#[derive(Default)]
struct State {
    records: HashMap<String, Vec<(u64, Bytes)>>,
    runs: HashMap<String, u32>,
    last_commit: u64,
}

/// The state of a group. Clones share it.
#[derive(Clone, Default)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a write under a request's id at `now` (Unix ms). Returns its commit, which is never earlier than
    /// the previous one.
    pub fn write(&self, id: &str, key: &str, value: Bytes, now: u64) -> u64 {
        self.write_with(id, key, value, now, || {})
    }

    /// As [`Group::write`]. `on_commit` is called while the state is locked, thus before any later commit.
    pub fn write_with(&self, id: &str, key: &str, value: Bytes, now: u64, on_commit: impl FnOnce()) -> u64 {
        let mut state = self.state();
        on_commit();
        *state.runs.entry(id.to_string()).or_default() += 1;
        let commit = now.max(state.last_commit);
        state.last_commit = commit;
        let versions = state.records.entry(key.to_string()).or_default();
        if versions.len() >= MAX_VERSIONS {
            versions.remove(0);
        }
        versions.push((commit, value));
        commit
    }

    /// Stores a value with position 0, as if written before the test.
    pub fn preset(&self, key: &str, value: Bytes) {
        self.state().records.insert(key.to_string(), vec![(0, value)]);
    }

    /// The value of a key at a position (Unix ms); none if the key did not exist then.
    pub fn read(&self, key: &str, position: u64) -> Option<Bytes> {
        let state = self.state();
        let versions = state.records.get(key)?;
        versions.iter().rev().find(|(commit, _)| *commit <= position).map(|(_, v)| v.clone())
    }

    /// The commit of the last write to a key.
    pub fn committed(&self, key: &str) -> Option<u64> {
        self.state().records.get(key)?.last().map(|(commit, _)| *commit)
    }

    /// The number of writes that ran, and the request ids under which more than one ran.
    pub fn runs(&self) -> (u64, Vec<String>) {
        let state = self.state();
        let total = state.runs.values().map(|n| u64::from(*n)).sum();
        let repeated = state.runs.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id.clone()).collect();
        (total, repeated)
    }
}
