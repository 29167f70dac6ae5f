//! One attempt of a call at one gate.

use std::cell::Cell;
use std::rc::Rc;

use ntex::http::Method;
use ntex::http::body::Body;
use ntex::http::client::error::{ConnectError, SendRequestError};
use ntex::http::client::{ClientRequest, ClientResponse};
use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use ntex::util::Bytes;
use opentelemetry_sdk::trace::Span;
use oriolering::{
    Attempt, Cause, Failure, Fate, Grant, LoadHint, Millis, Outcome, Refusal, ServiceKey,
};

use crate::body;
use crate::call::{Call, CallBody};
use crate::cancel::Cancelled;
use crate::directory::Target;
use crate::headers;
use crate::sessions::Issued;
use crate::timer::{sleep, within};
use crate::traces;
use crate::wire::Wire;

/// The time beyond the deadline in which the gate's own word may still come.
const GRACE_MS: u64 = 30;
const INQUIRY_TIMEOUT_MS: u64 = 150;
/// Inquiries without an answer after which a gate counts as out of reach.
const MAX_UNANSWERED: u32 = 2;
/// The time in which the answer of a finished call may still come over its first connection.
const DONE_WAIT_MS: u64 = 20;

/// How an attempt ended.
pub(crate) enum Reached {
    /// The backend server answered.
    Answer(Box<Answered>),
    /// There is no answer.
    Missing(Failure),
}

/// An answer of a backend server.
pub(crate) struct Answered {
    /// The head, and the body while it is a stream.
    pub(crate) response: ClientResponse,
    /// The body of a short answer, read to its end.
    pub(crate) body: Option<Bytes>,
}

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

/// Counts an attempt as running until it is dropped, whatever happens to the call.
pub(crate) struct Running<'a> {
    wire: &'a Wire,
    service: ServiceKey,
    target: Target,
    issued: Option<Issued>,
    result: Attempt,
}

impl<'a> Running<'a> {
    /// Begins to count an attempt at a picked backend server.
    pub(crate) fn new(wire: &'a Wire, service: ServiceKey, target: Target) -> Self {
        Self {
            wire,
            service,
            target,
            issued: None,
            result: Attempt::Cancelled,
        }
    }

    /// Sets what the choice learns from the attempt.
    pub(crate) fn set_result(&mut self, result: Attempt) {
        self.result = result;
    }
}

impl Running<'_> {
    /// Tells the gate of an attempt that is dropped before it has ended.
    fn cancel(&self) {
        let Some(issued) = self.issued.filter(|_| self.result == Attempt::Cancelled) else {
            return;
        };
        let cancelled = Cancelled {
            target: self.target,
            id: issued.id,
        };
        // The receiver lives as long as the thread of the data path.
        let _ = self.wire.cancelled.send(cancelled);
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.wire.node.clock.now();
        let mut directory = self.wire.node.directory.lock();
        if let Some(issued) = self.issued {
            directory.settle(self.target.server, issued);
        }
        self.cancel();
        directory.finish(now, self.service, self.target.server, self.result);
    }
}

