//! Scenarios of many processes in the project's one scenario language: a step a line, `who verb what`. What stands before
//! the first `at` describes the world; each `at MS` is a step on the time line. `docs/rig.md` lists all of it.

use super::checker::Bounds;
use super::events::{Effect, KeyScope};
use super::relay::Fault;
use crate::member::{AnswerStatus, Behaviour, PositionPolicy, WhenBehind};
use crate::proxy::CLASSES;
use crate::registry::DiscoveryBehaviour;
use crate::shim::{CallFault, DiskError};
use std::fmt::{self, Display};
use std::time::Duration;

/// Most processes of a scenario, and most members; the machine bounds them sooner.
pub const PROXIES_MAX: u32 = 2_048;
const MEMBERS_MAX: u32 = 4_096;

/// Which of many, as a scenario names them.
#[derive(Debug, Clone, PartialEq)]
pub enum Who {
    /// All.
    All,
    /// So many of a hundred, by lot.
    Share(u32),
    /// These, by number from 1.
    These(Vec<u32>),
}

impl Who {
    /// The numbers meant, of 1 to `all`, drawn by `seed` where a share is.
    pub fn of(&self, all: u32, seed: u64) -> Vec<u32> {
        match self {
            Who::All => (1..=all).collect(),
            Who::These(these) => these.iter().copied().filter(|n| (1..=all).contains(n)).collect(),
            Who::Share(percent) => {
                let mut every: Vec<u32> = (1..=all).collect();
                fastrand::Rng::with_seed(seed).shuffle(&mut every);
                every.truncate((all * percent).div_ceil(100) as usize);
                every.sort_unstable();
                every
            }
        }
    }
}

/// What is done to the folder in which a proxy keeps its state, while the proxy is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// All of it is gone.
    Wiped,
    /// A copy is put aside ...
    Kept,
    /// ... and put back.
    RolledBack,
    /// Its newest file is cut off at this part of its length, in parts of 1,000.
    Torn(u32),
    /// One bit of its newest file is another.
    Flipped,
    /// It can no longer be written.
    ReadOnly,
    /// It can be written again.
    Writable,
}

/// One step of the time line.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Processes are killed, each at a moment of this span.
    Kill(Who, Duration),
    /// Processes are told to end.
    Term(Who, Duration),
    /// Processes are told to end, get more signals in a row, are killed at the earliest that the platform may do so, and start again.
    End(Who, Duration),
    /// Those that are down are started, each at a moment of this span.
    Start(Who, Duration),
    /// Processes stand still for so long.
    Stop(Who, Duration),
    /// Processes read their configuration again.
    Hup(Who, Duration),
    /// What is kept of their state comes to harm.
    Harm(Who, Harm),
    /// Operators call.
    Console(Who, String),
    /// Links between proxies and members.
    Link(Who, Who, Fault),
    /// Links between proxies and discovery.
    ListLink(Who, Fault),
    /// Links between clients and proxies.
    ClientLink(Who, Fault),
    /// What proxies say to proxies, one way.
    Speak(Who, Who, Fault),
    /// A proxy is told to propose the settings with another value at this place.
    Propose(u32, String, String),
    /// The same, once the changes before it are through; it is over when all act by it alone.
    ProposeInTurn(u32, String, String),
    /// Members do something with statements.
    Does(Who, Behaviour),
    /// A member is the primary of its group from now on, the former one a replica.
    Primary(u32),
    /// Members are gone, connections and all.
    MemberDown(Who),
    /// They are back, started anew and cold.
    MemberUp(Who),
    /// Discovery does something with calls.
    Ill(DiscoveryBehaviour),
    /// Discovery tells a new state of a member.
    Lists(u32, String),
    /// Whether the proxies' system calls fail, as the scenario's `calls` say.
    CallsFail(Who, bool),
    /// The proxies' wall clocks are off by so many us from now on.
    ClockStep(Who, i64),
    /// Writes to the proxies' stores fail so from now on, or no longer.
    Disk(Who, Option<DiskError>),
}

