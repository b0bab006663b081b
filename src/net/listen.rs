//! Accepting clients, for whichever front.

use super::budget::Pot;
use crate::core::counters::{count, Count};
use crate::meter::Socket;
use std::fmt::Display;
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// After a failure to accept, such as one for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// How long a client may wait for a seat. Those behind it wait too, and a close is owed within seconds.
const SEAT: Duration = Duration::from_millis(200);

/// Set once the process is to end: connections then close between requests.
pub type Closing = watch::Receiver<bool>;

/// Waits for the end to begin.
pub async fn closed(closing: &mut Closing) {
    let _ = closing.wait_for(|c| *c).await;
}

/// Accepts clients until the end begins, each served in a task of its own that holds a permit of the pot.
pub async fn listen<F, E>(
    listener: TcpListener,
    counter: Count,
    clients: Pot,
    mut closing: Closing,
    serve: impl Fn(Socket, Closing) -> F,
) where
    F: Future<Output = Result<(), E>> + Send + 'static,
    E: Display,
{
    // The permit comes after the client: a listener without clients keeps none from the other front's.
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closed(&mut closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("a client could not be accepted: {e}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let permit = match tokio::time::timeout(SEAT, clients.seat()).await {
            Ok(Some(permit)) => permit,
            Ok(None) => return,
            Err(_) => {
                count(Count::no_seat);
                continue;
            }
        };
        count(counter);
        let _ = stream.set_nodelay(true);
        let served = serve(Socket::new(stream), closing.clone());
        tokio::spawn(async move {
            if let Err(e) = served.await {
                log::debug!("a client's connection ended: {e}");
            }
            drop(permit);
        });
    }
}
