//! The options of the `Connection` header.

use ntex::http::HeaderMap;
use ntex::http::header::CONNECTION;

/// The option that closes a connection.
pub(crate) const CLOSE: &str = "close";
/// The option that keeps an HTTP/1.0 connection open.
pub(crate) const KEEP_ALIVE: &str = "keep-alive";

/// Returns whether a `Connection` header lists this option.
pub(crate) fn has_option(headers: &HeaderMap, option: &str) -> bool {
    let values = headers.get_all(CONNECTION);
    let mut options = values.flat_map(|v| v.as_bytes().split(|b| *b == b','));
    options.any(|o| o.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}
