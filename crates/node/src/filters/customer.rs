//! Finds the customer on whose behalf a call is made.

use oriolering::CUSTOMER;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::Call;
use crate::headers;
use crate::reply::Reply;
use crate::state::Node;

/// Hashes the header that the service names as the customer key; zero without one.
pub(crate) fn find(_node: &Node, call: &mut Call) -> Result<(), Reply> {
    let name = call.settings.customer_header.as_deref().unwrap_or(CUSTOMER);
    let key = headers::text(call.request.headers(), name);
    call.customer = key.map_or(0, |key| xxh3_64(key.as_bytes()));
    Ok(())
}
