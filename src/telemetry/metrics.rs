//! Metrics in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Bucket bounds of durations, in seconds.
const SECONDS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// Metrics of one process, each with a bounded set of labels.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by their end: `done`, a refusal's code or `left`.
    pub requests: IntCounterVec,
    /// Attempts handed to targets.
    pub attempts: IntCounter,
    /// Time from arrival to the first byte of an answer, in seconds.
    pub first_token: Histogram,
    /// Requests waiting for a target.
    pub queued: IntGauge,
    /// Catalog revision in force.
    pub revision: IntGauge,
    /// Peers connected.
    pub peers: IntGauge,
    /// Events that went wrong, by kind.
    pub faults: IntCounterVec,
    /// Invariants found broken; each is a defect of this program.
    pub invariants: IntCounter,
    /// Prompt tokens by origin: `cached`, `imported` or `computed`.
    pub tokens: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    /// Never: names are fixed and distinct.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        Self {
            requests: counters(&registry, "requests_total", "Requests by end", "end"),
            attempts: counter(&registry, "attempts_total", "Attempts handed to targets"),
            first_token: histogram(&registry, "first_token_seconds", "Time to first token"),
            queued: gauge(&registry, "queued", "Requests waiting for a target"),
            revision: gauge(&registry, "catalog_revision", "Catalog revision in force"),
            peers: gauge(&registry, "peers", "Peers connected"),
            faults: counters(&registry, "faults_total", "Faults by kind", "kind"),
            invariants: counter(&registry, "invariant_violations_total", "Broken invariants"),
            tokens: counters(&registry, "prompt_tokens_total", "Prompt tokens", "origin"),
            registry,
        }
    }

    /// Renders all metrics.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<C>,
) -> C {
    let made = made.expect("metric names are valid");
    let done = registry.register(Box::new(made.clone()));
    done.expect("metric names are distinct");
    made
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
    let opts = HistogramOpts::new(format!("guavahold_{name}"), help).buckets(SECONDS.to_vec());
    register(registry, Histogram::with_opts(opts))
}
