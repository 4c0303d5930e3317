//! Circuit breaker for calls to the platform.

use crate::prelude::*;

/// Consecutive failures that open the breaker.
const OPEN_AFTER_FAILURES: u32 = 2;
/// Shortest time that the breaker stays open.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);
/// Upper bound of the random open time after the first opening; doubles with each failed probe.
const INITIAL_OPEN_BOUND: Duration = Duration::from_millis(400);
/// Longest time that the breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(5);
/// Time after which a probe without a reported result no longer blocks the next probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound of the random delay added to `retry_after`, which spreads the retries of callers.
const MAX_RETRY_JITTER: Duration = Duration::from_secs(1);

/// Circuit breaker with full-jitter exponential backoff and one probe at a time.
#[derive(Debug)]
pub struct CircuitBreaker {
    rng: fastrand::Rng,
    failures: u32,
    open_until: Timestamp,
    probe_deadline: Option<Timestamp>,
    closed_since: Timestamp,
}

impl CircuitBreaker {
    /// Creates a closed breaker; `seed` seeds the random delays.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            failures: 0,
            open_until: Timestamp::ZERO,
            probe_deadline: None,
            closed_since: Timestamp::ZERO,
        }
    }

    /// Whether a call would be admitted now. Unlike [`CircuitBreaker::admit`], it starts no probe.
    ///
    /// # Errors
    /// The delay before a retry, jittered so that callers do not retry all at once.
    pub fn check(&mut self, now: Timestamp) -> Result<(), Duration> {
        let probing = self.probe_deadline.is_some_and(|deadline| now < deadline);
        if !self.is_open() || (now >= self.open_until && !probing) {
            return Ok(());
        }
        let wait = self.open_until.saturating_sub(now).max(MIN_OPEN_TIME);
        Err(wait + MAX_RETRY_JITTER.mul_f64(self.rng.f64()))
    }

    /// Admits a call, whose result has to be reported by [`CircuitBreaker::record_success`] or
    /// [`CircuitBreaker::record_failure`]. While the breaker is open, one call at a time is
    /// admitted as a probe.
    ///
    /// # Errors
    /// Same as [`CircuitBreaker::check`].
    pub fn admit(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.check(now)?;
        if self.is_open() {
            self.probe_deadline = Some(now + PROBE_TIMEOUT);
        }
        Ok(())
    }

    /// Closes the breaker after an answered call; returns whether it was open.
    pub fn record_success(&mut self, now: Timestamp) -> bool {
        let was_open = self.is_open();
        if was_open {
            self.closed_since = now;
        }
        self.failures = 0;
        self.probe_deadline = None;
        was_open
    }

    /// Counts a failed call; returns whether it opened the breaker.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        let was_open = self.is_open();
        self.failures = self.failures.saturating_add(1);
        self.probe_deadline = None;
        if self.is_open() && now >= self.open_until {
            let doublings = (self.failures - OPEN_AFTER_FAILURES).min(8);
            let bound = (INITIAL_OPEN_BOUND * (1 << doublings)).min(MAX_OPEN_TIME);
            self.open_until = now + MIN_OPEN_TIME.max(bound.mul_f64(self.rng.f64()));
        }
        !was_open && self.is_open()
    }

    /// When the breaker last closed, [`Timestamp::ZERO`] if it never opened; `None` while it is open.
    #[must_use]
    pub fn closed_since(&self) -> Option<Timestamp> {
        (!self.is_open()).then_some(self.closed_since)
    }

    fn is_open(&self) -> bool {
        self.failures >= OPEN_AFTER_FAILURES
    }
}
