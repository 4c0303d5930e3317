//! Whether a target may be given new work.

use crate::prelude::*;

/// Time after the last word that a target is leaving until its own reports may take it back.
const LEAVING_HOLD: Duration = Duration::from_mins(5);
/// Failures in a row that eject a target.
const EJECT_AFTER: u32 = 5;
/// Weight of one exchange in the share of failed ones.
const FAILED_WEIGHT: f64 = 0.1;
/// Share of failed exchanges that ejects a target.
const FAILED_SHARE: f64 = 0.35;
/// Time of the first ejection.
const EJECT: Duration = Duration::from_secs(5);
/// Longest ejection.
const EJECT_CAP: Duration = Duration::from_mins(1);

/// Whether a target may be given new work; any one sign against it suffices.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Whether the platform's list says that it is leaving.
    pub(crate) listed_leaving: bool,
    /// Last time that the target itself or a peer said that it is leaving.
    leaving: Option<Timestamp>,
    /// Whether new connections fail.
    pub(crate) unreachable: bool,
    /// When it was probed last on somebody's doubt.
    pub(crate) doubted_at: Option<Timestamp>,
    /// When new connections began to fail.
    pub(crate) lost_at: Option<Timestamp>,
    /// Whether a probe is under way after a failed exchange.
    pub(crate) suspect: bool,
    /// Probes since the last sign of life.
    pub(crate) probes: u32,
    /// Time of the next probe or of the open one's timeout.
    pub(crate) probe_at: Option<Timestamp>,
    failures: u32,
    failed_share: f64,
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

    /// Tells whether new work may be given.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        !self.is_leaving() && !self.unreachable && !self.suspect && now >= self.ejected_until
    }

    /// Tells whether the target may take work again without leaving first.
    pub(crate) fn may_recover(&self) -> bool {
        !self.is_leaving() && !self.unreachable
    }

    /// Tells whether the target is leaving by anybody's word.
    pub(crate) fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving.is_some()
    }

    /// Records that the target itself or a peer said that it is leaving.
    pub(crate) fn set_leaving(&mut self, now: Timestamp) {
        self.leaving = Some(now);
    }

    /// Records a report in which the target does not say that it is leaving; only a long time of
    /// such reports outweighs the earlier word, since reports lag.
    pub(crate) fn report_staying(&mut self, now: Timestamp) {
        if self.leaving.is_some_and(|at| now >= at + LEAVING_HOLD) {
            self.leaving = None;
        }
    }

    /// Records that a new connection worked; this never undoes leaving.
    pub(crate) fn reachable(&mut self) {
        self.unreachable = false;
        self.lost_at = None;
        self.suspect = false;
        self.probes = 0;
    }

    /// Records an exchange that ended well.
    pub(crate) fn success(&mut self) {
        self.failures = 0;
        self.failed_share *= 1.0 - FAILED_WEIGHT;
        if self.failed_share < FAILED_SHARE / 2.0 {
            self.ejections = 0;
        }
    }

    /// Records a failed exchange; tells until when to eject the target, if `may_eject`.
    pub(crate) fn failure(&mut self, now: Timestamp, may_eject: bool) -> Option<Timestamp> {
        self.failures += 1;
        self.failed_share += (1.0 - self.failed_share) * FAILED_WEIGHT;
        let often = self.failed_share >= FAILED_SHARE;
        if (self.failures < EJECT_AFTER && !often) || !may_eject {
            return None;
        }
        self.failures = 0;
        self.failed_share = 0.0;
        let time = EJECT.saturating_mul(1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = now + time.min(EJECT_CAP);
        Some(self.ejected_until)
    }
}
