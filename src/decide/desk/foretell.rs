//! Predicted waits, corrected by the waits that were seen.

use crate::decide::fleet::PoolIx;
use crate::decide::{Desk, RequestId};

/// Factor on a predicted wait, for the spread of service times.
const WAIT_MARGIN: f64 = 1.1;

impl Desk {
    /// Predicts whether a queued request gets its first token in time.
    pub(super) fn meets_deadline(&mut self, id: RequestId, pool: PoolIx, lane: usize) -> bool {
        let Some(wait) = self.predicted_wait(id, pool, lane) else {
            return true;
        };
        let now = self.now;
        let Some(req) = self.requests.get_mut(&id) else {
            return false;
        };
        req.foretold = Some((now, wait));
        let left = req.deadline;
        let expected = self.requests.get(&id).map(|r| self.expected_first_token(r));
        let left = left.saturating_sub(now + expected.unwrap_or_default());
        let optimism = self.fleet.pool(pool).optimism();
        wait * optimism * WAIT_MARGIN <= left.as_secs_f64()
    }

    /// Seconds until a queued request is dispatched, by what waits before it and the drain rate.
    fn predicted_wait(&self, id: RequestId, pool: PoolIx, lane: usize) -> Option<f64> {
        let req = self.requests.get(&id)?;
        let rate = self.fleet.pool(pool).drain_rate()?;
        let class = req.arrival.policy.class;
        let lane = &self.lanes[pool.0][lane];
        let queue = lane.class(class);
        let ahead = queue.ahead(&req.arrival.customer, req.queue_key());
        Some(ahead / (rate * lane.class_part(class)))
    }

    /// Compares the wait of a request that leaves its queue with what was predicted.
    pub(super) fn note_wait(&mut self, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let pool = req.pool;
        if let Some((since, foretold)) = req.foretold.take() {
            let waited = self.now.saturating_sub(since).as_secs_f64();
            self.fleet.pool_mut(pool).add_wait(waited, foretold);
        }
    }
}
