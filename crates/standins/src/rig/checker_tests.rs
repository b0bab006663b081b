//! Each rule's breach planted in a log that is sound without it.

use super::*;
use crate::rig::events::KeyScope;

const MS: Micros = 1_000;

/// A log under construction; times in ms.
#[derive(Default, Clone)]
struct Plot(Vec<Event>);

impl Plot {
    fn at(mut self, ms: Micros, what: EventKind) -> Self {
        self.0.push(Event { at: ms * MS, what });
        self
    }

    fn ask(self, ms: Micros, id: u64, writes: Option<u64>, shows: ReadGuarantee) -> Self {
        let (key, aim, wait) = ("k".to_string(), 200 * MS, 500 * MS);
        self.at(ms, EventKind::Asked { id, proxy: 1, key, writes, shows, effect: None, aim, wait })
    }

    fn told(self, ms: Micros, id: u64, how: RequestEnd, value: u64) -> Self {
        self.at(ms, EventKind::Ended { id, how, value })
    }

    fn ran(self, ms: Micros, id: u64, value: u64) -> Self {
        self.at(ms, EventKind::Ran { member: 1, id, key: "k".into(), value })
    }

    fn write(self, ms: Micros, id: u64, value: u64) -> Self {
        let asked =
            self.ask(ms, id, Some(value), ReadGuarantee::Any).at(ms + 1, EventKind::Given { member: 1, id });
        asked.ran(ms + 2, id, value).told(ms + 3, id, RequestEnd::Served, value)
    }

    fn rules(&self, bounds: &Bounds) -> Vec<Rule> {
        judge(&self.0, 0, bounds).counts.into_keys().collect()
    }

    fn broken(&self) -> Vec<Rule> {
        self.rules(&Bounds::default())
    }
}

/// A proxy that serves, and a write of value 1 that was told at 4 ms.
fn sound() -> Plot {
    let plot = Plot::default().at(0, EventKind::Exec { proxy: 1 }).at(0, EventKind::Serves { proxy: 1 });
    plot.write(1, 100, 1)
}

#[test]
fn a_sound_log_breaks_nothing() {
    let plot = sound().ask(10, 1, None, ReadGuarantee::Session).told(20, 1, RequestEnd::Served, 1);
    assert_eq!(plot.broken(), []);
    let verdict = judge(&plot.0, 0, &Bounds::default());
    assert!(verdict.passed());
    assert_eq!(verdict.asked, 2);
}

#[test]
fn an_answer_that_is_missing_doubled_broken_or_late_is_a_breach_but_not_of_a_proxy_that_was_gone() {
    let asked = sound().ask(10, 1, None, ReadGuarantee::Any);
    assert_eq!(asked.clone().at(1_011, EventKind::Fault("end".into())).broken(), [Rule::Answer]);
    // Its time is not over yet.
    assert_eq!(asked.clone().at(900, EventKind::Fault("end".into())).broken(), []);
    let twice = asked.clone().told(20, 1, RequestEnd::Served, 1).told(21, 1, RequestEnd::Served, 1);
    assert_eq!(twice.broken(), [Rule::Answer]);
    assert_eq!(asked.clone().told(20, 1, RequestEnd::Broken, 0).broken(), [Rule::Answer]);
    assert_eq!(asked.clone().told(1_011, 1, RequestEnd::Refused, 0).broken(), [Rule::Answer]);
    assert_eq!(asked.clone().told(1_010, 1, RequestEnd::Refused, 0).broken(), []);
    let killed = asked.clone().at(12, EventKind::Down { proxy: 1, stopped: false });
    assert_eq!(killed.clone().told(20, 1, RequestEnd::Broken, 0).broken(), []);
    assert_eq!(killed.clone().at(2_000, EventKind::Fault("end".into())).broken(), []);
    // One that has come back is held to the rule again.
    let back = killed.told(20, 1, RequestEnd::Broken, 0).at(30, EventKind::Serves { proxy: 1 });
    let again = back.ask(40, 2, None, ReadGuarantee::Any).told(50, 2, RequestEnd::Broken, 0);
    assert_eq!(again.broken(), [Rule::Answer]);
}

