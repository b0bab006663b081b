//! Runs the agreement protocol: an actor that owns the [`Instance`], its socket, its documents and its access
//! to the store, and passes the values in force on to the core and the fronts. All decisions are made by the
//! instance. Without an enabled block `agreement` in the operators' file nothing of this is started.

pub mod fetch;
pub mod status;

use crate::agreement::document::{self, Content, Document};
use crate::agreement::instance::{Action, Instance, InstanceConfig};
use crate::agreement::message::Message;
use crate::agreement::proposer::{Proposal, ProposalEnd};
use crate::agreement::rules::FleetSettings;
use crate::agreement::seal::{Keys, Receiver, Sender};
use crate::agreement::voter::{self, Voter, Votes};
use crate::agreement::{ActiveVersions, Hash, Kind, ProxyNumber, RegisterValue, Version, KINDS};
use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::{CoreCommand, Input};
use crate::handover::ControlHandle;
use crate::interface::{ListKind, Time};
use crate::list_export::ListExport;
use crate::net::discovery::ListReader;
use crate::net::transient;
use crate::operators::agreement::{AgreementConfig, OnLeaseExpiry};
use crate::store::actor::StoreHandle;
use crate::store::state::RecoveryStatus;
use bytes::Bytes;
use fetch::{FetchRequest, Resource};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};

/// The capacity of the channels for task results and for fetch requests of other proxies.
const CHANNEL_CAPACITY: usize = 64;
/// The number of documents kept. Documents that leases or votes refer to are never removed.
const MAX_DOCUMENTS: usize = 16;
/// The number of past versions that `HISTORY` shows.
const MAX_HISTORY: usize = 64;
/// The maximum number of documents fetched at the same time.
const MAX_FETCHES: usize = 4;
/// The name of the votes in the store.
const VOTES_NAME: &str = "votes";
/// The names of documents in the store begin with this.
const DOCUMENT_PREFIX: &str = "document-";
/// The longest interval between two checks of the lease and of the member list's version.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The delay before a failed write is retried.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A command of the operators.
#[derive(Debug)]
pub enum OperatorCommand {
    /// Show the state of the fleet, as JSON.
    Status,
    /// Show the versions that have been in force on this proxy, as JSON.
    History,
    /// Propose settings: the author and the settings as JSON.
    Propose(String, String),
    /// Suspend a member for the whole fleet (true) or restore it (false).
    SetSuspended(String, bool),
    /// Take back the change that is under way.
    Abort,
    /// Begin a new epoch after most voters have lost their disks.
    BeginEpoch(u32),
}

/// A command, and the channel for its result: what is shown or was done, or why it was refused.
pub type OperatorCall = (OperatorCommand, oneshot::Sender<Result<String, String>>);

/// Settings to be applied, and the channel that acknowledges them.
pub type SettingsUpdate = (Box<FleetSettings>, oneshot::Sender<()>);

/// The result of a task that the actor has spawned.
enum TaskResult {
    /// The votes with this number are on disk.
    VotesWritten(u64),
    /// The recovered votes with this number are on disk.
    RecoveryWritten(u64),
    /// Recovered votes could not be written: their number, the encoded votes and the error.
    RecoveryWriteFailed(u64, Vec<u8>, String),
    /// Votes could not be written, or a document could not be deleted.
    WriteFailed(String),
    DocumentWriteFailed(Hash, String),
    DocumentFetched(Hash, Option<Vec<u8>>),
    DocumentWritten(Hash),
    DocumentDeleted,
    ListFetched(Option<Vec<u8>>),
}

/// A document, decoded and parsed once.
struct LoadedDocument {
    document: Document,
    content: Content,
    bytes: Bytes,
}

