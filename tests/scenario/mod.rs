//! A small language for scenarios on loopback sockets: the real program between stand-in clients, members and
//! discovery. One step a line, `who verb what`, run in order; a step that does not come true fails the test.
//!
//! ```text
//! member p primary            a member of group 1; replicas name their lag in ms: member r replica 400
//! start [odata] [dnssd] [watching] [small] [few] [brief] [scant]   the proxy, with the members so far as its list; for dnssd it must browse for
//!                             them, watching: it has discovery to watch, small: it has 40 descriptors, few: 60,
//!                             brief: members close what is idle for 500 ms, scant: it has 16 MiB
//! dns does list p 2           a DNS server names member p with this time to live in seconds; `broken p 2`: without
//!                             its TXT record; `drop p`: no longer; `garbage`: answers with what is no DNS message
//! list does leaving p         discovery tells that p is `active`, `leaving` or has `left` (start watching)
//! list does move              discovery is to be another one that starts with the same list; `config does half` writes
//!                             half of the file that says so, `config does whole` all of it, `hup` sends SIGHUP
//! counts NAME 1               one of the proxy's counters reaches this
//! p does hold                 answer | hold | reset | half | full | error | miss: what p does with statements from now on;
//!                             twice: a second copy comes right behind, after: one comes 30 ms later, stall: half an
//!                             answer and no more, swapped: a row before its description, unready: full without
//!                             ReadyForQuery, noisy: full and noise; boast: a report that cannot be true
//! p does replica 9000         p's role and lag from now on
//! a send read K C [after=MS]  client a sends a read of key K in class C by PostgreSQL ...
//! a send write K HEX          ... or a booking; `raw TEXT` sends a statement as it is, `bytes HEX` sends bytes,
//!                             `bytes` and `hello` only connect, `flood N` sends so many more bytes, `sync` a Sync,
//!                             `bye` the goodbye, `wire TEXT` text to OData, with \n for line ends
//! o send GET K C [h=v ...]    client o does so by OData; also `POST K HEX` and `http METHOD TARGET`
//! a expect row HEX            or `row -` if empty, `error CODE [detail]`, `empty`, `closed`; for OData `STATUS [text in the response]`
//! p expect 1 write K          p has been given that many statements so far that begin so
//! a close                     resets the connection
//! stop                        SIGTERM to the proxy; `gone` waits for its end
//! wait 50                     milliseconds; `clock` begins a span that must not have passed `within 3000`
//! ```
#![allow(dead_code)]

