//! Lists, reports, signals and words of peers.

use crate::decide::backoff::Backoff;
use crate::decide::fleet::TargetIx;
use crate::decide::request::Timer;
use crate::decide::suspects::{Notice, Standing};
use crate::decide::{Desk, Effect, Refusal, RequestId, Signal, TargetInfo};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::target::LoadReport;

/// Time after which a probe without an answer counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between probes of an unreachable target.
const PROBE: Backoff = Backoff {
    base: Duration::from_millis(500),
    cap: Duration::from_secs(15),
};
/// Time for which a doubted target is not doubted again.
const DOUBT_PAUSE: Duration = Duration::from_secs(2);
/// Time for which peers are told that a target was lost.
const LOST_FOR: Duration = Duration::from_secs(1);
/// Time within which deaths count as one event.
const EVENT: Duration = Duration::from_secs(5);
/// Deaths in one failure domain that may make the loss of a domain.
const DOMAIN_DEATHS: usize = 3;
/// Step in which a target that came back is filled.
const RAMP_STEP: Duration = Duration::from_millis(500);

impl Desk {
    pub(super) fn take_list(&mut self, list: Vec<TargetInfo>, effects: &mut Vec<Effect>) {
        let change = self.fleet.take_list(self.now, list);
        for ix in change.added {
            self.ramp(ix);
        }
        for ix in change.gone {
            let died = self.fleet.get(ix).map(|t| t.info.name.clone());
            let notices = self.suspects.explain(self.now, ix, died.as_ref());
            self.tell(notices, effects);
        }
        self.dirty_all();
        self.refuse_stranded(effects);
    }

    pub(super) fn take_report(&mut self, target: &str, report: LoadReport) {
        let Some(ix) = self.fleet.find(target) else {
            return;
        };
        self.fleet.take_report(self.now, ix, report);
        self.dirty_pool_of(ix);
    }

    pub(super) fn take_signal(&mut self, target: &str, signal: Signal, effects: &mut Vec<Effect>) {
        let Some(ix) = self.fleet.find(target) else {
            return;
        };
        match signal {
            Signal::Leaving => {
                if let Some(target) = self.fleet.get_mut(ix) {
                    target.health.set_leaving(self.now);
                }
                self.fleet.refresh(self.now, ix);
                self.refuse_stranded(effects);
            }
            Signal::Unreachable => self.unreachable(ix, effects),
            Signal::Doubted => self.doubt(ix, effects),
            Signal::Reachable => self.reachable(ix, effects),
        }
        self.dirty_pool_of(ix);
    }

    fn reachable(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        let was_away = target.health.unreachable;
        target.health.reachable();
        if was_away {
            target.load.ramp(self.now);
            self.ramp(ix);
        }
        self.fleet.refresh(self.now, ix);
        let notices = self.suspects.explain(self.now, ix, None);
        self.tell(notices, effects);
    }

    fn unreachable(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        let fresh = !target.health.unreachable;
        target.health.unreachable = true;
        if fresh {
            target.health.lost_at = Some(self.now);
        }
        target.health.suspect = false;
        let tries = target.health.probes;
        target.health.probes = tries.saturating_add(1);
        let (name, domain) = (target.info.name.clone(), target.info.domain.clone());
        self.fleet.refresh(self.now, ix);
        let pause = PROBE.spread(tries, &mut self.rng);
        self.retime_probe(ix, pause);
        if fresh {
            self.deaths.push_back((self.now, domain.clone(), name));
        }
        self.explain_death(ix, effects);
        if fresh {
            self.forgive_lost_domain(&domain);
            self.refuse_stranded(effects);
        }
        self.fail_over(ix, effects);
    }

    fn explain_death(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let died = self.fleet.get(ix).map(|t| t.info.name.clone());
        let notices = self.suspects.explain(self.now, ix, died.as_ref());
        self.tell(notices, effects);
    }

    /// Holds nothing against requests that were lost together with much of a failure domain.
    fn forgive_lost_domain(&mut self, domain: &str) {
        let since = self.now.saturating_sub(EVENT);
        self.deaths.retain(|(at, _, _)| *at >= since);
        let dead = self.deaths.iter().filter(|(_, d, _)| **d == *domain);
        let mut dead: Vec<Name> = dead.map(|(_, _, name)| name.clone()).collect();
        dead.sort_unstable();
        dead.dedup();
        if dead.len() < DOMAIN_DEATHS {
            return;
        }
        let listed = self.fleet.iter().filter(|(_, t)| *t.info.domain == *domain);
        if dead.len() * 2 >= listed.count() {
            self.suspects.forgive(&dead);
        }
    }

    /// Probes a target that left a request without an answer, or that a peer found unreachable; one
    /// that was probed a short time ago is not probed again.
    pub(super) fn doubt(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target
            .health
            .doubted_at
            .is_some_and(|at| now < at + DOUBT_PAUSE)
        {
            return;
        }
        target.health.doubted_at = Some(now);
        self.suspect_target(ix, effects);
    }

