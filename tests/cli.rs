//! Tests of the command line, of the JSON log and of the signal handlers.
#![allow(missing_docs)]

use linentrail_standins::client::{ClientAnswer, ClientRequest, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{config, settings};
use linentrail_standins::registry::entry;
use linentrail_standins::runtime;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

fn linentrail(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
    command
        .env_remove("BALANCER_CONFIG")
        .env_remove("RUST_LOG")
        .args(arguments)
        .output()
        .expect("the process runs")
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linentrail-cli-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the folder is created");
    dir
}

/// A command that serves with this settings file and pipes its log to the test.
fn serve_command(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
    command.env("BALANCER_CONFIG", file).env_remove("BALANCER_LISTEN").env_remove("RUST_LOG");
    command.stderr(Stdio::piped()).stdout(Stdio::null());
    command
}

#[test]
fn check_exits_with_0_for_valid_1_for_invalid_and_2_for_unreadable_files() {
    let dir = folder("check");
    let path = |name: &str| dir.join(name).to_str().expect("a path").to_string();
    let valid = config("127.0.0.1:9", &[], settings(), 1024, 192);
    std::fs::write(path("sound.json"), valid.to_string()).expect("the file is written");
    let mut invalid = valid.clone();
    invalid["listen"] = "nowhere".into();
    invalid["settings"]["services"][0]["aim_us"] = (-1).into();
    std::fs::write(path("faulty.json"), invalid.to_string()).expect("the file is written");
    for (file, status, words) in [
        ("sound.json", 0, &["sound", "4 classes"][..]),
        ("faulty.json", 1, &["nowhere", "services.0.aim_us"]),
        ("missing.json", 2, &["missing.json"]),
        ("notes.txt", 2, &["notes.txt"]),
    ] {
        let out = linentrail(&["check", &path(file)]);
        let output = [out.stdout, out.stderr].concat();
        let output = String::from_utf8_lossy(&output);
        assert_eq!(out.status.code(), Some(status), "{file}: {output}");
        assert!(words.iter().all(|w| output.contains(w)), "{file}: {output}");
    }
    std::fs::remove_dir_all(dir).expect("the folder is removed");
}

#[test]
fn the_settings_file_of_the_platform_is_valid() {
    let out = linentrail(&["check", "deploy/linentrail.hcl"]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stdout));
}

#[test]
fn an_unknown_command_is_reported_in_one_line() {
    let out = linentrail(&["sevre"]);
    let output = String::from_utf8_lossy(&out.stderr);
    assert_eq!((out.status.code(), output.lines().count()), (Some(2), 1), "{output}");
    assert!(output.contains("sevre"), "{output}");
    // `serve` is the default command; it fails if there is no configuration.
    for arguments in [&[][..], &["serve"]] {
        let out = linentrail(arguments);
        assert_eq!(out.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&out.stderr).contains("BALANCER_CONFIG"));
    }
}

#[test]
fn the_json_log_shows_every_step_of_a_request_under_one_id() {
    let dir = folder("log");
    let group = Group::default();
    let members = [true, false].map(|primary| Member::start(&group, primary, 0, Capacity::default()));
    members[1].set_behaviour("miss".parse().expect("a known behaviour"));
    let known: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
    let file = dir.join("config.json");
    std::fs::write(&file, config("127.0.0.1:9", &known, settings(), 1024, 192).to_string())
        .expect("the file is written");
    let mut child = serve_command(&file)
        .args(["serve", "--log-format", "json"])
        .env("RUST_LOG", "info,request=debug")
        .env_remove("BALANCER_DISCOVERY")
        .spawn()
        .expect("the process starts");
    let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let mut next = || -> serde_json::Value {
        let line = lines.next().expect("a line").expect("a readable line");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"))
    };
    let at: SocketAddr = loop {
        let message = next()["message"].as_str().expect("a message").to_string();
        if let Some(at) = message.strip_prefix("serving clients at ") {
            break at.parse().expect("an address");
        }
    };
    let answer = runtime().block_on(async {
        let mut client = PgClient::connect(at).await.expect("the client connects");
        let read =
            |class| ClientRequest { class, key: "k".to_string(), value: None, wait_ms: 9_000, after: None };
        client.request(&read("monthly-report")).await.expect("an answer");
        client
            .request(&ClientRequest { value: Some(vec![7]), ..read("place-order") })
            .await
            .expect("an answer")
    });
    assert_eq!(answer, ClientAnswer::Served(vec![7]));
    // Collects the log messages of the booking in order. It may have been sent to the replica first.
    let (mut id, mut messages) = (None, Vec::new());
    while messages.last().is_none_or(|m| m != "served") {
        let line = next();
        if line["class"] == "place-order" {
            id = line["id"].as_u64();
            assert!(line["wait_us"].as_u64().is_some_and(|w| w > 0), "{line}");
        }
        if id.is_some() && line["id"].as_u64() == id {
            assert_eq!((&line["target"], &line["level"]), (&"request".into(), &"DEBUG".into()));
            if line["message"] == "attempt ended" {
                assert!(
                    line["us"].is_u64() && line["member"].is_u64() && line["outcome"].is_string(),
                    "{line}"
                );
            }
            messages.push(line["message"].as_str().expect("a message").to_string());
        }
    }
    child.kill().expect("the process runs");
    child.wait().expect("the process ends");
    std::fs::remove_dir_all(dir).expect("the folder is removed");
    let attempts = (messages.len() - 2) / 3;
    let mut expected = vec!["taken"];
    (0..attempts).for_each(|_| expected.extend(["sent", "begun", "attempt ended"]));
    expected.push("served");
    assert!(attempts >= 1);
    assert_eq!(messages, expected);
}

#[test]
fn signal_handlers_are_installed_before_the_first_log_line() {
    let dir = folder("signals");
    let config = config("127.0.0.1:9", &[], settings(), 1024, 192);
    std::fs::write(dir.join("config.json"), config.to_string()).expect("the file is written");
    let mut child = serve_command(&dir.join("config.json"))
        .env("BALANCER_DISCOVERY", "127.0.0.1:9")
        .spawn()
        .expect("the process starts");
    let mut log = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    log.next().expect("a line").expect("text");
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("the process runs");
    let caught = status.lines().find_map(|l| l.strip_prefix("SigCgt:")).expect("a mask");
    let caught = u64::from_str_radix(caught.trim(), 16).expect("hex");
    let unhandled: Vec<u32> = [1, 2, 10, 15].into_iter().filter(|n| caught >> (n - 1) & 1 == 0).collect();
    child.kill().expect("the process runs");
    child.wait().expect("the process ends");
    std::fs::remove_dir_all(dir).expect("the folder is removed");
    // An operator or a tool that reads this line may send a signal at once; without a handler the signal would end
    // the process.
    assert!(unhandled.is_empty(), "{unhandled:?}");
}
