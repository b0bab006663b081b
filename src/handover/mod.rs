//! Handover between two processes of one proxy, while a new version takes over from the old one. Rules and
//! limits apply to both together, as to one proxy.
//!
//! The operators' suspensions are kept in a file that either process changes under a lock and both watch.
//! While both run, each writes what it has learned to a file that the other imports, and each uses half of
//! the proxy's limits. The core and the routing module do no file I/O: they receive the contents of these
//! files as commands and events.

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
use folder::{HandoverFolder, WatchedFile};
use id_exchange::IdExchange;
use shared_folder::SharedFolder;
use std::io::{self, ErrorKind};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Interval at which the folder is polled: a suspension at one process has to apply at the other within a
/// second.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a new process waits at startup for what its peer process has learned.
const FIRST_IMPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a call waits for the lock.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between attempts while waiting for the lock or for the peer process.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Delay between attempts to join a folder that could not be used at startup.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// The file of the operators' suspensions.
const SUSPENSIONS_FILE: &str = "hands";

/// The folder of the proxy of this name, within a base folder. All processes of the proxy use the same one.
pub fn proxy_folder(shared: &str, name: &str) -> PathBuf {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' };
    PathBuf::from(shared).join(format!("linentrail-{}", name.chars().map(sanitize).collect::<String>()))
}

fn commits_file(slot: usize) -> String {
    format!("commits-{slot}")
}

fn learned_file(slot: usize) -> String {
    format!("known-{slot}")
}

/// Logs and counts why a file is ignored.
fn report_ignored_file(name: &str, why: &dyn std::fmt::Display) {
    count(Count::handover_files_passed_over);
    log::warn!("the file '{name}' of the handover is passed over: {why}");
}

/// Parses a file that was read. Returns `None` for a missing file, and also for an unusable one, which is
/// reported.
fn parse_or_report<T, E: std::fmt::Display>(
    name: &str,
    read: io::Result<Option<Vec<u8>>>,
    parse: impl Fn(&[u8]) -> Result<T, E>,
) -> Option<T> {
    match read {
        Ok(bytes) => parse(&bytes?).map_err(|why| report_ignored_file(name, &why)).ok(),
        Err(e) => {
            report_ignored_file(name, &e);
            None
        }
    }
}

/// Sends commands to the core, and records the operators' suspensions for both processes and for later
/// starts.
#[derive(Clone)]
pub struct ControlHandle {
    commands: mpsc::Sender<CoreCommand>,
    folder: SharedFolder,
    /// Records suspensions for later starts.
    store_handle: Option<StoreHandle>,
}

impl ControlHandle {
    /// A handle that sends commands to the core and records suspensions in the folder, if the proxy has one.
    pub fn new(commands: mpsc::Sender<CoreCommand>, folder: SharedFolder) -> Self {
        ControlHandle { commands, folder, store_handle: None }
    }

    /// Also records suspensions in the store, if there is one.
    pub fn with_store(self, store_handle: Option<StoreHandle>) -> Self {
        ControlHandle { store_handle, ..self }
    }

