//! Targets that have one weight version ready.

use crate::prelude::*;
use crate::scheduler::fleet::{FreeSet, Ring, TargetIx};

/// Targets of a pool that have one weight version ready.
#[derive(Debug)]
pub(crate) struct WeightsGroup {
    /// Weight version; empty for the group of all targets in the pool.
    pub(crate) weights: Name,
    /// All targets of the group, in rendezvous order.
    pub(crate) all: Ring,
    /// Targets that take work and have room.
    pub(crate) free: FreeSet,
    /// Those of them in the failure domain of this entry.
    pub(crate) free_local: FreeSet,
}

impl WeightsGroup {
    /// Makes an empty group.
    pub(crate) fn new(weights: Name) -> Self {
        Self {
            weights,
            all: Ring::default(),
            free: FreeSet::default(),
            free_local: FreeSet::default(),
        }
    }

    /// Removes a target from the group.
    pub(crate) fn remove(&mut self, hash: u64, ix: TargetIx) {
        self.all.remove(hash, ix);
        self.set_free(ix, true, false);
    }

    /// Records whether a target has room.
    pub(crate) fn set_free(&mut self, ix: TargetIx, local: bool, free: bool) {
        self.free.set(ix, free);
        if local {
            self.free_local.set(ix, free);
        }
    }
}
