//! What outlasts the process: several processes of the program, killed, with their stores kept, wiped, rolled back or
//! damaged meanwhile; and that nothing of it is there without the operators' file.
#![allow(missing_docs)]

use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::rig::checker::Rule;
use linentrail_standins::rig::events::{EventKind, RequestEnd};
use linentrail_standins::rig::run::{run, Outcome};
use linentrail_standins::rig::script::Script;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One world at a time: each of them needs the machine.
static TURN: Mutex<()> = Mutex::new(());
const PROGRAM: &str = env!("CARGO_BIN_EXE_linentrail");
const PATIENCE: Duration = Duration::from_secs(20);

/// The store's block; a snapshot comes every 100 ms unless `more` says otherwise.
fn block(folder: &Path, more: &str) -> String {
    let every = if more.contains("every_ms") { "" } else { " every_ms = 100\n" };
    format!("store {{\n enabled = true\n folder = \"{}\"\n{every}{more}}}\n", folder.display())
}

fn play(text: &str, store: Option<&str>) -> Outcome {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::read(&format!("bound late 20000\n{text}")).expect("a sound scenario");
    let more = |setup: &mut Setup, _: u32, folder: &Path| {
        if let Some(more) = store {
            setup.operators = block(folder, more);
        }
    };
    run(&script, Path::new(PROGRAM), more, |_| {}, &AtomicBool::new(false)).expect("it runs to its end")
}

/// The same, of a run that keeps all rules and serves again at its end.
fn sound(text: &str, store: Option<&str>) -> Outcome {
    let outcome = play(text, store);
    assert!(outcome.verdict.passed(), "{:#?}", outcome.verdict.breaches);
    assert!(served_after(&outcome) > 10);
    outcome
}

/// What the operators were told, of calls that change nothing.
fn answers(outcome: &Outcome) -> Vec<String> {
    let said = |what: &EventKind| match what {
        EventKind::Fault(text) => text.split_once(" answers ").map(|(_, answer)| answer.to_string()),
        _ => None,
    };
    outcome.events.iter().filter_map(|e| said(&e.what)).collect()
}

/// Requests served after the last process had come back.
fn served_after(outcome: &Outcome) -> usize {
    let back =
        outcome.events.iter().rposition(|e| matches!(e.what, EventKind::Serves { .. })).expect("they serve");
    let served = |what: &EventKind| matches!(what, EventKind::Ended { how: RequestEnd::Served, .. });
    outcome.events[back..].iter().filter(|e| served(&e.what)).count()
}

const WORLD: &str = "proxies 4\nmembers 4 slots 8 work 4 12\nload 80 clients 32\nend 4000\n";

#[test]
fn a_member_out_by_hand_stays_out_over_the_kill_of_all_and_without_a_store_it_does_not() {
    let script = format!(
        "{WORLD}hands kept
         at 600 proxies console SUSPEND m3
         at 1500 proxies does kill
         at 1700 proxies does start"
    );
    sound(&script, Some(""));
    // What the check is good for: today's start without a store forgets the word.
    let lost = play(&script, None);
    assert!(lost.verdict.counts.contains_key(&Rule::Hand), "{:?}", lost.verdict.counts);
}

#[test]
fn where_the_word_may_be_lost_a_start_says_no_until_it_is_confirmed() {
    let script = format!(
        "{WORLD}at 1200 proxies does kill
         at 1300 p1,p2 store wiped
         at 1500 proxies does start
         at 2500 p1 console STATUS
         at 2600 p4 console STATUS
         at 2700 p1 console CONFIRM
         at 2800 p1 console STATUS
         at 2900 p4 console CONFIRM"
    );
    let outcome = play(&script, Some(" confirm_s = 600\n"));
    assert!(outcome.verdict.passed(), "{:#?}", outcome.verdict.breaches);
    let answers = answers(&outcome);
    let begins = [
        "400 what was said by hand may be lost",
        "200 serving",
        "200 confirmed",
        "200 serving",
        "400 nothing",
    ];
    assert_eq!(answers.len(), begins.len(), "{answers:?}");
    for (answer, begin) in answers.iter().zip(begins) {
        assert!(answer.starts_with(begin), "{answer}: {begin}");
    }
    assert_eq!(outcome.counters.get("store_lost"), Some(&2), "{:?}", outcome.counters);
}

#[test]
fn each_harm_to_a_store_is_found_for_what_it_is_and_none_keeps_a_start_from_serving() {
    let script = format!(
        "{WORLD}at 900 proxies does kill
         at 1000 p3 store kept
         at 1100 proxies does start
         at 2000 proxies does kill
         at 2100 p1 store torn 400
         at 2200 p2 store flipped
         at 2300 p3 store back
         at 2400 proxies does start"
    );
    let outcome = sound(&script, Some(""));
    let count = |name: &str| outcome.counters.get(name).copied().unwrap_or(0);
    assert_eq!(
        (count("store_torn"), count("store_rolled_back"), count("store_lost")),
        (2, 1, 0),
        "{:?}",
        outcome.counters
    );
}

