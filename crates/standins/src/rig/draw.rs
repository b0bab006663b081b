//! Draws scenarios of faults from a seed, and makes one that has shown a breach shorter while it still shows it.

use fastrand::Rng;
use std::collections::BTreeMap;

/// A drawn scenario as text: what describes the world, and the faults, each with what ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drawn {
    /// Lines that describe the world.
    pub world: Vec<String>,
    /// Faults: their kind, and their steps.
    pub faults: Vec<(&'static str, Vec<String>)>,
}

/// When the first fault may come, when the last must have ended, and when the run ends, in ms.
const FIRST: u32 = 800;
const LAST: u32 = 3_600;
const END: u32 = 5_200;

impl Drawn {
    /// The scenario's text.
    pub fn text(&self) -> String {
        let steps = self.faults.iter().flat_map(|(_, steps)| steps);
        let lines: Vec<&str> = self.world.iter().chain(steps).map(String::as_str).collect();
        lines.join("\n") + "\n"
    }

    /// How many faults of each kind it has.
    pub fn kinds(&self) -> BTreeMap<&'static str, u64> {
        let mut kinds = BTreeMap::new();
        self.faults.iter().for_each(|(kind, _)| *kinds.entry(*kind).or_default() += 1);
        kinds
    }
}

struct Places {
    proxies: u32,
    members: u32,
    groups: u32,
    /// When the last fault must have ended, in ms.
    last: u32,
}

/// Draws one: 3 to 8 proxies, 3 to 6 members, 1 to 5 faults that may overlap.
pub fn draw(seed: u64) -> Drawn {
    let mut rng = Rng::with_seed(seed);
    let groups = rng.u32(1..=2);
    let places = Places { proxies: rng.u32(3..=8), members: groups * rng.u32(2..=3), groups, last: LAST };
    let cold = if rng.bool() { " cold 0.3 4000" } else { "" };
    let mut world = vec![
        format!("seed {seed}"),
        format!("proxies {}", places.proxies),
        format!(
            "members {} groups {groups} slots 8 work 4 12 handshake {} lag {}{cold}",
            places.members,
            rng.u32(0..=10),
            rng.u32(0..=20)
        ),
        format!("list rate {} queue 100", [0, 20, 50][rng.usize(0..3)]),
        format!("load {} clients {}", places.proxies * 20, places.proxies * 8),
        format!("end {END}"),
    ];
    if rng.u32(0..4) == 0 {
        world.push("known lost".to_string());
    }
    let faults = (0..rng.u32(1..=5)).map(|_| fault(&mut rng, &places)).collect();
    Drawn { world, faults }
}

/// The same with 5 to 9 proxies that agree on their rules, and changes, cuts between them and lost stores among the faults.
pub fn draw_agreeing(seed: u64) -> Drawn {
    let mut rng = Rng::with_seed(seed);
    let places = Places { proxies: rng.u32(5..=9), members: 3, groups: 1, last: LAST };
    let voters = if rng.bool() { 3 } else { 5 };
    let world = vec![
        format!("seed {seed}"),
        format!("proxies {}", places.proxies),
        "members 3 slots 8 work 4 12 lag 5".to_string(),
        "store every 500".to_string(),
        format!("agree voters {voters}"),
        format!("load {} clients {}", places.proxies * 12, places.proxies * 5),
        format!("end {}", END + 2_400),
    ];
    let mut faults = Vec::new();
    for _ in 0..rng.u32(1..=2) {
        let (at, value) = (rng.u32(FIRST + 400..LAST), rng.u32(2..9));
        let (who, place) = (rng.u32(1..=places.proxies), rng.usize(0..3));
        let change = [
            format!("/limits/max_attempts {value}"),
            format!(
                "/services/1/idempotency {}",
                ["\"read_like\"", "\"non_idempotent\""][value as usize % 2]
            ),
            format!("/services/0/deadline_us {}", 500_000 + value * 10_000),
        ];
        faults.push(("change", vec![format!("at {at} p{who} proposes {}", change[place])]));
    }
    if rng.u32(0..3) == 0 {
        let (at, who, member) = (rng.u32(FIRST + 400..LAST), rng.u32(1..=places.proxies), rng.u32(1..=3));
        let call = |word: &str| format!("p{who} console FLEET {word} m{member}");
        let back = format!("at {} {}", at + 1_800, call("RESTORE"));
        faults.push(("hand of all", vec![format!("at {at} {}", call("SUSPEND")), back]));
    }
    for _ in 0..rng.u32(1..=3) {
        faults.push(match rng.u32(0..5) {
            0 | 1 => {
                let part = rng.u32(1..places.proxies);
                let side =
                    |from: u32, to: u32| (from..=to).map(|n| format!("p{n}")).collect::<Vec<_>>().join(",");
                let (one, other) = (side(1, part), side(part + 1, places.proxies));
                let from = rng.u32(FIRST..LAST - 600);
                let to = rng.u32(from + 100..LAST);
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
                let (from, lost, twice) = (rng.u32(FIRST..LAST - 600), rng.u32(50..500), rng.u32(0..300));
                let faulty =
                    format!("at {from} proxies speaks proxies lossy {lost} {twice} {}", rng.u32(0..300));
                ("speech loss", vec![faulty, format!("at {LAST} proxies speaks proxies well")])
            }
            3 => {
                let (who, from) = (rng.u32(1..=voters), rng.u32(FIRST..LAST - 600));
                let harm = ["wiped", "torn 500", "flipped"][rng.usize(0..3)];
                let steps = [
                    format!("at {from} p{who} does kill"),
                    format!("at {} p{who} store {harm}", from + 60),
                    format!("at {} p{who} does start", from + 120),
                ];
                ("store", steps.to_vec())
            }
            _ => fault(&mut rng, &places),
        });
    }
    Drawn { world, faults }
}

