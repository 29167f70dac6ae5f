//! `oriolering render`: prints the effective settings of a site.

use clap::{Arg, ArgMatches, Command};
use oriolering::Route;
use oriolering::config::{Field, RouteFields, ServiceSettings, SettingsSet, SiteSettings};
use serde::Serialize;
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
    let service = args.get_one::<String>("service");
    let services = choose(&settings, service)?;
    // A service alone has neither routes nor callers.
    let whole = service.is_none().then_some(&settings);
    Ok(match Format::of(args) {
        Format::Text => text(&services, whole),
        Format::Json => json(&services, whole),
    })
}

pub(crate) fn site(set: &SettingsSet, site: Option<&String>) -> Result<SiteSettings, Failure> {
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
    settings: &'a SiteSettings,
    service: Option<&String>,
) -> Result<Vec<&'a ServiceSettings>, Failure> {
    let Some(name) = service else {
        return Ok(settings.services.iter().collect());
    };
    if let Some(key) = settings.service_key(name) {
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

fn json(services: &[&ServiceSettings], whole: Option<&SiteSettings>) -> String {
    let mut all = Map::new();
    let entries = services.iter().map(|s| (s.name.to_string(), values(s)));
    all.insert("services".to_owned(), Value::Object(entries.collect()));
    if let Some(settings) = whole {
        let route = |r: &Route| (r.name.to_string(), values(&RouteFields::from(r)));
        let routes = settings.routes.iter().map(route);
        all.insert("routes".to_owned(), Value::Object(routes.collect()));
        all.insert("callers".to_owned(), values(&settings.callers));
    }
    to_json(&all)
}

fn values(settings: &impl Serialize) -> Value {
    serde_json::to_value(settings).unwrap_or_default()
}

fn text(services: &[&ServiceSettings], whole: Option<&SiteSettings>) -> String {
    let fields = SettingsSet::service_fields();
    let blocks = services.iter();
    let mut blocks: Vec<String> = blocks
        .map(|s| block(&s.name, &values(s), &fields))
        .collect();
    if let Some(settings) = whole {
        let fields = SettingsSet::route_fields();
        let route = |r: &Route| {
            let title = format!("route {}", r.name);
            block(&title, &values(&RouteFields::from(r)), &fields)
        };
        blocks.extend(settings.routes.iter().map(route));
        let callers = values(&settings.callers);
        blocks.push(block("callers", &callers, &SettingsSet::caller_fields()));
    }
    blocks.join("\n")
}

/// Returns fields with their values and units below a title, one to a line.
fn block(title: &str, values: &Value, fields: &[Field]) -> String {
    let rows = fields.iter().map(|field| {
        let value = field.path.split('.').fold(values, |value, key| &value[key]);
        vec![
            format!("  {}", field.path),
            plain(value),
            field.unit.to_string(),
        ]
    });
    format!("{title}\n{}", table::render(&rows.collect::<Vec<_>>()))
}

/// Returns a value without quotes and brackets.
pub(crate) fn plain(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
        Value::Object(parts) => {
            let parts = parts.iter().map(|(key, value)| format!("{key} {value}"));
            parts.collect::<Vec<_>>().join(", ")
        }
        Value::Bool(_) | Value::Number(_) => value.to_string(),
    }
}
