//! Evacuated failure domains, whose targets get no new work.

use std::collections::BTreeSet;

use crate::prelude::*;
use crate::scheduler::fleet::{Fleet, PoolIx, TargetIx};

impl Fleet {
    /// Replaces the set of evacuated failure domains and returns those whose evacuation ended.
    /// Domains without targets are remembered for targets that are listed later.
    pub(crate) fn set_evacuated(
        &mut self,
        now: Timestamp,
        domains: BTreeSet<Name>,
    ) -> BTreeSet<Name> {
        let ended = self.evacuated.difference(&domains).cloned().collect();
        self.evacuated = domains;
        for target in self.targets.iter_mut().flatten() {
            let since = target.health.evacuated_since.unwrap_or(now);
            let evacuated = self.evacuated.contains(&target.info.domain);
            target.health.evacuated_since = evacuated.then_some(since);
        }
        self.refresh_all(now);
        ended
    }

    /// Listed targets of a failure domain.
    pub(crate) fn targets_in(&self, domain: &str) -> Vec<TargetIx> {
        let in_domain = |t: &crate::scheduler::fleet::Target| t.listed && *t.info.domain == *domain;
        let targets = self.iter().filter(|(_, t)| in_domain(t));
        targets.map(|(ix, _)| ix).collect()
    }

    /// Whether any target of a pool would take work if its failure domain were not evacuated.
    pub(crate) fn has_evacuated(&self, pool: PoolIx) -> bool {
        let targets = self.pool(pool).groups[0].all.iter();
        let mut targets = targets.filter_map(|ix| self.get(ix));
        targets.any(|t| t.health.is_evacuated() && t.health.is_staying())
    }
}
