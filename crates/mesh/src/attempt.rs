//! A single attempt of a request: the offer to a gate and its result.

use std::rc::Rc;

use compact_str::CompactString;
use oriolering::{Millis, RequestCost, Route, RouteKind};
use oriolering_http::Bytes;
use tokio::sync::oneshot;

use crate::budgets::{RepeatKind, Reservation};
use crate::frame::{Headers, Offer};
use crate::node::Node;
use crate::progress::{Progress, RunningAttempt};
use crate::reply::Reply;
use crate::response_sink::{LocalCall, ResponseSink};
use crate::segment_reader::SegmentReader;
use crate::server_table::{GateRef, ServerChoice};
use crate::trail::IngressRecord;

/// A request that the ingress dispatches to a backend server.
pub(crate) struct RequestJob {
    pub(crate) request: CompactString,
    /// The hash by which the request is recognised if backend servers crash while running it.
    pub(crate) fingerprint: u64,
    /// The service of this instance when the request arrived.
    pub(crate) caller: CompactString,
    pub(crate) service: CompactString,
    pub(crate) route: Rc<Route>,
    pub(crate) route_hash: u64,
    pub(crate) arrived: Millis,
    /// When the caller stops waiting for the response.
    pub(crate) deadline: Millis,
    pub(crate) method: CompactString,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) body: Bytes,
    /// The budget reserved for the first attempt, if a repeated run of another request made this
    /// call.
    pub(crate) hold: Option<Reservation>,
    /// Records what happens to the request, for the log and the metrics.
    pub(crate) record: IngressRecord,
}

/// Estimates the cost of a request from earlier requests of its route.
pub(crate) fn request_cost(node: &Node, job: &RequestJob) -> RequestCost {
    let work = node.estimates.borrow();
    RequestCost {
        work_ms: work.duration_ms(job.route_hash, job.route.aim_ms),
        bytes: job.body.len() as u64 + work.answer_bytes(job.route_hash),
        aim_ms: (job.arrived + job.route.aim_ms).since(node.now()),
    }
}

/// Returns the cost to assume for a request that its route's estimate keeps from being sent, if a
/// trial of the route is due.
///
/// A stopping node has no use for a better estimate, and little time left for requests.
fn trial_cost(node: &Node, job: &RequestJob, cost: RequestCost) -> Option<RequestCost> {
    if node.stopping.get() {
        return None;
    }
    let now = node.now();
    let work = node.estimates.borrow();
    if !work.is_trial_useful(now, job.route_hash, job.deadline.since(now)) {
        return None;
    }
    let work_ms = work.trial_ms(now, job.route_hash, job.route.aim_ms)?;
    Some(RequestCost { work_ms, ..cost })
}

/// Chooses a backend server that is not in `tried` for a request that none is expected to answer in
/// time by its usual `cost`, if that may be due to an outdated estimate. Returns it with the cost
/// that was assumed.
///
/// Estimates are corrected by the replies to requests, so one that refuses all of them would stay.
pub(crate) fn choose_for_trial(
    node: &Node,
    job: &RequestJob,
    cost: RequestCost,
    tried: &[CompactString],
) -> Option<(ServerChoice, RequestCost)> {
    let now = node.now();
    if let Some(trial) = trial_cost(node, job, cost) {
        let chosen = choose_server(node, job, trial, tried)
            .filter(|chosen| now + chosen.placement.expected_ms <= job.deadline)
            .or_else(|| choose_unreported(node, job, trial, tried));
        if let Some(chosen) = chosen {
            let mut estimates = node.estimates.borrow_mut();
            estimates.record_trial(now, job.route_hash);
            return Some((chosen, trial));
        }
    }
    Some((choose_unreported(node, job, cost, tried)?, cost))
}

/// Chooses a backend server without a recent report of its load that is not in `tried`.
fn choose_unreported(
    node: &Node,
    job: &RequestJob,
    cost: RequestCost,
    tried: &[CompactString],
) -> Option<ServerChoice> {
    let now = node.now();
    let left_ms = job.deadline.since(now);
    let mut servers = node.server_table.borrow_mut();
    servers.choose_unreported(now, &job.service, cost, left_ms, tried)
}

/// Chooses a backend server that is not in `tried`.
pub(crate) fn choose_server(
    node: &Node,
    job: &RequestJob,
    load: RequestCost,
    tried: &[CompactString],
) -> Option<ServerChoice> {
    let now = node.now();
    let crossing = node.options.crossing;
    let mut servers = node.server_table.borrow_mut();
    servers.update_local_closed(node.gate.load().closed);
    servers.choose(now, &job.service, load, crossing, tried, &mut rand::rng())
}

