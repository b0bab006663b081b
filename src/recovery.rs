//! A start that goes on from what was stored, and the gathering of what the next one goes on from: the wiring between the
//! operators' file, the store, the configuration, the list and the core.

use crate::agreement_io::RecoveredVotes;
use crate::clock::Clock;
use crate::config::{self, Config, ValidatedConfig};
use crate::core::counters::{count, Count};
use crate::core::CoreCommand;
use crate::handover::ControlHandle;
use crate::interface::Time;
use crate::knowledge::{Held, Knowledge};
use crate::net::discovery;
use crate::operators::{self, Fsync, OnBrokenConfig};
use crate::reload::own_settings;
use crate::store::actor::Scribe;
use crate::store::disk::Folder;
use crate::store::state::{Recovered, Store};
use crate::store::tell;
use serde_json::Value;
use std::borrow::Cow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// What a start has.
pub struct Start {
    /// The configuration that holds.
    pub told: Config,
    /// The same, checked.
    pub sound: ValidatedConfig,
    /// It is the stored one, as the file cannot be used.
    pub stored: bool,
    /// Where there is a store: that, what it had, and the configuration's text for it to keep.
    pub store: Option<(Scribe, Recovered, Arc<str>)>,
    /// What the store had kept of what proxies agree on.
    pub memory: Option<RecoveredVotes>,
    /// The settings, as their JSON.
    pub own: Arc<str>,
}

/// The name of the proxy, by which it finds its folder: it must be known even where the configuration cannot be read.
fn name() -> Result<String, String> {
    config::lookup("BALANCER_NAME", "name").map_err(|e| format!("{e}: the store's folder cannot be found"))
}

fn open(file: &operators::StoreConfig) -> Result<(Scribe, Recovered, RecoveredVotes), String> {
    let place = crate::handover::place(&file.folder.to_string_lossy(), &name()?);
    let bad = |e: std::io::Error| format!("store {}: {e}", place.display());
    let folder = Folder::take(&place, file.fsync == Fsync::Always).map_err(bad)?;
    let folder = folder.ok_or_else(|| format!("store {}: another process has it", place.display()))?;
    let (store, found) = Store::open(folder, file.max_bytes).map_err(bad)?;
    tell(&found);
    let mut kept = Vec::new();
    for prefix in RecoveredVotes::NAME_PREFIXES {
        kept.extend(store.kept(prefix).map_err(bad)?);
    }
    let memory = RecoveredVotes { finding: found.finding, records: kept };
    Ok((Scribe::start(store).map_err(bad)?, found, memory))
}

/// The store with the text that it is to keep; without one nobody keeps it.
fn keeping(store: Option<(Scribe, Recovered)>, text: &[u8]) -> Option<(Scribe, Recovered, Arc<str>)> {
    store.map(|(scribe, found)| (scribe, found, String::from_utf8_lossy(text).as_ref().into()))
}

/// What reading the configuration brought.
pub type Loaded = Result<(Config, ValidatedConfig, Vec<u8>), String>;

/// Goes by the configuration that was read, or where it cannot be used and the operators' file says so, by the last that
/// held. It waits for the disk.
///
/// # Errors
/// With one plain message.
pub fn start(file: &operators::StoreConfig, loaded: Loaded) -> Result<Start, String> {
    let store = if file.enabled { Some(open(file)?) } else { None };
    let (store, memory) = store.map(|(scribe, found, memory)| ((scribe, found), memory)).unzip();
    let fault = match loaded {
        Ok((told, sound, text)) => {
            let own = own_settings(&text);
            return Ok(Start { told, sound, stored: false, store: keeping(store, &text), memory, own });
        }
        Err(fault) => fault,
    };
    let last = match &store {
        Some((_, found))
            if file.on_broken_config == OnBrokenConfig::UseStored && found.finding.settings_hold() =>
        {
            found.all.settings.as_ref().map(|held| held.text.as_bytes().to_vec())
        }
        _ => None,
    };
    let Some(text) = last else { return Err(fault) };
    let (told, sound) =
        config::parse_and_validate(&text).map_err(|e| format!("{fault}; the last that held: {e}"))?;
    log::error!("the configuration cannot be used, and the last that held is taken: {fault}");
    count(Count::store_settings_taken);
    let own = own_settings(&text);
    Ok(Start { told, sound, stored: true, store: keeping(store, &text), memory, own })
}

/// The list to begin with: of the configuration's and the stored one the later. Either only says whom to ask.
pub fn list<'a>(configured: &'a Value, found: Option<&Recovered>) -> Cow<'a, Value> {
    let version = |list: &Value| list.get("generation").and_then(Value::as_u64);
    let stored = found.and_then(|f| serde_json::from_str::<Value>(&f.all.list.as_ref()?.text).ok());
    match stored {
        Some(stored) if version(&stored) > version(configured) => {
            count(Count::store_list_taken);
            Cow::Owned(stored)
        }
        _ => Cow::Borrowed(configured),
    }
}

/// Hands the core what was stored, before the first client comes.
pub async fn recall(file: &operators::StoreConfig, found: Recovered, control: &ControlHandle, now: Time) {
    let waits = found.finding.may_lack_words() && !file.confirm_timeout.is_zero();
    let until = if waits { now + file.confirm_timeout.as_micros() as Time } else { 0 };
    if waits {
        log::warn!(
            "what was said by hand may be lost: STATUS is no until CONFIRM, or for {:?}",
            file.confirm_timeout
        );
    }
    control.request(|reply| CoreCommand::RestoreKnowledge(Box::new(found.all), until, reply)).await;
}

/// Gathers what is known, from where it is known.
pub struct Gatherer {
    /// The way to the disk.
    pub scribe: Scribe,
    /// The way to the core.
    pub control: ControlHandle,
    /// The clock.
    pub clock: Clock,
    /// The configuration that holds.
    pub settings: watch::Receiver<Option<Held>>,
    /// Version of the list that is held; 0: none.
    pub version: Arc<AtomicU64>,
    /// Names of the zones.
    pub zones: Vec<String>,
}

impl Gatherer {
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
            Held { at: now, text: discovery::list_to_json(&listed, version, &self.zones).to_string().into() }
        });
        let settings = self.settings.borrow().clone();
        let all = Box::new(Knowledge { known, hands, settings, list });
        if self.scribe.snapshot(all, now).await.is_ok() {
            count(Count::store_snapshots);
        }
        Some(())
    }
}