/// When the last fault of a soak must have ended, and when it ends, in ms.
const SOAK_LAST: u32 = 7_000;
const SOAK_END: u32 = 9_500;
/// How long an end with its kill takes, in ms.
const ENDING: u32 = 4_200;
/// An hour and some seconds, in ms: what wall clocks are off by.
const CLOCK_STEPS: [i64; 4] = [3_600_000, -3_600_000, 7_000, -7_000];

/// Draws a soak: 10 to 40 proxies whose system calls fail, bad clients, clients that leave, and 4 to 9 faults that overlap
/// in time.
pub fn draw_soak(seed: u64) -> Drawn {
    let mut rng = Rng::with_seed(seed);
    let groups = rng.u32(1..=3);
    let (proxies, members) = (rng.u32(10..=40), groups * rng.u32(2..=4));
    let places = Places { proxies, members, groups, last: SOAK_LAST };
    let reads = draw_reads(seed);
    let mut world = vec![
        format!("seed {seed}"),
        format!("proxies {proxies}"),
        format!(
            "members {members} groups {groups} slots 16 work 4 12 handshake {} lag {} cold 0.3 4000{}",
            rng.u32(0..=10),
            rng.u32(0..=20),
            reads.members
        ),
        format!("list rate {} queue 200", [0, 60, 120][rng.usize(0..3)]),
        format!("store every {}", rng.u32(200..=1_000)),
        format!("load {} clients {}", proxies * 8, proxies * 4),
        format!("clients leave {}", rng.u32(0..=30)),
        format!("clients bad {}", rng.u32(0..=8)),
        format!("end {SOAK_END}"),
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
            world.push(format!("calls {call} 1 in {}", rng.u32(every)));
        }
    }
    world.extend(reads.world);
    let mut faults: Vec<_> = (0..rng.u32(3..=6)).map(|_| fault(&mut rng, &places)).collect();
    faults.extend((0..rng.u32(1..=3)).map(|_| machine_fault(&mut rng, &places)));
    let at = rng.u32(FIRST..SOAK_LAST - ENDING);
    let who = format!("{}%", rng.u32(10..=60));
    faults.push(("end", vec![format!("at {at} {who} does end within {}", rng.u32(1..400))]));
    let crowd = rng.u32(0..3);
    if crowd > 0 {
        // More clients than a proxy has permits for come at once, and in half of these runs idle ones hold them besides.
        let sockets = rng.u32(64..=128);
        world.push(format!("sockets {sockets}"));
        world.push(format!("clients surge {}", rng.u32(sockets / 2..=sockets * 2)));
        if crowd > 1 {
            world.push(format!("clients idle {}", proxies * sockets / 4));
        }
    }
    faults.push((
        "calls",
        vec!["at 300 proxies calls fail".into(), format!("at {SOAK_LAST} proxies calls well")],
    ));
    Drawn { world, faults }
}

/// Drawn apart from all else, so that the other draws of a seed stay as they are.
const READS_DRAW: u64 = 0x7265_6164;

/// What of a soak is drawn of its reads and of the members' positions.
struct Reads {
    /// How members treat positions, behind their other words.
    members: String,
    /// Lines that describe the world.
    world: Vec<String>,
}

