//! A member of a group: one primary, the others replicas with a lag; service times, slots and a queue, a cold start,
//! and every fault that the proxy must bear, by name.

use crate::group::Group;
use crate::rig::events::{Log, What};
use crate::{listener_at, now_ms, runtime, wire};
use bytes::Bytes;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

/// Where in a whole answer an error stands that does not belong there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorPlace {
    /// Behind the description of the row, in place of the rest.
    AfterDescription,
    /// Behind the row, in place of the command's end.
    AfterRow,
    /// Behind the command's end.
    AfterCompletion,
    /// As a whole answer of its own, right in front of the real one.
    BeforeAnswer,
    /// As a whole answer of its own, right behind the real one.
    BehindAnswer,
}

/// What a member does with statements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Answers.
    #[default]
    Answer,
    /// Runs them and keeps the answers back until it does something else.
    Hold,
    /// Keeps the welcome of new connections back until it does something else.
    Shut,
    /// Runs them and resets the connection.
    Reset,
    /// Runs them and ends the connection in the middle of the answer.
    Half,
    /// Runs them and resets the connection after so many bytes of the answer.
    Broken(usize),
    /// Runs them and keeps all but so many bytes of the answer back until it does something else.
    Paused(usize),
    /// Turns them away, unseen.
    Full,
    /// The same, without ReadyForQuery.
    Unready,
    /// The same, with noise behind.
    Noisy,
    /// Fails them.
    Error,
    /// Takes itself for too far behind.
    Miss,
    /// A second copy comes right behind the answer.
    Twice,
    /// A second copy comes so much later, before anything else is read.
    Behind(Duration),
    /// Half an answer, and nothing more.
    Stall,
    /// The row before its description.
    Swapped,
    /// Reports on itself what cannot be true.
    Boast,
    /// Runs them, and its answers tell neither its role nor its position; its reports do.
    Mute,
    /// Runs them, and its answers tell its role without its position.
    Unplaced,
    /// Runs them, and an error with this SQLSTATE stands in the answer.
    Marred(ErrorPlace, [u8; 5]),
    /// Turns them away, unseen, and a second copy of that comes so much later, before anything else is read.
    FullBehind(Duration),
}

impl FromStr for Behaviour {
    type Err = String;

    /// `answer`, `hold` and so on; `after` is a copy 30 ms later, `behind US` one after so many microseconds, `broken N`
    /// a reset after N bytes, `marred PLACE CODE` an error in an answer.
    fn from_str(text: &str) -> Result<Self, String> {
        let (word, number) = text.split_once(' ').unwrap_or((text, ""));
        let digits = |what| number.parse::<u64>().map_err(|_| format!("{text}: no number of {what}"));
        Ok(match word {
            "answer" => Behaviour::Answer,
            "hold" => Behaviour::Hold,
            "shut" => Behaviour::Shut,
            "reset" => Behaviour::Reset,
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
            _ => return Err(format!("no member does '{text}'")),
        })
    }
}

impl Behaviour {
    /// Reads `PLACE CODE`.
    fn marred(text: &str) -> Result<Self, String> {
        let unknown = || format!("no answer is marred as '{text}'");
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

/// What a member does with a read for which it lags too far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum WhenBehind {
    /// It answers from the data that it holds.
    Answers,
    /// It turns it away.
    #[default]
    Refuses,
    /// It waits until it has caught up, for so long at most, and turns it away then.
    Waits(Duration),
}

/// What a member's answers to requests tell of it; its reports tell all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnswerStatus {
    /// Its role and its position, or the commit of a write.
    #[default]
    All,
    /// Its role, and the commit of a write.
    RoleAndCommit,
    /// Its role.
    RoleOnly,
    /// Nothing.
    Nothing,
}

/// How a member treats positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PositionPolicy {
    /// What it does with a read for which it lags too far.
    pub when_behind: WhenBehind,
    /// What its answers tell.
    pub answer_status: AnswerStatus,
}

