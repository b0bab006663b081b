//! The command line.

use clap::{Parser, Subcommand, ValueEnum};
use std::fmt;
use std::io::Write;
use std::path::PathBuf;

/// A proxy between clients and the members of a database cluster
#[derive(Debug, Parser)]
#[command(name = "linentrail", version)]
pub struct Arguments {
    /// Format of the log; RUST_LOG selects its contents
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// Same as the command records; kept for compatibility
    #[arg(long, hide = true)]
    pub dns_sd_records: bool,
    /// What to do; without a command, serve.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands of the program.
#[derive(Debug, Subcommand, PartialEq, Eq)]
pub enum Command {
    /// Runs the proxy, configured by BALANCER_CONFIG and the other BALANCER_* variables; the default command
    Serve,
    /// Checks a configuration (.json) or an operators' file (.hcl) and lists its faults
    Check {
        /// The file
        file: PathBuf,
    },
    /// Asks a running process whether it serves, and for its startup phase; exits with 1 if it does not serve
    Status {
        /// Console of the process; by default that of BALANCER_CONSOLE or of the configuration
        #[arg(long, value_name = "HOST:PORT")]
        console: Option<String>,
    },
    /// Shows and changes what the proxies of a fleet agree on: settings and suspended members
    Fleet {
        /// The call
        #[command(subcommand)]
        call: FleetCommand,
        /// Console of any proxy of the fleet; by default that of BALANCER_CONSOLE or of the configuration
        #[arg(long, global = true, value_name = "HOST:PORT")]
        console: Option<String>,
        /// Prints answers as JSON
        #[arg(long, global = true)]
        json: bool,
    },
    /// Prints the DNS-SD records of the OData front in the format of a zone file
    Records,
}

/// The calls to a fleet whose proxies agree on settings and suspensions.
#[derive(Debug, Subcommand, PartialEq, Eq)]
pub enum FleetCommand {
    /// Shows proxies, versions, leases, and the proxies that a change waits for; exits with 1 if no lease is
    /// valid
    Status,
    /// Shows the versions that have been in force at this proxy
    History,
    /// Proposes the settings of a configuration and waits until they are in force; exits with 1 if they are
    /// not
    Propose {
        /// The configuration (.json), or only its settings
        file: PathBuf,
        /// Author of the proposal, shown in the history
        #[arg(long, default_value = "operators")]
        author: String,
    },
    /// Withdraws the change that is in progress
    Abort,
    /// Takes a member out of use for the whole fleet and waits until all proxies comply
    Suspend {
        /// Its id
        member: String,
    },
    /// Puts a member back into use for the whole fleet
    Restore {
        /// Its id
        member: String,
    },
    /// Begins a new epoch at this voter after most voters have lost their promises (docs/agreement.md)
    Epoch {
        /// Number of the epoch, higher than any before
        number: u32,
    },
}

/// Formats an error of clap on one line, without the usage and the hint at --help.
pub fn one_line(error: &clap::Error) -> String {
    let text = error.to_string();
    let lines = text.lines().take_while(|l| !l.starts_with("Usage:") && !l.starts_with("For more"));
    let words: Vec<&str> = lines.flat_map(str::split_whitespace).collect();
    words.join(" ").trim_start_matches("error: ").to_string()
}

/// Formats of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Text lines: time, level, target, message, then structured fields as name=value
    Text,
    /// One JSON object per line, with the structured fields as its fields
    Json,
}

/// Writes a line to standard output. An error, for instance a full disk or a closed pipe, is ignored.
pub fn print_line(line: fmt::Arguments) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Writes a line to standard error, also ignoring errors.
pub fn print_error_line(line: fmt::Arguments) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(line: &str) -> Result<Arguments, clap::Error> {
        Arguments::try_parse_from(line.split(' '))
    }

    #[test]
    fn serve_is_the_default_command_and_the_log_format_may_be_given_anywhere() {
        let plain = parse("linentrail").expect("no argument is valid");
        assert_eq!((plain.command, plain.log_format), (None, LogFormat::Text));
        let json = parse("linentrail serve --log-format json").expect("valid");
        assert_eq!((json.command, json.log_format), (Some(Command::Serve), LogFormat::Json));
        let check = parse("linentrail --log-format json check a.json").expect("valid");
        assert_eq!(check.command, Some(Command::Check { file: "a.json".into() }));
    }

    #[test]
    fn invalid_arguments_exit_with_status_2() {
        for line in
            ["linentrail sevre", "linentrail check", "linentrail --log-format xml", "linentrail check a b"]
        {
            assert_eq!(parse(line).expect_err(line).exit_code(), 2, "{line}");
        }
    }
}
