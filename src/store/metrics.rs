//! Metrics of a store.

use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics of one store process, each with a bounded set of labels.
#[derive(Debug)]
pub struct StoreMetrics {
    registry: Registry,
    /// Requests by operation and status: `put`, `get`, `head`, `free`, `held`.
    pub requests: IntCounterVec,
    /// Bytes of blocks by direction: `in` or `out`.
    pub bytes: IntCounterVec,
    /// Events that went wrong, by kind.
    pub faults: IntCounterVec,
    /// Invariants found broken; each is a defect of this program.
    pub invariants: IntCounter,
    /// Blocks held.
    pub blocks: IntGauge,
    /// Bytes of blocks on disk.
    pub disk_bytes: IntGauge,
    /// Bytes of blocks in memory.
    pub memory_bytes: IntGauge,
}

impl Default for StoreMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreMetrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    /// Never: names are fixed and distinct.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let requests = counters(
            &registry,
            "requests_total",
            "Requests by operation and status",
            &["operation", "status"],
        );
        Self {
            requests,
            bytes: counters(&registry, "bytes_total", "Bytes of blocks", &["direction"]),
            faults: counters(&registry, "faults_total", "Faults by kind", &["kind"]),
            invariants: counter(&registry, "invariant_violations_total", "Broken invariants"),
            blocks: gauge(&registry, "blocks", "Blocks held"),
            disk_bytes: gauge(&registry, "disk_bytes", "Bytes of blocks on disk"),
            memory_bytes: gauge(&registry, "memory_bytes", "Bytes of blocks in memory"),
            registry,
        }
    }

    /// Renders all metrics in the text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut out = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        encoded.map_or_else(
            |err| format!("# {err}\n"),
            |()| String::from_utf8_lossy(&out).into_owned(),
        )
    }
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("guavahold_store_{name}"), help);
    let metric = IntCounterVec::new(opts, labels).expect("the metric's name is valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("the metric's name is distinct");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let name = format!("guavahold_store_{name}");
    let metric = IntCounter::new(name, help).expect("the metric's name is valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("the metric's name is distinct");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let name = format!("guavahold_store_{name}");
    let metric = IntGauge::new(name, help).expect("the metric's name is valid");
    let registered = registry.register(Box::new(metric.clone()));
    registered.expect("the metric's name is distinct");
    metric
}
