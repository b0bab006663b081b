//! Generates random fault scenarios from a seed, and shrinks a scenario that causes a breach while it still causes
//! it.

use fastrand::Rng;
use std::collections::BTreeMap;

/// A random scenario: the lines that describe the world, and the faults, each with the steps that end it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RandomScenario {
    /// Lines that describe the world.
    pub world: Vec<String>,
    /// The faults: the kind and the steps of each.
    pub faults: Vec<(&'static str, Vec<String>)>,
}

/// Earliest time of the first fault, in ms.
const FIRST_FAULT_MS: u32 = 800;
/// Time at which the last fault must have ended, in ms.
const LAST_FAULT_MS: u32 = 3_600;
/// End of the run, in ms.
const END_MS: u32 = 5_200;

impl RandomScenario {
    /// The text of the scenario.
    pub fn text(&self) -> String {
        let steps = self.faults.iter().flat_map(|(_, steps)| steps);
        let lines: Vec<&str> = self.world.iter().chain(steps).map(String::as_str).collect();
        lines.join("\n") + "\n"
    }

    /// The number of faults of each kind.
    pub fn kinds(&self) -> BTreeMap<&'static str, u64> {
        let mut kinds = BTreeMap::new();
        self.faults.iter().for_each(|(kind, _)| *kinds.entry(*kind).or_default() += 1);
        kinds
    }
}

struct WorldSize {
    proxies: u32,
    members: u32,
    groups: u32,
    /// Time at which the last fault must have ended, in ms.
    last_fault_ms: u32,
    /// The members that a fault of all links affects.
    linked_members: String,
}

/// Generates a scenario with 3 to 8 proxies, 2 to 6 members, and 1 to 5 faults that may overlap.
pub fn draw(seed: u64) -> RandomScenario {
    let mut rng = Rng::with_seed(seed);
    let groups = rng.u32(1..=2);
    let size = WorldSize {
        proxies: rng.u32(3..=8),
        members: groups * rng.u32(2..=3),
        groups,
        last_fault_ms: LAST_FAULT_MS,
        linked_members: ALL_MEMBERS.to_string(),
    };
    let cold = if rng.bool() { " cold 0.3 4000" } else { "" };
    let mut world = vec![
        format!("seed {seed}"),
        format!("proxies {}", size.proxies),
        format!(
            "members {} groups {groups} slots 8 work 4 12 handshake {} lag {}{cold}",
            size.members,
            rng.u32(0..=10),
            rng.u32(0..=20)
        ),
        format!("list rate {} queue 100", [0, 20, 50][rng.usize(0..3)]),
        format!("load {} clients {}", size.proxies * 20, size.proxies * 8),
        format!("end {END_MS}"),
    ];
    if rng.u32(0..4) == 0 {
        world.push("known lost".to_string());
    }
    let faults = (0..rng.u32(1..=5)).map(|_| fault(&mut rng, &size)).collect();
    RandomScenario { world, faults }
}

