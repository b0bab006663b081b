//! Clients that connect while the real program starts: their connections are accepted from the first moment, and each
//! request gets a final answer, however long the rest of the startup takes.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest, ODataClient, PgClient};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, ProxyProcess, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::{runtime, wire};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A timeout that is longer than any step takes on a slow machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const PORT: u16 = 6_543;
const CONSOLE_PORT: u16 = 6_544;
const ODATA_PORT: u16 = 6_545;
const AGREEMENT_PORT: u16 = 6_546;

/// A loopback address that no other test uses, so that the ports are known before the proxy listens on them.
fn unique_address() -> Ipv4Addr {
    static USED: AtomicU32 = AtomicU32::new(0);
    let used = USED.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = (std::process::id() * 8 + used).to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, middle, low)
}

/// A primary and the settings of a proxy whose addresses are known before it starts.
struct World {
    primary: Member,
    address: Ipv4Addr,
    setup: Setup,
}

impl World {
    fn new() -> Self {
        let primary = Member::start(&Group::default(), true, 0, Capacity::default());
        let list = [entry(0, primary.address())];
        let address = unique_address();
        let mut config = proxy::config("127.0.0.1:9", &list, proxy::settings(), 1024, 192);
        config["listen"] = format!("{address}:{PORT}").into();
        let program = env!("CARGO_BIN_EXE_linentrail").into();
        World { primary, address, setup: Setup { program, config, ..Setup::default() } }
    }

    fn client_address(&self) -> SocketAddr {
        (self.address, PORT).into()
    }

    /// Occupies the console's address, so that startup cannot end before the returned listener is dropped.
    fn occupy_console(&mut self) -> TcpListener {
        let console = SocketAddr::from((self.address, CONSOLE_PORT));
        self.setup.config["console"] = console.to_string().into();
        TcpListener::bind(console).unwrap()
    }
}

/// Retries to connect until the proxy listens at the address.
fn connect(to: SocketAddr, launched: &mut ProxyProcess) -> TcpStream {
    let started_at = Instant::now();
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => {
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                return stream;
            }
            Err(e) => assert_eq!(e.kind(), ErrorKind::ConnectionRefused, "{e}"),
        }
        assert!(!launched.ended(), "the program ended before it accepted a connection");
        assert!(started_at.elapsed() < TIMEOUT / 4, "the program does not listen at {to} during startup");
        thread::sleep(Duration::from_millis(1));
    }
}

fn booking(key: &str) -> ClientRequest {
    ClientRequest {
        class: "place-order",
        key: key.into(),
        value: Some(vec![7]),
        wait_ms: 15_000,
        after: None,
    }
}

/// Sends the startup message and a statement in one write, as clients may.
fn send_booking(stream: &mut TcpStream, key: &str) {
    let query = wire::query(&booking(key).sql(&request_id()));
    stream.write_all(&[wire::startup(), query].concat()).unwrap();
}

/// Reads the final answer on a connection: a row, or an error with its SQLSTATE.
fn read_answer(stream: &mut TcpStream) -> ClientAnswer {
    loop {
        let (tag, body) = wire::read(stream, true).expect("a request that was read gets an answer");
        match tag {
            b'D' => return ClientAnswer::Served(body[6..].to_vec()),
            b'E' => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let code = text.split('\0').find_map(|field| field.strip_prefix('C')).unwrap_or_default();
                return match code {
                    "53300" | "57P03" => ClientAnswer::Refused(None),
                    other => ClientAnswer::Failed(other.to_string()),
                };
            }
            _ => {}
        }
    }
}

/// Creates a named pipe in place of the operators' file: startup blocks until the test writes to it.
fn create_pipe(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("linentrail-start-{name}-{}.hcl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

fn release_pipe(path: &Path) {
    std::fs::write(path, "").unwrap();
    std::fs::remove_file(path).unwrap();
}

#[test]
fn clients_connect_before_startup_has_read_its_files() {
    let mut world = World::new();
    let operators = create_pipe("files");
    world.setup.environment = vec![("LINENTRAIL_FILE".into(), operators.to_string_lossy().into())];
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.client_address(), &mut launched);
    send_booking(&mut client, "early");
    release_pipe(&operators);
    let answer = read_answer(&mut client);
    assert!(matches!(answer, ClientAnswer::Served(_) | ClientAnswer::Refused(_)), "{answer:?}");
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    send_booking(&mut client, "later");
    assert!(matches!(read_answer(&mut client), ClientAnswer::Served(_)));
}

#[test]
fn a_client_is_refused_during_a_long_startup_and_served_afterwards() {
    let mut world = World::new();
    let occupied = world.occupy_console();
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.client_address(), &mut launched);
    send_booking(&mut client, "early");
    assert_eq!(read_answer(&mut client), ClientAnswer::Refused(None));
    // The connection is closed in order after the answer, not reset.
    assert_eq!(client.read_to_end(&mut Vec::new()).unwrap(), 0);
    drop(occupied);
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    send_booking(&mut client, "later");
    assert!(matches!(read_answer(&mut client), ClientAnswer::Served(_)));
}

/// The waiting time of a request counts from the arrival of its last byte, also during startup: a request whose
/// client has given up must not reach a member.
#[test]
fn a_request_that_expires_during_startup_reaches_no_member() {
    let mut world = World::new();
    let operators = create_pipe("late");
    world.setup.environment = vec![("LINENTRAIL_FILE".into(), operators.to_string_lossy().into())];
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.client_address(), &mut launched);
    let statement = ClientRequest { wait_ms: 400, ..booking("late") }.sql(&request_id());
    client.write_all(&[wire::startup(), wire::query(&statement)].concat()).unwrap();
    thread::sleep(Duration::from_millis(1_000));
    release_pipe(&operators);
    assert_eq!(read_answer(&mut client), ClientAnswer::Refused(None));
    assert_eq!(world.primary.statement_count("write late"), 0, "{:?}", world.primary.statements());
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    send_booking(&mut client, "soon");
    assert!(matches!(read_answer(&mut client), ClientAnswer::Served(_)));
    assert_eq!(world.primary.statement_count("write soon"), 1, "{:?}", world.primary.statements());
}

