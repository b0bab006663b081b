//! Clients that the machine has accepted and nobody has taken when the end begins, or when the process ends.

use super::*;
use crate::net::budget::Budget;
use crate::net::client_close;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_util::codec::{BytesCodec, Framed};

/// Answers a byte with another.
#[derive(Clone)]
struct Echo;

impl Serves for Echo {
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

/// What accept(2) may fail with for a moment.
const MOMENTARY: [i32; 5] = [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR];

/// A listener of which accept fails in some of its calls, by their numbers from 0 on.
struct Failing {
    listener: TcpListener,
    fails: fn(usize) -> bool,
    calls: AtomicUsize,
}

impl Failing {
    fn call(&self) -> std::io::Result<()> {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        match (self.fails)(call) {
            true => Err(Error::from_raw_os_error(MOMENTARY[call % MOMENTARY.len()])),
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

/// What clients that stand in the backlog get from an acceptor whose accept fails in these calls.
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
        let (told, closing) = watch::channel(phase);
        let budget = Budget::new(1024, 64 << 20);
        let acceptor =
            Acceptor::new(listener, Instant::now(), Count::pg_connections, budget.clients.clone(), Echo);
        accept(acceptor, told, closing).await;
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

/// Takes clients up to the end.
async fn accept_all(
    acceptor: Acceptor<Echo, Failing>,
    _told: watch::Sender<ProcessPhase>,
    closing: PhaseReceiver,
) {
    drop(acceptor.accept_all(closing).await);
}

/// Refuses clients up to the end.
async fn refuse_all(
    acceptor: Acceptor<Echo, Failing>,
    _told: watch::Sender<ProcessPhase>,
    closing: PhaseReceiver,
) {
    acceptor.refuse_all(closing).await;
}

/// Takes clients up to the end, and then refuses the others.
async fn accept_and_refuse_all(
    acceptor: Acceptor<Echo, Failing>,
    told: watch::Sender<ProcessPhase>,
    closing: PhaseReceiver,
) {
    let acceptor = acceptor.accept_all(closing.clone()).await.expect("no other process takes the clients");
    told.send_replace(ProcessPhase::Ended);
    acceptor.refuse_all(closing).await;
}

fn never(_: usize) -> bool {
    false
}

/// Five failures before each client.
fn at_times(call: usize) -> bool {
    call % 6 != 5
}

#[test]
fn clients_in_the_backlog_are_served_when_the_end_begins() {
    let got = backlog_gets(never, ProcessPhase::Closing, accept_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "!")), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_left_to_the_process_that_takes_over() {
    // Here nobody does, and the listener goes with this process.
    let got = backlog_gets(never, ProcessPhase::HandingOver, accept_all);
    assert!(got.iter().all(|g| g.as_ref().map_or(true, String::is_empty)), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_served_when_the_end_begins_though_accept_fails_for_a_moment() {
    let got = backlog_gets(at_times, ProcessPhase::Closing, accept_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "!")), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_refused_at_the_very_end_though_accept_fails_for_a_moment() {
    let got = backlog_gets(at_times, ProcessPhase::Ended, refuse_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "#")), "{got:?}");
}

#[test]
fn clients_that_an_end_could_not_accept_for_seconds_are_refused_once_it_can() {
    let for_seconds = |call| call < 1_600;
    let got = backlog_gets(for_seconds, ProcessPhase::Closing, accept_and_refuse_all);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "#")), "{got:?}");
}

#[test]
fn an_end_is_not_held_up_by_an_accept_that_fails_for_ever() {
    let got = backlog_gets(|_| true, ProcessPhase::Closing, accept_and_refuse_all);
    assert!(got.iter().all(|g| g.is_err()), "{got:?}");
}
