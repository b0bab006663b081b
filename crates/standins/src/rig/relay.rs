//! Fault injection: a TCP or UDP relay between two parties that forwards everything until a fault is set.
//!
//! A relay cannot keep the kernel from completing a handshake. During a silent cut, connections are therefore still
//! established, but nothing is forwarded on them. Bytes that were sent during the cut arrive when it ends, as TCP
//! would retransmit them.

use crate::{listener, runtime};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Chunks that are buffered in one direction of a connection, or datagrams of one UDP client.
const QUEUE_LENGTH: usize = 64;
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of clients of a UDP relay, each of which has its own socket.
const UDP_CLIENTS_MAX: usize = 256;
const DATAGRAM_BYTES: usize = 2048;

/// How a relay treats the data that it forwards. Its `Debug` form is recorded in the event log.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fault {
    /// Nothing is forwarded from the connecting party.
    pub mute_up: bool,
    /// Nothing is forwarded to the connecting party.
    pub mute_down: bool,
    /// Minimum delay of everything, and the maximum random addition to it.
    pub delay: (Duration, Duration),
    /// Bytes per second in each direction; 0: unlimited.
    pub rate: u64,
    /// Connections are reset once this many bytes have passed on them, both directions together.
    pub reset_after: Option<u64>,
    /// Open connections are reset this long after the fault was set.
    pub reset_late: Option<Duration>,
    /// Share of datagrams that are lost, in parts of 1,000.
    pub lost: u32,
    /// Share of datagrams that are duplicated, in parts of 1,000.
    pub twice: u32,
    /// Share of datagrams that are held back until the next one has passed, in parts of 1,000.
    pub swapped: u32,
}

impl FromStr for Fault {
    type Err = String;

    /// Parses `well`, `silent`, `silent up`, `silent down`, `delay MS [JITTER]`, `rate BYTES`, `reset BYTES`, `late
    /// MS`, `lossy LOST TWICE SWAPPED` in parts of 1,000.
    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split(' ').collect();
        let number =
            |word: &str| word.parse::<u64>().map_err(|_| format!("'{word}' in '{text}' is not a number"));
        let ms = |word: &str| number(word).map(Duration::from_millis);
        let parts = |word: &str| {
            number(word)?
                .try_into()
                .ok()
                .filter(|n: &u32| *n <= 1000)
                .ok_or(format!("'{word}' is above 1000"))
        };
        let well = Fault::default();
        Ok(match words[..] {
            ["well"] => well,
            ["silent"] => Fault { mute_up: true, mute_down: true, ..well },
            ["silent", "up"] => Fault { mute_up: true, ..well },
            ["silent", "down"] => Fault { mute_down: true, ..well },
            ["delay", min_delay] => Fault { delay: (ms(min_delay)?, Duration::ZERO), ..well },
            ["delay", min_delay, jitter] => Fault { delay: (ms(min_delay)?, ms(jitter)?), ..well },
            ["rate", bytes] => Fault { rate: number(bytes)?, ..well },
            ["reset", bytes] => Fault { reset_after: Some(number(bytes)?), ..well },
            ["late", after] => Fault { mute_up: true, mute_down: true, reset_late: Some(ms(after)?), ..well },
            ["lossy", lost, twice, swapped] => {
                Fault { lost: parts(lost)?, twice: parts(twice)?, swapped: parts(swapped)?, ..well }
            }
            _ => return Err(format!("unknown link fault '{text}'")),
        })
    }
}

/// A relay. Clones share the same relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
}

impl Relay {
    /// Starts a TCP relay on a free port; `seed` determines its jitter.
    pub fn tcp(to: SocketAddr, seed: u64) -> Self {
        let (listener, address) = listener();
        let fault = Arc::new(watch::channel(Fault::default()).0);
        runtime().spawn(relay_tcp(listener, to, fault.subscribe(), fastrand::Rng::with_seed(seed)));
        Relay { address, fault }
    }

