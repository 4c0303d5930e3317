//! Metrics and log lines about unevenly loaded targets.

use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::scheduler::LoadSpread;
use crate::telemetry::LogValue;

/// Shortest time between two log lines, which name the most uneven service.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Control {
    /// Updates the metrics of plain services whose load is known late, and logs the most uneven one.
    pub(super) fn report_load_spread(&self, now: Timestamp, state: &mut State) {
        let spreads = self.shared.scheduler.load_spreads();
        let uneven = spreads.iter().filter(|spread| spread.is_uneven());
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let metrics = &self.shared.metrics;
        metrics.uneven_services.set(count(uneven.clone().count()));
        let full = spreads.iter().map(|spread| spread.full).sum();
        metrics.full_targets.set(count(full));
        let difference = |spread: &LoadSpread| spread.most - spread.least;
        let worst = uneven.max_by(|a, b| difference(a).total_cmp(&difference(b)));
        let is_due = state
            .spread_logged_at
            .is_none_or(|at| now >= at + LOG_INTERVAL);
        if let Some(worst) = worst.filter(|_| is_due) {
            state.spread_logged_at = Some(now);
            log::info!(
                "event=load_uneven service={} targets={} full={} least={:.2} mean={:.2} most={:.2} moved={:.2}",
                LogValue(&worst.serves),
                worst.targets,
                worst.full,
                worst.least,
                worst.mean,
                worst.most,
                worst.moved
            );
        }
    }
}
