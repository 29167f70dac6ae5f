//! The formats of the output.

use clap::{Arg, ArgMatches, builder::PossibleValuesParser};
use serde::Serialize;

/// The format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    /// Sentences and tables for people.
    Text,
    /// JSON for machines.
    Json,
}

impl Format {
    /// Returns the argument that chooses the format.
    pub(crate) fn arg() -> Arg {
        Arg::new("format")
            .long("format")
            .value_name("FORMAT")
            .value_parser(PossibleValuesParser::new(["text", "json"]))
            .default_value("text")
            .help("Prints text for people or JSON for machines")
    }

    /// Returns the format that was chosen; a command without the argument prints text.
    pub(crate) fn of(args: &ArgMatches) -> Self {
        match args.try_get_one::<String>("format") {
            Ok(Some(name)) if name == "json" => Self::Json,
            Ok(_) | Err(_) => Self::Text,
        }
    }
}

/// Returns a value as JSON with a line end.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    let text = serde_json::to_string_pretty(value);
    text.map_or_else(|e| format!("\"{e}\"\n"), |text| text + "\n")
}
