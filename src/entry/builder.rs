//! Builds an entry from its settings and starts its threads.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};

use arc_swap::ArcSwap;
use async_executor::Executor;
use async_io::Async;
use eyre::WrapErr;

use crate::caller::{CallerHandler, Shared};
use crate::catalog::{CatalogCell, CatalogSync};
use crate::claim::ClaimTable;
use crate::clock::start_coarse_clock;
use crate::entry::admin::AdminHandler;
use crate::entry::control::Control;
use crate::entry::peer_handler::PeerHandler;
use crate::entry::status::EntryStatus;
use crate::entry::threads::Threads;
use crate::entry::vm_list_watcher::VmListWatcher;
use crate::entry::{ProbeAssignment, RunningEntry};
use crate::http::{Limits, Pool, Server, ServerControl};
use crate::listen::{ListenAddress, TIME_WAIT, listen_at_all};
use crate::order::OrderController;
use crate::peer::Mesh;
use crate::platform::{Platform, RemotePlatform, Vm};
use crate::prelude::*;
use crate::scheduler::{Effect, Scheduler, SchedulerSettings};
use crate::secret::Secret;
use crate::settings::EntrySettings;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::supervisor::{SupervisedTask, Supervisor, TaskFailure};
use crate::telemetry::{EntryMetrics, SpanSink};

/// Limits on the messages of operators.
const ADMIN_LIMITS: Limits = Limits {
    head_bytes: 8 * 1024 - 1,
    body_bytes: 64 * 1024,
    message_timeout: Duration::from_secs(10),
    idle_timeout: Duration::from_mins(2),
    connections: 32,
    request_bytes: 2 * 1024 * 1024,
};
/// Longest wait for listening addresses: a predecessor's drain, which claims may prolong by half a
/// minute, and the time for which its closed connections hold them.
const LISTEN_TIMEOUT: Duration = TIME_WAIT.saturating_add(Duration::from_secs(30));
/// Maximum number of peers' connections in their handshake.
const MAX_HANDSHAKES: usize = 256;

/// Socket addresses that an entry listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
}

/// An entry whose sockets are bound and whose threads are not started.
pub struct Entry {
    cfg: EntrySettings,
    secret: Secret,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

/// Everything whose tasks run on the control thread.
struct ControlTasks {
    control: Arc<Control>,
    mesh: Arc<Mesh>,
    sync: Arc<CatalogSync>,
    cell: Arc<CatalogCell>,
    claims: ClaimTable,
    platform: Arc<dyn Platform>,
    effects: async_channel::Receiver<Effect>,
    peer_vm_lists: async_channel::Receiver<Vec<Vm>>,
}

impl Entry {
    /// Reads the shared secret and listens at all addresses. Waits while one of them is held, at most
    /// for [`LISTEN_TIMEOUT`].
    ///
    /// # Errors
    /// When the secret file is unreadable or invalid, or an address cannot be had.
    pub async fn bind(cfg: EntrySettings) -> eyre::Result<Self> {
        let secret = Secret::open(&cfg.secret_file)
            .wrap_err_with(|| format!("cannot use the secret file {}", cfg.secret_file))?;
        let addresses = [
            ("callers", cfg.caller_address),
            ("peers", cfg.peer_address),
            ("admin", cfg.admin_address),
        ];
        let addresses = addresses.map(|(role, addr)| ListenAddress { role, addr });
        let [callers, peers, admin] = listen_at_all(addresses, LISTEN_TIMEOUT).await?;
        Ok(Self {
            cfg,
            secret,
            callers,
            peers,
            admin,
        })
    }

