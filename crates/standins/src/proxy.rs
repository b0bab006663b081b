//! The real proxy as a child process, with the files that it is told by.

use crate::rig::events::Log;
use crate::{dns, now_ms};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long the program may take to start or to print its counters on a slow machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// How the proxy is to start.
#[derive(Debug, Clone, Default)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// Its configuration, as the platform would give it.
    pub config: Value,
    /// Whether OData is served.
    pub odata: bool,
    /// The DNS server at which members are browsed for.
    pub browse: Option<SocketAddr>,
    /// Whether what it logs is passed on.
    pub echo_log: bool,
    /// Its log filter.
    pub log: Option<String>,
    /// A listener that it inherits, as the platform hands one on.
    pub listener: Option<Arc<TcpListener>>,
    /// The folder that its processes share; none: it gets none.
    pub shared_folder: Option<PathBuf>,
    /// More of the operators' file.
    pub operators: String,
    /// What stands in its configuration's file, where that is not the configuration.
    pub config_text: Option<String>,
    /// More of its environment.
    pub environment: Vec<(String, String)>,
    /// It is started as the deploy file says, from the repository's root: without an operators' file of its own.
    pub as_shipped: bool,
    /// Where it is told by which rules it acts, and as whom: the log must have the target `rules`.
    pub rules: Option<(u32, Log)>,
    /// How long after SIGTERM it still takes clients; none: longer than any test takes to bring one.
    pub accept_after_term: Option<Duration>,
}

/// The settings of a class.
pub fn class(name: &str, repeat: &str, (aim, deadline): (u64, u64)) -> Value {
    json!({"name": name, "aim_us": aim, "deadline_us": deadline, "late_value": 0.5, "idempotency": repeat,
        "group": "all", "window_us": 5_000_000, "stream": false, "importance": 1.0})
}

/// The users' four classes, by name: aim and deadline in ms. That of writes comes last.
pub const CLASSES: [(&str, u64, u64); 4] = [
    ("yard-board", 200, 500),
    ("my-booking", 300, 1_200),
    ("monthly-report", 250, 750),
    ("place-order", 1_000, 3_000),
];

/// The settings of those, at aims and deadlines so many times longer.
pub fn classes(times: u64) -> Value {
    let one = |(name, aim, deadline): (&str, u64, u64)| {
        let repeat = if name == "place-order" { "non_idempotent" } else { "read_like" };
        class(name, repeat, (aim * 1000 * times, deadline * 1000 * times))
    };
    CLASSES.map(one).to_vec().into()
}

/// Settings of one instance with the users' four classes and one tenant. Aims are long, so that no verdict depends on
/// the machine's speed.
pub fn settings() -> Value {
    let long = (8_000_000, 15_000_000);
    json!({
        "discovery": "automatic", "instances": 1, "my_zone": 0, "period_us": 5000, "zones": ["a"],
        "family_info": {"needs_by_class": ["bounded", "session", "any", "write"], "when_behind": "refuse",
            "max_age_us": [3_000_000, 0, 0, 0], "list_role": "off", "session_marks": "carried",
            "catch_up_wait_us": 0, "counted_from_us": 0},
        "services": [class("yard-board", "read_like", long), class("my-booking", "read_like", long),
            class("monthly-report", "read_like", long), class("place-order", "non_idempotent", long)],
        "tenants": [{"name": "acme", "share": 1.0, "quota_rps": 100.0}],
        "limits": {"cancelling": true, "probing": true, "retry_after": true, "max_retry_after_us": 2_000_000,
            "max_attempts": 8, "connect_timeout_us": 2_000_000, "keepalive_us": 30_000_000},
        "rules": {"cold_share": 0.15, "warm_after_us": 18_000_000, "fall_multiple": 2.0, "fall_us": 1_500_000}
    })
}

/// The configuration of a proxy on a free port that knows these members.
pub fn config(discovery: &str, known: &[Value], settings: Value, sockets: u64, memory_mb: u64) -> Value {
    json!({
        "name": "t", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "5",
        "known": {"generation": 1, "reset": true, "instances": known}, "settings": settings,
        "limits": {"sockets": sockets, "memory_mb": memory_mb}
    })
}

