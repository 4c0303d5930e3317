//! Scheduling for a whole failure domain while this entry is its hub.

use std::sync::Weak;

use async_io::Timer;

use crate::domain_scheduler::{DomainCapacity, DomainHub, SchedulerCall, SchedulerLinks};
use crate::gateway::control::{Control, State, TargetReport};
use crate::gateway::target_limits::TargetLimits;
use crate::peer::PeerMessage;
use crate::prelude::*;
use crate::route::RouteTable;
use crate::scheduler::{Effect, Event, Signal, TargetInfo};
use crate::target::LoadReport;

/// Longest pause between two ticks of the domain's scheduler while it is in use.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest pause between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two checks while this entry is no hub.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// Fewest schedulers among which the saved-up retries are divided.
const MIN_SCHEDULERS: u32 = 2;
/// Slots with which a target counts that limits the requests sent to it.
const SLOTS_OF_LIMITED_TARGET: u32 = 1;

/// Divisor of the slots with which a target counts that warms up: it takes few requests a second
/// for a short time.
const SLOTS_DIVISOR_OF_COLD_TARGET: u32 = 4;

/// Links of the scheduler client to the hubs; the entry itself may be one.
pub(crate) struct HubLinks(pub Weak<Control>);

impl SchedulerLinks for HubLinks {
    fn call(&self, hub: &str, call: SchedulerCall) -> bool {
        let Some(control) = self.0.upgrade() else {
            return false;
        };
        if *hub == *control.name {
            let name = control.name.clone();
            control.on_scheduler_call(&name, call);
            return true;
        }
        control.try_send(hub, PeerMessage::SchedulerCall(call))
    }
}

impl Control {
    /// Handles a step of an entry's request.
    pub(crate) fn on_scheduler_call(&self, entry: &Name, call: SchedulerCall) {
        let reply = self.domain_scheduler.on_call(self.now(), entry, call);
        if let Some(reply) = reply {
            self.send_reply(entry, reply);
        }
    }

    fn send_reply(&self, entry: &Name, reply: crate::domain_scheduler::SchedulerReply) {
        if *entry == self.name {
            self.shared.scheduler_client.on_reply(&self.name, reply);
        } else {
            self.send(entry, PeerMessage::SchedulerReply(reply));
        }
    }

    /// Sends the decisions of the domain's scheduler to the entries; never returns while the
    /// gateway runs.
    pub(crate) async fn run_decisions(self: Arc<Self>, decisions: async_channel::Receiver<Effect>) {
        while let Ok(effect) = decisions.recv().await {
            if let Some((entry, reply)) = self.domain_scheduler.reply(effect) {
                self.send_reply(&entry, reply);
            }
        }
    }