    /// Bound addresses; a configured port of zero is replaced by the port that the system assigned.
    ///
    /// # Panics
    /// When the system returns no local address for a bound socket, which is not expected.
    #[must_use]
    pub fn addresses(&self) -> EntryAddresses {
        let local_address =
            |l: &TcpListener| l.local_addr().expect("a bound socket has an address");
        EntryAddresses {
            callers: local_address(&self.callers),
            peers: local_address(&self.peers),
            admin: local_address(&self.admin),
        }
    }

    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    /// When a thread or a server cannot be started or the span file cannot be opened.
    pub fn start(self) -> eyre::Result<RunningEntry> {
        start_coarse_clock()?;
        let addresses = self.addresses();
        let traffic_ex = Arc::new(Executor::new());
        let control_ex = Arc::new(Executor::new());
        let status = Arc::new(EntryStatus::new());
        let tasks = self.build(&traffic_ex, &control_ex, &status)?;
        let callers = Arc::new(ServerControl::default());
        let server = Server::new(
            self.callers,
            self.cfg.limits.clone(),
            Arc::new(CallerHandler(tasks.control.shared.clone())),
            callers.clone(),
        )?;
        let failure = Arc::new(TaskFailure::default());
        let panics = tasks.control.shared.metrics.panics.clone();
        let supervise = |ex| Supervisor::new(ex, panics.clone(), failure.clone());
        let (traffic, supervisor) = (supervise(traffic_ex.clone()), supervise(control_ex.clone()));
        keep_server(&traffic, "caller_listener", server);
        let admin = AdminHandler {
            name: self.cfg.name.clone(),
            domain: self.cfg.domain.clone(),
            status: status.clone(),
            catalog_ready: {
                let sync = tasks.sync.clone();
                Box::new(move || sync.ready())
            },
            links: tasks.mesh.clone(),
            metrics: tasks.control.shared.metrics.clone(),
        };
        let admin_control = Arc::new(ServerControl::default());
        let admin = Server::new(self.admin, ADMIN_LIMITS, Arc::new(admin), admin_control)?;
        keep_server(&supervisor, "admin_listener", admin);
        tasks.spawn(Arc::new(Async::new(self.peers)?), &supervisor);
        let (mesh, claims) = (tasks.mesh.clone(), tasks.claims.clone());
        Ok(RunningEntry {
            addresses,
            shared: tasks.control.shared.clone(),
            status,
            callers,
            balancer_lag: self.cfg.balancer_lag,
            order_controller: tasks.control.order_controller.clone(),
            failure,
            set_draining: Box::new(move || {
                claims.drain();
                mesh.set_draining(true);
            }),
            traffic: Threads::start("traffic", self.cfg.traffic_threads, &traffic_ex)?,
            control: Threads::start("control", 1, &control_ex)?,
        })
    }

