//! Parses scenarios in the scenario language: one statement per line, as `who verb what`. Lines without `at`
//! describe the world; each line with `at MS` is a step on the time line. `docs/rig.md` lists all statements.

use super::checker::Bounds;
use super::events::{Effect, KeyScope};
use super::relay::Fault;
use super::slow_start::SlowStartLimit;
use crate::member::{AnswerStatus, Behaviour, PositionPolicy, WhenBehind};
use crate::proxy::CLASSES;
use crate::registry::DiscoveryBehaviour;
use crate::shim::{CallFault, DiskError};
use std::fmt::{self, Display};
use std::time::Duration;

/// Maximum number of proxies in a scenario. The machine usually allows fewer.
pub const PROXIES_MAX: u32 = 2_048;
/// Maximum number of members in a scenario.
const MEMBERS_MAX: u32 = 6_400;
/// Requests that wait at a member for a slot, where the scenario does not say.
const QUEUE_DEFAULT: usize = 4_096;
/// Percentage of writes in the load, where the scenario does not say.
const WRITES_DEFAULT: u32 = 6;

/// A selection of proxies or members.
#[derive(Debug, Clone, PartialEq)]
pub enum Who {
    /// All.
    All,
    /// A random selection of this percentage.
    Share(u32),
    /// The given numbers, starting at 1.
    These(Vec<u32>),
}

impl Who {
    /// The selected numbers out of `1..=all`. `seed` determines a random selection.
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

/// Damage to the folder in which a proxy stores its state, done while the proxy is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreDamage {
    /// The folder is deleted.
    Wiped,
    /// The folder is copied.
    Kept,
    /// The copy replaces the folder.
    RolledBack,
    /// The newest file is truncated to this part of its length, in parts of 1,000.
    Torn(u32),
    /// One bit of the newest file is flipped.
    Flipped,
    /// The folder becomes read-only.
    ReadOnly,
    /// The folder becomes writable again.
    Writable,
}

/// A step of the time line. Its `Debug` form is recorded in the event log.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Processes get SIGKILL, each at a random time within this span.
    Kill(Who, Duration),
    /// Processes get SIGTERM, each at a random time within this span.
    Term(Who, Duration),
    /// Processes get SIGTERM and several more signals, are killed at the earliest time that the platform allows,
    /// and start again.
    End(Who, Duration),
    /// Processes that are down are started, each at a random time within this span.
    Start(Who, Duration),
    /// Processes are stopped by SIGSTOP for this long.
    Stop(Who, Duration),
    /// Processes get SIGHUP, which makes them reload their configuration, each at a random time within this span.
    Hup(Who, Duration),
    /// The stores of proxies are damaged.
    Harm(Who, StoreDamage),
    /// An operator makes this console call.
    Console(Who, String),
    /// Sets the fault of the links between proxies and members.
    Link(Who, Who, Fault),
    /// Sets the fault of the links between proxies and discovery.
    ListLink(Who, Fault),
    /// Sets the fault of the links between clients and proxies.
    ClientLink(Who, Fault),
    /// Sets the fault of the links from the first proxies to the second ones, in this direction only.
    Speak(Who, Who, Fault),
    /// A proxy proposes the settings with a new value at this JSON pointer.
    Propose(u32, String, String),
    /// The same after all earlier changes have completed. The step ends when all proxies apply this change alone.
    ProposeInTurn(u32, String, String),
    /// Sets how members treat statements.
    Does(Who, Behaviour),
    /// A member becomes the primary of its group, and the former primary a replica.
    Primary(u32),
    /// Members go down and lose their connections.
    MemberDown(Who),
    /// Members come up again, newly started and cold.
    MemberUp(Who),
    /// Sets how discovery misbehaves.
    Ill(DiscoveryBehaviour),
    /// Discovery reports a new state of a member.
    Lists(u32, String),
    /// Discovery answers all watches with the whole list, although nothing has changed.
    WholeList,
    /// Discovery reports, in one change, that this percentage of the members has left and that as many spare
    /// members have started. Primaries stay.
    Replace(u32),
    /// Switches the failures of system calls, which the scenario's `calls` lines configure, on or off.
    CallsFail(Who, bool),
    /// Sets the offset of the proxies' wall clocks, in us.
    ClockStep(Who, i64),
    /// Sets the error of writes to the proxies' stores; `None`: writes succeed again.
    Disk(Who, Option<DiskError>),
}

