//! Agreement among entries on which weight versions' stored context is fetched and which is freed.
//!
//! Retirement is monotonic: a version that was retired stays so. Each entry reports to its peers
//! what it has retired, merges what they report into its own, and fetches nothing that it has
//! retired. Nobody waits for an entry that is cut off:
//!
//! - An entry fetches under a lease: it knows what enough entries had retired at most
//!   [`FETCH_LEASE`] ago.
//! - Context is freed once enough entries have had it retired for [`FREE_DELAY`].
//!
//! Both have an entry in common, also if one goes by a list that lacks the latest entry that joined.
//! So when context is freed, each entry has learned that it is retired, or its lease has ended, and
//! its last fetch as well. An entry that restarts forgets what it had retired; it counts again once
//! that cannot matter any more.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Longest time that a fetch may run after its request was sent; the request carries it as a
/// deadline.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an entry may fetch after what it knows of the others.
pub const FETCH_LEASE: Duration = Duration::from_secs(3);
/// Allowance for clocks that run at different rates and for requests in transit.
const MARGIN: Duration = Duration::from_millis(500);
/// Time for which enough entries have had context retired when it is freed.
pub const FREE_DELAY: Duration = FETCH_LEASE
    .saturating_add(FETCH_TIMEOUT)
    .saturating_add(MARGIN);
/// Number of entries up to which a lease takes more than half of them, so that a system of three frees
/// without the third.
const SHORT_LIST: usize = 4;
/// Age at which a peer's report expires: until the next one, the peer counts as having retired
/// nothing.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time after its start from which a process counts that does not know what an earlier process of
/// its entry had retired: by then, what that process reported has expired, and so have the leases
/// that rest on it.
const RECALL_DELAY: Duration = REPORT_TTL
    .saturating_add(FETCH_LEASE)
    .saturating_add(MARGIN);

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

/// What a peer has retired.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Time after which the peer made the report.
    known_at: Timestamp,
    retired: RetiredVersions,
}

/// How recently an entry has heard what the others have retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchLease {
    /// Until when it may fetch; `None` if it may not.
    pub until: Option<Timestamp>,
    /// Listed entries of which it has a report, itself included if it counts.
    pub reports: usize,
    /// Reports that it needs.
    pub needed: usize,
}

/// What one entry has retired, and what it knows of its peers.
#[derive(Clone, Debug, Default)]
pub struct RetirementTracker {
    started_at: Timestamp,
    /// Whether it has retired all that an earlier process of this entry may have retired.
    recalled: bool,
    retired: RetiredVersions,
    /// Last report of each peer, by the hash of its name.
    reports: HashMap<u32, Report>,
    /// What enough entries for a free have had retired since the given time, oldest first.
    agreed_since: Vec<(Timestamp, RetiredVersions)>,
}

impl RetirementTracker {
    /// Makes the tracker of a process that starts now.
    #[must_use]
    pub fn started_at(now: Timestamp) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// What this entry has retired.
    #[must_use]
    pub fn retired(&self) -> RetiredVersions {
        self.retired
    }

    /// Retires `more` in addition.
    pub fn retire(&mut self, more: RetiredVersions) {
        self.retired = self.retired.union(more);
    }

    /// Records that the platform's store lists `newest` as the newest version, and retires all
    /// older ones: an earlier process of this entry may have done so. Does nothing once this process
    /// counts.
    pub fn recall(&mut self, now: Timestamp, newest: u64) {
        if self.counts(now) {
            return;
        }
        self.recalled = true;
        self.retire(RetiredVersions {
            all_below: newest,
            half_below: newest,
        });
    }

    /// Whether what this entry reports counts: it includes what earlier processes of the entry had
    /// retired, or nobody goes by that any more.
    #[must_use]
    pub fn counts(&self, now: Timestamp) -> bool {
        self.recalled || now >= self.started_at + RECALL_DELAY
    }