/// In half of the runs repeats of some reads do harm, members tell less in their answers or treat reads otherwise for which they
/// lag, and proxies remember what sessions have written.
fn draw_reads(seed: u64) -> Reads {
    let mut rng = Rng::with_seed(seed ^ READS_DRAW);
    if rng.bool() {
        return Reads { members: String::new(), world: Vec::new() };
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
    Reads { members: format!(" behind {behind}{tells}"), world }
}

/// A fault of the proxies' own machines, or of those who run them.
fn machine_fault(rng: &mut Rng, places: &Places) -> (&'static str, Vec<String>) {
    let from = rng.u32(FIRST..places.last - 1_000);
    let to = rng.u32(from + 300..places.last);
    let some = format!("{}%", rng.u32(10..=100));
    match rng.u32(0..5) {
        4 => {
            // What waits for a connection waits on, while its client may leave and the member be announced as leaving.
            let who = rng.u32(1..=places.members);
            let mut steps =
                vec![format!("at {from} m{who} does reset"), format!("at {} m{who} does shut", from + 60)];
            if rng.bool() {
                steps.push(format!("at {} list does leaving m{who}", from + 200));
            }
            steps.push(format!("at {to} m{who} does answer"));
            ("shut", steps)
        }
        0 => {
            let off = CLOCK_STEPS[rng.usize(0..CLOCK_STEPS.len())];
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
            // One after the other, as at a release.
            let last = places.proxies.min(6);
            let each = (to - from) / last;
            let steps = (1..=last).flat_map(|n| {
                let at = from + (n - 1) * each;
                [format!("at {at} p{n} does term"), format!("at {} p{n} does start", at + each.max(1))]
            });
            ("release", steps.collect())
        }
    }
}

fn fault(rng: &mut Rng, places: &Places) -> (&'static str, Vec<String>) {
    let from = rng.u32(FIRST..places.last - 600);
    let to = rng.u32(from + 100..places.last);
    let proxy = |rng: &mut Rng| format!("p{}", rng.u32(1..=places.proxies));
    let member = |rng: &mut Rng| format!("m{}", rng.u32(1..=places.members));
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
            let (who, what) = (some(rng), if rng.bool() { member(rng) } else { "members".to_string() });
            let cut = format!("{who} link {what} {}", link(rng));
            ("link", two(cut, format!("{who} link {what} well")))
        }
        6 => {
            let who = some(rng);
            ("list link", two(format!("{who} link list {}", link(rng)), format!("{who} link list well")))
        }
        7 => {
            let ills = ["overbooked", "reset", "silent", "cut", "noise", "older", "hasty"];
            let ill = ills[rng.usize(0..ills.len())];
            ("list", two(format!("list does {ill}"), "list does well".to_string()))
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
            let group = rng.u32(1..=places.groups);
            // The first of a group is its primary, the next one of it stands `groups` further on.
            ("primary", vec![format!("at {from} m{} does primary", group + places.groups)])
        }
        _ => {
            let (who, member) = (some(rng), member(rng));
            let call = |word: &str| format!("{who} console {word} {member}");
            ("hand", two(call("SUSPEND"), call("RESTORE")))
        }
    }
}

/// Shortens a scenario as long as `shows` says that the shorter one still shows the breach: whole faults first, then
/// what ends them.
pub fn shrink(mut drawn: Drawn, mut shows: impl FnMut(&Drawn) -> bool) -> Drawn {
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
    fn all_that_is_drawn_can_be_read_and_each_kind_of_fault_comes() {
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
    fn all_that_is_drawn_for_a_soak_can_be_read_and_overlaps() {
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
        assert!(calls > 1_000, "{calls} calls that fail");
    }

    #[test]
    fn a_part_of_the_soaks_has_reads_whose_repeats_do_harm_and_members_that_tell_less() {
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
        assert!((200..300).contains(&plain), "{plain} runs as before");
        assert!(words.values().all(|n| *n > 15), "{words:?}");
    }

    #[test]
    fn all_that_is_drawn_for_proxies_that_agree_can_be_read_too() {
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
    fn a_scenario_shrinks_to_what_shows_the_breach() {
        let long = (0..).map(draw).find(|d| d.faults.len() == 5).expect("one is drawn");
        let kind = long.faults[2].0;
        let needs = |d: &Drawn| d.faults.iter().any(|f| f.0 == kind);
        let short = shrink(long.clone(), needs);
        assert_eq!(short.faults.len(), 1);
        assert_eq!(short.faults[0].0, kind);
        assert_eq!(short.faults[0].1.len(), 1);
        // What cannot be left out stays.
        assert_eq!(shrink(long.clone(), |d| *d == long), long);
    }
}
