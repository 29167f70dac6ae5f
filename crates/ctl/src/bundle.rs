//! `oriolering bundle`: prints the value to publish.

use clap::{ArgMatches, Command};
use oriolering::config::SettingsSet;

use crate::failure::Failure;
use crate::format::Format;
use crate::source;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("bundle")
        .about("Prints the value to publish at the platform's configuration service")
        .long_about(
            "Checks a set and prints the one value to publish at the platform's\n\
             configuration service. Nothing is published: the system only reads what\n\
             operators publish.",
        )
        .after_help("Example:\n  oriolering bundle examples/rental > rental.json")
        .arg(source::arg("set", "The directory of the set"))
}

/// Returns the value to publish.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let source = source::read(args, "set")?;
    match SettingsSet::parse(&source.bundle) {
        Ok(_) => Ok(source.bundle.to_json() + "\n"),
        Err(problems) => Err(source::refuse(&source.path, &problems, Format::Text)),
    }
}