#[test]
fn one_that_was_stopped_goes_on_unless_it_was_killed_meanwhile() {
    let down = |stopped| EventKind::Down { proxy: 1, stopped };
    let resumed = EventKind::Resumed { proxy: 1 };
    let ask =
        |plot: Plot| plot.ask(40, 1, None, ReadGuarantee::Any).told(50, 1, RequestEnd::Broken, 0).broken();
    let stopped = sound().at(20, down(true));
    assert_eq!(ask(stopped.clone()), []);
    assert_eq!(ask(stopped.clone().at(30, resumed.clone())), [Rule::Answer]);
    assert_eq!(ask(stopped.at(25, down(false)).at(30, resumed)), []);
}

#[test]
fn what_the_machine_takes_is_nobodys_fault_but_an_answer_is_still_owed() {
    let asked = sound().ask(10, 1, None, ReadGuarantee::Any);
    let stall = EventKind::Stall { us: 400 * MS };
    let late = |plot: Plot| plot.told(1_300, 1, RequestEnd::Refused, 0).broken();
    assert_eq!(late(asked.clone()), [Rule::Answer]);
    assert_eq!(late(asked.clone().at(900, stall.clone())), []);
    assert_eq!(late(sound().at(9, stall.clone()).ask(10, 1, None, ReadGuarantee::Any)), [Rule::Answer]);
    // It may be noted only after what came in it.
    let after = asked.clone().told(1_300, 1, RequestEnd::Refused, 0).at(1_301, stall.clone());
    assert_eq!(after.broken(), []);
    assert_eq!(asked.clone().at(900, stall).told(950, 1, RequestEnd::Broken, 0).broken(), [Rule::Answer]);
    let long = asked.told(2_300, 1, RequestEnd::Broken, 0).at(2_301, EventKind::Stall { us: 1_500 * MS });
    assert_eq!(long.broken(), []);
}

#[test]
fn a_write_that_runs_twice_or_was_told_and_never_ran_is_a_breach() {
    assert_eq!(sound().ran(9, 100, 1).broken(), [Rule::Once]);
    let told = sound().ask(10, 1, Some(2), ReadGuarantee::Any).told(20, 1, RequestEnd::Served, 2);
    assert_eq!(told.broken(), [Rule::Once]);
}

/// A read whose repeats may do this, asked at 10 ms.
fn asked_with(effect: Effect) -> Plot {
    let (key, shows, aim, wait) = ("k".to_string(), ReadGuarantee::Any, 200 * MS, 500 * MS);
    let effect = Some(effect);
    sound().at(10, EventKind::Asked { id: 1, proxy: 1, key, writes: None, shows, effect, aim, wait })
}

const KEYED_IN_CELL: Effect = Effect::Keyed { scope: KeyScope::Cell, window: 100 * MS };
const KEYED_EVERYWHERE: Effect = Effect::Keyed { scope: KeyScope::All, window: 100 * MS };

#[test]
fn an_unsafe_read_that_a_member_ran_and_whose_client_is_told_that_it_was_refused_is_a_breach() {
    let given = |effect| asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
    let ran = |effect| given(effect).at(14, EventKind::ReadRan { member: 1, id: 1 });
    for (effect, broken) in [
        (Effect::Unsafe, &[Rule::Once][..]),
        (KEYED_IN_CELL, &[Rule::Once][..]),
        (KEYED_EVERYWHERE, &[][..]),
        (Effect::Safe, &[][..]),
    ] {
        assert_eq!(ran(effect).told(15, 1, RequestEnd::Refused, 0).broken(), broken, "{effect:?}: it ran");
        assert_eq!(
            given(effect).told(15, 1, RequestEnd::Refused, 0).broken(),
            broken,
            "{effect:?}: it may have"
        );
        assert_eq!(
            ran(effect).told(15, 1, RequestEnd::Failed, 0).broken(),
            [],
            "{effect:?}: no word on its effect"
        );
        let turned_away = given(effect).at(13, EventKind::TurnedAway { member: 1, id: 1 });
        assert_eq!(turned_away.told(15, 1, RequestEnd::Refused, 0).broken(), [], "{effect:?}: it never ran");
        let refused = asked_with(effect).told(11, 1, RequestEnd::Refused, 0);
        assert_eq!(refused.clone().broken(), [], "{effect:?}: no member got it");
        assert_eq!(
            refused.at(12, EventKind::Given { member: 1, id: 1 }).broken(),
            broken,
            "{effect:?}: after that"
        );
    }
}

