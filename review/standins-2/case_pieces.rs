//! Reads of a long value from members that write in small pieces.

use crate::discovery::{self, Entry};
use crate::member::{Group, Journal, Member};
use crate::pg::{self, Answer, Client};
use crate::{proxy, settings, Outcome, Verdict, World};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const VALUE_BYTES: usize = 1024 * 1024;
/// Lengths of the pieces, one after the other.
const PIECES: [u64; 8] = [5, 6, 7, 8, 9, 10, 12, 16];

pub fn run(world: &World) -> Outcome {
    let record = world.record.clone();
    let (group, journal) = (Arc::new(Group::default()), Journal::new(&record));
    group.preset("report-key-1", vec![7; VALUE_BYTES]);
    let mut members = vec![Member::start("primary", (&group, &journal), true, 0, (50, 150))];
    members.extend(
        (1..4).map(|n| Member::start(&format!("replica-{n}"), (&group, &journal), false, 10, (50, 150))),
    );
    let entries: Vec<Entry> = members
        .iter()
        .enumerate()
        .map(|(n, member)| Entry {
            id: format!("s-{:08x}", n + 1),
            address: member.address,
            group: 1,
            zone: "makati-dc".to_string(),
            lifecycle: "active",
            mode: None,
        })
        .collect();
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
    proxy::start(world, "n1", &setup)?;
    proxy::wait_listening(listen, Duration::from_secs(20))?;
    let mut lost = 0;
    for (n, piece) in PIECES.into_iter().enumerate() {
        let piece = if world.trouble { piece } else { 0 };
        members.iter().for_each(|member| member.piece.store(piece, Ordering::Relaxed));
        if world.trouble {
            record.line(format!("members write in pieces of {piece} bytes"));
        }
        let mut client = Client::connect(listen).map_err(|e| format!("a connection: {e}"))?;
        let id = format!("bbbb00000000000{n}");
        let read = pg::read_of("report-key-1", &id, "monthly-report", "bigkis-haulers", 750, 1, "");
        let answer = client.ask(&read);
        let told = answer.as_ref().map_or_else(|e| format!("no answer: {e}"), ToString::to_string);
        record.line(format!("client: the read {id}: {told}"));
        let whole = matches!(&answer, Ok(Answer::Served(value)) if value.len() == VALUE_BYTES);
        let ran = journal.find(|s| s.id == id).len();
        if !whole && ran > 0 {
            lost += 1;
            record.line(format!("{ran} members have run it and were giving the value"));
        }
        // Also so long that no connection counts as faulty for the read before.
        std::thread::sleep(Duration::from_millis(1_000));
    }
    record.line(format!("{lost} of {} reads were cut off", PIECES.len()));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
