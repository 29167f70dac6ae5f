//! Streams the response of the backend server to an ingress.

use std::time::Duration;

use oriolering_http::{BodyReader, Bytes, ClientConn, ExchangeError, Request, Response};
use tokio::time::{Instant, timeout, timeout_at};

use super::Gate;
use super::exchange::is_response_to;
use crate::backend_request;
use crate::budgets::CallReservations;
use crate::frame::{Offer, Outcome, PIECE_BYTES};
use crate::response_sink::ResponseSink;

/// How long the start of a body is collected for the message with the head, in milliseconds, so
/// that a short response that arrives in several parts still takes one message.
const COLLECT_MS: u64 = 5;
/// How long a backend server may send nothing while the rest of its response is read, in
/// milliseconds; the deadline of the request covers only the head and the start of the body.
const SILENCE_MS: u64 = 10_000;

/// A response of which the start has arrived.
struct Opened {
    response: Response,
    body: BodyReader,
}

impl Gate {
    /// Runs a request at the backend server and streams its response to `sink`, unless it is
    /// complete at once. The head and the start of the body must arrive within `limit`.
    pub(super) async fn exchange_streamed(
        &self,
        offer: Offer,
        body: Bytes,
        left: u64,
        calls: Option<CallReservations>,
        limit: Duration,
        sink: &ResponseSink,
    ) -> (Outcome, Bytes) {
        let started = self.clock.now();
        let limit = Instant::now() + limit;
        self.warm_up.borrow_mut().record_sent(started);
        let Some(request) = backend_request::build(&offer, body, left) else {
            return (Outcome::Unsent, Bytes::new());
        };
        let connect = timeout_at(limit, self.connect(&offer.request, started));
        let conn = match connect.await {
            Ok(Ok(conn)) => conn,
            Ok(Err(e)) => {
                self.handle_connect_error(&e);
                return (Outcome::Unsent, Bytes::new());
            }
            Err(_) => return (Outcome::Failed, Bytes::new()),
        };
        let in_flight = self.suspects.track(&offer);
        let _run = self.runs.start(&offer, calls);
        let opened = timeout_at(limit, open(conn, &offer, request)).await;
        let Opened { response, body } = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(e)) => return self.handle_broken(&offer, &e, in_flight).await,
            Err(_) => return (Outcome::Failed, Bytes::new()),
        };
        let (outcome, first) = self.handle_response(&offer, response, started);
        if body.is_complete() || !matches!(outcome, Outcome::Answered(_)) {
            self.reuse(&offer, body);
            return (outcome, first);
        }
        sink.send_head(outcome.clone(), first, body.length(), self.load());
        match self.deliver(body, sink).await {
            Ok(body) => {
                self.reuse(&offer, body);
                (outcome, Bytes::new())
            }
            Err(e) => self.handle_broken(&offer, &e, in_flight).await,
        }
    }

    /// Sends the rest of a response as the ingress takes it, and returns its completed reader.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server does not deliver the whole response.
    async fn deliver(
        &self,
        mut body: BodyReader,
        sink: &ResponseSink,
    ) -> Result<BodyReader, ExchangeError> {
        while !body.is_complete() {
            // A stream must not hold memory while it waits for credit: the credit may depend on
            // the memory of another node, and so in a circle on that of this one.
            sink.use_credit().await;
            let permit = self.stream_budget.acquire().await;
            let silence = Duration::from_millis(SILENCE_MS);
            match timeout(silence, body.next(PIECE_BYTES)).await {
                Ok(Ok(Some(bytes))) => sink.send(bytes, permit),
                Ok(Ok(None)) => break,
                Ok(Err(e)) => return Err(e),
                Err(_) => {
                    let reason = format!("the server sent nothing for {SILENCE_MS} ms");
                    return Err(ExchangeError::Closed { reason });
                }
            }
        }
        Ok(body)
    }

    /// Returns the connection of a completed response to the pool if it can be reused.
    fn reuse(&self, offer: &Offer, body: BodyReader) {
        if !offer.request.is_empty()
            && let Some(conn) = body.into_conn()
        {
            self.pool.put(self.clock.now(), conn);
        }
    }
}

/// Sends a request and reads the head and the start of the body of its response.
async fn open(conn: ClientConn, offer: &Offer, request: Request) -> Result<Opened, ExchangeError> {
    let exchange = conn.exchange_streamed(request, PIECE_BYTES, is_response_to(offer));
    let (mut response, mut body) = exchange.await?;
    if !body.is_complete() {
        response.body = collect_start(&mut body).await?;
    }
    Ok(Opened { response, body })
}

/// Waits for the first bytes of a body, and adds what arrives within [`COLLECT_MS`] after them, up
/// to one segment.
async fn collect_start(body: &mut BodyReader) -> Result<Bytes, ExchangeError> {
    let mut start = match body.next(PIECE_BYTES).await? {
        Some(bytes) => bytes.to_vec(),
        None => return Ok(Bytes::new()),
    };
    let until = Instant::now() + Duration::from_millis(COLLECT_MS);
    while start.len() < PIECE_BYTES && !body.is_complete() {
        match timeout_at(until, body.next(PIECE_BYTES - start.len())).await {
            Ok(Ok(Some(bytes))) => start.extend_from_slice(&bytes),
            Ok(Ok(None)) | Err(_) => break,
            Ok(Err(e)) => return Err(e),
        }
    }
    Ok(Bytes::from(start))
}
