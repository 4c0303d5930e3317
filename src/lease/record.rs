//! The stored form of a lease.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Greatest fencing token that a readable record may have, so that there are greater ones.
const MAX_FENCING: u64 = 1 << 62;

/// The `spec` of a platform object of kind `leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease; see [`LeaseSettings::holder`](crate::lease::LeaseSettings).
    pub holder: Name,
    /// Fencing token; grows with each acquisition and stays the same over renewals.
    pub fencing: u64,
    /// Renewals since the acquisition.
    pub renewal: u64,
    /// Set once the holder has released the lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<LeaseRelease>,
}

/// What a holder states when it releases its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRelease {
    /// For how long the lease had not been used then, in milliseconds.
    pub idle_ms: u64,
    /// Era of the store; a release of a former era may have been followed by an acquisition that a
    /// restore has lost.
    pub era: u64,
}

impl LeaseRecord {
    /// Kind of the platform objects that store leases.
    pub const KIND: &'static str = "leases";

    /// Whether this process could have written it.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.fencing <= MAX_FENCING && self.renewal < u64::MAX
    }
}
