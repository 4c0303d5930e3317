//! Shares of the requests that a cold target takes.

use crate::prelude::*;
use crate::rate_limit::{
    ENTRIES_FRACTION, FRACTION_BESIDE_HUB, HUB_FRACTION, RateShare, RequestRate, SharePosition,
};

/// Validity of a permit to send one request to a cold target, without a hub. Permits used late add to
/// those of the second in which they are used, which counts against the bound. A shorter validity
/// would waste most permits, since an entry of a large system has few requests.
const ENTRY_PERMIT_LIFETIME: Duration = Duration::from_millis(250);
/// The same with a hub, which sends the requests of all entries and so uses its permits sooner.
const HUB_PERMIT_LIFETIME: Duration = Duration::from_millis(100);
/// Time from counting a request until it reaches the target.
const TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Standard deviations added to the mean number of requests. Clock differences make the intervals of
/// entries independent, so the number of requests is close to Poisson-distributed.
const CLOCK_DEVIATIONS: f64 = 3.0;
/// Most hubs at once: two entries may both believe that they are the hub.
const MAX_HUBS: f64 = 2.0;
/// Step in which the scale is reduced until the bound is kept.
const SCALE_STEP: f64 = 0.01;
/// Smallest scale.
const MIN_SCALE: f64 = 0.05;

/// Hard bound on the requests that a cold target gets in any second: its rate times `over`, plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate that a cold target tolerates.
    pub over: f64,
    /// Further requests.
    pub slack: f64,
}

/// The requests that a cold target takes from all schedulers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpAllowance {
    /// Rate to aim at.
    rate: RequestRate,
    bound: ColdBound,
}

impl WarmUpAllowance {
    /// Makes the allowance of a target that tolerates `rate` while it is cold.
    #[must_use]
    pub fn new(rate: RequestRate, bound: ColdBound) -> Self {
        Self { rate, bound }
    }

    /// Most requests in any second.
    #[must_use]
    pub fn most_in_a_second(&self) -> f64 {
        self.rate.per_second() * self.bound.over + self.bound.slack
    }

    /// Share of a hub; `clock_offset` is the wall clock's lead over the scheduler's clock.
    #[must_use]
    pub fn hub_share(&self, clock_offset: Duration) -> RateShare {
        let only = SharePosition { of: 1, index: 0 };
        self.share(HUB_FRACTION, true, only, clock_offset)
    }

    /// Share of an entry, beside a hub or without one. The intervals of all entries count from the
    /// Unix epoch, which spreads them evenly as far as their clocks agree.
    #[must_use]
    pub fn entry_share(
        &self,
        position: SharePosition,
        beside_hub: bool,
        clock_offset: Duration,
    ) -> RateShare {
        let fraction = if beside_hub {
            FRACTION_BESIDE_HUB
        } else {
            ENTRIES_FRACTION
        };
        self.share(fraction, beside_hub, position, clock_offset)
    }

    fn share(
        &self,
        fraction: f64,
        has_hub: bool,
        position: SharePosition,
        clock_offset: Duration,
    ) -> RateShare {
        let fraction = fraction * self.scale(has_hub);
        RateShare::new(self.rate, fraction, position, Duration::ZERO)
            .shifted_back(clock_offset)
            .with_lifetime(permit_lifetime(has_hub))
    }

    /// Factor on the fractions with which the bound is kept in the worst case.
    fn scale(&self, has_hub: bool) -> f64 {
        let mut scale = 1.0;
        while scale > MIN_SCALE && self.worst_case(has_hub, scale) > self.most_in_a_second() {
            scale -= SCALE_STEP;
        }
        scale
    }

    /// Most requests in any second, with two hubs at once if there are hubs.
    fn worst_case(&self, has_hub: bool, scale: f64) -> f64 {
        let seconds = 1.0 + (permit_lifetime(has_hub) + TRANSIT_TIME).as_secs_f64();
        let in_window = self.rate.per_second() * scale * seconds;
        if has_hub {
            MAX_HUBS * (in_window * HUB_FRACTION + 1.0)
                + poisson_upper_bound(in_window * FRACTION_BESIDE_HUB)
        } else {
            poisson_upper_bound(in_window * ENTRIES_FRACTION) + 1.0
        }
    }
}

fn permit_lifetime(has_hub: bool) -> Duration {
    if has_hub {
        HUB_PERMIT_LIFETIME
    } else {
        ENTRY_PERMIT_LIFETIME
    }
}

/// Upper bound on the requests of entries with independent intervals, from their mean number.
fn poisson_upper_bound(mean: f64) -> f64 {
    mean + CLOCK_DEVIATIONS * mean.sqrt()
}
