//! All peers and discovery, as the core sees them. Nothing here waits: mailboxes are filled with `try_send`, and a
//! full one is answered for at once as an attempt that was never sent.

use super::budget::Budget;
use super::discovery;
use super::link::Wire;
use super::peer::{self, Order};
use crate::clock::Clock;
use crate::core::{Attempt, Input, Listed, Members};
use crate::interface::*;
use crate::settings::SocketTimes;
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Orders that may wait at a peer.
const MAILBOX: usize = 1024;
/// How long a member that has gone keeps its actor, in us: its last attempts may still be cancelled. Longer than any
/// of them lasts; members are replaced all the time.
const KEPT: Time = 5_000_000;

struct Peer {
    orders: mpsc::Sender<Order>,
    gone: Option<Time>,
}

/// The peers.
pub struct Fleet<W> {
    peers: HashMap<MemberId, Peer>,
    core: mpsc::Sender<Input>,
    discovery: mpsc::Sender<discovery::Follow>,
    budget: Budget,
    clock: Clock,
    times: SocketTimes,
    wire: W,
}

impl<W: Wire> Fleet<W> {
    /// No peers yet.
    pub fn new(
        core: mpsc::Sender<Input>,
        discovery: mpsc::Sender<discovery::Follow>,
        budget: Budget,
        clock: Clock,
        times: SocketTimes,
        wire: W,
    ) -> Self {
        Fleet { peers: HashMap::new(), core, discovery, budget, clock, times, wire }
    }

    fn order(&self, member: MemberId, order: Order) -> bool {
        self.peers.get(&member).is_some_and(|p| p.orders.try_send(order).is_ok())
    }

    fn gone(&mut self, member: MemberId) {
        let now = self.clock.now();
        if let Some(p) = self.peers.get_mut(&member) {
            p.gone.get_or_insert(now);
            let _ = p.orders.try_send(Order::Leaves);
            let _ = p.orders.try_send(Order::CloseIdle);
        }
    }
}

impl<W: Wire> Members for Fleet<W> {
    fn attempt(&mut self, member: MemberId, attempt: Attempt) -> bool {
        self.order(member, Order::Attempt(attempt))
    }

    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32) {
        self.order(member, Order::Cancel(id, number));
    }

    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32) {
        self.order(member, Order::Withdraw(id, number));
    }

    fn probe(&mut self, member: MemberId) -> bool {
        self.order(member, Order::Probe)
    }

    fn close_idle(&mut self, member: MemberId) {
        self.order(member, Order::CloseIdle);
    }

    fn list(&mut self, kind: ListKind, entries: &[Listed]) {
        if kind == ListKind::Failed {
            return;
        }
        for Listed { member, address, .. } in entries {
            if member.condition == Condition::Out {
                self.gone(member.id);
                continue;
            }
            let (core, budget, wire) = (self.core.clone(), self.budget.clone(), self.wire.clone());
            let (clock, times) = (self.clock, self.times);
            let peer = self.peers.entry(member.id).or_insert_with(|| {
                let (orders, mailbox) = mpsc::channel(MAILBOX);
                let at = (member.id, *address);
                tokio::spawn(peer::Peer::new(at, core, budget, clock, times, wire).run(mailbox));
                Peer { orders, gone: None }
            });
            peer.gone = None;
            let _ = peer.orders.try_send(Order::Address(*address));
            if member.condition == Condition::Draining {
                let _ = peer.orders.try_send(Order::Leaves);
            }
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            let left: Vec<MemberId> = self.peers.keys().copied().collect();
            for id in left {
                if !entries.iter().any(|e| e.member.id == id) {
                    self.gone(id);
                }
            }
        }
        let now = self.clock.now();
        self.peers.retain(|_, p| p.gone.is_none_or(|t| now < t + KEPT));
    }

    fn times(&mut self, times: SocketTimes) {
        self.times = times;
        self.peers.values().for_each(|p| drop(p.orders.try_send(Order::Times(times))));
    }

    fn follow(&mut self) -> bool {
        // One that waits already will do.
        !matches!(self.discovery.try_send(discovery::Follow), Err(mpsc::error::TrySendError::Closed(_)))
    }
}
