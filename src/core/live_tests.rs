use super::*;
use crate::class_table::{ClassSlots, ClassTable};
use crate::core::Work;
use crate::policy::invariants::Violation;
use crate::settings::FlatSettings;
use bytes::Bytes;
use linentrail_standins::proxy;
use std::sync::Arc;

/// Index of the class of session reads.
const SESSION_READ: usize = 1;
const REPLICA: MemberId = MemberId(2);
const WRITTEN: Position = 50;
const DEADLINE: Time = 1_000;

/// The platform's terms, with session reads that may be repeated so.
fn class_table(repeat: &str) -> Arc<ClassTable> {
    let mut settings = proxy::settings();
    settings["services"][SESSION_READ]["idempotency"] = repeat.into();
    let pairs = FlatSettings::from_json(&settings);
    let classes = pairs.settings(1).expect("sound settings").classes;
    ClassSlots::default().replace(pairs.names().expect("names"), classes)
}

/// A session read that must see a write which members do not know of.
fn session_read(repeat: &str) -> LiveRequest {
    let request = Request {
        class_table: class_table(repeat),
        name: None,
        class: SESSION_READ,
        tenant: 0,
        group: 1,
        session: Some("s".into()),
        key_session: None,
        after: None,
        deadline: DEADLINE,
        repeat: false,
        work: Work::Verbatim { text: Bytes::new(), wait: 0..0 },
        client: None,
    };
    LiveRequest::new(request, 0, oneshot::channel().0, WRITTEN)
}

fn note(role: Role, position: Option<Position>) -> Note {
    Note { position, role: Some(role) }
}

#[test]
fn a_served_read_whose_answer_is_not_used_still_counts_as_run() {
    let mut live = session_read("non_idempotent");
    let first = live.begin_attempt(REPLICA, 10, 0);
    live.end_attempt(first, Outcome::Completed);
    assert!(!live.shows_session(first, Some(&note(Role::Replica, None))));
    assert!(live.may_have_run() && !live.untouched());
    let progress = live.progress();
    assert_eq!(progress.may_send(20), Err(Violation::UnsafeResent));
    assert_eq!(progress.may_refuse(), Err(Violation::UnsafeRefused));
}

#[test]
fn the_first_end_of_an_attempt_counts() {
    let mut live = session_read("non_idempotent");
    let first = live.begin_attempt(REPLICA, 10, 0);
    live.end_attempt(first, Outcome::Reset);
    live.end_attempt(first, Outcome::Superseded);
    assert!(live.may_have_run());
}

#[test]
fn what_was_turned_away_untouched_may_be_sent_again_and_refused() {
    for outcome in [Outcome::Miss, Outcome::Saturated, Outcome::Refused, Outcome::Superseded] {
        let mut live = session_read("non_idempotent");
        let first = live.begin_attempt(REPLICA, 10, 0);
        assert_eq!(live.progress().may_refuse(), Err(Violation::UnsafeRefused), "{outcome:?}");
        live.end_attempt(first, outcome);
        assert!(live.untouched(), "{outcome:?}");
        assert_eq!((live.progress().may_send(20), live.progress().may_refuse()), (Ok(()), Ok(())));
    }
}

#[test]
fn an_answer_that_tells_no_position_shows_what_its_member_had_reached_when_it_was_sent() {
    let mut live = session_read("read_like");
    let behind = live.begin_attempt(REPLICA, 10, WRITTEN - 1);
    let recent = live.begin_attempt(REPLICA, 11, WRITTEN);
    for told in [None, Some(note(Role::Replica, None))] {
        assert!(!live.shows_session(behind, told.as_ref()), "{told:?}");
        assert!(live.shows_session(recent, told.as_ref()), "{told:?}");
    }
}

#[test]
fn a_position_told_with_an_answer_goes_before_what_was_known_of_its_member() {
    let mut live = session_read("read_like");
    let behind = live.begin_attempt(REPLICA, 10, WRITTEN - 1);
    let recent = live.begin_attempt(REPLICA, 11, WRITTEN);
    assert!(live.shows_session(behind, Some(&note(Role::Replica, Some(WRITTEN)))));
    assert!(live.shows_session(behind, Some(&note(Role::Primary, Some(0)))));
    assert!(!live.shows_session(recent, Some(&note(Role::Replica, Some(WRITTEN - 1)))));
}