use hickory_proto::op::{Message, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer than anything here takes on a slow machine: only a failure waits so long.
const PATIENCE: Duration = Duration::from_secs(20);

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What all members of the group share: the log.
#[derive(Default)]
struct Log(Mutex<Vec<(u64, String, String)>>);

#[derive(Default)]
struct State {
    does: String,
    primary: bool,
    lag: u64,
    seen: Vec<String>,
}

#[derive(Clone)]
struct Standin {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    log: Arc<Log>,
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn read_message(stream: &mut TcpStream, tagged: bool) -> Option<(u8, Vec<u8>)> {
    let mut head = vec![0; if tagged { 5 } else { 4 }];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[head.len() - 4..].try_into().unwrap()) as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

fn reset(stream: &TcpStream) {
    let stream = socket2::SockRef::from(stream);
    stream.set_linger(Some(Duration::ZERO)).unwrap();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

impl Standin {
    fn start(log: Arc<Log>, primary: bool, lag: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State { does: "answer".into(), primary, lag, seen: Vec::new() };
        let this = Standin {
            address: listener.local_addr().unwrap(),
            state: Arc::new((state.into(), Condvar::new())),
            log,
        };
        let member = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = member.clone();
                thread::spawn(move || member.serve(stream));
            }
        });
        this
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        read_message(&mut stream, false)?;
        let welcome = [message(b'R', &[0; 4]), message(b'Z', b"I")].concat();
        stream.write_all(&welcome).ok()?;
        loop {
            let (_, body) = read_message(&mut stream, true).filter(|(tag, _)| *tag == b'Q')?;
            let sql = String::from_utf8(body[..body.len() - 1].to_vec()).unwrap();
            let reply = self.answer(&sql, &stream)?;
            if stream.write_all(&reply).is_err() || reply.ends_with(b"half") {
                return None;
            }
            if self.state.0.lock().unwrap().does == "after" {
                thread::sleep(Duration::from_millis(30));
                stream.write_all(&reply).ok()?;
            }
        }
    }

    fn answer(&self, sql: &str, stream: &TcpStream) -> Option<Vec<u8>> {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let position = now_ms() - state.lag;
        let primary = state.primary;
        let row = |value: &[u8], type_id: u32, commit: u64| {
            let mode: &[u8] = if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" };
            let column = [&[0, 1, b'v', 0][..], &[0; 6], &type_id.to_be_bytes(), &[0; 6], &[0, 1]].concat();
            let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
            let at = format!("wal_time\0{commit}\0");
            let parts = [message(b'T', &column), message(b'D', &data), message(b'C', b"DONE 1\0")];
            [parts.concat(), message(b'S', mode), message(b'S', at.as_bytes()), message(b'Z', b"I")].concat()
        };
        let error = |code: &str| {
            [message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()), message(b'Z', b"I")].concat()
        };
        if sql == "SHOW stats" {
            let mut report = format!("x0={:.3},x1={},q=0", position as f64 / 1e3, u8::from(state.primary));
            if state.does == "boast" {
                report = "x0=9e99,x1=1,q=0".to_string();
            }
            return Some(row(report.as_bytes(), 25, position));
        }
        let key = sql.split('\'').nth(1).unwrap_or_default().to_string();
        let field = |name: &str| {
            sql.split(&format!(",{name}=")).nth(1)?.split([',', ' ']).next()?.parse::<u64>().ok()
        };
        let write = sql.starts_with("INSERT");
        state.seen.push(format!("{} {key}", if write { "write" } else { "read" }));
        changed.notify_all();
        let does = state.does.clone();
        match &does[..] {
            "full" => return Some(error("53300")),
            "unready" => return Some(error("53300")[..error("53300").len() - 6].to_vec()),
            "noisy" => return Some([&error("53300")[..], &[0xff; 40]].concat()),
            "error" => return Some(error("XX000")),
            "miss" => return Some(error("72000")),
            _ if write && !state.primary => return Some(error("25006")),
            _ if field("after").is_some_and(|after| !state.primary && position < after) => {
                return Some(error("72000"))
            }
            _ => {}
        }
        let (value, commit) = if write {
            let value = sql.split("'\\x").nth(1).unwrap().split('\'').next().unwrap().to_string();
            let commit = now_ms();
            self.log.0.lock().unwrap().push((commit, key, value.clone()));
            (value, commit)
        } else {
            let log = self.log.0.lock().unwrap();
            let known = log.iter().rev().find(|(at, k, _)| *k == key && (state.primary || *at <= position));
            (known.map_or(String::new(), |(.., v)| v.clone()), position)
        };
        match &does[..] {
            "reset" => {
                reset(stream);
                None
            }
            "twice" => Some(row(&bytes(&value), 17, commit).repeat(2)),
            "stall" => Some(row(&bytes(&value), 17, commit)[..20].to_vec()),
            "swapped" => {
                let whole = row(&bytes(&value), 17, commit);
                // The description has 27 bytes.
                Some(
                    [&whole[27..38 + value.len() / 2], &whole[..27], &whole[38 + value.len() / 2..]].concat(),
                )
            }
            "half" => Some([&row(&bytes(&value), 17, commit)[..20], b"half"].concat()),
            _ => {
                let reply = row(&bytes(&value), 17, commit);
                let held = changed.wait_while(state, |s| s.does == "hold").unwrap();
                if held.does == "reset" {
                    reset(stream);
                    return None;
                }
                Some(reply)
            }
        }
    }
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).expect("hex")).collect()
}

