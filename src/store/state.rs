//! The store's state machine over any [`Disk`]: the order of writes, and what a start recovers after a crash
//! at any moment. The store reads no clock.
//!
//! A snapshot holds all that the proxy knows; a log holds the suspensions since then. A new snapshot replaces
//! the old one atomically and starts a new, empty log; only then are the old logs removed. On recovery the
//! snapshot and all logs are merged, so a suspension that is in both counts once.

use super::disk::Disk;
use super::record::{self, End};
use crate::effective_list::Suspension;
use crate::interface::Time;
use crate::knowledge::format::{self, Unusable};
use crate::knowledge::{merge_suspensions, Knowledge};
use std::io;

const SNAPSHOT: &str = "snapshot";
const SNAPSHOT_TEMPORARY: &str = "snapshot.new";
const START_NUMBER: &str = "boot";
const LOG_PREFIX: &str = "words-";

/// The state in which a start found the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryStatus {
    /// All that was written is intact.
    Sound,
    /// The store is empty, and there was no earlier start.
    Fresh,
    /// The store is empty, although there were earlier starts.
    Lost,
    /// Some data is truncated or corrupted; the intact rest is used.
    Torn,
    /// Another program wrote the data.
    Foreign,
    /// A newer version of this program wrote the data.
    Newer,
    /// The folder is an older copy of the store.
    RolledBack,
}

impl RecoveryStatus {
    /// Whether suspensions by the operators may be missing.
    pub fn may_lack_suspensions(self) -> bool {
        self != RecoveryStatus::Sound
    }

    /// Whether the proxy may start with the stored configuration.
    pub fn settings_usable(self) -> bool {
        matches!(self, RecoveryStatus::Sound | RecoveryStatus::Torn)
    }
}

/// What a start has recovered from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovered {
    /// All data that is intact.
    pub knowledge: Knowledge,
    /// The state in which the store was found.
    pub status: RecoveryStatus,
    /// The number of this start, higher than that of any earlier one.
    pub start_number: u64,
    /// When the snapshot was written; 0 if there is none.
    pub written_at: Time,
}

/// The store, for the lifetime of one process.
pub struct Store<D> {
    disk: D,
    start_number: u64,
    /// Whether the start number is on the disk.
    start_number_written: bool,
    /// Number of the current log.
    log: u64,
    /// Whether a write to the current log failed, in which case nothing more may be appended to that log.
    log_failed: bool,
    /// Maximum size in bytes of the snapshot, of the log and of each record.
    max_len: u64,
    /// Bytes appended to the current log.
    log_len: u64,
}

fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number}")
}

impl<D: Disk> Store<D> {
    /// Opens the store at startup. This only reads, so that a proxy does not wait for disk writes before it
    /// serves, even if all proxies start at the same moment. `max_len` limits the size of each file in bytes.
    ///
    /// # Errors
    /// When the disk cannot be read.
    pub fn open(disk: D, max_len: u64) -> io::Result<(Self, Recovered)> {
        let parse =
            |bytes: Option<Vec<u8>>| bytes.and_then(|b| std::str::from_utf8(&b).ok()?.trim().parse().ok());
        let (inner, outer): (Option<u64>, Option<u64>) =
            (parse(disk.read(START_NUMBER)?), disk.outer_start_number()?);
        let mut logs: Vec<u64> =
            disk.names()?.iter().filter_map(|n| n.strip_prefix(LOG_PREFIX)?.parse().ok()).collect();
        logs.sort_unstable();
        let snapshot = disk.read(SNAPSHOT)?.map(|bytes| format::read_snapshot(&bytes));
        let empty = snapshot.is_none() && logs.is_empty() && inner.is_none();
        let (mut knowledge, written_at, snapshot_number, mut status) = match snapshot {
            Some(Ok((knowledge, written_at, number))) => {
                (knowledge, written_at, Some(number), RecoveryStatus::Sound)
            }
            Some(Err(Unusable::Version(_))) => (Knowledge::default(), 0, None, RecoveryStatus::Newer),
            Some(Err(Unusable::Foreign)) => (Knowledge::default(), 0, None, RecoveryStatus::Foreign),
            Some(Err(_)) => (Knowledge::default(), 0, None, RecoveryStatus::Torn),
            None if empty && outer.is_none() => (Knowledge::default(), 0, None, RecoveryStatus::Fresh),
            None if empty => (Knowledge::default(), 0, None, RecoveryStatus::Lost),
            // The earlier process ended before its first snapshot.
            None if logs.len() <= 1 => (Knowledge::default(), 0, None, RecoveryStatus::Sound),
            None => (Knowledge::default(), 0, None, RecoveryStatus::Torn),
        };
        for number in &logs {
            let replay = record::replay(&disk.read(&log_name(*number))?.unwrap_or_default());
            merge_suspensions(&mut knowledge.suspensions, &replay.suspensions);
            // A truncated record was never confirmed to the operators, so nothing is missing.
            if replay.end == End::Damaged && status == RecoveryStatus::Sound {
                status = RecoveryStatus::Torn;
            }
        }
        let known = inner.max(snapshot_number).unwrap_or(0);
        if outer.is_some_and(|outer| outer > known) && !matches!(status, RecoveryStatus::Lost) {
            status = RecoveryStatus::RolledBack;
        }
        let start_number = known.max(outer.unwrap_or(0)) + 1;
        // Higher than the number of any existing log, so that nothing is appended to a log that an earlier
        // process left unfinished.
        let log = logs.last().copied().unwrap_or(0) + 1;
        let store = Store {
            disk,
            start_number,
            start_number_written: false,
            log,
            log_failed: false,
            max_len,
            log_len: 0,
        };
        Ok((store, Recovered { knowledge, status, start_number, written_at }))
    }

