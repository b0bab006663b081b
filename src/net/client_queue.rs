//! The queue of a listening socket, as the accept loops need it.

use socket2::SockRef;
use std::future::Future;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// A listening socket.
pub trait Listener: Send + Sync + 'static {
    /// The next client, once there is one. Cancel safe.
    ///
    /// # Errors
    /// When the kernel accepts none for the moment; accept(2) lists the causes.
    fn accept(&self) -> impl Future<Output = Result<(TcpStream, SocketAddr)>> + Send;

    /// A client that stands in the queue, if there is one. The kernel is asked, not the runtime, which may not have heard of
    /// the last ones yet.
    ///
    /// # Errors
    /// As [`Listener::accept`].
    fn try_accept(&self) -> Result<Option<(TcpStream, SocketAddr)>>;
}

impl Listener for TcpListener {
    fn accept(&self) -> impl Future<Output = Result<(TcpStream, SocketAddr)>> + Send {
        TcpListener::accept(self)
    }

    fn try_accept(&self) -> Result<Option<(TcpStream, SocketAddr)>> {
        let (stream, peer) = match SockRef::from(self).accept() {
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            accepted => accepted?,
        };
        stream.set_nonblocking(true)?;
        let peer = peer.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(Some((TcpStream::from_std(stream.into())?, peer)))
    }
}
