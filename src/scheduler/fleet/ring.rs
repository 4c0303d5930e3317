//! Rendezvous order of targets.

use crate::prelude::*;
use crate::scheduler::fleet::TargetIx;

/// Most candidates for one key.
pub(crate) const CANDIDATES: usize = 8;
/// Number of targets up to which all of them are scored for each key.
const MAX_SCORED_TARGETS: usize = 128;
/// Points probed for each key in a larger ring.
const PROBES_PER_KEY: u64 = 12;

/// Candidates for one key, preferred first.
pub(crate) type Candidates = SmallVec<[TargetIx; CANDIDATES]>;

/// Mixes 64 bits (the finalizer of `SplitMix64`).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Targets sorted by hash. A small ring ranks every target (rendezvous hashing, Thaler and
/// Ravishankar 1998); a large one probes several points (multi-probe consistent hashing, Appleton
/// and O'Reilly 2015), so that a lookup takes bounded time and a change of the targets moves few
/// keys.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    points: Vec<(u64, TargetIx)>,
}

impl Ring {
    /// Adds a target.
    pub(crate) fn insert(&mut self, hash: u64, ix: TargetIx) {
        if let Err(at) = self.points.binary_search(&(hash, ix)) {
            self.points.insert(at, (hash, ix));
        }
    }

    /// Removes a target.
    pub(crate) fn remove(&mut self, hash: u64, ix: TargetIx) {
        if let Ok(at) = self.points.binary_search(&(hash, ix)) {
            self.points.remove(at);
        }
    }

    /// Number of targets.
    pub(crate) fn len(&self) -> usize {
        self.points.len()
    }

    /// All targets.
    pub(crate) fn iter(&self) -> impl Iterator<Item = TargetIx> {
        self.points.iter().map(|(_, ix)| *ix)
    }

    /// The first targets in the order of preference for `key`.
    pub(crate) fn candidates(&self, key: u64) -> Candidates {
        if self.points.len() > MAX_SCORED_TARGETS {
            return self.probe(key);
        }
        self.candidates_where(key, |_| true)
    }

    /// The first targets in the order of preference for `key` among those that `accepts` accepts.
    pub(crate) fn candidates_where(
        &self,
        key: u64,
        accepts: impl Fn(TargetIx) -> bool,
    ) -> Candidates {
        let mut best: SmallVec<[(u64, TargetIx); CANDIDATES + 1]> = SmallVec::new();
        for (hash, ix) in self.points.iter().filter(|(_, ix)| accepts(*ix)) {
            let score = mix(key ^ hash);
            if best.len() == CANDIDATES && best[CANDIDATES - 1].0 >= score {
                continue;
            }
            let at = best.iter().position(|b| b.0 < score).unwrap_or(best.len());
            best.insert(at, (score, *ix));
            best.truncate(CANDIDATES);
        }
        best.into_iter().map(|(_, ix)| ix).collect()
    }

    fn probe(&self, key: u64) -> Candidates {
        let mut found = Candidates::new();
        for n in 0..PROBES_PER_KEY {
            let point = mix(key.wrapping_add(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
            let at = self.points.partition_point(|(hash, _)| *hash < point);
            let (_, ix) = self.points[at % self.points.len()];
            if !found.contains(&ix) && found.len() < CANDIDATES {
                found.push(ix);
            }
        }
        found
    }
}
