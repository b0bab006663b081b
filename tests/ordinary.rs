//! The hard cases of the ordinary path: what comes right behind an answer, large values that break off, clients that
//! read slowly, leave, or ask many things at once.
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
fn a_second_copy_soon_behind_an_answer_is_never_the_next_answer() {
    // The copy comes after the answer was passed on and before the connection has rested.
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
fn a_second_copy_behind_a_miss_does_not_answer_the_next_read() {
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
fn a_large_value_that_breaks_off_is_served_whole_by_another_member() {
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

struct World {
    member: Member,
    group: Group,
    proxy: Proxy,
}

fn world() -> World {
    let group = Group::default();
    let member = Member::start(&group, true, 0, Capacity::default());
    let known = [entry(0, member.address())];
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: config("127.0.0.1:9", &known, settings(), 1024, 192),
        echo_log: true,
        ..Setup::default()
    };
    World { member, group, proxy: Proxy::start(&setup).expect("the proxy starts") }
}

fn read(key: &str) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.to_string(), value: None, wait_ms: 12_000, after: None }
}

/// What was asked for, or a refusal: members that answer at once make the proxy take an answer for lost that a busy
/// machine holds up for some ms, and then it may have no other to ask.
fn whole(told: &ClientAnswer, value: &[u8]) -> bool {
    matches!(told, ClientAnswer::Refused(_)) || matches!(told, ClientAnswer::Served(v) if v == value)
}

/// Asks until it is served.
async fn served(client: &mut PgClient, key: &str, value: &[u8]) {
    loop {
        let told = client.request(&read(key)).await.expect("an answer");
        assert!(whole(&told, value), "another value, or a failure");
        if matches!(told, ClientAnswer::Served(_)) {
            return;
        }
    }
}

fn queries(keys: &[&str]) -> Vec<u8> {
    keys.iter().flat_map(|k| wire::query(&read(k).sql(&request_id()))).collect()
}

#[test]
fn a_client_that_does_not_read_holds_up_none_of_64_others() {
    let world = world();
    world.group.preset("big", vec![7; 64 * 1024].into());
    world.group.preset("small", vec![8; 8].into());
    runtime().block_on(async {
        // 4 MiB of answers, far more than the sockets hold; none of them is read until all others are done.
        let mut slow = PgClient::connect(world.proxy.pg).await.expect("it connects");
        slow.send(&queries(&["big"; 64])).await.expect("its queries are taken");
        while world.member.statement_count("read big") == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut others = tokio::task::JoinSet::new();
        for _ in 0..64 {
            let at = world.proxy.pg;
            others.spawn(async move {
                let mut client = PgClient::connect(at).await.expect("it connects");
                for _ in 0..20 {
                    served(&mut client, "small", &[8; 8]).await;
                }
            });
        }
        while let Some(done) = others.join_next().await {
            done.expect("all are served");
        }
        for _ in 0..64 {
            let told = slow.answer().await.expect("an answer");
            assert!(whole(&told, &[7; 64 * 1024]), "a value that is not whole");
        }
    });
}

#[test]
fn a_pipeline_of_16_is_answered_in_its_order() {
    let world = world();
    let keys: Vec<String> = (0..16).map(|n| format!("k{n}")).collect();
    for (n, key) in keys.iter().enumerate() {
        // Large and small ones in turn: the large ones take another way to the client.
        let size = if n % 3 == 0 { 64 * 1024 } else { 8 };
        world.group.preset(key, vec![n as u8; size].into());
    }
    runtime().block_on(async {
        let mut client = PgClient::connect(world.proxy.pg).await.expect("it connects");
        let asked: Vec<&str> = keys.iter().map(|k| &k[..]).collect();
        let mut served = [0; 16];
        while served.iter().any(|n| *n < 20) {
            client.send(&queries(&asked)).await.expect("it is taken");
            for (n, served) in served.iter_mut().enumerate() {
                let size = if n % 3 == 0 { 64 * 1024 } else { 8 };
                let told = client.answer().await.expect("an answer");
                assert!(whole(&told, &vec![n as u8; size]), "answer {n} is another's");
                *served += u32::from(matches!(told, ClientAnswer::Served(_)));
            }
        }
        assert_eq!(client.unread_bytes(), 0);
    });
}

#[test]
fn clients_that_leave_in_mid_value_cost_the_others_nothing() {
    let world = world();
    world.group.preset("big", vec![7; 64 * 1024].into());
    runtime().block_on(async {
        for _ in 0..40 {
            let mut client = PgClient::connect(world.proxy.pg).await.expect("it connects");
            client.send(&queries(&["big"; 8])).await.expect("it is taken");
            // A part of the first answer has come when it goes.
            client.wait_for_data().await.expect("the first bytes");
        }
        let mut client = PgClient::connect(world.proxy.pg).await.expect("it connects");
        for _ in 0..20 {
            served(&mut client, "big", &[7; 64 * 1024]).await;
        }
    });
    // Nothing is left over of those that have gone: each request ends.
    let began = Instant::now();
    loop {
        let counters = world.proxy.counters().expect("counters");
        let of = |name: &str| counters.get(name).copied().unwrap_or(0);
        if of("served") + of("refused") + of("left") == of("pg_requests") {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(20), "{counters:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
