//! Target lists, load reports, signals about targets, and quarantine notices of peers.

use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::backoff::Backoff;
use crate::scheduler::fleet::TargetIx;
use crate::scheduler::request::{Attempt, Timer};
use crate::scheduler::suspect_requests::Permission;
use crate::scheduler::{
    Effect, Refusal, RequestId, Scheduler, Signal, SuspectRequest, TargetInfo, WarmUpReason,
};
use crate::target::LoadReport;

/// Time after which an unanswered probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff between probes of an unreachable target.
const PROBE_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(500),
    cap: Duration::from_secs(15),
};
/// Shortest time between two probes of a target on unanswered requests or reports of peers.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which peers are notified that a target has become unreachable.
const NEWLY_UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Deaths of targets within this time may be the loss of one failure domain.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_secs(5);
/// Fewest deaths that may be the loss of a failure domain.
const MIN_DOMAIN_DEATHS: usize = 3;
/// Interval at which the slots of a target are recomputed during its ramp-up.
const RAMP_UP_STEP: Duration = Duration::from_millis(500);

impl Scheduler {
    pub(super) fn apply_list(&mut self, list: Vec<TargetInfo>, effects: &mut Vec<Effect>) {
        let change = self.fleet.apply_list(self.now, list);
        for ix in change.added {
            self.schedule_ramp_step(ix);
            self.schedule_share_refresh(ix);
        }
        for ix in change.removed {
            let died = self.fleet.get(ix).map(|t| t.info.process_name());
            let notices = self.suspects.resolve_lost(self.now, ix, died.as_ref());
            self.send_notices(notices, effects);
        }
        self.mark_all_dirty();
        self.refuse_unservable(effects);
    }

    pub(super) fn apply_report(&mut self, target: &str, report: LoadReport) {
        let Some(ix) = self.fleet.find(target) else {
            return;
        };
        self.fleet.apply_report(self.now, ix, report);
        self.schedule_room_refresh(ix);
        self.mark_pool_dirty(ix);
    }

    pub(super) fn apply_signal(&mut self, target: &str, signal: Signal, effects: &mut Vec<Effect>) {
        let Some(ix) = self.fleet.find(target) else {
            return;
        };
        match signal {
            Signal::Leaving => {
                if let Some(target) = self.fleet.get_mut(ix) {
                    target.health.set_leaving(self.now);
                }
                self.fleet.refresh(self.now, ix);
                self.refuse_unservable(effects);
            }
            Signal::Unreachable => self.mark_unreachable(ix, true, effects),
            Signal::Silent => self.probe_silent(ix, effects),
            Signal::OutOfReach => self.mark_unreachable(ix, false, effects),
            Signal::ReportedUnreachable => self.check_target(ix, effects),
            Signal::Reachable => self.mark_reachable(ix, effects),
            Signal::Pause(pause) => self.pause_target(ix, pause, effects),
            Signal::MayHaveRestarted => self.warm_up(ix, WarmUpReason::Recovered),
            Signal::Cold(time) => self.warm_up_for(ix, time),
        }
        self.mark_pool_dirty(ix);
    }

    fn mark_reachable(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        let was_unreachable = target.health.unreachable;
        let connections_failed = was_unreachable || target.health.connection_failed_at.is_some();
        target.health.record_reachable();
        if was_unreachable {
            target.load.start_ramp_up(self.now);
            self.schedule_ramp_step(ix);
        }
        if connections_failed {
            self.warm_up(ix, WarmUpReason::Recovered);
        }
        self.fleet.refresh(self.now, ix);
        let notices = self.suspects.resolve_lost(self.now, ix, None);
        self.send_notices(notices, effects);
    }

    /// Probes a target that was silent once more; it gets no new work meanwhile.
    fn probe_silent(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target.health.unreachable || !target.listed {
            return;
        }
        target.health.awaiting_probe = true;
        target.health.connection_failed_at = Some(self.now);
        let (target, address) = (target.info.name.clone(), target.info.address);
        effects.push(Effect::Probe { target, address });
        self.fleet.refresh(self.now, ix);
        self.schedule_probe(ix, PROBE_TIMEOUT);
    }

