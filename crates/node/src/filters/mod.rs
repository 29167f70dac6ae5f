//! The chain of filters that every call passes before the first attempt.

pub(crate) mod customer;
pub(crate) mod deadline;
pub(crate) mod fingerprint;
pub(crate) mod framing;
pub(crate) mod quarantine;
pub(crate) mod route;

use crate::call::Call;
use crate::reply::Reply;
use crate::state::Node;

/// A filter: it completes the call or ends it with an answer.
type Filter = fn(&Node, &mut Call) -> Result<(), Reply>;

/// Filters that need only the head of the request, in the order in which they run.
pub(crate) const HEAD: [Filter; 3] = [framing::check, deadline::set, customer::find];

/// Filters that need the body where it is short.
pub(crate) const BODY: [Filter; 2] = [fingerprint::set, quarantine::refuse];

/// Runs `filters` in order until one ends the call.
///
/// # Errors
///
/// Returns the answer of the filter that ended the call.
pub(crate) fn run(filters: &[Filter], node: &Node, call: &mut Call) -> Result<(), Reply> {
    for filter in filters {
        filter(node, call)?;
    }
    Ok(())
}
