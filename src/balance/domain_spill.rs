//! Share of the requests that a chooser sends beyond its own failure domain.

use crate::prelude::*;

/// Share of the requests that is moved within a second while the own domain has all of the load.
/// Choosers see up to a second later what they moved; faster ones would move too much and back.
const MOVED_PER_SECOND: f64 = 0.5;
/// Shortest time between two updates, since each looks at all targets.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which one observation of the load counts.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Share of the requests that a chooser sends beyond its own failure domain: it grows while the own
/// domain is more utilized than all are, and shrinks while it is less.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainSpill {
    share: f64,
    updated_at: Option<Timestamp>,
}

impl DomainSpill {
    /// Whether enough time has passed since the last update.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        self.updated_at.is_none_or(|at| now >= at + UPDATE_INTERVAL)
    }

    /// Takes the utilization of the own domain and of all domains into account, and returns the
    /// share.
    pub fn update(&mut self, now: Timestamp, own: f64, all: f64) -> f64 {
        let since = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.updated_at = Some(now);
        let excess = (own - all) / own.max(all).max(f64::EPSILON);
        let step = since.min(MAX_STEP).as_secs_f64() * MOVED_PER_SECOND;
        self.share = (self.share + step * excess).clamp(0.0, 1.0);
        self.share
    }

    /// The share as last updated.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }
}
