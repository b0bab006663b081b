//! Two processes' sides of the exchange over one folder.

use super::*;
use crate::clock::Clock;
use crate::core::repeat_ledger::{LedgerSize, SharedEntry};

const SPAN: Time = 600_000_000;

struct Side {
    exchange: IdExchange,
    ids: RepeatIds,
}

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("linentrail-exchange-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn begin(path: &std::path::Path, peer_lives: bool, span: Time) -> Side {
    let folder = Arc::new(HandoverFolder::join(path.to_path_buf(), 3).expect("fine").expect("a slot"));
    let ids = RepeatIds::new(LedgerSize { ids: 100, bytes: 1_000 }, span, Clock::start());
    let mut exchange = IdExchange::new(folder, Some(ids.clone()));
    exchange.begin(peer_lives).await;
    Side { exchange, ids }
}

fn entry() -> SharedEntry {
    SharedEntry { fingerprint: Some(1), first_sent: 1, remaining: SPAN }
}

fn name(n: usize) -> String {
    RepeatIds::digest(&n.to_string())
}

fn claims(path: &std::path::Path) -> usize {
    ClaimDirectory::new(path.join(DIRECTORY)).claims().expect("fine").count()
}

#[tokio::test]
async fn the_next_process_hears_all_ids_and_goes_on_with_them_alone() {
    let path = folder("hears");
    let mut former = begin(&path, false, SPAN).await;
    assert!(former.ids.is_alone() && !path.join(DIRECTORY).exists(), "alone nothing is claimed");
    (0..200).for_each(|n| former.ids.insert_foreign(name(n), Some(entry())));
    let mut next = begin(&path, true, SPAN).await;
    assert!(next.exchange.is_waiting());
    next.exchange.look(true).await;
    assert!(next.exchange.is_waiting(), "nobody has answered");
    former.exchange.look(true).await;
    assert!(!former.ids.is_alone());
    next.exchange.look(true).await;
    assert!(!next.exchange.is_waiting());
    assert_eq!((claims(&path), next.ids.digests().len()), (200, 0));
    drop(former);
    next.exchange.look(false).await;
    assert!(next.ids.is_alone());
    assert_eq!((claims(&path), next.ids.digests().len()), (0, 200));
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn an_answer_to_another_question_proves_nothing() {
    let path = folder("stale");
    let mut former = begin(&path, false, SPAN).await;
    let mut next = begin(&path, true, SPAN).await;
    former.exchange.look(true).await;
    next.exchange.look(true).await;
    assert!(!next.exchange.is_waiting());
    drop(next);
    // Another one in its place, before the former has looked again: the answer there is not its own.
    let mut another = begin(&path, true, SPAN).await;
    another.exchange.look(true).await;
    assert!(another.exchange.is_waiting());
    former.exchange.look(true).await;
    another.exchange.look(true).await;
    assert!(!another.exchange.is_waiting());
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn where_the_one_that_was_asked_ends_what_it_did_not_tell_counts_as_entered() {
    let path = folder("ends");
    let former = begin(&path, false, SPAN).await;
    let mut next = begin(&path, true, SPAN).await;
    drop(former);
    let ended = Clock::start().now();
    next.exchange.look(false).await;
    assert!(next.ids.is_alone());
    let told = next.ids.summarize_for_peer(SPAN);
    assert!(told.complete_since >= ended && told.complete_since <= told.now, "{told:?}");
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn both_together_hold_no_more_than_one_may_and_the_shorter_span_binds_both() {
    let path = folder("bounds");
    let mut former = begin(&path, false, SPAN).await;
    (0..40).for_each(|n| former.ids.insert_foreign(name(n), Some(entry())));
    let before = former.ids.summarize_for_peer(SPAN);
    let mut next = begin(&path, true, 5 * SPAN).await;
    former.exchange.look(true).await;
    next.exchange.look(true).await;
    assert_eq!((former.ids.free_capacity().ids, next.ids.free_capacity().ids), (30, 30));
    // It knows no more than the other remembers, and no more than the other knew.
    let told = next.ids.summarize_for_peer(SPAN);
    let known_for = before.now - before.complete_since;
    assert!(told.now - told.complete_since <= known_for.min(SPAN) + 5_000_000, "{told:?}");
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn a_folder_that_takes_no_claims_leaves_the_one_alone_and_the_other_waiting() {
    let path = folder("broken");
    let mut former = begin(&path, false, SPAN).await;
    former.ids.insert_foreign(name(1), Some(entry()));
    std::fs::write(path.join(DIRECTORY), b"in the way").expect("a file");
    let mut next = begin(&path, true, SPAN).await;
    former.exchange.look(true).await;
    next.exchange.look(true).await;
    assert!(former.ids.is_alone() && next.exchange.is_waiting());
    std::fs::remove_file(path.join(DIRECTORY)).expect("it was there");
    former.exchange.look(true).await;
    next.exchange.look(true).await;
    assert!(!former.ids.is_alone() && !next.exchange.is_waiting());
    assert_eq!(claims(&path), 1);
    let _ = std::fs::remove_dir_all(path);
}

#[tokio::test]
async fn two_that_begin_at_once_tell_each_other() {
    let path = folder("both");
    let mut a = begin(&path, true, SPAN).await;
    let mut b = begin(&path, true, SPAN).await;
    for _ in 0..2 {
        a.exchange.look(true).await;
        b.exchange.look(true).await;
    }
    assert!(!a.exchange.is_waiting() && !b.exchange.is_waiting());
    assert!(!a.ids.is_alone() && !b.ids.is_alone());
    let _ = std::fs::remove_dir_all(path);
}
