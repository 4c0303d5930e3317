//! Warm-up of targets that start cold.

use std::collections::HashMap;

use crate::prelude::*;
use crate::scheduler::fleet::TargetIx;
use crate::scheduler::{Scheduler, WarmUpPlan, WarmUpReason, WarmingTarget};

/// Longest time for which a target may say that it is cold.
const MAX_ANNOUNCED_TIME: Duration = Duration::from_hours(1);

impl Scheduler {
    pub(super) fn apply_warm_up_plans(&mut self, plans: Arc<HashMap<Name, WarmUpPlan>>) {
        self.fleet.set_warm_up_plans(self.now, plans);
        let all: Vec<TargetIx> = self.fleet.iter().map(|(ix, _)| ix).collect();
        for ix in all {
            self.schedule_share_refresh(ix);
        }
        self.mark_all_dirty();
    }

    pub(super) fn warm_up(&mut self, ix: TargetIx, reason: WarmUpReason) {
        self.fleet.warm_up(self.now, ix, reason);
        self.schedule_share_refresh(ix);
    }

    pub(super) fn warm_up_for(&mut self, ix: TargetIx, time: Duration) {
        let until = self.now + time.min(MAX_ANNOUNCED_TIME);
        self.fleet.warm_up_until(self.now, ix, until);
        self.schedule_share_refresh(ix);
    }

    pub(super) fn warm_up_domain(&mut self, domain: &str) {
        for ix in self.fleet.warm_up_domain(self.now, domain) {
            self.schedule_share_refresh(ix);
            self.mark_pool_dirty(ix);
        }
    }

    /// Counts a request against the share of a target that warms up, if no scheduler has counted it
    /// before. Returns `false` if the share permits none now, and `true` for any other target.
    pub fn count_uncounted(&mut self, now: Timestamp, target: &str) -> bool {
        let Some(ix) = self.fleet.find(target) else {
            return true;
        };
        if !self.fleet.is_warming(self.now.max(now), ix) {
            return true;
        }
        self.now = self.now.max(now);
        let counted = self.fleet.count_warm_up(self.now, ix);
        self.schedule_share_refresh(ix);
        counted
    }

    /// The targets that warm up.
    #[must_use]
    pub fn warming_targets(&self, now: Timestamp) -> Vec<WarmingTarget> {
        let now = self.now.max(now);
        let listed = self.fleet.iter().filter(|(_, t)| t.listed);
        let warming = listed.filter_map(|(_, t)| {
            Some(WarmingTarget {
                target: t.info.name.clone(),
                reason: t.warm_up.reason()?,
                time_left: t.warm_up.end(now)?.saturating_sub(now),
                per_second: t.warm_up.meter(now)?.share().per_second(),
            })
        });
        warming.collect()
    }
}
