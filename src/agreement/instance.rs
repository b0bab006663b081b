//! The agreement protocol of one proxy: its lease, its voter if it has one, and its proposers. An
//! [`Instance`] is sans I/O: it is given received messages and the time, and returns what to send, what to
//! write to disk and which documents to fetch.

use super::holder::{Lease, LeaseHolder, QueryResult};
use super::message::Message;
use super::proposer::{Proposal, ProposalEnd, ProposalError, Proposer};
use super::voter::{Response, Voter, Votes};
use super::{AcceptedValue, ActiveVersions, Ballot, Hash, Kind, ProxyNumber, RegisterValue, Timing, KINDS};
use crate::interface::Time;
use crate::policy::state::hash_fraction;
use std::collections::{BTreeMap, BTreeSet};

/// A proposal is given up after this many lease lengths.
const PROPOSAL_TIMEOUT_LEASES: u64 = 5;
/// The shortest time over which two clocks are compared, in us.
const MIN_CLOCK_COMPARISON: Time = 2_000_000;

/// The configuration of an instance.
#[derive(Debug, Clone)]
pub struct InstanceConfig {
    /// The number of this proxy.
    pub me: ProxyNumber,
    /// The incarnation of this proxy: higher than that of any earlier start.
    pub incarnation: u64,
    /// The proxies that vote.
    pub voters: Vec<ProxyNumber>,
    /// Protocol timing.
    pub timing: Timing,
    /// The seed of random delays.
    pub seed: u64,
}

/// What the caller must do for an instance.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this message.
    Send(ProxyNumber, Message),
    /// Write these votes, then call [`Instance::votes_written`] with the number.
    WriteVotes(u64, Box<Votes>),
    /// Write these votes, then call [`Instance::recovery_written`].
    WriteRecovery(Box<Votes>),
    /// Fetch this document from that proxy.
    FetchDocument(ProxyNumber, Hash),
    /// A proposal of this proxy has ended.
    ProposalEnded(Kind, Proposal, ProposalEnd),
}

/// What this proxy knows about another one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerState {
    /// Its incarnation.
    pub incarnation: u64,
    /// When its last message was received.
    pub last_heard: Time,
    /// The revisions that it acts on, by kind, if it has queried this voter.
    pub revisions: [u64; 2],
    /// The version of its member list.
    pub list_version: u64,
    /// It cannot vote yet, because it may have lost promises.
    pub recovering: bool,
    /// Its clock, this proxy's clock and the round-trip time when the clocks were first compared.
    clock_baseline: Option<(Time, Time, Time)>,
    /// The rates of its clock and this proxy's differ by more than the configured maximum.
    pub clock_drifts: bool,
}

/// The protocol state of one proxy.
pub struct Instance {
    config: InstanceConfig,
    voter: Option<Voter>,
    holder: LeaseHolder,
    /// When the voters are queried next.
    next_query: Time,
    proposers: [Option<Proposer>; 2],
    highest_ballots: [Ballot; 2],
    /// A change that is chosen but not finished, by kind: its revision, when this proxy saw it chosen, and
    /// whether this proxy proposed it.
    pending_changes: [Option<(u64, Time, bool)>; 2],
    documents: BTreeSet<Hash>,
    /// Pairs of versions that have no common rules, in both orders.
    incompatible: BTreeSet<(Hash, Hash)>,
    peers: BTreeMap<ProxyNumber, PeerState>,
    list_version: u64,
    newest_list: (u64, ProxyNumber),
}

impl Instance {
    /// Creates an instance; `voter` is given where this proxy votes.
    pub fn new(config: InstanceConfig, voter: Option<Voter>, now: Time) -> Self {
        // Nonces of different incarnations must differ.
        let holder = LeaseHolder::new(config.voters.clone(), config.timing, config.incarnation << 20);
        Instance {
            voter,
            holder,
            next_query: now,
            proposers: [None, None],
            highest_ballots: [Ballot::default(); 2],
            pending_changes: [None; 2],
            documents: BTreeSet::new(),
            incompatible: BTreeSet::new(),
            peers: BTreeMap::new(),
            list_version: 0,
            newest_list: (0, config.me),
            config,
        }
    }

    /// The values that may be acted on now, and until when.
    pub fn leased_values(&self, now: Time) -> Option<([RegisterValue; 2], Time)> {
        self.holder.leased_values(now)
    }

    /// The latest lease on a kind, even if it has expired.
    pub fn last_lease(&self, kind: Kind) -> Option<Lease> {
        self.holder.last_lease(kind)
    }

    /// What this proxy knows about the others.
    pub fn peers(&self) -> &BTreeMap<ProxyNumber, PeerState> {
        &self.peers
    }

    /// Whether this voter may vote: false while it recovers lost votes, `None` where this proxy is no voter.
    pub fn can_vote(&self) -> Option<bool> {
        self.voter.as_ref().map(Voter::can_vote)
    }

