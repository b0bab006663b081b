//! The router's single pending wake-up.

use super::tuning::*;
use super::Router;
use crate::interface::*;

impl Router {
    /// Schedules the next wake-up, for changes that only the passing of time can bring. At most one is
    /// pending.
    pub(super) fn schedule_wake(&mut self, out: &mut Vec<Action>) {
        let (silence_limit, mut next) = (self.silence_limit, self.list_calls.due());
        let mut at = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        if !self.held.is_empty() {
            at(self.now + HELD_POLL_INTERVAL);
        }
        for m in self.busy.iter().filter_map(|id| self.members.get(id)) {
            if m.is_silent(self.now, silence_limit) {
                at(self.now + PROBE_INTERVAL);
            } else if m.in_flight > 0 {
                at(m.last_progress + silence_limit);
            }
        }
        let Some(next) = next.map(|t| t.max(self.now + self.settings.period.max(1))) else { return };
        if self.next_wake.is_none_or(|w| next < w) {
            self.next_wake = Some(next);
            out.push(Action::Wake { after: next - self.now, tag: next });
        }
    }
}
