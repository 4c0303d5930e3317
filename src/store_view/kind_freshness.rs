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
    /// When the store itself last confirmed the objects.
    answered_at: Option<Timestamp>,
    /// Revision of the newest change that any peer has reported.
    peer_change: u64,
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

    /// When the objects were last confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Timestamp {
        self.confirmed_at
    }

    /// When the store itself last confirmed the objects.
    #[must_use]
    pub fn answered_at(&self) -> Option<Timestamp> {
        self.answered_at
    }

    /// Revision of the newest change that any peer has reported for the kind.
    #[must_use]
    pub fn peer_change(&self) -> u64 {
        self.peer_change
    }

    /// Records that at the time `at` a peer knew of no change after the revision `change`. This
    /// confirms the objects as of `at` if this entry knows them up to a `revision` of at least
    /// `change`.
    pub fn observe_confirmation(&mut self, at: Timestamp, peer: &Name, change: u64, revision: u64) {
        self.peer_change = self.peer_change.max(change);
        if revision >= change && at > self.confirmed_at {
            self.confirmed_at = at;
            self.confirmed_by = ConfirmedBy::Peer(peer.clone());
        }
    }

    /// Records that the objects were confirmed; returns the time without a confirmation before if
    /// it was overdue.
    pub fn confirm(&mut self, now: Timestamp, by: ConfirmedBy) -> Option<Duration> {
        let silence = now.saturating_sub(self.confirmed_at);
        self.confirmed_at = now;
        if by == ConfirmedBy::Store {
            self.answered_at = Some(now);
        }
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