    /// Ticks the domain's scheduler while it is in use; never returns.
    pub(crate) async fn run_domain_scheduler(self: Arc<Self>) {
        let server = &self.domain_scheduler;
        let mut counted = server.scheduler.broken_invariants();
        loop {
            if !server.is_active() {
                Timer::after(IDLE_INTERVAL).await;
                continue;
            }
            let pause = server.scheduler.until_wakeup();
            let pause = pause.unwrap_or(MAX_TICK_INTERVAL);
            Timer::after(pause.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
            server.scheduler.submit(Event::Tick);
            for (entry, reply) in server.expire(self.now()) {
                self.send_reply(&entry, reply);
            }
            let found = server.scheduler.broken_invariants();
            let metrics = &self.shared.metrics;
            metrics.invariants.inc_by(found.saturating_sub(counted));
            counted = found;
        }
    }

    /// This entry as the hub of its failure domain.
    pub(crate) fn own_domain_hub(&self) -> DomainHub {
        let queued = self.domain_scheduler.scheduler.queued();
        DomainHub {
            domain: self.domain.clone(),
            entry: self.name.clone(),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
        }
    }

    /// Submits an event to this entry's own scheduler and to the domain's.
    pub(crate) fn submit_to_schedulers(&self, event: &Event) {
        self.shared.scheduler.submit(event.clone());
        self.domain_scheduler.scheduler.submit(event.clone());
    }

    /// Submits what was learned about a target to both schedulers.
    pub(crate) fn submit_signal(&self, target: Name, signal: Signal) {
        self.submit_to_schedulers(&Event::Signal { target, signal });
    }

    /// Sends the targets of the own failure domain to its scheduler, if that is in use.
    pub(crate) fn submit_domain_targets(&self, targets: &[TargetInfo]) {
        if !self.domain_scheduler.is_active() {
            return;
        }
        let near = targets.iter().filter(|t| t.domain == self.domain);
        let near = near.cloned().collect();
        self.domain_scheduler.scheduler.submit(Event::Targets(near));
        self.submit_domain_warm_ups();
    }

    /// Sends the load and the weights of the domain's targets to its scheduler, which knows its own
    /// requests exactly and those of other schedulers from `reports`; updates the capacities by
    /// which the entry chooses a failure domain.
    pub(crate) fn submit_domain_reports(
        &self,
        state: &State,
        table: Option<&RouteTable>,
        reports: &[TargetReport],
    ) {
        if state.uses_hubs() {
            let client = &self.shared.scheduler_client;
            client.set_capacities(capacities(state, reports, &self.shared.limits));
        }
        if !self.domain_scheduler.is_active() {
            return;
        }
        let scheduler = &self.domain_scheduler.scheduler;
        let granted = scheduler.own_loads();
        for TargetReport {
            target,
            report,
            others,
            own,
        } in reports
        {
            let Some(registered) = state.targets.get(target) else {
                continue;
            };
            if registered.info.domain != self.domain {
                continue;
            }
            let service = table.and_then(|table| table.service(&registered.info.serves));
            let granted = granted.get(target).copied().unwrap_or_default();
            let report = LoadReport {
                running: granted.requests + others.requests + own.requests,
                queued_tokens: u64::from(others.work_tokens() + own.work),
                context_tokens: others.context_tokens() + own.context,
                context_limit: service.map_or(0, |s| s.context_tokens),
                slots: registered.slots,
                choosers: 0,
                ..report.clone()
            };
            let target = target.clone();
            scheduler.submit(Event::Report { target, report });
        }
        let schedulers = u32::try_from(state.domain_count()).unwrap_or(u32::MAX);
        scheduler.submit(Event::EntryCount(schedulers.max(MIN_SCHEDULERS)));
    }
}

/// Slots and running requests of each failure domain, by model.
fn capacities(
    state: &State,
    reports: &[TargetReport],
    limits: &TargetLimits,
) -> Vec<DomainCapacity> {
    let mut capacities: Vec<DomainCapacity> = Vec::new();
    for report in reports {
        let Some(target) = state.targets.get(&report.target) else {
            continue;
        };
        let info = &target.info;
        let evacuated = state.evacuations.contains(&info.domain);
        if info.leaving || evacuated || report.report.weights.is_empty() {
            continue;
        }
        let slots = if limits.is_limited(&report.target) {
            target.slots.min(SLOTS_OF_LIMITED_TARGET)
        } else if state.warm_ups.is_warming(&report.target) {
            target.slots.div_ceil(SLOTS_DIVISOR_OF_COLD_TARGET)
        } else {
            target.slots
        };
        let known = capacities
            .iter_mut()
            .find(|c| c.domain == info.domain && c.serves == info.serves);
        if let Some(capacity) = known {
            capacity.slots = capacity.slots.saturating_add(slots);
            capacity.requests = capacity.requests.saturating_add(report.report.running);
        } else {
            capacities.push(DomainCapacity {
                domain: info.domain.clone(),
                serves: info.serves.clone(),
                slots,
                requests: report.report.running,
            });
        }
    }
    capacities
}
