//! `oriolering status`: shows what nodes do.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use crate::client::{self, Answer};
use crate::failure::Failure;
use crate::format::{Format, to_json};
use crate::status_report::{MemberReport, StatusReport};
use crate::{cli, table};

/// Moves the cursor of a terminal to the top left and clears the screen.
const CLEAR: &str = "\u{1b}[H\u{1b}[2J";

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Shows what one or several nodes do")
        .long_about(
            "Shows what one or several nodes do: the configuration revision in force, the\n\
             load and limit of each gate, the measuring budget that was spent, who is\n\
             leaving and what is quarantined. A node that cannot be asked is shown as such,\n\
             and the exit code is then 3.",
        )
        .after_help(
            "Examples:\n  oriolering status --node 127.0.0.1:7400\n  \
             oriolering status --node 127.0.0.1:7400 --node 127.0.0.1:7401 --watch 2\n  \
             oriolering status --node 127.0.0.1:7400 --counters",
        )
        .arg(cli::node_arg().help("The admin address of a node; may be given several times"))
        .arg(
            Arg::new("watch")
                .long("watch")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .help("Refreshes after so many seconds, until interrupted"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("TIMES")
                .requires("watch")
                .value_parser(value_parser!(u64).range(1..))
                .help("Ends after so many refreshes"),
        )
        .arg(
            Arg::new("counters")
                .long("counters")
                .action(ArgAction::SetTrue)
                .help("Adds the counters of each node"),
        )
        .arg(Format::arg())
}

/// Returns the status of all nodes; with `--watch` prints it again and again.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let Some(seconds) = args.get_one::<u64>("watch") else {
        return once(args);
    };
    let count = args.get_one::<u64>("count").copied().unwrap_or(u64::MAX);
    for _ in 1..count {
        let text = once(args).unwrap_or_else(|failure| failure.report());
        crate::print(&(CLEAR.to_owned() + &text));
        thread::sleep(Duration::from_secs(*seconds));
    }
    once(args).map(|text| CLEAR.to_owned() + &text)
}

fn once(args: &ArgMatches) -> Result<String, Failure> {
    let answers = client::ask(&client::nodes(args), "/status");
    let report = match Format::of(args) {
        Format::Json => to_json(&json!({"nodes": rows(&answers)})),
        Format::Text => text(&answers, args.get_flag("counters")),
    };
    match answers.iter().find_map(|a| a.failure(&report)) {
        Some(failure) => Err(failure),
        None => Ok(report),
    }
}

fn rows(answers: &[Answer]) -> Vec<Value> {
    let row = |a: &Answer| match &a.result {
        Ok(status) => json!({"node": a.node, "status": status}),
        Err(cause) => json!({"node": a.node, "error": cause}),
    };
    answers.iter().map(row).collect()
}

fn text(answers: &[Answer], counters: bool) -> String {
    let reports: Vec<Option<StatusReport>> = answers.iter().map(report).collect();
    let mut rows = vec![table::row([
        "NODE",
        "ID",
        "SERVICE",
        "ZONE",
        "STATE",
        "REVISION",
        "AGE",
        "RUNNING",
        "QUEUED",
        "LIMIT",
        "LATENCY",
        "MEASURING",
        "CPU",
        "MEMORY",
        "CONTROL",
    ])];
    rows.extend(answers.iter().zip(&reports).map(|(a, r)| node_row(a, r)));
    let known: Vec<&StatusReport> = reports.iter().flatten().collect();
    let mut text = table::render(&rows);
    text += &revisions(answers, &reports);
    text += &members(&known);
    text += &quarantines(&known);
    if counters {
        text += &counter_table(&known);
    }
    text
}

fn report(answer: &Answer) -> Option<StatusReport> {
    let value = answer.result.as_ref().ok()?;
    Some(serde_json::from_value(value.clone()).unwrap_or_default())
}

fn node_row(answer: &Answer, report: &Option<StatusReport>) -> Vec<String> {
    let node = answer.node.to_string();
    let Some(r) = report else {
        let cause = answer.result.as_ref().err().cloned().unwrap_or_default();
        return vec![node, cause];
    };
    let budget = match (r.budget.spent_ms, r.budget.allowed_ms) {
        (Some(spent), Some(allowed)) => format!("{spent} of {allowed} ms"),
        (Some(spent), None) => format!("{spent} ms"),
        (None, Some(_)) | (None, None) => "-".to_owned(),
    };
    vec![
        node,
        show(r.id.as_ref()),
        show(r.service.as_ref()),
        show(r.zone.as_ref()),
        r.state().to_owned(),
        show(r.revision),
        r.config_age_ms.map_or("-".to_owned(), duration),
        show(r.gate.running),
        show(r.gate.queued),
        show(r.gate.limit),
        r.gate.latency_us.map_or("-".to_owned(), micros),
        budget,
        unit(r.control.cpu_percent, " %"),
        unit(r.control.rss_mb, " MB"),
        unit(r.control.bytes_per_s, " B/s"),
    ]
}

