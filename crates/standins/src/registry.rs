//! A discovery service that speaks the platform's protocol: calls for the full member list, and watches that wait
//! for a change.

use crate::rig::events::{EventKind, EventLog};
use crate::{listener, runtime};
use serde_json::{json, Value};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The answer to a call beyond the rate limit.
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Version, full list, latest change.
type List = (u64, Value, Value);

/// An answer that all callers with the same version get. Made once, as making it takes long with thousands of members.
struct Answer {
    version: u64,
    is_full: bool,
    entries: Vec<RenderedEntry>,
    /// The members among the entries, and whether each is closed to new requests.
    lifecycles: Vec<(u32, bool)>,
    /// The answer with the members' own addresses.
    body: String,
}

/// An entry with its text, which is rendered once for all callers.
struct RenderedEntry {
    value: Value,
    text: String,
}

impl Answer {
    fn new(version: u64, is_full: bool, entries: impl IntoIterator<Item = Value>) -> Self {
        let render = |value: Value| RenderedEntry { text: value.to_string(), value };
        let entries: Vec<RenderedEntry> = entries.into_iter().map(render).collect();
        let lifecycle = |entry: &RenderedEntry| {
            // The number of a member is part of its instance id.
            let id = entry.value["instanceId"].as_str().and_then(|id| id.rsplit('-').next());
            let index = id.and_then(|id| u32::from_str_radix(id, 16).ok())?;
            Some((index + 1, entry.value["lifecycle"] != "active"))
        };
        let lifecycles = entries.iter().filter_map(lifecycle).collect();
        let mut answer = Answer { version, is_full, entries, lifecycles, body: String::new() };
        answer.body = answer.body_with(&HashMap::new());
        answer
    }

    /// The answer for a caller that sees members under the addresses of `seen`.
    fn body_with(&self, seen: &HashMap<String, String>) -> String {
        let mut body = format!("{{\"generation\":{},\"instances\":[", self.version);
        for (n, entry) in self.entries.iter().enumerate() {
            if n > 0 {
                body.push(',');
            }
            match shown_entry(&entry.value, seen) {
                Cow::Owned(shown) => body.push_str(&shown.to_string()),
                Cow::Borrowed(_) => body.push_str(&entry.text),
            }
        }
        body.push_str(&format!("],\"reset\":{}}}", self.is_full));
        body
    }

    /// The same answer in lines.
    fn indented_body_with(&self, seen: &HashMap<String, String>) -> String {
        let shown: Vec<_> = self.entries.iter().map(|entry| shown_entry(&entry.value, seen)).collect();
        format!("{:#}", json!({"generation": self.version, "reset": self.is_full, "instances": shown}))
    }
}

/// An entry with the address of `seen` in place of its own, if there is one.
fn shown_entry<'a>(entry: &'a Value, seen: &HashMap<String, String>) -> Cow<'a, Value> {
    let is_seen = entry["hostPort"].as_str().is_some_and(|address| seen.contains_key(address));
    let mut entry = Cow::Borrowed(entry);
    if is_seen {
        rewrite_address(entry.to_mut(), seen);
    }
    entry
}

/// How discovery answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum DiscoveryBehaviour {
    /// Answers correctly.
    #[default]
    Well,
    /// Answers with status 503.
    Overbooked,
    /// Closes the connection without an answer.
    Reset,
    /// Never answers.
    Silent,
    /// Sends the first 60 bytes of the answer and closes the connection.
    Cut,
    /// Answers with malformed JSON.
    Noise,
    /// Answers with an empty full list of an older version.
    Older,
    /// Answers with a list of 5,000 members.
    Many,
    /// Answers watches at once, even if nothing has changed.
    Hasty,
    /// Answers with indented JSON.
    Indented,
}

