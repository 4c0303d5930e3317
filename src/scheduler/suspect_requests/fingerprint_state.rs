//! Runs and crashes of one request.

use crate::prelude::*;
use crate::scheduler::fleet::TargetIx;

/// Time after a crash for which its request stays suspected.
pub(super) const SUSPICION_TIME: Duration = Duration::from_mins(10);

/// Runs and crashes of the requests with one fingerprint.
#[derive(Debug, Default)]
pub(super) struct FingerprintState {
    /// Targets that run it for this entry, one item for each attempt.
    pub(super) running: SmallVec<[TargetIx; 2]>,
    /// Targets with a lost exchange; whether they died is not known yet.
    pub(super) unresolved: SmallVec<[TargetIx; 2]>,
    /// Targets that died while running it.
    pub(super) victims: SmallVec<[Name; 2]>,
    /// Time of the latest victim's death.
    pub(super) last_death: Timestamp,
    /// End of its quarantine, once it was quarantined.
    pub(super) quarantined_until: Option<Timestamp>,
    /// Whether a run ended normally since the last victim.
    pub(super) proven_harmless: bool,
}

impl FingerprintState {
    /// Whether it has no runs, lost exchanges, victims or quarantine, so that it can be removed
    /// unless it is proven harmless.
    pub(super) fn is_idle(&self) -> bool {
        let unused = self.running.is_empty() && self.unresolved.is_empty();
        unused && self.victims.is_empty() && self.quarantined_until.is_none()
    }

    /// Forgets the victims if the last died so long ago that the request is not suspected any more.
    fn forget_old_victims(&mut self, now: Timestamp) {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        if !quarantined && now >= self.last_death + SUSPICION_TIME {
            self.victims.clear();
        }
    }

    /// Adds a victim; `false` when it was known already.
    pub(super) fn add_victim(&mut self, now: Timestamp, victim: &Name) -> bool {
        self.forget_old_victims(now);
        if self.victims.contains(victim) {
            return false;
        }
        self.victims.push(victim.clone());
        self.last_death = now;
        self.proven_harmless = false;
        true
    }

    /// The distinct targets that run it now.
    pub(super) fn targets(&self) -> SmallVec<[TargetIx; 2]> {
        let mut targets = self.running.clone();
        targets.sort_unstable();
        targets.dedup();
        targets
    }
}
