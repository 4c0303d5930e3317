//! Placement and dispatch of requests to targets.

use crate::prelude::*;
use crate::scheduler::fleet::{AttemptSize, Isolation, PlacementQuery, TargetIx};
use crate::scheduler::request::{Attempt, Request, Stage, Timer, key_hash};
use crate::scheduler::suspect_requests::Permission;
use crate::scheduler::{Effect, Refusal, RequestId, Scheduler};

/// Delay before another try to place a request when no target that it may run on has room.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Where an attempt is sent.
struct DispatchTo {
    target: TargetIx,
    /// Weight version to run.
    weights: Name,
    /// Another target that is more likely to have the start of the prompt cached.
    neighbour: Option<(TargetIx, std::net::SocketAddr)>,
}

impl Scheduler {
    /// Dispatches a request that is not queued, delays it, or refuses it.
    pub(super) fn place_request(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if self.now >= self.latest_dispatch(req) {
            let refusal = self.deadline_refusal(id);
            self.refuse(id, refusal, effects);
            return;
        }
        if !self.has_software_for(req) {
            let refusal = self.no_target_refusal();
            self.refuse(id, refusal, effects);
            return;
        }
        let fingerprint = req.arrival.fingerprint;
        let permission = self.suspects.permission(self.now, &fingerprint);
        if let Permission::Quarantined(until) = permission {
            self.refuse_quarantined(id, until, effects);
            return;
        }
        if let Some((target, weights)) = self.select(id, &permission) {
            self.start_attempt(id, target, weights, false, effects);
        } else {
            self.delay_request(id, PLACEMENT_RETRY_DELAY);
            self.wait_for_software(id);
        }
    }

    /// Time from which a request that had to wait is not dispatched any more, since its first token
    /// would miss the deadline. For one that has just arrived it is the deadline itself.
    pub(super) fn latest_dispatch(&self, req: &Request) -> Timestamp {
        if self.now == req.arrived {
            return req.deadline;
        }
        req.deadline.saturating_sub(self.expected_first_token(req))
    }

    /// Selects a target with room that `permission` allows.
    pub(super) fn select(
        &mut self,
        id: RequestId,
        permission: &Permission,
    ) -> Option<(TargetIx, Name)> {
        let req = self.requests.get(&id)?;
        let mut only: &[TargetIx] = &[];
        let mut isolate = None;
        match permission {
            Permission::Wait | Permission::Quarantined(_) => return None,
            Permission::Anywhere => {}
            Permission::OnlyOn(targets) => only = targets,
            Permission::Alone(victims) => {
                let key = key_hash(&req.arrival.fingerprint);
                isolate = Some(Isolation { key, victims });
            }
        }
        let query = PlacementQuery {
            only,
            isolate,
            ..PlacementQuery::new(req)
        };
        let weights = &req.arrival.weights;
        self.fleet
            .select_target(self.now, req.pool, weights, &query, &mut self.rng)
    }

    /// Whether any target may run a request that goes on with a stream; true for all others.
    pub(super) fn has_software_for(&self, req: &Request) -> bool {
        let required = req.arrival.software.as_ref();
        required.is_none_or(|software| self.fleet.has_software(req.pool, software))
    }