/// The line of counters printed last, and how many were.
type Printed = Arc<(Mutex<(u64, String)>, Condvar)>;

/// The program from its exec on, before anybody knows that it serves. It is killed when dropped.
#[derive(Debug)]
pub struct ProxyProcess {
    child: Child,
    dir: PathBuf,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl ProxyProcess {
    /// Writes its files and starts it.
    ///
    /// # Errors
    /// When that cannot be done.
    pub fn new(setup: &Setup) -> Result<Self> {
        let dir = folder()?;
        let text = setup.config_text.clone().unwrap_or_else(|| setup.config.to_string());
        std::fs::write(dir.join("config.json"), text)?;
        std::fs::write(dir.join("linentrail.hcl"), setup.operators_file())?;
        let child = command(setup, &dir)?.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        Ok(ProxyProcess { child, dir })
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until it serves.
    ///
    /// # Errors
    /// When it ends before it serves.
    pub fn wait_until_serving(mut self, setup: &Setup) -> Result<Proxy> {
        let (out, err) = (self.child.stdout.take(), self.child.stderr.take());
        let (Some(out), Some(err)) = (out, err) else { return Err(Error::other("no pipes")) };
        let mut lines = BufReader::new(err).lines();
        let mut said = Vec::new();
        let mut address = |what: &str| {
            for line in lines.by_ref().map_while(Result::ok) {
                let found = line.contains(what).then(|| line.rsplit(' ').next()?.parse().ok()).flatten();
                said.push(line);
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        let called = setup.config.get("console").is_some();
        let console = if called { address("operators call at") } else { None };
        let pg = address("serving clients at");
        let odata = if setup.odata { address("serving OData at") } else { None };
        let whole = odata.is_some() == setup.odata && console.is_some() == called;
        let (Some(pg), true) = (pg, whole) else {
            return Err(Error::other(format!("the proxy does not start: {}", said.join("; "))));
        };
        let (loud, rules) = (setup.echo_log, setup.rules.clone());
        let tell = move |line: String| {
            if let Some((proxy, log)) = &rules {
                log.rules(*proxy, &line);
            }
            if loud {
                eprintln!("proxy: {line}");
            }
        };
        // What was said before it served counts, too.
        said.into_iter().for_each(&tell);
        thread::spawn(move || lines.map_while(Result::ok).for_each(tell));
        let printed = Printed::default();
        let known = printed.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut last = known.0.lock().unwrap_or_else(PoisonError::into_inner);
                *last = (last.0 + 1, line);
                known.1.notify_all();
            }
        });
        Ok(Proxy { process: self, printed, pg, odata, console })
    }
}

impl Setup {
    fn operators_file(&self) -> String {
        let server = self.browse.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 9)));
        format!(
            "odata {{\n enabled = {}\n listen = \"127.0.0.1:0\"\n}}\n\
             dnssd {{\n browse = {}\n server = \"{server}\"\n service = \"{}\"\n}}\n\
             shutdown {{\n still_coming_ms = {}\n}}\n{}",
            self.odata,
            self.browse.is_some(),
            dns::SERVICE,
            self.accept_after_term.unwrap_or(Duration::from_secs(3)).as_millis(),
            self.operators
        )
    }
}

/// The command that starts it, with its files in `dir`.
fn command(setup: &Setup, dir: &Path) -> Result<Command> {
    let mut command = match &setup.listener {
        None => Command::new(&setup.program),
        // The shell puts it where the platform has it.
        Some(listener) => {
            let mut shell = Command::new("/bin/sh");
            shell.args(["-c", "exec \"$0\" 3<&0 0</dev/null"]).arg(&setup.program);
            shell.stdin(OwnedFd::from(listener.try_clone()?)).env("BALANCER_ACCEPT_FD", "3");
            shell
        }
    };
    command.env_remove("BALANCER_LISTEN").env_remove("RUST_LOG").env_remove("TMPDIR");
    if let Some(shared) = &setup.shared_folder {
        command.env("TMPDIR", shared);
    }
    if let Some(log) = &setup.log {
        command.env("RUST_LOG", log);
    }
    command
        .env("BALANCER_DISCOVERY", setup.config["discovery"].as_str().unwrap_or_default())
        .env("BALANCER_NAME", setup.config["name"].as_str().unwrap_or_default())
        .env("BALANCER_CONFIG", dir.join("config.json"))
        .env_remove("LINENTRAIL_FILE");
    if !setup.as_shipped {
        command.env("LINENTRAIL_FILE", dir.join("linentrail.hcl"));
    }
    // Last, so that a test can say otherwise.
    command.envs(setup.environment.iter().cloned());
    Ok(command)
}

