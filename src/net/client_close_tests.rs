//! Requests that arrive while their connection is being closed, on real sockets: a connection with an unanswered
//! request is not closed, and input that arrives after the close is left unread.

use super::*;
use crate::net::frames::{read_next, ReadEvent};
use crate::net::test_sockets::with_connection;
use bytes::{Bytes, BytesMut};
use std::io::{Read, Write};
use std::net::Shutdown;

/// Frames that end in a full stop.
#[derive(Default)]
struct Sentences;

impl BuffersPartial for Sentences {}

impl Decoder for Sentences {
    type Item = BytesMut;
    type Error = std::io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> std::io::Result<Option<BytesMut>> {
        Ok(src.iter().position(|b| *b == b'.').map(|end| src.split_to(end + 1)))
    }
}

impl Encoder<Bytes> for Sentences {
    type Error = std::io::Error;

    fn encode(&mut self, message: Bytes, dst: &mut BytesMut) -> std::io::Result<()> {
        dst.extend_from_slice(&message);
        Ok(())
    }
}

type Conn = Framed<Socket, Sentences>;

/// No final message.
const NO_MESSAGE: Option<Bytes> = None;

fn run<F: Future>(test: impl FnOnce(std::net::TcpStream, Conn) -> F) -> F::Output {
    with_connection(|client, server| test(client, Framed::new(Socket::new(server), Sentences)))
}

/// Reads all that the client receives, up to the close or an error.
fn received(mut client: std::net::TcpStream) -> std::thread::JoinHandle<std::io::Result<String>> {
    std::thread::spawn(move || {
        let mut got = String::new();
        client.read_to_string(&mut got).map(|_| got)
    })
}

async fn sentence(conn: &mut Conn) -> BytesMut {
    match read_next(conn, true).await {
        ReadEvent::Message(Some(Ok(sentence))) => sentence,
        other => panic!("{other:?}"),
    }
}

/// The runtime has not been notified of the bytes, as they arrived after it last polled the socket.
#[test]
fn a_connection_with_a_request_in_its_socket_is_not_closed() {
    for reason in [CloseReason::Idle, CloseReason::Silent, CloseReason::MadeRoom, CloseReason::Shutdown] {
        run(|mut client, mut conn| async move {
            client.write_all(b"first.").expect("sent");
            assert_eq!(close_if_idle(&mut conn, reason, NO_MESSAGE).await, None, "{reason:?}");
            assert_eq!(sentence(&mut conn).await, b"first."[..], "{reason:?}");
            conn.send(Bytes::from_static(b"answer.")).await.expect("written");
            let received = received(client.try_clone().expect("a copy"));
            assert_eq!(close_if_idle(&mut conn, reason, NO_MESSAGE).await, Some(ConnectionClosed(reason)));
            drop(conn);
            assert_eq!(received.join().expect("no panic").expect("no reset"), "answer.");
        });
    }
}

#[test]
fn a_connection_with_a_full_or_partial_request_in_its_buffer_is_not_closed() {
    run(|mut client, mut conn| async move {
        client.write_all(b"first.sec").expect("sent");
        sentence(&mut conn).await;
        assert_eq!(close_if_idle(&mut conn, CloseReason::Idle, NO_MESSAGE).await, None);
        assert!(has_unanswered_input(&mut conn));
        client.write_all(b"ond.third.").expect("sent");
        assert_eq!(sentence(&mut conn).await, b"second."[..]);
        assert_eq!(close_if_idle(&mut conn, CloseReason::Shutdown, NO_MESSAGE).await, None);
        assert_eq!(sentence(&mut conn).await, b"third."[..]);
        assert!(!has_unanswered_input(&mut conn));
    });
}

/// The request arrives after the check. Left unread, it can be sent again by the client, and no reset discards the
/// last answer.
#[test]
fn a_request_after_the_close_is_left_unread_and_does_not_discard_the_last_answer() {
    run(|mut client, mut conn| async move {
        conn.send(Bytes::from_static(b"the last answer")).await.expect("written");
        let crosses = std::thread::spawn({
            let mut client = client.try_clone().expect("a copy");
            move || {
                // The end has arrived when nothing more can be read.
                let mut got = String::new();
                client.read_to_string(&mut got).expect("no reset");
                client.write_all(b"crossing.").expect("sent");
                client.shutdown(Shutdown::Both).expect("ended");
                got
            }
        });
        assert_eq!(
            close_if_idle(&mut conn, CloseReason::Idle, NO_MESSAGE).await,
            Some(ConnectionClosed(CloseReason::Idle))
        );
        assert_eq!(crosses.join().expect("no panic"), "the last answer");
        assert!(conn.read_buffer().is_empty(), "what crosses the end is not read");
        assert_eq!(conn.get_mut().unread(), Unread::Bytes, "it still stands in the socket");
        let _ = client.flush();
    });
}

#[test]
fn a_client_that_was_never_answered_gets_the_final_message_for_a_request_during_the_close() {
    run(|mut client, mut conn| async move {
        let received = received(client.try_clone().expect("a copy"));
        let last_message = Some(Bytes::from_static(b"refused."));
        let ended = close_if_idle(&mut conn, CloseReason::Silent, last_message).await;
        let _ = client.write_all(b"crossing.");
        drop(conn);
        assert_eq!(ended, Some(ConnectionClosed(CloseReason::Silent)));
        assert_eq!(received.join().expect("no panic").expect("no reset"), "refused.");
    });
}

#[test]
fn input_after_the_final_message_is_read_so_that_the_message_arrives() {
    for at_once in [false, true] {
        run(|mut client, mut conn| async move {
            client.write_all(&[b'x'; 9_000]).expect("sent");
            send_last(&mut conn, Bytes::from_static(b"refused.")).await;
            let received = received(client);
            let ended = match at_once {
                true => close_at_once_after_last_message(conn, CloseReason::Refused),
                false => close_after_last_message(conn, CloseReason::Fault).await,
            };
            assert_ne!(ended, ConnectionClosed(CloseReason::ClientLeft));
            assert_eq!(
                received.join().expect("no panic").expect("no reset"),
                "refused.",
                "at once: {at_once}"
            );
        });
    }
}

#[test]
fn a_close_of_a_connection_that_the_client_has_closed_counts_as_the_clients() {
    run(|client, mut conn| async move {
        drop(client);
        let ended = close_if_idle(&mut conn, CloseReason::Idle, NO_MESSAGE).await;
        assert_eq!(ended, Some(ConnectionClosed(CloseReason::ClientLeft)));
    });
}

#[test]
fn a_task_that_ends_without_a_reason_is_counted_as_dropped() {
    use crate::core::counters::counter_value;
    let before = counter_value(Count::closed_dropped);
    drop(CloseReport::new(1));
    assert_eq!(counter_value(Count::closed_dropped), before + 1);
    CloseReport::new(2).report::<std::io::Error>(&Ok(ConnectionClosed(CloseReason::Idle)));
    assert_eq!(counter_value(Count::closed_dropped), before + 1);
}