impl Step {
    /// Whether it is over only when the rules that proxies agree on have changed.
    pub fn changes_rules(&self) -> bool {
        match self {
            Step::ProposeInTurn(..) => true,
            Step::Console(_, call) => call.starts_with("FLEET"),
            _ => false,
        }
    }
}

/// A member's make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Make {
    /// How many.
    pub members: u32,
    /// In how many groups.
    pub groups: u32,
    /// Requests in work at once.
    pub slots: usize,
    /// Shortest and longest work of a request.
    pub work: (Duration, Duration),
    /// Work of a new connection.
    pub handshake: Duration,
    /// Most connections; 0: any number.
    pub most: usize,
    /// Share of its capacity at a start, and how long until it is warm.
    pub cold: Option<(f64, Duration)>,
    /// Lag of replicas.
    pub lag: Duration,
    /// How they treat positions.
    pub positions: PositionPolicy,
}

/// A whole scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// All that is drawn follows from it.
    pub seed: u64,
    /// How many proxies.
    pub proxies: u32,
    /// How many they believe there are.
    pub told: u32,
    /// The members.
    pub make: Make,
    /// Calls that discovery answers a second, and those that may wait; rate 0: any number.
    pub list: (f64, usize),
    /// Whether a start finds the list in the configuration.
    pub known: bool,
    /// Least time between two snapshots of the proxies' stores; none: nothing is stored.
    pub store: Option<Duration>,
    /// The proxies agree on their rules, and so many of them vote; 0: they do not.
    pub voters: u32,
    /// System calls of the proxies that fail, each once in so many.
    pub calls: Vec<(CallFault, u32)>,
    /// What a repeat of a request may do, by class.
    pub effects: [Effect; CLASSES.len()],
    /// Session reads carry the last commit of their session; else the proxies remember it.
    pub sessions_carried: bool,
    /// Requests a second, and clients that ask them.
    pub load: (f64, u32),
    /// Of a hundred requests so many whose clients leave before the answer.
    pub leaving: u32,
    /// Clients that begin what they do not end.
    pub bad_clients: u32,
    /// Clients that connect and ask nothing.
    pub idle_clients: u32,
    /// Clients of one request that come to a proxy at once, again and again.
    pub surge_clients: u32,
    /// Descriptors that a proxy may have.
    pub sockets: u64,
    /// How long it runs.
    pub end: Duration,
    /// What must hold.
    pub bounds: Bounds,
    /// Longest time to full service; none: it is told and not judged.
    pub full: Option<Duration>,
    /// The time line, in its order.
    pub steps: Vec<(Duration, Step)>,
}

impl Default for Script {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Script {
            seed: 1,
            proxies: 3,
            told: 0,
            make: Make {
                members: 4,
                groups: 1,
                slots: 4,
                work: (ms(20), ms(40)),
                handshake: ms(15),
                most: 0,
                cold: None,
                lag: ms(5),
                positions: PositionPolicy::default(),
            },
            list: (0.0, 64),
            known: true,
            store: None,
            voters: 0,
            calls: Vec::new(),
            effects: [Effect::Safe, Effect::Safe, Effect::Safe, Effect::Unsafe],
            sessions_carried: true,
            load: (60.0, 24),
            leaving: 0,
            bad_clients: 0,
            idle_clients: 0,
            surge_clients: 0,
            sockets: 1024,
            end: ms(5_000),
            bounds: Bounds::default(),
            full: None,
            steps: Vec::new(),
        }
    }
}

/// What is wrong with a scenario, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// The line's number, from 1.
    pub line: usize,
    /// What.
    pub what: String,
}

impl Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

fn number<T: std::str::FromStr>(word: &str) -> Result<T, String> {
    word.parse().map_err(|_| format!("'{word}' is no number that fits here"))
}

fn ms(word: &str) -> Result<Duration, String> {
    number(word).map(Duration::from_millis)
}

