//! Discovery by the platform's protocol: the whole list, and watches that wait for a change.

use crate::rig::events::{Log, What};
use crate::{listener, runtime};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The answer to a call that it cannot take.
const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Version, whole list, latest change.
type List = (u64, Value, Value);

/// What it does with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum DiscoveryBehaviour {
    /// Answers.
    #[default]
    Well,
    /// 503.
    Overbooked,
    /// Closes at once.
    Reset,
    /// Says nothing.
    Silent,
    /// Half of the answer, then a close.
    Cut,
    /// What is no list.
    Noise,
    /// A whole list of an older version, which names nobody.
    Older,
    /// A list of 5,000 members.
    Many,
    /// Answers watches at once, with nothing.
    Hasty,
    /// Answers with lists that are indented.
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
            _ => return Err(format!("discovery cannot do '{text}'")),
        })
    }
}

/// Calls so far.
#[derive(Clone, Copy, Default, Debug)]
pub struct Calls {
    /// For the whole list.
    pub whole: usize,
    /// For what comes after a version.
    pub watches: usize,
    /// Those among them that wait for nothing.
    pub confirms: usize,
    /// The newest version after which a caller wants to hear: it has the list up to that one.
    pub newest_version: u64,
}

/// One caller's way in, where many are told apart.
#[derive(Clone)]
struct Door {
    proxy: u32,
    log: Log,
    /// Addresses as this caller is to see them.
    seen: Arc<HashMap<String, String>>,
    /// Where a relay stands before it, that may hold back what was written: answers that the caller has not yet shown to
    /// have, each with its version. None: what is written has arrived.
    unproved: Option<Arc<Mutex<Unproved>>>,
}

/// Entries of answers by their version, of which the oldest go where a caller never shows that it has any.
type Unproved = BTreeMap<u64, Value>;
const UNPROVED_MOST: usize = 64;

impl Door {
    /// An answer is about to be written: that a member serves again may arrive, and be acted on, at once.
    fn writes(&self, entries: &Value) {
        let serves = entries.as_array().into_iter().flatten().filter(|e| e["lifecycle"] == "active");
        self.told(&serves.cloned().collect());
    }

    /// An answer has been written: it has told the caller of its entries, unless a relay may still hold it.
    fn written(&self, version: u64, entries: Value) {
        let Some(unproved) = &self.unproved else { return self.told(&entries) };
        let mut unproved = unproved.lock().unwrap_or_else(PoisonError::into_inner);
        unproved.insert(version, entries);
        while unproved.len() > UNPROVED_MOST {
            unproved.pop_first();
        }
    }

    /// The caller asks for what comes after a version: it has the answers up to that one.
    fn shows(&self, version: u64) {
        let Some(unproved) = &self.unproved else { return };
        let mut unproved = unproved.lock().unwrap_or_else(PoisonError::into_inner);
        let later = unproved.split_off(&(version + 1));
        for entries in std::mem::replace(&mut *unproved, later).values() {
            self.told(entries);
        }
    }

    /// Notes what an answer that went out has told of members: their numbers are their ids'.
    fn told(&self, entries: &Value) {
        for entry in entries.as_array().into_iter().flatten() {
            let id = entry["instanceId"].as_str().and_then(|id| id.rsplit('-').next());
            let Some(index) = id.and_then(|id| u32::from_str_radix(id, 16).ok()) else { continue };
            let on = entry["lifecycle"] != "active";
            self.log.note(What::Drains { proxy: self.proxy, member: index + 1, on });
        }
    }

    fn shown(&self, mut entries: Value) -> Value {
        entries.as_array_mut().into_iter().flatten().for_each(|entry| rewrite_address(entry, &self.seen));
        entries
    }
}

/// How many calls it can take.
struct Desk {
    /// Time that each call costs; zero: none.
    each: Duration,
    /// Calls that may wait; beyond that they are answered with 503.
    queue: usize,
    waiting: AtomicUsize,
    turn: tokio::sync::Mutex<()>,
}

