//! Requests of classes whose duplicates members discard by a key, with the real program between stand-ins. The member
//! runs each statement and resets the connection in place of an answer.
#![allow(missing_docs)]

use linentrail_standins::client::{
    request_id, ClientAnswer, ClientRequest, ODataClient, PgClient, StatementFields,
};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::time::{Duration, SystemTime};

/// Longer than any step takes on a slow machine; only a failure waits this long.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The classes of reads by session and of bookings in the settings.
const KEYED_CLASSES: [usize; 2] = [1, 3];

fn member_that_resets() -> Member {
    let member = Member::start(&Group::default(), true, 0, Capacity::default());
    member.set_behaviour(Behaviour::Reset);
    member
}

fn start_proxy(member: &Member) -> Proxy {
    let mut settings = settings();
    for class in KEYED_CLASSES {
        settings["services"][class]["idempotency"] = "idempotency_key".into();
        settings["services"][class]["group"] = "cell".into();
    }
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &[entry(0, member.address())], settings, 1024, 64),
        odata: true,
        echo_log: true,
        ..Setup::default()
    };
    Proxy::start(&setup).expect("the proxy starts")
}

fn booking(key: &str) -> ClientRequest {
    ClientRequest {
        class: "place-order",
        key: key.into(),
        value: Some(vec![1]),
        wait_ms: 10_000,
        after: None,
    }
}

fn session_read(key: &str) -> ClientRequest {
    ClientRequest { class: "my-booking", value: None, ..booking(key) }
}

/// Header fields that name a booking. Its first send is in the second after next, as one in the second of a proxy's
/// start cannot be proved to be new.
fn repeat_id(client: &str, id: &str) -> String {
    let first_sent = httpdate::fmt_http_date(SystemTime::now() + Duration::from_secs(2));
    format!(
        "Repeatability-Client-ID: {client}\r\nRepeatability-Request-ID: {id}\r\nRepeatability-First-Sent: {first_sent}\r\n"
    )
}

/// Sends a request by OData, with these header fields in place of a repeat id.
fn send_by_odata(proxy: &Proxy, request: &ClientRequest, fields: &str) -> ClientAnswer {
    let is_repeatability = |line: &&str| line.starts_with("Repeatability-");
    let text = ODataClient::encode(request);
    let lines: String = text.split_inclusive("\r\n").filter(|line| !is_repeatability(line)).collect();
    let text = lines.replacen("Host: t\r\n", &format!("Host: t\r\n{fields}"), 1);
    runtime()
        .block_on(async {
            let mut client = ODataClient::connect(proxy.odata.expect("an OData address")).await?;
            client.write(text.as_bytes()).await?;
            tokio::time::timeout(TIMEOUT, client.answer()).await?
        })
        .expect("an answer")
}

/// The one key that all statements carry which the member got since `earlier` of them. There were `attempts` at least.
fn common_key(member: &Member, what: &str, earlier: usize, attempts: usize) -> String {
    let keys = member.idempotency_keys(what).split_off(earlier);
    assert!(keys.len() >= attempts, "{what} was sent {} times", keys.len());
    assert!(keys.iter().all(|key| *key == keys[0]), "{what}: {keys:?}");
    keys[0].clone().unwrap_or_else(|| panic!("{what} carries a key"))
}

/// Guards against a keyed booking by OData that runs twice, as its attempts carry nothing by which to know them.
#[test]
fn all_attempts_of_a_keyed_request_by_odata_carry_one_key() {
    let member = member_that_resets();
    let proxy = start_proxy(&member);
    assert_eq!(
        send_by_odata(&proxy, &booking("named"), &repeat_id("c", "1")),
        ClientAnswer::Failed("502".into())
    );
    let named = common_key(&member, "write named", 0, 2);
    // Without a repeat id each request is another one.
    let mut unnamed = Vec::new();
    for _ in 0..2 {
        let earlier = member.statement_count("write unnamed");
        assert_eq!(send_by_odata(&proxy, &booking("unnamed"), ""), ClientAnswer::Failed("502".into()));
        unnamed.push(common_key(&member, "write unnamed", earlier, 2));
    }
    assert_eq!(send_by_odata(&proxy, &session_read("read"), ""), ClientAnswer::Failed("502".into()));
    let read = common_key(&member, "read read", 0, 1);
    let keys = [&named, &unnamed[0], &unnamed[1], &read];
    assert!((1..keys.len()).all(|n| !keys[..n].contains(&keys[n])), "{keys:?}");
}

/// Guards against a booking that runs again by another proxy, and against one that is dropped for another's key.
#[test]
fn a_booking_keeps_its_key_at_another_proxy_and_shares_it_with_no_other_booking() {
    let member = member_that_resets();
    let key_by_new_proxy = |request: &ClientRequest, client: &str, id: &str| {
        let what = format!("write {}", request.key);
        let earlier = member.statement_count(&what);
        send_by_odata(&start_proxy(&member), request, &repeat_id(client, id));
        common_key(&member, &what, earlier, 2)
    };
    let key = key_by_new_proxy(&booking("k1"), "c", "1");
    assert_eq!(key_by_new_proxy(&booking("k1"), "c", "1"), key, "a retry by another proxy");
    let other_value = ClientRequest { value: Some(vec![2]), ..booking("k1") };
    for (other, request, client, id) in [
        ("the same id of another client", booking("k1"), "d", "1"),
        ("another id", booking("k1"), "c", "2"),
        ("another record", booking("k2"), "c", "1"),
        ("another value", other_value, "c", "1"),
    ] {
        assert_ne!(key_by_new_proxy(&request, client, id), key, "{other}");
    }
    // Written one behind the other, client and id are the same text.
    assert_ne!(key_by_new_proxy(&booking("k3"), "ab", "c"), key_by_new_proxy(&booking("k3"), "a", "bc"));
}

fn send_by_postgresql(proxy: &Proxy, request: &ClientRequest, idempotency_key: Option<&str>) -> ClientAnswer {
    let idempotency_key = idempotency_key.map(str::to_string);
    let fields = StatementFields { group: 1, idempotency_key, ..StatementFields::default() };
    let query = wire::query(&request.sql_with(&request_id(), &fields));
    runtime()
        .block_on(async {
            let mut client = PgClient::connect(proxy.pg).await?;
            client.send(&query).await?;
            tokio::time::timeout(TIMEOUT, client.answer()).await?
        })
        .expect("an answer")
}

/// Guards against a statement of a keyed class that runs twice, as its client gave it no key.
#[test]
fn a_statement_without_a_key_is_sent_once_though_its_class_is_keyed() {
    let member = member_that_resets();
    let proxy = start_proxy(&member);
    let failed = ClientAnswer::Failed("XX000".to_string());
    for (record, key) in [("without", None), ("empty", Some(""))] {
        assert_eq!(send_by_postgresql(&proxy, &booking(record), key), failed, "{record}");
        assert_eq!(member.statement_count(&format!("write {record}")), 1, "{record}");
    }
    assert_eq!(send_by_postgresql(&proxy, &session_read("read"), None), failed);
    assert_eq!(member.statement_count("read read"), 1);
    assert_eq!(proxy.counters().expect("counters").get("without_key"), Some(&3));
    send_by_postgresql(&proxy, &booking("with"), Some("5c0f6e1a2b3d4c59"));
    assert_eq!(common_key(&member, "write with", 0, 2), "5c0f6e1a2b3d4c59");
}
