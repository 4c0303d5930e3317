//! Changes to the fleet by target lists and load reports.

use std::collections::HashSet;

use crate::prelude::*;
use crate::scheduler::fleet::{Fleet, Pool, PoolIx, Target, TargetIx};
use crate::scheduler::{TargetInfo, WarmUpReason};
use crate::target::LoadReport;

impl Fleet {
    /// Applies the platform's list and returns the targets that were added and removed. A target
    /// listed with another address, failure domain, model, service or start counts as removed and
    /// added.
    /// Added targets skip the ramp-up when no target was listed before.
    pub(crate) fn apply_list(&mut self, now: Timestamp, list: Vec<TargetInfo>) -> ListChange {
        let none_listed_before = self.by_name.is_empty();
        let mut change = ListChange::default();
        let mut seen = HashSet::with_capacity(list.len());
        for info in list {
            if !seen.insert(info.name.clone()) {
                continue;
            }
            match self.find(&info.name) {
                Some(ix) if self.is_same(ix, &info) => self.relist(now, ix, info.leaving),
                known => {
                    if let Some(old) = known {
                        self.unlist(now, old);
                        change.removed.push(old);
                    }
                    let ix = self.add(now, info, none_listed_before);
                    change.added.push(ix);
                    if self.was_listed {
                        self.warm_up(now, ix, added_reason(known));
                    }
                }
            }
        }
        self.was_listed |= !seen.is_empty();
        let removed = self
            .by_name
            .iter()
            .filter(|(name, _)| !seen.contains(*name));
        let removed: Vec<TargetIx> = removed.map(|(_, ix)| *ix).collect();
        for ix in removed {
            self.unlist(now, ix);
            change.removed.push(ix);
        }
        self.record_software(now);
        change
    }

    fn record_software(&mut self, now: Timestamp) {
        for n in 0..self.pools.len() {
            let targets = self.pools[n].groups[0].all.iter();
            let targets = targets.filter_map(|ix| self.get(ix));
            let versions: Vec<Name> = targets.map(|t| t.info.software.clone()).collect();
            self.pools[n].software.record(now, versions);
        }
    }

    fn is_same(&self, ix: TargetIx, info: &TargetInfo) -> bool {
        self.get(ix).is_some_and(|t| {
            t.info.address == info.address
                && t.info.serves == info.serves
                && t.info.domain == info.domain
                && t.info.started_ms == info.started_ms
                && t.info.software == info.software
        })
    }

    fn relist(&mut self, now: Timestamp, ix: TargetIx, leaving: bool) {
        let Some(target) = self.get_mut(ix) else {
            return;
        };
        if target.info.leaving != leaving {
            target.info.leaving = leaving;
            target.health.listed_leaving = leaving;
            self.refresh(now, ix);
        }
    }

    fn add(&mut self, now: Timestamp, info: TargetInfo, skip_ramp_up: bool) -> TargetIx {
        let pool = self.ensure_pool(&info.serves);
        let name = info.name.clone();
        let mut target = Target::new(info, pool, &self.domain);
        let evacuated = self.evacuated.contains(&target.info.domain);
        target.health.evacuated_since = evacuated.then_some(now);
        if let Some(until) = self.paused.get(&name) {
            target.load.pause_until(*until);
        }
        if !skip_ramp_up {
            target.load.start_ramp_up(now);
        }
        target
            .warm_up
            .set_plan(self.warm_up_plans.get(&name).copied());
        let ix = self.vacant.pop().unwrap_or_else(|| {
            self.targets.push(None);
            TargetIx(u32::try_from(self.targets.len() - 1).unwrap_or(u32::MAX))
        });
        self.targets[ix.0 as usize] = Some(target);
        self.by_name.insert(name, ix);
        self.regroup(now, ix);
        ix
    }

    fn ensure_pool(&mut self, serves: &Name) -> PoolIx {
        if let Some(ix) = self.find_pool(serves) {
            return ix;
        }
        let ix = PoolIx(self.pools.len());
        self.pools.push(Pool::new(
            self.retry_ratio,
            self.retry_burst.entry_capacity(self.entries),
        ));
        self.by_serves.insert(serves.clone(), ix);
        ix
    }

    fn unlist(&mut self, now: Timestamp, ix: TargetIx) {
        let Some(target) = self.get_mut(ix) else {
            return;
        };
        target.listed = false;
        let (hash, pool, name) = (target.hash, target.pool, target.info.name.clone());
        self.refresh(now, ix);
        for group in &mut self.pools[pool.0].groups {
            group.remove(hash, ix);
        }
        self.pools[pool.0].drop_empty_groups();
        self.by_name.remove(&name);
        self.drop_unlisted(ix);
    }

    /// Removes a target that is no longer listed and runs no own attempt.
    pub(super) fn drop_unlisted(&mut self, ix: TargetIx) {
        let unused = self
            .get(ix)
            .is_some_and(|t| !t.listed && t.load.own_attempts() == 0);
        if unused {
            self.targets[ix.0 as usize] = None;
            self.vacant.push(ix);
        }
    }

    /// Applies a load report.
    pub(crate) fn apply_report(&mut self, now: Timestamp, ix: TargetIx, report: LoadReport) {
        let Some(target) = self.get_mut(ix) else {
            return;
        };
        if report.leaving {
            target.health.set_leaving(now);
        } else {
            target.health.record_staying(now);
        }
        let weights_changed = target.load.report.weights != report.weights;
        if weights_changed {
            self.leave_groups(ix);
        }
        if let Some(target) = self.get_mut(ix) {
            // A cordoned target reports no weights for a time, and keeps what it has cached.
            if weights_changed && !report.weights.is_empty() && report.weights != target.weights {
                target.prefixes.clear();
                target.weights.clone_from(&report.weights);
            }
            target.load.apply_report(now, report);
            if target.load.is_known_late() {
                let pool = target.pool;
                self.update_spill(now, pool);
            }
        }
        if weights_changed {
            self.regroup(now, ix);
        } else {
            self.refresh(now, ix);
        }
    }

    /// Removes a target from the groups of its weight versions.
    fn leave_groups(&mut self, ix: TargetIx) {
        self.set_free(ix, false);
        let Some(target) = self.targets[ix.0 as usize].as_ref() else {
            return;
        };
        let pool = &mut self.pools[target.pool.0];
        for group in pool.groups.iter_mut().skip(1) {
            group.remove(target.hash, ix);
        }
    }

    /// Adds a target to the groups of the weight versions that it has ready.
    fn regroup(&mut self, now: Timestamp, ix: TargetIx) {
        let Some(target) = self.targets[ix.0 as usize].as_ref() else {
            return;
        };
        let pool = &mut self.pools[target.pool.0];
        for weights in &target.load.report.weights {
            pool.ensure_group(weights);
        }
        for group in &mut pool.groups {
            if target.has_weights(&group.weights) {
                group.all.insert(target.hash, ix);
            }
        }
        pool.drop_empty_groups();
        self.refresh(now, ix);
    }
}

/// Why a target is warmed up that a list names as a new one, or in place of a known one.
fn added_reason(known: Option<TargetIx>) -> WarmUpReason {
    match known {
        Some(_) => WarmUpReason::Restarted,
        None => WarmUpReason::Registered,
    }
}

/// Changes made by a list.
#[derive(Debug, Default)]
pub(crate) struct ListChange {
    /// Targets added.
    pub(crate) added: Vec<TargetIx>,
    /// Targets that are no longer listed.
    pub(crate) removed: Vec<TargetIx>,
}
