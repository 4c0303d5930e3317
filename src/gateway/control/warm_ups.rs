//! Warm-up of targets that start cold: what the schedulers are told, and the log.

use std::collections::{BTreeMap, HashMap};

use serde_json::Value;

use crate::clock::unix_ms;
use crate::gateway::WatchedKind;
use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::rate_limit::{SharePosition, WarmUpAllowance};
use crate::route::RouteTable;
use crate::scheduler::{Event, Signal, WarmUpPlan, WarmingTarget};

/// Smallest change of the offset between the wall clock and the process's clock that is applied to
/// the shares; applying every jitter would change all plans at each computation.
const MIN_CLOCK_CHANGE: Duration = Duration::from_millis(20);

/// Inputs from which the plans of all targets are computed, besides the targets.
#[derive(Clone, Copy, PartialEq, Eq)]
struct PlanInputs {
    config_version: u64,
    position: SharePosition,
    uses_hubs: bool,
    clock_offset: Duration,
}

/// Plans by target.
type Plans = Arc<HashMap<Name, WarmUpPlan>>;

/// What the control tasks remember of warm-ups.
#[derive(Default)]
pub(crate) struct WarmUpState {
    own_plans: Plans,
    hub_plans: Plans,
    /// Inputs of the plans when they were last refreshed.
    plan_inputs: Option<PlanInputs>,
    /// Lead of the wall clock over the process's clock.
    clock_offset: Duration,
    /// Last registration of each target that is cold according to it.
    cold_registrations: HashMap<Name, Arc<Value>>,
    /// Remaining cold times from new registrations that the schedulers have not been told yet.
    announced: Vec<(Name, Duration)>,
    /// Targets that warmed up when it was last logged.
    warming: BTreeMap<Name, WarmingTarget>,
}

impl WarmUpState {
    /// Records how long a target is cold according to its registration. An unchanged registration is
    /// ignored, since its time counts from when it was first read.
    pub(super) fn record_registration(&mut self, name: &Name, spec: &Arc<Value>, cold: Duration) {
        if cold.is_zero() {
            self.cold_registrations.remove(name);
            return;
        }
        let old = self.cold_registrations.insert(name.clone(), spec.clone());
        if old.is_none_or(|old| old != *spec) {
            self.announced.push((name.clone(), cold));
        }
    }

    /// Whether a target warmed up when it was last logged.
    pub(super) fn is_warming(&self, target: &str) -> bool {
        self.warming.contains_key(target)
    }

    fn update_clock(&mut self, now: Timestamp) {
        let offset = Duration::from_millis(unix_ms()).saturating_sub(now);
        if offset.abs_diff(self.clock_offset) >= MIN_CLOCK_CHANGE {
            self.clock_offset = offset;
        }
    }
}

/// The plans of the targets of one service.
#[derive(Clone, Copy)]
struct ServicePlans {
    own: WarmUpPlan,
    hub: WarmUpPlan,
}

impl Control {
    /// Recomputes the plans if any of their inputs other than the targets has changed.
    pub(super) fn refresh_warm_up_plans(&self, state: &mut State) {
        let table = self.shared.routes.load_full();
        let (true, Some(table)) = (self.cold_bound.is_some(), table) else {
            return;
        };
        state.warm_ups.update_clock(self.now());
        let plan_inputs = PlanInputs {
            config_version: table.version,
            position: self.warm_up_position(state),
            uses_hubs: state.uses_hubs(),
            clock_offset: state.warm_ups.clock_offset,
        };
        if state.warm_ups.plan_inputs != Some(plan_inputs) {
            self.submit_warm_up_plans(state);
            state.warm_ups.plan_inputs = Some(plan_inputs);
        }
    }