/// How much work a member can take.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that may wait for one; beyond that they are turned away.
    pub queue: usize,
    /// Shortest and longest service time, drawn evenly by the request's id.
    pub service_time: (Duration, Duration),
    /// Share of its capacity at its start, and how long until it is warm.
    pub cold: Option<(f64, Duration)>,
    /// Work of a new connection, in a slot like a request's.
    pub handshake: Duration,
    /// Connections at once, beyond which new ones are closed; 0: any number.
    pub max_connections: usize,
}

impl Default for Capacity {
    /// As much as the machine gives, at once.
    fn default() -> Self {
        let service_time = (Duration::ZERO, Duration::ZERO);
        Capacity {
            slots: 4096,
            queue: 4096,
            service_time,
            cold: None,
            handshake: Duration::ZERO,
            max_connections: 0,
        }
    }
}

struct State {
    does: Behaviour,
    primary: bool,
    lag: u64,
    positions: PositionPolicy,
    seen: VecDeque<String>,
    served: u64,
    answered: u64,
    opened: u64,
    standing: usize,
    waiting: usize,
    /// When it was last started.
    since: Instant,
}

/// Statements that are remembered for a scenario to look at.
const SEEN: usize = 4096;

struct Inner {
    address: SocketAddr,
    group: Group,
    capacity: Capacity,
    slots: Semaphore,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    /// Whether it is there at all.
    up: watch::Sender<bool>,
    /// Its number in a run of many processes, and where it notes what comes to it.
    log: Option<(u32, Log)>,
}

/// A member. Copies are the same one.
#[derive(Clone)]
pub struct Member(Arc<Inner>);

/// What to do after an answer was made.
enum Then {
    Go,
    Copy(Duration),
    /// So many bytes first.
    Pause(usize),
    Close,
    Reset,
}

impl Member {
    /// Starts one on a free port.
    pub fn start(group: &Group, primary: bool, lag_ms: u64, capacity: Capacity) -> Self {
        Self::start_at(Ipv4Addr::LOCALHOST, group, primary, lag_ms, capacity, None)
    }

    /// The same at an address, which notes what comes to it under a number.
    pub fn start_at(
        ip: Ipv4Addr,
        group: &Group,
        primary: bool,
        lag_ms: u64,
        capacity: Capacity,
        log: Option<(u32, Log)>,
    ) -> Self {
        let (listener, address) = listener_at(ip);
        let state = State {
            does: Behaviour::Answer,
            primary,
            lag: lag_ms,
            positions: PositionPolicy::default(),
            seen: VecDeque::new(),
            served: 0,
            answered: 0,
            opened: 0,
            standing: 0,
            waiting: 0,
            since: Instant::now(),
        };
        let this = Member(Arc::new(Inner {
            address,
            group: group.clone(),
            capacity,
            slots: Semaphore::new(capacity.slots),
            state: state.into(),
            changed: watch::channel(0).0,
            up: watch::channel(true).0,
            log,
        }));
        runtime().spawn(this.clone().listen(listener));
        this
    }

