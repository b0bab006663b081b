//! The world of a scenario: members, discovery, real proxy processes, and relays wherever the scenario
//! injects faults between them. The world executes the steps of the time line and records them in the event
//! log.

use super::events::{Effect, EventKind, EventLog, KeyScope};
use super::relay::{Fault, Relay};
use super::script::{MemberSetup, Script, Step, StoreDamage, Who};
use crate::group::Group;
use crate::member::{AnswerStatus, Capacity, Member, WhenBehind};
use crate::proxy::{self, signal_all, Proxy, Setup};
use crate::registry::{entry, rewrite_address, Registry};
use crate::shim::Shim;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a proposal is retried after transient failures.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Fragments of the answers that report a transient failure, after which a proposal is retried.
const RETRY_ANSWERS: [&str; 3] = ["no majority", "ask again", "nothing is agreed"];
/// The same, including the answer that another change is in progress.
const RETRY_ANSWERS_IN_TURN: [&str; 4] = ["no majority", "ask again", "nothing is agreed", "is under way"];
/// Time between two attempts of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long proposals and `FLEET` calls are retried while other changes are in progress.
const IN_TURN_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a proposed change may take to come into force before it is proposed again.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between SIGTERM and SIGKILL: the longest deadline of the classes, limited to 3 s, plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Maximum time between two of the signals that follow SIGTERM, in ms.
const SIGNAL_PAUSE_MAX_MS: u64 = 300;
/// The signals that may follow SIGTERM.
const LATE_SIGNALS: [&str; 4] = ["HUP", "USR1", "TERM", "INT"];

/// A proxy, whether it runs or not.
struct ProxyHandle {
    setup: Setup,
    running: Option<Proxy>,
    /// Injects faults into its system calls, if the scenario has any.
    shim: Option<Shim>,
}

/// The world. Clones share the same world.
#[derive(Clone)]
pub struct World(Arc<Inner>);

struct Inner {
    script: Script,
    log: EventLog,
    members: Vec<Member>,
    groups: Vec<Group>,
    registry: Registry,
    /// Relays between proxies and members, by proxy and member.
    links: HashMap<(u32, u32), Relay>,
    /// Relays between proxies and discovery.
    list_links: HashMap<u32, Relay>,
    /// Relays between clients and proxies.
    client_links: HashMap<u32, Relay>,
    /// Relays between two proxies, by sender and receiver.
    peer_links: HashMap<(u32, u32), Relay>,
    /// The most recently proposed settings.
    proposed: Mutex<Value>,
    handles: Vec<Mutex<ProxyHandle>>,
    /// The address of each proxy for clients. It is stored outside the handle, whose lock is held while a
    /// process starts or ends.
    fronts: Vec<SocketAddr>,
    folder: PathBuf,
    /// The processes that a step has stopped, which nothing else may resume.
    stopped: Mutex<BTreeSet<u32>>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.handles
            .iter()
            .for_each(|s| drop(s.lock().unwrap_or_else(PoisonError::into_inner).running.take()));
        self.members.iter().for_each(Member::end);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Draws the addresses at which proxies will listen. A port stays taken until this is dropped: one that was free
/// again could be drawn a second time.
struct AddressPool {
    world: u8,
    taken: Vec<TcpListener>,
}

impl AddressPool {
    fn new(world: u8) -> Self {
        AddressPool { world, taken: Vec::new() }
    }

    /// Draws a loopback address that nothing else uses, derived from the process id and the number of the world, so
    /// that a restarted proxy finds its port free.
    fn draw(&mut self, proxy: u32) -> Result<SocketAddr> {
        let ip = [127, 10 + (std::process::id() % 200) as u8, self.world, 1 + proxy as u8];
        let listener = TcpListener::bind((Ipv4Addr::from(ip), 0))?;
        let address = listener.local_addr()?;
        self.taken.push(listener);
        Ok(address)
    }
}

/// The loopback address on which only the members of a world listen, so that nothing else takes the port of a
/// member that is down.
fn members_ip(world: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 210 + (std::process::id() % 40) as u8, world, 1)
}

/// The number of the next world. Numbers are reused only long after the earlier world has ended.
static NEXT_WORLD: AtomicU8 = AtomicU8::new(0);

