//! Reading and copying of HTTP headers.

use ntex::http::header::{HeaderMap, HeaderName};

/// Headers that belong to one connection and never travel on (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Headers of the system's own, which only the system may set on a forwarded message.
const OWN_PREFIX: &str = "oriolering-";

/// Returns the text of a header, or `None` when it is missing or not ASCII text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header as a whole number.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Copies the headers that travel on to the next hop.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter() {
        if travels(name, &named) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

fn travels(name: &HeaderName, named: &[String]) -> bool {
    let name = name.as_str();
    !CONNECTION_HEADERS.contains(&name)
        && !name.starts_with(OWN_PREFIX)
        && !named.iter().any(|other| other == name)
}

/// Lists the headers that the `connection` header names as belonging to the connection.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Returns a header as a hexadecimal number.
pub(crate) fn hex(headers: &HeaderMap, name: &str) -> Option<u64> {
    u64::from_str_radix(text(headers, name)?, 16).ok()
}
