//! Control tasks of a gateway: watches of the platform store, messages to peers, and weight orders.

mod caller_limits;
mod cordons;
mod decoding;
mod domain_scheduling;
mod evacuations;
mod fetch_leases;
mod freshness;
mod hub;
mod load_spread;
mod members;
mod orders;
mod path_checks;
pub(crate) mod peers;
mod periodic;
mod quarantine;
mod rate_shares;
mod routes;
mod slot_shares;
mod state;
mod store_cleanup;
mod store_objects;
mod store_relay;
mod stream_origins;
mod target_reports;
mod target_versions;
mod warm_ups;

use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use async_io::Timer;

use crate::context_store::ContextStoreClient;
use crate::domain_scheduler::DomainScheduler;
use crate::gateway::shared::{Shared, TargetObservation};
use crate::gateway::{Decoder, INTERVAL_JITTER, WatchedKind};
use crate::lease::LeaseClient;
use crate::peer::{Mesh, PeerLinks, PeerMessage};
use crate::platform::{Platform, Vm};
use crate::prelude::*;
use crate::rate_limit::ColdBound;
use crate::scheduler::{Effect, Event, Signal};
use crate::supervisor::Supervisor;

use caller_limits::CallerLimitReport;
pub(crate) use domain_scheduling::HubLinks;
pub use orders::{TargetControl, TargetStatus};
pub(crate) use state::State;
pub(crate) use target_reports::TargetReport;

/// Receiver of requests' observations about targets.
pub(crate) type TargetObservationReceiver = async_channel::Receiver<TargetObservation>;

/// Time for which a target gets no new work after it refused a request for its weight version
/// without reporting the version that it runs.
const UNKNOWN_VERSION_PAUSE: Duration = Duration::from_millis(600);

/// State and ports of the control tasks, which run on the control thread.
pub(crate) struct Control {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// This entry's own object in the platform store.
    pub own_vm: Vm,
    /// State shared with the request tasks.
    pub shared: Arc<Shared>,
    /// Scheduler of the failure domain's targets, in use while this entry is a hub.
    pub domain_scheduler: DomainScheduler,
    /// Client of the platform store.
    pub platform: Arc<dyn Platform>,
    /// Decoder of objects in the platform store.
    pub decoder: Arc<dyn Decoder>,
    /// Client for weight orders and status queries to targets.
    pub targets: Arc<dyn TargetControl>,
    /// Client of the context stores.
    pub stores: Arc<dyn ContextStoreClient>,
    /// Lease that permits this entry to issue weight orders.
    pub lease: LeaseClient,
    /// Connections to peers.
    pub mesh: OnceLock<Arc<Mesh>>,
    /// Supervisor of the control thread's tasks.
    pub supervisor: Supervisor,
    /// Time after a disruption of the platform store within which its changes must be known.
    pub recovery_deadline: Duration,
    /// Time within which an evacuation must take effect; `None` where there are none, so that they
    /// are not watched.
    pub evacuation_deadline: Option<Duration>,
    /// Pause after each batch of changes in the platform store, in a large system.
    pub batch_pause: Duration,
    /// Interval at which targets renew their registrations.
    pub target_heartbeat: Duration,
    /// Time after which the registration of a target that is gone has expired.
    pub registration_lifetime: Duration,
    /// Hard bound on the requests that a cold target gets; `None` where cold targets are not treated
    /// differently.
    pub cold_bound: Option<ColdBound>,
    /// Estimated number of entries, until the platform store has listed them.
    pub estimated_entries: u32,
    /// State of the control tasks.
    pub state: Mutex<State>,
}

impl Control {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the start of this process.
    pub(crate) fn now(&self) -> Timestamp {
        self.shared.now()
    }

    /// Updates everything that is derived from the objects of one kind.
    pub(crate) fn update_derived(self: &Arc<Self>, state: &mut State, watched: WatchedKind) {
        let now = self.now();
        match watched {
            WatchedKind::Routes => self.apply_routes(state),
            WatchedKind::Targets => {
                let failures = state.decode_targets(now, &*self.decoder);
                self.report_undecodable(state, watched, &failures);
                self.submit_targets(state);
                self.submit_announced_warm_ups(state);
            }
            WatchedKind::Weights => {
                let (weights, failures) = state.decode_weights(now, &*self.decoder);
                self.report_undecodable(state, watched, &failures);
                for declared in weights {
                    let event = crate::rollout::RolloutEvent::VersionDeclared {
                        model: declared.model,
                        version: declared.version,
                    };
                    self.plan_rollout(state, event);
                }
                self.shared.versions.set(&state.versions, now);
            }
            WatchedKind::Members => {
                let (members, failures) = state.decode_members();
                self.report_undecodable(state, watched, &failures);
                state.set_cpu_shares(&members);
                self.update_relays(state, &members);
                if let Some(mesh) = self.mesh.get() {
                    mesh.set_peers(&members);
                }
            }
            WatchedKind::Evacuations => self.apply_evacuations(state),
        }
    }

