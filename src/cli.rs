//! The command line.

use clap::{Parser, Subcommand, ValueEnum};
use std::fmt;
use std::io::Write;
use std::path::PathBuf;

/// The proxy between old clients and the servers of today.
#[derive(Debug, Parser)]
#[command(name = "linentrail", version)]
pub struct Arguments {
    /// How the log is written; what is in it, RUST_LOG says
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// The same as the command records; the name it had before there were commands
    #[arg(long, hide = true)]
    pub dns_sd_records: bool,
    /// The part of the program that is meant; to serve, where none is named.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program can do.
#[derive(Debug, Subcommand, PartialEq, Eq)]
pub enum Command {
    /// Serves, told what it needs by BALANCER_CONFIG and its fellows; also what is done without a command
    Serve,
    /// Says whether a configuration (.json) or an operators' file (.hcl) can be used, and what is wrong with it
    Check {
        /// The file
        file: PathBuf,
    },
    /// Asks a running process whether it serves, and how far it is on its way to full service; 1 where it does not
    Status {
        /// Its console; else that of BALANCER_CONSOLE or of the configuration
        #[arg(long, value_name = "HOST:PORT")]
        console: Option<String>,
    },
    /// What the proxies of a fleet agree on: how it stands, changes, members out by hand for all
    Fleet {
        /// What is asked
        #[command(subcommand)]
        call: FleetCommand,
        /// The console of any proxy of the fleet; else that of BALANCER_CONSOLE or of the configuration
        #[arg(long, global = true, value_name = "HOST:PORT")]
        console: Option<String>,
        /// Answers as JSON
        #[arg(long, global = true)]
        json: bool,
    },
    /// Prints the DNS-SD records under which the OData front can be found, as a zone file has them
    Records,
}

/// What can be asked of a fleet that agrees.
#[derive(Debug, Subcommand, PartialEq, Eq)]
pub enum FleetCommand {
    /// Proxies, versions held and in force, leases, and whom a change waits for; 1 where no lease holds
    Status,
    /// The versions that were in force at this proxy
    History,
    /// Proposes the settings of a configuration, and waits until they are in force; 1 where they are not
    Propose {
        /// The configuration (.json), or its settings alone
        file: PathBuf,
        /// Who proposes it, for the history
        #[arg(long, default_value = "operators")]
        author: String,
    },
    /// Takes back the change that is under way
    Abort,
    /// Takes a member out for the whole fleet, and waits until all keep to that
    Suspend {
        /// Its id
        member: String,
    },
    /// Puts a member back for the whole fleet
    Restore {
        /// Its id
        member: String,
    },
    /// Begins a new epoch at this voter, where most voters have lost what they promised (docs/agreement.md)
    Epoch {
        /// Higher than any before
        number: u32,
    },
}

/// What clap says of arguments that cannot be used, on one line and without its advice.
pub fn one_line(fault: &clap::Error) -> String {
    let text = fault.to_string();
    let told = text.lines().take_while(|l| !l.starts_with("Usage:") && !l.starts_with("For more"));
    let words: Vec<&str> = told.flat_map(str::split_whitespace).collect();
    words.join(" ").trim_start_matches("error: ").to_string()
}

/// Forms of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line for people: time, level, place, words, then what belongs to it as name=value
    Text,
    /// A JSON object a line, with what belongs to it as fields of their own
    Json,
}

/// A line on standard output. One that nobody takes, as on a full disk or behind a closed pipe, is lost and ends nothing.
pub fn print_line(line: fmt::Arguments) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// The same on standard error.
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
    fn nothing_means_serve_and_the_format_may_stand_anywhere() {
        let plain = parse("linentrail").expect("no argument is fine");
        assert_eq!((plain.command, plain.log_format), (None, LogFormat::Text));
        let json = parse("linentrail serve --log-format json").expect("it is known");
        assert_eq!((json.command, json.log_format), (Some(Command::Serve), LogFormat::Json));
        let check = parse("linentrail --log-format json check a.json").expect("it is known");
        assert_eq!(check.command, Some(Command::Check { file: "a.json".into() }));
    }

    #[test]
    fn what_is_not_known_ends_with_status_2() {
        for line in
            ["linentrail sevre", "linentrail check", "linentrail --log-format xml", "linentrail check a b"]
        {
            assert_eq!(parse(line).expect_err(line).exit_code(), 2, "{line}");
        }
    }
}
