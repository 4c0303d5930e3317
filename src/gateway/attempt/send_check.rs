//! Last check before a request is sent to its target.

use crate::gateway::attempt::Attempt;
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::caller_response::CallerResponse;

impl Attempt<'_> {
    /// Checks the deadline, the regions, the evacuations and the target's state just before the
    /// request is sent, since they may have changed while it waited.
    pub(super) fn check_send(&self, response: &CallerResponse<'_>) -> Result<(), AttemptError> {
        // The process may have been stopped while it connected, with no timer run yet.
        if self.request.time_left().is_zero() {
            return Err(AttemptError::Withheld);
        }
        let scheduler = &self.shared.scheduler;
        let allowed = self.request.allowed_targets();
        if !allowed.is_none_or(|domains| scheduler.is_allowed(&self.assignment.target, domains)) {
            return Err(AttemptError::OutsideRegions);
        }
        if !self.may_send(response) {
            return Err(self.withheld_error());
        }
        Ok(())
    }

    /// Whether the target still takes requests from this entry within its limit and its warm-up, runs
    /// a weight version on which requests may still start, and runs the software version that began
    /// the stream. Counts the request against the warm-up if no scheduler has.
    fn may_send(&self, response: &CallerResponse<'_>) -> bool {
        let prompt = self.request.head.prompt.as_ref();
        let outdated = match (prompt, self.assignment.weights) {
            (Some(prompt), Some(version)) => !self.shared.versions.permits(&prompt.model, version),
            _ => false,
        };
        let target = &self.assignment.target;
        let limits = &self.shared.limits;
        let exceeds = !self.assignment.within_limit && limits.binds_all(self.shared.now(), target);
        let software = &self.assignment.software;
        let began_at = response.software.as_ref();
        let fits = began_at.is_none_or(|began_at| !software.is_empty() && software == began_at);
        // Evaluated last, since it counts a request that no scheduler has counted.
        let is_counted =
            || self.assignment.within_warm_up || self.shared.scheduler.count_uncounted(target);
        !outdated && !exceeds && fits && self.shared.scheduler.may_send(target) && is_counted()
    }

    /// Error for a request that is not sent; counts those withheld because of an evacuation.
    fn withheld_error(&self) -> AttemptError {
        if !self.shared.scheduler.is_evacuated(&self.assignment.target) {
            return AttemptError::Withheld;
        }
        self.shared.metrics.evacuation_withheld.inc();
        AttemptError::Evacuated
    }
}
