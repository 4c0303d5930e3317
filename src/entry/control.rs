//! The control thread's state: VMs, probes, ticks and effects that concern no single request.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use log::Level;

use crate::caller::{Directory, Shared, TargetState, TargetView};
use crate::catalog::CatalogCell;
use crate::entry::ProbeShare;
use crate::entry::probe::{Probed, probe};
use crate::entry::status::Status;
use crate::order::OrderController;
use crate::peer::{LoadUpdate, PeerInfo, PeerLinks, PeerMessage};
use crate::platform::{Role, Vm, VmPhase};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::{Effect, Event, Signal, TargetInfo};
use crate::shared_scheduler::QuarantineNotice;
use crate::target::LoadReport;
use crate::telemetry::log_event;

/// Longest time between two ticks of the desk.
const MAX_TICK: Duration = Duration::from_millis(20);
/// Shortest time between two ticks of the desk.
const MIN_TICK: Duration = Duration::from_millis(2);

/// Everything that the control thread keeps up to date.
pub(crate) struct Control {
    /// What traffic threads see.
    pub shared: Arc<Shared>,
    /// Readiness and revision.
    pub status: Arc<Status>,
    /// Links to peers.
    pub links: Arc<dyn PeerLinks>,
    /// Executor of the control thread.
    pub executor: Arc<Executor<'static>>,
    /// Interval of probes.
    pub probe_interval: Duration,
    started: Instant,
    targets: Mutex<HashMap<Name, TargetState>>,
    share: Mutex<ProbeShare>,
    peers: Mutex<HashSet<Name>>,
    orderer: Arc<OrderController>,
    vms: Mutex<Vec<Vm>>,
}

impl Control {
    /// Makes the control state of an entry without targets.
    pub(crate) fn new(
        shared: Arc<Shared>,
        status: Arc<Status>,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
        probe_interval: Duration,
        share: ProbeShare,
        orderer: Arc<OrderController>,
    ) -> Self {
        Self {
            shared,
            status,
            links,
            executor,
            probe_interval,
            started: Instant::now(),
            targets: Mutex::default(),
            share: Mutex::new(share),
            peers: Mutex::default(),
            orderer,
            vms: Mutex::default(),
        }
    }

    /// Takes over a new list of VMs.
    pub(crate) fn take_vms(&self, vms: &BTreeMap<Name, Vm>) {
        *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms.values().cloned().collect();
        let infos: Vec<TargetInfo> = vms.values().filter_map(target_info).collect();
        self.take_targets(&infos);
        self.shared.scheduler.submit(Event::Targets(infos));
        self.status.set_listed();
    }

    /// The list of VMs taken over last.
    pub(crate) fn vms(&self) -> Vec<Vm> {
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.clone()
    }

    fn take_targets(&self, infos: &[TargetInfo]) {
        let mut targets = self.targets();
        let mut old = std::mem::take(&mut *targets);
        for info in infos {
            let known = old.remove(&info.name);
            let state = TargetState {
                info: info.clone(),
                reported: known.as_ref().is_some_and(|t| t.reported),
                report: known.map(|t| t.report).unwrap_or_default(),
            };
            targets.insert(info.name.clone(), state);
        }
        self.publish(&targets);
        self.share().assign(&self.links.live(), infos);
    }

    fn publish(&self, targets: &HashMap<Name, TargetState>) {
        let view = TargetView::new(targets.values().cloned());
        self.shared.targets.store(Arc::new(view));
    }