/// Returns the attempt that is about to be sent, or `None` if it may have to wait at the gate by the
/// last report: its duration would then include waiting time.
pub(crate) fn running_attempt(now: Millis, chosen: &ServerChoice) -> Option<RunningAttempt> {
    let load = chosen.estimate.load;
    let busy = load.running + load.waiting + chosen.estimate.sent;
    let starts = busy < load.capacity && load.gap_us == 0;
    starts.then(|| RunningAttempt {
        server: chosen.server.clone(),
        sent: now,
    })
}

/// The result of an attempt at the chosen backend server.
pub(crate) struct AttemptReply {
    pub(crate) server: CompactString,
    pub(crate) reply: Reply,
    /// The budget reserved for the attempt, if it was a repeat that did not reach the backend
    /// server.
    pub(crate) hold: Option<Reservation>,
}

/// Sends a request to the chosen gate; `reservation` is the budget reserved for it if it is a
/// repeat.
pub(crate) async fn send(
    node: &Rc<Node>,
    job: &RequestJob,
    chosen: ServerChoice,
    work_ms: u64,
    mut reservation: Option<Reservation>,
) -> AttemptReply {
    let now = node.now();
    let offer = Offer {
        server: chosen.server.clone(),
        request: job.request.clone(),
        route: job.route_hash,
        fingerprint: job.fingerprint,
        idempotent: job.route.kind.is_idempotent(),
        repeat: reservation.is_some(),
        limit: chosen.estimate.rate_limit,
        priority: job.route.priority,
        aim_ms: (job.arrived + job.route.aim_ms).since(now) as u32,
        left_ms: job.deadline.since(now) as u32,
        work_ms: work_ms as u32,
        elsewhere_ms: chosen.placement.next_best_ms.map(|ms| ms as u32),
        streamed: is_streamed(job),
        caller: job.caller.clone(),
        method: job.method.clone(),
        target: job.target.clone(),
        headers: job.headers.clone(),
    };
    let server = chosen.server;
    node.server_table
        .borrow_mut()
        .update_server(&server, |estimate| estimate.sent += 1);
    if let Some(reservation) = &mut reservation {
        reservation.mark_sent();
    }
    let reply = match chosen.gate {
        GateRef::Local => send_here(node, offer, job.body.clone()).await,
        GateRef::Remote(peer) => {
            let body = job.body.clone();
            peer.call(offer, body, &node.stream_budget).await
        }
    };
    let unsent = reservation
        .filter(|_| !reply.may_have_arrived())
        .map(|mut reservation| {
            reservation.mark_unsent();
            reservation
        });
    AttemptReply {
        server,
        reply,
        hold: unsent,
    }
}

/// Passes a request to the gate of this node.
async fn send_here(node: &Rc<Node>, offer: Offer, body: Bytes) -> Reply {
    if offer.streamed {
        return stream_here(node, offer, body).await;
    }
    let gate = Rc::clone(&node.gate);
    let (outcome, body) = gate.run(offer, body, None).await;
    node.server_table
        .borrow_mut()
        .update_local_load(node.now(), node.gate.load());
    Reply::Ended {
        outcome,
        body: body.to_vec(),
        rest: None,
    }
}

/// Passes a request whose response may be streamed to the gate of this node.
async fn stream_here(node: &Rc<Node>, offer: Offer, body: Bytes) -> Reply {
    let (head, start) = oneshot::channel();
    let sink = ResponseSink::local(head);
    let (gate, owned) = (Rc::clone(&node.gate), Rc::clone(&sink));
    let budget = Rc::clone(&node.budget);
    let task = tokio::task::spawn_local(async move {
        let (outcome, body) = Rc::clone(&gate).run(offer, body, Some(&owned)).await;
        let held = budget.hold(body.len());
        owned.finish(outcome, body, held, gate.load());
    });
    let task = task.abort_handle();
    let call = LocalCall { sink, task };
    let Ok(start) = start.await else {
        return Reply::Lost;
    };
    node.server_table
        .borrow_mut()
        .update_local_load(node.now(), node.gate.load());
    let rest = start.rest.map(|(length, queue)| {
        SegmentReader::new(length, queue, &node.stream_budget, Box::new(call))
    });
    Reply::Ended {
        outcome: start.outcome,
        body: start.body.to_vec(),
        rest,
    }
}

/// Returns whether the response to a request may be streamed.
fn is_streamed(job: &RequestJob) -> bool {
    job.route.kind == RouteKind::Download && job.method != "HEAD"
}

/// Reserves budget for a second run in parallel with the first, if the route, the quarantine and
/// the budget allow one.
pub(crate) fn reserve_second_run(
    node: &Rc<Node>,
    job: &RequestJob,
    progress: &Progress,
) -> Option<Reservation> {
    if progress.sends + 1 >= job.route.attempts {
        return None;
    }
    // A second run of a request that may have crashed a backend server would put another one at
    // risk.
    if node.suspects.is_suspect(job.fingerprint) {
        return None;
    }
    node.budgets.reserve(&job.service, RepeatKind::Run)
}
