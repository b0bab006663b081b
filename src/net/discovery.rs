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

use super::frames::{read_next, BuffersPartial, ReadEvent};
use super::list_reader::MAX_LIST_ENTRIES;
pub use super::list_reader::{ListReader, MemberNumbers};
use super::socket::Socket;
use super::transient;
use crate::core::counters::{count, Count};
use crate::core::{Input, ListedMember};
use crate::discovery_schedule::{CallSchedule, Delivery, FailedCall, FailedCallAction, ListCall};
use crate::http::{Headers, HttpClient, HttpError, HttpRequest, HttpResponse};
use crate::interface::*;
use bytes::Bytes;
use futures_util::SinkExt;
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
/// Longest list accepted, in bytes: the maximum number of entries at up to 1 KiB, indented or not. The list is read
/// into memory as it arrives.
const MAX_LIST_BYTES: usize = MAX_LIST_ENTRIES * 1024;
/// A request by the module to fetch the list and follow its changes.
#[derive(Debug)]
pub struct ListRequest;

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
    /// The last answer broke off.
    broke_off: bool,
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
            broke_off: false,
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
            // A list that has arrived is read to its end, even if discovery moves meanwhile.
            let list = match answer {
                Ok(body) => self.accept_list(&body).await.ok_or(FailedCall::Refused),
                Err(failure) => Err(failure),
            };
            let failure = list.as_ref().err().copied();
            let (kind, entries) = list.unwrap_or((ListKind::Failed, Vec::new()));
            log::debug!(
                target: LOG_TARGET, failure:? = failure;
                "{kind:?} entries={} generation={} us={}",
                entries.len(),
                self.held.unwrap_or(0),
                began.elapsed().as_micros()
            );
            let failure = self.limit_retries(failure);
            if let Some(failure) = failure {
                count(Count::list_failures);
                (self.connection, self.renewing) = (None, false);
                if self.retries(failure).await {
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

    /// A second answer in a row that broke off counts as refused: a discovery that breaks off all of its answers must
    /// not be called as fast as it answers.
    fn limit_retries(&mut self, failure: Option<FailedCall>) -> Option<FailedCall> {
        let broke_off = failure == Some(FailedCall::BrokenOff);
        match std::mem::replace(&mut self.broke_off, broke_off) && broke_off {
            true => Some(FailedCall::Refused),
            false => failure,
        }
    }

    /// Whether this actor repeats a failed call itself. Waits for the delay before it.
    async fn retries(&mut self, failure: FailedCall) -> bool {
        match self.delivery().after_failure(failure) {
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

    /// Makes one call: for the whole list, or a watch for changes since the version held. Returns the answer's body.
    ///
    /// # Errors
    /// How the call failed.
    async fn call(&mut self) -> Result<Bytes, FailedCall> {
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
            Ok(body) => body,
            // After the process was stopped, a timer can expire before the sockets have been polled.
            Err(_) => {
                tokio::time::timeout(FINAL_READ_TIMEOUT, answer).await.unwrap_or(Err(FailedCall::Silent))
            }
        }
    }

    async fn accept_list(&mut self, body: &[u8]) -> Option<(ListKind, Vec<ListedMember>)> {
        let read = self.lists.read_text(body, self.held).await;
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

    async fn fetch(&mut self, target: String) -> Result<Bytes, FailedCall> {
        // The request is sent only once: repeated, it would be a new watch anyway.
        let address = self.service.borrow().address.clone();
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let connect = transient::connect(address.as_str());
                let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
                let Ok(Ok(stream)) = connected else { return Err(FailedCall::Refused) };
                Framed::new(Socket::new(stream), HttpClient::new(MAX_LIST_BYTES))
            }
        };
        let mut headers = Headers::default();
        headers.add("Host", address.as_str());
        headers.add("Accept", "application/json");
        let method = "GET".to_string();
        let request = HttpRequest { method, target, headers, body: Bytes::new(), connection_close: false };
        connection.send(request).await.map_err(|_| FailedCall::Refused)?;
        let response = read_response(&mut connection).await?;
        if response.status != 200 {
            return Err(FailedCall::Refused);
        }
        if !response.connection_close {
            self.connection = Some(connection);
        }
        Ok(response.body)
    }
}

/// Whether the path to the peer broke, and not the peer itself: an answer may have been written.
fn is_path_error(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable)
}

/// Reads one response.
async fn read_response(connection: &mut Framed<Socket, HttpClient>) -> Result<HttpResponse, FailedCall> {
    let mut begun = false;
    loop {
        match read_next(connection, begun).await {
            ReadEvent::Partial => begun = true,
            ReadEvent::Message(Some(Ok(response))) => return Ok(response),
            ReadEvent::Message(end) => {
                // Its first bytes may have been read together with its end.
                let holds_bytes = !connection.read_buffer().is_empty() || connection.codec().holds_partial();
                let path_broke = matches!(end, Some(Err(HttpError::Io(e))) if is_path_error(&e));
                let broke_off = begun || holds_bytes || path_broke;
                return Err(if broke_off { FailedCall::BrokenOff } else { FailedCall::Refused });
            }
        }
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