impl std::str::FromStr for DiscoveryBehaviour {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "well" => DiscoveryBehaviour::Well,
            "overbooked" => DiscoveryBehaviour::Overbooked,
            "reset" => DiscoveryBehaviour::Reset,
            "silent" => DiscoveryBehaviour::Silent,
            "cut" => DiscoveryBehaviour::Cut,
            "noise" => DiscoveryBehaviour::Noise,
            "older" => DiscoveryBehaviour::Older,
            "many" => DiscoveryBehaviour::Many,
            "hasty" => DiscoveryBehaviour::Hasty,
            "indented" => DiscoveryBehaviour::Indented,
            _ => return Err(format!("unknown behaviour of discovery '{text}'")),
        })
    }
}

/// Counts of the calls received so far.
#[derive(Clone, Copy, Default, Debug)]
pub struct Calls {
    /// Calls for the full list.
    pub whole: usize,
    /// Watches: calls for the changes after a version.
    pub watches: usize,
    /// Watches with a wait of 0 ms.
    pub confirms: usize,
    /// The newest version that a watch named: its caller has the list up to that version.
    pub newest_version: u64,
}

/// State of a listener that serves a single proxy.
#[derive(Clone)]
struct ProxyListener {
    proxy: u32,
    log: EventLog,
    /// The member addresses that this proxy is shown instead of the real ones.
    seen: Arc<HashMap<String, String>>,
    /// Members that were logged as draining. A member that never was need not be logged as active.
    drained: Arc<Mutex<HashSet<u32>>>,
    /// Answers that the proxy has not yet confirmed, by version. Used when a relay in front of the proxy may delay
    /// written answers; none if a written answer counts as received.
    unconfirmed: Option<Arc<Mutex<Unconfirmed>>>,
}

/// Answers by version. The oldest are dropped if the proxy never confirms any.
type Unconfirmed = BTreeMap<u64, Arc<Answer>>;
const MAX_UNCONFIRMED: usize = 64;

impl ProxyListener {
    /// Called before an answer is written. Logs the active members first, because the proxy may receive the answer
    /// and send requests to them at once.
    fn before_write(&self, answer: &Answer) {
        self.log_lifecycles(answer.lifecycles.iter().filter(|(_, closed)| !closed));
    }

    /// Called after an answer was written. Logs its entries as received, or stores them if a relay may still hold
    /// them.
    fn after_write(&self, answer: Arc<Answer>) {
        let Some(unconfirmed) = &self.unconfirmed else { return self.log_lifecycles(&answer.lifecycles) };
        let mut unconfirmed = unconfirmed.lock().unwrap_or_else(PoisonError::into_inner);
        unconfirmed.insert(answer.version, answer);
        while unconfirmed.len() > MAX_UNCONFIRMED {
            unconfirmed.pop_first();
        }
    }

    /// Called when the proxy watches from a version: it has received the answers up to that version.
    fn confirm_up_to(&self, version: u64) {
        let Some(unconfirmed) = &self.unconfirmed else { return };
        let mut unconfirmed = unconfirmed.lock().unwrap_or_else(PoisonError::into_inner);
        let later = unconfirmed.split_off(&(version + 1));
        for answer in std::mem::replace(&mut *unconfirmed, later).values() {
            self.log_lifecycles(&answer.lifecycles);
        }
    }

    /// Logs the lifecycle of each member in a received answer.
    fn log_lifecycles<'a>(&self, lifecycles: impl IntoIterator<Item = &'a (u32, bool)>) {
        let mut drained = self.drained.lock().unwrap_or_else(PoisonError::into_inner);
        for (member, closed) in lifecycles {
            if *closed {
                drained.insert(*member);
            }
            if drained.contains(member) {
                self.log.record(EventKind::Drains { proxy: self.proxy, member: *member, on: *closed });
            }
        }
    }
}

/// Limits the rate of calls.
struct RateLimit {
    /// Time that each call takes; zero disables the limit.
    call_time: Duration,
    /// Calls that may wait; further ones are answered with status 503.
    queue: usize,
    waiting: AtomicUsize,
    in_service: tokio::sync::Mutex<()>,
}

