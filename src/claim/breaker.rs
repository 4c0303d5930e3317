//! Refuses calls to a platform that does not answer.

use crate::prelude::*;

/// Consecutive failures that open the breaker.
const FAILURES: u32 = 2;
/// Shortest time for which the breaker stays open.
const MIN_OPEN: Duration = Duration::from_millis(100);
/// Bound of the first opening; it doubles with each failed probe.
const FIRST_OPEN: Duration = Duration::from_millis(400);
/// Longest time for which the breaker stays open.
const MAX_OPEN: Duration = Duration::from_secs(5);
/// Time after which a probe that never reported back is forgotten.
const PROBE_TIME: Duration = Duration::from_secs(10);
/// Callers told to come back are spread over this time.
const SPREAD: Duration = Duration::from_secs(1);

/// A circuit breaker with full-jitter exponential delays and one probe at a time.
#[derive(Debug)]
pub struct Breaker {
    rng: fastrand::Rng,
    failures: u32,
    open_until: Timestamp,
    probe_until: Option<Timestamp>,
    closed_since: Timestamp,
}

impl Breaker {
    /// Makes a closed breaker; `seed` sets its jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            failures: 0,
            open_until: Timestamp::ZERO,
            probe_until: None,
            closed_since: Timestamp::ZERO,
        }
    }

    /// Tells whether a call might be admitted now.
    ///
    /// # Errors
    /// When to come back, spread so that callers do not return at once.
    pub fn check(&mut self, now: Timestamp) -> Result<(), Duration> {
        let probing = self.probe_until.is_some_and(|until| now < until);
        if !self.is_open() || (now >= self.open_until && !probing) {
            return Ok(());
        }
        let wait = self.open_until.saturating_sub(now).max(MIN_OPEN);
        Err(wait + SPREAD.mul_f64(self.rng.f64()))
    }

    /// Admits a call, which has to be reported by [`Breaker::succeed`] or [`Breaker::fail`]; while
    /// the breaker is open, one call at a time passes as a probe.
    ///
    /// # Errors
    /// Those of [`Breaker::check`].
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.check(now)?;
        if self.is_open() {
            self.probe_until = Some(now + PROBE_TIME);
        }
        Ok(())
    }

    /// Reports an answer; tells whether the breaker was open.
    pub fn succeed(&mut self, now: Timestamp) -> bool {
        let was_open = self.is_open();
        if was_open {
            self.closed_since = now;
        }
        self.failures = 0;
        self.probe_until = None;
        was_open
    }

    /// Reports a failure; tells whether it opened the breaker.
    pub fn fail(&mut self, now: Timestamp) -> bool {
        let was_open = self.is_open();
        self.failures = self.failures.saturating_add(1);
        self.probe_until = None;
        if self.is_open() && now >= self.open_until {
            let doublings = (self.failures - FAILURES).min(8);
            let bound = (FIRST_OPEN * (1 << doublings)).min(MAX_OPEN);
            self.open_until = now + MIN_OPEN.max(bound.mul_f64(self.rng.f64()));
        }
        !was_open && self.is_open()
    }

    /// Time since which the platform answers; `None` while the breaker is open.
    #[must_use]
    pub fn closed_since(&self) -> Option<Timestamp> {
        (!self.is_open()).then_some(self.closed_since)
    }

    fn is_open(&self) -> bool {
        self.failures >= FAILURES
    }
}
