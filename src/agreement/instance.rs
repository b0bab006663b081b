//! One proxy of a fleet that agrees: its lease, its vote if it has one, and the ballots that it holds. It is told what comes
//! and what time it is, and says what to send, what to write down and which documents to get.

use super::holder::{Holder, Lease, Seen};
use super::message::Message;
use super::proposer::{End, Goal, Moot, Proposer};
use super::voter::{Said, Voter, Votes};
use super::{Accepted, Ballot, Hash, Holds, Kind, ProxyNumber, Standing, Timing, KINDS};
use crate::interface::Time;
use crate::policy::state::hash_fraction;
use std::collections::{BTreeMap, BTreeSet};

/// How long a change may take until its proposer gives it up, in leases.
const GIVES_UP: u64 = 5;
/// Two clocks are compared over at least this, in us.
const COMPARED: Time = 2_000_000;

/// Who takes part.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// This proxy.
    pub me: ProxyNumber,
    /// The number of its start: higher than that of any start before.
    pub start: u64,
    /// Those that vote.
    pub voters: Vec<ProxyNumber>,
    /// The times that all have alike.
    pub times: Timing,
    /// Of its lots.
    pub seed: u64,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Say this.
    Send(ProxyNumber, Message),
    /// Write these votes down, then call [`Instance::written`] with the number.
    Write(u64, Box<Votes>),
    /// Write these votes down, then call [`Instance::learned`].
    Relearn(Box<Votes>),
    /// Get this document from there.
    Fetch(ProxyNumber, Hash),
    /// A ballot that this proxy held is over.
    Ended(Kind, Goal, End),
}

/// What is known of another proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// Its start.
    pub start: u64,
    /// When it last said anything.
    pub at: Time,
    /// The turns that it acts on, where it has said so here.
    pub turns: [u64; 2],
    /// Version of the member list that it holds.
    pub list: u64,
    /// It cannot vote yet, as it may have forgotten what it promised.
    pub forgot: bool,
    /// Its clock and this one's when they were first compared, and how long that answer took.
    clocks: Option<(Time, Time, Time)>,
    /// Its clock runs apart from this one's by more than is allowed.
    pub drifts: bool,
}

/// The proxy.
pub struct Instance {
    fleet: Fleet,
    voter: Option<Voter>,
    holder: Holder,
    /// When the voters are asked next.
    asks: Time,
    tasks: [Option<Proposer>; 2],
    highest: [Ballot; 2],
    /// A change that was seen chosen: its turn, since when, and whether this proxy brought it about.
    changes: [Option<(u64, Time, bool)>; 2],
    documents: BTreeSet<Hash>,
    /// Versions between which there is no middle.
    clashes: BTreeSet<(Hash, Hash)>,
    heard: BTreeMap<ProxyNumber, Heard>,
    list: u64,
    newest: (u64, ProxyNumber),
}

impl Instance {
    /// One that begins now; `voter` where it votes.
    pub fn new(fleet: Fleet, voter: Option<Voter>, now: Time) -> Self {
        // Nonces of a later start must not be those of this one.
        let holder = Holder::new(fleet.voters.clone(), fleet.times, fleet.start << 20);
        Instance {
            voter,
            holder,
            asks: now,
            tasks: [None, None],
            highest: [Ballot::default(); 2],
            changes: [None; 2],
            documents: BTreeSet::new(),
            clashes: BTreeSet::new(),
            heard: BTreeMap::new(),
            list: 0,
            newest: (0, fleet.me),
            fleet,
        }
    }

    /// What may be acted on now, and until when.
    pub fn holds(&self, now: Time) -> Option<([Standing; 2], Time)> {
        self.holder.holds(now)
    }

    /// The last lease of a kind, even if it is over.
    pub fn last(&self, kind: Kind) -> Option<Lease> {
        self.holder.last(kind)
    }

    /// What is known of the others.
    pub fn heard(&self) -> &BTreeMap<ProxyNumber, Heard> {
        &self.heard
    }

    /// Whether it votes, and remembers what it promised.
    pub fn votes(&self) -> Option<bool> {
        self.voter.as_ref().map(Voter::remembers)
    }

    /// Whom a ballot of this proxy waits for.
    pub fn awaits(&self, kind: Kind) -> Vec<ProxyNumber> {
        self.tasks[kind.at()].as_ref().map_or_else(Vec::new, Proposer::awaits)
    }

