//! Judges a run by its log alone: whatever the proxies are made of, these rules hold or they do not. One pass over the
//! events in their order; what is measured on the way is told beside the breaches.

use super::events::{Effect, Event, EventKind, Micros, ReadGuarantee, RequestEnd};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Span in which new connections at one member are counted.
pub const OPENED_SPAN: Micros = 250_000;
/// Span in which probes of all members are counted.
pub const PROBED_SPAN: Micros = 4_000_000;
/// A cold member's work counts together over this.
pub const COLD_SPAN: Micros = 1_500_000;
/// Statements that a cold member may have in a span whatever its rate: single trials.
const COLD_FEW: f64 = 4.0;
/// When the machine stands still for so long, time limits run out that no party has let run out.
const STANDSTILL: Micros = 1_000_000;
/// What clocks of one machine may be apart, and how long a statement may be on its way to a member.
const CLOCKS: Micros = 10_000;
const ON_THE_WAY: Micros = 150_000;
/// An attempt may begin so long after its client has closed its connection.
const LEFT_MAX: Micros = 100_000;
/// The time that a statement names may be so much longer than what its client has left.
const DEADLINE_SLACK: Micros = 150_000;
/// A client that begins something and does not end it gets an error or a close within this, and what clocks and a busy
/// machine may add.
const UNFINISHED_MAX: Micros = 3_000_000;
const UNFINISHED_SLACK: Micros = 1_000_000;
/// What comes to a process later than this after it was told to end must have its answer before the kill.
const TAKEN_AFTER_END: Micros = 700_000;
/// Breaches told of each rule; the others are counted.
const TOLD: usize = 5;

/// What must hold, as numbers.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// A final answer may come so long after the client's time.
    pub late: Micros,
    /// Nothing new reaches a member so long after it was told to be draining or said to be out.
    pub drain: Micros,
    /// Idle clients fill the descriptors: a new connection may be shut unread.
    pub crowded: bool,
    /// The operators' word on a member outlasts the process that it was said to.
    pub suspensions_kept: bool,
    /// Added to all limits on time that no other bound sets: for machines of any speed.
    pub patience: Micros,
    /// A cold member gets at most so many times what it can do.
    pub cold: f64,
    /// New connections at one member in any 250 ms after the first fault.
    pub opened: Option<u64>,
    /// Probes of all members in any 4 s after the first fault.
    pub probed: Option<u64>,
    /// Calls that discovery could not answer.
    pub unanswered: Option<u64>,
    /// Calls of one process for the whole list.
    pub whole_lists: Option<u64>,
}

impl Default for Bounds {
    /// The rules of the platform, and no bounds on sums.
    fn default() -> Self {
        Bounds {
            late: 500_000,
            drain: 500_000,
            crowded: false,
            suspensions_kept: false,
            patience: 0,
            cold: 4.0,
            opened: None,
            probed: None,
            unanswered: None,
            whole_lists: None,
        }
    }
}

/// The rules, each by the name that scenarios and reports have for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One final answer each, in time.
    Answer,
    /// Nothing runs more often than its class allows, or is told as refused when that promises too much.
    Once,
    /// No read older than its class allows.
    Stale,
    /// Nothing new to a draining member.
    Drain,
    /// Nothing new to a member that is out by hand.
    Hand,
    /// No cold member pushed over.
    Cold,
    /// New connections at one member.
    Opened,
    /// Probes.
    Probed,
    /// Calls that discovery could not answer.
    Unanswered,
    /// Whole lists.
    Whole,
    /// Nothing begins for a client that has gone.
    Left,
    /// No member is told of more time than the client has.
    Deadline,
    /// Who does not end what it began gets an error or a close in time.
    Unfinished,
    /// A process has found that a decision of its own would have broken a rule.
    Invariant,
    /// A process ends by itself.
    Crash,
    /// Full service comes too late.
    Full,
    /// Two act by versions that contradict each other.
    Agree,
    /// A statement comes from one whose lease has run out.
    Lease,
    /// The log itself cannot be true, or is not whole.
    Log,
}

/// One breach.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// Of which rule.
    pub rule: Rule,
    /// When it was seen.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

/// The most that was seen, before the first fault and after it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peaks {
    /// New connections at one member in 250 ms.
    pub opened: u64,
    /// Probes of all members in 4 s.
    pub probed: u64,
    /// Calls at discovery in a second.
    pub called: u64,
}