    fn targets(&self) -> MutexGuard<'_, HashMap<Name, TargetState>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks targets for their load and tells the peers, for ever.
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
            self.tell_loads();
            self.show_orderer();
        }
    }

    /// Competes for the lease of the domain and gives its targets orders, for ever.
    pub(crate) async fn run_orders(self: Arc<Self>) {
        self.orderer.run().await;
    }

    fn show_orderer(&self) {
        let targets = self.targets();
        let infos: Vec<TargetInfo> = targets.values().map(|t| t.info.clone()).collect();
        let reported = targets.values().filter(|t| t.reported);
        let reports = reported
            .map(|t| (t.info.name.clone(), t.report.clone()))
            .collect();
        drop(targets);
        self.orderer.observe(&infos, &reports);
    }

    fn due_targets(&self) -> Vec<TargetInfo> {
        let now = self.started.elapsed();
        let targets = self.targets();
        let share = self.share();
        let due = targets.values().filter(|t| share.is_due(now, &t.info.name));
        due.map(|t| t.info.clone()).collect()
    }

    fn tell_loads(&self) {
        let now = self.started.elapsed();
        let targets = self.targets();
        let reports = targets.values().filter(|t| t.reported);
        let reports = reports.map(|t| (t.info.name.clone(), t.report.clone()));
        let words = self.share().words(now, reports);
        drop(targets);
        if !words.is_empty() {
            self.links.broadcast(&PeerMessage::Loads(words));
        }
    }

    /// Takes over who is live among the peers.
    pub(crate) fn reassign(&self, live: &[PeerInfo]) {
        let targets = self.targets();
        self.share().assign(live, targets.values().map(|t| &t.info));
    }

    /// Takes peers' words of the load of targets that they probe.
    pub(crate) fn take_words(&self, words: Vec<LoadUpdate>) {
        let now = self.started.elapsed();
        for word in words {
            let target = word.target.clone();
            let last = self.targets().get(&target).map(|t| t.report.clone());
            let Some(last) = last else {
                continue;
            };
            self.share().heard(now, &target);
            self.take_report(target, word.apply_to(&last));
        }
    }

    async fn probe_target(self: Arc<Self>, info: TargetInfo) {
        let timeout = self.probe_interval.max(MIN_PROBE_TIMEOUT);
        let target = info.name.clone();
        let probed = probe(&self.shared.pool, info.address, timeout).await;
        self.share().heard(self.started.elapsed(), &target);
        match probed {
            Probed::Alive(report) => {
                self.signal(&target, Signal::Reachable);
                self.take_report(target, report);
            }
            Probed::Dead => self.lost(&target),
        }
    }

    fn lost(&self, target: &Name) {
        let known = self
            .targets()
            .get_mut(target)
            .map(|t| std::mem::take(&mut t.reported));
        if known == Some(true) {
            log_event(Level::Warn, "target_unreachable", &[("target", target)]);
            self.links.broadcast(&PeerMessage::TargetSignal {
                target: target.clone(),
                leaving: false,
            });
        }
        self.signal(target, Signal::Unreachable);
    }

    fn take_report(&self, target: Name, report: LoadReport) {
        if let Some(state) = self.targets().get_mut(&target) {
            if report.leaving && !state.report.leaving {
                self.announce_leaving(&target);
            }
            state.report = report.clone();
            state.reported = true;
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

    fn share(&self) -> MutexGuard<'_, ProbeShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the desk a signal about a target.
    pub(crate) fn signal(&self, target: &Name, signal: Signal) {
        let target = target.clone();
        self.shared
            .scheduler
            .submit(Event::Signal { target, signal });
    }

    /// Ticks the desk for ever.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        let mut broken = 0;
        loop {
            let pause = self.shared.scheduler.until_wakeup().unwrap_or(MAX_TICK);
            Timer::after(pause.clamp(MIN_TICK, MAX_TICK)).await;
            self.shared.scheduler.submit(Event::Tick);
            let found = self.shared.scheduler.broken_invariants();
            self.shared
                .metrics
                .invariants
                .inc_by(found.saturating_sub(broken));
            broken = found;
            let waiting = i64::try_from(self.shared.scheduler.open_requests()).unwrap_or(i64::MAX);
            self.shared.metrics.queued.set(waiting);
        }
    }

    /// Puts each catalog that comes into force before the traffic threads.
    pub(crate) async fn run_catalog(self: Arc<Self>, cell: Arc<CatalogCell>) {
        let catalogs = cell.subscribe();
        while let Ok(catalog) = catalogs.recv().await {
            let revision = catalog.revision;
            self.shared
                .directory
                .store(Arc::new(Directory::new(catalog.clone())));
            self.shared.scheduler.submit(Event::Catalog(catalog));
            self.status.set_revision(revision);
            self.shared
                .metrics
                .revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
            log_event(Level::Info, "catalog_in_force", &[("revision", &revision)]);
        }
    }

    /// Carries out effects that concern no single request.
    pub(crate) async fn run_effects(self: Arc<Self>, effects: async_channel::Receiver<Effect>) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                Effect::Probe { target, .. } => self.probe_now(&target),
                Effect::Quarantine {
                    fingerprint,
                    victims,
                    ttl,
                } => self.tell_quarantine(&fingerprint, victims, ttl),
                _ => {}
            }
        }
    }

    fn tell_quarantine(&self, fingerprint: &BlockKey, victims: Vec<Name>, ttl: Duration) {
        let peers = self.links.live().into_iter().map(|peer| peer.name);
        let fingerprint = Name::from(fingerprint.to_string());
        let word = self
            .shared
            .quarantine_notices
            .record_sent(fingerprint, victims, ttl, peers);
        self.links.broadcast(&quarantine_message(word));
    }

    /// Tells peers that join what is quarantined, and stops waiting for those that have left.
    pub(crate) fn take_peers(&self, live: &[PeerInfo]) {
        let names: HashSet<Name> = live.iter().map(|peer| peer.name.clone()).collect();
        self.shared
            .quarantine_notices
            .retain_peers(|name| names.contains(name));
        let mut known = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        for joined in names.difference(&known) {
            for word in self.shared.quarantine_notices.active() {
                self.links.send(joined, quarantine_message(word));
            }
        }
        *known = names;
    }

    /// Probes a target at once.
    pub(crate) fn probe_now(self: &Arc<Self>, target: &Name) {
        let info = self.targets().get(target).map(|t| t.info.clone());
        if let Some(info) = info {
            self.executor
                .spawn(self.clone().probe_target(info))
                .detach();
        }
    }
}

/// Shortest wait for a probe's answer.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(500);

fn quarantine_message(word: QuarantineNotice) -> PeerMessage {
    PeerMessage::Quarantine {
        seq: word.seq,
        fingerprint: word.fingerprint,
        victims: word.victims,
        ttl_ms: u64::try_from(word.ttl.as_millis()).unwrap_or(u64::MAX),
    }
}

fn target_info(vm: &Vm) -> Option<TargetInfo> {
    matches!(vm.role, Role::Engine | Role::Service).then(|| TargetInfo {
        name: vm.name.clone(),
        domain: vm.domain.clone(),
        address: vm.address,
        serves: vm.serves.clone(),
        leaving: vm.phase == VmPhase::Leaving,
    })
}
