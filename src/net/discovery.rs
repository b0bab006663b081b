//! The actor that keeps the member list up to date. It fetches the whole list only if it holds none, and otherwise
//! watches for changes from the version that it holds, renewing the watch after each answer. Where discovery is
//! polled, it starts when the module requests it; where an agent pushes the lists, it starts with the process.
//!
//! Where discovery is polled, failed calls are reported to the module, which decides when to call again; a watch
//! that timed out is renewed at once (`src/discovery_schedule.rs`). The current list and its version are kept on failure, as a
//! whole list costs discovery many times as much as a watch and all proxies of a large fleet may ask at the same
//! time. Discovery ends a watch that is not renewed within 200 ms of its last answer, so this actor passes each
//! answer to the core and calls again at once, except for a short pause after an answer that came immediately and
//! was empty.
//!
//! When discovery moves, the open call is aborted and the whole list is fetched from the new address: a few seconds
//! later the proxy is assumed to know that list, whether it has fetched it or not. When all proxies may call at the
//! same moment, [`CallSchedule`] spreads the calls.

use super::socket::Socket;
use super::transient;
use crate::core::counters::{count, Count};
use crate::core::work_time::{self, Work};
use crate::core::{Input, ListedMember};
use crate::discovery_schedule::{CallSchedule, Delivery, FailedCallAction, ListCall};
use crate::http::{Headers, HttpClient, HttpRequest};
use crate::interface::*;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{json, Value as Json};
use std::borrow::Cow;
use std::cell::Cell;
use std::fmt::{self, Display};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// Log target for the outcome of each call.
const LOG_TARGET: &str = "list";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// For this long after discovery has moved, a failed call is repeated here instead of being reported to the module.
/// The module's delays would exceed the time after which the proxy is assumed to know the list.
const MOVE_RETRY_PERIOD: Duration = Duration::from_millis(4_000);
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before calling an agent again that refused the call. The proxy is assumed to know what the agent receives
/// meanwhile.
const AGENT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for reading an answer that has already arrived when the call times out.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(10);
/// Minimum time between two answers to a watch that are empty or a whole list. A watch must be renewed within 200
/// ms.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Most entries accepted in one list.
const MAX_LIST_ENTRIES: usize = 4_096;
/// Longest list accepted, in bytes: the maximum number of entries at up to 1 KiB, indented or not. The list is read
/// into memory as it arrives.
const MAX_LIST_BYTES: usize = MAX_LIST_ENTRIES * 1024;
/// Most JSON values accepted in a list. An entry has about twenty; in memory each takes tens of bytes, however
/// short its text is.
const MAX_LIST_VALUES: usize = MAX_LIST_ENTRIES * 32;
/// An older whole list is accepted when this many have arrived in a row: discovery itself has restarted its
/// versions.
const ACCEPT_OLDER_AFTER: u32 = 3;

/// A request by the module to fetch the list and follow its changes.
#[derive(Debug)]
pub struct ListRequest;

/// How long departed ids keep their numbers. Nothing refers to a number for longer than this.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Maps member ids to the numbers that the module uses. An id keeps its number while lists name it, and for a while
/// after.
#[derive(Default)]
pub struct MemberNumbers {
    by_id: FxHashMap<Arc<str>, (MemberId, Option<Instant>)>,
    in_use: FxHashSet<MemberId>,
}

impl MemberNumbers {
    /// Returns the number of an id named by a list. An id that ends in eight hex digits gets these as its number,
    /// so that all proxies order members alike; other ids are hashed.
    pub fn number_for(&mut self, id: &str) -> MemberId {
        self.identify(id).1
    }

