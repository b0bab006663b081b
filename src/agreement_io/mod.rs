//! Carries what the proxies of a fleet agree on: an actor that owns the [`Instance`], its socket, its documents and the
//! way to the disk, and tells the core and the fronts what holds. It decides nothing; with no block `agreement` in the
//! operators' file none of it is there.

pub mod fetch;
pub mod status;

use crate::agreement::document::{self, Content, Document};
use crate::agreement::instance::{Fleet, Instance, Out};
use crate::agreement::message::Message;
use crate::agreement::proposer::{End, Goal};
use crate::agreement::rules::FleetSettings;
use crate::agreement::seal::{Keys, Receiver, Sender};
use crate::agreement::voter::{self, Voter, Votes};
use crate::agreement::{Hash, Holds, Kind, ProxyNumber, Standing, Version, KINDS};
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{CoreCommand, Input};
use crate::handover::ControlHandle;
use crate::interface::{ListKind, Time};
use crate::net::discovery::{self, ListReader};
use crate::net::transient;
use crate::operators::agreement::{AgreementConfig, OnLeaseExpiry};
use crate::store::actor::Scribe;
use crate::store::state::Finding;
use bytes::Bytes;
use fetch::{Question, Want};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

/// Calls of the operators that may wait, and results of tasks.
const MAILBOX: usize = 64;
/// Documents that are kept, beyond those that anything rests on.
const DOCUMENTS: usize = 16;
/// Versions that `history` tells.
const HISTORY: usize = 64;
/// Fetches at a time.
const FETCHES: usize = 4;
/// Names in the store.
const VOTES: &str = "votes";
const DOCUMENT: &str = "document-";
/// How often the list's version is looked at, and the lease is told to the core.
const LOOK: Duration = Duration::from_millis(50);
/// Before something is written again that could not be.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// What the operators ask.
#[derive(Debug)]
pub enum OperatorCommand {
    /// How the fleet stands, as JSON.
    Status,
    /// The versions that were in force here, as JSON.
    History,
    /// Settings, as their JSON, by an author.
    Propose(String, String),
    /// A member out, or back, for the whole fleet.
    SetSuspended(String, bool),
    /// Take back the change that is under way.
    Abort,
    /// Begin a new epoch, as most voters' disks are lost.
    BeginEpoch(u32),
}

/// That, and where the answer goes: what is so or was done, or why not.
pub type OperatorCall = (OperatorCommand, oneshot::Sender<Result<String, String>>);

/// Settings to be taken up: what each shares, and the word once that is done.
pub type SettingsUpdate = (Box<FleetSettings>, oneshot::Sender<()>);

/// Something that a task has done.
enum Done {
    Written(u64),
    Relearned(u64),
    /// The votes that were learned anew, by their number, and why they could not be written.
    Unlearned(u64, Vec<u8>, String),
    Unwritten(String),
    DocumentUnwritten(Hash, String),
    Fetched(Hash, Option<Vec<u8>>),
    Kept(Hash),
    Dropped,
    Listed(Option<Vec<u8>>),
}

/// A document, read once.
struct Kept {
    document: Document,
    content: Content,
    bytes: Bytes,
}

/// What the actor is wired to.
pub struct Dependencies {
    /// The block of the operators' file.
    pub config: AgreementConfig,
    /// Its keys.
    pub keys: Keys,
    /// The way to the core.
    pub control: ControlHandle,
    /// Lists go there.
    pub core: mpsc::Sender<Input>,
    /// Settings go there.
    pub settings_updates: mpsc::Sender<SettingsUpdate>,
    /// The way to the disk; none where this proxy does not vote.
    pub store: Option<Scribe>,
    /// Version of the list that is held.
    pub list_version: Arc<AtomicU64>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The settings of this proxy's own file, as JSON: the first to be agreed on.
    pub own_settings: watch::Receiver<Arc<str>>,
    /// The clock.
    pub clock: Clock,
    /// Of its lots.
    pub seed: u64,
}