    /// A document is here, whole and sound.
    pub fn document(&mut self, hash: Hash) {
        self.documents.insert(hash);
    }

    /// A document is gone.
    pub fn forget(&mut self, hash: &Hash) {
        self.documents.remove(hash);
        self.clashes.retain(|(one, other)| one != hash && other != hash);
    }

    /// Between these two documents there is no middle: this voter accepts no change from one to the other.
    pub fn clash(&mut self, one: Hash, other: Hash) {
        self.clashes.extend([(one, other), (other, one)]);
    }

    /// The hashes that anything still rests on, as far as is known here.
    pub fn needs(&self) -> BTreeSet<Hash> {
        let leases = KINDS.into_iter().filter_map(|kind| self.holder.last(kind)).map(|l| l.accepted.standing);
        let votes = self.voter.iter().flat_map(|v| v.durable().iter().map(|vote| vote.accepted.standing));
        leases.chain(votes).flat_map(|s| s.holds.versions().map(|v| v.hash).collect::<Vec<_>>()).collect()
    }

    /// This proxy holds this version of the member list.
    pub fn listed(&mut self, version: u64) {
        self.list = version;
        if version > self.newest.0 {
            self.newest = (version, self.fleet.me);
        }
    }

    /// A later version of the member list than this proxy's, and who holds it.
    pub fn newer_list(&self) -> Option<(u64, ProxyNumber)> {
        Some(self.newest).filter(|(version, by)| *version > self.list && *by != self.fleet.me)
    }

    /// Begins a ballot; false while another one of this proxy is under way.
    pub fn propose(&mut self, kind: Kind, goal: Goal, now: Time) -> bool {
        if self.tasks[kind.at()].is_some() {
            return false;
        }
        let own = self.voter.as_ref().map_or(Ballot::default(), |v| v.highest(kind));
        let seen = self.holder.last(kind).map_or(Ballot::default(), |l| l.accepted.ballot);
        let highest = self.highest[kind.at()].max(own).max(seen);
        let until = now + GIVES_UP * self.fleet.times.lease;
        let Fleet { me, start, voters, .. } = &self.fleet;
        let proposer = Proposer::new((kind, *me, *start), voters.clone(), goal, highest, (now, until));
        self.tasks[kind.at()] = Some(proposer);
        true
    }

    fn send(&mut self, to: ProxyNumber, message: Message, now: Time, out: &mut Vec<Out>) {
        if to == self.fleet.me {
            // Its own vote needs no network, and no trust in one.
            self.take(to, message, now, out);
        } else {
            out.push(Out::Send(to, message));
        }
    }

    /// What another proxy says, in which of its starts.
    pub fn hear(&mut self, from: ProxyNumber, start: u64, message: Message, now: Time) -> Vec<Out> {
        let heard = self.heard.entry(from).or_default();
        if heard.start != start {
            *heard = Heard { start, ..Heard::default() };
        }
        heard.at = now;
        let mut out = Vec::new();
        self.take(from, message, now, &mut out);
        out
    }

    fn take(&mut self, from: ProxyNumber, message: Message, now: Time, out: &mut Vec<Out>) {
        match message {
            Message::Ask { nonce, list, turns } => {
                if let Some(heard) = self.heard.get_mut(&from) {
                    (heard.turns, heard.list) = (turns, list);
                }
                if list > self.newest.0 {
                    self.newest = (list, from);
                }
                let Some(voter) = &self.voter else { return };
                let say = match voter.accepted() {
                    Some(accepted) => Message::Told { nonce, accepted, list: self.newest, clock: now },
                    None => Message::Forgot { nonce },
                };
                self.send(from, say, now, out);
            }
            Message::Told { nonce, accepted, list, clock } => {
                self.told(from, (nonce, accepted, list, clock), now, out)
            }
            Message::Forgot { .. } => {
                if let Some(heard) = self.heard.get_mut(&from) {
                    heard.forgot = true;
                }
            }
            Message::Prepare { kind, ballot } => {
                self.highest[kind.at()] = self.highest[kind.at()].max(ballot);
                let said = self.voter.as_mut().map_or(Said::Nothing, |v| v.prepare(from, kind, ballot));
                self.say(from, said, now, out);
            }
            Message::Accept { kind, ballot, standing } => {
                // What a voter helps to bring about it must be able to act on, and to hand on.
                if let Holds::Between { from: old, to: new } = standing.holds {
                    if self.clashes.contains(&(old.hash, new.hash)) {
                        return;
                    }
                }
                let lacks = standing.holds.versions().find(|v| !self.documents.contains(&v.hash));
                let said = match lacks {
                    Some(version) if self.voter.is_some() => {
                        if from != self.fleet.me {
                            out.push(Out::Fetch(from, version.hash));
                        }
                        Said::Now(Box::new(Message::Lacks { kind, ballot, hash: version.hash }))
                    }
                    _ => {
                        self.voter.as_mut().map_or(Said::Nothing, |v| v.accept(from, kind, ballot, standing))
                    }
                };
                self.say(from, said, now, out);
            }
            Message::Promised { kind, .. } | Message::Accepts { kind, .. } | Message::Denied { kind, .. } => {
                let Some(proposer) = self.tasks[kind.at()].as_mut() else { return };
                let done = proposer.hear(from, &message, now, &self.fleet.times);
                self.went(kind, done, now, out);
            }
            // It has asked for the document, and is asked again in its turn.
            Message::Lacks { .. } => {}
        }
    }

