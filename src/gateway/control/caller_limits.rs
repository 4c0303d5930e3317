//! Metrics and log lines about the limits on what callers hold.

use crate::gateway::control::{Control, State};
use crate::intake::IntakeCounters;
use crate::prelude::*;
use crate::shared_intake::IntakeUsage;

/// Shortest time between two log lines about one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What was reported last about the limits on what callers hold.
#[derive(Debug, Default)]
pub(crate) struct CallerLimitReport {
    counted: IntakeCounters,
    logged: IntakeCounters,
    logged_at: Option<Timestamp>,
}

impl Control {
    /// Updates the metrics of what callers hold, and logs the limits that were reached since.
    pub(super) fn report_caller_limits(&self, now: Timestamp, state: &mut State) {
        let usage = self.shared.intake.usage();
        let report = &mut state.caller_limits;
        self.count_caller_limits(&usage, report);
        report.counted = usage.counters;
        let is_due = report.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if usage.counters == report.logged || !is_due {
            return;
        }
        let bounds = self.shared.intake.limits();
        let (new, old) = (usage.counters, report.logged);
        let limits = [
            (
                "connections",
                new.refused_connections - old.refused_connections,
                new.evicted_for_place - old.evicted_for_place,
            ),
            (
                "memory",
                new.refused_requests - old.refused_requests,
                new.evicted_for_memory - old.evicted_for_memory,
            ),
        ];
        for (limit, refused, evicted) in limits.into_iter().filter(|(_, r, e)| r + e > 0) {
            log::warn!(
                "event=caller_limit limit={limit} refused={refused} evicted={evicted} \
                 connections={} max_connections={} bytes={} max_bytes={}",
                usage.connections,
                bounds.connections,
                usage.bytes,
                bounds.bytes
            );
        }
        report.logged = usage.counters;
        report.logged_at = Some(now);
    }

    fn count_caller_limits(&self, usage: &IntakeUsage, report: &CallerLimitReport) {
        let metrics = &self.shared.metrics;
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.caller_connections.set(gauge(usage.connections));
        metrics.caller_bytes.set(gauge(usage.bytes));
        let (new, old) = (usage.counters, report.counted);
        let refused = &metrics.callers_refused;
        refused
            .with_label_values(&["connections"])
            .inc_by(new.refused_connections - old.refused_connections);
        refused
            .with_label_values(&["memory"])
            .inc_by(new.refused_requests - old.refused_requests);
        let evicted = &metrics.callers_evicted;
        evicted
            .with_label_values(&["connections"])
            .inc_by(new.evicted_for_place - old.evicted_for_place);
        evicted
            .with_label_values(&["memory"])
            .inc_by(new.evicted_for_memory - old.evicted_for_memory);
    }
}
