//! Construction, startup and graceful shutdown of a gateway.

mod listeners;
mod parts;
mod probes;
mod tasks;

use std::io;
use std::net::SocketAddr;
use std::sync::OnceLock;

use async_executor::Executor;

use crate::clock::start_coarse_clock;
use crate::context_store::ContextStoreClient;
use crate::entry::Threads;
pub use crate::gateway::builder::listeners::GatewayListeners;
use crate::gateway::builder::listeners::{spawn_caller_listener, spawn_peer_listener};
use crate::gateway::builder::tasks::{
    ControlReceivers, spawn_periodic, spawn_receivers, spawn_store_tasks, spawn_usage_reports,
};
use crate::gateway::contained_decoder::ContainedDecoder;
use crate::gateway::control::{HubLinks, TargetControl};
use crate::gateway::peer_handler::PeerHandler;
use crate::gateway::request_log::DEFAULT_LOG_SAMPLE;
use crate::gateway::shared::TargetObservation;
use crate::gateway::stream_origins::OriginCall;
use crate::gateway::{Decoder, Dialect, Gateway};
use crate::intake::{DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_BYTES, IntakeLimits};
use crate::latch::Latch;
use crate::part_quarantine::PartNotice;
use crate::peer::Mesh;
use crate::platform::{Platform, Role, Vm, VmPhase};
use crate::prelude::*;
use crate::rate_limit::ColdBound;
use crate::residency::RegionMap;
use crate::rollout::{RolloutEffect, RolloutSettings};
use crate::scheduler::Effect;
use crate::secret::Secret;
use crate::supervisor::{Supervisor, TaskFailure};
use crate::telemetry::{DEFAULT_LOG_LINES_PER_SECOND, ProcessLimits};

/// Number of threads that serve callers.
const TRAFFIC_THREADS: usize = 1;
/// Input from which the shared secret of the connections between entries is derived.
const PEER_SECRET_INPUT: &str = "gateway";
/// Interval of heartbeats between entries, and the timeout after which a peer counts as lost.
const HEARTBEAT_TIMING: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_500));
/// Interval and timeout of heartbeats with more than [`MAX_ENTRIES_SHORT_HEARTBEAT`] entries, each
/// of which has many connections; the loss of a hub is detected sooner, by the hub timeout.
const LARGE_SYSTEM_HEARTBEAT_TIMING: (Duration, Duration) =
    (Duration::from_millis(2_400), Duration::from_millis(7_500));
/// Maximum number of peers' connections in their handshake.
const MAX_HANDSHAKES: usize = 256;
/// Maximum number of entries for [`HEARTBEAT_TIMING`].
const MAX_ENTRIES_SHORT_HEARTBEAT: u32 = 24;

/// Clients of the systems around a gateway.
struct Clients {
    decoder: Arc<dyn Decoder>,
    platform: Arc<dyn Platform>,
    targets: Arc<dyn TargetControl>,
    stores: Arc<dyn ContextStoreClient>,
}

/// Senders from the request tasks to the control tasks.
struct SharedChannels {
    effects: async_channel::Sender<Effect>,
    observations: async_channel::Sender<TargetObservation>,
    rollout: async_channel::Sender<RolloutEffect>,
    origins: async_channel::Sender<OriginCall>,
    part_notices: async_channel::Sender<PartNotice>,
}

/// Settings and listen addresses of a [`Gateway`].
pub struct GatewayBuilder {
    name: Name,
    domain: Name,
    caller_addr: SocketAddr,
    probe_addr: SocketAddr,
    peer_addr: SocketAddr,
    metrics: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    entries: u32,
    cpu_millis: u32,
    regions: RegionMap,
    log_sample: u32,
    log_lines: u32,
    retry_ratio: f64,
    retry_burst: f64,
    balancer_lag: Duration,
    shutdown_timeout: Duration,
    rollout: RolloutSettings,
    target_heartbeat: Duration,
    change_deadline: Duration,
    recovery_deadline: Duration,
    version_deadline: Duration,
    cold_bound: Option<ColdBound>,
    evacuation_deadline: Option<Duration>,
    intake: IntakeLimits,
    process_limits: ProcessLimits,
}

