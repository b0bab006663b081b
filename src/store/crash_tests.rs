//! A disk that stops at any byte of any write, loses what was not forced, or says no; and what a start believes after.

use super::*;
use crate::effective_list::Suspensions;
use crate::knowledge::TimestampedText;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A file: what is on the disk for sure, and what was written since.
#[derive(Clone, Default)]
struct Kept {
    forced: Vec<u8>,
    now: Vec<u8>,
}

/// A disk in memory that stops after so many steps; a step is a byte written, or a call.
#[derive(Clone, Default)]
struct Memory {
    files: BTreeMap<String, Kept>,
    witness: Option<u64>,
    left: Option<u64>,
    /// Of calls to force, this one fails.
    fails: Option<u64>,
    forced: u64,
    steps: u64,
}

impl Memory {
    fn step(&mut self, steps: u64) -> (u64, bool) {
        self.steps += steps;
        let Some(left) = &mut self.left else { return (steps, true) };
        let done = steps.min(*left);
        *left -= done;
        (done, done == steps)
    }

    fn stopped<T>() -> io::Result<T> {
        Err(io::Error::other("the machine has stopped"))
    }

    /// After the machine has stopped: of what was not forced, `keep` parts of 6 remain.
    fn after(&self, keep: usize) -> Memory {
        let mut files = self.files.clone();
        for kept in files.values_mut() {
            // What replaced a file's bytes without being forced may be cut anywhere; what was appended stays before it.
            let appended = kept.now.starts_with(&kept.forced);
            let sure = if appended { kept.forced.len() } else { 0 };
            let rest = kept.now.len() - sure;
            kept.now.truncate(sure + rest * keep / 6);
            kept.forced = kept.now.clone();
        }
        Memory { files, witness: self.witness, ..Memory::default() }
    }
}

impl Disk for Memory {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).map(|f| f.now.clone()))
    }
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (done, whole) = self.step(bytes.len() as u64 + 1);
        if done > 0 {
            let kept = self.files.entry(name.into()).or_default();
            kept.now = bytes[..(done as usize - 1).min(bytes.len())].to_vec();
        }
        if whole {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (done, whole) = self.step(bytes.len() as u64 + 1);
        if done > 0 {
            let kept = self.files.entry(name.into()).or_default();
            kept.now.extend(&bytes[..(done as usize - 1).min(bytes.len())]);
        }
        if whole {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn force(&mut self, name: &str) -> io::Result<()> {
        self.forced += 1;
        if self.fails == Some(self.forced) {
            return Err(io::Error::other("it cannot be forced"));
        }
        let (_, whole) = self.step(1);
        if let (true, Some(kept)) = (whole, self.files.get_mut(name)) {
            kept.forced = kept.now.clone();
        }
        if whole {
            Ok(())
        } else {
            Self::stopped()
        }
    }
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        let (_, whole) = self.step(1);
        if !whole {
            return Self::stopped();
        }
        let file = self.files.remove(from).ok_or_else(|| io::Error::other("there is none"))?;
        self.files.insert(to.into(), file);
        Ok(())
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        let (_, whole) = self.step(1);
        if !whole {
            return Self::stopped();
        }
        self.files.remove(name);
        Ok(())
    }
    fn witness(&self) -> io::Result<Option<u64>> {
        Ok(self.witness)
    }
    fn note(&mut self, number: u64) -> io::Result<()> {
        let (_, whole) = self.step(1);
        if !whole {
            return Self::stopped();
        }
        self.witness = Some(number);
        Ok(())
    }
}

const MOST: u64 = 1 << 20;

fn out(at: Time) -> Suspension {
    Suspension { suspended_at: at, restored_at: None }
}

/// The disk outlives the store that fails to open it.
type Shared = Rc<RefCell<Memory>>;

impl Disk for Shared {
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
    fn force(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().force(name)
    }
    fn replace(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.borrow_mut().replace(from, to)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.borrow_mut().remove(name)
    }
    fn witness(&self) -> io::Result<Option<u64>> {
        self.borrow().witness()
    }
    fn note(&mut self, number: u64) -> io::Result<()> {
        self.borrow_mut().note(number)
    }
}

/// A life of the store: words, a snapshot, more words, a snapshot. What had its yes, and how far it came.
fn live(disk: Memory) -> (Memory, Suspensions, Option<u64>, Option<u64>) {
    let disk: Shared = Rc::new(RefCell::new(disk));
    let (mut yes, mut start_number, mut snapshot) = (Suspensions::new(), None, None);
    if let Ok((mut store, found)) = Store::open(disk.clone(), MOST) {
        // A start that has not got so far has written nothing.
        start_number = store.begin().is_ok().then_some(found.start_number);
        let mut all = found.knowledge;
        for n in 1..=6u64 {
            let (name, hand) = (format!("m{}", n % 4), out(found.start_number * 100 + n));
            all.suspensions.insert(name.as_str().into(), hand);
            if store.append_suspension(&name, &hand).is_ok() {
                yes.insert(name.as_str().into(), hand);
            }
            if n % 3 == 0 {
                all.settings = Some(TimestampedText { at: found.start_number * 100 + n, text: "{}".into() });
                if store.snapshot(&all, found.start_number * 100 + n).is_ok() {
                    snapshot = Some(found.start_number * 100 + n);
                    // A snapshot holds every word, also one that had no yes.
                    yes = all.suspensions.clone();
                }
            }
        }
    }
    let disk = disk.borrow().clone();
    (disk, yes, start_number, snapshot)
}

