//! Wall-clock time, time since boot, and timeouts that need no system call.

mod coarse;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub use coarse::{CoarseSleep, coarse_sleep, start_coarse_clock};

/// Time since the VM booted, including time suspended (`CLOCK_BOOTTIME`).
#[must_use]
pub fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    whole_millis(since_epoch.unwrap_or_default())
}
