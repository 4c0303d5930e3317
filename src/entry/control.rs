//! State and tasks of the control thread: the VM list, probes of targets, scheduler ticks, and
//! scheduler effects that concern no single request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use log::Level;

use crate::caller::{CatalogIndex, Shared, TargetState, TargetView};
use crate::catalog::CatalogCell;
use crate::entry::ProbeAssignment;
use crate::entry::probe::{ProbeOutcome, probe};
use crate::entry::status::EntryStatus;
use crate::order::OrderController;
use crate::peer::{JoinQuestions, LoadUpdate, PeerInfo, PeerLinks, PeerMessage};
use crate::platform::{Role, Vm, VmPhase};
use crate::prelude::*;
use crate::scheduler::{Effect, Event, Signal, TargetInfo};
use crate::target::LoadReport;
use crate::telemetry::log_event;

/// Longest interval between two scheduler ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest interval between two scheduler ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Peers as of the last change.
#[derive(Default)]
struct Peers {
    live: HashSet<Name>,
    /// Bounds the questions to those that are found.
    questions: JoinQuestions,
}

/// State of the control thread.
pub(crate) struct Control {
    /// State shared with the traffic threads.
    pub shared: Arc<Shared>,
    /// Readiness and catalog revision of this entry.
    pub status: Arc<EntryStatus>,
    /// Links to peers.
    pub links: Arc<dyn PeerLinks>,
    /// Executor of the control thread.
    pub executor: Arc<Executor<'static>>,
    /// Interval between two rounds of probes.
    pub probe_interval: Duration,
    /// Origin of the timestamps of `probe_assignment`.
    started: Instant,
    targets: Mutex<HashMap<Name, TargetState>>,
    probe_assignment: Mutex<ProbeAssignment>,
    peers: Mutex<Peers>,
    pub(crate) order_controller: Arc<OrderController>,
    vms: Mutex<Vec<Vm>>,
}

impl Control {
    /// Makes the control state, without any VMs.
    pub(crate) fn new(
        shared: Arc<Shared>,
        status: Arc<EntryStatus>,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
        probe_interval: Duration,
        probe_assignment: ProbeAssignment,
        order_controller: Arc<OrderController>,
    ) -> Self {
        Self {
            shared,
            status,
            links,
            executor,
            probe_interval,
            started: Instant::now(),
            targets: Mutex::default(),
            probe_assignment: Mutex::new(probe_assignment),
            peers: Mutex::default(),
            order_controller,
            vms: Mutex::default(),
        }
    }

    /// Replaces the list of VMs and derives the targets from it.
    pub(crate) fn set_vms(&self, vms: &BTreeMap<Name, Vm>) {
        *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms.values().cloned().collect();
        let infos: Vec<TargetInfo> = vms.values().filter_map(target_info).collect();
        self.set_targets(&infos);
        self.shared.scheduler.submit(Event::Targets(infos));
        self.status.set_vms_known();
    }

    /// The current list of VMs.
    pub(crate) fn vms(&self) -> Vec<Vm> {
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.clone()
    }

    fn set_targets(&self, infos: &[TargetInfo]) {
        let mut targets = self.targets();
        let mut previous = std::mem::take(&mut *targets);
        for info in infos {
            let known = previous.remove(&info.name);
            let state = TargetState {
                info: info.clone(),
                reachable: known.as_ref().is_some_and(|t| t.reachable),
                report: known.map(|t| t.report).unwrap_or_default(),
            };
            targets.insert(info.name.clone(), state);
        }
        self.publish(&targets);
        self.probe_assignment().assign(&self.links.live(), infos);
    }

    fn publish(&self, targets: &HashMap<Name, TargetState>) {
        let view = TargetView::new(targets.values().cloned());
        self.shared.targets.store(Arc::new(view));
    }

