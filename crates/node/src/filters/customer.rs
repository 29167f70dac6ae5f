//! Finds the customer on whose behalf a call is made.

use xxhash_rust::xxh3::xxh3_64;

use crate::call::Call;
use crate::headers;
use crate::reply::Reply;
use crate::state::Node;

/// Hashes the header that the service names as the customer key; zero without one, and
/// when the service names no header.
pub(crate) fn find(_node: &Node, call: &mut Call) -> Result<(), Reply> {
    let Some(name) = &call.settings.customer_header else {
        return Ok(());
    };
    let key = headers::text(call.request.headers(), name);
    call.customer = key.map_or(0, |key| xxh3_64(key.as_bytes()));
    Ok(())
}
