//! What an entry knows of its reach of one target.

use crate::prelude::*;
use crate::reachability::Path;

/// An entry's reach of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetReach {
    /// Whether the target is registered.
    pub(crate) listed: bool,
    /// Path of new connections.
    pub(crate) path: Path,
    /// When something last arrived on an own connection, or one was made.
    pub(crate) heard_at: Timestamp,
    /// Exchanges under way on own connections.
    pub(crate) exchanges: u32,
    /// When the first of them began.
    pub(crate) exchanges_since: Timestamp,
    /// Own attempts to connect that timed out since the last sign of the target.
    pub(crate) timeouts: u32,
    /// When the first of them began.
    pub(crate) timeouts_since: Timestamp,
    /// Whether open connections were found to hang since then.
    pub(crate) hanging: bool,
    /// Since when connections of this entry and of peers time out.
    pub(crate) silent_since: Option<Timestamp>,
    /// When an own connection was last tried for a check.
    pub(crate) checked_at: Option<Timestamp>,
    /// When the path last became direct again.
    pub(crate) restored_at: Option<Timestamp>,
    /// Cuts in quick succession.
    pub(crate) flaps: u32,
    /// Until when a relayed path stays so.
    pub(crate) held_until: Timestamp,
}

impl TargetReach {
    /// Whether the target is registered or has exchanges under way.
    pub(crate) fn is_in_use(&self) -> bool {
        self.listed || self.exchanges > 0
    }

    /// Time for which exchanges under way have heard nothing; zero without any.
    pub(crate) fn silent_for(&self, now: Timestamp) -> Duration {
        if self.exchanges == 0 {
            return Duration::ZERO;
        }
        now.saturating_sub(self.heard_at.max(self.exchanges_since))
    }

    /// Whether the last check was long enough ago for the next one.
    pub(crate) fn may_check(&self, now: Timestamp, interval: Duration) -> bool {
        self.checked_at.is_none_or(|at| now >= at + interval)
    }

    /// Records a sign of the target on an own connection.
    pub(crate) fn record_heard(&mut self, now: Timestamp) {
        self.heard_at = now;
        self.timeouts = 0;
        self.silent_since = None;
        self.hanging = false;
    }
}
