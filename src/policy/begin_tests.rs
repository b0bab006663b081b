//! The gate before an attempt's first byte.

use super::*;

const KEY: AttemptKey = (RequestId(7), 0);
const FINE: BeginContext = BeginContext {
    now: 100,
    rules_until: Time::MAX,
    dedup_until: Time::MAX,
    fresh_until: Time::MAX,
    stop_at: 200,
    client_gone: false,
};

#[test]
fn an_attempt_begins_once_and_only_while_it_waits() {
    let mut gate = BeginGate::default();
    assert_eq!(gate.begin(KEY, FINE), Err(WithholdReason::Withdrawn), "nobody has decided on it");
    gate.register(KEY);
    assert_eq!(gate.begin(KEY, FINE), Ok(()));
    assert!(gate.has_begun(KEY) && !gate.is_waiting(KEY));
    assert_eq!(gate.begin(KEY, FINE), Err(WithholdReason::Withdrawn), "a second time");
    assert!(gate.end(KEY) && !gate.end(KEY));
}

#[test]
fn what_is_withdrawn_never_begins_and_what_has_begun_is_not_withdrawn() {
    for all in [false, true] {
        let (mut gate, other) = (BeginGate::default(), (RequestId(8), 1));
        gate.register(KEY);
        gate.register(other);
        assert_eq!(gate.begin(other, FINE), Ok(()));
        if all {
            gate.withdraw_all();
        } else {
            assert!(gate.withdraw(KEY) && !gate.withdraw(other));
        }
        assert!(gate.has_begun(other));
        assert_eq!(gate.begin(KEY, FINE), Err(WithholdReason::Withdrawn));
        assert!(!gate.end(KEY) && gate.end(other));
    }
}

#[test]
fn each_reason_withholds_an_attempt_for_good() {
    for (moment, why) in [
        (BeginContext { rules_until: 100, ..FINE }, WithholdReason::RulesLapsed),
        (BeginContext { dedup_until: 100, ..FINE }, WithholdReason::Forgotten),
        (BeginContext { fresh_until: 100, ..FINE }, WithholdReason::TooOld),
        (BeginContext { now: 200, ..FINE }, WithholdReason::Late),
        (BeginContext { client_gone: true, ..FINE }, WithholdReason::ClientGone),
    ] {
        let mut gate = BeginGate::default();
        gate.register(KEY);
        assert_eq!(gate.begin(KEY, moment), Err(why));
        assert_eq!(gate.begin(KEY, FINE), Err(WithholdReason::Withdrawn));
        assert!(!gate.has_begun(KEY));
    }
}

#[test]
fn a_client_seen_a_moment_ago_is_not_looked_at_again() {
    assert!(!client_check_due(CLIENT_CHECK_INTERVAL + 9, 10));
    assert!(client_check_due(CLIENT_CHECK_INTERVAL + 10, 10));
    assert!(!client_check_due(5, 10), "a clock that is behind shows nothing");
}
