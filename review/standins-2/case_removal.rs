//! A group's primary leaves while it finishes an order of one proxy; then both proxies are asked again, for this group
//! and another one.

use crate::discovery::{self, Entry};
use crate::member::{Group, Journal, Member};
use crate::pg::{self, Answer, Client};
use crate::{proxy, settings, Outcome, Verdict, World};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests that each proxy gets afterwards, one each `PACE`: 8 s in all.
const REQUESTS: usize = 32;
const PACE: Duration = Duration::from_millis(250);

pub fn run(world: &World) -> Outcome {
    let record = world.record.clone();
    let journal = Journal::new(&record);
    let groups = [Arc::new(Group::default()), Arc::new(Group::default())];
    groups.iter().for_each(|group| group.preset("board", b"yard".to_vec()));
    let mut members = Vec::new();
    for (g, group) in groups.iter().enumerate() {
        for n in 0..4 {
            let name = format!("group-{}-member-{}", g + 1, n + 1);
            let lag = if n == 0 { 0 } else { 10 };
            members.push((g as u64 + 1, Member::start(&name, (group, &journal), n == 0, lag, (50, 150))));
        }
    }
    let entries: Vec<Entry> = members
        .iter()
        .enumerate()
        .map(|(n, (group, member))| Entry {
            id: format!("s-{:08x}", n + 1),
            address: member.address,
            group: *group,
            zone: "makati-dc".to_string(),
            lifecycle: "active",
            mode: None,
        })
        .collect();
    let discovery = discovery::start(entries.clone());
    let mut proxies = Vec::new();
    for name in ["n1", "n2"] {
        let (listen, console) = (proxy::free_address(), proxy::free_address());
        let setup = proxy::Setup {
            name,
            config: settings::config(name, listen, discovery.address, &entries, &settings::own()),
            operators: String::new(),
            console: Some(console),
            listener: None,
            shared: None,
        };
        let process = proxy::start(world, name, &setup)?;
        proxy::wait_ready(console, Duration::from_secs(20))?;
        proxies.push((name, process, listen, console));
    }
    let n1 = proxies[0].2;
    for (name, _, listen, _) in &proxies {
        for group in 1..=2 {
            let answer = ask(*listen, &order(&format!("aaaa{name}0000{group}"), group), 2_900);
            record.line(format!("client: an order by {name} for group {group}: {}", told(&answer)));
            if !matches!(answer, Ok(Answer::Served(_))) {
                return Err("an order was not served before the disruption".to_string());
            }
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    // Other proxies' orders: with four cores and 150 ms each, they take 450 ms, and who comes then 600 ms.
    for n in 0..12 {
        let (address, statement) = (members[0].1.address, order(&format!("dddd{n:012x}"), 1));
        std::thread::spawn(move || Client::connect(address).and_then(|mut other| other.ask(&statement)));
    }
    let until = Instant::now() + Duration::from_secs(3);
    while journal.find(|s| s.id.starts_with("dddd")).len() < 12 {
        if Instant::now() >= until {
            return Err("the other orders did not reach the primary".to_string());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    record.line("other proxies have sent 12 orders to the primary".to_string());
    let id = "aaaa000000000009";
    let mut client = Client::connect(n1).map_err(|e| e.to_string())?;
    client.send(&order(id, 1)).map_err(|e| e.to_string())?;
    let until = Instant::now() + Duration::from_secs(3);
    while journal.find(|s| s.id == id).is_empty() {
        if Instant::now() >= until {
            return Err("the order did not reach the primary".to_string());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    if world.trouble {
        discovery.change(Entry { lifecycle: "leaving", ..entries[0].clone() });
        record.line("discovery: the primary of group 1 is leaving".to_string());
        std::thread::sleep(Duration::from_millis(300));
        discovery.change(Entry { lifecycle: "left", ..entries[0].clone() });
        record.line("discovery: it has left".to_string());
    }
    let answer = client.answer().map_err(|e| format!("the order under way: {e}"))?;
    record.line(format!("client: the order under way: {answer}"));
    if !matches!(answer, Answer::Served(_)) {
        return Err("the order under way was not served".to_string());
    }
    if world.trouble {
        members[1].1.set_primary(true);
        members[0].1.set_primary(false);
        record.line("the role has moved to the group's second member".to_string());
        std::thread::sleep(Duration::from_millis(200));
        members[0].1.end();
        record.line("the former primary's process has ended".to_string());
    }
    // Longer than any watch lasts.
    std::thread::sleep(Duration::from_millis(3_000));
    let mut asked = Vec::new();
    for n in 0..REQUESTS {
        for (name, _, listen, _) in &proxies {
            let id = format!("bbbb{name}{n:08x}");
            let group = 1 + n as u64 / 2 % 2;
            let (statement, wait) = match n % 2 {
                0 => (order(&id, group), 2_900),
                _ => (pg::read_of("board", &id, "monthly-report", "bigkis-haulers", 750, group, ""), 750),
            };
            let (record, listen, name) = (record.clone(), *listen, name.to_string());
            asked.push(std::thread::spawn(move || {
                let began = Instant::now();
                let answer = ask(listen, &statement, wait);
                let what = if n % 2 == 0 { "order" } else { "read" };
                record.line(format!(
                    "client: the {what} {id} for group {group}: {} after {} ms",
                    told(&answer),
                    began.elapsed().as_millis()
                ));
                (name, id, matches!(answer, Ok(Answer::Served(_))))
            }));
        }
        std::thread::sleep(PACE);
    }
    let results: Vec<(String, String, bool)> =
        asked.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let mut dead = false;
    for (name, process, _, console) in &proxies {
        let own: Vec<_> = results.iter().filter(|(by, ..)| by == name).collect();
        let served = own.iter().filter(|(.., served)| *served).count();
        let forwarded = own.iter().filter(|(_, id, _)| !journal.find(|s| s.id == *id).is_empty()).count();
        let status = proxy::console(*console, "STATUS").unwrap_or_else(|| "no answer".to_string());
        let ended = process.ended().map_or("runs".to_string(), |status| format!("has ended: {status}"));
        record.line(format!("{name}: of {REQUESTS} requests in 8 s {forwarded} reached a member and {served} were served; the process {ended}; STATUS: {status}"));
        dead |= process.ended().is_some() || forwarded == 0 && served == 0;
    }
    Ok(if dead { Verdict::Broken } else { Verdict::Held })
}

fn order(id: &str, group: u64) -> String {
    let comment = format!("id={id},c=place-order,t=bigkis-haulers,d=2900,cluster={group}");
    pg::write_of(&format!("order-{id}"), "skip", &comment)
}

/// Asks on a new connection, and waits half a second longer than the client does.
fn ask(listen: SocketAddr, statement: &str, wait_ms: u64) -> std::io::Result<Answer> {
    let mut client = Client::connect(listen)?;
    client.stream.set_read_timeout(Some(Duration::from_millis(wait_ms + 550)))?;
    client.ask(statement)
}

fn told(answer: &std::io::Result<Answer>) -> String {
    answer.as_ref().map_or_else(|error| format!("no answer: {error}"), ToString::to_string)
}
