//! Prometheus metrics of an entry.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Metrics of one entry process; every label has a bounded set of values.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests by outcome: `done`, the code of a refusal, `cut-short` for a truncated stream or
    /// `left` when the caller disconnected.
    pub requests: IntCounterVec,
    /// Attempts dispatched to targets.
    pub attempts: IntCounter,
    /// Time from arrival to the first byte of a response, in seconds.
    pub first_token_seconds: Histogram,
    /// Requests queued for a target.
    pub queued: IntGauge,
    /// Catalog revision in force.
    pub revision: IntGauge,
    /// Peers connected.
    pub peers: IntGauge,
    /// Faults of connections to peers by kind.
    pub faults: IntCounterVec,
    /// Panics by task; each is a bug in this program.
    pub panics: IntCounterVec,
    /// Invariant violations; each is a bug in this program.
    pub invariants: IntCounter,
    /// Prompt tokens by origin: `cached` at the engine, `imported` into its cache or `computed`.
    pub tokens: IntCounterVec,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Never, as names are constant, valid and distinct.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counters(&registry, "requests_total", "Requests by end", "end"),
            attempts: counter(&registry, "attempts_total", "Attempts handed to targets"),
            first_token_seconds: histogram(&registry, "first_token_seconds", "Time to first token"),
            queued: gauge(&registry, "queued", "Requests waiting for a target"),
            revision: gauge(&registry, "catalog_revision", "Catalog revision in force"),
            peers: gauge(&registry, "peers", "Peers connected"),
            faults: counters(&registry, "faults_total", "Faults by kind", "kind"),
            panics: counters(&registry, "panics_total", "Panics by task", "task"),
            invariants: counter(&registry, "invariant_violations_total", "Broken invariants"),
            tokens: counters(&registry, "prompt_tokens_total", "Prompt tokens", "origin"),
            registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    created: prometheus::Result<C>,
) -> C {
    let collector = created.expect("metric names are valid");
    let registered = registry.register(Box::new(collector.clone()));
    registered.expect("metric names are distinct");
    collector
}

pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(format!("guavahold_{name}"), help))
}

pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(format!("guavahold_{name}"), help))
}

pub(super) fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let opts = Opts::new(format!("guavahold_{name}"), help);
    register(registry, IntGaugeVec::new(opts, &[label]))
}

pub(super) fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let opts = Opts::new(format!("guavahold_{name}"), help);
    register(registry, IntCounterVec::new(opts, &[label]))
}

pub(super) fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(format!("guavahold_{name}"), help)
        .buckets(DURATION_BUCKETS_SECONDS.to_vec());
    register(registry, Histogram::with_opts(opts))
}
