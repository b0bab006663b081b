//! Guards against requests that are taken and never answered, as the large value before them on the same connection
//! cannot be completed: orders run, and their clients are not told and must not try again.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, ODataClient, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::future::Future;
use std::io::Result;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);
const VALUE_LEN: usize = 1024 * 1024;
/// Long enough that no deadline plays a part.
const LONG_WAIT_MS: u64 = 14_000;
/// Until the bookings' first send, told in whole seconds, is later than the start of the proxy.
const FIRST_SECOND: Duration = Duration::from_millis(1_100);

struct World {
    member: Member,
    proxy: Proxy,
}

fn world() -> World {
    let group = Group::default();
    group.preset("big", vec![7; VALUE_LEN].into());
    let member = Member::start(&group, true, 0, Capacity::default());
    let known = [entry(0, member.address())];
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &known, settings(), 1024, 64),
        odata: true,
        echo_log: true,
        accept_after_term: Some(Duration::from_millis(200)),
        ..Setup::default()
    };
    let proxy = Proxy::start(&setup).expect("the proxy starts");
    std::thread::sleep(FIRST_SECOND);
    World { member, proxy }
}

impl World {
    fn counter(&self, name: &str) -> u64 {
        self.proxy.counters().expect("counters").get(name).copied().unwrap_or_default()
    }

