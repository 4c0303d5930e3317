//! Readiness of an entry and its catalog revision.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Readiness and catalog revision, shared by the admin port, the control thread and the drain.
#[derive(Debug)]
pub(crate) struct EntryStatus {
    vms_known: AtomicBool,
    draining: AtomicBool,
    revision: Mutex<(u64, Instant)>,
}

impl EntryStatus {
    /// Makes the status of an entry that has just started.
    pub(crate) fn new() -> Self {
        Self {
            vms_known: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            revision: Mutex::new((0, Instant::now())),
        }
    }

    /// Records that the list of VMs is known.
    pub(crate) fn set_vms_known(&self) {
        self.vms_known.store(true, Ordering::Release);
    }

    /// Whether the list of VMs is known.
    pub(crate) fn vms_known(&self) -> bool {
        self.vms_known.load(Ordering::Acquire)
    }

    /// Turns readiness off; it is never turned on again.
    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the entry is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Records the catalog revision in force; older revisions are ignored.
    pub(crate) fn set_revision(&self, revision: u64) {
        let mut state = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        if revision > state.0 {
            *state = (revision, Instant::now());
        }
    }

    /// Catalog revision in force, and the milliseconds since it came into force here.
    pub(crate) fn revision(&self) -> (u64, u64) {
        let state = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        let since = u64::try_from(state.1.elapsed().as_millis());
        (state.0, since.unwrap_or(u64::MAX))
    }
}
