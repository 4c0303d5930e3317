//! Targets of one model or service.

use crate::catalog::Class;
use crate::decide::budget::RetryBudget;
use crate::decide::ewma::Ewma;
use crate::decide::fleet::{Group, TargetIx};
use crate::decide::quantile::Quantile;
use crate::prelude::*;

/// Share of first-token times after which a request is hedged.
const HEDGE_SHARE: f64 = 0.95;
/// One in this many targets may be ejected at a time.
const EJECTED_PART: usize = 3;

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
    ejected: Vec<(Stamp, TargetIx)>,
}

impl Pool {
    /// Makes a pool without targets.
    pub(crate) fn new(retry_ratio: f64) -> Self {
        Self {
            groups: vec![Group::new("".into())],
            budget: RetryBudget::new(retry_ratio),
            service: Ewma::default(),
            typical: Quantile::new(0.5),
            in_flight: 0,
            first_token: [Quantile::new(HEDGE_SHARE); 3],
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
    pub(crate) fn add_first_token(&mut self, class: Class, seconds: f64) {
        self.first_token[usize::from(class.priority())].add(seconds);
    }

    /// Time without a first token after which a request is hedged.
    pub(crate) fn hedge_after(&self, class: Class) -> Option<Duration> {
        let seconds = self.first_token[usize::from(class.priority())].get()?;
        Duration::try_from_secs_f64(seconds).ok()
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