    /// Targets to which new connections began to fail a short time ago.
    #[must_use]
    pub fn lost_targets(&self) -> Vec<Name> {
        let targets = self.fleet.iter().map(|(_, t)| t);
        let lost = targets.filter(|t| {
            let at = t.health.lost_at.filter(|_| t.listed);
            at.is_some_and(|at| self.now < at + LOST_FOR)
        });
        lost.map(|t| t.info.name.clone()).collect()
    }

    /// Gives a target no new work until a new connection to it was tried.
    pub(super) fn suspect_target(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target.health.suspect || target.health.unreachable || !target.listed {
            return;
        }
        target.health.suspect = true;
        let (target, address) = (target.info.name.clone(), target.info.address);
        effects.push(Effect::Probe { target, address });
        self.fleet.refresh(self.now, ix);
        self.retime_probe(ix, PROBE_TIMEOUT);
    }

    /// Records that the exchange with a target was lost; a probe tells a dead target from a dead
    /// connection.
    pub(super) fn note_lost(&mut self, id: RequestId, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        self.suspects.lost(&req.arrival.fingerprint, ix);
        let known = self.fleet.get(ix).filter(|t| t.listed);
        match known.map(|t| t.health.unreachable) {
            Some(false) => self.suspect_target(ix, effects),
            _ => self.explain_death(ix, effects),
        }
    }

    /// A probe is due: an open one has failed, an unreachable target is tried again.
    pub(super) fn probe_due(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get(ix).filter(|t| t.listed) else {
            return;
        };
        if target.health.suspect {
            self.unreachable(ix, effects);
            return;
        }
        if target.health.unreachable {
            let (tries, address) = (target.health.probes, target.info.address);
            let target = target.info.name.clone();
            effects.push(Effect::Probe { target, address });
            if let Some(target) = self.fleet.get_mut(ix) {
                target.health.probes = tries.saturating_add(1);
            }
            let pause = PROBE.spread(tries, &mut self.rng);
            self.retime_probe(ix, pause.max(PROBE_TIMEOUT));
        }
    }

    fn retime_probe(&mut self, ix: TargetIx, pause: Duration) {
        let old = self.fleet.get(ix).and_then(|t| t.health.probe_at);
        if let Some(old) = old {
            self.timers.remove(&(old, Timer::Probe(ix)));
        }
        let at = self.now + pause;
        self.timers.insert((at, Timer::Probe(ix)));
        if let Some(target) = self.fleet.get_mut(ix) {
            target.health.probe_at = Some(at);
        }
    }

    fn ramp(&mut self, ix: TargetIx) {
        self.refresh_at(ix, self.now + RAMP_STEP);
    }

    /// Computes a target's room anew now and at a later time.
    pub(super) fn refresh_at(&mut self, ix: TargetIx, at: Timestamp) {
        self.fleet.refresh(self.now, ix);
        self.timers.insert((at, Timer::Refresh(ix)));
    }

    pub(super) fn refresh_due(&mut self, ix: TargetIx) {
        self.fleet.refresh(self.now, ix);
        self.dirty_pool_of(ix);
        if self
            .fleet
            .get(ix)
            .is_some_and(|t| t.load.is_ramping(self.now))
        {
            self.ramp(ix);
        }
    }

    pub(super) fn dirty_pool_of(&mut self, ix: TargetIx) {
        if let Some(target) = self.fleet.get(ix) {
            self.dirty.insert(target.pool);
        }
    }

    pub(super) fn take_quarantine(
        &mut self,
        fingerprint: &BlockKey,
        victims: &[Name],
        ttl: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let notice = self.suspects.merge(self.now, fingerprint, victims, ttl);
        self.tell(notice.into_iter().collect(), effects);
        self.refuse_waiting(fingerprint, effects);
    }

    fn tell(&mut self, notices: Vec<Notice>, effects: &mut Vec<Effect>) {
        for notice in notices {
            let fingerprint = notice.fingerprint;
            effects.push(Effect::Quarantine {
                fingerprint,
                victims: notice.victims,
                ttl: notice.ttl,
            });
            if !notice.ttl.is_zero() {
                self.refuse_waiting(&fingerprint, effects);
            }
        }
    }

    /// Refuses the waiting requests of a fingerprint that is quarantined now.
    fn refuse_waiting(&mut self, fingerprint: &BlockKey, effects: &mut Vec<Effect>) {
        let Standing::Quarantined(until) = self.suspects.standing(self.now, fingerprint) else {
            return;
        };
        let waiting = self
            .requests
            .iter()
            .filter(|(_, r)| r.arrival.fingerprint == *fingerprint && r.attempts.is_empty());
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let run = self.requests[&id].run;
            let retry_after = until.saturating_sub(self.now);
            self.refuse(id, Refusal::Quarantined { retry_after, run }, effects);
        }
    }
}
