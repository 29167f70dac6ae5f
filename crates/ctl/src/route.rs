//! `oriolering route`: tells which route takes a request, and what set each of its fields.

use clap::{Arg, ArgMatches, Command};
use oriolering::config::{Bundle, FieldOrigin, RouteMatch, SettingsSet, find_route};
use oriolering::{Route, RouteKind};
use serde_json::Value;

use crate::failure::Failure;
use crate::format::{Format, to_json};
use crate::render::{plain, site};
use crate::{source, table};

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("route")
        .about("Tells which route of a set takes a request")
        .long_about(
            "Tells which route of a set takes the requests to a host and path at a site: the\n\
             services with their shares, what may be repeated, and for each field its value\n\
             and the file and line that set it. Without --site, at a site without an overlay.",
        )
        .after_help(
            "Example:\n  oriolering route examples/rental --site yungay --host \
             shop.huascaran.example --path /stock/7",
        )
        .arg(source::arg(
            "set",
            "The directory of the set, or a published value",
        ))
        .arg(text(
            "site",
            "SITE",
            "The site, which is an availability zone",
        ))
        .arg(text("host", "HOST", "The host that the request names").required(true))
        .arg(text("path", "PATH", "The path of the request").required(true))
        .arg(Format::arg())
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns the route of the request and the origin of its fields.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let source = source::read(args, "set")?;
    let format = Format::of(args);
    let refuse = |problems| source::refuse(&source.path, &problems, format);
    let set = SettingsSet::parse(&source.bundle).map_err(refuse)?;
    let settings = site(&set, args.get_one::<String>("site"))?;
    let request = Request::of(args);
    let answer = request.find(&source.bundle).map_err(refuse)?;
    Ok(match (format, answer) {
        (Format::Json, answer) => to_json(&answer.map(|a| json(&a))),
        (Format::Text, Some(answer)) => request.found(&answer),
        (Format::Text, None) => request.lost(&settings.routes),
    })
}

/// The request that is asked about.
struct Request<'a> {
    site: Option<&'a str>,
    host: &'a str,
    path: &'a str,
}

impl<'a> Request<'a> {
    fn of(args: &'a ArgMatches) -> Self {
        let text = |name: &str| args.get_one::<String>(name).map(String::as_str);
        Self {
            site: text("site"),
            host: text("host").unwrap_or_default(),
            path: text("path").unwrap_or_default(),
        }
    }

    fn find(&self, bundle: &Bundle) -> Result<Option<RouteMatch>, oriolering::config::Problems> {
        find_route(bundle, self.site, self.host, self.path)
    }

    /// Returns the sentences on a route, and the table of its fields.
    fn found(&self, answer: &RouteMatch) -> String {
        let route = &answer.route;
        let mut rows = vec![table::row(["  FIELD", "VALUE", "UNIT", "SET BY"])];
        rows.extend(answer.fields.iter().map(row));
        format!(
            "{}{} takes route {} to {}\n  {}\n\n{}",
            self.host,
            self.path,
            route.name,
            shares(route),
            repetition(route),
            table::render(&rows)
        )
    }

    /// Returns the sentence on a request without a route, with the prefixes that there are.
    fn lost(&self, routes: &[Route]) -> String {
        let of_host = routes.iter().filter(|r| r.host == self.host);
        let prefixes: Vec<&str> = of_host.map(|r| r.prefix.as_str()).collect();
        let hint = match prefixes.is_empty() {
            true => format!("no route has the host {}", self.host),
            false => format!("the routes of this host begin with {}", prefixes.join(", ")),
        };
        format!("{}{} has no route: {hint}\n", self.host, self.path)
    }
}

fn row(origin: &FieldOrigin) -> Vec<String> {
    let location = origin.location.as_ref();
    vec![
        format!("  {}", origin.path),
        plain(&origin.value),
        origin.unit.to_string(),
        location.map_or_else(|| "default".to_owned(), ToString::to_string),
    ]
}

/// Returns the services of a route with their shares in percent.
fn shares(route: &Route) -> String {
    let total: u64 = route.parts.iter().map(|p| u64::from(p.weight)).sum();
    let share = |weight: u32| f64::from(weight) * 100.0 / total.max(1) as f64;
    let parts = route.parts.iter();
    let texts = parts.map(|p| format!("{} ({:.1} %)", p.service, share(p.weight)));
    texts.collect::<Vec<_>>().join(", ")
}

/// Returns what may be repeated of the requests on a route.
fn repetition(route: &Route) -> String {
    let most = route.attempts;
    match route.kind {
        RouteKind::Idempotent => format!(
            "idempotent: a request that may have run may be sent again, to {most} backend \
             servers at most"
        ),
        RouteKind::NonIdempotent => format!(
            "non-idempotent: a request is sent again only while it is sure not to have run, to \
             {most} backend servers at most"
        ),
        RouteKind::Upload => format!(
            "upload: a request with a large body, sent again only while it is sure not to have \
             run, to {most} backend servers at most"
        ),
        RouteKind::Download => format!(
            "download: a request with a large response; one that may have run may be sent again, \
             to {most} backend servers at most"
        ),
    }
}

fn json(answer: &RouteMatch) -> Value {
    let route = &answer.route;
    serde_json::json!({
        "route": route.name.as_str(),
        "kind": route.kind.as_str(),
        "repeatable": route.kind.is_idempotent(),
        "parts": route.parts,
        "fields": answer.fields,
    })
}
