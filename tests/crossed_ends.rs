//! Requests that arrive while their connection is being closed, for each cause of a close and on both fronts.
//!
//! The program under test is stopped while the cause for a close becomes true and the request is sent, so that it
//! finds both when it is continued. Every request must be answered on its connection, and none may be read without
//! an answer.
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

/// Longer than anything takes on a slow machine; only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long before a limit of the fronts the program is stopped, and for how long, so that the limit passes
/// meanwhile.
const STOP_BEFORE_LIMIT: Duration = Duration::from_millis(300);
const STOPPED_FOR: Duration = Duration::from_millis(700);
/// The fronts' limits: on a connection without any request (PostgreSQL, OData), on an idle connection, and on an
/// incomplete message (PostgreSQL, OData).
const FIRST_REQUEST_LIMITS: [Duration; 2] = [Duration::from_millis(2_500), Duration::from_millis(4_000)];
const IDLE_LIMIT: Duration = Duration::from_millis(4_000);
const INCOMPLETE_MESSAGE_LIMITS: [Duration; 2] = [Duration::from_millis(2_400), Duration::from_millis(2_000)];
const SHUTDOWN_GRACE: Duration = Duration::from_millis(1_000);

struct Rig {
    primary: Member,
    setup: Setup,
}

impl Rig {
    fn new(sockets: u64) -> Self {
        let primary = Member::start(&Group::default(), true, 0, Capacity::default());
        let list = [entry(0, primary.address())];
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: proxy::config("127.0.0.1:9", &list, proxy::settings(), sockets, 192),
            odata: true,
            accept_after_term: Some(SHUTDOWN_GRACE),
            ..Setup::default()
        };
        Rig { primary, setup }
    }
}

fn ask(key: &str) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.into(), value: None, wait_ms: 14_000, after: None }
}

/// A client of either protocol.
enum Client {
    Pg { conn: PgClient, started: bool },
    Odata(ODataClient),
}

impl Client {
    /// Connects without sending anything.
    async fn new(proxy: &Proxy, odata: bool) -> Self {
        if odata {
            return Client::Odata(ODataClient::connect(proxy.odata.unwrap()).await.unwrap());
        }
        Client::Pg { conn: PgClient::connect_without_startup(proxy.pg).await.unwrap(), started: false }
    }

    /// Connects and has one request answered.
    async fn served(proxy: &Proxy, odata: bool) -> Self {
        let mut client = Client::new(proxy, odata).await;
        client.ask("first").await.expect("the first request is answered");
        client
    }

    /// Sends a request on a connection whose session has begun, without waiting for the answer.
    async fn send(&mut self, ask: &ClientRequest) {
        match self {
            Client::Pg { conn, .. } => conn.send(&wire::query(&ask.sql(&request_id()))).await.unwrap(),
            Client::Odata(conn) => conn.send(ask).await,
        }
    }

    /// Reads the next answer.
    async fn answer(&mut self) -> Result<ClientAnswer> {
        match self {
            Client::Pg { conn, .. } => conn.answer().await,
            Client::Odata(conn) => conn.answer().await,
        }
    }

    async fn ask(&mut self, key: &str) -> Result<ClientAnswer> {
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
        tokio::time::timeout(TEST_TIMEOUT, answer).await.expect("an answer or an end")
    }
}

