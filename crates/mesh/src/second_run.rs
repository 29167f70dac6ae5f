//! An attempt that may become two, of which the first good answer counts.

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

/// The usual pace of a backend server, as a percentage.
const USUAL_PERCENT: u64 = 100;
/// The time between two looks at a run, in milliseconds; a tenth of the time for which a noisy
/// neighbour slows a backend server down.
const LOOK_MS: u64 = 30;

/// Sends a request to the chosen gate, and to a second one if the first run becomes too slow.
pub(crate) async fn run(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &mut Progress,
    chosen: ServerChoice,
    work_ms: u64,
) -> AttemptReply {
    let server = chosen.server.clone();
    let hold = progress.hold.take();
    let mut first = pin!(attempt::send(node, job, chosen, work_ms, hold));
    if !job.route.kind.is_idempotent() {
        return first.await;
    }
    let (second, hold) = tokio::select! {
        biased;
        result = &mut first => return result,
        second = wait_for_second(node, job, progress, &server, work_ms) => second,
    };
    let mut second = pin!(attempt::send(node, job, second, work_ms, Some(hold)));
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

/// Waits until a second run is worth its cost, and returns where and what allows it.
async fn wait_for_second(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &Progress,
    server: &CompactString,
    work_ms: u64,
) -> (ServerChoice, Reservation) {
    let started = node.now();
    let (mut looked, mut done_us) = (started, 0);
    loop {
        sleep(Duration::from_millis(LOOK_MS)).await;
        let now = node.now();
        let pace = node
            .server_table
            .borrow()
            .work_percent(now, server)
            .unwrap_or(USUAL_PERCENT);
        done_us += now.since(looked) * 1_000 * USUAL_PERCENT / pace.max(USUAL_PERCENT);
        looked = now;
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
            slowdown_percent: pace,
            elsewhere_ms: chosen.placement.expected_ms,
            aim_ms: (job.arrived + job.route.aim_ms).since(now),
            remaining_ms: job.deadline.since(now),
        };
        if !should_start_second_run(run) {
            continue;
        }
        if let Some(hold) = attempt::reserve_second_run(node, job, progress) {
            let revision = node.list.borrow().revision();
            job.record.chosen(now, &chosen, work_ms, revision);
            return (chosen, hold);
        }
    }
}

/// Returns whether a reply is an answer that the caller can use.
fn is_good(reply: &Reply) -> bool {
    match reply {
        Reply::Ended {
            outcome: Outcome::Answered(answered),
            ..
        } => answered.status < 500,
        Reply::Ended {
            outcome:
                Outcome::Refused { .. } | Outcome::Unexecuted { .. } | Outcome::Unsent | Outcome::Failed,
            ..
        }
        | Reply::Lost
        | Reply::Unlinked => false,
    }
}
