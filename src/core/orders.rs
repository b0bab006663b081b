//! Control commands to the core: from the operators, from another process of the proxy, and from recovery, which
//! loads what an earlier process stored. Whatever concerns the router reaches it as ordinary events.

use super::actor::Actor;
use super::counters::{add, count, Count};
use super::member_times::map_times;
use super::{CoreCommand, ListedMember, ListedMembers, Members, PeerCommits, Readiness};
use crate::interface::*;
use crate::knowledge::evidence::{ListedStart, StoredFacts, UsableFacts};
use crate::knowledge::{merge_suspensions, Knowledge, LearnedFacts};
use crate::phases::StartupEvent;
use crate::policy::REPORT_ROUNDING;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Commits of at most this age, in us, are exported by session; of all older ones only the latest is exported.
const EXPORTED_COMMIT_AGE: Time = 20_000_000;
/// How far ahead of this process's clock a commit's position may be, in us.
const MAX_COMMIT_AHEAD: Time = 1_000_000;

impl<M: Members> Actor<M> {
    /// Carries out a command and returns the events that the router must get.
    pub(super) fn handle_command(&mut self, command: CoreCommand) -> Vec<Event> {
        let now = self.clock.now();
        let (changed, reply) = match command {
            CoreCommand::Suspend(name, reply) => (self.effective_list.suspend(&name, now), reply),
            CoreCommand::Restore(name, reply) => (self.effective_list.restore(&name, now), reply),
            CoreCommand::QueryReadiness(reply) => {
                let _ = reply.send(
                    match (self.effective_list.has_usable_member(), now < self.unconfirmed_until) {
                        (_, true) => Readiness::SuspensionsUnconfirmed,
                        (true, _) => Readiness::Ready,
                        (false, _) => Readiness::NoUsableMember,
                    },
                );
                return Vec::new();
            }
            CoreCommand::RestoreKnowledge(all, until, reply) => {
                self.unconfirmed_until = until;
                let _ = reply.send(());
                return self.restore_knowledge(*all);
            }
            CoreCommand::ConfirmSuspensions(reply) => {
                let _ = reply.send(now < std::mem::take(&mut self.unconfirmed_until));
                return Vec::new();
            }
            CoreCommand::StartServing(began, reply) => {
                let events = self.startup.start_serving(began, now);
                self.log_startup(events);
                let _ = reply.send(());
                return Vec::new();
            }
            CoreCommand::QueryStartup(reply) => {
                self.advance_startup(now);
                let _ = reply.send(self.startup.progress(now));
                return Vec::new();
            }
            CoreCommand::QueryMembers(known_revision, reply) => {
                let revision = self.effective_list.revision();
                let members = || ListedMembers { revision, members: self.listed_by_member_clock() };
                let _ = reply.send((revision != known_revision).then(members));
                return Vec::new();
            }
            CoreCommand::QuerySuspensions(reply) => {
                let _ = reply.send(self.effective_list.suspensions().clone());
                return Vec::new();
            }
            CoreCommand::ApplySettings(settings, times, reply) => {
                let _ = reply.send(());
                self.max_attempts = settings.max_attempts as usize;
                self.members.set_socket_times(times);
                let settings = match &mut self.lease {
                    Some(lease) => lease.apply_settings(settings, now),
                    None => settings,
                };
                return vec![Event::Settings(settings)];
            }
            CoreCommand::ExtendLease(until) => {
                self.lease.get_or_insert_default().extend(until);
                return Vec::new();
            }
            CoreCommand::SetFleetSuspensions(out, reply) => {
                let changed = self.effective_list.set_fleet_suspended(out, now);
                let _ = reply.send(());
                return self.operator_list_event(changed);
            }
            CoreCommand::ReplaceSuspensions(suspensions, reply) => {
                let changed = self.effective_list.replace_suspensions(suspensions);
                let _ = reply.send(());
                return self.operator_list_event(changed);
            }
            CoreCommand::ExportLearned(reply) => {
                let _ = reply.send(self.export(now));
                return Vec::new();
            }
            CoreCommand::SetPeer(peer_commits, reply) => {
                // The last commits of the process that is being disconnected still count.
                self.sync_peer_commits();
                self.peer_commits = peer_commits;
                let _ = reply.send(());
                return Vec::new();
            }
            CoreCommand::ImportLearned(known, reply) => {
                let _ = reply.send(());
                let known = map_times(known, |at| self.member_clock.to_local(at));
                return self.learn(&known);
            }
        };
        self.suspension_replies.push((reply, changed.as_ref().map(|_| ()).map_err(|error| *error)));
        let changed = changed.ok().flatten().into_iter().collect();
        self.operator_list_event(changed)
    }

    fn operator_list_event(&mut self, changed: Vec<ListedMember>) -> Vec<Event> {
        if changed.is_empty() {
            Vec::new()
        } else {
            vec![self.list_event(ListKind::Operator, changed)]
        }
    }

    /// Advances the startup phases and logs what has changed.
    pub(super) fn advance_startup(&mut self, now: Time) {
        let events = self.startup.advance(now, || self.effective_list.has_usable_member());
        self.log_startup(events);
    }

    fn log_startup(&self, events: Vec<StartupEvent>) {
        for event in events {
            match event {
                StartupEvent::PhaseEnded(phase, lasted) => {
                    let ms = lasted / 1000;
                    log::info!(
                        phase = phase.name(), ms;
                        "startup phase {} has ended; it waited for {}", phase.name(), phase.waits_for()
                    );
                }
                StartupEvent::PhaseOverdue(phase) => {
                    count(Count::phase_overstays);
                    log::warn!(
                        "startup phase {} exceeds its time limit; it waits for {}",
                        phase.name(),
                        phase.waits_for()
                    );
                }
                StartupEvent::Finished(progress) => {
                    if progress.full_service_seen {
                        count(Count::full_service);
                        add(Count::full_service_ms, progress.elapsed / 1000);
                    }
                    log::info!("{progress}");
                }
            }
        }
    }

