//! Restores stored knowledge at startup, and writes the periodic snapshots that the next start restores. This module
//! connects the operators' file, the store, the configuration, the member list and the core.

use crate::agreement_io::RecoveredVotes;
use crate::clock::Clock;
use crate::config::{self, Config, ValidatedConfig};
use crate::core::counters::{count, Count};
use crate::core::CoreCommand;
use crate::handover::ControlHandle;
use crate::interface::Time;
use crate::knowledge::{Knowledge, TimestampedText};
use crate::list_export::ListExport;
use crate::operators::{self, Fsync, OnBrokenConfig};
use crate::reload::own_settings;
use crate::store::actor::StoreHandle;
use crate::store::disk::DiskFolder;
use crate::store::log_recovery;
use crate::store::state::{Recovered, Store};
use serde_json::Value;
use std::borrow::Cow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Mutex};

/// The configuration and the stored state that the proxy starts with.
pub struct StartupState {
    /// The configuration in force.
    pub config: Config,
    /// The checked and converted form of `config`.
    pub checked: ValidatedConfig,
    /// Whether the configuration comes from the store, as the file cannot be used.
    pub from_store: bool,
    /// If a store is enabled: its handle, the recovered state, and the text of the configuration in force.
    pub store: Option<(StoreHandle, Recovered, Arc<str>)>,
    /// The stored votes and documents of the agreement between proxies.
    pub votes: Option<RecoveredVotes>,
    /// The `settings` object of the configuration, as JSON.
    pub own_settings: Arc<str>,
}

/// The name of the proxy, which gives the name of its folder. It has to be known even if the configuration is
/// unusable.
fn proxy_name() -> Result<String, String> {
    config::lookup("BALANCER_NAME", "name").map_err(|e| format!("{e}: the store's folder cannot be found"))
}

/// Opens the store and reads all that it holds. Blocks on the disk.
fn open_store(file: &operators::StoreConfig) -> Result<(StoreHandle, Recovered, RecoveredVotes), String> {
    let path = crate::handover::proxy_folder(&file.folder.to_string_lossy(), &proxy_name()?);
    let bad = |e: std::io::Error| format!("store {}: {e}", path.display());
    let folder = DiskFolder::lock(&path, file.fsync == Fsync::Always).map_err(bad)?;
    let folder = folder.ok_or_else(|| format!("store {}: another process has it", path.display()))?;
    let (store, found) = Store::open(folder, file.max_bytes).map_err(bad)?;
    log_recovery(&found);
    let mut records = Vec::new();
    for prefix in RecoveredVotes::NAME_PREFIXES {
        records.extend(store.records_with_prefix(prefix).map_err(bad)?);
    }
    let votes = RecoveredVotes { status: found.status, records };
    Ok((StoreHandle::start(store).map_err(bad)?, found, votes))
}

/// Adds the configuration's text, which the next snapshot stores.
fn with_settings_text(
    store: Option<(StoreHandle, Recovered)>,
    text: &[u8],
) -> Option<(StoreHandle, Recovered, Arc<str>)> {
    store.map(|(store_handle, found)| (store_handle, found, String::from_utf8_lossy(text).as_ref().into()))
}

/// The configuration, its checked form and its text, or why it cannot be used.
pub type Loaded = Result<(Config, ValidatedConfig, Vec<u8>), String>;

