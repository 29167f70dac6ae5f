//! The calls to the platform's store, and the era of its answers.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::ResponseHead;
use oriolering_http::{Bytes, ClientConn, HeaderMap, Method, Request, Uri};
use oriolering_platform::{Answer, STORE_ERA, StoreError, parse_era};
use snafu::{ResultExt, ensure};
use tokio::time::timeout;

use crate::node::Node;
use crate::store_read_error::{
    ExchangeSnafu, OutdatedSnafu, PathSnafu, SilentSnafu, StoreReadError, StoreSnafu,
};
use crate::trail::{Event, clip};

/// The timeout for connecting to the store, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// A connection to the store.
pub(crate) struct StoreClient {
    node: Rc<Node>,
    conn: Option<ClientConn>,
    /// Whether an answer without an era that can be read was logged.
    era_rejected: bool,
}

impl StoreClient {
    /// Returns a client that is not connected yet.
    pub(crate) fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            conn: None,
            era_rejected: false,
        }
    }

    /// Closes the connection; the next call opens another one.
    pub(crate) fn disconnect(&mut self) {
        self.conn = None;
    }

    /// Calls the store and decodes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no valid answer in time, or one of an earlier era.
    pub(crate) async fn call<T>(
        &mut self,
        cause: &'static str,
        path: &str,
        timeout_ms: u64,
        scan: fn(Answer<'_>) -> Result<T, StoreError>,
    ) -> Result<T, StoreReadError> {
        self.node.trail.counts.store_calls.add(cause);
        let exchange = self.exchange(path);
        let result = timeout(Duration::from_millis(timeout_ms), exchange).await;
        let response = match result {
            Ok(response) => response?,
            Err(_) => return SilentSnafu { ms: timeout_ms }.fail(),
        };
        let retry_after = crate::headers::text(&response.headers, "retry-after");
        let answer = Answer {
            status: response.status.as_u16(),
            retry_after,
            era: self.check_era(&response.headers)?,
            body: &response.body,
        };
        scan(answer).context(StoreSnafu)
    }

    /// Returns the era of an answer, and records it.
    ///
    /// # Errors
    ///
    /// Returns an error when a later era is known.
    fn check_era(&mut self, headers: &HeaderMap) -> Result<u64, StoreReadError> {
        let text = crate::headers::text(headers, STORE_ERA);
        let era = match text.and_then(parse_era) {
            Some(era) => era,
            None => {
                self.note_rejected_era(text.unwrap_or_default());
                0
            }
        };
        let known = self.node.store_era();
        ensure!(era >= known, OutdatedSnafu { era, known });
        self.node.seen_era.set(era);
        Ok(era)
    }

    /// Logs the first answer without an era that can be read.
    fn note_rejected_era(&mut self, text: &str) {
        if !self.era_rejected {
            self.era_rejected = true;
            let era = clip(text);
            self.node.trail.note(Event::StoreEraRejected { era });
        }
    }

    async fn exchange(&mut self, path: &str) -> Result<oriolering_http::Response, StoreReadError> {
        let address = self.node.settings.store.address;
        let Ok(uri) = Uri::try_from(path) else {
            return PathSnafu { path }.fail();
        };
        let mut headers = HeaderMap::new();
        crate::headers::set(&mut headers, "host", &address.to_string());
        let request = Request {
            method: Method::GET,
            uri,
            headers,
            body: Bytes::new(),
        };
        let idle = self.conn.take();
        let reusable = idle.and_then(|mut conn| conn.is_reusable().then_some(conn));
        let mut conn = match reusable {
            Some(conn) => conn,
            None => {
                let date = self.node.date.clone();
                let conn = ClientConn::connect(address, date, CONNECT_MS).await;
                conn.context(ExchangeSnafu)?
            }
        };
        let any = |_: &ResponseHead| true;
        let response = conn.exchange(request, any).await.context(ExchangeSnafu)?;
        self.conn = Some(conn);
        Ok(response)
    }
}
