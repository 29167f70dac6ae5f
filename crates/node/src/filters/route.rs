//! Finds the service that a request is for.

use ntex::http::header::HeaderMap;
use oriolering::SERVICE;

use crate::headers;

/// Returns the name of the service: the service header, or the first label of the host.
pub(crate) fn service_name(headers: &HeaderMap) -> Option<&str> {
    if let Some(name) = headers::text(headers, SERVICE) {
        return Some(name);
    }
    let host = headers::text(headers, "host")?;
    host.split(['.', ':']).next()
}
