//! Rules that hold whatever the router decides, checked at run time where its decisions are carried out. A violation is a
//! fault of this program: it is counted and told, and what would have broken the rule is not done.

use crate::interface::{Repeat, Time};

/// What has become of a request so far.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// How it may be repeated.
    pub repeat: Repeat,
    /// An attempt of it may have run.
    pub may_have_run: bool,
    /// Attempts of which the end is not known.
    pub out: u32,
    /// When its client gives up.
    pub deadline: Time,
}

/// A rule that a decision would break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// What may have run, and may not run twice, would be sent again.
    UnsafeResent,
    /// What may have run would be refused, which promises that it has not.
    UnsafeRefused,
    /// Something would be sent after its client has given up.
    SentTooLate,
    /// Something new would be sent to a member that is announced as leaving.
    SentToLeaving,
}

impl Progress {
    fn unsafe_and_may_run(&self) -> bool {
        self.repeat == Repeat::Unsafe && (self.may_have_run || self.out > 0)
    }

    /// Whether one more attempt may be made.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_send(&self, now: Time) -> Result<(), Violation> {
        if self.unsafe_and_may_run() {
            return Err(Violation::UnsafeResent);
        }
        if now >= self.deadline {
            return Err(Violation::SentTooLate);
        }
        Ok(())
    }

    /// Whether it may be refused with the promise that trying again is harmless.
    ///
    /// # Errors
    /// The rule that it would break.
    pub fn may_refuse(&self) -> Result<(), Violation> {
        if self.unsafe_and_may_run() {
            return Err(Violation::UnsafeRefused);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unsafe_request_that_may_have_run_is_neither_sent_again_nor_refused() {
        let fresh = Progress { repeat: Repeat::Unsafe, may_have_run: false, out: 0, deadline: 100 };
        assert_eq!((fresh.may_send(99), fresh.may_refuse()), (Ok(()), Ok(())));
        assert_eq!(fresh.may_send(100), Err(Violation::SentTooLate));
        for begun in [Progress { may_have_run: true, ..fresh }, Progress { out: 1, ..fresh }] {
            assert_eq!(begun.may_send(1), Err(Violation::UnsafeResent));
            assert_eq!(begun.may_refuse(), Err(Violation::UnsafeRefused));
            let safe = Progress { repeat: Repeat::Safe, ..begun };
            assert_eq!((safe.may_send(1), safe.may_refuse()), (Ok(()), Ok(())));
        }
    }
}
