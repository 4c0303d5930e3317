//! Parts of a limit that the schedulers of a target use.

/// Part of a limit that the entries use together when no hub schedules for its target. The rest
/// allows for answers that entries learn of at different times.
pub const ENTRIES_FRACTION: f64 = 0.9;
/// Part that the hub of the target's failure domain uses. It stays within the limit even while two
/// entries believe that they are the hub.
pub const HUB_FRACTION: f64 = 0.5;
/// Part that the entries use together beside a hub, for requests that no hub schedules.
pub const FRACTION_BESIDE_HUB: f64 = 0.3;
