//! The watch of the head object at the platform.

use crate::catalog::ReplicaEffect;
use crate::prelude::*;

/// Interval at which a watch is replaced by one on a new connection, so that a connection gone
/// silent hides changes no longer than this.
const ROTATE: Duration = Duration::from_millis(500);
/// Time without an answer after which a watch being opened no longer counts as working.
const SLOW_OPEN: Duration = Duration::from_millis(400);
/// Time after which a second attempt is made beside one that is still waiting.
const STUCK_OPEN: Duration = Duration::from_secs(1);
/// Longest pause between failed attempts.
const RETRY_CAP: Duration = Duration::from_millis(1500);
/// First pause after a failed attempt.
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Delay by which each further entry in rank takes over later.
const STAGGER: Duration = Duration::from_millis(100);
/// How long an entry goes on watching when better ranked ones do.
const HANDOVER: Duration = Duration::from_secs(2);

/// How much an entry's watch is needed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Rank of the entry in its domain, from zero.
    pub rank: u32,
    /// Whether too few better ranked entries watch.
    pub wanted: bool,
}

/// State of one entry's watch.
#[derive(Debug, Default)]
pub(super) struct Watch {
    wanted_since: Option<Timestamp>,
    unwanted_since: Option<Timestamp>,
    active: bool,
    working: bool,
    opening: Option<Timestamp>,
    next: Timestamp,
    failures: u32,
}

impl Watch {
    /// Whether the platform is watched and has answered lately.
    pub(super) fn is_working(&self) -> bool {
        self.active && self.working
    }

    /// Starts, renews or ends the watch as needed.
    pub(super) fn follow(
        &mut self,
        now: Timestamp,
        demand: Demand,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        if demand.wanted {
            self.unwanted_since = None;
            let since = *self.wanted_since.get_or_insert(now);
            self.active |= now >= since + STAGGER * demand.rank;
        } else {
            self.wanted_since = None;
            let since = *self.unwanted_since.get_or_insert(now);
            if self.active && now >= since + HANDOVER {
                *self = Self::default();
                effects.push(ReplicaEffect::CloseWatch);
            }
        }
        if self.active {
            self.open(now, effects);
        }
    }

    fn open(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if let Some(since) = self.opening {
            if now >= since + SLOW_OPEN {
                self.working = false;
            }
            if now < since + STUCK_OPEN {
                return;
            }
        } else if now < self.next {
            return;
        }
        self.opening = Some(now);
        effects.push(ReplicaEffect::OpenWatch);
    }

    /// Takes note of a watch that was opened; one that is no longer needed is closed.
    pub(super) fn opened(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if !self.active {
            effects.push(ReplicaEffect::CloseWatch);
            return;
        }
        self.opening = None;
        self.working = true;
        self.failures = 0;
        self.next = now + ROTATE;
    }

    /// Plans the next attempt with full jitter: a uniform pause below an exponentially growing
    /// bound.
    pub(super) fn failed(&mut self, now: Timestamp, rng: &mut fastrand::Rng) {
        self.opening = None;
        self.working = false;
        let bound = RETRY_BASE * 2_u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next = now + bound.min(RETRY_CAP).mul_f64(rng.f64());
    }
}
