//! Recovery after the disk stops at any byte of any write, loses data that was not synced, or fails to sync.

use super::*;
use crate::effective_list::Suspensions;
use crate::knowledge::TimestampedText;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A file: what is certain to be on the disk, and what a read returns now.
#[derive(Clone, Default)]
struct FileState {
    synced: Vec<u8>,
    current: Vec<u8>,
}

/// A disk in memory that stops after a number of steps. A step is one byte written, or one call.
#[derive(Clone, Default)]
struct MemoryDisk {
    files: BTreeMap<String, FileState>,
    outer_start_number: Option<u64>,
    /// Steps until the disk stops; none: it does not stop.
    steps_left: Option<u64>,
    /// The number of the sync call that fails.
    failing_sync: Option<u64>,
    syncs: u64,
    steps: u64,
}

impl MemoryDisk {
    fn step(&mut self, steps: u64) -> (u64, bool) {
        self.steps += steps;
        let Some(left) = &mut self.steps_left else { return (steps, true) };
        let done = steps.min(*left);
        *left -= done;
        (done, done == steps)
    }

    fn stopped<T>() -> io::Result<T> {
        Err(io::Error::other("the machine has stopped"))
    }

    /// The disk after the machine has stopped: of the data that was not synced, `keep` parts of 6 remain.
    fn after(&self, keep: usize) -> MemoryDisk {
        let mut files = self.files.clone();
        for file in files.values_mut() {
            // Contents that were overwritten and not synced may be cut at any byte; after an append what was synced
            // stays.
            let appended = file.current.starts_with(&file.synced);
            let certain = if appended { file.synced.len() } else { 0 };
            let rest = file.current.len() - certain;
            file.current.truncate(certain + rest * keep / 6);
            file.synced = file.current.clone();
        }
        MemoryDisk { files, outer_start_number: self.outer_start_number, ..MemoryDisk::default() }
    }
}

impl Disk for MemoryDisk {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|f| f.current.clone()))
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (done, completed) = self.step(bytes.len() as u64 + 1);
        if done > 0 {
            let file = self.files.entry(name.into()).or_default();
            file.current = bytes[..(done as usize - 1).min(bytes.len())].to_vec();
        }
        if completed {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (done, completed) = self.step(bytes.len() as u64 + 1);
        if done > 0 {
            let file = self.files.entry(name.into()).or_default();
            file.current.extend(&bytes[..(done as usize - 1).min(bytes.len())]);
        }
        if completed {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.syncs += 1;
        if self.failing_sync == Some(self.syncs) {
            return Err(io::Error::other("sync failed"));
        }
        let (_, completed) = self.step(1);
        if let (true, Some(file)) = (completed, self.files.get_mut(name)) {
            file.synced = file.current.clone();
        }
        if completed {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (_, completed) = self.step(1);
        if !completed {
            return Self::stopped();
        }
        let file = self.files.remove(from).ok_or_else(|| io::Error::other("there is none"))?;
        self.files.insert(to.into(), file);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        let (_, completed) = self.step(1);
        if !completed {
            return Self::stopped();
        }
        self.files.remove(name);
        Ok(())
    }
    fn outer_start_number(&self) -> io::Result<Option<u64>> {
        Ok(self.outer_start_number)
    }
    fn set_outer_start_number(&mut self, number: u64) -> io::Result<()> {
        let (_, completed) = self.step(1);
        if !completed {
            return Self::stopped();
        }
        self.outer_start_number = Some(number);
        Ok(())
    }
}

const MAX_LEN: u64 = 1 << 20;

fn suspended(at: Time) -> Suspension {
    Suspension { suspended_at: at, restored_at: None }
}

/// A disk that outlives its store.
type SharedMemory = Rc<RefCell<MemoryDisk>>;

impl Disk for SharedMemory {
    fn names(&self) -> io::Result<Vec<String>> {
        self.borrow().names()
    }
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.borrow().read(name)
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.borrow_mut().write(name, bytes)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.borrow_mut().append(name, bytes)
    }
    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().sync(name)
    }
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.borrow_mut().replace(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().remove(name)
    }
    fn outer_start_number(&self) -> io::Result<Option<u64>> {
        self.borrow().outer_start_number()
    }
    fn set_outer_start_number(&mut self, number: u64) -> io::Result<()> {
        self.borrow_mut().set_outer_start_number(number)
    }
}