#[test]
fn an_unsafe_read_that_a_member_may_have_run_and_that_is_given_to_a_member_again_is_a_breach() {
    let given = asked_with(Effect::Unsafe).at(12, EventKind::Given { member: 1, id: 1 });
    let again = |plot: Plot| {
        plot.at(20, EventKind::Given { member: 2, id: 1 }).told(30, 1, RequestEnd::Served, 1).broken()
    };
    assert_eq!(again(given.clone()), [Rule::Once], "it may yet run");
    assert_eq!(again(given.clone().at(14, EventKind::ReadRan { member: 1, id: 1 })), [Rule::Once], "it ran");
    assert_eq!(again(given.clone().at(14, EventKind::TurnedAway { member: 1, id: 1 })), [], "it never ran");
    // The word of another member says nothing of the first one's attempt.
    let other = given
        .at(13, EventKind::Given { member: 2, id: 1 })
        .at(14, EventKind::TurnedAway { member: 2, id: 1 });
    let twice = judge(&other.at(20, EventKind::Given { member: 2, id: 1 }).0, 0, &Bounds::default());
    assert_eq!(twice.counts.get(&Rule::Once), Some(&2));
    let safe = asked_with(Effect::Safe).at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(again(safe), []);
}

#[test]
fn a_keyed_read_that_is_given_to_a_member_again_behind_its_window_is_a_breach() {
    let again = |effect, ms| {
        let given = asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
        given.at(ms, EventKind::Given { member: 2, id: 1 }).told(ms + 1, 1, RequestEnd::Served, 1).broken()
    };
    for effect in [KEYED_IN_CELL, KEYED_EVERYWHERE] {
        assert_eq!(again(effect, 112), [], "within its window");
        // 150 ms on its way, and 150 ms for a proxy that is held up.
        assert_eq!(again(effect, 412), []);
        assert_eq!(again(effect, 413), [Rule::Once]);
        // An attempt that was turned away opens no window.
        let two = asked_with(effect).at(12, EventKind::Given { member: 1, id: 1 });
        let two = two
            .at(60, EventKind::Given { member: 2, id: 1 })
            .at(61, EventKind::TurnedAway { member: 1, id: 1 });
        let third = |ms| {
            two.clone()
                .at(ms, EventKind::Given { member: 3, id: 1 })
                .told(ms, 1, RequestEnd::Served, 1)
                .broken()
        };
        assert_eq!((third(460), third(461)), (vec![], vec![Rule::Once]));
    }
}

#[test]
fn logs_that_do_not_tell_what_repeats_may_do_are_judged_by_runs_of_writes_alone() {
    let read = sound().ask(10, 1, None, ReadGuarantee::Any).at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(read.told(15, 1, RequestEnd::Refused, 0).broken(), []);
}

#[test]
fn a_session_that_its_proxy_remembers_counts_what_that_process_has_told_and_no_more() {
    let two = sound().write(10, 101, 2);
    let read = |plot: Plot, value| {
        plot.ask(40, 1, None, ReadGuarantee::SessionAtProcess).told(45, 1, RequestEnd::Served, value)
    };
    assert_eq!(read(two.clone(), 2).broken(), []);
    assert_eq!(read(two.clone(), 1).broken(), [Rule::Stale]);
    let started = two.at(20, EventKind::Exec { proxy: 1 }).at(21, EventKind::Serves { proxy: 1 });
    assert_eq!(read(started, 1).broken(), []);
}

#[test]
fn a_session_read_that_shows_less_than_was_told_to_its_session_is_a_breach() {
    let two = sound().write(10, 101, 2);
    let read = |plot: Plot, value| {
        plot.ask(20, 1, None, ReadGuarantee::Session).told(25, 1, RequestEnd::Served, value).broken()
    };
    assert_eq!(read(two.clone(), 2), []);
    assert_eq!(read(two.clone(), 1), [Rule::Stale]);
    assert_eq!(read(two.clone(), 0), [Rule::Stale]);
    assert_eq!(read(two.clone(), 9), [Rule::Stale]);
    // A write of which nobody was told may show or not.
    let third =
        two.ask(14, 102, Some(3), ReadGuarantee::Any).ran(15, 102, 3).told(16, 102, RequestEnd::Failed, 0);
    assert_eq!(read(third.clone(), 2), []);
    assert_eq!(read(third, 3), []);
    // Nor one that was told only after the read was asked.
    let later =
        sound().ask(10, 1, None, ReadGuarantee::Session).write(11, 101, 2).told(25, 1, RequestEnd::Served, 1);
    assert_eq!(later.broken(), []);
}