/// Version, whole list, latest change.
type List = (u64, serde_json::Value, serde_json::Value);

/// Discovery and what it lists, each change to be told to the watch that waits for it.
#[derive(Clone, Default)]
struct Listing(Arc<(Mutex<List>, Condvar)>);

impl Listing {
    fn start(&self, whole: serde_json::Value) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        *self.0 .0.lock().unwrap() = (1, whole, serde_json::json!([]));
        let this = self.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || while this.serve(&mut stream).is_some() {});
            }
        });
        address
    }

    fn serve(&self, stream: &mut TcpStream) -> Option<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        let after = head.split("after=").nth(1).map(|t| t.split('&').next().unwrap().parse::<u64>().unwrap());
        let (lock, changed) = &*self.0;
        let old = |l: &mut List| after.is_some_and(|v| l.0 <= v);
        let list = changed.wait_while(lock.lock().unwrap(), old).unwrap().clone();
        let entries = if after.is_some() { list.2 } else { list.1 };
        let body = serde_json::json!({"generation": list.0, "reset": after.is_none(), "instances": entries})
            .to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).ok()
    }

    /// One entry changes.
    fn change(&self, index: usize, lifecycle: &str) {
        let (lock, changed) = &*self.0;
        let mut list = lock.lock().unwrap();
        let mut entry = list.1[index].clone();
        entry["lifecycle"] = lifecycle.into();
        (list.0, list.2) = (list.0 + 1, serde_json::json!([entry]));
        changed.notify_all();
    }
}

const SERVICE: &str = "_postgresql._tcp.members.test.";

/// Label, port, time to live, and whether the TXT record is there.
type Named = (String, u16, u32, bool);

/// A DNS server and what it names.
#[derive(Clone, Default)]
struct Dns(Arc<Mutex<Vec<Named>>>);

impl Dns {
    fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut length = [0; 2];
            stream.read_exact(&mut length).ok()?;
            let mut question = vec![0; u16::from_be_bytes(length) as usize];
            stream.read_exact(&mut question).ok()?;
            let reply = self.answer(&Message::from_vec(&question).unwrap());
            stream.write_all(&[&(reply.len() as u16).to_be_bytes()[..], &reply].concat()).ok()?;
        }
    }

    fn answer(&self, question: &Message) -> Vec<u8> {
        let named = self.0.lock().unwrap();
        if named.iter().any(|(label, ..)| label == "garbage") {
            return vec![7; 5];
        }
        let service = Name::from_ascii(SERVICE).unwrap();
        let mut records = Vec::new();
        for (label, port, ttl, whole) in named.iter() {
            let instance = service.prepend_label(label.as_str()).unwrap();
            let host = Name::from_ascii(format!("{label}.test.")).unwrap();
            let text = ["cell=1", "zone=a"].map(str::to_string).to_vec();
            let mut add = |name: &Name, data| records.push(Record::from_rdata(name.clone(), *ttl, data));
            add(&service, RData::PTR(PTR(instance.clone())));
            add(&instance, RData::SRV(SRV::new(0, 0, *port, host.clone())));
            add(&host, RData::A(A::new(127, 0, 0, 1)));
            if *whole {
                add(&instance, RData::TXT(TXT::new(text)));
            }
        }
        let asked = &question.queries[0];
        let mut reply = Message::response(question.metadata.id, OpCode::Query);
        reply.add_query(asked.clone());
        if records.iter().all(|r| r.name != asked.name) {
            reply.metadata.response_code = ResponseCode::NXDomain;
        }
        reply.add_answers(
            records.into_iter().filter(|r| r.name == asked.name && r.record_type() == asked.query_type),
        );
        reply.to_vec().unwrap()
    }
}

