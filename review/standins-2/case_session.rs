//! A session writes through a process that ends, while the next upgrade has begun; then the session reads.

use crate::discovery::{self, Entry};
use crate::member::{Group, Journal, Member};
use crate::pg::{self, Answer, Client};
use crate::proxy::{self, Proxy};
use crate::{settings, Outcome, Verdict, World};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Upgrades that are played, each begun while the process before the previous one is still ending.
const UPGRADES: usize = 8;

pub fn run(world: &World) -> Outcome {
    let record = world.record.clone();
    let (group, journal) = (Arc::new(Group::default()), Journal::new(&record));
    let primary = Member::start("primary", (&group, &journal), true, 0, (40, 70));
    // Replicas that apply the log slowly.
    let replicas: Vec<_> = (0..3)
        .map(|n| Member::start(&format!("replica-{n}"), (&group, &journal), false, 4_000, (40, 70)))
        .collect();
    let entry = |member: &Member, n: usize, mode| Entry {
        id: format!("s-{n:08x}"),
        address: member.address,
        group: 1,
        zone: "gasan".to_string(),
        lifecycle: "active",
        mode: Some(mode),
    };
    let mut entries = vec![entry(&primary, 1, "read-write")];
    entries.extend(replicas.iter().enumerate().map(|(n, member)| entry(member, n + 2, "read-only")));
    let agent = discovery::start(entries.clone());
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let shared = world.folder.join("shared");
    std::fs::create_dir_all(&shared).map_err(|e| e.to_string())?;
    let start = |version: usize| -> Result<(Proxy, SocketAddr), String> {
        let console = proxy::free_address();
        let setup = proxy::Setup {
            name: "n1",
            config: settings::config("n1", address, agent.address, &entries, &settings::second()),
            operators: String::new(),
            console: Some(console),
            listener: Some(&listener),
            shared: Some(shared.clone()),
        };
        Ok((proxy::start(world, &format!("version-{version}"), &setup)?, console))
    };
    let (mut old, console) = start(1)?;
    proxy::wait_ready(console, Duration::from_secs(20))?;
    let mut stale = 0;
    let mut new = start(2)?;
    for upgrade in 1..=UPGRADES {
        let key = format!("5e5510000000000{upgrade}");
        // The counter's connection leads to the old process: the new one does not take clients yet, or the counter
        // finds out by where its connection ends.
        let mut counter = connect_to(world, address, old, upgrade)?;
        proxy::wait_ready(new.1, Duration::from_secs(20))?;
        std::thread::sleep(Duration::from_millis(700));
        record.line(format!("SIGTERM to version {upgrade}"));
        old.signal("TERM")?;
        // The next upgrade begins while that process is ending. Without the disruption it begins after that.
        let mut next = if world.trouble { Some(start(upgrade + 2)?) } else { None };
        std::thread::sleep(Duration::from_millis(510));
        let value = format!("active-{upgrade}");
        let comment = format!("id=ac7100000000000{upgrade},c=activate,t=daehan-mobile,d=1900,k=1d00000000000{upgrade:03},cluster=1");
        record.line(format!("counter: activates {key} through version {upgrade}"));
        let written =
            counter.ask(&pg::write_of(&key, &value, &comment)).map_err(|e| format!("the write: {e}"))?;
        record.line(format!("counter: {written}"));
        if !matches!(written, Answer::Served(_)) {
            return Err("the activation was not served".to_string());
        }
        // The process ends the connection with this answer, and the counter closes its end.
        let _ = std::io::Read::read_to_end(&mut counter.stream, &mut Vec::new());
        drop(counter);
        let ended = old.wait_ended(Duration::from_secs(10)).ok_or("the old process did not end")?;
        record.line(format!("version {upgrade} has ended: {ended}"));
        std::thread::sleep(Duration::from_millis(300));
        // The counter reads again and again what it has activated, each time on a new connection.
        for n in 0..4 {
            let mut reader = Client::connect(address).map_err(|e| format!("a new connection: {e}"))?;
            let id = format!("0c4ec0000000{upgrade:02}{n:02}");
            let read = pg::read_of(&key, &id, "own-check", "daehan-mobile", 600, 1, "");
            let answer = reader.ask(&read).map_err(|e| format!("the read: {e}"))?;
            let behind = matches!(&answer, Answer::Served(found) if *found != value.as_bytes());
            stale += u32::from(behind);
            record.line(format!(
                "counter: reads {key}: {answer}{}",
                if behind { ", which lacks its own write" } else { "" }
            ));
        }
        if next.is_none() && upgrade < UPGRADES {
            next = Some(start(upgrade + 2)?);
        }
        if let Some(next) = next {
            (old, new) = (new.0, next);
        }
    }
    record.line(format!("{stale} reads lacked a write that their session had been told of"));
    Ok(if stale > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Connects until the connection is one of this process.
fn connect_to(world: &World, address: SocketAddr, process: Proxy, upgrade: usize) -> Result<Client, String> {
    for _ in 0..200 {
        let client = Client::connect(address).map_err(|e| format!("a connection: {e}"))?;
        if is_held_by(&client, process) {
            world.record.line(format!("counter: its connection leads to version {upgrade}"));
            return Ok(client);
        }
    }
    Err("no connection leads to the old process".to_string())
}

/// Whether this process holds the other end of the connection: by the inode of the socket in /proc.
fn is_held_by(client: &Client, process: Proxy) -> bool {
    let (Ok(local), Ok(peer)) = (client.stream.local_addr(), client.stream.peer_addr()) else { return false };
    let hex = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_ne_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(_) => String::new(),
    };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let (at, from) = (hex(peer), hex(local));
    let inode = table.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        (words.get(1) == Some(&at.as_str()) && words.get(2) == Some(&from.as_str()))
            .then(|| words.get(9).map(|i| i.to_string()))?
    });
    let Some(inode) = inode.filter(|inode| inode != "0") else { return false };
    let wanted = format!("socket:[{inode}]");
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{}/fd", process.pid)) else { return false };
    descriptors.flatten().any(|d| std::fs::read_link(d.path()).is_ok_and(|to| to.to_string_lossy() == wanted))
}
