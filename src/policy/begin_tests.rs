//! Tests of the checks before an attempt's first byte.

use super::*;

const KEY: AttemptKey = (RequestId(7), 0);
const VALID: BeginContext = BeginContext {
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
    assert_eq!(gate.begin(KEY, VALID), Err(WithholdReason::Withdrawn), "it was never registered");
    gate.register(KEY);
    assert_eq!(gate.begin(KEY, VALID), Ok(1));
    assert!(gate.has_begun(KEY) && !gate.is_waiting(KEY));
    assert_eq!(gate.begin(KEY, VALID), Err(WithholdReason::Withdrawn), "it has begun already");
    assert!(gate.end(KEY) && !gate.end(KEY));
}

#[test]
fn a_withdrawn_attempt_never_begins_and_a_begun_one_is_not_withdrawn() {
    for all in [false, true] {
        let (mut gate, other) = (BeginGate::default(), (RequestId(8), 1));
        gate.register(KEY);
        gate.register(other);
        assert_eq!(gate.begin(other, VALID), Ok(1));
        if all {
            gate.withdraw_all();
        } else {
            assert!(gate.withdraw(KEY) && !gate.withdraw(other));
        }
        assert!(gate.has_begun(other));
        assert_eq!(gate.begin(KEY, VALID), Err(WithholdReason::Withdrawn));
        assert!(!gate.end(KEY) && gate.end(other));
    }
}

#[test]
fn each_reason_withholds_an_attempt_for_good() {
    for (context, reason) in [
        (BeginContext { rules_until: 100, ..VALID }, WithholdReason::RulesLapsed),
        (BeginContext { dedup_until: 100, ..VALID }, WithholdReason::Forgotten),
        (BeginContext { fresh_until: 100, ..VALID }, WithholdReason::TooOld),
        (BeginContext { now: 200, ..VALID }, WithholdReason::Late),
        (BeginContext { client_gone: true, ..VALID }, WithholdReason::ClientGone),
    ] {
        let mut gate = BeginGate::default();
        gate.register(KEY);
        assert_eq!(gate.begin(KEY, context), Err(reason));
        assert_eq!(gate.begin(KEY, VALID), Err(WithholdReason::Withdrawn));
        assert!(!gate.has_begun(KEY));
    }
}

#[test]
fn a_client_checked_recently_is_not_checked_again() {
    assert!(!client_check_due(CLIENT_CHECK_INTERVAL + 9, 10));
    assert!(client_check_due(CLIENT_CHECK_INTERVAL + 10, 10));
    assert!(!client_check_due(5, 10), "a last check in the future is valid");
}
