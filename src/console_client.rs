//! Client for the console of a running process, as used by the `status` and `fleet` commands.

use crate::config;
use std::io::{Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

/// Time limit for connecting and for the answer; a console has to answer within a second.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of an answer, in bytes; enough for a fleet of hundreds of proxies.
const MAX_ANSWER_BYTES: u64 = 256 * 1024;

/// The status of a running process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessStatus {
    /// The process is ready to serve.
    pub ready: bool,
    /// The console's answers, to be printed.
    pub lines: Vec<String>,
}

/// The console's address, as configured for a start of the proxy.
pub(crate) fn configured_address() -> Result<String, String> {
    config::lookup("BALANCER_CONSOLE", "console").map_err(|e| format!("{e}; say --console HOST:PORT"))
}

/// Sends one line to a console and returns its answer.
///
/// # Errors
/// If there is no answer at that address, or it does not come from a console.
pub fn call(console: &str, line: &str) -> Result<String, String> {
    let bad = |e: std::io::Error| format!("console {console}: {e}");
    let nobody = || format!("console {console}: no such address");
    let address = console.to_socket_addrs().map_err(bad)?.next().ok_or_else(nobody)?;
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(bad)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(bad)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(bad)?;
    let mut answer = String::new();
    // A process that is not a console may send data without end.
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).map_err(bad)?;
    match answer.split_once('\n') {
        Some((answer, "")) if answer.starts_with("200 ") || answer.starts_with("400 ") => {
            Ok(answer.to_string())
        }
        _ => Err(format!("console {console}: what answers is no console")),
    }
}

/// Queries the status of the process at this console address, or at the configured one.
///
/// # Errors
/// If no process answers there, with one plain message.
pub fn status(console: Option<&str>) -> Result<ProcessStatus, String> {
    let console = console.map_or_else(configured_address, |c| Ok(c.to_string()))?;
    let status = call(&console, "STATUS")?;
    let phase = call(&console, "PHASE")?;
    let ready = status.starts_with("200 ");
    Ok(ProcessStatus { ready, lines: vec![status, phase] })
}