/// `within MS` or nothing.
fn within(words: &[&str]) -> Result<Duration, String> {
    match words {
        [] => Ok(Duration::ZERO),
        ["within", span] => ms(span),
        _ => Err(format!("'{}' where only 'within MS' may stand", words.join(" "))),
    }
}

/// `proxies`, `members`, `75%`, `p3,p7` or `m2`.
fn who(word: &str, all: &str, letter: char) -> Result<Who, String> {
    if word == all {
        return Ok(Who::All);
    }
    if let Some(percent) = word.strip_suffix('%') {
        return number(percent).and_then(|n| match n {
            1..=100 => Ok(Who::Share(n)),
            _ => Err(format!("'{word}' is no share")),
        });
    }
    let one = |name: &str| match name.strip_prefix(letter).map(number) {
        Some(Ok(n @ 1..)) => Ok(n),
        _ => Err(format!("'{name}' is none of the {all}: '{all}', a share like 75%, or {letter}1,{letter}2")),
    };
    word.split(',').map(one).collect::<Result<_, _>>().map(Who::These)
}

fn proxies(word: &str) -> Result<Who, String> {
    who(word, "proxies", 'p')
}

fn members(word: &str) -> Result<Who, String> {
    who(word, "members", 'm')
}

/// Whether a word names members rather than proxies.
fn is_members(word: &str) -> bool {
    word == "members" || word.starts_with('m')
}

