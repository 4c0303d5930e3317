//! Settings of the index.

/// Budgets of the index.
#[derive(Clone, Copy, Debug)]
pub struct IndexConfig {
    /// Bytes of blocks on disk.
    pub disk_bytes: u64,
    /// Bytes of blocks in memory.
    pub memory_bytes: u64,
    /// Seed of the sampling of eviction candidates.
    pub seed: u64,
}
