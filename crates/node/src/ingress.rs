//! The callers' listener: filters, attempts and the answer.

use std::rc::Rc;
use std::sync::Arc;

use futures_util::StreamExt;
use ntex::http::Method;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{HttpRequest, HttpResponse};
use opentelemetry_sdk::trace::Span;
use oriolering::{
    Cause, Failure, Outcome, Refusal, RetryDecision, RetryState, ServerKey, decide_retry,
};
use oriolering_traces as traces;
use smallvec::SmallVec;

use crate::attempt::Plan;
use crate::body::{Ending, Upload, WholeBody};
use crate::call::{Call, CallBody};
use crate::filters::{self, route};
use crate::forward;
use crate::headers;
use crate::hedge;
use crate::incoming::Incoming;
use crate::reached::{Answered, Reached};
use crate::reply::Reply;
use crate::wire::Wire;

/// The longest body that is held so that an attempt can be repeated.
const WHOLE_BODY_BYTES: usize = 64 * 1_024;
/// When to come back to a node that has no configuration yet.
const UNREADY_RETRY_MS: u32 = 500;
/// When to come back after a refusal that names no time.
pub(crate) const NOT_RUN_RETRY_MS: u32 = 100;
/// The time before the deadline in which no further attempt is made.
const LAST_MS: u64 = 10;
/// When to come back after a call with an unknown outcome.
const UNKNOWN_RETRY_MS: u32 = 1_000;

/// Serves a request of a caller.
pub(crate) async fn serve(wire: Rc<Wire>, request: HttpRequest, payload: Incoming) -> HttpResponse {
    let start = std::time::Instant::now();
    let metrics = &wire.node.metrics;
    metrics.calls.add(1, &[]);
    let _entered = Arc::clone(&wire.node.entered);
    let mut span = wire.node.traces.incoming("call", request.headers());
    let answer = match prepare(&wire, request, payload).await {
        Ok(call) => attempts(&wire, call, &mut span).await,
        Err(reply) => Err(reply),
    };
    metrics
        .call_ms
        .record(start.elapsed().as_secs_f64() * 1_000.0, &[]);
    match answer {
        Ok(response) => response,
        Err(reply) => {
            metrics.outcome(reply.outcome, reply.refusal.cause);
            traces::note(&mut span, "outcome", reply.outcome.as_str());
            traces::note(&mut span, "reason", reply.refusal.cause.as_str());
            reply.response()
        }
    }
}

/// Runs the filters and reads the body as far as it is held.
async fn prepare(wire: &Wire, request: HttpRequest, payload: Incoming) -> Result<Call, Reply> {
    let mut call = begin(wire, request)?;
    filters::run(&filters::HEAD, &wire.node, &mut call)?;
    call.body = read_body(wire, &call, payload).await?.into();
    filters::run(&filters::BODY, &wire.node, &mut call)?;
    Ok(call)
}

fn begin(wire: &Wire, request: HttpRequest) -> Result<Call, Reply> {
    let name = route::service_name(request.headers());
    let Some(name) = name.filter(|_| request.method() != Method::CONNECT) else {
        return Err(Reply::rejected(Cause::Invalid, 0));
    };
    let mut directory = wire.node.directory.lock();
    let Some(service) = directory.service(name) else {
        return Err(match wire.node.revision() {
            Some(_) => Reply::rejected(Cause::Invalid, 0),
            None => unready(),
        });
    };
    let settings = directory
        .route_mut(service)
        .map(|route| route.settings.clone());
    drop(directory);
    let settings = settings.ok_or_else(unready)?;
    let arrived = wire.node.clock.now();
    Ok(Call {
        arrived,
        service,
        deadline: arrived + settings.deadline_ms,
        idempotent: settings.is_idempotent(request.method().as_str()),
        customer: 0,
        fingerprint: 0,
        headers: headers::end_to_end(request.headers()),
        body: CallBody::Whole(Bytes::new()).into(),
        settings,
        request,
    })
}

fn unready() -> Reply {
    Reply::not_run(Refusal {
        cause: Cause::Unready,
        retry_after: UNREADY_RETRY_MS,
    })
}

/// Reads a short body whole; a longer one stays a stream.
async fn read_body(wire: &Wire, call: &Call, mut payload: Incoming) -> Result<CallBody, Reply> {
    let headers = call.request.headers();
    let length = headers::number(headers, "content-length");
    let chunked = headers.contains_key("transfer-encoding");
    if length.unwrap_or(0) == 0 && !chunked {
        return Ok(CallBody::Whole(Bytes::new()));
    }
    let mut held = BytesMut::new();
    while held.len() <= WHOLE_BODY_BYTES && length.is_none_or(|l| l <= WHOLE_BODY_BYTES as u64) {
        match payload.next().await {
            Some(Ok(chunk)) => held.extend_from_slice(&chunk),
            Some(Err(_)) => return Err(Reply::rejected(Cause::Invalid, 0)),
            None => return Ok(CallBody::Whole(held.freeze())),
        }
    }
    let clock = wire.node.clock.clone();
    Ok(CallBody::Stream(Upload::new(
        held.freeze(),
        payload,
        length,
        clock,
    )))
}

