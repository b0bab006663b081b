//! Claims of repeat ids in the folder that the processes of one proxy share.
//!
//! A claim is a symbolic link whose name is that of the id and whose target says what the claim is for: the kernel
//! creates it for one process alone, whole or not at all, and it stays when its process is killed.

use crate::core::repeat_ids::{ClaimError, ClaimStore};
use crate::core::repeat_ledger::SharedEntry;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};

/// The format of a claim's target.
const VERSION: &str = "1";
/// Hexadecimal digits of a name.
const NAME_LEN: usize = 64;

/// A claim that was found; its entry is none where the target cannot be understood.
pub type FoundClaim = (String, Option<SharedEntry>);

/// The directory of claims.
#[derive(Debug, Clone)]
pub struct ClaimDirectory {
    path: PathBuf,
}

impl ClaimDirectory {
    /// The directory at this place, which need not be there yet.
    pub fn new(path: PathBuf) -> Self {
        ClaimDirectory { path }
    }

    /// Makes the directory where it is not there.
    ///
    /// # Errors
    /// When it cannot be made.
    pub fn create(&self) -> io::Result<()> {
        fs::create_dir_all(&self.path)
    }

    /// All claims, one after the other.
    ///
    /// # Errors
    /// When the directory cannot be read. One that is not there holds none.
    pub fn claims(&self) -> io::Result<Box<dyn Iterator<Item = io::Result<FoundClaim>> + Send>> {
        let directory = match fs::read_dir(&self.path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Box::new(std::iter::empty())),
            directory => directory?,
        };
        Ok(Box::new(directory.filter_map(|entry| entry.and_then(|entry| read_claim(&entry)).transpose())))
    }
}

/// None for what is no claim, or is no longer there.
fn read_claim(entry: &fs::DirEntry) -> io::Result<Option<FoundClaim>> {
    let name = entry.file_name().to_string_lossy().into_owned();
    if !is_name(&name) {
        return Ok(None);
    }
    match read_target(&entry.path()) {
        Ok(found) => Ok(Some((name, found))),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

fn is_name(name: &str) -> bool {
    name.len() == NAME_LEN && name.bytes().all(|b| b.is_ascii_hexdigit())
}

fn target(entry: SharedEntry) -> String {
    let fingerprint = entry.fingerprint.map_or(String::new(), |print| format!("{print:016x}"));
    format!("{VERSION}:{fingerprint}:{}:{}", entry.first_sent, entry.remaining)
}

fn parse(target: &str) -> Option<SharedEntry> {
    let mut fields = target.split(':');
    let version = fields.next()?;
    let fingerprint = u64::from_str_radix(fields.next()?, 16).ok()?;
    let first_sent = fields.next()?.parse().ok()?;
    let remaining = fields.next()?.parse().ok()?;
    let whole = version == VERSION && fields.next().is_none();
    whole.then_some(SharedEntry { fingerprint: Some(fingerprint), first_sent, remaining })
}

fn read_target(path: &Path) -> io::Result<Option<SharedEntry>> {
    match fs::read_link(path) {
        Ok(target) => Ok(target.to_str().and_then(parse)),
        // It is no link, and stands in a claim's place.
        Err(e) if e.kind() == ErrorKind::InvalidInput => Ok(None),
        Err(e) => Err(e),
    }
}

/// Makes a call again that a signal has interrupted.
fn uninterrupted<T>(call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl ClaimStore for ClaimDirectory {
    fn claim(&self, id: &str, entry: SharedEntry) -> Result<(), ClaimError> {
        let (path, target) = (self.path.join(id), target(entry));
        match uninterrupted(|| symlink(&target, &path)) {
            Ok(()) => Ok(()),
            Err(e) if e.kind() == ErrorKind::AlreadyExists => match read_target(&path) {
                Ok(found) => Err(ClaimError::Taken(found.and_then(|entry| entry.fingerprint))),
                Err(e) => Err(ClaimError::Unknown(e)),
            },
            // The kernel looks for the name before it looks for room.
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
        match uninterrupted(|| fs::remove_file(self.path.join(id))) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}

#[cfg(test)]
#[path = "claims_tests.rs"]
mod tests;
