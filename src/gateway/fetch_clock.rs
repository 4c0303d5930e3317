//! Estimate of the clock by which targets measure the deadlines of fetches.

use std::sync::{Mutex, PoisonError};

use crate::clock::time_since_boot;
use crate::prelude::*;

/// Estimates the targets' clock from the readings that context stores report. Keeps the largest
/// offset, in milliseconds, from this VM's time since boot, so that the estimate advances while the
/// VM is suspended.
#[derive(Debug, Default)]
pub struct FetchClock(Mutex<Option<u64>>);

impl FetchClock {
    /// Records a reading in milliseconds as taken now; delay of the report makes the estimate too
    /// early, never too late.
    pub fn observe(&self, clock_ms: Option<u64>) {
        let Some(clock_ms) = clock_ms else {
            return;
        };
        let offset = clock_ms.saturating_sub(boot_ms());
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(known.map_or(offset, |old| old.max(offset)));
    }

    /// The targets' clock after `time` from now, in milliseconds; `None` without any reading.
    #[must_use]
    pub fn after(&self, time: Duration) -> Option<u64> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let ahead = u64::try_from(time.as_millis()).unwrap_or_default();
        known.map(|offset| offset + boot_ms() + ahead)
    }
}

fn boot_ms() -> u64 {
    u64::try_from(time_since_boot().as_millis()).unwrap_or_default()
}