impl Script {
    /// Reads a scenario.
    ///
    /// # Errors
    /// All that is wrong with it, by line.
    pub fn read(text: &str) -> Result<Self, Vec<Wrong>> {
        let (mut script, mut wrong) = (Script::default(), Vec::new());
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            let words: Vec<&str> = line.split_whitespace().collect();
            if let Err(what) = script.line(&words) {
                wrong.push(Wrong { line: n + 1, what });
            }
        }
        if script.told == 0 {
            script.told = script.proxies;
        }
        if let Err(what) = script.fits() {
            wrong.push(Wrong { line: text.lines().count(), what });
        }
        script.steps.sort_by_key(|(at, _)| *at);
        if wrong.is_empty() {
            Ok(script)
        } else {
            Err(wrong)
        }
    }

    fn line(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            [] => {}
            ["at", at, rest @ ..] => self.steps.push((ms(at)?, step(rest)?)),
            ["seed", n] => self.seed = number(n)?,
            ["proxies", n] => self.proxies = number(n)?,
            ["proxies", n, "told", told] => (self.proxies, self.told) = (number(n)?, number(told)?),
            ["members", n, rest @ ..] => {
                self.make.members = number(n)?;
                self.make.describe(rest)?;
            }
            ["list", "rate", rate] => self.list.0 = number(rate)?,
            ["list", "rate", rate, "queue", queue] => self.list = (number(rate)?, number(queue)?),
            ["known", "old"] => self.known = true,
            ["known", "lost"] => self.known = false,
            ["store", "every", span] => self.store = Some(ms(span)?),
            ["agree", "voters", n] => self.voters = number(n)?,
            ["class", name, effect @ ..] => self.effects[read_class(name)?] = self::effect(effect)?,
            ["sessions", "carried"] => self.sessions_carried = true,
            ["sessions", "remembered"] => self.sessions_carried = false,
            ["load", rate, "clients", n] => self.load = (number(rate)?, number(n)?),
            ["calls", name, "1", "in", every] => self.calls.push((call(name)?, number(every)?)),
            ["clients", "leave", percent] => self.leaving = number(percent)?,
            ["clients", "idle", n] => {
                self.idle_clients = number(n)?;
                self.bounds.crowded |= self.idle_clients > 0;
            }
            ["clients", "surge", n] => {
                self.surge_clients = number(n)?;
                self.bounds.crowded |= self.surge_clients > 0;
            }
            ["sockets", n] => self.sockets = number(n)?,
            ["clients", "bad", n] => self.bad_clients = number(n)?,
            ["end", at] => self.end = ms(at)?,
            ["bound", "full", span] => self.full = Some(ms(span)?),
            ["bound", what, n] => self.bound(what, n)?,
            ["hands", "kept"] => self.bounds.hands_kept = true,
            _ => return Err(format!("no such step: '{}'", words.join(" "))),
        }
        Ok(())
    }

    fn bound(&mut self, what: &str, n: &str) -> Result<(), String> {
        let bounds = &mut self.bounds;
        match what {
            "late" => bounds.late = number::<u64>(n)? * 1000,
            "patience" => bounds.patience = number::<u64>(n)? * 1000,
            "drain" => bounds.drain = number::<u64>(n)? * 1000,
            "cold" => bounds.cold = number(n)?,
            "opened" => bounds.opened = Some(number(n)?),
            "probed" => bounds.probed = Some(number(n)?),
            "unanswered" => bounds.unanswered = Some(number(n)?),
            "whole" => bounds.whole = Some(number(n)?),
            _ => return Err(format!("there is no bound '{what}'")),
        }
        Ok(())
    }

    fn fits(&self) -> Result<(), String> {
        let Make { members, groups, slots, work, .. } = self.make;
        for (fine, what) in [
            ((1..=PROXIES_MAX).contains(&self.proxies), format!("1 to {PROXIES_MAX} proxies can run")),
            ((1..=MEMBERS_MAX).contains(&members), format!("1 to {MEMBERS_MAX} members can run")),
            (groups >= 1 && groups <= members, "each group needs a member".to_string()),
            (slots > 0 && work.0 <= work.1, "members need slots, and work from less to more".to_string()),
            (
                self.voters == 0
                    || self.voters % 2 == 1 && self.voters <= self.proxies && self.store.is_some(),
                "an odd number of the proxies votes, and they need a store".to_string(),
            ),
            (self.load.0 > 0.0 && self.load.1 > 0, "there must be load, and clients for it".to_string()),
            (
                self.steps.iter().all(|(at, _)| *at <= self.end),
                "a step lies behind the end of the run".to_string(),
            ),
        ] {
            if !fine {
                return Err(what);
            }
        }
        let all = |who: &Who, most: u32| !matches!(who, Who::These(these) if these.iter().any(|n| *n > most));
        let known = |step: &Step| match step {
            Step::Kill(w, _) | Step::Term(w, _) | Step::Start(w, _) | Step::Stop(w, _) | Step::Hup(w, _) => {
                all(w, self.proxies)
            }
            Step::End(w, _) => all(w, self.proxies),
            Step::CallsFail(w, _) | Step::ClockStep(w, _) | Step::Disk(w, _) => all(w, self.proxies),
            Step::Harm(w, _) | Step::Console(w, _) | Step::ListLink(w, _) | Step::ClientLink(w, _) => {
                all(w, self.proxies)
            }
            Step::Link(p, m, _) => all(p, self.proxies) && all(m, members),
            Step::Speak(p, q, _) => all(p, self.proxies) && all(q, self.proxies) && self.voters > 0,
            Step::Propose(p, ..) | Step::ProposeInTurn(p, ..) => {
                (1..=self.proxies).contains(p) && self.voters > 0
            }
            Step::Does(m, _) | Step::MemberDown(m) | Step::MemberUp(m) => all(m, members),
            Step::Primary(m) | Step::Lists(m, _) => *m <= members,
            Step::Ill(_) => true,
        };
        match self.steps.iter().find(|(_, step)| !known(step)) {
            Some((at, _)) => Err(format!("the step at {} names one that is not there", at.as_millis())),
            None => Ok(()),
        }
    }
}

