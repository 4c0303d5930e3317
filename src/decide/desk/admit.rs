//! Arrivals and the queue.

use crate::decide::fleet::PoolIx;
use crate::decide::lane::Lane;
use crate::decide::request::{Place, Request, Timer};
use crate::decide::suspects::Standing;
use crate::decide::{Arrival, Desk, Effect, Refusal, RequestId};
use crate::prelude::*;

/// Lanes of one model or service kept at most, unless all are in use.
const LANES: usize = 8;
/// Requests taken out of one queue in one call at most; the rest stays due.
const AT_ONCE: usize = 4;

impl Desk {
    pub(super) fn arrive(&mut self, arrival: Arrival, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        if self.requests.contains_key(&id) {
            self.invariants.check(false, "a request id arrived twice");
            return;
        }
        if let Some(refusal) = self.refuse_at_door(&arrival) {
            effects.push(Effect::Refuse { id, refusal });
            return;
        }
        let Some(pool) = self.fleet.find_pool(&arrival.serves) else {
            let refusal = self.no_target();
            effects.push(Effect::Refuse { id, refusal });
            return;
        };
        let appointed = self.appointments.redeem(self.now, &arrival.fingerprint);
        let req = Request::new(self.now, arrival, pool);
        self.requests.insert(id, req);
        if self.serve_at_once(id, pool, effects) {
            return;
        }
        self.enqueue(id);
        self.serve(pool, effects);
        let Some(Place::Queued(lane, _)) = self.requests.get(&id).map(|r| r.place) else {
            return;
        };
        self.expire_later(id);
        if let Some(refusal) = self.refuse_queued(id, pool, lane, appointed) {
            self.refuse(id, refusal, effects);
        }
    }

    /// Places a request without queueing when nothing waits and a target has room.
    fn serve_at_once(&mut self, id: RequestId, pool: PoolIx, effects: &mut Vec<Effect>) -> bool {
        let lane = self.lane(pool, id);
        let queue = &self.lanes[pool.0][lane];
        if queue.len() > 0 || !self.fleet.any_free(pool, &queue.weights) {
            return false;
        }
        let Some(req) = self.requests.get(&id) else {
            return true;
        };
        let (class, customer) = (req.arrival.policy.class, req.arrival.customer.clone());
        let (weight, cost) = (self.share(&customer), req.cost());
        let queue = &mut self.lanes[pool.0][lane];
        queue.charge(self.now, class, &customer, weight, cost);
        self.place(id, effects);
        true
    }

    fn refuse_at_door(&mut self, arrival: &Arrival) -> Option<Refusal> {
        if self.draining {
            let retry_after = self.jittered(super::refuse::ELSEWHERE);
            return Some(Refusal::Draining { retry_after });
        }
        match self.suspects.standing(self.now, &arrival.fingerprint) {
            Standing::Quarantined(until) => Some(Refusal::Quarantined {
                retry_after: until.saturating_sub(self.now),
                run: crate::http::RunState::NotRun,
            }),
            _ => None,
        }
    }

    /// Decides whether a request that found no free target may wait.
    fn refuse_queued(
        &mut self,
        id: RequestId,
        pool: PoolIx,
        lane: usize,
        appointed: bool,
    ) -> Option<Refusal> {
        if !self.may_be_served(pool, lane) {
            return Some(self.no_target());
        }
        let req = self.requests.get(&id)?;
        let class = req.arrival.policy.class;
        let queue = &self.lanes[pool.0][lane];
        let crowded = queue.len() > self.cfg.queue
            || queue.class(class).len_of(&req.arrival.customer) > self.cfg.customer_queue;
        if crowded {
            let retry_after = self.appoint(id, pool, lane);
            return Some(Refusal::Overloaded { retry_after });
        }
        let hopeless = !appointed && !self.meets_deadline(id, pool, lane);
        hopeless.then(|| Refusal::DeadlineUnreachable {
            retry_after: self.appoint(id, pool, lane),
        })
    }

