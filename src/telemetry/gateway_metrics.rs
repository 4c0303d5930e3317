//! Prometheus metrics of a gateway.

use prometheus::{
    Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

use crate::telemetry::ProcessUsage;

use super::metrics::{counter, counters, gauge, gauges, histogram};

/// Metrics of one gateway process; every label has a bounded set of values.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by outcome: `success`, `target-failure` for a target's error response, the code of
    /// a response made by the gateway, `cut-short` for a truncated response or `caller-left` when
    /// the caller disconnected.
    pub requests: IntCounterVec,
    /// Time from a request's arrival to the first byte of its response, in seconds.
    pub first_byte_seconds: Histogram,
    /// Time from a request's arrival to its end, in seconds.
    pub request_seconds: Histogram,
    /// Attempts by outcome: `answered` or the kind of the fault.
    pub attempts: IntCounterVec,
    /// New connections to targets, including failed tries.
    pub connections: IntCounter,
    /// Requests queued for a target.
    pub queued: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Known targets by state, `ready` or `leaving`.
    pub targets: IntGaugeVec,
    /// Targets that warm up.
    pub warming_targets: IntGauge,
    /// Evacuated failure domains that have targets.
    pub evacuated_domains: IntGauge,
    /// Requests withheld from targets of evacuated failure domains just before they were sent.
    pub evacuation_withheld: IntCounter,
    /// Targets of plain services believed to be full, in a large system.
    pub full_targets: IntGauge,
    /// Plain services with a target that is full beside one that is at most half full, in a large
    /// system.
    pub uneven_services: IntGauge,
    /// Peers connected.
    pub peers: IntGauge,
    /// Failed calls to the store, by kind of the watched objects.
    pub store_failures: IntCounterVec,
    /// Objects of the store that could not be read, by kind of the watched objects.
    pub unreadable_objects: IntCounterVec,
    /// Pages of listings, by kind of the watched objects.
    pub listing_pages: IntCounterVec,
    /// Orders to targets by result: `accepted`, `conflict`, `stale` or `unanswered`.
    pub orders: IntCounterVec,
    /// Refused requests of which nothing was sent and that were left out of the log.
    pub unlogged_refusals: IntCounter,
    /// Connections of callers.
    pub caller_connections: IntGauge,
    /// Bytes that callers' requests hold.
    pub caller_bytes: IntGauge,
    /// Connections and requests of callers that were refused, by limit: `connections` or `memory`.
    pub callers_refused: IntCounterVec,
    /// Connections of callers that were evicted, by limit: `connections` or `memory`.
    pub callers_evicted: IntCounterVec,
    /// Resident memory, in bytes.
    pub memory_bytes: IntGauge,
    /// Open descriptors.
    pub descriptors: IntGauge,
    /// Threads.
    pub threads: IntGauge,
    /// Panics by task; each is a bug in this program.
    pub panics: IntCounterVec,
    /// Invariant violations; each is a bug in this program.
    pub invariants: IntCounter,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    /// Never, as names are constant, valid and distinct.
    #[must_use]
    pub fn new() -> Self {
        let r = Registry::new();
        Self {
            requests: counters(&r, "requests_total", "Requests by end", "end"),
            first_byte_seconds: histogram(&r, "first_byte_seconds", "Time to the first byte"),
            request_seconds: histogram(&r, "request_seconds", "Time to the end of a request"),
            attempts: counters(&r, "attempts_total", "Attempts by end", "end"),
            connections: counter(&r, "connections_total", "New connections to targets"),
            queued: gauge(&r, "queued", "Requests waiting for a target"),
            config_version: gauge(&r, "config_version", "Configuration in force"),
            targets: gauges(&r, "targets", "Targets in use by state", "state"),
            warming_targets: gauge(&r, "warming_targets", "Targets that warm up"),
            evacuated_domains: gauge(&r, "evacuated_domains", "Evacuated domains with targets"),
            evacuation_withheld: counter(
                &r,
                "evacuation_withheld_total",
                "Requests withheld from evacuated targets",
            ),
            full_targets: gauge(&r, "full_targets", "Targets believed to be full"),
            uneven_services: gauge(&r, "uneven_services", "Services with uneven load"),
            peers: gauge(&r, "peers", "Peers connected"),
            store_failures: counters(&r, "store_failures_total", "Failed store calls", "kind"),
            unreadable_objects: counters(
                &r,
                "unreadable_objects_total",
                "Objects of the store that could not be read",
                "kind",
            ),
            listing_pages: counters(
                &r,
                "listing_pages_total",
                "Pages of listings of the store",
                "kind",
            ),
            orders: counters(&r, "orders_total", "Orders to targets by end", "end"),
            unlogged_refusals: counter(
                &r,
                "unlogged_refusals_total",
                "Refusals of unsent requests left out of the log",
            ),
            caller_connections: gauge(&r, "caller_connections", "Connections of callers"),
            caller_bytes: gauge(&r, "caller_bytes", "Bytes that callers' requests hold"),
            callers_refused: counters(
                &r,
                "callers_refused_total",
                "Callers refused by limit",
                "limit",
            ),
            callers_evicted: counters(
                &r,
                "callers_evicted_total",
                "Callers evicted by limit",
                "limit",
            ),
            memory_bytes: gauge(&r, "memory_bytes", "Resident memory"),
            descriptors: gauge(&r, "descriptors", "Open descriptors"),
            threads: gauge(&r, "threads", "Threads"),
            panics: counters(&r, "panics_total", "Panics by task", "task"),
            invariants: counter(&r, "invariant_violations_total", "Broken invariants"),
            registry: r,
        }
    }

    /// Records what the process uses; what could not be read stays as it was.
    pub fn record_usage(&self, usage: ProcessUsage) {
        let set = |gauge: &IntGauge, value: Option<u64>| {
            if let Some(value) = value {
                gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            }
        };
        set(&self.memory_bytes, usage.memory_bytes);
        set(&self.descriptors, usage.descriptors);
        set(&self.threads, usage.threads);
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log::warn!("event=metrics_failed error={:?}", err.to_string());
        }
        buf
    }
}
