//! Guards against requests that end without an answer although the kernel has accepted their connection (rule `lost`,
//! 'got no final answer in its time'; a driver sees its connection close instead of an answer).
//!
//! A client connects while others hold all permits, and sends its startup message and its first query at once, as the
//! protocol allows. The proxy accepts the connection, and closes it with the query unread, or read and discarded.
//!
//! Causes:
//! - A connection without a permit displaced the one that had waited longest without a valid query, even if a query
//!   was already in that connection's socket or buffer (`pg::front`, `odata::front`).
//! - A client without a permit was dropped after 200 ms and blocked the clients queued after it (`net::listen`).
//! - Idle connections were judged by what the runtime had read, not by what was in the socket, and bytes that arrived
//!   after the decision to close were read and discarded (`net::frames`).
//!
//! Measured with these faults (release build): of 30 queries by each protocol from clients that had connected before
//! 300 idle ones, 60 of 60 got no answer; of 120 by OData at 64 descriptors, 31 and 43 got none; of 40 clients that
//! arrived while 120 requests were open, 14 were closed unread one by one within 3 s, and the others were still
//! waiting.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, ODataClient, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Longer than any step here takes on a slow machine: only a failure waits this long.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long each of many concurrent clients waits for its answer, in ms.
const WAIT_MS: u64 = 264;
/// Longer than any part of a test.
const LONG_WAIT_MS: u64 = 14_000;

/// A primary and three replicas, and the setup of a proxy with `sockets` descriptors.
struct Fixture {
    members: Vec<Member>,
    setup: Setup,
}

impl Fixture {
    fn new(sockets: u64) -> Self {
        let group = Group::default();
        let capacity = Capacity { service_time: (SERVICE_TIME, SERVICE_TIME), ..Capacity::default() };
        let member = |lag: &u64| Member::start(&group, *lag == 0, *lag, capacity);
        let members: Vec<Member> = [0, 5, 5, 5].iter().map(member).collect();
        let list: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: proxy::config("127.0.0.1:9", &list, proxy::settings(), sockets, 192),
            odata: true,
            accept_after_term: Some(Duration::from_millis(500)),
            ..Setup::default()
        };
        Fixture { members, setup }
    }

    fn start(&self) -> Proxy {
        Proxy::start(&self.setup).unwrap()
    }

    fn does(&self, behaviour: Behaviour) {
        self.members.iter().for_each(|member| member.set_behaviour(behaviour));
    }

    /// Number of statements with `keys` in them that the members have received.
    fn received(&self, keys: &str) -> usize {
        self.members.iter().map(|m| m.statements().iter().filter(|s| s.contains(keys)).count()).sum()
    }
}

fn read(key: &str, wait_ms: u64) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.into(), value: None, wait_ms, after: None }
}

/// A session of one query, sent together with the startup message `delay` after the connection is open.
async fn session(to: SocketAddr, delay: Duration, ask: ClientRequest) -> Result<ClientAnswer> {
    let mut client = PgClient::connect_without_startup(to).await?;
    tokio::time::sleep(delay).await;
    client.request_with_startup(&wire::query(&ask.sql(&request_id()))).await
}

async fn odata_session(to: SocketAddr, delay: Duration, ask: ClientRequest) -> Result<ClientAnswer> {
    let mut client = ODataClient::connect(to).await?;
    tokio::time::sleep(delay).await;
    client.request(&ask).await
}

/// Time between the connection of a client and its first bytes, as network latency causes it.
fn first_bytes_delay(client: usize) -> Duration {
    Duration::from_millis(client as u64 % 16)
}

/// Results of concurrent sessions.
#[derive(Debug, Default)]
struct Outcomes {
    served: usize,
    refused: usize,
    failed: usize,
    /// The errors of sessions that got no answer.
    unanswered: Vec<String>,
}

impl Outcomes {
    fn add(&mut self, outcome: Result<ClientAnswer>) {
        match outcome {
            Ok(ClientAnswer::Served(_)) => self.served += 1,
            Ok(ClientAnswer::Refused(_)) => self.refused += 1,
            Ok(ClientAnswer::Failed(_)) => self.failed += 1,
            Err(e) => self.unanswered.push(e.to_string()),
        }
    }
}

/// Waits for all sessions to end.
async fn outcomes(mut sessions: JoinSet<Result<ClientAnswer>>) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let all = async {
        while let Some(outcome) = sessions.join_next().await {
            outcomes.add(outcome.unwrap());
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, all).await.expect("every session ends");
    outcomes
}

