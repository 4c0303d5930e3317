//! What is known of one request's effect on targets.

use crate::decide::fleet::TargetIx;
use crate::prelude::*;

/// What is known of one fingerprint.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Targets that run it for this entry, one item for each attempt.
    pub(super) running: SmallVec<[TargetIx; 2]>,
    /// Targets whose exchange was lost and whose fate is open.
    pub(super) open: SmallVec<[TargetIx; 2]>,
    /// Targets that died while running it.
    pub(super) victims: SmallVec<[Name; 2]>,
    /// Last death.
    pub(super) died: Timestamp,
    /// End of its quarantine.
    pub(super) until: Option<Timestamp>,
    /// Whether it has run to its end without harm.
    pub(super) proven: bool,
}

impl Record {
    /// Tells whether the record is needed while nothing runs.
    pub(super) fn is_idle(&self) -> bool {
        let unused = self.running.is_empty() && self.open.is_empty();
        unused && self.victims.is_empty() && self.until.is_none()
    }

    /// Adds a victim; `false` when it was known.
    pub(super) fn add_victim(&mut self, now: Timestamp, victim: &Name) -> bool {
        if self.victims.contains(victim) {
            return false;
        }
        self.victims.push(victim.clone());
        self.died = now;
        self.proven = false;
        true
    }

    /// The distinct targets that run it.
    pub(super) fn targets(&self) -> SmallVec<[TargetIx; 2]> {
        let mut targets = self.running.clone();
        targets.sort_unstable();
        targets.dedup();
        targets
    }
}
