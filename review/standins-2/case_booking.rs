//! A booking by OData; the proxy that holds it is killed, and its client tries again at the next proxy.

use crate::discovery::{self, Entry};
use crate::member::{Group, Journal, Member};
use crate::{http, proxy, settings, Outcome, Verdict, World};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub fn run(world: &World) -> Outcome {
    let (group, journal) = (Arc::new(Group::default()), Journal::new(&world.record));
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
    let mut fronts = Vec::new();
    for name in ["n1", "n2"] {
        let (listen, odata) = (proxy::free_address(), proxy::free_address());
        let setup = proxy::Setup {
            name,
            config: settings::config(name, listen, discovery.address, &entries, &settings::own()),
            operators: settings::operators(Some(odata)),
            console: None,
            listener: None,
            shared: None,
        };
        let process = proxy::start(world, name, &setup)?;
        proxy::wait_listening(odata, Duration::from_secs(20))?;
        fronts.push((process, odata));
    }
    // Both proxies have run for a while before the bookings are first sent.
    std::thread::sleep(Duration::from_millis(2_500));
    let (first, second) = (fronts[0], fronts[1]);
    let (key, tenant) = ("a1b2c3d4e5f60718", "bigkis-haulers");
    let body = format!("{{\"k\":\"{key}\",\"v\":\"nwM\"}}");
    let headers = |first_sent: &str, retry: bool| {
        let mut headers = vec![
            ("Skip-Class", "place-order".to_string()),
            ("Skip-Tenant", tenant.to_string()),
            ("Skip-Group", "1".to_string()),
            // All tries together take no longer than the class lets a client wait.
            ("Skip-Wait", if retry { "1300" } else { "3000" }.to_string()),
            ("Repeatability-Request-ID", "5f1c7a90-booking-1".to_string()),
            ("Repeatability-First-Sent", first_sent.to_string()),
        ];
        if retry {
            headers.push(("Skip-Retry", "1".to_string()));
        }
        headers
    };
    let first_sent = http::date(crate::record::now_ms() / 1000);
    let (sent, once) = (first_sent.clone(), body.clone());
    let record = world.record.clone();
    record.line(format!("client: books at n1, first sent {first_sent}"));
    let all = headers(&sent, false);
    let call = std::thread::spawn(move || http::post(first.1, "/records", &all, &once));
    // The booking is under way at the primary.
    let until = Instant::now() + Duration::from_secs(5);
    while journal.find(|s| s.write && s.key == key).is_empty() {
        if Instant::now() >= until {
            return Err("the booking did not reach the primary".to_string());
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    if world.trouble {
        std::thread::sleep(Duration::from_millis(30));
        first.0.signal("KILL")?;
        record.line("n1 is killed".to_string());
    }
    match call.join().map_err(|_| "the client failed")? {
        Ok((status, _)) => record.line(format!("client: answered {status}")),
        Err(error) => {
            record.line(format!("client: its connection broke: {error}"));
            // The client is led to the next proxy and tries again there, with the same id.
            std::thread::sleep(Duration::from_millis(1_500));
            record.line(
                "client: tries again at n2, with the same id and first send, marked as a retry".to_string(),
            );
            match http::post(second.1, "/records", &headers(&first_sent, true), &body) {
                Ok((status, text)) => record.line(format!("client: answered {status} {text}")),
                Err(error) => record.line(format!("client: its connection broke: {error}")),
            }
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let runs = group.runs(key);
    record.line(format!("the booking has run {runs} times"));
    Ok(if runs > 1 { Verdict::Broken } else { Verdict::Held })
}
