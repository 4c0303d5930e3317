//! Placing requests on targets.

use crate::decide::fleet::{Isolation, Size, TargetIx, Wish};
use crate::decide::request::{Attempt, Place, Request, Timer, word};
use crate::decide::suspects::Standing;
use crate::decide::{Desk, Effect, Refusal, RequestId};
use crate::prelude::*;

/// Pause before a held request is looked at again.
const HELD: Duration = Duration::from_millis(20);

impl Desk {
    /// Dispatches a request that left the queue, holds it back, or refuses it.
    pub(super) fn place(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if self.now >= self.latest_dispatch(req) {
            let refusal = self.too_late(id);
            self.refuse(id, refusal, effects);
            return;
        }
        let fingerprint = req.arrival.fingerprint;
        let standing = self.suspects.standing(self.now, &fingerprint);
        if let Standing::Quarantined(until) = standing {
            self.refuse_quarantined(id, until, effects);
            return;
        }
        match self.choose(id, &standing) {
            Some((target, weights)) => self.start(id, target, weights, false, effects),
            None => self.hold(id, HELD),
        }
    }

    /// Time from which dispatching a request that had to wait is of no use.
    pub(super) fn latest_dispatch(&self, req: &Request) -> Timestamp {
        if self.now == req.arrived {
            return req.deadline;
        }
        req.deadline.saturating_sub(self.expected_first_token(req))
    }

    /// Chooses a target with room that the request's standing allows.
    pub(super) fn choose(
        &mut self,
        id: RequestId,
        standing: &Standing,
    ) -> Option<(TargetIx, Name)> {
        let req = self.requests.get(&id)?;
        let mut only: &[TargetIx] = &[];
        let mut isolate = None;
        match standing {
            Standing::Wait | Standing::Quarantined(_) => return None,
            Standing::Clear => {}
            Standing::Only(targets) => only = targets,
            Standing::Isolated(victims) => {
                let key = word(&req.arrival.fingerprint);
                isolate = Some(Isolation { key, victims });
            }
        }
        let wish = Wish {
            key: word(&req.arrival.affinity),
            has_prefix: req.has_prefix(),
            shared_tokens: req.arrival.shared_tokens,
            kept_tokens: &req.arrival.kept_tokens,
            kept_domain: req.arrival.kept_domain.as_ref(),
            avoid: &req.tried,
            only,
            isolate,
        };
        let weights = &req.arrival.weights;
        self.fleet
            .choose(self.now, req.pool, weights, &wish, &mut self.rng)
    }

