//! Estimate of the clock by which targets measure the deadlines of fetches.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::whole_millis;
use crate::prelude::*;

/// Time for which readings are collected. Those of the last two such times are kept: the clock of
/// this VM may run faster than that of the targets, so that older readings would be too late.
const READINGS_PERIOD: Duration = Duration::from_secs(30);

/// Estimates the targets' clock from the readings that context stores report. Keeps the largest
/// recent offset, in milliseconds, from this VM's time since boot, so that the estimate advances
/// while the VM is suspended. All times are since boot.
#[derive(Debug, Default)]
pub struct FetchClock(Mutex<Offsets>);

/// Largest offsets of the current and of the previous period.
#[derive(Debug, Default)]
struct Offsets {
    period_began: Duration,
    current: Option<u64>,
    previous: Option<u64>,
}

impl FetchClock {
    /// Records a reading in milliseconds as taken now; delay of the report makes the estimate too
    /// early, never too late.
    pub fn observe(&self, now: Duration, clock_ms: Option<u64>) {
        let Some(clock_ms) = clock_ms else {
            return;
        };
        let offset = clock_ms.saturating_sub(whole_millis(now));
        let mut offsets = self.lock();
        if now >= offsets.period_began + READINGS_PERIOD {
            offsets.period_began = now;
            offsets.previous = offsets.current.take();
        }
        offsets.current = offsets.current.max(Some(offset));
    }

    /// The targets' clock after `time` from now, in milliseconds; `None` without any reading.
    #[must_use]
    pub fn after(&self, now: Duration, time: Duration) -> Option<u64> {
        let offsets = self.lock();
        let known = offsets.current.max(offsets.previous);
        known.map(|offset| offset.saturating_add(whole_millis(now + time)))
    }

    fn lock(&self) -> MutexGuard<'_, Offsets> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
