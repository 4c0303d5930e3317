//! Weight versions that targets have, and the stored context that is retired on account of them.

use crate::context_store::RetiredVersions;
use crate::gateway::RegisteredTarget;
use crate::gateway::control::State;
use crate::name_hash::name_hash;
use crate::prelude::*;

/// Time for which a reported weight version overrides an older one in the target's registration.
const REPORTED_VERSION_TTL: Duration = Duration::from_secs(8);

impl State {
    /// Records the weight version that a target reported.
    pub(crate) fn record_reported_version(&mut self, now: Timestamp, target: &str, version: u64) {
        self.record_version_by_hash(now, name_hash(target), version);
    }

    /// Records a target's weight version by the hash of its name, unless an equal or newer version
    /// is recorded and has not expired; returns whether it was recorded.
    pub(crate) fn record_version_by_hash(
        &mut self,
        now: Timestamp,
        key: u32,
        version: u64,
    ) -> bool {
        let known = self.reported_versions.get(&key);
        let fresh = known.is_none_or(|(v, at)| *v < version || now >= *at + REPORTED_VERSION_TTL);
        if fresh {
            self.reported_versions.insert(key, (version, now));
        }
        fresh
    }

    /// Reported weight versions that have not expired, by the hash of the target's name.
    pub(crate) fn fresh_reported_versions(&mut self, now: Timestamp) -> Vec<(u32, u64)> {
        self.reported_versions
            .retain(|_, (_, at)| now < *at + REPORTED_VERSION_TTL);
        self.reported_versions
            .iter()
            .map(|(key, (v, _))| (*key, *v))
            .collect()
    }

    /// The weight version that a target runs: the newer of the registered and the reported one.
    pub(super) fn effective_version(
        &self,
        now: Timestamp,
        target: &RegisteredTarget,
        version: u64,
    ) -> u64 {
        let reported = self.reported_versions.get(&name_hash(&target.info.name));
        let reported = reported.filter(|(_, at)| now < *at + REPORTED_VERSION_TTL);
        reported.map_or(version, |(reported, _)| version.max(*reported))
    }

    /// Models and versions of all targets that are not leaving, one item for each target and model.
    pub(crate) fn effective_weights(&self, now: Timestamp) -> impl Iterator<Item = (Name, u64)> {
        let remaining = self.targets.iter().filter(|t| !t.info.leaving);
        remaining.flat_map(move |t| {
            let weights = t.weights.iter();
            weights.map(move |(model, v)| (model.clone(), self.effective_version(now, t, *v)))
        })
    }

    /// Retires what an earlier process of this entry may have retired, once the platform's store has
    /// listed the declared versions. With several models, versions of one say nothing about those
    /// of another.
    pub(crate) fn recall_retired(&mut self, now: Timestamp) {
        if self.versions.model_count() <= 1 {
            let newest = self.versions.newest();
            self.retirement.recall(now, newest.unwrap_or_default());
        }
    }

    /// Retires stored context of older weights: half of it once newer weights are declared, and all
    /// of it once at least a third of the targets has them. Stores are too small to hold all
    /// context of two versions.
    pub(crate) fn retire_context(&mut self, now: Timestamp) {
        let Some(newest) = self.versions.newest() else {
            return;
        };
        let versions: Vec<u64> = self.effective_weights(now).map(|(_, v)| v).collect();
        let fresh = versions.iter().filter(|v| **v >= newest).count();
        let all = fresh * 3 >= versions.len() && fresh > 0;
        self.retirement.retire(RetiredVersions {
            all_below: if all { newest } else { 0 },
            half_below: newest,
        });
    }
}
