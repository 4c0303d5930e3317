//! When a watch that relies on a hub is given up.

use crate::prelude::*;
use crate::store_view::{ChangeTimes, KindView, PROPAGATION_TIME};

/// What is known of an open watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchVerdict {
    /// It may work.
    Waiting,
    /// The hub knows of a change that it has not brought.
    MissedChange,
    /// Nobody has confirmed the objects for too long.
    Unconfirmed,
    /// The hub that it relies on is the hub no longer; nobody may know that the watch hangs.
    HubChanged,
}

/// What is done instead of waiting for a watch any longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replacement {
    /// What has changed is read at once; a call that is not answered reveals an outage of the store.
    CatchUp,
    /// The watch counts as a failed call, after which what has changed is read.
    Fail,
}

impl WatchVerdict {
    /// What replaces the watch; `None` while it is waited for.
    #[must_use]
    pub fn replacement(self) -> Option<Replacement> {
        match self {
            Self::Waiting => None,
            Self::MissedChange | Self::HubChanged => Some(Replacement::CatchUp),
            Self::Unconfirmed => Some(Replacement::Fail),
        }
    }

    /// Name for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::MissedChange => "missed_change",
            Self::Unconfirmed => "unconfirmed",
            Self::HubChanged => "hub_changed",
        }
    }
}

/// A watch that stays open for long because a hub confirms that the objects are current.
#[derive(Clone, Debug)]
pub struct OpenWatch {
    opened_at: Timestamp,
    /// The hub at that time; `None` if this entry was the hub.
    hub: Option<Name>,
    behind_since: Option<Timestamp>,
}

impl OpenWatch {
    /// A watch that is opened now and relies on a hub.
    #[must_use]
    pub fn new(now: Timestamp, hub: Option<&Name>) -> Self {
        Self {
            opened_at: now,
            hub: hub.cloned(),
            behind_since: None,
        }
    }

    /// Time for which it has been open.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.opened_at)
    }

    /// Checks the confirmations of the objects by the present hub.
    pub fn check(
        &mut self,
        now: Timestamp,
        view: &KindView,
        hub: Option<&Name>,
        times: &ChangeTimes,
    ) -> WatchVerdict {
        if hub != self.hub.as_ref() {
            return WatchVerdict::HubChanged;
        }
        let confirmed_at = view.freshness.confirmed_at().max(self.opened_at);
        if now >= confirmed_at + times.max_unconfirmed {
            return WatchVerdict::Unconfirmed;
        }
        if !view.is_behind_hub() {
            self.behind_since = None;
            return WatchVerdict::Waiting;
        }
        if now >= *self.behind_since.get_or_insert(now) + PROPAGATION_TIME {
            return WatchVerdict::MissedChange;
        }
        WatchVerdict::Waiting
    }
}
