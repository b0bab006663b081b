//! A ballot: first a majority of the voters promises to accept nothing below it and tells what it has accepted, then the
//! same standing, or what is to come after it, is put to them. Two that propose at once disturb each other at most for
//! the pauses that they draw by lot.

use super::message::Message;
use super::{majority, Accepted, Ballot, Hash, Holds, Kind, ProxyNumber, Standing, Timing, Version};
use crate::interface::Time;
use crate::policy::state::hash_fraction;
use std::collections::{BTreeMap, BTreeSet};

/// What is to be brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Goal {
    /// This version, on the one that it names as its parent; the first needs none.
    Change {
        /// The version.
        to: Version,
        /// The hash of the one before it.
        parent: Hash,
    },
    /// The change of this turn takes effect: all leases on what was before it have run out.
    Finish(u64),
    /// The change of this turn is taken back.
    Abort(u64),
    /// What was left in the middle of a ballot is chosen, whatever it is.
    Repair,
}

/// Why a goal is not to be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moot {
    /// Another change is under way.
    Busy(Standing),
    /// It does not follow on what holds.
    Behind(Standing),
    /// That turn is over.
    Over(Standing),
    /// No majority of the voters could be reached in time.
    Unreached,
}

impl Goal {
    /// What comes after a standing by this goal.
    ///
    /// # Errors
    /// Why nothing does.
    pub fn after(&self, now: &Standing) -> Result<Standing, Moot> {
        match (*self, now.holds) {
            (Goal::Repair, _) => Ok(*now),
            // It is there already: the one who asked had no answer.
            (Goal::Change { to, .. }, Holds::One(version)) if version == to => Ok(*now),
            (Goal::Change { to, .. }, Holds::Between { to: other, .. }) if other == to => Ok(*now),
            (Goal::Change { .. }, Holds::Between { .. }) => Err(Moot::Busy(*now)),
            (Goal::Change { to, .. }, Holds::Nothing) if to.number == 1 => Ok(now.next(Holds::One(to))),
            (Goal::Change { to, parent }, Holds::One(from))
                if parent == from.hash && to.number == from.number + 1 =>
            {
                Ok(now.next(Holds::Between { from, to }))
            }
            (Goal::Change { .. }, _) => Err(Moot::Behind(*now)),
            (Goal::Finish(turn), Holds::Between { to, .. }) if turn == now.turn => {
                Ok(now.next(Holds::One(to)))
            }
            (Goal::Abort(turn), Holds::Between { from, .. }) if turn == now.turn => {
                Ok(now.next(Holds::One(from)))
            }
            (Goal::Finish(_) | Goal::Abort(_), _) => Err(Moot::Over(*now)),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    /// Until then nothing is done.
    Pause(Time),
    Prepare(BTreeMap<ProxyNumber, Accepted>),
    Accept(Standing, BTreeSet<ProxyNumber>),
}

/// How a goal ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// This standing was chosen, in this ballot.
    Chosen(Accepted),
    /// It is not to be had.
    Moot(Moot),
}

/// What is to be said: to one, or to all voters that have not answered yet.
pub type Say = Vec<(ProxyNumber, Message)>;

/// One that proposes, for one goal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer {
    kind: Kind,
    me: ProxyNumber,
    start: u64,
    voters: Vec<ProxyNumber>,
    goal: Goal,
    ballot: Ballot,
    phase: Phase,
    /// When the ballot began, when it was last said, and when all is given up.
    began: Time,
    said: Time,
    until: Time,
    /// Ballots of which it has heard.
    highest: Ballot,
    tries: u64,
}

impl Proposer {
    /// One that begins at its first look at the clock; `highest` is the highest ballot that this start of the proxy has
    /// heard of or had itself, and after `until` it gives up.
    pub fn new(
        (kind, me, start): (Kind, ProxyNumber, u64),
        voters: Vec<ProxyNumber>,
        goal: Goal,
        highest: Ballot,
        (now, until): (Time, Time),
    ) -> Self {
        Proposer {
            kind,
            me,
            start,
            voters,
            goal,
            ballot: Ballot::default(),
            phase: Phase::Pause(now),
            began: now,
            said: now,
            until,
            highest,
            tries: 0,
        }
    }