#[test]
fn after_a_stop_at_any_step_no_word_that_had_its_yes_is_missing_and_no_start_has_an_earlier_number() {
    let (mut stops, mut found) = (0, BTreeMap::new());
    // Three lives one after the other: each begins with what the one before has left.
    let mut start = Memory::default();
    for _ in 0..3 {
        let next = live(Memory { steps: 0, ..start.clone() }).0;
        let steps = next.steps;
        for left in 0..=steps {
            let (disk, yes, start_number, snapshot) = live(Memory { left: Some(left), ..start.clone() });
            for keep in 0..=6 {
                stops += 1;
                let (_, back) = Store::open(disk.after(keep), MOST).expect("a disk that works again");
                for (name, hand) in &yes {
                    let known = back
                        .knowledge
                        .suspensions
                        .get(name)
                        .unwrap_or_else(|| panic!("{left} {keep}: no {name}"));
                    assert!(
                        known.suspended_at >= hand.suspended_at,
                        "{left} {keep}: {name} {known:?} {hand:?}"
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
                    "{left} {keep}: a stop leaves nothing damaged, found {:?}",
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
fn a_word_that_could_not_be_forced_has_no_yes_nor_has_any_until_a_snapshot() {
    for fails in 2..=4 {
        let (mut store, found) = Store::open(Memory::default(), MOST).expect("it opens");
        store.disk().fails = Some(fails);
        let mut refused = 0;
        for n in 0..5 {
            refused += u64::from(store.append_suspension("m1", &out(n)).is_err());
        }
        assert_eq!(refused, 7 - fails, "from the one that failed on");
        let mut all = found.knowledge;
        all.suspensions.insert("m1".into(), out(9));
        store.snapshot(&all, 9).expect("a snapshot");
        store.append_suspension("m1", &out(10)).expect("a new log");
        let (_, back) = Store::open(store.disk().after(0), MOST).expect("it opens");
        assert_eq!(back.knowledge.suspensions["m1"], out(10));
    }
}

#[test]
fn each_finding_is_told_from_the_others() {
    let (disk, yes, _, _) = live(Memory::default());
    assert!(!yes.is_empty());
    let find = |disk: &Memory| Store::open(disk.after(6), MOST).expect("it opens").1;
    let with = |change: &dyn Fn(&mut Memory)| {
        let mut changed = disk.clone();
        change(&mut changed);
        find(&changed)
    };
    assert_eq!(find(&disk).status, RecoveryStatus::Sound);
    assert_eq!(find(&Memory::default()).status, RecoveryStatus::Fresh);
    let lost = with(&|d| d.files.clear());
    assert_eq!((lost.status, lost.start_number), (RecoveryStatus::Lost, 2));
    let bytes = |d: &mut Memory, f: &dyn Fn(&mut Vec<u8>)| {
        f(&mut d.files.get_mut(SNAPSHOT).expect("it is there").now)
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
    // The folder comes back from a copy, and what lies beside it does not.
    let mut back = disk.after(6);
    back.witness = Some(7);
    let rolled = find(&back);
    assert_eq!((rolled.status, rolled.start_number), (RecoveryStatus::RolledBack, 8));
    assert!(rolled.status.may_lack_words() && !rolled.status.settings_hold());
}

#[test]
fn a_log_that_is_damaged_within_gives_what_stands_before_it_and_says_so() {
    let (mut store, _) = Store::open(Memory::default(), MOST).expect("it opens");
    store.append_suspension("m1", &out(1)).expect("room");
    store.append_suspension("m2", &out(2)).expect("room");
    let mut disk = store.disk().after(6);
    let log = disk.files.iter_mut().find(|(n, _)| n.starts_with(LOG)).expect("a log").1;
    let last = log.now.len() - 2;
    log.now[last] ^= 4;
    let (_, back) = Store::open(disk, MOST).expect("it opens");
    assert_eq!(back.status, RecoveryStatus::Torn);
    assert!(back.knowledge.suspensions.contains_key("m1") && !back.knowledge.suspensions.contains_key("m2"));
}

#[test]
fn more_than_may_be_written_is_refused_and_leaves_what_was() {
    let (mut store, found) = Store::open(Memory::default(), 300).expect("it opens");
    store.snapshot(&found.knowledge, 1).expect("little");
    let mut all = found.knowledge;
    all.settings = Some(TimestampedText { at: 1, text: "x".repeat(400).into() });
    assert!(store.snapshot(&all, 2).is_err());
    let words = (0..99).take_while(|n| store.append_suspension("m1", &out(*n)).is_ok()).count();
    assert!((1..99).contains(&words), "{words}");
    let (_, back) = Store::open(store.disk().after(6), 300).expect("it opens");
    assert_eq!((back.status, back.written_at), (RecoveryStatus::Sound, 1));
    assert_eq!(back.knowledge.suspensions["m1"].suspended_at, words as u64 - 1);
}
