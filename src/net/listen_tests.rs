//! Clients that the machine has accepted and nobody has taken when the end begins.

use super::*;
use crate::net::budget::Budget;
use crate::net::client_end::{self, EndReason};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::{Read, Write};
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
        _: Closing,
    ) -> impl Future<Output = Result<Ended, Error>> + Send + 'static {
        answer(stream, b"!")
    }

    fn refuse(
        &self,
        stream: Socket,
        _: Refusal,
        _: impl Future<Output = ()>,
    ) -> impl Future<Output = Result<Ended, Error>> + Send + 'static {
        answer(stream, b"#")
    }
}

async fn answer(stream: Socket, with: &'static [u8]) -> Result<Ended, Error> {
    let mut conn = Framed::new(stream, BytesCodec::new());
    conn.next().await.expect("a byte")?;
    conn.send(Bytes::from_static(with)).await?;
    Ok(client_end::after_last_word(conn, EndReason::ClientLeft).await)
}

/// What clients that stand in the backlog get when the process goes on in this phase.
fn get(phase: Phase) -> Vec<std::io::Result<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.set_nonblocking(true).expect("a socket that does not block");
    let address = listener.local_addr().expect("an address");
    let mut clients: Vec<std::net::TcpStream> =
        (0..3).map(|_| std::net::TcpStream::connect(address).expect("the machine accepts")).collect();
    clients.iter_mut().for_each(|c| c.write_all(b"?").expect("it is sent"));
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).expect("a listener");
        let (told, closing) = watch::channel(phase);
        let budget = Budget::new(1024, 64 << 20);
        let acceptor =
            Acceptor::new(listener, Instant::now(), Count::pg_connections, budget.clients.clone(), Echo);
        drop(acceptor.accept_all(closing).await);
        while !budget.clients.all_back() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        drop(told);
    });
    let answer = |mut client: std::net::TcpStream| {
        let mut got = String::new();
        client.read_to_string(&mut got).map(|_| got)
    };
    clients.into_iter().map(answer).collect()
}

#[test]
fn clients_in_the_backlog_are_served_when_the_end_begins() {
    let got = get(Phase::Closing);
    assert!(got.iter().all(|g| g.as_ref().is_ok_and(|g| g == "!")), "{got:?}");
}

#[test]
fn clients_in_the_backlog_are_left_to_the_process_that_takes_over() {
    // Here nobody does, and the listener goes with this process.
    let got = get(Phase::Leaving);
    assert!(got.iter().all(|g| g.as_ref().map_or(true, String::is_empty)), "{got:?}");
}
