//! The clients of a run. Each client has a session and a home proxy, and sends one request after another in the mix
//! of classes that real users send. It retries when it is refused with a retry delay, and switches to another proxy
//! when its own does not answer.

use super::events::{Effect, EventKind, Micros, ReadGuarantee, RequestEnd};
use super::script::RetryHabits;
use super::world::World;
use crate::client::{request_id, ClientAnswer, ClientRequest, PgClient, StatementFields};
use crate::proxy::CLASSES;
use crate::wire;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Of 94 requests that are no writes, so many are reads of the first class, and of the first two.
const READS_OF_100: u32 = 94;
const FIRST_CLASS_UNTIL: u32 = 43;
const SECOND_CLASS_UNTIL: u32 = 71;
/// Maximum retry delay, in ms; longer advice of the proxy is shortened to this.
const RETRY_DELAY_MAX_MS: u64 = 500;
/// A client whose proxy does not answer switches to another proxy after this time.
const SWITCH_DELAY: Duration = Duration::from_millis(20);
/// One request in this many is sent to another proxy.
const SWITCH_ONE_IN: u64 = 50;
/// Maximum age of the data of a bounded read: 3 s, plus 2 ms as positions are reported in whole ms.
const BOUNDED_READ_AGE: Micros = 3_000_000 + 2_000;
/// How much longer a client waits after the time at which an answer counts as late.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1_000);

/// A client that disconnects before its answer does so within this time, in ms.
const LEAVE_DELAY_MAX_MS: u64 = 250;
/// How long a bad client waits for its error or close.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum pause of a bad or idle client between two connections, in ms.
const BAD_CLIENT_PAUSE_MS: u64 = 400;

/// Pause between two surges, in ms.
const SURGE_PAUSE_MS: std::ops::Range<u64> = 300..1_200;
/// Maximum time between the connect and the first bytes of a surge client, in ms.
const SURGE_DELAY_MAX_MS: u64 = 16;
/// The class of the requests of a surge: reads of any age.
const SURGE_CLASS: usize = 2;
/// One new connection in this many sends its first query right after the startup message, without waiting for the
/// reply.
const EARLY_QUERY_ONE_IN: u32 = 3;

/// How often an idle client checks whether its connection is still open.
const IDLE_CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

struct Client {
    n: u32,
    world: World,
    rng: fastrand::Rng,
    home: u32,
    conn: Option<PgClient>,
    writes: u64,
}

/// Starts the regular clients. After `stop` is set, each ends with its last answer.
pub fn start(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let (rate, clients) = script.load;
    let gap = f64::from(clients) / rate;
    (0..clients)
        .map(|n| {
            let rng = fastrand::Rng::with_seed(script.seed ^ u64::from(n + 1) << 20);
            let home = n % script.proxies + 1;
            let client = Client { n, world: world.clone(), rng, home, conn: None, writes: 0 };
            crate::runtime().spawn(client.run(gap, stop.clone()))
        })
        .collect()
}

/// Starts the bad clients: each sends an incomplete or malformed message to a proxy and waits for an error or a
/// close.
pub fn start_bad(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let one = |n: u32| {
        let rng = fastrand::Rng::with_seed(script.seed ^ u64::from(n + 1) << 40);
        crate::runtime().spawn(bad_client(world.clone(), rng, stop.clone()))
    };
    (0..script.bad_clients).map(one).collect()
}

/// Starts the idle clients: each connects to a proxy, stays idle until the connection is closed, and connects again.
pub fn start_idle(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let one = |n: u32| {
        let rng = fastrand::Rng::with_seed(script.seed ^ u64::from(n + 1) << 50);
        crate::runtime().spawn(idle_client(world.clone(), rng, stop.clone()))
    };
    (0..script.idle_clients).map(one).collect()
}

/// Starts the surges: repeatedly, many clients connect to one proxy at once, each with one request right after its
/// startup message.
pub fn start_surges(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let surges = script.surge_clients > 0;
    let rng = fastrand::Rng::with_seed(script.seed ^ 1 << 60);
    surges.then(|| crate::runtime().spawn(surge(world.clone(), rng, stop.clone()))).into_iter().collect()
}

