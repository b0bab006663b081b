//! The folder that the processes of one proxy share: process slots, a lock, and files that are replaced atomically.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

/// Number of processes of one proxy that may run at the same time.
pub const SLOTS: usize = 2;
/// Delay before another attempt to take a slot: checking a slot locks it for a moment, and a process that shuts down
/// holds its slot for a while.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Size in bytes up to which a file is read.
const MAX_FILE_LEN: u64 = 4 * 1024 * 1024;

/// Modification time and inode of a file, which differ after each write; none if there is no such file.
pub type FileVersion = Option<(SystemTime, u64)>;

/// Tracks which version of a file was last read.
#[derive(Debug, Default)]
pub struct WatchedFile {
    read: FileVersion,
    /// The version that could not be read and was reported.
    failed: FileVersion,
}

impl WatchedFile {
    /// Ignores this version of the file and returns later ones.
    pub fn since(version: FileVersion) -> Self {
        WatchedFile { read: version, failed: None }
    }

    /// The contents of the file, if it has changed since it was last read. A failure is returned once for each
    /// version, while reading is retried with each call.
    pub fn read_if_changed(
        &mut self,
        version: FileVersion,
        read: impl FnOnce() -> io::Result<Option<Vec<u8>>>,
    ) -> Option<io::Result<Option<Vec<u8>>>> {
        if version == self.read {
            return None;
        }
        let contents = read();
        if contents.is_ok() {
            self.read = version;
        } else if self.failed == version {
            return None;
        } else {
            self.failed = version;
        }
        Some(contents)
    }
}

/// The shared folder and this process's slot in it. The slot is released when this is dropped or its process ends in
/// any way.
#[derive(Debug)]
pub struct HandoverFolder {
    path: PathBuf,
    /// Number of this process's slot.
    pub slot: usize,
    _lock: File,
    /// Whether the peer process was running at the last successful check; true until one has succeeded.
    peer_alive: AtomicBool,
}

/// The file that the process in a slot keeps locked while it runs. Earlier releases use the same file name.
fn slot_file(slot: usize) -> String {
    format!("seat-{slot}")
}

fn try_lock(file: &File) -> io::Result<bool> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

fn open_lock_file(path: &Path) -> io::Result<File> {
    File::options().create(true).truncate(false).read(true).write(true).open(path)
}