/// The running program.
pub struct Proxy {
    process: ProxyProcess,
    printed: Printed,
    /// Where clients connect.
    pub pg: SocketAddr,
    /// Where OData clients do.
    pub odata: Option<SocketAddr>,
    /// Where operators call.
    pub console: Option<SocketAddr>,
}

/// A folder of this process's own, new with each call.
fn folder() -> Result<PathBuf> {
    static MADE: AtomicU64 = AtomicU64::new(0);
    let made = MADE.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("linentrail-{}-{made}-{}", std::process::id(), now_ms()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Sends all of these processes a signal at one moment.
///
/// # Errors
/// When one of them has gone.
pub fn signal_all(ids: &[u32], which: &str) -> Result<()> {
    let ids: Vec<String> = ids.iter().map(u32::to_string).collect();
    match Command::new("kill").arg(format!("-{which}")).args(ids).stderr(Stdio::null()).status()?.success() {
        true => Ok(()),
        false => Err(Error::other("a proxy has gone")),
    }
}

impl Proxy {
    /// Starts it and waits until it serves.
    ///
    /// # Errors
    /// When it cannot be started, or ends before it serves.
    pub fn start(setup: &Setup) -> Result<Self> {
        ProxyProcess::new(setup)?.wait_until_serving(setup)
    }

    /// The same, with a word as soon as the program runs.
    ///
    /// # Errors
    /// When it cannot be started, or ends before it serves.
    pub fn start_with_hook(setup: &Setup, runs: impl FnOnce()) -> Result<Self> {
        let launched = ProxyProcess::new(setup)?;
        runs();
        launched.wait_until_serving(setup)
    }

    /// The console's answer to a line, and the time it took.
    ///
    /// # Errors
    /// When there is no console, or no answer.
    pub fn call_console(&self, line: &str) -> Result<(String, Duration)> {
        let began = Instant::now();
        let address = self.console.ok_or_else(|| Error::other("it has no console"))?;
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(line.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok((answer, began.elapsed()))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.child.id()
    }

    /// The folder of its files.
    pub fn dir(&self) -> &Path {
        &self.process.dir
    }

    /// Sends it a signal, named as `kill` takes it.
    ///
    /// # Errors
    /// When that cannot be done.
    pub fn signal(&self, which: &str) -> Result<()> {
        signal_all(&[self.process.child.id()], which)
    }

    /// Its counters now, by name.
    ///
    /// # Errors
    /// When it does not print them.
    pub fn counters(&self) -> Result<BTreeMap<String, u64>> {
        let (lock, told) = &*self.printed;
        let before = lock.lock().unwrap_or_else(PoisonError::into_inner).0;
        self.signal("USR1")?;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let (last, late) = told
            .wait_timeout_while(guard, PATIENCE, |last| last.0 <= before)
            .unwrap_or_else(PoisonError::into_inner);
        if late.timed_out() {
            return Err(Error::other("the proxy prints no counters"));
        }
        let pair = |p: &str| p.split_once('=').and_then(|(n, v)| Some((n.to_string(), v.parse().ok()?)));
        Ok(last.1.split(' ').filter_map(pair).collect())
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        self.process.ended()
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// When that cannot be done.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.process.child.wait()
    }

    /// How many descriptors it holds.
    ///
    /// # Errors
    /// When it has ended.
    pub fn descriptors(&self) -> Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id()))?.count())
    }

    /// Processor time that it has used, in ns, and the memory that it holds, in KiB.
    ///
    /// # Errors
    /// When the machine does not tell.
    pub fn usage(&self) -> Result<(u64, u64)> {
        let id = self.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"))?;
        let cpu = text.split(' ').next().and_then(|t| t.parse().ok());
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let memory =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
        cpu.zip(memory).ok_or_else(|| Error::other("the machine does not tell what a process uses"))
    }
}
