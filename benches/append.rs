//! What an appended word costs, forced onto the disk each time: this program's log against an embedded database.
//! `cargo bench --bench append [WORDS] [FOLDER]`; never in CI, as it measures the disk.

use linentrail::effective_list::Suspension;
use linentrail::knowledge::Knowledge;
use linentrail::store::disk::DiskFolder;
use linentrail::store::state::Store;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const TABLE: TableDefinition<&str, (bool, u64)> = TableDefinition::new("words");

fn told(what: &str, mut each: Vec<Duration>, folder: &Path) {
    each.sort_unstable();
    let at = |part: f64| each[((each.len() - 1) as f64 * part) as usize].as_micros();
    let bytes: u64 = std::fs::read_dir(folder)
        .map(|files| files.flatten().filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum())
        .unwrap_or(0);
    println!(
        "{what}: median {} us, 90% {} us, 99% {} us, {bytes} bytes on the disk",
        at(0.5),
        at(0.9),
        at(0.99)
    );
}

fn names(words: usize) -> Vec<String> {
    (0..words).map(|n| format!("s-{:08x}", n % 64)).collect()
}

fn log(folder: &Path, words: usize) -> Result<(), Box<dyn std::error::Error>> {
    let disk = DiskFolder::lock(folder, true)?.ok_or("the folder is taken")?;
    let (mut store, _) = Store::open(disk, 64 << 20)?;
    store.snapshot(&Knowledge::default(), 1)?;
    let mut each = Vec::new();
    for (n, name) in names(words).iter().enumerate() {
        let began = Instant::now();
        store.append_suspension(name, &Suspension { suspended_at: n as u64 + 1, restored_at: None })?;
        each.push(began.elapsed());
    }
    told("log of this program", each, folder);
    drop(store);
    let began = Instant::now();
    let disk = DiskFolder::lock(folder, true)?.ok_or("the folder is taken")?;
    let (_, found) = Store::open(disk, 64 << 20)?;
    println!("  opened again in {:?}, {} members in it", began.elapsed(), found.knowledge.suspensions.len());
    Ok(())
}

fn database(folder: &Path, words: usize) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join("words.redb");
    let base = Database::create(&path)?;
    let mut each = Vec::new();
    for (n, name) in names(words).iter().enumerate() {
        let began = Instant::now();
        let change = base.begin_write()?;
        change.open_table(TABLE)?.insert(name.as_str(), (true, n as u64 + 1))?;
        change.commit()?;
        each.push(began.elapsed());
    }
    told("redb", each, folder);
    drop(base);
    let began = Instant::now();
    let base = Database::open(&path)?;
    let read = base.begin_read()?;
    let members = redb::ReadableTableMetadata::len(&read.open_table(TABLE)?)?;
    println!("  opened again in {:?}, {members} members in it", began.elapsed());
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let given: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let words = given.first().map_or(Ok(1_000), |n| n.parse())?;
    let folder = given.get(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("linentrail-append-{}", std::process::id()));
    for round in 1..=2 {
        println!("round {round}, {words} words");
        log(&folder.join("log"), words)?;
        database(&folder.join("redb"), words)?;
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}
