//! Software versions of the targets of a pool over time.

use crate::prelude::*;

/// Time after which a stream that began before a change of versions is not taken up any more.
const LONGEST_STREAM: Duration = Duration::from_mins(1);

/// Whether all targets of a pool have run one software version.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoftwareHistory {
    /// The version of all listed targets; `None` if there are several.
    sole: Option<Name>,
    /// When a list last named another version, or several.
    changed_at: Option<Timestamp>,
}

impl SoftwareHistory {
    /// Records the versions of all listed targets; without any, nothing changes.
    pub(crate) fn record(&mut self, now: Timestamp, listed: impl IntoIterator<Item = Name>) {
        let mut listed = listed.into_iter();
        let Some(first) = listed.next() else {
            return;
        };
        let sole = listed.all(|version| version == first).then_some(first);
        let is_first_list = self.sole.is_none() && self.changed_at.is_none();
        if sole.is_none() || (sole != self.sole && !is_first_list) {
            self.changed_at = Some(now);
        }
        self.sole = sole;
    }

    /// The version at which every stream began that may still be taken up, if there is only one.
    pub(crate) fn sole(&self, now: Timestamp) -> Option<Name> {
        let is_settled = self.changed_at.is_none_or(|at| now >= at + LONGEST_STREAM);
        self.sole
            .clone()
            .filter(|version| is_settled && !version.is_empty())
    }
}
