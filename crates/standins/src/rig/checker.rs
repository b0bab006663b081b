//! The checker: judges a run by its event log alone, independently of how the proxies are implemented. It
//! makes one pass over the events in order and reports the breaches of the rules, with some measurements.

use super::events::{Effect, Event, EventKind, Micros, ReadGuarantee, RequestEnd};
use super::slow_start::{SlowStartLimit, SlowStartLoads, SlowStartPeak};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Sliding window over which new connections to one member are counted.
pub const OPENED_SPAN: Micros = 250_000;
/// Sliding window over which probes of all members are counted.
pub const PROBED_SPAN: Micros = 4_000_000;
/// Sliding window over which the statements that reach a cold member are counted.
pub const COLD_SPAN: Micros = 1_500_000;
/// Statements that a cold member may get in a window whatever its rate, so that single trial requests pass.
const COLD_ALLOWANCE: f64 = 4.0;
/// After a stall of this length, time limits have expired through no fault of any party, and a connection
/// that breaks without an answer is no breach.
const LONG_STALL_MIN: Micros = 1_000_000;
/// Maximum difference between the clocks of processes on one machine.
const CLOCK_TOLERANCE: Micros = 10_000;
/// Maximum time that a statement travels from a proxy to a member.
const TRANSIT_MAX: Micros = 150_000;
/// An attempt may start at most this long after its client has closed the connection.
const ATTEMPT_AFTER_LEAVING_MAX: Micros = 100_000;
/// The time limit in a statement may exceed the time that its client has left by this much.
const DEADLINE_SLACK: Micros = 150_000;
/// A client that does not complete a message gets an error or a close within this time.
const UNFINISHED_MAX: Micros = 3_000_000;
/// Added to `UNFINISHED_MAX` for clock differences and a busy machine.
const UNFINISHED_SLACK: Micros = 1_000_000;
/// A request that reaches a process later than this after SIGTERM must have its answer before the kill.
const ANSWER_DUE_AFTER_TERM: Micros = 700_000;
/// Breaches that are reported in detail for each rule; further ones are only counted.
const DETAILED_BREACHES_MAX: usize = 5;

/// The limits of the rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long after the client's deadline the final answer may come.
    pub late: Micros,
    /// How long new statements may reach a member after its draining was reported or its suspension accepted.
    pub drain: Micros,
    /// Idle or surging clients exhaust the descriptors, so that a connection may be closed between requests.
    pub descriptors_exhausted: bool,
    /// A member's suspension outlasts the process that accepted it.
    pub suspensions_kept: bool,
    /// Allowance for slow machines, added to the time limits of the rules `Left`, `Deadline` and
    /// `Unfinished`, and to the time for which a keyed request may be sent again.
    pub machine_slack: Micros,
    /// A cold member gets at most this multiple of what it can process.
    pub cold: f64,
    /// What the platform's rule allows a cold member, judged in place of `cold`; `None`: `cold` is judged.
    pub slow_start: Option<SlowStartLimit>,
    /// Maximum number of new connections to one member in any 250 ms after the first fault.
    pub opened: Option<u64>,
    /// Maximum number of probes of all members in any 4 s after the first fault.
    pub probed: Option<u64>,
    /// Maximum number of calls that discovery could not answer.
    pub unanswered: Option<u64>,
    /// Maximum number of calls of one process for the whole list.
    pub whole_lists: Option<u64>,
}

impl Default for Bounds {
    /// The limits of the platform, without limits on counts.
    fn default() -> Self {
        Bounds {
            late: 500_000,
            drain: 500_000,
            descriptors_exhausted: false,
            suspensions_kept: false,
            machine_slack: 0,
            cold: 4.0,
            slow_start: None,
            opened: None,
            probed: None,
            unanswered: None,
            whole_lists: None,
        }
    }
}

/// The rules. Reports print the variant names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request gets exactly one final answer, in time.
    Answer,
    /// No request runs more often than its class allows, and none is reported as refused if it may have run
    /// and a retry would do harm.
    Once,
    /// No read returns older data than its class allows.
    Stale,
    /// No new statement reaches a draining member.
    Drain,
    /// No new statement reaches a suspended member.
    Hand,
    /// No cold member gets more statements than it can process.
    Cold,
    /// Limit on new connections to one member.
    Opened,
    /// Limit on probes.
    Probed,
    /// Limit on calls that discovery could not answer.
    Unanswered,
    /// Limit on calls for the whole list.
    Whole,
    /// No attempt starts for a client that has disconnected.
    Left,
    /// No statement has a longer time limit than its client has left.
    Deadline,
    /// A client that does not complete a message gets an error or a close in time.
    Unfinished,
    /// A process has detected that one of its own decisions would have broken a rule.
    Invariant,
    /// A process ended without being told to.
    Crash,
    /// Full service was reached too late.
    Full,
    /// Two proxies apply contradictory versions at the same time.
    Agree,
    /// A proxy sends a statement without a valid lease.
    Lease,
    /// The log is inconsistent or incomplete.
    Log,
}

