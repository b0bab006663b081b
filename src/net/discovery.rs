//! The actor of the member list: watches from the version held, each renewed at once; the whole list only where none is
//! held. Where discovery is asked it begins when the module says so; where lists are pushed it begins with the process.
//!
//! Where discovery is asked, a failed call is told to the module, which decides when to ask again; a watch that fell
//! silent is opened anew at once (`src/discovery_schedule.rs`). What is held stays, and so does its version,
//! as a whole list costs discovery many times a watch and a large fleet asks all at once. A watch must be renewed
//! within 200 ms of its last answer to go on; this actor hands an answer to the core and calls again with nothing in
//! between but a short pause where an answer came at once and told nothing.
//!
//! When discovery moves, whatever call is open ends at once, and the new address is asked for the whole list: what
//! it has to tell counts as told seconds later, whether it was asked or not. Where all proxies may call at one moment,
//! [`CallSchedule`] says when this one does.

use super::socket::Socket;
use super::transient;
use crate::core::counters::{count, Count};
use crate::core::{Input, ListedMember};
use crate::discovery_schedule::{CallSchedule, Delivery, FailedCallAction, ListCall};
use crate::http::{Headers, HttpClient, HttpRequest};
use crate::interface::*;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value as Json};
use std::collections::{HashMap, HashSet};
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::Framed;

/// The log's target for what becomes of each call.
const LOG: &str = "list";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// For so long after discovery has moved, a failed call is made again at once rather than told to the module, whose
/// pauses would outlast what is left before all counts as told.
const MOVING: Duration = Duration::from_millis(4_000);
const MOVING_PAUSE: Duration = Duration::from_millis(150);
/// Between two calls to an agent that refuses them: what it gets meanwhile counts as told.
const AGENT_PAUSE: Duration = Duration::from_millis(50);
/// What has come already when a call's time is over is still read.
const LAST_LOOK: Duration = Duration::from_millis(10);
/// Least time between two answers to a watch that tell nothing, or the whole list. It must be renewed within 200 ms.
const EMPTY_PAUSE: Duration = Duration::from_millis(150);
/// Most entries taken from one list.
const LIST_ENTRIES_MAX: usize = 4_096;
/// Longest list taken in, in bytes: that many entries of up to 1 KiB, indented or not. It is read into memory as it comes.
const LIST_BYTES_MAX: usize = LIST_ENTRIES_MAX * 1024;
/// Most values in a list. An entry has some twenty; read, each takes tens of bytes, however few stand for it in the text.
const LIST_VALUES_MAX: usize = LIST_ENTRIES_MAX * 32;
/// So many whole lists older than the one held, one after another, and discovery itself has begun anew.
const OLDER_BELIEVED: u32 = 3;

/// The module asks for the list and its changes.
#[derive(Debug)]
pub struct ListRequest;

/// Ids that have left are remembered so long, beyond all that may still know their numbers.
const LEFT_KEPT: Duration = Duration::from_secs(60);

/// Gives members the module's numbers. An id keeps its number while lists name it, and for a while after.
#[derive(Default)]
pub struct MemberNumbers {
    given: HashMap<String, (MemberId, Option<Instant>)>,
    taken: HashSet<MemberId>,
}

impl MemberNumbers {
    /// The number of an id that a list names. Ids that end in eight hex digits are numbered by them, so that all
    /// proxies order members alike; for others a hash does.
    pub fn number_for(&mut self, id: &str) -> MemberId {
        if let Some((known, left)) = self.given.get_mut(id) {
            *left = None;
            return *known;
        }
        let tail = id.len().checked_sub(8).and_then(|at| id.get(at..));
        let hash = || id.bytes().fold(0x811c_9dc5u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut number = MemberId(tail.and_then(|t| u32::from_str_radix(t, 16).ok()).unwrap_or_else(hash));
        while !self.taken.insert(number) {
            number = MemberId(number.0.wrapping_add(1));
        }
        self.given.insert(id.to_string(), (number, None));
        number
    }

    /// After a list: those that have `left`, and in due time they are forgotten, as members are replaced under new
    /// ids without end.
    pub fn release_departed(&mut self, left: impl Fn(MemberId) -> bool, now: Instant) {
        let taken = &mut self.taken;
        self.given.retain(|_, (number, since)| {
            if since.is_none() && left(*number) {
                *since = Some(now);
            }
            let keep = since.is_none_or(|t| now < t + LEFT_KEPT);
            if !keep {
                taken.remove(number);
            }
            keep
        });
    }

    /// How many ids are remembered.
    pub fn count(&self) -> usize {
        self.given.len()
    }
}

/// Reads lists as discovery words them.
pub struct ListReader {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// MemberNumbers given so far.
    pub numbers: MemberNumbers,
    /// Whole lists dropped as older than the one held, one after another.
    older: u32,
}

impl ListReader {
    /// A reader that knows the zones' names.
    pub fn new(zones: Vec<String>) -> Self {
        ListReader { zones, numbers: MemberNumbers::default(), older: 0 }
    }