/// Generates a scenario with 5 to 9 proxies that agree on their rules. The faults include changes of the rules, cuts
/// between proxies, and lost stores.
pub fn draw_agreeing(seed: u64) -> RandomScenario {
    let mut rng = Rng::with_seed(seed);
    let size = WorldSize {
        proxies: rng.u32(5..=9),
        members: 3,
        groups: 1,
        last_fault_ms: LAST_FAULT_MS,
        linked_members: ALL_MEMBERS.to_string(),
    };
    let voters = if rng.bool() { 3 } else { 5 };
    let world = vec![
        format!("seed {seed}"),
        format!("proxies {}", size.proxies),
        "members 3 slots 8 work 4 12 lag 5".to_string(),
        "store every 500".to_string(),
        format!("agree voters {voters}"),
        format!("load {} clients {}", size.proxies * 12, size.proxies * 5),
        format!("end {}", END_MS + 2_400),
    ];
    let mut faults = Vec::new();
    for _ in 0..rng.u32(1..=2) {
        let (at, value) = (rng.u32(FIRST_FAULT_MS + 400..LAST_FAULT_MS), rng.u32(2..9));
        let (who, change_kind) = (rng.u32(1..=size.proxies), rng.usize(0..3));
        let change = [
            format!("/limits/max_attempts {value}"),
            format!(
                "/services/1/idempotency {}",
                ["\"read_like\"", "\"non_idempotent\""][value as usize % 2]
            ),
            format!("/services/0/deadline_us {}", 500_000 + value * 10_000),
        ];
        faults.push(("change", vec![format!("at {at} p{who} proposes {}", change[change_kind])]));
    }
    if rng.u32(0..3) == 0 {
        let (at, who, member) =
            (rng.u32(FIRST_FAULT_MS + 400..LAST_FAULT_MS), rng.u32(1..=size.proxies), rng.u32(1..=3));
        let call = |word: &str| format!("p{who} console FLEET {word} m{member}");
        let back = format!("at {} {}", at + 1_800, call("RESTORE"));
        faults.push(("hand of all", vec![format!("at {at} {}", call("SUSPEND")), back]));
    }
    for _ in 0..rng.u32(1..=3) {
        faults.push(match rng.u32(0..5) {
            0 | 1 => {
                let part = rng.u32(1..size.proxies);
                let side =
                    |from: u32, to: u32| (from..=to).map(|n| format!("p{n}")).collect::<Vec<_>>().join(",");
                let (one, other) = (side(1, part), side(part + 1, size.proxies));
                let from = rng.u32(FIRST_FAULT_MS..LAST_FAULT_MS - 600);
                let to = rng.u32(from + 100..LAST_FAULT_MS);
                let mut steps = Vec::new();
                let ways = rng.u32(1..4);
                for (way, (a, b)) in [(1, (&one, &other)), (2, (&other, &one))] {
                    if ways & way != 0 {
                        steps.push(format!("at {from} {a} speaks {b} silent"));
                        steps.push(format!("at {to} {a} speaks {b} well"));
                    }
                }
                ("speech cut", steps)
            }
            2 => {
                let (from, lost, twice) =
                    (rng.u32(FIRST_FAULT_MS..LAST_FAULT_MS - 600), rng.u32(50..500), rng.u32(0..300));
                let faulty =
                    format!("at {from} proxies speaks proxies lossy {lost} {twice} {}", rng.u32(0..300));
                ("speech loss", vec![faulty, format!("at {LAST_FAULT_MS} proxies speaks proxies well")])
            }
            3 => {
                let (who, from) = (rng.u32(1..=voters), rng.u32(FIRST_FAULT_MS..LAST_FAULT_MS - 600));
                let harm = ["wiped", "torn 500", "flipped"][rng.usize(0..3)];
                let steps = [
                    format!("at {from} p{who} does kill"),
                    format!("at {} p{who} store {harm}", from + 60),
                    format!("at {} p{who} does start", from + 120),
                ];
                ("store", steps.to_vec())
            }
            _ => fault(&mut rng, &size),
        });
    }
    RandomScenario { world, faults }
}

/// Time at which the last fault of a soak must have ended, in ms.
const SOAK_LAST_FAULT_MS: u32 = 7_000;
/// End of a soak, in ms.
const SOAK_END_MS: u32 = 9_500;
/// How long a shutdown with its kill takes, in ms.
const SHUTDOWN_MS: u32 = 4_200;
/// Offsets of wall clocks, in ms: an hour and 7 s in both directions.
const CLOCK_OFFSETS_MS: [i64; 4] = [3_600_000, -3_600_000, 7_000, -7_000];