#[test]
fn with_the_list_lost_and_discovery_silent_the_stored_list_serves() {
    let script = format!(
        "{WORLD}known lost
         at 1200 list does silent
         at 1300 proxies does kill
         at 1500 proxies does start"
    );
    let outcome = sound(&script, Some(""));
    assert_eq!(outcome.counters.get("store_list_taken"), Some(&4), "{:?}", outcome.counters);
    assert_eq!(served_after(&play(&script, None)), 0, "nobody else knows a member");
}

/// A folder of a test's own, and a member behind a configuration.
struct Alone {
    folder: PathBuf,
    setup: Setup,
    _member: Member,
}

impl Alone {
    fn new() -> Self {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let made = MADE.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("linentrail-store-{}-{made}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let member = Member::start(&Default::default(), true, 0, Capacity::default());
        let list = [entry(0, member.address())];
        let mut config = proxy::config("127.0.0.1:9", &list, proxy::settings(), 1024, 192);
        config["console"] = "127.0.0.1:0".into();
        let setup = Setup { program: PROGRAM.into(), config, ..Setup::default() };
        Alone { folder, setup, _member: member }
    }

    fn storing(more: &str) -> Self {
        let mut alone = Alone::new();
        alone.setup.operators = block(&alone.folder, more);
        alone
    }
}

impl Drop for Alone {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn counted(proxy: &Proxy, name: &str) -> u64 {
    proxy.counters().expect("it counts").get(name).copied().unwrap_or(0)
}

fn until(what: &str, true_now: impl Fn() -> bool) {
    let began = Instant::now();
    while !true_now() {
        assert!(began.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_start_whose_configuration_is_broken_takes_the_last_that_held_and_says_so() {
    let mut alone = Alone::storing("");
    let first = Proxy::start(&alone.setup).expect("it starts");
    until("it writes", || counted(&first, "store_snapshots") > 0);
    drop(first);
    alone.setup.config_text = Some("{\"name\": \"t\", \"listen\"".to_string());
    let mut next = Proxy::start(&alone.setup).expect("it takes the last that held");
    let status = |proxy: &Proxy| proxy.call_console("STATUS\n").expect("an answer").0;
    assert_eq!(status(&next), "200 serving, by the last configuration that held\n");
    assert_eq!(counted(&next, "store_settings_taken"), 1);
    // A configuration that can be read takes its place.
    std::fs::write(next.dir().join("config.json"), alone.setup.config.to_string()).expect("written");
    next.signal("HUP").expect("it runs");
    until("it is taken up", || status(&next) == "200 serving\n");
    next.signal("TERM").expect("it runs");
    assert!(next.wait().expect("it ends").success());
    // Unless the operators want to know first.
    alone.setup.operators = block(&alone.folder, " broken = \"refuse\"\n");
    let refused = Proxy::start(&alone.setup).err().expect("it does not start").to_string();
    assert!(refused.contains("config.json"), "{refused}");
}

#[test]
fn a_word_is_on_the_disk_before_its_yes_and_a_folder_that_cannot_be_written_gets_a_no() {
    let mut alone = Alone::storing(" every_ms = 3600000\n");
    let first = Proxy::start(&alone.setup).expect("it starts");
    assert!(first.call_console("SUSPEND s-00000000\n").expect("an answer").0.starts_with("200"));
    // Killed at once: no snapshot comes to its help.
    drop(first);
    let next = Proxy::start(&alone.setup).expect("it starts");
    assert!(
        next.call_console("STATUS\n").expect("an answer").0.starts_with("400 no member"),
        "its only member is out"
    );
    drop(next);
    alone.setup.operators = block(&alone.folder, "");
    let next = Proxy::start(&alone.setup).expect("it starts");
    // Root may write anywhere: a file in the log's place cannot be written by anybody.
    let place = alone.folder.join("linentrail-t");
    until("it writes", || counted(&next, "store_snapshots") > 0);
    std::fs::remove_dir_all(&place).expect("it is there");
    std::fs::write(&place, "in the way").expect("written");
    let told = next.call_console("RESTORE s-00000000\n").expect("an answer").0;
    assert!(told.starts_with("400 done, but not written down"), "{told}");
    until("it is counted", || counted(&next, "store_failures") > 0);
    std::fs::remove_file(&place).expect("it is there");
}

#[test]
fn a_disk_that_is_full_in_the_middle_of_a_snapshot_takes_neither_the_word_nor_the_former_snapshot() {
    use std::os::unix::fs::PermissionsExt;
    let mut alone = Alone::storing("");
    let first = Proxy::start(&alone.setup).expect("it starts");
    assert!(first.call_console("SUSPEND s-00000000\n").expect("an answer").0.starts_with("200"));
    until("it writes", || counted(&first, "store_snapshots") > 1);
    drop(first);
    // From 512 bytes on no file can be written: each snapshot breaks off in its middle.
    let limited = alone.folder.join("limited");
    let text = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f 1\nexec {PROGRAM} \"$@\"\n");
    std::fs::write(&limited, text).expect("written");
    std::fs::set_permissions(&limited, std::fs::Permissions::from_mode(0o755)).expect("a mode");
    let snapshot = alone.folder.join("linentrail-t").join("snapshot");
    let before = std::fs::read(&snapshot).expect("a snapshot");
    assert!(before.len() > 512, "{}", before.len());
    alone.setup.program = limited;
    let next = Proxy::start(&alone.setup).expect("it starts");
    until("it cannot write", || counted(&next, "store_failures") > 2);
    let told = next.call_console("STATUS\n").expect("an answer").0;
    assert!(told.starts_with("400 no member"), "its only member is out still: {told}");
    assert_eq!(counted(&next, "store_snapshots"), 0);
    assert_eq!(std::fs::read(&snapshot).expect("a snapshot"), before, "the former one stays whole");
    // Words are short and find room; what they say outlasts this process, too.
    assert!(next.call_console("RESTORE s-00000000\n").expect("an answer").0.starts_with("200"));
    drop(next);
    alone.setup.program = PROGRAM.into();
    let last = Proxy::start(&alone.setup).expect("it starts");
    assert!(last.call_console("STATUS\n").expect("an answer").0.starts_with("200"));
    assert_eq!(counted(&last, "store_torn"), 0);
}

#[test]
fn two_processes_cannot_have_one_folder() {
    let alone = Alone::storing("");
    let first = Proxy::start(&alone.setup).expect("it starts");
    let second = Proxy::start(&alone.setup).err().expect("the folder is taken").to_string();
    assert!(second.contains("another process has it"), "{second}");
    drop(first);
    Proxy::start(&alone.setup).expect("the folder is free again");
}

/// What a process holds open, by kind: sockets, files by path, all others.
fn held(proxy: &Proxy) -> (usize, Vec<String>, usize) {
    let (mut sockets, mut files, mut others) = (0, Vec::new(), 0);
    for entry in std::fs::read_dir(format!("/proc/{}/fd", proxy.id())).expect("it runs") {
        let Ok(to) = std::fs::read_link(entry.expect("an entry").path()) else { continue };
        let to = to.to_string_lossy().into_owned();
        if to.starts_with("socket:") {
            sockets += 1;
        } else if to.starts_with('/') && !to.starts_with("/dev/") {
            files.push(to);
        } else {
            others += 1;
        }
    }
    (sockets, files, others)
}

#[test]
fn the_shipped_deploy_line_opens_no_socket_and_no_file_more_whatever_the_environment_has() {
    let alone = Alone::new();
    let line =
        include_str!("../deploy/balancer.toml").lines().find(|l| l.starts_with("run ")).expect("a run line");
    assert_eq!(line, "run = \"exec target/release/linentrail\"");
    std::fs::create_dir_all(alone.folder.join("linentrail-t")).expect("a folder");
    let mut setup = alone.setup.clone();
    setup.as_shipped = true;
    setup.config.as_object_mut().expect("fields").remove("console");
    // A folder that looks like a store's, and what might be taken for its settings.
    setup.shared_folder = Some(alone.folder.clone());
    setup.environment = ["STORE", "LINENTRAIL_STORE", "LINENTRAIL_KEY", "LINENTRAIL_AGREEMENT", "AGREEMENT"]
        .map(|n| (n.to_string(), alone.folder.display().to_string()))
        .into();
    let proxy = Proxy::start(&setup).expect("it starts");
    // A call to discovery that is refused holds one more socket for less than a look; what stays shows in each of them.
    let looks: Vec<_> = (0..20)
        .map(|_| {
            std::thread::sleep(std::time::Duration::from_millis(10));
            held(&proxy)
        })
        .collect();
    // The listener, and the pair that signals come by, one end of it twice; so it was before there was a store.
    assert_eq!(looks.iter().map(|(sockets, ..)| *sockets).min(), Some(1 + 3), "{looks:?}");
    assert!(looks.iter().all(|(sockets, ..)| *sockets <= 1 + 3 + 1), "{looks:?}");
    assert!(looks.iter().all(|(_, files, _)| files.is_empty()), "{looks:?}");
    // Standard input, output and error, and the runtime's own.
    assert!(looks.iter().all(|(.., others)| *others <= 8), "{looks:?}");
    let threads = std::fs::read_dir(format!("/proc/{}/task", proxy.id())).expect("it runs").count();
    assert_eq!(threads, 1);
    let left: Vec<_> = std::fs::read_dir(alone.folder.join("linentrail-t")).expect("the folder").collect();
    assert!(left.is_empty(), "{left:?}");
    // With the operators' file there is a thread and the folder's lock.
    let storing = Alone::storing("");
    let proxy = Proxy::start(&storing.setup).expect("it starts");
    // For a moment the thread may be writing down the start's number.
    let soon = (0..2_000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        held(&proxy).1.len() == 1
    });
    assert!(soon, "the lock: {:?}", held(&proxy).1);
}