impl HandoverFolder {
    /// Takes a slot in the folder, which is created if it does not exist; none if all slots are taken. Makes up to
    /// this many attempts.
    ///
    /// # Errors
    /// When the last attempt could not use the folder.
    pub fn join(path: PathBuf, attempts: usize) -> io::Result<Option<Self>> {
        let mut outcome = Ok(None);
        for _ in 0..attempts {
            outcome = Self::try_join(&path);
            if matches!(outcome, Ok(Some(_))) {
                break;
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        outcome
    }

    fn try_join(path: &Path) -> io::Result<Option<Self>> {
        fs::create_dir_all(path)?;
        for slot in 0..SLOTS {
            let file = open_lock_file(&path.join(slot_file(slot)))?;
            if try_lock(&file)? {
                let peer_alive = AtomicBool::new(true);
                return Ok(Some(HandoverFolder { path: path.to_path_buf(), slot, _lock: file, peer_alive }));
            }
        }
        Ok(None)
    }

    /// Number of the peer process's slot.
    pub fn peer_slot(&self) -> usize {
        1 - self.slot
    }

    /// Whether the peer process is running, by the last check of its slot that succeeded.
    pub fn peer_alive(&self) -> bool {
        match self.check_peer() {
            Ok(alive) => self.peer_alive.store(alive, Ordering::Relaxed),
            Err(e) => log::warn!("the folder of the handover cannot be used: {e}"),
        }
        self.peer_alive.load(Ordering::Relaxed)
    }

    fn check_peer(&self) -> io::Result<bool> {
        let file = open_lock_file(&self.path.join(slot_file(self.peer_slot())))?;
        match file.try_lock_shared() {
            Ok(()) => Ok(false),
            Err(TryLockError::WouldBlock) => Ok(true),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Locks the files that both processes read, change and write; none if the peer process holds the lock.
    /// Dropping the returned file releases it.
    ///
    /// # Errors
    /// When the folder cannot be used.
    pub fn lock(&self) -> io::Result<Option<File>> {
        let file = open_lock_file(&self.path.join("lock"))?;
        Ok(try_lock(&file)?.then_some(file))
    }

    /// The current version of a file.
    pub fn version(&self, name: &str) -> FileVersion {
        use std::os::unix::fs::MetadataExt;
        let metadata = fs::metadata(self.path.join(name)).ok()?;
        Some((metadata.modified().ok()?, metadata.ino()))
    }

    /// The contents of a file; none if there is no such file.
    ///
    /// # Errors
    /// When the file cannot be read or is too large.
    pub fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let path = self.path.join(name);
        match fs::metadata(&path) {
            Ok(metadata) if metadata.len() > MAX_FILE_LEN => Err(ErrorKind::FileTooLarge.into()),
            Ok(_) => fs::read(&path).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// The path of a file.
    pub fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Replaces a file atomically, so that no reader sees a part of it.
    ///
    /// # Errors
    /// When it cannot be written; the old file then stays.
    pub fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(format!("{name}.{}", self.slot));
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        drop(file);
        fs::rename(&temporary, self.path.join(name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("linentrail-files-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        path
    }

    #[test]
    fn two_processes_get_a_slot_each_and_a_third_waits_for_a_free_one() {
        let path = folder("slots");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        assert!(!a.peer_alive());
        let b = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        assert!(a.slot != b.slot && a.peer_alive() && b.peer_alive());
        assert!(HandoverFolder::join(path.clone(), 3).expect("fine").is_none());
        drop(a);
        assert!(!b.peer_alive());
        assert!(HandoverFolder::join(path.clone(), 3).expect("fine").is_some());
        let _ = fs::remove_dir_all(path);
    }

    #[test]
    fn the_peer_counts_as_running_while_its_slot_cannot_be_checked() {
        let path = folder("unseen");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let b = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        assert!(a.peer_alive());
        // A folder with the name of the slot's file cannot be opened as a file.
        let lock = a.path_of(&slot_file(b.slot));
        fs::rename(&lock, a.path_of("aside")).expect("fine");
        fs::create_dir(&lock).expect("fine");
        assert!(a.peer_alive(), "a failed check must not report its end");
        fs::remove_dir(&lock).expect("fine");
        fs::rename(a.path_of("aside"), &lock).expect("fine");
        drop(b);
        assert!(!a.peer_alive());
        let _ = fs::remove_dir_all(path);
    }

    #[test]
    fn the_peer_counts_as_running_until_its_slot_was_checked_once() {
        let path = folder("unlooked");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        // A folder with the name of the slot's file cannot be opened as a file.
        let lock = a.path_of(&slot_file(a.peer_slot()));
        fs::create_dir(&lock).expect("fine");
        assert!(a.peer_alive());
        fs::remove_dir(&lock).expect("fine");
        assert!(!a.peer_alive());
        let _ = fs::remove_dir_all(path);
    }

    #[test]
    fn reading_is_retried_after_a_failure() {
        let version = Some((SystemTime::UNIX_EPOCH, 1));
        let mut file = WatchedFile::default();
        let fails = || Err(ErrorKind::Other.into());
        assert!(file.read_if_changed(version, fails).is_some_and(|contents| contents.is_err()));
        assert!(file.read_if_changed(version, fails).is_none(), "it was told");
        let contents = file.read_if_changed(version, || Ok(Some(vec![7])));
        assert_eq!(contents.expect("changed").expect("fine"), Some(vec![7]));
        assert!(file.read_if_changed(version, || panic!("it was read")).is_none());
    }

    #[test]
    fn the_lock_is_exclusive_and_each_write_changes_the_version() {
        let path = folder("lock");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let b = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let held = a.lock().expect("fine").expect("free");
        assert!(b.lock().expect("fine").is_none());
        drop(held);
        assert!(b.lock().expect("fine").is_some());
        assert_eq!((a.version("x"), a.read("x").expect("fine")), (None, None));
        a.write("x", b"one").expect("fine");
        let first = b.version("x");
        b.write("x", b"two").expect("fine");
        assert_ne!(a.version("x"), first);
        assert_eq!(a.read("x").expect("fine"), Some(b"two".to_vec()));
        let _ = fs::remove_dir_all(path);
    }
}
