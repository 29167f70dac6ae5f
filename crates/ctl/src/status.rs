//! `oriolering status`: shows what nodes do.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::client::{self, Answer};
use crate::failure::Failure;
use crate::format::Format;
use crate::status_report::{BudgetReport, MemberReport, StatusReport};
use crate::{args, table};

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
        .arg(args::node().help("The admin address of a node; may be given several times"))
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
    let clear = match Format::of(args) {
        Format::Text => CLEAR,
        Format::Json => "",
    };
    for _ in 1..count {
        let text = once(args).unwrap_or_else(|failure| failure.report());
        if crate::print(&format!("{clear}{text}")).is_err() {
            return Ok(String::new());
        }
        thread::sleep(Duration::from_secs(*seconds));
    }
    once(args).map(|text| format!("{clear}{text}"))
}

fn once(args: &ArgMatches) -> Result<String, Failure> {
    let answers = client::ask(&client::nodes(args), "/status");
    match Format::of(args) {
        Format::Json => client::finish(&answers, client::to_rows(&answers, "status")),
        Format::Text => {
            let answers: Vec<Status> = answers.iter().map(Answer::read).collect();
            client::finish(&answers, text(&answers, args.get_flag("counters")))
        }
    }
}

/// The status of one node, or why there is none.
type Status = Answer<StatusReport>;

fn text(answers: &[Status], counters: bool) -> String {
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
        "CONTROL LEFT",
        "CPU",
        "MEMORY",
        "TRAFFIC",
    ])];
    rows.extend(answers.iter().map(row));
    let known: Vec<&StatusReport> = answers.iter().flat_map(|a| &a.result).collect();
    let mut text = table::render(&table::without_empty(rows));
    text += &revisions(answers);
    text += &rejected(&known);
    text += &members(&known);
    text += &silent_zones(&known);
    text += &quarantines(&known);
    if counters {
        text += &counter_table(&known);
    }
    text
}

fn row(answer: &Status) -> Vec<String> {
    let node = answer.node.to_string();
    let r = match &answer.result {
        Ok(report) => report,
        Err(cause) => return vec![node, cause.text.clone()],
    };
    let gate = r.gate.clone().unwrap_or_default();
    let control = r.control.clone().unwrap_or_default();
    vec![
        node,
        show(r.id.as_ref()),
        show(r.service.as_ref()),
        show(r.zone.as_ref()),
        r.state().to_owned(),
        show(r.revision),
        show(r.config_age_ms.or(control.revision_age).map(duration)),
        show(gate.running),
        show(gate.queued),
        show(gate.limit),
        show(gate.latency_us.filter(|us| *us > 0).map(micros)),
        show(r.budget.as_ref().and_then(budget)),
        show(control.budget_percent.map(|left| format!("{left} %"))),
        show(control.cpu_percent.map(|cpu| format!("{cpu:.1} %"))),
        show(control.rss_mb.map(|mb| format!("{mb:.1} MB"))),
        show(control.bytes_per_s.map(|bytes| format!("{bytes:.0} B/s"))),
    ]
}

fn budget(budget: &BudgetReport) -> Option<String> {
    let spent = budget.spent_ms?;
    Some(match budget.allowed_ms {
        Some(allowed) => format!("{spent} of {allowed} ms"),
        None => format!("{spent} ms"),
    })
}

/// Names the nodes whose revision is behind the highest one.
fn revisions(answers: &[Status]) -> String {
    let reports = answers.iter().flat_map(|a| &a.result);
    let Some(highest) = reports.filter_map(|r| r.revision).max() else {
        return String::new();
    };
    let behind = answers.iter().filter_map(|answer| {
        let report = answer.result.as_ref().ok()?;
        let node = || answer.node.to_string();
        let name = report.id.as_ref().map_or_else(node, |id| id.to_string());
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

/// Lists the revisions that nodes refused, with the first problem of each.
fn rejected(reports: &[&StatusReport]) -> String {
    let all = reports
        .iter()
        .flat_map(|r| &r.control)
        .flat_map(|c| &c.rejected);
    let first = all.map(|r| (r.revision, r.reason.lines().next().unwrap_or_default()));
    let first: BTreeMap<u64, &str> = first.collect();
    let lines = first
        .iter()
        .map(|(revision, reason)| format!("refused {revision}: {reason}\n"));
    lines.collect()
}

/// Names the availability zones from which some node hears nothing.
fn silent_zones(reports: &[&StatusReport]) -> String {
    let mut zones: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for report in reports {
        let silent = report.control.iter().flat_map(|c| &c.silent_zones);
        for zone in silent {
            zones
                .entry(zone)
                .or_default()
                .insert(show(report.id.as_ref()));
        }
    }
    let line = |(zone, ids): (&&str, &BTreeSet<String>)| {
        format!("nothing is heard from {zone} at {}\n", list(ids))
    };
    zones.iter().map(line).collect()
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

/// Lists the requests that crashed backend servers with the nodes that know of them.
fn quarantines(reports: &[&StatusReport]) -> String {
    let mut found: BTreeMap<(String, &str), (u64, BTreeSet<String>)> = BTreeMap::new();
    for report in reports {
        for quarantine in &report.quarantines {
            let verdict = quarantine
                .verdict
                .as_deref()
                .unwrap_or("quarantined")
                .to_lowercase();
            let entry = found.entry((verdict, &quarantine.fingerprint)).or_default();
            entry.0 = entry.0.max(quarantine.left_ms.unwrap_or(0));
            entry.1.insert(show(report.id.as_ref()));
        }
    }
    let lines = found.iter().map(|((verdict, fingerprint), (left, ids))| {
        let left = duration(*left);
        format!(
            "{verdict}: {fingerprint} for another {left} at {}\n",
            list(ids)
        )
    });
    lines.collect()
}

fn list(ids: &BTreeSet<String>) -> String {
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    ids.join(", ")
}

fn counter_table(reports: &[&StatusReport]) -> String {
    let counters: Vec<BTreeMap<String, u64>> = reports.iter().map(|r| counters(r)).collect();
    let names: BTreeSet<&String> = counters.iter().flat_map(BTreeMap::keys).collect();
    let ids = reports.iter().map(|r| show(r.id.as_ref()));
    let mut rows = vec![["COUNTER".to_owned()].into_iter().chain(ids).collect()];
    for name in names {
        let values = counters.iter().map(|c| show(c.get(name)));
        rows.push([name.clone()].into_iter().chain(values).collect());
    }
    format!("\n{}", table::render(&rows))
}

/// Returns the counters of a node and those of its control part.
fn counters(report: &StatusReport) -> BTreeMap<String, u64> {
    let own = report.counters.iter().map(|(k, v)| (k.to_string(), *v));
    let control = report.control.iter().flat_map(|c| &c.counts);
    own.chain(control.map(|(k, v)| (format!("control.{k}"), *v)))
        .collect()
}

/// Returns a value, or a hyphen for none.
pub(crate) fn show(value: Option<impl ToString>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
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
