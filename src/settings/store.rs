//! Settings of `guavahold-store`.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::settings::entry::read_log_level;
use crate::settings::{Document, Fields, Findings};

/// A commented example of the settings.
pub const STORE_EXAMPLE: &str = include_str!("store.example.jsonc");

/// Settings of one store VM.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Name of the VM as the platform lists it.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address for engines and entries.
    pub blocks: SocketAddr,
    /// Address for readiness, liveness and metrics.
    pub admin: SocketAddr,
    /// File holding the secret shared by entries and stores.
    pub secret_file: Name,
    /// Folder of blocks on disk.
    pub folder: Name,
    /// Bytes of blocks kept in memory.
    pub memory_bytes: u64,
    /// Bytes of blocks kept on disk.
    pub disk_bytes: u64,
    /// Longest block, in bytes.
    pub block_bytes: u64,
    /// Bytes of the blocks in transfer at once, which are held in memory besides `memory_bytes`.
    pub transfer_bytes: u64,
    /// Bytes per second of the store's link, both directions together.
    pub link_bytes_per_second: u64,
    /// Threads that serve engines and entries.
    pub traffic_threads: usize,
    /// Time the balancer or the entries need to notice that readiness is off.
    pub drain_lag: Duration,
    /// Longest time a reader may leave sent bytes unacknowledged.
    pub stall: Duration,
    /// Log level.
    pub log_level: log::LevelFilter,
}

impl StoreSettings {
    /// Reads settings, reporting everything that is wrong together.
    ///
    /// # Errors
    /// All findings with their places.
    pub fn read(doc: &Document) -> Result<Self, Findings> {
        doc.read(Self::from_fields)
    }

    /// Starts a builder with defaults for everything but the names and the folder; ports are free
    /// ones of the loopback address.
    #[must_use]
    pub fn builder(
        name: impl Into<Name>,
        domain: impl Into<Name>,
        folder: impl Into<Name>,
    ) -> StoreSettingsBuilder {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        StoreSettingsBuilder {
            cfg: Self {
                name: name.into(),
                domain: domain.into(),
                blocks: any,
                admin: any,
                secret_file: "".into(),
                folder: folder.into(),
                memory_bytes: 1 << 30,
                disk_bytes: 16 << 30,
                block_bytes: 64 << 20,
                transfer_bytes: 256 << 20,
                link_bytes_per_second: 1 << 30,
                traffic_threads: 2,
                drain_lag: Duration::from_secs(2),
                stall: Duration::from_secs(30),
                log_level: log::LevelFilter::Info,
            },
        }
    }

    fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.name("name");
        let domain = fields.name("domain");
        let listen = fields.object("listen", |f| {
            let addresses = (f.address("blocks"), f.address("admin"));
            Some((addresses.0?, addresses.1?))
        });
        let secret_file = fields.text("secret_file");
        let folder = fields.text("folder");
        let defaults = Self::builder("-", "-", "-").build();
        let cfg = Self {
            memory_bytes: fields.integer("memory_bytes", 0..=1 << 44, defaults.memory_bytes),
            disk_bytes: fields.integer("disk_bytes", 0..=1 << 50, defaults.disk_bytes),
            block_bytes: fields.integer("block_bytes", 1024..=1 << 30, defaults.block_bytes),
            transfer_bytes: fields.integer(
                "transfer_bytes",
                4096..=1 << 40,
                defaults.transfer_bytes,
            ),
            link_bytes_per_second: fields.integer(
                "link_bytes_per_second",
                1024..=1 << 40,
                defaults.link_bytes_per_second,
            ),
            traffic_threads: usize::try_from(fields.integer("traffic_threads", 1..=64, 2)).ok()?,
            drain_lag: fields.millis("drain_lag_ms", 0..=600_000, defaults.drain_lag),
            stall: fields.millis("stall_ms", 100..=600_000, defaults.stall),
            log_level: read_log_level(fields),
            ..defaults
        };
        if cfg.transfer_bytes < cfg.block_bytes.saturating_mul(2) {
            fields.reject_field("transfer_bytes", "expected at least twice block_bytes");
        }
        let (blocks, admin) = listen?;
        Some(Self {
            name: name?,
            domain: domain?,
            blocks,
            admin,
            secret_file: secret_file?,
            folder: folder?,
            ..cfg
        })
    }
}

/// Builds [`StoreSettings`].
#[derive(Clone, Debug)]
pub struct StoreSettingsBuilder {
    cfg: StoreSettings,
}

impl StoreSettingsBuilder {
    /// Sets the addresses for blocks and administration.
    #[must_use]
    pub fn listen(mut self, blocks: SocketAddr, admin: SocketAddr) -> Self {
        self.cfg.blocks = blocks;
        self.cfg.admin = admin;
        self
    }

    /// Sets the file of the shared secret.
    #[must_use]
    pub fn secret_file(mut self, path: impl Into<Name>) -> Self {
        self.cfg.secret_file = path.into();
        self
    }

    /// Sets the bytes kept in memory and on disk.
    #[must_use]
    pub fn capacity(mut self, memory_bytes: u64, disk_bytes: u64) -> Self {
        self.cfg.memory_bytes = memory_bytes;
        self.cfg.disk_bytes = disk_bytes;
        self
    }

    /// Sets the longest block, in bytes.
    #[must_use]
    pub fn block_bytes(mut self, bytes: u64) -> Self {
        self.cfg.block_bytes = bytes;
        self
    }

    /// Sets the speed of the link.
    #[must_use]
    pub fn link_bytes_per_second(mut self, rate: u64) -> Self {
        self.cfg.link_bytes_per_second = rate;
        self
    }

    /// Sets the time between readiness going off and the end of accepting.
    #[must_use]
    pub fn drain_lag(mut self, lag: Duration) -> Self {
        self.cfg.drain_lag = lag;
        self
    }

    /// Finishes the settings.
    #[must_use]
    pub fn build(self) -> StoreSettings {
        self.cfg
    }
}
