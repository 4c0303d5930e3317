//! Bounds of a deployment, and the times that follow from them.

use std::time::Duration;

use guavahold::store_view::{self, ChangeTimes};

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of entries.
    pub entries: usize,
    /// Time from its acknowledgement in which a change must be in force.
    pub apply: Duration,
    /// Time without disruption of the store after which it counts as stable.
    pub stable_window: Duration,
    /// Further time in which a change must be in force while the store turns some VMs away.
    pub max_stretch: Duration,
}

/// Without hubs.
pub const SMALL: Site = Site {
    entries: 6,
    apply: Duration::from_secs(2),
    stable_window: Duration::from_secs(3),
    max_stretch: Duration::from_secs(5),
};
/// With hubs.
pub const MEDIUM: Site = Site {
    entries: 12,
    apply: Duration::from_secs(3),
    stable_window: Duration::from_secs(4),
    max_stretch: Duration::from_secs(6),
};
/// With hubs and the longest pauses.
pub const LARGE: Site = Site {
    entries: 16,
    apply: Duration::from_secs(4),
    stable_window: Duration::from_secs(5),
    max_stretch: Duration::from_secs(8),
};

impl Site {
    /// Whether the entries exchange their status through hubs.
    pub fn uses_hubs(&self) -> bool {
        self.entries > 10
    }

    /// Pause after each batch of changes.
    pub fn batch_pause(&self) -> Duration {
        if self.uses_hubs() {
            store_view::batch_pause(self.apply)
        } else {
            Duration::ZERO
        }
    }

    /// Times of the watch of configurations.
    pub fn times(&self) -> ChangeTimes {
        if self.uses_hubs() {
            ChangeTimes::within_beside_hubs(self.stable_window)
        } else {
            ChangeTimes::within(self.stable_window)
        }
    }
}