    /// As [`MemberNumbers::number_for`], with the id as it is stored here.
    fn identify(&mut self, id: &str) -> (Arc<str>, MemberId) {
        if let Some((stored, (number, _))) = self.by_id.get_key_value(id) {
            let found = (stored.clone(), *number);
            if let Some((_, left)) = self.by_id.get_mut(id) {
                *left = None;
            }
            return found;
        }
        let suffix = id.len().checked_sub(8).and_then(|at| id.get(at..));
        let hash = || id.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut number = MemberId(suffix.and_then(|t| u32::from_str_radix(t, 16).ok()).unwrap_or_else(hash));
        while !self.in_use.insert(number) {
            number = MemberId(number.0.wrapping_add(1));
        }
        let stored: Arc<str> = id.into();
        self.by_id.insert(stored.clone(), (number, None));
        (stored, number)
    }

    /// Updates the ids after a list, given a predicate for those that have `left`. Departed ids are dropped after a
    /// while, as members are replaced under new ids all the time.
    pub fn release_departed(&mut self, left: impl Fn(MemberId) -> bool, now: Instant) {
        let in_use = &mut self.in_use;
        self.by_id.retain(|_, (number, since)| {
            if since.is_none() && left(*number) {
                *since = Some(now);
            }
            let keep = since.is_none_or(|t| now < t + DEPARTED_RETENTION);
            if !keep {
                in_use.remove(number);
            }
            keep
        });
    }

    /// The number of ids that have a number.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }
}

/// Parses lists in discovery's format.
pub struct ListReader {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// Numbers assigned so far.
    pub numbers: MemberNumbers,
    /// Whole lists in a row that were dropped for being older than the one held.
    older: u32,
    /// The entries of the last whole list, by their text: most of the next one's are the same.
    parsed: FxHashMap<Box<str>, ListedMember>,
}

impl ListReader {
    /// Creates a reader with the names of the zones.
    pub fn new(zones: Vec<String>) -> Self {
        ListReader { zones, numbers: MemberNumbers::default(), older: 0, parsed: FxHashMap::default() }
    }

    /// Returns the list's version, whether the list is whole, and its entries. Returns `None` for a list that must
    /// not be used, such as one older than the version `held`. Invalid entries are skipped and counted.
    pub fn read(&mut self, json: &Json, held: Option<u64>) -> Option<(u64, bool, Vec<ListedMember>)> {
        let version = json.get("generation")?.as_u64()?;
        let whole = json.get("reset").and_then(Json::as_bool).unwrap_or(false);
        let items = json.get("instances")?.as_array()?;
        self.admit(version, whole, items.len(), held)?;
        let entries: Vec<ListedMember> =
            items.iter().filter_map(|item| self.entry(ListEntry::deserialize(item), item)).collect();
        self.release_departed(whole, &entries);
        Some((version, whole, entries))
    }

    /// As [`ListReader::read`], from text. Lets other tasks run between parts of a long list.
    async fn read_text(&mut self, text: &[u8], held: Option<u64>) -> Option<(u64, bool, Vec<ListedMember>)> {
        let ListText { generation, reset, instances } = serde_json::from_slice(text).ok()?;
        let (version, whole) = (generation.as_u64()?, reset.as_bool().unwrap_or(false));
        self.admit(version, whole, instances.len(), held)?;
        let mut entries = Vec::with_capacity(instances.len());
        let mut parsed = FxHashMap::default();
        let _reading = ReadingList::begin();
        for (n, part) in instances.chunks(ENTRIES_PER_PART).enumerate() {
            if n > 0 {
                tokio::task::yield_now().await;
            }
            let began = std::time::Instant::now();
            for item in part {
                let Some((text, entry)) = self.entry_from_text(item) else { continue };
                entries.push(entry.clone());
                if whole {
                    parsed.insert(text, entry);
                }
            }
            work_time::record(Work::ListRead, began, || format!("{} entries of a list", part.len()));
        }
        self.release_departed(whole, &entries);
        if whole {
            self.parsed = parsed;
        }
        Some((version, whole, entries))
    }

