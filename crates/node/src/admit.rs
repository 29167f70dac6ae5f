//! The gate's listener: the only way to the local backend server.

use std::rc::Rc;

use futures_util::future::{Either, select};
use ntex::web::{HttpRequest, HttpResponse};
use oriolering::{AttemptStatus, CallId, Cause, Millis, Offer, Refusal};
use tokio::sync::OwnedMutexGuard;

use crate::forward::{self, Job};
use crate::headers;
use crate::incoming::Incoming;
use crate::permit::Permit;
use crate::refuse::{open, refuse};
use crate::reply::Reply;
use crate::timer::{sleep, within};
use crate::wire::Wire;

/// The refusal of a gate that does not know its peers yet.
const UNREADY: Refusal = Refusal {
    cause: Cause::Unready,
    retry_after: 500,
};
/// The refusal of a call whose deadline came before it could run.
const LATE: Refusal = Refusal {
    cause: Cause::Deadline,
    retry_after: 500,
};
const COLLECT_POLL_MS: u64 = 5;

/// Serves a request of an ingress.
pub(crate) async fn serve(wire: Rc<Wire>, request: HttpRequest, payload: Incoming) -> HttpResponse {
    match standing(&wire, &request) {
        Standing::Peer => {}
        Standing::Unready => return Reply::not_run(UNREADY).response(),
        Standing::Stranger => {
            wire.node.metrics.strangers.add(1, &[]);
            return Reply::rejected(Cause::Invalid, 0).response();
        }
    }
    let id = headers::text(request.headers(), oriolering::CALL_ID).and_then(CallId::decode);
    let Some(id) = id else {
        return open(&wire);
    };
    match headers::text(request.headers(), oriolering::STEP) {
        Some("collect") => collect(&wire, &request, id).await,
        Some("reserve") => reserve(&wire, &request, id).await,
        Some("cancel") => cancel(&wire, id),
        Some(_) => Reply::rejected(Cause::Invalid, 0).response(),
        None => run(wire, request, payload, id).await,
    }
}

/// How the sender of a request stands with this gate.
enum Standing {
    /// Its address is in the platform's list.
    Peer,
    /// There is no list yet.
    Unready,
    /// Its address is not in the list.
    Stranger,
}

/// Looks up the sender of a request in the platform's list.
fn standing(wire: &Wire, request: &HttpRequest) -> Standing {
    let Some(peer) = request.peer_addr() else {
        return Standing::Stranger;
    };
    let directory = wire.node.directory.lock();
    let members = directory.members();
    if members.is_empty() {
        return Standing::Unready;
    }
    match members.iter().any(|m| m.gate.ip() == peer.ip()) {
        true => Standing::Peer,
        false => Standing::Stranger,
    }
}

/// Cancels a call whose caller has gone.
fn cancel(wire: &Wire, id: CallId) -> HttpResponse {
    wire.cancels.borrow_mut().remove(id);
    HttpResponse::NoContent().finish()
}

/// Admits a call whose body will follow once there is room for it.
async fn reserve(wire: &Wire, request: &HttpRequest, id: CallId) -> HttpResponse {
    let offer = offer(wire, request, id, deadline(wire, request));
    match Permit::enter(&wire.node, offer).await {
        Err(refusal) => refuse(wire, refusal),
        Ok(permit) => {
            let now = wire.node.clock.now();
            wire.reserved.borrow_mut().hold(now, id, permit);
            HttpResponse::NoContent().finish()
        }
    }
}

/// What is known of a request from deaths of backend servers.
enum Suspicion {
    /// It was not running when one died.
    None,
    /// It was running when one died.
    Suspect,
    /// It is refused for the given milliseconds.
    Quarantined(u32),
}

