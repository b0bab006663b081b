//! The program's command line, and a request followed through its log.
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
    command.env_remove("BALANCER_CONFIG").env_remove("RUST_LOG").args(arguments).output().expect("it runs")
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("linentrail-cli-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

/// The program as it serves by this file, with its log to be read.
fn serving(file: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
    command.env("BALANCER_CONFIG", file).env_remove("BALANCER_LISTEN").env_remove("RUST_LOG");
    command.stderr(Stdio::piped()).stdout(Stdio::null());
    command
}

#[test]
fn a_check_tells_sound_from_faulty_from_unreadable_by_its_status() {
    let dir = folder("check");
    let path = |name: &str| dir.join(name).to_str().expect("a path").to_string();
    let sound = config("127.0.0.1:9", &[], settings(), 1024, 192);
    std::fs::write(path("sound.json"), sound.to_string()).expect("a file");
    let mut faulty = sound.clone();
    faulty["listen"] = "nowhere".into();
    faulty["settings"]["services"][0]["aim_us"] = (-1).into();
    std::fs::write(path("faulty.json"), faulty.to_string()).expect("a file");
    for (file, status, words) in [
        ("sound.json", 0, &["sound", "4 classes"][..]),
        ("faulty.json", 1, &["nowhere", "services.0.aim_us"]),
        ("missing.json", 2, &["missing.json"]),
        ("notes.txt", 2, &["notes.txt"]),
    ] {
        let out = linentrail(&["check", &path(file)]);
        let said = [out.stdout, out.stderr].concat();
        let said = String::from_utf8_lossy(&said);
        assert_eq!(out.status.code(), Some(status), "{file}: {said}");
        assert!(words.iter().all(|w| said.contains(w)), "{file}: {said}");
    }
    std::fs::remove_dir_all(dir).expect("it was there");
}

#[test]
fn the_platforms_own_file_of_fronts_is_sound() {
    let out = linentrail(&["check", "deploy/linentrail.hcl"]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stdout));
}

#[test]
fn what_is_no_command_is_said_in_one_line() {
    let out = linentrail(&["sevre"]);
    let said = String::from_utf8_lossy(&out.stderr);
    assert_eq!((out.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains("sevre"), "{said}");
    // Without a configuration there is nothing to serve, by either name of that command.
    for arguments in [&[][..], &["serve"]] {
        let out = linentrail(arguments);
        assert_eq!(out.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&out.stderr).contains("BALANCER_CONFIG"));
    }
}

#[test]
fn one_request_can_be_followed_through_the_json_log() {
    let dir = folder("log");
    let group = Group::default();
    let members = [true, false].map(|primary| Member::start(&group, primary, 0, Capacity::default()));
    members[1].set_behaviour("miss".parse().expect("it is known"));
    let known: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
    let file = dir.join("config.json");
    std::fs::write(&file, config("127.0.0.1:9", &known, settings(), 1024, 192).to_string()).expect("a file");
    let mut child = serving(&file)
        .args(["serve", "--log-format", "json"])
        .env("RUST_LOG", "info,request=debug")
        .env_remove("BALANCER_DISCOVERY")
        .spawn()
        .expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    let mut next = || -> serde_json::Value {
        let line = lines.next().expect("a line").expect("it can be read");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"))
    };
    let at: SocketAddr = loop {
        let message = next()["message"].as_str().expect("a message").to_string();
        if let Some(at) = message.strip_prefix("serving clients at ") {
            break at.parse().expect("an address");
        }
    };
    let told = runtime().block_on(async {
        let mut client = PgClient::connect(at).await.expect("it connects");
        let read =
            |class| ClientRequest { class, key: "k".to_string(), value: None, wait_ms: 9_000, after: None };
        client.request(&read("monthly-report")).await.expect("an answer");
        client
            .request(&ClientRequest { value: Some(vec![7]), ..read("place-order") })
            .await
            .expect("an answer")
    });
    assert_eq!(told, ClientAnswer::Served(vec![7]));
    // All that became of the booking, in its order, under one id; it may have tried the replica first.
    let (mut id, mut story) = (None, Vec::new());
    while story.last().is_none_or(|m| m != "served") {
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
            story.push(line["message"].as_str().expect("a message").to_string());
        }
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    std::fs::remove_dir_all(dir).expect("it was there");
    let attempts = (story.len() - 2) / 2;
    let mut expected = vec!["taken"];
    (0..attempts).for_each(|_| expected.extend(["sent", "attempt ended"]));
    expected.push("served");
    assert!(attempts >= 1);
    assert_eq!(story, expected);
}

#[test]
fn signals_are_heard_from_the_first_line_of_the_log_on() {
    let dir = folder("signals");
    let config = config("127.0.0.1:9", &[], settings(), 1024, 192);
    std::fs::write(dir.join("config.json"), config.to_string()).expect("written");
    let mut child = serving(&dir.join("config.json"))
        .env("BALANCER_DISCOVERY", "127.0.0.1:9")
        .spawn()
        .expect("it starts");
    let mut log = BufReader::new(child.stderr.take().expect("a pipe")).lines();
    log.next().expect("a line").expect("text");
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).expect("it runs");
    let caught = status.lines().find_map(|l| l.strip_prefix("SigCgt:")).expect("a mask");
    let caught = u64::from_str_radix(caught.trim(), 16).expect("hex");
    let unheard: Vec<u32> = [1, 2, 10, 15].into_iter().filter(|n| caught >> (n - 1) & 1 == 0).collect();
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    std::fs::remove_dir_all(dir).expect("it was there");
    // Whoever reads that it serves may send one at once; unheard it ends the process.
    assert!(unheard.is_empty(), "{unheard:?}");
}
