//! Events and effects of an [`OrderPlanner`](crate::order::OrderPlanner).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::Catalog;
use crate::lease::HeldLease;
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, OrderRequest};

/// Input of an [`OrderPlanner`](crate::order::OrderPlanner).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEvent {
    /// The catalog in force.
    Catalog(Arc<Catalog>),
    /// The platform's full list of targets.
    Targets(Vec<TargetInfo>),
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Name,
        /// The report.
        report: LoadReport,
    },
    /// The lease to give orders, if this entry holds it now.
    Lease(Option<HeldLease>),
    /// An attempt to send an order ended.
    Ended {
        /// Name of the target.
        target: Name,
        /// Fencing token of the order.
        fencing: u64,
        /// Result of the attempt.
        result: OrderResult,
    },
    /// Makes the planner check what is due.
    Tick,
}

/// Result of sending an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderResult {
    /// The target accepted it.
    Accepted,
    /// The target refused it: it has seen a greater fencing token.
    Stale,
    /// The order was not sent or got no valid answer; the target may still carry it out.
    Unanswered,
}

/// An action that an [`OrderPlanner`](crate::order::OrderPlanner) requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderEffect {
    /// Sends an order, provided that the lease is still held.
    Send {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
        /// The order.
        request: OrderRequest,
    },
    /// Gives up the lease, to acquire it again with a fencing token above one that a target has
    /// seen.
    Raise {
        /// Greatest fencing token seen by a target.
        fencing: u64,
    },
}
