//! Requests of callers, and of the local backend server to other services.

use std::cell::Cell;
use std::rc::Rc;

use oriolering::Route;
use oriolering_http::{Answer, ConnLimits, Request, StatusCode, header};
use oriolering_platform::{HEADERS, parse_deadline, parse_parent};
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempt::Job;
use crate::dispatch;
use crate::fingerprint;
use crate::headers;
use crate::node::Node;
use crate::trail::{Standing, Story};

/// The most requests of one connection that run at once.
const PIPELINED: usize = 64;
/// The bounds on callers while no routes are known: those of the platform's examples.
const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 16 * 1024,
    body_bytes: 64 * 1024 * 1024,
    header_ms: 3_000,
    idle_ms: 15_000,
    pipelined: PIPELINED,
};
/// When to come back to the instance of a node that ends, in milliseconds.
const STOPPED_BACK_MS: u64 = 100;
/// When to come back while no routes are known, in milliseconds.
const UNREADY_BACK_MS: u64 = 250;

/// Accepts callers' connections until the process ends.
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
        let (limits, closing, handler) = (Rc::clone(&node), Rc::clone(&node), Rc::clone(&node));
        let (date, trail) = (node.date.clone(), Rc::clone(&node.trail));
        tokio::task::spawn_local(async move {
            let handler = move |request| handle(Rc::clone(&handler), request);
            let closing = move || closing.stopping.get();
            let limits = move || limits_of(&limits);
            let cut = move |request: &Request, bytes| trail.body_cut(request, bytes);
            oriolering_http::serve(stream, date, limits, closing, cut, handler).await;
        });
    }
}

fn limits_of(node: &Node) -> ConnLimits {
    let Some(published) = node.routes() else {
        return LIMITS;
    };
    let limits = published.table.limits();
    ConnLimits {
        header_bytes: limits.header_bytes as usize,
        body_bytes: limits.body_bytes as usize,
        header_ms: limits.header_ms,
        idle_ms: limits.idle_ms,
        pipelined: PIPELINED,
    }
}

/// A request that runs, counted until it is dropped.
struct Active<'a>(&'a Cell<usize>);

impl<'a> Active<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Answers one request.
async fn handle(node: Rc<Node>, request: Request) -> Answer {
    let counted = Rc::clone(&node);
    let _active = Active::new(&counted.active);
    let id = headers::text(&request.headers, HEADERS.request).map(compact_str::CompactString::from);
    let mut answer = match plan(&node, &request) {
        Ok(job) => dispatch::dispatch(node, job).await,
        Err(answer) => answer,
    };
    if let Some(id) = id
        && !answer.headers.contains_key(HEADERS.request)
    {
        headers::set(&mut answer.headers, HEADERS.request, &id);
    }
    answer
}

/// Finds the route of a request and the part of it that takes it.
fn plan(node: &Rc<Node>, request: &Request) -> Result<Job, Answer> {
    let id = headers::text(&request.headers, HEADERS.request).unwrap_or_default();
    let now = node.now();
    let story = Story::new(&node.trail, id, now);
    let Some(published) = node.usable_routes() else {
        story.unready();
        let answer = dispatch::unavailable(UNREADY_BACK_MS);
        story.answered(&answer);
        return Err(answer);
    };
    let map = &request.headers;
    let host = headers::text(map, header::HOST.as_str())
        .or_else(|| request.uri.host())
        .unwrap_or_default();
    let Some((_, route)) = published.table.find(host, request.uri.path()) else {
        story.unrouted(host, request.uri.path(), published.table.version());
        let answer = Answer::new(StatusCode::NOT_FOUND);
        story.answered(&answer);
        return Err(answer);
    };
    let part = node.splitter.borrow_mut().choose(route, &mut rand::rng());
    let waits = headers::text(map, HEADERS.deadline).and_then(parse_deadline);
    let limit = waits.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    if node.stop.get().is_some_and(|stop| stop.refuses(now, limit)) {
        story.given_up("the node is about to end", Standing::default(), limit);
        let answer = dispatch::unavailable(STOPPED_BACK_MS);
        story.answered(&answer);
        return Err(answer);
    }
    let route = Rc::new(Route::clone(route));
    let routes = (published.table.version(), now.since(published.since));
    let mut headers = headers::of_request(map);
    story.trace(&mut headers);
    story.routed(&route, part, routes, request.body.len());
    let service = &route.parts[part].service;
    let hold = parse_parent(id).and_then(|parent| node.gate.runs.call(parent, service));
    Ok(Job {
        story,
        request: id.into(),
        fingerprint: fingerprint::of(service, &node.settings.backend.service, request),
        service: service.clone(),
        route_hash: xxh3_64(route.name.as_bytes()),
        route,
        arrived: now,
        deadline: now + limit,
        method: request.method.as_str().into(),
        target: target(request),
        headers,
        body: request.body.clone(),
        hold,
    })
}

/// Returns the path and query as they were sent.
fn target(request: &Request) -> String {
    let target = request.uri.path_and_query().map(|t| t.as_str());
    target.unwrap_or("/").to_owned()
}
