//! Evacuations of failure domains: their targets get no new work, and what they run goes on.

use std::collections::BTreeSet;

use crate::prelude::*;
use crate::scheduler::request::{Request, Stage};
use crate::scheduler::{Effect, RequestId, Scheduler};

impl Scheduler {
    pub(super) fn apply_evacuations(&mut self, domains: BTreeSet<Name>, effects: &mut Vec<Effect>) {
        for domain in self.fleet.set_evacuated(self.now, domains) {
            self.return_to_use(&domain);
        }
        self.mark_all_dirty();
        self.refuse_evacuated(effects);
        self.refuse_paused(effects);
    }

    /// Puts the targets of a failure domain into use again after its evacuation. Their slots are
    /// opened gradually, since all entries find them idle at once, and they may have become cold.
    fn return_to_use(&mut self, domain: &Name) {
        for ix in self.fleet.targets_in(domain) {
            if let Some(target) = self.fleet.get_mut(ix) {
                target.load.start_ramp_up(self.now);
            }
            self.schedule_ramp_step(ix);
            self.fleet.refresh(self.now, ix);
            // Probes may have failed only because peers open no relays to an evacuated domain.
            if self.fleet.get(ix).is_some_and(|t| t.health.unreachable) {
                self.schedule_probe(ix, Duration::ZERO);
            }
        }
        self.warm_up_domain(domain);
    }

    /// Refuses the waiting requests that no remaining target can run. The others stay queued.
    fn refuse_evacuated(&mut self, effects: &mut Vec<Effect>) {
        let waits = |r: &Request| {
            r.attempts.is_empty() && matches!(r.stage, Stage::Queued(..) | Stage::Delayed)
        };
        let waiting = self.requests.iter().filter(|(_, r)| waits(r));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let Some(req) = self.requests.get(&id) else {
                continue;
            };
            let pool = req.pool;
            let Some(lane) = self.find_lane(id, pool) else {
                continue;
            };
            if !self.is_servable(pool, lane) || !self.has_software_for(req) {
                let refusal = self.unservable_refusal(pool);
                self.refuse(id, refusal, effects);
            }
        }
    }
}
