//! The store's state machine over any disk: what is written in which order, and what is believed after a crash at any
//! moment. It holds no clock.
//!
//! A snapshot holds all that is known and names the log that goes on from it; the log holds the operators' words since.
//! A new snapshot comes with a new, empty log and takes the place of the old one whole; only then does the old log go.
//! Whatever is told in two places is merged, so that nothing depends on which of them was whole.

use super::disk::Disk;
use super::record::{self, End};
use crate::effective_list::Suspension;
use crate::interface::Time;
use crate::knowledge::format::{self, Unusable};
use crate::knowledge::{merge_suspensions, Knowledge};
use std::io;

const SNAPSHOT: &str = "snapshot";
const ASIDE: &str = "snapshot.new";
const BOOT: &str = "boot";
const LOG: &str = "words-";

/// What a start has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryStatus {
    /// All that was written.
    Sound,
    /// Nothing, and nobody has seen an earlier start.
    Fresh,
    /// Nothing, though there were earlier starts.
    Lost,
    /// Something is cut off or changed; what is whole of the rest is used.
    Torn,
    /// What no store of this program has written.
    Foreign,
    /// What a later version has written.
    Newer,
    /// An older copy than what has been there.
    RolledBack,
}

impl RecoveryStatus {
    /// Whether the operators may have said more than what was found.
    pub fn may_lack_words(self) -> bool {
        self != RecoveryStatus::Sound
    }

    /// Whether the configuration found may be started from.
    pub fn settings_hold(self) -> bool {
        matches!(self, RecoveryStatus::Sound | RecoveryStatus::Torn)
    }
}

/// What a start goes on from.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovered {
    /// All that can be proved to have been written.
    pub knowledge: Knowledge,
    /// How that was found.
    pub status: RecoveryStatus,
    /// The number of this start: higher than any before it.
    pub start_number: u64,
    /// When the snapshot was written; 0: there is none.
    pub written_at: Time,
}

/// The store.
pub struct Store<D> {
    disk: D,
    start_number: u64,
    /// The start's number is on the disk.
    begun: bool,
    /// Number of the log.
    log: u64,
    /// Something could not be written, so that nothing may be added to this log any more.
    broken: bool,
    most: u64,
    logged: u64,
}

fn log_name(number: u64) -> String {
    format!("{LOG}{number}")
}

impl<D: Disk> Store<D> {
    /// Opens it for a new start, which only reads: where all proxies start at one moment, none waits for the disk before
    /// it serves. `most` bytes are written at most.
    ///
    /// # Errors
    /// When the disk cannot be read.
    pub fn open(disk: D, most: u64) -> io::Result<(Self, Recovered)> {
        let number =
            |bytes: Option<Vec<u8>>| bytes.and_then(|b| std::str::from_utf8(&b).ok()?.trim().parse().ok());
        let (counted, seen): (Option<u64>, Option<u64>) = (number(disk.read(BOOT)?), disk.witness()?);
        let mut logs: Vec<u64> =
            disk.names()?.iter().filter_map(|n| n.strip_prefix(LOG)?.parse().ok()).collect();
        logs.sort_unstable();
        let snapshot = disk.read(SNAPSHOT)?.map(|bytes| format::read_snapshot(&bytes));
        let empty = snapshot.is_none() && logs.is_empty() && counted.is_none();
        let (mut all, at, written, mut status) = match snapshot {
            Some(Ok((all, at, written))) => (all, at, Some(written), RecoveryStatus::Sound),
            Some(Err(Unusable::Version(_))) => (Knowledge::default(), 0, None, RecoveryStatus::Newer),
            Some(Err(Unusable::Foreign)) => (Knowledge::default(), 0, None, RecoveryStatus::Foreign),
            Some(Err(_)) => (Knowledge::default(), 0, None, RecoveryStatus::Torn),
            None if empty && seen.is_none() => (Knowledge::default(), 0, None, RecoveryStatus::Fresh),
            None if empty => (Knowledge::default(), 0, None, RecoveryStatus::Lost),
            // A start that ended before its first snapshot.
            None if logs.len() <= 1 => (Knowledge::default(), 0, None, RecoveryStatus::Sound),
            None => (Knowledge::default(), 0, None, RecoveryStatus::Torn),
        };
        for number in &logs {
            let replay = record::replay(&disk.read(&log_name(*number))?.unwrap_or_default());
            merge_suspensions(&mut all.suspensions, &replay.hands);
            // A record that is cut off has never had its yes: nothing is missing.
            if replay.end == End::Damaged && status == RecoveryStatus::Sound {
                status = RecoveryStatus::Torn;
            }
        }
        let known = counted.max(written).unwrap_or(0);
        if seen.is_some_and(|seen| seen > known) && !matches!(status, RecoveryStatus::Lost) {
            status = RecoveryStatus::RolledBack;
        }
        let start_number = known.max(seen.unwrap_or(0)) + 1;
        // Behind all others, so that no word of this start is added to what another has left unfinished.
        let log = logs.last().copied().unwrap_or(0) + 1;
        let store = Store { disk, start_number, begun: false, log, broken: false, most, logged: 0 };
        Ok((store, Recovered { knowledge: all, status, start_number, written_at: at }))
    }

