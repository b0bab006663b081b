//! A keyed booking that comes by OData, at a shard whose primary resets connections under requests.
#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const BOOKINGS: usize = 20;
/// Every so many bookings one meets a reset.
const RESET_EVERY: usize = 5;

fn main() {
    run_case(Duration::from_secs(100), case)
}

fn base64url(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for n in 0..=part.len() {
            text.push(DIGITS[(word >> (18 - 6 * n) & 63) as usize] as char);
        }
    }
    text
}

fn case(record: &Record) -> i32 {
    let group = Group::default();
    let members = [
        Member::start("s-00000001", true, 0, &group, record),
        Member::start("s-00000002", false, 8, &group, record),
        Member::start("s-00000003", false, 8, &group, record),
        Member::start("s-00000004", false, 8, &group, record),
    ];
    members.iter().for_each(|m| *m.0.queue_field.lock().unwrap() = "rif");
    if trouble() {
        // One reset for each of the marked bookings: the statement has run, its answer is lost.
        let done = Arc::new(Mutex::new(HashSet::new()));
        *members[0].0.reset_after_run.lock().unwrap() = Box::new(move |key| {
            let number: usize = key[1..].parse().unwrap_or(0);
            number % RESET_EVERY == 0 && done.lock().unwrap().insert(key.to_string())
        });
    }
    let zones = ["gasan", "gasan", "pangyo", "ilsan"];
    let entries = members.iter().zip(zones).map(|(m, zone)| m.entry_with_role(1, zone, "active")).collect();
    let discovery = Discovery::start(entries);
    let address = format!("127.0.0.1:{}", discovery.port);
    let (listen, odata) = (free_port(), free_port());
    let setup = ProxySetup {
        listen,
        odata: Some(odata),
        discovery: address.clone(),
        config: config(listen, &address, &discovery.list(), &hanbit_settings()),
        operators: odata_file(odata),
    };
    let proxy = Proxy::start(&setup, record);
    // A first send in the second in which the proxy started cannot be told from an earlier one: it is answered 412.
    sleep_ms(1_500);

    // The same bookings by both fronts, each with its idempotency key.
    let mut unanswered = 0;
    for n in 0..BOOKINGS {
        let (key, value) = (format!("w{n}"), [1, n as u8, 7, 9]);
        let sql = format!(
            "INSERT INTO records (k, v) VALUES ('{key}', '\\x{}') RETURNING v /* id={:016x},c=activate,t=nuri-tel,d=2000,k={:016x},cluster=1 */",
            hex(&value),
            0xa000 + n,
            0x5c0f_6e1a_0000 + n
        );
        record.line(format!("client by PostgreSQL sends: {sql}"));
        let answer = match PgClient::connect(listen, 2_000) {
            Ok(mut client) => client.query(&sql, 2_500),
            Err(e) => PgAnswer::None(e.to_string()),
        };
        record.line(format!("client by PostgreSQL got {answer:?}"));
        unanswered += usize::from(matches!(answer, PgAnswer::None(_)));

        let key = format!("o{n}");
        let body = format!(r#"{{"k":"{key}","v":"{}"}}"#, base64url(&value));
        let request = format!(
            "POST /records HTTP/1.1\r\nHost: proxy\r\nContent-Type: application/json\r\nSkip-Class: activate\r\nSkip-Tenant: nuri-tel\r\nSkip-Group: 1\r\nSkip-Wait: 2000\r\nRepeatability-Request-ID: {:032x}\r\nRepeatability-First-Sent: {}\r\nContent-Length: {}\r\n\r\n{body}",
            0x7777_0000u64 + n as u64,
            http_date(),
            body.len()
        );
        record.line(format!("client by OData sends {key}: {body}"));
        match http(odata, &request, 2_500) {
            Ok(answer) => record.line(format!("client by OData got {} {}", answer.status, answer.body)),
            Err(e) => {
                unanswered += 1;
                record.line(format!("client by OData got no answer: {e}"));
            }
        }
    }
    sleep_ms(500);
    if !proxy.runs() || unanswered > 0 {
        record.line(format!("unanswered: {unanswered}; the proxy runs: {}", proxy.runs()));
        proxy.copy_log(record);
        return 2;
    }
    // The rule: no booking has its effect twice. Runs are counted at the members, within the window of 2 s.
    let commits = group.0.lock().unwrap().clone();
    let (mut twice_pg, mut twice_odata, mut ran) = (0, 0, 0);
    for n in 0..BOOKINGS {
        for front in ["w", "o"] {
            let key = format!("{front}{n}");
            let runs: Vec<_> = commits.iter().filter(|c| c.key == key).collect();
            ran += usize::from(!runs.is_empty());
            if runs.len() > 1 {
                *(if front == "w" { &mut twice_pg } else { &mut twice_odata }) += 1;
                let span = runs[runs.len() - 1].at_ms - runs[0].at_ms;
                let ids: Vec<_> = runs.iter().map(|c| (&c.id, &c.idempotency_key)).collect();
                record.line(format!("booking {key} RAN {} TIMES within {span} ms: id, key: {ids:?}", runs.len()));
            }
        }
    }
    record.line(format!(
        "bookings that ran: {ran} of {}; more than once: {twice_pg} by PostgreSQL, {twice_odata} by OData",
        2 * BOOKINGS
    ));
    if ran < BOOKINGS {
        proxy.copy_log(record);
        return 2;
    }
    i32::from(twice_pg + twice_odata > 0)
}
