//! First tokens and ends of attempts, and retries.

use crate::http::RunState;
use crate::prelude::*;
use crate::scheduler::backoff::Backoff;
use crate::scheduler::fleet::work_units;
use crate::scheduler::request::Attempt;
use crate::scheduler::{AttemptOutcome, Effect, RequestId, Scheduler};

/// Backoff before a retry.
const RETRY_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(20),
    cap: Duration::from_secs(2),
};
/// Time without new work for a target that refused a request, unless it asks for another.
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest time without new work that a target may ask for; a longer one is taken to be a mistake.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_hours(1);
/// Most refused attempts of one request that do not count against its [`Arrival::max_attempts`].
///
/// [`Arrival::max_attempts`]: crate::scheduler::Arrival::max_attempts
const MAX_UNCOUNTED_REFUSALS: u32 = 4;
/// Number of attempts that ended before a byte was sent up to which a request is retried.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

impl Scheduler {
    pub(super) fn first_token(&mut self, id: RequestId, number: u32, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let generation = req.generation();
        let Some(attempt) = req.attempts.iter_mut().find(|a| a.number == number) else {
            return;
        };
        attempt.first_token_received = true;
        let (target, started) = (attempt.target, *attempt);
        let before = attempt.size;
        attempt.size.work = attempt.size.work.min(generation);
        let after = attempt.size;
        self.fleet.prompt_read(target, before, after);
        req.first_token_received = true;
        if req.arrival.resumable {
            let began_at = self.fleet.get(target).map(|t| t.info.software.clone());
            req.arrival.software = req.arrival.software.take().or(began_at);
        }
        req.run_state = RunState::Ran;
        let losers: SmallVec<[Attempt; 2]> = req.attempts.iter().copied().collect();
        for loser in losers.into_iter().filter(|a| a.number != number) {
            effects.push(Effect::Cancel {
                id,
                attempt: loser.number,
            });
            self.release_attempt(id, loser, false);
        }
        self.measure_first_token(id, started);
    }

    fn measure_first_token(&mut self, id: RequestId, attempt: Attempt) {
        let target = attempt.target;
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let seconds = self.now.saturating_sub(attempt.started_at);
        let seconds = seconds.as_secs_f64().max(1e-6);
        let unit_seconds = seconds / work_units(req.arrival.prompt_tokens);
        let pool = self.fleet.pool_mut(req.pool);
        pool.add_first_token(req.arrival.policy.class, seconds);
        pool.typical_unit_seconds.add(unit_seconds);
        if let Some(target) = self.fleet.get_mut(target) {
            target.load.add_unit_seconds(unit_seconds);
        }
        let work = attempt.queued_work;
        self.fleet.record_speed(self.now, target, seconds, work);
        self.fleet.refresh(self.now, target);
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: &AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = req.attempt(number) else {
            return;
        };
        req.run_state = outcome.run_state_after(req.run_state);
        let pool = req.pool;
        let done = *outcome == AttemptOutcome::Done;
        self.release_attempt(id, attempt, done);
        match outcome {
            AttemptOutcome::Done => self.attempt_succeeded(id, pool, attempt),
            AttemptOutcome::Cancelled => self.attempt_cancelled(id),
            _ => self.attempt_failed(id, attempt, outcome, effects),
        }
    }

    fn attempt_succeeded(
        &mut self,
        id: RequestId,
        pool: crate::scheduler::fleet::PoolIx,
        attempt: Attempt,
    ) {
        let seconds = self.now.saturating_sub(attempt.started_at).as_secs_f64();
        let pool = self.fleet.pool_mut(pool);
        pool.service_seconds.add(seconds.max(1e-6));
        pool.budget.earn();
        if let Some(target) = self.fleet.get_mut(attempt.target) {
            target.health.record_success();
        }
        self.remove_request(id);
    }

    fn attempt_cancelled(&mut self, id: RequestId) {
        let idle = self
            .requests
            .get(&id)
            .is_some_and(|r| r.attempts.is_empty());
        if idle {
            self.remove_request(id);
        }
    }

