//! Sends a slow idempotent call to a second backend server.

use futures_util::future::{Either, select};
use opentelemetry_sdk::trace::Span;
use oriolering::ServerKey;
use smallvec::SmallVec;

use crate::attempt::{self, Plan};
use crate::call::Call;
use crate::directory::Target;
use crate::reached::Reached;
use crate::timer::sleep;
use crate::wire::Wire;

/// Runs an attempt, and beside it a second one when the first is slow and the budget allows.
///
/// The slower attempt is dropped, which closes its connection and so cancels it at the gate.
pub(crate) async fn run(
    wire: &Wire,
    call: &Call,
    first: Plan,
    tried: &mut SmallVec<[ServerKey; 4]>,
    span: &Span,
) -> Reached {
    let delay = match call.idempotent && call.is_whole() {
        true => delay(wire, call),
        false => None,
    };
    let attempt = Box::pin(attempt::run(wire, call, first, span));
    let Some(delay) = delay else {
        return attempt.await;
    };
    let timer = std::pin::pin!(sleep(delay));
    let attempt = match select(attempt, timer).await {
        Either::Left((reached, _)) => return reached,
        Either::Right(((), attempt)) => attempt,
    };
    let Some(target) = start(wire, call, tried) else {
        return attempt.await;
    };
    tried.push(target.server);
    let plan = Plan {
        target,
        number: first.number + 1,
        crashes: first.crashes,
    };
    let second = Box::pin(attempt::run(wire, call, plan, span));
    match select(attempt, second).await {
        Either::Left((Reached::Missing(_), second)) => second.await,
        Either::Right((Reached::Missing(_), attempt)) => attempt.await,
        Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
    }
}

/// Returns the milliseconds after which a second attempt may start.
fn delay(wire: &Wire, call: &Call) -> Option<u64> {
    let mut directory = wire.node.directory.lock();
    directory.route_mut(call.service)?.hedge.delay_ms()
}

/// Picks the second backend server if the budget allows one more attempt.
fn start(wire: &Wire, call: &Call, tried: &[ServerKey]) -> Option<Target> {
    let now = wire.node.clock.now();
    let mut directory = wire.node.directory.lock();
    let route = directory.route_mut(call.service)?;
    if !route
        .hedge
        .try_start(call.idempotent, &mut route.retries, now)
    {
        return None;
    }
    let target = directory.pick(now, call.service, tried)?;
    drop(directory);
    wire.node.metrics.hedges.add(1, &[]);
    Some(target)
}
