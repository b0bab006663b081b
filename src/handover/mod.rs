//! Two processes of one proxy, while a new version takes over from the old one: for rules and limits they are one.
//!
//! What the operators said stands in a file that either changes under a lock and both follow. While both live, each
//! writes down what it has learned for the other to take in, and keeps to half of what the proxy may hold. The core
//! and the module never see a file: what comes from there reaches them as orders, and as events.

pub mod claims;
pub mod commits;
pub mod folder;
pub mod id_exchange;
pub mod shared_folder;

use crate::clock::Clock;
use crate::core::counters::{count, Count};
use crate::core::repeat_ids::RepeatIds;
use crate::core::{CommitExchange, CoreCommand, SuspensionResult};
use crate::effective_list::{SuspensionError, Suspensions};
use crate::knowledge::format;
use crate::net::budget::Budget;
use crate::store::actor::StoreHandle;
use commits::{CommitLog, UnseenPeer};
use folder::{FollowedFile, HandoverFolder};
use id_exchange::IdExchange;
use shared_folder::SharedFolder;
use std::io::{self, ErrorKind};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Between two looks at the folder: what the operators say at one process binds the other within a second.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the one that begins waits for what the other has learned, and how long a call waits for the lock.
const FIRST_KNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(800);
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Between two tries to join a folder that could not be used at the start.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// The file of what the operators said.
const HANDS: &str = "hands";

/// Where the processes of this proxy meet, by its name: one of its own in the folder that they share.
pub fn proxy_folder(shared: &str, name: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' };
    PathBuf::from(shared).join(format!("linentrail-{}", name.chars().map(plain).collect::<String>()))
}

fn commits_of(slot: usize) -> String {
    format!("commits-{slot}")
}

fn known_of(slot: usize) -> String {
    format!("known-{slot}")
}

/// Tells the log why a file was passed over.
fn passed_over(name: &str, why: &dyn std::fmt::Display) {
    count(Count::handover_files_passed_over);
    log::warn!("the file '{name}' of the handover is passed over: {why}");
}

fn usable<T, E: std::fmt::Display>(
    name: &str,
    read: io::Result<Option<Vec<u8>>>,
    sound: impl Fn(&[u8]) -> Result<T, E>,
) -> Option<T> {
    match read {
        Ok(bytes) => sound(&bytes?).map_err(|why| passed_over(name, &why)).ok(),
        Err(e) => {
            passed_over(name, &e);
            None
        }
    }
}

/// Where the operators' word on members is taken: recorded for both processes, and done in this one.
#[derive(Clone)]
pub struct ControlHandle {
    orders: mpsc::Sender<CoreCommand>,
    folder: SharedFolder,
    /// Where the operators' word is written down for later starts.
    store_handle: Option<StoreHandle>,
}

impl ControlHandle {
    /// One that hands orders to the core, and records them where the proxy has a folder.
    pub fn new(orders: mpsc::Sender<CoreCommand>, folder: SharedFolder) -> Self {
        ControlHandle { orders, folder, store_handle: None }
    }

    /// The same, which also writes down the operators' word for later starts.
    pub fn with_store(self, store_handle: Option<StoreHandle>) -> Self {
        ControlHandle { store_handle, ..self }
    }

