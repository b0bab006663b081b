//! A member of a group: a primary or a replica that is behind by a fixed time. It answers from the data that it has.

use crate::pg;
use crate::record::{now_ms, Record};
use std::collections::HashMap;
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// The data of a group: each key's commits, in order.
#[derive(Default)]
pub struct Group {
    commits: Mutex<HashMap<String, Vec<(u64, Vec<u8>)>>>,
}

impl Group {
    pub fn preset(&self, key: &str, value: Vec<u8>) {
        self.commits.lock().unwrap().insert(key.to_string(), vec![(0, value)]);
    }

    fn commit(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut commits = self.commits.lock().unwrap();
        let at = now_ms() + 1;
        commits.entry(key.to_string()).or_default().push((at, value));
        at
    }

    /// How often a write of this key has run.
    pub fn runs(&self, key: &str) -> usize {
        self.commits.lock().unwrap().get(key).map_or(0, Vec::len)
    }

    /// The value as of this position.
    fn at(&self, key: &str, position: u64) -> Vec<u8> {
        let commits = self.commits.lock().unwrap();
        let all = commits.get(key).map(Vec::as_slice).unwrap_or_default();
        all.iter().rev().find(|(at, _)| *at <= position).map_or_else(|| b"none".to_vec(), |(_, v)| v.clone())
    }
}

/// A statement that a member has received.
#[derive(Clone, Debug)]
pub struct Statement {
    pub write: bool,
    pub key: String,
    pub id: String,
}

/// What all members tell of.
#[derive(Clone)]
pub struct Journal {
    pub statements: Arc<Mutex<Vec<Statement>>>,
    pub record: Record,
}

impl Journal {
    pub fn new(record: &Record) -> Self {
        Journal { statements: Arc::default(), record: record.clone() }
    }

    /// The statements that this accepts.
    pub fn find(&self, fits: impl Fn(&Statement) -> bool) -> Vec<Statement> {
        self.statements.lock().unwrap().iter().filter(|s| fits(s)).cloned().collect()
    }
}

/// Statements that a member works on at a time, one a core; others wait.
const CORES: usize = 4;

pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    group: Arc<Group>,
    journal: Journal,
    primary: AtomicBool,
    lag_ms: u64,
    read_ms: u64,
    write_ms: u64,
    /// Resets a read's connection after this many bytes of the answer; 0: never.
    pub break_reads_after: AtomicU64,
    /// Writes each answer in pieces: its head in some of this many bytes, the rest in longer ones; 0: at once.
    pub piece: AtomicU64,
    /// The process has died: its connections are reset and new ones refused.
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    listener: Mutex<Option<TcpListener>>,
    free: (Mutex<usize>, Condvar),
}

/// Sets a linger time of 0, so that dropping the stream resets the connection.
fn reset_at_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Bytes of an answer that are its head, and the length of the pieces behind it.
const HEAD: usize = 256;
const LONG_PIECE: usize = 16 * 1024;

