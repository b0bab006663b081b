//! Writes to clients, with a time limit for clients that take nothing: they must not hold their permits forever. A client
//! that takes its bytes slowly is no such client, however long its answer takes.

use super::socket::Socket;
use bytes::Buf;
use std::io::{ErrorKind, Result};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Framed;

/// How long a client may take nothing while bytes are to be written to it.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes all of these bytes.
///
/// # Errors
/// If the connection is broken, or the client takes nothing for [`WRITE_TIMEOUT`].
pub async fn write_all(socket: &mut Socket, mut bytes: impl Buf) -> Result<()> {
    while bytes.has_remaining() {
        match tokio::time::timeout(WRITE_TIMEOUT, socket.write_buf(&mut bytes)).await {
            Ok(Ok(0)) => return Err(ErrorKind::WriteZero.into()),
            Ok(written) => written?,
            Err(_) => return Err(ErrorKind::TimedOut.into()),
        };
    }
    Ok(())
}

/// Writes what the connection's write buffer holds and these bytes behind it, which are not copied.
///
/// # Errors
/// As [`write_all`].
pub async fn write_after_buffer<C>(conn: &mut Framed<Socket, C>, bytes: impl Buf) -> Result<()> {
    let mut buffered = std::mem::take(conn.write_buffer_mut());
    write_all(conn.get_mut(), (&buffered[..]).chain(bytes)).await?;
    buffered.clear();
    *conn.write_buffer_mut() = buffered;
    Ok(())
}

/// Writes what the connection's write buffer holds.
///
/// # Errors
/// As [`write_all`].
pub async fn flush<C>(conn: &mut Framed<Socket, C>) -> Result<()> {
    let mut buffered = std::mem::take(conn.write_buffer_mut());
    let written = write_all(conn.get_mut(), &mut buffered).await;
    *conn.write_buffer_mut() = buffered;
    written
}
