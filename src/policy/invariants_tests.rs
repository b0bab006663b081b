use super::*;

const NOTHING_SENT: RequestProgress = RequestProgress {
    effect: Effect::Unsafe,
    group: 1,
    first_possible_run: None,
    deadline: 100,
    ended: false,
};

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_sent_again_nor_refused() {
    let unsent = NOTHING_SENT;
    assert_eq!((unsent.may_send(99), unsent.may_refuse()), (Ok(()), Ok(())));
    assert_eq!(unsent.may_send(100), Err(Violation::SentTooLate));
    let sent = RequestProgress { first_possible_run: Some(0), ..unsent };
    assert_eq!(sent.may_send(1), Err(Violation::UnsafeResent));
    assert_eq!(sent.may_refuse(), Err(Violation::UnsafeRefused));
    let safe = RequestProgress { effect: Effect::Safe, ..sent };
    assert_eq!((safe.may_send(1), safe.may_refuse()), (Ok(()), Ok(())));
}

#[test]
fn a_request_that_has_ended_is_not_sent_whatever_may_have_run() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let ended = RequestProgress { effect, ended: true, ..NOTHING_SENT };
        assert_eq!(ended.may_send(1), Err(Violation::SentAfterEnd));
    }
}

#[test]
fn an_answer_is_lost_from_half_a_second_behind_the_deadline_on() {
    let request = RequestProgress { deadline: 1_000_000, ..NOTHING_SENT };
    assert!(!request.is_lost(1_500_000) && request.is_lost(1_500_001));
}

#[test]
fn a_statement_is_late_from_150_ms_behind_its_check_on() {
    assert!(is_written_in_time(150_000) && !is_written_in_time(150_001));
}

#[test]
fn a_keyed_request_that_may_have_run_is_repeated_in_its_window_and_refused_only_if_all_members_deduplicate() {
    for (group, refused) in [
        (DedupScope::Group, Err(Violation::KeyedRefused)),
        (DedupScope::Zone, Err(Violation::KeyedRefused)),
        (DedupScope::All, Ok(())),
    ] {
        let keyed = RequestProgress { effect: Effect::Keyed { group, window: 30 }, ..NOTHING_SENT };
        assert_eq!((keyed.may_send(99), keyed.may_refuse()), (Ok(()), Ok(())));
        let sent = RequestProgress { first_possible_run: Some(10), ..keyed };
        assert_eq!((sent.may_send(39), sent.may_send(40)), (Ok(()), Err(Violation::KeyedResentLate)));
        assert_eq!(sent.may_refuse(), refused, "{group:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_goes_only_to_members_that_deduplicate_it() {
    let (same_zone, same_group) =
        (Some(MemberLocation { zone: 0, group: 2 }), Some(MemberLocation { zone: 1, group: 1 }));
    let elsewhere = Err(Violation::KeyedResentElsewhere);
    for (group, in_zone, in_group, first_zone_unknown) in [
        (DedupScope::All, Ok(()), Ok(()), Ok(())),
        (DedupScope::Zone, Ok(()), elsewhere, elsewhere),
        (DedupScope::Group, elsewhere, Ok(()), Ok(())),
    ] {
        let keyed = RequestProgress { effect: Effect::Keyed { group, window: 30 }, ..NOTHING_SENT };
        assert_eq!(keyed.may_go_to(same_zone, None), Ok(()), "{group:?}");
        let sent = RequestProgress { first_possible_run: Some(10), ..keyed };
        assert_eq!(sent.may_go_to(same_zone, Some(0)), in_zone, "{group:?}");
        assert_eq!(sent.may_go_to(same_group, Some(0)), in_group, "{group:?}");
        assert_eq!(sent.may_go_to(same_group, None), first_zone_unknown, "{group:?}");
    }
}