#[test]
fn a_bounded_read_that_is_older_than_its_bound_is_a_breach() {
    let read = |at: Micros, value| {
        let plot = sound().write(100, 101, 2).ask(at, 1, None, ReadGuarantee::Within(50 * MS));
        plot.told(at + 5, 1, RequestEnd::Served, value).broken()
    };
    assert_eq!(read(140, 1), []);
    assert_eq!(read(160, 1), [Rule::Stale]);
    assert_eq!(read(160, 2), []);
}

#[test]
fn what_reaches_a_draining_member_or_one_out_by_hand_after_its_time_is_a_breach() {
    let drains = |on| EventKind::Drains { proxy: 1, member: 3, on };
    let hand = |out| EventKind::Hand { proxy: 1, member: 3, out };
    let give = |plot: Plot, ms| {
        let asked = plot.ask(ms, ms, None, ReadGuarantee::Any).at(ms, EventKind::Given { member: 3, id: ms });
        asked.told(ms + 1, ms, RequestEnd::Served, 1).broken()
    };
    for (what, back, rule) in
        [(drains(true), drains(false), Rule::Drain), (hand(true), hand(false), Rule::Hand)]
    {
        let told = sound().at(10, what);
        assert_eq!(give(told.clone(), 510), []);
        assert_eq!(give(told.clone(), 511), [rule]);
        assert_eq!(give(told.clone().at(20, back), 600), []);
        // What a link holds back may have been sent before; what was asked for after it healed was not.
        let link = |well| EventKind::Link { proxy: 1, member: 3, well };
        let cut = told.clone().at(20, link(false));
        assert_eq!(give(cut.clone(), 600), []);
        assert_eq!(give(cut.clone().at(599, link(true)), 600), [rule]);
        assert_eq!(give(told.clone().at(599, link(true)), 600), [rule], "it was well all the time");
        // Another proxy was not told.
        let other = told.clone().at(20, EventKind::Exec { proxy: 2 }).at(21, EventKind::Serves { proxy: 2 });
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
        let other = other.at(600, ask).at(600, EventKind::Given { member: 3, id: 9 }).told(
            601,
            9,
            RequestEnd::Served,
            1,
        );
        assert_eq!(other.broken(), []);
    }
    // The operators' word outlasts a process where that is asked for.
    let again = sound()
        .at(10, hand(true))
        .at(15, EventKind::Down { proxy: 1, stopped: false })
        .at(20, EventKind::Exec { proxy: 1 });
    let again = again.at(25, EventKind::Serves { proxy: 1 });
    assert_eq!(give(again.clone(), 600), []);
    let asked =
        again.ask(600, 600, None, ReadGuarantee::Any).at(600, EventKind::Given { member: 3, id: 600 });
    let kept = Bounds { suspensions_kept: true, ..Bounds::default() };
    assert_eq!(asked.told(601, 600, RequestEnd::Served, 1).rules(&kept), [Rule::Hand]);
}

#[test]
fn a_cold_member_that_gets_more_than_its_budget_is_a_breach_of_its_own() {
    let run = |each: Micros| {
        let cold = EventKind::Cold { member: 3, share: 100, warm: 10_000 * MS, rate: 100 };
        let mut plot = sound().at(10, cold);
        for n in 0..60 {
            let (at, id) = (20 + n * each, 1_000 + n);
            plot = plot.ask(at, id, None, ReadGuarantee::Any).at(at, EventKind::Given { member: 3, id });
            plot = plot.told(at, id, RequestEnd::Served, 1);
        }
        judge(&plot.0, 0, &Bounds::default())
    };
    let flood = run(2);
    assert_eq!(flood.counts.get(&Rule::Cold), Some(&1), "a stretch over the budget is one breach");
    assert!(run(100).passed());
}

