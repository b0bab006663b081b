//! Adapter between the simulator's line protocol and the router. It only translates, and makes no decisions.

mod wire;

use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut host = wire::Host::default();
    let mut line = String::new();
    let mut reply = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("input: {e}"))? == 0 {
            return host.finish();
        }
        reply.clear();
        if host.accept_line(line.trim_end_matches(['\n', '\r']), &mut reply)? {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("output: {e}"))?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("linentrail-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}
