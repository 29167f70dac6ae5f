//! The command line.

use clap::Command;

use crate::{bundle, check, completion, diff, explain, render, route, schema, status, trace};

/// What stands below the list of subcommands.
const AFTER_HELP: &str = "\
Examples:
  oriolering check examples/rental
  oriolering diff in-force.json examples/rental
  oriolering bundle examples/rental > rental.json
  oriolering status --node 127.0.0.1:7400 --node 127.0.0.1:7401 --watch 2

Exit codes:
  0  done
  1  the set has problems, or the output cannot be written
  2  the command line is wrong
  3  a node could not be asked";

/// Returns the whole command.
pub(crate) fn command() -> Command {
    Command::new("oriolering")
        .about("Checks and publishes the settings of services, and asks nodes what they do")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(AFTER_HELP)
        .subcommands([
            check::command(),
            render::command(),
            diff::command(),
            route::command(),
            bundle::command(),
            schema::command(),
            status::command(),
            explain::command(),
            trace::command(),
            completion::command(),
        ])
}
