//! The records of a group's primary are withdrawn; it ends after the window that the rule on drains gives.

use crate::dns::{self, Instance, Server};
use crate::member::{Group, Journal, Member};
use crate::pg::{self, Answer, Client};
use crate::record::now_ms;
use crate::{discovery, proxy, settings, Outcome, Verdict, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Members in all; five of them are those of the group that is asked.
const MEMBERS: usize = 400;
/// A round trip between the two data centres.
const ROUND_TRIP: Duration = Duration::from_micros(1_560);
/// The window and its slack on sockets.
const WINDOW_MS: u64 = 550;

pub fn run(world: &World) -> Outcome {
    let record = world.record.clone();
    let (group, journal) = (Arc::new(Group::default()), Journal::new(&record));
    let primary = Member::start("primary", (&group, &journal), true, 0, (50, 120));
    let mut members = vec![primary.clone()];
    members.extend(
        (0..4).map(|n| Member::start(&format!("replica-{n}"), (&group, &journal), false, 10, (50, 120))),
    );
    let instance = |(n, address), group| match address {
        SocketAddr::V4(address) => Instance { id: format!("s-{n:08x}"), address, group },
        SocketAddr::V6(_) => unreachable!("loopback addresses are of version 4"),
    };
    let mut instances: Vec<Instance> =
        members.iter().enumerate().map(|(n, member)| instance((n + 1, member.address), 1)).collect();
    instances.extend((members.len()..MEMBERS).map(|n| {
        let group = 2 + (n / 5) as u64;
        instance((n + 1, SocketAddr::V4(dns::unused(n))), group)
    }));
    let primary_id = instances[0].id.clone();
    let (server, dns) = Server::start(instances, ROUND_TRIP, 6, &record);
    let discovery = discovery::start(Vec::new());
    let listen = proxy::free_address();
    let setup = proxy::Setup {
        name: "n1",
        config: settings::config("n1", listen, discovery.address, &[], &settings::own()),
        operators: settings::operators(None, Some(dns)),
        console: None,
        listener: None,
        shared: None,
    };
    proxy::start(world, "n1", &setup)?;
    proxy::wait_listening(listen, Duration::from_secs(20))?;
    // Until an order is served: the proxy knows the members and the primary.
    let until = Instant::now() + Duration::from_secs(25);
    for n in 0.. {
        let mut client = Client::connect(listen).map_err(|e| format!("a connection: {e}"))?;
        let comment = format!("id=aaaa0000{n:08x},c=place-order,t=bigkis-haulers,d=2900,cluster=1");
        match client.ask(&pg::write_of("order-warm", "skip", &comment)) {
            Ok(Answer::Served(_)) => break,
            _ if Instant::now() >= until => return Err("no order was served".to_string()),
            _ => std::thread::sleep(Duration::from_millis(200)),
        }
    }
    record.line("an order was served".to_string());
    // Each client sends order after order.
    let stop = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let (stop, failed, record) = (stop.clone(), failed.clone(), record.clone());
            std::thread::spawn(move || {
                let mut n = 0u32;
                let mut client = None;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let id = format!("cccc{c:04x}{n:08x}");
                    let comment = format!("id={id},c=place-order,t=bigkis-haulers,d=2900,cluster=1");
                    let Some(mut connection) = client.take().or_else(|| Client::connect(listen).ok()) else {
                        continue;
                    };
                    let sent = now_ms();
                    let answer = connection.ask(&pg::write_of(&format!("order-{id}"), "skip", &comment));
                    match answer {
                        Ok(Answer::Served(_)) => client = Some(connection),
                        // Refused: nothing has run, and trying again is harmless.
                        Ok(Answer::Error(code)) if code == "53300" || code == "57P03" => {
                            client = Some(connection)
                        }
                        other => {
                            let told = other.map_or_else(|e| e.to_string(), |a| a.to_string());
                            record.line(format!("client: the order {id}: {told}"));
                            failed.lock().unwrap().push((sent, id, told));
                        }
                    }
                    std::thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    let mut broken = 0;
    if world.trouble {
        server.withdraw(&primary_id);
        record.line(format!("the records of {primary_id} are withdrawn"));
        let until = Instant::now() + Duration::from_secs(20);
        let told = loop {
            if let Some(told) = server.told_at(&primary_id) {
                break told;
            }
            if Instant::now() >= until {
                return Err("the proxy did not ask for the instances".to_string());
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        // The role moves, and the process ends once the window is over and what it had is finished.
        std::thread::sleep(Duration::from_millis(500));
        std::thread::sleep(Duration::from_millis(1_000));
        primary.end();
        record.line("the primary's process has ended".to_string());
        members[1].set_primary(true);
        std::thread::sleep(Duration::from_secs(4));
        let late = journal.find(|s| s.member == "primary" && s.at_ms > told + WINDOW_MS);
        for statement in &late {
            record.line(format!(
                "sent to the primary {} ms after the proxy was told: id {}",
                statement.at_ms - told,
                statement.id
            ));
        }
        let lost: Vec<_> = failed
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, id, _)| late.iter().any(|s| s.id == *id))
            .cloned()
            .collect();
        broken = late.len();
        record.line(format!("{} statements after the window, {} of them lost", late.len(), lost.len()));
    } else {
        std::thread::sleep(Duration::from_secs(6));
        let lost = failed.lock().unwrap().len();
        record.line(format!("{lost} orders failed"));
        broken += lost;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
