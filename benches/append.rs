//! Measures the latency of appending a suspension and syncing it to disk: this program's log compared with an
//! embedded database (redb). Run with `cargo bench --bench append [RECORDS] [FOLDER]`; not part of CI, because the
//! results depend on the disk.

use linentrail::effective_list::Suspension;
use linentrail::knowledge::Knowledge;
use linentrail::store::disk::DiskFolder;
use linentrail::store::state::Store;
use redb::{Database, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const TABLE: TableDefinition<&str, (bool, u64)> = TableDefinition::new("words");

fn print_latencies(what: &str, mut latencies: Vec<Duration>, folder: &Path) {
    latencies.sort_unstable();
    let percentile = |part: f64| latencies[((latencies.len() - 1) as f64 * part) as usize].as_micros();
    let bytes: u64 = std::fs::read_dir(folder)
        .map(|files| files.flatten().filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum())
        .unwrap_or(0);
    println!(
        "{what}: median {} us, 90% {} us, 99% {} us, {bytes} bytes on the disk",
        percentile(0.5),
        percentile(0.9),
        percentile(0.99)
    );
}

fn member_names(records: usize) -> Vec<String> {
    (0..records).map(|n| format!("s-{:08x}", n % 64)).collect()
}

fn bench_log(folder: &Path, records: usize) -> Result<(), Box<dyn std::error::Error>> {
    let disk = DiskFolder::lock(folder, true)?.ok_or("the folder is locked by another process")?;
    let (mut store, _) = Store::open(disk, 64 << 20)?;
    store.snapshot(&Knowledge::default(), 1)?;
    let mut latencies = Vec::new();
    for (n, name) in member_names(records).iter().enumerate() {
        let started_at = Instant::now();
        store.append_suspension(name, &Suspension { suspended_at: n as u64 + 1, restored_at: None })?;
        latencies.push(started_at.elapsed());
    }
    print_latencies("log of this program", latencies, folder);
    drop(store);
    let started_at = Instant::now();
    let disk = DiskFolder::lock(folder, true)?.ok_or("the folder is locked by another process")?;
    let (_, recovered) = Store::open(disk, 64 << 20)?;
    println!(
        "  reopened in {:?}, {} members in it",
        started_at.elapsed(),
        recovered.knowledge.suspensions.len()
    );
    Ok(())
}

fn bench_database(folder: &Path, records: usize) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join("words.redb");
    let database = Database::create(&path)?;
    let mut latencies = Vec::new();
    for (n, name) in member_names(records).iter().enumerate() {
        let started_at = Instant::now();
        let transaction = database.begin_write()?;
        transaction.open_table(TABLE)?.insert(name.as_str(), (true, n as u64 + 1))?;
        transaction.commit()?;
        latencies.push(started_at.elapsed());
    }
    print_latencies("redb", latencies, folder);
    drop(database);
    let started_at = Instant::now();
    let database = Database::open(&path)?;
    let read = database.begin_read()?;
    let members = redb::ReadableTableMetadata::len(&read.open_table(TABLE)?)?;
    println!("  reopened in {:?}, {members} members in it", started_at.elapsed());
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    let records = arguments.first().map_or(Ok(1_000), |n| n.parse())?;
    let folder = arguments.get(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let folder = folder.join(format!("linentrail-append-{}", std::process::id()));
    for round in 1..=2 {
        println!("round {round}, {records} records");
        bench_log(&folder.join("log"), records)?;
        bench_database(&folder.join("redb"), records)?;
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}
