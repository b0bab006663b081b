//! Answers of members, byte by byte, on real sockets: which of them prove that a statement never ran.

use super::super::told::FLOWS_FROM;
use super::*;
use crate::net::budget::Budget;
use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpListener;

/// A member's welcome.
const WELCOME: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
const READY: &[u8] = b"Z\0\0\0\x05I";
const READ: &[u8] = b"SELECT v FROM records WHERE k = 'k1' /* id=01,d= */";
const WRITE: &[u8] = b"INSERT INTO records (k, v) VALUES ('k1', '\\x01') RETURNING v /* id=01,d= */";

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag], &(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

fn error(severity: &str, code: &str) -> Vec<u8> {
    message(b'E', format!("S{severity}\0C{code}\0Mno\0\0").as_bytes())
}

fn description() -> Vec<u8> {
    message(b'T', &[&[0, 1, b'v', 0][..], &[0; 6], &17_u32.to_be_bytes(), &[0; 6], &[0, 1]].concat())
}

fn row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

/// The next message of a client, past its startup: its body.
fn heard(client: &mut impl Read) -> Option<Vec<u8>> {
    let mut head = [0; 5];
    client.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(*head.last_chunk()?) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    client.read_exact(&mut body).ok()?;
    Some(body)
}

/// What a member does behind its last answer.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    /// It waits for its client's end.
    Waits,
    /// It ends the connection.
    Ends,
}

/// A member that welcomes so, and answers one query after the other so.
fn member(welcome: Vec<u8>, answers: Vec<Vec<u8>>, then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || -> Option<()> {
        let (mut client, _) = listener.accept().ok()?;
        let mut startup = [0; 4];
        client.read_exact(&mut startup).ok()?;
        let mut rest = vec![0; u32::from_be_bytes(startup) as usize - 4];
        client.read_exact(&mut rest).ok()?;
        client.write_all(&welcome).ok()?;
        for answer in answers {
            heard(&mut client)?;
            client.write_all(&answer).ok()?;
        }
        if then == Then::Waits {
            heard(&mut client)?;
        }
        Some(())
    });
    address
}

fn work(text: &'static [u8]) -> Work {
    let wait = text.len() - b" */".len();
    Work::Verbatim { text: Bytes::from_static(text), wait: wait..wait }
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

async fn opened(address: SocketAddr) -> Result<Connection, Outcome> {
    let budget = Budget::new(64, 1 << 28);
    let permit = budget.members.permit().await.expect("a permit");
    Pg::new(budget.bytes).open(address, permit).await
}

/// How a statement ends that a member answers so, on a new connection.
fn outcome(text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    outcome_where_member(Then::Waits, text, answer)
}

fn outcome_where_member(then: Then, text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    let address = member(WELCOME.to_vec(), vec![answer.concat()], then);
    block_on(async {
        let mut link = opened(address).await.expect("a welcome");
        let mut written = false;
        let exchange = link.run(&work(text), 1_000, Guard::Proven, &mut written).await;
        assert!(written);
        exchange.outcome
    })
}

#[test]
fn a_whole_error_alone_proves_that_nothing_ran() {
    assert_eq!(outcome(READ, &[&error("ERROR", "53300"), READY]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "53300"), READY]), Outcome::Saturated);
    assert_eq!(outcome_where_member(Then::Ends, WRITE, &[&error("FATAL", "53300")]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "25006"), READY]), Outcome::Miss);
    assert_eq!(outcome(READ, &[&error("ERROR", "72000"), READY]), Outcome::Miss);
}

#[test]
fn an_error_behind_a_row_or_its_description_is_no_proof_that_nothing_ran() {
    for code in ["53300", "25006"] {
        let error = error("ERROR", code);
        assert_eq!(outcome(WRITE, &[&description(), &error, READY]), Outcome::Errored, "{code}");
        assert_eq!(outcome(WRITE, &[&description(), &row(b"v"), &error, READY]), Outcome::Errored, "{code}");
    }
}

/// An error made of these fields, each as it stands.
fn error_of(fields: &str) -> Vec<u8> {
    message(b'E', format!("{fields}\0\0").as_bytes())
}

#[test]
fn an_error_with_a_field_given_twice_is_no_proof_that_nothing_ran() {
    for fields in
        ["SERROR\0CXX000\0C53300\0Mno", "SERROR\0C53300\0C53300\0Mno", "SERROR\0SFATAL\0C53300\0Mno"]
    {
        assert_eq!(outcome(WRITE, &[&error_of(fields), READY]), Outcome::Errored, "{fields:?}");
    }
}

#[test]
fn a_notice_in_the_form_of_an_error_is_no_proof_that_nothing_ran() {
    for fields in ["SNOTICE\0C53300\0Mno", "SWARNING\0VWARNING\0C53300\0Mno", "SERROR\0VLOG\0C53300\0Mno"] {
        assert_eq!(outcome(WRITE, &[&error_of(fields), READY]), Outcome::Errored, "{fields:?}");
    }
}

#[test]
fn a_fatal_error_with_noise_before_the_end_is_no_proof_that_nothing_ran() {
    let fatal = error("FATAL", "53300");
    let row = [description(), row(b"v")].concat();
    // A message that is cut off, one whose length alone has come, and a byte that begins none.
    for noise in [&row[..20], &row[..5], &row[..1], &[0xff][..]] {
        let outcome = outcome_where_member(Then::Ends, WRITE, &[&fatal, noise]);
        assert!(!outcome.never_ran(), "{outcome:?} with {noise:?} behind it");
    }
}

#[test]
fn a_code_that_does_not_fit_the_statement_is_no_proof_that_nothing_ran() {
    // A read needs no primary; a write carries no position that it would have to see.
    assert_eq!(outcome(READ, &[&error("ERROR", "25006"), READY]), Outcome::Errored);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "72000"), READY]), Outcome::Errored);
}

#[test]
fn what_stands_behind_the_welcome_is_no_answer_to_the_first_statement() {
    let welcome = [WELCOME, &error("ERROR", "53300"), READY].concat();
    // The member runs the statement and is still busy with it when the proxy has read what it takes for the answer.
    let address = member(welcome, vec![Vec::new()], Then::Waits);
    let ran = block_on(async {
        let mut link = opened(address).await?;
        Ok(link.run(&work(WRITE), 1_000, Guard::Proven, &mut false).await.outcome)
    });
    assert_eq!(ran, Err(Outcome::Refused), "a connection on which nothing may be written");
}

#[test]
fn a_large_row_behind_an_error_is_no_answer() {
    // Its first bytes alone, as it stands before it has come whole.
    let length = FLOWS_FROM as u32 + 1;
    let large = [&b"D"[..], &(length + 10).to_be_bytes(), &[0, 1], &length.to_be_bytes()].concat();
    assert_eq!(outcome(READ, &[&description(), &large]), Outcome::Completed);
    assert_eq!(outcome(READ, &[&description(), &error("ERROR", "XX000"), &large]), Outcome::Errored);
}
