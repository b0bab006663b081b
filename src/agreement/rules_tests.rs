//! Checks the meet against a second, independent definition of what rules permit, decision by decision: the
//! meet must permit what both versions permit, and nothing that either forbids.

use super::*;
use proptest::prelude::*;

/// A decision that rules permit or forbid.
#[derive(Debug, Clone, Copy)]
enum Decision {
    /// Send a request of this class at all.
    Request(usize),
    /// Send the n-th attempt of a request of this class.
    Attempt(usize, u32),
    /// Send another attempt this long after one that may have run, to a member of the same zone or not, and
    /// of the same group or not.
    RepeatAfter(usize, Time, bool, bool),
    /// Accept an answer that lacks the commits of the last so many us, and that shows the session's own
    /// writes or not.
    Staleness(usize, Time, bool),
    /// Answer a request this late.
    AnswerAfter(usize, Time),
    /// Send a cold member this share of its capacity, this long after its start.
    ColdShare(f64, Time),
    /// Take this share of a member's capacity.
    CapacityShare(f64),
    /// Tell a client to come back after this time.
    RetryAfter(Time),
    /// Probe a member, cancel an attempt, send a request to a member that is gone.
    Probe,
    Cancel,
    SendToRemoved,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn permits(rules: &FleetSettings, decision: Decision) -> bool {
    let class = |n: usize| rules.classes().get(NAMES[n]).copied().cloned();
    let settings = &rules.settings;
    match decision {
        Decision::Request(n) => class(n).is_some(),
        Decision::Attempt(n, number) => class(n).is_some() && number <= settings.max_attempts,
        Decision::RepeatAfter(n, after, zone, group) => class(n).is_some_and(|c| match c.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group: scope, window } => {
                after < window
                    && match scope {
                        DedupScope::All => true,
                        DedupScope::Zone => zone,
                        DedupScope::Group => group,
                    }
            }
        }),
        Decision::Staleness(n, behind, session) => class(n).is_some_and(|c| match c.consistency {
            Consistency::Any => true,
            Consistency::Bounded(age) => behind <= age,
            Consistency::Session => session || behind == 0,
            Consistency::Fresh | Consistency::Write => behind == 0,
        }),
        Decision::AnswerAfter(n, after) => class(n).is_some_and(|c| after <= c.deadline),
        Decision::ColdShare(share, after) => {
            after >= settings.rules.warm_after || share <= settings.rules.cold_share
        }
        Decision::CapacityShare(part) => part <= 1.0 / f64::from(settings.instances),
        Decision::RetryAfter(delay) => settings.retry_after && delay <= settings.max_retry_after,
        Decision::Probe => settings.probing,
        Decision::Cancel => settings.cancelling,
        Decision::SendToRemoved => settings.rules.removal_not_binding,
    }
}

fn consistency() -> impl Strategy<Value = Consistency> {
    prop_oneof![
        Just(Consistency::Fresh),
        Just(Consistency::Session),
        (0..4u64).prop_map(|n| Consistency::Bounded(n * 100)),
        Just(Consistency::Any)
    ]
}

fn effect() -> impl Strategy<Value = Effect> {
    let group = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Group)];
    let keyed = (group, 1..4u64).prop_map(|(group, n)| Effect::Keyed { group, window: n * 100 });
    prop_oneof![Just(Effect::Safe), keyed, Just(Effect::Unsafe)]
}

/// Class `c` is a write class, the others are read classes.
fn class(write: bool) -> impl Strategy<Value = Class> {
    (consistency(), effect(), 1..5u64, 0..5u64, 0..3u32).prop_map(
        move |(consistency, effect, aim, more, late)| Class {
            consistency: if write { Consistency::Write } else { consistency },
            effect,
            aim: aim * 100,
            deadline: (aim + more) * 100,
            importance: f64::from(late + 1),
            late_value: f64::from(late) / 4.0,
        },
    )
}

