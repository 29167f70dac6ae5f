//! `oriolering diff`: compares two sets by their effect.

use clap::{ArgMatches, Command};
use oriolering::config;

use crate::failure::Failure;
use crate::format::{Format, to_json};
use crate::source;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("diff")
        .about("Compares two sets by their effect at each site")
        .long_about(
            "Compares two sets by their effect at each site, such as \"in Yungay, caja's\n\
             queue falls from 24 to 12\". Texts that differ without an effect give no line.",
        )
        .after_help("Example:\n  oriolering diff in-force.json examples/rental")
        .arg(source::arg(
            "old",
            "The set before: a directory or a published value",
        ))
        .arg(source::arg("new", "The set after"))
        .arg(Format::arg())
}

/// Returns the differences, one to a line.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let old = source::parse(args, "old")?;
    let new = source::parse(args, "new")?;
    let changes = config::diff(&old, &new);
    Ok(match Format::of(args) {
        Format::Json => to_json(&changes),
        Format::Text if changes.is_empty() => "no change at any site\n".to_owned(),
        Format::Text => changes.iter().map(|change| format!("{change}\n")).collect(),
    })
}
