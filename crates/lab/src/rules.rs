//! The rules that clients can check: one answer for each request, no booking executed twice, no stale session read.

use linentrail_standins::client::ClientAnswer;
use linentrail_standins::group::Group;

/// The writes of a session, for checking that it reads its own writes.
#[derive(Debug, Default, Clone)]
pub struct Session {
    /// The value of the last write that was acknowledged.
    acknowledged: Option<Vec<u8>>,
    /// Values of later writes whose result is unknown.
    unconfirmed: Vec<Vec<u8>>,
}

impl Session {
    /// Records the answer to a write; `None` if the connection failed before an answer arrived.
    pub fn record_write(&mut self, value: Vec<u8>, answer: Option<&ClientAnswer>) {
        match answer {
            Some(ClientAnswer::Served(_)) => {
                *self = Session { acknowledged: Some(value), unconfirmed: Vec::new() }
            }
            Some(ClientAnswer::Refused(_)) => {}
            Some(ClientAnswer::Failed(_)) | None => self.unconfirmed.push(value),
        }
    }

    /// Whether a value read by the session is at least as new as its last acknowledged write.
    pub fn is_current(&self, value: &[u8]) -> bool {
        match &self.acknowledged {
            Some(acknowledged) if acknowledged == value => true,
            None if value.is_empty() => true,
            _ => self.unconfirmed.iter().any(|p| p == value),
        }
    }
}

/// Counts over all clients.
#[derive(Debug, Default, Clone)]
pub struct Observations {
    /// Requests sent.
    pub requests: u64,
    /// Answers received: served, refused or failed.
    pub answers: u64,
    /// Requests after which unread bytes were left on the connection, such as a second answer.
    pub strays: u64,
    /// Session reads that returned a value older than the session's last write.
    pub stale_reads: u64,
    /// Answers with a value that does not belong to the request.
    pub foreign_values: u64,
    /// Bookings served.
    pub bookings: u64,
}

/// A rule, whether it was kept, and the counts that show this.
pub type RuleResult = (&'static str, bool, String);

/// Checks all rules against the counts and against the statements that the members executed.
pub fn judge(observed: &Observations, group: &Group) -> Vec<RuleResult> {
    let (runs, duplicates) = group.runs();
    vec![
        (
            "one final answer each",
            observed.requests == observed.answers && observed.strays == 0,
            format!("{} asked, {} answered, {} strays", observed.requests, observed.answers, observed.strays),
        ),
        (
            "no charge twice",
            duplicates.is_empty() && runs >= observed.bookings,
            format!(
                "{runs} bookings ran, {} ids more than once, {} served",
                duplicates.len(),
                observed.bookings
            ),
        ),
        (
            "no stale session read",
            observed.stale_reads == 0,
            format!("{} reads older than the last write", observed.stale_reads),
        ),
        (
            "no other's value",
            observed.foreign_values == 0,
            format!("{} values of another request", observed.foreign_values),
        ),
    ]
}

/// Whether all rules were kept.
pub fn all_kept(verdicts: &[RuleResult]) -> bool {
    verdicts.iter().all(|(_, kept, _)| *kept)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_read_must_return_the_last_acknowledged_write_or_a_later_unconfirmed_one() {
        let mut session = Session::default();
        assert!(session.is_current(b"") && !session.is_current(b"x"));
        session.record_write(b"a".to_vec(), Some(&ClientAnswer::Served(b"a".to_vec())));
        assert!(session.is_current(b"a") && !session.is_current(b""));
        session.record_write(b"b".to_vec(), Some(&ClientAnswer::Failed("XX000".into())));
        session.record_write(b"c".to_vec(), Some(&ClientAnswer::Refused(None)));
        assert!(session.is_current(b"a") && session.is_current(b"b") && !session.is_current(b"c"));
        session.record_write(b"d".to_vec(), Some(&ClientAnswer::Served(b"d".to_vec())));
        assert!(session.is_current(b"d") && !session.is_current(b"a") && !session.is_current(b"b"));
    }

    #[test]
    fn each_broken_rule_is_reported_separately() {
        let group = Group::default();
        group.write("1", "k", "v".into(), 1);
        let fine = Observations { requests: 3, answers: 3, bookings: 1, ..Observations::default() };
        assert!(all_kept(&judge(&fine, &group)));
        let broken =
            |observed: Observations| -> Vec<bool> { judge(&observed, &group).iter().map(|v| v.1).collect() };
        assert_eq!(broken(Observations { answers: 2, ..fine.clone() }), [false, true, true, true]);
        assert_eq!(broken(Observations { bookings: 2, ..fine.clone() }), [true, false, true, true]);
        assert_eq!(broken(Observations { stale_reads: 1, ..fine.clone() }), [true, true, false, true]);
        assert_eq!(broken(Observations { foreign_values: 1, ..fine.clone() }), [true, true, true, false]);
        group.write("1", "k", "v".into(), 2);
        assert_eq!(broken(fine), [true, false, true, true]);
    }
}
