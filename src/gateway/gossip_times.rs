//! Intervals at which entries exchange their status.

use crate::prelude::*;

/// Interval at which the status is sent to all peers, in a small system.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which statuses of a small system prove how recent they are.
pub const ROUND_TRIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which statuses and digests are sent, in a large system with hubs.
pub const HUB_INTERVAL: Duration = Duration::from_millis(300);
/// Share by which an interval is randomly shorter or longer.
pub const INTERVAL_JITTER: f64 = 0.1;
/// Time without a digest from the hub after which another one is selected.
pub const HUB_TIMEOUT: Duration = Duration::from_secs(1);
