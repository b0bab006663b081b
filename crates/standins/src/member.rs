//! A member of a group: a primary or a replica with a lag, with service times, a limited number of slots, a
//! queue, a cold start, and the faults that the proxy must tolerate, each selected by name.

use crate::group::Group;
use crate::rig::events::{EventKind, EventLog};
use crate::{listener_at, now_ms, runtime, wire};
use bytes::Bytes;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::AbortHandle;

/// Position of an unexpected error in an otherwise complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorPlace {
    /// After RowDescription, instead of the rest.
    AfterDescription,
    /// After the row, instead of CommandComplete.
    AfterRow,
    /// After CommandComplete.
    AfterCompletion,
    /// As a complete answer immediately before the real one.
    BeforeAnswer,
    /// As a complete answer immediately after the real one.
    BehindAnswer,
}

/// How a member handles statements. The variants are named after the words of scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Runs and answers them.
    #[default]
    Answer,
    /// Runs them; the answer to an empty query and that to a statement received behind it leave in one write.
    Together,
    /// Runs them and answers after this delay, which may be shorter than a timer's least.
    Delayed(Duration),
    /// Runs them, but withholds the answers until the behaviour changes.
    Hold,
    /// Leaves the startup of new connections unanswered until the behaviour changes.
    Shut,
    /// Runs them and resets the connection.
    Reset,
    /// Resets the connections whose answers were withheld until now; answers new statements.
    ResetHeld,
    /// Runs them and closes the connection in the middle of the answer.
    Half,
    /// Runs them and resets the connection after this many bytes of the answer, if it is longer.
    Broken(usize),
    /// Runs them, sends this many bytes of the answer, and withholds the rest until the behaviour changes.
    Paused(usize),
    /// Runs them and sends the answers in pieces of this many bytes, with this pause after each.
    Trickled(usize, Duration),
    /// Runs them and sends the first bytes of the answers in pieces of this many bytes, the rest at once.
    PiecedHead(usize),
    /// Refuses them with 53300, without running them.
    Full,
    /// As `Full`, but omits ReadyForQuery.
    Unready,
    /// As `Full`, followed by 40 bytes that are no message.
    Noisy,
    /// Fails them with XX000.
    Error,
    /// Refuses them with 72000, as a replica that lags too far.
    Miss,
    /// Sends a second copy immediately after the answer.
    Twice,
    /// Sends a second copy of the answer after this delay, before reading the next statement.
    Behind(Duration),
    /// Sends the first 20 bytes of the answer and nothing more.
    Stall,
    /// Sends the row before its RowDescription.
    Swapped,
    /// Answers probes with a report that cannot be true.
    Boast,
    /// Runs them; the answers contain neither role nor position, but the reports to probes do.
    Mute,
    /// Runs them; the answers contain the role, but no position.
    Unplaced,
    /// Runs them and puts an error with this SQLSTATE into the answer.
    Marred(ErrorPlace, [u8; 5]),
    /// As `Full`, and sends a second copy of the refusal after this delay, before reading the next statement.
    FullBehind(Duration),
}

impl FromStr for Behaviour {
    type Err = String;

    /// Parses the word of a scenario: `answer`, `hold` and so on. `after` sends a copy 30 ms later, `behind
    /// US` one after that many microseconds, `broken N` resets after N bytes, `marred PLACE CODE` puts an
    /// error into the answer.
    fn from_str(text: &str) -> Result<Self, String> {
        let (word, number) = text.split_once(' ').unwrap_or((text, ""));
        let digits = |what| number.parse::<u64>().map_err(|_| format!("{text}: expected a number of {what}"));
        Ok(match word {
            "answer" => Behaviour::Answer,
            "together" => Behaviour::Together,
            "delayed" => Behaviour::Delayed(Duration::from_micros(digits("us")?)),
            "hold" => Behaviour::Hold,
            "shut" => Behaviour::Shut,
            "reset" => Behaviour::Reset,
            "reset-held" => Behaviour::ResetHeld,
            "half" => Behaviour::Half,
            "broken" => Behaviour::Broken(digits("bytes")? as usize),
            "paused" => Behaviour::Paused(digits("bytes")? as usize),
            "full" => Behaviour::Full,
            "unready" => Behaviour::Unready,
            "noisy" => Behaviour::Noisy,
            "error" => Behaviour::Error,
            "miss" => Behaviour::Miss,
            "twice" => Behaviour::Twice,
            "after" => Behaviour::Behind(Duration::from_millis(30)),
            "behind" => Behaviour::Behind(Duration::from_micros(digits("us")?)),
            "stall" => Behaviour::Stall,
            "swapped" => Behaviour::Swapped,
            "boast" => Behaviour::Boast,
            "mute" => Behaviour::Mute,
            "unplaced" => Behaviour::Unplaced,
            "marred" => Behaviour::marred(number)?,
            "full-behind" => Behaviour::FullBehind(Duration::from_micros(digits("us")?)),
            _ => return Err(format!("unknown behaviour of a member '{text}'")),
        })
    }
}

