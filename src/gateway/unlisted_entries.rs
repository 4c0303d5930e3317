//! Entries that this one has met although the platform's list does not name them.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Entries that were lost, and when. One that the list does not name yet may have joined after the list
/// was read; it counts among the entries all the same, until a later list lacks it too.
#[derive(Clone, Debug, Default)]
pub struct UnlistedEntries {
    lost: BTreeMap<Name, Timestamp>,
}

impl UnlistedEntries {
    /// Records that an entry that was live is not any more.
    pub fn record_lost(&mut self, now: Timestamp, entry: Name) {
        self.lost.insert(entry, now);
    }

    /// Forgets the entries that were lost before the list was last confirmed.
    pub fn confirm_list(&mut self, confirmed_at: Timestamp) {
        self.lost.retain(|_, lost_at| *lost_at >= confirmed_at);
    }

    /// The entries that are listed, live, or lost since the list was last confirmed.
    #[must_use]
    pub fn with<'a>(
        &'a self,
        listed: impl IntoIterator<Item = &'a Name>,
        live: impl IntoIterator<Item = &'a Name>,
    ) -> BTreeSet<Name> {
        let known = listed.into_iter().chain(live).chain(self.lost.keys());
        known.cloned().collect()
    }
}
