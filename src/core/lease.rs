//! Rules that hold by a lease: once it has run out the module gets settings by which nothing may be sent, and its own
//! again when the lease holds anew. It holds no clock.

use super::counters::{count, Count};
use crate::interface::{Settings, Time};

/// The lease, and the settings that hold under it.
#[derive(Debug, Default)]
pub struct Lease {
    until: Time,
    /// The last settings that the module was to have; none before any came.
    own: Option<Box<Settings>>,
    /// The module has been told that nothing may be sent.
    lapsed: bool,
}

/// By these no attempt may be made: what is held is refused, or failed where it may have run.
fn nothing(settings: &Settings) -> Box<Settings> {
    Box::new(Settings { max_attempts: 0, ..settings.clone() })
}

impl Lease {
    /// It holds until then.
    pub fn holds(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// Until when.
    pub fn until(&self) -> Time {
        self.until
    }

    /// New settings have come: what the module gets of them now.
    pub fn settings(&mut self, settings: Box<Settings>, now: Time) -> Box<Settings> {
        self.lapsed = now >= self.until;
        let told = if self.lapsed { nothing(&settings) } else { settings.clone() };
        self.own = Some(settings);
        told
    }

    /// What the module must be told before it decides anything now, if anything.
    pub fn turns(&mut self, now: Time) -> Option<Box<Settings>> {
        let lapsed = now >= self.until;
        let own = self.own.as_ref().filter(|_| lapsed != self.lapsed)?;
        self.lapsed = lapsed;
        if lapsed {
            count(Count::agreement_lapses);
            log::warn!(
                "what is agreed on no longer holds here: nothing is sent until the voters are heard again"
            );
            return Some(nothing(own));
        }
        log::info!("what is agreed on holds again");
        Some(own.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_may_be_sent_from_the_moment_on_at_which_it_runs_out() {
        let settings = Box::new(Settings { max_attempts: 5, ..Settings::default() });
        let most = |told: Option<Box<Settings>>| told.map(|s| s.max_attempts);
        let mut lease = Lease::default();
        assert_eq!(lease.turns(0), None, "there are no settings yet");
        lease.holds(100);
        assert_eq!(lease.settings(settings.clone(), 50).max_attempts, 5);
        assert_eq!(
            (most(lease.turns(99)), most(lease.turns(100)), most(lease.turns(101))),
            (None, Some(0), None)
        );
        // What comes meanwhile is kept, and held back.
        let more = Box::new(Settings { max_attempts: 7, ..Settings::default() });
        assert_eq!(lease.settings(more, 120).max_attempts, 0);
        lease.holds(200);
        assert_eq!(most(lease.turns(130)), Some(7));
        // An older word shortens nothing that was seen to hold.
        lease.holds(150);
        assert_eq!((most(lease.turns(199)), most(lease.turns(200))), (None, Some(0)));
    }
}
