//! Clients that come while the real program starts: from its first act on they are taken, and each of them gets a final
//! answer, however long the rest of the start takes.
#![allow(missing_docs)]

use linentrail_standins::client::{request_id, ClientAnswer, ClientRequest};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, ProxyProcess, Setup};
use linentrail_standins::registry::entry;
use linentrail_standins::wire;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes on a slow machine: only a failure waits so long.
const PATIENCE: Duration = Duration::from_secs(20);
const PORT: u16 = 6_543;
const CONSOLE_PORT: u16 = 6_544;
const ODATA_PORT: u16 = 6_545;
const AGREEMENT_PORT: u16 = 6_546;

/// A loopback address that no other test has, so that its ports are known before anybody listens there.
fn own_address() -> Ipv4Addr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = (std::process::id() * 8 + taken).to_be_bytes();
    Ipv4Addr::new(127, high | 0x80, middle, low)
}

/// A primary behind a proxy whose addresses are known before its start.
struct World {
    primary: Member,
    address: Ipv4Addr,
    setup: Setup,
}

impl World {
    fn new() -> Self {
        let primary = Member::start(&Group::default(), true, 0, Capacity::default());
        let list = [entry(0, primary.address())];
        let address = own_address();
        let mut config = proxy::config("127.0.0.1:9", &list, proxy::settings(), 1024, 192);
        config["listen"] = format!("{address}:{PORT}").into();
        let program = env!("CARGO_BIN_EXE_linentrail").into();
        World { primary, address, setup: Setup { program, config, ..Setup::default() } }
    }

    fn clients(&self) -> SocketAddr {
        (self.address, PORT).into()
    }

    /// Holds the console's address, so that the start cannot end before this is dropped.
    fn hold_console(&mut self) -> TcpListener {
        let console = SocketAddr::from((self.address, CONSOLE_PORT));
        self.setup.config["console"] = console.to_string().into();
        TcpListener::bind(console).unwrap()
    }
}