/// What a start has found of earlier votes.
pub struct RecoveredVotes {
    /// How the store was found.
    pub finding: Finding,
    /// What was kept of votes and documents, by name.
    pub records: Vec<(String, Vec<u8>)>,
}

impl RecoveredVotes {
    /// Names begin so.
    pub const NAME_PREFIXES: [&'static str; 2] = [VOTES, DOCUMENT];

    /// The voter that goes on from it.
    fn voter(&self, now: Time) -> Voter {
        let kept = self.records.iter().find(|(name, _)| name == VOTES);
        let votes = kept.map(|(_, bytes)| read_votes(bytes));
        match (votes, self.finding) {
            (None, Finding::Sound | Finding::Fresh) => Voter::new(Votes::default()),
            (Some(Some(votes)), Finding::Sound) => Voter::new(votes),
            (votes, finding) => {
                log::warn!(
                    "votes: {finding:?}; this voter may have forgotten what it promised, and learns first"
                );
                Voter::forgetful(votes.flatten().unwrap_or_default(), now)
            }
        }
    }
}

/// Votes with their checksum.
fn write_votes(votes: &Votes) -> Vec<u8> {
    let bytes = voter::write(votes);
    [&crc32fast::hash(&bytes).to_le_bytes()[..], &bytes].concat()
}

fn read_votes(bytes: &[u8]) -> Option<Votes> {
    let (sum, bytes) = bytes.split_first_chunk::<4>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*sum)).then(|| voter::read(bytes))?
}

/// A version that was in force here.
#[derive(Debug, Clone)]
struct Past {
    kind: Kind,
    version: Version,
    author: String,
    proposed: Time,
    since: Time,
}

/// The actor.
pub struct AgreementActor {
    with: Dependencies,
    instance: Instance,
    socket: Arc<UdpSocket>,
    sender: Sender,
    receiver: Receiver,
    documents: BTreeMap<Hash, Kept>,
    fetching: BTreeSet<Hash>,
    /// What was last told the core: what it acts on and until when.
    acts: Option<[Standing; 2]>,
    until: Time,
    /// Since when no lease has held, and whether that was told.
    lapsed: Option<Time>,
    list: (u64, bool),
    history: VecDeque<Past>,
    /// What came of the last change that was proposed here.
    last: String,
    done: mpsc::Sender<Done>,
    ends: mpsc::Receiver<Done>,
    nonce: u64,
    /// How often this voter has learned anew.
    relearned: u64,
}

impl AgreementActor {
    /// One that speaks at the address that the file names for it; it serves other proxies from then on.
    ///
    /// # Errors
    /// When the address cannot be had.
    pub async fn start(
        with: Dependencies,
        memory: Option<RecoveredVotes>,
    ) -> Result<(Self, mpsc::Receiver<Question>), String> {
        let file = &with.config;
        let at =
            file.proxies.get(&file.own_number).copied().ok_or("agreement.me is none of agreement.proxies")?;
        let bad = |e: std::io::Error| format!("agreement: {at}: {e}");
        let socket = Arc::new(transient::listen_datagrams(at).await.map_err(bad)?);
        let listener = transient::listen(at).await.map_err(bad)?;
        let now = with.clock.now();
        let fleet = Fleet {
            me: file.own_number,
            start: now,
            voters: file.voters.clone(),
            times: file.timing,
            seed: with.seed ^ u64::from(file.own_number),
        };
        let votes = file.voters.contains(&file.own_number);
        let voter = memory.as_ref().filter(|_| votes).map(|memory| memory.voter(now));
        let mut instance = Instance::new(fleet, voter, now);
        let mut documents = BTreeMap::new();
        for (name, bytes) in memory.into_iter().flat_map(|m| m.records) {
            let opened = Document::open(&bytes, &with.keys).ok().filter(|_| name.starts_with(DOCUMENT));
            // One that was kept was sound then.
            let read = opened.and_then(|document| Some((document.content().ok()?, document)));
            if let Some((content, document)) = read {
                let hash = document.version().hash;
                instance.document(hash);
                documents.insert(hash, Kept { document, content, bytes: bytes.into() });
            }
        }
        let (questions, asked) = mpsc::channel(MAILBOX);
        tokio::spawn(fetch::serve(listener, with.keys.clone(), questions));
        let (done, ends) = mpsc::channel(MAILBOX);
        let (sender, receiver) = (
            Sender::new(with.keys.clone(), file.own_number, now),
            Receiver::new(with.keys.clone(), file.own_number),
        );
        log::info!("proxy {} of {} agrees with the others at {at}", file.own_number, file.proxies.len());
        let actor = AgreementActor {
            instance,
            socket,
            sender,
            receiver,
            documents,
            fetching: BTreeSet::new(),
            acts: None,
            until: 0,
            lapsed: Some(now),
            list: (0, false),
            history: VecDeque::new(),
            last: "nothing was proposed here".into(),
            done,
            ends,
            nonce: now,
            relearned: 0,
            with,
        };
        Ok((actor, asked))
    }

