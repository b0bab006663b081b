//! The real program under system call faults that Linux documents (injected by `crates/standins/shim/faults.c`):
//! short reads and writes, transient errors, a wrong wall clock, and a process that stalls.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, PgClient};
use linentrail_standins::dns::DnsServer;
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::{entry, Registry};
use linentrail_standins::shim::{CallFault, Shim};
use linentrail_standins::{runtime, wire};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Longer than any step here takes on a slow machine: only a failure waits this long.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// A temporary folder of one test, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linentrail-faults-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A primary, two replicas, a discovery registry, and the setup of a proxy for them whose system calls can fail.
struct Fixture {
    members: Vec<Member>,
    setup: Setup,
    shim: Shim,
    folder: TempFolder,
    registry: Registry,
}

impl Fixture {
    fn new(calls: &[(CallFault, u32)]) -> Self {
        let group = Group::default();
        let capacity = Capacity::default();
        let members: Vec<Member> =
            [0, 5, 5].iter().map(|lag| Member::start(&group, *lag == 0, *lag, capacity)).collect();
        let list: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
        let registry = Registry::default();
        let discovery = registry.start(list.clone().into()).to_string();
        let folder = TempFolder::new();
        let shim = Shim::new(&folder.0, &folder.0, 7, calls).unwrap();
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: proxy::config(&discovery, &list, proxy::settings(), 1024, 192),
            environment: shim.environment(),
            ..Setup::default()
        };
        Fixture { members, setup, shim, folder, registry }
    }

    fn start(&self) -> Proxy {
        Proxy::start(&self.setup).unwrap()
    }

    /// Number of system calls that the shim has made fail.
    fn fault_count(&self) -> usize {
        let text = std::fs::read_to_string(self.folder.0.join("fault-log")).unwrap_or_default();
        text.lines().count()
    }
}

fn read(key: &str) -> ClientRequest {
    ClientRequest { class: "monthly-report", key: key.into(), value: None, wait_ms: 15_000, after: None }
}

fn write(key: &str) -> ClientRequest {
    ClientRequest {
        class: "place-order",
        key: key.into(),
        value: Some(vec![1; 40]),
        wait_ms: 15_000,
        after: None,
    }
}

async fn expect_served(client: &mut PgClient, what: &str) {
    let answer = tokio::time::timeout(STEP_TIMEOUT, client.answer()).await;
    let answer = answer.unwrap_or_else(|_| panic!("{what}: no answer"));
    assert!(matches!(answer, Ok(ClientAnswer::Served(_))), "{what}: {answer:?}");
}

/// Checks that all requests are served, of clients that send one query at a time and of clients that pipeline four;
/// and that system calls did fail meanwhile.
fn assert_all_served(fixture: &Fixture, proxy: &Proxy) {
    let to = proxy.pg;
    runtime().block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for n in 0..6 {
            tasks.spawn(async move {
                let mut client = PgClient::connect(to).await.unwrap();
                for round in 0..25 {
                    let key = format!("k{n}-{round}");
                    let asks = [write(&key), read(&key), read("none"), read(&key)];
                    if n % 2 == 0 {
                        for (at, ask) in asks.iter().enumerate() {
                            client.send(&wire::query(&ask.sql(&request_id()))).await.unwrap();
                            expect_served(&mut client, &format!("client {n}, round {round}, request {at}"))
                                .await;
                        }
                    } else {
                        let queries: Vec<u8> =
                            asks.iter().flat_map(|ask| wire::query(&ask.sql(&request_id()))).collect();
                        client.send(&queries).await.unwrap();
                        for at in 0..asks.len() {
                            expect_served(
                                &mut client,
                                &format!("client {n}, round {round}, query {at} of 4"),
                            )
                            .await;
                        }
                    }
                }
            });
        }
        while let Some(done) = tasks.join_next().await {
            done.unwrap();
        }
    });
    assert!(fixture.fault_count() > 50, "only {} system calls failed", fixture.fault_count());
}

#[test]
fn short_reads_lose_no_request_and_no_answer() {
    for calls in [&[(CallFault::RecvShort, 5)][..], &[(CallFault::RecvCut, 1)]] {
        let fixture = Fixture::new(calls);
        let proxy = fixture.start();
        fixture.shim.set_call_faults(true).unwrap();
        assert_all_served(&fixture, &proxy);
    }
}

#[test]
fn short_writes_and_interrupted_waits_lose_nothing() {
    let fixture = Fixture::new(&[(CallFault::SendShort, 3), (CallFault::WaitInterrupted, 5)]);
    let proxy = fixture.start();
    fixture.shim.set_call_faults(true).unwrap();
    assert_all_served(&fixture, &proxy);
}

