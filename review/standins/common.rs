//! Stand-ins for clients, members, discovery and DNS, and the proxy as a child process. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in ms.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption of the case is on (`TROUBLE=0` switches it off).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// The record of a run: one line an event, with the ms since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create(path: &str) -> io::Result<Record> {
        Ok(Record(Arc::new(Mutex::new((File::create(path)?, Instant::now())))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut inner = self.0.lock().unwrap();
        let at = inner.1.elapsed().as_millis();
        let _ = writeln!(inner.0, "{at:>7} ms  {}", text.as_ref());
        if text.as_ref().starts_with("result:") {
            println!("{}", text.as_ref());
        }
    }
}

/// A free port on loopback.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).map(|a| a.port()).expect("a free port")
}

// ---------------------------------------------------------------------------------------------------------
// Processes

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// A temporary folder of this run, removed at its end.
pub fn folder() -> PathBuf {
    let mut folder = FOLDER.lock().unwrap();
    folder
        .get_or_insert_with(|| {
            let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), now_ms()));
            std::fs::create_dir_all(&path).expect("a temporary folder");
            path
        })
        .clone()
}

/// Ends all processes that were started and removes the temporary folder.
pub fn clean_up() {
    for child in CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(path) = FOLDER.lock().unwrap_or_else(|e| e.into_inner()).take() {
        let _ = std::fs::remove_dir_all(path);
    }
}

/// Runs a case: its result is the exit code. Ends everything after `limit`, and when the case panics.
pub fn run_case(limit: Duration, case: fn(&Record) -> i32) -> ! {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_string());
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("{path}: {e}");
            std::process::exit(2);
        }
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(limit);
        watched.line("the case took too long");
        clean_up();
        std::process::exit(2);
    });
    record.line(format!("disruption: {}", if trouble() { "on" } else { "off" }));
    let code = std::panic::catch_unwind(|| case(&record)).unwrap_or(2);
    record.line(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    clean_up();
    std::process::exit(code)
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.trim_start().starts_with("run ")).expect("a line `run`");
    line.split('"').nth(1).expect("a quoted command").to_string()
}

/// What a proxy is started with.
#[derive(Clone)]
pub struct ProxySetup {
    pub listen: u16,
    pub odata: Option<u16>,
    pub discovery: String,
    pub config: String,
    /// The operators' file; the one of the deploy folder if empty.
    pub operators: String,
}

/// A running proxy.
pub struct Proxy {
    pub pid: u32,
    setup: ProxySetup,
    number: usize,
}

