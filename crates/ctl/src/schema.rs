//! `oriolering schema`: prints the schema or the reference of the fields.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use oriolering::config::{Field, ProcessSettings, SettingsSet};

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
                .value_parser(PossibleValuesParser::new([
                    "base", "overlay", "routes", "callers", "process",
                ]))
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
        ("routes", "markdown") => service_table(&SettingsSet::route_fields()),
        ("callers", "markdown") => service_table(&SettingsSet::caller_fields()),
        (_, "markdown") => service_table(&SettingsSet::service_fields()),
        ("process", _) => to_json(&ProcessSettings::schema()),
        ("routes", _) => to_json(&SettingsSet::route_schema()),
        ("callers", _) => to_json(&SettingsSet::caller_schema()),
        ("overlay", _) => to_json(&SettingsSet::overlay_schema()),
        (_, _) => to_json(&SettingsSet::base_schema()),
    })
}

fn service_table(fields: &[Field]) -> String {
    let head = ["Field", "Type", "Unit", "Default", "Limits", "Effect"].map(str::to_owned);
    table(head.into(), fields.iter().map(cells))
}

fn process_table(fields: &[Field]) -> String {
    let head = [
        "Field", "Flag", "Type", "Unit", "Default", "Limits", "Effect",
    ]
    .map(str::to_owned);
    let rows = fields.iter().map(|field| {
        let mut cells = cells(field);
        cells.insert(1, format!("`{}`", field.flag()));
        cells
    });
    table(head.into(), rows)
}

fn cells(field: &Field) -> Vec<String> {
    vec![
        format!("`{}`", field.path),
        field.kind.to_string(),
        field.unit.to_string(),
        code(&field.default),
        field.limits.to_string(),
        field.description.to_string(),
    ]
}

fn table(head: Vec<String>, rows: impl Iterator<Item = Vec<String>>) -> String {
    let rule = vec!["---".to_owned(); head.len()];
    let lines = [head, rule].into_iter().chain(rows);
    lines
        .map(|cells| format!("| {} |\n", cells.join(" | ")))
        .collect()
}

fn code(default: &str) -> String {
    match default {
        "" => "must be set".to_owned(),
        "none" => "none".to_owned(),
        default => format!("`{default}`"),
    }
}