#[test]
fn calls_interrupted_by_signals_lose_nothing() {
    let fixture = Fixture::new(&[(CallFault::CallInterrupted, 5)]);
    let proxy = fixture.start();
    fixture.shim.set_call_faults(true).unwrap();
    assert_all_served(&fixture, &proxy);
}

#[test]
fn calls_that_transiently_run_out_of_memory_lose_nothing() {
    let fixture = Fixture::new(&[(CallFault::CallNoMemory, 10)]);
    let proxy = fixture.start();
    fixture.shim.set_call_faults(true).unwrap();
    assert_all_served(&fixture, &proxy);
}

#[test]
fn startup_survives_transient_failures_to_create_sockets() {
    let fixture = Fixture::new(&[(CallFault::SocketFails, 2)]);
    fixture.shim.set_call_faults(true).unwrap();
    let mut faults = 0;
    for seed in 0..6 {
        let shim =
            Shim::new(&fixture.folder.0, &fixture.folder.0, seed, &[(CallFault::SocketFails, 2)]).unwrap();
        shim.set_call_faults(true).unwrap();
        let setup = Setup { environment: shim.environment(), ..fixture.setup.clone() };
        let started = Proxy::start(&setup);
        assert!(started.is_ok(), "seed {seed}: {:?}", started.err());
        faults = fixture.fault_count();
    }
    assert!(faults > 0, "no call has failed");
}

/// The first three connect() calls fail. All of them go to the name server, since no member is known yet.
#[test]
fn browsing_for_members_survives_transient_connect_failures() {
    let mut fixture = Fixture::new(&[]);
    let names = DnsServer::default();
    for (n, member) in fixture.members.iter().enumerate() {
        names.add_instance(&format!("n{n}-0000000{n}"), member.address().port(), 4, true);
    }
    fixture.setup.config["known"]["instances"] = Vec::<String>::new().into();
    fixture.setup.browse = Some(names.start());
    let shim = Shim::new(&fixture.folder.0, &fixture.folder.0, 7, &[(CallFault::ConnectFails, 1)])
        .unwrap()
        .limit_faults(3);
    shim.set_call_faults(true).unwrap();
    fixture.setup.environment = shim.environment();
    let proxy = fixture.start();
    runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.send(&wire::query(&read("k").sql(&request_id()))).await.unwrap();
        expect_served(&mut client, "a read").await;
    });
    assert_eq!(fixture.fault_count(), 3);
    assert_eq!(proxy.counters().unwrap().get("list_failures").copied().unwrap_or_default(), 0);
}

#[test]
fn connections_queued_by_the_kernel_are_served_at_shutdown_despite_transient_accept_failures() {
    const CLIENTS: usize = 16;
    let mut fixture = Fixture::new(&[(CallFault::AcceptFails, 2)]);
    fixture.setup.accept_after_term = Some(Duration::from_millis(1));
    let proxy = fixture.start();
    proxy.signal("STOP").unwrap();
    runtime().block_on(async {
        let mut streams = Vec::new();
        for n in 0..CLIENTS {
            let mut stream = tokio::net::TcpStream::connect(proxy.pg).await.unwrap();
            let query = wire::query(&read(&format!("k{n}")).sql(&request_id()));
            let both = [wire::startup(), query].concat();
            tokio::io::AsyncWriteExt::write_all(&mut stream, &both).await.unwrap();
            streams.push(stream);
        }
        proxy.signal("TERM").unwrap();
        fixture.shim.set_call_faults(true).unwrap();
        proxy.signal("CONT").unwrap();
        for (n, mut stream) in streams.into_iter().enumerate() {
            let mut all = Vec::new();
            let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut all);
            let read = tokio::time::timeout(STEP_TIMEOUT, read).await.expect("an end");
            assert!(read.is_ok() && all.ends_with(b"Z\0\0\0\x05I"), "client {n} of {CLIENTS}: {read:?}");
            // The answer contains a row between the startup reply and the final ReadyForQuery.
            assert!(all.windows(7).any(|w| w == b"SELECT "), "client {n} of {CLIENTS} has no answer");
        }
    });
    assert!(fixture.fault_count() > 0, "no call has failed");
}

