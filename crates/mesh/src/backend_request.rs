//! Builds the HTTP requests that a gate sends to its backend server.

use oriolering_http::{Bytes, HeaderMap, Method, Request, Uri};
use oriolering_platform::HEADERS;

use crate::frame::Offer;
use crate::headers;

/// Builds the request of an offer; `left` is the time to its deadline in milliseconds.
///
/// Returns `None` if the method or the target of the offer is invalid.
pub(crate) fn build(offer: &Offer, body: Bytes, left: u64) -> Option<Request> {
    let mut map = headers::to_map(&offer.headers);
    if !offer.request.is_empty() {
        headers::set(&mut map, HEADERS.request, &offer.request);
    }
    headers::set(&mut map, HEADERS.deadline, &left.to_string());
    headers::set(&mut map, HEADERS.target, &offer.server);
    headers::set(&mut map, HEADERS.caller, &offer.caller);
    Some(Request {
        method: Method::from_bytes(offer.method.as_bytes()).ok()?,
        uri: Uri::try_from(offer.target.as_str()).ok()?,
        headers: map,
        body,
    })
}

/// Builds a health request, whose response reports the load of the backend server.
pub(crate) fn probe(path: &str) -> Option<Request> {
    Some(Request {
        method: Method::GET,
        uri: Uri::try_from(path).ok()?,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    })
}
