//! Cordons of targets, orders to them, and queries of their status.

use super::{RolloutPlanner, Stage, Target};
use crate::lease::HeldLease;
use crate::prelude::*;
use crate::rollout::{RolloutEffect, RolloutTarget, WeightsOrder};

impl RolloutPlanner {
    /// Gives orders to targets that have drained, at most `new_orders`; those that have drained for
    /// the longest time come first.
    pub(super) fn order_drained(
        &mut self,
        now: Timestamp,
        lease: HeldLease,
        new_orders: usize,
        effects: &mut Vec<RolloutEffect>,
    ) {
        let mut drained: Vec<(Timestamp, Name)> = self
            .targets
            .iter()
            .filter_map(|(name, t)| match t.stage {
                Stage::Draining { since, .. } if self.is_drained(now, since, t) => {
                    Some((since, name.clone()))
                }
                _ => None,
            })
            .collect();
        drained.sort();
        for (_, name) in drained.into_iter().take(new_orders) {
            self.give_order(now, lease, &name, effects);
        }
    }

    /// Whether a target has drained: its runs have ended or it has drained for the longest time
    /// allowed, and it has answered a status query.
    fn is_drained(&self, now: Timestamp, since: Timestamp, target: &Target) -> bool {
        let drained_for = now.saturating_sub(since);
        let is_idle = target.requests == 0 && drained_for >= self.cfg.min_drain_time;
        target.accepted_orders.is_some() && (is_idle || drained_for >= self.cfg.max_drain_time)
    }

    /// Orders a target to load the version that it lacks. The target must have answered a status
    /// query, since the order states how many orders it has accepted.
    fn give_order(
        &mut self,
        now: Timestamp,
        lease: HeldLease,
        name: &str,
        effects: &mut Vec<RolloutEffect>,
    ) {
        assert!(now < lease.until, "order without a valid lease");
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let (Some((model, version)), Some(accepted_orders)) =
            (self.missing_version(&target.info), target.accepted_orders)
        else {
            return;
        };
        effects.push(RolloutEffect::Order(WeightsOrder {
            target: target.info.name.clone(),
            address: target.info.address,
            model,
            version,
            fencing: lease.fencing,
            expected_orders: accepted_orders,
        }));
        let next_query = now + self.cfg.status_query_delay;
        if let Some(target) = self.targets.get_mut(name) {
            target.stage = Stage::Ordered {
                at: now,
                next_query,
            };
        }
    }

    /// Cordons further targets up to `limit`, those with the oldest weights first, since the bound
    /// on how long an outdated version may run is reached there first. Among equals, targets with
    /// the fewest requests come first. Targets that did not answer when they were cordoned come last.
    pub(super) fn cordon_next(&mut self, now: Timestamp, limit: usize) {
        let cordoned = self.count(|s| *s != Stage::Serving);
        let mut next: Vec<(u32, u64, u32, Name)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.stage == Stage::Serving && !t.info.leaving)
            .filter(|(_, t)| self.missing_version(&t.info).is_some())
            .map(|(name, t)| {
                let oldest = oldest_version(&t.info);
                (t.unanswered, oldest, t.requests, name.clone())
            })
            .collect();
        next.sort();
        for (.., name) in next.into_iter().take(limit.saturating_sub(cordoned)) {
            if let Some(target) = self.targets.get_mut(&name) {
                target.stage = Stage::Draining {
                    since: now,
                    next_query: now,
                };
                target.accepted_orders = None;
            }
        }
    }

    /// Queries the status of draining targets until they answer once, and of targets with an order.
    pub(super) fn query_statuses(&mut self, now: Timestamp, effects: &mut Vec<RolloutEffect>) {
        for target in self.targets.values_mut() {
            let next_query = match &mut target.stage {
                Stage::Ordered { next_query, .. } => next_query,
                Stage::Draining { next_query, .. } if target.accepted_orders.is_none() => {
                    next_query
                }
                _ => continue,
            };
            if now >= *next_query {
                *next_query = now + self.cfg.status_query_interval;
                effects.push(RolloutEffect::QueryStatus {
                    target: target.info.name.clone(),
                    address: target.info.address,
                });
            }
        }
    }
}

/// Oldest weight version that a target has of any model; zero without weights.
fn oldest_version(info: &RolloutTarget) -> u64 {
    info.weights
        .iter()
        .map(|(_, v)| *v)
        .min()
        .unwrap_or_default()
}
