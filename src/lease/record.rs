//! The stored form of a lease.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The `spec` of a platform object of kind `leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease; see [`LeaseSettings::holder`](crate::lease::LeaseSettings).
    pub holder: Name,
    /// Fencing token; grows with each acquisition and stays the same over renewals.
    pub fencing: u64,
    /// Renewals since the acquisition.
    pub renewal: u64,
}

impl LeaseRecord {
    /// Kind of the platform objects that store leases.
    pub const KIND: &'static str = "leases";
}
