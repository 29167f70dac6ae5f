//! The numbers of a node as opentelemetry instruments, served as text.
//!
//! Requests count in plain cells ([`Counts`]). The instruments are made at the first scrape and
//! read the cells at each one, so that a node that nobody asks pays nothing for them.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use oriolering_http::{Answer, Bytes, ConnLimits, Request, StatusCode};
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;

use crate::counts::{Counter, Counts, Histogram, LabeledCounters};
use crate::node::Node;

/// The port of the metrics, on the instance's own address; the usual one of opentelemetry's
/// exporter, and outside the ports that the platform gives to nodes.
const METRICS_PORT: u16 = 9_464;
/// The path of the metrics; `deploy/system.toml` names both.
const METRICS_PATH: &str = "/metrics";
/// The path of the recent spans of a trace, which the query names as `id`.
const TRACE_PATH: &str = "/trace";
/// The bounds of connections that ask for metrics.
const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 4_096,
    body_bytes: 1_024,
    header_ms: 3_000,
    idle_ms: 30_000,
    pipelined: 1,
};

/// Serves the metrics until the process ends; a port that is taken costs the metrics alone.
pub(crate) async fn serve(node: Rc<Node>) {
    let address = SocketAddr::new(node.settings.ip, METRICS_PORT);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => return node.trail.accept_failed("metrics", &e),
    };
    let metrics = Rc::new(OnceCell::new());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let (date, asked, metrics) = (node.date.clone(), Rc::clone(&node), Rc::clone(&metrics));
        let handler = move |request: Request| {
            let answer = answer(&asked, &metrics, &request);
            async move { answer }
        };
        tokio::task::spawn_local(async move {
            oriolering_http::serve(stream, date, || LIMITS, || false, |_, _| {}, handler).await;
        });
    }
}

fn answer(node: &Node, metrics: &OnceCell<Metrics>, request: &Request) -> Answer {
    match request.uri.path() {
        METRICS_PATH => {
            let metrics = metrics.get_or_init(|| Metrics::new(&node.trail.counts));
            sample(node);
            content("text/plain; version=0.0.4", metrics.scrape())
        }
        TRACE_PATH => spans(node, request.uri.query().unwrap_or_default()),
        _ => Answer::new(StatusCode::NOT_FOUND),
    }
}

