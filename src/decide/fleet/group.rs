//! Targets that run one weight version.

use crate::decide::fleet::{FreeSet, Ring, TargetIx};
use crate::prelude::*;

/// Targets of one model or service that have one weight version ready.
#[derive(Debug)]
pub(crate) struct Group {
    /// Weight version; empty for the group of all targets.
    pub(crate) weights: Name,
    /// All targets.
    pub(crate) all: Ring,
    /// Targets with room.
    pub(crate) free: FreeSet,
    /// Targets of the own failure domain with room.
    pub(crate) free_local: FreeSet,
}

impl Group {
    /// Makes an empty group.
    pub(crate) fn new(weights: Name) -> Self {
        Self {
            weights,
            all: Ring::default(),
            free: FreeSet::default(),
            free_local: FreeSet::default(),
        }
    }

    /// Removes a target.
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
