//! Each test adds a breach of one rule to a log that is otherwise valid, and checks that the rule reports it.

use super::*;
use crate::rig::events::KeyScope;

const MS: Micros = 1_000;

/// Builder of an event log; times are in ms.
#[derive(Default, Clone)]
struct LogBuilder(Vec<Event>);

impl LogBuilder {
    fn at(mut self, ms: Micros, what: EventKind) -> Self {
        self.0.push(Event { at: ms * MS, what });
        self
    }

    fn asked(self, ms: Micros, id: u64, writes: Option<u64>, shows: ReadGuarantee) -> Self {
        let (key, aim, wait) = ("k".to_string(), 200 * MS, 500 * MS);
        self.at(ms, EventKind::Asked { id, proxy: 1, key, writes, shows, effect: None, aim, wait })
    }

    fn ended(self, ms: Micros, id: u64, how: RequestEnd, value: u64) -> Self {
        self.at(ms, EventKind::Ended { id, how, value })
    }

    fn ran(self, ms: Micros, id: u64, value: u64) -> Self {
        self.at(ms, EventKind::Ran { member: 1, id, key: "k".into(), value })
    }

    fn write(self, ms: Micros, id: u64, value: u64) -> Self {
        let asked = self
            .asked(ms, id, Some(value), ReadGuarantee::Any)
            .at(ms + 1, EventKind::Given { member: 1, id });
        asked.ran(ms + 2, id, value).ended(ms + 3, id, RequestEnd::Served, value)
    }

    fn broken_rules_within(&self, bounds: &Bounds) -> Vec<Rule> {
        judge(&self.0, 0, bounds).counts.into_keys().collect()
    }

    fn broken_rules(&self) -> Vec<Rule> {
        self.broken_rules_within(&Bounds::default())
    }
}

/// A log with a proxy that serves and a write of value 1 that was acknowledged at 4 ms.
fn valid_log() -> LogBuilder {
    let log = LogBuilder::default().at(0, EventKind::Exec { proxy: 1 }).at(0, EventKind::Serves { proxy: 1 });
    log.write(1, 100, 1)
}

#[test]
fn a_valid_log_has_no_breach() {
    let log = valid_log().asked(10, 1, None, ReadGuarantee::Session).ended(20, 1, RequestEnd::Served, 1);
    assert_eq!(log.broken_rules(), []);
    let verdict = judge(&log.0, 0, &Bounds::default());
    assert!(verdict.passed());
    assert_eq!(verdict.asked, 2);
}

#[test]
fn a_missing_duplicate_broken_or_late_answer_is_a_breach_unless_the_proxy_was_unavailable() {
    let asked = valid_log().asked(10, 1, None, ReadGuarantee::Any);
    assert_eq!(asked.clone().at(1_011, EventKind::Fault("end".into())).broken_rules(), [Rule::Answer]);
    // The deadline has not passed yet.
    assert_eq!(asked.clone().at(900, EventKind::Fault("end".into())).broken_rules(), []);
    let twice = asked.clone().ended(20, 1, RequestEnd::Served, 1).ended(21, 1, RequestEnd::Served, 1);
    assert_eq!(twice.broken_rules(), [Rule::Answer]);
    assert_eq!(asked.clone().ended(20, 1, RequestEnd::Broken, 0).broken_rules(), [Rule::Answer]);
    assert_eq!(asked.clone().ended(1_011, 1, RequestEnd::Refused, 0).broken_rules(), [Rule::Answer]);
    assert_eq!(asked.clone().ended(1_010, 1, RequestEnd::Refused, 0).broken_rules(), []);
    let killed = asked.clone().at(12, EventKind::Down { proxy: 1, stopped: false });
    assert_eq!(killed.clone().ended(20, 1, RequestEnd::Broken, 0).broken_rules(), []);
    assert_eq!(killed.clone().at(2_000, EventKind::Fault("end".into())).broken_rules(), []);
    // After the proxy serves again, the rule applies again.
    let back = killed.ended(20, 1, RequestEnd::Broken, 0).at(30, EventKind::Serves { proxy: 1 });
    let again = back.asked(40, 2, None, ReadGuarantee::Any).ended(50, 2, RequestEnd::Broken, 0);
    assert_eq!(again.broken_rules(), [Rule::Answer]);
}

