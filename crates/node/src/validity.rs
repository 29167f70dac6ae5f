//! Decides whether a response of the backend server may be passed on.

use std::ops::RangeInclusive;

use ntex::http::client::ClientResponse;
use ntex::http::{Method, StatusCode, Version};

use crate::headers;

/// The statuses of final responses; the library accepts all of three digits from 100.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// The transfer encoding of a body sent in chunks.
const CHUNKED: &str = "chunked";

/// Returns whether a response to a request with this method is final and its body is read whole.
pub(crate) fn is_valid(method: &Method, response: &ClientResponse) -> bool {
    let status = response.status();
    FINAL_STATUSES.contains(&status.as_u16()) && has_known_end(method, response)
}

/// Returns whether the end of the body is known.
///
/// The library reads no body that ends with the connection, except in HTTP/1.0, and reports an
/// empty one.
fn has_known_end(method: &Method, response: &ClientResponse) -> bool {
    let status = response.status();
    let bodiless = method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let encoding = headers::text(response.headers(), "transfer-encoding");
    let chunked = encoding.is_some_and(|e| e.trim().eq_ignore_ascii_case(CHUNKED));
    let framed = chunked || response.headers().contains_key("content-length");
    bodiless || framed || response.version() == Version::HTTP_10
}
