//! State of one target.

use crate::decide::TargetInfo;
use crate::decide::fleet::{Health, Load, PoolIx, mix};
use crate::prelude::*;

/// Index of a target within the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct TargetIx(pub(crate) u32);

/// State of one target.
#[derive(Debug)]
pub(crate) struct Target {
    /// As listed.
    pub(crate) info: TargetInfo,
    /// Place on the rings.
    pub(crate) hash: u64,
    /// Targets of the same model or service.
    pub(crate) pool: PoolIx,
    /// Whether it is in the own failure domain.
    pub(crate) local: bool,
    /// Whether the newest list has it.
    pub(crate) listed: bool,
    /// Health.
    pub(crate) health: Health,
    /// Load.
    pub(crate) load: Load,
    /// Whether it takes work and has room.
    pub(crate) free: bool,
    /// Suspected requests that it runs for this entry.
    pub(crate) suspects: u32,
}

impl Target {
    /// Makes a target.
    pub(crate) fn new(info: TargetInfo, pool: PoolIx, domain: &str) -> Self {
        let digest = blake3::hash(info.name.as_bytes());
        let word = digest.as_bytes().first_chunk::<8>().copied();
        let health = Health::new(info.leaving);
        Self {
            hash: mix(u64::from_le_bytes(word.unwrap_or_default())),
            pool,
            local: *info.domain == *domain,
            listed: true,
            health,
            load: Load::default(),
            free: false,
            suspects: 0,
            info,
        }
    }

    /// Tells whether new work may be given.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.listed && self.health.takes_work(now)
    }

    /// Tells whether the target has a weight version ready.
    pub(crate) fn has_weights(&self, weights: &str) -> bool {
        weights.is_empty() || self.load.report.weights.iter().any(|w| **w == *weights)
    }
}
