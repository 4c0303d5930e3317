//! Exponential backoff with jitter.

use crate::prelude::*;

/// Exponential backoff: the upper bound of the delay grows from `base` to `cap`, with the number of tries
/// or with the time for which they have failed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    /// Smallest upper bound.
    pub(super) base: Duration,
    /// Largest upper bound.
    pub(super) cap: Duration,
}

impl Backoff {
    /// Delay after `tries` tries, uniform between zero and the upper bound.
    pub(super) fn full_jitter(&self, tries: u32, rng: &mut fastrand::Rng) -> Duration {
        let bound = self.base.saturating_mul(1 << tries.min(16)).min(self.cap);
        bound.mul_f64(rng.f64())
    }

    /// Delay after tries have failed for the time `failing`, uniform between half the upper bound and
    /// the bound, which is that time. What fails is tried again before it has failed for twice as
    /// long, however many tries failed at the same moment.
    pub(super) fn equal_jitter(&self, failing: Duration, rng: &mut fastrand::Rng) -> Duration {
        let bound = failing.clamp(self.base, self.cap);
        bound / 2 + (bound / 2).mul_f64(rng.f64())
    }
}