/// A breach of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When the breach was seen.
    pub at: Micros,
    /// A description.
    pub what: String,
}

/// Maximum counts, kept separately for the time before and after the first fault.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peaks {
    /// New connections to one member in 250 ms.
    pub opened: u64,
    /// Probes of all members in 4 s.
    pub probed: u64,
    /// Calls to discovery in a second.
    pub called: u64,
}

/// The verdict on a run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Verdict {
    /// The first breaches of each rule, in detail.
    pub breaches: Vec<Breach>,
    /// The number of breaches by rule.
    pub counts: BTreeMap<Rule, u64>,
    /// Peaks before and after the first fault.
    pub peaks: [Peaks; 2],
    /// Calls that discovery could not answer.
    pub unanswered: u64,
    /// Number of requests that were sent.
    pub asked: u64,
    /// The largest load on each member that was in slow start, where that is judged.
    pub slow_start: Vec<SlowStartPeak>,
}

impl Verdict {
    /// Adds a breach.
    pub(super) fn add_breach(&mut self, rule: Rule, at: Micros, what: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= DETAILED_BREACHES_MAX as u64 {
            self.breaches.push(Breach { rule, at, what });
        }
    }

    /// Whether all rules were kept.
    pub fn passed(&self) -> bool {
        self.counts.is_empty()
    }
}

struct RequestState {
    at: Micros,
    proxy: u32,
    key: String,
    writes: Option<u64>,
    shows: ReadGuarantee,
    wait: Micros,
    /// When its last byte was written.
    sent: Option<Micros>,
    /// It is the first request on its connection.
    first_on_connection: bool,
    /// When its client disconnected.
    left: Option<Micros>,
    ended: Option<Micros>,
    /// A member has received it, which proves that its proxy has read it.
    reached_member: bool,
    /// The effect of a repeat; `None` where the log lacks it.
    effect: Option<Effect>,
    /// Attempts that members have received and not refused, in order.
    may_have_run: Vec<Attempt>,
    /// The client was told that the request was refused.
    refused: bool,
}

/// An attempt that a member has received.
#[derive(Clone, Copy)]
struct Attempt {
    member: u32,
    at: Micros,
    /// The member has run it.
    ran: bool,
}

impl RequestState {
    /// Describes the first attempt that may have run, for a breach.
    fn first_run(&self) -> Option<String> {
        let Attempt { member, at, ran } = *self.may_have_run.first()?;
        let what = if ran { "ran" } else { "may have run" };
        let ms = at.saturating_sub(self.at) / 1000;
        Some(format!("{} {what} at member {member}, received {ms} ms after it was sent", self.description()))
    }

    fn description(&self) -> &'static str {
        match self.effect {
            Some(Effect::Unsafe) => "an unsafe request that",
            Some(Effect::Keyed { .. }) => "a keyed request that",
            _ => "a safe request that",
        }
    }
}

/// A span in which a proxy was not available.
struct Gap {
    from: Micros,
    /// `Micros::MAX` while the gap lasts.
    to: Micros,
    /// The proxy was stopped, so that the same process continues later.
    stopped: bool,
}

#[derive(Default)]
struct Proxy {
    up: bool,
    /// When its current process was started.
    began: Micros,
    /// When it received SIGTERM, if the kill is still to come.
    ending: Option<Micros>,
    /// Earlier shutdowns: the times of SIGTERM and of the kill.
    ended: Vec<(Micros, Micros)>,
    gaps: Vec<Gap>,
    /// Calls of the current process for the whole list.
    whole: u64,
    /// Members whose link holds back what is sent, with the time when it stopped doing so (`None`: it still
    /// does).
    held: HashMap<u32, Option<Micros>>,
    /// The versions that the proxy applies, by kind of document, and since when.
    applied: BTreeMap<String, (Vec<String>, Micros)>,
    /// Draining members, with the time when that was reported.
    draining: HashMap<u32, Micros>,
    /// Suspended members, with the time of the suspension.
    suspended: HashMap<u32, Micros>,
}

/// A member that is still cold.
struct Cold {
    since: Micros,
    /// Share of its capacity at the start.
    share: f64,
    /// How long until it is warm.
    warm: Micros,
    /// Statements per second when warm.
    rate: f64,
    /// When it received the statements of the last `COLD_SPAN`.
    received: VecDeque<Micros>,
    /// The current excess was already reported.
    reported: bool,
}

#[derive(Default)]
struct KeyHistory {
    /// Writes that ran, in commit order.
    ran: Vec<(Micros, u64)>,
    /// Acknowledged writes, in the order of their acknowledgements.
    acknowledged: Vec<Acknowledged>,
}

