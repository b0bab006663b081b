//! The actors of all members, and discovery, as the core sees them. Nothing here waits: mailboxes are filled with
//! `try_send`, and an attempt that finds a full mailbox is reported at once as never sent. State that must not be
//! lost is shared between this module and an actor (`net::member_state`); commands only make the actor look at it
//! sooner.

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

/// Capacity of an actor's mailbox.
const MAILBOX_SIZE: usize = 1024;
/// How long the actor of a departed member is kept, in us, as its last attempts may still be cancelled. This is
/// longer than any attempt lasts. Actors have to be removed, as members are replaced all the time.
const DEPARTED_RETENTION: Time = 5_000_000;

struct ActorHandle {
    commands: mpsc::Sender<MemberCommand>,
    state: SharedMemberState,
    /// The member was announced as leaving.
    leaving: bool,
    departed: Option<Time>,
}

impl ActorHandle {
    /// Sends a command, so that the actor looks at the shared state sooner. Returns `false` if the mailbox is full.
    fn send(&self, command: MemberCommand) -> bool {
        let sent = self.commands.try_send(command).is_ok();
        if !sent {
            count(Count::orders_dropped);
        }
        sent
    }

    /// Allows no new attempt, and withdraws those of which nothing has been written yet.
    fn withdraw_all(&self) {
        self.state.lock().gate.withdraw_all();
        self.send(MemberCommand::Withdrawn);
    }

    fn close_idle(&self) {
        self.state.lock().idle_closes += 1;
        self.send(MemberCommand::Changed);
    }
}

/// The actors of all members.
pub struct MemberActors<W> {
    actors: HashMap<MemberId, ActorHandle>,
    core: mpsc::Sender<Input>,
    discovery: mpsc::Sender<discovery::ListRequest>,
    budget: Budget,
    clock: Clock,
    times: SocketTimes,
    wire: W,
}

impl<W: MemberProtocol> MemberActors<W> {
    /// Creates it without any member.
    pub fn new(
        core: mpsc::Sender<Input>,
        discovery: mpsc::Sender<discovery::ListRequest>,
        budget: Budget,
        clock: Clock,
        times: SocketTimes,
        wire: W,
    ) -> Self {
        MemberActors { actors: HashMap::new(), core, discovery, budget, clock, times, wire }
    }

    fn send(&self, member: MemberId, command: MemberCommand) -> bool {
        self.actors.get(&member).is_some_and(|a| a.send(command))
    }

    fn remove(&mut self, member: MemberId) {
        let now = self.clock.now();
        if let Some(actor) = self.actors.get_mut(&member) {
            actor.departed.get_or_insert(now);
            actor.withdraw_all();
            actor.close_idle();
        }
    }
}

impl<W: MemberProtocol> Members for MemberActors<W> {
    fn start_attempt(&mut self, member: MemberId, attempt: Attempt) -> bool {
        let Some(actor) = self.actors.get(&member) else { return false };
        let key = attempt.key();
        if actor.leaving {
            report_violation(attempt.id, Some(member), Violation::SentToLeaving);
            return false;
        }
        actor.state.lock().gate.register(key);
        let sent = actor.send(MemberCommand::Attempt(attempt));
        if !sent {
            actor.state.lock().gate.end(key);
        }
        sent
    }

    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32) {
        if let Some(actor) = self.actors.get(&member) {
            actor.state.lock().gate.withdraw((id, number));
            actor.send(MemberCommand::Cancel(id, number));
        }
    }

    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32) {
        let Some(actor) = self.actors.get(&member) else { return };
        if actor.state.lock().gate.withdraw((id, number)) {
            actor.send(MemberCommand::Cancel(id, number));
        }
    }

    fn probe(&mut self, member: MemberId) -> bool {
        self.send(member, MemberCommand::Probe)
    }

    fn close_idle(&mut self, member: MemberId) {
        self.actors.get(&member).into_iter().for_each(ActorHandle::close_idle);
    }

    fn update_list(&mut self, kind: ListKind, entries: &[ListedMember]) {
        if kind == ListKind::Failed {
            return;
        }
        for ListedMember { member, address, .. } in entries {
            if member.service_state == ServiceState::Removed {
                self.remove(member.id);
                continue;
            }
            let (core, budget, wire) = (self.core.clone(), self.budget.clone(), self.wire.clone());
            let (clock, times) = (self.clock, self.times);
            let actor = self.actors.entry(member.id).or_insert_with(|| {
                let (commands, mailbox) = mpsc::channel(MAILBOX_SIZE);
                let state = SharedMemberState::new(*address, times);
                let task =
                    member_actor::MemberActor::new(member.id, state.clone(), core, budget, clock, wire);
                tokio::spawn(task.run(mailbox));
                ActorHandle { commands, state, leaving: false, departed: None }
            });
            actor.departed = None;
            if actor.state.set_address(*address) {
                actor.send(MemberCommand::Withdrawn);
            }
            actor.leaving = member.service_state == ServiceState::Draining;
            if actor.leaving {
                actor.withdraw_all();
            }
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            let ids: Vec<MemberId> = self.actors.keys().copied().collect();
            for id in ids {
                if !entries.iter().any(|e| e.member.id == id) {
                    self.remove(id);
                }
            }
        }
        let now = self.clock.now();
        self.actors.retain(|_, actor| actor.departed.is_none_or(|t| now < t + DEPARTED_RETENTION));
    }

    fn set_socket_times(&mut self, times: SocketTimes) {
        self.times = times;
        for actor in self.actors.values() {
            actor.state.lock().times = times;
            actor.send(MemberCommand::Changed);
        }
    }

    fn subscribe(&mut self) -> bool {
        // If a request is pending already, one is enough.
        !matches!(self.discovery.try_send(discovery::ListRequest), Err(mpsc::error::TrySendError::Closed(_)))
    }
}

#[cfg(test)]
#[path = "member_actors_tests.rs"]
mod tests;
