//! Events and effects of a [`RolloutPlanner`](crate::rollout::RolloutPlanner).

use std::net::SocketAddr;

use crate::lease::Hold;
use crate::prelude::*;

/// A target as far as a rollout is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutTarget {
    /// Name.
    pub name: Name,
    /// Address.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Weight versions that it has, by model.
    pub weights: SmallVec<[(Name, u64); 1]>,
}

/// An order to run other weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Model.
    pub model: Name,
    /// Version to run.
    pub version: u64,
    /// Fencing number of the issuer's lease.
    pub fencing: u64,
    /// Orders that the target has accepted so far; it refuses this one when that is not so.
    pub expected_orders: u64,
}

/// What became of an order, or what a target said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsOrderResult {
    /// It is being carried out, or already was.
    Accepted,
    /// The target is busy with another order, or has accepted others since.
    Conflict,
    /// The target has seen a greater fencing number.
    Stale,
    /// No answer; the target may carry it out, also later.
    Unanswered,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// An operator named a version.
    Named {
        /// Model.
        model: Name,
        /// Version.
        version: u64,
    },
    /// The targets in use, whole.
    Targets(Vec<RolloutTarget>),
    /// Requests under way at a target, over all entries.
    Load {
        /// Name of the target.
        target: Name,
        /// Requests.
        requests: u32,
    },
    /// The holding of the lease as of now.
    Lease(Option<Hold>),
    /// An order ended.
    Ended {
        /// Name of the target.
        target: Name,
        /// How it ended.
        result: WeightsOrderResult,
    },
    /// A target told its state when asked.
    Report {
        /// Name of the target.
        target: Name,
        /// Versions that it has, by model.
        weights: SmallVec<[(Name, u64); 1]>,
        /// Orders that it has accepted since its start.
        orders: u64,
        /// Whether an order is under way.
        busy: bool,
    },
    /// Time passed.
    Tick,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEffect {
    /// Send an order if the lease is still held.
    Order(WeightsOrder),
    /// Ask a target for its state.
    Ask {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Get a greater fencing number: a target has seen this one or a greater.
    Raise {
        /// The fencing number that was refused.
        fencing: u64,
    },
}
