//! The meet against the decisions themselves: what rules permit is worded here a second time, decision by decision, and the
//! meet must permit what both permit, and nothing that either forbids.

use super::*;
use proptest::prelude::*;

/// A decision that rules permit or forbid.
#[derive(Debug, Clone, Copy)]
enum Decision {
    /// A request of this class is sent at all.
    Take(usize),
    /// Its n-th attempt.
    Attempt(usize, u32),
    /// It is sent again, so long after an attempt that may have run, to a member of the same zone and group, or not.
    Again(usize, Time, bool, bool),
    /// Its answer shows all but the last so many us, and its session's writes or not.
    Shows(usize, Time, bool),
    /// It is answered so late.
    Answers(usize, Time),
    /// A cold member gets this share, so long after its start.
    Cold(f64, Time),
    /// This part of a member's room is taken.
    Room(f64),
    /// A client is told to come again after so long.
    Advice(Time),
    /// A member is probed, an attempt cancelled, something sent to one that is gone.
    Probe,
    Cancel,
    Gone,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

fn permits(rules: &FleetSettings, decision: Decision) -> bool {
    let class = |n: usize| rules.classes().get(NAMES[n]).copied().cloned();
    let set = &rules.settings;
    match decision {
        Decision::Take(n) => class(n).is_some(),
        Decision::Attempt(n, tries) => class(n).is_some() && tries <= set.max_attempts,
        Decision::Again(n, after, zone, group) => class(n).is_some_and(|c| match c.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group: at, window } => {
                after < window
                    && match at {
                        DedupScope::All => true,
                        DedupScope::Zone => zone,
                        DedupScope::Group => group,
                    }
            }
        }),
        Decision::Shows(n, behind, session) => class(n).is_some_and(|c| match c.consistency {
            Consistency::Any => true,
            Consistency::Bounded(age) => behind <= age,
            Consistency::Session => session || behind == 0,
            Consistency::Fresh | Consistency::Write => behind == 0,
        }),
        Decision::Answers(n, after) => class(n).is_some_and(|c| after <= c.deadline),
        Decision::Cold(share, after) => after >= set.rules.warm_after || share <= set.rules.cold_share,
        Decision::Room(part) => part <= 1.0 / f64::from(set.instances),
        Decision::Advice(span) => set.retry_after && span <= set.max_retry_after,
        Decision::Probe => set.probing,
        Decision::Cancel => set.cancelling,
        Decision::Gone => set.rules.removal_not_binding,
    }
}

fn need() -> impl Strategy<Value = Consistency> {
    prop_oneof![
        Just(Consistency::Fresh),
        Just(Consistency::Session),
        (0..4u64).prop_map(|n| Consistency::Bounded(n * 100)),
        Just(Consistency::Any)
    ]
}

fn repeat() -> impl Strategy<Value = Effect> {
    let group = prop_oneof![Just(DedupScope::All), Just(DedupScope::Zone), Just(DedupScope::Group)];
    let keyed = (group, 1..4u64).prop_map(|(group, n)| Effect::Keyed { group, window: n * 100 });
    prop_oneof![Just(Effect::Safe), keyed, Just(Effect::Unsafe)]
}

/// Class `c` is a write, the others are reads.
fn class(write: bool) -> impl Strategy<Value = Class> {
    (need(), repeat(), 1..5u64, 0..5u64, 0..3u32).prop_map(move |(need, repeat, aim, more, late)| Class {
        consistency: if write { Consistency::Write } else { need },
        effect: repeat,
        aim: aim * 100,
        deadline: (aim + more) * 100,
        importance: f64::from(late + 1),
        late_value: f64::from(late) / 4.0,
    })
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
    (classes, limits, rules).prop_map(|((a, b, c), (attempts, instances, on, advice, when_behind), rules)| {
        let named = [Some(a), b, c].into_iter().zip(NAMES).filter_map(|(c, n)| Some((n.to_string(), c?)));
        let (names, classes): (Vec<String>, Vec<Class>) = named.unzip();
        FleetSettings {
            names: Names { classes: names, ..Names::default() },
            settings: Settings {
                instances,
                classes,
                when_behind,
                cancelling: on[0],
                probing: on[1],
                retry_after: on[2],
                max_retry_after: advice * 100,
                max_attempts: attempts,
                rules: Rules {
                    cold_share: f64::from(rules.0) / 4.0,
                    warm_after: rules.1 * 100,
                    fall_multiple: rules.2 as f64 / 2.0,
                    fall_span: rules.2 * 100,
                    drain_grace: rules.1 * 50,
                    removal_not_binding: on[3],
                },
                ..Settings::default()
            },
            times: SocketTimes { keepalive: 1, connect_timeout: 1 },
        }
    })
}