fn suspicion(wire: &Wire, request: &HttpRequest) -> Suspicion {
    let now = wire.node.clock.now();
    let fingerprint = headers::hex(request.headers(), oriolering::FINGERPRINT).unwrap_or(0);
    let quarantine = wire.node.quarantine.lock();
    if let Some(left) = quarantine.remaining_ms(now, fingerprint) {
        return Suspicion::Quarantined(left as u32);
    }
    let crashed = request.headers().contains_key(oriolering::CRASHES);
    match crashed || quarantine.is_suspect(now, fingerprint) {
        true => Suspicion::Suspect,
        false => Suspicion::None,
    }
}

/// Waits until no other suspect runs here; `None` when the deadline comes first.
async fn alone(wire: &Wire, end: Millis) -> Option<OwnedMutexGuard<()>> {
    let left = end.since(wire.node.clock.now());
    within(left, wire.suspects.clone().lock_owned()).await
}

/// Runs a call: admission, dispatch and the answer of the backend server.
async fn run(wire: Rc<Wire>, request: HttpRequest, payload: Incoming, id: CallId) -> HttpResponse {
    // The time left counts from here on, whatever the call waits for.
    let end = deadline(&wire, &request);
    let alone = match suspicion(&wire, &request) {
        Suspicion::None => None,
        Suspicion::Suspect => match alone(&wire, end).await {
            Some(alone) => Some(alone),
            None => return refuse(&wire, LATE),
        },
        Suspicion::Quarantined(left) => {
            return Reply::rejected(Cause::Quarantined, left).response();
        }
    };
    let held = wire.reserved.borrow_mut().take(id);
    let permit = match held {
        Some(permit) => permit,
        None => match Permit::enter(&wire.node, offer(&wire, &request, id, end)).await {
            Ok(permit) => permit,
            Err(refusal) => return refuse(&wire, refusal),
        },
    };
    let job = Job::new(&wire, &request, id, end);
    if job.idempotent {
        let answer = forward::run(wire, job, permit, request, payload).await;
        drop(alone);
        return answer;
    }
    // A request that may not be repeated goes on when the ingress loses its connection, so
    // that the answer can be collected over a new one.
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let cancelled = wire.cancels.borrow_mut().register(id);
    ntex::rt::spawn(async move {
        let running = forward::run(Rc::clone(&wire), job, permit, request, payload);
        let answer = match select(Box::pin(running), cancelled).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => Reply::unknown(Cause::Cancelled, 0).response(),
        };
        wire.cancels.borrow_mut().remove(id);
        drop(alone);
        let _ = sender.send(answer);
    });
    match receiver.await {
        Ok(answer) => answer,
        Err(_) => Reply::unknown(Cause::Unreachable, 0).response(),
    }
}

/// Hands out the answer of a call that is running or done.
async fn collect(wire: &Wire, request: &HttpRequest, id: CallId) -> HttpResponse {
    let end = deadline(wire, request);
    loop {
        if let Some(answer) = wire.answers.borrow().get(id) {
            return forward::respond(wire, answer);
        }
        let now = wire.node.clock.now();
        let fate = wire.node.admission.lock().gate.inquire(now, id, false);
        if fate != AttemptStatus::Running || now >= end {
            return Reply::unknown(Cause::Unreachable, 0).response();
        }
        sleep(COLLECT_POLL_MS).await;
    }
}

fn offer(wire: &Wire, request: &HttpRequest, id: CallId, deadline: Millis) -> Offer {
    let headers = request.headers();
    let ack = headers::number(headers, oriolering::ACK).unwrap_or(0);
    wire.answers.borrow_mut().acknowledge(id.grant, ack);
    Offer {
        id,
        ack,
        customer: headers::hex(headers, oriolering::CUSTOMER).unwrap_or(0),
        deadline,
        fingerprint: headers::hex(headers, oriolering::FINGERPRINT).unwrap_or(0),
    }
}

/// Returns when the call ends: the time left in the header, or the service's own limit.
fn deadline(wire: &Wire, request: &HttpRequest) -> Millis {
    let most = wire.node.own_service().deadline_ms;
    let left = headers::number(request.headers(), oriolering::DEADLINE).unwrap_or(most);
    wire.node.clock.now() + left.min(most)
}