    /// The highest ballot that it has heard of or had.
    pub fn highest(&self) -> Ballot {
        self.highest
    }

    /// What for.
    pub fn goal(&self) -> Goal {
        self.goal
    }

    /// Voters that have not answered in this phase: whom it waits for.
    pub fn awaits(&self) -> Vec<ProxyNumber> {
        let answered = |voter: &ProxyNumber| match &self.phase {
            Phase::Pause(_) => false,
            Phase::Prepare(promised) => promised.contains_key(voter),
            Phase::Accept(_, accepted) => accepted.contains(voter),
        };
        self.voters.iter().copied().filter(|voter| !answered(voter)).collect()
    }

    fn words(&self) -> Option<Message> {
        let (kind, ballot) = (self.kind, self.ballot);
        match &self.phase {
            Phase::Pause(_) => None,
            Phase::Prepare(_) => Some(Message::Prepare { kind, ballot }),
            Phase::Accept(standing, _) => Some(Message::Accept { kind, ballot, standing: *standing }),
        }
    }

    fn say(&mut self, now: Time) -> Say {
        self.said = now;
        let Some(words) = self.words() else { return Vec::new() };
        self.awaits().into_iter().map(|voter| (voter, words.clone())).collect()
    }

    /// The ballot comes to nothing: another one, after a pause by lot that grows with the tries.
    fn again(&mut self, now: Time, times: &Timing) {
        self.tries += 1;
        let most = times.round * self.tries.min(8);
        let pause = (most as f64 * hash_fraction(u64::from(self.me), now, self.tries)) as Time;
        self.phase = Phase::Pause(now + pause);
    }

    /// Looks at the clock: what to say, or how it ends.
    pub fn tick(&mut self, now: Time, times: &Timing) -> Result<Say, End> {
        if now >= self.until {
            return Err(End::Moot(Moot::Unreached));
        }
        match self.phase {
            Phase::Pause(at) if now >= at => {
                let round = self.highest.round + 1;
                self.ballot = Ballot { epoch: self.highest.epoch, round, by: self.me, start: self.start };
                (self.highest, self.phase, self.began) = (self.ballot, Phase::Prepare(BTreeMap::new()), now);
                Ok(self.say(now))
            }
            Phase::Pause(_) => Ok(Vec::new()),
            // It must not last longer: a voter that has forgotten its promise votes again after that time.
            _ if now >= self.began + times.ballot() => {
                self.again(now, times);
                Ok(Vec::new())
            }
            _ if now >= self.said + times.round => Ok(self.say(now)),
            _ => Ok(Vec::new()),
        }
    }

    /// When it wants to look at the clock next.
    pub fn wakes(&self, times: &Timing) -> Time {
        match self.phase {
            Phase::Pause(at) => at.min(self.until),
            _ => (self.said + times.round).min(self.began + times.ballot()).min(self.until),
        }
    }

