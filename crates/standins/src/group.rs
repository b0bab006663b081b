//! What the members of a group share: the log, and the count of runs that no rule may see twice.

use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Values kept for a key: replicas that are far behind need old ones, none needs more than these.
const VERSIONS: usize = 64;

#[derive(Default)]
struct State {
    records: HashMap<String, Vec<(u64, Bytes)>>,
    runs: HashMap<String, u32>,
    last: u64,
}

/// A group's log. Copies share it.
#[derive(Clone, Default)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A write that runs under a request's id at `now` (Unix ms); its commit, never earlier than the one before.
    pub fn write(&self, id: &str, key: &str, value: Bytes, now: u64) -> u64 {
        self.write_with(id, key, value, now, || {})
    }

    /// The same; `noted` is called between this commit and the next one.
    pub fn write_with(&self, id: &str, key: &str, value: Bytes, now: u64, noted: impl FnOnce()) -> u64 {
        let mut state = self.state();
        noted();
        *state.runs.entry(id.to_string()).or_default() += 1;
        let commit = now.max(state.last);
        state.last = commit;
        let versions = state.records.entry(key.to_string()).or_default();
        if versions.len() >= VERSIONS {
            versions.remove(0);
        }
        versions.push((commit, value));
        commit
    }

    /// A value that was there before anyone asked.
    pub fn preset(&self, key: &str, value: Bytes) {
        self.state().records.insert(key.to_string(), vec![(0, value)]);
    }

    /// The value of a key as of a position (Unix ms); none where the key was unknown then.
    pub fn read(&self, key: &str, position: u64) -> Option<Bytes> {
        let state = self.state();
        let versions = state.records.get(key)?;
        versions.iter().rev().find(|(at, _)| *at <= position).map(|(_, v)| v.clone())
    }

    /// The commit of a key's last write.
    pub fn committed(&self, key: &str) -> Option<u64> {
        self.state().records.get(key)?.last().map(|(at, _)| *at)
    }

    /// Writes that ran, and ids under which more than one did.
    pub fn runs(&self) -> (u64, Vec<String>) {
        let state = self.state();
        let all = state.runs.values().map(|n| u64::from(*n)).sum();
        let twice = state.runs.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id.clone()).collect();
        (all, twice)
    }
}
