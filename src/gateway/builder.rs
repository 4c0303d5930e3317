//! Construction of a gateway and its run until it is told to stop.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use async_executor::Executor;
use async_io::{Async, Timer};

use crate::clock::time_since_boot;
use crate::context_store::ContextStoreClient;
use crate::entry::Threads;
use crate::gateway::connections::Connections;
use crate::gateway::control::{Control, State, TargetControl, TargetWordReceiver};
use crate::gateway::drain::Drain;
use crate::gateway::follower::Follower;
use crate::gateway::links::GatewayPeers;
use crate::gateway::listener::accept;
use crate::gateway::members::register;
use crate::gateway::probe::ProbeHandler;
use crate::gateway::shared::Shared;
use crate::gateway::trail::LOG_SAMPLE;
use crate::gateway::versions::VersionView;
use crate::gateway::{Decoder, Dialect, Watched};
use crate::http::{Limits, Server, ServerControl};
use crate::lease::{LeaseClient, LeaseSettings};
use crate::peer::Mesh;
use crate::platform::{Platform, Role, Vm, VmPhase};
use crate::prelude::*;
use crate::rollout::{RolloutEffect, RolloutSettings};
use crate::scheduler::{Effect, Event, Placement, RetryBurst, Scheduler, SchedulerSettings};
use crate::secret::Secret;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::telemetry::GatewayMetrics;

/// Threads that serve callers.
const TRAFFIC_THREADS: usize = 1;
/// Text that the secret of the links between entries is derived from.
const MESH: &str = "gateway";
/// Time of the lease to give orders after each write.
const LEASE_TIME: Duration = Duration::from_millis(1_500);
/// Further time before a candidate takes over.
const LEASE_MARGIN: Duration = Duration::from_millis(400);
/// Interval of heartbeats between entries, and the silence after which a peer counts as lost.
const PEER_TIMING: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_500));
/// The same where many entries make many links; who follows hubs notices their loss sooner.
const CROWDED_TIMING: (Duration, Duration) =
    (Duration::from_millis(2_400), Duration::from_millis(7_500));
/// Entries up to which the former hold.
const MODERATE_ENTRIES: u32 = 24;
/// Interval at which a shutdown looks whether all work has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Pause between the end of the last request and the exit, in which its answer leaves.
const LAST_ANSWER: Duration = Duration::from_millis(100);

/// Settings and ports of a [`Gateway`].
pub struct GatewayBuilder {
    name: Name,
    domain: Name,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    metrics: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    entries: u32,
    power: u32,
    log_sample: u32,
    retry_ratio: f64,
    retry_slack: f64,
    balancer_lag: Duration,
    grace: Duration,
    rollout: RolloutSettings,
}

impl GatewayBuilder {
    /// Starts the settings of an entry with its name, failure domain and addresses: of callers, of
    /// the balancer's questions, and of peers.
    #[must_use]
    pub fn new(
        name: impl Into<Name>,
        domain: impl Into<Name>,
        callers: SocketAddr,
        ready: SocketAddr,
        peers: SocketAddr,
    ) -> Self {
        Self {
            name: name.into(),
            domain: domain.into(),
            callers,
            ready,
            peers,
            metrics: None,
            seeds: Vec::new(),
            entries: 8,
            power: 0,
            log_sample: LOG_SAMPLE,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            balancer_lag: Duration::from_millis(2_600),
            grace: Duration::from_secs(8),
            rollout: RolloutSettings::default(),
        }
    }

    /// Serves metrics on an address of their own.
    #[must_use]
    pub fn metrics(mut self, addr: Option<SocketAddr>) -> Self {
        self.metrics = addr;
        self
    }

    /// Sets addresses of peers that are tried before the store has told any.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the retries that all entries together may make: a share of the requests and a number
    /// that may come at once; each entry takes its part of the latter by the number of entries.
    #[must_use]
    pub fn retries(mut self, ratio: f64, slack: f64) -> Self {
        self.retry_ratio = ratio;
        self.retry_slack = slack;
        self
    }

    /// Sets how many entries there are about, before any is known.
    #[must_use]
    pub fn entries(mut self, entries: u32) -> Self {
        self.entries = entries.max(1);
        self
    }

