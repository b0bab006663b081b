//! Tests of the ledger: known and new ids, ids of other processes, ids that are too old, and limits.

use super::*;

const RETENTION_WINDOW: Time = 600_000_000;
const BEGAN: Time = 1_000_000_000;
const CAPACITY: LedgerSize = LedgerSize { ids: 4, bytes: 1_000 };

fn ledger() -> RepeatLedger<u32> {
    RepeatLedger::new(CAPACITY, RETENTION_WINDOW, BEGAN)
}

fn request(fingerprint: u64, first_sent: Time) -> ClaimRequest {
    ClaimRequest { fingerprint, answer_bytes: 100, first_sent, may_run_unknown: true }
}

#[test]
fn an_id_is_new_once_and_then_known_or_a_conflict() {
    let mut ledger = ledger();
    let now = BEGAN + 5;
    assert_eq!(ledger.claim("a", request(1, now), now, 7), Claim::New);
    assert_eq!(ledger.claim("a", request(1, now), now, 8), Claim::Existing(7));
    assert_eq!(ledger.claim("a", request(2, now), now, 8), Claim::IdConflict);
    ledger.remove("a");
    assert_eq!(ledger.claim("a", request(2, now), now, 9), Claim::New);
    assert_eq!(ledger.size(), LedgerSize { ids: 1, bytes: 100 });
}

#[test]
fn an_id_of_another_process_is_neither_new_nor_answered() {
    let mut ledger = ledger();
    let now = BEGAN + 5;
    let entry = SharedEntry { fingerprint: Some(1), first_sent: now, remaining: RETENTION_WINDOW };
    ledger.insert_foreign("a".into(), entry, now);
    ledger.insert_foreign("b".into(), SharedEntry { fingerprint: None, ..entry }, now);
    assert_eq!(ledger.claim("a", request(1, now), now, 7), Claim::ClaimedByPeer);
    assert_eq!(ledger.claim("a", request(2, now), now, 7), Claim::IdConflict);
    assert_eq!(ledger.claim("b", request(2, now), now, 7), Claim::ClaimedByPeer);
    // An id that this process has entered itself keeps its ticket.
    assert_eq!(ledger.claim("c", request(3, now), now, 7), Claim::New);
    ledger.insert_foreign("c".into(), entry, now);
    assert_eq!(ledger.claim("c", request(3, now), now, 8), Claim::Existing(7));
}

#[test]
fn an_id_first_sent_before_the_ledger_is_complete_or_too_long_ago_is_unprovable() {
    let mut ledger = ledger();
    let now = BEGAN + 2 * RETENTION_WINDOW;
    assert_eq!(ledger.claim("a", request(1, now - RETENTION_WINDOW - 1), now, 7), Claim::Unprovable);
    assert_eq!(ledger.claim("a", request(1, now - RETENTION_WINDOW), now, 7), Claim::New);
    ledger.set_complete_since(now - 10);
    assert_eq!(ledger.claim("b", request(1, now - 11), now, 7), Claim::Unprovable);
    assert_eq!(ledger.claim("b", request(1, now - 10), now, 7), Claim::New);
}

#[test]
fn no_entry_is_removed_before_its_retention_time_is_over() {
    let mut ledger = ledger();
    for id in ["a", "b", "c"] {
        assert_eq!(ledger.claim(id, request(1, BEGAN), BEGAN, 7), Claim::New);
    }
    // The client's clock is ahead: the entry is kept for the retention time from its first send.
    let ahead = BEGAN + 50;
    ledger.insert_foreign(
        "d".into(),
        SharedEntry { fingerprint: Some(1), first_sent: ahead, remaining: RETENTION_WINDOW },
        BEGAN,
    );
    ledger.mark_ended("a");
    ledger.mark_ended("b");
    assert!(ledger.remove_expired(BEGAN + RETENTION_WINDOW).is_empty());
    assert_eq!(ledger.claim("e", request(1, BEGAN), BEGAN + RETENTION_WINDOW, 7), Claim::NoRoom);
    let mut removed = ledger.remove_expired(BEGAN + RETENTION_WINDOW + 1);
    removed.sort_unstable();
    assert_eq!(removed, ["a", "b"], "c is still running, and d was first sent later by its client's clock");
    assert_eq!(ledger.remove_expired(ahead + RETENTION_WINDOW + 1), ["d"]);
    assert_eq!(ledger.size(), LedgerSize { ids: 1, bytes: 100 });
}

#[test]
fn the_size_of_the_answers_is_bounded() {
    let mut ledger = ledger();
    let large = ClaimRequest { answer_bytes: 900, ..request(1, BEGAN) };
    assert_eq!(ledger.claim("a", large, BEGAN, 7), Claim::New);
    assert_eq!(ledger.claim("b", request(1, BEGAN), BEGAN, 7), Claim::New);
    assert_eq!(ledger.claim("c", request(1, BEGAN), BEGAN, 7), Claim::NoRoom);
    ledger.set_capacity(LedgerSize { ids: 2, bytes: 10_000 });
    assert_eq!(ledger.claim("c", request(1, BEGAN), BEGAN, 7), Claim::NoRoom);
}

#[test]
fn a_retry_of_an_unknown_id_runs_only_after_a_refusal_of_this_process() {
    let mut ledger = ledger();
    let now = BEGAN + 5;
    let retry = ClaimRequest { may_run_unknown: false, ..request(1, now) };
    assert_eq!(ledger.claim("a", retry, now, 7), Claim::UnknownRetry);
    assert_eq!(ledger.claim("a", request(1, now), now, 7), Claim::New);
    assert_eq!(ledger.claim("a", retry, now, 8), Claim::Existing(7));
    // Refused, so that nothing has run: once.
    ledger.release("a");
    assert_eq!(ledger.claim("a", retry, now, 9), Claim::New);
    ledger.remove("a");
    assert_eq!(ledger.claim("a", retry, now, 9), Claim::UnknownRetry);
    // The same where there was no room for its first try.
    for id in ["b", "c", "d", "e"] {
        assert_eq!(ledger.claim(id, request(1, now), now, 7), Claim::New);
    }
    assert_eq!(ledger.claim("f", retry, now, 7), Claim::UnknownRetry);
    assert_eq!(ledger.claim("f", request(1, now), now, 7), Claim::NoRoom);
    ledger.release("b");
    assert_eq!(ledger.claim("f", retry, now, 7), Claim::New);
    // What is too old stays unprovable.
    ledger.release("f");
    ledger.set_complete_since(now + 1);
    assert_eq!(ledger.claim("f", retry, now, 7), Claim::Unprovable);
}