/// A write that was acknowledged to its client.
struct Acknowledged {
    at: Micros,
    /// The proxy that acknowledged it.
    proxy: u32,
    /// Its index in the commit order.
    commit: usize,
}

impl KeyHistory {
    /// The number of commits that a read sent at `since` must reflect, given the acknowledged writes that
    /// `counts` selects.
    fn commits_due(&self, since: Micros, counts: impl Fn(&Acknowledged) -> bool) -> usize {
        let before = self.acknowledged.iter().filter(|write| write.at < since && counts(write));
        before.map(|write| write.commit + 1).max().unwrap_or(0)
    }
}

/// Counts events in a sliding time window.
#[derive(Default)]
struct SlidingCount(VecDeque<Micros>);

impl SlidingCount {
    fn add(&mut self, at: Micros, span: Micros) -> u64 {
        self.0.push_back(at);
        while self.0.front().is_some_and(|t| *t + span <= at) {
            self.0.pop_front();
        }
        self.0.len() as u64
    }
}

#[derive(Default)]
struct Checker {
    verdict: Verdict,
    requests: HashMap<u64, RequestState>,
    proxies: HashMap<u32, Proxy>,
    run_counts: HashMap<u64, u32>,
    keys: HashMap<String, KeyHistory>,
    cold: HashMap<u32, Cold>,
    slow_start: SlowStartLoads,
    opened: HashMap<u32, SlidingCount>,
    probed: SlidingCount,
    called: SlidingCount,
    /// Limits that are exceeded now. Consecutive events over one limit are one breach.
    exceeded: HashSet<(Rule, u32)>,
    faulted: bool,
    /// Spans in which a proxy applied versions, with or without a lease: kind, proxy, versions, from, to.
    applied_spans: Vec<(String, u32, Vec<String>, Micros, Micros)>,
    /// Lease spans that each proxy has reported, merged so that they do not touch.
    leases: HashMap<u32, Vec<(Micros, Micros)>>,
    /// Bad clients, which do not complete a message, whose connections must still be closed: their proxy, and
    /// since when.
    unfinished: HashMap<u64, (u32, Micros)>,
    /// Stalls of the machine: from, to.
    stalls: Vec<(Micros, Micros)>,
    /// Spans (from, to) in which a proxy, or a thread of the rig (`None`), was ready to run and was not
    /// scheduled. The spans of a party do not overlap.
    delays: HashMap<Option<u32>, Vec<(Micros, Micros)>>,
}

/// The delays of each party. A delay that reaches back into an earlier one is counted from the end of that
/// one.
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

/// How much of `from..to` lies within the spans.
fn overlap(spans: &[(Micros, Micros)], from: Micros, to: Micros) -> Micros {
    let shared_part = |(began, ended): &(Micros, Micros)| (*ended).min(to).saturating_sub((*began).max(from));
    let first = spans.partition_point(|span| span.1 <= from);
    spans[first..].iter().take_while(|span| span.0 < to).map(shared_part).sum()
}

/// Judges a whole run; `lost` is the number of events that did not fit in the log.
pub fn judge(events: &[Event], lost: u64, bounds: &Bounds) -> Verdict {
    // Stalls are collected first: after a stall, a party may record events before the rig records the stall
    // itself.
    let stall = |e: &Event| match e.what {
        EventKind::Stall { us } => Some((e.at.saturating_sub(us), e.at)),
        _ => None,
    };
    let mut checker = Checker {
        stalls: events.iter().filter_map(stall).collect(),
        delays: delays(events),
        ..Checker::default()
    };
    // Leases are also collected first: the thread that reads a process's log may record a lease only after a
    // member has recorded a statement that was sent under it.
    for event in events {
        if let EventKind::Leased { proxy, from, until } = event.what {
            let spans = checker.leases.entry(proxy).or_default();
            match spans.last_mut().filter(|(_, end)| from <= *end) {
                Some(last) => last.1 = last.1.max(until),
                None => spans.push((from, until)),
            }
        }
    }
    let mut last = 0;
    for event in events {
        if event.at < last {
            checker.verdict.add_breach(Rule::Log, event.at, "an event is older than its predecessor".into());
        }
        last = event.at;
        checker.apply(event.at, &event.what, bounds);
    }
    if lost > 0 {
        checker.verdict.add_breach(Rule::Log, last, format!("{lost} events did not fit in the log"));
    }
    checker.check_agreement();
    checker.check_end(last, bounds);
    checker.verdict.slow_start = std::mem::take(&mut checker.slow_start).into_peaks();
    checker.verdict
}

