//! Bounds of one process.

/// Requests up to this size, in bytes, use the memory that is reserved for small ones.
pub const SMALL_BYTES: usize = 64 * 1024;
/// Memory of an idle connection, in bytes.
pub const CONNECTION_BYTES: usize = 8 * 1024;

/// Descriptors that stay free for files.
const FILE_DESCRIPTORS: usize = 200;
/// Most descriptors that stay free for listeners, peers and the platform's store; an eighth if that
/// is less.
const MAX_SYSTEM_SOCKETS: usize = 128;
/// Least bytes of all requests.
const MIN_BYTES: usize = 1024 * 1024;
/// Least number of connections.
const MIN_CONNECTIONS: usize = 32;

/// Memory of a machine unless stated, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;
/// Descriptors that a process may open unless stated.
pub const DEFAULT_MAX_DESCRIPTORS: usize = 4_096;

/// Bounds on what callers hold in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Bytes of all requests.
    pub bytes: usize,
    /// Connections, evicted ones that are still open included; at least two.
    pub connections: usize,
}

impl IntakeLimits {
    /// Derives the bounds from the memory of a machine, in bytes, and the number of descriptors that
    /// a process may open: two fifths of the memory for requests, a tenth for idle connections.
    #[must_use]
    pub fn for_machine(memory_bytes: usize, max_descriptors: usize) -> Self {
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let system_sockets = (sockets / 8).min(MAX_SYSTEM_SOCKETS);
        // The rest is for connections to targets: most callers' connections are idle or wait.
        let by_sockets = (sockets - system_sockets) / 3 * 2;
        let by_memory = memory_bytes / 10 / CONNECTION_BYTES;
        Self {
            bytes: (memory_bytes / 5 * 2).max(MIN_BYTES),
            connections: by_sockets.min(by_memory).max(MIN_CONNECTIONS),
        }
    }

    /// Most bytes of all small requests.
    #[must_use]
    pub fn small_bytes(&self) -> usize {
        self.bytes / 2
    }

    /// Most bytes of all large requests, and so of a single one.
    #[must_use]
    pub fn large_bytes(&self) -> usize {
        self.bytes - self.small_reserve()
    }

    /// Bytes that only small requests may use.
    #[must_use]
    pub fn small_reserve(&self) -> usize {
        self.bytes / 8
    }

    /// Most connections that are not evicted. The rest is for those that are being closed.
    pub(crate) fn staying_connections(&self) -> usize {
        let closing = (self.connections / 16).max(1);
        self.connections.saturating_sub(closing).max(1)
    }
}

impl Default for IntakeLimits {
    fn default() -> Self {
        Self::for_machine(DEFAULT_MEMORY_BYTES, DEFAULT_MAX_DESCRIPTORS)
    }
}