/// Sends the call to one backend server after the other until there is a final word.
async fn attempts(wire: &Rc<Wire>, call: Call, span: &mut Span) -> Result<HttpResponse, Reply> {
    let mut tried: SmallVec<[ServerKey; 4]> = SmallVec::new();
    let mut crashes = 0;
    let mut uncertain = false;
    let mut last = None;
    let now = wire.node.clock.now();
    if let Some(route) = wire.node.directory.lock().route_mut(call.service) {
        route.retries.deposit(now);
    }
    loop {
        let now = wire.node.clock.now();
        let target = wire.node.directory.lock().pick(now, call.service, &tried);
        let Some(target) = target else {
            return Err(nowhere(uncertain, last));
        };
        tried.push(target.server);
        let number = tried.len() as u32;
        if number > 1 {
            wire.node.metrics.retries.add(1, &[]);
        }
        let first = Plan {
            target,
            number,
            crashes,
        };
        let failure = match hedge::run(wire, &call, first, &mut tried, span).await {
            Reached::Answer(answer) => return Ok(pass_on(wire, &call, *answer, span)),
            Reached::Missing(failure) => failure,
        };
        if let Failure::Refused(refusal) = failure {
            last = Some(refusal);
        }
        uncertain |= matches!(failure, Failure::MayHaveRun | Failure::Crashed);
        crashes += u32::from(failure == Failure::Crashed);
        let state = RetryState {
            idempotent: call.idempotent,
            uncertain,
            attempts: number,
            max_attempts: attempt_limit(&call),
            crashes,
            remaining_ms: call.left(wire.node.clock.now()).saturating_sub(LAST_MS),
        };
        match decide(wire, &call, failure, &state) {
            RetryDecision::Retry => {}
            RetryDecision::Answer(outcome, refusal) => {
                let refusal = completed(outcome, refusal, state.remaining_ms);
                return Err(Reply { outcome, refusal });
            }
        }
    }
}

/// Adds what a final word leaves open: that the deadline has passed, and when to come back.
fn completed(outcome: Outcome, mut refusal: Refusal, left_ms: u64) -> Refusal {
    if outcome == Outcome::Unknown && left_ms == 0 {
        refusal.cause = Cause::Deadline;
    }
    if refusal.retry_after == 0 {
        refusal.retry_after = match outcome {
            Outcome::NotRun => NOT_RUN_RETRY_MS,
            Outcome::Unknown => UNKNOWN_RETRY_MS,
            Outcome::Rejected => 0,
        };
    }
    refusal
}

/// A body that was handed to an attempt cannot be sent again.
fn attempt_limit(call: &Call) -> u32 {
    match call.is_taken() {
        true => 0,
        false => call.settings.retry.attempts,
    }
}

fn decide(wire: &Wire, call: &Call, failure: Failure, state: &RetryState) -> RetryDecision {
    let now = wire.node.clock.now();
    let mut directory = wire.node.directory.lock();
    match directory.route_mut(call.service) {
        Some(route) => decide_retry(failure, state, &mut route.retries, now),
        None => {
            let reply = nowhere(state.uncertain, None);
            RetryDecision::Answer(reply.outcome, reply.refusal)
        }
    }
}

/// The answer when there is no backend server left to try; `last` is what a gate said.
fn nowhere(uncertain: bool, last: Option<Refusal>) -> Reply {
    let unreachable = Refusal {
        cause: Cause::Unreachable,
        retry_after: UNREADY_RETRY_MS,
    };
    match uncertain {
        true => Reply::unknown(Cause::Unreachable, UNKNOWN_RETRY_MS),
        false => Reply::not_run(last.unwrap_or(unreachable)),
    }
}

/// Passes the answer of the backend server on to the caller.
fn pass_on(wire: &Rc<Wire>, call: &Call, answer: Answered, span: &mut Span) -> HttpResponse {
    let Answered { response, body } = answer;
    traces::note(span, "status", i64::from(response.status().as_u16()));
    let mut builder = HttpResponse::build(response.status());
    forward::copy(&mut builder, &headers::end_to_end(response.headers()));
    let length = headers::number(response.headers(), "content-length");
    if call.method() == Method::HEAD || length == Some(0) {
        return builder.finish();
    }
    if let Some(body) = body {
        return builder.body(body);
    }
    let reader = call.request.io().cloned();
    let node = wire.node.clone();
    let entered = Arc::clone(&node.entered);
    let ended = move |ending| {
        match ending {
            Ending::Whole => {}
            Ending::Cut => node.metrics.cuts.add(1, &[]),
        }
        drop(entered);
    };
    let body = WholeBody::new(response, length, reader, ended);
    builder.body(ntex::http::body::Body::from_message(body))
}