/// Names the nodes whose revision is behind the highest one.
fn revisions(answers: &[Answer], reports: &[Option<StatusReport>]) -> String {
    let Some(highest) = reports.iter().flatten().filter_map(|r| r.revision).max() else {
        return String::new();
    };
    let behind = answers.iter().zip(reports).filter_map(|(answer, report)| {
        let report = report.as_ref()?;
        let name = report
            .id
            .as_ref()
            .map_or_else(|| answer.node.to_string(), |id| id.to_string());
        match report.revision {
            Some(revision) if revision == highest => None,
            Some(revision) => Some(format!("{name} at {revision}")),
            None => Some(format!("{name} without one")),
        }
    });
    let behind: Vec<String> = behind.collect();
    match behind.is_empty() {
        true => format!("\nrevision {highest} is in force at every node that answered\n"),
        false => format!("\nbehind revision {highest}: {}\n", behind.join(", ")),
    }
}

/// Counts the instances that the nodes know by state, and names those that are not live.
fn members(reports: &[&StatusReport]) -> String {
    let all = reports.iter().flat_map(|r| &r.members);
    let mut latest: BTreeMap<&str, &MemberReport> = BTreeMap::new();
    for member in all {
        let known = latest.entry(&member.id).or_insert(member);
        if member.heard_ms.unwrap_or(u64::MAX) < known.heard_ms.unwrap_or(u64::MAX) {
            *known = member;
        }
    }
    let is_live = |m: &&&MemberReport| m.state.as_deref().unwrap_or("live") == "live";
    let live = latest.values().filter(is_live).count();
    let others = latest.values().filter(|m| !is_live(m));
    let others: Vec<String> = others.map(|m| member(m)).collect();
    match (latest.is_empty(), others.is_empty()) {
        (true, _) => String::new(),
        (false, true) => format!("instances known: {live} live\n"),
        (false, false) => format!("instances known: {live} live, {}\n", others.join(", ")),
    }
}

fn member(member: &MemberReport) -> String {
    let state = show(member.state.as_ref());
    let place = match (&member.service, &member.zone) {
        (Some(service), Some(zone)) => format!(" of {service} in {zone}"),
        (Some(service), None) => format!(" of {service}"),
        (None, Some(zone)) => format!(" in {zone}"),
        (None, None) => String::new(),
    };
    let heard = member.heard_ms.map(duration);
    let heard = heard.map_or(String::new(), |age| format!(", heard {age} ago"));
    format!("{}{place} {state}{heard}", member.id)
}

/// Lists the quarantined requests with the nodes that refuse them.
fn quarantines(reports: &[&StatusReport]) -> String {
    let mut by_print: BTreeMap<&str, (u64, BTreeSet<String>)> = BTreeMap::new();
    for report in reports {
        for quarantine in &report.quarantines {
            let entry = by_print.entry(&quarantine.fingerprint).or_default();
            entry.0 = entry.0.max(quarantine.left_ms.unwrap_or(0));
            entry.1.insert(show(report.id.as_ref()));
        }
    }
    let lines = by_print.iter().map(|(print, (left, nodes))| {
        let nodes: Vec<&str> = nodes.iter().map(String::as_str).collect();
        let left = duration(*left);
        format!(
            "quarantined: {print} for another {left} at {}\n",
            nodes.join(", ")
        )
    });
    lines.collect()
}

fn counter_table(reports: &[&StatusReport]) -> String {
    let names: BTreeSet<&str> = reports
        .iter()
        .flat_map(|r| r.counters.keys().map(|k| k.as_str()))
        .collect();
    let ids = reports.iter().map(|r| show(r.id.as_ref()));
    let mut rows = vec![["COUNTER".to_owned()].into_iter().chain(ids).collect()];
    for name in names {
        let values = reports.iter().map(|r| show(r.counters.get(name)));
        rows.push([name.to_owned()].into_iter().chain(values).collect());
    }
    format!("\n{}", table::render(&rows))
}

fn show(value: Option<impl ToString>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

fn unit(value: Option<f64>, unit: &str) -> String {
    value.map_or("-".to_owned(), |value| format!("{value:.1}{unit}"))
}

/// Returns microseconds as milliseconds.
pub(crate) fn micros(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1_000.0)
}

/// Returns milliseconds in the unit that suits their size.
pub(crate) fn duration(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..10_000 => format!("{:.1} s", ms as f64 / 1_000.0),
        10_000..120_000 => format!("{} s", ms / 1_000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}
