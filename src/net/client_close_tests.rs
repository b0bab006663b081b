//! Ends that a request crosses, on real sockets: the connection is not ended where one stands on it, and what comes behind the
//! end is left unread.

use super::*;
use crate::net::frames::{read_next, ReadEvent};
use crate::net::test_sockets::with_connection;
use bytes::{Bytes, BytesMut};
use std::io::{Read, Write};
use std::net::Shutdown;

/// Lines of bytes that end in a full stop.
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

    fn encode(&mut self, word: Bytes, dst: &mut BytesMut) -> std::io::Result<()> {
        dst.extend_from_slice(&word);
        Ok(())
    }
}

type Conn = Framed<Socket, Sentences>;

/// No last word.
const NONE: Option<Bytes> = None;

fn run<F: Future>(test: impl FnOnce(std::net::TcpStream, Conn) -> F) -> F::Output {
    with_connection(|client, server| test(client, Framed::new(Socket::new(server), Sentences)))
}

/// All that the client gets, and how that ends.
fn hears(mut client: std::net::TcpStream) -> std::thread::JoinHandle<std::io::Result<String>> {
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

/// The runtime has heard of nothing: the bytes came since it last looked.
#[test]
fn a_connection_is_not_ended_while_a_request_stands_in_its_socket() {
    for reason in [CloseReason::Idle, CloseReason::Silent, CloseReason::MadeRoom, CloseReason::Shutdown] {
        run(|mut client, mut conn| async move {
            client.write_all(b"first.").expect("sent");
            assert_eq!(close_if_idle(&mut conn, reason, NONE).await, None, "{reason:?}");
            assert_eq!(sentence(&mut conn).await, b"first."[..], "{reason:?}");
            conn.send(Bytes::from_static(b"answer.")).await.expect("written");
            let hears = hears(client.try_clone().expect("a copy"));
            assert_eq!(close_if_idle(&mut conn, reason, NONE).await, Some(ConnectionClosed(reason)));
            drop(conn);
            assert_eq!(hears.join().expect("no panic").expect("no reset"), "answer.");
        });
    }
}

#[test]
fn a_connection_is_not_ended_while_a_part_of_a_request_or_more_stands_in_its_buffer() {
    run(|mut client, mut conn| async move {
        client.write_all(b"first.sec").expect("sent");
        sentence(&mut conn).await;
        assert_eq!(close_if_idle(&mut conn, CloseReason::Idle, NONE).await, None);
        assert!(has_unanswered_input(&mut conn));
        client.write_all(b"ond.third.").expect("sent");
        assert_eq!(sentence(&mut conn).await, b"second."[..]);
        assert_eq!(close_if_idle(&mut conn, CloseReason::Shutdown, NONE).await, None);
        assert_eq!(sentence(&mut conn).await, b"third."[..]);
        assert!(!has_unanswered_input(&mut conn));
    });
}

/// It comes behind the look: unread it is the client's to send again, and the last answer is not lost with it.
#[test]
fn a_request_that_comes_behind_the_end_is_left_unread_and_takes_no_answer_along() {
    run(|mut client, mut conn| async move {
        conn.send(Bytes::from_static(b"the last answer")).await.expect("written");
        let crosses = std::thread::spawn({
            let mut client = client.try_clone().expect("a copy");
            move || {
                // The end has come when nothing more can be read.
                let mut got = String::new();
                client.read_to_string(&mut got).expect("no reset");
                client.write_all(b"crossing.").expect("sent");
                client.shutdown(Shutdown::Both).expect("ended");
                got
            }
        });
        assert_eq!(
            close_if_idle(&mut conn, CloseReason::Idle, NONE).await,
            Some(ConnectionClosed(CloseReason::Idle))
        );
        assert_eq!(crosses.join().expect("no panic"), "the last answer");
        assert!(conn.read_buffer().is_empty(), "what crosses the end is not read");
        assert_eq!(conn.get_mut().unread(), Unread::Bytes, "it still stands in the socket");
        let _ = client.flush();
    });
}

#[test]
fn a_client_that_was_never_answered_gets_the_last_word_for_what_crosses_the_end() {
    run(|mut client, mut conn| async move {
        let hears = hears(client.try_clone().expect("a copy"));
        let last_word = Some(Bytes::from_static(b"refused."));
        let ended = close_if_idle(&mut conn, CloseReason::Silent, last_word).await;
        let _ = client.write_all(b"crossing.");
        drop(conn);
        assert_eq!(ended, Some(ConnectionClosed(CloseReason::Silent)));
        assert_eq!(hears.join().expect("no panic").expect("no reset"), "refused.");
    });
}

#[test]
fn behind_a_last_word_what_still_comes_is_read_so_that_the_word_arrives() {
    for at_once in [false, true] {
        run(|mut client, mut conn| async move {
            client.write_all(&[b'x'; 9_000]).expect("sent");
            say_last(&mut conn, Bytes::from_static(b"refused.")).await;
            let hears = hears(client);
            let ended = match at_once {
                true => close_at_once_after_last_message(conn, CloseReason::Refused),
                false => close_after_last_message(conn, CloseReason::Fault).await,
            };
            assert_ne!(ended, ConnectionClosed(CloseReason::ClientLeft));
            assert_eq!(hears.join().expect("no panic").expect("no reset"), "refused.", "at once: {at_once}");
        });
    }
}

#[test]
fn a_client_that_has_gone_has_ended_the_connection_itself() {
    run(|client, mut conn| async move {
        drop(client);
        let ended = close_if_idle(&mut conn, CloseReason::Idle, NONE).await;
        assert_eq!(ended, Some(ConnectionClosed(CloseReason::ClientLeft)));
    });
}

#[test]
fn an_end_without_a_word_is_told_as_one() {
    use crate::core::counters::counter_value;
    let before = counter_value(Count::closed_dropped);
    drop(CloseReport::new(1));
    assert_eq!(counter_value(Count::closed_dropped), before + 1);
    CloseReport::new(2).tell::<std::io::Error>(&Ok(ConnectionClosed(CloseReason::Idle)));
    assert_eq!(counter_value(Count::closed_dropped), before + 1);
}