#[test]
fn sums_over_their_bounds_are_breaches_once_a_fault_has_come() {
    let bounds = Bounds {
        opened: Some(3),
        probed: Some(2),
        unanswered: Some(1),
        whole_lists: Some(1),
        ..Bounds::default()
    };
    let burst = |plot: Plot, at: Micros, each: Micros| {
        (0..4).fold(plot, |plot, n| plot.at(at + n * each, EventKind::Opened { member: 2 }))
    };
    assert_eq!(burst(sound(), 10, 1).rules(&bounds), []);
    let fault = sound().at(20, EventKind::Fault("kill".into()));
    assert_eq!(burst(fault.clone(), 21, 1).rules(&bounds), [Rule::Opened]);
    assert_eq!(burst(fault.clone(), 21, 84).rules(&bounds), []);
    let peaks =
        judge(&burst(burst(sound(), 1, 1).at(20, EventKind::Fault("x".into())), 700, 1).0, 0, &bounds).peaks;
    assert_eq!(peaks.map(|p| p.opened), [4, 4]);
    let probes = (0..3).fold(fault.clone(), |p, n| p.at(30 + n, EventKind::Probed { member: n as u32 }));
    assert_eq!(probes.rules(&bounds), [Rule::Probed]);
    let no = EventKind::Unanswered { proxy: 1 };
    assert_eq!(sound().at(10, no.clone()).rules(&bounds), []);
    assert_eq!(sound().at(10, no.clone()).at(11, no).rules(&bounds), [Rule::Unanswered]);
    let whole = EventKind::Called { proxy: 1, whole: true };
    assert_eq!(sound().at(10, whole.clone()).at(11, whole.clone()).rules(&bounds), [Rule::Whole]);
    let restarted = sound().at(10, whole.clone()).at(12, EventKind::Exec { proxy: 1 }).at(13, whole);
    assert_eq!(restarted.rules(&bounds), []);
}

#[test]
fn a_log_that_cannot_be_true_or_is_not_whole_is_no_verdict() {
    assert_eq!(sound().told(20, 9, RequestEnd::Served, 1).broken(), [Rule::Log]);
    assert_eq!(sound().at(20, EventKind::Given { member: 1, id: 9 }).broken(), [Rule::Log]);
    assert_eq!(sound().at(0, EventKind::Exec { proxy: 2 }).broken(), [Rule::Log]);
    assert_eq!(sound().write(30, 100, 1).broken().first(), Some(&Rule::Once));
    assert!(!judge(&sound().0, 3, &Bounds::default()).passed());
}

fn acts(plot: Plot, proxy: u32, ms: u64, versions: &[&str]) -> Plot {
    let versions = versions.iter().map(|v| v.to_string()).collect();
    plot.at(ms, EventKind::Acts { proxy, kind: "settings".into(), versions, since: ms * MS })
}

fn leased(plot: Plot, proxy: u32, ms: u64, until: u64) -> Plot {
    plot.at(ms, EventKind::Leased { proxy, from: ms * MS, until: until * MS })
}

#[test]
fn two_that_act_at_one_moment_by_versions_with_none_in_common_are_a_breach() {
    // One goes on by version a under its lease up to 1,000 ms.
    let one = acts(sound(), 1, 10, &["a"]).at(10, EventKind::Leased { proxy: 1, from: 0, until: 1_000 * MS });
    let then = |at: u64, versions: &[&str]| leased(acts(one.clone(), 2, at, versions), 2, at, at + 800);
    assert_eq!(then(500, &["b"]).broken(), [Rule::Agree]);
    assert_eq!(then(985, &["b"]).broken(), [Rule::Agree]);
    assert_eq!(then(500, &["a", "b"]).broken(), [], "it keeps to both");
    assert_eq!(then(1_001, &["b"]).broken(), [], "the lease of the first has run out");
    // A lease that is prolonged meanwhile counts to its new end.
    let longer = leased(one.clone(), 1, 900, 1_900);
    assert_eq!(leased(acts(longer, 2, 1_200, &["b"]), 2, 1_200, 2_000).broken(), [Rule::Agree]);
    // The first has gone through the middle, and the second acts by the new one alone.
    let middle = leased(acts(one.clone(), 1, 600, &["a", "b"]), 1, 600, 1_400);
    assert_eq!(leased(acts(middle.clone(), 2, 1_000, &["b"]), 2, 1_000, 1_800).broken(), []);
    assert_eq!(leased(acts(middle, 2, 1_000, &["c"]), 2, 1_000, 1_800).broken(), [Rule::Agree]);
    // Of another kind, or by the same process, nothing contradicts.
    let hands =
        EventKind::Acts { proxy: 2, kind: "hands".into(), versions: vec!["b".into()], since: 500 * MS };
    assert_eq!(leased(one.clone().at(500, hands), 2, 500, 1_300).broken(), []);
    assert_eq!(acts(one, 1, 500, &["b"]).broken(), []);
}

