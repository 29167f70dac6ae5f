//! The decisions that nodes on a platform wrote down about one request.
//!
//! Collected lines of several nodes are read, those of the request and of the calls made for it
//! are put in order, and changes of what the nodes believed at that time are put between them.

use std::collections::BTreeSet;
use std::io::Read;

use clap::ArgMatches;
use serde_json::{Map, Value, json};

use crate::failure::{Failure, UsageSnafu};
use crate::format::{Format, to_json};
use crate::table;

/// How long before the first line of a request a change may matter to it, in milliseconds: the
/// longest time after which nodes give up a link or a list.
const BEFORE_MS: u64 = 3_000;
/// How long after the last line of a request a change may explain it, in milliseconds.
const AFTER_MS: u64 = 1_000;
/// How long before a request the stop of a node may have begun, in milliseconds: longer than the
/// grace that platforms give.
const STOP_BEFORE_MS: u64 = 30_000;
/// The most lines that are shown.
const MAX_LINES: usize = 1_000;
/// The changes that matter to every request of a node.
const OF_NODE: [&str; 11] = [
    "started",
    "stopping",
    "stopped",
    "store_lost",
    "store_back",
    "routes_taken",
    "routes_rejected",
    "settings_reloaded",
    "settings_rejected",
    "accept_failed",
    "lines_dropped",
];
/// The fields that have a column of their own or are the same in all lines.
const OWN_COLUMN: [&str; 4] = ["time", "level", "node", "event"];

