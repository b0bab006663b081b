//! A client sends many commands at once on one connection.
#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const ROUNDS: usize = 3;
/// Reads in one go: under 10 KB.
const READS: usize = 80;
/// Bookings in one go, each with a value of 1 KiB: 52 KB.
const BOOKINGS: usize = 24;

fn main() {
    run_case(Duration::from_secs(110), case)
}

/// What became of the commands of one connection.
#[derive(Default, Debug)]
struct Tally {
    served: usize,
    refused: usize,
    failed: usize,
    /// The error with which the proxy ended the connection, if it did.
    fatal: Option<String>,
    /// The commands that had no answer when the proxy ended the connection.
    lost: usize,
}

/// Reads messages of the PostgreSQL protocol until the next ReadyForQuery. The error says how the connection ended.
fn read_answer(stream: &mut TcpStream, got: &mut Vec<u8>) -> Result<Vec<(u8, Vec<u8>)>, String> {
    let (mut messages, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        while got.len() >= 5 {
            let length = u32::from_be_bytes([got[1], got[2], got[3], got[4]]) as usize;
            if got.len() < length + 1 {
                break;
            }
            let message = (got[0], got[5..length + 1].to_vec());
            got.drain(..length + 1);
            let tag = message.0;
            messages.push(message);
            if tag == b'Z' {
                return Ok(messages);
            }
        }
        match stream.read(&mut piece) {
            Ok(0) => {
                let error = messages.iter().find(|(tag, _)| *tag == b'E');
                let text = error.map(|(_, body)| String::from_utf8_lossy(body).replace('\0', " ").trim().to_string());
                return Err(format!("the proxy closed the connection{}", text.map_or(String::new(), |t| format!(": {t}"))));
            }
            Ok(n) => got.extend(&piece[..n]),
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// Sends the commands on one connection, all at once or each after the answer to the one before, and counts answers.
/// The client keeps its side open and reads all the while.
fn converse(port: u16, commands: &[String], at_once: bool, record: &Record) -> Result<Tally, String> {
    let fault = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(("127.0.0.1", port)).map_err(fault)?;
    stream.set_nodelay(true).map_err(fault)?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).map_err(fault)?;
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
    startup.extend(body);
    stream.write_all(&startup).map_err(fault)?;
    let mut got = Vec::new();
    read_answer(&mut stream, &mut got)?;
    let encode = |sql: &String| {
        let mut message = Vec::new();
        put(&mut message, b'Q', &[sql.as_bytes(), &[0]].concat());
        message
    };
    let began = Instant::now();
    if at_once {
        let all: Vec<u8> = commands.iter().flat_map(encode).collect();
        stream.write_all(&all).map_err(fault)?;
        let took = began.elapsed().as_millis();
        record.line(format!("client: wrote {} commands, {} bytes, the last byte after {took} ms", commands.len(), all.len()));
    }
    let shown = |sql: &str| sql.rsplit_once("/*").map_or(String::new(), |(_, c)| c.trim_end_matches("*/").trim().to_string());
    if at_once {
        commands.iter().for_each(|sql| record.line(format!("client sent {}", shown(sql))));
    }
    let (mut tally, mut last_ms) = (Tally::default(), 0);
    for (n, sql) in commands.iter().enumerate() {
        if !at_once {
            record.line(format!("client sent {}", shown(sql)));
            stream.write_all(&encode(sql)).map_err(fault)?;
        }
        match read_answer(&mut stream, &mut got) {
            Ok(messages) => {
                let code = messages.iter().find(|(tag, _)| *tag == b'E').map(|(_, body)| {
                    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                    String::from_utf8_lossy(field.map_or(&[][..], |f| &f[1..])).into_owned()
                });
                last_ms = began.elapsed().as_millis();
                record.line(format!("answer to {}: {}", shown(sql), code.as_deref().unwrap_or("served")));
                match code.as_deref() {
                    None => tally.served += 1,
                    Some("53300" | "57P03") => tally.refused += 1,
                    Some(_) => tally.failed += 1,
                }
            }
            Err(end) => {
                // A fatal error is the final answer to one command; all behind it have none.
                let fatal = usize::from(end.contains("FATAL"));
                tally.failed += fatal;
                tally.lost = commands.len() - n - fatal;
                let after = began.elapsed().as_millis();
                record.line(format!("client: {n} answers, the last after {last_ms} ms; after {after} ms {end}; {} commands are without an answer", tally.lost));
                tally.fatal = Some(end);
                break;
            }
        }
    }
    record.line(format!("client: all over after {} ms: {tally:?}", began.elapsed().as_millis()));
    Ok(tally)
}

fn case(record: &Record) -> i32 {
    let group = Group::default();
    let members: Vec<Member> = (1..=5)
        .map(|n| Member::start(&format!("s-0000000{n}"), n == 1, 10, &group, record))
        .collect();
    members.iter().for_each(|m| m.0.work_ms.store(50, Ordering::Relaxed));
    let zones = ["makati-dc", "makati-dc", "pasig-dc", "pasig-dc", "makati-dc"];
    let entries = members.iter().zip(zones).map(|(m, zone)| m.entry(1, zone, "active")).collect();
    let discovery = Discovery::start(entries);
    let address = format!("127.0.0.1:{}", discovery.port);
    let listen = free_port();
    let setup = ProxySetup {
        listen,
        odata: None,
        discovery: address.clone(),
        config: config(listen, &address, &discovery.list(), &luzon_settings()),
        operators: String::new(),
    };
    let proxy = Proxy::start(&setup, record);
    sleep_ms(1_000);

    let (mut sent, mut lost, mut served) = (0, 0, 0);
    for round in 0..ROUNDS {
        let reads: Vec<String> = (0..READS)
            .map(|n| format!("SELECT v FROM records WHERE k = 'report{n}' /* id=a{round:07x}{n:08x},c=monthly-report,t=tala-bins,d=750,cluster=1 */"))
            .collect();
        let bookings: Vec<String> = (0..BOOKINGS)
            .map(|n| format!("INSERT INTO records (k, v) VALUES ('booking{n}', '\\x{}') RETURNING v /* id=b{round:07x}{n:08x},c=place-order,t=tala-bins,d=3000,cluster=1 */", "5a".repeat(1024)))
            .collect();
        for (what, commands) in [("reads", reads), ("bookings", bookings)] {
            record.line(format!("round {round}: {} {what} on one connection, {}", commands.len(), if trouble() { "all at once" } else { "one after another" }));
            match converse(listen, &commands, trouble(), record) {
                Ok(tally) => {
                    (sent, lost, served) = (sent + commands.len(), lost + tally.lost, served + tally.served);
                }
                Err(e) => {
                    record.line(format!("no connection: {e}"));
                    proxy.copy_log(record);
                    return 2;
                }
            }
        }
    }
    for member in &members {
        let received = member.0.received.lock().unwrap().len();
        record.line(format!("{} received {received} statements", member.0.name));
    }
    record.line(format!("commands sent: {sent}, served: {served}, LOST without an answer: {lost}"));
    proxy.copy_log(record);
    if !proxy.runs() || served == 0 {
        return 2;
    }
    i32::from(lost > 0)
}
