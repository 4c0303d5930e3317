//! Requests that go on with a stream and wait for a target of its software version.

use crate::scheduler::fleet::PoolIx;
use crate::scheduler::request::Stage;
use crate::scheduler::suspect_requests::Permission;
use crate::scheduler::{Effect, RequestId, Scheduler};

/// Most of these requests that are tried in one call.
const MAX_TRIES_PER_CALL: usize = 8;

impl Scheduler {
    /// Lets a request that requires a software version be tried before the others in the queues:
    /// those may run at any target, this one only at a few.
    pub(super) fn wait_for_software(&mut self, id: RequestId) {
        if let Some(req) = self.requests.get(&id)
            && req.arrival.software.is_some()
        {
            self.resumed_waiting.insert((req.pool, id));
        }
    }

    /// Dispatches the requests that wait for a software version, as far as its targets have room.
    pub(super) fn serve_resumed(&mut self, pool: PoolIx, effects: &mut Vec<Effect>) {
        let range = (pool, RequestId(0))..=(pool, RequestId(u64::MAX));
        let waiting = self.resumed_waiting.range(range).take(MAX_TRIES_PER_CALL);
        let waiting: Vec<RequestId> = waiting.map(|(_, id)| *id).collect();
        for id in waiting {
            let Some(req) = self.requests.get(&id).filter(|r| r.stage != Stage::Running) else {
                self.resumed_waiting.remove(&(pool, id));
                continue;
            };
            let permission = self.suspects.permission(self.now, &req.arrival.fingerprint);
            if permission != Permission::Anywhere || self.now >= self.latest_dispatch(req) {
                continue;
            }
            if let Some((target, weights)) = self.select(id, &permission) {
                self.resumed_waiting.remove(&(pool, id));
                self.record_wait(id);
                self.dequeue(id);
                self.start_attempt(id, target, weights, false, effects);
            }
        }
    }
}
