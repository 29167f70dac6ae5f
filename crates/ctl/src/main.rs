//! The operators' command.

// The HTTP client's connector is a chain of generic services, too deep for the default limit.
#![recursion_limit = "256"]

mod bundle;
mod check;
mod cli;
mod client;
mod completion;
mod diff;
mod explain;
mod failure;
mod format;
mod render;
mod schema;
mod source;
mod status;
mod status_report;
mod table;
mod trace;

use std::io::Write;
use std::process::ExitCode;

use clap::ArgMatches;

use crate::failure::{Failure, UsageSnafu};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run(&matches) {
        Ok(text) => print(&text),
        Err(failure) => {
            print(&failure.report());
            eprint!("{}", failure.advice());
            failure.exit_code()
        }
    }
}

/// Runs one subcommand and returns what it prints.
fn run(matches: &ArgMatches) -> Result<String, Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return unknown("");
    };
    match name {
        "check" => check::run(args),
        "render" => render::run(args),
        "diff" => diff::run(args),
        "bundle" => bundle::run(args),
        "schema" => schema::run(args),
        "status" => status::run(args),
        "explain" => explain::run(args),
        "trace" => trace::run(args),
        "completion" => completion::run(args),
        other => unknown(other),
    }
}

fn unknown(name: &str) -> Result<String, Failure> {
    UsageSnafu {
        text: format!("no command is called {name}"),
        remedy: "write one of those that 'oriolering --help' lists",
    }
    .fail()
}

/// Writes the output; a reader that went away early, such as a pager, is no failure.
fn print(text: &str) -> ExitCode {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}