    /// Asks the core; none once it has ended.
    pub async fn request<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> CoreCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.orders.send(order(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Tells the core something that needs no answer; none once it has ended.
    pub async fn send(&self, order: CoreCommand) -> Option<()> {
        self.orders.send(order).await.ok()
    }

    /// Has an order on a member carried out. Yes only once the module has taken it in and it is recorded.
    ///
    /// # Errors
    /// Why not, in words.
    pub async fn change_suspension(
        &self,
        member: &str,
        order: impl FnOnce(oneshot::Sender<SuspensionResult>) -> CoreCommand,
    ) -> Result<(), String> {
        self.record(order).await?;
        let Some(store_handle) = &self.store_handle else { return Ok(()) };
        let hands = self
            .request(CoreCommand::QuerySuspensions)
            .await
            .ok_or_else(|| "the process ends".to_string())?;
        let Some((name, hand)) = hands.get_key_value(member) else { return Ok(()) };
        let written = store_handle.record_suspension(name.clone(), *hand).await;
        written.map_err(|e| format!("done, but not written down for later starts: {e}"))
    }

    /// Has it done, and recorded for the other process.
    async fn record(
        &self,
        order: impl FnOnce(oneshot::Sender<SuspensionResult>) -> CoreCommand,
    ) -> Result<(), String> {
        let ending = || "the process ends".to_string();
        let fault = |e: io::Error| format!("the call cannot be recorded: {e}");
        if self.folder.is_missing() {
            return Err(fault(io::Error::other("the folder of the handover cannot be used yet")));
        }
        let Some(folder) = self.folder.get() else {
            return self.request(order).await.ok_or_else(ending)?.map_err(said);
        };
        // Held until the end: another call, here or there, must neither be lost nor undo this one.
        let _lock = self.lock(folder).await.map_err(fault)?;
        let read = match folder.read(HANDS) {
            // It may say more than this process has heard, and must not be written over.
            Err(e) if e.kind() != ErrorKind::FileTooLarge => return Err(fault(e)),
            read => read,
        };
        if let Some(hands) = usable(HANDS, read, format::read_suspensions) {
            self.request(|reply| CoreCommand::ReplaceSuspensions(hands, reply)).await.ok_or_else(ending)?;
        }
        self.request(order).await.ok_or_else(ending)?.map_err(said)?;
        let hands = self.request(CoreCommand::QuerySuspensions).await.ok_or_else(ending)?;
        folder.write(HANDS, &format::write_suspensions(&hands)).map_err(fault)
    }

    async fn lock(&self, folder: &HandoverFolder) -> io::Result<std::fs::File> {
        let free = async {
            loop {
                if let Some(file) = folder.lock()? {
                    return Ok(file);
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        tokio::time::timeout(LOCK_TIMEOUT, free)
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the lock is taken")))
    }
}

fn said(no: SuspensionError) -> String {
    match no {
        SuspensionError::UnknownMember => "no list has named a member of that id".to_string(),
        SuspensionError::TooManySuspended => "too many members are out".to_string(),
    }
}

/// The actor of the folder.
pub struct Handover {
    folder: Arc<HandoverFolder>,
    control: ControlHandle,
    budget: Budget,
    clock: Clock,
    hands: FollowedFile,
    known: FollowedFile,
    id_exchange: IdExchange,
    /// Holds what the other may use, while it lives.
    lent: Option<AbortHandle>,
}

impl Handover {
    /// One for a folder in which a slot is held; `ids` are those of the bookings that this process takes, if it does.
    pub fn new(
        folder: Arc<HandoverFolder>,
        control: ControlHandle,
        budget: Budget,
        clock: Clock,
        ids: Option<RepeatIds>,
    ) -> Self {
        let (hands, known) = (FollowedFile::default(), FollowedFile::default());
        let id_exchange = IdExchange::new(folder.clone(), ids);
        Handover { folder, control, budget, clock, hands, known, id_exchange, lent: None }
    }

    /// Joins a folder that could not be used at the start, once it can be, and follows it until the core has ended.
    pub async fn join_late(
        shared: SharedFolder,
        place: PathBuf,
        control: ControlHandle,
        budget: Budget,
        clock: Clock,
        ids: Option<RepeatIds>,
    ) {
        let unseen: Option<Box<dyn CommitExchange>> = Some(Box::new(UnseenPeer));
        control.request(|reply| CoreCommand::SetPeer(unseen, reply)).await;
        let folder = loop {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let place = place.clone();
            if let Ok(Ok(Some(folder))) = tokio::task::spawn_blocking(|| HandoverFolder::join(place, 1)).await
            {
                break Arc::new(folder);
            }
        };
        log::info!("the folder of the handover can be used now");
        shared.join(folder.clone());
        let mut handover = Handover::new(folder, control.clone(), budget, clock, ids);
        handover.take_over().await;
        if handover.lent.is_none() {
            control.request(|reply| CoreCommand::SetPeer(None, reply)).await;
        }
        handover.run().await;
    }

    /// Takes over what there is to take over, before the first client comes.
    pub async fn take_over(&mut self) {
        // What another process has left, or wrote before this one began, is not what the one that lives knows now. Told by
        // the file itself: the clocks of two processes may differ.
        self.known = FollowedFile::since(self.folder.mark(&known_of(self.folder.other())));
        self.follow().await;
        // A file of this process's own, whatever the last one in this slot has left.
        if let Err(e) = self.folder.write(&commits_of(self.folder.slot), &[]) {
            log::warn!("the folder of the handover cannot be used: {e}");
        }
        let peer_alive = self.folder.peer_alive();
        self.id_exchange.begin(peer_alive).await;
        if !peer_alive {
            return;
        }
        self.share().await;
        let word = async {
            while self.learn().await.is_none() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            while self.id_exchange.is_waiting() {
                tokio::time::sleep(RETRY_INTERVAL).await;
                self.id_exchange.look(self.folder.peer_alive()).await;
            }
        };
        match tokio::time::timeout(FIRST_KNOWLEDGE_TIMEOUT, word).await {
            Ok(()) => log::info!("another process of this proxy serves; what it has learned is taken over"),
            Err(_) => {
                log::warn!("another process of this proxy serves, but does not tell what it has learned")
            }
        }
    }

    /// Follows the folder until the core has ended.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            self.follow().await;
            let peer_alive = self.folder.peer_alive();
            if peer_alive != self.lent.is_some() {
                if peer_alive {
                    log::info!("another process of this proxy has begun; each keeps to half of the limits");
                    self.share().await;
                } else {
                    log::info!("the other process of this proxy has ended");
                    self.lent.take().inspect(AbortHandle::abort);
                    self.control.request(|reply| CoreCommand::SetPeer(None, reply)).await;
                }
            }
            self.id_exchange.look(peer_alive).await;
            if peer_alive && self.tell().await.is_none() {
                return;
            }
            if peer_alive {
                self.learn().await;
            }
        }
    }

    /// Half of the limits is the other's from now on; what is in use beyond that goes as it comes free.
    async fn share(&mut self) {
        count(Count::handovers);
        let budget = self.budget.clone();
        let (told, held) = oneshot::channel();
        let task = tokio::spawn(async move {
            let _half = budget.lend().await;
            let _ = told.send(());
            std::future::pending::<()>().await;
        });
        self.lent = Some(task.abort_handle());
        // Before the first client comes all is free at once; later nobody waits for it.
        let _ = tokio::time::timeout(RETRY_INTERVAL, held).await;
        // From now on the other hears of each commit; what came before it learns next.
        let place = |slot| self.folder.path_of(&commits_of(slot));
        match CommitLog::open(&place(self.folder.slot), place(self.folder.other())) {
            Ok(log) => {
                let commits: Option<Box<dyn CommitExchange>> = Some(Box::new(log));
                self.control.request(|reply| CoreCommand::SetPeer(commits, reply)).await;
            }
            Err(e) => log::warn!("the folder of the handover cannot be used: {e}"),
        }
    }

    /// Takes up what the operators said, here or there.
    async fn follow(&mut self) -> Option<()> {
        let mark = self.folder.mark(HANDS);
        let Some(news) = self.hands.news(mark, || self.folder.read(HANDS)) else { return Some(()) };
        let hands: Suspensions = usable(HANDS, news, format::read_suspensions)?;
        self.control.request(|reply| CoreCommand::ReplaceSuspensions(hands, reply)).await
    }

    /// Writes down what was learned here; none once the core has ended.
    async fn tell(&mut self) -> Option<()> {
        let known = self.control.request(CoreCommand::ExportLearned).await?;
        let name = known_of(self.folder.slot);
        if let Err(e) = self.folder.write(&name, &format::write_learned(&known, self.clock.now())) {
            log::warn!("what was learned cannot be written down: {e}");
        }
        Some(())
    }

    /// Takes in what the other has learned, where it has written that down since the last look.
    async fn learn(&mut self) -> Option<()> {
        let name = known_of(self.folder.other());
        let mark = self.folder.mark(&name);
        let news = self.known.news(mark, || self.folder.read(&name))?;
        let (known, _) = usable(&name, news, format::read_learned)?;
        self.control.request(|reply| CoreCommand::ImportLearned(known, reply)).await
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
