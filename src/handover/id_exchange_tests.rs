//! The exchange of repeat ids between two processes over one folder.

use super::*;
use crate::clock::Clock;
use crate::core::repeat_ledger::{LedgerSize, SharedEntry};

const RETENTION: Time = 600_000_000;

struct Process {
    exchange: IdExchange,
    ids: RepeatIds,
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("linentrail-exchange-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn start(path: &std::path::Path, peer_alive: bool, retention: Time) -> Process {
    let folder = Arc::new(HandoverFolder::join(path.to_path_buf(), 3).expect("fine").expect("a slot"));
    let ids = RepeatIds::new(LedgerSize { ids: 100, bytes: 1_000 }, retention, Clock::start());
    let mut exchange = IdExchange::new(folder, Some(ids.clone()));
    exchange.start(peer_alive).await;
    Process { exchange, ids }
}

fn entry() -> SharedEntry {
    SharedEntry { fingerprint: Some(1), first_sent: 1, remaining: RETENTION }
}

fn name(n: usize) -> String {
    RepeatIds::digest(&n.to_string())
}

fn claims(path: &std::path::Path) -> usize {
    ClaimDirectory::new(path.join(DIRECTORY)).claims().expect("fine").count()
}

#[tokio::test]
async fn a_new_process_receives_all_ids_and_keeps_them_once_it_is_alone() {
    let path = folder("hears");
    let mut former = start(&path, false, RETENTION).await;
    assert!(former.ids.is_alone() && !path.join(DIRECTORY).exists(), "alone nothing is claimed");
    (0..200).for_each(|n| former.ids.insert_foreign(name(n), Some(entry())));
    let mut next = start(&path, true, RETENTION).await;
    assert!(next.exchange.is_waiting());
    next.exchange.poll(true).await;
    assert!(next.exchange.is_waiting(), "nobody has answered");
    former.exchange.poll(true).await;
    assert!(!former.ids.is_alone());
    next.exchange.poll(true).await;
    assert!(!next.exchange.is_waiting());
    assert_eq!((claims(&path), next.ids.digests().len()), (200, 0));
    drop(former);
    next.exchange.poll(false).await;
    assert!(next.ids.is_alone());
    assert_eq!((claims(&path), next.ids.digests().len()), (0, 200));
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn a_reply_to_another_query_is_ignored() {
    let path = folder("stale");
    let mut former = start(&path, false, RETENTION).await;
    let mut next = start(&path, true, RETENTION).await;
    former.exchange.poll(true).await;
    next.exchange.poll(true).await;
    assert!(!next.exchange.is_waiting());
    drop(next);
    // A third process takes the slot before the first has polled again: the reply in the folder is not for it.
    let mut another = start(&path, true, RETENTION).await;
    another.exchange.poll(true).await;
    assert!(another.exchange.is_waiting());
    former.exchange.poll(true).await;
    another.exchange.poll(true).await;
    assert!(!another.exchange.is_waiting());
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn if_the_asked_process_ends_without_a_reply_its_ids_count_as_used() {
    let path = folder("ends");
    let former = start(&path, false, RETENTION).await;
    let mut next = start(&path, true, RETENTION).await;
    drop(former);
    let ended = Clock::start().now();
    next.exchange.poll(false).await;
    assert!(next.ids.is_alone());
    let summary = next.ids.summarize_for_peer(RETENTION);
    assert!(summary.complete_since >= ended && summary.complete_since <= summary.now, "{summary:?}");
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn both_processes_together_keep_to_one_capacity_and_to_the_shorter_retention() {
    let path = folder("bounds");
    let mut former = start(&path, false, RETENTION).await;
    (0..40).for_each(|n| former.ids.insert_foreign(name(n), Some(entry())));
    let before = former.ids.summarize_for_peer(RETENTION);
    let mut next = start(&path, true, 5 * RETENTION).await;
    former.exchange.poll(true).await;
    next.exchange.poll(true).await;
    assert_eq!((former.ids.free_capacity().ids, next.ids.free_capacity().ids), (30, 30));
    // The new process vouches for no more than the former one remembers and knew.
    let summary = next.ids.summarize_for_peer(RETENTION);
    let known_for = before.now - before.complete_since;
    assert!(summary.now - summary.complete_since <= known_for.min(RETENTION) + 5_000_000, "{summary:?}");
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn if_claims_cannot_be_written_one_process_stays_alone_and_the_other_waits() {
    let path = folder("broken");
    let mut former = start(&path, false, RETENTION).await;
    former.ids.insert_foreign(name(1), Some(entry()));
    std::fs::write(path.join(DIRECTORY), b"in the way").expect("a file");
    let mut next = start(&path, true, RETENTION).await;
    former.exchange.poll(true).await;
    next.exchange.poll(true).await;
    assert!(former.ids.is_alone() && next.exchange.is_waiting());
    std::fs::remove_file(path.join(DIRECTORY)).expect("it was there");
    former.exchange.poll(true).await;
    next.exchange.poll(true).await;
    assert!(!former.ids.is_alone() && !next.exchange.is_waiting());
    assert_eq!(claims(&path), 1);
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn two_processes_that_start_at_once_answer_each_other() {
    let path = folder("both");
    let mut a = start(&path, true, RETENTION).await;
    let mut b = start(&path, true, RETENTION).await;
    for _ in 0..2 {
        a.exchange.poll(true).await;
        b.exchange.poll(true).await;
    }
    assert!(!a.exchange.is_waiting() && !b.exchange.is_waiting());
    assert!(!a.ids.is_alone() && !b.ids.is_alone());
    let _ = std::fs::remove_dir_all(path);
}
