//! Refuses quarantined requests before any attempt.

use oriolering::Cause;

use crate::call::Call;
use crate::reply::Reply;
use crate::state::Node;

/// Refuses a request whose fingerprint is quarantined.
pub(crate) fn refuse(node: &Node, call: &mut Call) -> Result<(), Reply> {
    let now = node.clock.now();
    match node.quarantine.lock().remaining_ms(now, call.fingerprint) {
        Some(left) => Err(Reply::rejected(Cause::Quarantined, left as u32)),
        None => Ok(()),
    }
}
