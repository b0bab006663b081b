//! Detection of the peer's close, on real sockets.

use super::{unread_input, Unread};
use crate::net::socket::Socket;
use crate::net::test_sockets::with_connection;
use std::future::poll_fn;
use std::io::{Error, ErrorKind, Write};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, ReadBuf};

/// How long a connection is watched to see that no end is reported while the peer is connected.
const STILL_CONNECTED: Duration = Duration::from_millis(120);

#[test]
fn a_close_is_noticed_behind_unread_bytes_and_not_before_it_happens() {
    for unread in [0, 9000] {
        with_connection(|mut client, server| async move {
            let mut server = Socket::new(server);
            client.write_all(&vec![7; unread]).expect("sent");
            let early = tokio::time::timeout(STILL_CONNECTED, server.wait_closed()).await;
            assert!(early.is_err(), "it is still there, with {unread} bytes unread");
            client.shutdown(std::net::Shutdown::Write).expect("ended");
            let found = tokio::time::timeout(Duration::from_secs(20), server.wait_closed()).await;
            assert!(found.is_ok(), "{unread} bytes unread");
        });
    }
}

#[test]
fn a_reset_counts_as_a_close() {
    with_connection(|mut client, server| async move {
        let mut server = Socket::new(server);
        client.write_all(&[7; 64]).expect("sent");
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
        drop(client);
        assert!(tokio::time::timeout(Duration::from_secs(20), server.wait_closed()).await.is_ok());
    });
}

#[test]
fn an_interrupted_peek_is_repeated() {
    for (shown, unread) in [(0, Unread::End), (1, Unread::Bytes)] {
        let mut calls = 0;
        let found = unread_input(|| {
            calls += 1;
            if calls < 4 {
                Err(ErrorKind::Interrupted.into())
            } else {
                Ok(shown)
            }
        });
        assert_eq!((found, calls), (unread, 4));
    }
    let found = unread_input(|| Err(Error::from_raw_os_error(libc::EAGAIN)));
    assert_eq!(found, Unread::Nothing);
}

/// Guards against bytes that lie in the socket while the next read waits for a notification that never comes.
#[test]
fn all_bytes_are_read_after_a_pause_though_the_first_read_takes_only_some() {
    const BYTES: usize = 9_000;
    const BYTES_PER_READ: usize = 4_096;
    for paused_by_peek in [false, true] {
        with_connection(|mut client, server| async move {
            let mut server = Socket::new(server);
            client.write_all(&[7; BYTES]).expect("sent");
            // The runtime's readiness is cleared though bytes are unread.
            let paused = tokio::time::timeout(STILL_CONNECTED, server.wait_closed()).await;
            assert!(paused.is_err(), "it is still there");
            if paused_by_peek {
                server.assume_drained();
                assert_eq!(server.unread(), Unread::Bytes);
            }
            let mut received = 0;
            while received < BYTES {
                let mut buffer = [0; BYTES_PER_READ];
                let read = tokio::time::timeout(Duration::from_secs(20), server.read(&mut buffer)).await;
                received += read.unwrap_or_else(|_| panic!("{received} bytes")).expect("read");
            }
            assert_eq!(server.unread(), Unread::Nothing);
        });
    }
}

/// Guards against a client that sends without end and, after a pause, keeps the thread from all other connections.
#[test]
fn reading_after_a_pause_gives_way_to_other_tasks() {
    const BYTES: usize = 4_000;
    with_connection(|mut client, server| async move {
        let mut server = Socket::new(server);
        client.write_all(&[7; BYTES]).expect("sent");
        let paused = tokio::time::timeout(STILL_CONNECTED, server.wait_closed()).await;
        assert!(paused.is_err(), "it is still there");
        let read_in_one_go = poll_fn(|cx| {
            let mut received = 0;
            while received < BYTES {
                let mut byte = [0; 1];
                match Pin::new(&mut server).poll_read(cx, &mut ReadBuf::new(&mut byte)) {
                    Poll::Ready(read) => read.expect("read"),
                    Poll::Pending => break,
                }
                received += 1;
            }
            Poll::Ready(received)
        });
        let received = read_in_one_go.await;
        assert!((1..BYTES).contains(&received), "{received} bytes");
    });
}
