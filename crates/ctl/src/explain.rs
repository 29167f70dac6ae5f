//! `oriolering explain`: shows where a call would go, and why.

use clap::{Arg, ArgMatches, Command};
use compact_str::CompactString;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::{self, Answer};
use crate::failure::{Failure, UsageSnafu};
use crate::format::{Format, to_json};
use crate::status::{duration, micros};
use crate::{cli, table};

/// Why a node would send a call where it does. Every field may be missing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Explanation {
    policy: Option<CompactString>,
    chosen: Option<CompactString>,
    reason: Option<String>,
    candidates: Vec<Candidate>,
}

/// One backend server that was weighed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Candidate {
    id: CompactString,
    zone: Option<CompactString>,
    state: Option<CompactString>,
    in_flight: Option<u64>,
    running: Option<u64>,
    queued: Option<u64>,
    limit: Option<u64>,
    latency_us: Option<u64>,
    age_ms: Option<u64>,
    score: Option<f64>,
    reason: Option<String>,
}

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Shows where a node would send a call, and why")
        .long_about(
            "Shows to which backend server a node would send a call to a service right now,\n\
             and what it knows of every candidate. Load and latency come from the hints\n\
             that gates send with answers; their age is shown.",
        )
        .after_help("Example:\n  oriolering explain --node 127.0.0.1:7400 --service caja")
        .arg(cli::node_arg())
        .arg(
            Arg::new("service")
                .long("service")
                .value_name("SERVICE")
                .required(true)
                .value_parser(parse_service)
                .help("The service that the call is for"),
        )
        .arg(Format::arg())
}

fn parse_service(text: &str) -> Result<String, String> {
    let is_name = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    match !text.is_empty() && text.len() < 64 && text.bytes().all(is_name) {
        true => Ok(text.to_owned()),
        false => Err("write the name of a service as in the base file, such as caja".to_owned()),
    }
}

/// Returns what each node would do.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let Some(service) = args.get_one::<String>("service") else {
        return UsageSnafu {
            text: "no service is given",
            remedy: "write --service NAME",
        }
        .fail();
    };
    let path = format!("/explain?service={service}");
    let answers = client::ask(&client::nodes(args), &path);
    let report = match Format::of(args) {
        Format::Json => to_json(&json!({"nodes": rows(&answers)})),
        Format::Text => answers.iter().map(|a| text(a, service)).collect(),
    };
    match answers.iter().find_map(|a| a.failure(&report)) {
        Some(failure) => Err(failure),
        None => Ok(report),
    }
}

fn rows(answers: &[Answer]) -> Vec<Value> {
    let row = |a: &Answer| match &a.result {
        Ok(value) => json!({"node": a.node, "explanation": value}),
        Err(cause) => json!({"node": a.node, "error": cause}),
    };
    answers.iter().map(row).collect()
}

fn text(answer: &Answer, service: &str) -> String {
    let node = answer.node;
    let value = match &answer.result {
        Ok(value) => value.clone(),
        Err(cause) => return format!("{node} {cause}\n"),
    };
    let e: Explanation = serde_json::from_value(value).unwrap_or_default();
    let head = match &e.chosen {
        Some(chosen) => format!("{node} would send a call to {service} to {chosen}"),
        None => format!("{node} would refuse a call to {service} as not run"),
    };
    let reason = e
        .reason
        .map_or(String::new(), |reason| format!(": {reason}"));
    let policy = e
        .policy
        .map_or(String::new(), |policy| format!(" (policy {policy})"));
    let mut rows = vec![table::row([
        "",
        "ID",
        "ZONE",
        "STATE",
        "IN FLIGHT",
        "RUNNING",
        "QUEUED",
        "LIMIT",
        "LATENCY",
        "HINT AGE",
        "SCORE",
        "REASON",
    ])];
    let candidates = e.candidates.iter();
    rows.extend(candidates.map(|c| candidate_row(c, e.chosen.as_ref() == Some(&c.id))));
    format!("{head}{reason}{policy}\n{}", table::render(&rows))
}

fn candidate_row(c: &Candidate, is_chosen: bool) -> Vec<String> {
    let number = |value: Option<u64>| value.map_or("-".to_owned(), |n| n.to_string());
    let name = |value: &Option<CompactString>| value.as_deref().unwrap_or("-").to_owned();
    vec![
        if is_chosen { "*" } else { "" }.to_owned(),
        c.id.to_string(),
        name(&c.zone),
        name(&c.state),
        number(c.in_flight),
        number(c.running),
        number(c.queued),
        number(c.limit),
        c.latency_us.map_or("-".to_owned(), micros),
        c.age_ms.map_or("-".to_owned(), duration),
        c.score
            .map_or("-".to_owned(), |score| format!("{score:.2}")),
        c.reason.clone().unwrap_or_default(),
    ]
}
