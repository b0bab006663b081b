//! Lease on the rules in force. When it expires, the router gets settings under which nothing may be sent; when it is
//! extended, the router gets the actual settings back. The caller supplies the time.

use super::counters::{count, Count};
use crate::interface::{Settings, Time};

/// The lease, and the settings that apply while it is valid.
#[derive(Debug, Default)]
pub struct Lease {
    until: Time,
    /// The latest settings for the router; `None` before the first ones arrive.
    actual: Option<Box<Settings>>,
    /// The router currently has settings under which nothing may be sent.
    lapsed: bool,
}

/// Settings that allow no attempt. Held requests are refused, or failed if they may have run.
fn without_attempts(settings: &Settings) -> Box<Settings> {
    Box::new(Settings { max_attempts: 0, ..settings.clone() })
}

impl Lease {
    /// Extends the lease to this time; an earlier time than the current one has no effect.
    pub fn extend(&mut self, until: Time) {
        self.until = self.until.max(until);
    }

    /// When the lease expires.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Takes in new settings and returns those that the router gets now.
    pub fn apply_settings(&mut self, settings: Box<Settings>, now: Time) -> Box<Settings> {
        self.lapsed = now >= self.until;
        let applied = if self.lapsed { without_attempts(&settings) } else { settings.clone() };
        self.actual = Some(settings);
        applied
    }

    /// The settings that the router must get before its next decision, if the lease has expired or is valid again.
    pub fn take_change(&mut self, now: Time) -> Option<Box<Settings>> {
        let lapsed = now >= self.until;
        let actual = self.actual.as_ref().filter(|_| lapsed != self.lapsed)?;
        self.lapsed = lapsed;
        if lapsed {
            count(Count::agreement_lapses);
            log::warn!(
                "the lease on the agreed rules has expired: nothing is sent until the voters answer again"
            );
            return Some(without_attempts(actual));
        }
        log::info!("the lease on the agreed rules is valid again");
        Some(actual.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_may_be_sent_from_the_expiry_on() {
        let settings = Box::new(Settings { max_attempts: 5, ..Settings::default() });
        let max_attempts = |settings: Option<Box<Settings>>| settings.map(|s| s.max_attempts);
        let mut lease = Lease::default();
        assert_eq!(lease.take_change(0), None, "there are no settings yet");
        lease.extend(100);
        assert_eq!(lease.apply_settings(settings.clone(), 50).max_attempts, 5);
        assert_eq!(
            (
                max_attempts(lease.take_change(99)),
                max_attempts(lease.take_change(100)),
                max_attempts(lease.take_change(101))
            ),
            (None, Some(0), None)
        );
        // Settings that arrive while the lease is expired are kept until it is valid again.
        let newer = Box::new(Settings { max_attempts: 7, ..Settings::default() });
        assert_eq!(lease.apply_settings(newer, 120).max_attempts, 0);
        lease.extend(200);
        assert_eq!(max_attempts(lease.take_change(130)), Some(7));
        // An older, shorter lease does not shorten the current one.
        lease.extend(150);
        assert_eq!(
            (max_attempts(lease.take_change(199)), max_attempts(lease.take_change(200))),
            (None, Some(0))
        );
    }
}
