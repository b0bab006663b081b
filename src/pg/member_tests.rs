//! Answers of members, byte by byte, on real sockets: which of them prove that a statement never ran.

use super::*;
use crate::net::budget::Budget;
use crate::pg::member_codec::MAX_BUFFERED_VALUE_LEN;
use crate::pg::scripted_member::{
    self, data_row, data_row_start, error, error_of, read_query, row_description, READY_FOR_QUERY,
    STARTUP_RESPONSE,
};
use std::future::Future;
use std::io::Write;
use std::net::TcpStream;

const READ: &[u8] = b"SELECT v FROM records WHERE k = 'k1' /* id=01,d= */";
const WRITE: &[u8] = b"INSERT INTO records (k, v) VALUES ('k1', '\\x01') RETURNING v /* id=01,d= */";

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
    let script = move |client: &mut TcpStream| {
        for answer in answers {
            read_query(client)?;
            client.write_all(&answer)?;
        }
        match then {
            Then::Waits => read_query(client).map(drop),
            Then::Ends => Ok(()),
        }
    };
    scripted_member::start(welcome, script).0
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
    PgConnector::new(budget.bytes).open(address, permit).await
}

/// How a statement ends that a member answers so, on a new connection.
fn outcome(text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    outcome_where_member(Then::Waits, text, answer)
}

fn outcome_where_member(then: Then, text: &'static [u8], answer: &[&[u8]]) -> Outcome {
    let address = member(STARTUP_RESPONSE.to_vec(), vec![answer.concat()], then);
    block_on(async {
        let mut link = opened(address).await.expect("a welcome");
        let mut written = false;
        let exchange = link.run(&work(text), 1_000, StaleInput::Excluded, &mut written).await;
        assert!(written);
        exchange.outcome
    })
}

#[test]
fn a_whole_error_alone_proves_that_nothing_ran() {
    assert_eq!(outcome(READ, &[&error("ERROR", "53300"), READY_FOR_QUERY]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "53300"), READY_FOR_QUERY]), Outcome::Saturated);
    assert_eq!(outcome_where_member(Then::Ends, WRITE, &[&error("FATAL", "53300")]), Outcome::Saturated);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "25006"), READY_FOR_QUERY]), Outcome::Miss);
    assert_eq!(outcome(READ, &[&error("ERROR", "72000"), READY_FOR_QUERY]), Outcome::Miss);
}

#[test]
fn an_error_behind_a_row_or_its_description_is_no_proof_that_nothing_ran() {
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
        assert_eq!(outcome(WRITE, &[&error_of(fields), READY_FOR_QUERY]), Outcome::Errored, "{fields:?}");
    }
}

#[test]
fn a_notice_in_the_form_of_an_error_is_no_proof_that_nothing_ran() {
    for fields in ["SNOTICE\0C53300\0Mno", "SWARNING\0VWARNING\0C53300\0Mno", "SERROR\0VLOG\0C53300\0Mno"] {
        assert_eq!(outcome(WRITE, &[&error_of(fields), READY_FOR_QUERY]), Outcome::Errored, "{fields:?}");
    }
}

#[test]
fn a_fatal_error_with_noise_before_the_end_is_no_proof_that_nothing_ran() {
    let fatal = error("FATAL", "53300");
    let row = [row_description(), data_row(b"v")].concat();
    // A message that is cut off, one whose length alone has come, and a byte that begins none.
    for noise in [&row[..20], &row[..5], &row[..1], &[0xff][..]] {
        let outcome = outcome_where_member(Then::Ends, WRITE, &[&fatal, noise]);
        assert!(!outcome.never_ran(), "{outcome:?} with {noise:?} behind it");
    }
}

#[test]
fn a_code_that_does_not_fit_the_statement_is_no_proof_that_nothing_ran() {
    // A read needs no primary; a write carries no position that it would have to see.
    assert_eq!(outcome(READ, &[&error("ERROR", "25006"), READY_FOR_QUERY]), Outcome::Errored);
    assert_eq!(outcome(WRITE, &[&error("ERROR", "72000"), READY_FOR_QUERY]), Outcome::Errored);
}

#[test]
fn what_stands_behind_the_welcome_is_no_answer_to_the_first_statement() {
    let welcome = [STARTUP_RESPONSE, &error("ERROR", "53300"), READY_FOR_QUERY].concat();
    // The member runs the statement and is still busy with it when the proxy has read what it takes for the answer.
    let address = member(welcome, vec![Vec::new()], Then::Waits);
    let ran = block_on(async {
        let mut link = opened(address).await?;
        Ok(link.run(&work(WRITE), 1_000, StaleInput::Excluded, &mut false).await.outcome)
    });
    assert_eq!(ran, Err(Outcome::Refused), "a connection on which nothing may be written");
}

#[test]
fn a_large_row_behind_an_error_is_no_answer() {
    // Its first bytes alone, as it stands before it has come whole.
    let large = data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1);
    assert_eq!(outcome(READ, &[&row_description(), &large]), Outcome::Completed);
    assert_eq!(outcome(READ, &[&row_description(), &error("ERROR", "XX000"), &large]), Outcome::Errored);
}
