//! Stand-ins for everything that surrounds linentrail, on loopback addresses: members with a shared log and
//! injectable faults, discovery, a DNS server, clients of both fronts, and the proxy itself as a child process.
//!
//! The tests' scenarios and the lab's measurements use the same implementation. Stand-ins run on a shared runtime
//! with its own threads, so the code that uses them may block.

pub mod client;
pub mod dns;
pub mod group;
pub mod member;
pub mod proxy;
pub mod registry;
pub mod rig;
pub mod shim;
pub mod wire;

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::runtime::{Builder, Handle, Runtime};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The runtime on which the stand-ins run.
///
/// # Panics
/// When no threads can be created.
pub fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    let start = || Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("threads");
    RUNTIME.get_or_init(start).handle()
}

/// A listener on a free port of 127.0.0.1, with its address.
///
/// # Panics
/// When no port is free.
pub(crate) fn listener() -> (tokio::net::TcpListener, std::net::SocketAddr) {
    listener_at(std::net::Ipv4Addr::LOCALHOST)
}

/// As [`listener`], on another loopback address.
///
/// # Panics
/// When no port is free.
pub(crate) fn listener_at(ip: std::net::Ipv4Addr) -> (tokio::net::TcpListener, std::net::SocketAddr) {
    let _entered = runtime().enter();
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a socket that does not block");
    let address = listener.local_addr().expect("an address");
    (tokio::net::TcpListener::from_std(listener).expect("a listener"), address)
}
