//! Sets the deadline of a call.

use oriolering::{Cause, DEADLINE, Refusal};

use crate::call::Call;
use crate::headers;
use crate::reply::Reply;
use crate::state::Node;

/// Takes the smaller of the time that the caller names and the time that the service allows.
pub(crate) fn set(_node: &Node, call: &mut Call) -> Result<(), Reply> {
    let most = call.settings.deadline_ms;
    let left = headers::number(call.request.headers(), DEADLINE).unwrap_or(most);
    if left == 0 {
        return Err(Reply::not_run(Refusal {
            cause: Cause::Deadline,
            retry_after: 0,
        }));
    }
    call.deadline = call.arrived + left.min(most);
    Ok(())
}
