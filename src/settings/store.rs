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
    /// Bytes per second of the store's link.
    pub link_bytes_per_second: u64,
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

    fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let name = fields.name("name");
        let domain = fields.name("domain");
        let listen = fields.object("listen", |f| {
            let addresses = (f.address("blocks"), f.address("admin"));
            Some((addresses.0?, addresses.1?))
        });
        let secret_file = fields.text("secret_file");
        let folder = fields.text("folder");
        let memory_bytes = fields.integer("memory_bytes", 0..=1 << 44, 1 << 30);
        let disk_bytes = fields.integer("disk_bytes", 0..=1 << 50, 16 << 30);
        let link = fields.integer("link_bytes_per_second", 1024..=1 << 40, 1 << 30);
        let log_level = read_log_level(fields);
        let (blocks, admin) = listen?;
        Some(Self {
            name: name?,
            domain: domain?,
            blocks,
            admin,
            secret_file: secret_file?,
            folder: folder?,
            memory_bytes,
            disk_bytes,
            link_bytes_per_second: link,
            log_level,
        })
    }
}
