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
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use tokio::sync::mpsc;

/// Capacity of an actor's mailbox.
const MAILBOX_SIZE: usize = 1024;
/// How long the actor of a departed member is kept, in us, as its last attempts may still be cancelled. This is
/// longer than any attempt lasts. Actors have to be removed, as members are replaced all the time.
const DEPARTED_RETENTION: Time = 5_000_000;

/// A member, and its actor once something was sent to it: most members of a large fleet are never used.
struct ActorHandle {
    commands: Option<mpsc::Sender<MemberCommand>>,
    state: SharedMemberState,
    /// The member was announced as leaving.
    leaving: bool,
    departed: Option<Time>,
}

impl ActorHandle {
    /// Sends a command. Returns `false` if the mailbox is full.
    fn send_to(commands: &mpsc::Sender<MemberCommand>, command: MemberCommand) -> bool {
        let sent = commands.try_send(command).is_ok();
        if !sent {
            count(Count::orders_dropped);
        }
        sent
    }

    /// Makes the actor look at the shared state. Without an actor nothing depends on it yet.
    fn notify(&self, command: MemberCommand) {
        if let Some(commands) = &self.commands {
            Self::send_to(commands, command);
        }
    }

    /// Allows no new attempt, and withdraws those of which nothing has been written yet.
    fn withdraw_all(&self) {
        self.state.lock().gate.withdraw_all();
        self.notify(MemberCommand::Withdrawn);
    }

    fn close_idle(&self) {
        self.state.lock().idle_closes += 1;
        self.notify(MemberCommand::Changed);
    }
}

/// The actors of all members.
pub struct MemberActors<W> {
    actors: FxHashMap<MemberId, ActorHandle>,
    /// The departed members in the order of their departure, each with its time.
    departed: VecDeque<(Time, MemberId)>,
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
        MemberActors {
            actors: FxHashMap::default(),
            departed: VecDeque::new(),
            core,
            discovery,
            budget,
            clock,
            times,
            wire,
        }
    }

    /// Sends a command to a member's actor, which is started by the first one. Returns `false` if there is no such
    /// member or its mailbox is full.
    fn send(&mut self, member: MemberId, command: MemberCommand) -> bool {
        let Some(actor) = self.actors.get_mut(&member) else { return false };
        let commands = actor.commands.get_or_insert_with(|| {
            let (commands, mailbox) = mpsc::channel(MAILBOX_SIZE);
            let (core, budget, wire) = (self.core.clone(), self.budget.clone(), self.wire.clone());
            let task =
                member_actor::MemberActor::new(member, actor.state.clone(), core, budget, self.clock, wire);
            tokio::spawn(task.run(mailbox));
            commands
        });
        ActorHandle::send_to(commands, command)
    }

    fn remove(&mut self, member: MemberId) {
        let now = self.clock.now();
        if let Some(actor) = self.actors.get_mut(&member) {
            if actor.departed.is_none() {
                actor.departed = Some(now);
                self.departed.push_back((now, member));
            }
            actor.withdraw_all();
            actor.close_idle();
        }
    }

    /// Removes the actors of members that departed some time ago and have not returned since.
    fn remove_departed(&mut self, now: Time) {
        while let Some((at, member)) =
            self.departed.front().copied().filter(|(at, _)| now >= at + DEPARTED_RETENTION)
        {
            self.departed.pop_front();
            if self.actors.get(&member).is_some_and(|actor| actor.departed == Some(at)) {
                self.actors.remove(&member);
            }
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
        let state = actor.state.clone();
        state.lock().gate.register(key);
        let sent = self.send(member, MemberCommand::Attempt(attempt));
        if !sent {
            state.lock().gate.end(key);
        }
        sent
    }

    fn cancel(&mut self, member: MemberId, id: RequestId, number: u32) {
        if let Some(actor) = self.actors.get(&member) {
            actor.state.lock().gate.withdraw((id, number));
            actor.notify(MemberCommand::Cancel(id, number));
        }
    }

    fn withdraw(&mut self, member: MemberId, id: RequestId, number: u32) {
        let Some(actor) = self.actors.get(&member) else { return };
        if actor.state.lock().gate.withdraw((id, number)) {
            actor.notify(MemberCommand::Cancel(id, number));
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
            let times = self.times;
            let actor = self.actors.entry(member.id).or_insert_with(|| ActorHandle {
                commands: None,
                state: SharedMemberState::new(*address, times),
                leaving: false,
                departed: None,
            });
            actor.departed = None;
            if actor.state.set_address(*address) {
                actor.notify(MemberCommand::Withdrawn);
            }
            actor.leaving = member.service_state == ServiceState::Draining;
            if actor.leaving {
                actor.withdraw_all();
            }
        }
        if matches!(kind, ListKind::Disk | ListKind::Full) {
            let listed: FxHashSet<MemberId> = entries.iter().map(|e| e.member.id).collect();
            let gone: Vec<MemberId> = self.actors.keys().copied().filter(|id| !listed.contains(id)).collect();
            gone.into_iter().for_each(|id| self.remove(id));
        }
        self.remove_departed(self.clock.now());
    }

    fn set_socket_times(&mut self, times: SocketTimes) {
        self.times = times;
        for actor in self.actors.values() {
            actor.state.lock().times = times;
            actor.notify(MemberCommand::Changed);
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
