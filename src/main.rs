//! The real proxy: wiring, start and shutdown.
// These panic where the output cannot be written; `cli::print_line` and `cli::print_error_line` do not.
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
use linentrail::core::{CoreCommand, Handle, Input};
use linentrail::discovery_schedule::{CallSchedule, Delivery};
use linentrail::dnssd::browse::Browser;
use linentrail::dnssd::records;
use linentrail::handover::files::Folder;
use linentrail::handover::shared_folder::SharedFolder;
use linentrail::handover::{self, ControlHandle, Handover};
use linentrail::knowledge::Held;
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
use linentrail::recovery::{self, Gatherer, Start};
use linentrail::reload::{tell_classes, Reload};
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

/// Counts what the program allocates; never in service.
#[cfg(feature = "meter")]
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Messages that may wait for the core.
const MAILBOX: usize = 2048;
/// Calls of the operators that may wait for it.
const ORDERS: usize = 64;
/// Names the descriptor of a listener that the platform holds for this proxy.
const ACCEPT: &str = "BALANCER_ACCEPT_FD";
/// For so many tries, some 5 s, a process waits for the last but one to end.
const SLOT_TRIES: usize = 250;
/// Count clients of each front.
const PG: Count = Count::pg_connections;
const ODATA: Count = Count::odata_connections;

/// Where the processes of this proxy meet, if the platform has what it takes for two of them to serve.
fn meeting_place(name: &str, shares_listener: bool) -> Option<PathBuf> {
    let shared = std::env::var("TMPDIR").ok().filter(|v| shares_listener && !v.is_empty());
    shared.map(|shared| handover::place(&shared, name))
}

/// The folder there; where it cannot be used yet it is joined later.
fn join_folder(place: &Path) -> Result<SharedFolder, String> {
    match Folder::join(place.to_path_buf(), SLOT_TRIES) {
        Ok(Some(folder)) => Ok(SharedFolder::joined(Arc::new(folder))),
        Ok(None) => Err(format!("two processes of this proxy live already, by {}", place.display())),
        Err(e) => {
            log::error!(
                "{}: {e}; nothing is shared with another process of this proxy for now",
                place.display()
            );
            Ok(SharedFolder::expected())
        }
    }
}

/// Listens where clients are told to come, if that can be told before the rest of the configuration is read; what is wrong
/// with it otherwise is said when it is read whole.
async fn listen_early(inherited: Option<&str>) -> Result<Option<ClientListener>, String> {
    match (config::listen_address(), inherited) {
        (Ok(address), _) => bind_clients(inherited, &address).await.map(Some),
        (Err(_), Some(_)) => bind_clients(inherited, "").await.map(Some),
        (Err(_), None) => Ok(None),
    }
}

async fn bind_clients(inherited: Option<&str>, address: &str) -> Result<ClientListener, String> {
    let place = if inherited.is_some() { ACCEPT } else { address };
    ClientListener::bind(inherited, address).await.map_err(|e| format!("{place}: {e}"))
}

async fn bind_odata(odata: &OdataConfig) -> Result<TcpListener, String> {
    let address = odata.listen;
    transient::listen(address).await.map_err(|e| format!("{address}: {e}"))
}

/// No ids of bookings yet. Answers that are remembered share the memory with all else.
fn repeat_ids(odata: &OdataConfig, memory: usize, clock: Clock) -> RepeatIds {
    let limits = LedgerSize { ids: odata.repeat_ids, bytes: odata.repeat_bytes.min(memory / 8) };
    RepeatIds::new(limits, odata.repeat_id_lifetime, clock)
}

/// Does a part of the start that may wait for others; where it can, beside the clients that come meanwhile, on a thread that
/// an ordinary start does not need.
async fn off_thread<T: Send + 'static>(
    waits: bool,
    work: impl FnOnce() -> Result<T, String> + Send + 'static,
) -> Result<T, String> {
    if !waits {
        return work();
    }
    tokio::task::spawn_blocking(work).await.map_err(|e| e.to_string())?
}

