//! Orders to targets: which weight versions to load.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Order to a target; orders are idempotent and may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Order {
    /// Load this weight version.
    Load {
        /// Weight version.
        weights: Name,
    },
    /// Unload this weight version once its runs have ended.
    Unload {
        /// Weight version.
        weights: Name,
    },
}

/// Order with the fencing token of the lease under which it was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing token; it grows with each new holder of the lease on giving orders.
    pub fencing: u64,
    /// Name of the entry that gives the order.
    pub issuer: Name,
    /// The order.
    pub order: Order,
}

/// Response of a target to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResponse {
    /// The order is being carried out or was carried out before.
    Accepted,
    /// The fencing token is lower than one already accepted.
    Stale,
}