    fn build(
        &self,
        traffic_ex: &Arc<Executor<'static>>,
        control_ex: &Arc<Executor<'static>>,
        status: &Arc<EntryStatus>,
    ) -> eyre::Result<ControlTasks> {
        let cfg = &self.cfg;
        let platform: Arc<dyn Platform> = Arc::new(RemotePlatform::new(
            cfg.platform_addresses.clone(),
            cfg.platform_timeout,
        ));
        let metrics = Arc::new(EntryMetrics::new());
        let cell = Arc::new(CatalogCell::default());
        let sync = CatalogSync::new(
            cfg.name.clone(),
            cfg.domain.clone(),
            platform.clone(),
            cell.clone(),
        );
        let (vm_lists_tx, vm_lists_rx) = async_channel::bounded(1);
        let peer_handler = Arc::new(PeerHandler {
            domain: cfg.domain.clone(),
            sync: sync.clone(),
            claims: OnceLock::new(),
            control: OnceLock::new(),
            peer_vm_lists: vm_lists_tx,
            last_vm_request: Mutex::default(),
        });
        let mesh = Mesh::builder(cfg.name.clone(), cfg.domain.clone(), self.secret.clone())
            .timing(cfg.heartbeat, cfg.peer_timeout)
            .seeds(cfg.seed_addresses.clone())
            .metrics(metrics.clone())
            .max_handshakes(cfg.limits.connections.min(MAX_HANDSHAKES))
            .build(peer_handler.clone());
        sync.set_links(mesh.clone());
        let claims = ClaimTable::new(
            platform.clone(),
            cfg.name.clone(),
            cfg.claim_shards,
            mesh.clone(),
            control_ex.clone(),
        );
        mesh.serve_claims(Arc::new(claims.clone()));
        let _ = peer_handler.claims.set(claims.clone());
        let (effects_tx, effects) = async_channel::unbounded();
        let mut scheduler_settings = SchedulerSettings::new(cfg.domain.clone());
        scheduler_settings.seed = fastrand::u64(..);
        let quarantine_notices = Arc::new(QuarantineNotices::default());
        let pool = Arc::new(Pool::new(cfg.connect_timeout));
        let order_controller = Arc::new(OrderController::new(
            platform.clone(),
            pool.clone(),
            cfg.name.clone(),
            cfg.domain.clone(),
            cell.clone(),
            mesh.clone(),
            control_ex.clone(),
        ));
        let shared = Arc::new(Shared {
            domain: cfg.domain.clone(),
            catalog_index: ArcSwap::default(),
            targets: ArcSwap::default(),
            scheduler: Arc::new(SharedScheduler::new(
                Scheduler::new(scheduler_settings),
                effects_tx,
                quarantine_notices.clone(),
            )),
            quarantine_notices,
            pool: pool.clone(),
            claims: Arc::new(claims.clone()),
            secret: self.secret.clone(),
            executor: traffic_ex.clone(),
            metrics,
            spans: Arc::new(SpanSink::open(cfg.span_file.as_deref())?),
        });
        let control = Arc::new(Control::new(
            shared,
            status.clone(),
            mesh.clone(),
            control_ex.clone(),
            cfg.probe_interval,
            ProbeAssignment::new(cfg.name.clone(), cfg.domain.clone()),
            order_controller,
        ));
        let _ = peer_handler.control.set(control.clone());
        Ok(ControlTasks {
            control,
            mesh,
            sync,
            cell,
            claims,
            platform,
            effects,
            peer_vm_lists: vm_lists_rx,
        })
    }
}

/// Accepts connections until the server is stopped.
fn keep_server(supervisor: &Supervisor, name: &'static str, server: Server) {
    let (server, connections) = (Arc::new(server), supervisor.clone());
    let task = SupervisedTask::required(name).may_return();
    supervisor.keep(task, move || server.clone().run(connections.clone()));
}

impl ControlTasks {
    /// Keeps all tasks of the control thread running.
    fn spawn(&self, peers: Arc<Async<TcpListener>>, supervisor: &Supervisor) {
        let required = SupervisedTask::required;
        let retried = SupervisedTask::retried;
        let (mesh, connections) = (self.mesh.clone(), supervisor.clone());
        supervisor.keep(required("peer_listener"), move || {
            mesh.clone().run(peers.clone(), connections.clone())
        });
        let (platform, lists) = (self.platform.clone(), self.peer_vm_lists.clone());
        let (control, mesh) = (self.control.clone(), self.mesh.clone());
        supervisor.keep(retried("watch_vms"), move || {
            let (control, mesh) = (control.clone(), mesh.clone());
            let watcher = VmListWatcher::new(platform.clone(), lists.clone(), move |vms| {
                control.set_vms(vms);
                let list: Vec<Vm> = vms.values().cloned().collect();
                mesh.set_peers(&list);
            });
            watcher.run()
        });
        let claims = self.claims.clone();
        supervisor.keep(retried("claim_collection"), move || {
            let claims = claims.clone();
            async move { claims.run_garbage_collection().await }
        });
        let (sync, ex) = (self.sync.clone(), supervisor.executor().clone());
        supervisor.keep(retried("catalog_sync"), move || {
            sync.clone().run(ex.clone())
        });
        self.keep(supervisor, retried("scheduler"), Control::run_ticks);
        self.keep(supervisor, retried("probes"), Control::run_probes);
        self.keep(supervisor, retried("orders"), Control::run_orders);
        let cell = self.cell.clone();
        self.keep(supervisor, retried("catalog"), move |control| {
            control.run_catalog(cell.clone())
        });
        let effects = self.effects.clone();
        self.keep(supervisor, retried("effects"), move |control| {
            control.run_effects(effects.clone())
        });
    }

    fn keep<F>(
        &self,
        supervisor: &Supervisor,
        task: SupervisedTask,
        run: impl Fn(Arc<Control>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let control = self.control.clone();
        supervisor.keep(task, move || run(control.clone()));
    }
}
