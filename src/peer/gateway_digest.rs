//! Merged gossip that hubs of failure domains send.

use serde::{Deserialize, Serialize};

use crate::clock::whole_millis;
use crate::context_store::FETCH_LEASE;
use crate::domain_scheduler::DomainHub;
use crate::peer::{GatewayStatus, RelayedStoreUpdate};
use crate::prelude::*;

/// Merged state of several entries, which replaces the sender's earlier digest.
///
/// In a large system, the entries of a failure domain send their state to one entry of the domain,
/// its hub. The hub sends the merged state of its domain to the hubs of other domains, and the
/// merged state of all domains to the entries of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDigest {
    /// Merged state: sums of loads, unions of target sets, the newest versions, and the highest
    /// bounds of retired context that any entry reported. The revisions are the sender's own.
    #[serde(rename = "g")]
    pub merged: GatewayStatus,
    /// Name hashes of the entries that count for `retired_by_all`: what they report includes what
    /// earlier processes of theirs had retired, and it is known how recent it is.
    #[serde(rename = "e")]
    pub entries: Vec<u32>,
    /// Context that each of these entries reports as retired: all of it for weight versions below
    /// the first, half of it for versions below the second.
    #[serde(rename = "a")]
    pub retired_by_all: (u64, u64),
    /// Greatest age of the reports of these entries when the digest was made, in milliseconds;
    /// missing from hubs of earlier builds, whose word does not count.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub entries_age_ms: Option<u64>,
    /// Hubs of the failure domains whose state is merged.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hubs: Vec<DomainHub>,
    /// Updates of context stores since the sender's last digest.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub store_updates: Vec<RelayedStoreUpdate>,
}

impl GatewayDigest {
    /// Makes the digest of one entry's state, which is `age` old, if that is known; `entry` is the
    /// entry's name hash.
    #[must_use]
    pub fn from_status(entry: u32, status: GatewayStatus, age: Option<Duration>) -> Self {
        let age = age.filter(|_| status.retired_counts);
        Self {
            entries: age.map(|_| entry).into_iter().collect(),
            retired_by_all: status.retired_below,
            entries_age_ms: Some(age.map_or(0, whole_millis)),
            merged: status,
            hubs: Vec::new(),
            store_updates: Vec::new(),
        }
    }

    /// Merges another digest, except its revisions and its updates of context stores, which hubs
    /// relay separately.
    pub fn merge(&mut self, other: &Self) {
        self.merged.merge(&other.merged);
        self.hubs.extend(other.hubs.iter().cloned());
        self.merge_retired(other);
    }

    fn merge_retired(&mut self, other: &Self) {
        let Some(age) = other.entries_age_ms.filter(|_| !other.entries.is_empty()) else {
            return;
        };
        let (all, half) = other.retired_by_all;
        self.retired_by_all = if self.entries.is_empty() {
            other.retired_by_all
        } else {
            (
                self.retired_by_all.0.min(all),
                self.retired_by_all.1.min(half),
            )
        };
        self.entries.extend(&other.entries);
        self.entries_age_ms = self.entries_age_ms.max(Some(age));
    }

    /// This digest some time after it was made: what it says of the entries is so much older. They do
    /// not count any more if `time` is unknown.
    #[must_use]
    pub fn aged_by(mut self, time: Option<Duration>) -> Self {
        let age = self.entries_age_ms.map(Duration::from_millis);
        let age = age.zip(time).map(|(age, time)| age + time);
        self.entries_age_ms = age.filter(|age| *age < FETCH_LEASE).map(whole_millis);
        if self.entries_age_ms.is_none() {
            self.entries.clear();
        }
        self
    }
}