    /// Returns an entry with its text, which is parsed unless the last whole list had it, too.
    fn entry_from_text(&mut self, text: &RawValue) -> Option<(Box<str>, ListedMember)> {
        if let Some((text, entry)) = self.parsed.remove_entry(text.get()) {
            // The number may have been given up in the meantime, if a list of changes removed the member.
            if self.numbers.identify(&entry.name).1 == entry.member.id {
                return Some((text, entry));
            }
        }
        let entry = self.entry(serde_json::from_str(text.get()), &text)?;
        Some((text.get().into(), entry))
    }

    /// Whether a list of this version and length may be used.
    fn admit(&mut self, version: u64, whole: bool, length: usize, held: Option<u64>) -> Option<()> {
        let older = held.is_some_and(|held| version < held);
        self.older = if older && whole { self.older + 1 } else { 0 };
        if older && self.older < ACCEPT_OLDER_AFTER || length > MAX_LIST_ENTRIES {
            return None;
        }
        self.older = 0;
        Some(())
    }

    fn release_departed(&mut self, whole: bool, entries: &[ListedMember]) {
        let named: FxHashMap<MemberId, ServiceState> =
            entries.iter().map(|e| (e.member.id, e.member.service_state)).collect();
        let left = |id| match named.get(&id) {
            Some(service_state) => *service_state == ServiceState::Removed,
            None => whole,
        };
        self.numbers.release_departed(left, Instant::now());
    }

    /// Returns an entry; one that cannot be used is counted and logged.
    fn entry(&mut self, parsed: serde_json::Result<ListEntry>, text: &dyn Display) -> Option<ListedMember> {
        let entry = parsed.ok().and_then(|entry| self.listed_member(&entry));
        if entry.is_none() {
            count(Count::list_bad_entries);
            log::warn!("skipping an invalid entry of the member list: {text}");
        }
        entry
    }

    fn listed_member(&mut self, entry: &ListEntry) -> Option<ListedMember> {
        let service_state = match entry.lifecycle.text()? {
            "active" => ServiceState::Active,
            "leaving" => ServiceState::Draining,
            "left" => ServiceState::Removed,
            _ => return None,
        };
        let zone = entry.zone.text().and_then(|z| self.zones.iter().position(|n| n == z));
        let id = entry.instance_id.text()?;
        let address = entry.host_port.text()?.parse().ok()?;
        let group = entry.cell.number()?;
        let started = entry.started_at_ms.number().filter(|ms| *ms > 0);
        let (name, id) = self.numbers.identify(id);
        Some(ListedMember {
            name,
            address,
            member: Member {
                id,
                zone: zone.map_or(u32::MAX, |z| z as u32),
                group,
                service_state,
                primary: entry.mode.text() == Some("read-write"),
                up_since: started.map(|ms| ms.saturating_mul(1000)),
            },
        })
    }
}

thread_local! {
    static READING_LIST: Cell<bool> = const { Cell::new(false) };
}

/// Whether a part of a list that has arrived is still to be read on this thread.
pub fn is_reading_list() -> bool {
    READING_LIST.get()
}

/// Marks that a list is being read until dropped.
struct ReadingList;

impl ReadingList {
    fn begin() -> Self {
        READING_LIST.set(true);
        ReadingList
    }
}

impl Drop for ReadingList {
    fn drop(&mut self) {
        READING_LIST.set(false);
    }
}

/// Entries of a list that are read before other tasks may run.
const ENTRIES_PER_PART: usize = 64;

/// A list, its entries not parsed yet.
#[derive(Deserialize)]
struct ListText<'a> {
    generation: Json,
    #[serde(default)]
    reset: Json,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// An entry of a list. A field of another type than expected counts as missing.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListEntry<'a> {
    #[serde(borrow, default)]
    instance_id: Field<'a>,
    #[serde(borrow, default)]
    host_port: Field<'a>,
    #[serde(borrow, default)]
    zone: Field<'a>,
    #[serde(borrow, default)]
    cell: Field<'a>,
    #[serde(borrow, default)]
    lifecycle: Field<'a>,
    #[serde(borrow, default)]
    mode: Field<'a>,
    #[serde(borrow, default)]
    started_at_ms: Field<'a>,
}