/// Generates a soak: 10 to 40 proxies with failing system calls, bad clients, clients that disconnect early, and 4
/// to 9 faults that overlap in time, in addition to one shutdown with a kill.
pub fn draw_soak(seed: u64) -> RandomScenario {
    let mut rng = Rng::with_seed(seed);
    let groups = rng.u32(1..=3);
    let (proxies, members) = (rng.u32(10..=40), groups * rng.u32(2..=4));
    let scale = draw_scale(seed, members, groups);
    let Scale { members, groups, .. } = scale;
    let linked_members = match members > MAX_LINKED_MEMBERS {
        true => (1..=MAX_LINKED_MEMBERS).map(|n| format!("m{n}")).collect::<Vec<_>>().join(","),
        false => ALL_MEMBERS.to_string(),
    };
    let size = WorldSize { proxies, members, groups, last_fault_ms: SOAK_LAST_FAULT_MS, linked_members };
    let reads = draw_read_setup(seed);
    let mut world = vec![
        format!("seed {seed}"),
        format!("proxies {proxies}"),
        format!(
            "members {members} spare {} groups {groups} slots 16 work 4 12 handshake {} lag {} cold 0.3 4000{}",
            scale.spare,
            rng.u32(0..=10),
            rng.u32(0..=20),
            reads.members
        ),
        format!("list rate {} queue 200", [0, 60, 120][rng.usize(0..3)]),
        format!("store every {}", rng.u32(200..=1_000)),
        format!("load {} clients {}", proxies * 8, proxies * 4),
        format!("clients leave {}", rng.u32(0..=30)),
        format!("clients bad {}", rng.u32(0..=8)),
        format!("end {SOAK_END_MS}"),
    ];
    for (call, every) in [
        ("recv_short", 4..=200),
        ("recv_cut", 3..=100),
        ("send_short", 4..=100),
        ("recv_fails", 200..=2_000),
        ("accept_fails", 3..=20),
        ("connect_fails", 3..=20),
        ("socket_fails", 3..=20),
        ("wait_intr", 3..=50),
        ("call_intr", 10..=200),
        ("pause", 150..=1_000),
    ] {
        if rng.u32(0..3) == 0 {
            let line = format!("calls {call} 1 in {}", rng.u32(every));
            // A proxy with a share of a processor is held up by that already.
            if scale.processor_share.is_none() || call != "pause" {
                world.push(line);
            }
        }
    }
    world.extend(scale.processor_share.map(|share| format!("share {share}")));
    world.extend(reads.world);
    let mut faults: Vec<_> = (0..rng.u32(3..=6)).map(|_| fault(&mut rng, &size)).collect();
    faults.extend((0..rng.u32(1..=3)).map(|_| machine_fault(&mut rng, &size)));
    let at = rng.u32(FIRST_FAULT_MS..SOAK_LAST_FAULT_MS - SHUTDOWN_MS);
    let who = format!("{}%", rng.u32(10..=60));
    faults.push(("end", vec![format!("at {at} {who} does end within {}", rng.u32(1..400))]));
    let crowd = rng.u32(0..3);
    if crowd > 0 {
        // More clients connect at once than a proxy has permits for; in half of these runs idle clients also hold
        // permits.
        let sockets = rng.u32(64..=128);
        world.push(format!("sockets {sockets}"));
        world.push(format!("clients surge {}", rng.u32(sockets / 2..=sockets * 2)));
        if crowd > 1 {
            world.push(format!("clients idle {}", proxies * sockets / 4));
        }
    }
    faults.extend(scale.faults);
    faults.push((
        "calls",
        vec!["at 300 proxies calls fail".into(), format!("at {SOAK_LAST_FAULT_MS} proxies calls well")],
    ));
    RandomScenario { world, faults }
}

/// Selects all members in a scenario.
const ALL_MEMBERS: &str = "members";
/// Number of members that a fault of the links to all members affects in a large world: each link needs a relay.
const MAX_LINKED_MEMBERS: u32 = 24;
/// Gives the scale its own random sequence, so that it does not change the other random choices of a seed.
const SCALE_SEED: u64 = 0x7363_616c;
/// Number of members of a group in the large worlds, on average.
const GROUP_SIZES: [u32; 4] = [4, 4, 40, 400];
/// The shares of a processor that proxies get.
const PROCESSOR_SHARES: [f64; 4] = [0.03, 0.05, 0.1, 0.25];

