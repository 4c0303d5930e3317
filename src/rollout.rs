//! Brings the targets of a model to the weight version that an operator named.
//!
//! One entry at a time gives the orders, under a lease whose fencing number goes with each. Targets
//! rest before their order, so that the runs in the way have ended when it comes.

mod event;
mod planner;

pub use event::{RolloutEffect, RolloutEvent, RolloutTarget, WeightsOrder, WeightsOrderResult};
pub use planner::{RolloutPlanner, RolloutSettings};
