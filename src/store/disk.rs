//! The disk operations that the store needs, and their implementation: a folder that a lock reserves for one process.

use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Size in bytes up to which a file is read.
const MAX_FILE_LEN: u64 = 64 << 20;

/// Files by name. Data that was not synced may be lost or truncated at any byte when the machine stops.
pub trait Disk {
    /// The names of all files.
    ///
    /// # Errors
    /// When the folder cannot be read.
    fn names(&self) -> io::Result<Vec<String>>;
    /// The contents of a file; none if there is no such file.
    ///
    /// # Errors
    /// When the file cannot be read.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates a file with these contents, or overwrites it in place.
    ///
    /// # Errors
    /// When the file cannot be written; its contents are then undefined.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, which is created if it does not exist.
    ///
    /// # Errors
    /// As [`Disk::write`].
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a file to the disk.
    ///
    /// # Errors
    /// When that fails: anything written since the last successful sync may be missing.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Atomically replaces the file `to` by the file `from`, and syncs that.
    ///
    /// # Errors
    /// When that fails.
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file, if it exists.
    ///
    /// # Errors
    /// When that fails.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// The start number that is stored outside the folder, so that it survives the loss of the folder.
    ///
    /// # Errors
    /// When it cannot be read.
    fn outer_start_number(&self) -> io::Result<Option<u64>>;
    /// Stores the start number outside the folder.
    ///
    /// # Errors
    /// When it cannot be written.
    fn set_outer_start_number(&mut self, number: u64) -> io::Result<()>;
}

/// A locked folder on the machine's disk. The lock is released when this is dropped or its process ends in any way.
#[derive(Debug)]
pub struct DiskFolder {
    path: PathBuf,
    /// The file beside the folder that holds the highest start number.
    start_number_file: PathBuf,
    /// Whether files are synced to the disk.
    syncs: bool,
    _lock: File,
}

impl DiskFolder {
    /// Locks the folder, which is created if it does not exist; none if another process has locked it.
    ///
    /// # Errors
    /// When the folder cannot be used.
    pub fn lock(path: &Path, syncs: bool) -> io::Result<Option<Self>> {
        let parent = path.parent().ok_or_else(|| io::Error::other("the folder has no parent folder"))?;
        let name = path.file_name().and_then(|n| n.to_str()).unwrap_or_default().to_string();
        fs::create_dir_all(parent)?;
        // The lock and the start number lie beside the folder, where wiping or restoring the folder does not touch
        // them.
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
        let start_number_file = parent.join(format!("{name}.boot"));
        Ok(Some(DiskFolder { path: path.to_path_buf(), start_number_file, syncs, _lock: lock }))
    }

    fn read_file(path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::metadata(path) {
            Ok(metadata) if metadata.len() > MAX_FILE_LEN => Err(io::Error::other("the file is too large")),
            Ok(_) => fs::read(path).map(Some),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn sync_folder(&self) -> io::Result<()> {
        if self.syncs {
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

    fn sync(&mut self, name: &str) -> io::Result<()> {
        if self.syncs {
            File::open(self.path.join(name))?.sync_all()?;
        }
        self.sync_folder()
    }

    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.sync_folder()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    fn outer_start_number(&self) -> io::Result<Option<u64>> {
        let bytes = Self::read_file(&self.start_number_file)?;
        Ok(bytes.and_then(|b| std::str::from_utf8(&b).ok()?.trim().parse().ok()))
    }

    fn set_outer_start_number(&mut self, number: u64) -> io::Result<()> {
        let temporary = self.start_number_file.with_extension("new");
        fs::write(&temporary, format!("{number}\n"))?;
        if self.syncs {
            File::open(&temporary)?.sync_all()?;
        }
        fs::rename(temporary, &self.start_number_file)
    }
}