/// The discovery service and its list. Clones share both.
#[derive(Clone)]
pub struct Registry {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<u64>,
    state: Arc<Mutex<(DiscoveryBehaviour, Calls)>>,
    rate_limit: Arc<RateLimit>,
    /// The answers for the current version.
    answers: Arc<Mutex<Vec<Arc<Answer>>>>,
}

impl Default for Registry {
    fn default() -> Self {
        Self::with_rate(0.0, usize::MAX)
    }
}

/// A list entry for an active member.
pub fn entry(index: usize, address: SocketAddr) -> Value {
    json!({"instanceId": format!("s-{index:08x}"), "hostPort": address.to_string(), "zone": "a", "cell": 1,
        "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
}

/// Whether the caller has closed its connection, or its process has ended.
async fn has_disconnected(stream: &mut BufReader<TcpStream>) -> bool {
    let mut peeked = [0];
    let peeked = stream.get_mut().peek(&mut peeked);
    matches!(tokio::time::timeout(Duration::ZERO, peeked).await, Ok(Ok(0) | Err(_)))
}

/// Replaces the address in an entry by the one to show, if there is one.
pub fn rewrite_address(entry: &mut Value, seen: &HashMap<String, String>) {
    if let Some(shown) = entry["hostPort"].as_str().and_then(|a| seen.get(a)) {
        entry["hostPort"] = shown.as_str().into();
    }
}

impl Registry {
    /// Answers at most `rate` calls a second, one at a time, and lets `queue` calls wait; a rate of 0 means no limit.
    pub fn with_rate(rate: f64, queue: usize) -> Self {
        let call_time = if rate > 0.0 { Duration::from_secs_f64(1.0 / rate) } else { Duration::ZERO };
        let rate_limit = RateLimit {
            call_time,
            queue,
            waiting: AtomicUsize::new(0),
            in_service: tokio::sync::Mutex::new(()),
        };
        Registry {
            list: Arc::new(Mutex::new((1, json!([]), json!([])))),
            changed: watch::channel(1).0,
            state: Arc::default(),
            rate_limit: Arc::new(rate_limit),
            answers: Arc::default(),
        }
    }

    /// Starts with a full list and returns the address.
    pub fn start(&self, whole: Value) -> SocketAddr {
        self.set_list(whole);
        self.open(None)
    }

    /// Opens a listener for one proxy, which sees members under the addresses of `seen`. If `relayed`, an answer
    /// counts as received only when the proxy's next call confirms it.
    pub fn listen_for_proxy(
        &self,
        proxy: u32,
        log: EventLog,
        seen: HashMap<String, String>,
        relayed: bool,
    ) -> SocketAddr {
        let unconfirmed = relayed.then(Arc::default);
        self.open(Some(ProxyListener {
            proxy,
            log,
            seen: Arc::new(seen),
            drained: Arc::default(),
            unconfirmed,
        }))
    }

    /// Replaces the full list without waking watches.
    pub fn set_list(&self, whole: Value) {
        self.with(|list| {
            list.1 = whole;
            // The version stays the same.
            self.answers.lock().unwrap_or_else(PoisonError::into_inner).clear();
        });
    }

    fn open(&self, listener_state: Option<ProxyListener>) -> SocketAddr {
        let (listener, address) = listener();
        let this = self.clone();
        runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (this, listener_state) = (this.clone(), listener_state.clone());
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while this.serve(&mut stream, listener_state.as_ref()).await.is_some() {}
                });
            }
        });
        address
    }

    /// Waits until the rate limit admits a call; false if too many calls wait.
    async fn admit(&self) -> bool {
        if self.rate_limit.call_time.is_zero() {
            return true;
        }
        if self.rate_limit.waiting.fetch_add(1, Ordering::Relaxed) >= self.rate_limit.queue {
            self.rate_limit.waiting.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let guard = self.rate_limit.in_service.lock().await;
        tokio::time::sleep(self.rate_limit.call_time).await;
        drop(guard);
        self.rate_limit.waiting.fetch_sub(1, Ordering::Relaxed);
        true
    }

    fn with<R>(&self, f: impl FnOnce(&mut List) -> R) -> R {
        f(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn state(&self) -> MutexGuard<'_, (DiscoveryBehaviour, Calls)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how calls are answered. Watches that already wait are answered that way when the list changes.
    pub fn set_behaviour(&self, behaviour: DiscoveryBehaviour) {
        self.state().0 = behaviour;
    }

    /// The calls received so far.
    pub fn calls(&self) -> Calls {
        self.state().1
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.with(|list| list.0)
    }

    /// The full list.
    pub fn list(&self) -> Value {
        self.with(|list| list.1.clone())
    }

    async fn serve(
        &self,
        stream: &mut BufReader<TcpStream>,
        listener_state: Option<&ProxyListener>,
    ) -> Option<()> {
        let (mut first, mut line) = (String::new(), String::new());
        stream.read_line(&mut first).await.ok().filter(|n| *n > 0)?;
        while line != "\r\n" {
            line.clear();
            stream.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
        }
        let field = |name: &str| first.split(name).nth(1)?.split(['&', ' ']).next()?.parse::<u64>().ok();
        let (after, wait) = (field("after="), field("wait_ms=").unwrap_or(20_000).min(60_000));
        {
            let calls = &mut self.state().1;
            *(if after.is_some() { &mut calls.watches } else { &mut calls.whole }) += 1;
            calls.confirms += usize::from(after.is_some() && wait == 0);
            calls.newest_version = calls.newest_version.max(after.unwrap_or(0));
        }
        if let Some(ProxyListener { proxy, log, .. }) = listener_state {
            log.record(EventKind::Called { proxy: *proxy, whole: after.is_none() });
        }
        if let (Some(listener_state), Some(after)) = (listener_state, after) {
            listener_state.confirm_up_to(after);
        }
        let unanswered = || listener_state.map(|d| d.log.record(EventKind::Unanswered { proxy: d.proxy }));
        let behaviour = || self.state().0;
        // A caller that disconnects while it waits still counts against the rate limit.
        if !self.admit().await {
            unanswered();
            return stream.write_all(BUSY.as_bytes()).await.ok();
        }
        // A caller that gave up while it waited does not receive the answer, even if writing succeeds.
        if has_disconnected(stream).await {
            unanswered();
            return None;
        }
        if let Some(after) = after.filter(|_| behaviour() == DiscoveryBehaviour::Well) {
            let mut changes = self.changed.subscribe();
            let newer = changes.wait_for(|version| *version > after);
            let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
            // A process that was killed during its watch received nothing, and its successor must not be credited
            // with it.
            if has_disconnected(stream).await {
                return None;
            }
        }
        let prepared = self.answer_after(after);
        let version = prepared.version;
        let own_addresses = HashMap::new();
        let seen = listener_state.map_or(&own_addresses, |listener| &*listener.seen);
        let body = match seen.is_empty() {
            true => Cow::Borrowed(&prepared.body),
            false => Cow::Owned(prepared.body_with(seen)),
        };
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let text = match behaviour() {
            DiscoveryBehaviour::Well | DiscoveryBehaviour::Hasty => answer(&body),
            DiscoveryBehaviour::Indented => answer(&prepared.indented_body_with(seen)),
            DiscoveryBehaviour::Overbooked => BUSY.to_string(),
            DiscoveryBehaviour::Reset => {
                unanswered();
                return None;
            }
            DiscoveryBehaviour::Silent => {
                unanswered();
                std::future::pending().await
            }
            DiscoveryBehaviour::Cut => {
                unanswered();
                let _ = stream.write_all(&answer(&body).as_bytes()[..60]).await;
                return None;
            }
            DiscoveryBehaviour::Noise => answer("{\"generation\":\"soon\",\"instances\":7"),
            DiscoveryBehaviour::Older => answer("{\"generation\":0,\"reset\":true,\"instances\":[]}"),
            DiscoveryBehaviour::Many => {
                let many: Vec<Value> = (0..5_000).map(|n| json!({"instanceId": n})).collect();
                answer(&json!({"generation": version + 9, "reset": true, "instances": many}).to_string())
            }
        };
        let complete = matches!(
            behaviour(),
            DiscoveryBehaviour::Well | DiscoveryBehaviour::Hasty | DiscoveryBehaviour::Indented
        );
        if let Some(listener_state) = listener_state.filter(|_| complete) {
            listener_state.before_write(&prepared);
        }
        let written = stream.write_all(text.as_bytes()).await.ok();
        match (written.is_some() && complete, listener_state) {
            (true, Some(listener_state)) => listener_state.after_write(prepared.clone()),
            (false, Some(_)) if written.is_some() => drop(unanswered()),
            _ => {}
        }
        written
    }

    /// The answer for a caller that has the list of version `after`.
    fn answer_after(&self, after: Option<u64>) -> Arc<Answer> {
        self.with(|(version, whole, change)| {
            let version = *version;
            if after == Some(version) {
                return Arc::new(Answer::new(version, false, []));
            }
            // Only the latest change is kept; a caller that missed more gets the full list.
            let is_full = after.is_none_or(|after| version != after + 1);
            let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(made) = answers.iter().find(|made| made.version == version && made.is_full == is_full)
            {
                return made.clone();
            }
            // A member that has left appears in changes only.
            let listed = |e: &&Value| e["lifecycle"] != "left";
            let source = if is_full { &*whole } else { &*change };
            let entries = source.as_array().into_iter().flatten();
            let entries = entries.filter(|entry| !is_full || listed(entry)).cloned();
            let made = Arc::new(Answer::new(version, is_full, entries));
            answers.retain(|other| other.version == version);
            answers.push(made.clone());
            made
        })
    }

    /// Changes the lifecycle of an entry and wakes watches.
    pub fn set_lifecycle(&self, index: usize, lifecycle: &str) {
        self.set_field(index, "lifecycle", lifecycle);
    }

    /// Changes the address of a member and wakes watches.
    pub fn set_address(&self, index: usize, address: SocketAddr) {
        self.set_field(index, "hostPort", address.to_string());
    }

    /// Sets the start time of a member to now and wakes watches.
    pub fn set_started_now(&self, index: usize) {
        self.set_field(index, "startedAtMs", crate::now_ms());
    }

    /// Replaces members in one change: those at `left` leave, and `newcomers` are added to the list. Wakes watches.
    pub fn replace_members(&self, left: &[usize], newcomers: Vec<Value>) {
        let version = self.with(|list| {
            let mut change = newcomers.clone();
            for index in left {
                list.1[*index]["lifecycle"] = "left".into();
                change.push(list.1[*index].clone());
            }
            list.1.as_array_mut().into_iter().for_each(|whole| whole.extend(newcomers.iter().cloned()));
            (list.0, list.2) = (list.0 + 1, change.into());
            list.0
        });
        self.changed.send_replace(version);
    }

    /// Skips a version, so that the callers' next answers are the whole list. Wakes watches.
    pub fn send_whole_list(&self) {
        let version = self.with(|list| {
            list.0 += 2;
            list.0
        });
        self.changed.send_replace(version);
    }

    fn set_field(&self, index: usize, field: &str, value: impl Into<Value>) {
        let value = value.into();
        let version = self.with(|list| {
            list.1[index][field] = value;
            (list.0, list.2) = (list.0 + 1, json!([list.1[index]]));
            list.0
        });
        self.changed.send_replace(version);
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