    /// Puts the start's number on the disk, before anything else of this start: of two starts that have written anything
    /// no two have the same.
    ///
    /// # Errors
    /// When it cannot be written; it is tried again with whatever is written next.
    pub fn begin(&mut self) -> io::Result<()> {
        if self.begun {
            return Ok(());
        }
        self.disk.write(BOOT, format!("{}\n", self.start_number).as_bytes())?;
        self.disk.force(BOOT)?;
        self.disk.note(self.start_number)?;
        self.begun = true;
        Ok(())
    }

    /// Writes down what the operators said. Only after this it may have its yes.
    ///
    /// # Errors
    /// When it cannot be proved to be on the disk; nothing more is taken until a snapshot has been.
    pub fn append_suspension(&mut self, name: &str, hand: &Suspension) -> io::Result<()> {
        self.begin()?;
        if self.broken {
            return Err(io::Error::other("the log broke, and no snapshot could be written since"));
        }
        let record = record::write(name, hand);
        if record.len() > record::LONGEST || self.logged + record.len() as u64 > self.most {
            return Err(io::Error::other("there is no room for it until the next snapshot"));
        }
        let log = log_name(self.log);
        let done = self.disk.append(&log, &record).and_then(|()| self.disk.force(&log));
        self.broken = done.is_err();
        self.logged += record.len() as u64;
        done
    }

    /// Writes down all that is known.
    ///
    /// # Errors
    /// When it cannot be written; the former one stays.
    pub fn snapshot(&mut self, all: &Knowledge, at: Time) -> io::Result<()> {
        self.begin()?;
        let bytes = format::write_snapshot(all, at, self.start_number);
        if bytes.len() as u64 > self.most {
            return Err(io::Error::other(format!(
                "it takes {} bytes, {} are allowed",
                bytes.len(),
                self.most
            )));
        }
        self.disk.write(ASIDE, &bytes)?;
        self.disk.force(ASIDE)?;
        self.disk.replace(ASIDE, SNAPSHOT)?;
        // All that the logs say is in it. One that cannot be taken away is merged once more, which changes nothing.
        let old: Vec<String> = self.disk.names()?.into_iter().filter(|n| n.starts_with(LOG)).collect();
        (self.log, self.broken, self.logged) = (self.log + 1, false, 0);
        old.iter().try_for_each(|name| self.disk.remove(name))
    }

    /// Writes down something else by its name, whole or not at all; an empty one takes it away.
    ///
    /// # Errors
    /// When it cannot be proved to be on the disk.
    pub fn put_record(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin()?;
        if bytes.is_empty() {
            return self.disk.remove(name);
        }
        if bytes.len() as u64 > self.most {
            return Err(io::Error::other(format!(
                "it takes {} bytes, {} are allowed",
                bytes.len(),
                self.most
            )));
        }
        let aside = format!("{name}.new");
        self.disk.write(&aside, bytes)?;
        self.disk.force(&aside)?;
        self.disk.replace(&aside, name)
    }

    /// What was kept so, by name, of names that begin with this.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn records_with_prefix(&self, prefix: &str) -> io::Result<Vec<(String, Vec<u8>)>> {
        let mut all = Vec::new();
        for name in self.disk.names()? {
            if name.starts_with(prefix) && !name.ends_with(".new") {
                all.extend(self.disk.read(&name)?.map(|bytes| (name, bytes)));
            }
        }
        all.sort();
        Ok(all)
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