#[test]
fn a_stopped_proxy_is_available_after_it_is_resumed_unless_it_was_killed_meanwhile() {
    let down = |stopped| EventKind::Down { proxy: 1, stopped };
    let resumed = EventKind::Resumed { proxy: 1 };
    let ask = |log: LogBuilder| {
        log.asked(40, 1, None, ReadGuarantee::Any).ended(50, 1, RequestEnd::Broken, 0).broken_rules()
    };
    let stopped = valid_log().at(20, down(true));
    assert_eq!(ask(stopped.clone()), []);
    assert_eq!(ask(stopped.clone().at(30, resumed.clone())), [Rule::Answer]);
    assert_eq!(ask(stopped.at(25, down(false)).at(30, resumed)), []);
}

#[test]
fn the_time_of_a_request_runs_from_its_last_byte() {
    // Its client had to connect first.
    let asked = valid_log().asked(10, 1, None, ReadGuarantee::Any);
    let sent = asked.clone().at(800, EventKind::Sent { id: 1, first: true });
    let refused = |log: LogBuilder, ms| log.ended(ms, 1, RequestEnd::Refused, 0).broken_rules();
    assert_eq!(refused(asked, 1_011), [Rule::Answer]);
    assert_eq!(refused(sent.clone(), 1_800), []);
    assert_eq!(refused(sent.clone(), 1_801), [Rule::Answer]);
    assert_eq!(
        sent.at(1_900, EventKind::Fault("x".into())).broken_rules(),
        [Rule::Answer],
        "it has no answer"
    );
}

#[test]
fn a_stall_of_the_machine_excuses_a_late_answer_but_not_a_missing_one() {
    let asked = valid_log().asked(10, 1, None, ReadGuarantee::Any);
    let stall = EventKind::Stall { us: 400 * MS };
    let late = |log: LogBuilder| log.ended(1_300, 1, RequestEnd::Refused, 0).broken_rules();
    assert_eq!(late(asked.clone()), [Rule::Answer]);
    assert_eq!(late(asked.clone().at(900, stall.clone())), []);
    assert_eq!(late(valid_log().at(9, stall.clone()).asked(10, 1, None, ReadGuarantee::Any)), [Rule::Answer]);
    // The stall may be recorded after the events that fall into it.
    let after = asked.clone().ended(1_300, 1, RequestEnd::Refused, 0).at(1_301, stall.clone());
    assert_eq!(after.broken_rules(), []);
    assert_eq!(
        asked.clone().at(900, stall).ended(950, 1, RequestEnd::Broken, 0).broken_rules(),
        [Rule::Answer]
    );
    let long = asked.ended(2_300, 1, RequestEnd::Broken, 0).at(2_301, EventKind::Stall { us: 1_500 * MS });
    assert_eq!(long.broken_rules(), []);
}

#[test]
fn a_write_that_runs_twice_or_is_acknowledged_but_never_ran_is_a_breach() {
    assert_eq!(valid_log().ran(9, 100, 1).broken_rules(), [Rule::Once]);
    let base = valid_log().asked(10, 1, Some(2), ReadGuarantee::Any).ended(20, 1, RequestEnd::Served, 2);
    assert_eq!(base.broken_rules(), [Rule::Once]);
}

/// A valid log and a read sent at 10 ms whose repeats have this effect.
fn asked_with(effect: Effect) -> LogBuilder {
    let (key, shows, aim, wait) = ("k".to_string(), ReadGuarantee::Any, 200 * MS, 500 * MS);
    let effect = Some(effect);
    valid_log().at(10, EventKind::Asked { id: 1, proxy: 1, key, writes: None, shows, effect, aim, wait })
}

const KEYED_IN_CELL: Effect = Effect::Keyed { scope: KeyScope::Cell, window: 100 * MS };
const KEYED_EVERYWHERE: Effect = Effect::Keyed { scope: KeyScope::All, window: 100 * MS };

