//! Short HTTP exchanges with the admin listeners of nodes and stand-ins.

use ntex::http::client::{Client, Connector};
use ntex::time::Millis;
use ntex::util::Bytes;
use serde::Serialize;
use std::net::SocketAddr;

const LIMIT_MS: u32 = 2_000;
const BODY_BYTES: usize = 64 * 1024 * 1024;

fn client() -> Client {
    Client::build()
        .connector(Connector::default().timeout(Millis(LIMIT_MS)).finish())
        .timeout(Millis(LIMIT_MS))
        .response_payload_limit(BODY_BYTES)
        .finish()
}

/// Returns status and body of a GET, or `None` when there is no whole answer.
pub async fn http_get(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let url = format!("http://{address}{path}");
    let mut response = client().get(url).send().await.ok()?;
    let body = response.body().await.ok()?;
    Some((response.status().as_u16(), body))
}

/// Posts a value as JSON and returns the status, or `None` when there is no answer.
pub async fn http_post(address: SocketAddr, path: &str, value: &impl Serialize) -> Option<u16> {
    let url = format!("http://{address}{path}");
    let response = client().post(url).send_json(value).await.ok()?;
    Some(response.status().as_u16())
}