#[test]
fn a_full_standard_output_does_not_end_the_proxy() {
    let fixture = Fixture::new(&[]);
    let config = fixture.folder.0.join("config.json");
    std::fs::write(&config, fixture.setup.config.to_string()).unwrap();
    let mut child = Command::new(&fixture.setup.program)
        .env("BALANCER_CONFIG", &config)
        .env("BALANCER_NAME", "t")
        .stdout(File::options().write(true).open("/dev/full").unwrap())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    let line = lines.find(|line| line.contains("serving clients at")).expect("it serves");
    let address: std::net::SocketAddr = line.rsplit(' ').next().unwrap().parse().unwrap();
    let drain = std::thread::spawn(move || lines.for_each(drop));
    proxy::signal_all(&[child.id()], "USR1").unwrap();
    runtime().block_on(async {
        let mut client = PgClient::connect(address).await.expect("it takes clients");
        for n in 0..20 {
            client.send(&wire::query(&read("k").sql(&request_id()))).await.unwrap();
            expect_served(&mut client, &format!("request {n}")).await;
        }
    });
    proxy::signal_all(&[child.id()], "TERM").unwrap();
    let status = child.wait().unwrap();
    drain.join().unwrap();
    assert!(status.success(), "{status}");
}

/// A request waits for a member connection whose startup the member does not complete. The process is stopped; the
/// client disconnects, and the member completes the startup, before or after the disconnect. Whichever event the
/// process reads first when it resumes, it must not send the request, since its client has gone.
#[test]
fn no_attempt_starts_for_a_client_that_disconnected_during_a_stall() {
    for round in 0..8 {
        let fixture = Fixture::new(&[]);
        let proxy = fixture.start();
        let primary = &fixture.members[0];
        let key = format!("k{round}");
        let client = stop_with_a_waiting_write(&fixture, &proxy, &key);
        // In half of the rounds the member completes the startup before the client disconnects.
        if round % 2 == 0 {
            primary.set_behaviour(Behaviour::Answer);
            std::thread::sleep(Duration::from_millis(30));
        }
        drop(client);
        std::thread::sleep(Duration::from_millis(30));
        primary.set_behaviour(Behaviour::Answer);
        std::thread::sleep(Duration::from_millis(150));
        proxy.signal("CONT").unwrap();
        wait_for("the client's disconnect", || proxy.counters().unwrap().get("left").is_some_and(|n| *n > 0));
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(
            primary.statement_count(&format!("write {key}")),
            0,
            "round {round}: sent for a client that has disconnected"
        );
    }
}

/// Sends a write that waits for a connection, as no member completes its startup, then stops the process. Returns the
/// client of the write.
fn stop_with_a_waiting_write(fixture: &Fixture, proxy: &Proxy, key: &str) -> PgClient {
    fixture.members.iter().for_each(|m| m.set_behaviour(Behaviour::Shut));
    let client = runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.send(&wire::query(&write(key).sql(&request_id()))).await.unwrap();
        client
    });
    wait_for("a connection to the primary", || fixture.members[0].totals().2 > 0);
    std::thread::sleep(Duration::from_millis(20));
    proxy.signal("STOP").unwrap();
    client
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < STEP_TIMEOUT, "{what}: not seen in time");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The proxy has read a part of a message: it must not close that connection to free a descriptor for other clients.
#[test]
fn a_client_within_a_message_keeps_its_connection_when_descriptors_run_out() {
    let mut fixture = Fixture::new(&[]);
    // 40 descriptors leave 8 beyond the reserve; 4 of these are for clients.
    fixture.setup.config["limits"]["sockets"] = 40.into();
    let proxy = fixture.start();
    runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.request(&write("k")).await.unwrap();
        let query = wire::query(&read("k").sql(&request_id()));
        let (first, rest) = query.split_at(query.len() / 2);
        client.send(first).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let others: Vec<TcpStream> = (0..12).filter_map(|_| TcpStream::connect(proxy.pg).ok()).collect();
        tokio::time::sleep(Duration::from_millis(800)).await;
        client.send(rest).await.expect("the connection is still open");
        expect_served(&mut client, "the request sent in two pieces").await;
        drop(others);
    });
}

/// The wall clock of the proxy's machine is an hour off at startup. The proxy must still read the timestamps of
/// members correctly: reads that may be 3 s stale go to replicas that lag by 5 ms, and not all of them to the
/// primary.
#[test]
fn a_process_started_with_a_wrong_wall_clock_uses_the_replicas() {
    const HOUR: i64 = 3_600_000_000;
    for step in [0, HOUR, -HOUR] {
        let fixture = Fixture::new(&[]);
        fixture.shim.set_clock_step(step).unwrap();
        let proxy = fixture.start();
        runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.unwrap();
            for n in 0..60 {
                client.request(&write(&format!("w{n}"))).await.unwrap();
                let ask = ClientRequest { class: "yard-board", ..read(&format!("k{n}")) };
                client.send(&wire::query(&ask.sql(&request_id()))).await.unwrap();
                expect_served(&mut client, &format!("step {step}: read {n}")).await;
            }
        });
        let reads = |m: &Member| m.statements().iter().filter(|s| s.starts_with("read ")).count();
        let replica_reads: usize = fixture.members[1..].iter().map(reads).sum();
        assert!(replica_reads >= 40, "clock {step} us off: replicas got {replica_reads} reads of 60");
    }
}