#[test]
fn a_statement_from_one_whose_lease_has_run_out_is_a_breach() {
    let told = acts(sound(), 1, 10, &["a"]).at(10, EventKind::Leased { proxy: 1, from: 0, until: 800 * MS });
    let give = |plot: Plot, ms: u64| {
        let asked = plot.ask(ms, ms, None, ReadGuarantee::Any).at(ms, EventKind::Given { member: 3, id: ms });
        asked.told(ms + 1, ms, RequestEnd::Served, 1).broken()
    };
    assert_eq!(give(told.clone(), 799), []);
    assert_eq!(give(told.clone(), 940), [], "it may have been on its way");
    assert_eq!(give(told.clone(), 960), [Rule::Lease]);
    assert_eq!(give(leased(told.clone(), 1, 955, 1_700), 960), []);
    // One that has nothing to do with leases is not held to any.
    assert_eq!(give(sound(), 960), []);
    // A new process has no lease before it is told of one.
    let again =
        told.at(900, EventKind::Down { proxy: 1, stopped: false }).at(905, EventKind::Exec { proxy: 1 });
    let again = again.at(910, EventKind::Serves { proxy: 1 });
    assert_eq!(give(again.clone(), 990), [Rule::Lease]);
    // What the process says may be read after what a member saw.
    let leased_late =
        again.ask(990, 7, None, ReadGuarantee::Any).at(990, EventKind::Given { member: 3, id: 7 });
    let leased_late = leased_late.at(995, EventKind::Leased { proxy: 1, from: 985 * MS, until: 1_700 * MS });
    assert_eq!(leased_late.told(996, 7, RequestEnd::Served, 1).broken(), []);
}

fn request(id: u64) -> EventKind {
    let (key, shows) = ("k".to_string(), ReadGuarantee::Any);
    EventKind::Asked { id, proxy: 1, key, writes: None, shows, effect: None, aim: 100_000, wait: 500_000 }
}

/// A proxy that serves from the start, and what happened after that.
fn verdict(events: Vec<(Micros, EventKind)>, bounds: &Bounds) -> Vec<Rule> {
    let first = [(0, EventKind::Exec { proxy: 1 }), (0, EventKind::Serves { proxy: 1 })];
    let all: Vec<Event> = first.into_iter().chain(events).map(|(at, what)| Event { at, what }).collect();
    judge(&all, 0, bounds).counts.into_keys().collect()
}

#[test]
fn what_begins_for_a_client_that_has_gone_is_a_breach() {
    let play = |given: Micros| {
        vec![
            (1_000, request(7)),
            (2_000, EventKind::Sent { id: 7, first: false }),
            (5_000, EventKind::Left { id: 7 }),
            (given, EventKind::Given { member: 1, id: 7 }),
            (9_000_000, EventKind::Fault("the end".into())),
        ]
    };
    assert_eq!(verdict(play(200_000), &Bounds::default()), []);
    assert_eq!(verdict(play(300_000), &Bounds::default()), [Rule::Left]);
    assert_eq!(verdict(play(300_000), &Bounds { patience: 1_000_000, ..Bounds::default() }), []);
}

#[test]
fn a_member_that_is_told_of_more_time_than_the_client_has_is_a_breach() {
    let play = |wait: Micros| {
        vec![
            (1_000, request(7)),
            (2_000, EventKind::Sent { id: 7, first: false }),
            (300_000, EventKind::Given { member: 1, id: 7 }),
            (300_000, EventKind::Allowed { id: 7, wait }),
            (400_000, EventKind::Ended { id: 7, how: RequestEnd::Refused, value: 0 }),
        ]
    };
    assert_eq!(verdict(play(500_000), &Bounds::default()), []);
    assert_eq!(verdict(play(520_000), &Bounds::default()), [Rule::Deadline]);
}

