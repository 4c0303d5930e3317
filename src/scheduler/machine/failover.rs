//! Failover of attempts that wait at an unreachable target.

use crate::scheduler::fleet::TargetIx;
use crate::scheduler::{AttemptOutcome, Effect, RequestId, Scheduler};

/// Value of [`Health::failed_connections`] that confirms that a target is unreachable: two failed
/// connections in a row.
///
/// [`Health::failed_connections`]: crate::scheduler::fleet::Health::failed_connections
const CONFIRMING_FAILURES: u32 = 2;

impl Scheduler {
    /// Ends the attempts that wait for a response of a target as lost, at the moment that it is
    /// confirmed to be unreachable, so that their requests are retried elsewhere.
    pub(super) fn fail_over(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let confirmed = self
            .fleet
            .get(ix)
            .is_some_and(|t| t.health.failed_connections == CONFIRMING_FAILURES);
        if !confirmed {
            return;
        }
        for (id, attempt) in self.waiting_at(ix) {
            effects.push(Effect::Cancel { id, attempt });
            self.attempt_ended(id, attempt, &AttemptOutcome::Lost, effects);
        }
    }

    /// Attempts at a target whose requests may run again: those of idempotent requests that have no
    /// response yet or can resume it elsewhere. Sorted by request.
    fn waiting_at(&self, ix: TargetIx) -> Vec<(RequestId, u32)> {
        let repeatable = self.requests.iter();
        let repeatable = repeatable.filter(|(_, r)| {
            let waits = !r.first_token_received || r.arrival.resumable;
            r.arrival.policy.idempotent && waits
        });
        let mut waiting: Vec<_> = repeatable
            .flat_map(|(id, req)| req.attempts.iter().map(|a| (*id, *a)))
            .filter(|(_, attempt)| attempt.target == ix)
            .map(|(id, attempt)| (id, attempt.number))
            .collect();
        waiting.sort_unstable();
        waiting
    }
}
