//! Accepting clients, for whichever front, and how far the process is with its start and its end.

use super::budget::DescriptorBudget;
use super::socket::Socket;
use crate::core::counters::{count, Count};
use listenfd::ListenFd;
use socket2::SockRef;
use std::fmt::Display;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// After a failure to accept, such as one for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);
/// Failures to accept at the end before those that still wait are given up: some 3 s, as long as a bad client is owed.
const ACCEPT_FAILURES_MAX: u32 = 150;
/// How long a client may wait for a seat. Those behind it wait too, and a close is owed within seconds.
const SEAT: Duration = Duration::from_millis(200);

/// The log's target for what becomes of clients' connections; `client` is the client's port.
pub const CONNECTION: &str = "connection";

/// How far the process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Clients are not taken yet.
    Starting,
    /// Clients are taken.
    Serving,
    /// Another process takes the clients; each connection here ends with its next answer.
    Leaving,
    /// Connections end between requests.
    Closing,
}

/// Tells how far the process is.
pub type Closing = watch::Receiver<Phase>;

/// Waits until the process is so far.
pub async fn reached(closing: &mut Closing, phase: Phase) {
    let _ = closing.wait_for(|c| *c >= phase).await;
}

/// Waits until connections are to end.
pub async fn closed(closing: &mut Closing) {
    reached(closing, Phase::Closing).await;
}

/// The listener that the platform holds open for this proxy and every process of it inherits. It is never shut down
/// here, which would end it for the others too: letting go of it closes this process's copy alone.
///
/// # Errors
/// When the descriptor is no listening TCP socket.
pub fn inherited(descriptor: &str) -> Result<TcpListener, Error> {
    let wrong = |what: &str| Error::new(ErrorKind::InvalidInput, format!("descriptor '{descriptor}' {what}"));
    let number: u32 = descriptor.parse().map_err(|_| wrong("is no number"))?;
    if number < 3 {
        return Err(wrong("is a standard stream"));
    }
    // The library's way in for a descriptor by its number; nothing else reads these variables.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor);
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?.ok_or_else(|| wrong("is taken"))?;
    if !SockRef::from(&listener).is_listener()? {
        // Not ours to close.
        std::mem::forget(listener);
        return Err(wrong("is a socket that does not listen"));
    }
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Accepts clients until the end begins, each served in a task of its own that holds a permit of the budget. Those that the
/// machine has accepted by then and nobody has taken yet are taken as well: a listener let go of resets them.
pub async fn listen<F, E>(
    listener: TcpListener,
    counter: Count,
    clients: DescriptorBudget,
    mut closing: Closing,
    serve: impl Fn(Socket, Closing) -> F,
) where
    F: Future<Output = Result<(), E>> + Send + 'static,
    E: Display,
{
    // The permit comes after the client: a listener without clients keeps none from the other front's.
    let seated = async |stream: TcpStream, peer: SocketAddr, closing: &Closing| {
        let client = peer.port();
        let permit = match tokio::time::timeout(SEAT, clients.seat()).await {
            Ok(Some(permit)) => permit,
            Ok(None) => return,
            Err(_) => {
                log::debug!(target: CONNECTION, client; "closed unread, as no descriptor came free");
                return count(Count::no_seat);
            }
        };
        count(counter);
        log::debug!(target: CONNECTION, client; "accepted");
        let served = serve(Socket::new(stream), closing.clone());
        tokio::spawn(async move {
            let ended = served.await;
            count(Count::connections_closed);
            match ended {
                Ok(()) => log::debug!(target: CONNECTION, client; "closed"),
                Err(e) => log::debug!(target: CONNECTION, client; "broken: {e}"),
            }
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            () = reached(&mut closing, Phase::Leaving) => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => seated(stream, peer, &closing).await,
            Err(e) => {
                count(Count::accept_failures);
                log::warn!("a client could not be accepted: {e}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    // While the next process takes clients from the same listener, they are that one's.
    if *closing.borrow() < Phase::Closing {
        return;
    }
    // The kernel is asked, not the runtime, which may not have heard of the last ones yet.
    let Ok(listener) = listener.into_std() else { return };
    let mut failures = 0;
    loop {
        let accepted = listener.accept().and_then(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, peer))
        });
        match accepted {
            Ok((stream, peer)) => seated(stream, peer, &closing).await,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            // What fails for a moment ends nothing: let go of, the listener would reset all that wait behind.
            Err(e) => {
                count(Count::accept_failures);
                failures += 1;
                if failures > ACCEPT_FAILURES_MAX {
                    return log::error!("clients that have come are left: {e}");
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
#[path = "listen_tests.rs"]
mod tests;
