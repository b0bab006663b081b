//! The command that asks a running process how it is, through its console.

use crate::config;
use std::io::{Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

/// How long the console may take over an answer: it owes one within a second.
const PATIENCE: Duration = Duration::from_secs(3);

/// Longest answer, in bytes: that of a fleet of hundreds.
const LONGEST: u64 = 256 * 1024;

/// What a running process says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessStatus {
    /// It is ready to serve.
    pub ready: bool,
    /// Its answers, to be shown.
    pub lines: Vec<String>,
}

/// The console's address, as a start would have it.
pub(crate) fn configured_address() -> Result<String, String> {
    config::lookup("BALANCER_CONSOLE", "console").map_err(|e| format!("{e}; say --console HOST:PORT"))
}

/// Says one line to a console, and its answer.
///
/// # Errors
/// When nobody answers there, or no console does.
pub fn call(console: &str, line: &str) -> Result<String, String> {
    let bad = |e: std::io::Error| format!("console {console}: {e}");
    let nobody = || format!("console {console}: no such address");
    let address = console.to_socket_addrs().map_err(bad)?.next().ok_or_else(nobody)?;
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(bad)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(bad)?;
    stream.write_all(format!("{line}\n").as_bytes()).map_err(bad)?;
    let mut answer = String::new();
    // A process that is no console's may say anything, for ever.
    stream.take(LONGEST).read_to_string(&mut answer).map_err(bad)?;
    match answer.split_once('\n') {
        Some((answer, "")) if answer.starts_with("200 ") || answer.starts_with("400 ") => {
            Ok(answer.to_string())
        }
        _ => Err(format!("console {console}: what answers is no console")),
    }
}

/// Asks the process with this console, or with the one that the configuration names.
///
/// # Errors
/// When no process answers there, with one plain message.
pub fn status(console: Option<&str>) -> Result<ProcessStatus, String> {
    let console = console.map_or_else(configured_address, |c| Ok(c.to_string()))?;
    let status = call(&console, "STATUS")?;
    let phase = call(&console, "PHASE")?;
    let ready = status.starts_with("200 ");
    Ok(ProcessStatus { ready, lines: vec![status, phase] })
}
