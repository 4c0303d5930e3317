//! Times of an outage of the platform store, as far as one entry can tell.

use crate::platform::PlatformError;
use crate::prelude::*;

/// Time after the return of the store within which targets have registered again whose registration
/// expired meanwhile.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);
/// Heartbeats of a target without which its registration expires if the store is away for so long:
/// those of its lifetime but one, which may just have been counted.
const EXPIRY_HEARTBEATS: u32 = 2;
/// Time before the recovery deadline at which no missing target is used any more.
const RECOVERY_RESERVE: Duration = Duration::from_millis(200);

/// An outage of the platform store for one kind of objects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOutage {
    /// When the first call failed; zero from the start of the process.
    pub noticed_at: Timestamp,
    /// Since when the store may have been away.
    away_since: Timestamp,
    /// Latest time at which the store is known not to have answered.
    failed_at: Timestamp,
}

impl StoreOutage {
    /// The outage that a failed call reveals; `confirmed_at` is when the objects were last confirmed.
    #[must_use]
    pub fn new(now: Timestamp, confirmed_at: Timestamp, err: &PlatformError) -> Self {
        let mut outage = Self {
            noticed_at: now,
            away_since: now,
            failed_at: now,
        };
        // A call that is never answered does not tell when the store returned.
        if matches!(err, PlatformError::Unanswered(_)) {
            outage.away_since = confirmed_at;
            outage.failed_at = confirmed_at;
        }
        outage
    }

    /// Records a further call that failed; the store had not answered by `failed_at`.
    pub fn record_failure(&mut self, failed_at: Timestamp) {
        self.failed_at = self.failed_at.max(failed_at);
    }

    /// Time until which a registration may be missing only because it expired in an outage that has
    /// ended now. `None` for one that was shorter than `heartbeat`, in which none expires.
    ///
    /// A target that is gone must not be used when the store counts as stable again,
    /// `recovery_deadline` after its return. If a registration did expire, the store was away for some
    /// heartbeats at least.
    #[must_use]
    pub fn doubt_until(
        &self,
        now: Timestamp,
        heartbeat: Duration,
        recovery_deadline: Duration,
    ) -> Option<Timestamp> {
        let returned_at = self.away_since + heartbeat * EXPIRY_HEARTBEATS;
        let stable_at = self.failed_at.max(returned_at) + recovery_deadline;
        let until = stable_at.saturating_sub(RECOVERY_RESERVE);
        let expired = now >= self.away_since + heartbeat;
        expired.then(|| until.min(now + REREGISTRATION_TIME))
    }
}
