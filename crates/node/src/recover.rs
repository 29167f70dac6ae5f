//! Finds out what became of an attempt whose connection is silent or has ended.

use std::cell::Cell;
use std::rc::Rc;

use ntex::http::Method;
use ntex::http::client::ClientResponse;
use ntex::http::client::error::{ConnectError, SendRequestError};
use oriolering::{AttemptStatus, Cause, Failure, Millis, Refusal};

use crate::body;
use crate::call::Call;
use crate::directory::Target;
use crate::headers;
use crate::reached::Reached;
use crate::sessions::Issued;
use crate::timer::{sleep, within};
use crate::wire::Wire;
use crate::word::read_word;

/// The longest time that a gate has to answer an inquiry or open a session.
pub(crate) const INQUIRY_TIMEOUT_MS: u64 = 150;
/// The time beyond the deadline in which the gate's own word may still come.
const GRACE_MS: u64 = 30;
/// Inquiries without an answer after which a gate counts as out of reach.
const MAX_UNANSWERED: u32 = 2;
/// The time in which the answer of a finished call may still come over its first connection.
const DONE_WAIT_MS: u64 = 20;

/// Waits for an answer, and asks over a new connection when the first one is silent.
pub(crate) async fn wait<F>(
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
    let sent = wire.node.clock.now();
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
                Some(AttemptStatus::Fenced) => {
                    wire.renew(target.address.gate, sent);
                    return Reached::Missing(Failure::Refused(Refusal { cause: Cause::Fenced, retry_after: 0 }));
                }
                Some(AttemptStatus::Done) => {
                    if let Some(result) = within(DONE_WAIT_MS, &mut sending).await {
                        return classify(wire, call, target, issued, result).await;
                    }
                    wire.renew(target.address.gate, sent);
                    return collect(wire, call, target, issued).await;
                }
                Some(AttemptStatus::Running | AttemptStatus::Queued) => {
                    unanswered = 0;
                    silence *= 2;
                }
                Some(AttemptStatus::Forgotten) => {
                    wire.renew(target.address.gate, sent);
                    return Reached::Missing(Failure::MayHaveRun);
                }
                None => {
                    unanswered += 1;
                    if unanswered >= MAX_UNANSWERED {
                        wire.renew(target.address.gate, sent);
                        return Reached::Missing(Failure::MayHaveRun);
                    }
                }
            }
        }
    }
}

/// Asks the gate's control listener what became of an attempt; one that has not been
/// dispatched is fenced by the question.
async fn inquire(wire: &Wire, target: Target, issued: Issued) -> Option<AttemptStatus> {
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
            Some(AttemptStatus::Fenced) => Reached::Missing(Failure::Refused(Refusal {
                cause: Cause::Fenced,
                retry_after: 0,
            })),
            Some(AttemptStatus::Running | AttemptStatus::Done) => {
                collect(wire, call, target, issued).await
            }
            Some(AttemptStatus::Queued | AttemptStatus::Forgotten) | None => {
                Reached::Missing(Failure::MayHaveRun)
            }
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
        .get(target.uri("/"))
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
pub(crate) async fn complete(
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
        Some(AttemptStatus::Running | AttemptStatus::Done) if !call.idempotent => {
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
