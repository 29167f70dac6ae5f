//! Reads of the platform's service.

use std::net::SocketAddr;

use ntex::http::StatusCode;
use ntex::http::client::error::SendRequestError;
use ntex::http::client::{Client, ClientResponse, Connector};
use ntex::http::error::PayloadError;
use ntex::time::{Millis, Seconds};
use oriolering::VALUE_MAX_BYTES;
use snafu::{OptionExt, ResultExt, Snafu};

use super::message::Kind;
use crate::timer::within;

/// The bytes of a request and of the headers of its answer.
pub(crate) const HEAD_BYTES: u64 = 600;
/// The time that an answer may take beyond the wait of a watch.
const ANSWER_MS: u64 = 5_000;
/// The header that carries the revision of a value.
const REVISION: &str = "revision";

/// Why a read of the platform's service failed.
#[derive(Debug, Snafu)]
pub(crate) enum ReadError {
    #[snafu(display("the platform's service at {address} gave no answer: {reason}"))]
    Send { address: SocketAddr, reason: String },
    #[snafu(display("the platform's service answered {status}; check that it is up"))]
    Status { status: StatusCode },
    #[snafu(display("the answer names no revision; check the platform's service"))]
    Revision,
    #[snafu(display("the value broke off or has more than {VALUE_MAX_BYTES} bytes: {reason}"))]
    Body { reason: String },
    #[snafu(display("the value is not UTF-8: {source}; publish it as UTF-8"))]
    Text { source: std::str::Utf8Error },
}

/// A value of the platform's service.
pub(crate) struct Read {
    pub(crate) revision: u64,
    pub(crate) text: String,
}

/// Reads values of the platform's service, each over a new connection.
pub(crate) struct Platform {
    client: Client,
    address: SocketAddr,
}

impl Platform {
    /// Returns a client of the service at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let connector = Connector::default()
            .timeout(Millis::ZERO)
            .keep_alive(Seconds::ZERO)
            .finish();
        let client = Client::build()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .response_payload_timeout(Millis::ZERO)
            .no_default_headers()
            .response_payload_limit(VALUE_MAX_BYTES)
            .finish();
        Self { client, address }
    }

    /// Returns the value above revision `after`, waiting up to `wait_ms` for one.
    pub(crate) async fn read(
        &self,
        kind: Kind,
        after: u64,
        wait_ms: u64,
    ) -> Result<Option<Read>, ReadError> {
        let path = match kind {
            Kind::Configuration => "config",
            Kind::Instances => "instances",
        };
        let address = self.address;
        let url = format!("http://{address}/v1/{path}?after={after}&wait_ms={wait_ms}");
        let sent = self.client.get(url).force_close().no_decompress().send();
        let sent = within(wait_ms + ANSWER_MS, sent).await;
        let sent = sent.unwrap_or(Err(SendRequestError::Timeout));
        let response = sent.map_err(|error| ReadError::Send {
            address,
            reason: error.to_string(),
        })?;
        match response.status() {
            StatusCode::OK => receive(response).await.map(Some),
            StatusCode::NOT_MODIFIED => Ok(None),
            status => StatusSnafu { status }.fail(),
        }
    }
}

async fn receive(mut response: ClientResponse) -> Result<Read, ReadError> {
    let revision = response
        .header(REVISION)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .context(RevisionSnafu)?;
    let body = response.body().limit(VALUE_MAX_BYTES);
    let bytes = within(ANSWER_MS, body).await;
    let bytes = bytes.unwrap_or(Err(PayloadError::Incomplete(None)));
    let bytes = bytes.map_err(|error| ReadError::Body {
        reason: error.to_string(),
    })?;
    let text = std::str::from_utf8(&bytes).context(TextSnafu)?;
    Ok(Read {
        revision,
        text: text.to_owned(),
    })
}
