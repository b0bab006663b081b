//! What comes to the folder in which a process keeps its state, while the process is down.

use super::script::StoreDamage;
use std::fs;
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// The ending of a file that was still being written when its process was killed. No start reads it.
const UNFINISHED: &str = "new";

/// The newest whole file of a folder that is not empty.
fn newest(folder: &Path) -> Result<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let (entry, told) = entry.and_then(|e| e.metadata().map(|m| (e, m)))?;
        if told.is_file() && told.len() > 0 && !is_unfinished(&entry.path()) {
            files.push((told.modified()?, entry.path()));
        }
    }
    files.sort();
    files.pop().map(|(_, path)| path).ok_or_else(|| Error::other(format!("{} is empty", folder.display())))
}

fn is_unfinished(path: &Path) -> bool {
    path.extension().is_some_and(|ending| ending == UNFINISHED)
}

/// Copies a folder whose process may be writing to it: files that are unfinished or go meanwhile are left out.
fn copy(from: &Path, to: &Path) -> Result<()> {
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        if !entry.file_type()?.is_file() || is_unfinished(&entry.path()) {
            continue;
        }
        match fs::copy(entry.path(), to.join(entry.file_name())) {
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            copied => drop(copied?),
        }
    }
    Ok(())
}

/// Does it to a folder.
///
/// # Errors
/// When it cannot be done, as where there is nothing to harm.
pub fn damage_store(folder: &Path, harm: StoreDamage) -> Result<()> {
    let aside = folder.with_extension("kept");
    let mode = |mode| fs::set_permissions(folder, fs::Permissions::from_mode(mode));
    match harm {
        StoreDamage::Wiped => fs::remove_dir_all(folder),
        StoreDamage::Kept => copy(folder, &aside),
        StoreDamage::RolledBack => copy(&aside, folder),
        StoreDamage::Torn(part) => {
            let file = fs::OpenOptions::new().write(true).open(newest(folder)?)?;
            file.set_len(file.metadata()?.len() * u64::from(part) / 1000)
        }
        StoreDamage::Flipped => {
            let path = newest(folder)?;
            let mut bytes = fs::read(&path)?;
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
            fs::write(path, bytes)
        }
        StoreDamage::ReadOnly => mode(0o555),
        StoreDamage::Writable => mode(0o755),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_was_still_being_written_is_not_the_one_that_comes_to_harm() {
        let folder = std::env::temp_dir().join(format!("linentrail-harm-new-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("snapshot"), [0; 100]).expect("a file");
        fs::write(folder.join("snapshot.new"), [0; 50]).expect("a file");
        damage_store(&folder, StoreDamage::Torn(500)).expect("a file");
        let length = |name: &str| fs::metadata(folder.join(name)).expect("a file").len();
        assert_eq!((length("snapshot"), length("snapshot.new")), (50, 50));
        fs::remove_dir_all(&folder).expect("the folder");
    }

    #[test]
    fn a_file_that_is_being_written_while_its_folder_is_kept_is_left_out() {
        let folder = std::env::temp_dir().join(format!("linentrail-harm-kept-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("snapshot"), [0; 100]).expect("a file");
        let ends = std::sync::atomic::AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                // As a store writes: aside, then in its place.
                while !ends.load(std::sync::atomic::Ordering::Relaxed) {
                    fs::write(folder.join("snapshot.new"), [0; 100]).expect("a file");
                    fs::rename(folder.join("snapshot.new"), folder.join("snapshot")).expect("a file");
                }
            });
            let copied = (0..2_000).try_for_each(|_| damage_store(&folder, StoreDamage::Kept));
            ends.store(true, std::sync::atomic::Ordering::Relaxed);
            copied.expect("a copy each time");
        });
        let kept = folder.with_extension("kept");
        assert!(kept.join("snapshot").exists() && !kept.join("snapshot.new").exists());
        fs::remove_dir_all(&folder).expect("the folder");
        fs::remove_dir_all(kept).expect("the copy");
    }

    #[test]
    fn each_harm_is_what_it_says() {
        let folder = std::env::temp_dir().join(format!("linentrail-harm-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        assert!(damage_store(&folder, StoreDamage::Torn(500)).is_err(), "there is nothing to tear");
        let file = folder.join("a");
        let read = || fs::read(&file).expect("a file");
        fs::write(&file, [0; 100]).expect("a file");
        damage_store(&folder, StoreDamage::Kept).expect("a copy");
        damage_store(&folder, StoreDamage::Torn(250)).expect("a file");
        assert_eq!(read().len(), 25);
        damage_store(&folder, StoreDamage::Flipped).expect("a file");
        assert_eq!(read().iter().map(|b| b.count_ones()).sum::<u32>(), 1);
        damage_store(&folder, StoreDamage::RolledBack).expect("the copy");
        assert_eq!(read(), [0; 100]);
        damage_store(&folder, StoreDamage::ReadOnly).expect("a folder");
        assert_eq!(fs::metadata(&folder).expect("a folder").permissions().mode() & 0o777, 0o555);
        damage_store(&folder, StoreDamage::Writable).expect("a folder");
        damage_store(&folder, StoreDamage::Wiped).expect("a folder");
        assert!(!folder.exists());
        fs::remove_dir_all(folder.with_extension("kept")).expect("the copy");
    }
}
