//! The operators' listener: status, explanations, traces, metrics and health.

use std::rc::Rc;

use ntex::http::StatusCode;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;

use crate::status;
use crate::wire::Wire;

/// Serves a request of an operator.
pub(crate) fn serve(wire: &Rc<Wire>, request: &HttpRequest) -> HttpResponse {
    let node = &wire.node;
    match request.path() {
        "/live" => HttpResponse::Ok().body("live\n"),
        "/ready" if node.is_ready() => HttpResponse::Ok().body("ready\n"),
        "/ready" => problem(StatusCode::SERVICE_UNAVAILABLE, "not ready: see /status"),
        "/metrics" => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(node.metrics.scrape()),
        "/status" => json(&status::collect(node)),
        "/explain" => explain(wire, request),
        "/trace" => match parameter(request, "id") {
            Some(id) => json(&node.traces.find(id)),
            None => problem(
                StatusCode::BAD_REQUEST,
                "give the trace: /trace?id=32 hex digits",
            ),
        },
        _ => problem(
            StatusCode::NOT_FOUND,
            "try /status, /explain?service=NAME, /trace?id=ID, /metrics, /live or /ready",
        ),
    }
}

fn explain(wire: &Wire, request: &HttpRequest) -> HttpResponse {
    let Some(name) = parameter(request, "service") else {
        return problem(
            StatusCode::BAD_REQUEST,
            "give the service: /explain?service=NAME",
        );
    };
    match status::explain(&wire.node, name) {
        Some(explanation) => json(&explanation),
        None => problem(
            StatusCode::NOT_FOUND,
            "no such service in the configuration in force",
        ),
    }
}

/// Returns the value of a query parameter; names of services and traces need no decoding.
fn parameter<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    let pairs = request.query_string().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn json(value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(text) => HttpResponse::Ok()
            .content_type("application/json")
            .body(text),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn problem(status: StatusCode, text: &str) -> HttpResponse {
    HttpResponse::build(status).body(format!("{text}\n"))
}
