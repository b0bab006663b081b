//! The other side's end of connections, on real sockets, as it is seen here.

use super::{unread_by, Unread};
use crate::net::socket::Socket;
use crate::net::test_sockets::with_connection;
use std::io::{Error, ErrorKind, Write};
use std::time::Duration;

/// No end is seen for so long where there is none.
const STILL_THERE: Duration = Duration::from_millis(120);

#[test]
fn an_end_is_seen_behind_bytes_that_are_not_read_and_no_sooner() {
    for unread in [0, 9000] {
        with_connection(|mut client, server| async move {
            let mut server = Socket::new(server);
            client.write_all(&vec![7; unread]).expect("sent");
            let soon = tokio::time::timeout(STILL_THERE, server.wait_closed()).await;
            assert!(soon.is_err(), "it is still there, with {unread} bytes unread");
            client.shutdown(std::net::Shutdown::Write).expect("ended");
            let seen = tokio::time::timeout(Duration::from_secs(20), server.wait_closed()).await;
            assert!(seen.is_ok(), "{unread} bytes unread");
        });
    }
}

#[test]
fn a_reset_is_an_end() {
    with_connection(|mut client, server| async move {
        let mut server = Socket::new(server);
        client.write_all(&[7; 64]).expect("sent");
        socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).expect("set");
        drop(client);
        assert!(tokio::time::timeout(Duration::from_secs(20), server.wait_closed()).await.is_ok());
    });
}

#[test]
fn a_look_that_a_signal_interrupts_is_taken_again() {
    for (shown, unread) in [(0, Unread::End), (1, Unread::Bytes)] {
        let mut looks = 0;
        let seen = unread_by(|| {
            looks += 1;
            if looks < 4 {
                Err(ErrorKind::Interrupted.into())
            } else {
                Ok(shown)
            }
        });
        assert_eq!((seen, looks), (unread, 4));
    }
    let seen = unread_by(|| Err(Error::from_raw_os_error(libc::EAGAIN)));
    assert_eq!(seen, Unread::Nothing);
}
