//! Difficult cases of normal operation, with the real program: bytes that a member sends after its answer, large
//! values that are cut off, and clients that read slowly, disconnect or pipeline their queries.
#![allow(missing_docs)]

mod scenario;

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{config, settings, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use scenario::run_scenario;
use std::time::{Duration, Instant};

#[test]
fn a_duplicate_sent_after_an_answer_is_never_taken_for_the_next_answer() {
    // The duplicate arrives after the answer was forwarded, and before the connection has been idle long enough for
    // its socket to be checked.
    run_scenario(
        "member p primary
         start
         a send write k1 01
         a expect row 01
         a send write k2 02
         a expect row 02
         p does behind 1000
         a send read k1 yard-board
         a expect row 01
         a send read k2 yard-board
         a expect row 02
         a send read k1 yard-board
         a expect row 01
         a send write k3 03
         a expect row 03
         a send write k4 04
         a expect row 04
         p expect 1 write k3
         p expect 1 write k4
         counts member_extras 2",
    );
}

#[test]
fn a_duplicate_of_an_empty_result_does_not_answer_the_next_read() {
    run_scenario(
        "member p primary
         member r replica 0
         start
         a send write k1 01
         a expect row 01
         r does behind 800
         p does behind 800
         a send read k1 yard-board
         a expect row 01
         b send read k0 yard-board
         b expect row -
         a send read k1 monthly-report
         a expect row 01
         b send read k0 my-booking
         b expect row -",
    );
}

#[test]
fn a_large_value_that_is_cut_off_is_served_whole_by_another_member() {
    let value = "5a".repeat(64 * 1024);
    run_scenario(&format!(
        "member p primary
         member r replica 0
         start
         a send write k1 {value}
         a expect row {value}
         r does broken 30000
         a send read k1 monthly-report
         a expect row {value}
         a send read k1 monthly-report
         a expect row {value}
         counts severed 1
         p does broken 30000
         a send write k2 {value}
         a expect error XX000
         p expect 1 write k2"
    ));
}

struct Fixture {
    member: Member,
    group: Group,
    proxy: Proxy,
}

fn fixture() -> Fixture {
    let group = Group::default();
    let member = Member::start(&group, true, 0, Capacity::default());
    let member_list = [entry(0, member.address())];
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &member_list, settings(), 1024, 192),
        echo_log: true,
        ..Setup::default()
    };
    Fixture { member, group, proxy: Proxy::start(&setup).expect("the proxy starts") }
}

fn read(key: &str) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.to_string(), value: None, wait_ms: 12_000, after: None }
}

/// Accepts the expected value or a refusal. The members answer at once, so that the proxy soon takes an answer for
/// lost that a busy machine delays by a few ms; it may then have no other member to ask, and refuses.
fn served_or_refused(answer: &ClientAnswer, value: &[u8]) -> bool {
    matches!(answer, ClientAnswer::Refused(_)) || matches!(answer, ClientAnswer::Served(v) if v == value)
}

/// Repeats the read until it is served.
async fn read_until_served(client: &mut PgClient, key: &str, value: &[u8]) {
    loop {
        let answer = client.request(&read(key)).await.expect("an answer");
        assert!(served_or_refused(&answer, value), "a wrong value, or a failure");
        if matches!(answer, ClientAnswer::Served(_)) {
            return;
        }
    }
}

fn queries(keys: &[&str]) -> Vec<u8> {
    keys.iter().flat_map(|k| wire::query(&read(k).sql(&request_id()))).collect()
}

#[test]
fn a_client_that_does_not_read_delays_none_of_64_others() {
    let fixture = fixture();
    fixture.group.preset("big", vec![7; 64 * 1024].into());
    fixture.group.preset("small", vec![8; 8].into());
    runtime().block_on(async {
        // 4 MiB of answers, far more than the socket buffers hold. The client reads none of them until all other
        // clients are done.
        let mut slow = PgClient::connect(fixture.proxy.pg).await.expect("it connects");
        slow.send(&queries(&["big"; 64])).await.expect("its queries are taken");
        while fixture.member.statement_count("read big") == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut others = tokio::task::JoinSet::new();
        for _ in 0..64 {
            let at = fixture.proxy.pg;
            others.spawn(async move {
                let mut client = PgClient::connect(at).await.expect("it connects");
                for _ in 0..20 {
                    read_until_served(&mut client, "small", &[8; 8]).await;
                }
            });
        }
        while let Some(done) = others.join_next().await {
            done.expect("all are served");
        }
        for _ in 0..64 {
            let answer = slow.answer().await.expect("an answer");
            assert!(served_or_refused(&answer, &[7; 64 * 1024]), "a value that is not whole");
        }
    });
}

#[test]
fn sixteen_pipelined_queries_are_answered_in_order() {
    let fixture = fixture();
    let keys: Vec<String> = (0..16).map(|n| format!("k{n}")).collect();
    for (n, key) in keys.iter().enumerate() {
        // Every third value is large: large and small values take different code paths to the client.
        let size = if n % 3 == 0 { 64 * 1024 } else { 8 };
        fixture.group.preset(key, vec![n as u8; size].into());
    }
    runtime().block_on(async {
        let mut client = PgClient::connect(fixture.proxy.pg).await.expect("it connects");
        let pipelined: Vec<&str> = keys.iter().map(|k| &k[..]).collect();
        let mut served = [0; 16];
        while served.iter().any(|n| *n < 20) {
            client.send(&queries(&pipelined)).await.expect("it is taken");
            for (n, served) in served.iter_mut().enumerate() {
                let size = if n % 3 == 0 { 64 * 1024 } else { 8 };
                let answer = client.answer().await.expect("an answer");
                assert!(
                    served_or_refused(&answer, &vec![n as u8; size]),
                    "answer {n} belongs to another query"
                );
                *served += u32::from(matches!(answer, ClientAnswer::Served(_)));
            }
        }
        assert_eq!(client.unread_bytes(), 0);
    });
}

#[test]
fn clients_that_disconnect_within_a_value_do_not_affect_others() {
    let fixture = fixture();
    fixture.group.preset("big", vec![7; 64 * 1024].into());
    runtime().block_on(async {
        for _ in 0..40 {
            let mut client = PgClient::connect(fixture.proxy.pg).await.expect("it connects");
            client.send(&queries(&["big"; 8])).await.expect("it is taken");
            // The client disconnects when a part of the first answer has arrived.
            client.wait_for_data().await.expect("the first bytes");
        }
        let mut client = PgClient::connect(fixture.proxy.pg).await.expect("it connects");
        for _ in 0..20 {
            read_until_served(&mut client, "big", &[7; 64 * 1024]).await;
        }
    });
    // The requests of the disconnected clients do not linger: every request ends.
    let started = Instant::now();
    loop {
        let counters = fixture.proxy.counters().expect("counters");
        let of = |name: &str| counters.get(name).copied().unwrap_or(0);
        if of("served") + of("refused") + of("left") == of("pg_requests") {
            return;
        }
        assert!(started.elapsed() < Duration::from_secs(20), "{counters:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