async fn run(began: Instant) -> Result<(), String> {
    // Heard from the start: unheard, each of them would end the process, and whoever reads that it serves may send one.
    let hear = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let (hangup, mut usr1) = (hear(SignalKind::hangup())?, hear(SignalKind::user_defined1())?);
    let (mut term, mut int) = (hear(SignalKind::terminate())?, hear(SignalKind::interrupt())?);
    let handed = std::env::var(ACCEPT).ok().filter(|v| !v.is_empty());
    // Before all else, so that whoever connects from now on finds a listener.
    let early = listen_early(handed.as_deref()).await?;
    log::info!("clients can connect {} us after the start", began.elapsed().as_micros());
    let file = operators::load()?;
    let loaded = config::load();
    let (phase, closing) = watch::channel(ProcessPhase::Starting);
    let mut accepting = ClientListeners::new(began, closing.clone());
    let (mut pg_address, mut odata_address) = (None, None);
    let early_budget = loaded.as_ref().ok().map(|(told, ..)| Budget::new(told.sockets, told.memory));
    let odata_listener = match file.odata.enabled {
        true => Some(bind_odata(&file.odata).await?),
        false => None,
    };
    let (open_pg, pg_gate) = startup::gate();
    let (open_odata, odata_gate) = startup::gate();
    // Where another process of this proxy may serve from the same listener, the clients are that one's for now.
    let (mut pg_waits, mut odata_waits) = (early, odata_listener);
    if let (Some(budget), None) = (&early_budget, &handed) {
        if let Some(listener) =
            pg_waits.take_if(|l| loaded.as_ref().is_ok_and(|(told, ..)| l.has_address(&told.listen)))
        {
            pg_address = accepting.add(listener.into_inner(), PG, budget, pg_gate.clone());
        }
        if let Some(listener) = odata_waits.take() {
            odata_address = accepting.add(listener, ODATA, budget, odata_gate.clone());
        }
    }
    let store_file = file.store.clone();
    let start = off_thread(file.store.enabled, move || recovery::start(&store_file, loaded));
    let Start { told, sound, stored, store, memory: votes, own } = start.await?;
    let ValidatedConfig { names, settings, times } = sound;
    let zones = names.zones.clone();
    let mut slots = ClassSlots::default();
    let (class_table, read_under) = watch::channel(slots.replace(names, settings.classes.clone()));
    tell_classes(&slots.current());
    let (memory, idle) = (told.memory >> 20, times.keepalive / 1000);
    log::info!(
        "limits: {} descriptors, {memory} MiB; members close what is idle for {idle} ms",
        told.sockets
    );
    let place = meeting_place(&told.name, handed.is_some());
    let shared_folder = match place.clone() {
        Some(place) => off_thread(true, move || join_folder(&place)).await?,
        None => SharedFolder::default(),
    };
    let clock = Clock::start();
    let budget = early_budget.unwrap_or_else(|| Budget::new(told.sockets, told.memory));
    let (mailbox, inbox) = mpsc::channel(MAILBOX);
    let (orders, ordered) = mpsc::channel(ORDERS);
    let (follow, asked) = mpsc::channel(1);
    let wire = pg::member::PgConnector::new(budget.bytes.clone());
    let fleet = MemberActors::new(mailbox.clone(), follow, budget.clone(), clock, times, wire);
    let (proxies, delivery) = (settings.instances, Delivery::of(&settings));
    let schedule = CallSchedule::new(settings.seed);
    let (seed, zone, first) = (settings.seed, settings.zone, settings.clone());
    let actor = Actor::new(settings, fleet, clock, (inbox, ordered)).map_err(|e| e.to_string())?;

    let mut lists = ListReader::new(zones.clone());
    // Known before the first client comes, and perhaps old.
    let known = lists.read(&recovery::list(&told.initial_list, store.as_ref().map(|s| &s.1)), None);
    let (held, known) = known.map_or_else(Default::default, |(held, _, entries)| (Some(held), entries));
    mailbox.send(Input::List(ListKind::Disk, known)).await.map_err(|e| e.to_string())?;
    tokio::spawn(actor.run());
    let (discovery, service) =
        watch::channel(DiscoveryService { address: told.discovery.clone(), proxies, delivery });
    let mut version = Arc::default();
    if file.dnssd.browse {
        let DnsSdConfig { server, service, .. } = &file.dnssd;
        tokio::spawn(Browser::new(*server, service, lists, mailbox.clone(), clock)?.run(asked));
    } else {
        let discovery = Discovery::new(service, schedule, lists, held, mailbox.clone());
        version = discovery.version.clone();
        tokio::spawn(discovery.run(asked));
    }

    let scribe = store.as_ref().map(|(scribe, ..)| scribe.clone());
    let control = ControlHandle::new(orders, shared_folder.clone()).writing(scribe.clone());
    let (stored, mut held, mut last) = (Arc::new(AtomicBool::new(stored)), None, None);
    if let Some((scribe, found, text)) = store {
        recovery::recall(&file.store, found, &control, clock.now()).await;
        let (holds, settings) = watch::channel(Some(Held { at: clock.now(), text }));
        held = Some(holds);
        let (version, zones) = (version.clone(), zones.clone());
        let gatherer = Gatherer { scribe, control: control.clone(), clock, settings, version, zones };
        let gatherer = Arc::new(gatherer);
        last = Some(gatherer.clone());
        let every = file.store.snapshot_interval;
        tokio::spawn(async move { gatherer.run(every).await });
    }
    let (mut agreed, mut fleet) = (None, None);
    if file.agreement.enabled {
        if file.agreement.on_lease_expiry == OnLeaseExpiry::Refuse {
            // Before the first client comes: without a word of the voters nothing is sent.
            control.send(CoreCommand::ExtendLease(0)).await;
            control.request(|reply| CoreCommand::ApplySettings(Box::new(first), times, reply)).await;
        }
        let keys = file.agreement.read_keys()?;
        let (rules, ruled) = mpsc::channel(1);
        let (own, proposed) = watch::channel(own);
        let dependencies = Dependencies {
            config: file.agreement.clone(),
            keys,
            control: control.clone(),
            core: mailbox.clone(),
            settings_updates: rules,
            store: scribe,
            list_version: version.clone(),
            zones: zones.clone(),
            own_settings: proposed,
            clock,
            seed,
        };
        let (agreement, asked) = AgreementActor::start(dependencies, votes).await?;
        let (calls, called) = mpsc::channel(ORDERS);
        tokio::spawn(agreement.run(called, asked));
        (agreed, fleet) = (Some((ruled, own)), Some(calls));
    }
    let reload = Reload {
        running: told.clone(),
        zone,
        agreed,
        slots,
        class_table,
        discovery,
        control: control.clone(),
        held,
        stored: stored.clone(),
        clock,
    };
    tokio::spawn(reload.run(hangup));
    if let Some(console) = &told.console {
        let listener =
            transient::listen(console.as_str()).await.map_err(|e| format!("console {console}: {e}"))?;
        log::info!("operators call at {}", listener.local_addr().map_err(|e| e.to_string())?);
        tokio::spawn(Console::new(control.clone(), closing.clone(), stored, fleet).run(listener));
    }
    let repeat_ids = file.odata.enabled.then(|| repeat_ids(&file.odata, told.memory, clock));
    match (shared_folder.get(), place) {
        (Some(folder), _) => {
            let folder = folder.clone();
            let mut handover =
                Handover::new(folder, control.clone(), budget.clone(), clock, repeat_ids.clone());
            handover.begin().await;
            tokio::spawn(handover.run());
        }
        (None, Some(place)) => {
            // Another process may live that this one cannot see.
            repeat_ids.iter().for_each(RepeatIds::expect_peer);
            let (shared, control, budget) = (shared_folder.clone(), control.clone(), budget.clone());
            let joined = Handover::join_late(shared, place, control, budget, clock, repeat_ids.clone());
            tokio::spawn(joined);
        }
        (None, None) => {}
    }
    let began = clock.now().saturating_sub(began.elapsed().as_micros() as Time);
    control.request(|reply| CoreCommand::StartServing(began, reply)).await;
    let (core, pace) = (Handle::new(mailbox.clone()), ErrorPacer::default());
    let answer_limit = AnswerLimit::default();
    let clients = budget.clients.clone();
    open_pg.open(Arc::new(pg::front::Front {
        core: core.clone(),
        class_table: read_under.clone(),
        clock,
        clients: clients.clone(),
        bytes: budget.bytes.clone(),
        pace: pace.clone(),
        answer_limit: answer_limit.clone(),
    }));
    if pg_address.is_none() {
        let listener = match pg_waits.take().filter(|l| l.has_address(&told.listen)) {
            Some(listener) => listener,
            None => bind_clients(handed.as_deref(), &told.listen).await?,
        };
        pg_address = accepting.add(listener.into_inner(), PG, &budget, pg_gate);
    }
    log::info!("serving clients at {}", pg_address.ok_or("clients have no address")?);
    if let Some(repeat_ids) = repeat_ids {
        let bookings = Bookings::new(core.clone(), clock, repeat_ids);
        let (class_table, limit) = (read_under.clone(), answer_limit.clone());
        let front =
            odata::front::Front::new(core, bookings, class_table, clock, (budget.clone(), pace), limit);
        open_odata.open(Arc::new(front));
        if let Some(listener) = odata_waits.take() {
            odata_address = accepting.add(listener, ODATA, &budget, odata_gate);
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
        move || read_under.borrow().classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let last_writing = async {
        if let Some(last) = last {
            last.write().await;
        }
    };
    let shutdown = Shutdown { clock, phase, accepting, clients, answer_limit };
    shutdown.run(peer_alive, file.accept_after_sigterm, longest_deadline, last_writing).await;
    cli::print_line(format_args!("counters: {}{}", counters::nonzero_line(), meter::counter_fields()));
    Ok(())
}

/// Prints the records under which the OData front can be found, as a zone file has them.
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
        Ok(told) => {
            told.lines.iter().for_each(|line| cli::print_line(format_args!("{line}")));
            if told.ready {
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
    let former = arguments.dns_sd_records.then_some(Command::Records);
    let result = match arguments.command.or(former) {
        None | Some(Command::Serve) => {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().on_thread_unpark(stall::thread_unparked).build();
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
