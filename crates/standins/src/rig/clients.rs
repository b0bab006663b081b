//! The clients of a run: each has a session and a proxy where it is at home, asks one request after the other in the
//! users' mix, comes back when it is told to, and goes to another proxy where its own does not answer.

use super::events::{Effect, End, Shows, Us, What};
use super::world::World;
use crate::client::{request_id, ClientAnswer, ClientRequest, PgClient};
use crate::proxy::CLASSES;
use crate::wire;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Times a client comes back after a refusal.
const AGAIN: u32 = 3;
/// Longest advice that it follows.
const ADVICE_MOST: u64 = 500;
/// A client whose proxy is not there goes to another after this.
const ROAMS_AFTER: Duration = Duration::from_millis(20);
/// One request in so many is asked at another proxy.
const ROAMS: u64 = 50;
/// A bounded read may be this old; positions are told in whole ms.
const AGE: Us = 3_000_000 + 2_000;
/// A client waits for so long past the moment at which an answer counts as late.
const SILENCE: Duration = Duration::from_millis(1_000);

/// A client that leaves does so within this, in ms.
const LEAVES_WITHIN_MS: u64 = 250;
/// How long a bad client waits for its error or its close, and between two of its visits.
const BAD_CLIENT_WAITS: Duration = Duration::from_secs(5);
const BAD_CLIENT_PAUSE_MS: u64 = 400;

/// Between two surges, and how long the first bytes of a client of one take to come behind its connection, in ms.
const SURGE_PAUSE_MS: std::ops::Range<u64> = 300..1_200;
const SURGE_WAY_MS: u64 = 16;
/// The class of a surge's requests: reads at any age.
const SURGE_CLASS: usize = 2;
/// Of new connections one in so many carries the first query behind the startup, with no wait for the welcome.
const AT_ONCE: u32 = 3;

/// How often a client that rests looks whether it still can.
const IDLE_CLIENT_LOOKS: Duration = Duration::from_millis(100);

struct Client {
    n: u32,
    world: World,
    rng: fastrand::Rng,
    home: u32,
    conn: Option<PgClient>,
    writes: u64,
}

/// Starts them all; they end when `stop` is set, each after its last answer.
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

/// Starts the bad ones: each begins something at a proxy, does not end it, and waits for what it is owed.
pub fn start_bad(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let one = |n: u32| {
        let rng = fastrand::Rng::with_seed(script.seed ^ u64::from(n + 1) << 40);
        crate::runtime().spawn(bad_client(world.clone(), rng, stop.clone()))
    };
    (0..script.bad_clients).map(one).collect()
}

/// Starts those that ask nothing: each connects somewhere, rests there until it is closed, and comes again.
pub fn start_idle(world: &World, stop: &Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<()>> {
    let script = world.script();
    let one = |n: u32| {
        let rng = fastrand::Rng::with_seed(script.seed ^ u64::from(n + 1) << 50);
        crate::runtime().spawn(idle_client(world.clone(), rng, stop.clone()))
    };
    (0..script.idle_clients).map(one).collect()
}

/// Starts surges: again and again many clients come to one proxy at once, each with one request behind its startup.
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
            let way = Duration::from_millis(rng.u64(0..SURGE_WAY_MS));
            clients.spawn(surge_client(world.clone(), proxy, n, way));
        }
        while clients.try_join_next().is_some() {}
    }
    clients.join_all().await;
}

/// One request on a connection of its own; what is not accepted was not asked.
async fn surge_client(world: World, proxy: u32, n: u32, way: Duration) {
    let Ok(mut conn) = PgClient::connect_without_startup(world.front(proxy)).await else { return };
    let (name, aim, wait_ms) = CLASSES[SURGE_CLASS];
    let key = format!("surge{n}");
    let ask = ClientRequest { class: name, key: key.clone(), value: None, wait_ms, after: None };
    let (id, log) = (request_id(), world.log().clone());
    let number = u64::from_str_radix(&id, 16).unwrap_or(0);
    let group = n % world.script().make.groups + 1;
    tokio::time::sleep(way).await;
    let (aim, wait) = (aim * 1000, wait_ms * 1000);
    let effect = Some(world.script().effects[SURGE_CLASS]);
    log.note(What::Asked { id: number, proxy, key, writes: None, shows: Shows::Any, effect, aim, wait });
    log.note(What::Sent { id: number, first: true });
    let query = wire::query(&ask.sql_for_group(&id, group, false));
    let told = conn.request_with_startup(&query);
    let patience = Duration::from_micros(wait + world.script().bounds.late) + SILENCE;
    let (how, value) = ending(tokio::time::timeout(patience, told).await);
    log.note(What::Ended { id: number, how, value });
}

