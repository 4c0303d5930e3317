//! Ends of attempts and retries.

use crate::decide::backoff::Backoff;
use crate::decide::fleet::work_units;
use crate::decide::request::Attempt;
use crate::decide::{AttemptOutcome, Desk, Effect, RequestId};
use crate::http::RunState;
use crate::prelude::*;

/// Delay before a retry.
const RETRY: Backoff = Backoff {
    base: Duration::from_millis(20),
    cap: Duration::from_secs(2),
};
/// Time for which a target that refused is given nothing, unless it names another.
const CLOSED: Duration = Duration::from_millis(250);
/// Longest such time that a target may ask for.
const CLOSED_CAP: Duration = Duration::from_secs(30);
/// Refused attempts of one request that do not count as attempts.
const REFUSED: u32 = 4;
/// Attempts of one request that may end without being sent.
const UNSENT: u32 = 3;

impl Desk {
    pub(super) fn first_token(&mut self, id: RequestId, number: u32, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let generation = req.generation();
        let Some(attempt) = req.attempts.iter_mut().find(|a| a.number == number) else {
            return;
        };
        attempt.answered = true;
        let (target, at) = (attempt.target, attempt.at);
        let before = attempt.size;
        attempt.size.work = attempt.size.work.min(generation);
        let after = attempt.size;
        self.fleet.prompt_read(target, before, after);
        req.answered = true;
        req.run = RunState::Ran;
        let losers: SmallVec<[Attempt; 2]> = req.attempts.iter().copied().collect();
        for loser in losers.into_iter().filter(|a| a.number != number) {
            effects.push(Effect::Cancel {
                id,
                attempt: loser.number,
            });
            self.release(id, loser, false);
        }
        self.measure_first_token(id, target, at);
    }

    fn measure_first_token(
        &mut self,
        id: RequestId,
        target: crate::decide::fleet::TargetIx,
        at: Timestamp,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let seconds = self.now.saturating_sub(at).as_secs_f64().max(1e-6);
        let unit = seconds / work_units(req.arrival.tokens);
        let pool = self.fleet.pool_mut(req.pool);
        pool.add_first_token(req.arrival.policy.class, seconds);
        pool.typical.add(unit);
        if let Some(target) = self.fleet.get_mut(target) {
            target.load.add_speed(unit);
        }
        self.fleet.refresh(self.now, target);
    }

    pub(super) fn ended(
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
        req.run = run_after(req.run, outcome);
        let pool = req.pool;
        let done = *outcome == AttemptOutcome::Done;
        self.release(id, attempt, done);
        match outcome {
            AttemptOutcome::Done => self.succeeded(id, pool, attempt),
            AttemptOutcome::Cancelled => self.cancelled(id),
            _ => self.failed_attempt(id, attempt, outcome, effects),
        }
    }

    fn succeeded(&mut self, id: RequestId, pool: crate::decide::fleet::PoolIx, attempt: Attempt) {
        let seconds = self.now.saturating_sub(attempt.at).as_secs_f64();
        let pool = self.fleet.pool_mut(pool);
        pool.service.add(seconds.max(1e-6));
        pool.budget.earn();
        if let Some(target) = self.fleet.get_mut(attempt.target) {
            target.health.success();
        }
        self.leave(id);
    }

    fn cancelled(&mut self, id: RequestId) {
        let idle = self
            .requests
            .get(&id)
            .is_some_and(|r| r.attempts.is_empty());
        if idle {
            self.leave(id);
        }
    }

    fn failed_attempt(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        outcome: &AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        self.blame_target(id, attempt, outcome, effects);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !req.tried.contains(&attempt.target) {
            req.tried.push(attempt.target);
        }
        match outcome {
            AttemptOutcome::NotSent => req.unsent += 1,
            AttemptOutcome::Refused { .. } => req.refused += 1,
            _ => {}
        }
        if !req.attempts.is_empty() {
            return;
        }
        if self.may_retry(id, outcome) {
            self.retry(id, outcome, effects);
        } else {
            let run = self.requests.get(&id).map(|r| r.run);
            let refusal = self.failed(run.unwrap_or(RunState::Unknown));
            self.refuse(id, refusal, effects);
        }
    }

    fn may_retry(&mut self, id: RequestId, outcome: &AttemptOutcome) -> bool {
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let proved = req.run == RunState::NotRun;
        let repeatable = proved || req.arrival.policy.idempotent;
        let sent = req.started - req.unsent.min(req.started);
        let most = match req.arrival.attempts {
            0 => self.cfg.attempts,
            attempts => attempts + req.refused.min(REFUSED),
        };
        let few = sent < most && req.unsent <= UNSENT;
        let begun = req.answered && !req.arrival.resumable;
        if !repeatable || begun || !few || self.now >= req.deadline {
            return false;
        }
        let free = *outcome == AttemptOutcome::NotSent;
        free || self.fleet.pool_mut(req.pool).budget.take()
    }

    fn retry(&mut self, id: RequestId, outcome: &AttemptOutcome, effects: &mut Vec<Effect>) {
        if *outcome == AttemptOutcome::NotSent {
            self.requeue(id);
            return;
        }
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let delay = RETRY.delay(req.started, &mut self.rng);
        if self.now + delay >= req.deadline {
            let refusal = self.failed(req.run);
            self.refuse(id, refusal, effects);
        } else {
            self.hold(id, delay);
        }
    }

    fn blame_target(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        outcome: &AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        match outcome {
            AttemptOutcome::Refused { retry_after } => {
                let pause = retry_after.unwrap_or(CLOSED).min(CLOSED_CAP);
                self.close_target(attempt.target, pause);
                if self.cfg.ask_after_refusal {
                    self.ask_for_report(attempt.target, effects);
                }
            }
            AttemptOutcome::NotSent => self.suspect_target(attempt.target, effects),
            AttemptOutcome::Lost | AttemptOutcome::CutShort => {
                self.note_lost(id, attempt.target, effects);
            }
            _ => {}
        }
        self.count_failure(attempt.target);
    }

    fn close_target(&mut self, target: crate::decide::fleet::TargetIx, pause: Duration) {
        let until = self.now + pause;
        if let Some(target) = self.fleet.get_mut(target) {
            target.load.close(until);
        }
        self.refresh_at(target, until);
    }

    /// Has a target that refused asked for its load at once: it may be leaving.
    fn ask_for_report(
        &mut self,
        target: crate::decide::fleet::TargetIx,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(target) = self.fleet.get(target).filter(|t| t.listed) {
            effects.push(Effect::Probe {
                target: target.info.name.clone(),
                address: target.info.address,
            });
        }
    }

    pub(super) fn count_failure(&mut self, target: crate::decide::fleet::TargetIx) {
        let Some(pool) = self.fleet.get(target).map(|t| t.pool) else {
            return;
        };
        let may_eject = self.fleet.pool_mut(pool).may_eject(self.now);
        let until = self
            .fleet
            .get_mut(target)
            .and_then(|t| t.health.failure(self.now, may_eject));
        if let Some(until) = until {
            self.fleet.pool_mut(pool).eject(until, target);
            self.refresh_at(target, until);
        }
    }
}

/// What is known of a request's execution after one more attempt.
fn run_after(before: RunState, outcome: &AttemptOutcome) -> RunState {
    match outcome {
        AttemptOutcome::NotSent | AttemptOutcome::Refused { .. } => before,
        AttemptOutcome::Done | AttemptOutcome::WrongWeights | AttemptOutcome::Faulty => {
            RunState::Ran
        }
        _ if before == RunState::Ran => before,
        _ => RunState::Unknown,
    }
}
