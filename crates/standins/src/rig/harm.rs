//! Damages the folder in which a process stores its state, while the process is down.

use super::script::StoreDamage;
use std::fs;
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

/// Extension of a file that was still being written when its process was killed. No process reads such a file.
const UNFINISHED_EXTENSION: &str = "new";

/// The newest completely written and non-empty file of a folder.
fn newest(folder: &Path) -> Result<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let (entry, metadata) = entry.and_then(|e| e.metadata().map(|m| (e, m)))?;
        if metadata.is_file() && metadata.len() > 0 && !is_unfinished(&entry.path()) {
            files.push((metadata.modified()?, entry.path()));
        }
    }
    files.sort();
    files
        .pop()
        .map(|(_, path)| path)
        .ok_or_else(|| Error::other(format!("{} has no file to damage", folder.display())))
}

fn is_unfinished(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == UNFINISHED_EXTENSION)
}

/// Copies a folder whose process may be writing to it. Skips files that are not completely written or that disappear
/// meanwhile.
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

/// Applies the damage to a folder.
///
/// # Errors
/// If that fails, for instance because there is no file to damage.
pub fn damage_store(folder: &Path, damage: StoreDamage) -> Result<()> {
    let copy_path = folder.with_extension("kept");
    let mode = |mode| fs::set_permissions(folder, fs::Permissions::from_mode(mode));
    match damage {
        StoreDamage::Wiped => fs::remove_dir_all(folder),
        StoreDamage::Kept => copy(folder, &copy_path),
        StoreDamage::RolledBack => copy(&copy_path, folder),
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
    fn a_file_that_is_not_completely_written_is_never_damaged() {
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
    fn a_copy_of_the_folder_skips_a_file_that_is_being_written() {
        let folder = std::env::temp_dir().join(format!("linentrail-harm-kept-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("snapshot"), [0; 100]).expect("a file");
        let stop = std::sync::atomic::AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                // Like a store: writes a temporary file, then renames it.
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    fs::write(folder.join("snapshot.new"), [0; 100]).expect("a file");
                    fs::rename(folder.join("snapshot.new"), folder.join("snapshot")).expect("a file");
                }
            });
            let copied = (0..2_000).try_for_each(|_| damage_store(&folder, StoreDamage::Kept));
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
            copied.expect("a copy each time");
        });
        let kept = folder.with_extension("kept");
        assert!(kept.join("snapshot").exists() && !kept.join("snapshot.new").exists());
        fs::remove_dir_all(&folder).expect("the folder");
        fs::remove_dir_all(kept).expect("the copy");
    }

    #[test]
    fn each_kind_of_damage_has_its_effect() {
        let folder = std::env::temp_dir().join(format!("linentrail-harm-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        assert!(damage_store(&folder, StoreDamage::Torn(500)).is_err(), "there is no file to truncate");
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
