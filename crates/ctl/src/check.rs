//! `oriolering check`: checks a base with all its overlays.

use clap::{ArgMatches, Command};
use oriolering::config::SettingsSet;

use crate::failure::Failure;
use crate::format::{Format, to_json};
use crate::source;

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("check")
        .about("Checks a base file with all its overlays")
        .long_about(
            "Checks a base file with all its overlays, and prints every problem at once\n\
             with its file, line, column, field and remedy.\n\n\
             The verdict is the one that every node would reach: a set that passes here is\n\
             accepted everywhere.",
        )
        .after_help("Example:\n  oriolering check examples/rental")
        .arg(source::arg(
            "set",
            "The directory of the set, or a published value",
        ))
        .arg(Format::arg())
}

/// Checks the set and returns a summary of it.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let set = source::parse(args, "set").map_err(as_result)?;
    let path = args.get_one::<String>("set").cloned().unwrap_or_default();
    Ok(match Format::of(args) {
        Format::Text => text(&path, &set),
        Format::Json => to_json(&serde_json::json!({
            "problems": [],
            "services": names(&set),
            "routes": routes(&set),
            "sites": set.sites().collect::<Vec<_>>(),
        })),
    })
}

/// Turns the problems of a set into the result of the check.
fn as_result(failure: Failure) -> Failure {
    match failure {
        Failure::Invalid { report } => Failure::Problems { report },
        Failure::Problems { .. } | Failure::Usage { .. } | Failure::Unreachable { .. } => failure,
    }
}

fn names(set: &SettingsSet) -> Vec<&str> {
    let services = set.base().services.iter();
    services.map(|s| s.name.as_str()).collect()
}

fn routes(set: &SettingsSet) -> Vec<&str> {
    let routes = set.base().routes.iter();
    routes.map(|r| r.name.as_str()).collect()
}

/// Returns names as a list in a sentence.
fn listed(names: &[&str]) -> String {
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    }
}

fn text(path: &str, set: &SettingsSet) -> String {
    let sites: Vec<&str> = set.sites().collect();
    format!(
        "{path}: no problems\n  services: {}\n  routes: {}\n  sites with an overlay: {}\n",
        listed(&names(set)),
        listed(&routes(set)),
        listed(&sites)
    )
}
