//! The exchange of a request with the backend server, and what its result says.

use ntex::http::ResponseHead;
use oriolering::Millis;
use oriolering_http::{Bytes, ClientConn, ExchangeError, Response, StatusCode};
use oriolering_platform::HEADERS;

use super::notices::ResponseKind;
use super::{CRASH_CHECK_MS, Gate};
use crate::budgets::CallReservations;
use crate::frame::{Answered, Offer, Outcome};
use crate::notice::Notice;
use crate::suspects::Running;
use crate::{backend_request, headers};

impl Gate {
    /// Runs a request at the backend server; `calls` is the budget reserved for the calls of a
    /// repeat.
    pub(super) async fn exchange(
        &self,
        offer: Offer,
        body: Bytes,
        left: u64,
        calls: Option<CallReservations>,
    ) -> (Outcome, Bytes) {
        let started = self.clock.now();
        self.warm_up.borrow_mut().record_sent(started);
        let Some(request) = backend_request::build(&offer, body, left) else {
            return (Outcome::Unsent, Bytes::new());
        };
        let id = offer.request.as_str();
        let mut conn = match self.connect(id, started).await {
            Ok(conn) => conn,
            Err(e) => {
                self.handle_connect_error(&e);
                return (Outcome::Unsent, Bytes::new());
            }
        };
        let in_flight = self.suspects.track(&offer);
        let _run = self.runs.start(&offer, calls);
        let result = conn.exchange(request, is_response_to(&offer)).await;
        let now = self.clock.now();
        match result {
            Ok(response) => {
                if !id.is_empty() {
                    self.pool.put(now, conn);
                }
                self.handle_response(&offer, response, started)
            }
            Err(e) => self.handle_broken(&offer, &e, in_flight).await,
        }
    }

    /// Returns a connection to the backend server for a request with this identity.
    pub(super) async fn connect(&self, id: &str, now: Millis) -> Result<ClientConn, ExchangeError> {
        // Without an identity, an earlier response that is repeated looks like the one to this
        // request, so it gets a connection of its own.
        match id.is_empty() {
            true => self.pool.connect().await,
            false => self.pool.take(now).await,
        }
    }

    /// Records an exchange that yielded no complete response.
    pub(super) async fn handle_broken(
        &self,
        offer: &Offer,
        e: &ExchangeError,
        in_flight: Running<'_>,
    ) -> (Outcome, Bytes) {
        self.trail.exchange_broke(&offer.request, &e.to_string());
        if e.is_unsent() {
            return (Outcome::Unsent, Bytes::new());
        }
        in_flight.record_broken();
        drop(in_flight);
        // Other nodes must learn of a crash before the ingress may retry the request.
        self.check_for_crash().await;
        (Outcome::Failed, Bytes::new())
    }

    /// Checks whether the backend server has crashed, after an exchange with it broke.
    pub(super) async fn check_for_crash(&self) {
        let mut last_check = self.last_crash_check.lock().await;
        let now = self.clock.now();
        let fresh = last_check.is_some_and(|at| now.since(at) < CRASH_CHECK_MS);
        if self.load().closed || fresh {
            return;
        }
        match self.pool.connect().await {
            Ok(conn) => self.pool.put(now, conn),
            Err(e) => self.handle_connect_error(&e),
        }
        *last_check = Some(now);
    }

    pub(super) fn handle_response(
        &self,
        offer: &Offer,
        response: Response,
        started: Millis,
    ) -> (Outcome, Bytes) {
        let ran_ms = self.clock.now().since(started);
        let percent_before = self.load().work_percent;
        self.apply_load_report(&response.headers);
        let percent_after = self.load().work_percent;
        let unexecuted = response.headers.contains_key(HEADERS.unexecuted);
        let misdirected = is_misdirected(offer, &response);
        let notice = match misdirected {
            // The response is from another backend server.
            true => Notice::default(),
            false if unexecuted => self.apply_notice(&response.headers, ResponseKind::NotRun),
            false => self.apply_notice(&response.headers, ResponseKind::Run),
        };
        if !misdirected {
            self.apply_warm_up(&response.headers, started, ResponseKind::Run);
        }
        if unexecuted || misdirected {
            let status = response.status.as_u16();
            return (Outcome::Unexecuted { status }, Bytes::new());
        }
        let signed = response.headers.contains_key(HEADERS.signature);
        if response.status.is_success() && !signed {
            self.trail
                .exchange_broke(&offer.request, "the answer has no signature");
            return (Outcome::Failed, Bytes::new());
        }
        self.listeners
            .broadcast(self.suspects.record_finish(offer.fingerprint));
        let answered = Answered {
            status: response.status.as_u16(),
            headers: headers::forward_response(&response.headers),
            ran_ms: ran_ms as u32,
            work_percent: percent_before.midpoint(percent_after),
            notice,
        };
        (Outcome::Answered(answered), response.body)
    }
}

/// Returns whether a response says that the request reached another backend server than the one that
/// it names. That one has run the request if it signs the response itself, whatever the status says.
fn is_misdirected(offer: &Offer, response: &Response) -> bool {
    let map = &response.headers;
    let is_own = headers::text(map, HEADERS.server).is_none_or(|id| id == offer.server);
    let has_run = is_own && map.contains_key(HEADERS.signature);
    response.status == StatusCode::MISDIRECTED_REQUEST && !has_run
}

/// Returns whether a head belongs to the response to this request. The response to a request without
/// an identity has none either.
pub(super) fn is_response_to(offer: &Offer) -> impl Fn(&ResponseHead) -> bool {
    let expected_id = (!offer.request.is_empty()).then_some(offer.request.as_str());
    move |head| headers::text(&head.headers, HEADERS.request) == expected_id
}