#[test]
fn an_unsafe_read_that_a_member_ran_and_that_is_reported_as_refused_is_a_breach() {
    let given = |effect| asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
    let ran = |effect| given(effect).at(14, EventKind::ReadRan { member: 1, id: 1 });
    for (effect, broken) in [
        (Effect::Unsafe, &[Rule::Once][..]),
        (KEYED_IN_CELL, &[Rule::Once][..]),
        (KEYED_EVERYWHERE, &[][..]),
        (Effect::Safe, &[][..]),
    ] {
        assert_eq!(
            ran(effect).ended(15, 1, RequestEnd::Refused, 0).broken_rules(),
            broken,
            "{effect:?}: it ran"
        );
        assert_eq!(
            given(effect).ended(15, 1, RequestEnd::Refused, 0).broken_rules(),
            broken,
            "{effect:?}: it may have run"
        );
        assert_eq!(
            ran(effect).ended(15, 1, RequestEnd::Failed, 0).broken_rules(),
            [],
            "{effect:?}: its effect is unknown"
        );
        let turned_away = given(effect).at(13, EventKind::TurnedAway { member: 1, id: 1 });
        assert_eq!(
            turned_away.ended(15, 1, RequestEnd::Refused, 0).broken_rules(),
            [],
            "{effect:?}: it never ran"
        );
        let refused = asked_with(effect).ended(11, 1, RequestEnd::Refused, 0);
        assert_eq!(refused.clone().broken_rules(), [], "{effect:?}: no member got it");
        assert_eq!(
            refused.at(12, EventKind::Given { member: 1, id: 1 }).broken_rules(),
            broken,
            "{effect:?}: a member got it after the refusal"
        );
    }
}

#[test]
fn an_unsafe_read_that_may_have_run_and_reaches_a_member_again_is_a_breach() {
    let given = asked_with(Effect::Unsafe).at(12, EventKind::Given { member: 1, id: 1 });
    let again = |log: LogBuilder| {
        log.at(20, EventKind::Given { member: 2, id: 1 }).ended(30, 1, RequestEnd::Served, 1).broken_rules()
    };
    assert_eq!(again(given.clone()), [Rule::Once], "it may still run");
    assert_eq!(again(given.clone().at(14, EventKind::ReadRan { member: 1, id: 1 })), [Rule::Once], "it ran");
    assert_eq!(again(given.clone().at(14, EventKind::TurnedAway { member: 1, id: 1 })), [], "it never ran");
    // A refusal by another member says nothing about the attempt at the first one.
    let other = given
        .at(13, EventKind::Given { member: 2, id: 1 })
        .at(14, EventKind::TurnedAway { member: 2, id: 1 });
    let twice = judge(&other.at(20, EventKind::Given { member: 2, id: 1 }).0, 0, &Bounds::default());
    assert_eq!(twice.counts.get(&Rule::Once), Some(&2));
    let safe = asked_with(Effect::Safe).at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(again(safe), []);
}

#[test]
fn a_keyed_read_that_reaches_a_member_again_after_its_window_is_a_breach() {
    let again = |effect, ms| {
        let given = asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
        given
            .at(ms, EventKind::Given { member: 2, id: 1 })
            .ended(ms + 1, 1, RequestEnd::Served, 1)
            .broken_rules()
    };
    for effect in [KEYED_IN_CELL, KEYED_EVERYWHERE] {
        assert_eq!(again(effect, 112), [], "within its window");
        // 150 ms in transit, and 150 ms of slack for a delayed proxy.
        assert_eq!(again(effect, 412), []);
        assert_eq!(again(effect, 413), [Rule::Once]);
        // A refused attempt does not start the window.
        let two = asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
        let two = two
            .at(60, EventKind::Given { member: 2, id: 1 })
            .at(61, EventKind::TurnedAway { member: 1, id: 1 });
        let third = |ms| {
            two.clone()
                .at(ms, EventKind::Given { member: 3, id: 1 })
                .ended(ms, 1, RequestEnd::Served, 1)
                .broken_rules()
        };
        assert_eq!((third(460), third(461)), (vec![], vec![Rule::Once]));
    }
}

#[test]
fn without_the_effect_of_repeats_only_the_runs_of_writes_are_judged() {
    let read =
        valid_log().asked(10, 1, None, ReadGuarantee::Any).at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(read.ended(15, 1, RequestEnd::Refused, 0).broken_rules(), []);
}

