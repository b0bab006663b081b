//! The rules that a client can check from outside: one answer each, no charge twice, no stale read of one's own.

use linentrail_standins::client::ClientAnswer;
use linentrail_standins::group::Group;

/// What a session knows of its own writes.
#[derive(Debug, Default, Clone)]
pub struct Session {
    /// The value of its last write that was served.
    sure: Option<Vec<u8>>,
    /// Values of later writes that may have run.
    perhaps: Vec<Vec<u8>>,
}

impl Session {
    /// Takes in the answer to a write.
    pub fn wrote(&mut self, value: Vec<u8>, told: Option<&ClientAnswer>) {
        match told {
            Some(ClientAnswer::Served(_)) => *self = Session { sure: Some(value), perhaps: Vec::new() },
            Some(ClientAnswer::Refused(_)) => {}
            Some(ClientAnswer::Failed(_)) | None => self.perhaps.push(value),
        }
    }

    /// Whether a value that a read of the session brought is no older than its last write.
    pub fn fits(&self, value: &[u8]) -> bool {
        match &self.sure {
            Some(sure) if sure == value => true,
            None if value.is_empty() => true,
            _ => self.perhaps.iter().any(|p| p == value),
        }
    }
}

/// What was seen of all clients together.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// Requests asked, and answers got.
    pub asked: u64,
    /// Answers, served, refused or failed.
    pub answered: u64,
    /// Bytes that came without being asked for, or more than one answer.
    pub strays: u64,
    /// Reads of a session that did not show its last write.
    pub stale: u64,
    /// Values that no member made for the request.
    pub foreign: u64,
    /// Bookings served.
    pub booked: u64,
}

/// A rule, whether it was kept, and by what that is known.
pub type Verdict = (&'static str, bool, String);

/// Judges all that was seen.
pub fn judge(seen: &Seen, group: &Group) -> Vec<Verdict> {
    let (runs, twice) = group.runs();
    vec![
        (
            "one final answer each",
            seen.asked == seen.answered && seen.strays == 0,
            format!("{} asked, {} answered, {} strays", seen.asked, seen.answered, seen.strays),
        ),
        (
            "no charge twice",
            twice.is_empty() && runs >= seen.booked,
            format!("{runs} bookings ran, {} ids more than once, {} served", twice.len(), seen.booked),
        ),
        ("no stale session read", seen.stale == 0, format!("{} reads older than the last write", seen.stale)),
        ("no other's value", seen.foreign == 0, format!("{} values of another request", seen.foreign)),
    ]
}

/// The table's last word.
pub fn kept(verdicts: &[Verdict]) -> bool {
    verdicts.iter().all(|(_, kept, _)| *kept)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_read_must_show_the_last_write_that_was_served_or_a_later_one_that_may_have_run() {
        let mut session = Session::default();
        assert!(session.fits(b"") && !session.fits(b"x"));
        session.wrote(b"a".to_vec(), Some(&ClientAnswer::Served(b"a".to_vec())));
        assert!(session.fits(b"a") && !session.fits(b""));
        session.wrote(b"b".to_vec(), Some(&ClientAnswer::Failed("XX000".into())));
        session.wrote(b"c".to_vec(), Some(&ClientAnswer::Refused(None)));
        assert!(session.fits(b"a") && session.fits(b"b") && !session.fits(b"c"));
        session.wrote(b"d".to_vec(), Some(&ClientAnswer::Served(b"d".to_vec())));
        assert!(session.fits(b"d") && !session.fits(b"a") && !session.fits(b"b"));
    }

    #[test]
    fn each_broken_rule_is_told_apart() {
        let group = Group::default();
        group.write("1", "k", "v".into(), 1);
        let fine = Seen { asked: 3, answered: 3, booked: 1, ..Seen::default() };
        assert!(kept(&judge(&fine, &group)));
        let broken = |seen: Seen| -> Vec<bool> { judge(&seen, &group).iter().map(|v| v.1).collect() };
        assert_eq!(broken(Seen { answered: 2, ..fine.clone() }), [false, true, true, true]);
        assert_eq!(broken(Seen { booked: 2, ..fine.clone() }), [true, false, true, true]);
        assert_eq!(broken(Seen { stale: 1, ..fine.clone() }), [true, true, false, true]);
        assert_eq!(broken(Seen { foreign: 1, ..fine.clone() }), [true, true, true, false]);
        group.write("1", "k", "v".into(), 2);
        assert_eq!(broken(fine), [true, false, true, true]);
    }
}
