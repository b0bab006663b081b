//! Connected sockets for tests.

use std::future::Future;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longer than anything takes on a slow machine; only a failing test waits this long.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on the two ends of a connection: the client's end as a standard library stream, the server's as a
/// tokio stream.
pub fn with_connection<F: Future>(test: impl FnOnce(std::net::TcpStream, TcpStream) -> F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
    client.set_read_timeout(Some(READ_TIMEOUT)).expect("a time");
    let (server, _) = listener.accept().expect("a client");
    server.set_nonblocking(true).expect("a socket that does not block");
    runtime.block_on(async { test(client, TcpStream::from_std(server).expect("a stream")).await })
}
