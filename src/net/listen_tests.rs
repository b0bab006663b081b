//! Clients that are still in the listen backlog when shutdown begins, or when the process ends: each must be
//! served, refused or left to the next process, also while accept(2) fails.

use super::*;
use crate::net::budget::Budget;
use crate::net::client_close;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::net::TcpStream;
use tokio_util::codec::{BytesCodec, Framed};

/// Answers one byte: `!` where the client is served, `#` where it is refused.
#[derive(Clone)]
struct Echo;

impl ConnectionHandler for Echo {
    type Error = Error;

    fn serve(
        &self,
        _: Instant,
        stream: Socket,
        _: PhaseReceiver,
    ) -> impl Future<Output = Result<ConnectionClosed, Error>> + Send + 'static {
        answer(stream, b"!")
    }

    fn refuse(
        &self,
        stream: Socket,
        _: Refusal,
        _: impl Future<Output = ()>,
    ) -> impl Future<Output = Result<ConnectionClosed, Error>> + Send + 'static {
        answer(stream, b"#")
    }
}

async fn answer(stream: Socket, with: &'static [u8]) -> Result<ConnectionClosed, Error> {
    let mut conn = Framed::new(stream, BytesCodec::new());
    conn.next().await.expect("a byte")?;
    conn.send(Bytes::from_static(with)).await?;
    Ok(client_close::close_after_last_message(conn, CloseReason::ClientLeft).await)
}

/// Transient errors of accept(2).
const TRANSIENT_ERRORS: [i32; 5] =
    [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR];

/// A listener whose accept fails in the calls that `fails` selects; calls are counted from 0.
struct Failing {
    listener: TcpListener,
    fails: fn(usize) -> bool,
    calls: AtomicUsize,
}

impl Failing {
    fn call(&self) -> std::io::Result<()> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        match (self.fails)(call) {
            true => Err(Error::from_raw_os_error(TRANSIENT_ERRORS[call % TRANSIENT_ERRORS.len()])),
            false => Ok(()),
        }
    }
}

impl Listener for Failing {
    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        self.call()?;
        self.listener.accept().await
    }

    fn try_accept(&self) -> std::io::Result<Option<(TcpStream, SocketAddr)>> {
        self.call()?;
        self.listener.try_accept()
    }
}

/// Runs an acceptor that starts in `phase` and whose accept fails as `fails` says, with three clients in the
/// backlog. Returns what each client reads.
fn backlog_gets<F: Future<Output = ()>>(
    fails: fn(usize) -> bool,
    phase: ProcessPhase,
    accept: impl FnOnce(Acceptor<Echo, Failing>, watch::Sender<ProcessPhase>, PhaseReceiver) -> F,
) -> Vec<std::io::Result<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket that does not block");
    let address = listener.local_addr().expect("an address");
    let mut clients: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).expect("the machine accepts")).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"?").expect("it is sent"));
    runtime.expect("a runtime").block_on(async {
        let listener = TcpListener::from_std(listener).expect("a listener");
        let listener = Failing { listener, fails, calls: AtomicUsize::new(0) };
        let (phase_tx, phase_rx) = watch::channel(phase);
        let budget = Budget::new(1024, 64 << 20);
        let acceptor =
            Acceptor::new(listener, Instant::now(), Count::pg_connections, budget.clients.clone(), Echo);
        accept(acceptor, phase_tx, phase_rx).await;
        while !budget.clients.all_permits_free() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    let answer = |mut client: std::net::TcpStream| {
        let mut got = String::new();
        client.read_to_string(&mut got).map(|_| got)
    };
    clients.into_iter().map(answer).collect()
}

/// Accepts clients until shutdown begins.
async fn accept_all(
    acceptor: Acceptor<Echo, Failing>,
    _phase_tx: watch::Sender<ProcessPhase>,
    phase_rx: PhaseReceiver,
) {
    drop(acceptor.accept_all(phase_rx).await);
}

/// Refuses clients until the process ends.
async fn refuse_all(
    acceptor: Acceptor<Echo, Failing>,
    _phase_tx: watch::Sender<ProcessPhase>,
    phase_rx: PhaseReceiver,
) {
    acceptor.refuse_all(phase_rx).await;
}

/// Accepts clients until shutdown begins, then refuses the rest.
async fn accept_and_refuse_all(
    acceptor: Acceptor<Echo, Failing>,
    phase_tx: watch::Sender<ProcessPhase>,
    phase_rx: PhaseReceiver,
) {
    let acceptor = acceptor.accept_all(phase_rx.clone()).await.expect("no other process takes the clients");
    phase_tx.send_replace(ProcessPhase::Ended);
    acceptor.refuse_all(phase_rx).await;
}

fn never(_: usize) -> bool {
    false
}

/// Fails five times before each client.
fn five_failures_per_client(call: usize) -> bool {
    call % 6 != 5
}

#[test]
fn clients_in_the_backlog_are_served_when_shutdown_begins() {
    let got = backlog_gets(never, ProcessPhase::Closing, accept_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "!")), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_left_to_the_process_that_takes_over() {
    // No other process takes over in this test, so the clients are reset when the listener is closed.
    let got = backlog_gets(never, ProcessPhase::HandingOver, accept_all);
    assert!(got.iter().all(|g| g.as_ref().map_or(true, String::is_empty)), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_served_at_shutdown_despite_transient_accept_failures() {
    let got = backlog_gets(five_failures_per_client, ProcessPhase::Closing, accept_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "!")), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_refused_at_process_end_despite_transient_accept_failures() {
    let got = backlog_gets(five_failures_per_client, ProcessPhase::Ended, refuse_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "#")), "{got:?}");
}

#[test]
fn clients_are_refused_once_accept_recovers_after_failing_for_seconds_at_shutdown() {
    let for_seconds = |call| call < 1_600;
    let got = backlog_gets(for_seconds, ProcessPhase::Closing, accept_and_refuse_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "#")), "{got:?}");
}

#[test]
fn an_accept_that_fails_permanently_does_not_delay_process_end() {
    let got = backlog_gets(|_| true, ProcessPhase::Closing, accept_and_refuse_all);
    assert!(got.iter().all(|g| g.is_err()), "{got:?}");
}

#[tokio::test]
async fn a_client_counts_as_waiting_since_the_backlog_was_last_empty() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connect = || std::net::TcpStream::connect(address).expect("the machine accepts");
    let bound = Instant::now();
    let mut queue = AcceptQueue::new(listener, bound);
    let (_first, _second) = (connect(), connect());
    let first = queue.next_queued().await.expect("a client");
    // The acceptor waits, for example for a permit.
    tokio::time::sleep(Duration::from_millis(30)).await;
    let second = queue.next_queued().await.expect("a client");
    assert_eq!((first.connected_since, second.connected_since), (bound, bound));
    assert!(queue.next_queued().await.is_none());
    let emptied_at = Instant::now();
    let _third = connect();
    let third = queue.next_queued().await.expect("a client");
    assert!(third.connected_since >= emptied_at, "the backlog was empty before it came");
}

#[tokio::test(start_paused = true)]
async fn a_crowd_waits_for_each_accept_that_fails_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let _clients: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).expect("the machine accepts")).collect();
    let once_per_client = |call: usize| call.is_multiple_of(2);
    let listener = Failing { listener, fails: once_per_client, calls: AtomicUsize::new(0) };
    let mut queue = AcceptQueue::new(listener, Instant::now());
    let began = tokio::time::Instant::now();
    for _ in 0..3 {
        assert!(queue.next_queued().await.is_some());
    }
    assert_eq!(began.elapsed(), Duration::ZERO);
}