fn shared() -> impl Strategy<Value = FleetSettings> {
    let classes = (class(false), proptest::option::of(class(false)), proptest::option::of(class(true)));
    let behind = prop_oneof![
        Just(WhenBehind::Answers),
        Just(WhenBehind::Refuses),
        (1..4u64).prop_map(|n| WhenBehind::Waits(n * 100))
    ];
    let limits = (1..4u32, 1..4u32, any::<[bool; 4]>(), 0..4u64, behind);
    let rules = (1..4u32, 0..4u64, 0..4u64);
    (classes, limits, rules).prop_map(
        |((a, b, c), (attempts, instances, flags, retry_after, when_behind), rules)| {
            let named_classes =
                [Some(a), b, c].into_iter().zip(NAMES).filter_map(|(c, n)| Some((n.to_string(), c?)));
            let (names, classes): (Vec<String>, Vec<Class>) = named_classes.unzip();
            FleetSettings {
                names: Names { classes: names, ..Names::default() },
                settings: Settings {
                    instances,
                    classes,
                    when_behind,
                    cancelling: flags[0],
                    probing: flags[1],
                    retry_after: flags[2],
                    max_retry_after: retry_after * 100,
                    max_attempts: attempts,
                    rules: Rules {
                        cold_share: f64::from(rules.0) / 4.0,
                        warm_after: rules.1 * 100,
                        fall_multiple: rules.2 as f64 / 2.0,
                        fall_window: rules.2 * 100,
                        drain_grace: rules.1 * 50,
                        removal_not_binding: flags[3],
                    },
                    ..Settings::default()
                },
                times: SocketTimes { keepalive: 1, connect_timeout: 1 },
            }
        },
    )
}

fn decisions() -> Vec<Decision> {
    use Decision::*;
    let times = [0, 50, 99, 100, 101, 200, 250, 300, 400, 900];
    let mut all = vec![Probe, Cancel, SendToRemoved];
    for n in 0..3 {
        all.push(Request(n));
        all.extend((0..5).map(|number| Attempt(n, number)));
        for t in times {
            all.push(AnswerAfter(n, t));
            for (x, y) in [(false, false), (false, true), (true, false), (true, true)] {
                all.push(RepeatAfter(n, t, x, y));
                all.push(Staleness(n, t, x));
            }
        }
    }
    for t in times {
        all.push(RetryAfter(t));
        all.extend([0.0, 0.25, 0.5, 0.75, 1.0].map(|share| ColdShare(share, t)));
    }
    all.extend([0.2, 0.25, 0.34, 0.5, 1.0].map(CapacityShare));
    all
}

proptest! {
    #[test]
    fn meet_permits_only_what_both_versions_permit(a in shared(), b in shared()) {
        let meet = a.meet(&b).expect("every generated pair has a meet");
        for decision in decisions() {
            let (both, by_meet) = (permits(&a, decision) && permits(&b, decision), permits(&meet, decision));
            prop_assert!(both || !by_meet, "{:?} is forbidden by one: {:?}", decision, meet);
            // Consistency, effects and cold-start limits have no exact greatest lower bound; their meet is
            // the next stricter value.
            let approximate = matches!(
                decision,
                Decision::RepeatAfter(..) | Decision::Staleness(..) | Decision::ColdShare(..)
            );
            prop_assert!(by_meet || !both || approximate, "{:?} is permitted by both: {:?}", decision, meet);
        }
        prop_assert!(meet.settings.check().is_ok());
    }

    #[test]
    fn meet_is_commutative_associative_and_idempotent(a in shared(), b in shared(), c in shared()) {
        let ab = a.meet(&b).expect("a meet");
        prop_assert_eq!(&ab, &b.meet(&a).expect("a meet"));
        prop_assert_eq!(ab.meet(&c).ok(), b.meet(&c).ok().and_then(|bc| a.meet(&bc).ok()));
        let aa = a.meet(&a).expect("a meet");
        // A meet lists classes in the order of their names; the order has no effect.
        prop_assert_eq!(aa.classes(), a.classes());
        prop_assert_eq!(&aa.meet(&a).expect("a meet"), &aa);
        prop_assert_eq!(&ab.meet(&a).expect("a meet"), &ab, "it is below both");
    }

    #[test]
    fn differences_cover_what_one_version_alone_permits(a in shared(), b in shared()) {
        let differences = a.differences(&b);
        let alone = |x: &FleetSettings, y: &FleetSettings| {
            decisions().into_iter().find(|d| permits(x, *d) && !permits(y, *d))
        };
        for (by_new, found) in [(true, alone(&b, &a)), (false, alone(&a, &b))] {
            if let Some(decision) = found {
                prop_assert!(
                    differences.iter().any(|d| d.by_new == by_new),
                    "{:?} is not covered: {:?}",
                    decision,
                    differences
                );
            }
        }
        prop_assert!(a.differences(&a).is_empty());
    }
}