    /// Takes in what sessions have written through another process of this proxy.
    pub(super) fn sync_peer_commits(&mut self) {
        let Some(peer) = &mut self.peer_commits else { return };
        let PeerCommits { commits, complete } = peer.take_received();
        let commits = commits.into_iter().map(|(name, at)| (name, self.member_clock.to_local(at)));
        let (all, named): (Vec<_>, Vec<_>) = commits.partition(|(name, _)| name.is_empty());
        let now = self.clock.now();
        let unknown_until = if complete { 0 } else { now };
        // No commit is far ahead of the present, so a position in a file that claims it is capped.
        let latest = now + MAX_COMMIT_AHEAD;
        let floor = all.into_iter().map(|(_, at)| at.min(latest)).max().unwrap_or(0).max(unknown_until);
        if floor > 0 || !named.is_empty() {
            self.sessions.merge(named.iter().map(|(name, at)| (name, at)), floor);
        }
    }

    /// What this process has learned, for another process of this proxy.
    fn export(&self, now: Time) -> LearnedFacts {
        let named: FxHashMap<MemberId, &Arc<str>> =
            self.effective_list.listed().map(|e| (e.member.id, &e.name)).collect();
        let learned = self.router.learned_members().filter(|m| !m.facts.is_empty());
        let members = learned.filter_map(|m| Some(((*named.get(&m.id)?).clone(), m.facts)));
        let (sessions, floor) = self.sessions.since(now.saturating_sub(EXPORTED_COMMIT_AGE));
        let known =
            LearnedFacts { members: members.collect(), sessions: sessions.into_iter().collect(), floor };
        map_times(known, |local| self.member_clock.to_member(local))
    }

    /// Converts what another process has learned to the events by which this process would have learned it: a start
    /// that discovery does not know of, and a report on position and role. Only positions that are new here are
    /// passed on; an old one says nothing about a member that is in doubt here.
    pub(super) fn learn(&mut self, known: &LearnedFacts) -> Vec<Event> {
        self.sessions.merge(known.sessions.iter(), known.floor);
        let mut events = Vec::new();
        for (name, m) in &known.members {
            let Some(entry) = self.effective_list.entry(name) else { continue };
            if m.position > self.router.position(entry.member.id) {
                events.push(position_report(entry.member.id, m.position, m.primary));
            }
        }
        let mut changed = self.learn_warm_ups(known);
        changed.append(&mut events);
        changed
    }

    /// Takes in starts that discovery may not know of: a member's warm-up counts from its latest known start.
    fn learn_warm_ups(&mut self, known: &LearnedFacts) -> Vec<Event> {
        let warm_ups = known.members.iter().filter_map(|(name, m)| Some((name, m.warm_up_start?)));
        let changed = warm_ups.filter_map(|(name, at)| self.effective_list.add_warm_up(name, at)).collect();
        self.operator_list_event(changed)
    }

    /// Takes in what was stored before this process started. Suspensions, session commits and warm-ups apply from now
    /// on; facts that depend on a member not having restarted wait for a list that confirms it.
    pub(super) fn restore_knowledge(&mut self, all: Knowledge) -> Vec<Event> {
        let all = Knowledge { learned: map_times(all.learned, |at| self.member_clock.to_local(at)), ..all };
        self.sessions.merge(all.learned.sessions.iter(), all.learned.floor);
        let mut suspensions = self.effective_list.suspensions().clone();
        merge_suspensions(&mut suspensions, &all.suspensions);
        let changed = self.effective_list.replace_suspensions(suspensions);
        let mut events = self.operator_list_event(changed);
        events.append(&mut self.learn_warm_ups(&all.learned));
        self.stored_facts = StoredFacts::new(all.learned);
        events
    }

    /// Uses a new list to decide which stored facts about members may be used. A list that is not older than this
    /// process (`from_this_process`) allows more than one that may be.
    pub(super) fn apply_stored_facts(&mut self, from_this_process: bool) {
        let Actor { stored_facts, effective_list, .. } = self;
        let start = |name: &str| {
            effective_list.entry(name).map_or(ListedStart::Absent, |e| ListedStart::Named(e.member.up_since))
        };
        let UsableFacts { bounds, primaries } = match from_this_process {
            true => stored_facts.confirm(start),
            false => UsableFacts { primaries: stored_facts.hints(start), ..UsableFacts::default() },
        };
        let bounds = bounds
            .into_iter()
            .filter_map(|(name, at)| Some((self.effective_list.entry(&name)?.member.id, at)));
        let events: Vec<Event> = bounds.map(|(id, at)| position_report(id, at, None)).collect();
        self.next_events.extend(events);
        let hint = |name: Arc<str>| {
            let mut entry = self.effective_list.entry(&name)?;
            entry.member.primary = true;
            Some(entry)
        };
        let hints: Vec<ListedMember> = primaries.into_iter().filter_map(hint).collect();
        hints.iter().for_each(|entry| self.effective_list.mark_overridden(entry.name.clone()));
        let hints = self.operator_list_event(hints);
        self.next_events.extend(hints);
    }
}

/// A position that a member has certainly reached, as the report that would have told it.
fn position_report(member: MemberId, position: Position, primary: Option<bool>) -> Event {
    // The router assumes that a report's position was rounded up. This one is exact; without the correction it would
    // count as news every time.
    let report = Report { position: Some(position + REPORT_ROUNDING), primary, busy: None };
    Event::Probed { member, ok: true, report: Some(report) }
}