/// The value of a field.
#[derive(Default)]
enum Field<'a> {
    Number(u64),
    Text(Cow<'a, str>),
    #[default]
    Other,
}

impl<'de: 'a, 'a> Deserialize<'de> for Field<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(FieldVisitor)
    }
}

struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = Field<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Field::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Field::Text(Cow::Owned(text.to_string())))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Field::Number(number))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(Field::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, values: A) -> Result<Self::Value, A::Error> {
        IgnoredAny.visit_seq(values).map(|_| Field::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        IgnoredAny.visit_map(fields).map(|_| Field::Other)
    }
}

impl Field<'_> {
    fn text(&self) -> Option<&str> {
        if let Field::Text(text) = self {
            Some(text)
        } else {
            None
        }
    }

    fn number(&self) -> Option<u64> {
        if let Field::Number(number) = self {
            Some(*number)
        } else {
            None
        }
    }
}

/// A lower bound of the number of values in a JSON text: each value but the first follows one of these bytes.
fn min_value_count(body: &[u8]) -> usize {
    body.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count()
}

/// Formats a list as discovery does, to be stored for a later start.
pub fn list_to_json(entries: &[ListedMember], version: u64, zones: &[String]) -> Json {
    let entry = |ListedMember { name, address, member }: &ListedMember| {
        let lifecycle = if member.service_state == ServiceState::Draining { "leaving" } else { "active" };
        json!({"instanceId": &**name, "hostPort": address.to_string(), "cell": member.group,
            "zone": zones.get(member.zone as usize), "lifecycle": lifecycle,
            "startedAtMs": member.up_since.unwrap_or(0) / 1000})
    };
    let entries: Vec<Json> = entries.iter().map(entry).collect();
    json!({"generation": version, "reset": true, "instances": entries})
}

/// The address of discovery, and the proxies that call it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveryService {
    /// Host and port.
    pub address: String,
    /// Number of proxies, including this one.
    pub proxies: u32,
    /// Whether all proxies call this address.
    pub delivery: Delivery,
}

/// Waits until discovery moves. A notification of the same address does not interrupt a pending or open call for
/// the whole list to that address (`calling`), as a new call would bring the same list.
async fn wait_for_move(service: &mut watch::Receiver<DiscoveryService>, calling: Option<String>) {
    loop {
        if service.changed().await.is_err() {
            return std::future::pending().await;
        }
        if calling.as_ref() != Some(&service.borrow_and_update().address) {
            return;
        }
    }
}

/// The state of the actor.
pub struct Discovery {
    /// The version of the list that is held, for readers outside the actor.
    pub version: Arc<AtomicU64>,
    service: watch::Receiver<DiscoveryService>,
    listing: CallSchedule,
    /// Delay before the next call.
    pause: Duration,
    lists: ListReader,
    core: mpsc::Sender<Input>,
    connection: Option<Framed<Socket, HttpClient>>,
    /// Version of the list that is held.
    held: Option<u64>,
    moved_at: Option<Instant>,
    /// When discovery first moved since the last list arrived.
    unlisted_since: Option<Instant>,
    /// The next call follows an answer directly.
    renewing: bool,
    /// Discovery has answered since the process started.
    confirmed: bool,
}

impl Discovery {
    /// Creates an actor that holds the list of version `held` and has not called yet. Every value sent to `service`
    /// counts as a move, even an equal one.
    pub fn new(
        service: watch::Receiver<DiscoveryService>,
        listing: CallSchedule,
        lists: ListReader,
        held: Option<u64>,
        core: mpsc::Sender<Input>,
    ) -> Self {
        let version = Arc::new(AtomicU64::new(held.unwrap_or(0)));
        let pause = Duration::ZERO;
        Discovery {
            version,
            service,
            listing,
            pause,
            lists,
            core,
            connection: None,
            held,
            moved_at: None,
            unlisted_since: None,
            renewing: false,
            confirmed: false,
        }
    }

