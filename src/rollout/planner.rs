//! Decides when each target loads a newly declared weight version.

mod loading;

use std::collections::BTreeMap;

use crate::lease::HeldLease;
use crate::prelude::*;
use crate::rollout::{RolloutEffect, RolloutEvent, RolloutTarget, WeightsOrderResult};

/// Limits and timing of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Limit of targets that load at a time, as a divisor of the number of targets.
    pub loading_divisor: usize,
    /// Lower bound of that limit, and of the limit of cordoned targets.
    pub min_loading: usize,
    /// Limit of orders pending beyond the limit of loading targets, as a divisor of the latter:
    /// some targets with an order still wait for their runs to end before they load.
    pub waiting_divisor: usize,
    /// Limit of targets that are cordoned at a time, as a percentage. The others carry the load,
    /// though new weights have emptied the caches of those already updated.
    pub max_cordoned_percent: usize,
    /// Time after which a draining target may get its order even if it still has runs.
    pub max_drain_time: Duration,
    /// Shortest time that a target drains, in which all entries learn that it is cordoned.
    pub min_drain_time: Duration,
    /// Time from an order to the first status query that checks its progress. An earlier status
    /// does not show that the order had no effect.
    pub status_query_delay: Duration,
    /// Interval between status queries of one target.
    pub status_query_interval: Duration,
    /// Time after which an order without effect is abandoned and given again.
    pub order_timeout: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            loading_divisor: 5,
            min_loading: 2,
            waiting_divisor: 3,
            max_cordoned_percent: 27,
            max_drain_time: Duration::from_millis(350),
            min_drain_time: Duration::from_millis(250),
            status_query_delay: Duration::from_millis(1_250),
            status_query_interval: Duration::from_millis(250),
            order_timeout: Duration::from_secs(6),
        }
    }
}

/// Where a target is in its update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The target gets work as usual.
    Serving,
    /// The target is cordoned and finishes its runs before its order.
    Draining {
        since: Timestamp,
        next_query: Timestamp,
    },
    /// The target is cordoned and was given its order.
    Ordered {
        at: Timestamp,
        next_query: Timestamp,
    },
}

#[derive(Clone, Debug)]
struct Target {
    info: RolloutTarget,
    stage: Stage,
    requests: u32,
    /// Number of orders that it has accepted since its start; `None` until it answered a status
    /// query while draining.
    accepted_orders: Option<u64>,
    /// Number of times in a row that it was cordoned without such an answer.
    unanswered: u32,
}

impl Target {
    /// Adopts weights that the target reported. When they are newer, its order is done: it serves
    /// again, also if a further version was declared meanwhile, so that its place is free for the
    /// target with the oldest weights.
    fn update_weights(&mut self, reported: SmallVec<[(Name, u64); 1]>) {
        let known = &self.info.weights;
        let is_newer = |(model, version): &(Name, u64)| {
            let mut known = known.iter();
            known.any(|(name, known)| name == model && known < version)
        };
        let has_loaded = reported.iter().any(is_newer);
        self.info.weights = reported;
        if has_loaded && matches!(self.stage, Stage::Ordered { .. }) {
            self.stage = Stage::Serving;
        }
    }
}

/// Decides when each target loads a newly declared weight version. It does no I/O: it takes events
/// and returns effects.
#[derive(Debug)]
pub struct RolloutPlanner {
    cfg: RolloutSettings,
    declared_versions: BTreeMap<Name, u64>,
    targets: BTreeMap<Name, Target>,
    held: Option<HeldLease>,
    /// Number of outdated targets, and when it last changed.
    outdated: (usize, Timestamp),
}

impl RolloutPlanner {
    /// Creates a planner without targets.
    #[must_use]
    pub fn new(cfg: RolloutSettings) -> Self {
        Self {
            cfg,
            declared_versions: BTreeMap::new(),
            targets: BTreeMap::new(),
            held: None,
            outdated: (0, Timestamp::ZERO),
        }
    }

