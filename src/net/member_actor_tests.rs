//! Attempts that end while their statement is written, on real sockets: what is said of them against what the member got.

use super::*;
use crate::core::Work;
use crate::pg::member::PgConnector;
use crate::pg::member_codec::MAX_BUFFERED_VALUE_LEN;
use crate::pg::scripted_member::{
    self, data_row, data_row_start, error, message, read_query, row_description, READY_FOR_QUERY,
    STARTUP_RESPONSE,
};
use bytes::Bytes;
use socket2::SockRef;
use std::future::Future;
use std::io::{Read, Write};
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use tokio::sync::oneshot;

const KEY: AttemptKey = (RequestId(7), 0);
/// Longer than anything here takes on a slow machine.
const PATIENCE: Time = 60_000_000;
/// A statement that no socket's buffers hold.
const LARGE: usize = 32 << 20;

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

/// A peer with one attempt, its orders, and what it tells the core.
struct Stage {
    orders: mpsc::Sender<MemberCommand>,
    told: mpsc::Receiver<Input>,
    state: SharedMemberState,
    clock: Clock,
}

impl Stage {
    /// Gives the attempt to a peer whose member is there. Nobody waits for it from `patience` on.
    async fn attempt(address: SocketAddr, statement: usize, patience: Time, safe: bool) -> Self {
        let clock = Clock::start();
        let budget = Budget::new(64, 1 << 28);
        let state =
            SharedMemberState::new(address, SocketTimes { connect_timeout: PATIENCE, keepalive: PATIENCE });
        let (core, told) = mpsc::channel(8);
        let (orders, mailbox) = mpsc::channel(8);
        let wire = PgConnector::new(budget.bytes.clone());
        tokio::spawn(MemberActor::new(MemberId(1), state.clone(), core, budget, clock, wire).run(mailbox));
        let stage = Stage { orders, told, state, clock };
        stage.give(KEY, statement, patience, safe).await;
        stage
    }

    /// Gives the peer an attempt.
    async fn give(&self, key: AttemptKey, statement: usize, patience: Time, safe: bool) {
        let attempt = Attempt {
            id: key.0,
            number: key.1,
            work: Work::Verbatim { text: Bytes::from(vec![b'x'; statement]), wait: 0..0 },
            stop_at: self.clock.now() + patience,
            safe,
            buffer_answer: !safe,
            rules_until: Time::MAX,
            dedup_until: Time::MAX,
            fresh_until: Time::MAX,
            client: None,
            client_seen: self.clock.now(),
        };
        self.state.lock().gate.register(key);
        self.orders.send(MemberCommand::Attempt(attempt)).await.expect("the peer runs");
    }

    async fn cancel(&self) {
        self.orders.send(MemberCommand::Cancel(KEY.0, KEY.1)).await.expect("the peer runs");
    }

    /// How the attempt has ended.
    async fn outcome(&mut self) -> Outcome {
        match self.told.recv().await {
            Some(Input::Ended(id, number, ending)) if (id, number) == KEY => ending.outcome,
            other => panic!("no end: {other:?}"),
        }
    }

    /// All ends of the attempt, once the peer has ended too.
    async fn all_ends(self, first: Outcome) -> Vec<Outcome> {
        let (mut ends, Stage { orders, mut told, .. }) = (vec![first], self);
        drop(orders);
        while let Some(input) = told.recv().await {
            if let Input::Ended(_, _, ending) = input {
                ends.push(ending.outcome);
            }
        }
        ends
    }
}

/// A member that reads no more than it is let.
struct SlowReader {
    address: SocketAddr,
    /// Told when a statement's first byte has come.
    begun: oneshot::Receiver<()>,
    /// Lets it read to the end of the connection.
    reads_on: std_mpsc::Sender<()>,
    /// Whether a whole statement came.
    whole: JoinHandle<std::io::Result<bool>>,
}

impl SlowReader {
    fn start() -> Self {
        let (begins, begun) = oneshot::channel();
        let (reads_on, may_read_on) = std_mpsc::channel::<()>();
        let (address, whole) = scripted_member::start(STARTUP_RESPONSE.to_vec(), move |client| {
            client.peek(&mut [0])?;
            let _ = begins.send(());
            let _ = may_read_on.recv();
            Ok(read_query(client).is_ok())
        });
        SlowReader { address, begun, reads_on, whole }
    }

    /// Whether a whole statement comes, if it reads all that does.
    fn got_whole(self) -> bool {
        let _ = self.reads_on.send(());
        // In place of a client that ended before it had connected.
        drop(std::net::TcpStream::connect(self.address));
        matches!(self.whole.join().expect("no panic"), Ok(true))
    }
}

#[test]
fn an_attempt_whose_time_is_over_in_mid_write_never_arrives_whole() {
    let (outcome, member) = block_on(async {
        let member = SlowReader::start();
        let outcome = Stage::attempt(member.address, LARGE, 300_000, false).await.outcome().await;
        (outcome, member)
    });
    assert!(matches!(outcome, Outcome::Refused | Outcome::Superseded), "{outcome:?}");
    assert!(!member.got_whole());
}

#[test]
fn an_attempt_whose_time_is_over_behind_its_last_byte_is_not_said_to_have_never_run() {
    let (outcome, member) = block_on(async {
        let member = SlowReader::start();
        let outcome = Stage::attempt(member.address, 64, 300_000, false).await.outcome().await;
        (outcome, member)
    });
    // On a slow machine it may not even have begun.
    assert!(!(outcome.never_ran() && member.got_whole()), "{outcome:?}");
}

