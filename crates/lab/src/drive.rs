//! Load generators: closed loop (each client sends its next request after the last answer) and open loop (fixed
//! rate).
//!
//! The open loop measures latency from the time at which a request was due, not from when a client was free to send
//! it, so that stalls show in the figures (this avoids coordinated omission).

use hdrhistogram::Histogram;
use linentrail_standins::client::{ClientAnswer, ClientRequest, ODataClient, PgClient};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// A flag that ends the run early; the results so far are still printed.
#[derive(Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Creates a flag that SIGINT sets.
    pub fn on_interrupt() -> Self {
        let stop = StopFlag::default();
        let set = stop.clone();
        tokio::spawn(async move {
            if tokio::signal::ctrl_c().await.is_ok() {
                set.0.store(true, Ordering::Relaxed);
            }
        });
        stop
    }

    /// The underlying flag, for code that polls it.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.0.clone()
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The protocol of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Front {
    /// PostgreSQL's protocol.
    Pg,
    /// OData.
    Odata,
}

/// The results of all requests of a run.
#[derive(Clone)]
pub struct Tally {
    /// Latency of the served requests, in ns.
    pub times: Histogram<u64>,
    /// Requests answered with a value.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests answered with an error.
    pub failed: u64,
    /// Requests without an answer because the connection failed.
    pub unanswered: u64,
}

/// An empty latency histogram: 1 ns to 1 minute, with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    // Cannot fail: the bounds are constant and valid.
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("valid bounds")
}

impl Tally {
    pub fn new() -> Self {
        Tally { times: new_histogram(), served: 0, refused: 0, failed: 0, unanswered: 0 }
    }

    /// Adds the results of another tally.
    pub fn add(&mut self, other: &Tally) {
        let _ = self.times.add(&other.times);
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unanswered += other.unanswered;
    }

    fn record(&mut self, answer: &std::io::Result<ClientAnswer>, elapsed: Duration) {
        match answer {
            Ok(ClientAnswer::Served(_)) => {
                self.served += 1;
                let ns = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX).max(1);
                self.times.saturating_record(ns);
            }
            Ok(ClientAnswer::Refused(_)) => self.refused += 1,
            Ok(ClientAnswer::Failed(_)) => self.failed += 1,
            Err(_) => self.unanswered += 1,
        }
    }

    /// The number of all requests.
    pub fn all(&self) -> u64 {
        self.served + self.refused + self.failed + self.unanswered
    }
}

/// A client connection of either protocol.
pub enum Connection {
    /// PostgreSQL's protocol.
    Pg(PgClient),
    /// OData.
    Odata(ODataClient),
}

impl Connection {
    pub async fn open(front: Front, to: SocketAddr) -> std::io::Result<Self> {
        Ok(match front {
            Front::Pg => Connection::Pg(PgClient::connect(to).await?),
            Front::Odata => Connection::Odata(ODataClient::connect(to).await?),
        })
    }

    /// Sends a request and waits for the answer.
    pub async fn request(&mut self, request: &ClientRequest) -> std::io::Result<ClientAnswer> {
        match self {
            Connection::Pg(c) => c.request(request).await,
            Connection::Odata(c) => c.request(request).await,
        }
    }

    /// Received bytes that belong to no request; always 0 for OData.
    pub fn unread_bytes(&self) -> usize {
        match self {
            Connection::Pg(c) => c.unread_bytes(),
            Connection::Odata(_) => 0,
        }
    }
}

/// Creates the n-th request.
pub type RequestFactory = Arc<dyn Fn(u64) -> ClientRequest + Send + Sync>;

/// Decides when the n-th request is due and when the run ends.
#[derive(Clone, Copy)]
enum Pace {
    /// This many requests in total, each as soon as a client is free.
    Count(u64),
    /// Requests until this time, each as soon as a client is free.
    Until(Instant),
    /// Start, end and requests per second, independent of answers.
    Rate(Instant, Instant, f64),
}

impl Pace {
    /// The due time of the n-th request; `None` after the end of the run.
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

/// Runs one client; all clients draw request numbers from `next`.
async fn client(
    front: Front,
    to: SocketAddr,
    pace: Pace,
    next: Arc<AtomicU64>,
    new_request: RequestFactory,
    stop: StopFlag,
) -> Tally {
    let (mut tally, mut conn) = (Tally::new(), None);
    while !stop.is_set() {
        let n = next.fetch_add(1, Ordering::Relaxed);
        let Some(due) = pace.due(n) else { break };
        // Avoids a sleep where none is needed, because even the shortest sleep takes a millisecond.
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
        let request = new_request(n);
        let answer = async {
            if conn.is_none() {
                conn = Some(Connection::open(front, to).await?);
            }
            match &mut conn {
                Some(conn) => conn.request(&request).await,
                None => Err(std::io::ErrorKind::NotConnected.into()),
            }
        };
        let answer = answer.await;
        tally.record(&answer, due.elapsed());
        if answer.is_err() {
            conn = None;
        }
    }
    tally
}

async fn run_clients(
    front: Front,
    to: SocketAddr,
    clients: usize,
    pace: Pace,
    new_request: &RequestFactory,
    stop: &StopFlag,
) -> Tally {
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        tasks.spawn(client(front, to, pace, next.clone(), new_request.clone(), stop.clone()));
    }
    let mut all = Tally::new();
    while let Some(tally) = tasks.join_next().await {
        if let Ok(tally) = tally {
            all.add(&tally);
        }
    }
    all
}

/// Closed loop: `clients` send `count` requests in total.
pub async fn run_closed_loop(
    front: Front,
    to: SocketAddr,
    clients: usize,
    count: u64,
    new_request: &RequestFactory,
    stop: &StopFlag,
) -> Tally {
    run_clients(front, to, clients, Pace::Count(count), new_request, stop).await
}

/// Sends requests from `clients` for `duration`: open loop if `rate` is given, otherwise closed loop.
pub async fn run_load(
    front: Front,
    to: SocketAddr,
    clients: usize,
    rate: Option<f64>,
    duration: Duration,
    new_request: &RequestFactory,
    stop: &StopFlag,
) -> Tally {
    let now = Instant::now();
    let pace = rate.map_or(Pace::Until(now + duration), |rate| Pace::Rate(now, now + duration, rate));
    run_clients(front, to, clients, pace, new_request, stop).await
}
