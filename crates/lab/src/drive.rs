//! Clients that ask: in a closed loop, each its next request after the last answer, or in an open loop at a rate.
//!
//! Times of the open loop count from when a request was due, not from when a client came to send it, so that a
//! standstill is not left out of the figures (coordinated omission).

use hdrhistogram::Histogram;
use linentrail_standins::client::{ClientAnswer, ClientRequest, ODataClient, PgClient};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Set when the run is to end early; what was measured by then is still printed.
#[derive(Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// One that an interrupt sets.
    pub fn on_interrupt() -> Self {
        let stop = Stop::default();
        let set = stop.clone();
        tokio::spawn(async move {
            if tokio::signal::ctrl_c().await.is_ok() {
                set.0.store(true, Ordering::Relaxed);
            }
        });
        stop
    }

    /// What is set, for those that cannot wait for it.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.0.clone()
    }

    /// Whether it is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// By which front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// PostgreSQL's protocol.
    Pg,
    /// OData.
    Odata,
}

/// What became of all requests of a run.
#[derive(Clone)]
pub struct Tally {
    /// From asking to the answer, in ns; served ones alone.
    pub times: Histogram<u64>,
    /// Answered with a value.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, by an answer that says so.
    pub failed: u64,
    /// Left without an answer.
    pub broken: u64,
}

/// No times yet: of one ns to one minute, to three digits.
pub fn times() -> Histogram<u64> {
    // Bounds that the library takes, so that this cannot fail.
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("sound bounds")
}

impl Tally {
    /// Nothing yet.
    pub fn new() -> Self {
        Tally { times: times(), served: 0, refused: 0, failed: 0, broken: 0 }
    }

    /// Takes in another's.
    pub fn add(&mut self, other: &Tally) {
        let _ = self.times.add(&other.times);
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.broken += other.broken;
    }

    fn take(&mut self, told: &std::io::Result<ClientAnswer>, spent: Duration) {
        match told {
            Ok(ClientAnswer::Served(_)) => {
                self.served += 1;
                let ns = u64::try_from(spent.as_nanos()).unwrap_or(u64::MAX).max(1);
                self.times.saturating_record(ns);
            }
            Ok(ClientAnswer::Refused(_)) => self.refused += 1,
            Ok(ClientAnswer::Failed(_)) => self.failed += 1,
            Err(_) => self.broken += 1,
        }
    }

    /// All requests.
    pub fn all(&self) -> u64 {
        self.served + self.refused + self.failed + self.broken
    }
}

/// A connection by either front.
pub enum Conn {
    /// PostgreSQL's protocol.
    Pg(PgClient),
    /// OData.
    Odata(ODataClient),
}

impl Conn {
    /// Connects.
    pub async fn open(front: Front, to: SocketAddr) -> std::io::Result<Self> {
        Ok(match front {
            Front::Pg => Conn::Pg(PgClient::connect(to).await?),
            Front::Odata => Conn::Odata(ODataClient::connect(to).await?),
        })
    }

    /// Asks, and waits for the answer.
    pub async fn ask(&mut self, ask: &ClientRequest) -> std::io::Result<ClientAnswer> {
        match self {
            Conn::Pg(c) => c.request(ask).await,
            Conn::Odata(c) => c.request(ask).await,
        }
    }

    /// Bytes that came without being asked for, where the front can tell.
    pub fn unread_bytes(&self) -> usize {
        match self {
            Conn::Pg(c) => c.unread_bytes(),
            Conn::Odata(_) => 0,
        }
    }
}

/// Makes the n-th request.
pub type Asks = Arc<dyn Fn(u64) -> ClientRequest + Send + Sync>;

/// When the n-th request is due, and whether it still is one of the run.
#[derive(Clone, Copy)]
enum Pace {
    /// So many in all, each as soon as a client is free.
    Count(u64),
    /// Until then, each as soon as a client is free.
    Until(Instant),
    /// From a start until an end at so many a second, whoever is free.
    Rate(Instant, Instant, f64),
}

impl Pace {
    fn due(self, n: u64) -> Option<Instant> {
        let now = Instant::now();
        match self {
            Pace::Count(count) => (n < count).then_some(now),
            Pace::Until(end) => (now < end).then_some(now),
            Pace::Rate(start, end, rate) => {
                let due = start + Duration::from_secs_f64(n as f64 / rate);
                (due < end).then_some(due)
            }
        }
    }
}

/// One client's part of a run.
async fn client(
    front: Front,
    to: SocketAddr,
    pace: Pace,
    next: Arc<AtomicU64>,
    asks: Asks,
    stop: Stop,
) -> Tally {
    let (mut tally, mut conn) = (Tally::new(), None);
    while !stop.is_set() {
        let n = next.fetch_add(1, Ordering::Relaxed);
        let Some(due) = pace.due(n) else { break };
        // Only where there is something to wait for: the shortest sleep takes a millisecond.
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
        let ask = asks(n);
        let told = async {
            if conn.is_none() {
                conn = Some(Conn::open(front, to).await?);
            }
            match &mut conn {
                Some(conn) => conn.ask(&ask).await,
                None => Err(std::io::ErrorKind::NotConnected.into()),
            }
        };
        let told = told.await;
        tally.take(&told, due.elapsed());
        if told.is_err() {
            conn = None;
        }
    }
    tally
}

async fn all(front: Front, to: SocketAddr, clients: usize, pace: Pace, asks: &Asks, stop: &Stop) -> Tally {
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        tasks.spawn(client(front, to, pace, next.clone(), asks.clone(), stop.clone()));
    }
    let mut all = Tally::new();
    while let Some(tally) = tasks.join_next().await {
        if let Ok(tally) = tally {
            all.add(&tally);
        }
    }
    all
}

/// `clients` ask `count` requests in all, each its next after its last answer.
pub async fn closed(
    front: Front,
    to: SocketAddr,
    clients: usize,
    count: u64,
    asks: &Asks,
    stop: &Stop,
) -> Tally {
    all(front, to, clients, Pace::Count(count), asks, stop).await
}

/// `clients` ask for so long, at a rate where one is given, or each its next after its last answer.
pub async fn load(
    front: Front,
    to: SocketAddr,
    clients: usize,
    rate: Option<f64>,
    span: Duration,
    asks: &Asks,
    stop: &Stop,
) -> Tally {
    let now = Instant::now();
    let pace = rate.map_or(Pace::Until(now + span), |rate| Pace::Rate(now, now + span, rate));
    all(front, to, clients, pace, asks, stop).await
}
