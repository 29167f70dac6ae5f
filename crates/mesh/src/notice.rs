//! What an answer says of the backend server that gave it, beside its load.

use oriolering::Rate;
use oriolering_http::HeaderMap;
use oriolering_platform::{HEADERS, parse_leaving, parse_limit};
use serde::{Deserialize, Serialize};

/// What an answer says of its backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// The requests a second that it takes from all nodes together, if it names a limit.
    pub(crate) limit: Option<Rate>,
    /// Whether it leaves.
    pub(crate) leaving: bool,
}

impl Notice {
    /// Reads what the headers of an answer say; of several limits the lowest counts, and what
    /// cannot be read is none.
    pub(crate) fn of(map: &HeaderMap) -> Self {
        Self {
            limit: texts(map, HEADERS.limit).filter_map(parse_limit).min(),
            leaving: texts(map, HEADERS.leaving).any(parse_leaving),
        }
    }
}

/// Returns the first limit in the headers of an answer that cannot be read.
pub(crate) fn unreadable_limit(map: &HeaderMap) -> Option<&str> {
    texts(map, HEADERS.limit).find(|text| parse_limit(text).is_none())
}

/// Returns the values of a header in each of its spellings; what is no text is an empty one.
fn texts<'a>(map: &'a HeaderMap, names: [&'static str; 2]) -> impl Iterator<Item = &'a str> {
    let values = names.into_iter().flat_map(|name| map.get_all(name));
    values.map(|value| value.to_str().unwrap_or_default())
}
