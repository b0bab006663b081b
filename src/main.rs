//! The program `linentrail`: startup, wiring of the actors, shutdown, and the other commands.
// The macros panic if the output cannot be written; `cli::print_line` and `cli::print_error_line` do not.
#![deny(clippy::print_stdout, clippy::print_stderr)]

use clap::Parser;
use linentrail::agreement_io::{AgreementActor, Dependencies};
use linentrail::check::{self, CheckResult};
use linentrail::class_table::ClassSlots;
use linentrail::cli::{self, Arguments, Command};
use linentrail::clock::Clock;
use linentrail::config::ValidatedConfig;
use linentrail::console::Console;
use linentrail::core::actor::Actor;
use linentrail::core::bookings::Bookings;
use linentrail::core::counters::{self, Count};
use linentrail::core::repeat_ids::RepeatIds;
use linentrail::core::repeat_ledger::LedgerSize;
use linentrail::core::{work_time, CoreCommand, Handle, Input};
use linentrail::discovery_schedule::{CallSchedule, Delivery};
use linentrail::dnssd::browse::Browser;
use linentrail::dnssd::records;
use linentrail::handover::folder::HandoverFolder;
use linentrail::handover::shared_folder::SharedFolder;
use linentrail::handover::{self, ControlHandle, Handover};
use linentrail::knowledge::TimestampedText;
use linentrail::net::answer_limit::AnswerLimit;
use linentrail::net::budget::{Budget, ErrorPacer};
use linentrail::net::client_listeners::ClientListeners;
use linentrail::net::discovery::{Discovery, DiscoveryService, ListReader};
use linentrail::net::listen::ProcessPhase;
use linentrail::net::member_actors::MemberActors;
use linentrail::net::stall;
use linentrail::net::startup::{self, ClientListener};
use linentrail::net::transient;
use linentrail::operators::agreement::OnLeaseExpiry;
use linentrail::operators::{self, DnsSdConfig, OdataConfig};
use linentrail::policy::repeat_proof::RetryHabits;
use linentrail::recovery::{self, SnapshotTask, StartupState};
use linentrail::reload::{log_classes, Reload};
use linentrail::shutdown::Shutdown;
use linentrail::{config, console_client, fleet, logs, meter, odata, pg};
use linentrail::{ListKind, Time};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};

/// Counts allocations for measurements; not used in production.
#[cfg(feature = "meter")]
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Capacity of the core's mailbox.
const CORE_MAILBOX_CAPACITY: usize = 2048;
/// Capacity of each mailbox for calls of the operators.
const COMMAND_MAILBOX_CAPACITY: usize = 64;
/// Environment variable with the descriptor of a listener that the platform keeps open for this proxy.
const INHERITED_LISTENER_VARIABLE: &str = "BALANCER_ACCEPT_FD";
/// Number of attempts to take one of the two process slots, about 5 s in total. Both slots can be taken while
/// the process before the previous one is still ending.
const SLOT_TRIES: usize = 250;
/// The counters of client connections, one for each front.
const PG_CONNECTIONS: Count = Count::pg_connections;
const ODATA_CONNECTIONS: Count = Count::odata_connections;

/// The path of the folder that the processes of this proxy share. `None` unless the platform lets two
/// processes share a listener and thus serve at the same time.
fn shared_folder_path(name: &str, shares_listener: bool) -> Option<PathBuf> {
    let folder = std::env::var("TMPDIR").ok().filter(|v| shares_listener && !v.is_empty());
    folder.map(|folder| handover::proxy_folder(&folder, name))
}

/// Joins the shared folder. On an I/O error, the error is logged and the folder is left to be joined later.
/// Fails if two other processes already use the folder.
fn join_folder(path: &Path) -> Result<SharedFolder, String> {
    match HandoverFolder::join(path.to_path_buf(), SLOT_TRIES) {
        Ok(Some(folder)) => Ok(SharedFolder::joined(Arc::new(folder))),
        Ok(None) => {
            Err(format!("two processes of this proxy are running already, according to {}", path.display()))
        }
        Err(e) => {
            log::error!(
                "{}: {e}; nothing is shared with another process of this proxy for now",
                path.display()
            );
            Ok(SharedFolder::expected())
        }
    }
}

