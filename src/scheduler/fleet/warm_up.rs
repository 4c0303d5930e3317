//! Whether a target is cold, and the share that may be sent to it meanwhile.

use crate::prelude::*;
use crate::rate_limit::ShareMeter;
use crate::scheduler::fleet::{Fleet, TargetIx};
use crate::scheduler::{WarmUpPlan, WarmUpReason};

/// Warm-up state of a target. Without a plan, the target never counts as cold.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmUp {
    plan: Option<WarmUpPlan>,
    /// Use of the plan's share.
    meter: Option<ShareMeter>,
    /// When the last warm-up began: at a start, a recovery or the return of its failure domain.
    cold_from: Option<Timestamp>,
    /// End of the cold period that the target announced.
    announced_until: Option<Timestamp>,
    reason: Option<WarmUpReason>,
}

impl WarmUp {
    /// Sets how the target is warmed up; what was used of the share still counts.
    pub(crate) fn set_plan(&mut self, plan: Option<WarmUpPlan>) {
        self.plan = plan;
        match (&mut self.meter, plan) {
            (Some(meter), Some(plan)) => meter.set_share(plan.share),
            (meter, plan) => *meter = plan.map(|plan| ShareMeter::new(plan.share)),
        }
    }

    fn begin(&mut self, now: Timestamp, reason: WarmUpReason) {
        self.cold_from = Some(now);
        self.reason = Some(reason);
    }

    fn announce(&mut self, now: Timestamp, until: Timestamp) {
        if self.end(now).is_none() {
            self.reason = Some(WarmUpReason::Announced);
        }
        self.announced_until = self.announced_until.max(Some(until));
    }

    /// The end of the warm-up, if the target warms up now.
    pub(crate) fn end(&self, now: Timestamp) -> Option<Timestamp> {
        let plan = self.plan?;
        let from_start = self.cold_from.map(|from| from + plan.time);
        let end = from_start.max(self.announced_until);
        end.filter(|end| now < *end)
    }

    /// Why the target last counted as cold.
    pub(crate) fn reason(&self) -> Option<WarmUpReason> {
        self.reason
    }

    /// Use of the share, if the target warms up now.
    pub(crate) fn meter(&self, now: Timestamp) -> Option<ShareMeter> {
        self.end(now).and(self.meter)
    }

    /// Whether the share permits one more request now.
    pub(crate) fn permits(&self, now: Timestamp) -> bool {
        self.meter(now).is_none_or(|meter| meter.permits(now))
    }

    /// Counts a request if the target warms up now.
    pub(crate) fn record_use(&mut self, now: Timestamp) {
        if self.end(now).is_some()
            && let Some(meter) = &mut self.meter
        {
            meter.record_use(now);
        }
    }
}

impl Fleet {
    /// Sets how each target is warmed up.
    pub(crate) fn set_warm_up_plans(
        &mut self,
        now: Timestamp,
        plans: Arc<std::collections::HashMap<Name, WarmUpPlan>>,
    ) {
        self.warm_up_plans = plans;
        for target in self.targets.iter_mut().flatten() {
            let plan = self.warm_up_plans.get(&target.info.name);
            target.warm_up.set_plan(plan.copied());
        }
        self.refresh_all(now);
    }

    /// Warms a target up as after a start. Its share takes the place of the ramp of its slots.
    pub(crate) fn warm_up(&mut self, now: Timestamp, ix: TargetIx, reason: WarmUpReason) {
        if let Some(target) = self.get_mut(ix) {
            target.warm_up.begin(now, reason);
            if target.warm_up.end(now).is_some() {
                target.load.skip_ramp_up();
            }
        }
        self.refresh(now, ix);
    }

    /// Warms a target up until `until`, the end of the cold period that it announced.
    pub(crate) fn warm_up_until(&mut self, now: Timestamp, ix: TargetIx, until: Timestamp) {
        if let Some(target) = self.get_mut(ix) {
            target.warm_up.announce(now, until);
            if target.warm_up.end(now).is_some() {
                target.load.skip_ramp_up();
            }
        }
        self.refresh(now, ix);
    }

    /// Whether a target warms up now.
    pub(crate) fn is_warming(&self, now: Timestamp, ix: TargetIx) -> bool {
        self.get(ix).is_some_and(|t| t.warm_up.end(now).is_some())
    }

    /// Counts a request against the share of a target that warms up; `false` if the share permits
    /// none now. Always true for a target that does not warm up.
    pub(crate) fn count_warm_up(&mut self, now: Timestamp, ix: TargetIx) -> bool {
        let warming = self.get_mut(ix);
        let Some(target) = warming.filter(|t| t.warm_up.end(now).is_some()) else {
            return true;
        };
        if !target.warm_up.permits(now) {
            return false;
        }
        target.warm_up.record_use(now);
        self.refresh(now, ix);
        true
    }

    /// Warms up all targets of a failure domain that is in use again; returns them.
    pub(crate) fn warm_up_domain(&mut self, now: Timestamp, domain: &str) -> Vec<TargetIx> {
        let listed = self.iter().filter(|(_, t)| t.listed);
        let of_domain = listed.filter(|(_, t)| *t.info.domain == *domain);
        let found: Vec<TargetIx> = of_domain.map(|(ix, _)| ix).collect();
        for ix in &found {
            self.warm_up(now, *ix, WarmUpReason::DomainReturned);
        }
        found
    }
}
