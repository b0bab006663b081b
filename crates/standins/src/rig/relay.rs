//! The fault plane: a relay between two parties, by TCP or UDP, that passes everything on until it is told otherwise.
//!
//! A relay cannot keep the kernel from completing a handshake, so that a silent cut is one in which connections still
//! come about and nothing is ever said on them; what was sent into it arrives when the cut ends, as TCP would repeat it.

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

/// Pieces under way in one direction of a connection.
const PIECES: usize = 64;
const PIECE: usize = 16 * 1024;
/// Parties behind one UDP relay, each with a socket of its own.
const PARTIES: usize = 256;
const DATAGRAM: usize = 2048;

/// What a relay does to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Fault {
    /// Nothing passes from the one who connects ...
    pub mute_up: bool,
    /// ... or to it.
    pub mute_down: bool,
    /// Everything takes longer by this and up to so much more.
    pub delay: (Duration, Duration),
    /// Bytes a second in each direction; 0: as many as come.
    pub rate: u64,
    /// Connections are reset once so many bytes have passed on them, in both directions together.
    pub reset_after: Option<u64>,
    /// Connections that stand are reset so long after this came into force.
    pub reset_late: Option<Duration>,
    /// Share of datagrams, in parts of 1,000, that are lost, come twice, or are held until the next has passed.
    pub lost: u32,
    /// See [`Fault::lost`].
    pub twice: u32,
    /// See there.
    pub swapped: u32,
}

impl FromStr for Fault {
    type Err = String;

    /// `well`, `silent`, `silent up`, `silent down`, `delay MS [JITTER]`, `rate BYTES`, `reset BYTES`, `late MS`,
    /// `lossy LOST TWICE SWAPPED` in parts of 1,000.
    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split(' ').collect();
        let number =
            |word: &str| word.parse::<u64>().map_err(|_| format!("'{word}' in '{text}' is no number"));
        let ms = |word: &str| number(word).map(Duration::from_millis);
        let parts = |word: &str| {
            number(word)?.try_into().ok().filter(|n: &u32| *n <= 1000).ok_or(format!("'{word}' is over 1000"))
        };
        let well = Fault::default();
        Ok(match words[..] {
            ["well"] => well,
            ["silent"] => Fault { mute_up: true, mute_down: true, ..well },
            ["silent", "up"] => Fault { mute_up: true, ..well },
            ["silent", "down"] => Fault { mute_down: true, ..well },
            ["delay", least] => Fault { delay: (ms(least)?, Duration::ZERO), ..well },
            ["delay", least, jitter] => Fault { delay: (ms(least)?, ms(jitter)?), ..well },
            ["rate", bytes] => Fault { rate: number(bytes)?, ..well },
            ["reset", bytes] => Fault { reset_after: Some(number(bytes)?), ..well },
            ["late", after] => Fault { mute_up: true, mute_down: true, reset_late: Some(ms(after)?), ..well },
            ["lossy", lost, twice, swapped] => {
                Fault { lost: parts(lost)?, twice: parts(twice)?, swapped: parts(swapped)?, ..well }
            }
            _ => return Err(format!("no link does '{text}'")),
        })
    }
}

/// A relay. Copies are the same one.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    fault: Arc<watch::Sender<Fault>>,
}

impl Relay {
    /// Starts one for TCP on a free port; `seed` draws its jitter.
    pub fn tcp(to: SocketAddr, seed: u64) -> Self {
        let (listener, address) = listener();
        let fault = Arc::new(watch::channel(Fault::default()).0);
        runtime().spawn(relay_tcp(listener, to, fault.subscribe(), fastrand::Rng::with_seed(seed)));
        Relay { address, fault }
    }

    /// Starts one for UDP on a free port.
    ///
    /// # Panics
    /// When there is no free port.
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

    /// Starts one for TCP and UDP on one free port.
    ///
    /// # Panics
    /// When there is no free port.
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

