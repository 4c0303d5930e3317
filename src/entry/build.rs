//! Builds an entry from its settings.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, OnceLock};

use arc_swap::ArcSwap;
use async_executor::Executor;
use eyre::WrapErr;

use crate::caller::{CallerHandler, Shared};
use crate::catalog::{CatalogCell, CatalogSync};
use crate::claim::ClaimTable;
use crate::entry::admin::AdminHandler;
use crate::entry::control::Control;
use crate::entry::peers::EntryPeers;
use crate::entry::status::Status;
use crate::entry::threads::Threads;
use crate::entry::vm_list::VmList;
use crate::entry::{ProbeShare, RunningEntry};
use crate::http::{Limits, Pool, Server, ServerControl};
use crate::order::OrderController;
use crate::peer::Mesh;
use crate::platform::{Platform, RemotePlatform, Vm};
use crate::prelude::*;
use crate::scheduler::{Effect, Scheduler, SchedulerSettings};
use crate::secret::Secret;
use crate::settings::EntrySettings;
use crate::shared_scheduler::{QuarantineNotices, SharedScheduler};
use crate::telemetry::{EntryMetrics, SpanSink};

/// Addresses that an entry listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// For administration.
    pub admin: SocketAddr,
}

/// An entry that listens and has not started to serve.
pub struct Entry {
    cfg: EntrySettings,
    secret: Secret,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

/// Parts that the control thread runs.
struct Parts {
    control: Arc<Control>,
    mesh: Arc<Mesh>,
    sync: Arc<CatalogSync>,
    cell: Arc<CatalogCell>,
    claims: ClaimTable,
    platform: Arc<dyn Platform>,
    effects: async_channel::Receiver<Effect>,
    peers_vms: async_channel::Receiver<Vec<Vm>>,
}

impl Entry {
    /// Reads the secret and binds all addresses.
    ///
    /// # Errors
    /// When the secret is not usable or an address is taken.
    pub fn bind(cfg: EntrySettings) -> eyre::Result<Self> {
        let secret = Secret::open(&cfg.secret_file)
            .wrap_err_with(|| format!("cannot use the secret file {}", cfg.secret_file))?;
        let bind = |addr: SocketAddr| {
            TcpListener::bind(addr).wrap_err_with(|| format!("cannot listen on {addr}"))
        };
        Ok(Self {
            callers: bind(cfg.caller_address)?,
            peers: bind(cfg.peer_address)?,
            admin: bind(cfg.admin_address)?,
            secret,
            cfg,
        })
    }

    /// Addresses bound, with the ports that were free.
    ///
    /// # Panics
    /// When a bound socket has no address, which the system does not do.
    #[must_use]
    pub fn addresses(&self) -> EntryAddresses {
        let of = |l: &TcpListener| l.local_addr().expect("a bound socket has an address");
        EntryAddresses {
            callers: of(&self.callers),
            peers: of(&self.peers),
            admin: of(&self.admin),
        }
    }