/// Discovery and what it lists. Copies share it.
#[derive(Clone)]
pub struct Registry {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<u64>,
    state: Arc<Mutex<(DiscoveryBehaviour, Calls)>>,
    desk: Arc<Desk>,
}

impl Default for Registry {
    fn default() -> Self {
        Self::with_rate(0.0, usize::MAX)
    }
}

/// An entry of the list.
pub fn entry(index: usize, address: SocketAddr) -> Value {
    json!({"instanceId": format!("s-{index:08x}"), "hostPort": address.to_string(), "zone": "a", "cell": 1,
        "lifecycle": "active", "weight": 1.0, "startedAtMs": 0})
}

/// Whether the caller has closed its connection, or its process has ended.
async fn left(stream: &mut BufReader<TcpStream>) -> bool {
    let mut look = [0];
    let look = stream.get_mut().peek(&mut look);
    matches!(tokio::time::timeout(Duration::ZERO, look).await, Ok(Ok(0) | Err(_)))
}

/// Puts the address that a caller is to see into an entry.
pub fn rewrite_address(entry: &mut Value, seen: &HashMap<String, String>) {
    if let Some(shown) = entry["hostPort"].as_str().and_then(|a| seen.get(a)) {
        entry["hostPort"] = shown.as_str().into();
    }
}

impl Registry {
    /// One that answers so many calls a second, one after the other, and lets so many wait; 0: any number at once.
    pub fn with_rate(rate: f64, queue: usize) -> Self {
        let each = if rate > 0.0 { Duration::from_secs_f64(1.0 / rate) } else { Duration::ZERO };
        let desk = Desk { each, queue, waiting: AtomicUsize::new(0), turn: tokio::sync::Mutex::new(()) };
        Registry {
            list: Arc::new(Mutex::new((1, json!([]), json!([])))),
            changed: watch::channel(1).0,
            state: Arc::default(),
            desk: Arc::new(desk),
        }
    }

    /// Starts it with a whole list; where it listens.
    pub fn start(&self, whole: Value) -> SocketAddr {
        self.with(|list| list.1 = whole);
        self.open(None)
    }

    /// A listener of its own for one caller, that sees members under other addresses. Behind a relay an answer counts as
    /// told only when the caller's next call shows that it has come.
    pub fn listen_for_proxy(
        &self,
        proxy: u32,
        log: Log,
        seen: HashMap<String, String>,
        relayed: bool,
    ) -> SocketAddr {
        let unproved = relayed.then(Arc::default);
        self.open(Some(Door { proxy, log, seen: Arc::new(seen), unproved }))
    }

    /// The whole list is another one, without a word to those that watch.
    pub fn set_list(&self, whole: Value) {
        self.with(|list| list.1 = whole);
    }

