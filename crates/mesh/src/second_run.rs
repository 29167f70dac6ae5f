//! Hedging: starts a second run of a slow idempotent request, and takes the first good response.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use oriolering::{RunEstimate, should_start_second_run};
use tokio::time::sleep;

use crate::attempt::{self, AttemptReply, RequestJob};
use crate::attempt_result;
use crate::budgets::Reservation;
use crate::frame::Outcome;
use crate::node::Node;
use crate::progress::Progress;
use crate::reply::Reply;
use crate::server_table::ServerChoice;

/// The work percentage of a backend server at its usual speed.
const NORMAL_PERCENT: u64 = 100;
/// The interval at which a run is checked, in milliseconds: a tenth of the time for which a noisy
/// neighbour slows a backend server down.
const CHECK_INTERVAL_MS: u64 = 30;

/// Sends a request to the chosen gate, and to a second one if the first run becomes too slow.
pub(crate) async fn run(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    chosen: ServerChoice,
    work_ms: u64,
) -> AttemptReply {
    let server = chosen.server.clone();
    let reservation = progress.hold.take();
    let mut first = pin!(attempt::send(node, job, chosen, work_ms, reservation));
    if !job.route.kind.is_idempotent() {
        return first.await;
    }
    let (second, reservation) = tokio::select! {
        biased;
        result = &mut first => return result,
        second = wait_for_second(node, job, progress, &server, work_ms) => second,
    };
    let mut second = pin!(attempt::send(node, job, second, work_ms, Some(reservation)));
    tokio::select! {
        biased;
        result = &mut first => match is_good(&result.reply) {
            true => result,
            false => {
                attempt_result::record_first(node, job, progress, result);
                second.await
            }
        },
        result = &mut second => match is_good(&result.reply) {
            true => result,
            false => {
                attempt_result::record_first(node, job, progress, result);
                first.await
            }
        },
    }
}

/// Waits until a second run is worth its cost; returns its backend server and the budget reserved
/// for it.
async fn wait_for_second(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &Progress,
    server: &CompactString,
    work_ms: u64,
) -> (ServerChoice, Reservation) {
    let started = node.now();
    let (mut last_check, mut done_us) = (started, 0);
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let now = node.now();
        let work_percent = node
            .server_table
            .borrow()
            .work_percent(now, server)
            .unwrap_or(NORMAL_PERCENT);
        done_us +=
            now.since(last_check) * 1_000 * NORMAL_PERCENT / work_percent.max(NORMAL_PERCENT);
        last_check = now;
        let load = attempt::request_cost(node, job);
        let mut tried = progress.tried.to_vec();
        tried.push(server.clone());
        let Some(chosen) = attempt::choose_server(node, job, load, &tried) else {
            continue;
        };
        let run = RunEstimate {
            elapsed_ms: now.since(started),
            done_ms: done_us / 1_000,
            work_ms,
            slowdown_percent: work_percent,
            elsewhere_ms: chosen.placement.expected_ms,
            aim_ms: (job.arrived + job.route.aim_ms).since(now),
            remaining_ms: job.deadline.since(now),
        };
        if !should_start_second_run(run) {
            continue;
        }
        if let Some(reservation) = attempt::reserve_second_run(node, job, progress) {
            let position = node.list.borrow().position();
            job.record.chosen(now, &chosen, work_ms, position);
            return (chosen, reservation);
        }
    }
}

/// Returns whether a reply is a response that the caller gets at once.
fn is_good(reply: &Reply) -> bool {
    match reply {
        Reply::Ended {
            outcome: Outcome::Answered(answered),
            ..
        } => !answered.is_failure(),
        Reply::Ended {
            outcome:
                Outcome::Refused { .. } | Outcome::Unexecuted { .. } | Outcome::Unsent | Outcome::Failed,
            ..
        }
        | Reply::Lost
        | Reply::Unlinked => false,
    }
}