/// Writes an answer in pieces, each 2 ms after the one before. An error comes with the number of bytes written.
fn write_in_pieces(
    stream: &mut TcpStream,
    answer: &[u8],
    piece: usize,
) -> std::result::Result<(), (usize, std::io::Error)> {
    let (head, rest) = answer.split_at(answer.len().min(HEAD));
    let mut written = 0;
    for bytes in head.chunks(piece).chain(rest.chunks(LONG_PIECE)) {
        stream.write_all(bytes).map_err(|error| (written, error))?;
        written += bytes.len();
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

impl Member {
    pub fn start(
        name: &str,
        (group, journal): (&Arc<Group>, &Journal),
        primary: bool,
        lag_ms: u64,
        (read_ms, write_ms): (u64, u64),
    ) -> Arc<Member> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let member = Arc::new(Member {
            name: name.to_string(),
            address,
            group: group.clone(),
            journal: journal.clone(),
            primary: AtomicBool::new(primary),
            lag_ms,
            read_ms,
            write_ms,
            break_reads_after: AtomicU64::new(0),
            piece: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            listener: Mutex::new(listener.try_clone().ok()),
            free: (Mutex::new(CORES), Condvar::new()),
        });
        let this = member.clone();
        std::thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener");
            while !this.ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                this.streams.lock().unwrap().extend(stream.try_clone());
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        member
    }

    pub fn set_primary(&self, primary: bool) {
        self.primary.store(primary, Ordering::Relaxed);
    }

    /// The process dies: its connections are reset and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        self.listener.lock().unwrap().take();
        for stream in self.streams.lock().unwrap().drain(..) {
            reset_at_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn position(&self) -> u64 {
        now_ms() - if self.primary.load(Ordering::Relaxed) { 0 } else { self.lag_ms }
    }

    fn status(&self, position: u64) -> Vec<u8> {
        let mode = if self.primary.load(Ordering::Relaxed) { "read-write" } else { "read-only" };
        [pg::parameter("mode", mode), pg::parameter("wal_time", &position.to_string())].concat()
    }

    fn serve(&self, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        pg::read_startup(&mut stream)?;
        stream.write_all(&[pg::message(b'R', &[0; 4]), pg::ready()].concat())?;
        loop {
            let (tag, body) = pg::read_message(&mut stream)?;
            if tag != b'Q' || self.ended.load(Ordering::Relaxed) {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            let answer = self.answer(&text);
            let broken = self.break_reads_after.load(Ordering::Relaxed) as usize;
            if broken > 0 && text.starts_with("SELECT v") && answer.len() > broken {
                stream.write_all(&answer[..broken])?;
                // Until the bytes have been taken: a reset discards what is still on its way.
                std::thread::sleep(Duration::from_millis(400));
                self.journal.record.line(format!("{}: resets the connection within the answer", self.name));
                reset_at_close(&stream);
                self.streams.lock().unwrap().retain(|s| s.peer_addr().ok() != stream.peer_addr().ok());
                return Ok(());
            }
            if self.ended.load(Ordering::Relaxed) {
                return Ok(());
            }
            let piece = self.piece.load(Ordering::Relaxed) as usize;
            if piece == 0 {
                stream.write_all(&answer)?;
            } else if let Err((written, error)) = write_in_pieces(&mut stream, &answer, piece) {
                let (name, length) = (&self.name, answer.len());
                self.journal
                    .record
                    .line(format!("{name}: could write {written} of {length} bytes of its answer: {error}"));
                return Err(error);
            }
        }
    }

    /// Works once a core is free.
    fn work(&self, time: Duration) {
        let (free, freed) = &self.free;
        *freed.wait_while(free.lock().unwrap(), |free| *free == 0).unwrap() -= 1;
        std::thread::sleep(time);
        *free.lock().unwrap() += 1;
        freed.notify_one();
    }

    /// The answer to a statement, after the time that it takes.
    fn answer(&self, text: &str) -> Vec<u8> {
        let upper = text.trim().to_ascii_uppercase();
        if upper.is_empty() {
            return [pg::message(b'I', b""), pg::ready()].concat();
        }
        if upper == "SHOW STATS" {
            let role = u8::from(self.primary.load(Ordering::Relaxed));
            let report = format!("x0={:.3},x1={role},inflight=0", self.position() as f64 / 1000.0);
            return [pg::description(), pg::row(report.as_bytes()), pg::complete("SHOW"), pg::ready()]
                .concat();
        }
        if ["SET", "RESET", "DISCARD"].iter().any(|word| upper.starts_with(word)) {
            return [pg::complete("SET"), pg::ready()].concat();
        }
        let write = text.starts_with("INSERT");
        let quoted: Vec<&str> = text.split('\'').collect();
        let key = quoted.get(1).unwrap_or(&"").to_string();
        let id =
            text.split("id=").nth(1).and_then(|rest| rest.split([',', ' ']).next()).unwrap_or("").to_string();
        if write && !self.primary.load(Ordering::Relaxed) {
            self.journal.record.line(format!("{}: turns the write of {key} away, id {id}", self.name));
            return [pg::error("25006", "this is no primary"), self.status(self.position()), pg::ready()]
                .concat();
        }
        let statement = Statement { write, key: key.clone(), id: id.clone() };
        self.journal.statements.lock().unwrap().push(statement);
        let what = if write { "write" } else { "read" };
        self.journal.record.line(format!("{}: gets the {what} of {key}, id {id}", self.name));
        self.work(Duration::from_millis(if write { self.write_ms } else { self.read_ms }));
        let (value, position, tag) = if write {
            let hex = quoted.get(3).and_then(|v| v.strip_prefix("\\x")).unwrap_or("");
            let digits: Vec<u8> = hex.bytes().map(|b| (b as char).to_digit(16).unwrap_or(0) as u8).collect();
            let value: Vec<u8> =
                digits.chunks(2).map(|pair| pair[0] << 4 | pair.get(1).unwrap_or(&0)).collect();
            let commit = self.group.commit(&key, value.clone());
            self.journal.record.line(format!("{}: has run the write of {key}, id {id}", self.name));
            (value, commit, "INSERT 0 1")
        } else {
            let position = self.position();
            (self.group.at(&key, position), position, "SELECT 1")
        };
        [self.status(position), pg::description(), pg::row(&value), pg::complete(tag), pg::ready()].concat()
    }
}
