//! How a process reports its progress to full service: the console command PHASE, `linentrail status` and counters.
#![allow(missing_docs)]

use linentrail_standins::client::{ClientAnswer, ClientRequest, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::runtime;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::{Duration, Instant};

/// Starts a proxy with a console and without discovery; its configuration lists `members`.
fn start(members: &[Member]) -> Proxy {
    let listed: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
    let mut config = config("127.0.0.1:9", &listed, settings(), 1024, 192);
    config["console"] = "127.0.0.1:0".into();
    let program = env!("CARGO_BIN_EXE_linentrail").into();
    Proxy::start(&Setup { program, config, ..Setup::default() }).expect("the proxy starts")
}

/// Runs `linentrail status`; returns its exit status and output.
fn status(console: SocketAddr) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
    let out = command.args(["status", "--console", &console.to_string()]).output().expect("the program runs");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).to_string())
}

#[test]
fn a_process_without_a_member_list_reports_that_it_waits_for_one() {
    let proxy = start(&[]);
    let (phase, _) = proxy.call_console("PHASE\n").expect("an answer");
    assert!(phase.starts_with("400 listing since the start"), "{phase}");
    assert!(phase.contains("waits for a list that names a member: loading "), "{phase}");
    let (code, output) = status(proxy.console.expect("the proxy has a console"));
    assert_eq!((code, output.lines().count()), (Some(1), 2), "{output}");
    assert!(output.starts_with("400 no member is listed"), "{output}");
    let counters = proxy.counters().expect("counters");
    assert!(!counters.contains_key("full_service"), "{counters:?}");
}

#[test]
fn a_process_in_full_service_for_a_second_reports_how_long_startup_took() {
    let group = Group::default();
    let members = [true, false].map(|primary| Member::start(&group, primary, 0, Capacity::default()));
    // Full service counts from the moment in which the process serves, which this test hears of later.
    let started_at = Instant::now();
    let proxy = start(&members);
    let (before, _) = proxy.call_console("PHASE\n").expect("an answer");
    assert!(before.starts_with("400 confirming since"), "no member has answered yet: {before}");
    let read =
        ClientRequest { class: "monthly-report", key: "k".into(), value: None, wait_ms: 9_000, after: None };
    let phase = loop {
        let answer = runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.expect("the client connects");
            client.request(&read).await.expect("an answer")
        });
        assert_eq!(answer, ClientAnswer::Served(Vec::new()));
        let (phase, _) = proxy.call_console("PHASE\n").expect("an answer");
        if phase.starts_with("200 ") {
            break phase;
        }
        assert!(started_at.elapsed() < Duration::from_secs(60), "{phase}");
        std::thread::sleep(Duration::from_millis(50));
    };
    let counters = proxy.counters().expect("counters");
    let ms = counters.get("full_service_ms").copied().unwrap_or(0);
    assert!(phase.starts_with(&format!("200 full service after {ms} ms: loading ")), "{phase}");
    for name in ["listing", "confirming", "ramping"] {
        assert!(phase.contains(&format!("{name} ")), "{phase}");
    }
    assert_eq!(counters.get("full_service"), Some(&1));
    assert!(started_at.elapsed() >= Duration::from_secs(1), "full service requires a second of good answers");
    let (code, output) = status(proxy.console.expect("the proxy has a console"));
    assert_eq!((code, output), (Some(0), format!("200 serving\n{phase}")));
}

#[test]
fn status_finds_the_console_address_in_the_same_places_as_serve() {
    let proxy = start(&[]);
    let console = proxy.console.expect("the proxy has a console").to_string();
    let status_with = |variable: Option<&str>, file: &str| {
        let path = proxy.dir().join("asked.json");
        std::fs::write(&path, file).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
        command.env_remove("BALANCER_CONSOLE").env("BALANCER_CONFIG", &path).arg("status");
        let out = command.envs(variable.map(|v| ("BALANCER_CONSOLE", v))).output().expect("the program runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).to_string())
    };
    let settings_file = format!("{{\"console\": \"{console}\"}}");
    assert_eq!(
        status_with(None, &settings_file).0,
        Some(1),
        "the console answers that the process does not serve"
    );
    assert_eq!(status_with(Some(&console), "{}").0, Some(1), "the variable alone");
    assert_eq!(
        status_with(Some(&console), "{\"console\": \"127.0.0.1:1\"}").0,
        Some(1),
        "the variable takes precedence"
    );
    let (code, output) = status_with(None, "{}");
    assert!(code == Some(2) && output.contains("--console") && output.lines().count() == 1, "{output}");
}

#[test]
fn status_reports_in_one_line_that_nothing_or_another_service_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let other = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        // Reads the request first: closing a socket with unread data resets the connection before the answer arrives.
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").expect("the answer is sent");
    });
    let (code, output) = status(address);
    other.join().expect("the thread ends");
    assert_eq!((code, output.lines().count()), (Some(2), 1), "{output}");
    assert!(output.contains("no console"), "{output}");
    let (code, output) = status(address);
    assert_eq!((code, output.lines().count()), (Some(2), 1), "nothing listens any more: {output}");
}