impl Step {
    /// Whether the step ends only when a change of the rules that proxies agree on has completed.
    pub fn changes_rules(&self) -> bool {
        match self {
            Step::ProposeInTurn(..) => true,
            Step::Console(_, call) => call.starts_with("FLEET"),
            _ => false,
        }
    }
}

/// The setup of the members.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberSetup {
    /// Number of members.
    pub members: u32,
    /// Number of further members that start with the others and are not listed until they replace some of them.
    pub spare: u32,
    /// Number of groups.
    pub groups: u32,
    /// Requests that a member processes at once.
    pub slots: usize,
    /// Minimum and maximum service time of a request.
    pub work: (Duration, Duration),
    /// Service time of a write, as a multiple of that of a read.
    pub write_work: f64,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Service time of a connection handshake.
    pub handshake: Duration,
    /// Maximum number of connections; 0: unlimited.
    pub max_connections: usize,
    /// Share of the capacity after a start, and the time until the member is warm.
    pub cold: Option<(f64, Duration)>,
    /// Whether the members have their full capacity at the start of the run.
    pub warm_at_start: bool,
    /// Replication lag of the replicas.
    pub lag: Duration,
    /// How members treat positions.
    pub positions: PositionPolicy,
}

/// How clients retry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryHabits {
    /// Maximum number of retries of one request.
    pub max: u32,
    /// Whether they mark their retries.
    pub marked: bool,
    /// They retry refusals, and failures of reads that may be repeated, after this time. `None`: only refusals with a
    /// retry delay, after that delay.
    pub every: Option<Duration>,
}

impl Default for RetryHabits {
    fn default() -> Self {
        RetryHabits { max: 3, marked: true, every: None }
    }
}

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Script {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: u32,
    /// Number of proxies according to the settings.
    pub announced_proxies: u32,
    /// Setup of the members.
    pub member_setup: MemberSetup,
    /// Calls per second that discovery answers (0: unlimited), and the maximum number of waiting calls.
    pub list_capacity: (f64, usize),
    /// Whether the configuration contains the member list when a proxy starts.
    pub list_configured: bool,
    /// Minimum time between two snapshots of a proxy's store; `None`: proxies store nothing.
    pub store: Option<Duration>,
    /// Number of voters among the proxies; 0: the proxies do not agree on their rules.
    pub voters: u32,
    /// System calls of the proxies that fail, each on average once in this many calls.
    pub calls: Vec<(CallFault, u32)>,
    /// The effect of a repeat, by class.
    pub effects: [Effect; CLASSES.len()],
    /// Session reads carry the last commit of their session; otherwise the proxies remember it.
    pub sessions_carried: bool,
    /// Requests per second, and the number of clients that send them.
    pub load: (f64, u32),
    /// Percentage of writes among those requests.
    pub write_percent: u32,
    /// How clients retry.
    pub retry_habits: RetryHabits,
    /// The multiple of its present capacity that a cold member may get.
    pub fall_multiple: f64,
    /// The window over which that counts.
    pub fall_window: Duration,
    /// The share of a processor that each proxy gets; `None`: as much as it uses.
    pub processor_share: Option<f64>,
    /// Percentage of requests whose clients disconnect before the answer.
    pub leaving_percent: u32,
    /// Number of clients that send incomplete messages.
    pub bad_clients: u32,
    /// Number of clients that connect and send no requests.
    pub idle_clients: u32,
    /// Number of clients that connect to one proxy at once in each surge, each with one request.
    pub surge_clients: u32,
    /// Descriptor budget of a proxy.
    pub sockets: u64,
    /// Duration of the run.
    pub end: Duration,
    /// Whether loads on members in slow start are judged by the platform's budget.
    pub judges_slow_start: bool,
    /// Limits for the checker.
    pub bounds: Bounds,
    /// Maximum time to full service; `None`: the time is reported but not judged.
    pub full_service_max: Option<Duration>,
    /// The steps with their times, in order.
    pub steps: Vec<(Duration, Step)>,
}

