//! Many requests written at once on one connection, with the real program between stand-ins, by both fronts.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, ODataClient, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::future::Future;
use std::time::Duration;

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Requests written at once: several times what either front reads ahead and what one read of a connection takes.
const REQUESTS: usize = 80;
/// Long enough that the fronts stop reading while they wait for answers.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Length of the value of the record `big`, which is streamed.
const BIG_VALUE_BYTES: usize = 1024 * 1024;

fn world() -> (Member, Proxy) {
    let group = Group::default();
    group.preset("big", vec![7; BIG_VALUE_BYTES].into());
    let capacity = Capacity { service_time: (SERVICE_TIME, SERVICE_TIME), ..Capacity::default() };
    let member = Member::start(&group, true, 0, capacity);
    let known = [entry(0, member.address())];
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &known, settings(), 1024, 64),
        odata: true,
        echo_log: true,
        ..Setup::default()
    };
    (member, Proxy::start(&setup).expect("the proxy starts"))
}

fn read_of(key: &str) -> ClientRequest {
    let key = key.to_string();
    ClientRequest { class: "monthly-report", key, value: None, wait_ms: 12_000, after: None }
}

fn read() -> ClientRequest {
    read_of("k1")
}

fn booking(number: usize) -> ClientRequest {
    let (key, value) = (format!("booking{number}"), Some(vec![90; 1024]));
    ClientRequest { class: "place-order", key, value, wait_ms: 12_000, after: None }
}

/// Runs a step of a client; a step that takes too long fails the test.
fn within_timeout<T>(step: impl Future<Output = std::io::Result<T>>) -> T {
    let step = async { tokio::time::timeout(TIMEOUT, step).await };
    runtime().block_on(step).expect("the step is over in time").expect("the connection holds")
}

/// Guards against commands that stay in the socket after a pause in reading, and are closed unanswered.
#[test]
fn commands_written_at_once_by_postgresql_are_all_answered() {
    let (_member, proxy) = world();
    for request_of in [|_| read(), booking] {
        let encode = |number| wire::query(&request_of(number).sql(&request_id()));
        let queries: Vec<u8> = (0..REQUESTS).flat_map(encode).collect();
        let mut client = within_timeout(PgClient::connect(proxy.pg));
        within_timeout(client.send(&queries));
        for number in 0..REQUESTS {
            let answer = within_timeout(client.answer());
            assert!(matches!(answer, ClientAnswer::Served(_)), "command {number}: {answer:?}");
        }
    }
}

/// Guards against requests that stay in the socket after a pause in reading, and are closed unanswered.
#[test]
fn requests_written_at_once_by_odata_are_all_answered() {
    let (_member, proxy) = world();
    // The bookings come second: one that was first sent in the second of a start is answered 412.
    for request_of in [|_| read(), booking] {
        let mut client = within_timeout(ODataClient::connect(proxy.odata.expect("an OData address")));
        let requests: String = (0..REQUESTS).map(|number| ODataClient::encode(&request_of(number))).collect();
        within_timeout(client.write(requests.as_bytes()));
        for number in 0..REQUESTS {
            let answer = within_timeout(client.answer());
            assert!(matches!(answer, ClientAnswer::Served(_)), "request {number}: {answer:?}");
        }
    }
}

/// Guards against a time limit for the rest of a message that runs while the front writes a long reply and reads nothing.
#[test]
fn a_message_begun_before_a_long_reply_may_be_completed_after_it() {
    // The value takes longer to arrive than the rest of a message may.
    const PIECE_BYTES: usize = 16 * 1024;
    const PAUSE: Duration = Duration::from_millis(45);
    let (member, proxy) = world();
    member.set_behaviour(Behaviour::Trickled(PIECE_BYTES, PAUSE));
    let mut client = within_timeout(PgClient::connect(proxy.pg));
    let [first, second] = [read_of("big"), read()].map(|request| wire::query(&request.sql(&request_id())));
    let (begun, rest) = second.split_at(second.len() / 2);
    within_timeout(client.send(&[&first, begun].concat()));
    let value = within_timeout(client.answer());
    assert!(matches!(value, ClientAnswer::Served(value) if value.len() == BIG_VALUE_BYTES));
    member.set_behaviour(Behaviour::Answer);
    within_timeout(client.send(rest));
    assert_eq!(within_timeout(client.answer()), ClientAnswer::Served(Vec::new()));
}

/// Guards against requests that were read ahead and are closed unanswered, as input that cannot be read follows them.
#[test]
fn requests_before_unreadable_input_by_odata_are_answered() {
    let (_member, proxy) = world();
    let mut client = within_timeout(ODataClient::connect(proxy.odata.expect("an OData address")));
    let requests = ODataClient::encode(&read()).repeat(4);
    within_timeout(client.write(format!("{requests}no request\r\n\r\n").as_bytes()));
    for number in 0..4 {
        assert_eq!(within_timeout(client.answer()), ClientAnswer::Served(Vec::new()), "request {number}");
    }
    assert_eq!(within_timeout(client.answer()), ClientAnswer::Failed("400".to_string()));
}