    /// Writes the start number, before anything else of this start, so that no two starts that have written
    /// anything have the same number.
    ///
    /// # Errors
    /// When the start number cannot be written; the next write to the store retries this first.
    pub fn begin(&mut self) -> io::Result<()> {
        if self.start_number_written {
            return Ok(());
        }
        self.disk.write(START_NUMBER, format!("{}\n", self.start_number).as_bytes())?;
        self.disk.sync(START_NUMBER)?;
        self.disk.set_outer_start_number(self.start_number)?;
        self.start_number_written = true;
        Ok(())
    }

    /// Appends the suspension or restore of a member to the log. The operators' call may be confirmed only
    /// after this succeeds.
    ///
    /// # Errors
    /// When the record is not certain to be on the disk. After a failed write, nothing more is accepted until
    /// the next snapshot.
    pub fn append_suspension(&mut self, name: &str, suspension: &Suspension) -> io::Result<()> {
        self.begin()?;
        if self.log_failed {
            return Err(io::Error::other("the log broke, and no snapshot could be written since"));
        }
        let record = record::encode(name, suspension);
        if record.len() > record::MAX_RECORD_LEN || self.log_len + record.len() as u64 > self.max_len {
            return Err(io::Error::other("there is no room for it until the next snapshot"));
        }
        let log = log_name(self.log);
        let result = self.disk.append(&log, &record).and_then(|()| self.disk.sync(&log));
        self.log_failed = result.is_err();
        self.log_len += record.len() as u64;
        result
    }

    /// Writes a new snapshot.
    ///
    /// # Errors
    /// When the snapshot cannot be written, in which case the old one stays, or when an old log cannot be
    /// removed.
    pub fn snapshot(&mut self, knowledge: &Knowledge, at: Time) -> io::Result<()> {
        self.begin()?;
        let bytes = format::write_snapshot(knowledge, at, self.start_number);
        if bytes.len() as u64 > self.max_len {
            return Err(io::Error::other(format!(
                "it takes {} bytes, {} are allowed",
                bytes.len(),
                self.max_len
            )));
        }
        self.disk.write(SNAPSHOT_TEMPORARY, &bytes)?;
        self.disk.sync(SNAPSHOT_TEMPORARY)?;
        self.disk.replace(SNAPSHOT_TEMPORARY, SNAPSHOT)?;
        // The snapshot holds all that the logs say. A log that cannot be removed is merged again, which
        // changes nothing.
        let old: Vec<String> = self.disk.names()?.into_iter().filter(|n| n.starts_with(LOG_PREFIX)).collect();
        (self.log, self.log_failed, self.log_len) = (self.log + 1, false, 0);
        old.iter().try_for_each(|name| self.disk.remove(name))
    }

    /// Atomically writes a record under `name`, next to the snapshot; if `bytes` is empty, removes the
    /// record.
    ///
    /// # Errors
    /// When the record is not certain to be on the disk.
    pub fn put_record(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin()?;
        if bytes.is_empty() {
            return self.disk.remove(name);
        }
        if bytes.len() as u64 > self.max_len {
            return Err(io::Error::other(format!(
                "it takes {} bytes, {} are allowed",
                bytes.len(),
                self.max_len
            )));
        }
        let temporary = format!("{name}.new");
        self.disk.write(&temporary, bytes)?;
        self.disk.sync(&temporary)?;
        self.disk.replace(&temporary, name)
    }

    /// All records whose names begin with this prefix, by name.
    ///
    /// # Errors
    /// When they cannot be read.
    pub fn records_with_prefix(&self, prefix: &str) -> io::Result<Vec<(String, Vec<u8>)>> {
        let mut records = Vec::new();
        for name in self.disk.names()? {
            if name.starts_with(prefix) && !name.ends_with(".new") {
                records.extend(self.disk.read(&name)?.map(|bytes| (name, bytes)));
            }
        }
        records.sort();
        Ok(records)
    }

    /// The disk, for tests.
    #[cfg(test)]
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }
}

#[cfg(test)]
#[path = "crash_tests.rs"]
mod tests;