    /// Where whoever is to come through it connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on it does this.
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
    // What comes about in a cut reaches nobody before it ends.
    if fault.wait_for(|f| !f.mute_up).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let linger = [socket2::SockRef::from(&near).try_clone(), socket2::SockRef::from(&far).try_clone()];
    // Halves that say goodbye when they are dropped would turn each reset into an orderly end.
    let (near_in, near_out) = split(near);
    let (far_in, far_out) = split(far);
    let (passed, seen) = watch::channel(0u64);
    let passed = Arc::new(passed);
    let up = pump((near_in, far_out), fault.clone(), |f| f.mute_up, passed.clone(), rng.fork());
    let down = pump((far_in, near_out), fault.clone(), |f| f.mute_down, passed, rng);
    tokio::select! {
        _ = async { tokio::join!(up, down) } => return,
        () = broken(fault, seen) => {}
    }
    for stream in linger.into_iter().flatten() {
        let _ = stream.set_linger(Some(Duration::ZERO));
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Ends when the connection is to be reset.
async fn broken(mut fault: watch::Receiver<Fault>, mut passed: watch::Receiver<u64>) {
    loop {
        let now = *fault.borrow_and_update();
        let bytes = async {
            match now.reset_after {
                Some(most) => passed.wait_for(|n| *n >= most).await.is_ok(),
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

/// One direction: what is read waits for its time, then for the cut's end, and is written.
async fn pump(
    (mut from, mut to): (ReadHalf<TcpStream>, WriteHalf<TcpStream>),
    mut fault: watch::Receiver<Fault>,
    mute: impl Fn(&Fault) -> bool,
    passed: Arc<watch::Sender<u64>>,
    mut rng: fastrand::Rng,
) {
    let (queue, mut due) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let told = fault.clone();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut piece = vec![0; PIECE];
            let Ok(n @ 1..) = from.read(&mut piece).await else { return };
            piece.truncate(n);
            let Fault { delay: (least, jitter), rate, .. } = *told.borrow();
            let held = least + jitter.mul_f64(rng.f64());
            // Never past what came before it.
            let mut at = last.max(Instant::now() + held);
            if let Some(spent) = (n as u64 * 1_000_000).checked_div(rate) {
                at += Duration::from_micros(spent);
            }
            last = at;
            if queue.send((at, piece)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, piece)) = due.recv().await {
            tokio::time::sleep_until(at).await;
            if fault.wait_for(|f| !mute(f)).await.is_err() || to.write_all(&piece).await.is_err() {
                return;
            }
            passed.send_modify(|n| *n += piece.len() as u64);
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
    let mut parties: HashMap<SocketAddr, mpsc::Sender<Vec<u8>>> = HashMap::new();
    let mut buffer = [0; DATAGRAM];
    loop {
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else { continue };
        if !parties.contains_key(&from) {
            if parties.len() >= PARTIES {
                continue;
            }
            let (sender, mailbox) = mpsc::channel(PIECES);
            tokio::spawn(party((socket.clone(), from, to), mailbox, fault.clone(), rng.fork()));
            parties.insert(from, sender);
        }
        // A full queue loses datagrams, as a network does.
        let _ = parties[&from].try_send(buffer[..n].to_vec());
    }
}

/// One party's datagrams, both ways.
async fn party(
    (near, from, to): (Arc<UdpSocket>, SocketAddr, SocketAddr),
    mut mailbox: mpsc::Receiver<Vec<u8>>,
    fault: watch::Receiver<Fault>,
    mut rng: fastrand::Rng,
) {
    let Ok(far) = UdpSocket::bind("127.0.0.1:0").await else { return };
    let far = Arc::new(far);
    let (mut up, mut down) = (Held::default(), Held::default());
    let mut buffer = [0; DATAGRAM];
    loop {
        let (upwards, datagram) = tokio::select! {
            sent = mailbox.recv() => match sent {
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
            let (least, jitter) = now.delay;
            let after = least + jitter.mul_f64(rng.f64());
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

/// A datagram that is held until the next has passed.
#[derive(Default)]
struct Held(Option<Vec<u8>>);

impl Held {
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
