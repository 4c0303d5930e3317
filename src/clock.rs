//! Wall-clock time, and timeouts that cost no system call.

mod coarse;

use std::time::{SystemTime, UNIX_EPOCH};

pub use coarse::{CoarseSleep, coarse_sleep};

/// Milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