async fn surge(world: World, mut rng: fastrand::Rng, stop: Arc<AtomicBool>) {
    let mut clients = tokio::task::JoinSet::new();
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.u64(SURGE_PAUSE_MS))).await;
        let proxy = rng.u32(1..=world.script().proxies);
        for n in 0..world.script().surge_clients {
            let delay = Duration::from_millis(rng.u64(0..SURGE_DELAY_MAX_MS));
            clients.spawn(surge_client(world.clone(), proxy, n, delay));
        }
        while clients.try_join_next().is_some() {}
    }
    clients.join_all().await;
}

/// Sends one request on its own connection. If the connect fails, no request is recorded.
async fn surge_client(world: World, proxy: u32, n: u32, delay: Duration) {
    let Ok(mut conn) = PgClient::connect_without_startup(world.front(proxy)).await else { return };
    let (name, aim, wait_ms) = CLASSES[SURGE_CLASS];
    let key = format!("surge{n}");
    let ask = ClientRequest { class: name, key: key.clone(), value: None, wait_ms, after: None };
    let (id, log) = (request_id(), world.log().clone());
    let number = u64::from_str_radix(&id, 16).unwrap_or(0);
    let group = n % world.script().member_setup.groups + 1;
    tokio::time::sleep(delay).await;
    let (aim, wait) = (aim * 1000, wait_ms * 1000);
    let effect = world.script().effects[SURGE_CLASS];
    let fields = StatementFields { group, retry: false, idempotency_key: idempotency_key(effect) };
    log.record(EventKind::Asked {
        id: number,
        proxy,
        key,
        writes: None,
        shows: ReadGuarantee::Any,
        effect: Some(effect),
        aim,
        wait,
    });
    log.record(EventKind::Sent { id: number, first: true });
    let query = wire::query(&ask.sql_with(&id, &fields));
    let result = conn.request_with_startup(&query);
    let timeout = Duration::from_micros(wait + world.script().bounds.late) + LATE_ANSWER_WAIT;
    let (how, value) = outcome(tokio::time::timeout(timeout, result).await);
    log.record(EventKind::Ended { id: number, how, value });
}

/// A new key for a request that members discard duplicates of by a key.
fn idempotency_key(effect: Effect) -> Option<String> {
    matches!(effect, Effect::Keyed { .. }).then(request_id)
}

/// How a request ended, and the number of the value in its answer.
fn outcome(result: Result<std::io::Result<ClientAnswer>, tokio::time::error::Elapsed>) -> (RequestEnd, u64) {
    match result {
        Ok(Ok(ClientAnswer::Served(bytes))) => {
            (RequestEnd::Served, bytes.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b)))
        }
        Ok(Ok(ClientAnswer::Refused(_))) => (RequestEnd::Refused, 0),
        Ok(Ok(ClientAnswer::Failed(_))) => (RequestEnd::Failed, 0),
        Ok(Err(_)) => (RequestEnd::Broken, 0),
        Err(_) => (RequestEnd::Silent, 0),
    }
}

async fn idle_client(world: World, mut rng: fastrand::Rng, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.u64(0..BAD_CLIENT_PAUSE_MS))).await;
        let proxy = rng.u32(1..=world.script().proxies);
        let Ok(mut conn) = PgClient::connect(world.front(proxy)).await else { continue };
        // Some clients send one empty query before they stay idle.
        if rng.bool() && conn.send(&wire::query("")).await.is_err() {
            continue;
        }
        while !stop.load(Ordering::Relaxed) && !conn.ended().await {
            tokio::time::sleep(IDLE_CLIENT_CHECK_INTERVAL).await;
        }
    }
}

