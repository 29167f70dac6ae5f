//! The command line of the node.

use std::ffi::OsString;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use oriolering::CrossZoneCost;
use oriolering::config::ProcessSettings;

use crate::error::{self, NodeError};
use snafu::ResultExt;

const ABOUT: &str = "The process that runs beside each backend server";
const EXAMPLE: &str = "\
The settings are a file of JSON with comments; a flag goes before the same field of the file.

Example:
  oriolering-node --settings node.jsonc --log debug";

/// The subcommand that serves on a platform.
const PLATFORM: &str = "platform";
const PLATFORM_HELP: &str = "\
The platform writes the settings; the environment variable ORIOLERING_NODE_FILE names the file.

Output:
  Log lines go to the standard output, one JSON object a line. Metrics are served as text at
  port 9464 of the instance's address, path /metrics.

Signals:
  SIGHUP   reads the settings file again; a file that changes is read again without it
  SIGTERM  leaves, serves what is under way for at most the grace time, and ends

Exit codes:
  0    ended after SIGTERM
  101  a fault of the program; what panicked is on standard error
  2    the arguments or settings cannot be used, or an address is not free";

/// The flag for what a kilobyte between availability zones is worth.
const KILOBYTE: &str = "zone-kilobyte-ms";
const KILOBYTE_HELP: &str = "\
The milliseconds of a caller's time that a kilobyte between availability zones is worth. A request
stays in its zone for so long, and for half of what is left of its objective at most; 0 places
requests where they end first, whatever their zone.";

/// What a command line asks for.
pub(crate) enum Task {
    /// To run a node with settings of its own.
    Node(Box<ProcessSettings>),
    /// To run a node on a platform, with the settings that the platform wrote.
    Platform(CrossZoneCost),
}

/// Builds the command line: the file, and a flag for each of its fields.
pub(crate) fn command() -> Command {
    let file = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("The file with the settings of this process");
    let platform = Command::new(PLATFORM)
        .about("Serves on a platform that publishes routes and backend servers")
        .arg(kilobyte())
        .after_help(PLATFORM_HELP);
    let mut command = Command::new("oriolering-node")
        .about(ABOUT)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXAMPLE)
        .subcommand(platform)
        .arg(file);
    for field in ProcessSettings::fields() {
        let name = field.path.to_string();
        let long = name.replace('_', "-");
        let help = field.description.clone();
        command = command.arg(Arg::new(name).long(long).value_name("VALUE").help(help));
    }
    command
}

fn kilobyte() -> Arg {
    Arg::new(KILOBYTE)
        .long(KILOBYTE)
        .value_name("MS")
        .value_parser(value_parser!(u64).range(0..=CrossZoneCost::KILOBYTE_MAX_MS))
        .default_value(CrossZoneCost::DEFAULT.kilobyte_ms.to_string())
        .help(KILOBYTE_HELP)
}

fn crossing(platform: &ArgMatches) -> CrossZoneCost {
    let kilobyte_ms = platform.get_one(KILOBYTE).copied();
    kilobyte_ms.map_or(CrossZoneCost::DEFAULT, |kilobyte_ms| CrossZoneCost {
        kilobyte_ms,
    })
}

/// Reads what the arguments ask for, with the settings from the file that they name.
///
/// # Errors
///
/// Returns an error when the arguments, the file or its content are not usable.
pub(crate) fn task(args: impl IntoIterator<Item = OsString>) -> Result<Task, NodeError> {
    let matches = command()
        .try_get_matches_from(args)
        .context(error::ArgumentsSnafu)?;
    match matches.subcommand() {
        Some((_, platform)) => Ok(Task::Platform(crossing(platform))),
        None => settings(&matches).map(|s| Task::Node(Box::new(s))),
    }
}

fn settings(matches: &ArgMatches) -> Result<ProcessSettings, NodeError> {
    let file = matches.get_one::<PathBuf>("settings");
    let text = match file {
        Some(path) => std::fs::read_to_string(path).context(error::FileSnafu { path })?,
        None => "{}".to_owned(),
    };
    let name = file.map_or_else(
        || "--settings".to_owned(),
        |path| path.display().to_string(),
    );
    let fields = ProcessSettings::fields();
    let flags: Vec<(&str, &str)> = fields
        .iter()
        .filter_map(|field| flag(matches, &field.path))
        .collect();
    ProcessSettings::parse_with_flags(&name, &text, &flags)
        .map_err(|problems| NodeError::Settings { problems })
}

fn flag<'a>(matches: &'a ArgMatches, name: &'a str) -> Option<(&'a str, &'a str)> {
    let value = matches.get_one::<String>(name)?;
    Some((name, value))
}
