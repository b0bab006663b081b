//! Attempts that end while their statement is being written, on real sockets: the reported outcome must be
//! consistent with what the member received.

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
/// Longer than anything takes on a slow machine.
const TEST_TIMEOUT: Time = 60_000_000;
/// A statement larger than any socket buffer.
const LARGE: usize = 32 << 20;

fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(future)
}

/// An actor with one attempt: its command channel and what it reports to the core.
struct ActorRig {
    commands: mpsc::Sender<MemberCommand>,
    reports: mpsc::Receiver<Input>,
    state: SharedMemberState,
    clock: Clock,
}

impl ActorRig {
    /// Starts an actor for the member at `address` and gives it an attempt whose time is over after `timeout` us.
    async fn start(address: SocketAddr, statement: usize, timeout: Time, safe: bool) -> Self {
        let clock = Clock::start();
        let budget = Budget::new(64, 1 << 28);
        let state = SharedMemberState::new(
            address,
            SocketTimes { connect_timeout: TEST_TIMEOUT, keepalive: TEST_TIMEOUT },
        );
        let (core, reports) = mpsc::channel(8);
        let (commands, mailbox) = mpsc::channel(8);
        let protocol = PgConnector::new(budget.bytes.clone());
        tokio::spawn(
            MemberActor::new(MemberId(1), state.clone(), core, budget, clock, protocol).run(mailbox),
        );
        let rig = ActorRig { commands, reports, state, clock };
        rig.send_attempt(KEY, statement, timeout, safe).await;
        rig
    }

    /// Gives the actor an attempt.
    async fn send_attempt(&self, key: AttemptKey, statement: usize, timeout: Time, safe: bool) {
        let attempt = Attempt {
            id: key.0,
            number: key.1,
            work: Work::Verbatim {
                text: Bytes::from(vec![b'x'; statement]),
                wait: 0..0,
                has_idempotency_key: true,
            },
            stop_at: self.clock.now() + timeout,
            safe,
            buffer_answer: !safe,
            rules_until: Time::MAX,
            dedup_until: Time::MAX,
            fresh_until: Time::MAX,
            client: None,
            client_seen: self.clock.now(),
        };
        self.state.lock().gate.register(key);
        self.commands.send(MemberCommand::Attempt(attempt)).await.expect("the actor runs");
    }

    async fn cancel(&self) {
        self.commands.send(MemberCommand::Cancel(KEY.0, KEY.1)).await.expect("the actor runs");
    }

    /// Returns the outcome of the attempt.
    async fn outcome(&mut self) -> Outcome {
        match self.reports.recv().await {
            Some(Input::Ended(id, number, ending)) if (id, number) == KEY => ending.outcome,
            other => panic!("no end: {other:?}"),
        }
    }

    /// Waits until the actor has ended, and returns all outcomes reported for the attempt, including `first`.
    async fn all_ends(self, first: Outcome) -> Vec<Outcome> {
        let (mut ends, ActorRig { commands, mut reports, .. }) = (vec![first], self);
        drop(commands);
        while let Some(input) = reports.recv().await {
            if let Input::Ended(_, _, ending) = input {
                ends.push(ending.outcome);
            }
        }
        ends
    }
}

/// A member that reads the statement only when allowed to.
struct SlowReader {
    address: SocketAddr,
    /// Notified when the first byte of a statement has arrived.
    begun: oneshot::Receiver<()>,
    /// Allows the member to read until the connection ends.
    reads_on: std_mpsc::Sender<()>,
    /// Whether a complete statement arrived.
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

    /// Lets the member read everything, and returns whether a complete statement arrives.
    fn received_whole(self) -> bool {
        let _ = self.reads_on.send(());
        // Unblocks the member's accept if the client ended before it had connected.
        drop(std::net::TcpStream::connect(self.address));
        matches!(self.whole.join().expect("no panic"), Ok(true))
    }
}

#[test]
fn an_attempt_that_times_out_while_being_written_never_arrives_whole() {
    let (outcome, member) = block_on(async {
        let member = SlowReader::start();
        let outcome = ActorRig::start(member.address, LARGE, 300_000, false).await.outcome().await;
        (outcome, member)
    });
    assert!(matches!(outcome, Outcome::Refused | Outcome::Superseded), "{outcome:?}");
    assert!(!member.received_whole());
}

#[test]
fn an_attempt_that_times_out_after_its_last_byte_is_not_reported_as_never_run() {
    let (outcome, member) = block_on(async {
        let member = SlowReader::start();
        let outcome = ActorRig::start(member.address, 64, 300_000, false).await.outcome().await;
        (outcome, member)
    });
    // On a slow machine the attempt may not even have begun.
    assert!(!(outcome.never_ran() && member.received_whole()), "{outcome:?}");
}

#[test]
fn an_attempt_cancelled_while_being_written_is_not_reported_as_never_run() {
    let (outcome, member) = block_on(async {
        let mut member = SlowReader::start();
        let mut rig = ActorRig::start(member.address, LARGE, TEST_TIMEOUT, false).await;
        (&mut member.begun).await.expect("the first byte comes");
        rig.cancel().await;
        (rig.outcome().await, member)
    });
    assert_eq!(outcome, Outcome::Cancelled);
    assert!(!member.received_whole());
}

