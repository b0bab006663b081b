//! A read by OData of a value of 4 MiB, at members that write in small pieces.
#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::time::{Duration, Instant};

/// monthly-report: any member may answer it, given up after 750 ms.
const WAIT_MS: u64 = 750;
/// A request that has no answer this long after its time is lost; every limit on sockets is 50 ms longer.
const LOST_AFTER_MS: u64 = WAIT_MS + 500 + 50;
const READS: usize = 4;
const VALUE_BYTES: usize = 4 * 1024 * 1024;

fn main() {
    run_case(Duration::from_secs(100), case)
}

fn case(record: &Record) -> i32 {
    let group = Group::default();
    let value: Vec<u8> = (0..VALUE_BYTES).map(|n| (n % 251) as u8).collect();
    group.0.lock().unwrap().push(Commit {
        at_ms: now_ms() - 60_000,
        key: "report".to_string(),
        hex: hex(&value),
        id: "1".to_string(),
        idempotency_key: None,
    });
    let members: Vec<Member> = (1..=4)
        .map(|n| Member::start(&format!("s-0000000{n}"), n == 1, 10, &group, record))
        .collect();
    if trouble() {
        // 256 pieces of 16 KiB, 25 ms apart: 6.4 s for the value, and never silent for longer than 25 ms.
        for member in &members {
            *member.0.pieces.lock().unwrap() = Some((16 * 1024, 25));
        }
    }
    let zones = ["makati-dc", "makati-dc", "pasig-dc", "pasig-dc"];
    let entries = members.iter().zip(zones).map(|(m, zone)| m.entry(1, zone, "active")).collect();
    let discovery = Discovery::start(entries);
    let address = format!("127.0.0.1:{}", discovery.port);
    let (listen, odata) = (free_port(), free_port());
    let setup = ProxySetup {
        listen,
        odata: Some(odata),
        discovery: address.clone(),
        config: config(listen, &address, &discovery.list(), &luzon_settings()),
        operators: odata_file(odata),
    };
    let proxy = Proxy::start(&setup, record);
    sleep_ms(1_000);

    // The same read by PostgreSQL, for comparison: it is no part of the verdict.
    let sent = Instant::now();
    let sql = "SELECT v FROM records WHERE k = 'report' /* id=00000000000000c1,c=monthly-report,t=tala-bins,d=750,cluster=1 */";
    record.line(format!("client by PostgreSQL sends: {sql}"));
    let answer = PgClient::connect(listen, 2_000).map(|mut client| client.query(sql, 10_000));
    record.line(match answer {
        Ok(PgAnswer::Served(value)) => {
            format!("by PostgreSQL the value came whole, {} bytes after {} ms", value.len(), sent.elapsed().as_millis())
        }
        other => format!("by PostgreSQL: {other:?}"),
    });

    let (mut lost, mut in_time, mut reached) = (0, 0, 0);
    for n in 0..READS {
        let request = format!(
            "GET /records('report') HTTP/1.1\r\nHost: proxy\r\nSkip-Class: monthly-report\r\nSkip-Tenant: tala-bins\r\nSkip-Group: 1\r\nSkip-Wait: {WAIT_MS}\r\n\r\n"
        );
        let before: usize = members.iter().map(|m| m.0.received.lock().unwrap().len()).sum();
        let sent = Instant::now();
        record.line(format!("client by OData sends read {n}: {}", request.trim_end().replace("\r\n", " | ")));
        // The first byte counts, as for large values. The client keeps its connection open all the while.
        match first_byte(odata, &request, 10_000) {
            Ok((first_ms, answer)) => {
                let status = answer.lines().next().unwrap_or_default().to_string();
                let late = first_ms > LOST_AFTER_MS;
                lost += usize::from(late);
                in_time += usize::from(!late);
                record.line(format!(
                    "read {n}: first byte of the answer after {first_ms} ms: {status}{}",
                    if late { ": LOST, it was owed within 1300 ms" } else { "" }
                ));
            }
            Err(e) => {
                lost += 1;
                record.line(format!("read {n}: no answer in {} ms: {e}: LOST", sent.elapsed().as_millis()));
            }
        }
        let after: usize = members.iter().map(|m| m.0.received.lock().unwrap().len()).sum();
        reached += usize::from(after > before);
    }
    record.line(format!(
        "{READS} reads by OData: {in_time} answered in time, {lost} lost; {reached} reached a member"
    ));
    if !proxy.runs() || reached == 0 {
        proxy.copy_log(record);
        return 2;
    }
    i32::from(lost > 0)
}

/// The time until the first byte of an answer, in ms, and what came by then.
fn first_byte(port: u16, request: &str, timeout_ms: u64) -> std::io::Result<(u64, String)> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(("127.0.0.1", port))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
    let mut piece = vec![0; 4096];
    match stream.read(&mut piece)? {
        0 => Err(std::io::Error::other("closed without an answer")),
        n => Ok((sent.elapsed().as_millis() as u64, String::from_utf8_lossy(&piece[..n]).into_owned())),
    }
}