async fn bad_client(world: World, mut rng: fastrand::Rng, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let pause = Duration::from_millis(rng.u64(0..BAD_CLIENT_PAUSE_MS));
        tokio::time::sleep(pause).await;
        let proxy = rng.u32(1..=world.script().proxies);
        let query = wire::query(
            "SELECT v FROM records WHERE k = 'k' /* id=1,c=monthly-report,t=acme,d=400,cluster=1 */",
        );
        let bytes = match rng.u32(0..5) {
            0 => wire::startup()[..rng.usize(1..8)].to_vec(),
            1 => [wire::startup(), query[..rng.usize(1..query.len())].to_vec()].concat(),
            2 => [wire::startup(), vec![0xff; rng.usize(1..400)]].concat(),
            3 => vec![0; rng.usize(4..64)],
            // Sends nothing.
            _ => Vec::new(),
        };
        let id = u64::from_str_radix(&request_id(), 16).unwrap_or(0);
        let Ok(mut stream) = tokio::net::TcpStream::connect(world.front(proxy)).await else { continue };
        if tokio::io::AsyncWriteExt::write_all(&mut stream, &bytes).await.is_err() {
            continue;
        }
        world.log().record(EventKind::Begun { id, proxy });
        let closed = async {
            let mut got = [0; 4096];
            while !matches!(tokio::io::AsyncReadExt::read(&mut stream, &mut got).await, Ok(0) | Err(_)) {}
        };
        if tokio::time::timeout(BAD_CLIENT_TIMEOUT, closed).await.is_ok() || !stop.load(Ordering::Relaxed) {
            world.log().record(EventKind::Closed { id });
        }
    }
}

/// Draws the class of a request.
fn draw_class(rng: &mut fastrand::Rng, write_percent: u32) -> usize {
    let drawn = rng.u32(0..100);
    let reads = 100 - write_percent;
    match drawn * READS_OF_100 / reads.max(1) {
        _ if drawn >= reads => 3,
        scaled if scaled < FIRST_CLASS_UNTIL => 0,
        scaled if scaled < SECOND_CLASS_UNTIL => 1,
        _ => 2,
    }
}

/// After which time a client retries a request with this answer; `None`: not at all.
fn retry_delay(answer: &ClientAnswer, habits: &RetryHabits, safe: bool) -> Option<Duration> {
    match (answer, habits.every) {
        (ClientAnswer::Refused(_), Some(every)) => Some(every),
        (ClientAnswer::Failed(_), Some(every)) if safe => Some(every),
        (ClientAnswer::Refused(Some(ms)), None) => Some(Duration::from_millis((*ms).min(RETRY_DELAY_MAX_MS))),
        _ => None,
    }
}