/// The numbers out of `1..=all` that are selected by the steps for which `pick` returns a selection.
fn selected(script: &Script, all: u32, pick: impl Fn(&Step) -> Option<&Who>) -> Vec<u32> {
    let who = script.steps.iter().filter_map(|(_, step)| pick(step));
    let mut all: Vec<u32> = who.flat_map(|w| w.of(all, script.seed)).collect();
    all.sort_unstable();
    all.dedup();
    all
}

fn settings(script: &Script) -> Value {
    let mut settings = proxy::settings();
    settings["discovery"] = "subscribe".into();
    settings["instances"] = script.announced_proxies.into();
    settings["services"] = proxy::classes(1);
    for (n, effect) in script.effects.iter().enumerate() {
        set_effect(&mut settings["services"][n], *effect);
    }
    let family = &mut settings["family_info"];
    let positions = script.member_setup.positions;
    let (when_behind, wait) = match positions.when_behind {
        WhenBehind::Answers => ("off", Duration::ZERO),
        WhenBehind::Refuses => ("refuse", Duration::ZERO),
        WhenBehind::Waits(wait) => ("wait", wait),
    };
    family["when_behind"] = when_behind.into();
    family["catch_up_wait_us"] = (wait.as_micros() as u64).into();
    family["tells_position"] = (positions.answer_status == AnswerStatus::All).into();
    family["session_marks"] = if script.sessions_carried { "carried" } else { "remembered" }.into();
    settings["rules"]["fall_multiple"] = script.fall_multiple.into();
    settings["rules"]["fall_us"] = (script.fall_window.as_micros() as u64).into();
    settings["client_habits"] = serde_json::json!({"marks_retry": script.retry_habits.marked});
    if let Some((share, warm)) = script.member_setup.cold {
        settings["rules"]["cold_share"] = share.into();
        settings["rules"]["warm_after_us"] = (warm.as_micros() as u64).into();
    }
    settings
}

/// Sets the effect of repeats in the settings of a class.
fn set_effect(class: &mut Value, effect: Effect) {
    class["idempotency"] = match effect {
        Effect::Safe => "read_like",
        Effect::Unsafe => "non_idempotent",
        Effect::Keyed { .. } => "idempotency_key",
    }
    .into();
    if let Effect::Keyed { scope, window } = effect {
        class["group"] = match scope {
            KeyScope::All => "all",
            KeyScope::Zone => "zone",
            KeyScope::Cell => "cell",
        }
        .into();
        class["window_us"] = window.into();
    }
}

