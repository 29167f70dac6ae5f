//! Sets the deadline of a call.

use oriolering::{Cause, DEADLINE, Millis, Refusal};

use crate::call::Call;
use crate::headers;
use crate::ingress::NOT_RUN_RETRY_MS;
use crate::reply::Reply;
use crate::serve::LEAVE_MS;
use crate::state::Node;

/// Takes the smaller of the time that the caller names and the time that the service allows.
pub(crate) fn set(node: &Node, call: &mut Call) -> Result<(), Reply> {
    let most = call.settings.deadline_ms;
    let left = headers::number(call.request.headers(), DEADLINE).unwrap_or(most);
    if left == 0 {
        return Err(Reply::not_run(Refusal {
            cause: Cause::Deadline,
            retry_after: 0,
        }));
    }
    let deadline = call.arrived + left.min(most);
    call.deadline = limit_to_stop(node, call.arrived, deadline)?;
    Ok(())
}

/// Returns the deadline of a call that arrives now: while the node stops, no call may outlast it.
///
/// Callers that had time to notice the stop are refused instead, as their calls may not end in time.
fn limit_to_stop(node: &Node, arrived: Millis, deadline: Millis) -> Result<Millis, Reply> {
    let Some((begun, end)) = node.stop().filter(|(_, end)| deadline > *end) else {
        return Ok(deadline);
    };
    if arrived.since(begun) >= LEAVE_MS || arrived >= end {
        return Err(Reply::not_run(Refusal {
            cause: Cause::Leaving,
            retry_after: NOT_RUN_RETRY_MS,
        }));
    }
    Ok(end)
}
