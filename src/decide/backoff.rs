//! Exponential delays with full jitter.

use crate::prelude::*;

/// Exponential delays with full jitter: uniform between zero and a bound that doubles.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    /// Bound of the first delay.
    pub(super) base: Duration,
    /// Highest bound.
    pub(super) cap: Duration,
}

impl Backoff {
    /// Delay before try number `tries` + 1, `tries` from zero.
    pub(super) fn delay(&self, tries: u32, rng: &mut fastrand::Rng) -> Duration {
        let bound = self.base.saturating_mul(1 << tries.min(16)).min(self.cap);
        bound.mul_f64(rng.f64())
    }

    /// Delay whose lower half is fixed, for work that must not repeat at once.
    pub(super) fn spread(&self, tries: u32, rng: &mut fastrand::Rng) -> Duration {
        let bound = self.base.saturating_mul(1 << tries.min(16)).min(self.cap);
        bound / 2 + (bound / 2).mul_f64(rng.f64())
    }
}
