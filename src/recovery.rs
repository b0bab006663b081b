//! A start that goes on from what was stored, and the gathering of what the next one goes on from: the wiring between the
//! operators' file, the store, the configuration, the list and the core.

use crate::agreement_io::RecoveredVotes;
use crate::clock::Clock;
use crate::config::{self, Config, Sound};
use crate::core::counters::{count, Count};
use crate::core::CoreCommand;
use crate::handover::ControlHandle;
use crate::interface::Time;
use crate::knowledge::{Knowledge, TimestampedText};
use crate::net::discovery;
use crate::operators::{self, Broken, Fsync};
use crate::reload::own_settings;
use crate::store::actor::StoreHandle;
use crate::store::disk::DiskFolder;
use crate::store::state::{Recovered, Store};
use crate::store::tell;
use serde_json::Value;
use std::borrow::Cow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// What a start has.
pub struct StartupState {
    /// The configuration that holds.
    pub config: Config,
    /// The same, checked.
    pub checked: Sound,
    /// It is the stored one, as the file cannot be used.
    pub from_store: bool,
    /// Where there is a store: that, what it had, and the configuration's text for it to keep.
    pub store: Option<(StoreHandle, Recovered, Arc<str>)>,
    /// What the store had kept of what proxies agree on.
    pub votes: Option<RecoveredVotes>,
    /// The settings, as their JSON.
    pub own_settings: Arc<str>,
}

/// The name of the proxy, by which it finds its folder: it must be known even where the configuration cannot be read.
fn name() -> Result<String, String> {
    config::lookup("BALANCER_NAME", "name").map_err(|e| format!("{e}: the store's folder cannot be found"))
}

fn open(file: &operators::Store) -> Result<(StoreHandle, Recovered, RecoveredVotes), String> {
    let place = crate::handover::proxy_folder(&file.folder.to_string_lossy(), &name()?);
    let bad = |e: std::io::Error| format!("store {}: {e}", place.display());
    let folder = DiskFolder::lock(&place, file.fsync == Fsync::Word).map_err(bad)?;
    let folder = folder.ok_or_else(|| format!("store {}: another process has it", place.display()))?;
    let (store, found) = Store::open(folder, file.most).map_err(bad)?;
    tell(&found);
    let mut kept = Vec::new();
    for prefix in RecoveredVotes::NAME_PREFIXES {
        kept.extend(store.records_with_prefix(prefix).map_err(bad)?);
    }
    let memory = RecoveredVotes { finding: found.status, records: kept };
    Ok((StoreHandle::start(store).map_err(bad)?, found, memory))
}

/// The store with the text that it is to keep; without one nobody keeps it.
fn with_settings_text(
    store: Option<(StoreHandle, Recovered)>,
    text: &[u8],
) -> Option<(StoreHandle, Recovered, Arc<str>)> {
    store.map(|(store_handle, found)| (store_handle, found, String::from_utf8_lossy(text).as_ref().into()))
}

/// What reading the configuration brought.
pub type Loaded = Result<(Config, Sound, Vec<u8>), String>;

/// Goes by the configuration that was read, or where it cannot be used and the operators' file says so, by the last that
/// held. It waits for the disk.
///
/// # Errors
/// With one plain message.
pub fn recover(file: &operators::Store, loaded: Loaded) -> Result<StartupState, String> {
    let store = if file.enabled { Some(open(file)?) } else { None };
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
        Some((_, found)) if file.broken == Broken::TakeLast && found.status.settings_hold() => {
            found.knowledge.settings.as_ref().map(|held| held.text.as_bytes().to_vec())
        }
        _ => None,
    };
    let Some(text) = last else { return Err(fault) };
    let (config, checked) =
        config::sound_text(&text).map_err(|e| format!("{fault}; the last that held: {e}"))?;
    log::error!("the configuration cannot be used, and the last that held is taken: {fault}");
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

/// The list to begin with: of the configuration's and the stored one the later. Either only says whom to ask.
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

/// Hands the core what was stored, before the first client comes.
pub async fn restore_knowledge(
    file: &operators::Store,
    found: Recovered,
    control: &ControlHandle,
    now: Time,
) {
    let waits = found.status.may_lack_words() && !file.confirm.is_zero();
    let until = if waits { now + file.confirm.as_micros() as Time } else { 0 };
    if waits {
        log::warn!(
            "what was said by hand may be lost: STATUS is no until CONFIRM, or for {:?}",
            file.confirm
        );
    }
    control.request(|reply| CoreCommand::RestoreKnowledge(Box::new(found.knowledge), until, reply)).await;
}

/// Gathers what is known, from where it is known.
pub struct SnapshotTask {
    /// The way to the disk.
    pub store_handle: StoreHandle,
    /// The way to the core.
    pub control: ControlHandle,
    /// The clock.
    pub clock: Clock,
    /// The configuration that holds.
    pub settings: watch::Receiver<Option<TimestampedText>>,
    /// Version of the list that is held; 0: none.
    pub version: Arc<AtomicU64>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl SnapshotTask {
    /// Writes all down at this rate, until the core has ended.
    pub async fn run(&self, every: Duration) {
        loop {
            if self.write().await.is_none() {
                return;
            }
            tokio::time::sleep(every).await;
        }
    }

    /// Writes all down now; none once the core has ended.
    pub async fn write(&self) -> Option<()> {
        let known = self.control.request(CoreCommand::ExportLearned).await?;
        let hands = self.control.request(CoreCommand::QuerySuspensions).await?;
        let listed = self.control.request(CoreCommand::QueryMembers).await?;
        let now = self.clock.now();
        let list = (!listed.is_empty()).then(|| {
            let version = self.version.load(Ordering::Relaxed);
            TimestampedText {
                at: now,
                text: discovery::list_to_json(&listed, version, &self.zones).to_string().into(),
            }
        });
        let settings = self.settings.borrow().clone();
        let all = Box::new(Knowledge { learned: known, suspensions: hands, settings, list });
        if self.store_handle.snapshot(all, now).await.is_ok() {
            count(Count::store_snapshots);
        }
        Some(())
    }
}