    fn targets(&self) -> MutexGuard<'_, HashMap<Name, TargetState>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Probes the targets that are due, round by round; after each round, broadcasts the loads to
    /// peers and updates the order controller. Never returns.
    pub(crate) async fn run_probes(self: Arc<Self>) {
        loop {
            let probes: Vec<_> = self
                .due_targets()
                .into_iter()
                .map(|info| self.executor.spawn(self.clone().probe_target(info)))
                .collect();
            Timer::after(self.probe_interval).await;
            for probe in probes {
                probe.await;
            }
            self.publish(&self.targets());
            self.broadcast_loads();
            self.update_order_controller();
        }
    }

    /// Competes for the lease of the failure domain and sends orders to its targets; never returns.
    pub(crate) async fn run_orders(self: Arc<Self>) {
        self.order_controller.run().await;
    }

    /// Passes the targets and the reports of reachable ones to the order controller.
    fn update_order_controller(&self) {
        let targets = self.targets();
        let infos: Vec<TargetInfo> = targets.values().map(|t| t.info.clone()).collect();
        let reachable = targets.values().filter(|t| t.reachable);
        let reports = reachable
            .map(|t| (t.info.name.clone(), t.report.clone()))
            .collect();
        drop(targets);
        self.order_controller.observe(&infos, &reports);
    }

    fn due_targets(&self) -> Vec<TargetInfo> {
        let now = self.started.elapsed();
        let targets = self.targets();
        let probe_assignment = self.probe_assignment();
        let due = targets
            .values()
            .filter(|t| probe_assignment.is_due(now, &t.info.name));
        due.map(|t| t.info.clone()).collect()
    }

    fn broadcast_loads(&self) {
        let now = self.started.elapsed();
        let targets = self.targets();
        let reports = targets.values().filter(|t| t.reachable);
        let reports = reports.map(|t| (t.info.name.clone(), t.report.clone()));
        let updates = self.probe_assignment().due_updates(now, reports);
        drop(targets);
        if !updates.is_empty() {
            self.links.broadcast(&PeerMessage::Loads(updates));
        }
    }

    /// Reassigns the probes after the set of live peers changed.
    pub(crate) fn reassign_probes(&self, live: &[PeerInfo]) {
        let targets = self.targets();
        self.probe_assignment()
            .assign(live, targets.values().map(|t| &t.info));
    }

    /// Applies load updates from peers; updates about targets that are not listed are ignored.
    pub(crate) fn apply_load_updates(&self, updates: Vec<LoadUpdate>) {
        let now = self.started.elapsed();
        for update in updates {
            let target = update.target.clone();
            let last = self.targets().get(&target).map(|t| t.report.clone());
            let Some(last) = last else {
                continue;
            };
            self.probe_assignment().record_update(now, &target);
            self.record_report(target, update.apply_to(&last));
        }
    }

    async fn probe_target(self: Arc<Self>, info: TargetInfo) {
        let timeout = self.probe_interval.max(MIN_PROBE_TIMEOUT);
        let target = info.name.clone();
        let outcome = probe(&self.shared.pool, info.address, timeout).await;
        self.probe_assignment()
            .record_update(self.started.elapsed(), &target);
        match outcome {
            ProbeOutcome::Alive(report) => {
                self.signal(&target, Signal::Reachable);
                self.record_report(target, report);
            }
            ProbeOutcome::Dead => self.record_unreachable(&target),
        }
    }

    fn record_unreachable(&self, target: &Name) {
        let known = self
            .targets()
            .get_mut(target)
            .map(|t| std::mem::take(&mut t.reachable));
        if known == Some(true) {
            log_event(Level::Warn, "target_unreachable", &[("target", target)]);
            self.links.broadcast(&PeerMessage::TargetSignal {
                target: target.clone(),
                leaving: false,
            });
        }
        self.signal(target, Signal::Unreachable);
    }

    fn record_report(&self, target: Name, report: LoadReport) {
        if let Some(state) = self.targets().get_mut(&target) {
            if report.leaving && !state.report.leaving {
                self.announce_leaving(&target);
            }
            state.report = report.clone();
            state.reachable = true;
        }
        self.shared
            .scheduler
            .submit(Event::Report { target, report });
    }

