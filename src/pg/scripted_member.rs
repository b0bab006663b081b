//! A member for unit tests that follows a script on one connection, byte by byte.

use linentrail_standins::wire;
pub(crate) use linentrail_standins::wire::message;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

/// The welcome of a new connection.
pub(crate) const STARTUP_RESPONSE: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
/// The end of an answer.
pub(crate) const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// A whole error message.
pub(crate) fn error(severity: &str, code: &str) -> Vec<u8> {
    error_of(&format!("S{severity}\0C{code}\0Mno"))
}

/// An error made of these fields, each as it stands.
pub(crate) fn error_of(fields: &str) -> Vec<u8> {
    message(b'E', format!("{fields}\0\0").as_bytes())
}

/// The description of one binary column.
pub(crate) fn row_description() -> Vec<u8> {
    message(b'T', &[&[0, 1, b'v', 0][..], &[0; 6], &17_u32.to_be_bytes(), &[0; 6], &[0, 1]].concat())
}

/// A row of one column.
pub(crate) fn data_row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

/// The first bytes of a row whose value has so many bytes.
pub(crate) fn data_row_start(length: u32) -> Vec<u8> {
    [&b"D"[..], &(length + 10).to_be_bytes(), &[0, 1], &length.to_be_bytes()].concat()
}

/// Takes one connection, welcomes it so, and then follows the script; what that returns once it is over, none where the
/// connection ended before.
pub(crate) fn start<T: Send + 'static>(
    welcome: Vec<u8>,
    script: impl FnOnce(&mut TcpStream) -> std::io::Result<T> + Send + 'static,
) -> (SocketAddr, JoinHandle<std::io::Result<T>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let member = std::thread::spawn(move || {
        let (mut client, _) = listener.accept()?;
        wire::read(&mut client, false)?;
        client.write_all(&welcome)?;
        script(&mut client)
    });
    (address, member)
}

/// Reads one query.
pub(crate) fn read_query(client: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    wire::read(client, true).map(|(_, body)| body)
}
