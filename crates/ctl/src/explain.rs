//! `oriolering explain`: shows where a call would go, and why.

use clap::{Arg, ArgMatches, Command};
use compact_str::CompactString;
use serde::Deserialize;

use crate::client::{self, Answer};
use crate::failure::{Failure, UsageSnafu};
use crate::format::Format;
use crate::status::{duration, micros, show};
use crate::status_report::GateReport;
use crate::{args, table};

/// What a node knows when it chooses a backend server. Every field may be missing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Explanation {
    policy: Option<CompactString>,
    chosen: Option<CompactString>,
    candidates: Vec<Candidate>,
}

/// One backend server that was weighed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Candidate {
    id: CompactString,
    local: Option<bool>,
    class: Option<CompactString>,
    inflight: Option<u64>,
    load: Option<f64>,
    latency_us: Option<u64>,
    hint: Option<GateReport>,
    age_ms: Option<u64>,
    reason: Option<CompactString>,
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
        .arg(args::node())
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
    match Format::of(args) {
        Format::Json => client::finish(&answers, client::to_rows(&answers, "explanation")),
        Format::Text => {
            let answers: Vec<Answer<Explanation>> = answers.iter().map(Answer::read).collect();
            let report = answers.iter().map(|a| text(a, service)).collect();
            client::finish(&answers, report)
        }
    }
}

fn text(answer: &Answer<Explanation>, service: &str) -> String {
    let node = answer.node;
    let explanation = match &answer.result {
        Ok(explanation) => explanation,
        Err(cause) => return format!("{node} {}\n", cause.text),
    };
    let chosen = explanation.chosen.as_ref();
    let head = match chosen {
        Some(chosen) => format!("{node} would send a call to {service} to {chosen}"),
        None if explanation.candidates.is_empty() => {
            return format!(
                "{node} would refuse a call to {service}: it knows no backend server\n"
            );
        }
        None => format!("{node} chooses for a call to {service} among"),
    };
    let policy = explanation.policy.as_ref();
    let policy = policy.map_or(String::new(), |policy| format!(" (policy {policy})"));
    let mut rows = vec![table::row([
        "",
        "ID",
        "LOCAL",
        "CLASS",
        "IN FLIGHT",
        "LOAD",
        "RUNNING",
        "QUEUED",
        "LIMIT",
        "LATENCY",
        "HINT AGE",
        "REASON",
    ])];
    let candidates = explanation.candidates.iter();
    rows.extend(candidates.map(|c| candidate_row(c, chosen == Some(&c.id))));
    format!(
        "{head}{policy}\n{}",
        table::render(&table::without_empty(rows))
    )
}

fn candidate_row(c: &Candidate, is_chosen: bool) -> Vec<String> {
    let hint = c.hint.clone().unwrap_or_default();
    let latency = c.latency_us.or(hint.latency_us);
    let local = c.local.map(|local| if local { "yes" } else { "no" });
    vec![
        if is_chosen { "*" } else { "" }.to_owned(),
        c.id.to_string(),
        show(local),
        show(c.class.as_ref()),
        show(c.inflight),
        show(c.load.map(|load| format!("{load:.1}"))),
        show(hint.running),
        show(hint.queued),
        show(hint.limit),
        show(latency.filter(|us| *us > 0).map(micros)),
        show(c.age_ms.map(duration)),
        show(c.reason.as_ref()),
    ]
}
