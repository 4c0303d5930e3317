//! A store: its listeners and their life.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};

use async_executor::Executor;
use async_io::Timer;

use crate::cache::Secret;
use crate::http::{Limits, Server, ServerControl};
use crate::prelude::*;
use crate::settings::StoreSettings;
use crate::store::StoreMetrics;
use crate::store::admin::Admin;
use crate::store::core::Core;
use crate::store::handler::Blocks;

/// Longest time one block may take to arrive.
const MESSAGE_TIME: Duration = Duration::from_mins(2);
/// Interval at which failed removals are tried again.
const TICK: Duration = Duration::from_secs(30);
/// Interval at which a draining store looks whether its last answers are out.
const DRAIN_CHECK: Duration = Duration::from_millis(10);

/// Ends a running store.
#[derive(Debug)]
pub struct StoreControl {
    ready: Arc<AtomicBool>,
    blocks: Arc<ServerControl>,
    admin: Arc<ServerControl>,
    drain_lag: Duration,
}

impl StoreControl {
    /// Turns readiness off, waits the drain lag, stops accepting and finishes running transfers.
    pub async fn shut_down(&self) {
        self.ready.store(false, Ordering::Release);
        self.blocks.drain();
        Timer::after(self.drain_lag).await;
        self.blocks.stop();
        while self.blocks.running() > 0 {
            Timer::after(DRAIN_CHECK).await;
        }
        self.admin.stop();
    }
}

/// A bound store; it may also run inside another process.
pub struct Store {
    blocks_addr: SocketAddr,
    admin_addr: SocketAddr,
    blocks: Server,
    admin: Server,
    core: Arc<Core>,
    control: Arc<StoreControl>,
}

impl Store {
    /// Binds the listeners of `cfg` and reads the blocks already in its folder.
    ///
    /// # Errors
    /// When an address or the folder cannot be used.
    pub fn bind(cfg: &StoreSettings, secret: Secret) -> io::Result<Self> {
        let metrics = Arc::new(StoreMetrics::new());
        let blocks_listener = TcpListener::bind(cfg.blocks)?;
        let admin_listener = TcpListener::bind(cfg.admin)?;
        let blocks_addr = blocks_listener.local_addr()?;
        let admin_addr = admin_listener.local_addr()?;
        let control = Arc::new(StoreControl {
            ready: Arc::new(AtomicBool::new(true)),
            blocks: Arc::default(),
            admin: Arc::default(),
            drain_lag: cfg.drain_lag,
        });
        let limits = Limits {
            body_bytes: usize::try_from(cfg.block_bytes).unwrap_or(usize::MAX),
            message_time: MESSAGE_TIME,
            ..Limits::default()
        };
        let core = Arc::new(Core::open(cfg, metrics)?);
        let handler = Arc::new(Blocks {
            secret,
            core: core.clone(),
            block_bytes: cfg.block_bytes,
        });
        let admin = Arc::new(Admin {
            ready: control.ready.clone(),
            core: core.clone(),
        });
        let blocks = Server::new(blocks_listener, limits, handler, control.blocks.clone())?;
        let limits = Limits::default();
        let admin = Server::new(admin_listener, limits, admin, control.admin.clone())?;
        Ok(Self {
            blocks_addr,
            admin_addr,
            blocks: blocks.with_write_stall(cfg.stall),
            admin,
            core,
            control,
        })
    }

    /// Address for engines and entries.
    #[must_use]
    pub fn blocks_address(&self) -> SocketAddr {
        self.blocks_addr
    }

    /// Address for readiness, liveness and metrics.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Handle by which the store is ended.
    #[must_use]
    pub fn control(&self) -> Arc<StoreControl> {
        self.control.clone()
    }

    /// Serves on `ex` until [`StoreControl::shut_down`] has finished.
    pub async fn run(self, ex: Arc<Executor<'static>>) {
        let throttle = ex.spawn(self.core.throttle.clone().run());
        let ticks = ex.spawn(tick(self.core));
        let admin = ex.spawn(self.admin.run(ex.clone()));
        self.blocks.run(ex).await;
        admin.await;
        throttle.cancel().await;
        ticks.cancel().await;
    }
}

async fn tick(core: Arc<Core>) {
    loop {
        Timer::after(TICK).await;
        let core = core.clone();
        blocking::unblock(move || core.tick()).await;
    }
}