    /// A voter answers: what to say, or how it ends.
    pub fn hear(
        &mut self,
        from: ProxyNumber,
        message: &Message,
        now: Time,
        times: &Timing,
    ) -> Result<Say, End> {
        if !self.voters.contains(&from) || now >= self.began + times.ballot() {
            return Ok(Vec::new());
        }
        let needed = majority(self.voters.len());
        match (message, &mut self.phase) {
            (Message::Denied { kind, ballot, promised }, _) if *kind == self.kind => {
                self.highest = self.highest.max(*promised);
                if *ballot == self.ballot && !matches!(self.phase, Phase::Pause(_)) {
                    self.again(now, times);
                }
                Ok(Vec::new())
            }
            (Message::Promised { kind, ballot, accepted }, Phase::Prepare(promised))
                if *kind == self.kind && *ballot == self.ballot =>
            {
                promised.insert(from, *accepted);
                if promised.len() < needed {
                    return Ok(Vec::new());
                }
                let last = promised.values().max_by_key(|a| a.ballot).copied().unwrap_or_default();
                let standing = self.goal.after(&last.standing).map_err(End::Moot)?;
                self.phase = Phase::Accept(standing, BTreeSet::new());
                Ok(self.say(now))
            }
            (Message::Accepts { kind, ballot }, Phase::Accept(standing, accepted))
                if *kind == self.kind && *ballot == self.ballot =>
            {
                accepted.insert(from);
                if accepted.len() < needed {
                    return Ok(Vec::new());
                }
                Err(End::Chosen(Accepted { ballot: *ballot, standing: *standing }))
            }
            _ => Ok(Vec::new()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::agreement::voter::{Said, Voter, Votes};

    const KIND: Kind = Kind::Settings;
    const TIMES: Timing = Timing { lease: 800_000, drift_ppm: 10_000, round: 50_000 };

    fn version(number: u64) -> Version {
        Version { number, hash: Hash([number as u8; 32]) }
    }

    fn change(number: u64) -> Goal {
        Goal::Change { to: version(number), parent: Hash([number as u8 - 1; 32]) }
    }

    fn proposer(me: ProxyNumber, goal: Goal, now: Time) -> Proposer {
        use std::sync::atomic::{AtomicU64, Ordering};
        // Each is of another start: no two ballots are the same.
        static START: AtomicU64 = AtomicU64::new(1);
        let start = START.fetch_add(1, Ordering::Relaxed);
        Proposer::new((KIND, me, start), vec![1, 2, 3], goal, Ballot::default(), (now, now + 10_000_000))
    }

    /// Voters that answer at once; those that are named do not.
    struct Three(Vec<Voter>);

    impl Three {
        fn new() -> Self {
            Three((0..3).map(|_| Voter::new(Votes::default())).collect())
        }

        fn answer(&mut self, me: ProxyNumber, to: ProxyNumber, message: &Message) -> Option<Message> {
            let voter = &mut self.0[to as usize - 1];
            let said = match message {
                Message::Prepare { kind, ballot } => voter.prepare(me, *kind, *ballot),
                Message::Accept { kind, ballot, standing } => voter.accept(me, *kind, *ballot, *standing),
                _ => Said::Nothing,
            };
            match said {
                Said::Now(message) => Some(*message),
                Said::Write(number, _) => voter.written(number).pop().map(|(_, message)| message),
                Said::Nothing => None,
            }
        }

        /// Plays a proposer to its end, with voters that never hear anything.
        fn play(&mut self, proposer: &mut Proposer, deaf: &[ProxyNumber], mut now: Time) -> (End, Time) {
            loop {
                let mut say = match proposer.tick(now, &TIMES) {
                    Ok(say) => say,
                    Err(end) => return (end, now),
                };
                while let Some((to, message)) = say.pop() {
                    if deaf.contains(&to) {
                        continue;
                    }
                    let Some(answer) = self.answer(proposer.me, to, &message) else { continue };
                    match proposer.hear(to, &answer, now, &TIMES) {
                        Ok(more) => say.extend(more),
                        Err(end) => return (end, now),
                    }
                }
                now = proposer.wakes(&TIMES).max(now + 1);
            }
        }
    }

    fn chosen(end: End) -> Standing {
        let End::Chosen(accepted) = end else { panic!("{end:?}") };
        accepted.standing
    }

    #[test]
    fn a_change_goes_through_the_time_in_between_and_one_voter_may_be_deaf() {
        let mut three = Three::new();
        let first = chosen(three.play(&mut proposer(1, change(1), 0), &[2], 0).0);
        assert_eq!(first, Standing { turn: 1, holds: Holds::One(version(1)) });
        let between = chosen(three.play(&mut proposer(2, change(2), 0), &[1], 0).0);
        assert_eq!(between, first.next(Holds::Between { from: version(1), to: version(2) }));
        // Another one has to wait, the same one is there already.
        let other = Goal::Change { to: Version { number: 2, hash: Hash([9; 32]) }, parent: version(1).hash };
        assert_eq!(three.play(&mut proposer(3, other, 0), &[], 0).0, End::Moot(Moot::Busy(between)));
        assert_eq!(chosen(three.play(&mut proposer(3, change(2), 0), &[], 0).0), between);
        let last = chosen(three.play(&mut proposer(3, Goal::Finish(2), 0), &[3], 0).0);
        assert_eq!(last, between.next(Holds::One(version(2))));
        assert_eq!(three.play(&mut proposer(1, Goal::Finish(2), 0), &[], 0).0, End::Moot(Moot::Over(last)));
        assert_eq!(three.play(&mut proposer(1, other, 0), &[], 0).0, End::Moot(Moot::Behind(last)));
    }

    #[test]
    fn a_change_that_is_taken_back_is_another_turn_than_the_same_change_again() {
        let mut three = Three::new();
        chosen(three.play(&mut proposer(1, change(1), 0), &[], 0).0);
        let between = chosen(three.play(&mut proposer(1, change(2), 0), &[], 0).0);
        let back = chosen(three.play(&mut proposer(1, Goal::Abort(between.turn), 0), &[], 0).0);
        assert_eq!(back.holds, Holds::One(version(1)));
        let again = chosen(three.play(&mut proposer(1, change(2), 0), &[], 0).0);
        assert_eq!((again.holds, again.turn), (between.holds, between.turn + 2));
        // Whoever waited for the first of the two may not finish the second.
        let late = three.play(&mut proposer(2, Goal::Finish(between.turn), 0), &[], 0).0;
        assert_eq!(late, End::Moot(Moot::Over(again)));
    }

    #[test]
    fn what_one_voter_alone_has_accepted_is_found_and_chosen() {
        let mut three = Three::new();
        chosen(three.play(&mut proposer(1, change(1), 0), &[], 0).0);
        // The proposer dies after its word has reached a single voter.
        let mut dead = proposer(2, change(2), 0);
        let say = dead.tick(0, &TIMES).expect("it begins");
        let mut accepts = Vec::new();
        for (to, message) in say {
            let promised = three.answer(2, to, &message).expect("a promise");
            accepts.extend(dead.hear(to, &promised, 0, &TIMES).expect("it goes on"));
        }
        let (to, accept) = accepts.first().expect("it asks").clone();
        three.answer(2, to, &accept);
        let others: Vec<ProxyNumber> = (1..=3).filter(|n| *n != to).collect();
        let repaired = chosen(three.play(&mut proposer(3, Goal::Repair, 0), &others[..1], 0).0);
        assert_eq!(repaired.holds, Holds::Between { from: version(1), to: version(2) });
    }

    #[test]
    fn without_a_majority_it_gives_up_in_its_time_and_no_ballot_lasts_longer_than_it_may() {
        let mut three = Three::new();
        let mut alone = proposer(1, change(1), 0);
        let (end, at) = three.play(&mut alone, &[2, 3], 0);
        assert_eq!((end, at), (End::Moot(Moot::Unreached), 10_000_000));
        assert!(alone.tries > 10, "{}", alone.tries);
        let mut slow = proposer(2, change(1), 0);
        slow.tick(0, &TIMES).expect("it begins");
        let promised = Message::Promised { kind: KIND, ballot: slow.ballot, accepted: Accepted::default() };
        for voter in 1..=3 {
            let late = slow.hear(voter, &promised, TIMES.ballot(), &TIMES);
            assert_eq!(late, Ok(Vec::new()), "the ballot's time is over");
        }
    }
}
