//! Large values, with the real program between stand-ins: streamed as they arrive, no faster than the client reads.
#![allow(missing_docs)]

use bytes::Bytes;
use linentrail_standins::client::{request_id, ClientRequest};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);
const MIB: usize = 1024 * 1024;
/// Index of the class of the reads in these tests.
const LARGE_READ: usize = 2;

struct World {
    member: Member,
    proxy: Proxy,
}

fn value(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n * 7 + n / 256) as u8).collect()
}

fn world(size: usize, memory_mb: u64) -> World {
    world_of(size, memory_mb, "read_like")
}

/// The same with this idempotency for the reads.
fn world_of(size: usize, memory_mb: u64, effect: &str) -> World {
    let group = Group::default();
    let member = Member::start(&group, true, 0, Capacity::default());
    group.preset("big", Bytes::from(value(size)));
    group.preset("small", Bytes::from_static(b"small"));
    let known = [entry(0, member.address())];
    let mut settings = settings();
    settings["services"][LARGE_READ]["idempotency"] = effect.into();
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &known, settings, 1024, memory_mb),
        odata: true,
        echo_log: true,
        ..Setup::default()
    };
    World { member, proxy: Proxy::start(&setup).expect("the proxy starts") }
}

fn query(key: &str) -> Vec<u8> {
    let request = ClientRequest {
        class: "monthly-report",
        key: key.to_string(),
        value: None,
        wait_ms: 12_000,
        after: None,
    };
    wire::query(&request.sql(&request_id()))
}

fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    stream.write_all(&wire::startup()).expect("the request is written");
    while wire::read(&mut stream, true).expect("startup messages").0 != b'Z' {}
    stream
}

/// The value of a complete answer; `None` if the connection was closed before its end.
fn answer(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut row = None;
    loop {
        match wire::read(stream, true).ok()? {
            (b'D', body) => row = Some(body[6..].to_vec()),
            (b'Z', _) => return row,
            _ => {}
        }
    }
}

