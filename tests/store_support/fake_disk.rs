//! A disk that may lose what was not synced.

use std::collections::{BTreeMap, BTreeSet};

use guavahold::store::index::{BlockInfo, Generation};

/// Files of a store's folder, by generation.
#[derive(Clone, Debug, Default)]
pub struct FakeDisk {
    pub staging: BTreeMap<Generation, BlockInfo>,
    pub committed: BTreeMap<Generation, BlockInfo>,
    pub tombstones: BTreeSet<Generation>,
    /// Renames that a power cut may undo.
    unsynced_commits: BTreeSet<Generation>,
    /// Removals that a power cut may undo.
    unsynced_removals: BTreeMap<Generation, BlockInfo>,
}

impl FakeDisk {
    pub fn commit(&mut self, generation: Generation) {
        let info = self.staging.remove(&generation).expect("staged before");
        self.committed.insert(generation, info);
        self.unsynced_commits.insert(generation);
    }

    pub fn remove(&mut self, generation: Generation, durable: bool) {
        self.staging.remove(&generation);
        if let Some(info) = self.committed.remove(&generation) {
            self.unsynced_removals.insert(generation, info);
        }
        let buried = self.tombstones.contains(&generation);
        if durable || buried {
            self.sync();
        }
        self.tombstones.remove(&generation);
    }

    pub fn sync(&mut self) {
        self.unsynced_removals.clear();
        self.unsynced_commits.clear();
    }

    /// Undoes unsynced changes; `coin` decides on each.
    pub fn cut_power(&mut self, mut coin: impl FnMut() -> bool) {
        for generation in std::mem::take(&mut self.unsynced_commits) {
            if coin() {
                self.committed.remove(&generation);
            }
        }
        for (generation, info) in std::mem::take(&mut self.unsynced_removals) {
            if coin() {
                self.committed.insert(generation, info);
            }
        }
    }

    /// What a start finds: no staged file, no block with a tombstone.
    pub fn restart(&mut self) -> Vec<(Generation, BlockInfo)> {
        self.staging.clear();
        let tombstones = std::mem::take(&mut self.tombstones);
        self.committed.retain(|g, _| !tombstones.contains(g));
        self.unsynced_commits.clear();
        self.unsynced_removals.clear();
        let found = self.committed.iter();
        found.map(|(g, info)| (*g, info.clone())).collect()
    }

    /// Bytes of all files.
    pub fn bytes(&self) -> u64 {
        let files = self.staging.values().chain(self.committed.values());
        files.map(|info| info.bytes).sum()
    }
}
