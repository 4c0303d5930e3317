//! What is due.

use crate::decide::request::{Place, Timer};
use crate::decide::{Desk, Effect, RequestId};

/// Timers run in one call at most; the rest stays due.
const AT_ONCE: usize = 16;

impl Desk {
    pub(super) fn run_timers(&mut self, effects: &mut Vec<Effect>) {
        for _ in 0..AT_ONCE {
            let Some((at, timer)) = self.timers.first().copied() else {
                return;
            };
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Expire(id) => self.expire(id, effects),
                Timer::Retry(id) => self.retry_due(id, effects),
                Timer::Hedge(id) => self.hedge(id, effects),
                Timer::Probe(ix) => self.probe_due(ix, effects),
                Timer::Refresh(ix) => self.refresh_due(ix),
                Timer::Serve(pool) => {
                    self.dirty.insert(pool);
                }
            }
        }
    }

    fn expire(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let place = self.requests.get(&id).map(|r| r.place);
        if matches!(place, Some(Place::Queued(..) | Place::Held)) {
            let refusal = self.too_late(id);
            self.refuse(id, refusal, effects);
        }
    }

    fn retry_due(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id).filter(|r| r.place == Place::Held) else {
            return;
        };
        if self.now >= req.deadline {
            let refusal = self.too_late(id);
            self.refuse(id, refusal, effects);
            return;
        }
        self.requeue(id);
        let place = self.requests.get(&id).map(|r| (r.place, r.pool));
        if let Some((Place::Queued(lane, _), pool)) = place
            && !self.may_be_served(pool, lane)
        {
            let refusal = self.no_target();
            self.refuse(id, refusal, effects);
        }
    }

    /// Puts a request back into its queue until its deadline.
    pub(super) fn requeue(&mut self, id: RequestId) {
        self.enqueue(id);
        self.expire_later(id);
    }

    /// Sets the timer of a waiting request's deadline.
    pub(super) fn expire_later(&mut self, id: RequestId) {
        if let Some(req) = self.requests.get(&id) {
            self.timers.insert((req.deadline, Timer::Expire(id)));
        }
    }

    /// Removes the timer of a request that no longer waits.
    pub(super) fn expire_never(&mut self, id: RequestId) {
        if let Some(req) = self.requests.get(&id) {
            self.timers.remove(&(req.deadline, Timer::Expire(id)));
        }
    }

    /// Refuses at once the waiting requests that no target will run.
    pub(super) fn refuse_stranded(&mut self, effects: &mut Vec<Effect>) {
        let waiting = self.requests.iter().filter_map(|(id, r)| match r.place {
            Place::Queued(lane, _) => Some((*id, r.pool, lane)),
            _ => None,
        });
        let mut waiting: Vec<_> = waiting.collect();
        waiting.sort_unstable();
        for (id, pool, lane) in waiting {
            if !self.may_be_served(pool, lane) {
                let refusal = self.no_target();
                self.refuse(id, refusal, effects);
            }
        }
    }
}
