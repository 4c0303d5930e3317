//! Events and effects of a [`RolloutPlanner`](crate::rollout::RolloutPlanner).

use std::net::SocketAddr;

use crate::lease::HeldLease;
use crate::prelude::*;

/// A target as the rollout needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutTarget {
    /// Name.
    pub name: Name,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is leaving; such a target is not updated.
    pub leaving: bool,
    /// Weight version that it has, by model.
    pub weights: SmallVec<[(Name, u64); 1]>,
}

/// An order to a target to load another weight version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Model.
    pub model: Name,
    /// Weight version to load.
    pub version: u64,
    /// Fencing token of the issuer's lease.
    pub fencing: u64,
    /// Number of orders that the target has accepted so far. It refuses the order if the number
    /// differs, so that an order that arrives late is not carried out.
    pub expected_orders: u64,
}

/// Result of sending a [`WeightsOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsOrderResult {
    /// The target carries it out, or already has.
    Accepted,
    /// The target is carrying out another order, or the number of accepted orders differs.
    Conflict,
    /// The target has seen a greater fencing token.
    Stale,
    /// The order was not sent or got no answer; the target may still carry it out, even later.
    Unanswered,
}

/// Input of a [`RolloutPlanner`](crate::rollout::RolloutPlanner).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// An operator declared the version that a model is to run.
    VersionDeclared {
        /// Model.
        model: Name,
        /// Weight version.
        version: u64,
    },
    /// The full list of targets in use.
    Targets(Vec<RolloutTarget>),
    /// Number of requests running at a target, summed over all entries.
    ActiveRequests {
        /// Name of the target.
        target: Name,
        /// Requests.
        requests: u32,
    },
    /// The lease to give orders, if this entry holds it now.
    Lease(Option<HeldLease>),
    /// An attempt to send an order ended.
    Ended {
        /// Name of the target.
        target: Name,
        /// Result of the attempt.
        result: WeightsOrderResult,
    },
    /// A target answered a status query.
    TargetStatus {
        /// Name of the target.
        target: Name,
        /// Weight version that it has, by model; models may be missing.
        weights: SmallVec<[(Name, u64); 1]>,
        /// Number of orders that it has accepted since its start, if it is known.
        orders: Option<u64>,
        /// Whether it may be carrying out an order.
        busy: bool,
    },
    /// Makes the planner check what is due.
    Tick,
}

/// An action that a [`RolloutPlanner`](crate::rollout::RolloutPlanner) requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEffect {
    /// Sends an order, provided that the lease is still held.
    Order(WeightsOrder),
    /// Queries the status of a target.
    QueryStatus {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Gives up the lease, to acquire it again with a greater fencing token, since a target has
    /// seen a greater one.
    Raise {
        /// Fencing token that was refused.
        fencing: u64,
    },
}
