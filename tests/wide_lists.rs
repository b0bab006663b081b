//! Lists of more members and proxies than any deployment has today: no bound may stand below them.
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

const MANY: usize = 1_200;
const PATIENCE: Duration = Duration::from_secs(60);

/// The first list that names anybody.
async fn first(inbox: &mut mpsc::Receiver<Input>) -> (ListKind, Vec<ListedMember>) {
    let named = async {
        loop {
            match inbox.recv().await {
                Some(Input::List(kind, entries)) if !entries.is_empty() => return (kind, entries),
                Some(_) => {}
                None => panic!("the actor has ended"),
            }
        }
    };
    tokio::time::timeout(PATIENCE, named).await.expect("a list")
}

fn addresses(entries: &[ListedMember]) -> usize {
    let mut all: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    all.sort_unstable();
    all.dedup();
    all.len()
}

#[tokio::test]
async fn a_list_of_1200_members_is_taken_whole_indented_or_not() {
    for how in [DiscoveryBehaviour::Well, DiscoveryBehaviour::Indented] {
        let whole: Vec<Value> =
            (0..MANY).map(|n| entry(n, SocketAddr::from(([127, 0, 0, 1], 10_000 + n as u16)))).collect();
        let registry = Registry::default();
        registry.set_behaviour(how);
        let address = registry.start(whole.into()).to_string();
        for delivery in [Delivery::Queried, Delivery::Pushed { drain_grace: 500_000 }] {
            let service = DiscoveryService { address: address.clone(), proxies: 350, delivery };
            let (_moves, service) = watch::channel(service);
            let (core, mut inbox) = mpsc::channel(64);
            let (follow, asked) = mpsc::channel(1);
            let lists = ListReader::new(vec!["a".into()]);
            tokio::spawn(Discovery::new(service, CallSchedule::new(7), lists, None, core).run(asked));
            follow.send(ListRequest).await.expect("it runs");
            let (kind, entries) = first(&mut inbox).await;
            assert_eq!((kind, addresses(&entries)), (ListKind::Full, MANY), "{how:?} {delivery:?}");
        }
    }
}

#[test]
fn a_list_of_as_many_members_as_the_bound_is_taken_and_one_of_more_is_not() {
    let mut lists = ListReader::new(Vec::new());
    let whole: Vec<Value> =
        (0..4_097).map(|n| entry(n, SocketAddr::from(([127, 0, 0, 1], 10_000)))).collect();
    let list = serde_json::json!({"generation": 3, "reset": true, "instances": whole});
    assert!(lists.read(&list, None).is_none(), "one entry too many");
    let list = serde_json::json!({"generation": 3, "reset": true, "instances": &whole[..4_096]});
    assert_eq!(lists.read(&list, None).map(|(_, _, entries)| entries.len()), Some(4_096));
}

#[tokio::test]
async fn a_service_with_1200_instances_is_browsed_whole() {
    // One message of 64 KiB has to name them all, and the stand-in does not shorten names within it.
    const SERVICE: &str = "_m._tcp.t.";
    let dns = DnsServer::for_service(SERVICE);
    for n in 0..MANY {
        dns.add_instance(&format!("m{n}-"), 10_000 + n as u16, 600, true);
    }
    let server = dns.start();
    let (core, mut inbox) = mpsc::channel(64);
    let (_follow, asked) = mpsc::channel(1);
    let lists = ListReader::new(vec!["a".into()]);
    let browser = Browser::new(server, SERVICE, lists, core, Clock::start()).expect("a service's name");
    tokio::spawn(browser.run(asked));
    let (kind, entries) = first(&mut inbox).await;
    assert_eq!((kind, addresses(&entries)), (ListKind::Full, MANY));
}