/// What the actor depends on.
pub struct Dependencies {
    /// The block `agreement` of the operators' file.
    pub config: AgreementConfig,
    /// The keys that the block names.
    pub keys: Keys,
    /// The control channel of the core.
    pub control: ControlHandle,
    /// Receives member lists that were fetched from other proxies.
    pub core: mpsc::Sender<Input>,
    /// Receives settings that have come into force.
    pub settings_updates: mpsc::Sender<SettingsUpdate>,
    /// The store; `None` where this proxy has none and thus does not vote.
    pub store: Option<StoreHandle>,
    /// The version of the member list that discovery has delivered here.
    pub list_version: Arc<AtomicU64>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The settings of this proxy's own file as JSON, the first version to be agreed on.
    pub own_settings: watch::Receiver<Arc<str>>,
    /// The clock.
    pub clock: Clock,
    /// The seed of random delays.
    pub seed: u64,
}

/// The votes and documents that the store held when the process started.
pub struct RecoveredVotes {
    /// The condition of the store.
    pub status: RecoveryStatus,
    /// Stored votes and documents, by name.
    pub records: Vec<(String, Vec<u8>)>,
}

impl RecoveredVotes {
    /// The prefixes of the names under which votes and documents are stored.
    pub const NAME_PREFIXES: [&'static str; 2] = [VOTES_NAME, DOCUMENT_PREFIX];

    /// Creates the voter, in recovery if votes may have been lost.
    fn voter(&self, now: Time) -> Voter {
        let stored = self.records.iter().find(|(name, _)| name == VOTES_NAME);
        let votes = stored.map(|(_, bytes)| decode_votes(bytes));
        match (votes, self.status) {
            (None, RecoveryStatus::Sound | RecoveryStatus::Fresh) => Voter::new(Votes::default()),
            (Some(Some(votes)), RecoveryStatus::Sound) => Voter::new(votes),
            (votes, status) => {
                log::warn!(
                    "votes: {status:?}; promises may be lost, so the voter recovers from the others first"
                );
                Voter::recovering(votes.flatten().unwrap_or_default(), now)
            }
        }
    }
}

/// Encodes votes with a checksum.
fn encode_votes(votes: &Votes) -> Vec<u8> {
    let bytes = voter::encode(votes);
    [&crc32fast::hash(&bytes).to_le_bytes()[..], &bytes].concat()
}

fn decode_votes(bytes: &[u8]) -> Option<Votes> {
    let (checksum, bytes) = bytes.split_first_chunk::<4>()?;
    (crc32fast::hash(bytes) == u32::from_le_bytes(*checksum)).then(|| voter::decode(bytes))?
}

/// A version that has been in force on this proxy.
#[derive(Debug, Clone)]
struct PastVersion {
    kind: Kind,
    version: Version,
    author: String,
    proposed_at: Time,
    since: Time,
}

/// The actor.
pub struct AgreementActor {
    deps: Dependencies,
    instance: Instance,
    socket: Arc<UdpSocket>,
    sender: Sender,
    receiver: Receiver,
    documents: BTreeMap<Hash, LoadedDocument>,
    fetching: BTreeSet<Hash>,
    /// The values that this proxy acts on.
    applied: Option<[RegisterValue; 2]>,
    /// When the lease expires, as last passed on to the core.
    lease_until: Time,
    /// Since when there has been no lease.
    lapsed_since: Option<Time>,
    /// The version of the last member list fetched from another proxy, and whether a fetch is in progress.
    list: (u64, bool),
    history: VecDeque<PastVersion>,
    /// The outcome of the last change that was proposed on this proxy.
    last_change: String,
    task_results: mpsc::Sender<TaskResult>,
    /// The text of the member list, for other proxies.
    list_export: ListExport,
    finished_tasks: mpsc::Receiver<TaskResult>,
    nonce: u64,
    /// How many times this voter has recovered votes, which numbers the writes of recovered votes.
    recoveries: u64,
}

impl AgreementActor {
    /// Binds the address that the operators' file names for this proxy, and starts serving fetch requests of
    /// other proxies. Returns the actor and the requests that [`AgreementActor::run`] is to answer.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        deps: Dependencies,
        recovered: Option<RecoveredVotes>,
    ) -> Result<(Self, mpsc::Receiver<FetchRequest>), String> {
        let config = &deps.config;
        let address = config
            .proxies
            .get(&config.own_number)
            .copied()
            .ok_or("agreement.me is not one of agreement.proxies")?;
        let bind_error = |e: std::io::Error| format!("agreement: {address}: {e}");
        let socket = Arc::new(transient::listen_datagrams(address).await.map_err(bind_error)?);
        let listener = transient::listen(address).await.map_err(bind_error)?;
        let now = deps.clock.now();
        let instance_config = InstanceConfig {
            me: config.own_number,
            incarnation: now,
            voters: config.voters.clone(),
            timing: config.timing,
            seed: deps.seed ^ u64::from(config.own_number),
        };
        let is_voter = config.voters.contains(&config.own_number);
        let voter = recovered.as_ref().filter(|_| is_voter).map(|recovered| recovered.voter(now));
        let mut instance = Instance::new(instance_config, voter, now);
        let mut documents = BTreeMap::new();
        for (name, bytes) in recovered.into_iter().flat_map(|r| r.records) {
            let opened =
                Document::open(&bytes, &deps.keys).ok().filter(|_| name.starts_with(DOCUMENT_PREFIX));
            // Documents are validated before they are stored, so that invalid ones are not expected here.
            let parsed = opened.and_then(|document| Some((document.content().ok()?, document)));
            if let Some((content, document)) = parsed {
                let hash = document.version().hash;
                instance.document_added(hash);
                documents.insert(hash, LoadedDocument { document, content, bytes: bytes.into() });
            }
        }
        let (fetch_requests, fetches) = mpsc::channel(CHANNEL_CAPACITY);
        tokio::spawn(fetch::serve(listener, deps.keys.clone(), fetch_requests));
        let (task_results, finished_tasks) = mpsc::channel(CHANNEL_CAPACITY);
        let (sender, receiver) = (
            Sender::new(deps.keys.clone(), config.own_number, now),
            Receiver::new(deps.keys.clone(), config.own_number),
        );
        log::info!("agreement: proxy {} of {} listens at {address}", config.own_number, config.proxies.len());
        let actor = AgreementActor {
            instance,
            socket,
            sender,
            receiver,
            documents,
            fetching: BTreeSet::new(),
            applied: None,
            lease_until: 0,
            lapsed_since: Some(now),
            list: (0, false),
            history: VecDeque::new(),
            last_change: "nothing was proposed here".into(),
            task_results,
            list_export: ListExport::default(),
            finished_tasks,
            nonce: now,
            recoveries: 0,
            deps,
        };
        Ok((actor, fetches))
    }

