//! Accepts requests from callers, and from the local backend server to other services.

use std::rc::Rc;

use oriolering::Route;
use oriolering_http::{Answer, ConnLimits, Request, StatusCode, header};
use oriolering_platform::{HEADERS, parse_deadline, parse_parent};
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::RequestJob;
use crate::{dispatch, fingerprint, headers};

use crate::node::Node;
use crate::trail::{AttemptTotals, IngressRecord};

/// The most requests of one connection that run at once.
const MAX_PIPELINED: usize = 64;
/// The connection limits while no routes are known: those of the platform's examples.
const DEFAULT_LIMITS: ConnLimits = ConnLimits {
    header_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    header_ms: 3_000,
    idle_ms: 15_000,
    pipelined: MAX_PIPELINED,
};
/// The retry time while the node is stopping, in milliseconds.
const STOPPING_RETRY_AFTER_MS: u64 = 100;
/// The retry time while no routes are known, in milliseconds.
const UNREADY_RETRY_AFTER_MS: u64 = 250;

/// Accepts connections from callers until the process ends.
pub(crate) async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                node.trail.accept_failed("callers", &e);
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            node.trail.accept_failed("callers", &e);
            continue;
        }
        let (limits, stopping, handler) = (Rc::clone(&node), Rc::clone(&node), Rc::clone(&node));
        let (date, trail) = (node.date.clone(), Rc::clone(&node.trail));
        let budget = Rc::clone(&node.budget);
        tokio::task::spawn_local(async move {
            let handler = move |request| handle(Rc::clone(&handler), request);
            let stopping = move || stopping.stopping.get();
            let limits = move || conn_limits(&limits);
            let on_cut = move |request: &Request, bytes| trail.body_cut(request, bytes);
            oriolering_http::serve_within(budget, stream, date, limits, stopping, on_cut, handler)
                .await;
        });
    }
}

fn conn_limits(node: &Node) -> ConnLimits {
    let Some(published) = node.routes() else {
        return DEFAULT_LIMITS;
    };
    let limits = published.table.limits();
    ConnLimits {
        header_bytes: limits.header_bytes as usize,
        body_bytes: limits.body_bytes as usize,
        header_ms: limits.header_ms,
        idle_ms: limits.idle_ms,
        pipelined: MAX_PIPELINED,
    }
}

/// Counts a request as active until it is dropped, which is when its answer is written.
struct ActiveGuard(Rc<Node>);

impl ActiveGuard {
    fn new(node: &Rc<Node>) -> Self {
        node.active.set(node.active.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Answers one request.
async fn handle(node: Rc<Node>, request: Request) -> Answer {
    let active = ActiveGuard::new(&node);
    let id = headers::text(&request.headers, HEADERS.request).map(compact_str::CompactString::from);
    let mut answer = match prepare(&node, &request) {
        Ok(job) => dispatch::dispatch(node, job).await,
        Err(answer) => *answer,
    };
    if let Some(id) = id
        && !answer.headers.contains_key(HEADERS.request)
    {
        headers::set(&mut answer.headers, HEADERS.request, &id);
    }
    answer.held = Some(Box::new(active));
    answer
}

/// Finds the route of a request and the part of its traffic split, and prepares its dispatch.
///
/// # Errors
///
/// Returns the answer for a request that cannot be dispatched.
fn prepare(node: &Rc<Node>, request: &Request) -> Result<RequestJob, Box<Answer>> {
    let id = headers::text(&request.headers, HEADERS.request).unwrap_or_default();
    let now = node.now();
    let record = IngressRecord::new(&node.trail, id, now);
    let Some(published) = node.usable_routes() else {
        record.unready();
        let answer = dispatch::unavailable(UNREADY_RETRY_AFTER_MS);
        record.answered(&answer);
        return Err(Box::new(answer));
    };
    let map = &request.headers;
    let host = headers::text(map, header::HOST.as_str())
        .or_else(|| request.uri.host())
        .unwrap_or_default();
    let Some((_, route)) = published.table.find(host, request.uri.path()) else {
        record.unrouted(host, request.uri.path(), published.table.version());
        let answer = Answer::new(StatusCode::NOT_FOUND);
        record.answered(&answer);
        return Err(Box::new(answer));
    };
    let part = node.splitter.borrow_mut().choose(route, &mut rand::rng());
    let requested = headers::text(map, HEADERS.deadline).and_then(parse_deadline);
    let limit = requested.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let stop = node.shutdown.get();
    // A call ends with its run, which the node has accepted before.
    let is_call = parse_parent(id).is_some_and(|parent| node.gate.runs.contains(parent));
    if stop.is_some_and(|stop| !is_call && stop.refuses(now, limit)) {
        record.given_up("the node is about to end", AttemptTotals::default(), limit);
        let answer = dispatch::unavailable(STOPPING_RETRY_AFTER_MS);
        record.answered(&answer);
        return Err(Box::new(answer));
    }
    let route = Rc::new(Route::clone(route));
    let routes = (published.table.version(), now.since(published.since));
    let mut headers = headers::forward_request(map);
    record.trace(&mut headers);
    record.routed(&route, part, routes, request.body.len());
    let service = &route.parts[part].service;
    let caller = node.service.borrow().clone();
    let hold = parse_parent(id).and_then(|parent| node.gate.runs.record_call(parent, service));
    Ok(RequestJob {
        record,
        request: id.into(),
        fingerprint: fingerprint::hash_request(service, &caller, request),
        caller,
        service: service.clone(),
        route_hash: xxh3_64(route.name.as_bytes()),
        route,
        arrived: now,
        deadline: stop.map_or(now + limit, |stop| stop.limit_deadline(now + limit)),
        method: request.method.as_str().into(),
        target: target(request),
        headers,
        body: request.body.clone(),
        hold,
    })
}

/// Returns the path and query exactly as received.
fn target(request: &Request) -> String {
    let target = request.uri.path_and_query().map(|t| t.as_str());
    target.unwrap_or("/").to_owned()
}