impl Default for Script {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Script {
            seed: 1,
            proxies: 3,
            announced_proxies: 0,
            member_setup: MemberSetup {
                members: 4,
                spare: 0,
                groups: 1,
                slots: 4,
                work: (ms(20), ms(40)),
                write_work: 1.0,
                queue: QUEUE_DEFAULT,
                handshake: ms(15),
                max_connections: 0,
                cold: None,
                warm_at_start: false,
                lag: ms(5),
                positions: PositionPolicy::default(),
            },
            list_capacity: (0.0, 64),
            list_configured: true,
            store: None,
            voters: 0,
            calls: Vec::new(),
            effects: [Effect::Safe, Effect::Safe, Effect::Safe, Effect::Unsafe],
            sessions_carried: true,
            load: (60.0, 24),
            write_percent: WRITES_DEFAULT,
            retry_habits: RetryHabits::default(),
            fall_multiple: 2.0,
            fall_window: ms(1_500),
            processor_share: None,
            leaving_percent: 0,
            bad_clients: 0,
            idle_clients: 0,
            surge_clients: 0,
            sockets: 1024,
            end: ms(5_000),
            judges_slow_start: false,
            bounds: Bounds::default(),
            full_service_max: None,
            steps: Vec::new(),
        }
    }
}

/// An error in a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScriptError {
    /// The line number, starting at 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl Display for ScriptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

fn number<T: std::str::FromStr>(word: &str) -> Result<T, String> {
    word.parse().map_err(|_| format!("'{word}' is not a number in the allowed range"))
}

fn ms(word: &str) -> Result<Duration, String> {
    number(word).map(Duration::from_millis)
}

/// Parses an optional `within MS`.
fn within(words: &[&str]) -> Result<Duration, String> {
    match words {
        [] => Ok(Duration::ZERO),
        ["within", span] => ms(span),
        _ => Err(format!("expected 'within MS' or nothing, found '{}'", words.join(" "))),
    }
}

/// Parses a selection: `proxies`, `members`, `75%`, `p3,p7` or `m2`.
fn who(word: &str, all: &str, letter: char) -> Result<Who, String> {
    if word == all {
        return Ok(Who::All);
    }
    if let Some(percent) = word.strip_suffix('%') {
        return number(percent).and_then(|n| match n {
            1..=100 => Ok(Who::Share(n)),
            _ => Err(format!("'{word}' is not a percentage from 1 to 100")),
        });
    }
    let number_of = |name: &str| match name.strip_prefix(letter).map(number) {
        Some(Ok(n @ 1..)) => Ok(n),
        _ => Err(format!(
            "'{name}' does not select {all}: expected '{all}', a share like 75%, or {letter}1,{letter}2"
        )),
    };
    word.split(',').map(number_of).collect::<Result<_, _>>().map(Who::These)
}

fn proxies(word: &str) -> Result<Who, String> {
    who(word, "proxies", 'p')
}

fn members(word: &str) -> Result<Who, String> {
    who(word, "members", 'm')
}

/// Whether a word selects members rather than proxies.
fn is_members(word: &str) -> bool {
    word == "members" || word.starts_with('m')
}

