//! State that survives a restart: processes of the program are killed, and their stores kept, wiped, rolled back or
//! damaged before the restart. Also checks that without the operators' file the program has no store at all.
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

/// Held by each simulation, so that only one runs at a time: each needs the whole machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
const PROGRAM: &str = env!("CARGO_BIN_EXE_linentrail");
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// The store's block of the operators' file, with a snapshot every 100 ms unless `more` sets `every_ms`.
fn store_block(folder: &Path, more: &str) -> String {
    let interval = if more.contains("every_ms") { "" } else { " every_ms = 100\n" };
    format!("store {{\n enabled = true\n folder = \"{}\"\n{interval}{more}}}\n", folder.display())
}

fn play(text: &str, store: Option<&str>) -> Outcome {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::read(&format!("bound late 20000\n{text}")).expect("a sound scenario");
    let more = |setup: &mut Setup, _: u32, folder: &Path| {
        if let Some(more) = store {
            setup.operators = store_block(folder, more);
        }
    };
    run(&script, Path::new(PROGRAM), more, |_| {}, &AtomicBool::new(false)).expect("it runs to its end")
}

/// Like `play`, and checks that the run kept all rules and served requests after its last restart.
fn play_sound(text: &str, store: Option<&str>) -> Outcome {
    let outcome = play(text, store);
    assert!(outcome.verdict.passed(), "{:#?}", outcome.verdict.breaches);
    assert!(served_after(&outcome) > 10);
    outcome
}

/// The console's answers to calls, in the order of the log.
fn console_answers(outcome: &Outcome) -> Vec<String> {
    let answer = |what: &EventKind| match what {
        EventKind::Fault(text) => text.split_once(" answers ").map(|(_, answer)| answer.to_string()),
        _ => None,
    };
    outcome.events.iter().filter_map(|e| answer(&e.what)).collect()
}

/// Number of requests served after the last process had restarted.
fn served_after(outcome: &Outcome) -> usize {
    let restarted =
        outcome.events.iter().rposition(|e| matches!(e.what, EventKind::Serves { .. })).expect("they serve");
    let served = |what: &EventKind| matches!(what, EventKind::Ended { how: RequestEnd::Served, .. });
    outcome.events[restarted..].iter().filter(|e| served(&e.what)).count()
}

const BASE_SCRIPT: &str = "proxies 4\nmembers 4 slots 8 work 4 12\nload 80 clients 32\nend 4000\n";

#[test]
fn a_suspension_survives_the_kill_of_all_proxies_only_with_a_store() {
    let script = format!(
        "{BASE_SCRIPT}hands kept
         at 600 proxies console SUSPEND m3
         at 1500 proxies does kill
         at 1700 proxies does start"
    );
    play_sound(&script, Some(""));
    // Shows that the check can fail: without a store the restarted proxies forget the suspension.
    let without_store = play(&script, None);
    assert!(without_store.verdict.counts.contains_key(&Rule::Hand), "{:?}", without_store.verdict.counts);
}