    fn open(&self, door: Option<Door>) -> SocketAddr {
        let (listener, address) = listener();
        let this = self.clone();
        runtime().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (this, door) = (this.clone(), door.clone());
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while this.serve(&mut stream, door.as_ref()).await.is_some() {}
                });
            }
        });
        address
    }

    /// Waits for a call's turn; false where too many wait.
    async fn turn(&self) -> bool {
        if self.desk.each.is_zero() {
            return true;
        }
        if self.desk.waiting.fetch_add(1, Ordering::Relaxed) >= self.desk.queue {
            self.desk.waiting.fetch_sub(1, Ordering::Relaxed);
            return false;
        }
        let turn = self.desk.turn.lock().await;
        tokio::time::sleep(self.desk.each).await;
        drop(turn);
        self.desk.waiting.fetch_sub(1, Ordering::Relaxed);
        true
    }

    fn with<R>(&self, f: impl FnOnce(&mut List) -> R) -> R {
        f(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn state(&self) -> MutexGuard<'_, (DiscoveryBehaviour, Calls)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What it does with calls from now on; those that wait are done with so when the list changes.
    pub fn set_behaviour(&self, ill: DiscoveryBehaviour) {
        self.state().0 = ill;
    }

    /// Calls that have come so far.
    pub fn calls(&self) -> Calls {
        self.state().1
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.with(|list| list.0)
    }

    /// The whole list as it stands.
    pub fn list(&self) -> Value {
        self.with(|list| list.1.clone())
    }

    async fn serve(&self, stream: &mut BufReader<TcpStream>, door: Option<&Door>) -> Option<()> {
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
        if let Some(Door { proxy, log, .. }) = door {
            log.note(What::Called { proxy: *proxy, whole: after.is_none() });
        }
        if let (Some(door), Some(after)) = (door, after) {
            door.shows(after);
        }
        let unanswered = || door.map(|d| d.log.note(What::Unanswered { proxy: d.proxy }));
        let ill = || self.state().0;
        // A caller that leaves while it waits has had its turn all the same.
        if !self.turn().await {
            unanswered();
            return stream.write_all(BUSY.as_bytes()).await.ok();
        }
        // Whoever has given up while it waited for its turn does not hear the answer, even if it can be written.
        if left(stream).await {
            unanswered();
            return None;
        }
        if let Some(after) = after.filter(|_| ill() == DiscoveryBehaviour::Well) {
            let mut changes = self.changed.subscribe();
            let newer = changes.wait_for(|version| *version > after);
            let _ = tokio::time::timeout(Duration::from_millis(wait), newer).await;
            // Nor does the watch of a process that was killed meanwhile tell the next one anything.
            if left(stream).await {
                return None;
            }
        }
        let (version, whole, change) = self.with(|list| list.clone());
        // Of changes only the latest is kept: who missed more gets the whole list.
        let (reset, entries) = match after {
            Some(after) if version == after => (false, json!([])),
            Some(after) if version == after + 1 => (false, change),
            // One that has left stands among changes alone.
            _ => (
                true,
                whole
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter(|e| e["lifecycle"] != "left")
                    .cloned()
                    .collect(),
            ),
        };
        let shown = door.map_or(entries.clone(), |d| d.shown(entries.clone()));
        let body = json!({"generation": version, "reset": reset, "instances": shown}).to_string();
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let text = match ill() {
            DiscoveryBehaviour::Well | DiscoveryBehaviour::Hasty => answer(&body),
            DiscoveryBehaviour::Indented => {
                let list = json!({"generation": version, "reset": reset, "instances": shown});
                answer(&format!("{list:#}"))
            }
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
        let sound = matches!(
            ill(),
            DiscoveryBehaviour::Well | DiscoveryBehaviour::Hasty | DiscoveryBehaviour::Indented
        );
        if let Some(door) = door.filter(|_| sound) {
            door.writes(&entries);
        }
        let written = stream.write_all(text.as_bytes()).await.ok();
        match (written.is_some() && sound, door) {
            (true, Some(door)) => door.written(version, entries),
            (false, Some(_)) if written.is_some() => drop(unanswered()),
            _ => {}
        }
        written
    }

    /// One entry's lifecycle changes; watches are told.
    pub fn set_lifecycle(&self, index: usize, lifecycle: &str) {
        self.sets(index, "lifecycle", lifecycle);
    }

    /// A member is to be found at another address; watches are told.
    pub fn set_address(&self, index: usize, address: SocketAddr) {
        self.sets(index, "hostPort", address.to_string());
    }

    /// A member has started now; watches are told.
    pub fn set_started_now(&self, index: usize) {
        self.sets(index, "startedAtMs", crate::now_ms());
    }

    fn sets(&self, index: usize, field: &str, value: impl Into<Value>) {
        let value = value.into();
        let version = self.with(|list| {
            list.1[index][field] = value;
            (list.0, list.2) = (list.0 + 1, json!([list.1[index]]));
            list.0
        });
        self.changed.send_replace(version);
    }
}