impl Proxy {
    /// Starts a proxy with the command of the deploy file and waits until it answers an empty query.
    pub fn start(setup: &ProxySetup, record: &Record) -> Proxy {
        let folder = folder();
        let number = CHILDREN.lock().unwrap().len();
        let tmp = folder.join(format!("tmp-{number}"));
        std::fs::create_dir_all(&tmp).expect("a folder");
        let config = folder.join("config.json");
        // The seed is new with each start.
        let seed = format!("{:016x}", now_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64);
        std::fs::write(&config, setup.config.replace(SEED, &seed)).expect("the configuration");
        let log = File::create(folder.join(format!("proxy-{number}.log"))).expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command())
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", format!("127.0.0.1:{}", setup.listen))
            .env("BALANCER_DISCOVERY", &setup.discovery)
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &tmp)
            .env("RUST_LOG", std::env::var("PROXY_LOG").unwrap_or_else(|_| "info".to_string()))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log));
        if !setup.operators.is_empty() {
            let file = folder.join("linentrail.hcl");
            std::fs::write(&file, &setup.operators).expect("the operators' file");
            command.env("LINENTRAIL_FILE", &file);
        }
        let child = command.spawn().expect("the proxy starts");
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let proxy = Proxy { pid, setup: setup.clone(), number };
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(mut client) = PgClient::connect(setup.listen, 1_000) {
                if matches!(client.query("", 1_000), PgAnswer::Empty) {
                    break;
                }
            }
            if Instant::now() > until {
                record.line("the proxy does not become ready");
                proxy.copy_log(record);
                panic!("not ready");
            }
            sleep_ms(10);
        }
        record.line(format!("proxy: process {pid} answers an empty query"));
        proxy
    }

    /// SIGKILL.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap();
        let _ = children[self.number].kill();
        let _ = children[self.number].wait();
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        matches!(CHILDREN.lock().unwrap()[self.number].try_wait(), Ok(None))
    }

    /// The end of the proxy's log, into the record.
    pub fn copy_log(&self, record: &Record) {
        let path = folder().join(format!("proxy-{}.log", self.number));
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        for line in lines.iter().skip(lines.len().saturating_sub(60)) {
            record.line(format!("proxy log: {line}"));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// PostgreSQL messages

pub fn put(to: &mut Vec<u8>, tag: u8, body: &[u8]) {
    to.push(tag);
    to.extend((body.len() as u32 + 4).to_be_bytes());
    to.extend(body);
}

fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

fn error_message(code: &str, text: &str) -> Vec<u8> {
    let mut reply = Vec::new();
    put(&mut reply, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
    put(&mut reply, b'Z', b"I");
    reply
}

/// The fields of a statement's comment.
pub fn fields(sql: &str) -> HashMap<String, String> {
    let comment = sql.rsplit_once("/*").map_or("", |(_, c)| c).trim_end().trim_end_matches("*/");
    let pairs = comment.split(',').filter_map(|p| p.trim().split_once('='));
    pairs.map(|(n, v)| (n.to_string(), v.to_string())).collect()
}

/// The quoted key of a statement.
pub fn quoted_key(sql: &str) -> String {
    sql.split('\'').nth(1).unwrap_or_default().to_string()
}

// ---------------------------------------------------------------------------------------------------------
// Members

/// A write that has run.
#[derive(Clone, Debug)]
pub struct Commit {
    pub at_ms: u64,
    pub key: String,
    pub hex: String,
    pub id: String,
    pub idempotency_key: Option<String>,
}

/// The data of a group.
#[derive(Clone, Default)]
pub struct Group(pub Arc<Mutex<Vec<Commit>>>);

impl Group {
    /// The value of a key as of a position, in hex.
    pub fn read(&self, key: &str, position: u64) -> Option<String> {
        let commits = self.0.lock().unwrap();
        commits.iter().rev().find(|c| c.key == key && c.at_ms <= position).map(|c| c.hex.clone())
    }
}

/// A statement as a member received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub sql: String,
}

pub struct MemberState {
    pub name: String,
    pub port: u16,
    pub primary: AtomicBool,
    /// How far a replica is behind, in ms.
    pub lag_ms: AtomicU64,
    pub work_ms: AtomicU64,
    pub group: Group,
    pub received: Mutex<Vec<Received>>,
    /// Ids of requests for which the connection is reset once the statement has run, its answer unsent.
    pub reset_after_run: Mutex<Box<dyn Fn(&str) -> bool + Send>>,
    /// Size of the pieces in which a large value is written, and the pause between two, in ms.
    pub pieces: Mutex<Option<(usize, u64)>>,
    /// The third field of the load report, as the settings name it.
    pub queue_field: Mutex<&'static str>,
    /// For how long repeats of an idempotency key are dropped, in ms.
    pub key_window_ms: u64,
    pub record: Record,
}

/// A member of a group on its own loopback port.
#[derive(Clone)]
pub struct Member(pub Arc<MemberState>);

impl Member {
    pub fn start(name: &str, primary: bool, lag_ms: u64, group: &Group, record: &Record) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let member = Member(Arc::new(MemberState {
            name: name.to_string(),
            port,
            primary: primary.into(),
            lag_ms: lag_ms.into(),
            work_ms: 20.into(),
            group: group.clone(),
            received: Mutex::default(),
            reset_after_run: Mutex::new(Box::new(|_| false)),
            pieces: Mutex::default(),
            queue_field: Mutex::new("q"),
            key_window_ms: 2_000,
            record: record.clone(),
        }));
        let this = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || {
                    let _ = this.serve(stream);
                });
            }
        });
        member
    }

    pub fn position(&self) -> u64 {
        let lag = if self.0.primary.load(Ordering::Relaxed) { 0 } else { self.0.lag_ms.load(Ordering::Relaxed) };
        now_ms() - lag
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut startup = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
        stream.read_exact(&mut startup)?;
        let mut reply = Vec::new();
        put(&mut reply, b'R', &[0; 4]);
        put(&mut reply, b'Z', b"I");
        stream.write_all(&reply)?;
        loop {
            let (tag, body) = read_message(&mut stream)?;
            if tag != b'Q' {
                return Ok(());
            }
            let sql = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            match self.answer(&sql) {
                Some(reply) => self.write(&mut stream, &reply)?,
                None => {
                    reset(&stream);
                    return Ok(());
                }
            }
        }
    }

    fn write(&self, stream: &mut TcpStream, reply: &[u8]) -> io::Result<()> {
        let pieces = *self.0.pieces.lock().unwrap();
        match pieces.filter(|_| reply.len() > 64 * 1024) {
            None => stream.write_all(reply),
            Some((size, pause)) => {
                for piece in reply.chunks(size) {
                    stream.write_all(piece)?;
                    sleep_ms(pause);
                }
                Ok(())
            }
        }
    }

    /// The answer to a statement; none if the connection is reset instead.
    fn answer(&self, sql: &str) -> Option<Vec<u8>> {
        let primary = self.0.primary.load(Ordering::Relaxed);
        let mut reply = Vec::new();
        if sql.trim().is_empty() {
            put(&mut reply, b'I', &[]);
            put(&mut reply, b'Z', b"I");
            return Some(reply);
        }
        if sql == "SELECT 1" {
            return Some(self.row(b"1", 0, None));
        }
        if sql == "SHOW stats" {
            let report = format!(
                "x0={:.3},x1={},{}=0",
                self.position() as f64 / 1e3,
                u8::from(primary),
                self.0.queue_field.lock().unwrap()
            );
            return Some(self.row(report.as_bytes(), 0, None));
        }
        self.0.received.lock().unwrap().push(Received { at: Instant::now(), sql: sql.to_string() });
        let (fields, key) = (fields(sql), quoted_key(sql));
        let id = fields.get("id").cloned().unwrap_or_default();
        let record = |what: &str| {
            let shown: String = sql.chars().take(220).collect();
            self.0.record.line(format!("{}: {what}: {shown}", self.0.name));
        };
        if sql.starts_with("INSERT") {
            if !primary {
                record("turned away, no primary");
                return Some(error_message("25006", "not the primary"));
            }
            let hex = sql.split("'\\x").nth(1).and_then(|v| v.split('\'').next()).unwrap_or_default();
            let idempotency_key = fields.get("k").cloned();
            let known = idempotency_key.as_ref().and_then(|k| {
                let commits = self.0.group.0.lock().unwrap();
                let fits = |c: &&Commit| {
                    c.idempotency_key.as_ref() == Some(k) && now_ms() < c.at_ms + self.0.key_window_ms
                };
                commits.iter().find(fits).map(|c| c.at_ms)
            });
            if let Some(at) = known {
                record("repeat of a key, dropped");
                return Some(self.row(&unhex(hex), 17, Some(at)));
            }
            sleep_ms(self.0.work_ms.load(Ordering::Relaxed));
            let at_ms = now_ms();
            self.0.group.0.lock().unwrap().push(Commit {
                at_ms,
                key: key.clone(),
                hex: hex.to_string(),
                id: id.clone(),
                idempotency_key,
            });
            if (self.0.reset_after_run.lock().unwrap())(&key) {
                record("write RAN, then the connection is reset before the answer");
                return None;
            }
            record("write RAN");
            return Some(self.row(&unhex(hex), 17, Some(at_ms)));
        }
        let after = fields.get("after").and_then(|a| a.parse::<u64>().ok()).unwrap_or(0);
        let position = self.position();
        if !primary && position < after {
            record("turned away, too far behind");
            return Some(error_message("72000", "too far behind"));
        }
        sleep_ms(self.0.work_ms.load(Ordering::Relaxed));
        let value = self.0.group.read(&key, if primary { u64::MAX } else { position });
        record(&format!("read ran at position {position}, value {}", match &value {
            Some(v) if v.len() > 40 => format!("of {} bytes", v.len() / 2),
            Some(v) => v.clone(),
            None => "none".to_string(),
        }));
        Some(self.row(&unhex(&value.unwrap_or_default()), 17, Some(position)))
    }

    /// An answer of one row with the role, and a position if given.
    fn row(&self, value: &[u8], type_id: u32, position: Option<u64>) -> Vec<u8> {
        let mut reply = Vec::with_capacity(value.len() + 200);
        let column = [&[0, 1, b'v', 0][..], &[0; 6], &type_id.to_be_bytes(), &[0; 6], &[0, 1]].concat();
        put(&mut reply, b'T', &column);
        let mut body = vec![0, 1];
        body.extend((value.len() as u32).to_be_bytes());
        body.extend(value);
        put(&mut reply, b'D', &body);
        put(&mut reply, b'C', b"SELECT 1\0");
        let primary = self.0.primary.load(Ordering::Relaxed);
        put(&mut reply, b'S', if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" });
        if let Some(position) = position {
            put(&mut reply, b'S', format!("wal_time\0{position}\0").as_bytes());
        }
        put(&mut reply, b'Z', b"I");
        reply
    }

    /// The entry in discovery's list where the list shows roles.
    pub fn entry_with_role(&self, cell: u32, zone: &str, lifecycle: &str) -> String {
        let mode = if self.0.primary.load(Ordering::Relaxed) { "read-write" } else { "read-only" };
        self.entry(cell, zone, lifecycle).replacen('{', &format!(r#"{{"mode":"{mode}","#), 1)
    }

    /// The entry in discovery's list.
    pub fn entry(&self, cell: u32, zone: &str, lifecycle: &str) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"127.0.0.1:{}","zone":"{zone}","machineType":"m1","cell":{cell},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#,
            self.0.name, self.0.port
        )
    }
}

