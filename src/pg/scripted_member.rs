//! A stand-in member for unit tests that serves one connection by a script and controls every byte it sends.

use linentrail_standins::wire;
pub(crate) use linentrail_standins::wire::message;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

/// Response to a startup message: AuthenticationOk and ReadyForQuery.
pub(crate) const STARTUP_RESPONSE: &[u8] = b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I";
/// ReadyForQuery, the end of an answer.
pub(crate) const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";

/// Builds an ErrorResponse.
pub(crate) fn error(severity: &str, code: &str) -> Vec<u8> {
    error_with_fields(&format!("S{severity}\0C{code}\0Mno"))
}

/// Builds an ErrorResponse from the given zero-separated fields, unchecked.
pub(crate) fn error_with_fields(fields: &str) -> Vec<u8> {
    message(b'E', format!("{fields}\0\0").as_bytes())
}

/// Builds a RowDescription of one binary column.
pub(crate) fn row_description() -> Vec<u8> {
    message(b'T', &[&[0, 1, b'v', 0][..], &[0; 6], &17_u32.to_be_bytes(), &[0; 6], &[0, 1]].concat())
}

/// Builds a DataRow of one column.
pub(crate) fn data_row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

/// Builds the first bytes of a DataRow whose value has `length` bytes.
pub(crate) fn data_row_start(length: u32) -> Vec<u8> {
    [&b"D"[..], &(length + 10).to_be_bytes(), &[0, 1], &length.to_be_bytes()].concat()
}

/// Accepts one connection, answers its startup with `startup_response`, then runs the script. The thread returns the
/// script's result, or the I/O error that ended the connection before.
pub(crate) fn start<T: Send + 'static>(
    startup_response: Vec<u8>,
    script: impl FnOnce(&mut TcpStream) -> std::io::Result<T> + Send + 'static,
) -> (SocketAddr, JoinHandle<std::io::Result<T>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let member = std::thread::spawn(move || {
        let (mut client, _) = listener.accept()?;
        wire::read(&mut client, false)?;
        client.write_all(&startup_response)?;
        script(&mut client)
    });
    (address, member)
}

/// Reads one query.
pub(crate) fn read_query(client: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    wire::read(client, true).map(|(_, body)| body)
}
