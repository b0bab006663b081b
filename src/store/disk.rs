//! What the store asks of a disk, and the real one: a folder with one writer, by lock.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The longest file that is read.
const LONGEST: u64 = 64 << 20;

/// Files by name. What was not forced may be lost, or cut off anywhere, when the machine stops.
pub trait Disk {
    /// All names.
    ///
    /// # Errors
    /// When the folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;
    /// A file's bytes; none where there is no such file.
    ///
    /// # Errors
    /// When it cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Makes a file of these bytes, or replaces all that was in it.
    ///
    /// # Errors
    /// When it cannot be written; what is in it then is not known.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Adds to a file, which is made where it is not there.
    ///
    /// # Errors
    /// As [`Disk::write`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Forces a file onto the disk.
    ///
    /// # Errors
    /// When that fails: nothing can then be said of what was written since it last succeeded.
    fn force(&mut self, name: &str) -> io::Result<()>;
    /// Puts one file in the place of another, whole or not at all, and forces that.
    ///
    /// # Errors
    /// When it cannot be done.
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Takes a file away, if it is there.
    ///
    /// # Errors
    /// When it cannot be done.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// The number beside the folder that outlives it: the highest that was ever noted.
    ///
    /// # Errors
    /// When it cannot be read.
    fn witness(&self) -> io::Result<Option<u64>>;
    /// Notes one.
    ///
    /// # Errors
    /// When it cannot be written.
    fn note(&mut self, number: u64) -> io::Result<()>;
}

/// A folder on the machine's disk. Its lock is free again when this is dropped, or its process ends in any way.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    witness: PathBuf,
    /// Whether anything is forced.
    forces: bool,
    _lock: File,
}

impl DiskFolder {
    /// Takes the folder, which is made where it is not there; none while another process has it.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn lock(path: &Path, forces: bool) -> io::Result<Option<Self>> {
        let parent = path.parent().ok_or_else(|| io::Error::other("a folder within another"))?;
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default().to_string();
        fs::create_dir_all(parent)?;
        // Beside the folder: whoever wipes or restores that leaves these alone.
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(parent.join(format!("{name}.lock")))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => return Ok(None),
            Err(fs::TryLockError::Error(e)) => return Err(e),
        }
        fs::create_dir_all(path)?;
        let witness = parent.join(format!("{name}.boot"));
        Ok(Some(DiskFolder { path: path.to_path_buf(), witness, forces, _lock: lock }))
    }

    fn read_file(path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::metadata(path) {
            Ok(told) if told.len() > LONGEST => Err(io::Error::other("it is too long")),
            Ok(_) => fs::read(path).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn force_folder(&self) -> io::Result<()> {
        if self.forces {
            File::open(&self.path)?.sync_all()?;
        }
        Ok(())
    }
}

impl Disk for DiskFolder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Self::read_file(&self.path.join(name))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        fs::write(self.path.join(name), bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.path.join(name))?.write_all(bytes)
    }

    fn force(&mut self, name: &str) -> io::Result<()> {
        if self.forces {
            File::open(self.path.join(name))?.sync_all()?;
        }
        self.force_folder()
    }

    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.force_folder()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn witness(&self) -> io::Result<Option<u64>> {
        let bytes = Self::read_file(&self.witness)?;
        Ok(bytes.and_then(|b| std::str::from_utf8(&b).ok()?.trim().parse().ok()))
    }

    fn note(&mut self, number: u64) -> io::Result<()> {
        let aside = self.witness.with_extension("new");
        fs::write(&aside, format!("{number}\n"))?;
        if self.forces {
            File::open(&aside)?.sync_all()?;
        }
        fs::rename(aside, &self.witness)
    }
}
