//! The real program while its system calls fail as Linux documents (`crates/standins/shim/faults.c`): short reads and
//! writes, calls that fail for a moment, a wall clock that is stepped, a process that is held up.
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

/// Longer than anything here takes on a slow machine: only a failure waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

/// A folder for one test; it goes with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static MADE: AtomicUsize = AtomicUsize::new(0);
        let made = MADE.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linentrail-faults-{}-{made}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A primary, two replicas, and a proxy before them.
struct World {
    members: Vec<Member>,
    setup: Setup,
    shim: Shim,
    folder: Folder,
    registry: Registry,
}

impl World {
    fn new(calls: &[(CallFault, u32)]) -> Self {
        let group = Group::default();
        let capacity = Capacity::default();
        let members: Vec<Member> =
            [0, 5, 5].iter().map(|lag| Member::start(&group, *lag == 0, *lag, capacity)).collect();
        let list: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
        let registry = Registry::default();
        let discovery = registry.start(list.clone().into()).to_string();
        let folder = Folder::new();
        let shim = Shim::new(&folder.0, &folder.0, 7, calls).unwrap();
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: proxy::config(&discovery, &list, proxy::settings(), 1024, 192),
            environment: shim.environment(),
            ..Setup::default()
        };
        World { members, setup, shim, folder, registry }
    }

    fn start(&self) -> Proxy {
        Proxy::start(&self.setup).unwrap()
    }

    fn faults(&self) -> usize {
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

async fn answer(client: &mut PgClient, what: &str) {
    let told = tokio::time::timeout(PATIENCE, client.answer()).await;
    let told = told.unwrap_or_else(|_| panic!("{what}: no answer"));
    assert!(matches!(told, Ok(ClientAnswer::Served(_))), "{what}: {told:?}");
}

/// Clients that ask in turn, and such that send several queries at once; all must be served.
fn all_are_served(world: &World, proxy: &Proxy) {
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
                            answer(&mut client, &format!("client {n}, round {round}, request {at}")).await;
                        }
                    } else {
                        let queries: Vec<u8> =
                            asks.iter().flat_map(|ask| wire::query(&ask.sql(&request_id()))).collect();
                        client.send(&queries).await.unwrap();
                        for at in 0..asks.len() {
                            answer(&mut client, &format!("client {n}, round {round}, query {at} of 4")).await;
                        }
                    }
                }
            });
        }
        while let Some(done) = tasks.join_next().await {
            done.unwrap();
        }
    });
    assert!(world.faults() > 50, "only {} faults came", world.faults());
}

#[test]
fn short_reads_lose_no_request_and_no_answer() {
    for calls in [&[(CallFault::RecvShort, 5)][..], &[(CallFault::RecvCut, 1)]] {
        let world = World::new(calls);
        let proxy = world.start();
        world.shim.set_call_faults(true).unwrap();
        all_are_served(&world, &proxy);
    }
}

#[test]
fn short_writes_and_interrupted_waits_lose_nothing() {
    let world = World::new(&[(CallFault::SendShort, 3), (CallFault::WaitInterrupted, 5)]);
    let proxy = world.start();
    world.shim.set_call_faults(true).unwrap();
    all_are_served(&world, &proxy);
}

#[test]
fn calls_that_a_signal_interrupts_lose_nothing() {
    let world = World::new(&[(CallFault::CallInterrupted, 5)]);
    let proxy = world.start();
    world.shim.set_call_faults(true).unwrap();
    all_are_served(&world, &proxy);
}

#[test]
fn calls_that_find_no_memory_for_a_moment_lose_nothing() {
    let world = World::new(&[(CallFault::CallNoMemory, 10)]);
    let proxy = world.start();
    world.shim.set_call_faults(true).unwrap();
    all_are_served(&world, &proxy);
}

#[test]
fn a_start_outlasts_sockets_that_are_not_to_be_had_for_a_moment() {
    let world = World::new(&[(CallFault::SocketFails, 2)]);
    world.shim.set_call_faults(true).unwrap();
    let mut faults = 0;
    for seed in 0..6 {
        let shim = Shim::new(&world.folder.0, &world.folder.0, seed, &[(CallFault::SocketFails, 2)]).unwrap();
        shim.set_call_faults(true).unwrap();
        let setup = Setup { environment: shim.environment(), ..world.setup.clone() };
        let started = Proxy::start(&setup);
        assert!(started.is_ok(), "seed {seed}: {:?}", started.err());
        faults = world.faults();
    }
    assert!(faults > 0, "no call has failed");
}