pub fn unhex(hex: &str) -> Vec<u8> {
    let digit = |b: u8| (b as char).to_digit(16).unwrap_or(0) as u8;
    hex.as_bytes().chunks(2).map(|p| digit(p[0]) << 4 | digit(*p.get(1).unwrap_or(&b'0'))).collect()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Resets a connection: closed with SO_LINGER 0, so that its peer gets RST.
fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET 1, SO_LINGER 13.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, std::mem::size_of::<Linger>() as u32) };
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

struct ListState {
    generation: u64,
    entries: Vec<String>,
    /// Calls are taken and not answered.
    silent: bool,
}

/// Discovery over HTTP/1.1: the whole list, and watches that are answered with the whole list.
#[derive(Clone)]
pub struct Discovery {
    pub port: u16,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let state = Arc::new((Mutex::new(ListState { generation: 1, entries, silent: false }), Condvar::new()));
        let this = Discovery { port, state };
        let server = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        this
    }

    /// Replaces the list.
    pub fn set(&self, entries: Vec<String>) {
        let mut state = self.state.0.lock().unwrap();
        (state.entries, state.generation) = (entries, state.generation + 1);
        self.state.1.notify_all();
    }

    /// Whether calls are taken and not answered, those that wait too.
    pub fn set_silent(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    /// The list as it stands in a configuration's `known`.
    pub fn list(&self) -> String {
        list_json(&self.state.0.lock().unwrap())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let head = read_head(&mut stream)?;
            let target = head.split(' ').nth(1).unwrap_or_default().to_string();
            let parameter = |name: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000));
            let mut state = self.state.0.lock().unwrap();
            let body = match parameter("after") {
                Some(after) => {
                    let until = Instant::now() + wait;
                    while state.generation <= after && Instant::now() < until {
                        let left = until.saturating_duration_since(Instant::now());
                        state = self.state.1.wait_timeout(state, left).unwrap().0;
                    }
                    match state.generation > after {
                        true => list_json(&state),
                        false => format!(r#"{{"generation":{},"reset":false,"instances":[]}}"#, state.generation),
                    }
                }
                None => list_json(&state),
            };
            let silent = state.silent;
            drop(state);
            if silent {
                while self.state.0.lock().unwrap().silent {
                    sleep_ms(20);
                }
                // A call that came while it was down has no answer.
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes())?;
        }
    }
}

