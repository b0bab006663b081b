//! Lease on the rules in force. When it expires, the router gets settings under which nothing may be sent; when it is
//! extended, the router gets the actual settings back. The caller supplies the time.

use super::counters::{count, Count};
use crate::interface::{Settings, Time};

/// The lease, and the settings that apply while it is valid.
#[derive(Debug, Default)]
pub struct Lease {
    until: Time,
    /// The latest settings for the router; `None` before the first ones arrive.
    own: Option<Box<Settings>>,
    /// The router currently has settings under which nothing may be sent.
    lapsed: bool,
}

/// Settings that allow no attempt. Held requests are refused, or failed if they may have run.
fn nothing(settings: &Settings) -> Box<Settings> {
    Box::new(Settings { max_attempts: 0, ..settings.clone() })
}

impl Lease {
    /// Extends the lease to this time; an earlier time than the current one has no effect.
    pub fn holds(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// When the lease expires.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Takes in new settings and returns those that the router gets now.
    pub fn settings(&mut self, settings: Box<Settings>, now: Time) -> Box<Settings> {
        self.lapsed = now >= self.until;
        let told = if self.lapsed { nothing(&settings) } else { settings.clone() };
        self.own = Some(settings);
        told
    }

    /// The settings that the router must get before its next decision, if the lease has expired or is valid again.
    pub fn turns(&mut self, now: Time) -> Option<Box<Settings>> {
        let lapsed = now >= self.until;
        let own = self.own.as_ref().filter(|_| lapsed != self.lapsed)?;
        self.lapsed = lapsed;
        if lapsed {
            count(Count::agreement_lapses);
            log::warn!(
                "the lease on the agreed rules has expired: nothing is sent until the voters answer again"
            );
            return Some(nothing(own));
        }
        log::info!("the lease on the agreed rules is valid again");
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
        // Settings that arrive while the lease is expired are kept until it is valid again.
        let more = Box::new(Settings { max_attempts: 7, ..Settings::default() });
        assert_eq!(lease.settings(more, 120).max_attempts, 0);
        lease.holds(200);
        assert_eq!(most(lease.turns(130)), Some(7));
        // An older, shorter lease does not shorten the current one.
        lease.holds(150);
        assert_eq!((most(lease.turns(199)), most(lease.turns(200))), (None, Some(0)));
    }
}