    /// Logs one in `n` requests that went well, the same ones at every entry; none when zero.
    #[must_use]
    pub fn log_sample(mut self, n: u32) -> Self {
        self.log_sample = n;
        self
    }

    /// Sets the share of a processor that this VM has, in thousandths.
    #[must_use]
    pub fn power(mut self, power: u32) -> Self {
        self.power = power;
        self
    }

    /// Sets the time until the balancer notices that this entry is not ready, and the time after
    /// which a shutdown ends in any case.
    #[must_use]
    pub fn shutdown(mut self, balancer_lag: Duration, grace: Duration) -> Self {
        self.balancer_lag = balancer_lag;
        self.grace = grace;
        self
    }

    /// Binds all addresses and starts.
    ///
    /// # Errors
    /// When an address cannot be bound or a thread cannot be started.
    pub fn start(
        self,
        dialect: Arc<dyn Dialect>,
        decoder: Arc<dyn Decoder>,
        platform: Arc<dyn Platform>,
        targets: Arc<dyn TargetControl>,
        stores: Arc<dyn ContextStoreClient>,
    ) -> io::Result<Gateway> {
        let callers = Async::new(TcpListener::bind(self.callers)?)?;
        let ready = TcpListener::bind(self.ready)?;
        let peers = TcpListener::bind(self.peers)?;
        let metrics = self.metrics.map(TcpListener::bind).transpose()?;

        let (effects_tx, effects) = async_channel::unbounded();
        let (signals_tx, signals) = async_channel::unbounded();
        let (rollout_tx, rollout) = async_channel::unbounded();
        let shared = Arc::new(self.shared(dialect, effects_tx, signals_tx, rollout_tx));
        let (traffic_ex, control_ex) = (Arc::new(Executor::new()), Arc::new(Executor::new()));
        let control = self.control(&shared, decoder, targets, stores, &platform, &control_ex);
        let control = Arc::new(control);
        let events = Arc::new(GatewayPeers(OnceLock::new()));
        let _ = events.0.set(Arc::downgrade(&control));
        let timing = if self.entries > MODERATE_ENTRIES {
            CROWDED_TIMING
        } else {
            PEER_TIMING
        };
        let secret = Secret::new(MESH.as_bytes());
        let mesh = Mesh::builder(self.name.clone(), self.domain.clone(), secret)
            .timing(timing.0, timing.1)
            .full_mesh()
            .seeds(self.seeds.clone())
            .build(events);
        let _ = control.mesh.set(mesh.clone());

        let probe_control = Arc::new(ServerControl::default());
        let probe = Arc::new(ProbeHandler {
            shared: shared.clone(),
            ready_path: shared.dialect.ready_path().into(),
        });
        for listener in std::iter::once(ready).chain(metrics) {
            let server = Server::new(
                listener,
                Limits::default(),
                probe.clone(),
                probe_control.clone(),
            )?;
            control_ex.spawn(server.run(control_ex.clone())).detach();
        }
        spawn_control(&control, &control_ex, effects, signals, rollout);
        for watched in Watched::ALL {
            let follower = Follower {
                watched,
                platform: platform.clone(),
                control: control.clone(),
            };
            control_ex.spawn(follower.run()).detach();
        }
        let kind = control.decoder.kind(Watched::Members);
        control_ex
            .spawn(register(platform, kind, self.own_vm()))
            .detach();
        let run = mesh.clone().run(peers, control_ex.clone());
        control_ex.spawn(run).detach();
        let (stop_accepting, stopped) = async_channel::bounded(1);
        traffic_ex
            .spawn(accept(callers, shared.clone(), traffic_ex.clone(), stopped))
            .detach();
        Ok(Gateway {
            shared,
            mesh,
            stop_accepting,
            balancer_lag: self.balancer_lag,
            grace: self.grace,
            traffic: Threads::start("traffic", TRAFFIC_THREADS, &traffic_ex)?,
            control: control_ex,
        })
    }