    /// Sends a command to the core and waits for the reply. Returns `None` once the core has ended.
    pub async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> CoreCommand) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Sends a command that has no reply. Returns `None` once the core has ended.
    pub async fn send(&self, command: CoreCommand) -> Option<()> {
        self.commands.send(command).await.ok()
    }

    /// Suspends or restores a member. Succeeds only once the core has applied the command and it is recorded.
    ///
    /// # Errors
    /// The reason, as text for the operators.
    pub async fn change_suspension(
        &self,
        member: &str,
        command: impl FnOnce(oneshot::Sender<SuspensionResult>) -> CoreCommand,
    ) -> Result<(), String> {
        self.apply_and_record(command).await?;
        let Some(store_handle) = &self.store_handle else { return Ok(()) };
        let suspensions = self
            .request(CoreCommand::QuerySuspensions)
            .await
            .ok_or_else(|| "the process ends".to_string())?;
        let Some((name, suspension)) = suspensions.get_key_value(member) else { return Ok(()) };
        let written = store_handle.record_suspension(name.clone(), *suspension).await;
        written.map_err(|e| format!("done, but not written down for later starts: {e}"))
    }

    /// Applies the command in the core and records the result for the peer process.
    async fn apply_and_record(
        &self,
        command: impl FnOnce(oneshot::Sender<SuspensionResult>) -> CoreCommand,
    ) -> Result<(), String> {
        let ending = || "the process ends".to_string();
        let fault = |e: io::Error| format!("the call cannot be recorded: {e}");
        if self.folder.is_missing() {
            return Err(fault(io::Error::other("the folder of the handover cannot be used yet")));
        }
        let Some(folder) = self.folder.get() else {
            return self.request(command).await.ok_or_else(ending)?.map_err(refusal);
        };
        // Held until the file is written, so that concurrent calls at either process neither get lost nor
        // undo this one.
        let _lock = self.lock(folder).await.map_err(fault)?;
        let read = match folder.read(SUSPENSIONS_FILE) {
            // The file may hold suspensions that this process does not know of, and must not be overwritten.
            Err(e) if e.kind() != ErrorKind::FileTooLarge => return Err(fault(e)),
            read => read,
        };
        if let Some(suspensions) = parse_or_report(SUSPENSIONS_FILE, read, format::read_suspensions) {
            self.request(|reply| CoreCommand::ReplaceSuspensions(suspensions, reply))
                .await
                .ok_or_else(ending)?;
        }
        self.request(command).await.ok_or_else(ending)?.map_err(refusal)?;
        let suspensions = self.request(CoreCommand::QuerySuspensions).await.ok_or_else(ending)?;
        folder.write(SUSPENSIONS_FILE, &format::write_suspensions(&suspensions)).map_err(fault)
    }

    async fn lock(&self, folder: &HandoverFolder) -> io::Result<std::fs::File> {
        let acquire = async {
            loop {
                if let Some(file) = folder.lock()? {
                    return Ok(file);
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        tokio::time::timeout(LOCK_TIMEOUT, acquire)
            .await
            .unwrap_or_else(|_| Err(io::Error::other("the lock is taken")))
    }
}

fn refusal(error: SuspensionError) -> String {
    match error {
        SuspensionError::UnknownMember => "no list has named a member of that id".to_string(),
        SuspensionError::TooManySuspended => "too many members are out".to_string(),
    }
}

/// The actor that watches the shared folder and exchanges files with the peer process.
pub struct Handover {
    folder: Arc<HandoverFolder>,
    control: ControlHandle,
    budget: Budget,
    clock: Clock,
    suspensions: WatchedFile,
    peer_learned: WatchedFile,
    id_exchange: IdExchange,
    /// The task that reserves the peer process's half of the limits while the peer runs.
    reservation: Option<AbortHandle>,
}

impl Handover {
    /// An actor for a folder that was joined; `ids` are the repeat ids of this process, if it accepts
    /// bookings.
    pub fn new(
        folder: Arc<HandoverFolder>,
        control: ControlHandle,
        budget: Budget,
        clock: Clock,
        ids: Option<RepeatIds>,
    ) -> Self {
        let (suspensions, peer_learned) = (WatchedFile::default(), WatchedFile::default());
        let id_exchange = IdExchange::new(folder.clone(), ids);
        Handover { folder, control, budget, clock, suspensions, peer_learned, id_exchange, reservation: None }
    }

    /// Joins a folder that could not be used at startup, once it is usable, and watches it until the core has
    /// ended.
    pub async fn join_late(
        shared: SharedFolder,
        path: PathBuf,
        control: ControlHandle,
        budget: Budget,
        clock: Clock,
        ids: Option<RepeatIds>,
    ) {
        let unseen: Option<Box<dyn CommitExchange>> = Some(Box::new(UnseenPeer));
        control.request(|reply| CoreCommand::SetPeer(unseen, reply)).await;
        let folder = loop {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let path = path.clone();
            if let Ok(Ok(Some(folder))) = tokio::task::spawn_blocking(|| HandoverFolder::join(path, 1)).await
            {
                break Arc::new(folder);
            }
        };
        log::info!("the folder of the handover can be used now");
        shared.join(folder.clone());
        let mut handover = Handover::new(folder, control.clone(), budget, clock, ids);
        handover.take_over().await;
        if handover.reservation.is_none() {
            control.request(|reply| CoreCommand::SetPeer(None, reply)).await;
        }
        handover.run().await;
    }

    /// Imports what the peer process has learned, before the first client is accepted.
    pub async fn take_over(&mut self) {
        // A file that was written before this process started may be outdated or left by an earlier process,
        // so only a later version counts. The file's version decides, not a time, as the clocks of two
        // processes may differ.
        self.peer_learned = WatchedFile::since(self.folder.version(&learned_file(self.folder.peer_slot())));
        self.import_suspensions().await;
        // Replaces the file that the last process in this slot has left.
        if let Err(e) = self.folder.write(&commits_file(self.folder.slot), &[]) {
            log::warn!("the folder of the handover cannot be used: {e}");
        }
        let peer_alive = self.folder.peer_alive();
        self.id_exchange.start(peer_alive).await;
        if !peer_alive {
            return;
        }
        self.share_limits().await;
        let import = async {
            while self.import_learned().await.is_none() {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            while self.id_exchange.is_waiting() {
                tokio::time::sleep(RETRY_INTERVAL).await;
                self.id_exchange.poll(self.folder.peer_alive()).await;
            }
        };
        match tokio::time::timeout(FIRST_IMPORT_TIMEOUT, import).await {
            Ok(()) => log::info!("another process of this proxy serves; what it has learned is taken over"),
            Err(_) => {
                log::warn!(
                    "another process of this proxy serves, but has not shared what it has learned in time"
                )
            }
        }
    }

    /// Polls the folder until the core has ended.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.import_suspensions().await;
            let peer_alive = self.folder.peer_alive();
            if peer_alive != self.reservation.is_some() {
                if peer_alive {
                    log::info!("another process of this proxy has started; each uses half of the limits");
                    self.share_limits().await;
                } else {
                    log::info!("the other process of this proxy has ended");
                    self.reservation.take().inspect(AbortHandle::abort);
                    self.control.request(|reply| CoreCommand::SetPeer(None, reply)).await;
                }
            }
            self.id_exchange.poll(peer_alive).await;
            if peer_alive && self.export_learned().await.is_none() {
                return;
            }
            if peer_alive {
                self.import_learned().await;
            }
        }
    }

    /// Reserves half of the limits for the peer process. What this process uses beyond its own half is
    /// reserved as soon as it is released.
    async fn share_limits(&mut self) {
        count(Count::handovers);
        let budget = self.budget.clone();
        let (reserved, half_reserved) = oneshot::channel();
        let task = tokio::spawn(async move {
            let _half = budget.lend().await;
            let _ = reserved.send(());
            std::future::pending::<()>().await;
        });
        self.reservation = Some(task.abort_handle());
        // Before the first client is accepted nothing is in use, and the reservation succeeds at once. Later
        // it completes in the background.
        let _ = tokio::time::timeout(RETRY_INTERVAL, half_reserved).await;
        // From now on the peer process receives each commit; earlier ones come with the next file of learned
        // facts.
        let path = |slot| self.folder.path_of(&commits_file(slot));
        match CommitLog::open(&path(self.folder.slot), path(self.folder.peer_slot())) {
            Ok(log) => {
                let commits: Option<Box<dyn CommitExchange>> = Some(Box::new(log));
                self.control.request(|reply| CoreCommand::SetPeer(commits, reply)).await;
            }
            Err(e) => log::warn!("the folder of the handover cannot be used: {e}"),
        }
    }

    /// Applies suspensions that either process has recorded.
    async fn import_suspensions(&mut self) -> Option<()> {
        let version = self.folder.version(SUSPENSIONS_FILE);
        let Some(contents) = self.suspensions.read_if_changed(version, || self.folder.read(SUSPENSIONS_FILE))
        else {
            return Some(());
        };
        let suspensions: Suspensions = parse_or_report(SUSPENSIONS_FILE, contents, format::read_suspensions)?;
        self.control.request(|reply| CoreCommand::ReplaceSuspensions(suspensions, reply)).await
    }

    /// Writes what this process has learned. Returns `None` once the core has ended.
    async fn export_learned(&mut self) -> Option<()> {
        let learned = self.control.request(CoreCommand::ExportLearned).await?;
        let name = learned_file(self.folder.slot);
        if let Err(e) = self.folder.write(&name, &format::write_learned(&learned, self.clock.now())) {
            log::warn!("the file of learned facts cannot be written: {e}");
        }
        Some(())
    }

    /// Imports what the peer process has learned, if its file has changed since the last poll.
    async fn import_learned(&mut self) -> Option<()> {
        let name = learned_file(self.folder.peer_slot());
        let version = self.folder.version(&name);
        let contents = self.peer_learned.read_if_changed(version, || self.folder.read(&name))?;
        let (learned, _) = parse_or_report(&name, contents, format::read_learned)?;
        self.control.request(|reply| CoreCommand::ImportLearned(learned, reply)).await
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
