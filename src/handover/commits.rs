//! Commits of sessions, as one process of a proxy tells them to the other before it answers the client that wrote.
//!
//! Whoever has the answer to a write may read at once, and by the other process. So a commit is appended to a file of
//! the writer's before the answer leaves, and a session's read first looks at what the other has appended. This holds
//! only while both live; what was committed before, each has from the other's file of what it has learned.

use crate::core::counters::{count, Count};
use crate::core::{CommitExchange, PeerCommits};
use crate::interface::Position;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::PathBuf;
use std::sync::Arc;

/// The longest name of a session; a longer one's commits count for all sessions.
const MAX_NAME_LEN: usize = 255;
/// The longest file: some hours of two processes beside each other.
const MAX_FILE_LEN: u64 = 4 * 1024 * 1024;
/// Read at a time.
const READ_LEN: usize = 16 * 1024;

/// One commit, as it stands in the file: the length of the name, the name, the position.
pub fn record(session: &str, at: Position) -> Vec<u8> {
    let name = if session.len() > MAX_NAME_LEN { "" } else { session };
    let mut record = Vec::with_capacity(name.len() + 9);
    record.push(name.len() as u8);
    record.extend_from_slice(name.as_bytes());
    record.extend_from_slice(&at.to_be_bytes());
    record
}

/// Takes whole records off what was read; an unfinished one stays: its writer has not answered anybody yet. An empty
/// name stands for all sessions.
pub fn records(read: &mut Vec<u8>) -> Vec<(Arc<str>, Position)> {
    let (mut found, mut at) = (Vec::new(), 0);
    while let Some(length) = read.get(at).map(|n| usize::from(*n)) {
        let Some(record) = read.get(at + 1..at + 1 + length + 8) else { break };
        let (name, position) = record.split_at(length);
        let position = position.first_chunk().map_or(0, |p| u64::from_be_bytes(*p));
        found.push((String::from_utf8_lossy(name).into(), position));
        at += 9 + length;
    }
    read.drain(..at);
    found
}

/// Most bytes of records that wait for a file that takes none; what comes beyond that stands for all sessions.
const PENDING_MAX: usize = 64 * 1024;

/// This process's file, which the other reads.
///
/// | state | what the other sees |
/// | --- | --- |
/// | sound | whole records, one after the other |
/// | broken: an append failed, and may have left a part | no file: it takes all sessions for written to |
/// | sound again | another file, with all that the former lacked |
struct OwnFile {
    path: PathBuf,
    /// None while it is broken.
    file: Option<File>,
    /// What no file has taken yet.
    pending: Vec<u8>,
    /// The latest commit that the file has taken, and the latest of those that wait; 0: none.
    told: Position,
    waiting: Position,
}

impl OwnFile {
    fn append(&mut self, session: &str, at: Position) {
        let record = record(session, at);
        if self.pending.len() + record.len() > PENDING_MAX {
            self.pending = self::record("", Position::MAX);
        }
        self.pending.extend_from_slice(&record);
        self.waiting = self.waiting.max(at);
        let sound = self.file.is_some();
        let written = match &mut self.file {
            Some(file) => Self::write(file, &self.pending),
            None => Err(io::Error::other("the file broke")),
        };
        match written.or_else(|_| self.begin_anew()) {
            Ok(()) => {
                self.pending.clear();
                self.told = self.told.max(std::mem::take(&mut self.waiting));
            }
            Err(e) => {
                count(Count::handover_commits_failed);
                if sound {
                    log::error!("commits cannot be told to the other process of this proxy for now: {e}");
                }
            }
        }
    }

    fn write(file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if file.metadata()?.len() > MAX_FILE_LEN {
            return Err(io::Error::other("the file is full"));
        }
        file.write_all(bytes)
    }

