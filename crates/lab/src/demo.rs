//! A demonstration: members, discovery and the real proxy on loopback, a mixed load of all four classes through both
//! fronts, and one fault after another; prints the results by class and whether the rules were kept.

use crate::drive::{self, Connection, Front, StopFlag};
use crate::load::{parse_seconds, CLASSES};
use crate::rules::{all_kept, judge, Observations, Session};
use crate::world::{find_program, World, WorldOptions};
use crate::Failure;
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use hdrhistogram::Histogram;
use linentrail_standins::client::{ClientAnswer, ClientRequest};
use linentrail_standins::group::Group;
use linentrail_standins::member::{Behaviour, Capacity, Member};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Options of `demo`.
#[derive(Args)]
pub struct Options {
    /// Executable of the proxy to start; default: linentrail in the folder of this program
    #[arg(long)]
    program: Option<PathBuf>,
    /// Duration in seconds
    #[arg(long, default_value_t = 12.0, value_parser = parse_seconds)]
    seconds: f64,
    /// Number of clients; every fourth uses OData
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(4..=1_000))]
    clients: u32,
    /// Runs without faults
    #[arg(long)]
    calm: bool,
}

/// The results of one class.
struct ClassResults {
    served: u64,
    refused: u64,
    failed: u64,
    times: Histogram<u64>,
}

/// The results, shared by all clients.
struct Results {
    rows: Vec<ClassResults>,
    observed: Observations,
}

type SharedResults = Arc<Mutex<Results>>;

fn with_results<R>(results: &SharedResults, f: impl FnOnce(&mut Results) -> R) -> R {
    f(&mut results.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Xorshift generator, so that the requests of a client depend on its number alone.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Runs one client with its own session, in the users' mix of classes, and records its results.
async fn client(
    n: u64,
    (front, to): (Front, SocketAddr),
    group: Group,
    end: Instant,
    results: SharedResults,
    stop: StopFlag,
) {
    let key = format!("session{n}");
    let (mut session, mut conn) = (Session::default(), None);
    let (mut state, mut writes) = (0x9e37_79b9_7f4a_7c15 ^ (n + 1), 0u32);
    while Instant::now() < end && !stop.is_set() {
        let class = match next_random(&mut state) % 100 {
            0..=42 => 0,
            43..=70 => 1,
            71..=93 => 2,
            _ => 3,
        };
        let value = (class == 3).then(|| {
            writes += 1;
            format!("{key}:{writes}").into_bytes()
        });
        let (own, wait_ms) = (class % 2 == 1, [500, 1_200, 750, 3_000][class]);
        let key = if own { key.clone() } else { "common".to_string() };
        let after = (class == 1).then(|| group.committed(&key)).flatten();
        let request = ClientRequest { class: CLASSES[class], key, value: value.clone(), wait_ms, after };
        let started_at = Instant::now();
        with_results(&results, |b| b.observed.requests += 1);
        let answer = async {
            if conn.is_none() {
                conn = Some(Connection::open(front, to).await?);
            }
            match &mut conn {
                Some(conn) => conn.request(&request).await,
                None => Err(std::io::ErrorKind::NotConnected.into()),
            }
        };
        let answer: std::io::Result<ClientAnswer> = answer.await;
        let elapsed = started_at.elapsed();
        let strays = conn.as_ref().map_or(0, Connection::unread_bytes);
        with_results(&results, |b| {
            b.observed.answers += u64::from(answer.is_ok());
            b.observed.strays += u64::from(strays > 0);
            let row = &mut b.rows[class];
            match &answer {
                Ok(ClientAnswer::Served(bytes)) => {
                    row.served += 1;
                    row.times.saturating_record(u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX).max(1));
                    b.observed.bookings += u64::from(class == 3);
                    b.observed.stale_reads += u64::from(class == 1 && !session.is_current(bytes));
                    let made = match &value {
                        Some(value) => bytes == value,
                        None => own || bytes == b"common",
                    };
                    b.observed.foreign_values += u64::from(!made);
                }
                Ok(ClientAnswer::Refused(_)) => row.refused += 1,
                _ => row.failed += 1,
            }
        });
        if let Some(value) = value {
            session.record_write(value, answer.as_ref().ok());
        }
        if let Ok(ClientAnswer::Refused(Some(ms))) = answer {
            tokio::time::sleep(Duration::from_millis(ms.min(500))).await;
        }
        if answer.is_err() {
            conn = None;
        }
        tokio::time::sleep(Duration::from_millis(next_random(&mut state) % 40)).await;
    }
}

/// Injects one fault after another, each for a second, with a second without faults between them.
async fn faults(members: Vec<Member>, results: SharedResults, end: Instant, calm: bool) {
    let all = [
        (1, Behaviour::Hold, "replica 1 takes requests and answers none"),
        (2, Behaviour::Reset, "replica 2 resets what it is sent"),
        (3, Behaviour::Behind(Duration::from_micros(700)), "replica 3 sends each answer twice"),
        (1, Behaviour::Full, "replica 1 turns everything away"),
        (0, Behaviour::Half, "the primary breaks answers off"),
        (2, Behaviour::Miss, "replica 2 is too far behind"),
    ];
    let mut next = all.iter().cycle();
    let (mut on, mut what) = (None::<usize>, "calm");
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (served, other) = with_results(&results, |b| {
            let of = |f: fn(&ClassResults) -> u64| b.rows.iter().map(f).sum::<u64>();
            (of(|r| r.served), of(|r| r.refused + r.failed))
        });
        eprintln!("{served} served, {other} not; {what}");
        if let Some(member) = on.take() {
            members[member].set_behaviour(Behaviour::Answer);
            what = "calm";
        } else if let Some((member, behaviour, words)) = next.next().filter(|_| !calm) {
            members[*member].set_behaviour(*behaviour);
            (on, what) = (Some(*member), words);
        }
    }
    members.iter().for_each(|m| m.set_behaviour(Behaviour::Answer));
}

