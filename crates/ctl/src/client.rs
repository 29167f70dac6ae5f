//! Asks the admin listeners of nodes.

use std::net::SocketAddr;

use clap::ArgMatches;
use ntex::http::client::error::{ConnectError, SendRequestError};
use ntex::http::client::{Client, Connector};
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::failure::{Failure, UnreachableSnafu};
use crate::format::to_json;

/// The time for a connection.
const CONNECT_MS: u32 = 1_000;
/// The time for an answer.
const ANSWER_MS: u32 = 3_000;
/// The largest answer that is read.
const ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// The connections that are open at once.
const CONNECTIONS: usize = 64;

/// What one node answered.
pub(crate) struct Answer<T> {
    pub(crate) node: SocketAddr,
    /// The answer, or why there is none.
    pub(crate) result: Result<T, Cause>,
}

/// Why a node gave no usable answer.
#[derive(Clone, Debug)]
pub(crate) struct Cause {
    /// What it did instead, as it continues "the node".
    pub(crate) text: String,
    remedy: &'static str,
}

impl Cause {
    fn silent(text: String) -> Self {
        let remedy = "check its admin address and that the node runs";
        Self { text, remedy }
    }

    fn unusable(text: String) -> Self {
        let remedy = "check the arguments, and that node and command are of one version";
        Self { text, remedy }
    }
}

impl Answer<Value> {
    /// Returns the answer as a type, or why it cannot be read as one.
    pub(crate) fn read<T: DeserializeOwned>(&self) -> Answer<T> {
        let read = |value: Value| {
            let explain = |e| format!("answers what this version does not understand ({e})");
            serde_json::from_value(value).map_err(|e| Cause::unusable(explain(e)))
        };
        Answer {
            node: self.node,
            result: self.result.clone().and_then(read),
        }
    }

    /// Returns the answer for machines, as a row with `key`.
    fn row(&self, key: &str) -> Value {
        match &self.result {
            Ok(value) => json!({"node": self.node, key: value}),
            Err(cause) => json!({"node": self.node, "error": cause.text}),
        }
    }
}

impl<T> Answer<T> {
    fn failure(&self, report: &str) -> Option<Failure> {
        let cause = self.result.as_ref().err()?.clone();
        let failure = UnreachableSnafu {
            node: self.node,
            cause: cause.text,
            remedy: cause.remedy,
            report,
        };
        Some(failure.build())
    }
}

/// Returns the report, as a failure when a node could not be asked.
pub(crate) fn finish<T>(answers: &[Answer<T>], report: String) -> Result<String, Failure> {
    match answers.iter().find_map(|a| a.failure(&report)) {
        Some(failure) => Err(failure),
        None => Ok(report),
    }
}

/// Returns the answers for machines, each with its node and `key`.
pub(crate) fn to_rows(answers: &[Answer<Value>], key: &str) -> String {
    let rows: Vec<Value> = answers.iter().map(|a| a.row(key)).collect();
    to_json(&json!({"nodes": rows}))
}

/// Returns the nodes that the arguments name.
pub(crate) fn nodes(args: &ArgMatches) -> Vec<SocketAddr> {
    let nodes = args.get_many::<SocketAddr>("node");
    nodes.into_iter().flatten().copied().collect()
}

/// Asks every node for a path, all at once; the answers keep the order of the nodes.
pub(crate) fn ask(nodes: &[SocketAddr], path: &str) -> Vec<Answer<Value>> {
    let nodes = nodes.to_vec();
    let path = path.to_owned();
    ntex::rt::System::new("oriolering").block_on(async move {
        let client = client();
        let asked = nodes.iter().map(|node| {
            let task = ask_one(client.clone(), *node, path.clone());
            (*node, ntex::rt::spawn(task))
        });
        let mut answers = Vec::new();
        for (node, task) in asked.collect::<Vec<_>>() {
            let result = match task.await {
                Ok(result) => result,
                Err(_) => Err(Cause::silent("could not be asked".to_owned())),
            };
            answers.push(Answer { node, result });
        }
        answers
    })
}

fn client() -> Client {
    let connector = Connector::default()
        .timeout(Millis(CONNECT_MS))
        .limit(CONNECTIONS)
        .finish();
    Client::build()
        .connector(connector)
        .timeout(Millis(ANSWER_MS))
        .disable_redirects()
        .finish()
}

async fn ask_one(client: Client, node: SocketAddr, path: String) -> Result<Value, Cause> {
    let request = client
        .get(format!("http://{node}{path}"))
        .no_decompress()
        .force_close();
    let mut response = request
        .send()
        .await
        .map_err(|e| Cause::silent(format!("does not answer ({})", reason(&e))))?;
    let body = response
        .body()
        .limit(ANSWER_BYTES)
        .timeout(Millis(ANSWER_MS))
        .await
        .map_err(|e| Cause::silent(format!("broke off its answer ({e})")))?;
    let status = response.status();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        let text = format!("answers {status} {}", text.trim());
        return Err(Cause::unusable(text.trim_end().to_owned()));
    }
    serde_json::from_slice(&body).map_err(|e| Cause::unusable(format!("answers no JSON ({e})")))
}

/// Returns what made a request fail; the client hides the cause of a failed connection.
fn reason(e: &SendRequestError) -> String {
    if let SendRequestError::Connect(ConnectError::Disconnected(Some(io))) = e {
        return io.to_string();
    }
    e.to_string()
}
