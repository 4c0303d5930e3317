//! Whether a target may be given new work.

use crate::prelude::*;

/// Time after the last announcement that a target is leaving, after which its own load reports may
/// revoke it.
const LEAVING_HOLD_TIME: Duration = Duration::from_mins(5);
/// Consecutive failures that eject a target.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Weight of one exchange in the moving average of failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;
/// Share of failed exchanges that ejects a target, as a moving average.
const EJECT_FAILURE_SHARE: f64 = 0.35;
/// Duration of the first ejection; each further one takes twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);

/// Whether a target takes new work; any single reason against it suffices.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Whether the platform lists it as leaving.
    pub(crate) listed_leaving: bool,
    /// Since when its failure domain is evacuated: it gets no new work, and what it runs goes on.
    pub(crate) evacuated_since: Option<Timestamp>,
    /// Last time that the target itself or a peer announced that it is leaving.
    leaving_reported_at: Option<Timestamp>,
    /// Whether the latest attempt to connect failed.
    pub(crate) unreachable: bool,
    /// When it was found to have ended, if it is unreachable for that.
    pub(crate) ended_at: Option<Timestamp>,
    /// When it was last probed because a request went unanswered or a peer could not reach it.
    pub(crate) checked_at: Option<Timestamp>,
    /// Since when new connections fail.
    pub(crate) unreachable_since: Option<Timestamp>,
    /// When a connection last failed, unless one has succeeded since.
    pub(crate) connection_failed_at: Option<Timestamp>,
    /// Whether a probe is running that decides if it takes new work again.
    pub(crate) awaiting_probe: bool,
    /// Failed connections since the last successful one.
    pub(crate) failed_connections: u32,
    /// Time of the next probe, or of the timeout of the running one.
    pub(crate) probe_at: Option<Timestamp>,
    consecutive_failures: u32,
    failure_share: f64,
    ejections: u32,
    ejected_until: Timestamp,
}

impl Health {
    /// Makes the health of a newly listed target.
    pub(crate) fn new(listed_leaving: bool) -> Self {
        Self {
            listed_leaving,
            ..Self::default()
        }
    }

    /// Whether the target takes new work.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.may_recover() && !self.awaiting_probe && now >= self.ejected_until
    }

    /// Whether the target takes new work or may do so soon: it is neither leaving nor unreachable,
    /// and its failure domain is not evacuated.
    pub(crate) fn may_recover(&self) -> bool {
        self.is_staying() && !self.is_evacuated()
    }

    /// Whether the target is neither leaving nor unreachable.
    pub(crate) fn is_staying(&self) -> bool {
        !self.is_leaving() && !self.unreachable
    }

    /// Whether its failure domain is evacuated.
    pub(crate) fn is_evacuated(&self) -> bool {
        self.evacuated_since.is_some()
    }

    /// Whether the platform, the target or a peer says that it is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving_reported_at.is_some()
    }

    /// Records that the target itself or a peer announced that it is leaving.
    pub(crate) fn set_leaving(&mut self, now: Timestamp) {
        self.leaving_reported_at = Some(now);
    }

    /// Records a load report in which the target is not leaving. Reports lag, so an announcement to
    /// the contrary is revoked only after a long hold time.
    pub(crate) fn record_staying(&mut self, now: Timestamp) {
        if self
            .leaving_reported_at
            .is_some_and(|at| now >= at + LEAVING_HOLD_TIME)
        {
            self.leaving_reported_at = None;
        }
    }

    /// Records that a new connection succeeded; this does not revoke that the target is leaving.
    pub(crate) fn record_reachable(&mut self) {
        self.unreachable = false;
        self.ended_at = None;
        self.unreachable_since = None;
        self.connection_failed_at = None;
        self.awaiting_probe = false;
        self.failed_connections = 0;
    }

    /// Records a successful exchange.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.failure_share *= 1.0 - FAILURE_SAMPLE_WEIGHT;
        if self.failure_share < EJECT_FAILURE_SHARE / 2.0 {
            self.ejections = 0;
        }
    }

    /// Records a failed exchange. Ejects the target if it failed too often and `may_eject` allows
    /// it, and returns the end of the ejection.
    pub(crate) fn record_failure(&mut self, now: Timestamp, may_eject: bool) -> Option<Timestamp> {
        self.consecutive_failures += 1;
        self.failure_share += (1.0 - self.failure_share) * FAILURE_SAMPLE_WEIGHT;
        let often = self.failure_share >= EJECT_FAILURE_SHARE;
        if (self.consecutive_failures < EJECT_AFTER_FAILURES && !often) || !may_eject {
            return None;
        }
        self.consecutive_failures = 0;
        self.failure_share = 0.0;
        let time = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = now + time.min(MAX_EJECTION);
        Some(self.ejected_until)
    }
}