    /// Another file in the place of one that takes no more. The other process may not have read the former to its end: up to
    /// the latest commit there any session may have been written to.
    fn begin_anew(&mut self) -> io::Result<()> {
        self.file = None;
        // Gone first: nothing may be read from a file that lacks something.
        match std::fs::remove_file(&self.path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let aside = self.path.with_extension("new");
        let mut file = File::options().create(true).truncate(true).write(true).open(&aside)?;
        file.write_all(&record("", self.told))?;
        file.write_all(&self.pending)?;
        std::fs::rename(&aside, &self.path)?;
        self.file = Some(File::options().append(true).open(&self.path)?);
        Ok(())
    }
}

/// Both files, each read or appended to by this process alone.
pub struct CommitLog {
    own: OwnFile,
    other: PathBuf,
    /// The other's file, as far as it was read; another process there has another file.
    file: Option<(File, u64)>,
    /// The other had a file that is gone now, or has one that cannot be read: it cannot tell what it commits.
    lost: bool,
    at: u64,
    rest: Vec<u8>,
}

impl CommitLog {
    /// On this process's file, and the other's.
    ///
    /// # Errors
    /// When its own cannot be opened.
    pub fn open(own: &PathBuf, other: PathBuf) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(own)?;
        let own = OwnFile { path: own.clone(), file: Some(file), pending: Vec::new(), told: 0, waiting: 0 };
        Ok(CommitLog { own, other, file: None, lost: false, at: 0, rest: Vec::new() })
    }

    fn read(&mut self) -> io::Result<()> {
        let now = std::fs::metadata(&self.other)?.ino();
        if self.file.as_ref().is_none_or(|(_, ino)| *ino != now) {
            let file = File::open(&self.other)?;
            let ino = file.metadata()?.ino();
            (self.file, self.at, self.lost) = (Some((file, ino)), 0, false);
            self.rest.clear();
        }
        let Some((file, _)) = &self.file else { return Ok(()) };
        let mut chunk = [0; READ_LEN];
        loop {
            let n = file.read_at(&mut chunk, self.at)?;
            if n == 0 {
                return Ok(());
            }
            self.at += n as u64;
            self.rest.extend_from_slice(&chunk[..n]);
        }
    }
}

impl CommitExchange for CommitLog {
    fn record_commit(&mut self, session: &str, at: Position) {
        self.own.append(session, at);
    }

    fn take_received(&mut self) -> PeerCommits {
        if let Err(e) = self.read() {
            // Where there never was such a file the other process does not write one.
            let never = e.kind() == io::ErrorKind::NotFound && self.file.is_none() && !self.lost;
            if !never {
                (self.file, self.lost) = (None, true);
                return PeerCommits { commits: Vec::new(), complete: false };
            }
        }
        PeerCommits { commits: records(&mut self.rest), complete: true }
    }
}

/// Another process that may live and cannot be seen: any session may have been written to up to now.
pub struct UnseenPeer;

impl CommitExchange for UnseenPeer {
    fn record_commit(&mut self, _: &str, _: Position) {}

