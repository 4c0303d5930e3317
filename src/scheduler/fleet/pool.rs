//! Targets of one model or service.

use crate::catalog::PriorityClass;
use crate::prelude::*;
use crate::scheduler::budget::RetryBudget;
use crate::scheduler::ewma::Ewma;
use crate::scheduler::fleet::{SoftwareHistory, TargetIx, WeightsGroup};
use crate::scheduler::quantile::Quantile;

/// Quantile of the first-token times after which a request is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// At most one in this many targets is ejected at a time.
const TARGETS_PER_EJECTION: usize = 3;
/// Lower bound of predicted waits in the correction factor, in seconds.
const MIN_PREDICTED_WAIT_S: f64 = 0.001;
/// Upper bound of the correction factor of predicted waits.
const MAX_WAIT_CORRECTION: f64 = 8.0;

/// Index of a pool within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolIx(pub(crate) usize);

/// Targets of one model or service, and figures measured over all of them.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Targets by weight version; the first group has all targets.
    pub(crate) groups: Vec<WeightsGroup>,
    /// Budget of retries and hedges.
    pub(crate) budget: RetryBudget,
    /// Mean time for which an attempt occupies its slot, in seconds.
    pub(crate) service_seconds: Ewma,
    /// Median first-token time, in seconds per unit of work.
    pub(crate) typical_unit_seconds: Quantile,
    /// Median first-token time, in seconds per unit of work that was queued at the target.
    pub(crate) typical_work_seconds: Quantile,
    /// Software versions of its targets.
    pub(crate) software: SoftwareHistory,
    /// Targets that keep room for a waiting request.
    pub(crate) held: SmallVec<[TargetIx; 4]>,
    /// Own attempts that are running.
    pub(crate) in_flight: u32,
    /// First-token times by priority class.
    first_token_seconds: [Quantile; 3],
    waited_seconds: Ewma,
    predicted_seconds: Ewma,
    /// Ejected targets, with the end of each ejection.
    ejected: Vec<(Timestamp, TargetIx)>,
}

impl Pool {
    /// Makes a pool without targets.
    pub(crate) fn new(retry_ratio: f64, retry_burst: f64) -> Self {
        Self {
            groups: vec![WeightsGroup::new("".into())],
            budget: RetryBudget::new(retry_ratio, retry_burst),
            service_seconds: Ewma::default(),
            typical_unit_seconds: Quantile::new(0.5),
            typical_work_seconds: Quantile::new(0.5),
            software: SoftwareHistory::default(),
            held: SmallVec::new(),
            in_flight: 0,
            first_token_seconds: [Quantile::new(HEDGE_QUANTILE); 3],
            waited_seconds: Ewma::default(),
            predicted_seconds: Ewma::default(),
            ejected: Vec::new(),
        }
    }

    /// The group of a weight version.
    pub(crate) fn group(&self, weights: &str) -> Option<&WeightsGroup> {
        self.groups.iter().find(|g| *g.weights == *weights)
    }

    /// Adds the group of a weight version if it is missing.
    pub(crate) fn ensure_group(&mut self, weights: &Name) {
        if self.group(weights).is_none() {
            self.groups.push(WeightsGroup::new(weights.clone()));
        }
    }

    /// Removes groups without targets, except that of all targets.
    pub(crate) fn drop_empty_groups(&mut self) {
        self.groups
            .retain(|g| g.weights.is_empty() || g.all.len() > 0);
    }

    /// Number of targets.
    pub(crate) fn len(&self) -> usize {
        self.groups[0].all.len()
    }

    /// Whether one more target may be ejected.
    pub(crate) fn may_eject(&mut self, now: Timestamp) -> bool {
        self.ejected.retain(|(until, _)| now < *until);
        (self.ejected.len() + 1) * TARGETS_PER_EJECTION <= self.len()
    }

    /// Records an ejection.
    pub(crate) fn record_ejection(&mut self, until: Timestamp, ix: TargetIx) {
        self.ejected.push((until, ix));
    }

    /// Adds a first-token time.
    pub(crate) fn add_first_token(&mut self, class: PriorityClass, seconds: f64) {
        self.first_token_seconds[usize::from(class.priority())].add(seconds);
    }

    /// Time without a first token after which a request is hedged; `None` before enough samples.
    pub(crate) fn hedge_after(&self, class: PriorityClass) -> Option<Duration> {
        let seconds = self.first_token_seconds[usize::from(class.priority())].get()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Adds the actual and the predicted wait of a request, in seconds.
    pub(crate) fn add_wait(&mut self, waited: f64, predicted: f64) {
        self.waited_seconds.add(waited);
        self.predicted_seconds
            .add(predicted.max(MIN_PREDICTED_WAIT_S));
    }

    /// Correction factor for predicted waits: by how much actual waits were longer, at least one.
    pub(crate) fn wait_correction(&self) -> f64 {
        match (self.waited_seconds.get(), self.predicted_seconds.get()) {
            (Some(waited), Some(predicted)) => (waited / predicted).clamp(1.0, MAX_WAIT_CORRECTION),
            _ => 1.0,
        }
    }

    /// Requests that end per second at the present number of own attempts (Little's law).
    pub(crate) fn drain_rate(&self) -> Option<f64> {
        let service = self.service_seconds.get().filter(|s| *s > 0.0)?;
        (self.in_flight > 0).then(|| f64::from(self.in_flight) / service)
    }
}

/// Units of work of a prompt: its length in blocks, plus one.
pub(crate) fn work_units(tokens: u32) -> f64 {
    1.0 + f64::from(tokens) / f64::from(crate::prefix_keys::TOKENS_PER_BLOCK)
}