    /// Tells whether any target may yet run the requests of a lane.
    pub(super) fn may_be_served(&self, pool: PoolIx, lane: usize) -> bool {
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

    fn is_loading(&self, pool: &crate::decide::fleet::Pool, weights: &[Name]) -> bool {
        pool.groups[0].all.iter().any(|ix| {
            self.fleet.get(ix).is_some_and(|t| {
                let loading = t.load.report.loading.as_ref();
                t.health.may_recover() && loading.is_some_and(|w| weights.contains(w))
            })
        })
    }

    /// Expected time from dispatch to the first token; at most half of what the policy allows, since
    /// an answer that is not streamed shows its first token only with its end.
    pub(super) fn expected_first_token(&self, req: &Request) -> Duration {
        let unit = self.fleet.pool(req.pool).typical.get().unwrap_or_default();
        let seconds = unit * crate::decide::fleet::work_units(req.arrival.tokens);
        let expected = Duration::try_from_secs_f64(seconds).unwrap_or_default();
        expected.min(req.arrival.policy.first_token() / 2)
    }

    /// Puts a request into the queue of its lane.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let (pool, key, cost) = (req.pool, req.queue_key(), req.cost());
        let (class, customer) = (req.arrival.policy.class, req.arrival.customer.clone());
        let weight = self.share(&customer);
        let lane = self.lane(pool, id);
        let queue = &mut self.lanes[pool.0][lane];
        queue.wake(class);
        queue
            .class_mut(class)
            .push(self.now, &customer, weight, key, cost);
        if let Some(req) = self.requests.get_mut(&id) {
            req.place = Place::Queued(lane, key);
        }
        self.dirty.insert(pool);
    }

    /// Takes a request out of its queue.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Place::Queued(lane, key) = req.place else {
            return;
        };
        req.place = Place::Held;
        let queue = &mut self.lanes[req.pool.0][lane];
        let queue = queue.class_mut(req.arrival.policy.class);
        let held = queue.remove(&req.arrival.customer, key);
        self.invariants
            .check(held, "a queued request was not in its queue");
    }

    /// Weight of a customer in the sharing of targets.
    pub(super) fn share(&self, customer: &str) -> u32 {
        let customers = &self.catalog.declarations.customers;
        customers.get(customer).map_or(1, |c| c.share)
    }

    fn lane(&mut self, pool: PoolIx, id: RequestId) -> usize {
        if self.lanes.len() <= pool.0 {
            self.lanes.resize_with(pool.0 + 1, Vec::new);
        }
        let lanes = &mut self.lanes[pool.0];
        let weights = &self.requests[&id].arrival.weights;
        if let Some(at) = lanes.iter().position(|l| l.weights == *weights) {
            return at;
        }
        let fresh = Lane::new(weights.clone());
        let unused = lanes.iter().position(|l| l.len() == 0);
        if let Some(at) = unused.filter(|_| lanes.len() >= LANES) {
            lanes[at] = fresh;
            return at;
        }
        lanes.push(fresh);
        lanes.len() - 1
    }

    /// Serves every pool whose targets or queue changed.
    pub(super) fn serve_dirty(&mut self, effects: &mut Vec<Effect>) {
        while let Some(pool) = self.dirty.pop_first() {
            self.serve(pool, effects);
        }
    }

    fn serve(&mut self, pool: PoolIx, effects: &mut Vec<Effect>) {
        let lanes = self.lanes.get(pool.0).map_or(0, Vec::len);
        for lane in 0..lanes {
            self.serve_lane(pool, lane, effects);
        }
    }

    fn serve_lane(&mut self, pool: PoolIx, lane: usize, effects: &mut Vec<Effect>) {
        for _ in 0..AT_ONCE {
            if self.lanes[pool.0][lane].len() == 0 {
                return;
            }
            let weights = &self.lanes[pool.0][lane].weights;
            if !self.fleet.any_free(pool, weights) {
                return;
            }
            let Some((_, id)) = self.lanes[pool.0][lane].pop() else {
                return;
            };
            self.note_wait(id);
            if let Some(req) = self.requests.get_mut(&id) {
                req.place = Place::Held;
            }
            self.place(id, effects);
        }
        self.timers.insert((self.now, Timer::Serve(pool)));
    }
}
