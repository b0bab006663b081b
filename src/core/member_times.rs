//! Conversion between the members' clock and this process's clock. All times within the core are by this process's
//! clock (see `policy::member_clock`).

use super::actor::Actor;
use super::counters::{count, Count};
use super::{ListedMember, Members};
use crate::interface::*;
use crate::knowledge::LearnedFacts;

impl<M: Members> Actor<M> {
    /// Converts the state told with an answer that has just arrived; `spent` is the time since the attempt was
    /// started.
    pub(super) fn localize_note(&mut self, note: Note, spent: Time, now: Time) -> Note {
        let primary = note.role == Some(Role::Primary);
        let sent = now.saturating_sub(spent);
        let position =
            note.position.and_then(|at| self.member_clock.observe_position(at, sent, now, primary));
        Note { position, ..note }
    }

    /// Converts a member's report; `None` if its position cannot be true, in which case the whole report is
    /// discarded.
    pub(super) fn localize_report(&mut self, report: Report, spent: Time, now: Time) -> Option<Report> {
        let Some(at) = report.position else { return Some(report) };
        let primary = report.primary == Some(true);
        let position = self.member_clock.observe_position(at, now.saturating_sub(spent), now, primary);
        if position.is_none() {
            count(Count::member_bad_reports);
        }
        position.map(|position| Report { position: Some(position), ..report })
    }

    /// Converts the starts in a list from discovery to this process's clock.
    pub(super) fn localize_starts(&self, entries: &mut [ListedMember]) {
        for ListedMember { member, .. } in entries {
            member.up_since = member.up_since.map(|at| self.member_clock.to_local(at));
        }
    }

    /// The listed members with their starts by the members' clock, for other processes and later starts.
    pub(super) fn listed_by_member_clock(&self) -> Vec<ListedMember> {
        let mut entries: Vec<ListedMember> = self.effective_list.listed().cloned().collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        for ListedMember { member, .. } in &mut entries {
            member.up_since = member.up_since.map(|local| self.member_clock.to_member(local));
        }
        entries
    }

    /// Adjusts the starts from earlier lists if the estimated offset of the members' clock has changed.
    pub(super) fn apply_clock_offset(&mut self) {
        let offset = self.member_clock.offset();
        let shift = offset - std::mem::replace(&mut self.listed_offset, offset);
        if shift == 0 {
            return;
        }
        count(Count::member_clock_offsets);
        self.router.member_clock_changed();
        log::warn!("the members' clock is {} ms ahead of this process's", offset / 1000);
        let changed = self.effective_list.shift_starts(shift);
        if !changed.is_empty() {
            let event = self.list_event(ListKind::Operator, changed);
            self.next_events.push_back(event);
        }
    }
}

/// Applies a change to every time in what was learned.
pub(super) fn map_times(mut known: LearnedFacts, change: impl Fn(Time) -> Time) -> LearnedFacts {
    // 0 stands for "none".
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