#[test]
fn a_session_that_its_proxy_remembers_covers_only_acknowledgements_of_that_process() {
    let two = valid_log().write(10, 101, 2);
    let read = |log: LogBuilder, value| {
        log.asked(40, 1, None, ReadGuarantee::SessionAtProcess).ended(45, 1, RequestEnd::Served, value)
    };
    assert_eq!(read(two.clone(), 2).broken_rules(), []);
    assert_eq!(read(two.clone(), 1).broken_rules(), [Rule::Stale]);
    let started = two.at(20, EventKind::Exec { proxy: 1 }).at(21, EventKind::Serves { proxy: 1 });
    assert_eq!(read(started, 1).broken_rules(), []);
}

#[test]
fn a_session_read_that_misses_an_acknowledged_write_of_its_session_is_a_breach() {
    let two = valid_log().write(10, 101, 2);
    let read = |log: LogBuilder, value| {
        log.asked(20, 1, None, ReadGuarantee::Session).ended(25, 1, RequestEnd::Served, value).broken_rules()
    };
    assert_eq!(read(two.clone(), 2), []);
    assert_eq!(read(two.clone(), 1), [Rule::Stale]);
    assert_eq!(read(two.clone(), 0), [Rule::Stale]);
    assert_eq!(read(two.clone(), 9), [Rule::Stale]);
    // A write that was not acknowledged may be visible or not.
    let third =
        two.asked(14, 102, Some(3), ReadGuarantee::Any).ran(15, 102, 3).ended(16, 102, RequestEnd::Failed, 0);
    assert_eq!(read(third.clone(), 2), []);
    assert_eq!(read(third, 3), []);
    // The same holds for a write that was acknowledged only after the read was sent.
    let later = valid_log().asked(10, 1, None, ReadGuarantee::Session).write(11, 101, 2).ended(
        25,
        1,
        RequestEnd::Served,
        1,
    );
    assert_eq!(later.broken_rules(), []);
}

#[test]
fn a_bounded_read_with_data_older_than_its_bound_is_a_breach() {
    let read = |at: Micros, value| {
        let log = valid_log().write(100, 101, 2).asked(at, 1, None, ReadGuarantee::Within(50 * MS));
        log.ended(at + 5, 1, RequestEnd::Served, value).broken_rules()
    };
    assert_eq!(read(140, 1), []);
    assert_eq!(read(160, 1), [Rule::Stale]);
    assert_eq!(read(160, 2), []);
}

#[test]
fn a_statement_that_reaches_a_draining_or_suspended_member_too_late_is_a_breach() {
    let drains = |on| EventKind::Drains { proxy: 1, member: 3, on };
    let suspends = |out| EventKind::Hand { proxy: 1, member: 3, out };
    let give = |log: LogBuilder, ms| {
        let asked =
            log.asked(ms, ms, None, ReadGuarantee::Any).at(ms, EventKind::Given { member: 3, id: ms });
        asked.ended(ms + 1, ms, RequestEnd::Served, 1).broken_rules()
    };
    for (what, back, rule) in
        [(drains(true), drains(false), Rule::Drain), (suspends(true), suspends(false), Rule::Hand)]
    {
        let base = valid_log().at(10, what);
        assert_eq!(give(base.clone(), 510), []);
        assert_eq!(give(base.clone(), 511), [rule]);
        assert_eq!(give(base.clone().at(20, back), 600), []);
        // A held-back statement may have been sent in time, but not one whose request came after the link recovered.
        let link = |well| EventKind::Link { proxy: 1, member: 3, well };
        let cut = base.clone().at(20, link(false));
        assert_eq!(give(cut.clone(), 600), []);
        assert_eq!(give(cut.clone().at(599, link(true)), 600), [rule]);
        assert_eq!(give(base.clone().at(599, link(true)), 600), [rule], "the link never held anything back");
        // Discovery and operators have reported nothing to the other proxy.
        let other = base.clone().at(20, EventKind::Exec { proxy: 2 }).at(21, EventKind::Serves { proxy: 2 });
        let (key, shows) = ("k".to_string(), ReadGuarantee::Any);
        let ask = EventKind::Asked {
            id: 9,
            proxy: 2,
            key,
            writes: None,
            shows,
            effect: None,
            aim: MS,
            wait: 500 * MS,
        };
        let other = other.at(600, ask).at(600, EventKind::Given { member: 3, id: 9 }).ended(
            601,
            9,
            RequestEnd::Served,
            1,
        );
        assert_eq!(other.broken_rules(), []);
    }
    // A suspension outlasts the process where the scenario demands it.
    let again = valid_log()
        .at(10, suspends(true))
        .at(15, EventKind::Down { proxy: 1, stopped: false })
        .at(20, EventKind::Exec { proxy: 1 });
    let again = again.at(25, EventKind::Serves { proxy: 1 });
    assert_eq!(give(again.clone(), 600), []);
    let asked =
        again.asked(600, 600, None, ReadGuarantee::Any).at(600, EventKind::Given { member: 3, id: 600 });
    let kept = Bounds { suspensions_kept: true, ..Bounds::default() };
    assert_eq!(asked.ended(601, 600, RequestEnd::Served, 1).broken_rules_within(&kept), [Rule::Hand]);
}