/// The first calls of connect() fail, all of them for the name server: the members are not known yet.
#[test]
fn browsing_for_members_outlasts_connects_that_fail_for_a_moment() {
    let mut world = World::new(&[]);
    let names = DnsServer::default();
    for (n, member) in world.members.iter().enumerate() {
        names.add_instance(&format!("n{n}-0000000{n}"), member.address().port(), 4, true);
    }
    world.setup.config["known"]["instances"] = Vec::<String>::new().into();
    world.setup.browse = Some(names.start());
    let shim = Shim::new(&world.folder.0, &world.folder.0, 7, &[(CallFault::ConnectFails, 1)])
        .unwrap()
        .limit_faults(3);
    shim.set_call_faults(true).unwrap();
    world.setup.environment = shim.environment();
    let proxy = world.start();
    runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.send(&wire::query(&read("k").sql(&request_id()))).await.unwrap();
        answer(&mut client, "a read").await;
    });
    assert_eq!(world.faults(), 3);
    assert_eq!(proxy.counters().unwrap().get("list_failures").copied().unwrap_or_default(), 0);
}

#[test]
fn connections_accepted_by_the_machine_are_taken_at_the_end_though_accept_fails_for_a_moment() {
    const CLIENTS: usize = 16;
    let mut world = World::new(&[(CallFault::AcceptFails, 2)]);
    world.setup.accept_after_term = Some(Duration::from_millis(1));
    let proxy = world.start();
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
        world.shim.set_call_faults(true).unwrap();
        proxy.signal("CONT").unwrap();
        for (n, mut stream) in streams.into_iter().enumerate() {
            let mut all = Vec::new();
            let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut all);
            let read = tokio::time::timeout(PATIENCE, read).await.expect("an end");
            assert!(read.is_ok() && all.ends_with(b"Z\0\0\0\x05I"), "client {n} of {CLIENTS}: {read:?}");
            // A row stands between the welcome and the end.
            assert!(all.windows(7).any(|w| w == b"SELECT "), "client {n} of {CLIENTS} has no answer");
        }
    });
    assert!(world.faults() > 0, "no call has failed");
}

#[test]
fn an_output_that_takes_no_more_ends_no_proxy() {
    let world = World::new(&[]);
    let config = world.folder.0.join("config.json");
    std::fs::write(&config, world.setup.config.to_string()).unwrap();
    let mut child = Command::new(&world.setup.program)
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
            answer(&mut client, &format!("request {n}")).await;
        }
    });
    proxy::signal_all(&[child.id()], "TERM").unwrap();
    let status = child.wait().unwrap();
    drain.join().unwrap();
    assert!(status.success(), "{status}");
}

/// A client asks, and its request waits for a connection that the member does not welcome. The process is held up; the
/// client leaves, and then the member welcomes. Whichever of the two the process hears of first when it goes on, the
/// client has gone.
#[test]
fn nothing_begins_for_a_client_that_left_while_the_process_was_held_up() {
    for round in 0..8 {
        let world = World::new(&[]);
        let proxy = world.start();
        let primary = &world.members[0];
        let key = format!("k{round}");
        let client = stands_still_with_a_write_that_waits(&world, &proxy, &key);
        // The welcome is on its way first on half of the rounds.
        if round % 2 == 0 {
            primary.set_behaviour(Behaviour::Answer);
            std::thread::sleep(Duration::from_millis(30));
        }
        drop(client);
        std::thread::sleep(Duration::from_millis(30));
        primary.set_behaviour(Behaviour::Answer);
        std::thread::sleep(Duration::from_millis(150));
        proxy.signal("CONT").unwrap();
        wait_for("the client's leave", || proxy.counters().unwrap().get("left").is_some_and(|n| *n > 0));
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(
            primary.statement_count(&format!("write {key}")),
            0,
            "round {round}: sent for a client that has gone"
        );
    }
}

/// A write waits for a connection that no member welcomes, and the process is stopped; the write's client.
fn stands_still_with_a_write_that_waits(world: &World, proxy: &Proxy, key: &str) -> PgClient {
    world.members.iter().for_each(|m| m.set_behaviour(Behaviour::Shut));
    let client = runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.send(&wire::query(&write(key).sql(&request_id()))).await.unwrap();
        client
    });
    wait_for("a connection to the primary", || world.members[0].totals().2 > 0);
    std::thread::sleep(Duration::from_millis(20));
    proxy.signal("STOP").unwrap();
    client
}

