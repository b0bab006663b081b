//! Claims of repeat ids in a directory that the processes of one proxy share.
//!
//! A claim is a symbolic link named after the digest of the id; its target holds the booking's entry. The kernel
//! creates a link atomically and for one process only, and it stays when that process is killed.

use crate::core::repeat_ids::{ClaimError, ClaimStore};
use crate::core::repeat_ledger::SharedEntry;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

/// Version of the format of a claim's target.
const VERSION: &str = "1";
/// Length of a claim's name, in hexadecimal digits.
const NAME_LEN: usize = 64;

/// The name of a claim and its entry, which is none if the target cannot be parsed.
pub type FoundClaim = (String, Option<SharedEntry>);

/// The directory of claims.
#[derive(Debug, Clone)]
pub struct ClaimDirectory {
    path: PathBuf,
}

impl ClaimDirectory {
    /// The directory at this path, which need not exist yet.
    pub fn new(path: PathBuf) -> Self {
        ClaimDirectory { path }
    }

    /// Creates the directory if it does not exist.
    ///
    /// # Errors
    /// When it cannot be created.
    pub fn create(&self) -> io::Result<()> {
        fs::create_dir_all(&self.path)
    }

    /// Iterates over all claims. A directory that does not exist holds none.
    ///
    /// # Errors
    /// When the directory cannot be read.
    pub fn claims(&self) -> io::Result<Box<dyn Iterator<Item = io::Result<FoundClaim>> + Send>> {
        let directory = match fs::read_dir(&self.path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Box::new(std::iter::empty())),
            directory => directory?,
        };
        Ok(Box::new(directory.filter_map(|entry| entry.and_then(|entry| read_claim(&entry)).transpose())))
    }
}

/// Reads one directory entry; none if it is not a claim, or was removed meanwhile.
fn read_claim(entry: &fs::DirEntry) -> io::Result<Option<FoundClaim>> {
    let name = entry.file_name().to_string_lossy().into_owned();
    if !is_claim_name(&name) {
        return Ok(None);
    }
    match read_target(&entry.path()) {
        Ok(found) => Ok(Some((name, found))),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

fn is_claim_name(name: &str) -> bool {
    name.len() == NAME_LEN && name.bytes().all(|b| b.is_ascii_hexdigit())
}

fn format_target(entry: SharedEntry) -> String {
    let fingerprint = entry.fingerprint.map_or(String::new(), |value| format!("{value:016x}"));
    format!("{VERSION}:{fingerprint}:{}:{}", entry.first_sent, entry.remaining)
}

fn parse_target(target: &str) -> Option<SharedEntry> {
    let mut fields = target.split(':');
    let version = fields.next()?;
    let fingerprint = u64::from_str_radix(fields.next()?, 16).ok()?;
    let first_sent = fields.next()?.parse().ok()?;
    let remaining = fields.next()?.parse().ok()?;
    let valid = version == VERSION && fields.next().is_none();
    valid.then_some(SharedEntry { fingerprint: Some(fingerprint), first_sent, remaining })
}

fn read_target(path: &Path) -> io::Result<Option<SharedEntry>> {
    match fs::read_link(path) {
        Ok(target) => Ok(target.to_str().and_then(parse_target)),
        // A file that is not a link but has a claim's name counts as a claim.
        Err(e) if e.kind() == ErrorKind::InvalidInput => Ok(None),
        Err(e) => Err(e),
    }
}

/// Repeats a call while signals interrupt it.
fn retry_interrupted<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl ClaimStore for ClaimDirectory {
    fn claim(&self, id: &str, entry: SharedEntry) -> Result<(), ClaimError> {
        let (path, target) = (self.path.join(id), format_target(entry));
        match retry_interrupted(|| symlink(&target, &path)) {
            Ok(()) => Ok(()),
            Err(e) if e.kind() == ErrorKind::AlreadyExists => match read_target(&path) {
                Ok(found) => Err(ClaimError::Taken(found.and_then(|entry| entry.fingerprint))),
                Err(e) => Err(ClaimError::Unknown(e)),
            },
            // The kernel checks whether the name exists before it checks for space, so the id is not claimed.
            Err(e) if matches!(e.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded) => {
                Err(ClaimError::NoSpace)
            }
            Err(e) => Err(ClaimError::Unknown(e)),
        }
    }

    fn find(&self, id: &str) -> io::Result<Option<Option<u64>>> {
        match read_target(&self.path.join(id)) {
            Ok(found) => Ok(Some(found.and_then(|entry| entry.fingerprint))),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn release(&self, id: &str) -> io::Result<()> {
        match retry_interrupted(|| fs::remove_file(self.path.join(id))) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}

#[cfg(test)]
#[path = "claims_tests.rs"]
mod tests;