fn list_json(state: &ListState) -> String {
    format!(
        r#"{{"generation":{},"reset":true,"instances":[{}]}}"#,
        state.generation,
        state.entries.join(",")
    )
}

/// The head of an HTTP message, up to the empty line.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
        if head.len() > 64 * 1024 {
            return Err(io::Error::other("a head that does not end"));
        }
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

// ---------------------------------------------------------------------------------------------------------
// Clients

#[derive(Debug)]
pub enum PgAnswer {
    Served(Vec<u8>),
    Empty,
    /// SQLSTATE and text.
    Error(String, String),
    /// No whole answer: broken, closed or out of time.
    None(String),
}

pub struct PgClient(TcpStream);

impl PgClient {
    pub fn connect(port: u16, timeout_ms: u64) -> io::Result<PgClient> {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
        let mut startup = (body.len() as u32 + 4).to_be_bytes().to_vec();
        startup.extend(body);
        stream.write_all(&startup)?;
        loop {
            match read_message(&mut stream)? {
                (b'Z', _) => return Ok(PgClient(stream)),
                (b'E', body) => return Err(io::Error::other(String::from_utf8_lossy(&body).into_owned())),
                _ => {}
            }
        }
    }

    pub fn query(&mut self, sql: &str, timeout_ms: u64) -> PgAnswer {
        self.try_query(sql, timeout_ms).unwrap_or_else(|e| PgAnswer::None(e.to_string()))
    }

