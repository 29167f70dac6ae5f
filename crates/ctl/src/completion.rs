//! `oriolering completion`: prints a completion script for a shell.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::failure::Failure;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("completion")
        .about("Prints a completion script for a shell")
        .after_help("Example:\n  oriolering completion bash > /etc/bash_completion.d/oriolering")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
}

/// Returns the script for a whole command.
pub(crate) fn run(args: &ArgMatches, mut whole: Command) -> Result<String, Failure> {
    let shell = args
        .get_one::<Shell>("shell")
        .copied()
        .unwrap_or(Shell::Bash);
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut whole, "oriolering", &mut script);
    Ok(String::from_utf8_lossy(&script).into_owned())
}
