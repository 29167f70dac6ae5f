//! The calls that a stand-in of a backend server makes while it runs a request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use ntex::http::{DateService, HeaderMap, ResponseHead};
use oriolering_http::{Bytes, ClientConn, HeaderName, HeaderValue, Method, Request, Uri};
use oriolering_platform::{HEADERS, parse_parent};
use tokio::time::timeout;

use super::app_settings::AppSettings;
use super::site_text::{CALLERS_PORT, HOST, LOOKUP};

/// How long a connection to the node beside it may take, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// What stands in an identity between the backend server that calls and the call's number.
const OWN: char = '_';

/// Returns the identity of a call that a backend server makes for a request.
pub(crate) fn call_id(request: &str, server: &str, number: u64) -> CompactString {
    format_compact!("{request}.{server}{OWN}{number}")
}

/// Returns the request for which a call was made, and the backend server that made it.
pub(crate) fn scan_call(id: &str) -> Option<(&str, &str)> {
    let parent = parse_parent(id)?;
    let (server, _) = id[parent.len() + 1..].split_once(OWN)?;
    Some((parent, server))
}

/// Makes a call through the node beside a backend server, and returns whether it was served.
pub(crate) async fn call(
    settings: &AppSettings,
    request: &str,
    number: u64,
    until: Instant,
) -> bool {
    let left = until.saturating_duration_since(Instant::now());
    let id = call_id(request, &settings.id, number);
    let node = SocketAddr::new(settings.listen.ip(), CALLERS_PORT);
    matches!(
        timeout(left, exchange(node, &id, left)).await,
        Ok(Some(true))
    )
}

async fn exchange(node: SocketAddr, id: &str, left: Duration) -> Option<bool> {
    let mut headers = HeaderMap::new();
    let deadline = left.as_millis().to_string();
    for (name, value) in [
        ("host", HOST),
        (HEADERS.request, id),
        (HEADERS.deadline, &deadline),
    ] {
        let name = HeaderName::from_static(name);
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    let request = Request {
        method: Method::GET,
        uri: Uri::try_from(format!("{}1?work=5&bytes=20", LOOKUP.0)).ok()?,
        headers,
        body: Bytes::new(),
    };
    let date = DateService::default();
    let mut conn = ClientConn::connect(node, date, CONNECT_MS).await.ok()?;
    let any = |_: &ResponseHead| true;
    let response = conn.exchange(request, any).await.ok()?;
    Some(response.status.is_success())
}
