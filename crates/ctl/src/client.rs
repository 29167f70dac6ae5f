//! Asks the admin listeners of nodes.

use std::net::SocketAddr;

use clap::ArgMatches;
use ntex::http::client::error::{ConnectError, SendRequestError};
use ntex::http::client::{Client, Connector};
use ntex::time::Millis;
use serde_json::Value;

use crate::failure::{Failure, UnreachableSnafu};

/// The time for a connection.
const CONNECT_MS: u32 = 1_000;
/// The time for an answer.
const ANSWER_MS: u32 = 3_000;
/// The largest answer that is read.
const ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// The connections that are open at once.
const CONNECTIONS: usize = 64;

/// What one node answered.
pub(crate) struct Answer {
    pub(crate) node: SocketAddr,
    /// The answer, or why there is none.
    pub(crate) result: Result<Value, String>,
}

impl Answer {
    /// Returns the failure for a node without an answer, with the report to print.
    pub(crate) fn failure(&self, report: &str) -> Option<Failure> {
        let cause = self.result.as_ref().err()?.clone();
        let failure = UnreachableSnafu {
            node: self.node,
            cause,
            remedy: "check its admin address and that the node runs",
            report,
        };
        Some(failure.build())
    }
}

/// Returns the nodes that the arguments name.
pub(crate) fn nodes(args: &ArgMatches) -> Vec<SocketAddr> {
    let nodes = args.get_many::<SocketAddr>("node");
    nodes.into_iter().flatten().copied().collect()
}

/// Asks every node for a path, all at once; the answers keep the order of the nodes.
pub(crate) fn ask(nodes: &[SocketAddr], path: &str) -> Vec<Answer> {
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
                Err(_) => Err("could not be asked".to_owned()),
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

async fn ask_one(client: Client, node: SocketAddr, path: String) -> Result<Value, String> {
    let request = client
        .get(format!("http://{node}{path}"))
        .no_decompress()
        .force_close();
    let mut response = request
        .send()
        .await
        .map_err(|e| format!("does not answer ({})", cause(&e)))?;
    let body = response
        .body()
        .limit(ANSWER_BYTES)
        .timeout(Millis(ANSWER_MS))
        .await
        .map_err(|e| format!("broke off its answer ({e})"))?;
    let status = response.status();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(format!("answers {status} {}", text.trim())
            .trim_end()
            .to_owned());
    }
    serde_json::from_slice(&body).map_err(|e| format!("answers no JSON ({e})"))
}

/// Returns what made a request fail; the client hides the cause of a failed connection.
fn cause(e: &SendRequestError) -> String {
    if let SendRequestError::Connect(ConnectError::Disconnected(Some(io))) = e {
        return io.to_string();
    }
    e.to_string()
}