    fn announce_leaving(&self, target: &Name) {
        log_event(Level::Info, "target_leaving", &[("target", target)]);
        self.links.broadcast(&PeerMessage::TargetSignal {
            target: target.clone(),
            leaving: true,
        });
    }

    fn probe_assignment(&self) -> MutexGuard<'_, ProbeAssignment> {
        self.probe_assignment
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a signal about a target to the scheduler.
    pub(crate) fn signal(&self, target: &Name, signal: Signal) {
        let target = target.clone();
        self.shared
            .scheduler
            .submit(Event::Signal { target, signal });
    }

    /// Ticks the scheduler and updates its metrics; never returns.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        let mut counted = self.shared.scheduler.broken_invariants();
        loop {
            let pause = self
                .shared
                .scheduler
                .until_wakeup()
                .unwrap_or(MAX_TICK_INTERVAL);
            Timer::after(pause.clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL)).await;
            self.shared.scheduler.submit(Event::Tick);
            let broken = self.shared.scheduler.broken_invariants();
            self.shared
                .metrics
                .invariants
                .inc_by(broken.saturating_sub(counted));
            counted = broken;
            let queued = i64::try_from(self.shared.scheduler.queued()).unwrap_or(i64::MAX);
            self.shared.metrics.queued.set(queued);
        }
    }

    /// Publishes each catalog that comes into force to the traffic threads and the scheduler, and
    /// records its revision.
    pub(crate) async fn run_catalog(self: Arc<Self>, cell: Arc<CatalogCell>) {
        let catalogs = cell.subscribe();
        while let Ok(catalog) = catalogs.recv().await {
            let revision = catalog.revision;
            self.shared
                .catalog_index
                .store(Arc::new(CatalogIndex::new(catalog.clone())));
            self.shared.scheduler.submit(Event::Catalog(catalog));
            self.status.set_revision(revision);
            self.shared
                .metrics
                .revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
            log_event(Level::Info, "catalog_in_force", &[("revision", &revision)]);
        }
    }

    /// Executes scheduler effects that concern no single request.
    pub(crate) async fn run_effects(self: Arc<Self>, effects: async_channel::Receiver<Effect>) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                Effect::Probe { target, .. } => self.probe_now(&target),
                Effect::Quarantine(suspect) => self.broadcast_quarantine(suspect),
                _ => {}
            }
        }
    }

    /// Asks peers that were found for what they know of requests that crash targets, and stops waiting
    /// for acknowledgements of peers that are no longer live.
    pub(crate) fn update_quarantine_peers(&self, live: &[PeerInfo]) {
        let names: HashSet<Name> = live.iter().map(|peer| peer.name.clone()).collect();
        self.shared
            .quarantine_notices
            .retain_peers(|name| names.contains(name));
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let Peers { live, questions } = &mut *peers;
        for found in names.difference(live) {
            if questions.permit(self.started.elapsed()) {
                self.links.send(found, PeerMessage::WantSuspectRequests);
            }
        }
        *live = names;
    }

    /// Probes a target without waiting for the next round.
    pub(crate) fn probe_now(self: &Arc<Self>, target: &Name) {
        let info = self.targets().get(target).map(|t| t.info.clone());
        if let Some(info) = info {
            self.executor
                .spawn(self.clone().probe_target(info))
                .detach();
        }
    }
}

/// Lower bound of a probe's timeout, which is otherwise the probe interval.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

fn target_info(vm: &Vm) -> Option<TargetInfo> {
    matches!(vm.role, Role::Engine | Role::Service).then(|| TargetInfo {
        name: vm.name.clone(),
        domain: vm.domain.clone(),
        address: vm.address,
        serves: vm.serves.clone(),
        leaving: vm.phase == VmPhase::Leaving,
        started_ms: 0,
        software: Name::default(),
    })
}