    fn own_vm(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            role: Role::Entry,
            domain: self.domain.clone(),
            address: self.peers,
            serves: Name::default(),
            phase: VmPhase::Live,
            cpu_millis: self.power,
        }
    }

    fn shared(
        &self,
        dialect: Arc<dyn Dialect>,
        effects: async_channel::Sender<Effect>,
        signals: async_channel::Sender<crate::gateway::shared::TargetWord>,
        rollout: async_channel::Sender<RolloutEffect>,
    ) -> Shared {
        let words = Arc::new(QuarantineNotices::default());
        let mut desk = Scheduler::new(SchedulerSettings {
            seed: fastrand::u64(..),
            retry_ratio: self.retry_ratio,
            retry_burst: RetryBurst::Total(self.retry_slack),
            hedging: false,
            probe_after_refusal: false,
            placement: Placement::LeastWork,
            ..SchedulerSettings::new(self.domain.clone())
        });
        let entries = Event::EntryCount(self.entries);
        desk.on(Timestamp::ZERO, entries, &mut Vec::new());
        Shared {
            dialect,
            routes: ArcSwapOption::empty(),
            versions: VersionView::default(),
            scheduler: Arc::new(SharedScheduler::new(desk, effects, words.clone())),
            connections: Connections::default(),
            quarantine_notices: words,
            kept: Arc::default(),
            fetch_clock: Arc::default(),
            drain: Arc::new(Drain::default()),
            metrics: Arc::new(GatewayMetrics::new()),
            signals,
            rollout,
            log_sample: self.log_sample,
            origin: time_since_boot(),
        }
    }

    fn control(
        &self,
        shared: &Arc<Shared>,
        decoder: Arc<dyn Decoder>,
        targets: Arc<dyn TargetControl>,
        stores: Arc<dyn ContextStoreClient>,
        platform: &Arc<dyn Platform>,
        executor: &Arc<Executor<'static>>,
    ) -> Control {
        let cfg = LeaseSettings {
            holder: format!("{}.{:x}", self.name, fastrand::u64(..)).into(),
            duration: LEASE_TIME,
            takeover_margin: LEASE_MARGIN,
        };
        Control {
            name: self.name.clone(),
            domain: self.domain.clone(),
            own_vm: self.own_vm(),
            shared: shared.clone(),
            decoder,
            targets,
            stores,
            lease: LeaseClient::new(platform.clone(), "orders".into(), cfg),
            mesh: OnceLock::default(),
            executor: executor.clone(),
            state: Mutex::new(State::new(self.rollout.clone())),
        }
    }
}

fn spawn_control(
    control: &Arc<Control>,
    ex: &Arc<Executor<'static>>,
    effects: async_channel::Receiver<Effect>,
    signals: TargetWordReceiver,
    rollout: async_channel::Receiver<RolloutEffect>,
) {
    ex.spawn(control.clone().run_effects(effects)).detach();
    ex.spawn(control.clone().run_signals(signals)).detach();
    ex.spawn(control.clone().run_orders(rollout)).detach();
    ex.spawn(control.clone().run_lease()).detach();
    ex.spawn(control.clone().run_ticks()).detach();
    ex.spawn(control.clone().run_desk()).detach();
    ex.spawn(control.clone().run_frees()).detach();
}

/// A gateway whose threads run.
pub struct Gateway {
    shared: Arc<Shared>,
    mesh: Arc<Mesh>,
    stop_accepting: async_channel::Sender<()>,
    balancer_lag: Duration,
    grace: Duration,
    traffic: Threads,
    control: Arc<Executor<'static>>,
}

impl Gateway {
    /// Runs the control on the calling thread until `stop` completes, then shuts down gracefully.
    pub fn run(self, stop: impl Future<Output = ()>) {
        let control = self.control.clone();
        async_io::block_on(control.run(async {
            stop.await;
            self.shut_down().await;
        }));
        self.traffic.stop();
    }

    /// Readiness off at once; callers are taken until the balancer has noticed; all answers end.
    async fn shut_down(&self) {
        let started = Instant::now();
        log::info!(
            "event=drain_started requests={}",
            self.shared.drain.requests()
        );
        self.shared.drain.begin();
        self.mesh.set_draining(true);
        Timer::after(self.balancer_lag).await;
        self.stop_accepting.close();
        self.shared.drain.end_idle();
        while self.shared.drain.connections() > 0 && started.elapsed() < self.grace {
            Timer::after(DRAIN_POLL).await;
        }
        Timer::after(LAST_ANSWER).await;
        self.mesh.leave();
        log::info!(
            "event=drain_ended requests_left={} took_ms={}",
            self.shared.drain.requests(),
            started.elapsed().as_millis()
        );
    }
}
