//! What a bench consists of.

use guavahold::catalog::ReleaseNote;
use guavahold::prelude::Name;

use crate::{EngineSettings, PlatformSettings, ServiceSettings};

/// One store of a bench.
#[derive(Clone, Debug)]
pub struct StorePlan {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Bytes of blocks kept in memory.
    pub memory_bytes: u64,
    /// Bytes of blocks kept on disk.
    pub disk_bytes: u64,
    /// Bytes per second of the link.
    pub link_bytes_per_second: u64,
}

/// Parts of a bench; domains come before the parts that are in them.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Release note applied to the empty catalog.
    pub note: ReleaseNote,
    /// Engines.
    pub engines: Vec<(Name, EngineSettings)>,
    /// Plain services with the names of their VMs.
    pub services: Vec<(Name, Name, ServiceSettings)>,
    /// Stores.
    pub stores: Vec<StorePlan>,
    /// Entries.
    pub entries: Vec<(Name, Name)>,
    /// Traffic threads of each entry.
    pub traffic_threads: usize,
    /// Threads that run the stand-ins.
    pub stand_in_threads: usize,
}