/// Connects again and again until somebody listens there.
fn connect(to: SocketAddr, launched: &mut ProxyProcess) -> TcpStream {
    let began = Instant::now();
    loop {
        match TcpStream::connect(to) {
            Ok(stream) => {
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return stream;
            }
            Err(e) => assert_eq!(e.kind(), ErrorKind::ConnectionRefused, "{e}"),
        }
        assert!(!launched.ended(), "the program has ended, and was never reached");
        assert!(began.elapsed() < PATIENCE / 4, "nobody listens at {to} while the program starts");
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

/// Sends the startup and a statement in one go, as clients may.
fn ask(stream: &mut TcpStream, key: &str) {
    let query = wire::query(&booking(key).sql(&request_id()));
    stream.write_all(&[wire::startup(), query].concat()).unwrap();
}

/// The final answer on a connection: a row, or an error with its SQLSTATE.
fn answer(stream: &mut TcpStream) -> ClientAnswer {
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

/// A pipe in place of the operators' file: the start stands still until somebody writes to it.
fn pipe(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("linentrail-start-{name}-{}.hcl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    path
}

fn write_to(path: &Path) {
    std::fs::write(path, "").unwrap();
    std::fs::remove_file(path).unwrap();
}

#[test]
fn clients_connect_before_the_start_has_read_its_files() {
    let mut world = World::new();
    let operators = pipe("files");
    world.setup.environment = vec![("LINENTRAIL_FILE".into(), operators.to_string_lossy().into())];
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.clients(), &mut launched);
    ask(&mut client, "early");
    write_to(&operators);
    let told = answer(&mut client);
    assert!(matches!(told, ClientAnswer::Served(_) | ClientAnswer::Refused(_)), "{told:?}");
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    ask(&mut client, "later");
    assert!(matches!(answer(&mut client), ClientAnswer::Served(_)));
}

#[test]
fn a_client_is_refused_while_the_start_takes_long_and_served_after_it() {
    let mut world = World::new();
    let held = world.hold_console();
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.clients(), &mut launched);
    ask(&mut client, "early");
    assert_eq!(answer(&mut client), ClientAnswer::Refused(None));
    // The connection ends behind its last word, in order and not by a reset.
    assert_eq!(client.read_to_end(&mut Vec::new()).unwrap(), 0);
    drop(held);
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    ask(&mut client, "later");
    assert!(matches!(answer(&mut client), ClientAnswer::Served(_)));
}

/// A request's time runs from its last byte, wherever it stands: one whose client has given up reaches no member.
#[test]
fn a_request_that_has_waited_for_the_start_longer_than_its_client_does_reaches_no_member() {
    let mut world = World::new();
    let operators = pipe("late");
    world.setup.environment = vec![("LINENTRAIL_FILE".into(), operators.to_string_lossy().into())];
    let mut launched = ProxyProcess::new(&world.setup).unwrap();
    let mut client = connect(world.clients(), &mut launched);
    let statement = ClientRequest { wait_ms: 400, ..booking("late") }.sql(&request_id());
    client.write_all(&[wire::startup(), wire::query(&statement)].concat()).unwrap();
    thread::sleep(Duration::from_millis(1_000));
    write_to(&operators);
    assert_eq!(answer(&mut client), ClientAnswer::Refused(None));
    assert_eq!(world.primary.statement_count("write late"), 0, "{:?}", world.primary.statements());
    let proxy = launched.wait_until_serving(&world.setup).unwrap();
    let mut client = TcpStream::connect(proxy.pg).unwrap();
    ask(&mut client, "soon");
    assert!(matches!(answer(&mut client), ClientAnswer::Served(_)));
    assert_eq!(world.primary.statement_count("write soon"), 1, "{:?}", world.primary.statements());
}

#[test]
fn an_odata_client_gets_503_while_the_start_takes_long() {
    let mut world = World::new();
    let held = world.hold_console();
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
    drop(held);
    drop(launched.wait_until_serving(&world.setup).unwrap());
    std::fs::remove_file(file).unwrap();
}

/// The process that this one takes over from may still hold the address at which proxies agree.
#[test]
fn a_start_outlasts_an_agreement_address_that_is_held_for_a_moment() {
    for tcp in [false, true] {
        let mut world = World::new();
        let address = SocketAddr::from((world.address, AGREEMENT_PORT));
        let key = std::env::temp_dir().join(format!("linentrail-start-key-{}-{tcp}", std::process::id()));
        std::fs::write(&key, "a key that all of the fleet have").unwrap();
        // The others vote.
        world.setup.operators = format!(
            "agreement {{\n enabled = true\n me = 1\n proxies = [\"1 {address}\", \"2 127.0.0.1:9\"]\n \
             voters = [2]\n keys = [\"1 {}\"]\n}}\n",
            key.display()
        );
        let held: Box<dyn std::any::Any> = match tcp {
            true => Box::new(TcpListener::bind(address).unwrap()),
            false => Box::new(UdpSocket::bind(address).unwrap()),
        };
        let mut launched = ProxyProcess::new(&world.setup).unwrap();
        let mut client = connect(world.clients(), &mut launched);
        ask(&mut client, "early");
        let told = answer(&mut client);
        assert!(matches!(told, ClientAnswer::Refused(_)), "TCP {tcp}: {told:?}");
        drop(held);
        drop(launched.wait_until_serving(&world.setup).unwrap());
        std::fs::remove_file(key).unwrap();
    }
}

/// From the first connection on, nobody is refused at connect, and all that is asked gets a final answer: once the kernel
/// has a listener for this proxy, it keeps it.
#[test]
fn a_crowd_that_connects_from_exec_on_gets_an_answer_each() {
    let world = World::new();
    for start in 0..5 {
        let mut launched = ProxyProcess::new(&world.setup).unwrap();
        let first = connect(world.clients(), &mut launched);
        let to = world.clients();
        let clients: Vec<_> = (0..8)
            .map(|client| {
                thread::spawn(move || {
                    for round in 0..10 {
                        let mut stream = TcpStream::connect(to).expect("the listener stays");
                        stream.set_read_timeout(Some(PATIENCE)).unwrap();
                        ask(&mut stream, &format!("k{start}-{client}-{round}"));
                        let told = answer(&mut stream);
                        assert!(
                            matches!(told, ClientAnswer::Served(_) | ClientAnswer::Refused(_)),
                            "{told:?}"
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
