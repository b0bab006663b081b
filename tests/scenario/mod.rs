//! A small language for scenarios on loopback sockets: the real program between stand-in clients, members and
//! discovery. Each line is one step, `who verb what`. Steps run in order, and a step whose expectation fails
//! fails the test.
//!
//! ```text
//! member p primary            starts a member of group 1; replicas give their lag in ms: member r replica
//!                             400
//! start [option ...]          starts the proxy with the members so far as its list. Options: odata: serves
//!                             OData; dnssd: has no list and browses DNS-SD for members; watching: watches
//!                             discovery; pushed: lists come from the proxy's own discovery agent, and the
//!                             drain grace is 500 ms; small: 40 descriptors; few: 60; scant: 16 MiB of
//!                             memory; brief: the settings say that members close connections idle for 500
//!                             ms; patient: connecting to a member may take 30 s; console: has a console;
//!                             handed: inherits its listener and gets a folder that its processes share;
//!                             traced: logs each request (the log is printed if the test fails)
//! dns does list p 2           the DNS server announces member p with this time to live in seconds; `broken p
//!                             2`: without its TXT record; `drop p`: no longer announces it; `garbage`: sends
//!                             answers that are no DNS messages
//! list does leaving p         discovery reports p as `active`, `leaving` or `left` (start watching)
//! list does moves p q         discovery reports the address of q for p; q is a member that it does not list
//! list does overbooked        well | overbooked | reset | silent | cut | noise | older | many | hasty: how
//!                             calls are answered from now on; waiting calls are answered that way at the
//!                             next change
//! list expect 1 watches       waits for this many calls: `watches`, `confirms` (watches that do not wait) or
//!                             `whole` (the full list); 0: there has been none
//! list expect heard           waits until a call of the proxy names the latest version of the list
//! list does move              the configuration names another discovery service, which starts with the same
//!                             list. `config does half` writes half of the configuration file, `config does
//!                             whole` all of it, and `hup` sends SIGHUP
//! config adds NAME read_like any   adds a class to the configuration; `config drops NAME` removes it;
//!                             `config sets limits/max_attempts 2` sets a value of the settings, `config
//!                             lacks limits/max_attempts` removes it. All take effect with `config does
//!                             whole` and `hup`; a value that is set before `start` applies from the start
//! counts NAME 1               waits until a counter of the proxy reaches this value; `counts NAME under 9`:
//!                             is below it now
//! p does hold                 answer | hold | reset | reset-held | half | full | error | miss: how p handles statements
//!                             from now on; twice: a second copy immediately after the answer; after: one 30
//!                             ms later; behind US: one this many microseconds later; broken N: a reset after
//!                             N bytes of the answer; stall: half an answer and no more; swapped: a row
//!                             before its description; unready: full without ReadyForQuery; noisy: full,
//!                             followed by invalid bytes; shut: leaves the startup of new connections
//!                             unanswered; boast: a report that cannot be true; mute: answers without role
//!                             and position; unplaced: without position; full-behind US: full, and a copy
//!                             this many microseconds later; marred PLACE CODE: an error `after-description`,
//!                             `after-row` or `after-completion` of a row, or a complete one `before` or
//!                             `behind` the answer
//! p does replica 9000         sets the role and the lag of p
//! a send read K C [after=MS]  client a sends a read of key K in class C by PostgreSQL, with more fields ...
//! a send write K HEX [k=KEY]  ... or a booking; `raw TEXT` sends a statement as it is, `bytes HEX` sends
//!                             bytes, `bytes` only connects, `hello` connects and sends the startup message,
//!                             `flood N` sends N more bytes, `sync` a Sync, `bye` a Terminate, `wire TEXT`
//!                             text to OData, with \n for line ends
//! o send GET K C [h=v ...]    client o sends a read by OData; also `POST K HEX` and `http METHOD TARGET`
//! a expect row HEX            the next answer: also `row -` if empty, `error CODE [detail]`, `empty`,
//!                             `closed`; for OData `STATUS [text in the response]`
//! a expect no refusal         an answer of any kind except 53300 or 57P03 (503 by OData), which promise that
//!                             a retry is harmless
//! sum 1 read K                all members together have received this many such statements
//! p expect 1 write K          waits until p has received this many such statements; more are an error
//! p expect under 2 write k    p has received fewer such statements so far
//! p expect 2 opened           waits until p has received this many connections
//! a close                     resets the connection; `a fin` closes the sending side, and a still receives
//! descriptors noted           stores the number of the proxy's descriptors; `descriptors more 6`: there are
//!                             at least 6 more; `descriptors back 1`: waits until there is at most 1 more
//! stop                        sends SIGTERM to the proxy; `gone` waits until it has exited with status 0
//! console 200 SUSPEND p       a call to the console is answered with this status within a second; the name
//!                             of a member stands for its id, and \n for a line end within the call
//! silent 40                   this many callers connect to the console and send nothing
//! upgrade                     a second process takes over from the first, which continues to run as `former`
//! o,n race POST K HEX ...     sends one request on the connections of two OData clients at the same moment;
//!                             `o,n expect one 201 and 412`: their answers, in either order
//! both SUSPEND a b            calls the consoles of both processes at once, alternating between them, once
//!                             for each member
//! former hangs                stops (SIGSTOP) the process that the next `upgrade` makes the former one;
//!                             `former resumes` after `upgrade` continues it
//! back out                    kills the new process, so that the former one goes on alone
//! shared NAME is TEXT         writes a file in the shared folder; `shared NAME missing`: there is no such
//!                             file; `blocked` puts a folder in its place, and `free` removes that folder
//! former 200 RESTORE p        as `console`, at the former process; `former stop`, `former gone` and `former
//!                             kill`
//! wait 50                     waits this many ms; `clock` starts a stopwatch, and `within 3000` fails if it
//!                             shows more ms
//! ```
#![allow(dead_code)]

