//! Admission and queueing.

use crate::prelude::*;
use crate::scheduler::fleet::PoolIx;
use crate::scheduler::lane::Lane;
use crate::scheduler::request::{Request, Stage, Timer};
use crate::scheduler::scan::Scan;
use crate::scheduler::suspect_requests::Permission;
use crate::scheduler::{Arrival, Effect, Refusal, RequestId, Scheduler};

/// Most lanes of one pool; exceeded only when all of them have requests.
const MAX_LANES: usize = 8;
/// Most requests dispatched from one lane in one call; a timer dispatches the rest.
const MAX_DISPATCHES_PER_CALL: usize = 4;

impl Scheduler {
    pub(super) fn arrive(&mut self, arrival: Arrival, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        if self.requests.contains_key(&id) {
            self.invariants.check(false, "a request id arrived twice");
            return;
        }
        if let Some(refusal) = self.refuse_on_arrival(&arrival) {
            effects.push(Effect::Refuse { id, refusal });
            return;
        }
        let Some(pool) = self.fleet.find_pool(&arrival.serves) else {
            let refusal = self.no_target_refusal();
            effects.push(Effect::Refuse { id, refusal });
            return;
        };
        let reserved = self.reservations.redeem(self.now, &arrival.fingerprint);
        let req = Request::new(self.now, arrival, pool);
        self.requests.insert(id, req);
        if self.serve_at_once(id, pool, effects) {
            return;
        }
        self.enqueue(id);
        self.wait_for_software(id);
        self.serve(pool, effects);
        let Some(Stage::Queued(lane, _)) = self.requests.get(&id).map(|r| r.stage) else {
            return;
        };
        self.set_expiry(id);
        if let Some(refusal) = self.refuse_queued(id, pool, lane, reserved) {
            self.refuse(id, refusal, effects);
        }
    }

    /// Dispatches a request without queueing when its lane is empty and it fits at a target; `false`
    /// when it has to be queued.
    fn serve_at_once(&mut self, id: RequestId, pool: PoolIx, effects: &mut Vec<Effect>) -> bool {
        let lane = self.ensure_lane(pool, id);
        let queue = &self.lanes[pool.0][lane];
        let Some(req) = self.requests.get(&id) else {
            return true;
        };
        let need = req.context_need();
        let fits = || self.fleet.any_fits(self.now, pool, &queue.weights, &need);
        if queue.len() > 0 || !fits() {
            return false;
        }
        let (class, customer) = (req.arrival.policy.class, req.arrival.customer.clone());
        let (weight, cost) = (self.customer_weight(&customer), req.cost());
        let queue = &mut self.lanes[pool.0][lane];
        queue.charge(self.now, class, &customer, weight, cost);
        self.place_request(id, effects);
        true
    }

    fn refuse_on_arrival(&mut self, arrival: &Arrival) -> Option<Refusal> {
        if self.draining {
            let retry_after = self.jittered(super::refuse::DRAIN_RETRY_PAUSE);
            return Some(Refusal::Draining { retry_after });
        }
        match self.suspects.permission(self.now, &arrival.fingerprint) {
            Permission::Quarantined(until) => Some(Refusal::Quarantined {
                retry_after: until.saturating_sub(self.now),
                run: crate::http::RunState::NotRun,
            }),
            _ => None,
        }
    }

    /// Decides whether a request that found no target with room may stay queued.
    fn refuse_queued(
        &mut self,
        id: RequestId,
        pool: PoolIx,
        lane: usize,
        reserved: bool,
    ) -> Option<Refusal> {
        if !self.is_servable(pool, lane) {
            return Some(self.no_target_refusal());
        }
        let req = self.requests.get(&id)?;
        if !self.has_software_for(req) {
            return Some(self.no_target_refusal());
        }
        let req = self.requests.get(&id)?;
        let class = req.arrival.policy.class;
        let queue = &self.lanes[pool.0][lane];
        let full = queue.len() > self.cfg.max_queued
            || queue.class(class).len_of(&req.arrival.customer) > self.cfg.max_queued_per_customer;
        if full {
            let retry_after = self.reserve_retry(id, pool, lane);
            return Some(Refusal::Overloaded { retry_after });
        }
        if let Some(refusal) = self.paused_refusal(id, pool, lane) {
            return Some(refusal);
        }
        let too_late = !reserved && !self.meets_deadline(id, pool, lane);
        too_late.then(|| Refusal::DeadlineUnreachable {
            retry_after: self.reserve_retry(id, pool, lane),
        })
    }

    /// Whether any target can run the requests of a lane, now or once it has recovered or loaded
    /// their weights.
    pub(super) fn is_servable(&self, pool: PoolIx, lane: usize) -> bool {
        let weights = &self.lanes[pool.0][lane].weights;
        let pool = self.fleet.pool(pool);
        let recovers = |ix| {
            let target = self.fleet.get(ix);
            target.is_some_and(|t| t.health.may_recover())
        };
        if weights.is_empty() {
            return pool.groups[0].all.iter().any(recovers);
        }
        let mut groups = weights.iter().filter_map(|w| pool.group(w));
        groups.any(|g| g.all.iter().any(recovers)) || self.is_loading(pool, weights)
    }

    /// Whether a target is loading one of these weight versions.
    fn is_loading(&self, pool: &crate::scheduler::fleet::Pool, weights: &[Name]) -> bool {
        pool.groups[0].all.iter().any(|ix| {
            self.fleet.get(ix).is_some_and(|t| {
                let loading = t.load.report.loading.as_ref();
                t.health.may_recover() && loading.is_some_and(|w| weights.contains(w))
            })
        })
    }

