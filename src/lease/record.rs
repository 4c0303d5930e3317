//! The lease as the platform keeps it.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The `spec` of an object of kind `leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Process that holds the lease.
    pub holder: Name,
    /// Grows with each holding.
    pub fencing: u64,
    /// Number of the renewal within this holding.
    pub renewal: u64,
}

impl LeaseRecord {
    /// Kind of the objects in the platform.
    pub const KIND: &'static str = "leases";
}
