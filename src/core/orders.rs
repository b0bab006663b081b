//! What the core is asked and told beside its requests: by the operators, by another process of the proxy, and by an
//! earlier start through what that has stored. All of it reaches the module as events that it knows.

use super::actor::Actor;
use super::counters::{add, count, Count};
use super::member_times::with_times;
use super::{CoreCommand, ListedMember, Members, PeerCommits, Readiness};
use crate::interface::*;
use crate::knowledge::evidence::{ListedStart as Life, StoredFacts, UsableFacts};
use crate::knowledge::{merge_suspensions, Knowledge, LearnedFacts};
use crate::phases::News;
use crate::policy::REPORT_ROUNDING;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// Commits no older than this, in us, are handed on by session; of the others the latest stands for all.
const RECENT: Time = 20_000_000;
/// How far ahead of this process's clock a commit may seem to lie, in us.
const COMMIT_AHEAD_MAX: Time = 1_000_000;

impl<M: Members> Actor<M> {
    /// What the operators ask, or another process tells, and what of it the module must know.
    pub(super) fn order(&mut self, order: CoreCommand) -> Vec<Event> {
        let now = self.clock.now();
        let (told, reply) = match order {
            CoreCommand::Suspend(name, reply) => (self.overlay.suspend(&name, now), reply),
            CoreCommand::Restore(name, reply) => (self.overlay.restore(&name, now), reply),
            CoreCommand::QueryReadiness(reply) => {
                let _ = reply.send(match (self.overlay.serves(), now < self.unconfirmed) {
                    (_, true) => Readiness::SuspensionsUnconfirmed,
                    (true, _) => Readiness::Ready,
                    (false, _) => Readiness::NoUsableMember,
                });
                return Vec::new();
            }
            CoreCommand::RestoreKnowledge(all, until, reply) => {
                self.unconfirmed = until;
                let _ = reply.send(());
                return self.recall(*all);
            }
            CoreCommand::ConfirmSuspensions(reply) => {
                let _ = reply.send(now < std::mem::take(&mut self.unconfirmed));
                return Vec::new();
            }
            CoreCommand::StartServing(began, reply) => {
                let news = self.returning.serves(began, now);
                self.told_of_return(news);
                let _ = reply.send(());
                return Vec::new();
            }
            CoreCommand::QueryStartup(reply) => {
                self.look_back(now);
                let _ = reply.send(self.returning.progress(now));
                return Vec::new();
            }
            CoreCommand::QueryMembers(reply) => {
                let _ = reply.send(self.listed_as_told());
                return Vec::new();
            }
            CoreCommand::QuerySuspensions(reply) => {
                let _ = reply.send(self.overlay.hands().clone());
                return Vec::new();
            }
            CoreCommand::ApplySettings(settings, times, reply) => {
                let _ = reply.send(());
                self.max_attempts = settings.max_attempts as usize;
                self.members.set_socket_times(times);
                let settings = match &mut self.lease {
                    Some(lease) => lease.settings(settings, now),
                    None => settings,
                };
                return vec![Event::Settings(settings)];
            }
            CoreCommand::ExtendLease(until) => {
                self.lease.get_or_insert_default().holds(until);
                return Vec::new();
            }
            CoreCommand::SetFleetSuspensions(out, reply) => {
                let told = self.overlay.fleet(out, now);
                let _ = reply.send(());
                return self.operator(told);
            }
            CoreCommand::ReplaceSuspensions(hands, reply) => {
                let told = self.overlay.adopt(hands);
                let _ = reply.send(());
                return self.operator(told);
            }
            CoreCommand::ExportLearned(reply) => {
                let _ = reply.send(self.export(now));
                return Vec::new();
            }
            CoreCommand::SetPeer(peer_commits, reply) => {
                // What the one that has gone said last still counts.
                self.catch_up();
                self.peer_commits = peer_commits;
                let _ = reply.send(());
                return Vec::new();
            }
            CoreCommand::ImportLearned(known, reply) => {
                let _ = reply.send(());
                let known = with_times(known, |told| self.member_clock.to_local(told));
                return self.learn(&known);
            }
        };
        self.taken.push((reply, told.as_ref().map(|_| ()).map_err(|no| *no)));
        let told = told.ok().flatten().into_iter().collect();
        self.operator(told)
    }

    fn operator(&mut self, told: Vec<ListedMember>) -> Vec<Event> {
        if told.is_empty() {
            Vec::new()
        } else {
            vec![self.told(ListKind::Operator, told)]
        }
    }

    /// What has come of the way back to full service.
    pub(super) fn look_back(&mut self, now: Time) {
        let news = self.returning.at(now, || self.overlay.serves());
        self.told_of_return(news);
    }

    fn told_of_return(&self, news: Vec<News>) {
        for one in news {
            match one {
                News::Over(phase, lasted) => {
                    let ms = lasted / 1000;
                    log::info!(phase = phase.name(), ms; "{} is over: waited for {}", phase.name(), phase.awaits());
                }
                News::Overstayed(phase) => {
                    count(Count::phase_overstays);
                    log::warn!("{} lasts longer than it should: waits for {}", phase.name(), phase.awaits());
                }
                News::Full(told) => {
                    if told.seen {
                        count(Count::full_service);
                        add(Count::full_service_ms, told.since / 1000);
                    }
                    log::info!("{told}");
                }
            }
        }
    }