    /// The voters that a ballot of this proxy waits for.
    pub fn awaited_voters(&self, kind: Kind) -> Vec<ProxyNumber> {
        self.proposers[kind.index()].as_ref().map_or_else(Vec::new, Proposer::awaited_voters)
    }

    /// A valid document has become available.
    pub fn document_added(&mut self, hash: Hash) {
        self.documents.insert(hash);
    }

    /// A document is no longer available.
    pub fn document_removed(&mut self, hash: &Hash) {
        self.documents.remove(hash);
        self.incompatible.retain(|(one, other)| one != hash && other != hash);
    }

    /// Records that two documents have no common rules: this voter accepts no change from one to the other.
    pub fn mark_incompatible(&mut self, one: Hash, other: Hash) {
        self.incompatible.extend([(one, other), (other, one)]);
    }

    /// The hashes of the documents that the leases and the votes on disk refer to.
    pub fn referenced_documents(&self) -> BTreeSet<Hash> {
        let leases =
            KINDS.into_iter().filter_map(|kind| self.holder.last_lease(kind)).map(|l| l.accepted.value);
        let votes = self.voter.iter().flat_map(|v| v.durable().iter().map(|vote| vote.accepted.value));
        leases.chain(votes).flat_map(|v| v.active.versions().map(|v| v.hash).collect::<Vec<_>>()).collect()
    }

    /// Sets the version of the member list that this proxy holds.
    pub fn set_list_version(&mut self, version: u64) {
        self.list_version = version;
        if version > self.newest_list.0 {
            self.newest_list = (version, self.config.me);
        }
    }

    /// The newest version of the member list, and a proxy that holds it, if it is newer than this proxy's
    /// own.
    pub fn newer_list(&self) -> Option<(u64, ProxyNumber)> {
        Some(self.newest_list)
            .filter(|(version, holder)| *version > self.list_version && *holder != self.config.me)
    }

    /// Starts a proposer. Returns false if another one of this kind is already running here.
    pub fn propose(&mut self, kind: Kind, proposal: Proposal, now: Time) -> bool {
        if self.proposers[kind.index()].is_some() {
            return false;
        }
        let promised = self.voter.as_ref().map_or(Ballot::default(), |v| v.highest_ballot(kind));
        let seen = self.holder.last_lease(kind).map_or(Ballot::default(), |l| l.accepted.ballot);
        let highest = self.highest_ballots[kind.index()].max(promised).max(seen);
        let until = now + PROPOSAL_TIMEOUT_LEASES * self.config.timing.lease;
        let InstanceConfig { me, incarnation, voters, .. } = &self.config;
        let proposer =
            Proposer::new((kind, *me, *incarnation), voters.clone(), proposal, highest, (now, until));
        self.proposers[kind.index()] = Some(proposer);
        true
    }

    fn send(&mut self, to: ProxyNumber, message: Message, now: Time, actions: &mut Vec<Action>) {
        if to == self.config.me {
            // A message to this proxy itself is handled at once, without the network and without
            // authentication.
            self.handle(to, message, now, actions);
        } else {
            actions.push(Action::Send(to, message));
        }
    }

    /// Handles a message from another proxy, with the sender's incarnation.
    pub fn receive(
        &mut self,
        from: ProxyNumber,
        incarnation: u64,
        message: Message,
        now: Time,
    ) -> Vec<Action> {
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != incarnation {
            *peer = PeerState { incarnation, ..PeerState::default() };
        }
        peer.last_heard = now;
        let mut actions = Vec::new();
        self.handle(from, message, now, &mut actions);
        actions
    }

