//! Agreement among entries on which weight versions' stored context may be freed.
//!
//! Retirement is monotonic: a version that was retired stays so. Each entry reports to its peers
//! what it has retired, merges what they report into its own, and fetches nothing that it has
//! retired. A version's context is freed once every known entry has reported it retired for longer
//! than a fetch begun before may take. An unreachable entry delays this; context of versions that
//! no target runs any more is freed without waiting for it.

use std::collections::HashMap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Age at which a peer's report expires: until the next one, the peer counts as having retired
/// nothing.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Longest time that a fetch may run after its request was sent; the request carries it as a
/// deadline.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond [`FETCH_TIMEOUT`] before freeing; allows for clocks that run at different rates and
/// for requests in transit.
const FREE_MARGIN: Duration = Duration::from_millis(500);

/// Weight versions whose stored context is retired, wholly or by half.
///
/// Half of the parts can be retired first, to make room for a new version while the old one is
/// still in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetiredVersions {
    /// All parts of the versions below this one.
    pub all_below: u64,
    /// Half of the parts, selected by hash, of the versions below this one.
    pub half_below: u64,
}

impl RetiredVersions {
    /// Retired by at least one of the two.
    #[must_use]
    pub fn union(self, other: Self) -> Self {
        Self {
            all_below: self.all_below.max(other.all_below),
            half_below: self.half_below.max(other.half_below),
        }
    }

    /// Retired by both.
    #[must_use]
    pub fn intersection(self, other: Self) -> Self {
        Self {
            all_below: self.all_below.min(other.all_below),
            half_below: self.half_below.min(other.half_below),
        }
    }

    /// Whether the part with the identifier `part` is retired in this version.
    #[must_use]
    pub fn covers(self, version: u64, part: &str) -> bool {
        version < self.all_below || (version < self.half_below && retires_early(part))
    }
}

/// Whether a part is in the half that is retired first.
fn retires_early(part: &str) -> bool {
    blake3::hash(part.as_bytes()).as_bytes()[0].is_multiple_of(2)
}

/// What one entry has retired, and what it knows of its peers.
#[derive(Clone, Debug, Default)]
pub struct RetirementTracker {
    retired: RetiredVersions,
    /// Last report and its time, by the name hash of the peer.
    reports: HashMap<u32, (Timestamp, RetiredVersions)>,
    /// What all entries have had retired since the given time, oldest first.
    agreed_since: Vec<(Timestamp, RetiredVersions)>,
    /// Whether a majority of entries, this one included, has reported since the start.
    majority_reported: bool,
}

impl RetirementTracker {
    /// What this entry has retired.
    #[must_use]
    pub fn retired(&self) -> RetiredVersions {
        self.retired
    }

    /// Retires `more` in addition.
    pub fn retire(&mut self, more: RetiredVersions) {
        self.retired = self.retired.union(more);
    }

    /// Records what a peer reported as retired in its status, and retires the same.
    pub fn record_status(&mut self, now: Timestamp, peer: &Name, report: RetiredVersions) {
        self.reports.insert(name_hash(peer), (now, report));
        self.retire(report);
    }

    /// Records what several entries, given by name hash, have all retired.
    pub fn record_retired_by_all(
        &mut self,
        now: Timestamp,
        entries: &[u32],
        retired: RetiredVersions,
    ) {
        for entry in entries {
            self.reports.insert(*entry, (now, retired));
        }
    }

    /// Whether this entry may fetch: reports of a majority of all `entries`, itself included, have
    /// arrived since its start, so that it knows what was retired before. It may not while it has not
    /// read how many entries there are.
    pub fn may_fetch(&mut self, entries: Option<usize>) -> bool {
        let reported = self.reports.len() + 1;
        self.majority_reported |= entries.is_some_and(|entries| reported * 2 > entries);
        self.majority_reported
    }

    /// Returns what may be freed: what every entry has had retired for so long that fetches begun
    /// before have ended. `listed` are the other entries in the platform's list. Call this
    /// regularly, since agreement is timed from the call that first finds it.
    pub fn freeable<'a>(
        &mut self,
        now: Timestamp,
        listed: impl IntoIterator<Item = &'a Name>,
    ) -> RetiredVersions {
        let current = self.agreed_now(now, listed);
        // The timing starts over for whatever is no longer agreed, such as after a report expired.
        self.agreed_since
            .retain(|(_, agreed)| agreed.intersection(current) == *agreed);
        if self
            .agreed_since
            .last()
            .is_none_or(|(_, last)| *last != current)
        {
            self.agreed_since.push((now, current));
        }
        let wait = FETCH_TIMEOUT + FREE_MARGIN;
        let due = self
            .agreed_since
            .iter()
            .filter(|(since, _)| now >= *since + wait);
        due.map(|(_, agreed)| *agreed)
            .fold(RetiredVersions::default(), RetiredVersions::union)
    }

    /// What this entry, all listed entries and all that ever reported have retired in common now.
    fn agreed_now<'a>(
        &self,
        now: Timestamp,
        listed: impl IntoIterator<Item = &'a Name>,
    ) -> RetiredVersions {
        let retired_by = |report: Option<&(Timestamp, RetiredVersions)>| {
            let fresh = report.filter(|(at, _)| now < *at + REPORT_TTL);
            fresh.map_or(RetiredVersions::default(), |(_, retired)| *retired)
        };
        let listed = listed
            .into_iter()
            .map(|name| retired_by(self.reports.get(&name_hash(name))));
        let reporting = self.reports.values().map(|report| retired_by(Some(report)));
        listed
            .chain(reporting)
            .fold(self.retired, RetiredVersions::intersection)
    }
}