    /// Takes in what sessions have written by another process of this proxy.
    pub(super) fn catch_up(&mut self) {
        let Some(other) = &mut self.peer_commits else { return };
        let PeerCommits { commits, complete } = other.take_received();
        let news = commits.into_iter().map(|(name, told)| (name, self.member_clock.to_local(told)));
        let (all, named): (Vec<_>, Vec<_>) = news.partition(|(name, _)| name.is_empty());
        let now = self.clock.now();
        let untold = if complete { 0 } else { now };
        // Nothing is committed far ahead of now, whatever stands in a file.
        let latest = now + COMMIT_AHEAD_MAX;
        let floor = all.into_iter().map(|(_, at)| at.min(latest)).max().unwrap_or(0).max(untold);
        if floor > 0 || !named.is_empty() {
            self.sessions.merge(named.iter().map(|(name, at)| (name, at)), floor);
        }
    }

    /// What was learned so far, for another process of this proxy.
    fn export(&self, now: Time) -> LearnedFacts {
        let named: FxHashMap<MemberId, &Arc<str>> =
            self.overlay.listed().map(|e| (e.member.id, &e.name)).collect();
        let members =
            self.router.learned_members().filter_map(|m| Some(((*named.get(&m.id)?).clone(), m.facts)));
        let (sessions, floor) = self.sessions.since(now.saturating_sub(RECENT));
        let known =
            LearnedFacts { members: members.collect(), sessions: sessions.into_iter().collect(), floor };
        with_times(known, |local| self.member_clock.to_member(local))
    }

    /// What another process has learned, as the events that would have told it here: a start that discovery does not
    /// know of, and a report on position and role. Only what is news here: what is not says nothing of a member that is
    /// in doubt here.
    pub(super) fn learn(&mut self, known: &LearnedFacts) -> Vec<Event> {
        self.sessions.merge(known.sessions.iter(), known.floor);
        let mut events = Vec::new();
        for (name, m) in &known.members {
            let Some(entry) = self.overlay.again(name) else { continue };
            if m.position > self.router.position(entry.member.id) {
                events.push(heard(entry.member.id, m.position, m.primary));
            }
        }
        let mut told = self.warms(known);
        told.append(&mut events);
        told
    }

    /// Warm-ups that discovery may not know of: none is warmer than its latest start allows.
    fn warms(&mut self, known: &LearnedFacts) -> Vec<Event> {
        let begun = known.members.iter().filter_map(|(name, m)| Some((name, m.warm_up_start?)));
        let told = begun.filter_map(|(name, at)| self.overlay.warms(name, at)).collect();
        self.operator(told)
    }

    /// What was written down before this process began. What binds does from now on; what is of a member's life waits
    /// for a list that tells whether the member still lives it.
    pub(super) fn recall(&mut self, all: Knowledge) -> Vec<Event> {
        self.blind = self.clock.now();
        let all =
            Knowledge { learned: with_times(all.learned, |told| self.member_clock.to_local(told)), ..all };
        self.sessions.merge(all.learned.sessions.iter(), all.learned.floor);
        let mut hands = self.overlay.hands().clone();
        merge_suspensions(&mut hands, &all.suspensions);
        let told = self.overlay.adopt(hands);
        let mut events = self.operator(told);
        events.append(&mut self.warms(&all.learned));
        self.recalled = StoredFacts::new(all.learned);
        events
    }

    /// A list has come: what was stored of members may be used as far as it says; of one that is no older than this
    /// process more than of one that may be.
    pub(super) fn confirm(&mut self, own: bool) {
        let Actor { recalled, overlay, .. } = self;
        let life = |name: &str| overlay.again(name).map_or(Life::Absent, |e| Life::Named(e.member.up_since));
        let UsableFacts { bounds, primaries } = match own {
            true => recalled.confirm(life),
            false => UsableFacts { primaries: recalled.hints(life), ..UsableFacts::default() },
        };
        let bounds =
            bounds.into_iter().filter_map(|(name, at)| Some((self.overlay.again(&name)?.member.id, at)));
        let events: Vec<Event> = bounds.map(|(id, at)| heard(id, at, None)).collect();
        self.local.extend(events);
        let hint = |name: Arc<str>| {
            let mut entry = self.overlay.again(&name)?;
            entry.member.primary = true;
            Some(entry)
        };
        let hints = primaries.into_iter().filter_map(hint).collect();
        let hints = self.operator(hints);
        self.local.extend(hints);
    }
}

/// A position that a member has surely reached, as the report that would have told it.
fn heard(member: MemberId, position: Position, primary: Option<bool>) -> Event {
    // The module takes a report's position for rounded up; this one is exact, and would be news for ever.
    let report = Report { position: Some(position + REPORT_ROUNDING), primary, busy: None };
    Event::Probed { member, ok: true, report: Some(report) }
}
