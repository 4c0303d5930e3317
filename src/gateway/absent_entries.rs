//! Which listed entries are gone for good.

use std::collections::HashMap;

use crate::prelude::*;

/// Time out of touch after which a listed entry counts as gone. Twice the time for which entries go
/// by an unconfirmed list, so that no entry goes by a list that still names one that is removed.
const ABSENCE_LIMIT: Duration = Duration::from_mins(30);

/// Listed entries that are out of touch, and since when.
#[derive(Clone, Debug, Default)]
pub struct AbsentEntries {
    since: HashMap<Name, Timestamp>,
}

impl AbsentEntries {
    /// Records which listed entries are out of touch now; returns one that has been for so long that
    /// it counts as gone.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        absent: impl IntoIterator<Item = &'a Name>,
    ) -> Option<Name> {
        let absent = absent.into_iter().map(|name| {
            let since = self.since.get(name).copied().unwrap_or(now);
            (name.clone(), since)
        });
        self.since = absent.collect();
        let gone = self
            .since
            .iter()
            .filter(|(_, at)| now >= **at + ABSENCE_LIMIT);
        let longest = gone.min_by_key(|(name, at)| (**at, (*name).clone()));
        longest.map(|(name, _)| name.clone())
    }

    /// Forgets what was recorded: this entry cannot tell who is out of touch.
    pub fn clear(&mut self) {
        self.since.clear();
    }
}
