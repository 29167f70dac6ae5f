//! Forwards an admitted call to the local backend server.

use std::rc::Rc;
use std::sync::Arc;

use ntex::http::StatusCode;
use ntex::http::client::error::SendRequestError;
use ntex::http::client::{ClientRequest, ClientResponse};
use ntex::http::header::HeaderMap;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use opentelemetry_sdk::trace::Span;
use oriolering::config::ServiceSettings;
use oriolering::{CallId, Cause, Finish, Millis, Refusal};
use oriolering_traces as traces;

use crate::answers::Answer;
use crate::body::{self, Ending, Upload, WholeBody};
use crate::headers;
use crate::incoming::Incoming;
use crate::permit::Permit;
use crate::probe;
use crate::recover::is_unsent;
use crate::refuse::refuse;
use crate::reply::Reply;
use crate::timer::within;
use crate::validity;
use crate::wire::Wire;

/// How long before the deadline the gate gives its word, so that it comes before an answer by
/// which the backend server itself gives up.
const MARGIN_MS: u64 = 5;
const UNREACHABLE_RETRY_MS: u32 = 200;

/// An admitted call on its way to the backend server.
pub(crate) struct Job {
    /// Whether running the request twice is harmless.
    pub(crate) idempotent: bool,
    id: CallId,
    settings: Arc<ServiceSettings>,
    deadline: Millis,
    fingerprint: u64,
}

/// Why the backend server gave no answer.
enum Missing {
    /// The connection was refused; no byte was sent.
    Unsent,
    /// The connection ended after bytes were sent, or brought no valid response.
    Lost,
    /// The deadline passed.
    Late,
}

impl Job {
    /// Reads what the gate needs to know from the head of the request.
    pub(crate) fn new(wire: &Wire, request: &HttpRequest, id: CallId, deadline: Millis) -> Self {
        let settings = wire.node.own_service();
        Self {
            idempotent: settings.is_idempotent(request.method().as_str()),
            id,
            deadline,
            fingerprint: headers::hex(request.headers(), oriolering::FINGERPRINT).unwrap_or(0),
            settings,
        }
    }
}

/// Dispatches the call and returns what the ingress is told.
pub(crate) async fn run(
    wire: Rc<Wire>,
    job: Job,
    mut permit: Permit,
    request: HttpRequest,
    payload: Incoming,
) -> HttpResponse {
    let mut span = wire.node.traces.incoming("gate", request.headers());
    let (outgoing, mut hop) = outgoing(&wire, &job, &request, &span);
    if let Err(refusal) = permit.dispatch() {
        traces::note(&mut span, "reason", refusal.cause.as_str());
        return refuse(&wire, refusal);
    }
    let start = std::time::Instant::now();
    let sent = send(&wire, &job, outgoing, &request, payload).await;
    if let Ok(response) = &sent {
        traces::note(&mut hop, "status", i64::from(response.status().as_u16()));
    }
    drop(hop);
    match sent {
        Err(missing) => failed(&wire, permit, missing),
        Ok(response) if !validity::is_valid(request.method(), &response) => {
            failed(&wire, permit, Missing::Lost)
        }
        Ok(response) => answer(wire, job, permit, request, response, start).await,
    }
}

fn outgoing(wire: &Wire, job: &Job, request: &HttpRequest, parent: &Span) -> (ClientRequest, Span) {
    let target = request
        .uri()
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let uri = format!("http://{}{target}", wire.node.card.backend);
    // A faulty backend server may repeat an earlier shed answer, which must not count for a call
    // that runs.
    let alone = job.settings.shed.not_run && !job.idempotent;
    let mut outgoing = wire
        .backend_client(alone)
        .request(request.method().clone(), uri)
        .no_decompress();
    if alone {
        outgoing = outgoing.force_close();
    }
    let mut headers = headers::end_to_end(request.headers());
    let span = wire.node.traces.outgoing("backend", parent, &mut headers);
    *outgoing.headers_mut() = headers;
    (outgoing, span)
}

async fn send(
    wire: &Wire,
    job: &Job,
    outgoing: ClientRequest,
    request: &HttpRequest,
    payload: Incoming,
) -> Result<ClientResponse, Missing> {
    let left = job.deadline.since(wire.node.clock.now());
    let outgoing = outgoing.set_header(oriolering::DEADLINE, left.to_string());
    let length = headers::number(request.headers(), "content-length");
    let chunked = request.headers().contains_key("transfer-encoding");
    if length.unwrap_or(0) == 0 && !chunked {
        return until(job.deadline, wire, outgoing.send()).await;
    }
    let upload = Upload::new(Bytes::new(), payload, length, wire.node.clock.clone());
    let progress = upload.progress();
    let mut sending = Box::pin(outgoing.send_body(ntex::http::body::Body::from_message(upload)));
    loop {
        // The deadline of an upload counts from its last progress.
        let end = progress.get() + left;
        let now = wire.node.clock.now();
        if now >= end {
            return Err(Missing::Late);
        }
        if let Some(result) = within(end.since(now), &mut sending).await {
            return result.map_err(missing);
        }
    }
}