fn wait_for(what: &str, mut true_now: impl FnMut() -> bool) {
    let began = Instant::now();
    while !true_now() {
        assert!(began.elapsed() < PATIENCE, "{what} does not come");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message of which a part has been read is the proxy's: its connection is not the one to close for others.
#[test]
fn a_client_in_the_middle_of_a_message_keeps_its_connection_when_others_lack_one() {
    let mut world = World::new(&[]);
    // 40 descriptors: 8 beyond the reserve, 4 of them for clients.
    world.setup.config["limits"]["sockets"] = 40.into();
    let proxy = world.start();
    runtime().block_on(async {
        let mut client = PgClient::connect(proxy.pg).await.unwrap();
        client.request(&write("k")).await.unwrap();
        let query = wire::query(&read("k").sql(&request_id()));
        let (first, rest) = query.split_at(query.len() / 2);
        client.send(first).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let others: Vec<TcpStream> = (0..12).filter_map(|_| TcpStream::connect(proxy.pg).ok()).collect();
        tokio::time::sleep(Duration::from_millis(800)).await;
        client.send(rest).await.expect("the connection stands");
        answer(&mut client, "the request sent in two pieces").await;
        drop(others);
    });
}

/// The wall clock of a machine is an hour off when its proxy starts: what members tell in times of theirs still means
/// what it does. Reads that may be 3 s old go to replicas that are 5 ms behind, and not all of them to the primary.
#[test]
fn a_process_that_starts_on_a_machine_whose_clock_is_off_uses_the_replicas() {
    const HOUR: i64 = 3_600_000_000;
    for step in [0, HOUR, -HOUR] {
        let world = World::new(&[]);
        world.shim.set_clock_step(step).unwrap();
        let proxy = world.start();
        runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.unwrap();
            for n in 0..60 {
                client.request(&write(&format!("w{n}"))).await.unwrap();
                let ask = ClientRequest { class: "yard-board", ..read(&format!("k{n}")) };
                client.send(&wire::query(&ask.sql(&request_id()))).await.unwrap();
                answer(&mut client, &format!("step {step}: read {n}")).await;
            }
        });
        let reads = |m: &Member| m.statements().iter().filter(|s| s.starts_with("read ")).count();
        let of_replicas: usize = world.members[1..].iter().map(reads).sum();
        assert!(of_replicas >= 40, "clock {step} us off: replicas got {of_replicas} reads of 60");
    }
}

/// A member that has just started can do a seventh of its work. Whatever the clock of the proxy's machine says, it gets
/// hardly a share of the reads.
#[test]
fn a_cold_member_is_cold_also_where_the_clock_is_off() {
    const HOUR: i64 = 3_600_000_000;
    for step in [0, HOUR, -HOUR] {
        let mut world = World::new(&[]);
        let known = &mut world.setup.config["known"]["instances"];
        known[1]["startedAtMs"] = linentrail_standins::now_ms().into();
        let discovery = Registry::default().start(known.clone());
        world.setup.config["discovery"] = discovery.to_string().into();
        // One of many: its share of each member is less than a request at a time.
        world.setup.config["settings"]["instances"] = 100.into();
        world.shim.set_clock_step(step).unwrap();
        let proxy = world.start();
        runtime().block_on(async {
            let mut client = PgClient::connect(proxy.pg).await.unwrap();
            for n in 0..4 {
                client.request(&write(&format!("w{n}"))).await.unwrap();
            }
            for n in 0..60 {
                client.send(&wire::query(&read(&format!("k{n}")).sql(&request_id()))).await.unwrap();
                answer(&mut client, &format!("step {step}: read {n}")).await;
            }
        });
        let reads = |m: &Member| m.statements().iter().filter(|s| s.starts_with("read ")).count();
        let cold = reads(&world.members[1]);
        assert!(cold < 20, "clock {step} us off: the cold member got {cold} reads of 60");
    }
}

/// A part of a request has been read when the process is told to end: the rest of it comes after connections have begun to
/// close, and it is answered by either front.
#[test]
fn a_request_that_has_begun_when_the_end_comes_is_answered() {
    let mut world = World::new(&[]);
    world.setup.odata = true;
    world.setup.accept_after_term = Some(Duration::from_millis(300));
    for odata in [false, true] {
        let proxy = world.start();
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
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(first).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        proxy.signal("TERM").unwrap();
        std::thread::sleep(Duration::from_millis(700));
        stream.write_all(rest).unwrap();
        let mut all = Vec::new();
        stream.read_to_end(&mut all).unwrap();
        let told = String::from_utf8_lossy(&all);
        assert!(told.contains(answer), "OData {odata}: {told:?}");
    }
}

/// The process stands still; meanwhile discovery announces the member as leaving, and the member welcomes the connection
/// that a write waits for. When the process goes on, both stand in its sockets: the list counts.
#[test]
fn nothing_begins_by_a_list_that_was_overruled_while_the_process_stood_still() {
    for round in 0..6 {
        let mut world = World::new(&[]);
        world.setup.config["settings"]["discovery"] = "subscribe".into();
        let proxy = world.start();
        wait_for("a watch", || world.registry.calls().watches >= 2);
        let primary = &world.members[0];
        let key = format!("k{round}");
        let _client = stands_still_with_a_write_that_waits(&world, &proxy, &key);
        if round % 2 == 0 {
            primary.set_behaviour(Behaviour::Answer);
            std::thread::sleep(Duration::from_millis(30));
        }
        world.registry.set_lifecycle(0, "leaving");
        std::thread::sleep(Duration::from_millis(100));
        primary.set_behaviour(Behaviour::Answer);
        std::thread::sleep(Duration::from_millis(500));
        proxy.signal("CONT").unwrap();
        let withheld = |counters: &std::collections::BTreeMap<String, u64>| {
            ["withdrawn", "withheld_withdrawn"].iter().any(|name| counters.get(*name).is_some_and(|n| *n > 0))
        };
        let given = || primary.statement_count(&format!("write {key}"));
        wait_for("what became of it", || given() > 0 || withheld(&proxy.counters().unwrap()));
        assert_eq!(given(), 0, "round {round}: sent to a member that leaves");
    }
}