    /// Gives a target no new work until a connection succeeds; `ended` says whether it is known to
    /// have ended, so that the requests that it had may be to blame.
    fn mark_unreachable(&mut self, ix: TargetIx, ended: bool, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        let newly = !target.health.unreachable;
        target.health.unreachable = true;
        target.health.ended_at = ended.then_some(self.now);
        target.prefixes.clear();
        if newly {
            target.health.unreachable_since = Some(self.now);
        }
        target.health.awaiting_probe = false;
        let failed = &mut target.health.failed_connections;
        *failed = failed.saturating_add(1);
        let (name, domain) = (target.info.name.clone(), target.info.domain.clone());
        self.fleet.refresh(self.now, ix);
        let pause = self.probe_pause(ix);
        self.schedule_probe(ix, pause);
        if newly && ended {
            self.recent_deaths
                .push_back((self.now, domain.clone(), name));
        }
        self.resolve_unreachable(ix, effects);
        if newly {
            self.clear_domain_loss(&domain);
            self.refuse_unservable(effects);
        }
        self.fail_over(ix, effects);
    }

    /// Decides whether the requests whose exchanges with an unreachable target were lost are to
    /// blame: they may be if it has ended or is no longer listed.
    fn resolve_unreachable(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let target = self.fleet.get(ix);
        let died = target.filter(|t| t.health.ended_at.is_some() || !t.listed);
        let died = died.map(|t| t.info.process_name());
        let notices = self.suspects.resolve_lost(self.now, ix, died.as_ref());
        self.send_notices(notices, effects);
    }

    /// Clears the suspicion of requests whose target died when at least half of its failure domain
    /// did: then the domain was lost, and no request is to blame.
    fn clear_domain_loss(&mut self, domain: &str) {
        let since = self.now.saturating_sub(DOMAIN_LOSS_WINDOW);
        self.recent_deaths.retain(|(at, _, _)| *at >= since);
        let dead = self.recent_deaths.iter().filter(|(_, d, _)| **d == *domain);
        let mut dead: Vec<Name> = dead.map(|(_, _, name)| name.clone()).collect();
        dead.sort_unstable();
        dead.dedup();
        if dead.len() < MIN_DOMAIN_DEATHS {
            return;
        }
        let listed = self.fleet.iter().filter(|(_, t)| *t.info.domain == *domain);
        if dead.len() * 2 >= listed.count() {
            self.suspects.clear_domain_loss(&dead);
        }
    }

    /// Probes a target that left a request unanswered or that a peer found unreachable, unless this
    /// was done a short time ago.
    pub(super) fn check_target(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let now = self.now;
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target
            .health
            .checked_at
            .is_some_and(|at| now < at + CHECK_INTERVAL)
        {
            return;
        }
        target.health.checked_at = Some(now);
        self.suspend_until_probed(ix, effects);
    }

    /// Listed targets that were found to have ended less than a second ago.
    #[must_use]
    pub fn newly_unreachable(&self) -> Vec<Name> {
        let targets = self.fleet.iter().map(|(_, t)| t);
        let lost = targets.filter(|t| {
            let at = t.health.unreachable_since;
            let at = at.filter(|_| t.listed && t.health.ended_at.is_some());
            at.is_some_and(|at| self.now < at + NEWLY_UNREACHABLE_TIME)
        });
        lost.map(|t| t.info.name.clone()).collect()
    }

    /// Gives a target no new work until a probe has tried a new connection to it.
    pub(super) fn suspend_until_probed(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get_mut(ix) else {
            return;
        };
        if target.health.awaiting_probe || target.health.unreachable || !target.listed {
            return;
        }
        target.health.awaiting_probe = true;
        let (target, address) = (target.info.name.clone(), target.info.address);
        effects.push(Effect::Probe { target, address });
        self.fleet.refresh(self.now, ix);
        self.schedule_probe(ix, PROBE_TIMEOUT);
    }

    /// Records a lost exchange with a target and probes it, to find out whether the target died or
    /// only the connection broke. A request is not to blame for the end of a target that is leaving.
    pub(super) fn record_lost(
        &mut self,
        id: RequestId,
        attempt: Attempt,
        effects: &mut Vec<Effect>,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let ix = attempt.target;
        let is_leaving = self.fleet.get(ix).is_some_and(|t| t.health.is_leaving());
        if !is_leaving {
            let (fingerprint, answer_began) =
                (&req.arrival.fingerprint, attempt.first_token_received);
            self.suspects.exchange_lost(fingerprint, ix, answer_began);
        }
        let listed = self.fleet.get(ix).filter(|t| t.listed);
        match listed.map(|t| t.health.unreachable) {
            Some(false) => self.suspend_until_probed(ix, effects),
            _ => self.resolve_unreachable(ix, effects),
        }
    }