    fn handle(&mut self, from: ProxyNumber, message: Message, now: Time, actions: &mut Vec<Action>) {
        match message {
            Message::Query { nonce, list_version, revisions } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    (peer.revisions, peer.list_version) = (revisions, list_version);
                }
                if list_version > self.newest_list.0 {
                    self.newest_list = (list_version, from);
                }
                let Some(voter) = &self.voter else { return };
                let answer = match voter.accepted() {
                    Some(accepted) => {
                        Message::Report { nonce, accepted, newest_list: self.newest_list, clock: now }
                    }
                    None => Message::Recovering { nonce },
                };
                self.send(from, answer, now, actions);
            }
            Message::Report { nonce, accepted, newest_list, clock } => {
                self.handle_report(from, (nonce, accepted, newest_list, clock), now, actions)
            }
            Message::Recovering { .. } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.recovering = true;
                }
            }
            Message::Prepare { kind, ballot } => {
                self.highest_ballots[kind.index()] = self.highest_ballots[kind.index()].max(ballot);
                let response =
                    self.voter.as_mut().map_or(Response::Ignore, |v| v.prepare(from, kind, ballot));
                self.respond(from, response, now, actions);
            }
            Message::Accept { kind, ballot, value } => {
                // A voter accepts only what it could itself act on, and only documents that it can pass on to
                // others.
                if let ActiveVersions::Transition { from: old, to: new } = value.active {
                    if self.incompatible.contains(&(old.hash, new.hash)) {
                        return;
                    }
                }
                let missing = value.active.versions().find(|v| !self.documents.contains(&v.hash));
                let response = match missing {
                    Some(version) if self.voter.is_some() => {
                        if from != self.config.me {
                            actions.push(Action::FetchDocument(from, version.hash));
                        }
                        Response::Send(Box::new(Message::MissingDocument {
                            kind,
                            ballot,
                            hash: version.hash,
                        }))
                    }
                    _ => {
                        self.voter.as_mut().map_or(Response::Ignore, |v| v.accept(from, kind, ballot, value))
                    }
                };
                self.respond(from, response, now, actions);
            }
            Message::Promise { kind, .. }
            | Message::Accepted { kind, .. }
            | Message::Rejected { kind, .. } => {
                let Some(proposer) = self.proposers[kind.index()].as_mut() else { return };
                let progress = proposer.receive(from, &message, now, &self.config.timing);
                self.proposer_advanced(kind, progress, now, actions);
            }
            // The voter fetches the document itself; the proposer repeats its message after a round trip.
            Message::MissingDocument { .. } => {}
        }
    }

    fn respond(&mut self, to: ProxyNumber, response: Response, now: Time, actions: &mut Vec<Action>) {
        match response {
            Response::Send(message) => self.send(to, *message, now, actions),
            Response::Write(number, votes) => actions.push(Action::WriteVotes(number, votes)),
            Response::Ignore => {}
        }
    }

    fn handle_report(
        &mut self,
        from: ProxyNumber,
        (nonce, accepted, newest_list, clock): (u64, [AcceptedValue; 2], (u64, ProxyNumber), Time),
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if newest_list.0 > self.newest_list.0 {
            self.newest_list = newest_list;
        }
        if let Some(sent_at) = self.holder.query_sent_at(nonce) {
            let round_trip = now - sent_at;
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.recovering = false;
                peer.compare_clocks(clock, now, round_trip, &self.config.timing);
            }
        }
        let voters_and_time = (self.config.voters.len(), &self.config.timing, now);
        if from != self.config.me {
            let recovered = self.voter.as_mut().and_then(|v| v.learn_from(from, accepted, voters_and_time));
            actions.extend(recovered.map(|votes| Action::WriteRecovery(Box::new(votes))));
        }
        let Some(results) = self.holder.handle_answer(from, nonce, accepted, now) else { return };
        for (kind, result) in KINDS.into_iter().zip(results) {
            if let QueryResult::Chosen(accepted) = result {
                self.value_chosen(kind, accepted, now, false);
                for version in accepted.value.active.versions() {
                    if !self.documents.contains(&version.hash) && from != self.config.me {
                        actions.push(Action::FetchDocument(from, version.hash));
                    }
                }
            }
        }
    }

    fn value_chosen(&mut self, kind: Kind, accepted: AcceptedValue, now: Time, own: bool) {
        let RegisterValue { revision, active } = accepted.value;
        let change = &mut self.pending_changes[kind.index()];
        match (active, &change) {
            (ActiveVersions::Transition { .. }, Some((pending, ..))) if *pending >= revision => {}
            (ActiveVersions::Transition { .. }, _) => *change = Some((revision, now, own)),
            // A value from before the pending change does not end it.
            (_, Some((pending, ..))) if revision < *pending => {}
            _ => *change = None,
        }
    }

    /// Handles what a proposer of this proxy returned: messages to be sent, or how the proposal ended.
    fn proposer_advanced(
        &mut self,
        kind: Kind,
        progress: Result<Vec<(ProxyNumber, Message)>, ProposalEnd>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        match progress {
            Ok(outgoing) => {
                outgoing.into_iter().for_each(|(to, message)| self.send(to, message, now, actions))
            }
            Err(end) => {
                let Some(proposer) = self.proposers[kind.index()].take() else { return };
                let proposal = proposer.proposal();
                self.highest_ballots[kind.index()] =
                    self.highest_ballots[kind.index()].max(proposer.highest_ballot());
                if let ProposalEnd::Chosen(accepted) = end {
                    let own = matches!(proposal, Proposal::Change { .. });
                    self.value_chosen(kind, accepted, now, own);
                    // Queries at once, so that this proxy sees the result soon.
                    self.next_query = now;
                }
                if matches!(proposal, Proposal::Finish(_))
                    && matches!(end, ProposalEnd::Failed(ProposalError::StaleRevision(_)))
                {
                    self.pending_changes[kind.index()] = None;
                }
                actions.push(Action::ProposalEnded(kind, proposal, end));
            }
        }
    }

    /// The votes with this number are on disk.
    pub fn votes_written(&mut self, number: u64, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let replies = self.voter.as_mut().map_or_else(Vec::new, |v| v.votes_written(number));
        replies.into_iter().for_each(|(to, message)| self.send(to, message, now, &mut actions));
        actions
    }

    /// The votes of [`Action::WriteRecovery`] are on disk.
    pub fn recovery_written(&mut self) {
        self.voter.iter_mut().for_each(Voter::recovery_written);
    }

    /// Operators begin a new epoch. Returns the write that must come first, or `None` if this proxy is no
    /// voter or the epoch is not later than the current one.
    pub fn begin_epoch(&mut self, epoch: u32) -> Option<Action> {
        let votes = self.voter.as_mut()?.begin_epoch(epoch)?;
        self.highest_ballots = [Ballot { epoch, ..Ballot::default() }; 2];
        self.proposers = [None, None];
        Some(Action::WriteRecovery(Box::new(votes)))
    }

    /// Does what is due at this time: queries the voters, advances proposers and resumes unfinished changes.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_query {
            self.query_voters(now, &mut actions);
        }
        for kind in KINDS {
            if let Some(proposer) = self.proposers[kind.index()].as_mut() {
                let progress = proposer.tick(now, &self.config.timing);
                self.proposer_advanced(kind, progress, now, &mut actions);
            } else if self.voter.is_some() {
                self.resume_unfinished(kind, now);
            }
        }
        actions
    }

    fn query_voters(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timing = self.config.timing;
        let nonce = self.holder.start_query(now);
        // The random part keeps proxies that were started together from sending their queries together.
        let jitter = 0.75 + hash_fraction(self.config.seed, now, 7) / 4.0;
        self.next_query = now + (timing.query_interval() as f64 * jitter) as Time;
        let revisions =
            KINDS.map(|kind| self.holder.last_lease(kind).map_or(0, |l| l.accepted.value.revision));
        let list_version = self.list_version;
        for voter in self.config.voters.clone() {
            self.send(voter, Message::Query { nonce, list_version, revisions }, now, actions);
        }
    }

    /// Resumes what was left unfinished: a change once all leases from before it have expired, or a ballot
    /// that was abandoned halfway. The proxy that proposed the change goes first; any other voter adds a
    /// random delay.
    fn resume_unfinished(&mut self, kind: Kind, now: Time) {
        let timing = self.config.timing;
        let random_delay = |n: u64| {
            (timing.round as f64 * (2.0 + 6.0 * hash_fraction(!self.config.seed, now / timing.round, n)))
                as Time
        };
        if let Some((revision, since, own)) = self.pending_changes[kind.index()] {
            let delay = if own { 0 } else { random_delay(revision) };
            if now >= since + timing.max_lease() + delay {
                self.propose(kind, Proposal::Finish(revision), now);
                return;
            }
        }
        if self
            .holder
            .split_since(kind)
            .is_some_and(|since| now >= since + timing.ballot_timeout() + random_delay(0))
        {
            self.propose(kind, Proposal::Repair, now);
        }
    }

    /// When [`Instance::tick`] must be called next.
    pub fn next_wakeup(&self) -> Time {
        let timing = &self.config.timing;
        let proposers = self.proposers.iter().flatten().map(|proposer| proposer.next_wakeup(timing));
        let own = self
            .pending_changes
            .iter()
            .flatten()
            .filter(|(_, _, own)| *own)
            .map(|(_, since, _)| since + timing.max_lease());
        let own = own.filter(|_| self.voter.is_some() && self.proposers.iter().all(Option::is_none));
        proposers.chain(own).fold(self.next_query, Time::min)
    }
}

impl PeerState {
    /// Compares the rates of its clock and this proxy's. Its clock was read at an unknown time within
    /// `round_trip`, so the comparison tolerates an error of that size.
    fn compare_clocks(&mut self, theirs: Time, mine: Time, round_trip: Time, timing: &Timing) {
        let Some((their_first, my_first, first_round_trip)) = self.clock_baseline else {
            self.clock_baseline = Some((theirs, mine, round_trip));
            return;
        };
        let (their_elapsed, my_elapsed) = (theirs.saturating_sub(their_first), mine - my_first);
        if my_elapsed < MIN_CLOCK_COMPARISON {
            return;
        }
        self.clock_drifts =
            their_elapsed.abs_diff(my_elapsed) > timing.max_drift(my_elapsed) + round_trip + first_round_trip;
        // Begins a new comparison, so that a clock that has been corrected no longer counts as drifting.
        if my_elapsed > 30 * MIN_CLOCK_COMPARISON {
            self.clock_baseline = Some((theirs, mine, round_trip));
        }
    }
}

#[cfg(test)]
#[path = "instance_tests.rs"]
mod tests;
