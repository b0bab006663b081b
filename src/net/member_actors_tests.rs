//! Attempts that wait in a full mailbox of a member's actor while the member leaves or moves, or while attempts are
//! withdrawn: none of them may be sent.

use super::*;
use crate::core::flow::ChunkSender;
use crate::core::Work;
use crate::net::member_protocol::{Confirmation, Exchange, MemberConnection, StaleInput};
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, OwnedSemaphorePermit};

/// A protocol whose connections open only when `opens` is set, and which counts the statements that are written.
#[derive(Clone)]
struct BlockedProtocol {
    opens: watch::Receiver<bool>,
    written: Arc<AtomicUsize>,
    /// The addresses to which connections were opened.
    addresses: Arc<std::sync::Mutex<Vec<std::net::SocketAddr>>>,
}

struct Connection(BlockedProtocol);

impl MemberProtocol for BlockedProtocol {
    type Connection = Connection;

    async fn open(
        &self,
        address: std::net::SocketAddr,
        _permit: OwnedSemaphorePermit,
    ) -> Result<Connection, Outcome> {
        self.addresses.lock().expect("no panic").push(address);
        let _ = self.opens.clone().wait_for(|opens| *opens).await;
        Ok(Connection(self.clone()))
    }
}

impl MemberConnection for Connection {
    fn is_quiet(&self) -> bool {
        false
    }

    async fn fence(&mut self) -> bool {
        false
    }

    async fn run(
        &mut self,
        _: &Work,
        _: Time,
        _: StaleInput,
        written: &mut Option<std::time::Instant>,
    ) -> Exchange {
        *written = Some(std::time::Instant::now());
        self.0.written.fetch_add(1, Ordering::Relaxed);
        Exchange { outcome: Outcome::Completed, ..Exchange::default() }
    }

    async fn confirm(&mut self) -> Confirmation {
        Confirmation::Reusable
    }

    async fn forward_rest(&mut self, _: ChunkSender) -> bool {
        false
    }

    async fn probe(&mut self, _: StaleInput) -> Option<(Report, bool)> {
        None
    }
}

const MEMBER: MemberId = MemberId(1);
/// Attempts that fit into the mailbox, so that the next command does not.
const ATTEMPTS: usize = MAILBOX_SIZE;

fn listed(service_state: ServiceState, port: u16) -> ListedMember {
    let member = Member { id: MEMBER, zone: 0, group: 1, service_state, primary: true, up_since: None };
    ListedMember { name: "m".into(), member, address: ([127, 0, 0, 1], port).into() }
}

fn attempt(n: usize, clock: &Clock) -> Attempt {
    Attempt {
        id: RequestId(n as u64),
        number: 0,
        work: Work::Verbatim { text: Bytes::from_static(b"x"), wait: 0..0, has_idempotency_key: true },
        stop_at: clock.now() + 60_000_000,
        safe: true,
        buffer_answer: false,
        rules_until: Time::MAX,
        dedup_until: Time::MAX,
        fresh_until: Time::MAX,
        client: None,
        client_seen: clock.now(),
    }
}

/// Fills the member's mailbox and runs `then` before the actor gets to run, then lets connections open. Returns the
/// outcomes of all attempts, the number of statements written, and the addresses to which connections were opened.
fn run_with_full_mailbox(
    then: impl FnOnce(&mut MemberActors<BlockedProtocol>),
) -> (Vec<Outcome>, usize, Vec<std::net::SocketAddr>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (open, opens) = watch::channel(false);
        let protocol = BlockedProtocol { opens, written: Arc::default(), addresses: Arc::default() };
        let (core, mut inputs) = mpsc::channel(8);
        let (clock, times) =
            (Clock::start(), SocketTimes { connect_timeout: 30_000_000, keepalive: 30_000_000 });
        let budget = Budget::new(16_384, 1 << 28);
        let mut actors = MemberActors::new(core, mpsc::channel(1).0, budget, clock, times, protocol.clone());
        actors.update_list(ListKind::Full, &[listed(ServiceState::Active, 9)]);
        let accepted = (0..ATTEMPTS).filter(|n| actors.start_attempt(MEMBER, attempt(*n, &clock))).count();
        assert!(!actors.start_attempt(MEMBER, attempt(ATTEMPTS, &clock)), "the mailbox is full");
        then(&mut actors);
        let mut outcomes = Vec::new();
        let mut opened = false;
        while outcomes.len() < accepted {
            let next = tokio::time::timeout(Duration::from_millis(200), inputs.recv()).await;
            match next {
                Ok(Some(Input::Ended(_, _, ending))) => outcomes.push(ending.outcome),
                Ok(other) => panic!("{other:?}"),
                Err(_) if !opened => opened = open.send(true).is_ok(),
                Err(_) => panic!("{} of {accepted} attempts have ended", outcomes.len()),
            }
        }
        let addresses = protocol.addresses.lock().expect("no panic").clone();
        (outcomes, protocol.written.load(Ordering::Relaxed), addresses)
    })
}

#[test]
fn a_member_that_leaves_while_its_mailbox_is_full_gets_no_new_statement() {
    for service_state in [ServiceState::Draining, ServiceState::Removed] {
        let (outcomes, written, _) = run_with_full_mailbox(|actors| {
            actors.update_list(ListKind::Changes, &[listed(service_state, 9)])
        });
        assert_eq!(written, 0, "{service_state:?}");
        assert!(outcomes.iter().all(|o| *o == Outcome::Superseded), "{service_state:?}");
    }
}

#[test]
fn a_member_that_moves_while_its_mailbox_is_full_gets_no_statement_at_its_former_address() {
    let (outcomes, written, addresses) = run_with_full_mailbox(|actors| {
        actors.update_list(ListKind::Changes, &[listed(ServiceState::Active, 10)]);
    });
    assert!(addresses.iter().all(|address| address.port() == 10), "{addresses:?}");
    assert_eq!(written, 0);
    assert!(outcomes.iter().all(|o| *o == Outcome::Superseded));
}

#[test]
fn attempts_withdrawn_while_the_mailbox_is_full_are_never_sent() {
    let (outcomes, written, _) = run_with_full_mailbox(|actors| {
        (0..ATTEMPTS / 2).for_each(|n| actors.withdraw(MEMBER, RequestId(n as u64), 0));
    });
    let ended = |outcome| outcomes.iter().filter(|o| **o == outcome).count();
    assert_eq!(
        (written, ended(Outcome::Superseded), ended(Outcome::Completed)),
        (ATTEMPTS / 2, ATTEMPTS / 2, ATTEMPTS / 2)
    );
}

#[test]
fn an_attempt_for_a_leaving_member_is_rejected() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let protocol = BlockedProtocol {
            opens: watch::channel(true).1,
            written: Arc::default(),
            addresses: Arc::default(),
        };
        let (clock, times) =
            (Clock::start(), SocketTimes { connect_timeout: 1_000_000, keepalive: 1_000_000 });
        let budget = Budget::new(1_024, 1 << 28);
        let mut actors =
            MemberActors::new(mpsc::channel(8).0, mpsc::channel(1).0, budget, clock, times, protocol);
        actors.update_list(ListKind::Full, &[listed(ServiceState::Draining, 9)]);
        assert!(!actors.start_attempt(MEMBER, attempt(1, &clock)));
        actors.update_list(ListKind::Full, &[listed(ServiceState::Active, 9)]);
        assert!(actors.start_attempt(MEMBER, attempt(2, &clock)));
    });
}