impl Checker {
    /// Applies one event to the state and checks the rules that it concerns.
    fn apply(&mut self, at: Micros, what: &EventKind, bounds: &Bounds) {
        match what {
            EventKind::Asked { id, proxy, key, writes, shows, effect, wait, .. } => {
                self.verdict.asked += 1;
                let request = RequestState {
                    at,
                    proxy: *proxy,
                    key: key.clone(),
                    writes: *writes,
                    shows: *shows,
                    wait: *wait,
                    sent: None,
                    first_on_connection: false,
                    left: None,
                    ended: None,
                    reached_member: false,
                    effect: *effect,
                    may_have_run: Vec::new(),
                    refused: false,
                };
                if self.requests.insert(*id, request).is_some() {
                    self.verdict.add_breach(Rule::Log, at, format!("request id {id} is used twice"));
                }
            }
            EventKind::Sent { id, first } => {
                let request = self.requests.get_mut(id);
                request
                    .into_iter()
                    .for_each(|request| (request.sent, request.first_on_connection) = (Some(at), *first));
            }
            EventKind::Left { id } => {
                self.requests
                    .get_mut(id)
                    .into_iter()
                    .for_each(|request| (request.left, request.ended) = (Some(at), Some(at)));
            }
            EventKind::Allowed { id, wait } => self.check_time_limit(at, *id, *wait, bounds.machine_slack),
            EventKind::Begun { id, proxy } => drop(self.unfinished.insert(*id, (*proxy, at))),
            EventKind::Closed { id } => self.check_close(at, *id, bounds.machine_slack),
            EventKind::Ended { id, how, value } => self.check_answer(at, *id, *how, *value, bounds),
            EventKind::Given { member, id } => self.check_statement(at, *member, *id, bounds),
            EventKind::Ran { member, id, key, value } => {
                self.mark_run(*member, *id);
                let runs = self.run_counts.entry(*id).or_default();
                *runs += 1;
                if *runs > 1 {
                    let what = format!("write {id} has run {runs} times, now at member {member}");
                    self.verdict.add_breach(Rule::Once, at, what);
                }
                self.keys.entry(key.clone()).or_default().ran.push((at, *value));
            }
            EventKind::ReadRan { member, id } => self.mark_run(*member, *id),
            EventKind::TurnedAway { member, id } => self.remove_attempt(*member, *id),
            EventKind::Opened { member } => {
                let seen = self.opened.entry(*member).or_default().add(at, OPENED_SPAN);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].opened;
                *peak = seen.max(*peak);
                let text = || format!("{seen} new connections at member {member} in 250 ms");
                self.check_count(Rule::Opened, *member, at, seen, bounds.opened, text);
            }
            EventKind::Probed { .. } => {
                let seen = self.probed.add(at, PROBED_SPAN);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].probed;
                *peak = seen.max(*peak);
                self.check_count(Rule::Probed, 0, at, seen, bounds.probed, || {
                    format!("{seen} probes in 4 s")
                });
            }
            EventKind::Cold { member, share, warm, rate } => {
                let (share, rate) = (*share as f64 / 1e3, *rate as f64);
                let cold =
                    Cold { since: at, share, warm: *warm, rate, received: VecDeque::new(), reported: false };
                self.cold.insert(*member, cold);
                self.slow_start.started(*member, at, share, *warm, rate);
            }
            EventKind::Called { proxy, whole } => {
                let seen = self.called.add(at, 1_000_000);
                let peak = &mut self.verdict.peaks[usize::from(self.faulted)].called;
                *peak = seen.max(*peak);
                let state = self.proxies.entry(*proxy).or_default();
                state.whole += u64::from(*whole);
                let n = state.whole;
                if *whole && bounds.whole_lists.is_some_and(|limit| n > limit) {
                    let what = format!("proxy {proxy} called for the whole list {n} times");
                    self.verdict.add_breach(Rule::Whole, at, what);
                }
            }
            EventKind::Unanswered { proxy } => {
                self.verdict.unanswered += 1;
                if bounds.unanswered.is_some_and(|limit| self.verdict.unanswered > limit) {
                    let what = format!("discovery could not answer proxy {proxy}");
                    self.verdict.add_breach(Rule::Unanswered, at, what);
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
                let suspended = &mut self.proxies.entry(*proxy).or_default().suspended;
                match out {
                    true => drop(suspended.entry(*member).or_insert(at)),
                    false => drop(suspended.remove(member)),
                }
            }
            EventKind::Exec { proxy } => {
                self.end_version_spans(*proxy, None, at);
                let state = self.proxies.entry(*proxy).or_default();
                state.began = at;
                state.whole = 0;
                state.applied = BTreeMap::new();
                // Discovery reports draining members to each new process again.
                state.draining.clear();
                if !bounds.suspensions_kept {
                    state.suspended.clear();
                }
            }
            EventKind::Serves { proxy } => {
                let state = self.proxies.entry(*proxy).or_default();
                state.up = true;
                state.gaps.iter_mut().filter(|g| g.to == Micros::MAX).for_each(|g| g.to = at);
            }
            EventKind::Link { proxy, member, well } => {
                let held = &mut self.proxies.entry(*proxy).or_default().held;
                if !well || held.contains_key(member) {
                    held.insert(*member, well.then_some(at));
                }
            }
            EventKind::Acts { proxy, kind, versions, since } => {
                self.end_version_spans(*proxy, Some(kind), *since);
                let state = self.proxies.entry(*proxy).or_default();
                state.applied.insert(kind.clone(), (versions.clone(), *since));
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
                    self.check_shutdown(at, *proxy);
                }
                let gap = Gap { from: at, to: Micros::MAX, stopped: *stopped };
                self.proxies.entry(*proxy).or_default().gaps.push(gap);
            }
            // Collected before this pass.
            EventKind::Stall { .. } | EventKind::Delayed { .. } | EventKind::Leased { .. } => {}
            // A proxy whose store was deleted cannot know of earlier suspensions.
            EventKind::Wiped { proxy } => self.proxies.entry(*proxy).or_default().suspended.clear(),
            EventKind::Fault(_) => self.faulted = true,
        }
    }

    /// A process that received SIGTERM was killed or has ended. Requests that were sent more than
    /// `ANSWER_DUE_AFTER_TERM` after SIGTERM, and that the process has read, must have had their answers.
    fn check_shutdown(&mut self, at: Micros, proxy: u32) {
        let Some(state) = self.proxies.get_mut(&proxy) else { return };
        let Some(term) = state.ending.take() else { return };
        state.ended.push((term, at));
        let late = |a: &RequestState| {
            (a.reached_member || a.first_on_connection)
                && a.ended.is_none()
                && a.sent.is_some_and(|sent| sent > term + ANSWER_DUE_AFTER_TERM)
        };
        let found = self
            .requests
            .iter()
            .filter(|(_, a)| a.proxy == proxy && late(a))
            .map(|(id, a)| (*id, a.sent.unwrap_or(at)));
        let mut found: Vec<(u64, Micros)> = found.filter(|(_, sent)| self.stalled(*sent, at) == 0).collect();
        found.sort_unstable();
        for (id, sent) in found {
            let what = format!(
                "request {id} at proxy {proxy} was unanswered at the kill, sent {} ms after SIGTERM",
                (sent - term) / 1000
            );
            self.verdict.add_breach(Rule::Answer, at, what);
        }
    }

    /// Reports a count that exceeds its limit after the first fault. The same limit is reported again only
    /// after the count was within it.
    fn check_count(
        &mut self,
        rule: Rule,
        subject: u32,
        at: Micros,
        seen: u64,
        limit: Option<u64>,
        text: impl FnOnce() -> String,
    ) {
        let Some(limit) = limit.filter(|_| self.faulted) else { return };
        if seen <= limit {
            self.exceeded.remove(&(rule, subject));
        } else if self.exceeded.insert((rule, subject)) {
            self.verdict.add_breach(rule, at, text());
        }
    }

    /// How much of a span the machine was stalled; no proxy is blamed for that time.
    fn stalled(&self, from: Micros, to: Micros) -> Micros {
        overlap(&self.stalls, from, to)
    }

    /// How much of a span the machine did not schedule the rig, plus the same for the proxy.
    fn delayed(&self, proxy: u32, from: Micros, to: Micros) -> Micros {
        let delay_of = |party| self.delays.get(&party).map_or(0, |spans| overlap(spans, from, to));
        delay_of(None) + delay_of(Some(proxy))
    }

    /// Checks the outcome of a request: a final answer in time, and recent enough data for reads.
    fn check_answer(&mut self, at: Micros, id: u64, how: RequestEnd, value: u64, bounds: &Bounds) {
        let since = self.requests.get(&id).map_or(at, |a| a.at);
        let stalled = self.stalled(since, at);
        let Some(request) = self.requests.get_mut(&id) else {
            self.verdict.add_breach(Rule::Log, at, format!("request {id} ended but was never sent"));
            return;
        };
        if request.ended.replace(at).is_some() {
            self.verdict.add_breach(Rule::Answer, at, format!("request {id} got two answers"));
            return;
        }
        // A request's time runs from its last byte. Its client may have had to connect before.
        let time_begins = request.sent.unwrap_or(since);
        let (proxy, until) = (request.proxy, time_begins + request.wait + bounds.late + stalled);
        request.refused = how == RequestEnd::Refused;
        let harmless = request.effect.is_none_or(Effect::may_be_refused_after_a_run);
        if let Some(run) = request.first_run().filter(|_| request.refused && !harmless) {
            let what = format!("request {id} at proxy {proxy} was reported as refused: {run}");
            self.verdict.add_breach(Rule::Once, at, what);
        }
        // A process that shuts down or lacks descriptors may close a connection between requests without
        // answering; the client then retries. That does not cover a request that reached a member, as the
        // proxy has read it, nor the first request of a connection, as it does not follow another one.
        let shutting_down = self.proxies.get(&proxy).is_some_and(|p| p.shuts_down_within(since, at));
        let between_requests = !request.reached_member && !request.first_on_connection;
        let unread =
            how == RequestEnd::Broken && between_requests && (shutting_down || bounds.descriptors_exhausted);
        let unanswered = how == RequestEnd::Broken && stalled < LONG_STALL_MIN
            || how == RequestEnd::Silent && stalled == 0;
        let unanswered = unanswered && !unread;
        if (unanswered || at > until) && !unavailable(self.proxies.get(&proxy), since, at) {
            let what = format!("request {id} at proxy {proxy}: {how:?} after {} ms", (at - since) / 1000);
            self.verdict.add_breach(Rule::Answer, at, what);
        }
        if how != RequestEnd::Served {
            return;
        }
        let began = self.proxies.get(&proxy).map_or(0, |p| p.began);
        let key = self.keys.entry(request.key.clone()).or_default();
        if let Some(value) = request.writes {
            match key.ran.iter().position(|(_, ran)| *ran == value) {
                Some(commit) => key.acknowledged.push(Acknowledged { at, proxy, commit }),
                None => {
                    let what = format!("write {id} was reported as served but no member ran it");
                    self.verdict.add_breach(Rule::Once, at, what);
                }
            }
            return;
        }
        // The number of commits of its key that the read must reflect.
        let due = match request.shows {
            ReadGuarantee::Any => 0,
            ReadGuarantee::Session => key.commits_due(since, |_| true),
            ReadGuarantee::SessionAtProcess => {
                key.commits_due(since, |write| write.proxy == proxy && write.at >= began)
            }
            ReadGuarantee::Within(age) => key.ran.partition_point(|(t, _)| *t + age < since),
        };
        let shown = match value {
            0 => Some(0),
            _ => key.ran.iter().position(|(_, ran)| *ran == value).map(|n| n + 1),
        };
        match shown {
            None => {
                let what = format!("read {id} of {} returned a value that was never written", request.key);
                self.verdict.add_breach(Rule::Stale, at, what);
            }
            Some(shown) if shown < due => {
                let what =
                    format!("read {id} of {} reflects {shown} commits, must reflect {due}", request.key);
                self.verdict.add_breach(Rule::Stale, at, what);
            }
            Some(_) => {}
        }
    }

    /// Ends the spans of the versions that a proxy has applied so far, of one kind or of all kinds.
    fn end_version_spans(&mut self, proxy: u32, kind: Option<&str>, at: Micros) {
        let state = self.proxies.entry(proxy).or_default();
        for (name, (versions, since)) in
            state.applied.iter_mut().filter(|(name, _)| kind.is_none_or(|k| k == **name))
        {
            self.applied_spans.push((name.clone(), proxy, versions.clone(), *since, at));
            *since = at;
        }
    }

    /// Checks that no two proxies applied, at the same time, sets of versions that have none in common.
    fn check_agreement(&mut self) {
        let proxies: Vec<u32> = self.proxies.keys().copied().collect();
        proxies.into_iter().for_each(|proxy| self.end_version_spans(proxy, None, Micros::MAX));
        // Without a lease a proxy applies no version.
        let mut applied = Vec::new();
        for (kind, proxy, versions, from, to) in std::mem::take(&mut self.applied_spans) {
            for (lease_start, until) in self.leases.get(&proxy).into_iter().flatten() {
                let (from, to) = (from.max(*lease_start), to.min(*until));
                if from < to {
                    applied.push((kind.clone(), proxy, versions.clone(), from, to));
                }
            }
        }
        applied.sort_by_key(|(_, _, _, from, _)| *from);
        for (n, (kind, proxy, versions, from, to)) in applied.iter().enumerate() {
            let then = applied[n + 1..].iter().take_while(|other| other.3 + CLOCK_TOLERANCE < *to);
            for (_, other, theirs, since, _) in then.filter(|other| other.0 == *kind && other.1 != *proxy) {
                if !versions.iter().any(|v| theirs.contains(v)) {
                    let span = (*to - since.max(from)) / 1000;
                    let what = format!(
                        "{kind}: proxies {proxy} and {other} applied {versions:?} and {theirs:?} at once for {span} ms"
                    );
                    self.verdict.add_breach(Rule::Agree, *since, what);
                }
            }
        }
    }

    /// Checks a statement that a member has received.
    fn check_statement(&mut self, at: Micros, member: u32, id: u64, bounds: &Bounds) {
        let Some((proxy, sent_at)) = self.requests.get(&id).map(|a| (a.proxy, a.at)) else {
            self.verdict.add_breach(
                Rule::Log,
                at,
                format!("member {member} got request {id}, which was never sent"),
            );
            return;
        };
        self.requests.get_mut(&id).into_iter().for_each(|request| request.reached_member = true);
        self.check_attempt(at, member, id, bounds.machine_slack);
        self.check_client_present(at, member, id, bounds.machine_slack);
        let stalled = self.stalled(at.saturating_sub(bounds.drain), at);
        let state = self.proxies.entry(proxy).or_default();
        // A statement that a link held back may have been sent at any time since the request was sent.
        let held = state.held.get(&member).is_some_and(|until| until.is_none_or(|t| t >= sent_at));
        for (rule, since) in
            [(Rule::Drain, state.draining.get(&member)), (Rule::Hand, state.suspended.get(&member))]
        {
            if let Some(since) = since.filter(|t| !held && at > **t + bounds.drain + stalled) {
                let what = format!(
                    "member {member} got request {id} from proxy {proxy} after {} ms",
                    (at - since) / 1000
                );
                self.verdict.add_breach(rule, at, what);
            }
        }
        let late = TRANSIT_MAX + stalled;
        let covers = |(from, until): &(Micros, Micros)| *from <= at && at <= *until + late;
        if self.leases.get(&proxy).is_some_and(|all| !held && !all.iter().any(covers)) {
            let what = format!("proxy {proxy} sent request {id} to member {member} without a lease");
            self.verdict.add_breach(Rule::Lease, at, what);
        }
        if let Some(limit) = &bounds.slow_start {
            return self.check_slow_start(at, member, id, limit);
        }
        let Some(cold) = self.cold.get_mut(&member) else { return };
        let age = at - cold.since;
        if age >= cold.warm {
            self.cold.remove(&member);
            return;
        }
        cold.received.push_back(at);
        while cold.received.front().is_some_and(|t| *t + COLD_SPAN <= at) {
            cold.received.pop_front();
        }
        let warmth = cold.share + (1.0 - cold.share) * age as f64 / cold.warm as f64;
        let can = cold.rate * warmth * age.min(COLD_SPAN) as f64 / 1e6;
        let received = cold.received.len();
        let over = received as f64 > bounds.cold * can + COLD_ALLOWANCE;
        if over && !cold.reported {
            let what =
                format!("cold member {member} got {received} statements in 1.5 s and can process {can:.1}");
            self.verdict.add_breach(Rule::Cold, at, what);
        }
        cold.reported = over;
    }

    /// Checks the load on a member in slow start against the platform's budget.
    fn check_slow_start(&mut self, at: Micros, member: u32, id: u64, limit: &SlowStartLimit) {
        let write = self.requests.get(&id).is_some_and(|request| request.writes.is_some());
        let Some(load) = self.slow_start.received(member, at, write, limit) else { return };
        let what = format!(
            "cold member {member} got {:.1} times what it can do: {} statements, {} of them writes",
            load.times, load.statements, load.writes
        );
        self.verdict.add_breach(Rule::Cold, at, what);
    }

    /// Checks that the earlier attempts and the answer of a request permit a further attempt, and records the
    /// attempt.
    fn check_attempt(&mut self, at: Micros, member: u32, id: u64, machine_slack: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let (Some(effect), proxy) = (request.effect, request.proxy) else { return };
        if request.refused && !effect.may_be_refused_after_a_run() {
            let what = format!(
                "member {member} got request {id} from proxy {proxy}, {} the proxy had reported as refused",
                request.description()
            );
            self.verdict.add_breach(Rule::Once, at, what);
        }
        let late = match (effect, request.may_have_run.first()) {
            (Effect::Safe, _) | (_, None) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some(first)) => {
                // The window starts when the first attempt is sent, and each attempt may be in transit for a
                // while.
                let slack = DEADLINE_SLACK + TRANSIT_MAX + machine_slack + self.stalled(first.at, at);
                at > first.at + window + slack && !self.link_holds_back(proxy, member, first.at)
            }
        };
        if let Some(run) = request.first_run().filter(|_| late) {
            let what = format!("member {member} got request {id} from proxy {proxy} again: {run}");
            self.verdict.add_breach(Rule::Once, at, what);
        }
        let attempt = Attempt { member, at, ran: false };
        self.requests.get_mut(&id).into_iter().for_each(|request| request.may_have_run.push(attempt));
    }

    /// Marks an attempt as run by the member that received it.
    fn mark_run(&mut self, member: u32, id: u64) {
        let attempts = self.requests.get_mut(&id).map(|request| &mut request.may_have_run);
        let attempt = attempts.and_then(|all| all.iter_mut().find(|a| a.member == member && !a.ran));
        attempt.into_iter().for_each(|attempt| attempt.ran = true);
    }

    /// Removes an attempt that its member refused and therefore never ran.
    fn remove_attempt(&mut self, member: u32, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(n) = request.may_have_run.iter().rposition(|a| a.member == member && !a.ran) {
            request.may_have_run.remove(n);
        }
    }

    /// Checks that no attempt starts for a client that has disconnected.
    fn check_client_present(&mut self, at: Micros, member: u32, id: u64, machine_slack: Micros) {
        let Some((proxy, Some(left))) = self.requests.get(&id).map(|a| (a.proxy, a.left)) else { return };
        let late = at.saturating_sub(left);
        let machine = machine_slack + self.stalled(left, at) + self.delayed(proxy, left, at);
        let allowed = ATTEMPT_AFTER_LEAVING_MAX + TRANSIT_MAX + machine;
        let held = self.link_holds_back(proxy, member, left);
        if late > allowed && !held && !unavailable(self.proxies.get(&proxy), left, at) {
            let what = format!(
                "member {member} got request {id} from proxy {proxy} {} ms after its client had disconnected",
                late / 1000
            );
            self.verdict.add_breach(Rule::Left, at, what);
        }
    }

    /// Whether the link between the proxy and the member may have held back what was sent at or after
    /// `since`.
    fn link_holds_back(&self, proxy: u32, member: u32, since: Micros) -> bool {
        let held = self.proxies.get(&proxy).and_then(|p| p.held.get(&member));
        held.is_some_and(|until| until.is_none_or(|t| t >= since))
    }

    /// Checks the time limit in a statement against the time that the client has left.
    fn check_time_limit(&mut self, at: Micros, id: u64, wait: Micros, machine_slack: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        let (proxy, Some(sent)) = (request.proxy, request.sent) else { return };
        let left = (sent + request.wait).saturating_sub(at);
        let delayed = self.delayed(proxy, sent, at);
        let slack = DEADLINE_SLACK + TRANSIT_MAX + machine_slack + delayed;
        let had_link_faults = self.proxies.get(&proxy).is_some_and(|p| !p.held.is_empty());
        if wait > left + slack && !had_link_faults && !unavailable(self.proxies.get(&proxy), sent, at) {
            let [wait, left, delayed] = [wait, left, delayed].map(|us| us / 1000);
            let what =
                format!("request {id} has a time limit of {wait} ms, its client {left} ms left; delayed for {delayed} ms");
            self.verdict.add_breach(Rule::Deadline, at, what);
        }
    }

    /// Checks that a bad client got an error or a close in time.
    fn check_close(&mut self, at: Micros, id: u64, machine_slack: Micros) {
        let Some((proxy, since)) = self.unfinished.remove(&id) else { return };
        let allowed = UNFINISHED_MAX + UNFINISHED_SLACK + machine_slack + self.stalled(since, at);
        if at > since + allowed && !unavailable(self.proxies.get(&proxy), since, at) {
            let what =
                format!("bad client {id} at proxy {proxy} got its close after {} ms", (at - since) / 1000);
            self.verdict.add_breach(Rule::Unfinished, at, what);
        }
    }

    /// Checks at the end of the log for answers and closes that are still due.
    fn check_end(&mut self, last: Micros, bounds: &Bounds) {
        let open_clients: Vec<u64> = self.unfinished.keys().copied().collect();
        open_clients.into_iter().for_each(|id| self.check_close(last, id, bounds.machine_slack));
        let mut open: Vec<(&u64, &RequestState)> =
            self.requests.iter().filter(|(_, a)| a.ended.is_none()).collect();
        open.sort_unstable_by_key(|(id, _)| **id);
        let mut breaches = Vec::new();
        for (id, request) in open {
            let until = request.sent.unwrap_or(request.at) + request.wait + bounds.late;
            if last >= until && !unavailable(self.proxies.get(&request.proxy), request.at, until) {
                breaches.push((until, format!("request {id} at proxy {} has no answer", request.proxy)));
            }
        }
        breaches.into_iter().for_each(|(at, what)| self.verdict.add_breach(Rule::Answer, at, what));
    }
}

impl Proxy {
    /// Whether it was shutting down at some time in this span.
    fn shuts_down_within(&self, from: Micros, to: Micros) -> bool {
        self.ending.is_some_and(|term| term <= to)
            || self.ended.iter().any(|(term, end)| *term <= to && *end >= from)
    }
}

/// Whether a proxy was unavailable at some time in a span.
fn unavailable(proxy: Option<&Proxy>, from: Micros, to: Micros) -> bool {
    let Some(proxy) = proxy else { return true };
    let within = |gap: &Gap| gap.from <= to && gap.to >= from;
    proxy.gaps.iter().any(within) || !proxy.up && proxy.gaps.is_empty()
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
