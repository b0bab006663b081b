//! Requests that cross the end of a connection, whatever ends it, by both fronts.
//!
//! The real program stands still while the reason for an end comes true and the request is written, so that it finds both
//! when it goes on. Every request is answered on its connection, and none is read that is not.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, ODataClient, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::io::Result;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than anything here takes on a slow machine: only a failure waits so long.
const PATIENCE: Duration = Duration::from_secs(20);
/// Before a limit of the fronts comes true, and until after that.
const BEFORE: Duration = Duration::from_millis(300);
const OVER: Duration = Duration::from_millis(700);
/// The fronts' limits: on silence by the platform's protocol and by OData, on rest, and on a message that was begun.
const SILENT: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(4_000)];
const IDLE: Duration = Duration::from_millis(4_000);
const UNFINISHED: [Duration; 2] = [Duration::from_millis(2_400), Duration::from_millis(2_000)];
const STILL_COMING: Duration = Duration::from_millis(1_000);

struct World {
    primary: Member,
    setup: Setup,
}

impl World {
    fn new(sockets: u64) -> Self {
        let primary = Member::start(&Group::default(), true, 0, Capacity::default());
        let list = [entry(0, primary.address())];
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: proxy::config("127.0.0.1:9", &list, proxy::settings(), sockets, 192),
            odata: true,
            accept_after_term: Some(STILL_COMING),
            ..Setup::default()
        };
        World { primary, setup }
    }
}

fn ask(key: &str) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.into(), value: None, wait_ms: 14_000, after: None }
}

/// A client by either protocol.
enum Client {
    Pg { conn: PgClient, started: bool },
    Odata(ODataClient),
}

impl Client {
    /// Connects, and says nothing.
    async fn new(proxy: &Proxy, odata: bool) -> Self {
        if odata {
            return Client::Odata(ODataClient::connect(proxy.odata.unwrap()).await.unwrap());
        }
        Client::Pg { conn: PgClient::connect_without_startup(proxy.pg).await.unwrap(), started: false }
    }

    /// One that was served and rests.
    async fn served(proxy: &Proxy, odata: bool) -> Self {
        let mut client = Client::new(proxy, odata).await;
        client.asks("first").await.expect("the first request is answered");
        client
    }

    /// Sends a request of a session that has begun, and waits for nothing.
    async fn sends(&mut self, ask: &ClientRequest) {
        match self {
            Client::Pg { conn, .. } => conn.send(&wire::query(&ask.sql(&request_id()))).await.unwrap(),
            Client::Odata(conn) => conn.send(ask).await,
        }
    }

    /// The next answer.
    async fn hears(&mut self) -> Result<ClientAnswer> {
        match self {
            Client::Pg { conn, .. } => conn.answer().await,
            Client::Odata(conn) => conn.answer().await,
        }
    }

    async fn asks(&mut self, key: &str) -> Result<ClientAnswer> {
        let answer = async {
            match self {
                Client::Pg { conn, started: true } => conn.request(&ask(key)).await,
                Client::Pg { conn, started } => {
                    *started = true;
                    conn.request_with_startup(&wire::query(&ask(key).sql(&request_id()))).await
                }
                Client::Odata(conn) => conn.request(&ask(key)).await,
            }
        };
        tokio::time::timeout(PATIENCE, answer).await.expect("an answer or an end")
    }
}