fn json(text: &str) -> FleetSettings {
    let mut json = serde_json::json!({
        "discovery": "subscribe", "instances": 3, "my_zone": 1, "period_us": 5000, "zones": ["a", "b"],
        "family_info": {"needs_by_class": ["bounded", "write"], "when_behind": "refuse", "max_age_us": [3_000_000, 0],
            "list_role": "off", "session_marks": "carried"},
        "services": [
            {"name": "board", "aim_us": 200_000, "deadline_us": 500_000, "late_value": 0, "idempotency": "read_like"},
            {"name": "order", "aim_us": 900_000, "deadline_us": 3_000_000, "late_value": 0.5,
                "idempotency": "read_like"}],
        "limits": {"cancelling": true, "probing": true, "retry_after": true, "max_retry_after_us": 2_000_000,
            "max_attempts": 8},
        "rules": {"cold_share": 0.15, "warm_after_us": 18_000_000, "fall_us": 1_500_000}
    });
    for change in text.split(';').filter(|c| !c.is_empty()) {
        let (place, value) = change.split_once('=').expect("place=value");
        *json.pointer_mut(place).expect("a place") = serde_json::from_str(value).expect("a value");
    }
    FleetSettings::read(&json).expect("sound settings")
}

#[test]
fn class_that_becomes_unsafe_is_not_repeated_during_the_transition() {
    let (old, new) = (json(""), json("/services/1/idempotency=\"non_idempotent\""));
    let meet = old.meet(&new).expect("a meet");
    assert_eq!(meet.classes()["order"].effect, Effect::Unsafe);
    let differences: Vec<String> = old.differences(&new).iter().map(ToString::to_string).collect();
    assert_eq!(
        differences,
        ["services order: the old rules permit another attempt where it may have run, the new ones do not"]
    );
}

#[test]
fn versions_without_a_meet_are_refused_with_field_and_advice() {
    let old = json("");
    for (change, place) in [
        ("/family_info/session_marks=\"remembered\"", "family_info.session_marks"),
        ("/family_info/list_role=\"late\"", "family_info.list_role"),
        ("/discovery=\"automatic\"", "discovery"),
        ("/zones=[\"a\"]", "zones"),
        ("/family_info/needs_by_class=[\"bounded\",\"any\"]", "services order"),
        ("/services/0/name=\"x\";/services/1/name=\"y\"", "services"),
    ] {
        let conflicts = old.meet(&json(change)).expect_err("no meet");
        assert_eq!(conflicts.len(), 1, "{conflicts:?}");
        assert!(conflicts[0].field == place && conflicts[0].reason.contains(';'), "{}", conflicts[0]);
    }
    // All conflicts are reported at once.
    let two = json("/zones=[\"a\"];/discovery=\"automatic\"");
    assert_eq!(old.meet(&two).expect_err("no meet").len(), 2);
}
