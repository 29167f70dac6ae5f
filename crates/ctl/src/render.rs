//! `oriolering render`: prints the effective settings of a site.

use clap::{Arg, ArgMatches, Command};
use oriolering::config::{Service, Set, Settings};
use serde_json::{Map, Value};

use crate::failure::{Failure, UsageSnafu};
use crate::format::{Format, to_json};
use crate::{source, table};

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("render")
        .about("Prints the effective settings of a site")
        .long_about(
            "Prints the effective settings of a site: the base, the site's overlay and the\n\
             defaults together. Without --site, those of a site without an overlay.",
        )
        .after_help(
            "Examples:\n  oriolering render examples/rental --site yungay\n  \
             oriolering render examples/rental --site yungay --service caja --format json",
        )
        .arg(source::arg(
            "set",
            "The directory of the set, or a published value",
        ))
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("SITE")
                .help("The site, which is an availability zone"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SERVICE")
                .help("Prints this service only"),
        )
        .arg(Format::arg())
}

/// Returns the effective settings.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let set = source::parse(args, "set")?;
    let settings = site(&set, args.get_one::<String>("site"))?;
    let services = choose(&settings, args.get_one::<String>("service"))?;
    Ok(match Format::of(args) {
        Format::Text => text(&services),
        Format::Json => json(&services),
    })
}

fn site(set: &Set, site: Option<&String>) -> Result<Settings, Failure> {
    let Some(site) = site else {
        return Ok(set.base().clone());
    };
    if set.sites().any(|name| name == site) {
        return Ok(set.site(site));
    }
    let known: Vec<&str> = set.sites().collect();
    UsageSnafu {
        text: format!(
            "no overlay is called {site} (there are: {})",
            known.join(", ")
        ),
        remedy: "write one of these, or leave --site out for a site without an overlay",
    }
    .fail()
}

fn choose<'a>(
    settings: &'a Settings,
    service: Option<&String>,
) -> Result<Vec<&'a Service>, Failure> {
    let Some(name) = service else {
        return Ok(settings.services.iter().collect());
    };
    if let Some(key) = settings.key(name) {
        return Ok(vec![settings.service(key)]);
    }
    let known: Vec<&str> = settings.services.iter().map(|s| s.name.as_str()).collect();
    UsageSnafu {
        text: format!(
            "no service is called {name} (there are: {})",
            known.join(", ")
        ),
        remedy: "write one of these, or leave --service out for all",
    }
    .fail()
}

fn json(services: &[&Service]) -> String {
    let entries = services.iter().map(|s| (s.name.to_string(), fields(s)));
    let entries: Map<String, Value> = entries.collect();
    to_json(&serde_json::json!({"services": entries}))
}

fn fields(service: &Service) -> Value {
    serde_json::to_value(service).unwrap_or_default()
}

fn text(services: &[&Service]) -> String {
    let blocks = services.iter().map(|s| block(s));
    blocks.collect::<Vec<_>>().join("\n")
}

/// Returns the fields of one service with their values and units, one to a line.
fn block(service: &Service) -> String {
    let values = fields(service);
    let rows = Set::fields().into_iter().map(|field| {
        let value = field
            .path
            .split('.')
            .fold(&values, |value, key| &value[key]);
        vec![
            format!("  {}", field.path),
            plain(value),
            field.unit.to_string(),
        ]
    });
    format!(
        "{}\n{}",
        service.name,
        table::render(&rows.collect::<Vec<_>>())
    )
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
        Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}
