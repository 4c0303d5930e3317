//! Rollout of a declared weight version to the targets of its model.
//!
//! One entry at a time gives the orders, under a lease whose fencing token goes with each. A target
//! is cordoned, that is, gets no new work, for some time before its order, so that its runs, which
//! delay the load, can end first. It stays cordoned until it has the weights.

mod event;
mod planner;

pub use event::{RolloutEffect, RolloutEvent, RolloutTarget, WeightsOrder, WeightsOrderResult};
pub use planner::{RolloutPlanner, RolloutSettings};