fn sessions(to: SocketAddr, count: usize, keys: &str, wait_ms: u64) -> JoinSet<Result<ClientAnswer>> {
    let mut sessions = JoinSet::new();
    for n in 0..count {
        sessions.spawn_on(session(to, first_bytes_delay(n), read(&format!("{keys}{n}"), wait_ms)), runtime());
    }
    sessions
}

async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let waits = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waits).await.unwrap_or_else(|_| panic!("{what}"));
}

/// In each case all clients connect at once, to a proxy that has permits for only some of them.
#[test]
fn each_of_many_clients_that_query_with_their_first_bytes_gets_an_answer() {
    for (clients, sockets) in [(120, 64), (200, 256), (400, 608), (800, 1_024)] {
        let fixture = Fixture::new(sockets);
        let proxy = fixture.start();
        let (odata, to) = (proxy.odata.unwrap(), proxy.pg);
        runtime().block_on(async {
            let result = outcomes(sessions(to, clients, "k", WAIT_MS)).await;
            assert!(result.unanswered.is_empty(), "{clients} clients, {sockets} descriptors: {result:?}");
            assert!(
                result.served + result.refused == clients,
                "{clients} clients, {sockets} descriptors: {result:?}"
            );
            let mut odata_sessions = JoinSet::new();
            for n in 0..clients {
                odata_sessions.spawn_on(
                    odata_session(odata, first_bytes_delay(n), read(&format!("o{n}"), WAIT_MS)),
                    runtime(),
                );
            }
            let result = outcomes(odata_sessions).await;
            assert!(result.unanswered.is_empty(), "{clients} by OData, {sockets} descriptors: {result:?}");
        });
    }
}

#[test]
fn requests_are_answered_while_idle_clients_compete_for_permits() {
    let fixture = Fixture::new(256);
    let proxy = fixture.start();
    let (odata, to) = (proxy.odata.unwrap(), proxy.pg);
    runtime().block_on(async {
        let mut active = Vec::new();
        for _ in 0..30 {
            active.push((
                PgClient::connect_without_startup(to).await.unwrap(),
                ODataClient::connect(odata).await.unwrap(),
            ));
        }
        let mut idle = Vec::new();
        for _ in 0..300 {
            idle.push(TcpStream::connect(to).await.unwrap());
        }
        let mut requests = JoinSet::new();
        for (n, (mut pg, mut odata)) in active.into_iter().enumerate() {
            let ask = read(&format!("k{n}"), LONG_WAIT_MS);
            let query = wire::query(&ask.sql(&request_id()));
            requests.spawn_on(async move { pg.request_with_startup(&query).await }, runtime());
            requests.spawn_on(async move { odata.request(&ask).await }, runtime());
        }
        let result = outcomes(requests).await;
        assert!(result.unanswered.is_empty(), "{result:?}");
        drop(idle);
    });
}

/// Clients without a permit are refused while the requests that hold all permits are still open: they do not wait for
/// those requests to end.
#[test]
fn clients_that_arrive_while_all_permits_are_held_are_refused_at_once() {
    for shutting_down in [false, true] {
        let fixture = Fixture::new(256);
        let proxy = fixture.start();
        let to = proxy.pg;
        runtime().block_on(async {
            fixture.does(Behaviour::Hold);
            let held = sessions(to, 120, "held", LONG_WAIT_MS);
            wait_for("the members get requests", || fixture.received("held") >= 60).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            if shutting_down {
                proxy.signal("TERM").unwrap();
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            let mut late = sessions(to, 40, "late", LONG_WAIT_MS);
            let mut early = Outcomes::default();
            // The few late clients that got a permit may also wait for a member's answer.
            while early.refused + early.unanswered.len() < 30 {
                let next = tokio::time::timeout(STEP_TIMEOUT / 4, late.join_next()).await;
                let next =
                    next.unwrap_or_else(|_| panic!("shutdown {shutting_down}: others wait, {early:?}"));
                early.add(next.expect("more than thirty").unwrap());
            }
            fixture.does(Behaviour::Answer);
            let (held, late) = (outcomes(held).await, outcomes(late).await);
            let unanswered = [&held, &early, &late].map(|result| result.unanswered.len());
            assert_eq!(unanswered, [0, 0, 0], "shutdown {shutting_down}: {held:?} {early:?} {late:?}");
        });
    }
}