    /// Starts the control thread and the traffic threads.
    ///
    /// # Errors
    /// When a thread or the span file cannot be made.
    pub fn start(self) -> eyre::Result<RunningEntry> {
        let addresses = self.addresses();
        let traffic_ex = Arc::new(Executor::new());
        let control_ex = Arc::new(Executor::new());
        let status = Arc::new(Status::new());
        let parts = self.build(&traffic_ex, &control_ex, &status)?;
        let callers = Arc::new(ServerControl::default());
        let server = Server::new(
            self.callers,
            self.cfg.limits.clone(),
            Arc::new(CallerHandler(parts.control.shared.clone())),
            callers.clone(),
        )?;
        traffic_ex.spawn(server.run(traffic_ex.clone())).detach();
        let admin = AdminHandler {
            name: self.cfg.name.clone(),
            domain: self.cfg.domain.clone(),
            status: status.clone(),
            catalog_ready: {
                let sync = parts.sync.clone();
                Box::new(move || sync.ready())
            },
            links: parts.mesh.clone(),
            metrics: parts.control.shared.metrics.clone(),
        };
        let admin_control = Arc::new(ServerControl::default());
        let admin = Server::new(
            self.admin,
            Limits::default(),
            Arc::new(admin),
            admin_control,
        )?;
        control_ex.spawn(admin.run(control_ex.clone())).detach();
        parts.spawn(self.peers, &control_ex);
        let (mesh, claims) = (parts.mesh.clone(), parts.claims.clone());
        Ok(RunningEntry {
            addresses,
            shared: parts.control.shared.clone(),
            status,
            callers,
            balancer_lag: self.cfg.balancer_lag,
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
        status: &Arc<Status>,
    ) -> eyre::Result<Parts> {
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
        let (vms_tx, vms_rx) = async_channel::bounded(1);
        let events = Arc::new(EntryPeers {
            domain: cfg.domain.clone(),
            sync: sync.clone(),
            claims: OnceLock::new(),
            control: OnceLock::new(),
            vms: vms_tx,
            asked: Mutex::default(),
        });
        let mesh = Mesh::builder(cfg.name.clone(), cfg.domain.clone(), self.secret.clone())
            .timing(cfg.heartbeat, cfg.peer_timeout)
            .seeds(cfg.seed_addresses.clone())
            .metrics(metrics.clone())
            .build(events.clone());
        sync.set_links(mesh.clone());
        let claims = ClaimTable::new(
            platform.clone(),
            cfg.name.clone(),
            cfg.claim_shards,
            mesh.clone(),
            control_ex.clone(),
        );
        mesh.serve_claims(Arc::new(claims.clone()));
        let _ = events.claims.set(claims.clone());
        let (effects_tx, effects) = async_channel::unbounded();
        let mut desk = SchedulerSettings::new(cfg.domain.clone());
        desk.seed = fastrand::u64(..);
        let words = Arc::new(QuarantineNotices::default());
        let pool = Arc::new(Pool::new(cfg.connect_timeout));
        let orderer = Arc::new(OrderController::new(
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
            directory: ArcSwap::default(),
            targets: ArcSwap::default(),
            scheduler: Arc::new(SharedScheduler::new(
                Scheduler::new(desk),
                effects_tx,
                words.clone(),
            )),
            quarantine_notices: words,
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
            ProbeShare::new(cfg.name.clone(), cfg.domain.clone()),
            orderer,
        ));
        let _ = events.control.set(control.clone());
        Ok(Parts {
            control,
            mesh,
            sync,
            cell,
            claims,
            platform,
            effects,
            peers_vms: vms_rx,
        })
    }
}

impl Parts {
    /// Spawns all tasks of the control thread.
    fn spawn(&self, peers: TcpListener, ex: &Arc<Executor<'static>>) {
        let control = &self.control;
        let (taker, mesh) = (control.clone(), self.mesh.clone());
        let vms = VmList::new(self.platform.clone(), self.peers_vms.clone(), move |vms| {
            taker.take_vms(vms);
            let list: Vec<Vm> = vms.values().cloned().collect();
            mesh.set_peers(&list);
        });
        let mesh = self.mesh.clone().run(peers, ex.clone());
        ex.spawn(async move {
            if let Err(err) = mesh.await {
                log::error!("event=peers_failed error={:?}", err.to_string());
            }
        })
        .detach();
        ex.spawn(vms.run()).detach();
        let claims = self.claims.clone();
        ex.spawn(async move { claims.run_garbage_collection().await })
            .detach();
        ex.spawn(self.sync.clone().run(ex.clone())).detach();
        ex.spawn(control.clone().run_probes()).detach();
        ex.spawn(control.clone().run_orders()).detach();
        ex.spawn(control.clone().run_ticks()).detach();
        ex.spawn(control.clone().run_catalog(self.cell.clone()))
            .detach();
        ex.spawn(control.clone().run_effects(self.effects.clone()))
            .detach();
    }
}