fn decisions() -> Vec<Decision> {
    use Decision::*;
    let times = [0, 50, 99, 100, 101, 200, 250, 300, 400, 900];
    let mut all = vec![Probe, Cancel, Gone];
    for n in 0..3 {
        all.push(Take(n));
        all.extend((0..5).map(|tries| Attempt(n, tries)));
        for t in times {
            all.push(Answers(n, t));
            for (x, y) in [(false, false), (false, true), (true, false), (true, true)] {
                all.push(Again(n, t, x, y));
                all.push(Shows(n, t, x));
            }
        }
    }
    for t in times {
        all.push(Advice(t));
        all.extend([0.0, 0.25, 0.5, 0.75, 1.0].map(|share| Cold(share, t)));
    }
    all.extend([0.2, 0.25, 0.34, 0.5, 1.0].map(Room));
    all
}

proptest! {
    #[test]
    fn a_meet_never_permits_what_either_forbids(a in shared(), b in shared()) {
        let meet = a.meet(&b).expect("they differ in nothing that has no middle");
        for decision in decisions() {
            let (both, by_meet) = (permits(&a, decision) && permits(&b, decision), permits(&meet, decision));
            prop_assert!(both || !by_meet, "{:?} is forbidden by one: {:?}", decision, meet);
            // Two kinds of words have no greatest lower bound of their own and take the next stricter one.
            let coarse = matches!(decision, Decision::Again(..) | Decision::Shows(..) | Decision::Cold(..));
            prop_assert!(by_meet || !both || coarse, "{:?} is permitted by both: {:?}", decision, meet);
        }
        prop_assert!(meet.settings.check().is_ok());
    }

    #[test]
    fn meeting_goes_in_any_order_and_any_number_of_times(a in shared(), b in shared(), c in shared()) {
        let ab = a.meet(&b).expect("a meet");
        prop_assert_eq!(&ab, &b.meet(&a).expect("a meet"));
        prop_assert_eq!(ab.meet(&c).ok(), b.meet(&c).ok().and_then(|bc| a.meet(&bc).ok()));
        let aa = a.meet(&a).expect("a meet");
        // In the order of names, which is no rule.
        prop_assert_eq!(aa.classes(), a.classes());
        prop_assert_eq!(&aa.meet(&a).expect("a meet"), &aa);
        prop_assert_eq!(&ab.meet(&a).expect("a meet"), &ab, "it lies below both");
    }

    #[test]
    fn the_differences_name_what_is_permitted_by_one_alone(a in shared(), b in shared()) {
        let told = a.differences(&b);
        let alone = |x: &FleetSettings, y: &FleetSettings| decisions().into_iter().find(|d| permits(x, *d) && !permits(y, *d));
        for (by_new, found) in [(true, alone(&b, &a)), (false, alone(&a, &b))] {
            if let Some(decision) = found {
                prop_assert!(told.iter().any(|d| d.by_new == by_new), "{:?} is not told: {:?}", decision, told);
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
fn a_class_that_turns_from_safe_to_once_is_never_sent_again_meanwhile() {
    let (old, new) = (json(""), json("/services/1/idempotency=\"non_idempotent\""));
    let meet = old.meet(&new).expect("a meet");
    assert_eq!(meet.classes()["order"].effect, Effect::Unsafe);
    let told: Vec<String> = old.differences(&new).iter().map(ToString::to_string).collect();
    assert_eq!(
        told,
        ["services order: the old rules permit another attempt where it may have run, the new ones do not"]
    );
}

#[test]
fn what_has_no_middle_is_refused_with_its_place_and_what_to_do() {
    let old = json("");
    for (change, place) in [
        ("/family_info/session_marks=\"remembered\"", "family_info.session_marks"),
        ("/family_info/list_role=\"late\"", "family_info.list_role"),
        ("/discovery=\"automatic\"", "discovery"),
        ("/zones=[\"a\"]", "zones"),
        ("/family_info/needs_by_class=[\"bounded\",\"any\"]", "services order"),
        ("/services/0/name=\"x\";/services/1/name=\"y\"", "services"),
    ] {
        let clashes = old.meet(&json(change)).expect_err("no meet");
        assert_eq!(clashes.len(), 1, "{clashes:?}");
        assert!(clashes[0].place == place && clashes[0].why.contains(';'), "{}", clashes[0]);
    }
    // All of them at once are told at once.
    let two = json("/zones=[\"a\"];/discovery=\"automatic\"");
    assert_eq!(old.meet(&two).expect_err("no meet").len(), 2);
}