/// Returns the recent spans of the trace that a query names.
fn spans(node: &Node, query: &str) -> Answer {
    let mut fields = query.split('&');
    let Some(trace) = fields.find_map(|field| field.strip_prefix("id=")) else {
        return Answer::new(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&node.trail.spans.find(trace)) {
        Ok(text) => content("application/json", text),
        Err(_) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn content(kind: &str, body: Vec<u8>) -> Answer {
    let mut answer = Answer::new(StatusCode::OK);
    crate::headers::set(&mut answer.headers, "content-type", kind);
    answer.body = Bytes::from(body);
    answer
}

/// Sets the numbers that rise and fall.
fn sample(node: &Node) {
    let counts = &node.trail.counts;
    let load = node.gate.load();
    let peers = node.peers.borrow();
    let up = peers.values().filter(|peer| peer.is_up()).count();
    let list = node.list.borrow();
    counts.active.set(node.active.get() as u64);
    counts.running.set(load.running.into());
    counts.waiting.set(load.waiting.into());
    counts.capacity.set(load.capacity.into());
    counts.work_percent.set(load.work_percent.into());
    counts.peers_up.set(up as u64);
    counts.servers.set(list.servers().count() as u64);
    counts.version.set(node.version());
    counts.list_revision.set(list.revision());
}

/// The instruments, and the registry that a scrape reads.
struct Metrics {
    registry: Registry,
    // The provider must live as long as its instruments.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Panics
    ///
    /// Panics when the exporter cannot be built, which a fresh registry rules out.
    fn new(counts: &Arc<Counts>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_counter_suffixes()
            .without_target_info()
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("oriolering");
        register_ingress(&meter, counts);
        register_gate(&meter, counts);
        register_state(&meter, counts);
        Self {
            registry,
            _provider: provider,
        }
    }

    /// Returns all instruments in the Prometheus text format.
    fn scrape(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only for a family without metrics, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn register_ingress(meter: &Meter, counts: &Arc<Counts>) {
    counter(meter, counts, "requests_total", |c| &c.requests);
    words(meter, counts, "outcomes_total", "outcome", |c| &c.outcomes);
    words(meter, counts, "answers_total", "class", |c| &c.answers);
    counter(meter, counts, "late_answers_total", |c| &c.late);
    words(meter, counts, "attempts_total", "outcome", |c| &c.attempts);
    counter(meter, counts, "second_tries_total", |c| &c.second_tries);
    words(meter, counts, "repeats_total", "kind", |c| &c.repeats);
    durations(meter, counts, "request_ms", |c| &c.request_ms);
    gauge(meter, counts, "requests_active", |c| &c.active);
}

fn register_gate(meter: &Meter, counts: &Arc<Counts>) {
    counter(meter, counts, "gate_admitted_total", |c| &c.admitted);
    counter(meter, counts, "gate_queued_total", |c| &c.queued);
    words(meter, counts, "gate_refusals_total", "why", |c| &c.refusals);
    words(meter, counts, "gate_runs_total", "outcome", |c| &c.runs);
    counter(meter, counts, "gate_dropped_total", |c| &c.dropped);
    counter(meter, counts, "gate_probes_total", |c| &c.probes);
    durations(meter, counts, "gate_wait_ms", |c| &c.wait_ms);
    durations(meter, counts, "gate_run_ms", |c| &c.run_ms);
    gauge(meter, counts, "gate_running", |c| &c.running);
    gauge(meter, counts, "gate_waiting", |c| &c.waiting);
    gauge(meter, counts, "gate_capacity", |c| &c.capacity);
    gauge(meter, counts, "gate_work_percent", |c| &c.work_percent);
}

fn register_state(meter: &Meter, counts: &Arc<Counts>) {
    words(meter, counts, "zone_bytes_total", "kind", |c| &c.zone_bytes);
    words(meter, counts, "store_calls_total", "cause", |c| {
        &c.store_calls
    });
    words(meter, counts, "changes_total", "change", |c| &c.changes);
    counter(meter, counts, "lines_dropped_total", |c| &c.lines_dropped);
    counter(meter, counts, "spans_total", |c| &c.spans);
    counter(meter, counts, "spans_dropped_total", |c| &c.spans_dropped);
    gauge(meter, counts, "peers_up", |c| &c.peers_up);
    gauge(meter, counts, "servers_listed", |c| &c.servers);
    gauge(meter, counts, "routes_version", |c| &c.version);
    gauge(meter, counts, "list_revision", |c| &c.list_revision);
}

fn counter(meter: &Meter, counts: &Arc<Counts>, name: &'static str, of: fn(&Counts) -> &Counter) {
    let counts = Arc::clone(counts);
    let instrument = meter.u64_observable_counter(name);
    instrument
        .with_callback(move |observer| observer.observe(of(&counts).get(), &[]))
        .build();
}

fn gauge(meter: &Meter, counts: &Arc<Counts>, name: &'static str, of: fn(&Counts) -> &Counter) {
    let counts = Arc::clone(counts);
    let instrument = meter.u64_observable_gauge(name);
    instrument
        .with_callback(move |observer| observer.observe(of(&counts).get(), &[]))
        .build();
}

/// Registers a counter with one number for each word.
fn words<const N: usize>(
    meter: &Meter,
    counts: &Arc<Counts>,
    name: &'static str,
    label: &'static str,
    of: fn(&Counts) -> &LabeledCounters<N>,
) {
    let counts = Arc::clone(counts);
    let instrument = meter.u64_observable_counter(name);
    instrument
        .with_callback(move |observer| {
            for (word, number) in of(&counts).iter() {
                observer.observe(number, &[KeyValue::new(label, word)]);
            }
        })
        .build();
}

/// Registers a histogram as the three counters that the text format makes of one: the cells
/// hold sums, which opentelemetry's own histograms do not take.
fn durations(
    meter: &Meter,
    counts: &Arc<Counts>,
    name: &'static str,
    of: fn(&Counts) -> &Histogram,
) {
    let cells = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_bucket"))
        .with_callback(move |observer| {
            let cells = of(&cells);
            for (bound, number) in cells.cumulative() {
                observer.observe(number, &[KeyValue::new("le", bound.to_string())]);
            }
            observer.observe(cells.number(), &[KeyValue::new("le", "+Inf")]);
        })
        .build();
    let cells = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_sum"))
        .with_callback(move |observer| observer.observe(of(&cells).sum(), &[]))
        .build();
    let cells = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_count"))
        .with_callback(move |observer| observer.observe(of(&cells).number(), &[]))
        .build();
}