    /// Sends the registered targets, their weights and their load to the scheduler and the rollout
    /// planner.
    pub(crate) fn submit_targets(&self, state: &mut State) {
        state.targets_withheld = self.awaits_evacuations(state);
        if state.targets_withheld {
            return;
        }
        let now = self.now();
        let infos: Vec<_> = state.targets.iter().map(|t| t.info.clone()).collect();
        let names = infos.iter().map(|t| t.name.clone()).collect();
        self.shared.paths.set_targets(&names);
        self.shared.brittle.set_registered(now, &names);
        let starts = infos.iter().map(|t| (t.name.clone(), t.started_ms));
        self.shared.limits.set_targets(now, starts);
        // New targets may be cold, so the schedulers have to know the plans before the list.
        self.submit_warm_up_plans(state);
        self.submit_domain_targets(&infos);
        self.shared.scheduler.submit(Event::Targets(infos));
        self.record_evacuations(state);
        let loaded: Vec<_> = state.effective_weights(now).collect();
        state.versions.set_loaded(loaded);
        self.shared.versions.set(&state.versions, now);
        self.submit_reports(state);
        self.plan_rollout(
            state,
            crate::rollout::RolloutEvent::Targets(state.rollout_targets()),
        );
        let leaving = state.targets.iter().filter(|t| t.info.leaving).count();
        let all = state.targets.iter().count();
        let gauge = |label: &str, n: usize| {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.shared
                .metrics
                .targets
                .with_label_values(&[label])
                .set(n);
        };
        gauge("ready", all - leaving);
        gauge("leaving", leaving);
    }

    /// Sends the load and the weights of each target to the scheduler.
    pub(crate) fn submit_reports(&self, state: &mut State) {
        let now = self.now();
        let table = self.shared.routes.load_full();
        let own = self.shared.scheduler.own_loads();
        let granted = self.domain_scheduler.scheduler.own_loads();
        let mut reports = state.load_reports(now, table.as_deref(), &own, &granted);
        self.keep_to_slot_shares(state, &mut reports);
        self.submit_domain_reports(state, table.as_deref(), &reports);
        for TargetReport { target, report, .. } in reports {
            self.shared
                .scheduler
                .submit(Event::Report { target, report });
        }
    }

    /// Executes scheduler effects that belong to no single request; never returns while the gateway
    /// runs.
    pub(crate) async fn run_effects(self: Arc<Self>, effects: async_channel::Receiver<Effect>) {
        while let Ok(effect) = effects.recv().await {
            match effect {
                Effect::Probe { target, address } => {
                    let probe = self.clone().probe(target, address);
                    self.supervisor.spawn("probe", probe);
                }
                Effect::Quarantine(suspect) => self.broadcast_quarantine(suspect),
                _ => {}
            }
        }
    }

    /// Applies requests' observations about targets; never returns while the gateway runs.
    pub(crate) async fn run_observations(
        self: Arc<Self>,
        observations: async_channel::Receiver<TargetObservation>,
    ) {
        while let Ok(observation) = observations.recv().await {
            let target = observation.target.clone();
            // Every response of a cold target carries this signal; the warm-up itself is logged once.
            if !matches!(observation.signal, Signal::Cold(_)) {
                log::info!(
                    "event=target_word target={target} signal={:?} weights={:?}",
                    observation.signal,
                    observation.weights
                );
            }
            if let Some(version) = observation.weights {
                let mut state = self.state();
                let now = self.now();
                if version > 0 {
                    state.record_reported_version(now, &target, version);
                } else {
                    state.pause_target(&target, now + UNKNOWN_VERSION_PAUSE);
                }
                self.submit_targets(&mut state);
            }
            if observation.said_leaving {
                let mut state = self.state();
                if state.targets.record_said_leaving(&target) {
                    log::info!("event=target_said_leaving target={target}");
                    self.submit_targets(&mut state);
                }
            }
            self.submit_signal(target, observation.signal);
        }
    }

    /// Sends a message to one peer.
    pub(crate) fn send(&self, to: &str, message: PeerMessage) {
        self.try_send(to, message);
    }

    /// Sends a message to one peer; `false` when there is no link or its queue is full.
    pub(crate) fn try_send(&self, to: &str, message: PeerMessage) -> bool {
        let mesh = self.mesh.get();
        mesh.is_some_and(|mesh| mesh.send(to, message))
    }

    /// Sleeps with a jitter of ±10 %, so that entries do not act in lockstep.
    pub(crate) async fn sleep_with_jitter(time: Duration) {
        let jitter = INTERVAL_JITTER * (2.0 * fastrand::f64() - 1.0);
        Timer::after(time.mul_f64(1.0 + jitter)).await;
    }
}
