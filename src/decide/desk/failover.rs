//! Requests that wait at a target which is confirmed to be unreachable.

use crate::decide::fleet::TargetIx;
use crate::decide::{AttemptOutcome, Desk, Effect, RequestId};

/// Failed connections in a row that confirm it.
const CONFIRMED: u32 = 2;

impl Desk {
    /// Ends the attempts that still wait at a target once, when its loss is confirmed.
    pub(super) fn fail_over(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let confirmed = self
            .fleet
            .get(ix)
            .is_some_and(|t| t.health.probes == CONFIRMED);
        if !confirmed {
            return;
        }
        for (id, attempt) in self.waiting_at(ix) {
            effects.push(Effect::Cancel { id, attempt });
            self.ended(id, attempt, &AttemptOutcome::Lost, effects);
        }
    }

    /// Attempts without an answer, in the order of their requests.
    fn waiting_at(&self, ix: TargetIx) -> Vec<(RequestId, u32)> {
        let repeatable = self.requests.iter();
        let repeatable = repeatable.filter(|(_, r)| {
            let waits = !r.answered || r.arrival.resumable;
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
