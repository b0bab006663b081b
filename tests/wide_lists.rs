//! Member lists with more members and proxies than any deployment has today: no limit may be smaller.
#![allow(missing_docs)]

use linentrail::clock::Clock;
use linentrail::core::{Input, ListedMember};
use linentrail::discovery_schedule::{CallSchedule, Delivery};
use linentrail::dnssd::browse::Browser;
use linentrail::net::discovery::{Discovery, DiscoveryService, ListReader, ListRequest};
use linentrail::ListKind;
use linentrail_standins::dns::DnsServer;
use linentrail_standins::registry::{entry, DiscoveryBehaviour, Registry};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const MEMBERS: usize = 1_200;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits for the first list that is not empty.
async fn first_list(inbox: &mut mpsc::Receiver<Input>) -> (ListKind, Vec<ListedMember>) {
    let next_list = async {
        loop {
            match inbox.recv().await {
                Some(Input::List(kind, entries)) if !entries.is_empty() => return (kind, entries),
                Some(_) => {}
                None => panic!("the actor ended"),
            }
        }
    };
    tokio::time::timeout(TIMEOUT, next_list).await.expect("a list")
}

fn distinct_addresses(entries: &[ListedMember]) -> usize {
    let mut all: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    all.sort_unstable();
    all.dedup();
    all.len()
}

#[tokio::test]
async fn a_list_of_1200_members_is_read_whole_compact_or_indented() {
    for behaviour in [DiscoveryBehaviour::Well, DiscoveryBehaviour::Indented] {
        let instances: Vec<Value> =
            (0..MEMBERS).map(|n| entry(n, SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16)))).collect();
        let registry = Registry::default();
        registry.set_behaviour(behaviour);
        let address = registry.start(instances.into()).to_string();
        for delivery in [Delivery::Queried, Delivery::Pushed { drain_grace: 500_000 }] {
            let service = DiscoveryService { address: address.clone(), proxies: 350, delivery };
            let (_service_updates, service) = watch::channel(service);
            let (core, mut inbox) = mpsc::channel(64);
            let (list_requests, request_queue) = mpsc::channel(1);
            let lists = ListReader::new(vec!["a".into()]);
            tokio::spawn(Discovery::new(service, CallSchedule::new(7), lists, None, core).run(request_queue));
            list_requests.send(ListRequest).await.expect("the actor runs");
            let (kind, entries) = first_list(&mut inbox).await;
            assert_eq!(
                (kind, distinct_addresses(&entries)),
                (ListKind::Full, MEMBERS),
                "{behaviour:?} {delivery:?}"
            );
        }
    }
}

#[test]
fn a_list_at_the_limit_of_members_is_accepted_and_a_longer_one_is_refused() {
    let mut lists = ListReader::new(Vec::new());
    let instances: Vec<Value> =
        (0..4_097).map(|n| entry(n, SocketAddr::from(([127, 0, 0, 1], 10_000)))).collect();
    let list = serde_json::json!({"generation": 3, "reset": true, "instances": instances});
    assert!(lists.read(&list, None).is_none(), "one entry too many");
    let list = serde_json::json!({"generation": 3, "reset": true, "instances": &instances[..4_096]});
    assert_eq!(lists.read(&list, None).map(|(_, _, entries)| entries.len()), Some(4_096));
}

#[tokio::test]
async fn all_1200_instances_of_a_dns_sd_service_are_found() {
    // All names have to fit into one message of 64 KiB; the stand-in does not compress names.
    const SERVICE: &str = "_m._tcp.t.";
    let dns = DnsServer::for_service(SERVICE);
    for n in 0..MEMBERS {
        dns.add_instance(&format!("m{n}-"), 10_000 + n as u16, 600, true);
    }
    let server = dns.start();
    let (core, mut inbox) = mpsc::channel(64);
    let (_list_requests, request_queue) = mpsc::channel(1);
    let lists = ListReader::new(vec!["a".into()]);
    let browser = Browser::new(server, SERVICE, lists, core, Clock::start()).expect("a valid service name");
    tokio::spawn(browser.run(request_queue));
    let (kind, entries) = first_list(&mut inbox).await;
    assert_eq!((kind, distinct_addresses(&entries)), (ListKind::Full, MEMBERS));
}
