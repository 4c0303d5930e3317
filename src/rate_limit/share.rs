//! A scheduler's share of a target's limit.

use crate::prelude::*;
use crate::rate_limit::RequestRate;

/// Time for which the right to send one request holds. Rights that are saved up would let all
/// schedulers send at once.
const SLOT_LIFETIME: Duration = Duration::from_millis(500);
/// Smallest rate that is divided: with a limit of zero, a request now and then finds out whether it
/// still holds.
const MIN_RATE_PER_SECOND: f64 = 0.1;

/// Part of a target's limit that one of several schedulers may use: one request in each interval,
/// shortly after its start. The starts of the schedulers' intervals are spread evenly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateShare {
    /// Time from the start of one interval to the next.
    interval: Duration,
    /// Start of one interval.
    start: Timestamp,
    /// Time from the start of an interval in which its request may be sent.
    lifetime: Duration,
}

/// Position of a scheduler among those that divide a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharePosition {
    /// Number of schedulers.
    pub of: u32,
    /// Place of this one, from zero.
    pub index: u32,
}

impl RateShare {
    /// Divides `fraction` of a limit evenly; intervals count from `since`, which should be the same
    /// moment for all schedulers.
    #[must_use]
    pub fn new(
        limit: RequestRate,
        fraction: f64,
        position: SharePosition,
        since: Timestamp,
    ) -> Self {
        let rate = limit.per_second().max(MIN_RATE_PER_SECOND) * fraction;
        let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX / 2);
        Self {
            interval: spacing.saturating_mul(position.of.max(1)),
            start: since + spacing.saturating_mul(position.index),
            lifetime: SLOT_LIFETIME,
        }
    }

    /// The same share on a clock that is `offset` behind.
    #[must_use]
    pub fn shifted_back(mut self, offset: Duration) -> Self {
        let interval = self.interval.as_nanos().max(1);
        let back = offset.as_nanos() % interval;
        let start = self.start.as_nanos() % interval + interval - back;
        self.start = nanos(start % interval);
        self
    }

    /// The same share with another time in which the request of an interval may be sent.
    #[must_use]
    pub fn with_lifetime(mut self, lifetime: Duration) -> Self {
        self.lifetime = lifetime;
        self
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        1.0 / self.interval.as_secs_f64()
    }

    /// Start of the first interval at or after `at`.
    fn interval_at_or_after(&self, at: Timestamp) -> Timestamp {
        let interval = self.interval.as_nanos().max(1);
        if at <= self.start {
            let ahead = self.start.saturating_sub(at).as_nanos() / interval;
            return self.start.saturating_sub(nanos(ahead * interval));
        }
        let passed = at.saturating_sub(self.start).as_nanos();
        let passed = passed.div_ceil(interval) * interval;
        self.start.saturating_add(nanos(passed))
    }
}

fn nanos(nanos: u128) -> Duration {
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

/// Use of a share.
#[derive(Clone, Copy, Debug)]
pub struct ShareMeter {
    share: RateShare,
    /// Start of the interval in which a request was sent last.
    used: Option<Timestamp>,
}

impl ShareMeter {
    /// Makes a meter of a share that was not used yet.
    #[must_use]
    pub fn new(share: RateShare) -> Self {
        Self { share, used: None }
    }

    /// Replaces the share; what was used still counts.
    pub fn set_share(&mut self, share: RateShare) {
        self.share = share;
    }

    /// The share.
    #[must_use]
    pub fn share(&self) -> RateShare {
        self.share
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn permits(&self, now: Timestamp) -> bool {
        self.next_interval(now) <= now
    }

    /// Uses the oldest interval that still holds.
    pub fn record_use(&mut self, now: Timestamp) {
        self.used = Some(self.next_interval(now).min(now));
    }

    /// When a request may be sent next; not after `now` if that is possible at once.
    #[must_use]
    pub fn next_interval(&self, now: Timestamp) -> Timestamp {
        let oldest = now.saturating_sub(self.share.lifetime);
        // Half an interval, since a new share may have moved the starts a little.
        let unused = self.used.map(|used| used + self.share.interval / 2);
        let from = unused.map_or(oldest, |unused| unused.max(oldest));
        self.share.interval_at_or_after(from)
    }

    /// When an unused right to send ends, if there is one now.
    #[must_use]
    pub fn permitted_until(&self, now: Timestamp) -> Option<Timestamp> {
        let start = self.next_interval(now);
        (start <= now).then(|| start + self.share.lifetime)
    }
}
