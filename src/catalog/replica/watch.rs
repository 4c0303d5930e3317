//! The watch of the head object at the platform.

use crate::catalog::ReplicaEffect;
use crate::prelude::*;

/// Interval at which a watch is replaced by one on a new connection, so that a connection that has
/// gone silent hides changes for no longer than this.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer to an open attempt after which the watch no longer counts as working.
const OPEN_OVERDUE_AFTER: Duration = Duration::from_millis(400);
/// Time without an answer to an open attempt after which another one is started beside it.
const OPEN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the random delay after any number of failed attempts.
const RETRY_CAP: Duration = Duration::from_millis(1500);
/// Upper bound of the random delay after the first failed attempt.
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Further delay before an entry begins to watch, for each better ranked entry of its domain.
const START_DELAY_PER_RANK: Duration = Duration::from_millis(100);
/// Time for which an entry continues to watch after enough better ranked entries do.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// Whether an entry's watch is needed, and the entry's rank.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchDemand {
    /// Rank of the entry in its domain, from zero.
    pub rank: u32,
    /// Whether the watch is needed: too few better ranked entries watch, or this entry is not
    /// ready.
    pub needed: bool,
}

/// State of one entry's watch.
#[derive(Debug, Default)]
pub(super) struct Watch {
    needed_since: Option<Timestamp>,
    unneeded_since: Option<Timestamp>,
    active: bool,
    /// Whether the last open attempt was answered in time and its watch has not failed.
    working: bool,
    /// Start of the open attempt that is not answered yet.
    opening_since: Option<Timestamp>,
    next_open: Timestamp,
    failures: u32,
}

impl Watch {
    /// Whether the platform is watched and the watch works.
    pub(super) fn is_working(&self) -> bool {
        self.active && self.working
    }

    /// Starts, renews or ends the watch according to the demand.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        demand: WatchDemand,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        if demand.needed {
            self.unneeded_since = None;
            let since = *self.needed_since.get_or_insert(now);
            self.active |= now >= since + START_DELAY_PER_RANK * demand.rank;
        } else {
            self.needed_since = None;
            let since = *self.unneeded_since.get_or_insert(now);
            if self.active && now >= since + HANDOVER_TIME {
                *self = Self::default();
                effects.push(ReplicaEffect::CloseWatch);
            }
        }
        if self.active {
            self.open_if_due(now, effects);
        }
    }

    fn open_if_due(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if let Some(since) = self.opening_since {
            if now >= since + OPEN_OVERDUE_AFTER {
                self.working = false;
            }
            if now < since + OPEN_RETRY_AFTER {
                return;
            }
        } else if now < self.next_open {
            return;
        }
        self.opening_since = Some(now);
        effects.push(ReplicaEffect::OpenWatch);
    }

    /// Handles an opened watch; one that was opened after the need ended is closed.
    pub(super) fn on_opened(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if !self.active {
            effects.push(ReplicaEffect::CloseWatch);
            return;
        }
        self.opening_since = None;
        self.working = true;
        self.failures = 0;
        self.next_open = now + RENEWAL_INTERVAL;
    }

    /// Handles a failed watch; the next attempt follows after a delay with full jitter, uniform
    /// below an exponentially growing bound.
    pub(super) fn on_failed(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        self.opening_since = None;
        self.working = false;
        let bound = RETRY_BASE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next_open = now + bound.min(RETRY_CAP).mul_f64(rng.f64());
    }
}
