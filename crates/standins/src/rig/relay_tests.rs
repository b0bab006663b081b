//! Tests of the relay on real sockets. They check only order and counts, and lower limits on times.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream as StdTcpStream;
use std::time::Instant as StdInstant;

const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Long enough for data in transit to arrive if the relay forwarded it. On a slow machine a fault may go
/// undetected, but the test does not fail wrongly.
const SILENCE: Duration = Duration::from_millis(150);

/// A server that echoes all that it receives.
fn echo() -> SocketAddr {
    let (listener, address) = listener();
    runtime().spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.into_split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    address
}

fn connect(relay: &Relay) -> StdTcpStream {
    let stream = StdTcpStream::connect(relay.address()).expect("it listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a time limit");
    stream
}

fn exchange(stream: &mut StdTcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut back = vec![0; bytes.len()];
    stream.write_all(bytes)?;
    stream.read_exact(&mut back)?;
    assert_eq!(back, bytes);
    Ok(())
}

fn fault(text: &str) -> Fault {
    text.parse().expect(text)
}

/// Whether nothing can be read during `SILENCE`.
fn silent(stream: &StdTcpStream) -> bool {
    stream.set_read_timeout(Some(SILENCE)).expect("a time limit");
    let got = stream.peek(&mut [0]);
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a time limit");
    got.is_err()
}

#[test]
fn a_relay_without_fault_forwards_everything_in_order_in_both_directions() {
    let relay = Relay::tcp(echo(), 1);
    let mut stream = connect(&relay);
    let long: Vec<u8> = (0..200_000u32).map(|n| n as u8).collect();
    let mut other = stream.try_clone().expect("a copy");
    let sent = long.clone();
    let writer = std::thread::spawn(move || other.write_all(&sent));
    let mut back = vec![0; long.len()];
    stream.read_exact(&mut back).expect("it comes back");
    writer.join().expect("no panic").expect("it is taken");
    assert!(back == long);
}

#[test]
fn a_silent_cut_holds_everything_back_until_it_ends() {
    for cut in ["silent", "silent up", "silent down"] {
        let relay = Relay::tcp(echo(), 1);
        let mut stream = connect(&relay);
        exchange(&mut stream, b"before").expect("there is no fault");
        relay.set_fault(fault(cut));
        stream.write_all(b"within").expect("the kernel takes it");
        assert!(silent(&stream), "{cut}");
        // A client that connects during the cut receives nothing either.
        let mut later = connect(&relay);
        later.write_all(b"later").expect("the kernel takes it");
        assert!(silent(&later), "{cut}");
        relay.set_fault(Fault::default());
        let mut back = [0; 6];
        stream.read_exact(&mut back).expect("the cut has ended");
        assert_eq!(&back, b"within", "{cut}");
        later.read_exact(&mut back[..5]).expect("the cut has ended");
        assert_eq!(&back[..5], b"later", "{cut}");
    }
}

#[test]
fn a_reset_comes_only_after_its_bytes_or_its_time() {
    let relay = Relay::tcp(echo(), 1);
    let mut stream = connect(&relay);
    exchange(&mut stream, &[1; 100]).expect("there is no fault");
    // 200 bytes have passed in both directions together.
    relay.set_fault(fault("reset 500"));
    exchange(&mut stream, &[2; 100]).expect("400 of 500");
    let began = StdInstant::now();
    while exchange(&mut stream, &[3; 100]).is_ok() {
        assert!(began.elapsed() < READ_TIMEOUT, "it is never reset");
    }
    let mut fresh = connect(&relay);
    exchange(&mut fresh, &[4; 100]).expect("each connection has its own count");
    relay.set_fault(fault("late 30"));
    assert!(fresh.read(&mut [0]).is_err(), "it is reset, not closed");
}

#[test]
fn a_delay_holds_data_back_and_keeps_its_order() {
    let relay = Relay::tcp(echo(), 1);
    relay.set_fault(fault("delay 40 30"));
    let mut stream = connect(&relay);
    let began = StdInstant::now();
    for n in 0..3u8 {
        exchange(&mut stream, &[n; 10]).expect("it only takes longer");
    }
    assert!(began.elapsed() >= Duration::from_millis(240), "{:?}", began.elapsed());
}

#[test]
fn a_rate_limit_slows_the_transfer() {
    let relay = Relay::tcp(echo(), 1);
    relay.set_fault(fault("rate 10000"));
    let mut stream = connect(&relay);
    let began = StdInstant::now();
    exchange(&mut stream, &[7; 1000]).expect("it only takes longer");
    assert!(began.elapsed() >= Duration::from_millis(200), "{:?}", began.elapsed());
}

#[test]
fn datagrams_are_lost_duplicated_and_swapped_depending_only_on_the_seed() {
    let pass = |text: &str, seed| -> Vec<u8> {
        let (mut held, mut rng) = (DatagramFaults::default(), fastrand::Rng::with_seed(seed));
        let all = (0..200).flat_map(|n| held.pass(vec![n], &fault(text), &mut rng));
        all.map(|d| d[0]).collect()
    };
    assert_eq!(pass("well", 1), (0..200).collect::<Vec<u8>>());
    assert!(pass("lossy 1000 0 0", 1).is_empty());
    let lossy = pass("lossy 300 0 0", 1);
    assert!((100..180).contains(&lossy.len()), "{}", lossy.len());
    let twice = pass("lossy 0 1000 0", 1);
    assert_eq!(twice.len(), 400);
    let swapped = pass("lossy 0 0 1000", 1);
    assert_eq!(swapped[..4], [1, 0, 3, 2]);
    assert_eq!(pass("lossy 100 100 100", 7), pass("lossy 100 100 100", 7));
    assert_ne!(pass("lossy 100 100 100", 7), pass("lossy 100 100 100", 8));
}

#[test]
fn a_udp_relay_forwards_both_ways_and_drops_everything_in_a_cut() {
    let server = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let relay = Relay::udp(server.local_addr().expect("an address"), 1);
    let client = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    client.connect(relay.address()).expect("an address");
    server.set_read_timeout(Some(READ_TIMEOUT)).expect("a time limit");
    client.set_read_timeout(Some(READ_TIMEOUT)).expect("a time limit");
    let mut buffer = [0; 16];
    client.send(b"up").expect("sent");
    let (n, back) = server.recv_from(&mut buffer).expect("it passes");
    assert_eq!(&buffer[..n], b"up");
    server.send_to(b"down", back).expect("sent");
    let n = client.recv(&mut buffer).expect("it passes");
    assert_eq!(&buffer[..n], b"down");
    relay.set_fault(fault("silent down"));
    server.send_to(b"lost", back).expect("sent");
    client.set_read_timeout(Some(SILENCE)).expect("a time limit");
    assert!(client.recv(&mut buffer).is_err());
}

#[test]
fn unknown_link_faults_are_errors() {
    for bad in ["", "loud", "silent sideways", "delay", "delay x", "lossy 1 2", "lossy 1 2 1001", "reset -1"]
    {
        assert!(bad.parse::<Fault>().is_err(), "{bad}");
    }
}
