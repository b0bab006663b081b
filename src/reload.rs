//! Settings at SIGHUP: the file is read and checked whole, then taken up whole or not at all.

use crate::agreement::rules::FleetSettings;
use crate::agreement_io::SettingsUpdate;
use crate::class_table::{ClassSlots, ClassTable};
use crate::clock::Clock;
use crate::config::{self, Config, ValidatedConfig};
use crate::core::counters::{count, Count};
use crate::core::CoreCommand;
use crate::discovery_schedule::Delivery;
use crate::handover::ControlHandle;
use crate::interface::Settings;
use crate::knowledge::Held;
use crate::net::discovery::DiscoveryService;
use crate::settings::{Names, SocketTimes};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// First pause before a file that could not be used is read again, as it may be half written, and for how long it is.
const READ_AGAIN: Duration = Duration::from_millis(50);
const READ_AGAIN_MOST: Duration = Duration::from_secs(1);

/// What a reload changes, and who is told.
pub struct Reload {
    /// The configuration that holds.
    pub running: Config,
    /// The zone of this proxy.
    pub zone: u32,
    /// Its classes.
    pub slots: ClassSlots,
    /// Where the fronts learn the terms of new requests.
    pub class_table: watch::Sender<Arc<ClassTable>>,
    /// Where discovery's reader learns its address.
    pub discovery: watch::Sender<DiscoveryService>,
    /// The way to the core.
    pub control: ControlHandle,
    /// Where the text that holds is told to the store, if there is one.
    pub held: Option<watch::Sender<Option<Held>>>,
    /// A stored configuration holds, as the file could not be read at the start.
    pub stored: Arc<AtomicBool>,
    /// The clock.
    pub clock: Clock,
    /// Where the settings are agreed on with other proxies: those in force, and where what this proxy's own file says is
    /// told. Its settings are then a proposal and no more.
    pub agreed: Option<(mpsc::Receiver<SettingsUpdate>, watch::Sender<Arc<str>>)>,
}

impl Reload {
    /// Reads the file again at each SIGHUP. A file that cannot be used may be half written: it is read again for a
    /// while, and then left until the next SIGHUP.
    pub async fn run(mut self, mut hangup: Signal) {
        loop {
            let rules = async {
                match &mut self.agreed {
                    Some((rules, _)) => rules.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                heard = hangup.recv() => if heard.is_none() {
                    return;
                },
                Some((shared, done)) = rules => {
                    self.rules(*shared).await;
                    let _ = done.send(());
                    continue;
                }
            }
            let (mut pause, mut until) = (READ_AGAIN, Instant::now() + READ_AGAIN_MOST);
            let fault = loop {
                match config::reload(&self.running) {
                    Ok((told, sound, text)) => {
                        self.take(told, sound, &text).await;
                        self.stored.store(false, Ordering::Relaxed);
                        if let Some(held) = &self.held {
                            let text = String::from_utf8_lossy(&text).as_ref().into();
                            held.send_replace(Some(Held { at: self.clock.now(), text }));
                        }
                        break None;
                    }
                    Err(fault) if Instant::now() >= until => break Some(fault),
                    Err(_) => {}
                }
                tokio::select! {
                    again = hangup.recv() => match again {
                        Some(()) => (pause, until) = (READ_AGAIN, Instant::now() + READ_AGAIN_MOST),
                        None => return,
                    },
                    () = tokio::time::sleep(pause) => pause *= 2,
                }
            };
            if let Some(fault) = fault {
                count(Count::reloads_failed);
                log::error!("what runs is kept whole, as the new configuration cannot be used: {fault}");
            }
        }
    }

    /// The settings that hold from now on.
    async fn hold(&mut self, names: Names, mut settings: Settings, times: SocketTimes) {
        let class_table = self.slots.replace(names, std::mem::take(&mut settings.classes));
        settings.classes = class_table.classes.clone();
        // The module first: no request may come under terms that it does not know.
        self.control.request(|reply| CoreCommand::ApplySettings(Box::new(settings), times, reply)).await;
        let _ = self.class_table.send(class_table);
    }

    /// What all proxies act on: with this one's own zone and random numbers.
    async fn rules(&mut self, shared: FleetSettings) {
        let FleetSettings { names, settings, times } = shared;
        let (seed, zone) = (self.running.seed, self.zone);
        self.hold(names, Settings { seed, zone, ..settings }, times).await;
        log::info!("settings that are agreed on hold from now on");
        tell_classes(&self.slots.current());
    }

    async fn take(&mut self, told: Config, sound: ValidatedConfig, text: &[u8]) {
        let ValidatedConfig { names, settings, times } = sound;
        let (proxies, delivery) = (settings.instances, Delivery::of(&settings));
        match &self.agreed {
            Some((_, own)) => {
                own.send_replace(own_settings(text));
                log::info!(
                    "settings are agreed on with the other proxies: this file's count once they are proposed"
                );
            }
            None => self.hold(names, settings, times).await,
        }
        // Also where it is the same: the list is then asked for anew.
        let _ = self.discovery.send(DiscoveryService { address: told.discovery.clone(), proxies, delivery });
        count(Count::reloads);
        let fixed = self.running.changes_requiring_restart(&told);
        if !fixed.is_empty() {
            log::warn!("taken up only by a new start: {}", fixed.join(", "));
        }
        log::info!("the configuration was read again; discovery is asked at {} from now on", told.discovery);
        if self.agreed.is_none() {
            tell_classes(&self.slots.current());
        }
        self.running = told;
    }
}

/// The settings of a configuration, as their JSON.
pub fn own_settings(text: &[u8]) -> Arc<str> {
    let json: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    json.get("settings").map(ToString::to_string).unwrap_or_default().into()
}

/// Tells the log what holds for new requests.
pub fn tell_classes(class_table: &ClassTable) {
    for (slot, class) in class_table.classes.iter().enumerate() {
        let name = class_table.class_name(slot);
        if class_table.class(name) == Some(slot) {
            let (aim, deadline) = (class.aim / 1000, class.deadline / 1000);
            let (need, repeat) = (&class.consistency, &class.effect);
            log::info!(need:?, repeat:?; "class {name}: wanted in {aim} ms, given up after {deadline} ms");
        }
    }
}
