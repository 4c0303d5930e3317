//! Identification of streams.

use serde::{Deserialize, Serialize};

/// Identifies a stream by its customer, its path and the ID of the request whose response brought the
/// first event. The customer is part of it because callers choose the IDs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Hashes what identifies a stream; the customer is empty on public routes.
    #[must_use]
    pub fn new(customer: &str, path: &str, request: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [customer, path, request] {
            hasher.update(part.as_bytes()).update(&[0]);
        }
        let hash = hasher.finalize();
        let first = hash.as_bytes().first_chunk::<8>().copied();
        Self(u64::from_le_bytes(first.unwrap_or_default()))
    }

    /// Rank of an entry among those that keep the origin of the stream; the highest ones do.
    #[must_use]
    pub fn rank(self, entry: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(entry.as_bytes());
        let first = hasher.finalize().as_bytes().first_chunk::<8>().copied();
        u64::from_le_bytes(first.unwrap_or_default())
    }
}