    /// The list's version, whether it is whole, and its entries; none where it is not to be used, above all where it
    /// is older than the version `held`. Entries that cannot be read are skipped and counted.
    pub fn read(&mut self, json: &Json, held: Option<u64>) -> Option<(u64, bool, Vec<ListedMember>)> {
        let version = json.get("generation")?.as_u64()?;
        let whole = json.get("reset").and_then(Json::as_bool).unwrap_or(false);
        let items = json.get("instances")?.as_array()?;
        let older = held.is_some_and(|held| version < held);
        self.older = if older && whole { self.older + 1 } else { 0 };
        if older && self.older < OLDER_BELIEVED || items.len() > LIST_ENTRIES_MAX {
            return None;
        }
        self.older = 0;
        let mut entries = Vec::new();
        for item in items {
            match self.entry(item) {
                Some(entry) => entries.push(entry),
                None => {
                    count(Count::list_bad_entries);
                    log::warn!("an entry of the list cannot be read: {item}");
                }
            }
        }
        let named: HashMap<MemberId, ServiceState> =
            entries.iter().map(|e| (e.member.id, e.member.service_state)).collect();
        let left = |id| match named.get(&id) {
            Some(service_state) => *service_state == ServiceState::Removed,
            None => whole,
        };
        self.numbers.release_departed(left, Instant::now());
        Some((version, whole, entries))
    }

    fn entry(&mut self, item: &Json) -> Option<ListedMember> {
        let text = |name: &str| item.get(name).and_then(Json::as_str);
        let service_state = match text("lifecycle")? {
            "active" => ServiceState::Active,
            "leaving" => ServiceState::Draining,
            "left" => ServiceState::Removed,
            _ => return None,
        };
        let zone = text("zone").and_then(|z| self.zones.iter().position(|n| n == z));
        let id = text("instanceId")?;
        let started = item.get("startedAtMs").and_then(Json::as_u64).filter(|ms| *ms > 0);
        Some(ListedMember {
            name: id.into(),
            address: text("hostPort")?.parse().ok()?,
            member: Member {
                id: self.numbers.number_for(id),
                zone: zone.map_or(u32::MAX, |z| z as u32),
                group: item.get("cell")?.as_u64()?,
                service_state,
                primary: text("mode") == Some("read-write"),
                up_since: started.map(|ms| ms.saturating_mul(1000)),
            },
        })
    }
}

/// No fewer values than this JSON text holds: each but the first follows one of these.
fn values(body: &[u8]) -> usize {
    body.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count()
}

/// A list as discovery words it, for a later start.
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

/// Where discovery is, and how many proxies call there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DiscoveryService {
    /// Host and port.
    pub address: String,
    /// Proxies, this one included.
    pub proxies: u32,
    /// Whether they all call there.
    pub delivery: Delivery,
}

/// Waits until discovery moves. Told the same address again, a call for the whole list that is due or open there goes on: it
/// brings what a new one would.
async fn moves(service: &mut watch::Receiver<DiscoveryService>, calling: Option<String>) {
    loop {
        if service.changed().await.is_err() {
            return std::future::pending().await;
        }
        if calling.as_ref() != Some(&service.borrow_and_update().address) {
            return;
        }
    }
}