impl Make {
    fn describe(&mut self, words: &[&str]) -> Result<(), String> {
        let rest = match words {
            [] => return Ok(()),
            ["groups", n, rest @ ..] => {
                self.groups = number(n)?;
                rest
            }
            ["slots", n, rest @ ..] => {
                self.slots = number(n)?;
                rest
            }
            ["work", least, most, rest @ ..] => {
                self.work = (ms(least)?, ms(most)?);
                rest
            }
            ["handshake", span, rest @ ..] => {
                self.handshake = ms(span)?;
                rest
            }
            ["most", n, rest @ ..] => {
                self.most = number(n)?;
                rest
            }
            ["cold", share, warm, rest @ ..] => {
                let share: f64 = number(share)?;
                let share = Some(share).filter(|s| *s > 0.0 && *s <= 1.0).ok_or("a share lies in (0, 1]")?;
                self.cold = Some((share, ms(warm)?));
                rest
            }
            ["lag", span, rest @ ..] => {
                self.lag = ms(span)?;
                rest
            }
            ["mute", rest @ ..] => {
                self.positions.answer_status = AnswerStatus::Nothing;
                rest
            }
            ["tells", "role", rest @ ..] => {
                self.positions.answer_status = AnswerStatus::RoleAndCommit;
                rest
            }
            ["behind", "off", rest @ ..] => {
                self.positions.when_behind = WhenBehind::Answers;
                rest
            }
            ["behind", "refuse", rest @ ..] => {
                self.positions.when_behind = WhenBehind::Refuses;
                rest
            }
            ["behind", "wait", span, rest @ ..] => {
                self.positions.when_behind = WhenBehind::Waits(ms(span)?);
                rest
            }
            _ => return Err(format!("members have no '{}'", words.join(" "))),
        };
        self.describe(rest)
    }
}

fn step(words: &[&str]) -> Result<Step, String> {
    let rest = |n: usize| words[n..].join(" ");
    Ok(match words {
        ["list", "does", state @ ("active" | "leaving" | "left"), member] => match members(member)? {
            Who::These(these) if these.len() == 1 => Step::Lists(these[0], state.to_string()),
            _ => return Err("discovery tells of one member at a time".to_string()),
        },
        ["list", "does", ..] => Step::Ill(rest(2).parse()?),
        ["clients", "link", to, ..] if words.len() > 3 => Step::ClientLink(proxies(to)?, rest(3).parse()?),
        [of, "link", "list", ..] if words.len() > 3 => Step::ListLink(proxies(of)?, rest(3).parse()?),
        [of, "speaks", to, ..] if words.len() > 3 => {
            Step::Speak(proxies(of)?, proxies(to)?, rest(3).parse()?)
        }
        [of, "proposes", place, value, ref more @ ..] if more.is_empty() || *more == ["in", "turn"] => {
            let (place, value) = (place.to_string(), value.to_string());
            match proxies(of)? {
                Who::These(these) if these.len() == 1 && more.is_empty() => {
                    Step::Propose(these[0], place, value)
                }
                Who::These(these) if these.len() == 1 => Step::ProposeInTurn(these[0], place, value),
                _ => return Err("one proxy proposes at a time".to_string()),
            }
        }
        [of, "link", to, ..] if words.len() > 3 => Step::Link(proxies(of)?, members(to)?, rest(3).parse()?),
        [of, "console", ..] if words.len() > 2 => Step::Console(proxies(of)?, rest(2)),
        [of, "does", "down"] => Step::MemberDown(members(of)?),
        [of, "does", "up"] => Step::MemberUp(members(of)?),
        [of, "does", "primary"] => match members(of)? {
            Who::These(these) if these.len() == 1 => Step::Primary(these[0]),
            _ => return Err("a group has one primary".to_string()),
        },
        [of, "does", ..] if is_members(of) => Step::Does(members(of)?, rest(2).parse()?),
        [of, "does", "kill", span @ ..] => Step::Kill(proxies(of)?, within(span)?),
        [of, "does", "end", span @ ..] => Step::End(proxies(of)?, within(span)?),
        [of, "does", "term", span @ ..] => Step::Term(proxies(of)?, within(span)?),
        [of, "does", "start", span @ ..] => Step::Start(proxies(of)?, within(span)?),
        [of, "does", "hup", span @ ..] => Step::Hup(proxies(of)?, within(span)?),
        [of, "does", "stop", span] => Step::Stop(proxies(of)?, ms(span)?),
        [of, "calls", "fail"] => Step::CallsFail(proxies(of)?, true),
        [of, "calls", "well"] => Step::CallsFail(proxies(of)?, false),
        [of, "clock", "off", off] => Step::ClockStep(proxies(of)?, number::<i64>(off)? * 1000),
        [of, "disk", "full"] => Step::Disk(proxies(of)?, Some(DiskError::Full)),
        [of, "disk", "broken"] => Step::Disk(proxies(of)?, Some(DiskError::Broken)),
        [of, "disk", "well"] => Step::Disk(proxies(of)?, None),
        [of, "store", harm @ ..] => Step::Harm(proxies(of)?, self::harm(harm)?),
        _ => return Err(format!("no such step: '{}'", words.join(" "))),
    })
}

