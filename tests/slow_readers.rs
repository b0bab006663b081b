//! Guards against clients that are cut off, and requests behind that are never answered, as they take a large value
//! slowly: the kernel told of room to write only when much had been taken.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientRequest, ODataClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::wire;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);
const VALUE_LEN: usize = 4 * 1024 * 1024;
/// A slow client's receive buffer, and what it takes at a time.
const RECEIVE_BUFFER: usize = 16 * 1024;
const PIECE_LEN: usize = 5 * 1024;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
/// More than twice as long as a client may take nothing.
const SLOW_PHASE: Duration = Duration::from_secs(12);

fn world() -> (Member, Proxy) {
    let group = Group::default();
    group.preset("big", vec![7; VALUE_LEN].into());
    let member = Member::start(&group, true, 0, Capacity::default());
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &[entry(0, member.address())], settings(), 1024, 64),
        odata: true,
        echo_log: true,
        ..Setup::default()
    };
    let proxy = Proxy::start(&setup).expect("the proxy starts");
    (member, proxy)
}

/// A read of the large value.
fn read() -> ClientRequest {
    ClientRequest {
        class: "monthly-report",
        key: "big".to_string(),
        value: None,
        wait_ms: 14_000,
        after: None,
    }
}

/// A connection whose client's kernel holds little that the client has not taken.
fn connect(address: SocketAddr) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("a small buffer");
    socket.connect(&address.into()).expect("a connection");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    stream
}

/// Sends these requests, takes the answers slowly for a while and then as they come. Returns them when `end` has come or
/// the proxy has closed the connection.
fn take_slowly(address: SocketAddr, requests: &[u8], end: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(requests).expect("the requests are written");
    let (began, mut received) = (Instant::now(), Vec::new());
    let mut piece = vec![0; PIECE_LEN];
    loop {
        if began.elapsed() < SLOW_PHASE {
            std::thread::sleep(PIECE_INTERVAL);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return received,
            Ok(n) => received.extend_from_slice(&piece[..n]),
        }
        let last = &received[received.len().saturating_sub(PIECE_LEN + end.len())..];
        if last.windows(end.len()).any(|part| part == end) {
            return received;
        }
    }
}

#[test]
fn a_client_that_takes_a_value_slowly_is_cut_off_with_the_order_behind_it() {
    let (_member, proxy) = world();
    std::thread::sleep(Duration::from_millis(1_100));
    let read = read();
    let order = |key: &str| ClientRequest {
        class: "place-order",
        key: key.to_string(),
        value: Some(vec![9; 8]),
        wait_ms: 14_000,
        after: None,
    };
    let queries = [&read, &order("by-postgresql")].map(|request| wire::query(&request.sql(&request_id())));
    let by_postgresql = [wire::startup(), queries.concat()].concat();
    let by_odata = [&read, &order("by-odata")].map(ODataClient::encode).concat();
    let (pg, odata) = (proxy.pg, proxy.odata.expect("an OData address"));
    let clients = [
        std::thread::spawn(move || take_slowly(pg, &by_postgresql, b"INSERT 0 1\0")),
        std::thread::spawn(move || take_slowly(odata, by_odata.as_bytes(), b"HTTP/1.1 201 ")),
    ];
    let [by_postgresql, by_odata] = clients.map(|client| client.join().expect("the client ends"));
    let value = vec![7; VALUE_LEN];
    assert!(by_postgresql.windows(11).any(|part| part == b"INSERT 0 1\0"), "{} bytes", by_postgresql.len());
    assert!(memchr::memmem::find(&by_postgresql, &value).is_some(), "{} bytes", by_postgresql.len());
    assert!(by_odata.windows(13).any(|part| part == b"HTTP/1.1 201 "), "{} bytes", by_odata.len());
}

/// Guards against a client that takes nothing and keeps its permit.
#[test]
fn a_client_that_takes_nothing_keeps_its_connection() {
    let (_member, proxy) = world();
    let mut stream = connect(proxy.pg);
    let read = read();
    stream
        .write_all(&[wire::startup(), wire::query(&read.sql(&request_id()))].concat())
        .expect("the request is written");
    let began = Instant::now();
    while proxy.counters().expect("counters").get("closed_broken") != Some(&1) {
        assert!(began.elapsed() < TIMEOUT, "the connection is still open");
        std::thread::sleep(Duration::from_millis(100));
    }
}
