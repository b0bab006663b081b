//! How a process tells of its way back to full service: the console's PHASE, `linentrail status`, the counters.
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

/// A proxy with a console that nobody tells a list, beside the one that it knows.
fn start(members: &[Member]) -> Proxy {
    let known: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
    let mut config = config("127.0.0.1:9", &known, settings(), 1024, 192);
    config["console"] = "127.0.0.1:0".into();
    let program = env!("CARGO_BIN_EXE_linentrail").into();
    Proxy::start(&Setup { program, config, ..Setup::default() }).expect("it starts")
}

/// What `linentrail status` says, and its status.
fn status(console: SocketAddr) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
    let out = command.args(["status", "--console", &console.to_string()]).output().expect("it runs");
    (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).to_string())
}

#[test]
fn a_process_without_a_list_says_what_it_waits_for() {
    let proxy = start(&[]);
    let (phase, _) = proxy.call_console("PHASE\n").expect("an answer");
    assert!(phase.starts_with("400 listing since the start"), "{phase}");
    assert!(phase.contains("waits for a list that names a member: loading "), "{phase}");
    let (code, said) = status(proxy.console.expect("it has one"));
    assert_eq!((code, said.lines().count()), (Some(1), 2), "{said}");
    assert!(said.starts_with("400 no member is listed"), "{said}");
    let counters = proxy.counters().expect("counters");
    assert!(!counters.contains_key("full_service"), "{counters:?}");
}

#[test]
fn a_process_that_serves_all_for_a_second_tells_how_long_it_took_to_get_there() {
    let group = Group::default();
    let members = [true, false].map(|primary| Member::start(&group, primary, 0, Capacity::default()));
    let proxy = start(&members);
    let (before, _) = proxy.call_console("PHASE\n").expect("an answer");
    assert!(before.starts_with("400 confirming since"), "no member has been heard: {before}");
    let read =
        ClientRequest { class: "monthly-report", key: "k".into(), value: None, wait_ms: 9_000, after: None };
    let began = Instant::now();
    let phase = loop {
        let told = runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.expect("it connects");
            client.request(&read).await.expect("an answer")
        });
        assert_eq!(told, ClientAnswer::Served(Vec::new()));
        let (phase, _) = proxy.call_console("PHASE\n").expect("an answer");
        if phase.starts_with("200 ") {
            break phase;
        }
        assert!(began.elapsed() < Duration::from_secs(60), "{phase}");
        std::thread::sleep(Duration::from_millis(50));
    };
    let counters = proxy.counters().expect("counters");
    let ms = counters.get("full_service_ms").copied().unwrap_or(0);
    assert!(phase.starts_with(&format!("200 full service after {ms} ms: loading ")), "{phase}");
    for name in ["listing", "confirming", "ramping"] {
        assert!(phase.contains(&format!("{name} ")), "{phase}");
    }
    assert_eq!(counters.get("full_service"), Some(&1));
    assert!(began.elapsed() >= Duration::from_secs(1), "a second has to pass");
    let (code, said) = status(proxy.console.expect("it has one"));
    assert_eq!((code, said), (Some(0), format!("200 serving\n{phase}")));
}

#[test]
fn status_finds_the_console_as_a_start_would() {
    let proxy = start(&[]);
    let console = proxy.console.expect("it has one").to_string();
    let ask = |variable: Option<&str>, file: &str| {
        let path = proxy.dir().join("asked.json");
        std::fs::write(&path, file).expect("a file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
        command.env_remove("BALANCER_CONSOLE").env("BALANCER_CONFIG", &path).arg("status");
        let out = command.envs(variable.map(|v| ("BALANCER_CONSOLE", v))).output().expect("it runs");
        (out.status.code(), String::from_utf8_lossy(&out.stderr).to_string())
    };
    let told = format!("{{\"console\": \"{console}\"}}");
    assert_eq!(ask(None, &told).0, Some(1), "it answers, and serves nobody");
    assert_eq!(ask(Some(&console), "{}").0, Some(1), "the variable");
    assert_eq!(ask(Some(&console), "{\"console\": \"127.0.0.1:1\"}").0, Some(1), "the variable first");
    let (code, said) = ask(None, "{}");
    assert!(code == Some(2) && said.contains("--console") && said.lines().count() == 1, "{said}");
}

#[test]
fn status_says_in_one_line_that_nobody_or_something_else_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let other = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        // What is left unread would end the connection before the answer is there.
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line).expect("a line");
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").expect("it reads");
    });
    let (code, said) = status(address);
    other.join().expect("it ends");
    assert_eq!((code, said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains("no console"), "{said}");
    let (code, said) = status(address);
    assert_eq!((code, said.lines().count()), (Some(2), 1), "nobody is there any more: {said}");
}