    fn attempt_failed(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        outcome: &AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.record_target_failure(id, attempt, outcome, effects);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !req.tried.contains(&attempt.target) {
            req.tried.push(attempt.target);
        }
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Withheld => req.attempts_unsent += 1,
            AttemptOutcome::Refused { .. } => req.attempts_refused += 1,
            _ => {}
        }
        if !req.attempts.is_empty() {
            return;
        }
        if self.may_retry(id, outcome) {
            self.retry(id, outcome, effects);
        } else {
            let run = self.requests.get(&id).map(|r| r.run_state);
            let refusal = self.failed_refusal(run.unwrap_or(RunState::Unknown));
            self.refuse(id, refusal, effects);
        }
    }

    fn may_retry(&mut self, id: RequestId, outcome: &AttemptOutcome) -> bool {
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let not_run = req.run_state == RunState::NotRun;
        let repeatable = not_run || req.arrival.policy.idempotent;
        let sent = req.attempts_started - req.attempts_unsent.min(req.attempts_started);
        let max_attempts = match req.arrival.max_attempts {
            0 => self.cfg.max_attempts,
            attempts => attempts + req.attempts_refused.min(MAX_UNCOUNTED_REFUSALS),
        };
        let attempts_left = sent < max_attempts && req.attempts_unsent <= MAX_UNSENT_ATTEMPTS;
        let response_begun = req.first_token_received && !req.arrival.resumable;
        if !repeatable || response_begun || !attempts_left || self.now >= req.deadline {
            return false;
        }
        let unsent = outcome.is_unsent();
        unsent || self.fleet.pool_mut(req.pool).budget.take()
    }

    fn retry(&mut self, id: RequestId, outcome: &AttemptOutcome, effects: &mut Vec<Effect>) {
        if outcome.is_unsent() {
            self.requeue(id);
            return;
        }
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let delay = RETRY_BACKOFF.full_jitter(req.attempts_started, &mut self.rng);
        if self.now + delay >= req.deadline {
            let refusal = self.failed_refusal(req.run_state);
            self.refuse(id, refusal, effects);
        } else {
            self.delay_request(id, delay);
        }
    }

    fn record_target_failure(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        outcome: &AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            AttemptOutcome::Refused { retry_after } => {
                let pause = retry_after.unwrap_or(REFUSAL_PAUSE);
                self.pause_target(attempt.target, pause, effects);
                if self.cfg.probe_after_refusal {
                    self.probe_for_report(attempt.target, effects);
                }
            }
            AttemptOutcome::NotSent => self.suspend_until_probed(attempt.target, effects),
            AttemptOutcome::Lost | AttemptOutcome::CutShort => {
                self.record_lost(id, attempt, effects);
            }
            AttemptOutcome::Withheld | AttemptOutcome::PathLost => return,
            _ => {}
        }
        self.count_failure(attempt.target);
    }

    /// Gives a target no new work for a time, and refuses the requests that cannot wait for it.
    pub(super) fn pause_target(
        &mut self,
        target: crate::scheduler::fleet::TargetIx,
        pause: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let until = self.now + pause.min(MAX_REFUSAL_PAUSE);
        self.fleet.pause(self.now, target, until);
        self.refresh_at(target, until);
        self.refuse_paused(effects);
    }

    /// Has a target that refused a request probed for its load at once, since it may be leaving.
    fn probe_for_report(
        &mut self,
        target: crate::scheduler::fleet::TargetIx,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(target) = self.fleet.get(target).filter(|t| t.listed) {
            effects.push(Effect::Probe {
                target: target.info.name.clone(),
                address: target.info.address,
            });
        }
    }

    pub(super) fn count_failure(&mut self, target: crate::scheduler::fleet::TargetIx) {
        let Some(pool) = self.fleet.get(target).map(|t| t.pool) else {
            return;
        };
        let may_eject = self.fleet.pool_mut(pool).may_eject(self.now);
        let until = self
            .fleet
            .get_mut(target)
            .and_then(|t| t.health.record_failure(self.now, may_eject));
        if let Some(until) = until {
            self.fleet.pool_mut(pool).record_ejection(until, target);
            self.refresh_at(target, until);
        }
    }
}
