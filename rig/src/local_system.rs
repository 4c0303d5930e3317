//! Complete system on loopback, with stand-ins and entries as threads of this process.

mod components;
mod plan;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use eyre::WrapErr;
use guavahold::catalog::{CatalogHead, ReleaseNote};
use guavahold::entry::{Entry, RunningEntry};
use guavahold::http::Pool;
use guavahold::platform::{Object, Platform, RemotePlatform, Role, Vm, VmPhase};
use guavahold::prelude::Name;
use guavahold::secret::Secret;
use guavahold::settings::EntrySettings;
use http_types::{Method, Request, Url};
use tempfile::TempDir;

use crate::engine::EngineStats;
use crate::{Engine, PlatformStandIn, ServiceStandIn, StandIn, StandInServer};

pub use components::{LocalEntry, RunningStandIn};
pub use plan::LocalSystemPlan;

/// Listen address that selects any free port on loopback.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Maximum time until all entries are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of calls to the platform and of connecting to an admin port.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A running system on loopback.
pub struct LocalSystem {
    ex: Arc<Executor<'static>>,
    stop: async_channel::Sender<()>,
    threads: Vec<JoinHandle<()>>,
    // Deletes the secret file when dropped.
    _secret_dir: TempDir,
    secret: Secret,
    secret_file: String,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Platform stand-in.
    pub platform: Arc<PlatformStandIn>,
    /// Engines in the order of the plan.
    pub engines: Vec<RunningStandIn<Engine>>,
    /// Plain service stand-ins.
    pub services: Vec<RunningStandIn<ServiceStandIn>>,
    /// Running entries.
    pub entries: Vec<LocalEntry>,
}