/// The number of a class of reads: repeats of writes do harm always.
fn read_class(name: &str) -> Result<usize, String> {
    let reads = &CLASSES[..CLASSES.len() - 1];
    reads.iter().position(|(class, ..)| *class == name).ok_or_else(|| format!("no reads are '{name}'"))
}

fn effect(words: &[&str]) -> Result<Effect, String> {
    let scope = |word: &str| match word {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        _ => Err(format!("no key holds in '{word}'")),
    };
    Ok(match words {
        ["safe"] => Effect::Safe,
        ["unsafe"] => Effect::Unsafe,
        ["keyed", word, span] => Effect::Keyed { scope: scope(word)?, window: ms(span)?.as_micros() as u64 },
        _ => return Err(format!("no repeat is '{}'", words.join(" "))),
    })
}

fn call(name: &str) -> Result<CallFault, String> {
    CallFault::ALL
        .into_iter()
        .find(|call| call.name() == name)
        .ok_or_else(|| format!("there is no call '{name}'"))
}

fn harm(words: &[&str]) -> Result<Harm, String> {
    Ok(match words {
        ["wiped"] => Harm::Wiped,
        ["kept"] => Harm::Kept,
        ["back"] => Harm::RolledBack,
        ["torn", part] => match number(part)? {
            part @ 0..=1000 => Harm::Torn(part),
            _ => return Err(format!("'{part}' is over 1000")),
        },
        ["flipped"] => Harm::Flipped,
        ["readonly"] => Harm::ReadOnly,
        ["writable"] => Harm::Writable,
        _ => return Err(format!("no store comes to '{}'", words.join(" "))),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_world_of_1200_proxies_and_members_can_be_described() {
        for n in [1_200, PROXIES_MAX] {
            let read = Script::read(&format!("proxies {n}\nmembers {n}\n")).expect("a world");
            assert_eq!((read.proxies, read.make.members), (n, n));
        }
        assert!(Script::read(&format!("proxies {}\n", PROXIES_MAX + 1)).is_err());
        assert!(Script::read(&format!("members {}\n", MEMBERS_MAX + 1)).is_err());
    }

    #[test]
    fn a_scenario_is_read_with_all_that_it_says() {
        let text = "
            seed 7                      # drawn from
            proxies 24 told 96
            members 8 groups 2 slots 4 work 20 40 handshake 15 most 64 cold 0.2 9000 lag 5
            list rate 20 queue 100
            known lost
            load 600 clients 120
            bound opened 12
            bound full 1300
            hands kept
            end 9000
            at 4000 proxies does start within 20
            at 3000 75% does kill within 50
            at 3500 p1,p3 link members silent up
            at 3600 list does overbooked
            at 3700 list does leaving m3
            at 3800 m2 does primary
            at 3900 m1 does hold
            at 3950 p4 console SUSPEND m3
            at 3960 p4 store torn 500
            at 3970 p4 does stop 5000
            at 3980 clients link p2 delay 10 5";
        let script = Script::read(text).expect("it is sound");
        assert_eq!((script.seed, script.proxies, script.told, script.known), (7, 24, 96, false));
        assert_eq!((script.make.groups, script.make.most, script.list), (2, 64, (20.0, 100)));
        assert_eq!(script.make.cold, Some((0.2, Duration::from_millis(9000))));
        assert_eq!((script.bounds.opened, script.bounds.hands_kept), (Some(12), true));
        assert_eq!(script.full, Some(Duration::from_millis(1300)));
        let ms = Duration::from_millis;
        assert_eq!(script.steps.len(), 11);
        assert_eq!(script.steps[0], (ms(3000), Step::Kill(Who::Share(75), ms(50))));
        let up = Fault { mute_up: true, ..Fault::default() };
        assert_eq!(script.steps[1].1, Step::Link(Who::These(vec![1, 3]), Who::All, up));
        assert_eq!(script.steps[3].1, Step::Lists(3, "leaving".into()));
        assert_eq!(script.steps[6].1, Step::Console(Who::These(vec![4]), "SUSPEND m3".into()));
        assert_eq!(script.steps[10].1, Step::Start(Who::All, ms(20)));
    }

    #[test]
    fn what_repeats_may_do_and_how_positions_are_treated_is_read_and_unknown_words_are_errors() {
        let text = "members 4 lag 20 mute behind wait 30\nsessions remembered\nclass my-booking unsafe\n\
            class yard-board keyed cell 400";
        let script = Script::read(text).expect("it is sound");
        let waits = WhenBehind::Waits(Duration::from_millis(30));
        assert_eq!(
            script.make.positions,
            PositionPolicy { when_behind: waits, answer_status: AnswerStatus::Nothing }
        );
        let tells_role = Script::read("members 4 tells role behind off").expect("it is sound").make.positions;
        assert_eq!(
            tells_role,
            PositionPolicy { when_behind: WhenBehind::Answers, answer_status: AnswerStatus::RoleAndCommit }
        );
        let keyed = Effect::Keyed { scope: KeyScope::Cell, window: 400_000 };
        assert_eq!(script.effects, [keyed, Effect::Unsafe, Effect::Safe, Effect::Unsafe]);
        assert!(!script.sessions_carried);
        for wrong in [
            "class my-booking twice",
            "class my-booking keyed town 400",
            "class my-booking keyed cell",
            "class no-class unsafe",
            "class place-order safe",
            "members 4 behind never",
            "members 4 behind wait",
            "members 4 tells little",
            "sessions lost",
        ] {
            assert!(Script::read(wrong).is_err(), "{wrong}");
        }
    }

    #[test]
    fn all_that_is_wrong_is_said_by_its_line() {
        let text = "proxies 3\nproxies many\nbound tea 3\nat 10 p9 does kill\nat x proxies does kill\n\
            at 10 proxies does kill soon\nat 20 m1 does sing\nat 30 proxies link m1 loud\nmembers 4 tall\n\
            at 40 0% does kill\nat 40 proxies store torn 2000\nat 9999 proxies does kill";
        let wrong = Script::read(text).expect_err("it is not sound");
        let lines: Vec<usize> = wrong.iter().map(|w| w.line).collect();
        assert_eq!(lines, [2, 3, 5, 6, 7, 8, 9, 10, 11, 12], "{wrong:?}");
        assert!(wrong[9].what.contains("behind the end"), "{}", wrong[9]);
        let none = Script::read("proxies 3\nat 10 p9 does kill").expect_err("there is no p9");
        assert!(none[0].what.contains("not there"), "{}", none[0]);
    }

    #[test]
    fn shares_are_drawn_alike_for_a_like_seed_and_in_full_measure() {
        assert_eq!(Who::Share(75).of(24, 3).len(), 18);
        assert_eq!(Who::Share(1).of(24, 3).len(), 1);
        assert_eq!(Who::Share(50).of(24, 3), Who::Share(50).of(24, 3));
        assert_ne!(Who::Share(50).of(24, 3), Who::Share(50).of(24, 4));
        assert_eq!(Who::These(vec![2, 9]).of(4, 1), [2]);
        assert_eq!(Who::All.of(3, 1), [1, 2, 3]);
    }
}
