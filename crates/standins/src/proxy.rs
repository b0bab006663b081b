//! Runs the real proxy as a child process and writes its configuration files.

use crate::rig::events::EventLog;
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

/// Time limit for the console and the counters to answer on a slow machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// How to start the proxy.
#[derive(Debug, Clone, Default)]
pub struct Setup {
    /// Path of the program.
    pub program: PathBuf,
    /// Its configuration, in the format of the platform.
    pub config: Value,
    /// Whether OData is served.
    pub odata: bool,
    /// The DNS server at which to browse for members.
    pub browse: Option<SocketAddr>,
    /// Whether to echo its log on stderr.
    pub echo_log: bool,
    /// Its log filter.
    pub log: Option<String>,
    /// A listening socket for it to inherit, as from the platform.
    pub listener: Option<Arc<TcpListener>>,
    /// The folder that successive processes of the proxy share, passed as TMPDIR; none leaves TMPDIR unset.
    pub shared_folder: Option<PathBuf>,
    /// Text to append to the operators' file.
    pub operators: String,
    /// Text to write to the configuration file instead of `config`.
    pub config_text: Option<String>,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
    /// Whether to leave LINENTRAIL_FILE unset, as the deploy file does, so that the proxy reads the
    /// operators' file at the default path.
    pub as_shipped: bool,
    /// The event log that records which rules the proxy applies, and the number of the proxy there. Its log
    /// filter must include the target `rules`.
    pub rules: Option<(u32, EventLog)>,
    /// How long after SIGTERM it still accepts clients. `None` selects 3 s, longer than any test takes to
    /// connect a client.
    pub accept_after_term: Option<Duration>,
}

/// The settings of a class.
pub fn class(name: &str, idempotency: &str, (aim, deadline): (u64, u64)) -> Value {
    json!({"name": name, "aim_us": aim, "deadline_us": deadline, "late_value": 0.5,
        "idempotency": idempotency, "group": "all", "window_us": 5_000_000, "stream": false,
        "importance": 1.0})
}

/// The users' four classes: name, aim and deadline in ms. The class of writes comes last.
pub const CLASSES: [(&str, u64, u64); 4] = [
    ("yard-board", 200, 500),
    ("my-booking", 300, 1_200),
    ("monthly-report", 250, 750),
    ("place-order", 1_000, 3_000),
];

/// The settings of those classes, with aims and deadlines multiplied by `times`.
pub fn classes(times: u64) -> Value {
    let class_settings = |(name, aim, deadline): (&str, u64, u64)| {
        let idempotency = if name == "place-order" { "non_idempotent" } else { "read_like" };
        class(name, idempotency, (aim * 1000 * times, deadline * 1000 * times))
    };
    CLASSES.map(class_settings).to_vec().into()
}

/// Settings of one instance with the users' four classes and one tenant. Aims and deadlines are long, so that
/// test results do not depend on the machine's speed.
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

/// The configuration of a proxy that listens on a free port and starts with these members.
pub fn config(discovery: &str, members: &[Value], settings: Value, sockets: u64, memory_mb: u64) -> Value {
    json!({
        "name": "t", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "5",
        "known": {"generation": 1, "reset": true, "instances": members}, "settings": settings,
        "limits": {"sockets": sockets, "memory_mb": memory_mb}
    })
}

/// The number of counter lines printed and the last of them.
type PrintedCounters = Arc<(Mutex<(u64, String)>, Condvar)>;

/// A started process that may not serve yet. It is killed when dropped.
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
    /// Writes the files and starts the process.
    ///
    /// # Errors
    /// When the files cannot be written or the process cannot be started.
    pub fn new(setup: &Setup) -> Result<Self> {
        let dir = folder()?;
        let text = setup.config_text.clone().unwrap_or_else(|| setup.config.to_string());
        std::fs::write(dir.join("config.json"), text)?;
        std::fs::write(dir.join("linentrail.hcl"), setup.operators_file())?;
        let child = command(setup, &dir)?.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        Ok(ProxyProcess { child, dir })
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until the log says that the proxy serves, and reads the addresses from there.
    ///
    /// # Errors
    /// When the process ends first.
    pub fn wait_until_serving(mut self, setup: &Setup) -> Result<Proxy> {
        let (out, err) = (self.child.stdout.take(), self.child.stderr.take());
        let (Some(out), Some(err)) = (out, err) else { return Err(Error::other("no pipes")) };
        let mut lines = BufReader::new(err).lines();
        let mut log_lines = Vec::new();
        let mut address = |what: &str| {
            for line in lines.by_ref().map_while(Result::ok) {
                let found = line.contains(what).then(|| line.rsplit(' ').next()?.parse().ok()).flatten();
                log_lines.push(line);
                if found.is_some() {
                    return found;
                }
            }
            None
        };
        let has_console = setup.config.get("console").is_some();
        let console = if has_console { address("operators call at") } else { None };
        let pg = address("serving clients at");
        let odata = if setup.odata { address("serving OData at") } else { None };
        let all_found = odata.is_some() == setup.odata && console.is_some() == has_console;
        let (Some(pg), true) = (pg, all_found) else {
            return Err(Error::other(format!("the proxy did not start: {}", log_lines.join("; "))));
        };
        let (echo_log, rules) = (setup.echo_log, setup.rules.clone());
        let handle_line = move |line: String| {
            if let Some((proxy, log)) = &rules {
                log.record_rules_line(*proxy, &line);
            }
            if echo_log {
                eprintln!("proxy: {line}");
            }
        };
        // The log lines from before the proxy served are passed on, too.
        log_lines.into_iter().for_each(&handle_line);
        thread::spawn(move || lines.map_while(Result::ok).for_each(handle_line));
        let counters_printed = PrintedCounters::default();
        let writer = counters_printed.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let mut last = writer.0.lock().unwrap_or_else(PoisonError::into_inner);
                *last = (last.0 + 1, line);
                writer.1.notify_all();
            }
        });
        Ok(Proxy { process: self, counters_printed, pg, odata, console })
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

