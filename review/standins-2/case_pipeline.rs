//! A client sends a read and an order at once; the member of the read resets its connection within a long value.

use crate::discovery::{self, Entry};
use crate::member::{Group, Journal, Member};
use crate::pg::{self, Client};
use crate::{proxy, settings, Outcome, Verdict, World};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const VALUE_BYTES: usize = 1024 * 1024;

pub fn run(world: &World) -> Outcome {
    let record = world.record.clone();
    let (group, journal) = (Arc::new(Group::default()), Journal::new(&record));
    group.preset("report-key-1", vec![7; VALUE_BYTES]);
    let primary = Member::start("primary", (&group, &journal), true, 0, (50, 150));
    let replicas: Vec<_> = (1..4)
        .map(|n| Member::start(&format!("replica-{n}"), (&group, &journal), false, 10, (50, 150)))
        .collect();
    let entry = |member: &Member, id: &str| Entry {
        id: id.to_string(),
        address: member.address,
        group: 1,
        zone: "makati-dc".to_string(),
        lifecycle: "active",
        mode: None,
    };
    let mut entries = vec![entry(&primary, "s-00000001")];
    entries.extend(replicas.iter().enumerate().map(|(n, m)| entry(m, &format!("s-{:08x}", n + 2))));
    let discovery = discovery::start(entries.clone());
    let listen = proxy::free_address();
    let setup = proxy::Setup {
        name: "n1",
        config: settings::config("n1", listen, discovery.address, &entries, &settings::own()),
        operators: String::new(),
        console: None,
        listener: None,
        shared: None,
    };
    let process = proxy::start(world, "n1", &setup)?;
    proxy::wait_listening(listen, Duration::from_secs(20))?;
    let connect = || Client::connect(listen).map_err(|e| format!("a connection: {e}"));
    // The proxy learns who the primary is.
    let mut warm = connect()?;
    let comment = "id=aaaa000000000001,c=place-order,t=bigkis-haulers,d=2900,cluster=1";
    let answer =
        warm.ask(&pg::write_of("order-0", "warm", comment)).map_err(|e| format!("the first order: {e}"))?;
    record.line(format!("client: its first order: {answer}"));
    if world.trouble {
        let bytes = VALUE_BYTES as u64 / 3;
        replicas.iter().for_each(|replica| replica.break_reads_after.store(bytes, Ordering::Relaxed));
    }
    let mut lost = 0;
    for n in 1..=3 {
        let mut client = connect()?;
        let (read_id, order_id) = (format!("bbbb00000000000{n}"), format!("cccc00000000000{n}"));
        let read = pg::read_of("report-key-1", &read_id, "monthly-report", "bigkis-haulers", 750, 1, "");
        let comment = format!("id={order_id},c=place-order,t=bigkis-haulers,d=2900,cluster=1");
        let order = pg::write_of(&format!("order-{n}"), "skip", &comment);
        record.line(format!("client: sends the read {read_id} and the order {order_id} at once"));
        client
            .stream
            .write_all(&[pg::query(&read), pg::query(&order)].concat())
            .map_err(|e| e.to_string())?;
        let first = client.answer();
        record.line(format!(
            "client: the read: {}",
            first.as_ref().map_or_else(|e| format!("broken off: {e}"), |a| a.to_string())
        ));
        // A value that breaks off has failed; whatever follows it on this connection is still read.
        let second = client.answer();
        record.line(format!(
            "client: the order: {}",
            second.as_ref().map_or_else(|e| format!("no answer: {e}"), |a| a.to_string())
        ));
        std::thread::sleep(Duration::from_millis(3_500));
        let ran = group.runs(&format!("order-{n}")) > 0;
        if second.is_err() {
            lost += 1;
            record.line(format!(
                "the order {order_id} has no answer; it has {}run",
                if ran { "" } else { "not " }
            ));
        }
    }
    if let Some(status) = process.ended() {
        return Err(format!("the proxy has ended: {status}"));
    }
    record.line(format!("{lost} of 3 orders were taken and never answered"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