/// Sends a call to the gate of `target` and waits for the answer or a final word.
pub(crate) async fn run(wire: &Wire, call: &Call, plan: Plan, parent: &Span) -> Reached {
    let mut running = Running::new(wire, call.service, plan.target);
    let start = std::time::Instant::now();
    let reached = exchange(wire, call, &mut running, plan, parent).await;
    let latency_us = start.elapsed().as_micros() as u64;
    running.set_result(match &reached {
        Reached::Answer(answer) if answer.response.status().is_server_error() => {
            Attempt::Failed { latency_us }
        }
        Reached::Answer(_) => Attempt::Served { latency_us },
        Reached::Missing(Failure::Refused(_) | Failure::Unsent) => Attempt::Refused,
        Reached::Missing(Failure::MayHaveRun) => Attempt::Silent,
        Reached::Missing(Failure::Crashed) => Attempt::Failed { latency_us },
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
    let request = wire.gate(target.address.gate).get(uri(target, "/"));
    let sending = request.set_header(oriolering::STEP, "open").send();
    let response = within(INQUIRY_TIMEOUT_MS, sending).await?.ok()?;
    learn_grant(wire, target, response.headers());
    wire.node.directory.lock().issue(target.server)
}

fn learn_grant(wire: &Wire, target: Target, headers: &HeaderMap) {
    let grant = headers::text(headers, oriolering::GRANT).and_then(Grant::decode);
    if let Some(grant) = grant {
        wire.node.directory.lock().adopt(target.server, grant);
    }
}

fn uri(target: Target, path: &str) -> String {
    format!("http://{}{path}", target.address.gate)
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
        .request(call.method().clone(), uri(target, path))
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
    let mut request: ClientRequest = client.post(uri(target, "/"));
    *request.headers_mut() = headers.clone();
    let sending = request.set_header(oriolering::STEP, "reserve").send();
    let left = call.left(wire.node.clock.now()).max(1);
    match within(left, sending).await {
        Some(Ok(response)) if response.status().is_success() => None,
        Some(Ok(response)) => Some(read_word(wire, call, target, response)),
        Some(Err(_)) | None => Some(Reached::Missing(Failure::Unsent)),
    }
}

/// Waits for an answer, and asks over a new connection when the first one is silent.
async fn wait<F>(
    wire: &Wire,
    call: &Call,
    target: Target,
    issued: Issued,
    sending: F,
    progress: Option<Rc<Cell<Millis>>>,
) -> Reached
where
    F: Future<Output = Result<ClientResponse, SendRequestError>>,
{
    let mut sending = std::pin::pin!(sending);
    let total = call.deadline.since(call.arrived);
    let mut unanswered = 0;
    let mut silence = call.settings.silence_ms;
    loop {
        let now = wire.node.clock.now();
        let deadline = match &progress {
            Some(progress) => call.deadline.max(progress.get() + total),
            None => call.deadline,
        };
        let left = (deadline + GRACE_MS).since(now);
        if left == 0 {
            return Reached::Missing(Failure::MayHaveRun);
        }
        let asking = async {
            sleep(silence.min(left)).await;
            inquire(wire, target, issued).await
        };
        tokio::select! {
            biased;
            result = &mut sending => return classify(wire, call, target, issued, result).await,
            word = asking => match word {
                Some(Fate::Fenced) => {
                    wire.renew(target.address.gate);
                    return Reached::Missing(Failure::Refused(Refusal { cause: Cause::Fenced, retry_after: 0 }));
                }
                Some(Fate::Done) => {
                    if let Some(result) = within(DONE_WAIT_MS, &mut sending).await {
                        return classify(wire, call, target, issued, result).await;
                    }
                    wire.renew(target.address.gate);
                    return collect(wire, call, target, issued).await;
                }
                Some(Fate::Running | Fate::Queued) => {
                    unanswered = 0;
                    silence *= 2;
                }
                Some(Fate::Forgotten) => {
                    wire.renew(target.address.gate);
                    return Reached::Missing(Failure::MayHaveRun);
                }
                None => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED {
                        wire.renew(target.address.gate);
                        return Reached::Missing(Failure::MayHaveRun);
                    }
                }
            }
        }
    }
}

/// Asks the gate's control listener what became of an attempt; one that has not been
/// dispatched is fenced by the question.
async fn inquire(wire: &Wire, target: Target, issued: Issued) -> Option<Fate> {
    wire.node.metrics.inquiries.add(1, &[]);
    let control = wire.node.control()?;
    let asked = control.inquire(target.address.control, issued.id, true, INQUIRY_TIMEOUT_MS);
    asked.await.ok()
}

async fn classify(
    wire: &Wire,
    call: &Call,
    target: Target,
    issued: Issued,
    result: Result<ClientResponse, SendRequestError>,
) -> Reached {
    match result {
        Ok(response) => read_word(wire, call, target, response),
        Err(error) if is_unsent(&error) => Reached::Missing(Failure::Unsent),
        // The connection ended; only the gate knows what became of the attempt.
        Err(_) => match inquire(wire, target, issued).await {
            Some(Fate::Fenced) => Reached::Missing(Failure::Refused(Refusal {
                cause: Cause::Fenced,
                retry_after: 0,
            })),
            Some(Fate::Running | Fate::Done) => collect(wire, call, target, issued).await,
            Some(Fate::Queued | Fate::Forgotten) | None => Reached::Missing(Failure::MayHaveRun),
        },
    }
}

/// Returns whether an error shows that no byte of the request was sent.
pub(crate) fn is_unsent(error: &SendRequestError) -> bool {
    use std::io::ErrorKind;
    let SendRequestError::Connect(error) = error else {
        return false;
    };
    match error {
        ConnectError::Timeout => true,
        ConnectError::Disconnected(Some(error)) => error.kind() == ErrorKind::ConnectionRefused,
        ConnectError::Disconnected(None)
        | ConnectError::SslIsNotSupported
        | ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Unresolved => false,
    }
}

/// Collects the answer of a call that ran, over a new connection.
async fn collect(wire: &Wire, call: &Call, target: Target, issued: Issued) -> Reached {
    wire.node.metrics.collected.add(1, &[]);
    let left = call.left(wire.node.clock.now()).max(1);
    let request = wire
        .gate(target.address.gate)
        .get(uri(target, "/"))
        .no_decompress()
        .set_header(oriolering::CALL_ID, issued.id.encode())
        .set_header(oriolering::STEP, "collect")
        .set_header(oriolering::DEADLINE, left.to_string());
    match within(left, request.send()).await {
        Some(Ok(response)) => read_word(wire, call, target, response),
        Some(Err(_)) | None => Reached::Missing(Failure::MayHaveRun),
    }
}

/// Reads a short answer to its end, so that one that breaks off can be collected.
async fn complete(
    wire: &Wire,
    call: &Call,
    target: Target,
    issued: Issued,
    reached: Reached,
) -> Reached {
    if let Reached::Missing(_) = reached {
        return reached;
    }
    let reached = read_short(wire, call, reached).await;
    let Reached::Missing(_) = reached else {
        return reached;
    };
    match inquire(wire, target, issued).await {
        Some(Fate::Running | Fate::Done) if !call.idempotent => {
            let collected = collect(wire, call, target, issued).await;
            read_short(wire, call, collected).await
        }
        Some(_) | None => reached,
    }
}

/// Reads the body of an answer that is short; one that breaks off is missing.
async fn read_short(wire: &Wire, call: &Call, reached: Reached) -> Reached {
    let Reached::Answer(mut answer) = reached else {
        return reached;
    };
    let length = headers::number(answer.response.headers(), "content-length");
    let most = call.settings.buffer.answer_bytes;
    let Some(length) = length.filter(|l| *l <= most && call.method() != Method::HEAD) else {
        return Reached::Answer(answer);
    };
    let left = call.left(wire.node.clock.now()).max(GRACE_MS);
    let reading = body::read(&mut answer.response, length);
    match within(left, reading).await.flatten() {
        Some(body) => {
            answer.body = Some(body);
            Reached::Answer(answer)
        }
        None => Reached::Missing(Failure::MayHaveRun),
    }
}

/// Reads what the gate says in the headers of an answer.
fn read_word(wire: &Wire, call: &Call, target: Target, response: ClientResponse) -> Reached {
    let headers = response.headers();
    let now = wire.node.clock.now();
    if let Some(hint) = headers::text(headers, oriolering::LOAD).and_then(LoadHint::decode) {
        let mut directory = wire.node.directory.lock();
        directory.hint(now, call.service, target.server, hint);
    }
    learn_grant(wire, target, headers);
    let Some(outcome) = headers::text(headers, oriolering::OUTCOME) else {
        let body = None;
        return Reached::Answer(Box::new(Answered { response, body }));
    };
    let cause = headers::text(headers, oriolering::REASON).and_then(Cause::parse);
    let retry_after = headers::number(headers, oriolering::RETRY_AFTER_MS).unwrap_or(0);
    let refusal = Refusal {
        cause: cause.unwrap_or(Cause::Invalid),
        retry_after: retry_after as u32,
    };
    Reached::Missing(match (Outcome::parse(outcome), refusal.cause) {
        (Some(Outcome::NotRun | Outcome::Rejected), _) => Failure::Refused(refusal),
        (Some(Outcome::Unknown), Cause::Unreachable) => Failure::Crashed,
        (Some(Outcome::Unknown) | None, _) => Failure::MayHaveRun,
    })
}