/// The command that starts the proxy with its files in `dir`.
fn command(setup: &Setup, dir: &Path) -> Result<Command> {
    let mut command = match &setup.listener {
        None => Command::new(&setup.program),
        // The shell moves the socket to descriptor 3, where the platform passes it.
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
    // Applied last, so that a test can override the variables above.
    command.envs(setup.environment.iter().cloned());
    Ok(command)
}

/// A proxy that serves.
pub struct Proxy {
    process: ProxyProcess,
    counters_printed: PrintedCounters,
    /// Address for PostgreSQL clients.
    pub pg: SocketAddr,
    /// Address for OData clients.
    pub odata: Option<SocketAddr>,
    /// Address of the console.
    pub console: Option<SocketAddr>,
}

/// Creates a new folder for each call.
fn folder() -> Result<PathBuf> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("linentrail-{}-{number}-{}", std::process::id(), now_ms()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Sends a signal to all of these processes with one command.
///
/// # Errors
/// When one of them has ended.
pub fn signal_all(ids: &[u32], signal: &str) -> Result<()> {
    let ids: Vec<String> = ids.iter().map(u32::to_string).collect();
    match Command::new("kill").arg(format!("-{signal}")).args(ids).stderr(Stdio::null()).status()?.success() {
        true => Ok(()),
        false => Err(Error::other("a proxy has ended")),
    }
}

impl Proxy {
    /// Starts a proxy and waits until it serves.
    ///
    /// # Errors
    /// When it cannot be started, or ends before it serves.
    pub fn start(setup: &Setup) -> Result<Self> {
        ProxyProcess::new(setup)?.wait_until_serving(setup)
    }

    /// As [`Proxy::start`]; calls `on_started` as soon as the process runs.
    ///
    /// # Errors
    /// When it cannot be started, or ends before it serves.
    pub fn start_with_hook(setup: &Setup, on_started: impl FnOnce()) -> Result<Self> {
        let process = ProxyProcess::new(setup)?;
        on_started();
        process.wait_until_serving(setup)
    }

    /// Sends a line to the console; returns the answer and the time it took.
    ///
    /// # Errors
    /// When there is no console or no answer.
    pub fn call_console(&self, line: &str) -> Result<(String, Duration)> {
        let started_at = Instant::now();
        let address = self.console.ok_or_else(|| Error::other("the proxy has no console"))?;
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(line.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok((answer, started_at.elapsed()))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.child.id()
    }

    /// The folder of its configuration files.
    pub fn dir(&self) -> &Path {
        &self.process.dir
    }

    /// Sends the process a signal, named as for `kill`.
    ///
    /// # Errors
    /// When the signal cannot be sent.
    pub fn signal(&self, signal: &str) -> Result<()> {
        signal_all(&[self.process.child.id()], signal)
    }

    /// Its current counters by name, which it prints on SIGUSR1.
    ///
    /// # Errors
    /// When it does not print them in time.
    pub fn counters(&self) -> Result<BTreeMap<String, u64>> {
        let (lock, arrived) = &*self.counters_printed;
        let before = lock.lock().unwrap_or_else(PoisonError::into_inner).0;
        self.signal("USR1")?;
        let guard = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let (last, wait_result) = arrived
            .wait_timeout_while(guard, ANSWER_TIMEOUT, |last| last.0 <= before)
            .unwrap_or_else(PoisonError::into_inner);
        if wait_result.timed_out() {
            return Err(Error::other("the proxy did not print its counters"));
        }
        let pair = |p: &str| p.split_once('=').and_then(|(n, v)| Some((n.to_string(), v.parse().ok()?)));
        Ok(last.1.split(' ').filter_map(pair).collect())
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        self.process.ended()
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    /// When waiting fails.
    pub fn wait(&mut self) -> Result<ExitStatus> {
        self.process.child.wait()
    }

    /// The number of open file descriptors of the process.
    ///
    /// # Errors
    /// When it has ended.
    pub fn descriptors(&self) -> Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.id()))?.count())
    }

    /// The CPU time that the process has used, in ns, and its resident memory, in KiB.
    ///
    /// # Errors
    /// When /proc does not have the values.
    pub fn usage(&self) -> Result<(u64, u64)> {
        let id = self.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"))?;
        let cpu = text.split(' ').next().and_then(|t| t.parse().ok());
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let memory =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
        cpu.zip(memory)
            .ok_or_else(|| Error::other("/proc lacks the CPU time or the resident memory of the process"))
    }
}
