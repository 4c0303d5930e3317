//! Evacuations of failure domains: watching them, passing them to the schedulers, and logging them.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::control::{Control, State};
use crate::gateway::{EvacuationChange, WatchedKind};
use crate::prelude::*;
use crate::scheduler::Event;
use crate::telemetry::LogValue;

/// Time in which the writer of an evacuation writes it again after the platform store was restored.
pub(super) const EVACUATION_REWRITE_TIME: Duration = Duration::from_secs(6);

impl Control {
    /// Kinds of objects that this entry watches; evacuations only where the deployment has them.
    pub(crate) fn watched_kinds(&self) -> impl Iterator<Item = WatchedKind> + use<> {
        let evacuations = self.evacuation_deadline.is_some();
        let all = WatchedKind::ALL.into_iter();
        all.filter(move |kind| evacuations || *kind != WatchedKind::Evacuations)
    }

    /// Time without an answer of the store after which the evacuations count as unconfirmed.
    pub(crate) fn evacuation_silence_limit(&self) -> Duration {
        let deadline = self.evacuation_deadline.unwrap_or(self.recovery_deadline);
        deadline.min(self.recovery_deadline)
    }

    /// Time until which objects are kept that are missing from a peer's copy of a restored store;
    /// `None` for kinds whose missing objects are dropped at once.
    pub(super) fn keep_unlisted_until(&self, watched: WatchedKind) -> Option<Timestamp> {
        let kept = watched == WatchedKind::Evacuations;
        kept.then(|| self.now() + EVACUATION_REWRITE_TIME)
    }

    /// Whether the entry has just started and does not know the evacuations yet, so that it must not
    /// use any targets. The wait ends after the evacuation deadline, since the store and all peers
    /// may be unreachable.
    pub(super) fn awaits_evacuations(&self, state: &State) -> bool {
        let known = state.cache(WatchedKind::Evacuations).revision() > 0;
        let limit = self.evacuation_deadline.filter(|_| !known);
        limit.is_some_and(|limit| self.now() < limit)
    }

    /// Tells both schedulers the evacuated failure domains.
    pub(super) fn apply_evacuations(&self, state: &mut State) {
        let names = state.cache(WatchedKind::Evacuations).iter();
        let domains: BTreeSet<Name> = names
            .map(|(name, _)| self.decoder.evacuated_domain(name))
            .collect();
        self.submit_to_schedulers(&Event::Evacuations(domains.clone()));
        state.evacuations.set(domains);
        if state.targets_withheld {
            self.submit_targets(state);
        } else {
            self.record_evacuations(state);
            self.submit_reports(state);
        }
    }

    /// Logs the evacuations that began or ended, once the targets are known.
    pub(super) fn record_evacuations(&self, state: &mut State) {
        if state.cache(WatchedKind::Targets).revision() == 0 {
            return;
        }
        let mut targets: BTreeMap<Name, usize> = BTreeMap::new();
        for target in state.targets.iter() {
            *targets.entry(target.info.domain.clone()).or_default() += 1;
        }
        let revision = state.cache(WatchedKind::Evacuations).revision();
        for change in state.evacuations.changes(&targets) {
            match change {
                EvacuationChange::Began(domain, targets) => log::warn!(
                    "event=evacuation_in_force domain={} revision={revision} targets={targets}",
                    LogValue(&domain)
                ),
                EvacuationChange::Ended(domain, targets) => log::info!(
                    "event=evacuation_ended domain={} revision={revision} targets={targets}",
                    LogValue(&domain)
                ),
                EvacuationChange::UnknownDomain(domain) => {
                    log::warn!("event=evacuation_ignored domain={domain:?} revision={revision}");
                }
            }
        }
        let count = i64::try_from(state.evacuations.count_in_force()).unwrap_or(i64::MAX);
        self.shared.metrics.evacuated_domains.set(count);
    }
}