    /// Takes connections while it is up; while it is down its port refuses them.
    async fn listen(self, mut listener: TcpListener) {
        let mut up = self.0.up.subscribe();
        loop {
            tokio::select! {
                taken = listener.accept() => {
                    let Ok((stream, _)) = taken else { return };
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

    /// Serves a connection until it ends, or the member goes down under it.
    async fn connection(&self, stream: TcpStream) {
        {
            let mut state = self.state();
            state.opened += 1;
            if self.0.capacity.max_connections > 0 && state.standing >= self.0.capacity.max_connections {
                return;
            }
            state.standing += 1;
        }
        self.tells(|member| What::Opened { member });
        let mut up = self.0.up.subscribe();
        let linger = socket2::SockRef::from(&stream).try_clone();
        let down = tokio::select! {
            _ = self.serve(stream) => false,
            () = async { drop(up.wait_for(|up| !up).await) } => true,
        };
        if let (true, Ok(stream)) = (down, linger) {
            let _ = stream.set_linger(Some(Duration::ZERO));
        }
        self.state().standing -= 1;
    }

    fn tells(&self, what: impl FnOnce(u32) -> What) {
        if let Some((number, log)) = &self.0.log {
            log.note(what(*number));
        }
    }

    /// Goes away with all its connections, or comes back, started anew.
    pub fn set_up(&self, up: bool) {
        if up {
            self.state().since = Instant::now();
            self.log_cold_start();
        }
        self.0.up.send_replace(up);
    }

    /// Notes that it is cold, where it starts so.
    pub fn log_cold_start(&self) {
        let Capacity { slots, service_time: (least, most), cold, .. } = self.0.capacity;
        if let Some((share, warm)) = cold {
            let mean = ((least + most) / 2).max(Duration::from_micros(1));
            let rate = (slots as f64 / mean.as_secs_f64()) as u64;
            let (share, warm) = ((share * 1e3) as u64, warm.as_micros() as u64);
            self.tells(|member| What::Cold { member, share, warm, rate });
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on it does this.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state().does = behaviour;
        self.0.changed.send_modify(|n| *n += 1);
    }

    /// From now on it has this role, and as a replica this lag in ms.
    pub fn set_role(&self, primary: bool, lag_ms: u64) {
        let mut state = self.state();
        (state.primary, state.lag) = (primary, lag_ms);
    }

    /// From now on it treats positions so.
    pub fn set_position_policy(&self, positions: PositionPolicy) {
        self.state().positions = positions;
    }

    /// How often it has been given a statement that begins so (`read KEY`, `write KEY`), of the last few thousand.
    pub fn statement_count(&self, what: &str) -> usize {
        self.state().seen.iter().filter(|s| *s == what).count()
    }

    /// All that it has been given, of the last few thousand.
    pub fn statements(&self) -> Vec<String> {
        self.state().seen.iter().cloned().collect()
    }

    /// Statements given, answers written, probes' among them, and connections opened, since its start.
    pub fn totals(&self) -> (u64, u64, u64) {
        let state = self.state();
        (state.served, state.answered, state.opened)
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
        self.until(|does| does != Behaviour::Shut).await?;
        wire::put(&mut reply, b'R', &[0; 4]);
        wire::put(&mut reply, b'Z', b"I");
        stream.write_all(&reply).await.ok()?;
        loop {
            let tag = wire::read_async(&mut stream, true, &mut body).await.ok()?;
            if tag != b'Q' {
                return None;
            }
            let sql = std::str::from_utf8(body.strip_suffix(&[0])?).ok()?;
            reply.clear();
            let then = self.answer(sql, &mut reply).await;
            let first = if let Then::Pause(bytes) = then { bytes.min(reply.len()) } else { reply.len() };
            stream.write_all(&reply[..first]).await.ok()?;
            self.state().answered += 1;
            match then {
                Then::Go => {}
                Then::Pause(_) => {
                    self.until(|does| !matches!(does, Behaviour::Paused(_))).await?;
                    stream.write_all(&reply[first..]).await.ok()?;
                }
                Then::Copy(later) => {
                    tokio::time::sleep(later).await;
                    stream.write_all(&reply).await.ok()?;
                }
                Then::Close => return None,
                Then::Reset => {
                    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
                    return None;
                }
            }
        }
    }

    /// The time that a request takes here now, by its id: the same id takes the same time.
    fn service(&self, id: &str) -> Duration {
        let (least, most) = self.0.capacity.service_time;
        // The same in every run: this hasher's keys are fixed.
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let part = (hasher.finish() >> 32) as f64 / (1u64 << 32) as f64;
        let since = self.state().since;
        let warmth = self.0.capacity.cold.map_or(1.0, |(share, warm)| {
            share + (1.0 - share) * (since.elapsed().as_secs_f64() / warm.as_secs_f64()).min(1.0)
        });
        (least + (most - least).mul_f64(part)).div_f64(warmth)
    }

    async fn answer(&self, sql: &str, reply: &mut Vec<u8>) -> Then {
        if sql.is_empty() {
            wire::put(reply, b'I', &[]);
            wire::put(reply, b'Z', b"I");
            return Then::Go;
        }
        let (does, primary, lag, positions) = {
            let state = self.state();
            (state.does, state.primary, state.lag, state.positions)
        };
        let position = now_ms().saturating_sub(lag);
        if sql == "SHOW stats" {
            self.tells(|member| What::Probed { member });
            let report = match does {
                Behaviour::Boast => "x0=9e99,x1=1,q=0".to_string(),
                _ => format!("x0={:.3},x1={},q=0", position as f64 / 1e3, u8::from(primary)),
            };
            row(reply, report.as_bytes(), 25, (Some(primary), Some(position)));
            return Then::Go;
        }
        let key = sql.split('\'').nth(1).unwrap_or_default();
        let field = |name: &str| sql.rsplit_once(&format!("{name}="))?.1.split([',', ' ']).next();
        let write = sql.starts_with("INSERT");
        self.note(format!("{} {key}", if write { "write" } else { "read" }));
        let id = field("id").unwrap_or_default();
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        self.tells(|member| What::Given { member, id: number });
        if let Some(ms) = field(",d").and_then(|ms| ms.parse::<u64>().ok()) {
            self.tells(|_| What::Allowed { id: number, wait: ms * 1000 });
        }
        let refusal = match does {
            Behaviour::Full | Behaviour::Unready | Behaviour::Noisy | Behaviour::FullBehind(_) => {
                Some("53300")
            }
            Behaviour::Error => Some("XX000"),
            Behaviour::Miss => Some("72000"),
            _ if write && !primary => Some("25006"),
            _ => {
                let after = field(",after").and_then(|a| a.parse::<u64>().ok());
                let behind = after.filter(|_| !primary).map_or(0, |after| after.saturating_sub(position));
                self.catches_up(Duration::from_millis(behind), positions.when_behind).await
            }
        };
        let position = now_ms().saturating_sub(lag);
        let turned_away = |member| What::TurnedAway { member, id: number };
        if let Some(code) = refusal {
            if does != Behaviour::Error {
                self.tells(turned_away);
            }
            *reply = wire::error(code);
            match does {
                Behaviour::Unready => reply.truncate(reply.len() - 6),
                Behaviour::Noisy => reply.extend([0xff; 40]),
                Behaviour::FullBehind(later) => return Then::Copy(later),
                _ => {}
            }
            return Then::Go;
        }
        if !self.work(id).await {
            self.tells(turned_away);
            *reply = wire::error("53300");
            return Then::Go;
        }
        let (value, commit) = if write {
            let hex = sql.split("'\\x").nth(1).and_then(|v| v.split('\'').next()).unwrap_or_default();
            let value = Bytes::from(wire::unhex(hex));
            let brings = value.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b));
            let ran = |member| What::Ran { member, id: number, key: key.to_string(), value: brings };
            let noted = || self.tells(ran);
            (Some(value.clone()), self.0.group.write_with(id, key, value, now_ms(), noted))
        } else {
            self.tells(|member| What::ReadRan { member, id: number });
            (self.0.group.read(key, if primary { u64::MAX } else { position }), position)
        };
        let tells = match does {
            Behaviour::Mute => AnswerStatus::Nothing,
            Behaviour::Unplaced => AnswerStatus::RoleOnly,
            _ => positions.answer_status,
        };
        let tells = match tells {
            AnswerStatus::All => (Some(primary), Some(commit)),
            AnswerStatus::RoleAndCommit => (Some(primary), Some(commit).filter(|_| write)),
            AnswerStatus::RoleOnly => (Some(primary), None),
            AnswerStatus::Nothing => (None, None),
        };
        row(reply, value.as_deref().unwrap_or_default(), 17, tells);
        self.spoil(does, reply).await
    }

    /// The refusal of a read for which it is so far behind, where it does not answer or catch up.
    async fn catches_up(&self, behind: Duration, when_behind: WhenBehind) -> Option<&'static str> {
        let patience = match when_behind {
            WhenBehind::Answers => return None,
            WhenBehind::Refuses => Duration::ZERO,
            WhenBehind::Waits(patience) => patience,
        };
        let wait = behind.min(patience);
        // A timer takes a millisecond at least, which nothing that need not wait may take.
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        (behind > patience).then_some("72000")
    }

    /// Waits for a slot and does the work; false where the queue is full.
    async fn work(&self, id: &str) -> bool {
        let service = self.service(id);
        if service.is_zero() {
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
        tokio::time::sleep(service).await;
        drop(slot);
        true
    }

    /// Waits until it does something of this sort.
    async fn until(&self, fits: impl Fn(Behaviour) -> bool) -> Option<()> {
        let mut changes = self.0.changed.subscribe();
        while !fits(self.state().does) {
            changes.changed().await.ok()?;
        }
        Some(())
    }

    fn note(&self, what: String) {
        let mut state = self.state();
        state.served += 1;
        if state.seen.len() >= SEEN {
            state.seen.pop_front();
        }
        state.seen.push_back(what);
    }

    /// Makes of a whole answer what the member's fault leaves of it.
    async fn spoil(&self, does: Behaviour, reply: &mut Vec<u8>) -> Then {
        /// The description of the row has so many bytes.
        const DESCRIPTION: usize = 27;
        match does {
            Behaviour::Reset => {
                reply.clear();
                Then::Reset
            }
            Behaviour::Half => {
                reply.truncate(20);
                Then::Close
            }
            Behaviour::Broken(bytes) => {
                reply.truncate(bytes);
                Then::Reset
            }
            Behaviour::Stall => {
                reply.truncate(20);
                Then::Go
            }
            Behaviour::Twice => {
                reply.extend_from_within(..);
                Then::Go
            }
            Behaviour::Behind(later) => Then::Copy(later),
            Behaviour::Paused(bytes) => Then::Pause(bytes),
            Behaviour::Marred(place, code) => {
                mar(reply, place, &code);
                Then::Go
            }
            Behaviour::Swapped => {
                let row =
                    1 + reply[DESCRIPTION + 1..].first_chunk().map_or(0, |l| u32::from_be_bytes(*l)) as usize;
                reply[..DESCRIPTION + row].rotate_left(DESCRIPTION);
                Then::Go
            }
            _ => {
                if self.until(|does| does != Behaviour::Hold).await.is_none() {
                    return Then::Close;
                }
                match self.state().does {
                    Behaviour::Reset => {
                        reply.clear();
                        Then::Reset
                    }
                    _ => Then::Go,
                }
            }
        }
    }
}

/// Puts an error with this code into a whole answer of one row.
fn mar(reply: &mut Vec<u8>, place: ErrorPlace, code: &[u8; 5]) {
    /// Tag and length of a message.
    const HEAD: usize = 5;
    let code = String::from_utf8_lossy(code).into_owned();
    let (whole, error) = (wire::error(&code), message_of_error(&code));
    let message_end = |at: usize| {
        let length = reply[at + 1..].first_chunk().map_or(0, |length| u32::from_be_bytes(*length));
        at + HEAD - 4 + length as usize
    };
    let description_ends = message_end(0);
    let row_ends = message_end(description_ends);
    let command_ends = message_end(row_ends);
    let ready = wire::message(b'Z', b"I");
    *reply = match place {
        ErrorPlace::AfterDescription => [&reply[..description_ends], &error, &ready].concat(),
        ErrorPlace::AfterRow => [&reply[..row_ends], &error, &ready].concat(),
        ErrorPlace::AfterCompletion => [&reply[..command_ends], &error, &ready].concat(),
        ErrorPlace::BeforeAnswer => [&whole[..], reply].concat(),
        ErrorPlace::BehindAnswer => [&reply[..], &whole].concat(),
    };
}

/// An error that leaves the connection open, without ReadyForQuery.
fn message_of_error(code: &str) -> Vec<u8> {
    wire::message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// A whole answer of one row, with what it tells of the member: whether it is a primary, and its position.
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
