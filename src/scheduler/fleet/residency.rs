//! Targets in the failure domains that a request is restricted to.
//!
//! Requests without a restriction use the indexes of all targets; only those with one go through the
//! targets of their pool.

use crate::residency::AllowedDomains;
use crate::scheduler::fleet::ring::Candidates;
use crate::scheduler::fleet::{Fleet, FreeSet, PoolIx, Ring, TargetIx};

impl Fleet {
    /// Whether a target may run a request that is restricted to `allowed`.
    pub(crate) fn is_allowed(&self, ix: TargetIx, allowed: Option<&AllowedDomains>) -> bool {
        allowed.is_none() || self.get(ix).is_some_and(|t| t.is_allowed(allowed))
    }

    /// The first targets in the order of preference for `key` among those allowed.
    pub(crate) fn candidates(
        &self,
        ring: &Ring,
        key: u64,
        allowed: Option<&AllowedDomains>,
    ) -> Candidates {
        match allowed {
            None => ring.candidates(key),
            Some(_) => ring.candidates_where(key, |ix| self.is_allowed(ix, allowed)),
        }
    }

    /// A random target of a set among those allowed.
    pub(crate) fn random_free(
        &self,
        free: &FreeSet,
        allowed: Option<&AllowedDomains>,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        if allowed.is_none() {
            return free.random(rng);
        }
        let usable = || free.iter().filter(|ix| self.is_allowed(*ix, allowed));
        let count = usable().count();
        (count > 0).then(|| usable().nth(rng.usize(..count)))?
    }

    /// Whether a set has an allowed target.
    pub(crate) fn has_free(&self, free: &FreeSet, allowed: Option<&AllowedDomains>) -> bool {
        match allowed {
            None => !free.is_empty(),
            Some(_) => free.iter().any(|ix| self.is_allowed(ix, allowed)),
        }
    }

    /// Share of a pool's targets that are allowed.
    pub(crate) fn allowed_share(&self, pool: PoolIx, allowed: Option<&AllowedDomains>) -> f64 {
        if allowed.is_none() {
            return 1.0;
        }
        let targets = || self.pool(pool).groups[0].all.iter();
        let usable = targets().filter(|ix| self.is_allowed(*ix, allowed));
        let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
        count(usable.count()) / count(targets().count().max(1))
    }
}