async fn until<F>(deadline: Millis, wire: &Wire, sending: F) -> Result<ClientResponse, Missing>
where
    F: Future<Output = Result<ClientResponse, SendRequestError>>,
{
    let left = deadline.since(wire.node.clock.now());
    match within(left.saturating_sub(MARGIN_MS).max(1), sending).await {
        Some(result) => result.map_err(missing),
        None => Err(Missing::Late),
    }
}

/// Tells whether bytes may have reached the backend server.
fn missing(error: SendRequestError) -> Missing {
    match is_unsent(&error) {
        true => Missing::Unsent,
        false => Missing::Lost,
    }
}

/// Ends a call that got no answer.
fn failed(wire: &Wire, permit: Permit, missing: Missing) -> HttpResponse {
    match missing {
        Missing::Unsent => {
            permit.finish(Finish::NotSent);
            probe::lost(&wire.node, false);
            refuse(
                wire,
                Refusal {
                    cause: Cause::Unreachable,
                    retry_after: UNREACHABLE_RETRY_MS,
                },
            )
        }
        Missing::Lost => {
            probe::lost(&wire.node, true);
            permit.finish(Finish::Lost);
            unknown(wire, Cause::Unreachable)
        }
        Missing::Late => {
            permit.finish(Finish::Lost);
            unknown(wire, Cause::Deadline)
        }
    }
}

fn unknown(wire: &Wire, cause: Cause) -> HttpResponse {
    let load = wire.node.load();
    Reply::unknown(cause, UNREACHABLE_RETRY_MS).response_with(Some(load), None)
}

/// Passes on an answer: a short one is read whole and kept, a longer one is streamed.
async fn answer(
    wire: Rc<Wire>,
    job: Job,
    permit: Permit,
    request: HttpRequest,
    mut response: ClientResponse,
    start: std::time::Instant,
) -> HttpResponse {
    let length = headers::number(response.headers(), "content-length");
    let bodyless = request.method() == ntex::http::Method::HEAD;
    let short = length.is_some_and(|length| length <= job.settings.buffer.answer_bytes);
    if !short && !bodyless {
        return stream(&wire, &job, permit, &request, response, length, start);
    }
    let status = response.status();
    let headers = headers::end_to_end(response.headers());
    let left = job.deadline.since(wire.node.clock.now()).max(1);
    let reading = body::read(&mut response, length.unwrap_or(0));
    let Some(body) = within(left, reading).await.flatten() else {
        probe::lost(&wire.node, true);
        permit.finish(Finish::Lost);
        return unknown(&wire, Cause::Unreachable);
    };
    wire.node.cleared(job.fingerprint);
    let shed = &job.settings.shed;
    if shed.not_run && status.as_u16() == shed.status {
        permit.finish(Finish::Shed);
        let refusal = Refusal {
            cause: Cause::Unreachable,
            retry_after: UNREACHABLE_RETRY_MS,
        };
        return refuse(&wire, refusal);
    }
    permit.finish(finish(status, start));
    let answer = Answer {
        status,
        headers,
        body,
    };
    let built = respond(&wire, &answer);
    if !job.idempotent {
        let now = wire.node.clock.now();
        let most = job.settings.buffer.total_bytes as usize;
        wire.answers.borrow_mut().keep(now, job.id, answer, most);
    }
    built
}

fn stream(
    wire: &Wire,
    job: &Job,
    permit: Permit,
    request: &HttpRequest,
    response: ClientResponse,
    length: Option<u64>,
    start: std::time::Instant,
) -> HttpResponse {
    let status = response.status();
    let mut builder = HttpResponse::build(status);
    copy(&mut builder, &headers::end_to_end(response.headers()));
    let load = wire.node.load();
    builder.set_header(oriolering::LOAD, load.encode());
    let reader = request.io().cloned();
    let node = Arc::clone(&wire.node);
    let fingerprint = job.fingerprint;
    let ended = move |ending| match ending {
        Ending::Whole => {
            node.cleared(fingerprint);
            permit.finish(finish(status, start));
        }
        Ending::Cut => {
            probe::lost(&node, true);
            permit.finish(Finish::Lost);
        }
    };
    let body = WholeBody::new(response, length, reader, ended);
    builder.body(ntex::http::body::Body::from_message(body))
}

fn finish(status: StatusCode, start: std::time::Instant) -> Finish {
    let latency_us = start.elapsed().as_micros().min(u128::from(u32::MAX)) as u32;
    match status.is_server_error() {
        true => Finish::Failed { latency_us },
        false => Finish::Done { latency_us },
    }
}

/// Builds the answer to the ingress from one that was read whole.
pub(crate) fn respond(wire: &Wire, answer: &Answer) -> HttpResponse {
    let mut builder = HttpResponse::build(answer.status);
    copy(&mut builder, &answer.headers);
    let load = wire.node.load();
    builder.set_header(oriolering::LOAD, load.encode());
    builder.body(answer.body.clone())
}

/// Copies headers into an answer.
pub(crate) fn copy(builder: &mut ntex::web::HttpResponseBuilder, headers: &HeaderMap) {
    for (name, value) in headers.iter() {
        builder.header(name.clone(), value.clone());
    }
}
