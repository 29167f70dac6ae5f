//! The words of the header `connection`.

use ntex::http::HeaderMap;
use ntex::http::header::CONNECTION;

/// The word that ends a connection.
pub(crate) const CLOSE: &str = "close";
/// The word that keeps a connection of the old version.
pub(crate) const KEEP_ALIVE: &str = "keep-alive";

/// Returns whether a header `connection` has this word anywhere in its list.
pub(crate) fn names(headers: &HeaderMap, name: &str) -> bool {
    let values = headers.get_all(CONNECTION);
    let mut words = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    words.any(|word| word.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
}
