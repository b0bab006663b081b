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

/// The class table of the test settings, with this idempotency for session reads.
fn class_table(effect: &str) -> Arc<ClassTable> {
    let mut settings = proxy::settings();
    settings["services"][SESSION_READ]["idempotency"] = effect.into();
    let pairs = FlatSettings::from_json(&settings);
    let classes = pairs.settings(1).expect("valid settings").classes;
    ClassSlots::default().replace(pairs.names().expect("names"), classes)
}

/// A session read that must reflect a write whose position members do not check.
fn session_read(effect: &str) -> LiveRequest {
    let request = Request {
        class_table: class_table(effect),
        name: None,
        class: SESSION_READ,
        tenant: 0,
        group: 1,
        session: Some("s".into()),
        key_session: None,
        after: None,
        deadline: DEADLINE,
        repeat: false,
        work: Work::Verbatim { text: Bytes::new(), wait: 0..0, has_idempotency_key: true },
        client: None,
    };
    LiveRequest::new(request, 0, oneshot::channel().0, WRITTEN)
}

fn note(role: Role, position: Option<Position>) -> Note {
    Note { position, role: Some(role) }
}

#[test]
fn a_served_read_with_a_discarded_answer_counts_as_run() {
    let mut live = session_read("non_idempotent");
    let first = live.begin_attempt(REPLICA, 10, 0);
    live.end_attempt(first, Outcome::Completed);
    assert!(!live.reflects_session(first, Some(&note(Role::Replica, None))));
    assert!(live.may_have_run() && !live.had_no_effect());
    let progress = live.progress();
    assert_eq!(progress.may_send(20), Err(Violation::UnsafeResent));
    assert_eq!(progress.may_refuse(), Err(Violation::UnsafeRefused));
}

#[test]
fn only_the_first_end_of_an_attempt_counts() {
    let mut live = session_read("non_idempotent");
    let first = live.begin_attempt(REPLICA, 10, 0);
    live.end_attempt(first, Outcome::Reset);
    live.end_attempt(first, Outcome::Superseded);
    assert!(live.may_have_run());
}

#[test]
fn an_attempt_that_never_ran_may_be_repeated_or_refused() {
    for outcome in [Outcome::Miss, Outcome::Saturated, Outcome::Refused, Outcome::Superseded] {
        let mut live = session_read("non_idempotent");
        let first = live.begin_attempt(REPLICA, 10, 0);
        assert_eq!(live.progress().may_refuse(), Err(Violation::UnsafeRefused), "{outcome:?}");
        live.end_attempt(first, outcome);
        assert!(live.had_no_effect(), "{outcome:?}");
        assert_eq!((live.progress().may_send(20), live.progress().may_refuse()), (Ok(()), Ok(())));
    }
}

#[test]
fn an_answer_without_a_position_reflects_what_its_member_had_reached_when_the_attempt_was_sent() {
    let mut live = session_read("read_like");
    let behind = live.begin_attempt(REPLICA, 10, WRITTEN - 1);
    let recent = live.begin_attempt(REPLICA, 11, WRITTEN);
    for note in [None, Some(note(Role::Replica, None))] {
        assert!(!live.reflects_session(behind, note.as_ref()), "{note:?}");
        assert!(live.reflects_session(recent, note.as_ref()), "{note:?}");
    }
}

#[test]
fn a_position_told_with_an_answer_takes_precedence() {
    let mut live = session_read("read_like");
    let behind = live.begin_attempt(REPLICA, 10, WRITTEN - 1);
    let recent = live.begin_attempt(REPLICA, 11, WRITTEN);
    assert!(live.reflects_session(behind, Some(&note(Role::Replica, Some(WRITTEN)))));
    assert!(live.reflects_session(behind, Some(&note(Role::Primary, Some(0)))));
    assert!(!live.reflects_session(recent, Some(&note(Role::Replica, Some(WRITTEN - 1)))));
}