    /// Handles the probe timer: a running probe has timed out, or an unreachable target is probed
    /// again.
    pub(super) fn probe_due(&mut self, ix: TargetIx, effects: &mut Vec<Effect>) {
        let Some(target) = self.fleet.get(ix).filter(|t| t.listed) else {
            return;
        };
        if target.health.awaiting_probe {
            self.mark_unreachable(ix, true, effects);
            return;
        }
        if target.health.unreachable {
            let (target, address) = (target.info.name.clone(), target.info.address);
            effects.push(Effect::Probe { target, address });
            let pause = self.probe_pause(ix);
            self.schedule_probe(ix, pause.max(PROBE_TIMEOUT));
        }
    }

    /// Pause before the next probe of an unreachable target.
    fn probe_pause(&mut self, ix: TargetIx) -> Duration {
        let since = self.fleet.get(ix).and_then(|t| t.health.unreachable_since);
        let unreachable = self.now.saturating_sub(since.unwrap_or(self.now));
        PROBE_BACKOFF.equal_jitter(unreachable, &mut self.rng)
    }

    pub(super) fn schedule_probe(&mut self, ix: TargetIx, pause: Duration) {
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

    pub(super) fn schedule_ramp_step(&mut self, ix: TargetIx) {
        self.refresh_at(ix, self.now + RAMP_UP_STEP);
    }

    /// Recomputes whether a target has room, now and at `at`.
    pub(super) fn refresh_at(&mut self, ix: TargetIx, at: Timestamp) {
        self.fleet.refresh(self.now, ix);
        self.timers.insert((at, Timer::Refresh(ix)));
    }

    pub(super) fn refresh_due(&mut self, ix: TargetIx) {
        if let Some(target) = self.fleet.get_mut(ix) {
            // The timer has fired; if rounding left the target full, it has to be set again.
            target.room_refresh_at = target.room_refresh_at.filter(|at| *at > self.now);
        }
        self.fleet.refresh(self.now, ix);
        self.mark_pool_dirty(ix);
        if self
            .fleet
            .get(ix)
            .is_some_and(|t| t.load.is_ramping(self.now))
        {
            self.schedule_ramp_step(ix);
        }
        self.schedule_share_refresh(ix);
        self.schedule_room_refresh(ix);
    }

    pub(super) fn mark_pool_dirty(&mut self, ix: TargetIx) {
        if let Some(target) = self.fleet.get(ix) {
            self.dirty_pools.insert(target.pool);
        }
    }

    pub(super) fn apply_quarantine(&mut self, suspect: &SuspectRequest, effects: &mut Vec<Effect>) {
        let notice = self.suspects.merge_notice(self.now, suspect);
        self.send_notices(notice.into_iter().collect(), effects);
        self.refuse_waiting(&suspect.fingerprint, effects);
    }

    fn send_notices(&mut self, notices: Vec<SuspectRequest>, effects: &mut Vec<Effect>) {
        for notice in notices {
            let quarantined = notice.is_quarantined().then_some(notice.fingerprint);
            effects.push(Effect::Quarantine(notice));
            if let Some(fingerprint) = quarantined {
                self.refuse_waiting(&fingerprint, effects);
            }
        }
    }

    /// Refuses the requests with a quarantined fingerprint that have no running attempt.
    fn refuse_waiting(&mut self, fingerprint: &BlockKey, effects: &mut Vec<Effect>) {
        let Permission::Quarantined(until) = self.suspects.permission(self.now, fingerprint) else {
            return;
        };
        let waiting = self
            .requests
            .iter()
            .filter(|(_, r)| r.arrival.fingerprint == *fingerprint && r.attempts.is_empty());
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        for id in waiting {
            let run = self.requests[&id].run_state;
            let retry_after = until.saturating_sub(self.now);
            self.refuse(id, Refusal::Quarantined { retry_after, run }, effects);
        }
    }
}
