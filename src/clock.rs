//! Wall-clock time, time since boot, and timeouts that need no system call.

mod coarse;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use coarse::{CoarseSleep, coarse_sleep};

/// Time since the VM booted, including time suspended (`CLOCK_BOOTTIME`).
#[must_use]
pub fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
