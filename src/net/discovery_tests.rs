//! Configurations that arrive in quick succession while discovery answers slowly, and answers that break off: neither
//! must keep the list from arriving.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a discovery service that takes `takes` to answer with an empty list, and returns its address.
async fn slow_discovery(takes: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while stream.read(&mut request).await.is_ok_and(|n| n > 0) {
                    tokio::time::sleep(takes).await;
                    let body = r#"{"generation":7,"reset":true,"instances":[]}"#;
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    let _ = stream.write_all((head + body).as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Measures the time until the core gets a list while a new configuration arrives every 100 ms. Each configuration
/// names the next of `services` discovery services.
fn time_to_list(takes: Duration, services: usize) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..services {
            addresses.push(slow_discovery(takes).await);
        }
        let service_at = |n: usize| DiscoveryService {
            address: addresses[n % services].clone(),
            proxies: 300,
            delivery: Delivery::Queried,
        };
        let (moves, service) = watch::channel(service_at(0));
        let (core, mut inputs) = mpsc::channel(8);
        let (requests, receiver) = mpsc::channel(1);
        let lists = ListReader::new(vec!["a".into()]);
        // With this seed the first calls are scheduled late.
        let discovery = Discovery::new(service, CallSchedule::new(3), lists, Some(3), core);
        tokio::spawn(discovery.run(receiver));
        let began = Instant::now();
        for n in 1.. {
            let _ = moves.send(service_at(n));
            let next = tokio::time::timeout(Duration::from_millis(100), inputs.recv()).await;
            if matches!(next, Ok(Some(Input::List(ListKind::Full, _)))) || began.elapsed() > GIVE_UP_AFTER {
                break;
            }
        }
        drop(requests);
        began.elapsed()
    })
}

const GIVE_UP_AFTER: Duration = Duration::from_secs(8);
/// A list that discovery had before a configuration arrived counts as known to the proxy 4 s after it.
const KNOWN_AFTER: Duration = Duration::from_secs(4);

#[test]
fn repeated_equal_configurations_do_not_delay_the_list() {
    let took = time_to_list(Duration::from_millis(400), 1);
    assert!(took < KNOWN_AFTER, "{took:?}");
}

#[test]
fn configurations_that_move_discovery_back_and_forth_do_not_delay_the_list() {
    let took = time_to_list(Duration::from_millis(20), 2);
    assert!(took < KNOWN_AFTER, "{took:?}");
}

/// The kinds of the lists that the core gets from a discovery service that breaks off the answers to its first `broken`
/// calls, until the first that is not a failure or the first failure.
fn first_list_after(broken: usize) -> ListKind {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        tokio::spawn(async move {
            for call in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let _ = stream.read(&mut [0; 4096]).await;
                let body = r#"{"generation":7,"reset":true,"instances":[]}"#;
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                let sent = if call < broken { answer.len() - 9 } else { answer.len() };
                let _ = stream.write_all(&answer.as_bytes()[..sent]).await;
            }
        });
        let service = DiscoveryService { address, proxies: 300, delivery: Delivery::Queried };
        let (_moves, service) = watch::channel(service);
        let (core, mut inputs) = mpsc::channel(8);
        let (requests, receiver) = mpsc::channel(1);
        let lists = ListReader::new(vec!["a".into()]);
        let discovery = Discovery::new(service, CallSchedule::new(3), lists, None, core);
        tokio::spawn(discovery.run(receiver));
        let _ = requests.send(ListRequest).await;
        match tokio::time::timeout(GIVE_UP_AFTER, inputs.recv()).await {
            Ok(Some(Input::List(kind, _))) => kind,
            _ => panic!("no list"),
        }
    })
}

/// Guards against requests to members that a long list has named as gone, as its answer broke off and the next call
/// came a second later.
#[test]
fn an_answer_that_breaks_off_is_asked_for_again_at_once_but_not_for_ever() {
    assert_eq!(first_list_after(1), ListKind::Full);
    assert_eq!(first_list_after(2), ListKind::Failed);
}