    /// Waits until the member has received the order with this key.
    fn wait_for_order(&self, key: &str) {
        let began = Instant::now();
        while self.member.statement_count(&format!("write {key}")) == 0 {
            assert!(began.elapsed() < TIMEOUT, "the order {key} did not reach the member");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn read(key: &str) -> ClientRequest {
    ClientRequest {
        class: "monthly-report",
        key: key.to_string(),
        value: None,
        wait_ms: LONG_WAIT_MS,
        after: None,
    }
}

fn order(key: &str, wait_ms: u64) -> ClientRequest {
    ClientRequest {
        class: "place-order",
        key: key.to_string(),
        value: Some(vec![90; 8]),
        wait_ms,
        after: None,
    }
}

fn queries(requests: &[ClientRequest]) -> Vec<u8> {
    requests.iter().flat_map(|request| wire::query(&request.sql(&request_id()))).collect()
}

/// Runs a step of a client; a step that takes too long fails the test.
fn within_timeout<T>(step: impl Future<Output = Result<T>>) -> Result<T> {
    let step = async { tokio::time::timeout(TIMEOUT, step).await };
    runtime().block_on(step).expect("the step is over in time")
}

fn is_served(answer: &Result<ClientAnswer>) -> bool {
    matches!(answer, Ok(ClientAnswer::Served(_)))
}

/// Bytes of an answer after which its member breaks off: within the first bytes of the value, between, right before its
/// last byte, and behind the value but before the answer is complete.
const BREAKS: [usize; 5] = [200, 70_000, VALUE_LEN / 2, VALUE_LEN, VALUE_LEN + 70];

#[test]
fn orders_behind_a_value_that_breaks_off_are_never_answered() {
    let world = world();
    for (n, bytes) in BREAKS.into_iter().enumerate() {
        world.member.set_behaviour(Behaviour::Broken(bytes));
        let keys: Vec<String> = (0..3).map(|m| format!("order{n}-{m}")).collect();
        let orders = keys.iter().map(|key| order(key, LONG_WAIT_MS));
        let mut client = within_timeout(PgClient::connect(world.proxy.pg)).expect("a connection");
        let requests: Vec<_> = [read("big")].into_iter().chain(orders).chain([read("small")]).collect();
        within_timeout(client.send(&queries(&requests))).expect("the queries are written");
        let value = within_timeout(client.answer());
        assert!(matches!(value, Ok(ClientAnswer::Failed(_))), "cut off after {bytes} bytes: {value:?}");
        for key in &keys {
            let answer = within_timeout(client.answer());
            assert!(is_served(&answer), "cut off after {bytes} bytes, {key}: {answer:?}");
            assert_eq!(world.member.statement_count(&format!("write {key}")), 1, "{key}");
        }
        assert!(is_served(&within_timeout(client.answer())));
        // The connection goes on.
        world.member.set_behaviour(Behaviour::Answer);
        let value = within_timeout(client.request(&read("big")));
        assert!(matches!(value, Ok(ClientAnswer::Served(value)) if value.len() == VALUE_LEN));
    }
    assert_eq!(world.counter("flows_padded"), BREAKS.len() as u64);
    assert_eq!(world.counter("pg_unanswered"), 0);
}

#[test]
fn orders_behind_a_value_that_breaks_off_are_never_answered_by_odata() {
    let world = world();
    let address = world.proxy.odata.expect("an OData address");
    for (n, bytes) in BREAKS.into_iter().enumerate() {
        world.member.set_behaviour(Behaviour::Broken(bytes));
        let keys: Vec<String> = (0..3).map(|m| format!("order{n}-{m}")).collect();
        let orders: String = keys.iter().map(|key| ODataClient::encode(&order(key, LONG_WAIT_MS))).collect();
        let mut client = within_timeout(ODataClient::connect(address)).expect("a connection");
        let requests = ODataClient::encode(&read("big")) + &orders;
        within_timeout(client.write(requests.as_bytes())).expect("the requests are written");
        // The body has the length that its head tells, and is no JSON.
        let value = within_timeout(client.answer());
        let fault = value.expect_err("the value is cut off");
        assert_eq!(fault.kind(), std::io::ErrorKind::InvalidData, "cut off after {bytes} bytes: {fault}");
        for key in &keys {
            let answer = within_timeout(client.answer());
            assert!(is_served(&answer), "cut off after {bytes} bytes, {key}: {answer:?}");
            assert_eq!(world.member.statement_count(&format!("write {key}")), 1, "{key}");
        }
    }
    assert_eq!(world.counter("flows_padded"), BREAKS.len() as u64);
}

#[test]
fn an_order_behind_a_value_whose_member_falls_silent_is_answered_too_late() {
    const ORDER_WAIT_MS: u64 = 2_000;
    let world = world();
    world.member.set_behaviour(Behaviour::Paused(VALUE_LEN / 2));
    let mut client = within_timeout(PgClient::connect(world.proxy.pg)).expect("a connection");
    let asked = Instant::now();
    within_timeout(client.send(&queries(&[read("big"), order("order1", ORDER_WAIT_MS)]))).expect("written");
    assert!(matches!(within_timeout(client.answer()), Ok(ClientAnswer::Failed(_))));
    let answer = within_timeout(client.answer());
    assert!(is_served(&answer), "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(ORDER_WAIT_MS), "{:?}", asked.elapsed());
    // Connections that the member has held up go on.
    world.member.set_behaviour(Behaviour::Answer);
    std::thread::sleep(FIRST_SECOND);
    world.member.set_behaviour(Behaviour::Paused(VALUE_LEN / 2));
    // By OData the order is begun only then.
    let mut client =
        within_timeout(ODataClient::connect(world.proxy.odata.expect("an address"))).expect("a connection");
    let asked = Instant::now();
    let requests =
        [read("big"), order("order2", ORDER_WAIT_MS)].map(|request| ODataClient::encode(&request)).concat();
    within_timeout(client.write(requests.as_bytes())).expect("written");
    let value = within_timeout(client.answer());
    assert!(value.is_err(), "{value:?}");
    let answer = within_timeout(client.answer());
    assert!(is_served(&answer), "{answer:?}");
    assert!(asked.elapsed() < Duration::from_millis(ORDER_WAIT_MS), "{:?}", asked.elapsed());
    assert_eq!(world.counter("flows_given_up"), 2);
}

/// Guards against an order that is not read while a value is streamed.
#[test]
fn an_order_sent_while_a_value_is_streamed_waits_for_its_end() {
    let world = world();
    world.member.set_behaviour(Behaviour::Paused(VALUE_LEN / 2));
    let mut client = within_timeout(PgClient::connect(world.proxy.pg)).expect("a connection");
    within_timeout(client.send(&queries(&[read("big")]))).expect("written");
    within_timeout(client.wait_for_data()).expect("the value begins");
    within_timeout(client.send(&queries(&[order("order1", LONG_WAIT_MS)]))).expect("written");
    world.wait_for_order("order1");
    world.member.set_behaviour(Behaviour::Answer);
    let value = within_timeout(client.answer());
    assert!(matches!(value, Ok(ClientAnswer::Served(value)) if value.len() == VALUE_LEN));
    assert!(is_served(&within_timeout(client.answer())));
}

/// Guards against a sound value that is given up too soon: a short pause of its member while an answer behind it is
/// overdue, and a longer one while none is owed.
#[test]
fn a_value_that_pauses_is_given_up_although_its_member_goes_on() {
    for (pause_ms, behind) in [(700, vec![order("order1", 300)]), (2_300, vec![])] {
        let world = world();
        world.member.set_behaviour(Behaviour::Paused(VALUE_LEN / 2));
        let mut client = within_timeout(PgClient::connect(world.proxy.pg)).expect("a connection");
        let requests: Vec<_> = [read("big")].into_iter().chain(behind).collect();
        within_timeout(client.send(&queries(&requests))).expect("written");
        within_timeout(client.wait_for_data()).expect("the value begins");
        std::thread::sleep(Duration::from_millis(pause_ms));
        world.member.set_behaviour(Behaviour::Answer);
        let value = within_timeout(client.answer());
        assert!(
            matches!(value, Ok(ClientAnswer::Served(value)) if value.len() == VALUE_LEN),
            "{pause_ms} ms"
        );
    }
}

/// Guards against an order that is taken and dropped at the end of the process, as the value before it still arrives.
#[test]
fn an_order_behind_a_slow_value_is_dropped_at_the_shutdown() {
    /// The platform may kill the process this long after SIGTERM.
    const KILL_AFTER: Duration = Duration::from_millis(3_700);
    for by_odata in [false, true] {
        let world = world();
        world.member.set_behaviour(Behaviour::Trickled(16 * 1024, Duration::from_millis(150)));
        let requests = [read("big"), order("order1", LONG_WAIT_MS)];
        let answered = runtime().block_on(async {
            let (address, bytes) = match by_odata {
                false => (world.proxy.pg, [wire::startup(), queries(&requests)].concat()),
                true => {
                    let requests = requests.map(|request| ODataClient::encode(&request)).concat();
                    (world.proxy.odata.expect("an address"), requests.into_bytes())
                }
            };
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream.write_all(&bytes).await.expect("written");
            stream.read_exact(&mut [0; 4096]).await.expect("the value begins");
            world.member.set_behaviour(Behaviour::Answer);
            world.proxy.signal("TERM").expect("a signal");
            let mut received = Vec::new();
            let read_all = tokio::time::timeout(KILL_AFTER, stream.read_to_end(&mut received)).await;
            read_all.is_ok().then_some(received)
        });
        let received = answered.expect("the connection ends before the kill");
        // By OData the order begins when the value has been given up: with so little time left that it either runs and is
        // answered, or is too late, and 503 promises that nothing of it has run. Each answer, and how often it ran then.
        let possible: &[(&[u8], usize)] = match by_odata {
            false => &[(b"INSERT 0 1\0", 1)],
            true => &[(b"HTTP/1.1 201 ", 1), (b"HTTP/1.1 503 ", 0)],
        };
        let is_in = |answer: &[u8]| received.windows(answer.len()).any(|part| part == answer);
        let runs: Vec<usize> =
            possible.iter().filter(|(answer, _)| is_in(answer)).map(|(_, runs)| *runs).collect();
        let end = String::from_utf8_lossy(&received[received.len().saturating_sub(500)..]).into_owned();
        let ran = world.member.statement_count("write order1");
        assert_eq!(runs, [ran], "by OData: {by_odata}, {} bytes, ending in {end:?}", received.len());
    }
}