/// How a request has ended, and the number of the value that it brought.
fn ending(told: Result<std::io::Result<ClientAnswer>, tokio::time::error::Elapsed>) -> (End, u64) {
    match told {
        Ok(Ok(ClientAnswer::Served(bytes))) => {
            (End::Served, bytes.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b)))
        }
        Ok(Ok(ClientAnswer::Refused(_))) => (End::Refused, 0),
        Ok(Ok(ClientAnswer::Failed(_))) => (End::Failed, 0),
        Ok(Err(_)) => (End::Broken, 0),
        Err(_) => (End::Silent, 0),
    }
}

async fn idle_client(world: World, mut rng: fastrand::Rng, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.u64(0..BAD_CLIENT_PAUSE_MS))).await;
        let proxy = rng.u32(1..=world.script().proxies);
        let Ok(mut conn) = PgClient::connect(world.front(proxy)).await else { continue };
        // Some are served once, and rest then.
        if rng.bool() && conn.send(&wire::query("")).await.is_err() {
            continue;
        }
        while !stop.load(Ordering::Relaxed) && !conn.ended().await {
            tokio::time::sleep(IDLE_CLIENT_LOOKS).await;
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
        let said = match rng.u32(0..5) {
            0 => wire::startup()[..rng.usize(1..8)].to_vec(),
            1 => [wire::startup(), query[..rng.usize(1..query.len())].to_vec()].concat(),
            2 => [wire::startup(), vec![0xff; rng.usize(1..400)]].concat(),
            3 => vec![0; rng.usize(4..64)],
            // Nothing at all.
            _ => Vec::new(),
        };
        let id = u64::from_str_radix(&request_id(), 16).unwrap_or(0);
        let Ok(mut stream) = tokio::net::TcpStream::connect(world.front(proxy)).await else { continue };
        if tokio::io::AsyncWriteExt::write_all(&mut stream, &said).await.is_err() {
            continue;
        }
        world.log().note(What::Begun { id, proxy });
        let ends = async {
            let mut got = [0; 4096];
            while !matches!(tokio::io::AsyncReadExt::read(&mut stream, &mut got).await, Ok(0) | Err(_)) {}
        };
        if tokio::time::timeout(BAD_CLIENT_WAITS, ends).await.is_ok() || !stop.load(Ordering::Relaxed) {
            world.log().note(What::Closed { id });
        }
    }
}