impl Behaviour {
    /// Parses `PLACE CODE`.
    fn marred(text: &str) -> Result<Self, String> {
        let unknown = || format!("expected PLACE CODE for an error in an answer, got '{text}'");
        let (place, code) = text.split_once(' ').ok_or_else(unknown)?;
        let place = match place {
            "after-description" => ErrorPlace::AfterDescription,
            "after-row" => ErrorPlace::AfterRow,
            "after-completion" => ErrorPlace::AfterCompletion,
            "before" => ErrorPlace::BeforeAnswer,
            "behind" => ErrorPlace::BehindAnswer,
            _ => return Err(unknown()),
        };
        let code = code.as_bytes().try_into().map_err(|_| unknown())?;
        Ok(Behaviour::Marred(place, code))
    }
}

/// What a member does with a read that requires a later position than it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WhenBehind {
    /// Answers from the data that it has.
    Answers,
    /// Refuses the read.
    #[default]
    Refuses,
    /// Waits until it has caught up, at most this long, and refuses the read then.
    Waits(Duration),
}

/// What a member's answers to requests say about its state. Its reports to probes always say everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerStatus {
    /// The role, and the position of a read or the commit of a write.
    #[default]
    All,
    /// The role, and the commit of a write.
    RoleAndCommit,
    /// The role.
    RoleOnly,
    /// Nothing.
    Nothing,
}

/// How a member handles positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PositionPolicy {
    /// What it does with a read that requires a later position than it has.
    pub when_behind: WhenBehind,
    /// What its answers say about its state.
    pub answer_status: AnswerStatus,
}

/// How much work a member can handle.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests processed at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are refused.
    pub queue: usize,
    /// Shortest and longest service time; a hash of the request's id picks a value uniformly in between.
    pub service_time: (Duration, Duration),
    /// Service time of a write, as a multiple of that of a read.
    pub write_work: f64,
    /// Share of its capacity right after a start, and the time until it reaches full capacity; `None` if it
    /// starts warm.
    pub cold: Option<(f64, Duration)>,
    /// Time that setting up a connection occupies a slot.
    pub handshake: Duration,
    /// Maximum number of open connections; further ones are closed. 0 means no limit.
    pub max_connections: usize,
}

impl Default for Capacity {
    /// 4096 slots without service times, so that only the machine limits the member.
    fn default() -> Self {
        let service_time = (Duration::ZERO, Duration::ZERO);
        Capacity {
            slots: 4096,
            queue: 4096,
            service_time,
            write_work: 1.0,
            cold: None,
            handshake: Duration::ZERO,
            max_connections: 0,
        }
    }
}

struct State {
    behaviour: Behaviour,
    primary: bool,
    lag: u64,
    positions: PositionPolicy,
    statements: VecDeque<Statement>,
    statements_received: u64,
    answers_written: u64,
    connections_opened: u64,
    connections: usize,
    waiting: usize,
    /// Time of the last start; `None`: so long ago that it is warm.
    started_at: Option<Instant>,
}

/// A statement that a member has received.
struct Statement {
    /// `read KEY` or `write KEY`.
    what: String,
    /// The idempotency key that it carries.
    idempotency_key: Option<String>,
}

/// Number of received statements that are kept for scenarios to check.
const MAX_STATEMENTS: usize = 4096;
/// Length of the part of an answer that [`Behaviour::PiecedHead`] sends in pieces, and the pause after each piece.
const PIECED_HEAD_LEN: usize = 256;
const PIECE_INTERVAL: Duration = Duration::from_millis(2);

