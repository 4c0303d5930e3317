//! What the control does at intervals.

use async_io::Timer;

use crate::gateway::control::Control;
use crate::prelude::*;
use crate::rollout::RolloutEvent;
use crate::scheduler::Event;

/// Interval at which peers are told of the load, in a small system.
const WORD_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which hubs are told and tell, in a large one.
const HUB_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest and longest pause between two looks at what is due at the desk.
const DESK_TICKS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(50));
/// Words between two sweeps of idle connections.
const SWEEP_EVERY: u32 = 10;

impl Control {
    /// Tells peers, takes what has lapsed, for ever.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        let mut n: u32 = 0;
        loop {
            let crowded = self.state().is_crowded();
            Self::spread_sleep(if crowded { HUB_INTERVAL } else { WORD_INTERVAL }).await;
            match self.mesh.get() {
                Some(mesh) if crowded => self.tell_hub(mesh),
                Some(mesh) => self.tell_word(mesh),
                None => {}
            }
            self.refresh();
            n = n.wrapping_add(1);
            if n.is_multiple_of(SWEEP_EVERY) {
                self.shared.connections.sweep();
            }
        }
    }

    fn refresh(&self) {
        let now = self.now();
        let mut state = self.state();
        state.retire_context(now);
        let retired = state.retirement.retired();
        let entries = state.entries();
        let may_fetch = state.retirement.may_fetch(entries);
        self.shared.kept().restrict_fetches(retired, may_fetch);
        let lapsed = state.expire(now);
        state.loads.expire(now);
        if lapsed {
            self.push_targets(&mut state);
        } else {
            self.push_reports(&mut state);
        }
        self.shared.versions.set(&state.versions, now);
        if state.rollout.outdated_count() > 0 {
            self.push_rollout_loads(&mut state);
        }
    }

    fn push_rollout_loads(&self, state: &mut crate::gateway::control::State) {
        let own = self.shared.scheduler.own_loads();
        let reports = state.reports(self.now(), None, &own);
        for (target, report) in reports {
            let requests = report.running;
            self.plan(state, RolloutEvent::ActiveRequests { target, requests });
        }
    }

    /// Ticks the desk, for ever.
    pub(crate) async fn run_desk(self: Arc<Self>) {
        let mut broken = 0;
        loop {
            let pause = self.shared.scheduler.until_wakeup().unwrap_or(DESK_TICKS.1);
            Timer::after(pause.clamp(DESK_TICKS.0, DESK_TICKS.1)).await;
            self.shared.scheduler.submit(Event::Tick);
            let found = self.shared.scheduler.broken_invariants();
            let metrics = &self.shared.metrics;
            metrics.invariants.inc_by(found.saturating_sub(broken));
            broken = found;
            let waiting = self.shared.scheduler.queued();
            metrics
                .queued
                .set(i64::try_from(waiting).unwrap_or(i64::MAX));
        }
    }
}
