//! Slots that open while targets ramp up.

use crate::prelude::*;
use crate::scheduler::fleet::{Fleet, PoolIx};

impl Fleet {
    /// Mean number of slots that may be in use in the coming `period`, relative to now, over the
    /// targets of a pool that take work. One if none of them ramps up.
    pub(crate) fn slot_growth(&self, now: Timestamp, pool: PoolIx, period: Duration) -> f64 {
        let pool = self.pool(pool);
        let typical = pool.typical_unit_seconds.get();
        let targets = pool.groups[0].all.iter().filter_map(|ix| self.get(ix));
        let (mut open, mut later) = (0.0, 0.0);
        for target in targets.filter(|t| t.takes_work(now)) {
            let slots = f64::from(self.slots(now, target));
            let mean = target
                .load
                .mean_slots(now, period, self.default_slots, typical);
            open += slots;
            later += mean.max(slots);
        }
        if open > 0.0 { later / open } else { 1.0 }
    }
}
