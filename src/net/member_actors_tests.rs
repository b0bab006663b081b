//! What becomes of attempts that wait at a member whose mailbox is full.

use super::*;
use crate::core::flow::ChunkSender;
use crate::core::Work;
use crate::net::member_protocol::{Confirmation, Exchange, MemberConnection, StaleInput};
use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, OwnedSemaphorePermit};

/// A wire whose connections come about once they may, and which counts the statements that are written.
#[derive(Clone)]
struct Held {
    opens: watch::Receiver<bool>,
    written: Arc<AtomicUsize>,
    /// Where the last connection led.
    led: Arc<std::sync::Mutex<Vec<std::net::SocketAddr>>>,
}

struct Connection(Held);

impl MemberProtocol for Held {
    type Connection = Connection;

    async fn open(
        &self,
        address: std::net::SocketAddr,
        _permit: OwnedSemaphorePermit,
    ) -> Result<Connection, Outcome> {
        self.led.lock().expect("no panic").push(address);
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

    async fn run(&mut self, _: &Work, _: Time, _: StaleInput, written: &mut bool) -> Exchange {
        *written = true;
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
/// Attempts that find room, so that the next order does not.
const ATTEMPTS: usize = MAILBOX;

fn listed(service_state: ServiceState, port: u16) -> ListedMember {
    let member = Member { id: MEMBER, zone: 0, group: 1, service_state, primary: true, up_since: None };
    ListedMember { name: "m".into(), member, address: ([127, 0, 0, 1], port).into() }
}

fn attempt(n: usize, clock: &Clock) -> Attempt {
    Attempt {
        id: RequestId(n as u64),
        number: 0,
        work: Work::Verbatim { text: Bytes::from_static(b"x"), wait: 0..0 },
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

/// Fills the member's mailbox in one go, does something to the member in the same go, and lets the connections come about:
/// the outcomes of all attempts, how many statements were written, and where connections led.
fn play(then: impl FnOnce(&mut MemberActors<Held>)) -> (Vec<Outcome>, usize, Vec<std::net::SocketAddr>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (open, opens) = watch::channel(false);
        let wire = Held { opens, written: Arc::default(), led: Arc::default() };
        let (core, mut inputs) = mpsc::channel(8);
        let (clock, times) =
            (Clock::start(), SocketTimes { connect_timeout: 30_000_000, keepalive: 30_000_000 });
        let budget = Budget::new(16_384, 1 << 28);
        let mut fleet = MemberActors::new(core, mpsc::channel(1).0, budget, clock, times, wire.clone());
        fleet.update_list(ListKind::Full, &[listed(ServiceState::Active, 9)]);
        let sent = (0..ATTEMPTS).filter(|n| fleet.start_attempt(MEMBER, attempt(*n, &clock))).count();
        assert!(!fleet.start_attempt(MEMBER, attempt(ATTEMPTS, &clock)), "the mailbox is full");
        then(&mut fleet);
        let mut outcomes = Vec::new();
        let mut opened = false;
        while outcomes.len() < sent {
            let next = tokio::time::timeout(Duration::from_millis(200), inputs.recv()).await;
            match next {
                Ok(Some(Input::Ended(_, _, ending))) => outcomes.push(ending.outcome),
                Ok(other) => panic!("{other:?}"),
                Err(_) if !opened => opened = open.send(true).is_ok(),
                Err(_) => panic!("{} of {sent} attempts have ended", outcomes.len()),
            }
        }
        let led = wire.led.lock().expect("no panic").clone();
        (outcomes, wire.written.load(Ordering::Relaxed), led)
    })
}

#[test]
fn a_member_that_leaves_while_its_mailbox_is_full_gets_nothing_new() {
    for service_state in [ServiceState::Draining, ServiceState::Removed] {
        let (outcomes, written, _) =
            play(|fleet| fleet.update_list(ListKind::Changes, &[listed(service_state, 9)]));
        assert_eq!(written, 0, "{service_state:?}");
        assert!(outcomes.iter().all(|o| *o == Outcome::Superseded), "{service_state:?}");
    }
}

#[test]
fn a_member_that_moves_while_its_mailbox_is_full_gets_nothing_at_its_former_address() {
    let (outcomes, written, led) = play(|fleet| {
        fleet.update_list(ListKind::Changes, &[listed(ServiceState::Active, 10)]);
    });
    assert!(led.iter().all(|address| address.port() == 10), "{led:?}");
    assert_eq!(written, 0);
    assert!(outcomes.iter().all(|o| *o == Outcome::Superseded));
}

#[test]
fn what_is_withdrawn_while_the_mailbox_is_full_is_never_sent() {
    let (outcomes, written, _) = play(|fleet| {
        (0..ATTEMPTS / 2).for_each(|n| fleet.withdraw(MEMBER, RequestId(n as u64), 0));
    });
    let ended = |outcome| outcomes.iter().filter(|o| **o == outcome).count();
    assert_eq!(
        (written, ended(Outcome::Superseded), ended(Outcome::Completed)),
        (ATTEMPTS / 2, ATTEMPTS / 2, ATTEMPTS / 2)
    );
}

#[test]
fn a_decision_to_send_to_a_member_that_leaves_is_not_carried_out() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let wire = Held { opens: watch::channel(true).1, written: Arc::default(), led: Arc::default() };
        let (clock, times) =
            (Clock::start(), SocketTimes { connect_timeout: 1_000_000, keepalive: 1_000_000 });
        let budget = Budget::new(1_024, 1 << 28);
        let mut fleet = MemberActors::new(mpsc::channel(8).0, mpsc::channel(1).0, budget, clock, times, wire);
        fleet.update_list(ListKind::Full, &[listed(ServiceState::Draining, 9)]);
        assert!(!fleet.start_attempt(MEMBER, attempt(1, &clock)));
        fleet.update_list(ListKind::Full, &[listed(ServiceState::Active, 9)]);
        assert!(fleet.start_attempt(MEMBER, attempt(2, &clock)));
    });
}