/// Opens the store and chooses the configuration: the loaded one, or if that cannot be used and the operators' file
/// allows it, the stored one that was last in force. Blocks on the disk.
///
/// # Errors
/// When neither can be used, or the store cannot be opened.
pub fn recover(file: &operators::StoreConfig, loaded: Loaded) -> Result<StartupState, String> {
    let store = if file.enabled { Some(open_store(file)?) } else { None };
    let (store, votes) = store.map(|(store_handle, found, votes)| ((store_handle, found), votes)).unzip();
    let fault = match loaded {
        Ok((config, checked, text)) => {
            let own_settings = own_settings(&text);
            return Ok(StartupState {
                config,
                checked,
                from_store: false,
                store: with_settings_text(store, &text),
                votes,
                own_settings,
            });
        }
        Err(fault) => fault,
    };
    let last = match &store {
        Some((_, found))
            if file.on_broken_config == OnBrokenConfig::UseStored && found.status.settings_usable() =>
        {
            found.knowledge.settings.as_ref().map(|settings| settings.text.as_bytes().to_vec())
        }
        _ => None,
    };
    let Some(text) = last else { return Err(fault) };
    let (config, checked) =
        config::parse_and_validate(&text).map_err(|e| format!("{fault}; the stored configuration: {e}"))?;
    log::error!("the configuration cannot be used; using the stored one that was last in force: {fault}");
    count(Count::store_settings_taken);
    let own_settings = own_settings(&text);
    Ok(StartupState {
        config,
        checked,
        from_store: true,
        store: with_settings_text(store, &text),
        votes,
        own_settings,
    })
}

/// The member list to start with: the configured or the stored one, whichever is newer. It only says which members
/// may be asked until discovery answers.
pub fn initial_list<'a>(configured: &'a Value, found: Option<&Recovered>) -> Cow<'a, Value> {
    let version = |list: &Value| list.get("generation").and_then(Value::as_u64);
    let stored = found.and_then(|f| serde_json::from_str::<Value>(&f.knowledge.list.as_ref()?.text).ok());
    match stored {
        Some(stored) if version(&stored) > version(configured) => {
            count(Count::store_list_taken);
            Cow::Owned(stored)
        }
        _ => Cow::Borrowed(configured),
    }
}

/// Passes the stored knowledge to the core, before the first client is accepted.
pub async fn restore_knowledge(
    file: &operators::StoreConfig,
    found: Recovered,
    control: &ControlHandle,
    now: Time,
) {
    let must_confirm = found.status.may_lack_suspensions() && !file.confirm_timeout.is_zero();
    let until = if must_confirm { now + file.confirm_timeout.as_micros() as Time } else { 0 };
    if must_confirm {
        log::warn!(
            "suspensions by the operators may be lost: STATUS stays negative until CONFIRM, or for {:?}",
            file.confirm_timeout
        );
    }
    control.request(|reply| CoreCommand::RestoreKnowledge(Box::new(found.knowledge), until, reply)).await;
}

/// Collects what the proxy knows and writes snapshots of it to the store.
pub struct SnapshotTask {
    /// Handle of the store that the snapshots go to.
    pub store_handle: StoreHandle,
    /// Queries the core.
    pub control: ControlHandle,
    /// The clock that timestamps snapshots.
    pub clock: Clock,
    /// The text of the configuration in force.
    pub settings: watch::Receiver<Option<TimestampedText>>,
    /// Version of the member list in use; 0 if there is none.
    pub version: Arc<AtomicU64>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The text of the member list.
    pub list: Mutex<ListExport>,
}

impl SnapshotTask {
    /// Writes a snapshot at this interval until the core has ended.
    pub async fn run(&self, interval: Duration) {
        loop {
            if self.write().await.is_none() {
                return;
            }
            tokio::time::sleep(interval).await;
        }
    }

    /// Writes a snapshot now. Returns none once the core has ended.
    pub async fn write(&self) -> Option<()> {
        let learned = self.control.request(CoreCommand::ExportLearned).await?;
        let suspensions = self.control.request(CoreCommand::QuerySuspensions).await?;
        let mut list = self.list.lock().await;
        let text = list.text(&self.control, self.version.load(Ordering::Relaxed), &self.zones).await?;
        let now = self.clock.now();
        let list = (!list.is_empty()).then_some(TimestampedText { at: now, text });
        let settings = self.settings.borrow().clone();
        let knowledge = Box::new(Knowledge { learned, suspensions, settings, list });
        if self.store_handle.snapshot(knowledge, now).await.is_ok() {
            count(Count::store_snapshots);
        }
        Some(())
    }
}