    fn try_query(&mut self, sql: &str, timeout_ms: u64) -> io::Result<PgAnswer> {
        self.0.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
        let mut message = Vec::new();
        put(&mut message, b'Q', &[sql.as_bytes(), &[0]].concat());
        self.0.write_all(&message)?;
        let (mut row, mut answer) = (None, None);
        loop {
            match read_message(&mut self.0)? {
                (b'D', body) => row = Some(body.get(6..).unwrap_or_default().to_vec()),
                (b'C', _) => answer = row.take().map(PgAnswer::Served),
                (b'I', _) => answer = Some(PgAnswer::Empty),
                (b'E', body) => {
                    let part = |tag: u8| {
                        let found = body.split(|b| *b == 0).find(|f| f.first() == Some(&tag));
                        found.map_or(String::new(), |f| String::from_utf8_lossy(&f[1..]).into_owned())
                    };
                    answer = Some(PgAnswer::Error(part(b'C'), part(b'M')));
                }
                (b'Z', _) => {
                    return answer.ok_or_else(|| io::Error::other("an answer without a result"));
                }
                _ => {}
            }
        }
    }
}

/// A response over HTTP.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// One HTTP request on a connection of its own. The error says why there is no whole answer.
pub fn http(port: u16, request: &str, timeout_ms: u64) -> io::Result<HttpAnswer> {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let (mut got, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        if let Some(end) = got.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&got[..end]).into_owned();
            let length = head.lines().find_map(|l| {
                let (name, value) = l.split_once(':')?;
                name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
            });
            let length = length.unwrap_or(0);
            if got.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&got[end + 4..end + 4 + length]).into_owned();
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                return Ok(HttpAnswer { status, head, body });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let text = format!("no whole answer in {timeout_ms} ms, {} bytes came", got.len());
            return Err(io::Error::new(io::ErrorKind::TimedOut, text));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut piece) {
            Ok(0) => return Err(io::Error::other("closed without a whole answer")),
            Ok(n) => got.extend(&piece[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
}

/// The current time as an HTTP date.
pub fn http_date() -> String {
    let seconds = now_ms() / 1000;
    let (days, of_day) = (seconds / 86_400, seconds % 86_400);
    let weekday = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"][(days % 7) as usize];
    // Civil date from days since 1970-01-01.
    let z = days as i64 + 719_468;
    let era = z / 146_097;
    let day_of_era = z - era * 146_097;
    let year_of_era = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted + 2) / 5 + 1;
    let month = if shifted < 10 { shifted + 3 } else { shifted - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let names = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    format!(
        "{weekday}, {day:02} {} {year} {:02}:{:02}:{:02} GMT",
        names[month as usize - 1],
        of_day / 3600,
        of_day / 60 % 60,
        of_day % 60
    )
}

// ---------------------------------------------------------------------------------------------------------
// Settings

/// The settings of the site luzon-skip-hub, for one proxy.
pub fn luzon_settings() -> String {
    let class = |name: &str, aim: u64, deadline: u64, effect: &str, importance: f64, late: f64| {
        format!(
            r#"{{"name":"{name}","aim_us":{aim}000,"deadline_us":{deadline}000,"group":"all","idempotency":"{effect}","importance":{importance},"late_value":{late},"stream":false,"window_us":5000000}}"#
        )
    };
    let classes = [
        class("yard-board", 200, 500, "read_like", 1.0, 0.0),
        class("my-booking", 300, 1200, "read_like", 2.0, 0.2),
        class("monthly-report", 250, 750, "read_like", 2.0, 0.0),
        class("place-order", 1000, 3000, "non_idempotent", 3.0, 0.5),
    ];
    format!(
        r#"{{"client_habits":{{"marks_retry":true}},"discovery":"subscribe",
"family_info":{{"catch_up_wait_us":0,"counted_from_us":0,"list_role":"off","max_age_us":[3000000,0,0,0],"needs_by_class":["bounded","session","any","write"],"report_x0":"position","report_x1":"1 from a primary","session_marks":"carried","tells_position":true,"waits_for_copy":false,"when_behind":"refuse"}},
"flavors":["std-4core"],"instances":1,"layers":["booking-db"],
"limits":{{"cancelling":true,"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":8,"max_open":24370,"max_retry_after_us":2000000,"peers":false,"probing":true,"retry_after":true,"second_copies":true,"streams_per_conn":1}},
"load_info":{{"fields":["x0","x1","q"],"via":"on_probe"}},"my_zone":0,"over_share_worth":0.05,"period_us":5000,
"rules":{{"ask_every_us":10000000,"cold_share":0.15,"drain_grace_us":500000,"fall_multiple":2.0,"fall_us":1500000,"grace_to_answer_us":20000,"warm_after_us":18000000}},
"service_type":"replicas","services":[{}],"slot_no":0,
"tenants":[{{"name":"bigkis-haulers","quota_rps":268.0,"share":0.54}},{{"name":"masipag-skips","quota_rps":139.0,"share":0.28}},{{"name":"tala-bins","quota_rps":89.0,"share":0.18}}],
"tier":0,"weight_source":"nominal","worth_by":"request","zones":["makati-dc","pasig-dc"]}}"#,
        classes.join(",")
    )
}