/// Stands still from now on until `over` has passed, and for so long after the clients have begun to ask.
async fn all_answered(proxy: &Proxy, over: Duration, clients: Vec<Client>, what: &str) {
    proxy.signal("STOP").unwrap();
    tokio::time::sleep(over).await;
    let mut asking = tokio::task::JoinSet::new();
    for (n, mut client) in clients.into_iter().enumerate() {
        asking.spawn(async move {
            let answer = client.asks(&format!("k{n}")).await;
            (client, answer)
        });
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    proxy.signal("CONT").unwrap();
    for (_client, answer) in asking.join_all().await {
        assert!(
            matches!(answer, Ok(ClientAnswer::Served(_) | ClientAnswer::Refused(_))),
            "{what}: {answer:?}"
        );
    }
}

/// No request was read and then left without an answer; no client here leaves.
fn none_was_read_and_dropped(proxy: &Proxy, what: &str) {
    let counters = proxy.counters().unwrap();
    let of = |name: &str| counters.get(name).copied().unwrap_or_default();
    assert_eq!((of("pg_unanswered"), of("closed_dropped"), of("left")), (0, 0, 0), "{what}: {counters:?}");
}

#[test]
fn a_request_that_crosses_the_end_of_a_silent_or_resting_connection_is_answered() {
    let world = World::new(1_024);
    runtime().block_on(async {
        for (odata, silent) in [false, true].into_iter().zip(SILENT) {
            let proxy = Proxy::start(&world.setup).unwrap();
            for (served, limit) in [(false, silent), (true, IDLE)] {
                let mut clients = Vec::new();
                for _ in 0..8 {
                    clients.push(match served {
                        true => Client::served(&proxy, odata).await,
                        false => Client::new(&proxy, odata).await,
                    });
                }
                tokio::time::sleep(limit - BEFORE).await;
                let what = format!("OData {odata}, served before {served}");
                all_answered(&proxy, OVER, clients, &what).await;
                none_was_read_and_dropped(&proxy, &what);
            }
        }
    });
}

#[test]
fn requests_that_cross_the_end_of_the_process_are_answered() {
    let world = World::new(1_024);
    runtime().block_on(async {
        for odata in [false, true] {
            let mut proxy = Proxy::start(&world.setup).unwrap();
            let mut clients = Vec::new();
            for served in [false, true, false, true, false, true] {
                clients.push(match served {
                    true => Client::served(&proxy, odata).await,
                    false => Client::new(&proxy, odata).await,
                });
            }
            proxy.signal("TERM").unwrap();
            tokio::time::sleep(STILL_COMING - BEFORE).await;
            all_answered(&proxy, OVER, clients, &format!("OData {odata}")).await;
            assert!(proxy.wait().unwrap().success());
        }
    });
}

#[test]
fn requests_that_cross_the_eviction_of_their_connections_are_answered() {
    // 40 descriptors leave four permits for clients.
    let world = World::new(40);
    runtime().block_on(async {
        for odata in [false, true] {
            let proxy = Proxy::start(&world.setup).unwrap();
            let mut clients = vec![Client::served(&proxy, odata).await, Client::served(&proxy, odata).await];
            for _ in 0..2 {
                clients.push(Client::new(&proxy, odata).await);
            }
            // The silent ones count as such.
            tokio::time::sleep(BEFORE).await;
            proxy.signal("STOP").unwrap();
            for _ in 0..4 {
                clients.push(Client::new(&proxy, odata).await);
            }
            all_answered(&proxy, Duration::ZERO, clients, &format!("OData {odata}")).await;
            none_was_read_and_dropped(&proxy, &format!("OData {odata}"));
        }
    });
}

/// The first part of a request comes in time, and the rest when its limit is over.
#[test]
fn the_rest_of_a_request_that_crosses_its_limit_is_answered() {
    let world = World::new(1_024);
    runtime().block_on(async {
        let proxy = Proxy::start(&world.setup).unwrap();
        let query = wire::query(&ask("k").sql(&request_id()));
        let text =
            "GET /records('k') HTTP/1.1\r\nHost: t\r\nSkip-Class: monthly-report\r\nSkip-Tenant: acme\r\n\
                    Skip-Group: 1\r\nSkip-Wait: 14000\r\n\r\n";
        let cases = [
            (proxy.pg, [wire::startup(), query].concat(), UNFINISHED[0]),
            (proxy.odata.unwrap(), text.as_bytes().to_vec(), UNFINISHED[1]),
        ];
        for (to, request, limit) in cases {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let (first, rest) = request.split_at(request.len() - 20);
            stream.write_all(first).await.unwrap();
            tokio::time::sleep(limit - BEFORE).await;
            proxy.signal("STOP").unwrap();
            tokio::time::sleep(OVER).await;
            stream.write_all(rest).await.unwrap();
            proxy.signal("CONT").unwrap();
            let mut told = [0; 4_096];
            let mut all = Vec::new();
            let answered = |all: &[u8]| {
                let text = String::from_utf8_lossy(all).into_owned();
                text.contains("SELECT ") || text.contains("08P01") || text.contains("HTTP/1.1 ")
            };
            while !answered(&all) {
                let read = tokio::time::timeout(PATIENCE, stream.read(&mut told)).await.expect("an answer");
                let read = read.expect("no reset");
                assert!(read > 0, "closed behind {:?}", String::from_utf8_lossy(&all));
                all.extend(&told[..read]);
            }
        }
    });
}

/// A client that holds its body back is told to go on, and its request answered, though the process ends meanwhile.
#[test]
fn a_body_that_was_asked_for_is_answered_though_the_process_ends() {
    let world = World::new(1_024);
    runtime().block_on(async {
        let mut proxy = Proxy::start(&world.setup).unwrap();
        // Times of first sends are told in whole seconds, and one before the process's start proves nothing.
        tokio::time::sleep(Duration::from_millis(1_100)).await;
        let body = "{\"k\":\"k\",\"v\":\"AQ\"}";
        let head = format!(
            "POST /records HTTP/1.1\r\nHost: t\r\nSkip-Class: place-order\r\nSkip-Tenant: acme\r\nSkip-Group: 1\r\n\
             Repeatability-Request-ID: {}\r\nRepeatability-First-Sent: {}\r\nExpect: 100-continue\r\n\
             Content-Length: {}\r\n\r\n",
            request_id(),
            httpdate::fmt_http_date(std::time::SystemTime::now()),
            body.len()
        );
        let mut stream = TcpStream::connect(proxy.odata.unwrap()).await.unwrap();
        proxy.signal("TERM").unwrap();
        tokio::time::sleep(STILL_COMING - BEFORE).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut told = [0; 4_096];
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut told)).await.unwrap().unwrap();
        assert!(told[..read].starts_with(b"HTTP/1.1 100"), "{:?}", String::from_utf8_lossy(&told[..read]));
        tokio::time::sleep(OVER).await;
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut all = Vec::new();
        tokio::time::timeout(PATIENCE, stream.read_to_end(&mut all)).await.unwrap().unwrap();
        assert!(all.starts_with(b"HTTP/1.1 201"), "{:?}", String::from_utf8_lossy(&all));
        assert!(proxy.wait().unwrap().success());
    });
}

