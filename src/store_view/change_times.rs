//! Times that decide how late an entry may know a change.

use crate::platform::WATCH_CALL_PAUSE;
use crate::prelude::*;

/// Backoff after the first failed call, doubled after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff after a failed call.
pub const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum backoff after a listing that cannot be read to its end.
const MAX_LISTING_BACKOFF: Duration = Duration::from_secs(5);
/// Time after which another call is made beside those that the store has not answered.
pub const CATCH_UP_INTERVAL: Duration = Duration::from_millis(1_200);
/// Interval at which a hub's confirmations are checked.
pub const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a change that the hub knows and this entry does not counts as missed; before, it
/// may still arrive on the watch, which pauses between two calls.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Time without the platform store after which objects are requested from peers.
pub const OBJECT_REQUEST_DELAY: Duration = Duration::from_millis(300);
/// Minimum interval between two requests for objects of one kind.
pub const OBJECT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Part of the recovery deadline for opening a failed watch again and for applying its changes.
const RECOVERY_RESERVE: Duration = Duration::from_millis(900);
/// The same for a hub, whose entries then have to hear of the changes.
const HUB_RECOVERY_RESERVE: Duration = Duration::from_millis(1_800);
/// The same for a watch that nobody has confirmed beside a hub.
const UNCONFIRMED_RESERVE: Duration = Duration::from_millis(600);

/// Time for noticing a change and for carrying it out, beside the pause between batches.
const CHANGE_RESERVE: Duration = Duration::from_secs(1);

/// Pause after each batch of changes in a large system: it takes less than half of the time in which a
/// change must be in force.
#[must_use]
pub fn batch_pause(change_deadline: Duration) -> Duration {
    (change_deadline / 2).saturating_sub(CHANGE_RESERVE)
}

/// Times of the watch of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeTimes {
    /// Longest time without an answer of the store, unless a hub confirms the objects.
    pub max_silence: Duration,
    /// Longest time without a confirmation beside a hub.
    pub max_unconfirmed: Duration,
}

impl ChangeTimes {
    /// Times of a kind whose changes must be known `deadline` after a disruption of the store, in a
    /// system without hubs.
    #[must_use]
    pub fn within(deadline: Duration) -> Self {
        let max_silence = deadline.saturating_sub(RECOVERY_RESERVE);
        Self {
            max_silence,
            max_unconfirmed: max_silence,
        }
    }

    /// The same in a system with hubs.
    #[must_use]
    pub fn within_beside_hubs(deadline: Duration) -> Self {
        Self {
            max_silence: deadline.saturating_sub(HUB_RECOVERY_RESERVE),
            max_unconfirmed: deadline.saturating_sub(UNCONFIRMED_RESERVE),
        }
    }

    /// Times of a kind that has no deadline after a disruption. A hub hears from the store within its
    /// own maximum silence, plus the pauses that follow each answer.
    #[must_use]
    pub fn with_silence(max_silence: Duration, batch_pause: Duration) -> Self {
        Self {
            max_silence,
            max_unconfirmed: max_silence + batch_pause + WATCH_CALL_PAUSE,
        }
    }
}

/// Longest wait after so many failed calls in a row.
#[must_use]
pub fn back_off_time(failures: u32) -> Duration {
    uncapped_back_off(failures).min(MAX_BACKOFF)
}

/// Longest wait after so many responses in a row that cannot be read: the next one is likely the same.
#[must_use]
pub fn listing_back_off_time(failures: u32) -> Duration {
    uncapped_back_off(failures).min(MAX_LISTING_BACKOFF)
}

fn uncapped_back_off(failures: u32) -> Duration {
    INITIAL_BACKOFF * 2_u32.saturating_pow(failures.min(8))
}