#[test]
fn after_a_possible_loss_of_suspensions_status_fails_until_confirmed() {
    let script = format!(
        "{BASE_SCRIPT}at 1200 proxies does kill
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
    let answers = console_answers(&outcome);
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
fn each_kind_of_store_damage_is_recognised_and_none_prevents_serving() {
    let script = format!(
        "{BASE_SCRIPT}at 900 proxies does kill
         at 1000 p3 store kept
         at 1100 proxies does start
         at 2000 proxies does kill
         at 2100 p1 store torn 400
         at 2200 p2 store flipped
         at 2300 p3 store back
         at 2400 proxies does start"
    );
    let outcome = play_sound(&script, Some(""));
    let count = |name: &str| outcome.counters.get(name).copied().unwrap_or(0);
    assert_eq!(
        (count("store_torn"), count("store_rolled_back"), count("store_lost")),
        (2, 1, 0),
        "{:?}",
        outcome.counters
    );
}

#[test]
fn the_stored_member_list_is_used_when_settings_and_discovery_have_none() {
    let script = format!(
        "{BASE_SCRIPT}known lost
         at 1200 list does silent
         at 1300 proxies does kill
         at 1500 proxies does start"
    );
    let outcome = play_sound(&script, Some(""));
    assert_eq!(outcome.counters.get("store_list_taken"), Some(&4), "{:?}", outcome.counters);
    assert_eq!(served_after(&play(&script, None)), 0, "there is no other source of members");
}

/// One member, the setup of a single proxy for it, and a temporary folder that is removed on drop.
struct SingleProxy {
    folder: PathBuf,
    setup: Setup,
    _member: Member,
}

impl SingleProxy {
    fn new() -> Self {
        static CREATED: AtomicU32 = AtomicU32::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("linentrail-store-{}-{number}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let member = Member::start(&Default::default(), true, 0, Capacity::default());
        let list = [entry(0, member.address())];
        let mut config = proxy::config("127.0.0.1:9", &list, proxy::settings(), 1024, 192);
        config["console"] = "127.0.0.1:0".into();
        let setup = Setup { program: PROGRAM.into(), config, ..Setup::default() };
        SingleProxy { folder, setup, _member: member }
    }

    /// The same with a store; `more` is added to the store's block.
    fn with_store(more: &str) -> Self {
        let mut single = SingleProxy::new();
        single.setup.operators = store_block(&single.folder, more);
        single
    }
}

impl Drop for SingleProxy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn counter(proxy: &Proxy, name: &str) -> u64 {
    proxy.counters().expect("it counts").get(name).copied().unwrap_or(0)
}

fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < STEP_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn with_a_broken_configuration_startup_uses_the_last_valid_one_and_reports_it() {
    let mut single = SingleProxy::with_store("");
    let first = Proxy::start(&single.setup).expect("it starts");
    wait_for("it writes", || counter(&first, "store_snapshots") > 0);
    drop(first);
    single.setup.config_text = Some("{\"name\": \"t\", \"listen\"".to_string());
    let mut next = Proxy::start(&single.setup).expect("it uses the last valid configuration");
    let status = |proxy: &Proxy| proxy.call_console("STATUS\n").expect("an answer").0;
    assert_eq!(status(&next), "200 serving, by the last configuration that held\n");
    assert_eq!(counter(&next, "store_settings_taken"), 1);
    // A reload replaces the stored configuration as soon as the file is valid again.
    std::fs::write(next.dir().join("config.json"), single.setup.config.to_string()).expect("written");
    next.signal("HUP").expect("it runs");
    wait_for("the configuration is reloaded", || status(&next) == "200 serving\n");
    next.signal("TERM").expect("it runs");
    assert!(next.wait().expect("it ends").success());
    // With `broken = "refuse"` startup fails instead.
    single.setup.operators = store_block(&single.folder, " broken = \"refuse\"\n");
    let refused = Proxy::start(&single.setup).err().expect("it does not start").to_string();
    assert!(refused.contains("config.json"), "{refused}");
}

#[test]
fn a_call_is_on_disk_before_it_is_acknowledged_and_fails_when_it_cannot_be_written() {
    let mut single = SingleProxy::with_store(" every_ms = 3600000\n");
    let first = Proxy::start(&single.setup).expect("it starts");
    assert!(first.call_console("SUSPEND s-00000000\n").expect("an answer").0.starts_with("200"));
    // The process is killed at once, before any snapshot could contain the suspension.
    drop(first);
    let next = Proxy::start(&single.setup).expect("it starts");
    assert!(
        next.call_console("STATUS\n").expect("an answer").0.starts_with("400 no member"),
        "its only member is suspended"
    );
    drop(next);
    single.setup.operators = store_block(&single.folder, "");
    let next = Proxy::start(&single.setup).expect("it starts");
    // Permissions would not stop a test that runs as root. A file in the place of the log's folder stops every user.
    let place = single.folder.join("linentrail-t");
    wait_for("it writes", || counter(&next, "store_snapshots") > 0);
    std::fs::remove_dir_all(&place).expect("it is there");
    std::fs::write(&place, "in the way").expect("written");
    let answer = next.call_console("RESTORE s-00000000\n").expect("an answer").0;
    assert!(answer.starts_with("400 done, but not written down"), "{answer}");
    wait_for("it is counted", || counter(&next, "store_failures") > 0);
    std::fs::remove_file(&place).expect("it is there");
}

#[test]
fn a_disk_that_fills_up_during_a_snapshot_loses_neither_suspensions_nor_the_former_snapshot() {
    use std::os::unix::fs::PermissionsExt;
    let mut single = SingleProxy::with_store("");
    let first = Proxy::start(&single.setup).expect("it starts");
    assert!(first.call_console("SUSPEND s-00000000\n").expect("an answer").0.starts_with("200"));
    wait_for("it writes", || counter(&first, "store_snapshots") > 1);
    drop(first);
    // No file can grow beyond 512 bytes, so that the writing of each snapshot fails midway.
    let limited = single.folder.join("limited");
    let text = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f 1\nexec {PROGRAM} \"$@\"\n");
    std::fs::write(&limited, text).expect("written");
    std::fs::set_permissions(&limited, std::fs::Permissions::from_mode(0o755)).expect("a mode");
    let snapshot = single.folder.join("linentrail-t").join("snapshot");
    let before = std::fs::read(&snapshot).expect("a snapshot");
    assert!(before.len() > 512, "{}", before.len());
    single.setup.program = limited;
    let next = Proxy::start(&single.setup).expect("it starts");
    wait_for("it cannot write", || counter(&next, "store_failures") > 2);
    let answer = next.call_console("STATUS\n").expect("an answer").0;
    assert!(answer.starts_with("400 no member"), "its only member is still suspended: {answer}");
    assert_eq!(counter(&next, "store_snapshots"), 0);
    assert_eq!(std::fs::read(&snapshot).expect("a snapshot"), before, "the former snapshot is unchanged");
    // Records of console calls are short enough to be written, and survive this process, too.
    assert!(next.call_console("RESTORE s-00000000\n").expect("an answer").0.starts_with("200"));
    drop(next);
    single.setup.program = PROGRAM.into();
    let last = Proxy::start(&single.setup).expect("it starts");
    assert!(last.call_console("STATUS\n").expect("an answer").0.starts_with("200"));
    assert_eq!(counter(&last, "store_torn"), 0);
}

#[test]
fn two_processes_cannot_use_the_same_folder() {
    let single = SingleProxy::with_store("");
    let first = Proxy::start(&single.setup).expect("it starts");
    let second = Proxy::start(&single.setup).err().expect("the folder is taken").to_string();
    assert!(second.contains("another process has it"), "{second}");
    drop(first);
    Proxy::start(&single.setup).expect("the folder is free again");
}

/// The open descriptors of a process: number of sockets, paths of files, number of all others.
fn open_descriptors(proxy: &Proxy) -> (usize, Vec<String>, usize) {
    let (mut sockets, mut files, mut others) = (0, Vec::new(), 0);
    for entry in std::fs::read_dir(format!("/proc/{}/fd", proxy.id())).expect("it runs") {
        let Ok(target) = std::fs::read_link(entry.expect("an entry").path()) else { continue };
        let target = target.to_string_lossy().into_owned();
        if target.starts_with("socket:") {
            sockets += 1;
        } else if target.starts_with('/') && !target.starts_with("/dev/") {
            files.push(target);
        } else {
            others += 1;
        }
    }
    (sockets, files, others)
}

#[test]
fn the_shipped_deploy_line_opens_no_extra_socket_or_file_whatever_the_environment() {
    let single = SingleProxy::new();
    let line =
        include_str!("../deploy/balancer.toml").lines().find(|l| l.starts_with("run ")).expect("a run line");
    assert_eq!(line, "run = \"exec target/release/linentrail\"");
    std::fs::create_dir_all(single.folder.join("linentrail-t")).expect("a folder");
    let mut setup = single.setup.clone();
    setup.as_shipped = true;
    setup.config.as_object_mut().expect("fields").remove("console");
    // A folder that looks like a store, and environment variables that might be taken for its settings.
    setup.shared_folder = Some(single.folder.clone());
    setup.environment = ["STORE", "LINENTRAIL_STORE", "LINENTRAIL_KEY", "LINENTRAIL_AGREEMENT", "AGREEMENT"]
        .map(|n| (n.to_string(), single.folder.display().to_string()))
        .into();
    let proxy = Proxy::start(&setup).expect("it starts");
    // A refused call to discovery holds one more socket for less than the time between two samples. Descriptors that
    // stay open are in every sample.
    let samples: Vec<_> = (0..20)
        .map(|_| {
            std::thread::sleep(std::time::Duration::from_millis(10));
            open_descriptors(&proxy)
        })
        .collect();
    // One socket for the listener, and three for the socket pair that delivers signals, one end of which is
    // duplicated. These are all sockets of the program without a store.
    assert_eq!(samples.iter().map(|(sockets, ..)| *sockets).min(), Some(1 + 3), "{samples:?}");
    assert!(samples.iter().all(|(sockets, ..)| *sockets <= 1 + 3 + 1), "{samples:?}");
    assert!(samples.iter().all(|(_, files, _)| files.is_empty()), "{samples:?}");
    // Standard input, output and error, and the descriptors of the async runtime.
    assert!(samples.iter().all(|(.., others)| *others <= 8), "{samples:?}");
    let threads = std::fs::read_dir(format!("/proc/{}/task", proxy.id())).expect("it runs").count();
    assert_eq!(threads, 1);
    let left: Vec<_> = std::fs::read_dir(single.folder.join("linentrail-t")).expect("the folder").collect();
    assert!(left.is_empty(), "{left:?}");
    // With the operators' file the process has another thread, and the folder's lock file is open.
    let with_store = SingleProxy::with_store("");
    let proxy = Proxy::start(&with_store.setup).expect("it starts");
    // At first the thread may also have a file open in which it records the number of the start.
    let only_lock_open = (0..2_000).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(10));
        open_descriptors(&proxy).1.len() == 1
    });
    assert!(only_lock_open, "the lock: {:?}", open_descriptors(&proxy).1);
}
