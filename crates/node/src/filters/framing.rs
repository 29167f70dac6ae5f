//! Refuses requests whose framing two readers could understand differently.

use oriolering::Cause;

use crate::call::Call;
use crate::reply::Reply;
use crate::state::Node;

/// Refuses a request with both a length and a transfer coding, or with two lengths
/// (RFC 9112, section 6.3).
pub(crate) fn check(_node: &Node, call: &mut Call) -> Result<(), Reply> {
    let headers = call.request.headers();
    let lengths = headers.get_all("content-length").count();
    let codings = headers.get_all("transfer-encoding").count();
    if lengths + codings > 1 {
        return Err(Reply::rejected(Cause::Invalid, 0));
    }
    Ok(())
}
