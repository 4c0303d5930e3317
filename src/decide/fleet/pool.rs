//! Targets of one model or service.

use crate::catalog::PriorityClass;
use crate::decide::budget::RetryBudget;
use crate::decide::ewma::Ewma;
use crate::decide::fleet::{Group, TargetIx};
use crate::decide::quantile::Quantile;
use crate::prelude::*;

/// Share of first-token times after which a request is hedged.
const HEDGE_SHARE: f64 = 0.95;
/// One in this many targets may be ejected at a time.
const EJECTED_PART: usize = 3;

/// Shortest predicted wait that is compared with the one seen, in seconds.
const SHORTEST_WAIT: f64 = 0.001;
/// Highest factor by which predicted waits are corrected.
const MOST_OPTIMISM: f64 = 8.0;

/// Index of a pool within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolIx(pub(crate) usize);

/// Targets of one model or service, and what is measured over all of them.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Targets by weight version; the first group holds all.
    pub(crate) groups: Vec<Group>,
    /// Retries and hedges allowed.
    pub(crate) budget: RetryBudget,
    /// Time for which an attempt holds its slot, in seconds.
    pub(crate) service: Ewma,
    /// Median first-token time, in seconds for each unit of work.
    pub(crate) typical: Quantile,
    /// Own attempts under way.
    pub(crate) in_flight: u32,
    first_token: [Quantile; 3],
    waited: Ewma,
    foretold: Ewma,
    ejected: Vec<(Stamp, TargetIx)>,
}

impl Pool {
    /// Makes a pool without targets.
    pub(crate) fn new(retry_ratio: f64, retry_burst: f64) -> Self {
        Self {
            groups: vec![Group::new("".into())],
            budget: RetryBudget::new(retry_ratio, retry_burst),
            service: Ewma::default(),
            typical: Quantile::new(0.5),
            in_flight: 0,
            first_token: [Quantile::new(HEDGE_SHARE); 3],
            waited: Ewma::default(),
            foretold: Ewma::default(),
            ejected: Vec::new(),
        }
    }

    /// The group of a weight version.
    pub(crate) fn group(&self, weights: &str) -> Option<&Group> {
        self.groups.iter().find(|g| *g.weights == *weights)
    }

    /// Adds a group if it is missing.
    pub(crate) fn ensure_group(&mut self, weights: &Name) {
        if self.group(weights).is_none() {
            self.groups.push(Group::new(weights.clone()));
        }
    }

    /// Drops groups without targets.
    pub(crate) fn drop_empty_groups(&mut self) {
        self.groups
            .retain(|g| g.weights.is_empty() || g.all.len() > 0);
    }

    /// Number of targets.
    pub(crate) fn len(&self) -> usize {
        self.groups[0].all.len()
    }

    /// Tells whether one more target may be ejected.
    pub(crate) fn may_eject(&mut self, now: Stamp) -> bool {
        self.ejected.retain(|(until, _)| now < *until);
        (self.ejected.len() + 1) * EJECTED_PART <= self.len()
    }

    /// Records an ejection.
    pub(crate) fn eject(&mut self, until: Stamp, ix: TargetIx) {
        self.ejected.push((until, ix));
    }

    /// Records a first-token time.
    pub(crate) fn add_first_token(&mut self, class: PriorityClass, seconds: f64) {
        self.first_token[usize::from(class.priority())].add(seconds);
    }

    /// Time without a first token after which a request is hedged.
    pub(crate) fn hedge_after(&self, class: PriorityClass) -> Option<Duration> {
        let seconds = self.first_token[usize::from(class.priority())].get()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Records how long a request waited and how long it was predicted to, in seconds.
    pub(crate) fn add_wait(&mut self, waited: f64, foretold: f64) {
        self.waited.add(waited);
        self.foretold.add(foretold.max(SHORTEST_WAIT));
    }

    /// Factor by which waits were longer than predicted, at least one.
    pub(crate) fn optimism(&self) -> f64 {
        match (self.waited.get(), self.foretold.get()) {
            (Some(waited), Some(foretold)) => (waited / foretold).clamp(1.0, MOST_OPTIMISM),
            _ => 1.0,
        }
    }

    /// Requests served in a second while all own slots are taken (Little's law).
    pub(crate) fn drain_rate(&self) -> Option<f64> {
        let service = self.service.get().filter(|s| *s > 0.0)?;
        (self.in_flight > 0).then(|| f64::from(self.in_flight) / service)
    }
}

/// Units of work of a prompt: one and its whole blocks.
pub(crate) fn work_units(tokens: u32) -> f64 {
    1.0 + f64::from(tokens) / f64::from(crate::cache::TOKENS_PER_BLOCK)
}
