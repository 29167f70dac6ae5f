//! `oriolering schema`: prints the schema or the reference of the fields.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use oriolering::config::{Field, ProcessSettings, Set};

use crate::failure::Failure;
use crate::format::to_json;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("schema")
        .about("Prints the JSON schema or the reference of the fields")
        .long_about(
            "Prints the JSON schema of a file, by which an editor completes and checks it,\n\
             or the reference of its fields as tables. Both are taken from the program\n\
             itself.",
        )
        .after_help(
            "Examples:\n  oriolering schema > docs/config.schema.json\n  \
             oriolering schema process --format markdown",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(PossibleValuesParser::new(["base", "overlay", "process"]))
                .default_value("base")
                .help("The kind of file"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_name("FORMAT")
                .value_parser(PossibleValuesParser::new(["json", "markdown"]))
                .default_value("json")
                .help("Prints the JSON schema or Markdown tables"),
        )
}

/// Returns the schema or the tables.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let text = |name: &str| args.get_one::<String>(name).map_or("", String::as_str);
    Ok(match (text("file"), text("format")) {
        ("process", "markdown") => process_table(&ProcessSettings::fields()),
        (_, "markdown") => service_table(&Set::fields()),
        ("process", _) => to_json(&ProcessSettings::schema()),
        ("overlay", _) => to_json(&Set::overlay_schema()),
        (_, _) => to_json(&Set::schema()),
    })
}

fn service_table(fields: &[Field]) -> String {
    let head = "| Field | Type | Unit | Default | Limits | Effect |\n\
                | --- | --- | --- | --- | --- | --- |\n";
    let rows = fields.iter().map(|f| {
        format!(
            "| `{}` | {} | {} | {} | {} | {} |\n",
            f.path,
            f.kind,
            f.unit,
            code(&f.default),
            f.limits,
            f.effect
        )
    });
    head.to_owned() + &rows.collect::<String>()
}

fn process_table(fields: &[Field]) -> String {
    let head = "| Field | Flag | Type | Unit | Default | Limits | Effect |\n\
                | --- | --- | --- | --- | --- | --- | --- |\n";
    let rows = fields.iter().map(|f| {
        format!(
            "| `{}` | `{}` | {} | {} | {} | {} | {} |\n",
            f.path,
            f.flag(),
            f.kind,
            f.unit,
            code(&f.default),
            f.limits,
            f.effect
        )
    });
    head.to_owned() + &rows.collect::<String>()
}

fn code(default: &str) -> String {
    match default {
        "" => "must be set".to_owned(),
        "none" => "none".to_owned(),
        default => format!("`{default}`"),
    }
}