/// The random choices of a soak about the number of members and the machine.
struct Scale {
    members: u32,
    groups: u32,
    spare: u32,
    processor_share: Option<f64>,
    faults: Vec<(&'static str, Vec<String>)>,
}

/// In half of the runs there are hundreds or thousands of members, and discovery sends long lists; in half of all
/// runs the proxies get a share of a processor.
fn draw_scale(seed: u64, members: u32, groups: u32) -> Scale {
    let mut rng = Rng::with_seed(seed ^ SCALE_SEED);
    let processor_share = rng.bool().then(|| PROCESSOR_SHARES[rng.usize(0..PROCESSOR_SHARES.len())]);
    if rng.bool() {
        return Scale { members, groups, spare: 0, processor_share, faults: Vec::new() };
    }
    let members = [rng.u32(100..800), rng.u32(800..2_000), 3_200][rng.usize(0..3)];
    let groups = (members / GROUP_SIZES[rng.usize(0..GROUP_SIZES.len())]).max(2);
    let percent = rng.u32(10..=33);
    let mut at = || rng.u32(FIRST_FAULT_MS..SOAK_LAST_FAULT_MS - 1_000);
    let (replaced, down, whole) = (at(), at(), at());
    let faults = vec![
        ("replace", vec![format!("at {replaced} list does replace {percent}%")]),
        ("members down", vec![format!("at {down} {percent}% does down")]),
        ("whole lists", (0..3).map(|n| format!("at {} list does whole", whole + n * 300)).collect()),
    ];
    Scale { members, groups, spare: members * percent / 100 + 1, processor_share, faults }
}

/// Gives the reads their own random sequence, so that they do not change the other random choices of a seed.
const READS_SEED: u64 = 0x7265_6164;

/// The random choices of a soak about reads and the positions of members.
struct ReadSetup {
    /// How members treat positions; appended to the `members` line.
    members: String,
    /// Lines that describe the world.
    world: Vec<String>,
}

/// In half of the runs, repeats of some reads may do harm, members may report less in their answers or treat reads
/// for which they lag differently, and proxies may remember the writes of sessions.
fn draw_read_setup(seed: u64) -> ReadSetup {
    let mut rng = Rng::with_seed(seed ^ READS_SEED);
    if rng.bool() {
        return ReadSetup { members: String::new(), world: Vec::new() };
    }
    let behind = match rng.u32(0..3) {
        0 => "off".to_string(),
        1 => "refuse".to_string(),
        _ => format!("wait {}", rng.u32(5..=60)),
    };
    let tells = ["", "", " tells role", " mute"][rng.usize(0..4)];
    let mut world = vec![format!("sessions {}", ["carried", "remembered"][rng.usize(0..2)])];
    for class in ["yard-board", "my-booking", "monthly-report"] {
        let scope = ["all", "zone", "cell"][rng.usize(0..3)];
        match rng.u32(0..3) {
            0 => {}
            1 => world.push(format!("class {class} unsafe")),
            _ => world.push(format!("class {class} keyed {scope} {}", rng.u32(100..=1_000))),
        }
    }
    ReadSetup { members: format!(" behind {behind}{tells}"), world }
}

/// Generates a fault of the proxies' machines or of their operation.
fn machine_fault(rng: &mut Rng, size: &WorldSize) -> (&'static str, Vec<String>) {
    let from = rng.u32(FIRST_FAULT_MS..size.last_fault_ms - 1_000);
    let to = rng.u32(from + 300..size.last_fault_ms);
    let some = format!("{}%", rng.u32(10..=100));
    match rng.u32(0..5) {
        4 => {
            // Requests keep waiting for a connection, while their clients may disconnect and discovery may announce
            // the member as leaving.
            let who = rng.u32(1..=size.members);
            let mut steps =
                vec![format!("at {from} m{who} does reset"), format!("at {} m{who} does shut", from + 60)];
            if rng.bool() {
                steps.push(format!("at {} list does leaving m{who}", from + 200));
            }
            steps.push(format!("at {to} m{who} does answer"));
            ("shut", steps)
        }
        0 => {
            let off = CLOCK_OFFSETS_MS[rng.usize(0..CLOCK_OFFSETS_MS.len())];
            let steps = [
                format!("at {from} {some} clock off {off}"),
                format!("at {} {some} does {}", from + 50, ["kill", "term"][rng.usize(0..2)]),
                format!("at {to} {some} does start within 200"),
            ];
            ("clock", steps.to_vec())
        }
        1 => {
            let error = ["full", "broken"][rng.usize(0..2)];
            ("disk", vec![format!("at {from} {some} disk {error}"), format!("at {to} {some} disk well")])
        }
        2 => {
            let times = rng.u32(2..=6);
            let each = (to - from) / times;
            let steps = (0..times)
                .map(|n| format!("at {} {some} does hup within {}", from + n * each, rng.u32(1..50)));
            ("reloads", steps.collect())
        }
        _ => {
            // One proxy after the other, as in a rolling release.
            let last = size.proxies.min(6);
            let each = (to - from) / last;
            let steps = (1..=last).flat_map(|n| {
                let at = from + (n - 1) * each;
                [format!("at {at} p{n} does term"), format!("at {} p{n} does start", at + each.max(1))]
            });
            ("release", steps.collect())
        }
    }
}

/// Generates a fault of processes, links, discovery or members.
fn fault(rng: &mut Rng, size: &WorldSize) -> (&'static str, Vec<String>) {
    let from = rng.u32(FIRST_FAULT_MS..size.last_fault_ms - 600);
    let to = rng.u32(from + 100..size.last_fault_ms);
    let proxy = |rng: &mut Rng| format!("p{}", rng.u32(1..=size.proxies));
    let member = |rng: &mut Rng| format!("m{}", rng.u32(1..=size.members));
    let some = |rng: &mut Rng| match rng.u32(0..3) {
        0 => "proxies".to_string(),
        1 => format!("{}%", rng.u32(20..=90)),
        _ => proxy(rng),
    };
    let link = |rng: &mut Rng| match rng.u32(0..7) {
        0 => "silent".to_string(),
        1 => "silent up".to_string(),
        2 => "silent down".to_string(),
        3 => format!("delay {} {}", rng.u32(5..60), rng.u32(0..60)),
        4 => format!("rate {}", rng.u32(2_000..50_000)),
        5 => format!("reset {}", rng.u32(50..4_000)),
        _ => format!("late {}", rng.u32(50..1_500)),
    };
    let span =
        |rng: &mut Rng| if rng.bool() { format!(" within {}", rng.u32(1..200)) } else { String::new() };
    let two = |a: String, b: String| vec![format!("at {from} {a}"), format!("at {to} {b}")];
    match rng.u32(0..13) {
        0 | 1 => {
            let (who, when) = (some(rng), span(rng));
            ("kill", two(format!("{who} does kill{when}"), format!("proxies does start{}", span(rng))))
        }
        2 => {
            let who = some(rng);
            ("term", two(format!("{who} does term{}", span(rng)), "proxies does start".to_string()))
        }
        3 => {
            let who = some(rng);
            ("stop", vec![format!("at {from} {who} does stop {}", to - from)])
        }
        4 | 5 => {
            let (who, what) = (some(rng), if rng.bool() { member(rng) } else { size.linked_members.clone() });
            let cut = format!("{who} link {what} {}", link(rng));
            ("link", two(cut, format!("{who} link {what} well")))
        }
        6 => {
            let who = some(rng);
            ("list link", two(format!("{who} link list {}", link(rng)), format!("{who} link list well")))
        }
        7 => {
            let failures = ["overbooked", "reset", "silent", "cut", "noise", "older", "hasty"];
            let failure = failures[rng.usize(0..failures.len())];
            ("list", two(format!("list does {failure}"), "list does well".to_string()))
        }
        8 => {
            let who = member(rng);
            ("drain", two(format!("list does leaving {who}"), format!("list does active {who}")))
        }
        9 => {
            let does = ["hold", "reset", "half", "full", "error", "miss", "twice", "stall", "swapped"];
            let (who, what) = (member(rng), does[rng.usize(0..does.len())]);
            ("member", two(format!("{who} does {what}"), format!("{who} does answer")))
        }
        10 => {
            let who = member(rng);
            ("member down", two(format!("{who} does down"), format!("{who} does up")))
        }
        11 => {
            let group = rng.u32(1..=size.groups);
            // The first member of a group is its primary; the next member of the same group is `groups` numbers
            // further on.
            ("primary", vec![format!("at {from} m{} does primary", group + size.groups)])
        }
        _ => {
            let (who, member) = (some(rng), member(rng));
            let call = |word: &str| format!("{who} console {word} {member}");
            ("hand", two(call("SUSPEND"), call("RESTORE")))
        }
    }
}

/// Shrinks a scenario while `shows` returns `true`, which means that the shorter scenario still causes the breach.
/// Removes whole faults first, then the steps that end them.
pub fn shrink(mut drawn: RandomScenario, mut shows: impl FnMut(&RandomScenario) -> bool) -> RandomScenario {
    let mut n = 0;
    while n < drawn.faults.len() && drawn.faults.len() > 1 {
        let mut less = drawn.clone();
        less.faults.remove(n);
        if shows(&less) {
            drawn = less;
        } else {
            n += 1;
        }
    }
    for n in 0..drawn.faults.len() {
        if drawn.faults[n].1.len() > 1 {
            let mut less = drawn.clone();
            less.faults[n].1.truncate(1);
            if shows(&less) {
                drawn = less;
            }
        }
    }
    drawn
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::rig::script::Script;

    #[test]
    fn random_scenarios_are_valid_and_contain_each_kind_of_fault() {
        let mut kinds = BTreeMap::new();
        for seed in 0..3_000 {
            let drawn = draw(seed);
            let text = drawn.text();
            if let Err(wrong) = Script::read(&text) {
                panic!("seed {seed}: {wrong:?}\n{text}");
            }
            drawn.kinds().into_iter().for_each(|(kind, n)| *kinds.entry(kind).or_insert(0) += n);
        }
        assert_eq!(kinds.len(), 11, "{kinds:?}");
        assert!(kinds.values().all(|n| *n > 200), "{kinds:?}");
        assert_eq!(draw(7), draw(7));
    }

    #[test]
    fn random_soaks_are_valid_and_contain_enough_faults() {
        let (mut kinds, mut calls) = (BTreeMap::new(), 0);
        for seed in 0..500 {
            let drawn = draw_soak(seed);
            let script = Script::read(&drawn.text()).unwrap_or_else(|wrong| panic!("seed {seed}: {wrong:?}"));
            assert!((10..=40).contains(&script.proxies) && drawn.faults.len() >= 5);
            calls += script.calls.len();
            drawn.kinds().into_iter().for_each(|(kind, n)| *kinds.entry(kind).or_insert(0) += n);
        }
        for kind in ["clock", "disk", "reloads", "release", "shut", "stop", "drain", "member down", "end"] {
            assert!(kinds[kind] > 50, "{kinds:?}");
        }
        assert!(calls > 1_000, "{calls} failing system calls");
    }

    #[test]
    fn some_soaks_have_unsafe_reads_and_members_that_report_less() {
        let mut plain = 0;
        let mut words = BTreeMap::new();
        for seed in 0..500 {
            let drawn = draw_soak(seed);
            let text = drawn.text();
            plain += u32::from(!text.contains("sessions "));
            for word in [
                " mute",
                " tells role",
                " behind off",
                " behind refuse",
                " behind wait",
                "sessions carried",
                "sessions remembered",
                "class my-booking unsafe",
                "class my-booking keyed all",
                "class my-booking keyed zone",
                "class my-booking keyed cell",
                "class yard-board unsafe",
                "class monthly-report unsafe",
            ] {
                *words.entry(word).or_insert(0) += u32::from(text.contains(word));
            }
        }
        assert!((200..300).contains(&plain), "{plain} soaks without these choices");
        assert!(words.values().all(|n| *n > 15), "{words:?}");
    }

    #[test]
    fn random_scenarios_with_agreement_are_valid() {
        let mut kinds = BTreeMap::new();
        for seed in 0..1_000 {
            let drawn = draw_agreeing(seed);
            let text = drawn.text();
            if let Err(wrong) = Script::read(&text) {
                panic!("seed {seed}: {wrong:?}\n{text}");
            }
            drawn.kinds().into_iter().for_each(|(kind, n)| *kinds.entry(kind).or_insert(0) += n);
        }
        for kind in ["change", "hand of all", "speech cut", "speech loss", "store"] {
            assert!(kinds[kind] > 100, "{kinds:?}");
        }
    }

    #[test]
    fn a_scenario_shrinks_to_the_fault_that_causes_the_breach() {
        let long = (0..).map(draw).find(|d| d.faults.len() == 5).expect("a scenario with five faults");
        let kind = long.faults[2].0;
        let needs = |d: &RandomScenario| d.faults.iter().any(|f| f.0 == kind);
        let short = shrink(long.clone(), needs);
        assert_eq!(short.faults.len(), 1);
        assert_eq!(short.faults[0].0, kind);
        assert_eq!(short.faults[0].1.len(), 1);
        // A fault that is needed for the breach stays.
        assert_eq!(shrink(long.clone(), |d| *d == long), long);
    }
}
