//! Reloads the configuration at SIGHUP: the file is read and checked as a whole, then applied as a whole or
//! not at all.

use crate::agreement::rules::FleetSettings;
use crate::agreement_io::SettingsUpdate;
use crate::class_table::{ClassSlots, ClassTable};
use crate::clock::Clock;
use crate::config::{self, Config, ValidatedConfig};
use crate::core::counters::{count, Count};
use crate::core::work_time::{self, Work};
use crate::core::CoreCommand;
use crate::discovery_schedule::Delivery;
use crate::handover::ControlHandle;
use crate::interface::Settings;
use crate::knowledge::TimestampedText;
use crate::net::discovery::DiscoveryService;
use crate::policy::repeat_proof::RetryHabits;
use crate::settings::{Names, SocketTimes};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Delay before the first retry to read a file that could not be used, as it may be half written.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// For how long after SIGHUP reading such a file is retried.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

/// The actor that applies new settings and sends them to the parts of the process that use them.
pub struct Reload {
    /// The configuration in force.
    pub current: Config,
    /// The zone of this proxy.
    pub zone: u32,
    /// The slots that classes keep across reloads.
    pub slots: ClassSlots,
    /// Passes the class table for new requests to the fronts.
    pub class_table: watch::Sender<Arc<ClassTable>>,
    /// Passes the address of the discovery service to its client.
    pub discovery: watch::Sender<DiscoveryService>,
    /// Sends commands to the core.
    pub control: ControlHandle,
    /// Passes the text of the configuration in force to the store, if there is one.
    pub accepted_text: Option<watch::Sender<Option<TimestampedText>>>,
    /// Whether a stored configuration is in force, as the file could not be used at startup.
    pub config_from_store: Arc<AtomicBool>,
    /// The clock that timestamps the text for the store.
    pub clock: Clock,
    /// Set if the settings are agreed on with the other proxies. The receiver delivers the settings in force.
    /// The sender passes on the settings of this proxy's own file, which may be proposed as the first
    /// version.
    pub fleet_settings: Option<(mpsc::Receiver<SettingsUpdate>, watch::Sender<Arc<str>>)>,
}

impl Reload {
    /// Reads the file again at each SIGHUP. A file that cannot be used may be half written: it is read again
    /// with increasing delays for a short time, and then ignored until the next SIGHUP.
    pub async fn run(mut self, mut hangup: Signal) {
        loop {
            let update = async {
                match &mut self.fleet_settings {
                    Some((updates, _)) => updates.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                signal = hangup.recv() => if signal.is_none() {
                    return;
                },
                Some((settings, applied)) = update => {
                    self.apply_fleet_settings(*settings).await;
                    let _ = applied.send(());
                    continue;
                }
            }
            let (mut delay, mut retry_until) = (RETRY_DELAY, Instant::now() + RETRY_PERIOD);
            let fault = loop {
                let began = std::time::Instant::now();
                let read = config::reload(&self.current);
                work_time::record(Work::Reload, began, || "a configuration".to_string());
                match read {
                    Ok((config, checked, text)) => {
                        self.apply_file(config, checked, &text).await;
                        self.config_from_store.store(false, Ordering::Relaxed);
                        if let Some(accepted) = &self.accepted_text {
                            let text = String::from_utf8_lossy(&text).as_ref().into();
                            accepted.send_replace(Some(TimestampedText { at: self.clock.now(), text }));
                        }
                        break None;
                    }
                    Err(fault) if Instant::now() >= retry_until => break Some(fault),
                    Err(_) => {}
                }
                tokio::select! {
                    again = hangup.recv() => match again {
                        Some(()) => (delay, retry_until) = (RETRY_DELAY, Instant::now() + RETRY_PERIOD),
                        None => return,
                    },
                    () = tokio::time::sleep(delay) => delay *= 2,
                }
            };
            if let Some(fault) = fault {
                count(Count::reloads_failed);
                log::error!("what runs is kept whole, as the new configuration cannot be used: {fault}");
            }
        }
    }

    /// Applies settings to the core and to new requests.
    async fn apply(&mut self, names: Names, mut settings: Settings, times: SocketTimes) {
        self.slots.set_retry_habits(RetryHabits::of(&settings));
        let class_table = self.slots.replace(names, std::mem::take(&mut settings.classes));
        settings.classes = class_table.classes.clone();
        // The core goes first: no request may arrive with a class that the core does not know.
        self.control.request(|reply| CoreCommand::ApplySettings(Box::new(settings), times, reply)).await;
        let _ = self.class_table.send(class_table);
    }

    /// Applies settings that all proxies agree on, with this proxy's own zone and random seed.
    async fn apply_fleet_settings(&mut self, agreed: FleetSettings) {
        let FleetSettings { names, settings, times } = agreed;
        let (seed, zone) = (self.current.seed, self.zone);
        self.apply(names, Settings { seed, zone, ..settings }, times).await;
        log::info!("settings agreed on with the other proxies are in force");
        log_classes(&self.slots.current());
    }

    /// Applies a file that was read and checked. If the settings are agreed on with other proxies, those of
    /// the file are not applied; they only replace what this proxy may propose as the first version.
    async fn apply_file(&mut self, config: Config, checked: ValidatedConfig, text: &[u8]) {
        let ValidatedConfig { names, settings, times } = checked;
        let (proxies, delivery) = (settings.instances, Delivery::of(&settings));
        match &self.fleet_settings {
            Some((_, proposed)) => {
                proposed.send_replace(own_settings(text));
                log::info!(
                    "settings are agreed on with the other proxies: those of this file apply only if proposed"
                );
            }
            None => self.apply(names, settings, times).await,
        }
        // Sent even if the address is the same, so that the member list is requested again.
        let _ =
            self.discovery.send(DiscoveryService { address: config.discovery.clone(), proxies, delivery });
        count(Count::reloads);
        let restart_required = self.current.changes_requiring_restart(&config);
        if !restart_required.is_empty() {
            log::warn!("taken up only by a new start: {}", restart_required.join(", "));
        }
        log::info!(
            "the configuration was read again; discovery is asked at {} from now on",
            config.discovery
        );
        if self.fleet_settings.is_none() {
            log_classes(&self.slots.current());
        }
        self.current = config;
    }
}

/// The `settings` object of a configuration, as JSON.
pub fn own_settings(text: &[u8]) -> Arc<str> {
    let json: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    json.get("settings").map(ToString::to_string).unwrap_or_default().into()
}

/// Logs the settings that apply to new requests of each class.
pub fn log_classes(class_table: &ClassTable) {
    for (slot, class) in class_table.classes.iter().enumerate() {
        let name = class_table.class_name(slot);
        if class_table.class(name) == Some(slot) {
            let (aim, deadline) = (class.aim / 1000, class.deadline / 1000);
            let (need, repeat) = (&class.consistency, &class.effect);
            log::info!(need:?, repeat:?; "class {name}: aim {aim} ms, deadline {deadline} ms");
        }
    }
}