use linentrail_standins::dns::DnsServer;
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::{entry, Registry};
use linentrail_standins::wire::{hex, message, query, unhex};
use linentrail_standins::{now_ms, wire};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Longer than any step takes on a slow machine, so only failing steps wait this long.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn read_message(stream: &mut TcpStream, tagged: bool) -> Option<(u8, Vec<u8>)> {
    wire::read(stream, tagged).ok()
}

fn reset(stream: &TcpStream) {
    let stream = socket2::SockRef::from(stream);
    stream.set_linger(Some(Duration::ZERO)).unwrap();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

#[derive(Default)]
struct ScenarioRunner {
    group: Group,
    members: Vec<(String, Member)>,
    clients: HashMap<String, TcpStream>,
    dns: DnsServer,
    registry: Registry,
    config: Value,
    /// Paths and values of the settings that the script sets before `start`.
    preset: Vec<(String, Value)>,
    stopwatch: Option<Instant>,
    descriptors: usize,
    proxy: Option<Proxy>,
    /// The setup of `proxy`, used again for an upgrade.
    setup: Setup,
    former: Option<Proxy>,
    silent_callers: Vec<TcpStream>,
    ids: u64,
}

/// Creates a folder that the processes of one proxy share. `ScenarioRunner` removes it when dropped.
fn create_shared_folder() -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("linentrail-shared-{}-{number}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

impl Drop for ScenarioRunner {
    fn drop(&mut self) {
        (self.proxy, self.former) = (None, None);
        self.setup.shared_folder.as_ref().map(std::fs::remove_dir_all);
    }
}

/// Waits until a condition holds; panics with the message of `failure` if it does not in time.
fn wait_until(condition: impl Fn() -> bool, failure: impl Fn() -> String) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < STEP_TIMEOUT, "{}", failure());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Runs a scenario; panics at the first step that fails.
pub fn run_scenario(script: &str) {
    let mut runner = ScenarioRunner::default();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        runner.step(line);
    }
}

