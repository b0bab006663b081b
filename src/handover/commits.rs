//! Exchange of sessions' commits between the two processes of a proxy.
//!
//! A client that has the answer to a write may read at once, through the other process. So each process appends a
//! commit to its own file before it sends the answer, and reads the other's file before it serves a session's read.
//! This applies only while both processes run; each learns of earlier commits from the other's file of learned
//! facts.

use crate::core::counters::{count, Count};
use crate::core::{CommitExchange, PeerCommits};
use crate::interface::Position;
use std::fs::File;
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::PathBuf;
use std::sync::Arc;

/// Maximum length of a session's name. A commit of a session with a longer name counts for all sessions.
const MAX_NAME_LEN: usize = 255;
/// Maximum size of a file in bytes: enough for some hours during which both processes run.
const MAX_FILE_LEN: u64 = 4 * 1024 * 1024;
/// Bytes per read.
const READ_LEN: usize = 16 * 1024;

/// Encodes a commit: the length of the session's name, the name, the position.
pub fn encode_commit(session: &str, at: Position) -> Vec<u8> {
    let name = if session.len() > MAX_NAME_LEN { "" } else { session };
    let mut record = Vec::with_capacity(name.len() + 9);
    record.push(name.len() as u8);
    record.extend_from_slice(name.as_bytes());
    record.extend_from_slice(&at.to_be_bytes());
    record
}

/// Removes all complete records from the buffer and returns them. An incomplete one stays: its writer has not
/// answered the client yet. An empty name stands for all sessions.
pub fn take_commits(buffer: &mut Vec<u8>) -> Vec<(Arc<str>, Position)> {
    let (mut found, mut at) = (Vec::new(), 0);
    while let Some(length) = buffer.get(at).map(|n| usize::from(*n)) {
        let Some(record) = buffer.get(at + 1..at + 1 + length + 8) else { break };
        let (name, position) = record.split_at(length);
        let position = position.first_chunk().map_or(0, |p| u64::from_be_bytes(*p));
        found.push((String::from_utf8_lossy(name).into(), position));
        at += 9 + length;
    }
    buffer.drain(..at);
    found
}

/// Maximum size of the records that wait while the file cannot be written. Beyond it, one record that stands for all
/// sessions replaces them.
const PENDING_MAX: usize = 64 * 1024;

/// This process's file, which the other process reads.
///
/// | state | what the other process sees |
/// | --- | --- |
/// | writable | a sequence of complete records |
/// | failed: an append failed, and may have left an incomplete record | no file: any session may have written |
/// | writable again | a new file with all records that the old one lacked |
struct OwnFile {
    path: PathBuf,
    /// None after a failed append.
    file: Option<File>,
    /// Records that are not written yet.
    pending: Vec<u8>,
    /// The highest position in the file; 0 if there is none.
    written_position: Position,
    /// The highest position among the pending records; 0 if there is none.
    pending_position: Position,
}