    /// Starts a UDP relay on a free port.
    ///
    /// # Panics
    /// If there is no free port.
    pub fn udp(to: SocketAddr, seed: u64) -> Self {
        let _entered = runtime().enter();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_nonblocking(true).expect("a socket that does not block");
        let address = socket.local_addr().expect("an address");
        let socket = UdpSocket::from_std(socket).expect("a socket");
        let fault = Arc::new(watch::channel(Fault::default()).0);
        let rng = fastrand::Rng::with_seed(seed);
        runtime().spawn(relay_udp(Arc::new(socket), to, fault.subscribe(), rng));
        Relay { address, fault }
    }

    /// Starts a relay for both TCP and UDP on one free port.
    ///
    /// # Panics
    /// If there is no free port.
    pub fn both(to: SocketAddr, seed: u64) -> Self {
        let _entered = runtime().enter();
        let (listener, address, socket) = loop {
            let (listener, address) = listener();
            if let Ok(socket) = std::net::UdpSocket::bind(address) {
                break (listener, address, socket);
            }
        };
        socket.set_nonblocking(true).expect("a socket that does not block");
        let socket = UdpSocket::from_std(socket).expect("a socket");
        let fault = Arc::new(watch::channel(Fault::default()).0);
        let mut rng = fastrand::Rng::with_seed(seed);
        runtime().spawn(relay_tcp(listener, to, fault.subscribe(), rng.fork()));
        runtime().spawn(relay_udp(Arc::new(socket), to, fault.subscribe(), rng));
        Relay { address, fault }
    }

    /// The address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn relay_tcp(
    listener: TcpListener,
    to: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut rng: fastrand::Rng,
) {
    while let Ok((near, _)) = listener.accept().await {
        let (fault, rng) = (fault.clone(), rng.fork());
        tokio::spawn(connection(near, to, fault, rng));
    }
}

