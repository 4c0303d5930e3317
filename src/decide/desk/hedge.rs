//! Hedged first-token waits.

use crate::decide::suspects::Standing;
use crate::decide::{Desk, Effect, RequestId};

impl Desk {
    /// Starts a second attempt of a request whose first token is late, if the budget allows.
    pub(super) fn hedge(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let [attempt] = req.attempts[..] else {
            return;
        };
        let sent = req.started - req.unsent.min(req.started);
        let wanted = req.arrival.policy.idempotent
            && !req.answered
            && sent < self.cfg.attempts
            && self.now < req.deadline;
        if !wanted || !req.tried.is_empty() {
            return;
        }
        let (pool, fingerprint) = (req.pool, req.arrival.fingerprint);
        if self.suspects.is_suspected(&fingerprint) || self.waits(pool) {
            return;
        }
        if let Some(req) = self.requests.get_mut(&id) {
            req.tried.push(attempt.target);
        }
        let chosen = self.choose(id, &Standing::Clear);
        let chosen = chosen.filter(|(target, _)| *target != attempt.target);
        let Some((target, weights)) = chosen else {
            return;
        };
        if self.fleet.pool_mut(pool).budget.take_spare() {
            self.start(id, target, weights, true, effects);
        }
    }

    /// Tells whether requests wait for the targets of a pool; a hedge would take their place.
    fn waits(&self, pool: crate::decide::fleet::PoolIx) -> bool {
        let lanes = self.lanes.get(pool.0);
        lanes.is_some_and(|lanes| lanes.iter().any(|l| l.len() > 0))
    }
}