impl Script {
    /// Parses a scenario.
    ///
    /// # Errors
    /// All errors of the scenario, by line.
    pub fn read(text: &str) -> Result<Self, Vec<ScriptError>> {
        let (mut script, mut errors) = (Script::default(), Vec::new());
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            let words: Vec<&str> = line.split_whitespace().collect();
            if let Err(what) = script.parse_line(&words) {
                errors.push(ScriptError { line: n + 1, what });
            }
        }
        script.bounds.slow_start = script.judges_slow_start.then(|| script.slow_start_limit());
        if script.announced_proxies == 0 {
            script.announced_proxies = script.proxies;
        }
        if let Err(what) = script.validate() {
            errors.push(ScriptError { line: text.lines().count(), what });
        }
        script.steps.sort_by_key(|(at, _)| *at);
        if errors.is_empty() {
            Ok(script)
        } else {
            Err(errors)
        }
    }

    fn parse_line(&mut self, words: &[&str]) -> Result<(), String> {
        match words {
            [] => {}
            ["at", at, rest @ ..] => self.steps.push((ms(at)?, step(rest)?)),
            ["seed", n] => self.seed = number(n)?,
            ["proxies", n] => self.proxies = number(n)?,
            ["proxies", n, "told", told] => {
                (self.proxies, self.announced_proxies) = (number(n)?, number(told)?)
            }
            ["members", n, rest @ ..] => {
                self.member_setup.members = number(n)?;
                self.member_setup.describe(rest)?;
            }
            ["list", "rate", rate] => self.list_capacity.0 = number(rate)?,
            ["list", "rate", rate, "queue", queue] => self.list_capacity = (number(rate)?, number(queue)?),
            ["known", "old"] => self.list_configured = true,
            ["known", "lost"] => self.list_configured = false,
            ["store", "every", span] => self.store = Some(ms(span)?),
            ["agree", "voters", n] => self.voters = number(n)?,
            ["class", name, effect @ ..] => self.effects[read_class(name)?] = self::effect(effect)?,
            ["sessions", "carried"] => self.sessions_carried = true,
            ["sessions", "remembered"] => self.sessions_carried = false,
            ["load", rate, "clients", n, rest @ ..] => {
                self.load = (number(rate)?, number(n)?);
                self.write_percent = write_percent(rest)?;
            }
            ["clients", "retry", max, rest @ ..] => self.retry_habits = retry_habits(max, rest)?,
            ["fall", multiple, window] => {
                (self.fall_multiple, self.fall_window) = (number(multiple)?, ms(window)?);
                self.judges_slow_start = true;
            }
            ["calls", name, "1", "in", every] => self.calls.push((call(name)?, number(every)?)),
            ["share", share] => {
                let share = number(share)?;
                let valid = Some(share).filter(|share| (0.0..=1.0).contains(share) && *share > 0.0);
                self.processor_share = Some(valid.ok_or("the share must be above 0 and at most 1")?);
            }
            ["clients", "leave", percent] => self.leaving_percent = number(percent)?,
            ["clients", "idle", n] => {
                self.idle_clients = number(n)?;
                self.bounds.descriptors_exhausted |= self.idle_clients > 0;
            }
            ["clients", "surge", n] => {
                self.surge_clients = number(n)?;
                self.bounds.descriptors_exhausted |= self.surge_clients > 0;
            }
            ["sockets", n] => self.sockets = number(n)?,
            ["clients", "bad", n] => self.bad_clients = number(n)?,
            ["end", at] => self.end = ms(at)?,
            ["bound", "full", span] => self.full_service_max = Some(ms(span)?),
            ["bound", what, n] => self.bound(what, n)?,
            ["hands", "kept"] => self.bounds.suspensions_kept = true,
            _ => return Err(format!("unknown statement: '{}'", words.join(" "))),
        }
        Ok(())
    }

    fn bound(&mut self, what: &str, n: &str) -> Result<(), String> {
        let bounds = &mut self.bounds;
        match what {
            "late" => bounds.late = number::<u64>(n)? * 1000,
            "patience" => bounds.machine_slack = number::<u64>(n)? * 1000,
            "drain" => bounds.drain = number::<u64>(n)? * 1000,
            "cold" => bounds.cold = number(n)?,
            "opened" => bounds.opened = Some(number(n)?),
            "probed" => bounds.probed = Some(number(n)?),
            "unanswered" => bounds.unanswered = Some(number(n)?),
            "whole" => bounds.whole_lists = Some(number(n)?),
            _ => return Err(format!("unknown bound '{what}'")),
        }
        Ok(())
    }

    /// What the platform allows a member in slow start under this load.
    fn slow_start_limit(&self) -> SlowStartLimit {
        let (writes, write_work) = (f64::from(self.write_percent) / 100.0, self.member_setup.write_work);
        SlowStartLimit {
            multiple: self.fall_multiple,
            window: self.fall_window.as_micros() as u64,
            write_work,
            mean_work: 1.0 + writes * (write_work - 1.0),
        }
    }

    fn validate(&self) -> Result<(), String> {
        let MemberSetup { members, spare, groups, slots, work, .. } = self.member_setup;
        for (valid, what) in [
            ((1..=PROXIES_MAX).contains(&self.proxies), format!("1 to {PROXIES_MAX} proxies are possible")),
            (
                members >= 1 && members.saturating_add(spare) <= MEMBERS_MAX,
                format!("1 to {MEMBERS_MAX} members are possible, with the spare ones"),
            ),
            (
                groups >= 1 && groups <= members,
                "there must be 1 or more groups, each with a member".to_string(),
            ),
            (
                slots > 0 && work.0 <= work.1,
                "members need slots, and minimum work up to the maximum".to_string(),
            ),
            (
                self.voters == 0
                    || self.voters % 2 == 1 && self.voters <= self.proxies && self.store.is_some(),
                "voters must be an odd number of the proxies, and need a store".to_string(),
            ),
            (self.load.0 > 0.0 && self.load.1 > 0, "load and clients must be above 0".to_string()),
            (
                self.steps.iter().all(|(at, _)| *at <= self.end),
                "a step lies behind the end of the run".to_string(),
            ),
        ] {
            if !valid {
                return Err(what);
            }
        }
        let all_exist =
            |who: &Who, limit: u32| !matches!(who, Who::These(these) if these.iter().any(|n| *n > limit));
        let names_existing = |step: &Step| match step {
            Step::Kill(w, _) | Step::Term(w, _) | Step::Start(w, _) | Step::Stop(w, _) | Step::Hup(w, _) => {
                all_exist(w, self.proxies)
            }
            Step::End(w, _) => all_exist(w, self.proxies),
            Step::CallsFail(w, _) | Step::ClockStep(w, _) | Step::Disk(w, _) => all_exist(w, self.proxies),
            Step::Harm(w, _) | Step::Console(w, _) | Step::ListLink(w, _) | Step::ClientLink(w, _) => {
                all_exist(w, self.proxies)
            }
            Step::Link(p, m, _) => all_exist(p, self.proxies) && all_exist(m, members),
            Step::Speak(p, q, _) => {
                all_exist(p, self.proxies) && all_exist(q, self.proxies) && self.voters > 0
            }
            Step::Propose(p, ..) | Step::ProposeInTurn(p, ..) => {
                (1..=self.proxies).contains(p) && self.voters > 0
            }
            Step::Does(m, _) | Step::MemberDown(m) | Step::MemberUp(m) => all_exist(m, members),
            Step::Primary(m) | Step::Lists(m, _) => *m <= members,
            Step::Replace(percent) => percent * members / 100 <= self.member_setup.spare,
            Step::Ill(_) | Step::WholeList => true,
        };
        match self.steps.iter().find(|(_, step)| !names_existing(step)) {
            Some((at, _)) => Err(format!(
                "the step at {} ms names a proxy or member that is not there, or needs voters or more spare members",
                at.as_millis()
            )),
            None => Ok(()),
        }
    }
}