#[test]
fn a_cold_member_that_gets_too_many_statements_is_a_breach() {
    let run = |each: Micros| {
        let cold = EventKind::Cold { member: 3, share: 100, warm: 10_000 * MS, rate: 100 };
        let mut log = valid_log().at(10, cold);
        for n in 0..60 {
            let (at, id) = (20 + n * each, 1_000 + n);
            log = log.asked(at, id, None, ReadGuarantee::Any).at(at, EventKind::Given { member: 3, id });
            log = log.ended(at, id, RequestEnd::Served, 1);
        }
        judge(&log.0, 0, &Bounds::default())
    };
    let flood = run(2);
    assert_eq!(
        flood.counts.get(&Rule::Cold),
        Some(&1),
        "consecutive statements over the limit are one breach"
    );
    assert!(run(100).passed());
}

#[test]
fn counts_over_their_limits_are_breaches_after_the_first_fault() {
    let bounds = Bounds {
        opened: Some(3),
        probed: Some(2),
        unanswered: Some(1),
        whole_lists: Some(1),
        ..Bounds::default()
    };
    let burst = |log: LogBuilder, at: Micros, each: Micros| {
        (0..4).fold(log, |log, n| log.at(at + n * each, EventKind::Opened { member: 2 }))
    };
    assert_eq!(burst(valid_log(), 10, 1).broken_rules_within(&bounds), []);
    let fault = valid_log().at(20, EventKind::Fault("kill".into()));
    assert_eq!(burst(fault.clone(), 21, 1).broken_rules_within(&bounds), [Rule::Opened]);
    assert_eq!(burst(fault.clone(), 21, 84).broken_rules_within(&bounds), []);
    let peaks =
        judge(&burst(burst(valid_log(), 1, 1).at(20, EventKind::Fault("x".into())), 700, 1).0, 0, &bounds)
            .peaks;
    assert_eq!(peaks.map(|p| p.opened), [4, 4]);
    let probes = (0..3).fold(fault.clone(), |p, n| p.at(30 + n, EventKind::Probed { member: n as u32 }));
    assert_eq!(probes.broken_rules_within(&bounds), [Rule::Probed]);
    let no = EventKind::Unanswered { proxy: 1 };
    assert_eq!(valid_log().at(10, no.clone()).broken_rules_within(&bounds), []);
    assert_eq!(valid_log().at(10, no.clone()).at(11, no).broken_rules_within(&bounds), [Rule::Unanswered]);
    let whole = EventKind::Called { proxy: 1, whole: true };
    assert_eq!(
        valid_log().at(10, whole.clone()).at(11, whole.clone()).broken_rules_within(&bounds),
        [Rule::Whole]
    );
    let restarted = valid_log().at(10, whole.clone()).at(12, EventKind::Exec { proxy: 1 }).at(13, whole);
    assert_eq!(restarted.broken_rules_within(&bounds), []);
}

#[test]
fn an_inconsistent_or_incomplete_log_is_a_breach() {
    assert_eq!(valid_log().ended(20, 9, RequestEnd::Served, 1).broken_rules(), [Rule::Log]);
    assert_eq!(valid_log().at(20, EventKind::Given { member: 1, id: 9 }).broken_rules(), [Rule::Log]);
    assert_eq!(valid_log().at(0, EventKind::Exec { proxy: 2 }).broken_rules(), [Rule::Log]);
    assert_eq!(valid_log().write(30, 100, 1).broken_rules().first(), Some(&Rule::Once));
    assert!(!judge(&valid_log().0, 3, &Bounds::default()).passed());
}

fn acts(log: LogBuilder, proxy: u32, ms: u64, versions: &[&str]) -> LogBuilder {
    let versions = versions.iter().map(|v| v.to_string()).collect();
    log.at(ms, EventKind::Acts { proxy, kind: "settings".into(), versions, since: ms * MS })
}