/// Stops the program, waits for `pause`, sends a request on each connection, continues the program and expects an
/// answer to each request.
async fn assert_all_answered(proxy: &Proxy, pause: Duration, clients: Vec<Client>, what: &str) {
    proxy.signal("STOP").unwrap();
    tokio::time::sleep(pause).await;
    let mut asking = tokio::task::JoinSet::new();
    for (n, mut client) in clients.into_iter().enumerate() {
        asking.spawn(async move {
            let answer = client.ask(&format!("k{n}")).await;
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

/// Checks that no request was read and then left unanswered. No client disconnects in these tests.
fn assert_no_unanswered_request(proxy: &Proxy, what: &str) {
    let counters = proxy.counters().unwrap();
    let counter = |name: &str| counters.get(name).copied().unwrap_or_default();
    assert_eq!(
        (counter("pg_unanswered"), counter("closed_dropped"), counter("left")),
        (0, 0, 0),
        "{what}: {counters:?}"
    );
}

#[test]
fn a_request_during_the_close_of_an_unused_or_idle_connection_is_answered() {
    let rig = Rig::new(1_024);
    runtime().block_on(async {
        for (odata, silent) in [false, true].into_iter().zip(FIRST_REQUEST_LIMITS) {
            let proxy = Proxy::start(&rig.setup).unwrap();
            for (served, limit) in [(false, silent), (true, IDLE_LIMIT)] {
                let mut clients = Vec::new();
                for _ in 0..8 {
                    clients.push(match served {
                        true => Client::served(&proxy, odata).await,
                        false => Client::new(&proxy, odata).await,
                    });
                }
                tokio::time::sleep(limit - STOP_BEFORE_LIMIT).await;
                let what = format!("OData {odata}, served before {served}");
                assert_all_answered(&proxy, STOPPED_FOR, clients, &what).await;
                assert_no_unanswered_request(&proxy, &what);
            }
        }
    });
}

#[test]
fn requests_during_process_shutdown_are_answered() {
    let rig = Rig::new(1_024);
    runtime().block_on(async {
        for odata in [false, true] {
            let mut proxy = Proxy::start(&rig.setup).unwrap();
            let mut clients = Vec::new();
            for served in [false, true, false, true, false, true] {
                clients.push(match served {
                    true => Client::served(&proxy, odata).await,
                    false => Client::new(&proxy, odata).await,
                });
            }
            proxy.signal("TERM").unwrap();
            tokio::time::sleep(SHUTDOWN_GRACE - STOP_BEFORE_LIMIT).await;
            assert_all_answered(&proxy, STOPPED_FOR, clients, &format!("OData {odata}")).await;
            assert!(proxy.wait().unwrap().success());
        }
    });
}

#[test]
fn requests_during_the_eviction_of_their_connections_are_answered() {
    // 40 descriptors leave four permits for clients.
    let rig = Rig::new(40);
    runtime().block_on(async {
        for odata in [false, true] {
            let proxy = Proxy::start(&rig.setup).unwrap();
            let mut clients = vec![Client::served(&proxy, odata).await, Client::served(&proxy, odata).await];
            for _ in 0..2 {
                clients.push(Client::new(&proxy, odata).await);
            }
            // By now the connections without a request are eligible for eviction.
            tokio::time::sleep(STOP_BEFORE_LIMIT).await;
            proxy.signal("STOP").unwrap();
            for _ in 0..4 {
                clients.push(Client::new(&proxy, odata).await);
            }
            assert_all_answered(&proxy, Duration::ZERO, clients, &format!("OData {odata}")).await;
            assert_no_unanswered_request(&proxy, &format!("OData {odata}"));
        }
    });
}

/// The first part of a request arrives in time, and the rest when its time limit has passed.
#[test]
fn a_request_whose_rest_arrives_as_its_time_limit_passes_is_answered() {
    let rig = Rig::new(1_024);
    runtime().block_on(async {
        let proxy = Proxy::start(&rig.setup).unwrap();
        let query = wire::query(&ask("k").sql(&request_id()));
        let text =
            "GET /records('k') HTTP/1.1\r\nHost: t\r\nSkip-Class: monthly-report\r\nSkip-Tenant: acme\r\n\
                    Skip-Group: 1\r\nSkip-Wait: 14000\r\n\r\n";
        let cases = [
            (proxy.pg, [wire::startup(), query].concat(), INCOMPLETE_MESSAGE_LIMITS[0]),
            (proxy.odata.unwrap(), text.as_bytes().to_vec(), INCOMPLETE_MESSAGE_LIMITS[1]),
        ];
        for (to, request, limit) in cases {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let (first, rest) = request.split_at(request.len() - 20);
            stream.write_all(first).await.unwrap();
            tokio::time::sleep(limit - STOP_BEFORE_LIMIT).await;
            proxy.signal("STOP").unwrap();
            tokio::time::sleep(STOPPED_FOR).await;
            stream.write_all(rest).await.unwrap();
            proxy.signal("CONT").unwrap();
            let mut chunk = [0; 4_096];
            let mut all = Vec::new();
            let answered = |all: &[u8]| {
                let text = String::from_utf8_lossy(all).into_owned();
                text.contains("SELECT ") || text.contains("08P01") || text.contains("HTTP/1.1 ")
            };
            while !answered(&all) {
                let read =
                    tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut chunk)).await.expect("an answer");
                let read = read.expect("no reset");
                assert!(read > 0, "closed behind {:?}", String::from_utf8_lossy(&all));
                all.extend(&chunk[..read]);
            }
        }
    });
}

/// A client that waits for `100 Continue` before it sends its body is told to continue, and its request is
/// answered, though the process is ending.
#[test]
fn a_body_sent_after_100_continue_is_answered_though_the_process_ends() {
    let rig = Rig::new(1_024);
    runtime().block_on(async {
        let mut proxy = Proxy::start(&rig.setup).unwrap();
        // The time of a first send has a resolution of seconds, and one before the process's start is no proof that
        // the request has not run.
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
        tokio::time::sleep(SHUTDOWN_GRACE - STOP_BEFORE_LIMIT).await;
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut chunk = [0; 4_096];
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut chunk)).await.unwrap().unwrap();
        assert!(chunk[..read].starts_with(b"HTTP/1.1 100"), "{:?}", String::from_utf8_lossy(&chunk[..read]));
        tokio::time::sleep(STOPPED_FOR).await;
        stream.write_all(body.as_bytes()).await.unwrap();
        let mut all = Vec::new();
        tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut all)).await.unwrap().unwrap();
        assert!(all.starts_with(b"HTTP/1.1 201"), "{:?}", String::from_utf8_lossy(&all));
        assert!(proxy.wait().unwrap().success());
    });
}