    /// Records what a peer, given by its name hash, has retired, according to a report that was made
    /// after `known_at` and counts at the peer.
    pub fn record_report(&mut self, known_at: Timestamp, peer: u32, retired: RetiredVersions) {
        let known = self.reports.get(&peer);
        if known.is_none_or(|known| known.known_at <= known_at) {
            self.reports.insert(peer, Report { known_at, retired });
        }
    }

    /// How long this entry may fetch. `others` are the other entries in the platform's list; none
    /// while it has not been read.
    #[must_use]
    pub fn fetch_lease<'a>(
        &self,
        now: Timestamp,
        others: Option<impl IntoIterator<Item = &'a Name>>,
    ) -> FetchLease {
        let mut listed = 1;
        let own = self.counts(now).then_some(now);
        let mut known: Vec<Timestamp> = own.into_iter().collect();
        let is_read = others.is_some();
        for name in others.into_iter().flatten() {
            listed += 1;
            let report = self.reports.get(&name_hash(name));
            known.extend(report.map(|r| r.known_at));
        }
        let needed = lease_quorum(listed);
        known.sort_unstable_by_key(|at| Reverse(*at));
        let oldest = known.get(needed - 1).filter(|_| is_read);
        FetchLease {
            until: oldest.map(|at| *at + FETCH_LEASE),
            reports: known.len(),
            needed,
        }
    }

    /// Returns what may be freed: what enough entries have had retired for so long that fetches begun
    /// before have ended. `others` are the other entries in the platform's list. Call this
    /// regularly, since agreement is timed from the call that first finds it.
    pub fn freeable<'a>(
        &mut self,
        now: Timestamp,
        others: impl IntoIterator<Item = &'a Name>,
    ) -> RetiredVersions {
        let current = self.agreed_now(now, others);
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
        let due = self
            .agreed_since
            .iter()
            .filter(|(since, _)| now >= *since + FREE_DELAY);
        due.map(|(_, agreed)| *agreed)
            .fold(RetiredVersions::default(), RetiredVersions::union)
    }

    /// What enough of the listed entries for a free, this one included, have retired now.
    fn agreed_now<'a>(
        &self,
        now: Timestamp,
        others: impl IntoIterator<Item = &'a Name>,
    ) -> RetiredVersions {
        let retired_by = |name: &Name| {
            let report = self.reports.get(&name_hash(name));
            let fresh = report.filter(|report| now < report.known_at + REPORT_TTL);
            fresh.map_or(RetiredVersions::default(), |report| report.retired)
        };
        let mut retired: Vec<RetiredVersions> = others.into_iter().map(retired_by).collect();
        let own = Some(self.retired).filter(|_| self.counts(now));
        retired.push(own.unwrap_or_default());
        RetiredVersions {
            all_below: retired_by_quorum(retired.iter().map(|r| r.all_below)),
            half_below: retired_by_quorum(retired.iter().map(|r| r.half_below)),
        }
    }
}

/// Entries of a list, the fetching one included, that a lease takes. Half of a longer list is enough:
/// entries that are gone stay listed for long, and without a lease everything is read again.
fn lease_quorum(listed: usize) -> usize {
    if listed <= SHORT_LIST {
        listed / 2 + 1
    } else {
        listed.div_ceil(2)
    }
}

/// Entries of a list that a free takes: so many that one of them is in each quorum for a lease, also by
/// a list with one entry more or less.
fn free_quorum(listed: usize) -> usize {
    let lists = listed.max(2) - 1..=listed + 1;
    let disjoint = lists.map(|other| other.max(listed) - lease_quorum(other));
    disjoint.max().unwrap_or_default() + 1
}

/// The highest bound that a quorum for a free has reached.
fn retired_by_quorum(bounds: impl Iterator<Item = u64>) -> u64 {
    let mut bounds: Vec<u64> = bounds.collect();
    bounds.sort_unstable_by_key(|bound| Reverse(*bound));
    bounds[free_quorum(bounds.len()) - 1]
}
