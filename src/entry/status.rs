//! Whether an entry is ready and which revision it has in force.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// State shared by the admin port, the control thread and the shutdown.
#[derive(Debug)]
pub(crate) struct Status {
    listed: AtomicBool,
    draining: AtomicBool,
    revision: Mutex<(u64, Instant)>,
}

impl Status {
    /// Makes the status of an entry that just started.
    pub(crate) fn new() -> Self {
        Self {
            listed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            revision: Mutex::new((0, Instant::now())),
        }
    }

    /// Notes that the list of VMs is known.
    pub(crate) fn set_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Tells whether the list of VMs is known.
    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Turns readiness off for good.
    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether the entry is shutting down.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Notes the revision in force.
    pub(crate) fn set_revision(&self, revision: u64) {
        let mut state = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        if revision > state.0 {
            *state = (revision, Instant::now());
        }
    }

    /// Revision in force and the milliseconds since it came into force.
    pub(crate) fn revision(&self) -> (u64, u64) {
        let state = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        let since = u64::try_from(state.1.elapsed().as_millis());
        (state.0, since.unwrap_or(u64::MAX))
    }
}
