//! Operation counters of a claim table.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Counters of one claim table since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimCounts {
    /// Operations that completed with a result.
    pub ops: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Writes to the platform.
    pub writes: u64,
    /// Writes rejected because another writer changed the object first.
    pub conflicts: u64,
    /// Estimated bytes of all objects written.
    pub bytes: u64,
    /// Batches for which it stayed unknown whether their write took effect.
    pub unresolved: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) ops: AtomicU64,
    pub(crate) reads: AtomicU64,
    pub(crate) writes: AtomicU64,
    pub(crate) conflicts: AtomicU64,
    pub(crate) bytes: AtomicU64,
    pub(crate) unresolved: AtomicU64,
}

impl Counters {
    /// The current values.
    pub(crate) fn counts(&self) -> ClaimCounts {
        ClaimCounts {
            ops: self.ops.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            conflicts: self.conflicts.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
            unresolved: self.unresolved.load(Ordering::Relaxed),
        }
    }
}

pub(crate) fn count(counter: &AtomicU64, by: usize) {
    counter.fetch_add(by as u64, Ordering::Relaxed);
}