#[test]
fn an_attempt_that_is_cancelled_in_mid_write_is_not_said_to_have_never_run() {
    let (outcome, member) = block_on(async {
        let mut member = SlowReader::start();
        let mut stage = Stage::attempt(member.address, LARGE, PATIENCE, false).await;
        (&mut member.begun).await.expect("the first byte comes");
        stage.cancel().await;
        (stage.outcome().await, member)
    });
    assert_eq!(outcome, Outcome::Cancelled);
    assert!(!member.got_whole());
}

#[test]
fn a_reset_in_mid_write_shows_that_the_statement_never_arrived_whole() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        client.read_exact(&mut [0; 1024])?;
        SockRef::from(&*client).set_linger(Some(Duration::ZERO))
    });
    let outcome = block_on(async { Stage::attempt(address, LARGE, PATIENCE, false).await.outcome().await });
    assert_eq!(outcome, Outcome::Refused);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn a_reset_behind_the_last_byte_leaves_open_whether_the_statement_ran() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        read_query(client)?;
        SockRef::from(&*client).set_linger(Some(Duration::ZERO))
    });
    let outcome = block_on(async { Stage::attempt(address, 4096, PATIENCE, false).await.outcome().await });
    assert_eq!(outcome, Outcome::Reset);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn an_attempt_whose_value_is_passed_on_ends_once_though_it_is_cancelled() {
    let (cut, is_cut) = std_mpsc::channel::<()>();
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), move |client| {
        read_query(client)?;
        client.write_all(&[row_description(), data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1)].concat())?;
        let _ = is_cut.recv();
        Ok(())
    });
    let ends = block_on(async {
        let mut stage = Stage::attempt(address, 64, PATIENCE, true).await;
        let Some(Input::Ended(_, _, ending)) = stage.told.recv().await else { panic!("no end") };
        stage.cancel().await;
        // The member ends the connection only behind the cancel.
        while stage.orders.capacity() < stage.orders.max_capacity() {
            tokio::task::yield_now().await;
        }
        drop(cut);
        let ends = stage.all_ends(ending.outcome).await;
        drop(ending.value);
        ends
    });
    assert_eq!(ends, [Outcome::Completed]);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn a_connection_in_the_middle_of_a_value_that_is_not_passed_on_carries_the_next_statement() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        read_query(client)?;
        client.write_all(&[row_description(), data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1)].concat())?;
        Ok(read_query(client).is_ok())
    });
    let asked_again = block_on(async {
        let mut stage = Stage::attempt(address, 64, PATIENCE, false).await;
        assert_eq!(stage.outcome().await, Outcome::Errored);
        stage.give((RequestId(8), 0), 64, PATIENCE, true).await;
        tokio::task::spawn_blocking(|| member.join()).await.expect("it is waited for")
    });
    assert!(!asked_again.expect("no panic").expect("its client came"));
}

/// How an attempt ends whose member turns it away, and then answers the next query, if there is one, so; and whether there
/// was one.
fn turned_away(safe: bool, next: Option<Vec<u8>>) -> (Outcome, bool) {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), move |client| {
        read_query(client)?;
        client.write_all(&[&error("ERROR", "53300")[..], READY_FOR_QUERY].concat())?;
        let asked = read_query(client).is_ok();
        if let Some(next) = next {
            client.write_all(&next)?;
            // It stays until its client has gone.
            let _ = read_query(client);
        }
        Ok(asked)
    });
    let outcome = block_on(async {
        let mut stage = Stage::attempt(address, 64, PATIENCE, safe).await;
        let outcome = stage.outcome().await;
        assert_eq!(stage.all_ends(outcome).await, [outcome]);
        outcome
    });
    (outcome, member.join().expect("no panic").expect("its client came"))
}

#[test]
fn a_value_that_comes_later_behind_a_refusal_leaves_open_whether_an_unsafe_statement_ran() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    let value =
        [&row_description()[..], &data_row(b"v"), &message(b'C', b"DONE 1\0"), READY_FOR_QUERY].concat();
    for late in [[&value[..], &empty].concat(), value[..30].to_vec(), [&empty[..], &value].concat()] {
        assert_eq!(turned_away(false, Some(late)), (Outcome::Errored, true));
    }
}

#[test]
fn a_refusal_with_nothing_behind_it_proves_that_an_unsafe_statement_never_ran() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    assert_eq!(turned_away(false, Some(empty)), (Outcome::Saturated, true));
    // The member ends the connection instead.
    assert_eq!(turned_away(false, None), (Outcome::Saturated, true));
}

#[test]
fn a_copy_of_a_refusal_that_comes_later_does_not_contradict_it() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    let copy = [&error("ERROR", "53300")[..], READY_FOR_QUERY].concat();
    assert_eq!(turned_away(false, Some([&copy[..], &empty].concat())), (Outcome::Saturated, true));
    let failure = [&error("ERROR", "XX000")[..], READY_FOR_QUERY].concat();
    assert_eq!(turned_away(false, Some([&failure[..], &empty].concat())), (Outcome::Errored, true));
}

#[test]
fn a_refusal_of_what_may_be_sent_again_is_taken_at_its_word() {
    assert_eq!(turned_away(true, None), (Outcome::Saturated, false));
}
