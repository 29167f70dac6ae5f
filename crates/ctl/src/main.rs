//! The operators' command.

// The HTTP client's connector is a chain of generic services, too deep for the default limit.
#![recursion_limit = "256"]

mod args;
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
mod route;
mod schema;
mod source;
mod status;
mod status_report;
mod table;
mod trace;
mod trail;

use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;

use clap::ArgMatches;

use crate::failure::{EXIT_PROBLEMS, Failure, UsageSnafu};

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let (text, advice, code) = match run(&matches) {
        Ok(text) => (text, String::new(), ExitCode::SUCCESS),
        Err(failure) => (failure.report(), failure.advice(), failure.exit_code()),
    };
    let printed = print(&text);
    eprint!("{advice}");
    match printed {
        Ok(()) => code,
        // A reader that went away early, such as a pager, is no failure.
        Err(e) if e.kind() == ErrorKind::BrokenPipe => code,
        Err(e) => {
            eprintln!("error: the output cannot be written ({e}); write it elsewhere");
            ExitCode::from(EXIT_PROBLEMS)
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
        "route" => route::run(args),
        "schema" => schema::run(args),
        "status" => status::run(args),
        "explain" => explain::run(args),
        "trace" => trace::run(args),
        "completion" => completion::run(args, cli::command()),
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

/// Writes to the standard output.
fn print(text: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}
