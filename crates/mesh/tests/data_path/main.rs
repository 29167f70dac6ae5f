//! The data path from a caller through nodes to a backend server.

mod attempts;
mod changes;
mod requests;
mod stopping;
#[path = "../support/mod.rs"]
mod support;

use support::raw::RawPeer;
use support::{Fleet, get};

/// How late after its route's timeout an answer may come, in milliseconds.
const TIMEOUT_SLACK_MS: u64 = 250;

/// The time by which a request is cancelled after its caller disconnects, in milliseconds.
const CANCEL_WITHIN_MS: u64 = 500;

/// Sends a request and returns the service of the backend server that responds.
async fn responding_service(fleet: &Fleet, caller: &mut RawPeer) -> String {
    caller.send(get("/get/echo")).await;
    let reply = caller.reply().await;
    assert_eq!(reply.status, 200);
    let id = reply.text().trim();
    let found = fleet.instances.iter().find(|i| i.backend.id == id);
    found.expect("one of the fleet").backend.service.clone()
}