impl OwnFile {
    fn append(&mut self, session: &str, at: Position) {
        let record = encode_commit(session, at);
        if self.pending.len() + record.len() > PENDING_MAX {
            self.pending = self::encode_commit("", Position::MAX);
        }
        self.pending.extend_from_slice(&record);
        self.pending_position = self.pending_position.max(at);
        let was_writable = self.file.is_some();
        let written = match &mut self.file {
            Some(file) => Self::write(file, &self.pending),
            None => Err(io::Error::other("an earlier append failed")),
        };
        match written.or_else(|_| self.replace_file()) {
            Ok(()) => {
                self.pending.clear();
                self.written_position = self.written_position.max(std::mem::take(&mut self.pending_position));
            }
            Err(e) => {
                count(Count::handover_commits_failed);
                if was_writable {
                    log::error!("commits cannot be shared with the other process of this proxy for now: {e}");
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

    /// Replaces a file that cannot be appended to. The other process may not have read the old file to its end, so
    /// the new file first says that any session may have written up to the old file's highest position.
    fn replace_file(&mut self) -> io::Result<()> {
        self.file = None;
        // Removed before the new file exists, so that the other process never relies on a file that lacks commits.
        match std::fs::remove_file(&self.path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let temporary = self.path.with_extension("new");
        let mut file = File::options().create(true).truncate(true).write(true).open(&temporary)?;
        file.write_all(&encode_commit("", self.written_position))?;
        file.write_all(&self.pending)?;
        std::fs::rename(&temporary, &self.path)?;
        self.file = Some(File::options().append(true).open(&self.path)?);
        Ok(())
    }
}

/// The files of both processes: this process appends to its own and reads the other's.
pub struct CommitLog {
    own: OwnFile,
    peer_path: PathBuf,
    /// The other process's file and its inode, which changes when the file is replaced.
    file: Option<(File, u64)>,
    /// The other process's file was removed or cannot be read, so its commits are not known.
    lost: bool,
    /// How far the file was read.
    offset: u64,
    /// The incomplete record at the end of what was read.
    buffer: Vec<u8>,
}

impl CommitLog {
    /// Opens this process's file; the other's is opened at the first read.
    ///
    /// # Errors
    /// When this process's file cannot be opened.
    pub fn open(own: &PathBuf, peer_path: PathBuf) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(own)?;
        let own = OwnFile {
            path: own.clone(),
            file: Some(file),
            pending: Vec::new(),
            written_position: 0,
            pending_position: 0,
        };
        Ok(CommitLog { own, peer_path, file: None, lost: false, offset: 0, buffer: Vec::new() })
    }

    fn read(&mut self) -> io::Result<()> {
        let inode = std::fs::metadata(&self.peer_path)?.ino();
        if self.file.as_ref().is_none_or(|(_, ino)| *ino != inode) {
            let file = File::open(&self.peer_path)?;
            let ino = file.metadata()?.ino();
            (self.file, self.offset, self.lost) = (Some((file, ino)), 0, false);
            self.buffer.clear();
        }
        let Some((file, _)) = &self.file else { return Ok(()) };
        let mut chunk = [0; READ_LEN];
        loop {
            let n = file.read_at(&mut chunk, self.offset)?;
            if n == 0 {
                return Ok(());
            }
            self.offset += n as u64;
            self.buffer.extend_from_slice(&chunk[..n]);
        }
    }
}

impl CommitExchange for CommitLog {
    fn record_commit(&mut self, session: &str, at: Position) {
        self.own.append(session, at);
    }

    fn take_received(&mut self) -> PeerCommits {
        if let Err(e) = self.read() {
            // If there never was such a file, the other process does not write one.
            let never = e.kind() == io::ErrorKind::NotFound && self.file.is_none() && !self.lost;
            if !never {
                (self.file, self.lost) = (None, true);
                return PeerCommits { commits: Vec::new(), complete: false };
            }
        }
        PeerCommits { commits: take_commits(&mut self.buffer), complete: true }
    }
}

/// Stands for a peer process that may run but cannot be checked: any session may have written up to now.
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
    fn records_are_decoded_whatever_the_read_boundaries() {
        let all = [
            encode_commit("a", 5),
            encode_commit("", 6),
            encode_commit("longer", 7),
            encode_commit(&"x".repeat(300), 8),
        ]
        .concat();
        let expected: Vec<(Arc<str>, Position)> =
            vec![("a".into(), 5), ("".into(), 6), ("longer".into(), 7), ("".into(), 8)];
        for cut in 0..=all.len() {
            let mut buffer = all[..cut].to_vec();
            let mut found = take_commits(&mut buffer);
            buffer.extend_from_slice(&all[cut..]);
            found.extend(take_commits(&mut buffer));
            assert!(buffer.is_empty() && found == expected, "cut at {cut}");
        }
    }

    #[test]
    fn each_commit_is_read_once_and_a_new_file_is_read_from_its_start() {
        let folder = std::env::temp_dir().join(format!("linentrail-commits-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (a, b) = (folder.join("a"), folder.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        assert!(here.take_received().commits.is_empty(), "there is no other yet");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        there.record_commit("k", 5);
        assert_eq!(here.take_received().commits, [("k".into(), 5)]);
        assert!(here.take_received().commits.is_empty() && there.take_received().commits.is_empty());
        // A new process replaces the other one.
        std::fs::write(folder.join("new"), b"").expect("fine");
        std::fs::rename(folder.join("new"), &b).expect("fine");
        let mut there = CommitLog::open(&b, a).expect("fine");
        there.record_commit("k", 9);
        assert_eq!(here.take_received().commits, [("k".into(), 9)]);
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn a_commit_that_exceeds_the_files_size_goes_into_a_new_file() {
        let folder = std::env::temp_dir().join(format!("linentrail-commits-full-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (a, b) = (folder.join("a"), folder.join("b"));
        let full = encode_commit("k", 3).repeat(MAX_FILE_LEN as usize / encode_commit("k", 3).len() + 1);
        std::fs::write(&a, full).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        assert!(!there.take_received().commits.is_empty());
        let mut here = CommitLog::open(&a, b).expect("fine");
        here.record_commit("k", 5);
        let received = there.take_received().commits;
        assert!(received.iter().any(|(name, at)| &**name == "k" && *at == 5), "{received:?}");
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn while_appends_fail_the_other_process_knows_that_commits_are_missing() {
        let folder = std::env::temp_dir().join(format!("linentrail-commits-broken-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("sub")).expect("a folder");
        let (a, b) = (folder.join("sub/a"), folder.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        here.record_commit("k", 5);
        assert_eq!(there.take_received(), PeerCommits { commits: vec![("k".into(), 5)], complete: true });
        // The file ends with an incomplete record, and neither it nor a new file can be written.
        here.own.file = Some(File::open(&a).expect("for reading alone"));
        std::fs::write(&a, [7, 1, 2]).expect("fine");
        std::fs::create_dir(a.with_extension("new")).expect("in the way");
        here.record_commit("k", 6);
        here.record_commit("j", 7);
        assert_eq!(there.take_received(), PeerCommits { commits: vec![], complete: false });
        assert!(!there.take_received().complete, "the file is still missing");
        std::fs::remove_dir(a.with_extension("new")).expect("it was there");
        here.record_commit("k", 8);
        let all = vec![("".into(), 5), ("k".into(), 6), ("j".into(), 7), ("k".into(), 8)];
        assert_eq!(there.take_received(), PeerCommits { commits: all, complete: true });
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn an_unreadable_file_does_not_count_as_no_commits() {
        let folder = std::env::temp_dir().join(format!("linentrail-commits-unread-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (a, b) = (folder.join("a"), folder.join("b"));
        // Opening a link to itself fails with another error than a missing file.
        std::os::unix::fs::symlink(&b, &b).expect("a link");
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        assert!(!here.take_received().complete, "it may have committed");
        std::fs::remove_file(&b).expect("it was there");
        assert!(!here.take_received().complete, "the contents before that are unknown");
        CommitLog::open(&b, a).expect("fine").record_commit("k", 5);
        assert_eq!(here.take_received(), PeerCommits { commits: vec![("k".into(), 5)], complete: true });
        let _ = std::fs::remove_dir_all(folder);
    }

    #[test]
    fn commits_not_yet_read_from_a_replaced_file_still_count() {
        let folder = std::env::temp_dir().join(format!("linentrail-commits-anew-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (a, b) = (folder.join("a"), folder.join("b"));
        let mut here = CommitLog::open(&a, b.clone()).expect("fine");
        let mut there = CommitLog::open(&b, a.clone()).expect("fine");
        here.record_commit("k", 5);
        assert!(there.take_received().complete);
        // The client has its answer, and the other process has not read since, when the file can no longer be
        // written.
        here.record_commit("k", 6);
        here.own.file = Some(File::open(&a).expect("for reading alone"));
        here.record_commit("j", 7);
        let received = there.take_received();
        let covers =
            |name: &str, at| received.commits.iter().any(|(n, p)| (&**n == name || n.is_empty()) && *p >= at);
        assert!(received.complete && covers("k", 6) && covers("j", 7), "{received:?}");
        let _ = std::fs::remove_dir_all(folder);
    }
}