    /// Tells the schedulers how the targets of each service are warmed up, if that has changed.
    pub(super) fn submit_warm_up_plans(&self, state: &mut State) {
        let table = self.shared.routes.load_full();
        let (true, Some(table)) = (self.cold_bound.is_some(), table) else {
            return;
        };
        state.warm_ups.update_clock(self.now());
        let (mut own, mut hub) = (HashMap::new(), HashMap::new());
        let mut by_service: HashMap<(&Name, bool), Option<ServicePlans>> = HashMap::new();
        for target in state.targets.iter() {
            let (service, name) = (&target.info.serves, &target.info.name);
            let has_hub = state.has_hub_for(name);
            let plans = by_service
                .entry((service, has_hub))
                .or_insert_with(|| self.service_plans(state, &table, service, has_hub));
            if let Some(plans) = plans {
                own.insert(name.clone(), plans.own);
                hub.insert(name.clone(), plans.hub);
            }
        }
        if own != *state.warm_ups.own_plans {
            state.warm_ups.own_plans = Arc::new(own);
            let plans = state.warm_ups.own_plans.clone();
            self.shared.scheduler.submit(Event::WarmUpPlans(plans));
        }
        if hub != *state.warm_ups.hub_plans {
            state.warm_ups.hub_plans = Arc::new(hub);
            let plans = state.warm_ups.hub_plans.clone();
            self.domain_scheduler
                .scheduler
                .submit(Event::WarmUpPlans(plans));
        }
    }

    fn service_plans(
        &self,
        state: &State,
        table: &RouteTable,
        service: &str,
        has_hub: bool,
    ) -> Option<ServicePlans> {
        let service = table.service(service)?;
        let rate = service.cold_rate.filter(|rate| rate.per_second() > 0.0)?;
        let allowance = WarmUpAllowance::new(rate, self.cold_bound?);
        let (time, offset) = (service.cold_time, state.warm_ups.clock_offset);
        let position = self.warm_up_position(state);
        Some(ServicePlans {
            own: WarmUpPlan {
                share: allowance.entry_share(position, has_hub, offset),
                time,
            },
            hub: WarmUpPlan {
                share: allowance.hub_share(offset),
                time,
            },
        })
    }

    /// This entry's position among all entries. Until the platform store has listed them, their
    /// estimated number is used: an entry that believed to be the only one would use the whole
    /// allowance of each cold target.
    fn warm_up_position(&self, state: &State) -> SharePosition {
        let position = state.share_position(&self.name);
        if state.cache(WatchedKind::Members).revision() > 0 {
            return position;
        }
        SharePosition {
            of: position.of.max(self.estimated_entries),
            index: position.index,
        }
    }

    /// Tells the schedulers which targets are cold according to new registrations.
    pub(super) fn submit_announced_warm_ups(&self, state: &mut State) {
        let targets = &state.targets;
        let known = &mut state.warm_ups.cold_registrations;
        known.retain(|name, _| targets.get(name).is_some());
        for (target, time) in std::mem::take(&mut state.warm_ups.announced) {
            self.submit_signal(target, Signal::Cold(time));
        }
    }

    /// Tells the domain scheduler which targets warm up; it may have just become active and not have
    /// seen their signals.
    pub(super) fn submit_domain_warm_ups(&self) {
        if self.cold_bound.is_none() {
            return;
        }
        for warming in self.shared.scheduler.warming_targets() {
            self.domain_scheduler.scheduler.submit(Event::Signal {
                target: warming.target,
                signal: Signal::Cold(warming.time_left),
            });
        }
    }

    /// Logs the warm-ups that began or ended, and updates the metric.
    pub(super) fn log_warm_ups(&self, state: &mut State) {
        if self.cold_bound.is_none() {
            return;
        }
        let warming = self.shared.scheduler.warming_targets();
        let warming = warming.into_iter().map(|w| (w.target.clone(), w));
        let warming: BTreeMap<Name, WarmingTarget> = warming.collect();
        for (target, w) in &warming {
            if !state.warm_ups.warming.contains_key(target) {
                log::info!(
                    "event=target_warm_up target={target} reason={} left_ms={} share_per_s={:.3} \
                     hub={}",
                    w.reason,
                    w.time_left.as_millis(),
                    w.per_second,
                    state.has_hub_for(target)
                );
            }
        }
        for target in state.warm_ups.warming.keys() {
            if !warming.contains_key(target) {
                log::info!("event=target_warm_up_ended target={target}");
            }
        }
        let count = i64::try_from(warming.len()).unwrap_or(i64::MAX);
        self.shared.metrics.warming_targets.set(count);
        state.warm_ups.warming = warming;
    }
}