/// A member that has just started has a seventh of its full capacity. It must get only a small share of the reads,
/// whatever the clock of the proxy's machine says.
#[test]
fn a_member_is_slow_started_even_with_a_wrong_wall_clock() {
    const HOUR: i64 = 3_600_000_000;
    for step in [0, HOUR, -HOUR] {
        let mut fixture = Fixture::new(&[]);
        let known = &mut fixture.setup.config["known"]["instances"];
        known[1]["startedAtMs"] = linentrail_standins::now_ms().into();
        let discovery = Registry::default().start(known.clone());
        fixture.setup.config["discovery"] = discovery.to_string().into();
        // The proxy is one of 100: its share of each member's capacity is less than one concurrent request.
        fixture.setup.config["settings"]["instances"] = 100.into();
        fixture.shim.set_clock_step(step).unwrap();
        let proxy = fixture.start();
        runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.unwrap();
            for n in 0..4 {
                client.request(&write(&format!("w{n}"))).await.unwrap();
            }
            for n in 0..60 {
                client.send(&wire::query(&read(&format!("k{n}")).sql(&request_id()))).await.unwrap();
                expect_served(&mut client, &format!("step {step}: read {n}")).await;
            }
        });
        let reads = |m: &Member| m.statements().iter().filter(|s| s.starts_with("read ")).count();
        let slow_started = reads(&fixture.members[1]);
        assert!(slow_started < 20, "clock {step} us off: the new member got {slow_started} reads of 60");
    }
}

/// The process has read a part of a request when its shutdown begins, and the rest arrives after connections have
/// begun to close: either front must answer the request.
#[test]
fn a_request_partly_read_at_shutdown_is_answered() {
    let mut fixture = Fixture::new(&[]);
    fixture.setup.odata = true;
    fixture.setup.accept_after_term = Some(Duration::from_millis(300));
    for odata in [false, true] {
        let proxy = fixture.start();
        let (to, whole, answer) = if odata {
            let head = "GET /records('k') HTTP/1.1\r\nHost: x\r\nSkip-Class: monthly-report\r\n";
            let rest = "Skip-Tenant: acme\r\nSkip-Group: 1\r\n\r\n";
            (proxy.odata.unwrap(), [head, rest].concat().into_bytes(), "HTTP/1.1 200")
        } else {
            let query = wire::query(&read("k").sql(&request_id()));
            (proxy.pg, [wire::startup(), query].concat(), "SELECT ")
        };
        let (first, rest) = whole.split_at(whole.len() - 30);
        let mut stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
        stream.write_all(first).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        proxy.signal("TERM").unwrap();
        std::thread::sleep(Duration::from_millis(700));
        stream.write_all(rest).unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).unwrap();
        let received = String::from_utf8_lossy(&all);
        assert!(received.contains(answer), "OData {odata}: {received:?}");
    }
}

/// During a stall discovery announces the member as leaving, and the member completes the startup of the connection
/// that a write waits for. When the process resumes, both are in its socket buffers: it must apply the new member
/// list first.
#[test]
fn no_attempt_starts_by_a_member_list_that_was_replaced_during_a_stall() {
    for round in 0..6 {
        let mut fixture = Fixture::new(&[]);
        fixture.setup.config["settings"]["discovery"] = "subscribe".into();
        let proxy = fixture.start();
        wait_for("a watch", || fixture.registry.calls().watches >= 2);
        let primary = &fixture.members[0];
        let key = format!("k{round}");
        let _client = stop_with_a_waiting_write(&fixture, &proxy, &key);
        if round % 2 == 0 {
            primary.set_behaviour(Behaviour::Answer);
            std::thread::sleep(Duration::from_millis(30));
        }
        fixture.registry.set_lifecycle(0, "leaving");
        std::thread::sleep(Duration::from_millis(100));
        primary.set_behaviour(Behaviour::Answer);
        std::thread::sleep(Duration::from_millis(500));
        proxy.signal("CONT").unwrap();
        let withheld = |counters: &std::collections::BTreeMap<String, u64>| {
            ["withdrawn", "withheld_withdrawn"].iter().any(|name| counters.get(*name).is_some_and(|n| *n > 0))
        };
        let sent = || primary.statement_count(&format!("write {key}"));
        wait_for("the outcome of the write", || sent() > 0 || withheld(&proxy.counters().unwrap()));
        assert_eq!(sent(), 0, "round {round}: sent to a member that leaves");
    }
}