    /// Expected time from dispatch to the first token. At most half of what the policy allows: the
    /// first token of a response that is not streamed only shows at its end, which would make the
    /// estimate far too long.
    pub(super) fn expected_first_token(&self, req: &Request) -> Duration {
        let unit_seconds = self
            .fleet
            .pool(req.pool)
            .typical_unit_seconds
            .get()
            .unwrap_or_default();
        let seconds = unit_seconds * crate::scheduler::fleet::work_units(req.arrival.prompt_tokens);
        let expected = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        expected.min(req.arrival.policy.first_token() / 2)
    }

    /// Adds a request to the queue of its lane.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let (pool, key, cost) = (req.pool, req.queue_key(), req.cost());
        let (class, customer) = (req.arrival.policy.class, req.arrival.customer.clone());
        let weight = self.customer_weight(&customer);
        let lane = self.ensure_lane(pool, id);
        let queue = &mut self.lanes[pool.0][lane];
        queue.activate(class);
        queue
            .class_mut(class)
            .push(self.now, &customer, weight, key, cost);
        if let Some(req) = self.requests.get_mut(&id) {
            req.stage = Stage::Queued(lane, key);
        }
        self.dirty_pools.insert(pool);
    }

    /// All queued requests in a fixed order, with their pools and lanes.
    pub(super) fn queued_requests(&self) -> Vec<(RequestId, PoolIx, usize)> {
        let queued = self.requests.iter().filter_map(|(id, r)| match r.stage {
            Stage::Queued(lane, _) => Some((*id, r.pool, lane)),
            _ => None,
        });
        let mut queued: Vec<_> = queued.collect();
        queued.sort_unstable();
        queued
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Queued(lane, key) = req.stage else {
            return;
        };
        req.stage = Stage::Delayed;
        let queue = &mut self.lanes[req.pool.0][lane];
        let queue = queue.class_mut(req.arrival.policy.class);
        let was_queued = queue.remove(&req.arrival.customer, key);
        self.invariants
            .check(was_queued, "a queued request was not in its queue");
    }

    /// Weight of a customer in the sharing of targets.
    pub(super) fn customer_weight(&self, customer: &str) -> u32 {
        let customers = &self.catalog.declarations.customers;
        customers.get(customer).map_or(1, |c| c.share)
    }

    fn ensure_lane(&mut self, pool: PoolIx, id: RequestId) -> usize {
        if self.lanes.len() <= pool.0 {
            self.lanes.resize_with(pool.0 + 1, Vec::new);
        }
        let lanes = &mut self.lanes[pool.0];
        let weights = &self.requests[&id].arrival.weights;
        if let Some(at) = lanes.iter().position(|l| l.weights == *weights) {
            return at;
        }
        let new_lane = Lane::new(weights.clone());
        let unused = lanes.iter().position(|l| l.len() == 0);
        if let Some(at) = unused.filter(|_| lanes.len() >= MAX_LANES) {
            lanes[at] = new_lane;
            return at;
        }
        lanes.push(new_lane);
        lanes.len() - 1
    }

    /// Dispatches queued requests of every pool whose targets or queues changed.
    pub(super) fn serve_dirty(&mut self, effects: &mut Vec<Effect>) {
        while let Some(pool) = self.dirty_pools.pop_first() {
            self.serve(pool, effects);
        }
    }

    fn serve(&mut self, pool: PoolIx, effects: &mut Vec<Effect>) {
        self.serve_resumed(pool, effects);
        self.serve_held(pool, effects);
        let lanes = self.lanes.get(pool.0).map_or(0, Vec::len);
        for lane in 0..lanes {
            self.serve_lane(pool, lane, effects);
        }
    }

    /// Removes the next request of a lane that fits at a target, and keeps room for those that were
    /// passed over.
    fn next_fitting(&mut self, pool: PoolIx, lane: usize) -> Option<RequestId> {
        let (now, fleet, requests) = (self.now, &self.fleet, &self.requests);
        let most_free = fleet.most_free_context(now, pool);
        let fits = |id: RequestId| {
            let Some(req) = requests.get(&id) else {
                return true;
            };
            let need = req.context_need();
            let least = u64::from(need.tokens.saturating_sub(need.shared_tokens));
            least <= most_free && fleet.any_fits(now, pool, &req.arrival.weights, &need)
        };
        let mut scan = Scan::new(&fits);
        let next = self.lanes[pool.0][lane].pop(now, &mut scan);
        let passed_over = scan.passed_over;
        self.hold_room(pool, &passed_over);
        next.map(|(_, id)| id)
    }

    fn serve_lane(&mut self, pool: PoolIx, lane: usize, effects: &mut Vec<Effect>) {
        for _ in 0..MAX_DISPATCHES_PER_CALL {
            if self.lanes[pool.0][lane].len() == 0 {
                return;
            }
            let weights = &self.lanes[pool.0][lane].weights;
            if !self.fleet.any_free(pool, weights) {
                return;
            }
            let Some(id) = self.next_fitting(pool, lane) else {
                return;
            };
            self.record_wait(id);
            if let Some(req) = self.requests.get_mut(&id) {
                req.stage = Stage::Delayed;
            }
            self.place_request(id, effects);
        }
        self.timers.insert((self.now, Timer::Serve(pool)));
    }
}
