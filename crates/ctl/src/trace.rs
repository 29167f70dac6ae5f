//! `oriolering trace`: shows the hops of one call, or the decisions about one request.

use std::collections::BTreeMap;

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::client::{self, Answer};
use crate::failure::{Failure, UsageSnafu};
use crate::format::{Format, to_json};
use crate::status::{micros, show};
use crate::{args, table, trail};

/// The most spans that are shown.
const MAX_SPANS: usize = 1_000;

/// One hop of a call. Every field but the identity may be missing.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Span {
    span: CompactString,
    parent: CompactString,
    name: CompactString,
    /// The instance that recorded the span.
    node: Option<CompactString>,
    /// The start by that instance's clock; never compared with another instance's.
    start_us: Option<u64>,
    took_us: Option<u64>,
    notes: Vec<CompactString>,
}

/// Returns the subcommand.
pub(crate) fn command() -> Command {
    Command::new("trace")
        .about("Shows the hops of one call, or the decisions about one request")
        .long_about(
            "Shows the hops of one call as a tree, with the time in each. Every node keeps\n\
             its own spans for a short while, so name all nodes that the call may have\n\
             passed.\n\
             \n\
             With --lines it reads collected log lines of nodes on a platform in place of\n\
             asking nodes, and shows what they decided about a request: its lines in the\n\
             order of time, what changed at these nodes meanwhile, and what that comes to.\n\
             Clocks of nodes may differ by some milliseconds.",
        )
        .after_help(
            "Example:\n  oriolering trace --node 127.0.0.1:7400 --node 127.0.0.1:7401 \
             4bf92f3577b34da6a3ce929d0e0e4736\n  \
             oriolering trace --lines node-1.log --lines node-2.log 9c41d07be2a35f68",
        )
        .arg(
            args::node()
                .required(false)
                .help(
                    "The admin address of a node, or that of the metrics of one on a platform; \
                     may be given several times",
                ),
        )
        .arg(
            Arg::new("lines")
                .long("lines")
                .value_name("FILE")
                .action(ArgAction::Append)
                .conflicts_with("node")
                .help("A file with log lines of nodes, or - for the input; may be given several times"),
        )
        .group(
            ArgGroup::new("from")
                .args(["node", "lines"])
                .multiple(true)
                .required(true),
        )
        .arg(
            Arg::new("trace")
                .value_name("ID")
                .required(true)
                .help(
                    "The trace identity, which is the second part of the traceparent header; \
                     with --lines that of the request",
                ),
        )
        .arg(Format::arg())
}

fn parse_trace(text: &str) -> Result<String, Failure> {
    let is_hex = text.len() == 32 && text.bytes().all(|c| c.is_ascii_hexdigit());
    match is_hex {
        true => Ok(text.to_ascii_lowercase()),
        false => UsageSnafu {
            text: format!("'{text}' is no trace identity"),
            remedy: "write the 32 hexadecimal digits between the first two hyphens of the \
                     traceparent header",
        }
        .fail(),
    }
}

/// Returns the tree of the spans of all nodes.
pub(crate) fn run(args: &ArgMatches) -> Result<String, Failure> {
    let id = args.get_one::<String>("trace").cloned().unwrap_or_default();
    if args.contains_id("lines") {
        return trail::run(args, &id);
    }
    let trace = parse_trace(&id)?;
    let path = format!("/trace?id={trace}");
    let answers = client::ask(&client::nodes(args), &path);
    let answers: Vec<Answer<Vec<Span>>> = answers.iter().map(Answer::read).collect();
    let spans = merge(&answers);
    let report = match Format::of(args) {
        Format::Json => to_json(&json!({"trace": trace, "spans": spans})),
        Format::Text if spans.is_empty() => format!("trace {trace}: no node asked has a span\n"),
        Format::Text => format!("trace {trace}\n{}", tree(&spans)),
    };
    client::finish(&answers, report)
}

/// Returns the spans of all nodes, each once.
fn merge(answers: &[Answer<Vec<Span>>]) -> Vec<Span> {
    let all = answers.iter().flat_map(|a| &a.result).flatten();
    let mut spans: Vec<Span> = Vec::new();
    for span in all.take(MAX_SPANS) {
        if spans.iter().all(|known| known.span != span.span) {
            spans.push(span.clone());
        }
    }
    spans
}

/// Returns the spans as a tree; a span whose parent is unknown stands at the top.
fn tree(spans: &[Span]) -> String {
    let mut children: BTreeMap<&str, Vec<&Span>> = BTreeMap::new();
    let mut roots = Vec::new();
    for span in spans {
        match spans.iter().any(|s| s.span == span.parent) {
            true => children.entry(&span.parent).or_default().push(span),
            false => roots.push(span),
        }
    }
    for siblings in children.values_mut() {
        siblings.sort_by_key(|s| (s.node.clone(), s.start_us));
    }
    let mut rows = vec![table::row(["HOP", "INSTANCE", "TIME", "NOTES"])];
    for root in roots {
        push_rows(root, &children, "", "", &mut rows);
    }
    table::render(&rows)
}

/// Adds the row of a span and those of all below it. `lead` stands before the span's name,
/// `below` before the names of its children.
fn push_rows(
    span: &Span,
    children: &BTreeMap<&str, Vec<&Span>>,
    lead: &str,
    below: &str,
    rows: &mut Vec<Vec<String>>,
) {
    rows.push(vec![
        format!("{lead}{}", span.name),
        show(span.node.as_ref()),
        show(span.took_us.map(micros)),
        span.notes.join(", "),
    ]);
    let inner = children
        .get(span.span.as_str())
        .map_or(&[][..], Vec::as_slice);
    for (i, child) in inner.iter().enumerate() {
        let is_last = i + 1 == inner.len();
        let (branch, line) = if is_last {
            ("└─ ", "   ")
        } else {
            ("├─ ", "│  ")
        };
        let lead = format!("{below}{branch}");
        let below = format!("{below}{line}");
        push_rows(child, children, &lead, &below, rows);
    }
}
