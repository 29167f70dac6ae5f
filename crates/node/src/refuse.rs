//! Answers of the gate to calls that it doesn't run.

use ntex::web::HttpResponse;
use oriolering::{Cause, Refusal};

use crate::reply::Reply;
use crate::wire::Wire;

/// Opens a session for an ingress that has none, and says so in a refusal.
pub(crate) fn open(wire: &Wire) -> HttpResponse {
    let now = wire.node.clock.now();
    let grant = wire.node.admission.lock().gate.open_session(now);
    let load = wire.node.load();
    let refusal = Refusal {
        cause: Cause::Session,
        retry_after: 0,
    };
    Reply::not_run(refusal).response_with(Some(load), Some(grant))
}

/// Answers a refusal of the gate; a refusal for want of a session carries a new one.
pub(crate) fn refuse(wire: &Wire, refusal: Refusal) -> HttpResponse {
    wire.node.metrics.refused(refusal.cause);
    if refusal.cause == Cause::Session {
        return open(wire);
    }
    let load = wire.node.load();
    Reply::not_run(refusal).response_with(Some(load), None)
}