async fn connection(
    near: TcpStream,
    to: SocketAddr,
    mut fault: watch::Receiver<Fault>,
    mut rng: fastrand::Rng,
) {
    // A connection that is established during a cut is forwarded only after the cut.
    if fault.wait_for(|f| !f.mute_up).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let linger = [socket2::SockRef::from(&near).try_clone(), socket2::SockRef::from(&far).try_clone()];
    // The halves of `tokio::io::split` do not shut down the stream when they are dropped. Halves that do would turn
    // each reset into an orderly close.
    let (near_in, near_out) = split(near);
    let (far_in, far_out) = split(far);
    let (passed, seen) = watch::channel(0u64);
    let passed = Arc::new(passed);
    let up = pump((near_in, far_out), fault.clone(), |f| f.mute_up, passed.clone(), rng.fork());
    let down = pump((far_in, near_out), fault.clone(), |f| f.mute_down, passed, rng);
    tokio::select! {
        _ = async { tokio::join!(up, down) } => return,
        () = reset_due(fault, seen) => {}
    }
    for stream in linger.into_iter().flatten() {
        let _ = stream.set_linger(Some(Duration::ZERO));
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Completes when the connection must be reset.
async fn reset_due(mut fault: watch::Receiver<Fault>, mut passed: watch::Receiver<u64>) {
    loop {
        let now = *fault.borrow_and_update();
        let bytes = async {
            match now.reset_after {
                Some(limit) => passed.wait_for(|n| *n >= limit).await.is_ok(),
                None => std::future::pending().await,
            }
        };
        let late = async {
            match now.reset_late {
                Some(after) => tokio::time::sleep(after).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = fault.changed() => if changed.is_err() {
                return std::future::pending().await;
            },
            _ = bytes => return,
            () = late => return,
        }
    }
}

/// Forwards one direction. Each chunk waits for its delay and for the end of a cut before it is written.
async fn pump(
    (mut from, mut to): (ReadHalf<TcpStream>, WriteHalf<TcpStream>),
    mut fault: watch::Receiver<Fault>,
    mute: impl Fn(&Fault) -> bool,
    passed: Arc<watch::Sender<u64>>,
    mut rng: fastrand::Rng,
) {
    let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(QUEUE_LENGTH);
    let read_fault = fault.clone();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let Ok(n @ 1..) = from.read(&mut chunk).await else { return };
            chunk.truncate(n);
            let Fault { delay: (min_delay, jitter), rate, .. } = *read_fault.borrow();
            let held = min_delay + jitter.mul_f64(rng.f64());
            // Never before an earlier chunk.
            let mut at = last.max(Instant::now() + held);
            if let Some(spent) = (n as u64 * 1_000_000).checked_div(rate) {
                at += Duration::from_micros(spent);
            }
            last = at;
            if queue.send((at, chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, chunk)) = due.recv().await {
            tokio::time::sleep_until(at).await;
            if fault.wait_for(|f| !mute(f)).await.is_err() || to.write_all(&chunk).await.is_err() {
                return;
            }
            passed.send_modify(|n| *n += chunk.len() as u64);
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

async fn relay_udp(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    fault: watch::Receiver<Fault>,
    mut rng: fastrand::Rng,
) {
    let mut clients: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>> = HashMap::new();
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
        if !clients.contains_key(&from) {
            if clients.len() >= UDP_CLIENTS_MAX {
                continue;
            }
            let (sender, queued) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(relay_client((socket.clone(), from, to), queued, fault.clone(), rng.fork()));
            clients.insert(from, sender);
        }
        // A full queue drops datagrams, as a network does.
        let _ = clients[&from].try_send(buffer[..n].to_vec());
    }
}

/// Forwards the datagrams of one client in both directions.
async fn relay_client(
    (near, from, to): (Arc<UdpSocket>, SocketAddr, SocketAddr),
    mut queued: mpsc::Receiver<Vec<u8>>,
    fault: watch::Receiver<Fault>,
    mut rng: fastrand::Rng,
) {
    let Ok(far) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let far = Arc::new(far);
    let (mut up, mut down) = (DatagramFaults::default(), DatagramFaults::default());
    let mut buffer = [0; DATAGRAM_BYTES];
    loop {
        let (upwards, datagram) = tokio::select! {
            sent = queued.recv() => match sent {
                Some(datagram) => (true, datagram),
                None => return,
            },
            got = far.recv_from(&mut buffer) => match got {
                Ok((n, _)) => (false, buffer[..n].to_vec()),
                Err(_) => continue,
            },
        };
        let now = *fault.borrow();
        let (held, mute) = if upwards { (&mut up, now.mute_up) } else { (&mut down, now.mute_down) };
        if mute {
            continue;
        }
        for datagram in held.pass(datagram, &now, &mut rng) {
            let (min_delay, jitter) = now.delay;
            let after = min_delay + jitter.mul_f64(rng.f64());
            let (socket, to) = if upwards { (far.clone(), to) } else { (near.clone(), from) };
            if after.is_zero() {
                let _ = socket.send_to(&datagram, to).await;
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    let _ = socket.send_to(&datagram, to).await;
                });
            }
        }
    }
}

/// Applies loss, duplication and reordering. Holds a swapped datagram until the next one has passed.
#[derive(Default)]
struct DatagramFaults(Option<Vec<u8>>);

impl DatagramFaults {
    fn pass(&mut self, datagram: Vec<u8>, fault: &Fault, rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
        if rng.u32(0..1000) < fault.lost {
            return Vec::new();
        }
        if self.0.is_none() && rng.u32(0..1000) < fault.swapped {
            self.0 = Some(datagram);
            return Vec::new();
        }
        let copies = if rng.u32(0..1000) < fault.twice { 2 } else { 1 };
        let mut out = vec![datagram; copies];
        out.extend(self.0.take());
        out
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
