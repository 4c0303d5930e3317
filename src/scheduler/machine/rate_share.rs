//! Shares of the limits that targets set on the requests sent to them.

use crate::rate_limit::RateShare;
use crate::scheduler::Scheduler;
use crate::scheduler::fleet::{PoolIx, TargetIx};
use crate::scheduler::request::Timer;

impl Scheduler {
    pub(super) fn apply_rate_share(&mut self, target: &str, share: Option<RateShare>) {
        let Some(ix) = self.fleet.find(target) else {
            return;
        };
        if self.fleet.set_rate_share(self.now, ix, share) {
            self.schedule_share_refresh(ix);
            self.mark_pool_dirty(ix);
        }
    }

    /// Recomputes whether a limited target has room at the time at which its shares next permit a
    /// request, or permit none any more.
    pub(super) fn schedule_share_refresh(&mut self, ix: TargetIx) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if let Some(old) = target.share_refresh_at.take() {
            self.timers.remove(&(old, Timer::Refresh(ix)));
        }
        let Some(at) = target.next_share_change(self.now) else {
            return;
        };
        target.share_refresh_at = Some(at);
        self.timers.insert((at, Timer::Refresh(ix)));
    }

    /// Recomputes whether a target whose load is known late has room when it stops counting as full.
    pub(super) fn schedule_room_refresh(&mut self, ix: TargetIx) {
        let until = self.fleet.full_until(self.now, ix);
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target.room_refresh_at == until {
            return;
        }
        let old = std::mem::replace(&mut target.room_refresh_at, until);
        if let Some(old) = old {
            self.timers.remove(&(old, Timer::Refresh(ix)));
        }
        if let Some(at) = until {
            self.timers.insert((at, Timer::Refresh(ix)));
        }
    }

    /// Requests of a pool that end per second; at most those that the targets' limits permit, if all
    /// of its targets have one.
    pub(super) fn drain_rate(&self, pool: PoolIx) -> Option<f64> {
        let measured = self.fleet.pool(pool).drain_rate();
        match self.fleet.limited_rate(self.now, pool) {
            Some(limited) => Some(measured.map_or(limited, |rate| rate.min(limited))),
            None => measured,
        }
    }

    /// Whether the scheduler has a share of a target's limit.
    #[must_use]
    pub fn has_rate_share(&self, target: &str) -> bool {
        let target = self.fleet.find(target).and_then(|ix| self.fleet.get(ix));
        target.is_some_and(|t| t.rate_share.is_some())
    }
}