/// Listens on the clients' address if that can be determined before the whole configuration is read. If it
/// cannot, no error is returned here: faults of the configuration are reported when the whole of it is read.
async fn listen_early(inherited: Option<&str>) -> Result<Option<ClientListener>, String> {
    match (config::listen_address(), inherited) {
        (Ok(address), _) => bind_clients(inherited, &address).await.map(Some),
        (Err(_), Some(_)) => bind_clients(inherited, "").await.map(Some),
        (Err(_), None) => Ok(None),
    }
}

async fn bind_clients(inherited: Option<&str>, address: &str) -> Result<ClientListener, String> {
    let shown = if inherited.is_some() { INHERITED_LISTENER_VARIABLE } else { address };
    ClientListener::bind(inherited, address).await.map_err(|e| format!("{shown}: {e}"))
}

async fn bind_odata(odata: &OdataConfig) -> Result<TcpListener, String> {
    let address = odata.listen;
    transient::listen(address).await.map_err(|e| format!("{address}: {e}"))
}

/// Creates an empty ledger of repeat ids. The stored answers may take at most an eighth of the process's
/// memory limit.
fn repeat_ids(odata: &OdataConfig, memory: usize, clock: Clock) -> RepeatIds {
    let limits = LedgerSize { ids: odata.repeat_ids, bytes: odata.repeat_bytes.min(memory / 8) };
    RepeatIds::new(limits, odata.repeat_id_lifetime, clock)
}

/// Runs a part of startup. If it may block (`may_block`), it runs on a separate thread, so that connecting
/// clients are handled in the meantime; otherwise no thread is started.
async fn off_thread<T: Send + 'static>(
    may_block: bool,
    work: impl FnOnce() -> Result<T, String> + Send + 'static,
) -> Result<T, String> {
    if !may_block {
        return work();
    }
    tokio::task::spawn_blocking(work).await.map_err(|e| e.to_string())?
}