/// One run of the store: suspensions, a snapshot, more suspensions, a snapshot. Returns the disk, the suspensions
/// that were confirmed, the start number and the time of the last snapshot, as far as they were written.
fn run_store(disk: MemoryDisk) -> (MemoryDisk, Suspensions, Option<u64>, Option<u64>) {
    let disk: SharedMemory = Rc::new(RefCell::new(disk));
    let (mut confirmed, mut start_number, mut snapshot) = (Suspensions::new(), None, None);
    if let Ok((mut store, found)) = Store::open(disk.clone(), MAX_LEN) {
        // A run that stops before this has written nothing.
        start_number = store.begin().is_ok().then_some(found.start_number);
        let mut all = found.knowledge;
        for n in 1..=6u64 {
            let (name, suspension) = (format!("m{}", n % 4), suspended(found.start_number * 100 + n));
            all.suspensions.insert(name.as_str().into(), suspension);
            if store.append_suspension(&name, &suspension).is_ok() {
                confirmed.insert(name.as_str().into(), suspension);
            }
            if n % 3 == 0 {
                all.settings = Some(TimestampedText { at: found.start_number * 100 + n, text: "{}".into() });
                if store.snapshot(&all, found.start_number * 100 + n).is_ok() {
                    snapshot = Some(found.start_number * 100 + n);
                    // A snapshot holds every suspension, also one that was not confirmed.
                    confirmed = all.suspensions.clone();
                }
            }
        }
    }
    let disk = disk.borrow().clone();
    (disk, confirmed, start_number, snapshot)
}

#[test]
fn after_a_stop_at_any_step_no_confirmed_suspension_is_missing_and_start_numbers_increase() {
    let (mut stops, mut found) = (0, BTreeMap::new());
    // Three runs in a row: each starts from the disk that the previous one left.
    let mut start = MemoryDisk::default();
    for _ in 0..3 {
        let next = run_store(MemoryDisk { steps: 0, ..start.clone() }).0;
        let steps = next.steps;
        for left in 0..=steps {
            let (disk, confirmed, start_number, snapshot) =
                run_store(MemoryDisk { steps_left: Some(left), ..start.clone() });
            for keep in 0..=6 {
                stops += 1;
                let (_, back) = Store::open(disk.after(keep), MAX_LEN).expect("a disk that works again");
                for (name, suspension) in &confirmed {
                    let known = back
                        .knowledge
                        .suspensions
                        .get(name)
                        .unwrap_or_else(|| panic!("{left} {keep}: no {name}"));
                    assert!(
                        known.suspended_at >= suspension.suspended_at,
                        "{left} {keep}: {name} {known:?} {suspension:?}"
                    );
                }
                assert!(start_number.is_none_or(|b| back.start_number > b), "{left} {keep}");
                assert!(
                    snapshot.is_none_or(|at| back.written_at >= at),
                    "{left} {keep}: {} {snapshot:?}",
                    back.written_at
                );
                assert!(
                    matches!(
                        back.status,
                        RecoveryStatus::Sound | RecoveryStatus::Fresh | RecoveryStatus::Lost
                    ),
                    "{left} {keep}: a stop damages nothing, found {:?}",
                    back.status
                );
                *found.entry(format!("{:?}", back.status)).or_insert(0) += 1;
            }
        }
        start = next.after(6);
    }
    assert!(stops > 10_000, "{stops} stops: {found:?}");
}

#[test]
fn after_a_failed_sync_no_suspension_is_confirmed_until_the_next_snapshot() {
    for failing_sync in 2..=4 {
        let (mut store, found) = Store::open(MemoryDisk::default(), MAX_LEN).expect("it opens");
        store.disk().failing_sync = Some(failing_sync);
        let mut refused = 0;
        for n in 0..5 {
            refused += u64::from(store.append_suspension("m1", &suspended(n)).is_err());
        }
        assert_eq!(refused, 7 - failing_sync, "all from the failed one on");
        let mut all = found.knowledge;
        all.suspensions.insert("m1".into(), suspended(9));
        store.snapshot(&all, 9).expect("a snapshot");
        store.append_suspension("m1", &suspended(10)).expect("a new log");
        let (_, back) = Store::open(store.disk().after(0), MAX_LEN).expect("it opens");
        assert_eq!(back.knowledge.suspensions["m1"], suspended(10));
    }
}