/// The actor's state.
pub struct Discovery {
    /// Where the version that is held is told.
    pub version: Arc<AtomicU64>,
    service: watch::Receiver<DiscoveryService>,
    listing: CallSchedule,
    /// Until the next call.
    pause: Duration,
    lists: ListReader,
    core: mpsc::Sender<Input>,
    link: Option<Framed<Socket, HttpClient>>,
    /// Version of the list that is held.
    after: Option<u64>,
    moving: Option<Instant>,
    /// When discovery first moved since it last told a list.
    unlisted_since: Option<Instant>,
    /// The next call comes right behind an answer.
    renews: bool,
    /// Discovery has answered since the process started.
    confirmed: bool,
}

impl Discovery {
    /// One that has not called yet, and holds the list of this version. Whatever is sent to `service`, even the same
    /// again, counts as a move.
    pub fn new(
        service: watch::Receiver<DiscoveryService>,
        listing: CallSchedule,
        lists: ListReader,
        held: Option<u64>,
        core: mpsc::Sender<Input>,
    ) -> Self {
        let told = Arc::new(AtomicU64::new(held.unwrap_or(0)));
        let pause = Duration::ZERO;
        Discovery {
            version: told,
            service,
            listing,
            pause,
            lists,
            core,
            link: None,
            after: held,
            moving: None,
            unlisted_since: None,
            renews: false,
            confirmed: false,
        }
    }

    /// Runs until the core is gone.
    pub async fn run(mut self, mut asked: mpsc::Receiver<ListRequest>) {
        // One receiver for the whole run: what it has heard of is no move a second time.
        let mut service = self.service.clone();
        while self.begin(&mut asked, &mut service).await {
            if !self.follow(&mut asked, &mut service).await {
                return;
            }
        }
    }

    /// Waits for a reason to call, where not each moment is one; false once the core is gone.
    async fn begin(
        &mut self,
        asked: &mut mpsc::Receiver<ListRequest>,
        service: &mut watch::Receiver<DiscoveryService>,
    ) -> bool {
        if self.delivery() != Delivery::Queried {
            return !self.core.is_closed();
        }
        tokio::select! {
            asks = asked.recv() => return asks.is_some(),
            Ok(()) = service.changed() => self.moved(),
        }
        true
    }

    /// Calls and hands on what comes, up to a failure that the module is told of; false once the core is gone.
    async fn follow(
        &mut self,
        asked: &mut mpsc::Receiver<ListRequest>,
        service: &mut watch::Receiver<DiscoveryService>,
    ) -> bool {
        loop {
            // Asked again while it watches: that is one more answer that comes by itself.
            while asked.try_recv().is_ok() {}
            let (began, first) = (Instant::now() + self.pause, self.after.is_none());
            let confirmed = self.confirmed;
            let calling = first.then(|| self.service.borrow().address.clone());
            let told = tokio::select! {
                biased;
                () = moves(service, calling) => {
                    self.moved();
                    continue;
                }
                told = self.call() => told,
            };
            let silent = told.is_none();
            let (kind, entries) = told.flatten().unwrap_or((ListKind::Failed, Vec::new()));
            log::debug!(
                target: LOG,
                "{kind:?} entries={} generation={} us={}",
                entries.len(),
                self.after.unwrap_or(0),
                began.elapsed().as_micros()
            );
            if kind == ListKind::Failed {
                count(Count::list_failures);
                (self.link, self.renews) = (None, false);
                if self.calls_again(silent).await {
                    continue;
                }
            }
            self.moving = None;
            // A watch, which may be answered with a whole list, too, takes as long as nothing happens.
            if first && kind == ListKind::Full {
                let took = began.elapsed().as_micros() as Time;
                self.pause = Duration::from_micros(self.listing.delay_after_list(self.callers(), took));
            }
            // A service that does not wait would be asked as fast as it answers; a watch goes on after this pause.
            let nothing = entries.is_empty() || kind == ListKind::Full;
            if !first && confirmed && nothing && began.elapsed() < EMPTY_PAUSE {
                tokio::time::sleep(EMPTY_PAUSE).await;
            }
            if self.core.send(Input::List(kind, entries)).await.is_err() {
                return false;
            }
            if kind == ListKind::Failed {
                // Asked again while the call was open: the pause that the module takes now holds for that, too.
                while asked.try_recv().is_ok() {}
                return true;
            }
        }
    }