impl Client {
    async fn run(mut self, gap: f64, stop: Arc<AtomicBool>) {
        let mut due = Instant::now() + Duration::from_secs_f64(gap * self.rng.f64());
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep_until(due).await;
            // Exponential gaps, cut off where they would outlast a run.
            due += Duration::from_secs_f64((-(1.0 - self.rng.f64()).ln() * gap).min(gap * 8.0));
            if self.rng.u64(0..ROAMS) == 0 {
                self.roam();
            }
            self.request(&stop).await;
            due = due.max(Instant::now());
        }
    }

    /// After how long it leaves before it has its answer, where this request is one of those.
    fn leaves(&mut self) -> Option<Duration> {
        let leaves = self.rng.u32(0..100) < self.world.script().leaving;
        leaves.then(|| Duration::from_millis(self.rng.u64(1..LEAVES_WITHIN_MS)))
    }

    fn roam(&mut self) {
        self.home = self.rng.u32(1..=self.world.script().proxies);
        self.conn = None;
    }

    /// One request of the mix, asked until it is answered otherwise than by a refusal.
    async fn request(&mut self, stop: &AtomicBool) {
        let class = match self.rng.u32(0..100) {
            0..=42 => 0,
            43..=70 => 1,
            71..=93 => 2,
            _ => 3,
        };
        // Of 64 bits of a value those above 32 are the client's number, so that no two writes bring the same.
        let write = class == 3;
        let safe = self.world.script().effects[class] == Effect::Safe;
        self.writes += u64::from(write);
        let value = write.then_some(u64::from(self.n + 1) << 32 | self.writes);
        for again in 0..=AGAIN {
            match self.ask(class, value, again > 0).await {
                Some(ClientAnswer::Refused(Some(ms))) if !stop.load(Ordering::Relaxed) => {
                    tokio::time::sleep(Duration::from_millis(ms.min(ADVICE_MOST))).await;
                }
                Some(_) => return,
                None => {
                    tokio::time::sleep(ROAMS_AFTER).await;
                    self.roam();
                    // What may have run is not asked again.
                    if !safe || stop.load(Ordering::Relaxed) {
                        return;
                    }
                }
            }
        }
    }

    /// Asks once, under an id of its own; none: no answer.
    async fn ask(&mut self, class: usize, value: Option<u64>, again: bool) -> Option<ClientAnswer> {
        let (name, aim, wait_ms) = CLASSES[class];
        let group = self.n % self.world.script().make.groups + 1;
        let key = format!("c{}", self.n);
        let carried = self.world.script().sessions_carried;
        let after = if class == 1 && carried { self.world.group(group).committed(&key) } else { None };
        let bytes = value.map(|v| v.to_be_bytes().to_vec());
        let ask = ClientRequest { class: name, key: key.clone(), value: bytes, wait_ms, after };
        let shows = match class {
            0 => Shows::Within(AGE),
            1 if carried => Shows::Session,
            1 => Shows::SessionAtProcess,
            _ => Shows::Any,
        };
        // A connection that the proxy has closed meanwhile is nobody's fault.
        if let Some(conn) = &mut self.conn {
            if conn.ended().await {
                self.conn = None;
            }
        }
        let id = request_id();
        let number = u64::from_str_radix(&id, 16).unwrap_or(0);
        let log = self.world.log().clone();
        let leaves = self.leaves();
        let at_once = leaves.is_none() && self.rng.u32(0..AT_ONCE) == 0;
        let (proxy, wait) = (self.home, wait_ms * 1000);
        let effect = Some(self.world.script().effects[class]);
        let aim = aim * 1000;
        log.note(What::Asked { id: number, proxy, key, writes: value, shows, effect, aim, wait });
        let told = async {
            let first = self.conn.is_none();
            let conn = match &mut self.conn {
                Some(conn) => conn,
                None if at_once => {
                    self.conn.insert(PgClient::connect_without_startup(self.world.front(proxy)).await?)
                }
                None => self.conn.insert(PgClient::connect(self.world.front(proxy)).await?),
            };
            let query = wire::query(&ask.sql_for_group(&id, group, again));
            if first && at_once {
                log.note(What::Sent { id: number, first });
                return conn.request_with_startup(&query).await.map(Some);
            }
            conn.send(&query).await?;
            log.note(What::Sent { id: number, first });
            match leaves {
                // It goes without a word; whether it had its answer by then is all the same.
                Some(after) => match tokio::time::timeout(after, conn.answer()).await {
                    Ok(told) => told.map(Some),
                    Err(_) => Ok(None),
                },
                None => conn.answer().await.map(Some),
            }
        };
        let patience = Duration::from_micros(wait + self.world.script().bounds.late) + SILENCE;
        let told = tokio::time::timeout(patience, told).await;
        let told = match told {
            Ok(Ok(None)) => {
                self.conn = None;
                log.note(What::Left { id: number });
                // What becomes of it is not this client's any more; it asks on.
                return Some(ClientAnswer::Failed(String::new()));
            }
            Ok(Ok(Some(told))) => Ok(Ok(told)),
            Ok(Err(e)) => Ok(Err(e)),
            Err(late) => Err(late),
        };
        let answer = told.as_ref().ok().and_then(|told| told.as_ref().ok()).cloned();
        let (how, value) = ending(told);
        log.note(What::Ended { id: number, how, value });
        // Behind a fatal error nothing more comes, which the next look at the connection tells.
        if answer.is_none() {
            self.conn = None;
        }
        answer
    }
}
