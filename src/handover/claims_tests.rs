//! Claims of two processes in one directory, and other files and links with the names of claims.

use super::*;

fn directory(name: &str) -> ClaimDirectory {
    let path = std::env::temp_dir().join(format!("linentrail-claims-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    let directory = ClaimDirectory::new(path);
    directory.create().expect("a folder");
    directory
}

fn name(n: u8) -> String {
    format!("{n:02x}").repeat(NAME_LEN / 2)
}

fn entry(fingerprint: u64) -> SharedEntry {
    SharedEntry { fingerprint: Some(fingerprint), first_sent: 5, remaining: 7 }
}

#[test]
fn the_second_process_to_claim_an_id_gets_the_firsts_fingerprint() {
    let (here, id) = (directory("two"), name(1));
    let there = here.clone();
    assert_eq!(here.find(&id).expect("fine"), None);
    here.claim(&id, entry(u64::MAX)).expect("it is free");
    for store in [&here, &there] {
        assert!(matches!(store.claim(&id, entry(2)), Err(ClaimError::Taken(Some(u64::MAX)))));
        assert_eq!(store.find(&id).expect("fine"), Some(Some(u64::MAX)));
    }
    let found: Vec<FoundClaim> = there.claims().expect("fine").map(|claim| claim.expect("fine")).collect();
    assert_eq!(found, [(id.clone(), Some(entry(u64::MAX)))]);
    here.release(&id).expect("fine");
    here.release(&id).expect("it is gone already");
    there.claim(&id, entry(2)).expect("it is free again");
    let _ = fs::remove_dir_all(&here.path);
}

#[test]
fn concurrent_claims_of_an_id_succeed_once() {
    let store = directory("race");
    let claimed = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for n in 0..200 {
                    let won = store.claim(&name(n), entry(1)).is_ok();
                    claimed.fetch_add(usize::from(won), std::sync::atomic::Ordering::Relaxed);
                }
            });
        }
    });
    assert_eq!(claimed.into_inner(), 200);
    let _ = fs::remove_dir_all(&store.path);
}

#[test]
fn an_unreadable_entry_with_a_claims_name_counts_as_a_claim() {
    let store = directory("torn");
    for (n, target) in ["", "1:", "2:0000000000000001:5:7", "1:1:5", "1:1:5:7:9", "1:x:5:7", "1:1:-5:7"]
        .into_iter()
        .enumerate()
    {
        let id = name(n as u8);
        match target {
            "" => fs::write(store.path.join(&id), b"1:1:5:7").expect("a file"),
            target => symlink(target, store.path.join(&id)).expect("a link"),
        }
        assert!(matches!(store.claim(&id, entry(1)), Err(ClaimError::Taken(None))), "{target}");
        assert_eq!(store.find(&id).expect("fine"), Some(None), "{target}");
    }
    fs::write(store.path.join("README"), b"no claim").expect("a file");
    let found: Vec<FoundClaim> = store.claims().expect("fine").map(|claim| claim.expect("fine")).collect();
    assert_eq!(found.len(), 7);
    assert!(found.iter().all(|(_, entry)| entry.is_none()));
    let _ = fs::remove_dir_all(&store.path);
}

#[test]
fn an_unusable_directory_refuses_claims_and_reports_errors() {
    let store = directory("unusable");
    fs::remove_dir(&store.path).expect("it is empty");
    assert!(matches!(store.claim(&name(1), entry(1)), Err(ClaimError::Unknown(_))), "there is no directory");
    assert_eq!(store.claims().expect("a missing directory holds no claims").count(), 0);
    fs::write(&store.path, b"").expect("a file");
    assert!(matches!(store.claim(&name(1), entry(1)), Err(ClaimError::Unknown(_))));
    assert!(store.find(&name(1)).is_err() && store.claims().is_err() && store.create().is_err());
    let _ = fs::remove_file(&store.path);
}
