//! Merged gossip that hubs of failure domains send.

use serde::{Deserialize, Serialize};

use crate::domain_scheduler::DomainHub;
use crate::peer::{GatewayStatus, RelayedStoreUpdate};

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
    /// Name hashes of the entries whose state is merged.
    #[serde(rename = "e")]
    pub entries: Vec<u32>,
    /// Context that each of these entries reports as retired: all of it for weight versions below
    /// the first, half of it for versions below the second.
    #[serde(rename = "a")]
    pub retired_by_all: (u64, u64),
    /// Hubs of the failure domains whose state is merged.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub hubs: Vec<DomainHub>,
    /// Updates of context stores since the sender's last digest.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub store_updates: Vec<RelayedStoreUpdate>,
}

impl GatewayDigest {
    /// Makes the digest of one entry's state; `entry` is the entry's name hash.
    #[must_use]
    pub fn from_status(entry: u32, status: GatewayStatus) -> Self {
        Self {
            entries: vec![entry],
            retired_by_all: status.retired_below,
            merged: status,
            hubs: Vec::new(),
            store_updates: Vec::new(),
        }
    }

    /// Merges another digest, except its revisions and its updates of context stores, which hubs
    /// relay separately.
    pub fn merge(&mut self, other: &Self) {
        self.merged.merge(&other.merged);
        self.entries.extend(&other.entries);
        self.hubs.extend(other.hubs.iter().cloned());
        self.retired_by_all.0 = self.retired_by_all.0.min(other.retired_by_all.0);
        self.retired_by_all.1 = self.retired_by_all.1.min(other.retired_by_all.1);
    }
}
