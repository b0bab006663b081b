//! Detection of the peer's close, on real sockets.

use super::{unread_input, Unread};
use crate::net::socket::Socket;
use crate::net::test_sockets::with_connection;
use std::io::{Error, ErrorKind, Write};
use std::time::Duration;

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