impl LocalSystem {
    /// Starts the components in `plan` and waits until all entries are ready.
    ///
    /// # Errors
    /// When a component cannot be started or an entry does not become ready.
    pub fn start(plan: LocalSystemPlan) -> eyre::Result<Self> {
        let secret_dir = tempfile::tempdir()?;
        let secret_file = secret_dir.path().join("secret").display().to_string();
        std::fs::write(&secret_file, format!("{:064x}", fastrand::u128(..)))?;
        let ex = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..plan.stand_in_threads).map(|_| {
            let (ex, stopped) = (ex.clone(), stopped.clone());
            std::thread::spawn(move || {
                let _ = async_io::block_on(ex.run(stopped.recv()));
            })
        });
        let threads: Vec<JoinHandle<()>> = threads.collect();
        let platform = StandInServer::bind(PlatformStandIn::new(&plan.platform), ANY_PORT)?;
        let mut system = Self {
            stop,
            threads,
            _secret_dir: secret_dir,
            secret: Secret::open(&secret_file)?,
            secret_file,
            platform_address: platform.address(),
            platform: platform.stand_in(),
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            ex,
        };
        system.spawn_server(platform);
        system.start_components(plan)?;
        Ok(system)
    }

    fn start_components(&mut self, plan: LocalSystemPlan) -> eyre::Result<()> {
        for (domain, cfg) in plan.engines {
            let (name, model) = (cfg.name.clone(), cfg.model.clone());
            let server = StandInServer::bind(Engine::new(cfg), ANY_PORT)?;
            let vm = vm(&name, Role::Engine, &domain, server.address(), &model);
            self.engines.push(RunningStandIn::new(&server, vm));
            self.spawn_server(server);
        }
        for (domain, vm_name, cfg) in plan.services {
            let service = cfg.name.clone();
            let server = StandInServer::bind(ServiceStandIn::new(cfg), ANY_PORT)?;
            let vm = vm(&vm_name, Role::Service, &domain, server.address(), &service);
            self.services.push(RunningStandIn::new(&server, vm));
            self.spawn_server(server);
        }
        let vms = self.engines.iter().map(|m| m.vm.clone());
        let vms: Vec<Vm> = vms
            .chain(self.services.iter().map(|m| m.vm.clone()))
            .collect();
        async_io::block_on(self.write_objects(&vms, plan.note))?;
        for (domain, name) in plan.entries {
            self.add_entry(&name, &domain, plan.traffic_threads)?;
        }
        async_io::block_on(self.wait_ready())
    }

    fn spawn_server<T: StandIn>(&self, server: StandInServer<T>) {
        let run = async move {
            let _ = server.run().await;
        };
        self.ex.spawn(run).detach();
    }

    fn add_entry(&mut self, name: &Name, domain: &Name, threads: usize) -> eyre::Result<()> {
        let cfg = EntrySettings::builder(name.clone(), domain.clone())
            .listen(ANY_PORT, ANY_PORT, ANY_PORT)
            .platform(self.platform_address)
            .secret_file(self.secret_file.clone())
            .traffic_threads(threads)
            .balancer_lag(Duration::ZERO)
            .build();
        let entry = async_io::block_on(Entry::bind(cfg))?;
        let addresses = entry.addresses();
        let vm = vm(name, Role::Entry, domain, addresses.peers, "");
        async_io::block_on(self.client().create(vm_object(&vm)))?;
        let running: RunningEntry = entry.start()?;
        self.entries.push(LocalEntry {
            name: name.clone(),
            domain: domain.clone(),
            callers: addresses.callers,
            admin: addresses.admin,
            running,
        });
        Ok(())
    }

    /// Secret shared by the entries.
    #[must_use]
    pub fn secret(&self) -> &Secret {
        &self.secret
    }

    /// Creates a client of the platform.
    #[must_use]
    pub fn client(&self) -> RemotePlatform {
        RemotePlatform::new(vec![self.platform_address], CALL_TIMEOUT)
    }

    async fn write_objects(&self, vms: &[Vm], note: ReleaseNote) -> eyre::Result<()> {
        let platform = self.client();
        for vm in vms {
            platform.create(vm_object(vm)).await?;
        }
        let head = CatalogHead {
            revision: note.revision(),
            tail: vec![note],
            ..CatalogHead::default()
        };
        let spec = serde_json::to_value(&head)?;
        let object = Object::new(CatalogHead::KIND, CatalogHead::NAME, spec);
        platform.create(object).await?;
        Ok(())
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        let pool = Pool::new(CALL_TIMEOUT);
        let started = Instant::now();
        for entry in &self.entries {
            loop {
                let url = Url::parse(&format!("http://{}/ready", entry.admin))?;
                let req = Request::new(Method::Get, url);
                let response = pool.fetch(entry.admin, req, 4096).await;
                let (status, body) = response.wrap_err("the admin port does not respond")?;
                if status.is_success() {
                    break;
                }
                let why = String::from_utf8_lossy(&body).trim().to_owned();
                eyre::ensure!(
                    started.elapsed() < READY_TIMEOUT,
                    "{} is not ready: {why}",
                    entry.name
                );
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        // The first load reports of all targets arrive within one probe interval.
        Timer::after(Duration::from_millis(600)).await;
        Ok(())
    }

    /// Sum of the counters of all engines.
    #[must_use]
    pub fn engine_totals(&self) -> EngineStats {
        let mut totals = EngineStats::default();
        for engine in &self.engines {
            totals.add(&engine.stand_in.stats());
        }
        totals
    }

    /// Drains the entries and stops all components.
    pub fn stop(self) {
        for entry in self.entries {
            async_io::block_on(entry.running.drain());
            entry.running.stop();
        }
        self.stop.close();
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn vm(name: &Name, role: Role, domain: &Name, address: SocketAddr, serves: &str) -> Vm {
    Vm {
        name: name.clone(),
        role,
        domain: domain.clone(),
        address,
        serves: serves.into(),
        phase: VmPhase::Live,
        cpu_millis: 0,
    }
}

fn vm_object(vm: &Vm) -> Object {
    let spec = serde_json::to_value(vm).unwrap_or_default();
    Object::new(Vm::KIND, vm.name.clone(), spec)
}
