//! Polls the health endpoint of the local backend server within the measuring budget.

use std::rc::Rc;

use ntex::http::StatusCode;
use oriolering::Millis;

use crate::settings::US_PER_MS;
use crate::state::Node;
use crate::timer::{sleep, within};
use crate::wire::Wire;

/// The longest time that a poll may take.
const POLL_TIMEOUT_MS: u64 = 500;
/// Polls left out after which an old answer of the health endpoint is forgotten.
const MAX_SKIPPED: u32 = 5;

/// Polls until the process ends.
pub(crate) async fn run(wire: Rc<Wire>) {
    let mut skipped = 0;
    loop {
        let measure = wire.node.own_service().measure.clone();
        sleep(measure.poll_ms).await;
        let now = wire.node.clock.now();
        see(&wire.node, now);
        let cost = (measure.probe_ms + measure.connect_ms) * US_PER_MS;
        let receipt = wire.node.budget.lock().debit(now, cost, POLL_TIMEOUT_MS);
        let Some(receipt) = receipt else {
            wire.node.metrics.polls_skipped.add(1, &[]);
            skipped += 1;
            if skipped == MAX_SKIPPED {
                report(&wire, false);
            }
            continue;
        };
        skipped = 0;
        wire.node.metrics.polls.add(1, &[]);
        poll(&wire, &measure.health_path).await;
        let now = wire.node.clock.now();
        wire.node.budget.lock().settle(now, receipt, cost);
    }
}

/// Tells the budget how many nodes share it.
fn see(node: &Node, now: Millis) {
    let service = &node.card.service;
    let directory = node.directory.lock();
    let nodes = directory
        .members()
        .iter()
        .filter(|m| m.service == *service)
        .count();
    drop(directory);
    node.budget.lock().observe_nodes(now, nodes.max(1) as u32);
}

async fn poll(wire: &Wire, path: &str) {
    let uri = format!("http://{}{path}", wire.node.card.backend);
    let Some(Ok(response)) = within(POLL_TIMEOUT_MS, wire.backend.get(uri).send()).await else {
        return;
    };
    report(wire, response.status() == StatusCode::SERVICE_UNAVAILABLE);
}

/// Tells the gate whether the health endpoint says that the backend server is leaving.
fn report(wire: &Wire, leaving: bool) {
    let now = wire.node.clock.now();
    let changed = wire
        .node
        .admission
        .lock()
        .gate
        .set_server_leaving(now, leaving);
    if changed {
        log::info!(leaving = leaving; "backend server changed its health");
    }
}
