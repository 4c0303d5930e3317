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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// When the first call failed; zero from the start of the process.
    pub noticed_at: Timestamp,
    /// Earliest time from which the store may have been away.
    away_since: Timestamp,
    /// Latest time at which the store is known not to have answered.
    failed_at: Timestamp,
    /// Whether the store may have taken no calls, of targets either. One whose answers cannot be read
    /// takes them.
    may_be_away: bool,
}

impl StoreOutage {
    /// The state of a process that starts: the store may have been away for any time.
    #[must_use]
    pub fn since_start() -> Self {
        Self {
            noticed_at: Timestamp::ZERO,
            away_since: Timestamp::ZERO,
            failed_at: Timestamp::ZERO,
            may_be_away: true,
        }
    }

    /// The outage that a failed call reveals; the store took calls until `accepted_at` at least.
    #[must_use]
    pub fn new(now: Timestamp, accepted_at: Timestamp, err: &PlatformError) -> Self {
        // A call that is never answered does not tell when the store returned.
        let failed_at = match err {
            PlatformError::Unanswered(_) => accepted_at,
            _ => now,
        };
        Self {
            noticed_at: now,
            away_since: accepted_at,
            failed_at,
            may_be_away: !err.is_answer(),
        }
    }

    /// Records a further call that failed; the store had not answered by `failed_at`.
    pub fn record_failure(&mut self, failed_at: Timestamp, err: &PlatformError) {
        if err.is_answer() {
            return;
        }
        if !self.may_be_away {
            self.may_be_away = true;
            self.away_since = self.failed_at;
        }
        self.failed_at = self.failed_at.max(failed_at);
    }

    /// Time until which a registration may be missing only because it expired in an outage that has
    /// ended now. `None` for one that was too short for that.
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
        if !self.may_be_away {
            return None;
        }
        let expired_at = self.away_since + heartbeat * EXPIRY_HEARTBEATS;
        let stable_at = self.failed_at.max(expired_at) + recovery_deadline;
        let until = stable_at.saturating_sub(RECOVERY_RESERVE);
        (now >= expired_at).then(|| until.min(now + REREGISTRATION_TIME))
    }
}