impl World {
    /// Starts the members, discovery, the relays and then the proxies, which run `program`. `adjust_setup`
    /// adjusts the setup of each proxy.
    ///
    /// # Errors
    /// If a process does not start.
    pub fn start(
        script: &Script,
        program: &Path,
        log: EventLog,
        adjust_setup: impl Fn(&mut Setup, u32, &Path),
    ) -> Result<Self> {
        let world = NEXT_WORLD.fetch_add(1, Ordering::Relaxed);
        let member_setup = script.member_setup;
        let groups: Vec<Group> = (0..member_setup.groups).map(|_| Group::default()).collect();
        let capacity = Capacity {
            slots: member_setup.slots,
            queue: member_setup.queue,
            service_time: member_setup.work,
            write_work: member_setup.write_work,
            cold: member_setup.cold,
            handshake: member_setup.handshake,
            max_connections: member_setup.max_connections,
        };
        let lag = member_setup.lag.as_millis() as u64;
        let member = |n: u32| {
            let group = &groups[(n % member_setup.groups) as usize];
            let started = Member::start_at(
                members_ip(world),
                group,
                n < member_setup.groups,
                lag,
                capacity,
                Some((n + 1, log.clone())),
            );
            started.set_position_policy(member_setup.positions);
            started
        };
        let members: Vec<Member> = (0..member_setup.members + member_setup.spare).map(member).collect();
        let listed = members.iter().enumerate().take(member_setup.members as usize);
        let list: Vec<Value> = listed.map(|(n, m)| list_entry(n, m, member_setup.groups)).collect();
        let registry = Registry::with_rate(script.list_capacity.0, script.list_capacity.1);
        registry.set_list(list.clone().into());
        let folder = std::env::temp_dir().join(format!("linentrail-rig-{}-{world}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut links = HashMap::new();
        for (_, step) in &script.steps {
            if let Step::Link(proxies, members_of, _) = step {
                for p in proxies.of(script.proxies, script.seed) {
                    for m in members_of.of(member_setup.members, script.seed) {
                        let to = members[m as usize - 1].address();
                        let seed = script.seed ^ u64::from(p) << 32 ^ u64::from(m);
                        links.entry((p, m)).or_insert_with(|| Relay::tcp(to, seed));
                    }
                }
            }
        }
        let list_relayed = selected(script, script.proxies, |s| match s {
            Step::ListLink(who, _) => Some(who),
            _ => None,
        });
        let clients_relayed = selected(script, script.proxies, |s| match s {
            Step::ClientLink(who, _) => Some(who),
            _ => None,
        });
        let (mut list_links, mut client_links) = (HashMap::new(), HashMap::new());
        let (mut handles, mut fronts) = (Vec::new(), Vec::new());
        let mut addresses = AddressPool::new(world);
        let peer_links = start_peer_links(script, &mut addresses)?;
        for n in 1..=script.proxies {
            let relayed = |m: &u32| {
                let real = members[*m as usize - 1].address().to_string();
                links.get(&(n, *m)).map(|relay: &Relay| (real, relay.address().to_string()))
            };
            let relayed: HashMap<String, String> =
                (1..=member_setup.members).collect::<Vec<_>>().iter().filter_map(relayed).collect();
            let mut configured_list = list.clone();
            for entry in &mut configured_list {
                rewrite_address(entry, &relayed);
            }
            let mut list_address =
                registry.listen_for_proxy(n, log.clone(), relayed, list_relayed.contains(&n));
            if list_relayed.contains(&n) {
                let relay = Relay::tcp(list_address, script.seed ^ u64::from(n));
                list_address = relay.address();
                list_links.insert(n, relay);
            }
            let listen = addresses.draw(n)?;
            let mut front = listen;
            if clients_relayed.contains(&n) {
                let relay = Relay::tcp(listen, script.seed ^ u64::from(n) << 16);
                front = relay.address();
                client_links.insert(n, relay);
            }
            let configured_list = if script.list_configured { configured_list } else { Vec::new() };
            let mut config = proxy::config(
                &list_address.to_string(),
                &configured_list,
                settings(script),
                script.sockets,
                192,
            );
            config["name"] = format!("p{n}").into();
            config["listen"] = listen.to_string().into();
            config["console"] = "127.0.0.1:0".into();
            config["seed"] = format!("{:x}", script.seed.wrapping_mul(1_000_003) + u64::from(n)).into();
            if !script.list_configured {
                config["known"] = Value::Null;
            }
            let accept_after_term = Some(Duration::from_millis(550));
            let mut setup = Setup { program: program.into(), config, accept_after_term, ..Setup::default() };
            if let Some(every) = script.store {
                setup.operators = store(&folder, every);
            }
            if script.voters > 0 {
                std::fs::write(folder.join("key"), "a key that all of the fleet have")?;
                setup.operators += &agreement(script, n, &folder, &peer_links);
                setup.rules = Some((n, log.clone()));
                setup.log = Some("info,rules=debug".into());
            }
            let shim = needs_shim(script).then(|| shim(script, n, &folder)).transpose()?;
            setup.environment.extend(shim.iter().flat_map(Shim::environment));
            adjust_setup(&mut setup, n, &folder);
            fronts.push(front);
            handles.push(Mutex::new(ProxyHandle { setup, running: None, shim }));
        }
        drop(addresses);
        match member_setup.warm_at_start {
            true => members.iter().for_each(Member::set_warm),
            false => members.iter().for_each(Member::log_cold_start),
        }
        let proposed = Mutex::new(settings(script));
        let script = script.clone();
        let inner = Inner {
            script,
            log,
            members,
            groups,
            registry,
            links,
            list_links,
            client_links,
            peer_links: peer_links.relays,
            proposed,
            handles,
            fronts,
            folder,
            stopped: Mutex::default(),
        };
        let world = World(Arc::new(inner));
        world.start_all(&(1..=world.0.script.proxies).collect::<Vec<_>>(), Duration::ZERO)?;
        Ok(world)
    }

    fn handle(&self, n: u32) -> MutexGuard<'_, ProxyHandle> {
        self.0.handles[n as usize - 1].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of a proxy for clients.
    pub fn front(&self, n: u32) -> SocketAddr {
        self.0.fronts[n as usize - 1]
    }

    /// A group, by its number from 1.
    pub fn group(&self, n: u32) -> &Group {
        &self.0.groups[n as usize - 1]
    }

    /// The scenario.
    pub fn script(&self) -> &Script {
        &self.0.script
    }

    /// The event log.
    pub fn log(&self) -> &EventLog {
        &self.0.log
    }

    /// Starts those of the proxies that are down, each at a random time within the span, and waits until they
    /// serve.
    fn start_all(&self, which: &[u32], span: Duration) -> Result<()> {
        let one = |n: u32| -> Result<()> {
            std::thread::sleep(self.delay_within(n, span));
            let mut handle = self.handle(n);
            if handle.running.is_none() {
                let spawned = || {
                    let _ = self.0.log.record(EventKind::Exec { proxy: n });
                };
                handle.running = Some(Proxy::start_with_hook(&handle.setup, spawned)?);
                self.0.log.record(EventKind::Serves { proxy: n });
            }
            Ok(())
        };
        std::thread::scope(|scope| {
            let started: Vec<_> = which.iter().map(|n| scope.spawn(|| one(*n))).collect();
            started.into_iter().try_for_each(|t| {
                t.join().unwrap_or_else(|_| Err(Error::other("a thread of the rig panicked")))
            })
        })
    }

    /// A random time within a span for one proxy, derived from the seed.
    fn delay_within(&self, n: u32, span: Duration) -> Duration {
        span.mul_f64(fastrand::Rng::with_seed(self.0.script.seed ^ u64::from(n) << 8).f64())
    }

    fn proxies(&self, who: &Who) -> Vec<u32> {
        who.of(self.0.script.proxies, self.0.script.seed)
    }

    fn members(&self, who: &Who) -> Vec<u32> {
        who.of(self.0.script.member_setup.members, self.0.script.seed)
    }

    /// The selected proxies that run, with their process ids.
    fn ids(&self, who: &Who) -> Vec<(u32, u32)> {
        let id = |n: u32| self.handle(n).running.as_ref().map(|p| (n, p.id()));
        self.proxies(who).into_iter().filter_map(id).collect()
    }

    /// Sends a signal to each process at a random time within the span, or to all at once if the span is
    /// zero. Processes that another fault has ended meanwhile are skipped.
    fn signal(&self, processes: &[(u32, u32)], which: &str, span: Duration) {
        if span.is_zero() {
            let _ = signal_all(&processes.iter().map(|(_, id)| *id).collect::<Vec<_>>(), which);
            return;
        }
        std::thread::scope(|scope| {
            for (n, id) in processes {
                scope.spawn(move || {
                    std::thread::sleep(self.delay_within(*n, span));
                    let _ = signal_all(&[*id], which);
                });
            }
        });
    }

    /// The proxies whose process ended although no step of the scenario ended it.
    pub fn crashed(&self) -> Vec<u32> {
        let ended = |n: &u32| self.handle(*n).running.as_mut().is_some_and(Proxy::ended);
        (1..=self.0.script.proxies).filter(ended).collect()
    }

    /// Makes a proxy propose the most recently proposed settings with a new value at one JSON pointer, as an
    /// operator would. The call is retried while its answer contains one of `retry_answers`, until `timeout`
    /// has passed. Returns `None` if the proxy does not run.
    fn propose(
        &self,
        proposed: &mut Value,
        who: u32,
        (pointer, value): (&str, &str),
        retry_answers: &[&str],
        timeout: Duration,
    ) -> Result<Option<String>> {
        let bad = |e: serde_json::Error| Error::other(format!("{value}: {e}"));
        let missing = || Error::other(format!("the settings have no '{pointer}'"));
        *proposed.pointer_mut(pointer).ok_or_else(missing)? = serde_json::from_str(value).map_err(bad)?;
        let path = self.0.folder.join(format!("proposed-{who}.json"));
        std::fs::write(&path, proposed.to_string())?;
        let call = format!("FLEET PROPOSE {} rig", path.display());
        if self.handle(who).running.is_none() {
            return Ok(None);
        }
        let answer = call_with_retries(retry_answers, timeout, || self.call(who, &call).unwrap_or_default());
        self.0.log.record(EventKind::Fault(format!("p{who} answers {}", answer.trim())));
        Ok(Some(answer))
    }

    /// Waits until all proxies report this version as the only one of its kind that they apply, and returns
    /// whether that happened in time. A change never comes into force if its proposer gives up after a lost
    /// ballot.
    fn wait_until_in_force(&self, kind: &str, version: &str) -> bool {
        let began = Instant::now();
        while self.0.log.proxies_applying_only(kind, version) < self.0.handles.len() {
            if began.elapsed() > IN_FORCE_TIMEOUT {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// The proxies whose process a step starts or ends, or whose folder it changes.
    pub fn processes_changed_by(&self, step: &Step) -> Vec<u32> {
        match step {
            Step::Kill(who, _) | Step::Term(who, _) | Step::End(who, _) | Step::Start(who, _) => {
                self.proxies(who)
            }
            Step::Harm(who, _) => self.proxies(who),
            _ => Vec::new(),
        }
    }

    /// The ids of the processes that run now, by proxy. Processes that are being started or ended are left
    /// out.
    pub fn process_ids(&self) -> Vec<(u32, u32)> {
        let handles = (1..).zip(&self.0.handles);
        handles.filter_map(|(n, handle)| Some((n, handle.try_lock().ok()?.running.as_ref()?.id()))).collect()
    }

    /// The processes that a step has stopped.
    pub fn stopped(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.0.stopped.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_down(&self, processes: &[(u32, u32)], stopped: bool) {
        for (proxy, _) in processes {
            self.0.log.record(EventKind::Down { proxy: *proxy, stopped });
        }
    }

    /// Sends SIGTERM and several more signals to the processes, kills each at the earliest time that the
    /// platform allows, and starts it again.
    fn terminate_and_restart(&self, who: &Who, span: Duration) -> Result<()> {
        let one = |n: u32| -> Result<()> {
            std::thread::sleep(self.delay_within(n, span));
            let mut handle = self.handle(n);
            let Some(mut proxy) = handle.running.take() else { return Ok(()) };
            let mut rng = fastrand::Rng::with_seed(self.0.script.seed ^ u64::from(n) << 30);
            self.0.log.record(EventKind::Ending { proxy: n });
            let signalled = Instant::now();
            proxy.signal("TERM")?;
            while signalled.elapsed() < KILL_DELAY && !proxy.ended() {
                std::thread::sleep(Duration::from_millis(rng.u64(10..SIGNAL_PAUSE_MAX_MS)));
                // Fails if the process has ended, which does not matter here.
                let _ = proxy.signal(LATE_SIGNALS[rng.usize(0..LATE_SIGNALS.len())]);
            }
            self.0.log.record(EventKind::Down { proxy: n, stopped: false });
            drop(proxy);
            drop(handle);
            self.start_all(&[n], Duration::ZERO)
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                self.proxies(who).into_iter().map(|n| scope.spawn(move || one(n))).collect();
            threads.into_iter().try_for_each(|t| {
                t.join().unwrap_or_else(|_| Err(Error::other("a thread of the rig panicked")))
            })
        })
    }

    /// Executes a step; may block for as long as the step's span.
    ///
    /// # Errors
    /// If the step fails. The run then has no verdict.
    pub fn step(&self, step: &Step) -> Result<()> {
        self.0.log.record(EventKind::Fault(format!("{step:?}")));
        match step {
            Step::Kill(who, span) | Step::Term(who, span) => {
                let ids = self.ids(who);
                self.record_down(&ids, false);
                self.signal(&ids, if matches!(step, Step::Kill(..)) { "KILL" } else { "TERM" }, *span);
                // Waits for the end of each process, so that no new one starts earlier. A process that was
                // started meanwhile has another id and is not waited for.
                for (n, id) in &ids {
                    let mut handle = self.handle(*n);
                    handle
                        .running
                        .take_if(|proxy| proxy.id() == *id)
                        .map(|mut proxy| proxy.wait())
                        .transpose()?;
                }
            }
            Step::End(who, span) => self.terminate_and_restart(who, *span)?,
            Step::Start(who, span) => self.start_all(&self.proxies(who), *span)?,
            Step::Stop(who, span) => {
                let ids = self.ids(who);
                self.record_down(&ids, true);
                self.stopped().extend(ids.iter().map(|(_, id)| id));
                self.signal(&ids, "STOP", Duration::ZERO);
                std::thread::sleep(*span);
                self.stopped().retain(|id| ids.iter().all(|(_, resumed)| resumed != id));
                self.signal(&ids, "CONT", Duration::ZERO);
                for (proxy, _) in ids {
                    self.0.log.record(EventKind::Resumed { proxy });
                }
            }
            Step::Hup(who, span) => self.signal(&self.ids(who), "HUP", *span),
            Step::Harm(who, harm) => {
                for n in self.proxies(who) {
                    super::harm::damage_store(&self.0.folder.join(format!("linentrail-p{n}")), *harm)?;
                    if matches!(harm, StoreDamage::Wiped) {
                        self.0.log.record(EventKind::Wiped { proxy: n });
                    }
                }
            }
            Step::Console(who, call) => self.console(who, call),
            Step::Link(who, members, fault) => self.link(who, members, *fault),
            Step::ListLink(who, fault) => {
                let relays = self.proxies(who).into_iter().filter_map(|n| self.0.list_links.get(&n));
                relays.for_each(|relay| relay.set_fault(*fault));
            }
            Step::ClientLink(who, fault) => {
                let relays = self.proxies(who).into_iter().filter_map(|n| self.0.client_links.get(&n));
                relays.for_each(|relay| relay.set_fault(*fault));
            }
            Step::Speak(who, to, fault) => {
                let to = self.proxies(to);
                for pair in self.proxies(who).into_iter().flat_map(|p| to.iter().map(move |q| (p, *q))) {
                    self.0.peer_links.get(&pair).iter().for_each(|relay| relay.set_fault(*fault));
                }
            }
            Step::Propose(who, pointer, value) => {
                let mut proposed = self.0.proposed.lock().unwrap_or_else(PoisonError::into_inner);
                self.propose(&mut proposed, *who, (pointer, value), &RETRY_ANSWERS, PROPOSE_TIMEOUT)?;
            }
            Step::ProposeInTurn(who, pointer, value) => {
                // The lock is held until the change has completed, so that the next change waits for it.
                let mut proposed = self.0.proposed.lock().unwrap_or_else(PoisonError::into_inner);
                let (began, mut in_force) = (Instant::now(), false);
                while !in_force && began.elapsed() < IN_TURN_TIMEOUT {
                    let answer = self.propose(
                        &mut proposed,
                        *who,
                        (pointer, value),
                        &RETRY_ANSWERS_IN_TURN,
                        IN_TURN_TIMEOUT,
                    )?;
                    let version = answer.as_deref().and_then(version_proposed);
                    in_force = version.is_some_and(|version| self.wait_until_in_force("settings", version));
                }
            }
            Step::Does(who, behaviour) => {
                self.members(who)
                    .into_iter()
                    .for_each(|m| self.0.members[m as usize - 1].set_behaviour(*behaviour));
            }
            Step::Primary(m) => self.primary(*m),
            Step::MemberDown(who) => {
                self.members(who).into_iter().for_each(|m| self.0.members[m as usize - 1].set_up(false));
            }
            Step::MemberUp(who) => {
                for m in self.members(who) {
                    self.0.members[m as usize - 1].set_up(true);
                    self.0.registry.set_started_now(m as usize - 1);
                }
            }
            Step::CallsFail(who, on) => self.shims(who, |shim| shim.set_call_faults(*on))?,
            Step::ClockStep(who, us) => self.shims(who, |shim| shim.set_clock_step(*us))?,
            Step::Disk(who, error) => self.shims(who, |shim| shim.set_disk_error(*error))?,
            Step::WholeList => self.0.registry.send_whole_list(),
            Step::Replace(percent) => self.replace(*percent),
            Step::Ill(ill) => self.0.registry.set_behaviour(*ill),
            Step::Lists(m, state) => self.0.registry.set_lifecycle(*m as usize - 1, state),
        }
        Ok(())
    }

    fn shims(&self, who: &Who, change: impl Fn(&Shim) -> Result<()>) -> Result<()> {
        self.proxies(who).into_iter().try_for_each(|n| self.handle(n).shim.as_ref().map_or(Ok(()), &change))
    }

    fn link(&self, who: &Who, members: &Who, fault: Fault) {
        let members = self.members(members);
        for p in self.proxies(who) {
            for (member, relay) in members.iter().filter_map(|m| Some((*m, self.0.links.get(&(p, *m))?))) {
                self.0.log.record(EventKind::Link { proxy: p, member, well: fault == Fault::default() });
                relay.set_fault(fault);
            }
        }
    }

    /// Replaces this percentage of the members by spare ones, primaries excepted.
    fn replace(&self, percent: u32) {
        let MemberSetup { members, spare, groups, .. } = self.0.script.member_setup;
        let mut leaving: Vec<usize> = (groups as usize..members as usize).collect();
        fastrand::Rng::with_seed(self.0.script.seed).shuffle(&mut leaving);
        leaving.truncate((members * percent / 100).min(spare) as usize);
        let newcomers = (members as usize..).take(leaving.len()).map(|n| {
            let mut entry = list_entry(n, &self.0.members[n], groups);
            entry["startedAtMs"] = crate::now_ms().into();
            entry
        });
        self.0.registry.replace_members(&leaving, newcomers.collect());
    }

    /// Makes a member the primary of its group and all other members of the group replicas.
    fn primary(&self, new: u32) {
        let (member_setup, lag) =
            (self.0.script.member_setup, self.0.script.member_setup.lag.as_millis() as u64);
        for (n, member) in self.0.members.iter().enumerate() {
            let same = n as u32 % member_setup.groups == (new - 1) % member_setup.groups;
            if same && n as u32 + 1 != new {
                member.set_role(false, lag);
            }
        }
        self.0.members[new as usize - 1].set_role(true, 0);
    }

    fn console(&self, who: &Who, call: &str) {
        let id = |word: &str| match word.strip_prefix('m').and_then(|n| n.parse::<u32>().ok()) {
            Some(n) => format!("s-{:08x}", n - 1),
            None => word.to_string(),
        };
        let words: Vec<String> = call.split(' ').map(id).collect();
        let line = format!("{}\n", words.join(" "));
        let member = call.rsplit_once(" m").and_then(|(_, m)| m.parse().ok());
        let (out, restores) = (call.starts_with("SUSPEND"), call.starts_with("RESTORE"));
        let retry_answers: &[&str] = if call.starts_with("FLEET") { &RETRY_ANSWERS_IN_TURN } else { &[] };
        for n in self.proxies(who) {
            // The lock is held until the result is recorded, so that the log has two calls in the order in
            // which the process handled them.
            let handle = self.handle(n);
            let Some(proxy) = handle.running.as_ref() else { continue };
            // The proxy may use the member again before its answer arrives.
            if let Some(member) = member.filter(|_| restores) {
                self.0.log.record(EventKind::Hand { proxy: n, member, out: false });
            }
            let answer = call_with_retries(retry_answers, IN_TURN_TIMEOUT, || {
                proxy.call_console(&line).map_or_else(|e| e.to_string(), |answer| answer.0)
            });
            match member.filter(|_| answer.starts_with("200") && out) {
                Some(member) => self.0.log.record(EventKind::Hand { proxy: n, member, out }),
                None => self.0.log.record(EventKind::Fault(format!("p{n} answers {}", answer.trim()))),
            };
            drop(handle);
            if let Some(version) = version_proposed(&answer) {
                self.wait_until_in_force("hands", version);
            }
        }
    }

    /// The answer of a running proxy to a console call, or the error if there is none, for instance from a
    /// stopped process.
    fn call(&self, n: u32, call: &str) -> Option<String> {
        let handle = self.handle(n);
        let answer = handle.running.as_ref()?.call_console(&format!("{call}\n"));
        Some(answer.map_or_else(|e| e.to_string(), |answer| answer.0))
    }

    /// The counters of each running proxy, by its number.
    pub fn counters(&self) -> BTreeMap<u32, BTreeMap<String, u64>> {
        let counters_of = |n| Some((n, self.handle(n).running.as_ref()?.counters().ok()?));
        (1..=self.0.script.proxies).filter_map(counters_of).collect()
    }
}

/// The version in an answer that accepts a proposal, such as `200 settings: version 2 (hash) is proposed`.
fn version_proposed(answer: &str) -> Option<&str> {
    answer.split(['(', ')']).nth(1).filter(|_| answer.starts_with("200") && answer.contains("is proposed"))
}

/// Makes a call and retries it while its answer contains one of `retry_answers`, as an operator would.
/// Returns the last answer.
fn call_with_retries(retry_answers: &[&str], timeout: Duration, call: impl Fn() -> String) -> String {
    let began = Instant::now();
    loop {
        let answer = call();
        if !retry_answers.iter().any(|words| answer.contains(words)) || began.elapsed() > timeout {
            return answer;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Whether the scenario injects faults into system calls.
fn needs_shim(script: &Script) -> bool {
    let steps = |step: &Step| matches!(step, Step::CallsFail(..) | Step::ClockStep(..) | Step::Disk(..));
    !script.calls.is_empty() || script.steps.iter().any(|(_, step)| steps(step))
}

fn shim(script: &Script, proxy: u32, folder: &Path) -> Result<Shim> {
    let own = folder.join(format!("shim-p{proxy}"));
    std::fs::create_dir_all(&own)?;
    let store = folder.join(format!("linentrail-p{proxy}"));
    Shim::new(&own, &store, script.seed.wrapping_mul(1_000) + u64::from(proxy), &script.calls)
}

/// The block of the operators' file that enables the store of a proxy.
fn store(folder: &Path, every: Duration) -> String {
    let (folder, every) = (folder.display(), every.as_millis());
    format!("store {{\n enabled = true\n folder = \"{folder}\"\n every_ms = {every}\n}}\n")
}

/// The addresses at which proxies exchange agreement messages, and the relays between them.
struct PeerLinks {
    /// The address on which each proxy listens for the others.
    listen: Vec<SocketAddr>,
    /// The relays by sender and receiver, if the scenario injects faults between proxies.
    relays: HashMap<(u32, u32), Relay>,
}

fn start_peer_links(script: &Script, addresses: &mut AddressPool) -> Result<PeerLinks> {
    let mut links = PeerLinks { listen: Vec::new(), relays: HashMap::new() };
    if script.voters == 0 {
        return Ok(links);
    }
    for n in 1..=script.proxies {
        links.listen.push(addresses.draw(n)?);
    }
    let has_faults = script.steps.iter().any(|(_, step)| matches!(step, Step::Speak(..)));
    for (from, to) in (1..=script.proxies).flat_map(|p| (1..=script.proxies).map(move |q| (p, q))) {
        if has_faults && from != to {
            let seed = script.seed ^ u64::from(from) << 40 ^ u64::from(to) << 20;
            links.relays.insert((from, to), Relay::both(links.listen[to as usize - 1], seed));
        }
    }
    Ok(links)
}

/// The block of the operators' file that enables the agreement with the other proxies.
fn agreement(script: &Script, me: u32, folder: &Path, peer_links: &PeerLinks) -> String {
    let at = |n: u32| match peer_links.relays.get(&(me, n)) {
        Some(relay) => relay.address(),
        None => peer_links.listen[n as usize - 1],
    };
    let proxies: Vec<String> = (1..=script.proxies).map(|n| format!("\"{n} {}\"", at(n))).collect();
    let voters: Vec<String> = (1..=script.voters).map(|n| n.to_string()).collect();
    format!(
        "agreement {{\n enabled = true\n me = {me}\n proxies = [{}]\n voters = [{}]\n keys = [\"1 {}\"]\n \
         lists = true\n}}\n",
        proxies.join(", "),
        voters.join(", "),
        folder.join("key").display()
    )
}

/// The entry of a member in the member list.
fn list_entry(n: usize, member: &Member, groups: u32) -> Value {
    let mut entry = entry(n, member.address());
    entry["cell"] = (n as u32 % groups + 1).into();
    entry
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a proxy that finds its port taken, as it was drawn for two of its own listeners.
    #[test]
    fn no_address_is_drawn_twice() {
        const DRAWS: usize = 600;
        let mut addresses = AddressPool::new(u8::MAX);
        let drawn: std::collections::HashSet<SocketAddr> =
            (0..DRAWS).map(|_| addresses.draw(1).expect("a free port")).collect();
        assert_eq!(drawn.len(), DRAWS);
    }
}
