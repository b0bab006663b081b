//! Starts proxies with the `run` command of the deploy file, and ends them.

use crate::World;
use std::fs::File;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// All processes that were started, so that none is left.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// How to start one proxy.
pub struct Setup<'a> {
    pub name: &'a str,
    /// The configuration's text.
    pub config: String,
    /// The operators' file.
    pub operators: String,
    /// The second address.
    pub console: Option<SocketAddr>,
    /// The clients' listener that the platform holds.
    pub listener: Option<&'a TcpListener>,
    /// The folder that the processes of one proxy share.
    pub shared: Option<PathBuf>,
}

/// A process that was started.
#[derive(Clone, Copy)]
pub struct Proxy {
    pub pid: u32,
}

/// Ends all processes that were started.
pub fn kill_all() {
    for child in STARTED.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let text =
        std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy/balancer.toml: {e}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run command")?;
    Ok(line.trim_end().trim_end_matches('"').to_string())
}

/// A free port of 127.0.0.1.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Starts a proxy; does not wait until it serves. `instance` tells its files from those of others.
pub fn start(world: &World, instance: &str, setup: &Setup) -> Result<Proxy, String> {
    let fault = |e: std::io::Error| format!("{instance}: {e}");
    let config = world.folder.join(format!("{instance}.json"));
    let operators = world.folder.join(format!("{instance}.hcl"));
    std::fs::write(&config, &setup.config).map_err(fault)?;
    std::fs::write(&operators, &setup.operators).map_err(fault)?;
    let log = File::create(world.folder.join(format!("{instance}.log"))).map_err(fault)?;
    let mut command = Command::new("/bin/sh");
    let run = run_command()?;
    match setup.listener {
        // The shell moves the listener from its standard input to descriptor 3.
        Some(listener) => {
            command.arg("-c").arg(format!("exec 3<&0 0</dev/null; {run}"));
            command.stdin(OwnedFd::from(listener.try_clone().map_err(fault)?)).env("BALANCER_ACCEPT_FD", "3");
        }
        None => {
            command.arg("-c").arg(&run).stdin(Stdio::null()).env_remove("BALANCER_ACCEPT_FD");
        }
    }
    for name in ["BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_CONSOLE", "TMPDIR"] {
        command.env_remove(name);
    }
    if let Some(console) = setup.console {
        command.env("BALANCER_CONSOLE", console.to_string());
    }
    if let Some(shared) = &setup.shared {
        command.env("TMPDIR", shared);
    }
    command.env("BALANCER_NAME", setup.name).env("BALANCER_CONFIG", config).env("LINENTRAIL_FILE", operators);
    command.env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_string()));
    // A proxy does not outlive the case, whatever ends it.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL, 0u64, 0u64, 0u64) {
            0 => Ok(()),
            _ => Err(std::io::Error::last_os_error()),
        });
    }
    let child = command.stdout(Stdio::null()).stderr(log).spawn().map_err(fault)?;
    let pid = child.id();
    STARTED.lock().unwrap().push(child);
    world.record.line(format!("started {instance}"));
    Ok(Proxy { pid })
}

impl Proxy {
    /// Sends a signal, named as for kill(1).
    pub fn signal(self, signal: &str) -> Result<(), String> {
        let status = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{signal} {}", self.pid))
            .status()
            .map_err(|e| e.to_string())?;
        if status.success() {
            Ok(())
        } else {
            Err(format!("signal {signal} could not be sent"))
        }
    }

    /// The exit status, if the process has ended.
    pub fn ended(self) -> Option<String> {
        let mut started = STARTED.lock().unwrap();
        let child = started.iter_mut().find(|child| child.id() == self.pid)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits for the process to end.
    pub fn wait_ended(self, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Waits until somebody listens at an address.
pub fn wait_listening(address: SocketAddr, limit: Duration) -> Result<(), String> {
    let until = Instant::now() + limit;
    while TcpStream::connect(address).is_err() {
        if Instant::now() >= until {
            return Err(format!("nobody listens at {address}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// One call at the second address.
pub fn console(address: SocketAddr, line: &str) -> Option<String> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.trim().to_string())
}

/// Waits until STATUS is answered by 200.
pub fn wait_ready(address: SocketAddr, limit: Duration) -> Result<(), String> {
    let until = Instant::now() + limit;
    loop {
        if console(address, "STATUS").is_some_and(|answer| answer.starts_with("200")) {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(format!("no yes to STATUS at {address}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
