//! State that the entries of a gateway gossip.

use serde::{Deserialize, Serialize};

use crate::clock::whole_millis;
use crate::gateway::{TargetLoad, WatchedKind};
use crate::peer::RoundTrip;
use crate::prelude::*;
use crate::rate_limit::LimitReport;
use crate::stream_origin::StreamOrigin;

/// What the sender knows of the changes to the objects of one watched kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindConfirmation {
    /// Newest change, encoded by [`StoreRevision::to_bits`](crate::platform::StoreRevision::to_bits).
    #[serde(rename = "c")]
    pub last_change: u64,
    /// Time since the store last answered that there is no newer one, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// State of one entry, sent at short intervals; it replaces the entry's earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Revision of the platform's store up to which this entry knows the objects of each watched
    /// kind, by index of the kind; encoded by
    /// [`StoreRevision::to_bits`](crate::platform::StoreRevision::to_bits). Earlier builds decode
    /// exactly four, so further kinds have fields of their own.
    #[serde(rename = "r")]
    pub revisions: [u64; 4],
    /// The same for the evacuations, the fifth kind; zero when this entry does not watch them.
    #[serde(rename = "e", default, skip_serializing_if = "is_zero")]
    pub evacuations_revision: u64,
    /// Load that this entry puts on targets, by the targets' name hashes.
    #[serde(rename = "l", default)]
    pub loads: Vec<(u32, TargetLoad)>,
    /// Targets that get no new work while they change their weights, by name hash.
    #[serde(rename = "h", default)]
    pub cordoned_targets: Vec<u32>,
    /// Targets to which new connections have recently begun to fail, by name hash.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable_targets: Vec<u32>,
    /// Context in context stores that is no longer fetched: all of it for weight versions below the
    /// first, and half of it, selected by hash, for versions below the second.
    #[serde(rename = "x", default)]
    pub retired_below: (u64, u64),
    /// Whether this includes all that earlier processes of the entry had retired, as far as anybody
    /// may still go by it. Missing from earlier builds, whose word does not count.
    #[serde(rename = "y", default, skip_serializing_if = "std::ops::Not::not")]
    pub retired_counts: bool,
    /// Proof of how recent this state is; not in every message of a small system.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub round_trip: Option<RoundTrip>,
    /// Weight versions that targets report, by name hash; they may be newer than the versions
    /// in the platform's store.
    #[serde(rename = "v", default)]
    pub target_versions: Vec<(u32, u64)>,
    /// Weight versions that operators declared, as far as they bind the start of requests: name hash
    /// of the model, version, and time since the declaration in milliseconds.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub declared_versions: Vec<(u32, u64, u64)>,
    /// Weight versions that were declared before the sender and all others that it heard started, so
    /// that it does not know when: name hash of the model, and version.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub undated_versions: Vec<(u32, u64)>,
    /// Limits that targets set on the requests sent to them.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<LimitReport>,
    /// Entries that are cut off from at least half of the targets, by name hash.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub cut_off_entries: Vec<u32>,
    /// Origins of streams that began since the last status, in a small system.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub stream_origins: Vec<StreamOrigin>,
    /// How recently the store has confirmed the objects of each watched kind to this entry, by index
    /// of the kind; `None` for a kind that it has not confirmed. Only hubs send it.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub confirmations: Vec<Option<KindConfirmation>>,
}

impl GatewayStatus {
    /// Revisions of all watched kinds, by index of the kind.
    #[must_use]
    pub fn all_revisions(&self) -> [u64; WatchedKind::ALL.len()] {
        let [routes, targets, weights, members] = self.revisions;
        [routes, targets, weights, members, self.evacuations_revision]
    }

    /// This state some time after it was received: what it says of declarations, limits and
    /// confirmations is so much older.
    #[must_use]
    pub fn aged_by(mut self, time: Duration) -> Self {
        for (_, _, age) in &mut self.declared_versions {
            *age = age.saturating_add(whole_millis(time));
        }
        for limit in &mut self.limits {
            *limit = limit.aged_by(time);
        }
        for confirmation in self.confirmations.iter_mut().flatten() {
            confirmation.age_ms = confirmation.age_ms.saturating_add(whole_millis(time));
        }
        self
    }

    /// Merges another entry's state: sums of loads, unions of target sets, newest versions and
    /// limits, largest ages and highest bounds of retired context. The revisions, confirmations and
    /// the proof of how recent they are stay as they are.
    pub fn merge(&mut self, other: &Self) {
        for (target, load) in &other.loads {
            match self.loads.iter_mut().find(|(key, _)| key == target) {
                Some((_, sum)) => sum.add(*load),
                None => self.loads.push((*target, *load)),
            }
        }
        for target in &other.cordoned_targets {
            if !self.cordoned_targets.contains(target) {
                self.cordoned_targets.push(*target);
            }
        }
        for target in &other.unreachable_targets {
            if !self.unreachable_targets.contains(target) {
                self.unreachable_targets.push(*target);
            }
        }
        for entry in &other.cut_off_entries {
            if !self.cut_off_entries.contains(entry) {
                self.cut_off_entries.push(*entry);
            }
        }
        for (target, version) in &other.target_versions {
            match self
                .target_versions
                .iter_mut()
                .find(|(key, _)| key == target)
            {
                Some((_, known)) => *known = (*known).max(*version),
                None => self.target_versions.push((*target, *version)),
            }
        }
        for (model, version, age) in &other.declared_versions {
            let mut known = self.declared_versions.iter_mut();
            match known.find(|(m, v, _)| (m, v) == (model, version)) {
                Some((_, _, known)) => *known = (*known).max(*age),
                None => self.declared_versions.push((*model, *version, *age)),
            }
        }
        for undated in &other.undated_versions {
            if !self.undated_versions.contains(undated) {
                self.undated_versions.push(*undated);
            }
        }
        for limit in &other.limits {
            let mut known = self.limits.iter_mut();
            match known.find(|known| known.target == limit.target) {
                Some(known) => *known = known.merge(*limit),
                None => self.limits.push(*limit),
            }
        }
        self.retired_below.0 = self.retired_below.0.max(other.retired_below.0);
        self.retired_below.1 = self.retired_below.1.max(other.retired_below.1);
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}
