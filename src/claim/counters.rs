//! Counts of a claim table's work.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

/// Work of one claim table since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClaimCounts {
    /// Operations whose result was reached.
    pub ops: u64,
    /// Reads of the platform.
    pub reads: u64,
    /// Writes to the platform.
    pub writes: u64,
    /// Writes refused because another writer was first.
    pub conflicts: u64,
    /// Bytes of the objects written.
    pub bytes: u64,
    /// Writes of which it stayed unknown whether they took effect.
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