/// Runs the command `demo`.
pub async fn run(options: &Options, stop: &StopFlag) -> Result<(), Failure> {
    let program = find_program(options.program.as_ref())?;
    let service_time = (Duration::from_millis(4), Duration::from_millis(9));
    let capacity = Capacity { slots: 8, queue: 64, service_time, ..Capacity::default() };
    let world = World::start(&WorldOptions {
        program: &program,
        capacity,
        lag_ms: 6,
        odata: true,
        timeout_factor: 1,
    })
    .await?;
    world.group.preset("common", "common".into());
    eprintln!("started a primary, {} replicas, discovery and the proxy", world.members.len() - 1);
    let rows = CLASSES
        .iter()
        .map(|_| ClassResults { served: 0, refused: 0, failed: 0, times: drive::new_histogram() })
        .collect();
    let results = SharedResults::new(Mutex::new(Results { rows, observed: Observations::default() }));
    let end = Instant::now() + Duration::from_secs_f64(options.seconds);
    let mut clients = JoinSet::new();
    for n in 0..u64::from(options.clients) {
        let front = if n % 4 == 3 { Front::Odata } else { Front::Pg };
        let to = (front, world.address(front));
        clients.spawn(client(n, to, world.group.clone(), end, results.clone(), stop.clone()));
    }
    let faults = tokio::spawn(faults(world.members.clone(), results.clone(), end, options.calm));
    while clients.join_next().await.is_some() {}
    faults.abort();
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["class", "served", "refused", "failed", "p50 ms", "p95 ms", "p99 ms", "max ms"]);
    table.column_iter_mut().skip(1).for_each(|c| c.set_cell_alignment(CellAlignment::Right));
    let (verdicts, asked) = with_results(&results, |b| {
        for (class, r) in CLASSES.iter().zip(&b.rows) {
            let ms = |q: f64| format!("{:.1}", r.times.value_at_quantile(q) as f64 / 1e6);
            let counts = [r.served, r.refused, r.failed].map(|n| n.to_string());
            let times = [ms(0.5), ms(0.95), ms(0.99), ms(1.0)];
            table.add_row([&[class.to_string()][..], &counts, &times].concat());
        }
        (judge(&b.observed, &world.group), b.observed.requests)
    });
    println!("{table}\n");
    let mut rules = Table::new();
    rules.load_preset(presets::ASCII_MARKDOWN).set_header(["rule", "", "seen"]);
    for (rule, kept, observed) in &verdicts {
        rules.add_row([*rule, if *kept { "kept" } else { "BROKEN" }, observed]);
    }
    println!("{rules}");
    match (asked > 0, all_kept(&verdicts)) {
        (true, true) => Ok(()),
        (true, false) => Err(Failure::CheckFailed("a rule was broken".to_string())),
        (false, _) => Err(Failure::CheckFailed("no requests were sent".to_string())),
    }
}
