//! How recently the objects of one kind were confirmed, and by whom.

use std::fmt;

use crate::prelude::*;

/// Who last confirmed the objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// Nobody since the start of this process.
    #[default]
    Nobody,
    /// The platform store.
    Store,
    /// A peer.
    Peer(Name),
}

impl fmt::Display for ConfirmedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nobody => f.write_str("nobody"),
            Self::Store => f.write_str("store"),
            Self::Peer(name) => f.write_str(name),
        }
    }
}

/// Freshness of the objects of one kind.
#[derive(Clone, Debug, Default)]
pub struct KindFreshness {
    confirmed_at: Timestamp,
    confirmed_by: ConfirmedBy,
    peer_revision: u64,
    overdue: bool,
}

impl KindFreshness {
    /// Who last confirmed the objects.
    #[must_use]
    pub fn confirmed_by(&self) -> &ConfirmedBy {
        &self.confirmed_by
    }

    /// Newest revision that any peer has reported for the kind.
    #[must_use]
    pub fn peer_revision(&self) -> u64 {
        self.peer_revision
    }

    /// Records that the objects were confirmed; returns the time without a confirmation before if
    /// it was overdue.
    pub fn confirm(&mut self, now: Timestamp, by: ConfirmedBy) -> Option<Duration> {
        let silence = now.saturating_sub(self.confirmed_at);
        self.confirmed_at = now;
        self.confirmed_by = by;
        std::mem::take(&mut self.overdue).then_some(silence)
    }

    /// Records the revision that a peer reports for the kind.
    pub fn observe_peer_revision(&mut self, revision: u64) {
        self.peer_revision = self.peer_revision.max(revision);
    }

    /// Time without a confirmation, returned once when it exceeds `limit`.
    pub fn newly_overdue(&mut self, now: Timestamp, limit: Duration) -> Option<Duration> {
        let silence = now.saturating_sub(self.confirmed_at);
        if self.overdue || silence <= limit {
            return None;
        }
        self.overdue = true;
        Some(silence)
    }
}