struct Proxy {
    child: Child,
    counters: Arc<Mutex<String>>,
    pg: SocketAddr,
    odata: Option<SocketAddr>,
    dir: std::path::PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

#[derive(Default)]
struct Stage {
    log: Arc<Log>,
    members: Vec<(String, Standin)>,
    clients: HashMap<String, TcpStream>,
    dns: Dns,
    listing: Listing,
    config: serde_json::Value,
    clock: Option<Instant>,
    proxy: Option<Proxy>,
    ids: u64,
}

/// Settings with long aims, so that no verdict depends on the machine's speed.
fn settings() -> serde_json::Value {
    let class = |name: &str, repeat: &str| {
        serde_json::json!({"name": name, "aim_us": 8_000_000, "deadline_us": 15_000_000, "late_value": 0.5,
            "idempotency": repeat, "group": "all", "window_us": 5_000_000, "stream": false, "importance": 1.0})
    };
    serde_json::json!({
        "discovery": "automatic", "instances": 1, "my_zone": 0, "period_us": 5000, "zones": ["a"],
        "family_info": {"needs_by_class": ["bounded", "session", "any", "write"], "when_behind": "refuse",
            "max_age_us": [3_000_000, 0, 0, 0], "list_role": "off", "session_marks": "carried",
            "catch_up_wait_us": 0, "counted_from_us": 0},
        "services": [class("yard-board", "read_like"), class("my-booking", "read_like"),
            class("monthly-report", "read_like"), class("place-order", "non_idempotent")],
        "tenants": [{"name": "acme", "share": 1.0, "quota_rps": 100.0}],
        "limits": {"cancelling": true, "probing": true, "retry_after": true, "max_retry_after_us": 2_000_000,
            "max_attempts": 8, "connect_timeout_us": 2_000_000, "keepalive_us": 30_000_000},
        "rules": {"cold_share": 0.15, "warm_after_us": 18_000_000, "fall_us": 1_500_000}
    })
}

/// Runs a scenario.
pub fn play(script: &str) {
    let mut stage = Stage::default();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        stage.step(line);
    }
}