/// One line of a node.
#[derive(Clone, Debug)]
struct Line {
    time: String,
    at_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// Returns the line, if the text holds one; a collector may have put something before it.
    fn scan(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let time = fields.get("time")?.as_str()?.to_owned();
        let at_ms = scan_time(&time)?;
        Some(Self {
            time,
            at_ms,
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn number(&self, field: &str) -> u64 {
        self.fields
            .get(field)
            .and_then(Value::as_u64)
            .unwrap_or_default()
    }

    fn is(&self, field: &str) -> bool {
        self.fields.get(field) == Some(&Value::Bool(true))
    }

    fn event(&self) -> &str {
        self.text("event")
    }

    /// Returns whether the line is of the request, or of a call that was made for it.
    fn is_of(&self, request: &str) -> bool {
        let rest = self.text("request").strip_prefix(request);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    }

    /// Returns the fields that have no column, as they stand in the line.
    fn what(&self) -> String {
        let rest = self
            .fields
            .iter()
            .filter(|(name, value)| !OWN_COLUMN.contains(&name.as_str()) && !value.is_null());
        let texts: Vec<String> = rest
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// Returns the milliseconds of a time of day such as `2026-08-14T15:18:14.276Z`, counted from
/// the beginning of its month.
fn scan_time(text: &str) -> Option<u64> {
    let figure = |from: usize, to: usize| text.get(from..to)?.parse::<u64>().ok();
    let days = figure(8, 10)?;
    let hours = days * 24 + figure(11, 13)?;
    let minutes = hours * 60 + figure(14, 16)?;
    let seconds = minutes * 60 + figure(17, 19)?;
    Some(seconds * 1_000 + figure(20, 23).unwrap_or_default())
}

/// Whom the lines of a request name.
#[derive(Default)]
struct Named {
    nodes: BTreeSet<String>,
    peers: BTreeSet<String>,
    servers: BTreeSet<String>,
    from_ms: u64,
    to_ms: u64,
}

impl Named {
    fn of(lines: &[Line]) -> Self {
        let all = |field: &str| {
            let texts = lines.iter().map(|line| line.text(field));
            texts.filter(|t| !t.is_empty()).map(str::to_owned).collect()
        };
        let times = || lines.iter().map(|line| line.at_ms);
        Self {
            nodes: all("node"),
            peers: all("peer"),
            servers: all("server"),
            from_ms: times().min().unwrap_or_default().saturating_sub(BEFORE_MS),
            to_ms: times().max().unwrap_or_default() + AFTER_MS,
        }
    }

    /// Returns whether a line tells a change that may matter to the request.
    fn concerns(&self, line: &Line) -> bool {
        let earlier = match line.event() {
            "stopping" => STOP_BEFORE_MS,
            _ => 0,
        };
        let in_time = line.at_ms + earlier >= self.from_ms && line.at_ms <= self.to_ms;
        if line.fields.contains_key("request") || !in_time {
            return false;
        }
        let here = self.nodes.contains(line.text("node"));
        let of_node = here && OF_NODE.contains(&line.event());
        let of_peer = here && self.peers.contains(line.text("peer"));
        let down = matches!(line.event(), "server_down" | "server_up");
        let of_server = (here || down) && self.servers.contains(line.text("server"));
        of_node || of_peer || of_server
    }
}

/// Returns what is known of a request from the lines in the files of the arguments.
pub(crate) fn run(args: &ArgMatches, request: &str) -> Result<String, Failure> {
    let files = args.get_many::<String>("lines").into_iter().flatten();
    let mut texts = Vec::new();
    for file in files {
        texts.push(read(file)?);
    }
    let all: Vec<Line> = texts
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(Line::scan)
        .collect();
    let mine: Vec<Line> = all.iter().filter(|l| l.is_of(request)).cloned().collect();
    let named = Named::of(&mine);
    let around = all.iter().filter(|l| named.concerns(l)).cloned();
    let mut shown = mine.clone();
    shown.extend(around);
    shown.sort_by_key(|line| line.at_ms);
    shown.truncate(MAX_LINES);
    let verdict = verdict(&mine, request);
    Ok(match Format::of(args) {
        Format::Json => {
            let lines: Vec<&Map<String, Value>> = shown.iter().map(|l| &l.fields).collect();
            to_json(&json!({"request": request, "lines": lines, "verdict": verdict}))
        }
        Format::Text => render(&shown, request, &verdict),
    })
}

fn read(file: &str) -> Result<String, Failure> {
    let result = match file {
        "-" => {
            let mut bytes = Vec::new();
            std::io::stdin().read_to_end(&mut bytes).map(|_| bytes)
        }
        path => std::fs::read(path),
    };
    match result {
        // A collector may have cut a line within a character.
        Ok(bytes) => Ok(String::from_utf8_lossy(&bytes).into_owned()),
        Err(e) => UsageSnafu {
            text: format!("{file}: {e}"),
            remedy: "give readable files with the lines of nodes",
        }
        .fail(),
    }
}

fn render(lines: &[Line], request: &str, verdict: &[String]) -> String {
    let mut rows = vec![table::row(["TIME", "NODE", "EVENT", "WHAT"])];
    for line in lines {
        let time = line.time.get(11..23).unwrap_or(&line.time);
        rows.push(table::row([
            time,
            line.text("node"),
            line.event(),
            &line.what(),
        ]));
    }
    let verdict: String = verdict.iter().map(|text| format!("{text}\n")).collect();
    match lines.is_empty() {
        true => format!("request {request}\n{verdict}"),
        false => format!("request {request}\n{}\n{verdict}", table::render(&rows)),
    }
}

/// Returns what the lines come to: how the request ended, why, and whether it may have run.
fn verdict(lines: &[Line], request: &str) -> Vec<String> {
    if lines.is_empty() {
        return vec![
            "no line names it: it went well and is not in the sample, it came to another node, \
             or its lines were dropped"
                .to_owned(),
        ];
    }
    let own: Vec<&Line> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .collect();
    let mut texts = vec![end(&own), run_state(&own)];
    texts.extend(calls(lines, request));
    texts
}

fn find<'a>(lines: &[&'a Line], event: &str) -> Option<&'a Line> {
    lines.iter().rev().find(|l| l.event() == event).copied()
}

/// Tells how a request ended, and why.
fn end(own: &[&Line]) -> String {
    if let Some(cut) = find(own, "body_cut") {
        let bytes = cut.number("bytes");
        return format!(
            "ended: its connection broke after {bytes} bytes of its body{}",
            stop(cut)
        );
    }
    if let Some(cancelled) = find(own, "cancelled") {
        let ms = cancelled.number("waited_ms");
        let who = match cancelled.is("stopping") {
            true => "its node ended, or its caller left,",
            false => "its caller left",
        };
        return format!("ended: {who} after {ms} ms{}", stop(cancelled));
    }
    let Some(answered) = find(own, "answered") else {
        return "ended: not told; the lines of the node that it came to are missing".to_owned();
    };
    let status = answered.number("status");
    let ms = answered.number("took_ms");
    format!(
        "ended: answered {status} after {ms} ms, {}",
        reason(own, answered)
    )
}

fn stop(line: &Line) -> &'static str {
    match line.is("stopping") {
        true => ", while the node was stopping",
        false => "",
    }
}

fn reason(own: &[&Line], answered: &Line) -> String {
    if let Some(up) = find(own, "given_up") {
        let refusals = find(own, "attempt_ended").map_or("", |line| line.text("why"));
        let last = match (refusals.is_empty(), find(own, "exchange_broke")) {
            (false, _) => format!(", the last gate refused it as {refusals}"),
            (true, Some(broke)) => format!(", {}", broke.text("error")),
            (true, None) => String::new(),
        };
        return format!("since {}{last}", up.text("reason"));
    }
    if let Some(deadline) = find(own, "deadline") {
        let server = deadline.text("server");
        return format!("since its time ended while it was with {server}");
    }
    if find(own, "unrouted").is_some() {
        return "since no route takes it".to_owned();
    }
    if find(own, "unready").is_some() {
        return "since the node knew no routes yet".to_owned();
    }
    let attempt = find(own, "attempt_ended").map_or("", |line| line.text("server"));
    let late = answered.number("took_ms") > answered.number("aim_ms");
    let late = if late { ", later than its aim" } else { "" };
    format!("as the backend server {attempt} answered{late}")
}

/// Tells whether a request may have run.
fn run_state(own: &[&Line]) -> String {
    let ran = find(own, "ran").filter(|line| line.text("outcome") == "answered");
    if let Some(ran) = ran {
        return format!("ran: yes, at {}", ran.text("server"));
    }
    let answered = |line: &&&Line| matches!(line.text("outcome"), "answered" | "server_error");
    if let Some(line) = own.iter().find(answered) {
        return format!("ran: yes, at {}", line.text("server"));
    }
    let admitted = find(own, "admitted");
    let uncertain = own.iter().any(|line| line.is("uncertain"));
    let at_gate = find(own, "deadline").is_some_and(|line| line.number("attempt") > 0);
    match (admitted, uncertain || at_gate) {
        (Some(line), _) => format!("ran: unknown, it was admitted at {}", line.text("server")),
        (None, true) => "ran: unknown, it was sent and no end is told".to_owned(),
        (None, false) => "ran: no".to_owned(),
    }
}

/// Tells which calls that were made for a request went wrong.
fn calls(lines: &[Line], request: &str) -> Vec<String> {
    let bad = lines.iter().filter(|line| {
        line.event() == "answered"
            && line.text("request") != request
            && line.number("status") >= 400
    });
    bad.map(|line| {
        let (call, status) = (line.text("request"), line.number("status"));
        format!("a call made for it, {call}, was answered {status}")
    })
    .collect()
}