impl MemberSetup {
    fn describe(&mut self, words: &[&str]) -> Result<(), String> {
        let rest = match words {
            [] => return Ok(()),
            ["spare", n, rest @ ..] => {
                self.spare = number(n)?;
                rest
            }
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
            ["writes", work, rest @ ..] => {
                self.write_work = number(work)?;
                rest
            }
            ["queue", n, rest @ ..] => {
                self.queue = number(n)?;
                rest
            }
            ["handshake", span, rest @ ..] => {
                self.handshake = ms(span)?;
                rest
            }
            ["most", n, rest @ ..] => {
                self.max_connections = number(n)?;
                rest
            }
            ["cold", share, warm, rest @ ..] => {
                let share: f64 = number(share)?;
                let share = Some(share)
                    .filter(|s| *s > 0.0 && *s <= 1.0)
                    .ok_or("the share must be above 0 and at most 1")?;
                self.cold = Some((share, ms(warm)?));
                rest
            }
            ["warm", rest @ ..] => {
                self.warm_at_start = true;
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
            _ => return Err(format!("unknown property of members: '{}'", words.join(" "))),
        };
        self.describe(rest)
    }
}

fn step(words: &[&str]) -> Result<Step, String> {
    let rest = |n: usize| words[n..].join(" ");
    Ok(match words {
        ["list", "does", state @ ("active" | "leaving" | "left"), member] => match members(member)? {
            Who::These(these) if these.len() == 1 => Step::Lists(these[0], state.to_string()),
            _ => return Err("discovery changes the state of one member at a time".to_string()),
        },
        ["list", "does", "whole"] => Step::WholeList,
        ["list", "does", "replace", share] => match members(share)? {
            Who::Share(percent) => Step::Replace(percent),
            _ => return Err("discovery replaces a share of the members, like 33%".to_string()),
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
                _ => return Err("exactly one proxy must be named to propose".to_string()),
            }
        }
        [of, "link", to, ..] if words.len() > 3 => Step::Link(proxies(of)?, members(to)?, rest(3).parse()?),
        [of, "console", ..] if words.len() > 2 => Step::Console(proxies(of)?, rest(2)),
        [of, "does", "down"] => Step::MemberDown(members(of)?),
        [of, "does", "up"] => Step::MemberUp(members(of)?),
        [of, "does", "primary"] => match members(of)? {
            Who::These(these) if these.len() == 1 => Step::Primary(these[0]),
            _ => return Err("exactly one member must be named as primary".to_string()),
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
        [of, "store", damage @ ..] => Step::Harm(proxies(of)?, self::damage(damage)?),
        _ => return Err(format!("unknown statement: '{}'", words.join(" "))),
    })
}

/// The index of a class of reads. The effect of writes cannot be configured: they are always unsafe.
fn read_class(name: &str) -> Result<usize, String> {
    let reads = &CLASSES[..CLASSES.len() - 1];
    reads
        .iter()
        .position(|(class, ..)| *class == name)
        .ok_or_else(|| format!("no class of reads is named '{name}'"))
}

/// Parses an optional `writes PERCENT`.
fn write_percent(words: &[&str]) -> Result<u32, String> {
    match words {
        [] => Ok(WRITES_DEFAULT),
        ["writes", percent] => match number(percent)? {
            percent @ 0..=100 => Ok(percent),
            _ => Err(format!("'{percent}' is not a percentage")),
        },
        _ => Err(format!("expected 'writes PERCENT' or nothing, found '{}'", words.join(" "))),
    }
}

/// Parses `MAX [unmarked] [every MS]`.
fn retry_habits(max: &str, words: &[&str]) -> Result<RetryHabits, String> {
    let (marked, words) = match words {
        ["unmarked", rest @ ..] => (false, rest),
        rest => (true, rest),
    };
    let every = match words {
        [] => None,
        ["every", span] => Some(ms(span)?),
        _ => return Err(format!("expected 'every MS' or nothing, found '{}'", words.join(" "))),
    };
    Ok(RetryHabits { max: number(max)?, marked, every })
}

fn effect(words: &[&str]) -> Result<Effect, String> {
    let scope = |word: &str| match word {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        _ => Err(format!("unknown key scope '{word}'")),
    };
    Ok(match words {
        ["safe"] => Effect::Safe,
        ["unsafe"] => Effect::Unsafe,
        ["keyed", word, span] => Effect::Keyed { scope: scope(word)?, window: ms(span)?.as_micros() as u64 },
        _ => return Err(format!("unknown effect '{}'", words.join(" "))),
    })
}

fn call(name: &str) -> Result<CallFault, String> {
    CallFault::ALL
        .into_iter()
        .find(|call| call.name() == name)
        .ok_or_else(|| format!("unknown system call '{name}'"))
}

fn damage(words: &[&str]) -> Result<StoreDamage, String> {
    Ok(match words {
        ["wiped"] => StoreDamage::Wiped,
        ["kept"] => StoreDamage::Kept,
        ["back"] => StoreDamage::RolledBack,
        ["torn", part] => match number(part)? {
            part @ 0..=1000 => StoreDamage::Torn(part),
            _ => return Err(format!("'{part}' is above 1000")),
        },
        ["flipped"] => StoreDamage::Flipped,
        ["readonly"] => StoreDamage::ReadOnly,
        ["writable"] => StoreDamage::Writable,
        _ => return Err(format!("unknown store damage '{}'", words.join(" "))),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scenarios_may_have_1200_proxies_and_members_and_no_more_than_the_maximum() {
        for n in [1_200, PROXIES_MAX] {
            let read = Script::read(&format!("proxies {n}\nmembers {n}\n")).expect("a world");
            assert_eq!((read.proxies, read.member_setup.members), (n, n));
        }
        assert!(Script::read(&format!("proxies {}\n", PROXIES_MAX + 1)).is_err());
        assert!(Script::read(&format!("members {}\n", MEMBERS_MAX + 1)).is_err());
    }

    #[test]
    fn a_scenario_with_all_kinds_of_lines_is_parsed() {
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
        let script = Script::read(text).expect("a valid scenario");
        assert_eq!(
            (script.seed, script.proxies, script.announced_proxies, script.list_configured),
            (7, 24, 96, false)
        );
        assert_eq!(
            (script.member_setup.groups, script.member_setup.max_connections, script.list_capacity),
            (2, 64, (20.0, 100))
        );
        assert_eq!(script.member_setup.cold, Some((0.2, Duration::from_millis(9000))));
        assert_eq!((script.bounds.opened, script.bounds.suspensions_kept), (Some(12), true));
        assert_eq!(script.full_service_max, Some(Duration::from_millis(1300)));
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
    fn effects_and_position_handling_are_parsed_and_unknown_words_are_errors() {
        let text = "members 4 lag 20 mute behind wait 30\nsessions remembered\nclass my-booking unsafe\n\
            class yard-board keyed cell 400";
        let script = Script::read(text).expect("a valid scenario");
        let waits = WhenBehind::Waits(Duration::from_millis(30));
        assert_eq!(
            script.member_setup.positions,
            PositionPolicy { when_behind: waits, answer_status: AnswerStatus::Nothing }
        );
        let tells_role =
            Script::read("members 4 tells role behind off").expect("a valid scenario").member_setup.positions;
        assert_eq!(
            tells_role,
            PositionPolicy { when_behind: WhenBehind::Answers, answer_status: AnswerStatus::RoleAndCommit }
        );
        let keyed = Effect::Keyed { scope: KeyScope::Cell, window: 400_000 };
        assert_eq!(script.effects, [keyed, Effect::Unsafe, Effect::Safe, Effect::Unsafe]);
        assert!(!script.sessions_carried);
        for text in [
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
            assert!(Script::read(text).is_err(), "{text}");
        }
    }

    #[test]
    fn all_errors_are_reported_with_their_lines() {
        let text = "proxies 3\nproxies many\nbound tea 3\nat 10 p9 does kill\nat x proxies does kill\n\
            at 10 proxies does kill soon\nat 20 m1 does sing\nat 30 proxies link m1 loud\nmembers 4 tall\n\
            at 40 0% does kill\nat 40 proxies store torn 2000\nat 9999 proxies does kill";
        let errors = Script::read(text).expect_err("an invalid scenario");
        let lines: Vec<usize> = errors.iter().map(|w| w.line).collect();
        assert_eq!(lines, [2, 3, 5, 6, 7, 8, 9, 10, 11, 12], "{errors:?}");
        assert!(errors[9].what.contains("behind the end"), "{}", errors[9]);
        let none = Script::read("proxies 3\nat 10 p9 does kill").expect_err("there is no p9");
        assert!(none[0].what.contains("not there"), "{}", none[0]);
    }

    #[test]
    fn random_selections_have_the_right_size_and_depend_only_on_the_seed() {
        assert_eq!(Who::Share(75).of(24, 3).len(), 18);
        assert_eq!(Who::Share(1).of(24, 3).len(), 1);
        assert_eq!(Who::Share(50).of(24, 3), Who::Share(50).of(24, 3));
        assert_ne!(Who::Share(50).of(24, 3), Who::Share(50).of(24, 4));
        assert_eq!(Who::These(vec![2, 9]).of(4, 1), [2]);
        assert_eq!(Who::All.of(3, 1), [1, 2, 3]);
    }
}