struct Inner {
    address: SocketAddr,
    group: Group,
    capacity: Capacity,
    slots: Semaphore,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// Whether the member is up.
    up: watch::Sender<bool>,
    /// The task that accepts connections.
    listening: OnceLock<AbortHandle>,
    /// Its number in a run of the rig, and the event log in which it records what it receives.
    log: Option<(u32, EventLog)>,
}

/// A member. Clones refer to the same one.
#[derive(Clone)]
pub struct Member(Arc<Inner>);

/// How an encoded answer is sent, and what the member does next.
enum AfterAnswer {
    /// Send it and read the next statement.
    ReadNext,
    /// Send it, and a second copy after this delay.
    Copy(Duration),
    /// Send this many bytes, and the rest after the behaviour changes.
    Pause(usize),
    /// Send it in pieces of this many bytes, with this pause after each, and read the next statement.
    Trickle(usize, Duration),
    /// Send its first bytes in pieces of this many bytes and the rest at once, and read the next statement.
    TrickleHead(usize),
    Close,
    Reset,
}

impl Member {
    /// Starts a member on a free port of 127.0.0.1.
    pub fn start(group: &Group, primary: bool, lag_ms: u64, capacity: Capacity) -> Self {
        Self::start_at(Ipv4Addr::LOCALHOST, group, primary, lag_ms, capacity, None)
    }

    /// Starts a member on a free port of `ip`. If `log` is given, the member records what it receives there
    /// under its number.
    pub fn start_at(
        ip: Ipv4Addr,
        group: &Group,
        primary: bool,
        lag_ms: u64,
        capacity: Capacity,
        log: Option<(u32, EventLog)>,
    ) -> Self {
        let (listener, address) = listener_at(ip);
        let state = State {
            behaviour: Behaviour::Answer,
            primary,
            lag: lag_ms,
            positions: PositionPolicy::default(),
            statements: VecDeque::new(),
            statements_received: 0,
            answers_written: 0,
            connections_opened: 0,
            connections: 0,
            waiting: 0,
            started_at: Some(Instant::now()),
        };
        let this = Member(Arc::new(Inner {
            address,
            group: group.clone(),
            capacity,
            slots: Semaphore::new(capacity.slots),
            state: state.into(),
            changed: watch::channel(0).0,
            up: watch::channel(true).0,
            listening: OnceLock::new(),
            log,
        }));
        let task = runtime().spawn(this.clone().listen(listener));
        this.0.listening.get_or_init(|| task.abort_handle());
        this
    }

