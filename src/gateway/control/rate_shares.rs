//! Division of the targets' limits among the schedulers of all entries.

use std::collections::BTreeSet;

use crate::gateway::control::{Control, State};
use crate::prelude::*;
use crate::rate_limit::{
    ENTRIES_FRACTION, FRACTION_BESIDE_HUB, HUB_FRACTION, RateShare, SharePosition, TargetLimit,
};
use crate::scheduler::Event;

impl Control {
    /// Tells the schedulers of this entry their shares of the targets' limits.
    pub(crate) fn submit_rate_shares(&self, state: &mut State) {
        let limits = self.shared.limits.in_force();
        let limited = limits.iter().map(|l| l.target.clone()).collect();
        let former: BTreeSet<Name> = std::mem::replace(&mut state.limited_targets, limited);
        for target in former.difference(&state.limited_targets) {
            self.submit_to_schedulers(&Event::RateShare {
                target: target.clone(),
                share: None,
            });
        }
        let position = state.share_position(&self.name);
        for limit in limits {
            if !former.contains(&limit.target) {
                log::info!(
                    "event=target_limit_shared target={} per_s={} entries={} hub={}",
                    limit.target,
                    limit.rate,
                    position.of,
                    state.has_hub_for(&limit.target)
                );
            }
            self.submit_shares_of(state, &limit, position);
        }
    }

    fn submit_shares_of(&self, state: &State, limit: &TargetLimit, position: SharePosition) {
        let fraction = if state.has_hub_for(&limit.target) {
            FRACTION_BESIDE_HUB
        } else {
            ENTRIES_FRACTION
        };
        let own = RateShare::new(limit.rate, fraction, position, limit.since);
        let event = |share| Event::RateShare {
            target: limit.target.clone(),
            share: Some(share),
        };
        self.shared.scheduler.submit(event(own));
        let only = SharePosition { of: 1, index: 0 };
        let hub = RateShare::new(limit.rate, HUB_FRACTION, only, limit.since);
        self.domain_scheduler.scheduler.submit(event(hub));
    }
}

impl State {
    /// Whether the hub of its failure domain schedules prompts for a target.
    pub(super) fn has_hub_for(&self, target: &str) -> bool {
        let has_weights = self
            .targets
            .get(target)
            .is_some_and(|t| !t.weights.is_empty());
        self.uses_hubs() && has_weights
    }

    /// This entry's place among all entries in the platform store, live or not, since one that is
    /// only cut off from this entry goes on sending.
    pub(super) fn share_position(&self, own: &str) -> SharePosition {
        let others = self.other_entries(own);
        let before = others.iter().filter(|name| &***name < own).count();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        SharePosition {
            of: count(others.len() + 1),
            index: count(before),
        }
    }
}
