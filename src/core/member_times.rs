//! Times of the members' machines, at the one place where they come in and go out: within the core all times are this
//! process's (`policy::member_clock`).

use super::actor::Actor;
use super::counters::{count, Count};
use super::{ListedMember, Members};
use crate::interface::*;
use crate::knowledge::LearnedFacts;

impl<M: Members> Actor<M> {
    /// What an answer that came now says of its member; `spent` is the time since it was asked for.
    pub(super) fn heard_note(&mut self, note: Note, spent: Time, now: Time) -> Note {
        let primary = note.role == Some(Role::Primary);
        let sent = now.saturating_sub(spent);
        let position =
            note.position.and_then(|told| self.member_clock.observe_position(told, sent, now, primary));
        Note { position, ..note }
    }

    /// A member's report on itself; none where its position cannot be true, as then nothing of it is believed.
    pub(super) fn heard_report(&mut self, report: Report, spent: Time, now: Time) -> Option<Report> {
        let Some(told) = report.position else { return Some(report) };
        let primary = report.primary == Some(true);
        let position = self.member_clock.observe_position(told, now.saturating_sub(spent), now, primary);
        if position.is_none() {
            count(Count::member_bad_reports);
        }
        position.map(|position| Report { position: Some(position), ..report })
    }

    /// A list as discovery words it, by this process's clock.
    pub(super) fn listed_locally(&self, entries: &mut [ListedMember]) {
        for ListedMember { member, .. } in entries {
            member.up_since = member.up_since.map(|told| self.member_clock.to_local(told));
        }
    }

    /// The same the other way: what is written down is read by other processes, and by later ones.
    pub(super) fn listed_as_told(&self) -> Vec<ListedMember> {
        let mut entries: Vec<ListedMember> = self.overlay.listed().cloned().collect();
        for ListedMember { member, .. } in &mut entries {
            member.up_since = member.up_since.map(|local| self.member_clock.to_member(local));
        }
        entries
    }

    /// Where the offset has settled since it was last looked at, all starts that lists have told are others.
    pub(super) fn follow_member_clock(&mut self) {
        let offset = self.member_clock.offset();
        let shift = offset - std::mem::replace(&mut self.listed_at_offset, offset);
        if shift == 0 {
            return;
        }
        count(Count::member_clock_offsets);
        log::warn!("the members' clock is {} ms ahead of this process's", offset / 1000);
        let told = self.overlay.shift_starts(shift);
        if !told.is_empty() {
            let event = self.told(ListKind::Operator, told);
            self.local.push_back(event);
        }
    }
}

/// What was learned, with each time of it changed.
pub(super) fn with_times(mut known: LearnedFacts, change: impl Fn(Time) -> Time) -> LearnedFacts {
    // 0 stands for none.
    let change = |time: Time| if time == 0 { 0 } else { change(time) };
    for facts in known.members.values_mut() {
        facts.start = facts.start.map(change);
        facts.position = change(facts.position);
        facts.last_heard = change(facts.last_heard);
        facts.role_at = change(facts.role_at);
        facts.warm_up_start = facts.warm_up_start.map(change);
    }
    known.sessions.values_mut().for_each(|at| *at = change(*at));
    known.floor = change(known.floor);
    known
}