    /// Accepts connections while the member is up; while it is down, the port refuses them.
    async fn listen(self, mut listener: TcpListener) {
        let mut up = self.0.up.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    let member = self.clone();
                    tokio::spawn(async move { member.connection(stream).await });
                }
                () = async { drop(up.wait_for(|up| !up).await) } => {
                    drop(listener);
                    if up.wait_for(|up| *up).await.is_err() {
                        return;
                    }
                    listener = loop {
                        match TcpListener::bind(self.0.address).await {
                            Ok(listener) => break listener,
                            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                        }
                    };
                }
            }
        }
    }

    /// Serves a connection until it ends or the member goes down.
    async fn connection(&self, stream: TcpStream) {
        {
            let mut state = self.state();
            state.connections_opened += 1;
            if self.0.capacity.max_connections > 0 && state.connections >= self.0.capacity.max_connections {
                return;
            }
            state.connections += 1;
        }
        self.log_event(|member| EventKind::Opened { member });
        let mut up = self.0.up.subscribe();
        let linger = socket2::SockRef::from(&stream).try_clone();
        let down = tokio::select! {
            _ = self.serve(stream) => false,
            () = async { drop(up.wait_for(|up| !up).await) } => true,
        };
        if let (true, Ok(stream)) = (down, linger) {
            let _ = stream.set_linger(Some(Duration::ZERO));
        }
        self.state().connections -= 1;
    }

    fn log_event(&self, what: impl FnOnce(u32) -> EventKind) {
        if let Some((number, log)) = &self.0.log {
            log.record(what(*number));
        }
    }

    /// Ends the member for good: it resets its connections and gives its port back.
    pub fn end(&self) {
        self.set_up(false);
        self.0.listening.get().into_iter().for_each(AbortHandle::abort);
    }

    /// Takes the member down, which resets all its connections, or starts it again.
    pub fn set_up(&self, up: bool) {
        if up {
            self.state().started_at = Some(Instant::now());
            self.log_cold_start();
        }
        self.0.up.send_replace(up);
    }

    /// Makes it a member that started long ago. It is cold again after its next start.
    pub fn set_warm(&self) {
        self.state().started_at = None;
    }

    /// Logs a cold start, if the member starts cold.
    pub fn log_cold_start(&self) {
        let Capacity { slots, service_time: (shortest, longest), cold, .. } = self.0.capacity;
        if let Some((share, warm)) = cold {
            let mean = ((shortest + longest) / 2).max(Duration::from_micros(1));
            let rate = (slots as f64 / mean.as_secs_f64()) as u64;
            let (share, warm) = ((share * 1e3) as u64, warm.as_micros() as u64);
            self.log_event(|member| EventKind::Cold { member, share, warm, rate });
        }
    }

    /// The address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the behaviour, also for statements that wait for a change.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
        self.0.changed.send_modify(|n| *n += 1);
    }

    /// Sets the role and, for a replica, the lag in ms.
    pub fn set_role(&self, primary: bool, lag_ms: u64) {
        let mut state = self.state();
        (state.primary, state.lag) = (primary, lag_ms);
    }

    /// Sets how it handles positions.
    pub fn set_position_policy(&self, positions: PositionPolicy) {
        self.state().positions = positions;
    }

    /// How many of the kept statements (the last 4096) are this one, written as `read KEY` or `write KEY`.
    pub fn statement_count(&self, what: &str) -> usize {
        self.state().statements.iter().filter(|s| s.what == what).count()
    }

    /// The kept statements (the last 4096), oldest first.
    pub fn statements(&self) -> Vec<String> {
        self.state().statements.iter().map(|s| s.what.clone()).collect()
    }

    /// The idempotency keys of the kept statements (the last 4096) that are this one, oldest first.
    pub fn idempotency_keys(&self, what: &str) -> Vec<Option<String>> {
        let state = self.state();
        let statements = state.statements.iter().filter(|s| s.what == what);
        statements.map(|s| s.idempotency_key.clone()).collect()
    }

    /// The numbers of statements received, answers written (including those to probes), and connections
    /// opened.
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = self.state();
        (state.statements_received, state.answers_written, state.connections_opened)
    }

    async fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::with_capacity(16 * 1024, stream);
        let (mut body, mut reply) = (Vec::new(), Vec::new());
        wire::read_async(&mut stream, false, &mut body).await.ok()?;
        if !self.0.capacity.handshake.is_zero() {
            let _slot = self.0.slots.acquire().await.ok()?;
            tokio::time::sleep(self.0.capacity.handshake).await;
        }
        self.wait_for_behaviour(|behaviour| behaviour != Behaviour::Shut).await?;
        wire::put(&mut reply, b'R', &[0; 4]);
        wire::put(&mut reply, b'Z', b"I");
        stream.write_all(&reply).await.ok()?;
        reply.clear();
        loop {
            let tag = wire::read_async(&mut stream, true, &mut body).await.ok()?;
            if tag != b'Q' {
                return None;
            }
            let sql = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
            let then = self.answer(sql, &mut reply).await;
            if sql.is_empty() && !stream.buffer().is_empty() && self.state().behaviour == Behaviour::Together
            {
                continue;
            }
            let first = match then {
                AfterAnswer::Pause(bytes) => bytes.min(reply.len()),
                AfterAnswer::Trickle(..) | AfterAnswer::TrickleHead(_) => 0,
                _ => reply.len(),
            };
            stream.write_all(&reply[..first]).await.ok()?;
            self.state().answers_written += 1;
            match then {
                AfterAnswer::ReadNext => {}
                AfterAnswer::Pause(_) => {
                    self.wait_for_behaviour(|behaviour| !matches!(behaviour, Behaviour::Paused(_))).await?;
                    stream.write_all(&reply[first..]).await.ok()?;
                }
                AfterAnswer::Trickle(bytes, pause) => {
                    for piece in reply.chunks(bytes) {
                        stream.write_all(piece).await.ok()?;
                        tokio::time::sleep(pause).await;
                    }
                }
                AfterAnswer::TrickleHead(bytes) => {
                    let (head, rest) = reply.split_at(PIECED_HEAD_LEN.min(reply.len()));
                    for piece in head.chunks(bytes) {
                        stream.write_all(piece).await.ok()?;
                        tokio::time::sleep(PIECE_INTERVAL).await;
                    }
                    stream.write_all(rest).await.ok()?;
                }
                AfterAnswer::Copy(later) => {
                    tokio::time::sleep(later).await;
                    stream.write_all(&reply).await.ok()?;
                }
                AfterAnswer::Close => return None,
                AfterAnswer::Reset => {
                    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                    return None;
                }
            }
            reply.clear();
        }
    }

    /// The service time of a request: a hash of its id selects the value, which is divided by the current
    /// share of the member's capacity. The same id gets the same value in every run.
    fn service_time(&self, id: &str, write: bool) -> Duration {
        let (shortest, longest) = self.0.capacity.service_time;
        // This hasher has fixed keys.
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let fraction = (hasher.finish() >> 32) as f64 / (1u64 << 32) as f64;
        let started_at = self.state().started_at;
        let warmth = self.0.capacity.cold.zip(started_at).map_or(1.0, |((share, warm), started_at)| {
            share + (1.0 - share) * (started_at.elapsed().as_secs_f64() / warm.as_secs_f64()).min(1.0)
        });
        let work = if write { self.0.capacity.write_work } else { 1.0 };
        (shortest + (longest - shortest).mul_f64(fraction)).mul_f64(work).div_f64(warmth)
    }

    async fn answer(&self, sql: &str, reply: &mut Vec<u8>) -> AfterAnswer {
        if sql.is_empty() {
            wire::put(reply, b'I', &[]);
            wire::put(reply, b'Z', b"I");
            return AfterAnswer::ReadNext;
        }
        let (behaviour, primary, lag, positions) = {
            let state = self.state();
            (state.behaviour, state.primary, state.lag, state.positions)
        };
        let position = now_ms().saturating_sub(lag);
        if sql == "SHOW stats" {
            self.log_event(|member| EventKind::Probed { member });
            let report = match behaviour {
                Behaviour::Boast => "x0=9e99,x1=1,q=0".to_string(),
                _ => format!("x0={:.3},x1={},q=0", position as f64 / 1e3, u8::from(primary)),
            };
            row(reply, report.as_bytes(), 25, (Some(primary), Some(position)));
            return AfterAnswer::ReadNext;
        }
        let key = sql.split('\'').nth(1).unwrap_or_default();
        let field = |name: &str| sql.rsplit_once(&format!("{name}="))?.1.split([',', ' ']).next();
        let write = sql.starts_with("INSERT");
        let what = format!("{} {key}", if write { "write" } else { "read" });
        self.record_statement(Statement { what, idempotency_key: field(",k").map(str::to_string) });
        let id = field("id").unwrap_or_default();
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        self.log_event(|member| EventKind::Given { member, id: number });
        if let Some(ms) = field(",d").and_then(|ms| ms.parse::<u64>().ok()) {
            self.log_event(|_| EventKind::Allowed { id: number, wait: ms * 1000 });
        }
        let refusal = match behaviour {
            Behaviour::Full | Behaviour::Unready | Behaviour::Noisy | Behaviour::FullBehind(_) => {
                Some("53300")
            }
            Behaviour::Error => Some("XX000"),
            Behaviour::Miss => Some("72000"),
            _ if write && !primary => Some("25006"),
            _ => {
                let after = field(",after").and_then(|a| a.parse::<u64>().ok());
                let behind = after.filter(|_| !primary).map_or(0, |after| after.saturating_sub(position));
                self.refuse_if_behind(Duration::from_millis(behind), positions.when_behind).await
            }
        };
        let position = now_ms().saturating_sub(lag);
        let refused_event = |member| EventKind::TurnedAway { member, id: number };
        if let Some(code) = refusal {
            if behaviour != Behaviour::Error {
                self.log_event(refused_event);
            }
            reply.extend(wire::error(code));
            match behaviour {
                Behaviour::Unready => reply.truncate(reply.len() - 6),
                Behaviour::Noisy => reply.extend([0xff; 40]),
                Behaviour::FullBehind(later) => return AfterAnswer::Copy(later),
                _ => {}
            }
            return AfterAnswer::ReadNext;
        }
        if !self.occupy_slot(id, write).await {
            self.log_event(refused_event);
            reply.extend(wire::error("53300"));
            return AfterAnswer::ReadNext;
        }
        let (value, commit) = if write {
            let hex = sql.split("'\\x").nth(1).and_then(|v| v.split('\'').next()).unwrap_or_default();
            let value = Bytes::from(wire::unhex(hex));
            let value_number = value.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b));
            let ran =
                |member| EventKind::Ran { member, id: number, key: key.to_string(), value: value_number };
            let on_commit = || self.log_event(ran);
            (Some(value.clone()), self.0.group.write_with(id, key, value, now_ms(), on_commit))
        } else {
            self.log_event(|member| EventKind::ReadRan { member, id: number });
            (self.0.group.read(key, if primary { u64::MAX } else { position }), position)
        };
        let status = match behaviour {
            Behaviour::Mute => AnswerStatus::Nothing,
            Behaviour::Unplaced => AnswerStatus::RoleOnly,
            _ => positions.answer_status,
        };
        let status = match status {
            AnswerStatus::All => (Some(primary), Some(commit)),
            AnswerStatus::RoleAndCommit => (Some(primary), Some(commit).filter(|_| write)),
            AnswerStatus::RoleOnly => (Some(primary), None),
            AnswerStatus::Nothing => (None, None),
        };
        row(reply, value.as_deref().unwrap_or_default(), 17, status);
        self.apply_fault(behaviour, reply).await
    }

    /// Handles a read that requires a position `behind` ahead of the member. Returns the SQLSTATE of the
    /// refusal unless the member answers anyway or catches up in time.
    async fn refuse_if_behind(&self, behind: Duration, when_behind: WhenBehind) -> Option<&'static str> {
        let max_wait = match when_behind {
            WhenBehind::Answers => return None,
            WhenBehind::Refuses => Duration::ZERO,
            WhenBehind::Waits(max_wait) => max_wait,
        };
        let wait = behind.min(max_wait);
        // A timer takes at least a millisecond, so reads that need not wait do not set one.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        (behind > max_wait).then_some("72000")
    }

    /// Waits for a slot and for the service time; false if the queue is full.
    async fn occupy_slot(&self, id: &str, write: bool) -> bool {
        let service_time = self.service_time(id, write);
        if service_time.is_zero() {
            return true;
        }
        let Capacity { queue, .. } = self.0.capacity;
        let slot = match self.0.slots.try_acquire() {
            Ok(slot) => slot,
            Err(_) => {
                if self.state().waiting >= queue {
                    return false;
                }
                self.state().waiting += 1;
                let slot = self.0.slots.acquire().await;
                self.state().waiting -= 1;
                match slot {
                    Ok(slot) => slot,
                    Err(_) => return false,
                }
            }
        };
        tokio::time::sleep(service_time).await;
        drop(slot);
        true
    }

    /// Waits until the behaviour satisfies a condition.
    async fn wait_for_behaviour(&self, is_expected: impl Fn(Behaviour) -> bool) -> Option<()> {
        let mut changes = self.0.changed.subscribe();
        while !is_expected(self.state().behaviour) {
            changes.changed().await.ok()?;
        }
        Some(())
    }

    fn record_statement(&self, statement: Statement) {
        let mut state = self.state();
        state.statements_received += 1;
        if state.statements.len() >= MAX_STATEMENTS {
            state.statements.pop_front();
        }
        state.statements.push_back(statement);
    }

    /// Applies the fault of a behaviour to a complete answer.
    async fn apply_fault(&self, behaviour: Behaviour, reply: &mut Vec<u8>) -> AfterAnswer {
        /// Length of the RowDescription message.
        const DESCRIPTION_BYTES: usize = 27;
        match behaviour {
            Behaviour::Reset => {
                reply.clear();
                AfterAnswer::Reset
            }
            Behaviour::Half => {
                reply.truncate(20);
                AfterAnswer::Close
            }
            Behaviour::Broken(bytes) if bytes < reply.len() => {
                reply.truncate(bytes);
                AfterAnswer::Reset
            }
            Behaviour::Stall => {
                reply.truncate(20);
                AfterAnswer::ReadNext
            }
            Behaviour::Twice => {
                reply.extend_from_within(..);
                AfterAnswer::ReadNext
            }
            Behaviour::Behind(later) => AfterAnswer::Copy(later),
            Behaviour::Delayed(delay) => {
                let began = Instant::now();
                while began.elapsed() < delay {
                    tokio::task::yield_now().await;
                }
                AfterAnswer::ReadNext
            }
            Behaviour::Paused(bytes) => AfterAnswer::Pause(bytes),
            Behaviour::Trickled(bytes, pause) => AfterAnswer::Trickle(bytes, pause),
            Behaviour::PiecedHead(bytes) => AfterAnswer::TrickleHead(bytes),
            Behaviour::Marred(place, code) => {
                insert_error(reply, place, &code);
                AfterAnswer::ReadNext
            }
            Behaviour::Swapped => {
                let row = 1 + reply[DESCRIPTION_BYTES + 1..]
                    .first_chunk()
                    .map_or(0, |l| u32::from_be_bytes(*l)) as usize;
                reply[..DESCRIPTION_BYTES + row].rotate_left(DESCRIPTION_BYTES);
                AfterAnswer::ReadNext
            }
            _ => {
                if self.wait_for_behaviour(|behaviour| behaviour != Behaviour::Hold).await.is_none() {
                    return AfterAnswer::Close;
                }
                match (behaviour, self.state().behaviour) {
                    (_, Behaviour::Reset) | (Behaviour::Hold, Behaviour::ResetHeld) => {
                        reply.clear();
                        AfterAnswer::Reset
                    }
                    _ => AfterAnswer::ReadNext,
                }
            }
        }
    }
}