/// What a run has shown.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// The first breaches of each rule.
    pub breaches: Vec<Breach>,
    /// How many there were, by rule.
    pub counts: BTreeMap<Rule, u64>,
    /// Peaks before the first fault, and after.
    pub peaks: [Peaks; 2],
    /// Calls that discovery could not answer.
    pub unanswered: u64,
    /// Requests asked.
    pub asked: u64,
}

impl Verdict {
    /// Takes in a breach.
    pub(super) fn breach(&mut self, rule: Rule, at: Micros, what: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= TOLD as u64 {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    /// Whether all rules were kept.
    pub fn passed(&self) -> bool {
        self.counts.is_empty()
    }
}

struct Asked {
    at: Micros,
    proxy: u32,
    key: String,
    writes: Option<u64>,
    shows: ReadGuarantee,
    wait: Micros,
    /// When its last byte was written, and when its client went.
    sent: Option<Micros>,
    /// It is the first on its connection.
    first: bool,
    left: Option<Micros>,
    ended: Option<Micros>,
    /// A member has got it, so that its proxy has read it.
    given: bool,
    /// What a repeat may do; none where the log does not tell.
    effect: Option<Effect>,
    /// Attempts that members have got and not turned away, in their order.
    may_have_run: Vec<Attempt>,
    /// Its client was told to try again.
    refused: bool,
}

/// An attempt that a member has got.
#[derive(Clone, Copy)]
struct Attempt {
    member: u32,
    at: Micros,
    /// The member has run it.
    ran: bool,
}

impl Asked {
    /// What the first attempt that may have run has done, for a breach.
    fn first_run(&self) -> Option<String> {
        let Attempt { member, at, ran } = *self.may_have_run.first()?;
        let what = if ran { "ran" } else { "may have run" };
        let ms = at.saturating_sub(self.at) / 1000;
        Some(format!("{} {what} at member {member}, given {ms} ms after it was asked", self.described()))
    }

    fn described(&self) -> &'static str {
        match self.effect {
            Some(Effect::Unsafe) => "an unsafe request that",
            Some(Effect::Keyed { .. }) => "a keyed request that",
            _ => "a safe request that",
        }
    }
}

/// A span in which a proxy was not there.
struct Gap {
    from: Micros,
    /// `Us::MAX` while it lasts.
    to: Micros,
    /// Stopped, so that the same process goes on later.
    stopped: bool,
}

#[derive(Default)]
struct Proxy {
    up: bool,
    /// When its process was started.
    began: Micros,
    /// When it was told to end, with a kill to come; and the kills.
    ending: Option<Micros>,
    ended: Vec<(Micros, Micros)>,
    gaps: Vec<Gap>,
    whole: u64,
    /// Members whose link holds back what is sent, and those whose link has done so up to a moment.
    held: HashMap<u32, Option<Micros>>,
    /// By which versions it acts, by kind and since when.
    acts: BTreeMap<String, (Vec<String>, Micros)>,
    draining: HashMap<u32, Micros>,
    out: HashMap<u32, Micros>,
}

struct Cold {
    since: Micros,
    share: f64,
    warm: Micros,
    rate: f64,
    given: VecDeque<Micros>,
    told: bool,
}

#[derive(Default)]
struct Key {
    /// Writes that ran, in the order of their commits.
    ran: Vec<(Micros, u64)>,
    /// Those that a client was told of, in the order of the telling.
    told: Vec<Told>,
}

/// A write that a client was told of.
struct Told {
    at: Micros,
    /// By which proxy.
    proxy: u32,
    /// Its place in the order of the commits.
    commit: usize,
}

impl Key {
    /// How many commits a read asked at a moment must show, by those told before it that count.
    fn told_before(&self, since: Micros, counts: impl Fn(&Told) -> bool) -> usize {
        let before = self.told.iter().filter(|told| told.at < since && counts(told));
        before.map(|told| told.commit + 1).max().unwrap_or(0)
    }
}

/// A sliding count.
#[derive(Default)]
struct Window(VecDeque<Micros>);

impl Window {
    fn see(&mut self, at: Micros, span: Micros) -> u64 {
        self.0.push_back(at);
        while self.0.front().is_some_and(|t| *t + span <= at) {
            self.0.pop_front();
        }
        self.0.len() as u64
    }
}

#[derive(Default)]
struct Judge {
    verdict: Verdict,
    asked: HashMap<u64, Asked>,
    proxies: HashMap<u32, Proxy>,
    ran: HashMap<u64, u32>,
    keys: HashMap<String, Key>,
    cold: HashMap<u32, Cold>,
    opened: HashMap<u32, Window>,
    probed: Window,
    called: Window,
    /// Over one bound a stretch of events is one breach, not one for each of them.
    over: HashSet<(Rule, u32)>,
    faulted: bool,
    /// Spans in which a proxy went by versions, with a lease or without: kind, proxy, versions, from, to.
    acted: Vec<(String, u32, Vec<String>, Micros, Micros)>,
    /// When each proxy that acts by leases could, by its own word: spans that do not touch.
    leases: HashMap<u32, Vec<(Micros, Micros)>>,
    /// Bad clients that are owed a close: where, and since when.
    begun: HashMap<u64, (u32, Micros)>,
    /// When the machine stood still, from and to.
    stalls: Vec<(Micros, Micros)>,
    /// When a proxy, or a thread of the rig (none), was ready to run and did not, from and to; spans do not overlap.
    delays: HashMap<Option<u32>, Vec<(Micros, Micros)>>,
}

/// When each party was delayed. One that was delayed again before it could be noted has one span for both.
fn delays(events: &[Event]) -> HashMap<Option<u32>, Vec<(Micros, Micros)>> {
    let mut delays: HashMap<Option<u32>, Vec<(Micros, Micros)>> = HashMap::new();
    for event in events {
        let (party, us) = match event.what {
            EventKind::Delayed { proxy, us } => (proxy, us),
            EventKind::Stall { us } => (None, us),
            _ => continue,
        };
        let spans = delays.entry(party).or_default();
        let began = event.at.saturating_sub(us).max(spans.last().map_or(0, |last| last.1));
        spans.push((began, event.at));
    }
    delays
}

fn overlap(spans: &[(Micros, Micros)], from: Micros, to: Micros) -> Micros {
    let of = |(began, ended): &(Micros, Micros)| (*ended).min(to).saturating_sub((*began).max(from));
    let first = spans.partition_point(|span| span.1 <= from);
    spans[first..].iter().take_while(|span| span.0 < to).map(of).sum()
}

/// Judges a whole run; `lost` events found no room in the log.
pub fn judge(events: &[Event], lost: u64, bounds: &Bounds) -> Verdict {
    // All of them first: who wakes from a standstill notes what it did in it before the rig notes that there was one.
    let stall = |e: &Event| match e.what {
        EventKind::Stall { us } => Some((e.at.saturating_sub(us), e.at)),
        _ => None,
    };
    let mut judge = Judge {
        stalls: events.iter().filter_map(stall).collect(),
        delays: delays(events),
        ..Judge::default()
    };
    // These too: what a process says is read by another thread than what members see.
    for event in events {
        if let EventKind::Leased { proxy, from, until } = event.what {
            let spans = judge.leases.entry(proxy).or_default();
            match spans.last_mut().filter(|(_, end)| from <= *end) {
                Some(last) => last.1 = last.1.max(until),
                None => spans.push((from, until)),
            }
        }
    }
    let mut last = 0;
    for event in events {
        if event.at < last {
            judge.verdict.breach(Rule::Log, event.at, "an event is older than the one before it".into());
        }
        last = event.at;
        judge.take(event.at, &event.what, bounds);
    }
    if lost > 0 {
        judge.verdict.breach(Rule::Log, last, format!("{lost} events found no room"));
    }
    judge.agree();
    judge.end(last, bounds);
    judge.verdict
}

impl Judge {
    fn take(&mut self, at: Micros, what: &EventKind, bounds: &Bounds) {
        match what {
            EventKind::Asked { id, proxy, key, writes, shows, effect, wait, .. } => {
                self.verdict.asked += 1;
                let asked = Asked {
                    at,
                    proxy: *proxy,
                    key: key.clone(),
                    writes: *writes,
                    shows: *shows,
                    wait: *wait,
                    sent: None,
                    first: false,
                    left: None,
                    ended: None,
                    given: false,
                    effect: *effect,
                    may_have_run: Vec::new(),
                    refused: false,
                };
                if self.asked.insert(*id, asked).is_some() {
                    self.verdict.breach(Rule::Log, at, format!("request {id} is asked twice"));
                }
            }
            EventKind::Sent { id, first } => {
                let asked = self.asked.get_mut(id);
                asked.into_iter().for_each(|asked| (asked.sent, asked.first) = (Some(at), *first));
            }
            EventKind::Left { id } => {
                self.asked
                    .get_mut(id)
                    .into_iter()
                    .for_each(|asked| (asked.left, asked.ended) = (Some(at), Some(at)));
            }
            EventKind::Allowed { id, wait } => self.allowed(at, *id, *wait, bounds.patience),
            EventKind::Begun { id, proxy } => drop(self.begun.insert(*id, (*proxy, at))),
            EventKind::Closed { id } => self.closed(at, *id, bounds.patience),
            EventKind::Ended { id, how, value } => self.ended(at, *id, *how, *value, bounds),
            EventKind::Given { member, id } => self.given(at, *member, *id, bounds),
            EventKind::Ran { member, id, key, value } => {
                self.ran_at(*member, *id);
                let runs = self.ran.entry(*id).or_default();
                *runs += 1;
                if *runs > 1 {
                    let what = format!("write {id} has run {runs} times, now at member {member}");
                    self.verdict.breach(Rule::Once, at, what);
                }
                self.keys.entry(key.clone()).or_default().ran.push((at, *value));
            }
            EventKind::ReadRan { member, id } => self.ran_at(*member, *id),
            EventKind::TurnedAway { member, id } => self.turned_away(*member, *id),
            EventKind::Opened { member } => {
                let seen = self.opened.entry(*member).or_default().see(at, OPENED_SPAN);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].opened;
                *peak = seen.max(*peak);
                let text = || format!("{seen} new connections at member {member} in 250 ms");
                self.bound(Rule::Opened, *member, at, seen, bounds.opened, text);
            }
            EventKind::Probed { .. } => {
                let seen = self.probed.see(at, PROBED_SPAN);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].probed;
                *peak = seen.max(*peak);
                self.bound(Rule::Probed, 0, at, seen, bounds.probed, || format!("{seen} probes in 4 s"));
            }
            EventKind::Cold { member, share, warm, rate } => {
                let (share, rate) = (*share as f64 / 1e3, *rate as f64);
                let cold = Cold { since: at, share, warm: *warm, rate, given: VecDeque::new(), told: false };
                self.cold.insert(*member, cold);
            }
            EventKind::Called { proxy, whole } => {
                let seen = self.called.see(at, 1_000_000);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].called;
                *peak = seen.max(*peak);
                let of = self.proxies.entry(*proxy).or_default();
                of.whole += u64::from(*whole);
                let n = of.whole;
                if *whole && bounds.whole_lists.is_some_and(|most| n > most) {
                    let what = format!("proxy {proxy} asks for the whole list for the {n}. time");
                    self.verdict.breach(Rule::Whole, at, what);
                }
            }
            EventKind::Unanswered { proxy } => {
                self.verdict.unanswered += 1;
                if bounds.unanswered.is_some_and(|most| self.verdict.unanswered > most) {
                    let what = format!("discovery could not answer proxy {proxy}");
                    self.verdict.breach(Rule::Unanswered, at, what);
                }
            }
            EventKind::Drains { proxy, member, on } => {
                let draining = &mut self.proxies.entry(*proxy).or_default().draining;
                match on {
                    true => drop(draining.entry(*member).or_insert(at)),
                    false => drop(draining.remove(member)),
                }
            }
            EventKind::Hand { proxy, member, out } => {
                let hands = &mut self.proxies.entry(*proxy).or_default().out;
                match out {
                    true => drop(hands.entry(*member).or_insert(at)),
                    false => drop(hands.remove(member)),
                }
            }
            EventKind::Exec { proxy } => {
                self.close(*proxy, None, at);
                let of = self.proxies.entry(*proxy).or_default();
                of.began = at;
                of.whole = 0;
                of.acts = BTreeMap::new();
                // What discovery told the last process, this one has to hear anew.
                of.draining.clear();
                if !bounds.suspensions_kept {
                    of.out.clear();
                }
            }
            EventKind::Serves { proxy } => {
                let of = self.proxies.entry(*proxy).or_default();
                of.up = true;
                of.gaps.iter_mut().filter(|g| g.to == Micros::MAX).for_each(|g| g.to = at);
            }
            EventKind::Link { proxy, member, well } => {
                let held = &mut self.proxies.entry(*proxy).or_default().held;
                if !well || held.contains_key(member) {
                    held.insert(*member, well.then_some(at));
                }
            }
            EventKind::Acts { proxy, kind, versions, since } => {
                self.close(*proxy, Some(kind), *since);
                let of = self.proxies.entry(*proxy).or_default();
                of.acts.insert(kind.clone(), (versions.clone(), *since));
            }
            EventKind::Resumed { proxy } => {
                let gaps = &mut self.proxies.entry(*proxy).or_default().gaps;
                gaps.iter_mut().filter(|g| g.to == Micros::MAX && g.stopped).for_each(|g| g.to = at);
            }
            EventKind::Ending { proxy } => {
                self.faulted = true;
                self.proxies.entry(*proxy).or_default().ending = Some(at);
            }
            EventKind::Down { proxy, stopped } => {
                self.faulted = true;
                if !stopped {
                    self.killed(at, *proxy);
                }
                let gap = Gap { from: at, to: Micros::MAX, stopped: *stopped };
                self.proxies.entry(*proxy).or_default().gaps.push(gap);
            }
            // Taken in before all else.
            EventKind::Stall { .. } | EventKind::Delayed { .. } | EventKind::Leased { .. } => {}
            // Nobody can keep to a word that is lost.
            EventKind::Wiped { proxy } => self.proxies.entry(*proxy).or_default().out.clear(),
            EventKind::Fault(_) => self.faulted = true,
        }
    }

    /// A process that was told to end is killed, or has ended: what was sent to it long after it was told, and what it read, must
    /// have had its answer.
    fn killed(&mut self, at: Micros, proxy: u32) {
        let Some(of) = self.proxies.get_mut(&proxy) else { return };
        let Some(told) = of.ending.take() else { return };
        of.ended.push((told, at));
        let late = |a: &Asked| {
            (a.given || a.first)
                && a.ended.is_none()
                && a.sent.is_some_and(|sent| sent > told + TAKEN_AFTER_END)
        };
        let found = self
            .asked
            .iter()
            .filter(|(_, a)| a.proxy == proxy && late(a))
            .map(|(id, a)| (*id, a.sent.unwrap_or(at)));
        let mut found: Vec<(u64, Micros)> = found.filter(|(_, sent)| self.stood(*sent, at) == 0).collect();
        found.sort_unstable();
        for (id, sent) in found {
            let what = format!("the kill finds request {id} at proxy {proxy} unanswered, sent {} ms after it was told to end", (sent - told) / 1000);
            self.verdict.breach(Rule::Answer, at, what);
        }
    }

    /// A sum over its bound, once the first fault has come; told anew only after it was within it again.
    fn bound(
        &mut self,
        rule: Rule,
        of: u32,
        at: Micros,
        seen: u64,
        most: Option<u64>,
        text: impl FnOnce() -> String,
    ) {
        let Some(most) = most.filter(|_| self.faulted) else { return };
        if seen <= most {
            self.over.remove(&(rule, of));
        } else if self.over.insert((rule, of)) {
            self.verdict.breach(rule, at, text());
        }
    }

    /// For how long of a span the machine stood still: no proxy can be blamed for that.
    fn stood(&self, from: Micros, to: Micros) -> Micros {
        overlap(&self.stalls, from, to)
    }

    /// For how long of a span the machine kept the rig, and then the proxy, from running.
    fn delayed(&self, proxy: u32, from: Micros, to: Micros) -> Micros {
        let of = |party| self.delays.get(&party).map_or(0, |spans| overlap(spans, from, to));
        of(None) + of(Some(proxy))
    }

    fn ended(&mut self, at: Micros, id: u64, how: RequestEnd, value: u64, bounds: &Bounds) {
        let since = self.asked.get(&id).map_or(at, |a| a.at);
        let stood = self.stood(since, at);
        let Some(asked) = self.asked.get_mut(&id) else {
            self.verdict.breach(Rule::Log, at, format!("request {id} ends, and nobody asked it"));
            return;
        };
        if asked.ended.replace(at).is_some() {
            self.verdict.breach(Rule::Answer, at, format!("request {id} got two answers"));
            return;
        }
        let (proxy, until) = (asked.proxy, since + asked.wait + bounds.late + stood);
        asked.refused = how == RequestEnd::Refused;
        let harmless = asked.effect.is_none_or(Effect::may_be_refused_after_a_run);
        if let Some(run) = asked.first_run().filter(|_| asked.refused && !harmless) {
            let what = format!("request {id} at proxy {proxy} is told as refused: {run}");
            self.verdict.breach(Rule::Once, at, what);
        }
        // A connection that is closed between requests, at a process that ends or that lacks descriptors, is no answer owed: its
        // client sends the request once more. What a member has got was read, and the first request of a connection stands
        // between no two.
        let ends = self.proxies.get(&proxy).is_some_and(|p| p.ends_within(since, at));
        let between = !asked.given && !asked.first;
        let unread = how == RequestEnd::Broken && between && (ends || bounds.crowded);
        let unanswered =
            how == RequestEnd::Broken && stood < STANDSTILL || how == RequestEnd::Silent && stood == 0;
        let unanswered = unanswered && !unread;
        if (unanswered || at > until) && !gone(self.proxies.get(&proxy), since, at) {
            let what = format!("request {id} at proxy {proxy}: {how:?} after {} ms", (at - since) / 1000);
            self.verdict.breach(Rule::Answer, at, what);
        }
        if how != RequestEnd::Served {
            return;
        }
        let began = self.proxies.get(&proxy).map_or(0, |p| p.began);
        let key = self.keys.entry(asked.key.clone()).or_default();
        if let Some(value) = asked.writes {
            match key.ran.iter().position(|(_, ran)| *ran == value) {
                Some(commit) => key.told.push(Told { at, proxy, commit }),
                None => {
                    let what = format!("write {id} was told as served, and no member ran it");
                    self.verdict.breach(Rule::Once, at, what);
                }
            }
            return;
        }
        // Of each write, how many commits of its key a read must show.
        let least = match asked.shows {
            ReadGuarantee::Any => 0,
            ReadGuarantee::Session => key.told_before(since, |_| true),
            ReadGuarantee::SessionAtProcess => {
                key.told_before(since, |told| told.proxy == proxy && told.at >= began)
            }
            ReadGuarantee::Within(age) => key.ran.partition_point(|(t, _)| *t + age < since),
        };
        let shown = match value {
            0 => Some(0),
            _ => key.ran.iter().position(|(_, ran)| *ran == value).map(|n| n + 1),
        };
        match shown {
            None => {
                let what = format!("read {id} of {} shows a value that no write brought", asked.key);
                self.verdict.breach(Rule::Stale, at, what);
            }
            Some(shown) if shown < least => {
                let what = format!("read {id} of {} shows commit {shown}, {least} due", asked.key);
                self.verdict.breach(Rule::Stale, at, what);
            }
            Some(_) => {}
        }
    }

    /// What a proxy has acted by up to now, of one kind or of all, is over.
    fn close(&mut self, proxy: u32, kind: Option<&str>, at: Micros) {
        let of = self.proxies.entry(proxy).or_default();
        for (name, (versions, since)) in
            of.acts.iter_mut().filter(|(name, _)| kind.is_none_or(|k| k == **name))
        {
            self.acted.push((name.clone(), proxy, versions.clone(), *since, at));
            *since = at;
        }
    }

    /// No two may have acted at one moment by versions that have none in common.
    fn agree(&mut self) {
        let proxies: Vec<u32> = self.proxies.keys().copied().collect();
        proxies.into_iter().for_each(|proxy| self.close(proxy, None, Micros::MAX));
        // Without a lease it acted by nothing.
        let mut acted = Vec::new();
        for (kind, proxy, versions, from, to) in std::mem::take(&mut self.acted) {
            for (begun, until) in self.leases.get(&proxy).into_iter().flatten() {
                let (from, to) = (from.max(*begun), to.min(*until));
                if from < to {
                    acted.push((kind.clone(), proxy, versions.clone(), from, to));
                }
            }
        }
        acted.sort_by_key(|(_, _, _, from, _)| *from);
        for (n, (kind, proxy, versions, from, to)) in acted.iter().enumerate() {
            let then = acted[n + 1..].iter().take_while(|other| other.3 + CLOCKS < *to);
            for (_, other, theirs, since, _) in then.filter(|other| other.0 == *kind && other.1 != *proxy) {
                if !versions.iter().any(|v| theirs.contains(v)) {
                    let span = (*to - since.max(from)) / 1000;
                    let what = format!(
                        "{kind}: proxies {proxy} and {other} act by {versions:?} and {theirs:?}, {span} ms"
                    );
                    self.verdict.breach(Rule::Agree, *since, what);
                }
            }
        }
    }

    fn given(&mut self, at: Micros, member: u32, id: u64, bounds: &Bounds) {
        let Some((proxy, asked)) = self.asked.get(&id).map(|a| (a.proxy, a.at)) else {
            self.verdict.breach(Rule::Log, at, format!("member {member} got {id}, and nobody asked it"));
            return;
        };
        self.asked.get_mut(&id).into_iter().for_each(|asked| asked.given = true);
        self.attempted(at, member, id, bounds.patience);
        self.for_nobody(at, member, id, bounds.patience);
        let stood = self.stood(at.saturating_sub(bounds.drain), at);
        let of = self.proxies.entry(proxy).or_default();
        // What a link held back may have been sent at any time since it was asked for.
        let held = of.held.get(&member).is_some_and(|until| until.is_none_or(|t| t >= asked));
        for (rule, since) in [(Rule::Drain, of.draining.get(&member)), (Rule::Hand, of.out.get(&member))] {
            if let Some(since) = since.filter(|t| !held && at > **t + bounds.drain + stood) {
                let what = format!(
                    "member {member} got request {id} from proxy {proxy} after {} ms",
                    (at - since) / 1000
                );
                self.verdict.breach(rule, at, what);
            }
        }
        let late = ON_THE_WAY + stood;
        let covers = |(from, until): &(Micros, Micros)| *from <= at && at <= *until + late;
        if self.leases.get(&proxy).is_some_and(|all| !held && !all.iter().any(covers)) {
            let what = format!("proxy {proxy} sends {id} to member {member} without a lease");
            self.verdict.breach(Rule::Lease, at, what);
        }
        let Some(cold) = self.cold.get_mut(&member) else { return };
        let age = at - cold.since;
        if age >= cold.warm {
            self.cold.remove(&member);
            return;
        }
        cold.given.push_back(at);
        while cold.given.front().is_some_and(|t| *t + COLD_SPAN <= at) {
            cold.given.pop_front();
        }
        let warmth = cold.share + (1.0 - cold.share) * age as f64 / cold.warm as f64;
        let can = cold.rate * warmth * age.min(COLD_SPAN) as f64 / 1e6;
        let given = cold.given.len();
        let over = given as f64 > bounds.cold * can + COLD_FEW;
        if over && !cold.told {
            let what = format!("cold member {member} got {given} in 1.5 s and can do {can:.1}");
            self.verdict.breach(Rule::Cold, at, what);
        }
        cold.told = over;
    }

    /// A member has got a request: whether what became of it before allows that.
    fn attempted(&mut self, at: Micros, member: u32, id: u64, patience: Micros) {
        let Some(asked) = self.asked.get(&id) else { return };
        let (Some(effect), proxy) = (asked.effect, asked.proxy) else { return };
        if asked.refused && !effect.may_be_refused_after_a_run() {
            let what = format!(
                "member {member} got request {id} from proxy {proxy}, {} it had told as refused",
                asked.described()
            );
            self.verdict.breach(Rule::Once, at, what);
        }
        let late = match (effect, asked.may_have_run.first()) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some(first)) => {
                // The window counts from the sending of the first, and each may be on its way for a while.
                let slack = DEADLINE_SLACK + ON_THE_WAY + patience + self.stood(first.at, at);
                at > first.at + window + slack && !self.holds_back(proxy, member, first.at)
            }
        };
        if let Some(run) = asked.first_run().filter(|_| late) {
            let what = format!("member {member} got request {id} from proxy {proxy} again: {run}");
            self.verdict.breach(Rule::Once, at, what);
        }
        let attempt = Attempt { member, at, ran: false };
        self.asked.get_mut(&id).into_iter().for_each(|asked| asked.may_have_run.push(attempt));
    }

    /// A member has run an attempt that it got.
    fn ran_at(&mut self, member: u32, id: u64) {
        let attempts = self.asked.get_mut(&id).map(|asked| &mut asked.may_have_run);
        let its = attempts.and_then(|all| all.iter_mut().find(|a| a.member == member && !a.ran));
        its.into_iter().for_each(|attempt| attempt.ran = true);
    }

    /// A member has turned an attempt away: that one never ran.
    fn turned_away(&mut self, member: u32, id: u64) {
        let Some(asked) = self.asked.get_mut(&id) else { return };
        if let Some(n) = asked.may_have_run.iter().rposition(|a| a.member == member && !a.ran) {
            asked.may_have_run.remove(n);
        }
    }

    /// Whether something began for a client that had gone.
    fn for_nobody(&mut self, at: Micros, member: u32, id: u64, patience: Micros) {
        let Some((proxy, Some(left))) = self.asked.get(&id).map(|a| (a.proxy, a.left)) else { return };
        let late = at.saturating_sub(left);
        let allowed = LEFT_MAX + ON_THE_WAY + patience + self.stood(left, at);
        let held = self.holds_back(proxy, member, left);
        if late > allowed && !held && !gone(self.proxies.get(&proxy), left, at) {
            let what = format!(
                "member {member} got request {id} from proxy {proxy} {} ms after its client had gone",
                late / 1000
            );
            self.verdict.breach(Rule::Left, at, what);
        }
    }

    /// Whether the link between them may hold back what was sent since.
    fn holds_back(&self, proxy: u32, member: u32, since: Micros) -> bool {
        let held = self.proxies.get(&proxy).and_then(|p| p.held.get(&member));
        held.is_some_and(|until| until.is_none_or(|t| t >= since))
    }

    /// A member was told how long its proxy waits.
    fn allowed(&mut self, at: Micros, id: u64, wait: Micros, patience: Micros) {
        let Some(asked) = self.asked.get(&id) else { return };
        let (proxy, Some(sent)) = (asked.proxy, asked.sent) else { return };
        let left = (sent + asked.wait).saturating_sub(at);
        let delayed = self.delayed(proxy, sent, at);
        let slack = DEADLINE_SLACK + ON_THE_WAY + patience + delayed;
        let links = self.proxies.get(&proxy).is_some_and(|p| !p.held.is_empty());
        if wait > left + slack && !links && !gone(self.proxies.get(&proxy), sent, at) {
            let [wait, left, delayed] = [wait, left, delayed].map(|us| us / 1000);
            let what =
                format!("request {id} may take {wait} ms, {left} ms are left; delayed for {delayed} ms");
            self.verdict.breach(Rule::Deadline, at, what);
        }
    }

    /// A bad client has got its error or its close.
    fn closed(&mut self, at: Micros, id: u64, patience: Micros) {
        let Some((proxy, since)) = self.begun.remove(&id) else { return };
        let allowed = UNFINISHED_MAX + UNFINISHED_SLACK + patience + self.stood(since, at);
        if at > since + allowed && !gone(self.proxies.get(&proxy), since, at) {
            let what =
                format!("bad client {id} at proxy {proxy} has its close after {} ms", (at - since) / 1000);
            self.verdict.breach(Rule::Unfinished, at, what);
        }
    }

    fn end(&mut self, last: Micros, bounds: &Bounds) {
        let owed: Vec<u64> = self.begun.keys().copied().collect();
        owed.into_iter().for_each(|id| self.closed(last, id, bounds.patience));
        let mut open: Vec<(&u64, &Asked)> = self.asked.iter().filter(|(_, a)| a.ended.is_none()).collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        let mut breaches = Vec::new();
        for (id, asked) in open {
            let until = asked.at + asked.wait + bounds.late;
            if last >= until && !gone(self.proxies.get(&asked.proxy), asked.at, until) {
                breaches.push((until, format!("request {id} at proxy {} has no answer", asked.proxy)));
            }
        }
        breaches.into_iter().for_each(|(at, what)| self.verdict.breach(Rule::Answer, at, what));
    }
}

/// Whether a proxy was not there at some moment of a span.
impl Proxy {
    /// Whether it was told to end, or ended so, in this span.
    fn ends_within(&self, from: Micros, to: Micros) -> bool {
        self.ending.is_some_and(|told| told <= to)
            || self.ended.iter().any(|(told, end)| *told <= to && *end >= from)
    }
}

fn gone(proxy: Option<&Proxy>, from: Micros, to: Micros) -> bool {
    let Some(proxy) = proxy else { return true };
    let within = |gap: &Gap| gap.from <= to && gap.to >= from;
    proxy.gaps.iter().any(within) || !proxy.up && proxy.gaps.is_empty()
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