    /// Runs until the core has ended.
    pub async fn run(
        mut self,
        mut calls: mpsc::Receiver<OperatorCall>,
        mut fetches: mpsc::Receiver<FetchRequest>,
    ) {
        let mut buffer = [0; 2048];
        loop {
            let now = self.deps.clock.now();
            let wakeup = self.instance.next_wakeup().min(now + UPDATE_INTERVAL.as_micros() as Time);
            let socket = self.socket.clone();
            let actions = tokio::select! {
                biased;
                () = tokio::time::sleep_until(self.deps.clock.instant(wakeup)) =>
                    self.instance.tick(self.deps.clock.now()),
                Some(result) = self.finished_tasks.recv() => self.task_finished(result),
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.datagram_received(&buffer[..length]),
                    Err(_) => continue,
                },
                Some((resource, reply)) = fetches.recv() => {
                    let _ = reply.send(self.resource(resource).await);
                    Vec::new()
                }
                call = calls.recv() => match call {
                    Some(call) => self.operator_call(call),
                    None => return,
                },
            };
            self.perform(actions).await;
            if self.update().await.is_none() {
                return;
            }
        }
    }

    fn datagram_received(&mut self, datagram: &[u8]) -> Vec<Action> {
        let proxies = &self.deps.config.proxies;
        let opened = self.receiver.open(datagram, |from| proxies.contains_key(&from));
        let decoded =
            opened.and_then(|(from, incarnation, bytes)| Ok((from, incarnation, Message::decode(bytes)?)));
        match decoded {
            Ok((from, incarnation, message)) => {
                self.instance.receive(from, incarnation, message, self.deps.clock.now())
            }
            Err(reason) => {
                count(Count::agreement_dropped);
                log::debug!("agreement: dropped a datagram: {reason:?}");
                Vec::new()
            }
        }
    }

    fn task_finished(&mut self, result: TaskResult) -> Vec<Action> {
        let now = self.deps.clock.now();
        match result {
            TaskResult::VotesWritten(number) => return self.instance.votes_written(number, now),
            // Votes of a later recovery are still being written.
            TaskResult::RecoveryWritten(number) if number != self.recoveries => {}
            TaskResult::RecoveryWritten(_) => {
                log::info!("votes are recovered; this voter votes again");
                self.instance.recovery_written();
            }
            TaskResult::WriteFailed(error) => {
                count(Count::agreement_failures);
                log::warn!("a write to the store failed; votes in it are not cast: {error}");
            }
            TaskResult::RecoveryWriteFailed(number, votes, error) => {
                count(Count::agreement_failures);
                log::warn!("recovered votes could not be written; retrying: {error}");
                self.write_recovery(number, votes, WRITE_RETRY_INTERVAL);
            }
            TaskResult::DocumentWriteFailed(hash, error) => {
                count(Count::agreement_failures);
                log::warn!("a document could not be written; retrying: {error}");
                self.write_document(hash, WRITE_RETRY_INTERVAL);
            }
            TaskResult::DocumentFetched(hash, bytes) => {
                self.fetching.remove(&hash);
                let opened = bytes.and_then(|b| Some((Document::open(&b, &self.deps.keys).ok()?, b)));
                if let Some((document, bytes)) = opened.filter(|(d, _)| d.version().hash == hash) {
                    match document.content() {
                        Ok(content) => self.add_document(document, content, bytes.into()),
                        Err(error) => {
                            let (kind, version) = (document.kind.name(), document.version());
                            log::warn!("{kind} {version} is invalid and cannot be acted on: {error}");
                        }
                    }
                }
            }
            TaskResult::DocumentWritten(hash) => self.instance.document_added(hash),
            TaskResult::DocumentDeleted => {}
            TaskResult::ListFetched(bytes) => {
                self.list.1 = false;
                let json = bytes.and_then(|b| serde_json::from_slice(&b).ok());
                let held = self.deps.list_version.load(Ordering::Relaxed);
                let mut lists = ListReader::new(self.deps.zones.clone());
                if let Some((version, _, entries)) =
                    json.and_then(|j| lists.read(&j, Some(held))).filter(|l| l.0 > held)
                {
                    count(Count::agreement_lists);
                    log::info!(
                        "member list {version} was taken from another proxy; discovery has told {held} here"
                    );
                    self.list.0 = version;
                    let core = self.deps.core.clone();
                    tokio::spawn(async move { core.send(Input::List(ListKind::Full, entries)).await });
                }
            }
        }
        Vec::new()
    }

    /// Adds a document. Where this proxy votes, the instance may use it only once it is written to the store.
    fn add_document(&mut self, document: Document, content: Content, bytes: Bytes) {
        let hash = document.version().hash;
        if let Content::Settings(new) = &content {
            // The proposing proxy has checked this already. A voter checks again, so that a faulty proposer
            // cannot bring about a change between incompatible versions.
            for (other, loaded) in &self.documents {
                if matches!(&loaded.content, Content::Settings(old) if old.meet(new).is_err()) {
                    self.instance.mark_incompatible(*other, hash);
                }
            }
        }
        self.documents.insert(hash, LoadedDocument { document, content, bytes: bytes.clone() });
        let referenced = self.instance.referenced_documents();
        while self.documents.len() > MAX_DOCUMENTS {
            let unused = self.documents.iter().filter(|(h, _)| !referenced.contains(h) && **h != hash);
            let age = |loaded: &LoadedDocument| (loaded.document.number, loaded.document.proposed_at);
            let Some(oldest) = unused.min_by_key(|(_, loaded)| age(loaded)).map(|(h, _)| *h) else { break };
            self.documents.remove(&oldest);
            self.instance.document_removed(&oldest);
            self.write(Duration::ZERO, format!("{DOCUMENT_PREFIX}{}", hex(&oldest)), Vec::new(), |result| {
                result.map_or_else(TaskResult::WriteFailed, |()| TaskResult::DocumentDeleted)
            });
        }
        if self.deps.store.is_some() {
            self.write_document(hash, Duration::ZERO);
        } else {
            self.instance.document_added(hash);
        }
    }

    /// Writes a document to the store, unless it has been removed meanwhile.
    fn write_document(&self, hash: Hash, delay: Duration) {
        let Some(loaded) = self.documents.get(&hash) else { return };
        self.write(delay, format!("{DOCUMENT_PREFIX}{}", hex(&hash)), loaded.bytes.to_vec(), move |result| {
            match result {
                Ok(()) => TaskResult::DocumentWritten(hash),
                Err(error) => TaskResult::DocumentWriteFailed(hash, error),
            }
        });
    }

    /// Writes recovered votes to the store, unless this voter has recovered again meanwhile.
    fn write_recovery(&self, number: u64, votes: Vec<u8>, delay: Duration) {
        if number != self.recoveries {
            return;
        }
        let retry = votes.clone();
        self.write(delay, VOTES_NAME.into(), votes, move |result| match result {
            Ok(()) => TaskResult::RecoveryWritten(number),
            Err(error) => TaskResult::RecoveryWriteFailed(number, retry, error),
        });
    }

    fn write(
        &self,
        delay: Duration,
        name: String,
        bytes: Vec<u8>,
        to_result: impl FnOnce(Result<(), String>) -> TaskResult + Send + 'static,
    ) {
        let Some(store) = self.deps.store.clone() else { return };
        let task_results = self.task_results.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let written = store.put_record(name, bytes).await;
            let _ = task_results.send(to_result(written)).await;
        });
    }

    /// The encoded resource that another proxy asks for, if this proxy has it.
    async fn resource(&mut self, resource: Resource) -> Option<Bytes> {
        match resource {
            Resource::Document(hash) => self.documents.get(&hash).map(|loaded| loaded.bytes.clone()),
            Resource::MemberList => {
                let version = self.deps.list_version.load(Ordering::Relaxed);
                let text = self.list_export.text(&self.deps.control, version, &self.deps.zones).await?;
                Some(Bytes::copy_from_slice(text.as_bytes()))
            }
        }
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let Some(address) = self.address(to) else { continue };
                    let datagram = self.sender.seal(to, &message.encode());
                    count(Count::agreement_datagrams);
                    // A failed send counts as a lost datagram, which the protocol tolerates.
                    let _ = self.socket.try_send_to(&datagram, address);
                }
                Action::WriteVotes(number, votes) => {
                    self.write(Duration::ZERO, VOTES_NAME.into(), encode_votes(&votes), move |result| {
                        result.map_or_else(TaskResult::WriteFailed, |()| TaskResult::VotesWritten(number))
                    });
                }
                Action::WriteRecovery(votes) => {
                    self.recoveries += 1;
                    self.write_recovery(self.recoveries, encode_votes(&votes), Duration::ZERO);
                }
                Action::FetchDocument(from, hash) => {
                    let skip = self.documents.contains_key(&hash) || self.fetching.len() >= MAX_FETCHES;
                    if !skip && self.fetching.insert(hash) {
                        self.fetch(from, Resource::Document(hash), move |bytes| {
                            TaskResult::DocumentFetched(hash, bytes)
                        });
                    }
                }
                Action::ProposalEnded(kind, proposal, end) => self.proposal_ended(kind, proposal, end),
            }
        }
    }

    fn address(&self, of: ProxyNumber) -> Option<std::net::SocketAddr> {
        self.deps.config.proxies.get(&of).copied()
    }

    /// Fetches a resource from another proxy, in a task of its own.
    fn fetch(
        &mut self,
        from: ProxyNumber,
        resource: Resource,
        to_result: impl FnOnce(Option<Vec<u8>>) -> TaskResult + Send + 'static,
    ) {
        self.nonce += 1;
        let (keys, task_results, nonce, address) =
            (self.deps.keys.clone(), self.task_results.clone(), self.nonce, self.address(from));
        tokio::spawn(async move {
            let fetched = match address {
                Some(address) => fetch::get(address, &keys, resource, nonce).await,
                None => None,
            };
            let _ = task_results.send(to_result(fetched)).await;
        });
    }

    fn proposal_ended(&mut self, kind: Kind, proposal: Proposal, end: ProposalEnd) {
        let outcome = match end {
            ProposalEnd::Chosen(accepted) => {
                format!("{}: turn {} is chosen", kind.name(), accepted.value.revision)
            }
            ProposalEnd::Failed(error) => {
                format!("{}: nothing was changed: {}", kind.name(), status::proposal_error(&error))
            }
        };
        log::info!("{outcome}");
        if matches!(proposal, Proposal::Change { .. } | Proposal::Abort(_)) {
            self.last_change = outcome;
        }
    }

    /// Applies newly leased values, passes the lease on to the core and fetches a newer member list. Returns
    /// `None` once the core has ended.
    async fn update(&mut self) -> Option<()> {
        let now = self.deps.clock.now();
        let list_version = self.deps.list_version.load(Ordering::Relaxed).max(self.list.0);
        self.instance.set_list_version(list_version);
        let may_fetch = self.deps.config.exchange_lists && !self.list.1;
        if let Some((_, holder)) = self.instance.newer_list().filter(|_| may_fetch) {
            self.list.1 = true;
            self.fetch(holder, Resource::MemberList, TaskResult::ListFetched);
        }
        let Some((values, until)) = self.instance.leased_values(now) else {
            if self.lapsed_since.is_none() {
                self.lapsed_since = Some(now);
                if self.deps.config.on_lease_expiry == OnLeaseExpiry::Continue {
                    count(Count::agreement_lapses);
                    log::warn!(
                        "the lease has expired; the last rules still apply, without the time bound on changes"
                    );
                }
            }
            return Some(());
        };
        if self.applied != Some(values) {
            if !self.apply(&values).await? {
                return Some(());
            }
            count(Count::agreement_turns);
            self.record_change(&values, now);
            self.applied = Some(values);
        }
        self.lapsed_since = None;
        if until > self.lease_until {
            log::debug!(target: "rules", us = now, until = until; "leased");
        }
        if until > self.lease_until && self.deps.config.on_lease_expiry == OnLeaseExpiry::Refuse {
            self.deps.control.send(CoreCommand::ExtendLease(until)).await?;
        }
        self.lease_until = until;
        Some(())
    }

    /// Makes the core and the fronts act on these values. Returns `Some(false)` if that is not possible yet,
    /// for instance because a document is missing, and `None` once the core has ended.
    async fn apply(&mut self, values: &[RegisterValue; 2]) -> Option<bool> {
        let [settings, suspensions] = values.map(|v| v.active);
        if settings == ActiveVersions::Nothing || suspensions == ActiveVersions::Nothing {
            self.propose_initial(settings, suspensions);
            return Some(false);
        }
        let mut combined: Option<Box<FleetSettings>> = None;
        for version in settings.versions() {
            let Some(Content::Settings(one)) = self.content(version) else { return Some(false) };
            combined = Some(match combined {
                None => one.clone(),
                // The proposing proxy refuses a change between incompatible versions. A proxy that receives
                // such a change nevertheless keeps the rules that it has.
                Some(other) => match other.meet(one) {
                    Ok(meet) => Box::new(meet),
                    Err(conflicts) => {
                        log::error!("a change between incompatible settings is not applied: {conflicts:?}");
                        return Some(false);
                    }
                },
            });
        }
        let mut suspended = BTreeSet::new();
        for version in suspensions.versions() {
            let Some(Content::Suspensions(ids)) = self.content(version) else { return Some(false) };
            suspended.extend(ids.iter().cloned());
        }
        let [applied_settings, applied_suspensions] =
            KINDS.map(|kind| self.applied.map(|applied| applied[kind.index()].active));
        if applied_suspensions != Some(suspensions) {
            self.deps.control.request(|reply| CoreCommand::SetFleetSuspensions(suspended, reply)).await?;
        }
        if applied_settings != Some(settings) {
            let (reply, acknowledged) = oneshot::channel();
            self.deps.settings_updates.send((combined?, reply)).await.ok()?;
            acknowledged.await.ok()?;
        }
        Some(true)
    }

    /// The content of a version, if its document is available.
    fn content(&self, version: Version) -> Option<&Content> {
        self.documents.get(&version.hash).map(|loaded| &loaded.content)
    }

    /// While nothing has been agreed on: proposes the settings of this proxy's own file and an empty list of
    /// suspensions. The voter with the lowest number does so at once; any other voter only after it has been
    /// without a lease for 4 lease lengths.
    fn propose_initial(&mut self, settings: ActiveVersions, suspensions: ActiveVersions) {
        let now = self.deps.clock.now();
        let lowest = self.deps.config.voters.iter().min().copied();
        let waited = self.lapsed_since.is_some_and(|since| now > since + 4 * self.deps.config.timing.lease);
        if !self.deps.config.voters.contains(&self.deps.config.own_number)
            || !(waited || lowest == Some(self.deps.config.own_number))
        {
            return;
        }
        let own = self.deps.own_settings.borrow().to_string();
        for (kind, active, body) in
            [(Kind::Settings, settings, own), (Kind::Suspensions, suspensions, String::new())]
        {
            if active == ActiveVersions::Nothing && self.instance.awaited_voters(kind).is_empty() {
                let author = format!("the file of proxy {}", self.deps.config.own_number);
                let _ = self.propose(kind, author, body, (0, Hash::default()));
            }
        }
    }

    /// Logs the versions that come into force and adds them to the history.
    fn record_change(&mut self, next: &[RegisterValue; 2], now: Time) {
        for kind in KINDS {
            let RegisterValue { revision, active } = next[kind.index()];
            if self.applied.is_some_and(|applied| applied[kind.index()].active == active) {
                continue;
            }
            let shown = status::active_versions(&active);
            log::info!(target: "rules", turn = revision, us = now; "{} {shown}", kind.name());
            let ActiveVersions::Single(version) = active else { continue };
            if let Some(LoadedDocument { document, .. }) = self.documents.get(&version.hash) {
                let (author, proposed_at) = (document.author.clone(), document.proposed_at);
                self.history.push_back(PastVersion { kind, version, author, proposed_at, since: now });
                if self.history.len() > MAX_HISTORY {
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
        let proposed_at = self.deps.clock.now();
        let document = Document { kind, number: number + 1, parent, author, proposed_at, body };
        let content = document.content()?;
        let (to, sealed) = (document.version(), document.seal(&self.deps.keys));
        if sealed.len() > document::MAX_BYTES {
            return Err(format!("it has {} bytes, {} are allowed", sealed.len(), document::MAX_BYTES));
        }
        if !self.instance.propose(kind, Proposal::Change { to, parent }, proposed_at) {
            return Err("another ballot of this proxy is under way; ask again".into());
        }
        self.add_document(document, content, sealed.into());
        self.last_change = format!("{}: version {to} is proposed", kind.name());
        Ok(self.last_change.clone())
    }

    fn leased_values(&self) -> Result<[RegisterValue; 2], String> {
        let leased = self.instance.leased_values(self.deps.clock.now());
        leased
            .map(|(values, _)| values)
            .ok_or_else(|| "no majority of the voters can be reached from here".into())
    }

    /// The version that is in force alone, with its content; a change can begin only from there.
    fn current_version(&self, kind: Kind) -> Result<(Version, &Content), String> {
        match self.leased_values()?[kind.index()].active {
            ActiveVersions::Single(version) => {
                let content = self.content(version).ok_or("its document is still to come; ask again")?;
                Ok((version, content))
            }
            ActiveVersions::Nothing => Err("nothing is agreed on yet".into()),
            ActiveVersions::Transition { to, .. } => {
                Err(format!("a change to version {to} is under way; wait or ABORT"))
            }
        }
    }

    fn propose_settings(&mut self, author: String, body: String) -> Result<String, String> {
        let (version, old) = self.current_version(Kind::Settings)?;
        let json = serde_json::from_str(&body).map_err(|e| e.to_string())?;
        let new = FleetSettings::read(&json)?;
        if let Content::Settings(old) = old {
            // Incompatible settings are refused here, with all reasons, before the change begins anywhere.
            old.meet(&new)
                .map_err(|all| all.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))?;
            old.differences(&new).iter().for_each(|d| log::info!("proposed: {d}"));
        }
        self.propose(Kind::Settings, author, body, (version.number, version.hash))
    }

    fn set_suspended(&mut self, member: &str, suspend: bool) -> Result<String, String> {
        let (version, old) = self.current_version(Kind::Suspensions)?;
        let Content::Suspensions(old) = old else { return Err("no hands".into()) };
        let mut suspended = old.clone();
        let changed = if suspend { suspended.insert(member.into()) } else { suspended.remove(member) };
        if !changed {
            return Ok(format!("{member} is so already, by version {version}"));
        }
        self.propose(
            Kind::Suspensions,
            "the console".into(),
            document::suspensions_body(&suspended),
            (version.number, version.hash),
        )
    }

    fn abort(&mut self) -> Result<String, String> {
        let values = self.leased_values()?;
        for kind in KINDS {
            let RegisterValue { revision, active } = values[kind.index()];
            if matches!(active, ActiveVersions::Transition { .. }) {
                return match self.instance.propose(kind, Proposal::Abort(revision), self.deps.clock.now()) {
                    true => Ok(format!("{}: turn {revision} is being taken back", kind.name())),
                    false => Err("a ballot of this proxy is under way; ask again".into()),
                };
            }
        }
        Err("no change is under way".into())
    }

    fn operator_call(&mut self, (command, reply): OperatorCall) -> Vec<Action> {
        let mut action = None;
        let result = match command {
            OperatorCommand::Status => Ok(self.status()),
            OperatorCommand::History => Ok(status::history(&self.history)),
            OperatorCommand::Propose(author, body) => self.propose_settings(author, body),
            OperatorCommand::SetSuspended(member, suspend) => self.set_suspended(&member, suspend),
            OperatorCommand::Abort => self.abort(),
            OperatorCommand::BeginEpoch(epoch) => {
                action = self.instance.begin_epoch(epoch);
                let refused =
                    || "this proxy does not vote, or knows of that epoch or a later one".to_string();
                action.as_ref().map(|_| format!("epoch {epoch} begins here")).ok_or_else(refused)
            }
        };
        let _ = reply.send(result);
        action.into_iter().collect()
    }
}

/// Reads settings as JSON text: the field `settings` of a configuration file, or the whole file if it has no
/// such field.
///
/// # Errors
/// When the file cannot be read or is not JSON.
pub async fn read_settings_json(path: &str) -> Result<String, String> {
    let file_error = |e: &dyn std::fmt::Display| format!("{path}: {e}");
    let (file_path, max_bytes) = (path.to_string(), document::MAX_BYTES as u64);
    let read = move || {
        use std::io::Read;
        let mut text = String::new();
        std::fs::File::open(file_path)?.take(max_bytes).read_to_string(&mut text).map(|_| text)
    };
    let text =
        tokio::task::spawn_blocking(read).await.map_err(|e| file_error(&e))?.map_err(|e| file_error(&e))?;
    let mut json: serde_json::Value = serde_json::from_str(&text).map_err(|e| file_error(&e))?;
    let settings = json.get_mut("settings").map(serde_json::Value::take).unwrap_or(json);
    Ok(settings.to_string())
}

fn hex(hash: &Hash) -> String {
    hash.0.iter().map(|byte| format!("{byte:02x}")).collect()
}