impl GatewayBuilder {
    /// Creates the settings of an entry from its name, its failure domain and its listen addresses
    /// for callers, for the load balancer's readiness checks and for peers.
    #[must_use]
    pub fn new(
        name: impl Into<Name>,
        domain: impl Into<Name>,
        caller_addr: SocketAddr,
        probe_addr: SocketAddr,
        peer_addr: SocketAddr,
    ) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            caller_addr,
            probe_addr,
            peer_addr,
            metrics: None,
            seeds: Vec::new(),
            entries: 8,
            cpu_millis: 0,
            regions: RegionMap::default(),
            log_sample: DEFAULT_LOG_SAMPLE,
            log_lines: DEFAULT_LOG_LINES_PER_SECOND,
            retry_ratio: 0.1,
            retry_burst: 10.0,
            balancer_lag: Duration::from_millis(2_600),
            shutdown_timeout: Duration::from_secs(8),
            rollout: RolloutSettings::default(),
            target_heartbeat: Duration::from_millis(1_200),
            change_deadline: Duration::from_secs(2),
            recovery_deadline: Duration::from_secs(3),
            version_deadline: Duration::from_secs(12),
            cold_bound: None,
            evacuation_deadline: None,
            intake: IntakeLimits::default(),
            process_limits: ProcessLimits::of_machine(
                DEFAULT_MEMORY_BYTES,
                DEFAULT_MAX_DESCRIPTORS,
            ),
        }
    }

    /// Sets the memory of this VM, in bytes, and the number of descriptors that the process may open,
    /// which bound what callers may hold.
    #[must_use]
    pub fn machine(mut self, memory_bytes: usize, max_descriptors: usize) -> Self {
        self.intake = IntakeLimits::for_machine(memory_bytes, max_descriptors);
        self.process_limits = ProcessLimits::of_machine(memory_bytes, max_descriptors);
        self
    }

    /// Serves metrics on a separate address as well.
    #[must_use]
    pub fn metrics(mut self, addr: Option<SocketAddr>) -> Self {
        self.metrics = addr;
        self
    }

    /// Sets addresses of peers to connect to before any are known from the platform store.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the retry budget of all entries together: a ratio of the requests and a burst, which is
    /// divided by the number of entries.
    #[must_use]
    pub fn retries(mut self, ratio: f64, burst: f64) -> Self {
        self.retry_ratio = ratio;
        self.retry_burst = burst;
        self
    }

    /// Sets the approximate number of entries, used until their actual number is known.
    #[must_use]
    pub fn entries(mut self, entries: u32) -> Self {
        self.entries = entries.max(1);
        self
    }

    /// Logs one in `n` successful requests, selected by the hash of the request ID so that all
    /// entries log the same ones; none when zero.
    #[must_use]
    pub fn log_sample(mut self, n: u32) -> Self {
        self.log_sample = n;
        self
    }

    /// Sets how many log lines are written in a second, of which refused requests of which nothing was
    /// sent get a part.
    #[must_use]
    pub fn log_lines(mut self, per_second: u32) -> Self {
        self.log_lines = per_second;
        self
    }

    /// Sets the CPU share of this VM, in thousandths of a processor.
    #[must_use]
    pub fn cpu_millis(mut self, cpu_millis: u32) -> Self {
        self.cpu_millis = cpu_millis;
        self
    }

    /// Sets the regions of the failure domains, for requests that may be processed in some only.
    #[must_use]
    pub fn regions(mut self, regions: RegionMap) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the time until the load balancer notices that this entry is not ready, and the time
    /// after which a shutdown no longer waits for connections.
    #[must_use]
    pub fn shutdown(mut self, balancer_lag: Duration, shutdown_timeout: Duration) -> Self {
        self.balancer_lag = balancer_lag;
        self.shutdown_timeout = shutdown_timeout;
        self
    }

    /// Sets the interval at which targets renew their registrations.
    #[must_use]
    pub fn target_heartbeat(mut self, interval: Duration) -> Self {
        self.target_heartbeat = interval;
        self
    }

    /// Sets the time within which changes in the platform store must take effect.
    #[must_use]
    pub fn change_deadline(mut self, deadline: Duration) -> Self {
        self.change_deadline = deadline;
        self
    }

    /// Sets the time after a disruption of the platform store within which its changes must be
    /// known.
    #[must_use]
    pub fn recovery_deadline(mut self, deadline: Duration) -> Self {
        self.recovery_deadline = deadline;
        self
    }

    /// Sets the time after the declaration of a weight version from which no request may start on an
    /// older one.
    #[must_use]
    pub fn version_deadline(mut self, deadline: Duration) -> Self {
        self.version_deadline = deadline;
        self
    }

    /// Sets the hard bound on the requests that a cold target gets from all entries; without one,
    /// cold targets are treated like others.
    #[must_use]
    pub fn cold_targets(mut self, bound: Option<ColdBound>) -> Self {
        self.cold_bound = bound;
        self
    }

    /// Sets the time within which the evacuation of a failure domain must take effect; without one,
    /// evacuations are not watched.
    #[must_use]
    pub fn evacuation_deadline(mut self, deadline: Option<Duration>) -> Self {
        self.evacuation_deadline = deadline;
        self
    }

    /// Starts the gateway. The address for metrics may be held: it is bound when it becomes free.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        self,
        listeners: GatewayListeners,
        dialect: Arc<dyn Dialect>,
        decoder: Arc<dyn Decoder>,
        platform: Arc<dyn Platform>,
        targets: Arc<dyn TargetControl>,
        stores: Arc<dyn ContextStoreClient>,
    ) -> io::Result<Gateway> {
        start_coarse_clock()?;
        let (effects_tx, effects) = async_channel::unbounded();
        let (observations_tx, observations) = async_channel::unbounded();
        let (rollout_tx, rollout) = async_channel::unbounded();
        let (decisions_tx, decisions) = async_channel::unbounded();
        let (origins_tx, origin_calls) = async_channel::unbounded();
        let (part_notices_tx, part_notices) = async_channel::unbounded();
        let channels = SharedChannels {
            effects: effects_tx.clone(),
            observations: observations_tx,
            rollout: rollout_tx,
            origins: origins_tx,
            part_notices: part_notices_tx,
        };
        let shared = self.build_shared(dialect, channels);
        let shared = Arc::new(shared);
        let domain_scheduler = self.build_domain_scheduler(&shared, effects_tx, decisions_tx);
        let (traffic_ex, control_ex) = (Arc::new(Executor::new()), Arc::new(Executor::new()));
        let clients = Clients {
            decoder: Arc::new(ContainedDecoder(decoder)),
            platform,
            targets,
            stores,
        };
        let failure = Arc::new(TaskFailure::default());
        let supervise = |ex: &Arc<Executor<'static>>| {
            let panics = shared.metrics.panics.clone();
            Supervisor::new(ex.clone(), panics, failure.clone())
        };
        let (traffic, supervisor) = (supervise(&traffic_ex), supervise(&control_ex));
        let control = self.build_control(&shared, clients, domain_scheduler, supervisor.clone());
        let control = Arc::new(control);
        let peer_handler = Arc::new(PeerHandler(OnceLock::new()));
        let _ = peer_handler.0.set(Arc::downgrade(&control));
        let timing = if self.entries > MAX_ENTRIES_SHORT_HEARTBEAT {
            LARGE_SYSTEM_HEARTBEAT_TIMING
        } else {
            HEARTBEAT_TIMING
        };
        let secret = Secret::new(PEER_SECRET_INPUT.as_bytes());
        let mesh = Mesh::builder(self.name.clone(), self.domain.clone(), secret)
            .timing(timing.0, timing.1)
            .full_mesh()
            .seeds(self.seeds.clone())
            .max_handshakes(self.intake.connections.min(MAX_HANDSHAKES))
            .build(peer_handler);
        let _ = control.mesh.set(mesh.clone());
        shared.relays.set_mesh(mesh.clone());
        mesh.serve_relays(control.clone());
        let links = HubLinks(Arc::downgrade(&control));
        shared.scheduler_client.set_links(Box::new(links));
        self.spawn_probe_servers(listeners.probe, &shared, &supervisor)?;
        spawn_usage_reports(&control, self.process_limits);
        spawn_periodic(&control);
        let receivers = ControlReceivers {
            effects,
            decisions,
            observations,
            rollout,
            origins: origin_calls,
            part_notices,
        };
        spawn_receivers(&control, receivers);
        spawn_store_tasks(&control);
        spawn_peer_listener(listeners.peers, &mesh, &supervisor);
        let stop_accepting = Latch::default();
        spawn_caller_listener(listeners.callers, &shared, &traffic, &stop_accepting);
        Ok(Gateway {
            shared,
            control,
            mesh,
            stop_accepting,
            balancer_lag: self.balancer_lag,
            shutdown_timeout: self.shutdown_timeout,
            traffic_threads: Threads::start("traffic", TRAFFIC_THREADS, &traffic_ex)?,
            control_executor: control_ex,
            failure,
        })
    }

    fn own_vm(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            role: Role::Entry,
            domain: self.domain.clone(),
            address: self.peer_addr,
            serves: Name::default(),
            phase: VmPhase::Live,
            cpu_millis: self.cpu_millis,
        }
    }
}