    /// After a failed call: whether the next is this actor's own to make, and its time has come.
    async fn calls_again(&mut self, silent: bool) -> bool {
        match self.delivery().after_failure(silent) {
            FailedCallAction::RetryNow => return !self.core.is_closed(),
            FailedCallAction::RetryAfterPause => tokio::time::sleep(AGENT_PAUSE).await,
            FailedCallAction::ReportFailure if self.moving.is_some_and(|since| since.elapsed() < MOVING) => {
                tokio::time::sleep(MOVING_PAUSE).await;
            }
            FailedCallAction::ReportFailure => return false,
        }
        !self.core.is_closed()
    }

    fn delivery(&self) -> Delivery {
        self.service.borrow().delivery
    }

    /// Proxies that call where this one does.
    fn callers(&self) -> u32 {
        let service = self.service.borrow();
        service.delivery.callers(service.proxies)
    }

    /// The old address has nothing more to say: its connection goes, and with it the watch.
    fn moved(&mut self) {
        (self.link, self.after, self.renews) = (None, None, false);
        let waited = self.unlisted_since.get_or_insert_with(Instant::now).elapsed().as_micros() as Time;
        self.pause = Duration::from_micros(self.listing.delay_after_move(self.callers(), waited));
        self.moving = Some(Instant::now() + self.pause);
        count(Count::list_moves);
    }

    /// One call: the whole list, or a watch on what comes after the last. None where nothing came in its time, nothing
    /// within that where what came is no use.
    async fn call(&mut self) -> Option<Option<(ListKind, Vec<ListedMember>)>> {
        // A sleep of no length takes up to a millisecond.
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause).await;
            (self.pause, self.renews) = (Duration::ZERO, false);
        }
        let delivery = self.delivery();
        let (target, call) = match self.after {
            None => ("/api/targets".to_string(), ListCall::FullList),
            Some(version) => {
                let call = match (self.confirmed, self.renews) {
                    (false, _) => ListCall::Confirm,
                    (true, true) => ListCall::Renewal,
                    (true, false) => ListCall::Watch,
                };
                let wait = delivery.wait(call) / 1000;
                (format!("/api/targets?after={version}&wait_ms={wait}"), call)
            }
        };
        let most = Duration::from_micros(delivery.timeout(call));
        let got = {
            let mut answer = pin!(self.get(target));
            match tokio::time::timeout(most, answer.as_mut()).await {
                Ok(got) => got,
                // A process that stood still finds its timer over before it has looked at its sockets.
                Err(_) => tokio::time::timeout(LAST_LOOK, answer).await.ok()?,
            }
        };
        Some(got.and_then(|body| self.take(&body)))
    }

    fn take(&mut self, body: &[u8]) -> Option<(ListKind, Vec<ListedMember>)> {
        let json = Some(body).filter(|body| values(body) <= LIST_VALUES_MAX);
        let json = json.and_then(|body| serde_json::from_slice(body).ok());
        let read = json.and_then(|json| self.lists.read(&json, self.after));
        if read.is_none() {
            count(Count::list_dropped);
            log::warn!(target: LOG, "a list of {} bytes is cut off, unreadable, too long or old; dropped", body.len());
        }
        let (version, whole, entries) = read?;
        (self.after, self.renews, self.confirmed) = (Some(version), true, true);
        self.unlisted_since = None;
        self.version.store(version, Ordering::Relaxed);
        count(Count::list_answers);
        Some((if whole { ListKind::Full } else { ListKind::Changes }, entries))
    }

    async fn get(&mut self, target: String) -> Option<Bytes> {
        // A call goes out once: a second one would be a new watch anyway.
        let address = self.service.borrow().address.clone();
        let mut link = match self.link.take() {
            Some(link) => link,
            None => {
                let connect = transient::connect(address.as_str());
                let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
                Framed::new(Socket::new(stream), HttpClient::new(LIST_BYTES_MAX))
            }
        };
        let mut headers = Headers::default();
        headers.add("Host", address.as_str());
        headers.add("Accept", "application/json");
        let method = "GET".to_string();
        let request = HttpRequest { method, target, headers, body: Bytes::new(), connection_close: false };
        link.send(request).await.ok()?;
        let response = link.next().await?.ok()?;
        if response.status != 200 {
            return None;
        }
        if !response.connection_close {
            self.link = Some(link);
        }
        Some(response.body)
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
