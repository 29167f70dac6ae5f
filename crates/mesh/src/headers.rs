//! Decides which headers are forwarded, and converts between header formats.

use oriolering_http::{HeaderMap, HeaderName, HeaderValue, header};
use oriolering_platform::HEADERS;
use serde_bytes::ByteBuf;

use crate::field_name::FieldName;
use crate::frame::Headers;

/// Returns whether a header is hop-by-hop.
fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "expect"
            | "content-length"
    )
}

/// Returns whether nodes set a request header themselves, whatever the caller sent.
fn is_set_by_node(name: &str) -> bool {
    name == HEADERS.deadline || name == HEADERS.target || name == HEADERS.caller
}

/// Returns whether a response header is meant for the gate, or repeats what the ingress knows.
fn is_for_gate(name: &str) -> bool {
    name == HEADERS.load || name == HEADERS.server || name == HEADERS.request
}

/// Returns the names that the `connection` header marks as hop-by-hop.
fn connection_listed(map: &HeaderMap) -> Vec<String> {
    let values = map.get_all(header::CONNECTION);
    let texts = values.filter_map(|v| v.to_str().ok());
    let names = texts.flat_map(|t| t.split(','));
    names.map(|n| n.trim().to_ascii_lowercase()).collect()
}

fn forward(map: &HeaderMap, skip: impl Fn(&str) -> bool) -> Headers {
    let listed = connection_listed(map);
    let kept = map.iter().filter(|(name, _)| {
        let name = name.as_str();
        !is_hop_by_hop(name) && !skip(name) && !listed.iter().any(|l| l == name)
    });
    kept.map(|(name, value)| {
        let name = FieldName::of(name.as_str());
        (name, ByteBuf::from(value.as_bytes().to_vec()))
    })
    .collect()
}

/// Returns the headers of a caller's request that are forwarded to a backend server.
///
/// The request identity is left out if it is text, since the offer carries it.
pub(crate) fn forward_request(map: &HeaderMap) -> Headers {
    let identified = text(map, HEADERS.request).is_some();
    forward(map, |name| {
        is_set_by_node(name) || (identified && name == HEADERS.request)
    })
}

/// Returns the headers of a backend server's response that are forwarded to the caller.
pub(crate) fn forward_response(map: &HeaderMap) -> Headers {
    forward(map, is_for_gate)
}

/// Converts headers to the form of the HTTP library, and omits those that it rejects.
pub(crate) fn to_map(headers: &Headers) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let name = name
            .as_str()
            .map(|name| HeaderName::from_bytes(name.as_bytes()));
        let value = HeaderValue::from_bytes(value);
        if let (Some(Ok(name)), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

/// Sets a header, replacing earlier values; an invalid value is logged and omitted.
pub(crate) fn set(map: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => map.insert(HeaderName::from_static(name), value),
        Err(e) => log::warn!(name, error = e.to_string().as_str(); "a header is left out"),
    }
}

/// Returns the value of a header if it is visible ASCII text.
pub(crate) fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