    fn say(&mut self, to: ProxyNumber, said: Said, now: Time, out: &mut Vec<Out>) {
        match said {
            Said::Now(message) => self.send(to, *message, now, out),
            Said::Write(number, votes) => out.push(Out::Write(number, votes)),
            Said::Nothing => {}
        }
    }

    fn told(
        &mut self,
        from: ProxyNumber,
        (nonce, accepted, list, clock): (u64, [Accepted; 2], (u64, ProxyNumber), Time),
        now: Time,
        out: &mut Vec<Out>,
    ) {
        if list.0 > self.newest.0 {
            self.newest = list;
        }
        if let Some(at) = self.holder.asked(nonce) {
            let took = now - at;
            if let Some(heard) = self.heard.get_mut(&from) {
                heard.forgot = false;
                heard.compare(clock, now, took, &self.fleet.times);
            }
        }
        let all = (self.fleet.voters.len(), &self.fleet.times, now);
        if from != self.fleet.me {
            let learned = self.voter.as_mut().and_then(|v| v.learn(from, accepted, all));
            out.extend(learned.map(|votes| Out::Relearn(Box::new(votes))));
        }
        let Some(seen) = self.holder.told(from, nonce, accepted, now) else { return };
        for (kind, seen) in KINDS.into_iter().zip(seen) {
            if let Seen::Chosen(accepted) = seen {
                self.chosen(kind, accepted, now, false);
                for version in accepted.standing.holds.versions() {
                    if !self.documents.contains(&version.hash) && from != self.fleet.me {
                        out.push(Out::Fetch(from, version.hash));
                    }
                }
            }
        }
    }

    fn chosen(&mut self, kind: Kind, accepted: Accepted, now: Time, own: bool) {
        let Standing { turn, holds } = accepted.standing;
        let change = &mut self.changes[kind.at()];
        match (holds, &change) {
            (Holds::Between { .. }, Some((known, ..))) if *known >= turn => {}
            (Holds::Between { .. }, _) => *change = Some((turn, now, own)),
            // One that was seen before this change says nothing of it.
            (_, Some((known, ..))) if turn < *known => {}
            _ => *change = None,
        }
    }

    /// A ballot of this proxy has gone on, or is over.
    fn went(
        &mut self,
        kind: Kind,
        done: Result<Vec<(ProxyNumber, Message)>, End>,
        now: Time,
        out: &mut Vec<Out>,
    ) {
        match done {
            Ok(say) => say.into_iter().for_each(|(to, message)| self.send(to, message, now, out)),
            Err(end) => {
                let Some(proposer) = self.tasks[kind.at()].take() else { return };
                let goal = proposer.goal();
                self.highest[kind.at()] = self.highest[kind.at()].max(proposer.highest());
                if let End::Chosen(accepted) = end {
                    let own = matches!(goal, Goal::Change { .. });
                    self.chosen(kind, accepted, now, own);
                    // It asks at once: whoever waits for this is to see it soon.
                    self.asks = now;
                }
                if matches!(goal, Goal::Finish(_)) && matches!(end, End::Moot(Moot::Over(_))) {
                    self.changes[kind.at()] = None;
                }
                out.push(Out::Ended(kind, goal, end));
            }
        }
    }