    fn take_received(&mut self) -> PeerCommits {
        PeerCommits { commits: Vec::new(), complete: false }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_are_found_whole_however_they_are_read() {
        let all = [record("a", 5), record("", 6), record("longer", 7), record(&"x".repeat(300), 8)].concat();
        let expected: Vec<(Arc<str>, Position)> =
            vec![("a".into(), 5), ("".into(), 6), ("longer".into(), 7), ("".into(), 8)];
        for cut in 0..=all.len() {
            let mut read = all[..cut].to_vec();
            let mut found = records(&mut read);
            read.extend_from_slice(&all[cut..]);
            found.extend(records(&mut read));
            assert!(read.is_empty() && found == expected, "cut at {cut}");
        }
    }

    #[test]
    fn what_one_appends_the_other_reads_once_and_from_the_start_in_a_new_file() {
        let dir = std::env::temp_dir().join(format!("linentrail-commits-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (a, b) = (dir.join("a"), dir.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        assert!(here.take_received().commits.is_empty(), "there is no other yet");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        there.record_commit("k", 5);
        assert_eq!(here.take_received().commits, [("k".into(), 5)]);
        assert!(here.take_received().commits.is_empty() && there.take_received().commits.is_empty());
        // Another process takes the other's place.
        std::fs::write(dir.join("new"), b"").expect("fine");
        std::fs::rename(dir.join("new"), &b).expect("fine");
        let mut there = CommitLog::open(&b, a).expect("fine");
        there.record_commit("k", 9);
        assert_eq!(here.take_received().commits, [("k".into(), 9)]);
        let _ = std::fs::remove_dir_all(dir);
    }

    #[test]
    fn a_commit_that_finds_no_room_is_not_passed_over_in_silence() {
        let dir = std::env::temp_dir().join(format!("linentrail-commits-full-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (a, b) = (dir.join("a"), dir.join("b"));
        let whole = record("k", 3).repeat(MAX_FILE_LEN as usize / record("k", 3).len() + 1);
        std::fs::write(&a, whole).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        assert!(!there.take_received().commits.is_empty());
        let mut here = CommitLog::open(&a, b).expect("fine");
        here.record_commit("k", 5);
        let news = there.take_received().commits;
        assert!(news.iter().any(|(name, at)| &**name == "k" && *at == 5), "{news:?}");
        let _ = std::fs::remove_dir_all(dir);
    }

    #[test]
    fn while_a_file_takes_nothing_the_other_knows_that_it_is_not_told() {
        let dir = std::env::temp_dir().join(format!("linentrail-commits-broken-{}", std::process::id()));
        std::fs::create_dir_all(dir.join("sub")).expect("a folder");
        let (a, b) = (dir.join("sub/a"), dir.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        here.record_commit("k", 5);
        assert_eq!(there.take_received(), PeerCommits { commits: vec![("k".into(), 5)], complete: true });
        // Its file ends with a part of a record, and neither it nor another can be written.
        here.own.file = Some(File::open(&a).expect("for reading alone"));
        std::fs::write(&a, [7, 1, 2]).expect("fine");
        std::fs::create_dir(a.with_extension("new")).expect("in the way");
        here.record_commit("k", 6);
        here.record_commit("j", 7);
        assert_eq!(there.take_received(), PeerCommits { commits: vec![], complete: false });
        assert!(!there.take_received().complete, "nor later");
        std::fs::remove_dir(a.with_extension("new")).expect("it was there");
        here.record_commit("k", 8);
        let all = vec![("".into(), 5), ("k".into(), 6), ("j".into(), 7), ("k".into(), 8)];
        assert_eq!(there.take_received(), PeerCommits { commits: all, complete: true });
        let _ = std::fs::remove_dir_all(dir);
    }

    #[test]
    fn commits_that_cannot_be_read_for_a_moment_are_not_taken_for_none() {
        let dir = std::env::temp_dir().join(format!("linentrail-commits-unread-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (a, b) = (dir.join("a"), dir.join("b"));
        // A link to itself cannot be opened, and is no file that is not there.
        std::os::unix::fs::symlink(&b, &b).expect("a link");
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        assert!(!here.take_received().complete, "it may have committed");
        std::fs::remove_file(&b).expect("it was there");
        assert!(!here.take_received().complete, "nor is it known what stood there");
        CommitLog::open(&b, a).expect("fine").record_commit("k", 5);
        assert_eq!(here.take_received(), PeerCommits { commits: vec![("k".into(), 5)], complete: true });
        let _ = std::fs::remove_dir_all(dir);
    }

    #[test]
    fn what_was_not_read_yet_of_a_file_that_is_begun_anew_still_counts() {
        let dir = std::env::temp_dir().join(format!("linentrail-commits-anew-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let (a, b) = (dir.join("a"), dir.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        here.record_commit("k", 5);
        assert!(there.take_received().complete);
        // Its answer is out, and the other has not looked since, when the file takes no more.
        here.record_commit("k", 6);
        here.own.file = Some(File::open(&a).expect("for reading alone"));
        here.record_commit("j", 7);
        let news = there.take_received();
        let told =
            |name: &str, at| news.commits.iter().any(|(n, p)| (&**n == name || n.is_empty()) && *p >= at);
        assert!(news.complete && told("k", 6) && told("j", 7), "{news:?}");
        let _ = std::fs::remove_dir_all(dir);
    }
}