async fn run(began: Instant) -> Result<(), String> {
    // Handlers are installed first: without a handler each of these signals would end the process, and they
    // may be sent as soon as the process reports that it serves.
    let install_handler = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (hangup, mut usr1) =
        (install_handler(SignalKind::hangup())?, install_handler(SignalKind::user_defined1())?);
    let (mut term, mut int) =
        (install_handler(SignalKind::terminate())?, install_handler(SignalKind::interrupt())?);
    tokio::spawn(stall::track_polls());
    let inherited = std::env::var(INHERITED_LISTENER_VARIABLE).ok().filter(|v| !v.is_empty());
    // Before the configuration is read, so that clients that connect in the meantime find a listener.
    let early_listener = listen_early(inherited.as_deref()).await?;
    log::info!("clients can connect {} us after startup began", began.elapsed().as_micros());
    let operators_file = operators::load()?;
    let loaded = config::load();
    let (phase, phase_receiver) = watch::channel(ProcessPhase::Starting);
    let mut listeners = ClientListeners::new(began, phase_receiver.clone());
    let (mut pg_address, mut odata_address) = (None, None);
    let early_budget =
        loaded.as_ref().ok().map(|(config, ..)| Budget::new(config.max_descriptors, config.max_memory_bytes));
    let odata_listener = match operators_file.odata.enabled {
        true => Some(bind_odata(&operators_file.odata).await?),
        false => None,
    };
    let (open_pg, pg_gate) = startup::gate();
    let (open_odata, odata_gate) = startup::gate();
    // An inherited listener is not accepted on yet: another process of this proxy may still serve its
    // clients.
    let (mut pg_deferred, mut odata_deferred) = (early_listener, odata_listener);
    if let (Some(budget), None) = (&early_budget, &inherited) {
        if let Some(listener) =
            pg_deferred.take_if(|l| loaded.as_ref().is_ok_and(|(config, ..)| l.has_address(&config.listen)))
        {
            pg_address = listeners.add(listener.into_inner(), PG_CONNECTIONS, budget, pg_gate.clone());
        }
        if let Some(listener) = odata_deferred.take() {
            odata_address = listeners.add(listener, ODATA_CONNECTIONS, budget, odata_gate.clone());
        }
    }
    let store_file = operators_file.store.clone();
    let recovery = off_thread(operators_file.store.enabled, move || recovery::recover(&store_file, loaded));
    let StartupState { config, checked, from_store, store, votes, own_settings } = recovery.await?;
    let ValidatedConfig { names, settings, times } = checked;
    let zones = names.zones.clone();
    let mut slots = ClassSlots::default();
    slots.set_retry_habits(RetryHabits::of(&settings));
    let (class_table, class_table_receiver) = watch::channel(slots.replace(names, settings.classes.clone()));
    log_classes(&slots.current());
    let (memory, idle) = (config.max_memory_bytes >> 20, times.keepalive / 1000);
    log::info!(
        "limits: {} descriptors, {memory} MiB; members close connections that are idle for {idle} ms",
        config.max_descriptors
    );
    let folder_path = shared_folder_path(&config.name, inherited.is_some());
    let shared_folder = match folder_path.clone() {
        Some(path) => off_thread(true, move || join_folder(&path)).await?,
        None => SharedFolder::default(),
    };
    let clock = Clock::start();
    let budget = early_budget.unwrap_or_else(|| Budget::new(config.max_descriptors, config.max_memory_bytes));
    let (core_mailbox, core_inbox) = mpsc::channel(CORE_MAILBOX_CAPACITY);
    let (commands, command_inbox) = mpsc::channel(COMMAND_MAILBOX_CAPACITY);
    let (list_requests, list_request_inbox) = mpsc::channel(1);
    let connector = pg::member::PgConnector::new(budget.bytes.clone());
    let members =
        MemberActors::new(core_mailbox.clone(), list_requests, budget.clone(), clock, times, connector);
    let (proxies, delivery) = (settings.instances, Delivery::of(&settings));
    let schedule = CallSchedule::new(settings.seed);
    let (seed, zone, initial_settings) = (settings.seed, settings.zone, settings.clone());
    let actor =
        Actor::new(settings, members, clock, (core_inbox, command_inbox)).map_err(|e| e.to_string())?;

    let mut lists = ListReader::new(zones.clone());
    // The list of the configuration or the store is available before the first client connects; it may be out
    // of date.
    let initial_list =
        lists.read(&recovery::initial_list(&config.initial_list, store.as_ref().map(|s| &s.1)), None);
    let (initial_version, initial_list) =
        initial_list.map_or_else(Default::default, |(version, _, entries)| (Some(version), entries));
    core_mailbox.send(Input::List(ListKind::Disk, initial_list)).await.map_err(|e| e.to_string())?;
    tokio::spawn(actor.run());
    let (discovery, service) =
        watch::channel(DiscoveryService { address: config.discovery.clone(), proxies, delivery });
    let mut list_version = Arc::default();
    if operators_file.dnssd.browse {
        let DnsSdConfig { server, service, .. } = &operators_file.dnssd;
        tokio::spawn(
            Browser::new(*server, service, lists, core_mailbox.clone(), clock)?.run(list_request_inbox),
        );
    } else {
        let discovery = Discovery::new(service, schedule, lists, initial_version, core_mailbox.clone());
        list_version = discovery.version.clone();
        tokio::spawn(discovery.run(list_request_inbox));
    }

    let store_handle = store.as_ref().map(|(store_handle, ..)| store_handle.clone());
    let control = ControlHandle::new(commands, shared_folder.clone()).with_store(store_handle.clone());
    let (config_from_store, mut accepted_text, mut snapshot_at_shutdown) =
        (Arc::new(AtomicBool::new(from_store)), None, None);
    if let Some((store_handle, recovered, text)) = store {
        recovery::restore_knowledge(&operators_file.store, recovered, &control, clock.now()).await;
        let (text_sender, settings) = watch::channel(Some(TimestampedText { at: clock.now(), text }));
        accepted_text = Some(text_sender);
        let (version, zones) = (list_version.clone(), zones.clone());
        let snapshot_task = SnapshotTask {
            store_handle,
            control: control.clone(),
            clock,
            settings,
            version,
            zones,
            list: Default::default(),
        };
        let snapshot_task = Arc::new(snapshot_task);
        snapshot_at_shutdown = Some(snapshot_task.clone());
        let interval = operators_file.store.snapshot_interval;
        tokio::spawn(async move { snapshot_task.run(interval).await });
    }
    let (mut fleet_settings, mut operator_calls) = (None, None);
    if operators_file.agreement.enabled {
        if operators_file.agreement.on_lease_expiry == OnLeaseExpiry::Refuse {
            // Before the first client connects: no request may be sent to a member before the voters grant a
            // lease.
            control.send(CoreCommand::ExtendLease(0)).await;
            control
                .request(|reply| CoreCommand::ApplySettings(Box::new(initial_settings), times, reply))
                .await;
        }
        let keys = operators_file.agreement.read_keys()?;
        let (settings_updates, updates_inbox) = mpsc::channel(1);
        let (own_settings_sender, own_settings) = watch::channel(own_settings);
        let dependencies = Dependencies {
            config: operators_file.agreement.clone(),
            keys,
            control: control.clone(),
            core: core_mailbox.clone(),
            settings_updates,
            store: store_handle,
            list_version: list_version.clone(),
            zones: zones.clone(),
            own_settings,
            clock,
            seed,
        };
        let (agreement, requests) = AgreementActor::start(dependencies, votes).await?;
        let (calls, call_inbox) = mpsc::channel(COMMAND_MAILBOX_CAPACITY);
        tokio::spawn(agreement.run(call_inbox, requests));
        (fleet_settings, operator_calls) = (Some((updates_inbox, own_settings_sender)), Some(calls));
    }
    let reload = Reload {
        current: config.clone(),
        zone,
        fleet_settings,
        slots,
        class_table,
        discovery,
        control: control.clone(),
        accepted_text,
        config_from_store: config_from_store.clone(),
        clock,
    };
    tokio::spawn(reload.run(hangup));
    if let Some(console) = &config.console {
        let listener =
            transient::listen(console.as_str()).await.map_err(|e| format!("console {console}: {e}"))?;
        log::info!("operators call at {}", listener.local_addr().map_err(|e| e.to_string())?);
        tokio::spawn(
            Console::new(control.clone(), phase_receiver.clone(), config_from_store, operator_calls)
                .run(listener),
        );
    }
    let repeat_ids = operators_file
        .odata
        .enabled
        .then(|| repeat_ids(&operators_file.odata, config.max_memory_bytes, clock));
    match (shared_folder.get(), folder_path) {
        (Some(folder), _) => {
            let folder = folder.clone();
            let mut handover =
                Handover::new(folder, control.clone(), budget.clone(), clock, repeat_ids.clone());
            handover.take_over().await;
            tokio::spawn(handover.run());
        }
        (None, Some(path)) => {
            // There may be another process that this one cannot detect yet.
            repeat_ids.iter().for_each(RepeatIds::expect_peer);
            let (shared, control, budget) = (shared_folder.clone(), control.clone(), budget.clone());
            let late_handover = Handover::join_late(shared, path, control, budget, clock, repeat_ids.clone());
            tokio::spawn(late_handover);
        }
        (None, None) => {}
    }
    let began_at = clock.now().saturating_sub(began.elapsed().as_micros() as Time);
    control.request(|reply| CoreCommand::StartServing(began_at, reply)).await;
    let (core, error_pacer) = (Handle::new(core_mailbox.clone()), ErrorPacer::default());
    let answer_limit = AnswerLimit::default();
    let clients = budget.clients.clone();
    open_pg.open(Arc::new(pg::front::Front {
        core: core.clone(),
        class_table: class_table_receiver.clone(),
        clock,
        clients: clients.clone(),
        bytes: budget.bytes.clone(),
        pace: error_pacer.clone(),
        answer_limit: answer_limit.clone(),
    }));
    if pg_address.is_none() {
        let listener = match pg_deferred.take().filter(|l| l.has_address(&config.listen)) {
            Some(listener) => listener,
            None => bind_clients(inherited.as_deref(), &config.listen).await?,
        };
        pg_address = listeners.add(listener.into_inner(), PG_CONNECTIONS, &budget, pg_gate);
    }
    log::info!("serving clients at {}", pg_address.ok_or("clients have no address")?);
    if let Some(repeat_ids) = repeat_ids {
        let bookings = Bookings::new(core.clone(), clock, repeat_ids);
        let (class_table, limit) = (class_table_receiver.clone(), answer_limit.clone());
        let front = odata::front::Front::new(
            core,
            bookings,
            class_table,
            clock,
            (budget.clone(), error_pacer),
            limit,
        );
        open_odata.open(Arc::new(front));
        if let Some(listener) = odata_deferred.take() {
            odata_address = listeners.add(listener, ODATA_CONNECTIONS, &budget, odata_gate);
        }
        log::info!("serving OData at {}", odata_address.ok_or("OData has no address")?);
    }
    let _ = phase.send(ProcessPhase::Serving);
    loop {
        tokio::select! {
            _ = usr1.recv() => cli::print_line(format_args!("counters: {}{}", counters::nonzero_line(), meter::counter_fields())),
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    let peer_alive = shared_folder.get().is_some_and(|folder| folder.peer_alive());
    let longest_deadline =
        move || class_table_receiver.borrow().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let final_snapshot = async {
        if let Some(task) = snapshot_at_shutdown {
            task.write().await;
        }
    };
    let shutdown = Shutdown { clock, phase, listeners, clients, answer_limit };
    shutdown.run(peer_alive, operators_file.accept_after_sigterm, longest_deadline, final_snapshot).await;
    cli::print_line(format_args!("counters: {}{}", counters::nonzero_line(), meter::counter_fields()));
    Ok(())
}

/// Prints the DNS-SD records of the OData front in the format of a zone file.
fn print_records() -> Result<(), String> {
    let file = operators::load()?;
    for record in records::front_records(&file.dnssd.instance, &file.dnssd.domain, file.odata.listen)? {
        cli::print_line(format_args!("{}", records::zone_file_line(&record)));
    }
    Ok(())
}

fn check(file: &Path) -> ExitCode {
    match check::file(file) {
        Ok(CheckResult::Valid(what)) => {
            cli::print_line(format_args!("{}: sound: {what}", file.display()));
            ExitCode::SUCCESS
        }
        Ok(CheckResult::Faults(faults)) => {
            faults.iter().for_each(|fault| cli::print_line(format_args!("{}: {fault}", file.display())));
            ExitCode::FAILURE
        }
        Err(message) => {
            cli::print_error_line(format_args!("linentrail: {message}"));
            ExitCode::from(2)
        }
    }
}

fn status(console: Option<&str>) -> ExitCode {
    match console_client::status(console) {
        Ok(status) => {
            status.lines.iter().for_each(|line| cli::print_line(format_args!("{line}")));
            if status.ready {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(message) => {
            cli::print_error_line(format_args!("linentrail: {message}"));
            ExitCode::from(2)
        }
    }
}

fn main() -> ExitCode {
    let began = Instant::now();
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(fault) if fault.use_stderr() => {
            cli::print_error_line(format_args!("linentrail: {}", cli::one_line(&fault)));
            return ExitCode::from(2);
        }
        Err(help) => help.exit(),
    };
    logs::start(arguments.log_format);
    let legacy_command = arguments.dns_sd_records.then_some(Command::Records);
    let result = match arguments.command.or(legacy_command) {
        None | Some(Command::Serve) => {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder
                .enable_all()
                .on_thread_park(|| {
                    stall::thread_parks();
                    work_time::thread_parks();
                })
                .on_thread_unpark(|| {
                    stall::thread_unparked();
                    work_time::thread_unparked();
                })
                .build();
            runtime.map_err(|e| format!("runtime: {e}")).and_then(|r| r.block_on(run(began)))
        }
        Some(Command::Check { file }) => return check(&file),
        Some(Command::Records) => print_records(),
        Some(Command::Status { console }) => return status(console.as_deref()),
        Some(Command::Fleet { call, console, json }) => return fleet::run(&call, console.as_deref(), json),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            cli::print_error_line(format_args!("linentrail: {message}"));
            ExitCode::FAILURE
        }
    }
}