    /// Keeps a request out of the queue for `pause`.
    pub(super) fn delay_request(&mut self, id: RequestId, pause: Duration) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.stage = Stage::Delayed;
        let at = (self.now + pause).min(req.deadline);
        self.timers.insert((at, Timer::Retry(id)));
    }

    /// Counts a new attempt as load of its target, sets the timer of its hedge, and dispatches it.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        target: TargetIx,
        weights: Name,
        hedge: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.check_dispatch(id, target);
        self.cancel_expiry(id);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let fingerprint = req.arrival.fingerprint;
        let suspected = self.suspects.is_suspected(&fingerprint);
        let read = self.fleet.tokens_to_read(target, &weights, &req.arrival);
        let need = req.context_need();
        let size = AttemptSize {
            shared: self.fleet.shared_prefix(target, &need),
            ..req.size(read)
        };
        let target_load = self.fleet.get(target).map(|t| &t.load);
        let ahead = target_load.map_or(0, |load| load.queued_work(self.now));
        req.attempts_started += 1;
        req.stage = Stage::Running;
        req.attempts.push(Attempt {
            number: req.attempts_started,
            target,
            started_at: self.now,
            first_token_received: false,
            suspected,
            queued_work: ahead.saturating_add(size.work),
            size,
        });
        let (attempt, pool) = (req.attempts_started, req.pool);
        let neighbour = self
            .fleet
            .neighbour(self.now, pool, need.key, &weights, target);
        self.fleet
            .record_prefix(target, need.key, need.shared_tokens);
        self.release_hold(id, pool);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let class = req.arrival.policy.class;
        let may_hedge = self.cfg.hedging && req.arrival.policy.idempotent && !hedge && !suspected;
        self.take_slot(&fingerprint, target, suspected, size);
        if may_hedge && let Some(after) = self.fleet.pool(pool).hedge_after(class) {
            self.timers.insert((self.now + after, Timer::Hedge(id)));
        }
        let dispatch = DispatchTo {
            target,
            weights,
            neighbour,
        };
        self.push_dispatch(id, attempt, dispatch, hedge, effects);
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
        let may_dispatch = req.arrival.policy.idempotent
            || (req.attempts.is_empty() && req.run_state == crate::http::RunState::NotRun);
        self.invariants.check(
            may_dispatch,
            "a non-idempotent request was dispatched twice",
        );
    }

    fn take_slot(
        &mut self,
        fingerprint: &crate::prefix_keys::BlockKey,
        target: TargetIx,
        suspected: bool,
        size: AttemptSize,
    ) {
        self.suspects.attempt_started(fingerprint, target);
        if suspected && let Some(t) = self.fleet.get_mut(target) {
            t.suspected_requests += 1;
        }
        self.fleet.take_slot(self.now, target, size);
        self.schedule_share_refresh(target);
    }

    fn push_dispatch(
        &self,
        id: RequestId,
        attempt: u32,
        to: DispatchTo,
        hedge: bool,
        effects: &mut Vec<Effect>,
    ) {
        let DispatchTo {
            target,
            weights,
            neighbour,
        } = to;
        let estimate = self
            .fleet
            .load_estimate(self.now, target, neighbour.map(|(ix, _)| ix));
        let Some(target) = self.fleet.get(target) else {
            return;
        };
        effects.push(Effect::Dispatch {
            neighbour: neighbour.map(|(_, address)| address),
            estimate,
            id,
            attempt,
            target: target.info.name.clone(),
            address: target.info.address,
            weights,
            hedge,
            within_limit: target.rate_share.is_some(),
            software: target.info.software.clone(),
        });
    }

    /// Removes an attempt from its request and from the load of its target.
    pub(super) fn release_attempt(&mut self, id: RequestId, attempt: Attempt, done: bool) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.attempts.retain(|a| a.number != attempt.number);
        let (pool, fingerprint) = (req.pool, req.arrival.fingerprint);
        self.suspects
            .attempt_ended(&fingerprint, attempt.target, done);
        if attempt.suspected
            && let Some(t) = self.fleet.get_mut(attempt.target)
        {
            t.suspected_requests = t.suspected_requests.saturating_sub(1);
        }
        let was_counted = self.fleet.free_slot(self.now, attempt.target, attempt.size);
        self.invariants
            .check(was_counted, "a slot was freed that was not taken");
        self.dirty_pools.insert(pool);
    }

    /// Checks the target of a claimed request once more, just before the request is sent: it may be
    /// dispatched again, moved to another target or refused.
    pub(super) fn confirm(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = req.attempts.last().copied() else {
            return;
        };
        if self.now >= req.deadline {
            let refusal = self.deadline_refusal(id);
            self.refuse(id, refusal, effects);
            return;
        }
        let permission = self.suspects.permission(self.now, &req.arrival.fingerprint);
        if let Permission::Quarantined(until) = permission {
            self.refuse_quarantined(id, until, effects);
            return;
        }
        let usable = self.fleet.get(attempt.target);
        let newly_suspected =
            self.suspects.is_suspected(&req.arrival.fingerprint) && !attempt.suspected;
        let usable = usable.filter(|t| t.takes_work(self.now) && !newly_suspected);
        let weights = req.arrival.weights.iter();
        let weights_ready = usable.and_then(|t| {
            let plain = req.arrival.weights.is_empty().then(Name::default);
            plain.or_else(|| weights.clone().find(|w| t.has_weights(w)).cloned())
        });
        if let Some(weights) = weights_ready {
            let (pool, key) = (req.pool, key_hash(&req.arrival.affinity));
            self.reset_start(id, attempt.number);
            let target = attempt.target;
            let dispatch = DispatchTo {
                neighbour: self.fleet.neighbour(self.now, pool, key, &weights, target),
                target,
                weights,
            };
            self.push_dispatch(id, attempt.number, dispatch, false, effects);
        } else {
            self.move_claimed(id, attempt, effects);
        }
    }

    fn reset_start(&mut self, id: RequestId, number: u32) {
        let now = self.now;
        if let Some(req) = self.requests.get_mut(&id) {
            for attempt in req.attempts.iter_mut().filter(|a| a.number == number) {
                attempt.started_at = now;
            }
        }
    }

    /// Moves a claimed request to another target under the same attempt number. One that may run
    /// anywhere moves to a target without room when none has room.
    fn move_claimed(&mut self, id: RequestId, attempt: Attempt, effects: &mut Vec<Effect>) {
        self.release_attempt(id, attempt, false);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.attempts_started -= 1;
        let (pool, need) = (req.pool, req.context_need());
        let weights = req.arrival.weights.clone();
        let permission = self.suspects.permission(self.now, &req.arrival.fingerprint);
        let selected = self.select(id, &permission);
        let may_exceed_room = selected.is_none() && permission == Permission::Anywhere;
        let selected = selected.or_else(|| {
            let without_room = || {
                self.fleet
                    .select_ignoring_room(self.now, pool, &weights, &need)
            };
            may_exceed_room.then(without_room).flatten()
        });
        if let Some((target, weights)) = selected {
            self.start_attempt(id, target, weights, false, effects);
        } else {
            let refusal = self.no_target_refusal();
            self.refuse(id, refusal, effects);
        }
    }

    fn refuse_quarantined(&mut self, id: RequestId, until: Timestamp, effects: &mut Vec<Effect>) {
        let retry_after = until.saturating_sub(self.now);
        let run = self.requests.get(&id).map(|r| r.run_state);
        let run = run.unwrap_or(crate::http::RunState::Unknown);
        self.refuse(id, Refusal::Quarantined { retry_after, run }, effects);
    }
}
