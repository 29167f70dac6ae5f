//! What a response says about the backend server that sent it, apart from its load.

use oriolering::Rate;
use oriolering_http::HeaderMap;
use oriolering_platform::{HEADERS, parse_leaving, parse_limit};
use serde::{Deserialize, Serialize};

/// What the headers of a response say about its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// The rate limit of the backend server for all nodes together, if it has one.
    pub(crate) limit: Option<Rate>,
    /// Whether the backend server is about to leave.
    pub(crate) leaving: bool,
}

impl Notice {
    /// Parses the headers of a response. Of several limits the lowest counts, and an invalid limit
    /// is ignored.
    pub(crate) fn from_headers(map: &HeaderMap) -> Self {
        Self {
            limit: texts(map, HEADERS.limit).filter_map(parse_limit).min(),
            leaving: texts(map, HEADERS.leaving).any(parse_leaving),
        }
    }
}

/// Returns the first invalid limit in the headers of a response.
pub(crate) fn invalid_limit(map: &HeaderMap) -> Option<&str> {
    texts(map, HEADERS.limit).find(|text| parse_limit(text).is_none())
}

/// Returns the values of a header under each of its names; a value that is not text becomes an
/// empty string.
fn texts<'a>(map: &'a HeaderMap, names: [&'static str; 2]) -> impl Iterator<Item = &'a str> {
    let values = names.into_iter().flat_map(|name| map.get_all(name));
    values.map(|value| value.to_str().unwrap_or_default())
}
