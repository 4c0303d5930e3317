//! Metrics and log lines about the limits on what callers hold.

use crate::gateway::control::{Control, State};
use crate::intake::{IntakeCounters, LimitCounters};
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
        self.count_caller_limits(&usage, report.counted);
        report.counted = usage.counters;
        let is_due = report.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if usage.counters != report.logged && is_due {
            self.log_caller_limits(&usage, report.logged);
            report.logged = usage.counters;
            report.logged_at = Some(now);
        }
    }

    fn count_caller_limits(&self, usage: &IntakeUsage, counted: IntakeCounters) {
        let metrics = &self.shared.metrics;
        let gauge = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        metrics.caller_connections.set(gauge(usage.connections));
        metrics.caller_bytes.set(gauge(usage.bytes));
        for (limit, added) in added_by_limit(usage.counters, counted) {
            let refused = metrics.callers_refused.with_label_values(&[limit]);
            refused.inc_by(added.refused);
            let evicted = metrics.callers_evicted.with_label_values(&[limit]);
            evicted.inc_by(added.evicted);
        }
    }

    fn log_caller_limits(&self, usage: &IntakeUsage, logged: IntakeCounters) {
        let bounds = self.shared.intake.limits();
        let added = added_by_limit(usage.counters, logged);
        for (limit, added) in added.filter(|(_, added)| *added != LimitCounters::default()) {
            log::warn!(
                "event=caller_limit limit={limit} refused={} evicted={} connections={} \
                 max_connections={} bytes={} max_bytes={}",
                added.refused,
                added.evicted,
                usage.connections,
                bounds.connections,
                usage.bytes,
                bounds.bytes
            );
        }
    }
}

/// What was refused and evicted at each limit since `earlier`.
fn added_by_limit(
    now: IntakeCounters,
    earlier: IntakeCounters,
) -> impl Iterator<Item = (&'static str, LimitCounters)> {
    let limits = now.by_limit().into_iter().zip(earlier.by_limit());
    limits.map(|((limit, now), (_, earlier))| (limit, now.since(earlier)))
}
