//! Tests on real sockets of which answers of a member prove that a statement never ran.

use super::*;
use crate::net::budget::Budget;
use crate::pg::member_codec::MAX_BUFFERED_VALUE_LEN;
use crate::pg::scripted_member::{
    self, data_row, data_row_start, error, error_with_fields, read_query, row_description, READY_FOR_QUERY,
    STARTUP_RESPONSE,
};
use std::future::Future;
use std::io::Write;
use std::net::TcpStream;

const READ: &[u8] = b"SELECT v FROM records WHERE k = 'k1' /* id=01,d= */";
const WRITE: &[u8] = b"INSERT INTO records (k, v) VALUES ('k1', '\\x01') RETURNING v /* id=01,d= */";

/// What a member does after its last answer.
#[derive(Clone, Copy, PartialEq)]
enum AfterAnswers {
    /// Keeps the connection open until the client closes it.
    WaitForClose,
    /// Closes the connection.
    Close,
}

/// Starts a member that sends the startup response, then answers one query with each of `answers`, in order.
fn member(startup_response: Vec<u8>, answers: Vec<Vec<u8>>, after: AfterAnswers) -> SocketAddr {
    let script = move |client: &mut TcpStream| {
        for answer in answers {
            read_query(client)?;
            client.write_all(&answer)?;
        }
        match after {
            AfterAnswers::WaitForClose => read_query(client).map(drop),
            AfterAnswers::Close => Ok(()),
        }
    };
    scripted_member::start(startup_response, script).0
}

fn work(text: &'static [u8]) -> Work {
    let wait = text.len() - b" */".len();
    Work::Verbatim { text: Bytes::from_static(text), wait: wait..wait, has_idempotency_key: true }
}

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

async fn connect(address: SocketAddr) -> Result<Connection, Outcome> {
    let budget = Budget::new(64, 1 << 28);
    let permit = budget.members.permit().await.expect("a permit");
    PgConnector::new(budget.bytes).open(address, permit).await
}

/// Returns the outcome of a statement to which a member sends `answer`, on a new connection.
fn outcome(text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    outcome_with(AfterAnswers::WaitForClose, text, answer)
}

fn outcome_with(after: AfterAnswers, text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    let address = member(STARTUP_RESPONSE.to_vec(), vec![answer.concat()], after);
    block_on(async {
        let mut connection = connect(address).await.expect("the connection opens");
        let mut written = None;
        let exchange = connection.run(&work(text), 1_000, StaleInput::Excluded, &mut written).await;
        assert!(written.is_some());
        exchange.outcome
    })
}

#[test]
fn a_whole_error_alone_proves_that_nothing_ran() {
    assert_eq!(outcome(READ, &[&error("ERROR", "53300"), READY_FOR_QUERY]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "53300"), READY_FOR_QUERY]), Outcome::Saturated);
    assert_eq!(outcome_with(AfterAnswers::Close, WRITE, &[&error("FATAL", "53300")]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "25006"), READY_FOR_QUERY]), Outcome::Miss);
    assert_eq!(outcome(READ, &[&error("ERROR", "72000"), READY_FOR_QUERY]), Outcome::Miss);
}

#[test]
fn an_error_after_a_row_or_its_description_is_no_proof_that_nothing_ran() {
    for code in ["53300", "25006"] {
        let error = error("ERROR", code);
        assert_eq!(
            outcome(WRITE, &[&row_description(), &error, READY_FOR_QUERY]),
            Outcome::Errored,
            "{code}"
        );
        assert_eq!(
            outcome(WRITE, &[&row_description(), &data_row(b"v"), &error, READY_FOR_QUERY]),
            Outcome::Errored,
            "{code}"
        );
    }
}

#[test]
fn an_error_with_a_field_given_twice_is_no_proof_that_nothing_ran() {
    for fields in
        ["SERROR\0CXX000\0C53300\0Mno", "SERROR\0C53300\0C53300\0Mno", "SERROR\0SFATAL\0C53300\0Mno"]
    {
        assert_eq!(
            outcome(WRITE, &[&error_with_fields(fields), READY_FOR_QUERY]),
            Outcome::Errored,
            "{fields:?}"
        );
    }
}

#[test]
fn a_notice_in_the_form_of_an_error_is_no_proof_that_nothing_ran() {
    for fields in ["SNOTICE\0C53300\0Mno", "SWARNING\0VWARNING\0C53300\0Mno", "SERROR\0VLOG\0C53300\0Mno"] {
        assert_eq!(
            outcome(WRITE, &[&error_with_fields(fields), READY_FOR_QUERY]),
            Outcome::Errored,
            "{fields:?}"
        );
    }
}

#[test]
fn a_fatal_error_followed_by_garbage_is_no_proof_that_nothing_ran() {
    let fatal = error("FATAL", "53300");
    let row = [row_description(), data_row(b"v")].concat();
    // A truncated message, one with only its tag and length, a tag alone, and a byte that starts no message.
    for garbage in [&row[..20], &row[..5], &row[..1], &[0xff][..]] {
        let outcome = outcome_with(AfterAnswers::Close, WRITE, &[&fatal, garbage]);
        assert!(!outcome.never_ran(), "{outcome:?} with {garbage:?} after it");
    }
}

#[test]
fn a_code_that_does_not_fit_the_statement_is_no_proof_that_nothing_ran() {
    // 25006 (read-only) cannot apply to a read, which needs no primary, and 72000 (position not reached)
    // cannot apply to a write, which carries no position that it must see.
    assert_eq!(outcome(READ, &[&error("ERROR", "25006"), READY_FOR_QUERY]), Outcome::Errored);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "72000"), READY_FOR_QUERY]), Outcome::Errored);
}

#[test]
fn bytes_after_the_startup_response_are_no_answer_to_the_first_statement() {
    let startup_response = [STARTUP_RESPONSE, &error("ERROR", "53300"), READY_FOR_QUERY].concat();
    // The member sends the error before it receives the statement. If the proxy took the error for the
    // answer, it would conclude that the statement never ran while the member still runs it.
    let address = member(startup_response, vec![Vec::new()], AfterAnswers::WaitForClose);
    let outcome = block_on(async {
        let mut connection = connect(address).await?;
        Ok(connection.run(&work(WRITE), 1_000, StaleInput::Excluded, &mut None).await.outcome)
    });
    assert_eq!(outcome, Err(Outcome::Refused), "no statement may be written on this connection");
}

#[test]
fn a_large_row_after_an_error_is_no_answer() {
    // The member sends only the start of the row: the proxy handles a large row before it is complete.
    let large = data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1);
    assert_eq!(outcome(READ, &[&row_description(), &large]), Outcome::Completed);
    assert_eq!(outcome(READ, &[&row_description(), &error("ERROR", "XX000"), &large]), Outcome::Errored);
}
