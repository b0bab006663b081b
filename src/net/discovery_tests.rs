//! New configurations in quick succession, and a discovery that is slow.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A discovery that takes so long to answer with an empty list; where it listens.
async fn slow(takes: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut asked = [0; 4096];
                while stream.read(&mut asked).await.is_ok_and(|n| n > 0) {
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

/// How long it takes until the core has a list, while a configuration comes each 100 ms; each names the next of these.
fn time_to_list(takes: Duration, services: usize) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..services {
            addresses.push(slow(takes).await);
        }
        let of = |n: usize| DiscoveryService {
            address: addresses[n % services].clone(),
            proxies: 300,
            delivery: Delivery::Queried,
        };
        let (moves, service) = watch::channel(of(0));
        let (core, mut inputs) = mpsc::channel(8);
        let (follow, asked) = mpsc::channel(1);
        let lists = ListReader::new(vec!["a".into()]);
        // A seed whose first turns come late.
        let discovery = Discovery::new(service, CallSchedule::new(3), lists, Some(3), core);
        tokio::spawn(discovery.run(asked));
        let began = Instant::now();
        for n in 1.. {
            let _ = moves.send(of(n));
            let next = tokio::time::timeout(Duration::from_millis(100), inputs.recv()).await;
            if matches!(next, Ok(Some(Input::List(ListKind::Full, _)))) || began.elapsed() > LONGEST {
                break;
            }
        }
        drop(follow);
        began.elapsed()
    })
}

const LONGEST: Duration = Duration::from_secs(8);
/// What discovery has told before a configuration came counts as told 4 s after it.
const TOLD: Duration = Duration::from_secs(4);

#[test]
fn the_same_configuration_again_and_again_does_not_keep_the_list_from_coming() {
    let took = time_to_list(Duration::from_millis(400), 1);
    assert!(took < TOLD, "{took:?}");
}

#[test]
fn configurations_that_move_discovery_to_and_fro_do_not_either() {
    let took = time_to_list(Duration::from_millis(20), 2);
    assert!(took < TOLD, "{took:?}");
}
