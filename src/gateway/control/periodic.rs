//! Periodic tasks of the control: status exchange, expiry and scheduler ticks.

use async_io::Timer;

use crate::gateway::control::{Control, TargetReport};
use crate::gateway::{HUB_INTERVAL, STATUS_INTERVAL, WatchedKind};
use crate::prelude::*;
use crate::rollout::RolloutEvent;
use crate::scheduler::Event;

/// Minimum and maximum interval between two ticks of the scheduler.
const SCHEDULER_TICK_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(5), Duration::from_millis(50));
/// Time after the start of a process in which it hurries to hear from the other entries.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Status intervals between two sweeps of idle connections.
const STATUSES_PER_SWEEP: u32 = 10;

impl Control {
    /// Sends the status to peers, expires old state and updates the scheduler at each interval;
    /// never returns.
    pub(crate) async fn run_periodic(self: Arc<Self>) {
        let mut rounds: u32 = 0;
        loop {
            Self::sleep_with_jitter(self.status_interval()).await;
            let uses_hubs = self.state().uses_hubs();
            match self.mesh.get() {
                Some(mesh) if uses_hubs => self.exchange_with_hubs(mesh),
                Some(mesh) => self.broadcast_status(mesh),
                None => {}
            }
            self.expire_and_submit();
            rounds = rounds.wrapping_add(1);
            if rounds.is_multiple_of(STATUSES_PER_SWEEP) {
                self.shared.connections.sweep();
            }
        }
    }

    /// Time until the next status. An entry that has just started and is no hub tells its hub more often
    /// until it may fetch stored context, since each answer proves how recent a report is.
    fn status_interval(&self) -> Duration {
        let state = self.state();
        let joins = self.now() < JOIN_TIME && !state.may_fetch;
        let has_hub = state.hub_selector.current().is_some();
        let is_hub = !has_hub && !state.peers.is_empty();
        if state.uses_hubs() && (is_hub || !joins) {
            HUB_INTERVAL
        } else {
            STATUS_INTERVAL
        }
    }

    fn expire_and_submit(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.retire_context(now);
        state.expire_unlisted_entries();
        self.refresh_fetch_lease(&mut state);
        let expired = state.expire(now);
        if state.expire_members(now) {
            self.update_derived(&mut state, WatchedKind::Members);
        }
        if state.expire_evacuations(now) {
            self.update_derived(&mut state, WatchedKind::Evacuations);
        }
        state.loads.expire(now);
        self.log_overdue_objects(&mut state);
        if expired || state.targets_withheld {
            self.submit_targets(&mut state);
        } else {
            self.submit_reports(&mut state);
        }
        self.report_load_spread(now, &mut state);
        self.report_caller_limits(now, &mut state);
        self.submit_rate_shares(&mut state);
        self.refresh_warm_up_plans(&mut state);
        self.log_warm_ups(&mut state);
        self.shared.versions.set(&state.versions, now);
        if state.rollout.outdated_count() > 0 {
            self.submit_rollout_loads(&mut state);
        }
    }

    fn submit_rollout_loads(&self, state: &mut crate::gateway::control::State) {
        let own = self.shared.scheduler.own_loads();
        let granted = self.domain_scheduler.scheduler.own_loads();
        let reports = state.load_reports(self.now(), None, &own, &granted);
        for TargetReport { target, report, .. } in reports {
            let requests = report.running;
            self.plan_rollout(state, RolloutEvent::ActiveRequests { target, requests });
        }
    }

    /// Ticks the scheduler and updates its metrics; never returns.
    pub(crate) async fn run_scheduler(self: Arc<Self>) {
        let mut counted = self.shared.scheduler.broken_invariants();
        loop {
            let pause = self
                .shared
                .scheduler
                .until_wakeup()
                .unwrap_or(SCHEDULER_TICK_INTERVAL.1);
            Timer::after(pause.clamp(SCHEDULER_TICK_INTERVAL.0, SCHEDULER_TICK_INTERVAL.1)).await;
            self.shared.scheduler.submit(Event::Tick);
            let found = self.shared.scheduler.broken_invariants();
            let metrics = &self.shared.metrics;
            metrics.invariants.inc_by(found.saturating_sub(counted));
            counted = found;
            let waiting = self.shared.scheduler.queued();
            metrics
                .queued
                .set(i64::try_from(waiting).unwrap_or(i64::MAX));
        }
    }
}
