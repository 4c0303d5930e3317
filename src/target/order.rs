//! Orders to targets.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What a target is told to do; orders are declarative and may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "do")]
pub enum Order {
    /// Have this weight version ready.
    Load {
        /// Weight version.
        weights: Name,
    },
    /// Drop this weight version once its runs have ended.
    Unload {
        /// Weight version.
        weights: Name,
    },
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Grows with each new holder of the lease to give orders.
    pub fencing: u64,
    /// Entry that gives the order.
    pub issuer: Name,
    /// The order.
    pub order: Order,
}

/// A target's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderAnswer {
    /// The order is being carried out or already was.
    Accepted,
    /// The fencing number is older than one already seen.
    Stale,
}
