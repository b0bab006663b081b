//! All peers and discovery, as the core sees them. Nothing here waits: mailboxes are filled with `try_send`, and a
//! full one is answered for at once as an attempt that was never sent. What must not be lost stands in the state that a
//! peer shares with the fleet (`net::member_state`); orders only hasten it.

use super::budget::Budget;
use super::discovery;
use super::member_actor::{self, MemberCommand};
use super::member_protocol::MemberProtocol;
use super::member_state::SharedMemberState;
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{report_violation, Attempt, Input, ListedMember, Members};
use crate::interface::*;
use crate::policy::invariants::Violation;
use crate::settings::SocketTimes;
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Orders that may wait at a peer.
const MAILBOX: usize = 1024;
/// How long a member that has gone keeps its actor, in us: its last attempts may still be cancelled. Longer than any
/// of them lasts; members are replaced all the time.
const KEPT: Time = 5_000_000;

struct ActorHandle {
    orders: mpsc::Sender<MemberCommand>,
    state: SharedMemberState,
    /// Announced as leaving.
    leaves: bool,
    gone: Option<Time>,
}

impl ActorHandle {
    /// Hastens what stands in the state already; false where the mailbox is full.
    fn order(&self, order: MemberCommand) -> bool {
        let taken = self.orders.try_send(order).is_ok();
        if !taken {
            count(Count::orders_dropped);
        }
        taken
    }

    /// Nothing new may go to the member, nor anything of which nothing has been written yet.
    fn withdraw_all(&self) {
        self.state.lock().gate.withdraw_all();
        self.order(MemberCommand::Withdrawn);
    }

    fn close_idle(&self) {
        self.state.lock().idle_closes += 1;
        self.order(MemberCommand::Changed);
    }
}

/// The peers.
pub struct MemberActors<W> {
    peers: HashMap<MemberId, ActorHandle>,
    core: mpsc::Sender<Input>,
    discovery: mpsc::Sender<discovery::ListRequest>,
    budget: Budget,
    clock: Clock,
    times: SocketTimes,
    wire: W,
}

impl<W: MemberProtocol> MemberActors<W> {
    /// No peers yet.
    pub fn new(
        core: mpsc::Sender<Input>,
        discovery: mpsc::Sender<discovery::ListRequest>,
        budget: Budget,
        clock: Clock,
        times: SocketTimes,
        wire: W,
    ) -> Self {
        MemberActors { peers: HashMap::new(), core, discovery, budget, clock, times, wire }
    }

    fn order(&self, member: MemberId, order: MemberCommand) -> bool {
        self.peers.get(&member).is_some_and(|p| p.order(order))
    }

    fn gone(&mut self, member: MemberId) {
        let now = self.clock.now();
        if let Some(p) = self.peers.get_mut(&member) {
            p.gone.get_or_insert(now);
            p.withdraw_all();
            p.close_idle();
        }
    }
}

impl<W: MemberProtocol> Members for MemberActors<W> {
    fn start_attempt(&mut self, member: MemberId, attempt: Attempt) -> bool {
        let Some(peer) = self.peers.get(&member) else { return false };
        let key = attempt.key();
        if peer.leaves {
            report_violation(attempt.id, Some(member), Violation::SentToLeaving);
            return false;
        }
        peer.state.lock().gate.register(key);
        let taken = peer.order(MemberCommand::Attempt(attempt));
        if !taken {
            peer.state.lock().gate.end(key);
        }
        taken
    }

    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32) {
        if let Some(peer) = self.peers.get(&member) {
            peer.state.lock().gate.withdraw((id, number));
            peer.order(MemberCommand::Cancel(id, number));
        }
    }

    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32) {
        let Some(peer) = self.peers.get(&member) else { return };
        if peer.state.lock().gate.withdraw((id, number)) {
            peer.order(MemberCommand::Cancel(id, number));
        }
    }

    fn probe(&mut self, member: MemberId) -> bool {
        self.order(member, MemberCommand::Probe)
    }

    fn close_idle(&mut self, member: MemberId) {
        self.peers.get(&member).into_iter().for_each(ActorHandle::close_idle);
    }

    fn update_list(&mut self, kind: ListKind, entries: &[ListedMember]) {
        if kind == ListKind::Failed {
            return;
        }
        for ListedMember { member, address, .. } in entries {
            if member.service_state == ServiceState::Removed {
                self.gone(member.id);
                continue;
            }
            let (core, budget, wire) = (self.core.clone(), self.budget.clone(), self.wire.clone());
            let (clock, times) = (self.clock, self.times);
            let peer = self.peers.entry(member.id).or_insert_with(|| {
                let (orders, mailbox) = mpsc::channel(MAILBOX);
                let state = SharedMemberState::new(*address, times);
                let actor =
                    member_actor::MemberActor::new(member.id, state.clone(), core, budget, clock, wire);
                tokio::spawn(actor.run(mailbox));
                ActorHandle { orders, state, leaves: false, gone: None }
            });
            peer.gone = None;
            if peer.state.moves_to(*address) {
                peer.order(MemberCommand::Withdrawn);
            }
            peer.leaves = member.service_state == ServiceState::Draining;
            if peer.leaves {
                peer.withdraw_all();
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

    fn set_socket_times(&mut self, times: SocketTimes) {
        self.times = times;
        for peer in self.peers.values() {
            peer.state.lock().times = times;
            peer.order(MemberCommand::Changed);
        }
    }

    fn subscribe(&mut self) -> bool {
        // One that waits already will do.
        !matches!(self.discovery.try_send(discovery::ListRequest), Err(mpsc::error::TrySendError::Closed(_)))
    }
}

#[cfg(test)]
#[path = "member_actors_tests.rs"]
mod tests;