    /// Keeps a request out of the queue for a while.
    pub(super) fn hold(&mut self, id: RequestId, pause: Duration) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.place = Place::Held;
        let at = (self.now + pause).min(req.deadline);
        self.timers.insert((at, Timer::Retry(id)));
    }

    /// Starts an attempt.
    pub(super) fn start(
        &mut self,
        id: RequestId,
        target: TargetIx,
        weights: Name,
        hedge: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.check_dispatch(id, target);
        self.expire_never(id);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let fingerprint = req.arrival.fingerprint;
        let suspected = self.suspects.is_suspected(&fingerprint);
        let read = self.fleet.tokens_to_read(target, &weights, &req.arrival);
        let size = req.size(read);
        req.started += 1;
        req.place = Place::Running;
        req.attempts.push(Attempt {
            number: req.started,
            target,
            at: self.now,
            answered: false,
            suspected,
            size,
        });
        let (attempt, pool) = (req.started, req.pool);
        let class = req.arrival.policy.class;
        let may_hedge = self.cfg.hedges && req.arrival.policy.idempotent && !hedge && !suspected;
        self.occupy(&fingerprint, target, suspected, size);
        if may_hedge && let Some(after) = self.fleet.pool(pool).hedge_after(class) {
            self.timers.insert((self.now + after, Timer::Hedge(id)));
        }
        self.push_dispatch(id, attempt, target, weights, hedge, effects);
    }

    fn check_dispatch(&mut self, id: RequestId, target: TargetIx) {
        let takes_work = self
            .fleet
            .get(target)
            .is_some_and(|t| t.takes_work(self.now));
        self.invariants
            .check(takes_work, "placed on a target that takes no work");
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let once = req.arrival.policy.idempotent
            || (req.attempts.is_empty() && req.run == crate::http::RunState::NotRun);
        self.invariants
            .check(once, "a non-idempotent request was dispatched twice");
    }

    fn occupy(
        &mut self,
        fingerprint: &crate::prefix_keys::BlockKey,
        target: TargetIx,
        suspected: bool,
        size: Size,
    ) {
        self.suspects.begin(fingerprint, target);
        if suspected && let Some(t) = self.fleet.get_mut(target) {
            t.suspects += 1;
        }
        self.fleet.take_slot(self.now, target, size);
    }

    fn push_dispatch(
        &self,
        id: RequestId,
        attempt: u32,
        target: TargetIx,
        weights: Name,
        hedge: bool,
        effects: &mut Vec<Effect>,
    ) {
        let home = self.requests.get(&id).and_then(|req| {
            let key = word(&req.arrival.affinity);
            self.fleet.home(self.now, req.pool, key, &weights)
        });
        let neighbour = home.filter(|(ix, _)| *ix != target);
        let belief = self
            .fleet
            .belief(self.now, target, neighbour.map(|(ix, _)| ix));
        let Some(target) = self.fleet.get(target) else {
            return;
        };
        effects.push(Effect::Dispatch {
            neighbour: neighbour.map(|(_, address)| address),
            belief,
            id,
            attempt,
            target: target.info.name.clone(),
            address: target.info.address,
            weights,
            hedge,
        });
    }

    /// Ends an attempt's hold on its target.
    pub(super) fn release(&mut self, id: RequestId, attempt: Attempt, done: bool) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.attempts.retain(|a| a.number != attempt.number);
        let (pool, fingerprint) = (req.pool, req.arrival.fingerprint);
        self.suspects.end(&fingerprint, attempt.target, done);
        if attempt.suspected
            && let Some(t) = self.fleet.get_mut(attempt.target)
        {
            t.suspects = t.suspects.saturating_sub(1);
        }
        let held = self.fleet.free_slot(self.now, attempt.target, attempt.size);
        self.invariants
            .check(held, "a slot was freed that was not taken");
        self.dirty.insert(pool);
    }

    /// Checks the target of a claimed request once more, just before it is sent.
    pub(super) fn confirm(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = req.attempts.last().copied() else {
            return;
        };
        if self.now >= req.deadline {
            let refusal = self.too_late(id);
            self.refuse(id, refusal, effects);
            return;
        }
        let standing = self.suspects.standing(self.now, &req.arrival.fingerprint);
        if let Standing::Quarantined(until) = standing {
            self.refuse_quarantined(id, until, effects);
            return;
        }
        let usable = self.fleet.get(attempt.target);
        let moved = self.suspects.is_suspected(&req.arrival.fingerprint) && !attempt.suspected;
        let usable = usable.filter(|t| t.takes_work(self.now) && !moved);
        let weights = req.arrival.weights.iter();
        let kept = usable.and_then(|t| {
            let plain = req.arrival.weights.is_empty().then(Name::default);
            plain.or_else(|| weights.clone().find(|w| t.has_weights(w)).cloned())
        });
        if let Some(weights) = kept {
            self.restamp(id, attempt.number);
            self.push_dispatch(id, attempt.number, attempt.target, weights, false, effects);
        } else {
            self.move_claimed(id, attempt, effects);
        }
    }

    fn restamp(&mut self, id: RequestId, number: u32) {
        let now = self.now;
        if let Some(req) = self.requests.get_mut(&id) {
            for attempt in req.attempts.iter_mut().filter(|a| a.number == number) {
                attempt.at = now;
            }
        }
    }

    /// Moves a claimed request to another target under the same attempt number.
    fn move_claimed(&mut self, id: RequestId, attempt: Attempt, effects: &mut Vec<Effect>) {
        self.release(id, attempt, false);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.started -= 1;
        let (pool, key) = (req.pool, word(&req.arrival.affinity));
        let weights = req.arrival.weights.clone();
        let standing = self.suspects.standing(self.now, &req.arrival.fingerprint);
        let chosen = self.choose(id, &standing);
        let crowd = chosen.is_none() && standing == Standing::Clear;
        let chosen = chosen.or_else(|| {
            let crowded = || self.fleet.choose_crowded(self.now, pool, &weights, key);
            crowd.then(crowded).flatten()
        });
        if let Some((target, weights)) = chosen {
            self.start(id, target, weights, false, effects);
        } else {
            let refusal = self.no_target();
            self.refuse(id, refusal, effects);
        }
    }

    fn refuse_quarantined(&mut self, id: RequestId, until: Timestamp, effects: &mut Vec<Effect>) {
        let retry_after = until.saturating_sub(self.now);
        let run = self.requests.get(&id).map(|r| r.run);
        let run = run.unwrap_or(crate::http::RunState::Unknown);
        self.refuse(id, Refusal::Quarantined { retry_after, run }, effects);
    }
}