#[test]
fn each_recovery_status_is_distinguished() {
    let (disk, confirmed, _, _) = run_store(MemoryDisk::default());
    assert!(!confirmed.is_empty());
    let find = |disk: &MemoryDisk| Store::open(disk.after(6), MAX_LEN).expect("it opens").1;
    let with = |change: &dyn Fn(&mut MemoryDisk)| {
        let mut changed = disk.clone();
        change(&mut changed);
        find(&changed)
    };
    assert_eq!(find(&disk).status, RecoveryStatus::Sound);
    assert_eq!(find(&MemoryDisk::default()).status, RecoveryStatus::Fresh);
    let lost = with(&|d| d.files.clear());
    assert_eq!((lost.status, lost.start_number), (RecoveryStatus::Lost, 2));
    let bytes = |d: &mut MemoryDisk, f: &dyn Fn(&mut Vec<u8>)| {
        f(&mut d.files.get_mut(SNAPSHOT).expect("it is there").current)
    };
    assert_eq!(with(&|d| bytes(d, &|b| b.truncate(b.len() / 2))).status, RecoveryStatus::Torn);
    let flipped = with(&|d| {
        bytes(d, &|b| {
            let middle = b.len() / 2;
            b[middle] ^= 1;
        })
    });
    assert_eq!(flipped.status, RecoveryStatus::Torn);
    assert_eq!(with(&|d| bytes(d, &|b| *b = b"hello\n".to_vec())).status, RecoveryStatus::Foreign);
    let newer = with(&|d| {
        bytes(d, &|b| *b = String::from_utf8(b.clone()).expect("text").replacen(" 1 ", " 9 ", 1).into())
    });
    assert_eq!(newer.status, RecoveryStatus::Newer);
    // The folder was restored from an older copy, and the start number beside it was not.
    let mut back = disk.after(6);
    back.outer_start_number = Some(7);
    let rolled = find(&back);
    assert_eq!((rolled.status, rolled.start_number), (RecoveryStatus::RolledBack, 8));
    assert!(rolled.status.may_lack_suspensions() && !rolled.status.settings_usable());
}

#[test]
fn a_log_that_is_damaged_inside_yields_what_precedes_the_damage_and_is_reported() {
    let (mut store, _) = Store::open(MemoryDisk::default(), MAX_LEN).expect("it opens");
    store.append_suspension("m1", &suspended(1)).expect("room");
    store.append_suspension("m2", &suspended(2)).expect("room");
    let mut disk = store.disk().after(6);
    let log = disk.files.iter_mut().find(|(n, _)| n.starts_with(LOG_PREFIX)).expect("a log").1;
    let last = log.current.len() - 2;
    log.current[last] ^= 4;
    let (_, back) = Store::open(disk, MAX_LEN).expect("it opens");
    assert_eq!(back.status, RecoveryStatus::Torn);
    assert!(back.knowledge.suspensions.contains_key("m1") && !back.knowledge.suspensions.contains_key("m2"));
}

#[test]
fn data_beyond_the_size_limit_is_refused_and_the_old_data_stays() {
    let (mut store, found) = Store::open(MemoryDisk::default(), 300).expect("it opens");
    store.snapshot(&found.knowledge, 1).expect("little");
    let mut all = found.knowledge;
    all.settings = Some(TimestampedText { at: 1, text: "x".repeat(400).into() });
    assert!(store.snapshot(&all, 2).is_err());
    let accepted = (0..99).take_while(|n| store.append_suspension("m1", &suspended(*n)).is_ok()).count();
    assert!((1..99).contains(&accepted), "{accepted}");
    let (_, back) = Store::open(store.disk().after(6), 300).expect("it opens");
    assert_eq!((back.status, back.written_at), (RecoveryStatus::Sound, 1));
    assert_eq!(back.knowledge.suspensions["m1"].suspended_at, accepted as u64 - 1);
}