    /// Runs until the core is gone.
    pub async fn run(mut self, mut requests: mpsc::Receiver<ListRequest>) {
        // A single receiver for the whole run, so that a move is not seen twice.
        let mut service = self.service.clone();
        while self.wait_for_start(&mut requests, &mut service).await {
            if !self.call_until_failure(&mut requests, &mut service).await {
                return;
            }
        }
    }

    /// Waits for a reason to call; where lists are pushed, every moment is one. Returns `false` once the core is
    /// gone.
    async fn wait_for_start(
        &mut self,
        requests: &mut mpsc::Receiver<ListRequest>,
        service: &mut watch::Receiver<DiscoveryService>,
    ) -> bool {
        if self.delivery() != Delivery::Queried {
            return !self.core.is_closed();
        }
        tokio::select! {
            request = requests.recv() => return request.is_some(),
            Ok(()) = service.changed() => self.on_move(),
        }
        true
    }

    /// Calls and passes the answers to the core, until a failure that is reported to the module. Returns `false`
    /// once the core is gone.
    async fn call_until_failure(
        &mut self,
        requests: &mut mpsc::Receiver<ListRequest>,
        service: &mut watch::Receiver<DiscoveryService>,
    ) -> bool {
        loop {
            // The module has requested the list again during a watch; the watch's next answer covers the request.
            while requests.try_recv().is_ok() {}
            let (began, whole) = (Instant::now() + self.pause, self.held.is_none());
            let confirmed = self.confirmed;
            let calling = whole.then(|| self.service.borrow().address.clone());
            let answer = tokio::select! {
                biased;
                () = wait_for_move(service, calling) => {
                    self.on_move();
                    continue;
                }
                answer = self.call() => answer,
            };
            let silent = answer.is_none();
            // A list that has arrived is read to its end, even if discovery moves meanwhile.
            let list = match answer.flatten() {
                Some(body) => self.accept_list(&body).await,
                None => None,
            };
            let (kind, entries) = list.unwrap_or((ListKind::Failed, Vec::new()));
            log::debug!(
                target: LOG_TARGET,
                "{kind:?} entries={} generation={} us={}",
                entries.len(),
                self.held.unwrap_or(0),
                began.elapsed().as_micros()
            );
            if kind == ListKind::Failed {
                count(Count::list_failures);
                (self.connection, self.renewing) = (None, false);
                if self.retries(silent).await {
                    continue;
                }
            }
            self.moved_at = None;
            // Only a call for the whole list is timed: a watch, even if answered with a whole list, lasts until
            // something changes.
            if whole && kind == ListKind::Full {
                let took = began.elapsed().as_micros() as Time;
                self.pause = Duration::from_micros(self.listing.delay_after_list(self.callers(), took));
            }
            // A service that answers watches immediately would be called as fast as it answers. The watch survives
            // this pause.
            let no_change = entries.is_empty() || kind == ListKind::Full;
            if !whole && confirmed && no_change && began.elapsed() < MIN_WATCH_INTERVAL {
                tokio::time::sleep(MIN_WATCH_INTERVAL).await;
            }
            if self.core.send(Input::List(kind, entries)).await.is_err() {
                return false;
            }
            if kind == ListKind::Failed {
                // Requests that arrived during the call are covered by the module's delay after the failure.
                while requests.try_recv().is_ok() {}
                return true;
            }
        }
    }

    /// Whether this actor repeats a failed call itself. Waits for the delay before it.
    async fn retries(&mut self, silent: bool) -> bool {
        match self.delivery().after_failure(silent) {
            FailedCallAction::RetryNow => return !self.core.is_closed(),
            FailedCallAction::RetryAfterPause => tokio::time::sleep(AGENT_RETRY_INTERVAL).await,
            FailedCallAction::ReportFailure
                if self.moved_at.is_some_and(|since| since.elapsed() < MOVE_RETRY_PERIOD) =>
            {
                tokio::time::sleep(MOVE_RETRY_INTERVAL).await;
            }
            FailedCallAction::ReportFailure => return false,
        }
        !self.core.is_closed()
    }