/// The members hang through the whole end. A request that comes then on a connection which is still open would wait for 14 s, and the
/// platform kills the process 3.7 s after it was told to end, as deadlines of over 3 s count as 3 s.
#[test]
fn what_is_asked_late_in_the_end_is_answered_before_the_kill() {
    const KILLED_AFTER: Duration = Duration::from_millis(3_700);
    const SLOW_MACHINE: Duration = Duration::from_secs(5);
    let world = World::new(1_024);
    runtime().block_on(async {
        for odata in [false, true] {
            let proxy = Proxy::start(&world.setup).unwrap();
            let mut client = Client::served(&proxy, odata).await;
            world.primary.set_behaviour(Behaviour::Hold);
            proxy.signal("TERM").unwrap();
            let told = Instant::now();
            // What is out keeps the connection open while the process ends; the late one is sent before its answer has come.
            let late = ask("late");
            client.sends(&ClientRequest { wait_ms: 2_000, ..ask("early") }).await;
            tokio::time::sleep(STILL_COMING + BEFORE).await;
            client.sends(&late).await;
            for what in ["early", "late"] {
                let answer = tokio::time::timeout(PATIENCE, client.hears()).await.expect("an answer");
                assert!(answer.is_ok(), "OData {odata}, {what}: {answer:?}");
            }
            assert!(told.elapsed() < KILLED_AFTER + SLOW_MACHINE, "OData {odata}: {:?}", told.elapsed());
            world.primary.set_behaviour(Behaviour::Answer);
        }
    });
}

/// Whoever stands in the listener's queue while one process hands over to the next is answered by one of them.
#[test]
fn a_full_queue_is_answered_when_another_process_takes_over() {
    let mut world = World::new(1_024);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    world.setup.listener = Some(Arc::new(listener));
    let shared = std::env::temp_dir().join(format!("linentrail-crossed-{}", std::process::id()));
    std::fs::create_dir_all(&shared).unwrap();
    world.setup.shared_folder = Some(shared.clone());
    runtime().block_on(async {
        let mut former = Proxy::start(&world.setup).unwrap();
        former.signal("STOP").unwrap();
        let mut asking = tokio::task::JoinSet::new();
        for n in 0..60 {
            let mut conn = PgClient::connect_without_startup(to).await.unwrap();
            let query = wire::query(&ask(&format!("k{n}")).sql(&request_id()));
            asking.spawn(async move { conn.request_with_startup(&query).await });
        }
        former.signal("TERM").unwrap();
        former.signal("CONT").unwrap();
        let next = Proxy::start(&world.setup).unwrap();
        let answers = tokio::time::timeout(PATIENCE, asking.join_all()).await.expect("answers");
        for answer in answers {
            assert!(matches!(answer, Ok(ClientAnswer::Served(_) | ClientAnswer::Refused(_))), "{answer:?}");
        }
        assert!(former.wait().unwrap().success());
        drop(next);
    });
    let _ = std::fs::remove_dir_all(shared);
}

/// Memory for messages is gone: a sound query is refused, and its connection goes on.
#[test]
fn a_query_that_finds_no_memory_is_refused_and_those_behind_it_are_answered() {
    let mut world = World::new(1_024);
    world.setup.config["limits"]["memory_mb"] = 16.into();
    runtime().block_on(async {
        let proxy = Proxy::start(&world.setup).unwrap();
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        // Each claims 120,000 bytes of the 2 MiB that there are, and brings no more.
        let mut holding = Vec::new();
        for _ in 0..20 {
            let mut holds = PgClient::connect(proxy.pg).await.unwrap();
            holds.send(&[b'Q', 0, 1, 0xd4, 0xc0]).await.unwrap();
            holding.push(holds);
        }
        let long = ClientRequest { value: Some(vec![7; 60_000]), class: "place-order", ..ask("long") };
        let queries: Vec<u8> =
            [&long, &ask("k")].iter().flat_map(|a| wire::query(&a.sql(&request_id()))).collect();
        client.send(&queries).await.unwrap();
        for (what, refused) in [("long", true), ("behind it", false)] {
            let told =
                tokio::time::timeout(PATIENCE, client.answer()).await.expect("an answer").expect("no end");
            assert_eq!(matches!(told, ClientAnswer::Refused(_)), refused, "{what}: {told:?}");
        }
        drop(holding);
    });
}
