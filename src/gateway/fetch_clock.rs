//! The clock by which targets measure the deadlines of fetches.

use std::sync::{Mutex, PoisonError};

use crate::clock::time_since_boot;
use crate::prelude::*;

/// Estimate of the targets' clock from the answers that told it; it goes on while the VM is
/// suspended.
#[derive(Debug, Default)]
pub struct FetchClock(Mutex<Option<u64>>);

impl FetchClock {
    /// Takes a reading, as of now; late answers make the estimate early, never late.
    pub fn observe(&self, clock_ms: Option<u64>) {
        let Some(clock_ms) = clock_ms else {
            return;
        };
        let offset = clock_ms.saturating_sub(boot_ms());
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(known.map_or(offset, |old| old.max(offset)));
    }

    /// Reading of the targets' clock after `time`; `None` before any was told.
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