#[test]
fn an_odata_client_gets_503_during_a_long_startup() {
    let mut world = World::new();
    let occupied = world.occupy_console();
    let odata = SocketAddr::from((world.address, ODATA_PORT));
    let file = std::env::temp_dir().join(format!("linentrail-start-odata-{}.hcl", std::process::id()));
    std::fs::write(&file, format!("odata {{\n enabled = true\n listen = \"{odata}\"\n}}\n")).unwrap();
    world.setup.environment = vec![("LINENTRAIL_FILE".into(), file.to_string_lossy().into())];
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(odata, &mut launched);
    client.write_all(b"GET /records('k') HTTP/1.1\r\nHost: t\r\n\r\n").unwrap();
    let mut lines = BufReader::new(client).lines().map_while(Result::ok).take_while(|line| !line.is_empty());
    let status = lines.next().expect("a request that was sent gets an answer");
    assert!(status.starts_with("HTTP/1.1 503"), "{status}");
    assert!(lines.any(|line| line.to_ascii_lowercase().starts_with("retry-after:")));
    drop(occupied);
    drop(launched.wait_until_serving(&world.setup).unwrap());
    std::fs::remove_file(file).unwrap();
}

/// The predecessor of this process may still occupy the address for agreement between proxies.
#[test]
fn startup_waits_for_an_agreement_address_that_is_still_in_use() {
    for tcp in [false, true] {
        let mut world = World::new();
        let address = SocketAddr::from((world.address, AGREEMENT_PORT));
        let key = std::env::temp_dir().join(format!("linentrail-start-key-{}-{tcp}", std::process::id()));
        std::fs::write(&key, "a key that all of the fleet have").unwrap();
        // This proxy is no voter.
        world.setup.operators = format!(
            "agreement {{\n enabled = true\n me = 1\n proxies = [\"1 {address}\", \"2 127.0.0.1:9\"]\n \
             voters = [2]\n keys = [\"1 {}\"]\n}}\n",
            key.display()
        );
        let occupied: Box<dyn std::any::Any> = match tcp {
            true => Box::new(TcpListener::bind(address).unwrap()),
            false => Box::new(UdpSocket::bind(address).unwrap()),
        };
        let mut launched = ProxyProcess::new(&world.setup).unwrap();
        let mut client = connect(world.client_address(), &mut launched);
        send_booking(&mut client, "early");
        let answer = read_answer(&mut client);
        assert!(matches!(answer, ClientAnswer::Refused(_)), "TCP {tcp}: {answer:?}");
        drop(occupied);
        drop(launched.wait_until_serving(&world.setup).unwrap());
        std::fs::remove_file(key).unwrap();
    }
}

/// The listener stays open from the first accepted connection on: no later connection is refused during startup, and
/// each request gets a final answer.
#[test]
fn every_client_that_connects_during_startup_gets_an_answer() {
    let world = World::new();
    for start in 0..5 {
        let mut launched = ProxyProcess::new(&world.setup).unwrap();
        let first = connect(world.client_address(), &mut launched);
        let to = world.client_address();
        let clients: Vec<_> = (0..8)
            .map(|client| {
                thread::spawn(move || {
                    for round in 0..10 {
                        let mut stream = TcpStream::connect(to).expect("the listener stays");
                        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                        send_booking(&mut stream, &format!("k{start}-{client}-{round}"));
                        let answer = read_answer(&mut stream);
                        assert!(
                            matches!(answer, ClientAnswer::Served(_) | ClientAnswer::Refused(_)),
                            "{answer:?}"
                        );
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|client| client.join().unwrap());
        drop(first);
        drop(launched.wait_until_serving(&world.setup).unwrap());
    }
}

/// Guards against a session read by OData that misses a write made through the process before a kill, where there is no store.
#[test]
fn a_session_read_after_a_kill_shows_what_was_written_before_it() {
    let group = Group::default();
    // The replica is far behind, and answers reads from what it has.
    let members = [(true, 0), (false, 60_000)]
        .map(|(primary, lag)| Member::start(&group, primary, lag, Capacity::default()));
    let list: Vec<_> = members.iter().enumerate().map(|(n, m)| entry(n, m.address())).collect();
    let setup = Setup {
        program: env!("CARGO_BIN_EXE_linentrail").into(),
        config: proxy::config("127.0.0.1:9", &list, proxy::settings(), 1024, 192),
        odata: true,
        ..Setup::default()
    };
    let former = Proxy::start(&setup).expect("it starts");
    let write = ClientRequest { wait_ms: 12_000, ..booking("written") };
    let written = runtime().block_on(async {
        let mut client = PgClient::connect(former.pg).await?;
        client.request(&write).await
    });
    let value = write.value.clone().expect("a booking has a value");
    assert_eq!(written.expect("an answer"), ClientAnswer::Served(value.clone()));
    drop(former);
    let proxy = Proxy::start(&setup).expect("it starts again");
    let read = ClientRequest { class: "my-booking", value: None, ..write };
    for number in 0..20 {
        let answer = runtime().block_on(async {
            let mut client = ODataClient::connect(proxy.odata.expect("an OData address")).await?;
            client.request(&read).await
        });
        assert_eq!(answer.expect("an answer"), ClientAnswer::Served(value.clone()), "read {number}");
    }
}