impl ScenarioRunner {
    fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let rest = |n: usize| line.splitn(n + 1, ' ').nth(n).unwrap_or_default();
        match words[..] {
            ["wait", ms] => thread::sleep(Duration::from_millis(ms.parse().unwrap())),
            ["clock"] => self.stopwatch = Some(Instant::now()),
            ["within", ms] => {
                let passed = self.stopwatch.expect("`clock` must come before `within`").elapsed().as_millis();
                assert!(passed <= ms.parse().unwrap(), "{line}: {passed} ms");
            }
            ["member", name, "primary"] => self.start_member(name, true, 0),
            ["member", name, "replica", lag] => self.start_member(name, false, lag.parse().unwrap()),
            ["start", ref with @ ..] => self.start(with),
            ["descriptors", "noted"] => self.descriptors = self.proxy().descriptors().unwrap(),
            ["descriptors", "more", by] => {
                let minimum = self.descriptors + by.parse::<usize>().unwrap();
                assert!(self.proxy().descriptors().unwrap() >= minimum, "{line}");
            }
            ["descriptors", "back", more] => {
                let limit = self.descriptors + more.parse::<usize>().unwrap();
                let open = || self.proxy().descriptors().unwrap();
                wait_until(
                    || open() <= limit,
                    || format!("{line}: {} open, expected at most {limit}", open()),
                );
            }
            ["list", "does", "move"] => {
                let whole = self.registry.list();
                self.registry = Registry::default();
                let address = self.registry.start(whole).to_string();
                let mut config = std::mem::take(&mut self.config);
                config["discovery"] = address.into();
                self.config = config;
            }
            ["config", "adds", name, effect, need] => {
                let class = proxy::class(name, effect, (8_000_000, 15_000_000));
                self.class_settings().0.push(class);
                self.class_settings().1.push(need.into());
                self.class_settings().2.push(0.into());
            }
            ["config", "drops", name] => {
                let at = self.class_settings().0.iter().position(|c| c["name"] == *name).expect(line);
                self.class_settings().0.remove(at);
                self.class_settings().1.remove(at);
                self.class_settings().2.remove(at);
            }
            ["config", "sets", path, ..] => {
                let value = serde_json::from_str(rest(3)).expect(line);
                if self.proxy.is_none() {
                    return self.preset.push((path.to_string(), value));
                }
                *self.config.pointer_mut(&format!("/settings/{path}")).expect(line) = value;
            }
            ["config", "lacks", path] => {
                let (within, name) = path.rsplit_once('/').expect(line);
                let within = self.config.pointer_mut(&format!("/settings/{within}")).expect(line);
                within.as_object_mut().unwrap().remove(name).expect(line);
            }
            ["config", "does", how] => {
                let text = self.config.to_string();
                let part = if how == "half" { &text[..text.len() / 2] } else { &text };
                std::fs::write(self.proxy().dir().join("config.json"), part).unwrap();
            }
            ["list", "does", behaviour] => self.registry.set_behaviour(behaviour.parse().expect(line)),
            ["list", "expect", "heard"] => {
                let heard = || self.registry.calls().newest_version == self.registry.version();
                wait_until(heard, || format!("{line}: {:?}", self.registry.calls()));
            }
            ["list", "expect", minimum, kind] => self.expect_calls(line, minimum.parse().unwrap(), kind),
            ["list", "does", "moves", who, to] => {
                let index = self.members.iter().position(|(n, _)| n == who).expect("a member");
                self.registry.set_address(index, self.member_named(to).address());
            }
            ["list", "does", lifecycle, who] => {
                let index = self.members.iter().position(|(n, _)| n == who).expect("a member");
                self.registry.set_lifecycle(index, lifecycle);
            }
            ["dns", "does", ref what @ ..] => self.set_dns(what),
            ["counts", name, minimum] => self.expect_counter(name, minimum.parse().unwrap()),
            ["sum", count, what, key] => {
                let what = format!("{what} {key}");
                let received: usize =
                    self.members.iter().map(|(_, member)| member.statement_count(&what)).sum();
                assert_eq!(received, count.parse::<usize>().unwrap(), "{line}");
            }
            ["console", code, ..] => self.expect_console(self.proxy(), code, rest(2), line),
            ["silent", n] => {
                let address = self.proxy().console.expect("start console");
                let connect = |_| TcpStream::connect(address).unwrap();
                self.silent_callers.extend((0..n.parse().unwrap()).map(connect));
            }
            ["upgrade"] => {
                let next = Proxy::start(&self.setup).expect("the next process starts");
                self.former = self.proxy.replace(next);
            }
            ["back", "out"] => self.proxy = self.former.take(),
            ["shared", name, "missing"] => {
                let shared = self.setup.shared_folder.as_ref().expect("start handed");
                assert!(!shared.join("linentrail-t").join(name).exists(), "{line}");
            }
            ["shared", name, blocked @ ("blocked" | "free")] => {
                let path =
                    self.setup.shared_folder.as_ref().expect("start handed").join("linentrail-t").join(name);
                match blocked {
                    "blocked" => {
                        let _ = std::fs::remove_file(&path);
                        std::fs::create_dir(path).unwrap();
                    }
                    _ => std::fs::remove_dir(path).unwrap(),
                }
            }
            ["shared", name, "is", ..] => {
                let shared = self.setup.shared_folder.as_ref().expect("start handed");
                std::fs::write(shared.join("linentrail-t").join(name), rest(3)).unwrap();
            }
            ["both", call, ref who @ ..] => {
                let (here, there) = (self.proxy(), self.former.as_ref().expect("upgrade"));
                thread::scope(|scope| {
                    for (n, name) in who.iter().enumerate() {
                        let (proxy, call) = (if n % 2 == 0 { here } else { there }, format!("{call} {name}"));
                        let this = &*self;
                        scope.spawn(move || this.expect_console(proxy, "200", &call, line));
                    }
                });
            }
            ["former", "hangs"] => self.proxy().signal("STOP").unwrap(),
            ["former", "resumes"] => self.former.as_ref().unwrap().signal("CONT").unwrap(),
            ["former", "stop"] => self.former.as_ref().unwrap().signal("TERM").unwrap(),
            ["former", "gone"] => assert!(self.former.take().unwrap().wait().unwrap().success(), "{line}"),
            ["former", "kill"] => drop(self.former.take()),
            ["former", code, ..] => self.expect_console(self.former.as_ref().unwrap(), code, rest(2), line),
            ["stop"] => self.proxy().signal("TERM").unwrap(),
            ["hup"] => self.proxy().signal("HUP").unwrap(),
            ["gone"] => assert!(self.proxy.as_mut().unwrap().wait().unwrap().success(), "{line}"),
            ["counts", name, "under", most] => {
                let seen = self.proxy().counters().unwrap().get(name).copied().unwrap_or_default();
                assert!(seen < most.parse().unwrap(), "{line}: {seen}");
            }
            [who, "does", "replica", lag] => self.member_named(who).set_role(false, lag.parse().unwrap()),
            [who, "does", "primary"] => self.member_named(who).set_role(true, 0),
            [who, "does", ..] => self.member_named(who).set_behaviour(rest(2).parse().expect(line)),
            [who, "fin"] => self.clients[who].shutdown(std::net::Shutdown::Write).unwrap(),
            [who, "expect", count, "opened"] => {
                let (count, opened) = (count.parse().unwrap(), || self.member_named(who).totals().2);
                wait_until(|| opened() >= count, || format!("{line}: {}", opened()));
            }
            [who, "close"] => reset(&self.clients.remove(who).expect("a client")),
            [who, "send", ref what @ ..] => self.send(who, what, rest(3)),
            [who, "race", ref what @ ..] => self.race(who, what),
            [who, "expect", "one", one, "and", other] => self.expect_both(who, [one, other], line),
            [who, "expect", "under", most, what, key] => {
                let received = self.member_named(who).statement_count(&format!("{what} {key}"));
                assert!(received < most.parse().unwrap(), "{line}: {received}");
            }
            [who, "expect", count, what, key] if self.members.iter().any(|(n, _)| n == who) => {
                self.expect_statements(who, count.parse().unwrap(), &format!("{what} {key}"), line)
            }
            [who, "expect", ref what @ ..] => self.expect(who, what, line),
            _ => panic!("no such step: {line}"),
        }
    }

    /// The classes in the configuration, with their consistency needs and maximum ages.
    fn class_settings(&mut self) -> (&mut Vec<Value>, &mut Vec<Value>, &mut Vec<Value>) {
        let settings = self.config["settings"].as_object_mut().unwrap();
        let (mut services, mut family) = (None, None);
        for (name, value) in settings.iter_mut() {
            match name.as_str() {
                "services" => services = value.as_array_mut(),
                "family_info" => family = value.as_object_mut(),
                _ => {}
            }
        }
        let (mut needs, mut ages) = (None, None);
        for (name, value) in family.unwrap().iter_mut() {
            match name.as_str() {
                "needs_by_class" => needs = value.as_array_mut(),
                "max_age_us" => ages = value.as_array_mut(),
                _ => {}
            }
        }
        (services.unwrap(), needs.unwrap(), ages.unwrap())
    }

    fn proxy(&self) -> &Proxy {
        self.proxy.as_ref().expect("`start` must come before this step")
    }

    /// Calls the console and expects an answer with this status within a second.
    fn expect_console(&self, proxy: &Proxy, code: &str, call: &str, line: &str) {
        let id = |word: &str| match self.members.iter().position(|(n, _)| n == word) {
            Some(index) => {
                entry(index, self.members[index].1.address())["instanceId"].as_str().unwrap().to_string()
            }
            None => word.to_string(),
        };
        let call: Vec<String> = call.replace("\\n", "\n").split(' ').map(id).collect();
        let (answer, took) = proxy.call_console(&format!("{}\n", call.join(" "))).unwrap();
        assert!(answer.starts_with(&format!("{code} ")) && answer.ends_with('\n'), "{line}: {answer}");
        assert!(took < Duration::from_secs(1), "{line}: {took:?}");
    }

    fn start_member(&mut self, name: &str, primary: bool, lag: u64) {
        let member = Member::start(&self.group, primary, lag, Capacity::default());
        self.members.push((name.to_string(), member));
    }

    fn member_named(&self, who: &str) -> &Member {
        &self.members.iter().find(|(n, _)| n == who).expect("a member").1
    }

    /// Waits until a member has received `count` such statements, and checks that it has not received more.
    fn expect_statements(&self, who: &str, count: usize, what: &str, line: &str) {
        let (member, started_at) = (self.member_named(who), Instant::now());
        while member.statement_count(what) < count && started_at.elapsed() < STEP_TIMEOUT {
            thread::sleep(Duration::from_millis(2));
        }
        assert_eq!(member.statement_count(what), count, "{line}: saw {:?}", member.statements());
    }

    fn set_dns(&self, what: &[&str]) {
        match *what {
            ["garbage"] => self.dns.send_garbage(),
            ["drop", who] => self.dns.remove_instance(who),
            [how, who, ttl] => {
                let port = self.member_named(who).address().port();
                self.dns.add_instance(who, port, ttl.parse().unwrap(), how == "list");
            }
            _ => panic!("unknown step of dns: {what:?}"),
        }
    }

    fn expect_counter(&self, name: &str, minimum: u64) {
        let counters = || self.proxy().counters().unwrap();
        let reached = || counters().get(name).is_some_and(|n| *n >= minimum);
        wait_until(reached, || format!("{name} did not reach {minimum}: {:?}", counters()));
    }

    fn expect_calls(&self, line: &str, minimum: usize, kind: &str) {
        let received = || match (self.registry.calls(), kind) {
            (calls, "watches") => calls.watches,
            (calls, "whole") => calls.whole,
            (calls, "confirms") => calls.confirms,
            _ => panic!("{line}: expected watches, confirms or whole"),
        };
        assert!(minimum > 0 || received() == 0, "{line}: {:?}", self.registry.calls());
        wait_until(|| received() >= minimum, || format!("{line}: {:?}", self.registry.calls()));
    }

    fn start(&mut self, with: &[&str]) {
        let words = [
            "odata", "dnssd", "watching", "pushed", "small", "few", "brief", "scant", "console", "handed",
            "patient", "traced",
        ];
        let [odata, dnssd, watching, pushed, small, few, brief, scant, console, handed, patient, traced] =
            words.map(|w| with.contains(&w));
        let members = self.members.iter().filter(|_| !dnssd).enumerate();
        let list: Vec<_> = members.map(|(i, (_, m))| entry(i, m.address())).collect();
        let mut settings = proxy::settings();
        if brief {
            settings["limits"]["keepalive_us"] = 500_000.into();
        }
        if patient {
            settings["limits"]["connect_timeout_us"] = 30_000_000.into();
        }
        for (path, value) in self.preset.drain(..) {
            *settings.pointer_mut(&format!("/{path}")).expect("a setting of that name") = value;
        }
        let mut discovery = "127.0.0.1:9".to_string();
        if watching {
            settings["discovery"] = "subscribe".into();
        }
        if pushed {
            settings["rules"]["drain_grace_us"] = 500_000.into();
        }
        if watching || pushed {
            discovery = self.registry.start(list.clone().into()).to_string();
        }
        let sockets = if small {
            40
        } else if few {
            60
        } else {
            1024
        };
        self.config = proxy::config(&discovery, &list, settings, sockets, if scant { 16 } else { 192 });
        if console {
            self.config["console"] = "127.0.0.1:0".into();
        }
        let listener = || Arc::new(std::net::TcpListener::bind("127.0.0.1:0").unwrap());
        let setup = Setup {
            program: env!("CARGO_BIN_EXE_linentrail").into(),
            config: self.config.clone(),
            odata,
            browse: dnssd.then(|| self.dns.start()),
            echo_log: true,
            log: traced.then(|| "info,request=debug".to_string()),
            listener: handed.then(listener),
            shared_folder: handed.then(create_shared_folder),
            ..Setup::default()
        };
        self.proxy = Some(Proxy::start(&setup).expect("the proxy starts"));
        self.setup = setup;
        // OData Repeatable Requests count in whole seconds, so wait until the second in which the process
        // started is over.
        if odata {
            thread::sleep(Duration::from_millis(1_050 - now_ms() % 1_000));
        }
    }

    fn client(&mut self, who: &str, odata: bool, startup: bool) -> &mut TcpStream {
        let proxy = self.proxy();
        let address = if odata { proxy.odata.expect("start odata") } else { proxy.pg };
        self.clients.entry(who.to_string()).or_insert_with(|| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
            if startup {
                stream.write_all(&wire::startup()).unwrap();
                while read_message(&mut stream, true).expect("ReadyForQuery").0 != b'Z' {}
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
            ["write", key, value, ref more @ ..] => {
                let more: String = more.iter().map(|m| format!(",{m}")).collect();
                format!(
                    "INSERT INTO records (k, v) VALUES ('{key}', '\\x{value}') RETURNING v /* id={id:016x},c=place-order,{fixed}{more} */"
                )
            }
            ["raw", ..] => raw.to_string(),
            ["bye"] => return self.client(who, false, true).write_all(&message(b'X', &[])).unwrap(),
            ["wire", ..] => {
                let text = raw.replace("\\n", "\r\n");
                return self.client(who, true, false).write_all(text.as_bytes()).unwrap();
            }
            ["sync"] => return self.client(who, false, true).write_all(&message(b'S', &[])).unwrap(),
            // The startup message is sent while connecting.
            ["hello" | "bytes"] => {
                self.client(who, false, what[0] == "hello");
                return;
            }
            ["flood", n] => {
                // The proxy may close the connection before it has read everything.
                let _ = self.client(who, false, true).write_all(&vec![b'x'; n.parse().unwrap()]);
                return;
            }
            ["bytes", hex] => return self.client(who, false, false).write_all(&unhex(hex)).unwrap(),
            _ => {
                let text = self.http_request(what);
                return self.client(who, true, false).write_all(text.as_bytes()).unwrap();
            }
        };
        self.client(who, false, true).write_all(&query(&sql)).unwrap();
    }

    /// Sends one request on the connections of two clients at the same moment.
    fn race(&mut self, who: &str, what: &[&str]) {
        let text = self.http_request(what);
        let streams: Vec<&TcpStream> = who.split(',').map(|one| &self.clients[one]).collect();
        let start = std::sync::Barrier::new(streams.len());
        thread::scope(|scope| {
            for mut stream in streams {
                let (start, text) = (&start, &text);
                scope.spawn(move || {
                    start.wait();
                    stream.write_all(text.as_bytes()).unwrap();
                });
            }
        });
    }

    /// Expects two statuses for two clients, in either order.
    fn expect_both(&mut self, who: &str, wanted: [&str; 2], line: &str) {
        let read = |one| {
            let response = read_http(self.clients.get_mut(one).expect("a client"), line);
            response.split(' ').nth(1).unwrap_or_default().to_string()
        };
        let mut got: Vec<String> = who.split(',').map(read).collect();
        got.sort_unstable();
        assert_eq!(got, wanted, "{line}");
    }

    /// Builds an HTTP request. `id=` and `sent=` (seconds ago) set the Repeatable Requests fields; any other
    /// `name=value` sets the field of that name, and an empty value leaves the field out.
    fn http_request(&self, what: &[&str]) -> String {
        use base64::Engine;
        let (method, target, class, body, fields) = match *what {
            ["GET", key, class, ref more @ ..] => {
                ("GET", format!("/records('{key}')"), class, String::new(), more)
            }
            ["POST", key, value, ref more @ ..] => {
                let value = base64::engine::general_purpose::URL_SAFE.encode(unhex(value));
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
                    let ago: i64 = value.parse().unwrap();
                    let (now, span) = (SystemTime::now(), Duration::from_secs(ago.unsigned_abs()));
                    let at = if ago < 0 { now + span } else { now - span };
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
        if what == ["no", "refusal"] {
            return expect_no_refusal(stream, line);
        }
        if let Ok(status) = what[0].parse::<u16>() {
            let response = read_http(stream, line);
            assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{line}: {response}");
            let text = what[1..].join(" ");
            return assert!(response.contains(&text), "{line}: {response}");
        }
        let started_at = Instant::now();
        let mut found = Vec::new();
        loop {
            assert!(started_at.elapsed() < STEP_TIMEOUT, "{line}: only {found:?}");
            match read_message(stream, true) {
                Some((b'Z', _)) if what[0] != "closed" => break,
                Some((b'D', body)) if body.len() == 6 => found.push("row -".to_string()),
                Some((b'D', body)) => found.push(format!("row {}", hex(&body[6..]))),
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

/// Reads one answer of either front and expects that it is no refusal.
fn expect_no_refusal(stream: &mut TcpStream, line: &str) {
    let mut first = [0];
    stream.peek(&mut first).expect("an answer");
    if first == *b"H" {
        let response = read_http(stream, line);
        return assert!(!response.starts_with("HTTP/1.1 503 "), "{line}: {response}");
    }
    loop {
        match read_message(stream, true).expect("a whole answer") {
            (b'Z', _) => return,
            (b'E', body) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                let refused = ["C53300", "C57P03"].iter().any(|code| text.split('\0').any(|f| f == *code));
                assert!(!refused, "{line}: {text:?}");
            }
            _ => {}
        }
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