/// The members do not answer during the whole shutdown. A late request on a connection that is still open would
/// wait for 14 s, but the platform kills the process 3.7 s after asking it to stop, as deadlines of over 3 s count
/// as 3 s.
#[test]
fn late_requests_during_shutdown_are_answered_before_the_kill() {
    const KILL_DELAY: Duration = Duration::from_millis(3_700);
    const SLOW_MACHINE_MARGIN: Duration = Duration::from_secs(5);
    let rig = Rig::new(1_024);
    runtime().block_on(async {
        for odata in [false, true] {
            let proxy = Proxy::start(&rig.setup).unwrap();
            let mut client = Client::served(&proxy, odata).await;
            rig.primary.set_behaviour(Behaviour::Hold);
            proxy.signal("TERM").unwrap();
            let asked_to_stop = Instant::now();
            // The open request keeps the connection open during shutdown; the late one is sent before its answer
            // has arrived.
            let late = ask("late");
            client.send(&ClientRequest { wait_ms: 2_000, ..ask("early") }).await;
            tokio::time::sleep(SHUTDOWN_GRACE + STOP_BEFORE_LIMIT).await;
            client.send(&late).await;
            for what in ["early", "late"] {
                let answer = tokio::time::timeout(TEST_TIMEOUT, client.answer()).await.expect("an answer");
                assert!(answer.is_ok(), "OData {odata}, {what}: {answer:?}");
            }
            assert!(
                asked_to_stop.elapsed() < KILL_DELAY + SLOW_MACHINE_MARGIN,
                "OData {odata}: {:?}",
                asked_to_stop.elapsed()
            );
            rig.primary.set_behaviour(Behaviour::Answer);
        }
    });
}

/// Clients in the listen backlog during a handover are answered by one of the two processes.
#[test]
fn clients_in_a_full_backlog_are_answered_during_a_handover() {
    let mut rig = Rig::new(1_024);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    rig.setup.listener = Some(Arc::new(listener));
    let shared = std::env::temp_dir().join(format!("linentrail-crossed-{}", std::process::id()));
    std::fs::create_dir_all(&shared).unwrap();
    rig.setup.shared_folder = Some(shared.clone());
    runtime().block_on(async {
        let mut former = Proxy::start(&rig.setup).unwrap();
        former.signal("STOP").unwrap();
        let mut asking = tokio::task::JoinSet::new();
        for n in 0..60 {
            let mut conn = PgClient::connect_without_startup(to).await.unwrap();
            let query = wire::query(&ask(&format!("k{n}")).sql(&request_id()));
            asking.spawn(async move { conn.request_with_startup(&query).await });
        }
        former.signal("TERM").unwrap();
        former.signal("CONT").unwrap();
        let next = Proxy::start(&rig.setup).unwrap();
        let answers = tokio::time::timeout(TEST_TIMEOUT, asking.join_all()).await.expect("answers");
        for answer in answers {
            assert!(matches!(answer, Ok(ClientAnswer::Served(_) | ClientAnswer::Refused(_))), "{answer:?}");
        }
        assert!(former.wait().unwrap().success());
        drop(next);
    });
    let _ = std::fs::remove_dir_all(shared);
}

/// When the memory for messages is used up, a valid query is refused and its connection stays usable.
#[test]
fn a_query_without_memory_is_refused_and_later_ones_are_answered() {
    let mut rig = Rig::new(1_024);
    rig.setup.config["limits"]["memory_mb"] = 16.into();
    runtime().block_on(async {
        let proxy = Proxy::start(&rig.setup).unwrap();
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        // Each reserves 120,000 of the 2 MiB available and sends nothing more.
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
            let answer = tokio::time::timeout(TEST_TIMEOUT, client.answer())
                .await
                .expect("an answer")
                .expect("no end");
            assert_eq!(matches!(answer, ClientAnswer::Refused(_)), refused, "{what}: {answer:?}");
        }
        drop(holding);
    });
}