fn counted(world: &World, name: &str) -> u64 {
    let began = Instant::now();
    loop {
        let seen = world.proxy.counters().expect("counters").get(name).copied().unwrap_or_default();
        if seen > 0 || began.elapsed() > TIMEOUT {
            return seen;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn the_first_bytes_are_passed_on_before_the_last_have_arrived() {
    let world = world(4 * MIB, 64);
    world.member.set_behaviour(Behaviour::Paused(MIB));
    let mut client = connect(world.proxy.pg);
    client.write_all(&query("big")).expect("the request is written");
    // The member holds back the rest until this much has arrived here.
    let mut first = vec![0; MIB / 2];
    client.read_exact(&mut first).expect("the first half MiB");
    world.member.set_behaviour(Behaviour::Answer);
    let mut rest = Vec::new();
    let value_bytes = value(4 * MIB);
    let at = first.windows(64).position(|w| w == &value_bytes[..64]).expect("the beginning of the value");
    while rest.len() < at + value_bytes.len() - first.len() {
        let mut buffer = [0; 65536];
        let n = client.read(&mut buffer).expect("the rest");
        assert!(n > 0, "cut off after {} bytes", first.len() + rest.len());
        rest.extend_from_slice(&buffer[..n]);
    }
    first.extend_from_slice(&rest);
    assert!(first[at..at + value_bytes.len()] == value_bytes);
    // The same connections are reused for the next value.
    let mut again = connect(world.proxy.pg);
    for _ in 0..3 {
        again.write_all(&query("big")).expect("the request is written");
        let got = answer(&mut again);
        assert!(got == Some(value(4 * MIB)), "{:?} {:?}", got.map(|g| g.len()), world.proxy.counters());
    }
    assert_eq!(world.member.totals().2, 1, "connections to the member");
}

#[test]
fn a_value_that_is_cut_off_is_not_completed_and_not_read_again() {
    let world = world(2 * MIB, 64);
    world.member.set_behaviour(Behaviour::Broken(MIB));
    let mut client = connect(world.proxy.pg);
    client.write_all(&query("big")).expect("the request is written");
    assert_eq!(answer(&mut client), None);
    assert_eq!(counted(&world, "flows_broken"), 1);
    assert_eq!(world.member.statement_count("read big"), 1);
    // OData reads the value to its end before it answers, so the whole request fails.
    assert_eq!(status_by_odata(&world), "502");
}

/// The status of a read of the large value by OData.
fn status_by_odata(world: &World) -> String {
    let mut http = TcpStream::connect(world.proxy.odata.expect("an OData address")).expect("a connection");
    http.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    let fields = "Skip-Class: monthly-report\r\nSkip-Tenant: acme\r\nSkip-Group: 1\r\nConnection: close\r\n";
    write!(http, "GET /records('big') HTTP/1.1\r\nHost: t\r\n{fields}\r\n").expect("the request is written");
    let mut text = Vec::new();
    http.read_to_end(&mut text).expect("a response");
    String::from_utf8_lossy(&text).split(' ').nth(1).expect("a status").to_string()
}

#[test]
fn a_large_value_of_a_read_that_may_not_be_repeated_is_delivered() {
    for effect in ["non_idempotent", "idempotency_key"] {
        let world = world_of(2 * MIB, 64, effect);
        let mut client = connect(world.proxy.pg);
        client.write_all(&query("big")).expect("the request is written");
        assert!(answer(&mut client) == Some(value(2 * MIB)), "{effect}");
        assert_eq!(status_by_odata(&world), "200", "{effect}");
        assert_eq!(world.member.statement_count("read big"), 2, "{effect}");
    }
}

#[test]
fn without_memory_for_the_value_only_a_safe_read_is_refused() {
    for (effect, status) in [("read_like", "503"), ("non_idempotent", "502"), ("idempotency_key", "502")] {
        let world = world_of(4 * MIB, 16, effect);
        assert_eq!(status_by_odata(&world), status, "{effect}");
        assert_eq!(world.member.statement_count("read big"), 1, "{effect}");
    }
}

#[test]
fn a_client_that_disconnects_ends_only_its_own_stream() {
    let world = world(4 * MIB, 64);
    world.member.set_behaviour(Behaviour::Paused(MIB));
    let mut leaves = connect(world.proxy.pg);
    let mut stays = connect(world.proxy.pg);
    for client in [&mut leaves, &mut stays] {
        client.write_all(&query("big")).expect("the request is written");
        client.read_exact(&mut [0; 4096]).expect("the first bytes");
    }
    drop(leaves);
    world.member.set_behaviour(Behaviour::Answer);
    assert_eq!(counted(&world, "flows_broken"), 1);
    let mut rest = vec![0; 4 * MIB - 4096];
    stays.read_exact(&mut rest).expect("the rest");
}

#[test]
fn many_slow_clients_take_little_memory_and_do_not_delay_others() {
    const CLIENTS: usize = 64;
    let world = world(4 * MIB, 48);
    let address = world.proxy.pg;
    let before = world.proxy.usage().expect("memory usage").1;
    let slow = |_| {
        runtime().spawn(async move {
            let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
            stream.write_all(&wire::startup()).await.expect("the request is written");
            stream.write_all(&query("big")).await.expect("the request is written");
            let (mut taken, mut buffer) = (0, vec![0; 32 * 1024]);
            while taken < 4 * MIB {
                let n = stream.read(&mut buffer).await.expect("the value");
                assert!(n > 0, "cut off after {taken} bytes");
                taken += n;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(slow).collect();
    let (mut peak_kib, mut served) = (0, 0);
    let mut quick = connect(address);
    while clients.iter().any(|c| !c.is_finished()) {
        peak_kib = peak_kib.max(world.proxy.usage().expect("memory usage").1);
        quick.write_all(&query("small")).expect("the request is written");
        assert_eq!(answer(&mut quick), Some(b"small".to_vec()));
        served += 1;
        std::thread::sleep(Duration::from_millis(10));
    }
    for client in clients {
        runtime().block_on(client).expect("the whole value");
    }
    assert!(served > 10, "{served}");
    assert!(peak_kib < 40 * 1024, "{peak_kib} KiB at most, {before} before");
    assert_eq!(counted(&world, "flows"), CLIENTS as u64);
}