fn leased(log: LogBuilder, proxy: u32, ms: u64, until: u64) -> LogBuilder {
    log.at(ms, EventKind::Leased { proxy, from: ms * MS, until: until * MS })
}

#[test]
fn two_proxies_that_apply_disjoint_versions_at_the_same_time_are_a_breach() {
    // Proxy 1 applies version a under its lease until 1,000 ms.
    let one =
        acts(valid_log(), 1, 10, &["a"]).at(10, EventKind::Leased { proxy: 1, from: 0, until: 1_000 * MS });
    let then = |at: u64, versions: &[&str]| leased(acts(one.clone(), 2, at, versions), 2, at, at + 800);
    assert_eq!(then(500, &["b"]).broken_rules(), [Rule::Agree]);
    assert_eq!(then(985, &["b"]).broken_rules(), [Rule::Agree]);
    assert_eq!(then(500, &["a", "b"]).broken_rules(), [], "proxy 2 satisfies both versions");
    assert_eq!(then(1_001, &["b"]).broken_rules(), [], "the lease of proxy 1 has expired");
    // A lease that is extended meanwhile counts until its new end.
    let longer = leased(one.clone(), 1, 900, 1_900);
    assert_eq!(leased(acts(longer, 2, 1_200, &["b"]), 2, 1_200, 2_000).broken_rules(), [Rule::Agree]);
    // Proxy 1 satisfies the old and the new version, and proxy 2 applies the new one alone.
    let middle = leased(acts(one.clone(), 1, 600, &["a", "b"]), 1, 600, 1_400);
    assert_eq!(leased(acts(middle.clone(), 2, 1_000, &["b"]), 2, 1_000, 1_800).broken_rules(), []);
    assert_eq!(leased(acts(middle, 2, 1_000, &["c"]), 2, 1_000, 1_800).broken_rules(), [Rule::Agree]);
    // Versions of another kind, or of the same process, do not contradict each other.
    let suspensions =
        EventKind::Acts { proxy: 2, kind: "hands".into(), versions: vec!["b".into()], since: 500 * MS };
    assert_eq!(leased(one.clone().at(500, suspensions), 2, 500, 1_300).broken_rules(), []);
    assert_eq!(acts(one, 1, 500, &["b"]).broken_rules(), []);
}

#[test]
fn a_statement_from_a_proxy_whose_lease_has_expired_is_a_breach() {
    let base =
        acts(valid_log(), 1, 10, &["a"]).at(10, EventKind::Leased { proxy: 1, from: 0, until: 800 * MS });
    let give = |log: LogBuilder, ms: u64| {
        let asked =
            log.asked(ms, ms, None, ReadGuarantee::Any).at(ms, EventKind::Given { member: 3, id: ms });
        asked.ended(ms + 1, ms, RequestEnd::Served, 1).broken_rules()
    };
    assert_eq!(give(base.clone(), 799), []);
    assert_eq!(give(base.clone(), 940), [], "it may have been in transit");
    assert_eq!(give(base.clone(), 960), [Rule::Lease]);
    assert_eq!(give(leased(base.clone(), 1, 955, 1_700), 960), []);
    // A proxy without leases needs none.
    assert_eq!(give(valid_log(), 960), []);
    // A new process has no lease until it reports one.
    let again =
        base.at(900, EventKind::Down { proxy: 1, stopped: false }).at(905, EventKind::Exec { proxy: 1 });
    let again = again.at(910, EventKind::Serves { proxy: 1 });
    assert_eq!(give(again.clone(), 990), [Rule::Lease]);
    // A report of the process may be recorded after the event at the member.
    let leased_late =
        again.asked(990, 7, None, ReadGuarantee::Any).at(990, EventKind::Given { member: 3, id: 7 });
    let leased_late = leased_late.at(995, EventKind::Leased { proxy: 1, from: 985 * MS, until: 1_700 * MS });
    assert_eq!(leased_late.ended(996, 7, RequestEnd::Served, 1).broken_rules(), []);
}

fn request(id: u64) -> EventKind {
    let (key, shows) = ("k".to_string(), ReadGuarantee::Any);
    EventKind::Asked { id, proxy: 1, key, writes: None, shows, effect: None, aim: 100_000, wait: 500_000 }
}