/// Puts an error with this SQLSTATE into a complete answer of one row.
fn insert_error(reply: &mut Vec<u8>, place: ErrorPlace, code: &[u8; 5]) {
    /// Length of the tag and the length field of a message.
    const HEADER: usize = 5;
    let code = String::from_utf8_lossy(code).into_owned();
    let (whole, error) = (wire::error(&code), error_message(&code));
    let message_end = |at: usize| {
        let length = reply[at + 1..].first_chunk().map_or(0, |length| u32::from_be_bytes(*length));
        at + HEADER - 4 + length as usize
    };
    let description_end = message_end(0);
    let row_end = message_end(description_end);
    let command_end = message_end(row_end);
    let ready = wire::message(b'Z', b"I");
    *reply = match place {
        ErrorPlace::AfterDescription => [&reply[..description_end], &error, &ready].concat(),
        ErrorPlace::AfterRow => [&reply[..row_end], &error, &ready].concat(),
        ErrorPlace::AfterCompletion => [&reply[..command_end], &error, &ready].concat(),
        ErrorPlace::BeforeAnswer => [&whole[..], reply].concat(),
        ErrorPlace::BehindAnswer => [&reply[..], &whole].concat(),
    };
}

/// Encodes a non-fatal error without ReadyForQuery.
fn error_message(code: &str) -> Vec<u8> {
    wire::message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Appends a complete answer of one row, with the role and the position of the member if given.
fn row(to: &mut Vec<u8>, value: &[u8], type_id: u32, (primary, position): (Option<bool>, Option<u64>)) {
    let column = [&[0, 1, b'v', 0][..], &[0; 6], &type_id.to_be_bytes(), &[0; 6], &[0, 1]].concat();
    wire::put(to, b'T', &column);
    to.push(b'D');
    to.extend((value.len() as u32 + 10).to_be_bytes());
    to.extend([0, 1]);
    to.extend((value.len() as u32).to_be_bytes());
    to.extend(value);
    wire::put(to, b'C', b"DONE 1\0");
    if let Some(primary) = primary {
        wire::put(to, b'S', if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" });
    }
    if let Some(position) = position {
        wire::put(to, b'S', format!("wal_time\0{position}\0").as_bytes());
    }
    wire::put(to, b'Z', b"I");
}