/// The settings of the site hanbit-activation, for one proxy.
pub fn hanbit_settings() -> String {
    let class = |name: &str, aim: u64, deadline: u64, effect: &str, importance: f64, late: f64| {
        format!(
            r#"{{"name":"{name}","aim_us":{aim}000,"deadline_us":{deadline}000,"group":"cell","idempotency":"{effect}","importance":{importance},"late_value":{late},"stream":false,"window_us":2000000}}"#
        )
    };
    let classes = [
        class("status-view", 250, 1000, "read_like", 1.0, 0.0),
        class("own-check", 200, 600, "read_like", 3.0, 0.0),
        class("activate", 600, 2000, "idempotency_key", 6.0, 0.3),
    ];
    format!(
        r#"{{"client_habits":{{"marks_retry":true}},"discovery":"automatic",
"family_info":{{"catch_up_wait_us":50000,"counted_from_us":0,"list_role":"late","max_age_us":[3000000,0,0],"needs_by_class":["bounded","session","write"],"report_x0":"position","report_x1":"1 from a primary","session_marks":"remembered","tells_position":true,"waits_for_copy":false,"when_behind":"wait"}},
"flavors":["std-3c"],"instances":1,"layers":["act-db"],
"limits":{{"cancelling":true,"connect_timeout_us":250000,"keepalive_us":30000000,"max_attempts":10,"max_open":24370,"max_retry_after_us":1000000,"peers":false,"probing":true,"retry_after":true,"second_copies":false,"streams_per_conn":1}},
"load_info":{{"fields":["x0","x1","rif"],"via":"on_probe"}},"my_zone":0,"over_share_worth":0.1,"period_us":5000,
"rules":{{"ask_every_us":10000000,"cold_share":0.2,"drain_grace_us":2000000,"fall_multiple":2.5,"fall_us":2000000,"grace_to_answer_us":20000,"warm_after_us":17000000}},
"service_type":"replicas","services":[{}],"slot_no":0,
"tenants":[{{"name":"daehan-mobile","quota_rps":200.0,"share":0.59}},{{"name":"nuri-tel","quota_rps":70.0,"share":0.21}},{{"name":"saebom-mvno","quota_rps":65.0,"share":0.2}}],
"tier":0,"weight_source":"rough","worth_by":"request","zones":["gasan","pangyo","ilsan"]}}"#,
        classes.join(",")
    )
}

/// Stands for the seed in a configuration.
const SEED: &str = "8c1f30d27a5be964";

/// The configuration of a proxy.
pub fn config(listen: u16, discovery: &str, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{listen}","discovery":"{discovery}","seed":"{SEED}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}

/// The operators' file with the OData front on.
pub fn odata_file(port: u16) -> String {
    format!("odata {{\n  enabled = true\n  listen  = \"127.0.0.1:{port}\"\n}}\n")
}