/// The rules broken by a log with a proxy that serves from the start, followed by these events.
fn verdict(events: Vec<(Micros, EventKind)>, bounds: &Bounds) -> Vec<Rule> {
    let first = [(0, EventKind::Exec { proxy: 1 }), (0, EventKind::Serves { proxy: 1 })];
    let all: Vec<Event> = first.into_iter().chain(events).map(|(at, what)| Event { at, what }).collect();
    judge(&all, 0, bounds).counts.into_keys().collect()
}

#[test]
fn an_attempt_for_a_disconnected_client_is_a_breach() {
    let events_with = |given: Micros| {
        vec![
            (1_000, request(7)),
            (2_000, EventKind::Sent { id: 7, first: false }),
            (5_000, EventKind::Left { id: 7 }),
            (given, EventKind::Given { member: 1, id: 7 }),
            (9_000_000, EventKind::Fault("the end".into())),
        ]
    };
    assert_eq!(verdict(events_with(200_000), &Bounds::default()), []);
    assert_eq!(verdict(events_with(300_000), &Bounds::default()), [Rule::Left]);
    assert_eq!(verdict(events_with(300_000), &Bounds { machine_slack: 1_000_000, ..Bounds::default() }), []);
    let delayed = |proxy: u32, us: Micros| {
        let delay = (290_000, EventKind::Delayed { proxy: Some(proxy), us });
        let mut events = events_with(300_000);
        events.insert(3, delay);
        verdict(events, &Bounds::default())
    };
    assert_eq!(delayed(1, 50_000), [], "ready to run for 50 ms without a processor");
    assert_eq!(delayed(1, 40_000), [Rule::Left]);
    assert_eq!(delayed(2, 50_000), [Rule::Left], "the delay of another proxy");
}

#[test]
fn a_statement_with_a_longer_time_limit_than_its_client_has_left_is_a_breach() {
    let events_with = |wait: Micros| {
        vec![
            (1_000, request(7)),
            (2_000, EventKind::Sent { id: 7, first: false }),
            (300_000, EventKind::Given { member: 1, id: 7 }),
            (300_000, EventKind::Allowed { id: 7, wait }),
            (400_000, EventKind::Ended { id: 7, how: RequestEnd::Refused, value: 0 }),
        ]
    };
    assert_eq!(verdict(events_with(500_000), &Bounds::default()), []);
    assert_eq!(verdict(events_with(520_000), &Bounds::default()), [Rule::Deadline]);
}

#[test]
fn a_delay_by_the_machine_extends_the_time_limit_by_no_more_than_the_delay() {
    let events_with = |wait: Micros, delays: &[(Micros, Option<u32>, Micros)]| {
        let mut events = vec![
            (1_000, request(7)),
            (2_000, EventKind::Sent { id: 7, first: false }),
            (300_000, EventKind::Given { member: 1, id: 7 }),
            (300_000, EventKind::Allowed { id: 7, wait }),
            (400_000, EventKind::Ended { id: 7, how: RequestEnd::Refused, value: 0 }),
        ];
        events.extend(
            delays.iter().map(|(at, proxy, us)| (*at, EventKind::Delayed { proxy: *proxy, us: *us })),
        );
        events.sort_by_key(|(at, _)| *at);
        verdict(events, &Bounds::default())
    };
    assert_eq!(events_with(600_000, &[]), [Rule::Deadline]);
    for party in [Some(1), None] {
        assert_eq!(events_with(600_000, &[(250_000, party, 120_000)]), []);
        assert_eq!(events_with(600_000, &[(250_000, party, 50_000)]), [Rule::Deadline]);
    }
    assert_eq!(
        events_with(600_000, &[(250_000, Some(2), 120_000)]),
        [Rule::Deadline],
        "the delay of another proxy"
    );
    assert_eq!(events_with(600_000, &[(120_000, Some(1), 200_000)]), [], "only a part of the delay counts");
    // Overlapping delays are not counted twice.
    assert_eq!(events_with(600_000, &[(250_000, None, 50_000), (255_000, None, 55_000)]), [Rule::Deadline]);
}