#[test]
fn a_reset_during_the_write_means_that_the_statement_never_arrived_whole() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        client.read_exact(&mut [0; 1024])?;
        SockRef::from(&*client).set_linger(Some(Duration::ZERO))
    });
    let outcome =
        block_on(async { ActorRig::start(address, LARGE, TEST_TIMEOUT, false).await.outcome().await });
    assert_eq!(outcome, Outcome::Refused);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn a_reset_after_the_last_byte_leaves_open_whether_the_statement_ran() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        read_query(client)?;
        SockRef::from(&*client).set_linger(Some(Duration::ZERO))
    });
    let outcome =
        block_on(async { ActorRig::start(address, 4096, TEST_TIMEOUT, false).await.outcome().await });
    assert_eq!(outcome, Outcome::Reset);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn an_attempt_whose_value_is_being_forwarded_ends_once_even_if_cancelled() {
    let (close, may_close) = std_mpsc::channel::<()>();
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), move |client| {
        read_query(client)?;
        client.write_all(&[row_description(), data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1)].concat())?;
        let _ = may_close.recv();
        Ok(())
    });
    let ends = block_on(async {
        let mut rig = ActorRig::start(address, 64, TEST_TIMEOUT, true).await;
        let Some(Input::Ended(_, _, ending)) = rig.reports.recv().await else { panic!("no end") };
        rig.cancel().await;
        // The member closes the connection only after the cancellation.
        while rig.commands.capacity() < rig.commands.max_capacity() {
            tokio::task::yield_now().await;
        }
        drop(close);
        let ends = rig.all_ends(ending.outcome).await;
        drop(ending.value);
        ends
    });
    assert_eq!(ends, [Outcome::Completed]);
    member.join().expect("no panic").expect("its client came");
}

#[test]
fn a_connection_with_an_unforwarded_rest_of_a_value_does_not_carry_the_next_statement() {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), |client| {
        read_query(client)?;
        client.write_all(&[row_description(), data_row_start(MAX_BUFFERED_VALUE_LEN as u32 + 1)].concat())?;
        Ok(read_query(client).is_ok())
    });
    let asked_again = block_on(async {
        let mut rig = ActorRig::start(address, 64, TEST_TIMEOUT, false).await;
        assert_eq!(rig.outcome().await, Outcome::Errored);
        rig.send_attempt((RequestId(8), 0), 64, TEST_TIMEOUT, true).await;
        tokio::task::spawn_blocking(|| member.join()).await.expect("it is waited for")
    });
    assert!(!asked_again.expect("no panic").expect("its client came"));
}

/// Runs an attempt that the member rejects with a code by which it never ran. `next` is the member's answer to the
/// query that follows, if any. Returns the outcome and whether there was such a query.
fn rejected_attempt(safe: bool, next: Option<Vec<u8>>) -> (Outcome, bool) {
    let (address, member) = scripted_member::start(STARTUP_RESPONSE.to_vec(), move |client| {
        read_query(client)?;
        client.write_all(&[&error("ERROR", "53300")[..], READY_FOR_QUERY].concat())?;
        let asked = read_query(client).is_ok();
        if let Some(next) = next {
            client.write_all(&next)?;
            // The member stays until its client has gone.
            let _ = read_query(client);
        }
        Ok(asked)
    });
    let outcome = block_on(async {
        let mut rig = ActorRig::start(address, 64, TEST_TIMEOUT, safe).await;
        let outcome = rig.outcome().await;
        assert_eq!(rig.all_ends(outcome).await, [outcome]);
        outcome
    });
    (outcome, member.join().expect("no panic").expect("its client came"))
}

#[test]
fn a_value_after_a_rejection_leaves_open_whether_an_unsafe_statement_ran() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    let value =
        [&row_description()[..], &data_row(b"v"), &message(b'C', b"DONE 1\0"), READY_FOR_QUERY].concat();
    for late in [[&value[..], &empty].concat(), value[..30].to_vec(), [&empty[..], &value].concat()] {
        assert_eq!(rejected_attempt(false, Some(late)), (Outcome::Errored, true));
    }
}

#[test]
fn a_rejection_with_nothing_after_it_proves_that_an_unsafe_statement_never_ran() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    assert_eq!(rejected_attempt(false, Some(empty)), (Outcome::Saturated, true));
    // Here the member closes the connection instead.
    assert_eq!(rejected_attempt(false, None), (Outcome::Saturated, true));
}

#[test]
fn a_later_copy_of_a_rejection_does_not_contradict_it() {
    let empty = [&message(b'I', &[])[..], READY_FOR_QUERY].concat();
    let copy = [&error("ERROR", "53300")[..], READY_FOR_QUERY].concat();
    assert_eq!(rejected_attempt(false, Some([&copy[..], &empty].concat())), (Outcome::Saturated, true));
    let failure = [&error("ERROR", "XX000")[..], READY_FOR_QUERY].concat();
    assert_eq!(rejected_attempt(false, Some([&failure[..], &empty].concat())), (Outcome::Errored, true));
}

#[test]
fn a_rejection_of_a_safe_statement_needs_no_confirmation() {
    assert_eq!(rejected_attempt(true, None), (Outcome::Saturated, false));
}
