//! The folder that the processes of one proxy share: slots, the lock, and files that are whole or not there.

use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

/// Processes of one proxy that may live at a time.
pub const SLOTS: usize = 2;
/// A look at a slot takes its lock for a moment, and one that ends holds its slot a while; whoever wants a slot then
/// tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The longest file read.
const MAX_FILE_LEN: u64 = 4 * 1024 * 1024;

/// What shows that a file has changed.
pub type Mark = Option<(SystemTime, u64)>;

/// A file that others write, as far as it was read.
#[derive(Debug, Default)]
pub struct FollowedFile {
    read: Mark,
    /// The one that could not be read, and was told.
    failed: Mark,
}

impl FollowedFile {
    /// One that is followed from here on: what has this mark has been read.
    pub fn since(mark: Mark) -> Self {
        FollowedFile { read: mark, failed: None }
    }

    /// What it holds, if it has changed since it was read. A failure is told once for each change, and reading tried again.
    pub fn news(
        &mut self,
        mark: Mark,
        read: impl FnOnce() -> io::Result<Option<Vec<u8>>>,
    ) -> Option<io::Result<Option<Vec<u8>>>> {
        if mark == self.read {
            return None;
        }
        let news = read();
        if news.is_ok() {
            self.read = mark;
        } else if self.failed == mark {
            return None;
        } else {
            self.failed = mark;
        }
        Some(news)
    }
}

/// The folder, with the slot held in it. The slot is free again when this is dropped, or its process ends in any way.
#[derive(Debug)]
pub struct HandoverFolder {
    path: PathBuf,
    /// Which slot it is.
    pub slot: usize,
    _lock: File,
    /// Another process lived at the last look; until one has succeeded it may.
    peer_alive: AtomicBool,
}

/// The file whose lock tells that the process in a slot lives. Former versions know it by this name, too.
fn lock_of(slot: usize) -> String {
    format!("seat-{slot}")
}

fn locked(file: &File) -> io::Result<bool> {
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
    /// Takes a slot in the folder, which is made where it is not there; none while others hold all slots. What cannot be done
    /// is tried so many times.
    ///
    /// # Errors
    /// When the folder cannot be used, by the last try.
    pub fn join(path: PathBuf, tries: usize) -> io::Result<Option<Self>> {
        let mut outcome = Ok(None);
        for _ in 0..tries {
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
            let file = open_lock_file(&path.join(lock_of(slot)))?;
            if locked(&file)? {
                let peer_alive = AtomicBool::new(true);
                return Ok(Some(HandoverFolder { path: path.to_path_buf(), slot, _lock: file, peer_alive }));
            }
        }
        Ok(None)
    }

    /// The other slot.
    pub fn other(&self) -> usize {
        1 - self.slot
    }

    /// Whether another process lives, as of the last look at its slot that could be taken.
    pub fn peer_alive(&self) -> bool {
        match self.other_lives() {
            Ok(lives) => self.peer_alive.store(lives, Ordering::Relaxed),
            Err(e) => log::warn!("the folder of the handover cannot be used: {e}"),
        }
        self.peer_alive.load(Ordering::Relaxed)
    }

    fn other_lives(&self) -> io::Result<bool> {
        let file = open_lock_file(&self.path.join(lock_of(self.other())))?;
        match file.try_lock_shared() {
            Ok(()) => Ok(false),
            Err(TryLockError::WouldBlock) => Ok(true),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// The lock under which files that both write are read, changed and written; none while the other has it. It ends
    /// when the file is dropped.
    ///
    /// # Errors
    /// When the folder cannot be used.
    pub fn lock(&self) -> io::Result<Option<File>> {
        let file = open_lock_file(&self.path.join("lock"))?;
        Ok(locked(&file)?.then_some(file))
    }

    /// What tells whether a file has changed since: it is new with each write.
    pub fn mark(&self, name: &str) -> Mark {
        use std::os::unix::fs::MetadataExt;
        let told = fs::metadata(self.path.join(name)).ok()?;
        Some((told.modified().ok()?, told.ino()))
    }

    /// A file's bytes; none where there is no such file.
    ///
    /// # Errors
    /// When it cannot be read.
    pub fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let path = self.path.join(name);
        match fs::metadata(&path) {
            Ok(told) if told.len() > MAX_FILE_LEN => Err(ErrorKind::FileTooLarge.into()),
            Ok(_) => fs::read(&path).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Where a file lies.
    pub fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Writes a file to the side and puts it in its place, so that no one ever sees a part of it.
    ///
    /// # Errors
    /// When it cannot be written; the former one then stays.
    pub fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let aside = self.path.join(format!("{name}.{}", self.slot));
        let mut file = File::create(&aside)?;
        file.write_all(bytes)?;
        drop(file);
        fs::rename(&aside, self.path.join(name))
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
    fn two_have_a_slot_each_and_a_third_none_until_one_goes() {
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
    fn another_process_has_not_gone_where_its_slot_cannot_be_looked_at() {
        let path = folder("unseen");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let b = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        assert!(a.peer_alive());
        // A folder in its place cannot be opened for the look.
        let lock = a.path_of(&lock_of(b.slot));
        fs::rename(&lock, a.path_of("aside")).expect("fine");
        fs::create_dir(&lock).expect("fine");
        assert!(a.peer_alive(), "it lives as far as is known");
        fs::remove_dir(&lock).expect("fine");
        fs::rename(a.path_of("aside"), &lock).expect("fine");
        drop(b);
        assert!(!a.peer_alive());
        let _ = fs::remove_dir_all(path);
    }

    #[test]
    fn another_process_that_could_not_be_looked_for_yet_may_live() {
        let path = folder("unlooked");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        // A folder in its place cannot be opened for the look.
        let lock = a.path_of(&lock_of(a.other()));
        fs::create_dir(&lock).expect("fine");
        assert!(a.peer_alive());
        fs::remove_dir(&lock).expect("fine");
        assert!(!a.peer_alive());
        let _ = fs::remove_dir_all(path);
    }

    #[test]
    fn a_file_that_cannot_be_read_for_a_moment_is_read_once_it_can_be() {
        let mark = Some((SystemTime::UNIX_EPOCH, 1));
        let mut file = FollowedFile::default();
        let fails = || Err(ErrorKind::Other.into());
        assert!(file.news(mark, fails).is_some_and(|news| news.is_err()));
        assert!(file.news(mark, fails).is_none(), "it was told");
        let news = file.news(mark, || Ok(Some(vec![7])));
        assert_eq!(news.expect("news").expect("fine"), Some(vec![7]));
        assert!(file.news(mark, || panic!("it was read")).is_none());
    }

    #[test]
    fn one_at_a_time_has_the_lock_and_a_write_shows_in_the_mark() {
        let path = folder("lock");
        let a = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let b = HandoverFolder::join(path.clone(), 3).expect("fine").expect("a slot");
        let held = a.lock().expect("fine").expect("free");
        assert!(b.lock().expect("fine").is_none());
        drop(held);
        assert!(b.lock().expect("fine").is_some());
        assert_eq!((a.mark("x"), a.read("x").expect("fine")), (None, None));
        a.write("x", b"one").expect("fine");
        let first = b.mark("x");
        b.write("x", b"two").expect("fine");
        assert_ne!(a.mark("x"), first);
        assert_eq!(a.read("x").expect("fine"), Some(b"two".to_vec()));
        let _ = fs::remove_dir_all(path);
    }
}
