//! Timers.

use crate::scheduler::request::{Stage, Timer};
use crate::scheduler::{Effect, RequestId, Scheduler};

/// Most timers run together with an event other than a tick, to bound the time of the call; the rest
/// stays due.
const MAX_TIMERS_PER_CALL: usize = 4;
/// Most timers run in one tick.
const MAX_TIMERS_PER_TICK: usize = 64;

impl Scheduler {
    pub(super) fn run_timers(&mut self, tick: bool, effects: &mut Vec<Effect>) {
        let max_timers = if tick {
            MAX_TIMERS_PER_TICK
        } else {
            MAX_TIMERS_PER_CALL
        };
        for _ in 0..max_timers {
            let Some((at, timer)) = self.timers.first().copied() else {
                return;
            };
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Overdue(id) => self.overdue(id, effects),
                Timer::Expire(id) => self.expire(id, effects),
                Timer::Retry(id) => self.retry_due(id, effects),
                Timer::Hedge(id) => self.hedge(id, effects),
                Timer::Probe(ix) => self.probe_due(ix, effects),
                Timer::Check(ix) => self.check_target(ix, effects),
                Timer::Refresh(ix) => self.refresh_due(ix),
                Timer::Serve(pool) => {
                    self.dirty_pools.insert(pool);
                }
            }
        }
    }

    /// Refuses a queued request that has missed its time and, behind all that have not, has no
    /// prospect of an answer before its deadline.
    fn overdue(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let stage = self.requests.get(&id).map(|r| (r.stage, r.pool));
        if let Some((Stage::Queued(lane, _), pool)) = stage
            && !self.meets_deadline(id, pool, lane)
        {
            self.record_wait(id);
            let refusal = self.deadline_refusal(id);
            self.refuse(id, refusal, effects);
        }
    }

    fn expire(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let stage = self.requests.get(&id).map(|r| r.stage);
        if matches!(stage, Some(Stage::Queued(..) | Stage::Delayed)) {
            self.record_wait(id);
            let refusal = self.deadline_refusal(id);
            self.refuse(id, refusal, effects);
        }
    }

    fn retry_due(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id).filter(|r| r.stage == Stage::Delayed) else {
            return;
        };
        if self.now >= req.deadline {
            let refusal = self.deadline_refusal(id);
            self.refuse(id, refusal, effects);
            return;
        }
        self.requeue(id);
        let stage = self.requests.get(&id).map(|r| (r.stage, r.pool));
        let Some((Stage::Queued(lane, _), pool)) = stage else {
            return;
        };
        let refusal = if self.is_servable(pool, lane) {
            self.paused_refusal(id, pool, lane)
        } else {
            Some(self.unservable_refusal(pool))
        };
        if let Some(refusal) = refusal {
            self.refuse(id, refusal, effects);
        }
    }

    /// Puts a request back into its queue.
    pub(super) fn requeue(&mut self, id: RequestId) {
        self.enqueue(id);
        self.set_expiry(id);
    }

    /// Sets the timer that refuses a waiting request when it can no longer meet its deadline, or has
    /// missed its objective and waited for too much of its time.
    pub(super) fn set_expiry(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let at = req.deadline.saturating_sub(self.expected_first_token(req));
        let at = at.min(req.give_up_at().unwrap_or(at)).max(self.now);
        let overdue_at = req.dispatch_by();
        if overdue_at > self.now && overdue_at < at {
            self.timers.insert((overdue_at, Timer::Overdue(id)));
        }
        self.timers.insert((at, Timer::Expire(id)));
        if let Some(req) = self.requests.get_mut(&id) {
            req.expires_at = Some(at);
        }
    }

    /// Removes the expiry timer of a request that no longer waits.
    pub(super) fn cancel_expiry(&mut self, id: RequestId) {
        let expires = self.requests.get_mut(&id).and_then(|r| r.expires_at.take());
        if let Some(at) = expires {
            self.timers.remove(&(at, Timer::Expire(id)));
        }
    }

    /// Refuses the queued requests that no target can run.
    pub(super) fn refuse_unservable(&mut self, effects: &mut Vec<Effect>) {
        for (id, pool, lane) in self.queued_requests() {
            if !self.is_servable(pool, lane) {
                let refusal = self.unservable_refusal(pool);
                self.refuse(id, refusal, effects);
            }
        }
    }
}
