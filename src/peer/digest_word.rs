//! Merged gossip that hubs of failure domains send.

use serde::{Deserialize, Serialize};

use crate::peer::{GatewayStatus, KeptWord};

/// Merged state of several entries, which replaces the sender's earlier digest.
///
/// A hub sends the merged state of its own failure domain to the hubs of other domains, and the
/// merged state of all domains to the entries of its own domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DigestWord {
    /// Merged state: sums of loads, unions of target sets, the newest versions, and the highest
    /// bounds of retired context that any entry reported. The revisions are the sender's own.
    #[serde(rename = "g")]
    pub word: GatewayStatus,
    /// Short identities of the entries whose state is merged.
    #[serde(rename = "e")]
    pub entries: Vec<u32>,
    /// Context that each of these entries reports as retired: all of it for weight versions below
    /// the first, half of it for versions below the second.
    #[serde(rename = "a")]
    pub agreed: (u64, u64),
    /// Updates of context stores since the sender's last digest.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub kept: Vec<KeptWord>,
}

impl DigestWord {
    /// Makes the digest of one entry's state.
    #[must_use]
    pub fn of(entry: u32, word: GatewayStatus) -> Self {
        Self {
            entries: vec![entry],
            agreed: word.retired_below,
            word,
            kept: Vec::new(),
        }
    }

    /// Merges another digest, except its revisions and its updates of context stores, which hubs
    /// relay separately.
    pub fn add(&mut self, other: &Self) {
        self.word.merge(&other.word);
        self.entries.extend(&other.entries);
        self.agreed.0 = self.agreed.0.min(other.agreed.0);
        self.agreed.1 = self.agreed.1.min(other.agreed.1);
    }
}
