//! Counters of the node, as opentelemetry instruments read by a scrape.

use std::collections::BTreeMap;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use oriolering::{Cause, Outcome};
use prometheus::proto::{Metric, MetricType};
use prometheus::{Encoder, Registry, TextEncoder};

/// A counter whose value can also be read for the status page.
pub(crate) type Count = Counter<u64>;

/// The label that the exporter adds to every metric.
const SCOPE_LABEL: &str = "otel_scope_name";

/// Returns the name of a metric with the values of its labels in braces.
fn label(name: &str, metric: &Metric) -> String {
    let labels = metric
        .get_label()
        .iter()
        .filter(|pair| pair.name() != SCOPE_LABEL);
    let values: Vec<&str> = labels.map(|pair| pair.value()).collect();
    match values.is_empty() {
        true => name.to_owned(),
        false => format!("{name}{{{}}}", values.join(",")),
    }
}

/// All instruments of a node.
pub(crate) struct Metrics {
    registry: Registry,
    // The provider must live as long as its instruments.
    _provider: SdkMeterProvider,
    /// Calls that entered at this node.
    pub(crate) calls: Count,
    /// Attempts sent to gates.
    pub(crate) attempts: Count,
    /// Attempts after the first of a call.
    pub(crate) retries: Count,
    /// Second attempts of calls that were slow.
    pub(crate) hedges: Count,
    /// Inquiries about attempts whose connection was silent.
    pub(crate) inquiries: Count,
    /// Answers collected over a new connection.
    pub(crate) collected: Count,
    /// Answers that ended early.
    pub(crate) cuts: Count,
    /// Deaths of the local backend server.
    pub(crate) backend_deaths: Count,
    /// Time from the head of a call to the head of its answer, in milliseconds.
    pub(crate) call_ms: Histogram<f64>,
    /// Polls of the local backend server's health endpoint.
    pub(crate) polls: Count,
    /// Polls left out because the measuring budget did not allow them.
    pub(crate) polls_skipped: Count,
    /// Requests to the gate from addresses that are not in the platform's list.
    pub(crate) strangers: Count,
    outcomes: Count,
    refusals: Count,
}

impl Metrics {
    /// Registers the instruments.
    ///
    /// # Panics
    ///
    /// Panics when the exporter cannot be built, which a fresh registry rules out.
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("oriolering");
        let count = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        Self {
            calls: count("calls", "Calls that entered at this node"),
            attempts: count("attempts", "Attempts sent to gates"),
            retries: count("retries", "Attempts after the first of a call"),
            hedges: count("hedges", "Second attempts of slow calls"),
            inquiries: count(
                "inquiries",
                "Inquiries about attempts on silent connections",
            ),
            collected: count("collected", "Answers collected over a new connection"),
            cuts: count("cuts", "Answers that ended early"),
            backend_deaths: count("backend_deaths", "Deaths of the local backend server"),
            polls: count("polls", "Polls of the local health endpoint"),
            polls_skipped: count("polls_skipped", "Polls that the budget did not allow"),
            strangers: count("strangers", "Requests to the gate from unlisted addresses"),
            outcomes: count("outcomes", "Calls without an answer, by outcome and reason"),
            refusals: count("refusals", "Refusals of this gate, by reason"),
            call_ms: meter
                .f64_histogram("call_ms")
                .with_description("Time to the head of the answer, in milliseconds")
                .with_boundaries(vec![
                    0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0,
                    2_000.0,
                ])
                .build(),
            _provider: provider,
            registry,
        }
    }

    /// Counts a call that got an outcome in place of an answer.
    pub(crate) fn outcome(&self, outcome: Outcome, cause: Cause) {
        let labels = [
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("reason", cause.as_str()),
        ];
        self.outcomes.add(1, &labels);
    }

    /// Counts a refusal of this gate.
    pub(crate) fn refused(&self, cause: Cause) {
        self.refusals
            .add(1, &[KeyValue::new("reason", cause.as_str())]);
    }

    /// Returns the counters by name and labels.
    pub(crate) fn counters(&self) -> BTreeMap<String, u64> {
        let families = self.registry.gather();
        let counters = families
            .iter()
            .filter(|f| f.get_field_type() == MetricType::COUNTER);
        let pairs = counters.flat_map(|family| {
            let metrics = family.get_metric().iter();
            metrics.map(|metric| {
                (
                    label(family.name(), metric),
                    metric.get_counter().get_value() as u64,
                )
            })
        });
        pairs.collect()
    }

    /// Returns all instruments in the Prometheus text format.
    pub(crate) fn scrape(&self) -> String {
        let mut text = Vec::new();
        // Writing to memory fails only for a family without metrics, which is then left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}