    /// Runs until the core has ended.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<OperatorCall>,
        mut questions: mpsc::Receiver<Question>,
    ) {
        let mut buffer = [0; 2048];
        loop {
            let now = self.with.clock.now();
            let wakes = self.instance.wakes().min(now + LOOK.as_micros() as Time);
            let socket = self.socket.clone();
            let out = tokio::select! {
                biased;
                () = tokio::time::sleep_until(self.with.clock.instant(wakes)) => self.instance.tick(self.with.clock.now()),
                Some(done) = self.ends.recv() => self.done(done),
                came = socket.recv_from(&mut buffer) => match came {
                    Ok((length, _)) => self.heard(&buffer[..length]),
                    Err(_) => continue,
                },
                Some((want, reply)) = questions.recv() => {
                    let _ = reply.send(self.wanted(want).await);
                    Vec::new()
                }
                call = calls.recv() => match call {
                    Some(call) => self.call(call),
                    None => return,
                },
            };
            self.carry(out).await;
            if self.look().await.is_none() {
                return;
            }
        }
    }

    fn heard(&mut self, datagram: &[u8]) -> Vec<Out> {
        let proxies = &self.with.config.proxies;
        let opened = self.receiver.open(datagram, |from| proxies.contains_key(&from));
        let read = opened.and_then(|(from, start, bytes)| Ok((from, start, Message::read(bytes)?)));
        match read {
            Ok((from, start, message)) => self.instance.hear(from, start, message, self.with.clock.now()),
            Err(why) => {
                count(Count::agreement_dropped);
                log::debug!("a datagram is dropped: {why:?}");
                Vec::new()
            }
        }
    }

    fn done(&mut self, done: Done) -> Vec<Out> {
        let now = self.with.clock.now();
        match done {
            Done::Written(number) => return self.instance.written(number, now),
            // What was learned still later has to be written first.
            Done::Relearned(number) if number != self.relearned => {}
            Done::Relearned(_) => {
                log::info!("this voter votes again");
                self.instance.learned();
            }
            Done::Unwritten(why) => {
                count(Count::agreement_failures);
                log::warn!("a vote cannot be written down and is not given: {why}");
            }
            Done::Unlearned(number, votes, why) => {
                count(Count::agreement_failures);
                log::warn!("votes that were learned anew cannot be written down yet: {why}");
                self.write_learned(number, votes, WRITE_RETRY_INTERVAL);
            }
            Done::DocumentUnwritten(hash, why) => {
                count(Count::agreement_failures);
                log::warn!("a document cannot be written down yet: {why}");
                self.write_document(hash, WRITE_RETRY_INTERVAL);
            }
            Done::Fetched(hash, bytes) => {
                self.fetching.remove(&hash);
                let opened = bytes.and_then(|b| Some((Document::open(&b, &self.with.keys).ok()?, b)));
                if let Some((document, bytes)) = opened.filter(|(d, _)| d.version().hash == hash) {
                    match document.content() {
                        Ok(content) => self.keep(document, content, bytes.into()),
                        Err(why) => {
                            let (kind, version) = (document.kind.name(), document.version());
                            log::warn!("{kind} {version} cannot be acted on: {why}");
                        }
                    }
                }
            }
            Done::Kept(hash) => self.instance.document(hash),
            Done::Dropped => {}
            Done::Listed(bytes) => {
                self.list.1 = false;
                let json = bytes.and_then(|b| serde_json::from_slice(&b).ok());
                let held = self.with.list_version.load(Ordering::Relaxed);
                let mut lists = ListReader::new(self.with.zones.clone());
                if let Some((told, _, entries)) =
                    json.and_then(|j| lists.read(&j, Some(held))).filter(|l| l.0 > held)
                {
                    count(Count::agreement_lists);
                    log::info!(
                        "member list {told} was taken from another proxy; discovery has told {held} here"
                    );
                    self.list.0 = told;
                    let core = self.with.core.clone();
                    tokio::spawn(async move { core.send(Input::List(ListKind::Full, entries)).await });
                }
            }
        }
        Vec::new()
    }

    /// A document is here: it is written down before anything rests on it, where this proxy votes.
    fn keep(&mut self, document: Document, content: Content, bytes: Bytes) {
        let hash = document.version().hash;
        if let Content::Settings(new) = &content {
            // Whoever proposes has looked at this, too; a voter that does not trust in that keeps the others from it.
            for (other, kept) in &self.documents {
                if matches!(&kept.content, Content::Settings(old) if old.meet(new).is_err()) {
                    self.instance.clash(*other, hash);
                }
            }
        }
        self.documents.insert(hash, Kept { document, content, bytes: bytes.clone() });
        let needs = self.instance.needs();
        while self.documents.len() > DOCUMENTS {
            let old = self.documents.iter().filter(|(h, _)| !needs.contains(h) && **h != hash);
            let age = |kept: &Kept| (kept.document.number, kept.document.at);
            let Some(old) = old.min_by_key(|(_, kept)| age(kept)).map(|(h, _)| *h) else { break };
            self.documents.remove(&old);
            self.instance.forget(&old);
            self.write(Duration::ZERO, format!("{DOCUMENT}{}", hex(&old)), Vec::new(), |told| {
                told.map_or_else(Done::Unwritten, |()| Done::Dropped)
            });
        }
        if self.with.store.is_some() {
            self.write_document(hash, Duration::ZERO);
        } else {
            self.instance.document(hash);
        }
    }

    /// Writes a document down, unless it is no longer kept.
    fn write_document(&self, hash: Hash, after: Duration) {
        let Some(kept) = self.documents.get(&hash) else { return };
        self.write(after, format!("{DOCUMENT}{}", hex(&hash)), kept.bytes.to_vec(), move |told| match told {
            Ok(()) => Done::Kept(hash),
            Err(why) => Done::DocumentUnwritten(hash, why),
        });
    }

    /// Writes down what this voter has learned anew, unless it has learned again since then.
    fn write_learned(&self, number: u64, votes: Vec<u8>, after: Duration) {
        if number != self.relearned {
            return;
        }
        let again = votes.clone();
        self.write(after, VOTES.into(), votes, move |told| match told {
            Ok(()) => Done::Relearned(number),
            Err(why) => Done::Unlearned(number, again, why),
        });
    }

    fn write(
        &self,
        after: Duration,
        name: String,
        bytes: Vec<u8>,
        then: impl FnOnce(Result<(), String>) -> Done + Send + 'static,
    ) {
        let Some(scribe) = self.with.store.clone() else { return };
        let done = self.done.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            let told = scribe.keep(name, bytes).await;
            let _ = done.send(then(told)).await;
        });
    }

    async fn wanted(&self, want: Want) -> Option<Bytes> {
        match want {
            Want::Document(hash) => self.documents.get(&hash).map(|kept| kept.bytes.clone()),
            Want::List => {
                let listed = self.with.control.request(CoreCommand::QueryMembers).await?;
                let version = self.with.list_version.load(Ordering::Relaxed);
                Some(discovery::list_to_json(&listed, version, &self.with.zones).to_string().into())
            }
        }
    }

    async fn carry(&mut self, out: Vec<Out>) {
        for out in out {
            match out {
                Out::Send(to, message) => {
                    let Some(at) = self.address(to) else { continue };
                    let datagram = self.sender.seal(to, &message.write());
                    count(Count::agreement_datagrams);
                    // A network loses datagrams, too.
                    let _ = self.socket.try_send_to(&datagram, at);
                }
                Out::Write(number, votes) => {
                    self.write(Duration::ZERO, VOTES.into(), write_votes(&votes), move |told| {
                        told.map_or_else(Done::Unwritten, |()| Done::Written(number))
                    });
                }
                Out::Relearn(votes) => {
                    self.relearned += 1;
                    self.write_learned(self.relearned, write_votes(&votes), Duration::ZERO);
                }
                Out::Fetch(from, hash) => {
                    let here = self.documents.contains_key(&hash) || self.fetching.len() >= FETCHES;
                    if !here && self.fetching.insert(hash) {
                        self.pull(from, Want::Document(hash), move |got| Done::Fetched(hash, got));
                    }
                }
                Out::Ended(kind, goal, end) => self.ended(kind, goal, end),
            }
        }
    }

    fn address(&self, of: ProxyNumber) -> Option<std::net::SocketAddr> {
        self.with.config.proxies.get(&of).copied()
    }

    /// Gets something from another proxy, in a task of its own.
    fn pull(
        &mut self,
        from: ProxyNumber,
        want: Want,
        then: impl FnOnce(Option<Vec<u8>>) -> Done + Send + 'static,
    ) {
        self.nonce += 1;
        let (keys, done, nonce, at) =
            (self.with.keys.clone(), self.done.clone(), self.nonce, self.address(from));
        tokio::spawn(async move {
            let got = match at {
                Some(at) => fetch::get(at, &keys, want, nonce).await,
                None => None,
            };
            let _ = done.send(then(got)).await;
        });
    }

    fn ended(&mut self, kind: Kind, goal: Goal, end: End) {
        let told = match end {
            End::Chosen(accepted) => format!("{}: turn {} is chosen", kind.name(), accepted.standing.turn),
            End::Moot(moot) => format!("{}: nothing was changed: {}", kind.name(), status::moot(&moot)),
        };
        log::info!("{told}");
        if matches!(goal, Goal::Change { .. } | Goal::Abort(_)) {
            self.last = told;
        }
    }

    /// Tells the core what holds, and takes up what is new; none once the core has ended.
    async fn look(&mut self) -> Option<()> {
        let now = self.with.clock.now();
        let version = self.with.list_version.load(Ordering::Relaxed).max(self.list.0);
        self.instance.listed(version);
        let wanted = self.with.config.exchange_lists && !self.list.1;
        if let Some((_, by)) = self.instance.newer_list().filter(|_| wanted) {
            self.list.1 = true;
            self.pull(by, Want::List, Done::Listed);
        }
        let Some((standings, until)) = self.instance.holds(now) else {
            if self.lapsed.is_none() {
                self.lapsed = Some(now);
                if self.with.config.on_lease_expiry == OnLeaseExpiry::Continue {
                    count(Count::agreement_lapses);
                    log::warn!("what is agreed on no longer holds here, and is gone by all the same: the bound is not kept");
                }
            }
            return Some(());
        };
        if self.acts != Some(standings) {
            if !self.take_up(&standings).await? {
                return Some(());
            }
            count(Count::agreement_turns);
            self.note(&standings, now);
            self.acts = Some(standings);
        }
        self.lapsed = None;
        if until > self.until {
            log::debug!(target: "rules", us = now, until = until; "leased");
        }
        if until > self.until && self.with.config.on_lease_expiry == OnLeaseExpiry::Refuse {
            self.with.control.send(CoreCommand::ExtendLease(until)).await?;
        }
        self.until = until;
        Some(())
    }

    /// Has it acted by these standings; false where that cannot be, as a document is still to come.
    async fn take_up(&mut self, standings: &[Standing; 2]) -> Option<bool> {
        let [settings, hands] = standings.map(|s| s.holds);
        if settings == Holds::Nothing || hands == Holds::Nothing {
            self.first(settings, hands);
            return Some(false);
        }
        let mut shared: Option<Box<FleetSettings>> = None;
        for version in settings.versions() {
            let Some(Content::Settings(one)) = self.content(version) else { return Some(false) };
            shared = Some(match shared {
                None => one.clone(),
                // Who proposes refuses a change without a meet; whoever sees one all the same goes on by no new rules.
                Some(other) => match other.meet(one) {
                    Ok(meet) => Box::new(meet),
                    Err(clashes) => {
                        log::error!("a change without a middle cannot be acted on: {clashes:?}");
                        return Some(false);
                    }
                },
            });
        }
        let mut out = BTreeSet::new();
        for version in hands.versions() {
            let Some(Content::Hands(these)) = self.content(version) else { return Some(false) };
            out.extend(these.iter().cloned());
        }
        let [own, all] = KINDS.map(|kind| self.acts.map(|acts| acts[kind.at()].holds));
        if all != Some(hands) {
            self.with.control.request(|reply| CoreCommand::SetFleetSuspensions(out, reply)).await?;
        }
        if own != Some(settings) {
            let (reply, done) = oneshot::channel();
            self.with.settings_updates.send((shared?, reply)).await.ok()?;
            done.await.ok()?;
        }
        Some(true)
    }

    /// What a version says, where its document is here.
    fn content(&self, version: Version) -> Option<&Content> {
        self.documents.get(&version.hash).map(|kept| &kept.content)
    }

    /// Nothing has ever been agreed on: the lowest voter that is there proposes what its own file says.
    fn first(&mut self, settings: Holds, hands: Holds) {
        let now = self.with.clock.now();
        let lowest = self.with.config.voters.iter().min().copied();
        let waited = self.lapsed.is_some_and(|since| now > since + 4 * self.with.config.timing.lease);
        if !self.with.config.voters.contains(&self.with.config.own_number)
            || !(waited || lowest == Some(self.with.config.own_number))
        {
            return;
        }
        let own = self.with.own_settings.borrow().to_string();
        for (kind, holds, body) in [(Kind::Settings, settings, own), (Kind::Hands, hands, String::new())] {
            if holds == Holds::Nothing && self.instance.awaits(kind).is_empty() {
                let author = format!("the file of proxy {}", self.with.config.own_number);
                let _ = self.propose(kind, author, body, (0, Hash::default()));
            }
        }
    }

    fn note(&mut self, next: &[Standing; 2], now: Time) {
        for kind in KINDS {
            let Standing { turn, holds } = next[kind.at()];
            if self.acts.is_some_and(|acts| acts[kind.at()].holds == holds) {
                continue;
            }
            let shown = status::holds(&holds);
            log::info!(target: "rules", turn = turn, us = now; "{} {shown}", kind.name());
            let Holds::One(version) = holds else { continue };
            if let Some(Kept { document, .. }) = self.documents.get(&version.hash) {
                let (author, proposed) = (document.author.clone(), document.at);
                self.history.push_back(Past { kind, version, author, proposed, since: now });
                if self.history.len() > HISTORY {
                    self.history.pop_front();
                }
            }
        }
    }

    fn propose(
        &mut self,
        kind: Kind,
        author: String,
        body: String,
        (number, parent): (u64, Hash),
    ) -> Result<String, String> {
        let at = self.with.clock.now();
        let document = Document { kind, number: number + 1, parent, author, at, body };
        let content = document.content()?;
        let (to, sealed) = (document.version(), document.seal(&self.with.keys));
        if sealed.len() > document::LONGEST {
            return Err(format!("it has {} bytes, {} are allowed", sealed.len(), document::LONGEST));
        }
        if !self.instance.propose(kind, Goal::Change { to, parent }, at) {
            return Err("another ballot of this proxy is under way; ask again".into());
        }
        self.keep(document, content, sealed.into());
        self.last = format!("{}: version {to} is proposed", kind.name());
        Ok(self.last.clone())
    }

    fn standings(&self) -> Result<[Standing; 2], String> {
        let held = self.instance.holds(self.with.clock.now());
        held.map(|(standings, _)| standings)
            .ok_or_else(|| "no majority of the voters can be reached from here".into())
    }

    /// The version alone in force, and what it says.
    fn base(&self, kind: Kind) -> Result<(Version, &Content), String> {
        match self.standings()?[kind.at()].holds {
            Holds::One(version) => {
                let content = self.content(version).ok_or("its document is still to come; ask again")?;
                Ok((version, content))
            }
            Holds::Nothing => Err("nothing is agreed on yet".into()),
            Holds::Between { to, .. } => Err(format!("a change to version {to} is under way; wait or ABORT")),
        }
    }

    fn settings(&mut self, author: String, body: String) -> Result<String, String> {
        let (version, old) = self.base(Kind::Settings)?;
        let json = serde_json::from_str(&body).map_err(|e| e.to_string())?;
        let new = FleetSettings::read(&json)?;
        if let Content::Settings(old) = old {
            // Refused here, with place and reason, before anybody takes it.
            old.meet(&new)
                .map_err(|all| all.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
            old.differences(&new).iter().for_each(|d| log::info!("proposed: {d}"));
        }
        self.propose(Kind::Settings, author, body, (version.number, version.hash))
    }

    fn hand(&mut self, member: &str, out: bool) -> Result<String, String> {
        let (version, old) = self.base(Kind::Hands)?;
        let Content::Hands(all) = old else { return Err("no hands".into()) };
        let mut all = all.clone();
        let changed = if out { all.insert(member.into()) } else { all.remove(member) };
        if !changed {
            return Ok(format!("{member} is so already, by version {version}"));
        }
        self.propose(Kind::Hands, "the console".into(), document::hands(&all), (version.number, version.hash))
    }

    fn abort(&mut self) -> Result<String, String> {
        let standings = self.standings()?;
        for kind in KINDS {
            let Standing { turn, holds } = standings[kind.at()];
            if matches!(holds, Holds::Between { .. }) {
                return match self.instance.propose(kind, Goal::Abort(turn), self.with.clock.now()) {
                    true => Ok(format!("{}: turn {turn} is being taken back", kind.name())),
                    false => Err("a ballot of this proxy is under way; ask again".into()),
                };
            }
        }
        Err("no change is under way".into())
    }

    fn call(&mut self, (ask, reply): OperatorCall) -> Vec<Out> {
        let mut out = None;
        let told = match ask {
            OperatorCommand::Status => Ok(self.status()),
            OperatorCommand::History => Ok(status::history(&self.history)),
            OperatorCommand::Propose(author, body) => self.settings(author, body),
            OperatorCommand::SetSuspended(member, out) => self.hand(&member, out),
            OperatorCommand::Abort => self.abort(),
            OperatorCommand::BeginEpoch(epoch) => {
                out = self.instance.start_over(epoch);
                let no = || "this proxy does not vote, or knows of that epoch or a later one".to_string();
                out.as_ref().map(|_| format!("epoch {epoch} begins here")).ok_or_else(no)
            }
        };
        let _ = reply.send(told);
        out.into_iter().collect()
    }
}

/// The settings of a configuration's file, or of one that has nothing else, as their JSON.
///
/// # Errors
/// When there are none.
pub async fn read_settings_json(path: &str) -> Result<String, String> {
    let bad = |e: &dyn std::fmt::Display| format!("{path}: {e}");
    let (at, most) = (path.to_string(), document::LONGEST as u64);
    let read = move || {
        use std::io::Read;
        let mut text = String::new();
        std::fs::File::open(at)?.take(most).read_to_string(&mut text).map(|_| text)
    };
    let text = tokio::task::spawn_blocking(read).await.map_err(|e| bad(&e))?.map_err(|e| bad(&e))?;
    let mut json: serde_json::Value = serde_json::from_str(&text).map_err(|e| bad(&e))?;
    let settings = json.get_mut("settings").map(serde_json::Value::take).unwrap_or(json);
    Ok(settings.to_string())
}

fn hex(hash: &Hash) -> String {
    hash.0.iter().map(|byte| format!("{byte:02x}")).collect()
}