    fn delivery(&self) -> Delivery {
        self.service.borrow().delivery
    }

    /// The number of proxies that call the same service.
    fn callers(&self) -> u32 {
        let service = self.service.borrow();
        service.delivery.callers(service.proxies)
    }

    /// Drops the connection to the former address, and with it the watch.
    fn on_move(&mut self) {
        (self.connection, self.held, self.renewing) = (None, None, false);
        let waited = self.unlisted_since.get_or_insert_with(Instant::now).elapsed().as_micros() as Time;
        self.pause = Duration::from_micros(self.listing.delay_after_move(self.callers(), waited));
        self.moved_at = Some(Instant::now() + self.pause);
        count(Count::list_moves);
    }

    /// Makes one call: for the whole list, or a watch for changes since the version held. Returns `None` if the
    /// call timed out, and `Some(None)` if the answer is unusable.
    async fn call(&mut self) -> Option<Option<Bytes>> {
        // Even a sleep of zero length takes up to a millisecond.
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause).await;
            (self.pause, self.renewing) = (Duration::ZERO, false);
        }
        let delivery = self.delivery();
        let (target, call) = match self.held {
            None => ("/api/targets".to_string(), ListCall::FullList),
            Some(version) => {
                let call = match (self.confirmed, self.renewing) {
                    (false, _) => ListCall::Confirm,
                    (true, true) => ListCall::Renewal,
                    (true, false) => ListCall::Watch,
                };
                let wait = delivery.wait(call) / 1000;
                (format!("/api/targets?after={version}&wait_ms={wait}"), call)
            }
        };
        let timeout = Duration::from_micros(delivery.timeout(call));
        let mut answer = pin!(self.fetch(target));
        match tokio::time::timeout(timeout, answer.as_mut()).await {
            Ok(body) => Some(body),
            // After the process was stopped, a timer can expire before the sockets have been polled.
            Err(_) => tokio::time::timeout(FINAL_READ_TIMEOUT, answer).await.ok(),
        }
    }

    async fn accept_list(&mut self, body: &[u8]) -> Option<(ListKind, Vec<ListedMember>)> {
        let read = match min_value_count(body) <= MAX_LIST_VALUES {
            true => self.lists.read_text(body, self.held).await,
            false => None,
        };
        if read.is_none() {
            count(Count::list_dropped);
            log::warn!(
                target: LOG_TARGET,
                "dropping a list of {} bytes: truncated, invalid, too long or too old",
                body.len()
            );
        }
        let (version, whole, entries) = read?;
        (self.held, self.renewing, self.confirmed) = (Some(version), true, true);
        self.unlisted_since = None;
        self.version.store(version, Ordering::Relaxed);
        count(Count::list_answers);
        Some((if whole { ListKind::Full } else { ListKind::Changes }, entries))
    }

    async fn fetch(&mut self, target: String) -> Option<Bytes> {
        // The request is sent only once: repeated, it would be a new watch anyway.
        let address = self.service.borrow().address.clone();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let connect = transient::connect(address.as_str());
                let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
                Framed::new(Socket::new(stream), HttpClient::new(MAX_LIST_BYTES))
            }
        };
        let mut headers = Headers::default();
        headers.add("Host", address.as_str());
        headers.add("Accept", "application/json");
        let method = "GET".to_string();
        let request = HttpRequest { method, target, headers, body: Bytes::new(), connection_close: false };
        connection.send(request).await.ok()?;
        let response = connection.next().await?.ok()?;
        if response.status != 200 {
            return None;
        }
        if !response.connection_close {
            self.connection = Some(connection);
        }
        Some(response.body)
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
