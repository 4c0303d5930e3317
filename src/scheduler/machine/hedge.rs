//! Hedging of requests whose first token is late.

use crate::scheduler::suspect_requests::Permission;
use crate::scheduler::{Effect, RequestId, Scheduler};

impl Scheduler {
    /// Starts a second, concurrent attempt of a request whose first token is late, if the budget
    /// allows it.
    pub(super) fn hedge(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let [attempt] = req.attempts[..] else {
            return;
        };
        let sent = req.attempts_started - req.attempts_unsent.min(req.attempts_started);
        let may_hedge = req.arrival.policy.idempotent
            && !req.first_token_received
            && sent < self.cfg.max_attempts
            && self.now < req.deadline;
        if !may_hedge || !req.tried.is_empty() {
            return;
        }
        let (pool, fingerprint) = (req.pool, req.arrival.fingerprint);
        if self.suspects.is_suspected(&fingerprint) || self.has_queued(pool) {
            return;
        }
        if let Some(req) = self.requests.get_mut(&id) {
            req.tried.push(attempt.target);
        }
        let selected = self.select(id, &Permission::Anywhere);
        let selected = selected.filter(|(target, _)| *target != attempt.target);
        let Some((target, weights)) = selected else {
            return;
        };
        if self.fleet.pool_mut(pool).budget.take_for_hedge() {
            self.start_attempt(id, target, weights, true, effects);
        }
    }

    /// Whether requests are queued for the targets of a pool; a hedge would take their slots.
    fn has_queued(&self, pool: crate::scheduler::fleet::PoolIx) -> bool {
        let lanes = self.lanes.get(pool.0);
        lanes.is_some_and(|lanes| lanes.iter().any(|l| l.len() > 0))
    }
}
