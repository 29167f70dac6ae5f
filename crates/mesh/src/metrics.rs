//! The metrics of a node as OpenTelemetry instruments, served in the Prometheus text format.
//!
//! Requests only increment the counters in [`Counts`]. The instruments are created at the first
//! scrape and read the counters at each scrape, so that they cost nothing on a node that is never
//! scraped.

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

/// The port of the metrics, on the instance's own address. It is the default port of the
/// OpenTelemetry exporter, and outside the range of ports that the platform assigns to nodes.
const METRICS_PORT: u16 = 9_464;
/// The path of the metrics; `deploy/system.toml` names both.
const METRICS_PATH: &str = "/metrics";
/// The path of the recent spans of a trace; the query has the trace ID as `id`.
const TRACE_PATH: &str = "/trace";
/// The limits of connections to the metrics port.
const LIMITS: ConnLimits = ConnLimits {
    header_bytes: 4_096,
    body_bytes: 1_024,
    header_ms: 3_000,
    idle_ms: 30_000,
    pipelined: 1,
};

/// Serves the metrics until the process ends. If the port is taken, the node runs without them.
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
        let (date, served, metrics) = (node.date.clone(), Rc::clone(&node), Rc::clone(&metrics));
        let handler = move |request: Request| {
            let answer = answer(&served, &metrics, &request);
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
            update_gauges(node);
            ok_answer("text/plain; version=0.0.4", metrics.scrape())
        }
        TRACE_PATH => spans_answer(node, request.uri.query().unwrap_or_default()),
        _ => Answer::new(StatusCode::NOT_FOUND),
    }
}

/// Returns the recent spans of the trace whose ID is in the query.
fn spans_answer(node: &Node, query: &str) -> Answer {
    let mut fields = query.split('&');
    let Some(trace) = fields.find_map(|field| field.strip_prefix("id=")) else {
        return Answer::new(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&node.trail.spans.find(trace)) {
        Ok(text) => ok_answer("application/json", text),
        Err(_) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn ok_answer(content_type: &str, body: Vec<u8>) -> Answer {
    let mut answer = Answer::new(StatusCode::OK);
    crate::headers::set(&mut answer.headers, "content-type", content_type);
    answer.body = Bytes::from(body);
    answer
}

/// Sets the gauges to their current values.
fn update_gauges(node: &Node) {
    let counts = &node.trail.counts;
    let load = node.gate.load();
    let peers = node.peers.borrow();
    let up = peers.values().filter(|peer| peer.is_up()).count();
    let list = node.list.borrow();
    counts.held_bytes.set(node.budget.used() as u64);
    counts.memory_rejections.set(node.budget.rejected());
    counts.active.set(node.active.get() as u64);
    let stream_bytes = node.stream_budget.held_bytes() + node.gate.stream_bytes();
    counts.stream_bytes.set(stream_bytes as u64);
    counts.running.set(load.running.into());
    counts.waiting.set(load.waiting.into());
    counts.capacity.set(load.capacity.into());
    counts.work_percent.set(load.work_percent.into());
    counts.peers_up.set(up as u64);
    counts.servers.set(list.servers().count() as u64);
    counts.version.set(node.version());
    counts.list_revision.set(list.position().revision);
    counts.store_era.set(list.position().era);
}

/// The instruments and the registry that a scrape reads.
struct Metrics {
    registry: Registry,
    // The provider must live as long as its instruments.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates and registers the instruments.
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
    words(meter, counts, "streams_total", "end", |c| &c.streams);
    gauge(meter, counts, "stream_bytes", |c| &c.stream_bytes);
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
    counter(meter, counts, "memory_rejections_total", |c| {
        &c.memory_rejections
    });
    gauge(meter, counts, "held_bytes", |c| &c.held_bytes);
    counter(meter, counts, "lines_dropped_total", |c| &c.lines_dropped);
    counter(meter, counts, "spans_total", |c| &c.spans);
    counter(meter, counts, "spans_dropped_total", |c| &c.spans_dropped);
    gauge(meter, counts, "peers_up", |c| &c.peers_up);
    gauge(meter, counts, "servers_listed", |c| &c.servers);
    gauge(meter, counts, "routes_version", |c| &c.version);
    gauge(meter, counts, "list_revision", |c| &c.list_revision);
    gauge(meter, counts, "store_era", |c| &c.store_era);
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

/// Registers a counter with a label.
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
            for (value, count) in of(&counts).iter() {
                observer.observe(count, &[KeyValue::new(label, value)]);
            }
        })
        .build();
}

/// Registers a histogram as the three counters that it consists of in the text format.
/// OpenTelemetry's own histograms take single values only, not the sums that are kept here.
fn durations(
    meter: &Meter,
    counts: &Arc<Counts>,
    name: &'static str,
    of: fn(&Counts) -> &Histogram,
) {
    let values = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_bucket"))
        .with_callback(move |observer| {
            let histogram = of(&values);
            for (bound, count) in histogram.cumulative() {
                observer.observe(count, &[KeyValue::new("le", bound.to_string())]);
            }
            observer.observe(histogram.count(), &[KeyValue::new("le", "+Inf")]);
        })
        .build();
    let values = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_sum"))
        .with_callback(move |observer| observer.observe(of(&values).sum(), &[]))
        .build();
    let values = Arc::clone(counts);
    meter
        .u64_observable_counter(format!("{name}_count"))
        .with_callback(move |observer| observer.observe(of(&values).count(), &[]))
        .build();
}