impl Client {
    async fn run(mut self, gap: f64, stop: Arc<AtomicBool>) {
        let mut due = Instant::now() + Duration::from_secs_f64(gap * self.rng.f64());
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep_until(due).await;
            // Exponential gaps, limited so that they do not outlast a run.
            due += Duration::from_secs_f64((-(1.0 - self.rng.f64()).ln() * gap).min(gap * 8.0));
            if self.rng.u64(0..SWITCH_ONE_IN) == 0 {
                self.switch_proxy();
            }
            self.request(&stop).await;
            due = due.max(Instant::now());
        }
    }

    /// The time after which the client disconnects without waiting for its answer, if it does so for this request.
    fn leave_after(&mut self) -> Option<Duration> {
        let leaves = self.rng.u32(0..100) < self.world.script().leaving_percent;
        leaves.then(|| Duration::from_millis(self.rng.u64(1..LEAVE_DELAY_MAX_MS)))
    }

    fn switch_proxy(&mut self) {
        self.home = self.rng.u32(1..=self.world.script().proxies);
        self.conn = None;
    }

    /// Sends one request of the mix and retries it while it is refused.
    async fn request(&mut self, stop: &AtomicBool) {
        let class = draw_class(&mut self.rng, self.world.script().write_percent);
        let habits = self.world.script().retry_habits;
        // The upper 32 of the 64 bits of a value are the client's number, so that no two writes have the same value.
        let write = class == 3;
        let effect = self.world.script().effects[class];
        let safe = effect == Effect::Safe;
        // The client's retries keep the key.
        let idempotency_key = idempotency_key(effect);
        self.writes += u64::from(write);
        let value = write.then_some(u64::from(self.n + 1) << 32 | self.writes);
        for retry in 0..=habits.max {
            let fields = StatementFields {
                group: self.n % self.world.script().member_setup.groups + 1,
                retry: retry > 0 && habits.marked,
                idempotency_key: idempotency_key.clone(),
            };
            match self.ask(class, value, fields).await {
                Some(answer) => match retry_delay(&answer, &habits, safe) {
                    Some(delay) if !stop.load(Ordering::Relaxed) => tokio::time::sleep(delay).await,
                    _ => return,
                },
                None => {
                    tokio::time::sleep(SWITCH_DELAY).await;
                    self.switch_proxy();
                    // A request that may have run is not retried unless a repeat is safe.
                    if !safe || stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
            }
        }
    }

    /// Sends a request once, under a new id; `None`: there was no answer.
    async fn ask(
        &mut self,
        class: usize,
        value: Option<u64>,
        fields: StatementFields,
    ) -> Option<ClientAnswer> {
        let (name, aim, wait_ms) = CLASSES[class];
        let group = fields.group;
        let key = format!("c{}", self.n);
        let carried = self.world.script().sessions_carried;
        let after = if class == 1 && carried { self.world.group(group).committed(&key) } else { None };
        let bytes = value.map(|v| v.to_be_bytes().to_vec());
        let ask = ClientRequest { class: name, key: key.clone(), value: bytes, wait_ms, after };
        let shows = match class {
            0 => ReadGuarantee::Within(BOUNDED_READ_AGE),
            1 if carried => ReadGuarantee::Session,
            1 => ReadGuarantee::SessionAtProcess,
            _ => ReadGuarantee::Any,
        };
        // The proxy may have closed the idle connection; that is no error.
        if let Some(conn) = &mut self.conn {
            if conn.ended().await {
                self.conn = None;
            }
        }
        let id = request_id();
        let number = u64::from_str_radix(&id, 16).unwrap_or(0);
        let log = self.world.log().clone();
        let leave_after = self.leave_after();
        let early_query = leave_after.is_none() && self.rng.u32(0..EARLY_QUERY_ONE_IN) == 0;
        let (proxy, wait) = (self.home, wait_ms * 1000);
        let effect = Some(self.world.script().effects[class]);
        let aim = aim * 1000;
        log.record(EventKind::Asked { id: number, proxy, key, writes: value, shows, effect, aim, wait });
        let result = async {
            let first = self.conn.is_none();
            let conn = match &mut self.conn {
                Some(conn) => conn,
                None if early_query => {
                    self.conn.insert(PgClient::connect_without_startup(self.world.front(proxy)).await?)
                }
                None => self.conn.insert(PgClient::connect(self.world.front(proxy)).await?),
            };
            let query = wire::query(&ask.sql_with(&id, &fields));
            if first && early_query {
                log.record(EventKind::Sent { id: number, first });
                return conn.request_with_startup(&query).await.map(Some);
            }
            conn.send(&query).await?;
            log.record(EventKind::Sent { id: number, first });
            match leave_after {
                // The client disconnects silently; it does not matter whether the answer has arrived by then.
                Some(after) => match tokio::time::timeout(after, conn.answer()).await {
                    Ok(result) => result.map(Some),
                    Err(_) => Ok(None),
                },
                None => conn.answer().await.map(Some),
            }
        };
        let timeout = Duration::from_micros(wait + self.world.script().bounds.late) + LATE_ANSWER_WAIT;
        let result = tokio::time::timeout(timeout, result).await;
        let result = match result {
            Ok(Ok(None)) => {
                self.conn = None;
                log.record(EventKind::Left { id: number });
                // The outcome no longer concerns this client; it goes on with its next request.
                return Some(ClientAnswer::Failed(String::new()));
            }
            Ok(Ok(Some(result))) => Ok(Ok(result)),
            Ok(Err(e)) => Ok(Err(e)),
            Err(late) => Err(late),
        };
        let answer = result.as_ref().ok().and_then(|result| result.as_ref().ok()).cloned();
        let (how, value) = outcome(result);
        log.record(EventKind::Ended { id: number, how, value });
        // Nothing follows a fatal error; the check before the next request then finds the connection closed.
        if answer.is_none() {
            self.conn = None;
        }
        answer
    }
}
