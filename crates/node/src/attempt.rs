//! One attempt of a call at one gate.

use ntex::http::body::Body;
use ntex::http::client::ClientRequest;
use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry_sdk::trace::Span;
use oriolering::{AttemptResult, Cause, Failure, Refusal};
use oriolering_traces as traces;

use crate::call::{Call, CallBody};
use crate::directory::Target;
use crate::reached::Reached;
use crate::recover::{INQUIRY_TIMEOUT_MS, complete, wait};
use crate::running::Running;
use crate::sessions::Issued;
use crate::timer::within;
use crate::wire::Wire;
use crate::word::{learn_grant, read_word};

/// Where an attempt goes and what came before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    /// The picked backend server.
    pub(crate) target: Target,
    /// The number of the attempt, counted from one.
    pub(crate) number: u32,
    /// The backend servers that died running the call.
    pub(crate) crashes: u32,
}

/// Sends a call to the gate of `target` and waits for the answer or a final word.
pub(crate) async fn run(wire: &Wire, call: &Call, plan: Plan, parent: &Span) -> Reached {
    let mut running = Running::new(wire, call.service, plan.target);
    let start = std::time::Instant::now();
    let reached = exchange(wire, call, &mut running, plan, parent).await;
    let latency_us = start.elapsed().as_micros() as u64;
    running.set_result(match &reached {
        Reached::Answer(answer) if answer.response.status().is_server_error() => {
            AttemptResult::Failed { latency_us }
        }
        Reached::Answer(_) => AttemptResult::Served { latency_us },
        Reached::Missing(Failure::Refused(_) | Failure::Unsent) => AttemptResult::Refused,
        Reached::Missing(Failure::MayHaveRun) => AttemptResult::NoResponse,
        Reached::Missing(Failure::Crashed) => AttemptResult::Failed { latency_us },
    });
    reached
}

async fn exchange(
    wire: &Wire,
    call: &Call,
    running: &mut Running<'_>,
    plan: Plan,
    parent: &Span,
) -> Reached {
    let target = plan.target;
    // A session can be lost once, when the gate has been replaced or has dropped it.
    for _ in 0..2 {
        let Some(issued) = issue(wire, target).await else {
            return Reached::Missing(Failure::Unsent);
        };
        running.issued = Some(issued);
        let mut headers = outgoing_headers(wire, call, issued, plan);
        let mut span = wire.node.traces.outgoing("attempt", parent, &mut headers);
        traces::note(&mut span, "gate", target.address.gate.to_string());
        let reached = send(wire, call, target, issued, headers).await;
        let reached = complete(wire, call, target, issued, reached).await;
        let stale = matches!(
            reached,
            Reached::Missing(Failure::Refused(Refusal {
                cause: Cause::Session,
                ..
            }))
        );
        if !stale || call.is_taken() {
            return reached;
        }
        settle(wire, target, issued);
        running.issued = None;
    }
    Reached::Missing(Failure::Unsent)
}

fn settle(wire: &Wire, target: Target, issued: Issued) {
    wire.node.directory.lock().settle(target.server, issued);
}

/// Issues an identity, after asking the gate for a session when there is none.
async fn issue(wire: &Wire, target: Target) -> Option<Issued> {
    if let Some(issued) = wire.node.directory.lock().issue(target.server) {
        return Some(issued);
    }
    let request = wire.gate(target.address.gate).get(target.uri("/"));
    let sending = request.set_header(oriolering::STEP, "open").send();
    let response = within(INQUIRY_TIMEOUT_MS, sending).await?.ok()?;
    learn_grant(wire, target, response.headers());
    wire.node.directory.lock().issue(target.server)
}

fn outgoing_headers(wire: &Wire, call: &Call, issued: Issued, plan: Plan) -> HeaderMap {
    let mut headers = call.headers.clone();
    let left = call.left(wire.node.clock.now());
    set(&mut headers, oriolering::CALL_ID, &issued.id.encode());
    set(&mut headers, oriolering::ACK, &issued.ack.to_string());
    set(&mut headers, oriolering::ATTEMPT, &plan.number.to_string());
    set(&mut headers, oriolering::DEADLINE, &left.to_string());
    set(
        &mut headers,
        oriolering::CUSTOMER,
        &format!("{:x}", call.customer),
    );
    set(
        &mut headers,
        oriolering::FINGERPRINT,
        &format!("{:x}", call.fingerprint),
    );
    if plan.crashes > 0 {
        set(&mut headers, oriolering::CRASHES, &plan.crashes.to_string());
    }
    headers
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

async fn send(
    wire: &Wire,
    call: &Call,
    target: Target,
    issued: Issued,
    headers: HeaderMap,
) -> Reached {
    wire.node.metrics.attempts.add(1, &[]);
    let client = wire.gate(target.address.gate);
    let path = call
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = client
        .request(call.method().clone(), target.uri(path))
        .no_decompress();
    *request.headers_mut() = headers;
    if !call.is_whole()
        && let Some(refused) = reserve(wire, call, target, request.headers()).await
    {
        return refused;
    }
    let body = call.body.replace(CallBody::Taken);
    match body {
        CallBody::Whole(bytes) => {
            call.body.replace(CallBody::Whole(bytes.clone()));
            let sending = match bytes.is_empty() {
                true => request.send(),
                false => request.send_body(bytes),
            };
            wait(wire, call, target, issued, sending, None).await
        }
        CallBody::Stream(upload) => {
            let progress = upload.progress();
            let sending = request.send_body(Body::from_message(upload));
            wait(wire, call, target, issued, sending, Some(progress)).await
        }
        CallBody::Taken => Reached::Missing(Failure::MayHaveRun),
    }
}

/// Asks the gate to admit a call before its long body is sent, so that a refusal leaves the
/// body unread and the call can go elsewhere.
async fn reserve(wire: &Wire, call: &Call, target: Target, headers: &HeaderMap) -> Option<Reached> {
    let client = wire.gate(target.address.gate);
    let mut request: ClientRequest = client.post(target.uri("/"));
    *request.headers_mut() = headers.clone();
    let sending = request.set_header(oriolering::STEP, "reserve").send();
    let left = call.left(wire.node.clock.now()).max(1);
    match within(left, sending).await {
        Some(Ok(response)) if response.status().is_success() => None,
        Some(Ok(response)) => Some(read_word(wire, call, target, response)),
        Some(Err(_)) | None => Some(Reached::Missing(Failure::Unsent)),
    }
}
