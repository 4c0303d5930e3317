//! Predicted queueing waits, corrected by actual ones.

use crate::scheduler::fleet::PoolIx;
use crate::scheduler::{RequestId, Scheduler};

/// Factor on predicted waits that allows for the spread of service times.
const WAIT_SAFETY_FACTOR: f64 = 1.1;

impl Scheduler {
    /// Predicts whether a queued request gets its first token before the deadline. Targets that ramp
    /// up end more requests per second in that time than they do now.
    pub(super) fn meets_deadline(&mut self, id: RequestId, pool: PoolIx, lane: usize) -> bool {
        let Some(wait) = self.predicted_wait(id, pool, lane) else {
            return true;
        };
        let now = self.now;
        let Some(req) = self.requests.get_mut(&id) else {
            return false;
        };
        req.predicted_wait = Some((now, wait));
        let left = req.deadline;
        let expected = self.requests.get(&id).map(|r| self.expected_first_token(r));
        let left = left.saturating_sub(now + expected.unwrap_or_default());
        let wait_correction = self.fleet.pool(pool).wait_correction();
        let wait = wait * wait_correction * WAIT_SAFETY_FACTOR;
        let meets = |wait: f64| wait <= left.as_secs_f64();
        meets(wait) || meets(wait / self.fleet.slot_growth(now, pool, left))
    }

    /// Seconds until a queued request is dispatched, from the requests ahead of it and the drain
    /// rate; `None` when no drain rate is known.
    fn predicted_wait(&self, id: RequestId, pool: PoolIx, lane: usize) -> Option<f64> {
        let req = self.requests.get(&id)?;
        let rate = self.lane_drain_rate(pool, lane)?;
        let class = req.arrival.policy.class;
        let lane = &self.lanes[pool.0][lane];
        let queue = lane.class(class);
        let ahead = queue.requests_ahead(self.now, &req.arrival.customer, req.queue_key());
        Some(ahead / (rate * lane.class_share(class)))
    }

    /// Requests per second that end at the targets of a lane, by their share of the pool's targets;
    /// `None` when no drain rate is known.
    pub(super) fn lane_drain_rate(&self, pool: PoolIx, lane: usize) -> Option<f64> {
        let allowed = self.lanes[pool.0][lane].allowed.as_ref();
        Some(self.drain_rate(pool)? * self.fleet.allowed_share(pool, allowed))
    }

    /// Adds the actual and the predicted wait of a request that leaves its queue to the correction.
    pub(super) fn record_wait(&mut self, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let pool = req.pool;
        if let Some((since, predicted)) = req.predicted_wait.take() {
            let waited = self.now.saturating_sub(since).as_secs_f64();
            self.fleet.pool_mut(pool).add_wait(waited, predicted);
        }
    }
}