    /// Votes of this number are on the disk.
    pub fn written(&mut self, number: u64, now: Time) -> Vec<Out> {
        let mut out = Vec::new();
        let say = self.voter.as_mut().map_or_else(Vec::new, |v| v.written(number));
        say.into_iter().for_each(|(to, message)| self.send(to, message, now, &mut out));
        out
    }

    /// What was learned anew is on the disk.
    pub fn learned(&mut self) {
        self.voter.iter_mut().for_each(Voter::learned);
    }

    /// The operators begin a new epoch: what to write first; nothing where this is no voter or the epoch no later one.
    pub fn start_over(&mut self, epoch: u32) -> Option<Out> {
        let votes = self.voter.as_mut()?.start_over(epoch)?;
        self.highest = [Ballot { epoch, ..Ballot::default() }; 2];
        self.tasks = [None, None];
        Some(Out::Relearn(Box::new(votes)))
    }

    /// Looks at the clock.
    pub fn tick(&mut self, now: Time) -> Vec<Out> {
        let mut out = Vec::new();
        if now >= self.asks {
            self.ask(now, &mut out);
        }
        for kind in KINDS {
            if let Some(proposer) = self.tasks[kind.at()].as_mut() {
                let done = proposer.tick(now, &self.fleet.times);
                self.went(kind, done, now, &mut out);
            } else if self.voter.is_some() {
                self.bring_on(kind, now);
            }
        }
        out
    }

    fn ask(&mut self, now: Time, out: &mut Vec<Out>) {
        let times = self.fleet.times;
        let nonce = self.holder.ask(now);
        // All of a fleet may have begun at one moment; they are not to ask at one for ever.
        let part = 0.75 + hash_fraction(self.fleet.seed, now, 7) / 4.0;
        self.asks = now + (times.asks() as f64 * part) as Time;
        let turns = KINDS.map(|kind| self.holder.last(kind).map_or(0, |l| l.accepted.standing.turn));
        let list = self.list;
        for voter in self.fleet.voters.clone() {
            self.send(voter, Message::Ask { nonce, list, turns }, now, out);
        }
    }

    /// Goes on with what was left in its middle: a change whose time has come, or a ballot that nobody has ended. Whoever
    /// began the change comes first, any other voter after a pause by lot.
    fn bring_on(&mut self, kind: Kind, now: Time) {
        let times = self.fleet.times;
        let by_lot = |n: u64| {
            (times.round as f64 * (2.0 + 6.0 * hash_fraction(!self.fleet.seed, now / times.round, n))) as Time
        };
        if let Some((turn, since, own)) = self.changes[kind.at()] {
            let pause = if own { 0 } else { by_lot(turn) };
            if now >= since + times.max_lease() + pause {
                self.propose(kind, Goal::Finish(turn), now);
                return;
            }
        }
        if self.holder.split(kind).is_some_and(|since| now >= since + times.ballot() + by_lot(0)) {
            self.propose(kind, Goal::Repair, now);
        }
    }

    /// When it wants to look at the clock next.
    pub fn wakes(&self) -> Time {
        let times = &self.fleet.times;
        let tasks = self.tasks.iter().flatten().map(|proposer| proposer.wakes(times));
        let own = self
            .changes
            .iter()
            .flatten()
            .filter(|(_, _, own)| *own)
            .map(|(_, since, _)| since + times.max_lease());
        let own = own.filter(|_| self.voter.is_some() && self.tasks.iter().all(Option::is_none));
        tasks.chain(own).fold(self.asks, Time::min)
    }
}

impl Heard {
    /// Compares its clock with this one's. An answer that took `took` was given at some time within that.
    fn compare(&mut self, theirs: Time, mine: Time, took: Time, times: &Timing) {
        let Some((their_first, my_first, first_took)) = self.clocks else {
            self.clocks = Some((theirs, mine, took));
            return;
        };
        let (their_span, my_span) = (theirs.saturating_sub(their_first), mine - my_first);
        if my_span < COMPARED {
            return;
        }
        self.drifts = their_span.abs_diff(my_span) > times.drift(my_span) + took + first_took;
        // Anew from here: a clock that has been set right is to be seen, too.
        if my_span > 30 * COMPARED {
            self.clocks = Some((theirs, mine, took));
        }
    }
}

#[cfg(test)]
#[path = "instance_tests.rs"]
mod tests;