#[test]
fn a_bad_client_that_gets_no_close_is_a_breach_even_at_the_end_of_the_log() {
    let begun = (1_000, EventKind::Begun { id: 9, proxy: 1 });
    let end = |at: Micros| (at, EventKind::Fault("the end".into()));
    assert_eq!(
        verdict(vec![begun.clone(), (3_000_000, EventKind::Closed { id: 9 })], &Bounds::default()),
        []
    );
    assert_eq!(verdict(vec![begun.clone(), end(3_000_000)], &Bounds::default()), []);
    assert_eq!(verdict(vec![begun, end(5_000_000)], &Bounds::default()), [Rule::Unfinished]);
}

#[test]
fn during_shutdown_requests_that_the_proxy_has_read_must_be_answered() {
    let ending = valid_log()
        .at(10, EventKind::Ending { proxy: 1 })
        .asked(900, 1, None, ReadGuarantee::Any)
        .at(901, EventKind::Sent { id: 1, first: false });
    let given = ending.clone().at(905, EventKind::Given { member: 1, id: 1 });
    assert_eq!(
        ending.clone().ended(910, 1, RequestEnd::Broken, 0).broken_rules(),
        [],
        "closed between requests"
    );
    assert_eq!(given.clone().ended(910, 1, RequestEnd::Broken, 0).broken_rules(), [Rule::Answer]);
    assert_eq!(ending.clone().ended(1_950, 1, RequestEnd::Silent, 0).broken_rules(), [Rule::Answer]);
    let kill = |log: &LogBuilder| log.clone().at(1_200, EventKind::Down { proxy: 1, stopped: false });
    assert_eq!(
        kill(&given).ended(1_201, 1, RequestEnd::Broken, 0).broken_rules(),
        [Rule::Answer],
        "it is unanswered at the kill"
    );
    assert_eq!(kill(&given.clone().ended(950, 1, RequestEnd::Served, 1)).broken_rules(), []);
    let early = valid_log()
        .at(10, EventKind::Ending { proxy: 1 })
        .asked(600, 1, None, ReadGuarantee::Any)
        .at(601, EventKind::Sent { id: 1, first: false });
    assert_eq!(
        kill(&early.at(605, EventKind::Given { member: 1, id: 1 }))
            .ended(1_201, 1, RequestEnd::Broken, 0)
            .broken_rules(),
        []
    );
}

#[test]
fn when_descriptors_run_out_only_a_connection_with_unread_requests_may_be_closed() {
    let descriptors_exhausted = Bounds { descriptors_exhausted: true, ..Bounds::default() };
    let asked = valid_log().asked(10, 1, None, ReadGuarantee::Any);
    assert_eq!(
        asked.clone().ended(20, 1, RequestEnd::Broken, 0).broken_rules_within(&descriptors_exhausted),
        []
    );
    let given = asked.at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(
        given.ended(20, 1, RequestEnd::Broken, 0).broken_rules_within(&descriptors_exhausted),
        [Rule::Answer]
    );
}

#[test]
fn the_first_request_of_a_connection_must_be_answered_even_in_overload_and_shutdown() {
    let descriptors_exhausted = Bounds { descriptors_exhausted: true, ..Bounds::default() };
    let ending = valid_log().at(5, EventKind::Ending { proxy: 1 });
    for (log, bounds) in [(valid_log(), &descriptors_exhausted), (ending, &Bounds::default())] {
        for (first, broken) in [(false, &[][..]), (true, &[Rule::Answer][..])] {
            let sent =
                log.clone().asked(10, 1, None, ReadGuarantee::Any).at(11, EventKind::Sent { id: 1, first });
            assert_eq!(
                sent.clone().ended(20, 1, RequestEnd::Broken, 0).broken_rules_within(bounds),
                broken,
                "first: {first}"
            );
            assert_eq!(
                sent.ended(20, 1, RequestEnd::Refused, 0).broken_rules_within(bounds),
                [],
                "first: {first}"
            );
        }
    }
    let late = valid_log().at(10, EventKind::Ending { proxy: 1 }).asked(900, 1, None, ReadGuarantee::Any);
    let killed = |first| {
        let sent = late.clone().at(901, EventKind::Sent { id: 1, first });
        sent.at(1_200, EventKind::Down { proxy: 1, stopped: false })
            .ended(1_201, 1, RequestEnd::Broken, 0)
            .broken_rules()
    };
    assert_eq!((killed(false), killed(true)), (vec![], vec![Rule::Answer]));
}
