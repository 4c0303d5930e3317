//! What must hold for every effect of the scheduler and after every event.

use guavahold::http::RunState;
use guavahold::prelude::*;
use guavahold::scheduler::{Effect, Refusal, RequestId, SuspectRequest};

use super::{Caller, CheckedScheduler, RETRY_BUDGET, TARGETS, domain, name};
use crate::simulation::key;

impl CheckedScheduler {
    pub(super) fn check_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                weights,
                hedge,
                ..
            } => {
                assert_eq!(&*weights, "v1");
                self.check_dispatch(id, attempt, target, hedge);
            }
            Effect::Refuse { id, refusal } => self.check_refusal(id, &refusal),
            Effect::Cancel { id, attempt } => {
                let caller = self.callers.get_mut(&id).unwrap();
                let target = caller.live.remove(&attempt).expect("cancelled twice");
                let failed_over = self.unreachable.contains(&target) && !caller.must_run_once;
                caller.received += u32::from(failed_over);
                assert!(
                    !caller.live.is_empty() || failed_over,
                    "cancelled the only attempt"
                );
            }
            Effect::Quarantine(suspect) => {
                let all = suspect.victims.len() + suspect.answering_victims.len();
                assert!(all > 0);
                let due = suspect.victims.len() >= 2 || all >= 4;
                assert_eq!(suspect.is_quarantined(), due, "{suspect:?}");
                let SuspectRequest {
                    fingerprint, ttl, ..
                } = suspect;
                let n = (0..30).find(|n| key(*n) == fingerprint).unwrap();
                if !ttl.is_zero() {
                    self.quarantined.insert(n, self.now + ttl);
                }
            }
            Effect::Probe { target, .. } => assert!(self.listed.contains_key(&target)),
        }
    }

    pub(super) fn check_dispatch(
        &mut self,
        id: RequestId,
        attempt: u32,
        target: Name,
        hedge: bool,
    ) {
        assert_eq!(
            self.listed.get(&target),
            Some(&false),
            "{target} is leaving"
        );
        assert!(
            !self.leaving.contains(&target),
            "{target} announced that it is leaving"
        );
        assert!(
            !self.unreachable.contains(&target),
            "{target} is unreachable"
        );
        let number = (0..TARGETS).find(|n| name(*n) == target).unwrap();
        assert!(
            !self.evacuated.contains(domain(number)),
            "{target} is evacuated"
        );
        let caller = self.callers.get_mut(&id).unwrap();
        assert!(!caller.ended, "dispatched after its end");
        assert!(
            !(caller.must_run_once && caller.received > 0),
            "a claimed request ran twice"
        );
        let until = self.quarantined.get(&caller.fingerprint);
        assert!(until.is_none_or(|until| self.now >= *until), "quarantined");
        assert!(!(hedge && caller.must_run_once));
        let redispatched = caller.live.contains_key(&attempt);
        assert!(
            hedge || redispatched || caller.live.is_empty(),
            "two attempts at once"
        );
        if !redispatched {
            caller.dispatches += 1;
            caller.confirmed = !caller.must_run_once;
        }
        caller.live.insert(attempt, target);
    }

    pub(super) fn check_refusal(&mut self, id: RequestId, refusal: &Refusal) {
        let caller = self.callers.get_mut(&id).unwrap();
        assert!(!caller.ended, "ended twice");
        let sent = !caller.live.is_empty() && caller.confirmed;
        assert!(!sent, "refused while an attempt runs");
        let not_run = refusal.run() == RunState::NotRun;
        assert_eq!(not_run, caller.received == 0, "{refusal:?}");
        assert!(!refusal.retry_after().is_zero());
        caller.live.clear();
        caller.ended = true;
    }

    pub(super) fn check_budget(&self) {
        let extra = |c: &Caller| (c.dispatches - c.unsent.min(c.dispatches)).saturating_sub(1);
        let extra: u32 = self.callers.values().map(extra).sum();
        let allowed = RETRY_BUDGET.0 + RETRY_BUDGET.1 * f64::from(self.done);
        assert!(f64::from(extra) <= allowed, "{extra} retries of {allowed}");
    }

    pub(super) fn check_slots(&self) {
        for target in self.listed.keys() {
            let live = self.callers.values().filter(|c| !c.ended);
            let live = live.flat_map(|c| c.live.values()).filter(|t| *t == target);
            // A target that was unlisted and listed again starts with a count of zero.
            let counted = self.scheduler.in_flight(target).unwrap() as usize;
            assert!(counted <= live.count());
        }
    }
}