impl Stage {
    fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let rest = |n: usize| line.splitn(n + 1, ' ').nth(n).unwrap_or_default();
        match words[..] {
            ["wait", ms] => thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["clock"] => self.clock = Some(Instant::now()),
            ["within", ms] => {
                let passed = self.clock.expect("a clock").elapsed().as_millis();
                assert!(passed <= ms.parse().unwrap(), "{line}: {passed} ms");
            }
            ["member", name, "primary"] => self.member(name, true, 0),
            ["member", name, "replica", lag] => self.member(name, false, lag.parse().unwrap()),
            ["start", ref with @ ..] => self.start(with),
            ["list", "does", "move"] => {
                let whole = self.listing.0 .0.lock().unwrap().1.clone();
                self.listing = Listing::default();
                let address = self.listing.start(whole).to_string();
                let mut config = std::mem::take(&mut self.config);
                config["discovery"] = address.into();
                self.config = config;
            }
            ["config", "does", how] => {
                let text = self.config.to_string();
                let part = if how == "half" { &text[..text.len() / 2] } else { &text };
                std::fs::write(self.proxy.as_ref().unwrap().dir.join("config.json"), part).unwrap();
            }
            ["list", "does", lifecycle, who] => {
                let index = self.members.iter().position(|(n, _)| n == who).expect("a member");
                self.listing.change(index, lifecycle);
            }
            ["dns", "does", ref what @ ..] => self.name(what),
            ["counts", name, least] => self.counts(name, least.parse().unwrap()),
            ["stop"] => self.signal("-TERM"),
            ["hup"] => self.signal("-HUP"),
            ["gone"] => assert!(self.proxy.as_mut().unwrap().child.wait().unwrap().success(), "{line}"),
            [who, "does", "replica", lag] => {
                self.change(who, |s| (s.primary, s.lag) = (false, lag.parse().unwrap()))
            }
            [who, "does", "primary"] => self.change(who, |s| (s.primary, s.lag) = (true, 0)),
            [who, "does", what] => self.change(who, |s| s.does = what.to_string()),
            [who, "close"] => reset(&self.clients.remove(who).expect("a client")),
            [who, "send", ref what @ ..] => self.send(who, what, rest(3)),
            [who, "expect", count, what, key] if self.members.iter().any(|(n, _)| n == who) => {
                self.seen(who, count.parse().unwrap(), &format!("{what} {key}"), line)
            }
            [who, "expect", ref what @ ..] => self.expect(who, what, line),
            _ => panic!("no such step: {line}"),
        }
    }

    fn signal(&self, which: &str) {
        let id = self.proxy.as_ref().unwrap().child.id().to_string();
        assert!(Command::new("kill").args([which, &id]).status().unwrap().success());
    }

    fn member(&mut self, name: &str, primary: bool, lag: u64) {
        self.members.push((name.to_string(), Standin::start(self.log.clone(), primary, lag)));
    }

    fn standin(&self, who: &str) -> &Standin {
        &self.members.iter().find(|(n, _)| n == who).expect("a member").1
    }

    fn change(&self, who: &str, f: impl FnOnce(&mut State)) {
        let (lock, changed) = &*self.standin(who).state;
        f(&mut lock.lock().unwrap());
        changed.notify_all();
    }

    /// Waits until there have been so many, and sees that there are no more.
    fn seen(&self, who: &str, count: usize, what: &str, line: &str) {
        let (lock, changed) = &*self.standin(who).state;
        let few = |s: &mut State| s.seen.iter().filter(|x| *x == what).count() < count;
        let (state, _) = changed.wait_timeout_while(lock.lock().unwrap(), PATIENCE, few).unwrap();
        let found = state.seen.iter().filter(|x| *x == what).count();
        assert_eq!(found, count, "{line}: saw {:?}", state.seen);
    }

    fn name(&self, what: &[&str]) {
        let mut named = self.dns.0.lock().unwrap();
        named.retain(|(label, ..)| !what.contains(&&label[..]));
        match *what {
            ["garbage"] => named.push(("garbage".to_string(), 0, 0, false)),
            ["drop", _] => {}
            [how, who, ttl] => {
                let port = self.standin(who).address.port();
                named.push((who.to_string(), port, ttl.parse().unwrap(), how == "list"));
            }
            _ => panic!("dns does what? {what:?}"),
        }
    }

    fn counts(&self, name: &str, least: u64) {
        let (proxy, began) = (self.proxy.as_ref().unwrap(), Instant::now());
        loop {
            self.signal("-USR1");
            thread::sleep(Duration::from_millis(20));
            let line = proxy.counters.lock().unwrap().clone();
            let found = line.split(' ').find_map(|c| c.strip_prefix(&format!("{name}="))?.parse().ok());
            if found.is_some_and(|n: u64| n >= least) {
                return;
            }
            assert!(began.elapsed() < PATIENCE, "{name} stays under {least}: {line}");
        }
    }

    fn start(&mut self, with: &[&str]) {
        let [odata, dnssd, watching, small, few, brief, scant] =
            ["odata", "dnssd", "watching", "small", "few", "brief", "scant"].map(|w| with.contains(&w));
        let entry = |(i, (_, m)): (usize, &(String, Standin))| {
            serde_json::json!({"instanceId": format!("s-{i:08x}"), "hostPort": m.address.to_string(), "zone": "a",
                "cell": 1, "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
        };
        let list: Vec<_> = self.members.iter().filter(|_| !dnssd).enumerate().map(entry).collect();
        let mut settings = settings();
        if brief {
            settings["limits"]["keepalive_us"] = 500_000.into();
        }
        let mut discovery = "127.0.0.1:9".to_string();
        if watching {
            settings["discovery"] = "subscribe".into();
            discovery = self.listing.start(list.clone().into()).to_string();
        }
        let config = serde_json::json!({
            "name": "t", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "5",
            "known": {"generation": 1, "reset": true, "instances": list}, "settings": settings,
            "limits": {"sockets": if small { 40 } else if few { 60 } else { 1024 }, "memory_mb": if scant { 16 } else { 192 }}
        });
        let unique = format!("linentrail-{}-{:?}-{}", std::process::id(), thread::current().id(), now_ms());
        let dir = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("config.json"), config.to_string()).unwrap();
        let fronts = format!(
            "[odata]\nenabled = {odata}\nlisten = \"127.0.0.1:0\"\n\
             [dnssd]\nbrowse = {dnssd}\nserver = \"{}\"\nservice = \"{SERVICE}\"\n\
             [shutdown]\nstill_coming_ms = 3000\n",
            self.dns.start()
        );
        std::fs::write(dir.join("fronts.toml"), fronts).unwrap();
        self.config = config.clone();
        let mut command = Command::new(env!("CARGO_BIN_EXE_linentrail"));
        for name in ["BALANCER_LISTEN", "RUST_LOG"] {
            command.env_remove(name);
        }
        command
            .env("BALANCER_DISCOVERY", config["discovery"].as_str().unwrap())
            .env("BALANCER_CONFIG", dir.join("config.json"))
            .env("LINENTRAIL_FRONTS", dir.join("fronts.toml"));
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut address = |what: &str| {
            let line =
                lines.by_ref().map_while(Result::ok).find(|l| l.contains(what)).expect("the program starts");
            line.rsplit(' ').next().unwrap().parse().unwrap()
        };
        let pg = address("serving clients at");
        let odata = odata.then(|| address("serving OData at"));
        thread::spawn(move || lines.map_while(Result::ok).for_each(|l| eprintln!("proxy: {l}")));
        let (counters, told) =
            (Arc::new(Mutex::new(String::new())), BufReader::new(child.stdout.take().unwrap()));
        let known = counters.clone();
        thread::spawn(move || told.lines().map_while(Result::ok).for_each(|l| *known.lock().unwrap() = l));
        self.proxy = Some(Proxy { child, counters, pg, odata, dir });
        // Repeatable Requests count in whole seconds: the process must be older than the second it began in.
        if odata.is_some() {
            thread::sleep(Duration::from_millis(1_050 - now_ms() % 1_000));
        }
    }

    fn client(&mut self, who: &str, odata: bool, startup: bool) -> &mut TcpStream {
        let proxy = self.proxy.as_ref().expect("start comes first");
        let address = if odata { proxy.odata.expect("start odata") } else { proxy.pg };
        self.clients.entry(who.to_string()).or_insert_with(|| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            if startup {
                let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
                let hello = [&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat();
                stream.write_all(&hello).unwrap();
                while read_message(&mut stream, true).expect("a welcome").0 != b'Z' {}
            }
            stream
        })
    }

    fn send(&mut self, who: &str, what: &[&str], raw: &str) {
        self.ids += 1;
        let id = self.ids;
        let fixed = "t=acme,d=12000,cluster=1";
        let sql = match *what {
            ["read", key, class, ref more @ ..] => {
                let more: String = more.iter().map(|m| format!(",{m}")).collect();
                format!("SELECT v FROM records WHERE k = '{key}' /* id={id:016x},c={class},{fixed}{more} */")
            }
            ["write", key, value] => format!(
                "INSERT INTO records (k, v) VALUES ('{key}', '\\x{value}') RETURNING v /* id={id:016x},c=place-order,{fixed} */"
            ),
            ["raw", ..] => raw.to_string(),
            ["bye"] => return self.client(who, false, true).write_all(&message(b'X', &[])).unwrap(),
            ["wire", ..] => {
                let text = raw.replace("\\n", "\r\n");
                return self.client(who, true, false).write_all(text.as_bytes()).unwrap();
            }
            ["sync"] => return self.client(who, false, true).write_all(&message(b'S', &[])).unwrap(),
            // Connects, and says hello; a flood need not be taken in.
            ["hello" | "bytes"] => {
                self.client(who, false, what[0] == "hello");
                return;
            }
            ["flood", n] => {
                let _ = self.client(who, false, true).write_all(&vec![b'x'; n.parse().unwrap()]);
                return;
            }
            ["bytes", hex] => return self.client(who, false, false).write_all(&bytes(hex)).unwrap(),
            _ => {
                let text = self.http(what);
                return self.client(who, true, false).write_all(text.as_bytes()).unwrap();
            }
        };
        let query = message(b'Q', format!("{sql}\0").as_bytes());
        self.client(who, false, true).write_all(&query).unwrap();
    }

    /// `id=` and `sent=` (seconds ago) stand for the Repeatable Requests fields; any other `name=value` is a field.
    fn http(&self, what: &[&str]) -> String {
        use base64::Engine;
        let (method, target, class, body, fields) = match *what {
            ["GET", key, class, ref more @ ..] => {
                ("GET", format!("/records('{key}')"), class, String::new(), more)
            }
            ["POST", key, value, ref more @ ..] => {
                let value = base64::engine::general_purpose::URL_SAFE.encode(bytes(value));
                let body = format!("{{\"k\":\"{key}\",\"v\":\"{value}\"}}");
                ("POST", "/records".to_string(), "place-order", body, more)
            }
            ["http", method, target, ref more @ ..] => {
                (method, target.to_string(), "yard-board", String::new(), more)
            }
            _ => panic!("no such request: {what:?}"),
        };
        let mut fixed =
            vec![("Skip-Class", class), ("Skip-Tenant", "acme"), ("Skip-Group", "1"), ("Skip-Wait", "12000")];
        let mut text = format!("{method} {target} HTTP/1.1\r\nHost: t\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in fields.iter().map(|f| f.split_once('=').expect("name=value")) {
            fixed.retain(|(n, _)| *n != name);
            match name {
                "id" => text.push_str(&format!("Repeatability-Request-ID: {value}\r\n")),
                "sent" => {
                    let at = SystemTime::now() - Duration::from_secs(value.parse().unwrap());
                    text.push_str(&format!("Repeatability-First-Sent: {}\r\n", httpdate::fmt_http_date(at)));
                }
                _ if value.is_empty() => {}
                _ => text.push_str(&format!("{name}: {value}\r\n")),
            }
        }
        fixed.iter().for_each(|(n, v)| text.push_str(&format!("{n}: {v}\r\n")));
        format!("{text}\r\n{body}")
    }

    fn expect(&mut self, who: &str, what: &[&str], line: &str) {
        let stream = self.clients.get_mut(who).expect("a client that has sent something");
        if let Ok(status) = what[0].parse::<u16>() {
            let response = read_http(stream, line);
            assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{line}: {response}");
            let text = what[1..].join(" ");
            return assert!(response.contains(&text), "{line}: {response}");
        }
        let began = Instant::now();
        let mut found = Vec::new();
        loop {
            assert!(began.elapsed() < PATIENCE, "{line}: only {found:?}");
            match read_message(stream, true) {
                Some((b'Z', _)) if what[0] != "closed" => break,
                Some((b'D', body)) if body.len() == 6 => found.push("row -".to_string()),
                Some((b'D', body)) => {
                    found.push(format!("row {}", linentrail::pg::statement::hex(&body[6..])))
                }
                Some((b'I', _)) => found.push("empty".to_string()),
                Some((b'E', body)) => {
                    let body = String::from_utf8(body).unwrap();
                    let field =
                        |name: char| body.split('\0').find_map(|f| f.strip_prefix(name)).map(str::to_string);
                    let detail = field('D').map_or(String::new(), |d| format!(" {d}"));
                    found.push(format!("error {}{detail}", field('C').unwrap()));
                    if body.starts_with("SFATAL") {
                        break;
                    }
                }
                Some(_) => {}
                None => {
                    found.push("closed".to_string());
                    break;
                }
            }
        }
        assert_eq!(found, [what.join(" ")], "{line}");
    }
}

fn read_http(stream: &mut TcpStream, line: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).unwrap_or(0), 1, "{line}: {}", String::from_utf8_lossy(&text));
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).unwrap();
    let length =
        head.split("Content-Length: ").nth(1).map_or(0, |l| l.split('\r').next().unwrap().parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    head + &String::from_utf8(body).unwrap()
}