    /// Handles an event and appends the effects that follow from it.
    pub fn on(&mut self, now: Timestamp, event: RolloutEvent, effects: &mut Vec<RolloutEffect>) {
        match event {
            RolloutEvent::VersionDeclared { model, version } => {
                let known = self.declared_versions.entry(model).or_default();
                *known = version.max(*known);
            }
            RolloutEvent::Targets(list) => self.set_targets(list),
            RolloutEvent::ActiveRequests { target, requests } => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.requests = requests;
                }
            }
            RolloutEvent::Lease(held) => self.held = held,
            RolloutEvent::Ended { target, result } => self.on_ended(now, &target, result, effects),
            RolloutEvent::TargetStatus {
                target,
                weights,
                orders,
                busy,
            } => self.record_status(now, &target, weights, orders, busy),
            RolloutEvent::Tick => {}
        }
        let outdated = self.outdated_count();
        if outdated != self.outdated.0 {
            self.outdated = (outdated, now);
        }
        match self.held.filter(|held| now < held.until) {
            Some(lease) => self.step(now, lease, effects),
            None => self.uncordon_all(),
        }
    }

    /// Number of outdated targets: those that lack the version declared for one of their models
    /// and are not leaving.
    #[must_use]
    pub fn outdated_count(&self) -> usize {
        let staying = self.targets.values().filter(|t| !t.info.leaving);
        staying
            .filter(|t| self.missing_version(&t.info).is_some())
            .count()
    }

    /// Time for which the number of outdated targets has stayed the same.
    #[must_use]
    pub fn stalled_for(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.outdated.1)
    }

    /// Cordoned targets: they are draining or have an order, and are to get no new work.
    pub fn cordoned_targets(&self) -> impl Iterator<Item = &Name> {
        let targets = self.targets.iter();
        targets
            .filter(|(_, t)| t.stage != Stage::Serving)
            .map(|(name, _)| name)
    }

    fn set_targets(&mut self, list: Vec<RolloutTarget>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in list {
            let known = old.remove(&info.name);
            let name = info.name.clone();
            let mut target = known.unwrap_or_else(|| Target {
                info: info.clone(),
                stage: Stage::Serving,
                requests: 0,
                accepted_orders: None,
                unanswered: 0,
            });
            // Versions that the target itself reported are newer than those in the platform's list.
            let mut weights = info.weights.clone();
            for (model, version) in &target.info.weights {
                let mut listed = weights.iter_mut();
                if let Some((_, listed)) = listed.find(|(name, _)| name == model) {
                    *listed = (*listed).max(*version);
                }
            }
            target.update_weights(weights);
            target.info = RolloutTarget {
                weights: std::mem::take(&mut target.info.weights),
                ..info
            };
            self.targets.insert(name, target);
        }
    }

    fn record_status(
        &mut self,
        now: Timestamp,
        name: &str,
        weights: SmallVec<[(Name, u64); 1]>,
        orders: Option<u64>,
        busy: bool,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.update_weights(merged(&target.info.weights, weights));
        if orders.is_some() {
            target.accepted_orders = orders;
            target.unanswered = 0;
        }
        if let Stage::Ordered { at, .. } = target.stage
            && !busy
            && now >= at + self.cfg.status_query_delay
        {
            // The order had no effect and is given again.
            target.stage = Stage::Draining {
                since: at,
                next_query: now,
            };
        }
    }

    fn on_ended(
        &mut self,
        now: Timestamp,
        name: &str,
        result: WeightsOrderResult,
        effects: &mut Vec<RolloutEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Stage::Ordered { next_query, .. } = &mut target.stage else {
            return;
        };
        match result {
            WeightsOrderResult::Accepted => {}
            WeightsOrderResult::Conflict | WeightsOrderResult::Unanswered => *next_query = now,
            WeightsOrderResult::Stale => {
                target.stage = Stage::Serving;
                if let Some(lease) = self.held.take() {
                    let fencing = lease.fencing;
                    effects.push(RolloutEffect::Raise { fencing });
                }
            }
        }
    }

    /// Uncordons all targets: only the holder of the lease cordons any.
    fn uncordon_all(&mut self) {
        for target in self.targets.values_mut() {
            target.stage = Stage::Serving;
        }
    }

    /// The first model for which a target lacks the declared version, with that version. Further
    /// models get their orders one at a time.
    fn missing_version(&self, info: &RolloutTarget) -> Option<(Name, u64)> {
        let mut weights = info.weights.iter();
        weights.find_map(|(model, version)| {
            let declared = *self.declared_versions.get(model)?;
            (*version < declared).then(|| (model.clone(), declared))
        })
    }

    /// Continues the rollout under a valid lease: orders, cordons and status queries that are due.
    fn step(&mut self, now: Timestamp, lease: HeldLease, effects: &mut Vec<RolloutEffect>) {
        self.update_finished(now);
        let loading_limit = self.loading_limit();
        let ordered = self.count(|s| matches!(s, Stage::Ordered { .. }));
        let order_limit = loading_limit + loading_limit.div_ceil(self.cfg.waiting_divisor);
        let new_orders = order_limit.saturating_sub(ordered);
        self.order_drained(now, lease, new_orders, effects);
        self.cordon_next(now, self.cordon_limit());
        self.query_statuses(now, effects);
    }

    /// Limit of targets that load at a time.
    fn loading_limit(&self) -> usize {
        (self.targets_with_weights() / self.cfg.loading_divisor).max(self.cfg.min_loading)
    }

    fn targets_with_weights(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|t| !t.info.weights.is_empty()).count()
    }

    /// Limit of targets that are cordoned at a time.
    fn cordon_limit(&self) -> usize {
        let limit = (self.targets_with_weights() * self.cfg.max_cordoned_percent).div_ceil(100);
        limit.max(self.cfg.min_loading)
    }

    fn count(&self, stage: impl Fn(&Stage) -> bool) -> usize {
        self.targets.values().filter(|t| stage(&t.stage)).count()
    }

    /// Uncordons targets that are up to date or leaving, and those that have not answered a status
    /// query for the order timeout; gives up orders that have had no effect for as long.
    fn update_finished(&mut self, now: Timestamp) {
        let finished: Vec<Name> = self
            .targets
            .iter()
            .filter(|(_, t)| t.stage != Stage::Serving)
            .filter(|(_, t)| self.missing_version(&t.info).is_none() || t.info.leaving)
            .map(|(name, _)| name.clone())
            .collect();
        for name in finished {
            if let Some(target) = self.targets.get_mut(&name) {
                target.stage = Stage::Serving;
            }
        }
        for target in self.targets.values_mut() {
            match target.stage {
                Stage::Ordered { at, .. } if now >= at + self.cfg.order_timeout => {
                    target.stage = Stage::Draining {
                        since: at,
                        next_query: now,
                    };
                }
                Stage::Draining { since, .. }
                    if target.accepted_orders.is_none()
                        && now >= since + self.cfg.order_timeout =>
                {
                    target.stage = Stage::Serving;
                    target.unanswered = target.unanswered.saturating_add(1);
                }
                _ => {}
            }
        }
    }
}

/// Known weight versions, replaced by reported ones. A report may lack models that the target has.
fn merged(
    known: &[(Name, u64)],
    reported: SmallVec<[(Name, u64); 1]>,
) -> SmallVec<[(Name, u64); 1]> {
    let is_missing = |model: &Name| reported.iter().all(|(name, _)| name != model);
    let missing = known.iter().filter(|(model, _)| is_missing(model));
    let missing: SmallVec<[(Name, u64); 1]> = missing.cloned().collect();
    reported.into_iter().chain(missing).collect()
}