#[test]
fn a_statement_that_the_machine_delayed_is_late_by_no_more_than_that() {
    let play = |wait: Micros, delays: &[(Micros, Option<u32>, Micros)]| {
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
    assert_eq!(play(600_000, &[]), [Rule::Deadline]);
    for party in [Some(1), None] {
        assert_eq!(play(600_000, &[(250_000, party, 120_000)]), []);
        assert_eq!(play(600_000, &[(250_000, party, 50_000)]), [Rule::Deadline]);
    }
    assert_eq!(play(600_000, &[(250_000, Some(2), 120_000)]), [Rule::Deadline], "another proxy's");
    assert_eq!(play(600_000, &[(120_000, Some(1), 200_000)]), [], "a part of it");
    // The same time is not counted twice.
    assert_eq!(play(600_000, &[(250_000, None, 50_000), (255_000, None, 55_000)]), [Rule::Deadline]);
}

#[test]
fn a_bad_client_that_gets_no_close_is_a_breach_also_at_the_end() {
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
fn what_a_proxy_has_read_is_owed_an_answer_though_it_ends_and_what_it_has_not_read_is_none() {
    let ending = sound()
        .at(10, EventKind::Ending { proxy: 1 })
        .ask(900, 1, None, ReadGuarantee::Any)
        .at(901, EventKind::Sent { id: 1, first: false });
    let given = ending.clone().at(905, EventKind::Given { member: 1, id: 1 });
    assert_eq!(ending.clone().told(910, 1, RequestEnd::Broken, 0).broken(), [], "closed between requests");
    assert_eq!(given.clone().told(910, 1, RequestEnd::Broken, 0).broken(), [Rule::Answer]);
    assert_eq!(ending.clone().told(1_950, 1, RequestEnd::Silent, 0).broken(), [Rule::Answer]);
    let kill = |plot: &Plot| plot.clone().at(1_200, EventKind::Down { proxy: 1, stopped: false });
    assert_eq!(
        kill(&given).told(1_201, 1, RequestEnd::Broken, 0).broken(),
        [Rule::Answer],
        "the kill finds it"
    );
    assert_eq!(kill(&given.clone().told(950, 1, RequestEnd::Served, 1)).broken(), []);
    let early = sound()
        .at(10, EventKind::Ending { proxy: 1 })
        .ask(600, 1, None, ReadGuarantee::Any)
        .at(601, EventKind::Sent { id: 1, first: false });
    assert_eq!(
        kill(&early.at(605, EventKind::Given { member: 1, id: 1 }))
            .told(1_201, 1, RequestEnd::Broken, 0)
            .broken(),
        []
    );
}

#[test]
fn in_a_crowd_a_connection_may_be_shut_unread_and_no_other() {
    let crowded = Bounds { crowded: true, ..Bounds::default() };
    let asked = sound().ask(10, 1, None, ReadGuarantee::Any);
    assert_eq!(asked.clone().told(20, 1, RequestEnd::Broken, 0).rules(&crowded), []);
    let given = asked.at(12, EventKind::Given { member: 1, id: 1 });
    assert_eq!(given.told(20, 1, RequestEnd::Broken, 0).rules(&crowded), [Rule::Answer]);
}

#[test]
fn the_first_request_of_a_connection_is_owed_an_answer_in_a_crowd_and_at_an_end_too() {
    let crowded = Bounds { crowded: true, ..Bounds::default() };
    let ending = sound().at(5, EventKind::Ending { proxy: 1 });
    for (plot, bounds) in [(sound(), &crowded), (ending, &Bounds::default())] {
        for (first, broken) in [(false, &[][..]), (true, &[Rule::Answer][..])] {
            let sent =
                plot.clone().ask(10, 1, None, ReadGuarantee::Any).at(11, EventKind::Sent { id: 1, first });
            assert_eq!(
                sent.clone().told(20, 1, RequestEnd::Broken, 0).rules(bounds),
                broken,
                "first: {first}"
            );
            assert_eq!(sent.told(20, 1, RequestEnd::Refused, 0).rules(bounds), [], "first: {first}");
        }
    }
    let late = sound().at(10, EventKind::Ending { proxy: 1 }).ask(900, 1, None, ReadGuarantee::Any);
    let killed = |first| {
        let sent = late.clone().at(901, EventKind::Sent { id: 1, first });
        sent.at(1_200, EventKind::Down { proxy: 1, stopped: false })
            .told(1_201, 1, RequestEnd::Broken, 0)
            .broken()
    };
    assert_eq!((killed(false), killed(true)), (vec![], vec![Rule::Answer]));
}
